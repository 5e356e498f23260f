//! The endpoint list as the platform writes it, in its file and in discovery's answers.

use std::net::SocketAddr;

use mallowgauge_router::{EndpointState, Micros};
use serde_json::Value;

use crate::error::{EndpointListError, OneLine};

/// One backend, as discovery describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Its id.
    pub name: String,
    /// Where it listens; absent only where it is [`EndpointState::Removed`].
    pub addr: Option<SocketAddr>,
    /// Its zone.
    pub zone: Option<String>,
    /// Its ring position.
    pub cell: u32,
    /// Its state.
    pub phase: EndpointState,
    /// Its last start, in µs of Unix time; `None` where discovery says 0 or nothing.
    pub started: Option<Micros>,
}

/// An endpoint list: a snapshot or a delta.
#[derive(Clone, Debug, PartialEq)]
pub struct List {
    /// Its version.
    pub generation: u64,
    /// Whether it is a snapshot.
    pub reset: bool,
    /// The backends.
    pub hosts: Vec<Host>,
}

/// Reads an endpoint list.
///
/// # Errors
/// The key or the entry that is wrong.
pub fn parse(value: &Value) -> Result<List, OneLine<EndpointListError>> {
    Ok(read(value)?)
}

fn read(value: &Value) -> Result<List, EndpointListError> {
    let missing = EndpointListError::Missing;
    let generation = value.get("generation").and_then(Value::as_u64).ok_or(missing("generation"))?;
    let reset = value.get("reset").and_then(Value::as_bool).ok_or(missing("reset"))?;
    let list = value.get("instances").and_then(Value::as_array).ok_or(missing("instances"))?;
    let hosts = list.iter().map(read_entry).collect::<Result<_, _>>()?;
    Ok(List { generation, reset, hosts })
}

fn read_entry(entry: &Value) -> Result<Host, EndpointListError> {
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
    Ok(Host { name, addr, zone, cell: cell.unwrap_or(0), phase, started })
}
