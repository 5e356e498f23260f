//! Connections to the other instances of the peer list: sockets and bytes. Handshake verification, dial scheduling,
//! outbound queues and membership are implemented in `mallowgauge_cluster`.
//!
//! A misbehaving peer does not affect queries: its input is read at a limited rate and in limited amounts, and its
//! outbound queue is bounded. A peer that stalls within a frame, never reads or sends malformed frames only loses its
//! connection.

mod connection;
mod dispatch;
mod errors;
mod handshake;
pub mod wire;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use mallowgauge_cluster::connections::{DialScheduler, PeerConnectionLimits, PeerList};
use mallowgauge_cluster::membership::Membership;
use mallowgauge_cluster::register::AcceptorLimits;
use mallowgauge_cluster::takeover::{Action as TakeoverAction, TakeoverConfig, TakeoverManager};
use mallowgauge_cluster::PeerId;
use mallowgauge_net::{Handle, Listener};
use mallowgauge_router::Micros;
use mallowgauge_settings::PeerSettings;

use crate::token::SocketKind;
use connection::{Connection, Phase};
pub use errors::StartError;
use wire::Frame;

/// Estimated size in bytes of a record: request and outcome.
const RECORD_BYTES: usize = 2048;
/// Overhead in bytes of a message about a record, for each of its request and its outcome.
const RECORD_OVERHEAD_BYTES: usize = 1024;
/// Maximum number of peer names whose last logged reason is remembered.
const MAX_LOGGED_NAMES: usize = 64;

/// The connections of this instance to its peers, and its view of their membership.
pub struct Peers {
    list: PeerList,
    /// Peer addresses, by index in the list.
    addresses: Vec<SocketAddr>,
    members: Membership,
    /// `None` if queries are not taken over.
    takeover: Option<TakeoverManager>,
    /// Takeover actions for the rest of the server.
    takeover_actions: Vec<TakeoverAction>,
    dials: DialScheduler,
    limits: PeerConnectionLimits,
    listener: Option<Listener>,
    connections: BTreeMap<u64, Connection>,
    /// The connection to each peer, by index in the list.
    connection_by_peer: Vec<Option<u64>>,
    next_connection: u64,
    /// Accepting is paused until this time, because no socket was available.
    accept_paused_until: Option<Micros>,
    /// The last logged reason for each peer that is not connected, by name.
    logged_reasons: BTreeMap<String, String>,
    /// Connections to flush at the end of this iteration.
    to_flush: BTreeSet<u64>,
    /// Frames dropped so far because an outbound queue was full.
    dropped_frames: u64,
    next_timeout: Option<Micros>,
}

impl Peers {
    /// Opens the listener. No peer is dialed before [`Peers::handle_timeout`]. `nonce` is a random number that is
    /// unique to this process; `seed` randomizes the times of dials and probes.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn start(
        now: Micros,
        handle: &Handle,
        (settings, limits): (&PeerSettings, PeerConnectionLimits),
        nonce: u64,
        seed: u64,
    ) -> Result<Self, StartError> {
        let me = PeerId(u16::try_from(settings.own_index)?);
        let peer_count = settings.peers.len();
        let names = settings.peers.iter().map(|peer| peer.name.clone()).collect();
        let list = PeerList::new(names, me, settings.version);
        let listener = Self::listen(handle, settings.listen)?;
        let address = listener.local_addr().map_err(StartError::Address)?;
        tracing::info!(
            "listening for peers on {address}, as {} of {peer_count} in peer list version {}, incarnation {:08x}",
            list.name(me),
            settings.version,
            nonce >> 32
        );
        let takeover = settings.request_lifetime.map(|query_lifetime| {
            let (records, bytes) = (limits.records, limits.records * RECORD_BYTES);
            let limits = AcceptorLimits { records, bytes, query_lifetime };
            TakeoverManager::new(TakeoverConfig { me, peer_count, group_size: settings.group_size, limits })
        });
        let mut peers = Self {
            members: Membership::new(now, me, peer_count, nonce, settings.probe_timing, seed),
            dials: DialScheduler::new(now, &list, seed ^ nonce),
            takeover,
            takeover_actions: Vec::new(),
            list,
            addresses: settings.peers.iter().map(|peer| peer.address).collect(),
            limits,
            listener: Some(listener),
            connections: BTreeMap::new(),
            connection_by_peer: vec![None; peer_count],
            next_connection: 1,
            accept_paused_until: None,
            logged_reasons: BTreeMap::new(),
            to_flush: BTreeSet::new(),
            dropped_frames: 0,
            next_timeout: None,
        };
        peers.flush(now);
        Ok(peers)
    }

    fn listen(handle: &Handle, address: SocketAddr) -> Result<Listener, StartError> {
        let token = SocketKind::PeerListener.token(0);
        Listener::bind(handle, address, token).map_err(|error| StartError::Bind { address, error })
    }

    /// The time at which [`Peers::handle_timeout`] has to be called next.
    #[must_use]
    pub fn poll_timeout(&self) -> Option<Micros> {
        self.next_timeout
    }

    /// Handles all timers that are due.
    pub fn handle_timeout(&mut self, now: Micros, handle: &Handle) {
        if self.next_timeout.is_none_or(|due| due > now) {
            return;
        }
        if self.accept_paused_until.is_some_and(|until| until <= now) {
            self.accept_paused_until = None;
            self.accept_all(now, handle);
        }
        let is_due = |connection: &Connection| connection.poll_timeout().is_some_and(|due| due <= now);
        let due = self.connections.iter().filter(|(_, connection)| is_due(connection));
        for id in due.map(|(&id, _)| id).collect::<Vec<_>>() {
            self.to_flush.insert(id);
            // Reads pending input first: if this process was late, the peer must not be timed out for it.
            self.handle_ready(now, id);
            self.end_if_timed_out(now, id);
        }
        self.members.handle_timeout(now);
        self.takeover.iter_mut().for_each(|manager| manager.handle_timeout(now));
        for peer in self.dials.take_due(now) {
            self.dial(now, handle, peer);
        }
        self.handle_actions(now);
    }

    /// Handles a connection whose socket is ready.
    pub fn ready(&mut self, now: Micros, id: u64) {
        self.handle_ready(now, id);
        self.handle_actions(now);
    }

    /// Accepts pending connections.
    pub fn accept(&mut self, now: Micros, handle: &Handle) {
        self.accept_all(now, handle);
        self.handle_actions(now);
    }

    /// Announces to all peers that this instance is shutting down.
    pub fn announce_shutdown(&mut self, now: Micros) {
        self.members.announce_shutdown();
        self.handle_actions(now);
    }

    /// The maximum size in bytes of a record's request, and of its outcome: acceptors send both in one message.
    #[must_use]
    pub fn max_record_bytes(&self) -> usize {
        self.limits.message_bytes / 2 - RECORD_OVERHEAD_BYTES
    }

    /// Removes and returns the takeover actions for the rest of the server, in order.
    pub fn take_takeover_actions(&mut self) -> Vec<TakeoverAction> {
        std::mem::take(&mut self.takeover_actions)
    }

    /// Calls the takeover manager, if there is one, and performs the resulting actions.
    pub fn with_takeover_manager<T>(
        &mut self,
        now: Micros,
        call: impl FnOnce(&mut TakeoverManager) -> T,
    ) -> Option<T> {
        let result = call(self.takeover.as_mut()?);
        self.handle_actions(now);
        Some(result)
    }

    /// Flushes the connections at the end of an iteration, and computes the next timeout.
    pub fn flush(&mut self, now: Micros) {
        for id in std::mem::take(&mut self.to_flush) {
            self.flush_connection(now, id);
        }
        // A connection that ended can cause messages to other peers. They are sent in the next iteration, which
        // starts at once.
        self.handle_actions(now);
        let pending_flush = (!self.to_flush.is_empty()).then_some(now);
        let connections = self.connections.values().filter_map(Connection::poll_timeout);
        let takeover = self.takeover.as_ref().and_then(TakeoverManager::poll_timeout);
        let others = [
            self.members.poll_timeout(),
            self.dials.poll_timeout(),
            self.accept_paused_until,
            takeover,
            pending_flush,
        ];
        self.next_timeout = connections.chain(others.into_iter().flatten()).min();
    }

    fn flush_connection(&mut self, now: Micros, id: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if let Some(messages) = connection.batch.take_due(now) {
            self.send(id, &Frame::Takeover(messages));
        }
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.phase == Phase::Dialing {
            return;
        }
        if let Err(e) = connection.flush(now) {
            self.connection_lost(now, id, e.into());
        }
    }

    /// The connection to a peer, if there is one.
    fn connection_to(&self, peer: PeerId) -> Option<u64> {
        self.connection_by_peer.get(usize::from(peer.0)).copied().flatten()
    }
}
