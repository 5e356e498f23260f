//! The router's source of randomness. All draws come from one seed, so that the same events give the same
//! actions.

use crate::ids::Micros;

/// A seeded generator. The default draws nothing: no event happens, and every duration is 0.
#[derive(Debug, Default)]
pub struct Random(Option<fastrand::Rng>);

impl Random {
    /// Creates a generator that repeats its draws for the same seed.
    pub fn with_seed(seed: u64) -> Self {
        Self(Some(fastrand::Rng::with_seed(seed)))
    }

    /// Draws whether an event of this probability (0 to 1) happens.
    pub fn happens_with(&mut self, probability: f64) -> bool {
        self.0.as_mut().is_some_and(|rng| rng.f64() < probability)
    }

    /// Draws a duration from 0 to `longest`, inclusive, in microseconds.
    pub fn up_to(&mut self, longest: Micros) -> Micros {
        self.0.as_mut().map_or(0, |rng| rng.u64(0..=longest))
    }
}
