//! gRPC's health checking protocol: `Check` and `Watch`.

use bytes::Bytes;
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_flight::proto::{HealthCheckRequest, HealthCheckResponse};
use mallowgauge_router::Micros;

use super::decode;
use crate::front::flight::call::{Call, CallState};
use crate::front::flight::service::{health, FlightService};

/// The name of the service in health checks; the empty name refers to the whole server.
const SERVICE_NAME: &str = "arrow.flight.protocol.FlightService";

/// Returns the requested serving status; `None` if the service does not exist.
fn requested_status(message: &Bytes, service: &FlightService) -> Result<Option<i32>, Status> {
    let request: HealthCheckRequest = decode(message, "no request")?;
    let known = matches!(request.service.as_str(), "" | SERVICE_NAME);
    Ok(known.then(|| service.health_status()))
}

impl Call {
    /// `Check`: reports the serving status once.
    ///
    /// # Errors
    /// `NOT_FOUND` for another service.
    pub fn health_check(
        &mut self,
        now: Micros,
        message: &Bytes,
        service: &FlightService,
    ) -> Result<(), Status> {
        let status = requested_status(message, service)?;
        let status = status.ok_or_else(|| Status::new(Code::NotFound, "there is no such service"))?;
        self.reply(now, &HealthCheckResponse { status });
        Ok(())
    }

    /// `Watch`: reports the serving status now and whenever it changes.
    ///
    /// # Errors
    /// The request is malformed.
    pub fn health_watch(
        &mut self,
        now: Micros,
        message: &Bytes,
        service: &FlightService,
    ) -> Result<(), Status> {
        let status = requested_status(message, service)?.unwrap_or(health::SERVICE_UNKNOWN);
        self.queue_message(now, &HealthCheckResponse { status });
        self.state = CallState::HealthWatch(status);
        Ok(())
    }
}
