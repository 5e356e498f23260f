//! Rejection of queries on arrival, and which missed objectives raise the drop rate.

mod common;

use common::*;
use mallowgauge_router::admission::{cannot_meet_objective, Admission, ExpectedPart};
use mallowgauge_router::random::Random;
use mallowgauge_router::*;

#[test]
fn load_is_shed_during_overload_but_not_after_one_miss() {
    let mut driver = Driver::ready(idempotent_settings());
    let rate = |driver: &Driver| driver.router.drop_rate(ClassId(0)).unwrap_or(f64::NAN);
    driver.warm_up(0, 20);
    driver.query(1, 0, &[0]);
    driver.advance(2_200 * MS);
    assert!(rate(&driver) < 0.2, "{}", rate(&driver));
    // All backends are equally slow: none is ejected, and every query misses its objective.
    let mut rejected = 0;
    let mut top: f64 = 0.0;
    for i in 0..60 {
        let actions = driver.query(100 + i, 0, &[0, 2, 4]);
        rejected += final_actions(&actions).len();
        driver.advance(200 * MS);
        top = top.max(rate(&driver));
    }
    assert!(top > 0.2 && rejected > 0, "{top} {rejected}");
    driver.advance(20 * SECOND);
    assert_eq!(rate(&driver), 0.0);
}

#[test]
fn rejections_precede_any_send_and_carry_a_random_retry_delay() {
    let mut driver = Driver::ready(idempotent_settings());
    let mut advice = Vec::new();
    for i in 0..60 {
        let actions = driver.query(100 + i, 0, &[0, 2, 4]);
        if let Some(Action::Reject { retry_after, .. }) = final_actions(&actions).first() {
            assert!(sends(&actions).is_empty());
            advice.push(*retry_after);
        }
        driver.advance(200 * MS);
    }
    // The delays are spread up to the longest allowed one, so that clients do not retry at the same time.
    assert!(advice.len() > 3 && advice.iter().all(|after| *after <= SECOND), "{advice:?}");
    advice.dedup();
    assert!(advice.len() > 3, "{advice:?}");
}

/// Guards against work for queries that are certain to miss their objective: no replica of one of their
/// shards answers in time.
#[test]
fn a_query_is_rejected_while_no_replica_of_a_shard_answers_in_time() {
    let mut driver = Driver::ready(idempotent_settings());
    driver.query(1, 0, &[0]);
    driver.query(2, 0, &[0]);
    driver.advance(1_500 * MS);
    let rejected = driver.query(3, 0, &[0]);
    assert!(matches!(final_actions(&rejected)[..], [Action::Reject { .. }]));
    // Queries of other shards are admitted.
    assert_eq!(sends(&driver.query(4, 0, &[3])).len(), 1);
}

/// Guards against load shedding caused by a failing backend: misses of queries that wait for it do not
/// indicate overload.
#[test]
fn misses_caused_by_ejected_backends_shed_no_load() {
    let mut driver = Driver::ready(idempotent_settings());
    driver.warm_up(0, 30);
    let mut sent_to_failing = 0;
    for i in 0..20 {
        for (part, to) in sends(&driver.query(100 + i, 0, &[0])) {
            if to == BackendId(0) {
                sent_to_failing += 1; // It never answers.
            } else {
                driver.succeeded(part, 0, 50 * MS);
            }
        }
        driver.query(200 + i, 0, &[3]).iter().for_each(|_| ());
        for (part, attempt) in (0..1).map(|_| (part_id(200 + i, 0), 0)) {
            driver.succeeded(part, attempt, 50 * MS);
        }
        driver.advance(150 * MS);
    }
    assert!(sent_to_failing > 0);
    let rate = driver.router.drop_rate(ClassId(0)).unwrap_or(f64::NAN);
    assert!(rate < 0.05, "{rate}");
}

/// Arrival of a query with this much time left until its client gives up.
fn arrival_with_time_left(query: u128, shards: &[u32], retry: bool, left: Micros) -> Vec<Event> {
    let mut events = arrival(query, 0, shards);
    let Event::QueryArrived(arrival) = &mut events[0] else { panic!("the query comes first") };
    (arrival.retry, arrival.expires_in) = (retry, left);
    events
}

/// Runs one query of a class whose late answers have no value, with this much time left.
fn query_without_late_value(retry: bool, left: Micros) -> Vec<Action> {
    let mut c = class(Idempotency::Idempotent);
    c.late_value = 0.0;
    let mut driver = Driver::ready(settings(vec![c]));
    driver.warm_up(0, 5);
    driver.handle(arrival_with_time_left(1, &[0, 2], retry, left))
}

#[test]
fn a_retry_past_its_objective_is_rejected_if_late_answers_have_no_value() {
    // Guards against work for retries whose answers no longer have any value.
    assert!(sends(&query_without_late_value(true, 3 * SECOND)).is_empty());
    // A retry with most of the six seconds left is admitted, and so is any first attempt.
    assert_eq!(sends(&query_without_late_value(true, 5 * SECOND)).len(), 2);
    assert_eq!(sends(&query_without_late_value(false, 3 * SECOND)).len(), 2);
}

#[test]
fn misses_of_queries_with_little_time_left_shed_no_load() {
    let mut driver = Driver::ready(idempotent_settings());
    driver.warm_up(0, 5);
    for i in 0..30 {
        driver.handle(arrival_with_time_left(100 + i, &[0, 2, 4], false, 600 * MS));
        driver.advance(300 * MS);
        assert_eq!(driver.router.drop_rate(ClassId(0)), Some(0.0));
    }
}

/// Guards against load shedding caused by a few overloaded replicas: queries that do not use them would be
/// rejected.
#[test]
fn misses_caused_by_an_overdue_part_shed_no_load() {
    let mut s = settings(vec![class(Idempotency::Idempotent), class(Idempotency::Idempotent)]);
    s.layout.replication_factor = 1;
    let mut driver = Driver::ready(s);
    driver.warm_up(1, 40);
    // The only replica answers one part and not the other: it is not ejected for that alone.
    let sent = sends(&driver.query(100, 0, &[2, 2]));
    assert_eq!(sent.len(), 2);
    driver.advance(75 * MS);
    driver.succeeded(sent[0].0, 0, 75 * MS);
    for j in 0..29 {
        let others = sends(&driver.query(1_000 + j, 1, &[0, 4]));
        driver.advance(75 * MS);
        others.iter().for_each(|(part, _)| drop(driver.succeeded(*part, 0, 75 * MS)));
        assert!(!driver.router.backends().any(|s| s.ejected));
        assert_eq!(driver.router.drop_rate(ClassId(0)), Some(0.0), "query {j}");
    }
}

#[test]
fn extreme_input_is_rejected_or_served_without_a_panic() {
    // Hundreds of routers and backends, and a query of a hundred parts.
    let mut s = idempotent_settings();
    (s.routers, s.layout.ring_positions) = (500, 300);
    let mut driver = Driver::new(s);
    let entries: Vec<_> = (0..300).map(|s| endpoint(s, EndpointState::Ready, None)).collect();
    driver.handle(vec![Event::EndpointUpdate(EndpointUpdate::Snapshot(entries.clone()))]);
    let shards: Vec<u32> = (0..100).collect();
    assert_eq!(sends(&driver.query(1, 0, &shards)).len(), 100);
    // A list with a duplicate backend, and an empty list.
    let twice = vec![entries[0].clone(), entries[0].clone()];
    driver.handle(vec![Event::EndpointUpdate(EndpointUpdate::Snapshot(twice))]);
    assert_eq!(sends(&driver.query(2, 0, &[0])).len(), 1);
    driver.handle(vec![Event::EndpointUpdate(EndpointUpdate::Snapshot(vec![]))]);
    assert!(sends(&driver.query(3, 0, &[0])).is_empty());
    driver.advance(7 * SECOND);
    // No time left, the longest possible time, and an unknown class.
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
        let mut actions = driver.handle(vec![Event::QueryArrived(query)]);
        actions.extend(driver.advance(7 * SECOND));
        assert_eq!(final_actions(&actions).len(), usize::from(id != 5), "query {id}: {actions:?}");
    }
}

// ---- unit tests of the rule ----

const FIRST: ClassId = ClassId(0);
/// Interval in which a drop rate changes by one step.
const CONTROL_INTERVAL: Micros = 20 * MS;

/// Runs control intervals with one query in each, which met or missed its objective.
fn run_control_intervals(admission: &mut Admission, now: &mut Micros, intervals: u32, met_objective: bool) {
    for _ in 0..intervals {
        admission.record(FIRST, met_objective);
        *now += CONTROL_INTERVAL;
        admission.advance(*now);
    }
}

#[test]
fn the_drop_rate_moves_one_step_in_each_control_interval() {
    let (mut admission, mut now) = (Admission::new(1), SECOND);
    admission.advance(now);
    run_control_intervals(&mut admission, &mut now, 10, false);
    let rate = admission.drop_rate(FIRST).expect("a class");
    assert!((rate - 0.03).abs() < 1e-9, "ten steps of 0.003: {rate}");
    assert!(admission.is_shedding(FIRST));
    // After a pause of five intervals all five steps are made up, with the last counts.
    now += 5 * CONTROL_INTERVAL;
    admission.advance(now);
    let rate = admission.drop_rate(FIRST).expect("a class");
    assert!((rate - 0.045).abs() < 1e-9, "{rate}");
    assert_eq!(admission.drop_rate(ClassId(1)), None);
}

#[test]
fn the_drop_rate_stays_below_one_and_falls_to_zero() {
    let (mut admission, mut now) = (Admission::new(1), SECOND);
    admission.advance(now);
    run_control_intervals(&mut admission, &mut now, 1_000, false);
    assert_eq!(admission.drop_rate(FIRST), Some(0.99));
    run_control_intervals(&mut admission, &mut now, 1_000, true);
    assert_eq!(admission.drop_rate(FIRST), Some(0.0));
}

#[test]
fn a_passed_objective_rejects_only_if_late_answers_have_little_value() {
    let (mut admission, mut now, mut random) = (Admission::new(1), SECOND, Random::with_seed(1));
    let valuable = class(Idempotency::Idempotent);
    let worthless = Class { late_value: 0.0, ..valuable.clone() };
    assert!(!admission.sheds(FIRST, &valuable, true, &mut random));
    assert!(admission.sheds(FIRST, &worthless, true, &mut random));
    assert!(!admission.sheds(FIRST, &worthless, false, &mut random));
    // While load is shed, it would displace a query whose answer has more value.
    admission.advance(now);
    run_control_intervals(&mut admission, &mut now, 1, false);
    assert!(admission.sheds(FIRST, &valuable, true, &mut random));
}

#[test]
fn the_random_draw_rejects_at_the_drop_rate() {
    let (mut admission, mut now, mut random) = (Admission::new(1), SECOND, Random::with_seed(1));
    admission.advance(now);
    run_control_intervals(&mut admission, &mut now, 100, false);
    let class = class(Idempotency::Idempotent);
    let rejected = (0..10_000).filter(|_| admission.sheds(FIRST, &class, false, &mut random)).count();
    assert!((2_800..3_200).contains(&rejected), "{rejected} of 10,000 at 0.3");
}

#[test]
fn a_retry_has_the_time_that_its_first_attempt_left() {
    let mut admission = Admission::new(1);
    let class = class(Idempotency::Idempotent);
    let mut objective = |retry: bool, expires_in: Micros| {
        let (query, class_id, work_hint, planned) = (QueryId(1), FIRST, None, false);
        let arrival = QueryArrival { query, class: class_id, expires_in, work_hint, retry, planned };
        admission.objective(&class, &arrival)
    };
    let first = objective(false, 6 * SECOND);
    assert_eq!((first.time_left, first.excluded), (2 * SECOND, false));
    let early = objective(true, 5 * SECOND);
    assert_eq!((early.time_left, early.excluded), (SECOND, false));
    let late = objective(true, 3 * SECOND);
    assert_eq!((late.time_left, late.excluded), (0, true));
    // A first attempt with little time has the full objective, but its miss is not counted.
    let short = objective(false, 900 * MS);
    assert_eq!((short.time_left, short.excluded), (2 * SECOND, true));
}

#[test]
fn a_query_whose_slow_parts_weigh_too_much_cannot_meet_its_objective() {
    let all = class(Idempotency::Idempotent);
    let half = Class { minimum_completeness: 0.5, ..all.clone() };
    let parts = |waits: [Option<f64>; 2]| waits.map(|wait| ExpectedPart { weight: 0.5, wait }).into_iter();
    let (fast, slow) = (Some(599_000.0), Some(601_000.0)); // The limit is 0.3 of two seconds.
    assert!(!cannot_meet_objective(&all, 2 * SECOND, parts([fast, fast])));
    assert!(cannot_meet_objective(&all, 2 * SECOND, parts([fast, slow])));
    assert!(cannot_meet_objective(&all, 2 * SECOND, parts([fast, Some(f64::INFINITY)])));
    assert!(!cannot_meet_objective(&half, 2 * SECOND, parts([fast, slow])));
    assert!(cannot_meet_objective(&half, 2 * SECOND, parts([slow, slow])));
    // A shard without a replica has no expected latency: the query waits for a replica.
    assert!(!cannot_meet_objective(&all, 2 * SECOND, parts([fast, None])));
}
