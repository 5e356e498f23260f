//! Execution of the router's actions by the core.

use std::collections::BTreeMap;
use std::rc::Rc;

use mallowgauge_router::{self as router, BackendId, Event, Micros, Outcome, PartId, QueryId};

use crate::attempts::InFlightAttempt;
use crate::core::{Core, DEADLINE_MARGIN_US};
use crate::open_queries::{OpenQuery, PartKind};
use crate::query::{Action, AttemptId, AttemptRequest, Failure, QueryResponse};
use crate::table_memory::TableQueryId;

/// The time limits of an attempt, in microseconds from when it is sent.
#[derive(Clone, Copy, Debug)]
struct AttemptWindow {
    /// Time until it times out.
    timeout: Micros,
    /// Time within which it has to start.
    start_within: Micros,
}

/// The actions of one batch.
#[derive(Default)]
pub(crate) struct BatchActions {
    calls: BTreeMap<BackendId, Vec<AttemptRequest>>,
    pub(crate) other_actions: Vec<Action>,
}

impl BatchActions {
    /// Appends the calls, by backend, and then all other actions in the order in which they were added.
    pub(crate) fn append_to(self, actions: &mut Vec<Action>) {
        actions.extend(self.calls.into_iter().map(|(backend, sends)| Action::SendBatch(backend, sends)));
        actions.extend(self.other_actions);
    }
}

impl Core {
    /// Executes an action of the router.
    pub(crate) fn apply(&mut self, now: Micros, action: router::Action, batch: &mut BatchActions) {
        match action {
            router::Action::Send { part, backend, timeout, begin_within } => {
                let window = AttemptWindow { timeout, start_within: begin_within };
                self.apply_send(now, part, backend, window, batch);
            }
            router::Action::Cancel { part, attempt } => {
                let id = AttemptId { part, number: attempt };
                if let Some(attempt) = self.attempts.get(id) {
                    batch.other_actions.push(Action::CancelAttempt(attempt.backend, id));
                    self.attempt_completed(now, id, Outcome::Cancelled, None);
                }
            }
            router::Action::PartFailed { part } => {
                // A part without a value cannot have a malformed one.
                let _ = self.plan_part_completed(now, part, None);
            }
            router::Action::Respond { query, complete } => {
                batch.other_actions.extend(self.respond(query, complete));
            }
            router::Action::Reject { query, .. } if self.postpone(now, query) => {}
            router::Action::Reject { query, retry_after } => {
                let not_executed = self.open.get(query).is_some_and(OpenQuery::not_executed);
                let response = QueryResponse::Rejected { retry_after, not_executed };
                batch.other_actions.extend(self.finish(query, response));
            }
            router::Action::Fail { query } => {
                let failure = self.failure_of(now, query);
                batch.other_actions.extend(self.finish(query, failure.into()));
            }
            router::Action::SetTimer(after) => self.set_router_timer(now.saturating_add(after)),
            router::Action::WatchEndpoints => batch.other_actions.push(Action::WatchEndpoints),
            router::Action::HealthCheck(backend) => batch.other_actions.push(Action::HealthCheck(backend)),
            router::Action::BackendEjected(id) => tracing::info!("router: backend {} ejected", id.0),
            router::Action::BackendRecovered(id) => tracing::info!("router: backend {} recovered", id.0),
        }
    }

    fn apply_send(
        &mut self,
        now: Micros,
        part: PartId,
        backend: BackendId,
        window: AttemptWindow,
        batch: &mut BatchActions,
    ) {
        let has_effect = self.has_effect(part);
        if has_effect {
            // One attempt must not start long after another: an earlier one that still waits must not start
            // any more.
            self.revoke_unsent(part);
        }
        let Some(request) = self.start_attempt(now, part, backend, window) else { return };
        if has_effect && self.permits_required {
            batch.other_actions.push(Action::RequestPermit(backend, request));
        } else {
            batch.calls.entry(backend).or_default().push(request);
        }
    }

    fn set_router_timer(&mut self, at: Micros) {
        self.router_timer = Some(self.router_timer.map_or(at, |timer| timer.min(at)));
    }

    /// Returns whether executing a part has an effect: the scout of a non-idempotent query has none.
    fn has_effect(&self, part: PartId) -> bool {
        let Some(location) = self.open.locate(part) else { return false };
        let Some(open) = self.open.get(location.query) else { return false };
        !self.is_idempotent(open.request.class) && open.parts[location.index].kind == PartKind::Query
    }

    /// Puts an attempt in flight. Returns `None` if its part was closed in the meantime.
    fn start_attempt(
        &mut self,
        now: Micros,
        part: PartId,
        backend: BackendId,
        window: AttemptWindow,
    ) -> Option<AttemptRequest> {
        let id = self.attempts.next_id(part);
        let Some(location) = self.open.locate(part) else {
            self.attempts.close_part(part);
            let (attempt, outcome) = (id.number, Outcome::NotSent);
            self.events.push(Event::AttemptCompleted { part, attempt, outcome, latency: 0 });
            return None;
        };
        let query = location.query;
        let open = self.open.get_mut(query)?;
        open.attempt_sent(location.index);
        let deadline = now.saturating_add(window.timeout).min(open.deadline);
        self.attempts.insert(id, InFlightAttempt { backend, query, sent_at: now, deadline });
        let part = &open.parts[location.index];
        Some(AttemptRequest {
            attempt: id,
            request_id: Rc::clone(&open.request.id),
            table_query: TableQueryId(query.0),
            shard: open.request.parts[part.request_index].shard,
            deadline,
            start_by: deadline.min(now.saturating_add(window.start_within)),
            body: match &open.request.plan {
                Some(plan) if part.kind == PartKind::Scout => Rc::clone(&plan.scout),
                _ => Rc::clone(&open.request.body),
            },
        })
    }

    fn failure_of(&self, now: Micros, query: QueryId) -> Failure {
        match self.open.get(query) {
            Some(open) if open.deadline <= now + DEADLINE_MARGIN_US => Failure::DeadlineExceeded,
            _ => Failure::PartsFailed,
        }
    }

    /// Answers a query with the received values.
    fn respond(&mut self, query: QueryId, complete: bool) -> Option<Action> {
        let values = self.open.get_mut(query)?.take_values();
        self.finish(query, QueryResponse::Completed { complete, values })
    }
}
