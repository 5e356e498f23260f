//! The messages of the membership protocol.

use crate::{Incarnation, PeerId};

/// The state of a member. Of two states with the same incarnation and refutation number, the one declared
/// later here wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Reachable from at least one peer.
    Alive,
    /// A peer could reach it neither directly nor through others.
    Suspect,
    /// It did not refute a suspicion. It may be paused or partitioned, and come back.
    Dead,
    /// It has announced its shutdown.
    Left,
}

/// The evidence for a suspicion, weakest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SuspicionEvidence {
    /// A probe got no ack.
    NoResponse,
    /// The connection broke, or its address accepts none.
    ConnectionLost,
}

/// A statement about one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MemberUpdate {
    /// The member.
    pub member: PeerId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// How often the member has refuted a suspicion in that incarnation.
    pub refutation: u32,
    /// Its state.
    pub state: MemberState,
    /// For a suspicion, the peer that raised it on its own evidence.
    pub source: PeerId,
    /// The evidence for that suspicion.
    pub evidence: SuspicionEvidence,
}

impl MemberUpdate {
    /// Returns the key that orders updates about one member; the highest one wins.
    #[must_use]
    pub fn key(&self) -> (Incarnation, u32, MemberState) {
        (self.incarnation, self.refutation, self.state)
    }
}

/// A message between two instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks for an ack.
    Ping {
        /// Sequence number of the probe.
        seq: u64,
        /// Digest of the sender's view ([`super::Membership::view_digest`]); a receiver with another view
        /// sends its own.
        view: u64,
        /// Piggybacked updates.
        updates: Vec<MemberUpdate>,
    },
    /// Answers a ping.
    Ack {
        /// Sequence number of the probe.
        seq: u64,
        /// Piggybacked updates.
        updates: Vec<MemberUpdate>,
    },
    /// Asks the receiver to ping another member: an indirect probe.
    PingReq {
        /// Sequence number of the sender's probe.
        seq: u64,
        /// The member to ping.
        target: PeerId,
    },
    /// The result of a ping on the receiver's behalf.
    PingReqResult {
        /// Sequence number of the requester's probe.
        seq: u64,
        /// The member to ping.
        target: PeerId,
        /// The result.
        result: ProbeResult,
    },
    /// Urgent updates that are not piggybacked, or a full view.
    Gossip {
        /// The updates.
        updates: Vec<MemberUpdate>,
    },
}

/// The result of a ping on another member's behalf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The target acked it.
    Acked,
    /// No ack arrived.
    NoResponse,
    /// The connection to the target broke, and there is no new one.
    ConnectionLost,
}
