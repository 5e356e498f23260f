//! Handling of endpoint updates, and when the list is watched again.

mod common;

use common::*;
use mallowgauge_router::*;

#[test]
fn draining_and_removed_backends_are_sent_no_parts() {
    let mut driver = Driver::ready(idempotent_settings());
    let removed = [endpoint(0, EndpointState::Draining, None), endpoint(1, EndpointState::Removed, None)];
    driver.handle(vec![Event::EndpointUpdate(EndpointUpdate::Delta(removed.to_vec()))]);
    for i in 0..50 {
        let to = sends(&driver.query(i, 0, &[5, 1, 0]));
        assert!(to.iter().all(|(_, s)| s.0 > 1), "{to:?}");
    }
    // A backend that is missing from a snapshot is removed as well.
    driver.handle(vec![Event::EndpointUpdate(EndpointUpdate::Snapshot(vec![endpoint(
        2,
        EndpointState::Ready,
        None,
    )]))]);
    assert!(sends(&driver.query(99, 0, &[3, 4])).is_empty());
}

#[test]
fn with_polling_a_failed_watch_is_repeated() {
    let mut s = idempotent_settings();
    s.discovery = Discovery::Poll;
    let mut driver = Driver::new(s);
    let first = driver.handle(vec![Event::EndpointUpdate(EndpointUpdate::CachedSnapshot(vec![endpoint(
        0,
        EndpointState::Ready,
        None,
    )]))]);
    assert!(first.contains(&Action::WatchEndpoints));
    assert!(!driver.advance(5 * SECOND).contains(&Action::WatchEndpoints), "a watch is already active");
    driver.handle(vec![Event::EndpointUpdate(EndpointUpdate::Failed)]);
    assert!(driver.advance(2 * SECOND).contains(&Action::WatchEndpoints));
    driver.handle(vec![Event::EndpointUpdate(all_ready())]);
    assert!(!driver.advance(20 * SECOND).contains(&Action::WatchEndpoints));
}

/// Guards against unbounded memory use while backends are continually replaced.
#[test]
fn removed_backends_are_evicted() {
    let mut driver = Driver::ready(idempotent_settings());
    let (part, backend) = sends(&driver.query(1, 0, &[0]))[0];
    let removed = |id: BackendId| Endpoint { backend: id, ..endpoint(0, EndpointState::Removed, None) };
    for fresh in 6..100 {
        let known: Vec<BackendId> = driver.router.backends().map(|s| s.backend).collect();
        let list = known
            .iter()
            .map(|id| removed(*id))
            .chain([endpoint(fresh, EndpointState::Ready, None)])
            .collect();
        driver.handle(vec![Event::EndpointUpdate(EndpointUpdate::Delta(list))]);
        driver.now += 10 * MS;
    }
    let known = |driver: &Driver| driver.router.backends().map(|s| s.backend).collect::<Vec<_>>();
    assert_eq!(known(&driver), [backend, BackendId(99)], "a part is in flight at the first");
    driver.succeeded(part, 0, SECOND);
    driver.advance(3 * SECOND);
    driver.handle(vec![Event::EndpointUpdate(EndpointUpdate::Delta(Vec::new()))]);
    assert_eq!(known(&driver), [BackendId(99)]);
}
