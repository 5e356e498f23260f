//! Connects the core, which runs non-idempotent queries, with the cluster, which permits their attempts and records
//! their outcomes. Permits are decided in `mallowgauge_cluster::register` and takeovers in
//! `mallowgauge_cluster::takeover`; this module turns the decisions into responses to waiting clients.

pub mod records;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use mallowgauge_cluster::takeover::{Action, ClientRequest, QueryEnd, RequestState};
use mallowgauge_core::{
    AttemptId, AttemptRequest, CompletedQuery, Core, Failure, QueryRequest, QueryResponse, ResponseHandle,
    ValidationError,
};
use mallowgauge_router::{BackendId, Micros, Outcome};

use crate::peers::Peers;
use records::{decode_request, decode_response, encode_request, query_end, request_digest};

/// Identifies an attempt of a query's part.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptKey {
    query: Rc<str>,
    part: u32,
    attempt: u32,
}

/// An attempt that awaits its permit.
struct PendingAttempt {
    backend: BackendId,
    request: AttemptRequest,
}

/// Tracks the queries and attempts that await a decision of the cluster.
#[derive(Default)]
pub struct TakeoverAdapter {
    pending: BTreeMap<AttemptKey, PendingAttempt>,
    /// Clients that wait for a query's outcome after the core has released the query.
    waiting: BTreeMap<Rc<str>, Vec<ResponseHandle>>,
    /// The number of queries taken over so far.
    taken_over: u64,
}

/// Work for the server that results from a decision.
pub enum Task {
    /// Send a permitted attempt.
    Send(BackendId, AttemptRequest),
    /// Answer a client.
    Reply(ResponseHandle, QueryResponse),
}

fn reply_to_all(handles: Vec<ResponseHandle>, response: &QueryResponse) -> Vec<Task> {
    handles.into_iter().map(|handle| Task::Reply(handle, response.clone())).collect()
}

/// The response for the clients of a query with this outcome.
fn response_for(end: &QueryEnd, core: &mut Core) -> QueryResponse {
    match end {
        QueryEnd::Answered(bytes) => {
            decode_response(bytes).unwrap_or(QueryResponse::Failed(Failure::PartsFailed))
        }
        QueryEnd::PossiblyExecuted => QueryResponse::Failed(Failure::PartsFailed),
        QueryEnd::NotExecuted => rejected(core),
    }
}

fn rejected(core: &mut Core) -> QueryResponse {
    QueryResponse::Rejected { retry_after: core.retry_after(), not_executed: true }
}

impl TakeoverAdapter {
    /// Requests a permit for an attempt that the core is about to send. If the query is owned by another instance, or
    /// cannot be stored, the core releases it instead.
    pub fn request_permit(
        &mut self,
        now: Micros,
        backend: BackendId,
        request: AttemptRequest,
        core: &mut Core,
        peers: &mut Peers,
    ) -> Vec<Task> {
        let Some((query, time_left)) = core.open_request(now, &request.request_id) else { return Vec::new() };
        let state = peers.with_takeover_manager(now, |manager| manager.request_state(&request.request_id));
        if state == Some(RequestState::AwaitingOutcome) {
            // The query was resubmitted here while it is being taken over, or while another instance determines its
            // outcome.
            let handles = core.release_query(&request.request_id);
            self.await_outcome(now, &request.request_id, now + time_left, handles, peers);
            return Vec::new();
        }
        let (payload, is_first_attempt) = (encode_request(query, time_left), !query.retry);
        if payload.len() > peers.max_record_bytes() {
            let failed = QueryResponse::Failed(Failure::Invalid(ValidationError::TooLargeToReplicate));
            return reply_to_all(core.release_query(&request.request_id), &failed);
        }
        let (part, attempt) = (request.shard.0, request.attempt.number);
        let id = Arc::from(&*request.request_id);
        let key = AttemptKey { query: Rc::clone(&request.request_id), part, attempt };
        self.pending.insert(key, PendingAttempt { backend, request });
        let client_request =
            ClientRequest { id: &id, payload: &payload, deadline: now + time_left, is_first_attempt };
        peers
            .with_takeover_manager(now, |manager| manager.request_permit(now, client_request, part, attempt));
        Vec::new()
    }

    /// Cancels an attempt that awaits its permit. Returns `false` if the attempt awaits none.
    pub fn cancel_unsent(&mut self, now: Micros, attempt: AttemptId, peers: &mut Peers) -> bool {
        let found = self.pending.iter().find(|(_, pending)| pending.request.attempt == attempt);
        let Some(key) = found.map(|(key, _)| key.clone()) else { return false };
        self.pending.remove(&key);
        peers.with_takeover_manager(now, |manager| {
            manager.mark_not_executed(&key.query, key.part, key.attempt);
        });
        true
    }

    /// Records that an attempt was not executed, as its outcome proves.
    pub fn attempt_not_executed(&mut self, now: Micros, attempt: AttemptId, core: &Core, peers: &mut Peers) {
        if let Some((id, shard)) = core.attempt_target(attempt) {
            peers.with_takeover_manager(now, |manager| {
                manager.mark_not_executed(&id, shard.0, attempt.number);
            });
        }
    }

    /// Records the outcome of a non-idempotent query that has ended in the core. Its clients are answered once the
    /// outcome is recorded, or at once if no attempt requested a permit and no other instance can have seen the query.
    pub fn replicate_outcome(
        &mut self,
        now: Micros,
        completed: CompletedQuery,
        peers: &mut Peers,
    ) -> Vec<Task> {
        let CompletedQuery { request, deadline, response_handles, response, possibly_executed } = completed;
        self.drop_pending(&request.id);
        let state = peers
            .with_takeover_manager(now, |manager| manager.request_state(&request.id))
            .unwrap_or(RequestState::Unknown);
        let is_final =
            matches!(response, QueryResponse::Completed { .. } | QueryResponse::Failed(Failure::Invalid(_)));
        // A resubmitted query may have been executed by another instance, regardless of the outcome here.
        let possibly_executed_elsewhere = request.retry && !is_final;
        if state == RequestState::Unknown && !possibly_executed_elsewhere {
            return reply_to_all(response_handles, &response);
        }
        match state {
            RequestState::Running => {
                self.await_outcome(now, &request.id, deadline, response_handles, peers);
                let end = query_end(&response, possibly_executed, peers.max_record_bytes());
                let id = Arc::from(&*request.id);
                peers.with_takeover_manager(now, |manager| manager.query_ended(now, &id, end));
            }
            RequestState::Unknown => {
                let is_taken_over = |handle: &ResponseHandle| matches!(handle, ResponseHandle::TakenOver(_));
                if !response_handles.iter().all(is_taken_over) {
                    Self::reject(now, &request, deadline, peers);
                }
                self.await_outcome(now, &request.id, deadline, response_handles, peers);
            }
            RequestState::AwaitingOutcome => {
                self.await_outcome(now, &request.id, deadline, response_handles, peers);
            }
        }
        Vec::new()
    }

    /// Makes the cluster record that a query is not executed. The record holds only the query's digest, because no
    /// instance will run the query; so its size does not matter.
    fn reject(now: Micros, request: &QueryRequest, deadline: Micros, peers: &mut Peers) {
        let (id, payload) = (Arc::from(&*request.id), request_digest(request).into());
        let client_request = ClientRequest { id: &id, payload: &payload, deadline, is_first_attempt: false };
        peers.with_takeover_manager(now, |manager| manager.reject(now, client_request));
    }

    /// Registers clients that wait for a query's outcome. A query that was taken over has no client here.
    fn await_outcome(
        &mut self,
        now: Micros,
        id: &Rc<str>,
        deadline: Micros,
        handles: Vec<ResponseHandle>,
        peers: &mut Peers,
    ) {
        let clients = handles.into_iter().filter(|handle| !matches!(handle, ResponseHandle::TakenOver(_)));
        let clients: Vec<ResponseHandle> = clients.collect();
        if !clients.is_empty() {
            self.waiting.entry(Rc::clone(id)).or_default().extend(clients);
            peers.with_takeover_manager(now, |manager| manager.await_outcome(id, deadline));
        }
    }

    fn drop_pending(&mut self, id: &str) {
        self.pending.retain(|key, _| &*key.query != id);
    }

    /// Handles a decision of the cluster.
    pub fn handle_action(
        &mut self,
        now: Micros,
        action: Action,
        core: &mut Core,
        peers: &mut Peers,
    ) -> Vec<Task> {
        match action {
            Action::PermitDecided { id, part, attempt, granted } => {
                let key = AttemptKey { query: Rc::from(&*id), part, attempt };
                self.permit_decided(now, &key, granted, core, peers).into_iter().collect()
            }
            Action::QueryEnded { id, end } => {
                let handles = self.release_clients(&id, core);
                let response = response_for(&end, core);
                reply_to_all(handles, &response)
            }
            Action::OwnedByPeer { id } => {
                let handles = core.release_query(&id);
                self.drop_pending(&id);
                self.waiting.entry(Rc::from(&*id)).or_default().extend(handles);
                Vec::new()
            }
            Action::RequestIdConflict { id } => {
                let failed =
                    QueryResponse::Failed(Failure::Invalid(ValidationError::IdReplicatedWithDifferentBody));
                reply_to_all(self.release_clients(&id, core), &failed)
            }
            Action::OutcomeUnknown { id, not_executed } => {
                let response = if not_executed {
                    rejected(core)
                } else {
                    QueryResponse::Failed(Failure::DeadlineExceeded)
                };
                reply_to_all(self.release_clients(&id, core), &response)
            }
            Action::TakeOver { id, payload, age } => {
                if !self.run_taken_over(now, &id, &payload, age, core) {
                    peers.with_takeover_manager(now, |manager| {
                        manager.query_ended(now, &id, QueryEnd::NotExecuted);
                    });
                }
                Vec::new()
            }
            Action::Send { .. } => Vec::new(),
        }
    }

    /// Sends a permitted attempt, unless it was cancelled meanwhile.
    fn permit_decided(
        &mut self,
        now: Micros,
        key: &AttemptKey,
        granted: bool,
        core: &mut Core,
        peers: &mut Peers,
    ) -> Option<Task> {
        let PendingAttempt { backend, request } = self.pending.remove(key)?;
        if !granted {
            core.attempt_completed(now, request.attempt, Outcome::NotSent, None);
            return None;
        }
        if core.is_in_flight(request.attempt) {
            return Some(Task::Send(backend, request));
        }
        peers.with_takeover_manager(now, |manager| {
            manager.mark_not_executed(&key.query, key.part, key.attempt);
        });
        None
    }

    /// Submits a query that was taken over to the core. Returns `false` if it cannot be run here.
    fn run_taken_over(
        &mut self,
        now: Micros,
        id: &str,
        payload: &[u8],
        age: Micros,
        core: &mut Core,
    ) -> bool {
        self.taken_over += 1;
        let handle = ResponseHandle::TakenOver(self.taken_over);
        let Some(request) = decode_request(id, payload, age) else { return false };
        request.class.0 < core.classes().count() && core.submit(now, handle, request).is_ok()
    }

    /// Removes and returns all clients of this instance that wait for a query.
    fn release_clients(&mut self, id: &str, core: &mut Core) -> Vec<ResponseHandle> {
        self.drop_pending(id);
        let mut handles = self.waiting.remove(id).unwrap_or_default();
        handles.extend(core.release_query(id));
        handles
    }
}
