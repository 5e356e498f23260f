//! The router's timers. The caller owns the clock: the router requests one wake-up at a time, for the
//! earliest timer that is set.

use std::collections::BTreeSet;

use crate::ids::{BackendId, Micros, PartId, QueryId};

/// What to do when a timer fires. Timers of the same instant fire in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The latency objective of a query is about to pass.
    LatencyObjective(QueryId),
    /// The deadline of a query is about to pass.
    Deadline(QueryId),
    /// An attempt may be overdue.
    Overdue(PartId, u32),
    /// A part that no backend could take is to be sent.
    Resend(PartId),
    /// The wait for a recovery attempt of an ejected backend is over.
    RecoveryAttempt(BackendId),
    /// The endpoint list is to be watched.
    WatchEndpoints,
}

/// The timers that are set, earliest first.
#[derive(Debug, Default)]
pub(crate) struct TimerQueue {
    queue: BTreeSet<(Micros, Timer)>,
    /// Time of the wake-up that was last requested.
    wake_up_at: Option<Micros>,
}

impl TimerQueue {
    /// Sets a timer to fire at this instant, or when the router next runs after it.
    pub(crate) fn set(&mut self, at: Micros, timer: Timer) {
        self.queue.insert((at, timer));
    }

    /// Removes and returns the next due timer.
    pub(crate) fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        let &(at, timer) = self.queue.first()?;
        if at > now {
            return None;
        }
        self.queue.pop_first();
        Some(timer)
    }

    /// Returns the delay after which the caller has to wake the router, in microseconds, or `None` if an
    /// early enough wake-up was already requested or no timer is set.
    pub(crate) fn next_wake_up(&mut self, now: Micros) -> Option<Micros> {
        let &(first, _) = self.queue.first()?;
        if self.wake_up_at.is_some_and(|at| at > now && at <= first) {
            return None;
        }
        self.wake_up_at = Some(first);
        Some(first.saturating_sub(now).max(1))
    }

    /// Returns the number of timers that are set.
    pub(crate) fn len(&self) -> usize {
        self.queue.len()
    }
}
