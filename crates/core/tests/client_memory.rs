//! The memory that clients may use together: what may be read, and what a small request never waits for.

use mallowgauge_core::client_memory::{ClientMemory, ClientMemoryUse, InputUse};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LIMIT: usize = 1 << 20;
/// A small request and its response.
const SMALL_BYTES: usize = 4 * 1024;

// Guards against large requests that keep small ones, and the responses to open queries, from their memory.
#[test]
fn requests_leave_memory_for_responses_and_small_requests_need_none() {
    let memory = ClientMemory::new(LIMIT);
    let mut large = memory.connection();
    let readable = memory.readable(&large, InputUse::Request);
    assert!(readable > memory.readable(&large, InputUse::ReadAhead));
    large.resize(readable).expect("what is readable is available");
    assert_eq!((memory.readable(&large, InputUse::Request), memory.may_read_requests()), (0, false));
    let mut response = memory.query();
    assert!(response.resize(LIMIT / 4).is_ok());
    assert!(response.grow(LIMIT).is_err());
    let mut small = memory.connection();
    assert!(memory.readable(&small, InputUse::Request) >= SMALL_BYTES);
    assert!(small.resize(SMALL_BYTES).is_ok());
    drop(large);
    assert!(memory.may_read_requests());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    // Whatever connections and queries do, their sum stays within the limit and their allowances, and what is readable
    // can be kept.
    #[test]
    fn use_stays_within_the_limit(steps in prop::collection::vec((0..8_usize, any::<bool>(), 0..LIMIT), 1..60)) {
        let memory = ClientMemory::new(LIMIT);
        let mut holders: Vec<(ClientMemoryUse, usize)> = (0..8).map(|_| (memory.connection(), 0)).collect();
        let allowance = memory.readable(&holders[0].0, InputUse::Request) - (LIMIT - LIMIT / 4);
        for (holder, reads, bytes) in steps {
            let (account, used) = &mut holders[holder];
            if reads {
                let readable = memory.readable(account, InputUse::Request).min(bytes);
                prop_assert!(account.grow(readable).is_ok());
                *used += readable;
            } else if account.resize(bytes).is_ok() {
                *used = bytes;
            }
            let counted: usize = holders.iter().map(|(_, used)| used.saturating_sub(allowance)).sum();
            prop_assert!(counted <= LIMIT);
        }
    }
}
