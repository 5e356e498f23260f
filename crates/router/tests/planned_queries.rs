//! Queries whose parts and answers somebody else decides on.

mod common;

use common::*;
use mallowgauge_router::*;

/// A query whose parts somebody else chooses, with its first parts.
fn planned(d: &mut Driver, query: u128, shards: &[u32], harmless: bool) -> Vec<Action> {
    let mut events = arrival(query, 0, shards);
    for event in &mut events {
        match event {
            Event::QueryArrived(arrival) => arrival.planned = true,
            Event::PartArrived(part) => part.idempotent = harmless,
            _ => {}
        }
    }
    d.give(events)
}

// Guards planned queries: the router sends what comes and repeats what is harmless, but answers nothing by
// itself, and a later part goes out without another chance of refusal.
#[test]
fn a_planned_query_is_answered_by_whoever_planned_it() {
    let mut d = Driver::ready(settings(vec![class(Idempotency::NonIdempotent)]));
    let scouts = sends(&planned(&mut d, 1, &[0, 2], true));
    assert_eq!(scouts.len(), 2);
    d.now += 50 * MS;
    // A scout that failed is asked again, though its class has an effect.
    let again = sends(&d.ended(scouts[0].0, 0, Outcome::BackendError, 50 * MS));
    assert_eq!(again.len(), 1);
    assert!(finals(&d.served(scouts[1].0, 0, 50 * MS)).is_empty());
    assert!(finals(&d.served(scouts[0].0, 1, 50 * MS)).is_empty());
    let late = PartArrival {
        query: QueryId(1),
        part: part_id(1, 7),
        shard: ShardId(4),
        weight: 0.5,
        idempotent: false,
    };
    assert_eq!(sends(&d.give(vec![Event::PartArrived(late)])).len(), 1);
    // What has an effect is not asked again, and its loss is told.
    let lost = d.ended(part_id(1, 7), 0, Outcome::ConnectionLost, 50 * MS);
    assert_eq!(lost, [Action::PartFailed { part: part_id(1, 7) }]);
    let settled = d.give(vec![Event::QueryCompleted { query: QueryId(1), answered: false }]);
    assert!(finals(&settled).is_empty());
    assert!(finals(&d.pass(8 * SECOND)).is_empty(), "nothing more is said of it");
}

// Guards the rate's counters: a planned query counts once, as any other does, however many parts it had.
#[test]
fn a_planned_query_counts_once() {
    let misses = |planned_ones: bool| {
        let mut d = Driver::ready(safe());
        for query in 1..=6 {
            if planned_ones {
                planned(&mut d, query, &[0, 1, 2], true);
                for more in 3..6 {
                    let (query, part) = (QueryId(query), part_id(query, more));
                    let shard = ShardId(more as u32);
                    d.give(vec![Event::PartArrived(PartArrival {
                        query,
                        part,
                        shard,
                        weight: 0.1,
                        idempotent: false,
                    })]);
                }
                d.pass(3 * SECOND);
                d.give(vec![Event::QueryCompleted { query: QueryId(query), answered: true }]);
            } else {
                d.query(query, 0, &[0]);
                d.pass(3 * SECOND);
                d.give(vec![Event::ClientDisconnected(QueryId(query))]);
            }
        }
        d.router.drop_rate(ClassId(0)).expect("a class")
    };
    let (planned, plain) = (misses(true), misses(false));
    assert!(plain > 0.0 && (planned - plain).abs() < 1e-9, "{planned} and {plain}");
}

#[test]
fn a_dropped_part_is_called_off_and_not_sent_again() {
    let mut d = Driver::ready(safe());
    let sent = sends(&planned(&mut d, 1, &[0, 2], true));
    let actions = d.give(vec![Event::PartCancelled(sent[0].0)]);
    assert_eq!(actions, [Action::Cancel { part: sent[0].0, attempt: 0 }]);
    assert!(sends(&d.pass(SECOND)).iter().all(|(part, _)| *part != sent[0].0));
}

// Guards others against planned queries under overload: the rate refuses these whole and before any part, as it
// does others, and one that was let in keeps its later parts.
#[test]
fn overload_refuses_planned_queries_before_their_first_phase() {
    let mut d = Driver::ready(safe());
    let mut number = 1;
    while d.router.drop_rate(ClassId(0)).is_some_and(|rate| rate < 0.4) {
        // Queries that miss their aim, one after the other.
        d.query(number, 0, &[0]);
        d.pass(3 * SECOND);
        d.give(vec![Event::ClientDisconnected(QueryId(number))]);
        number += 1;
        assert!(number < 2_000, "the rate does not rise");
    }
    let mut refused = [0, 0];
    for round in 0..100 {
        let plans = round % 2 == 0;
        let query = 1_000_000 + round;
        let actions = if plans { planned(&mut d, query, &[1, 3], true) } else { d.query(query, 0, &[1, 3]) };
        let turned_away = actions.iter().any(|a| matches!(a, Action::Reject { .. }));
        refused[usize::from(plans)] += u32::from(turned_away);
        assert_eq!(turned_away, sends(&actions).is_empty(), "refused before any part, or all parts sent");
        if plans && !turned_away {
            let (query, part) = (QueryId(query), part_id(query, 5));
            let late = PartArrival { query, part, shard: ShardId(4), weight: 0.5, idempotent: false };
            assert_eq!(
                sends(&d.give(vec![Event::PartArrived(late)])).len(),
                1,
                "a later part is not refused"
            );
        }
        d.give(vec![Event::ClientDisconnected(QueryId(query))]);
    }
    assert!(refused.iter().all(|&count| count > 5), "{refused:?} of 50 each");
}
