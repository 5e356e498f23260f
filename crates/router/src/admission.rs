//! Which queries are rejected on arrival, before any of their parts is sent.
//!
//! A query is rejected for one of these reasons:
//! - its class is not configured;
//! - its latency objective has already passed ([`QueryArrival::expires_in`], and whether it is a client's
//!   retry), and late answers of its class have no value or the class sheds load;
//! - load shedding drops it at random, with the drop rate of its class. [`Admission`] raises that rate by a
//!   fixed step in each control interval in which too few of the class's recent queries met their latency
//!   objective, and lowers it by the same step in every other. Queries that miss only because of outliers do
//!   not count (`excluded_from_objective`);
//! - the parts that no replica is expected to answer in time weigh so much that it [`cannot_meet_objective`].
//!
//! [`crate::completion`] decides which parts of an admitted query are sent, and when an admitted query is
//! rejected after all. `retry_after` is the delay that a rejected client is advised to wait.

use crate::events::{Outcome, QueryArrival};
use crate::ids::{BackendId, ClassId, Micros};
use crate::query::Part;
use crate::random::Random;
use crate::settings::{Class, DeploymentLimits, ROUNDING};

/// Interval at which drop rates are adjusted, in microseconds.
pub(crate) const CONTROL_INTERVAL_US: Micros = 20_000;
/// Change of a drop rate per control interval.
const DROP_RATE_STEP: f64 = 0.003;
/// Upper bound of a drop rate: some queries have to be admitted to show whether the overload is over.
const MAX_DROP_RATE: f64 = 0.99;
/// Fraction of a class's recent queries that must meet their latency objective.
const OBJECTIVE_FRACTION: f64 = 0.85;
/// Decay factor of the counts per control interval: about a third is left after two seconds.
const COUNT_DECAY: f64 = 0.99;
/// Below this count there is too little evidence: queries are assumed to meet their objective.
const MIN_COUNT: f64 = 0.3;
/// A part that is expected to take more than this fraction of the time to the objective is assumed to miss
/// it.
const MAX_PART_OBJECTIVE_FRACTION: f64 = 0.3;

/// Load-shedding state of one class.
#[derive(Clone, Debug, Default)]
struct ClassState {
    /// Probability of rejection, from 0 to [`MAX_DROP_RATE`].
    drop_rate: f64,
    /// Recent queries that met their objective, decaying.
    met_objective: f64,
    /// Recent queries that missed it, decaying.
    missed_objective: f64,
    /// Longest timeout that a client set on the first attempt of a query, in microseconds.
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
    /// Time left to meet it, in microseconds; 0 if it has passed.
    pub time_left: Micros,
    /// Whether the query is not counted: it arrived with so little time left that a miss does not indicate
    /// overload.
    pub excluded: bool,
}

/// Load shedding by class.
#[derive(Debug)]
pub struct Admission {
    classes: Vec<ClassState>,
    last_control_step: Option<Micros>,
}

impl Admission {
    /// Creates the state of this number of classes, with every drop rate at 0.
    pub fn new(classes: usize) -> Self {
        Self { classes: vec![ClassState::default(); classes], last_control_step: None }
    }

    /// Adjusts the drop rates by one step for each control interval that has passed.
    pub fn advance(&mut self, now: Micros) {
        let last = *self.last_control_step.get_or_insert(now);
        let steps = now.saturating_sub(last) / CONTROL_INTERVAL_US;
        self.last_control_step = Some(last + steps * CONTROL_INTERVAL_US);
        for class in &mut self.classes {
            (0..steps).for_each(|_| class.control_step());
        }
    }

    /// Returns the drop rate of a class, from 0 to 1, or `None` for an unknown class.
    pub fn drop_rate(&self, class: ClassId) -> Option<f64> {
        self.classes.get(class.0).map(|class| class.drop_rate)
    }

    /// Returns whether queries of a class are rejected at random.
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

    /// Returns the objective of a query that arrives now. A client's retry has only the time that its first
    /// attempt left: its `expires_in` is taken as the rest of the class's deadline. If it is no shorter than
    /// the longest timeout of first attempts, clients are assumed to set a timeout per attempt, and the retry
    /// gets the full objective.
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

    /// Returns whether load shedding rejects a query. It is rejected if its objective has passed and a late
    /// answer has no value, or less value than the queries that would be rejected in its place, or if a
    /// random draw with the drop rate selects it. Draws only if the class sheds load.
    pub fn sheds(&self, id: ClassId, class: &Class, objective_passed: bool, random: &mut Random) -> bool {
        let shedding = self.is_shedding(id);
        if objective_passed && (shedding || class.late_value == 0.0) {
            return true;
        }
        shedding && random.happens_with(self.classes[id.0].drop_rate)
    }
}

/// A part of an arriving query, as [`cannot_meet_objective`] sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedPart {
    /// Its share of the query's weight, from 0 to 1.
    pub weight: f64,
    /// Shortest time that any of its replicas is expected to take, in microseconds: infinite if all of them
    /// are warming up and cannot take another part, `None` if the shard has no replica.
    pub wait: Option<f64>,
}

/// Returns whether a query is certain to miss its objective: the parts whose replicas are all expected to
/// take too long weigh so much that the rest is not enough for an answer. The drop rate would react only
/// after the objective has passed. One slow answer may count against all replicas of a shard, but its effect
/// fades within seconds. `time_left` is the time to the objective or to the end of the query, in
/// microseconds.
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

/// Returns whether a missed objective does not indicate overload: each missing part waits for a backend that
/// it may be sent to (but not because a full backend rejected it), or is in flight at an ejected backend or
/// overdue.
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

/// Returns the delay that a rejected client is advised to wait before a retry, in microseconds. It is random,
/// so that clients that follow it do not retry at the same time.
pub(crate) fn retry_after(limits: &DeploymentLimits, random: &mut Random) -> Micros {
    random.up_to(limits.max_retry_after)
}
