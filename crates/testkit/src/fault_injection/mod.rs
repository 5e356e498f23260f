//! Building blocks for fault-injection trials of several instances: relays between the instances, backends and
//! discovery with a separate address for each instance, clients, misbehaving peers, and the rules that the recorded
//! history is checked against.

pub mod backends;
pub mod clients;
pub mod discovery;
pub mod misbehaving_peers;
pub mod relay;
pub mod rules;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Records the history of a trial on one clock. Clones share the history.
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
    /// Returns the time since the trial began, in microseconds.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// Locks the history.
    pub fn history(&self) -> MutexGuard<'_, rules::History> {
        lock_ignoring_poison(&self.history)
    }
}

/// Locks a mutex, also one that a panic has poisoned: the verdict needs the data in either case.
pub fn lock_ignoring_poison<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
