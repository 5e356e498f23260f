//! Handshakes, the schedule of dials and the limits of connections to peers.

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
fn a_hello_has_to_match_the_list_of_peers() {
    let own_list = peer_list(&["a", "b", "c"], 0, 3);
    let members = Membership::new(0, PeerId(1), 3, 9, ProbeTiming::default(), 7);
    let hello = |peer_list: &PeerList| peer_list.hello(&members.own_update(), None);
    let valid = hello(&peer_list(&["a", "b", "c"], 1, 3));
    assert_eq!(own_list.verify(&valid, None), Ok(PeerId(1)));
    assert_eq!(own_list.verify(&valid, Some(PeerId(1))), Ok(PeerId(1)));
    let rejected = |hello, dialed| own_list.verify(&hello, dialed).expect_err("a rejection").to_string();
    assert_eq!(rejected(valid.clone(), Some(PeerId(2))), "it calls itself \"b\"");
    assert_eq!(rejected(hello(&peer_list(&["a", "x"], 1, 3)), None), "\"x\" is not in the list of peers");
    assert_eq!(rejected(hello(&peer_list(&["a", "b"], 0, 3)), None), "it has this gatherer's own name");
    assert_eq!(
        rejected(hello(&peer_list(&["a", "b", "c"], 1, 4)), None),
        "its list of peers is of version 4"
    );
    let different_names = "its list of peers has the same version and other names";
    assert_eq!(rejected(hello(&peer_list(&["a", "b", "d"], 1, 3)), None), different_names);
    assert_eq!(rejected(hello(&peer_list(&["b", "a", "c"], 0, 3)), None), different_names);
    let mut other_version = valid.clone();
    other_version.major = 2;
    assert_eq!(rejected(other_version, None), "its messages are of version 2, not 1");
    let known = MemberUpdate { incarnation: Incarnation { number: 2, nonce: 0 }, ..members.own_update() };
    assert_eq!(verify_incarnation(&valid, Some(members.own_update())), Ok(()));
    assert_eq!(verify_incarnation(&valid, Some(known)), Err(HandshakeError::Superseded(known.incarnation)));
}

#[test]
fn dials_are_spread_and_back_off_within_limits() {
    let names: Vec<String> = (0..300).map(|index| format!("n{index}")).collect();
    let list = PeerList::new(names, PeerId(0), 1);
    let mut dials = DialScheduler::new(0, &list, 5);
    assert!(dials.dials(PeerId(1)) && !dials.dials(PeerId(0)));
    // If all instances of a cluster start at the same time, the 299 first dials are spread evenly over 3 s.
    let mut most = 0;
    for step in 0..300_u64 {
        most = most.max(dials.take_due(step * 10 * MS).len());
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
    assert_eq!(dials.take_due(now), [PeerId(1)], "a peer that seems to be back is dialed at once");
}

#[test]
fn connection_limits_stay_within_the_process_limits() {
    for peers in [3, 9, 64, 256] {
        let limits = PeerConnectionLimits::of(peers, 2048, 192 << 20).expect("sufficient limits");
        let bytes = (peers + limits.unidentified) * (limits.queue_bytes + 2 * limits.message_bytes);
        assert!(bytes <= (192 << 20) / 16, "{peers} peers: {bytes} bytes");
        assert!(limits.sockets_needed <= 2048 / 4);
    }
    let too_few_sockets = PeerConnectionLimits::of(9, 40, 192 << 20).expect_err("too few sockets");
    assert_eq!(too_few_sockets.to_string(), "9 peers want limits.sockets of at least 68, a quarter for them");
    let too_little_memory = PeerConnectionLimits::of(300, 4096, 32 << 20).expect_err("too little memory");
    assert_eq!(too_little_memory.to_string(), "300 peers want more of limits.memory_mb");
}
