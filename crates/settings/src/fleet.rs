//! The section `fleet` of the operator's file: the fixed list of gatherers that are linked to each other.
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

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use mallowgauge_cluster::connections::PeerConnectionLimits;
use mallowgauge_cluster::membership::ProbeTiming;
use serde_json::Value;

use crate::config::address;
use crate::operator::Part;

/// A gatherer of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where the others reach it.
    pub address: SocketAddr,
}

/// What an operator says of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// This gatherer's place in the list.
    pub me: usize,
    /// Where it listens for peers.
    pub listen: SocketAddr,
    /// All of them, in their order.
    pub peers: Vec<Peer>,
    /// The version of the list: only gatherers with the same one are linked.
    pub version: u64,
    /// How many keepers a query has.
    pub group: usize,
    /// ProbeTiming of questions and doubts.
    pub pace: ProbeTiming,
    /// Most bytes that wait for one peer, where the limits allow more.
    pub queue: Option<usize>,
    /// Most messages taken from one peer in a second.
    pub rate: Option<u64>,
    /// Queries with an effect are taken over, and this long an id may be asked again; off where there is none.
    pub handover: Option<u64>,
}

/// Longest name of a gatherer.
const LONGEST_NAME: usize = 64;
/// Most gatherers in a list.
const MOST: usize = 512;

fn is_near(ip: IpAddr) -> bool {
    match ip {
        IpAddr::V4(ip) => ip.is_loopback() || ip.is_private() || ip.is_link_local(),
        IpAddr::V6(ip) => ip.is_loopback() || ip.is_unique_local() || ip.is_unicast_link_local(),
    }
}

impl Fleet {
    /// Reads the section; `name` is what the platform calls this gatherer, where the section does not say.
    ///
    /// # Errors
    /// One line that names the file, the key and what was expected.
    pub(crate) fn read(section: &Value, path: &str, name: Option<&str>) -> Result<Self, String> {
        let known = ["name", "listen", "peers", "group", "anywhere", "pace", "bounds", "handover"];
        let part = Part::new(section, path, "fleet", &known)?;
        let own = part.text("name")?.or(name).ok_or_else(|| part.bad("name", "is missing"))?;
        let anywhere = match section.get("anywhere") {
            None => false,
            Some(value) => value.as_bool().ok_or_else(|| part.bad("anywhere", "is not true or false"))?,
        };
        let list = section.get("peers").ok_or_else(|| part.bad("peers", "is missing"))?;
        let list = Part::new(list, path, "fleet.peers", &["version", "list"])?;
        let version = list.number("version", None, 1..=u32::MAX.into())?;
        let entries = list.value("list").and_then(Value::as_array);
        let entries = entries.ok_or_else(|| list.bad("list", "is not a list of peers"))?;
        if entries.is_empty() || entries.len() > MOST {
            return Err(list.bad("list", &format!("holds {}, not 1 to {MOST} peers", entries.len())));
        }
        let (mut peers, mut names) = (Vec::<Peer>::new(), BTreeMap::new());
        for (at, entry) in entries.iter().enumerate() {
            let peer = Part::new(entry, path, "fleet.peers.list", &["name", "address"])?;
            let bad = |key: &str, what: &str| peer.bad(key, &format!("of entry {at} {what}"));
            let name = peer.text("name")?.filter(|name| (1..=LONGEST_NAME).contains(&name.len()));
            let name = name.ok_or_else(|| bad("name", "is not a text of 1 to 64 bytes"))?.to_owned();
            let text = peer.text("address")?.ok_or_else(|| bad("address", "is missing"))?;
            let address = address(text, "fleet.peers.list.address").map_err(|e| format!("{path}: {e}"))?;
            if !anywhere && !is_near(address.ip()) {
                return Err(bad(
                    "address",
                    &format!(
                        "is {text}, neither loopback nor private; links are neither signed nor \
                              encrypted, \"anywhere\": true allows it all the same"
                    ),
                ));
            }
            if peers.iter().any(|known| known.address == address) {
                return Err(bad("address", &format!("is {text}, which an entry before it has")));
            }
            if names.insert(name.clone(), at).is_some() {
                return Err(bad("name", &format!("is {name:?}, which an entry before it has")));
            }
            peers.push(Peer { name, address });
        }
        let me = *names.get(own).ok_or_else(|| part.bad("name", &format!("is {own:?}, not in the list")))?;
        let usual = if peers.len() < 3 { 1 } else { 3 };
        let group = part.number("group", Some(usual), 1..=MOST as u64)? as usize;
        if group.is_multiple_of(2) {
            return Err(part.bad("group", &format!("is {group}, not an odd number")));
        }
        if group > peers.len() {
            return Err(part.bad("group", &format!("is {group}, larger than the list of {}", peers.len())));
        }
        let listen = match part.text("listen")? {
            Some(text) => address(text, "fleet.listen").map_err(|e| format!("{path}: {e}"))?,
            None => peers[me].address,
        };
        if !anywhere && !is_near(listen.ip()) {
            return Err(part.bad("listen", "is neither loopback nor private; \"anywhere\": true allows it"));
        }
        let none = Value::Object(serde_json::Map::default());
        let pace = Part::new(
            section.get("pace").unwrap_or(&none),
            path,
            "fleet.pace",
            &["probe_ms", "answer_ms", "doubt_ms"],
        )?;
        let usual = ProbeTiming::default();
        let ms = |key: &str, usual: u64| pace.number(key, Some(usual / 1000), 10..=60_000).map(|n| n * 1000);
        let pace = ProbeTiming {
            probe_interval: ms("probe_ms", usual.probe_interval)?,
            ack_timeout: ms("answer_ms", usual.ack_timeout)?,
            suspicion_timeout: ms("doubt_ms", usual.suspicion_timeout)?,
        };
        let bounds = section.get("bounds").unwrap_or(&none);
        let bounds = Part::new(bounds, path, "fleet.bounds", &["queue_kb", "messages_a_second"])?;
        let bound = |key: &str, least: u64| {
            let said = bounds.value(key).map(|_| bounds.number(key, None, least..=1_000_000));
            said.transpose()
        };
        let queue = bound("queue_kb", 16)?.map(|kb| kb as usize * 1024);
        let rate = bound("messages_a_second", 100)?;
        let handover = part.value("handover").map(|value| {
            let part = Part::new(value, path, "fleet.handover", &["life_ms"])?;
            part.number("life_ms", Some(10_000), 1_000..=600_000).map(|ms| ms * 1000)
        });
        let handover = handover.transpose()?;
        Ok(Self { me, listen, peers, version, group, pace, queue, rate, handover })
    }

    /// What the links may hold, of what the process may.
    ///
    /// # Errors
    /// What is too little.
    pub fn room(&self, sockets: usize, memory: usize) -> Result<PeerConnectionLimits, String> {
        let mut room =
            PeerConnectionLimits::of(self.peers.len(), sockets, memory).map_err(|e| e.to_string())?;
        room.queue_bytes = room.queue_bytes.min(self.queue.unwrap_or(room.queue_bytes));
        room.messages_per_second = self.rate.unwrap_or(room.messages_per_second);
        Ok(room)
    }
}
