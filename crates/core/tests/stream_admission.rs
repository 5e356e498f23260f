//! Admission at the Flight frontend: limits, handshakes and calls, and clients that do not read their
//! responses.

use mallowgauge_core::stream_admission::{SlowReaderDetector, StreamAdmission, StreamLimits, MAX_READ_STALL};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_limits_add_up_to_the_memory(memory_mb in 8..4096_usize, descriptors in 32..4096_usize, streams in 1..4096_usize) {
        let memory = memory_mb << 20;
        let limits = StreamLimits::of(memory, descriptors, streams);
        prop_assert!(limits.connections <= descriptors);
        // Initial windows have a minimum size; below it there is too little memory for that many streams.
        if memory / 8 / streams >= 4096 && memory >= 16 << 20 {
            let worst = limits.worst_case_bytes(streams);
            prop_assert!(worst <= memory + memory / 16, "{} of {memory}", worst);
        }
        prop_assert!(limits.table_bytes_per_query <= limits.table_bytes);
    }
}

#[test]
fn handshakes_are_checked_at_a_bounded_rate_and_calls_are_counted() {
    let limits = StreamLimits { handshakes_per_second: 3, calls: 2, ..StreamLimits::of(64 << 20, 256, 64) };
    let mut admission = StreamAdmission::new(limits);
    assert!((0..3).all(|at| admission.admit_handshake(at).is_ok()));
    let full = admission.admit_handshake(400_000).expect_err("the fourth within a second");
    assert_eq!(full.retry_after, 600_000);
    assert!(admission.admit_handshake(400_000 + full.retry_after).is_ok());
    assert!(admission.admit_call().is_ok() && admission.admit_call().is_ok());
    assert!(admission.admit_call().expect_err("a third").retry_after > 0);
    admission.call_ended();
    assert!(admission.admit_call().is_ok());
    assert_eq!(admission.counts(), (0, 2, 2));
}

#[test]
fn a_client_that_reads_nothing_or_next_to_nothing_is_disconnected() {
    let mut detector = SlowReaderDetector::new(0);
    assert_eq!(detector.deadline(), MAX_READ_STALL);
    // Reading a byte at a time does not keep a connection open indefinitely.
    let mut now = 0;
    while detector.deadline() > now {
        now += MAX_READ_STALL / 2;
        detector.bytes_read(now, 1);
        assert!(now < 10 * MAX_READ_STALL, "a byte at a time keeps the connection open");
    }
    // A client that reads fast enough is kept, however long its response is.
    let mut detector = SlowReaderDetector::new(0);
    for second in 1..1_000_u64 {
        detector.bytes_read(second * 1_000_000, 64 * 1024);
        assert!(detector.deadline() > second * 1_000_000);
    }
}
