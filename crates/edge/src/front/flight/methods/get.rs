//! `DoGet`: runs the query of a ticket, or shows the outcome of a polled one.

use std::rc::Rc;

use mallowgauge_core::polled_queries::{PolledQueryKey, PolledQuerySpec, PolledState, RejectReason};
use mallowgauge_core::Core;
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_router::Micros;

use crate::front::flight::call::{Call, CallState, OutcomeUse, PendingOutcome};
use crate::front::flight::command::Command;
use crate::front::flight::service::FlightService;
use crate::front::flight::status::{invalid_argument, rejection_status};
use crate::front::flight::submission::SubmitResult;

impl Call {
    pub fn do_get(
        &mut self,
        now: Micros,
        number: u64,
        sealed: &[u8],
        service: &mut FlightService,
        core: &mut Core,
    ) -> Result<(), Status> {
        let ticket = service.open_ticket(now, sealed, &self.head.identity)?;
        let command =
            Command::from_json(&ticket.command, core, "x").map_err(|_| invalid_argument("a bad ticket"))?;
        let key =
            PolledQueryKey { user: Rc::clone(&self.head.identity.user), id: command.id.as_str().into() };
        if ticket.polled {
            // It runs nothing: what it stands for runs, or is over.
            let outcome = match service.polled_queries.state(now, &key) {
                Some(PolledState::Done(answer, _)) => Some(self.checked_response(&answer)?),
                Some(PolledState::Running(_)) => None,
                Some(PolledState::Cancelled) => return Err(rejection_status(RejectReason::Cancelled)),
                None => {
                    let status = Status::new(Code::NotFound, "its outcome is no longer kept");
                    return Err(status.because("OUTCOME_FORGOTTEN"));
                }
            };
            if let Some(answer) = outcome {
                self.send_table(now, &answer);
                return Ok(());
            }
        }
        if !core.is_idempotent(command.class) && !ticket.polled && ticket.issuer != service.issuer {
            let words = "a ticket with an effect counts only where it was made; ask for a new one";
            return Err(Status::new(Code::FailedPrecondition, words).because("OTHER_ISSUER"));
        }
        let request = command.request(self.remaining_time(now), self.head.options.timeout, core)?;
        let spec = PolledQuerySpec {
            body: command.fingerprint(),
            effect: !core.is_idempotent(command.class),
            polled: ticket.polled,
            made: Some(ticket.made),
        };
        match service.submit(now, core, number, "", key, spec, request) {
            SubmitResult::Pending(waiter) => {
                let waiter = Some(waiter);
                self.state = CallState::WaitingForOutcome(PendingOutcome {
                    outcome_use: OutcomeUse::Table,
                    report_at: None,
                    waiter,
                });
            }
            SubmitResult::Completed(outcome) => {
                let answer = outcome.and_then(|answer| self.checked_response(&answer))?;
                self.send_table(now, &answer);
            }
        }
        Ok(())
    }
}
