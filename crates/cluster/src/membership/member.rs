//! What is known of one member, and of this process's own name.

use std::collections::BTreeMap;

use super::messages::{MemberState, SuspicionEvidence};
use crate::{Incarnation, Micros, PeerId};

/// How this process stands to its own name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Identity {
    /// No peer has connected to it yet: it goes above every earlier incarnation that it hears of.
    Unconfirmed,
    /// It has been a member.
    Confirmed,
    /// A later process is alive under the name.
    Superseded,
}

/// One member, as this process knows it.
#[derive(Clone, Debug, Default)]
pub(super) struct Member {
    /// The key of the highest update; `None` for a member that was never heard of.
    pub(super) update: Option<(Incarnation, u32, MemberState)>,
    pub(super) connected: bool,
    /// The last connection broke, and none has come up since.
    pub(super) connection_lost: bool,
    /// Peers that suspect it on their own evidence, in this incarnation and refutation number.
    pub(super) suspectors: BTreeMap<PeerId, SuspicionEvidence>,
    /// Since when it is suspect, where it is.
    pub(super) suspected_at: Micros,
    /// Pings on the connection in a row without an ack.
    pub(super) unanswered_pings: u32,
    /// When it was last sent a whole view, or what is said of it.
    pub(super) last_told: Option<Micros>,
}

impl Member {
    pub(super) fn state(&self) -> Option<MemberState> {
        self.update.map(|(_, _, state)| state)
    }

    pub(super) fn is(&self, state: MemberState) -> bool {
        self.state() == Some(state)
    }

    /// Whether it was told within the last `interval` microseconds.
    pub(super) fn was_told_within(&self, now: Micros, interval: Micros) -> bool {
        self.last_told.is_some_and(|at| now.saturating_sub(at) < interval)
    }
}
