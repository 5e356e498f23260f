//! Dissemination of updates: first-hand ones at once to a few peers, all by piggybacking on pings and acks.

use std::collections::VecDeque;

use super::member::Identity;
use super::messages::{MemberState, MemberUpdate, Message};
use super::view::Membership;
use crate::{Micros, PeerId};

/// Limit on updates piggybacked on one ping or ack.
const PIGGYBACKED_UPDATES: usize = 6;
/// Limit on updates in one message of a full view.
const UPDATES_PER_MESSAGE: usize = 64;
/// Peers that first-hand updates are sent to at once; the others receive them by piggybacking.
const GOSSIP_FANOUT: usize = 8;
/// Limit on queued updates, per member of the list. Beyond it the oldest is dropped; full views compensate
/// for that.
const QUEUED_UPDATES_PER_MEMBER: usize = 4;
/// Each update is piggybacked this many times the binary logarithm of the number of members, so that it
/// reaches all of them even if a few messages are lost.
const RETRANSMIT_MULTIPLIER: u32 = 3;
/// Least time between two full views to the same member, in microseconds.
const VIEW_INTERVAL: Micros = 500_000;

/// Updates still to be piggybacked, each with its remaining number of transmissions.
#[derive(Debug, Default)]
pub(super) struct GossipQueue {
    updates: VecDeque<(MemberUpdate, u32)>,
}

impl GossipQueue {
    /// Adds an update and drops those that it supersedes. Of one suspicion, each source's update is kept.
    fn push(&mut self, update: MemberUpdate, members: usize) {
        self.updates.retain(|(known, _)| {
            let is_same_suspicion = known.key() == update.key() && known.source != update.source;
            known.member != update.member || is_same_suspicion
        });
        if self.updates.len() >= QUEUED_UPDATES_PER_MEMBER * members {
            self.updates.pop_front();
        }
        let transmissions = RETRANSMIT_MULTIPLIER * (usize::BITS - members.leading_zeros());
        self.updates.push_back((update, transmissions));
    }

    /// Returns the updates to piggyback on the next message.
    pub(super) fn piggyback(&mut self) -> Vec<MemberUpdate> {
        let mut piggybacked = Vec::new();
        for _ in 0..PIGGYBACKED_UPDATES.min(self.updates.len()) {
            let Some((update, transmissions)) = self.updates.pop_front() else { break };
            piggybacked.push(update);
            if transmissions > 1 {
                self.updates.push_back((update, transmissions - 1));
            }
        }
        piggybacked
    }
}

impl Membership {
    /// Disseminates an update: a first-hand one to a few peers at once, and any by piggybacking.
    pub(super) fn disseminate(&mut self, update: MemberUpdate) {
        if self.identity == Identity::Superseded {
            return;
        }
        let connected = |peer: &PeerId| *peer != update.member && self.members[usize::from(peer.0)].connected;
        let mut to: Vec<PeerId> = self.peers().filter(connected).collect();
        if to.len() > GOSSIP_FANOUT {
            self.rng.shuffle(&mut to);
            to.truncate(GOSSIP_FANOUT);
        }
        // Second-hand updates are not pushed: most peers have received them already.
        let about_self = update.member == self.me;
        let own_evidence = update.source == self.me && update.state >= MemberState::Suspect;
        if about_self || own_evidence {
            for peer in to {
                self.send(peer, Message::Gossip { updates: vec![update] });
            }
        }
        self.gossip_queue.push(update, self.members.len());
    }

    /// Sends the full view to a member, unless it was informed within [`VIEW_INTERVAL`].
    pub(super) fn send_view(&mut self, now: Micros, to: PeerId) {
        let Some(member) = self.member_mut(to) else { return };
        if member.was_informed_within(now, VIEW_INTERVAL) {
            return;
        }
        member.last_informed_at = Some(now);
        let view: Vec<MemberUpdate> = self.peers().filter_map(|peer| self.member_update(peer)).collect();
        for updates in view.chunks(UPDATES_PER_MESSAGE) {
            self.send(to, Message::Gossip { updates: updates.to_vec() });
        }
    }

    /// Sends a member that just sent a message the suspicion about itself, if any, so that it can refute it.
    pub(super) fn notify_suspect(&mut self, now: Micros, peer: PeerId) {
        let interval = self.timing.ack_timeout;
        let Some(member) = self.member_mut(peer) else { return };
        let is_suspect = matches!(member.state(), Some(MemberState::Suspect | MemberState::Dead));
        if !is_suspect || !member.connected || member.was_informed_within(now, interval) {
            return;
        }
        member.last_informed_at = Some(now);
        let updates = self.member_update(peer).into_iter().collect();
        self.send(peer, Message::Gossip { updates });
    }

    /// Sends a member this process's update about itself.
    pub(super) fn send_own_update(&mut self, to: PeerId) {
        let updates = vec![self.own_update()];
        self.send(to, Message::Gossip { updates });
    }
}
