//! Queries that this process is an acceptor of and may have to take over.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::register::QueryId;
use crate::timer_queue::TimerQueue;
use crate::{Micros, PeerId};

/// Queries without a chosen outcome that this process has a record of: the candidates for a takeover.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    /// When this process learned of each of them.
    first_seen: BTreeMap<QueryId, Micros>,
    /// When this process will try to take each of them over.
    timers: TimerQueue,
    /// Peers that asked for a query's outcome. They are sent it as soon as it is chosen, so that they can
    /// poll rarely.
    subscribers: BTreeMap<QueryId, BTreeSet<PeerId>>,
    /// Queries whose acceptors are being asked whether any instance acts for them, each with the acceptors
    /// that replied that none does.
    release_votes: BTreeMap<QueryId, BTreeSet<PeerId>>,
}

impl Candidates {
    /// Adds a query if it is new. Returns when this process learned of it.
    pub(super) fn watch(&mut self, now: Micros, id: &QueryId) -> Micros {
        *self.first_seen.entry(Arc::clone(id)).or_insert(now)
    }

    /// Removes a query that has an outcome or no record any more.
    pub(super) fn unwatch(&mut self, id: &QueryId) {
        self.first_seen.remove(id);
        self.timers.remove(id);
        self.subscribers.remove(id);
    }

    /// Removes all queries but these.
    pub(super) fn retain(&mut self, keep: impl Fn(&QueryId) -> bool) {
        let removed: Vec<QueryId> = self.first_seen.keys().filter(|id| !keep(id)).cloned().collect();
        removed.iter().for_each(|id| self.unwatch(id));
        self.release_votes.retain(|id, _| keep(id));
    }

    pub(super) fn is_watched(&self, id: &QueryId) -> bool {
        self.first_seen.contains_key(id)
    }

    /// Returns when this process learned of a query.
    pub(super) fn first_seen(&self, id: &QueryId) -> Option<Micros> {
        self.first_seen.get(id).copied()
    }

    /// Sets when this process will try to take a query over.
    pub(super) fn schedule(&mut self, id: &QueryId, at: Micros) {
        self.timers.set(id, Some(at));
    }

    pub(super) fn is_scheduled(&self, id: &str) -> bool {
        self.timers.deadline(id).is_some()
    }

    pub(super) fn poll_timeout(&self) -> Option<Micros> {
        self.timers.poll_timeout()
    }

    pub(super) fn take_due(&mut self, now: Micros) -> Vec<QueryId> {
        self.timers.take_due(now)
    }

    /// Adds a peer that wants to be sent the query's outcome.
    pub(super) fn subscribe(&mut self, id: &QueryId, peer: PeerId) {
        self.subscribers.entry(Arc::clone(id)).or_default().insert(peer);
    }

    pub(super) fn take_subscribers(&mut self, id: &QueryId) -> BTreeSet<PeerId> {
        self.subscribers.remove(id).unwrap_or_default()
    }

    /// Starts a vote of the query's acceptors on whether no instance acts for it.
    pub(super) fn start_vote(&mut self, id: &QueryId) {
        self.release_votes.insert(Arc::clone(id), BTreeSet::new());
    }

    /// Counts an acceptor's vote that no instance acts for the query. Returns the number of votes, or `None`
    /// if there is no vote on the query.
    pub(super) fn vote(&mut self, id: &QueryId, acceptor: PeerId) -> Option<usize> {
        let votes = self.release_votes.get_mut(id)?;
        votes.insert(acceptor);
        Some(votes.len())
    }

    /// Ends the vote on a query. Returns `false` if there was none.
    pub(super) fn end_vote(&mut self, id: &QueryId) -> bool {
        self.release_votes.remove(id).is_some()
    }
}
