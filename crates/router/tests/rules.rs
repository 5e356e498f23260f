//! The six rules, the loop, and each failure that the rounds found, one small test each.

mod common;

use common::*;
use mallowgauge_router::*;

fn safe() -> Settings {
    settings(vec![class(Idempotency::Idempotent)])
}

/// A warmed-up router that may have only one attempt of a part out.
fn one_copy() -> Driver {
    let mut s = safe();
    s.limits.hedging = false;
    let mut d = Driver::ready(s);
    d.warm_up(0, 40);
    d
}

#[test]
fn a_taken_query_sends_every_part_to_a_holder_and_answers_whole() {
    let mut d = Driver::ready(safe());
    let sent = sends(&d.query(1, 0, &[0, 2, 4]));
    assert_eq!(sent.len(), 3);
    for (part, server) in &sent {
        let shard = [0, 2, 4][(part.0 % 1_000) as usize];
        assert!(server.0 == shard || server.0 == (shard + 1) % 6, "{server:?} does not hold {shard}");
    }
    d.now += 100 * MS;
    assert!(finals(&d.served(sent[0].0, 0, 100 * MS)).is_empty());
    assert!(finals(&d.served(sent[1].0, 0, 100 * MS)).is_empty());
    let actions = d.served(sent[2].0, 0, 100 * MS);
    assert_eq!(finals(&actions), [&Action::Respond { query: QueryId(1), complete: true }]);
}

#[test]
fn a_part_goes_to_the_replica_with_fewest_of_our_parts_out() {
    let mut d = Driver::ready(safe());
    let first = sends(&d.query(1, 0, &[0]))[0].1;
    let second = sends(&d.query(2, 0, &[0]))[0].1;
    assert_ne!(first, second);
}

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
        let mut d = Driver::ready(settings(vec![class(Idempotency::Keyed(SECOND))]));
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
fn drained_and_gone_servers_get_nothing() {
    let mut d = Driver::ready(safe());
    let gone = [entry(0, EndpointState::Draining, None), entry(1, EndpointState::Removed, None)];
    d.give(vec![Event::EndpointUpdate(EndpointUpdate::Delta(gone.to_vec()))]);
    for i in 0..50 {
        let to = sends(&d.query(i, 0, &[5, 1, 0]));
        assert!(to.iter().all(|(_, s)| s.0 > 1), "{to:?}");
    }
    // A server that a whole list leaves out is gone as well.
    d.give(vec![Event::EndpointUpdate(EndpointUpdate::Snapshot(vec![entry(2, EndpointState::Ready, None)]))]);
    assert!(sends(&d.query(99, 0, &[3, 4])).is_empty());
}

#[test]
fn a_cold_server_gets_no_more_than_its_share_of_the_budget() {
    let mut d = Driver::new(safe());
    let started = d.now;
    d.give(vec![Event::EndpointUpdate(EndpointUpdate::Snapshot(vec![entry(
        0,
        EndpointState::Ready,
        Some(started),
    )]))]);
    let mut sent = 0;
    for i in 0..100 {
        sent += sends(&d.query(i, 0, &[0])).len();
    }
    // A part is first taken to need 0.3 s; two routers may send 3 x 0.2 x 2 s = 1.2 s between them.
    assert!((1..=2).contains(&sent), "{sent}");
    let mut warm = Driver::ready(safe());
    let all: usize = (0..20).map(|i| sends(&warm.query(i, 0, &[0])).len()).sum();
    assert_eq!(all, 20);
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

#[test]
fn one_miss_does_not_shed_and_overload_does_and_it_ends() {
    let mut d = Driver::ready(safe());
    let rate = |d: &Driver| d.router.drop_rate(ClassId(0)).unwrap_or(f64::NAN);
    d.warm_up(0, 20);
    d.query(1, 0, &[0]);
    d.pass(2_200 * MS);
    assert!(rate(&d) < 0.2, "{}", rate(&d));
    // Every server is slow alike: nobody is suspect and every query misses.
    let mut refused = 0;
    let mut top: f64 = 0.0;
    for i in 0..60 {
        let actions = d.query(100 + i, 0, &[0, 2, 4]);
        refused += finals(&actions).len();
        d.pass(200 * MS);
        top = top.max(rate(&d));
    }
    assert!(top > 0.2 && refused > 0, "{top} {refused}");
    d.pass(20 * SECOND);
    assert_eq!(rate(&d), 0.0);
}

#[test]
fn refusals_come_before_any_part_and_carry_advice() {
    let mut d = Driver::ready(safe());
    let mut advice = Vec::new();
    for i in 0..60 {
        let actions = d.query(100 + i, 0, &[0, 2, 4]);
        if let Some(Action::Reject { retry_after, .. }) = finals(&actions).first() {
            assert!(sends(&actions).is_empty());
            advice.push(*retry_after);
        }
        d.pass(200 * MS);
    }
    // Spread over what clients heed, so that they do not come back together.
    assert!(advice.len() > 3 && advice.iter().all(|after| *after <= SECOND), "{advice:?}");
    advice.dedup();
    assert!(advice.len() > 3, "{advice:?}");
}

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

/// Guards against work for queries whose only replicas no longer answer in time.
#[test]
fn a_query_is_refused_while_no_replica_of_a_shard_answers_in_time() {
    let mut d = Driver::ready(safe());
    d.query(1, 0, &[0]);
    d.query(2, 0, &[0]);
    d.pass(1_500 * MS);
    let doomed = d.query(3, 0, &[0]);
    assert!(matches!(finals(&doomed)[..], [Action::Reject { .. }]));
    // Others are not refused for it.
    assert_eq!(sends(&d.query(4, 0, &[3])).len(), 1);
}

/// Guards against refusals that a sick server causes: its misses say nothing of load.
#[test]
fn misses_that_wait_for_suspects_do_not_shed() {
    let mut d = Driver::ready(safe());
    d.warm_up(0, 30);
    let mut hit = 0;
    for i in 0..20 {
        for (part, to) in sends(&d.query(100 + i, 0, &[0])) {
            if to == BackendId(0) {
                hit += 1; // It never answers.
            } else {
                d.served(part, 0, 50 * MS);
            }
        }
        d.query(200 + i, 0, &[3]).iter().for_each(|_| ());
        for (part, attempt) in (0..1).map(|_| (part_id(200 + i, 0), 0)) {
            d.served(part, attempt, 50 * MS);
        }
        d.pass(150 * MS);
    }
    assert!(hit > 0);
    let rate = d.router.drop_rate(ClassId(0)).unwrap_or(f64::NAN);
    assert!(rate < 0.05, "{rate}");
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

/// Guards against cold servers that get nothing because parts queue elsewhere.
#[test]
fn queueing_elsewhere_does_not_shut_a_cold_server_out() {
    let mut d = Driver::ready(safe());
    d.warm_up(0, 60);
    // Latency through queues only: the low latency stays where it was.
    for i in 0..10 {
        for (part, _) in sends(&d.query(i, 0, &[3])) {
            d.served(part, 0, 500 * MS);
        }
    }
    d.pass(3 * SECOND);
    let started = d.now;
    let cold = [entry(0, EndpointState::Ready, Some(started)), entry(1, EndpointState::Removed, None)];
    d.give(vec![Event::EndpointUpdate(EndpointUpdate::Delta(cold.to_vec()))]);
    let sent: usize = (100..104).map(|i| sends(&d.query(i, 0, &[0])).len()).sum();
    assert!(sent >= 3, "{sent}");
}

#[test]
fn where_the_list_must_be_asked_for_a_failure_is_retried() {
    let mut s = safe();
    s.discovery = Discovery::Poll;
    let mut d = Driver::new(s);
    let first = d.give(vec![Event::EndpointUpdate(EndpointUpdate::CachedSnapshot(vec![entry(
        0,
        EndpointState::Ready,
        None,
    )]))]);
    assert!(first.contains(&Action::WatchEndpoints));
    assert!(!d.pass(5 * SECOND).contains(&Action::WatchEndpoints), "one ask is out already");
    d.give(vec![Event::EndpointUpdate(EndpointUpdate::Failed)]);
    assert!(d.pass(2 * SECOND).contains(&Action::WatchEndpoints));
    d.give(vec![Event::EndpointUpdate(everyone())]);
    assert!(!d.pass(20 * SECOND).contains(&Action::WatchEndpoints));
}

#[test]
fn settings_that_make_no_sense_are_rejected_with_the_field() {
    type Spoil = fn(&mut Settings);
    let cases: [(&str, Spoil); 5] = [
        ("classes", |s| s.classes.clear()),
        ("layout.cells", |s| s.layout.ring_positions = 0),
        ("classes[0].floor", |s| s.classes[0].minimum_completeness = 1.5),
        ("rules.cold_from", |s| s.rules.initial_capacity = -0.1),
        ("routers", |s| s.routers = 0),
    ];
    for (field, spoil) in cases {
        let mut s = safe();
        spoil(&mut s);
        assert_eq!(Router::new(1, s).expect_err(field).field, field);
    }
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

/// A query whose client has so much time left.
fn arrival_left(query: u128, shards: &[u32], retry: bool, left: Micros) -> Vec<Event> {
    let mut events = arrival(query, 0, shards);
    let Event::QueryArrived(arrival) = &mut events[0] else { panic!("the query comes first") };
    (arrival.retry, arrival.expires_in) = (retry, left);
    events
}

/// Drives one query of a class whose late answers earn nothing, with so much time left.
fn worthless_late(retry: bool, left: Micros) -> Vec<Action> {
    let mut c = class(Idempotency::Idempotent);
    c.late_value = 0.0;
    let mut d = Driver::ready(settings(vec![c]));
    d.warm_up(0, 5);
    d.give(arrival_left(1, &[0, 2], retry, left))
}

#[test]
fn a_retry_that_is_past_its_aim_is_not_worked_on() {
    // Found at full size: a seventh of all parts were sent for retries that could no longer earn.
    assert!(sends(&worthless_late(true, 3 * SECOND)).is_empty());
    // With most of the six seconds left, and for a first try, whatever its time, there is work to do.
    assert_eq!(sends(&worthless_late(true, 5 * SECOND)).len(), 2);
    assert_eq!(sends(&worthless_late(false, 3 * SECOND)).len(), 2);
}

#[test]
fn misses_of_queries_that_come_with_little_time_do_not_shed() {
    let mut d = Driver::ready(safe());
    d.warm_up(0, 5);
    for i in 0..30 {
        d.give(arrival_left(100 + i, &[0, 2, 4], false, 600 * MS));
        d.pass(300 * MS);
        assert_eq!(d.router.drop_rate(ClassId(0)), Some(0.0));
    }
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

/// Found after falls: queries whose shard had only cold holders held parts of others and were shed for.
#[test]
fn a_shard_with_no_room_at_its_cold_holders_is_refused_at_once_and_is_no_overload() {
    let mut s = safe();
    s.routers = 600;
    let mut d = Driver::new(s);
    let started = d.now;
    let entries = (0..6).map(|s| entry(s, EndpointState::Ready, (s < 2).then_some(started))).collect();
    d.give(vec![Event::EndpointUpdate(EndpointUpdate::Snapshot(entries))]);
    let mut refused = 0;
    for i in 0..30 {
        let sent = sends(&d.query(1 + i, 0, &[0, 3]));
        assert!(sent.is_empty() || sent.len() == 2, "the part at shard 3 would be for nothing");
        refused += u32::from(sent.is_empty());
        d.pass(50 * MS);
        sent.iter().for_each(|(part, _)| _ = d.served(*part, 0, 50 * MS));
        d.pass(150 * MS);
        assert_eq!(d.router.drop_rate(ClassId(0)), Some(0.0));
    }
    // Its holders are warm by 0.2 to 0.4 in these six seconds.
    assert!((15..30).contains(&refused), "{refused} of 30");
}

#[test]
fn odd_input_is_refused_or_served_without_a_panic() {
    // Hundreds of routers and servers, and a query of a hundred parts.
    let mut s = safe();
    (s.routers, s.layout.ring_positions) = (500, 300);
    let mut d = Driver::new(s);
    let entries: Vec<_> = (0..300).map(|s| entry(s, EndpointState::Ready, None)).collect();
    d.give(vec![Event::EndpointUpdate(EndpointUpdate::Snapshot(entries.clone()))]);
    let shards: Vec<u32> = (0..100).collect();
    assert_eq!(sends(&d.query(1, 0, &shards)).len(), 100);
    // A list that names a server twice, and one that empties.
    let twice = vec![entries[0].clone(), entries[0].clone()];
    d.give(vec![Event::EndpointUpdate(EndpointUpdate::Snapshot(twice))]);
    assert_eq!(sends(&d.query(2, 0, &[0])).len(), 1);
    d.give(vec![Event::EndpointUpdate(EndpointUpdate::Snapshot(vec![]))]);
    assert!(sends(&d.query(3, 0, &[0])).is_empty());
    d.pass(7 * SECOND);
    // No time left, all the time there is, and a class that the settings do not have.
    for (id, class, expires_in) in [(4, 0, 0), (5, 0, Micros::MAX), (6, 9, SECOND)] {
        let retry = id == 4;
        let query = QueryArrival {
            query: QueryId(id),
            class: ClassId(class),
            expires_in,
            work_hint: None,
            retry,
            planned: false,
        };
        let mut actions = d.give(vec![Event::QueryArrived(query)]);
        actions.extend(d.pass(7 * SECOND));
        assert_eq!(finals(&actions).len(), usize::from(id != 5), "query {id}: {actions:?}");
    }
}

/// Found on quiet days: half of all parts crossed zones for nothing.
#[test]
fn ties_stay_in_the_own_zone_where_crossing_is_paid_for() {
    for (costs, known) in [(true, true), (false, true), (true, false)] {
        let mut s = safe();
        (s.zone, s.cross_zone_costs) = (known.then_some(ZoneId(0)), costs);
        let mut d = Driver::new(s);
        let zoned = |s: u32| Endpoint { zone: Some(ZoneId(s % 2)), ..entry(s, EndpointState::Ready, None) };
        d.give(vec![Event::EndpointUpdate(EndpointUpdate::Snapshot((0..6).map(zoned).collect()))]);
        let mut near = 0;
        for i in 0..40 {
            let sent = sends(&d.query(i, 0, &[(i % 6) as u32]));
            near += sent.iter().filter(|(_, server)| server.0 % 2 == 0).count();
            d.pass(50 * MS);
            sent.iter().for_each(|(part, _)| drop(d.served(*part, 0, 50 * MS)));
        }
        assert_eq!(near == 40, costs && known, "{near}");
        // Not a tie any more: the holder with fewer of our parts out comes first, wherever it is.
        let to: Vec<_> = (0..2).flat_map(|i| sends(&d.query(90 + i, 0, &[0]))).map(|sent| sent.1).collect();
        assert_ne!(to[0], to[1]);
    }
}

/// Found on a day with a few crowded holders: their misses shed queries that never touched them.
#[test]
fn misses_at_a_part_that_stands_out_do_not_shed_the_rest() {
    let mut s = settings(vec![class(Idempotency::Idempotent), class(Idempotency::Idempotent)]);
    s.layout.replication_factor = 1;
    let mut d = Driver::ready(s);
    d.warm_up(1, 40);
    // The only holder answers one part and not the other: it is no suspect by that alone.
    let sent = sends(&d.query(100, 0, &[2, 2]));
    assert_eq!(sent.len(), 2);
    d.pass(75 * MS);
    d.served(sent[0].0, 0, 75 * MS);
    for j in 0..29 {
        let others = sends(&d.query(1_000 + j, 1, &[0, 4]));
        d.pass(75 * MS);
        others.iter().for_each(|(part, _)| drop(d.served(*part, 0, 75 * MS)));
        assert!(!d.router.servers().any(|s| s.ejected));
        assert_eq!(d.router.drop_rate(ClassId(0)), Some(0.0), "query {j}");
    }
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

// Guards the memory of a long day on which servers are replaced all the time: what is gone is forgotten,
// once nothing is out there.
#[test]
fn servers_that_are_gone_are_forgotten() {
    let mut d = Driver::ready(safe());
    let (part, server) = sends(&d.query(1, 0, &[0]))[0];
    let gone = |id: BackendId| Endpoint { backend: id, ..entry(0, EndpointState::Removed, None) };
    for fresh in 6..100 {
        let known: Vec<BackendId> = d.router.servers().map(|s| s.backend).collect();
        let list =
            known.iter().map(|id| gone(*id)).chain([entry(fresh, EndpointState::Ready, None)]).collect();
        d.give(vec![Event::EndpointUpdate(EndpointUpdate::Delta(list))]);
        d.now += 10 * MS;
    }
    let known = |d: &Driver| d.router.servers().map(|s| s.backend).collect::<Vec<_>>();
    assert_eq!(known(&d), [server, BackendId(99)], "a part is out on the first");
    d.served(part, 0, SECOND);
    d.pass(3 * SECOND);
    d.give(vec![Event::EndpointUpdate(EndpointUpdate::Delta(Vec::new()))]);
    assert_eq!(known(&d), [BackendId(99)]);
}

/// A query whose parts somebody else chooses, with its first parts.
fn planned(d: &mut Driver, query: u128, shards: &[u32], harmless: bool) -> Vec<Action> {
    let mut events = arrival(query, 0, shards);
    for event in &mut events {
        match event {
            Event::QueryArrived(arrival) => arrival.planned = true,
            Event::PartArrived(part) => part.idempotent = harmless,
            _ => {}
        }
    }
    d.give(events)
}

// Guards planned queries: the router sends what comes and repeats what is harmless, but answers nothing by
// itself, and a later part goes out without another chance of refusal.
#[test]
fn a_planned_query_is_answered_by_whoever_planned_it() {
    let mut d = Driver::ready(settings(vec![class(Idempotency::NonIdempotent)]));
    let scouts = sends(&planned(&mut d, 1, &[0, 2], true));
    assert_eq!(scouts.len(), 2);
    d.now += 50 * MS;
    // A scout that failed is asked again, though its class has an effect.
    let again = sends(&d.ended(scouts[0].0, 0, Outcome::BackendError, 50 * MS));
    assert_eq!(again.len(), 1);
    assert!(finals(&d.served(scouts[1].0, 0, 50 * MS)).is_empty());
    assert!(finals(&d.served(scouts[0].0, 1, 50 * MS)).is_empty());
    let late = PartArrival {
        query: QueryId(1),
        part: part_id(1, 7),
        shard: ShardId(4),
        weight: 0.5,
        idempotent: false,
    };
    assert_eq!(sends(&d.give(vec![Event::PartArrived(late)])).len(), 1);
    // What has an effect is not asked again, and its loss is told.
    let lost = d.ended(part_id(1, 7), 0, Outcome::ConnectionLost, 50 * MS);
    assert_eq!(lost, [Action::PartFailed { part: part_id(1, 7) }]);
    let settled = d.give(vec![Event::QueryCompleted { query: QueryId(1), answered: false }]);
    assert!(finals(&settled).is_empty());
    assert!(finals(&d.pass(8 * SECOND)).is_empty(), "nothing more is said of it");
}

// Guards the rate's counters: a planned query counts once, as any other does, however many parts it had.
#[test]
fn a_planned_query_counts_once() {
    let misses = |planned_ones: bool| {
        let mut d = Driver::ready(safe());
        for query in 1..=6 {
            if planned_ones {
                planned(&mut d, query, &[0, 1, 2], true);
                for more in 3..6 {
                    let (query, part) = (QueryId(query), part_id(query, more));
                    let shard = ShardId(more as u32);
                    d.give(vec![Event::PartArrived(PartArrival {
                        query,
                        part,
                        shard,
                        weight: 0.1,
                        idempotent: false,
                    })]);
                }
                d.pass(3 * SECOND);
                d.give(vec![Event::QueryCompleted { query: QueryId(query), answered: true }]);
            } else {
                d.query(query, 0, &[0]);
                d.pass(3 * SECOND);
                d.give(vec![Event::ClientDisconnected(QueryId(query))]);
            }
        }
        d.router.drop_rate(ClassId(0)).expect("a class")
    };
    let (planned, plain) = (misses(true), misses(false));
    assert!(plain > 0.0 && (planned - plain).abs() < 1e-9, "{planned} and {plain}");
}

#[test]
fn a_dropped_part_is_called_off_and_not_sent_again() {
    let mut d = Driver::ready(safe());
    let sent = sends(&planned(&mut d, 1, &[0, 2], true));
    let actions = d.give(vec![Event::PartCancelled(sent[0].0)]);
    assert_eq!(actions, [Action::Cancel { part: sent[0].0, attempt: 0 }]);
    assert!(sends(&d.pass(SECOND)).iter().all(|(part, _)| *part != sent[0].0));
}

// Guards others against planned queries under overload: the rate refuses these whole and before any part, as it
// does others, and one that was let in keeps its later parts.
#[test]
fn overload_refuses_planned_queries_before_their_first_phase() {
    let mut d = Driver::ready(safe());
    let mut number = 1;
    while d.router.drop_rate(ClassId(0)).is_some_and(|rate| rate < 0.4) {
        // Queries that miss their aim, one after the other.
        d.query(number, 0, &[0]);
        d.pass(3 * SECOND);
        d.give(vec![Event::ClientDisconnected(QueryId(number))]);
        number += 1;
        assert!(number < 2_000, "the rate does not rise");
    }
    let mut refused = [0, 0];
    for round in 0..100 {
        let plans = round % 2 == 0;
        let query = 1_000_000 + round;
        let actions = if plans { planned(&mut d, query, &[1, 3], true) } else { d.query(query, 0, &[1, 3]) };
        let turned_away = actions.iter().any(|a| matches!(a, Action::Reject { .. }));
        refused[usize::from(plans)] += u32::from(turned_away);
        assert_eq!(turned_away, sends(&actions).is_empty(), "refused before any part, or all parts sent");
        if plans && !turned_away {
            let (query, part) = (QueryId(query), part_id(query, 5));
            let late = PartArrival { query, part, shard: ShardId(4), weight: 0.5, idempotent: false };
            assert_eq!(
                sends(&d.give(vec![Event::PartArrived(late)])).len(),
                1,
                "a later part is not refused"
            );
        }
        d.give(vec![Event::ClientDisconnected(QueryId(query))]);
    }
    assert!(refused.iter().all(|&count| count > 5), "{refused:?} of 50 each");
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
