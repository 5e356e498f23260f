//! Polled queries: queries that several calls may submit, and that have one outcome.
//!
//! A ticket can be redeemed twice, a polled query is submitted by many calls, and a client that lost the
//! response to a non-idempotent query submits it again under the same id. All these calls are matched by
//! [`PolledQueryKey`]:
//!
//! ```text
//!            submit               complete                  retention ends
//!  (unknown) ------> Running ------------------> Done ----------------------> (forgotten)
//!                    |    |  rejected, not executed                               ^
//!                    |    +-----------> (unknown: it may be submitted again)      |
//!                    |  cancel, or poll timeout                                   |
//!                    +------------------> Cancelled ------------------------------+
//! ```
//!
//! Invariant: a non-idempotent query is executed once. A call that submits it while it runs waits for its
//! outcome with the others; a call that submits it later gets the first outcome. A different body under the
//! same id is rejected.
//!
//! Memory is bounded, in queries and in bytes of outcomes. When an outcome is evicted, its query remains
//! known; an evicted non-idempotent query leaves a tombstone of a few bytes for the rest of its outcome's
//! retention; a running query is never evicted. A query forgotten in either way is rejected instead of
//! executed ([`RejectReason::Forgotten`]). If there is no capacity for tombstones either, new queries are
//! rejected before they run. A ticket contains its creation time, and a poll descriptor that of its query: one
//! that is not newer than the newest query that was forgotten entirely is rejected as well.

mod tombstones;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use mallowgauge_router::Micros;

use tombstones::Tombstones;

/// The key of a polled query: its user and the client's id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PolledQueryKey {
    /// The user; empty if clients do not authenticate.
    pub user: Rc<str>,
    /// The client's id for the query.
    pub id: Rc<str>,
}

/// The unique number of one execution of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// A call that waits for an outcome, by a number that the frontend assigns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// The properties of a polled query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolledQuerySpec {
    /// A hash of the whole request, to detect a different request under the same id.
    pub request_hash: u64,
    /// Whether it is non-idempotent, and so must not be executed twice.
    pub non_idempotent: bool,
    /// Whether it is polled: it continues between calls, and its outcome is retained for the next call.
    pub polled: bool,
    /// When its ticket or the query of its poll descriptor was created; `None` if it was submitted without either.
    pub ticket_created_at: Option<Micros>,
}

/// Why a polled query was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The id belongs to a different request.
    DifferentBody,
    /// The query may have been executed, and its outcome is no longer known.
    Forgotten,
    /// The query was cancelled.
    Cancelled,
    /// There is no capacity: none of the known queries can be evicted.
    Full,
}

/// What the caller has to do for a submitted query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Submission<O> {
    /// Execute the query; its outcome goes to [`PolledQueries::complete`].
    Run(RunId),
    /// Wait for the outcome of this run.
    Join(RunId),
    /// Return this outcome of an earlier run.
    Replay(O),
    /// Reject the query.
    Reject(RejectReason),
}

/// The state of a polled query, as visible to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PolledState<O> {
    /// It is running.
    Running(RunId),
    /// It has completed with this outcome, which is retained until the given time.
    Done(O, Micros),
    /// It was cancelled.
    Cancelled,
}

/// The result of a cancellation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CancelResult {
    /// The query is cancelled. The caller has to cancel this run and notify these waiters.
    Cancelled(RunId, Vec<WaiterId>),
    /// The query was cancelled before.
    AlreadyCancelled,
    /// The query is non-idempotent and possibly executed, or has an outcome.
    TooLate,
    /// The query is not known.
    Unknown,
}

/// Limits on the polled queries that are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolledQueryLimits {
    /// Maximum number of polled queries.
    pub queries: usize,
    /// Maximum bytes of retained outcomes.
    pub outcome_bytes: usize,
    /// How long an outcome is retained, in microseconds.
    pub retention: Micros,
    /// Time without a poll after which a polled query is cancelled, in microseconds.
    pub poll_timeout: Micros,
}

#[derive(Debug)]
struct Running {
    run: RunId,
    waiters: BTreeSet<WaiterId>,
    /// When the query is cancelled unless a client polls; `None` if it is not polled.
    idle_at: Option<Micros>,
}

impl Running {
    /// Returns when the query is cancelled for lack of polls; `None` while calls wait for it.
    fn idle_timeout(&self) -> Option<Micros> {
        self.idle_at.filter(|_| self.waiters.is_empty())
    }
}

#[derive(Debug)]
enum State<O> {
    Running(Running),
    Done {
        outcome: O,
        bytes: usize,
        retained_until: Micros,
    },
    /// It has completed, and its outcome was evicted.
    OutcomeEvicted,
    Cancelled,
}

#[derive(Debug)]
struct PolledQuery<O> {
    spec: PolledQuerySpec,
    submitted_at: Micros,
    state: State<O>,
}

impl<O> PolledQuery<O> {
    /// Returns when its ticket was created, or else when it was submitted: a ticket of that age may be for
    /// the same id.
    fn created_at(&self) -> Micros {
        self.spec.ticket_created_at.unwrap_or(self.submitted_at)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Micros,
    key: PolledQueryKey,
}

/// The table of polled queries.
#[derive(Debug)]
pub struct PolledQueries<O> {
    limits: PolledQueryLimits,
    queries: BTreeMap<PolledQueryKey, PolledQuery<O>>,
    runs: BTreeMap<RunId, PolledQueryKey>,
    waiters: BTreeMap<WaiterId, RunId>,
    /// When queries that no longer run are forgotten.
    expiries: BTreeSet<Expiry>,
    /// Bytes of retained outcomes.
    outcome_bytes: usize,
    tombstones: Tombstones,
}

impl<O: Clone> PolledQueries<O> {
    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: PolledQueryLimits) -> Self {
        Self {
            limits,
            queries: BTreeMap::new(),
            runs: BTreeMap::new(),
            waiters: BTreeMap::new(),
            expiries: BTreeSet::new(),
            outcome_bytes: 0,
            tombstones: Tombstones::new(limits.queries),
        }
    }

    /// Returns the number of known queries and the bytes of their outcomes.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        (self.queries.len(), self.outcome_bytes)
    }

    /// Submits a query for a call. If it is to be executed, its run gets the id `run`.
    pub fn submit(
        &mut self,
        now: Micros,
        key: &PolledQueryKey,
        spec: PolledQuerySpec,
        caller: Option<WaiterId>,
        run: RunId,
    ) -> Submission<O> {
        self.remove_expired(now);
        if let Some(submission) = self.submit_known(now, key, spec, caller) {
            return submission;
        }
        if spec.non_idempotent && self.tombstones.cover(key, &spec) {
            return Submission::Reject(RejectReason::Forgotten);
        }
        if !self.ensure_capacity(now) {
            return Submission::Reject(RejectReason::Full);
        }
        let idle_at = spec.polled.then_some(now + self.limits.poll_timeout);
        let running = Running { run, waiters: caller.into_iter().collect(), idle_at };
        let query = PolledQuery { spec, submitted_at: now, state: State::Running(running) };
        self.queries.insert(key.clone(), query);
        self.runs.insert(run, key.clone());
        self.waiters.extend(caller.map(|caller| (caller, run)));
        Submission::Run(run)
    }

    /// Submits a query that is already known; `None` if it is not.
    fn submit_known(
        &mut self,
        now: Micros,
        key: &PolledQueryKey,
        spec: PolledQuerySpec,
        caller: Option<WaiterId>,
    ) -> Option<Submission<O>> {
        let query = self.queries.get_mut(key)?;
        if query.spec.request_hash != spec.request_hash {
            return Some(Submission::Reject(RejectReason::DifferentBody));
        }
        Some(match &mut query.state {
            State::Running(running) => {
                running.idle_at = running.idle_at.map(|_| now + self.limits.poll_timeout);
                running.waiters.extend(caller);
                let run = running.run;
                self.waiters.extend(caller.map(|caller| (caller, run)));
                Submission::Join(run)
            }
            State::Done { outcome, .. } => Submission::Replay(outcome.clone()),
            State::OutcomeEvicted => Submission::Reject(RejectReason::Forgotten),
            State::Cancelled => Submission::Reject(RejectReason::Cancelled),
        })
    }

    /// Completes a run with its outcome of `bytes` bytes. Returns the calls that wait for it. With
    /// `not_executed`, the query was rejected without having been executed, and may be submitted again.
    pub fn complete(
        &mut self,
        now: Micros,
        run: RunId,
        outcome: O,
        bytes: usize,
        not_executed: bool,
    ) -> Vec<WaiterId> {
        let Some(key) = self.runs.remove(&run) else { return Vec::new() };
        let Some(query) = self.queries.get_mut(&key) else { return Vec::new() };
        let State::Running(running) = &mut query.state else { return Vec::new() };
        let waiters = std::mem::take(&mut running.waiters);
        for waiter in &waiters {
            self.waiters.remove(waiter);
        }
        if not_executed {
            self.queries.remove(&key);
            return waiters.into_iter().collect();
        }
        let retained_until = now + self.limits.retention;
        query.state = State::Done { outcome, bytes, retained_until };
        self.expiries.insert(Expiry { at: retained_until, key });
        self.outcome_bytes += bytes;
        while self.outcome_bytes > self.limits.outcome_bytes && self.evict_first_outcome() {}
        waiters.into_iter().collect()
    }

    /// Removes a call that no longer waits. Returns the run that the caller has to cancel, if it is no longer
    /// needed; a query that is non-idempotent or polled continues without waiters.
    pub fn remove_waiter(&mut self, caller: WaiterId) -> Option<RunId> {
        let run = self.waiters.remove(&caller)?;
        let key = self.runs.get(&run)?.clone();
        let query = self.queries.get_mut(&key)?;
        let State::Running(running) = &mut query.state else { return None };
        running.waiters.remove(&caller);
        if !running.waiters.is_empty() || query.spec.non_idempotent || query.spec.polled {
            return None;
        }
        self.queries.remove(&key);
        self.runs.remove(&run);
        Some(run)
    }

    /// Returns the state of a polled query. This counts as a poll.
    pub fn state(&mut self, now: Micros, key: &PolledQueryKey) -> Option<PolledState<O>> {
        self.remove_expired(now);
        match &mut self.queries.get_mut(key)?.state {
            State::Running(running) => {
                running.idle_at = running.idle_at.map(|_| now + self.limits.poll_timeout);
                Some(PolledState::Running(running.run))
            }
            State::Done { outcome, retained_until, .. } => {
                Some(PolledState::Done(outcome.clone(), *retained_until))
            }
            State::OutcomeEvicted => None,
            State::Cancelled => Some(PolledState::Cancelled),
        }
    }

    /// Returns when the ticket of a known query was created or, without a ticket, when it was submitted.
    #[must_use]
    pub fn created_at(&self, key: &PolledQueryKey) -> Option<Micros> {
        self.queries.get(key).map(PolledQuery::created_at)
    }

    /// Cancels a query for a client. `possibly_executed` returns whether a part of a run may have been
    /// executed.
    pub fn cancel(
        &mut self,
        now: Micros,
        key: &PolledQueryKey,
        possibly_executed: impl Fn(RunId) -> bool,
    ) -> CancelResult {
        self.remove_expired(now);
        let Some(query) = self.queries.get_mut(key) else { return CancelResult::Unknown };
        let running = match &mut query.state {
            State::Running(running) => running,
            State::Done { .. } | State::OutcomeEvicted => return CancelResult::TooLate,
            State::Cancelled => return CancelResult::AlreadyCancelled,
        };
        if query.spec.non_idempotent && possibly_executed(running.run) {
            return CancelResult::TooLate;
        }
        let (run, waiters) = (running.run, std::mem::take(&mut running.waiters));
        self.runs.remove(&run);
        for waiter in &waiters {
            self.waiters.remove(waiter);
        }
        query.state = State::Cancelled;
        self.expiries.insert(Expiry { at: now + self.limits.retention, key: key.clone() });
        CancelResult::Cancelled(run, waiters.into_iter().collect())
    }

    /// Cancels a query that is not known, so that it will not be executed if it is submitted later. A
    /// non-idempotent query without a creation time cannot be told from one that was forgotten.
    ///
    /// # Errors
    /// The query may have been executed and forgotten, or there is no capacity to record the cancellation.
    pub fn revoke(
        &mut self,
        now: Micros,
        key: &PolledQueryKey,
        spec: PolledQuerySpec,
    ) -> Result<(), RejectReason> {
        if self.queries.contains_key(key) {
            return Ok(());
        }
        if spec.non_idempotent && (spec.ticket_created_at.is_none() || self.tombstones.cover(key, &spec)) {
            return Err(RejectReason::Forgotten);
        }
        if !self.ensure_capacity(now) {
            return Err(RejectReason::Full);
        }
        let query = PolledQuery { spec, submitted_at: now, state: State::Cancelled };
        self.queries.insert(key.clone(), query);
        self.expiries.insert(Expiry { at: now + self.limits.retention, key: key.clone() });
        Ok(())
    }

    /// Returns the polled queries of a user, each with the client-visible name of its state.
    pub fn list<'a>(
        &'a self,
        user: &'a str,
    ) -> impl Iterator<Item = (&'a PolledQueryKey, &'static str)> + 'a {
        let of_user = self.queries.iter().filter(move |(key, _)| &*key.user == user);
        of_user.map(|(key, query)| match query.state {
            State::Running(_) => (key, "running"),
            State::Done { .. } => (key, "done"),
            State::OutcomeEvicted => (key, "forgotten"),
            State::Cancelled => (key, "cancelled"),
        })
    }

    /// Extends the retention of an outcome. Returns its new end.
    pub fn renew(&mut self, now: Micros, key: &PolledQueryKey) -> Option<Micros> {
        self.remove_expired(now);
        let query = self.queries.get_mut(key)?;
        let State::Done { retained_until, .. } = &mut query.state else { return None };
        self.expiries.remove(&Expiry { at: *retained_until, key: key.clone() });
        *retained_until = now + self.limits.retention;
        self.expiries.insert(Expiry { at: *retained_until, key: key.clone() });
        Some(*retained_until)
    }

    /// Returns when [`PolledQueries::handle_timeout`] has to be called.
    #[must_use]
    pub fn poll_timeout(&self) -> Option<Micros> {
        let idle = self.running().filter_map(|(_, running)| running.idle_timeout());
        let expiries = [self.expiries.first().map(|expiry| expiry.at), self.tombstones.poll_timeout()];
        expiries.into_iter().flatten().chain(idle).min()
    }

    /// Forgets queries whose retention has ended, and cancels polled queries after their poll timeout.
    /// Returns the runs that the caller has to cancel.
    pub fn handle_timeout(&mut self, now: Micros) -> Vec<RunId> {
        self.remove_expired(now);
        let is_idle = |running: &Running| running.idle_timeout().is_some_and(|at| at <= now);
        let idle = self.running().filter(|(_, running)| is_idle(running));
        let idle: Vec<(RunId, PolledQueryKey)> =
            idle.map(|(key, running)| (running.run, key.clone())).collect();
        for (run, key) in &idle {
            self.runs.remove(run);
            let Some(query) = self.queries.get_mut(key) else { continue };
            query.state = State::Cancelled;
            self.expiries.insert(Expiry { at: now + self.limits.retention, key: key.clone() });
        }
        idle.into_iter().map(|(run, _)| run).collect()
    }

    /// Returns the running queries, in the order of their runs.
    fn running(&self) -> impl Iterator<Item = (&PolledQueryKey, &Running)> {
        self.runs.values().filter_map(|key| match &self.queries.get(key)?.state {
            State::Running(running) => Some((key, running)),
            State::Done { .. } | State::OutcomeEvicted | State::Cancelled => None,
        })
    }

    /// Forgets queries and tombstones whose retention has ended.
    fn remove_expired(&mut self, now: Micros) {
        while self.expiries.first().is_some_and(|expiry| expiry.at <= now) {
            self.forget_first(now);
        }
        self.tombstones.handle_timeout(now);
    }

    /// Evicts the outcome that expires first, but keeps its query. Returns `false` if there is none.
    fn evict_first_outcome(&mut self) -> bool {
        for Expiry { key, .. } in &self.expiries {
            let Some(PolledQuery { state, .. }) = self.queries.get_mut(key) else { continue };
            if let State::Done { bytes: bytes @ 1.., .. } = *state {
                self.outcome_bytes -= bytes;
                *state = State::OutcomeEvicted;
                return true;
            }
        }
        false
    }

    /// Ensures capacity for one more query. Returns `false` if none can be evicted.
    fn ensure_capacity(&mut self, now: Micros) -> bool {
        self.queries.len() < self.limits.queries || self.forget_first(now)
    }

    /// Forgets the query that expires first. Returns `false` if none expires, or without capacity for its
    /// tombstone.
    fn forget_first(&mut self, now: Micros) -> bool {
        let Some(Expiry { at, key }) = self.expiries.first().cloned() else { return false };
        let Some(query) = self.queries.get(&key) else { return false };
        if query.spec.non_idempotent {
            let created_at = query.created_at();
            if at <= now {
                self.tombstones.forget(created_at);
            } else if !self.tombstones.insert(&key, created_at, at) {
                return false;
            }
        }
        self.expiries.pop_first();
        if let Some(PolledQuery { state: State::Done { bytes, .. }, .. }) = self.queries.remove(&key) {
            self.outcome_bytes -= bytes;
        }
        true
    }
}
