//! Work that one router sends to a warming-up backend.

mod common;

use common::*;
use mallowgauge_router::slow_start::{Candidate, Demand, PartWork, RecentWork, SlowStart};
use mallowgauge_router::traffic::Traffic;
use mallowgauge_router::*;

#[test]
fn a_warming_backend_is_sent_no_more_than_the_routers_quota() {
    let mut driver = Driver::new(idempotent_settings());
    let started = driver.now;
    driver.handle(vec![Event::EndpointUpdate(EndpointUpdate::Snapshot(vec![endpoint(
        0,
        EndpointState::Ready,
        Some(started),
    )]))]);
    let mut sent = 0;
    for i in 0..100 {
        sent += sends(&driver.query(i, 0, &[0])).len();
    }
    // The initial latency estimate is 0.3 s; two routers may together send 3 x 0.2 x 2 s = 1.2 s of work.
    assert!((1..=2).contains(&sent), "{sent}");
    let mut warm = Driver::ready(idempotent_settings());
    let all: usize = (0..20).map(|i| sends(&warm.query(i, 0, &[0])).len()).sum();
    assert_eq!(all, 20);
}

/// Guards against warming-up backends that are sent nothing because queueing at other backends inflates the
/// estimate of a part's work.
#[test]
fn queueing_at_other_backends_does_not_exclude_a_warming_backend() {
    let mut driver = Driver::ready(idempotent_settings());
    driver.warm_up(0, 60);
    // The latency comes from queueing: the base latency hardly changes.
    for i in 0..10 {
        for (part, _) in sends(&driver.query(i, 0, &[3])) {
            driver.succeeded(part, 0, 500 * MS);
        }
    }
    driver.advance(3 * SECOND);
    let started = driver.now;
    let warming =
        [endpoint(0, EndpointState::Ready, Some(started)), endpoint(1, EndpointState::Removed, None)];
    driver.handle(vec![Event::EndpointUpdate(EndpointUpdate::Delta(warming.to_vec()))]);
    let sent: usize = (100..104).map(|i| sends(&driver.query(i, 0, &[0])).len()).sum();
    assert!(sent >= 3, "{sent}");
}

/// Guards against wasted work and needless load shedding for queries with a shard whose replicas are all
/// warming up: their other parts would be sent in vain, and their misses would raise the drop rate.
#[test]
fn a_query_of_a_shard_without_warm_capacity_is_rejected_at_once_and_does_not_count_as_overload() {
    let mut s = idempotent_settings();
    s.routers = 600;
    let mut driver = Driver::new(s);
    let started = driver.now;
    let entries = (0..6).map(|s| endpoint(s, EndpointState::Ready, (s < 2).then_some(started))).collect();
    driver.handle(vec![Event::EndpointUpdate(EndpointUpdate::Snapshot(entries))]);
    let mut rejected = 0;
    for i in 0..30 {
        let sent = sends(&driver.query(1 + i, 0, &[0, 3]));
        assert!(sent.is_empty() || sent.len() == 2, "the part of shard 3 would be sent in vain");
        rejected += u32::from(sent.is_empty());
        driver.advance(50 * MS);
        sent.iter().for_each(|(part, _)| _ = driver.succeeded(*part, 0, 50 * MS));
        driver.advance(150 * MS);
        assert_eq!(driver.router.drop_rate(ClassId(0)), Some(0.0));
    }
    // Its replicas have 0.2 to 0.4 of their capacity in these six seconds.
    assert!((15..30).contains(&rejected), "{rejected} of 30");
}

// ---- unit tests of the rule ----

const STARTED: Option<Micros> = Some(100 * SECOND);
const NOW: Micros = 102 * SECOND;
/// A part of 50 ms of work, one per call.
const PART: PartWork = PartWork { part: 50_000.0, call: 0.0, joins_call: false };

fn slow_start(routers: u32) -> SlowStart {
    SlowStart::new(&Settings { routers, ..idempotent_settings() })
}

/// Traffic of a router that has run for ten seconds, with this number of parts in the last five.
fn traffic(parts: usize) -> Traffic {
    let mut traffic = Traffic::new(5 * SECOND);
    traffic.advance(NOW - 10 * SECOND);
    traffic.record_admitted_parts(NOW - SECOND, parts);
    traffic.advance(NOW);
    traffic
}

fn demand(query: u128, traffic: &Traffic) -> Demand<'_> {
    Demand { query: QueryId(query), traffic, waiting_parts: 0, ready_backends: 6.0 }
}

/// Returns how many parts in a row a backend that started at `started_at` is sent.
fn admitted_parts(rule: &SlowStart, started_at: Option<Micros>) -> usize {
    let (traffic, mut recent_work) = (traffic(10), RecentWork::default());
    let admits = |_: &u128| {
        let backend = Candidate { started_at, recent_work: &recent_work };
        let admitted = rule.admits(NOW, backend, PART, demand(1, &traffic), [started_at, None].into_iter());
        if admitted {
            recent_work.record(NOW, 2 * SECOND, PART.added());
        }
        admitted
    };
    (0..1_000).take_while(admits).count()
}

#[test]
fn capacity_grows_linearly_over_the_warm_up_time() {
    let rule = slow_start(2);
    let fraction = |age: Micros| rule.warm_up_fraction(STARTED, 100 * SECOND + age);
    assert_eq!((fraction(0), fraction(10 * SECOND), fraction(60 * SECOND)), (0.2, 1.0, 1.0));
    assert!((fraction(5 * SECOND) - 0.6).abs() < 1e-9);
    assert_eq!(rule.warm_up_fraction(None, 0), 1.0, "started long ago");
    assert!(rule.is_warming_up(STARTED, NOW) && !rule.is_warming_up(STARTED, NOW + 8 * SECOND));
    assert!(!rule.is_warming_up(None, NOW));
}

#[test]
fn a_router_sends_its_quota_of_a_warming_backends_capacity() {
    // 0.8 x 3 x 0.2 x 2 s = 0.96 s of work for all routers.
    assert_eq!(admitted_parts(&slow_start(1), STARTED), 19);
    assert_eq!(admitted_parts(&slow_start(4), STARTED), 4);
    assert_eq!(admitted_parts(&slow_start(4), None), 1_000, "full capacity has no quota");
}

#[test]
fn a_quota_of_less_than_a_part_is_decided_by_a_draw_per_query() {
    let (rule, traffic, nothing) = (slow_start(200), traffic(10), RecentWork::default());
    let admits = |query: u128, backends: [Option<Micros>; 2]| {
        let backend = Candidate { started_at: STARTED, recent_work: &nothing };
        rule.admits(NOW, backend, PART, demand(query, &traffic), backends.into_iter())
    };
    // If both replicas are warming up, 0.75 of their capacity fraction of 0.36 passes; if one is warm, the
    // mean is 0.68.
    let drawn = |backends| (0..1_000).filter(|&query| admits(query, backends)).count();
    let (warming, mixed) = (drawn([STARTED, STARTED]), drawn([STARTED, None]));
    assert!((240..300).contains(&warming), "{warming} of 1,000, not 270");
    assert!((480..540).contains(&mixed), "{mixed} of 1,000, not 510");
    for query in 0..100 {
        assert_eq!(admits(query, [STARTED, STARTED]), admits(query, [STARTED, STARTED]), "query {query}");
    }
}
