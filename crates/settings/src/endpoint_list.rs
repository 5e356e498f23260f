//! The endpoint list in the platform's format, as in the platform's file and in discovery responses.

use std::net::SocketAddr;

use mallowgauge_router::{EndpointState, Micros};
use serde_json::Value;

use crate::error::{EndpointListError, OneLine};

/// A backend's entry in an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedBackend {
    /// The backend's id.
    pub id: String,
    /// The address it listens on; absent only if its state is [`EndpointState::Removed`].
    pub address: Option<SocketAddr>,
    /// The zone, if the list states one.
    pub zone: Option<String>,
    /// The ring position.
    pub ring_position: u32,
    /// The state.
    pub state: EndpointState,
    /// When it last started, in µs of Unix time; `None` if the list states 0 or no time.
    pub started_at: Option<Micros>,
}

/// An endpoint list: a snapshot or a delta.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// The version of the list.
    pub generation: u64,
    /// Whether the list is a snapshot; otherwise it is a delta.
    pub is_snapshot: bool,
    /// The entries.
    pub backends: Vec<ListedBackend>,
}

/// Parses an endpoint list.
///
/// # Errors
/// Names the key or the entry that is invalid.
pub fn parse(value: &Value) -> Result<EndpointList, OneLine<EndpointListError>> {
    Ok(parse_list(value)?)
}

fn parse_list(value: &Value) -> Result<EndpointList, EndpointListError> {
    let missing = EndpointListError::Missing;
    let generation = value.get("generation").and_then(Value::as_u64).ok_or(missing("generation"))?;
    let is_snapshot = value.get("reset").and_then(Value::as_bool).ok_or(missing("reset"))?;
    let list = value.get("instances").and_then(Value::as_array).ok_or(missing("instances"))?;
    let backends = list.iter().map(parse_entry).collect::<Result<_, _>>()?;
    Ok(EndpointList { generation, is_snapshot, backends })
}

fn parse_entry(entry: &Value) -> Result<ListedBackend, EndpointListError> {
    let text = |key| entry.get(key).and_then(Value::as_str);
    let id = text("instanceId").ok_or(EndpointListError::MissingId)?.to_owned();
    let state = match text("lifecycle") {
        Some("active") => EndpointState::Ready,
        Some("leaving") => EndpointState::Draining,
        Some("left") => EndpointState::Removed,
        _ => return Err(EndpointListError::UnknownState { id }),
    };
    let address = text("hostPort").and_then(|address| address.parse().ok());
    let ring_position = entry.get("cell").and_then(crate::site::parse_u32);
    if state != EndpointState::Removed && (address.is_none() || ring_position.is_none()) {
        return Err(EndpointListError::InvalidAddress { id });
    }
    let started_at_ms = entry.get("startedAtMs").and_then(Value::as_u64).filter(|&at| at > 0);
    let started_at = started_at_ms.map(|ms| ms.saturating_mul(1000));
    let zone = text("zone").map(str::to_owned);
    Ok(ListedBackend { id, address, zone, ring_position: ring_position.unwrap_or(0), state, started_at })
}
