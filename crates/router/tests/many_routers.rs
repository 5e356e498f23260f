//! Combined behaviour of many routers that share the same backends but no state. Seeded; time is simulated.

mod common;

use std::collections::BTreeMap;

use common::*;
use mallowgauge_router::*;

const WORK: Micros = 20 * MS;

/// Routers with uneven traffic, and the parts that were sent to their backends.
struct Simulation {
    routers: Vec<(Driver, f64)>,
    rng: fastrand::Rng,
    now: Micros,
    next: u128,
    shards: u32,
    /// Time and backend of each sent part.
    sent: Vec<(Micros, BackendId)>,
    /// Attempts in flight, by the time of their answers.
    in_flight: BTreeMap<(Micros, usize, PartId, u32), (Micros, BackendId)>,
    attempts: BTreeMap<(usize, PartId), u32>,
    /// A backend that fails each part after 3 ms, although it passes health checks.
    failing: Option<BackendId>,
    health_checks: usize,
    arrived: usize,
    rejected: usize,
}

impl Simulation {
    /// Creates a simulation with `rate` queries a second in total. One router in ten has four times the
    /// traffic of the others.
    fn new(routers: usize, backends: u32, rate: f64, seed: u64) -> Self {
        let heavy = |i: usize| if i.is_multiple_of(10) { 4.0 } else { 1.0 };
        let all: f64 = (0..routers).map(heavy).sum();
        let router = |i: usize| {
            let mut s = settings(vec![class(Idempotency::Idempotent)]);
            s.routers = routers as u32;
            s.batch_interval = MS;
            s.layout = ShardLayout {
                ring_positions: backends,
                replication_factor: 3,
                parts_per_call: 16,
                call_work: 6 * MS,
            };
            s.classes[0].latency_objective = 400 * MS;
            s.classes[0].deadline = 1_300 * MS;
            s.limits.max_attempts = 3;
            s.rules = RuleSettings {
                initial_capacity: 0.16,
                warm_up_time: 17 * SECOND,
                overload_window: SECOND,
                ..s.rules
            };
            (Driver::new(s), rate * heavy(i) / all)
        };
        Self {
            routers: (0..routers).map(router).collect(),
            rng: fastrand::Rng::with_seed(seed),
            now: 100 * SECOND,
            next: 1,
            shards: backends * 2,
            sent: Vec::new(),
            in_flight: BTreeMap::new(),
            attempts: BTreeMap::new(),
            failing: None,
            health_checks: 0,
            arrived: 0,
            rejected: 0,
        }
    }

    fn update_endpoints(&mut self, entries: &[Endpoint]) {
        for at in 0..self.routers.len() {
            self.handle(at, vec![Event::EndpointUpdate(EndpointUpdate::Snapshot(entries.to_vec()))]);
        }
    }

    fn handle(&mut self, at: usize, events: Vec<Event>) {
        self.routers[at].0.now = self.now;
        let mut checked = Vec::new();
        for action in self.routers[at].0.handle(events) {
            match action {
                Action::HealthCheck(backend) => {
                    checked.push(Event::HealthCheckCompleted { backend, passed: true })
                }
                Action::Send { part, backend, .. } => {
                    let number = self.attempts.entry((at, part)).or_default();
                    self.sent.push((self.now, backend));
                    let after = if self.failing == Some(backend) { 3 * MS } else { 30 * MS };
                    self.in_flight.insert((self.now + after, at, part, *number), (self.now, backend));
                    *number += 1;
                }
                Action::Reject { .. } => self.rejected += 1,
                _ => {}
            }
        }
        if !checked.is_empty() {
            self.health_checks += checked.len();
            self.handle(at, checked);
        }
    }

    /// Runs for this time, in steps of a millisecond. Each part is answered 30 ms after it was sent.
    fn run(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            self.now += MS;
            while let Some((&(due, at, part, number), &(sent, backend))) = self.in_flight.first_key_value() {
                if due > self.now {
                    break;
                }
                self.in_flight.remove(&(due, at, part, number));
                let latency = self.now - sent;
                let outcome =
                    if self.failing == Some(backend) { Outcome::BackendError } else { Outcome::Succeeded };
                self.handle(at, vec![Event::AttemptCompleted { part, attempt: number, outcome, latency }]);
            }
            for at in 0..self.routers.len() {
                if self.rng.f64() < self.routers[at].1 / 1_000.0 {
                    let first = self.rng.u32(0..self.shards);
                    let count = if self.rng.bool() { 6 } else { self.shards / 2 };
                    let shards: Vec<u32> = (0..count).map(|i| (first + i) % self.shards).collect();
                    (self.next, self.arrived) = (self.next + 1, self.arrived + 1);
                    let events = arrival(self.next, 0, &shards);
                    self.handle(at, events);
                }
            }
        }
    }

    /// Returns the most work that a backend was sent in a second, as a multiple of its capacity at the start
    /// of that second, and the number of parts that it was sent in total. Backends have two cores: warm ones
    /// can handle nearly that much here.
    fn worst_overload(&self, backend: BackendId, started: Micros) -> (f64, usize) {
        let times: Vec<Micros> =
            self.sent.iter().filter(|(_, to)| *to == backend).map(|(at, _)| *at).collect();
        let ratio = |from: usize| {
            let count = times[from..].iter().take_while(|at| **at < times[from] + SECOND).count();
            let capacity_fraction = 0.16 + 0.84 * (times[from] - started) as f64 / (17.0 * SECOND as f64);
            count as f64 * (WORK + 6 * MS) as f64 / SECOND as f64 / (2.0 * capacity_fraction.min(1.0))
        };
        ((0..times.len()).map(ratio).fold(0.0, f64::max), times.len())
    }
}

fn simulation_with_warming_backends(
    warming: impl Fn(u32) -> bool,
    rate: f64,
    seed: u64,
) -> (Simulation, Micros) {
    let mut simulation = Simulation::new(100, 30, rate, seed);
    let all: Vec<Endpoint> = (0..30).map(|s| endpoint(s, EndpointState::Ready, None)).collect();
    simulation.update_endpoints(&all);
    simulation.run(6 * SECOND);
    let started = simulation.now;
    let entries = (0..30).map(|s| endpoint(s, EndpointState::Ready, warming(s).then_some(started)));
    simulation.update_endpoints(&entries.collect::<Vec<_>>());
    simulation.sent.clear();
    (simulation, started)
}

/// Guards against warming-up backends that stay idle while warm ones reject parts, because each router's quota
/// is less than a part.
#[test]
fn a_hundred_routers_use_the_capacity_of_a_warming_backend() {
    let (mut simulation, started) = simulation_with_warming_backends(|s| s % 5 == 0, 30.0, 1);
    simulation.run(8 * SECOND);
    let parts = |warming: bool| {
        let sent = simulation.sent.iter().filter(|(_, to)| (to.0 % 5 == 0) == warming).count();
        sent as f64 / if warming { 6.0 } else { 24.0 }
    };
    // The mean warm-up fraction over the first 8 s is 0.36.
    let share = parts(true) / parts(false);
    assert!((0.2..0.45).contains(&share), "a warming-up backend was sent {share} of a warm one's parts");
    for backend in (0..30).step_by(5) {
        let (worst, _) = simulation.worst_overload(BackendId(backend), started);
        assert!(worst < 3.0, "backend {backend} was sent {worst} times what it could do");
    }
}

/// Guards against overload when a whole zone returns: all replicas of its shards warm up at once, and the
/// traffic is many times their capacity.
#[test]
fn a_hundred_routers_do_not_overload_backends_if_all_warm_up() {
    let (mut simulation, started) = simulation_with_warming_backends(|_| true, 120.0, 2);
    simulation.run(5 * SECOND);
    for backend in 0..30 {
        let (worst, parts) = simulation.worst_overload(BackendId(backend), started);
        assert!(worst < 3.0, "backend {backend} was sent {worst} times what it could do");
        assert!(parts > 10, "backend {backend} was hardly used: {parts} parts");
    }
    assert!(simulation.rejected > 0, "queries beyond the capacity are rejected at once");
}

/// Guards against overload when all routers have just started and do not know their own traffic yet.
#[test]
fn many_new_routers_do_not_overload_a_warming_backend() {
    let mut simulation = Simulation::new(100, 30, 120.0, 3);
    let started = simulation.now;
    let entries: Vec<_> =
        (0..30).map(|s| endpoint(s, EndpointState::Ready, (s % 3 > 0).then_some(started))).collect();
    simulation.update_endpoints(&entries);
    simulation.run(4 * SECOND);
    for backend in (0..30).filter(|s| s % 3 > 0) {
        let (worst, _) = simulation.worst_overload(BackendId(backend), started);
        assert!(worst < 3.0, "backend {backend} was sent {worst} times what it could do");
    }
}

/// Guards against recovery attempts that add up over many routers to the load of a healthy backend.
#[test]
fn a_hundred_routers_send_few_parts_to_a_failing_backend() {
    let mut simulation = Simulation::new(100, 30, 60.0, 4);
    let all: Vec<Endpoint> = (0..30).map(|s| endpoint(s, EndpointState::Ready, None)).collect();
    simulation.update_endpoints(&all);
    simulation.run(6 * SECOND);
    simulation.failing = Some(BackendId(7));
    simulation.run(15 * SECOND);
    (simulation.health_checks, simulation.sent) = (0, Vec::new());
    simulation.run(15 * SECOND);
    let to = |id: u32| simulation.sent.iter().filter(|(_, backend)| backend.0 == id).count();
    let (failing, healthy) = (to(7), (simulation.sent.len() - to(7)) / 29);
    assert!(failing * 3 < healthy, "the failing backend was sent {failing} parts, a healthy one {healthy}");
    assert!(
        simulation.health_checks * 50 < simulation.sent.len(),
        "{} health checks",
        simulation.health_checks
    );
    // Once it is healthy again it recovers.
    simulation.failing = None;
    simulation.run(25 * SECOND);
    simulation.sent.clear();
    simulation.run(4 * SECOND);
    let back = simulation.sent.iter().filter(|(_, backend)| backend.0 == 7).count();
    assert!(back * 30 * 2 > simulation.sent.len(), "{back} of {}", simulation.sent.len());
}
