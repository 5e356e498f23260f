//! What may be said of an attempt at each end of its stream, what a long stream may begin, and the table of
//! bounds.

use std::collections::BTreeMap;

use mallowgauge_core::batch::{Batch, Bounds, Phase, Why};
use mallowgauge_core::sessions::{Bad, Compression, Options, SessionId, Sessions, Setting};
use mallowgauge_core::stream_admission::{Admission, Limits, Reader, STALL};
use mallowgauge_core::stream_outcome::{classify, not_executed, StreamEnd, StreamStage};
use mallowgauge_router::Outcome;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const STAGES: [StreamStage; 4] =
    [StreamStage::Queued, StreamStage::Sent, StreamStage::Answering, StreamStage::Complete];
const ENDS: [StreamEnd; 11] = [
    StreamEnd::Ok,
    StreamEnd::RetryLaterStatus,
    StreamEnd::DeadlineStatus,
    StreamEnd::Status,
    StreamEnd::RefusedStream,
    StreamEnd::AboveGoAway,
    StreamEnd::Reset,
    StreamEnd::ConnectionLost,
    StreamEnd::Malformed,
    StreamEnd::Stalled,
    StreamEnd::Cancelled,
];

// The rule that a part with an effect stands on: nothing but these endings proves that it never ran.
#[test]
fn only_three_endings_and_the_hosts_own_word_prove_that_a_part_never_ran() {
    for stage in STAGES {
        for end in ENDS {
            let said = classify(stage, end);
            let proved = match stage {
                StreamStage::Queued => end != StreamEnd::Cancelled,
                StreamStage::Sent => matches!(
                    end,
                    StreamEnd::RetryLaterStatus | StreamEnd::RefusedStream | StreamEnd::AboveGoAway
                ),
                StreamStage::Answering | StreamStage::Complete => false,
            };
            assert_eq!(not_executed(said), proved, "{stage:?} {end:?}");
            // Served is said of a whole table under OK, and of nothing else.
            assert_eq!(
                said == Outcome::Succeeded,
                (stage, end) == (StreamStage::Complete, StreamEnd::Ok),
                "{stage:?} {end:?}"
            );
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Begin(u8),
    Answer(u8, usize),
    Taken(usize),
    HalfClose,
    Drain,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..12_u8).prop_map(Step::Begin),
        6 => (0..12_u8, 0..80_usize).prop_map(|(tag, bytes)| Step::Answer(tag, bytes)),
        3 => (0..200_usize).prop_map(Step::Taken),
        1 => Just(Step::HalfClose),
        1 => Just(Step::Drain),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn every_query_of_a_long_stream_has_one_answer_before_its_end(steps in prop::collection::vec(step(), 1..120)) {
        let bounds = Bounds { window: 4, backlog: 100 };
        let mut batch: Batch<u8, u64> = Batch::new(bounds);
        let mut open: BTreeMap<u8, u64> = BTreeMap::new();
        let (mut begun, mut answered, mut waiting) = (0_u64, 0_u64, 0_usize);
        let mut closed = false;
        for step in steps {
            match step {
                Step::Begin(tag) => {
                    let read = batch.reads();
                    prop_assert!(!read || (open.len() < bounds.window && waiting < bounds.backlog));
                    if !read {
                        continue;
                    }
                    let expected = if closed { Err(Why::Closed) } else if open.contains_key(&tag) { Err(Why::Busy) } else { Ok(()) };
                    prop_assert_eq!(batch.begin(tag, begun), expected);
                    if expected.is_ok() {
                        open.insert(tag, begun);
                        begun += 1;
                    }
                }
                Step::Answer(tag, bytes) => {
                    let known = open.remove(&tag);
                    prop_assert_eq!(batch.find(&tag), known);
                    prop_assert_eq!(batch.answer(&tag, bytes), known.is_some());
                    if known.is_some() {
                        answered += 1;
                        waiting += bytes;
                    }
                }
                Step::Taken(bytes) => {
                    batch.taken(bytes);
                    waiting = waiting.saturating_sub(bytes);
                }
                Step::HalfClose => {
                    batch.half_close();
                    closed = true;
                }
                Step::Drain => {
                    batch.drain();
                    closed = true;
                }
            }
            prop_assert_eq!(batch.counts(), (open.len(), answered));
            prop_assert_eq!(batch.phase() == Phase::Over, closed && open.is_empty());
            prop_assert!(open.len() <= bounds.window);
        }
        let left = batch.abort();
        prop_assert_eq!(left.into_iter().collect::<BTreeMap<_, _>>(), open);
        prop_assert_eq!(batch.phase(), Phase::Over);
    }

    #[test]
    fn the_table_of_bounds_adds_up_to_the_memory(memory_mb in 8..4096_usize, sockets in 32..4096_usize, streams in 1..4096_usize) {
        let memory = memory_mb << 20;
        let limits = Limits::of(memory, sockets, streams);
        prop_assert!(limits.connections <= sockets);
        // First windows have a least size; below it there are too many streams for so little memory.
        if memory / 8 / streams >= 4096 && memory >= 16 << 20 {
            let worst = limits.worst(streams);
            prop_assert!(worst <= memory + memory / 16, "{} of {memory}", worst);
        }
        prop_assert!(limits.tables_a_call <= limits.tables);
    }

    #[test]
    fn sessions_are_bounded_and_the_one_that_rested_longest_goes(ids in prop::collection::vec(0..20_u128, 1..100)) {
        let mut sessions = Sessions::new(5, 1_000);
        let mut order: Vec<u128> = Vec::new();
        for (now, id) in (1..).zip(ids) {
            sessions.open(now, SessionId(id));
            order.retain(|&known| known != id);
            order.push(id);
            let kept = order.len().saturating_sub(5);
            order.drain(..kept);
            prop_assert_eq!(sessions.held(), order.len());
        }
        for id in 0..20 {
            prop_assert_eq!(sessions.touch(200, SessionId(id)).is_some(), order.contains(&id));
        }
    }
}

#[test]
fn options_are_set_one_by_one_and_forgotten_after_a_rest() {
    let mut sessions = Sessions::new(5, 1_000);
    let options = sessions.open(10, SessionId(1));
    assert_eq!(options.set("compression", &Setting::Text("lz4".into())), Ok(()));
    assert_eq!(options.set("compression", &Setting::Text("brotli".into())), Err(Bad::Value));
    assert_eq!(options.set("compression", &Setting::Flag(true)), Err(Bad::Value));
    assert_eq!(options.set("timeout_ms", &Setting::Whole(250)), Ok(()));
    assert_eq!(options.set("timeout_ms", &Setting::Whole(0)), Err(Bad::Value));
    assert_eq!(options.set("colour", &Setting::Unset), Err(Bad::Name));
    let set = Options { compression: Compression::Lz4, timeout: Some(250_000), whole_only: false };
    assert_eq!(sessions.touch(900, SessionId(1)), Some(set));
    assert_eq!(sessions.touch(1_899, SessionId(1)), Some(set));
    assert_eq!(sessions.touch(2_899, SessionId(1)), None);
    assert_eq!(*sessions.open(2_900, SessionId(1)), Options::default());
    assert!(sessions.close(SessionId(1)) && !sessions.close(SessionId(1)));
}

#[test]
fn handshakes_are_checked_at_a_bounded_rate_and_calls_are_counted() {
    let limits = Limits { handshakes: 3, calls: 2, ..Limits::of(64 << 20, 256, 64) };
    let mut admission = Admission::new(limits);
    assert!((0..3).all(|at| admission.handshake(at).is_ok()));
    let full = admission.handshake(400_000).expect_err("the fourth within a second");
    assert_eq!(full.retry_after, 600_000);
    assert!(admission.handshake(400_000 + full.retry_after).is_ok());
    assert!(admission.call().is_ok() && admission.call().is_ok());
    assert!(admission.call().expect_err("a third").retry_after > 0);
    admission.call_over();
    assert!(admission.call().is_ok());
    assert_eq!(admission.counts(), (0, 2, 2));
}

#[test]
fn a_reader_that_takes_nothing_or_next_to_nothing_is_cut_off() {
    let mut reader = Reader::new(0);
    assert_eq!(reader.deadline(), STALL);
    // A byte at a time does not keep a connection for ever.
    let mut now = 0;
    while reader.deadline() > now {
        now += STALL / 2;
        reader.took(now, 1);
        assert!(now < 10 * STALL, "a trickle lasts for ever");
    }
    // One that takes enough is kept however long its answer is.
    let mut reader = Reader::new(0);
    for second in 1..1_000_u64 {
        reader.took(second * 1_000_000, 64 * 1024);
        assert!(reader.deadline() > second * 1_000_000);
    }
}
