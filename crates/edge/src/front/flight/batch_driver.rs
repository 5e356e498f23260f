//! Drives a call that carries many queries: reads, starts and cancels them.
//!
//! `mallowgauge_core::query_stream` decides how many may be open at once, and when the stream ends.

use std::rc::Rc;
use std::task::Context;

use mallowgauge_core::polled_queries::{CancelResult, PolledQueryKey, RejectReason, RunId, WaiterId};
use mallowgauge_core::query_stream::{QueryStreamPhase, QueryStreamRejection};
use mallowgauge_core::{Core, ResponseHandle};
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_router::Micros;
use serde_json::Value;

use super::batch_stream::BatchMessage;
use super::call::{Call, CallState, ReadResult};
use super::command::Command;
use super::service::FlightService;
use super::status::{draining, rejection_status};
use super::submission::SubmitResult;

/// Queries of one stream that are started before other calls are driven.
const MAX_CONSECUTIVE_STARTS: usize = 16;
/// The waiter of a tag whose query has not been submitted yet.
const NOT_SUBMITTED: WaiterId = WaiterId(0);

impl Call {
    /// Reads messages from a batch stream, and starts queries as far as the stream's limits allow.
    ///
    /// # Errors
    /// The status that the stream has to end with.
    pub fn drive_batch(
        &mut self,
        now: Micros,
        id: u64,
        context: &mut Context<'_>,
        service: &mut FlightService,
        core: &mut Core,
    ) -> Result<(), Status> {
        let mut starts_left = MAX_CONSECUTIVE_STARTS;
        loop {
            let CallState::BatchStream(stream) = &mut self.state else { return Ok(()) };
            if stream.can_start() {
                if !service.may_start_queries(id, core) {
                    break;
                }
                if starts_left == 0 {
                    // The connection is driven again, within its turn or in the next one.
                    context.waker().wake_by_ref();
                    break;
                }
                starts_left -= 1;
                let Some(message) = stream.next_message() else { return Ok(()) };
                match message {
                    BatchMessage::Query(tag, text) => {
                        let value = stream.parse_query(&text);
                        self.start_query(now, id, tag, value, service, core)?;
                    }
                    BatchMessage::Cancel(tag) => self.cancel_query(now, &tag, service, core),
                }
                continue;
            }
            if !stream.can_read() {
                break;
            }
            match self.read(now, context)? {
                ReadResult::Pending => break,
                ReadResult::Message(message) => {
                    let CallState::BatchStream(stream) = &mut self.state else { return Ok(()) };
                    stream.receive(message)?;
                }
                ReadResult::End => {
                    let CallState::BatchStream(stream) = &mut self.state else { return Ok(()) };
                    stream.input_ended();
                    break;
                }
            }
        }
        let CallState::BatchStream(stream) = &mut self.state else { return Ok(()) };
        if stream.batch.phase() == QueryStreamPhase::Over && stream.queue.is_empty() {
            let status = stream.final_status.take().unwrap_or_else(|| Status::new(Code::Ok, ""));
            self.finish(&status);
        }
        Ok(())
    }

    /// Cancels the query of a tag. A non-idempotent query that was possibly executed continues, and its outcome will
    /// be delivered.
    fn cancel_query(&mut self, now: Micros, tag: &String, service: &mut FlightService, core: &mut Core) {
        let user = Rc::clone(&self.head.identity.user);
        let CallState::BatchStream(stream) = &mut self.state else { return };
        let Some(waiter) = stream.batch.find(tag) else { return };
        let Some(target) = service.waiters.get(&waiter) else { return };
        let key = PolledQueryKey { user, id: Rc::clone(&target.id) };
        let possibly_executed = |run: RunId| core.possibly_executed(ResponseHandle::Flight(run.0));
        match service.polled_queries.cancel(now, &key, possibly_executed) {
            CancelResult::Cancelled(run, waiters) => {
                service.cancel_run(run, core);
                service.queue_outcome(waiters, &Err(rejection_status(RejectReason::Cancelled)));
            }
            CancelResult::Unknown => service.cancel_unshared_runs(&key, core),
            CancelResult::AlreadyCancelled | CancelResult::TooLate => {}
        }
    }

    /// Starts one query of a batch stream. If it cannot start, the error is sent under its tag.
    ///
    /// # Errors
    /// The tag belongs to an open query, which ends the stream.
    fn start_query(
        &mut self,
        now: Micros,
        call: u64,
        tag: String,
        value: Result<Value, Status>,
        service: &mut FlightService,
        core: &mut Core,
    ) -> Result<(), Status> {
        let CallState::BatchStream(stream) = &mut self.state else { return Ok(()) };
        // The tag is registered before the query is submitted, because the outcome may be known at once.
        match stream.batch.begin(tag.clone(), NOT_SUBMITTED) {
            Ok(()) => {}
            Err(QueryStreamRejection::TagInUse) => {
                let status = Status::new(Code::AlreadyExists, "the tag stands for an open query");
                return Err(status.with_reason("TAG_IN_USE"));
            }
            Err(QueryStreamRejection::Closed) => {
                self.deliver(now, &tag, "", Err(draining()), service, core);
                return Ok(());
            }
        }
        let id = service.generate_query_id();
        let command = match value.and_then(|value| Command::from_value(value, core, &id)) {
            Ok(command) => command,
            Err(status) => {
                self.deliver(now, &tag, "", Err(status), service, core);
                return Ok(());
            }
        };
        let submitted = self.submit_command(now, call, &tag, &command, service, core);
        match submitted {
            Ok(SubmitResult::Pending(waiter)) => {
                if let CallState::BatchStream(stream) = &mut self.state {
                    stream.batch.set_call(&tag, waiter);
                }
            }
            Ok(SubmitResult::Completed(outcome)) => {
                self.deliver(now, &tag, &command.id, outcome, service, core);
            }
            Err(status) => self.deliver(now, &tag, &command.id, Err(status), service, core),
        }
        Ok(())
    }

    fn submit_command(
        &self,
        now: Micros,
        call: u64,
        tag: &str,
        command: &Command,
        service: &mut FlightService,
        core: &mut Core,
    ) -> Result<SubmitResult, Status> {
        let request = command.request(self.remaining_time(now), self.head.options.timeout, core)?;
        let user = Rc::clone(&self.head.identity.user);
        let key = PolledQueryKey { user, id: command.id.as_str().into() };
        let spec = service.polled_query_spec(command, command.origin, false, core)?;
        Ok(service.submit(now, core, call, tag, key, spec, request))
    }
}
