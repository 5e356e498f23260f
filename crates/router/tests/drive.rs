//! A long random drive from a fixed seed that checks the six rules after each action, and determinism.

mod common;

use std::collections::BTreeMap;

use common::*;
use mallowgauge_router::*;

struct PartSeen {
    query: u128,
    shard: u32,
    weight: f64,
    served: bool,
    /// For each attempt: when sent, where, whether out, whether proved never to have run.
    attempts: Vec<(Micros, u32, bool, bool)>,
}

struct QuerySeen {
    class: usize,
    end: Micros,
    step: u32,
    parts: Vec<PartId>,
    first_whole: bool,
}

#[derive(Default)]
struct World {
    queries: BTreeMap<u128, QuerySeen>,
    parts: BTreeMap<PartId, PartSeen>,
    due: Vec<(Micros, PartId, u32, Outcome)>,
    servers: BTreeMap<u32, (EndpointState, Option<Micros>)>,
    cold_sends: BTreeMap<u32, Vec<Micros>>,
    taken: Vec<Micros>,
    extra: Vec<Micros>,
    finals: u32,
    partial: u32,
    refused: u32,
    failed: u32,
    log: Vec<String>,
}

fn drive(seed: u64, second_copies: bool) -> World {
    let mut partial = class(Idempotency::Idempotent);
    (partial.minimum_completeness, partial.late_value) = (0.5, 0.0);
    let mut some = class(Idempotency::Idempotent);
    (some.required_completeness, some.minimum_completeness) = (0.6, 0.6);
    let mut steps = class(Idempotency::Idempotent);
    steps.second_step_parts = 2;
    let mut s = settings(vec![
        class(Idempotency::Keyed { dedup_window: SECOND }),
        partial,
        some,
        steps,
        class(Idempotency::NonIdempotent),
    ]);
    s.limits.hedging = second_copies;
    s.rules.retry_budget =
        Some(RetryBudgetSettings { min_retries: 5.0, retry_ratio: 0.1, window: 5 * SECOND });
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut d = Driver::ready(s.clone());
    let mut w = World::default();
    (0..6).for_each(|id| _ = w.servers.insert(id, (EndpointState::Ready, None)));
    let mut next: u128 = 1;
    for tick in 0..36_000_u64 {
        d.now += 5 * MS;
        let now = d.now;
        let mut events = Vec::new();
        // Trouble comes and goes: errors, silence, restarts, drains.
        let mode = (tick / 3_000) % 4;
        let (ready, late): (Vec<_>, Vec<_>) =
            std::mem::take(&mut w.due).into_iter().partition(|x| x.0 <= now);
        w.due = late;
        for (_, part, attempt, outcome) in ready {
            let seen = w.parts.get_mut(&part).expect("an attempt of a known part");
            let slot = &mut seen.attempts[attempt as usize];
            if !std::mem::replace(&mut slot.2, false) {
                continue;
            }
            slot.3 = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed);
            seen.served |= outcome == Outcome::Succeeded;
            events.push(Event::AttemptCompleted { part, attempt, outcome, took: now - slot.0 });
        }
        if tick % 700 == 699 {
            let id = rng.u32(0..6);
            let (phase, started) = match rng.u32(0..4) {
                0 => (EndpointState::Draining, None),
                1 => (EndpointState::Removed, None),
                2 => (EndpointState::Ready, None),
                _ => (EndpointState::Ready, Some(now)),
            };
            let old = w.servers.get(&id).and_then(|x| x.1);
            w.servers.insert(id, (phase, started.or(old)));
            let entry = Endpoint {
                backend: BackendId(id),
                ring_position: id,
                state: phase,
                started_at: started.or(old),
                zone: None,
            };
            events.push(Event::EndpointUpdate(EndpointUpdate::Delta(vec![entry])));
        }
        if rng.f64() < 0.08 {
            let class = rng.usize(0..5);
            let count = rng.usize(1..=5);
            let shards: Vec<u32> = (0..count).map(|_| rng.u32(0..12)).collect();
            let id = next;
            next += 1;
            events.extend(arrival(id, class, &shards));
            let parts: Vec<_> = (0..count).map(|i| part_id(id, i)).collect();
            for (i, part) in parts.iter().enumerate() {
                let weight = 1.0 / count as f64;
                let seen = PartSeen { query: id, shard: shards[i], weight, served: false, attempts: vec![] };
                w.parts.insert(*part, seen);
            }
            w.taken.extend(std::iter::repeat_n(now, count + 1));
            let end = now + 6 * SECOND;
            w.queries.insert(id, QuerySeen { class, end, step: 1, parts, first_whole: false });
        }
        if rng.f64() < 0.002 {
            let old = w.queries.iter().find(|(_, q)| q.end < now + 6 * SECOND);
            if let Some(id) = old.map(|(id, _)| *id) {
                w.queries.remove(&id);
                events.insert(0, Event::ClientDisconnected(QueryId(id)));
            }
        }
        let mut more = events;
        while !more.is_empty() || tick % 2 == 0 {
            let actions = d.give(std::mem::take(&mut more));
            for action in actions {
                w.log.push(format!("{now} {action:?}"));
                check(&mut w, &s, now, &action, &mut rng, mode, &mut more);
            }
            if more.is_empty() {
                break;
            }
        }
        let overdue = w.queries.iter().find(|(_, q)| q.end + 20 * MS < now);
        assert!(overdue.is_none(), "rule 1: query {:?} was lost", overdue.map(|x| x.0));
    }
    w
}

fn check(
    w: &mut World,
    s: &Settings,
    now: Micros,
    action: &Action,
    rng: &mut fastrand::Rng,
    mode: u64,
    more: &mut Vec<Event>,
) {
    match action {
        Action::Send { part, backend: server, timeout, begin_within } => {
            let seen = w.parts.get_mut(part).expect("a known part");
            let query = w.queries.get(&seen.query).expect("rule 1: no send after the end of its query");
            let class = &s.classes[query.class];
            let (phase, started) = w.servers[&server.0];
            assert_eq!(phase, EndpointState::Ready, "rule 3");
            assert!((server.0 + 6 - seen.shard % 6) % 6 < 2, "not a holder");
            let out = seen.attempts.iter().filter(|a| a.2).count();
            assert!(out == 0 || (s.limits.hedging && out == 1), "rule 2: copies at once");
            assert!(seen.attempts.len() < s.limits.max_attempts as usize);
            let risk = seen.attempts.iter().filter(|a| !a.3).map(|a| a.0).min();
            match (class.idempotency, risk) {
                (Idempotency::NonIdempotent, Some(_)) => panic!("rule 2: an unsafe part again"),
                (Idempotency::Keyed { dedup_window: window }, Some(first)) => {
                    assert!(now <= first + window, "rule 2: keyed");
                    assert!(now + begin_within <= first + window, "rule 2: keyed, however late it begins");
                }
                _ => {}
            }
            assert!(begin_within <= timeout, "what nobody waits for does not begin");
            if !seen.attempts.is_empty() {
                w.extra.push(now);
                let budget = s.rules.retry_budget.as_ref().expect("a budget");
                let from = now - budget.window;
                let made = w.extra.iter().filter(|&&t| t >= from).count() as f64;
                let taken = w.taken.iter().filter(|&&t| t > from).count() as f64;
                assert!(made <= budget.min_retries + budget.retry_ratio * taken, "rule 6: {made} of {taken}");
            }
            if let Some(start) = started.filter(|start| now < start + s.rules.warm_up_time) {
                let sends = w.cold_sends.entry(server.0).or_default();
                sends.push(now);
                let recent = sends.iter().filter(|&&t| t + s.rules.overload_window >= now && t >= start);
                // A part is 100 ms of work here; the server has one core.
                let work = recent.count() as f64 * 100_000.0;
                let age = (now - start) as f64 / s.rules.warm_up_time as f64;
                let able = s.rules.initial_capacity + (1.0 - s.rules.initial_capacity) * age;
                let room = s.rules.overload_multiple * able * s.rules.overload_window as f64;
                assert!(work <= room / f64::from(s.routers), "rule 4: {work} of {room}");
            }
            let number = seen.attempts.len() as u32;
            seen.attempts.push((now, server.0, true, false));
            let sick = server.0 == 2;
            let (after, outcome) = match mode {
                1 if sick => (3 * MS, Outcome::BackendError),
                2 if sick => (*timeout, Outcome::TimedOut),
                3 if rng.f64() < 0.2 => (2 * MS, Outcome::Rejected),
                3 => (rng.u64(300..4_000) * MS, Outcome::Succeeded),
                _ => (rng.u64(100..200) * MS, Outcome::Succeeded),
            };
            let end = if after >= *timeout { (*timeout, Outcome::TimedOut) } else { (after, outcome) };
            w.due.push((now + end.0, *part, number, end.1));
        }
        Action::Cancel { part, attempt } => {
            let seen = &w.parts[part];
            assert!((*attempt as usize) < seen.attempts.len(), "cancels an attempt never made");
            w.due.push((now + 5 * MS, *part, *attempt, Outcome::Cancelled));
        }
        Action::Respond { query, complete: whole } => {
            let q = w.queries.get_mut(&query.0).expect("rule 1: one final answer");
            let class = &s.classes[q.class];
            let served = q.parts.iter().map(|p| &w.parts[p]).filter(|p| p.served);
            let weight: f64 = served.map(|p| p.weight).sum();
            assert!(weight >= class.minimum_completeness - 1e-4, "rule 5: {weight} is under the floor");
            let need = if q.step == 2 { 1.0 } else { class.required_completeness };
            assert!(!whole || weight >= need - 1e-4, "rule 5: {weight} is not whole");
            assert!(!whole || q.step == 1 || q.first_whole, "rule 5: the first step was not whole");
            if q.step == 1 && class.second_step_parts > 0 {
                (q.step, q.first_whole) = (2, *whole);
                let shard = w.parts[&q.parts[0]].shard;
                q.parts = (0..class.second_step_parts).map(|i| part_id(query.0, 500 + i as usize)).collect();
                for part in q.parts.clone() {
                    let (weight, id) = (1.0 / f64::from(class.second_step_parts), query.0);
                    let seen = PartSeen { query: id, shard, weight, served: false, attempts: vec![] };
                    w.parts.insert(part, seen);
                    w.taken.push(now);
                    let (query, shard) = (*query, ShardId(shard));
                    more.push(Event::PartArrived(PartArrival {
                        query,
                        part,
                        shard,
                        weight,
                        idempotent: false,
                    }));
                }
            } else {
                w.queries.remove(&query.0);
                w.finals += 1;
                w.partial += u32::from(!whole);
            }
        }
        Action::Reject { query, .. } => {
            let q = w.queries.remove(&query.0).expect("rule 1: one final answer");
            if s.classes[q.class].idempotency == Idempotency::NonIdempotent {
                let ran = q.parts.iter().any(|p| w.parts[p].attempts.iter().any(|a| !a.3));
                assert!(!ran, "rule 2: a refusal promises that nothing ran");
            }
            w.refused += 1;
        }
        Action::Fail { query } => {
            w.queries.remove(&query.0).expect("rule 1: one final answer");
            w.failed += 1;
        }
        _ => {}
    }
}

#[test]
fn a_random_drive_keeps_the_six_rules() {
    for (seed, copies) in [(11, true), (12, true), (13, false), (14, false)] {
        let w = drive(seed, copies);
        // The drive must have met what it is meant to check.
        assert!(w.finals > 500 && w.partial > 0 && w.refused > 0 && w.failed > 0 && w.extra.len() > 20);
        assert!(!w.cold_sends.is_empty());
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let (one, two) = (drive(21, true), drive(21, true));
    assert!(one.log.len() > 5_000);
    assert_eq!(one.log, two.log);
    assert_ne!(one.log, drive(22, true).log);
}
