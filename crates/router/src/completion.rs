//! When a query ends, and with what result: complete, partial, late, rejected or failed.
//!
//! - It is answered as soon as the answer is complete: with the class's required fraction of the weight, or
//!   all parts of a second step.
//! - Shortly before the latency objective, a partial answer is given if it has more value than a late one; a
//!   query whose late answer has no value ends there.
//! - Shortly before its deadline it gets a partial answer, if one is allowed, or none.
//! - If a part can no longer be answered and the rest is not enough for an answer, it ends at once.
//! - Without an answer it is rejected if a retry is safe: no part was executed, or its parts may be repeated.
//!   Otherwise it is failed.
//!
//! Planned queries are answered by the caller that planned them; they too end at their deadline.

use crate::ids::Micros;
use crate::query::{Part, Query, Step};
use crate::settings::{Class, Idempotency, ROUNDING};

/// How long before the objective or the deadline an answer is sent, in microseconds: covers the transfer to
/// the client.
const RESPONSE_MARGIN_US: Micros = 15_000;

/// Returns when to evaluate a query whose objective or deadline is `limit`: shortly before it, but not before
/// `now`.
pub(crate) fn response_time(now: Micros, limit: Micros) -> Micros {
    limit.saturating_sub(RESPONSE_MARGIN_US).max(now)
}

/// Returns the timeout of an attempt that is sent now, in microseconds: until its answer has no value any
/// more.
pub(crate) fn attempt_timeout(now: Micros, query: &Query, class: &Class) -> Micros {
    let has_late_value = class.late_value > 0.0;
    let useful_until = if has_late_value { query.ends_at } else { query.objective_at.min(query.ends_at) };
    useful_until.saturating_sub(now).max(1)
}

/// What to do with a query shortly before its objective or deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Answer with the parts that are answered.
    RespondPartially,
    /// End it without an answer.
    GiveUp,
    /// Keep waiting.
    Continue,
}

/// How a query ends without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unanswered {
    /// No part was executed, or its parts may be repeated: the client may safely retry.
    Rejected,
    /// A part that must not be repeated was possibly executed, or the answer of the first step has been given.
    Failed,
}

/// Progress of a query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Progress {
    /// Its current step.
    pub step: Step,
    /// Whether the caller decides when it is answered.
    pub planned: bool,
    /// Number of parts of this step.
    pub parts: usize,
    /// Number of these that are answered.
    pub answered_parts: usize,
    /// Weight of the answered parts, from 0 to 1.
    pub answered_weight: f64,
}

impl Progress {
    pub(crate) fn of<'a>(query: &Query, parts: impl Iterator<Item = &'a Part>) -> Self {
        let (mut answered_parts, mut answered_weight) = (0, 0.0);
        for part in parts.filter(|part| part.answered) {
            answered_parts += 1;
            answered_weight += part.weight;
        }
        let (step, planned, parts) = (query.step, query.planned, query.parts.len());
        Self { step, planned, parts, answered_parts, answered_weight }
    }

    /// Returns the complete answer that can be given now, if any.
    pub fn answer(&self, class: &Class) -> Option<Answer> {
        if self.planned || self.parts == 0 {
            return None;
        }
        match self.step {
            Step::First => {
                let enough = self.answered_weight >= class.required_completeness - ROUNDING;
                enough.then_some(Answer { complete: true })
            }
            Step::Second { first_complete } => {
                (self.answered_parts == self.parts).then_some(Answer { complete: first_complete })
            }
        }
    }

    /// Returns whether a partial answer may be given.
    pub fn allows_partial(&self, class: &Class) -> bool {
        !self.planned
            && self.parts > 0
            && class.minimum_completeness < class.required_completeness
            && self.answered_weight >= class.minimum_completeness - ROUNDING
    }

    /// Returns what to do shortly before the latency objective.
    pub fn at_objective(&self, class: &Class) -> Ending {
        let completeness = self.answered_weight / class.required_completeness.max(ROUNDING);
        if self.allows_partial(class) && class.partial_value * completeness > class.late_value {
            Ending::RespondPartially
        } else if class.late_value == 0.0 && !self.planned {
            Ending::GiveUp
        } else {
            Ending::Continue
        }
    }

    /// Returns what to do shortly before the deadline. A first step that has a second one to follow gets no
    /// partial answer: there is no time for the second.
    pub fn at_deadline(&self, class: &Class) -> Ending {
        let is_last_step = self.step != Step::First || class.second_step_parts == 0;
        if is_last_step && self.allows_partial(class) {
            Ending::RespondPartially
        } else {
            Ending::GiveUp
        }
    }

    /// Returns whether no answer is possible any more. `reachable_weight` is the weight of the parts that are
    /// answered or still can be.
    pub fn is_unanswerable(&self, class: &Class, reachable_weight: f64) -> bool {
        let least = if self.step == Step::First { class.minimum_completeness } else { 1.0 };
        reachable_weight < least - ROUNDING
    }
}

/// An answer that can be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Whether it is marked complete.
    pub complete: bool,
}

/// Returns how a query without an answer ends: rejected, which tells the client that a retry is safe, if that
/// is true, and failed otherwise. In its second step it can no longer be rejected, since the answer of the first
/// step has been given.
pub(crate) fn unanswered<'a>(
    class: &Class,
    query: &Query,
    mut parts: impl Iterator<Item = &'a Part>,
) -> Unanswered {
    let repeatable = class.idempotency != Idempotency::NonIdempotent
        || parts.all(|part| part.idempotent || part.was_not_executed());
    if repeatable && !query.is_in_second_step() {
        Unanswered::Rejected
    } else {
        Unanswered::Failed
    }
}

/// Returns how many parts are sent at once, given the weights of all parts in sending order: those that a
/// complete answer needs, and one spare. The others are deferred until one is late or lost, because their
/// work would probably not be needed.
pub fn parts_to_send(class: &Class, weights: impl Iterator<Item = f64>) -> usize {
    let mut weight = 0.0;
    let needed = weights.take_while(|part| {
        let is_needed = weight < class.required_completeness - ROUNDING;
        weight += part;
        is_needed
    });
    needed.count() + 1
}
