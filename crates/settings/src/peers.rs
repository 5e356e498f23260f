//! The section `fleet` of the operator's file: the fixed list of instances that are linked to each other.
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

/// An instance of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where the others reach it.
    pub address: SocketAddr,
}

/// What an operator configures of several instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// This instance's index in the list.
    pub own_index: usize,
    /// Where it listens for peers.
    pub listen: SocketAddr,
    /// All of them, in their order.
    pub peers: Vec<Peer>,
    /// The version of the list: only instances with the same one are linked.
    pub version: u64,
    /// How many acceptors a query has; odd.
    pub group_size: usize,
    /// Intervals and time-outs of membership.
    pub probe_timing: ProbeTiming,
    /// Most bytes queued for one peer, where the limits allow more.
    pub queue_bytes: Option<usize>,
    /// Most messages taken from one peer in a second.
    pub messages_per_second: Option<u64>,
    /// How long a client may ask again for a query that was taken over, in µs; takeover is off where there is none.
    pub request_lifetime: Option<Micros>,
}

/// Longest name of an instance, in bytes.
const LONGEST_NAME: usize = 64;
/// Most instances in a list.
const MOST_PEERS: usize = 512;
/// Acceptors of a query where nothing is configured; one in lists that are shorter than this.
const DEFAULT_GROUP: usize = 3;
/// Default of `handover.life_ms`.
const DEFAULT_LIFE_MS: u64 = 10_000;

/// Whether an address is reached from this machine or its private network alone: links are not encrypted.
fn is_private(ip: IpAddr) -> bool {
    match ip {
        IpAddr::V4(ip) => ip.is_loopback() || ip.is_private() || ip.is_link_local(),
        IpAddr::V6(ip) => ip.is_loopback() || ip.is_unique_local() || ip.is_unicast_link_local(),
    }
}

impl PeerSettings {
    /// Reads the section; `name` is what the platform calls this instance, where the section does not say.
    ///
    /// # Errors
    /// The key that is wrong.
    pub(crate) fn read(value: &Value, file: &str, name: Option<&str>) -> Result<Self, OperatorError> {
        let known = &["name", "listen", "peers", "group", "anywhere", "pace", "bounds", "handover"];
        let section = OperatorSection::new(value, file, "fleet", known)?;
        let own = section.text("name")?.or(name).ok_or_else(|| section.error("name", Problem::Missing))?;
        let anywhere = read_anywhere(&section)?;
        let list = section.raw("peers").ok_or_else(|| section.error("peers", Problem::Missing))?;
        let list = OperatorSection::new(list, file, "fleet.peers", &["version", "list"])?;
        let version = list.number("version", None, 1..=u32::MAX.into())?;
        let peers = read_peers(&list, file, anywhere)?;
        let me = peers.iter().position(|peer| peer.name == own);
        let not_listed = || section.error("name", Problem::NotListed { name: own.to_owned() });
        let me = me.ok_or_else(not_listed)?;
        let group = read_group(&section, peers.len())?;
        let listen = section.address("listen")?.unwrap_or(peers[me].address);
        if !anywhere && !is_private(listen.ip()) {
            return Err(section.error("listen", Problem::NotPrivate));
        }
        let none = Value::Object(serde_json::Map::default());
        let pace = read_pace(section.raw("pace").unwrap_or(&none), file)?;
        let bounds = section.raw("bounds").unwrap_or(&none);
        let bounds = OperatorSection::new(bounds, file, "fleet.bounds", &["queue_kb", "messages_a_second"])?;
        let queue = read_bound(&bounds, "queue_kb", 16)?.map(|kb| kb as usize * 1024);
        let rate = read_bound(&bounds, "messages_a_second", 100)?;
        let handover = section.value("handover").map(|value| read_handover(value, file)).transpose()?;
        Ok(Self {
            own_index: me,
            listen,
            peers,
            version,
            group_size: group,
            probe_timing: pace,
            queue_bytes: queue,
            messages_per_second: rate,
            request_lifetime: handover,
        })
    }

    /// What links may hold, of what the process may: `sockets` descriptors and `memory` bytes.
    ///
    /// # Errors
    /// The limit that is too low, and what is needed.
    pub fn connection_limits(
        &self,
        sockets: usize,
        memory: usize,
    ) -> Result<PeerConnectionLimits, LimitsError> {
        let mut room = PeerConnectionLimits::of(self.peers.len(), sockets, memory)?;
        room.queue_bytes = room.queue_bytes.min(self.queue_bytes.unwrap_or(room.queue_bytes));
        room.messages_per_second = self.messages_per_second.unwrap_or(room.messages_per_second);
        Ok(room)
    }
}

fn read_anywhere(section: &OperatorSection<'_>) -> Result<bool, OperatorError> {
    let Some(value) = section.raw("anywhere") else { return Ok(false) };
    let error = || section.error("anywhere", Problem::Unexpected("is not true or false"));
    value.as_bool().ok_or_else(error)
}

/// The entries of `fleet.peers.list`; names and addresses stand there once each.
fn read_peers(section: &OperatorSection<'_>, file: &str, anywhere: bool) -> Result<Vec<Peer>, OperatorError> {
    let entries = section.value("list").and_then(Value::as_array);
    let no_list = || section.error("list", Problem::Unexpected("is not a list of peers"));
    let entries = entries.ok_or_else(no_list)?;
    if entries.is_empty() || entries.len() > MOST_PEERS {
        let problem = Problem::PeerCount { found: entries.len(), most: MOST_PEERS };
        return Err(section.error("list", problem));
    }
    let mut peers = Vec::<Peer>::new();
    for (index, entry) in entries.iter().enumerate() {
        let peer = read_peer(entry, index, file, anywhere, &peers)?;
        peers.push(peer);
    }
    Ok(peers)
}

/// An entry of the list; `earlier` are those before it.
fn read_peer(
    entry: &Value,
    index: usize,
    file: &str,
    anywhere: bool,
    earlier: &[Peer],
) -> Result<Peer, OperatorError> {
    let section = OperatorSection::new(entry, file, "fleet.peers.list", &["name", "address"])?;
    let error = |key: &str, problem| section.error(key, Problem::PeerEntry { index, problem });
    let name = section.text("name")?.filter(|name| (1..=LONGEST_NAME).contains(&name.len()));
    let name = name.ok_or_else(|| error("name", PeerProblem::Name))?;
    let missing = || error("address", PeerProblem::Missing);
    let text = section.text("address")?.ok_or_else(missing)?;
    let address = section.address("address")?.ok_or_else(missing)?;
    if !anywhere && !is_private(address.ip()) {
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

fn read_group(section: &OperatorSection<'_>, peers: usize) -> Result<usize, OperatorError> {
    let default = if peers < DEFAULT_GROUP { 1 } else { DEFAULT_GROUP };
    let group = section.number("group", Some(default as u64), 1..=MOST_PEERS as u64)? as usize;
    if group.is_multiple_of(2) {
        return Err(section.error("group", Problem::EvenGroup { group }));
    }
    if group > peers {
        return Err(section.error("group", Problem::GroupTooLarge { group, peers }));
    }
    Ok(group)
}

fn read_pace(value: &Value, file: &str) -> Result<ProbeTiming, OperatorError> {
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

fn read_bound(section: &OperatorSection<'_>, key: &str, least: u64) -> Result<Option<u64>, OperatorError> {
    section.value(key).map(|_| section.number(key, None, least..=1_000_000)).transpose()
}

fn read_handover(value: &Value, file: &str) -> Result<Micros, OperatorError> {
    let section = OperatorSection::new(value, file, "fleet.handover", &["life_ms"])?;
    let ms = section.number("life_ms", Some(DEFAULT_LIFE_MS), 1_000..=600_000)?;
    Ok(ms * 1000)
}
