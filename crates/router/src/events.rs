//! What a router is told and what it asks for: events in, actions out.

use crate::ids::{BackendId, ClassId, Micros, PartId, QueryId, ShardId, ZoneId};

/// What the list says of a server.
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

/// One entry of the list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The server.
    pub backend: BackendId,
    /// Its cell, which says what shards it holds.
    pub ring_position: u32,
    /// Its state.
    pub state: EndpointState,
    /// When it last started; `None` for a long time ago.
    pub started_at: Option<Micros>,
    /// Its zone, where that is known.
    pub zone: Option<ZoneId>,
}

/// News of the list of servers.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointUpdate {
    /// The whole list; a server that is missing is gone.
    Snapshot(Vec<Endpoint>),
    /// Changed entries only.
    Delta(Vec<Endpoint>),
    /// The whole list as last seen before this router started; it may be stale.
    CachedSnapshot(Vec<Endpoint>),
    /// An ask failed or the subscription dropped; the old list holds.
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
    /// Marked as a client's further try; `false` where clients do not mark them.
    pub retry: bool,
    /// Somebody else decides which parts it needs and when it is answered: parts come one by one
    /// ([`Event::PartArrived`]), a lost one is told ([`Action::PartFailed`]), and its end comes as [`Event::QueryCompleted`].
    pub planned: bool,
}

/// A part of a query that has arrived, of its first or its second step.
#[derive(Clone, Debug, PartialEq)]
pub struct PartArrival {
    /// The query it belongs to.
    pub query: QueryId,
    /// The part.
    pub part: PartId,
    /// The shard that it asks.
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
    /// The server reported an error; the part may have run.
    BackendError,
    /// Turned away unseen; it never ran.
    Rejected,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection in time; it never ran.
    ConnectFailed,
    /// The connection dropped; it may have run.
    ConnectionLost,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent; it never ran.
    NotSent,
}

/// One thing that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list of servers.
    EndpointUpdate(EndpointUpdate),
    /// A query arrived.
    QueryArrived(QueryArrival),
    /// A part arrived.
    PartArrived(PartArrival),
    /// A wake-up that was asked for is due.
    TimerExpired,
    /// Nobody needs this part of a planned query any more.
    PartCancelled(PartId),
    /// A planned query has had its final answer.
    QueryCompleted {
        /// The query.
        query: QueryId,
        /// It was answered; otherwise it was refused or failed.
        answered: bool,
    },
    /// The client of a query left.
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
        took: Micros,
    },
    /// A probe came back.
    HealthCheckCompleted {
        /// The server probed.
        backend: BackendId,
        /// Whether it passed.
        passed: bool,
    },
}

/// One thing to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A part of a planned query can never come in.
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
        /// Its time-out.
        timeout: Micros,
        /// It must not begin later than this from now, however long it waits for a connection; at most the
        /// time-out.
        begin_within: Micros,
    },
    /// Call an attempt off.
    Cancel {
        /// The part.
        part: PartId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Answer a query from the parts that are in. In a class with a second step, the first answer
    /// brings that step's parts.
    Respond {
        /// The query.
        query: QueryId,
        /// Whether the answer is whole.
        complete: bool,
    },
    /// Turn a query away; trying again is harmless.
    Reject {
        /// The query.
        query: QueryId,
        /// Advice on when to come back; 0 for none.
        retry_after: Micros,
    },
    /// Give a query up without a promise.
    Fail {
        /// The query.
        query: QueryId,
    },
    /// Ask for [`Event::TimerExpired`] after so long.
    SetTimer(Micros),
    /// Watch the endpoint list from now on.
    WatchEndpoints,
    /// Probe a server.
    HealthCheck(BackendId),
    /// Log that a backend is an outlier from now on.
    BackendEjected(BackendId),
    /// Log that a backend is no outlier any more.
    BackendRecovered(BackendId),
}

/// What a router makes of one server.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendView {
    /// The server.
    pub backend: BackendId,
    /// What the list says of it.
    pub state: EndpointState,
    /// Whether it is passed over while others can serve.
    pub ejected: bool,
    /// Whether it may still be cold.
    pub warming_up: bool,
    /// Our parts out on it.
    pub parts_in_flight: u32,
}
