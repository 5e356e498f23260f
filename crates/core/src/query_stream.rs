//! A stream that carries many queries: which of them may begin, which response is whose, and when the stream is
//! over.
//!
//! A client sends queries as fast as it likes, each with a tag; responses are sent as they come. The stream
//! is not read while as many queries are open as it may have, or while the client lets responses pile up, so
//! that neither side's backlog is held here. A tag is in use until its response has been handed to the stream.
//! A client that half-closes the stream still gets all responses; one that aborts it gets none, and the caller
//! has to cancel what was open. The stream ends with its status, after every tag was answered.

use std::collections::BTreeMap;

/// How far a stream has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Queries are accepted.
    Open,
    /// The client has closed its side; responses are still owed.
    HalfClosed,
    /// The process shuts down: queries that come are rejected, those that are open are answered.
    Draining,
    /// Every response was given; only the status is left.
    Over,
}

/// Why a query is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// The tag stands for a query that is open.
    Busy,
    /// The stream accepts no more queries.
    Closed,
}

/// The limits of one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Most queries that are open at a time.
    pub window: usize,
    /// Bytes of unread responses from which on the stream is not read.
    pub backlog: usize,
}

/// The queries of one stream, by their tags. `C` is what the caller knows an open one by.
#[derive(Debug)]
pub struct Batch<T, C> {
    limits: Bounds,
    phase: Phase,
    open: BTreeMap<T, C>,
    /// Bytes of responses that the client has not read.
    unread_bytes: usize,
    answered: u64,
}

impl<T: Ord + Clone, C: Copy> Batch<T, C> {
    /// A stream without queries.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self { limits: bounds, phase: Phase::Open, open: BTreeMap::new(), unread_bytes: 0, answered: 0 }
    }

    /// How far it has got.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether the next query may be read.
    #[must_use]
    pub fn reads(&self) -> bool {
        let has_capacity = self.open.len() < self.limits.window && self.unread_bytes < self.limits.backlog;
        has_capacity && matches!(self.phase, Phase::Open | Phase::Draining)
    }

    /// Begins a query.
    ///
    /// # Errors
    /// It is rejected.
    pub fn begin(&mut self, tag: T, call: C) -> Result<(), Why> {
        if self.phase != Phase::Open {
            return Err(Why::Closed);
        }
        if self.open.contains_key(&tag) {
            return Err(Why::Busy);
        }
        self.open.insert(tag, call);
        Ok(())
    }

    /// The caller knows an open query by something else from now on.
    pub fn known(&mut self, tag: &T, call: C) {
        if let Some(open) = self.open.get_mut(tag) {
            *open = call;
        }
    }

    /// A query has its response, of so many bytes to be read; `false` if it is not open.
    pub fn answer(&mut self, tag: &T, bytes: usize) -> bool {
        if self.open.remove(tag).is_none() {
            return false;
        }
        self.unread_bytes += bytes;
        self.answered += 1;
        self.end_if_answered();
        true
    }

    /// The stream sends so many bytes that answer no open query.
    pub fn say(&mut self, bytes: usize) {
        self.unread_bytes += bytes;
    }

    /// The client has read so many bytes.
    pub fn taken(&mut self, bytes: usize) {
        self.unread_bytes = self.unread_bytes.saturating_sub(bytes);
    }

    /// The open query of a tag, which a client wants to cancel; its response still has to be given.
    #[must_use]
    pub fn find(&self, tag: &T) -> Option<C> {
        self.open.get(tag).copied()
    }

    /// The client has closed its side.
    pub fn half_close(&mut self) {
        if matches!(self.phase, Phase::Open | Phase::Draining) {
            self.phase = Phase::HalfClosed;
            self.end_if_answered();
        }
    }

    /// The process shuts down.
    pub fn drain(&mut self) {
        if self.phase == Phase::Open {
            self.phase = Phase::Draining;
            self.end_if_answered();
        }
    }

    /// The client has aborted the stream: the queries that were open.
    pub fn abort(&mut self) -> Vec<(T, C)> {
        self.phase = Phase::Over;
        std::mem::take(&mut self.open).into_iter().collect()
    }

    /// How many queries are open, and how many were answered.
    #[must_use]
    pub fn counts(&self) -> (usize, u64) {
        (self.open.len(), self.answered)
    }

    /// A stream that accepts no more queries ends once none is open; a client sends the rest to another
    /// instance.
    fn end_if_answered(&mut self) {
        if self.open.is_empty() && matches!(self.phase, Phase::HalfClosed | Phase::Draining) {
            self.phase = Phase::Over;
        }
    }
}
