//! The platform's file and the environment: all that an instance is configured with at its start.

use std::net::SocketAddr;

use mallowgauge_cluster::connections::PeerConnectionLimits;
use mallowgauge_core::{CoreLimits, TwoPhaseSettings};
use mallowgauge_router::Micros;
use serde_json::Value;

use crate::error::{ConfigError, OneLine, PlatformError};
use crate::flight::FlightSettings;
use crate::operator::{self, LogFormat, OperatorSettings};
use crate::peers::PeerSettings;
use crate::section::address;
use crate::site::{Section, Site};

/// Limits on connections to backends. Durations are in µs.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionSettings {
    /// Backends close a connection that has been idle for so long.
    pub idle_timeout: Micros,
    /// A connection that is not established by then is given up.
    pub connect_timeout: Micros,
    /// With nothing received on a connection for so long while attempts are in flight, new ones take another.
    pub silence_timeout: Micros,
    /// Most attempts in flight on a connection.
    pub max_attempts: usize,
    /// Most parts in a call.
    pub parts_per_call: usize,
    /// Most descriptors that the process may hold.
    pub max_descriptors: usize,
}

/// The configuration of an instance.
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where HTTP clients connect.
    pub listen: SocketAddr,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// The seed of its random numbers.
    pub seed: u64,
    /// The settings of its site.
    pub site: Site,
    /// Bounds on open queries.
    pub core_limits: CoreLimits,
    /// Limits on connections to backends.
    pub connections: ConnectionSettings,
    /// The memory that the process may use, in bytes.
    pub memory: usize,
    /// The cached endpoint list, which is valid.
    pub cached_endpoints: Value,
    /// The Flight frontend, and the backends that offer Flight.
    pub flight: FlightSettings,
    /// Queries in two phases, where they are accepted.
    pub two_phase: Option<TwoPhaseSettings>,
    /// The other instances, and what links to them may hold.
    pub peers: Option<(PeerSettings, PeerConnectionLimits)>,
}

/// Fraction of the shortest latency objective after which a silent connection is avoided.
const SILENCE_FRACTION: f64 = 0.15;
/// Descriptors where the platform states no limit.
const DEFAULT_SOCKETS: u64 = 1024;
/// Megabytes where the platform states no limit.
const DEFAULT_MEMORY_MB: u64 = 192;
/// Descriptors for the listeners, discovery, a few backends and clients.
const FEWEST_SOCKETS: usize = 32;

impl Config {
    /// Reads the platform's file, which `RELAY_CONFIG` names, and the operator's, if one is named.
    /// `RELAY_NAME`, `RELAY_LISTEN` and `RELAY_DISCOVERY` stand in for what the file leaves out.
    ///
    /// # Errors
    /// What is wrong, in one line.
    pub fn load(
        variable: impl Fn(&str) -> Option<String>,
        operator: Option<&str>,
    ) -> Result<Self, OneLine<ConfigError>> {
        Ok(Self::load_all(variable, operator)?)
    }

    fn load_all(
        variable: impl Fn(&str) -> Option<String>,
        operator: Option<&str>,
    ) -> Result<Self, ConfigError> {
        let path = variable("RELAY_CONFIG").ok_or(ConfigError::NoPlatformFile)?;
        let all = read_json(&path)?;
        let own = own_name(&all, &variable);
        let mut operator = match operator {
            Some(path) => operator::read(&read_json(path)?, path, own.as_deref())?,
            None => OperatorSettings::default(),
        };
        let fleet = operator.fleet.take();
        let config = Self::read(&all, variable, operator);
        let config = config.map_err(|source| ConfigError::Platform { file: path.clone(), source })?;
        match fleet {
            Some(fleet) => config.with_peers(fleet, &path),
            None => Ok(config),
        }
    }

    /// Adds the other instances, within the limits of the platform's file.
    fn with_peers(mut self, fleet: PeerSettings, path: &str) -> Result<Self, ConfigError> {
        let room = fleet.connection_limits(self.connections.max_descriptors, self.memory);
        let room = room.map_err(|reason| ConfigError::TooManyPeers { file: path.to_owned(), reason })?;
        if fleet.request_lifetime.is_some() && (self.flight.every_backend || !self.flight.backends.is_empty())
        {
            return Err(ConfigError::TakeoverWithFlight);
        }
        self.peers = Some((fleet, room));
        Ok(self)
    }

    /// What the platform calls this instance, as far as its file can be read.
    #[must_use]
    pub fn name(variable: impl Fn(&str) -> Option<String>) -> Option<String> {
        own_name(&read_json(&variable("RELAY_CONFIG")?).ok()?, variable)
    }

    /// How the log is to be written, as far as the operator's file can be read; what is wrong with it is an error of
    /// [`Config::load`].
    #[must_use]
    pub fn log_format(operator: Option<&str>) -> LogFormat {
        let format = |path| read_json(path).ok()?.get("log")?.get("format")?.as_str().map(str::to_owned);
        match operator.and_then(format).as_deref() {
            Some("json") => LogFormat::Json,
            _ => LogFormat::Text,
        }
    }

    fn read(
        all: &Value,
        variable: impl Fn(&str) -> Option<String>,
        operator: OperatorSettings,
    ) -> Result<Self, PlatformError> {
        let text = |key: &'static str, name: &str| {
            let value = all.get(key).and_then(Value::as_str).map(str::to_owned);
            value.or_else(|| variable(name)).ok_or(PlatformError::Missing(key))
        };
        let settings = all.get("settings").ok_or(PlatformError::Missing("settings"))?;
        let site = Site::read(settings)?;
        site.settings.validate()?;
        let root = Section::root(settings)?;
        let shards = u32::try_from(count(&root, "FamilyInfo", "Shards")?)?;
        let sockets = limit(all, "sockets", DEFAULT_SOCKETS)?;
        let memory = limit(all, "memory_mb", DEFAULT_MEMORY_MB)? * 1024 * 1024;
        if sockets < FEWEST_SOCKETS {
            return Err(PlatformError::TooFewSockets(FEWEST_SOCKETS));
        }
        let seed = all.get("seed").and_then(Value::as_str).ok_or(PlatformError::Missing("seed"))?;
        let known = all.get("known").ok_or(PlatformError::Missing("known"))?;
        crate::endpoint_list::parse(known)?;
        Ok(Self {
            name: text("name", "RELAY_NAME")?,
            listen: address(&text("listen", "RELAY_LISTEN")?, "listen")?,
            discovery: address(&text("discovery", "RELAY_DISCOVERY")?, "discovery")?,
            seed: u64::from_str_radix(seed, 16).map_err(|_| PlatformError::Seed)?,
            core_limits: CoreLimits { max_open: count(&root, "Limits", "MaxOpen")?, shards },
            connections: read_links(&root, &site, sockets)?,
            memory,
            cached_endpoints: known.clone(),
            site,
            flight: operator.flight,
            two_phase: operator.phases,
            peers: None,
        })
    }
}

fn read_links(root: &Section<'_>, site: &Site, sockets: usize) -> Result<ConnectionSettings, PlatformError> {
    let objectives = site.settings.classes.iter().map(|class| class.latency_objective);
    let shortest = objectives.min().unwrap_or_default();
    Ok(ConnectionSettings {
        idle_timeout: root.sub("Limits")?.int("ConnIdleUs")?,
        connect_timeout: root.sub("Limits")?.int("DialTimeoutUs")?,
        silence_timeout: (shortest as f64 * SILENCE_FRACTION) as Micros,
        max_attempts: count(root, "Limits", "MaxStreams")?,
        parts_per_call: site.settings.layout.parts_per_call as usize,
        max_descriptors: sockets,
    })
}

/// A positive number of a section of the settings.
fn count(root: &Section<'_>, section: &'static str, key: &'static str) -> Result<usize, PlatformError> {
    let value = root.sub(section)?.int(key)?;
    let value = usize::try_from(value).ok().filter(|&n| n > 0);
    value.ok_or(PlatformError::Count { section, key })
}

/// A number of the object `limits`, below 2^32; `default` where there is none.
fn limit(all: &Value, key: &'static str, default: u64) -> Result<usize, PlatformError> {
    let value = all.get("limits").and_then(|limits| limits.get(key)).map_or(Some(default), Value::as_u64);
    let value = value.and_then(|n| u32::try_from(n).ok());
    value.map(|n| n as usize).ok_or(PlatformError::Limit(key))
}

fn own_name(all: &Value, variable: impl Fn(&str) -> Option<String>) -> Option<String> {
    all.get("name").and_then(Value::as_str).map(str::to_owned).or_else(|| variable("RELAY_NAME"))
}

fn read_json(path: &str) -> Result<Value, ConfigError> {
    let file = || path.to_owned();
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|source| ConfigError::Unreadable { file: file(), source })?;
    serde_json::from_str(&text).map_err(|source| ConfigError::NotJson { file: file(), source })
}
