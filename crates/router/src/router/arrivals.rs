//! Handlers for arriving queries: their objective, their admission, and which of their parts are sent at
//! once.

use super::Router;
use crate::admission::{self, cannot_meet_objective, ExpectedPart, Objective};
use crate::completion::{parts_to_send, response_time};
use crate::events::{Action, PartArrival, QueryArrival};
use crate::ids::{PartId, QueryId};
use crate::query::{Part, Query};
use crate::timers::Timer;

impl Router {
    pub(super) fn query_arrived(&mut self, arrival: &QueryArrival) {
        let Some(class) = self.settings.classes.get(arrival.class.0) else {
            return self.reject(arrival.query);
        };
        let Objective { time_left, excluded } = self.admission.objective(class, arrival);
        let query = Query {
            class: arrival.class,
            arrived_at: self.now,
            objective_at: self.now + time_left,
            ends_at: self.now.saturating_add(arrival.expires_in),
            counted: excluded,
            planned: arrival.planned,
            ..Query::default()
        };
        self.queries.insert(arrival.query, query);
        self.traffic.record_arrival(self.now);
        self.arrived.push(arrival.query);
    }

    pub(super) fn part_arrived(&mut self, arrival: &PartArrival) {
        self.traffic.record_arrival(self.now);
        let Some(query) = self.queries.get_mut(&arrival.query) else { return };
        query.parts.push(arrival.part);
        if query.admitted {
            self.to_send.push(arrival.part);
        }
        let part = Part {
            query: arrival.query,
            class: query.class,
            shard: arrival.shard,
            weight: arrival.weight,
            idempotent: arrival.idempotent,
            ..Part::default()
        };
        self.parts.insert(arrival.part, part);
    }

    /// Admits or rejects the queries of this batch, before any part of them is sent.
    pub(super) fn admit_arrived(&mut self) {
        for id in std::mem::take(&mut self.arrived) {
            let Some(query) = self.queries.get(&id) else { continue };
            let objective_passed = query.objective_at <= self.now;
            let class = &self.settings.classes[query.class.0];
            if self.admission.sheds(query.class, class, objective_passed, &mut self.random) {
                self.reject(id);
                continue;
            }
            // Also counts a query that is rejected below for lack of capacity: slow start has to know the
            // demand that it could not meet.
            self.traffic.record_admitted_parts(self.now, query.parts.len());
            if !query.planned && self.cannot_meet_objective(query) {
                self.reject(id);
                continue;
            }
            self.admit(id);
        }
    }

    fn cannot_meet_objective(&self, query: &Query) -> bool {
        let time_left = query.objective_at.min(query.ends_at) - query.arrived_at;
        let expected =
            |part: &Part| ExpectedPart { weight: part.weight, wait: self.shortest_expected_wait(part) };
        cannot_meet_objective(self.class(query.class), time_left, self.parts.of(query).map(expected))
    }

    fn admit(&mut self, id: QueryId) {
        let Some(query) = self.queries.get(&id) else { return };
        let mut parts = query.parts.clone();
        let deferred_parts = self.take_deferrable_parts(query, &mut parts);
        let Some(query) = self.queries.get_mut(&id) else { return };
        query.admitted = true;
        query.deferred_parts = deferred_parts;
        self.to_send.extend(parts);
        let objective = response_time(self.now, query.objective_at);
        let deadline = response_time(self.now, query.ends_at);
        if objective < deadline {
            self.timers.set(objective, Timer::LatencyObjective(id));
        }
        self.timers.set(deadline, Timer::Deadline(id));
    }

    /// Removes and returns the parts that a complete answer does not need: those that are expected to take
    /// longest.
    fn take_deferrable_parts(&self, query: &Query, parts: &mut Vec<PartId>) -> Vec<PartId> {
        let class = self.class(query.class);
        if class.required_completeness >= 1.0 || query.planned {
            return Vec::new();
        }
        parts.sort_by_cached_key(|id| {
            self.parts.get(*id).map(|part| {
                let wait = self.shortest_expected_wait(part).map(|wait| wait as u64);
                (self.are_all_replicas_ejected(part), wait)
            })
        });
        let weights = parts.iter().map(|id| self.parts.get(*id).map_or(0.0, |part| part.weight));
        let count = parts_to_send(class, weights).min(parts.len());
        parts.split_off(count)
    }

    fn are_all_replicas_ejected(&self, part: &Part) -> bool {
        self.endpoints.replicas(part.shard).all(|(_, backend)| backend.health.is_ejected())
    }

    /// Returns the shortest expected latency at any replica, in microseconds: infinite if slow start allows
    /// none to take the part, `None` if there is no replica.
    fn shortest_expected_wait(&self, part: &Part) -> Option<f64> {
        let fade_time = self.fade_time();
        let waits = self.endpoints.replicas(part.shard).map(|(_, backend)| {
            if self.slow_start_admits(backend, part, false) {
                backend.expected_wait(self.now, fade_time)
            } else {
                f64::INFINITY
            }
        });
        waits.min_by(f64::total_cmp)
    }

    /// Sends one of the deferred parts, if any are left.
    pub(super) fn send_deferred_part(&mut self, id: QueryId) {
        let part = self.queries.get_mut(&id).and_then(|query| query.deferred_parts.pop());
        self.to_send.extend(part);
    }

    pub(super) fn reject(&mut self, id: QueryId) {
        let retry_after = admission::retry_after(&self.settings.limits, &mut self.random);
        self.actions.push(Action::Reject { query: id, retry_after });
        self.end_query(id);
    }
}
