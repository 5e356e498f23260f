//! The core: open queries and their parts, deadlines, and the turn. It knows no wire.
//!
//! Fronts hand it typed queries, host connections hand it typed outcomes, discovery hands it lists. It
//! gathers these until the next turn, gives them to the [`Router`] in one call and turns the router's
//! actions into [`Action`]s. Every time is an argument.

pub mod batch;
pub mod connection_limits;
pub mod polled_queries;
pub mod sessions;
pub mod stream_admission;
pub mod stream_outcome;
pub mod table_memory;
pub mod two_phase;
mod value;

use table_memory::CallId;
use two_phase::{Choose, Clock, Lost, Plan, Ranked, Rule, SketchBounds, Sketches, Spec, Want};
pub use value::{Message, Table, Value};

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
use std::rc::Rc;

use mallowgauge_router as router;
use mallowgauge_router::*;

/// One part as a client asks for it.
#[derive(Clone, Debug, PartialEq)]
pub struct PartRequest {
    /// The shard asked.
    pub shard: ShardId,
    /// Its share of the whole answer.
    pub weight: f64,
}

/// A query as a front understood it.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryRequest {
    /// The client's id for it, which hosts are shown.
    pub id: Rc<str>,
    /// Its class.
    pub class: ClassId,
    /// How long its client still waits.
    pub expires_in: Micros,
    /// Whether the client marked it as a further try.
    pub retry: bool,
    /// The guess at the work of all parts, if every part has one.
    pub work_hint: Option<Micros>,
    /// What each part has to carry, unchanged.
    pub body: Rc<[u8]>,
    /// Its parts; of a query in two phases, its blocks.
    pub parts: Vec<PartRequest>,
    /// How it is asked in two phases, if it is.
    pub plan: Option<PlanRequest>,
}

/// A query in two phases, as a front understood it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanRequest {
    /// What the client wants.
    pub spec: Spec,
    /// What the scouts are asked.
    pub scout: Rc<[u8]>,
}

/// Where a final answer goes: a number that the front behind it gave out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResponseHandle {
    /// An exchange of the HTTP front.
    Http(u64),
    /// A stream of the Flight front.
    Flight(u64),
    /// Nobody here: the query was taken over from another gatherer.
    TakenOver(u64),
}

/// Why a query failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The query makes no sense; nothing was sent.
    Invalid(&'static str),
    /// Parts could not be had, and some may have run.
    PartsFailed,
    /// Its time ran out.
    DeadlineExceeded,
    /// Its tables found no room in memory, and parts of it may have run.
    MemoryExhausted,
}

/// The final answer to a query.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryResponse {
    /// The values that are in.
    Completed {
        /// Whether this is marked as the whole answer.
        complete: bool,
        /// The values, as the hosts gave them.
        values: Vec<(ShardId, Value)>,
    },
    /// The best rows of a query in two phases, or what was had of its effect.
    Ranked(Rc<Ranked>),
    /// Turned away: trying again is harmless.
    Rejected {
        /// When to come back; 0 for no advice.
        retry_after: Micros,
        /// No part of it can have run.
        not_executed: bool,
    },
    /// Given up without a promise.
    Failed(Failure),
}

/// One attempt of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The part.
    pub part: PartId,
    /// Its number, from 0.
    pub number: u32,
}

/// An attempt on its way to a host.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// The client's id of the query.
    pub query: Rc<str>,
    /// The query, as the core numbers them: the lower, the older.
    pub call: CallId,
    /// The shard.
    pub shard: ShardId,
    /// When its answer is no longer waited for. It may be written long after the turn that sent it: what the
    /// host is told is what is left by then.
    pub deadline: Micros,
    /// From when on it may not begin any more, though its answer might still come in time.
    pub begin_by: Micros,
    /// What the part carries.
    pub body: Rc<[u8]>,
}

impl AttemptRequest {
    /// How long its answer is waited for from now on.
    #[must_use]
    pub fn remaining(&self, now: Micros) -> Micros {
        self.deadline.saturating_sub(now)
    }

    /// Whether it may still be begun.
    #[must_use]
    pub fn may_begin(&self, now: Micros) -> bool {
        now < self.begin_by
    }
}

/// What the rest of the program is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// AttemptRequest these to one host, in as few calls as they fit in.
    SendBatch(BackendId, Vec<AttemptRequest>),
    /// Nobody waits for this attempt any more.
    CancelAttempt(BackendId, AttemptId),
    /// If this attempt has not begun, it is not to; its host is told nothing.
    RevokeUnsent(BackendId, AttemptId),
    /// Give this final answer.
    Respond(ResponseHandle, QueryResponse),
    /// An attempt with an effect: it may be sent once leave is given, and not before.
    RequestPermit(BackendId, AttemptRequest),
    /// A query with an effect has ended: its askers are told once that is recorded.
    ReplicateOutcome(Box<CompletedQuery>),
    /// Watch the list of hosts.
    WatchEndpoints,
    /// Fetch the whole list once.
    FetchEndpoints,
    /// Probe a host.
    HealthCheck(BackendId),
}

/// How a query with an effect ended, as far as this gatherer knows.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletedQuery {
    /// What was asked.
    pub request: QueryRequest,
    /// When its client's time is up.
    pub deadline: Micros,
    /// Who asked, and who asked again meanwhile.
    pub response_handles: Vec<ResponseHandle>,
    /// The answer.
    pub response: QueryResponse,
    /// A part of it may have run.
    pub possibly_executed: bool,
}

struct Open {
    asker: ResponseHandle,
    /// Who asked again under the same id, of queries that are guarded.
    riders: Vec<ResponseHandle>,
    ask: QueryRequest,
    end: Micros,
    slots: Vec<Slot>,
    /// Attempts that may have run.
    may_have_run: u32,
    plan: Option<Box<Plan>>,
}

/// A part that was asked for.
struct Slot {
    part: PartId,
    /// Which of the query's parts it is for.
    at: usize,
    /// It is the scout of that block.
    scout: bool,
    value: Option<Value>,
    /// It is waited for no longer; only plans drop parts before their end.
    over: bool,
    /// Attempts that may have run.
    may_have_run: u32,
}

impl Open {
    fn values(&self) -> impl Iterator<Item = &Value> {
        self.slots.iter().filter_map(|slot| slot.value.as_ref())
    }
}

/// What queries in two phases share.
struct Phases {
    clocks: Vec<Clock>,
    sketches: Sketches,
    /// Where each host stands, for throwing sketches away.
    hosts: BTreeMap<BackendId, (u32, EndpointState, Option<Micros>)>,
}

/// How queries in two phases are treated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TwoPhaseSettings {
    /// How the time is split.
    pub rule: Rule,
    /// What scouts said is kept within these bounds.
    pub sketches: SketchBounds,
}

struct Out {
    server: BackendId,
    query: QueryId,
    sent: Micros,
    until: Micros,
}

/// CoreLimits that the settings put on the core.
#[derive(Clone, Copy, Debug)]
pub struct CoreLimits {
    /// Most queries and parts that may be open.
    pub max_open: usize,
    /// Number of shards.
    pub shards: u32,
}

/// Open queries and the router that decides about them.
pub struct Core {
    router: Router,
    classes: Vec<String>,
    deadlines: Vec<Micros>,
    /// Whether a class's parts may be repeated freely.
    harmless: Vec<bool>,
    /// Hosts may be told that an attempt is given up.
    cancels: bool,
    /// Attempts with an effect wait for leave, and their queries' answers for their record.
    guarded: bool,
    /// Final answers that came about between turns.
    ready: Vec<Action>,
    layout: ShardLayout,
    figures: Vec<(Micros, f64)>,
    phases: Option<Phases>,
    planned: BTreeSet<QueryId>,
    tick: Micros,
    bounds: CoreLimits,
    /// No query is taken that would have to be answered later than this.
    answer_deadline: Option<Micros>,
    queries: BTreeMap<QueryId, Open>,
    ids: BTreeMap<Rc<str>, QueryId>,
    askers: BTreeMap<ResponseHandle, QueryId>,
    parts: BTreeMap<PartId, (QueryId, usize)>,
    open_parts: usize,
    attempts: BTreeMap<AttemptId, Out>,
    counts: BTreeMap<PartId, u32>,
    timeouts: BTreeSet<(Micros, AttemptId)>,
    ends: BTreeSet<(Micros, QueryId)>,
    events: Vec<Event>,
    wake: Option<Micros>,
    last_turn: Option<Micros>,
    next_id: u128,
}

/// What the router counts of what it keeps, in its order.
const ROUTER_KEEPS: [&str; 8] =
    ["queries", "parts", "servers", "calls", "sent", "answers", "agenda", "windows"];
/// Most that ask again under one id while it is open.
const RIDERS: usize = 16;
/// How far the weights of a query's parts may sum from 1, by rounding.
const WEIGHT_SLACK: f64 = 0.01;

impl Core {
    /// A core with nothing open, for classes of these names.
    ///
    /// # Errors
    /// Settings that the router rejects.
    pub fn new(
        seed: u64,
        settings: Settings,
        classes: Vec<String>,
        bounds: CoreLimits,
    ) -> Result<Self, SettingsError> {
        let tick = settings.batch_interval;
        let deadlines = settings.classes.iter().map(|class| class.deadline).collect();
        let free = |class: &Class| matches!(class.idempotency, mallowgauge_router::Idempotency::Idempotent);
        let harmless = settings.classes.iter().map(free).collect();
        let figures = settings
            .classes
            .iter()
            .map(|class| (class.latency_objective, class.minimum_completeness))
            .collect();
        let layout = settings.layout.clone();
        let cancels = settings.limits.cancellation;
        Ok(Self {
            router: Router::new(seed, settings)?,
            classes,
            deadlines,
            harmless,
            cancels,
            guarded: false,
            ready: Vec::new(),
            layout,
            figures,
            phases: None,
            planned: BTreeSet::new(),
            tick,
            bounds,
            answer_deadline: None,
            queries: BTreeMap::new(),
            ids: BTreeMap::new(),
            askers: BTreeMap::new(),
            parts: BTreeMap::new(),
            open_parts: 0,
            attempts: BTreeMap::new(),
            counts: BTreeMap::new(),
            timeouts: BTreeSet::new(),
            ends: BTreeSet::new(),
            events: Vec::new(),
            wake: None,
            last_turn: None,
            // Ties and draws go by a hash of the query: gatherers that started together must not draw alike.
            next_id: (u128::from(seed) << 64) + 1,
        })
    }

    /// The class of that name.
    pub fn class_id(&self, name: &str) -> Option<ClassId> {
        self.classes.iter().position(|known| known == name).map(ClassId)
    }

    /// The longest that a client of a class waits.
    pub fn deadline(&self, class: ClassId) -> Micros {
        self.deadlines[class.0]
    }

    /// Whether a class's queries may be repeated freely.
    pub fn is_idempotent(&self, class: ClassId) -> bool {
        self.harmless[class.0]
    }

    /// From now on attempts with an effect wait for leave, and the answers to their queries for their record.
    pub fn require_permits(&mut self) {
        self.guarded = true;
    }

    fn guards(&self, class: ClassId) -> bool {
        self.guarded && !self.harmless[class.0]
    }

    /// What was asked under an id that is open, and so long its client still waits.
    pub fn open_request(&self, now: Micros, id: &str) -> Option<(&QueryRequest, Micros)> {
        let open = self.queries.get(self.ids.get(id)?)?;
        Some((&open.ask, open.end.saturating_sub(now)))
    }

    /// Whether an attempt is still waited for.
    pub fn is_in_flight(&self, id: AttemptId) -> bool {
        self.attempts.contains_key(&id)
    }

    /// The client's id and the shard of an attempt that is out.
    pub fn attempt_target(&self, id: AttemptId) -> Option<(Rc<str>, ShardId)> {
        let open = self.queries.get(&self.attempts.get(&id)?.query)?;
        let (_, index) = self.parts.get(&id.part)?;
        Some((Rc::clone(&open.ask.id), open.ask.parts[open.slots.get(*index)?.at].shard))
    }

    /// Takes a query back without an answer, because another acts for it: who asked for it.
    pub fn release_query(&mut self, id: &str) -> Vec<ResponseHandle> {
        let Some(&query) = self.ids.get(id) else { return Vec::new() };
        let open = self.close(query);
        self.events.push(Event::ClientDisconnected(query));
        open.map(|open| [vec![open.asker], open.riders].concat()).unwrap_or_default()
    }

    /// The names of the classes.
    pub fn classes(&self) -> impl Iterator<Item = &str> {
        self.classes.iter().map(String::as_str)
    }

    /// When a client that would find no room now may come back.
    pub fn retry_after(&mut self) -> Micros {
        self.router.retry_after()
    }

    /// Whether a query with this id is open.
    pub fn is_open(&self, id: &str) -> bool {
        self.ids.contains_key(id)
    }

    /// Whether a part of somebody's query may have run; `false` if it is not open.
    pub fn possibly_executed(&self, asker: ResponseHandle) -> bool {
        let open = self.askers.get(&asker).and_then(|query| self.queries.get(query));
        open.is_some_and(|open| open.may_have_run > 0)
    }

    /// How many parts of somebody's query are in, and how many it has.
    pub fn progress(&self, asker: ResponseHandle) -> Option<(usize, usize)> {
        let open = self.askers.get(&asker).and_then(|query| self.queries.get(query))?;
        let planned = open.plan.is_some();
        Some((open.values().count(), if planned { open.slots.len().max(1) } else { open.ask.parts.len() }))
    }

    /// A value that is in of the query to which an attempt belongs; another one has to agree with it.
    pub fn received_value(&self, id: AttemptId) -> Option<&Value> {
        let out = self.attempts.get(&id)?;
        self.queries.get(&out.query).filter(|open| open.plan.is_none())?.values().next()
    }

    /// Whether an attempt belongs to a query in two phases, whose values are texts.
    pub fn is_planned(&self, id: AttemptId) -> bool {
        self.attempts.get(&id).is_some_and(|out| self.planned.contains(&out.query))
    }

    /// Takes queries in two phases from now on.
    pub fn enable_two_phase(&mut self, setup: TwoPhaseSettings) {
        let clocks = self.figures.iter().map(|_| Clock::new(setup.rule)).collect();
        let (sketches, hosts) = (Sketches::new(setup.sketches), BTreeMap::new());
        self.phases = Some(Phases { clocks, sketches, hosts });
    }

    /// Whether another attempt of the same part is out.
    pub fn has_other_attempt(&self, id: AttemptId) -> bool {
        let first = AttemptId { number: 0, ..id };
        let last = AttemptId { number: u32::MAX, ..id };
        self.attempts.range(first..=last).any(|(other, _)| *other != id)
    }

    /// The memory for tables is taken, and this query has to give way: it is refused where trying again is
    /// harmless, and fails otherwise.
    pub fn memory_limit_exceeded(&mut self, call: CallId) {
        let query = QueryId(call.0);
        let Some(open) = self.queries.get(&query) else { return };
        let answer = if self.harmless[open.ask.class.0] || open.may_have_run == 0 {
            QueryResponse::Rejected {
                retry_after: self.router.retry_after(),
                not_executed: open.may_have_run == 0,
            }
        } else {
            QueryResponse::Failed(Failure::MemoryExhausted)
        };
        let effect = self.finish(query, answer);
        self.ready.extend(effect);
        self.events.push(Event::ClientDisconnected(query));
    }

    /// What is taken from now on is answered by then, because the program may be killed soon after.
    pub fn set_answer_deadline(&mut self, by: Option<Micros>) {
        self.answer_deadline = by;
    }

    /// How much is kept here and in the router, by name: tests count whether all of it comes back to its base.
    pub fn resource_counts(&self) -> BTreeMap<&'static str, usize> {
        let phases = self.phases.as_ref().map_or(0, |phases| phases.hosts.len());
        let own = [
            ("open queries", self.queries.len()),
            ("ids", self.ids.len()),
            ("askers", self.askers.len()),
            ("open parts", self.parts.len()),
            ("counted parts", self.open_parts),
            ("attempts", self.attempts.len()),
            ("counts", self.counts.len()),
            ("timeouts", self.timeouts.len()),
            ("ends", self.ends.len()),
            ("planned", self.planned.len()),
            ("hosts of sketches", phases),
            ("events", self.events.len()),
            ("ready", self.ready.len()),
        ];
        own.into_iter().chain(ROUTER_KEEPS.into_iter().zip(self.router.resource_counts())).collect()
    }

    /// How many queries are open.
    pub fn open_queries(&self) -> usize {
        self.queries.len()
    }

    /// Takes a query. Its final answer comes as [`Action::Respond`], unless it is returned here.
    ///
    /// # Errors
    /// The final answer of a query that does not reach the router.
    pub fn submit(
        &mut self,
        now: Micros,
        asker: ResponseHandle,
        mut ask: QueryRequest,
    ) -> Result<(), QueryResponse> {
        // No class is waited for beyond its own time, whatever a client says, so that what hangs does not
        // hold its place for ever.
        ask.expires_in = ask.expires_in.min(self.deadline(ask.class));
        let invalid = |what| Err(QueryResponse::Failed(Failure::Invalid(what)));
        if ask.parts.is_empty() {
            return invalid("a query needs a part");
        }
        if ask.parts.iter().any(|p| p.shard.0 >= self.bounds.shards) {
            return invalid("there is no such shard");
        }
        let shards: BTreeSet<ShardId> = ask.parts.iter().map(|p| p.shard).collect();
        if shards.len() < ask.parts.len() {
            return invalid("a shard is named twice");
        }
        let weights: f64 = ask.parts.iter().map(|p| p.weight).sum();
        let positive = ask.parts.iter().all(|p| p.weight > 0.0);
        if !positive || !weights.is_finite() || (weights - 1.0).abs() > WEIGHT_SLACK {
            return invalid("the shares of the parts do not add up to 1");
        }
        if ask.expires_in == 0 {
            return Err(QueryResponse::Failed(Failure::DeadlineExceeded));
        }
        if let (true, Some(query)) = (self.guards(ask.class), self.ids.get(&ask.id)) {
            // A client that lost its connection asks again: it waits for the same outcome.
            let Some(open) = self.queries.get_mut(query) else {
                return invalid("a query of this id is open");
            };
            if (open.ask.class, &open.ask.body, &open.ask.parts) != (ask.class, &ask.body, &ask.parts) {
                return invalid("a query of this id with another body is open");
            }
            if open.riders.len() >= RIDERS {
                return Err(QueryResponse::Rejected {
                    retry_after: self.router.retry_after(),
                    not_executed: false,
                });
            }
            open.riders.push(asker);
            self.askers.insert(asker, *query);
            return Ok(());
        }
        if self.ids.contains_key(&ask.id) {
            // Parts are named after the query's id on the way to hosts: two alike could not be told apart.
            return invalid("a query of this id is open");
        }
        let late = self.answer_deadline.is_some_and(|by| by <= now);
        ask.expires_in =
            ask.expires_in.min(self.answer_deadline.map_or(Micros::MAX, |by| by.saturating_sub(now)));
        if late || self.queries.len() + self.open_parts + 1 + ask.parts.len() > self.bounds.max_open {
            let answer =
                QueryResponse::Rejected { retry_after: self.router.retry_after(), not_executed: true };
            if !(ask.retry && self.guards(ask.class)) {
                return Err(answer);
            }
            // It was asked before, perhaps elsewhere: whether nothing of it ran is not known here.
            let (end, askers) = (now.saturating_add(ask.expires_in), vec![asker]);
            let refused = CompletedQuery {
                request: ask,
                deadline: end,
                response_handles: askers,
                response: answer,
                possibly_executed: false,
            };
            self.ready.push(Action::ReplicateOutcome(Box::new(refused)));
            return Ok(());
        }
        if let Some(plan) = &ask.plan {
            if self.phases.is_none() {
                return invalid("queries in two phases are not taken here");
            }
            let Spec { top, wave, choose, .. } = plan.spec;
            let odd = match choose {
                Choose::Best(k) => k == 0,
                Choose::Share(share) => !(0.0..=1.0).contains(&share),
                Choose::Threshold | Choose::All => false,
            };
            if odd || !(1..=two_phase::MOST_TOP).contains(&top) || !(1..=two_phase::MOST_TOP).contains(&wave)
            {
                return invalid("the plan makes no sense");
            }
        }
        let query = QueryId(self.next_id);
        self.next_id += 1;
        self.events.push(Event::QueryArrived(QueryArrival {
            query,
            class: ask.class,
            expires_in: ask.expires_in,
            work_hint: ask.work_hint,
            retry: ask.retry,
            planned: ask.plan.is_some(),
        }));
        let end = now.saturating_add(ask.expires_in);
        self.ends.insert((end, query));
        self.ids.insert(Rc::clone(&ask.id), query);
        self.askers.insert(asker, query);
        let planned = ask.plan.is_some();
        let all: Vec<usize> = (0..ask.parts.len()).collect();
        self.queries.insert(
            query,
            Open { asker, riders: Vec::new(), ask, end, slots: Vec::new(), may_have_run: 0, plan: None },
        );
        if planned {
            self.begin_plan(now, query);
        } else {
            self.ask_parts(query, &all, false);
        }
        Ok(())
    }

    /// Asks for parts of a query: scouts, or what it is about.
    fn ask_parts(&mut self, query: QueryId, which: &[usize], scout: bool) {
        let Some(open) = self.queries.get_mut(&query) else { return };
        for &at in which {
            let part = PartId(self.next_id);
            self.next_id += 1;
            let PartRequest { shard, weight } = open.ask.parts[at];
            self.events.push(Event::PartArrived(PartArrival {
                query,
                part,
                shard,
                weight,
                idempotent: scout,
            }));
            self.parts.insert(part, (query, open.slots.len()));
            open.slots.push(Slot { part, at, scout, value: None, over: false, may_have_run: 0 });
        }
        self.open_parts += which.len();
    }

    fn begin_plan(&mut self, now: Micros, query: QueryId) {
        let Some(open) = self.queries.get_mut(&query) else { return };
        let (Some(ask), Some(phases)) = (&open.ask.plan, &self.phases) else { return };
        let class = open.ask.class.0;
        let (aim, floor) = self.figures[class];
        let left = aim.min(open.ask.expires_in);
        let predicate = predicate_of(&open.ask.body);
        let known = |part: &PartRequest| phases.sketches.get(now, predicate, part.shard);
        let waves = match ask.spec.choose {
            Choose::Best(k) => k.div_ceil(ask.spec.wave),
            Choose::All => open.ask.parts.len().div_ceil(ask.spec.wave),
            Choose::Threshold | Choose::Share(_) => 2,
        };
        let setup = two_phase::Setup {
            blocks: open.ask.parts.iter().map(|part| (part.shard, part.weight)).collect(),
            known: open.ask.parts.iter().map(known).collect(),
            spec: ask.spec,
            effect: !self.harmless[class],
            floor,
            aim: now + left,
            end: open.end,
            budget: phases.clocks[class].budget(now, aim, left, waves),
            wave_time: phases.clocks[class].wave(aim),
        };
        let (plan, wants) = Plan::begin(now, setup);
        open.plan = Some(Box::new(plan));
        self.planned.insert(query);
        self.carry_out(now, query, wants);
    }

    /// Does what a plan wants.
    fn carry_out(&mut self, now: Micros, query: QueryId, wants: Vec<Want>) {
        if let Some(open) = self.queries.get_mut(&query) {
            if let (Some(plan), Some(phases)) = (&mut open.plan, &mut self.phases) {
                let (scouts, waves) = plan.times();
                let clock = &mut phases.clocks[open.ask.class.0];
                scouts.into_iter().for_each(|took| clock.scouted(took));
                waves.into_iter().for_each(|took| clock.waved(took));
            }
        }
        for want in wants {
            match want {
                Want::Scout(blocks) => self.ask_parts(query, &blocks, true),
                Want::Fetch(blocks) => self.ask_parts(query, &blocks, false),
                Want::DropScouts(blocks) => self.drop_slots(query, &blocks, true),
                Want::DropFetches(blocks) => self.drop_slots(query, &blocks, false),
                Want::Answer(ranked) => self.settle(query, QueryResponse::Ranked(Rc::new(ranked)), true),
                Want::GiveUp { harmless } => {
                    let Some(open) = self.queries.get(&query) else { return };
                    let answer = if harmless {
                        let untouched = open.may_have_run == 0;
                        QueryResponse::Rejected {
                            retry_after: self.router.retry_after(),
                            not_executed: untouched,
                        }
                    } else if open.end <= now + END_MARGIN {
                        QueryResponse::Failed(Failure::DeadlineExceeded)
                    } else {
                        QueryResponse::Failed(Failure::PartsFailed)
                    };
                    self.settle(query, answer, false);
                }
            }
        }
    }

    fn settle(&mut self, query: QueryId, answer: QueryResponse, answered: bool) {
        let effect = self.finish(query, answer);
        self.ready.extend(effect);
        self.events.push(Event::QueryCompleted { query, answered });
    }

    /// Nobody waits for these parts of a plan any more.
    fn drop_slots(&mut self, query: QueryId, blocks: &[usize], scout: bool) {
        let Some(open) = self.queries.get_mut(&query) else { return };
        let mut dropped = Vec::new();
        let these = |slot: &&mut Slot| slot.scout == scout && !slot.over && blocks.contains(&slot.at);
        for slot in open.slots.iter_mut().filter(these) {
            slot.over = true;
            self.open_parts -= 1;
            self.parts.remove(&slot.part);
            self.counts.remove(&slot.part);
            self.events.push(Event::PartCancelled(slot.part));
            dropped.push(slot.part);
        }
        if !self.cancels {
            dropped.into_iter().for_each(|part| self.withdraw_waiting(part));
        }
    }

    /// A part of a plan is in, or never will be; `false` if what is in makes no sense.
    fn plan_part(&mut self, now: Micros, part: PartId, value: Option<&Value>) -> bool {
        let Some(&(query, index)) = self.parts.get(&part) else { return true };
        let Some(open) = self.queries.get_mut(&query) else { return true };
        let Some(plan) = &mut open.plan else { return true };
        let slot = &mut open.slots[index];
        if slot.over {
            return true;
        }
        let lost = if slot.may_have_run == 0 { Lost::NeverRan } else { Lost::MayHaveRun };
        let shard = open.ask.parts[slot.at].shard;
        let text = match value {
            Some(Value::Text(text)) => Some(text),
            Some(Value::Table(_)) => return false,
            None => None,
        };
        let effect = !self.harmless[open.ask.class.0];
        let wants = match (slot.scout, text) {
            (true, Some(text)) => {
                let Ok(sketch) = two_phase::sketch(text) else { return false };
                let predicate = predicate_of(&open.ask.body);
                if let Some(phases) = &mut self.phases {
                    phases.sketches.put(now, predicate, shard, sketch);
                }
                plan.scouted(now, slot.at, Ok(sketch))
            }
            (true, None) => plan.scouted(now, slot.at, Err(lost)),
            (false, Some(text)) if effect => plan.held(now, slot.at, Rc::clone(text)),
            (false, Some(text)) => {
                let Ok(rows) = two_phase::rows(shard, text) else { return false };
                plan.fetched(now, slot.at, Ok(rows))
            }
            (false, None) => plan.fetched(now, slot.at, Err(lost)),
        };
        slot.over = true;
        slot.value = value.cloned();
        self.open_parts -= 1;
        self.carry_out(now, query, wants);
        true
    }

    /// The client of a query has gone away; nobody is answered.
    pub fn client_disconnected(&mut self, asker: ResponseHandle) {
        if let Some(query) = self.askers.get(&asker).copied() {
            self.askers.remove(&asker);
            let kept = |open: &Open| {
                let begun = open.slots.iter().any(|slot| self.counts.contains_key(&slot.part));
                let mut all = open.riders.iter().chain([&open.asker]);
                self.guards(open.ask.class) && (begun || all.any(|asker| self.askers.contains_key(asker)))
            };
            if self.queries.get(&query).is_some_and(kept) {
                // Its client may ask again, and has to find how it ended.
                return;
            }
            self.close(query);
            self.events.push(Event::ClientDisconnected(query));
        }
    }

    /// An attempt has ended. One that is no longer out is passed over.
    pub fn attempt_completed(&mut self, now: Micros, id: AttemptId, outcome: Outcome, value: Option<Value>) {
        let Some(out) = self.attempts.remove(&id) else { return };
        self.timeouts.remove(&(out.until, id));
        let (mut outcome, mut value) = (outcome, value);
        let index = self.parts.get(&id.part).map(|(_, index)| *index);
        if let Some(open) = self.queries.get_mut(&out.query) {
            let planned = open.plan.is_some();
            let slot = index.and_then(|index| open.slots.get_mut(index));
            match (outcome, slot) {
                (Outcome::Succeeded, Some(slot @ Slot { value: None, .. })) if !planned => {
                    slot.value = value.take();
                }
                (Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent, slot) => {
                    open.may_have_run -= 1;
                    slot.into_iter().for_each(|slot| slot.may_have_run -= 1);
                }
                _ => {}
            }
            if planned && outcome == Outcome::Succeeded && !self.plan_part(now, id.part, value.as_ref()) {
                tracing::debug!("a part of a plan makes no sense");
                outcome = Outcome::BackendError;
            }
        }
        if !self.cancels && outcome == Outcome::Succeeded {
            self.withdraw_waiting(id.part);
        }
        let took = now.saturating_sub(out.sent);
        self.events.push(Event::AttemptCompleted { part: id.part, attempt: id.number, outcome, took });
    }

    /// A probe came back.
    pub fn health_check_completed(&mut self, server: BackendId, passed: bool) {
        self.events.push(Event::HealthCheckCompleted { backend: server, passed });
    }

    /// News of the list of hosts.
    pub fn endpoint_update(&mut self, news: EndpointUpdate) {
        self.doubt_sketches(&news);
        self.events.push(Event::EndpointUpdate(news));
    }

    /// What scouts said of a block counts no longer once something has happened to one of its holders.
    fn doubt_sketches(&mut self, news: &EndpointUpdate) {
        let Some(phases) = &mut self.phases else { return };
        let (entries, whole) = match news {
            EndpointUpdate::Failed => return,
            EndpointUpdate::CachedSnapshot(entries) | EndpointUpdate::Snapshot(entries) => (entries, true),
            EndpointUpdate::Delta(entries) => (entries, false),
        };
        let mut cells = BTreeSet::new();
        if whole {
            let named: BTreeSet<BackendId> = entries.iter().map(|entry| entry.backend).collect();
            phases.hosts.retain(|id, (cell, ..)| named.contains(id) || !cells.insert(*cell));
        }
        for entry in entries {
            let stands = (entry.ring_position, entry.state, entry.started_at);
            let before = phases.hosts.insert(entry.backend, stands);
            if before != Some(stands) {
                cells.extend(before.map(|(cell, ..)| cell));
                cells.insert(entry.ring_position);
            }
            if entry.state == EndpointState::Removed {
                phases.hosts.remove(&entry.backend);
            }
        }
        let ShardLayout { ring_positions: count, replication_factor: reach, .. } = self.layout;
        let holds = |shard: ShardId| (0..reach).any(|j| cells.contains(&((shard.0 + j) % count.max(1))));
        if !cells.is_empty() {
            phases.sketches.forget(holds);
        }
    }

    /// When the next turn is due; `None` while nothing is to come.
    pub fn poll_timeout(&self) -> Option<Micros> {
        let timers = [
            self.wake,
            self.timeouts.first().map(|(at, _)| *at),
            self.ends.first().map(|(at, _)| *at),
            (!self.events.is_empty()).then_some(0),
            self.plans_due(),
        ];
        if !self.ready.is_empty() {
            return Some(0);
        }
        let first = timers.into_iter().flatten().min()?;
        Some(first.max(self.last_turn.map_or(0, |last| last + self.tick)))
    }

    fn plans_due(&self) -> Option<Micros> {
        let plans = self.planned.iter().filter_map(|query| self.queries.get(query)?.plan.as_ref());
        plans.filter_map(|plan| plan.due()).min()
    }

    /// Lets plans look at the clock.
    fn tick_plans(&mut self, now: Micros) {
        if self.plans_due().is_none_or(|due| due > now) {
            return;
        }
        for query in self.planned.iter().copied().collect::<Vec<_>>() {
            let plan = self.queries.get_mut(&query).and_then(|open| open.plan.as_mut());
            let Some(plan) = plan.filter(|plan| plan.due().is_some_and(|due| due <= now)) else { continue };
            let wants = plan.tick(now);
            self.carry_out(now, query, wants);
        }
    }

    /// Runs a turn if one is due.
    pub fn run_batch(&mut self, now: Micros) -> Vec<Action> {
        let mut effects = std::mem::take(&mut self.ready);
        if self.poll_timeout().is_none_or(|due| due > now) {
            return effects;
        }
        self.last_turn = Some(now);
        self.tick_plans(now);
        while let Some(&(at, id)) = self.timeouts.first().filter(|(at, _)| *at <= now) {
            self.timeouts.remove(&(at, id));
            if let Some(out) = self.attempts.get(&id) {
                effects.push(Action::CancelAttempt(out.server, id));
                self.attempt_completed(now, id, Outcome::TimedOut, None);
            }
        }
        if self.wake.is_some_and(|at| at <= now) {
            self.wake = None;
            self.events.push(Event::TimerExpired);
        }
        let mut actions = Vec::new();
        self.router.handle(now, std::mem::take(&mut self.events), &mut actions);
        let mut calls: BTreeMap<BackendId, Vec<AttemptRequest>> = BTreeMap::new();
        let mut others = Vec::new();
        for action in actions {
            match action {
                router::Action::Send { part, backend: server, timeout, begin_within } => {
                    let effect = self.has_effect(part);
                    if effect {
                        // Of two attempts none may begin long after the other: one that waits still is not to.
                        self.withdraw_waiting(part);
                    }
                    let guarded = self.guarded && effect;
                    match self.send(now, part, server, (timeout, begin_within)) {
                        Some(send) if guarded => others.push(Action::RequestPermit(server, send)),
                        Some(send) => calls.entry(server).or_default().push(send),
                        None => {}
                    }
                }
                router::Action::Cancel { part, attempt } => {
                    let id = AttemptId { part, number: attempt };
                    if let Some(out) = self.attempts.get(&id) {
                        others.push(Action::CancelAttempt(out.server, id));
                        self.attempt_completed(now, id, Outcome::Cancelled, None);
                    }
                }
                router::Action::PartFailed { part } => {
                    self.plan_part(now, part, None);
                }
                router::Action::Respond { query, complete: whole } => {
                    others.extend(self.served(query, whole))
                }
                router::Action::Reject { query, retry_after } => {
                    let untouched = self.queries.get(&query).is_some_and(|open| open.may_have_run == 0);
                    others.extend(
                        self.finish(query, QueryResponse::Rejected { retry_after, not_executed: untouched }),
                    );
                }
                router::Action::Fail { query } => {
                    let over = self.queries.get(&query).is_some_and(|open| open.end <= now + END_MARGIN);
                    let failure = if over { Failure::DeadlineExceeded } else { Failure::PartsFailed };
                    others.extend(self.finish(query, QueryResponse::Failed(failure)));
                }
                router::Action::SetTimer(after) => {
                    let at = now.saturating_add(after);
                    self.wake = Some(self.wake.map_or(at, |wake| wake.min(at)));
                }
                router::Action::WatchEndpoints => others.push(Action::WatchEndpoints),
                router::Action::HealthCheck(server) => others.push(Action::HealthCheck(server)),
                router::Action::BackendEjected(id) => tracing::info!("router: server {} suspect", id.0),
                router::Action::BackendRecovered(id) => tracing::info!("router: server {} sound again", id.0),
            }
        }
        // The router ends a query ahead of its time; this holds the promise should it ever not.
        while let Some(&(at, query)) = self.ends.first().filter(|(at, _)| *at <= now) {
            self.ends.remove(&(at, query));
            let id = self.queries.get(&query).map(|open| &*open.ask.id);
            tracing::error!(query = id, "query ran out of time undecided");
            others.extend(self.finish(query, QueryResponse::Failed(Failure::DeadlineExceeded)));
            self.events.push(Event::ClientDisconnected(query));
        }
        // What plans have decided in this turn goes out with it.
        effects.append(&mut self.ready);
        effects.extend(calls.into_iter().map(|(server, sends)| Action::SendBatch(server, sends)));
        effects.extend(others);
        effects
    }

    /// Whether running a part changes something: a scout of a query with an effect changes nothing.
    fn has_effect(&self, part: PartId) -> bool {
        let open = self.parts.get(&part).and_then(|(query, at)| Some((self.queries.get(query)?, *at)));
        open.is_some_and(|(open, at)| !self.harmless[open.ask.class.0] && !open.slots[at].scout)
    }

    /// Attempts of a part that wait for a connection or for room on one are not to begin any more.
    fn withdraw_waiting(&mut self, part: PartId) {
        let (first, last) = (AttemptId { part, number: 0 }, AttemptId { part, number: u32::MAX });
        let out = self.attempts.range(first..=last);
        self.ready.extend(out.map(|(id, out)| Action::RevokeUnsent(out.server, *id)));
    }

    fn send(
        &mut self,
        now: Micros,
        part: PartId,
        server: BackendId,
        (timeout, begin_within): (Micros, Micros),
    ) -> Option<AttemptRequest> {
        let count = self.counts.entry(part).or_insert(0);
        let id = AttemptId { part, number: *count };
        *count += 1;
        let Some(&(query, index)) = self.parts.get(&part) else {
            self.counts.remove(&part);
            self.events.push(Event::AttemptCompleted {
                part,
                attempt: id.number,
                outcome: Outcome::NotSent,
                took: 0,
            });
            return None;
        };
        let open = self.queries.get_mut(&query)?;
        open.may_have_run += 1;
        let slot = &mut open.slots[index];
        slot.may_have_run += 1;
        let (at, scout) = (slot.at, slot.scout);
        let until = now.saturating_add(timeout).min(open.end);
        self.attempts.insert(id, Out { server, query, sent: now, until });
        self.timeouts.insert((until, id));
        Some(AttemptRequest {
            attempt: id,
            query: Rc::clone(&open.ask.id),
            call: CallId(query.0),
            shard: open.ask.parts[at].shard,
            deadline: until,
            begin_by: until.min(now.saturating_add(begin_within)),
            body: match &open.ask.plan {
                Some(plan) if scout => Rc::clone(&plan.scout),
                _ => Rc::clone(&open.ask.body),
            },
        })
    }

    fn served(&mut self, query: QueryId, whole: bool) -> Option<Action> {
        let open = self.queries.get_mut(&query)?;
        let slots = open.slots.iter_mut();
        let values = slots.filter_map(|slot| Some((open.ask.parts[slot.at].shard, slot.value.take()?)));
        let values = values.collect();
        self.finish(query, QueryResponse::Completed { complete: whole, values })
    }

    fn finish(&mut self, query: QueryId, answer: QueryResponse) -> Option<Action> {
        let open = self.close(query)?;
        if !self.guards(open.ask.class) {
            return Some(Action::Respond(open.asker, answer));
        }
        let askers = [vec![open.asker], open.riders].concat();
        let touched = open.may_have_run > 0;
        Some(Action::ReplicateOutcome(Box::new(CompletedQuery {
            request: open.ask,
            deadline: open.end,
            response_handles: askers,
            response: answer,
            possibly_executed: touched,
        })))
    }

    fn close(&mut self, query: QueryId) -> Option<Open> {
        let open = self.queries.remove(&query)?;
        self.ids.remove(&open.ask.id);
        self.askers.remove(&open.asker);
        for rider in &open.riders {
            self.askers.remove(rider);
        }
        self.ends.remove(&(open.end, query));
        self.planned.remove(&query);
        for slot in &open.slots {
            self.open_parts -= usize::from(!slot.over);
            self.parts.remove(&slot.part);
            self.counts.remove(&slot.part);
        }
        if !self.cancels {
            // The router calls nothing off then, but what has not begun needs no word to its host.
            open.slots.iter().for_each(|slot| self.withdraw_waiting(slot.part));
        }
        Some(open)
    }
}

/// A query that fails this close to its end failed for want of time.
const END_MARGIN: Micros = 20_000;

/// A hash of what a query asks, by which sketches are kept.
fn predicate_of(text: &[u8]) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(text)
}
