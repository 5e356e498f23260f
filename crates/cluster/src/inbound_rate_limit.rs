//! How fast a peer's messages are taken: a token bucket. What comes faster waits in the peer's own socket.

use crate::Micros;

/// Tokens are counted in millionths of a message, so that a microsecond gains `rate` of them.
const MICROTOKENS: u64 = 1_000_000;
/// A connection whose bucket is empty is looked at again after so many microseconds, for several messages at
/// once.
const RETRY_INTERVAL: Micros = 20_000;

fn microtokens(messages: u64) -> i64 {
    i64::try_from(messages.saturating_mul(MICROTOKENS)).unwrap_or(i64::MAX)
}

/// The token bucket of one connection.
#[derive(Debug)]
pub struct InboundRateLimit {
    /// Messages in a second, and at once.
    rate: u64,
    /// Below zero after a batch that held more messages than there were tokens.
    microtokens: i64,
    refilled_at: Micros,
}

impl InboundRateLimit {
    /// Takes `rate` messages a second, and as many at once.
    #[must_use]
    pub fn new(now: Micros, rate: u64) -> Self {
        Self { rate, microtokens: microtokens(rate), refilled_at: now }
    }

    /// Takes a message, unless it comes too fast.
    pub fn admit(&mut self, now: Micros) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = now;
        let gained = i64::try_from(elapsed.saturating_mul(self.rate)).unwrap_or(i64::MAX);
        self.microtokens = self.microtokens.saturating_add(gained).min(microtokens(self.rate));
        let is_admitted = self.microtokens >= microtokens(1);
        if is_admitted {
            self.microtokens -= microtokens(1);
        }
        is_admitted
    }

    /// A message that was taken held so many more.
    pub fn charge(&mut self, messages: u64) {
        self.microtokens = self.microtokens.saturating_sub(microtokens(messages));
    }

    /// When there are tokens for several messages again.
    #[must_use]
    pub fn retry_at(&self) -> Micros {
        self.refilled_at + RETRY_INTERVAL
    }
}
