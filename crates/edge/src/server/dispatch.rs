//! Dispatches events to their handlers: ready sockets, actions of the core, events of backend connections, and
//! actions of takeover.

use mallowgauge_core::table_memory::TableQueryId;
use mallowgauge_core::{
    Action, AttemptId, AttemptRequest, CompletedQuery, QueryResponse, ResponseHandle, Value,
};
use mallowgauge_flight::{rows, schema};
use mallowgauge_net::{EventHandler, Handle, Token};
use mallowgauge_router::{BackendId, Micros, Outcome};

use super::Server;
use crate::peers::Peers;
use crate::takeover::Task;
use crate::token::SocketKind;
use crate::upstream::UpstreamEvent;

impl EventHandler for Server {
    fn ready(&mut self, token: Token) {
        let (now, id) = (self.clock.now(), token.id);
        match SocketKind::of(token) {
            Some(SocketKind::HttpListener) => self.accept_http(),
            Some(SocketKind::FlightListener) => self.accept_flight(),
            Some(SocketKind::HttpClient) => self.http.handle_ready(now, id, &mut self.core),
            Some(SocketKind::FlightClient) => self.flight.handle_ready(now, id, &mut self.core),
            Some(SocketKind::Backend) => self.pool.handle_ready(now, id),
            Some(SocketKind::PeerListener) => self.with_peers(|peers, handle| peers.accept(now, handle)),
            Some(SocketKind::Peer) => self.with_peers(|peers, _| peers.ready(now, id)),
            Some(SocketKind::Discovery) => {
                let events = self.discovery.handle_ready(now, &self.handle);
                self.handle_discovery_events(events);
            }
            None => {}
        }
    }
}

impl Server {
    /// Performs one action of the core.
    pub(super) fn perform_action(&mut self, now: Micros, action: Action) {
        match action {
            Action::SendBatch(backend, attempts) => self.pool.send(now, &self.handle, backend, attempts),
            Action::CancelAttempt(backend, attempt) => self.cancel_attempt(now, backend, attempt),
            Action::RevokeUnsent(backend, attempt) => self.revoke_unsent(now, backend, attempt),
            Action::RequestPermit(backend, attempt) => self.request_permit(now, backend, attempt),
            Action::ReplicateOutcome(completed) => self.replicate_outcome(now, *completed),
            Action::Respond(handle, response) => self.respond(now, handle, response),
            Action::HealthCheck(backend) => self.pool.health_check(now, &self.handle, backend),
            Action::WatchEndpoints => {
                let event = self.discovery.watch(now, &self.handle);
                self.handle_discovery_events(event);
            }
        }
    }

    /// Cancels an attempt whose result is no longer needed: drops it if it awaits its permit, else cancels it at its
    /// backend.
    fn cancel_attempt(&mut self, now: Micros, backend: BackendId, attempt: AttemptId) {
        if !self.drop_without_permit(now, attempt) {
            self.pool.cancel(now, backend, attempt);
        }
    }

    /// Revokes an attempt if it has not been sent yet.
    fn revoke_unsent(&mut self, now: Micros, backend: BackendId, attempt: AttemptId) {
        if self.drop_without_permit(now, attempt) {
            self.core.attempt_completed(now, attempt, Outcome::NotSent, None);
        } else {
            self.pool.revoke_unsent(backend, attempt);
        }
    }

    /// Drops an attempt that awaits its permit. Returns `false` if it awaits none.
    fn drop_without_permit(&mut self, now: Micros, attempt: AttemptId) -> bool {
        let Some(peers) = &mut self.peers else { return false };
        self.takeover.cancel_unsent(now, attempt, peers)
    }

    /// Requests a permit for a non-idempotent attempt from the other instances.
    fn request_permit(&mut self, now: Micros, backend: BackendId, attempt: AttemptRequest) {
        let Some(peers) = &mut self.peers else { return };
        let tasks = self.takeover.request_permit(now, backend, attempt, &mut self.core, peers);
        self.perform_takeover_tasks(now, tasks);
    }

    /// Records a query's outcome at the other instances.
    fn replicate_outcome(&mut self, now: Micros, completed: CompletedQuery) {
        let Some(peers) = &mut self.peers else { return };
        let tasks = self.takeover.replicate_outcome(now, completed, peers);
        self.perform_takeover_tasks(now, tasks);
    }

    /// Sends the final answer to the waiting client. A query that was taken over has no client here.
    fn respond(&mut self, now: Micros, handle: ResponseHandle, response: QueryResponse) {
        match handle {
            ResponseHandle::TakenOver(_) => {}
            ResponseHandle::Http(id) => self.http.respond(now, id, &response, &mut self.core),
            ResponseHandle::Flight(id) => self.flight.respond(now, id, response, &mut self.core),
        }
    }

    /// Performs the actions of takeover until there are none.
    pub(super) fn perform_takeover_actions(&mut self, now: Micros) {
        while let Some(peers) = &mut self.peers {
            let actions = peers.take_takeover_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                let Some(peers) = &mut self.peers else { return };
                let tasks = self.takeover.handle_action(now, action, &mut self.core, peers);
                self.perform_takeover_tasks(now, tasks);
            }
        }
    }

    fn perform_takeover_tasks(&mut self, now: Micros, tasks: Vec<Task>) {
        for task in tasks {
            match task {
                Task::Send(backend, attempt) => self.pool.send(now, &self.handle, backend, vec![attempt]),
                Task::Reply(handle, response) => self.respond(now, handle, response),
            }
        }
    }

    /// Passes the events of backend connections to the core.
    pub(super) fn handle_upstream_events(&mut self, now: Micros) {
        for event in self.pool.take_events() {
            match event {
                UpstreamEvent::AttemptEnded(attempt, Outcome::Succeeded, Some(value)) => {
                    self.attempt_succeeded(now, attempt, value);
                }
                UpstreamEvent::AttemptEnded(attempt, outcome, value) => {
                    self.attempt_ended(now, attempt, outcome, value)
                }
                UpstreamEvent::TableMemoryExceeded(query, attempt) => {
                    self.table_memory_exceeded(now, query, attempt)
                }
                UpstreamEvent::HealthCheckCompleted(backend, passed) => {
                    self.core.health_check_completed(backend, passed)
                }
            }
        }
    }

    /// Handles an attempt that ended without success. If it was not executed, the instances that granted its permit
    /// are notified.
    fn attempt_ended(&mut self, now: Micros, attempt: AttemptId, outcome: Outcome, value: Option<Value>) {
        let not_executed = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent);
        if let (true, Some(peers)) = (not_executed, &mut self.peers) {
            self.takeover.attempt_not_executed(now, attempt, &self.core, peers);
        }
        self.core.attempt_completed(now, attempt, outcome, value);
    }

    /// Handles an attempt that returned a value. A table is used only if it has the columns of the query's other
    /// values.
    fn attempt_succeeded(&mut self, now: Micros, attempt: AttemptId, value: Value) {
        if let (true, Value::Table(table)) = (self.core.is_planned(attempt), &value) {
            // Two-phase queries rank rows as JSON text, whichever format the rows arrived in.
            return match rows::to_json(&table.schema, &table.messages, self.text_bytes_per_query) {
                Ok(text) => {
                    self.core.attempt_completed(now, attempt, Outcome::Succeeded, Some(text.into()));
                }
                Err(_) => self.core.attempt_completed(now, attempt, Outcome::ConnectionLost, None),
            };
        }
        match schema::check_value_schema(self.core.received_value(attempt), &value) {
            Ok(()) => self.core.attempt_completed(now, attempt, Outcome::Succeeded, Some(value)),
            Err(mismatch) => {
                tracing::warn!("table schema differs from the query's other parts: {mismatch}");
                self.core.attempt_completed(now, attempt, Outcome::ConnectionLost, None);
            }
        }
    }

    /// Handles a query whose tables exceed the memory limit: the query fails, unless the part has another attempt in
    /// flight. The attempt that exceeded the limit has ended.
    fn table_memory_exceeded(&mut self, now: Micros, query: TableQueryId, attempt: Option<AttemptId>) {
        if !attempt.is_some_and(|attempt| self.core.has_other_attempt(attempt)) {
            self.core.memory_limit_exceeded(query);
        }
        if let Some(attempt) = attempt {
            self.core.attempt_completed(now, attempt, Outcome::Cancelled, None);
        }
    }

    /// Calls a method of the connections to other instances, if any are configured.
    fn with_peers(&mut self, call: impl FnOnce(&mut Peers, &Handle)) {
        if let Some(peers) = &mut self.peers {
            call(peers, &self.handle);
        }
    }
}
