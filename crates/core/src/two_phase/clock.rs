//! How much of a query's time each phase may take.
//!
//! The rule weighs what phases have taken of late: scouts may go on for as long as the waves that follow can
//! still be expected to end in time, and no longer than nearly all scouts have ever taken. With little time
//! left the first phase is given less than it usually needs; with next to none, none, and the query falls
//! back to asking the most promising blocks at once.

use hdrhistogram::Histogram;
use mallowgauge_router::Micros;

/// How the time is split.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Rule {
    /// By what phases have taken of late.
    #[default]
    Learned,
    /// Half of what is left for the first phase.
    Half,
    /// A fixed share of what is left for the first phase.
    Share(f64),
}

/// Nearly all scouts are in by this quantile of what they took.
const SCOUTS: f64 = 0.95;
/// A wave is reckoned to take this quantile.
const WAVES: f64 = 0.9;
/// Fewer observations than this say nothing.
const ENOUGH: u64 = 20;
/// Until then scouts are taken to need this share of the aim, and a wave that.
const FIRST_SCOUTS: f64 = 0.15;
const FIRST_WAVE: f64 = 0.25;
/// Scouts that have less than this share of what they usually need are not asked at all.
const LEAST: f64 = 0.5;
/// After so many observations the old ones count half.
const FORGET: u64 = 1000;
/// Longest time that is told apart.
const LONGEST: Micros = 600_000_000;

/// A running distribution that forgets.
#[derive(Debug)]
struct Times(Option<Histogram<u64>>);

impl Times {
    fn new() -> Self {
        Self(Histogram::new_with_bounds(1, LONGEST, 2).ok())
    }

    fn record(&mut self, took: Micros) {
        let Some(seen) = &mut self.0 else { return };
        seen.saturating_record(took.max(1));
        if seen.len() >= FORGET {
            // Each count is halved, so that a change of pace shows within a thousand phases.
            let halves: Vec<(u64, u64)> =
                seen.iter_recorded().map(|v| (v.value_iterated_to(), v.count_at_value() / 2)).collect();
            seen.reset();
            for (value, count) in halves {
                // What was in the histogram fits into it.
                let _ = seen.record_n(value, count);
            }
        }
    }

    fn quantile(&self, at: f64) -> Option<Micros> {
        self.0.as_ref().filter(|seen| seen.len() >= ENOUGH).map(|seen| seen.value_at_quantile(at))
    }
}

/// What phases of one class have taken.
#[derive(Debug)]
pub struct Clock {
    rule: Rule,
    scouts: Times,
    waves: Times,
}

/// The time that a query's phases get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Budget {
    /// Scouts may go on until then.
    Scout(Micros),
    /// There is no time for scouts: the most promising blocks are asked at once.
    Blind,
}

impl Clock {
    /// One that has seen nothing.
    #[must_use]
    pub fn new(rule: Rule) -> Self {
        Self { rule, scouts: Times::new(), waves: Times::new() }
    }

    /// A first phase has ended after so long.
    pub fn scouted(&mut self, took: Micros) {
        self.scouts.record(took);
    }

    /// A wave has ended after so long.
    pub fn waved(&mut self, took: Micros) {
        self.waves.record(took);
    }

    /// What a wave is reckoned to take, of a class with this aim.
    #[must_use]
    pub fn wave(&self, aim: Micros) -> Micros {
        self.waves.quantile(WAVES).unwrap_or((aim as f64 * FIRST_WAVE) as Micros)
    }

    /// The budget of the first phase: `aim` is the class's, `left` what is left of it, `waves` how many are
    /// expected behind it.
    #[must_use]
    pub fn budget(&self, now: Micros, aim: Micros, left: Micros, waves: usize) -> Budget {
        let share = |share: f64| Budget::Scout(now + (left as f64 * share) as Micros);
        match self.rule {
            Rule::Half => share(0.5),
            Rule::Share(fixed) => share(fixed),
            Rule::Learned => {
                let needs = self.scouts.quantile(SCOUTS).unwrap_or((aim as f64 * FIRST_SCOUTS) as Micros);
                // One wave has to fit in any case; those behind it come where there is time.
                let kept = self.wave(aim).saturating_mul(waves.clamp(1, 2) as u64);
                let room = left.saturating_sub(kept);
                if (room as f64) < needs as f64 * LEAST {
                    Budget::Blind
                } else {
                    // Twice what nearly all need: the few that need more are what the budget is for.
                    Budget::Scout(now + room.min(needs.saturating_mul(2)))
                }
            }
        }
    }

    /// Whether another wave can be expected to end in time.
    #[must_use]
    pub fn fits(&self, aim: Micros, left: Micros) -> bool {
        left >= self.wave(aim)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn scouts_get_what_they_need_and_no_more_than_waves_leave() {
        let mut clock = Clock::new(Rule::Learned);
        // Nothing seen: shares of the aim.
        assert_eq!(clock.budget(0, 1_000_000, 1_000_000, 1), Budget::Scout(300_000));
        for _ in 0..100 {
            clock.scouted(20_000);
            clock.waved(100_000);
        }
        let near = |budget: Budget, at: Micros| match budget {
            Budget::Scout(until) => until.abs_diff(at) < at / 50,
            Budget::Blind => false,
        };
        assert!(near(clock.budget(0, 1_000_000, 1_000_000, 1), 40_000));
        assert!(near(clock.budget(0, 1_000_000, 130_000, 1), 30_000));
        assert_eq!(clock.budget(0, 1_000_000, 105_000, 1), Budget::Blind);
        assert!(clock.fits(1_000_000, 110_000) && !clock.fits(1_000_000, 90_000));
        // A change of pace shows.
        for _ in 0..3_000 {
            clock.scouted(200_000);
        }
        assert!(near(clock.budget(0, 1_000_000, 1_000_000, 1), 400_000));
    }

    #[test]
    fn simpler_rules_split_what_is_left() {
        assert_eq!(Clock::new(Rule::Half).budget(10, 1_000, 400, 3), Budget::Scout(210));
        assert_eq!(Clock::new(Rule::Share(0.25)).budget(10, 1_000, 400, 3), Budget::Scout(110));
    }
}
