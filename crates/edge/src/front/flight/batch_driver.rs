//! Drives a call that carries many queries: begins those that may begin, and cancels.

use std::rc::Rc;
use std::task::Context;

use mallowgauge_core::batch::{Phase, Why as Busy};
use mallowgauge_core::polled_queries::{
    CancelResult, PolledQueryKey, PolledQuerySpec, RejectReason, RunId, WaiterId,
};
use mallowgauge_core::{Core, ResponseHandle};
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_router::Micros;

use super::batch_stream::Said;
use super::call::{Call, Read, Work};
use super::command::Command;
use super::service::Office;
use super::status::refusal;
use super::submission::Submitted;

impl Call {
    /// Reads queries off a long stream and begins those that may begin.
    pub fn long(
        &mut self,
        now: Micros,
        id: u64,
        cx: &mut Context<'_>,
        office: &mut Office,
        core: &mut Core,
    ) -> Result<(), Status> {
        loop {
            let Work::Long(long) = &mut self.work else { return Ok(()) };
            if long.begins() {
                let Some(said) = long.queue.pop_front() else { return Ok(()) };
                self.begin(now, id, said, office, core)?;
                continue;
            }
            if !long.reads() {
                break;
            }
            match self.read(now, cx)? {
                Read::Pending => break,
                Read::Message(message) => {
                    let Work::Long(long) = &mut self.work else { return Ok(()) };
                    long.take(message)?;
                }
                Read::End => {
                    let Work::Long(long) = &mut self.work else { return Ok(()) };
                    long.settle(true);
                    break;
                }
            }
        }
        let Work::Long(long) = &mut self.work else { return Ok(()) };
        if long.batch.phase() == Phase::Over && long.queue.is_empty() {
            let status = long.last.take().unwrap_or_else(|| Status::new(Code::Ok, ""));
            self.end(&status);
        }
        Ok(())
    }

    /// Begins one query of a long stream, or cancels one.
    pub fn begin(
        &mut self,
        now: Micros,
        call: u64,
        said: Said,
        office: &mut Office,
        core: &mut Core,
    ) -> Result<(), Status> {
        let left = self.left(now);
        let options = self.head.options;
        let user = Rc::clone(&self.head.who.user);
        let Work::Long(long) = &mut self.work else { return Ok(()) };
        let (tag, value) = match said {
            Said::Query(tag, value) => (tag, value),
            Said::Cancel(tag) => {
                if let Some(caller) = long.batch.find(&tag) {
                    let key = office
                        .callers
                        .get(&caller)
                        .map(|place| PolledQueryKey { user, id: Rc::clone(&place.id) });
                    // One with an effect that may have run is not cancelled: its outcome will come.
                    let touched = |run: RunId| core.possibly_executed(ResponseHandle::Flight(run.0));
                    let cancel = key.as_ref().map(|key| office.flights.cancel(now, key, touched));
                    match (cancel, key) {
                        (Some(CancelResult::Cancelled(run, callers)), _) => {
                            office.give_up(run, core);
                            office.tell(callers, &Err(refusal(RejectReason::Cancelled)));
                        }
                        (Some(CancelResult::Unknown), Some(key)) => office.cancel_plain(&key, core),
                        _ => {}
                    }
                }
                return Ok(());
            }
        };
        let over = |call: &mut Self, id: &str, outcome, office: &mut Office, core: &Core| {
            call.deliver(now, &tag, id, outcome, office, core);
        };
        // The tag is taken first, so that its answer finds it.
        match long.batch.begin(tag.clone(), WaiterId(0)) {
            Ok(()) => {}
            Err(Busy::Busy) => {
                let status = Status::new(Code::AlreadyExists, "the tag stands for an open query");
                return Err(status.because("TAG_IN_USE"));
            }
            Err(Busy::Closed) => {
                let status =
                    Status::new(Code::Unavailable, "this gatherer ends").because("DRAINING").retry(1);
                over(self, "", Err(status), office, core);
                return Ok(());
            }
        }
        let command = match Command::from_value(value, core, &office.fresh()) {
            Ok(command) => command,
            Err(status) => {
                over(self, "", Err(status), office, core);
                return Ok(());
            }
        };
        let ask = match command.ask(left, options.timeout, core) {
            Ok(ask) => ask,
            Err(status) => {
                over(self, &command.id, Err(status), office, core);
                return Ok(());
            }
        };
        let key = PolledQueryKey { user, id: command.id.as_str().into() };
        let effect = !core.is_idempotent(command.class);
        let spec = PolledQuerySpec { body: command.fingerprint(), effect, polled: false, made: None };
        match office.submit(now, core, call, &tag, key, spec, ask) {
            Submitted::Waiting(caller) => {
                if let Work::Long(long) = &mut self.work {
                    long.batch.known(&tag, caller);
                }
            }
            Submitted::Over(outcome) => over(self, &command.id, outcome, office, core),
        }
        Ok(())
    }
}
