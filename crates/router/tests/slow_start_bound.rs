//! Upper bound of the work that all routers together send to a warming-up backend in any window, compared with
//! the work that it can handle according to the settings. Seeded; each router gets its events in batches, as
//! in the server. The environment variable `COLD_SEEDS` sets the number of seeds per case (default 3).

mod common;

use std::collections::BTreeMap;

use common::*;
use mallowgauge_router::*;

const BACKENDS: u32 = 18;
const BATCH_INTERVAL: Micros = 5 * MS;
const WINDOW: Micros = SECOND;
const WARM_UP_TIME: Micros = 14 * SECOND;
const INITIAL_CAPACITY: f64 = 0.16;
const OVERLOAD_MULTIPLE: f64 = 3.0;
/// Length of the traffic before the first backend starts.
const TIME_BEFORE_START: Micros = 6 * SECOND;
/// Length of the observed time from the first backend's start on.
const OBSERVED_TIME: Micros = 6 * SECOND;
/// When the first backend starts.
const START: Micros = 100 * SECOND;

/// How the queries are distributed over the routers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Distribution {
    /// One router in ten gets this multiple of the queries of each other router.
    Tenth(f64),
    /// One router gets half of all queries.
    Half,
}

/// Which backends start, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Scenario {
    /// A new backend each second.
    OneByOne,
    /// Six new backends at once.
    Several,
    /// All of them: a zone returns.
    Zone,
    /// Six return under their old ids with a new start time, two each second.
    Restart,
    /// Two thirds have just started, and so have all routers.
    NewRouters,
}

const SCENARIOS: [Scenario; 5] =
    [Scenario::OneByOne, Scenario::Several, Scenario::Zone, Scenario::Restart, Scenario::NewRouters];

#[derive(Clone, Copy, Debug)]
struct Case {
    routers: usize,
    /// How many routers each is configured with.
    configured_routers: u32,
    distribution: Distribution,
    scenario: Scenario,
    /// Demanded work, as a fraction of the capacity of all backends once they are warm.
    load: f64,
    /// Least and greatest number of parts of a query. Its shards are neighbours, so that parts share calls.
    parts: (u32, u32),
    /// Mean work of a part.
    work: Micros,
    /// Work of a call in addition to its parts.
    call_work: Micros,
    /// Latency that routers observe, as a multiple of a part's work.
    observed_multiple: f64,
    objective: Micros,
    seed: u64,
}

impl Case {
    fn new(routers: usize, distribution: Distribution, scenario: Scenario, seed: u64) -> Self {
        let (load, parts, work, call_work, observed_multiple) = (0.8, (3, 5), 20 * MS, 6 * MS, 1.0);
        let (configured_routers, objective) = (routers as u32, 400 * MS);
        Self {
            routers,
            configured_routers,
            distribution,
            scenario,
            load,
            parts,
            work,
            call_work,
            observed_multiple,
            objective,
            seed,
        }
    }

    fn settings(&self) -> Settings {
        let mut s = settings(vec![class(Idempotency::Idempotent)]);
        (s.routers, s.batch_interval) = (self.configured_routers, BATCH_INTERVAL);
        s.layout = ShardLayout {
            ring_positions: BACKENDS,
            replication_factor: 3,
            parts_per_call: 16,
            call_work: self.call_work,
        };
        (s.classes[0].latency_objective, s.classes[0].deadline) = (self.objective, 4 * SECOND);
        s.limits.max_attempts = 3;
        s.rules.initial_capacity = INITIAL_CAPACITY;
        s.rules.warm_up_time = WARM_UP_TIME;
        s.rules.overload_window = WINDOW;
        s.rules.overload_multiple = OVERLOAD_MULTIPLE;
        s
    }
}

/// One attempt that was sent.
struct Sent {
    at: Micros,
    backend: u32,
    work: f64,
    opens_call: bool,
}

struct Simulation {
    case: Case,
    rng: fastrand::Rng,
    routers: Vec<Router>,
    /// Pending events by the time of the batch and the router.
    due: BTreeMap<(Micros, usize), Vec<Event>>,
    attempts: BTreeMap<PartId, u32>,
    sent: Vec<Sent>,
    /// When each backend last started.
    started: BTreeMap<u32, Micros>,
}

fn snapshot(list: &BTreeMap<u32, Option<Micros>>) -> Event {
    let endpoints = list.iter().map(|(id, started_at)| endpoint(*id, EndpointState::Ready, *started_at));
    Event::EndpointUpdate(EndpointUpdate::Snapshot(endpoints.collect()))
}

/// The window in which a backend was sent the most work relative to its bound, over all backends that warmed
/// up.
#[derive(Debug, Default)]
struct WorstWindow {
    /// Work that it was sent, in calls of mean work.
    count: f64,
    /// Work that it can handle in that window according to the settings, in the same unit.
    allowed: f64,
    /// `allowed` with a tolerance for random variation.
    bound: f64,
    /// Work that all warming-up backends were sent, as a fraction of their capacity in that time.
    used_fraction: f64,
}

impl Simulation {
    fn new(case: Case) -> Self {
        let rng = fastrand::Rng::with_seed(case.seed);
        let router =
            |i: usize| Router::new(case.seed * 1_000 + i as u64, case.settings()).expect("valid settings");
        let routers = (0..case.routers).map(router).collect();
        let (due, attempts, started) = Default::default();
        let mut simulation = Self { case, rng, routers, due, attempts, sent: Vec::new(), started };
        simulation.schedule_endpoint_updates();
        simulation.schedule_queries();
        simulation
    }

    fn batch_time(at: Micros) -> Micros {
        at.div_ceil(BATCH_INTERVAL) * BATCH_INTERVAL
    }

    /// Returns the start times, each with the backends that start then.
    fn starts(&self) -> Vec<(Micros, Vec<u32>)> {
        let each_second = |i: u32| START + u64::from(i) * SECOND;
        match self.case.scenario {
            Scenario::OneByOne => (0..6).map(|i| (each_second(i), vec![i * 3 + 1])).collect(),
            Scenario::Several => vec![(START, (0..BACKENDS).filter(|id| id % 3 == 1).collect())],
            Scenario::Zone => vec![(START, (0..BACKENDS).collect())],
            Scenario::Restart => (0..3).map(|i| (each_second(i), vec![i * 6, i * 6 + 4])).collect(),
            Scenario::NewRouters => vec![(START, (0..BACKENDS).filter(|id| id % 3 > 0).collect())],
        }
    }

    /// Schedules the endpoint updates of all routers.
    fn schedule_endpoint_updates(&mut self) {
        let starts = self.starts();
        let starting: Vec<u32> = starts.iter().flat_map(|(_, ids)| ids.clone()).collect();
        let mut list: BTreeMap<u32, Option<Micros>> = (0..BACKENDS).map(|id| (id, None)).collect();
        let returning = matches!(self.case.scenario, Scenario::Zone | Scenario::Restart);
        if !returning {
            starting.iter().for_each(|id| _ = list.remove(id));
        }
        let new_routers = self.case.scenario == Scenario::NewRouters;
        for router in (0..self.case.routers).filter(|_| !new_routers) {
            self.add_event(START - TIME_BEFORE_START, router, snapshot(&list));
        }
        let mut updates = Vec::new();
        if returning {
            // Returning backends are first removed from the list, so that only routers that know of the new
            // start send parts to them.
            starting.iter().for_each(|id| _ = list.remove(id));
            updates.push((START - SECOND, snapshot(&list)));
        }
        for (at, ids) in starts {
            for id in ids {
                list.insert(id, Some(at));
                self.started.insert(id, at);
            }
            updates.push((at, snapshot(&list)));
        }
        for (at, update) in updates {
            for router in 0..self.case.routers {
                // Each router gets the update after a random delay.
                let delay = if new_routers { 0 } else { self.rng.u64(0..200 * MS) };
                self.add_event(at + delay, router, update.clone());
            }
        }
    }

    /// Schedules an event for a router's next batch.
    fn add_event(&mut self, at: Micros, router: usize, event: Event) {
        self.due.entry((Self::batch_time(at), router)).or_default().push(event);
    }

    /// Schedules the queries of all routers.
    fn schedule_queries(&mut self) {
        let case = self.case;
        let weight = |i: usize| match case.distribution {
            Distribution::Tenth(multiple) if i.is_multiple_of(10) => multiple,
            Distribution::Tenth(_) => 1.0,
            Distribution::Half if i == 0 => case.routers.saturating_sub(1).max(1) as f64,
            Distribution::Half => 1.0,
        };
        let all: f64 = (0..case.routers).map(weight).sum();
        let mean = f64::from(case.parts.0 + case.parts.1) / 2.0;
        // Two or more neighbouring parts share a call.
        let work = mean * case.work as f64 + (mean / 2.0).max(1.0) * case.call_work as f64;
        let rate = case.load * f64::from(BACKENDS) / work;
        let from = if case.scenario == Scenario::NewRouters { START } else { START - TIME_BEFORE_START };
        for at in 0..case.routers {
            let gap = 1.0 / (rate * weight(at) / all);
            let (mut when, mut number) = (from as f64, 0_u128);
            loop {
                when += -self.rng.f64().max(1e-12).ln() * gap;
                if when >= (START + OBSERVED_TIME) as f64 {
                    break;
                }
                number += 1;
                let shards = BACKENDS * 2;
                let first = self.rng.u32(0..shards);
                let count = self.rng.u32(case.parts.0..=case.parts.1);
                let shards: Vec<u32> = (0..count).map(|i| (first + i) % shards).collect();
                let id = (case.seed as u128 * 1_000 + at as u128) * 1_000_000 + number;
                let events = arrival(id, 0, &shards);
                self.due.entry((Self::batch_time(when as u64), at)).or_default().extend(events);
            }
        }
    }

    fn run(&mut self) {
        while let Some(((now, at), events)) = self.due.pop_first() {
            if now >= START + OBSERVED_TIME {
                break;
            }
            let mut actions = Vec::new();
            self.routers[at].handle(now, events, &mut actions);
            let mut calls: BTreeMap<u32, u32> = BTreeMap::new();
            for action in actions {
                match action {
                    Action::Send { part, backend, .. } => self.send(now, at, part, backend.0, &mut calls),
                    Action::SetTimer(after) => {
                        self.due
                            .entry((Self::batch_time(now + after), at))
                            .or_default()
                            .push(Event::TimerExpired);
                    }
                    Action::HealthCheck(backend) => {
                        let passed = Event::HealthCheckCompleted { backend, passed: true };
                        self.due.entry((now + BATCH_INTERVAL, at)).or_default().push(passed);
                    }
                    _ => {}
                }
            }
        }
    }

    fn send(&mut self, now: Micros, at: usize, part: PartId, backend: u32, calls: &mut BTreeMap<u32, u32>) {
        let in_call = calls.entry(backend).or_default();
        let opens_call = in_call.is_multiple_of(16);
        *in_call += 1;
        // The work of a part varies by up to half of its mean in both directions.
        let part_work = self.case.work as f64 * (0.5 + self.rng.f64());
        let call_work = self.case.call_work as f64;
        let work = part_work + if opens_call { call_work } else { 0.0 };
        self.sent.push(Sent { at: now, backend, work, opens_call });
        let number = self.attempts.entry(part).or_default();
        // A warming-up backend is slower in proportion to its capacity.
        let speed =
            self.started.get(&backend).map_or(1.0, |&started| capacity_fraction(now.saturating_sub(started)));
        let latency = ((part_work + call_work) * self.case.observed_multiple / speed) as Micros;
        let completed =
            Event::AttemptCompleted { part, attempt: *number, outcome: Outcome::Succeeded, latency };
        *number += 1;
        self.due.entry((Self::batch_time(now + latency.max(1)), at)).or_default().push(completed);
    }

    /// Slides a window over the work that all routers together sent to each warming-up backend.
    fn worst_window(&self) -> WorstWindow {
        let calls = self.sent.iter().filter(|sent| sent.opens_call).count();
        let mean = self.sent.iter().map(|sent| sent.work).sum::<f64>() / calls as f64;
        let mut worst = WorstWindow::default();
        let (mut total_sent, mut total_capacity) = (0.0, 0.0);
        for (&backend, &started) in &self.started {
            let to: Vec<&Sent> =
                self.sent.iter().filter(|sent| sent.backend == backend && sent.at >= started).collect();
            for first in 0..to.len() {
                let from = to[first].at;
                let inside = to[first..].iter().take_while(|sent| sent.at < from + WINDOW);
                let count = inside.map(|sent| sent.work).sum::<f64>() / mean;
                let allowed = OVERLOAD_MULTIPLE * capacity_fraction(from - started) * WINDOW as f64 / mean;
                let bound = allowed + 2.0 * allowed.sqrt() + 2.0;
                if count * worst.bound >= worst.count * bound {
                    (worst.count, worst.allowed, worst.bound) = (count, allowed, bound);
                }
            }
            total_sent += to.iter().map(|sent| sent.work).sum::<f64>();
            let time = START + OBSERVED_TIME - started;
            total_capacity += time as f64 * (capacity_fraction(0) + capacity_fraction(time)) / 2.0;
        }
        worst.used_fraction = total_sent / total_capacity;
        worst
    }
}

fn capacity_fraction(age: Micros) -> f64 {
    (INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * age as f64 / WARM_UP_TIME as f64).min(1.0)
}

fn seeds() -> u64 {
    std::env::var("COLD_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(3)
}

fn run(case: Case) -> WorstWindow {
    let mut simulation = Simulation::new(case);
    simulation.run();
    simulation.worst_window()
}

/// Runs a case in all scenarios, with another traffic distribution for each seed, and asserts that it stays
/// within the bound. In each run, warming-up backends must be sent more than `min_used_fraction` of the work
/// that they can handle.
fn assert_within_bound(name: &str, routers: usize, min_used_fraction: f64, change: impl Fn(&mut Case)) {
    let distributions = [Distribution::Tenth(4.0), Distribution::Tenth(20.0), Distribution::Half];
    let (mut over, mut runs, mut least) = (Vec::new(), 0, f64::INFINITY);
    let mut worst = WorstWindow::default();
    for (number, scenario) in SCENARIOS.into_iter().enumerate() {
        for seed in 1..=seeds() {
            let distribution = distributions[(number + seed as usize) % 3];
            let mut case = Case::new(routers, distribution, scenario, seed);
            change(&mut case);
            let window = run(case);
            (runs, least) = (runs + 1, least.min(window.used_fraction));
            if window.count > window.bound {
                over.push(format!("{scenario:?} {distribution:?} seed {seed}: {window:.1?}"));
            }
            if window.count * worst.bound >= worst.count * window.bound {
                worst = window;
            }
        }
    }
    println!(
        "{name}, {routers} routers: {runs} runs, {} over, worst {worst:.2?}, least used {least:.2}",
        over.len()
    );
    assert!(over.is_empty(), "{name}, {routers} routers: {} of {runs} runs over: {over:#?}", over.len());
    assert!(
        least > min_used_fraction,
        "{name}, {routers} routers: warming-up backends were sent {least} of the work that they can handle"
    );
}

fn assert_within_bound_for_all_router_counts(
    name: &str,
    min_used_fraction: f64,
    change: impl Fn(&mut Case) + Copy,
) {
    for routers in [2, 20, 30, 300] {
        assert_within_bound(name, routers, min_used_fraction, change);
    }
}

#[test]
fn warming_backends_are_not_overloaded_by_queries_of_few_parts() {
    assert_within_bound_for_all_router_counts("narrow", 0.1, |_| {});
}

#[test]
fn warming_backends_are_not_overloaded_by_queries_of_many_parts() {
    assert_within_bound_for_all_router_counts("wide", 0.1, |case| case.parts = (12, 30));
}

/// The load is the full capacity of two cores of each warm backend.
#[test]
fn warming_backends_are_not_overloaded_by_a_burst() {
    assert_within_bound_for_all_router_counts("burst", 0.1, |case| case.load = 2.0);
}

#[test]
fn warming_backends_are_not_overloaded_if_work_is_underestimated() {
    assert_within_bound_for_all_router_counts("light", 0.1, |case| case.observed_multiple = 0.8);
}

/// A warming-up backend that appears to be twice as slow as it is hardly answers in time, so it is sent little.
#[test]
fn warming_backends_are_not_overloaded_if_work_is_overestimated() {
    assert_within_bound_for_all_router_counts("heavy", 0.03, |case| case.observed_multiple = 2.0);
}

#[test]
fn warming_backends_are_not_overloaded_if_calls_cost_more_than_their_parts() {
    assert_within_bound_for_all_router_counts("calls", 0.1, |case| {
        (case.work, case.call_work, case.objective) = (30 * MS, 48 * MS, 1_500 * MS)
    });
}

/// A warming-up backend cannot meet such a short objective, so it is sent little, but not nothing. The routers'
/// initial estimate of the work is far too low.
#[test]
fn warming_backends_are_not_overloaded_if_the_objective_is_short_for_the_work() {
    assert_within_bound_for_all_router_counts("short", 0.03, |case| {
        (case.work, case.call_work, case.objective) = (60 * MS, 0, 150 * MS)
    });
}

#[test]
fn warming_backends_are_not_overloaded_if_half_of_the_routers_are_missing() {
    assert_within_bound_for_all_router_counts("half", 0.1, |case| case.configured_routers *= 2);
}

/// Verifies the check itself: routers that each use the full capacity of a warming-up backend exceed the bound.
#[test]
fn routers_that_each_use_the_full_capacity_exceed_the_bound() {
    for routers in [20, 30, 300] {
        let mut case = Case::new(routers, Distribution::Tenth(4.0), Scenario::Zone, 1);
        (case.configured_routers, case.load) = (1, 2.0);
        let window = run(case);
        assert!(window.count > window.bound, "{routers} routers: {window:?}");
    }
}
