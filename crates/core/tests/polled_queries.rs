//! Random lives of flights, held against a model: whoever asks, a flight with an effect runs once, every
//! caller is told one outcome, and memory stays inside its bounds.

use std::collections::{BTreeMap, BTreeSet};

use mallowgauge_core::polled_queries::{
    CancelResult, PolledQueries, PolledQueryKey, PolledQueryLimits, PolledQuerySpec, RejectReason, RunId,
    Submission, WaiterId,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const KEEP: u64 = 1_000;
const BOUNDS: PolledQueryLimits = PolledQueryLimits { flights: 6, bytes: 100, keep: KEEP, unpolled: 300 };

#[derive(Clone, Debug)]
enum Step {
    Ask { id: u8, body: u8, ticketed: bool },
    Poll { id: u8 },
    Settle { which: usize, bytes: usize, untouched: bool },
    Leave { which: usize },
    Cancel { id: u8 },
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..8_u8, 0..10_u8, any::<bool>())
            .prop_map(|(id, body, ticketed)| Step::Ask { id, body: u8::from(body == 0), ticketed }),
        1 => (0..8_u8).prop_map(|id| Step::Poll { id }),
        4 => (any::<usize>(), 0..60_usize, any::<bool>())
            .prop_map(|(which, bytes, untouched)| Step::Settle { which, bytes, untouched }),
        1 => any::<usize>().prop_map(|which| Step::Leave { which }),
        1 => (0..8_u8).prop_map(|id| Step::Cancel { id }),
        2 => (1..400_u64).prop_map(Step::Wait),
    ]
}

fn key(id: u8) -> PolledQueryKey {
    PolledQueryKey { user: "ann".into(), id: id.to_string().into() }
}

/// What the model knows of an id: when it was first run and settled, and with what outcome.
#[derive(Default)]
struct Known {
    /// Runs that were not proved untouched, with when their outcome came.
    ran: Vec<(u64, Option<u64>)>,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_flight_with_an_effect_runs_once_and_everybody_is_told(steps in prop::collection::vec(step(), 1..200)) {
        let mut flights: PolledQueries<u64> = PolledQueries::new(BOUNDS);
        let (mut now, mut next) = (1_000_u64, 0_u64);
        let mut running: BTreeMap<RunId, u8> = BTreeMap::new();
        let mut waiting: BTreeMap<WaiterId, u8> = BTreeMap::new();
        let mut known: BTreeMap<u8, Known> = BTreeMap::new();
        // The one ticket of each id was made at the start.
        let made = 500_u64;
        for step in steps {
            match step {
                Step::Ask { id, body, ticketed } => {
                    next += 2;
                    let (run, caller) = (RunId(next), WaiterId(next + 1));
                    let made = ticketed.then_some(made);
                    let spec = PolledQuerySpec { body: body.into(), effect: true, polled: false, made };
                    match flights.submit(now, &key(id), spec, Some(caller), run) {
                        Submission::Run(got) => {
                            prop_assert_eq!(got, run);
                            let past = known.entry(id).or_default();
                            // A ticket is never run again. An id alone is not while its outcome is promised.
                            for (_, settled) in &past.ran {
                                let settled = settled.expect("it is not run while it runs");
                                prop_assert!(!ticketed, "a ticket was run twice");
                                prop_assert!(settled + KEEP <= now, "run again while it is remembered");
                            }
                            past.ran.push((run.0, None));
                            running.insert(run, id);
                            waiting.insert(caller, id);
                        }
                        Submission::Join(got) => {
                            prop_assert_eq!(running.get(&got), Some(&id));
                            waiting.insert(caller, id);
                        }
                        Submission::Replay(outcome) => {
                            let told = known[&id].ran.iter().any(|(run, at)| *run == outcome && at.is_some());
                            prop_assert!(told, "an outcome of its own");
                        }
                        Submission::Reject(RejectReason::Full) => prop_assert!(flights.counts().0 >= BOUNDS.flights),
                        Submission::Reject(_) => {}
                    }
                }
                Step::Poll { id } => {
                    let _ = flights.state(now, &key(id));
                }
                Step::Settle { which, bytes, untouched } => {
                    let Some((&run, &id)) = running.iter().nth(which % running.len().max(1)) else { continue };
                    running.remove(&run);
                    let told = flights.complete(now, run, run.0, bytes, untouched);
                    let past = &mut known.get_mut(&id).expect("it was run").ran;
                    if untouched {
                        past.retain(|(number, _)| *number != run.0);
                    } else if let Some(last) = past.last_mut() {
                        last.1 = Some(now);
                    }
                    let due: BTreeSet<WaiterId> =
                        waiting.iter().filter(|(_, at)| **at == id).map(|(&c, _)| c).collect();
                    prop_assert_eq!(told.into_iter().collect::<BTreeSet<_>>(), due, "all are told, once");
                    waiting.retain(|_, at| *at != id);
                }
                Step::Leave { which } => {
                    let Some((&caller, _)) = waiting.iter().nth(which % waiting.len().max(1)) else { continue };
                    waiting.remove(&caller);
                    prop_assert_eq!(flights.remove_waiter(caller), None, "one with an effect goes on without callers");
                }
                Step::Cancel { id } => {
                    // Whatever runs may have had its effect.
                    let done = flights.cancel(now, &key(id), |_| true);
                    prop_assert!(!matches!(done, CancelResult::Cancelled(..)));
                }
                Step::Wait(time) => {
                    now += time;
                    prop_assert!(flights.handle_timeout(now).is_empty());
                }
            }
            let (count, bytes) = flights.counts();
            prop_assert!(count <= BOUNDS.flights && bytes <= BOUNDS.bytes, "{count} flights, {bytes} bytes");
        }
        // Whatever still runs can be settled, and nobody is left waiting.
        for (run, id) in running {
            for caller in flights.complete(now, run, run.0, 0, false) {
                prop_assert_eq!(waiting.remove(&caller), Some(id));
            }
        }
        prop_assert!(waiting.is_empty());
    }

    #[test]
    fn a_polled_flight_ends_once_or_is_given_up(waits in prop::collection::vec(1..600_u64, 1..20)) {
        let mut flights: PolledQueries<u64> = PolledQueries::new(BOUNDS);
        let spec = PolledQuerySpec { body: 0, effect: false, polled: true, made: None };
        let mut now = 1_000;
        prop_assert_eq!(flights.submit(now, &key(1), spec, None, RunId(1)), Submission::Run(RunId(1)));
        let mut given_up = false;
        for wait in waits {
            let due = flights.poll_timeout().expect("it is looked at");
            now += wait;
            let over = flights.handle_timeout(now);
            prop_assert_eq!(!over.is_empty(), !given_up && due <= now && over == [RunId(1)]);
            given_up |= !over.is_empty();
            prop_assert!(given_up || wait < BOUNDS.unpolled);
            let _ = flights.state(now, &key(1));
            if given_up {
                let again = flights.submit(now, &key(1), spec, None, RunId(2));
                let refused = matches!(again, Submission::Reject(RejectReason::Cancelled));
                prop_assert!(refused || now >= due + KEEP);
                break;
            }
        }
    }
}

#[test]
fn what_was_forgotten_for_room_is_not_run_again() {
    let mut flights: PolledQueries<u64> = PolledQueries::new(BOUNDS);
    let spec = |made| PolledQuerySpec { body: 0, effect: true, polled: false, made };
    for id in 0..10_u8 {
        let run = RunId(id.into());
        let made = Some(1_000 + u64::from(id));
        assert_eq!(flights.submit(2_000, &key(id), spec(made), None, run), Submission::Run(run));
        assert!(flights.complete(2_000, run, 7, 1, false).is_empty());
    }
    // The first four had to make room; whichever way they are asked for, they are refused.
    for made in [None, Some(1_000)] {
        assert_eq!(
            flights.submit(2_001, &key(0), spec(made), None, RunId(99)),
            Submission::Reject(RejectReason::Forgotten)
        );
        assert_eq!(flights.submit(2_001, &key(9), spec(made), None, RunId(99)), Submission::Replay(7));
    }
    // A ticket as old that has not been used is taken.
    assert_eq!(
        flights.submit(2_001, &key(77), spec(Some(1_003)), None, RunId(99)),
        Submission::Run(RunId(99))
    );
    // Once the time is over that was promised, no ticket as old as those is.
    assert_eq!(
        flights.submit(9_000, &key(0), spec(Some(1_000)), None, RunId(98)),
        Submission::Reject(RejectReason::Forgotten)
    );
    assert_eq!(
        flights.submit(9_000, &key(78), spec(Some(1_009)), None, RunId(98)),
        Submission::Reject(RejectReason::Forgotten)
    );
    assert_eq!(
        flights.submit(9_000, &key(78), spec(Some(1_010)), None, RunId(98)),
        Submission::Run(RunId(98))
    );
}

#[test]
fn a_renewed_outcome_is_kept_for_longer_and_a_revoked_id_does_not_run() {
    let mut flights: PolledQueries<u64> = PolledQueries::new(BOUNDS);
    let spec = PolledQuerySpec { body: 0, effect: true, polled: false, made: Some(1) };
    assert_eq!(flights.submit(100, &key(1), spec, None, RunId(1)), Submission::Run(RunId(1)));
    assert_eq!(flights.renew(100, &key(1)), None, "it still runs");
    flights.complete(100, RunId(1), 7, 1, false);
    assert_eq!(flights.renew(900, &key(1)), Some(900 + KEEP));
    assert_eq!(flights.submit(1_500, &key(1), spec, None, RunId(2)), Submission::Replay(7));
    assert_eq!(
        flights.submit(2_000, &key(1), spec, None, RunId(2)),
        Submission::Reject(RejectReason::Forgotten)
    );
    flights.revoke(2_000, &key(2), spec).expect("room");
    assert_eq!(
        flights.submit(2_000, &key(2), spec, None, RunId(3)),
        Submission::Reject(RejectReason::Cancelled)
    );
}
