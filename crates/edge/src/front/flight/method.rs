//! The RPC methods of Flight and of gRPC's health service.

use mallowgauge_flight::grpc;

/// An RPC method.
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
    /// Returns the method at a request path; `None` if there is none.
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

    /// Returns whether callers of this method have to be authenticated.
    pub fn requires_identity(self) -> bool {
        !matches!(self, Self::Handshake | Self::HealthCheck | Self::HealthWatch)
    }
}
