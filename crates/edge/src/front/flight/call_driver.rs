//! Drives a call: reads its request, starts its method, writes what goes out, and ends it.

use std::task::Context;

use mallowgauge_core::Core;
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_flight::proto::HealthCheckResponse;
use mallowgauge_router::Micros;

use super::call::{Call, CallState, PendingOutcome, Read};
use super::method::Method;
use super::service::FlightService;
use super::status::{draining, invalid_argument};

impl Call {
    /// Reads, begins and writes as far as the stream lets it.
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
            let CallState::BatchStream(stream) = &mut self.state else { break };
            stream.batch.bytes_read(written);
            // What the client has taken makes room for more queries.
            if written == 0 || !(stream.can_read() || stream.can_begin()) {
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

    /// Sends the health status if it is another than the one sent last.
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

    /// Reads the one request message of a method, and starts the method once it is in.
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
            Ok(Read::Pending) => return,
            Ok(Read::Message(message)) => Ok(message),
            Ok(Read::End) => Err(invalid_argument("the request is not one message")),
            Err(status) => Err(status),
        };
        self.state = CallState::Closing;
        let started = message.and_then(|message| self.start_method(now, id, method, &message, service, core));
        if let Err(status) = started {
            self.finish_with_error(now, &status);
        }
    }

    /// Withdraws this call from every query that it waits for; a query that nobody else waits for is cancelled.
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

    /// The server shuts down: a batch stream begins nothing new, and ends with `UNAVAILABLE` once all is answered.
    pub fn drain(&mut self) {
        if let CallState::BatchStream(stream) = &mut self.state {
            stream.batch.drain();
            stream.final_status = Some(draining());
        }
    }
}
