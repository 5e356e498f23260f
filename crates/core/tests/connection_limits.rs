//! Connections to backends: limits, choice and eviction, including with hundreds of backends.

use std::collections::BTreeMap;

use mallowgauge_core::connection_limits::{
    choose_connection, connection_to_evict, largest_connection, ConnectionCapacity, ConnectionChoice,
    ConnectionLimits, ConnectionResources, ConnectionView,
};
use proptest::prelude::*;

const MB: usize = 1024 * 1024;

fn limits(descriptors: usize, megabytes: usize, backends: usize) -> ConnectionLimits {
    ConnectionLimits::of(ConnectionResources {
        descriptors,
        memory: megabytes * MB,
        backends,
        bytes_per_client: 80 * 1024,
    })
}

// Guards against fewer connections than backends (512 descriptors, 179 backends, 124 connections): calls
// without a connection fail, and all backends end up ejected.
#[test]
fn more_backends_than_a_quarter_of_the_descriptors_get_a_connection_each() {
    assert!(limits(512, 64, 179).backends >= 179 + 179 / 5);
    assert!(limits(672, 56, 200).backends >= 240);
    // With few backends, clients keep their share.
    assert_eq!(limits(512, 64, 12).backends, 124);
    assert_eq!(limits(1024, 192, 23).backends, 252);
}

/// A connection of the model pool.
struct Connection {
    backend: u32,
    attempts_in_flight: usize,
    last_used_at: u64,
}

impl Connection {
    fn view(&self, id: u64) -> ConnectionView {
        ConnectionView {
            id,
            has_capacity: self.attempts_in_flight < 4,
            unresponsive: false,
            attempts_in_flight: self.attempts_in_flight,
            last_used_at: self.last_used_at,
        }
    }
}

proptest! {
    #[test]
    fn limits_stay_within_their_resources(
        descriptors in 32_usize..5000, megabytes in 8_usize..2000, backends in 0_usize..5000,
    ) {
        let limits = limits(descriptors, megabytes, backends);
        prop_assert!(limits.backends + limits.clients + 16 <= descriptors);
        prop_assert!(limits.backends >= 1 && limits.clients >= 1);
        prop_assert!(limits.clients * 80 * 1024 + limits.backend_bytes <= megabytes * MB * 7 / 8);
        prop_assert!(limits.clients >= ((descriptors - 16) / 4).min(megabytes * MB / 2 / 80 / 1024));
    }

    // A model pool that applies the rules: calls to random backends, whose connections become idle or stay
    // busy.
    #[test]
    fn a_pool_never_exceeds_its_limit_and_serves_every_backend(
        limit in 1_usize..40, backends in 1_u32..60, steps in prop::collection::vec((0_u32..60, any::<bool>()), 1..400),
    ) {
        let mut connections: BTreeMap<u64, Connection> = BTreeMap::new();
        let mut opened = 0;
        for (now, (backend, done)) in steps.into_iter().enumerate() {
            let (backend, now) = (backend % backends, now as u64);
            let to_backend = connections.iter().filter(|(_, c)| c.backend == backend);
            let views: Vec<ConnectionView> = to_backend.map(|(&id, c)| c.view(id)).collect();
            let capacity = if connections.len() < limit { ConnectionCapacity::Available } else { ConnectionCapacity::Exhausted };
            let any_idle = connections.values().any(|c| c.attempts_in_flight == 0);
            let id = match choose_connection(&views, limit, backends as usize, capacity) {
                ConnectionChoice::Use(id) => Some(id),
                ConnectionChoice::Unavailable => None,
                ConnectionChoice::Open(fallback) => {
                    let idle = connections.iter().filter(|(_, c)| c.attempts_in_flight == 0);
                    let evicted = connection_to_evict(idle.map(|(&id, c)| (id, c.last_used_at)));
                    if capacity == ConnectionCapacity::Exhausted {
                        evicted.into_iter().for_each(|id| _ = connections.remove(&id));
                    }
                    if connections.len() < limit {
                        opened += 1;
                        connections.insert(opened, Connection { backend, attempts_in_flight: 0, last_used_at: now });
                        Some(opened)
                    } else {
                        fallback
                    }
                }
            };
            prop_assert!(connections.len() <= limit, "more connections than the limit");
            prop_assert!(id.is_some() || !any_idle, "no connection though one could have been evicted");
            prop_assert!(id.is_some() || views.iter().all(|v| !v.has_capacity), "one with capacity was passed over");
            if let Some(connection) = id.and_then(|id| connections.get_mut(&id)) {
                *connection = Connection { backend, attempts_in_flight: connection.attempts_in_flight + 1, last_used_at: now };
            }
            if done {
                connections.values_mut().filter(|c| c.backend == backend).for_each(|c| c.attempts_in_flight = 0);
            }
        }
    }

    // However buffers fill, their total is back within the limit after each step.
    #[test]
    fn buffers_together_stay_within_their_limit(growth in prop::collection::vec((0_u64..30, 1_usize..66), 1..500)) {
        let (mut buffered, limit, mut max_closed) = (BTreeMap::<u64, usize>::new(), 500, 0);
        for (id, bytes) in growth {
            *buffered.entry(id).or_default() += bytes;
            let before = buffered.len();
            while buffered.values().sum::<usize>() > limit {
                let id = largest_connection(buffered.iter().map(|(&id, &bytes)| (id, bytes))).expect("a buffer is not empty");
                buffered.remove(&id);
            }
            max_closed = max_closed.max(before - buffered.len());
        }
        prop_assert!(max_closed <= 4, "{max_closed} connections were closed where the largest was enough");
    }
}

fn view(id: u64, attempts_in_flight: usize, last_used_at: u64) -> ConnectionView {
    ConnectionView { id, has_capacity: true, unresponsive: false, attempts_in_flight, last_used_at }
}

#[test]
fn the_least_loaded_connection_used_last_is_chosen() {
    let connections = [view(1, 2, 9), view(2, 0, 5), view(3, 0, 7)];
    assert_eq!(
        choose_connection(&connections, 100, 10, ConnectionCapacity::Available),
        ConnectionChoice::Use(3)
    );
}

#[test]
fn busy_connections_are_spread_only_while_there_is_capacity() {
    let connections = [view(1, 1, 0)];
    assert_eq!(
        choose_connection(&connections, 100, 10, ConnectionCapacity::Available),
        ConnectionChoice::Open(Some(1))
    );
    assert_eq!(
        choose_connection(&connections, 100, 10, ConnectionCapacity::Exhausted),
        ConnectionChoice::Use(1)
    );
    // With as many backends as connections, each backend has one.
    assert_eq!(
        choose_connection(&connections, 100, 90, ConnectionCapacity::Available),
        ConnectionChoice::Use(1)
    );
}

#[test]
fn an_unresponsive_connection_is_used_only_if_no_other_can_be_opened() {
    let unresponsive = |id| ConnectionView { unresponsive: true, ..view(id, 1, 0) };
    assert_eq!(
        choose_connection(&[unresponsive(1)], 100, 90, ConnectionCapacity::Exhausted),
        ConnectionChoice::Open(Some(1))
    );
    let eight: Vec<ConnectionView> = (1..=8).map(unresponsive).collect();
    assert_eq!(choose_connection(&eight, 100, 90, ConnectionCapacity::Available), ConnectionChoice::Use(1));
}

#[test]
fn connections_without_capacity_are_not_used() {
    let full: Vec<ConnectionView> =
        (1..=8).map(|id| ConnectionView { has_capacity: false, ..view(id, 32, 0) }).collect();
    assert_eq!(
        choose_connection(&full, 100, 10, ConnectionCapacity::Available),
        ConnectionChoice::Unavailable
    );
    assert_eq!(
        choose_connection(&full[..7], 100, 10, ConnectionCapacity::Available),
        ConnectionChoice::Open(None)
    );
}

#[test]
fn the_connection_idle_longest_is_evicted() {
    assert_eq!(connection_to_evict([(4, 30), (2, 10), (9, 10)].into_iter()), Some(2));
    assert_eq!(connection_to_evict(std::iter::empty()), None);
}
