//! Errors of invalid settings. Operators know the fields by their names in the deployment's files; the
//! `Display` of [`Field`] is the only place that maps to these names.

use std::fmt;

/// An invalid field of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("setting {field} {problem}")]
pub struct SettingsError {
    /// The first invalid field.
    pub field: Field,
    /// Why it is invalid.
    pub problem: Problem,
}

/// Why a field is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// Must not be zero.
    #[error("is zero")]
    Zero,
    /// Must have entries.
    #[error("is empty")]
    Empty,
    /// Must be a fraction from 0 to 1.
    #[error("lies outside 0 to 1")]
    OutsideUnitInterval,
    /// Must be finite and above zero.
    #[error("is not above zero")]
    NotPositive,
    /// Must be finite and not negative.
    #[error("is not a share")]
    NotAFactor,
    /// Must not be negative.
    #[error("is negative")]
    Negative,
    /// The latency objective must not be longer than the deadline.
    #[error("lies beyond the deadline")]
    BeyondDeadline,
    /// The minimum completeness must not be above the required completeness.
    #[error("lies above the need")]
    AboveRequiredCompleteness,
}

/// A field of [`Settings`](crate::Settings).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// `routers`
    Routers,
    /// `classes`
    Classes,
    /// `layout.ring_positions`
    RingPositions,
    /// `layout.replication_factor`
    ReplicationFactor,
    /// `layout.parts_per_call`
    PartsPerCall,
    /// `limits.max_attempts`
    MaxAttempts,
    /// `rules.initial_capacity`
    InitialCapacity,
    /// `rules.overload_multiple`
    OverloadMultiple,
    /// `rules.retry_budget.min_retries`
    MinRetries,
    /// `rules.retry_budget.retry_ratio`
    RetryRatio,
    /// `rules.retry_budget.window`
    RetryWindow,
    /// A field of one class.
    Class {
        /// Position in `classes`.
        index: usize,
        /// The field.
        field: ClassField,
    },
}

/// A field of a [`Class`](crate::Class).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClassField {
    /// `latency_objective`
    LatencyObjective,
    /// `objective_per_work`
    ObjectivePerWork,
    /// `late_value`
    LateValue,
    /// `minimum_completeness`
    MinimumCompleteness,
    /// `required_completeness`
    RequiredCompleteness,
    /// `partial_value`
    PartialValue,
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Routers => "routers",
            Self::Classes => "classes",
            Self::RingPositions => "layout.cells",
            Self::ReplicationFactor => "layout.reach",
            Self::PartsPerCall => "layout.parts_per_call",
            Self::MaxAttempts => "limits.max_attempts",
            Self::InitialCapacity => "rules.cold_from",
            Self::OverloadMultiple => "rules.tip_multiple",
            Self::MinRetries => "rules.budget.free",
            Self::RetryRatio => "rules.budget.share",
            Self::RetryWindow => "rules.budget.window",
            Self::Class { index, field } => return write!(f, "classes[{index}].{field}"),
        })
    }
}

impl fmt::Display for ClassField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::LatencyObjective => "aim",
            Self::ObjectivePerWork => "aim_stretch",
            Self::LateValue => "late_worth",
            Self::MinimumCompleteness => "floor",
            Self::RequiredCompleteness => "need",
            Self::PartialValue => "partial_worth",
        })
    }
}
