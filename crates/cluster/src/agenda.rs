//! Decides which of many ids is looked at next: one time for each, found without a look at all of them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::register::QueryId;
use crate::Micros;

/// When each id is to be looked at.
#[derive(Debug, Default)]
pub(crate) struct Agenda {
    at: BTreeMap<QueryId, Micros>,
    order: BTreeSet<(Micros, QueryId)>,
}

impl Agenda {
    /// An id is looked at then, and no longer when it was to be before; `None` takes it out.
    pub(crate) fn set(&mut self, id: &QueryId, at: Option<Micros>) {
        if self.at.get(id).copied() == at {
            return;
        }
        self.remove(id);
        if let Some(at) = at {
            self.at.insert(Arc::clone(id), at);
            self.order.insert((at, Arc::clone(id)));
        }
    }

    /// When an id is looked at.
    pub(crate) fn at(&self, id: &str) -> Option<Micros> {
        self.at.get(id).copied()
    }

    pub(crate) fn remove(&mut self, id: &QueryId) {
        if let Some(at) = self.at.remove(id) {
            self.order.remove(&(at, Arc::clone(id)));
        }
    }

    /// When the next one is due.
    pub(crate) fn first(&self) -> Option<Micros> {
        self.order.first().map(|(at, _)| *at)
    }

    /// Takes out all whose time has come, the earliest first.
    pub(crate) fn take(&mut self, now: Micros) -> Vec<QueryId> {
        let mut due = Vec::new();
        while self.first().is_some_and(|at| at <= now) {
            if let Some((_, id)) = self.order.pop_first() {
                self.at.remove(&id);
                due.push(id);
            }
        }
        due
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_id_is_due_once_at_the_time_that_was_set_last() {
        let mut agenda = Agenda::default();
        let ids: Vec<QueryId> = ["a", "b", "c"].map(QueryId::from).into();
        agenda.set(&ids[0], Some(30));
        agenda.set(&ids[1], Some(20));
        agenda.set(&ids[2], Some(10));
        agenda.set(&ids[0], Some(5));
        agenda.set(&ids[2], None);
        assert_eq!((agenda.first(), agenda.at("b"), agenda.at("c")), (Some(5), Some(20), None));
        assert_eq!(agenda.take(19), [Arc::clone(&ids[0])]);
        assert_eq!(agenda.take(20), [Arc::clone(&ids[1])]);
        assert_eq!((agenda.first(), agenda.take(99)), (None, Vec::new()));
    }
}
