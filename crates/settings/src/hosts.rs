//! The list of hosts as the platform writes it, in its file and in discovery's answers.

use std::net::SocketAddr;

use mallowgauge_router::*;
use serde_json::Value;

/// One host, as discovery tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Its id.
    pub name: String,
    /// Where it listens.
    pub addr: Option<SocketAddr>,
    /// Its zone.
    pub zone: Option<String>,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub phase: EndpointState,
    /// Its last start, in Unix time.
    pub started: Option<Micros>,
}

/// A list, or the changes of one.
#[derive(Clone, Debug, PartialEq)]
pub struct List {
    /// Its version.
    pub generation: u64,
    /// Whether it is the whole list.
    pub reset: bool,
    /// The hosts.
    pub hosts: Vec<Host>,
}

/// Reads a list.
///
/// # Errors
/// Says what is wrong with it.
pub fn parse(value: &Value) -> Result<List, String> {
    read(value).map_err(crate::one_line)
}

fn read(value: &Value) -> Result<List, String> {
    let generation = value.get("generation").and_then(Value::as_u64).ok_or("generation is missing")?;
    let reset = value.get("reset").and_then(Value::as_bool).ok_or("reset is missing")?;
    let list = value.get("instances").and_then(Value::as_array).ok_or("instances is missing")?;
    let host = |entry: &Value| {
        let text = |key| entry.get(key).and_then(Value::as_str);
        let name = text("instanceId").ok_or("an instance has no instanceId")?.to_owned();
        let phase = match text("lifecycle") {
            Some("active") => EndpointState::Ready,
            Some("leaving") => EndpointState::Draining,
            Some("left") => EndpointState::Removed,
            _ => return Err(format!("{name}: lifecycle is none of active, leaving, left")),
        };
        let addr = text("hostPort").and_then(|addr| addr.parse().ok());
        let cell = entry.get("cell").and_then(crate::site::small);
        if phase != EndpointState::Removed && (addr.is_none() || cell.is_none()) {
            return Err(format!("{name}: hostPort or cell makes no sense"));
        }
        let started = entry.get("startedAtMs").and_then(Value::as_u64).filter(|&at| at > 0);
        let started = started.map(|ms| ms.saturating_mul(1000));
        let zone = text("zone").map(str::to_owned);
        Ok(Host { name, addr, zone, cell: cell.unwrap_or(0), phase, started })
    };
    let hosts = list.iter().map(host).collect::<Result<_, _>>()?;
    Ok(List { generation, reset, hosts })
}
