//! Division of a query's time between its phases.
//!
//! By default the budget of scouts follows from recent phase times: scouts may run as long as the waves after
//! them can be expected to end in time, and at most a multiple of the time in which nearly all scouts report.
//! With little time remaining they get less than they usually need; with hardly any, no scouts are sent and
//! the most promising blocks are fetched at once.

use hdrhistogram::Histogram;
use mallowgauge_router::Micros;

/// How time is divided between the phases.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ScoutBudgetRule {
    /// By recent phase times.
    #[default]
    Learned,
    /// Scouts get half of the remaining time.
    Half,
    /// Scouts get a fixed fraction of the remaining time.
    Share(f64),
}

/// Scouts are expected to take this quantile of their recent times; nearly all have reported by then.
const SCOUT_TIME_QUANTILE: f64 = 0.95;
/// A wave is expected to take this quantile of recent wave times.
const WAVE_TIME_QUANTILE: f64 = 0.9;
/// Quantiles are used from this number of observations.
const MIN_OBSERVATIONS: u64 = 20;
/// Fraction of the latency objective that scouts are expected to take before [`MIN_OBSERVATIONS`].
const INITIAL_SCOUT_FRACTION: f64 = 0.15;
/// Fraction of the latency objective that a wave is expected to take before [`MIN_OBSERVATIONS`].
const INITIAL_WAVE_FRACTION: f64 = 0.25;
/// No scouts are sent if less than this fraction of their expected time is available.
const MIN_SCOUT_FRACTION: f64 = 0.5;
/// The scouts' budget is at most this multiple of their expected time, for the few that take longer.
const SCOUT_BUDGET_MULTIPLE: Micros = 2;
/// Time is reserved for at most this number of waves: one has to fit, and later ones run if there is time.
const MAX_RESERVED_WAVES: usize = 2;
/// After this number of observations, existing counts are halved, so that a change of the times shows within
/// the same number of observations.
const OBSERVATIONS_PER_DECAY: u64 = 1000;
/// Longest time that the histogram records, in microseconds.
const MAX_TIME_US: Micros = 600_000_000;
/// Significant decimal digits of recorded times.
const TIME_DIGITS: u8 = 2;

/// A histogram of times in which old observations decay.
#[derive(Debug)]
struct DecayingHistogram(Option<Histogram<u64>>);

impl DecayingHistogram {
    fn new() -> Self {
        Self(Histogram::new_with_bounds(1, MAX_TIME_US, TIME_DIGITS).ok())
    }

    fn record(&mut self, took: Micros) {
        let Some(histogram) = &mut self.0 else { return };
        histogram.saturating_record(took.max(1));
        if histogram.len() >= OBSERVATIONS_PER_DECAY {
            halve_counts(histogram);
        }
    }

    fn quantile(&self, quantile: f64) -> Option<Micros> {
        let histogram = self.0.as_ref().filter(|histogram| histogram.len() >= MIN_OBSERVATIONS)?;
        Some(histogram.value_at_quantile(quantile))
    }
}

fn halve_counts(histogram: &mut Histogram<u64>) {
    let recorded = histogram.iter_recorded();
    let halves: Vec<(u64, u64)> =
        recorded.map(|value| (value.value_iterated_to(), value.count_at_value() / 2)).collect();
    histogram.reset();
    for (value, count) in halves {
        // Each value comes from this histogram, so recording it cannot fail.
        let _ = histogram.record_n(value, count);
    }
}

/// Estimates the phase times of one class's queries.
#[derive(Debug)]
pub struct PhaseTimeEstimator {
    rule: ScoutBudgetRule,
    scouts: DecayingHistogram,
    waves: DecayingHistogram,
}

/// The time budget of a query's scouts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScoutBudget {
    /// Scouts may report until this time.
    Until(Micros),
    /// No scouts are sent: the most promising blocks are fetched at once.
    NoScouts,
}

impl PhaseTimeEstimator {
    /// Creates an estimator without observations.
    #[must_use]
    pub fn new(rule: ScoutBudgetRule) -> Self {
        Self { rule, scouts: DecayingHistogram::new(), waves: DecayingHistogram::new() }
    }

    /// Records how long a query's scouts took, in microseconds.
    pub fn record_scouts(&mut self, took: Micros) {
        self.scouts.record(took);
    }

    /// Records how long a wave took, in microseconds.
    pub fn record_wave(&mut self, took: Micros) {
        self.waves.record(took);
    }

    /// Returns the expected time of a wave in microseconds, for this latency objective of the class.
    #[must_use]
    pub fn wave_time(&self, objective: Micros) -> Micros {
        let initial = (objective as f64 * INITIAL_WAVE_FRACTION) as Micros;
        self.waves.quantile(WAVE_TIME_QUANTILE).unwrap_or(initial)
    }

    /// Returns the expected time of scouts, in microseconds.
    fn scout_time(&self, objective: Micros) -> Micros {
        let initial = (objective as f64 * INITIAL_SCOUT_FRACTION) as Micros;
        self.scouts.quantile(SCOUT_TIME_QUANTILE).unwrap_or(initial)
    }

    /// Returns the budget of a query's scouts. `objective` is its class's latency objective, `remaining` is
    /// the time until the query's objective, and `waves` is the number of waves expected after the scouts.
    /// Durations are in microseconds.
    #[must_use]
    pub fn budget(&self, now: Micros, objective: Micros, remaining: Micros, waves: usize) -> ScoutBudget {
        let fraction = |fraction: f64| ScoutBudget::Until(now + (remaining as f64 * fraction) as Micros);
        match self.rule {
            ScoutBudgetRule::Half => fraction(0.5),
            ScoutBudgetRule::Share(fixed) => fraction(fixed),
            ScoutBudgetRule::Learned => self.learned_budget(now, objective, remaining, waves),
        }
    }

    fn learned_budget(&self, now: Micros, objective: Micros, remaining: Micros, waves: usize) -> ScoutBudget {
        let scout_time = self.scout_time(objective);
        let reserved_waves = waves.clamp(1, MAX_RESERVED_WAVES) as u64;
        let reserved = self.wave_time(objective).saturating_mul(reserved_waves);
        let available = remaining.saturating_sub(reserved);
        if (available as f64) < scout_time as f64 * MIN_SCOUT_FRACTION {
            return ScoutBudget::NoScouts;
        }
        ScoutBudget::Until(now + available.min(scout_time.saturating_mul(SCOUT_BUDGET_MULTIPLE)))
    }

    /// Returns whether another wave is expected to end within `remaining` microseconds.
    #[must_use]
    pub fn wave_fits(&self, objective: Micros, remaining: Micros) -> bool {
        remaining >= self.wave_time(objective)
    }
}
