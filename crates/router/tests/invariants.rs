//! A long random drive from a fixed seed that checks the six rules after each action, and determinism.

mod common;

use std::collections::BTreeMap;

use common::*;
use mallowgauge_router::*;

struct ModelPart {
    query: u128,
    shard: u32,
    weight: f64,
    succeeded: bool,
    /// For each attempt: when sent, where, whether out, whether proved never to have run.
    attempts: Vec<(Micros, u32, bool, bool)>,
}

struct ModelQuery {
    class: usize,
    end: Micros,
    step: u32,
    parts: Vec<PartId>,
    first_complete: bool,
}

#[derive(Default)]
struct Model {
    queries: BTreeMap<u128, ModelQuery>,
    parts: BTreeMap<PartId, ModelPart>,
    due: Vec<(Micros, PartId, u32, Outcome)>,
    backends: BTreeMap<u32, (EndpointState, Option<Micros>)>,
    sends_while_warming: BTreeMap<u32, Vec<Micros>>,
    arrivals: Vec<Micros>,
    retries: Vec<Micros>,
    final_actions: u32,
    partial: u32,
    rejected: u32,
    failed: u32,
    log: Vec<String>,
}

fn run_random_events(seed: u64, hedging: bool) -> Model {
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
    s.limits.hedging = hedging;
    s.rules.retry_budget =
        Some(RetryBudgetSettings { min_retries: 5.0, retry_ratio: 0.1, window: 5 * SECOND });
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut driver = Driver::ready(s.clone());
    let mut model = Model::default();
    (0..6).for_each(|id| _ = model.backends.insert(id, (EndpointState::Ready, None)));
    let mut next: u128 = 1;
    for tick in 0..36_000_u64 {
        driver.now += 5 * MS;
        let now = driver.now;
        let mut events = Vec::new();
        // Trouble comes and goes: errors, silence, restarts, drains.
        let mode = (tick / 3_000) % 4;
        let (ready, late): (Vec<_>, Vec<_>) =
            std::mem::take(&mut model.due).into_iter().partition(|x| x.0 <= now);
        model.due = late;
        for (_, part, attempt, outcome) in ready {
            let seen = model.parts.get_mut(&part).expect("an attempt of a known part");
            let slot = &mut seen.attempts[attempt as usize];
            if !std::mem::replace(&mut slot.2, false) {
                continue;
            }
            slot.3 = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed);
            seen.succeeded |= outcome == Outcome::Succeeded;
            events.push(Event::AttemptCompleted { part, attempt, outcome, took: now - slot.0 });
        }
        if tick % 700 == 699 {
            let id = rng.u32(0..6);
            let (state, started) = match rng.u32(0..4) {
                0 => (EndpointState::Draining, None),
                1 => (EndpointState::Removed, None),
                2 => (EndpointState::Ready, None),
                _ => (EndpointState::Ready, Some(now)),
            };
            let old = model.backends.get(&id).and_then(|x| x.1);
            model.backends.insert(id, (state, started.or(old)));
            let endpoint = Endpoint {
                backend: BackendId(id),
                ring_position: id,
                state,
                started_at: started.or(old),
                zone: None,
            };
            events.push(Event::EndpointUpdate(EndpointUpdate::Delta(vec![endpoint])));
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
                let seen =
                    ModelPart { query: id, shard: shards[i], weight, succeeded: false, attempts: vec![] };
                model.parts.insert(*part, seen);
            }
            model.arrivals.extend(std::iter::repeat_n(now, count + 1));
            let end = now + 6 * SECOND;
            model.queries.insert(id, ModelQuery { class, end, step: 1, parts, first_complete: false });
        }
        if rng.f64() < 0.002 {
            let old = model.queries.iter().find(|(_, q)| q.end < now + 6 * SECOND);
            if let Some(id) = old.map(|(id, _)| *id) {
                model.queries.remove(&id);
                events.insert(0, Event::ClientDisconnected(QueryId(id)));
            }
        }
        let mut more = events;
        while !more.is_empty() || tick % 2 == 0 {
            let actions = driver.handle(std::mem::take(&mut more));
            for action in actions {
                model.log.push(format!("{now} {action:?}"));
                check(&mut model, &s, now, &action, &mut rng, mode, &mut more);
            }
            if more.is_empty() {
                break;
            }
        }
        let overdue = model.queries.iter().find(|(_, q)| q.end + 20 * MS < now);
        assert!(overdue.is_none(), "rule 1: query {:?} was lost", overdue.map(|x| x.0));
    }
    model
}

fn check(
    model: &mut Model,
    s: &Settings,
    now: Micros,
    action: &Action,
    rng: &mut fastrand::Rng,
    mode: u64,
    more: &mut Vec<Event>,
) {
    match action {
        Action::Send { part, backend, timeout, begin_within } => {
            let seen = model.parts.get_mut(part).expect("a known part");
            let query = model.queries.get(&seen.query).expect("rule 1: no send after the end of its query");
            let class = &s.classes[query.class];
            let (state, started) = model.backends[&backend.0];
            assert_eq!(state, EndpointState::Ready, "rule 3");
            assert!((backend.0 + 6 - seen.shard % 6) % 6 < 2, "not a replica");
            let in_flight = seen.attempts.iter().filter(|a| a.2).count();
            assert!(in_flight == 0 || (s.limits.hedging && in_flight == 1), "rule 2: attempts at once");
            assert!(seen.attempts.len() < s.limits.max_attempts as usize);
            let risk = seen.attempts.iter().filter(|a| !a.3).map(|a| a.0).min();
            match (class.idempotency, risk) {
                (Idempotency::NonIdempotent, Some(_)) => panic!("rule 2: a non-idempotent part again"),
                (Idempotency::Keyed { dedup_window: window }, Some(first)) => {
                    assert!(now <= first + window, "rule 2: keyed");
                    assert!(now + begin_within <= first + window, "rule 2: keyed, however late it begins");
                }
                _ => {}
            }
            assert!(begin_within <= timeout, "what nobody waits for does not begin");
            if !seen.attempts.is_empty() {
                model.retries.push(now);
                let budget = s.rules.retry_budget.as_ref().expect("a budget");
                let from = now - budget.window;
                let made = model.retries.iter().filter(|&&t| t >= from).count() as f64;
                let arrivals = model.arrivals.iter().filter(|&&t| t > from).count() as f64;
                assert!(
                    made <= budget.min_retries + budget.retry_ratio * arrivals,
                    "rule 6: {made} of {arrivals}"
                );
            }
            if let Some(start) = started.filter(|start| now < start + s.rules.warm_up_time) {
                let sends = model.sends_while_warming.entry(backend.0).or_default();
                sends.push(now);
                let recent = sends.iter().filter(|&&t| t + s.rules.overload_window >= now && t >= start);
                // A part is 100 ms of work here; the backend has one core.
                let work = recent.count() as f64 * 100_000.0;
                let age = (now - start) as f64 / s.rules.warm_up_time as f64;
                let able = s.rules.initial_capacity + (1.0 - s.rules.initial_capacity) * age;
                let room = s.rules.overload_multiple * able * s.rules.overload_window as f64;
                assert!(work <= room / f64::from(s.routers), "rule 4: {work} of {room}");
            }
            let number = seen.attempts.len() as u32;
            seen.attempts.push((now, backend.0, true, false));
            let failing = backend.0 == 2;
            let (after, outcome) = match mode {
                1 if failing => (3 * MS, Outcome::BackendError),
                2 if failing => (*timeout, Outcome::TimedOut),
                3 if rng.f64() < 0.2 => (2 * MS, Outcome::Rejected),
                3 => (rng.u64(300..4_000) * MS, Outcome::Succeeded),
                _ => (rng.u64(100..200) * MS, Outcome::Succeeded),
            };
            let end = if after >= *timeout { (*timeout, Outcome::TimedOut) } else { (after, outcome) };
            model.due.push((now + end.0, *part, number, end.1));
        }
        Action::Cancel { part, attempt } => {
            let seen = &model.parts[part];
            assert!((*attempt as usize) < seen.attempts.len(), "cancels an attempt never made");
            model.due.push((now + 5 * MS, *part, *attempt, Outcome::Cancelled));
        }
        Action::Respond { query, complete } => {
            let q = model.queries.get_mut(&query.0).expect("rule 1: one final answer");
            let class = &s.classes[q.class];
            let succeeded = q.parts.iter().map(|p| &model.parts[p]).filter(|p| p.succeeded);
            let weight: f64 = succeeded.map(|p| p.weight).sum();
            assert!(weight >= class.minimum_completeness - 1e-4, "rule 5: {weight} is under the minimum");
            let need = if q.step == 2 { 1.0 } else { class.required_completeness };
            assert!(!complete || weight >= need - 1e-4, "rule 5: {weight} is not complete");
            assert!(!complete || q.step == 1 || q.first_complete, "rule 5: the first step was not complete");
            if q.step == 1 && class.second_step_parts > 0 {
                (q.step, q.first_complete) = (2, *complete);
                let shard = model.parts[&q.parts[0]].shard;
                q.parts = (0..class.second_step_parts).map(|i| part_id(query.0, 500 + i as usize)).collect();
                for part in q.parts.clone() {
                    let (weight, id) = (1.0 / f64::from(class.second_step_parts), query.0);
                    let seen = ModelPart { query: id, shard, weight, succeeded: false, attempts: vec![] };
                    model.parts.insert(part, seen);
                    model.arrivals.push(now);
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
                model.queries.remove(&query.0);
                model.final_actions += 1;
                model.partial += u32::from(!complete);
            }
        }
        Action::Reject { query, .. } => {
            let q = model.queries.remove(&query.0).expect("rule 1: one final answer");
            if s.classes[q.class].idempotency == Idempotency::NonIdempotent {
                let ran = q.parts.iter().any(|p| model.parts[p].attempts.iter().any(|a| !a.3));
                assert!(!ran, "rule 2: a rejection promises that nothing ran");
            }
            model.rejected += 1;
        }
        Action::Fail { query } => {
            model.queries.remove(&query.0).expect("rule 1: one final answer");
            model.failed += 1;
        }
        _ => {}
    }
}

#[test]
fn random_events_keep_the_six_rules() {
    for (seed, hedging) in [(11, true), (12, true), (13, false), (14, false)] {
        let model = run_random_events(seed, hedging);
        // The drive must have met what it is meant to check.
        assert!(
            model.final_actions > 500
                && model.partial > 0
                && model.rejected > 0
                && model.failed > 0
                && model.retries.len() > 20
        );
        assert!(!model.sends_while_warming.is_empty());
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let (one, two) = (run_random_events(21, true), run_random_events(21, true));
    assert!(one.log.len() > 5_000);
    assert_eq!(one.log, two.log);
    assert_ne!(one.log, run_random_events(22, true).log);
}
