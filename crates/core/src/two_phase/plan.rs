//! The state machine of one two-phase query, from its scouts to its response.

use std::collections::VecDeque;
use std::rc::Rc;

use mallowgauge_router::Micros;

use super::actions::{BlockEffect, PartLoss, PhaseTimes, PlanAction, PlanSetup, Ranked};
use super::blocks::{Blocks, FetchState, ScoutState};
use super::phase_times::ScoutBudget;
use super::rows::{Row, TopRows};
use super::sketch::Sketch;
use super::spec::{BlockSelection, MissingSketchPolicy, PlanSpec};

/// Time before the objective or the deadline by which a response has to be sent, in microseconds.
const RESPONSE_MARGIN_US: Micros = 20_000;
/// How much a sum of weights may be too low because of rounding.
const WEIGHT_ROUNDING: f64 = 1e-6;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Scouting,
    Waves,
    Over,
}

/// The execution of a plan. Its methods return the next actions.
#[derive(Debug)]
pub struct Plan {
    spec: PlanSpec,
    has_effect: bool,
    minimum_completeness: f64,
    objective: Micros,
    deadline: Micros,
    scout_until: Micros,
    wave_time: Micros,
    phase: Phase,
    blocks: Blocks,
    /// Blocks still to be fetched, by descending bound.
    queue: VecDeque<usize>,
    best: TopRows,
    /// Whether the rows of a block contradicted its sketch. If so, sketches prove nothing any more.
    sketch_contradicted: bool,
    /// Whether a part with an effect failed and may have been executed.
    possibly_executed: bool,
    effect: Option<BlockEffect>,
    started_at: Micros,
    last_report_at: Option<Micros>,
    wave_started_at: Micros,
    /// Durations of ended phases that [`Plan::take_phase_times`] has not returned yet.
    phase_times: PhaseTimes,
}

/// Returns the latest time at which a response may be sent to arrive by `at`.
fn send_by(at: Micros) -> Micros {
    at.saturating_sub(RESPONSE_MARGIN_US)
}

impl Plan {
    /// Starts a plan. Returns it with its first actions.
    #[must_use]
    pub fn start(now: Micros, setup: PlanSetup) -> (Self, Vec<PlanAction>) {
        let budget = setup.budget;
        let mut plan = Self::new(now, setup);
        let mut actions = Vec::new();
        let to_scout = plan.blocks.with_scout(ScoutState::NotSent);
        if budget == ScoutBudget::NoScouts || to_scout.is_empty() {
            plan.start_waves(now, &mut actions);
        } else {
            plan.blocks.set_scouts(&to_scout, ScoutState::InFlight);
            actions.push(PlanAction::SendScouts(to_scout));
        }
        (plan, actions)
    }

    fn new(now: Micros, setup: PlanSetup) -> Self {
        let scout_until = match setup.budget {
            ScoutBudget::Until(at) => at,
            ScoutBudget::NoScouts => now,
        };
        Self {
            spec: setup.spec,
            has_effect: setup.has_effect,
            minimum_completeness: setup.minimum_completeness,
            objective: setup.objective,
            deadline: setup.deadline,
            scout_until,
            wave_time: setup.wave_time,
            phase: Phase::Scouting,
            blocks: Blocks::new(setup.blocks, setup.spec.missing_sketches == MissingSketchPolicy::Skip),
            queue: VecDeque::new(),
            best: TopRows::new(setup.spec.row_limit),
            sketch_contradicted: false,
            possibly_executed: false,
            effect: None,
            started_at: now,
            last_report_at: None,
            wave_started_at: now,
            phase_times: PhaseTimes::default(),
        }
    }

    /// Returns whether the final action was returned.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.phase == Phase::Over
    }

    /// Returns the durations of the phases that have ended since the last call.
    pub fn take_phase_times(&mut self) -> PhaseTimes {
        std::mem::take(&mut self.phase_times)
    }

    /// Returns when [`Plan::handle_timeout`] has to be called.
    #[must_use]
    pub fn poll_timeout(&self) -> Option<Micros> {
        let (objective, deadline) = (send_by(self.objective), send_by(self.deadline));
        match self.phase {
            Phase::Over => None,
            Phase::Scouting => Some(self.scout_until.min(deadline)),
            Phase::Waves if self.wave_started_at < objective && self.can_respond() => Some(objective),
            Phase::Waves => Some(deadline),
        }
    }

    /// Handles the report or the failure of a scout. A report after the budget is ignored: its block was
    /// already treated as one without a sketch.
    pub fn scout_completed(
        &mut self,
        now: Micros,
        block: usize,
        report: Result<Sketch, PartLoss>,
    ) -> Vec<PlanAction> {
        let mut actions = Vec::new();
        if self.phase != Phase::Scouting || self.blocks.get(block).scout != ScoutState::InFlight {
            return actions;
        }
        self.blocks.get_mut(block).scout = match report {
            Ok(sketch) => {
                self.last_report_at = Some(now);
                ScoutState::Reported(sketch)
            }
            Err(_) => ScoutState::Missing,
        };
        if !self.blocks.any_scout(ScoutState::InFlight) {
            self.end_scouting(now, &mut actions);
        }
        actions
    }

    /// Handles the rows of a block, or the failure of its fetch.
    pub fn fetch_completed(
        &mut self,
        now: Micros,
        block: usize,
        rows: Result<Vec<Row>, PartLoss>,
    ) -> Vec<PlanAction> {
        let mut actions = Vec::new();
        if !self.is_fetching(block) {
            return actions;
        }
        match rows {
            Ok(rows) => {
                let sketch = self.blocks.get(block).scout.sketch();
                self.sketch_contradicted |= sketch.is_some_and(|sketch| sketch.is_contradicted_by(&rows));
                self.blocks.get_mut(block).fetch = FetchState::Received;
                self.best.add(rows);
            }
            Err(loss) => {
                self.blocks.get_mut(block).fetch = FetchState::Failed;
                self.possibly_executed |= self.has_effect && loss == PartLoss::PossiblyExecuted;
            }
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Handles the value of a block that executed a non-idempotent query.
    pub fn effect_completed(&mut self, now: Micros, block: usize, value: Rc<str>) -> Vec<PlanAction> {
        let mut actions = Vec::new();
        if self.is_fetching(block) {
            let block = self.blocks.get_mut(block);
            block.fetch = FetchState::Received;
            self.effect = Some(BlockEffect { shard: block.shard, value });
            self.advance(now, &mut actions);
        }
        actions
    }

    fn is_fetching(&self, block: usize) -> bool {
        self.phase == Phase::Waves && self.blocks.get(block).fetch == FetchState::InFlight
    }

    /// Ends each phase whose time is up.
    pub fn handle_timeout(&mut self, now: Micros) -> Vec<PlanAction> {
        let mut actions = Vec::new();
        let (objective, deadline) = (send_by(self.objective), send_by(self.deadline));
        if self.phase == Phase::Scouting && now >= self.scout_until.min(deadline) {
            let late = self.blocks.with_scout(ScoutState::InFlight);
            self.blocks.set_scouts(&late, ScoutState::Missing);
            actions.push(PlanAction::CancelScouts(late));
            self.end_scouting(now, &mut actions);
        }
        let time_is_up = now >= deadline || (now >= objective && self.can_respond());
        if self.phase == Phase::Waves && time_is_up {
            self.finish(now, &mut actions);
        }
        actions
    }

    /// Starts the second phase. Only scouts that reported count for the recorded time: a scout cut off at its
    /// budget would make the next budget longer, and that one the next.
    fn end_scouting(&mut self, now: Micros, actions: &mut Vec<PlanAction>) {
        self.phase_times.scouts = self.last_report_at.map(|at| at.saturating_sub(self.started_at));
        self.start_waves(now, actions);
    }

    fn start_waves(&mut self, now: Micros, actions: &mut Vec<PlanAction>) {
        self.phase = Phase::Waves;
        self.queue = self.selected_blocks();
        self.advance(now, actions);
    }

    /// Returns the blocks in the client's selection, by descending bound and then by shard.
    fn selected_blocks(&self) -> VecDeque<usize> {
        struct Candidate {
            bound: f64,
            block: usize,
        }
        let candidate = |block| Some(Candidate { bound: self.blocks.bound(block)?, block });
        let mut candidates: Vec<Candidate> = self.blocks.positions().filter_map(candidate).collect();
        let shard = |candidate: &Candidate| self.blocks.get(candidate.block).shard;
        candidates.sort_by(|a, b| b.bound.total_cmp(&a.bound).then_with(|| shard(a).cmp(&shard(b))));
        match self.spec.selection {
            BlockSelection::Best(count) => candidates.truncate(count.max(1)),
            BlockSelection::Share(share) => {
                let highest =
                    candidates.iter().map(|candidate| candidate.bound).find(|bound| bound.is_finite());
                // Subtracting instead of multiplying gives a limit below the highest bound for negative
                // bounds, too.
                let minimum = highest.map_or(f64::NEG_INFINITY, |high| high - (1.0 - share) * high.abs());
                candidates.retain(|candidate| candidate.bound >= minimum);
            }
            BlockSelection::Threshold | BlockSelection::All => {}
        }
        candidates.into_iter().map(|candidate| candidate.block).collect()
    }

    /// Starts the next wave or finishes, if no fetch is in flight.
    fn advance(&mut self, now: Micros, actions: &mut Vec<PlanAction>) {
        if self.phase != Phase::Waves {
            return;
        }
        if self.effect.is_some() || self.possibly_executed {
            // The query was executed or possibly executed: no other block is fetched.
            return self.finish(now, actions);
        }
        if self.blocks.any_fetch(FetchState::InFlight) {
            return;
        }
        let is_first_wave = self.blocks.all_fetches(FetchState::NotSent);
        if !is_first_wave {
            self.phase_times.waves.push(now.saturating_sub(self.wave_started_at));
        }
        self.prune();
        let out_of_time = !is_first_wave && self.next_wave_is_late(now) && self.can_respond_without_queue();
        if self.queue.is_empty() || out_of_time {
            return self.finish(now, actions);
        }
        self.start_wave(now, actions);
    }

    fn start_wave(&mut self, now: Micros, actions: &mut Vec<PlanAction>) {
        let size = if self.has_effect { 1 } else { self.spec.wave_size.max(1) };
        let wave: Vec<usize> = self.queue.drain(..size.min(self.queue.len())).collect();
        self.blocks.set_fetches(&wave, FetchState::InFlight);
        self.wave_started_at = now;
        actions.push(PlanAction::Fetch(wave));
    }

    /// Returns whether the next wave is expected to end after the objective. Never true for a query with an
    /// effect, since nothing has been executed yet.
    fn next_wave_is_late(&self, now: Micros) -> bool {
        !self.has_effect && now + self.wave_time > send_by(self.objective)
    }

    /// Returns whether the class allows a response without the queued blocks, and marks these as out of time
    /// if so. If not, the plan has to continue past the objective.
    fn can_respond_without_queue(&mut self) -> bool {
        let rest: Vec<usize> = self.queue.iter().copied().collect();
        self.blocks.set_fetches(&rest, FetchState::OutOfTime);
        if self.can_respond() {
            return true;
        }
        self.blocks.set_fetches(&rest, FetchState::NotSent);
        false
    }

    /// Removes blocks from the queue that cannot have a row among the best.
    fn prune(&mut self) {
        if self.spec.selection == BlockSelection::All || self.sketch_contradicted {
            return;
        }
        let Some(threshold) = self.best.threshold() else { return };
        let blocks = &self.blocks;
        // A bound equal to the threshold is kept: the row's id could still decide the order.
        self.queue.retain(|&block| blocks.bound(block).is_some_and(|bound| bound >= threshold));
    }

    /// Returns whether what was received suffices for a response.
    fn can_respond(&self) -> bool {
        !self.has_effect && !self.blocks.all_fetches(FetchState::NotSent) && self.is_complete_enough()
    }

    fn is_complete_enough(&self) -> bool {
        self.blocks.completeness() >= self.minimum_completeness - WEIGHT_ROUNDING
    }

    /// Ends the plan: cancels the parts in flight, and responds or gives up.
    fn finish(&mut self, now: Micros, actions: &mut Vec<PlanAction>) {
        if now >= send_by(self.objective) {
            // Queued blocks are out of time, unless their bounds exclude them.
            self.prune();
            let rest: Vec<usize> = std::mem::take(&mut self.queue).into();
            self.blocks.set_fetches(&rest, FetchState::OutOfTime);
        }
        let in_flight = self.blocks.with_fetch(FetchState::InFlight);
        self.blocks.set_fetches(&in_flight, FetchState::Failed);
        self.possibly_executed |= self.has_effect && !in_flight.is_empty();
        if !in_flight.is_empty() {
            actions.push(PlanAction::CancelFetches(in_flight));
        }
        self.phase = Phase::Over;
        actions.push(if self.has_response() {
            PlanAction::Respond(self.ranked())
        } else {
            PlanAction::GiveUp { possibly_executed: self.possibly_executed }
        });
    }

    /// Returns whether a finished plan has a response.
    fn has_response(&self) -> bool {
        if self.has_effect {
            return self.effect.is_some();
        }
        if self.blocks.all_fetches(FetchState::NotSent) {
            // Nothing was fetched: an empty response is given only if it is proved right.
            return self.blocks.all_received_or_irrelevant(self.best.threshold());
        }
        self.is_complete_enough()
    }

    fn ranked(&self) -> Ranked {
        let complete = self.blocks.all_fetches(FetchState::Received);
        let proved = !self.has_effect
            && !self.sketch_contradicted
            && self.blocks.all_received_or_irrelevant(self.best.threshold());
        let with_fetch = |state| self.blocks.shards(|_, block| block.fetch == state);
        let skipped = |position| self.blocks.is_skipped(position);
        Ranked {
            complete,
            exact: complete || proved,
            rows: self.best.rows().to_vec(),
            effect: self.effect.clone(),
            fetched: with_fetch(FetchState::Received),
            pruned: self
                .blocks
                .shards(|position, block| block.fetch == FetchState::NotSent && !skipped(position)),
            skipped: self.blocks.shards(|position, block| match block.fetch {
                FetchState::OutOfTime => true,
                FetchState::NotSent => skipped(position),
                FetchState::InFlight | FetchState::Received | FetchState::Failed => false,
            }),
            failed: with_fetch(FetchState::Failed),
        }
    }
}
