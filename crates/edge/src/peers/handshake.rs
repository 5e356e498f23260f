//! How connections begin and end: dials, accepts, hellos and goodbyes.

use std::net::{IpAddr, TcpStream};

use mallowgauge_cluster::connections::{verify_incarnation, HandshakeError, Hello};
use mallowgauge_cluster::membership::MemberState;
use mallowgauge_cluster::PeerId;
use mallowgauge_net::{Handle, Listener, Stream, Token};
use mallowgauge_router::Micros;

use super::connection::{Connection, Overdue, Phase};
use super::errors::{Disconnect, LostReason, RejectReason};
use super::wire::Frame;
use super::Peers;
use crate::token;

/// How long accepting rests when no more sockets are to be had, in microseconds.
const ACCEPT_PAUSE: Micros = 20_000;
/// Characters of a rejected peer's name that are logged.
const LOGGED_NAME_CHARS: usize = 40;

impl Peers {
    pub(super) fn dial(&mut self, now: Micros, handle: &Handle, peer: PeerId) {
        let address = self.addresses[usize::from(peer.0)];
        let token = Token { kind: token::PEER, id: self.next_connection };
        match Stream::dial(handle, address, token) {
            Ok(stream) => {
                let id = self.add_connection(now, stream, Phase::Dialing, Some(peer));
                self.handle_ready(now, id);
            }
            Err(e) => {
                self.dials.disconnected(now, peer);
                self.log_not_connected(peer, format!("no connection here: {e}"));
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
                    tracing::warn!("peers wait: {e}");
                    return;
                }
                _ => return,
            }
        }
    }

    fn accept_one(&mut self, now: Micros, handle: &Handle, socket: TcpStream) {
        let ip: Option<IpAddr> = socket.peer_addr().ok().map(|address| address.ip());
        if !self.addresses.iter().any(|known| Some(known.ip()) == ip) {
            let ip = ip.map_or_else(|| "nowhere".to_owned(), |ip| ip.to_string());
            return self.log_once(&ip, "its address is in no entry of the list".to_owned());
        }
        self.make_room_for_unidentified();
        match Stream::accepted(handle, socket, Token { kind: token::PEER, id: self.next_connection }) {
            Ok(stream) => {
                let id = self.add_connection(now, stream, Phase::Handshaking, None);
                self.handle_ready(now, id);
            }
            Err(e) => tracing::warn!("peer not taken: {e}"),
        }
    }

    /// Drops the oldest accepted connection without a handshake if there are too many: a crowd that says
    /// nothing only drives out its own.
    fn make_room_for_unidentified(&mut self) {
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

    /// Says hello on a connection that was dialed.
    pub(super) fn send_hello(&mut self, id: u64) {
        let to = self.connections.get(&id).and_then(|connection| connection.dialed);
        let known = to.and_then(|peer| self.members.member_update(peer));
        let hello = self.list.hello(&self.members.own_update(), known);
        self.send(id, &Frame::Hello(hello));
    }

    /// The other side's hello: the connection is a peer's from here on, or rejected.
    pub(super) fn handle_hello(&mut self, now: Micros, id: u64, hello: &Hello) {
        let Some(dialed) = self.connections.get(&id).map(|connection| connection.dialed) else { return };
        let peer = match self.list.verify(hello, dialed) {
            Ok(peer) => peer,
            Err(error) => return self.reject(now, id, hello, &error),
        };
        let (update, about_self) = self.list.hello_updates(peer, hello);
        // What the peer knows of an earlier incarnation of this process comes first: this side's hello has to
        // go above it.
        about_self.into_iter().for_each(|update| self.members.apply_update(now, update));
        let known = self.members.member_update(peer);
        if dialed.is_none() {
            let hello = self.list.hello(&self.members.own_update(), known);
            self.send(id, &Frame::Hello(hello));
        }
        if self.members.is_superseded() {
            return self.say_goodbye(now, id, "it stands aside");
        }
        if let Err(error) = verify_incarnation(hello, known) {
            return self.reject(now, id, hello, &error);
        }
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.enter(now, Phase::Connected(peer));
        connection.incarnation = hello.incarnation;
        let before = self.connection_of[usize::from(peer.0)].replace(id);
        before.into_iter().for_each(|before| self.disconnect(now, before, Disconnect::Replaced));
        self.dials.connected(peer);
        self.logged.remove(self.list.name(peer));
        tracing::info!("peer {} is linked, life {}", self.list.name(peer), hello.incarnation);
        self.members.peer_connected(now, update);
        let own = self.members.incarnation();
        if let Some(manager) = &mut self.takeover {
            manager.peer_connected(now, peer, update.incarnation, own);
        }
    }

    /// Says why, and lets the other side read it.
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
            // The other side checks for itself, so that its operator reads of it there, too.
            let hello = self.list.hello(&self.members.own_update(), None);
            self.send(id, &Frame::Hello(hello));
        }
        self.say_goodbye(now, id, &error.to_string());
        if let (Some(peer), false) = (dialed, error.is_transient()) {
            self.dials.rejected(now, peer);
        }
    }

    /// Says goodbye with a reason, and closes the connection once the peer had time to read it.
    pub(super) fn say_goodbye(&mut self, now: Micros, id: u64, reason: &str) {
        self.send(id, &Frame::Goodbye(reason.to_owned()));
        self.detach(now, id, false);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.enter(now, Phase::Closing);
        }
    }

    /// Ends a connection whose time is over.
    pub(super) fn end_overdue(&mut self, now: Micros, id: u64) {
        match self.connections.get(&id).and_then(|connection| connection.overdue(now)) {
            None => {}
            Some(Overdue::Closed) => drop(self.connections.remove(&id)),
            Some(Overdue::Lost(reason)) => self.lost(now, id, reason),
        }
    }

    pub(super) fn lost(&mut self, now: Micros, id: u64, reason: LostReason) {
        self.disconnect(now, id, Disconnect::Lost(reason));
    }

    /// Ends a connection, and tells membership and the dial scheduler of it.
    pub(super) fn disconnect(&mut self, now: Micros, id: u64, end: Disconnect) {
        let Some(connection) = self.connections.get(&id) else { return };
        if matches!(end, Disconnect::Replaced) || connection.phase == Phase::Closing {
            self.connections.remove(&id);
            return;
        }
        let is_lost = matches!(end, Disconnect::Lost(_));
        let was_connected = connection.is_connected();
        if is_lost {
            // Closed the usual way, the connection would wait in the system until a peer that never reads has
            // read what was sent before; and a peer that does not know of the end is to hear of it at once.
            connection.stream.abort();
        }
        let peer = self.detach(now, id, is_lost);
        self.connections.remove(&id);
        match (end, peer) {
            (Disconnect::Lost(reason), Some(peer)) if was_connected => self.log_ended(peer, &reason),
            (Disconnect::Rejected(reason @ RejectReason::Goodbye(_)), Some(peer)) => {
                // The next hello goes above what was heard of an earlier incarnation: no reason to wait long.
                self.log_not_connected(peer, reason.to_string());
            }
            (Disconnect::Rejected(reason), Some(peer)) => {
                self.dials.rejected(now, peer);
                self.log_ended(peer, &reason);
            }
            (Disconnect::Rejected(reason), None) => self.log_once("of no name", reason.to_string()),
            _ => {}
        }
    }

    /// Takes a connection away from its peer, if it is the peer's present one; gives back the peer.
    fn detach(&mut self, now: Micros, id: u64, is_lost: bool) -> Option<PeerId> {
        let peer = self.connections.get(&id)?.peer()?;
        let present = &mut self.connection_of[usize::from(peer.0)];
        if present.is_some_and(|present| present != id) {
            return Some(peer);
        }
        *present = None;
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
        tracing::info!("link to peer {} ended: {reason}", self.list.name(peer));
    }

    fn log_not_connected(&mut self, peer: PeerId, reason: String) {
        let name = self.list.name(peer).to_owned();
        self.log_once(&name, reason);
    }

    /// Logs why a peer is not connected, once for each reason.
    fn log_once(&mut self, name: &str, reason: String) {
        if self.logged.get(name) == Some(&reason) {
            return;
        }
        tracing::warn!("peer {name} is not linked: {reason}");
        if self.logged.len() >= super::MAX_LOGGED_NAMES {
            self.logged.pop_first();
        }
        self.logged.insert(name.to_owned(), reason);
    }
}
