//! Drives a call that carries many queries: reads them, begins those that may begin, and cancels.
//!
//! How many may be open at once, and when the stream is over, is decided in `mallowgauge_core::query_stream`.

use std::rc::Rc;
use std::task::Context;

use mallowgauge_core::polled_queries::{
    CancelResult, PolledQueryKey, PolledQuerySpec, RejectReason, RunId, WaiterId,
};
use mallowgauge_core::query_stream::{QueryStreamPhase, QueryStreamRejection as BatchError};
use mallowgauge_core::{Core, ResponseHandle};
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_router::Micros;
use serde_json::Value;

use super::batch_stream::BatchMessage;
use super::call::{Call, CallState, Read};
use super::command::Command;
use super::service::FlightService;
use super::status::{draining, rejection_status};
use super::submission::SubmitResult;

/// Stands for the query of a tag until the query has been submitted.
const NOT_SUBMITTED: WaiterId = WaiterId(0);

impl Call {
    /// Reads messages off a batch stream and begins the queries that may begin.
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
        loop {
            let CallState::BatchStream(stream) = &mut self.state else { return Ok(()) };
            if stream.can_begin() {
                let Some(message) = stream.queue.pop_front() else { return Ok(()) };
                match message {
                    BatchMessage::Query(tag, value) => {
                        self.begin_query(now, id, tag, value, service, core)?;
                    }
                    BatchMessage::Cancel(tag) => self.cancel_query(now, &tag, service, core),
                }
                continue;
            }
            if !stream.can_read() {
                break;
            }
            match self.read(now, context)? {
                Read::Pending => break,
                Read::Message(message) => {
                    let CallState::BatchStream(stream) = &mut self.state else { return Ok(()) };
                    stream.receive(message)?;
                }
                Read::End => {
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

    /// Cancels the query of a tag. One that may have been executed and is not idempotent goes on: its outcome will come.
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

    /// Begins one query of a batch stream. A query that cannot begin is answered under its tag.
    ///
    /// # Errors
    /// The tag stands for an open query: the stream ends.
    fn begin_query(
        &mut self,
        now: Micros,
        call: u64,
        tag: String,
        value: Value,
        service: &mut FlightService,
        core: &mut Core,
    ) -> Result<(), Status> {
        let CallState::BatchStream(stream) = &mut self.state else { return Ok(()) };
        // The tag is taken first, so that its answer finds it.
        match stream.batch.begin(tag.clone(), NOT_SUBMITTED) {
            Ok(()) => {}
            Err(BatchError::TagInUse) => {
                let status = Status::new(Code::AlreadyExists, "the tag stands for an open query");
                return Err(status.with_reason("TAG_IN_USE"));
            }
            Err(BatchError::Closed) => {
                self.deliver(now, &tag, "", Err(draining()), service, core);
                return Ok(());
            }
        }
        let command = match Command::from_value(value, core, &service.generate_query_id()) {
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
        let effect = !core.is_idempotent(command.class);
        let spec = PolledQuerySpec {
            request_hash: command.fingerprint(),
            non_idempotent: effect,
            polled: false,
            ticket_created_at: None,
        };
        Ok(service.submit(now, core, call, tag, key, spec, request))
    }
}
