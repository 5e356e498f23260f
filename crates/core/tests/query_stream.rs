//! Random streams that carry many queries, checked against a model.

use std::collections::BTreeMap;

use mallowgauge_core::query_stream::{
    QueryStream, QueryStreamLimits, QueryStreamPhase, QueryStreamRejection,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[derive(Clone, Debug)]
enum Step {
    Open(u8),
    Answer(u8, usize),
    Read(usize),
    HalfClose,
    Drain,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..12_u8).prop_map(Step::Open),
        6 => (0..12_u8, 0..80_usize).prop_map(|(tag, bytes)| Step::Answer(tag, bytes)),
        3 => (0..200_usize).prop_map(Step::Read),
        1 => Just(Step::HalfClose),
        1 => Just(Step::Drain),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn every_query_is_answered_once_before_its_stream_ends(steps in prop::collection::vec(step(), 1..120)) {
        let limits = QueryStreamLimits { window: 4, backlog: 100 };
        let mut stream: QueryStream<u8, u64> = QueryStream::new(limits);
        let mut open: BTreeMap<u8, u64> = BTreeMap::new();
        let (mut opened, mut answered, mut unread_bytes) = (0_u64, 0_u64, 0_usize);
        let mut closed = false;
        for step in steps {
            match step {
                Step::Open(tag) => {
                    let may_read = stream.may_read();
                    prop_assert!(!may_read || (open.len() < limits.window && unread_bytes < limits.backlog));
                    if !may_read {
                        continue;
                    }
                    let expected = if closed { Err(QueryStreamRejection::Closed) } else if open.contains_key(&tag) { Err(QueryStreamRejection::TagInUse) } else { Ok(()) };
                    prop_assert_eq!(stream.begin(tag, opened), expected);
                    if expected.is_ok() {
                        open.insert(tag, opened);
                        opened += 1;
                    }
                }
                Step::Answer(tag, bytes) => {
                    let known = open.remove(&tag);
                    prop_assert_eq!(stream.find(&tag), known);
                    prop_assert_eq!(stream.answer(&tag, bytes), known.is_some());
                    if known.is_some() {
                        answered += 1;
                        unread_bytes += bytes;
                    }
                }
                Step::Read(bytes) => {
                    stream.bytes_read(bytes);
                    unread_bytes = unread_bytes.saturating_sub(bytes);
                }
                Step::HalfClose => {
                    stream.half_close();
                    closed = true;
                }
                Step::Drain => {
                    stream.drain();
                    closed = true;
                }
            }
            prop_assert_eq!(stream.counts(), (open.len(), answered));
            prop_assert_eq!(stream.phase() == QueryStreamPhase::Over, closed && open.is_empty());
            prop_assert!(open.len() <= limits.window);
        }
        let aborted = stream.abort();
        prop_assert_eq!(aborted.into_iter().collect::<BTreeMap<_, _>>(), open);
        prop_assert_eq!(stream.phase(), QueryStreamPhase::Over);
    }
}

// Guards a long stream of small responses against standing still: what is left of estimated sizes does not add up.
#[test]
fn stream_is_read_again_once_all_responses_were_read() {
    let limits = QueryStreamLimits { window: 4, backlog: 100 };
    let mut stream: QueryStream<u8, u64> = QueryStream::new(limits);
    for tag in 0..10 {
        assert!(stream.may_read(), "{tag}");
        assert_eq!(stream.begin(tag, 0), Ok(()));
        assert!(stream.answer(&tag, 60));
        stream.bytes_read(20);
        stream.all_bytes_read();
    }
}
