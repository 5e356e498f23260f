//! Input and output types of a [`Plan`](super::Plan).

use std::rc::Rc;

use mallowgauge_router::{Micros, ShardId};

use super::phase_times::ScoutBudget;
use super::rows::Row;
use super::sketch::Sketch;
use super::spec::PlanSpec;

/// One block of a query when its plan starts.
#[derive(Clone, Debug)]
pub struct BlockSetup {
    /// The block's shard.
    pub shard: ShardId,
    /// The block's fraction of the complete response.
    pub weight: f64,
    /// The cached sketch that a scout of an earlier query reported, if any.
    pub cached_sketch: Option<Sketch>,
}

/// The parameters of a plan. Instants are on the caller's clock, in microseconds.
#[derive(Clone, Debug)]
pub struct PlanSetup {
    /// The blocks. Actions identify a block by its position here.
    pub blocks: Vec<BlockSetup>,
    /// The plan that the client requested.
    pub spec: PlanSpec,
    /// Whether the second phase has an effect. If so, blocks are fetched one at a time, until one has
    /// executed or possibly executed the query.
    pub has_effect: bool,
    /// The minimum completeness of a response.
    pub minimum_completeness: f64,
    /// When the response should have arrived.
    pub objective: Micros,
    /// When the response has to have arrived.
    pub deadline: Micros,
    /// The time budget of the scouts.
    pub budget: ScoutBudget,
    /// Expected time of a wave, in microseconds.
    pub wave_time: Micros,
}

/// Why a part of the plan has no value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartLoss {
    /// Every attempt is proved not executed.
    NotExecuted,
    /// An attempt may have been executed.
    PossiblyExecuted,
}

/// An action that the caller of a plan has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanAction {
    /// Send the scouts of these blocks.
    SendScouts(Vec<usize>),
    /// Fetch these blocks.
    Fetch(Vec<usize>),
    /// Cancel the scouts of these blocks.
    CancelScouts(Vec<usize>),
    /// Cancel the fetches of these blocks.
    CancelFetches(Vec<usize>),
    /// Send this response. Final.
    Respond(Ranked),
    /// End the query without a response. Final.
    GiveUp {
        /// Whether a part of a non-idempotent query was possibly executed.
        possibly_executed: bool,
    },
}

/// The value of the block that executed a non-idempotent query.
#[derive(Clone, Debug, PartialEq)]
pub struct BlockEffect {
    /// The block's shard.
    pub shard: ShardId,
    /// The block's value.
    pub value: Rc<str>,
}

/// The response of a plan.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ranked {
    /// Whether every block was fetched and its rows received.
    pub complete: bool,
    /// Whether it is proved that no block without rows could have changed the response.
    pub exact: bool,
    /// The best rows.
    pub rows: Vec<Row>,
    /// The effect of a non-idempotent query.
    pub effect: Option<BlockEffect>,
    /// Blocks whose values were received.
    pub fetched: Vec<ShardId>,
    /// Blocks that were not fetched because of their bounds or the client's selection.
    pub pruned: Vec<ShardId>,
    /// Blocks that were not fetched for lack of time or because their scouts did not report.
    pub skipped: Vec<ShardId>,
    /// Blocks that were fetched and failed.
    pub failed: Vec<ShardId>,
}

/// Durations of phases that have ended, in microseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PhaseTimes {
    /// Time until the last report of a scout, if any reported.
    pub scouts: Option<Micros>,
    /// Time of each wave.
    pub waves: Vec<Micros>,
}
