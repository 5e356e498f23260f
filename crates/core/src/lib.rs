//! The core: open queries and their parts, deadlines, and the turn. It knows no wire.
//!
//! Fronts hand it typed queries, host connections hand it typed outcomes, discovery hands it lists. It
//! gathers these until the next turn, gives them to the [`Router`] in one call and turns the router's
//! actions into [`Effect`]s. Every time is an argument.

pub mod admission;
pub mod batch;
pub mod budget;
pub mod flights;
pub mod sessions;
pub mod truth;
mod value;

use budget::CallId;
pub use value::{Message, Table, Value};

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use mallowgauge_router::*;

/// One part as a client asks for it.
#[derive(Clone, Debug, PartialEq)]
pub struct AskPart {
    /// The shard asked.
    pub shard: ShardId,
    /// Its share of the whole answer.
    pub weight: f64,
}

/// A query as a front understood it.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
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
    pub text: Rc<[u8]>,
    /// Its parts.
    pub parts: Vec<AskPart>,
}

/// Where a final answer goes: a number that the front behind it gave out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Asker {
    /// An exchange of the HTTP front.
    Http(u64),
    /// A stream of the Flight front.
    Flight(u64),
}

/// Why a query failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The query makes no sense; nothing was sent.
    Invalid(&'static str),
    /// Parts could not be had, and some may have run.
    Parts,
    /// Its time ran out.
    TimeUp,
    /// Its tables found no room in memory, and parts of it may have run.
    Room,
}

/// The final answer to a query.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The values that are in.
    Served {
        /// Whether this is marked as the whole answer.
        whole: bool,
        /// The values, as the hosts gave them.
        values: Vec<(ShardId, Value)>,
    },
    /// Turned away: trying again is harmless.
    Refused {
        /// When to come back; 0 for no advice.
        retry_after: Micros,
        /// No part of it can have run.
        untouched: bool,
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
pub struct Send {
    /// The attempt.
    pub attempt: AttemptId,
    /// The client's id of the query.
    pub query: Rc<str>,
    /// The query, as the core numbers them: the lower, the older.
    pub call: CallId,
    /// The shard.
    pub shard: ShardId,
    /// How long its answer is waited for.
    pub wait: Micros,
    /// What the part carries.
    pub text: Rc<[u8]>,
}

/// What the rest of the program is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send these to one host, in as few calls as they fit in.
    Call(ServerId, Vec<Send>),
    /// Nobody waits for this attempt any more.
    Abandon(ServerId, AttemptId),
    /// Give this final answer.
    Reply(Asker, Answer),
    /// Watch the list of hosts.
    Watch,
    /// Fetch the whole list once.
    Fetch,
    /// Probe a host.
    Probe(ServerId),
}

struct Open {
    asker: Asker,
    ask: Ask,
    end: Micros,
    first_part: u128,
    values: Vec<Option<Value>>,
    /// Attempts that may have run.
    may_have_run: u32,
}

struct Out {
    server: ServerId,
    query: QueryId,
    sent: Micros,
    until: Micros,
}

/// Bounds that the settings put on the core.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
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
    /// Final answers that came about between turns.
    ready: Vec<crate::Effect>,
    tick: Micros,
    bounds: Bounds,
    queries: BTreeMap<QueryId, Open>,
    ids: BTreeMap<Rc<str>, QueryId>,
    askers: BTreeMap<Asker, QueryId>,
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
        bounds: Bounds,
    ) -> Result<Self, SettingsError> {
        let tick = settings.tick;
        let deadlines = settings.classes.iter().map(|class| class.deadline).collect();
        let free = |class: &Class| matches!(class.effect, mallowgauge_router::Effect::Safe);
        let harmless = settings.classes.iter().map(free).collect();
        Ok(Self {
            router: Router::new(seed, settings)?,
            classes,
            deadlines,
            harmless,
            ready: Vec::new(),
            tick,
            bounds,
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
            next_id: 1,
        })
    }

    /// The class of that name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.iter().position(|known| known == name).map(ClassId)
    }

    /// The longest that a client of a class waits.
    pub fn deadline(&self, class: ClassId) -> Micros {
        self.deadlines[class.0]
    }

    /// Whether a class's queries may be repeated freely.
    pub fn is_harmless(&self, class: ClassId) -> bool {
        self.harmless[class.0]
    }

    /// The names of the classes.
    pub fn classes(&self) -> impl Iterator<Item = &str> {
        self.classes.iter().map(String::as_str)
    }

    /// When a client that would find no room now may come back.
    pub fn advice(&mut self) -> Micros {
        self.router.retry_after()
    }

    /// Whether a query with this id is open.
    pub fn is_open(&self, id: &str) -> bool {
        self.ids.contains_key(id)
    }

    /// Whether a part of somebody's query may have run; `false` if it is not open.
    pub fn touched(&self, asker: Asker) -> bool {
        let open = self.askers.get(&asker).and_then(|query| self.queries.get(query));
        open.is_some_and(|open| open.may_have_run > 0)
    }

    /// How many parts of somebody's query are in, and how many it has.
    pub fn progress(&self, asker: Asker) -> Option<(usize, usize)> {
        let open = self.askers.get(&asker).and_then(|query| self.queries.get(query))?;
        Some((open.values.iter().flatten().count(), open.values.len()))
    }

    /// A value that is in of the query to which an attempt belongs; another one has to agree with it.
    pub fn value_beside(&self, id: AttemptId) -> Option<&Value> {
        let out = self.attempts.get(&id)?;
        self.queries.get(&out.query)?.values.iter().flatten().next()
    }

    /// Whether another attempt of the same part is out.
    pub fn has_twin(&self, id: AttemptId) -> bool {
        let first = AttemptId { number: 0, ..id };
        let last = AttemptId { number: u32::MAX, ..id };
        self.attempts.range(first..=last).any(|(other, _)| *other != id)
    }

    /// The memory for tables is taken, and this query has to give way: it is refused where trying again is
    /// harmless, and fails otherwise.
    pub fn overrun(&mut self, call: CallId) {
        let query = QueryId(call.0);
        let Some(open) = self.queries.get(&query) else { return };
        let answer = if self.harmless[open.ask.class.0] || open.may_have_run == 0 {
            Answer::Refused { retry_after: self.router.retry_after(), untouched: open.may_have_run == 0 }
        } else {
            Answer::Failed(Failure::Room)
        };
        let effect = self.finish(query, answer);
        self.ready.extend(effect);
        self.events.push(Event::Left(query));
    }

    /// How many queries are open.
    pub fn open(&self) -> usize {
        self.queries.len()
    }

    /// Takes a query. Its final answer comes as [`Effect::Reply`], unless it is returned here.
    ///
    /// # Errors
    /// The final answer of a query that does not reach the router.
    pub fn ask(&mut self, now: Micros, asker: Asker, mut ask: Ask) -> Result<(), Answer> {
        // No class is waited for beyond its own time, whatever a client says, so that what hangs does not
        // hold its place for ever.
        ask.expires_in = ask.expires_in.min(self.deadline(ask.class));
        let invalid = |what| Err(Answer::Failed(Failure::Invalid(what)));
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
            return Err(Answer::Failed(Failure::TimeUp));
        }
        if self.ids.contains_key(&ask.id) {
            // Parts are named after the query's id on the way to hosts: two alike could not be told apart.
            return invalid("a query of this id is open");
        }
        if self.queries.len() + self.open_parts + 1 + ask.parts.len() > self.bounds.max_open {
            return Err(Answer::Refused { retry_after: self.router.retry_after(), untouched: true });
        }
        let query = QueryId(self.next_id);
        let first_part = self.next_id + 1;
        self.next_id += 1 + ask.parts.len() as u128;
        self.events.push(Event::Query(Arrival {
            query,
            class: ask.class,
            expires_in: ask.expires_in,
            work_hint: ask.work_hint,
            retry: ask.retry,
        }));
        for (i, part) in ask.parts.iter().enumerate() {
            let id = PartId(first_part + i as u128);
            self.events.push(Event::Part(PartArrival {
                query,
                part: id,
                shard: part.shard,
                weight: part.weight,
            }));
            self.parts.insert(id, (query, i));
        }
        let end = now.saturating_add(ask.expires_in);
        self.ends.insert((end, query));
        self.ids.insert(Rc::clone(&ask.id), query);
        self.askers.insert(asker, query);
        self.open_parts += ask.parts.len();
        let values = vec![None; ask.parts.len()];
        self.queries.insert(query, Open { asker, ask, end, first_part, values, may_have_run: 0 });
        Ok(())
    }

    /// The client of a query has gone away; nobody is answered.
    pub fn gone(&mut self, asker: Asker) {
        if let Some(query) = self.askers.get(&asker).copied() {
            self.close(query);
            self.events.push(Event::Left(query));
        }
    }

    /// An attempt has ended. One that is no longer out is passed over.
    pub fn outcome(&mut self, now: Micros, id: AttemptId, outcome: Outcome, value: Option<Value>) {
        let Some(out) = self.attempts.remove(&id) else { return };
        self.timeouts.remove(&(out.until, id));
        if let Some(open) = self.queries.get_mut(&out.query) {
            let at = (id.part.0 - open.first_part) as usize;
            match (outcome, open.values.get_mut(at)) {
                (Outcome::Served, Some(slot @ None)) => *slot = value,
                (Outcome::NoRoom | Outcome::NoRoute | Outcome::NeverSent, _) => open.may_have_run -= 1,
                _ => {}
            }
        }
        let took = now.saturating_sub(out.sent);
        self.events.push(Event::Outcome { part: id.part, attempt: id.number, outcome, took });
    }

    /// A probe came back.
    pub fn probed(&mut self, server: ServerId, passed: bool) {
        self.events.push(Event::Probed { server, passed });
    }

    /// News of the list of hosts.
    pub fn list(&mut self, news: ListNews) {
        self.events.push(Event::List(news));
    }

    /// When the next turn is due; `None` while nothing is to come.
    pub fn due(&self) -> Option<Micros> {
        let timers = [
            self.wake,
            self.timeouts.first().map(|(at, _)| *at),
            self.ends.first().map(|(at, _)| *at),
            (!self.events.is_empty()).then_some(0),
        ];
        if !self.ready.is_empty() {
            return Some(0);
        }
        let first = timers.into_iter().flatten().min()?;
        Some(first.max(self.last_turn.map_or(0, |last| last + self.tick)))
    }

    /// Runs a turn if one is due.
    pub fn turn(&mut self, now: Micros) -> Vec<Effect> {
        let mut effects = std::mem::take(&mut self.ready);
        if self.due().is_none_or(|due| due > now) {
            return effects;
        }
        self.last_turn = Some(now);
        while let Some(&(at, id)) = self.timeouts.first().filter(|(at, _)| *at <= now) {
            self.timeouts.remove(&(at, id));
            if let Some(out) = self.attempts.get(&id) {
                effects.push(Effect::Abandon(out.server, id));
                self.outcome(now, id, Outcome::TimedOut, None);
            }
        }
        if self.wake.is_some_and(|at| at <= now) {
            self.wake = None;
            self.events.push(Event::Wake);
        }
        let mut actions = Vec::new();
        self.router.handle(now, std::mem::take(&mut self.events), &mut actions);
        let mut calls: BTreeMap<ServerId, Vec<Send>> = BTreeMap::new();
        let mut others = Vec::new();
        for action in actions {
            match action {
                Action::Send { part, server, timeout } => {
                    if let Some(send) = self.send(now, part, server, timeout) {
                        calls.entry(server).or_default().push(send);
                    }
                }
                Action::Cancel { part, attempt } => {
                    let id = AttemptId { part, number: attempt };
                    if let Some(out) = self.attempts.get(&id) {
                        others.push(Effect::Abandon(out.server, id));
                        self.outcome(now, id, Outcome::Cancelled, None);
                    }
                }
                Action::Answer { query, whole } => others.extend(self.served(query, whole)),
                Action::Refuse { query, retry_after } => {
                    let untouched = self.queries.get(&query).is_some_and(|open| open.may_have_run == 0);
                    others.extend(self.finish(query, Answer::Refused { retry_after, untouched }));
                }
                Action::Fail { query } => {
                    let over = self.queries.get(&query).is_some_and(|open| open.end <= now + END_MARGIN);
                    let failure = if over { Failure::TimeUp } else { Failure::Parts };
                    others.extend(self.finish(query, Answer::Failed(failure)));
                }
                Action::WakeIn(after) => {
                    let at = now.saturating_add(after);
                    self.wake = Some(self.wake.map_or(at, |wake| wake.min(at)));
                }
                Action::Subscribe => others.push(Effect::Watch),
                Action::FetchList => others.push(Effect::Fetch),
                Action::Probe(server) => others.push(Effect::Probe(server)),
                Action::Log(line) => tracing::info!("router: {line}"),
            }
        }
        // The router ends a query ahead of its time; this holds the promise should it ever not.
        while let Some(&(at, query)) = self.ends.first().filter(|(at, _)| *at <= now) {
            self.ends.remove(&(at, query));
            tracing::error!("query ran out of time undecided");
            others.extend(self.finish(query, Answer::Failed(Failure::TimeUp)));
            self.events.push(Event::Left(query));
        }
        effects.extend(calls.into_iter().map(|(server, sends)| Effect::Call(server, sends)));
        effects.extend(others);
        effects
    }

    fn send(&mut self, now: Micros, part: PartId, server: ServerId, timeout: Micros) -> Option<Send> {
        let count = self.counts.entry(part).or_insert(0);
        let id = AttemptId { part, number: *count };
        *count += 1;
        let Some(&(query, index)) = self.parts.get(&part) else {
            self.counts.remove(&part);
            self.events.push(Event::Outcome {
                part,
                attempt: id.number,
                outcome: Outcome::NeverSent,
                took: 0,
            });
            return None;
        };
        let open = self.queries.get_mut(&query)?;
        open.may_have_run += 1;
        let until = now.saturating_add(timeout).min(open.end);
        self.attempts.insert(id, Out { server, query, sent: now, until });
        self.timeouts.insert((until, id));
        Some(Send {
            attempt: id,
            query: Rc::clone(&open.ask.id),
            call: CallId(query.0),
            shard: open.ask.parts[index].shard,
            wait: until.saturating_sub(now),
            text: Rc::clone(&open.ask.text),
        })
    }

    fn served(&mut self, query: QueryId, whole: bool) -> Option<Effect> {
        let open = self.queries.get_mut(&query)?;
        let values = std::mem::take(&mut open.values);
        let shards = open.ask.parts.iter().map(|part| part.shard);
        let values = shards.zip(values).filter_map(|(shard, value)| Some((shard, value?))).collect();
        self.finish(query, Answer::Served { whole, values })
    }

    fn finish(&mut self, query: QueryId, answer: Answer) -> Option<Effect> {
        self.close(query).map(|open| Effect::Reply(open.asker, answer))
    }

    fn close(&mut self, query: QueryId) -> Option<Open> {
        let open = self.queries.remove(&query)?;
        self.ids.remove(&open.ask.id);
        self.askers.remove(&open.asker);
        self.ends.remove(&(open.end, query));
        self.open_parts -= open.ask.parts.len();
        for i in 0..open.ask.parts.len() {
            let part = PartId(open.first_part + i as u128);
            self.parts.remove(&part);
            self.counts.remove(&part);
        }
        Some(open)
    }
}

/// A query that fails this close to its end failed for want of time.
const END_MARGIN: Micros = 20_000;
