//! Clients that disconnect while their queries are open, and clients that ask for an open query again.

mod common;

use mallowgauge_core::{Action, AttemptId, Core, CoreLimits, QueryRequest, ResponseHandle};
use mallowgauge_router::{Class, Idempotency, Micros, Outcome, PartId};

use common::{request, SECOND};

const START: Micros = 100 * SECOND;

/// A core whose only class is non-idempotent, and whose attempts wait for permits.
fn core() -> Core {
    let class = Class {
        latency_objective: 2 * SECOND,
        deadline: 6 * SECOND,
        ..common::class(Idempotency::NonIdempotent)
    };
    let limits = CoreLimits { max_open: 100, shards: 1 };
    let settings = common::settings(vec![class]);
    let mut core = Core::new(7, settings, vec!["non-idempotent".to_owned()], limits).expect("valid settings");
    core.require_permits();
    core
}

/// Lists the only backend and returns how many permits are requested in the batches that follow.
fn permit_requests(core: &mut Core) -> usize {
    core.endpoint_update(common::one_ready_backend());
    let batches = (1..100).map(|batch| START + batch * 10_000);
    batches
        .flat_map(|now| core.run_batch(now))
        .filter(|action| matches!(action, Action::RequestPermit(..)))
        .count()
}

#[test]
fn a_query_whose_client_disconnects_before_the_first_attempt_is_not_sent() {
    let mut core = core();
    core.submit(START, ResponseHandle::Http(1), request("a")).expect("the query is opened");
    core.client_disconnected(ResponseHandle::Http(1));
    assert_eq!((core.open_queries(), permit_requests(&mut core)), (0, 0));
}

#[test]
fn an_attempted_non_idempotent_query_outlives_its_client() {
    let mut core = core();
    core.submit(START, ResponseHandle::Http(1), request("a")).expect("the query is opened");
    assert_eq!(permit_requests(&mut core), 1);
    core.client_disconnected(ResponseHandle::Http(1));
    assert_eq!(core.open_queries(), 1);
}

#[test]
fn a_non_idempotent_query_continues_for_its_coalesced_waiters() {
    for disconnect_order in [[1, 2], [2, 1]] {
        let mut core = core();
        core.submit(START, ResponseHandle::Http(1), request("a")).expect("the query is opened");
        core.submit(START, ResponseHandle::Http(2), QueryRequest { retry: true, ..request("a") })
            .expect("the query is coalesced");
        core.client_disconnected(ResponseHandle::Http(disconnect_order[0]));
        assert_eq!(core.open_queries(), 1);
        core.client_disconnected(ResponseHandle::Http(disconnect_order[1]));
        assert_eq!((core.open_queries(), permit_requests(&mut core)), (0, 0));
    }
}

// Guards against a second execution by an instance that runs a query it has taken over: its client asks there again, over
// Flight, under the same id.
#[test]
fn a_client_joins_the_run_of_a_query_that_was_taken_over() {
    let mut core = core();
    let taken_over = QueryRequest { retry: true, ..request("a") };
    core.submit(START, ResponseHandle::TakenOver(1), taken_over.clone()).expect("the query is opened");
    assert_eq!(permit_requests(&mut core), 1);
    core.submit(START + SECOND, ResponseHandle::Flight(2), taken_over).expect("the query is coalesced");
    assert_eq!((core.open_queries(), permit_requests(&mut core)), (1, 0));
    let completed = core.run_batch(START + 7 * SECOND).into_iter().find_map(|action| match action {
        Action::ReplicateOutcome(completed) => Some(completed),
        _ => None,
    });
    let handles = completed.expect("an outcome at the deadline").response_handles;
    assert_eq!(handles, [ResponseHandle::TakenOver(1), ResponseHandle::Flight(2)]);
}

// Guards against sending a query whose client has left, after its only attempt was dropped unsent.
#[test]
fn a_query_proved_not_executed_ends_once_its_client_has_left() {
    for leaves_first in [true, false] {
        let mut core = core();
        core.submit(START, ResponseHandle::Http(1), request("a")).expect("the query is opened");
        assert_eq!(permit_requests(&mut core), 1);
        let attempt = AttemptId { part: PartId(core_part()), number: 0 };
        assert!(core.is_in_flight(attempt));
        if leaves_first {
            core.client_disconnected(ResponseHandle::Http(1));
            assert_eq!(core.open_queries(), 1);
            core.attempt_completed(START + SECOND, attempt, Outcome::NotSent, None);
        } else {
            core.attempt_completed(START + SECOND, attempt, Outcome::NotSent, None);
            core.client_disconnected(ResponseHandle::Http(1));
        }
        let actions: Vec<Action> =
            (1..100).flat_map(|n| core.run_batch(START + SECOND + n * 10_000)).collect();
        let outcomes = actions.iter().filter(|action| matches!(action, Action::ReplicateOutcome(_))).count();
        let permits = actions.iter().filter(|action| matches!(action, Action::RequestPermit(..))).count();
        assert_eq!((core.open_queries(), outcomes, permits), (0, 1, 0), "leaves first: {leaves_first}");
    }
}

/// The number of the first part of a core with the seed of these tests: that of its query and one more.
fn core_part() -> u128 {
    (7 << 64) + 2
}
