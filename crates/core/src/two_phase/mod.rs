//! Queries in two phases: scouts find the promising blocks, a second phase asks only those.
//!
//! ```text
//!   begin --> Scouting --(all in, or the budget is up)--> Waves --(bar above the rest, or none left)--> Over
//!      \________ no time for scouts, or all known ________^  ^___next wave___/
//! ```
//!
//! A scout is a cheap part whose answer bounds the scores of its block ([`Sketch`]). The second phase asks
//! blocks in the order of their bounds, a wave at a time; each wave's rows raise the bar that a row has to
//! reach to be among the best `top`, and a block whose bound lies below the bar is never asked.
//!
//! What the answer says of itself: `whole` if every block was asked and is in; `exact` if each block that is
//! not in is proved not to matter: its scout spoke in this very query, its bound lies below the bar (or it
//! said that the block is empty), and no block that was asked has been found to have lied. A block that
//! failed or was skipped for want of time counts against the class's least share; one that was pruned, or
//! left out by the client's own rule, does not.
//!
//! The plan knows no clock, no host and no wire: it is told what came and what time it is, and says which
//! parts to ask, which to drop, and what the answer is.

mod clock;
mod merge;
mod sketches;

use std::collections::VecDeque;
use std::rc::Rc;

use mallowgauge_router::{Micros, ShardId};

pub use clock::{Budget, Clock, Rule};
pub use merge::{rows, sketch, Best, Row, Sketch, MOST_ROWS};
pub use sketches::{Bounds as SketchBounds, Sketches};

/// How the blocks of the second phase are chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choose {
    /// So many, with the highest bounds.
    Best(usize),
    /// As long as a block's bound can still bring a row among the best.
    Threshold,
    /// All whose bound is at least this share of the highest one.
    Share(f64),
    /// All, whatever their bounds: the order is by bound, nothing is pruned.
    All,
}

/// What becomes of blocks whose scouts are silent at the end of their budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Silent {
    /// They are asked before all others: nothing bounds them.
    #[default]
    Ask,
    /// They are left out, and the answer says so.
    Skip,
}

/// What a client wants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spec {
    /// How blocks are chosen.
    pub choose: Choose,
    /// How many rows.
    pub top: usize,
    /// How many blocks are asked at a time.
    pub wave: usize,
    /// What becomes of blocks whose scouts are silent.
    pub silent: Silent,
}

/// Most rows that can be wished for, and most blocks in a wave.
pub const MOST_TOP: usize = 1000;

/// What is known of a query when its plan begins.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The blocks, each with its share.
    pub blocks: Vec<(ShardId, f64)>,
    /// What is known of each from earlier scouts.
    pub known: Vec<Option<Sketch>>,
    /// What the client wants.
    pub spec: Spec,
    /// The second phase has an effect: one block is asked, once.
    pub effect: bool,
    /// The least share that may be answered with.
    pub floor: f64,
    /// When the answer should be there, and when it has to be.
    pub aim: Micros,
    /// When the answer has to be there.
    pub end: Micros,
    /// The time that scouts get.
    pub budget: Budget,
    /// What a wave is reckoned to take.
    pub wave_time: Micros,
}

/// Why a part of the plan is not in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lost {
    /// Every attempt is proved never to have run.
    NeverRan,
    /// It may have run.
    MayHaveRun,
}

/// What the plan wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Want {
    /// Ask the scouts of these blocks.
    Scout(Vec<usize>),
    /// Ask these blocks.
    Fetch(Vec<usize>),
    /// Nobody waits for the scouts of these blocks any more.
    DropScouts(Vec<usize>),
    /// Nobody waits for these blocks any more.
    DropFetches(Vec<usize>),
    /// The answer.
    Answer(Ranked),
    /// There is none. `harmless`: nothing of it may have had an effect.
    GiveUp {
        /// Nothing of it may have had an effect.
        harmless: bool,
    },
}

/// The answer of a plan.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ranked {
    /// Every block is in.
    pub whole: bool,
    /// Nothing that is not in could have changed it.
    pub exact: bool,
    /// The best rows.
    pub rows: Vec<Row>,
    /// What the block said at which an effect was had.
    pub held: Option<(ShardId, Rc<str>)>,
    /// Blocks that are in.
    pub asked: Vec<ShardId>,
    /// Blocks that were not asked, for their bounds.
    pub pruned: Vec<ShardId>,
    /// Blocks that were not asked, for want of time or since their scouts were silent.
    pub skipped: Vec<ShardId>,
    /// Blocks that were asked and are not in.
    pub failed: Vec<ShardId>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Seen {
    /// Not asked.
    Nothing,
    /// Its scout is out.
    Out,
    /// What it said, and whether in this query.
    Said(Sketch, bool),
    /// It was asked and said nothing of use.
    Silent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fetch {
    Not,
    Out,
    In,
    Failed,
    /// Given up for time, before it was asked.
    NoTime,
}

#[derive(Debug)]
struct Block {
    shard: ShardId,
    weight: f64,
    seen: Seen,
    fetch: Fetch,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Scouting,
    Waves,
    Over,
}

/// A plan on its way.
#[derive(Debug)]
pub struct Plan {
    spec: Spec,
    effect: bool,
    floor: f64,
    aim: Micros,
    end: Micros,
    scout_until: Micros,
    wave_time: Micros,
    stage: Stage,
    blocks: Vec<Block>,
    /// Blocks that are still to be asked, the most promising first.
    queue: VecDeque<usize>,
    best: Best,
    /// A block was found to hold what its scout said it did not.
    lied: bool,
    /// Something with an effect may have run.
    touched: bool,
    held: Option<(ShardId, Rc<str>)>,
    began: Micros,
    /// When the last scout spoke.
    spoke: Option<Micros>,
    wave_began: Micros,
    /// Phases that have ended, for the clock: scouts, waves.
    times: (Option<Micros>, Vec<Micros>),
}

/// An answer has to leave so long before the aim or the end to count.
const MARGIN: Micros = 20_000;
const ROUNDING: f64 = 1e-6;

impl Plan {
    /// A plan, and what it wants first.
    #[must_use]
    pub fn begin(now: Micros, setup: Setup) -> (Self, Vec<Want>) {
        let Setup { blocks, known, spec, effect, floor, aim, end, budget, wave_time } = setup;
        let block = |((shard, weight), known): ((ShardId, f64), Option<Sketch>)| {
            let seen = known.map_or(Seen::Nothing, |sketch| Seen::Said(sketch, false));
            Block { shard, weight, seen, fetch: Fetch::Not }
        };
        let known = known.into_iter().chain(std::iter::repeat(None));
        let blocks: Vec<Block> = blocks.into_iter().zip(known).map(block).collect();
        let scout_until = match budget {
            Budget::Scout(until) => until,
            Budget::Blind => now,
        };
        let mut plan = Self {
            spec,
            effect,
            floor,
            aim,
            end,
            scout_until,
            wave_time,
            stage: Stage::Scouting,
            blocks,
            queue: VecDeque::new(),
            best: Best::new(spec.top),
            lied: false,
            touched: false,
            held: None,
            began: now,
            spoke: None,
            wave_began: now,
            times: (None, Vec::new()),
        };
        let mut wants = Vec::new();
        let unknown = |plan: &Self| -> Vec<usize> {
            (0..plan.blocks.len()).filter(|&i| plan.blocks[i].seen == Seen::Nothing).collect()
        };
        let ask = unknown(&plan);
        if budget == Budget::Blind || ask.is_empty() {
            plan.choose(now, &mut wants);
        } else {
            ask.iter().for_each(|&i| plan.blocks[i].seen = Seen::Out);
            wants.push(Want::Scout(ask));
        }
        (plan, wants)
    }

    /// Whether the answer was given.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.stage == Stage::Over
    }

    /// What the phases took that have ended since the last look: of scouts, of waves.
    pub fn times(&mut self) -> (Option<Micros>, Vec<Micros>) {
        std::mem::take(&mut self.times)
    }

    /// When it has to look at the clock.
    #[must_use]
    pub fn due(&self) -> Option<Micros> {
        let before = |at: Micros| at.saturating_sub(MARGIN);
        match self.stage {
            Stage::Over => None,
            Stage::Scouting => Some(self.scout_until.min(before(self.end))),
            Stage::Waves if self.wave_began < before(self.aim) && self.can_answer() => Some(before(self.aim)),
            Stage::Waves => Some(before(self.end)),
        }
    }

    /// A scout has spoken, or never will.
    pub fn scouted(&mut self, now: Micros, block: usize, said: Result<Sketch, Lost>) -> Vec<Want> {
        let mut wants = Vec::new();
        if self.stage != Stage::Scouting || self.blocks[block].seen != Seen::Out {
            // Its budget was up before, and its block was dealt with by rule.
            return wants;
        }
        self.spoke = if said.is_ok() { Some(now) } else { self.spoke };
        self.blocks[block].seen = said.map_or(Seen::Silent, |sketch| Seen::Said(sketch, true));
        if self.blocks.iter().all(|block| block.seen != Seen::Out) {
            self.times.0 = self.scouting_took();
            self.choose(now, &mut wants);
        }
        wants
    }

    /// A block has answered with rows, or never will.
    pub fn fetched(&mut self, now: Micros, block: usize, rows: Result<Vec<Row>, Lost>) -> Vec<Want> {
        let mut wants = Vec::new();
        if self.stage != Stage::Waves || self.blocks[block].fetch != Fetch::Out {
            return wants;
        }
        match rows {
            Ok(rows) => {
                if let Seen::Said(said, _) = self.blocks[block].seen {
                    let above = rows.iter().any(|row| row.score > said.bound);
                    let more = said.count.is_some_and(|count| rows.len() as u64 > count);
                    self.lied |= above || more;
                }
                self.blocks[block].fetch = Fetch::In;
                self.best.add(rows);
            }
            Err(lost) => {
                self.blocks[block].fetch = Fetch::Failed;
                self.touched |= self.effect && lost == Lost::MayHaveRun;
            }
        }
        self.step(now, &mut wants);
        wants
    }

    /// The block of a query with an effect has answered: the effect was had.
    pub fn held(&mut self, now: Micros, block: usize, said: Rc<str>) -> Vec<Want> {
        let mut wants = Vec::new();
        if self.stage == Stage::Waves && self.blocks[block].fetch == Fetch::Out {
            self.blocks[block].fetch = Fetch::In;
            self.held = Some((self.blocks[block].shard, said));
            self.step(now, &mut wants);
        }
        wants
    }

    /// Looks at the clock.
    pub fn tick(&mut self, now: Micros) -> Vec<Want> {
        let mut wants = Vec::new();
        let before = |at: Micros| at.saturating_sub(MARGIN);
        if self.stage == Stage::Scouting && now >= self.scout_until.min(before(self.end)) {
            let late: Vec<usize> =
                (0..self.blocks.len()).filter(|&i| self.blocks[i].seen == Seen::Out).collect();
            late.iter().for_each(|&i| self.blocks[i].seen = Seen::Silent);
            wants.push(Want::DropScouts(late));
            self.times.0 = self.scouting_took();
            self.choose(now, &mut wants);
        }
        let due = now >= before(self.end) || (now >= before(self.aim) && self.can_answer());
        if self.stage == Stage::Waves && due {
            self.finish(now, &mut wants);
        }
        wants
    }

    /// What the first phase took, as far as scouts spoke: one that was cut off at its budget would else make
    /// the next budget longer, and that one the next.
    fn scouting_took(&self) -> Option<Micros> {
        self.spoke.map(|at| at.saturating_sub(self.began))
    }

    /// What bounds a block: nothing bounds one whose scout is silent.
    fn bound(&self, block: usize) -> Option<f64> {
        match self.blocks[block].seen {
            Seen::Said(sketch, _) if sketch.count == Some(0) => None,
            Seen::Said(sketch, _) => Some(sketch.bound),
            Seen::Nothing | Seen::Silent | Seen::Out if self.skips(block) => None,
            Seen::Nothing | Seen::Silent | Seen::Out => Some(f64::INFINITY),
        }
    }

    /// Whether a block is left out since its scout was silent.
    fn skips(&self, block: usize) -> bool {
        self.blocks[block].seen == Seen::Silent && self.spec.silent == Silent::Skip
    }

    /// The first phase is over: the second one's blocks, in order.
    fn choose(&mut self, now: Micros, wants: &mut Vec<Want>) {
        self.stage = Stage::Waves;
        let mut order: Vec<(f64, usize)> =
            (0..self.blocks.len()).filter_map(|i| Some((self.bound(i)?, i))).collect();
        order.sort_by(|a, b| {
            let shard = |i: usize| self.blocks[i].shard;
            b.0.total_cmp(&a.0).then_with(|| shard(a.1).cmp(&shard(b.1)))
        });
        let highest = order.iter().map(|(bound, _)| *bound).find(|bound| bound.is_finite());
        match self.spec.choose {
            Choose::Best(k) => order.truncate(k.max(1)),
            Choose::Share(share) => {
                // Of bounds below zero the share lies below the highest too.
                let least = highest.map_or(f64::NEG_INFINITY, |high| high - (1.0 - share) * high.abs());
                order.retain(|(bound, _)| *bound >= least);
            }
            Choose::Threshold | Choose::All => {}
        }
        self.queue = order.into_iter().map(|(_, i)| i).collect();
        self.step(now, wants);
    }

    /// Goes on to the next wave, or to the end, once nothing is out.
    fn step(&mut self, now: Micros, wants: &mut Vec<Want>) {
        if self.stage != Stage::Waves {
            return;
        }
        if self.held.is_some() || self.touched {
            // One effect was had, or may have been: nothing else is asked.
            return self.finish(now, wants);
        }
        if self.blocks.iter().any(|block| block.fetch == Fetch::Out) {
            return;
        }
        if self.blocks.iter().any(|block| block.fetch != Fetch::Not) {
            self.times.1.push(now.saturating_sub(self.wave_began));
        }
        self.prune();
        if self.queue.is_empty() {
            return self.finish(now, wants);
        }
        let first = self.blocks.iter().all(|block| block.fetch == Fetch::Not);
        if !first && !self.effect && now + self.wave_time > self.aim.saturating_sub(MARGIN) {
            // The next wave would not end in time. Where the class allows an answer without it, that is
            // given; where not, going on past the aim is all that is left.
            let rest: Vec<usize> = self.queue.iter().copied().collect();
            rest.iter().for_each(|&i| self.blocks[i].fetch = Fetch::NoTime);
            if self.can_answer() {
                return self.finish(now, wants);
            }
            rest.iter().for_each(|&i| self.blocks[i].fetch = Fetch::Not);
        }
        let size = if self.effect { 1 } else { self.spec.wave.max(1) };
        let wave: Vec<usize> = self.queue.drain(..size.min(self.queue.len())).collect();
        wave.iter().for_each(|&i| self.blocks[i].fetch = Fetch::Out);
        self.wave_began = now;
        wants.push(Want::Fetch(wave));
    }

    /// Takes blocks out of the queue that cannot bring a row among the best.
    fn prune(&mut self) {
        let Some(bar) = self.best.bar().filter(|_| self.spec.choose != Choose::All && !self.lied) else {
            return;
        };
        // At the bar itself an id could still decide.
        let queue = std::mem::take(&mut self.queue);
        self.queue = queue.into_iter().filter(|&i| self.bound(i).is_some_and(|b| b >= bar)).collect();
    }

    /// The share that is in, of what was wanted of the second phase.
    fn share(&self) -> f64 {
        let sum = |of: &dyn Fn(Fetch) -> bool| -> f64 {
            self.blocks.iter().filter(|block| of(block.fetch)).map(|block| block.weight).sum()
        };
        let wanted = sum(&|fetch| fetch != Fetch::Not);
        if wanted <= 0.0 {
            1.0
        } else {
            sum(&|fetch| fetch == Fetch::In) / wanted
        }
    }

    /// Whether what is in may be answered with, if nothing more comes.
    fn can_answer(&self) -> bool {
        !self.effect
            && !self.blocks.iter().all(|b| b.fetch == Fetch::Not)
            && self.share() >= self.floor - ROUNDING
    }

    /// The end: what is out is dropped, and the answer is given or given up.
    fn finish(&mut self, now: Micros, wants: &mut Vec<Want>) {
        // What was still to be asked is left out for want of time, unless its bound proves it out.
        if now >= self.aim.saturating_sub(MARGIN) {
            self.prune();
            let rest = std::mem::take(&mut self.queue);
            rest.into_iter().for_each(|i| self.blocks[i].fetch = Fetch::NoTime);
        }
        let out: Vec<usize> =
            (0..self.blocks.len()).filter(|&i| self.blocks[i].fetch == Fetch::Out).collect();
        out.iter().for_each(|&i| self.blocks[i].fetch = Fetch::Failed);
        self.touched |= self.effect && !out.is_empty();
        if !out.is_empty() {
            wants.push(Want::DropFetches(out));
        }
        self.stage = Stage::Over;
        let nothing = self.blocks.iter().all(|block| block.fetch == Fetch::Not);
        let proved_empty = nothing && (0..self.blocks.len()).all(|i| self.proved(i));
        let enough = if self.effect {
            self.held.is_some()
        } else {
            proved_empty || (!nothing && self.share() >= self.floor - ROUNDING)
        };
        wants.push(if enough {
            Want::Answer(self.ranked())
        } else {
            Want::GiveUp { harmless: !self.touched }
        });
    }

    /// Whether a block that is not in is proved not to matter.
    fn proved(&self, block: usize) -> bool {
        match self.blocks[block].seen {
            Seen::Said(sketch, true) => {
                sketch.count == Some(0) || self.best.bar().is_some_and(|bar| sketch.bound < bar)
            }
            _ => false,
        }
    }

    fn ranked(&self) -> Ranked {
        let shards = |of: &dyn Fn(usize) -> bool| -> Vec<ShardId> {
            (0..self.blocks.len()).filter(|&i| of(i)).map(|i| self.blocks[i].shard).collect()
        };
        let fetch = |i: usize| self.blocks[i].fetch;
        let whole = self.blocks.iter().all(|block| block.fetch == Fetch::In);
        let proved = || (0..self.blocks.len()).all(|i| fetch(i) == Fetch::In || self.proved(i));
        let left_out = |i: usize| fetch(i) == Fetch::NoTime || (fetch(i) == Fetch::Not && self.skips(i));
        Ranked {
            whole,
            exact: whole || (!self.effect && !self.lied && proved()),
            rows: self.best.rows().to_vec(),
            held: self.held.clone(),
            asked: shards(&|i| fetch(i) == Fetch::In),
            pruned: shards(&|i| fetch(i) == Fetch::Not && !self.skips(i)),
            skipped: shards(&left_out),
            failed: shards(&|i| fetch(i) == Fetch::Failed),
        }
    }
}
