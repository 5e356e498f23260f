//! Slow start: how much work one of several routers sends to a warming-up backend.
//!
//! A backend starts at a fraction of its capacity and is assumed to gain the rest linearly over the warm-up
//! time, the slowest warm-up that the deployment allows. Work beyond a multiple of its current capacity
//! within the overload window would make it fail. The routers do not communicate, so each uses an equal quota
//! of that work. If the quota is less than one part, [`SlowStart`] decides by a draw for the whole query, so
//! that all routers together send what the backend can handle, however uneven their traffic is.

use std::collections::VecDeque;

use crate::hash::{hash_query_shard, unit_interval};
use crate::ids::{Micros, QueryId, ShardId};
use crate::settings::{RuleSettings, Settings};
use crate::traffic::Traffic;

/// Fraction that routers use of the work that a warming-up backend can handle; the rest covers random
/// variation.
const CAPACITY_USE: f64 = 0.8;
/// Like [`CAPACITY_USE`], for routers whose quota is less than one part and that decide by a draw: draws vary
/// more than a quota of one or more parts.
const DRAWN_CAPACITY_USE: f64 = 0.75;
/// Fraction of all routers' work above which one router counts as busy and is limited to its
/// quota.
const MAX_ROUTER_FRACTION: f64 = 0.25;
/// Fraction of its quota that a newly started router uses: it does not know its traffic yet, and many routers
/// may have started together.
const NEW_ROUTER_FRACTION: f64 = 0.5;
/// Lower bound of a backend's assumed capacity, as a fraction of its full capacity.
const MIN_CAPACITY_FRACTION: f64 = 0.01;
/// Used in place of a shard to hash a query without its parts.
const DUMMY_SHARD: ShardId = ShardId(u32::MAX);

/// Work that was sent to one backend within the overload window.
#[derive(Clone, Debug, Default)]
pub struct RecentWork(VecDeque<SentWork>);

#[derive(Clone, Copy, Debug)]
struct SentWork {
    at: Micros,
    work: f64,
}

impl RecentWork {
    /// Adds work, in microseconds, and removes entries older than the window.
    pub fn record(&mut self, now: Micros, window: Micros, work: f64) {
        self.advance(now, window);
        self.0.push_back(SentWork { at: now, work });
    }

    /// Removes entries older than the window.
    pub(crate) fn advance(&mut self, now: Micros, window: Micros) {
        self.0.retain(|sent| sent.at + window >= now);
    }

    /// Returns the sum of the work within the window, in microseconds.
    fn within(&self, now: Micros, window: Micros) -> f64 {
        self.0.iter().filter(|sent| sent.at + window >= now).map(|sent| sent.work).sum()
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}

/// The work of one more part, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartWork {
    /// Work of the part alone.
    pub part: f64,
    /// Work of a call in addition to its parts.
    pub call: f64,
    /// Whether the part joins a call that is already open.
    pub joins_call: bool,
}

impl PartWork {
    /// Returns the work that the part adds to its backend.
    pub fn added(&self) -> f64 {
        self.part + if self.joins_call { 0.0 } else { self.call }
    }

    fn with_call(&self) -> f64 {
        self.part + self.call
    }
}

/// A backend that a part may be sent to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Time of its start; `None` if that was long ago.
    pub started_at: Option<Micros>,
    /// Work that this router has sent to it.
    pub recent_work: &'a RecentWork,
}

/// Demand that this router has to serve.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The query that the part belongs to.
    pub query: QueryId,
    /// Recent arrivals.
    pub traffic: &'a Traffic,
    /// Number of parts of earlier batches that were not sent yet. Without it, all parts that wait after the
    /// loss of a zone would be sent in one window.
    pub waiting_parts: usize,
    /// Number of backends that are ready.
    pub ready_backends: f64,
}

/// The slow-start rule of one router.
#[derive(Debug)]
pub struct SlowStart {
    rules: RuleSettings,
    routers: f64,
}

impl SlowStart {
    /// Creates the rule from the warm-up parameters and the number of routers that share the work.
    pub fn new(settings: &Settings) -> Self {
        Self { rules: settings.rules.clone(), routers: f64::from(settings.routers) }
    }

    /// Returns the overload window, in microseconds.
    pub(crate) fn window(&self) -> Micros {
        self.rules.overload_window
    }

    /// Returns whether a backend may still be below its full capacity.
    pub fn is_warming_up(&self, started_at: Option<Micros>, now: Micros) -> bool {
        started_at.is_some_and(|at| now < at + self.rules.warm_up_time)
    }

    /// Returns the capacity of a backend at an instant, as a fraction of its full capacity, for the slowest
    /// warm-up that the settings allow.
    pub fn warm_up_fraction(&self, started_at: Option<Micros>, at: Micros) -> f64 {
        let Some(started_at) = started_at else { return 1.0 };
        let age = at.saturating_sub(started_at) as f64 / self.rules.warm_up_time.max(1) as f64;
        let initial = self.rules.initial_capacity;
        (initial + (1.0 - initial) * age).clamp(MIN_CAPACITY_FRACTION, 1.0)
    }

    /// Returns whether a backend can take one more part of this router. A backend with full capacity always
    /// can. The rule assumes one core per backend and the capacity at the start of the window. `replicas` are
    /// the start times of all ready backends that hold the part's shard.
    pub fn admits(
        &self,
        now: Micros,
        backend: Candidate,
        work: PartWork,
        demand: Demand,
        replicas: impl Iterator<Item = Option<Micros>>,
    ) -> bool {
        let window = self.rules.overload_window;
        let fraction = self.warm_up_fraction(backend.started_at, now.saturating_sub(window));
        if fraction >= 1.0 {
            return true;
        }
        let capacity = CAPACITY_USE * self.rules.overload_multiple * fraction * window as f64;
        let quota = capacity / self.routers;
        let recent = backend.recent_work.within(now, window);
        let total = recent + work.added();
        let is_busy = recent > 0.0 && total > MAX_ROUTER_FRACTION * capacity;
        if work.with_call() <= quota || is_busy {
            return total <= quota;
        }
        self.admits_by_draw(now, backend, work.added(), quota, demand, replicas)
    }

    /// Decides by a draw if the quota is less than a part. The draw is the same for all parts and replicas of
    /// a query: while all backends warm up, a query with one draw per part would hardly ever have all its
    /// parts sent.
    fn admits_by_draw(
        &self,
        now: Micros,
        backend: Candidate,
        work: f64,
        quota: f64,
        demand: Demand,
        replicas: impl Iterator<Item = Option<Micros>>,
    ) -> bool {
        let window = self.rules.overload_window;
        let parts = demand.traffic.admitted_parts_in(now, window);
        // Waiting parts are sent in addition to arriving ones: the draw becomes harder by their ratio.
        let demand_factor = 1.0 + demand.waiting_parts as f64 / parts;
        let (mut replica_count, mut replica_capacity) = (0.0, 0.0);
        for started_at in replicas {
            replica_count += 1.0;
            replica_capacity += self.warm_up_fraction(started_at, now);
        }
        // Parts of one window that would be sent to this backend.
        let capacity = self.warm_up_fraction(backend.started_at, now);
        let expected_parts = parts * replica_count / demand.ready_backends * capacity / replica_capacity;
        let known_windows = demand.traffic.age(now) as f64 / window.max(1) as f64;
        let quota = quota * known_windows.clamp(NEW_ROUTER_FRACTION, 1.0);
        let draw =
            unit_interval(hash_query_shard(demand.query, DUMMY_SHARD)) * demand_factor / DRAWN_CAPACITY_USE;
        // Queries pass in proportion to the mean warm-up fraction of the replicas, whatever the quota.
        let within_mean_capacity = draw < replica_capacity / replica_count;
        let within_quota = draw * work * expected_parts < quota;
        within_mean_capacity || within_quota
    }
}
