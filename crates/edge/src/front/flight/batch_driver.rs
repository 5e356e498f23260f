//! Drives a call that carries many queries: begins those that may begin, and cancels.

use std::rc::Rc;
use std::task::Context;

use mallowgauge_core::batch::{Phase, Why as BatchError};
use mallowgauge_core::polled_queries::{
    CancelResult, PolledQueryKey, PolledQuerySpec, RejectReason, RunId, WaiterId,
};
use mallowgauge_core::{Core, ResponseHandle};
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_router::Micros;

use super::batch_stream::BatchMessage;
use super::call::{Call, CallState, Read};
use super::command::Command;
use super::service::FlightService;
use super::status::rejection_status;
use super::submission::SubmitResult;

impl Call {
    /// Reads queries off a long stream and begins those that may begin.
    pub fn drive_batch(
        &mut self,
        now: Micros,
        id: u64,
        context: &mut Context<'_>,
        service: &mut FlightService,
        core: &mut Core,
    ) -> Result<(), Status> {
        loop {
            let CallState::BatchStream(long) = &mut self.state else { return Ok(()) };
            if long.can_begin() {
                let Some(said) = long.queue.pop_front() else { return Ok(()) };
                self.begin_query(now, id, said, service, core)?;
                continue;
            }
            if !long.can_read() {
                break;
            }
            match self.read(now, context)? {
                Read::Pending => break,
                Read::Message(message) => {
                    let CallState::BatchStream(long) = &mut self.state else { return Ok(()) };
                    long.receive(message)?;
                }
                Read::End => {
                    let CallState::BatchStream(long) = &mut self.state else { return Ok(()) };
                    long.input_ended(true);
                    break;
                }
            }
        }
        let CallState::BatchStream(long) = &mut self.state else { return Ok(()) };
        if long.batch.phase() == Phase::Over && long.queue.is_empty() {
            let status = long.final_status.take().unwrap_or_else(|| Status::new(Code::Ok, ""));
            self.finish(&status);
        }
        Ok(())
    }

    /// Begins one query of a long stream, or cancels one.
    pub fn begin_query(
        &mut self,
        now: Micros,
        call: u64,
        said: BatchMessage,
        service: &mut FlightService,
        core: &mut Core,
    ) -> Result<(), Status> {
        let left = self.remaining_time(now);
        let options = self.head.options;
        let user = Rc::clone(&self.head.identity.user);
        let CallState::BatchStream(long) = &mut self.state else { return Ok(()) };
        let (tag, value) = match said {
            BatchMessage::Query(tag, value) => (tag, value),
            BatchMessage::Cancel(tag) => {
                if let Some(waiter) = long.batch.find(&tag) {
                    let key = service
                        .waiters
                        .get(&waiter)
                        .map(|place| PolledQueryKey { user, id: Rc::clone(&place.id) });
                    // One with an effect that may have run is not cancelled: its outcome will come.
                    let possibly_executed =
                        |run: RunId| core.possibly_executed(ResponseHandle::Flight(run.0));
                    let cancel =
                        key.as_ref().map(|key| service.polled_queries.cancel(now, key, possibly_executed));
                    match (cancel, key) {
                        (Some(CancelResult::Cancelled(run, waiters)), _) => {
                            service.cancel_run(run, core);
                            service.queue_outcome(waiters, &Err(rejection_status(RejectReason::Cancelled)));
                        }
                        (Some(CancelResult::Unknown), Some(key)) => service.cancel_unshared_runs(&key, core),
                        _ => {}
                    }
                }
                return Ok(());
            }
        };
        let over = |call: &mut Self, id: &str, outcome, service: &mut FlightService, core: &Core| {
            call.deliver(now, &tag, id, outcome, service, core);
        };
        // The tag is taken first, so that its answer finds it.
        match long.batch.begin(tag.clone(), WaiterId(0)) {
            Ok(()) => {}
            Err(BatchError::Busy) => {
                let status = Status::new(Code::AlreadyExists, "the tag stands for an open query");
                return Err(status.because("TAG_IN_USE"));
            }
            Err(BatchError::Closed) => {
                let status =
                    Status::new(Code::Unavailable, "this gatherer ends").because("DRAINING").retry(1);
                over(self, "", Err(status), service, core);
                return Ok(());
            }
        }
        let command = match Command::from_value(value, core, &service.generate_query_id()) {
            Ok(command) => command,
            Err(status) => {
                over(self, "", Err(status), service, core);
                return Ok(());
            }
        };
        let request = match command.request(left, options.timeout, core) {
            Ok(request) => request,
            Err(status) => {
                over(self, &command.id, Err(status), service, core);
                return Ok(());
            }
        };
        let key = PolledQueryKey { user, id: command.id.as_str().into() };
        let effect = !core.is_idempotent(command.class);
        let spec = PolledQuerySpec { body: command.fingerprint(), effect, polled: false, made: None };
        match service.submit(now, core, call, &tag, key, spec, request) {
            SubmitResult::Pending(waiter) => {
                if let CallState::BatchStream(long) = &mut self.state {
                    long.batch.known(&tag, waiter);
                }
            }
            SubmitResult::Completed(outcome) => over(self, &command.id, outcome, service, core),
        }
        Ok(())
    }
}
