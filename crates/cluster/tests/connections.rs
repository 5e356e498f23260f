//! Handshakes, dials and what connections to peers may hold.

use mallowgauge_cluster::connections::{
    verify_incarnation, DialScheduler, HandshakeError, PeerConnectionLimits, PeerList,
};
use mallowgauge_cluster::membership::{MemberUpdate, Membership, ProbeTiming};
use mallowgauge_cluster::{Incarnation, PeerId};

const MS: u64 = 1000;

fn peer_list(names: &[&str], me: u16, version: u64) -> PeerList {
    PeerList::new(names.iter().map(|name| (*name).to_owned()).collect(), PeerId(me), version)
}

#[test]
fn a_hello_has_to_fit_the_list() {
    let here = peer_list(&["a", "b", "c"], 0, 3);
    let members = Membership::new(0, PeerId(1), 3, 9, ProbeTiming::default(), 7);
    let hello = |peer_list: &PeerList| peer_list.hello(&members.own_update(), None);
    let sound = hello(&peer_list(&["a", "b", "c"], 1, 3));
    assert_eq!(here.verify(&sound, None), Ok(PeerId(1)));
    assert_eq!(here.verify(&sound, Some(PeerId(1))), Ok(PeerId(1)));
    let rejected = |hello, dialed| here.verify(&hello, dialed).expect_err("a refusal").to_string();
    assert_eq!(rejected(sound.clone(), Some(PeerId(2))), "it calls itself \"b\"");
    assert_eq!(rejected(hello(&peer_list(&["a", "x"], 1, 3)), None), "\"x\" is not in the list of peers");
    assert_eq!(rejected(hello(&peer_list(&["a", "b"], 0, 3)), None), "it has this gatherer's own name");
    assert_eq!(
        rejected(hello(&peer_list(&["a", "b", "c"], 1, 4)), None),
        "its list of peers is of version 4"
    );
    let same = "its list of peers has the same version and other names";
    assert_eq!(rejected(hello(&peer_list(&["a", "b", "d"], 1, 3)), None), same);
    assert_eq!(rejected(hello(&peer_list(&["b", "a", "c"], 0, 3)), None), same);
    let mut other = sound.clone();
    other.major = 2;
    assert_eq!(rejected(other, None), "its messages are of version 2, not 1");
    let known = MemberUpdate { incarnation: Incarnation { number: 2, nonce: 0 }, ..members.own_update() };
    assert_eq!(verify_incarnation(&sound, Some(members.own_update())), Ok(()));
    assert_eq!(verify_incarnation(&sound, Some(known)), Err(HandshakeError::Superseded(known.incarnation)));
}

#[test]
fn dials_are_spread_and_back_off_within_bounds() {
    let names: Vec<String> = (0..300).map(|at| format!("n{at}")).collect();
    let list = PeerList::new(names, PeerId(0), 1);
    let mut dials = DialScheduler::new(0, &list, 5);
    assert!(dials.dials(PeerId(1)) && !dials.dials(PeerId(0)));
    // A fleet that starts at once: 299 first dials over 3 s, no step in them.
    let mut most = 0;
    for at in 0..300_u64 {
        most = most.max(dials.take_due(at * 10 * MS).len());
    }
    assert!(most <= 8, "{most} dials within 10 ms");
    let mut now = 3_000 * MS;
    let mut waits = Vec::new();
    for _ in 0..12 {
        dials.disconnected(now, PeerId(1));
        let due = dials.poll_timeout().expect("a dial");
        waits.push((due - now) / MS);
        now = due;
        assert_eq!(dials.take_due(now), [PeerId(1)]);
    }
    assert!((5..=10).contains(&waits[0]), "{waits:?}");
    assert!(waits[8..].iter().all(|wait| (500..=1000).contains(wait)), "{waits:?}");
    dials.disconnected(now, PeerId(1));
    dials.dial_now(now, PeerId(1));
    assert_eq!(dials.take_due(now), [PeerId(1)], "a sign of life is followed at once");
}

#[test]
fn what_links_may_hold_fits_the_process() {
    for peers in [3, 9, 64, 256] {
        let room = PeerConnectionLimits::of(peers, 2048, 192 << 20).expect("room");
        let all = (peers + room.unidentified) * (room.queue_bytes + 2 * room.message_bytes);
        assert!(all <= (192 << 20) / 16, "{peers}: {all}");
        assert!(room.sockets_needed <= 2048 / 4);
    }
    let few = PeerConnectionLimits::of(9, 40, 192 << 20).expect_err("too few");
    assert_eq!(few.to_string(), "9 peers want limits.sockets of at least 68, a quarter for them");
    let little = PeerConnectionLimits::of(300, 4096, 32 << 20).expect_err("too little");
    assert_eq!(little.to_string(), "300 peers want more of limits.memory_mb");
}
