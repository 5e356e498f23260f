//! Which backends are ejected, and how they come back.

mod common;

use common::*;
use mallowgauge_router::*;

#[test]
fn a_server_that_fails_fast_is_passed_over_and_comes_back_by_a_trial() {
    let mut d = Driver::ready(safe());
    d.warm_up(0, 30);
    let (part, sick) = sends(&d.query(1, 0, &[0]))[0];
    assert_eq!(sends(&d.ended(part, 0, Outcome::BackendError, 2 * MS)).len(), 1);
    d.served(part, 1, 50 * MS);
    let suspect = |d: &Driver| d.router.servers().any(|s| s.backend == sick && s.ejected);
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
    assert_eq!(d.router.servers().filter(|s| s.ejected).count(), 2);
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
        assert!(!d.router.servers().any(|s| s.ejected), "query {i}");
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
    let suspects: Vec<_> = d.router.servers().filter(|s| s.ejected).map(|s| s.backend.0).collect();
    assert_eq!(suspects, [2]);
}

// Guards against doubting sound hosts on days on which each breaks a connection now and then: at one time
// half of them were passed over and the rest had to carry their load. A connection that breaks under many
// parts is one sign, one sign is no proof, and a host that goes on failing is found all the same.
#[test]
fn a_broken_connection_now_and_then_makes_no_suspect() {
    let mut d = Driver::ready(safe());
    d.warm_up(0, 30);
    let suspects = |d: &Driver| d.router.servers().filter(|s| s.ejected).count();
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
