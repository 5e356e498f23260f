//! Admission at the Flight frontend: connections, calls, and checks of passwords.
//!
//! [`StreamLimits`] holds every limit, sized from memory and descriptors. [`StreamAdmission`] counts against them and says
//! what a client is told that is rejected: always the reason, and when to come back. [`SlowReaderDetector`] says when a
//! client that does not read its response is disconnected.

mod limits;
mod reader;

use std::collections::VecDeque;

use mallowgauge_router::Micros;

pub use limits::{StreamLimits, CONNECTION_WINDOW};
pub use reader::{SlowReaderDetector, MAX_READ_STALL};

/// When a client comes back whose call was rejected, in microseconds.
const CALL_RETRY_AFTER_US: Micros = 250_000;
const SECOND_US: Micros = 1_000_000;

/// Why a call is rejected, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRejection {
    /// What there are too many of, as the client is told.
    pub message: &'static str,
    /// When to come back, in microseconds.
    pub retry_after: Micros,
}

/// What is admitted, counted against the limits.
#[derive(Debug)]
pub struct StreamAdmission {
    limits: StreamLimits,
    connections: usize,
    calls: usize,
    /// When the passwords of the last second were checked.
    recent_handshakes: VecDeque<Micros>,
    rejected: u64,
}

impl StreamAdmission {
    /// Nothing is admitted yet.
    #[must_use]
    pub fn new(limits: StreamLimits) -> Self {
        Self { limits, connections: 0, calls: 0, recent_handshakes: VecDeque::new(), rejected: 0 }
    }

    /// The limits.
    #[must_use]
    pub fn limits(&self) -> &StreamLimits {
        &self.limits
    }

    /// Whether another connection may be accepted.
    #[must_use]
    pub fn has_capacity(&self) -> bool {
        self.connections < self.limits.connections
    }

    /// A connection was accepted.
    pub fn connected(&mut self) {
        self.connections += 1;
    }

    /// A connection has ended.
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

    /// A call has ended.
    pub fn call_ended(&mut self) {
        self.calls = self.calls.saturating_sub(1);
    }

    /// Admits the check of a password, which costs time of the one thread that all clients share.
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

    /// Connections and calls that are open, and how many calls and handshakes were rejected.
    #[must_use]
    pub fn counts(&self) -> (usize, usize, u64) {
        (self.connections, self.calls, self.rejected)
    }
}
