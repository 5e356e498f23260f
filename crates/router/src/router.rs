//! Every decision of a router, with its state and its tuned values. Why
//! each exception exists is in `docs/design.md`. In order: values, state, events, list, admission,
//! sending, further attempts, health, answers, guards.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::events::{
    Action, BackendView, EndpointState, EndpointUpdate, Event, Outcome, PartArrival, QueryArrival,
};
use crate::ids::{BackendId, ClassId, Micros, PartId, QueryId, ShardId, ZoneId};
use crate::settings::{Class, Discovery, Idempotency, RetryBudgetSettings, Settings, SettingsError};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

const STEP_EVERY: Micros = 20 * MS; // The loop's period, from the design
const RATE_STEP: f64 = 0.003; // Move of a drop rate in one period
const RATE_MAX: f64 = 0.99; // From the design: some queries must still show whether the trouble is over
const TARGET: f64 = 0.85; // Share of recent queries that must meet the aim
const DECAY: f64 = 0.99; // Of the counters in one period: what was seen two seconds ago counts a third
const EVIDENCE: f64 = 0.3; // Counters below this say nothing; one miss in two seconds moves the loop

const RECENT_GAIN: f64 = 0.3; // Weight of one more answer in a server's recent latency
/// Recent latency fades to a third while this router comes by every server once, within these bounds.
const FADE_FIRST: f64 = 1_000_000.0;
const FADE_LAST: f64 = 4_000_000.0;
const DOOMED: f64 = 0.3; // A part expected to take more than this share of the aim is taken to miss it

/// An answer must leave this long before the aim or the end to count; covers the client's network.
const ANSWER_MARGIN: Micros = 15 * MS;
const LAST_SEND: Micros = 5 * MS; // No part is sent with less than this left before its query's end
const HOLD_RETRY: Micros = 50 * MS; // How soon a part that could not be sent anywhere is looked at again

const LOW_RISE: f64 = 0.02; // Gains of the low latency: it settles near the tenth lowest of a hundred
const LOW_FALL: f64 = 0.2;
const FIRST_GUESS: f64 = 0.15; // Until a class has answers, a part is taken to need this share of the aim

const SUSPECT: f64 = 0.5; // A server with more suspicion than this is passed over
const SOUND: f64 = 0.1; // With less suspicion than this, earlier failed trials are forgotten
const DOUBT_GRADES: f64 = 8.0; // Suspects of one grade of suspicion count as alike
/// Weight of a sign that leaves little doubt: an error, a dropped or an impossible connection.
/// In one turn a server gets one sign against it: a connection that breaks ends many parts, but once.
const SIGN_HARD: f64 = 0.6;
/// Weight of one that chance also gives: an overdue or timed-out part, a full queue, an answer.
const SIGN_SOFT: f64 = 0.35;
const SIGN_GOOD: f64 = 0.05; // Of an answer that is no trial's: one cut in eight outweighs the others
/// First wait before a suspect is tried with one part, as a share of the shortest aim ...
const TRIAL_FIRST: f64 = 0.5;
const TRIAL_ROUND: f64 = 0.5; // ... or of the time in which this router comes by every server once ...
const TRIAL_DOUBLINGS: u32 = 3; // ... which doubles with each trial, so many times
/// A part is overdue only beside the last answers: it waits over this multiple of their median ...
const OVERDUE: f64 = 3.0;
/// ... of so many: a few queries' worth, so that it follows a slowness that all share.
const PEERS: usize = 33;
const FRESH: usize = 3; // So many parts sent no earlier must have answered before one is overdue

const POISON: usize = 2; // A query with whose parts so many servers fell is not sent to another

/// Cap on further attempts where the settings state none: slow everywhere is no time for copies.
const OWN_BUDGET: RetryBudgetSettings =
    RetryBudgetSettings { min_retries: 4.0, retry_ratio: 0.1, window: 5 * SECOND };
/// Share of the budget that copies of overdue parts may use; the rest waits for failed attempts.
const COPY_SHARE: f64 = 0.5;

const COLD_USE: f64 = 0.8; // Share of our part of the cold budget that is used; the rest covers chance
const COLD_DRAWN: f64 = 0.75; // Of that, what is drawn for: chance is larger than where each keeps to its own
const COLD_ONE: f64 = 0.25; // Of all routers' share, what a busy one among many may use
const COLD_START: f64 = 0.5; // Of that, what a router uses that has just started

/// First and longest back-off before asking for the list again after a failure; jitter adds up to as much. A
/// call that fails and the next one's answer have to fit into the 6 s after which a change counts as told.
const BACK_OFF_FIRST: Micros = 700 * MS;
const BACK_OFF_LAST: Micros = 1_290 * MS;
const ROUNDING: f64 = 0.000_05; // Weights of parts may fall short of their sum by rounding

/// What is looked at when its time has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Task {
    Aim(QueryId),         // The aim of a query is about to pass
    End(QueryId),         // The time of a query is about to run out
    Overdue(PartId, u32), // An attempt may be overdue
    Resend(PartId),       // A part waits for a server
    Trial(BackendId),     // A suspect may be tried again
    Ask,                  // The list is to be asked for
}

#[derive(Debug, Default)]
struct Query {
    class: ClassId,
    arrived: Micros,
    aim: Micros,
    end: Micros,
    parts: Vec<PartId>,
    reserve: Vec<PartId>, // Parts held back: the answer can be whole without them
    second: bool,
    first_whole: bool, // Whether the first step's answer was whole
    admitted: bool,
    counted: bool, // Whether the loop has counted it
    planned: bool, // Others decide which parts it needs and when it is answered
}

#[derive(Debug, Default)]
struct Part {
    query: QueryId,
    class: ClassId,
    shard: ShardId,
    weight: f64,
    attempts: Vec<Attempt>,
    served: bool,   // Its answer is in
    over: bool,     // Its query has ended
    harmless: bool, // May be repeated whatever the class says
}

#[derive(Debug, Default)]
struct Attempt {
    server: BackendId,
    call: u64,
    sent: Micros,
    ended: Option<Outcome>, // How it ended; `None` while it is out
    overdue: bool,          // Known to be overdue
}

impl Attempt {
    fn is_out(&self) -> bool {
        self.ended.is_none()
    }

    /// Proved never to have run.
    fn never_ran(&self) -> bool {
        matches!(self.ended, Some(Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent))
    }
}

#[derive(Debug, Default)]
struct Server {
    cell: u32,
    zone: Option<ZoneId>,
    phase: EndpointState,
    started: Option<Micros>, // When it started, if it may still be cold
    /// Our calls out, oldest first, each with when it was sent and its parts out.
    calls: BTreeMap<u64, (Micros, u32)>,
    recent: f64, // Running mean of recent part latencies, and when it last moved
    recent_at: Micros,
    suspicion: f64,
    doubted: Micros, // When it became a suspect, and when a sign against it came last
    signed: Micros,
    on_trial: bool,                // Whether a suspect may take one part as a trial
    trials: u32,                   // How often the wait for one has doubled
    sent: VecDeque<(Micros, f64)>, // Work sent in the last fall window
}

impl Part {
    fn is_out(&self) -> bool {
        self.attempts.iter().any(Attempt::is_out)
    }
}

impl Server {
    fn is_suspect(&self) -> bool {
        self.suspicion > SUSPECT
    }

    fn parts_out(&self) -> u32 {
        self.calls.values().map(|(_, parts)| parts).sum()
    }

    /// Recent latency, fading while nothing is heard so that old trouble does not shut a server out.
    fn recent_now(&self, now: Micros, fade: f64) -> f64 {
        self.recent * (-(now.saturating_sub(self.recent_at) as f64) / fade).exp()
    }
}

#[derive(Debug, Default)]
struct Load {
    rate: f64,
    inside: f64,
    past: f64,
    patience: Micros, // The longest that a client gave its first try
    low: f64,         // A low running latency: about what a part takes where it does not queue
}

/// The decisions of one router. It sees only its own events. The default knows no class and refuses all.
#[derive(Debug, Default)]
pub struct Router {
    settings: Settings,
    rng: Option<fastrand::Rng>, // None only by default: the crate's own default reads the clock
    now: Micros,
    loads: Vec<Load>,
    last_step: Option<Micros>,
    began: Micros, // When the first events came
    queries: BTreeMap<QueryId, Query>,
    parts: BTreeMap<PartId, Part>,
    backends: BTreeMap<BackendId, Server>,
    cells: Vec<Vec<BackendId>>,          // The ready servers of each cell
    ready: f64,                          // How many they are, at least one
    answers: VecDeque<(Micros, Micros)>, // When the parts last answered were sent, and what they took
    agenda: BTreeSet<(Micros, Task)>,
    wake_at: Option<Micros>,
    arrived: Vec<QueryId>,
    to_send: Vec<PartId>,
    next_call: u64,
    taken: VecDeque<Micros>,
    begun: VecDeque<Micros>, // When the parts of queries arrived that no rate refused
    waiting: usize,          // Parts of earlier turns that were sent nowhere yet
    extra: VecDeque<Micros>,
    subscribed: bool,
    back_off: Micros,
    out: Vec<Action>,
}

impl Router {
    /// Makes a router that knows nothing yet.
    ///
    /// # Errors
    /// Settings that make no sense are rejected with the field's name.
    pub fn new(seed: u64, settings: Settings) -> Result<Self, SettingsError> {
        settings.validate()?;
        let guess =
            |class: &Class| Load { low: class.latency_objective as f64 * FIRST_GUESS, ..Load::default() };
        let loads = settings.classes.iter().map(guess).collect();
        let cells = vec![Vec::new(); settings.layout.ring_positions as usize];
        let rng = Some(fastrand::Rng::with_seed(seed));
        Ok(Self { settings, rng, loads, cells, back_off: BACK_OFF_FIRST, ..Self::default() })
    }

    // ---- events ----

    /// Takes what happened up to `now` and appends what to do about it to `actions`.
    pub fn handle(&mut self, now: Micros, events: Vec<Event>, actions: &mut Vec<Action>) {
        self.now = now;
        self.step_rates();
        let from = now.saturating_sub(self.budget().window);
        self.extra.retain(|&at| at >= from);
        self.taken.retain(|&at| at > from);
        self.begun.retain(|&at| at > from);
        for event in events {
            match event {
                Event::EndpointUpdate(news) => self.list(news),
                Event::QueryArrived(arrival) => self.arrive(&arrival),
                Event::PartArrived(part) => self.arrive_part(&part),
                Event::AttemptCompleted { part, attempt, outcome, took } => {
                    self.outcome(part, attempt, outcome, took);
                }
                Event::ClientDisconnected(query) => self.end_query(query),
                Event::PartCancelled(part) => self.drop_parts(&[part]),
                Event::QueryCompleted { query, answered } => {
                    let inside = answered && self.queries.get(&query).is_some_and(|q| now <= q.aim);
                    self.count(query, inside);
                    self.end_query(query);
                }
                Event::HealthCheckCompleted { backend: server, passed } => self.probed(server, passed),
                Event::TimerExpired => {}
            }
        }
        while let Some(&(at, task)) = self.agenda.first() {
            if at > now {
                break;
            }
            self.agenda.pop_first();
            match task {
                Task::Aim(query) => self.at_aim(query),
                Task::End(query) => self.at_end(query),
                Task::Overdue(part, attempt) => self.at_overdue(part, attempt),
                Task::Resend(part) => self.to_send.push(part),
                Task::Trial(server) => self.at_trial(server),
                Task::Ask => self.out.extend((!self.subscribed).then_some(Action::WatchEndpoints)),
            }
        }
        let unsent = |q: &Query| self.parts_of(q).filter(|p| p.attempts.is_empty()).count();
        let waits = |q: &Query| if q.admitted { unsent(q).saturating_sub(q.reserve.len()) } else { 0 };
        self.waiting = self.queries.values().map(waits).sum();
        self.admit();
        if !self.to_send.is_empty() {
            self.send_all();
        }
        self.set_wake();
        actions.append(&mut self.out);
    }

    fn set_wake(&mut self) {
        let Some(&(first, _)) = self.agenda.first() else { return };
        if self.wake_at.is_none_or(|at| at <= self.now || at > first) {
            self.wake_at = Some(first);
            self.out.push(Action::SetTimer(first.saturating_sub(self.now).max(1)));
        }
    }

    fn parts_of<'a>(&'a self, query: &'a Query) -> impl Iterator<Item = &'a Part> {
        query.parts.iter().filter_map(|id| self.parts.get(id))
    }

    fn class(&self, class: ClassId) -> &Class {
        &self.settings.classes[class.0]
    }

    // ---- the list ----

    fn list(&mut self, news: EndpointUpdate) {
        let (entries, whole, saved) = match news {
            EndpointUpdate::Failed => {
                self.subscribed = false;
                let wait = self.back_off + self.rng.as_mut().map_or(0, |rng| rng.u64(0..=self.back_off));
                self.back_off = (self.back_off * 2).min(BACK_OFF_LAST);
                self.agenda.insert((self.now + wait, Task::Ask));
                return;
            }
            EndpointUpdate::Delta(entries) => (entries, false, false),
            EndpointUpdate::Snapshot(entries) => (entries, true, false),
            EndpointUpdate::CachedSnapshot(entries) => (entries, true, true),
        };
        if whole {
            self.backends.values_mut().for_each(|server| server.phase = EndpointState::Removed);
        }
        for entry in entries {
            let server = self.backends.entry(entry.backend).or_default();
            server.phase = entry.state;
            if entry.state != EndpointState::Removed {
                (server.cell, server.zone) = (entry.ring_position, entry.zone);
            }
            if entry.started_at > server.started {
                // A new process: what was held against the old one is void.
                server.started = entry.started_at;
                server.suspicion = 0.0;
                server.trials = 0;
            }
        }
        // A server that is gone is forgotten, or a long day would fill the memory with those replaced.
        let (now, window) = (self.now, self.settings.rules.overload_window);
        self.backends.values_mut().for_each(|s| s.sent.retain(|(at, _)| at + window >= now));
        self.backends
            .retain(|_, s| s.phase != EndpointState::Removed || !s.calls.is_empty() || !s.sent.is_empty());
        self.cells.iter_mut().for_each(Vec::clear);
        for (id, server) in self.backends.iter().filter(|(_, s)| s.phase == EndpointState::Ready) {
            let cell = server.cell as usize % self.cells.len().max(1);
            self.cells.get_mut(cell).into_iter().for_each(|held| held.push(*id));
        }
        self.ready = self.cells.iter().map(Vec::len).sum::<usize>().max(1) as f64;
        if saved && self.settings.discovery == Discovery::Poll {
            self.agenda.insert((self.now, Task::Ask));
        } else {
            self.subscribed = true;
            self.back_off = BACK_OFF_FIRST;
        }
    }

    // ---- admission ----

    /// The design's loop, one step for each period that has passed.
    fn step_rates(&mut self) {
        if self.last_step.is_none() {
            self.began = self.now;
        }
        let last = *self.last_step.get_or_insert(self.now);
        let steps = (self.now.saturating_sub(last)) / STEP_EVERY;
        self.last_step = Some(last + steps * STEP_EVERY);
        for load in &mut self.loads {
            for _ in 0..steps {
                load.inside *= DECAY;
                load.past *= DECAY;
                let seen = load.inside + load.past;
                let share = if seen < EVIDENCE { 1.0 } else { load.inside / seen };
                let step = if share < TARGET { RATE_STEP } else { -RATE_STEP };
                load.rate = (load.rate + step).clamp(0.0, RATE_MAX);
            }
        }
    }

    fn arrive(&mut self, arrival: &QueryArrival) {
        let Some(class) = self.settings.classes.get(arrival.class.0) else {
            return self.refuse(arrival.query);
        };
        let stretch = class.objective_per_work * arrival.work_hint.unwrap_or(0) as f64;
        let aim = (class.latency_objective + stretch as Micros).min(class.deadline);
        let end = self.now.saturating_add(arrival.expires_in);
        let load = &mut self.loads[arrival.class.0];
        // A further try's aim runs from the first one, as its client sees it. It comes with all that is
        // left of the class's time, unless that is more than clients give a try.
        let cut = arrival.retry && load.patience > arrival.expires_in;
        let gone = if cut { class.deadline.saturating_sub(arrival.expires_in) } else { 0 };
        load.patience = load.patience.max(if arrival.retry { 0 } else { arrival.expires_in });
        // One that comes with under half its time says nothing of load when it misses.
        let counted = aim.saturating_sub(gone).min(arrival.expires_in) < aim / 2;
        let (class, aim, planned) = (arrival.class, self.now + aim.saturating_sub(gone), arrival.planned);
        let query = Query { class, arrived: self.now, aim, end, counted, planned, ..Query::default() };
        self.queries.insert(arrival.query, query);
        self.taken.push_back(self.now);
        self.arrived.push(arrival.query);
    }

    fn arrive_part(&mut self, arrival: &PartArrival) {
        self.taken.push_back(self.now);
        let Some(query) = self.queries.get_mut(&arrival.query) else { return };
        query.parts.push(arrival.part);
        if query.admitted {
            self.to_send.push(arrival.part);
        }
        let (class, shard, weight, harmless) =
            (query.class, arrival.shard, arrival.weight, arrival.idempotent);
        let part = Part { query: arrival.query, class, shard, weight, harmless, ..Part::default() };
        self.parts.insert(arrival.part, part);
    }

    /// Refuses at random before any part is sent; takes the rest, with all parts unless spare ones wait.
    fn admit(&mut self) {
        for id in std::mem::take(&mut self.arrived) {
            let Some(query) = self.queries.get(&id) else { continue };
            let rate = self.loads[query.class.0].rate;
            // Past its aim on arrival it earns nothing, or too little while others are refused.
            let past = query.aim <= self.now && (rate > 0.0 || self.class(query.class).late_value == 0.0);
            let mut shed = || rate > 0.0 && self.rng.as_mut().is_some_and(|rng| rng.f64() < rate);
            let shed = past || shed();
            if !shed {
                // Before it is asked whether they find room: those that find none have to count too.
                self.begun.extend(query.parts.iter().map(|_| self.now));
            }
            if shed || (!query.planned && self.is_doomed(query)) {
                self.refuse(id);
                continue;
            }
            let (need, mut parts) = (self.class(query.class).required_completeness, query.parts.clone());
            let mut enough = parts.len();
            if need < 1.0 && !query.planned {
                // Parts that a whole answer can do without, but for one to spare, are work that nobody
                // needs, most of all at the slowest shards. They wait until another is late or lost.
                let doubt = |part: &Part| {
                    let suspect = self.holders(part.shard).all(|(_, server)| server.is_suspect());
                    (suspect, self.best_wait(part).map(|wait| wait as u64))
                };
                parts.sort_by_cached_key(|id| self.parts.get(id).map(doubt));
                let mut weight = 0.0;
                let weights = parts.iter().map(|id| self.parts.get(id).map_or(0.0, |part| part.weight));
                let needed = weights.take_while(|w| (weight < need - ROUNDING, weight += w).0).count();
                enough = enough.min(needed + 1);
            }
            let Some(query) = self.queries.get_mut(&id) else { continue };
            query.admitted = true;
            query.reserve = parts.split_off(enough);
            self.to_send.extend(parts);
            let before = |at: Micros| at.saturating_sub(ANSWER_MARGIN).max(self.now);
            let (aim, end) = (before(query.aim), before(query.end));
            if aim < end {
                self.agenda.insert((aim, Task::Aim(id)));
            }
            self.agenda.insert((end, Task::End(id)));
        }
    }

    /// Whether so many parts have no replica that answers in time that the aim is lost before the start.
    /// The loop would learn of it a whole aim later. Covers a shard without a sound replica too. Could
    /// harm when one slow answer colours all replicas of a shard; the estimate fades within seconds.
    fn is_doomed(&self, query: &Query) -> bool {
        let limit = DOOMED * (query.aim.min(query.end) - query.arrived) as f64;
        let lost = |part: &&Part| self.best_wait(part).is_some_and(|wait| wait > limit);
        let lost: f64 = self.parts_of(query).filter(lost).map(|p| p.weight).sum();
        lost > 1.0 - self.class(query.class).minimum_completeness + ROUNDING
    }

    /// The shortest wait to expect at any holder, as recent ones after the oldest call out; none ends
    /// where the rules leave no room.
    fn best_wait(&self, part: &Part) -> Option<f64> {
        let fade = self.fade();
        let wait = |(_, server): (BackendId, &Server)| {
            let oldest = server.calls.values().next().map_or(0, |(sent, _)| self.now - sent);
            let wait = server.recent_now(self.now, fade) + oldest as f64;
            wait.max(if self.cold_room(server, part, false) { 0.0 } else { f64::INFINITY })
        };
        self.holders(part.shard).map(wait).min_by(f64::total_cmp)
    }

    fn release(&mut self, id: QueryId) {
        self.to_send.extend(self.queries.get_mut(&id).and_then(|query| query.reserve.pop()));
    }

    fn refuse(&mut self, id: QueryId) {
        let retry_after = self.retry_after();
        self.out.push(Action::Reject { query: id, retry_after });
        self.end_query(id);
    }

    /// When a refused client may come back: spread, or those that heed it would come back together.
    pub fn retry_after(&mut self) -> Micros {
        self.rng.as_mut().map_or(0, |rng| rng.u64(0..=self.settings.limits.max_retry_after))
    }

    // ---- replica and sending ----

    fn send_all(&mut self) {
        let (mut open, overdue) = (BTreeMap::new(), self.now + self.overdue_after());
        for id in std::mem::take(&mut self.to_send) {
            let Some(part) = self.parts.get(&id).filter(|p| !p.over && !p.served) else { continue };
            let Some(query) = self.queries.get(&part.query) else { continue };
            if self.now + LAST_SEND >= query.end {
                continue;
            }
            let (first, out) = (part.attempts.is_empty(), part.is_out());
            if !first && !self.may_repeat(part, false) {
                match (out, query.planned, part.query) {
                    (true, ..) => {}
                    (_, true, _) => self.out.push(Action::PartFailed { part: id }),
                    (.., query) => self.lost_part(query),
                }
                continue;
            }
            let free = !self.is_extra(part) || self.budget_left(1.0);
            match free.then(|| self.choose(part, &open)).flatten() {
                Some(server) => self.send(id, server, overdue, &mut open),
                None if out => {}
                None => _ = self.agenda.insert((self.now + HOLD_RETRY, Task::Resend(id))),
            }
        }
    }

    /// The design's replica rule, among the servers that health and the rules leave.
    fn choose(&self, part: &Part, open: &BTreeMap<BackendId, (u64, u32)>) -> Option<BackendId> {
        let layout = &self.settings.layout;
        let hash = mix(part.query, part.shard);
        let rank = |(id, server): &(BackendId, &Server)| {
            let tried = part.attempts.iter().any(|a| a.server == *id);
            // Among suspects the least doubtful: the rule alone would feed the one that fails fastest.
            let suspect = server.is_suspect() && !server.on_trial;
            let doubt = if suspect { (server.suspicion * DOUBT_GRADES) as u32 } else { 0 };
            // Calls are counted without the one that this turn opens, so that parts of one query tie.
            let this_turn = usize::from(open.contains_key(id));
            let by_call = layout.parts_per_call > 1;
            let out = if by_call { server.calls.len() - this_turn } else { server.parts_out() as usize };
            // Ties go to the own zone where crossing is paid for, but one call a server and turn, or a
            // query's neighbouring parts would all meet in the third of the servers that are near.
            let far = self.settings.cross_zone_costs && (this_turn > 0 || server.zone != self.settings.zone);
            // Ties go by hash, to cold servers as often as what they can do stands to the others.
            let tie = -(-unit(mix2(hash, id.0))).ln_1p() / self.warmth(server, self.now);
            (doubt, tried, out, far, tie.to_bits())
        };
        self.holders(part.shard)
            .filter(|(id, server)| {
                !part.attempts.iter().any(|a| a.is_out() && a.server == *id)
                    && self.cold_room(server, part, open.contains_key(id))
            })
            .min_by_key(rank)
            .map(|(id, _)| id)
    }

    /// The ready servers that hold a shard.
    fn holders(&self, shard: ShardId) -> impl Iterator<Item = (BackendId, &Server)> {
        let reach = (self.settings.layout.replication_factor as usize).min(self.cells.len());
        (0..reach)
            .flat_map(move |j| &self.cells[(shard.0 as usize + j) % self.cells.len()])
            .filter_map(|id| Some((*id, self.backends.get(id)?)))
    }

    fn send(
        &mut self,
        id: PartId,
        to: BackendId,
        overdue: Micros,
        open: &mut BTreeMap<BackendId, (u64, u32)>,
    ) {
        let shared = open.get(&to).is_some_and(|(_, parts)| *parts < self.settings.layout.parts_per_call);
        let work = self.parts.get(&id).map_or(0.0, |part| self.work(part.class, shared));
        if !shared {
            self.next_call += 1;
            open.insert(to, (self.next_call, 0));
        }
        let Some((call, in_call)) = open.get_mut(&to) else { return };
        *in_call += 1;
        let call = *call;
        let extra = self.parts.get(&id).is_some_and(|part| self.is_extra(part));
        let begin_by = self.parts.get(&id).map_or(0, |part| self.repeat_by(part));
        let (Some(part), Some(server)) = (self.parts.get_mut(&id), self.backends.get_mut(&to)) else {
            return;
        };
        let Some(query) = self.queries.get(&part.query) else { return };
        let class = &self.settings.classes[query.class.0];
        server.sent.retain(|(at, _)| *at + self.settings.rules.overload_window >= self.now);
        server.sent.push_back((self.now, work));
        server.calls.entry(call).or_insert((self.now, 0)).1 += 1;
        let trial = std::mem::take(&mut server.on_trial) && server.is_suspect();
        if extra {
            self.extra.push_back(self.now);
        }
        let number = part.attempts.len() as u32;
        part.attempts.push(Attempt { server: to, call, sent: self.now, ..Attempt::default() });
        // Work that can no longer earn anything should not be begun.
        let useful_end = if class.late_value > 0.0 { query.end } else { query.aim.min(query.end) };
        let timeout = useful_end.saturating_sub(self.now).max(1);
        let begin_within = timeout.min(begin_by.saturating_sub(self.now));
        self.out.push(Action::Send { part: id, backend: to, timeout, begin_within });
        self.agenda.insert((overdue, Task::Overdue(id, number)));
        if trial {
            self.next_trial(to);
        }
    }

    // ---- further attempts ----

    fn outcome(&mut self, id: PartId, number: u32, outcome: Outcome, took: Micros) {
        let Some(part) = self.parts.get_mut(&id) else { return };
        let Some(attempt) = part.attempts.get_mut(number as usize) else { return };
        if !attempt.is_out() {
            return;
        }
        attempt.ended = Some(outcome);
        let (server, call, sent, overdue) = (attempt.server, attempt.call, attempt.sent, attempt.overdue);
        let (class, query, over, harmless) = (part.class, part.query, part.over, part.harmless);
        let useful = outcome == Outcome::Succeeded && !part.served && !over;
        part.served |= useful;
        let waits = !over && !part.served && !part.is_out();
        if over && !part.is_out() {
            self.parts.remove(&id);
        }
        let fade = self.fade();
        if let Some(server) = self.backends.get_mut(&server) {
            if matches!(outcome, Outcome::Succeeded | Outcome::Rejected) {
                let (faded, aim) =
                    (server.recent_now(self.now, fade), self.settings.classes[class.0].latency_objective);
                let served = faded + RECENT_GAIN * (took as f64 - faded);
                // A full queue is a wait beyond the aim.
                server.recent = if outcome == Outcome::Succeeded { served } else { faded.max(aim as f64) };
                server.recent_at = self.now;
            }
            if let Some((_, parts)) = server.calls.get_mut(&call) {
                *parts -= 1;
                if *parts == 0 {
                    server.calls.remove(&call);
                }
            }
        }
        match outcome {
            Outcome::Succeeded => {
                // Scouts are quicker than what they scout for, which would look overdue beside them.
                if !harmless {
                    self.answers.push_back((self.now.saturating_sub(took), took));
                    self.answers.drain(..self.answers.len().saturating_sub(PEERS));
                    let load = &mut self.loads[class.0];
                    let above = took as f64 - load.low;
                    load.low += above * if above > 0.0 { LOW_RISE } else { LOW_FALL };
                }
                if !overdue {
                    let trial =
                        self.backends.get(&server).is_some_and(|s| s.is_suspect() && sent > s.doubted);
                    self.sign(server, 0.0, if trial { SIGN_SOFT } else { SIGN_GOOD });
                }
            }
            Outcome::BackendError | Outcome::ConnectFailed => self.sign(server, 1.0, SIGN_HARD),
            Outcome::ConnectionLost | Outcome::Rejected => self.sign(server, 1.0, SIGN_SOFT),
            Outcome::TimedOut if !overdue => self.sign(server, 1.0, SIGN_SOFT),
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => {}
        }
        if outcome == Outcome::ConnectionLost && waits && self.is_poison(query) {
            self.give_up(query);
        } else if useful {
            self.cancel_rest(id);
            self.settle(query);
        } else if waits {
            self.release(query);
            self.to_send.push(id);
        }
    }

    /// An attempt has been out for long: the server is doubted and a second try considered.
    fn at_overdue(&mut self, id: PartId, number: u32) {
        let Some(part) = self.parts.get(&id) else { return };
        let Some(attempt) = part.attempts.get(number as usize).filter(|a| a.is_out()) else { return };
        let (server, sent, query) = (attempt.server, attempt.sent, part.query);
        // Once it has been out for twice as long, it is looked at again.
        let again = (self.now + (self.now - sent).max(STEP_EVERY), Task::Overdue(id, number));
        let peers =
            self.answers.iter().filter(|(peer, _)| *peer + self.settings.batch_interval >= sent).count();
        if peers < FRESH || self.now - sent < self.overdue_after() {
            // All are slow now; one that is stuck will stand out once the others answer.
            self.agenda.insert(again);
            return;
        }
        // A server that still answers, if slowly, does the work in any case: moving it does it twice.
        let silent = self.backends.get(&server).is_some_and(|s| s.recent_at < sent);
        let suspect = self.is_suspect(server);
        self.sign(server, 1.0, if silent { SIGN_HARD } else { SIGN_SOFT });
        self.release(query);
        let Some(part) = self.parts.get_mut(&id) else { return };
        part.attempts[number as usize].overdue = true;
        let copies = part.attempts.iter().filter(|a| a.is_out()).count();
        let Some(part) = self.parts.get(&id).filter(|p| !p.over && !p.served) else { return };
        // While the class sheds there is no capacity to do work twice.
        let busy = copies > 1 || self.loads[part.class.0].rate > 0.0;
        if busy || !self.budget_left(COPY_SHARE) || !self.may_repeat(part, true) {
            return;
        }
        if self.settings.limits.hedging {
            self.to_send.push(id);
        } else if suspect && silent && self.settings.limits.cancellation {
            // Never two at once: called off here, sent elsewhere once that is confirmed.
            self.out.push(Action::Cancel { part: id, attempt: number });
        } else {
            self.agenda.insert(again);
        }
    }

    /// Whether a query seems to bring down the servers that take it: two fell with it and none answered.
    /// Could harm a sound query whose servers died of something else first; its client comes back.
    fn is_poison(&self, id: QueryId) -> bool {
        let Some(query) = self.queries.get(&id) else { return false };
        let fell = self
            .parts_of(query)
            .flat_map(|p| &p.attempts)
            .filter(|a| a.ended == Some(Outcome::ConnectionLost));
        fell.map(|a| a.server).collect::<BTreeSet<_>>().len() >= POISON && self.weight_in(query) == 0.0
    }

    fn cancel_rest(&mut self, id: PartId) {
        let Some(part) = self.parts.get(&id).filter(|_| self.settings.limits.cancellation) else { return };
        let out = part.attempts.iter().enumerate().filter(|(_, attempt)| attempt.is_out());
        self.out.extend(out.map(|(number, _)| Action::Cancel { part: id, attempt: number as u32 }));
    }

    // ---- health ----

    /// Moves the suspicion of a server towards what a sign says: 0 sound, 1 sick.
    fn sign(&mut self, id: BackendId, says: f64, weight: f64) {
        let first = self.first_trial();
        let Some(server) = self.backends.get_mut(&id) else { return };
        if says > 0.0 && std::mem::replace(&mut server.signed, self.now) == self.now {
            return;
        }
        let before = server.is_suspect();
        server.suspicion += weight * (says - server.suspicion);
        let after = server.is_suspect();
        if after && !before {
            (server.on_trial, server.doubted) = (false, self.now);
            self.agenda.insert((self.now + (first << server.trials), Task::Trial(id)));
            self.out.push(Action::Log(format!("server {} suspect", id.0)));
        } else if before && !after {
            self.out.push(Action::Log(format!("server {} sound again", id.0)));
        }
        if server.suspicion < SOUND {
            server.trials = 0;
        }
    }

    /// The first wait before a trial, in the time of this site: what is slow here may be long elsewhere.
    /// Not long before this router would come by the server again in any case: with hundreds of routers
    /// one trial of each is all the traffic that a sound server gets.
    fn first_trial(&self) -> Micros {
        let aim = self.settings.classes.iter().map(|class| class.latency_objective).min().unwrap_or(SECOND);
        (aim as f64 * TRIAL_FIRST).max((TRIAL_ROUND * self.round()).min(FADE_LAST)) as Micros
    }

    /// The way back: a probe where probes are allowed, and when it passes one part as a trial.
    fn at_trial(&mut self, id: BackendId) {
        let Some(server) = self.backends.get_mut(&id) else { return };
        if server.is_suspect() && server.phase != EndpointState::Removed {
            server.on_trial = !self.settings.limits.health_checks;
            self.out.extend(self.settings.limits.health_checks.then_some(Action::HealthCheck(id)));
        }
    }

    fn probed(&mut self, id: BackendId, passed: bool) {
        let Some(server) = self.backends.get_mut(&id).filter(|s| s.is_suspect()) else { return };
        server.on_trial = passed;
        if !passed {
            self.next_trial(id);
        }
    }

    fn next_trial(&mut self, id: BackendId) {
        let first = self.first_trial();
        let Some(server) = self.backends.get_mut(&id) else { return };
        server.trials = (server.trials + 1).min(TRIAL_DOUBLINGS);
        self.agenda.insert((self.now + (first << server.trials), Task::Trial(id)));
    }

    /// How long this router needs to come by every server once.
    fn round(&self) -> f64 {
        self.budget().window as f64 * self.ready / self.taken.len().max(1) as f64
    }

    /// How long news of a server is kept, at the traffic of this router.
    fn fade(&self) -> f64 {
        self.round().clamp(FADE_FIRST, FADE_LAST)
    }

    fn is_suspect(&self, id: BackendId) -> bool {
        self.backends.get(&id).is_some_and(Server::is_suspect)
    }

    /// When a part waits long beside the last answers of any server, however long ago each server was
    /// met; where all are slow, neither doubt nor copies help. Never so short that chance explains it
    /// and the aim is in no danger.
    fn overdue_after(&self) -> Micros {
        let guess =
            self.settings.classes.iter().map(|class| class.latency_objective as f64 * FIRST_GUESS).next();
        let mut waits: Vec<Micros> = self.answers.iter().map(|(_, took)| *took).collect();
        waits.sort_unstable();
        let median = waits.get(waits.len() / 2).map(|&wait| wait as f64);
        (OVERDUE * median.or(guess).unwrap_or_default()).max(guess.unwrap_or_default()) as Micros
    }

    /// No overload: all that is missing waits at suspects, stands out, or waits for one it may go to.
    fn excused(&self, query: &Query) -> bool {
        let full = |a: &Attempt| a.ended == Some(Outcome::Rejected);
        let waits = |p: &Part| !p.is_out() && !p.attempts.iter().any(full);
        let mut missing = self.parts_of(query).filter(|p| !p.served).peekable();
        missing.peek().is_some()
            && missing.all(|p| {
                waits(p) || p.attempts.iter().any(|a| a.is_out() && (a.overdue || self.is_suspect(a.server)))
            })
    }

    // ---- answers ----

    fn weight_in(&self, query: &Query) -> f64 {
        self.parts_of(query).filter(|p| p.served).map(|p| p.weight).sum()
    }

    fn is_whole(&self, query: &Query) -> bool {
        if query.second {
            return query.parts.iter().all(|p| self.parts.get(p).is_some_and(|p| p.served));
        }
        self.weight_in(query) >= self.class(query.class).required_completeness - ROUNDING
    }

    /// Whether an answer that is not whole may be given now.
    fn has_floor(&self, query: &Query) -> bool {
        let class = self.class(query.class);
        !query.planned
            && class.minimum_completeness < class.required_completeness
            && self.weight_in(query) >= class.minimum_completeness - ROUNDING
            && !query.parts.is_empty()
    }

    fn settle(&mut self, id: QueryId) {
        let Some(query) = self.queries.get(&id) else { return };
        if query.admitted && !query.planned && !query.parts.is_empty() && self.is_whole(query) {
            self.answer(id, !query.second || query.first_whole);
        }
    }

    fn answer(&mut self, id: QueryId, whole: bool) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        self.out.push(Action::Respond { query: id, complete: whole });
        if self.settings.classes[query.class.0].second_step_parts > 0 && !query.second {
            (query.second, query.first_whole) = (true, whole);
            let parts = std::mem::take(&mut query.parts);
            self.drop_parts(&parts);
            return;
        }
        let inside = self.now <= query.aim;
        self.count(id, inside);
        self.end_query(id);
    }

    fn count(&mut self, id: QueryId, inside: bool) {
        let Some(query) = self.queries.get(&id).filter(|query| !query.counted) else { return };
        let excused = self.excused(query);
        let Some(query) = self.queries.get_mut(&id) else { return };
        query.counted = true;
        let load = &mut self.loads[query.class.0];
        if inside {
            load.inside += 1.0;
        } else if !excused {
            load.past += 1.0;
        }
    }

    /// The aim is about to pass: what is in is given if waiting earns less.
    fn at_aim(&mut self, id: QueryId) {
        let Some(query) = self.queries.get(&id) else { return };
        let class = self.class(query.class);
        let share = self.weight_in(query) / class.required_completeness.max(ROUNDING);
        if self.has_floor(query) && class.partial_value * share > class.late_value {
            self.answer(id, false);
            return;
        }
        let worthless = class.late_value == 0.0 && !query.planned;
        self.count(id, false);
        if worthless {
            self.give_up(id);
        }
    }

    fn at_end(&mut self, id: QueryId) {
        let Some(query) = self.queries.get(&id) else { return };
        if self.has_floor(query) && (query.second || self.class(query.class).second_step_parts == 0) {
            self.answer(id, false);
        } else {
            self.count(id, false);
            self.give_up(id);
        }
    }

    /// A part can never come in: unless an answer can do without it, waiting is of no use.
    fn lost_part(&mut self, id: QueryId) {
        let Some(query) = self.queries.get(&id) else { return };
        let alive = |p: &&Part| p.served || p.is_out() || self.may_repeat(p, false);
        let hope: f64 = self.parts_of(query).filter(alive).map(|p| p.weight).sum();
        let class = self.class(query.class);
        let least = if query.second { 1.0 } else { class.minimum_completeness };
        if hope < least - ROUNDING {
            self.give_up(id);
        }
    }

    /// A refusal where that promise holds.
    fn give_up(&mut self, id: QueryId) {
        let Some(query) = self.queries.get(&id) else { return };
        let never_ran = |part: &Part| part.harmless || part.attempts.iter().all(Attempt::never_ran);
        let harmless = self.class(query.class).idempotency != Idempotency::NonIdempotent
            || self.parts_of(query).all(never_ran);
        if harmless && !query.second {
            self.refuse(id);
        } else {
            self.out.push(Action::Fail { query: id });
            self.end_query(id);
        }
    }

    fn end_query(&mut self, id: QueryId) {
        let Some(query) = self.queries.remove(&id) else { return };
        self.drop_parts(&query.parts);
    }

    fn drop_parts(&mut self, parts: &[PartId]) {
        for id in parts {
            self.cancel_rest(*id);
            let Some(part) = self.parts.get_mut(id) else { continue };
            part.over = true;
            if !part.is_out() {
                self.parts.remove(id);
            }
        }
    }

    // ---- rule guards ----

    /// Whether a further attempt would be harmless and allowed. `asked_off`: the one out is called off.
    fn may_repeat(&self, part: &Part, asked_off: bool) -> bool {
        let limits = &self.settings.limits;
        let one_out = part.is_out() && !limits.hedging && !asked_off;
        if one_out || part.attempts.len() >= limits.max_attempts as usize {
            return false;
        }
        self.now < self.repeat_by(part)
    }

    /// Until when one more attempt may begin without a second effect.
    fn repeat_by(&self, part: &Part) -> Micros {
        let first_risk = part.attempts.iter().filter(|a| !a.never_ran()).map(|a| a.sent).min();
        match (self.class(part.class).idempotency, first_risk) {
            (Idempotency::Keyed(window), Some(first)) if !part.harmless => first + window,
            (Idempotency::NonIdempotent, Some(_)) if !part.harmless => 0,
            _ => Micros::MAX,
        }
    }

    /// Whether one more attempt draws on the budget. On our own one, not where a part was only turned away
    /// and its class sheds nothing: no work is done twice, and a wide query needs each of its parts.
    fn is_extra(&self, part: &Part) -> bool {
        let turned_away =
            part.attempts.iter().all(Attempt::never_ran) && self.loads[part.class.0].rate == 0.0;
        !(part.attempts.is_empty() || turned_away && self.settings.rules.retry_budget.is_none())
    }

    fn budget(&self) -> &RetryBudgetSettings {
        self.settings.rules.retry_budget.as_ref().unwrap_or(&OWN_BUDGET)
    }

    /// Whether one more attempt beyond a first fits into this share of the budget.
    fn budget_left(&self, share: f64) -> bool {
        let budget = self.budget();
        let (made, taken) = (self.extra.len() as f64, self.taken.len() as f64);
        made + 1.0 <= share * (budget.min_retries + budget.retry_ratio * taken)
    }

    /// The share of its capacity that a server has on the slowest ramp that the rules allow.
    fn warmth(&self, server: &Server, at: Micros) -> f64 {
        let (rules, Some(started)) = (&self.settings.rules, server.started) else { return 1.0 };
        let age = at.saturating_sub(started) as f64 / rules.warm_up_time.max(1) as f64;
        (rules.initial_capacity + (1.0 - rules.initial_capacity) * age).clamp(0.01, 1.0)
    }

    /// Whether a server that may be cold can take one more part from this router.
    /// Many routers' shares are less than a part each: then parts go by a draw, so that all together send
    /// what the budget holds however uneven their traffic is. It is one draw for a whole query: where all
    /// are cold, one whose parts were drawn for apart would hardly ever find room for all. Covers a lost
    /// zone's return. Could harm by chance: the share not used leaves room for that.
    fn cold_room(&self, server: &Server, part: &Part, in_call: bool) -> bool {
        let rules = &self.settings.rules;
        // As it stood at the start of the window; one core of warm speed assumed.
        let warmth = self.warmth(server, self.now.saturating_sub(rules.overload_window));
        if warmth >= 1.0 {
            return true;
        }
        let room = COLD_USE * rules.overload_multiple * warmth * rules.overload_window as f64;
        let recent = server.sent.iter().filter(|(at, _)| *at + rules.overload_window >= self.now);
        let sent: f64 = recent.map(|(_, work)| work).sum();
        let (work, ours) = (self.work(part.class, in_call), room / f64::from(self.settings.routers));
        if self.work(part.class, false) <= ours || (sent > 0.0 && sent + work > COLD_ONE * room) {
            return sent + work <= ours;
        }
        // Parts of ours in one window that would go to this server, at the pace of the last seconds: the
        // last window alone holds one query or none where traffic is thin.
        let span = (self.now - self.began).max(rules.overload_window).min(self.budget().window).max(1);
        let met = (self.begun.len() as f64 * rules.overload_window as f64 / span as f64).max(1.0);
        // Those that wait come beside them: all that a lost zone has left waiting would go in one window.
        let crowd = 1.0 + self.waiting as f64 / met;
        let (mut holders, mut warm) = (0.0, 0.0);
        for (_, holder) in self.holders(part.shard) {
            (holders, warm) = (holders + 1.0, warm + self.warmth(holder, self.now));
        }
        let picked = met * holders / self.ready * self.warmth(server, self.now) / warm;
        // Caution while the own pace is not known yet: a herd of routers may have started together.
        let known = (self.now - self.began) as f64 / rules.overload_window.max(1) as f64;
        let drawn = unit(mix(part.query, ShardId(u32::MAX))) * crowd / COLD_DRAWN;
        drawn < warm / holders || drawn * work * picked < ours * known.clamp(COLD_START, 1.0)
    }

    /// Work that one more part is counted as, with that of its call where it opens one.
    fn work(&self, class: ClassId, in_call: bool) -> f64 {
        let call = if in_call { 0.0 } else { self.settings.layout.call_work as f64 };
        self.loads[class.0].low + call
    }

    // ---- reading ----

    /// The present drop rate of a class, if there is such a class.
    pub fn drop_rate(&self, class: ClassId) -> Option<f64> {
        self.loads.get(class.0).map(|load| load.rate)
    }

    /// How much is kept, for tests that count whether all of it comes back to its base.
    pub fn resource_counts(&self) -> [usize; 8] {
        let sum = |of: fn(&Server) -> usize| self.backends.values().map(of).sum::<usize>();
        let (calls, sent) = (sum(|server| server.calls.len()), sum(|server| server.sent.len()));
        let windows = self.taken.len() + self.begun.len() + self.extra.len();
        let (queries, parts, servers) = (self.queries.len(), self.parts.len(), self.backends.len());
        [queries, parts, servers, calls, sent, self.answers.len(), self.agenda.len(), windows]
    }

    /// What this router makes of each server that it knows.
    pub fn servers(&self) -> impl Iterator<Item = BackendView> + '_ {
        self.backends.iter().map(|(id, server)| BackendView {
            backend: *id,
            state: server.phase,
            ejected: server.is_suspect(),
            warming_up: server.started.is_some_and(|at| self.now < at + self.settings.rules.warm_up_time),
            parts_in_flight: server.parts_out(),
        })
    }
}

/// A hash as a number from 0 to below 1.
fn unit(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// A hash of query and shard that is the same on every build.
fn mix(query: QueryId, shard: ShardId) -> u64 {
    mix2((query.0 >> 64) as u64 ^ mix2(query.0 as u64, shard.0), shard.0)
}

fn mix2(hash: u64, more: u32) -> u64 {
    let mut x = hash ^ u64::from(more).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
