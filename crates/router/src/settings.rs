//! Configuration of a router: classes, shard layout, limits of the deployment and parameters of the rules.
//! All durations are in microseconds, and all fractions from 0 to 1.

use crate::ids::{Micros, ZoneId};
use crate::settings_error::{ClassField, Field, Problem, SettingsError};

/// Tolerance in comparisons of weights, whose sums may be too small by rounding.
pub(crate) const ROUNDING: f64 = 0.000_05;

/// Effect of repeating a part of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats have no further effect.
    Idempotent,
    /// Parts carry an idempotency key: every replica drops a repeat within the dedup window.
    Keyed {
        /// Length of the window, from the first possibly executed attempt.
        dedup_window: Micros,
    },
    /// A repeat would take effect a second time.
    NonIdempotent,
}

/// One class of query. The answer of a query has a value: the full value if complete and within the latency
/// objective.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time of arrival has its full value.
    pub latency_objective: Micros,
    /// The objective grows by this multiple of the query's expected work, up to `deadline`.
    pub objective_per_work: f64,
    /// Longest time that a client waits.
    pub deadline: Micros,
    /// Fraction of its value that an answer past the objective has.
    pub late_value: f64,
    /// Effect of a repeat.
    pub idempotency: Idempotency,
    /// Fraction of the parts' weight that any answer needs.
    pub minimum_completeness: f64,
    /// Fraction of the first step's weight that makes a complete answer.
    pub required_completeness: f64,
    /// Value of a partial answer as a fraction of the full value, multiplied by the fraction of the required
    /// completeness that it reaches.
    pub partial_value: f64,
    /// Number of parts in the second step; 0 if there is none.
    pub second_step_parts: u32,
}

/// Mapping of shards to ring positions, and the cost of a call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardLayout {
    /// Number of ring positions.
    pub ring_positions: u32,
    /// Number of consecutive ring positions, from `s` on around the ring, whose backends hold shard `s`.
    pub replication_factor: u32,
    /// Maximum number of parts per call.
    pub parts_per_call: u32,
    /// Work that a call costs its backend in addition to that of its parts.
    pub call_work: Micros,
}

/// What the deployment allows a router to do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeploymentLimits {
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether backends may be sent health checks.
    pub health_checks: bool,
    /// Whether two attempts of one part may be in flight at once.
    pub hedging: bool,
    /// Maximum number of attempts of one part.
    pub max_attempts: u32,
    /// Longest delay that a rejected client is advised to wait before a retry; 0 for no advice.
    pub max_retry_after: Micros,
}

/// Limit of the attempts beyond a part's first in any window: `min_retries + retry_ratio * arrivals`, where
/// arrivals are the queries and parts that arrived within the window.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries that are allowed regardless of arrivals.
    pub min_retries: f64,
    /// Retries that are allowed per arriving query or part.
    pub retry_ratio: f64,
    /// Length of the window.
    pub window: Micros,
}

/// Parameters of the rules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RuleSettings {
    /// Least fraction of its capacity that a backend starts with.
    pub initial_capacity: f64,
    /// Longest time from its start until a backend has its full capacity.
    pub warm_up_time: Micros,
    /// A warming-up backend fails if it is sent more work than this multiple of its current capacity within
    /// `overload_window`.
    pub overload_multiple: f64,
    /// Window over which that work is counted.
    pub overload_window: Micros,
    /// The retry budget, if one is configured.
    pub retry_budget: Option<RetryBudgetSettings>,
}

/// How endpoint updates reach the router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    /// They arrive without a request.
    #[default]
    Push,
    /// They arrive only after [`Action::WatchEndpoints`](crate::Action::WatchEndpoints).
    Poll,
}

/// Configuration of a router.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of routers that share the backends, this one included.
    pub routers: u32,
    /// Shortest time between two calls of [`Router::handle`](crate::Router::handle).
    pub batch_interval: Micros,
    /// The classes; a [`ClassId`](crate::ClassId) is a position here.
    pub classes: Vec<Class>,
    /// Layout of shards on the ring, and calls.
    pub layout: ShardLayout,
    /// Limits of the deployment.
    pub limits: DeploymentLimits,
    /// Parameters of the rules.
    pub rules: RuleSettings,
    /// How endpoint updates arrive.
    pub discovery: Discovery,
    /// The zone of this router, if there are zones.
    pub zone: Option<ZoneId>,
    /// Whether traffic between zones has a cost: if so, backends in the router's own zone are preferred.
    pub cross_zone_costs: bool,
}

impl Settings {
    /// Checks that the settings are valid and consistent.
    ///
    /// # Errors
    /// Returns the first invalid field.
    pub fn validate(&self) -> Result<(), SettingsError> {
        check(self.routers > 0, Field::Routers, Problem::Zero)?;
        check(!self.classes.is_empty(), Field::Classes, Problem::Empty)?;
        check(self.layout.ring_positions > 0, Field::RingPositions, Problem::Zero)?;
        check(self.layout.replication_factor > 0, Field::ReplicationFactor, Problem::Zero)?;
        check(self.layout.parts_per_call > 0, Field::PartsPerCall, Problem::Zero)?;
        check(self.limits.max_attempts > 0, Field::MaxAttempts, Problem::Zero)?;
        let initial_capacity = self.rules.initial_capacity;
        check(is_fraction(initial_capacity), Field::InitialCapacity, Problem::OutsideUnitInterval)?;
        let multiple = self.rules.overload_multiple;
        check(multiple.is_finite() && multiple > 0.0, Field::OverloadMultiple, Problem::NotPositive)?;
        for (index, class) in self.classes.iter().enumerate() {
            class.validate(index)?;
        }
        self.rules.retry_budget.as_ref().map_or(Ok(()), RetryBudgetSettings::validate)
    }
}

impl Class {
    fn validate(&self, index: usize) -> Result<(), SettingsError> {
        use ClassField::{
            LateValue, LatencyObjective, MinimumCompleteness, ObjectivePerWork, PartialValue,
            RequiredCompleteness,
        };
        let check = |ok, field, problem| check(ok, Field::Class { index, field }, problem);
        let fraction = |value, field| check(is_fraction(value), field, Problem::OutsideUnitInterval);
        check(self.latency_objective > 0, LatencyObjective, Problem::Zero)?;
        check(self.latency_objective <= self.deadline, LatencyObjective, Problem::BeyondDeadline)?;
        fraction(self.minimum_completeness, MinimumCompleteness)?;
        fraction(self.required_completeness, RequiredCompleteness)?;
        let in_order = self.minimum_completeness <= self.required_completeness;
        check(in_order, MinimumCompleteness, Problem::AboveRequiredCompleteness)?;
        fraction(self.late_value, LateValue)?;
        fraction(self.partial_value, PartialValue)?;
        let per_work = self.objective_per_work;
        check(per_work.is_finite() && per_work >= 0.0, ObjectivePerWork, Problem::NotAFactor)
    }
}

impl RetryBudgetSettings {
    fn validate(&self) -> Result<(), SettingsError> {
        check(self.min_retries >= 0.0, Field::MinRetries, Problem::Negative)?;
        check(self.retry_ratio >= 0.0, Field::RetryRatio, Problem::Negative)?;
        check(self.window > 0, Field::RetryWindow, Problem::Zero)
    }
}

fn is_fraction(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

fn check(ok: bool, field: Field, problem: Problem) -> Result<(), SettingsError> {
    if ok {
        Ok(())
    } else {
        Err(SettingsError { field, problem })
    }
}
