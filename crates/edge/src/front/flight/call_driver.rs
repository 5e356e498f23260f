//! Drives a call: reads its request, starts its method, writes its output, and ends it.

use std::task::Context;

use mallowgauge_core::Core;
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_flight::proto::HealthCheckResponse;
use mallowgauge_router::Micros;

use super::call::{Call, CallState, PendingOutcome, ReadResult};
use super::method::Method;
use super::service::FlightService;
use super::status::{draining, invalid_argument};

impl Call {
    /// Reads, starts queries and writes until the stream blocks.
    pub fn drive(
        &mut self,
        now: Micros,
        id: u64,
        context: &mut Context<'_>,
        service: &mut FlightService,
        core: &mut Core,
    ) {
        match self.state {
            CallState::Request(method) => self.read_request(now, id, method, context, service, core),
            CallState::BatchStream(_) => self.drive_batch_or_fail(now, id, context, service, core),
            CallState::HealthWatch(reported) => self.report_health_change(now, reported, service),
            CallState::WaitingForOutcome(_) | CallState::Closing => {}
        }
        if !self.is_finished() && self.is_reset(context) {
            self.abandon_queries(service, core);
            self.reset(h2::Reason::CANCEL);
        }
        loop {
            let written = self.write(now, context);
            let is_all_written = self.is_output_written();
            let CallState::BatchStream(stream) = &mut self.state else { break };
            stream.batch.bytes_read(written);
            if is_all_written {
                stream.batch.all_bytes_read();
            }
            // As the client reads its responses, the backlog shrinks and more queries may start.
            if written == 0 || !(stream.can_read() || stream.can_start()) {
                break;
            }
            self.drive_batch_or_fail(now, id, context, service, core);
        }
    }

    fn drive_batch_or_fail(
        &mut self,
        now: Micros,
        id: u64,
        context: &mut Context<'_>,
        service: &mut FlightService,
        core: &mut Core,
    ) {
        if let Err(status) = self.drive_batch(now, id, context, service, core) {
            self.abandon_queries(service, core);
            self.finish_with_error(now, &status);
        }
    }

    /// Sends the health status if it differs from the last one sent.
    fn report_health_change(&mut self, now: Micros, reported: i32, service: &FlightService) {
        let status = service.health_status();
        if reported == status {
            return;
        }
        self.state = CallState::HealthWatch(status);
        self.queue_message(now, &HealthCheckResponse { status });
        if service.draining {
            self.finish(&Status::new(Code::Unavailable, "this gatherer ends"));
        }
    }

    /// Reads the one request message of a method, and starts the method once it is complete.
    fn read_request(
        &mut self,
        now: Micros,
        id: u64,
        method: Method,
        context: &mut Context<'_>,
        service: &mut FlightService,
        core: &mut Core,
    ) {
        let message = match self.read(now, context) {
            Ok(ReadResult::Pending) => return,
            Ok(ReadResult::Message(message)) => Ok(message),
            Ok(ReadResult::End) => Err(invalid_argument("the request is not one message")),
            Err(status) => Err(status),
        };
        self.state = CallState::Closing;
        let started = message.and_then(|message| self.start_method(now, id, method, &message, service, core));
        if let Err(status) = started {
            self.finish_with_error(now, &status);
        }
    }

    /// Withdraws this call from every query that it waits for. A query without other waiters is cancelled, unless it
    /// is non-idempotent or polled.
    pub fn abandon_queries(&mut self, service: &mut FlightService, core: &mut Core) {
        match &mut self.state {
            CallState::WaitingForOutcome(PendingOutcome { waiter, .. }) => {
                if let Some(waiter) = waiter.take() {
                    service.remove_waiter(waiter, core);
                }
            }
            CallState::BatchStream(stream) => {
                for (_, waiter) in stream.batch.abort() {
                    service.remove_waiter(waiter, core);
                }
                stream.queue.clear();
            }
            _ => {}
        }
    }

    /// Drains a batch stream when the server shuts down: it starts no more queries, and ends with `UNAVAILABLE` once
    /// its open queries are answered.
    pub fn drain(&mut self) {
        if let CallState::BatchStream(stream) = &mut self.state {
            stream.batch.drain();
            stream.final_status = Some(draining());
        }
    }
}
