//! Acceptors and proposers of the register: recovery, removal of records, limits and state transfer.

use std::sync::Arc;

use mallowgauge_cluster::register::{
    acceptors_for, AbstainReason, Acceptor, AcceptorLimits, AcceptorReply, AcceptorUsage, Ballot,
    Incarnations, OpenedAt, PendingTransfer, Proposal, Proposer, ProposerRequest, QueryId, StateTransfer,
};
use mallowgauge_cluster::{Incarnation, PeerId};

const QUERY_LIFETIME: u64 = 1_000_000;
const LIMITS: AcceptorLimits = AcceptorLimits { records: 4, bytes: 1 << 20, query_lifetime: QUERY_LIFETIME };

fn incarnation(number: u64) -> Incarnation {
    Incarnation { number, nonce: 0 }
}

fn ballot(round: u32, proposer: u16) -> Ballot {
    Ballot { round, proposer: PeerId(proposer), incarnation: incarnation(1), sequence: 0 }
}

/// Returns an acceptor that has just started.
fn fresh_acceptor(number: u64) -> Acceptor {
    Acceptor::new(0, PeerId(0), incarnation(number), 3, 3, LIMITS)
}

/// Returns an empty state transfer.
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

/// Returns an acceptor that has recovered from empty state transfers.
fn recovered_acceptor() -> Acceptor {
    let mut acceptor = fresh_acceptor(1);
    acceptor.receive_transfer(0, transfer(1, true));
    acceptor.receive_transfer(0, transfer(2, true));
    acceptor
}

fn open(id: &str, ballot: Ballot, sequence: u64) -> ProposerRequest {
    open_in(0, id, ballot, sequence)
}

/// Returns the request to open a query that was submitted during this epoch of the acceptor.
fn open_in(epoch: u64, id: &str, ballot: Ballot, sequence: u64) -> ProposerRequest {
    let ballot = Ballot { sequence, ..ballot };
    let (id, payload): (QueryId, Arc<[u8]>) = (id.into(), b"request"[..].into());
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
fn a_started_acceptor_abstains_until_enough_others_sent_their_records() {
    let mut acceptor = fresh_acceptor(1);
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
    // The records of an acceptor that is recovering itself are not sufficient.
    acceptor.receive_transfer(0, transfer(2, false));
    assert_eq!(reason(acceptor.handle_request(0, take.clone())), Some(AbstainReason::Recovering));
    assert_eq!(acceptor.pending_transfers(), [PendingTransfer { peer: PeerId(2), after: None }]);
    // Nor is a transfer to an earlier incarnation.
    acceptor.receive_transfer(0, StateTransfer { to: incarnation(0), ..transfer(2, true) });
    assert!(!acceptor.remembers_every_query(0));
    acceptor.receive_transfer(0, transfer(2, true));
    assert!(acceptor.remembers_every_query(0) && acceptor.pending_transfers().is_empty());
    assert!(matches!(acceptor.handle_request(0, take), Some(AcceptorReply::Promised { record: None, .. })));
}

#[test]
fn acceptors_that_all_restarted_abstain_until_earlier_queries_have_expired() {
    let mut acceptor = fresh_acceptor(1);
    acceptor.receive_transfer(0, transfer(1, false));
    acceptor.receive_transfer(0, transfer(2, false));
    assert_eq!(
        reason(acceptor.handle_request(2 * QUERY_LIFETIME - 1, open("a", ballot(0, 9), 1))),
        Some(AbstainReason::Recovering)
    );
    assert!(matches!(
        acceptor.handle_request(2 * QUERY_LIFETIME, open("a", ballot(0, 9), 1)),
        Some(AcceptorReply::Accepted { .. })
    ));
    // Time alone is not sufficient: a proposal may rely on an earlier incarnation of this acceptor until the
    // other acceptors know the current one.
    assert_eq!(
        reason(fresh_acceptor(1).handle_request(9 * QUERY_LIFETIME, open("a", ballot(0, 9), 1))),
        Some(AbstainReason::Recovering)
    );
}

#[test]
fn a_late_request_does_not_reopen_a_query_whose_record_was_removed() {
    let mut acceptor = recovered_acceptor();
    acceptor.handle_request(0, open("a", ballot(0, 9), 7));
    acceptor.handle_request(0, chosen("a"));
    // A paused acceptor ends only one epoch, so a request from before the pause still finds the record.
    assert!(acceptor.end_epoch(100 * QUERY_LIFETIME) && !acceptor.end_epoch(100 * QUERY_LIFETIME));
    assert!(matches!(
        acceptor.handle_request(100 * QUERY_LIFETIME, open("a", ballot(0, 8), 1)),
        Some(AcceptorReply::Rejected { .. })
    ));
    assert!(acceptor.end_epoch(101 * QUERY_LIFETIME) && acceptor.record("a").is_some());
    assert!(acceptor.end_epoch(102 * QUERY_LIFETIME));
    assert_eq!((acceptor.epoch(), acceptor.usage()), (3, AcceptorUsage { records: 0, bytes: 0 }));
    // The record is removed now, and requests that were submitted before that are not accepted.
    let late = acceptor.handle_request(101 * QUERY_LIFETIME, open("a", ballot(0, 8), 1));
    assert_eq!(reason(late), Some(AbstainReason::UnknownQuery));
    assert!(matches!(
        acceptor.handle_request(101 * QUERY_LIFETIME, open_in(2, "b", ballot(0, 9), 8)),
        Some(AcceptorReply::Accepted { .. })
    ));
    let accept = ProposerRequest::Accept {
        id: "a".into(),
        ballot: Ballot { sequence: 7, ..ballot(0, 9) },
        incarnations: Incarnations::new(),
        proposal: Proposal::default(),
        version: 2,
    };
    assert_eq!(reason(acceptor.handle_request(QUERY_LIFETIME, accept)), Some(AbstainReason::UnknownQuery));
}

#[test]
fn a_full_acceptor_abstains_from_new_queries_and_keeps_open_records() {
    let mut acceptor = recovered_acceptor();
    for (number, id) in ["a", "b", "c", "d"].into_iter().enumerate() {
        acceptor.handle_request(0, open(id, ballot(0, 9), number as u64));
    }
    acceptor.handle_request(0, chosen("b"));
    assert_eq!(
        reason(acceptor.handle_request(0, open("e", ballot(0, 9), 5))),
        Some(AbstainReason::CapacityExhausted)
    );
    acceptor.end_epoch(QUERY_LIFETIME);
    assert_eq!(
        reason(acceptor.handle_request(QUERY_LIFETIME, open_in(1, "e", ballot(0, 9), 5))),
        Some(AbstainReason::CapacityExhausted)
    );
    for times in 2..4 {
        acceptor.end_epoch(times * QUERY_LIFETIME);
    }
    assert!(matches!(
        acceptor.handle_request(3 * QUERY_LIFETIME, open_in(3, "e", ballot(0, 9), 5)),
        Some(AcceptorReply::Accepted { .. })
    ));
    assert!(acceptor.record("b").is_none() && acceptor.record("a").is_some());
    for times in 4..20 {
        acceptor.end_epoch(times * QUERY_LIFETIME);
    }
    assert_eq!(acceptor.open_records().count(), 4);
}

/// Successive proposers both number their first attempt 0. That one of them was not executed must not be
/// recorded for the other.
#[test]
fn not_executed_is_recorded_per_ballot() {
    let peers = || vec![PeerId(0), PeerId(1), PeerId(2)];
    let mut acceptors: Vec<Acceptor> = (0..3_u16)
        .map(|index| {
            let mut acceptor = Acceptor::new(0, PeerId(index), incarnation(1), 3, 3, LIMITS);
            (0..3)
                .filter(|from| *from != index)
                .for_each(|from| drop(acceptor.receive_transfer(0, transfer(from, true))));
            acceptor
        })
        .collect();
    let mut exchange = |proposer: &mut Proposer, to: &[u16]| {
        for &index in to {
            let request = proposer.request_for(PeerId(index)).expect("a request");
            let reply = acceptors[usize::from(index)].handle_request(0, request).expect("a reply");
            proposer.handle_reply(PeerId(index), reply);
        }
    };
    let incarnations: Incarnations = peers().into_iter().map(|peer| (peer, incarnation(1))).collect();
    let opened_at = OpenedAt { incarnations, epochs: peers().into_iter().map(|peer| (peer, 0)).collect() };
    let mut owner =
        Proposer::open("a".into(), ballot(0, 9), peers(), opened_at.clone(), b"request"[..].into());
    // Only acceptor 2 knows of the first attempt, and that it was not executed.
    let first = owner.propose_intent(0, 0).expect("an attempt");
    owner.mark_not_executed(first);
    exchange(&mut owner, &[2]);
    assert!(!owner.is_permitted(first));
    let mut second = Proposer::prepare("a".into(), ballot(1, 8), peers(), opened_at.clone());
    exchange(&mut second, &[0, 1]);
    let sent = second.propose_intent(0, 0).expect("an attempt");
    exchange(&mut second, &[0, 1]);
    assert!(second.is_permitted(sent));
    // The second proposer is lost. The third one learns of both attempts, and that one was not executed.
    let mut third = Proposer::prepare("a".into(), ballot(2, 7), peers(), opened_at);
    exchange(&mut third, &[1, 2]);
    assert!(third.may_have_executed(0));
    assert_eq!(third.propose_intent(0, 0), None);
}

#[test]
fn reopening_an_ended_query_returns_its_record() {
    let mut acceptor = recovered_acceptor();
    acceptor.handle_request(0, open("a", ballot(0, 9), 1));
    // The same incarnation of the same process, with another ballot.
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
fn acceptors_are_evenly_distributed_over_the_peers() {
    let mut counts = [0_u32; 7];
    for id in 0..7000 {
        let acceptors = acceptors_for(&format!("{id:x}"), 7, 3);
        assert_eq!(acceptors.len(), 3);
        assert!(acceptors[0] != acceptors[1] && acceptors[1] != acceptors[2] && acceptors[0] != acceptors[2]);
        acceptors.iter().for_each(|peer| counts[usize::from(peer.0)] += 1);
    }
    assert!(counts.iter().all(|count| (2700..=3300).contains(count)), "{counts:?}");
    // The order of a query's acceptors depends only on its id and the fixed list of peers.
    assert_eq!(acceptors_for("q", 7, 3), acceptors_for("q", 7, 5)[..3]);
}

/// Records are transferred in pages of bounded size. A lost page is requested again, a duplicate or late one
/// changes nothing, and recovery does not end before the last page.
#[test]
fn records_are_transferred_in_pages() {
    let limits = AcceptorLimits { records: 1000, ..LIMITS };
    let mut full = Acceptor::new(0, PeerId(0), incarnation(1), 3, 3, limits);
    full.receive_transfer(0, transfer(1, true));
    full.receive_transfer(0, transfer(2, true));
    let ids: Vec<QueryId> = (0..200).map(|number| format!("q{number:03}").into()).collect();
    for (id, sequence) in ids.iter().zip(1..) {
        assert!(matches!(
            full.handle_request(0, open(id, ballot(0, 2), sequence)),
            Some(AcceptorReply::Accepted { .. })
        ));
    }
    let mut late = Acceptor::new(0, PeerId(1), incarnation(2), 3, 3, limits);
    late.receive_transfer(0, StateTransfer { to: incarnation(2), ..transfer(2, true) });
    let (mut after, mut pages) = (None, 0);
    loop {
        let page = full.serve_transfer(0, PeerId(1), incarnation(2), after.clone());
        assert!(page.records.len() < 20 && !page.records.is_empty());
        assert!(!late.remembers_every_query(0), "not before the last page");
        pages += 1;
        let last = page.next.is_none();
        // The page is duplicated, and the first page arrives late.
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
            "only the lost page is requested again"
        );
        after = next;
    }
    assert!(pages > 10 && late.remembers_every_query(0));
    assert!(ids.iter().all(|id| late.record(id) == full.record(id)));
}

/// Guards against records of ended queries that acceptors which restart one after the other pass on forever.
#[test]
fn records_of_ended_queries_are_not_transferred_forever() {
    let mut now = 0;
    let mut acceptors: Vec<Acceptor> = vec![recovered_acceptor(), recovered_acceptor()];
    acceptors[1] = Acceptor::new(0, PeerId(1), incarnation(1), 3, 3, LIMITS);
    acceptors[1].receive_transfer(0, StateTransfer { from: PeerId(0), ..transfer(0, true) });
    acceptors[1].receive_transfer(0, transfer(2, true));
    acceptors[0].handle_request(now, open("old", ballot(0, 9), 1));
    acceptors[0].handle_request(now, chosen("old"));
    for number in 3..10 {
        // Each acceptor gets the other one's records just after its start, and restarts before it removes
        // any.
        now += QUERY_LIFETIME * 7 / 10;
        let (index, other) = (number % 2, 1 - number % 2);
        let me = PeerId(index as u16);
        let mut restarted = Acceptor::new(now, me, incarnation(number as u64), 3, 3, LIMITS);
        let page = acceptors[other].serve_transfer(now + 5, me, incarnation(number as u64), None);
        assert!(restarted.receive_transfer(now + 10, page).is_none());
        // The record is kept for at least the query's lifetime.
        let known = restarted.record("old").is_some();
        assert!(known || now >= QUERY_LIFETIME, "removed after {now} us");
        assert!(!known || now <= 3 * QUERY_LIFETIME, "still transferred after {now} us");
        acceptors[index] = restarted;
    }
}
