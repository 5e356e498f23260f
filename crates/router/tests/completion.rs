//! When a query ends, and how.

mod common;

use common::*;
use mallowgauge_router::*;

#[test]
fn no_query_is_lost_when_nothing_answers() {
    let mut d = Driver::ready(safe());
    d.query(1, 0, &[0, 1]);
    let actions = d.pass(6 * SECOND - 5 * MS);
    assert_eq!(finals(&actions).len(), 1);
    assert!(finals(&d.pass(2 * SECOND)).is_empty());
}

#[test]
fn a_query_that_no_server_can_serve_ends_in_time() {
    let mut d = Driver::new(safe());
    assert!(sends(&d.query(1, 0, &[0])).is_empty());
    assert_eq!(finals(&d.pass(6 * SECOND)).len(), 1);
}

#[test]
fn nothing_is_sent_after_the_final_answer() {
    let mut d = Driver::ready(safe());
    let sent = sends(&d.query(1, 0, &[0, 1]));
    d.give(vec![Event::ClientDisconnected(QueryId(1))]);
    for (part, _) in sent {
        assert!(sends(&d.ended(part, 0, Outcome::ConnectionLost, 10 * MS)).is_empty());
    }
    assert!(sends(&d.pass(7 * SECOND)).is_empty());
}

#[test]
fn a_partial_answer_is_given_before_the_aim_and_is_not_marked_whole() {
    let mut c = class(Idempotency::Idempotent);
    c.minimum_completeness = 0.5;
    let mut d = Driver::ready(settings(vec![c]));
    let sent = sends(&d.query(1, 0, &[0, 2, 4]));
    d.served(sent[0].0, 0, 50 * MS);
    d.served(sent[1].0, 0, 50 * MS);
    let actions = d.pass(2 * SECOND);
    assert_eq!(finals(&actions), [&Action::Respond { query: QueryId(1), complete: false }]);
}

#[test]
fn no_answer_is_given_below_the_floor() {
    let mut c = class(Idempotency::Idempotent);
    c.minimum_completeness = 0.5;
    let mut d = Driver::ready(settings(vec![c]));
    let sent = sends(&d.query(1, 0, &[0, 2, 4]));
    d.served(sent[0].0, 0, 50 * MS);
    let actions = d.pass(6 * SECOND);
    assert_eq!(finals(&actions).len(), 1);
    assert!(!matches!(finals(&actions)[0], Action::Respond { .. }));
}

#[test]
fn a_share_of_the_parts_makes_a_whole_answer_where_the_class_says_so() {
    let mut c = class(Idempotency::Idempotent);
    (c.required_completeness, c.minimum_completeness) = (0.6, 0.6);
    let mut d = Driver::ready(settings(vec![c]));
    let sent = sends(&d.query(1, 0, &[0, 1, 2, 3, 4]));
    assert_eq!(sent.len(), 4, "three are needed and one is spare; the fifth waits");
    d.served(sent[0].0, 0, 50 * MS);
    d.served(sent[1].0, 0, 50 * MS);
    let actions = d.served(sent[2].0, 0, 50 * MS);
    assert_eq!(finals(&actions), [&Action::Respond { query: QueryId(1), complete: true }]);
    // The part that waited goes out when one of the others is lost.
    let sent = sends(&d.query(2, 0, &[0, 1, 2, 3, 4]));
    let after: Vec<_> =
        sends(&d.ended(sent[0].0, 0, Outcome::BackendError, 5 * MS)).iter().map(|s| s.0).collect();
    assert!(after.iter().any(|part| sent.iter().all(|(p, _)| p != part)), "{after:?}");
}

#[test]
fn a_second_step_needs_all_its_parts() {
    let mut c = class(Idempotency::Idempotent);
    c.second_step_parts = 2;
    let mut d = Driver::ready(settings(vec![c]));
    let (part, _) = sends(&d.query(1, 0, &[0]))[0];
    let first = d.served(part, 0, 50 * MS);
    assert_eq!(finals(&first).len(), 1);
    let second = |i: u128| {
        let (query, part) = (QueryId(1), PartId(50 + i));
        Event::PartArrived(PartArrival { query, part, shard: ShardId(0), weight: 0.5, idempotent: false })
    };
    assert_eq!(sends(&d.give(vec![second(0), second(1)])).len(), 2);
    assert!(finals(&d.served(PartId(50), 0, 50 * MS)).is_empty());
    let done = d.served(PartId(51), 0, 50 * MS);
    assert_eq!(finals(&done), [&Action::Respond { query: QueryId(1), complete: true }]);
}

#[test]
fn news_of_things_no_longer_held_is_harmless() {
    let mut d = Driver::ready(safe());
    d.give(vec![
        Event::ClientDisconnected(QueryId(5)),
        Event::TimerExpired,
        Event::AttemptCompleted { part: PartId(9), attempt: 3, outcome: Outcome::Succeeded, took: 1 },
        Event::HealthCheckCompleted { backend: BackendId(77), passed: true },
        Event::EndpointUpdate(EndpointUpdate::Snapshot(Vec::new())),
    ]);
    assert_eq!(d.give(Vec::new()), []);
}
