//! Connections to the other instances of the list: sockets and bytes. Which peers may be connected, when to
//! dial, what waits to be sent and who is held to be there is decided in `mallowgauge_cluster`.
//!
//! A peer can cost queries nothing that matters: what it sends is read at a bounded rate and in bounded
//! pieces, what waits for it is bounded, and one that falls silent within a frame, never reads or sends what
//! makes no sense loses its connection and nothing else.

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

/// Bytes that a record is reckoned with: request and outcome.
const RECORD_BYTES: usize = 2048;
/// Bytes of a message about a record beside its request and its outcome, for each of the two.
const RECORD_OVERHEAD_BYTES: usize = 1024;
/// Names of peers whose last logged reason is kept, at the most.
const MAX_LOGGED_NAMES: usize = 64;

/// The connections of this process to its peers, and its views of them.
pub struct Peers {
    list: PeerList,
    /// By place in the list.
    addresses: Vec<SocketAddr>,
    members: Membership,
    /// `None` where queries are not taken over.
    takeover: Option<TakeoverManager>,
    /// What takeover wants of the rest of the program.
    takeover_actions: Vec<TakeoverAction>,
    dials: DialScheduler,
    limits: PeerConnectionLimits,
    listener: Option<Listener>,
    connections: BTreeMap<u64, Connection>,
    /// The connection to each peer, by place in the list.
    connection_of: Vec<Option<u64>>,
    next_connection: u64,
    /// There were no more sockets to accept with.
    accept_paused_until: Option<Micros>,
    /// The reason that was logged last of each peer that is not connected.
    logged: BTreeMap<String, String>,
    /// Connections with something to be written in this iteration.
    to_flush: BTreeSet<u64>,
    /// Frames that were dropped because too much waited, so far.
    dropped: u64,
    next_timeout: Option<Micros>,
}

impl Peers {
    /// Opens the listener; nothing is dialed before [`Peers::handle_timeout`]. `nonce` is drawn at random by
    /// each process, `seed` spreads dials and probes.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn start(
        now: Micros,
        handle: &Handle,
        (fleet, limits): (&PeerSettings, PeerConnectionLimits),
        nonce: u64,
        seed: u64,
    ) -> Result<Self, StartError> {
        let me = PeerId(u16::try_from(fleet.own_index)?);
        let peer_count = fleet.peers.len();
        let names = fleet.peers.iter().map(|peer| peer.name.clone()).collect();
        let list = PeerList::new(names, me, fleet.version);
        let listener = Self::listen(handle, fleet.listen)?;
        let address = listener.local_addr().map_err(StartError::Address)?;
        tracing::info!(
            "peers are taken on {address}, as {} of {peer_count} in list {}, life {:08x}",
            list.name(me),
            fleet.version,
            nonce >> 32
        );
        let takeover = fleet.request_lifetime.map(|query_lifetime| {
            let (records, bytes) = (limits.records, limits.records * RECORD_BYTES);
            let limits = AcceptorLimits { records, bytes, query_lifetime };
            TakeoverManager::new(TakeoverConfig { me, peer_count, group_size: fleet.group_size, limits })
        });
        let mut peers = Self {
            members: Membership::new(now, me, peer_count, nonce, fleet.probe_timing, seed),
            dials: DialScheduler::new(now, &list, seed ^ nonce),
            takeover,
            takeover_actions: Vec::new(),
            list,
            addresses: fleet.peers.iter().map(|peer| peer.address).collect(),
            limits,
            listener: Some(listener),
            connections: BTreeMap::new(),
            connection_of: vec![None; peer_count],
            next_connection: 1,
            accept_paused_until: None,
            logged: BTreeMap::new(),
            to_flush: BTreeSet::new(),
            dropped: 0,
            next_timeout: None,
        };
        peers.flush(now);
        Ok(peers)
    }

    fn listen(handle: &Handle, address: SocketAddr) -> Result<Listener, StartError> {
        let token = SocketKind::PeerListener.token(0);
        Listener::bind(handle, address, token).map_err(|error| StartError::Bind { address, error })
    }

    /// When [`Peers::handle_timeout`] is to be called next.
    #[must_use]
    pub fn poll_timeout(&self) -> Option<Micros> {
        self.next_timeout
    }

    /// Does all that is due.
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
            // What came while this process was late is read before a peer is blamed for it.
            self.handle_ready(now, id);
            self.end_overdue(now, id);
        }
        self.members.handle_timeout(now);
        self.takeover.iter_mut().for_each(|manager| manager.handle_timeout(now));
        for peer in self.dials.take_due(now) {
            self.dial(now, handle, peer);
        }
        self.handle_actions(now);
    }

    /// A connection's socket is ready.
    pub fn ready(&mut self, now: Micros, id: u64) {
        self.handle_ready(now, id);
        self.handle_actions(now);
    }

    /// Connections wait to be accepted.
    pub fn accept(&mut self, now: Micros, handle: &Handle) {
        self.accept_all(now, handle);
        self.handle_actions(now);
    }

    /// This process shuts down: all peers hear it.
    pub fn announce_leave(&mut self, now: Micros) {
        self.members.announce_leave();
        self.handle_actions(now);
    }

    /// The most bytes of a record's request, and as many again of its outcome: acceptors tell each other both
    /// in one message.
    #[must_use]
    pub fn largest_record(&self) -> usize {
        self.limits.message_bytes / 2 - RECORD_OVERHEAD_BYTES
    }

    /// What takeover wants of the rest of the program since the last call, in this order.
    pub fn take_takeover_actions(&mut self) -> Vec<TakeoverAction> {
        std::mem::take(&mut self.takeover_actions)
    }

    /// Calls the takeover manager, if there is one, and sends what comes of it.
    pub fn with_takeover_manager<T>(
        &mut self,
        now: Micros,
        call: impl FnOnce(&mut TakeoverManager) -> T,
    ) -> Option<T> {
        let result = call(self.takeover.as_mut()?);
        self.handle_actions(now);
        Some(result)
    }

    /// Writes what an iteration has left to be sent, and finds out when there is more to do.
    pub fn flush(&mut self, now: Micros) {
        for id in std::mem::take(&mut self.to_flush) {
            self.flush_connection(now, id);
        }
        // The end of a connection can be worth a message to others: that one goes in the next iteration,
        // which is at once.
        self.handle_actions(now);
        let again = (!self.to_flush.is_empty()).then_some(now);
        let connections = self.connections.values().filter_map(Connection::poll_timeout);
        let takeover = self.takeover.as_ref().and_then(TakeoverManager::poll_timeout);
        let others = [
            self.members.poll_timeout(),
            self.dials.poll_timeout(),
            self.accept_paused_until,
            takeover,
            again,
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
            self.lost(now, id, e.into());
        }
    }

    /// The connection to a peer, if there is one.
    fn connection_to(&self, peer: PeerId) -> Option<u64> {
        self.connection_of.get(usize::from(peer.0)).copied().flatten()
    }
}
