//! When one more attempt of a part is made, and when none is.

mod common;

use common::*;
use mallowgauge_router::overdue::RecentAnswers;
use mallowgauge_router::retry::{OverdueResponse, PartHistory, RetryBudget, RetryPolicy};
use mallowgauge_router::*;

/// A router with measured latencies that may have only one attempt of a part in flight.
fn driver_without_hedging() -> Driver {
    let mut s = idempotent_settings();
    s.limits.hedging = false;
    let mut driver = Driver::ready(s);
    driver.warm_up(0, 40);
    driver
}

#[test]
fn a_non_idempotent_part_is_retried_only_if_it_was_not_executed() {
    for (outcome, again) in
        [(Outcome::ConnectFailed, true), (Outcome::Rejected, true), (Outcome::BackendError, false)]
    {
        let mut driver = Driver::ready(settings(vec![class(Idempotency::NonIdempotent)]));
        let (part, _) = sends(&driver.query(1, 0, &[0]))[0];
        let actions = driver.completed(part, 0, outcome, 5 * MS);
        assert_eq!(!sends(&actions).is_empty(), again, "{outcome:?}");
        if !again {
            // Possibly executed: the query fails instead of being rejected.
            assert_eq!(final_actions(&actions), [&Action::Fail { query: QueryId(1) }]);
        }
    }
}

#[test]
fn a_keyed_part_is_retried_only_inside_its_dedup_window() {
    for (wait, again) in [(100 * MS, true), (1_200 * MS, false)] {
        let mut driver = Driver::ready(settings(vec![class(Idempotency::Keyed { dedup_window: SECOND })]));
        let (part, _) = sends(&driver.query(1, 0, &[0]))[0];
        driver.now += wait;
        let actions = driver.completed(part, 0, Outcome::BackendError, wait);
        assert_eq!(!sends(&actions).is_empty(), again, "after {wait}");
    }
}

#[test]
fn without_hedging_a_part_has_one_attempt_in_flight() {
    let mut driver = driver_without_hedging();
    let (part, _) = sends(&driver.query(1, 0, &[0]))[0];
    let mut actions = Vec::new();
    // The other backends keep answering, so that the attempt at the unresponsive one
    // is overdue.
    for i in 0..20 {
        for (other, _) in sends(&driver.query(10 + i, 0, &[3])) {
            driver.now += 50 * MS;
            actions.extend(driver.succeeded(other, 0, 50 * MS));
        }
    }
    assert!(sends(&actions).iter().all(|(p, _)| *p != part));
}

#[test]
fn retries_stay_within_the_budget() {
    let mut s = idempotent_settings();
    s.rules.retry_budget =
        Some(RetryBudgetSettings { min_retries: 2.0, retry_ratio: 0.1, window: 5 * SECOND });
    let mut driver = Driver::ready(s);
    let mut retries = 0;
    for i in 0..30 {
        for (part, _) in sends(&driver.query(i, 0, &[0])) {
            retries += sends(&driver.completed(part, 0, Outcome::BackendError, 5 * MS)).len();
        }
    }
    // 30 queries of one part are 60 arrivals: 2 + 6 retries are allowed.
    assert!((2..=8).contains(&retries), "{retries}");
}

/// Guards against an unresponsive backend that is never detected because the others were slow at the same
/// time.
#[test]
fn a_stuck_attempt_is_hedged_once_the_other_backends_answer() {
    let mut driver = Driver::ready(idempotent_settings());
    driver.warm_up(0, 30);
    let (stuck, backend) = sends(&driver.query(1, 0, &[0]))[0];
    // At first all backends are equally slow.
    let slow: Vec<_> = (0..10).flat_map(|i| sends(&driver.query(10 + i, 0, &[1, 2, 3, 4]))).collect();
    driver.advance(400 * MS);
    assert!(!driver.router.backends().any(|s| s.ejected));
    // Then the others answer, and stay fast.
    for (part, to) in slow {
        if to != backend {
            driver.succeeded(part, 0, 400 * MS);
        }
    }
    let mut hedges = Vec::new();
    for i in 0..30 {
        for (part, to) in sends(&driver.query(100 + i, 0, &[2, 3, 4])) {
            if to != backend {
                driver.succeeded(part, 0, 50 * MS);
            }
        }
        hedges.extend(sends(&driver.advance(50 * MS)));
    }
    assert!(hedges.iter().any(|(part, to)| *part == stuck && *to != backend), "{hedges:?}");
}

/// Guards against cancelling a part at a backend that is slow but still answers: its work would be done
/// twice.
#[test]
fn without_hedging_only_attempts_at_an_unresponsive_backend_are_cancelled() {
    for unresponsive in [true, false] {
        let mut driver = driver_without_hedging();
        let (_, backend) = sends(&driver.query(1, 0, &[0]))[0];
        let (mut here, there): (Vec<_>, Vec<_>) =
            (2..60).flat_map(|i| sends(&driver.query(i, 0, &[0]))).partition(|(_, to)| *to == backend);
        there.iter().for_each(|(part, _)| drop(driver.succeeded(*part, 0, 50 * MS)));
        let mut actions = Vec::new();
        for i in 0..25 {
            if let Some((part, _)) = here.pop().filter(|_| !unresponsive) {
                driver.succeeded(part, 0, 300 * MS);
            }
            for (part, _) in sends(&driver.query(100 + i, 0, &[3, 4])) {
                driver.succeeded(part, 0, 50 * MS);
            }
            actions.extend(driver.advance(40 * MS));
        }
        let cancelled = actions.iter().any(|a| matches!(a, Action::Cancel { .. }));
        assert_eq!(cancelled, unresponsive);
    }
}

/// Guards against a single part at an unresponsive backend that counts as one failure and is not checked
/// again.
#[test]
fn a_single_part_at_an_unresponsive_backend_is_sent_to_another() {
    let mut driver = driver_without_hedging();
    let (stuck, backend) = sends(&driver.query(1, 0, &[0]))[0];
    let mut resent = Vec::new();
    for i in 0..20 {
        for (part, _) in sends(&driver.query(100 + i, 0, &[3])) {
            driver.succeeded(part, 0, 50 * MS);
        }
        resent.extend(sends(&driver.advance(50 * MS)));
    }
    assert!(resent.iter().any(|(part, to)| *part == stuck && *to != backend), "{resent:?}");
}

/// Guards against hedges that take the capacity that load shedding has just freed.
#[test]
fn nothing_is_hedged_while_the_class_sheds_load() {
    for shed in [false, true] {
        let mut driver =
            Driver::ready(settings(vec![class(Idempotency::Idempotent), class(Idempotency::Idempotent)]));
        driver.warm_up(0, 30);
        driver.warm_up(1, 30);
        if shed {
            // All queries of class 0 miss their objective on equally slow backends.
            for i in 0..30 {
                driver.query(5_000 + i, 0, &[0, 1, 2, 3, 4, 5]);
                driver.advance(100 * MS);
            }
            driver.advance(6 * SECOND);
        }
        let rate = driver.router.drop_rate(ClassId(0)).unwrap_or(f64::NAN);
        assert_eq!(rate > 0.3, shed, "{rate}");
        let mut hedges = Vec::new();
        let mut stuck = Vec::new();
        for i in 0..20 {
            for (part, _) in sends(&driver.query(100 + i, 0, &[0])) {
                stuck.push(part); // Never answered.
            }
            for (part, _) in sends(&driver.query(200 + i, 1, &[3])) {
                driver.succeeded(part, 0, 50 * MS);
            }
            hedges.extend(sends(&driver.advance(50 * MS)));
        }
        assert!(!stuck.is_empty());
        assert_eq!(hedges.is_empty(), shed, "{hedges:?}");
    }
}

/// Guards against a query that crashes one more backend with each retry.
#[test]
fn a_query_is_not_retried_after_two_backends_dropped_the_connection() {
    let mut driver = Driver::ready(idempotent_settings());
    let sent = sends(&driver.query(1, 0, &[0, 3]));
    let first = driver.completed(sent[0].0, 0, Outcome::ConnectionLost, 20 * MS);
    assert_eq!(sends(&first).len(), 1, "one lost connection may be chance");
    let second = driver.completed(sent[1].0, 0, Outcome::ConnectionLost, 20 * MS);
    assert!(sends(&second).is_empty());
    assert!(matches!(final_actions(&second)[..], [Action::Reject { .. }]));
    // A query is not the cause if any part of it was answered.
    let sent = sends(&driver.query(2, 0, &[1, 2, 4]));
    driver.succeeded(sent[0].0, 0, 50 * MS);
    driver.completed(sent[1].0, 0, Outcome::ConnectionLost, 20 * MS);
    assert_eq!(sends(&driver.completed(sent[2].0, 0, Outcome::ConnectionLost, 20 * MS)).len(), 1);
}

/// Guards against queries of many parts that miss their objective because some parts were rejected by full
/// backends and wait for the retry budget, although no work is done twice.
#[test]
fn parts_that_were_only_rejected_are_all_retried_while_no_load_is_shed() {
    let mut driver = Driver::ready(idempotent_settings());
    let sent = sends(&driver.query(1, 0, &(0..12).collect::<Vec<_>>()));
    assert_eq!(sent.len(), 12);
    let ended_with = |outcome| {
        move |(part, _): &(PartId, BackendId)| Event::AttemptCompleted {
            part: *part,
            attempt: 0,
            outcome,
            latency: MS,
        }
    };
    let again = driver.handle(sent.iter().map(ended_with(Outcome::Rejected)).collect());
    assert_eq!(sends(&again).len(), 12);
    // Possibly executed parts draw on the budget: four retries, and a tenth of the arrivals.
    let mut driver = Driver::ready(idempotent_settings());
    let sent = sends(&driver.query(1, 0, &(0..12).collect::<Vec<_>>()));
    let again = driver.handle(sent.iter().map(ended_with(Outcome::BackendError)).collect());
    assert!((4..=6).contains(&sends(&again).len()), "{}", sends(&again).len());
}

// ---- unit tests of the rules ----

fn history(idempotency: Idempotency, possibly_executed_at: Option<Micros>) -> PartHistory {
    PartHistory { idempotency, attempts: 1, in_flight: false, possibly_executed_at }
}

#[test]
fn only_parts_that_cannot_take_effect_twice_are_repeated() {
    let policy = RetryPolicy::new(&idempotent_settings().limits);
    let keyed = Idempotency::Keyed { dedup_window: SECOND };
    let cases = [
        (Idempotency::Idempotent, Some(5), Micros::MAX),
        (keyed, Some(5), SECOND + 5),
        (keyed, None, Micros::MAX),
        (Idempotency::NonIdempotent, Some(5), 0),
        (Idempotency::NonIdempotent, None, Micros::MAX),
    ];
    for (idempotency, possibly_executed_at, repeat_by) in cases {
        let part = history(idempotency, possibly_executed_at);
        assert_eq!(policy.repeat_by(&part), repeat_by, "{part:?}");
        assert!(!policy.may_repeat(repeat_by, &part, false), "{part:?}");
        assert_eq!(policy.may_repeat(repeat_by.saturating_sub(1), &part, false), repeat_by > 0, "{part:?}");
    }
}

#[test]
fn attempts_are_limited_in_total_and_in_parallel() {
    for hedging in [true, false] {
        let policy = RetryPolicy::new(&DeploymentLimits { hedging, ..idempotent_settings().limits });
        let part = history(Idempotency::Idempotent, Some(0));
        assert!(policy.may_repeat(1, &PartHistory { attempts: 3, ..part }, false));
        assert!(!policy.may_repeat(1, &PartHistory { attempts: 4, ..part }, false), "four are allowed");
        let in_flight = PartHistory { in_flight: true, ..part };
        assert_eq!(policy.may_repeat(1, &in_flight, false), hedging);
        assert!(policy.may_repeat(1, &in_flight, true), "once the one in flight is cancelled");
    }
}

#[test]
fn the_budget_counts_retries_in_its_window_and_allows_hedges_half_of_it() {
    let settings = RetryBudgetSettings { min_retries: 2.0, retry_ratio: 0.1, window: SECOND };
    let mut budget = RetryBudget::new(Some(&settings));
    budget.record(10);
    // 2 + 0.1 x 20 = 4 are allowed, 2 of them for hedges; one is used.
    assert!(budget.allows_retry(20) && budget.allows_hedge(20));
    budget.record(20);
    assert!(budget.allows_retry(20) && !budget.allows_hedge(20));
    assert!(!budget.allows_retry(0), "two are allowed where nothing arrives");
    budget.advance(SECOND + 11);
    assert!(budget.allows_retry(0), "the first retry has left the window");
}

#[test]
fn only_the_default_budget_exempts_parts_that_were_not_executed() {
    let settings = RetryBudgetSettings { min_retries: 2.0, retry_ratio: 0.1, window: SECOND };
    for configured in [Some(&settings), None] {
        let budget = RetryBudget::new(configured);
        assert!(!budget.applies_to(0, true, false), "a first attempt");
        assert!(budget.applies_to(1, false, false), "a possibly executed part");
        assert!(budget.applies_to(1, true, true), "while the class sheds load");
        assert_eq!(budget.applies_to(1, true, false), configured.is_some());
    }
}

#[test]
fn an_attempt_is_overdue_only_relative_to_later_answers() {
    let mut answers = RecentAnswers::new(&idempotent_settings().classes);
    assert_eq!(answers.overdue_after(), 900 * MS, "three times 0.15 of two seconds, before any answer");
    let sent_at = 10 * SECOND;
    let now = sent_at + SECOND;
    (0..30).for_each(|_| answers.record(sent_at, 50 * MS));
    assert!(!answers.is_overdue(now, sent_at, 0), "all answered attempts were sent before it");
    (0..3).for_each(|_| answers.record(sent_at + 60 * MS, 50 * MS));
    assert!(answers.is_overdue(now, sent_at, 0));
    assert!(!answers.is_overdue(sent_at + 299 * MS, sent_at, 0), "not yet");
    // Slow answers raise the median, so that nothing is overdue while all backends are slow.
    (0..33).for_each(|_| answers.record(now, 500 * MS));
    assert_eq!(answers.overdue_after(), 1_500 * MS);
    assert!(!answers.is_overdue(now, sent_at, 0));
}

#[test]
fn an_overdue_attempt_is_hedged_or_cancelled_only_at_an_ejected_unresponsive_backend() {
    let limits = idempotent_settings().limits;
    let response = |hedging: bool, cancellation: bool, was_ejected: bool, is_unresponsive: bool| {
        let policy = RetryPolicy::new(&DeploymentLimits { hedging, cancellation, ..limits.clone() });
        policy.overdue_response(was_ejected, is_unresponsive)
    };
    assert_eq!(response(true, true, false, false), OverdueResponse::Hedge);
    assert_eq!(response(false, true, true, true), OverdueResponse::Cancel);
    assert_eq!(response(false, false, true, true), OverdueResponse::CheckAgain);
    assert_eq!(response(false, true, false, true), OverdueResponse::CheckAgain);
    assert_eq!(response(false, true, true, false), OverdueResponse::CheckAgain);
}
