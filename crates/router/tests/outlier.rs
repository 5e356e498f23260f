//! Ejection and recovery of backends.

mod common;

use common::*;
use mallowgauge_router::outlier::{BackendHealth, HealthChange, HealthSignal, OutlierDetector};
use mallowgauge_router::*;

#[test]
fn a_backend_that_fails_fast_is_ejected_and_recovers_after_one_recovery_attempt() {
    let mut driver = Driver::ready(idempotent_settings());
    driver.warm_up(0, 30);
    let (part, failing) = sends(&driver.query(1, 0, &[0]))[0];
    assert_eq!(sends(&driver.completed(part, 0, Outcome::BackendError, 2 * MS)).len(), 1);
    driver.succeeded(part, 1, 50 * MS);
    let is_ejected = |driver: &Driver| driver.router.backends().any(|s| s.backend == failing && s.ejected);
    assert!(is_ejected(&driver));
    for i in 10..20 {
        let sent = sends(&driver.query(i, 0, &[0]));
        assert!(sent.iter().all(|(_, s)| *s != failing));
        driver.succeeded(sent[0].0, 0, 50 * MS);
    }
    let health_checks = driver.advance(1_500 * MS);
    assert!(health_checks.contains(&Action::HealthCheck(failing)));
    driver.handle(vec![Event::HealthCheckCompleted { backend: failing, passed: true }]);
    let all: Vec<_> = (20..30).flat_map(|i| sends(&driver.query(i, 0, &[0]))).collect();
    let recovery_attempts: Vec<_> = all.into_iter().filter(|(_, s)| *s == failing).collect();
    assert_eq!(recovery_attempts.len(), 1, "one part is the recovery attempt");
    driver.succeeded(recovery_attempts[0].0, 0, 50 * MS);
    assert!(!is_ejected(&driver));
}

#[test]
fn with_every_replica_ejected_a_part_is_still_sent() {
    let mut driver = Driver::ready(idempotent_settings());
    for i in 0..6 {
        for (part, _) in sends(&driver.query(i, 0, &[0])) {
            driver.completed(part, 0, Outcome::BackendError, 2 * MS);
        }
    }
    assert_eq!(driver.router.backends().filter(|s| s.ejected).count(), 2);
    driver.advance(8 * SECOND);
    assert_eq!(sends(&driver.query(50, 0, &[0])).len(), 1);
}

/// Guards against preferring the backend that fails fastest, and so has the fewest parts in flight, when both
/// replicas are ejected.
#[test]
fn among_ejected_backends_the_one_that_always_fails_is_not_preferred() {
    let mut s = idempotent_settings();
    s.limits.max_attempts = 1;
    let mut driver = Driver::ready(s);
    driver.warm_up(0, 30);
    // Backend 0 fails every part; backend 1 fails at first and then answers.
    let mut to_failing = 0;
    for i in 0..40 {
        for (part, to) in sends(&driver.query(i, 0, &[0])) {
            let outcome = if to.0 == 0 || i < 2 { Outcome::BackendError } else { Outcome::Succeeded };
            to_failing += u32::from(to.0 == 0);
            driver.now += 5 * MS;
            driver.completed(part, 0, outcome, 20 * MS);
        }
    }
    assert!((1..=6).contains(&to_failing), "{to_failing}");
}

/// A router with few measurements. The tests then send it one query every five seconds.
fn driver_with_little_traffic() -> Driver {
    let mut s = idempotent_settings();
    s.routers = 60;
    let mut driver = Driver::ready(s);
    driver.warm_up(0, 12);
    driver
}

/// Guards against an outdated median latency: with seconds between queries, every attempt would be overdue
/// relative to it.
#[test]
fn equally_slow_backends_are_not_ejected_under_little_traffic() {
    let mut driver = driver_with_little_traffic();
    for i in 0..8 {
        let sent = sends(&driver.query(100 + i, 0, &[0, 1, 2, 3, 4, 5]));
        driver.advance(900 * MS);
        for (part, _) in sent {
            driver.succeeded(part, 0, 900 * MS);
        }
        driver.advance(4_100 * MS);
        assert!(!driver.router.backends().any(|s| s.ejected), "query {i}");
    }
}

/// Guards against an unresponsive backend that goes undetected: the answers to the other parts of its query
/// must reveal it.
#[test]
fn an_unresponsive_backend_is_ejected_under_little_traffic() {
    let mut driver = driver_with_little_traffic();
    for i in 0..6 {
        let sent = sends(&driver.query(100 + i, 0, &[0, 1, 2, 3, 4, 5]));
        driver.advance(50 * MS);
        for (part, to) in sent {
            if to.0 != 2 {
                driver.succeeded(part, 0, 50 * MS);
            }
        }
        driver.advance(5 * SECOND);
    }
    let ejected: Vec<_> = driver.router.backends().filter(|s| s.ejected).map(|s| s.backend.0).collect();
    assert_eq!(ejected, [2]);
}

/// Guards against ejecting backends that occasionally drop a connection, which moves their load to the other
/// backends. A lost connection with many parts is one failure; a backend that keeps failing is still ejected.
#[test]
fn an_occasional_lost_connection_ejects_no_backend() {
    let mut driver = Driver::ready(idempotent_settings());
    driver.warm_up(0, 30);
    let ejected = |driver: &Driver| driver.router.backends().filter(|s| s.ejected).count();
    let mut query = 0;
    let mut run = |driver: &mut Driver, lose_connection: bool| {
        let sent: Vec<_> =
            (0..4).flat_map(|_| (query += 1, sends(&driver.query(query, 0, &[0]))).1).collect();
        let first = sent[0].1;
        let end = |&(part, to): &(PartId, BackendId)| {
            let outcome =
                if lose_connection && to == first { Outcome::ConnectionLost } else { Outcome::Succeeded };
            Event::AttemptCompleted { part, attempt: 0, outcome, latency: 50 * MS }
        };
        driver.now += 50 * MS;
        let again = sends(&driver.handle(sent.iter().map(end).collect()));
        driver.now += 50 * MS;
        again.iter().for_each(|(part, _)| _ = driver.succeeded(*part, 1, 50 * MS));
        driver.advance(50 * MS);
    };
    for _ in 0..10 {
        run(&mut driver, true);
        assert_eq!(ejected(&driver), 0);
        (0..20).for_each(|_| run(&mut driver, false));
    }
    (0..3).for_each(|_| run(&mut driver, true));
    assert!(ejected(&driver) > 0);
}

// ---- unit tests of the rule ----

fn detector(health_checks: bool) -> OutlierDetector {
    let mut s = idempotent_settings();
    s.limits.health_checks = health_checks;
    OutlierDetector::new(&s)
}

#[test]
fn one_strong_or_two_weak_failures_eject_and_a_batch_counts_as_one() {
    let (detector, mut health) = (detector(true), BackendHealth::default());
    assert_eq!(detector.record(&mut health, 1, HealthSignal::WeakFailure), None);
    assert_eq!(detector.record(&mut health, 1, HealthSignal::WeakFailure), None, "of the same batch");
    assert!(!health.is_ejected());
    let second = detector.record(&mut health, 2, HealthSignal::WeakFailure);
    assert_eq!((second, health.is_ejected()), (Some(HealthChange::Ejected), true));
    let mut health = BackendHealth::default();
    let strong = detector.record(&mut health, 1, HealthSignal::StrongFailure);
    assert_eq!(
        (strong, health.selection_penalty()),
        (Some(HealthChange::Ejected), 4),
        "0.6 in grades of an eighth"
    );
}

#[test]
fn a_backend_recovers_sooner_by_answers_to_recovery_attempts() {
    let detector = detector(true);
    let answers_until_recovery = |signal: HealthSignal| {
        let mut health = BackendHealth::default();
        (1..=4).for_each(|now| _ = detector.record(&mut health, now, HealthSignal::StrongFailure));
        (1..100).find(|_| detector.record(&mut health, 5, signal) == Some(HealthChange::Recovered))
    };
    assert_eq!(answers_until_recovery(HealthSignal::RecoverySuccess), Some(2));
    assert_eq!(answers_until_recovery(HealthSignal::Success), Some(14));
    let mut health = BackendHealth::default();
    detector.record(&mut health, 7, HealthSignal::StrongFailure);
    assert!(!health.is_recovery(7) && health.is_recovery(8), "only an attempt sent after the ejection");
}

#[test]
fn the_wait_for_a_recovery_attempt_doubles_three_times() {
    let (detector, mut health) = (detector(true), BackendHealth::default());
    detector.record(&mut health, 1, HealthSignal::StrongFailure);
    let mut waits = Vec::new();
    for _ in 0..5 {
        waits.push(detector.recovery_wait(&health, 0.0) / SECOND);
        detector.back_off(&mut health);
    }
    assert_eq!(waits, [1, 2, 4, 8, 8], "half of the objective of two seconds, and doubled");
    // A router with little traffic waits for half of its coverage time, up to four seconds.
    health.reset();
    assert_eq!(detector.recovery_wait(&health, 3.0 * SECOND as f64), 1_500 * MS);
    assert_eq!(detector.recovery_wait(&health, 60.0 * SECOND as f64), 4 * SECOND);
}

#[test]
fn a_recovery_attempt_needs_a_passed_health_check_if_health_checks_are_allowed() {
    for health_checks in [true, false] {
        let (detector, mut health) = (detector(health_checks), BackendHealth::default());
        detector.record(&mut health, 1, HealthSignal::StrongFailure);
        assert_eq!(detector.recovery_due(&mut health), health_checks);
        assert_eq!(health.selection_penalty() == 0, !health_checks);
        if health_checks {
            assert!(detector.health_check_completed(&mut health, false), "failed: the wait starts again");
            assert_ne!(health.selection_penalty(), 0);
            assert!(!detector.health_check_completed(&mut health, true));
            assert_eq!(health.selection_penalty(), 0);
        }
        assert!(health.start_recovery_attempt());
        assert!(!health.start_recovery_attempt(), "one part only");
        assert_ne!(health.selection_penalty(), 0);
    }
}

#[test]
fn each_outcome_maps_to_its_health_signal() {
    use HealthSignal::*;
    let cases = [
        (Outcome::Succeeded, Some(Success), None),
        (Outcome::BackendError, Some(StrongFailure), Some(StrongFailure)),
        (Outcome::ConnectFailed, Some(StrongFailure), Some(StrongFailure)),
        (Outcome::ConnectionLost, Some(WeakFailure), Some(WeakFailure)),
        (Outcome::Rejected, Some(WeakFailure), Some(WeakFailure)),
        (Outcome::TimedOut, Some(WeakFailure), None),
        (Outcome::Cancelled, None, None),
        (Outcome::NotSent, None, None),
    ];
    for (outcome, signal, signal_of_overdue) in cases {
        assert_eq!(HealthSignal::of(outcome, false, false), signal, "{outcome:?}");
        assert_eq!(HealthSignal::of(outcome, true, false), signal_of_overdue, "{outcome:?}, overdue");
    }
    assert_eq!(HealthSignal::of(Outcome::Succeeded, false, true), Some(RecoverySuccess));
}
