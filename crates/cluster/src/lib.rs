//! What several gatherers decide together. Messages in, messages and orders out, time an argument: no I/O, no
//! clock, no threads, and no knowledge of HTTP, frames or Flight.
//!
//! Three kinds of knowledge are never mixed in one type. *Advice* ([`members`]) may be wrong at any time, and
//! chooses only whom to ask first and at what pace; nothing in it may ever allow an effect or a spend. *Promises*
//! and *records* ([`register`]) hold through cuts, pauses and wrong clocks; only these allow an effect.

pub mod flow;
pub mod links;
pub mod members;
pub mod planted;
pub mod register;
pub mod takeover;
pub mod timer_queue;

/// Microseconds on a clock that does not run backwards; only differences count.
pub type Micros = u64;

/// A gatherer's place in the fixed list of peers, which is the same in every process that may be linked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct PeerId(pub u16);

/// One life of a process under its name. The higher one is the later one; no clock takes part in it: a process
/// starts at 1 and goes above whatever its peers have known under its name. `nonce` tells apart two processes
/// that came to the same number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Incarnation {
    /// Counts the lives that peers know of.
    pub number: u64,
    /// Drawn at random by each process at its start.
    pub nonce: u64,
}

impl std::fmt::Display for Incarnation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{:08x}", self.number, self.nonce >> 32)
    }
}

/// A number that tells apart what was mixed up (FNV-1a); it does not withstand anybody who means harm.
#[must_use]
pub fn digest(bytes: impl IntoIterator<Item = u8>) -> u64 {
    bytes
        .into_iter()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}
