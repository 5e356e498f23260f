//! When one more attempt of a part is made, and when never.

mod common;

use common::*;
use mallowgauge_router::*;

/// A warmed-up router that may have only one attempt of a part out.
fn one_copy() -> Driver {
    let mut s = safe();
    s.limits.hedging = false;
    let mut d = Driver::ready(s);
    d.warm_up(0, 40);
    d
}

#[test]
fn an_unsafe_part_is_repeated_only_if_it_never_ran() {
    for (outcome, again) in
        [(Outcome::ConnectFailed, true), (Outcome::Rejected, true), (Outcome::BackendError, false)]
    {
        let mut d = Driver::ready(settings(vec![class(Idempotency::NonIdempotent)]));
        let (part, _) = sends(&d.query(1, 0, &[0]))[0];
        let actions = d.ended(part, 0, outcome, 5 * MS);
        assert_eq!(!sends(&actions).is_empty(), again, "{outcome:?}");
        if !again {
            // It may have run: no promise is given.
            assert_eq!(finals(&actions), [&Action::Fail { query: QueryId(1) }]);
        }
    }
}

#[test]
fn a_keyed_part_is_repeated_only_inside_its_window() {
    for (wait, again) in [(100 * MS, true), (1_200 * MS, false)] {
        let mut d = Driver::ready(settings(vec![class(Idempotency::Keyed { dedup_window: SECOND })]));
        let (part, _) = sends(&d.query(1, 0, &[0]))[0];
        d.now += wait;
        let actions = d.ended(part, 0, Outcome::BackendError, wait);
        assert_eq!(!sends(&actions).is_empty(), again, "after {wait}");
    }
}

#[test]
fn without_second_copies_a_part_has_one_attempt_out() {
    let mut d = one_copy();
    let (part, _) = sends(&d.query(1, 0, &[0]))[0];
    let mut actions = Vec::new();
    // The others go on answering, so that the silent server stands out.
    for i in 0..20 {
        for (other, _) in sends(&d.query(10 + i, 0, &[3])) {
            d.now += 50 * MS;
            actions.extend(d.served(other, 0, 50 * MS));
        }
    }
    assert!(sends(&actions).iter().all(|(p, _)| *p != part));
}

#[test]
fn further_attempts_stay_within_the_budget() {
    let mut s = safe();
    s.rules.retry_budget =
        Some(RetryBudgetSettings { min_retries: 2.0, retry_ratio: 0.1, window: 5 * SECOND });
    let mut d = Driver::ready(s);
    let mut extra = 0;
    for i in 0..30 {
        for (part, _) in sends(&d.query(i, 0, &[0])) {
            extra += sends(&d.ended(part, 0, Outcome::BackendError, 5 * MS)).len();
        }
    }
    // 30 queries of one part are 60 taken: 2 + 6.
    assert!((2..=8).contains(&extra), "{extra}");
}

/// Guards against a silent server that nobody judges because its peers were slow at the time.
#[test]
fn a_stuck_part_is_looked_at_again_once_the_others_answer() {
    let mut d = Driver::ready(safe());
    d.warm_up(0, 30);
    let (stuck, server) = sends(&d.query(1, 0, &[0]))[0];
    // Everyone is as slow for a while ...
    let slow: Vec<_> = (0..10).flat_map(|i| sends(&d.query(10 + i, 0, &[1, 2, 3, 4]))).collect();
    d.pass(400 * MS);
    assert!(!d.router.servers().any(|s| s.ejected));
    // ... then the others answer and go on quickly.
    for (part, to) in slow {
        if to != server {
            d.served(part, 0, 400 * MS);
        }
    }
    let mut copies = Vec::new();
    for i in 0..30 {
        for (part, to) in sends(&d.query(100 + i, 0, &[2, 3, 4])) {
            if to != server {
                d.served(part, 0, 50 * MS);
            }
        }
        copies.extend(sends(&d.pass(50 * MS)));
    }
    assert!(copies.iter().any(|(part, to)| *part == stuck && *to != server), "{copies:?}");
}

/// Guards against moving a part off a server that is slow but works: its work would be done twice.
#[test]
fn without_second_copies_only_a_silent_server_loses_its_part() {
    for silent in [true, false] {
        let mut d = one_copy();
        let (_, server) = sends(&d.query(1, 0, &[0]))[0];
        let (mut here, there): (Vec<_>, Vec<_>) =
            (2..60).flat_map(|i| sends(&d.query(i, 0, &[0]))).partition(|(_, to)| *to == server);
        there.iter().for_each(|(part, _)| drop(d.served(*part, 0, 50 * MS)));
        let mut cancels = Vec::new();
        for i in 0..25 {
            if let Some((part, _)) = here.pop().filter(|_| !silent) {
                d.served(part, 0, 300 * MS);
            }
            for (part, _) in sends(&d.query(100 + i, 0, &[3, 4])) {
                d.served(part, 0, 50 * MS);
            }
            cancels.extend(d.pass(40 * MS));
        }
        let moved = cancels.iter().any(|a| matches!(a, Action::Cancel { .. }));
        assert_eq!(moved, silent);
    }
}

/// Guards against one part alone on a silent server that makes one sign and is then forgotten.
#[test]
fn one_part_alone_on_a_silent_server_is_moved() {
    let mut d = one_copy();
    let (stuck, server) = sends(&d.query(1, 0, &[0]))[0];
    let mut moved = Vec::new();
    for i in 0..20 {
        for (part, _) in sends(&d.query(100 + i, 0, &[3])) {
            d.served(part, 0, 50 * MS);
        }
        moved.extend(sends(&d.pass(50 * MS)));
    }
    assert!(moved.iter().any(|(part, to)| *part == stuck && *to != server), "{moved:?}");
}

/// Guards against copies that take the capacity which shedding has just made room for.
#[test]
fn no_copies_go_out_while_the_class_is_shed() {
    for shed in [false, true] {
        let mut d =
            Driver::ready(settings(vec![class(Idempotency::Idempotent), class(Idempotency::Idempotent)]));
        d.warm_up(0, 30);
        d.warm_up(1, 30);
        if shed {
            // Everything of class 0 misses on servers that all look alike.
            for i in 0..30 {
                d.query(5_000 + i, 0, &[0, 1, 2, 3, 4, 5]);
                d.pass(100 * MS);
            }
            d.pass(6 * SECOND);
        }
        let rate = d.router.drop_rate(ClassId(0)).unwrap_or(f64::NAN);
        assert_eq!(rate > 0.3, shed, "{rate}");
        let mut copies = Vec::new();
        let mut stuck = Vec::new();
        for i in 0..20 {
            for (part, _) in sends(&d.query(100 + i, 0, &[0])) {
                stuck.push(part); // Never answered.
            }
            for (part, _) in sends(&d.query(200 + i, 1, &[3])) {
                d.served(part, 0, 50 * MS);
            }
            copies.extend(sends(&d.pass(50 * MS)));
        }
        assert!(!stuck.is_empty());
        assert_eq!(copies.is_empty(), shed, "{copies:?}");
    }
}

/// Found on a day with queries that kill: each further attempt took one more server down.
#[test]
fn a_query_with_which_two_servers_fell_goes_no_further() {
    let mut d = Driver::ready(safe());
    let sent = sends(&d.query(1, 0, &[0, 3]));
    let first = d.ended(sent[0].0, 0, Outcome::ConnectionLost, 20 * MS);
    assert_eq!(sends(&first).len(), 1, "one fall may be chance");
    let second = d.ended(sent[1].0, 0, Outcome::ConnectionLost, 20 * MS);
    assert!(sends(&second).is_empty());
    assert!(matches!(finals(&second)[..], [Action::Reject { .. }]));
    // A query some part of which was answered did not kill.
    let sent = sends(&d.query(2, 0, &[1, 2, 4]));
    d.served(sent[0].0, 0, 50 * MS);
    d.ended(sent[1].0, 0, Outcome::ConnectionLost, 20 * MS);
    assert_eq!(sends(&d.ended(sent[2].0, 0, Outcome::ConnectionLost, 20 * MS)).len(), 1);
}

/// Found at the whole fleet's size: a search of thirty parts met three full servers, and some of its parts
/// waited for the budget of further attempts until the aim had passed, though nothing had run twice.
#[test]
fn parts_that_were_only_turned_away_all_go_elsewhere_while_nothing_is_shed() {
    let mut d = Driver::ready(safe());
    let sent = sends(&d.query(1, 0, &(0..12).collect::<Vec<_>>()));
    assert_eq!(sent.len(), 12);
    let away = |outcome| {
        move |(part, _): &(PartId, BackendId)| Event::AttemptCompleted {
            part: *part,
            attempt: 0,
            outcome,
            took: MS,
        }
    };
    let again = d.give(sent.iter().map(away(Outcome::Rejected)).collect());
    assert_eq!(sends(&again).len(), 12);
    // What may have run draws on it: four, and a tenth of what was taken.
    let mut d = Driver::ready(safe());
    let sent = sends(&d.query(1, 0, &(0..12).collect::<Vec<_>>()));
    let again = d.give(sent.iter().map(away(Outcome::BackendError)).collect());
    assert!((4..=6).contains(&sends(&again).len()), "{}", sends(&again).len());
}
