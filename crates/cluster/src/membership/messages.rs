//! What instances tell each other about members.

use crate::{Incarnation, PeerId};

/// How a member is held to be. Of two states of the same incarnation and refutation number, the later one
/// here counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Some peer has heard it.
    Alive,
    /// A peer could not reach it, neither directly nor through others.
    Suspect,
    /// It did not refute a suspicion. It may be paused or partitioned, and come back.
    Dead,
    /// It has said that it shuts down.
    Left,
}

/// What a suspicion rests on; the later one here counts for more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SuspicionEvidence {
    /// A probe got no ack.
    NoResponse,
    /// The connection broke, or its address takes none.
    ConnectionLost,
}

/// What is said of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MemberUpdate {
    /// The member.
    pub member: PeerId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// How often it has refuted a suspicion in that incarnation.
    pub refutation: u32,
    /// Its state.
    pub state: MemberState,
    /// The peer that came to this on its own evidence, if it is a suspicion.
    pub source: PeerId,
    /// What that suspicion rests on.
    pub evidence: SuspicionEvidence,
}

impl MemberUpdate {
    /// The order of updates about one member; the highest one counts.
    #[must_use]
    pub fn key(&self) -> (Incarnation, u32, MemberState) {
        (self.incarnation, self.refutation, self.state)
    }
}

/// Between two instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks for an ack.
    Ping {
        /// The probe.
        seq: u64,
        /// Digest of the sender's view ([`super::Membership::view_digest`]); a receiver with another view
        /// sends its own.
        view: u64,
        /// Updates to spread, as many as fit.
        updates: Vec<MemberUpdate>,
    },
    /// Answers a ping.
    Ack {
        /// The probe.
        seq: u64,
        /// Updates to spread, as many as fit.
        updates: Vec<MemberUpdate>,
    },
    /// Asks the receiver to ping another member: an indirect probe.
    PingReq {
        /// The sender's probe.
        seq: u64,
        /// The member to ping.
        target: PeerId,
    },
    /// How a ping on another's behalf ended.
    PingReqResult {
        /// The requester's probe.
        seq: u64,
        /// The member that was to be pinged.
        target: PeerId,
        /// How it ended.
        result: ProbeResult,
    },
    /// Updates that do not wait for a ping, or a whole view.
    Gossip {
        /// The updates.
        updates: Vec<MemberUpdate>,
    },
}

/// How a ping on another's behalf ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The target acked it.
    Acked,
    /// No ack came.
    NoResponse,
    /// There is no connection to the target: it broke.
    ConnectionLost,
}
