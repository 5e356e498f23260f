//! The state that all calls of the Flight front share.

use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use mallowgauge_core::polled_queries::{PolledQueries, RunId, WaiterId};
use mallowgauge_core::sessions::{SessionId, Sessions};
use mallowgauge_core::stream_admission::Admission;
use mallowgauge_core::QueryResponse;
use mallowgauge_flight::grpc::Status;
use mallowgauge_flight::seal;
use mallowgauge_router::Micros;

use super::auth::Authenticator;
use super::submission::{ActiveRun, OutcomeTarget};

/// Outcomes are kept for so long, and sessions after their last call.
pub const OUTCOME_RETENTION: Micros = 600_000_000;
pub const SESSION_IDLE_TIME: Micros = 3_600_000_000;
/// A polled query that nobody asks about for so long is given up.
pub const ABANDONED_POLL_TIME: Micros = 30_000_000;

/// Numbers that nobody can foretell, and that no two copies share: the system's, not the platform's seed.
pub fn random<const N: usize>() -> [u8; N] {
    let mut bytes = [0; N];
    if let Err(e) = getrandom::fill(&mut bytes) {
        // The system has given some since long before this program began.
        tracing::error!("no random numbers: {e}");
    }
    bytes
}

pub type Outcome = Result<Rc<QueryResponse>, Status>;

/// What all calls share.
pub struct FlightService {
    pub admission: Admission,
    pub polled_queries: PolledQueries<Rc<QueryResponse>>,
    pub runs: BTreeMap<RunId, ActiveRun>,
    pub waiters: BTreeMap<WaiterId, OutcomeTarget>,
    pub sessions: Sessions,
    pub authenticator: Authenticator,
    pub seal_key: seal::Key,
    pub issuer: u64,
    pub ticket_lifetime: Micros,
    pub abandoned_poll_time: Micros,
    /// Some hosts may answer with tables of their own columns.
    pub custom_columns: bool,
    pub text_schema: Option<Bytes>,
    /// What each class's columns were last, as `FlightInfo` carries them, and as the first host wrote them.
    pub known_schemas: Vec<Option<Bytes>>,
    pub seen_headers: Vec<Option<Bytes>>,
    /// Outcomes that are on their way to calls.
    pub outbox: Vec<(u64, Rc<str>, Rc<str>, Outcome)>,
    pub next_number: u64,
    pub draining: bool,
}

impl FlightService {
    pub fn next_id(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// An id for a query whose client names none.
    pub fn generate_query_id(&self) -> String {
        format!("{:016x}", u64::from_le_bytes(random()))
    }

    pub fn generate_session_id(&self) -> SessionId {
        SessionId(u128::from_le_bytes(random()))
    }

    pub fn issue_token(&mut self, now: Micros, user: &str) -> String {
        let session = self.generate_session_id();
        self.authenticator.issue_token(now, user, session.0)
    }

    /// The status of the service in the words of gRPC's health checks.
    pub fn health_status(&self) -> i32 {
        if self.draining {
            2
        } else {
            1
        }
    }
}
