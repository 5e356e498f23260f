//! Names of what the register decides on: queries, ballots, attempts, and the acceptors of a query.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, PeerId};

/// The client's id of a query.
pub type QueryId = Arc<str>;

/// The number under which a proposer acts for a query. No two proposers ever have the same one. Ordered by
/// `round` first. Stored and sent by the order of its fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// 0 for a process that a client submitted the query to; a takeover goes above every round that it heard
    /// of.
    pub round: u32,
    /// The process that proposes under this ballot.
    pub proposer: PeerId,
    /// The incarnation of that process.
    pub incarnation: Incarnation,
    /// Counts the ballots of that incarnation: a process that opens the same id a second time, after the
    /// first one has ended there, gets another ballot.
    pub sequence: u64,
}

/// One attempt of one part. It names its ballot because two proposers, one after the other, may both count an
/// attempt 0. Stored and sent by the order of its fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptRef {
    /// The part of the query.
    pub part: u32,
    /// The number of the attempt at that part under this ballot.
    pub attempt: u32,
    /// The ballot under which it is sent.
    pub ballot: Ballot,
}

/// The incarnations of acceptors that a proposal counts on.
pub type Incarnations = BTreeMap<PeerId, Incarnation>;

/// The epochs of acceptors; see [`super::Acceptor::end_epoch`].
pub type Epochs = BTreeMap<PeerId, u64>;

/// When a query was opened, in its acceptors' own terms. An acceptor without a record of the query that is in
/// another incarnation, or more than one epoch later, may have forgotten it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OpenedAt {
    /// The acceptors' incarnations, as the opening process knew them.
    pub incarnations: Incarnations,
    /// The acceptors' epochs, as the opening process knew them.
    pub epochs: Epochs,
}

/// The acceptors of a query, first the one that takes over first: the `group_size` peers of the highest hash
/// of id and peer (rendezvous hashing). Every process computes the same ones, whatever its membership view.
#[must_use]
pub fn acceptors_for(id: &str, peer_count: usize, group_size: usize) -> Vec<PeerId> {
    let peers = (0..peer_count).filter_map(|index| u16::try_from(index).ok());
    let mut ranked: Vec<(u64, PeerId)> =
        peers.map(|peer| (rendezvous_hash(id, peer), PeerId(peer))).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().take(group_size).map(|(_, peer)| peer).collect()
}

fn rendezvous_hash(id: &str, peer: u16) -> u64 {
    let hash = crate::digest(id.bytes().chain([0]).chain(peer.to_be_bytes()));
    // FNV's last bytes do not reach the high bits, which decide the order; this finalizer (murmur3's) mixes
    // them.
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
