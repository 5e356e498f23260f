//! Establishes and ends connections: dialing, accepting, hellos and goodbyes.

use std::net::{IpAddr, TcpStream};

use mallowgauge_cluster::connections::{verify_incarnation, HandshakeError, Hello};
use mallowgauge_cluster::membership::MemberState;
use mallowgauge_cluster::PeerId;
use mallowgauge_net::{Handle, Listener, Stream};
use mallowgauge_router::Micros;

use super::connection::{Connection, Phase, TimeoutResult};
use super::errors::{Disconnect, LostReason, RejectReason};
use super::wire::Frame;
use super::Peers;
use crate::token::SocketKind;

/// How long accepting pauses when no socket is available, in microseconds.
const ACCEPT_PAUSE: Micros = 20_000;
/// Maximum number of characters of a rejected peer's name that are logged.
const LOGGED_NAME_CHARS: usize = 40;

impl Peers {
    pub(super) fn dial(&mut self, now: Micros, handle: &Handle, peer: PeerId) {
        let address = self.addresses[usize::from(peer.0)];
        let token = SocketKind::Peer.token(self.next_connection);
        match Stream::connect(handle, address, token) {
            Ok(stream) => {
                let id = self.add_connection(now, stream, Phase::Dialing, Some(peer));
                self.handle_ready(now, id);
            }
            Err(e) => {
                self.dials.disconnected(now, peer);
                self.log_not_connected(peer, format!("cannot open a connection: {e}"));
            }
        }
    }

    pub(super) fn accept_all(&mut self, now: Micros, handle: &Handle) {
        if self.accept_paused_until.is_some() {
            return;
        }
        loop {
            match self.listener.as_ref().map(Listener::accept) {
                Some(Ok(Some(socket))) => self.accept_one(now, handle, socket),
                Some(Err(e)) => {
                    self.accept_paused_until = Some(now + ACCEPT_PAUSE);
                    tracing::warn!("accepting peer connections is paused: {e}");
                    return;
                }
                _ => return,
            }
        }
    }

    fn accept_one(&mut self, now: Micros, handle: &Handle, socket: TcpStream) {
        let ip: Option<IpAddr> = socket.peer_addr().ok().map(|address| address.ip());
        if !self.addresses.iter().any(|known| Some(known.ip()) == ip) {
            let ip = ip.map_or_else(|| "with unknown address".to_owned(), |ip| ip.to_string());
            return self.log_once(&ip, "its address is not in the peer list".to_owned());
        }
        self.evict_oldest_unidentified();
        match Stream::from_accepted(handle, socket, SocketKind::Peer.token(self.next_connection)) {
            Ok(stream) => {
                let id = self.add_connection(now, stream, Phase::Handshaking, None);
                self.handle_ready(now, id);
            }
            Err(e) => tracing::warn!("accepted peer connection failed: {e}"),
        }
    }

    /// Closes the oldest accepted connection without a completed handshake if their limit is reached. A flood of such
    /// connections therefore evicts no connected peer.
    fn evict_oldest_unidentified(&mut self) {
        let unidentified = self
            .connections
            .iter()
            .filter(|(_, connection)| !connection.is_connected() && connection.dialed.is_none());
        let oldest = unidentified.clone().min_by_key(|(_, connection)| connection.phase_since);
        let oldest = oldest.map(|(&id, _)| id);
        if unidentified.count() >= self.limits.unidentified {
            oldest.into_iter().for_each(|id| drop(self.connections.remove(&id)));
        }
    }

    fn add_connection(&mut self, now: Micros, stream: Stream, phase: Phase, dialed: Option<PeerId>) -> u64 {
        let id = self.next_connection;
        self.next_connection += 1;
        self.connections.insert(id, Connection::new(now, stream, phase, dialed, &self.limits));
        id
    }

    /// Sends a hello on a dialed connection.
    pub(super) fn send_hello(&mut self, id: u64) {
        let to = self.connections.get(&id).and_then(|connection| connection.dialed);
        let known = to.and_then(|peer| self.members.member_update(peer));
        let hello = self.list.hello(&self.members.own_update(), known);
        self.send(id, &Frame::Hello(hello));
    }

    /// Verifies the other side's hello, and accepts the connection as the peer's or rejects it.
    pub(super) fn handle_hello(&mut self, now: Micros, id: u64, hello: &Hello) {
        let Some(dialed) = self.connections.get(&id).map(|connection| connection.dialed) else { return };
        let peer = match self.list.verify(hello, dialed) {
            Ok(peer) => peer,
            Err(error) => return self.reject(now, id, hello, &error),
        };
        let (update, about_self) = self.list.hello_updates(peer, hello);
        // Applies what the peer knows of an earlier incarnation of this instance first: the hello has to exceed it.
        about_self.into_iter().for_each(|update| self.members.apply_update(now, update));
        let known = self.members.member_update(peer);
        if dialed.is_none() {
            let hello = self.list.hello(&self.members.own_update(), known);
            self.send(id, &Frame::Hello(hello));
        }
        if self.members.is_superseded() {
            return self.send_goodbye(now, id, "it stands aside");
        }
        if let Err(error) = verify_incarnation(hello, known) {
            return self.reject(now, id, hello, &error);
        }
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.enter(now, Phase::Connected(peer));
        connection.incarnation = hello.incarnation;
        let replaced = self.connection_by_peer[usize::from(peer.0)].replace(id);
        replaced.into_iter().for_each(|replaced| self.disconnect(now, replaced, Disconnect::Replaced));
        self.dials.connected(peer);
        self.logged_reasons.remove(self.list.name(peer));
        tracing::info!("peer {} connected, incarnation {}", self.list.name(peer), hello.incarnation);
        self.members.peer_connected(now, update);
        let own = self.members.incarnation();
        if let Some(manager) = &mut self.takeover {
            manager.peer_connected(now, peer, update.incarnation, own);
        }
    }

    /// Logs the reason and sends it to the other side as a goodbye.
    fn reject(&mut self, now: Micros, id: u64, hello: &Hello, error: &HandshakeError) {
        let name: String = hello.name.chars().filter(|c| !c.is_control()).take(LOGGED_NAME_CHARS).collect();
        self.log_once(&name, error.to_string());
        let dialed = self.connections.get(&id).and_then(|connection| connection.dialed);
        let is_about_list = matches!(
            error,
            HandshakeError::UnsupportedVersion(_)
                | HandshakeError::ListVersion(_)
                | HandshakeError::ListNames
        );
        if dialed.is_none() && is_about_list {
            // With this side's hello the other side detects the mismatch too, and logs it for its operator.
            let hello = self.list.hello(&self.members.own_update(), None);
            self.send(id, &Frame::Hello(hello));
        }
        self.send_goodbye(now, id, &error.to_string());
        if let (Some(peer), false) = (dialed, error.is_transient()) {
            self.dials.rejected(now, peer);
        }
    }

    /// Sends a goodbye with a reason. The connection is closed once the peer had time to read it.
    pub(super) fn send_goodbye(&mut self, now: Micros, id: u64, reason: &str) {
        self.send(id, &Frame::Goodbye(reason.to_owned()));
        self.detach(now, id, false);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.enter(now, Phase::Closing);
        }
    }

    /// Ends a connection if one of its timeouts has expired.
    pub(super) fn end_if_timed_out(&mut self, now: Micros, id: u64) {
        match self.connections.get(&id).and_then(|connection| connection.check_timeouts(now)) {
            None => {}
            Some(TimeoutResult::LingerEnded) => drop(self.connections.remove(&id)),
            Some(TimeoutResult::Lost(reason)) => self.connection_lost(now, id, reason),
        }
    }

    /// Ends a lost connection.
    pub(super) fn connection_lost(&mut self, now: Micros, id: u64, reason: LostReason) {
        self.disconnect(now, id, Disconnect::Lost(reason));
    }

    /// Ends a connection, and reports that to membership and the dial scheduler.
    pub(super) fn disconnect(&mut self, now: Micros, id: u64, cause: Disconnect) {
        let Some(connection) = self.connections.get(&id) else { return };
        if matches!(cause, Disconnect::Replaced) || connection.phase == Phase::Closing {
            self.connections.remove(&id);
            return;
        }
        let is_lost = matches!(cause, Disconnect::Lost(_));
        let was_connected = connection.is_connected();
        if is_lost {
            // A regular close would keep the connection in the kernel until the peer has read all sent bytes, which a
            // stalled peer never does. A reset also informs a peer that has not noticed the end at once.
            connection.stream.reset_on_close();
        }
        let peer = self.detach(now, id, is_lost);
        self.connections.remove(&id);
        match (cause, peer) {
            (Disconnect::Lost(reason), Some(peer)) if was_connected => self.log_ended(peer, &reason),
            (Disconnect::Rejected(reason @ RejectReason::Goodbye(_)), Some(peer)) => {
                // The next hello will exceed the earlier incarnation that the peer knew, so no long backoff is needed.
                self.log_not_connected(peer, reason.to_string());
            }
            (Disconnect::Rejected(reason), Some(peer)) => {
                self.dials.rejected(now, peer);
                self.log_ended(peer, &reason);
            }
            (Disconnect::Rejected(reason), None) => self.log_once("without a name", reason.to_string()),
            _ => {}
        }
    }

    /// Detaches a connection from its peer if it is the peer's current one. Returns the peer.
    fn detach(&mut self, now: Micros, id: u64, is_lost: bool) -> Option<PeerId> {
        let peer = self.connections.get(&id)?.peer()?;
        let current = &mut self.connection_by_peer[usize::from(peer.0)];
        if current.is_some_and(|current| current != id) {
            return Some(peer);
        }
        *current = None;
        self.dials.disconnected(now, peer);
        self.members.peer_disconnected(now, peer, is_lost);
        if self.members.member_update(peer).is_some_and(|update| update.state == MemberState::Left) {
            if let Some(manager) = &mut self.takeover {
                manager.peer_availability_changed(now, peer, true);
            }
        }
        Some(peer)
    }

    fn log_ended(&self, peer: PeerId, reason: &dyn std::fmt::Display) {
        tracing::info!("connection to peer {} ended: {reason}", self.list.name(peer));
    }

    fn log_not_connected(&mut self, peer: PeerId, reason: String) {
        let name = self.list.name(peer).to_owned();
        self.log_once(&name, reason);
    }

    /// Logs why a peer is not connected, unless the same reason was logged last.
    fn log_once(&mut self, name: &str, reason: String) {
        if self.logged_reasons.get(name) == Some(&reason) {
            return;
        }
        tracing::warn!("peer {name} not connected: {reason}");
        if self.logged_reasons.len() >= super::MAX_LOGGED_NAMES {
            self.logged_reasons.pop_first();
        }
        self.logged_reasons.insert(name.to_owned(), reason);
    }
}
