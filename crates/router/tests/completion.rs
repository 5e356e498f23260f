//! When a query ends, and with what result.

mod common;

use common::*;
use mallowgauge_router::completion::{parts_to_send, Answer, Ending, Progress};
use mallowgauge_router::*;

#[test]
fn a_query_ends_exactly_once_if_no_backend_answers() {
    let mut driver = Driver::ready(idempotent_settings());
    driver.query(1, 0, &[0, 1]);
    let actions = driver.advance(6 * SECOND - 5 * MS);
    assert_eq!(final_actions(&actions).len(), 1);
    assert!(final_actions(&driver.advance(2 * SECOND)).is_empty());
}

#[test]
fn a_query_without_any_backend_ends_in_time() {
    let mut driver = Driver::new(idempotent_settings());
    assert!(sends(&driver.query(1, 0, &[0])).is_empty());
    assert_eq!(final_actions(&driver.advance(6 * SECOND)).len(), 1);
}

#[test]
fn nothing_is_sent_after_the_client_disconnects() {
    let mut driver = Driver::ready(idempotent_settings());
    let sent = sends(&driver.query(1, 0, &[0, 1]));
    driver.handle(vec![Event::ClientDisconnected(QueryId(1))]);
    for (part, _) in sent {
        assert!(sends(&driver.completed(part, 0, Outcome::ConnectionLost, 10 * MS)).is_empty());
    }
    assert!(sends(&driver.advance(7 * SECOND)).is_empty());
}

#[test]
fn a_partial_answer_is_given_before_the_objective_and_is_not_marked_complete() {
    let mut c = class(Idempotency::Idempotent);
    c.minimum_completeness = 0.5;
    let mut driver = Driver::ready(settings(vec![c]));
    let sent = sends(&driver.query(1, 0, &[0, 2, 4]));
    driver.succeeded(sent[0].0, 0, 50 * MS);
    driver.succeeded(sent[1].0, 0, 50 * MS);
    let actions = driver.advance(2 * SECOND);
    assert_eq!(final_actions(&actions), [&Action::Respond { query: QueryId(1), complete: false }]);
}

#[test]
fn no_answer_is_given_below_the_minimum_completeness() {
    let mut c = class(Idempotency::Idempotent);
    c.minimum_completeness = 0.5;
    let mut driver = Driver::ready(settings(vec![c]));
    let sent = sends(&driver.query(1, 0, &[0, 2, 4]));
    driver.succeeded(sent[0].0, 0, 50 * MS);
    let actions = driver.advance(6 * SECOND);
    assert_eq!(final_actions(&actions).len(), 1);
    assert!(!matches!(final_actions(&actions)[0], Action::Respond { .. }));
}

#[test]
fn the_required_fraction_of_the_parts_makes_a_complete_answer() {
    let mut c = class(Idempotency::Idempotent);
    (c.required_completeness, c.minimum_completeness) = (0.6, 0.6);
    let mut driver = Driver::ready(settings(vec![c]));
    let sent = sends(&driver.query(1, 0, &[0, 1, 2, 3, 4]));
    assert_eq!(sent.len(), 4, "three are needed and one is spare; the fifth is deferred");
    driver.succeeded(sent[0].0, 0, 50 * MS);
    driver.succeeded(sent[1].0, 0, 50 * MS);
    let actions = driver.succeeded(sent[2].0, 0, 50 * MS);
    assert_eq!(final_actions(&actions), [&Action::Respond { query: QueryId(1), complete: true }]);
    // The deferred part is sent when one of the others is lost.
    let sent = sends(&driver.query(2, 0, &[0, 1, 2, 3, 4]));
    let after: Vec<_> =
        sends(&driver.completed(sent[0].0, 0, Outcome::BackendError, 5 * MS)).iter().map(|s| s.0).collect();
    assert!(after.iter().any(|part| sent.iter().all(|(p, _)| p != part)), "{after:?}");
}

#[test]
fn a_second_step_needs_all_its_parts() {
    let mut c = class(Idempotency::Idempotent);
    c.second_step_parts = 2;
    let mut driver = Driver::ready(settings(vec![c]));
    let (part, _) = sends(&driver.query(1, 0, &[0]))[0];
    let first = driver.succeeded(part, 0, 50 * MS);
    assert_eq!(final_actions(&first).len(), 1);
    let second = |i: u128| {
        let (query, part) = (QueryId(1), PartId(50 + i));
        Event::PartArrived(PartArrival { query, part, shard: ShardId(0), weight: 0.5, idempotent: false })
    };
    assert_eq!(sends(&driver.handle(vec![second(0), second(1)])).len(), 2);
    assert!(final_actions(&driver.succeeded(PartId(50), 0, 50 * MS)).is_empty());
    let done = driver.succeeded(PartId(51), 0, 50 * MS);
    assert_eq!(final_actions(&done), [&Action::Respond { query: QueryId(1), complete: true }]);
}

#[test]
fn events_of_unknown_queries_parts_and_backends_do_nothing() {
    let mut driver = Driver::ready(idempotent_settings());
    driver.handle(vec![
        Event::ClientDisconnected(QueryId(5)),
        Event::TimerExpired,
        Event::AttemptCompleted { part: PartId(9), attempt: 3, outcome: Outcome::Succeeded, latency: 1 },
        Event::HealthCheckCompleted { backend: BackendId(77), passed: true },
        Event::EndpointUpdate(EndpointUpdate::Snapshot(Vec::new())),
    ]);
    assert_eq!(driver.handle(Vec::new()), []);
}

// ---- unit tests of the rule ----

/// A class with a minimum completeness of 0.5 and a required completeness of 0.75.
fn partial_class() -> Class {
    let class = class(Idempotency::Idempotent);
    Class { minimum_completeness: 0.5, required_completeness: 0.75, ..class }
}

/// Progress of a query of four parts of equal weight, of which `answered_parts` are answered.
fn progress(step: Step, answered_parts: usize) -> Progress {
    let answered_weight = answered_parts as f64 / 4.0;
    Progress { step, planned: false, parts: 4, answered_parts, answered_weight }
}

#[test]
fn a_first_step_is_complete_with_the_required_weight_and_a_second_with_all_parts() {
    let class = partial_class();
    let complete = |complete: bool| Some(Answer { complete });
    assert_eq!(progress(Step::First, 2).answer(&class), None);
    assert_eq!(progress(Step::First, 3).answer(&class), complete(true));
    for first_complete in [true, false] {
        let second = Step::Second { first_complete };
        assert_eq!(progress(second, 3).answer(&class), None);
        assert_eq!(progress(second, 4).answer(&class), complete(first_complete));
    }
    assert_eq!(Progress { planned: true, ..progress(Step::First, 4) }.answer(&class), None);
    assert_eq!(Progress { parts: 0, ..progress(Step::First, 4) }.answer(&class), None);
}

#[test]
fn before_the_objective_a_partial_answer_is_given_if_it_has_more_value_than_a_late_one() {
    let at_objective = |answered: usize, late_value: f64, planned: bool| {
        let class = Class { late_value, ..partial_class() };
        Progress { planned, ..progress(Step::First, answered) }.at_objective(&class)
    };
    // A partial answer with two of three required parts has 0.9 x 2/3 of the full value.
    assert_eq!(at_objective(2, 0.5, false), Ending::RespondPartially);
    assert_eq!(at_objective(2, 0.7, false), Ending::Continue);
    assert_eq!(at_objective(1, 0.1, false), Ending::Continue, "below the minimum");
    assert_eq!(at_objective(1, 0.0, false), Ending::GiveUp, "a late answer has no value");
    assert_eq!(at_objective(2, 0.0, true), Ending::Continue, "the caller decides");
}

#[test]
fn before_the_deadline_a_query_ends_with_a_partial_answer_or_none() {
    let class = partial_class();
    let two_steps = Class { second_step_parts: 2, ..partial_class() };
    let second = Step::Second { first_complete: true };
    assert_eq!(progress(Step::First, 2).at_deadline(&class), Ending::RespondPartially);
    assert_eq!(progress(Step::First, 1).at_deadline(&class), Ending::GiveUp);
    assert_eq!(
        progress(Step::First, 2).at_deadline(&two_steps),
        Ending::GiveUp,
        "no time for the second step"
    );
    assert_eq!(progress(second, 2).at_deadline(&two_steps), Ending::RespondPartially);
    assert!(
        progress(Step::First, 0).is_unanswerable(&class, 0.4)
            && !progress(Step::First, 0).is_unanswerable(&class, 0.5)
    );
    assert!(
        progress(second, 0).is_unanswerable(&two_steps, 0.9)
            && !progress(second, 0).is_unanswerable(&two_steps, 1.0)
    );
}

#[test]
fn one_spare_part_is_sent_beyond_those_a_complete_answer_needs() {
    let count = |weights: &[f64]| parts_to_send(&partial_class(), weights.iter().copied());
    assert_eq!(count(&[0.25; 4]), 4);
    assert_eq!(count(&[0.1; 10]), 9);
    assert_eq!(count(&[0.8, 0.1, 0.1]), 2);
}
