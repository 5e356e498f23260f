//! Recent traffic of this router. Other rules scale with it: a router with little traffic sends to each
//! backend rarely, so it keeps its measurements for longer, and it may retry less.

use std::collections::VecDeque;

use crate::ids::Micros;

/// Lower bound of the time in which measurements of a backend fade, in microseconds.
const MIN_FADE_TIME_US: f64 = 1_000_000.0;
/// Upper bound of the time in which measurements of a backend fade, in microseconds.
pub(crate) const MAX_FADE_TIME_US: f64 = 4_000_000.0;

/// Arrivals within a sliding window.
#[derive(Debug)]
pub struct Traffic {
    window: Micros,
    first_event_at: Option<Micros>,
    /// Arrival times of queries and parts.
    arrivals: VecDeque<Micros>,
    /// Arrival times of the parts of queries that were not rejected at random.
    admitted_parts: VecDeque<Micros>,
}

impl Traffic {
    /// Creates counts over a window of this length, in microseconds.
    pub fn new(window: Micros) -> Self {
        let (arrivals, admitted_parts) = (VecDeque::new(), VecDeque::new());
        Self { window, first_event_at: None, arrivals, admitted_parts }
    }

    /// Removes the arrivals older than the window.
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

    /// Returns the number of queries and parts that arrived within the window.
    pub fn arrivals(&self) -> usize {
        self.arrivals.len()
    }

    /// Returns the time since this router's first event, in microseconds.
    pub fn age(&self, now: Micros) -> Micros {
        now - self.first_event_at.unwrap_or(now)
    }

    /// Returns the number of admitted parts expected within `span` microseconds, at least 1, from the rate
    /// over the whole window.
    pub fn admitted_parts_in(&self, now: Micros, span: Micros) -> f64 {
        let seen = self.age(now).max(span).min(self.window).max(1);
        (self.admitted_parts.len() as f64 * span as f64 / seen as f64).max(1.0)
    }

    /// Returns the time in which this router sends something to each of this number of backends once, in
    /// microseconds.
    pub fn coverage_time(&self, backends: f64) -> f64 {
        self.window as f64 * backends / self.arrivals.len().max(1) as f64
    }

    /// Returns the time in which measurements of a backend fade to about a third, in microseconds: the
    /// coverage time, within bounds.
    pub fn fade_time(&self, backends: f64) -> f64 {
        self.coverage_time(backends).clamp(MIN_FADE_TIME_US, MAX_FADE_TIME_US)
    }

    /// Returns the number of arrival times kept.
    pub(crate) fn len(&self) -> usize {
        self.arrivals.len() + self.admitted_parts.len()
    }
}
