//! When a query ends, and how: complete, partial, late, rejected or failed.
//!
//! - It is answered as soon as the answer is complete: with the class's required share of the weight, or all
//!   parts of a second step.
//! - Shortly before the latency objective, a partial answer is given if it earns more than a late one would; a
//!   query whose late answer earns nothing ends there.
//! - Shortly before its end it gets a partial answer, if one is allowed, or none.
//! - When a part can never be answered and the rest cannot make an answer, it ends at once.
//! - Without an answer it is rejected if nothing of it can have taken effect, and failed otherwise.
//!
//! Planned queries are answered by whoever planned them; they too end at their deadline.

use crate::ids::Micros;
use crate::query::{Part, Query, Step};
use crate::settings::{Class, Idempotency, ROUNDING};

/// An answer has to leave this long before the objective or the end to count, in microseconds: it covers the
/// way to the client.
const RESPONSE_MARGIN_US: Micros = 15_000;

/// When to look at a query before one of its limits, not earlier than now.
pub(crate) fn response_time(now: Micros, limit: Micros) -> Micros {
    limit.saturating_sub(RESPONSE_MARGIN_US).max(now)
}

/// How long an attempt that is sent now is waited for, in microseconds: until its answer has no value any more.
pub(crate) fn attempt_timeout(now: Micros, query: &Query, class: &Class) -> Micros {
    let has_late_value = class.late_value > 0.0;
    let useful_until = if has_late_value { query.ends_at } else { query.objective_at.min(query.ends_at) };
    useful_until.saturating_sub(now).max(1)
}

/// What is to become of a query when one of its limits is near.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Answer with the parts that are in.
    RespondPartially,
    /// End it without an answer.
    GiveUp,
    /// Go on.
    Continue,
}

/// How a query ends without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unanswered {
    /// Nothing of it has taken effect, or its effect may be repeated: the client may try again.
    Rejected,
    /// It may have taken effect.
    Failed,
}

/// How far a query has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Progress {
    /// The step that it is in.
    pub step: Step,
    /// Whether somebody else decides when it is answered.
    pub planned: bool,
    /// Number of parts of this step.
    pub parts: usize,
    /// How many of them are answered.
    pub answered_parts: usize,
    /// The weight of the answered ones, from 0 to 1.
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

    /// Whether the query is to be answered now; if so, whether that answer is complete.
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

    /// Whether an answer may be given that is not complete.
    pub fn allows_partial(&self, class: &Class) -> bool {
        !self.planned
            && self.parts > 0
            && class.minimum_completeness < class.required_completeness
            && self.answered_weight >= class.minimum_completeness - ROUNDING
    }

    /// What to do shortly before the latency objective.
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

    /// What to do shortly before the end. A first step whose answer would only bring a second one ends there.
    pub fn at_deadline(&self, class: &Class) -> Ending {
        let is_last_step = self.step != Step::First || class.second_step_parts == 0;
        if is_last_step && self.allows_partial(class) {
            Ending::RespondPartially
        } else {
            Ending::GiveUp
        }
    }

    /// Whether the parts that are answered or still can be, of this weight together, make no answer.
    pub fn is_hopeless(&self, class: &Class, reachable_weight: f64) -> bool {
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

/// How a query ends that gets no answer: it is rejected, which says that sending it again does no harm, where
/// that holds, and failed otherwise. In its second step it can no longer be rejected, since the answer of the
/// first step has been given.
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

/// How many of these parts, in the order in which they are to be sent, a complete answer needs, and one to
/// spare. The others are held back until one is late or lost: they would be work that nobody needs.
pub fn parts_to_send(class: &Class, weights: impl Iterator<Item = f64>) -> usize {
    let mut weight = 0.0;
    let needed = weights.take_while(|part| {
        let is_needed = weight < class.required_completeness - ROUNDING;
        weight += part;
        is_needed
    });
    needed.count() + 1
}
