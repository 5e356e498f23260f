//! The origin of a query: which process issued its ticket or poll descriptor, and when.
//!
//! Only the process that issued a ticket or a poll descriptor knows whether its query was executed: instances share
//! nothing, and a restarted process has lost its table of polled queries. That a query is missing from this table proves
//! that it was not executed only if this process is the issuer. So anything that comes from another issuer neither runs
//! nor cancels a non-idempotent query here. An idempotent query may run again anywhere.

use mallowgauge_core::polled_queries::PolledQuerySpec;
use mallowgauge_core::Core;
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_flight::seal;
use mallowgauge_router::Micros;
use serde_json::{json, Value};

use super::command::Command;
use super::service::FlightService;
use super::status::invalid_argument;

/// Digits of an issuer in a poll descriptor, in hexadecimal.
const ISSUER_DIGITS: usize = 16;

/// Which process issued a ticket or poll descriptor, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The random number that the process chose at its start.
    pub issuer: u64,
    /// When the query's first ticket was issued or, without a ticket, when the query was submitted; in microseconds
    /// since the Unix epoch.
    pub created_at: Micros,
}

impl Origin {
    /// Returns the origin of a ticket.
    pub fn of_ticket(ticket: &seal::Ticket) -> Self {
        Self { issuer: ticket.issuer, created_at: ticket.issued_at }
    }

    /// Parses the origin in a poll descriptor's command.
    ///
    /// # Errors
    /// `INVALID_ARGUMENT` if it is not what [`Origin::to_json`] writes.
    pub fn from_json(value: &Value) -> Result<Self, Status> {
        let issuer = value.get("issuer").and_then(Value::as_str).filter(|text| text.len() == ISSUER_DIGITS);
        let issuer = issuer.and_then(|digits| u64::from_str_radix(digits, 16).ok());
        let created_at = value.get("created_at").and_then(Value::as_u64);
        issuer
            .zip(created_at)
            .map(|(issuer, created_at)| Self { issuer, created_at })
            .ok_or_else(|| invalid_argument("poll_origin is odd"))
    }

    /// Returns the origin as it stands in a poll descriptor's command.
    pub fn to_json(self) -> Value {
        json!({"issuer": format!("{:0width$x}", self.issuer, width = ISSUER_DIGITS), "created_at": self.created_at})
    }
}

/// A non-idempotent query whose ticket or poll descriptor was issued by another process: it may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OtherIssuer;

/// The `ErrorInfo` reason of [`OtherIssuer`].
pub const OTHER_ISSUER: &str = "OTHER_ISSUER";

impl From<OtherIssuer> for Status {
    fn from(OtherIssuer: OtherIssuer) -> Self {
        Status::new(Code::FailedPrecondition, "it counts only where it was made").with_reason(OTHER_ISSUER)
    }
}

impl FlightService {
    /// Checks that this process knows whether the query of a ticket or poll descriptor was executed, or that it may be
    /// executed again. `origin` is `None` if the client wrote the command itself.
    ///
    /// # Errors
    /// The query is non-idempotent and comes from another process.
    pub fn check_issuer(
        &self,
        command: &Command,
        origin: Option<Origin>,
        core: &Core,
    ) -> Result<(), OtherIssuer> {
        let from_other = origin.is_some_and(|origin| origin.issuer != self.issuer);
        if from_other && !core.is_idempotent(command.class) {
            return Err(OtherIssuer);
        }
        Ok(())
    }

    /// Returns the properties of a command for the table of polled queries.
    ///
    /// # Errors
    /// As [`FlightService::check_issuer`].
    pub fn polled_query_spec(
        &self,
        command: &Command,
        origin: Option<Origin>,
        polled: bool,
        core: &Core,
    ) -> Result<PolledQuerySpec, OtherIssuer> {
        self.check_issuer(command, origin, core)?;
        Ok(PolledQuerySpec {
            request_hash: command.fingerprint(),
            non_idempotent: !core.is_idempotent(command.class),
            polled,
            ticket_created_at: origin.map(|origin| origin.created_at),
        })
    }
}
