//! Two-phase queries in the core: turns the actions of their plans into parts for the router, and the values
//! and failures of these parts into events for the plans.
//!
//! Also keeps the state that such queries share: how long their phases take, and the sketches of blocks.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
use std::rc::Rc;

use mallowgauge_router::{
    BackendId, Endpoint, EndpointState, EndpointUpdate, Event, Micros, PartId, QueryId, ShardId, ShardLayout,
};

use crate::core::{Core, DEADLINE_MARGIN_US};
use crate::open_queries::{OpenQuery, PartKind, PartState};
use crate::query::{Failure, PartRequest, PlanRequest, QueryResponse};
use crate::two_phase::{
    parse_rows, parse_sketch, BlockSelection, BlockSetup, PartLoss, PhaseTimeEstimator, Plan, PlanAction,
    PlanSetup, Row, ScoutBudgetRule, Sketch, SketchCache, SketchCacheLimits,
};
use crate::value::Value;

/// Settings of two-phase queries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TwoPhaseSettings {
    /// How time is divided between the phases.
    pub rule: ScoutBudgetRule,
    /// Limits of the sketch cache.
    pub sketches: SketchCacheLimits,
}

/// The attributes of a listed backend on which the validity of its blocks' sketches depends.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Placement {
    ring_position: u32,
    state: EndpointState,
    started_at: Option<Micros>,
}

impl Placement {
    fn of(endpoint: &Endpoint) -> Self {
        Self { ring_position: endpoint.ring_position, state: endpoint.state, started_at: endpoint.started_at }
    }
}

/// The state shared by two-phase queries.
#[derive(Debug)]
pub(crate) struct TwoPhase {
    /// Estimated phase times, by class.
    phase_times: Vec<PhaseTimeEstimator>,
    sketches: SketchCache,
    placements: BTreeMap<BackendId, Placement>,
}

impl TwoPhase {
    /// Creates the initial state for this number of classes.
    pub(crate) fn new(settings: TwoPhaseSettings, classes: usize) -> Self {
        Self {
            phase_times: (0..classes).map(|_| PhaseTimeEstimator::new(settings.rule)).collect(),
            sketches: SketchCache::new(settings.sketches),
            placements: BTreeMap::new(),
        }
    }

    /// Returns the number of known backends.
    pub(crate) fn known_backends(&self) -> usize {
        self.placements.len()
    }

    /// Discards the sketches of each block with a replica that was added, removed or restarted, or that
    /// changed its state.
    pub(crate) fn endpoint_update(&mut self, update: &EndpointUpdate, layout: &ShardLayout) {
        let mut changed = BTreeSet::new();
        match update {
            EndpointUpdate::Failed => return,
            EndpointUpdate::CachedSnapshot(endpoints) | EndpointUpdate::Snapshot(endpoints) => {
                self.remove_unlisted(endpoints, &mut changed);
                self.apply_endpoints(endpoints, &mut changed);
            }
            EndpointUpdate::Delta(endpoints) => self.apply_endpoints(endpoints, &mut changed),
        }
        if changed.is_empty() {
            return;
        }
        let ring_positions = layout.ring_positions.max(1);
        let replica_changed = |shard: ShardId| {
            (0..layout.replication_factor).any(|j| changed.contains(&((shard.0 + j) % ring_positions)))
        };
        self.sketches.invalidate(replica_changed);
    }

    /// Removes backends that a snapshot does not list, at most one per ring position; another one of the same
    /// position is removed by the next snapshot.
    fn remove_unlisted(&mut self, endpoints: &[Endpoint], changed: &mut BTreeSet<u32>) {
        let listed: BTreeSet<BackendId> = endpoints.iter().map(|endpoint| endpoint.backend).collect();
        self.placements.retain(|backend, placement| {
            listed.contains(backend) || !changed.insert(placement.ring_position)
        });
    }

    fn apply_endpoints(&mut self, endpoints: &[Endpoint], changed: &mut BTreeSet<u32>) {
        for endpoint in endpoints {
            let placement = Placement::of(endpoint);
            let previous = self.placements.insert(endpoint.backend, placement);
            if previous != Some(placement) {
                changed.extend(previous.map(|previous| previous.ring_position));
                changed.insert(placement.ring_position);
            }
            if endpoint.state == EndpointState::Removed {
                self.placements.remove(&endpoint.backend);
            }
        }
    }

    /// Starts the plan of an open query. Returns the plan and its first actions.
    fn start_plan(
        &self,
        now: Micros,
        open: &OpenQuery,
        request: &PlanRequest,
        class: &PlanClass,
    ) -> (Plan, Vec<PlanAction>) {
        let query = &open.request;
        let phase_times = &self.phase_times[query.class.0];
        let time_to_objective = class.latency_objective.min(query.expires_in);
        let waves = expected_waves(request, query.parts.len());
        let predicate = predicate_hash(&query.body);
        let block = |part: &PartRequest| BlockSetup {
            shard: part.shard,
            weight: part.weight,
            cached_sketch: self.sketches.get(now, predicate, part.shard),
        };
        let setup = PlanSetup {
            blocks: query.parts.iter().map(block).collect(),
            spec: request.spec,
            has_effect: !class.idempotent,
            minimum_completeness: class.minimum_completeness,
            objective: now + time_to_objective,
            deadline: open.deadline,
            budget: phase_times.budget(now, class.latency_objective, time_to_objective, waves),
            wave_time: phase_times.wave_time(class.latency_objective),
        };
        Plan::start(now, setup)
    }
}

/// The settings of a query's class that its plan uses.
pub(crate) struct PlanClass {
    /// In microseconds from the query's arrival.
    pub(crate) latency_objective: Micros,
    pub(crate) minimum_completeness: f64,
    pub(crate) idempotent: bool,
}

/// Returns the expected number of waves of the second phase.
fn expected_waves(request: &PlanRequest, blocks: usize) -> usize {
    /// Assumed if the number of fetched blocks depends on their bounds.
    const UNKNOWN_BLOCKS_WAVES: usize = 2;
    match request.spec.selection {
        BlockSelection::Best(chosen) => chosen.div_ceil(request.spec.wave_size),
        BlockSelection::All => blocks.div_ceil(request.spec.wave_size),
        BlockSelection::Threshold | BlockSelection::Share(_) => UNKNOWN_BLOCKS_WAVES,
    }
}

/// Returns the hash of a query's body that is the predicate key of its sketches.
fn predicate_hash(body: &[u8]) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(body)
}

/// The result of a part, as an event for its plan.
enum PlanEvent {
    Scout(Result<Sketch, PartLoss>),
    Rows(Result<Vec<Row>, PartLoss>),
    /// The value of the part that executed a non-idempotent query.
    Effect(Rc<str>),
}

impl PlanEvent {
    fn of_value(
        kind: PartKind,
        idempotent: bool,
        shard: ShardId,
        value: &Value,
    ) -> Result<Self, MalformedValue> {
        let Value::Text(text) = value else { return Err(MalformedValue) };
        match kind {
            PartKind::Scout => Ok(Self::Scout(Ok(parse_sketch(text).map_err(|_| MalformedValue)?))),
            PartKind::Query if !idempotent => Ok(Self::Effect(Rc::clone(text))),
            PartKind::Query => Ok(Self::Rows(Ok(parse_rows(shard, text).map_err(|_| MalformedValue)?))),
        }
    }

    fn of_failure(part: &PartState) -> Self {
        let loss = match part.possibly_executed_attempts {
            0 => PartLoss::NotExecuted,
            _ => PartLoss::PossiblyExecuted,
        };
        match part.kind {
            PartKind::Scout => Self::Scout(Err(loss)),
            PartKind::Query => Self::Rows(Err(loss)),
        }
    }
}

/// The value of a two-phase query's part is not the expected sketch or list of rows.
#[derive(Debug, thiserror::Error)]
#[error("malformed value of a two-phase query's part")]
pub(crate) struct MalformedValue;

impl Core {
    /// Starts the plan of an open query.
    pub(crate) fn start_plan(&mut self, now: Micros, query: QueryId) {
        let Some(open) = self.open.get_mut(query) else { return };
        let (Some(request), Some(two_phase)) = (&open.request.plan, &self.two_phase) else { return };
        let class = self.classes[open.request.class.0].plan_class();
        let (plan, actions) = two_phase.start_plan(now, open, request, &class);
        open.plan = Some(Box::new(plan));
        self.open.set_planned(query);
        self.apply_plan(now, query, actions);
    }

    /// Executes the actions of a plan.
    fn apply_plan(&mut self, now: Micros, query: QueryId, actions: Vec<PlanAction>) {
        self.record_phase_times(query);
        for action in actions {
            match action {
                PlanAction::SendScouts(blocks) => self.add_parts(query, blocks.into_iter(), PartKind::Scout),
                PlanAction::Fetch(blocks) => self.add_parts(query, blocks.into_iter(), PartKind::Query),
                PlanAction::CancelScouts(blocks) => self.cancel_parts(query, &blocks, PartKind::Scout),
                PlanAction::CancelFetches(blocks) => self.cancel_parts(query, &blocks, PartKind::Query),
                PlanAction::Respond(ranked) => {
                    self.complete_planned(query, QueryResponse::Ranked(Rc::new(ranked)), true)
                }
                PlanAction::GiveUp { possibly_executed } => {
                    let Some(response) = self.plan_failure(now, query, possibly_executed) else { return };
                    self.complete_planned(query, response, false);
                }
            }
        }
    }

    fn record_phase_times(&mut self, query: QueryId) {
        let Some(open) = self.open.get_mut(query) else { return };
        let (Some(plan), Some(two_phase)) = (&mut open.plan, &mut self.two_phase) else { return };
        let times = plan.take_phase_times();
        let estimator = &mut two_phase.phase_times[open.request.class.0];
        times.scouts.into_iter().for_each(|took| estimator.record_scouts(took));
        times.waves.into_iter().for_each(|took| estimator.record_wave(took));
    }

    /// Returns the response to a query whose plan gave up.
    fn plan_failure(
        &mut self,
        now: Micros,
        query: QueryId,
        possibly_executed: bool,
    ) -> Option<QueryResponse> {
        let open = self.open.get(query)?;
        if !possibly_executed {
            let not_executed = open.not_executed();
            return Some(self.reject(not_executed));
        }
        if open.deadline <= now + DEADLINE_MARGIN_US {
            return Some(Failure::DeadlineExceeded.into());
        }
        Some(Failure::PartsFailed.into())
    }

    fn complete_planned(&mut self, query: QueryId, response: QueryResponse, answered: bool) {
        let action = self.finish(query, response);
        self.ready_actions.extend(action);
        self.events.push(Event::QueryCompleted { query, answered });
    }

    /// Cancels parts of a plan.
    fn cancel_parts(&mut self, query: QueryId, blocks: &[usize], kind: PartKind) {
        let cancelled = self.open.cancel_parts(query, blocks, kind);
        for &part in &cancelled {
            self.attempts.close_part(part);
            self.events.push(Event::PartCancelled(part));
        }
        if !self.cancellation {
            cancelled.into_iter().for_each(|part| self.revoke_unsent(part));
        }
    }

    /// Passes the value of a part to its plan, or `None` if the part finally failed. Does nothing unless the
    /// query has a plan.
    ///
    /// # Errors
    /// The value is malformed; the part stays open.
    pub(crate) fn plan_part_completed(
        &mut self,
        now: Micros,
        part: PartId,
        value: Option<&Value>,
    ) -> Result<(), MalformedValue> {
        let Some(location) = self.open.locate(part) else { return Ok(()) };
        let Some(open) = self.open.get_mut(location.query) else { return Ok(()) };
        let Some(plan) = &mut open.plan else { return Ok(()) };
        let part = &mut open.parts[location.index];
        if part.closed {
            return Ok(());
        }
        let block = part.request_index;
        let shard = open.request.parts[block].shard;
        let idempotent = self.classes[open.request.class.0].idempotent;
        let event = match value {
            Some(value) => PlanEvent::of_value(part.kind, idempotent, shard, value)?,
            None => PlanEvent::of_failure(part),
        };
        if let (PlanEvent::Scout(Ok(sketch)), Some(two_phase)) = (&event, &mut self.two_phase) {
            two_phase.sketches.insert(now, predicate_hash(&open.request.body), shard, *sketch);
        }
        let actions = match event {
            PlanEvent::Scout(report) => plan.scout_completed(now, block, report),
            PlanEvent::Rows(rows) => plan.fetch_completed(now, block, rows),
            PlanEvent::Effect(value) => plan.effect_completed(now, block, value),
        };
        part.closed = true;
        part.value = value.cloned();
        self.open.part_closed();
        self.apply_plan(now, location.query, actions);
        Ok(())
    }

    /// Returns the earliest timeout of a plan.
    pub(crate) fn plan_timeout(&self) -> Option<Micros> {
        self.open.plans().filter_map(|(_, plan)| plan.poll_timeout()).min()
    }

    /// Handles the due timeouts of plans.
    pub(crate) fn handle_plan_timeouts(&mut self, now: Micros) {
        let due = |(query, plan): (QueryId, &Plan)| (plan.poll_timeout()? <= now).then_some(query);
        let due: Vec<QueryId> = self.open.plans().filter_map(due).collect();
        for query in due {
            let Some(plan) = self.open.get_mut(query).and_then(|open| open.plan.as_mut()) else { continue };
            let actions = plan.handle_timeout(now);
            self.apply_plan(now, query, actions);
        }
    }
}
