//! What goes into a [`Plan`](super::Plan) and what comes out.

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
    /// Its fraction of the complete response.
    pub weight: f64,
    /// What a scout of an earlier query reported, if that is still cached.
    pub known: Option<Sketch>,
}

/// What is known of a query when its plan starts. Instants are on the caller's clock, in microseconds.
#[derive(Clone, Debug)]
pub struct PlanSetup {
    /// The blocks. Actions name a block by its position here.
    pub blocks: Vec<BlockSetup>,
    /// What the client wants.
    pub spec: PlanSpec,
    /// The second phase has an effect: one block is fetched, once.
    pub has_effect: bool,
    /// The least completeness of a response.
    pub minimum_completeness: f64,
    /// When the response should be there.
    pub objective: Micros,
    /// When the response has to be there.
    pub deadline: Micros,
    /// The time that scouts have.
    pub budget: ScoutBudget,
    /// How long a wave is expected to take, in microseconds.
    pub wave_time: Micros,
}

/// Why a part of the plan has no value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartLoss {
    /// Every attempt is proved not to have been executed.
    NotExecuted,
    /// An attempt may have been executed.
    PossiblyExecuted,
}

/// What the plan wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanAction {
    /// Send the scouts of these blocks.
    SendScouts(Vec<usize>),
    /// Fetch these blocks.
    Fetch(Vec<usize>),
    /// Nobody waits for the scouts of these blocks any more.
    CancelScouts(Vec<usize>),
    /// Nobody waits for these blocks any more.
    CancelFetches(Vec<usize>),
    /// This is the response.
    Respond(Ranked),
    /// There is no response.
    GiveUp {
        /// The query may have had its effect.
        effect_possible: bool,
    },
}

/// The value of the block at which a non-idempotent query had its effect.
#[derive(Clone, Debug, PartialEq)]
pub struct BlockEffect {
    /// The block's shard.
    pub shard: ShardId,
    /// Its value.
    pub value: Rc<str>,
}

/// The response of a plan.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ranked {
    /// Every block was fetched and its rows received.
    pub complete: bool,
    /// No block without rows could have changed the response.
    pub exact: bool,
    /// The best rows.
    pub rows: Vec<Row>,
    /// The effect, of a non-idempotent query.
    pub effect: Option<BlockEffect>,
    /// Blocks whose values were received.
    pub fetched: Vec<ShardId>,
    /// Blocks that were not fetched, for their bounds.
    pub pruned: Vec<ShardId>,
    /// Blocks that were not fetched, for want of time or because their scouts did not report.
    pub skipped: Vec<ShardId>,
    /// Blocks that were fetched and failed.
    pub failed: Vec<ShardId>,
}

/// How long the phases took that have ended, in microseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PhaseTimes {
    /// Until the last scout reported that did.
    pub scouts: Option<Micros>,
    /// Of each wave.
    pub waves: Vec<Micros>,
}
