//! Selection of the replica that a part is sent to.

mod common;

use common::*;
use mallowgauge_router::*;

#[test]
fn an_admitted_query_sends_every_part_to_a_replica_and_is_answered_completely() {
    let mut driver = Driver::ready(idempotent_settings());
    let sent = sends(&driver.query(1, 0, &[0, 2, 4]));
    assert_eq!(sent.len(), 3);
    for (part, backend) in &sent {
        let shard = [0, 2, 4][(part.0 % 1_000) as usize];
        assert!(backend.0 == shard || backend.0 == (shard + 1) % 6, "{backend:?} does not hold {shard}");
    }
    driver.now += 100 * MS;
    assert!(final_actions(&driver.succeeded(sent[0].0, 0, 100 * MS)).is_empty());
    assert!(final_actions(&driver.succeeded(sent[1].0, 0, 100 * MS)).is_empty());
    let actions = driver.succeeded(sent[2].0, 0, 100 * MS);
    assert_eq!(final_actions(&actions), [&Action::Respond { query: QueryId(1), complete: true }]);
}

#[test]
fn a_part_is_sent_to_the_replica_with_fewest_own_parts_in_flight() {
    let mut driver = Driver::ready(idempotent_settings());
    let first = sends(&driver.query(1, 0, &[0]))[0].1;
    let second = sends(&driver.query(2, 0, &[0]))[0].1;
    assert_ne!(first, second);
}

/// Guards against needless traffic between zones while there is little load.
#[test]
fn ties_are_broken_by_the_own_zone_if_cross_zone_traffic_costs() {
    for (costs, known) in [(true, true), (false, true), (true, false)] {
        let mut s = idempotent_settings();
        (s.zone, s.cross_zone_costs) = (known.then_some(ZoneId(0)), costs);
        let mut driver = Driver::new(s);
        let zoned =
            |s: u32| Endpoint { zone: Some(ZoneId(s % 2)), ..endpoint(s, EndpointState::Ready, None) };
        driver.handle(vec![Event::EndpointUpdate(EndpointUpdate::Snapshot((0..6).map(zoned).collect()))]);
        let mut near = 0;
        for i in 0..40 {
            let sent = sends(&driver.query(i, 0, &[(i % 6) as u32]));
            near += sent.iter().filter(|(_, backend)| backend.0 % 2 == 0).count();
            driver.advance(50 * MS);
            sent.iter().for_each(|(part, _)| drop(driver.succeeded(*part, 0, 50 * MS)));
        }
        assert_eq!(near == 40, costs && known, "{near}");
        // No longer a tie: the replica with fewer of the router's own parts in flight is preferred in any
        // zone.
        let to: Vec<_> =
            (0..2).flat_map(|i| sends(&driver.query(90 + i, 0, &[0]))).map(|sent| sent.1).collect();
        assert_ne!(to[0], to[1]);
    }
}
