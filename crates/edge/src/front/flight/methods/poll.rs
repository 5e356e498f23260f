//! `PollFlightInfo`: a query that goes on between calls, and how it stands.

use std::rc::Rc;

use mallowgauge_core::polled_queries::{PolledQueryKey, PolledQuerySpec, PolledState, RejectReason};
use mallowgauge_core::{Core, QueryResponse, ResponseHandle};
use mallowgauge_flight::answer;
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_flight::proto::{FlightDescriptor, FlightInfo, PollInfo};
use mallowgauge_router::Micros;
use serde_json::json;

use super::info::schema_of_values;
use crate::front::flight::call::{Call, CallState, OutcomeUse, PendingOutcome};
use crate::front::flight::command::Command;
use crate::front::flight::service::FlightService;
use crate::front::flight::status::{failure_status, rejection_status};
use crate::front::flight::submission::SubmitResult;
use crate::front::flight::tickets::timestamp;
use crate::front::query;

/// A poll is answered after so long, whether something has changed or not.
pub const POLL_WAIT: Micros = 1_000_000;

impl Call {
    pub fn poll_flight_info(
        &mut self,
        now: Micros,
        number: u64,
        descriptor: &FlightDescriptor,
        service: &mut FlightService,
        core: &mut Core,
    ) -> Result<(), Status> {
        let command = Command::from_descriptor(descriptor, core, &service.generate_query_id())?;
        let key =
            PolledQueryKey { user: Rc::clone(&self.head.identity.user), id: command.id.as_str().into() };
        let first = service.polled_queries.state(now, &key).is_none();
        // The query goes on between calls: its time is its class's, not the call's.
        let request = command.request(None, self.head.options.timeout, core)?;
        let effect = !core.is_idempotent(command.class);
        let spec = PolledQuerySpec { body: command.fingerprint(), effect, polled: true, made: None };
        match service.submit(now, core, number, "", key.clone(), spec, request) {
            SubmitResult::Pending(waiter) if first => {
                // The first call is answered at once, so that the client knows what to poll with.
                service.remove_waiter(waiter, core);
                self.send_poll_info(now, &key, &command, service, core);
            }
            SubmitResult::Pending(waiter) => {
                let wait = self.remaining_time(now).map_or(POLL_WAIT, |left| (left / 2).min(POLL_WAIT));
                let form = OutcomeUse::Poll(key, command);
                let (until, waiter) = (Some(now + wait), Some(waiter));
                self.state = CallState::WaitingForOutcome(PendingOutcome {
                    outcome_use: form,
                    report_at: until,
                    waiter,
                });
            }
            SubmitResult::Completed(outcome) => {
                outcome?;
                self.send_poll_info(now, &key, &command, service, core);
            }
        }
        Ok(())
    }

    /// A poll whose time has come without an outcome.
    pub fn handle_poll_timeout(&mut self, now: Micros, service: &mut FlightService, core: &mut Core) {
        let CallState::WaitingForOutcome(waiting) = &mut self.state else { return };
        if waiting.report_at.is_none_or(|until| until > now) {
            return;
        }
        let waiter = waiting.waiter.take();
        let OutcomeUse::Poll(key, command) = std::mem::replace(&mut waiting.outcome_use, OutcomeUse::Table)
        else {
            return;
        };
        waiter.into_iter().for_each(|waiter| service.remove_waiter(waiter, core));
        self.send_poll_info(now, &key, &command, service, core);
    }

    /// Says how a polled query stands, and ends the call.
    pub fn send_poll_info(
        &mut self,
        now: Micros,
        key: &PolledQueryKey,
        command: &Command,
        service: &mut FlightService,
        core: &Core,
    ) {
        let state = service.polled_queries.state(now, key);
        match service.poll_info(now, &key.user, state, command, core) {
            Ok(info) => {
                self.queue_message(now, &info);
                self.finish(&Status::new(Code::Ok, ""));
            }
            Err(status) => self.finish_with_error(now, &status),
        }
    }
}

impl FlightService {
    /// How a polled query stands.
    pub fn poll_info(
        &mut self,
        now: Micros,
        user: &str,
        state: Option<PolledState<Rc<QueryResponse>>>,
        command: &Command,
        core: &Core,
    ) -> Result<PollInfo, Status> {
        let next = FlightDescriptor::command(command.text());
        let mut info = FlightInfo {
            schema: self.schema(command.class).unwrap_or_default(),
            flight_descriptor: Some(next.clone()),
            total_records: -1,
            total_bytes: -1,
            ..FlightInfo::default()
        };
        match state {
            Some(PolledState::Running(run)) => {
                let progress = core.progress(ResponseHandle::Flight(run.0));
                let share = progress.map_or(0.0, |(done, all)| done as f64 / all.max(1) as f64);
                let until = now + self.abandoned_poll_time;
                let expiration_time = Some(timestamp(until));
                let flight_descriptor = Some(next);
                Ok(PollInfo { info: Some(info), flight_descriptor, progress: Some(share), expiration_time })
            }
            Some(PolledState::Done(answer, until)) => {
                if let Some(status) = failure_status(&answer) {
                    return Err(status);
                }
                if let QueryResponse::Ranked(ranked) = &*answer {
                    info.total_records = ranked.rows.len() as i64;
                    info.app_metadata = query::marks(ranked).to_string().into();
                    info.schema = answer::schema_message(&answer::ranked_schema()).unwrap_or_default();
                }
                if let QueryResponse::Completed { complete, values } = &*answer {
                    let rows = |value: &mallowgauge_core::Value| match value {
                        mallowgauge_core::Value::Text(_) => 1,
                        mallowgauge_core::Value::Table(table) => table.rows as i64,
                    };
                    info.total_records = values.iter().map(|(_, value)| rows(value)).sum();
                    info.total_bytes = values.iter().map(|(_, value)| value.bytes() as i64).sum();
                    info.app_metadata = json!({ "total": complete }).to_string().into();
                    info.schema = schema_of_values(values).unwrap_or_default();
                }
                info.endpoint = vec![self.issue_endpoint(now, command, user, now, true)];
                let expiration_time = Some(timestamp(until));
                Ok(PollInfo {
                    info: Some(info),
                    flight_descriptor: None,
                    progress: Some(1.0),
                    expiration_time,
                })
            }
            Some(PolledState::Cancelled) => Err(rejection_status(RejectReason::Cancelled)),
            None => Err(Status::new(Code::NotFound, "it is no longer known").because("OUTCOME_FORGOTTEN")),
        }
    }
}
