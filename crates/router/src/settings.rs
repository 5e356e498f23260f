//! What a router is configured with: classes, layout, limits and figures of the rules, checked.

use std::fmt;

use crate::ids::{Micros, ZoneId};

/// Weights of parts may fall short of their sum by rounding, by no more than this.
pub(crate) const ROUNDING: f64 = 0.000_05;

/// What repeating a part of a class may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats are harmless.
    Idempotent,
    /// A repeat is dropped by every replica for this long after the first attempt.
    Keyed(Micros),
    /// A repeat would take effect twice.
    NonIdempotent,
}

/// One class of query.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time of arrival earns the full worth.
    pub latency_objective: Micros,
    /// The aim grows by this multiple of the query's own work, up to `deadline`.
    pub objective_per_work: f64,
    /// The longest that a client waits.
    pub deadline: Micros,
    /// Share of the worth still paid for an answer past the aim.
    pub late_value: f64,
    /// What a repeat may do.
    pub idempotency: Idempotency,
    /// Least share of the parts' weight that any answer needs.
    pub minimum_completeness: f64,
    /// Share of the first step's weight that makes a whole answer.
    pub required_completeness: f64,
    /// An answer that is not whole earns this times its share of what is needed.
    pub partial_value: f64,
    /// Number of parts in the second step; 0 where there is none.
    pub second_step_parts: u32,
}

/// Which cells hold a shard, and what a call costs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardLayout {
    /// Number of cells.
    pub ring_positions: u32,
    /// Shard `s` is held by the servers of cells `s`, `s + 1`, ... over this many, modulo `cells`.
    pub replication_factor: u32,
    /// Most parts that one call carries.
    pub parts_per_call: u32,
    /// Work that a call costs its server beside that of its parts.
    pub call_work: Micros,
}

/// What the deployment lets a router do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeploymentLimits {
    /// Attempts may be called off.
    pub cancellation: bool,
    /// Servers may be probed.
    pub health_checks: bool,
    /// Two attempts of one part may be out at once.
    pub hedging: bool,
    /// Most attempts for one part.
    pub max_attempts: u32,
    /// Longest advice to a client on when to come back; 0 where no advice is passed on.
    pub max_retry_after: Micros,
}

/// Further attempts allowed in any window: `free + share * (queries and parts taken)`.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Allowed however light the traffic.
    pub min_retries: f64,
    /// Allowed for each query and part taken in the window.
    pub retry_ratio: f64,
    /// Length of the window.
    pub window: Micros,
}

/// Figures of the rules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RuleSettings {
    /// A server starts at this share of its capacity or more.
    pub initial_capacity: f64,
    /// A server is warm this long after its start at the latest.
    pub warm_up_time: Micros,
    /// Work sent beyond this multiple of present capacity ...
    pub overload_multiple: f64,
    /// ... for this long makes a cold server fall over.
    pub overload_window: Micros,
    /// RetryBudgetSettings for further attempts, where one is set.
    pub retry_budget: Option<RetryBudgetSettings>,
    /// Without a subscription, the longest time between two asks for the list; 0 if not stated.
    pub max_poll_interval: Micros,
}

/// How changes of the list of servers reach the router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    /// Unasked.
    #[default]
    Push,
    /// Only after [`Action::WatchEndpoints`](crate::Action::WatchEndpoints).
    Poll,
}

/// Everything a router is told at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of routers that share the servers, this one included.
    pub routers: u32,
    /// Shortest time between two calls of [`Router::handle`](crate::Router::handle).
    pub batch_interval: Micros,
    /// The classes.
    pub classes: Vec<Class>,
    /// Shards, cells and calls.
    pub layout: ShardLayout,
    /// What is allowed.
    pub limits: DeploymentLimits,
    /// Figures of the rules.
    pub rules: RuleSettings,
    /// How the list arrives.
    pub discovery: Discovery,
    /// The zone of this router, where there are zones.
    pub zone: Option<ZoneId>,
    /// Whether parts that cross zones are paid for.
    pub cross_zone_costs: bool,
}

/// Why settings were rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The field, as a path such as `classes[1].floor`.
    pub field: String,
    /// What is wrong with it.
    pub problem: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {} {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks that the figures make sense together.
    ///
    /// # Errors
    /// Names the first field that does not.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let check = |ok: bool, field: &str, problem: &'static str| {
            if ok {
                Ok(())
            } else {
                Err(SettingsError { field: field.to_owned(), problem })
            }
        };
        let share = |x: f64| (0.0..=1.0).contains(&x);
        check(self.routers > 0, "routers", "is zero")?;
        check(!self.classes.is_empty(), "classes", "is empty")?;
        check(self.layout.ring_positions > 0, "layout.cells", "is zero")?;
        check(self.layout.replication_factor > 0, "layout.reach", "is zero")?;
        check(self.layout.parts_per_call > 0, "layout.parts_per_call", "is zero")?;
        check(self.limits.max_attempts > 0, "limits.max_attempts", "is zero")?;
        let cold = self.rules.initial_capacity;
        check(share(cold), "rules.cold_from", "lies outside 0 to 1")?;
        let multiple = self.rules.overload_multiple;
        check(multiple.is_finite() && multiple > 0.0, "rules.tip_multiple", "is not above zero")?;
        for (i, class) in self.classes.iter().enumerate() {
            let name = |field: &str| format!("classes[{i}].{field}");
            check(class.latency_objective > 0, &name("aim"), "is zero")?;
            check(class.latency_objective <= class.deadline, &name("aim"), "lies beyond the deadline")?;
            check(share(class.minimum_completeness), &name("floor"), "lies outside 0 to 1")?;
            check(share(class.required_completeness), &name("need"), "lies outside 0 to 1")?;
            check(
                class.minimum_completeness <= class.required_completeness,
                &name("floor"),
                "lies above the need",
            )?;
            check(share(class.late_value), &name("late_worth"), "lies outside 0 to 1")?;
            check(share(class.partial_value), &name("partial_worth"), "lies outside 0 to 1")?;
            let stretch = class.objective_per_work;
            check(stretch.is_finite() && stretch >= 0.0, &name("aim_stretch"), "is not a share")?;
        }
        if let Some(budget) = &self.rules.retry_budget {
            check(budget.min_retries >= 0.0, "rules.budget.free", "is negative")?;
            check(budget.retry_ratio >= 0.0, "rules.budget.share", "is negative")?;
            check(budget.window > 0, "rules.budget.window", "is zero")?;
        }
        Ok(())
    }
}
