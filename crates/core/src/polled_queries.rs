//! The life of a flight: a query that more than one call may ask for, and that has one outcome all the same.
//!
//! A ticket can be redeemed twice, a polled query is asked for by many calls, and a client that lost the
//! answer to a query with an effect asks again under the same id. All of them meet here, under one [`PolledQueryKey`]:
//!
//! ```text
//!             ask                 settled                    keep over
//!  (unknown) ------> Running ------------------> Done ----------------------> (forgotten)
//!                    |    |  refused, untouched                                   ^
//!                    |    +-----------> (unknown: it may be asked again)          |
//!                    |  cancel, or nobody polls                                   |
//!                    +------------------> Cancelled ------------------------------+
//! ```
//!
//! The promise: a flight with an effect runs once. Whoever asks while it runs waits for its outcome with the
//! others; whoever asks later is told the first outcome. What was asked under the same id with another body
//! is refused.
//!
//! Memory is bounded, in flights and in bytes of outcomes. An outcome that has to make room leaves behind that
//! there was one; a flight that has to make room leaves behind its mark, a few bytes, for as long as its
//! outcome was promised; one that runs never goes. Whatever has been forgotten in these ways is refused and
//! not run ([`RejectReason::Forgotten`]). When even marks find no room, new flights with an effect are turned away
//! before they run. A ticket says when it was made: one as old as anything that was forgotten for good is
//! refused as well.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
use std::rc::Rc;

use mallowgauge_router::Micros;

/// What a flight is known by: who asks, and the id of the query.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PolledQueryKey {
    /// The user; empty where none is asked for.
    pub user: Rc<str>,
    /// The client's id for the query.
    pub id: Rc<str>,
}

/// A run of a query, by a number that is never given out twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// A call that waits for an outcome, by a number of the front's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// How a flight is to be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolledQuerySpec {
    /// A hash of all that is asked: the same id with another one is another question.
    pub body: u64,
    /// It must not run twice.
    pub effect: bool,
    /// It is polled: it goes on between calls, and its outcome is kept for the next.
    pub polled: bool,
    /// When its ticket was made; `None` where it was asked for without one.
    pub made: Option<Micros>,
}

/// RejectReason a flight is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The id stands for something else.
    DifferentBody,
    /// It may have run, and is no longer remembered.
    Forgotten,
    /// It was cancelled.
    Cancelled,
    /// There is no room for another: those that are remembered all run.
    Full,
}

/// What is to be done for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Submission<O> {
    /// Run the query; its outcome goes to [`PolledQueries::complete`].
    Run(RunId),
    /// Wait: it runs already.
    Join(RunId),
    /// This was the outcome.
    Replay(O),
    /// It is not run.
    Reject(RejectReason),
}

/// Where a flight stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PolledState<O> {
    /// It runs.
    Running(RunId),
    /// It is over; its outcome is kept until then.
    Done(O, Micros),
    /// It was cancelled.
    Cancelled,
}

/// What came of a wish to cancel.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CancelResult {
    /// It is cancelled: this run is to be given up, and these callers are to be told.
    Cancelled(RunId, Vec<WaiterId>),
    /// It was cancelled before.
    AlreadyCancelled,
    /// It has an effect that may have run, or is over.
    TooLate,
    /// Nothing is known of it.
    Unknown,
}

/// The bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolledQueryLimits {
    /// Most flights that are known.
    pub flights: usize,
    /// Most bytes of kept outcomes.
    pub bytes: usize,
    /// How long an outcome is kept.
    pub keep: Micros,
    /// A polled flight that nobody has asked about for so long is given up.
    pub unpolled: Micros,
}

#[derive(Debug)]
struct Running {
    run: RunId,
    callers: BTreeSet<WaiterId>,
    /// When it is given up unless somebody asks; polled flights only.
    idle: Option<Micros>,
}

#[derive(Debug)]
enum State<O> {
    Running(Running),
    Done {
        outcome: O,
        bytes: usize,
        until: Micros,
    },
    /// It is over, and its outcome had to make room.
    Spent,
    Cancelled,
}

#[derive(Debug)]
struct Flight<O> {
    spec: PolledQuerySpec,
    asked: Micros,
    state: State<O>,
}

/// The flights that are known.
#[derive(Debug)]
pub struct PolledQueries<O> {
    bounds: PolledQueryLimits,
    flights: BTreeMap<PolledQueryKey, Flight<O>>,
    runs: BTreeMap<RunId, PolledQueryKey>,
    callers: BTreeMap<WaiterId, RunId>,
    /// Settled ones by when they are forgotten.
    ends: BTreeSet<(Micros, PolledQueryKey)>,
    bytes: usize,
    /// Marks of flights with an effect that had to make room, with when these were made.
    marks: BTreeMap<u64, Micros>,
    mark_ends: BTreeSet<(Micros, u64)>,
    /// PolledQueries with an effect whose tickets were made up to then may have been forgotten for good.
    forgotten: Option<Micros>,
}

/// So many marks are kept for each flight that may be known: a mark takes little of a flight's room.
const MARKS: usize = 16;

fn mark_of(key: &PolledQueryKey) -> u64 {
    // The same for equal keys is all that is asked of it; a chance meeting of two refuses one of them.
    BuildHasherDefault::<DefaultHasher>::default().hash_one(key)
}

impl<O: Clone> PolledQueries<O> {
    /// None known.
    #[must_use]
    pub fn new(bounds: PolledQueryLimits) -> Self {
        Self {
            bounds,
            flights: BTreeMap::new(),
            runs: BTreeMap::new(),
            callers: BTreeMap::new(),
            ends: BTreeSet::new(),
            bytes: 0,
            marks: BTreeMap::new(),
            mark_ends: BTreeSet::new(),
            forgotten: None,
        }
    }

    /// How many are known, and the bytes of their outcomes.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        (self.flights.len(), self.bytes)
    }

    /// A call asks for a flight; if it is to be run, it is run under the number given.
    pub fn submit(
        &mut self,
        now: Micros,
        key: &PolledQueryKey,
        spec: PolledQuerySpec,
        caller: Option<WaiterId>,
        run: RunId,
    ) -> Submission<O> {
        self.forget_old(now);
        let unpolled = now + self.bounds.unpolled;
        if let Some(flight) = self.flights.get_mut(key) {
            if flight.spec.body != spec.body {
                return Submission::Reject(RejectReason::DifferentBody);
            }
            return match &mut flight.state {
                State::Running(running) => {
                    running.idle = running.idle.map(|_| unpolled);
                    running.callers.extend(caller);
                    let run = running.run;
                    self.callers.extend(caller.map(|caller| (caller, run)));
                    Submission::Join(run)
                }
                State::Done { outcome, .. } => Submission::Replay(outcome.clone()),
                State::Spent => Submission::Reject(RejectReason::Forgotten),
                State::Cancelled => Submission::Reject(RejectReason::Cancelled),
            };
        }
        if spec.effect && self.marks.contains_key(&mark_of(key)) {
            return Submission::Reject(RejectReason::Forgotten);
        }
        if spec.effect && spec.made.is_some_and(|made| Some(made) <= self.forgotten) {
            return Submission::Reject(RejectReason::Forgotten);
        }
        if self.flights.len() >= self.bounds.flights && !self.forget_first(now) {
            return Submission::Reject(RejectReason::Full);
        }
        let idle = spec.polled.then_some(unpolled);
        let running = Running { run, callers: caller.into_iter().collect(), idle };
        self.flights.insert(key.clone(), Flight { spec, asked: now, state: State::Running(running) });
        self.runs.insert(run, key.clone());
        self.callers.extend(caller.map(|caller| (caller, run)));
        Submission::Run(run)
    }

    /// A run has its final answer: the calls that are to be told. `untouched` says that it was turned away
    /// with nothing run, so that it may be asked again.
    pub fn complete(
        &mut self,
        now: Micros,
        run: RunId,
        outcome: O,
        bytes: usize,
        untouched: bool,
    ) -> Vec<WaiterId> {
        let Some(key) = self.runs.remove(&run) else { return Vec::new() };
        let Some(flight) = self.flights.get_mut(&key) else { return Vec::new() };
        let State::Running(running) = &mut flight.state else { return Vec::new() };
        let callers = std::mem::take(&mut running.callers);
        for caller in &callers {
            self.callers.remove(caller);
        }
        if untouched {
            self.flights.remove(&key);
        } else {
            let until = now + self.bounds.keep;
            flight.state = State::Done { outcome, bytes, until };
            self.ends.insert((until, key));
            self.bytes += bytes;
            while self.bytes > self.bounds.bytes && self.spend_first() {}
        }
        callers.into_iter().collect()
    }

    /// A call no longer waits. The run that nobody needs any more, if that is so: one with an effect, and a
    /// polled one, go on without callers.
    pub fn remove_waiter(&mut self, caller: WaiterId) -> Option<RunId> {
        let run = self.callers.remove(&caller)?;
        let key = self.runs.get(&run)?.clone();
        let flight = self.flights.get_mut(&key)?;
        let State::Running(running) = &mut flight.state else { return None };
        running.callers.remove(&caller);
        if !running.callers.is_empty() || flight.spec.effect || flight.spec.polled {
            return None;
        }
        self.flights.remove(&key);
        self.runs.remove(&run);
        Some(run)
    }

    /// Where a flight stands; asking keeps a polled one alive.
    pub fn state(&mut self, now: Micros, key: &PolledQueryKey) -> Option<PolledState<O>> {
        self.forget_old(now);
        let unpolled = now + self.bounds.unpolled;
        Some(match &mut self.flights.get_mut(key)?.state {
            State::Running(running) => {
                running.idle = running.idle.map(|_| unpolled);
                PolledState::Running(running.run)
            }
            State::Done { outcome, until, .. } => PolledState::Done(outcome.clone(), *until),
            State::Spent => return None,
            State::Cancelled => PolledState::Cancelled,
        })
    }

    /// A client wants a flight cancelled; `touched` says of a run whether a part of it may have run.
    pub fn cancel(
        &mut self,
        now: Micros,
        key: &PolledQueryKey,
        touched: impl Fn(RunId) -> bool,
    ) -> CancelResult {
        self.forget_old(now);
        let Some(flight) = self.flights.get_mut(key) else { return CancelResult::Unknown };
        let (run, callers) = match &mut flight.state {
            State::Running(running) if flight.spec.effect && touched(running.run) => {
                return CancelResult::TooLate
            }
            State::Running(running) => (running.run, std::mem::take(&mut running.callers)),
            State::Done { .. } | State::Spent => return CancelResult::TooLate,
            State::Cancelled => return CancelResult::AlreadyCancelled,
        };
        self.runs.remove(&run);
        for caller in &callers {
            self.callers.remove(caller);
        }
        let until = now + self.bounds.keep;
        flight.state = State::Cancelled;
        self.ends.insert((until, key.clone()));
        CancelResult::Cancelled(run, callers.into_iter().collect())
    }

    /// A client wants nothing to come of a flight that is not known, or no longer: it will not be run.
    ///
    /// # Errors
    /// There is no room to remember that.
    pub fn revoke(
        &mut self,
        now: Micros,
        key: &PolledQueryKey,
        spec: PolledQuerySpec,
    ) -> Result<(), RejectReason> {
        if self.flights.contains_key(key) {
            return Ok(());
        }
        if self.flights.len() >= self.bounds.flights && !self.forget_first(now) {
            return Err(RejectReason::Full);
        }
        let until = now + self.bounds.keep;
        self.flights.insert(key.clone(), Flight { spec, asked: now, state: State::Cancelled });
        self.ends.insert((until, key.clone()));
        Ok(())
    }

    /// The flights of a user, with where they stand.
    pub fn list<'a>(
        &'a self,
        user: &'a str,
    ) -> impl Iterator<Item = (&'a PolledQueryKey, &'static str)> + 'a {
        let mine = self.flights.iter().filter(move |(key, _)| &*key.user == user);
        mine.map(|(key, flight)| match flight.state {
            State::Running(_) => (key, "running"),
            State::Done { .. } => (key, "done"),
            State::Spent => (key, "forgotten"),
            State::Cancelled => (key, "cancelled"),
        })
    }

    /// A client wants an outcome kept for longer: until when it is.
    pub fn renew(&mut self, now: Micros, key: &PolledQueryKey) -> Option<Micros> {
        self.forget_old(now);
        let State::Done { until, .. } = &mut self.flights.get_mut(key)?.state else { return None };
        self.ends.remove(&(*until, key.clone()));
        *until = now + self.bounds.keep;
        self.ends.insert((*until, key.clone()));
        Some(*until)
    }

    /// When something is to be forgotten or given up.
    #[must_use]
    pub fn poll_timeout(&self) -> Option<Micros> {
        let idle = self.runs.values().filter_map(|key| match &self.flights.get(key)?.state {
            State::Running(running) if running.callers.is_empty() => running.idle,
            _ => None,
        });
        let ends = [self.ends.first().map(|(at, _)| *at), self.mark_ends.first().map(|(at, _)| *at)];
        ends.into_iter().flatten().chain(idle).min()
    }

    /// Forgets what has been kept for long enough, and gives up polled flights that nobody asks about: the
    /// runs that are to be given up.
    pub fn handle_timeout(&mut self, now: Micros) -> Vec<RunId> {
        self.forget_old(now);
        let idle = |running: &Running| running.callers.is_empty() && running.idle.is_some_and(|at| at <= now);
        let over = self.runs.iter().filter(|(_, key)| match self.flights.get(key).map(|f| &f.state) {
            Some(State::Running(running)) => idle(running),
            _ => false,
        });
        let over: Vec<(RunId, PolledQueryKey)> = over.map(|(&run, key)| (run, key.clone())).collect();
        for (run, key) in &over {
            self.runs.remove(run);
            if let Some(flight) = self.flights.get_mut(key) {
                let until = now + self.bounds.keep;
                flight.state = State::Cancelled;
                self.ends.insert((until, key.clone()));
            }
        }
        over.into_iter().map(|(run, _)| run).collect()
    }

    /// Forgets what has been kept for long enough.
    fn forget_old(&mut self, now: Micros) {
        while self.ends.first().is_some_and(|(at, _)| *at <= now) {
            self.forget_first(now);
        }
        while let Some(&(at, mark)) = self.mark_ends.first().filter(|(at, _)| *at <= now) {
            self.mark_ends.remove(&(at, mark));
            let made = self.marks.remove(&mark);
            self.forgotten = self.forgotten.max(made);
        }
    }

    /// Lets go of the outcome that is due first, and keeps that its flight is over; `false` if there is none.
    fn spend_first(&mut self) -> bool {
        for (_, key) in &self.ends {
            if let Some(Flight { state, .. }) = self.flights.get_mut(key) {
                if let State::Done { bytes: held @ 1.., .. } = *state {
                    self.bytes -= held;
                    *state = State::Spent;
                    return true;
                }
            }
        }
        false
    }

    /// Forgets the settled flight that is due first; `false` if there is none, or no room for its mark.
    fn forget_first(&mut self, now: Micros) -> bool {
        let Some((until, key)) = self.ends.first().cloned() else { return false };
        let Some(flight) = self.flights.get(&key) else { return false };
        if flight.spec.effect {
            // A ticket as old as an id that was run without one may be for that very id.
            let made = flight.spec.made.unwrap_or(flight.asked);
            if until > now {
                if self.marks.len() >= self.bounds.flights * MARKS {
                    return false;
                }
                let mark = mark_of(&key);
                self.marks.insert(mark, made);
                self.mark_ends.insert((until, mark));
            } else {
                self.forgotten = self.forgotten.max(Some(made));
            }
        }
        self.ends.pop_first();
        if let Some(Flight { state: State::Done { bytes, .. }, .. }) = self.flights.remove(&key) {
            self.bytes -= bytes;
        }
        true
    }
}
