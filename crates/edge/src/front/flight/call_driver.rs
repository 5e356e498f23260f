//! Drives a call: reads its request, starts its method, writes what goes out, and ends it.

use std::task::Context;

use mallowgauge_core::Core;
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_flight::proto::HealthCheckResponse;
use mallowgauge_router::Micros;

use super::call::{Call, CallState, PendingOutcome, Read};
use super::method::Method;
use super::service::FlightService;
use super::status::invalid_argument;

impl Call {
    /// Goes on as far as it can.
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
            CallState::BatchStream(_) => {
                if let Err(status) = self.drive_batch(now, id, context, service, core) {
                    self.abandon_queries(service, core);
                    self.finish_with_error(now, &status);
                }
            }
            CallState::HealthWatch(told) if told != service.health_status() => {
                self.state = CallState::HealthWatch(service.health_status());
                self.queue_message(now, &HealthCheckResponse { status: service.health_status() });
                if service.draining {
                    self.finish(&Status::new(Code::Unavailable, "this gatherer ends"));
                }
            }
            _ => {}
        }
        if !self.is_finished() && self.is_reset(context) {
            self.abandon_queries(service, core);
            self.reset(h2::Reason::CANCEL);
        }
        loop {
            let written = self.write(now, context);
            let CallState::BatchStream(long) = &mut self.state else { break };
            long.batch.taken(written);
            // What was taken makes room for more queries.
            if written == 0 || !(long.can_read() || long.can_begin()) {
                break;
            }
            if let Err(status) = self.drive_batch(now, id, context, service, core) {
                self.abandon_queries(service, core);
                self.finish_with_error(now, &status);
            }
        }
    }

    pub fn read_request(
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
        let begun = message.and_then(|message| self.start_method(now, id, method, &message, service, core));
        if let Err(status) = begun {
            self.finish_with_error(now, &status);
        }
    }

    /// Nobody waits for what this call has asked any more.
    pub fn abandon_queries(&mut self, service: &mut FlightService, core: &mut Core) {
        match &mut self.state {
            CallState::WaitingForOutcome(PendingOutcome { waiter, .. }) => {
                waiter.take().into_iter().for_each(|waiter| service.remove_waiter(waiter, core));
            }
            CallState::BatchStream(long) => {
                for (_, waiter) in long.batch.abort() {
                    service.remove_waiter(waiter, core);
                }
                long.queue.clear();
            }
            _ => {}
        }
    }

    /// The program ends.
    pub fn drain(&mut self) {
        if let CallState::BatchStream(long) = &mut self.state {
            long.batch.drain();
            long.final_status =
                Some(Status::new(Code::Unavailable, "this gatherer ends").because("DRAINING").retry(1));
        }
    }
}
