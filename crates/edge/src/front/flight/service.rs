//! The state that all calls of the Flight front share.

use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use mallowgauge_core::polled_queries::{PolledQueries, RunId, WaiterId};
use mallowgauge_core::sessions::{SessionId, Sessions};
use mallowgauge_core::stream_admission::StreamAdmission;
use mallowgauge_core::QueryResponse;
use mallowgauge_flight::grpc::Status;
use mallowgauge_flight::seal;
use mallowgauge_router::Micros;

use super::auth::Authenticator;
use super::submission::{ActiveRun, Delivery, OutcomeTarget};

/// The values of `HealthCheckResponse.ServingStatus`, from gRPC's health checking protocol.
pub mod health {
    /// The service takes calls.
    pub const SERVING: i32 = 1;
    /// The service takes no new calls.
    pub const NOT_SERVING: i32 = 2;
    /// There is no such service; only a watch reports it.
    pub const SERVICE_UNKNOWN: i32 = 3;
}

/// How long the outcome of a shared query is kept, in microseconds.
pub const OUTCOME_RETENTION: Micros = 600_000_000;
/// How long a session is kept after its last call, in microseconds.
pub const SESSION_IDLE_TIME: Micros = 3_600_000_000;
/// A polled query that nobody polls for this long is cancelled, in microseconds.
pub const ABANDONED_POLL_TIME: Micros = 30_000_000;

/// Unpredictable bytes that no two instances share: from the operating system, not from the configured seed.
pub fn random<const N: usize>() -> [u8; N] {
    let mut bytes = [0; N];
    if let Err(e) = getrandom::fill(&mut bytes) {
        tracing::error!("system random numbers unavailable: {e}");
    }
    bytes
}

/// What a query came to: a response of the core, or the status of a query that never reached it.
pub type Outcome = Result<Rc<QueryResponse>, Status>;

/// The state that all calls share. The decisions behind it are taken in `mallowgauge_core`.
pub struct FlightService {
    /// Counts connections, calls and handshakes against their limits.
    pub admission: StreamAdmission,
    /// Queries that several calls may share: polled ones, and those that must run once.
    pub polled_queries: PolledQueries<Rc<QueryResponse>>,
    /// Queries in the core.
    pub runs: BTreeMap<RunId, ActiveRun>,
    /// Which call each waiter stands for.
    pub waiters: BTreeMap<WaiterId, OutcomeTarget>,
    /// Options that clients have set.
    pub sessions: Sessions,
    /// Users and tokens.
    pub authenticator: Authenticator,
    /// Seals tickets and tokens.
    pub seal_key: seal::Key,
    /// Names this process in the tickets that it issues.
    pub issuer: u64,
    /// In microseconds.
    pub ticket_lifetime: Micros,
    /// A polled query that nobody polls for this long is cancelled, in microseconds.
    pub abandoned_poll_time: Micros,
    /// Some backends may answer with tables of their own columns.
    pub custom_columns: bool,
    /// The schema of an answer of plain texts, as `FlightInfo` carries it.
    pub text_schema: Option<Bytes>,
    /// The last schema of each class's answers, as `FlightInfo` carries it.
    pub known_schemas: Vec<Option<Bytes>>,
    /// The same, as the first backend encoded it.
    pub seen_headers: Vec<Option<Bytes>>,
    /// Outcomes on their way to calls.
    pub outbox: Vec<Delivery>,
    /// The last number given out by [`FlightService::next_id`].
    pub next_number: u64,
    /// The server shuts down.
    pub draining: bool,
}

impl FlightService {
    /// A number for a connection, call, run or waiter; never given out twice.
    pub fn next_id(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// An id for a query whose client gives none.
    pub fn generate_query_id(&self) -> String {
        format!("{:016x}", u64::from_le_bytes(random()))
    }

    /// An id for a new session.
    pub fn generate_session_id(&self) -> SessionId {
        SessionId(u128::from_le_bytes(random()))
    }

    /// A bearer token for a user, with a session of its own.
    pub fn issue_token(&mut self, now: Micros, user: &str) -> String {
        let session = self.generate_session_id();
        self.authenticator.issue_token(now, user, session.0)
    }

    /// The serving status of gRPC's health checks.
    pub fn health_status(&self) -> i32 {
        if self.draining {
            health::NOT_SERVING
        } else {
            health::SERVING
        }
    }
}
