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
pub enum QueryStreamPhase {
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
pub enum QueryStreamRejection {
    /// The tag stands for a query that is open.
    TagInUse,
    /// The stream accepts no more queries.
    Closed,
}

/// The limits of one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueryStreamLimits {
    /// Most queries that are open at a time.
    pub window: usize,
    /// Bytes of unread responses from which on the stream is not read.
    pub backlog: usize,
}

/// The queries of one stream, by their tags. `C` is what the caller knows an open one by.
#[derive(Debug)]
pub struct QueryStream<T, C> {
    limits: QueryStreamLimits,
    phase: QueryStreamPhase,
    open: BTreeMap<T, C>,
    /// Bytes of responses that the client has not read.
    unread_bytes: usize,
    answered: u64,
}

impl<T: Ord + Clone, C: Copy> QueryStream<T, C> {
    /// A stream without queries.
    #[must_use]
    pub fn new(bounds: QueryStreamLimits) -> Self {
        Self {
            limits: bounds,
            phase: QueryStreamPhase::Open,
            open: BTreeMap::new(),
            unread_bytes: 0,
            answered: 0,
        }
    }

    /// How far it has got.
    #[must_use]
    pub fn phase(&self) -> QueryStreamPhase {
        self.phase
    }

    /// Whether the next query may be read.
    #[must_use]
    pub fn may_read(&self) -> bool {
        let has_capacity = self.open.len() < self.limits.window && self.unread_bytes < self.limits.backlog;
        has_capacity && matches!(self.phase, QueryStreamPhase::Open | QueryStreamPhase::Draining)
    }

    /// Begins a query.
    ///
    /// # Errors
    /// It is rejected.
    pub fn begin(&mut self, tag: T, call: C) -> Result<(), QueryStreamRejection> {
        if self.phase != QueryStreamPhase::Open {
            return Err(QueryStreamRejection::Closed);
        }
        if self.open.contains_key(&tag) {
            return Err(QueryStreamRejection::TagInUse);
        }
        self.open.insert(tag, call);
        Ok(())
    }

    /// The caller knows an open query by something else from now on.
    pub fn set_call(&mut self, tag: &T, call: C) {
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
    pub fn untagged_response(&mut self, bytes: usize) {
        self.unread_bytes += bytes;
    }

    /// The client has read so many bytes.
    pub fn bytes_read(&mut self, bytes: usize) {
        self.unread_bytes = self.unread_bytes.saturating_sub(bytes);
    }

    /// The open query of a tag, which a client wants to cancel; its response still has to be given.
    #[must_use]
    pub fn find(&self, tag: &T) -> Option<C> {
        self.open.get(tag).copied()
    }

    /// The client has closed its side.
    pub fn half_close(&mut self) {
        if matches!(self.phase, QueryStreamPhase::Open | QueryStreamPhase::Draining) {
            self.phase = QueryStreamPhase::HalfClosed;
            self.end_if_answered();
        }
    }

    /// The process shuts down.
    pub fn drain(&mut self) {
        if self.phase == QueryStreamPhase::Open {
            self.phase = QueryStreamPhase::Draining;
            self.end_if_answered();
        }
    }

    /// The client has aborted the stream: the queries that were open.
    pub fn abort(&mut self) -> Vec<(T, C)> {
        self.phase = QueryStreamPhase::Over;
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
        if self.open.is_empty()
            && matches!(self.phase, QueryStreamPhase::HalfClosed | QueryStreamPhase::Draining)
        {
            self.phase = QueryStreamPhase::Over;
        }
    }
}
