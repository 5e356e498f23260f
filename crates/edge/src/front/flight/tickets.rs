//! Tickets and endpoints: sealed for a user, read back, renewed and revoked.

use std::rc::Rc;

use mallowgauge_core::polled_queries::{PolledQueryKey, PolledQuerySpec, PolledState, RejectReason};
use mallowgauge_core::Core;
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_flight::proto::{FlightEndpoint, FlightInfo, Ticket};
use mallowgauge_flight::seal;
use mallowgauge_router::Micros;
use prost_types::Timestamp;

use super::auth::Who;
use super::command::Command;
use super::service::Office;
use super::status::{bad, refusal};

pub fn timestamp(at: Micros) -> Timestamp {
    Timestamp { seconds: (at / 1_000_000) as i64, nanos: (at % 1_000_000) as i32 * 1000 }
}

impl Office {
    /// Seals a ticket for a command.
    pub fn sealed(
        &self,
        now: Micros,
        command: &Command,
        user: &str,
        made: Micros,
        polled: bool,
    ) -> FlightEndpoint {
        let expires = now.saturating_add(self.ticket_life);
        let ticket = seal::Ticket {
            command: command.text(),
            made,
            expires,
            user: user.to_owned(),
            issuer: self.issuer,
            polled,
        };
        let ticket = Some(Ticket { ticket: self.key.ticket(&ticket) });
        FlightEndpoint { ticket, expiration_time: Some(timestamp(expires)), ..FlightEndpoint::default() }
    }

    /// Reads a ticket of this caller's.
    pub fn ticket(&self, now: Micros, sealed: &[u8], who: &Who) -> Result<seal::Ticket, Status> {
        let ticket = self.key.read_ticket(now, sealed).map_err(|bad| match bad {
            seal::Bad::Expired => {
                Status::new(Code::NotFound, "the ticket has expired").because("TICKET_EXPIRED")
            }
            seal::Bad::Forged => Status::new(Code::InvalidArgument, "a bad ticket").because("TICKET_FORGED"),
        })?;
        if *ticket.user != *who.user {
            return Err(Status::new(Code::PermissionDenied, "the ticket is another user's"));
        }
        Ok(ticket)
    }

    /// What a `FlightInfo` is about: the commands of its tickets, or of its descriptor.
    pub fn about(
        &self,
        now: Micros,
        info: &FlightInfo,
        who: &Who,
        core: &Core,
    ) -> Result<Vec<(Command, Micros)>, Status> {
        let tickets = info.endpoint.iter().filter_map(|endpoint| endpoint.ticket.as_ref());
        let mut all = Vec::new();
        for ticket in tickets {
            let ticket = self.ticket(now, &ticket.ticket, who)?;
            all.push((Command::read(&ticket.command, core, "x")?, ticket.made));
        }
        if all.is_empty() {
            let descriptor =
                info.flight_descriptor.as_ref().ok_or_else(|| bad("neither ticket nor descriptor"))?;
            all.push((Command::of(descriptor, core, "x")?, now));
        }
        Ok(all)
    }

    pub fn renew(
        &mut self,
        now: Micros,
        endpoint: FlightEndpoint,
        who: &Who,
        core: &Core,
    ) -> Result<FlightEndpoint, Status> {
        let sealed = endpoint.ticket.as_ref().ok_or_else(|| bad("no ticket"))?;
        let ticket = self.ticket(now, &sealed.ticket, who)?;
        let command = Command::read(&ticket.command, core, "x")?;
        let key = PolledQueryKey { user: Rc::clone(&who.user), id: command.id.as_str().into() };
        if matches!(self.flights.state(now, &key), Some(PolledState::Cancelled)) {
            return Err(refusal(RejectReason::Cancelled));
        }
        if !core.is_idempotent(command.class) && ticket.issuer != self.issuer {
            return Err(Status::new(Code::FailedPrecondition, "it counts only where it was made")
                .because("OTHER_ISSUER"));
        }
        self.flights.renew(now, &key);
        // It stays as old as it is: what may have been forgotten of it does not become new.
        let fresh = self.sealed(now, &command, &who.user, ticket.made, ticket.polled);
        Ok(FlightEndpoint { app_metadata: endpoint.app_metadata, location: endpoint.location, ..fresh })
    }

    pub fn revoke(
        &mut self,
        now: Micros,
        endpoint: &FlightEndpoint,
        who: &Who,
        core: &Core,
    ) -> Result<(), Status> {
        let sealed = endpoint.ticket.as_ref().ok_or_else(|| bad("no ticket"))?;
        let ticket = self.ticket(now, &sealed.ticket, who)?;
        let command = Command::read(&ticket.command, core, "x")?;
        let key = PolledQueryKey { user: Rc::clone(&who.user), id: command.id.as_str().into() };
        let effect = !core.is_idempotent(command.class);
        let spec =
            PolledQuerySpec { body: command.fingerprint(), effect, polled: false, made: Some(ticket.made) };
        self.flights.revoke(now, &key, spec).map_err(refusal)
    }
}
