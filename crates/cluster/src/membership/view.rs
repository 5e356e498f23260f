//! One process's view of all members, and its inputs: connections, messages, shutdown.

use std::collections::BTreeMap;

use super::actions::{Action, ProbeTiming};
use super::dissemination::GossipQueue;
use super::member::{Identity, Member};
use super::messages::{MemberState, MemberUpdate, Message, ProbeResult, SuspicionEvidence};
use super::probes::{Probe, RelayedProbe};
use crate::{Incarnation, Micros, PeerId};

/// One process's view of all members.
#[derive(Debug)]
pub struct Membership {
    pub(super) me: PeerId,
    pub(super) incarnation: Incarnation,
    /// How often this process has refuted a suspicion in this incarnation.
    pub(super) refutation: u32,
    pub(super) identity: Identity,
    pub(super) shutting_down: bool,
    pub(super) timing: ProbeTiming,
    /// Indexed by [`PeerId`]; this process's own entry is not used.
    pub(super) members: Vec<Member>,
    /// Members still to be probed in this round; the last one is probed next.
    pub(super) probe_order: Vec<PeerId>,
    pub(super) next_probe: Micros,
    /// Sequence number of the last probe that this process started.
    pub(super) seq: u64,
    pub(super) probes: BTreeMap<u64, Probe>,
    pub(super) relayed_probes: BTreeMap<u64, RelayedProbe>,
    pub(super) gossip_queue: GossipQueue,
    pub(super) local_health_multiplier: u32,
    pub(super) rng: fastrand::Rng,
    pub(super) actions: Vec<Action>,
}

impl Membership {
    /// Creates the view of a process that has just started, without knowledge of any member.
    #[must_use]
    pub fn new(now: Micros, me: PeerId, peers: usize, nonce: u64, timing: ProbeTiming, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed ^ nonce);
        Self {
            me,
            incarnation: Incarnation { number: 1, nonce },
            refutation: 0,
            identity: Identity::Unconfirmed,
            shutting_down: false,
            timing,
            members: vec![Member::default(); peers],
            probe_order: Vec::new(),
            next_probe: now + rng.u64(0..=timing.probe_interval),
            seq: rng.u64(0..1 << 32),
            probes: BTreeMap::new(),
            relayed_probes: BTreeMap::new(),
            gossip_queue: GossipQueue::default(),
            local_health_multiplier: 0,
            rng,
            actions: Vec::new(),
        }
    }

    /// Returns this process's current incarnation.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns a member's state; `None` if no update about it has arrived.
    #[must_use]
    pub fn state(&self, peer: PeerId) -> Option<MemberState> {
        if peer == self.me {
            return Some(self.own_state());
        }
        self.members.get(usize::from(peer.0)).and_then(Member::state)
    }

    /// Returns Lifeguard's local health multiplier, from 0 (healthy) to 8: timeouts are multiplied by one
    /// more than it.
    #[must_use]
    pub fn local_health_multiplier(&self) -> u32 {
        self.local_health_multiplier
    }

    /// Whether a later incarnation of this process's name is alive.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.identity == Identity::Superseded
    }

    fn own_state(&self) -> MemberState {
        if self.shutting_down {
            MemberState::Left
        } else {
            MemberState::Alive
        }
    }

    /// Returns this process's update about itself.
    #[must_use]
    pub fn own_update(&self) -> MemberUpdate {
        MemberUpdate {
            member: self.me,
            incarnation: self.incarnation,
            refutation: self.refutation,
            state: self.own_state(),
            source: self.me,
            evidence: SuspicionEvidence::NoResponse,
        }
    }

    /// Returns the highest update about a member; `None` if none has arrived.
    #[must_use]
    pub fn member_update(&self, peer: PeerId) -> Option<MemberUpdate> {
        if peer == self.me {
            return Some(self.own_update());
        }
        let member = self.members.get(usize::from(peer.0))?;
        let (incarnation, refutation, state) = member.update?;
        let suspicion = member.suspectors.iter().next_back();
        let (source, evidence) = suspicion
            .map_or((self.me, SuspicionEvidence::NoResponse), |(&source, &evidence)| (source, evidence));
        Some(MemberUpdate { member: peer, incarnation, refutation, state, source, evidence })
    }

    /// Returns a digest of the view; processes with the same view have the same digest.
    #[must_use]
    pub fn view_digest(&self) -> u64 {
        let updates = self.peers().filter_map(|peer| self.member_update(peer));
        // The sum does not depend on the order.
        updates.fold(0, |sum, update| sum.wrapping_add(update_digest(&update)))
    }

    pub(super) fn peers(&self) -> impl Iterator<Item = PeerId> {
        (0..self.members.len()).filter_map(|index| u16::try_from(index).ok()).map(PeerId)
    }

    /// Returns the entry of another member; `None` for this process and for ids outside the list.
    pub(super) fn member_mut(&mut self, peer: PeerId) -> Option<&mut Member> {
        (peer != self.me).then_some(())?;
        self.members.get_mut(usize::from(peer.0))
    }

    pub(super) fn send(&mut self, to: PeerId, message: Message) {
        self.actions.push(Action::Send(to, message));
    }

    /// Returns the actions since the last call, in the order to execute them.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Handles a completed handshake: the member is connected.
    pub fn peer_connected(&mut self, now: Micros, hello: MemberUpdate) {
        if self.identity == Identity::Unconfirmed {
            self.identity = Identity::Confirmed;
        }
        let me = self.me;
        if let Some(member) = self.member_mut(hello.member) {
            (member.connected, member.connection_lost, member.unanswered_pings) = (true, false, 0);
            // The new connection invalidates this process's own evidence and restarts the timeout of the
            // others' suspicion.
            member.suspectors.remove(&me);
            member.suspected_at = now;
        }
        self.apply_update(now, hello);
        self.notify_suspect(now, hello.member);
        if self.refutation > 0 {
            // This process may have refuted after its hello was written.
            self.send_own_update(hello.member);
        }
    }

    /// Handles a connection that ended or could not be opened. That is evidence of a failure, so the member
    /// is probed through others at once. `lost` is false if this side closed the connection.
    pub fn peer_disconnected(&mut self, now: Micros, peer: PeerId, lost: bool) {
        let Some(member) = self.member_mut(peer) else { return };
        let is_new = member.connected || !member.connection_lost;
        member.connected = false;
        member.connection_lost |= lost;
        let is_probed = matches!(member.state(), Some(MemberState::Alive | MemberState::Suspect));
        // Requesters of pings to this member get their result now.
        let failed = self.relayed_probes.iter().filter(|(_, relayed)| relayed.target == peer);
        let failed: Vec<u64> = failed.map(|(&seq, _)| seq).collect();
        for seq in failed {
            self.end_relayed_probe(seq, ProbeResult::ConnectionLost);
        }
        if is_probed && lost && is_new {
            self.probes.retain(|_, probe| probe.target != peer);
            self.start_probe(now, peer);
            self.confirm_suspicion(now, peer);
        }
    }

    /// Handles a message on a member's connection, from the incarnation that its hello named.
    pub fn handle_message(&mut self, now: Micros, from: PeerId, message: Message) {
        if self.member_mut(from).is_none() {
            return;
        }
        match message {
            Message::Ping { seq, view, updates } => {
                self.apply_updates(now, &updates);
                let updates = self.gossip_queue.piggyback();
                self.send(from, Message::Ack { seq, updates });
                if view != self.view_digest() {
                    self.send_view(now, from);
                }
            }
            Message::Ack { seq, updates } => {
                self.apply_updates(now, &updates);
                self.handle_ack(from, seq);
            }
            Message::PingReq { seq, target } => self.handle_ping_req(now, from, seq, target),
            Message::PingReqResult { seq, target, result } => {
                if !self.handle_ping_req_result(now, from, seq, target, result) {
                    // The relay is informed of a suspicion about itself with another message.
                    return;
                }
            }
            Message::Gossip { updates } => self.handle_gossip(now, from, &updates),
        }
        self.notify_suspect(now, from);
    }

    fn handle_gossip(&mut self, now: Micros, from: PeerId, updates: &[MemberUpdate]) {
        let own_key = self.own_update().key();
        let is_refuted = |update: &MemberUpdate| {
            update.member == self.me && update.state > MemberState::Alive && update.key() < own_key
        };
        let lacks_refutation = updates.iter().any(is_refuted);
        self.apply_updates(now, updates);
        if lacks_refutation {
            self.send_own_update(from);
        }
    }

    /// Announces this process's shutdown to all connected members.
    pub fn announce_shutdown(&mut self) {
        if self.shutting_down {
            return;
        }
        self.shutting_down = true;
        let connected = |peer: &PeerId| self.members[usize::from(peer.0)].connected;
        let connected: Vec<PeerId> = self.peers().filter(connected).collect();
        for peer in connected {
            self.send_own_update(peer);
        }
        self.probes.clear();
    }
}

/// Hashes an update's member and key with FNV-1a, word by word.
fn update_digest(update: &MemberUpdate) -> u64 {
    let words = [
        u64::from(update.member.0),
        update.incarnation.number,
        update.incarnation.nonce,
        u64::from(update.refutation),
        update.state as u64,
    ];
    words.iter().fold(0xcbf2_9ce4_8422_2325_u64, |hash, word| {
        (hash ^ word).wrapping_mul(0x0100_0000_01b3).rotate_left(29)
    })
}
