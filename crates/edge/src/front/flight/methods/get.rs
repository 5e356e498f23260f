//! `DoGet`: runs the query of a ticket, or sends the outcome of a polled one.

use std::rc::Rc;

use bytes::Bytes;
use mallowgauge_core::polled_queries::{PolledQueryKey, PolledState, RejectReason};
use mallowgauge_core::{Core, QueryResponse};
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_flight::proto::Ticket;
use mallowgauge_router::Micros;

use super::decode;
use crate::front::flight::call::{Call, CallState, OutcomeUse, PendingOutcome};
use crate::front::flight::command::{Command, UNUSED_ID};
use crate::front::flight::origin::{Origin, OtherIssuer, OTHER_ISSUER};
use crate::front::flight::service::FlightService;
use crate::front::flight::status::{invalid_argument, rejection_status};
use crate::front::flight::submission::SubmitResult;

impl Call {
    /// `DoGet`: submits the query of a ticket, and sends its response as a table.
    ///
    /// # Errors
    /// The ticket is not valid here, or its query is rejected, failed, cancelled or forgotten.
    pub fn do_get(
        &mut self,
        now: Micros,
        id: u64,
        message: &Bytes,
        service: &mut FlightService,
        core: &mut Core,
    ) -> Result<(), Status> {
        let Ticket { ticket: signed } = decode(message, "this is no ticket")?;
        let ticket = service.open_ticket(now, &signed, &self.head.identity)?;
        let command = Command::from_json(&ticket.command, core, UNUSED_ID)
            .map_err(|_| invalid_argument("a bad ticket"))?;
        let key =
            PolledQueryKey { user: Rc::clone(&self.head.identity.user), id: command.id.as_str().into() };
        let origin = Some(Origin::of_ticket(&ticket));
        let spec =
            service.polled_query_spec(&command, origin, ticket.polled, core).map_err(|OtherIssuer| {
                let reason = "a ticket with an effect counts only where it was made; ask for a new one";
                Status::new(Code::FailedPrecondition, reason).with_reason(OTHER_ISSUER)
            })?;
        if ticket.polled {
            if let Some(response) = polled_outcome(now, &key, service)? {
                let response = self.checked_response(&response)?;
                self.send_table(now, &response);
                return Ok(());
            }
        }
        let request = command.request(self.remaining_time(now), self.head.options.timeout, core)?;
        match service.submit(now, core, id, "", key, spec, request) {
            SubmitResult::Pending(waiter) => {
                self.state = CallState::WaitingForOutcome(PendingOutcome {
                    outcome_use: OutcomeUse::Table,
                    report_at: None,
                    waiter: Some(waiter),
                });
            }
            SubmitResult::Completed(outcome) => {
                let response = outcome.and_then(|response| self.checked_response(&response))?;
                self.send_table(now, &response);
            }
        }
        Ok(())
    }
}

/// Returns the response of a polled query; `None` while it runs. The ticket of a polled query does not run it again.
fn polled_outcome(
    now: Micros,
    key: &PolledQueryKey,
    service: &mut FlightService,
) -> Result<Option<Rc<QueryResponse>>, Status> {
    match service.polled_queries.state(now, key) {
        Some(PolledState::Done(response, _)) => Ok(Some(response)),
        Some(PolledState::Running(_)) => Ok(None),
        Some(PolledState::Cancelled) => Err(rejection_status(RejectReason::Cancelled)),
        None => {
            let status = Status::new(Code::NotFound, "its outcome is no longer kept");
            Err(status.with_reason("OUTCOME_FORGOTTEN"))
        }
    }
}
