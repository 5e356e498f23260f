//! The register's acceptors one by one: what they forget, what they never do, and what they say of it.

use std::sync::Arc;

use mallowgauge_cluster::register::{
    acceptors_for, AbstainReason, Acceptor, AcceptorLimits, AcceptorReply, AcceptorUsage, Ballot,
    Incarnations, OpenedAt, PendingTransfer, Proposal, Proposer, ProposerRequest, QueryId, StateTransfer,
};
use mallowgauge_cluster::{Incarnation, PeerId};

const LIFE: u64 = 1_000_000;
const BOUNDS: AcceptorLimits = AcceptorLimits { records: 4, bytes: 1 << 20, query_lifetime: LIFE };

fn incarnation(number: u64) -> Incarnation {
    Incarnation { number, nonce: 0 }
}

fn ballot(round: u32, by: u16) -> Ballot {
    Ballot { round, proposer: PeerId(by), incarnation: incarnation(1), sequence: 0 }
}

fn fresh(number: u64) -> Acceptor {
    Acceptor::new(0, PeerId(0), incarnation(number), 3, 3, BOUNDS)
}

fn transfer(from: u16, remembers_all: bool) -> StateTransfer {
    let (records, after, next) = (Vec::new(), None, None);
    StateTransfer {
        from: PeerId(from),
        incarnation: incarnation(1),
        to: incarnation(1),
        epoch: 0,
        remembers_all,
        records,
        after,
        next,
    }
}

/// One that remembers, for there was nothing before it.
fn founder() -> Acceptor {
    let mut acceptor = fresh(1);
    acceptor.receive_transfer(0, transfer(1, true));
    acceptor.receive_transfer(0, transfer(2, true));
    acceptor
}

fn open(id: &str, ballot: Ballot, sequence: u64) -> ProposerRequest {
    open_in(0, id, ballot, sequence)
}

/// What opens an id, asked while this acceptor was in that epoch.
fn open_in(epoch: u64, id: &str, ballot: Ballot, sequence: u64) -> ProposerRequest {
    let ballot = Ballot { sequence, ..ballot };
    let (id, payload): (QueryId, Arc<[u8]>) = (id.into(), b"what"[..].into());
    let incarnations: Incarnations = [(PeerId(0), incarnation(1))].into();
    let epochs = [(PeerId(0), epoch)].into();
    ProposerRequest::Open {
        id,
        ballot,
        incarnations,
        epochs,
        payload,
        proposal: Proposal::default(),
        version: 1,
    }
}

fn reason(reply: Option<AcceptorReply>) -> Option<AbstainReason> {
    match reply {
        Some(AcceptorReply::Abstained { reason, .. }) => Some(reason),
        _ => None,
    }
}

fn chosen(id: &str) -> ProposerRequest {
    ProposerRequest::Chosen { id: id.into(), outcome: b"end"[..].into() }
}

#[test]
fn one_that_starts_gives_no_word_until_it_has_heard_from_enough_others() {
    let mut acceptor = fresh(1);
    assert_eq!(
        reason(acceptor.handle_request(0, open("a", ballot(0, 9), 1))),
        Some(AbstainReason::Recovering)
    );
    let opened_at =
        OpenedAt { incarnations: [(PeerId(0), incarnation(1))].into(), epochs: [(PeerId(0), 0)].into() };
    let take = ProposerRequest::Prepare { id: "a".into(), ballot: ballot(1, 9), opened_at };
    assert_eq!(reason(acceptor.handle_request(0, take.clone())), Some(AbstainReason::Recovering));
    acceptor.receive_transfer(0, transfer(1, true));
    assert_eq!(reason(acceptor.handle_request(0, take.clone())), Some(AbstainReason::Recovering));
    // One that does not remember itself is no help.
    acceptor.receive_transfer(0, transfer(2, false));
    assert_eq!(reason(acceptor.handle_request(0, take.clone())), Some(AbstainReason::Recovering));
    assert_eq!(acceptor.pending_transfers(), [PendingTransfer { peer: PeerId(2), after: None }]);
    // What was meant for an earlier incarnation of it is none either.
    acceptor.receive_transfer(0, StateTransfer { to: incarnation(0), ..transfer(2, true) });
    assert!(!acceptor.remembers_every_query(0));
    acceptor.receive_transfer(0, transfer(2, true));
    assert!(acceptor.remembers_every_query(0) && acceptor.pending_transfers().is_empty());
    assert!(matches!(acceptor.handle_request(0, take), Some(AcceptorReply::Promised { record: None, .. })));
}

#[test]
fn where_all_started_at_once_they_wait_until_no_id_from_before_can_be_asked() {
    let mut acceptor = fresh(1);
    acceptor.receive_transfer(0, transfer(1, false));
    acceptor.receive_transfer(0, transfer(2, false));
    assert_eq!(
        reason(acceptor.handle_request(2 * LIFE - 1, open("a", ballot(0, 9), 1))),
        Some(AbstainReason::Recovering)
    );
    assert!(matches!(
        acceptor.handle_request(2 * LIFE, open("a", ballot(0, 9), 1)),
        Some(AcceptorReply::Accepted { .. })
    ));
    // Time alone is not enough: whom it has not met may count on an earlier incarnation of it.
    assert_eq!(
        reason(fresh(1).handle_request(9 * LIFE, open("a", ballot(0, 9), 1))),
        Some(AbstainReason::Recovering)
    );
}

#[test]
fn an_id_that_was_forgotten_is_not_opened_again_by_what_comes_late() {
    let mut acceptor = founder();
    acceptor.handle_request(0, open("a", ballot(0, 9), 7));
    acceptor.handle_request(0, chosen("a"));
    // However long it was paused, what it was told of meanwhile finds the record.
    assert!(acceptor.end_epoch(100 * LIFE) && !acceptor.end_epoch(100 * LIFE));
    assert!(matches!(
        acceptor.handle_request(100 * LIFE, open("a", ballot(0, 8), 1)),
        Some(AcceptorReply::Rejected { .. })
    ));
    assert!(acceptor.end_epoch(101 * LIFE) && acceptor.record("a").is_some());
    assert!(acceptor.end_epoch(102 * LIFE));
    assert_eq!((acceptor.epoch(), acceptor.usage()), (3, AcceptorUsage { records: 0, bytes: 0 }));
    // Now it is forgotten, and so is whatever was asked by then.
    let late = acceptor.handle_request(101 * LIFE, open("a", ballot(0, 8), 1));
    assert_eq!(reason(late), Some(AbstainReason::UnknownQuery));
    assert!(matches!(
        acceptor.handle_request(101 * LIFE, open_in(2, "b", ballot(0, 9), 8)),
        Some(AcceptorReply::Accepted { .. })
    ));
    let write = ProposerRequest::Accept {
        id: "a".into(),
        ballot: Ballot { sequence: 7, ..ballot(0, 9) },
        incarnations: Incarnations::new(),
        proposal: Proposal::default(),
        version: 2,
    };
    assert_eq!(reason(acceptor.handle_request(LIFE, write)), Some(AbstainReason::UnknownQuery));
}

#[test]
fn a_full_keeper_takes_no_more_and_forgets_nothing_that_has_not_ended() {
    let mut acceptor = founder();
    for (number, id) in ["a", "b", "c", "d"].into_iter().enumerate() {
        acceptor.handle_request(0, open(id, ballot(0, 9), number as u64));
    }
    acceptor.handle_request(0, chosen("b"));
    assert_eq!(
        reason(acceptor.handle_request(0, open("e", ballot(0, 9), 5))),
        Some(AbstainReason::CapacityExhausted)
    );
    acceptor.end_epoch(LIFE);
    assert_eq!(
        reason(acceptor.handle_request(LIFE, open_in(1, "e", ballot(0, 9), 5))),
        Some(AbstainReason::CapacityExhausted)
    );
    for times in 2..4 {
        acceptor.end_epoch(times * LIFE);
    }
    assert!(matches!(
        acceptor.handle_request(3 * LIFE, open_in(3, "e", ballot(0, 9), 5)),
        Some(AcceptorReply::Accepted { .. })
    ));
    assert!(acceptor.record("b").is_none() && acceptor.record("a").is_some());
    for times in 4..20 {
        acceptor.end_epoch(times * LIFE);
    }
    assert_eq!(acceptor.open_records().count(), 4);
}

#[test]
fn an_attempt_that_is_void_under_one_ballot_is_not_void_under_another() {
    let names = || vec![PeerId(0), PeerId(1), PeerId(2)];
    let mut all: Vec<Acceptor> = (0..3_u16)
        .map(|at| {
            let mut acceptor = Acceptor::new(0, PeerId(at), incarnation(1), 3, 3, BOUNDS);
            (0..3)
                .filter(|from| *from != at)
                .for_each(|from| drop(acceptor.receive_transfer(0, transfer(from, true))));
            acceptor
        })
        .collect();
    let mut tell = |proposer: &mut Proposer, to: &[u16]| {
        for &at in to {
            let request = proposer.request_for(PeerId(at)).expect("something to say");
            let reply = all[usize::from(at)].handle_request(0, request).expect("a word");
            proposer.handle_reply(PeerId(at), reply);
        }
    };
    let incarnations: Incarnations = names().into_iter().map(|peer| (peer, incarnation(1))).collect();
    let opened_at = OpenedAt { incarnations, epochs: names().into_iter().map(|peer| (peer, 0)).collect() };
    let mut owner = Proposer::open("a".into(), ballot(0, 9), names(), opened_at.clone(), b"what"[..].into());
    // Its first attempt is known to acceptor 2 alone, and so is that it never ran.
    let first = owner.propose_intent(0, 0).expect("an attempt");
    owner.mark_not_executed(first);
    tell(&mut owner, &[2]);
    assert!(!owner.is_permitted(first));
    let mut second = Proposer::prepare("a".into(), ballot(1, 8), names(), opened_at.clone());
    tell(&mut second, &[0, 1]);
    let sent = second.propose_intent(0, 0).expect("an attempt");
    tell(&mut second, &[0, 1]);
    assert!(second.is_permitted(sent));
    // It dies. Whoever comes next hears of both attempts, and of one that it is void.
    let mut third = Proposer::prepare("a".into(), ballot(2, 7), names(), opened_at);
    tell(&mut third, &[1, 2]);
    assert!(third.may_have_executed(0));
    assert_eq!(third.propose_intent(0, 0), None);
}

#[test]
fn who_opens_an_id_again_after_it_ended_is_told_how() {
    let mut acceptor = founder();
    acceptor.handle_request(0, open("a", ballot(0, 9), 1));
    // The same process, the same life, another time.
    assert!(matches!(
        acceptor.handle_request(0, open("a", ballot(0, 9), 2)),
        Some(AcceptorReply::Rejected { .. })
    ));
    acceptor.handle_request(0, chosen("a"));
    assert!(
        matches!(acceptor.handle_request(0, open("a", ballot(0, 9), 1)), Some(AcceptorReply::Rejected { record, .. }) if record.chosen)
    );
}

#[test]
fn every_process_finds_the_same_keepers_and_all_have_their_share() {
    let mut count = [0_u32; 7];
    for id in 0..7000 {
        let found = acceptors_for(&format!("{id:x}"), 7, 3);
        assert_eq!(found.len(), 3);
        assert!(found[0] != found[1] && found[1] != found[2] && found[0] != found[2]);
        found.iter().for_each(|peer| count[usize::from(peer.0)] += 1);
    }
    assert!(count.iter().all(|n| (2700..=3300).contains(n)), "{count:?}");
    // The loss of one that keeps nothing of an id changes nothing for it: the list is fixed, and so is the order.
    assert_eq!(acceptors_for("q", 7, 3), acceptors_for("q", 7, 5)[..3]);
}

/// However much an acceptor holds, another hears it in pieces that a link takes; one that is lost is asked for again,
/// one that comes twice or late changes nothing, and nothing is remembered before the last one.
#[test]
fn what_a_keeper_holds_goes_over_in_pages() {
    let many = AcceptorLimits { records: 1000, ..BOUNDS };
    let mut full = Acceptor::new(0, PeerId(0), incarnation(1), 3, 3, many);
    full.receive_transfer(0, transfer(1, true));
    full.receive_transfer(0, transfer(2, true));
    let ids: Vec<QueryId> = (0..200).map(|at| format!("q{at:03}").into()).collect();
    for (id, sequence) in ids.iter().zip(1..) {
        assert!(matches!(
            full.handle_request(0, open(id, ballot(0, 2), sequence)),
            Some(AcceptorReply::Accepted { .. })
        ));
    }
    let mut late = Acceptor::new(0, PeerId(1), incarnation(2), 3, 3, many);
    late.receive_transfer(0, StateTransfer { to: incarnation(2), ..transfer(2, true) });
    let (mut after, mut pages) = (None, 0);
    loop {
        let page = full.serve_transfer(0, PeerId(1), incarnation(2), after.clone());
        assert!(page.records.len() < 20 && !page.records.is_empty());
        assert!(!late.remembers_every_query(0), "not before the last page");
        pages += 1;
        let last = page.next.is_none();
        // It comes twice, and an early one comes late.
        let next = late.receive_transfer(0, page.clone());
        assert_eq!(next, page.next);
        if last {
            break;
        }
        assert_eq!(late.receive_transfer(0, page), None);
        assert_eq!(late.receive_transfer(0, full.serve_transfer(0, PeerId(1), incarnation(2), None)), None);
        let pending = late.pending_transfers().into_iter().find(|pending| pending.peer == PeerId(0));
        assert_eq!(
            pending,
            Some(PendingTransfer { peer: PeerId(0), after: next.clone() }),
            "a lost one is asked for again, not all of them"
        );
        after = next;
    }
    assert!(pages > 10 && late.remembers_every_query(0));
    assert!(ids.iter().all(|id| late.record(id) == full.record(id)));
}

/// Acceptors that start one after the other do not tell each other of all that ever ended, for good.
#[test]
fn what_ended_long_ago_is_not_passed_on_for_ever() {
    let mut now = 0;
    let mut acceptors: Vec<Acceptor> = vec![founder(), founder()];
    acceptors[1] = Acceptor::new(0, PeerId(1), incarnation(1), 3, 3, BOUNDS);
    acceptors[1].receive_transfer(0, StateTransfer { from: PeerId(0), ..transfer(0, true) });
    acceptors[1].receive_transfer(0, transfer(2, true));
    acceptors[0].handle_request(now, open("old", ballot(0, 9), 1));
    acceptors[0].handle_request(now, chosen("old"));
    for number in 3..10 {
        // Each is told by the other one just after its start, and starts again before it forgets anything.
        now += LIFE * 7 / 10;
        let (at, other) = (number % 2, 1 - number % 2);
        let me = PeerId(at as u16);
        let mut fresh = Acceptor::new(now, me, incarnation(number as u64), 3, 3, BOUNDS);
        let page = acceptors[other].serve_transfer(now + 5, me, incarnation(number as u64), None);
        assert!(fresh.receive_transfer(now + 10, page).is_none());
        // Asked for within its life, it is known.
        let known = fresh.record("old").is_some();
        assert!(known || now >= LIFE, "forgotten after {now}");
        assert!(!known || now <= 3 * LIFE, "still passed on after {now}");
        acceptors[at] = fresh;
    }
}
