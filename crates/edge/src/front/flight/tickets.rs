//! Tickets and endpoints: sealed for a user, read back, renewed and revoked.

use std::rc::Rc;

use mallowgauge_core::polled_queries::{PolledQueryKey, PolledQuerySpec, PolledState, RejectReason};
use mallowgauge_core::Core;
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_flight::proto::{FlightEndpoint, FlightInfo, Ticket};
use mallowgauge_flight::seal;
use mallowgauge_router::Micros;
use prost_types::Timestamp;

use super::auth::Identity;
use super::command::Command;
use super::service::FlightService;
use super::status::{invalid_argument, rejection_status};

pub fn timestamp(at: Micros) -> Timestamp {
    Timestamp { seconds: (at / 1_000_000) as i64, nanos: (at % 1_000_000) as i32 * 1000 }
}

impl FlightService {
    /// Seals a ticket for a command.
    pub fn issue_endpoint(
        &self,
        now: Micros,
        command: &Command,
        user: &str,
        made: Micros,
        polled: bool,
    ) -> FlightEndpoint {
        let expires = now.saturating_add(self.ticket_lifetime);
        let ticket = seal::Ticket {
            command: command.text(),
            made,
            expires,
            user: user.to_owned(),
            issuer: self.issuer,
            polled,
        };
        let ticket = Some(Ticket { ticket: self.seal_key.ticket(&ticket) });
        FlightEndpoint { ticket, expiration_time: Some(timestamp(expires)), ..FlightEndpoint::default() }
    }

    /// Reads a ticket of this caller's.
    pub fn open_ticket(
        &self,
        now: Micros,
        sealed: &[u8],
        identity: &Identity,
    ) -> Result<seal::Ticket, Status> {
        let ticket = self.seal_key.read_ticket(now, sealed).map_err(|bad| match bad {
            seal::Bad::Expired => {
                Status::new(Code::NotFound, "the ticket has expired").because("TICKET_EXPIRED")
            }
            seal::Bad::Forged => Status::new(Code::InvalidArgument, "a bad ticket").because("TICKET_FORGED"),
        })?;
        if *ticket.user != *identity.user {
            return Err(Status::new(Code::PermissionDenied, "the ticket is another user's"));
        }
        Ok(ticket)
    }

    /// What a `FlightInfo` is about: the commands of its tickets, or of its descriptor.
    pub fn commands_of(
        &self,
        now: Micros,
        info: &FlightInfo,
        identity: &Identity,
        core: &Core,
    ) -> Result<Vec<(Command, Micros)>, Status> {
        let tickets = info.endpoint.iter().filter_map(|endpoint| endpoint.ticket.as_ref());
        let mut all = Vec::new();
        for ticket in tickets {
            let ticket = self.open_ticket(now, &ticket.ticket, identity)?;
            all.push((Command::from_json(&ticket.command, core, "x")?, ticket.made));
        }
        if all.is_empty() {
            let descriptor = info
                .flight_descriptor
                .as_ref()
                .ok_or_else(|| invalid_argument("neither ticket nor descriptor"))?;
            all.push((Command::from_descriptor(descriptor, core, "x")?, now));
        }
        Ok(all)
    }

    pub fn renew_endpoint(
        &mut self,
        now: Micros,
        endpoint: FlightEndpoint,
        identity: &Identity,
        core: &Core,
    ) -> Result<FlightEndpoint, Status> {
        let sealed = endpoint.ticket.as_ref().ok_or_else(|| invalid_argument("no ticket"))?;
        let ticket = self.open_ticket(now, &sealed.ticket, identity)?;
        let command = Command::from_json(&ticket.command, core, "x")?;
        let key = PolledQueryKey { user: Rc::clone(&identity.user), id: command.id.as_str().into() };
        if matches!(self.polled_queries.state(now, &key), Some(PolledState::Cancelled)) {
            return Err(rejection_status(RejectReason::Cancelled));
        }
        if !core.is_idempotent(command.class) && ticket.issuer != self.issuer {
            return Err(Status::new(Code::FailedPrecondition, "it counts only where it was made")
                .because("OTHER_ISSUER"));
        }
        self.polled_queries.renew(now, &key);
        // It stays as old as it is: what may have been forgotten of it does not become new.
        let fresh = self.issue_endpoint(now, &command, &identity.user, ticket.made, ticket.polled);
        Ok(FlightEndpoint { app_metadata: endpoint.app_metadata, location: endpoint.location, ..fresh })
    }

    pub fn revoke_endpoint(
        &mut self,
        now: Micros,
        endpoint: &FlightEndpoint,
        identity: &Identity,
        core: &Core,
    ) -> Result<(), Status> {
        let sealed = endpoint.ticket.as_ref().ok_or_else(|| invalid_argument("no ticket"))?;
        let ticket = self.open_ticket(now, &sealed.ticket, identity)?;
        let command = Command::from_json(&ticket.command, core, "x")?;
        let key = PolledQueryKey { user: Rc::clone(&identity.user), id: command.id.as_str().into() };
        let effect = !core.is_idempotent(command.class);
        let spec =
            PolledQuerySpec { body: command.fingerprint(), effect, polled: false, made: Some(ticket.made) };
        self.polled_queries.revoke(now, &key, spec).map_err(rejection_status)
    }
}
