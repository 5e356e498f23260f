//! Identifiers of the register: queries, ballots and attempts, and the choice of a query's acceptors.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, PeerId};

/// The id that a client has given its query.
pub type QueryId = Arc<str>;

/// The unique number under which a proposer acts for a query. Ordered by `round` first. The encoding depends
/// on the order of the fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// 0 for a process that a client submitted the query to; a takeover uses one more than the highest round
    /// that it knows.
    pub round: u32,
    /// The process that proposes under this ballot.
    pub proposer: PeerId,
    /// The incarnation of that process.
    pub incarnation: Incarnation,
    /// Counts the ballots of that incarnation: a process that opens the same id again, after the first query
    /// of that id has ended there, uses another ballot.
    pub sequence: u64,
}

/// One attempt of one part. It includes the ballot because successive proposers may both number an attempt 0.
/// The encoding depends on the order of the fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptRef {
    /// The part of the query.
    pub part: u32,
    /// The number of the attempt of that part under this ballot.
    pub attempt: u32,
    /// The ballot under which it is sent.
    pub ballot: Ballot,
}

/// The incarnations of the acceptors that a proposal relies on.
pub type Incarnations = BTreeMap<PeerId, Incarnation>;

/// The epochs of acceptors; see [`super::Acceptor::end_epoch`].
pub type Epochs = BTreeMap<PeerId, u64>;

/// When a query was opened, as incarnations and epochs of its acceptors. An acceptor without a record of the
/// query that is in another incarnation, or more than one epoch later, may have forgotten it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OpenedAt {
    /// The acceptors' incarnations, as the opening process knew them.
    pub incarnations: Incarnations,
    /// The acceptors' epochs, as the opening process knew them.
    pub epochs: Epochs,
}

/// Returns the acceptors of a query, in the order in which they try to take it over: the `group_size` peers
/// with the highest hash of id and peer (rendezvous hashing). Every process computes the same result,
/// whatever its membership view.
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
    // FNV does not mix the last bytes into the high bits, which decide the order. The finalizer of murmur3
    // does.
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
