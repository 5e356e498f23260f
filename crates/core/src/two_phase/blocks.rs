//! The blocks of one plan: what is known of each, and what follows for the response.

use mallowgauge_router::ShardId;

use super::actions::BlockSetup;
use super::sketch::Sketch;

/// What is known of a block from scouts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ScoutState {
    /// Nothing, and no scout was sent.
    NotSent,
    /// Its scout is in flight.
    InFlight,
    /// What the scout of an earlier query reported. It only says where to look first: it proves nothing.
    Cached(Sketch),
    /// What its scout reported in this query.
    Reported(Sketch),
    /// Its scout failed, or did not report in time.
    Silent,
}

impl ScoutState {
    /// The sketch, wherever it is from.
    pub(super) fn sketch(self) -> Option<Sketch> {
        match self {
            Self::Cached(sketch) | Self::Reported(sketch) => Some(sketch),
            Self::NotSent | Self::InFlight | Self::Silent => None,
        }
    }
}

/// How far the second phase has come with a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FetchState {
    NotSent,
    InFlight,
    Received,
    Failed,
    /// Given up for want of time before it was sent.
    OutOfTime,
}

#[derive(Debug)]
pub(super) struct Block {
    pub(super) shard: ShardId,
    weight: f64,
    pub(super) scout: ScoutState,
    pub(super) fetch: FetchState,
}

impl Block {
    fn new(setup: BlockSetup) -> Self {
        let scout = setup.known.map_or(ScoutState::NotSent, ScoutState::Cached);
        Self { shard: setup.shard, weight: setup.weight, scout, fetch: FetchState::NotSent }
    }

    /// Whether no row can have a place among the best: its scout, in this query, reported that it is empty or
    /// that its bound lies below the threshold.
    fn is_proved_irrelevant(&self, threshold: Option<f64>) -> bool {
        let ScoutState::Reported(sketch) = self.scout else { return false };
        sketch.is_empty() || threshold.is_some_and(|threshold| sketch.bound < threshold)
    }
}

/// All blocks of a plan, by their position in its setup.
#[derive(Debug)]
pub(super) struct Blocks {
    blocks: Vec<Block>,
    /// Blocks whose scouts are silent are left out.
    skip_silent: bool,
}

impl Blocks {
    pub(super) fn new(setup: Vec<BlockSetup>, skip_silent: bool) -> Self {
        Self { blocks: setup.into_iter().map(Block::new).collect(), skip_silent }
    }

    pub(super) fn get(&self, block: usize) -> &Block {
        &self.blocks[block]
    }

    pub(super) fn get_mut(&mut self, block: usize) -> &mut Block {
        &mut self.blocks[block]
    }

    /// The positions of all blocks.
    pub(super) fn positions(&self) -> std::ops::Range<usize> {
        0..self.blocks.len()
    }

    /// The blocks whose scouts are in this state.
    pub(super) fn with_scout(&self, state: ScoutState) -> Vec<usize> {
        self.positions().filter(|&block| self.blocks[block].scout == state).collect()
    }

    /// The blocks whose fetches are in this state.
    pub(super) fn with_fetch(&self, state: FetchState) -> Vec<usize> {
        self.positions().filter(|&block| self.blocks[block].fetch == state).collect()
    }

    /// Whether any block's scout is in this state.
    pub(super) fn any_scout(&self, state: ScoutState) -> bool {
        self.blocks.iter().any(|block| block.scout == state)
    }

    /// Whether any block's fetch is in this state.
    pub(super) fn any_fetch(&self, state: FetchState) -> bool {
        self.blocks.iter().any(|block| block.fetch == state)
    }

    /// Whether the fetches of all blocks are in this state.
    pub(super) fn all_fetches(&self, state: FetchState) -> bool {
        self.blocks.iter().all(|block| block.fetch == state)
    }

    pub(super) fn set_scouts(&mut self, blocks: &[usize], state: ScoutState) {
        blocks.iter().for_each(|&block| self.blocks[block].scout = state);
    }

    pub(super) fn set_fetches(&mut self, blocks: &[usize], state: FetchState) {
        blocks.iter().for_each(|&block| self.blocks[block].fetch = state);
    }

    /// The bound of the scores of a block's rows: infinite where no scout reported, and `None` where the block
    /// is empty or left out.
    pub(super) fn bound(&self, block: usize) -> Option<f64> {
        match self.blocks[block].scout.sketch() {
            Some(sketch) if sketch.is_empty() => None,
            Some(sketch) => Some(sketch.bound),
            None if self.is_left_out(block) => None,
            None => Some(f64::INFINITY),
        }
    }

    /// Whether a block is left out because its scout is silent.
    pub(super) fn is_left_out(&self, block: usize) -> bool {
        self.skip_silent && self.blocks[block].scout == ScoutState::Silent
    }

    /// The weight of the blocks that were received, as a fraction of what the second phase wanted.
    pub(super) fn completeness(&self) -> f64 {
        let weight = |counts: fn(FetchState) -> bool| -> f64 {
            self.blocks.iter().filter(|block| counts(block.fetch)).map(|block| block.weight).sum()
        };
        let wanted = weight(|fetch| fetch != FetchState::NotSent);
        if wanted <= 0.0 {
            return 1.0;
        }
        weight(|fetch| fetch == FetchState::Received) / wanted
    }

    /// Whether every block was received or is proved not to matter.
    pub(super) fn all_received_or_irrelevant(&self, threshold: Option<f64>) -> bool {
        self.blocks
            .iter()
            .all(|block| block.fetch == FetchState::Received || block.is_proved_irrelevant(threshold))
    }

    /// The shards of these blocks.
    pub(super) fn shards(&self, include: impl Fn(usize, &Block) -> bool) -> Vec<ShardId> {
        let included = self.blocks.iter().enumerate().filter(|&(position, block)| include(position, block));
        included.map(|(_, block)| block.shard).collect()
    }
}
