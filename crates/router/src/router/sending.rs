//! Sends parts: whether a part may be sent, to which backend, and with what timeouts.

use super::Router;
use crate::backend::Backend;
use crate::completion::attempt_timeout;
use crate::events::Action;
use crate::ids::{BackendId, Micros, PartId};
use crate::query::{Attempt, CallId, Part};
use crate::replica_selection::BatchCalls;
use crate::slow_start::Demand;
use crate::timers::Timer;

/// Minimum time left before the end of its query for a part to be sent, in microseconds.
const MIN_TIME_LEFT_US: Micros = 5_000;
/// Delay after which a part that no backend could take is sent again, in microseconds.
const RESEND_INTERVAL_US: Micros = 50_000;

/// What to do with a part that is due to be sent.
enum NextStep {
    /// Send nothing: its query has ended, no time is left, or the attempt in flight has to suffice.
    Skip,
    /// Fail the part: no further attempt is allowed.
    PartFailed,
    /// Check again later: no backend can take it now, or the retry budget is used up.
    Wait,
    /// Send it to this backend.
    Send(BackendId),
}

impl Router {
    /// Sends the parts of this batch. Parts for the same backend share calls.
    pub(super) fn send_parts(&mut self) {
        if self.to_send.is_empty() {
            return;
        }
        let mut batch = BatchCalls::default();
        let overdue_at = self.now + self.recent_answers.overdue_after();
        for id in std::mem::take(&mut self.to_send) {
            let Some(part) = self.parts.get(id) else { continue };
            match self.next_step(part, &batch) {
                NextStep::Skip => {}
                NextStep::PartFailed => self.part_failed(id),
                NextStep::Wait => self.timers.set(self.now + RESEND_INTERVAL_US, Timer::Resend(id)),
                NextStep::Send(backend) => self.send(id, backend, overdue_at, &mut batch),
            }
        }
    }

    /// Applies the rules in turn: whether it may be repeated, whether there is budget, whether there is a
    /// replica.
    fn next_step(&self, part: &Part, batch: &BatchCalls) -> NextStep {
        let Some(query) = self.queries.get(&part.query).filter(|_| part.is_needed()) else {
            return NextStep::Skip;
        };
        if self.now + MIN_TIME_LEFT_US >= query.ends_at {
            return NextStep::Skip;
        }
        let in_flight = part.is_in_flight();
        if !part.attempts.is_empty() && !self.retries.may_repeat(self.now, &self.history(part), false) {
            return if in_flight { NextStep::Skip } else { NextStep::PartFailed };
        }
        let arrivals = self.traffic.arrivals();
        let has_budget = !self.draws_on_retry_budget(part) || self.retry_budget.allows_retry(arrivals);
        match has_budget.then(|| self.choose_replica(part, batch)).flatten() {
            Some(backend) => NextStep::Send(backend),
            None if in_flight => NextStep::Skip,
            None => NextStep::Wait,
        }
    }

    fn draws_on_retry_budget(&self, part: &Part) -> bool {
        let shedding = self.admission.is_shedding(part.class);
        self.retry_budget.applies_to(part.attempts.len(), part.was_not_executed(), shedding)
    }

    fn choose_replica(&self, part: &Part, batch: &BatchCalls) -> Option<BackendId> {
        let candidates = self.endpoints.replicas(part.shard).filter(|(id, backend)| {
            !part.attempts.iter().any(|attempt| attempt.is_in_flight() && attempt.backend == *id)
                && self.slow_start_admits(backend, part, batch.has_call(*id))
        });
        self.selector.choose(part, candidates, batch, |backend| {
            self.slow_start.warm_up_fraction(backend.started_at, self.now)
        })
    }

    pub(super) fn slow_start_admits(&self, backend: &Backend, part: &Part, joins_call: bool) -> bool {
        let demand = Demand {
            query: part.query,
            traffic: &self.traffic,
            waiting_parts: self.waiting_parts,
            ready_backends: self.endpoints.ready(),
        };
        let replicas = self.endpoints.replicas(part.shard).map(|(_, replica)| replica.started_at);
        let work = self.part_work(part.class, joins_call);
        self.slow_start.admits(self.now, backend.as_candidate(), work, demand, replicas)
    }

    fn send(&mut self, id: PartId, to: BackendId, overdue_at: Micros, batch: &mut BatchCalls) {
        let Some(part) = self.parts.get(id) else { return };
        let joins_call = batch.has_space(to, self.settings.layout.parts_per_call);
        let work = self.part_work(part.class, joins_call).added();
        let draws_on_budget = self.draws_on_retry_budget(part);
        let repeat_by = self.retries.repeat_by(&self.history(part));
        if !joins_call {
            self.calls_made += 1;
            batch.open(to, CallId(self.calls_made));
        }
        let Some(call) = batch.join(to) else { return };
        let (Some(part), Some(backend)) = (self.parts.get_mut(id), self.endpoints.get_mut(to)) else {
            return;
        };
        let Some(query) = self.queries.get(&part.query) else { return };

        backend.recent_work.record(self.now, self.slow_start.window(), work);
        backend.add_part(call, self.now);
        let is_recovery_attempt = backend.health.start_recovery_attempt();
        if draws_on_budget {
            self.retry_budget.record(self.now);
        }
        let attempt = part.attempts.len() as u32;
        part.attempts.push(Attempt { backend: to, call, sent_at: self.now, ..Attempt::default() });
        let timeout = attempt_timeout(self.now, query, &self.settings.classes[query.class.0]);
        let begin_within = timeout.min(repeat_by.saturating_sub(self.now));
        self.actions.push(Action::Send { part: id, backend: to, timeout, begin_within });
        self.timers.set(overdue_at, Timer::Overdue(id, attempt));
        if is_recovery_attempt {
            self.back_off_recovery(to);
        }
    }
}
