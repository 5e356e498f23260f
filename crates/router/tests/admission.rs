//! What rejects a query on arrival, and which misses raise the drop rate.

mod common;

use common::*;
use mallowgauge_router::*;

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
