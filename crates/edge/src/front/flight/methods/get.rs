//! `DoGet`: runs the query of a ticket, or shows the outcome of a polled one.

use std::rc::Rc;

use mallowgauge_core::polled_queries::{PolledQueryKey, PolledQuerySpec, PolledState, RejectReason};
use mallowgauge_core::Core;
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_router::Micros;

use crate::front::flight::call::{Call, Waiting, Wanted, Work};
use crate::front::flight::command::Command;
use crate::front::flight::service::Office;
use crate::front::flight::status::{bad, refusal};
use crate::front::flight::submission::Submitted;

impl Call {
    pub fn get(
        &mut self,
        now: Micros,
        number: u64,
        sealed: &[u8],
        office: &mut Office,
        core: &mut Core,
    ) -> Result<(), Status> {
        let ticket = office.ticket(now, sealed, &self.head.who)?;
        let command = Command::read(&ticket.command, core, "x").map_err(|_| bad("a bad ticket"))?;
        let key = PolledQueryKey { user: Rc::clone(&self.head.who.user), id: command.id.as_str().into() };
        if ticket.polled {
            // It runs nothing: what it stands for runs, or is over.
            let outcome = match office.flights.state(now, &key) {
                Some(PolledState::Done(answer, _)) => Some(self.shown(&answer)?),
                Some(PolledState::Running(_)) => None,
                Some(PolledState::Cancelled) => return Err(refusal(RejectReason::Cancelled)),
                None => {
                    let status = Status::new(Code::NotFound, "its outcome is no longer kept");
                    return Err(status.because("OUTCOME_FORGOTTEN"));
                }
            };
            if let Some(answer) = outcome {
                self.table(now, &answer);
                return Ok(());
            }
        }
        if !core.is_idempotent(command.class) && !ticket.polled && ticket.issuer != office.issuer {
            let words = "a ticket with an effect counts only where it was made; ask for a new one";
            return Err(Status::new(Code::FailedPrecondition, words).because("OTHER_ISSUER"));
        }
        let ask = command.ask(self.left(now), self.head.options.timeout, core)?;
        let spec = PolledQuerySpec {
            body: command.fingerprint(),
            effect: !core.is_idempotent(command.class),
            polled: ticket.polled,
            made: Some(ticket.made),
        };
        match office.submit(now, core, number, "", key, spec, ask) {
            Submitted::Waiting(caller) => {
                let caller = Some(caller);
                self.work = Work::Waiting(Waiting { form: Wanted::Table, until: None, caller });
            }
            Submitted::Over(outcome) => {
                let answer = outcome.and_then(|answer| self.shown(&answer))?;
                self.table(now, &answer);
            }
        }
        Ok(())
    }
}
