//! Planned queries: the caller decides which parts are sent and when the query is answered.

mod common;

use common::*;
use mallowgauge_router::*;

/// Starts a planned query with its first parts.
fn start_planned_query(driver: &mut Driver, query: u128, shards: &[u32], idempotent: bool) -> Vec<Action> {
    let mut events = arrival(query, 0, shards);
    for event in &mut events {
        match event {
            Event::QueryArrived(arrival) => arrival.planned = true,
            Event::PartArrived(part) => part.idempotent = idempotent,
            _ => {}
        }
    }
    driver.handle(events)
}

/// Guards against a router that answers a planned query, or rejects a later part of it: it only sends the
/// parts that arrive and retries those that are idempotent.
#[test]
fn a_planned_query_is_answered_only_by_its_caller() {
    let mut driver = Driver::ready(settings(vec![class(Idempotency::NonIdempotent)]));
    let first_parts = sends(&start_planned_query(&mut driver, 1, &[0, 2], true));
    assert_eq!(first_parts.len(), 2);
    driver.now += 50 * MS;
    // A part that is marked idempotent is retried, although its class is not idempotent.
    let again = sends(&driver.completed(first_parts[0].0, 0, Outcome::BackendError, 50 * MS));
    assert_eq!(again.len(), 1);
    assert!(final_actions(&driver.succeeded(first_parts[1].0, 0, 50 * MS)).is_empty());
    assert!(final_actions(&driver.succeeded(first_parts[0].0, 1, 50 * MS)).is_empty());
    let late = PartArrival {
        query: QueryId(1),
        part: part_id(1, 7),
        shard: ShardId(4),
        weight: 0.5,
        idempotent: false,
    };
    assert_eq!(sends(&driver.handle(vec![Event::PartArrived(late)])).len(), 1);
    // A non-idempotent part is not retried, and its failure is reported.
    let lost = driver.completed(part_id(1, 7), 0, Outcome::ConnectionLost, 50 * MS);
    assert_eq!(lost, [Action::PartFailed { part: part_id(1, 7) }]);
    let settled = driver.handle(vec![Event::QueryCompleted { query: QueryId(1), answered: false }]);
    assert!(final_actions(&settled).is_empty());
    assert!(final_actions(&driver.advance(8 * SECOND)).is_empty(), "no further action for it");
}

/// Guards the counts behind the drop rate: a planned query counts once, like any other, however many parts it
/// has.
#[test]
fn a_planned_query_counts_once() {
    let misses = |planned_ones: bool| {
        let mut driver = Driver::ready(idempotent_settings());
        for query in 1..=6 {
            if planned_ones {
                start_planned_query(&mut driver, query, &[0, 1, 2], true);
                for more in 3..6 {
                    let (query, part) = (QueryId(query), part_id(query, more));
                    let shard = ShardId(more as u32);
                    driver.handle(vec![Event::PartArrived(PartArrival {
                        query,
                        part,
                        shard,
                        weight: 0.1,
                        idempotent: false,
                    })]);
                }
                driver.advance(3 * SECOND);
                driver.handle(vec![Event::QueryCompleted { query: QueryId(query), answered: true }]);
            } else {
                driver.query(query, 0, &[0]);
                driver.advance(3 * SECOND);
                driver.handle(vec![Event::ClientDisconnected(QueryId(query))]);
            }
        }
        driver.router.drop_rate(ClassId(0)).expect("a class")
    };
    let (planned, plain) = (misses(true), misses(false));
    assert!(plain > 0.0 && (planned - plain).abs() < 1e-9, "{planned} and {plain}");
}

#[test]
fn a_part_that_is_no_longer_needed_is_cancelled_and_not_sent_again() {
    let mut driver = Driver::ready(idempotent_settings());
    let sent = sends(&start_planned_query(&mut driver, 1, &[0, 2], true));
    let actions = driver.handle(vec![Event::PartCancelled(sent[0].0)]);
    assert_eq!(actions, [Action::Cancel { part: sent[0].0, attempt: 0 }]);
    assert!(sends(&driver.advance(SECOND)).iter().all(|(part, _)| *part != sent[0].0));
}

/// Guards against planned queries that displace others under overload: they are rejected at the same rate,
/// before any part is sent, and the later parts of an admitted one are not rejected.
#[test]
fn overload_rejects_planned_queries_before_their_first_part() {
    let mut driver = Driver::ready(idempotent_settings());
    let mut number = 1;
    while driver.router.drop_rate(ClassId(0)).is_some_and(|rate| rate < 0.4) {
        // Each query misses its objective.
        driver.query(number, 0, &[0]);
        driver.advance(3 * SECOND);
        driver.handle(vec![Event::ClientDisconnected(QueryId(number))]);
        number += 1;
        assert!(number < 2_000, "the rate does not rise");
    }
    let mut rejected = [0, 0];
    for round in 0..100 {
        let plans = round % 2 == 0;
        let query = 1_000_000 + round;
        let actions = if plans {
            start_planned_query(&mut driver, query, &[1, 3], true)
        } else {
            driver.query(query, 0, &[1, 3])
        };
        let is_rejected = actions.iter().any(|a| matches!(a, Action::Reject { .. }));
        rejected[usize::from(plans)] += u32::from(is_rejected);
        assert_eq!(is_rejected, sends(&actions).is_empty(), "rejected before any part, or all parts sent");
        if plans && !is_rejected {
            let (query, part) = (QueryId(query), part_id(query, 5));
            let late = PartArrival { query, part, shard: ShardId(4), weight: 0.5, idempotent: false };
            assert_eq!(
                sends(&driver.handle(vec![Event::PartArrived(late)])).len(),
                1,
                "a later part is not rejected"
            );
        }
        driver.handle(vec![Event::ClientDisconnected(QueryId(query))]);
    }
    assert!(rejected.iter().all(|&count| count > 5), "{rejected:?} of 50 each");
}
