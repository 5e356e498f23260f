//! Random histories of polled queries, checked against a model: a non-idempotent query is executed once
//! whichever calls submit it, every waiter gets its outcome, and memory stays within its limits.

use std::collections::{BTreeMap, BTreeSet};

use mallowgauge_core::polled_queries::{
    CancelResult, PolledQueries, PolledQueryKey, PolledQueryLimits, PolledQuerySpec, RejectReason, RunId,
    Submission, WaiterId,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const RETENTION: u64 = 1_000;
const LIMITS: PolledQueryLimits =
    PolledQueryLimits { queries: 6, outcome_bytes: 100, retention: RETENTION, poll_timeout: 300 };

#[derive(Clone, Debug)]
enum Step {
    Submit { id: u8, body: u8, with_ticket: bool },
    Poll { id: u8 },
    Complete { which: usize, bytes: usize, not_executed: bool },
    Disconnect { which: usize },
    Cancel { id: u8 },
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..8_u8, 0..10_u8, any::<bool>())
            .prop_map(|(id, body, with_ticket)| Step::Submit { id, body: u8::from(body == 0), with_ticket }),
        1 => (0..8_u8).prop_map(|id| Step::Poll { id }),
        4 => (any::<usize>(), 0..60_usize, any::<bool>())
            .prop_map(|(which, bytes, not_executed)| Step::Complete { which, bytes, not_executed }),
        1 => any::<usize>().prop_map(|which| Step::Disconnect { which }),
        1 => (0..8_u8).prop_map(|id| Step::Cancel { id }),
        2 => (1..400_u64).prop_map(Step::Wait),
    ]
}

fn key(id: u8) -> PolledQueryKey {
    PolledQueryKey { user: "ann".into(), id: id.to_string().into() }
}

/// The model's record of an id.
#[derive(Default)]
struct History {
    /// Runs that are not proved not executed, each with the time of its outcome.
    runs: Vec<(u64, Option<u64>)>,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_non_idempotent_query_runs_once_and_every_waiter_gets_its_outcome(steps in prop::collection::vec(step(), 1..200)) {
        let mut polled: PolledQueries<u64> = PolledQueries::new(LIMITS);
        let (mut now, mut next) = (1_000_u64, 0_u64);
        let mut running: BTreeMap<RunId, u8> = BTreeMap::new();
        let mut waiting: BTreeMap<WaiterId, u8> = BTreeMap::new();
        let mut histories: BTreeMap<u8, History> = BTreeMap::new();
        // Each id has one ticket, created at the start.
        let created_at = 500_u64;
        for step in steps {
            match step {
                Step::Submit { id, body, with_ticket } => {
                    next += 2;
                    let (run, caller) = (RunId(next), WaiterId(next + 1));
                    let ticket_created_at = with_ticket.then_some(created_at);
                    let spec = PolledQuerySpec { request_hash: body.into(), non_idempotent: true, polled: false, ticket_created_at };
                    match polled.submit(now, &key(id), spec, Some(caller), run) {
                        Submission::Run(got) => {
                            prop_assert_eq!(got, run);
                            let past = histories.entry(id).or_default();
                            // A ticket is never run again; an id without a ticket not while its outcome is
                            // retained.
                            for (_, completed_at) in &past.runs {
                                let completed_at = completed_at.expect("a running query is not run again");
                                prop_assert!(!with_ticket, "a ticket was run twice");
                                prop_assert!(completed_at + RETENTION <= now, "run again while its outcome is retained");
                            }
                            past.runs.push((run.0, None));
                            running.insert(run, id);
                            waiting.insert(caller, id);
                        }
                        Submission::Join(got) => {
                            prop_assert_eq!(running.get(&got), Some(&id));
                            waiting.insert(caller, id);
                        }
                        Submission::Replay(outcome) => {
                            let is_known = histories[&id].runs.iter().any(|(run, at)| *run == outcome && at.is_some());
                            prop_assert!(is_known, "not the outcome of a run of this id");
                        }
                        Submission::Reject(RejectReason::Full) => prop_assert!(polled.counts().0 >= LIMITS.queries),
                        Submission::Reject(_) => {}
                    }
                }
                Step::Poll { id } => {
                    let _ = polled.state(now, &key(id));
                }
                Step::Complete { which, bytes, not_executed } => {
                    let Some((&run, &id)) = running.iter().nth(which % running.len().max(1)) else { continue };
                    running.remove(&run);
                    let notified = polled.complete(now, run, run.0, bytes, not_executed);
                    let past = &mut histories.get_mut(&id).expect("it was run").runs;
                    if not_executed {
                        past.retain(|(number, _)| *number != run.0);
                    } else if let Some(last) = past.last_mut() {
                        last.1 = Some(now);
                    }
                    let expected: BTreeSet<WaiterId> =
                        waiting.iter().filter(|(_, at)| **at == id).map(|(&c, _)| c).collect();
                    prop_assert_eq!(notified.into_iter().collect::<BTreeSet<_>>(), expected, "each waiter is notified once");
                    waiting.retain(|_, at| *at != id);
                }
                Step::Disconnect { which } => {
                    let Some((&caller, _)) = waiting.iter().nth(which % waiting.len().max(1)) else { continue };
                    waiting.remove(&caller);
                    prop_assert_eq!(polled.remove_waiter(caller), None, "a non-idempotent query continues without waiters");
                }
                Step::Cancel { id } => {
                    // Every run may have been executed.
                    let result = polled.cancel(now, &key(id), |_| true);
                    prop_assert!(!matches!(result, CancelResult::Cancelled(..)));
                }
                Step::Wait(time) => {
                    now += time;
                    prop_assert!(polled.handle_timeout(now).is_empty());
                }
            }
            let (count, bytes) = polled.counts();
            prop_assert!(count <= LIMITS.queries && bytes <= LIMITS.outcome_bytes, "{count} queries, {bytes} bytes");
        }
        // All runs can be completed, and no call is left waiting.
        for (run, id) in running {
            for caller in polled.complete(now, run, run.0, 0, false) {
                prop_assert_eq!(waiting.remove(&caller), Some(id));
            }
        }
        prop_assert!(waiting.is_empty());
    }

    #[test]
    fn a_polled_query_ends_once_or_is_cancelled(waits in prop::collection::vec(1..600_u64, 1..20)) {
        let mut polled: PolledQueries<u64> = PolledQueries::new(LIMITS);
        let spec = PolledQuerySpec { request_hash: 0, non_idempotent: false, polled: true, ticket_created_at: None };
        let mut now = 1_000;
        prop_assert_eq!(polled.submit(now, &key(1), spec, None, RunId(1)), Submission::Run(RunId(1)));
        let mut cancelled = false;
        for wait in waits {
            let due = polled.poll_timeout().expect("a polled query has a timeout");
            now += wait;
            let cancelled_runs = polled.handle_timeout(now);
            prop_assert_eq!(!cancelled_runs.is_empty(), !cancelled && due <= now && cancelled_runs == [RunId(1)]);
            cancelled |= !cancelled_runs.is_empty();
            prop_assert!(cancelled || wait < LIMITS.poll_timeout);
            let _ = polled.state(now, &key(1));
            if cancelled {
                let again = polled.submit(now, &key(1), spec, None, RunId(2));
                let rejected = matches!(again, Submission::Reject(RejectReason::Cancelled));
                prop_assert!(rejected || now >= due + RETENTION);
                break;
            }
        }
    }
}

#[test]
fn an_evicted_query_is_not_run_again() {
    let mut polled: PolledQueries<u64> = PolledQueries::new(LIMITS);
    let spec = |ticket_created_at| PolledQuerySpec {
        request_hash: 0,
        non_idempotent: true,
        polled: false,
        ticket_created_at,
    };
    for id in 0..10_u8 {
        let run = RunId(id.into());
        let created_at = Some(1_000 + u64::from(id));
        assert_eq!(polled.submit(2_000, &key(id), spec(created_at), None, run), Submission::Run(run));
        assert!(polled.complete(2_000, run, 7, 1, false).is_empty());
    }
    // The first four were evicted. They are rejected with and without a ticket.
    for created_at in [None, Some(1_000)] {
        assert_eq!(
            polled.submit(2_001, &key(0), spec(created_at), None, RunId(99)),
            Submission::Reject(RejectReason::Forgotten)
        );
        assert_eq!(polled.submit(2_001, &key(9), spec(created_at), None, RunId(99)), Submission::Replay(7));
    }
    // An unused ticket of the same age is accepted.
    assert_eq!(
        polled.submit(2_001, &key(77), spec(Some(1_003)), None, RunId(99)),
        Submission::Run(RunId(99))
    );
    // After the retention, tickets that old are rejected.
    assert_eq!(
        polled.submit(9_000, &key(0), spec(Some(1_000)), None, RunId(98)),
        Submission::Reject(RejectReason::Forgotten)
    );
    assert_eq!(
        polled.submit(9_000, &key(78), spec(Some(1_009)), None, RunId(98)),
        Submission::Reject(RejectReason::Forgotten)
    );
    assert_eq!(
        polled.submit(9_000, &key(78), spec(Some(1_010)), None, RunId(98)),
        Submission::Run(RunId(98))
    );
}

#[test]
fn a_renewed_outcome_is_retained_longer_and_a_revoked_id_does_not_run() {
    let mut polled: PolledQueries<u64> = PolledQueries::new(LIMITS);
    let spec =
        PolledQuerySpec { request_hash: 0, non_idempotent: true, polled: false, ticket_created_at: Some(1) };
    assert_eq!(polled.submit(100, &key(1), spec, None, RunId(1)), Submission::Run(RunId(1)));
    assert_eq!(polled.renew(100, &key(1)), None, "the query still runs");
    polled.complete(100, RunId(1), 7, 1, false);
    assert_eq!(polled.renew(900, &key(1)), Some(900 + RETENTION));
    assert_eq!(polled.submit(1_500, &key(1), spec, None, RunId(2)), Submission::Replay(7));
    assert_eq!(
        polled.submit(2_000, &key(1), spec, None, RunId(2)),
        Submission::Reject(RejectReason::Forgotten)
    );
    // A ticket as old as the forgotten one may have been its ticket; a newer one was not.
    assert_eq!(polled.revoke(2_000, &key(2), spec), Err(RejectReason::Forgotten));
    let newer = PolledQuerySpec { ticket_created_at: Some(2), ..spec };
    polled.revoke(2_000, &key(2), newer).expect("there is capacity");
    assert_eq!(
        polled.submit(2_000, &key(2), newer, None, RunId(3)),
        Submission::Reject(RejectReason::Cancelled)
    );
}

// Guards against the second run of a query that is polled again after it was forgotten: the poll descriptor holds the
// time that `created_at` returns.
#[test]
fn poll_descriptor_of_a_forgotten_query_does_not_run_it_again() {
    let mut polled: PolledQueries<u64> = PolledQueries::new(LIMITS);
    let spec = |ticket_created_at| PolledQuerySpec {
        request_hash: 0,
        non_idempotent: true,
        polled: true,
        ticket_created_at,
    };
    assert_eq!(polled.created_at(&key(1)), None);
    for id in [1, 2] {
        let run = RunId(id.into());
        assert_eq!(polled.submit(1_000, &key(id), spec(None), None, run), Submission::Run(run));
    }
    // A query that was rejected without having been executed may run, and keeps its time.
    polled.complete(1_100, RunId(2), 7, 1, true);
    assert_eq!(polled.submit(1_200, &key(2), spec(Some(1_000)), None, RunId(3)), Submission::Run(RunId(3)));
    assert_eq!(polled.created_at(&key(2)), Some(1_000));
    // Later polls do not change the time.
    assert_eq!(polled.submit(1_200, &key(1), spec(Some(1_000)), None, RunId(4)), Submission::Join(RunId(1)));
    polled.complete(1_200, RunId(1), 7, 1, false);
    assert_eq!(polled.created_at(&key(1)), Some(1_000));
    let forgotten_at = 1_200 + RETENTION;
    assert_eq!(
        polled.submit(forgotten_at, &key(1), spec(Some(1_000)), None, RunId(5)),
        Submission::Reject(RejectReason::Forgotten)
    );
    assert_eq!(polled.created_at(&key(1)), None);
}

// Guards against a cancellation that is confirmed of a query which may have run and was forgotten.
#[test]
fn forgotten_query_is_not_reported_as_cancelled() {
    let mut polled: PolledQueries<u64> = PolledQueries::new(LIMITS);
    let spec = |non_idempotent, ticket_created_at| PolledQuerySpec {
        request_hash: 0,
        non_idempotent,
        polled: false,
        ticket_created_at,
    };
    for id in 0..10_u8 {
        let run = RunId(id.into());
        assert_eq!(polled.submit(1_000, &key(id), spec(true, Some(900)), None, run), Submission::Run(run));
        assert!(polled.complete(1_000, run, 7, 1, false).is_empty());
    }
    // The first four were evicted, and after the retention all are forgotten.
    for now in [1_001, 9_000] {
        assert_eq!(polled.cancel(now, &key(0), |_| true), CancelResult::Unknown);
        for created_at in [Some(900), None] {
            let revoked = polled.revoke(now, &key(0), spec(true, created_at));
            assert_eq!(revoked, Err(RejectReason::Forgotten), "{created_at:?} at {now}");
        }
    }
    assert_eq!(polled.revoke(9_000, &key(0), spec(false, None)), Ok(()));
    assert_eq!(polled.revoke(9_000, &key(1), spec(true, Some(901))), Ok(()));
}
