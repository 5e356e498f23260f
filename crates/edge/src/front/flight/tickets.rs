//! Tickets and endpoints: issuing them for a user, reading, renewing and revoking them.
//!
//! A ticket contains its query. The ticket of a non-idempotent query is valid only at the instance that issued it,
//! because only that instance knows whether the query was run.

use std::rc::Rc;

use mallowgauge_core::polled_queries::{PolledQueryKey, PolledState, RejectReason};
use mallowgauge_core::Core;
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_flight::proto::{FlightEndpoint, FlightInfo, Ticket};
use mallowgauge_flight::seal;
use mallowgauge_router::Micros;
use prost_types::Timestamp;

use super::auth::Identity;
use super::command::{Command, UNUSED_ID};
use super::origin::Origin;
use super::service::FlightService;
use super::status::{invalid_argument, rejection_status};

/// Converts a time in microseconds since the Unix epoch to a timestamp of Flight's messages.
pub fn timestamp(at: Micros) -> Timestamp {
    Timestamp { seconds: (at / 1_000_000) as i64, nanos: (at % 1_000_000) as i32 * 1000 }
}

impl FlightService {
    /// Issues an endpoint with a ticket for a command. `issued_at` is when the first ticket for the query was issued. With
    /// `polled` the ticket fetches the outcome of a polled query, and runs nothing.
    pub fn issue_endpoint(
        &self,
        now: Micros,
        command: &Command,
        user: &str,
        issued_at: Micros,
        polled: bool,
    ) -> FlightEndpoint {
        let expires = now.saturating_add(self.ticket_lifetime);
        let ticket = seal::Ticket {
            command: command.text(),
            issued_at,
            expires,
            user: user.to_owned(),
            issuer: self.issuer,
            polled,
        };
        let ticket = Some(Ticket { ticket: self.signing_key.sign_ticket(&ticket) });
        FlightEndpoint { ticket, expiration_time: Some(timestamp(expires)), ..FlightEndpoint::default() }
    }

    /// Verifies and decodes a signed ticket.
    ///
    /// # Errors
    /// The ticket has expired, is forged, or belongs to another user.
    pub fn open_ticket(
        &self,
        now: Micros,
        signed: &[u8],
        identity: &Identity,
    ) -> Result<seal::Ticket, Status> {
        let ticket = self.signing_key.read_ticket(now, signed).map_err(|error| match error {
            seal::SealError::Expired => {
                Status::new(Code::NotFound, "the ticket has expired").with_reason("TICKET_EXPIRED")
            }
            seal::SealError::Forged => {
                Status::new(Code::InvalidArgument, "a bad ticket").with_reason("TICKET_FORGED")
            }
        })?;
        if *ticket.user != *identity.user {
            return Err(Status::new(Code::PermissionDenied, "the ticket is another user's"));
        }
        Ok(ticket)
    }

    /// Returns the commands of a `FlightInfo`'s tickets, or else of its descriptor, each with its origin.
    ///
    /// # Errors
    /// There is neither ticket nor descriptor, or one of them is not valid.
    pub fn commands_of(
        &self,
        now: Micros,
        info: &FlightInfo,
        identity: &Identity,
        core: &Core,
    ) -> Result<Vec<(Command, Option<Origin>)>, Status> {
        let tickets = info.endpoint.iter().filter_map(|endpoint| endpoint.ticket.as_ref());
        let mut commands = Vec::new();
        for ticket in tickets {
            let ticket = self.open_ticket(now, &ticket.ticket, identity)?;
            let command = Command::from_json(&ticket.command, core, UNUSED_ID)?;
            commands.push((command, Some(Origin::of_ticket(&ticket))));
        }
        if commands.is_empty() {
            let descriptor = info
                .flight_descriptor
                .as_ref()
                .ok_or_else(|| invalid_argument("neither ticket nor descriptor"))?;
            let command = Command::from_descriptor(descriptor, core, UNUSED_ID)?;
            let origin = command.origin;
            commands.push((command, origin));
        }
        Ok(commands)
    }

    /// Renews the ticket of an endpoint. The time of the first ticket is kept: a query whose outcome may no longer
    /// be retained must not look like a new one.
    ///
    /// # Errors
    /// The ticket is not valid, was cancelled, or is valid at another instance only.
    pub fn renew_endpoint(
        &mut self,
        now: Micros,
        endpoint: FlightEndpoint,
        identity: &Identity,
        core: &Core,
    ) -> Result<FlightEndpoint, Status> {
        let signed = endpoint.ticket.as_ref().ok_or_else(|| invalid_argument("no ticket"))?;
        let ticket = self.open_ticket(now, &signed.ticket, identity)?;
        let command = Command::from_json(&ticket.command, core, UNUSED_ID)?;
        let key = PolledQueryKey { user: Rc::clone(&identity.user), id: command.id.as_str().into() };
        if matches!(self.polled_queries.state(now, &key), Some(PolledState::Cancelled)) {
            return Err(rejection_status(RejectReason::Cancelled));
        }
        self.check_issuer(&command, Some(Origin::of_ticket(&ticket)), core)?;
        self.polled_queries.renew(now, &key);
        let renewed = self.issue_endpoint(now, &command, &identity.user, ticket.issued_at, ticket.polled);
        Ok(FlightEndpoint { app_metadata: endpoint.app_metadata, location: endpoint.location, ..renewed })
    }

    /// Revokes the ticket of an endpoint.
    ///
    /// # Errors
    /// The ticket is not valid, is valid at another instance only, or its query can no longer be revoked.
    pub fn revoke_endpoint(
        &mut self,
        now: Micros,
        endpoint: &FlightEndpoint,
        identity: &Identity,
        core: &Core,
    ) -> Result<(), Status> {
        let signed = endpoint.ticket.as_ref().ok_or_else(|| invalid_argument("no ticket"))?;
        let ticket = self.open_ticket(now, &signed.ticket, identity)?;
        let command = Command::from_json(&ticket.command, core, UNUSED_ID)?;
        let key = PolledQueryKey { user: Rc::clone(&identity.user), id: command.id.as_str().into() };
        let spec = self.polled_query_spec(&command, Some(Origin::of_ticket(&ticket)), false, core)?;
        self.polled_queries.revoke(now, &key, spec).map_err(rejection_status)
    }
}
