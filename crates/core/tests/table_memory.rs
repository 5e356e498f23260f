//! Random streams that reserve from the budget: it is never exceeded, no reservation is lost, and some stream
//! can always proceed.

use std::collections::BTreeMap;

use mallowgauge_core::table_memory::{
    StreamId, TableLease, TableMemory, TableMemoryLimits, TableQueryId, WindowGrant,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LIMITS: TableMemoryLimits = TableMemoryLimits { total: 1_000, per_query: 400 };

#[derive(Clone, Debug)]
enum Step {
    Open { query: u8 },
    Request { which: usize, bytes: usize },
    Close { which: usize },
    Retain { which: usize, bytes: usize },
    Read { which: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0..6_u8).prop_map(|query| Step::Open { query }),
        6 => (any::<usize>(), 1..120_usize).prop_map(|(which, bytes)| Step::Request { which, bytes }),
        1 => any::<usize>().prop_map(|which| Step::Close { which }),
        1 => (any::<usize>(), 0..200_usize).prop_map(|(which, bytes)| Step::Retain { which, bytes }),
        1 => any::<usize>().prop_map(|which| Step::Read { which }),
    ]
}

#[derive(Default)]
struct Stream {
    query: u8,
    granted: usize,
    queued: usize,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_budget_is_never_exceeded_and_a_stream_can_always_proceed(steps in prop::collection::vec(step(), 1..150)) {
        let memory = TableMemory::new(LIMITS);
        let mut streams: BTreeMap<StreamId, Stream> = BTreeMap::new();
        let mut leases: Vec<(TableLease, usize)> = Vec::new();
        let mut next = 0;
        for step in steps {
            let pick = |streams: &BTreeMap<StreamId, Stream>, which: usize| {
                streams.keys().nth(which % streams.len().max(1)).copied()
            };
            match step {
                Step::Open { query } => {
                    next += 1;
                    memory.open(StreamId(next), TableQueryId(query.into()));
                    streams.insert(StreamId(next), Stream { query, ..Stream::default() });
                }
                Step::Request { which, bytes } => {
                    let Some(id) = pick(&streams, which) else { continue };
                    let grant = memory.request_window(id, bytes);
                    let stream = streams.get_mut(&id).expect("it is open");
                    match grant {
                        WindowGrant::Granted => {
                            stream.granted += bytes + stream.queued;
                            stream.queued = 0;
                        }
                        WindowGrant::Queued => stream.queued += bytes,
                        WindowGrant::Exceeded => {
                            memory.close(id);
                            streams.remove(&id);
                        }
                    }
                }
                Step::Close { which } => {
                    let Some(id) = pick(&streams, which) else { continue };
                    memory.close(id);
                    streams.remove(&id);
                }
                Step::Retain { which, bytes } => {
                    let Some(id) = pick(&streams, which) else { continue };
                    // A table is as long as what was granted, or arrived through the initial window.
                    let bytes = bytes.max(streams[&id].granted / 2);
                    streams.remove(&id);
                    leases.extend(memory.retain(id, bytes).map(|lease| (lease, bytes)));
                }
                Step::Read { which } => {
                    if !leases.is_empty() {
                        leases.swap_remove(which % leases.len());
                    }
                }
            }
            // The oldest queries' streams are granted first.
            for (id, bytes) in memory.take_grants() {
                let stream = streams.get_mut(&id).expect("it is open");
                prop_assert_eq!(bytes, stream.queued);
                stream.granted += bytes;
                stream.queued = 0;
            }
            let reserved: usize = streams.values().map(|s| s.granted).sum::<usize>() + leases.iter().map(|l| l.1).sum::<usize>();
            prop_assert_eq!(memory.usage().0, reserved, "nothing is lost and nothing is counted twice");
            prop_assert!(reserved <= LIMITS.total);
            for query in 0..6 {
                let granted = streams.values().filter(|s| s.query == query).map(|s| s.granted).sum::<usize>();
                prop_assert!(granted <= LIMITS.per_query);
            }
            // When all streams with a reservation wait, one query has to be evicted, and not the oldest one.
            let waiting = streams.values().filter(|s| s.queued > 0);
            let deadlocked = leases.iter().all(|l| l.1 == 0)
                && streams.values().all(|s| s.granted == 0 || s.queued > 0)
                && waiting.clone().count() > 0;
            match memory.query_to_evict() {
                None if deadlocked => {
                    // Only the oldest has a reservation: it may lack capacity, and the limit per query ends
                    // it.
                    let oldest = waiting.map(|s| s.query).min();
                    let others = streams.values().any(|s| s.granted > 0 && Some(s.query) != oldest);
                    prop_assert!(!others, "none is evicted");
                }
                None => {}
                Some(evicted) => {
                    prop_assert!(deadlocked);
                    let oldest = waiting.map(|s| u128::from(s.query)).min();
                    prop_assert!(Some(evicted.0) != oldest);
                }
            }
        }
        drop(leases);
        streams.keys().for_each(|&id| memory.close(id));
        prop_assert_eq!(memory.usage().0, 0);
    }
}

#[test]
fn the_youngest_is_evicted_and_the_oldest_completes() {
    let memory = TableMemory::new(LIMITS);
    for query in 1..=3_u64 {
        memory.open(StreamId(query), TableQueryId(query.into()));
        assert_eq!(memory.request_window(StreamId(query), 330), WindowGrant::Granted);
    }
    for query in 1..=3_u64 {
        assert_eq!(memory.request_window(StreamId(query), 60), WindowGrant::Queued);
    }
    assert!(memory.take_grants().is_empty());
    assert_eq!(memory.query_to_evict(), Some(TableQueryId(3)));
    memory.close(StreamId(3));
    assert_eq!(memory.take_grants(), [(StreamId(1), 60), (StreamId(2), 60)]);
    assert_eq!(memory.request_window(StreamId(1), 20), WindowGrant::Exceeded);
    let lease = memory.retain(StreamId(2), 390).expect("there is capacity");
    memory.close(StreamId(1));
    assert_eq!(memory.usage().0, 390);
    drop(lease);
    assert_eq!(memory.usage().0, 0);
}
