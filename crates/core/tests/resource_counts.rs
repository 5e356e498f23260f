//! What is kept for queries, parts and backends comes back to its base once a flood of queries is over, on
//! whatever path each entry ended: the real core with its router, random histories from seeds, time as an
//! argument. `CENSUS_SEEDS` sets how many histories of each kind are played (thirty here).

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use mallowgauge_core::two_phase::{
    BlockSelection, MissingSketchPolicy, PlanSpec, ScoutBudgetRule, SketchCacheLimits,
};
use mallowgauge_core::{
    Action, AttemptId, AttemptRequest, Core, CoreLimits, PartRequest, PlanRequest, QueryRequest,
    ResponseHandle, TwoPhaseSettings, Value,
};
use mallowgauge_router::{
    BackendId, Class, ClassId, DeploymentLimits, Discovery, Endpoint, EndpointState, EndpointUpdate,
    Idempotency, Micros, Outcome, RetryBudgetSettings, RuleSettings, Settings, ShardId, ShardLayout,
};

use common::{BATCH_INTERVAL, MS, SECOND};

const RING_POSITIONS: u32 = 6;
const DEADLINE: Micros = 4 * SECOND;

/// What is different between the histories.
#[derive(Clone, Copy, Debug)]
struct Kind {
    cancellation: bool,
    hedging: bool,
    /// Non-idempotent attempts wait for permits, and their responses for a record.
    permits: bool,
    retry_budget: bool,
    discovery: Discovery,
}

fn settings(kind: Kind) -> Settings {
    let class = common::class;
    let may_be_partial =
        Class { late_value: 0.0, minimum_completeness: 0.5, ..class(Idempotency::Idempotent) };
    let budget = RetryBudgetSettings { min_retries: 5.0, retry_ratio: 0.3, window: 5 * SECOND };
    let common = common::settings(vec![
        class(Idempotency::Idempotent),
        may_be_partial,
        class(Idempotency::NonIdempotent),
        class(Idempotency::Keyed { dedup_window: SECOND }),
    ]);
    Settings {
        routers: 3,
        layout: ShardLayout {
            ring_positions: RING_POSITIONS,
            replication_factor: 2,
            parts_per_call: 4,
            call_work: 6 * MS,
        },
        limits: DeploymentLimits { cancellation: kind.cancellation, hedging: kind.hedging, ..common.limits },
        rules: RuleSettings {
            warm_up_time: 3 * SECOND,
            overload_window: SECOND,
            retry_budget: kind.retry_budget.then_some(budget),
            ..common.rules
        },
        discovery: kind.discovery,
        ..common
    }
}

/// What comes back to the core, and when.
enum Due {
    AttemptCompleted(AttemptId, Outcome, Option<Value>),
    HealthChecked(BackendId),
    Endpoints,
    /// The decision on a permit.
    Permit(AttemptRequest),
    Disconnect(ResponseHandle),
}

struct World {
    core: Core,
    rng: fastrand::Rng,
    now: Micros,
    due: BTreeMap<(Micros, u64), Due>,
    number: u64,
    /// What discovery lists: each backend with its state and start.
    backends: BTreeMap<u32, (EndpointState, Option<Micros>)>,
    /// Clients that wait for a response, and clients that disconnected.
    waiting: BTreeSet<ResponseHandle>,
    disconnected: BTreeSet<ResponseHandle>,
    submitted: u64,
    answered: u64,
    /// Backends do as they should.
    calm: bool,
}

impl World {
    fn new(kind: Kind, seed: u64) -> Self {
        let names = ["search", "report", "hold", "keyed"].map(str::to_owned).to_vec();
        let bounds = CoreLimits { max_open: 400, shards: RING_POSITIONS * 2 };
        let mut core = Core::new(seed, settings(kind), names, bounds).expect("sound settings");
        core.enable_two_phase(TwoPhaseSettings {
            rule: ScoutBudgetRule::Learned,
            sketches: SketchCacheLimits { entries: 50, age: SECOND },
        });
        if kind.permits {
            core.require_permits();
        }
        let (due, backends, waiting, disconnected) = Default::default();
        let rng = fastrand::Rng::with_seed(seed);
        let (number, submitted, answered, calm) = (0, 0, 0, true);
        let mut world = Self {
            core,
            rng,
            now: 100 * SECOND,
            due,
            number,
            backends,
            waiting,
            disconnected,
            submitted,
            answered,
            calm,
        };
        (0..RING_POSITIONS).for_each(|id| _ = world.backends.insert(id, (EndpointState::Ready, None)));
        world.update_endpoints(true);
        world.run(SECOND, 0.0);
        world
    }

    fn put(&mut self, after: Micros, due: Due) {
        self.number += 1;
        self.due.insert((self.now + after, self.number), due);
    }

    /// Discovery sends a snapshot or a delta; what was removed it names once.
    fn update_endpoints(&mut self, snapshot: bool) {
        let entry = |(&id, &(phase, started)): (&u32, &(EndpointState, Option<Micros>))| Endpoint {
            backend: BackendId(id),
            ring_position: id % RING_POSITIONS,
            state: phase,
            started_at: started,
            zone: None,
        };
        let entries: Vec<Endpoint> = self.backends.iter().map(entry).collect();
        self.backends.retain(|_, (phase, _)| *phase != EndpointState::Removed);
        let gone = |entry: &Endpoint| entry.state == EndpointState::Removed;
        self.core.endpoint_update(if snapshot {
            EndpointUpdate::Snapshot(entries.into_iter().filter(|entry| !gone(entry)).collect())
        } else {
            EndpointUpdate::Delta(entries)
        });
    }

    /// Something happens to the backends.
    fn change(&mut self) {
        let fresh = self.backends.keys().max().map_or(0, |id| id + 1);
        let ids: Vec<u32> = self.backends.keys().copied().collect();
        let Some(&id) = ids.get(self.rng.usize(0..ids.len().max(1))) else { return };
        let now = self.now;
        match self.rng.u32(0..6) {
            0 => _ = self.backends.insert(id, (EndpointState::Draining, None)),
            1 => _ = self.backends.insert(id, (EndpointState::Removed, None)),
            2 => _ = self.backends.insert(id, (EndpointState::Ready, Some(now))),
            3 => {
                // One is replaced by another of its ring position.
                self.backends.insert(id, (EndpointState::Removed, None));
                self.backends.insert(
                    fresh + (RING_POSITIONS + id % RING_POSITIONS - fresh % RING_POSITIONS) % RING_POSITIONS,
                    (EndpointState::Ready, Some(now)),
                );
            }
            4 => return self.core.endpoint_update(EndpointUpdate::Failed),
            _ => {}
        }
        let snapshot = self.rng.bool();
        self.update_endpoints(snapshot);
    }

    fn submit(&mut self) {
        self.submitted += 1;
        let handle = ResponseHandle::Http(self.submitted);
        let class = self.rng.usize(0..4);
        let first = self.rng.u32(0..RING_POSITIONS * 2);
        let count = self.rng.u32(1..=8);
        let parts = (0..count).map(|i| PartRequest {
            shard: ShardId((first + i) % (RING_POSITIONS * 2)),
            weight: 1.0 / f64::from(count),
        });
        let selections = [
            BlockSelection::Best(2),
            BlockSelection::Threshold,
            BlockSelection::Share(0.6),
            BlockSelection::All,
        ];
        let spec = PlanSpec {
            selection: selections[self.rng.usize(0..4)],
            row_limit: 3,
            wave_size: self.rng.usize(1..4),
            missing_sketches: if self.rng.bool() {
                MissingSketchPolicy::Fetch
            } else {
                MissingSketchPolicy::Skip
            },
        };
        let planned = self.rng.u32(0..3) == 0;
        // Some ids come again: sent again, or by chance.
        let id = if self.rng.u32(0..10) == 0 { self.submitted / 2 } else { self.submitted };
        let request = QueryRequest {
            class: ClassId(class),
            expires_in: self.rng.u64(0..DEADLINE * 2),
            retry: self.rng.u32(0..5) == 0,
            parts: parts.collect(),
            plan: planned.then(|| PlanRequest { spec, scout: Rc::from(&b"scout"[..]) }),
            ..common::request(&format!("query-{id}"))
        };
        if self.core.submit(self.now, handle, request).is_ok() {
            assert!(self.waiting.insert(handle));
            if self.rng.u32(0..3) == 0 {
                let after = self.rng.u64(0..2 * SECOND);
                self.put(after, Due::Disconnect(handle));
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
        self.put(after, Due::AttemptCompleted(send.attempt, outcome, value));
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::SendBatch(_, sends) => sends.iter().for_each(|send| self.sent(send)),
            // What is cancelled may still be answered, late.
            Action::CancelAttempt(..) => {}
            // Half of them had not started.
            Action::RevokeUnsent(_, id) => {
                if self.rng.bool() {
                    self.put(0, Due::AttemptCompleted(id, Outcome::NotSent, None));
                }
            }
            Action::Respond(handle, _) => self.reply(handle),
            Action::RequestPermit(_, send) => {
                let after = self.rng.u64(0..30 * MS);
                self.put(after, Due::Permit(send));
            }
            Action::ReplicateOutcome(recorded) => {
                recorded.response_handles.into_iter().for_each(|handle| self.reply(handle))
            }
            Action::WatchEndpoints => {
                let after = self.rng.u64(MS..300 * MS);
                self.put(after, Due::Endpoints);
            }
            Action::HealthCheck(backend) => self.put(10 * MS, Due::HealthChecked(backend)),
        }
    }

    fn reply(&mut self, handle: ResponseHandle) {
        // Of a non-idempotent query also clients that disconnected are answered; none is answered twice.
        assert!(
            self.waiting.remove(&handle) || self.disconnected.remove(&handle),
            "{handle:?} is answered twice"
        );
        self.answered += 1;
    }

    /// Plays so long, with so many queries a batch.
    fn run(&mut self, time: Micros, rate: f64) {
        let until = self.now + time;
        while self.now < until {
            self.now += BATCH_INTERVAL;
            while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= self.now) {
                match entry.remove() {
                    Due::AttemptCompleted(id, outcome, value) => {
                        self.core.attempt_completed(self.now, id, outcome, value)
                    }
                    Due::HealthChecked(backend) => {
                        let passed = self.calm || self.rng.bool();
                        self.core.health_check_completed(backend, passed);
                    }
                    Due::Endpoints => self.update_endpoints(true),
                    Due::Permit(send) if !self.core.is_in_flight(send.attempt) => {}
                    Due::Permit(send) if !self.calm && self.rng.u32(0..5) == 0 => {
                        self.core.attempt_completed(self.now, send.attempt, Outcome::NotSent, None);
                    }
                    Due::Permit(send) => self.sent(&send),
                    Due::Disconnect(handle) => {
                        if self.waiting.remove(&handle) {
                            self.disconnected.insert(handle);
                            self.core.client_disconnected(handle);
                        }
                    }
                }
            }
            let mut left = rate;
            while self.rng.f64() < left {
                self.submit();
                left -= 1.0;
            }
            if !self.calm && self.rng.u32(0..60) == 0 {
                self.change();
            }
            for action in self.core.run_batch(self.now) {
                self.act(action);
            }
        }
    }

    /// All backends are healthy and listed, and all that the flood left has had its time.
    fn settle(&mut self) {
        self.calm = true;
        self.backends = (0..RING_POSITIONS).map(|id| (id, (EndpointState::Ready, None))).collect();
        self.update_endpoints(true);
        self.run(DEADLINE + 6 * SECOND, 0.0);
        // As the watch does each ten seconds at the latest.
        self.core.endpoint_update(EndpointUpdate::Delta(Vec::new()));
        self.run(SECOND, 0.0);
    }
}

fn kinds() -> Vec<Kind> {
    let mut kinds = Vec::new();
    for bits in 0..8_u32 {
        let [cancellation, hedging, permits] = [1, 2, 4].map(|bit| bits & bit > 0);
        let discovery = if bits % 3 == 0 { Discovery::Push } else { Discovery::Poll };
        kinds.push(Kind { cancellation, hedging, permits, retry_budget: bits % 2 == 0, discovery });
    }
    kinds
}

#[test]
fn all_resource_counts_come_back_to_their_base_after_a_flood() {
    let seeds = std::env::var("CENSUS_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(30);
    let mut most: BTreeMap<&str, usize> = BTreeMap::new();
    for kind in kinds() {
        for seed in 0..seeds {
            let mut world = World::new(kind, seed);
            // The latency samples by which overdue attempts are recognised are bounded, and kept.
            let kept = |mut counts: BTreeMap<&'static str, usize>| {
                assert!(counts.remove("router latency samples").is_some_and(|kept| kept <= 33));
                counts
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
    // The flood filled each of them, or the count of it says nothing; what is ready goes out at once.
    let empty: Vec<_> = most.iter().filter(|(_, most)| **most == 0).map(|(name, _)| *name).collect();
    assert!(
        empty.iter().all(|name| ["events", "ready"].contains(name)),
        "never filled: {empty:?} of {most:?}"
    );
}
