//! Leak test: after a flood of queries, all tables of the core and its router return to their baseline, on
//! whatever path each entry ended. Random histories from seeds, with the time as an argument. `CENSUS_SEEDS`
//! sets the number of histories of each kind (30 by default).

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use mallowgauge_core::two_phase::{
    BlockSelection, MissingSketchPolicy, PlanSpec, ScoutBudgetRule, SketchCacheLimits,
};
use mallowgauge_core::{
    Action, AttemptId, AttemptRequest, ClientId, Core, CoreLimits, PartRequest, PlanRequest, QueryRequest,
    ResponseHandle, TwoPhaseSettings, Value,
};
use mallowgauge_router::{
    BackendId, Class, ClassId, DeploymentLimits, Discovery, Endpoint, EndpointState, EndpointUpdate,
    Idempotency, Micros, Outcome, RetryBudgetSettings, RuleSettings, Settings, ShardId, ShardLayout,
};

use common::{BATCH_INTERVAL, MS, SECOND};

const RING_POSITIONS: u32 = 6;
const DEADLINE: Micros = 4 * SECOND;
/// The client of every second query.
const MANY_QUERIES: ClientId = ClientId::Flight(0);

/// The configuration of a history.
#[derive(Clone, Copy, Debug)]
struct Variant {
    cancellation: bool,
    hedging: bool,
    /// Whether non-idempotent attempts wait for permits, and their responses for a replicated outcome.
    permits: bool,
    retry_budget: bool,
    discovery: Discovery,
}

fn settings(variant: Variant) -> Settings {
    let class = common::class;
    let partial = Class { late_value: 0.0, minimum_completeness: 0.5, ..class(Idempotency::Idempotent) };
    let budget = RetryBudgetSettings { min_retries: 5.0, retry_ratio: 0.3, window: 5 * SECOND };
    let common = common::settings(vec![
        class(Idempotency::Idempotent),
        partial,
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
        limits: DeploymentLimits {
            cancellation: variant.cancellation,
            hedging: variant.hedging,
            ..common.limits
        },
        rules: RuleSettings {
            warm_up_time: 3 * SECOND,
            overload_window: SECOND,
            retry_budget: variant.retry_budget.then_some(budget),
            ..common.rules
        },
        discovery: variant.discovery,
        ..common
    }
}

/// An event that is due for the core.
enum Due {
    AttemptCompleted(AttemptId, Outcome, Option<Value>),
    HealthChecked(BackendId),
    Endpoints,
    /// The decision on a permit request.
    Permit(AttemptRequest),
    Disconnect(ResponseHandle),
}

struct World {
    core: Core,
    rng: fastrand::Rng,
    now: Micros,
    due: BTreeMap<(Micros, u64), Due>,
    /// Number of events scheduled so far, which keeps those of the same time in order.
    scheduled: u64,
    /// The endpoint list: each backend with its state and start time.
    backends: BTreeMap<u32, (EndpointState, Option<Micros>)>,
    /// Clients that wait for a response.
    waiting: BTreeSet<ResponseHandle>,
    /// Clients that disconnected.
    disconnected: BTreeSet<ResponseHandle>,
    submitted: u64,
    answered: u64,
    /// Whether all backends are healthy, and no faults are injected.
    healthy: bool,
}

impl World {
    fn new(variant: Variant, seed: u64) -> Self {
        let names = ["complete", "partial", "non-idempotent", "keyed"].map(str::to_owned).to_vec();
        let limits = CoreLimits { max_open: 400, shards: RING_POSITIONS * 2 };
        let mut core = Core::new(seed, settings(variant), names, limits).expect("valid settings");
        core.enable_two_phase(TwoPhaseSettings {
            rule: ScoutBudgetRule::Learned,
            sketches: SketchCacheLimits { entries: 50, age: SECOND },
        });
        if variant.permits {
            core.require_permits();
        }
        let (due, backends, waiting, disconnected) = Default::default();
        let rng = fastrand::Rng::with_seed(seed);
        let (scheduled, submitted, answered, healthy) = (0, 0, 0, true);
        let mut world = Self {
            core,
            rng,
            now: 100 * SECOND,
            due,
            scheduled,
            backends,
            waiting,
            disconnected,
            submitted,
            answered,
            healthy,
        };
        (0..RING_POSITIONS).for_each(|id| _ = world.backends.insert(id, (EndpointState::Ready, None)));
        world.update_endpoints(true);
        world.run(SECOND, 0.0);
        world
    }

    fn schedule(&mut self, after: Micros, due: Due) {
        self.scheduled += 1;
        self.due.insert((self.now + after, self.scheduled), due);
    }

    /// Sends a snapshot or a delta of the endpoint list. A removed backend is listed once.
    fn update_endpoints(&mut self, snapshot: bool) {
        let entry = |(&id, &(state, started_at)): (&u32, &(EndpointState, Option<Micros>))| Endpoint {
            backend: BackendId(id),
            ring_position: id % RING_POSITIONS,
            state,
            started_at,
            zone: None,
        };
        let entries: Vec<Endpoint> = self.backends.iter().map(entry).collect();
        self.backends.retain(|_, (state, _)| *state != EndpointState::Removed);
        let is_removed = |entry: &Endpoint| entry.state == EndpointState::Removed;
        self.core.endpoint_update(if snapshot {
            EndpointUpdate::Snapshot(entries.into_iter().filter(|entry| !is_removed(entry)).collect())
        } else {
            EndpointUpdate::Delta(entries)
        });
    }

    /// Changes the endpoint list at random.
    fn change_endpoints(&mut self) {
        let next_id = self.backends.keys().max().map_or(0, |id| id + 1);
        let ids: Vec<u32> = self.backends.keys().copied().collect();
        let Some(&id) = ids.get(self.rng.usize(0..ids.len().max(1))) else { return };
        let now = self.now;
        match self.rng.u32(0..6) {
            0 => _ = self.backends.insert(id, (EndpointState::Draining, None)),
            1 => _ = self.backends.insert(id, (EndpointState::Removed, None)),
            2 => _ = self.backends.insert(id, (EndpointState::Ready, Some(now))),
            3 => {
                // The backend is replaced by another one at its ring position.
                self.backends.insert(id, (EndpointState::Removed, None));
                self.backends.insert(
                    next_id
                        + (RING_POSITIONS + id % RING_POSITIONS - next_id % RING_POSITIONS) % RING_POSITIONS,
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
        // Some ids are used again.
        let id = if self.rng.u32(0..10) == 0 { self.submitted / 2 } else { self.submitted };
        let request = QueryRequest {
            class: ClassId(class),
            expires_in: self.rng.u64(0..DEADLINE * 2),
            retry: self.rng.u32(0..5) == 0,
            parts: parts.collect(),
            plan: planned.then(|| PlanRequest { spec, scout: Rc::from(&b"scout"[..]) }),
            ..common::request(&format!("query-{id}"))
        };
        // Every second query is one of the same client, beside which others are postponed.
        let client = if self.rng.bool() { MANY_QUERIES } else { ClientId::from(handle) };
        if self.core.submit_for(self.now, client, handle, request).is_ok() {
            assert!(self.waiting.insert(handle));
            if self.rng.u32(0..3) == 0 {
                let after = self.rng.u64(0..2 * SECOND);
                self.schedule(after, Due::Disconnect(handle));
            }
        } else {
            self.answered += 1;
        }
    }

    /// Draws the outcome of an attempt that was sent.
    fn send(&mut self, attempt: &AttemptRequest) {
        let scout = &*attempt.body == b"scout";
        let value = match (scout, self.rng.u32(0..10)) {
            (_, 0) if !self.healthy => "malformed",
            (true, _) => r#"{"bound":3.0,"count":2}"#,
            (false, _) => r#"[{"score":2.0,"id":"a"},{"score":1.0,"id":"b"}]"#,
        };
        let value = Some(value.into());
        let soon = self.rng.u64(MS..60 * MS);
        let (outcome, after) = match if self.healthy { 99 } else { self.rng.u32(0..30) } {
            0 | 1 => (Outcome::BackendError, soon),
            2 | 3 => (Outcome::Rejected, soon),
            4 => (Outcome::ConnectionLost, soon),
            5 => (Outcome::ConnectFailed, soon),
            6 => (Outcome::NotSent, 0),
            // The backend never responds, and the attempt times out.
            7 => return,
            // The response is late.
            8 | 9 => (Outcome::Succeeded, soon * 60),
            _ => (Outcome::Succeeded, soon),
        };
        let value = value.filter(|_| outcome == Outcome::Succeeded);
        self.schedule(after, Due::AttemptCompleted(attempt.attempt, outcome, value));
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::SendBatch(_, attempts) => attempts.iter().for_each(|attempt| self.send(attempt)),
            // A cancelled attempt may still be answered late.
            Action::CancelAttempt(..) => {}
            // Half of the attempts were not sent yet.
            Action::RevokeUnsent(_, id) => {
                if self.rng.bool() {
                    self.schedule(0, Due::AttemptCompleted(id, Outcome::NotSent, None));
                }
            }
            Action::Respond(handle, _) => self.reply(handle),
            Action::RequestPermit(_, attempt) => {
                let after = self.rng.u64(0..30 * MS);
                self.schedule(after, Due::Permit(attempt));
            }
            Action::ReplicateOutcome(completed) => {
                completed.response_handles.into_iter().for_each(|handle| self.reply(handle))
            }
            Action::WatchEndpoints => {
                let after = self.rng.u64(MS..300 * MS);
                self.schedule(after, Due::Endpoints);
            }
            Action::HealthCheck(backend) => self.schedule(10 * MS, Due::HealthChecked(backend)),
        }
    }

    fn reply(&mut self, handle: ResponseHandle) {
        // For a non-idempotent query, disconnected clients are answered, too. No client is answered twice.
        assert!(
            self.waiting.remove(&handle) || self.disconnected.remove(&handle),
            "{handle:?} is answered twice"
        );
        self.answered += 1;
    }

    /// Runs for `duration`, with `rate` queries per batch on average.
    fn run(&mut self, duration: Micros, rate: f64) {
        let until = self.now + duration;
        while self.now < until {
            self.now += BATCH_INTERVAL;
            while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= self.now) {
                match entry.remove() {
                    Due::AttemptCompleted(id, outcome, value) => {
                        self.core.attempt_completed(self.now, id, outcome, value)
                    }
                    Due::HealthChecked(backend) => {
                        let passed = self.healthy || self.rng.bool();
                        self.core.health_check_completed(backend, passed);
                    }
                    Due::Endpoints => self.update_endpoints(true),
                    Due::Permit(attempt) if !self.core.is_in_flight(attempt.attempt) => {}
                    Due::Permit(attempt) if !self.healthy && self.rng.u32(0..5) == 0 => {
                        self.core.attempt_completed(self.now, attempt.attempt, Outcome::NotSent, None);
                    }
                    Due::Permit(attempt) => self.send(&attempt),
                    Due::Disconnect(handle) => {
                        if self.waiting.remove(&handle) {
                            self.disconnected.insert(handle);
                            self.core.client_disconnected(handle);
                        }
                    }
                }
            }
            let mut remaining = rate;
            while self.rng.f64() < remaining {
                self.submit();
                remaining -= 1.0;
            }
            if !self.healthy && self.rng.u32(0..60) == 0 {
                self.change_endpoints();
            }
            for action in self.core.run_batch(self.now) {
                self.act(action);
            }
        }
    }

    /// Lists all backends as healthy and runs until everything from the flood has ended.
    fn settle(&mut self) {
        self.healthy = true;
        self.backends = (0..RING_POSITIONS).map(|id| (id, (EndpointState::Ready, None))).collect();
        self.update_endpoints(true);
        self.run(DEADLINE + 6 * SECOND, 0.0);
        // An empty delta, as the endpoint watch sends at least every 10 seconds.
        self.core.endpoint_update(EndpointUpdate::Delta(Vec::new()));
        self.run(SECOND, 0.0);
    }
}

fn variants() -> Vec<Variant> {
    let mut variants = Vec::new();
    for bits in 0..8_u32 {
        let [cancellation, hedging, permits] = [1, 2, 4].map(|bit| bits & bit > 0);
        let discovery = if bits % 3 == 0 { Discovery::Push } else { Discovery::Poll };
        variants.push(Variant { cancellation, hedging, permits, retry_budget: bits % 2 == 0, discovery });
    }
    variants
}

#[test]
fn all_resource_counts_return_to_their_baseline_after_a_flood() {
    let seeds = std::env::var("CENSUS_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(30);
    let mut maxima: BTreeMap<&str, usize> = BTreeMap::new();
    for variant in variants() {
        for seed in 0..seeds {
            let mut world = World::new(variant, seed);
            // Latency samples, from which overdue attempts are detected, are kept, but their number is
            // limited.
            let without_samples = |mut counts: BTreeMap<&'static str, usize>| {
                assert!(counts.remove("router latency samples").is_some_and(|samples| samples <= 33));
                counts
            };
            let baseline = without_samples(world.core.resource_counts());
            world.healthy = false;
            for _ in 0..4 {
                world.run(700 * MS, 0.8);
                for (name, count) in world.core.resource_counts() {
                    let seen = maxima.entry(name).or_default();
                    *seen = (*seen).max(count);
                }
            }
            world.settle();
            assert_eq!(without_samples(world.core.resource_counts()), baseline, "{variant:?} seed {seed}");
            assert!(world.waiting.is_empty(), "{variant:?} seed {seed}: never answered {:?}", world.waiting);
        }
    }
    // The flood has to use each table, or its count proves nothing. Pending entries do not outlast a batch.
    let unused: Vec<_> = maxima.iter().filter(|(_, max)| **max == 0).map(|(name, _)| *name).collect();
    assert!(
        unused.iter().all(|name| ["pending events", "pending actions"].contains(name)),
        "never used: {unused:?} of {maxima:?}"
    );
}
