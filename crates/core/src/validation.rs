//! Which requests are rejected before the router sees them, and with what text.

use std::collections::BTreeSet;

use mallowgauge_router::ShardId;

use crate::query::PartRequest;
use crate::two_phase::{BlockSelection, PlanSpec, MAX_ROW_LIMIT, MAX_WAVE_SIZE};

/// How far the weights of a query's parts may add up to something other than 1, by rounding.
const WEIGHT_SUM_TOLERANCE: f64 = 0.01;

/// Why a request is invalid. Nothing was sent for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.message())]
pub enum ValidationError {
    /// The request has no parts.
    NoParts,
    /// A part names a shard beyond the number of shards.
    UnknownShard,
    /// Two parts name the same shard.
    DuplicateShard,
    /// A weight is not above 0, or the weights do not add up to 1.
    InvalidWeights,
    /// A query with the same id is open. Backends know parts by the query's id, so two could not be told
    /// apart.
    IdInUse,
    /// A query with the same id and another body, class or list of parts is open.
    IdInUseWithDifferentBody,
    /// The request has a plan, and two-phase queries are disabled.
    TwoPhaseDisabled,
    /// A number in the plan is out of its range.
    InvalidPlan,
    /// Another instance was asked for something else under the same id.
    IdReplicatedWithDifferentBody,
    /// The request does not fit into a replicated record.
    TooLargeToReplicate,
}

impl ValidationError {
    /// The text that a client is sent.
    #[must_use]
    pub const fn message(self) -> &'static str {
        match self {
            Self::NoParts => "a query needs a part",
            Self::UnknownShard => "there is no such shard",
            Self::DuplicateShard => "a shard is named twice",
            Self::InvalidWeights => "the shares of the parts do not add up to 1",
            Self::IdInUse => "a query of this id is open",
            Self::IdInUseWithDifferentBody => "a query of this id with another body is open",
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
    let choice_in_range = match spec.selection {
        BlockSelection::Best(blocks) => blocks > 0,
        BlockSelection::Share(share) => (0.0..=1.0).contains(&share),
        BlockSelection::Threshold | BlockSelection::All => true,
    };
    let top_in_range = (1..=MAX_ROW_LIMIT).contains(&spec.row_limit);
    let wave_in_range = (1..=MAX_WAVE_SIZE).contains(&spec.wave_size);
    if choice_in_range && top_in_range && wave_in_range {
        Ok(())
    } else {
        Err(ValidationError::InvalidPlan)
    }
}
