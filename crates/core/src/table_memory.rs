//! The memory budget for tables: how much more each backend may send, and which query is evicted when the
//! whole budget is reserved.
//!
//! Every byte that a backend may still send or has sent is reserved from one budget. A stream opens with an
//! initial window that is always available (it is set aside for the maximum number of open streams);
//! everything beyond it has to be granted by [`TableMemory::request_window`]. A backend without a grant is
//! not notified: its window is not enlarged, and HTTP/2 flow control makes it wait. Bytes that clients have
//! not read yet stay reserved ([`TableLease`]), so a slow client stops the backends.
//!
//! Two rules prevent a deadlock. First, each query has a limit. Second, when the whole budget is reserved by
//! queries that all wait for more, and no table is being sent to a client, the youngest of them is evicted
//! ([`TableMemory::query_to_evict`]), so that the oldest can always complete.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

/// The number of a backend's stream, assigned by the caller that opens it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u64);

/// The number of a query. Numbers ascend: a lower one is an older query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TableQueryId(pub u128);

/// The limits of the table memory, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableMemoryLimits {
    /// Limit of all tables together, beyond initial windows.
    pub total: usize,
    /// Limit of the tables of one query.
    pub per_query: usize,
}

/// The result of a request for a larger window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WindowGrant {
    /// The backend may send more at once.
    Granted,
    /// The backend has to wait until [`TableMemory::take_grants`] returns its stream.
    Queued,
    /// The request is denied: the query's tables would exceed their limit.
    Exceeded,
}

#[derive(Debug)]
struct Stream {
    query: TableQueryId,
    /// Bytes reserved beyond the initial window.
    reserved: usize,
    /// Bytes requested and not granted yet.
    queued: usize,
}

/// A waiting stream, ordered as grants are given: the oldest query's first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Waiting {
    query: TableQueryId,
    stream: StreamId,
    bytes: usize,
}

#[derive(Debug, Default)]
struct Reservations {
    streams: BTreeMap<StreamId, Stream>,
    /// Bytes reserved by each query, for its open streams and its complete tables.
    by_query: BTreeMap<TableQueryId, usize>,
    total: usize,
    /// The share of the total that belongs to complete tables; released as clients read them.
    leased: usize,
    /// The largest total so far.
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

    /// Decides whether a stream of `query` is granted `bytes` more.
    fn decide(
        &self,
        limits: &TableMemoryLimits,
        stream: StreamId,
        query: TableQueryId,
        bytes: usize,
    ) -> WindowGrant {
        // What the query's other streams wait for will be granted later, and counts.
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

/// The memory budget for tables. Clones share it.
#[derive(Clone, Debug)]
pub struct TableMemory {
    limits: TableMemoryLimits,
    reservations: Rc<RefCell<Reservations>>,
}

impl TableMemory {
    /// Creates a budget with nothing reserved.
    #[must_use]
    pub fn new(limits: TableMemoryLimits) -> Self {
        Self { limits, reservations: Rc::default() }
    }

    /// Registers a stream that is opened for a query. Its initial window is not part of this budget.
    pub fn open(&self, stream: StreamId, query: TableQueryId) {
        let opened = Stream { query, reserved: 0, queued: 0 };
        self.reservations.borrow_mut().streams.insert(stream, opened);
    }

    /// Requests `bytes` more for the backend of this stream to send.
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

    /// Grants waiting streams what they requested, as far as the budget allows. Returns these streams, each
    /// with the bytes granted. The oldest query's streams come first, and younger ones do not overtake them.
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

    /// Returns the query to evict if the others cannot proceed otherwise: the whole reservation belongs to
    /// waiting streams, and no complete table is being sent to a client. It is the youngest query with a
    /// reservation.
    #[must_use]
    pub fn query_to_evict(&self) -> Option<TableQueryId> {
        let reservations = self.reservations.borrow();
        let streams = || reservations.streams.values();
        let oldest_waiting = streams().filter(|open| open.queued > 0).map(|open| open.query).min()?;
        // A stream with a reservation that does not wait will end, or wait later.
        let any_progressing = streams().any(|open| open.reserved > 0 && open.queued == 0);
        if reservations.leased > 0 || any_progressing {
            return None;
        }
        let youngest = streams().filter(|open| open.reserved > 0).map(|open| open.query).max();
        // The oldest is not evicted: if it cannot complete alone, the limit per query ends it.
        youngest.filter(|&query| query != oldest_waiting)
    }

    /// Ends a stream of which nothing is kept, and releases its reservation.
    pub fn close(&self, stream: StreamId) {
        let mut reservations = self.reservations.borrow_mut();
        if let Some(open) = reservations.streams.remove(&stream) {
            reservations.release(open.query, open.reserved);
        }
    }

    /// Ends a stream with a complete table of `bytes` bytes, which stay reserved until the returned lease is
    /// dropped. Returns `None` if there is no capacity: a small table arrives through the initial window
    /// alone and needs a reservation only now.
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

    /// Returns the bytes reserved now, and the peak.
    #[must_use]
    pub fn usage(&self) -> (usize, usize) {
        let reservations = self.reservations.borrow();
        (reservations.total, reservations.peak)
    }

    /// Returns whether any stream waits for a grant.
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

/// A complete table's reservation, released on drop.
pub struct TableLease(Option<Lease>);

impl TableLease {
    /// Returns a lease of no bytes.
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
