//! State of the open queries, their parts and the parts' attempts. The rules are in other modules.

use std::collections::BTreeMap;

use crate::events::Outcome;
use crate::ids::{BackendId, ClassId, Micros, PartId, QueryId, ShardId};

/// Step of a query.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Step {
    /// The only step, or the first of two.
    #[default]
    First,
    /// The second of two.
    Second {
        /// Whether the first step's answer was complete.
        first_complete: bool,
    },
}

/// An open query.
#[derive(Debug, Default)]
pub(crate) struct Query {
    pub(crate) class: ClassId,
    pub(crate) arrived_at: Micros,
    /// An answer after this instant has missed the latency objective.
    pub(crate) objective_at: Micros,
    /// Time at which the client gives up.
    pub(crate) ends_at: Micros,
    /// The parts of the current step.
    pub(crate) parts: Vec<PartId>,
    /// Parts that are not sent yet, because the answer can be complete without them.
    pub(crate) deferred_parts: Vec<PartId>,
    pub(crate) step: Step,
    pub(crate) admitted: bool,
    /// Whether admission control has counted it, or must not count it.
    pub(crate) counted: bool,
    /// Whether the caller decides which parts it needs and when it is answered.
    pub(crate) planned: bool,
}

impl Query {
    pub(crate) fn is_in_second_step(&self) -> bool {
        self.step != Step::First
    }
}

/// One part of an open query. It is retained until its last attempt has ended, also after the end of its
/// query.
#[derive(Debug, Default)]
pub(crate) struct Part {
    pub(crate) query: QueryId,
    pub(crate) class: ClassId,
    pub(crate) shard: ShardId,
    /// Its share of the step's weight, from 0 to 1.
    pub(crate) weight: f64,
    pub(crate) attempts: Vec<Attempt>,
    /// Whether it has been answered.
    pub(crate) answered: bool,
    /// Whether it is no longer needed.
    pub(crate) abandoned: bool,
    /// Whether it may be repeated regardless of its class.
    pub(crate) idempotent: bool,
}

impl Part {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    pub(crate) fn is_needed(&self) -> bool {
        !self.abandoned && !self.answered
    }

    /// Returns whether it is certain that no attempt was executed.
    pub(crate) fn was_not_executed(&self) -> bool {
        self.attempts.iter().all(Attempt::was_not_executed)
    }
}

/// One attempt of a part.
#[derive(Debug, Default)]
pub(crate) struct Attempt {
    pub(crate) backend: BackendId,
    pub(crate) call: CallId,
    pub(crate) sent_at: Micros,
    /// How it ended; `None` while it is in flight.
    pub(crate) outcome: Option<Outcome>,
    /// Whether it was found to be overdue.
    pub(crate) overdue: bool,
}

impl Attempt {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Returns whether it is certain that the attempt was not executed.
    pub(crate) fn was_not_executed(&self) -> bool {
        matches!(self.outcome, Some(Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent))
    }
}

/// Identifies a call, which carries one or more parts to one backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallId(pub(crate) u64);

/// All parts that are still needed or in flight.
#[derive(Debug, Default)]
pub(crate) struct PartTable(BTreeMap<PartId, Part>);

impl PartTable {
    pub(crate) fn get(&self, id: PartId) -> Option<&Part> {
        self.0.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: PartId) -> Option<&mut Part> {
        self.0.get_mut(&id)
    }

    pub(crate) fn insert(&mut self, id: PartId, part: Part) {
        self.0.insert(id, part);
    }

    pub(crate) fn remove(&mut self, id: PartId) {
        self.0.remove(&id);
    }

    /// Returns the parts of a query's current step.
    pub(crate) fn of<'a>(&'a self, query: &'a Query) -> impl Iterator<Item = &'a Part> {
        query.parts.iter().filter_map(|id| self.0.get(id))
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}

/// Returns the weight of the answered parts, from 0 to 1.
pub(crate) fn answered_weight<'a>(parts: impl Iterator<Item = &'a Part>) -> f64 {
    parts.filter(|part| part.answered).map(|part| part.weight).sum()
}
