//! The methods of Flight and of gRPC's health service, by their paths.

use mallowgauge_flight::grpc;

/// A method.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    Handshake,
    ListFlights,
    GetFlightInfo,
    PollFlightInfo,
    GetSchema,
    DoGet,
    DoPut,
    DoExchange,
    DoAction,
    ListActions,
    HealthCheck,
    HealthWatch,
}

impl Method {
    /// The method of a path.
    pub fn from_path(path: &str) -> Option<Self> {
        if let Some(name) = path.strip_prefix(grpc::HEALTH_SERVICE_PATH) {
            return match name {
                "Check" => Some(Self::HealthCheck),
                "Watch" => Some(Self::HealthWatch),
                _ => None,
            };
        }
        Some(match path.strip_prefix(grpc::FLIGHT_SERVICE_PATH)? {
            "Handshake" => Self::Handshake,
            "ListFlights" => Self::ListFlights,
            "GetFlightInfo" => Self::GetFlightInfo,
            "PollFlightInfo" => Self::PollFlightInfo,
            "GetSchema" => Self::GetSchema,
            "DoGet" => Self::DoGet,
            "DoPut" => Self::DoPut,
            "DoExchange" => Self::DoExchange,
            "DoAction" => Self::DoAction,
            "ListActions" => Self::ListActions,
            _ => return None,
        })
    }

    /// Whether callers have to present credentials.
    pub fn requires_identity(self) -> bool {
        !matches!(self, Self::Handshake | Self::HealthCheck | Self::HealthWatch)
    }
}
