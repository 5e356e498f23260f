//! What one router sends a backend that warms up.

mod common;

use common::*;
use mallowgauge_router::*;

#[test]
fn a_cold_server_gets_no_more_than_its_share_of_the_budget() {
    let mut d = Driver::new(safe());
    let started = d.now;
    d.give(vec![Event::EndpointUpdate(EndpointUpdate::Snapshot(vec![entry(
        0,
        EndpointState::Ready,
        Some(started),
    )]))]);
    let mut sent = 0;
    for i in 0..100 {
        sent += sends(&d.query(i, 0, &[0])).len();
    }
    // A part is first taken to need 0.3 s; two routers may send 3 x 0.2 x 2 s = 1.2 s between them.
    assert!((1..=2).contains(&sent), "{sent}");
    let mut warm = Driver::ready(safe());
    let all: usize = (0..20).map(|i| sends(&warm.query(i, 0, &[0])).len()).sum();
    assert_eq!(all, 20);
}

/// Guards against cold servers that get nothing because parts queue elsewhere.
#[test]
fn queueing_elsewhere_does_not_shut_a_cold_server_out() {
    let mut d = Driver::ready(safe());
    d.warm_up(0, 60);
    // Latency through queues only: the low latency stays where it was.
    for i in 0..10 {
        for (part, _) in sends(&d.query(i, 0, &[3])) {
            d.served(part, 0, 500 * MS);
        }
    }
    d.pass(3 * SECOND);
    let started = d.now;
    let cold = [entry(0, EndpointState::Ready, Some(started)), entry(1, EndpointState::Removed, None)];
    d.give(vec![Event::EndpointUpdate(EndpointUpdate::Delta(cold.to_vec()))]);
    let sent: usize = (100..104).map(|i| sends(&d.query(i, 0, &[0])).len()).sum();
    assert!(sent >= 3, "{sent}");
}

/// Found after falls: queries whose shard had only cold holders held parts of others and were shed for.
#[test]
fn a_shard_with_no_room_at_its_cold_holders_is_refused_at_once_and_is_no_overload() {
    let mut s = safe();
    s.routers = 600;
    let mut d = Driver::new(s);
    let started = d.now;
    let entries = (0..6).map(|s| entry(s, EndpointState::Ready, (s < 2).then_some(started))).collect();
    d.give(vec![Event::EndpointUpdate(EndpointUpdate::Snapshot(entries))]);
    let mut refused = 0;
    for i in 0..30 {
        let sent = sends(&d.query(1 + i, 0, &[0, 3]));
        assert!(sent.is_empty() || sent.len() == 2, "the part at shard 3 would be for nothing");
        refused += u32::from(sent.is_empty());
        d.pass(50 * MS);
        sent.iter().for_each(|(part, _)| _ = d.served(*part, 0, 50 * MS));
        d.pass(150 * MS);
        assert_eq!(d.router.drop_rate(ClassId(0)), Some(0.0));
    }
    // Its holders are warm by 0.2 to 0.4 in these six seconds.
    assert!((15..30).contains(&refused), "{refused} of 30");
}
