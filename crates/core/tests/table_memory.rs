//! Random streams that draw from the budget: never more than there is, nothing lost, and always somebody who
//! can go on.

use std::collections::BTreeMap;

use mallowgauge_core::table_memory::{
    CallId, StreamId, TableLease, TableMemory, TableMemoryLimits, WindowGrant,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const BOUNDS: TableMemoryLimits = TableMemoryLimits { total: 1_000, per_query: 400 };

#[derive(Clone, Debug)]
enum Step {
    Open { call: u8 },
    Want { which: usize, bytes: usize },
    Close { which: usize },
    Keep { which: usize, bytes: usize },
    Take { which: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0..6_u8).prop_map(|call| Step::Open { call }),
        6 => (any::<usize>(), 1..120_usize).prop_map(|(which, bytes)| Step::Want { which, bytes }),
        1 => any::<usize>().prop_map(|which| Step::Close { which }),
        1 => (any::<usize>(), 0..200_usize).prop_map(|(which, bytes)| Step::Keep { which, bytes }),
        1 => any::<usize>().prop_map(|which| Step::Take { which }),
    ]
}

#[derive(Default)]
struct Stream {
    call: u8,
    granted: usize,
    waits: usize,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_more_is_drawn_than_there_is_and_somebody_goes_on(steps in prop::collection::vec(step(), 1..150)) {
        let budget = TableMemory::new(BOUNDS);
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
                    budget.open(StreamId(next), CallId(call.into()));
                    streams.insert(StreamId(next), Stream { call, ..Stream::default() });
                }
                Step::Want { which, bytes } => {
                    let Some(id) = pick(&streams, which) else { continue };
                    let grant = budget.request_window(id, bytes);
                    let stream = streams.get_mut(&id).expect("it is open");
                    match grant {
                        WindowGrant::Granted => {
                            stream.granted += bytes + stream.waits;
                            stream.waits = 0;
                        }
                        WindowGrant::Queued => stream.waits += bytes,
                        WindowGrant::Exceeded => {
                            budget.close(id);
                            streams.remove(&id);
                        }
                    }
                }
                Step::Close { which } => {
                    let Some(id) = pick(&streams, which) else { continue };
                    budget.close(id);
                    streams.remove(&id);
                }
                Step::Keep { which, bytes } => {
                    let Some(id) = pick(&streams, which) else { continue };
                    // A table is as long as what was let come, or came through the first window.
                    let bytes = bytes.max(streams[&id].granted / 2);
                    streams.remove(&id);
                    leases.extend(budget.retain(id, bytes).map(|lease| (lease, bytes)));
                }
                Step::Take { which } => {
                    if !leases.is_empty() {
                        leases.swap_remove(which % leases.len());
                    }
                }
            }
            // The streams that go on are the oldest queries' first.
            for (id, bytes) in budget.take_grants() {
                let stream = streams.get_mut(&id).expect("it is open");
                prop_assert_eq!(bytes, stream.waits);
                stream.granted += bytes;
                stream.waits = 0;
            }
            let drawn: usize = streams.values().map(|s| s.granted).sum::<usize>() + leases.iter().map(|l| l.1).sum::<usize>();
            prop_assert_eq!(budget.usage().0, drawn, "nothing is lost and nothing is counted twice");
            prop_assert!(drawn <= BOUNDS.total);
            for call in 0..6 {
                let of = streams.values().filter(|s| s.call == call).map(|s| s.granted).sum::<usize>();
                prop_assert!(of <= BOUNDS.per_query);
            }
            // Once all who hold something wait, one of them has to give way, and it is not the oldest.
            let waits = streams.values().filter(|s| s.waits > 0);
            let stuck = leases.iter().all(|l| l.1 == 0)
                && streams.values().all(|s| s.granted == 0 || s.waits > 0)
                && waits.clone().count() > 0;
            match budget.query_to_evict() {
                None if stuck => {
                    // Only the oldest holds anything: it alone may be short, and its own bound ends it.
                    let oldest = waits.map(|s| s.call).min();
                    let others = streams.values().any(|s| s.granted > 0 && Some(s.call) != oldest);
                    prop_assert!(!others, "nobody gives way");
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
        streams.keys().for_each(|&id| budget.close(id));
        prop_assert_eq!(budget.usage().0, 0);
    }
}

#[test]
fn the_youngest_gives_way_and_the_oldest_comes_to_its_end() {
    let budget = TableMemory::new(BOUNDS);
    for call in 1..=3_u64 {
        budget.open(StreamId(call), CallId(call.into()));
        assert_eq!(budget.request_window(StreamId(call), 330), WindowGrant::Granted);
    }
    for call in 1..=3_u64 {
        assert_eq!(budget.request_window(StreamId(call), 60), WindowGrant::Queued);
    }
    assert!(budget.take_grants().is_empty());
    assert_eq!(budget.query_to_evict(), Some(CallId(3)));
    budget.close(StreamId(3));
    assert_eq!(budget.take_grants(), [(StreamId(1), 60), (StreamId(2), 60)]);
    assert_eq!(budget.request_window(StreamId(1), 20), WindowGrant::Exceeded);
    let lease = budget.retain(StreamId(2), 390).expect("room");
    budget.close(StreamId(1));
    assert_eq!(budget.usage().0, 390);
    drop(lease);
    assert_eq!(budget.usage().0, 0);
}
