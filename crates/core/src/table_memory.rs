//! The memory for tables: which backend may send how much more, and which query is evicted when all of it is
//! reserved.
//!
//! Every byte that a backend may still send or has sent is reserved from one budget. A stream opens with an
//! initial window that is always there (it is set aside for as many streams as may be open); for all that
//! comes beyond, [`TableMemory::request_window`] says whether the backend may go on. A backend that may not is
//! not notified: its window stays shut, and HTTP/2 makes it wait. Bytes that clients have not read yet stay
//! reserved ([`TableLease`]), so a slow client shuts the windows of backends.
//!
//! Two rules prevent a deadlock. A query has a limit of its own. And once the whole budget is reserved by
//! queries that all wait for more, with nothing on its way to a client, the youngest of them is evicted
//! ([`TableMemory::query_to_evict`]): the oldest can then always complete.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

/// A stream of a backend, by a number that its opener gave out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u64);

/// A query, by a number that grows with each: the lower, the older.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TableQueryId(pub u128);

/// The limits, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableMemoryLimits {
    /// For all tables together, beyond initial windows.
    pub total: usize,
    /// For the tables of one query.
    pub per_query: usize,
}

/// Whether a backend may send more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WindowGrant {
    /// It may, at once.
    Granted,
    /// Not yet; [`TableMemory::take_grants`] says when.
    Queued,
    /// Never: the query's tables would exceed their limit.
    Exceeded,
}

#[derive(Debug)]
struct Stream {
    query: TableQueryId,
    /// Bytes reserved for it beyond its initial window.
    reserved: usize,
    /// Bytes that it waits for.
    queued: usize,
}

/// A stream that waits, in the order in which streams are granted more: the oldest query's first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Waiting {
    query: TableQueryId,
    stream: StreamId,
    bytes: usize,
}

#[derive(Debug, Default)]
struct Reservations {
    streams: BTreeMap<StreamId, Stream>,
    /// Bytes reserved by each query: of its open streams, and of its complete tables.
    by_query: BTreeMap<TableQueryId, usize>,
    total: usize,
    /// Of the total, what belongs to complete tables: it is released as clients read them.
    leased: usize,
    /// The largest total there ever was.
    peak: usize,
}

impl Reservations {
    fn reserve(&mut self, query: TableQueryId, bytes: usize) {
        if bytes > 0 {
            *self.by_query.entry(query).or_default() += bytes;
            self.total += bytes;
            self.peak = self.peak.max(self.total);
        }
    }

    fn release(&mut self, query: TableQueryId, bytes: usize) {
        self.total -= bytes;
        if let Some(reserved) = self.by_query.get_mut(&query) {
            *reserved -= bytes;
            if *reserved == 0 {
                self.by_query.remove(&query);
            }
        }
    }

    fn of_query(&self, query: TableQueryId) -> usize {
        self.by_query.get(&query).copied().unwrap_or(0)
    }

    /// Whether a stream of `query` may be granted so many bytes.
    fn decide(
        &self,
        limits: &TableMemoryLimits,
        stream: StreamId,
        query: TableQueryId,
        bytes: usize,
    ) -> WindowGrant {
        // What the query's other streams wait for will be granted one day, and counts.
        let others = self.streams.iter().filter(|(id, other)| other.query == query && **id != stream);
        let queued: usize = others.map(|(_, other)| other.queued).sum();
        if self.of_query(query) + queued + bytes > limits.per_query {
            return WindowGrant::Exceeded;
        }
        let older_waits = self.streams.values().any(|other| other.queued > 0 && other.query < query);
        if older_waits || self.total + bytes > limits.total {
            return WindowGrant::Queued;
        }
        WindowGrant::Granted
    }
}

/// The budget. Clones share it.
#[derive(Clone, Debug)]
pub struct TableMemory {
    limits: TableMemoryLimits,
    reservations: Rc<RefCell<Reservations>>,
}

impl TableMemory {
    /// A budget of which nothing is reserved.
    #[must_use]
    pub fn new(limits: TableMemoryLimits) -> Self {
        Self { limits, reservations: Rc::default() }
    }

    /// A stream is opened for a query; its initial window is not reserved from here.
    pub fn open(&self, stream: StreamId, query: TableQueryId) {
        let opened = Stream { query, reserved: 0, queued: 0 };
        self.reservations.borrow_mut().streams.insert(stream, opened);
    }

    /// The backend of this stream could send so many bytes more.
    pub fn request_window(&self, stream: StreamId, bytes: usize) -> WindowGrant {
        let mut reservations = self.reservations.borrow_mut();
        let Some(open) = reservations.streams.get(&stream) else { return WindowGrant::Exceeded };
        let (query, bytes) = (open.query, bytes + open.queued);
        let grant = reservations.decide(&self.limits, stream, query, bytes);
        if grant == WindowGrant::Granted {
            reservations.reserve(query, bytes);
        }
        if let Some(open) = reservations.streams.get_mut(&stream) {
            open.queued = if grant == WindowGrant::Queued { bytes } else { 0 };
            open.reserved += if grant == WindowGrant::Granted { bytes } else { 0 };
        }
        grant
    }

    /// The streams that may go on now, with the bytes that each may send: the oldest query's come first, and
    /// a younger one does not overtake it.
    pub fn take_grants(&self) -> Vec<(StreamId, usize)> {
        let mut reservations = self.reservations.borrow_mut();
        let queued = reservations.streams.iter().filter(|(_, open)| open.queued > 0);
        let mut waiting: Vec<Waiting> =
            queued.map(|(&stream, open)| Waiting { query: open.query, stream, bytes: open.queued }).collect();
        waiting.sort_unstable();
        let mut granted = Vec::new();
        for Waiting { query, stream, bytes } in waiting {
            if reservations.total + bytes > self.limits.total {
                break;
            }
            reservations.reserve(query, bytes);
            if let Some(open) = reservations.streams.get_mut(&stream) {
                open.reserved += bytes;
                open.queued = 0;
            }
            granted.push((stream, bytes));
        }
        granted
    }

    /// The query that has to be evicted because nothing else can bring the others on: all that is reserved is
    /// held by streams that wait, and no complete table is on its way to a client. The youngest one that has
    /// anything reserved.
    #[must_use]
    pub fn query_to_evict(&self) -> Option<TableQueryId> {
        let reservations = self.reservations.borrow();
        let streams = || reservations.streams.values();
        let oldest_waiting = streams().filter(|open| open.queued > 0).map(|open| open.query).min()?;
        // A stream that has something reserved and does not wait will end, or wait later.
        let moves = streams().any(|open| open.reserved > 0 && open.queued == 0);
        if reservations.leased > 0 || moves {
            return None;
        }
        let youngest = streams().filter(|open| open.reserved > 0).map(|open| open.query).max();
        // The oldest is not evicted: where it cannot complete alone, its own limit ends it.
        youngest.filter(|&query| query != oldest_waiting)
    }

    /// The stream has ended, and nothing of it is kept.
    pub fn close(&self, stream: StreamId) {
        let mut reservations = self.reservations.borrow_mut();
        if let Some(open) = reservations.streams.remove(&stream) {
            reservations.release(open.query, open.reserved);
        }
    }

    /// The stream has ended with a complete table of so many bytes, which stay reserved until the lease is
    /// dropped. `None` if there is no capacity: a small table comes through the initial window alone, and needs
    /// a reservation only now.
    #[must_use]
    pub fn retain(&self, stream: StreamId, bytes: usize) -> Option<TableLease> {
        let mut reservations = self.reservations.borrow_mut();
        let open = reservations.streams.remove(&stream)?;
        let query = open.query;
        reservations.release(query, open.reserved);
        let exceeds_total = reservations.total + bytes > self.limits.total;
        if exceeds_total || reservations.of_query(query) + bytes > self.limits.per_query {
            return None;
        }
        reservations.reserve(query, bytes);
        reservations.leased += bytes;
        drop(reservations);
        Some(TableLease(Some(Lease { reservations: Rc::clone(&self.reservations), query, bytes })))
    }

    /// Bytes reserved now, and the most that ever were.
    #[must_use]
    pub fn usage(&self) -> (usize, usize) {
        let reservations = self.reservations.borrow();
        (reservations.total, reservations.peak)
    }

    /// Whether any backend waits.
    #[must_use]
    pub fn has_waiting_streams(&self) -> bool {
        self.reservations.borrow().streams.values().any(|open| open.queued > 0)
    }
}

struct Lease {
    reservations: Rc<RefCell<Reservations>>,
    query: TableQueryId,
    bytes: usize,
}

/// A complete table's share of the budget; it is released when this is dropped.
pub struct TableLease(Option<Lease>);

impl TableLease {
    /// A share of nothing.
    #[must_use]
    pub fn none() -> Self {
        Self(None)
    }
}

impl fmt::Debug for TableLease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "TableLease({})", self.0.as_ref().map_or(0, |lease| lease.bytes))
    }
}

impl Drop for TableLease {
    fn drop(&mut self) {
        if let Some(lease) = self.0.take() {
            let mut reservations = lease.reservations.borrow_mut();
            reservations.leased -= lease.bytes;
            reservations.release(lease.query, lease.bytes);
        }
    }
}
