//! Connections to hosts: shares, choice, and what gives way, at the size of a large fleet.

use std::collections::BTreeMap;

use mallowgauge_core::connection_limits::{
    choose, connection_to_evict, largest_connection, Choice, ConnectionCapacity, ConnectionLimits,
    ConnectionResources, ConnectionView,
};
use proptest::prelude::*;

const MB: usize = 1024 * 1024;

fn shares(sockets: usize, megabytes: usize, hosts: usize) -> ConnectionLimits {
    ConnectionLimits::of(ConnectionResources {
        descriptors: sockets,
        memory: megabytes * MB,
        backends: hosts,
        bytes_per_client: 80 * 1024,
    })
}

// Guards against the failure of the first day at full size: 512 descriptors, 179 hosts and 124 connections.
// What found no connection counted against the hosts, and all of them ended as suspects.
#[test]
fn a_fleet_larger_than_a_quarter_of_the_descriptors_gets_a_connection_a_host() {
    assert!(shares(512, 64, 179).backends >= 179 + 179 / 5);
    assert!(shares(672, 56, 200).backends >= 240);
    // A small fleet leaves the clients what they had.
    assert_eq!(shares(512, 64, 12).backends, 124);
    assert_eq!(shares(1024, 192, 23).backends, 252);
}

proptest! {
    #[test]
    fn shares_stay_inside_their_means(
        sockets in 32_usize..5000, megabytes in 8_usize..2000, hosts in 0_usize..5000,
    ) {
        let shares = shares(sockets, megabytes, hosts);
        prop_assert!(shares.backends + shares.clients + 16 <= sockets);
        prop_assert!(shares.backends >= 1 && shares.clients >= 1);
        prop_assert!(shares.clients * 80 * 1024 + shares.backend_bytes <= megabytes * MB * 7 / 8);
        prop_assert!(shares.clients >= ((sockets - 16) / 4).min(megabytes * MB / 2 / 80 / 1024));
    }

    // A model of a pool beside the rules: calls to random hosts, which rest or stay busy.
    #[test]
    fn a_pool_that_follows_the_rules_never_passes_its_share_and_serves_every_host(
        most in 1_usize..40, hosts in 1_u32..60, steps in prop::collection::vec((0_u32..60, any::<bool>()), 1..400),
    ) {
        let mut links: BTreeMap<u64, (u32, usize, u64)> = BTreeMap::new();
        let mut opened = 0;
        for (now, (host, done)) in steps.into_iter().enumerate() {
            let (host, now) = (host % hosts, now as u64);
            let views: Vec<ConnectionView> = links.iter().filter(|(_, l)| l.0 == host)
                .map(|(&id, l)| ConnectionView { id, fits: l.1 < 4, silent: false, load: l.1, used: l.2 }).collect();
            let room = if links.len() < most { ConnectionCapacity::Available } else { ConnectionCapacity::Exhausted };
            let rests = links.values().any(|l| l.1 == 0);
            let id = match choose(&views, most, hosts as usize, room) {
                Choice::Use(id) => Some(id),
                Choice::Unavailable => None,
                Choice::Open(instead) => {
                    let other = connection_to_evict(links.iter().filter(|(_, l)| l.1 == 0).map(|(&id, l)| (id, l.2)));
                    if room == ConnectionCapacity::Exhausted {
                        other.into_iter().for_each(|id| _ = links.remove(&id));
                    }
                    if links.len() < most {
                        opened += 1;
                        links.insert(opened, (host, 0, now));
                        Some(opened)
                    } else {
                        instead
                    }
                }
            };
            prop_assert!(links.len() <= most, "more connections than there is room for");
            prop_assert!(id.is_some() || !rests, "no connection though one could have given way");
            prop_assert!(id.is_some() || views.iter().all(|v| !v.fits), "one with room was passed over");
            if let Some(link) = id.and_then(|id| links.get_mut(&id)) {
                *link = (host, link.1 + 1, now);
            }
            if done {
                links.values_mut().filter(|l| l.0 == host).for_each(|l| l.1 = 0);
            }
        }
    }

    // However connections fill, what all hold is back within the bound after each step.
    #[test]
    fn buffers_stay_within_their_bound_together(grows in prop::collection::vec((0_u64..30, 1_usize..66), 1..500)) {
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
        prop_assert!(cut <= 4, "{cut} connections gave way where the largest would have done");
    }
}

fn view(id: u64, load: usize, used: u64) -> ConnectionView {
    ConnectionView { id, fits: true, silent: false, load, used }
}

#[test]
fn the_emptiest_goes_first_and_of_those_the_one_used_last() {
    let held = [view(1, 2, 9), view(2, 0, 5), view(3, 0, 7)];
    assert_eq!(choose(&held, 100, 10, ConnectionCapacity::Available), Choice::Use(3));
}

#[test]
fn busy_ones_are_spread_only_while_there_is_room() {
    let held = [view(1, 1, 0)];
    assert_eq!(choose(&held, 100, 10, ConnectionCapacity::Available), Choice::Open(Some(1)));
    assert_eq!(choose(&held, 100, 10, ConnectionCapacity::Exhausted), Choice::Use(1));
    // One a host is all that there is with as many hosts as places.
    assert_eq!(choose(&held, 100, 90, ConnectionCapacity::Available), Choice::Use(1));
}

#[test]
fn a_silent_one_is_used_only_where_no_other_can_be_opened() {
    let silent = |id| ConnectionView { silent: true, ..view(id, 1, 0) };
    assert_eq!(choose(&[silent(1)], 100, 90, ConnectionCapacity::Exhausted), Choice::Open(Some(1)));
    let eight: Vec<ConnectionView> = (1..=8).map(silent).collect();
    assert_eq!(choose(&eight, 100, 90, ConnectionCapacity::Available), Choice::Use(1));
}

#[test]
fn what_fits_nowhere_is_not_forced() {
    let full: Vec<ConnectionView> =
        (1..=8).map(|id| ConnectionView { fits: false, ..view(id, 32, 0) }).collect();
    assert_eq!(choose(&full, 100, 10, ConnectionCapacity::Available), Choice::Unavailable);
    assert_eq!(choose(&full[..7], 100, 10, ConnectionCapacity::Available), Choice::Open(None));
}

#[test]
fn the_one_that_rested_longest_gives_way() {
    assert_eq!(connection_to_evict([(4, 30), (2, 10), (9, 10)].into_iter()), Some(2));
    assert_eq!(connection_to_evict(std::iter::empty()), None);
}
