//! What a trial of several processes stands on: relays between them, hosts and discovery that each process has
//! an address of its own for, clients, and the rules that are lock_ignoring_poison against what all of these saw.

pub mod backends;
pub mod clients;
pub mod discovery;
pub mod misbehaving_peers;
pub mod relay;
pub mod rules;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// What everybody in a trial writes down, on one clock.
#[derive(Clone)]
pub struct Recorder {
    start: Instant,
    history: Arc<Mutex<rules::History>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self { start: Instant::now(), history: Arc::default() }
    }
}

impl Recorder {
    /// Microseconds since the trial began.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    pub fn history(&self) -> MutexGuard<'_, rules::History> {
        lock_ignoring_poison(&self.history)
    }
}

/// A lock whose holder may have failed: what it guards is read all the same, for the verdict.
pub fn lock_ignoring_poison<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
