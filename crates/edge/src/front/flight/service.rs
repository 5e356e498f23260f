//! The state that all calls of the Flight frontend share.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use bytes::Bytes;
use mallowgauge_core::memory_budget::MemoryBudget;
use mallowgauge_core::polled_queries::{PolledQueries, RunId, WaiterId};
use mallowgauge_core::sessions::{SessionId, Sessions};
use mallowgauge_core::stream_admission::StreamAdmission;
use mallowgauge_core::{ClientId, Core, QueryResponse};
use mallowgauge_flight::grpc::Status;
use mallowgauge_flight::seal;
use mallowgauge_router::Micros;

use super::auth::Authenticator;
use super::submission::{ActiveRun, Delivery, OutcomeTarget};

/// The values of `HealthCheckResponse.ServingStatus`, from gRPC's health checking protocol.
pub mod health {
    /// The service accepts calls.
    pub const SERVING: i32 = 1;
    /// The service accepts no new calls.
    pub const NOT_SERVING: i32 = 2;
    /// The requested service does not exist. Sent by `Watch` only.
    pub const SERVICE_UNKNOWN: i32 = 3;
}

/// How long the outcome of a shared query is retained, in microseconds.
pub const OUTCOME_RETENTION: Micros = 600_000_000;
/// How long a session is kept after its last call, in microseconds.
pub const SESSION_IDLE_TIME: Micros = 3_600_000_000;
/// A polled query without a poll for this long is cancelled, in microseconds.
pub const ABANDONED_POLL_TIME: Micros = 30_000_000;

/// Returns unpredictable bytes that differ between instances: they come from the operating system, not from the
/// configured seed.
pub fn random_bytes<const N: usize>() -> [u8; N] {
    let mut bytes = [0; N];
    if let Err(e) = getrandom::fill(&mut bytes) {
        tracing::error!("system random numbers unavailable: {e}");
    }
    bytes
}

/// The outcome of a query: the core's response, or the status of a query that was not submitted to the core.
pub type Outcome = Result<Rc<QueryResponse>, Status>;

/// The state that all calls share. The decisions behind it are taken in `mallowgauge_core`.
pub struct FlightService {
    /// Counts connections, calls and handshakes against their limits.
    pub admission: StreamAdmission,
    /// Queries that several calls may share: polled ones, and those that must be run once only.
    pub polled_queries: PolledQueries<Rc<QueryResponse>>,
    /// The memory of batch streams.
    pub batch_memory: MemoryBudget,
    /// Queries submitted to the core.
    pub runs: BTreeMap<RunId, ActiveRun>,
    /// The connection of each open call.
    pub connection_of_call: BTreeMap<u64, u64>,
    /// Connections with streams that start no queries while other clients' queries wait.
    pub yielding: BTreeSet<u64>,
    /// The call behind each waiter.
    pub waiters: BTreeMap<WaiterId, OutcomeTarget>,
    /// Sessions with the options that clients have set.
    pub sessions: Sessions,
    /// Authenticates callers and issues tokens.
    pub authenticator: Authenticator,
    /// The key that signs tickets and tokens.
    pub signing_key: seal::Key,
    /// Identifies this process in the tickets that it issues.
    pub issuer: u64,
    /// How long a ticket is valid, in microseconds.
    pub ticket_lifetime: Micros,
    /// A polled query without a poll for this long is cancelled, in microseconds.
    pub abandoned_poll_time: Micros,
    /// Whether some backends may respond with tables of other columns than the text schema's.
    pub custom_columns: bool,
    /// The schema of responses that consist of texts, in the encoding of `FlightInfo`.
    pub text_schema: Option<Bytes>,
    /// The latest schema of each class's responses, in the encoding of `FlightInfo`.
    pub known_schemas: Vec<Option<Bytes>>,
    /// The backend's encoding of each schema in `known_schemas`; `None` for texts.
    pub source_schemas: Vec<Option<Bytes>>,
    /// Outcomes to be delivered to calls.
    pub outbox: Vec<Delivery>,
    /// The last id returned by [`FlightService::next_id`].
    pub last_id: u64,
    /// The server is shutting down.
    pub draining: bool,
}

impl FlightService {
    /// Returns the client of a call: its connection.
    pub fn client_of(&self, call: u64) -> ClientId {
        ClientId::Flight(self.connection_of_call.get(&call).copied().unwrap_or(call))
    }

    /// Returns whether the streams of a call's connection may start queries now. If not, they are driven again.
    pub fn may_start_queries(&mut self, call: u64, core: &Core) -> bool {
        let client = self.client_of(call);
        let must_yield = core.must_yield(client);
        if let (true, ClientId::Flight(connection)) = (must_yield, client) {
            self.yielding.insert(connection);
        }
        !must_yield
    }

    /// Returns a unique id for a connection, call, run or waiter.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Generates an id for a query whose client sets none.
    pub fn generate_query_id(&self) -> String {
        format!("{:016x}", u64::from_le_bytes(random_bytes()))
    }

    /// Generates an id for a new session.
    pub fn generate_session_id(&self) -> SessionId {
        SessionId(u128::from_le_bytes(random_bytes()))
    }

    /// Issues a bearer token for a user, with a new session.
    pub fn issue_token(&mut self, now: Micros, user: &str) -> String {
        let session = self.generate_session_id();
        self.authenticator.issue_token(now, user, session.0)
    }

    /// Returns the serving status for gRPC's health checks.
    pub fn health_status(&self) -> i32 {
        if self.draining {
            health::NOT_SERVING
        } else {
            health::SERVING
        }
    }
}
