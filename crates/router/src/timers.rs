//! The router's timers. The caller keeps the clock: the router asks for one wake-up at a time, for the
//! earliest timer that is set.

use std::collections::BTreeSet;

use crate::ids::{BackendId, Micros, PartId, QueryId};

/// What to do when a timer fires. Timers of the same instant fire in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The latency objective of a query is about to pass.
    LatencyObjective(QueryId),
    /// The time of a query is about to run out.
    Deadline(QueryId),
    /// An attempt may be overdue.
    Overdue(PartId, u32),
    /// A part that could not be sent is looked at again.
    Resend(PartId),
    /// An ejected backend may be tried again.
    RecoveryAttempt(BackendId),
    /// The endpoint list is to be watched.
    WatchEndpoints,
}

/// The timers that are set, earliest first.
#[derive(Debug, Default)]
pub(crate) struct TimerQueue {
    queue: BTreeSet<(Micros, Timer)>,
    /// When the wake-up comes that the caller was last asked for.
    wake_up_at: Option<Micros>,
}

impl TimerQueue {
    /// Sets a timer to fire at this instant or as soon after it as the router runs.
    pub(crate) fn set(&mut self, at: Micros, timer: Timer) {
        self.queue.insert((at, timer));
    }

    /// Takes out the next timer that is due.
    pub(crate) fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        let &(at, timer) = self.queue.first()?;
        if at > now {
            return None;
        }
        self.queue.pop_first();
        Some(timer)
    }

    /// How long from now the caller has to wake the router, in microseconds; `None` where a wake-up that
    /// comes early enough was asked for already, or nothing is set.
    pub(crate) fn next_wake_up(&mut self, now: Micros) -> Option<Micros> {
        let &(first, _) = self.queue.first()?;
        if self.wake_up_at.is_some_and(|at| at > now && at <= first) {
            return None;
        }
        self.wake_up_at = Some(first);
        Some(first.saturating_sub(now).max(1))
    }

    /// How many timers are set.
    pub(crate) fn len(&self) -> usize {
        self.queue.len()
    }
}
