//! The schedule of dials: exponential backoff with jitter, drawn from a seed, so that the instances of a
//! cluster that start at the same time do not all dial at the same time.

use super::handshake::PeerList;
use crate::{Micros, PeerId};

/// The first dials of a process are spread over this time per peer of the list, in microseconds.
const FIRST_DIAL_SPREAD_PER_PEER: Micros = 10_000;
/// The backoff after an established connection has ended, in microseconds; doubled with each failed dial.
const INITIAL_BACKOFF: Micros = 10_000;
/// The longest backoff, in microseconds.
const MAX_BACKOFF: Micros = 1_000_000;
/// The backoff after a handshake failed for a reason that only an operator can fix, in microseconds.
const REJECTED_BACKOFF: Micros = 5_000_000;

#[derive(Clone, Copy, Debug)]
struct DialState {
    next_dial: Micros,
    backoff: Micros,
    /// A connection is open or being opened.
    is_connected: bool,
}

/// Decides when this process dials which peer.
#[derive(Debug)]
pub struct DialScheduler {
    /// The peers that this process dials.
    dials: Vec<(PeerId, DialState)>,
    rng: fastrand::Rng,
}

impl DialScheduler {
    /// Creates the schedule for the peers after this process in the list. The times of the first dials are
    /// drawn from the seed.
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

    /// Returns the peers to dial now, and marks them as being dialed.
    pub fn take_due(&mut self, now: Micros) -> Vec<PeerId> {
        let due = self.dials.iter_mut().filter(|(_, dial)| !dial.is_connected && dial.next_dial <= now);
        due.map(|(peer, dial)| {
            dial.is_connected = true;
            *peer
        })
        .collect()
    }

    /// Handles a connection whose handshake succeeded.
    pub fn connected(&mut self, peer: PeerId) {
        if let Some(dial) = self.dial_mut(peer) {
            (dial.is_connected, dial.backoff) = (true, INITIAL_BACKOFF);
        }
    }

    /// Handles a connection that ended, or a dial that failed.
    pub fn disconnected(&mut self, now: Micros, peer: PeerId) {
        let jitter = self.rng.f64();
        let Some(dial) = self.dial_mut(peer) else { return };
        // At least half of the backoff, to prevent a tight retry loop.
        dial.next_dial = now + dial.backoff / 2 + (dial.backoff as f64 / 2.0 * jitter) as Micros;
        dial.backoff = (dial.backoff * 2).min(MAX_BACKOFF);
        dial.is_connected = false;
    }

    /// Handles a handshake in which one side rejected the other's hello.
    pub fn rejected(&mut self, now: Micros, peer: PeerId) {
        self.disconnected(now, peer);
        let jitter = self.rng.u64(0..=REJECTED_BACKOFF / 2);
        if let Some(dial) = self.dial_mut(peer) {
            dial.next_dial = now + REJECTED_BACKOFF / 2 + jitter;
        }
    }

    /// Schedules a dial at once, because the peer seems to be reachable again.
    pub fn dial_now(&mut self, now: Micros, peer: PeerId) {
        if let Some(dial) = self.dial_mut(peer) {
            (dial.next_dial, dial.backoff) = (dial.next_dial.min(now), INITIAL_BACKOFF);
        }
    }

    /// Returns when the next dial is due.
    #[must_use]
    pub fn poll_timeout(&self) -> Option<Micros> {
        self.dials.iter().filter(|(_, dial)| !dial.is_connected).map(|(_, dial)| dial.next_dial).min()
    }
}
