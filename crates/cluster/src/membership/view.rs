//! One process's view of all members, and the events that come to it: connections, messages, shutdown.

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
    /// How often this process has refuted in this incarnation.
    pub(super) refutation: u32,
    pub(super) identity: Identity,
    pub(super) leaving: bool,
    pub(super) timing: ProbeTiming,
    /// By place in the list; this process's own entry is not used.
    pub(super) members: Vec<Member>,
    /// Members that are still to be probed in this pass over all of them; the last one is next.
    pub(super) probe_order: Vec<PeerId>,
    pub(super) next_probe: Micros,
    /// The last probe that was started here.
    pub(super) seq: u64,
    pub(super) probes: BTreeMap<u64, Probe>,
    pub(super) relayed_probes: BTreeMap<u64, RelayedProbe>,
    pub(super) gossip_queue: GossipQueue,
    pub(super) local_health_multiplier: u32,
    pub(super) rng: fastrand::Rng,
    pub(super) actions: Vec<Action>,
}

impl Membership {
    /// The view of a process that has just started: it knows nobody.
    #[must_use]
    pub fn new(now: Micros, me: PeerId, peers: usize, nonce: u64, timing: ProbeTiming, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed ^ nonce);
        Self {
            me,
            incarnation: Incarnation { number: 1, nonce },
            refutation: 0,
            identity: Identity::Unconfirmed,
            leaving: false,
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

    /// This process's present incarnation.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// A member's state; `None` if it was never heard of.
    #[must_use]
    pub fn state(&self, peer: PeerId) -> Option<MemberState> {
        if peer == self.me {
            return Some(self.own_state());
        }
        self.members.get(usize::from(peer.0)).and_then(Member::state)
    }

    /// How far this process takes faults for its own, from 0 to 8: time-outs are one more than so many times
    /// longer.
    #[must_use]
    pub fn local_health_multiplier(&self) -> u32 {
        self.local_health_multiplier
    }

    /// Whether a later process is alive under this one's name.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.identity == Identity::Superseded
    }

    fn own_state(&self) -> MemberState {
        if self.leaving {
            MemberState::Left
        } else {
            MemberState::Alive
        }
    }

    /// What this process says of itself.
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

    /// The update about a member that counts; `None` if it was never heard of.
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

    /// The whole view as one number, the same for all who hold the same view.
    #[must_use]
    pub fn view_digest(&self) -> u64 {
        let updates = self.peers().filter_map(|peer| self.member_update(peer));
        // The sum does not depend on the order.
        updates.fold(0, |sum, update| sum.wrapping_add(update_digest(&update)))
    }

    pub(super) fn peers(&self) -> impl Iterator<Item = PeerId> {
        (0..self.members.len()).filter_map(|index| u16::try_from(index).ok()).map(PeerId)
    }

    /// Another member of the list.
    pub(super) fn member_mut(&mut self, peer: PeerId) -> Option<&mut Member> {
        (peer != self.me).then_some(())?;
        self.members.get_mut(usize::from(peer.0))
    }

    pub(super) fn send(&mut self, to: PeerId, message: Message) {
        self.actions.push(Action::Send(to, message));
    }

    /// What is to be done since the last call, in this order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// A connection is up, and its hello has come: the member is there.
    pub fn peer_connected(&mut self, now: Micros, hello: MemberUpdate) {
        if self.identity == Identity::Unconfirmed {
            self.identity = Identity::Confirmed;
        }
        let me = self.me;
        if let Some(member) = self.member_mut(hello.member) {
            (member.connected, member.connection_lost, member.unanswered_pings) = (true, false, 0);
            // This process's own evidence is void; the others' suspicion begins anew.
            member.suspectors.remove(&me);
            member.suspected_at = now;
        }
        self.apply_update(now, hello);
        self.tell_suspect(now, hello.member);
        if self.refutation > 0 {
            // This process may have refuted after its hello was written.
            self.send_own_update(hello.member);
        }
    }

    /// A connection ended, or could not be had: evidence, and a reason to probe through others at once.
    /// `lost` unless this side closed it.
    pub fn peer_disconnected(&mut self, now: Micros, peer: PeerId, lost: bool) {
        let Some(member) = self.member_mut(peer) else { return };
        let is_new = member.connected || !member.connection_lost;
        member.connected = false;
        member.connection_lost |= lost;
        let is_probed = matches!(member.state(), Some(MemberState::Alive | MemberState::Suspect));
        // Whoever waits for the result of a ping can have it now.
        let over = self.relayed_probes.iter().filter(|(_, relayed)| relayed.target == peer);
        let over: Vec<u64> = over.map(|(&seq, _)| seq).collect();
        for seq in over {
            self.end_relayed_probe(seq, ProbeResult::ConnectionLost);
        }
        if is_probed && lost && is_new {
            self.probes.retain(|_, probe| probe.target != peer);
            self.start_probe(now, peer);
            self.confirm_suspicion(now, peer);
        }
    }

    /// A message on a member's connection, from the incarnation that its hello named.
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
                    // The relay hears of a suspicion about itself with another message.
                    return;
                }
            }
            Message::Gossip { updates } => self.handle_gossip(now, from, &updates),
        }
        self.tell_suspect(now, from);
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

    /// This process shuts down: all connected members hear it at once.
    pub fn announce_leave(&mut self) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        let connected = |peer: &PeerId| self.members[usize::from(peer.0)].connected;
        let connected: Vec<PeerId> = self.peers().filter(connected).collect();
        for peer in connected {
            self.send_own_update(peer);
        }
        self.probes.clear();
    }
}

/// FNV-1a over the words of an update's key.
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
