//! Attempts in flight and their timeouts.
//!
//! An attempt is in flight from the moment the router decides to send it until its outcome is known; it may
//! still wait for a permit, a connection or capacity on one.

use std::collections::{BTreeMap, BTreeSet};

use mallowgauge_router::{BackendId, Micros, PartId, QueryId};

use crate::query::AttemptId;

/// An attempt whose outcome is not known yet.
#[derive(Debug)]
pub(crate) struct InFlightAttempt {
    pub(crate) backend: BackendId,
    pub(crate) query: QueryId,
    pub(crate) sent_at: Micros,
    /// When it times out.
    pub(crate) deadline: Micros,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptTimeout {
    at: Micros,
    attempt: AttemptId,
}

/// The attempts in flight by id and by timeout, and the next attempt number of each open part.
#[derive(Debug, Default)]
pub(crate) struct InFlightAttempts {
    attempts: BTreeMap<AttemptId, InFlightAttempt>,
    next_numbers: BTreeMap<PartId, u32>,
    timeouts: BTreeSet<AttemptTimeout>,
}

/// Number of entries of each kind in [`InFlightAttempts`].
pub(crate) struct AttemptCounts {
    pub(crate) attempts: usize,
    pub(crate) attempt_numbers: usize,
    pub(crate) timeouts: usize,
}

impl InFlightAttempts {
    /// Returns the id of the part's next attempt.
    pub(crate) fn next_id(&mut self, part: PartId) -> AttemptId {
        let next = self.next_numbers.entry(part).or_insert(0);
        let number = *next;
        *next += 1;
        AttemptId { part, number }
    }

    /// Returns whether any attempt of the open part was made.
    pub(crate) fn was_attempted(&self, part: PartId) -> bool {
        self.next_numbers.contains_key(&part)
    }

    /// Closes a part: no further attempt of it will be made.
    pub(crate) fn close_part(&mut self, part: PartId) {
        self.next_numbers.remove(&part);
    }

    /// Adds an attempt that was sent.
    pub(crate) fn insert(&mut self, id: AttemptId, attempt: InFlightAttempt) {
        self.timeouts.insert(AttemptTimeout { at: attempt.deadline, attempt: id });
        self.attempts.insert(id, attempt);
    }

    /// Returns the attempt with this id, if it is in flight.
    pub(crate) fn get(&self, id: AttemptId) -> Option<&InFlightAttempt> {
        self.attempts.get(&id)
    }

    /// Returns whether the attempt is in flight.
    pub(crate) fn contains(&self, id: AttemptId) -> bool {
        self.attempts.contains_key(&id)
    }

    /// Removes an attempt whose outcome is known.
    pub(crate) fn remove(&mut self, id: AttemptId) -> Option<InFlightAttempt> {
        let attempt = self.attempts.remove(&id)?;
        self.timeouts.remove(&AttemptTimeout { at: attempt.deadline, attempt: id });
        Some(attempt)
    }

    /// Returns the attempts of a part that are in flight, by number.
    pub(crate) fn of_part(&self, part: PartId) -> impl Iterator<Item = (AttemptId, &InFlightAttempt)> {
        let first = AttemptId { part, number: 0 };
        let last = AttemptId { part, number: u32::MAX };
        self.attempts.range(first..=last).map(|(id, attempt)| (*id, attempt))
    }

    /// Returns when the first attempt times out.
    pub(crate) fn poll_timeout(&self) -> Option<Micros> {
        self.timeouts.first().map(|timeout| timeout.at)
    }

    /// Returns the next attempt that has timed out by `now`. It stays in flight until it is removed, but is
    /// not returned again.
    pub(crate) fn pop_timed_out(&mut self, now: Micros) -> Option<AttemptId> {
        if self.poll_timeout()? > now {
            return None;
        }
        self.timeouts.pop_first().map(|timeout| timeout.attempt)
    }

    /// Returns the number of entries of each kind.
    pub(crate) fn counts(&self) -> AttemptCounts {
        AttemptCounts {
            attempts: self.attempts.len(),
            attempt_numbers: self.next_numbers.len(),
            timeouts: self.timeouts.len(),
        }
    }
}
