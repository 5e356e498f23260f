//! Random events from fixed seeds: six invariants hold after each action, and the same events give the same
//! actions.
//!
//! 1. Each query gets exactly one final answer, in time, and nothing is sent for it afterwards.
//! 2. Nothing takes effect twice, and a non-idempotent query is rejected only if nothing of it was executed.
//! 3. Only ready backends are sent parts.
//! 4. A warming-up backend is not sent more than the router's quota of the work that it can handle.
//! 5. No answer is below its class's minimum completeness, and only complete answers are marked complete.
//! 6. Retries stay within the budget.

mod common;

use std::collections::BTreeMap;

use common::*;
use mallowgauge_router::*;

/// An attempt, as the checks see it.
struct ModelAttempt {
    sent_at: Micros,
    in_flight: bool,
    not_executed: bool,
}

struct ModelPart {
    query: u128,
    shard: u32,
    weight: f64,
    answered: bool,
    attempts: Vec<ModelAttempt>,
}

impl ModelPart {
    fn new(query: u128, shard: u32, weight: f64) -> Self {
        Self { query, shard, weight, answered: false, attempts: Vec::new() }
    }

    fn possibly_executed_at(&self) -> Option<Micros> {
        self.attempts.iter().filter(|attempt| !attempt.not_executed).map(|attempt| attempt.sent_at).min()
    }
}

struct ModelQuery {
    class: usize,
    ends_at: Micros,
    step: u32,
    parts: Vec<PartId>,
    first_complete: bool,
}

#[derive(Clone, Copy)]
struct ModelBackend {
    state: EndpointState,
    started_at: Option<Micros>,
}

/// The scheduled end of an attempt.
struct ScheduledEnd {
    at: Micros,
    part: PartId,
    attempt: u32,
    outcome: Outcome,
}

/// Injected fault of the backends; each lasts for some seconds.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Backend 2 answers with errors.
    Errors,
    /// Backend 2 does not answer.
    Unresponsive,
    /// All backends are slow, and some reject.
    Overload,
}

/// The router under test, with a model of its clients and backends.
struct Model {
    settings: Settings,
    driver: Driver,
    rng: fastrand::Rng,
    fault: Fault,
    next_query: u128,
    queries: BTreeMap<u128, ModelQuery>,
    parts: BTreeMap<PartId, ModelPart>,
    scheduled_ends: Vec<ScheduledEnd>,
    backends: BTreeMap<u32, ModelBackend>,
    sends_while_warming: BTreeMap<u32, Vec<Micros>>,
    arrivals: Vec<Micros>,
    retries: Vec<Micros>,
    answered: u32,
    partial: u32,
    rejected: u32,
    failed: u32,
    log: Vec<String>,
}

/// Classes of each kind: keyed, with partial answers, complete without all parts, with two steps,
/// non-idempotent.
fn random_settings(hedging: bool) -> Settings {
    let idempotent = class(Idempotency::Idempotent);
    let mut settings = settings(vec![
        class(Idempotency::Keyed { dedup_window: SECOND }),
        Class { minimum_completeness: 0.5, late_value: 0.0, ..idempotent.clone() },
        Class { required_completeness: 0.6, minimum_completeness: 0.6, ..idempotent.clone() },
        Class { second_step_parts: 2, ..idempotent },
        class(Idempotency::NonIdempotent),
    ]);
    settings.limits.hedging = hedging;
    let budget = RetryBudgetSettings { min_retries: 5.0, retry_ratio: 0.1, window: 5 * SECOND };
    settings.rules.retry_budget = Some(budget);
    settings
}

/// Runs three minutes of random events.
fn run_random_events(seed: u64, hedging: bool) -> Model {
    let settings = random_settings(hedging);
    let mut model = Model::new(settings, seed);
    for tick in 0..36_000_u64 {
        model.driver.now += 5 * MS;
        model.fault =
            [Fault::None, Fault::Errors, Fault::Unresponsive, Fault::Overload][(tick / 3_000) as usize % 4];
        let mut events = model.ended_attempts();
        if tick % 700 == 699 {
            events.push(model.endpoint_change());
        }
        if model.rng.f64() < 0.08 {
            events.extend(model.new_query());
        }
        if model.rng.f64() < 0.002 {
            if let Some(query) = model.disconnect_client() {
                events.insert(0, Event::ClientDisconnected(query));
            }
        }
        if !events.is_empty() || tick % 2 == 0 {
            model.handle(events);
        }
        model.check_no_query_is_lost();
    }
    model
}

impl Model {
    fn new(settings: Settings, seed: u64) -> Self {
        let ready = ModelBackend { state: EndpointState::Ready, started_at: None };
        Self {
            driver: Driver::ready(settings.clone()),
            settings,
            rng: fastrand::Rng::with_seed(seed),
            fault: Fault::None,
            next_query: 1,
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            scheduled_ends: Vec::new(),
            backends: (0..6).map(|id| (id, ready)).collect(),
            sends_while_warming: BTreeMap::new(),
            arrivals: Vec::new(),
            retries: Vec::new(),
            answered: 0,
            partial: 0,
            rejected: 0,
            failed: 0,
            log: Vec::new(),
        }
    }

    // ---- events ----

    fn ended_attempts(&mut self) -> Vec<Event> {
        let now = self.driver.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.scheduled_ends).into_iter().partition(|end| end.at <= now);
        self.scheduled_ends = later;
        let mut events = Vec::new();
        for ScheduledEnd { part, attempt, outcome, .. } in due {
            let model_part = self.parts.get_mut(&part).expect("an attempt of a known part");
            let ended = &mut model_part.attempts[attempt as usize];
            if !std::mem::replace(&mut ended.in_flight, false) {
                continue;
            }
            ended.not_executed = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed);
            model_part.answered |= outcome == Outcome::Succeeded;
            let latency = now - ended.sent_at;
            events.push(Event::AttemptCompleted { part, attempt, outcome, latency });
        }
        events
    }

    /// Makes a random backend drain, be removed, become ready, or restart.
    fn endpoint_change(&mut self) -> Event {
        let id = self.rng.u32(0..6);
        let (state, restarted_at) = match self.rng.u32(0..4) {
            0 => (EndpointState::Draining, None),
            1 => (EndpointState::Removed, None),
            2 => (EndpointState::Ready, None),
            _ => (EndpointState::Ready, Some(self.driver.now)),
        };
        let started_at = restarted_at.or(self.backends[&id].started_at);
        self.backends.insert(id, ModelBackend { state, started_at });
        Event::EndpointUpdate(EndpointUpdate::Delta(vec![endpoint(id, state, started_at)]))
    }

    fn new_query(&mut self) -> Vec<Event> {
        let class = self.rng.usize(0..5);
        let count = self.rng.usize(1..=5);
        let shards: Vec<u32> = (0..count).map(|_| self.rng.u32(0..12)).collect();
        let id = self.next_query;
        self.next_query += 1;
        let parts: Vec<_> = (0..count).map(|i| part_id(id, i)).collect();
        for (part, shard) in parts.iter().zip(&shards) {
            self.parts.insert(*part, ModelPart::new(id, *shard, 1.0 / count as f64));
        }
        self.arrivals.extend(std::iter::repeat_n(self.driver.now, count + 1));
        let ends_at = self.driver.now + 6 * SECOND;
        self.queries.insert(id, ModelQuery { class, ends_at, step: 1, parts, first_complete: false });
        arrival(id, class, &shards)
    }

    fn disconnect_client(&mut self) -> Option<QueryId> {
        let latest = self.driver.now + 6 * SECOND;
        let id = *self.queries.iter().find(|(_, query)| query.ends_at < latest)?.0;
        self.queries.remove(&id);
        Some(QueryId(id))
    }

    /// The parts of a query's second step.
    fn second_step(&mut self, query: QueryId, complete: bool) -> Vec<Event> {
        let open = self.queries.get_mut(&query.0).expect("an open query");
        let count = self.settings.classes[open.class].second_step_parts;
        let shard = self.parts[&open.parts[0]].shard;
        (open.step, open.first_complete) = (2, complete);
        open.parts = (0..count).map(|i| part_id(query.0, 500 + i as usize)).collect();
        let weight = 1.0 / f64::from(count);
        let mut events = Vec::new();
        for &part in &open.parts {
            self.parts.insert(part, ModelPart::new(query.0, shard, weight));
            self.arrivals.push(self.driver.now);
            let shard = ShardId(shard);
            events.push(Event::PartArrived(PartArrival { query, part, shard, weight, idempotent: false }));
        }
        events
    }

    // ---- actions ----

    /// Passes events to the router, checks each action, and passes on the events that follow from the
    /// actions.
    fn handle(&mut self, mut events: Vec<Event>) {
        loop {
            let actions = self.driver.handle(std::mem::take(&mut events));
            for action in actions {
                self.log.push(format!("{} {action:?}", self.driver.now));
                events.extend(self.check(&action));
            }
            if events.is_empty() {
                return;
            }
        }
    }

    /// Checks an action and returns the events that follow from it at once.
    fn check(&mut self, action: &Action) -> Vec<Event> {
        match *action {
            Action::Send { part, backend, timeout, begin_within } => {
                self.check_send(part, backend, timeout, begin_within);
                self.send(part, backend, timeout);
            }
            Action::Cancel { part, attempt } => {
                let attempts = self.parts[&part].attempts.len();
                assert!((attempt as usize) < attempts, "cancels an unknown attempt");
                let at = self.driver.now + 5 * MS;
                let outcome = Outcome::Cancelled;
                self.scheduled_ends.push(ScheduledEnd { at, part, attempt, outcome });
            }
            Action::Respond { query, complete } => return self.check_answer(query, complete),
            Action::Reject { query, .. } => self.check_rejection(query),
            Action::Fail { query } => {
                self.queries.remove(&query.0).expect("invariant 1: one final answer");
                self.failed += 1;
            }
            _ => {}
        }
        Vec::new()
    }

    fn check_send(&mut self, part: PartId, backend: BackendId, timeout: Micros, begin_within: Micros) {
        let (now, limits) = (self.driver.now, &self.settings.limits);
        let part = self.parts.get(&part).expect("a known part");
        let query = self.queries.get(&part.query).expect("invariant 1: no send after the end of its query");
        assert_eq!(self.backends[&backend.0].state, EndpointState::Ready, "invariant 3");
        assert!((backend.0 + 6 - part.shard % 6) % 6 < 2, "not a replica");
        let in_flight = part.attempts.iter().filter(|attempt| attempt.in_flight).count();
        assert!(in_flight == 0 || (limits.hedging && in_flight == 1), "invariant 2: parallel attempts");
        assert!(part.attempts.len() < limits.max_attempts as usize);
        match (self.settings.classes[query.class].idempotency, part.possibly_executed_at()) {
            (Idempotency::NonIdempotent, Some(_)) => panic!("invariant 2: a non-idempotent part is repeated"),
            (Idempotency::Keyed { dedup_window }, Some(first)) => {
                let last = first + dedup_window;
                assert!(now <= last, "invariant 2: keyed");
                assert!(now + begin_within <= last, "invariant 2: keyed, however late it begins");
            }
            _ => {}
        }
        assert!(begin_within <= timeout, "an attempt must not begin after its timeout");
        if !part.attempts.is_empty() {
            self.check_retry_budget();
        }
        self.check_slow_start(backend);
    }

    fn check_retry_budget(&mut self) {
        let now = self.driver.now;
        self.retries.push(now);
        let budget = self.settings.rules.retry_budget.as_ref().expect("a budget");
        let from = now - budget.window;
        let retries = self.retries.iter().filter(|&&at| at >= from).count() as f64;
        let arrivals = self.arrivals.iter().filter(|&&at| at > from).count() as f64;
        let allowed = budget.min_retries + budget.retry_ratio * arrivals;
        assert!(retries <= allowed, "invariant 6: {retries} of {arrivals}");
    }

    /// Checks invariant 4 for parts of 100 ms of work and backends with one core.
    fn check_slow_start(&mut self, backend: BackendId) {
        let (now, rules) = (self.driver.now, &self.settings.rules);
        let started_at = self.backends[&backend.0].started_at;
        let Some(started_at) = started_at.filter(|at| now < at + rules.warm_up_time) else { return };
        let sends = self.sends_while_warming.entry(backend.0).or_default();
        sends.push(now);
        let recent = sends.iter().filter(|&&at| at + rules.overload_window >= now && at >= started_at);
        let work = recent.count() as f64 * 100_000.0;
        let age = (now - started_at) as f64 / rules.warm_up_time as f64;
        let capacity = rules.initial_capacity + (1.0 - rules.initial_capacity) * age;
        let sustainable = rules.overload_multiple * capacity * rules.overload_window as f64;
        assert!(
            work <= sustainable / f64::from(self.settings.routers),
            "invariant 4: {work} of {sustainable}"
        );
    }

    /// Decides how an attempt that is sent now will end.
    fn send(&mut self, part: PartId, backend: BackendId, timeout: Micros) {
        let now = self.driver.now;
        let attempts = &mut self.parts.get_mut(&part).expect("a known part").attempts;
        let attempt = attempts.len() as u32;
        attempts.push(ModelAttempt { sent_at: now, in_flight: true, not_executed: false });
        let (after, outcome) = match self.fault {
            Fault::Errors if backend.0 == 2 => (3 * MS, Outcome::BackendError),
            Fault::Unresponsive if backend.0 == 2 => (timeout, Outcome::TimedOut),
            Fault::Overload if self.rng.f64() < 0.2 => (2 * MS, Outcome::Rejected),
            Fault::Overload => (self.rng.u64(300..4_000) * MS, Outcome::Succeeded),
            _ => (self.rng.u64(100..200) * MS, Outcome::Succeeded),
        };
        let (after, outcome) = if after >= timeout { (timeout, Outcome::TimedOut) } else { (after, outcome) };
        self.scheduled_ends.push(ScheduledEnd { at: now + after, part, attempt, outcome });
    }

    fn check_answer(&mut self, id: QueryId, complete: bool) -> Vec<Event> {
        let query = self.queries.get(&id.0).expect("invariant 1: one final answer");
        let class = &self.settings.classes[query.class];
        let answered = query.parts.iter().map(|part| &self.parts[part]).filter(|part| part.answered);
        let weight: f64 = answered.map(|part| part.weight).sum();
        assert!(weight >= class.minimum_completeness - 1e-4, "invariant 5: {weight} is under the minimum");
        let required = if query.step == 2 { 1.0 } else { class.required_completeness };
        assert!(!complete || weight >= required - 1e-4, "invariant 5: {weight} is not complete");
        let first_complete = query.step == 1 || query.first_complete;
        assert!(!complete || first_complete, "invariant 5: the first step was not complete");
        if query.step == 1 && class.second_step_parts > 0 {
            return self.second_step(id, complete);
        }
        self.queries.remove(&id.0);
        self.answered += 1;
        self.partial += u32::from(!complete);
        Vec::new()
    }

    fn check_rejection(&mut self, id: QueryId) {
        let query = self.queries.remove(&id.0).expect("invariant 1: one final answer");
        if self.settings.classes[query.class].idempotency == Idempotency::NonIdempotent {
            let possibly_executed =
                query.parts.iter().any(|part| self.parts[part].possibly_executed_at().is_some());
            assert!(!possibly_executed, "invariant 2: rejected though possibly executed");
        }
        self.rejected += 1;
    }

    fn check_no_query_is_lost(&self) {
        let now = self.driver.now;
        let lost = self.queries.iter().find(|(_, query)| query.ends_at + 20 * MS < now);
        assert!(lost.is_none(), "invariant 1: query {:?} was lost", lost.map(|(id, _)| id));
    }
}

#[test]
fn random_events_keep_the_six_invariants() {
    for (seed, hedging) in [(11, true), (12, true), (13, false), (14, false)] {
        let model = run_random_events(seed, hedging);
        // The run must have covered each kind of outcome.
        assert!(model.answered > 500 && model.partial > 0 && model.rejected > 0 && model.failed > 0);
        assert!(model.retries.len() > 20);
        assert!(!model.sends_while_warming.is_empty());
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let (one, two) = (run_random_events(21, true), run_random_events(21, true));
    assert!(one.log.len() > 5_000);
    assert_eq!(one.log, two.log);
    assert_ne!(one.log, run_random_events(22, true).log);
}
