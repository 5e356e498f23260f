//! What is kept for queries, parts and hosts comes back to its base once a flood is over, on whatever path each
//! entry ended: the real core with its router, random histories from seeds, time as an argument.
//! `CENSUS_SEEDS` sets how many histories of each kind are played (thirty here).

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use mallowgauge_core::two_phase::{Choose, Rule, Silent, SketchBounds, Spec};
use mallowgauge_core::*;
use mallowgauge_router::{
    BackendId, Class, ClassId, DeploymentLimits, Discovery, Endpoint, EndpointState, EndpointUpdate,
    Idempotency, Micros, Outcome, RetryBudgetSettings, RuleSettings, Settings, ShardId, ShardLayout,
};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const TICK: Micros = 5 * MS;
const CELLS: u32 = 6;
const DEADLINE: Micros = 4 * SECOND;

/// What is different between the histories.
#[derive(Clone, Copy, Debug)]
struct Kind {
    cancel: bool,
    copies: bool,
    /// Attempts with an effect wait for leave, and their answers for a record.
    guarded: bool,
    budget: bool,
    discovery: Discovery,
}

fn settings(kind: Kind) -> Settings {
    let class = |effect, floor| Class {
        latency_objective: SECOND,
        objective_per_work: 0.0,
        deadline: DEADLINE,
        late_value: if floor < 1.0 { 0.0 } else { 0.1 },
        idempotency: effect,
        minimum_completeness: floor,
        required_completeness: 1.0,
        partial_value: 0.9,
        second_step_parts: 0,
    };
    let budget = RetryBudgetSettings { min_retries: 5.0, retry_ratio: 0.3, window: 5 * SECOND };
    Settings {
        routers: 3,
        batch_interval: TICK,
        classes: vec![
            class(Idempotency::Idempotent, 1.0),
            class(Idempotency::Idempotent, 0.5),
            class(Idempotency::NonIdempotent, 1.0),
            class(Idempotency::Keyed { dedup_window: SECOND }, 1.0),
        ],
        layout: ShardLayout {
            ring_positions: CELLS,
            replication_factor: 2,
            parts_per_call: 4,
            call_work: 6 * MS,
        },
        limits: DeploymentLimits {
            cancellation: kind.cancel,
            health_checks: true,
            hedging: kind.copies,
            max_attempts: 3,
            max_retry_after: SECOND,
        },
        rules: RuleSettings {
            initial_capacity: 0.2,
            warm_up_time: 3 * SECOND,
            overload_multiple: 3.0,
            overload_window: SECOND,
            retry_budget: kind.budget.then_some(budget),
            max_poll_interval: 0,
        },
        discovery: kind.discovery,
        zone: None,
        cross_zone_costs: false,
    }
}

/// What comes back to the core, and when.
enum Due {
    End(AttemptId, Outcome, Option<Value>),
    Probed(BackendId),
    List,
    /// Whether an attempt may be sent is decided elsewhere, and so is when its query's end is on record.
    Leave(AttemptRequest),
    Leaves(ResponseHandle),
}

struct World {
    core: Core,
    rng: fastrand::Rng,
    now: Micros,
    due: BTreeMap<(Micros, u64), Due>,
    number: u64,
    /// What discovery holds: each server with its phase and start.
    servers: BTreeMap<u32, (EndpointState, Option<Micros>)>,
    /// Who waits for an answer, and who left.
    waiting: BTreeSet<ResponseHandle>,
    left: BTreeSet<ResponseHandle>,
    asked: u64,
    answered: u64,
    /// Hosts do as they should.
    calm: bool,
}

impl World {
    fn new(kind: Kind, seed: u64) -> Self {
        let names = ["search", "report", "hold", "keyed"].map(str::to_owned).to_vec();
        let bounds = CoreLimits { max_open: 400, shards: CELLS * 2 };
        let mut core = Core::new(seed, settings(kind), names, bounds).expect("sound settings");
        core.enable_two_phase(TwoPhaseSettings {
            rule: Rule::Learned,
            sketches: SketchBounds { entries: 50, age: SECOND },
        });
        if kind.guarded {
            core.require_permits();
        }
        let (due, servers, waiting, left) = Default::default();
        let rng = fastrand::Rng::with_seed(seed);
        let (number, asked, answered, calm) = (0, 0, 0, true);
        let mut world =
            Self { core, rng, now: 100 * SECOND, due, number, servers, waiting, left, asked, answered, calm };
        (0..CELLS).for_each(|id| _ = world.servers.insert(id, (EndpointState::Ready, None)));
        world.list(true);
        world.run(SECOND, 0.0);
        world
    }

    fn put(&mut self, after: Micros, due: Due) {
        self.number += 1;
        self.due.insert((self.now + after, self.number), due);
    }

    /// Discovery tells what it holds, whole or in part; what is gone it tells once.
    fn list(&mut self, whole: bool) {
        let entry = |(&id, &(phase, started)): (&u32, &(EndpointState, Option<Micros>))| Endpoint {
            backend: BackendId(id),
            ring_position: id % CELLS,
            state: phase,
            started_at: started,
            zone: None,
        };
        let entries: Vec<Endpoint> = self.servers.iter().map(entry).collect();
        self.servers.retain(|_, (phase, _)| *phase != EndpointState::Removed);
        let gone = |entry: &Endpoint| entry.state == EndpointState::Removed;
        self.core.endpoint_update(if whole {
            EndpointUpdate::Snapshot(entries.into_iter().filter(|entry| !gone(entry)).collect())
        } else {
            EndpointUpdate::Delta(entries)
        });
    }

    /// Something happens to the hosts.
    fn change(&mut self) {
        let fresh = self.servers.keys().max().map_or(0, |id| id + 1);
        let ids: Vec<u32> = self.servers.keys().copied().collect();
        let Some(&id) = ids.get(self.rng.usize(0..ids.len().max(1))) else { return };
        let now = self.now;
        match self.rng.u32(0..6) {
            0 => _ = self.servers.insert(id, (EndpointState::Draining, None)),
            1 => _ = self.servers.insert(id, (EndpointState::Removed, None)),
            2 => _ = self.servers.insert(id, (EndpointState::Ready, Some(now))),
            3 => {
                // One is replaced by another of its cell.
                self.servers.insert(id, (EndpointState::Removed, None));
                self.servers.insert(
                    fresh + (CELLS + id % CELLS - fresh % CELLS) % CELLS,
                    (EndpointState::Ready, Some(now)),
                );
            }
            4 => return self.core.endpoint_update(EndpointUpdate::Failed),
            _ => {}
        }
        let whole = self.rng.bool();
        self.list(whole);
    }

    fn ask(&mut self) {
        self.asked += 1;
        let asker = ResponseHandle::Http(self.asked);
        let class = self.rng.usize(0..4);
        let first = self.rng.u32(0..CELLS * 2);
        let count = self.rng.u32(1..=8);
        let parts = (0..count).map(|i| PartRequest {
            shard: ShardId((first + i) % (CELLS * 2)),
            weight: 1.0 / f64::from(count),
        });
        let chooses = [Choose::Best(2), Choose::Threshold, Choose::Share(0.6), Choose::All];
        let spec = Spec {
            choose: chooses[self.rng.usize(0..4)],
            top: 3,
            wave: self.rng.usize(1..4),
            silent: if self.rng.bool() { Silent::Ask } else { Silent::Skip },
        };
        let planned = self.rng.u32(0..3) == 0;
        // Some ids come again: asked again, or by chance.
        let id = if self.rng.u32(0..10) == 0 { self.asked / 2 } else { self.asked };
        let ask = QueryRequest {
            id: format!("query-{id}").into(),
            class: ClassId(class),
            expires_in: self.rng.u64(0..DEADLINE * 2),
            retry: self.rng.u32(0..5) == 0,
            work_hint: None,
            body: Rc::from(&b"what"[..]),
            parts: parts.collect(),
            plan: planned.then(|| PlanRequest { spec, scout: Rc::from(&b"scout"[..]) }),
        };
        if self.core.submit(self.now, asker, ask).is_ok() {
            assert!(self.waiting.insert(asker));
            if self.rng.u32(0..3) == 0 {
                let after = self.rng.u64(0..2 * SECOND);
                self.put(after, Due::Leaves(asker));
            }
        } else {
            self.answered += 1;
        }
    }

    /// What becomes of an attempt that was sent.
    fn sent(&mut self, send: &AttemptRequest) {
        let scout = &*send.body == b"scout";
        let value = match (scout, self.rng.u32(0..10)) {
            (_, 0) if !self.calm => "odd",
            (true, _) => r#"{"bound":3.0,"count":2}"#,
            (false, _) => r#"[{"score":2.0,"id":"a"},{"score":1.0,"id":"b"}]"#,
        };
        let value = Some(value.into());
        let soon = self.rng.u64(MS..60 * MS);
        let (outcome, after) = match if self.calm { 99 } else { self.rng.u32(0..30) } {
            0 | 1 => (Outcome::BackendError, soon),
            2 | 3 => (Outcome::Rejected, soon),
            4 => (Outcome::ConnectionLost, soon),
            5 => (Outcome::ConnectFailed, soon),
            6 => (Outcome::NotSent, 0),
            // It never ends, and its time is up one day; or its answer comes late.
            7 => return,
            8 | 9 => (Outcome::Succeeded, soon * 60),
            _ => (Outcome::Succeeded, soon),
        };
        let value = value.filter(|_| outcome == Outcome::Succeeded);
        self.put(after, Due::End(send.attempt, outcome, value));
    }

    fn effect(&mut self, effect: Action) {
        match effect {
            Action::SendBatch(_, sends) => sends.iter().for_each(|send| self.sent(send)),
            // What is called off may still be answered, late.
            Action::CancelAttempt(..) => {}
            // Half of them had not begun.
            Action::RevokeUnsent(_, id) => {
                if self.rng.bool() {
                    self.put(0, Due::End(id, Outcome::NotSent, None));
                }
            }
            Action::Respond(asker, _) => self.reply(asker),
            Action::RequestPermit(_, send) => {
                let after = self.rng.u64(0..30 * MS);
                self.put(after, Due::Leave(send));
            }
            Action::ReplicateOutcome(recorded) => {
                recorded.response_handles.into_iter().for_each(|asker| self.reply(asker))
            }
            Action::WatchEndpoints | Action::FetchEndpoints => {
                let after = self.rng.u64(MS..300 * MS);
                self.put(after, Due::List);
            }
            Action::HealthCheck(server) => self.put(10 * MS, Due::Probed(server)),
        }
    }

    fn reply(&mut self, asker: ResponseHandle) {
        // Of a query with an effect also who left is told; nobody is told twice.
        assert!(self.waiting.remove(&asker) || self.left.remove(&asker), "{asker:?} is told twice");
        self.answered += 1;
    }

    /// Plays so long, with so many queries a turn.
    fn run(&mut self, time: Micros, rate: f64) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= self.now) {
                match entry.remove() {
                    Due::End(id, outcome, value) => self.core.attempt_completed(self.now, id, outcome, value),
                    Due::Probed(server) => {
                        let passed = self.calm || self.rng.bool();
                        self.core.health_check_completed(server, passed);
                    }
                    Due::List => self.list(true),
                    Due::Leave(send) if !self.core.is_in_flight(send.attempt) => {}
                    Due::Leave(send) if !self.calm && self.rng.u32(0..5) == 0 => {
                        self.core.attempt_completed(self.now, send.attempt, Outcome::NotSent, None);
                    }
                    Due::Leave(send) => self.sent(&send),
                    Due::Leaves(asker) => {
                        if self.waiting.remove(&asker) {
                            self.left.insert(asker);
                            self.core.client_disconnected(asker);
                        }
                    }
                }
            }
            let mut left = rate;
            while self.rng.f64() < left {
                self.ask();
                left -= 1.0;
            }
            if !self.calm && self.rng.u32(0..60) == 0 {
                self.change();
            }
            for effect in self.core.run_batch(self.now) {
                self.effect(effect);
            }
        }
    }

    /// All hosts are sound and listed, and all that the flood left has had its time.
    fn settle(&mut self) {
        self.calm = true;
        self.servers = (0..CELLS).map(|id| (id, (EndpointState::Ready, None))).collect();
        self.list(true);
        self.run(DEADLINE + 6 * SECOND, 0.0);
        // As the watch does each ten seconds at the latest.
        self.core.endpoint_update(EndpointUpdate::Delta(Vec::new()));
        self.run(SECOND, 0.0);
    }
}

fn kinds() -> Vec<Kind> {
    let mut kinds = Vec::new();
    for bits in 0..8_u32 {
        let [cancel, copies, guarded] = [1, 2, 4].map(|bit| bits & bit > 0);
        let discovery = if bits % 3 == 0 { Discovery::Push } else { Discovery::Poll };
        kinds.push(Kind { cancel, copies, guarded, budget: bits % 2 == 0, discovery });
    }
    kinds
}

#[test]
fn all_that_is_kept_comes_back_to_its_base_after_a_flood() {
    let seeds = std::env::var("CENSUS_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(30);
    let mut most: BTreeMap<&str, usize> = BTreeMap::new();
    for kind in kinds() {
        for seed in 0..seeds {
            let mut world = World::new(kind, seed);
            // The last answers by which overdue parts are told are bounded, and kept.
            let kept = |mut census: BTreeMap<&'static str, usize>| {
                assert!(census.remove("router latency samples").is_some_and(|kept| kept <= 33));
                census
            };
            let base = kept(world.core.resource_counts());
            world.calm = false;
            for _ in 0..4 {
                world.run(700 * MS, 0.8);
                for (name, count) in world.core.resource_counts() {
                    let seen = most.entry(name).or_default();
                    *seen = (*seen).max(count);
                }
            }
            world.settle();
            assert_eq!(kept(world.core.resource_counts()), base, "{kind:?} seed {seed}");
            assert!(world.waiting.is_empty(), "{kind:?} seed {seed}: never answered {:?}", world.waiting);
        }
    }
    // The flood filled each of them, or the count of it says nothing; what is ready goes out in its turn.
    let empty: Vec<_> = most.iter().filter(|(_, most)| **most == 0).map(|(name, _)| *name).collect();
    assert!(
        empty.iter().all(|name| ["events", "ready"].contains(name)),
        "never filled: {empty:?} of {most:?}"
    );
}
