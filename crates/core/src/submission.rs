//! Submission of requests: a query is opened, coalesced with the open query of the same id, or rejected.

use mallowgauge_router::{Event, Micros, PartArrival, PartId, QueryArrival, QueryId};

use crate::core::Core;
use crate::open_queries::{OpenQuery, PartKind};
use crate::postponed::{postponable_until, ClientId, Postponed};
use crate::query::{Action, CompletedQuery, Failure, QueryRequest, QueryResponse, ResponseHandle};
use crate::validation::{validate_parts, validate_plan, ValidationError};

/// Maximum number of coalesced waiters of one query.
const MAX_COALESCED_WAITERS: usize = 16;

impl Core {
    /// Opens a query. Its final response follows as [`Action::Respond`] or [`Action::ReplicateOutcome`].
    ///
    /// # Errors
    /// Returns the final response at once if the query does not reach the router.
    pub fn submit(
        &mut self,
        now: Micros,
        handle: ResponseHandle,
        request: QueryRequest,
    ) -> Result<(), QueryResponse> {
        self.submit_for(now, ClientId::from(handle), handle, request)
    }

    /// Opens a query of a client that may have several. Its final response follows as with [`Core::submit`].
    ///
    /// # Errors
    /// As [`Core::submit`].
    pub fn submit_for(
        &mut self,
        now: Micros,
        client: ClientId,
        handle: ResponseHandle,
        mut request: QueryRequest,
    ) -> Result<(), QueryResponse> {
        // A query must not stay open for longer than its class allows, whatever time the client sets.
        request.expires_in = request.expires_in.min(self.deadline(request.class));
        validate_parts(&request.parts, self.limits.shards)?;
        if request.expires_in == 0 {
            return Err(Failure::DeadlineExceeded.into());
        }
        if let Some(query) = self.open.find(&request.id) {
            return self.coalesce(query, handle, &request);
        }
        if self.postponed.has_id(&request.id) {
            return Err(ValidationError::IdInUse.into());
        }
        if self.must_not_repeat(request.class) && self.executed_requests.contains(now, &request.id) {
            return Err(ValidationError::MayHaveBeenExecuted.into());
        }
        let time_to_respond = self.answer_deadline.map_or(Micros::MAX, |by| by.saturating_sub(now));
        request.expires_in = request.expires_in.min(time_to_respond);
        let mut memory = self.client_memory.query();
        if time_to_respond == 0 || memory.resize(request.bytes()).is_err() || self.must_yield(client) {
            return self.reject_unopened(now, handle, request);
        }
        let full = self.is_full(&request);
        let postponable = full && request.plan.is_none() && self.may_postpone_beside(client);
        if full && !postponable {
            return self.reject_unopened(now, handle, request);
        }
        if let Some(plan) = &request.plan {
            if self.two_phase.is_none() {
                return Err(ValidationError::TwoPhaseDisabled.into());
            }
            validate_plan(&plan.spec)?;
        }
        let submitted = Postponed {
            client,
            response_handle: handle,
            deadline: now.saturating_add(request.expires_in),
            postponable_until: postponable_until(now, request.expires_in),
            request,
            memory,
            submit_at: now,
        };
        if postponable {
            self.postponed.push(now, submitted);
        } else {
            self.open_query(now, submitted);
        }
        Ok(())
    }

    /// Returns whether a client with many open queries has to start none, because queries of others wait.
    pub fn must_yield(&self, client: ClientId) -> bool {
        self.postponed.has_other_than(client) && self.open.shares().is_dominant(client)
    }

    fn may_postpone_beside(&self, client: ClientId) -> bool {
        !self.postponed.is_full()
            && !self.open.shares().is_dominant(client)
            && self.open.shares().is_another_dominant(client)
    }

    /// Postpones a query that the router rejects, if that is for another client's sake. Returns whether it did.
    pub(crate) fn postpone(&mut self, now: Micros, query: QueryId) -> bool {
        let Some(open) = self.open.get(query) else { return false };
        let is_unshared = open.coalesced_waiters.is_empty() && self.open.is_waiting(open.response_handle);
        let is_untouched = open.parts.iter().all(|part| !self.attempts.was_attempted(part.part));
        let may_wait = open.request.plan.is_none() && now < open.postponable_until;
        if !(is_unshared && is_untouched && may_wait && self.may_postpone_beside(open.client)) {
            return false;
        }
        let Some(open) = self.close(query) else { return false };
        let postponed = Postponed {
            client: open.client,
            response_handle: open.response_handle,
            request: open.request,
            deadline: open.deadline,
            postponable_until: open.postponable_until,
            memory: open.memory,
            submit_at: now,
        };
        self.postponed.push(now, postponed);
        true
    }

    /// Submits the postponed queries that are due. One that finds no place in time is rejected.
    pub(crate) fn submit_postponed(&mut self, now: Micros) {
        while let Some(mut query) = self.postponed.pop_due(now) {
            query.request.expires_in = query.deadline.saturating_sub(now);
            if !self.is_full(&query.request) {
                self.open_query(now, query);
            } else if now < query.postponable_until {
                self.postponed.push(now, query);
            } else {
                let handle = query.response_handle;
                if let Err(response) = self.reject_unopened(now, handle, query.request) {
                    self.ready_actions.push(Action::Respond(handle, response));
                }
            }
        }
    }

    /// Handles a client that sends an open query again, perhaps because it lost its connection. If the query
    /// requires permits, the client waits for the same outcome, because it must not be executed twice.
    fn coalesce(
        &mut self,
        query: QueryId,
        handle: ResponseHandle,
        request: &QueryRequest,
    ) -> Result<(), QueryResponse> {
        if !self.requires_permits(request.class) {
            return Err(ValidationError::IdInUse.into());
        }
        let Some(open) = self.open.get(query) else { return Err(ValidationError::IdInUse.into()) };
        let known = &open.request;
        if (known.class, &known.body, &known.parts) != (request.class, &request.body, &request.parts) {
            return Err(ValidationError::IdInUseWithDifferentBody.into());
        }
        if open.coalesced_waiters.len() >= MAX_COALESCED_WAITERS {
            return Err(self.reject(false));
        }
        self.open.add_waiter(query, handle);
        Ok(())
    }

    /// Returns whether this request would exceed the limit on open queries and parts.
    fn is_full(&self, request: &QueryRequest) -> bool {
        self.open.open_work() + self.postponed.work() + 1 + request.parts.len() > self.limits.max_open
    }

    /// Rejects a query of which this instance has sent nothing.
    fn reject_unopened(
        &mut self,
        now: Micros,
        handle: ResponseHandle,
        request: QueryRequest,
    ) -> Result<(), QueryResponse> {
        let response = self.reject(true);
        if !(request.retry && self.requires_permits(request.class)) {
            return Err(response);
        }
        // An earlier attempt, perhaps at another instance, may have been executed; the replicated records show it.
        self.ready_actions.push(Action::ReplicateOutcome(Box::new(CompletedQuery {
            deadline: now.saturating_add(request.expires_in),
            request,
            response_handles: vec![handle],
            response,
            possibly_executed: false,
        })));
        Ok(())
    }

    fn open_query(&mut self, now: Micros, submitted: Postponed) {
        let request = &submitted.request;
        let query = QueryId(self.next_query_id());
        let planned = request.plan.is_some();
        self.events.push(Event::QueryArrived(QueryArrival {
            query,
            class: request.class,
            expires_in: request.expires_in,
            work_hint: request.work_hint,
            retry: request.retry,
            planned,
        }));
        let parts = request.parts.len();
        self.open.insert(query, OpenQuery::new(submitted));
        if planned {
            self.start_plan(now, query);
        } else {
            self.add_parts(query, 0..parts, PartKind::Query);
        }
    }

    fn next_query_id(&mut self) -> u128 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    /// Passes a part to the router for each of these parts of a request.
    pub(crate) fn add_parts(
        &mut self,
        query: QueryId,
        request_indices: impl Iterator<Item = usize>,
        kind: PartKind,
    ) {
        let (next_id, events) = (&mut self.next_id, &mut self.events);
        self.open.insert_parts(query, request_indices, kind, |requested| {
            let part = PartId(*next_id);
            *next_id += 1;
            events.push(Event::PartArrived(PartArrival {
                query,
                part,
                shard: requested.shard,
                weight: requested.weight,
                idempotent: kind == PartKind::Scout,
            }));
            part
        });
    }
}
