//! Connections to backends: limits, choice and eviction, also with hundreds of backends.

use std::collections::BTreeMap;

use mallowgauge_core::connection_limits::{
    choose, connection_to_evict, largest_connection, ConnectionCapacity, ConnectionChoice, ConnectionLimits,
    ConnectionResources, ConnectionView,
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

// Guards against fewer connections than backends (512 descriptors, 179 backends, 124 connections): calls that
// find no connection fail, and all backends end up ejected.
#[test]
fn more_backends_than_a_quarter_of_the_descriptors_get_a_connection_each() {
    assert!(limits(512, 64, 179).backends >= 179 + 179 / 5);
    assert!(limits(672, 56, 200).backends >= 240);
    // A few backends leave the clients their share.
    assert_eq!(limits(512, 64, 12).backends, 124);
    assert_eq!(limits(1024, 192, 23).backends, 252);
}

/// A connection of the pool that the rules are checked with.
struct Connection {
    backend: u32,
    load: usize,
    used: u64,
}

impl Connection {
    fn view(&self, id: u64) -> ConnectionView {
        ConnectionView {
            id,
            has_capacity: self.load < 4,
            silent: false,
            attempts_in_flight: self.load,
            last_used_at: self.used,
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

    // A model of a pool that follows the rules: calls to random backends, which become idle or stay busy.
    #[test]
    fn a_pool_that_follows_the_rules_never_exceeds_its_limit_and_serves_every_backend(
        most in 1_usize..40, backends in 1_u32..60, steps in prop::collection::vec((0_u32..60, any::<bool>()), 1..400),
    ) {
        let mut connections: BTreeMap<u64, Connection> = BTreeMap::new();
        let mut opened = 0;
        for (now, (backend, done)) in steps.into_iter().enumerate() {
            let (backend, now) = (backend % backends, now as u64);
            let to_backend = connections.iter().filter(|(_, c)| c.backend == backend);
            let views: Vec<ConnectionView> = to_backend.map(|(&id, c)| c.view(id)).collect();
            let capacity = if connections.len() < most { ConnectionCapacity::Available } else { ConnectionCapacity::Exhausted };
            let any_idle = connections.values().any(|c| c.load == 0);
            let id = match choose(&views, most, backends as usize, capacity) {
                ConnectionChoice::Use(id) => Some(id),
                ConnectionChoice::Unavailable => None,
                ConnectionChoice::Open(instead) => {
                    let idle = connections.iter().filter(|(_, c)| c.load == 0);
                    let evicted = connection_to_evict(idle.map(|(&id, c)| (id, c.used)));
                    if capacity == ConnectionCapacity::Exhausted {
                        evicted.into_iter().for_each(|id| _ = connections.remove(&id));
                    }
                    if connections.len() < most {
                        opened += 1;
                        connections.insert(opened, Connection { backend, load: 0, used: now });
                        Some(opened)
                    } else {
                        instead
                    }
                }
            };
            prop_assert!(connections.len() <= most, "more connections than the limit");
            prop_assert!(id.is_some() || !any_idle, "no connection though one could have been evicted");
            prop_assert!(id.is_some() || views.iter().all(|v| !v.has_capacity), "one with capacity was passed over");
            if let Some(connection) = id.and_then(|id| connections.get_mut(&id)) {
                *connection = Connection { backend, load: connection.load + 1, used: now };
            }
            if done {
                connections.values_mut().filter(|c| c.backend == backend).for_each(|c| c.load = 0);
            }
        }
    }

    // However connections fill, what all hold is back within the limit after each step.
    #[test]
    fn buffers_stay_within_their_limit_together(grows in prop::collection::vec((0_u64..30, 1_usize..66), 1..500)) {
        let (mut held, bound, mut cut) = (BTreeMap::<u64, usize>::new(), 500, 0);
        for (id, bytes) in grows {
            *held.entry(id).or_default() += bytes;
            let before = held.len();
            while held.values().sum::<usize>() > bound {
                let id = largest_connection(held.iter().map(|(&id, &bytes)| (id, bytes))).expect("somebody holds it");
                held.remove(&id);
            }
            cut = cut.max(before - held.len());
        }
        prop_assert!(cut <= 4, "{cut} connections were closed where the largest would have done");
    }
}

fn view(id: u64, load: usize, used: u64) -> ConnectionView {
    ConnectionView { id, has_capacity: true, silent: false, attempts_in_flight: load, last_used_at: used }
}

#[test]
fn the_least_loaded_is_chosen_and_of_those_the_one_used_last() {
    let held = [view(1, 2, 9), view(2, 0, 5), view(3, 0, 7)];
    assert_eq!(choose(&held, 100, 10, ConnectionCapacity::Available), ConnectionChoice::Use(3));
}

#[test]
fn busy_ones_are_spread_only_while_there_is_capacity() {
    let held = [view(1, 1, 0)];
    assert_eq!(choose(&held, 100, 10, ConnectionCapacity::Available), ConnectionChoice::Open(Some(1)));
    assert_eq!(choose(&held, 100, 10, ConnectionCapacity::Exhausted), ConnectionChoice::Use(1));
    // With as many backends as connections each has one.
    assert_eq!(choose(&held, 100, 90, ConnectionCapacity::Available), ConnectionChoice::Use(1));
}

#[test]
fn a_silent_one_is_used_only_where_no_other_can_be_opened() {
    let silent = |id| ConnectionView { silent: true, ..view(id, 1, 0) };
    assert_eq!(choose(&[silent(1)], 100, 90, ConnectionCapacity::Exhausted), ConnectionChoice::Open(Some(1)));
    let eight: Vec<ConnectionView> = (1..=8).map(silent).collect();
    assert_eq!(choose(&eight, 100, 90, ConnectionCapacity::Available), ConnectionChoice::Use(1));
}

#[test]
fn what_fits_on_no_connection_is_not_forced() {
    let full: Vec<ConnectionView> =
        (1..=8).map(|id| ConnectionView { has_capacity: false, ..view(id, 32, 0) }).collect();
    assert_eq!(choose(&full, 100, 10, ConnectionCapacity::Available), ConnectionChoice::Unavailable);
    assert_eq!(choose(&full[..7], 100, 10, ConnectionCapacity::Available), ConnectionChoice::Open(None));
}

#[test]
fn the_one_that_was_idle_longest_is_evicted() {
    assert_eq!(connection_to_evict([(4, 30), (2, 10), (9, 10)].into_iter()), Some(2));
    assert_eq!(connection_to_evict(std::iter::empty()), None);
}
