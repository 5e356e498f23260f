//! Random streams that carry many queries, checked against a model.

use std::collections::BTreeMap;

use mallowgauge_core::query_stream::{
    QueryStream, QueryStreamLimits, QueryStreamPhase, QueryStreamRejection,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

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
        let bounds = QueryStreamLimits { window: 4, backlog: 100 };
        let mut batch: QueryStream<u8, u64> = QueryStream::new(bounds);
        let mut open: BTreeMap<u8, u64> = BTreeMap::new();
        let (mut begun, mut answered, mut waiting) = (0_u64, 0_u64, 0_usize);
        let mut closed = false;
        for step in steps {
            match step {
                Step::Begin(tag) => {
                    let read = batch.may_read();
                    prop_assert!(!read || (open.len() < bounds.window && waiting < bounds.backlog));
                    if !read {
                        continue;
                    }
                    let expected = if closed { Err(QueryStreamRejection::Closed) } else if open.contains_key(&tag) { Err(QueryStreamRejection::TagInUse) } else { Ok(()) };
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
                    batch.bytes_read(bytes);
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
            prop_assert_eq!(batch.phase() == QueryStreamPhase::Over, closed && open.is_empty());
            prop_assert!(open.len() <= bounds.window);
        }
        let left = batch.abort();
        prop_assert_eq!(left.into_iter().collect::<BTreeMap<_, _>>(), open);
        prop_assert_eq!(batch.phase(), QueryStreamPhase::Over);
    }
}
