//! Submission of requests: a query is opened, coalesced with the open query of the same id, or rejected.

use mallowgauge_router::{Event, Micros, PartArrival, PartId, QueryArrival, QueryId};

use crate::client_memory::ClientMemoryUse;
use crate::core::Core;
use crate::open_queries::{OpenQuery, PartKind};
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
        if self.must_not_repeat(request.class) && self.executed_requests.contains(now, &request.id) {
            return Err(ValidationError::MayHaveBeenExecuted.into());
        }
        let time_to_respond = self.answer_deadline.map_or(Micros::MAX, |by| by.saturating_sub(now));
        request.expires_in = request.expires_in.min(time_to_respond);
        let mut memory = self.client_memory.query();
        if time_to_respond == 0 || self.is_full(&request) || memory.resize(request.bytes()).is_err() {
            return self.reject_unopened(now, handle, request);
        }
        if let Some(plan) = &request.plan {
            if self.two_phase.is_none() {
                return Err(ValidationError::TwoPhaseDisabled.into());
            }
            validate_plan(&plan.spec)?;
        }
        self.open_query(now, handle, request, memory);
        Ok(())
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
        self.open.open_work() + 1 + request.parts.len() > self.limits.max_open
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

    fn open_query(
        &mut self,
        now: Micros,
        handle: ResponseHandle,
        request: QueryRequest,
        memory: ClientMemoryUse,
    ) {
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
        let deadline = now.saturating_add(request.expires_in);
        self.open.insert(query, OpenQuery::new(handle, request, deadline, memory));
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
