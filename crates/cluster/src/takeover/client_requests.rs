//! The calls of the program on behalf of this process's clients.

use std::sync::Arc;

use super::actions::{Action, ClientRequest};
use super::manager::TakeoverManager;
use super::outcome::QueryEnd;
use super::query_state::{PendingPermit, QueryState, PERMIT_TIMEOUT};
use crate::fault_injection::{self, Bug};
use crate::register::{AttemptRef, OpenedAt, Proposer, QueryId};
use crate::Micros;

impl TakeoverManager {
    /// Opens a query for a client here, unless this process already has state for it.
    fn open(&mut self, now: Micros, request: ClientRequest) {
        let ClientRequest { id, payload, deadline, is_first_attempt } = request;
        if self.queries.get(id).is_some() {
            return;
        }
        let ballot = self.next_ballot(0);
        let acceptors = self.acceptors_for(id);
        let known = acceptors.iter().filter_map(|peer| Some((*peer, *self.incarnations.get(peer)?)));
        let opened_at = OpenedAt { incarnations: known.collect(), epochs: self.epochs.clone() };
        let proposer = Proposer::open(Arc::clone(id), ballot, acceptors, opened_at, Arc::clone(payload));
        let query = QueryState {
            has_local_clients: true,
            is_running: true,
            is_first_attempt,
            ..QueryState::new(now, proposer, Arc::clone(payload), deadline)
        };
        self.queries.insert(id, query);
    }

    /// Requests the permit to send an attempt. [`Action::PermitDecided`] reports the decision.
    pub fn request_permit(&mut self, now: Micros, request: ClientRequest, part: u32, attempt: u32) {
        self.open(now, request);
        let id = request.id;
        let Some(query) = self.queries.get_mut(id) else { return };
        // A permit after the query has ended here would contradict the outcome that is proposed.
        let proposer = query.proposer.as_mut().filter(|_| query.end.is_none());
        let Some(intent) = proposer.and_then(|proposer| proposer.propose_intent(part, attempt)) else {
            let denied = Action::PermitDecided { id: Arc::clone(id), part, attempt, granted: false };
            self.actions.push(denied);
            return;
        };
        query.pending_permits.push(PendingPermit { intent, since: now });
        self.send_requests(now, id);
        self.advance(now, id);
    }

    /// Handles a rejected query that its client had submitted before, and for which nothing was sent here.
    /// The client may get the response that nothing was executed only once no other instance can execute it. So
    /// `NotExecuted` is proposed as the outcome, and whichever outcome is chosen is reported. If no majority
    /// is reached within `PERMIT_TIMEOUT`, the outcome is reported as unknown.
    pub fn reject(&mut self, now: Micros, request: ClientRequest) {
        self.open(now, request);
        let Some(query) = self.queries.get_mut(request.id) else { return };
        query.reject_deadline.get_or_insert(now + PERMIT_TIMEOUT);
        query.end.get_or_insert(QueryEnd::NotExecuted);
        self.send_requests(now, request.id);
        self.advance(now, request.id);
    }

    /// Adds a client here that waits for a query's outcome until `deadline`. Returns `false` if this process
    /// has no state for the query.
    pub fn await_outcome(&mut self, id: &str, deadline: Micros) -> bool {
        let Some(query) = self.queries.get_mut(&Arc::from(id)) else { return false };
        query.has_local_clients = true;
        query.deadline = query.deadline.max(deadline);
        true
    }

    /// Marks an attempt, permitted or waiting for its permit, that was not executed and will not be sent.
    pub fn mark_not_executed(&mut self, id: &str, part: u32, attempt: u32) {
        let Some(query) = self.queries.get_mut(&Arc::from(id)) else { return };
        query.any_revoked = true;
        query.pending_permits.retain(|permit| (permit.intent.part, permit.intent.attempt) != (part, attempt));
        if let Some(proposer) = &mut query.proposer {
            let ballot = proposer.ballot();
            proposer.mark_not_executed(AttemptRef { part, attempt, ballot });
        }
    }

    /// Handles the end of a query that ran here. [`Action::QueryEnded`] reports which outcome was chosen.
    pub fn query_ended(&mut self, now: Micros, id: &QueryId, end: QueryEnd) {
        let Some(query) = self.queries.get_mut(id) else { return };
        query.pending_permits.clear();
        if fault_injection::is_injected(Bug::RespondBeforeRecord) && query.has_local_clients {
            self.actions.push(Action::QueryEnded { id: Arc::clone(id), end: end.clone() });
        }
        query.end = Some(end);
        self.advance(now, id);
    }
}
