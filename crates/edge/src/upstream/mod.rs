//! Connections to backends: the connection pool and the two backend protocols, the platform's frames and Arrow Flight.
//!
//! Attempts end by the same rules in both protocols; `connection::BackendConnection` documents them.

mod connection;
pub mod flight_connection;
mod flight_stream;
mod frame_connection;
pub mod frames;
mod pool;

pub use pool::ConnectionPool;

use mallowgauge_core::table_memory::TableQueryId;
use mallowgauge_core::{AttemptId, AttemptRequest, Value};
use mallowgauge_router::{BackendId, Micros, Outcome};

/// Time from the first received byte of a frame or message until it has to be complete, in microseconds.
const MESSAGE_TIMEOUT: Micros = 500_000;

/// An event that the connections to backends report to the server.
#[derive(Clone, Debug, PartialEq)]
pub enum UpstreamEvent {
    /// An attempt has ended, with its value if it succeeded.
    AttemptEnded(AttemptId, Outcome, Option<Value>),
    /// A query's tables exceed the table memory. The attempt that exceeded it, if any, has ended.
    TableMemoryExceeded(TableQueryId, Option<AttemptId>),
    /// A health check passed (`true`) or failed.
    HealthCheckCompleted(BackendId, bool),
}

impl UpstreamEvent {
    /// Returns the bytes of a text that the event carries; tables are accounted as table memory.
    fn text_bytes(&self) -> usize {
        match self {
            Self::AttemptEnded(_, _, Some(Value::Text(text))) => text.len(),
            _ => 0,
        }
    }

    /// The event for an attempt that was never sent and will not be.
    fn not_sent(attempt: AttemptId) -> Self {
        Self::AttemptEnded(attempt, Outcome::NotSent, None)
    }
}

/// Removes the attempts of an unsent call whose latest start time has passed.
fn drop_expired(now: Micros, attempts: &mut Vec<AttemptRequest>, events: &mut Vec<UpstreamEvent>) {
    let expired = attempts.extract_if(.., |attempt| !attempt.may_start(now));
    events.extend(expired.map(|attempt| UpstreamEvent::not_sent(attempt.attempt)));
}

/// Removes the attempts of an unsent call that match `predicate`.
fn drop_unsent(
    attempts: &mut Vec<AttemptRequest>,
    predicate: impl Fn(&AttemptRequest) -> bool,
    events: &mut Vec<UpstreamEvent>,
) {
    let dropped = attempts.extract_if(.., |attempt| predicate(attempt));
    events.extend(dropped.map(|attempt| UpstreamEvent::not_sent(attempt.attempt)));
}
