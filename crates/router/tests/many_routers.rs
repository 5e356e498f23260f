//! Many routers that share nothing, over one fleet: what all of them do together. Seeded; time is an argument.

mod common;

use std::collections::BTreeMap;

use common::*;
use mallowgauge_router::*;

const WORK: Micros = 20 * MS;

/// A fleet of routers with uneven traffic, and what its servers were sent.
struct Fleet {
    routers: Vec<(Driver, f64)>,
    rng: fastrand::Rng,
    now: Micros,
    next: u128,
    shards: u32,
    /// When and to which server each part went.
    sent: Vec<(Micros, BackendId)>,
    /// Parts that are out, by when their answers come.
    out: BTreeMap<(Micros, usize, PartId, u32), (Micros, BackendId)>,
    attempts: BTreeMap<(usize, PartId), u32>,
    /// A server that fails each part at once, though it passes probes.
    sick: Option<BackendId>,
    probes: usize,
    asked: usize,
    refused: usize,
}

impl Fleet {
    /// So many routers and servers, with so many queries a second in all; one router in ten sees four times
    /// what the others see.
    fn new(routers: usize, servers: u32, rate: f64, seed: u64) -> Self {
        let heavy = |i: usize| if i.is_multiple_of(10) { 4.0 } else { 1.0 };
        let all: f64 = (0..routers).map(heavy).sum();
        let router = |i: usize| {
            let mut s = settings(vec![class(Idempotency::Idempotent)]);
            s.routers = routers as u32;
            s.batch_interval = MS;
            s.layout = ShardLayout {
                ring_positions: servers,
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
            shards: servers * 2,
            sent: Vec::new(),
            out: BTreeMap::new(),
            attempts: BTreeMap::new(),
            sick: None,
            probes: 0,
            asked: 0,
            refused: 0,
        }
    }

    fn tell(&mut self, entries: &[Endpoint]) {
        for at in 0..self.routers.len() {
            self.give(at, vec![Event::EndpointUpdate(EndpointUpdate::Snapshot(entries.to_vec()))]);
        }
    }

    fn give(&mut self, at: usize, events: Vec<Event>) {
        self.routers[at].0.now = self.now;
        let mut probed = Vec::new();
        for action in self.routers[at].0.give(events) {
            match action {
                Action::HealthCheck(server) => {
                    probed.push(Event::HealthCheckCompleted { backend: server, passed: true })
                }
                Action::Send { part, backend: server, .. } => {
                    let number = self.attempts.entry((at, part)).or_default();
                    self.sent.push((self.now, server));
                    let after = if self.sick == Some(server) { 3 * MS } else { 30 * MS };
                    self.out.insert((self.now + after, at, part, *number), (self.now, server));
                    *number += 1;
                }
                Action::Reject { .. } => self.refused += 1,
                _ => {}
            }
        }
        if !probed.is_empty() {
            self.probes += probed.len();
            self.give(at, probed);
        }
    }

    /// Plays so long, in steps of a millisecond; each part is answered 30 ms after it was sent.
    fn play(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            self.now += MS;
            while let Some((&(due, at, part, number), &(sent, server))) = self.out.first_key_value() {
                if due > self.now {
                    break;
                }
                self.out.remove(&(due, at, part, number));
                let took = self.now - sent;
                let outcome =
                    if self.sick == Some(server) { Outcome::BackendError } else { Outcome::Succeeded };
                self.give(at, vec![Event::AttemptCompleted { part, attempt: number, outcome, took }]);
            }
            for at in 0..self.routers.len() {
                if self.rng.f64() < self.routers[at].1 / 1_000.0 {
                    let first = self.rng.u32(0..self.shards);
                    let count = if self.rng.bool() { 6 } else { self.shards / 2 };
                    let shards: Vec<u32> = (0..count).map(|i| (first + i) % self.shards).collect();
                    (self.next, self.asked) = (self.next + 1, self.asked + 1);
                    let events = arrival(self.next, 0, &shards);
                    self.give(at, events);
                }
            }
        }
    }

    /// The most work that a server was sent in a second, beside what it could do at the second's start, and
    /// how many parts it was sent in all. Servers have two cores: warm ones bear nearly so much here.
    fn worst(&self, server: BackendId, started: Micros) -> (f64, usize) {
        let times: Vec<Micros> =
            self.sent.iter().filter(|(_, to)| *to == server).map(|(at, _)| *at).collect();
        let ratio = |from: usize| {
            let count = times[from..].iter().take_while(|at| **at < times[from] + SECOND).count();
            let warmth = 0.16 + 0.84 * (times[from] - started) as f64 / (17.0 * SECOND as f64);
            count as f64 * (WORK + 6 * MS) as f64 / SECOND as f64 / (2.0 * warmth.min(1.0))
        };
        ((0..times.len()).map(ratio).fold(0.0, f64::max), times.len())
    }
}

fn fleet_with_cold(cold: impl Fn(u32) -> bool, rate: f64, seed: u64) -> (Fleet, Micros) {
    let mut fleet = Fleet::new(100, 30, rate, seed);
    let all: Vec<Endpoint> = (0..30).map(|s| entry(s, EndpointState::Ready, None)).collect();
    fleet.tell(&all);
    fleet.play(6 * SECOND);
    let started = fleet.now;
    let entries = (0..30).map(|s| entry(s, EndpointState::Ready, cold(s).then_some(started)));
    fleet.tell(&entries.collect::<Vec<_>>());
    fleet.sent.clear();
    (fleet, started)
}

// Found at full size: shares of less than a part were drawn for as if a server got every part that it could
// hold, and only while nothing had gone there in a second. Cold servers did a tenth of what they could, and
// the warm ones turned parts away.
#[test]
fn a_hundred_routers_use_a_cold_server_as_far_as_it_can_serve() {
    let (mut fleet, started) = fleet_with_cold(|s| s % 5 == 0, 30.0, 1);
    fleet.play(8 * SECOND);
    let parts = |cold: bool| {
        let sent = fleet.sent.iter().filter(|(_, to)| (to.0 % 5 == 0) == cold).count();
        sent as f64 / if cold { 6.0 } else { 24.0 }
    };
    // Over the first 8 s the mean warmth is 0.36.
    let share = parts(true) / parts(false);
    assert!((0.2..0.45).contains(&share), "a cold server got {share} of a warm one's parts");
    for server in (0..30).step_by(5) {
        let (worst, _) = fleet.worst(BackendId(server), started);
        assert!(worst < 3.0, "server {server} was sent {worst} times what it could do");
    }
}

// A whole zone returns cold: the rest of the shards' holders are cold too, and the fleet's traffic would be
// many times what they can do.
#[test]
fn a_hundred_routers_do_not_push_over_a_fleet_that_is_cold_throughout() {
    let (mut fleet, started) = fleet_with_cold(|_| true, 120.0, 2);
    fleet.play(5 * SECOND);
    for server in 0..30 {
        let (worst, parts) = fleet.worst(BackendId(server), started);
        assert!(worst < 3.0, "server {server} was sent {worst} times what it could do");
        assert!(parts > 10, "server {server} was hardly used: {parts} parts");
    }
    assert!(fleet.refused > 0, "what finds no room is refused at once");
}

// The same with routers that have all just started and do not know their own pace.
#[test]
fn a_herd_of_new_routers_does_not_push_over_a_cold_server() {
    let mut fleet = Fleet::new(100, 30, 120.0, 3);
    let started = fleet.now;
    let entries: Vec<_> =
        (0..30).map(|s| entry(s, EndpointState::Ready, (s % 3 > 0).then_some(started))).collect();
    fleet.tell(&entries);
    fleet.play(4 * SECOND);
    for server in (0..30).filter(|s| s % 3 > 0) {
        let (worst, _) = fleet.worst(BackendId(server), started);
        assert!(worst < 3.0, "server {server} was sent {worst} times what it could do");
    }
}

// Found at full size: a suspect was probed and tried after a fifth of a second, and then every 1.6 s at the
// latest, by each of the routers. A hundred trials in that time are all the parts that a server gets.
#[test]
fn a_hundred_routers_leave_a_sick_server_nearly_alone() {
    let mut fleet = Fleet::new(100, 30, 60.0, 4);
    let all: Vec<Endpoint> = (0..30).map(|s| entry(s, EndpointState::Ready, None)).collect();
    fleet.tell(&all);
    fleet.play(6 * SECOND);
    fleet.sick = Some(BackendId(7));
    fleet.play(15 * SECOND);
    (fleet.probes, fleet.sent) = (0, Vec::new());
    fleet.play(15 * SECOND);
    let to = |id: u32| fleet.sent.iter().filter(|(_, server)| server.0 == id).count();
    let (sick, sound) = (to(7), (fleet.sent.len() - to(7)) / 29);
    assert!(sick * 3 < sound, "the sick server got {sick} parts, a sound one {sound}");
    assert!(fleet.probes * 50 < fleet.sent.len(), "{} probes", fleet.probes);
    // Once it is sound it is taken back.
    fleet.sick = None;
    fleet.play(25 * SECOND);
    fleet.sent.clear();
    fleet.play(4 * SECOND);
    let back = fleet.sent.iter().filter(|(_, server)| server.0 == 7).count();
    assert!(back * 30 * 2 > fleet.sent.len(), "{back} of {}", fleet.sent.len());
}
