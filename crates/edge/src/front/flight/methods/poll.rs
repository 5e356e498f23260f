//! `PollFlightInfo`: a query that continues between calls and reports its progress.

use std::rc::Rc;

use bytes::Bytes;
use mallowgauge_core::polled_queries::{PolledQueryKey, PolledState, RejectReason};
use mallowgauge_core::{Core, QueryResponse, ResponseHandle, Value};
use mallowgauge_flight::answer;
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_flight::proto::{FlightInfo, PollInfo};
use mallowgauge_router::Micros;
use serde_json::json;

use super::decode_descriptor;
use super::info::{schema_of_values, UNKNOWN_TOTAL};
use crate::front::flight::call::{Call, CallState, OutcomeUse, PendingOutcome};
use crate::front::flight::command::Command;
use crate::front::flight::origin::Origin;
use crate::front::flight::service::FlightService;
use crate::front::flight::status::{failure_status, rejection_status};
use crate::front::flight::submission::SubmitResult;
use crate::front::flight::tickets::timestamp;
use crate::front::query;

/// Maximum time until a poll is answered, in microseconds.
const POLL_WAIT: Micros = 1_000_000;

impl Call {
    /// `PollFlightInfo`: submits a polled query, or waits a limited time for the outcome of a running one. A descriptor
    /// that another process issued starts an idempotent query again, and never a non-idempotent one.
    ///
    /// # Errors
    /// The query is invalid, may have been executed by another process, or its outcome is a rejection or failure.
    pub fn poll_flight_info(
        &mut self,
        now: Micros,
        id: u64,
        message: &Bytes,
        service: &mut FlightService,
        core: &mut Core,
    ) -> Result<(), Status> {
        let descriptor = decode_descriptor(message)?;
        let command = Command::from_descriptor(&descriptor, core, &service.generate_query_id())?;
        let spec = service.polled_query_spec(&command, command.origin, true, core)?;
        let key =
            PolledQueryKey { user: Rc::clone(&self.head.identity.user), id: command.id.as_str().into() };
        let is_first = service.polled_queries.state(now, &key).is_none();
        // The query continues between calls, so the deadline of the command, the session or the class applies, and not
        // that of the call.
        let request = command.request(None, self.head.options.timeout, core)?;
        match service.submit(now, core, id, "", key.clone(), spec, request) {
            SubmitResult::Pending(waiter) if is_first => {
                // The first call is answered at once, so that the client learns the descriptor to poll with.
                service.remove_waiter(waiter, core);
                self.send_poll_info(now, &key, &command, service, core);
            }
            SubmitResult::Pending(waiter) => {
                let wait = self.remaining_time(now).map_or(POLL_WAIT, |left| (left / 2).min(POLL_WAIT));
                self.state = CallState::WaitingForOutcome(PendingOutcome {
                    outcome_use: OutcomeUse::Poll(key, command),
                    report_at: Some(now + wait),
                    waiter: Some(waiter),
                });
            }
            SubmitResult::Completed(outcome) => {
                outcome?;
                self.send_poll_info(now, &key, &command, service, core);
            }
        }
        Ok(())
    }

    /// Reports the state of a polled query if the wait of the call is over.
    pub fn handle_poll_timeout(&mut self, now: Micros, service: &mut FlightService, core: &mut Core) {
        let CallState::WaitingForOutcome(pending) = &mut self.state else { return };
        if pending.report_at.is_none_or(|report_at| report_at > now) {
            return;
        }
        let waiter = pending.waiter.take();
        let OutcomeUse::Poll(key, command) = std::mem::replace(&mut pending.outcome_use, OutcomeUse::Table)
        else {
            return;
        };
        if let Some(waiter) = waiter {
            service.remove_waiter(waiter, core);
        }
        self.send_poll_info(now, &key, &command, service, core);
    }

    /// Sends the state of a polled query, and ends the call.
    pub fn send_poll_info(
        &mut self,
        now: Micros,
        key: &PolledQueryKey,
        command: &Command,
        service: &mut FlightService,
        core: &Core,
    ) {
        match service.poll_info(now, key, command, core) {
            Ok(info) => self.reply(now, &info),
            Err(status) => self.finish_with_error(now, &status),
        }
    }
}

impl FlightService {
    /// Returns the state of a polled query: running with its progress, or complete with an endpoint for its outcome.
    /// The descriptor to poll with names this process and when the query was created.
    fn poll_info(
        &mut self,
        now: Micros,
        key: &PolledQueryKey,
        command: &Command,
        core: &Core,
    ) -> Result<PollInfo, Status> {
        let state = self.polled_queries.state(now, key);
        let created_at = self.polled_queries.created_at(key).unwrap_or(now);
        let next = command.poll_descriptor(Origin { issuer: self.issuer, created_at });
        let mut info = FlightInfo {
            schema: self.schema(command.class).unwrap_or_default(),
            flight_descriptor: Some(next.clone()),
            total_records: UNKNOWN_TOTAL,
            total_bytes: UNKNOWN_TOTAL,
            ..FlightInfo::default()
        };
        match state {
            Some(PolledState::Running(run)) => {
                let progress = core.progress(ResponseHandle::Flight(run.0));
                let fraction = progress.map_or(0.0, |(received, all)| received as f64 / all.max(1) as f64);
                Ok(PollInfo {
                    info: Some(info),
                    flight_descriptor: Some(next),
                    progress: Some(fraction),
                    expiration_time: Some(timestamp(now + self.abandoned_poll_time)),
                })
            }
            Some(PolledState::Done(response, kept_until)) => {
                if let Some(status) = failure_status(&response) {
                    return Err(status);
                }
                describe_response(&mut info, &response);
                info.endpoint = vec![self.issue_endpoint(now, command, &key.user, created_at, true)];
                Ok(PollInfo {
                    info: Some(info),
                    flight_descriptor: None,
                    progress: Some(1.0),
                    expiration_time: Some(timestamp(kept_until)),
                })
            }
            Some(PolledState::Cancelled) => Err(rejection_status(RejectReason::Cancelled)),
            None => {
                Err(Status::new(Code::NotFound, "it is no longer known").with_reason("OUTCOME_FORGOTTEN"))
            }
        }
    }
}

/// Sets schema, totals and metadata from a response.
fn describe_response(info: &mut FlightInfo, response: &QueryResponse) {
    match response {
        QueryResponse::Ranked(ranked) => {
            info.total_records = ranked.rows.len() as i64;
            info.app_metadata = query::ranked_summary(ranked).to_string().into();
            info.schema = answer::schema_message(&answer::ranked_schema()).unwrap_or_default();
        }
        QueryResponse::Completed { complete, values } => {
            info.total_records = values.iter().map(|(_, value)| row_count(value)).sum();
            info.total_bytes = values.iter().map(|(_, value)| value.bytes() as i64).sum();
            info.app_metadata = json!({ "total": complete }).to_string().into();
            info.schema = schema_of_values(values).unwrap_or_default();
        }
        QueryResponse::Rejected { .. } | QueryResponse::Failed(_) => {}
    }
}

fn row_count(value: &Value) -> i64 {
    match value {
        Value::Text(_) => 1,
        Value::Table(table) => table.rows as i64,
    }
}
