//! The router's interface: events in, actions out. All times are in microseconds.

use crate::ids::{BackendId, ClassId, Micros, PartId, QueryId, ShardId, ZoneId};

/// State of a backend in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts parts.
    Ready,
    /// Finishes the parts that it has; no new ones may be sent.
    Draining,
    /// Withdrawn from service.
    #[default]
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The backend.
    pub backend: BackendId,
    /// Its ring position, which determines the shards that it holds.
    pub ring_position: u32,
    /// Its state.
    pub state: EndpointState,
    /// Time of its last start; `None` if that was long ago.
    pub started_at: Option<Micros>,
    /// Its zone, if known.
    pub zone: Option<ZoneId>,
}

/// An update of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointUpdate {
    /// The complete list; a backend that is missing from it is removed.
    Snapshot(Vec<Endpoint>),
    /// Changed entries only.
    Delta(Vec<Endpoint>),
    /// The complete list as last seen before this router started; it may be stale.
    CachedSnapshot(Vec<Endpoint>),
    /// A poll or a watch failed; the previous list stays in force.
    Failed,
}

/// An arriving query. Its parts follow in the same batch as [`Event::PartArrived`].
#[derive(Clone, Debug, PartialEq)]
pub struct QueryArrival {
    /// The query.
    pub query: QueryId,
    /// Its class.
    pub class: ClassId,
    /// Time until its client gives up.
    pub expires_in: Micros,
    /// Expected work of all parts, if known.
    pub work_hint: Option<Micros>,
    /// Whether the client marked it as a retry; `false` where clients do not mark retries.
    pub retry: bool,
    /// Whether the caller decides which parts it needs and when it is answered: parts arrive one by one
    /// ([`Event::PartArrived`]), each that fails is reported ([`Action::PartFailed`]), and the caller reports
    /// the end with [`Event::QueryCompleted`].
    pub planned: bool,
}

/// A part of a query that has arrived, of its first or its second step.
#[derive(Clone, Debug, PartialEq)]
pub struct PartArrival {
    /// The query it belongs to.
    pub query: QueryId,
    /// The part.
    pub part: PartId,
    /// The shard that it queries.
    pub shard: ShardId,
    /// Its weight; those of a step sum to 1.
    pub weight: f64,
    /// Whether it may be repeated regardless of its class.
    pub idempotent: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Succeeded,
    /// The backend reported an error; the part was possibly executed.
    BackendError,
    /// Rejected by a full backend; the part was not executed.
    Rejected,
    /// No answer in time; the part was possibly executed.
    TimedOut,
    /// No connection in time; the part was not executed.
    ConnectFailed,
    /// The connection was lost; the part was possibly executed.
    ConnectionLost,
    /// Cancelled; the part was possibly executed.
    Cancelled,
    /// Never sent; the part was not executed.
    NotSent,
}

/// An event that the router handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list changed, or could not be fetched.
    EndpointUpdate(EndpointUpdate),
    /// A query arrived.
    QueryArrived(QueryArrival),
    /// A part arrived.
    PartArrived(PartArrival),
    /// The timer set by [`Action::SetTimer`] expired.
    TimerExpired,
    /// A part of a planned query is no longer needed.
    PartCancelled(PartId),
    /// A planned query has ended.
    QueryCompleted {
        /// The query.
        query: QueryId,
        /// Whether it was answered; otherwise it was rejected or failed.
        answered: bool,
    },
    /// A query is no longer needed: its client disconnected, or the caller has ended it for another reason.
    ClientDisconnected(QueryId),
    /// An attempt ended.
    AttemptCompleted {
        /// The part.
        part: PartId,
        /// Number of the attempt, from 0 in the order sent.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: Micros,
    },
    /// A health check completed.
    HealthCheckCompleted {
        /// The checked backend.
        backend: BackendId,
        /// Whether it passed.
        passed: bool,
    },
}

/// An action for the caller. Actions are carried out in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Report that a part of a planned query can no longer be answered.
    PartFailed {
        /// The part.
        part: PartId,
    },
    /// Send an attempt of a part.
    Send {
        /// The part.
        part: PartId,
        /// The backend that it is sent to.
        backend: BackendId,
        /// How long to wait for its answer.
        timeout: Micros,
        /// Time from now within which the attempt must begin, however long it waits for a connection; at most
        /// `timeout`.
        begin_within: Micros,
    },
    /// Cancel an attempt.
    Cancel {
        /// The part.
        part: PartId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Answer a query with the parts that are answered. In a class with a second step, the parts of that step
    /// arrive after the first answer.
    Respond {
        /// The query.
        query: QueryId,
        /// Whether the answer is complete.
        complete: bool,
    },
    /// Reject a query; the client may safely retry.
    Reject {
        /// The query.
        query: QueryId,
        /// Advised delay before a retry; 0 for none.
        retry_after: Micros,
    },
    /// Fail a query; it was possibly executed.
    Fail {
        /// The query.
        query: QueryId,
    },
    /// Deliver [`Event::TimerExpired`] after this time.
    SetTimer(Micros),
    /// Start watching the endpoint list.
    WatchEndpoints,
    /// Send a health check to a backend.
    HealthCheck(BackendId),
    /// Log that a backend was ejected.
    BackendEjected(BackendId),
    /// Log that an ejected backend recovered.
    BackendRecovered(BackendId),
}

/// The router's view of one backend.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendView {
    /// The backend.
    pub backend: BackendId,
    /// Its state in the endpoint list.
    pub state: EndpointState,
    /// Whether it is ejected: it is sent parts only if no other replica can take them.
    pub ejected: bool,
    /// Whether it may still be warming up.
    pub warming_up: bool,
    /// Number of this router's parts in flight there.
    pub parts_in_flight: u32,
}
