//! Random reservations from a budget, checked against a model.

use mallowgauge_core::memory_budget::{MemoryBudget, MemoryExhausted, Reservation};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LIMIT: usize = 100;

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn reservations_never_exceed_the_limit(steps in prop::collection::vec((0..6_usize, prop::option::of(0..60_usize)), 1..60)) {
        let memory = MemoryBudget::new(LIMIT);
        let mut reservations: Vec<Reservation> = (0..6).map(|_| memory.reservation()).collect();
        let mut model = [0; 6];
        for (stream, bytes) in steps {
            let others = model.iter().sum::<usize>() - model[stream];
            prop_assert_eq!(reservations[stream].available(), LIMIT - others);
            match bytes {
                // The stream ends, and another begins.
                None => {
                    reservations[stream] = memory.reservation();
                    model[stream] = 0;
                }
                Some(bytes) if others + bytes > LIMIT => {
                    prop_assert_eq!(reservations[stream].resize(bytes), Err(MemoryExhausted));
                }
                Some(bytes) => {
                    prop_assert_eq!(reservations[stream].resize(bytes), Ok(()));
                    model[stream] = bytes;
                }
            }
            prop_assert_eq!(memory.reserved(), model.iter().sum::<usize>());
        }
        drop(reservations);
        prop_assert_eq!(memory.reserved(), 0);
    }
}
