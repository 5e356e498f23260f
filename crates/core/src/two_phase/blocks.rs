//! The blocks of one plan, their states, and the properties of the response that follow from them.

use mallowgauge_router::ShardId;

use super::actions::BlockSetup;
use super::sketch::Sketch;

/// The state of a block's scout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ScoutState {
    /// No scout was sent, and no sketch is cached.
    NotSent,
    /// The scout is in flight.
    InFlight,
    /// Sketch from an earlier query's scout. It only decides the order of fetches and proves nothing.
    Cached(Sketch),
    /// Sketch from this query's scout.
    Reported(Sketch),
    /// The scout failed or did not report in time.
    Missing,
}

impl ScoutState {
    /// Returns the sketch, cached or reported.
    pub(super) fn sketch(self) -> Option<Sketch> {
        match self {
            Self::Cached(sketch) | Self::Reported(sketch) => Some(sketch),
            Self::NotSent | Self::InFlight | Self::Missing => None,
        }
    }
}

/// The state of a block's fetch in the second phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FetchState {
    NotSent,
    InFlight,
    Received,
    Failed,
    /// Skipped for lack of time before it was sent.
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
        let scout = setup.cached_sketch.map_or(ScoutState::NotSent, ScoutState::Cached);
        Self { shard: setup.shard, weight: setup.weight, scout, fetch: FetchState::NotSent }
    }

    /// Returns whether no row can be among the best: the block's scout in this query reported that it is
    /// empty, or a bound below the threshold.
    fn is_proved_irrelevant(&self, threshold: Option<f64>) -> bool {
        let ScoutState::Reported(sketch) = self.scout else { return false };
        sketch.is_empty() || threshold.is_some_and(|threshold| sketch.bound < threshold)
    }
}

/// All blocks of a plan, by their position in its setup.
#[derive(Debug)]
pub(super) struct Blocks {
    blocks: Vec<Block>,
    /// Whether blocks without a sketch are skipped because their scouts did not report.
    skip_missing: bool,
}

impl Blocks {
    pub(super) fn new(setup: Vec<BlockSetup>, skip_missing: bool) -> Self {
        Self { blocks: setup.into_iter().map(Block::new).collect(), skip_missing }
    }

    pub(super) fn get(&self, block: usize) -> &Block {
        &self.blocks[block]
    }

    pub(super) fn get_mut(&mut self, block: usize) -> &mut Block {
        &mut self.blocks[block]
    }

    /// Returns the positions of all blocks.
    pub(super) fn positions(&self) -> std::ops::Range<usize> {
        0..self.blocks.len()
    }

    /// Returns the blocks whose scouts are in this state.
    pub(super) fn with_scout(&self, state: ScoutState) -> Vec<usize> {
        self.positions().filter(|&block| self.blocks[block].scout == state).collect()
    }

    /// Returns the blocks whose fetches are in this state.
    pub(super) fn with_fetch(&self, state: FetchState) -> Vec<usize> {
        self.positions().filter(|&block| self.blocks[block].fetch == state).collect()
    }

    /// Returns whether any block's scout is in this state.
    pub(super) fn any_scout(&self, state: ScoutState) -> bool {
        self.blocks.iter().any(|block| block.scout == state)
    }

    /// Returns whether any block's fetch is in this state.
    pub(super) fn any_fetch(&self, state: FetchState) -> bool {
        self.blocks.iter().any(|block| block.fetch == state)
    }

    /// Returns whether the fetches of all blocks are in this state.
    pub(super) fn all_fetches(&self, state: FetchState) -> bool {
        self.blocks.iter().all(|block| block.fetch == state)
    }

    pub(super) fn set_scouts(&mut self, blocks: &[usize], state: ScoutState) {
        blocks.iter().for_each(|&block| self.blocks[block].scout = state);
    }

    pub(super) fn set_fetches(&mut self, blocks: &[usize], state: FetchState) {
        blocks.iter().for_each(|&block| self.blocks[block].fetch = state);
    }

    /// Returns the bound of the scores of a block's rows: infinite without a sketch, and `None` if the block
    /// is empty or skipped.
    pub(super) fn bound(&self, block: usize) -> Option<f64> {
        match self.blocks[block].scout.sketch() {
            Some(sketch) if sketch.is_empty() => None,
            Some(sketch) => Some(sketch.bound),
            None if self.is_skipped(block) => None,
            None => Some(f64::INFINITY),
        }
    }

    /// Returns whether a block is skipped because its scout did not report.
    pub(super) fn is_skipped(&self, block: usize) -> bool {
        self.skip_missing && self.blocks[block].scout == ScoutState::Missing
    }

    /// Returns the weight of the received blocks as a fraction of those that the second phase had to fetch.
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

    /// Returns whether every block was received or is proved irrelevant.
    pub(super) fn all_received_or_irrelevant(&self, threshold: Option<f64>) -> bool {
        self.blocks
            .iter()
            .all(|block| block.fetch == FetchState::Received || block.is_proved_irrelevant(threshold))
    }

    /// Returns the shards of the blocks that match.
    pub(super) fn shards(&self, include: impl Fn(usize, &Block) -> bool) -> Vec<ShardId> {
        let included = self.blocks.iter().enumerate().filter(|&(position, block)| include(position, block));
        included.map(|(_, block)| block.shard).collect()
    }
}
