//! The state of one query that this process does something for, and the table of all of them with their
//! timers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::outcome::QueryEnd;
use crate::fault_injection::{self, Bug};
use crate::register::{AttemptRef, Proposer, ProposerPhase, QueryId};
use crate::timer_queue::TimerQueue;
use crate::Micros;

/// A permit that a majority has not granted by then is given up, in microseconds.
pub(super) const PERMIT_TIMEOUT: Micros = 200_000;
/// Requests without a reply are sent again after this many microseconds, doubled with each repetition: while
/// acceptors are away, hundreds of queries must not fill all connections with requests that nobody can
/// answer.
const RESEND_INTERVAL: Micros = 30_000;
const RESEND_DOUBLINGS: u32 = 4;
/// While another instance's outcome is awaited, its acceptors are asked again after this many microseconds,
/// doubled with each repetition. They tell it by themselves when it is chosen; the repetition makes up for
/// lost messages.
pub(super) const OUTCOME_POLL_INTERVAL: Micros = 20_000;
const OUTCOME_POLL_DOUBLINGS: u32 = 6;

/// An attempt whose intent is proposed, and that waits for its permit.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingPermit {
    pub(super) intent: AttemptRef,
    pub(super) since: Micros,
}

/// What this process does for one query.
#[derive(Debug)]
pub(super) struct QueryState {
    /// `None` once another ballot has won: only the outcome is awaited.
    pub(super) proposer: Option<Proposer>,
    pub(super) payload: Arc<[u8]>,
    /// A client here waits for the outcome.
    pub(super) has_local_clients: bool,
    /// The program runs it, for a client here or taken over.
    pub(super) is_running: bool,
    /// A client here submitted it for the first time.
    pub(super) is_first_attempt: bool,
    /// An attempt was permitted under this process's ballots.
    pub(super) any_permitted: bool,
    /// An intent was proposed and taken back: whoever takes over may run it.
    pub(super) any_revoked: bool,
    pub(super) pending_permits: Vec<PendingPermit>,
    /// How it ended here; the register may choose another outcome.
    pub(super) end: Option<QueryEnd>,
    /// When its clients stop waiting.
    pub(super) deadline: Micros,
    /// It is rejected here, and a majority has to have accepted that by then.
    pub(super) reject_deadline: Option<Micros>,
    /// When requests without a reply are sent again.
    pub(super) resend_at: Micros,
    /// The version of the proposal that was sent last.
    pub(super) sent_version: u32,
    /// How often in a row that version was sent again, or the outcome asked for.
    pub(super) resends: u32,
}

impl QueryState {
    /// A query that no client here waits for, and that is not running.
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

    /// When it is given up. The outcome of another instance is awaited for as long as clients wait.
    pub(super) fn give_up_at(&self) -> Micros {
        let reject_deadline = self.reject_deadline.filter(|_| self.proposer.is_some());
        reject_deadline.map_or(self.deadline, |reject_deadline| reject_deadline.min(self.deadline))
    }

    fn next_timeout(&self) -> Micros {
        let permits = self.pending_permits.iter().map(|permit| permit.since + PERMIT_TIMEOUT);
        permits.chain([self.resend_at, self.give_up_at()]).min().unwrap_or(self.resend_at)
    }

    /// Whether its clients may be told that nothing was executed without a majority having accepted that: no
    /// other instance has seen it, nothing was sent, and no intent was taken back anywhere, so that whoever
    /// takes over finds either nothing to run, or an attempt that may have been executed.
    pub(super) fn is_certainly_not_executed(&self) -> bool {
        self.is_first_attempt && !self.any_permitted && !self.any_revoked && self.proposer.is_some()
    }

    /// Notes that the proposal's present version is being sent; `true` for the first time.
    pub(super) fn sending_version(&mut self, version: u32) -> bool {
        self.resends = if self.sent_version == version { self.resends + 1 } else { 0 };
        self.sent_version = version;
        self.resends == 0
    }

    /// Sets when requests are sent again.
    pub(super) fn schedule_resend(&mut self, now: Micros) {
        self.resend_at = now + (RESEND_INTERVAL << self.resends.min(RESEND_DOUBLINGS));
    }

    /// Sets when the outcome of another instance is asked for again.
    pub(super) fn schedule_outcome_poll(&mut self, now: Micros) {
        self.resend_at = now + (OUTCOME_POLL_INTERVAL << self.resends.min(OUTCOME_POLL_DOUBLINGS));
        self.resends += 1;
    }

    /// Takes out the permits that a majority has granted.
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

    /// Whether this process has taken the query over, and has yet to run it.
    pub(super) fn wants_to_run(&self) -> bool {
        !self.is_running && self.proposer.as_ref().is_some_and(|proposer| !proposer.payload().is_empty())
    }

    /// Proposes the outcome as far as it is known; `true` if it has to be run here to find out.
    ///
    /// That nothing was executed here says nothing of attempts that were permitted under an earlier ballot.
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

    /// Whether it acts for the query.
    pub(super) fn is_active(&self) -> bool {
        self.proposer.as_ref().is_some_and(|proposer| proposer.phase() == ProposerPhase::Active)
    }
}

/// All queries that this process does something for. A query that is touched gets its timer set anew before
/// the next look at the timers: hundreds of queries may wait while acceptors are away, too many to look at
/// with each message.
#[derive(Debug, Default)]
pub(super) struct QueryTable {
    queries: BTreeMap<QueryId, QueryState>,
    timers: TimerQueue,
    touched: BTreeSet<QueryId>,
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
        self.touched.insert(Arc::clone(id));
        Some(query)
    }

    pub(super) fn insert(&mut self, id: &QueryId, query: QueryState) {
        self.queries.insert(Arc::clone(id), query);
        self.touched.insert(Arc::clone(id));
    }

    pub(super) fn remove(&mut self, id: &QueryId) {
        self.queries.remove(id);
        self.timers.remove(id);
        self.touched.remove(id);
    }

    /// Removes all of them.
    pub(super) fn take_all(&mut self) -> BTreeMap<QueryId, QueryState> {
        std::mem::take(self).queries
    }

    /// Sets the timers of the queries that were touched.
    pub(super) fn update_timers(&mut self) {
        for id in std::mem::take(&mut self.touched) {
            self.timers.set(&id, self.queries.get(&id).map(QueryState::next_timeout));
        }
    }

    /// The earliest timer of all queries.
    pub(super) fn poll_timeout(&self) -> Option<Micros> {
        let touched = self.touched.iter().filter_map(|id| Some(self.queries.get(id)?.next_timeout()));
        touched.chain(self.timers.poll_timeout()).min()
    }

    /// The queries whose timer is due; each has to be touched, so that it gets a timer again.
    pub(super) fn take_due(&mut self, now: Micros) -> Vec<QueryId> {
        self.update_timers();
        self.timers.take_due(now)
    }

    /// Whether at least `limit` queries are running that were taken over.
    pub(super) fn has_taken_over(&self, limit: usize) -> bool {
        let taken_over = self.queries.values().filter(|query| query.is_running && !query.has_local_clients);
        taken_over.take(limit).count() == limit
    }
}
