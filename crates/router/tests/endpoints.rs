//! What the endpoint list says, and how it is kept up to date.

mod common;

use common::*;
use mallowgauge_router::*;

#[test]
fn drained_and_gone_servers_get_nothing() {
    let mut d = Driver::ready(safe());
    let gone = [entry(0, EndpointState::Draining, None), entry(1, EndpointState::Removed, None)];
    d.give(vec![Event::EndpointUpdate(EndpointUpdate::Delta(gone.to_vec()))]);
    for i in 0..50 {
        let to = sends(&d.query(i, 0, &[5, 1, 0]));
        assert!(to.iter().all(|(_, s)| s.0 > 1), "{to:?}");
    }
    // A server that a whole list leaves out is gone as well.
    d.give(vec![Event::EndpointUpdate(EndpointUpdate::Snapshot(vec![entry(2, EndpointState::Ready, None)]))]);
    assert!(sends(&d.query(99, 0, &[3, 4])).is_empty());
}

#[test]
fn where_the_list_must_be_asked_for_a_failure_is_retried() {
    let mut s = safe();
    s.discovery = Discovery::Poll;
    let mut d = Driver::new(s);
    let first = d.give(vec![Event::EndpointUpdate(EndpointUpdate::CachedSnapshot(vec![entry(
        0,
        EndpointState::Ready,
        None,
    )]))]);
    assert!(first.contains(&Action::WatchEndpoints));
    assert!(!d.pass(5 * SECOND).contains(&Action::WatchEndpoints), "one ask is out already");
    d.give(vec![Event::EndpointUpdate(EndpointUpdate::Failed)]);
    assert!(d.pass(2 * SECOND).contains(&Action::WatchEndpoints));
    d.give(vec![Event::EndpointUpdate(everyone())]);
    assert!(!d.pass(20 * SECOND).contains(&Action::WatchEndpoints));
}

// Guards the memory of a long day on which servers are replaced all the time: what is gone is forgotten,
// once nothing is out there.
#[test]
fn servers_that_are_gone_are_forgotten() {
    let mut d = Driver::ready(safe());
    let (part, server) = sends(&d.query(1, 0, &[0]))[0];
    let gone = |id: BackendId| Endpoint { backend: id, ..entry(0, EndpointState::Removed, None) };
    for fresh in 6..100 {
        let known: Vec<BackendId> = d.router.servers().map(|s| s.backend).collect();
        let list =
            known.iter().map(|id| gone(*id)).chain([entry(fresh, EndpointState::Ready, None)]).collect();
        d.give(vec![Event::EndpointUpdate(EndpointUpdate::Delta(list))]);
        d.now += 10 * MS;
    }
    let known = |d: &Driver| d.router.servers().map(|s| s.backend).collect::<Vec<_>>();
    assert_eq!(known(&d), [server, BackendId(99)], "a part is out on the first");
    d.served(part, 0, SECOND);
    d.pass(3 * SECOND);
    d.give(vec![Event::EndpointUpdate(EndpointUpdate::Delta(Vec::new()))]);
    assert_eq!(known(&d), [BackendId(99)]);
}
