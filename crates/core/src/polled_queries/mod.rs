//! Polled queries: queries that more than one call may submit, and that have one outcome all the same.
//!
//! A ticket can be redeemed twice, a polled query is submitted by many calls, and a client that lost the
//! response to a non-idempotent query submits it again under the same id. All of them meet here, under one
//! [`PolledQueryKey`]:
//!
//! ```text
//!            submit               complete                  retention over
//!  (unknown) ------> Running ------------------> Done ----------------------> (forgotten)
//!                    |    |  rejected, not executed                               ^
//!                    |    +-----------> (unknown: it may be submitted again)      |
//!                    |  cancel, or nobody polls                                   |
//!                    +------------------> Cancelled ------------------------------+
//! ```
//!
//! Invariant: a non-idempotent query is executed once. Whoever submits it while it runs waits for its outcome
//! with the others; whoever submits it later is given the first outcome. Another body under the same id is
//! rejected.
//!
//! Memory is bounded, in queries and in bytes of outcomes. An outcome that is evicted leaves behind that there
//! was one; a query that is evicted leaves behind a tombstone of a few bytes, for as long as its outcome was
//! to be retained; one that runs is never evicted. Whatever was forgotten in these ways is rejected and not
//! executed ([`RejectReason::Forgotten`]). When there is no capacity for tombstones either, new queries are
//! rejected before they run. A ticket says when it was created: one as old as anything that was forgotten
//! entirely is rejected as well.

mod tombstones;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use mallowgauge_router::Micros;

use tombstones::Tombstones;

/// What a polled query is known by: who submits it, and the id of the query.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PolledQueryKey {
    /// The user; empty where clients do not authenticate.
    pub user: Rc<str>,
    /// The client's id for the query.
    pub id: Rc<str>,
}

/// One execution of a query, by a number that is never given out twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// A call that waits for an outcome, by a number of the frontend's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// How a polled query is to be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolledQuerySpec {
    /// A hash of the whole request: the same id with another hash is another request.
    pub request_hash: u64,
    /// It is non-idempotent: it must not be executed twice.
    pub non_idempotent: bool,
    /// It is polled: it goes on between calls, and its outcome is retained for the next.
    pub polled: bool,
    /// When its ticket was created; `None` where it was submitted without one.
    pub ticket_created_at: Option<Micros>,
}

/// Why a polled query is not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The id stands for another request.
    DifferentBody,
    /// It may have been executed, and its outcome is no longer known.
    Forgotten,
    /// It was cancelled.
    Cancelled,
    /// There is no capacity for another: none of those that are known can be evicted.
    Full,
}

/// What is to be done for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Submission<O> {
    /// Execute the query; its outcome goes to [`PolledQueries::complete`].
    Run(RunId),
    /// Wait: it runs already.
    Join(RunId),
    /// It has run, with this outcome.
    Replay(O),
    /// It is not executed.
    Reject(RejectReason),
}

/// The state of a polled query, as a client sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PolledState<O> {
    /// It runs.
    Running(RunId),
    /// It has run; its outcome is retained until then.
    Done(O, Micros),
    /// It was cancelled.
    Cancelled,
}

/// The result of a cancellation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CancelResult {
    /// It is cancelled: the caller has to cancel this run and to notify these waiters.
    Cancelled(RunId, Vec<WaiterId>),
    /// It was cancelled before.
    AlreadyCancelled,
    /// It is non-idempotent and possibly executed, or has an outcome.
    TooLate,
    /// It is not known.
    Unknown,
}

/// Limits on what is known at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolledQueryLimits {
    /// Most polled queries.
    pub queries: usize,
    /// Most bytes of retained outcomes.
    pub outcome_bytes: usize,
    /// How long an outcome is retained, in microseconds.
    pub retention: Micros,
    /// A polled query that nobody has polled for so long is cancelled, in microseconds.
    pub poll_timeout: Micros,
}

#[derive(Debug)]
struct Running {
    run: RunId,
    waiters: BTreeSet<WaiterId>,
    /// When it is cancelled unless somebody polls; `None` where it is not polled.
    idle_at: Option<Micros>,
}

impl Running {
    /// When it is cancelled, if nobody waits for it.
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
    /// It has run, and its outcome was evicted.
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
    /// When its ticket was created. One without a ticket counts from when it was submitted: a ticket of that
    /// age may be for the same id.
    fn created_at(&self) -> Micros {
        self.spec.ticket_created_at.unwrap_or(self.submitted_at)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Micros,
    key: PolledQueryKey,
}

/// The polled queries that are known.
#[derive(Debug)]
pub struct PolledQueries<O> {
    limits: PolledQueryLimits,
    queries: BTreeMap<PolledQueryKey, PolledQuery<O>>,
    runs: BTreeMap<RunId, PolledQueryKey>,
    waiters: BTreeMap<WaiterId, RunId>,
    /// When those that do not run any more are forgotten.
    expiries: BTreeSet<Expiry>,
    /// Bytes of retained outcomes.
    outcome_bytes: usize,
    tombstones: Tombstones,
}

impl<O: Clone> PolledQueries<O> {
    /// None known.
    #[must_use]
    pub fn new(bounds: PolledQueryLimits) -> Self {
        Self {
            limits: bounds,
            queries: BTreeMap::new(),
            runs: BTreeMap::new(),
            waiters: BTreeMap::new(),
            expiries: BTreeSet::new(),
            outcome_bytes: 0,
            tombstones: Tombstones::new(bounds.queries),
        }
    }

    /// How many are known, and the bytes of their outcomes.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        (self.queries.len(), self.outcome_bytes)
    }

    /// A call submits a query; if it is to be executed, the run has the number given.
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
        if !self.make_room(now) {
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

    /// A call submits a query: what is to be done if it is known.
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

    /// A run has its final response, of so many bytes: the calls that are to be given it. `not_executed` says
    /// that it was rejected with nothing executed, so that it may be submitted again.
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

    /// A call no longer waits. The run that the caller has to cancel, if nobody needs it any more: one that is
    /// non-idempotent or polled goes on without waiters.
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

    /// The state of a polled query; asking for it counts as a poll.
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

    /// A client cancels a query; `possibly_executed` says of a run whether a part of it may have been
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

    /// A client cancels a query that is not known, or no longer: it will not be executed.
    ///
    /// # Errors
    /// There is no capacity to remember that.
    pub fn revoke(
        &mut self,
        now: Micros,
        key: &PolledQueryKey,
        spec: PolledQuerySpec,
    ) -> Result<(), RejectReason> {
        if self.queries.contains_key(key) {
            return Ok(());
        }
        if !self.make_room(now) {
            return Err(RejectReason::Full);
        }
        let query = PolledQuery { spec, submitted_at: now, state: State::Cancelled };
        self.queries.insert(key.clone(), query);
        self.expiries.insert(Expiry { at: now + self.limits.retention, key: key.clone() });
        Ok(())
    }

    /// The polled queries of a user, each with the name that clients are sent for its state.
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

    /// A client wants an outcome retained for longer: until when it is.
    pub fn renew(&mut self, now: Micros, key: &PolledQueryKey) -> Option<Micros> {
        self.remove_expired(now);
        let query = self.queries.get_mut(key)?;
        let State::Done { retained_until, .. } = &mut query.state else { return None };
        self.expiries.remove(&Expiry { at: *retained_until, key: key.clone() });
        *retained_until = now + self.limits.retention;
        self.expiries.insert(Expiry { at: *retained_until, key: key.clone() });
        Some(*retained_until)
    }

    /// When something is to be forgotten or cancelled.
    #[must_use]
    pub fn poll_timeout(&self) -> Option<Micros> {
        let idle = self.running().filter_map(|(_, running)| running.idle_timeout());
        let expiries = [self.expiries.first().map(|expiry| expiry.at), self.tombstones.poll_timeout()];
        expiries.into_iter().flatten().chain(idle).min()
    }

    /// Forgets what was retained for long enough, and cancels polled queries that nobody polls: the runs that
    /// the caller has to cancel.
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

    /// The queries that run, in the order of their runs.
    fn running(&self) -> impl Iterator<Item = (&PolledQueryKey, &Running)> {
        self.runs.values().filter_map(|key| match &self.queries.get(key)?.state {
            State::Running(running) => Some((key, running)),
            State::Done { .. } | State::OutcomeEvicted | State::Cancelled => None,
        })
    }

    /// Forgets what was retained for long enough.
    fn remove_expired(&mut self, now: Micros) {
        while self.expiries.first().is_some_and(|expiry| expiry.at <= now) {
            self.forget_first(now);
        }
        self.tombstones.handle_timeout(now);
    }

    /// Evicts the outcome that expires first, and remembers that there was one; `false` if there is none.
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

    /// Makes sure that one more query can be known; `false` if none can be evicted.
    fn make_room(&mut self, now: Micros) -> bool {
        self.queries.len() < self.limits.queries || self.forget_first(now)
    }

    /// Forgets the query that expires first; `false` if none does, or there is no capacity for its tombstone.
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
