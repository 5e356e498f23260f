//! A token bucket that limits the rate of messages read from a peer. Messages beyond it wait in the peer's
//! own socket (TCP back-pressure).

use crate::Micros;

/// Tokens are counted in millionths of a message, so that each microsecond adds `rate` of them.
const MICROTOKENS: u64 = 1_000_000;
/// Wait before a connection with an empty bucket is read again, in microseconds. It is long enough to read
/// several messages at once.
const RETRY_INTERVAL: Micros = 20_000;

fn microtokens(messages: u64) -> i64 {
    i64::try_from(messages.saturating_mul(MICROTOKENS)).unwrap_or(i64::MAX)
}

/// The token bucket of one connection.
#[derive(Debug)]
pub struct InboundRateLimit {
    /// Messages per second, and the capacity of the bucket.
    rate: u64,
    /// Negative after a batch with more messages than there were tokens.
    microtokens: i64,
    refilled_at: Micros,
}

impl InboundRateLimit {
    /// Creates a full bucket for `rate` messages per second, with a burst of the same number.
    #[must_use]
    pub fn new(now: Micros, rate: u64) -> Self {
        Self { rate, microtokens: microtokens(rate), refilled_at: now }
    }

    /// Admits a message if there is a token for it.
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

    /// Charges further messages that an admitted message contained.
    pub fn charge(&mut self, messages: u64) {
        self.microtokens = self.microtokens.saturating_sub(microtokens(messages));
    }

    /// Returns when to read again after a message was not admitted.
    #[must_use]
    pub fn retry_at(&self) -> Micros {
        self.refilled_at + RETRY_INTERVAL
    }
}
