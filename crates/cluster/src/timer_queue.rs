//! A timer queue: at most one deadline per query, ordered by time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::register::QueryId;
use crate::Micros;

/// The deadlines of queries, at most one each.
#[derive(Debug, Default)]
pub struct TimerQueue {
    deadlines: BTreeMap<QueryId, Micros>,
    order: BTreeSet<(Micros, QueryId)>,
}

impl TimerQueue {
    /// Replaces a query's deadline; `None` removes it.
    pub fn set(&mut self, id: &QueryId, deadline: Option<Micros>) {
        if self.deadline(id) == deadline {
            return;
        }
        self.remove(id);
        if let Some(deadline) = deadline {
            self.deadlines.insert(Arc::clone(id), deadline);
            self.order.insert((deadline, Arc::clone(id)));
        }
    }

    /// Returns a query's deadline.
    #[must_use]
    pub fn deadline(&self, id: &str) -> Option<Micros> {
        self.deadlines.get(id).copied()
    }

    /// Removes a query's deadline.
    pub fn remove(&mut self, id: &QueryId) {
        if let Some(deadline) = self.deadlines.remove(id) {
            self.order.remove(&(deadline, Arc::clone(id)));
        }
    }

    /// Returns the earliest deadline.
    #[must_use]
    pub fn poll_timeout(&self) -> Option<Micros> {
        self.order.first().map(|(deadline, _)| *deadline)
    }

    /// Removes and returns the queries whose deadline has passed, the earliest first.
    pub fn take_due(&mut self, now: Micros) -> Vec<QueryId> {
        let mut due = Vec::new();
        while self.poll_timeout().is_some_and(|deadline| deadline <= now) {
            if let Some((_, id)) = self.order.pop_first() {
                self.deadlines.remove(&id);
                due.push(id);
            }
        }
        due
    }
}
