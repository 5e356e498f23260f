//! Handlers for the end of a query: answered, rejected, failed, or its client disconnected.

use super::Router;
use crate::admission::excluded_from_objective;
use crate::completion::{unanswered, Ending, Progress, Unanswered};
use crate::events::Action;
use crate::ids::{PartId, QueryId};
use crate::query::{Part, Query, Step};

impl Router {
    fn progress(&self, query: &Query) -> Progress {
        Progress::of(query, self.parts.of(query))
    }

    pub(super) fn answer_if_complete(&mut self, id: QueryId) {
        let Some(query) = self.queries.get(&id).filter(|query| query.admitted && !query.planned) else {
            return;
        };
        if let Some(answer) = self.progress(query).answer(self.class(query.class)) {
            self.respond(id, answer.complete);
        }
    }

    /// Answers a query, and ends it unless a second step follows.
    fn respond(&mut self, id: QueryId, complete: bool) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        self.actions.push(Action::Respond { query: id, complete });
        if self.settings.classes[query.class.0].second_step_parts > 0 && query.step == Step::First {
            query.step = Step::Second { first_complete: complete };
            let parts = std::mem::take(&mut query.parts);
            self.abandon_parts(&parts);
            return;
        }
        let met_objective = self.now <= query.objective_at;
        self.count(id, met_objective);
        self.end_query(id);
    }

    pub(super) fn planned_query_completed(&mut self, id: QueryId, answered: bool) {
        let in_time = self.queries.get(&id).is_some_and(|query| self.now <= query.objective_at);
        self.count(id, answered && in_time);
        self.end_query(id);
    }

    /// Counts a query for admission control, once.
    fn count(&mut self, id: QueryId, met_objective: bool) {
        let Some(query) = self.queries.get(&id).filter(|query| !query.counted) else { return };
        let is_excluded = !met_objective && self.is_excluded_from_objective(query);
        let Some(query) = self.queries.get_mut(&id) else { return };
        query.counted = true;
        if !is_excluded {
            self.admission.record(query.class, met_objective);
        }
    }

    fn is_excluded_from_objective(&self, query: &Query) -> bool {
        excluded_from_objective(self.parts.of(query), |backend| self.endpoints.is_ejected(backend))
    }

    pub(super) fn objective_due(&mut self, id: QueryId) {
        let Some(query) = self.queries.get(&id) else { return };
        match self.progress(query).at_objective(self.class(query.class)) {
            Ending::RespondPartially => self.respond(id, false),
            Ending::GiveUp => {
                self.count(id, false);
                self.give_up(id);
            }
            Ending::Continue => self.count(id, false),
        }
    }

    pub(super) fn deadline_due(&mut self, id: QueryId) {
        let Some(query) = self.queries.get(&id) else { return };
        match self.progress(query).at_deadline(self.class(query.class)) {
            Ending::RespondPartially => self.respond(id, false),
            Ending::GiveUp | Ending::Continue => {
                self.count(id, false);
                self.give_up(id);
            }
        }
    }

    /// Handles a part that can no longer be answered. For a planned query the caller decides what follows;
    /// any other query ends, unless an answer is possible without the part.
    pub(super) fn part_failed(&mut self, id: PartId) {
        let Some(part) = self.parts.get(id) else { return };
        let query_id = part.query;
        let Some(query) = self.queries.get(&query_id) else { return };
        if query.planned {
            self.actions.push(Action::PartFailed { part: id });
            return;
        }
        let is_reachable = |part: &&Part| {
            part.answered
                || part.is_in_flight()
                || self.retries.may_repeat(self.now, &self.history(part), false)
        };
        let reachable: f64 = self.parts.of(query).filter(is_reachable).map(|part| part.weight).sum();
        if self.progress(query).is_unanswerable(self.class(query.class), reachable) {
            self.give_up(query_id);
        }
    }

    /// Ends a query without an answer.
    pub(super) fn give_up(&mut self, id: QueryId) {
        let Some(query) = self.queries.get(&id) else { return };
        match unanswered(self.class(query.class), query, self.parts.of(query)) {
            Unanswered::Rejected => self.reject(id),
            Unanswered::Failed => {
                self.actions.push(Action::Fail { query: id });
                self.end_query(id);
            }
        }
    }

    pub(super) fn end_query(&mut self, id: QueryId) {
        let Some(query) = self.queries.remove(&id) else { return };
        self.abandon_parts(&query.parts);
    }

    /// Marks parts as no longer needed and cancels their attempts in flight. A part is removed when its last
    /// attempt has ended.
    pub(super) fn abandon_parts(&mut self, parts: &[PartId]) {
        for id in parts {
            self.cancel_attempts(*id);
            let Some(part) = self.parts.get_mut(*id) else { continue };
            part.abandoned = true;
            if !part.is_in_flight() {
                self.parts.remove(*id);
            }
        }
    }
}
