//! When an attempt is overdue: it has been in flight for long compared with the latency of the last answers
//! of all backends. If all backends are equally slow, no attempt is overdue: neither ejection nor hedging
//! helps against a slowness that all share.

use std::collections::VecDeque;

use crate::ids::Micros;
use crate::latency::initial_latency;
use crate::settings::Class;

/// An attempt may be overdue once it takes longer than this multiple of the median latency of the last
/// answers.
const OVERDUE_MEDIAN_MULTIPLE: f64 = 3.0;
/// Number of answers in the median: those of a few queries, so that it soon rises if all backends are slow.
const LATENCY_SAMPLES: usize = 33;
/// An attempt is overdue only if this many attempts that were sent no earlier have been answered.
const MIN_LATER_ANSWERS: usize = 3;

/// One answered attempt.
#[derive(Debug)]
struct Answer {
    sent_at: Micros,
    latency: Micros,
}

/// The last answered attempts of all backends and classes.
#[derive(Debug)]
pub struct RecentAnswers {
    answers: VecDeque<Answer>,
    /// Lower bound of the time after which an attempt may be overdue, in microseconds: below it the cause may
    /// be chance, and the latency objective is not at risk.
    min_overdue_time: f64,
}

impl RecentAnswers {
    /// Starts without answers. The first class's latency objective determines the lower bound of the overdue
    /// time.
    pub fn new(classes: &[Class]) -> Self {
        let min_overdue_time = classes.first().map_or(0.0, initial_latency);
        Self { answers: VecDeque::new(), min_overdue_time }
    }

    /// Records an answered attempt and its latency, in microseconds.
    pub fn record(&mut self, now: Micros, latency: Micros) {
        self.answers.push_back(Answer { sent_at: now.saturating_sub(latency), latency });
        self.answers.drain(..self.answers.len().saturating_sub(LATENCY_SAMPLES));
    }

    /// Returns the time after which an attempt may be overdue, in microseconds.
    pub fn overdue_after(&self) -> Micros {
        let mut latencies: Vec<Micros> = self.answers.iter().map(|answer| answer.latency).collect();
        latencies.sort_unstable();
        let median =
            latencies.get(latencies.len() / 2).map_or(self.min_overdue_time, |&latency| latency as f64);
        (OVERDUE_MEDIAN_MULTIPLE * median).max(self.min_overdue_time) as Micros
    }

    /// Returns whether an attempt that has been in flight since `sent_at` is overdue. Answers to attempts
    /// that were sent up to one `batch_interval` (microseconds) before it count like later ones.
    pub fn is_overdue(&self, now: Micros, sent_at: Micros, batch_interval: Micros) -> bool {
        let later = self.answers.iter().filter(|answer| answer.sent_at + batch_interval >= sent_at).count();
        later >= MIN_LATER_ANSWERS && now - sent_at >= self.overdue_after()
    }

    /// Returns the number of answers kept.
    pub(crate) fn len(&self) -> usize {
        self.answers.len()
    }
}
