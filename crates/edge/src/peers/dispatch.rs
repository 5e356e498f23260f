//! Passes received frames to membership and takeover, and sends the frames of their actions.

use mallowgauge_cluster::membership::{
    Action as MembershipAction, Event, MemberState, MemberUpdate, Message as MembershipMessage,
};
use mallowgauge_cluster::takeover::{Action as TakeoverAction, Message as TakeoverMessage, TakeoverManager};
use mallowgauge_cluster::{Incarnation, PeerId};
use mallowgauge_net::ReadEnd;
use mallowgauge_router::Micros;

use super::connection::Phase;
use super::errors::{Disconnect, LostReason, RejectReason};
use super::wire::{self, Frame};
use super::Peers;

/// Maximum number of characters of a goodbye's reason that are logged.
const LOGGED_REASON_CHARS: usize = 100;

impl Peers {
    /// Handles a ready socket: completes a dial, writes queued frames and reads input.
    pub(super) fn handle_ready(&mut self, now: Micros, id: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.phase == Phase::Dialing {
            match connection.stream.connected() {
                None => return,
                Some(false) => return self.connection_lost(now, id, LostReason::ConnectFailed),
                Some(true) => {}
            }
            connection.enter(now, Phase::Handshaking);
            self.send_hello(id);
        }
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if let Err(e) = connection.flush(now) {
            return self.connection_lost(now, id, e.into());
        }
        self.read(now, id);
    }

    /// Reads and handles frames, as many as the limit per iteration and the rate limit allow.
    fn read(&mut self, now: Micros, id: u64) {
        let max = self.limits.message_bytes;
        let mut budget = self.limits.messages_per_iteration;
        loop {
            let Some(connection) = self.connections.get_mut(&id) else { return };
            if connection.resume_at.is_some_and(|at| at > now) {
                return;
            }
            connection.resume_at = None;
            let read_end = connection.stream.read(&mut connection.input, wire::LENGTH_BYTES + max);
            let (frames, result) = connection.take_frames(now, max, &mut budget);
            let is_paused = connection.resume_at.is_some();
            for frame in frames {
                self.handle_frame(now, id, frame);
            }
            if !self.connections.contains_key(&id) {
                return;
            }
            if let Err(error) = result {
                return self.disconnect(now, id, Disconnect::Rejected(error.into()));
            }
            match read_end {
                _ if is_paused => return,
                ReadEnd::Blocked => return,
                ReadEnd::Full => {}
                ReadEnd::Closed | ReadEnd::Broken => {
                    return self.connection_lost(now, id, LostReason::Closed)
                }
            }
        }
    }

    fn handle_frame(&mut self, now: Micros, id: u64, frame: Frame) {
        let Some(connection) = self.connections.get(&id) else { return };
        match (connection.phase, frame) {
            (Phase::Handshaking, Frame::Hello(hello)) => self.handle_hello(now, id, &hello),
            (Phase::Handshaking | Phase::Connected(_), Frame::Goodbye(reason)) => {
                let printable = reason.chars().filter(|c| !c.is_control());
                let reason = RejectReason::Goodbye(printable.take(LOGGED_REASON_CHARS).collect());
                self.disconnect(now, id, Disconnect::Rejected(reason));
            }
            (Phase::Connected(peer), Frame::Membership(message)) => {
                self.members.handle_message(now, peer, message);
            }
            (Phase::Connected(peer), Frame::Takeover(messages)) => {
                self.handle_takeover(now, id, peer, &messages);
            }
            // Ignores frames of a later version, and frames received before or after the connection is in use.
            (Phase::Connected(_), Frame::Unknown) | (Phase::Closing | Phase::Dialing, _) => {}
            (Phase::Handshaking, _) | (Phase::Connected(_), Frame::Hello(_)) => {
                self.disconnect(now, id, Disconnect::Rejected(RejectReason::UnexpectedFrame));
            }
        }
    }

    fn handle_takeover(&mut self, now: Micros, id: u64, peer: PeerId, messages: &[u8]) {
        let messages = wire::decode_takeover(messages);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.rate_limit.charge(messages.len().saturating_sub(1) as u64);
        }
        if let Some(manager) = &mut self.takeover {
            messages.into_iter().for_each(|message| manager.handle_message(now, peer, message));
        }
    }

    /// Performs the actions of membership and takeover until there are none.
    pub(super) fn handle_actions(&mut self, now: Micros) {
        // An action can end a connection, which can cause further actions. The loop terminates because each further
        // pass has ended at least one connection.
        loop {
            let membership = self.members.take_actions();
            let takeover = self.takeover.as_mut().map(TakeoverManager::take_actions).unwrap_or_default();
            if membership.is_empty() && takeover.is_empty() {
                break;
            }
            membership.into_iter().for_each(|action| self.handle_membership_action(now, action));
            takeover.into_iter().for_each(|action| self.handle_takeover_action(now, action));
        }
    }

    fn handle_takeover_action(&mut self, now: Micros, action: TakeoverAction) {
        match action {
            TakeoverAction::Send { to, message } => {
                if let Some(id) = self.connection_to(to) {
                    self.batch(now, id, &message);
                }
            }
            action => self.takeover_actions.push(action),
        }
    }

    fn handle_membership_action(&mut self, now: Micros, action: MembershipAction) {
        match action {
            MembershipAction::Send(to, message) => self.send_membership(to, message),
            MembershipAction::Reconnect(peer) => {
                if let Some(id) = self.connection_to(peer) {
                    self.connection_lost(now, id, LostReason::Unresponsive);
                }
            }
            MembershipAction::Notify(event) => self.handle_event(now, event),
        }
    }

    fn send_membership(&mut self, to: PeerId, message: MembershipMessage) {
        if let Some(id) = self.connection_to(to) {
            self.send(id, &Frame::Membership(message));
        }
    }

    fn handle_event(&mut self, now: Micros, event: Event) {
        match event {
            Event::MemberChanged(update) => self.member_changed(now, &update),
            Event::Refuted(number) => {
                tracing::warn!("suspected by a peer: refuted, refutation number {number}");
            }
            Event::Superseded(later) => self.superseded(now, later),
            Event::IncarnationRaised(incarnation) => {
                tracing::info!(
                    "peers knew an earlier incarnation of this instance; continuing as {incarnation}"
                );
                self.incarnation_changed(now, incarnation);
            }
        }
    }

    fn incarnation_changed(&mut self, now: Micros, incarnation: Incarnation) {
        if let Some(manager) = &mut self.takeover {
            manager.incarnation_changed(now, incarnation);
        }
    }

    fn member_changed(&mut self, now: Micros, update: &MemberUpdate) {
        let peer = update.member;
        let (name, source) = (self.list.name(peer), self.list.name(update.source));
        let state = match update.state {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "dead",
            MemberState::Left => "left",
        };
        tracing::info!("peer {name} is {state}, incarnation {}, reported by {source}", update.incarnation);
        // Messages of an earlier incarnation are obsolete, so its connection is closed.
        let is_earlier = |id: &u64| {
            self.connections.get(id).is_some_and(|connection| connection.incarnation < update.incarnation)
        };
        if let Some(id) = self.connection_to(peer).filter(is_earlier) {
            self.send_goodbye(now, id, "a later life of it is known");
        }
        // A member that is shutting down first finishes its admitted queries: it counts as unavailable only once its
        // connection has ended.
        let is_draining = update.state == MemberState::Left && self.connection_to(peer).is_some();
        let is_unavailable = update.state != MemberState::Alive && !is_draining;
        if let Some(manager) = &mut self.takeover {
            manager.peer_availability_changed(now, peer, is_unavailable);
        }
        if update.state == MemberState::Alive {
            self.dials.dial_now(now, peer);
        }
    }

    /// Handles a later process that runs under this instance's name: this process is no longer a member of the cluster
    /// and closes its connections to peers.
    fn superseded(&mut self, now: Micros, later: Incarnation) {
        let name = self.list.name(self.list.me());
        tracing::error!("another instance is {name}, incarnation {later}; this instance leaves the cluster");
        let own = self.members.incarnation();
        self.incarnation_changed(now, own);
        let connected: Vec<u64> = self.connection_by_peer.iter().copied().flatten().collect();
        for id in connected {
            self.send_goodbye(now, id, "it stands aside");
        }
    }

    /// Adds a takeover message to the batch that is sent to a peer in this iteration.
    fn batch(&mut self, now: Micros, id: u64, message: &TakeoverMessage) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let bytes = wire::encode_takeover(message);
        let full_batch = connection.batch.add(now, &bytes, message.is_awaited());
        self.to_flush.insert(id);
        if let Some(full_batch) = full_batch {
            self.send(id, &Frame::Takeover(full_batch));
        }
    }

    /// Queues a frame; the connection is flushed at the end of the iteration.
    pub(super) fn send(&mut self, id: u64, frame: &Frame) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let bytes = wire::encode(frame);
        if bytes.len() > wire::LENGTH_BYTES + self.limits.message_bytes {
            // The peer would close the connection because of it, and again after each reconnect.
            return tracing::error!(
                "peers: message of {} bytes exceeds the frame limit and was not sent",
                bytes.len()
            );
        }
        self.to_flush.insert(id);
        let dropped = connection.queue.push(wire::priority(frame), bytes);
        if dropped > 0 {
            self.count_dropped(dropped);
        }
    }

    /// Counts dropped frames, and logs their number each time that it has doubled.
    fn count_dropped(&mut self, dropped: u64) {
        let before = self.dropped_frames;
        self.dropped_frames += dropped;
        if before.checked_ilog2() != self.dropped_frames.checked_ilog2() {
            tracing::warn!(
                "peers: {} messages dropped so far because outbound queues were full",
                self.dropped_frames
            );
        }
    }
}
