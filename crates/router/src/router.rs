//! The router: its state, and the dispatch of events and timers to their handlers. The handlers, in the
//! submodules, pass facts to the rules and carry out their decisions.

mod arrivals;
mod attempts;
mod endings;
mod health;
mod sending;

use std::collections::BTreeMap;

use crate::admission::{self, Admission};
use crate::endpoints::Endpoints;
use crate::events::{Action, BackendView, EndpointUpdate, Event};
use crate::ids::{ClassId, Micros, PartId, QueryId};
use crate::latency::BaseLatency;
use crate::outlier::OutlierDetector;
use crate::overdue::RecentAnswers;
use crate::query::{Part, PartTable, Query};
use crate::random::Random;
use crate::replica_selection::ReplicaSelector;
use crate::retry::{PartHistory, RetryBudget, RetryPolicy};
use crate::settings::{Class, Settings};
use crate::settings_error::SettingsError;
use crate::slow_start::{PartWork, SlowStart};
use crate::timers::{Timer, TimerQueue};
use crate::traffic::Traffic;

/// Decides how queries are routed. It handles only the events passed to it and does not communicate with
/// other routers. The default has no class and rejects every query.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    random: Random,
    now: Micros,

    // The rules, each with its state.
    admission: Admission,
    slow_start: SlowStart,
    selector: ReplicaSelector,
    outliers: OutlierDetector,
    retries: RetryPolicy,
    retry_budget: RetryBudget,

    // Queries, backends and measurements.
    endpoints: Endpoints,
    queries: BTreeMap<QueryId, Query>,
    parts: PartTable,
    traffic: Traffic,
    base_latency: BaseLatency,
    recent_answers: RecentAnswers,
    timers: TimerQueue,
    calls_made: u64,

    // The current batch of events.
    arrived: Vec<QueryId>,
    to_send: Vec<PartId>,
    /// Parts of earlier batches that were not sent yet.
    waiting_parts: usize,
    actions: Vec<Action>,
}

impl Default for Router {
    fn default() -> Self {
        Self::with(Random::default(), Settings::default())
    }
}

impl Router {
    /// Creates a router without endpoints or queries.
    ///
    /// # Errors
    /// Returns the first invalid field of the settings.
    pub fn new(seed: u64, settings: Settings) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Self::with(Random::with_seed(seed), settings))
    }

    fn with(random: Random, settings: Settings) -> Self {
        let retry_budget = RetryBudget::new(settings.rules.retry_budget.as_ref());
        Self {
            random,
            now: 0,
            admission: Admission::new(settings.classes.len()),
            slow_start: SlowStart::new(&settings),
            selector: ReplicaSelector::new(&settings),
            outliers: OutlierDetector::new(&settings),
            retries: RetryPolicy::new(&settings.limits),
            traffic: Traffic::new(retry_budget.window()),
            retry_budget,
            endpoints: Endpoints::new(&settings),
            queries: BTreeMap::new(),
            parts: PartTable::default(),
            base_latency: BaseLatency::new(&settings.classes),
            recent_answers: RecentAnswers::new(&settings.classes),
            timers: TimerQueue::default(),
            calls_made: 0,
            arrived: Vec::new(),
            to_send: Vec::new(),
            waiting_parts: 0,
            actions: Vec::new(),
            settings,
        }
    }

    /// Handles the events up to `now`, in microseconds of the caller's clock, and appends the resulting
    /// actions to `actions`, in the order in which they are to be carried out.
    pub fn handle(&mut self, now: Micros, events: Vec<Event>, actions: &mut Vec<Action>) {
        self.now = now;
        self.admission.advance(now);
        self.retry_budget.advance(now);
        self.traffic.advance(now);
        events.into_iter().for_each(|event| self.handle_event(event));
        while let Some(timer) = self.timers.pop_due(now) {
            self.handle_timer(timer);
        }
        self.waiting_parts = self.count_waiting_parts();
        self.admit_arrived();
        self.send_parts();
        self.actions.extend(self.timers.next_wake_up(now).map(Action::SetTimer));
        actions.append(&mut self.actions);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::EndpointUpdate(update) => self.update_endpoints(update),
            Event::QueryArrived(arrival) => self.query_arrived(&arrival),
            Event::PartArrived(arrival) => self.part_arrived(&arrival),
            Event::AttemptCompleted { part, attempt, outcome, latency } => {
                self.attempt_completed(part, attempt, outcome, latency);
            }
            Event::ClientDisconnected(query) => self.end_query(query),
            Event::PartCancelled(part) => self.abandon_parts(&[part]),
            Event::QueryCompleted { query, answered } => self.planned_query_completed(query, answered),
            Event::HealthCheckCompleted { backend, passed } => self.health_check_completed(backend, passed),
            Event::TimerExpired => {} // Due timers are handled after the events of every batch.
        }
    }

    fn handle_timer(&mut self, timer: Timer) {
        match timer {
            Timer::LatencyObjective(query) => self.objective_due(query),
            Timer::Deadline(query) => self.deadline_due(query),
            Timer::Overdue(part, attempt) => self.overdue_check_due(part, attempt),
            Timer::Resend(part) => self.to_send.push(part),
            Timer::RecoveryAttempt(backend) => self.recovery_due(backend),
            Timer::WatchEndpoints if self.endpoints.is_watching() => {}
            Timer::WatchEndpoints => self.actions.push(Action::WatchEndpoints),
        }
    }

    fn update_endpoints(&mut self, update: EndpointUpdate) {
        let window = self.slow_start.window();
        if let Some(delay) = self.endpoints.update(update, self.now, window, &mut self.random) {
            self.timers.set(self.now + delay, Timer::WatchEndpoints);
        }
    }

    /// Counts the parts of admitted queries without any attempt, except deferred parts.
    fn count_waiting_parts(&self) -> usize {
        let unsent = |query: &Query| self.parts.of(query).filter(|part| part.attempts.is_empty()).count();
        let admitted = self.queries.values().filter(|query| query.admitted);
        admitted.map(|query| unsent(query).saturating_sub(query.deferred_parts.len())).sum()
    }

    // ---- facts that several handlers pass to the rules ----

    fn class(&self, class: ClassId) -> &Class {
        &self.settings.classes[class.0]
    }

    fn history(&self, part: &Part) -> PartHistory {
        PartHistory::of(part, self.class(part.class).idempotency)
    }

    /// Returns the estimated work of one more part.
    fn part_work(&self, class: ClassId, joins_call: bool) -> PartWork {
        let call = self.settings.layout.call_work as f64;
        PartWork { part: self.base_latency.of(class), call, joins_call }
    }

    /// Returns the time in which this router sends something to each backend once, in microseconds.
    fn coverage_time(&self) -> f64 {
        self.traffic.coverage_time(self.endpoints.ready())
    }

    /// Returns the time in which measurements of a backend fade, in microseconds.
    fn fade_time(&self) -> f64 {
        self.traffic.fade_time(self.endpoints.ready())
    }

    // ---- state that a caller can read ----

    /// Returns the advised delay before a retry for a client that the caller itself rejects, in microseconds.
    /// It is random, like that of the router's rejections.
    pub fn retry_after(&mut self) -> Micros {
        admission::retry_after(&self.settings.limits, &mut self.random)
    }

    /// Returns the current drop rate of a class, from 0 to 1, or `None` for an unknown class.
    pub fn drop_rate(&self, class: ClassId) -> Option<f64> {
        self.admission.drop_rate(class)
    }

    /// Returns the number of items kept, for tests that look for leaks: queries, parts, backends, calls in
    /// flight, remembered sends, remembered answers, timers, and entries of sliding windows.
    pub fn resource_counts(&self) -> [usize; 8] {
        let backends = || self.endpoints.iter().map(|(_, backend)| backend);
        [
            self.queries.len(),
            self.parts.len(),
            backends().count(),
            backends().map(|backend| backend.calls.len()).sum(),
            backends().map(|backend| backend.recent_work.len()).sum(),
            self.recent_answers.len(),
            self.timers.len(),
            self.traffic.len() + self.retry_budget.len(),
        ]
    }

    /// Returns this router's view of each known backend.
    pub fn backends(&self) -> impl Iterator<Item = BackendView> + '_ {
        self.endpoints.iter().map(|(id, backend)| BackendView {
            backend: *id,
            state: backend.state,
            ejected: backend.health.is_ejected(),
            warming_up: self.slow_start.is_warming_up(backend.started_at, self.now),
            parts_in_flight: backend.parts_in_flight(),
        })
    }
}
