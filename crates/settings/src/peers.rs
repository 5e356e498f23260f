//! The section `fleet` of the operator's file: the fixed list of the instances in a cluster.
//!
//! ```json
//! {"fleet": {"name": "n1", "listen": "127.0.0.1:7401", "group": 3,
//!            "peers": {"version": 1, "list": [{"name": "n1", "address": "127.0.0.1:7401"},
//!                                             {"name": "n2", "address": "127.0.0.1:7402"},
//!                                             {"name": "n3", "address": "127.0.0.1:7403"}]},
//!            "pace": {"probe_ms": 200, "answer_ms": 100, "doubt_ms": 1500},
//!            "bounds": {"queue_kb": 256, "messages_a_second": 2000},
//!            "handover": {"life_ms": 10000}}}
//! ```

use std::net::{IpAddr, SocketAddr};

use mallowgauge_cluster::connections::{LimitsError, PeerConnectionLimits};
use mallowgauge_cluster::membership::ProbeTiming;
use mallowgauge_router::Micros;
use serde_json::Value;

use crate::error::{OperatorError, PeerProblem, Problem};
use crate::section::OperatorSection;

/// An instance in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The instance's name, which stays the same over restarts.
    pub name: String,
    /// The address on which the other instances reach it.
    pub address: SocketAddr,
}

/// Settings of a cluster of instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// This instance's index in the list.
    pub own_index: usize,
    /// The address on which this instance listens for peers.
    pub listen: SocketAddr,
    /// All instances, in the order of the list.
    pub peers: Vec<Peer>,
    /// The version of the list. Only instances with the same version connect to each other.
    pub version: u64,
    /// Number of acceptors of a query, which is odd.
    pub group_size: usize,
    /// Intervals and timeouts of the membership protocol.
    pub probe_timing: ProbeTiming,
    /// Most bytes queued for one peer, if set and lower than the platform's limits allow.
    pub queue_bytes: Option<usize>,
    /// Most messages accepted from one peer per second, if set.
    pub messages_per_second: Option<u64>,
    /// How long a client may repeat a request for a query that was taken over, in µs; takeover is off if not set.
    pub request_lifetime: Option<Micros>,
}

/// Longest name of an instance, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Most instances in a list.
const MAX_PEERS: usize = 512;
/// Default number of acceptors of a query. Lists that are shorter than this default to one acceptor.
const DEFAULT_GROUP_SIZE: usize = 3;
/// Default of `handover.life_ms`, in ms.
const DEFAULT_REQUEST_LIFETIME_MS: u64 = 10_000;

/// Whether an address can be reached only from this machine or its private network. Connections between peers are not
/// encrypted.
fn is_private(ip: IpAddr) -> bool {
    match ip {
        IpAddr::V4(ip) => ip.is_loopback() || ip.is_private() || ip.is_link_local(),
        IpAddr::V6(ip) => ip.is_loopback() || ip.is_unique_local() || ip.is_unicast_link_local(),
    }
}

impl PeerSettings {
    /// Reads the section; `name` is the platform's name for this instance, used if the section has none.
    ///
    /// # Errors
    /// Names the key that is invalid.
    pub(crate) fn read(value: &Value, file: &str, name: Option<&str>) -> Result<Self, OperatorError> {
        let known = &["name", "listen", "peers", "group", "anywhere", "pace", "bounds", "handover"];
        let section = OperatorSection::new(value, file, "fleet", known)?;
        let own_name =
            section.text("name")?.or(name).ok_or_else(|| section.error("name", Problem::Missing))?;
        let allow_public = read_allow_public(&section)?;
        let list = section.raw("peers").ok_or_else(|| section.error("peers", Problem::Missing))?;
        let list = OperatorSection::new(list, file, "fleet.peers", &["version", "list"])?;
        let version = list.number("version", None, 1..=u32::MAX.into())?;
        let peers = read_peers(&list, file, allow_public)?;
        let own_index = peers.iter().position(|peer| peer.name == own_name);
        let not_listed = || section.error("name", Problem::NotListed { name: own_name.to_owned() });
        let own_index = own_index.ok_or_else(not_listed)?;
        let group_size = read_group_size(&section, peers.len())?;
        let listen = section.address("listen")?.unwrap_or(peers[own_index].address);
        if !allow_public && !is_private(listen.ip()) {
            return Err(section.error("listen", Problem::NotPrivate));
        }
        let empty = Value::Object(serde_json::Map::default());
        let probe_timing = read_probe_timing(section.raw("pace").unwrap_or(&empty), file)?;
        let limits = section.raw("bounds").unwrap_or(&empty);
        let limits = OperatorSection::new(limits, file, "fleet.bounds", &["queue_kb", "messages_a_second"])?;
        let queue_bytes = read_limit(&limits, "queue_kb", 16)?.map(|kb| kb as usize * 1024);
        let messages_per_second = read_limit(&limits, "messages_a_second", 100)?;
        let request_lifetime =
            section.value("handover").map(|value| read_request_lifetime(value, file)).transpose()?;
        Ok(Self {
            own_index,
            listen,
            peers,
            version,
            group_size,
            probe_timing,
            queue_bytes,
            messages_per_second,
            request_lifetime,
        })
    }

    /// Returns the share of the process's `sockets` descriptors and `memory` bytes that connections to peers may use.
    ///
    /// # Errors
    /// Names the limit that is too low, and what the peers need.
    pub fn connection_limits(
        &self,
        sockets: usize,
        memory: usize,
    ) -> Result<PeerConnectionLimits, LimitsError> {
        let mut limits = PeerConnectionLimits::of(self.peers.len(), sockets, memory)?;
        limits.queue_bytes = limits.queue_bytes.min(self.queue_bytes.unwrap_or(limits.queue_bytes));
        limits.messages_per_second = self.messages_per_second.unwrap_or(limits.messages_per_second);
        Ok(limits)
    }
}

fn read_allow_public(section: &OperatorSection<'_>) -> Result<bool, OperatorError> {
    let Some(value) = section.raw("anywhere") else { return Ok(false) };
    let error = || section.error("anywhere", Problem::Unexpected("is not true or false"));
    value.as_bool().ok_or_else(error)
}

/// Reads the entries of `fleet.peers.list`, whose names and addresses have to be unique.
fn read_peers(
    section: &OperatorSection<'_>,
    file: &str,
    allow_public: bool,
) -> Result<Vec<Peer>, OperatorError> {
    let entries = section.value("list").and_then(Value::as_array);
    let no_list = || section.error("list", Problem::Unexpected("is not a list of peers"));
    let entries = entries.ok_or_else(no_list)?;
    if entries.is_empty() || entries.len() > MAX_PEERS {
        let problem = Problem::PeerCount { found: entries.len(), most: MAX_PEERS };
        return Err(section.error("list", problem));
    }
    let mut peers = Vec::<Peer>::new();
    for (index, entry) in entries.iter().enumerate() {
        let peer = read_peer(entry, index, file, allow_public, &peers)?;
        peers.push(peer);
    }
    Ok(peers)
}

/// Reads an entry of the list; `earlier` are the entries before it.
fn read_peer(
    entry: &Value,
    index: usize,
    file: &str,
    allow_public: bool,
    earlier: &[Peer],
) -> Result<Peer, OperatorError> {
    let section = OperatorSection::new(entry, file, "fleet.peers.list", &["name", "address"])?;
    let error = |key: &str, problem| section.error(key, Problem::PeerEntry { index, problem });
    let name = section.text("name")?.filter(|name| (1..=MAX_NAME_BYTES).contains(&name.len()));
    let name = name.ok_or_else(|| error("name", PeerProblem::Name))?;
    let missing = || error("address", PeerProblem::Missing);
    let text = section.text("address")?.ok_or_else(missing)?;
    let address = section.address("address")?.ok_or_else(missing)?;
    if !allow_public && !is_private(address.ip()) {
        return Err(error("address", PeerProblem::NotPrivate { address: text.to_owned() }));
    }
    if earlier.iter().any(|peer| peer.address == address) {
        return Err(error("address", PeerProblem::Repeated { value: text.to_owned() }));
    }
    if earlier.iter().any(|peer| peer.name == name) {
        return Err(error("name", PeerProblem::Repeated { value: format!("{name:?}") }));
    }
    Ok(Peer { name: name.to_owned(), address })
}

fn read_group_size(section: &OperatorSection<'_>, peers: usize) -> Result<usize, OperatorError> {
    let default = if peers < DEFAULT_GROUP_SIZE { 1 } else { DEFAULT_GROUP_SIZE };
    let size = section.number("group", Some(default as u64), 1..=MAX_PEERS as u64)? as usize;
    if size.is_multiple_of(2) {
        return Err(section.error("group", Problem::EvenGroupSize { group: size }));
    }
    if size > peers {
        return Err(section.error("group", Problem::GroupTooLarge { group: size, peers }));
    }
    Ok(size)
}

fn read_probe_timing(value: &Value, file: &str) -> Result<ProbeTiming, OperatorError> {
    let section = OperatorSection::new(value, file, "fleet.pace", &["probe_ms", "answer_ms", "doubt_ms"])?;
    let default = ProbeTiming::default();
    let micros = |key: &str, default: Micros| {
        let ms = section.number(key, Some(default / 1000), 10..=60_000);
        ms.map(|ms| ms * 1000)
    };
    Ok(ProbeTiming {
        probe_interval: micros("probe_ms", default.probe_interval)?,
        ack_timeout: micros("answer_ms", default.ack_timeout)?,
        suspicion_timeout: micros("doubt_ms", default.suspicion_timeout)?,
    })
}

fn read_limit(section: &OperatorSection<'_>, key: &str, least: u64) -> Result<Option<u64>, OperatorError> {
    section.value(key).map(|_| section.number(key, None, least..=1_000_000)).transpose()
}

fn read_request_lifetime(value: &Value, file: &str) -> Result<Micros, OperatorError> {
    let section = OperatorSection::new(value, file, "fleet.handover", &["life_ms"])?;
    let ms = section.number("life_ms", Some(DEFAULT_REQUEST_LIFETIME_MS), 1_000..=600_000)?;
    Ok(ms * 1000)
}
