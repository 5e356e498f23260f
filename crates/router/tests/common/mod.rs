//! Test settings, and a driver that feeds events to a router and tracks its attempts.
#![allow(dead_code)]

use std::collections::BTreeMap;

use mallowgauge_router::*;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

pub fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_objective: 2 * SECOND,
        objective_per_work: 0.0,
        deadline: 6 * SECOND,
        late_value: 0.1,
        idempotency,
        minimum_completeness: 1.0,
        required_completeness: 1.0,
        partial_value: 0.9,
        second_step_parts: 0,
    }
}

/// Six ring positions, replication factor two, one part per call.
pub fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        routers: 2,
        batch_interval: 5 * MS,
        classes,
        layout: ShardLayout { ring_positions: 6, replication_factor: 2, parts_per_call: 1, call_work: 0 },
        limits: DeploymentLimits {
            cancellation: true,
            health_checks: true,
            hedging: true,
            max_attempts: 4,
            max_retry_after: SECOND,
        },
        rules: RuleSettings {
            initial_capacity: 0.2,
            warm_up_time: 10 * SECOND,
            overload_multiple: 3.0,
            overload_window: 2 * SECOND,
            retry_budget: None,
        },
        discovery: Discovery::Push,
        zone: None,
        cross_zone_costs: false,
    }
}

/// Settings with one class of idempotent queries.
pub fn idempotent_settings() -> Settings {
    settings(vec![class(Idempotency::Idempotent)])
}

pub fn endpoint(backend: u32, state: EndpointState, started: Option<Micros>) -> Endpoint {
    Endpoint { backend: BackendId(backend), ring_position: backend, state, started_at: started, zone: None }
}

/// A snapshot of backends 0 to 5, one at each ring position, all ready.
pub fn all_ready() -> EndpointUpdate {
    EndpointUpdate::Snapshot((0..6).map(|s| endpoint(s, EndpointState::Ready, None)).collect())
}

/// A router with its clock. It completes cancelled and timed-out attempts as the server would.
pub struct Driver {
    pub router: Router,
    pub now: Micros,
    /// Attempts in flight: when they end without an answer, with what outcome, and when they were sent.
    in_flight: BTreeMap<(PartId, u32), (Micros, Outcome, Micros)>,
    attempts: BTreeMap<PartId, u32>,
}

impl Driver {
    pub fn new(settings: Settings) -> Self {
        let router = Router::new(7, settings).expect("valid settings");
        Self { router, now: 100 * SECOND, in_flight: BTreeMap::new(), attempts: BTreeMap::new() }
    }

    /// A driver that knows all six backends.
    pub fn ready(settings: Settings) -> Self {
        let mut driver = Self::new(settings);
        driver.handle(vec![Event::EndpointUpdate(all_ready())]);
        driver
    }

    pub fn handle(&mut self, events: Vec<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        for event in &events {
            if let Event::AttemptCompleted { part, attempt, .. } = event {
                self.in_flight.remove(&(*part, *attempt));
            }
        }
        self.router.handle(self.now, events, &mut actions);
        for action in &actions {
            match action {
                Action::Send { part, timeout, .. } => {
                    let number = self.attempts.entry(*part).or_insert(0);
                    let end = (self.now + timeout, Outcome::TimedOut, self.now);
                    self.in_flight.insert((*part, *number), end);
                    *number += 1;
                }
                Action::Cancel { part, attempt } => {
                    if let Some(end) = self.in_flight.get_mut(&(*part, *attempt)) {
                        (end.0, end.1) = (self.now + 5 * MS, Outcome::Cancelled);
                    }
                }
                _ => {}
            }
        }
        actions
    }

    /// Advances the clock in steps of 5 ms and returns all actions of that time.
    pub fn advance(&mut self, time: Micros) -> Vec<Action> {
        let mut all = Vec::new();
        let until = self.now + time;
        while self.now < until {
            self.now += 5 * MS;
            let due = self.in_flight.iter().filter(|(_, (at, ..))| *at <= self.now);
            let mut events: Vec<_> = due
                .map(|((part, attempt), (_, outcome, sent))| Event::AttemptCompleted {
                    part: *part,
                    attempt: *attempt,
                    outcome: *outcome,
                    latency: self.now - sent,
                })
                .collect();
            events.push(Event::TimerExpired);
            all.extend(self.handle(events));
        }
        all
    }

    pub fn query(&mut self, query: u128, class: usize, shards: &[u32]) -> Vec<Action> {
        self.handle(arrival(query, class, shards))
    }

    pub fn succeeded(&mut self, part: PartId, attempt: u32, latency: Micros) -> Vec<Action> {
        self.completed(part, attempt, Outcome::Succeeded, latency)
    }

    pub fn completed(
        &mut self,
        part: PartId,
        attempt: u32,
        outcome: Outcome,
        latency: Micros,
    ) -> Vec<Action> {
        self.handle(vec![Event::AttemptCompleted { part, attempt, outcome, latency }])
    }

    /// Runs queries that are answered after 50 ms each, so that the router has measured short latencies.
    pub fn warm_up(&mut self, class: usize, count: u128) {
        for i in 0..count {
            let id = 900_000 + class as u128 * 10_000 + i;
            let sent = sends(&self.query(id, class, &[(i % 6) as u32]));
            self.now += 50 * MS;
            for (part, _) in sent {
                self.succeeded(part, 0, 50 * MS);
            }
        }
    }
}

pub fn part_id(query: u128, index: usize) -> PartId {
    PartId(query * 1_000 + index as u128)
}

pub fn arrival(query: u128, class: usize, shards: &[u32]) -> Vec<Event> {
    let mut events = vec![Event::QueryArrived(QueryArrival {
        query: QueryId(query),
        class: ClassId(class),
        expires_in: 6 * SECOND,
        work_hint: None,
        retry: false,
        planned: false,
    })];
    for (index, &shard) in shards.iter().enumerate() {
        events.push(Event::PartArrived(PartArrival {
            query: QueryId(query),
            part: part_id(query, index),
            shard: ShardId(shard),
            weight: 1.0 / shards.len() as f64,
            idempotent: false,
        }));
    }
    events
}

pub fn sends(actions: &[Action]) -> Vec<(PartId, BackendId)> {
    actions
        .iter()
        .filter_map(|a| match a {
            Action::Send { part, backend, .. } => Some((*part, *backend)),
            _ => None,
        })
        .collect()
}

pub fn final_actions(actions: &[Action]) -> Vec<&Action> {
    let is_final =
        |a: &&Action| matches!(a, Action::Respond { .. } | Action::Reject { .. } | Action::Fail { .. });
    actions.iter().filter(is_final).collect()
}
