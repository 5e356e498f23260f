//! The state of one query as a proposer or waiting for its outcome, and the table of all such queries with
//! their timers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::outcome::QueryEnd;
use crate::fault_injection::{self, Bug};
use crate::register::{AttemptRef, Proposer, ProposerPhase, QueryId};
use crate::timer_queue::TimerQueue;
use crate::Micros;

/// A permit that a majority has not granted within this time is abandoned, in microseconds.
pub(super) const PERMIT_TIMEOUT: Micros = 200_000;
/// Requests without a reply are resent after this many microseconds, doubled with each resend: while
/// acceptors are unavailable, hundreds of queries must not fill all connections with requests that cannot be
/// answered.
const RESEND_INTERVAL: Micros = 30_000;
/// Maximum number of times that [`RESEND_INTERVAL`] doubles.
const RESEND_DOUBLINGS: u32 = 4;
/// While the outcome of another instance is awaited, the acceptors are polled after this many microseconds,
/// doubled with each poll. They also send the outcome when it is chosen; polling compensates for lost
/// messages.
pub(super) const OUTCOME_POLL_INTERVAL: Micros = 20_000;
/// Maximum number of times that [`OUTCOME_POLL_INTERVAL`] doubles.
const OUTCOME_POLL_DOUBLINGS: u32 = 6;

/// An attempt whose intent is proposed and that waits for its permit.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingPermit {
    pub(super) intent: AttemptRef,
    pub(super) since: Micros,
}

/// The state of one query.
#[derive(Debug)]
pub(super) struct QueryState {
    /// `None` once another ballot has fenced this process's one: only the outcome is awaited.
    pub(super) proposer: Option<Proposer>,
    pub(super) payload: Arc<[u8]>,
    /// A client here waits for the outcome.
    pub(super) has_local_clients: bool,
    /// The program runs the query, for a client here or after a takeover.
    pub(super) is_running: bool,
    /// A client here submitted the query for the first time.
    pub(super) is_first_attempt: bool,
    /// An attempt was permitted under this process's ballots.
    pub(super) any_permitted: bool,
    /// An intent was proposed and revoked, so that an instance that takes over may run its part.
    pub(super) any_revoked: bool,
    pub(super) pending_permits: Vec<PendingPermit>,
    /// How the query ended here; the register may choose another outcome.
    pub(super) end: Option<QueryEnd>,
    /// The latest deadline of its clients.
    pub(super) deadline: Micros,
    /// If the query was rejected here, the time by which a majority has to accept that.
    pub(super) reject_deadline: Option<Micros>,
    /// When requests without a reply are resent.
    pub(super) resend_at: Micros,
    /// The last sent version of the proposal.
    pub(super) sent_version: u32,
    /// Consecutive resends of that version, or polls of the outcome.
    pub(super) resends: u32,
}

impl QueryState {
    /// Creates the state of a query that has no clients here and is not running.
    pub(super) fn new(now: Micros, proposer: Proposer, payload: Arc<[u8]>, deadline: Micros) -> Self {
        Self {
            proposer: Some(proposer),
            payload,
            has_local_clients: false,
            is_running: false,
            is_first_attempt: false,
            any_permitted: false,
            any_revoked: false,
            pending_permits: Vec::new(),
            end: None,
            deadline,
            reject_deadline: None,
            resend_at: now,
            sent_version: 0,
            resends: 0,
        }
    }

    /// Returns when the query is given up. The outcome of another instance is awaited until the clients'
    /// deadline.
    pub(super) fn give_up_at(&self) -> Micros {
        let reject_deadline = self.reject_deadline.filter(|_| self.proposer.is_some());
        reject_deadline.map_or(self.deadline, |reject_deadline| reject_deadline.min(self.deadline))
    }

    fn next_timeout(&self) -> Micros {
        let permits = self.pending_permits.iter().map(|permit| permit.since + PERMIT_TIMEOUT);
        permits.chain([self.resend_at, self.give_up_at()]).min().unwrap_or(self.resend_at)
    }

    /// Whether its clients may get the response that nothing was executed although no majority accepted that: no
    /// other instance has seen the query, nothing was sent, and no intent was revoked. So an instance that
    /// takes over finds either nothing to run, or an attempt that may have been executed.
    pub(super) fn is_certainly_not_executed(&self) -> bool {
        self.is_first_attempt && !self.any_permitted && !self.any_revoked && self.proposer.is_some()
    }

    /// Records that a version of the proposal is being sent. Returns `true` the first time.
    pub(super) fn sending_version(&mut self, version: u32) -> bool {
        self.resends = if self.sent_version == version { self.resends + 1 } else { 0 };
        self.sent_version = version;
        self.resends == 0
    }

    /// Sets when requests are resent.
    pub(super) fn schedule_resend(&mut self, now: Micros) {
        self.resend_at = now + (RESEND_INTERVAL << self.resends.min(RESEND_DOUBLINGS));
    }

    /// Sets when the outcome of another instance is polled next.
    pub(super) fn schedule_outcome_poll(&mut self, now: Micros) {
        self.resend_at = now + (OUTCOME_POLL_INTERVAL << self.resends.min(OUTCOME_POLL_DOUBLINGS));
        self.resends += 1;
    }

    /// Removes and returns the permits that a majority has granted.
    pub(super) fn take_granted_permits(&mut self) -> Vec<PendingPermit> {
        let Some(proposer) = &self.proposer else { return Vec::new() };
        let mut granted = Vec::new();
        self.pending_permits.retain(|permit| {
            let is_granted =
                proposer.is_permitted(permit.intent) || fault_injection::is_injected(Bug::SendWithoutIntent);
            if is_granted {
                granted.push(*permit);
            }
            !is_granted
        });
        self.any_permitted |= !granted.is_empty();
        granted
    }

    /// Whether this process has taken the query over and has not yet run it.
    pub(super) fn needs_run(&self) -> bool {
        !self.is_running && self.proposer.as_ref().is_some_and(|proposer| !proposer.payload().is_empty())
    }

    /// Proposes the outcome if it is known. Returns `true` if the query has to be run here instead.
    ///
    /// Even if nothing was executed here, an attempt that was permitted under an earlier ballot may have
    /// been.
    pub(super) fn propose_known_outcome(&mut self) -> bool {
        let Some(proposer) = &mut self.proposer else { return false };
        let may_have_executed = proposer.any_may_have_executed();
        let end = match &self.end {
            Some(QueryEnd::NotExecuted) if may_have_executed => &QueryEnd::PossiblyExecuted,
            Some(end) => end,
            None if proposer.inherited_outcome().is_some() => &QueryEnd::PossiblyExecuted,
            None if self.is_running => return false,
            None if may_have_executed => &QueryEnd::PossiblyExecuted,
            None if proposer.payload().is_empty() => &QueryEnd::NotExecuted,
            None => return true,
        };
        proposer.propose_outcome(end.to_bytes());
        false
    }

    /// Whether this process acts for the query.
    pub(super) fn is_active(&self) -> bool {
        self.proposer.as_ref().is_some_and(|proposer| proposer.phase() == ProposerPhase::Active)
    }
}

/// All queries that this process proposes for or awaits the outcome of. Only the timers of changed queries
/// are updated: hundreds of queries may wait while acceptors are unavailable, too many to scan for each
/// message.
#[derive(Debug, Default)]
pub(super) struct QueryTable {
    queries: BTreeMap<QueryId, QueryState>,
    timers: TimerQueue,
    /// Queries that may have changed since their timers were updated.
    changed: BTreeSet<QueryId>,
}

impl QueryTable {
    pub(super) fn len(&self) -> usize {
        self.queries.len()
    }

    pub(super) fn get(&self, id: &str) -> Option<&QueryState> {
        self.queries.get(id)
    }

    pub(super) fn get_mut(&mut self, id: &QueryId) -> Option<&mut QueryState> {
        let query = self.queries.get_mut(id)?;
        self.changed.insert(Arc::clone(id));
        Some(query)
    }

    pub(super) fn insert(&mut self, id: &QueryId, query: QueryState) {
        self.queries.insert(Arc::clone(id), query);
        self.changed.insert(Arc::clone(id));
    }

    pub(super) fn remove(&mut self, id: &QueryId) {
        self.queries.remove(id);
        self.timers.remove(id);
        self.changed.remove(id);
    }

    /// Removes and returns all queries.
    pub(super) fn take_all(&mut self) -> BTreeMap<QueryId, QueryState> {
        std::mem::take(self).queries
    }

    /// Updates the timers of the queries that may have changed.
    pub(super) fn update_timers(&mut self) {
        for id in std::mem::take(&mut self.changed) {
            self.timers.set(&id, self.queries.get(&id).map(QueryState::next_timeout));
        }
    }

    /// Returns the earliest timer of all queries.
    pub(super) fn poll_timeout(&self) -> Option<Micros> {
        let changed = self.changed.iter().filter_map(|id| Some(self.queries.get(id)?.next_timeout()));
        changed.chain(self.timers.poll_timeout()).min()
    }

    /// Removes and returns the queries whose timer is due. Each has to be accessed with
    /// [`QueryTable::get_mut`], so that it gets a timer again.
    pub(super) fn take_due(&mut self, now: Micros) -> Vec<QueryId> {
        self.update_timers();
        self.timers.take_due(now)
    }

    /// Whether at least `limit` queries that were taken over are running.
    pub(super) fn has_taken_over(&self, limit: usize) -> bool {
        let taken_over = self.queries.values().filter(|query| query.is_running && !query.has_local_clients);
        taken_over.take(limit).count() == limit
    }
}
