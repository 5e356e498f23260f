//! How much this router has had to do of late. Other rules scale by it: a router that sees little traffic
//! meets each backend rarely, keeps what it knows for longer, and may repeat less.

use std::collections::VecDeque;

use crate::ids::Micros;

/// Bounds of the time in which knowledge of a backend fades, in microseconds.
const MIN_FADE_TIME_US: f64 = 1_000_000.0;
pub(crate) const MAX_FADE_TIME_US: f64 = 4_000_000.0;

/// What arrived within a sliding window.
#[derive(Debug)]
pub struct Traffic {
    window: Micros,
    first_event_at: Option<Micros>,
    /// When queries and parts arrived.
    arrivals: VecDeque<Micros>,
    /// When the parts of queries arrived that were not rejected at random.
    admitted_parts: VecDeque<Micros>,
}

impl Traffic {
    /// Counts over a window of this length, in microseconds.
    pub fn new(window: Micros) -> Self {
        let (arrivals, admitted_parts) = (VecDeque::new(), VecDeque::new());
        Self { window, first_event_at: None, arrivals, admitted_parts }
    }

    /// Forgets what has left the window.
    pub fn advance(&mut self, now: Micros) {
        self.first_event_at.get_or_insert(now);
        let from = now.saturating_sub(self.window);
        self.arrivals.retain(|&at| at > from);
        self.admitted_parts.retain(|&at| at > from);
    }

    /// Counts a query or a part.
    pub fn record_arrival(&mut self, now: Micros) {
        self.arrivals.push_back(now);
    }

    /// Counts the parts of a query that was not rejected at random.
    pub fn record_admitted_parts(&mut self, now: Micros, parts: usize) {
        self.admitted_parts.extend(std::iter::repeat_n(now, parts));
    }

    /// Queries and parts that arrived within the window.
    pub fn arrivals(&self) -> usize {
        self.arrivals.len()
    }

    /// Time since this router's first event, in microseconds.
    pub fn age(&self, now: Micros) -> Micros {
        now - self.first_event_at.unwrap_or(now)
    }

    /// Admitted parts to expect within `span` microseconds, at least one, by the pace of the whole window.
    pub fn admitted_parts_in(&self, now: Micros, span: Micros) -> f64 {
        let seen = self.age(now).max(span).min(self.window).max(1);
        (self.admitted_parts.len() as f64 * span as f64 / seen as f64).max(1.0)
    }

    /// How long this router needs to send something to each of so many backends once, in microseconds.
    pub fn coverage_time(&self, backends: f64) -> f64 {
        self.window as f64 * backends / self.arrivals.len().max(1) as f64
    }

    /// The time in which knowledge of a backend fades to a third, in microseconds: while this router
    /// comes by every backend once, within bounds.
    pub fn fade_time(&self, backends: f64) -> f64 {
        self.coverage_time(backends).clamp(MIN_FADE_TIME_US, MAX_FADE_TIME_US)
    }

    /// How many instants are kept.
    pub(crate) fn len(&self) -> usize {
        self.arrivals.len() + self.admitted_parts.len()
    }
}
