//! Probes: direct pings, indirect pings through others, and pings on others' behalf.

use std::collections::BTreeSet;

use super::actions::Action;
use super::member::Member;
use super::messages::{MemberState, Message, ProbeResult};
use super::view::Membership;
use crate::{Micros, PeerId};

/// Peers that an indirect probe asks to ping the target.
const PING_REQ_RELAYS: usize = 3;
/// Limit on open pings on others' behalf, per member of the list.
const RELAYED_PROBES_PER_MEMBER: usize = 4;
/// Consecutive pings on a connection without an ack, after which it is replaced.
const UNANSWERED_PINGS_BEFORE_RECONNECT: u32 = 4;
/// Greatest local health multiplier; timeouts are multiplied by one more than it.
pub(super) const MAX_LOCAL_HEALTH_MULTIPLIER: u32 = 8;

/// A probe that this process started.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) target: PeerId,
    /// The target was pinged directly, and no relays have been asked yet.
    pub(super) is_direct: bool,
    pub(super) deadline: Micros,
    /// Peers that were asked to ping the target and have not answered.
    pub(super) relays: BTreeSet<PeerId>,
}

/// A ping on another member's behalf.
#[derive(Clone, Copy, Debug)]
pub(super) struct RelayedProbe {
    pub(super) requester: PeerId,
    /// Sequence number of the requester's probe.
    pub(super) seq: u64,
    pub(super) target: PeerId,
    pub(super) deadline: Micros,
}

impl Membership {
    /// Returns the current ack timeout.
    pub(super) fn ack_timeout(&self) -> Micros {
        self.timing.ack_timeout * Micros::from(1 + self.local_health_multiplier)
    }

    /// Records a fault that this process attributes to itself.
    pub(super) fn raise_local_health_multiplier(&mut self) {
        self.local_health_multiplier = (self.local_health_multiplier + 1).min(MAX_LOCAL_HEALTH_MULTIPLIER);
    }

    /// Starts a probe of a member, an indirect one if the member is not connected.
    pub(super) fn start_probe(&mut self, now: Micros, target: PeerId) {
        self.seq += 1;
        let (seq, deadline) = (self.seq, now + self.ack_timeout());
        let is_direct = self.member_mut(target).is_some_and(|member| member.connected);
        self.probes.insert(seq, Probe { target, is_direct, deadline, relays: BTreeSet::new() });
        if is_direct {
            self.send_ping(target, seq);
        } else {
            self.send_ping_reqs(now, seq);
        }
    }

    fn send_ping(&mut self, target: PeerId, seq: u64) {
        let (view, updates) = (self.view_digest(), self.gossip_queue.piggyback());
        self.send(target, Message::Ping { seq, view, updates });
    }

    /// Asks a few random live peers to ping the target of a probe.
    pub(super) fn send_ping_reqs(&mut self, now: Micros, seq: u64) {
        let Some(target) = self.probes.get(&seq).map(|probe| probe.target) else { return };
        let is_eligible = |peer: &PeerId| {
            let member = &self.members[usize::from(peer.0)];
            *peer != target && member.connected && member.is(MemberState::Alive)
        };
        let mut relays: Vec<PeerId> = self.peers().filter(is_eligible).collect();
        self.rng.shuffle(&mut relays);
        relays.truncate(PING_REQ_RELAYS);
        for &relay in &relays {
            self.send(relay, Message::PingReq { seq, target });
        }
        let deadline = now + 2 * self.ack_timeout();
        let Some(probe) = self.probes.get_mut(&seq) else { return };
        (probe.is_direct, probe.deadline) = (false, deadline);
        probe.relays = relays.into_iter().collect();
        if probe.relays.is_empty() {
            self.probe_failed(now, seq);
        }
    }

    /// Ends a probe that got its ack.
    pub(super) fn probe_acked(&mut self, seq: u64) {
        if self.probes.remove(&seq).is_some() {
            self.local_health_multiplier = self.local_health_multiplier.saturating_sub(1);
        }
    }

    /// Ends a probe whose target neither this process nor its relays have reached.
    pub(super) fn probe_failed(&mut self, now: Micros, seq: u64) {
        let Some(probe) = self.probes.remove(&seq) else { return };
        if !probe.relays.is_empty() {
            // Relays report failures, too. If they reported nothing, this process itself may be at fault.
            self.raise_local_health_multiplier();
        }
        self.suspect(now, probe.target);
    }

    /// Handles the result of a relay's ping. Returns `true` if it reports a failure of an open probe.
    pub(super) fn handle_ping_req_result(
        &mut self,
        now: Micros,
        relay: PeerId,
        seq: u64,
        target: PeerId,
        result: ProbeResult,
    ) -> bool {
        let Some(probe) = self.probes.get_mut(&seq).filter(|probe| probe.target == target) else {
            return false;
        };
        if result == ProbeResult::Acked {
            self.probe_acked(seq);
            return false;
        }
        if probe.relays.remove(&relay) && probe.relays.is_empty() && !probe.is_direct {
            // All relays have reported a failure.
            self.probe_failed(now, seq);
        }
        true
    }

    /// Pings a member on another one's behalf, up to the limit on open relayed probes.
    pub(super) fn handle_ping_req(&mut self, now: Micros, requester: PeerId, seq: u64, target: PeerId) {
        let has_capacity = self.relayed_probes.len() < RELAYED_PROBES_PER_MEMBER * self.members.len();
        let deadline = now + self.ack_timeout();
        let Some(member) = self.member_mut(target) else { return };
        let result = match member {
            Member { connected: true, .. } if has_capacity => {
                self.seq += 1;
                let own_seq = self.seq;
                self.relayed_probes.insert(own_seq, RelayedProbe { requester, seq, target, deadline });
                return self.send_ping(target, own_seq);
            }
            Member { connection_lost: true, .. } => ProbeResult::ConnectionLost,
            _ => ProbeResult::NoResponse,
        };
        self.send(requester, Message::PingReqResult { seq, target, result });
    }

    /// Ends a ping on another's behalf and sends the result to the requester.
    pub(super) fn end_relayed_probe(&mut self, seq: u64, result: ProbeResult) {
        let Some(RelayedProbe { requester, seq, target, .. }) = self.relayed_probes.remove(&seq) else {
            return;
        };
        self.send(requester, Message::PingReqResult { seq, target, result });
    }

    /// Handles a member's ack to a ping of this process, or on another's behalf.
    pub(super) fn handle_ack(&mut self, from: PeerId, seq: u64) {
        if self.probes.get(&seq).is_some_and(|probe| probe.target == from) {
            self.probe_acked(seq);
        } else if self.relayed_probes.get(&seq).is_some_and(|relayed| relayed.target == from) {
            self.end_relayed_probe(seq, ProbeResult::Acked);
        }
        if let Some(member) = self.member_mut(from) {
            member.unanswered_pings = 0;
        }
    }

    /// Counts a ping on a connection that got no ack.
    pub(super) fn ping_unanswered(&mut self, peer: PeerId) {
        let Some(member) = self.member_mut(peer) else { return };
        member.unanswered_pings += 1;
        if member.unanswered_pings % UNANSWERED_PINGS_BEFORE_RECONNECT == 0 {
            self.actions.push(Action::Reconnect(peer));
        }
    }

    /// Returns the next member to probe. Each reachable member is probed once per round, in a new random
    /// order each round.
    pub(super) fn next_probe_target(&mut self) -> Option<PeerId> {
        for _ in 0..=self.members.len() {
            if self.probe_order.is_empty() {
                self.probe_order = self.peers().filter(|peer| *peer != self.me).collect();
                self.rng.shuffle(&mut self.probe_order);
            }
            let peer = self.probe_order.pop()?;
            let member = &self.members[usize::from(peer.0)];
            let is_probed = self.probes.values().any(|probe| probe.target == peer);
            let is_reachable =
                member.connected || matches!(member.state(), Some(MemberState::Alive | MemberState::Suspect));
            if is_reachable && !is_probed && !member.is(MemberState::Left) {
                return Some(peer);
            }
        }
        None
    }
}
