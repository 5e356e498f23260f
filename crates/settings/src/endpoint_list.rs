//! The endpoint list as the platform writes it, in its file and in discovery's answers.

use std::net::SocketAddr;

use mallowgauge_router::{EndpointState, Micros};
use serde_json::Value;

use crate::error::{EndpointListError, OneLine};

/// One backend, as discovery describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedBackend {
    /// Its id.
    pub id: String,
    /// Where it listens; absent only where it is [`EndpointState::Removed`].
    pub address: Option<SocketAddr>,
    /// Its zone.
    pub zone: Option<String>,
    /// Its ring position.
    pub ring_position: u32,
    /// Its state.
    pub state: EndpointState,
    /// Its last start, in µs of Unix time; `None` where discovery says 0 or nothing.
    pub started_at: Option<Micros>,
}

/// An endpoint list: a snapshot or a delta.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// Its version.
    pub generation: u64,
    /// Whether it is a snapshot.
    pub is_snapshot: bool,
    /// The backends.
    pub backends: Vec<ListedBackend>,
}

/// Reads an endpoint list.
///
/// # Errors
/// The key or the entry that is wrong.
pub fn parse(value: &Value) -> Result<EndpointList, OneLine<EndpointListError>> {
    Ok(read(value)?)
}

fn read(value: &Value) -> Result<EndpointList, EndpointListError> {
    let missing = EndpointListError::Missing;
    let generation = value.get("generation").and_then(Value::as_u64).ok_or(missing("generation"))?;
    let reset = value.get("reset").and_then(Value::as_bool).ok_or(missing("reset"))?;
    let list = value.get("instances").and_then(Value::as_array).ok_or(missing("instances"))?;
    let hosts = list.iter().map(read_entry).collect::<Result<_, _>>()?;
    Ok(EndpointList { generation, is_snapshot: reset, backends: hosts })
}

fn read_entry(entry: &Value) -> Result<ListedBackend, EndpointListError> {
    let text = |key| entry.get(key).and_then(Value::as_str);
    let name = text("instanceId").ok_or(EndpointListError::NoId)?.to_owned();
    let phase = match text("lifecycle") {
        Some("active") => EndpointState::Ready,
        Some("leaving") => EndpointState::Draining,
        Some("left") => EndpointState::Removed,
        _ => return Err(EndpointListError::State { id: name }),
    };
    let addr = text("hostPort").and_then(|addr| addr.parse().ok());
    let cell = entry.get("cell").and_then(crate::site::small);
    if phase != EndpointState::Removed && (addr.is_none() || cell.is_none()) {
        return Err(EndpointListError::Place { id: name });
    }
    let started = entry.get("startedAtMs").and_then(Value::as_u64).filter(|&at| at > 0);
    let started = started.map(|ms| ms.saturating_mul(1000));
    let zone = text("zone").map(str::to_owned);
    Ok(ListedBackend {
        id: name,
        address: addr,
        zone,
        ring_position: cell.unwrap_or(0),
        state: phase,
        started_at: started,
    })
}
