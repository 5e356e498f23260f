//! What several instances decide together. Messages in, messages and actions out, time an argument: no I/O,
//! no clock, no threads, and no knowledge of HTTP, frames or Flight.
//!
//! Three kinds of knowledge are never mixed in one type:
//!
//! - *advice* ([`membership`]) may be wrong at any time. It chooses order and pace only, and permits nothing;
//! - *promises* (ballots, in [`register`]) hold through partitions, pauses and wrong clocks. Only they permit
//!   an effect;
//! - *records* (intents and outcomes, in [`register`]) are written once and never changed.
//!
//! [`takeover`] uses all three to decide who acts for a query whose instance is lost. [`connections`],
//! [`outbound_queue`] and [`inbound_rate_limit`] decide which peers are connected and what their connections
//! may hold.

pub mod connections;
pub mod fault_injection;
pub mod inbound_rate_limit;
pub mod membership;
pub mod outbound_queue;
pub mod register;
pub mod takeover;
pub mod timer_queue;

/// Microseconds on a clock that does not run backwards; only differences count.
pub type Micros = u64;

/// An instance, as its place in the fixed list of peers, which is the same in all instances that may be
/// connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct PeerId(pub u16);

/// One run of a process under its name. The higher one is the later one. No clock takes part in it: a process
/// starts at 1 and goes above whatever its peers have known under its name.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Incarnation {
    /// Counts the runs that peers know of.
    pub number: u64,
    /// Drawn at random by each process at its start: tells apart two that came to the same number.
    pub nonce: u64,
}

impl std::fmt::Display for Incarnation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{:08x}", self.number, self.nonce >> 32)
    }
}

/// FNV-1a: finds what was mixed up; not safe against anybody who means harm.
#[must_use]
pub fn digest(bytes: impl IntoIterator<Item = u8>) -> u64 {
    bytes
        .into_iter()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}
