//! The memory for tables: which host may send how much more, and who gives way when all of it is taken.
//!
//! Every byte that a host may still send or has sent is drawn from one budget. A stream opens with a first
//! window that is always there (it is set aside for as many streams as may be open); for all that comes
//! beyond, [`TableMemory::request_window`] says whether the host may go on. A host that may not is told nothing: its window
//! stays shut, and HTTP/2 makes it wait. Bytes that readers have not taken yet stay drawn ([`TableLease`]), so a
//! slow reader shuts the windows of hosts.
//!
//! Two rules keep this from standing still. A call has a bound of its own. And once the whole budget is held
//! by calls that all wait for more, with nothing on its way to a reader, the youngest of them gives way
//! ([`TableMemory::query_to_evict`]): the oldest then always comes to its end.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

/// A stream of a host, by a number that its opener gave out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u64);

/// A query, by a number that grows with each: the lower, the older.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u128);

/// The bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableMemoryLimits {
    /// Bytes for all tables together, beyond first windows.
    pub total: usize,
    /// Bytes for the tables of one query.
    pub per_query: usize,
}

/// Whether a host may send more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WindowGrant {
    /// It may, at once.
    Granted,
    /// Not yet; [`TableMemory::take_grants`] says when.
    Queued,
    /// Never: the query's tables would outgrow their bound.
    Exceeded,
}

#[derive(Debug)]
struct Stream {
    call: CallId,
    /// Drawn for it beyond its first window.
    drawn: usize,
    /// What it waits for.
    wants: usize,
}

#[derive(Debug, Default)]
struct State {
    streams: BTreeMap<StreamId, Stream>,
    /// Drawn by each query: its open streams, and its tables that are whole.
    calls: BTreeMap<CallId, usize>,
    drawn: usize,
    /// Of what is drawn, so much belongs to whole tables: it comes back as readers take them.
    leased: usize,
    peak: usize,
}

impl State {
    fn draw(&mut self, call: CallId, bytes: usize) {
        if bytes > 0 {
            *self.calls.entry(call).or_default() += bytes;
            self.drawn += bytes;
            self.peak = self.peak.max(self.drawn);
        }
    }

    fn give_back(&mut self, call: CallId, bytes: usize) {
        self.drawn -= bytes;
        if let Some(held) = self.calls.get_mut(&call) {
            *held -= bytes;
            if *held == 0 {
                self.calls.remove(&call);
            }
        }
    }
}

/// The budget. Clones share it.
#[derive(Clone, Debug)]
pub struct TableMemory {
    bounds: TableMemoryLimits,
    state: Rc<RefCell<State>>,
}

impl TableMemory {
    /// A budget of which nothing is drawn.
    #[must_use]
    pub fn new(bounds: TableMemoryLimits) -> Self {
        Self { bounds, state: Rc::default() }
    }

    /// A stream is opened for a query; its first window is not drawn from here.
    pub fn open(&self, stream: StreamId, call: CallId) {
        self.state.borrow_mut().streams.insert(stream, Stream { call, drawn: 0, wants: 0 });
    }

    /// The host of this stream could send so many bytes more.
    pub fn request_window(&self, stream: StreamId, bytes: usize) -> WindowGrant {
        let mut state = self.state.borrow_mut();
        let Some(Stream { call, wants, .. }) = state.streams.get(&stream) else {
            return WindowGrant::Exceeded;
        };
        let (call, bytes) = (*call, bytes + *wants);
        // What the query's other streams wait for will be granted one day, and counts.
        let others = state.streams.iter().filter(|(id, s)| s.call == call && **id != stream);
        let held = state.calls.get(&call).copied().unwrap_or(0) + others.map(|(_, s)| s.wants).sum::<usize>();
        let older_waits = state.streams.values().any(|s| s.wants > 0 && s.call < call);
        let grant = if held + bytes > self.bounds.per_query {
            WindowGrant::Exceeded
        } else if older_waits || state.drawn + bytes > self.bounds.total {
            WindowGrant::Queued
        } else {
            WindowGrant::Granted
        };
        if grant == WindowGrant::Granted {
            state.draw(call, bytes);
        }
        if let Some(open) = state.streams.get_mut(&stream) {
            open.wants = if grant == WindowGrant::Queued { bytes } else { 0 };
            open.drawn += if grant == WindowGrant::Granted { bytes } else { 0 };
        }
        grant
    }

    /// The streams that may go on now, with the bytes that each may send: the oldest query's come first, and
    /// a younger one does not overtake it.
    pub fn take_grants(&self) -> Vec<(StreamId, usize)> {
        let mut state = self.state.borrow_mut();
        let waiting = state.streams.iter().filter(|(_, s)| s.wants > 0);
        let mut waiting: Vec<_> = waiting.map(|(&id, s)| (s.call, id, s.wants)).collect();
        waiting.sort_unstable();
        let mut granted = Vec::new();
        for (call, id, wants) in waiting {
            if state.drawn + wants > self.bounds.total {
                break;
            }
            state.draw(call, wants);
            if let Some(stream) = state.streams.get_mut(&id) {
                (stream.drawn, stream.wants) = (stream.drawn + wants, 0);
            }
            granted.push((id, wants));
        }
        granted
    }

    /// The query that has to give way, once nothing else can bring the others on: all that is drawn is held
    /// by streams, somebody waits, and no table is on its way to a reader. The youngest one that holds any.
    #[must_use]
    pub fn query_to_evict(&self) -> Option<CallId> {
        let state = self.state.borrow();
        let waiting: Vec<&Stream> = state.streams.values().filter(|s| s.wants > 0).collect();
        if waiting.is_empty() || state.leased > 0 {
            return None;
        }
        // A stream that holds something and does not wait will end or wait in its turn.
        let moves = state.streams.values().any(|s| s.drawn > 0 && s.wants == 0);
        if moves {
            return None;
        }
        let oldest = waiting.iter().map(|s| s.call).min();
        let holders = state.streams.values().filter(|s| s.drawn > 0).map(|s| s.call);
        // The oldest gives way only to itself: one that cannot end alone is refused by its own bound.
        holders.max().filter(|&call| Some(call) != oldest)
    }

    /// The stream is over, and nothing of it is kept.
    pub fn close(&self, stream: StreamId) {
        let mut state = self.state.borrow_mut();
        if let Some(open) = state.streams.remove(&stream) {
            state.give_back(open.call, open.drawn);
        }
    }

    /// The stream has ended with a whole table of so many bytes, which stay drawn until the lease is dropped.
    /// `None` if there is no room: a small table comes through the first window alone, and has to find its
    /// room only now.
    #[must_use]
    pub fn retain(&self, stream: StreamId, bytes: usize) -> Option<TableLease> {
        let mut state = self.state.borrow_mut();
        let open = state.streams.remove(&stream)?;
        state.give_back(open.call, open.drawn);
        let held = state.calls.get(&open.call).copied().unwrap_or(0);
        if state.drawn + bytes > self.bounds.total || held + bytes > self.bounds.per_query {
            return None;
        }
        state.draw(open.call, bytes);
        state.leased += bytes;
        drop(state);
        Some(TableLease(Some(Hold { state: Rc::clone(&self.state), call: open.call, bytes })))
    }

    /// Bytes drawn now, and the most that ever were.
    #[must_use]
    pub fn usage(&self) -> (usize, usize) {
        let state = self.state.borrow();
        (state.drawn, state.peak)
    }

    /// Whether any host waits.
    #[must_use]
    pub fn has_waiting_streams(&self) -> bool {
        self.state.borrow().streams.values().any(|s| s.wants > 0)
    }
}

struct Hold {
    state: Rc<RefCell<State>>,
    call: CallId,
    bytes: usize,
}

/// A whole table's share of the budget; comes back when it is dropped.
pub struct TableLease(Option<Hold>);

impl TableLease {
    /// A share of nothing.
    #[must_use]
    pub fn none() -> Self {
        Self(None)
    }
}

impl fmt::Debug for TableLease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "TableLease({})", self.0.as_ref().map_or(0, |hold| hold.bytes))
    }
}

impl Drop for TableLease {
    fn drop(&mut self) {
        if let Some(hold) = self.0.take() {
            let mut state = hold.state.borrow_mut();
            state.leased -= hold.bytes;
            state.give_back(hold.call, hold.bytes);
        }
    }
}
