//! What each method with one request message does, a module a method or concern.

mod actions;
mod get;
mod info;
mod poll;
mod sessions;

use bytes::Bytes;
use mallowgauge_core::Core;
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_flight::proto::*;
use mallowgauge_router::Micros;
use prost::Message;

use self::actions::ACTIONS;
use super::call::{Call, CallState};
use super::command::Command;
use super::method::Method;
use super::service::FlightService;
use super::status::invalid_argument;

impl Call {
    /// The request of a method with one message is in.
    pub fn start_method(
        &mut self,
        now: Micros,
        number: u64,
        method: Method,
        message: &Bytes,
        service: &mut FlightService,
        core: &mut Core,
    ) -> Result<(), Status> {
        let ok = Status::new(Code::Ok, "");
        match method {
            Method::Handshake => {
                let request = Handshake::decode(message.clone())
                    .map_err(|_| invalid_argument("this is no handshake"))?;
                let basic = BasicAuth::decode(request.payload)
                    .map_err(|_| invalid_argument("this is no BasicAuth"))?;
                let user = service.authenticator.check_password(
                    now,
                    &basic.username,
                    &basic.password,
                    &mut service.admission,
                )?;
                let token = service.issue_token(now, &user);
                self.add_header("authorization", &format!("Bearer {token}"));
                self.queue_message(now, &Handshake { protocol_version: 0, payload: token.into() });
                self.finish(&ok);
            }
            Method::GetFlightInfo => {
                let descriptor = descriptor(message)?;
                let command = Command::from_descriptor(&descriptor, core, &service.generate_query_id())?;
                let info = service.flight_info(now, descriptor, &command, &self.head.identity, core)?;
                self.queue_message(now, &info);
                self.finish(&ok);
            }
            Method::GetSchema => {
                let descriptor = descriptor(message)?;
                let class = match descriptor.r#type {
                    PATH => descriptor.path.first().and_then(|name| core.class_id(name)),
                    _ => Some(Command::from_descriptor(&descriptor, core, "x")?.class),
                };
                let class = class.ok_or_else(|| invalid_argument("the class is unknown"))?;
                let schema = service.schema(class).ok_or_else(|| {
                    Status::new(Code::NotFound, "no host has shown its columns yet").because("SCHEMA_UNKNOWN")
                })?;
                self.queue_message(now, &SchemaResult { schema });
                self.finish(&ok);
            }
            Method::ListFlights => {
                let criteria = Criteria::decode(message.clone())
                    .map_err(|_| invalid_argument("these are no criteria"))?;
                for info in service.list_flights(&criteria.expression, &self.head.identity, core)? {
                    self.queue_message(now, &info);
                }
                self.finish(&ok);
            }
            Method::ListActions => {
                for (name, words) in ACTIONS {
                    let action = ActionType { r#type: name.to_owned(), description: words.to_owned() };
                    self.queue_message(now, &action);
                }
                self.finish(&ok);
            }
            Method::HealthCheck | Method::HealthWatch => {
                let request = HealthCheckRequest::decode(message.clone())
                    .map_err(|_| invalid_argument("no request"))?;
                let known = matches!(request.service.as_str(), "" | "arrow.flight.protocol.FlightService");
                let status = if known { service.health_status() } else { 3 };
                if method == Method::HealthCheck && !known {
                    return Err(Status::new(Code::NotFound, "there is no such service"));
                }
                self.queue_message(now, &HealthCheckResponse { status });
                if method == Method::HealthCheck {
                    self.finish(&ok);
                } else {
                    self.state = CallState::HealthWatch(status);
                }
            }
            Method::DoGet => {
                let ticket =
                    Ticket::decode(message.clone()).map_err(|_| invalid_argument("this is no ticket"))?;
                self.do_get(now, number, &ticket.ticket, service, core)?;
            }
            Method::PollFlightInfo => {
                let descriptor = descriptor(message)?;
                self.poll_flight_info(now, number, &descriptor, service, core)?;
            }
            Method::DoAction => {
                let action =
                    Action::decode(message.clone()).map_err(|_| invalid_argument("this is no action"))?;
                self.do_action(now, &action, service, core)?;
                self.finish(&ok);
            }
            Method::DoPut | Method::DoExchange => {}
        }
        Ok(())
    }
}

pub fn descriptor(message: &Bytes) -> Result<FlightDescriptor, Status> {
    FlightDescriptor::decode(message.clone()).map_err(|_| invalid_argument("this is no descriptor"))
}
