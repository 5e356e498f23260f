//! Detection of slow readers: a client is disconnected if it reads nothing for too long, or so little that
//! its response would occupy memory indefinitely.

use mallowgauge_router::Micros;

const SECOND_US: Micros = 1_000_000;
/// Time without any read after which a client is disconnected, in microseconds.
pub const MAX_READ_STALL: Micros = 10_000_000;
/// Time after which a client has to read at [`MIN_BYTES_PER_SECOND`] or faster, in microseconds.
const RATE_GRACE_US: Micros = 30_000_000;
const MIN_BYTES_PER_SECOND: u64 = 4 * 1024;

/// Tracks how fast a client reads one response.
#[derive(Clone, Copy, Debug)]
pub struct SlowReaderDetector {
    started_at: Micros,
    last_read_at: Micros,
    bytes_read: u64,
}

impl SlowReaderDetector {
    /// Starts tracking at the start of a response.
    #[must_use]
    pub fn new(now: Micros) -> Self {
        Self { started_at: now, last_read_at: now, bytes_read: 0 }
    }

    /// Records that the client has read `bytes` bytes.
    pub fn bytes_read(&mut self, now: Micros, bytes: usize) {
        if bytes > 0 {
            self.last_read_at = now;
            self.bytes_read += bytes as u64;
        }
    }

    /// Restarts tracking when there is something to read again after a time without.
    pub fn resumed(&mut self, now: Micros) {
        *self = Self::new(now);
    }

    /// Returns when the client is disconnected unless it reads more.
    #[must_use]
    pub fn deadline(&self) -> Micros {
        let stalled_at = self.last_read_at + MAX_READ_STALL;
        let time_earned = self.bytes_read / MIN_BYTES_PER_SECOND * SECOND_US;
        let too_slow_at = self.started_at + RATE_GRACE_US.max(time_earned.saturating_add(MAX_READ_STALL));
        stalled_at.min(too_slow_at)
    }
}
