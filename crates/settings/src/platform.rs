//! The configuration that an instance reads at its start, from the platform's file and the environment.

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
    /// Idle time after which backends close a connection.
    pub idle_timeout: Micros,
    /// Time in which a connection has to be established.
    pub connect_timeout: Micros,
    /// Time without received data, while attempts are in flight, after which new attempts avoid a connection.
    pub silence_timeout: Micros,
    /// Most attempts in flight on a connection.
    pub max_attempts_in_flight: usize,
    /// Most parts per call.
    pub parts_per_call: usize,
    /// Most descriptors that the process may hold.
    pub max_descriptors: usize,
}

/// The configuration of an instance.
pub struct Config {
    /// The instance's name.
    pub name: String,
    /// The address for HTTP clients.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of the random numbers.
    pub seed: u64,
    /// The settings of the site.
    pub site: Site,
    /// Limits on open queries.
    pub core_limits: CoreLimits,
    /// Limits on connections to backends.
    pub connections: ConnectionSettings,
    /// The memory that the process may use, in bytes.
    pub memory: usize,
    /// The cached endpoint list, which has been validated.
    pub cached_endpoints: Value,
    /// The Flight frontend, and the backends that support Flight.
    pub flight: FlightSettings,
    /// Two-phase queries, which are rejected if this is not set.
    pub two_phase: Option<TwoPhaseSettings>,
    /// The cluster of instances, and the limits on connections to peers.
    pub peers: Option<(PeerSettings, PeerConnectionLimits)>,
}

/// Fraction of the shortest latency objective after which unresponsive connections are avoided.
const SILENCE_FRACTION: f64 = 0.15;
/// Default limit on descriptors.
const DEFAULT_SOCKETS: u64 = 1024;
/// Default memory limit, in MiB.
const DEFAULT_MEMORY_MB: u64 = 192;
/// Smallest number of descriptors: for listeners, discovery, and a few backends and clients.
const MIN_SOCKETS: usize = 32;

impl Config {
    /// Reads the platform's file, which the environment variable `RELAY_CONFIG` names, and the operator's file, if its
    /// path is given. `RELAY_NAME`, `RELAY_LISTEN` and `RELAY_DISCOVERY` replace keys that the platform's file lacks.
    ///
    /// # Errors
    /// States in one line what is invalid.
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
        let platform = read_json(&path)?;
        let own_name = own_name(&platform, &variable);
        let mut operator = match operator {
            Some(path) => operator::read(&read_json(path)?, path, own_name.as_deref())?,
            None => OperatorSettings::default(),
        };
        let peers = operator.peers.take();
        let config = Self::read(&platform, variable, operator);
        let config = config.map_err(|source| ConfigError::Platform { file: path.clone(), source })?;
        match peers {
            Some(peers) => config.with_peers(peers, &path),
            None => Ok(config),
        }
    }

    /// Adds the cluster of instances, within the limits of the platform's file, whose path is `path`.
    fn with_peers(mut self, peers: PeerSettings, path: &str) -> Result<Self, ConfigError> {
        let limits = peers.connection_limits(self.connections.max_descriptors, self.memory);
        let limits = limits.map_err(|reason| ConfigError::TooManyPeers { file: path.to_owned(), reason })?;
        if peers.request_lifetime.is_some() && (self.flight.every_backend || !self.flight.backends.is_empty())
        {
            return Err(ConfigError::TakeoverWithFlight);
        }
        self.peers = Some((peers, limits));
        Ok(self)
    }

    /// Returns the platform's name for this instance, if its file can be read.
    #[must_use]
    pub fn name(variable: impl Fn(&str) -> Option<String>) -> Option<String> {
        own_name(&read_json(&variable("RELAY_CONFIG")?).ok()?, variable)
    }

    /// Returns the format of the log, or the default if the operator's file cannot be read; [`Config::load`] reports
    /// errors in that file.
    #[must_use]
    pub fn log_format(operator: Option<&str>) -> LogFormat {
        let format = |path| read_json(path).ok()?.get("log")?.get("format")?.as_str().map(str::to_owned);
        match operator.and_then(format).as_deref() {
            Some("json") => LogFormat::Json,
            _ => LogFormat::Text,
        }
    }

    fn read(
        platform: &Value,
        variable: impl Fn(&str) -> Option<String>,
        operator: OperatorSettings,
    ) -> Result<Self, PlatformError> {
        let text = |key: &'static str, name: &str| {
            let value = platform.get(key).and_then(Value::as_str).map(str::to_owned);
            value.or_else(|| variable(name)).ok_or(PlatformError::Missing(key))
        };
        let settings = platform.get("settings").ok_or(PlatformError::Missing("settings"))?;
        let site = Site::read(settings)?;
        site.settings.validate()?;
        let root = Section::root(settings)?;
        let shards = u32::try_from(count(&root, "FamilyInfo", "Shards")?)?;
        let sockets = limit(platform, "sockets", DEFAULT_SOCKETS)?;
        let memory = limit(platform, "memory_mb", DEFAULT_MEMORY_MB)? * 1024 * 1024;
        if sockets < MIN_SOCKETS {
            return Err(PlatformError::TooFewSockets(MIN_SOCKETS));
        }
        let seed = platform.get("seed").and_then(Value::as_str).ok_or(PlatformError::Missing("seed"))?;
        let cached_endpoints = platform.get("known").ok_or(PlatformError::Missing("known"))?;
        crate::endpoint_list::parse(cached_endpoints)?;
        Ok(Self {
            name: text("name", "RELAY_NAME")?,
            listen: address(&text("listen", "RELAY_LISTEN")?, "listen")?,
            discovery: address(&text("discovery", "RELAY_DISCOVERY")?, "discovery")?,
            seed: u64::from_str_radix(seed, 16).map_err(|_| PlatformError::Seed)?,
            core_limits: CoreLimits { max_open: count(&root, "Limits", "MaxOpen")?, shards },
            connections: read_connection_settings(&root, &site, sockets)?,
            memory,
            cached_endpoints: cached_endpoints.clone(),
            site,
            flight: operator.flight,
            two_phase: operator.two_phase,
            peers: None,
        })
    }
}

fn read_connection_settings(
    root: &Section<'_>,
    site: &Site,
    sockets: usize,
) -> Result<ConnectionSettings, PlatformError> {
    let objectives = site.settings.classes.iter().map(|class| class.latency_objective);
    let shortest = objectives.min().unwrap_or_default();
    Ok(ConnectionSettings {
        idle_timeout: root.sub("Limits")?.int("ConnIdleUs")?,
        connect_timeout: root.sub("Limits")?.int("DialTimeoutUs")?,
        silence_timeout: (shortest as f64 * SILENCE_FRACTION) as Micros,
        max_attempts_in_flight: count(root, "Limits", "MaxStreams")?,
        parts_per_call: site.settings.layout.parts_per_call as usize,
        max_descriptors: sockets,
    })
}

/// Reads a positive number from a section of the settings.
fn count(root: &Section<'_>, section: &'static str, key: &'static str) -> Result<usize, PlatformError> {
    let value = root.sub(section)?.int(key)?;
    let value = usize::try_from(value).ok().filter(|&n| n > 0);
    value.ok_or(PlatformError::Count { section, key })
}

/// Reads a number below 2^32 from the object `limits`; `default` if it is absent.
fn limit(platform: &Value, key: &'static str, default: u64) -> Result<usize, PlatformError> {
    let value =
        platform.get("limits").and_then(|limits| limits.get(key)).map_or(Some(default), Value::as_u64);
    let value = value.and_then(|n| u32::try_from(n).ok());
    value.map(|n| n as usize).ok_or(PlatformError::Limit(key))
}

fn own_name(platform: &Value, variable: impl Fn(&str) -> Option<String>) -> Option<String> {
    platform.get("name").and_then(Value::as_str).map(str::to_owned).or_else(|| variable("RELAY_NAME"))
}

fn read_json(path: &str) -> Result<Value, ConfigError> {
    let file = || path.to_owned();
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|source| ConfigError::Unreadable { file: file(), source })?;
    serde_json::from_str(&text).map_err(|source| ConfigError::NotJson { file: file(), source })
}
