//! The clock of the process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::Micros;

/// A clock of Unix time in microseconds that never runs backwards.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Micros,
    start: Instant,
}

impl Clock {
    /// Reads the system time once. Later times are computed from the elapsed monotonic time, so that changes of the
    /// system time have no effect.
    #[must_use]
    pub fn start() -> Self {
        let started_at = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros);
        Self { started_at, start: Instant::now() }
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.started_at + self.start.elapsed().as_micros() as Micros
    }
}
