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
use super::call::{Call, Work};
use super::command::Command;
use super::method::Method;
use super::service::Office;
use super::status::bad;

impl Call {
    /// The request of a method with one message is in.
    pub fn start(
        &mut self,
        now: Micros,
        number: u64,
        method: Method,
        message: &Bytes,
        office: &mut Office,
        core: &mut Core,
    ) -> Result<(), Status> {
        let ok = Status::new(Code::Ok, "");
        match method {
            Method::Handshake => {
                let request = Handshake::decode(message.clone()).map_err(|_| bad("this is no handshake"))?;
                let basic = BasicAuth::decode(request.payload).map_err(|_| bad("this is no BasicAuth"))?;
                let user = office.door.check(now, &basic.username, &basic.password, &mut office.admission)?;
                let token = office.token(now, &user);
                self.line("authorization", &format!("Bearer {token}"));
                self.message(now, &Handshake { protocol_version: 0, payload: token.into() });
                self.end(&ok);
            }
            Method::GetFlightInfo => {
                let descriptor = descriptor(message)?;
                let command = Command::of(&descriptor, core, &office.fresh())?;
                let info = office.info(now, descriptor, &command, &self.head.who, core)?;
                self.message(now, &info);
                self.end(&ok);
            }
            Method::GetSchema => {
                let descriptor = descriptor(message)?;
                let class = match descriptor.r#type {
                    PATH => descriptor.path.first().and_then(|name| core.class_id(name)),
                    _ => Some(Command::of(&descriptor, core, "x")?.class),
                };
                let class = class.ok_or_else(|| bad("the class is unknown"))?;
                let schema = office.schema(class).ok_or_else(|| {
                    Status::new(Code::NotFound, "no host has shown its columns yet").because("SCHEMA_UNKNOWN")
                })?;
                self.message(now, &SchemaResult { schema });
                self.end(&ok);
            }
            Method::ListFlights => {
                let criteria = Criteria::decode(message.clone()).map_err(|_| bad("these are no criteria"))?;
                for info in office.list(&criteria.expression, &self.head.who, core)? {
                    self.message(now, &info);
                }
                self.end(&ok);
            }
            Method::ListActions => {
                for (name, words) in ACTIONS {
                    let action = ActionType { r#type: name.to_owned(), description: words.to_owned() };
                    self.message(now, &action);
                }
                self.end(&ok);
            }
            Method::HealthCheck | Method::HealthWatch => {
                let request = HealthCheckRequest::decode(message.clone()).map_err(|_| bad("no request"))?;
                let known = matches!(request.service.as_str(), "" | "arrow.flight.protocol.FlightService");
                let status = if known { office.health() } else { 3 };
                if method == Method::HealthCheck && !known {
                    return Err(Status::new(Code::NotFound, "there is no such service"));
                }
                self.message(now, &HealthCheckResponse { status });
                if method == Method::HealthCheck {
                    self.end(&ok);
                } else {
                    self.work = Work::Watch(status);
                }
            }
            Method::DoGet => {
                let ticket = Ticket::decode(message.clone()).map_err(|_| bad("this is no ticket"))?;
                self.get(now, number, &ticket.ticket, office, core)?;
            }
            Method::PollFlightInfo => {
                let descriptor = descriptor(message)?;
                self.poll(now, number, &descriptor, office, core)?;
            }
            Method::DoAction => {
                let action = Action::decode(message.clone()).map_err(|_| bad("this is no action"))?;
                self.act(now, &action, office, core)?;
                self.end(&ok);
            }
            Method::DoPut | Method::DoExchange => {}
        }
        Ok(())
    }
}

pub fn descriptor(message: &Bytes) -> Result<FlightDescriptor, Status> {
    FlightDescriptor::decode(message.clone()).map_err(|_| bad("this is no descriptor"))
}
