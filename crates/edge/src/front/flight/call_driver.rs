//! Drives a call: reads its request, starts its method, writes what goes out, and ends it.

use std::task::Context;

use mallowgauge_core::Core;
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_flight::proto::HealthCheckResponse;
use mallowgauge_router::Micros;

use super::call::{Call, Read, Waiting, Work};
use super::method::Method;
use super::service::Office;
use super::status::bad;

impl Call {
    /// Goes on as far as it can.
    pub fn drive(
        &mut self,
        now: Micros,
        id: u64,
        cx: &mut Context<'_>,
        office: &mut Office,
        core: &mut Core,
    ) {
        match self.work {
            Work::Request(method) => self.request(now, id, method, cx, office, core),
            Work::Long(_) => {
                if let Err(status) = self.long(now, id, cx, office, core) {
                    self.abandon(office, core);
                    self.fail(now, &status);
                }
            }
            Work::Watch(told) if told != office.health() => {
                self.work = Work::Watch(office.health());
                self.message(now, &HealthCheckResponse { status: office.health() });
                if office.draining {
                    self.end(&Status::new(Code::Unavailable, "this gatherer ends"));
                }
            }
            _ => {}
        }
        if !self.is_over() && self.is_reset(cx) {
            self.abandon(office, core);
            self.reset(h2::Reason::CANCEL);
        }
        loop {
            let written = self.write(now, cx);
            let Work::Long(long) = &mut self.work else { break };
            long.batch.taken(written);
            // What was taken makes room for more queries.
            if written == 0 || !(long.reads() || long.begins()) {
                break;
            }
            if let Err(status) = self.long(now, id, cx, office, core) {
                self.abandon(office, core);
                self.fail(now, &status);
            }
        }
    }

    pub fn request(
        &mut self,
        now: Micros,
        id: u64,
        method: Method,
        cx: &mut Context<'_>,
        office: &mut Office,
        core: &mut Core,
    ) {
        let message = match self.read(now, cx) {
            Ok(Read::Pending) => return,
            Ok(Read::Message(message)) => Ok(message),
            Ok(Read::End) => Err(bad("the request is not one message")),
            Err(status) => Err(status),
        };
        self.work = Work::Ending;
        let begun = message.and_then(|message| self.start(now, id, method, &message, office, core));
        if let Err(status) = begun {
            self.fail(now, &status);
        }
    }

    /// Nobody waits for what this call has asked any more.
    pub fn abandon(&mut self, office: &mut Office, core: &mut Core) {
        match &mut self.work {
            Work::Waiting(Waiting { caller, .. }) => {
                caller.take().into_iter().for_each(|caller| office.leave(caller, core));
            }
            Work::Long(long) => {
                for (_, caller) in long.batch.abort() {
                    office.leave(caller, core);
                }
                long.queue.clear();
            }
            _ => {}
        }
    }

    /// The program ends.
    pub fn drain(&mut self) {
        if let Work::Long(long) = &mut self.work {
            long.batch.drain();
            long.last =
                Some(Status::new(Code::Unavailable, "this gatherer ends").because("DRAINING").retry(1));
        }
    }
}
