//! Latency estimates: the base latency of each class without queueing, and the recent latency of each
//! backend.

use crate::ids::{ClassId, Micros};
use crate::settings::Class;

/// Latency of a part that is assumed until its class has answers, as a fraction of the class's latency
/// objective.
const INITIAL_OBJECTIVE_FRACTION: f64 = 0.15;
/// Gain of the base latency for an answer above it. It is a tenth of [`BASE_LATENCY_FALL`], so that the base
/// latency settles near the tenth percentile of the answers: these did not queue.
const BASE_LATENCY_RISE: f64 = 0.02;
/// Gain of the base latency for an answer below it.
const BASE_LATENCY_FALL: f64 = 0.2;
/// Weight of a new answer in a backend's recent latency.
const RECENT_LATENCY_GAIN: f64 = 0.3;

/// Returns the latency of a part of a class that is assumed before any has been answered, in microseconds.
pub(crate) fn initial_latency(class: &Class) -> f64 {
    class.latency_objective as f64 * INITIAL_OBJECTIVE_FRACTION
}

/// Approximate latency of a part without queueing, for each class. It is the estimate of the part's work.
#[derive(Debug)]
pub struct BaseLatency(Vec<f64>);

impl BaseLatency {
    /// Starts each class with an estimate from its latency objective.
    pub fn new(classes: &[Class]) -> Self {
        Self(classes.iter().map(initial_latency).collect())
    }

    /// Records the latency of an answered part of a class, in microseconds.
    pub fn record(&mut self, class: ClassId, latency: Micros) {
        let base = &mut self.0[class.0];
        let above = latency as f64 - *base;
        *base += above * if above > 0.0 { BASE_LATENCY_RISE } else { BASE_LATENCY_FALL };
    }

    /// Returns the base latency of a class, in microseconds.
    pub fn of(&self, class: ClassId) -> f64 {
        self.0[class.0]
    }
}

/// Running mean of the latency of one backend's recent answers. It fades while no answer arrives, so that a
/// past slowness does not keep parts away permanently.
#[derive(Clone, Debug, Default)]
pub struct RecentLatency {
    mean_us: f64,
    updated_at: Micros,
}

impl RecentLatency {
    /// Returns the mean faded to `now`, in microseconds. It falls to about a third in `fade_time`
    /// microseconds.
    pub fn faded(&self, now: Micros, fade_time: f64) -> f64 {
        self.mean_us * (-(now.saturating_sub(self.updated_at) as f64) / fade_time).exp()
    }

    /// Records an answer and its latency, in microseconds.
    pub fn record_answer(&mut self, now: Micros, fade_time: f64, latency: Micros) {
        let faded = self.faded(now, fade_time);
        self.mean_us = faded + RECENT_LATENCY_GAIN * (latency as f64 - faded);
        self.updated_at = now;
    }

    /// Records a rejection: a full queue counts as at least as slow as the latency objective.
    pub fn record_rejection(&mut self, now: Micros, fade_time: f64, latency_objective: Micros) {
        self.mean_us = self.faded(now, fade_time).max(latency_objective as f64);
        self.updated_at = now;
    }

    /// Returns whether an answer or a rejection arrived at or after this instant.
    pub fn updated_since(&self, at: Micros) -> bool {
        self.updated_at >= at
    }
}
