//! Decides whether and when this process, as an acceptor, tries to take a query over.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::manager::TakeoverManager;
use super::query_state::QueryState;
use crate::register::{Proposer, ProposerRequest, QueryId, Record};
use crate::{Micros, PeerId};

/// Delay between the takeover attempts of successive acceptors in the query's order, in microseconds.
const TAKEOVER_STAGGER: Micros = 60_000;
/// Delay before an undecided takeover is reconsidered, since messages may have been lost, in microseconds.
const TAKEOVER_RETRY: Micros = 2 * TAKEOVER_STAGGER;

impl TakeoverManager {
    /// Schedules the takeover of queries that a peer acted for, if it is unavailable or has restarted since.
    pub(super) fn schedule_takeovers_from(&mut self, now: Micros, peer: PeerId) {
        let Some(acceptor) = &self.acceptor else { return };
        let owned = acceptor.open_records().filter(|(_, record)| record.promised.proposer == peer);
        let orphaned = owned.filter(|(_, record)| self.is_owner_lost(record));
        let orphaned: Vec<QueryId> = orphaned.map(|(id, _)| Arc::clone(id)).collect();
        for id in orphaned {
            self.schedule_takeover(now, &id);
            self.candidates.watch(now, &id);
        }
    }

    pub(super) fn schedule_takeover(&mut self, now: Micros, id: &QueryId) {
        let at = now + self.takeover_rank(id) * TAKEOVER_STAGGER;
        self.candidates.schedule(id, at);
    }

    /// Whether the proposer of the promised ballot seems to be lost: in another incarnation, or unavailable.
    /// This is advice.
    fn is_owner_lost(&self, record: &Record) -> bool {
        let (owner, incarnation) = (record.promised.proposer, record.promised.incarnation);
        let restarted = self.incarnations.get(&owner).is_some_and(|current| *current != incarnation);
        restarted || (owner != self.config.me && self.unavailable.contains(&owner))
    }

    /// Whether no instance seems to act for a query.
    fn is_orphaned(&self, record: &Record) -> bool {
        record.relinquished || self.is_owner_lost(record)
    }

    /// Returns how many available acceptors precede this one in the query's order.
    fn takeover_rank(&self, id: &str) -> Micros {
        let acceptors = self.acceptors_for(id);
        let before = acceptors.iter().take_while(|peer| **peer != self.config.me);
        before.filter(|peer| !self.unavailable.contains(peer)).count() as Micros
    }

    /// Handles a due takeover. If the owner relinquished its ballot, it was fenced by another one, whose
    /// proposer may have a majority and act for the query. So the acceptors are asked first.
    pub(super) fn takeover_due(&mut self, now: Micros, id: &QueryId) {
        let record = self.acceptor.as_ref().and_then(|acceptor| acceptor.record(id));
        if !record.is_some_and(|record| record.relinquished && !record.chosen) {
            return self.take_over(now, id);
        }
        self.candidates.start_vote(id);
        self.candidates.schedule(id, now + TAKEOVER_RETRY);
        self.send_to_acceptors(now, id, || ProposerRequest::ReadRecord { id: Arc::clone(id) });
    }

    /// Handles an acceptor's record of a query whose outcome is awaited here, or whose acceptors are being
    /// asked whether any instance acts for it.
    pub(super) fn handle_record_read(
        &mut self,
        now: Micros,
        from: PeerId,
        id: &QueryId,
        record: Option<Record>,
    ) {
        let awaits_outcome = self.queries.get(id).is_some_and(|query| query.proposer.is_none());
        if let (true, Some(record)) = (awaits_outcome, &record) {
            self.learn_outcome(now, id, record);
        }
        if record.is_none_or(|record| self.is_orphaned(&record)) {
            let votes = self.candidates.vote(id, from);
            if votes.is_some_and(|votes| 2 * votes > self.config.group_size) {
                self.candidates.end_vote(id);
                self.take_over(now, id);
            }
        } else if self.candidates.end_vote(id) && self.candidates.is_watched(id) {
            // Another instance acts for it, perhaps with a majority.
            self.candidates.schedule(id, now + TAKEOVER_RETRY);
        }
    }

    /// Prepares a higher ballot for a query without a chosen outcome, unless this process already acts for
    /// it.
    fn take_over(&mut self, now: Micros, id: &QueryId) {
        let record = self.acceptor.as_ref().and_then(|acceptor| acceptor.record(id));
        let Some(record) = record.filter(|record| !record.chosen) else {
            self.candidates.unwatch(id);
            return;
        };
        if self.queries.get(id).is_some_and(|query| query.proposer.is_some()) {
            return;
        }
        let (round, payload) = (record.promised.round + 1, Arc::clone(&record.payload));
        let opened_at = record.opened_at.clone();
        let ballot = self.next_ballot(round);
        let proposer = Proposer::prepare(Arc::clone(id), ballot, self.acceptors_for(id), opened_at);
        let has_local_clients = self.queries.get(id).is_some_and(|query| query.has_local_clients);
        let deadline = now + self.config.limits.query_lifetime;
        let query = QueryState { has_local_clients, ..QueryState::new(now, proposer, payload, deadline) };
        self.queries.insert(id, query);
        self.send_requests(now, id);
    }

    /// Scans all open records and schedules the takeover of orphaned and overdue queries.
    pub(super) fn scan_open_records(&mut self, now: Micros) {
        let Some(acceptor) = &self.acceptor else { return };
        let orphaned: BTreeMap<QueryId, bool> =
            acceptor.open_records().map(|(id, record)| (Arc::clone(id), self.is_orphaned(record))).collect();
        self.candidates.retain(|id| orphaned.contains_key(id));
        for (id, is_orphaned) in orphaned {
            let first_seen = self.candidates.watch(now, &id);
            // The owner of an overdue query may be available here, but partitioned from the query's
            // acceptors.
            let is_overdue = now.saturating_sub(first_seen) >= self.config.limits.query_lifetime;
            if (is_orphaned || is_overdue) && !self.candidates.is_scheduled(&id) {
                self.schedule_takeover(now, &id);
            }
        }
    }
}
