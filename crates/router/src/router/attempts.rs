//! Handlers for attempts that end or are overdue: what they indicate about the backend, and what follows.

use super::Router;
use crate::admission::CONTROL_INTERVAL_US;
use crate::events::{Action, Outcome};
use crate::ids::{BackendId, ClassId, Micros, PartId, QueryId};
use crate::outlier::HealthSignal;
use crate::query::{Attempt, CallId, Part};
use crate::retry::{is_poison_query, OverdueResponse};
use crate::timers::Timer;

/// An ended attempt, with the data needed of its part.
struct EndedAttempt {
    backend: BackendId,
    call: CallId,
    sent_at: Micros,
    was_overdue: bool,
    outcome: Outcome,
    latency: Micros,
    query: QueryId,
    class: ClassId,
    /// Whether the part is idempotent regardless of its class.
    idempotent: bool,
    /// Whether it answered the part.
    answered: bool,
    /// Whether the part still needs an answer and has no other attempt in flight.
    unanswered: bool,
}

impl Router {
    pub(super) fn attempt_completed(&mut self, id: PartId, number: u32, outcome: Outcome, latency: Micros) {
        let Some(ended) = self.end_attempt(id, number, outcome, latency) else { return };
        self.update_backend(&ended);
        self.record_latency(&ended);
        self.record_health(&ended);
        let query = ended.query;
        if ended.unanswered && outcome == Outcome::ConnectionLost && self.is_poison_query(query) {
            self.give_up(query);
        } else if ended.answered {
            self.cancel_attempts(id);
            self.answer_if_complete(query);
        } else if ended.unanswered {
            self.send_deferred_part(query);
            self.to_send.push(id);
        }
    }

    /// Marks an attempt as ended. Returns `None` if it is unknown or has ended before.
    fn end_attempt(
        &mut self,
        id: PartId,
        number: u32,
        outcome: Outcome,
        latency: Micros,
    ) -> Option<EndedAttempt> {
        let part = self.parts.get_mut(id)?;
        let attempt = part.attempts.get_mut(number as usize).filter(|attempt| attempt.is_in_flight())?;
        attempt.outcome = Some(outcome);
        let Attempt { backend, call, sent_at, overdue: was_overdue, .. } = *attempt;
        let answered = outcome == Outcome::Succeeded && part.is_needed();
        part.answered |= answered;
        let is_last = !part.is_in_flight();
        let Part { query, class, idempotent, abandoned, .. } = *part;
        let unanswered = is_last && part.is_needed();
        if abandoned && is_last {
            self.parts.remove(id);
        }
        Some(EndedAttempt {
            backend,
            call,
            sent_at,
            was_overdue,
            outcome,
            latency,
            query,
            class,
            idempotent,
            answered,
            unanswered,
        })
    }

    fn update_backend(&mut self, ended: &EndedAttempt) {
        let fade_time = self.fade_time();
        let Some(backend) = self.endpoints.get_mut(ended.backend) else { return };
        match ended.outcome {
            Outcome::Succeeded => backend.latency.record_answer(self.now, fade_time, ended.latency),
            Outcome::Rejected => {
                let objective = self.settings.classes[ended.class.0].latency_objective;
                backend.latency.record_rejection(self.now, fade_time, objective);
            }
            _ => {}
        }
        backend.remove_part(ended.call);
    }

    /// Records the latency of an answered attempt. Parts that are idempotent regardless of their class are
    /// not counted: they are faster than the parts that follow them, which would then look overdue.
    fn record_latency(&mut self, ended: &EndedAttempt) {
        if ended.outcome == Outcome::Succeeded && !ended.idempotent {
            self.recent_answers.record(self.now, ended.latency);
            self.base_latency.record(ended.class, ended.latency);
        }
    }

    fn record_health(&mut self, ended: &EndedAttempt) {
        let Some(backend) = self.endpoints.get(ended.backend) else { return };
        let is_recovery = backend.health.is_recovery(ended.sent_at);
        if let Some(signal) = HealthSignal::of(ended.outcome, ended.was_overdue, is_recovery) {
            self.record_health_signal(ended.backend, signal);
        }
    }

    fn is_poison_query(&self, id: QueryId) -> bool {
        self.queries.get(&id).is_some_and(|query| is_poison_query(|| self.parts.of(query)))
    }

    /// Checks an attempt that has been in flight for long: if it is overdue, it counts against its backend,
    /// and one more attempt is considered.
    pub(super) fn overdue_check_due(&mut self, id: PartId, number: u32) {
        let Some(part) = self.parts.get(id) else { return };
        let Some(attempt) = part.attempts.get(number as usize).filter(|a| a.is_in_flight()) else { return };
        let Attempt { backend, sent_at, .. } = *attempt;
        let query = part.query;
        // The next check is due once it has been in flight for twice as long.
        let next_check = self.now + (self.now - sent_at).max(CONTROL_INTERVAL_US);
        if !self.recent_answers.is_overdue(self.now, sent_at, self.settings.batch_interval) {
            self.timers.set(next_check, Timer::Overdue(id, number));
            return;
        }
        let is_unresponsive = self.endpoints.get(backend).is_some_and(|b| !b.latency.updated_since(sent_at));
        let was_ejected = self.endpoints.is_ejected(backend);
        self.record_health_signal(backend, HealthSignal::of_overdue(is_unresponsive));
        self.send_deferred_part(query);
        if let Some(attempt) = self.parts.get_mut(id).and_then(|p| p.attempts.get_mut(number as usize)) {
            attempt.overdue = true;
        }
        // If it may not be replaced now, it stays in flight until its timeout.
        if !self.may_replace_overdue(id) {
            return;
        }
        match self.retries.overdue_response(was_ejected, is_unresponsive) {
            OverdueResponse::Hedge => self.to_send.push(id),
            OverdueResponse::Cancel => self.actions.push(Action::Cancel { part: id, attempt: number }),
            OverdueResponse::CheckAgain => self.timers.set(next_check, Timer::Overdue(id, number)),
        }
    }

    /// Returns whether a part with an overdue attempt may have one more, in parallel or as a replacement.
    /// While its class sheds load there is no capacity to do work twice.
    fn may_replace_overdue(&self, id: PartId) -> bool {
        let Some(part) = self.parts.get(id).filter(|part| part.is_needed()) else { return false };
        let in_flight = part.attempts.iter().filter(|attempt| attempt.is_in_flight()).count();
        in_flight <= 1
            && !self.admission.is_shedding(part.class)
            && self.retry_budget.allows_hedge(self.traffic.arrivals())
            && self.retries.may_repeat(self.now, &self.history(part), true)
    }

    /// Cancels the attempts of a part that are in flight, if attempts may be cancelled.
    pub(super) fn cancel_attempts(&mut self, id: PartId) {
        let Some(part) = self.parts.get(id).filter(|_| self.settings.limits.cancellation) else { return };
        let in_flight = part.attempts.iter().enumerate().filter(|(_, attempt)| attempt.is_in_flight());
        let cancel = |(number, _)| Action::Cancel { part: id, attempt: number as u32 };
        self.actions.extend(in_flight.map(cancel));
    }
}
