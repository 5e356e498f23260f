//! Decides how many connections there may be of each kind, which one to a host a call takes, when another is
//! opened, and which one gives way to it.
//!
//! Where a fleet has more hosts than a gatherer may hold connections, the list of hosts says so at the start:
//! hosts then get more of the descriptors, and beyond that the connection that has rested longest gives way.
//! What finds no connection has found no room here, which is no sign against the host.

use std::cmp::Reverse;

use mallowgauge_router::Micros;

/// Descriptors kept for what is neither a client nor a host: the loop, discovery, listeners, the log.
const RESERVED: usize = 16;
/// No host is given more connections at a time than this.
const MOST_A_HOST: usize = 8;
/// While all connections to a host are busy, others are opened up to so many: what breaks one then cuts
/// few parts.
const SPREAD: usize = 4;

/// What the shares of connections follow from.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionResources {
    /// Descriptors that the process may hold.
    pub descriptors: usize,
    /// Bytes of memory for connections to hosts and those of the platform's clients, with their buffers.
    pub memory: usize,
    /// Hosts in the list that was known at the start.
    pub backends: usize,
    /// The most bytes that a client's connection can hold.
    pub bytes_per_client: usize,
}

/// How many connections there may be, and what buffers they may fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections to hosts.
    pub backends: usize,
    /// Bytes that the buffers of all of these may hold together.
    pub backend_bytes: usize,
    /// Connections of the platform's clients, before another front takes some of them.
    pub clients: usize,
}

impl ConnectionLimits {
    /// A quarter of the descriptors goes to hosts, or one for each and a quarter to spare where the fleet is
    /// larger, up to five eighths; the rest is the clients'. Half of the memory may be filled by clients, a
    /// quarter by hosts.
    #[must_use]
    pub fn of(means: ConnectionResources) -> Self {
        let sockets = means.descriptors.saturating_sub(RESERVED);
        let wanted = means.backends + means.backends / 4;
        let hosts = wanted.clamp(sockets / 4, sockets * 5 / 8).max(1);
        let clients =
            (sockets - hosts.min(sockets)).min(means.memory / 2 / means.bytes_per_client.max(1)).max(1);
        Self { backends: hosts, backend_bytes: means.memory / 4, clients }
    }
}

/// One connection to the host that a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionView {
    /// Its number.
    pub id: u64,
    /// It has room for the call.
    pub fits: bool,
    /// Something has been out for long with nothing heard.
    pub silent: bool,
    /// Parts out on it.
    pub load: usize,
    /// When something last went either way.
    pub used: Micros,
}

/// Whether one more connection may be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionCapacity {
    /// There is a place.
    Available,
    /// One that rests, to whatever host, would have to give way.
    Exhausted,
}

/// Where a call goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Onto this connection.
    Use(u64),
    /// Onto a new one; where there is no place and none gives way, onto the other if there is one.
    Open(Option<u64>),
    /// The host has as many as it may have, and none has room.
    Unavailable,
}

/// The connection for a call: the emptiest first, and of those the one used last, since the longer one rests
/// the likelier it has gone without a word. Silent ones are taken only where no more can be opened. While all
/// are busy another is opened, but none to another host is given up for that: with hundreds of hosts each
/// gatherer would close and open all day, and all of them together would fill the hosts' tables.
#[must_use]
pub fn choose(held: &[ConnectionView], most: usize, hosts: usize, room: ConnectionCapacity) -> Choice {
    let spread = (most / hosts.max(1)).clamp(1, SPREAD);
    let rank = |v: &&ConnectionView| (v.silent, v.load, Reverse(v.used));
    let Some(best) = held.iter().filter(|v| v.fits).min_by_key(rank) else {
        return if held.len() < MOST_A_HOST { Choice::Open(None) } else { Choice::Unavailable };
    };
    match (best.load, best.silent) {
        (0, _) => Choice::Use(best.id),
        (_, true) if held.len() < MOST_A_HOST => Choice::Open(Some(best.id)),
        (_, false) if held.len() < spread && room == ConnectionCapacity::Available => {
            Choice::Open(Some(best.id))
        }
        _ => Choice::Use(best.id),
    }
}

/// Which connection gives way: of those that rest, the one used longest ago.
#[must_use]
pub fn connection_to_evict(resting: impl Iterator<Item = (u64, Micros)>) -> Option<u64> {
    resting.min_by_key(|&(id, used)| (used, id)).map(|(id, _)| id)
}

/// Which connection goes when the buffers of all hold more than their bound: the one that holds most, so that
/// as few as can be lose what is out on them.
#[must_use]
pub fn largest_connection(held: impl Iterator<Item = (u64, usize)>) -> Option<u64> {
    held.max_by_key(|&(id, bytes)| (bytes, id)).map(|(id, _)| id)
}
