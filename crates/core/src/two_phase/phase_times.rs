//! How much of a query's time each phase may take.
//!
//! By default the budget of scouts follows from how long phases took recently: scouts may go on for as long as
//! the waves behind them can still be expected to end in time, and no longer than nearly all scouts have ever
//! taken. With little time left they get less than they usually need; with next to none, no scouts are sent,
//! and the most promising blocks are fetched at once.

use hdrhistogram::Histogram;
use mallowgauge_router::Micros;

/// How the time is divided between the phases.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ScoutBudgetRule {
    /// By how long phases took recently.
    #[default]
    Learned,
    /// Half of what is left is the scouts'.
    Half,
    /// A fixed fraction of what is left is the scouts'.
    Share(f64),
}

/// Nearly all scouts have reported by this quantile of their times.
const SCOUT_TIME_QUANTILE: f64 = 0.95;
/// A wave is expected to take this quantile of the waves' times.
const WAVE_TIME_QUANTILE: f64 = 0.9;
/// Fewer observations than this say nothing.
const MIN_OBSERVATIONS: u64 = 20;
/// Until then scouts are expected to take this fraction of the latency objective.
const INITIAL_SCOUT_FRACTION: f64 = 0.15;
/// Until then a wave is expected to take this fraction of the latency objective.
const INITIAL_WAVE_FRACTION: f64 = 0.25;
/// With less than this fraction of what scouts usually need none are sent.
const MIN_SCOUT_FRACTION: f64 = 0.5;
/// The budget is at most this multiple of what nearly all scouts need, for the few that need more.
const SCOUT_BUDGET_MULTIPLE: Micros = 2;
/// Time is set aside for so many waves at most: one has to fit, those behind it come if there is time.
const MAX_RESERVED_WAVES: usize = 2;
/// After so many observations those that were made count half, so that a change shows within this many.
const OBSERVATIONS_PER_DECAY: u64 = 1000;
/// Longest time that is told apart, in microseconds.
const MAX_TIME_US: Micros = 600_000_000;
/// Decimal digits to which times are told apart.
const TIME_DIGITS: u8 = 2;

/// A distribution of times in which old observations fade.
#[derive(Debug)]
struct FadingHistogram(Option<Histogram<u64>>);

impl FadingHistogram {
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
        // Each value was in the histogram, and so fits into it.
        let _ = histogram.record_n(value, count);
    }
}

/// How long the phases of one class's queries are expected to take.
#[derive(Debug)]
pub struct PhaseTimeEstimator {
    rule: ScoutBudgetRule,
    scouts: FadingHistogram,
    waves: FadingHistogram,
}

/// The time that a query's scouts have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScoutBudget {
    /// Scouts may report until then.
    Until(Micros),
    /// There is no time for scouts: the most promising blocks are fetched at once.
    NoScouts,
}

impl PhaseTimeEstimator {
    /// One without observations.
    #[must_use]
    pub fn new(rule: ScoutBudgetRule) -> Self {
        Self { rule, scouts: FadingHistogram::new(), waves: FadingHistogram::new() }
    }

    /// Scouts took so long, in microseconds.
    pub fn record_scouts(&mut self, took: Micros) {
        self.scouts.record(took);
    }

    /// A wave took so long, in microseconds.
    pub fn record_wave(&mut self, took: Micros) {
        self.waves.record(took);
    }

    /// How long a wave is expected to take, in microseconds, of a class with this latency objective.
    #[must_use]
    pub fn wave_time(&self, objective: Micros) -> Micros {
        let initial = (objective as f64 * INITIAL_WAVE_FRACTION) as Micros;
        self.waves.quantile(WAVE_TIME_QUANTILE).unwrap_or(initial)
    }

    /// How long scouts are expected to take, in microseconds.
    fn scout_time(&self, objective: Micros) -> Micros {
        let initial = (objective as f64 * INITIAL_SCOUT_FRACTION) as Micros;
        self.scouts.quantile(SCOUT_TIME_QUANTILE).unwrap_or(initial)
    }

    /// The budget of a query's scouts, where `objective` is its class's, `left` is what is left of it, and
    /// `waves` are expected behind them. Lengths of time are in microseconds.
    #[must_use]
    pub fn budget(&self, now: Micros, objective: Micros, left: Micros, waves: usize) -> ScoutBudget {
        let fraction = |fraction: f64| ScoutBudget::Until(now + (left as f64 * fraction) as Micros);
        match self.rule {
            ScoutBudgetRule::Half => fraction(0.5),
            ScoutBudgetRule::Share(fixed) => fraction(fixed),
            ScoutBudgetRule::Learned => self.learned_budget(now, objective, left, waves),
        }
    }

    fn learned_budget(&self, now: Micros, objective: Micros, left: Micros, waves: usize) -> ScoutBudget {
        let scout_time = self.scout_time(objective);
        let reserved_waves = waves.clamp(1, MAX_RESERVED_WAVES) as u64;
        let reserved = self.wave_time(objective).saturating_mul(reserved_waves);
        let available = left.saturating_sub(reserved);
        if (available as f64) < scout_time as f64 * MIN_SCOUT_FRACTION {
            return ScoutBudget::NoScouts;
        }
        ScoutBudget::Until(now + available.min(scout_time.saturating_mul(SCOUT_BUDGET_MULTIPLE)))
    }

    /// Whether another wave can be expected to end within `left`, in microseconds.
    #[must_use]
    pub fn wave_fits(&self, objective: Micros, left: Micros) -> bool {
        left >= self.wave_time(objective)
    }
}
