//! When an attempt is overdue: it waits long beside the last answers of any backend. Where all are slow
//! alike, none is overdue: neither ejection nor hedging helps against a slowness that all share.

use std::collections::VecDeque;

use crate::ids::Micros;
use crate::latency::initial_latency;
use crate::settings::Class;

/// An overdue attempt waits for longer than this multiple of the median of the last answers ...
const OVERDUE_MEDIAN_MULTIPLE: f64 = 3.0;
/// ... of which so many are kept: a few queries' worth, so that the median follows a common slowness.
const LATENCY_SAMPLES: usize = 33;
/// So many parts that were sent no earlier must have been answered before an attempt is overdue.
const MIN_LATER_ANSWERS: usize = 3;

/// One answered attempt.
#[derive(Debug)]
struct Answer {
    sent_at: Micros,
    took: Micros,
}

/// The attempts that were answered last, of all backends and classes.
#[derive(Debug)]
pub struct RecentAnswers {
    answers: VecDeque<Answer>,
    /// No attempt is overdue that takes less, in microseconds: chance would explain it, and the latency
    /// objective is in no danger.
    least_overdue: f64,
}

impl RecentAnswers {
    /// Starts without answers; the first class's latency objective gives the least time.
    pub fn new(classes: &[Class]) -> Self {
        let least_overdue = classes.first().map_or(0.0, initial_latency);
        Self { answers: VecDeque::new(), least_overdue }
    }

    /// Takes in an attempt that was answered after `took` microseconds.
    pub fn record(&mut self, now: Micros, took: Micros) {
        self.answers.push_back(Answer { sent_at: now.saturating_sub(took), took });
        self.answers.drain(..self.answers.len().saturating_sub(LATENCY_SAMPLES));
    }

    /// How long an attempt may take before it may be overdue, in microseconds.
    pub fn overdue_after(&self) -> Micros {
        let mut latencies: Vec<Micros> = self.answers.iter().map(|answer| answer.took).collect();
        latencies.sort_unstable();
        let median = latencies.get(latencies.len() / 2).map_or(self.least_overdue, |&took| took as f64);
        (OVERDUE_MEDIAN_MULTIPLE * median).max(self.least_overdue) as Micros
    }

    /// Whether an attempt that is in flight since `sent_at` is overdue. Answers to attempts that were sent up
    /// to one `batch_interval` (microseconds) before it are as good as later ones.
    pub fn is_overdue(&self, now: Micros, sent_at: Micros, batch_interval: Micros) -> bool {
        let later = self.answers.iter().filter(|answer| answer.sent_at + batch_interval >= sent_at).count();
        later >= MIN_LATER_ANSWERS && now - sent_at >= self.overdue_after()
    }

    /// How many answers are kept.
    pub(crate) fn len(&self) -> usize {
        self.answers.len()
    }
}
