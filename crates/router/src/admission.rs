//! Which queries are rejected on arrival, before any of their parts is sent.
//!
//! A query is rejected by one of these:
//! - its class is not configured;
//! - its latency objective has passed already ([`QueryArrival::expires_in`], and whether it is a client's
//!   retry), and its class pays nothing for late answers or sheds load;
//! - at random, with the drop rate of its class. [`Admission`] raises that rate by a fixed step in each control
//!   interval in which too few of the class's recent queries met their latency objective, and lowers it by
//!   the same step in every other. Queries that miss only because of outliers do not count
//!   (`excluded_from_objective`);
//! - so many of its parts have no replica that answers in time that it [`cannot_meet_objective`].
//!
//! Which parts of an admitted query are sent, and when it is rejected later after all, is in [`crate::completion`]. A
//! rejected client is told when it may come back by `retry_after`.

use crate::events::{Outcome, QueryArrival};
use crate::ids::{BackendId, ClassId, Micros};
use crate::query::Part;
use crate::random::Random;
use crate::settings::{Class, DeploymentLimits, ROUNDING};

/// How often the drop rates move, in microseconds.
pub(crate) const CONTROL_INTERVAL_US: Micros = 20_000;
/// How far a drop rate moves in one control interval.
const DROP_RATE_STEP: f64 = 0.003;
/// Some queries have to be admitted to show whether the overload is over.
const MAX_DROP_RATE: f64 = 0.99;
/// Fraction of a class's recent queries that must meet their latency objective.
const OBJECTIVE_FRACTION: f64 = 0.85;
/// What is left of the counts after one control interval: after two seconds, about a third.
const COUNT_DECAY: f64 = 0.99;
/// With lower counts too little was seen to judge by: queries are taken to meet their objective.
const MIN_COUNT: f64 = 0.3;
/// A part that is expected to take more than this fraction of the time to the objective is taken to miss it.
const MAX_PART_OBJECTIVE_FRACTION: f64 = 0.3;

/// The state of one class.
#[derive(Clone, Debug, Default)]
struct ClassState {
    /// Probability of rejection, from 0 to [`MAX_DROP_RATE`].
    drop_rate: f64,
    /// Recent queries that met their objective, decaying.
    met_objective: f64,
    /// Recent queries that missed it, decaying.
    missed_objective: f64,
    /// The longest time that a client gave its first attempt.
    longest_client_timeout: Micros,
}

impl ClassState {
    fn control_step(&mut self) {
        self.met_objective *= COUNT_DECAY;
        self.missed_objective *= COUNT_DECAY;
        let count = self.met_objective + self.missed_objective;
        let met = if count < MIN_COUNT { 1.0 } else { self.met_objective / count };
        let step = if met < OBJECTIVE_FRACTION { DROP_RATE_STEP } else { -DROP_RATE_STEP };
        self.drop_rate = (self.drop_rate + step).clamp(0.0, MAX_DROP_RATE);
    }
}

/// A query's own latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Objective {
    /// Time left to meet it, in microseconds; 0 where it has passed.
    pub time_left: Micros,
    /// Whether the query is not counted: it came with so little time that a miss says nothing of the load.
    pub excluded: bool,
}

/// Load shedding by class.
#[derive(Debug)]
pub struct Admission {
    classes: Vec<ClassState>,
    last_control_step: Option<Micros>,
}

impl Admission {
    /// So many classes, none of which sheds load.
    pub fn new(classes: usize) -> Self {
        Self { classes: vec![ClassState::default(); classes], last_control_step: None }
    }

    /// Moves the drop rates, one step for each control interval that has passed.
    pub fn advance(&mut self, now: Micros) {
        let last = *self.last_control_step.get_or_insert(now);
        let steps = now.saturating_sub(last) / CONTROL_INTERVAL_US;
        self.last_control_step = Some(last + steps * CONTROL_INTERVAL_US);
        for class in &mut self.classes {
            (0..steps).for_each(|_| class.control_step());
        }
    }

    /// The drop rate of a class, from 0 to 1, if there is such a class.
    pub fn drop_rate(&self, class: ClassId) -> Option<f64> {
        self.classes.get(class.0).map(|class| class.drop_rate)
    }

    /// Whether queries of a class are rejected at random.
    pub fn is_shedding(&self, class: ClassId) -> bool {
        self.classes[class.0].drop_rate > 0.0
    }

    /// Counts a query that has ended or whose objective has passed.
    pub fn record(&mut self, class: ClassId, met_objective: bool) {
        let class = &mut self.classes[class.0];
        if met_objective {
            class.met_objective += 1.0;
        } else {
            class.missed_objective += 1.0;
        }
    }

    /// The objective of a query that arrives now. A client's retry has what its first attempt has left: it
    /// comes with all that remains of the class's deadline, unless clients give each attempt less than that.
    pub fn objective(&mut self, class: &Class, arrival: &QueryArrival) -> Objective {
        let by_work = class.objective_per_work * arrival.work_hint.unwrap_or(0) as f64;
        let objective = (class.latency_objective + by_work as Micros).min(class.deadline);
        let state = &mut self.classes[arrival.class.0];
        let continues = arrival.retry && state.longest_client_timeout > arrival.expires_in;
        let elapsed = if continues { class.deadline.saturating_sub(arrival.expires_in) } else { 0 };
        if !arrival.retry {
            state.longest_client_timeout = state.longest_client_timeout.max(arrival.expires_in);
        }
        let time_left = objective.saturating_sub(elapsed);
        Objective { time_left, excluded: time_left.min(arrival.expires_in) < objective / 2 }
    }

    /// Whether load shedding rejects a query: its objective has passed and its answer is worth nothing, or
    /// little beside those that are rejected for it, or the draw goes against it. Draws only where the class
    /// sheds load.
    pub fn sheds(&self, id: ClassId, class: &Class, objective_passed: bool, random: &mut Random) -> bool {
        let shedding = self.is_shedding(id);
        if objective_passed && (shedding || class.late_value == 0.0) {
            return true;
        }
        shedding && random.happens_with(self.classes[id.0].drop_rate)
    }
}

/// A part on arrival, for [`cannot_meet_objective`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedPart {
    /// Its share of the query's weight, from 0 to 1.
    pub weight: f64,
    /// Shortest time that any of its replicas is expected to take, in microseconds: infinite where each one
    /// is warming up and can take no more, `None` where the shard has no replica.
    pub wait: Option<f64>,
}

/// Whether a query's objective is lost before its start: parts whose replicas are all expected to take too
/// long weigh so much that the rest cannot make an answer. The drop rate would learn of it only when the
/// objective has passed. One slow answer may be held against all replicas of a shard, but it fades within
/// seconds. `time_left` is the time to the objective or the end of the query, in microseconds.
pub fn cannot_meet_objective(
    class: &Class,
    time_left: Micros,
    parts: impl Iterator<Item = ExpectedPart>,
) -> bool {
    let longest_wait = MAX_PART_OBJECTIVE_FRACTION * time_left as f64;
    let late = parts.filter(|part| part.wait.is_some_and(|wait| wait > longest_wait));
    let late_weight: f64 = late.map(|part| part.weight).sum();
    late_weight > 1.0 - class.minimum_completeness + ROUNDING
}

/// Whether a query that misses its objective says nothing of the load: each part that it lacks waits for a
/// backend that it may be sent to (but not because a full one rejected it), or is in flight at an ejected
/// backend or overdue.
pub(crate) fn excluded_from_objective<'a>(
    parts: impl Iterator<Item = &'a Part>,
    is_ejected: impl Fn(BackendId) -> bool,
) -> bool {
    let is_unsent = |part: &Part| {
        let was_rejected = part.attempts.iter().any(|a| a.outcome == Some(Outcome::Rejected));
        !part.is_in_flight() && !was_rejected
    };
    let is_stuck =
        |part: &Part| part.attempts.iter().any(|a| a.is_in_flight() && (a.overdue || is_ejected(a.backend)));
    let mut missing = parts.filter(|part| !part.answered).peekable();
    missing.peek().is_some() && missing.all(|part| is_unsent(part) || is_stuck(part))
}

/// When a rejected client may come back, in microseconds from now: spread at random, or clients that heed it
/// would come back together.
pub(crate) fn retry_after(limits: &DeploymentLimits, random: &mut Random) -> Micros {
    random.up_to(limits.max_retry_after)
}
