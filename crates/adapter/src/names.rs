//! The names of the simulator's protocol and their meaning. They appear only here and in `error.rs`.
//!
//! | incoming message | meaning |
//! | --- | --- |
//! | `Turn`, `Commit` | start of a batch, end of a batch |
//! | `Register` | an endpoint list that later updates refer to |
//! | `Begin`, `PowerOff` | start of an instance, stop of an instance |
//! | `Sync` | [`Event::EndpointUpdate`](mallowgauge_router::Event::EndpointUpdate) |
//! | `Incoming` | `QueryArrived`, or `PartArrived` if a shard is given |
//! | `Ring` | `TimerExpired` |
//! | `Left` | `ClientDisconnected` |
//! | `Outcome` | `AttemptCompleted` |
//! | `StatusBack` | `HealthCheckCompleted` |
//!
//! | outgoing message | meaning |
//! | --- | --- |
//! | `SubmitTo`, `StopAttempt` | [`Action::Send`](mallowgauge_router::Action::Send), `Cancel` |
//! | `GatherUp`, `Decline`, `Fail` | `Respond`, `Reject`, `Fail` |
//! | `Sleep`, `Subscribe`, `Test` | `SetTimer`, `WatchEndpoints`, `HealthCheck` |
//! | `Record` | `BackendEjected`, `BackendRecovered`: log lines |
//! | `Eor` | end of a reply |
//!
//! | field | meaning |
//! | --- | --- |
//! | `Router` | number of an instance |
//! | `Job`, `GroupNo` | id of a query or part; number shared by a query and its parts |
//! | `Cls`, `Slab`, `Node` | class, shard, backend |
//! | `Rc`, `Copy` | outcome of an attempt or a health check; number of the attempt |
//! | `Slot`, `Records`, `Mode` | number of an endpoint list, its entries, kind of update |
//! | `SlotNo`, `Phase` | ring position, endpoint state |

use mallowgauge_router::{EndpointState, Outcome};

/// Names of incoming messages.
pub mod message {
    pub const BATCH_START: &str = "Turn";
    pub const BATCH_END: &str = "Commit";
    pub const ENDPOINT_LIST: &str = "Register";
    pub const START_INSTANCE: &str = "Begin";
    pub const STOP_INSTANCE: &str = "PowerOff";
    pub const ENDPOINT_UPDATE: &str = "Sync";
    pub const ARRIVAL: &str = "Incoming";
    pub const TIMER_EXPIRED: &str = "Ring";
    pub const CLIENT_DISCONNECTED: &str = "Left";
    pub const ATTEMPT_COMPLETED: &str = "Outcome";
    pub const HEALTH_CHECK_COMPLETED: &str = "StatusBack";
}

/// Names of outgoing messages.
pub mod reply {
    pub const SEND: &str = "SubmitTo";
    pub const CANCEL: &str = "StopAttempt";
    pub const RESPOND: &str = "GatherUp";
    pub const REJECT: &str = "Decline";
    pub const FAIL: &str = "Fail";
    pub const SET_TIMER: &str = "Sleep";
    pub const WATCH_ENDPOINTS: &str = "Subscribe";
    pub const HEALTH_CHECK: &str = "Test";
    pub const LOG: &str = "Record";
    pub const END: &str = "Eor";
}

/// A field of an incoming message: its position after the message's name, and its name in errors.
#[derive(Clone, Copy)]
pub struct Field {
    pub position: usize,
    pub name: &'static str,
}

const fn field(position: usize, name: &'static str) -> Field {
    Field { position, name }
}

/// Fields of incoming messages.
pub mod fields {
    use super::{field, Field};

    pub const CLOCK: Field = field(0, "the clock");
    /// First field of every message to one instance.
    pub const INSTANCE: Field = field(0, "Router");
    pub const SEED: Field = field(1, "Nonce64");
    pub const SETTINGS: Field = field(2, "Env");
    pub const LIST_NUMBER: Field = field(0, "Slot");
    pub const LIST_ENTRIES: Field = field(1, "Records");
    pub const UPDATE_MODE: Field = field(1, "Mode");
    pub const UPDATE_LIST_NUMBER: Field = field(3, "Slot");
    /// Id of a query or part.
    pub const ID: Field = field(1, "Job");
    pub const CLASS: Field = field(2, "Cls");
    pub const EXPIRES_IN: Field = field(5, "ExpiresInUs");
    pub const WORK_HINT: Field = field(6, "HintUs");
    pub const GROUP: Field = field(7, "GroupNo");
    /// The shard of a part; negative for a query.
    pub const SHARD: Field = field(8, "Slab");
    /// The work of a query, or the weight of a part.
    pub const SIZE_OR_WEIGHT: Field = field(9, "SizeOrWeight");
    pub const ARRIVAL_FLAGS: Field = field(10, "Marks");
    pub const TIMER: Field = field(1, "Name");
    pub const ATTEMPT: Field = field(2, "Copy");
    pub const ATTEMPT_OUTCOME: Field = field(4, "Rc");
    pub const LATENCY: Field = field(5, "LatencyUs");
    pub const CHECKED_BACKEND: Field = field(1, "Node");
    pub const CHECK_OUTCOME: Field = field(2, "Rc");
}

/// Fields of an entry of an endpoint list, by position.
pub mod endpoint {
    use super::{field, Field};

    pub const BACKEND: Field = field(0, "Node");
    pub const ZONE: Field = field(1, "Zone");
    pub const RING_POSITION: Field = field(3, "SlotNo");
    pub const STATE: Field = field(4, "Phase");
    pub const STARTED_AT: Field = field(6, "LastStartUs");
}

/// Kinds of endpoint updates.
pub mod mode {
    pub const FAILED: &str = "Error";
    pub const DELTA: &str = "Partial";
    pub const SNAPSHOT: &str = "Complete";
    pub const CACHED_SNAPSHOT: &str = "Persisted";
}

/// Bit of the flags of an arrival that marks a client's retry.
pub const RETRY_FLAG: u64 = 2;
/// Outcome of a passed health check.
pub const PASSED: &str = "pass";
/// Name of the only timer.
pub const WAKE_UP: &str = "wake";

/// Parses the outcome of an attempt.
pub fn outcome(name: &str) -> Option<Outcome> {
    Some(match name {
        "pass" => Outcome::Succeeded,
        "fault" => Outcome::BackendError,
        "no_room" => Outcome::Rejected,
        "too_slow" => Outcome::TimedOut,
        "no_route" => Outcome::ConnectFailed,
        "cut" => Outcome::ConnectionLost,
        "undone" => Outcome::Cancelled,
        "stale_send" => Outcome::NotSent,
        _ => return None,
    })
}

/// Parses the state of an endpoint.
pub fn endpoint_state(name: &str) -> Option<EndpointState> {
    match name {
        "ready" => Some(EndpointState::Ready),
        "draining" => Some(EndpointState::Draining),
        "gone" => Some(EndpointState::Removed),
        _ => None,
    }
}

/// Returns the log line for an ejected backend.
pub fn ejected_line(backend: u32) -> String {
    format!("server {backend} suspect")
}

/// Returns the log line for a recovered backend.
pub fn recovered_line(backend: u32) -> String {
    format!("server {backend} sound again")
}
