//! When this process dials which peer: exponential backoff with jitter, drawn from a seed, so that a cluster
//! that starts at once does not dial at once.

use super::handshake::PeerList;
use crate::{Micros, PeerId};

/// The first dials of a process are spread over this many microseconds for each peer of the list.
const FIRST_DIAL_SPREAD_PER_PEER: Micros = 10_000;
/// The backoff after a connection that was up has ended, in microseconds; doubled with each dial that fails.
const INITIAL_BACKOFF: Micros = 10_000;
/// The longest backoff, in microseconds.
const MAX_BACKOFF: Micros = 1_000_000;
/// The backoff after a handshake failed in a way that only an operator can mend, in microseconds.
const REJECTED_BACKOFF: Micros = 5_000_000;

#[derive(Clone, Copy, Debug)]
struct DialState {
    next_dial: Micros,
    backoff: Micros,
    /// A connection is open or being opened.
    is_connected: bool,
}

/// When this process dials which peer.
#[derive(Debug)]
pub struct DialScheduler {
    /// The peers that this process dials.
    dials: Vec<(PeerId, DialState)>,
    rng: fastrand::Rng,
}

impl DialScheduler {
    /// Dials the peers behind this process in the list, for the first time spread by the seed.
    #[must_use]
    pub fn new(now: Micros, list: &PeerList, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let spread = FIRST_DIAL_SPREAD_PER_PEER * list.len() as Micros;
        let first_dial = |peer| {
            let next_dial = now + rng.u64(0..=spread);
            (peer, DialState { next_dial, backoff: INITIAL_BACKOFF, is_connected: false })
        };
        let dials = list.peers().filter(|peer| *peer > list.me()).map(first_dial).collect();
        Self { dials, rng }
    }

    fn dial_mut(&mut self, peer: PeerId) -> Option<&mut DialState> {
        self.dials.iter_mut().find(|(known, _)| *known == peer).map(|(_, dial)| dial)
    }

    /// Whether this process dials that peer.
    #[must_use]
    pub fn dials(&self, peer: PeerId) -> bool {
        self.dials.iter().any(|(known, _)| *known == peer)
    }

    /// The peers that are to be dialed now; each counts as being dialed from here on.
    pub fn take_due(&mut self, now: Micros) -> Vec<PeerId> {
        let due = self.dials.iter_mut().filter(|(_, dial)| !dial.is_connected && dial.next_dial <= now);
        due.map(|(peer, dial)| {
            dial.is_connected = true;
            *peer
        })
        .collect()
    }

    /// The connection is up, and the handshake succeeded.
    pub fn connected(&mut self, peer: PeerId) {
        if let Some(dial) = self.dial_mut(peer) {
            (dial.is_connected, dial.backoff) = (true, INITIAL_BACKOFF);
        }
    }

    /// The connection ended, or never came up.
    pub fn disconnected(&mut self, now: Micros, peer: PeerId) {
        let jitter = self.rng.f64();
        let Some(dial) = self.dial_mut(peer) else { return };
        // At least half of the backoff, so that no fast loop comes about.
        dial.next_dial = now + dial.backoff / 2 + (dial.backoff as f64 / 2.0 * jitter) as Micros;
        dial.backoff = (dial.backoff * 2).min(MAX_BACKOFF);
        dial.is_connected = false;
    }

    /// One side rejected the other's hello.
    pub fn rejected(&mut self, now: Micros, peer: PeerId) {
        self.disconnected(now, peer);
        let jitter = self.rng.u64(0..=REJECTED_BACKOFF / 2);
        if let Some(dial) = self.dial_mut(peer) {
            dial.next_dial = now + REJECTED_BACKOFF / 2 + jitter;
        }
    }

    /// The peer seems to be back: it is dialed at once, unless it is being dialed.
    pub fn dial_now(&mut self, now: Micros, peer: PeerId) {
        if let Some(dial) = self.dial_mut(peer) {
            (dial.next_dial, dial.backoff) = (dial.next_dial.min(now), INITIAL_BACKOFF);
        }
    }

    /// When the next dial is due.
    #[must_use]
    pub fn poll_timeout(&self) -> Option<Micros> {
        self.dials.iter().filter(|(_, dial)| !dial.is_connected).map(|(_, dial)| dial.next_dial).min()
    }
}
