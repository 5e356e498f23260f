//! The proposer side: sends the requests of proposers and handles the replies.

use std::sync::Arc;

use super::actions::Action;
use super::manager::TakeoverManager;
use super::messages::Message;
use super::outcome::QueryEnd;
use super::query_state::OUTCOME_POLL_INTERVAL;
use crate::fault_injection::{self, Bug};
use crate::register::{
    payload_digest, AbstainReason, AcceptorReply, Proposer, ProposerPhase, ProposerRequest, QueryId, Record,
};
use crate::{Micros, PeerId};

/// Limit on queries that are run here after a takeover at the same time; others wait.
const CONCURRENT_TAKEOVERS: usize = 32;

impl TakeoverManager {
    /// Sends the proposer's requests to the pending acceptors.
    pub(super) fn send_requests(&mut self, now: Micros, id: &QueryId) {
        let Some(query) = self.queries.get_mut(id) else { return };
        query.schedule_resend(now);
        let Some(proposer) = &query.proposer else { return };
        let (phase, version) = (proposer.phase(), proposer.version());
        let mut pending = proposer.pending_acceptors();
        let is_first = query.sending_version(version);
        let Some(proposer) = &query.proposer else { return };
        if is_first && phase == ProposerPhase::Active {
            // The first time, only a majority gets the request: further replies would only be a cost to both
            // sides. Advice chooses which majority. A resend goes to all pending acceptors.
            let (me, unavailable) = (self.config.me, &self.unavailable);
            pending
                .sort_by_key(|peer| (unavailable.contains(peer), !proposer.has_accepted(*peer), *peer != me));
            pending.truncate(self.config.group_size / 2 + 1);
        }
        let requests: Vec<(PeerId, ProposerRequest)> =
            pending.into_iter().filter_map(|to| Some((to, proposer.request_for(to)?))).collect();
        for (to, request) in requests {
            self.send(now, to, Message::Request(request));
        }
    }

    /// Handles an acceptor's reply to this process as a proposer.
    pub(super) fn handle_reply(&mut self, now: Micros, from: PeerId, reply: AcceptorReply) {
        let id = Arc::clone(reply.id());
        if let AcceptorReply::RecordRead { record, .. } = reply {
            return self.handle_record_read(now, from, &id, record);
        }
        let Some(query) = self.queries.get_mut(&id) else { return };
        let Some(proposer) = &mut query.proposer else { return };
        let stale = matches!(reply, AcceptorReply::Abstained { reason: AbstainReason::StaleIncarnation, .. });
        if let Some(record) = proposer.handle_reply(from, reply) {
            return self.fenced(now, &id, &record);
        }
        let lacks_quorum = proposer.lacks_quorum();
        if stale && lacks_quorum {
            return self.retry_with_higher_ballot(now, &id);
        }
        // No majority is left even after a resend: the permits are abandoned at once, without waiting for
        // their timeout.
        if lacks_quorum && query.resends > 0 && !query.pending_permits.is_empty() {
            return self.abandon_permits(now, &id);
        }
        self.advance(now, &id);
    }

    /// Handles the fencing of this process's ballot by another one: nothing more is done under it.
    fn fenced(&mut self, now: Micros, id: &QueryId, record: &Record) {
        let Some(query) = self.queries.get_mut(id) else { return };
        let permits = std::mem::take(&mut query.pending_permits);
        let Some(mut proposer) = query.proposer.take() else { return };
        let last_requests = proposer.relinquish(permits.iter().map(|permit| permit.intent));
        (query.resend_at, query.resends) = (now + OUTCOME_POLL_INTERVAL, 0);
        let (has_local_clients, payload) = (query.has_local_clients, Arc::clone(&query.payload));
        if fault_injection::is_injected(Bug::SendAfterFencing) {
            permits.iter().for_each(|permit| self.decide_permit(id, *permit, true));
        }
        self.deny_permits(id, permits);
        for (to, request) in last_requests {
            self.send(now, to, Message::Request(request));
        }
        let (ours, theirs) = (payload_digest(&payload), payload_digest(&record.payload));
        if !has_local_clients {
            // The owner of the other ballot ends the query.
            self.queries.remove(id);
        } else if !ours.is_empty() && !theirs.is_empty() && ours != theirs {
            self.queries.remove(id);
            self.actions.push(Action::RequestIdConflict { id: Arc::clone(id) });
        } else {
            self.actions.push(Action::OwnedByPeer { id: Arc::clone(id) });
            self.learn_outcome(now, id, record);
        }
    }

    /// Abandons the pending permits. Acceptors that accepted the intents keep them, and a takeover counts
    /// them as possibly executed.
    pub(super) fn abandon_permits(&mut self, now: Micros, id: &QueryId) {
        let Some(query) = self.queries.get_mut(id) else { return };
        let permits = std::mem::take(&mut query.pending_permits);
        let not_executed = query.is_certainly_not_executed();
        let is_accepted_anywhere = query.proposer.as_ref().is_none_or(Proposer::is_accepted_anywhere);
        // The outcome is still recorded once a majority can be reached.
        let end = if query.any_permitted { QueryEnd::PossiblyExecuted } else { QueryEnd::NotExecuted };
        query.end.get_or_insert(end);
        if not_executed && !is_accepted_anywhere {
            // No acceptor knows of the query, so there is nothing to record, and resending hundreds of such
            // queries is avoided.
            self.queries.remove(id);
        }
        self.deny_permits(id, permits);
        self.actions.push(Action::OutcomeUnknown { id: Arc::clone(id), not_executed });
        self.advance(now, id);
    }

    /// Prepares a higher ballot after an acceptor that the proposal relied on has restarted: the current
    /// ballot can get no majority any more.
    fn retry_with_higher_ballot(&mut self, now: Micros, id: &QueryId) {
        let former = self.queries.get(id).and_then(|query| query.proposer.as_ref());
        let Some((former, opened_at)) = former.map(|former| (former.ballot(), former.opened_at().clone()))
        else {
            return;
        };
        let ballot = self.next_ballot(former.round + 1);
        let acceptors = self.acceptors_for(id);
        let Some(query) = self.queries.get_mut(id) else { return };
        let mut proposer = Proposer::prepare(Arc::clone(id), ballot, acceptors, opened_at);
        let permits = std::mem::take(&mut query.pending_permits);
        // Attempts that waited for a permit were not sent and will not be. Attempts that replace them may be.
        proposer.inherit_not_executed(permits.iter().map(|permit| permit.intent));
        query.any_revoked |= !permits.is_empty();
        query.proposer = Some(proposer);
        self.deny_permits(id, permits);
        self.send_requests(now, id);
    }

    /// Takes all steps that the replies so far allow: grants permits, proposes the outcome, runs the query or
    /// ends it.
    pub(super) fn advance(&mut self, now: Micros, id: &QueryId) {
        let needs_run = self.queries.get(id).is_some_and(|query| query.needs_run());
        let has_capacity = !(needs_run && self.queries.has_taken_over(CONCURRENT_TAKEOVERS));
        let Some(query) = self.queries.get_mut(id) else { return };
        if !query.is_active() {
            return;
        }
        let granted = query.take_granted_permits();
        if query.propose_known_outcome() && has_capacity {
            self.run_here(now, id);
        }
        for permit in granted {
            self.decide_permit(id, permit, true);
        }
        let Some(query) = self.queries.get(id) else { return };
        let Some(proposer) = &query.proposer else { return };
        let (chosen, is_new_version) =
            (proposer.chosen_outcome().cloned(), proposer.version() != query.sent_version);
        match chosen {
            Some(outcome) => {
                if query.has_local_clients {
                    let end = QueryEnd::from_bytes(&outcome);
                    self.actions.push(Action::QueryEnded { id: Arc::clone(id), end });
                }
                self.queries.remove(id);
                self.announce_outcome(now, id, &outcome);
            }
            None if is_new_version => self.send_requests(now, id),
            None => {}
        }
    }

    /// Requests that the caller runs a query that was taken over and of which no attempt was executed.
    fn run_here(&mut self, now: Micros, id: &QueryId) {
        let first_seen = self.candidates.first_seen(id).unwrap_or(now);
        let Some(query) = self.queries.get_mut(id) else { return };
        let Some(proposer) = &query.proposer else { return };
        query.is_running = true;
        query.payload = Arc::clone(proposer.payload());
        let payload = Arc::clone(&query.payload);
        let age = now.saturating_sub(first_seen);
        self.actions.push(Action::TakeOver { id: Arc::clone(id), payload, age });
    }

    /// Ends a query whose outcome is awaited here, if an acceptor's record has the chosen outcome.
    pub(super) fn learn_outcome(&mut self, now: Micros, id: &QueryId, record: &Record) {
        let Some(recorded) = record.outcome.as_ref().filter(|_| record.chosen) else { return };
        self.queries.remove(id);
        let end = QueryEnd::from_bytes(&recorded.outcome);
        self.actions.push(Action::QueryEnded { id: Arc::clone(id), end });
        // This closes the remaining records of the query, here and where this process's own ballot was
        // accepted.
        self.announce_outcome(now, id, &recorded.outcome);
    }

    /// Sends the chosen outcome to the acceptors.
    fn announce_outcome(&mut self, now: Micros, id: &QueryId, outcome: &Arc<[u8]>) {
        self.send_to_acceptors(now, id, || ProposerRequest::Chosen {
            id: Arc::clone(id),
            outcome: Arc::clone(outcome),
        });
    }
}
