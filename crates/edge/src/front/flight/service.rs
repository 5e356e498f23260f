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

use super::auth::Door;
use super::submission::{Place, Run};

/// Outcomes are kept for so long, and sessions after their last call.
pub const KEEP: Micros = 600_000_000;
pub const REST: Micros = 3_600_000_000;
/// A polled query that nobody asks about for so long is given up.
pub const UNPOLLED: Micros = 30_000_000;

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
pub struct Office {
    pub admission: Admission,
    pub flights: PolledQueries<Rc<QueryResponse>>,
    pub runs: BTreeMap<RunId, Run>,
    pub callers: BTreeMap<WaiterId, Place>,
    pub sessions: Sessions,
    pub door: Door,
    pub key: seal::Key,
    pub issuer: u64,
    pub ticket_life: Micros,
    pub unpolled: Micros,
    /// Some hosts may answer with tables of their own columns.
    pub tables: bool,
    pub text_schema: Option<Bytes>,
    /// What each class's columns were last, as `FlightInfo` carries them, and as the first host wrote them.
    pub learned: Vec<Option<Bytes>>,
    pub shown: Vec<Option<Bytes>>,
    /// Outcomes that are on their way to calls.
    pub outbox: Vec<(u64, Rc<str>, Rc<str>, Outcome)>,
    pub next: u64,
    pub draining: bool,
}

impl Office {
    pub fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// An id for a query whose client names none.
    pub fn fresh(&self) -> String {
        format!("{:016x}", u64::from_le_bytes(random()))
    }

    pub fn session(&self) -> SessionId {
        SessionId(u128::from_le_bytes(random()))
    }

    pub fn token(&mut self, now: Micros, user: &str) -> String {
        let session = self.session();
        self.door.token(now, user, session.0)
    }

    /// The status of the service in the words of gRPC's health checks.
    pub fn health(&self) -> i32 {
        if self.draining {
            2
        } else {
            1
        }
    }
}
