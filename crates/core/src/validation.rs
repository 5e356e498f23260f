//! Validation of requests before they reach the router, with the error texts that clients get.

use std::collections::BTreeSet;

use mallowgauge_router::ShardId;

use crate::query::PartRequest;
use crate::two_phase::{BlockSelection, PlanSpec, MAX_ROW_LIMIT, MAX_WAVE_SIZE};

/// How far the sum of the weights of a query's parts may differ from 1, because of rounding.
const WEIGHT_SUM_TOLERANCE: f64 = 0.01;

/// Why a request is invalid. Nothing was sent for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.message())]
pub enum ValidationError {
    /// The request has no parts.
    NoParts,
    /// A part names a shard that does not exist.
    UnknownShard,
    /// Two parts name the same shard.
    DuplicateShard,
    /// A weight is not above 0, or the weights do not add up to 1.
    InvalidWeights,
    /// A query with the same id is open. Backends identify parts by the query's id, so two queries could not
    /// be distinguished.
    IdInUse,
    /// A query with the same id and a different body, class or list of parts is open.
    IdInUseWithDifferentBody,
    /// A query with the same id has ended. It may have been executed, and must not be executed again.
    MayHaveBeenExecuted,
    /// The request has a plan, but two-phase queries are disabled.
    TwoPhaseDisabled,
    /// A number in the plan is out of its range.
    InvalidPlan,
    /// Another instance has a record of a different request under the same id.
    IdReplicatedWithDifferentBody,
    /// The request does not fit into a replicated record.
    TooLargeToReplicate,
}

impl ValidationError {
    /// Returns the error text for the client.
    #[must_use]
    pub const fn message(self) -> &'static str {
        match self {
            Self::NoParts => "a query needs a part",
            Self::UnknownShard => "there is no such shard",
            Self::DuplicateShard => "a shard is named twice",
            Self::InvalidWeights => "the shares of the parts do not add up to 1",
            Self::IdInUse => "a query of this id is open",
            Self::IdInUseWithDifferentBody => "a query of this id with another body is open",
            Self::MayHaveBeenExecuted => "a query of this id may have run",
            Self::TwoPhaseDisabled => "queries in two phases are not taken here",
            Self::InvalidPlan => "the plan makes no sense",
            Self::IdReplicatedWithDifferentBody => "this id was asked with another body",
            Self::TooLargeToReplicate => "more is asked than other gatherers keep",
        }
    }
}

/// Checks the parts of a request against the number of shards, `shards`.
pub(crate) fn validate_parts(parts: &[PartRequest], shards: u32) -> Result<(), ValidationError> {
    if parts.is_empty() {
        return Err(ValidationError::NoParts);
    }
    if parts.iter().any(|part| part.shard.0 >= shards) {
        return Err(ValidationError::UnknownShard);
    }
    let distinct: BTreeSet<ShardId> = parts.iter().map(|part| part.shard).collect();
    if distinct.len() < parts.len() {
        return Err(ValidationError::DuplicateShard);
    }
    let sum: f64 = parts.iter().map(|part| part.weight).sum();
    let all_positive = parts.iter().all(|part| part.weight > 0.0);
    if !all_positive || !sum.is_finite() || (sum - 1.0).abs() > WEIGHT_SUM_TOLERANCE {
        return Err(ValidationError::InvalidWeights);
    }
    Ok(())
}

/// Checks the numbers of a two-phase plan against their ranges.
pub(crate) fn validate_plan(spec: &PlanSpec) -> Result<(), ValidationError> {
    let selection_in_range = match spec.selection {
        BlockSelection::Best(blocks) => blocks > 0,
        BlockSelection::Share(share) => (0.0..=1.0).contains(&share),
        BlockSelection::Threshold | BlockSelection::All => true,
    };
    let row_limit_in_range = (1..=MAX_ROW_LIMIT).contains(&spec.row_limit);
    let wave_size_in_range = (1..=MAX_WAVE_SIZE).contains(&spec.wave_size);
    if selection_in_range && row_limit_in_range && wave_size_in_range {
        Ok(())
    } else {
        Err(ValidationError::InvalidPlan)
    }
}
