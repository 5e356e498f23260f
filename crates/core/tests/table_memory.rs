//! Random streams that reserve from the budget: never more than there is, nothing lost, and always a stream
//! that can go on.

use std::collections::BTreeMap;

use mallowgauge_core::table_memory::{
    StreamId, TableLease, TableMemory, TableMemoryLimits, TableQueryId, WindowGrant,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LIMITS: TableMemoryLimits = TableMemoryLimits { total: 1_000, per_query: 400 };

#[derive(Clone, Debug)]
enum Step {
    Open { call: u8 },
    Request { which: usize, bytes: usize },
    Close { which: usize },
    Retain { which: usize, bytes: usize },
    Read { which: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0..6_u8).prop_map(|call| Step::Open { call }),
        6 => (any::<usize>(), 1..120_usize).prop_map(|(which, bytes)| Step::Request { which, bytes }),
        1 => any::<usize>().prop_map(|which| Step::Close { which }),
        1 => (any::<usize>(), 0..200_usize).prop_map(|(which, bytes)| Step::Retain { which, bytes }),
        1 => any::<usize>().prop_map(|which| Step::Read { which }),
    ]
}

#[derive(Default)]
struct Stream {
    call: u8,
    granted: usize,
    queued: usize,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_more_is_reserved_than_there_is_and_a_stream_goes_on(steps in prop::collection::vec(step(), 1..150)) {
        let memory = TableMemory::new(LIMITS);
        let mut streams: BTreeMap<StreamId, Stream> = BTreeMap::new();
        let mut leases: Vec<(TableLease, usize)> = Vec::new();
        let mut next = 0;
        for step in steps {
            let pick = |streams: &BTreeMap<StreamId, Stream>, which: usize| {
                streams.keys().nth(which % streams.len().max(1)).copied()
            };
            match step {
                Step::Open { call } => {
                    next += 1;
                    memory.open(StreamId(next), TableQueryId(call.into()));
                    streams.insert(StreamId(next), Stream { call, ..Stream::default() });
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
                    // A table is as long as what was granted, or came through the initial window.
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
            // The streams that go on are the oldest queries' first.
            for (id, bytes) in memory.take_grants() {
                let stream = streams.get_mut(&id).expect("it is open");
                prop_assert_eq!(bytes, stream.queued);
                stream.granted += bytes;
                stream.queued = 0;
            }
            let reserved: usize = streams.values().map(|s| s.granted).sum::<usize>() + leases.iter().map(|l| l.1).sum::<usize>();
            prop_assert_eq!(memory.usage().0, reserved, "nothing is lost and nothing is counted twice");
            prop_assert!(reserved <= LIMITS.total);
            for call in 0..6 {
                let of = streams.values().filter(|s| s.call == call).map(|s| s.granted).sum::<usize>();
                prop_assert!(of <= LIMITS.per_query);
            }
            // Once all that hold something wait, one of them has to be evicted, and it is not the oldest.
            let waits = streams.values().filter(|s| s.queued > 0);
            let stuck = leases.iter().all(|l| l.1 == 0)
                && streams.values().all(|s| s.granted == 0 || s.queued > 0)
                && waits.clone().count() > 0;
            match memory.query_to_evict() {
                None if stuck => {
                    // Only the oldest holds anything: it alone may be short, and its own limit ends it.
                    let oldest = waits.map(|s| s.call).min();
                    let others = streams.values().any(|s| s.granted > 0 && Some(s.call) != oldest);
                    prop_assert!(!others, "none is evicted");
                }
                None => {}
                Some(victim) => {
                    prop_assert!(stuck);
                    let oldest = waits.map(|s| u128::from(s.call)).min();
                    prop_assert!(Some(victim.0) != oldest);
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
    for call in 1..=3_u64 {
        memory.open(StreamId(call), TableQueryId(call.into()));
        assert_eq!(memory.request_window(StreamId(call), 330), WindowGrant::Granted);
    }
    for call in 1..=3_u64 {
        assert_eq!(memory.request_window(StreamId(call), 60), WindowGrant::Queued);
    }
    assert!(memory.take_grants().is_empty());
    assert_eq!(memory.query_to_evict(), Some(TableQueryId(3)));
    memory.close(StreamId(3));
    assert_eq!(memory.take_grants(), [(StreamId(1), 60), (StreamId(2), 60)]);
    assert_eq!(memory.request_window(StreamId(1), 20), WindowGrant::Exceeded);
    let lease = memory.retain(StreamId(2), 390).expect("room");
    memory.close(StreamId(1));
    assert_eq!(memory.usage().0, 390);
    drop(lease);
    assert_eq!(memory.usage().0, 0);
}
