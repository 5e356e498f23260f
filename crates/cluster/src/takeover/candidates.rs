//! Queries of which this process is an acceptor, and which it may have to take over.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::register::QueryId;
use crate::timer_queue::TimerQueue;
use crate::{Micros, PeerId};

/// Queries without a chosen outcome that this process has a record of.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    /// When each of them came to this process.
    first_seen: BTreeMap<QueryId, Micros>,
    /// When this process tries to take each of them over.
    timers: TimerQueue,
    /// Peers that asked for a query's outcome: they are told as soon as it is chosen, and need not ask often.
    subscribers: BTreeMap<QueryId, BTreeSet<PeerId>>,
    /// Queries whose other acceptors are being asked whether anybody acts for them, with those that said that
    /// nobody does.
    release_votes: BTreeMap<QueryId, BTreeSet<PeerId>>,
}

impl Candidates {
    /// Notes a query, if it is new.
    pub(super) fn watch(&mut self, now: Micros, id: &QueryId) -> Micros {
        *self.first_seen.entry(Arc::clone(id)).or_insert(now)
    }

    /// The query has an outcome, or there is no record of it any more.
    pub(super) fn unwatch(&mut self, id: &QueryId) {
        self.first_seen.remove(id);
        self.timers.remove(id);
        self.subscribers.remove(id);
    }

    /// Removes all queries but these.
    pub(super) fn retain(&mut self, keep: impl Fn(&QueryId) -> bool) {
        let over: Vec<QueryId> = self.first_seen.keys().filter(|id| !keep(id)).cloned().collect();
        over.iter().for_each(|id| self.unwatch(id));
        self.release_votes.retain(|id, _| keep(id));
    }

    pub(super) fn is_watched(&self, id: &QueryId) -> bool {
        self.first_seen.contains_key(id)
    }

    /// When a query came to this process.
    pub(super) fn first_seen(&self, id: &QueryId) -> Option<Micros> {
        self.first_seen.get(id).copied()
    }

    /// Sets when this process tries to take a query over.
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

    /// A peer wants to know how the query ends.
    pub(super) fn subscribe(&mut self, id: &QueryId, peer: PeerId) {
        self.subscribers.entry(Arc::clone(id)).or_default().insert(peer);
    }

    pub(super) fn take_subscribers(&mut self, id: &QueryId) -> BTreeSet<PeerId> {
        self.subscribers.remove(id).unwrap_or_default()
    }

    /// The other acceptors are being asked whether anybody acts for the query.
    pub(super) fn start_vote(&mut self, id: &QueryId) {
        self.release_votes.insert(Arc::clone(id), BTreeSet::new());
    }

    /// An acceptor says that nobody acts for the query; gives back how many have, or `None` if they are not
    /// being asked.
    pub(super) fn vote(&mut self, id: &QueryId, acceptor: PeerId) -> Option<usize> {
        let votes = self.release_votes.get_mut(id)?;
        votes.insert(acceptor);
        Some(votes.len())
    }

    /// Ends the vote; `true` if there was one.
    pub(super) fn end_vote(&mut self, id: &QueryId) -> bool {
        self.release_votes.remove(id).is_some()
    }
}
