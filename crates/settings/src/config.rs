//! What a gatherer is told at its start: the environment, the platform's file, the operator's file.

use std::net::{SocketAddr, ToSocketAddrs};

use serde_json::Value;

use crate::fleet::Fleet;
use crate::operator::{self, Flight, LogFormat, Operator};
use crate::site::{Section, Site};
use mallowgauge_cluster::connections::PeerConnectionLimits;
use mallowgauge_core::{CoreLimits, TwoPhaseSettings};
use mallowgauge_router::Micros;

/// Figures for connections.
#[derive(Clone, Copy, Debug)]
pub struct Links {
    /// Hosts close a connection that stood idle for so long.
    pub idle: Micros,
    /// A connection that is not up by then is given up.
    pub dial: Micros,
    /// With nothing heard on a connection for so long while something is out, new parts take another.
    pub silent: Micros,
    /// Most parts that one connection carries at a time.
    pub streams: usize,
    /// Most parts in a call.
    pub parts_a_call: usize,
    /// Most descriptors that the process may hold.
    pub sockets: usize,
}

/// All that a gatherer is told.
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Discovery.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// The settings.
    pub site: Site,
    /// CoreLimits of the core.
    pub bounds: CoreLimits,
    /// Figures for connections.
    pub links: Links,
    /// The memory that the process may use, in bytes.
    pub memory: usize,
    /// The list of hosts as this gatherer last had it.
    pub known: Value,
    /// The second front.
    pub flight: Flight,
    /// Queries in two phases, where they are taken.
    pub phases: Option<TwoPhaseSettings>,
    /// The other gatherers, and what links to them may hold.
    pub fleet: Option<(Fleet, PeerConnectionLimits)>,
}

/// Silence on a connection is told from slowness after this share of the shortest aim.
const SILENT: f64 = 0.15;
/// Descriptors held where the platform states no limit.
const SOCKETS: u64 = 1024;
/// Megabytes used where the platform states no limit.
const MEMORY: u64 = 192;
/// Too few for a listener, discovery, a host and a client with room to move.
const FEWEST_SOCKETS: usize = 32;

pub(crate) fn address(text: &str, what: &str) -> Result<SocketAddr, String> {
    let found = text.to_socket_addrs().ok().and_then(|mut all| all.next());
    found.ok_or_else(|| format!("{what} {text} is not an address with a port"))
}

impl Config {
    /// Reads the platform's file, which `RELAY_CONFIG` names, and the operator's, if one is named.
    /// `RELAY_NAME`, `RELAY_LISTEN` and `RELAY_DISCOVERY` stand in for what the file leaves out.
    ///
    /// # Errors
    /// One line that says what is wrong.
    pub fn load(variable: impl Fn(&str) -> Option<String>, operator: Option<&str>) -> Result<Self, String> {
        Self::load_all(variable, operator).map_err(crate::one_line)
    }

    fn load_all(variable: impl Fn(&str) -> Option<String>, operator: Option<&str>) -> Result<Self, String> {
        let path = variable("RELAY_CONFIG").ok_or("RELAY_CONFIG is not set")?;
        let all = file(&path)?;
        let own = own_name(&all, &variable);
        let read = |path| operator::read(&file(path)?, path, own.as_deref());
        let mut operator = operator.map_or_else(|| Ok(Operator::default()), read)?;
        let fleet = operator.fleet.take();
        let mut config = Self::read(&all, variable, operator).map_err(|e| format!("{path}: {e}"))?;
        if let Some(fleet) = fleet {
            let room = fleet.room(config.links.sockets, config.memory);
            let room = room.map_err(|e| format!("{path}: fleet.peers.list is too long: {e}"))?;
            let flight = &config.flight;
            if fleet.handover.is_some() && (flight.every_host || !flight.hosts.is_empty()) {
                return Err(
                    "fleet.handover is set beside flight.hosts: records hold no tables yet".to_owned()
                );
            }
            config.fleet = Some((fleet, room));
        }
        Ok(config)
    }

    /// What the platform calls this gatherer, as far as its file can be read.
    #[must_use]
    pub fn name(variable: impl Fn(&str) -> Option<String>) -> Option<String> {
        own_name(&file(&variable("RELAY_CONFIG")?).ok()?, variable)
    }

    /// How the log is to be written, as far as the operator's file can be read; what is wrong with it is said
    /// by [`Config::load`].
    #[must_use]
    pub fn log_format(operator: Option<&str>) -> LogFormat {
        let log = |path| file(path).ok()?.get("log")?.get("format")?.as_str().map(str::to_owned);
        match operator.and_then(log).as_deref() {
            Some("json") => LogFormat::Json,
            _ => LogFormat::Text,
        }
    }

    fn read(
        all: &Value,
        variable: impl Fn(&str) -> Option<String>,
        operator: Operator,
    ) -> Result<Self, String> {
        let text = |key: &str, name: &str| {
            let value = all.get(key).and_then(Value::as_str).map(str::to_owned);
            value.or_else(|| variable(name)).ok_or_else(|| format!("{key} is missing"))
        };
        let settings = all.get("settings").ok_or("settings is missing")?;
        let site = Site::read(settings).map_err(|e| format!("settings{e}"))?;
        site.settings.validate().map_err(|e| e.to_string())?;
        let root = Section::root(settings)?;
        let inner = |part: &str, key: &str| {
            let found = root.sub(part).and_then(|section| section.int(key));
            found.map_err(|e| format!("settings{e}"))
        };
        let small = |part: &str, key: &str| {
            let value = usize::try_from(inner(part, key)?).ok().filter(|&n| n > 0);
            value.ok_or_else(|| format!("settings.{part}.{key} is zero or far too large"))
        };
        let shards = u32::try_from(small("FamilyInfo", "Shards")?).map_err(|e| e.to_string())?;
        let limit = |key: &str, usual: u64| {
            let value =
                all.get("limits").and_then(|limits| limits.get(key)).map_or(Some(usual), Value::as_u64);
            let value = value.and_then(|n| u32::try_from(n).ok());
            value.map(|n| n as usize).ok_or_else(|| format!("limits.{key} is not a small whole number"))
        };
        let (sockets, memory) = (limit("sockets", SOCKETS)?, limit("memory_mb", MEMORY)? * 1024 * 1024);
        if sockets < FEWEST_SOCKETS {
            return Err(format!("limits.sockets is below {FEWEST_SOCKETS}"));
        }
        let aim = site.settings.classes.iter().map(|class| class.latency_objective).min().unwrap_or_default();
        let seed = all.get("seed").and_then(Value::as_str).ok_or("seed is missing")?;
        let known = all.get("known").ok_or("known is missing")?;
        crate::hosts::parse(known).map_err(|e| format!("known: {e}"))?;
        Ok(Self {
            name: text("name", "RELAY_NAME")?,
            listen: address(&text("listen", "RELAY_LISTEN")?, "listen")?,
            discovery: address(&text("discovery", "RELAY_DISCOVERY")?, "discovery")?,
            seed: u64::from_str_radix(seed, 16).map_err(|_| "seed is not hex digits")?,
            bounds: CoreLimits { max_open: small("Limits", "MaxOpen")?, shards },
            links: Links {
                idle: inner("Limits", "ConnIdleUs")?,
                dial: inner("Limits", "DialTimeoutUs")?,
                silent: (aim as f64 * SILENT) as Micros,
                streams: small("Limits", "MaxStreams")?,
                parts_a_call: site.settings.layout.parts_per_call as usize,
                sockets,
            },
            memory,
            known: known.clone(),
            site,
            flight: operator.flight,
            phases: operator.phases,
            fleet: None,
        })
    }
}

fn own_name(all: &Value, variable: impl Fn(&str) -> Option<String>) -> Option<String> {
    all.get("name").and_then(Value::as_str).map(str::to_owned).or_else(|| variable("RELAY_NAME"))
}

fn file(path: &str) -> Result<Value, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    serde_json::from_str(&text).map_err(|e| format!("{path}: {e}"))
}
