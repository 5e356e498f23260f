//! What a router is told and what it asks for: events in, actions out. All times are in microseconds.

use crate::ids::{BackendId, ClassId, Micros, PartId, QueryId, ShardId, ZoneId};

/// What the endpoint list says of a backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes parts.
    Ready,
    /// Finishes what it has; nothing new may be sent.
    Draining,
    /// Withdrawn.
    #[default]
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The backend.
    pub backend: BackendId,
    /// Its ring position, which says what shards it holds.
    pub ring_position: u32,
    /// Its state.
    pub state: EndpointState,
    /// When it last started; `None` for long ago.
    pub started_at: Option<Micros>,
    /// Its zone, where that is known.
    pub zone: Option<ZoneId>,
}

/// An update of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointUpdate {
    /// The whole list; a backend that is missing is removed.
    Snapshot(Vec<Endpoint>),
    /// Changed entries only.
    Delta(Vec<Endpoint>),
    /// The whole list as last seen before this router started; it may be stale.
    CachedSnapshot(Vec<Endpoint>),
    /// A poll or a watch failed; the old list holds.
    Failed,
}

/// A query arrives. Its parts follow in the same batch as [`Event::PartArrived`].
#[derive(Clone, Debug, PartialEq)]
pub struct QueryArrival {
    /// The query.
    pub query: QueryId,
    /// Its class.
    pub class: ClassId,
    /// Time until its client gives up.
    pub expires_in: Micros,
    /// Expected work of all parts, where known.
    pub work_hint: Option<Micros>,
    /// Marked as a client's retry; `false` where clients do not mark them.
    pub retry: bool,
    /// Somebody else decides which parts it needs and when it is answered: parts come one by one
    /// ([`Event::PartArrived`]), each that fails is reported ([`Action::PartFailed`]), and its end comes as
    /// [`Event::QueryCompleted`].
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
    /// It may be repeated whatever its class says.
    pub idempotent: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Succeeded,
    /// The backend reported an error; the part may have run.
    BackendError,
    /// Rejected by a full backend; the part never ran.
    Rejected,
    /// No answer in time; the part may have run.
    TimedOut,
    /// No connection in time; the part never ran.
    ConnectFailed,
    /// The connection dropped; the part may have run.
    ConnectionLost,
    /// Cancelled; the part may have run.
    Cancelled,
    /// Never sent; the part never ran.
    NotSent,
}

/// One thing that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list changed, or could not be had.
    EndpointUpdate(EndpointUpdate),
    /// A query arrived.
    QueryArrived(QueryArrival),
    /// A part arrived.
    PartArrived(PartArrival),
    /// The wake-up that [`Action::SetTimer`] asked for is due.
    TimerExpired,
    /// Nobody needs this part of a planned query any more.
    PartCancelled(PartId),
    /// A planned query has had its final answer.
    QueryCompleted {
        /// The query.
        query: QueryId,
        /// It was answered; otherwise it was rejected or failed.
        answered: bool,
    },
    /// Nobody waits for a query any more: its client disconnected, or the caller has ended it otherwise.
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
    /// A health check came back.
    HealthCheckCompleted {
        /// The backend checked.
        backend: BackendId,
        /// Whether it passed.
        passed: bool,
    },
}

/// One thing to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A part of a planned query can never be answered.
    PartFailed {
        /// The part.
        part: PartId,
    },
    /// Send an attempt of a part.
    Send {
        /// The part.
        part: PartId,
        /// Where to.
        backend: BackendId,
        /// How long its answer is waited for.
        timeout: Micros,
        /// It must not begin later than this from now, however long it waits for a connection; at most the
        /// time-out.
        begin_within: Micros,
    },
    /// Cancel an attempt.
    Cancel {
        /// The part.
        part: PartId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Answer a query with the parts that are in. In a class with a second step, the first answer
    /// brings that step's parts.
    Respond {
        /// The query.
        query: QueryId,
        /// Whether the answer is complete.
        complete: bool,
    },
    /// Reject a query; the client may safely try again.
    Reject {
        /// The query.
        query: QueryId,
        /// Advice on when to come back, from now; 0 for none.
        retry_after: Micros,
    },
    /// Fail a query; it may have taken effect.
    Fail {
        /// The query.
        query: QueryId,
    },
    /// Send [`Event::TimerExpired`] after this time.
    SetTimer(Micros),
    /// Watch the endpoint list from now on.
    WatchEndpoints,
    /// Send a backend a health check.
    HealthCheck(BackendId),
    /// Log that a backend is an outlier from now on.
    BackendEjected(BackendId),
    /// Log that a backend is no outlier any more.
    BackendRecovered(BackendId),
}

/// What a router makes of one backend.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendView {
    /// The backend.
    pub backend: BackendId,
    /// What the endpoint list says of it.
    pub state: EndpointState,
    /// Whether it is an outlier, and gets parts only where no other replica can take them.
    pub ejected: bool,
    /// Whether it may still be warming up.
    pub warming_up: bool,
    /// This router's parts in flight there.
    pub parts_in_flight: u32,
}
