//! The ids of non-idempotent queries that have ended here and may have been executed, for a limited time.
//!
//! A client that lost its connection may ask again under the same id. Without permits nobody else knows whether the query
//! was executed, so it is rejected. An id is kept for [`RETENTION`] after its query's deadline; when too many are kept, the
//! oldest is forgotten.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use mallowgauge_router::Micros;

/// How long an id is kept after the deadline of its query, in microseconds: longer than clients retry.
const RETENTION: Micros = 10_000_000;
/// Maximum number of ids.
const MAX_IDS: usize = 4_096;

/// The ids, each with the time at which it is forgotten.
#[derive(Default)]
pub(crate) struct ExecutedRequests {
    forgotten_at: BTreeMap<Rc<str>, Micros>,
    /// In the order in which their queries ended.
    ids: VecDeque<Rc<str>>,
}

impl ExecutedRequests {
    /// Records that the query with this id has ended and may have been executed. `deadline` is that of the query.
    pub(crate) fn record(&mut self, id: &Rc<str>, deadline: Micros) {
        let forgotten_at = deadline.saturating_add(RETENTION);
        if self.forgotten_at.insert(Rc::clone(id), forgotten_at).is_none() {
            self.ids.push_back(Rc::clone(id));
        }
        if self.ids.len() > MAX_IDS {
            self.forget_first();
        }
    }

    /// Returns whether a query with this id may have been executed.
    pub(crate) fn contains(&mut self, now: Micros, id: &str) -> bool {
        let is_expired = |ids: &Self| Some(*ids.forgotten_at.get(ids.ids.front()?)? <= now);
        while is_expired(self) == Some(true) {
            self.forget_first();
        }
        self.forgotten_at.get(id).is_some_and(|at| *at > now)
    }

    fn forget_first(&mut self) {
        if let Some(first) = self.ids.pop_front() {
            self.forgotten_at.remove(&first);
        }
    }
}
