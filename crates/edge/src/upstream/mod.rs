//! Connections to backends: the pool, and the two protocols that backends are spoken to in.
//!
//! What becomes of attempts is the same for both protocols, and stated at `connection::BackendConnection`.

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

/// A frame or message that has begun to come has to be complete within this time, in microseconds.
const MESSAGE_TIMEOUT: Micros = 500_000;

/// What connections to backends report.
#[derive(Clone, Debug, PartialEq)]
pub enum UpstreamEvent {
    /// An attempt has ended, with its value if it succeeded.
    AttemptEnded(AttemptId, Outcome, Option<Value>),
    /// The tables of a query have no room in memory; the attempt at which that showed, if any, has ended.
    TableMemoryExceeded(TableQueryId, Option<AttemptId>),
    /// A health check passed, or did not.
    HealthCheckCompleted(BackendId, bool),
}

impl UpstreamEvent {
    /// An attempt that was never sent, and is not going to be.
    fn not_sent(attempt: AttemptId) -> Self {
        Self::AttemptEnded(attempt, Outcome::NotSent, None)
    }
}

/// Takes the attempts out of an unsent call that may not begin any more.
fn drop_expired(now: Micros, attempts: &mut Vec<AttemptRequest>, events: &mut Vec<UpstreamEvent>) {
    let expired = attempts.extract_if(.., |attempt| !attempt.may_start(now));
    events.extend(expired.map(|attempt| UpstreamEvent::not_sent(attempt.attempt)));
}

/// Takes the attempts out of an unsent call that are chosen by `which`.
fn drop_unsent(
    attempts: &mut Vec<AttemptRequest>,
    which: impl Fn(&AttemptRequest) -> bool,
    events: &mut Vec<UpstreamEvent>,
) {
    let dropped = attempts.extract_if(.., |attempt| which(attempt));
    events.extend(dropped.map(|attempt| UpstreamEvent::not_sent(attempt.attempt)));
}
