//! Warming backends under the sum of all routers: how much work each was sent in any window, beside what the
//! settings let it bear. Seeded, over the real module; a router's events come in its batches, as in service.
//! `COLD_SEEDS` sets how many seeds of each case are played (three here).

mod common;

use std::collections::BTreeMap;

use common::*;
use mallowgauge_router::*;

const BACKENDS: u32 = 18;
const TICK: Micros = 5 * MS;
const WINDOW: Micros = SECOND;
const WARM_UP_TIME: Micros = 14 * SECOND;
const INITIAL_CAPACITY: f64 = 0.16;
const OVERLOAD_MULTIPLE: f64 = 3.0;
/// What the fleet has been doing before anything starts warming, and how long is looked at from then on.
const BEFORE: Micros = 6 * SECOND;
const AFTER: Micros = 6 * SECOND;
const START: Micros = 100 * SECOND;

/// How the fleet's queries fall to its routers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Spread {
    /// One router in ten gets so many times what the others get.
    Tenth(f64),
    /// One router gets half of all.
    Half,
}

/// What starts warming.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Scene {
    /// A new backend each second.
    OneByOne,
    /// Six new backends at once.
    Several,
    /// All of them: a zone returns.
    Zone,
    /// Six come back under their old names with a new start, each second two.
    Again,
    /// Two thirds have just started, and so have all routers.
    Herd,
}

const SCENES: [Scene; 5] = [Scene::OneByOne, Scene::Several, Scene::Zone, Scene::Again, Scene::Herd];

#[derive(Clone, Copy, Debug)]
struct Case {
    routers: usize,
    /// How many routers each is configured with.
    configured_routers: u32,
    spread: Spread,
    scene: Scene,
    /// Work asked for, as a share of what all backends can do once they are warm.
    load: f64,
    /// Parts of a query: its shards are neighbours, so that many parts of a wide one share a call.
    parts: (u32, u32),
    /// Work of a part, and of a call beside it.
    work: Micros,
    call_work: Micros,
    /// What routers see of a part's work, as a multiple.
    seen: f64,
    objective: Micros,
    seed: u64,
}

impl Case {
    fn new(routers: usize, spread: Spread, scene: Scene, seed: u64) -> Self {
        let (load, parts, work, call_work, seen) = (0.8, (3, 5), 20 * MS, 6 * MS, 1.0);
        let (configured_routers, objective) = (routers as u32, 400 * MS);
        Self {
            routers,
            configured_routers,
            spread,
            scene,
            load,
            parts,
            work,
            call_work,
            seen,
            objective,
            seed,
        }
    }

    fn settings(&self) -> Settings {
        let mut s = settings(vec![class(Idempotency::Idempotent)]);
        (s.routers, s.batch_interval) = (self.configured_routers, TICK);
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

struct Fleet {
    case: Case,
    rng: fastrand::Rng,
    routers: Vec<Router>,
    /// The events of each router, by its batches.
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

/// The window in which a backend was sent the most beside its bound, over all backends that warmed up.
#[derive(Debug, Default)]
struct WorstWindow {
    /// What it was sent, in calls of mean work.
    count: f64,
    /// What the settings let it bear then, in the same.
    allowed: f64,
    bound: f64,
    /// What warming backends were sent in all, as a fraction of what they could do meanwhile.
    used: f64,
}

impl Fleet {
    fn new(case: Case) -> Self {
        let rng = fastrand::Rng::with_seed(case.seed);
        let router =
            |i: usize| Router::new(case.seed * 1_000 + i as u64, case.settings()).expect("valid settings");
        let routers = (0..case.routers).map(router).collect();
        let (due, attempts, started) = Default::default();
        let mut fleet = Self { case, rng, routers, due, attempts, sent: Vec::new(), started };
        fleet.endpoint_updates();
        fleet.queries();
        fleet
    }

    fn batch_time(at: Micros) -> Micros {
        at.div_ceil(TICK) * TICK
    }

    /// Which backends start, and when.
    fn starts(&self) -> Vec<(Micros, Vec<u32>)> {
        let each_second = |i: u32| START + u64::from(i) * SECOND;
        match self.case.scene {
            Scene::OneByOne => (0..6).map(|i| (each_second(i), vec![i * 3 + 1])).collect(),
            Scene::Several => vec![(START, (0..BACKENDS).filter(|id| id % 3 == 1).collect())],
            Scene::Zone => vec![(START, (0..BACKENDS).collect())],
            Scene::Again => (0..3).map(|i| (each_second(i), vec![i * 6, i * 6 + 4])).collect(),
            Scene::Herd => vec![(START, (0..BACKENDS).filter(|id| id % 3 > 0).collect())],
        }
    }

    /// What discovery says, and when.
    fn endpoint_updates(&mut self) {
        let starts = self.starts();
        let starting: Vec<u32> = starts.iter().flat_map(|(_, ids)| ids.clone()).collect();
        let mut list: BTreeMap<u32, Option<Micros>> = (0..BACKENDS).map(|id| (id, None)).collect();
        let was_there = matches!(self.case.scene, Scene::Zone | Scene::Again);
        if !was_there {
            starting.iter().for_each(|id| _ = list.remove(id));
        }
        let herd = self.case.scene == Scene::Herd;
        for router in (0..self.case.routers).filter(|_| !herd) {
            self.add_event(START - BEFORE, router, snapshot(&list));
        }
        let mut updates = Vec::new();
        if was_there {
            // What comes back was lost before, and nobody sends to it: what is sent from the start on is sent
            // by routers that know of it.
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
                // Each hears of it a little later than the other.
                let delay = if herd { 0 } else { self.rng.u64(0..200 * MS) };
                self.add_event(at + delay, router, update.clone());
            }
        }
    }

    /// Hands a router an event in its next batch.
    fn add_event(&mut self, at: Micros, router: usize, event: Event) {
        self.due.entry((Self::batch_time(at), router)).or_default().push(event);
    }

    /// Every query that comes to a router.
    fn queries(&mut self) {
        let case = self.case;
        let weight = |i: usize| match case.spread {
            Spread::Tenth(times) if i.is_multiple_of(10) => times,
            Spread::Tenth(_) => 1.0,
            Spread::Half if i == 0 => case.routers.saturating_sub(1).max(1) as f64,
            Spread::Half => 1.0,
        };
        let all: f64 = (0..case.routers).map(weight).sum();
        let mean = f64::from(case.parts.0 + case.parts.1) / 2.0;
        // Two neighbouring parts and more share a call.
        let work = mean * case.work as f64 + (mean / 2.0).max(1.0) * case.call_work as f64;
        let rate = case.load * f64::from(BACKENDS) / work;
        let from = if case.scene == Scene::Herd { START } else { START - BEFORE };
        for at in 0..case.routers {
            let gap = 1.0 / (rate * weight(at) / all);
            let (mut when, mut number) = (from as f64, 0_u128);
            loop {
                when += -self.rng.f64().max(1e-12).ln() * gap;
                if when >= (START + AFTER) as f64 {
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

    fn play(&mut self) {
        while let Some(((now, at), events)) = self.due.pop_first() {
            if now >= START + AFTER {
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
                        self.due.entry((now + TICK, at)).or_default().push(passed);
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
        // Work differs from part to part: by half of its mean either way.
        let part_work = self.case.work as f64 * (0.5 + self.rng.f64());
        let call_work = self.case.call_work as f64;
        let work = part_work + if opens_call { call_work } else { 0.0 };
        self.sent.push(Sent { at: now, backend, work, opens_call });
        let number = self.attempts.entry(part).or_default();
        // A warming backend does as much less in the same time.
        let speed =
            self.started.get(&backend).map_or(1.0, |&started| capacity_fraction(now.saturating_sub(started)));
        let took = ((part_work + call_work) * self.case.seen / speed) as Micros;
        let completed =
            Event::AttemptCompleted { part, attempt: *number, outcome: Outcome::Succeeded, latency: took };
        *number += 1;
        self.due.entry((Self::batch_time(now + took.max(1)), at)).or_default().push(completed);
    }

    /// Slides a window over what each warming backend was sent by all routers together.
    fn worst(&self) -> WorstWindow {
        let calls = self.sent.iter().filter(|sent| sent.opens_call).count();
        let mean = self.sent.iter().map(|sent| sent.work).sum::<f64>() / calls as f64;
        let mut worst = WorstWindow::default();
        let (mut sent_all, mut could) = (0.0, 0.0);
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
            sent_all += to.iter().map(|sent| sent.work).sum::<f64>();
            let time = START + AFTER - started;
            could += time as f64 * (capacity_fraction(0) + capacity_fraction(time)) / 2.0;
        }
        worst.used = sent_all / could;
        worst
    }
}

fn capacity_fraction(age: Micros) -> f64 {
    (INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * age as f64 / WARM_UP_TIME as f64).min(1.0)
}

fn seeds() -> u64 {
    std::env::var("COLD_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(3)
}

fn play(case: Case) -> WorstWindow {
    let mut fleet = Fleet::new(case);
    fleet.play();
    fleet.worst()
}

/// Plays a case in all scenes, with another spread of traffic for each seed, and holds it to the bound. Warming backends
/// are to be sent at least `floor` of what they can do, in each run.
fn hold(name: &str, routers: usize, floor: f64, change: impl Fn(&mut Case)) {
    let spreads = [Spread::Tenth(4.0), Spread::Tenth(20.0), Spread::Half];
    let (mut over, mut runs, mut least) = (Vec::new(), 0, f64::INFINITY);
    let mut worst = WorstWindow::default();
    for (number, scene) in SCENES.into_iter().enumerate() {
        for seed in 1..=seeds() {
            let spread = spreads[(number + seed as usize) % 3];
            let mut case = Case::new(routers, spread, scene, seed);
            change(&mut case);
            let seen = play(case);
            (runs, least) = (runs + 1, least.min(seen.used));
            if seen.count > seen.bound {
                over.push(format!("{scene:?} {spread:?} seed {seed}: {seen:.1?}"));
            }
            if seen.count * worst.bound >= worst.count * seen.bound {
                worst = seen;
            }
        }
    }
    println!(
        "{name}, {routers} routers: {runs} runs, {} over, worst {worst:.2?}, least used {least:.2}",
        over.len()
    );
    assert!(over.is_empty(), "{name}, {routers} routers: {} of {runs} runs over: {over:#?}", over.len());
    assert!(
        least > floor,
        "{name}, {routers} routers: warming backends were sent {least} of what they can do"
    );
}

fn hold_all(name: &str, floor: f64, change: impl Fn(&mut Case) + Copy) {
    for routers in [2, 20, 30, 300] {
        hold(name, routers, floor, change);
    }
}

#[test]
fn warming_backends_hold_under_narrow_queries() {
    hold_all("narrow", 0.1, |_| {});
}

#[test]
fn warming_backends_hold_under_wide_queries() {
    hold_all("wide", 0.1, |case| case.parts = (12, 30));
}

// All that two cores of each warm backend can do.
#[test]
fn warming_backends_hold_under_a_burst() {
    hold_all("burst", 0.1, |case| case.load = 2.0);
}

#[test]
fn warming_backends_hold_where_parts_look_lighter_than_they_are() {
    hold_all("light", 0.1, |case| case.seen = 0.8);
}

// A warming backend that seems twice as slow as it is hardly answers in time, and is sent little.
#[test]
fn warming_backends_hold_where_parts_look_heavier_than_they_are() {
    hold_all("heavy", 0.03, |case| case.seen = 2.0);
}

#[test]
fn warming_backends_hold_where_calls_cost_more_than_their_parts() {
    hold_all("calls", 0.1, |case| {
        (case.work, case.call_work, case.objective) = (30 * MS, 48 * MS, 1_500 * MS)
    });
}

// A warming backend cannot meet so short an objective: what it is sent is little, but not nothing. Routers begin with a guess
// at the work that is far too low.
#[test]
fn warming_backends_hold_where_the_objective_is_short_beside_the_work() {
    hold_all("short", 0.03, |case| (case.work, case.call_work, case.objective) = (60 * MS, 0, 150 * MS));
}

#[test]
fn warming_backends_hold_where_half_of_the_routers_are_away() {
    hold_all("half", 0.1, |case| case.configured_routers *= 2);
}

// The checker itself: routers that each take the whole budget for themselves break the bound.
#[test]
fn routers_that_each_use_the_whole_capacity_are_found() {
    for routers in [20, 30, 300] {
        let mut case = Case::new(routers, Spread::Tenth(4.0), Scene::Zone, 1);
        (case.configured_routers, case.load) = (1, 2.0);
        let seen = play(case);
        assert!(seen.count > seen.bound, "{routers} routers: {seen:?}");
    }
}
