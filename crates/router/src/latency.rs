//! What attempts take: of each class where nothing queues, and of each backend of late.

use crate::ids::{ClassId, Micros};
use crate::settings::Class;

/// Until a class has answers, a part is taken to need this fraction of the class's latency objective.
const INITIAL_OBJECTIVE_FRACTION: f64 = 0.15;
/// How far the base latency moves towards an answer above or below it. The two gains are unlike so that it
/// settles near the tenth lowest of a hundred answers: that one did not queue.
const BASE_LATENCY_RISE: f64 = 0.02;
const BASE_LATENCY_FALL: f64 = 0.2;
/// Weight of one more answer in a backend's recent latency.
const RECENT_LATENCY_GAIN: f64 = 0.3;

/// What a part of this class is taken to need before any has been answered, in microseconds.
pub(crate) fn initial_latency(class: &Class) -> f64 {
    class.latency_objective as f64 * INITIAL_OBJECTIVE_FRACTION
}

/// Of each class, about what a part takes where it does not queue. It stands for the part's work.
#[derive(Debug)]
pub struct BaseLatency(Vec<f64>);

impl BaseLatency {
    /// Starts each class with a guess from its latency objective.
    pub fn new(classes: &[Class]) -> Self {
        Self(classes.iter().map(initial_latency).collect())
    }

    /// Takes in what an answered part of a class took, in microseconds.
    pub fn record(&mut self, class: ClassId, took: Micros) {
        let base = &mut self.0[class.0];
        let above = took as f64 - *base;
        *base += above * if above > 0.0 { BASE_LATENCY_RISE } else { BASE_LATENCY_FALL };
    }

    /// The base latency of a class, in microseconds.
    pub fn of(&self, class: ClassId) -> f64 {
        self.0[class.0]
    }
}

/// The running mean of what one backend's answers took of late. It fades while nothing is heard, so that
/// a slowness of the past does not keep parts away for good.
#[derive(Clone, Debug, Default)]
pub struct RecentLatency {
    mean_us: f64,
    heard_at: Micros,
}

impl RecentLatency {
    /// The mean as it has faded by now, in microseconds. It falls to a third in `fade_time` microseconds.
    pub fn faded(&self, now: Micros, fade_time: f64) -> f64 {
        self.mean_us * (-(now.saturating_sub(self.heard_at) as f64) / fade_time).exp()
    }

    /// Takes in an answer that took so many microseconds.
    pub fn record_answer(&mut self, now: Micros, fade_time: f64, took: Micros) {
        let faded = self.faded(now, fade_time);
        self.mean_us = faded + RECENT_LATENCY_GAIN * (took as f64 - faded);
        self.heard_at = now;
    }

    /// Takes in a rejection: a full queue is as slow as the latency objective or worse.
    pub fn record_rejection(&mut self, now: Micros, fade_time: f64, latency_objective: Micros) {
        self.mean_us = self.faded(now, fade_time).max(latency_objective as f64);
        self.heard_at = now;
    }

    /// Whether an answer or a rejection has come at this instant or after it.
    pub fn heard_since(&self, at: Micros) -> bool {
        self.heard_at >= at
    }
}
