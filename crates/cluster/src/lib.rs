//! Coordination between instances: membership, a replicated register per query, and takeover.
//!
//! The crate takes messages and the current time as input and returns messages and actions. It does no I/O,
//! reads no clock, starts no threads, and knows nothing of HTTP, frames or Flight.
//!
//! Three kinds of knowledge are never mixed in one type:
//!
//! - *advice* ([`membership`]) may be wrong at any time. It only chooses order and pace, and permits nothing;
//! - *promises* (ballots, in [`register`]) hold through partitions, pauses and wrong clocks. Only they permit
//!   a side effect;
//! - *records* (intents and outcomes, in [`register`]) are written once and never changed.
//!
//! [`takeover`] uses all three to decide which instance acts for a query whose instance is lost.
//! [`connections`], [`outbound_queue`] and [`inbound_rate_limit`] decide which peers are connected and how
//! much memory and traffic each connection may use.

pub mod connections;
pub mod fault_injection;
pub mod inbound_rate_limit;
pub mod membership;
pub mod outbound_queue;
pub mod register;
pub mod takeover;
pub mod timer_queue;

/// Microseconds on a monotonic clock with an arbitrary origin.
pub type Micros = u64;

/// An instance, as its index in the fixed list of peers. All instances that may be connected have the same
/// list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct PeerId(pub u16);

/// One run of a process under its name. The higher one is the later one. It does not depend on a clock: a
/// process starts at 1 and raises its number above every incarnation of its name that its peers know.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Incarnation {
    /// Counts the runs under this name that peers know.
    pub number: u64,
    /// Drawn at random by each process at its start: distinguishes two processes with the same number.
    pub nonce: u64,
}

impl std::fmt::Display for Incarnation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{:08x}", self.number, self.nonce >> 32)
    }
}

/// Returns the FNV-1a hash of the bytes: detects accidental differences, not deliberate ones.
#[must_use]
pub fn digest(bytes: impl IntoIterator<Item = u8>) -> u64 {
    bytes
        .into_iter()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}
