//! What a router is configured with: classes, shard layout, limits of the deployment and figures of the rules.
//! All lengths of time are in microseconds, and all fractions from 0 to 1.

use crate::ids::{Micros, ZoneId};
use crate::settings_error::{ClassField, Field, Problem, SettingsError};

/// Weights of parts may fall short of their sum by rounding, by no more than this.
pub(crate) const ROUNDING: f64 = 0.000_05;

/// What repeating a part of a class may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats are harmless.
    Idempotent,
    /// Parts carry an idempotency key: every replica drops a repeat within the dedup window.
    Keyed {
        /// Length of the window, from the first attempt that may have run.
        dedup_window: Micros,
    },
    /// A repeat would take effect a second time.
    NonIdempotent,
}

/// One class of query. A query's answer has a value: all of it if complete and within the latency objective.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time of arrival has its full value.
    pub latency_objective: Micros,
    /// The objective grows by this multiple of the query's expected work, up to `deadline`.
    pub objective_per_work: f64,
    /// The longest that a client waits.
    pub deadline: Micros,
    /// Fraction of its value that an answer past the objective has.
    pub late_value: f64,
    /// What a repeat may do.
    pub idempotency: Idempotency,
    /// Least fraction of the parts' weight that any answer needs.
    pub minimum_completeness: f64,
    /// Fraction of the first step's weight that makes a complete answer.
    pub required_completeness: f64,
    /// A partial answer has this times the fraction that it has of the required completeness.
    pub partial_value: f64,
    /// Number of parts in the second step; 0 where there is none.
    pub second_step_parts: u32,
}

/// Which ring positions hold a shard, and what a call costs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardLayout {
    /// Number of ring positions.
    pub ring_positions: u32,
    /// Shard `s` is held by the backends of positions `s`, `s + 1`, ... over this many, around the ring.
    pub replication_factor: u32,
    /// Most parts that one call carries.
    pub parts_per_call: u32,
    /// Work that a call costs its backend beside that of its parts.
    pub call_work: Micros,
}

/// What the deployment lets a router do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeploymentLimits {
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Backends may be sent health checks.
    pub health_checks: bool,
    /// Two attempts of one part may be in flight at once.
    pub hedging: bool,
    /// Most attempts of one part.
    pub max_attempts: u32,
    /// Longest advice to a rejected client on when to come back; 0 where none is passed on.
    pub max_retry_after: Micros,
}

/// Attempts beyond a part's first that are allowed in any window: `min_retries + retry_ratio * arrivals`, where
/// arrivals are the queries and parts that arrived within the window.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Allowed however little arrives.
    pub min_retries: f64,
    /// Allowed for each query and part that arrives.
    pub retry_ratio: f64,
    /// Length of the window.
    pub window: Micros,
}

/// Figures of the rules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RuleSettings {
    /// A backend starts with this fraction of its capacity or more.
    pub initial_capacity: f64,
    /// A backend has its full capacity this long after its start at the latest.
    pub warm_up_time: Micros,
    /// Work beyond this multiple of present capacity ...
    pub overload_multiple: f64,
    /// ... for this long brings down a backend that warms up.
    pub overload_window: Micros,
    /// The budget of further attempts, where one is set.
    pub retry_budget: Option<RetryBudgetSettings>,
}

/// How endpoint updates reach the router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    /// By themselves.
    #[default]
    Push,
    /// Only after [`Action::WatchEndpoints`](crate::Action::WatchEndpoints).
    Poll,
}

/// Everything that a router is configured with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of routers that share the backends, this one included.
    pub routers: u32,
    /// Shortest time between two calls of [`Router::handle`](crate::Router::handle).
    pub batch_interval: Micros,
    /// The classes; a [`ClassId`](crate::ClassId) is a position here.
    pub classes: Vec<Class>,
    /// Shards, ring positions and calls.
    pub layout: ShardLayout,
    /// What is allowed.
    pub limits: DeploymentLimits,
    /// Figures of the rules.
    pub rules: RuleSettings,
    /// How endpoint updates arrive.
    pub discovery: Discovery,
    /// The zone of this router, where there are zones.
    pub zone: Option<ZoneId>,
    /// Whether traffic between zones costs.
    pub cross_zone_costs: bool,
}

impl Settings {
    /// Checks that the figures make sense together.
    ///
    /// # Errors
    /// Names the first field that does not.
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
