//! The core's event dispatch: requests, outcomes and endpoint updates are collected and passed to the router
//! in one batch per batch interval; the router's actions become the core's.

use std::collections::BTreeMap;
use std::rc::Rc;

use mallowgauge_router::{
    self as router, BackendId, ClassId, EndpointUpdate, Event, Idempotency, Micros, Outcome, PartId, QueryId,
    Router, Settings, SettingsError, ShardId, ShardLayout,
};

use crate::attempts::InFlightAttempts;
use crate::client_memory::ClientMemory;
use crate::executed_requests::ExecutedRequests;
use crate::open_queries::{all_handles, OpenQueries, OpenQuery};
use crate::planned_queries::{PlanClass, TwoPhase, TwoPhaseSettings};
use crate::postponed::PostponedQueries;
use crate::query::{Action, AttemptId, CompletedQuery, Failure, QueryRequest, QueryResponse, ResponseHandle};
use crate::router_actions::BatchActions;
use crate::stream_outcome::not_executed;
use crate::table_memory::TableQueryId;
use crate::value::Value;

/// Labels of the router's resource counts, in the router's order.
const ROUTER_RESOURCES: [&str; 8] = [
    "router queries",
    "router parts",
    "router backends",
    "router calls in flight",
    "router recent sends",
    "router latency samples",
    "router timers",
    "router window samples",
];
/// A query that fails within this time before its deadline counts as failed for lack of time.
pub(crate) const DEADLINE_MARGIN_US: Micros = 20_000;

/// Limits on open queries and parts.
#[derive(Clone, Copy, Debug)]
pub struct CoreLimits {
    /// Maximum number of queries and parts together.
    pub max_open: usize,
    /// Number of shards.
    pub shards: u32,
}

/// The settings of a class that the core uses.
#[derive(Debug)]
pub(crate) struct ClassRules {
    /// Maximum time that a client waits, in microseconds.
    deadline: Micros,
    /// Whether its parts may be executed repeatedly.
    pub(crate) idempotent: bool,
    /// Whether no part may be executed twice, under any condition.
    non_idempotent: bool,
    /// In microseconds.
    latency_objective: Micros,
    minimum_completeness: f64,
}

impl ClassRules {
    fn of(class: &router::Class) -> Self {
        Self {
            deadline: class.deadline,
            idempotent: matches!(class.idempotency, Idempotency::Idempotent),
            non_idempotent: matches!(class.idempotency, Idempotency::NonIdempotent),
            latency_objective: class.latency_objective,
            minimum_completeness: class.minimum_completeness,
        }
    }

    pub(crate) fn plan_class(&self) -> PlanClass {
        PlanClass {
            latency_objective: self.latency_objective,
            minimum_completeness: self.minimum_completeness,
            idempotent: self.idempotent,
        }
    }
}

/// The open queries and the router that decides about them.
pub struct Core {
    router: Router,
    class_names: Vec<String>,
    pub(crate) classes: Vec<ClassRules>,
    /// Whether cancellations are sent to backends.
    pub(crate) cancellation: bool,
    /// Whether non-idempotent attempts wait for a permit, and the responses to their queries for a replicated
    /// outcome.
    pub(crate) permits_required: bool,
    pub(crate) limits: CoreLimits,
    pub(crate) client_memory: ClientMemory,
    layout: ShardLayout,
    batch_interval: Micros,
    /// The latest time at which new queries are answered.
    pub(crate) answer_deadline: Option<Micros>,
    pub(crate) two_phase: Option<TwoPhase>,
    pub(crate) open: OpenQueries,
    pub(crate) attempts: InFlightAttempts,
    /// Ended queries that must not be executed again; empty if permits are required, which ensure that.
    pub(crate) executed_requests: ExecutedRequests,
    pub(crate) postponed: PostponedQueries,
    /// Events for the router's next batch.
    pub(crate) events: Vec<Event>,
    /// Actions that were added between batches.
    pub(crate) ready_actions: Vec<Action>,
    pub(crate) router_timer: Option<Micros>,
    last_batch: Option<Micros>,
    /// The next id of a query or part.
    pub(crate) next_id: u128,
}

impl Core {
    /// Creates a core without open queries, for classes with these names.
    ///
    /// # Errors
    /// The router rejects the settings.
    pub fn new(
        seed: u64,
        settings: Settings,
        classes: Vec<String>,
        limits: CoreLimits,
    ) -> Result<Self, SettingsError> {
        Ok(Self {
            class_names: classes,
            classes: settings.classes.iter().map(ClassRules::of).collect(),
            cancellation: settings.limits.cancellation,
            permits_required: false,
            limits,
            client_memory: ClientMemory::default(),
            layout: settings.layout.clone(),
            batch_interval: settings.batch_interval,
            answer_deadline: None,
            two_phase: None,
            open: OpenQueries::default(),
            attempts: InFlightAttempts::default(),
            executed_requests: ExecutedRequests::default(),
            postponed: PostponedQueries::default(),
            events: Vec::new(),
            ready_actions: Vec::new(),
            router_timer: None,
            last_batch: None,
            // Random draws and tie-breaks use a hash of the query's id: instances that started together must
            // not draw the same values.
            next_id: (u128::from(seed) << 64) + 1,
            router: Router::new(seed, settings)?,
        })
    }

    /// Enables two-phase queries.
    pub fn enable_two_phase(&mut self, setup: TwoPhaseSettings) {
        self.two_phase = Some(TwoPhase::new(setup, self.classes.len()));
    }

    /// Makes non-idempotent attempts wait for permits, and the responses to their queries for a replicated
    /// outcome.
    pub fn require_permits(&mut self) {
        self.permits_required = true;
    }

    /// Limits the memory of open queries: their requests, and the texts received for them.
    pub fn limit_client_memory(&mut self, memory: ClientMemory) {
        self.client_memory = memory;
    }

    /// Sets the latest time at which queries submitted from now on are answered, because the process may be
    /// killed soon after.
    pub fn set_answer_deadline(&mut self, by: Option<Micros>) {
        self.answer_deadline = by;
    }

    /// Returns the class with this name.
    pub fn class_id(&self, name: &str) -> Option<ClassId> {
        self.class_names.iter().position(|known| known == name).map(ClassId)
    }

    /// Returns the names of the classes.
    pub fn classes(&self) -> impl Iterator<Item = &str> {
        self.class_names.iter().map(String::as_str)
    }

    /// Returns the maximum time that a client of a class waits, in microseconds.
    pub fn deadline(&self, class: ClassId) -> Micros {
        self.classes[class.0].deadline
    }

    /// Returns whether a class's queries may be executed repeatedly.
    pub fn is_idempotent(&self, class: ClassId) -> bool {
        self.classes[class.0].idempotent
    }

    /// Returns whether attempts of a class wait for permits.
    pub(crate) fn requires_permits(&self, class: ClassId) -> bool {
        self.permits_required && !self.is_idempotent(class)
    }

    /// Returns whether this instance alone has to ensure that a class's queries are not executed twice.
    pub(crate) fn must_not_repeat(&self, class: ClassId) -> bool {
        self.classes[class.0].non_idempotent && !self.permits_required
    }

    /// Returns when a client that is rejected now may retry, in microseconds.
    pub fn retry_after(&mut self) -> Micros {
        self.router.retry_after()
    }

    pub(crate) fn reject(&mut self, not_executed: bool) -> QueryResponse {
        QueryResponse::Rejected { retry_after: self.router.retry_after(), not_executed }
    }

    /// Returns the number of open queries.
    pub fn open_queries(&self) -> usize {
        self.open.len() + self.postponed.len()
    }

    /// Returns whether a query with this id is open.
    pub fn is_open(&self, id: &str) -> bool {
        self.open.find(id).is_some() || self.postponed.has_id(id)
    }

    /// Returns the open request with this id and its client's remaining time, in microseconds.
    pub fn open_request(&self, now: Micros, id: &str) -> Option<(&QueryRequest, Micros)> {
        let open = self.open.get(self.open.find(id)?)?;
        Some((&open.request, open.deadline.saturating_sub(now)))
    }

    /// Returns whether a part of a client's query may have been executed; `false` if it is not open.
    pub fn possibly_executed(&self, handle: ResponseHandle) -> bool {
        self.open.waited_for_by(handle).is_some_and(|open| !open.not_executed())
    }

    /// Returns how many parts of a client's query have a value, and how many parts there are.
    pub fn progress(&self, handle: ResponseHandle) -> Option<(usize, usize)> {
        let open = self.open.waited_for_by(handle)?;
        let parts = if open.plan.is_some() { open.parts.len().max(1) } else { open.request.parts.len() };
        Some((open.values().count(), parts))
    }

    /// Returns whether an attempt is in flight.
    pub fn is_in_flight(&self, id: AttemptId) -> bool {
        self.attempts.contains(id)
    }

    /// Returns whether another attempt of the same part is in flight.
    pub fn has_other_attempt(&self, id: AttemptId) -> bool {
        self.attempts.of_part(id.part).any(|(other, _)| other != id)
    }

    /// Returns the client's id of the query and the shard of an attempt in flight.
    pub fn attempt_target(&self, id: AttemptId) -> Option<(Rc<str>, ShardId)> {
        let open = self.open.get(self.attempts.get(id)?.query)?;
        let part = open.parts.get(self.open.locate(id.part)?.index)?;
        Some((Rc::clone(&open.request.id), open.request.parts[part.request_index].shard))
    }

    /// Returns a value already received for the query of an attempt. The schemas of further values have to
    /// match it.
    pub fn received_value(&self, id: AttemptId) -> Option<&Value> {
        let open = self.open.get(self.attempts.get(id)?.query)?;
        if open.plan.is_some() {
            return None;
        }
        open.values().next()
    }

    /// Returns whether an attempt belongs to a two-phase query, whose values are strings.
    pub fn is_planned(&self, id: AttemptId) -> bool {
        self.attempts.get(id).is_some_and(|attempt| self.open.is_planned(attempt.query))
    }

    /// Returns the number of entries in each table of the core and the router, by label. Tests check that all
    /// counts return to their baseline.
    pub fn resource_counts(&self) -> BTreeMap<&'static str, usize> {
        let (open, attempts) = (self.open.counts(), self.attempts.counts());
        let own = [
            ("open queries", open.queries),
            ("postponed queries", self.postponed.len()),
            ("request ids", open.request_ids),
            ("response handles", open.response_handles),
            ("parts", open.parts),
            ("open parts", open.open_parts),
            ("planned queries", open.planned),
            ("query deadlines", open.deadlines),
            ("attempts", attempts.attempts),
            ("attempt numbers", attempts.attempt_numbers),
            ("attempt timeouts", attempts.timeouts),
            ("two-phase backends", self.two_phase.as_ref().map_or(0, TwoPhase::known_backends)),
            ("pending events", self.events.len()),
            ("pending actions", self.ready_actions.len()),
        ];
        own.into_iter().chain(ROUTER_RESOURCES.into_iter().zip(self.router.resource_counts())).collect()
    }

    /// Handles the disconnect of a client. It is not answered.
    pub fn client_disconnected(&mut self, handle: ResponseHandle) {
        if self.postponed.remove(handle) {
            return;
        }
        let Some(query) = self.open.remove_waiter(handle) else { return };
        let Some(open) = self.open.get(query) else { return };
        if self.outlives_client(open) {
            return;
        }
        if self.requires_permits(open.request.class) {
            return self.end_without_client(query);
        }
        self.close(query);
        self.events.push(Event::ClientDisconnected(query));
    }

    /// Returns whether a query continues although a client has disconnected. One that requires permits does
    /// once a part may have been executed, since its client may send it again and has to get its outcome, and
    /// while other clients wait.
    fn outlives_client(&self, open: &OpenQuery) -> bool {
        self.requires_permits(open.request.class) && (!open.not_executed() || self.has_client(open))
    }

    /// Returns whether a client waits for a query.
    fn has_client(&self, open: &OpenQuery) -> bool {
        let mut handles = open.coalesced_waiters.iter().chain([&open.response_handle]);
        handles.any(|handle| self.open.is_waiting(*handle))
    }

    /// Ends a query that is proved not executed and that no client waits for: nothing of it may begin any more. Its
    /// outcome is replicated if an attempt has asked for a permit.
    fn end_without_client(&mut self, query: QueryId) {
        let Some(open) = self.open.get(query) else { return };
        if !open.not_executed() || self.has_client(open) {
            return;
        }
        let was_attempted = open.parts.iter().any(|part| self.attempts.was_attempted(part.part));
        let rejected = self.reject(true);
        let action = self.finish(query, rejected);
        self.ready_actions.extend(action.filter(|_| was_attempted));
        self.events.push(Event::ClientDisconnected(query));
    }

    /// Closes a query without a response because another instance has taken it over. Returns its waiting
    /// clients.
    pub fn release_query(&mut self, id: &str) -> Vec<ResponseHandle> {
        let Some(query) = self.open.find(id) else { return Vec::new() };
        let open = self.close(query);
        self.events.push(Event::ClientDisconnected(query));
        open.map(OpenQuery::into_response_handles).unwrap_or_default()
    }

    /// Evicts a query from exhausted memory: it is rejected if a retry is safe, and fails
    /// otherwise.
    pub fn memory_limit_exceeded(&mut self, query: TableQueryId) {
        let query = QueryId(query.0);
        let Some(open) = self.open.get(query) else { return };
        let not_executed = open.not_executed();
        let response = if not_executed || self.is_idempotent(open.request.class) {
            self.reject(not_executed)
        } else {
            Failure::MemoryExhausted.into()
        };
        let action = self.finish(query, response);
        self.ready_actions.extend(action);
        self.events.push(Event::ClientDisconnected(query));
    }

    /// Handles the end of an attempt. One that is no longer in flight is ignored.
    pub fn attempt_completed(&mut self, now: Micros, id: AttemptId, outcome: Outcome, value: Option<Value>) {
        let Some(attempt) = self.attempts.remove(id) else { return };
        let (outcome, value) = match value {
            Some(value) if !self.reserve_value(attempt.query, &value) => {
                self.memory_limit_exceeded(TableQueryId(attempt.query.0));
                (Outcome::Cancelled, None)
            }
            value => (outcome, value),
        };
        let outcome = self.record_outcome(now, attempt.query, id.part, outcome, value);
        if not_executed(outcome) && self.permits_required {
            self.end_without_client(attempt.query);
        }
        if !self.cancellation && outcome == Outcome::Succeeded {
            self.revoke_unsent(id.part);
        }
        let took = now.saturating_sub(attempt.sent_at);
        self.events.push(Event::AttemptCompleted {
            part: id.part,
            attempt: id.number,
            outcome,
            latency: took,
        });
    }

    /// Reserves the memory of a text received for a query; `false` if there is none. Tables have their own memory.
    fn reserve_value(&mut self, query: QueryId, value: &Value) -> bool {
        let (Value::Text(text), Some(open)) = (value, self.open.get_mut(query)) else { return true };
        open.memory.grow(text.len()).is_ok()
    }

    /// Records an attempt's outcome and value. Returns the outcome, or a backend error if the value is
    /// malformed.
    fn record_outcome(
        &mut self,
        now: Micros,
        query: QueryId,
        part: PartId,
        outcome: Outcome,
        value: Option<Value>,
    ) -> Outcome {
        let index = self.open.locate(part).map(|location| location.index);
        let Some(open) = self.open.get_mut(query) else { return outcome };
        if not_executed(outcome) {
            open.attempt_not_executed(index);
            return outcome;
        }
        if outcome != Outcome::Succeeded {
            return outcome;
        }
        if open.plan.is_none() {
            open.store_value(index, value);
            return outcome;
        }
        match self.plan_part_completed(now, part, value.as_ref()) {
            Ok(()) => outcome,
            Err(error) => {
                tracing::debug!("{error}");
                Outcome::BackendError
            }
        }
    }

    /// Handles the result of a health check.
    pub fn health_check_completed(&mut self, backend: BackendId, passed: bool) {
        self.events.push(Event::HealthCheckCompleted { backend, passed });
    }

    /// Handles a change of the endpoint list, or a failure to get it.
    pub fn endpoint_update(&mut self, update: EndpointUpdate) {
        if let Some(two_phase) = &mut self.two_phase {
            two_phase.endpoint_update(&update, &self.layout);
        }
        self.events.push(Event::EndpointUpdate(update));
    }

    /// Returns when [`Core::run_batch`] has to be called next; `None` if nothing is pending.
    pub fn poll_timeout(&self) -> Option<Micros> {
        if !self.ready_actions.is_empty() {
            return Some(0);
        }
        let timers = [
            self.router_timer,
            self.attempts.poll_timeout(),
            self.open.poll_timeout(),
            self.plan_timeout(),
            self.postponed.poll_timeout(),
            (!self.events.is_empty()).then_some(0),
        ];
        let first = timers.into_iter().flatten().min()?;
        let next_batch = self.last_batch.map_or(0, |last| last + self.batch_interval);
        Some(first.max(next_batch))
    }

    /// Handles due timeouts and passes the events since the last batch to the router. If no batch is due,
    /// returns only the actions that were added since the last call.
    pub fn run_batch(&mut self, now: Micros) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.ready_actions);
        if self.poll_timeout().is_none_or(|due| due > now) {
            return actions;
        }
        self.last_batch = Some(now);
        self.submit_postponed(now);
        self.handle_plan_timeouts(now);
        self.handle_attempt_timeouts(now, &mut actions);
        self.handle_router_timer(now);
        let mut router_actions = Vec::new();
        self.router.handle(now, std::mem::take(&mut self.events), &mut router_actions);
        let mut batch = BatchActions::default();
        for action in router_actions {
            self.apply(now, action, &mut batch);
        }
        self.fail_expired(now, &mut batch.other_actions);
        // Actions that plans added in this batch are part of it.
        actions.append(&mut self.ready_actions);
        batch.append_to(&mut actions);
        actions
    }

    fn handle_attempt_timeouts(&mut self, now: Micros, actions: &mut Vec<Action>) {
        while let Some(id) = self.attempts.pop_timed_out(now) {
            if let Some(attempt) = self.attempts.get(id) {
                actions.push(Action::CancelAttempt(attempt.backend, id));
                self.attempt_completed(now, id, Outcome::TimedOut, None);
            }
        }
    }

    fn handle_router_timer(&mut self, now: Micros) {
        if self.router_timer.is_some_and(|at| at <= now) {
            self.router_timer = None;
            self.events.push(Event::TimerExpired);
        }
    }

    /// Answers queries at their deadline, as a safeguard: the router normally ends each query before that.
    fn fail_expired(&mut self, now: Micros, actions: &mut Vec<Action>) {
        while let Some(query) = self.open.pop_expired(now) {
            let id = self.open.get(query).map(|open| &*open.request.id);
            tracing::error!(query = id, "query reached its deadline without a decision of the router");
            actions.extend(self.finish(query, Failure::DeadlineExceeded.into()));
            self.events.push(Event::ClientDisconnected(query));
        }
    }

    /// Revokes the attempts of a part that still wait for a permit, a connection or capacity on one.
    pub(crate) fn revoke_unsent(&mut self, part: PartId) {
        let attempts = self.attempts.of_part(part);
        self.ready_actions.extend(attempts.map(|(id, attempt)| Action::RevokeUnsent(attempt.backend, id)));
    }

    /// Closes a query with its final response.
    pub(crate) fn finish(&mut self, query: QueryId, response: QueryResponse) -> Option<Action> {
        let open = self.close(query)?;
        if !self.requires_permits(open.request.class) {
            return Some(Action::Respond(open.response_handle, response));
        }
        let possibly_executed = !open.not_executed();
        Some(Action::ReplicateOutcome(Box::new(CompletedQuery {
            request: open.request,
            deadline: open.deadline,
            response_handles: all_handles(open.response_handle, open.coalesced_waiters),
            response,
            possibly_executed,
        })))
    }

    pub(crate) fn close(&mut self, query: QueryId) -> Option<OpenQuery> {
        let open = self.open.remove(query)?;
        if self.must_not_repeat(open.request.class) && !open.not_executed() {
            self.executed_requests.record(&open.request.id, open.deadline);
        }
        for part in &open.parts {
            self.attempts.close_part(part.part);
        }
        if !self.cancellation {
            // Without cancellation the router cancels nothing, but attempts that were not sent can still be
            // revoked.
            open.parts.iter().for_each(|part| self.revoke_unsent(part.part));
        }
        Some(open)
    }
}
