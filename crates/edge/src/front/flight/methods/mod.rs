//! The methods with one request message.

mod actions;
mod get;
mod health;
mod info;
mod poll;
mod sessions;

use bytes::Bytes;
use mallowgauge_core::Core;
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_flight::proto::{BasicAuth, FlightDescriptor, Handshake};
use mallowgauge_router::Micros;
use prost::Message;

use super::call::Call;
use super::method::Method;
use super::service::FlightService;
use super::status::invalid_argument;

impl Call {
    /// Starts the method of a call whose request message has been received. `id` is the id of the call.
    ///
    /// # Errors
    /// The status that the call ends with.
    pub fn start_method(
        &mut self,
        now: Micros,
        id: u64,
        method: Method,
        message: &Bytes,
        service: &mut FlightService,
        core: &mut Core,
    ) -> Result<(), Status> {
        match method {
            Method::Handshake => self.handshake(now, message, service),
            Method::GetFlightInfo => self.get_flight_info(now, message, service, core),
            Method::GetSchema => self.get_schema(now, message, service, core),
            Method::ListFlights => self.list_flights(now, message, service, core),
            Method::ListActions => self.list_actions(now),
            Method::HealthCheck => self.health_check(now, message, service),
            Method::HealthWatch => self.health_watch(now, message, service),
            Method::DoGet => self.do_get(now, id, message, service, core),
            Method::PollFlightInfo => self.poll_flight_info(now, id, message, service, core),
            Method::DoAction => self.do_action(now, message, service, core),
            Method::DoPut | Method::DoExchange => Ok(()),
        }
    }

    /// Sends a message, and ends the call with `OK` after it.
    pub(super) fn reply(&mut self, now: Micros, message: &impl Message) {
        self.queue_message(now, message);
        self.finish_ok();
    }

    pub(super) fn finish_ok(&mut self) {
        self.finish(&Status::new(Code::Ok, ""));
    }

    /// `Handshake`: exchanges a user's password for a bearer token.
    fn handshake(&mut self, now: Micros, message: &Bytes, service: &mut FlightService) -> Result<(), Status> {
        let request: Handshake = decode(message, "this is no handshake")?;
        let basic: BasicAuth = decode(&request.payload, "this is no BasicAuth")?;
        let admission = &mut service.admission;
        let user = service.authenticator.check_password(now, &basic.username, &basic.password, admission)?;
        let token = service.issue_token(now, &user);
        self.add_header("authorization", &format!("Bearer {token}"));
        self.reply(now, &Handshake { protocol_version: 0, payload: token.into() });
        Ok(())
    }
}

/// Decodes a request message.
///
/// # Errors
/// `INVALID_ARGUMENT` with the text `error`.
fn decode<M: Message + Default>(message: &Bytes, error: &'static str) -> Result<M, Status> {
    M::decode(message.clone()).map_err(|_| invalid_argument(error))
}

fn decode_descriptor(message: &Bytes) -> Result<FlightDescriptor, Status> {
    decode(message, "this is no descriptor")
}
