//! One router on the simulator's wire: translates messages to events, and actions to reply lines.

use std::collections::BTreeMap;
use std::fmt::Write;

use mallowgauge_router::{Action, EndpointUpdate, Event, Micros, PartId, QueryId, Router};
use serde_json::Value;

use crate::directory::Directory;
use crate::error::WireError;
use crate::message::{ListedEndpoint, Message};
use crate::names::{self, fields, message, mode, reply};
use crate::request_id;

/// The endpoint lists received so far, by number.
pub type EndpointLists = BTreeMap<u64, Vec<ListedEndpoint>>;

/// A query whose parts may still arrive.
struct OpenQuery {
    query: QueryId,
    answers_left: u32,
}

/// One router, with the state that translates its messages. No state is shared between instances.
pub struct Instance {
    router: Router,
    directory: Directory,
    /// Open queries by the wire's group number.
    open_queries: BTreeMap<u64, OpenQuery>,
    events: Vec<Event>,
    /// Whether the current batch has a message for this instance.
    addressed: bool,
}

impl Instance {
    /// Creates the instance that the message describes.
    pub fn start(message: &Message) -> Result<Self, WireError> {
        let (settings, directory) = Directory::read(message.get(fields::SETTINGS)?)?;
        let router = Router::new(message.int(fields::SEED)?, settings)?;
        Ok(Self { router, directory, open_queries: BTreeMap::new(), events: Vec::new(), addressed: true })
    }

    /// Queues the event of a message; it is handled at the end of the batch.
    pub fn receive(&mut self, message: &Message, lists: &EndpointLists) -> Result<(), WireError> {
        self.addressed = true;
        let event = match message.name {
            message::ENDPOINT_UPDATE => Event::EndpointUpdate(self.endpoint_update(message, lists)?),
            message::ARRIVAL => match self.arrival(message)? {
                Some(event) => event,
                None => return Ok(()),
            },
            message::TIMER_EXPIRED => {
                message.text(fields::TIMER)?;
                Event::TimerExpired
            }
            message::CLIENT_DISCONNECTED => {
                let query = QueryId(message.id()?);
                self.forget(query);
                Event::ClientDisconnected(query)
            }
            message::ATTEMPT_COMPLETED => message.attempt_completed()?,
            message::HEALTH_CHECK_COMPLETED => {
                let backend = self.directory.backend_id(message.text(fields::CHECKED_BACKEND)?);
                let passed = message.text(fields::CHECK_OUTCOME)? == names::PASSED;
                Event::HealthCheckCompleted { backend, passed }
            }
            // Other messages carry nothing that a router acts on.
            _ => return Ok(()),
        };
        self.events.push(event);
        Ok(())
    }

    fn endpoint_update(
        &mut self,
        message: &Message,
        lists: &EndpointLists,
    ) -> Result<EndpointUpdate, WireError> {
        let update_mode = message.text(fields::UPDATE_MODE)?;
        if update_mode == mode::FAILED {
            return Ok(EndpointUpdate::Failed);
        }
        let number = message.int(fields::UPDATE_LIST_NUMBER)?;
        let list = lists.get(&number).ok_or(WireError::UnknownEndpointList(number))?;
        let endpoints = list.iter().map(|listed| self.directory.endpoint(listed)).collect();
        match update_mode {
            mode::DELTA => Ok(EndpointUpdate::Delta(endpoints)),
            mode::SNAPSHOT => Ok(EndpointUpdate::Snapshot(endpoints)),
            mode::CACHED_SNAPSHOT => Ok(EndpointUpdate::CachedSnapshot(endpoints)),
            _ => Err(WireError::UnknownUpdateMode(update_mode.to_owned())),
        }
    }

    /// The arrival of a query, or of a part of one that is still open.
    fn arrival(&mut self, message: &Message) -> Result<Option<Event>, WireError> {
        let group = message.int(fields::GROUP)?;
        if message.number(fields::SHARD)? < 0.0 {
            let arrival = message.query_arrival(&self.directory)?;
            let answers_left = self.directory.answers(arrival.class);
            self.open_queries.insert(group, OpenQuery { query: arrival.query, answers_left });
            return Ok(Some(Event::QueryArrived(arrival)));
        }
        let open = self.open_queries.get(&group);
        // A part must be well formed even if its query has ended.
        let part = message.part_arrival(open.map_or(QueryId(0), |open| open.query))?;
        Ok(open.map(|_| Event::PartArrived(part)))
    }

    /// Ends a batch: appends the router's actions to `out`, unless the batch had no message for this
    /// instance.
    pub fn end_batch(&mut self, now: Micros, number: u64, actions: &mut Vec<Action>, out: &mut String) {
        if !std::mem::take(&mut self.addressed) {
            return;
        }
        self.router.handle(now, std::mem::take(&mut self.events), actions);
        for action in actions.drain(..) {
            self.close_ended_query(&action);
            self.write(out, number, &action);
        }
    }

    /// Removes a query that the action ends.
    fn close_ended_query(&mut self, action: &Action) {
        match action {
            Action::Respond { query, .. } => {
                if let Some(open) = self.open_queries.values_mut().find(|open| open.query == *query) {
                    open.answers_left -= 1;
                }
                self.open_queries.retain(|_, open| open.answers_left > 0);
            }
            Action::Reject { query, .. } | Action::Fail { query } => self.forget(*query),
            _ => {}
        }
    }

    fn forget(&mut self, query: QueryId) {
        self.open_queries.retain(|_, open| open.query != query);
    }

    /// Appends the line for an action of the instance with this number.
    fn write(&self, out: &mut String, instance: u64, action: &Action) {
        let backend = |id| Value::from(self.directory.backend_name(id));
        let query_id = |id: &QueryId| request_id::format(id.0);
        let part_id = |id: &PartId| request_id::format(id.0);
        let mut line = |name: &str, fields: std::fmt::Arguments| {
            let written = writeln!(out, "[\"{name}\",{instance}{fields}]");
            debug_assert!(written.is_ok(), "writing to a string cannot fail");
        };
        match action {
            Action::Send { part, backend: to, timeout, .. } => {
                line(reply::SEND, format_args!(",\"{}\",{timeout},{}", part_id(part), backend(*to)));
            }
            Action::Cancel { part, attempt } => {
                line(reply::CANCEL, format_args!(",\"{}\",{attempt}", part_id(part)));
            }
            Action::Respond { query, complete } => {
                line(reply::RESPOND, format_args!(",\"{}\",{complete}", query_id(query)));
            }
            Action::Reject { query, retry_after } => {
                line(reply::REJECT, format_args!(",\"{}\",{retry_after}", query_id(query)));
            }
            Action::Fail { query } => line(reply::FAIL, format_args!(",\"{}\"", query_id(query))),
            Action::SetTimer(after) => {
                line(reply::SET_TIMER, format_args!(",{after},\"{}\"", names::WAKE_UP));
            }
            Action::WatchEndpoints => line(reply::WATCH_ENDPOINTS, format_args!(",true")),
            Action::HealthCheck(id) => line(reply::HEALTH_CHECK, format_args!(",{}", backend(*id))),
            Action::BackendEjected(id) => {
                line(reply::LOG, format_args!(",\"{}\"", names::ejected_line(id.0)));
            }
            Action::BackendRecovered(id) => {
                line(reply::LOG, format_args!(",\"{}\"", names::recovered_line(id.0)));
            }
            // Occurs only for planned queries, which the simulator does not have.
            Action::PartFailed { .. } => {}
        }
    }
}
