//! Admission at the Flight frontend: connections, calls, and password checks.
//!
//! [`StreamLimits`] holds every limit, sized from memory and descriptors. [`StreamAdmission`] enforces them;
//! each rejection carries its reason and when to retry. [`SlowReaderDetector`] determines when a client that
//! does not read its response is disconnected.

mod limits;
mod reader;

use std::collections::VecDeque;

use mallowgauge_router::Micros;

pub use limits::{StreamLimits, CONNECTION_WINDOW};
pub use reader::{SlowReaderDetector, MAX_READ_STALL};

/// When a client whose call was rejected may retry, in microseconds.
const CALL_RETRY_AFTER_US: Micros = 250_000;
const SECOND_US: Micros = 1_000_000;

/// Why a call or handshake was rejected, and when the client may retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRejection {
    /// The limit that was reached, as sent to the client.
    pub message: &'static str,
    /// When the client may retry, in microseconds.
    pub retry_after: Micros,
}

/// The open connections and calls and the recent handshakes, counted against the limits.
#[derive(Debug)]
pub struct StreamAdmission {
    limits: StreamLimits,
    connections: usize,
    calls: usize,
    /// Times of the password checks within the last second.
    recent_handshakes: VecDeque<Micros>,
    rejected: u64,
}

impl StreamAdmission {
    /// Creates an admission controller with nothing admitted.
    #[must_use]
    pub fn new(limits: StreamLimits) -> Self {
        Self { limits, connections: 0, calls: 0, recent_handshakes: VecDeque::new(), rejected: 0 }
    }

    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> &StreamLimits {
        &self.limits
    }

    /// Returns whether another connection may be accepted.
    #[must_use]
    pub fn has_capacity(&self) -> bool {
        self.connections < self.limits.connections
    }

    /// Counts a connection that was accepted.
    pub fn connected(&mut self) {
        self.connections += 1;
    }

    /// Counts a connection that has ended.
    pub fn disconnected(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Admits a call.
    ///
    /// # Errors
    /// Too many calls are open.
    pub fn admit_call(&mut self) -> Result<(), AdmissionRejection> {
        if self.calls >= self.limits.calls {
            self.rejected += 1;
            return Err(AdmissionRejection {
                message: "too many calls are open",
                retry_after: CALL_RETRY_AFTER_US,
            });
        }
        self.calls += 1;
        Ok(())
    }

    /// Counts a call that has ended.
    pub fn call_ended(&mut self) {
        self.calls = self.calls.saturating_sub(1);
    }

    /// Admits a password check, which uses CPU time of the single thread that serves all clients.
    ///
    /// # Errors
    /// Too many passwords were checked within the last second.
    pub fn admit_handshake(&mut self, now: Micros) -> Result<(), AdmissionRejection> {
        while self.recent_handshakes.front().is_some_and(|&at| at + SECOND_US <= now) {
            self.recent_handshakes.pop_front();
        }
        if self.recent_handshakes.len() >= self.limits.handshakes_per_second as usize {
            self.rejected += 1;
            let oldest = self.recent_handshakes.front().copied().unwrap_or(now);
            let retry_after = (oldest + SECOND_US).saturating_sub(now).max(1);
            return Err(AdmissionRejection { message: "too many handshakes", retry_after });
        }
        self.recent_handshakes.push_back(now);
        Ok(())
    }

    /// Returns the open connections, the open calls, and the number of calls and handshakes rejected.
    #[must_use]
    pub fn counts(&self) -> (usize, usize, u64) {
        (self.connections, self.calls, self.rejected)
    }
}
