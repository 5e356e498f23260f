//! The timers of the takeover manager: takeovers, resends, deadlines and the periodic scan.

use std::sync::Arc;

use super::actions::Action;
use super::manager::TakeoverManager;
use super::messages::Message;
use super::query_state::PERMIT_TIMEOUT;
use crate::register::{Acceptor, PendingTransfer, ProposerRequest, QueryId};
use crate::{Micros, PeerId};

/// Time between two scans for missing records and for orphaned queries, in microseconds.
const SCAN_INTERVAL: Micros = 250_000;

impl TakeoverManager {
    /// Returns when [`TakeoverManager::handle_timeout`] is due next.
    #[must_use]
    pub fn poll_timeout(&self) -> Option<Micros> {
        // Before a first peer is connected there is no acceptor to scan, but clients' queries already have
        // timers.
        let scan = self.acceptor.as_ref().map(|_| self.last_scan + SCAN_INTERVAL);
        [self.queries.poll_timeout(), self.candidates.poll_timeout(), scan].into_iter().flatten().min()
    }

    /// Handles all timers that are due.
    pub fn handle_timeout(&mut self, now: Micros) {
        if self.poll_timeout().is_none_or(|due| due > now) {
            return;
        }
        for id in self.candidates.take_due(now) {
            self.takeover_due(now, &id);
        }
        for id in self.queries.take_due(now) {
            self.query_timeout(now, &id);
        }
        if self.last_scan + SCAN_INTERVAL <= now {
            self.last_scan = now;
            self.scan(now);
        }
    }

    fn query_timeout(&mut self, now: Micros, id: &QueryId) {
        let Some(query) = self.queries.get_mut(id) else { return };
        if query.give_up_at() <= now {
            return self.give_up(id);
        }
        if query.pending_permits.iter().any(|permit| permit.since + PERMIT_TIMEOUT <= now) {
            self.abandon_permits(now, id);
        }
        let Some(query) = self.queries.get_mut(id) else { return };
        if query.resend_at > now {
            return;
        }
        if query.proposer.is_some() {
            self.send_requests(now, id);
            return self.advance(now, id);
        }
        query.schedule_outcome_poll(now);
        self.send_to_acceptors(now, id, || ProposerRequest::ReadRecord { id: Arc::clone(id) });
    }

    /// Gives a query up whose deadline has passed.
    fn give_up(&mut self, id: &QueryId) {
        let Some(query) = self.queries.get_mut(id) else { return };
        let permits = std::mem::take(&mut query.pending_permits);
        let has_local_clients = query.has_local_clients;
        let not_executed = query.is_certainly_not_executed();
        self.queries.remove(id);
        self.deny_permits(id, permits);
        if has_local_clients {
            self.actions.push(Action::OutcomeUnknown { id: Arc::clone(id), not_executed });
        }
    }

    fn scan(&mut self, now: Micros) {
        if self.acceptor.as_mut().is_some_and(|acceptor| acceptor.end_epoch(now)) {
            self.announce_epoch();
        }
        let Some(acceptor) = &self.acceptor else { return };
        let incarnation = acceptor.incarnation();
        for PendingTransfer { peer: to, after } in acceptor.pending_transfers() {
            let message = Box::new(Message::TransferRequest { incarnation, after });
            self.actions.push(Action::Send { to, message });
        }
        self.scan_open_records(now);
    }

    fn announce_epoch(&mut self) {
        let incarnation = self.incarnation();
        let epoch = self.acceptor.as_ref().map_or(0, Acceptor::epoch);
        self.epochs.insert(self.config.me, epoch);
        let others: Vec<PeerId> =
            self.incarnations.keys().copied().filter(|peer| *peer != self.config.me).collect();
        for to in others {
            let message = Box::new(Message::Epoch { incarnation, epoch });
            self.actions.push(Action::Send { to, message });
        }
    }
}
