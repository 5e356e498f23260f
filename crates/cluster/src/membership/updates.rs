//! The effects of an update: on a member's state, on a suspicion, or on this process's own refutation number
//! and incarnation.

use super::actions::{Action, Event};
use super::member::{Identity, Member};
use super::messages::{MemberState, MemberUpdate, Message, SuspicionEvidence};
use super::view::Membership;
use crate::{Micros, PeerId};

/// Time to refute for a member that most live peers suspect because of lost connections, in microseconds.
const CONFIRMED_SUSPICION_TIMEOUT: Micros = 40_000;
/// Lifeguard's curve log(c + 1) / log(k + 1) for c independent confirmations and k = 2, in thousandths of the
/// difference between the longest and the shortest suspicion timeout.
const CONFIRMATION_CURVE: [Micros; 3] = [0, 631, 1000];
/// The shortest suspicion timeout is the longest one divided by this.
const SHORTEST_TIMEOUT_DIVISOR: Micros = 3;

impl Membership {
    pub(super) fn apply_updates(&mut self, now: Micros, updates: &[MemberUpdate]) {
        updates.iter().for_each(|update| self.apply_update(now, *update));
    }

    /// Applies an update if it is higher than the known one, or adds to a suspicion.
    pub fn apply_update(&mut self, now: Micros, update: MemberUpdate) {
        if update.member == self.me {
            return self.apply_update_about_self(now, update);
        }
        let Some(member) = self.members.get_mut(usize::from(update.member.0)) else { return };
        if member.update.is_some_and(|known| known > update.key()) {
            return;
        }
        let is_suspicion = update.state == MemberState::Suspect;
        let is_known = member.update == Some(update.key());
        if is_known && !is_suspicion {
            return;
        }
        if !is_known {
            member.update = Some(update.key());
            member.suspectors.clear();
            member.suspected_at = now;
        }
        if is_suspicion {
            let known = member.suspectors.get(&update.source).copied();
            if known.is_some_and(|known| known >= update.evidence) {
                return;
            }
            member.suspectors.insert(update.source, update.evidence);
        }
        let is_connected = member.connected;
        if !is_known {
            self.actions.push(Action::Notify(Event::MemberChanged(update)));
        }
        self.disseminate(update);
        if is_connected && matches!(update.state, MemberState::Suspect | MemberState::Dead) {
            // The member is informed by every peer that still reaches it, so that it can refute.
            self.send(update.member, Message::Gossip { updates: vec![update] });
        }
        self.confirm_suspicion(now, update.member);
    }

    /// Suspects a member on this process's own evidence.
    pub(super) fn suspect(&mut self, now: Micros, peer: PeerId) {
        let source = self.me;
        let Some(member) = self.member_mut(peer) else { return };
        let evidence = if member.connection_lost {
            SuspicionEvidence::ConnectionLost
        } else {
            SuspicionEvidence::NoResponse
        };
        let Some((incarnation, refutation, state)) = member.update else { return };
        let is_known = member.suspectors.get(&source).is_some_and(|&known| known >= evidence);
        if state > MemberState::Suspect || is_known {
            return;
        }
        let state = MemberState::Suspect;
        let update = MemberUpdate { member: peer, incarnation, refutation, state, source, evidence };
        self.apply_update(now, update);
    }

    /// Adds this process's own lost connection to a suspicion that others have raised.
    pub(super) fn confirm_suspicion(&mut self, now: Micros, peer: PeerId) {
        let confirms = |member: &mut Member| {
            member.connection_lost && !member.connected && member.is(MemberState::Suspect)
        };
        if self.member_mut(peer).is_some_and(confirms) {
            self.suspect(now, peer);
        }
    }

    /// Returns when a suspicion makes its member dead. The time grows with the local health multiplier and
    /// shrinks with each peer that suspects the member on its own evidence. If the connections of most live
    /// peers to it broke, it is [`CONFIRMED_SUSPICION_TIMEOUT`] times the multiplier.
    pub(super) fn suspicion_deadline(&self, member: &Member) -> Option<Micros> {
        if !member.is(MemberState::Suspect) {
            return None;
        }
        let multiplier = Micros::from(1 + self.local_health_multiplier);
        let alive = 1 + self.members.iter().filter(|member| member.is(MemberState::Alive)).count();
        let is_lost = |evidence: &&SuspicionEvidence| **evidence == SuspicionEvidence::ConnectionLost;
        if 2 * member.suspectors.values().filter(is_lost).count() > alive {
            return Some(member.suspected_at + CONFIRMED_SUSPICION_TIMEOUT * multiplier);
        }
        let longest = self.timing.suspicion_timeout * multiplier;
        let shortest = longest / SHORTEST_TIMEOUT_DIVISOR;
        let confirmations = member.suspectors.len().saturating_sub(1).min(CONFIRMATION_CURVE.len() - 1);
        let reduction = (longest - shortest) * CONFIRMATION_CURVE[confirmations] / 1000;
        Some(member.suspected_at + longest - reduction)
    }

    /// Applies an update about this process itself.
    fn apply_update_about_self(&mut self, now: Micros, update: MemberUpdate) {
        if update.incarnation == self.incarnation {
            return self.refute(update);
        }
        // Before this process is confirmed, its number always goes up, whichever nonce is higher: a later
        // incarnation is recognizable by its number alone.
        let is_earlier_incarnation =
            self.identity == Identity::Unconfirmed && update.incarnation.number >= self.incarnation.number;
        if update.incarnation < self.incarnation && !is_earlier_incarnation {
            return;
        }
        // Another process has this name in a later incarnation, or had it in one with the same number.
        let has_ended = matches!(update.state, MemberState::Dead | MemberState::Left);
        if self.identity == Identity::Unconfirmed || has_ended {
            self.raise_incarnation(update.incarnation.number.saturating_add(1));
        } else if self.identity == Identity::Confirmed {
            self.identity = Identity::Superseded;
            self.probes.clear();
            self.relayed_probes.clear();
            self.next_probe = now + self.timing.probe_interval;
            self.actions.push(Action::Notify(Event::Superseded(update.incarnation)));
        }
    }

    /// Refutes an update about this process in its current incarnation, unless it is this process's own.
    fn refute(&mut self, update: MemberUpdate) {
        if update.key() <= self.own_update().key() || update.state == MemberState::Left {
            return;
        }
        self.refutation = update.refutation.saturating_add(1);
        self.raise_local_health_multiplier();
        self.actions.push(Action::Notify(Event::Refuted(self.refutation)));
        self.disseminate(self.own_update());
    }

    /// Continues under a higher incarnation.
    fn raise_incarnation(&mut self, number: u64) {
        self.incarnation.number = number;
        self.refutation = 0;
        if self.identity == Identity::Superseded {
            self.identity = Identity::Confirmed;
        }
        self.actions.push(Action::Notify(Event::IncarnationRaised(self.incarnation)));
        if self.identity == Identity::Confirmed {
            self.disseminate(self.own_update());
        }
    }
}
