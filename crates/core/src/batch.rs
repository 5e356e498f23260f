//! Many queries over one long stream: which may begin, which is whose, and when the stream is over.
//!
//! A client sends queries as fast as it likes, each with a tag; answers go back as they come. The stream
//! stops being read while as many queries are open as it may have, or while the client lets answers pile up,
//! so that neither side's backlog is held here. A tag is busy until its answer has been handed to the stream.
//! A client that half-closes still gets all answers; one that breaks off gets none, and what it had open is
//! left to the caller to give up. The last thing on a stream is its status, after every tag was answered.

use std::collections::BTreeMap;

/// Where a stream stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Queries may come.
    Open,
    /// The client has said its last; answers are still owed.
    HalfClosed,
    /// The program ends: queries that come are refused, those that are open are answered.
    Draining,
    /// Every answer was given; only the status is left.
    Over,
}

/// Why a query is not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// The tag stands for a query that is open.
    Busy,
    /// The stream takes no more.
    Closed,
}

/// The bounds of one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Most queries that are open at a time.
    pub window: usize,
    /// Bytes of answers that wait to be taken, above which nothing more is read.
    pub backlog: usize,
}

/// The queries of one stream, by their tags. `C` is what the caller knows an open one by.
#[derive(Debug)]
pub struct Batch<T, C> {
    bounds: Bounds,
    phase: Phase,
    open: BTreeMap<T, C>,
    waiting: usize,
    answered: u64,
}

impl<T: Ord + Clone, C: Copy> Batch<T, C> {
    /// A stream on which nothing has come.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, phase: Phase::Open, open: BTreeMap::new(), waiting: 0, answered: 0 }
    }

    /// Where it stands.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether the next query may be read.
    #[must_use]
    pub fn reads(&self) -> bool {
        let room = self.open.len() < self.bounds.window && self.waiting < self.bounds.backlog;
        room && matches!(self.phase, Phase::Open | Phase::Draining)
    }

    /// A query has come.
    ///
    /// # Errors
    /// It is not to be begun.
    pub fn begin(&mut self, tag: T, call: C) -> Result<(), Why> {
        match self.phase {
            Phase::Open if self.open.contains_key(&tag) => Err(Why::Busy),
            Phase::Open => {
                self.open.insert(tag, call);
                Ok(())
            }
            _ => Err(Why::Closed),
        }
    }

    /// What an open query is known by from now on.
    pub fn known(&mut self, tag: &T, call: C) {
        if let Some(open) = self.open.get_mut(tag) {
            *open = call;
        }
    }

    /// A query has its answer, of so many bytes to be taken; `false` if it is not open.
    pub fn answer(&mut self, tag: &T, bytes: usize) -> bool {
        let known = self.open.remove(tag).is_some();
        if known {
            self.waiting += bytes;
            self.answered += 1;
            self.settle();
        }
        known
    }

    /// The stream says something that answers no open query.
    pub fn say(&mut self, bytes: usize) {
        self.waiting += bytes;
    }

    /// The client has taken so much.
    pub fn taken(&mut self, bytes: usize) {
        self.waiting = self.waiting.saturating_sub(bytes);
    }

    /// The open query of a tag, which a client wants to cancel; its answer still has to be given.
    #[must_use]
    pub fn find(&self, tag: &T) -> Option<C> {
        self.open.get(tag).copied()
    }

    /// The client has said its last.
    pub fn half_close(&mut self) {
        if matches!(self.phase, Phase::Open | Phase::Draining) {
            self.phase = Phase::HalfClosed;
            self.settle();
        }
    }

    /// The program ends.
    pub fn drain(&mut self) {
        if self.phase == Phase::Open {
            self.phase = Phase::Draining;
            self.settle();
        }
    }

    /// The client has gone: the queries that were open.
    pub fn abort(&mut self) -> Vec<(T, C)> {
        self.phase = Phase::Over;
        std::mem::take(&mut self.open).into_iter().collect()
    }

    /// How many are open, and how many were answered.
    #[must_use]
    pub fn counts(&self) -> (usize, u64) {
        (self.open.len(), self.answered)
    }

    fn settle(&mut self) {
        // A stream that drains ends once nothing is open: the client takes what it still has elsewhere.
        if self.open.is_empty() && matches!(self.phase, Phase::HalfClosed | Phase::Draining) {
            self.phase = Phase::Over;
        }
    }
}
