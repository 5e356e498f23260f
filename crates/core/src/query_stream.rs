//! A stream that carries many queries: admission of queries, matching of responses to tags, and the end of
//! the stream.
//!
//! A client sends queries at any rate, each with a tag; responses are sent as they arrive. The stream is not
//! read while its window of open queries is full, or while the client does not read its responses, so that no
//! backlog of either side is buffered here. A tag is in use until its response has been written to the
//! stream. A client that half-closes the stream still gets all responses; one that aborts it gets none, and
//! the caller has to cancel the open queries. The stream ends with its status, after every tag was answered.

use std::collections::BTreeMap;

/// The phase of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryStreamPhase {
    /// Queries are accepted.
    Open,
    /// The client has closed its side; responses are still outstanding.
    HalfClosed,
    /// The process shuts down: new queries are rejected, open ones are answered.
    Draining,
    /// All responses were sent; only the status is left.
    Over,
}

/// Why a query is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryStreamRejection {
    /// The tag belongs to an open query.
    TagInUse,
    /// The stream accepts no more queries.
    Closed,
}

/// The limits of one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueryStreamLimits {
    /// Maximum number of open queries.
    pub window: usize,
    /// Bytes of unread responses from which the stream is no longer read.
    pub backlog: usize,
}

/// The queries of one stream by their tags. `C` is the caller's id of an open query.
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
    /// Creates a stream without queries.
    #[must_use]
    pub fn new(limits: QueryStreamLimits) -> Self {
        Self { limits, phase: QueryStreamPhase::Open, open: BTreeMap::new(), unread_bytes: 0, answered: 0 }
    }

    /// Returns the phase of the stream.
    #[must_use]
    pub fn phase(&self) -> QueryStreamPhase {
        self.phase
    }

    /// Returns whether the next query may be read.
    #[must_use]
    pub fn may_read(&self) -> bool {
        let has_capacity = self.open.len() < self.limits.window && self.unread_bytes < self.limits.backlog;
        has_capacity && matches!(self.phase, QueryStreamPhase::Open | QueryStreamPhase::Draining)
    }

    /// Opens a query.
    ///
    /// # Errors
    /// The tag is in use, or the stream accepts no more queries.
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

    /// Replaces the caller's id of an open query.
    pub fn set_call(&mut self, tag: &T, call: C) {
        if let Some(open) = self.open.get_mut(tag) {
            *open = call;
        }
    }

    /// Closes a query with its response of `bytes` bytes. Returns `false` if the query is not open.
    pub fn answer(&mut self, tag: &T, bytes: usize) -> bool {
        if self.open.remove(tag).is_none() {
            return false;
        }
        self.unread_bytes += bytes;
        self.answered += 1;
        self.end_if_answered();
        true
    }

    /// Records `bytes` bytes sent on the stream that belong to no open query.
    pub fn untagged_response(&mut self, bytes: usize) {
        self.unread_bytes += bytes;
    }

    /// Records that the client has read `bytes` bytes.
    pub fn bytes_read(&mut self, bytes: usize) {
        self.unread_bytes = self.unread_bytes.saturating_sub(bytes);
    }

    /// Records that the client has read all responses. Their sizes are estimates, so the sum of what was read may
    /// never reach them.
    pub fn all_bytes_read(&mut self) {
        self.unread_bytes = 0;
    }

    /// Returns the open query of a tag that a client wants to cancel. Its response still has to be sent.
    #[must_use]
    pub fn find(&self, tag: &T) -> Option<C> {
        self.open.get(tag).copied()
    }

    /// Handles that the client has closed its side.
    pub fn half_close(&mut self) {
        if matches!(self.phase, QueryStreamPhase::Open | QueryStreamPhase::Draining) {
            self.phase = QueryStreamPhase::HalfClosed;
            self.end_if_answered();
        }
    }

    /// Starts draining, because the process shuts down.
    pub fn drain(&mut self) {
        if self.phase == QueryStreamPhase::Open {
            self.phase = QueryStreamPhase::Draining;
            self.end_if_answered();
        }
    }

    /// Handles that the client has aborted the stream. Returns the queries that were open.
    pub fn abort(&mut self) -> Vec<(T, C)> {
        self.phase = QueryStreamPhase::Over;
        std::mem::take(&mut self.open).into_iter().collect()
    }

    /// Returns the number of open and of answered queries.
    #[must_use]
    pub fn counts(&self) -> (usize, u64) {
        (self.open.len(), self.answered)
    }

    /// Ends a stream that accepts no more queries once none is open. A client sends the rest to another
    /// instance.
    fn end_if_answered(&mut self) {
        if self.open.is_empty()
            && matches!(self.phase, QueryStreamPhase::HalfClosed | QueryStreamPhase::Draining)
        {
            self.phase = QueryStreamPhase::Over;
        }
    }
}
