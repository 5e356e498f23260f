//! Which backends are ejected, and how they come back.

mod common;

use common::*;
use mallowgauge_router::outlier::{BackendHealth, HealthChange, HealthSignal, OutlierDetector};
use mallowgauge_router::*;

#[test]
fn a_server_that_fails_fast_is_passed_over_and_comes_back_by_a_trial() {
    let mut d = Driver::ready(safe());
    d.warm_up(0, 30);
    let (part, sick) = sends(&d.query(1, 0, &[0]))[0];
    assert_eq!(sends(&d.ended(part, 0, Outcome::BackendError, 2 * MS)).len(), 1);
    d.served(part, 1, 50 * MS);
    let suspect = |d: &Driver| d.router.backends().any(|s| s.backend == sick && s.ejected);
    assert!(suspect(&d));
    for i in 10..20 {
        let sent = sends(&d.query(i, 0, &[0]));
        assert!(sent.iter().all(|(_, s)| *s != sick));
        d.served(sent[0].0, 0, 50 * MS);
    }
    let probes = d.pass(1_500 * MS);
    assert!(probes.contains(&Action::HealthCheck(sick)));
    d.give(vec![Event::HealthCheckCompleted { backend: sick, passed: true }]);
    let all: Vec<_> = (20..30).flat_map(|i| sends(&d.query(i, 0, &[0]))).collect();
    let trials: Vec<_> = all.into_iter().filter(|(_, s)| *s == sick).collect();
    assert_eq!(trials.len(), 1, "one part is the trial");
    d.served(trials[0].0, 0, 50 * MS);
    assert!(!suspect(&d));
}

#[test]
fn with_every_replica_suspect_a_part_is_still_sent() {
    let mut d = Driver::ready(safe());
    for i in 0..6 {
        for (part, _) in sends(&d.query(i, 0, &[0])) {
            d.ended(part, 0, Outcome::BackendError, 2 * MS);
        }
    }
    assert_eq!(d.router.backends().filter(|s| s.ejected).count(), 2);
    d.pass(8 * SECOND);
    assert_eq!(sends(&d.query(50, 0, &[0])).len(), 1);
}

/// Guards against fewest-out feeding the server that fails fastest when both holders are suspect.
#[test]
fn among_suspects_the_one_that_always_fails_is_not_preferred() {
    let mut s = safe();
    s.limits.max_attempts = 1;
    let mut d = Driver::ready(s);
    d.warm_up(0, 30);
    // Server 0 fails whatever it gets; server 1 fails once and then answers.
    let mut to_sick = 0;
    for i in 0..40 {
        for (part, to) in sends(&d.query(i, 0, &[0])) {
            let outcome = if to.0 == 0 || i < 2 { Outcome::BackendError } else { Outcome::Succeeded };
            to_sick += u32::from(to.0 == 0);
            d.now += 5 * MS;
            d.ended(part, 0, outcome, 20 * MS);
        }
    }
    assert!((1..=6).contains(&to_sick), "{to_sick}");
}

/// A router that meets few queries and has not been told of much: one in five seconds.
fn sparse() -> Driver {
    let mut s = safe();
    s.routers = 60;
    let mut d = Driver::ready(s);
    d.warm_up(0, 12);
    d
}

/// Found at full size: with seconds between two answers the median had faded, and all stood out.
#[test]
fn servers_that_are_slow_alike_are_not_doubted_however_few_the_queries() {
    let mut d = sparse();
    for i in 0..8 {
        let sent = sends(&d.query(100 + i, 0, &[0, 1, 2, 3, 4, 5]));
        d.pass(900 * MS);
        for (part, _) in sent {
            d.served(part, 0, 900 * MS);
        }
        d.pass(4_100 * MS);
        assert!(!d.router.backends().any(|s| s.ejected), "query {i}");
    }
}

/// The other side of it: one that hangs is found out by the answers of its query's other parts.
#[test]
fn a_server_that_hangs_is_doubted_however_few_the_queries() {
    let mut d = sparse();
    for i in 0..6 {
        let sent = sends(&d.query(100 + i, 0, &[0, 1, 2, 3, 4, 5]));
        d.pass(50 * MS);
        for (part, to) in sent {
            if to.0 != 2 {
                d.served(part, 0, 50 * MS);
            }
        }
        d.pass(5 * SECOND);
    }
    let suspects: Vec<_> = d.router.backends().filter(|s| s.ejected).map(|s| s.backend.0).collect();
    assert_eq!(suspects, [2]);
}

// Guards against doubting sound hosts on days on which each breaks a connection now and then: at one time
// half of them were passed over and the rest had to carry their load. A connection that breaks under many
// parts is one sign, one sign is no proof, and a host that goes on failing is found all the same.
#[test]
fn a_broken_connection_now_and_then_makes_no_suspect() {
    let mut d = Driver::ready(safe());
    d.warm_up(0, 30);
    let suspects = |d: &Driver| d.router.backends().filter(|s| s.ejected).count();
    let mut query = 0;
    let mut run = |d: &mut Driver, cut: bool| {
        let sent: Vec<_> = (0..4).flat_map(|_| (query += 1, sends(&d.query(query, 0, &[0]))).1).collect();
        let first = sent[0].1;
        let end = |&(part, to): &(PartId, BackendId)| {
            let outcome = if cut && to == first { Outcome::ConnectionLost } else { Outcome::Succeeded };
            Event::AttemptCompleted { part, attempt: 0, outcome, took: 50 * MS }
        };
        d.now += 50 * MS;
        let again = sends(&d.give(sent.iter().map(end).collect()));
        d.now += 50 * MS;
        again.iter().for_each(|(part, _)| _ = d.served(*part, 1, 50 * MS));
        d.pass(50 * MS);
    };
    for _ in 0..10 {
        run(&mut d, true);
        assert_eq!(suspects(&d), 0);
        (0..20).for_each(|_| run(&mut d, false));
    }
    (0..3).for_each(|_| run(&mut d, true));
    assert!(suspects(&d) > 0);
}

// ---- the rule by itself ----

fn detector(health_checks: bool) -> OutlierDetector {
    let mut s = safe();
    s.limits.health_checks = health_checks;
    OutlierDetector::new(&s)
}

#[test]
fn one_strong_or_two_weak_failures_eject_and_a_batch_counts_one() {
    let (detector, mut health) = (detector(true), BackendHealth::default());
    assert_eq!(detector.record(&mut health, 1, HealthSignal::WeakFailure), None);
    assert_eq!(detector.record(&mut health, 1, HealthSignal::WeakFailure), None, "of the same batch");
    assert!(!health.is_ejected());
    let second = detector.record(&mut health, 2, HealthSignal::WeakFailure);
    assert_eq!((second, health.is_ejected()), (Some(HealthChange::Ejected), true));
    let mut health = BackendHealth::default();
    let strong = detector.record(&mut health, 1, HealthSignal::StrongFailure);
    assert_eq!((strong, health.avoidance()), (Some(HealthChange::Ejected), 4), "0.6 in grades of an eighth");
}

#[test]
fn answers_to_recovery_attempts_bring_a_backend_back_sooner() {
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
    assert!(!health.is_recovery(7) && health.is_recovery(8), "what was sent after the ejection");
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
    // A router that comes by rarely waits for half of that time, up to four seconds.
    health.reset();
    assert_eq!(detector.recovery_wait(&health, 3.0 * SECOND as f64), 1_500 * MS);
    assert_eq!(detector.recovery_wait(&health, 60.0 * SECOND as f64), 4 * SECOND);
}

#[test]
fn a_recovery_attempt_needs_a_passed_health_check_where_these_are_allowed() {
    for health_checks in [true, false] {
        let (detector, mut health) = (detector(health_checks), BackendHealth::default());
        detector.record(&mut health, 1, HealthSignal::StrongFailure);
        assert_eq!(detector.recovery_due(&mut health), health_checks);
        assert_eq!(health.avoidance() == 0, !health_checks);
        if health_checks {
            assert!(detector.health_check_completed(&mut health, false), "failed: the wait begins anew");
            assert_ne!(health.avoidance(), 0);
            assert!(!detector.health_check_completed(&mut health, true));
            assert_eq!(health.avoidance(), 0);
        }
        assert!(health.start_recovery_attempt());
        assert!(!health.start_recovery_attempt(), "one part only");
        assert_ne!(health.avoidance(), 0);
    }
}
