//! `make bench-phases`: compares single-phase with two-phase queries on the same stand-in backends with the same
//! arrivals, alternately; and the learned rule for the time of the first phase with two simpler rules. Backends work
//! on two parts at a time, each for the cost of its part; a part that is reset while it waits is not executed.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use mallowgauge_flight::grpc::{frame, status_code, Deframer, FLIGHT_SERVICE_PATH};
use mallowgauge_flight::proto::{FlightDescriptor, FlightInfo};
use mallowgauge_testkit::columns::{queueing_backend, text_reply, PartWork};
use mallowgauge_testkit::{config, stand_ins, Program};
use prost::Message;
use serde_json::{json, Value};

const BACKENDS: usize = 4;
const BLOCKS: u32 = 12;
/// Work of a backend for a scout (a part of the first phase, which asks for a bound) and for a block (a part of the
/// second phase, which returns rows).
const SCOUT_MS: u64 = 2;
const BLOCK_MS: u64 = 30;
/// Length of a segment of one variant, and the segments of each variant.
const SEGMENT: Duration = Duration::from_secs(3);
const SEGMENTS: usize = 3;
/// Latency objective: answers within it count as in time.
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(1500);

/// A pseudo-random number from 0 to 1 that depends on the arguments only.
fn hash_to_unit(seed: u64, salt: u64) -> f64 {
    let mut x = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ salt.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^= x >> 31;
    x = x.wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^= x >> 29;
    (x >> 11) as f64 / (1_u64 << 53) as f64
}

/// The best score that a block has for a predicate. `skew` is the share by which each block's score is lower than
/// that of the block ranked before it.
fn best_score(skew: f64, predicate: u64, block: u32) -> f64 {
    let mut order: Vec<u32> = (0..BLOCKS).collect();
    order.sort_by(|a, b| {
        hash_to_unit(predicate, u64::from(*a)).total_cmp(&hash_to_unit(predicate, u64::from(*b)))
    });
    let rank = order.iter().position(|b| *b == block).unwrap_or(0);
    100.0 * (1.0 - skew).powi(rank as i32) * (0.98 + 0.02 * hash_to_unit(predicate, 100 + u64::from(block)))
}

/// The rows that a block returns, best first.
fn rows(skew: f64, predicate: u64, block: u32) -> String {
    let top = best_score(skew, predicate, block);
    let row = |i: u32| json!({"score": top * 0.99_f64.powi(i as i32), "id": format!("{block}-{i}")});
    Value::from((0..10).map(row).collect::<Vec<_>>()).to_string()
}

/// A load scenario: its name, queries per second, a backend that is slower by a factor, a backend that never answers.
type LoadScenario = (&'static str, f64, Option<(usize, u64)>, Option<usize>);

/// The simulated conditions that all backends share.
#[derive(Default)]
struct Conditions {
    skew: f64,
    /// A backend that is slower, and by which factor.
    slow: Option<(usize, u64)>,
    /// A backend that never answers.
    hangs: Option<usize>,
    /// A backend that has just started, and when: it begins with a sixth of its capacity and reaches all of it after
    /// [`WARM_UP`].
    warming_up: Option<(usize, Instant)>,
    /// A block whose scouts are never answered.
    silent_block: Option<u32>,
    /// Work of all parts received so far.
    work_ms: u64,
}

/// Time until a backend that has just started has its full capacity.
const WARM_UP: Duration = Duration::from_secs(3);

/// A variant of the comparison and its measurements.
struct Variant {
    name: &'static str,
    plan: Option<Value>,
    program: usize,
    answered_in_time: usize,
    count: usize,
    work_ms: u64,
    latencies_ms: Histogram<u64>,
}

/// Starts a program with this rule for the time of the first phase.
fn start(backends: &[SocketAddr], rule: Value) -> (Program, stand_ins::DiscoveryStandIn) {
    let discovery = stand_ins::DiscoveryStandIn::start();
    let mut file = config(backends, discovery.addr);
    let family = &mut file["settings"]["FamilyInfo"];
    family["Places"] = json!(BACKENDS);
    family["Shards"] = json!(BLOCKS);
    family["OverheadUs"] = json!(0);
    file["settings"]["Limits"]["MaxOpen"] = json!(2000);
    let operator = json!({"flight": {"listen": "127.0.0.1:0", "hosts": "all"},
                          "phases": {"rule": rule, "sketches": 0}});
    (Program::start(&file, &operator, 1024), discovery)
}

/// Makes a call and reads it to its end: the first message and the status. `None` if it broke off.
async fn call(
    sender: &mut h2::client::SendRequest<Bytes>,
    method: &str,
    message: Vec<u8>,
) -> Option<(Bytes, u32)> {
    let request = Request::post(format!("http://bench{FLIGHT_SERVICE_PATH}{method}"))
        .header("content-type", "application/grpc")
        .header("grpc-timeout", "4S")
        .body(())
        .ok()?;
    let (response, mut stream) = sender.send_request(request, false).ok()?;
    stream.send_data(message.into(), true).ok()?;
    let response = response.await.ok()?;
    let head = response.headers().clone();
    let mut body = response.into_body();
    let (mut frames, mut first) = (Deframer::new(1 << 24), Bytes::new());
    while let Some(Ok(chunk)) = body.data().await {
        let _ = body.flow_control().release_capacity(chunk.len());
        frames.push(&chunk);
        while let Ok(Some(message)) = frames.next_message() {
            first = if first.is_empty() { message } else { first };
        }
    }
    let trailers = body.trailers().await.ok().flatten().unwrap_or(head);
    Some((first, status_code(&trailers)?))
}

/// Sends one query; returns whether it got an answer with status OK.
async fn send_query(addr: SocketAddr, number: u64, plan: Option<Value>) -> Option<bool> {
    let socket = tokio::net::TcpStream::connect(addr).await.ok()?;
    let (mut sender, connection) = h2::client::handshake(socket).await.ok()?;
    tokio::task::spawn_local(connection);
    let blocks: Vec<u32> = (0..BLOCKS).collect();
    let command = json!({"kind": "search", "ranges": blocks, "predicate": number.to_string(), "plan": plan});
    let descriptor = FlightDescriptor::command(command.to_string().into());
    let (info, _) = call(&mut sender, "GetFlightInfo", frame(&descriptor)).await?;
    let info = FlightInfo::decode(info).ok()?;
    let ticket = frame(info.endpoint.first()?.ticket.as_ref()?);
    Some(call(&mut sender, "DoGet", ticket).await?.1 == 0)
}

/// Runs the variants alternately; each segment has the same arrivals for all of them. `before_segment` runs before
/// each segment of each variant.
fn run_variants(
    conditions: &Arc<Mutex<Conditions>>,
    programs: &[Program],
    variants: &mut [Variant],
    (rate, seed): (f64, u64),
    before_segment: impl Fn(),
) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("build a runtime");
    for segment in 0..SEGMENTS as u64 {
        for variant in variants.iter_mut() {
            before_segment();
            let before = conditions.lock().expect("lock is not poisoned").work_ms;
            let addr = programs[variant.program].flight;
            let outcomes = Rc::new(RefCell::new(Vec::new()));
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, async {
                let started = Instant::now();
                let (mut at, mut number, mut tasks) = (0.0, 0_u64, Vec::new());
                while at < SEGMENT.as_secs_f64() {
                    // Open loop: arrivals do not wait for earlier queries.
                    tokio::time::sleep_until((started + Duration::from_secs_f64(at)).into()).await;
                    let (outcomes, plan, id) =
                        (Rc::clone(&outcomes), variant.plan.clone(), seed + segment * 10_000 + number);
                    let due = started + Duration::from_secs_f64(at);
                    tasks.push(tokio::task::spawn_local(async move {
                        let answered =
                            tokio::time::timeout(Duration::from_secs(5), send_query(addr, id, plan)).await;
                        outcomes.borrow_mut().push((answered.ok().flatten() == Some(true), due.elapsed()));
                    }));
                    number += 1;
                    at += -hash_to_unit(seed + segment, 7_000 + number).max(1e-9).ln() / rate;
                }
                for task in tasks {
                    task.await.expect("the query task");
                }
            });
            variant.work_ms += conditions.lock().expect("lock is not poisoned").work_ms - before;
            for (answered, latency) in outcomes.borrow().iter() {
                variant.count += 1;
                variant.answered_in_time += usize::from(*answered && *latency <= LATENCY_OBJECTIVE);
                variant.latencies_ms.saturating_record(latency.as_millis() as u64);
            }
        }
    }
}

fn variant(name: &'static str, plan: Option<Value>, program: usize) -> Variant {
    let latencies_ms = Histogram::new(3).expect("valid precision");
    Variant { name, plan, program, answered_in_time: 0, count: 0, work_ms: 0, latencies_ms }
}

fn print(load: &str, skew: &str, variants: &[Variant]) {
    for variant in variants {
        println!(
            "| {load} | {skew} | {} | {:.3} | {:.0} | {} | {} | {} |",
            variant.name,
            variant.answered_in_time as f64 / variant.count as f64,
            variant.work_ms as f64 / variant.count as f64,
            variant.latencies_ms.value_at_quantile(0.5),
            variant.latencies_ms.value_at_quantile(0.99),
            variant.count
        );
    }
}

fn main() {
    let conditions = Arc::new(Mutex::new(Conditions::default()));
    let backends: Vec<SocketAddr> = (0..BACKENDS)
        .map(|i| {
            let conditions = Arc::clone(&conditions);
            let work = move |ticket: &Value| {
                let block = ticket["range"].as_u64().expect("a block number") as u32;
                let text = ticket["predicate"].as_str().expect("text");
                let scout = text.strip_prefix("scout:");
                let predicate: u64 = scout.unwrap_or(text).parse().expect("a number");
                let mut conditions = conditions.lock().expect("lock is not poisoned");
                let cost = if scout.is_some() { SCOUT_MS } else { BLOCK_MS };
                let slowdown = conditions
                    .slow
                    .filter(|(backend, _)| *backend == i)
                    .map_or(1.0, |(_, factor)| factor as f64);
                let warm_up_slowdown =
                    conditions.warming_up.filter(|(backend, _)| *backend == i).map_or(1.0, |(_, since)| {
                        let fraction = (since.elapsed().as_secs_f64() / WARM_UP.as_secs_f64()).min(1.0);
                        1.0 / (0.16 + 0.84 * fraction)
                    });
                conditions.work_ms += cost;
                let answer = match scout {
                    Some(_) => json!({"bound": best_score(conditions.skew, predicate, block), "count": 10})
                        .to_string(),
                    None => rows(conditions.skew, predicate, block),
                };
                let hangs = conditions.hangs == Some(i)
                    || (scout.is_some() && conditions.silent_block == Some(block));
                PartWork {
                    cost: Duration::from_secs_f64(cost as f64 / 1000.0 * slowdown * warm_up_slowdown),
                    never_answers: hangs,
                    reply: text_reply(block, "good", &answer),
                }
            };
            queueing_backend(2, Arc::new(work))
        })
        .collect();
    let (learned, discovery) = start(&backends, json!("learned"));
    let (half, _discovery_of_half) = start(&backends, json!("half"));
    let (fixed, _discovery_of_fixed) = start(&backends, json!({"share": 0.2}));
    let programs = [learned, half, fixed];
    let plan = || Some(json!({"top": 10, "wave": 2}));
    println!("{BACKENDS} backends with two parts at a time; {BLOCKS} blocks; a scout costs {SCOUT_MS} ms, a block {BLOCK_MS} ms");
    println!(
        "in time: share answered within {} ms; alternating segments of {} s, {SEGMENTS} for each variant\n",
        LATENCY_OBJECTIVE.as_millis(),
        SEGMENT.as_secs()
    );
    println!("| load | skew | variant | in time | backend ms per query | p50 ms | p99 ms | queries |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let scenarios: [LoadScenario; 4] = [
        ("calm", 8.0, None, None),
        ("slow backend", 8.0, Some((1, 6)), None),
        ("hanging backend", 8.0, None, Some(1)),
        ("overload", 32.0, None, None),
    ];
    let mut seed = 1_000_000;
    if std::env::args().nth(1).as_deref() == Some("rules") {
        return compare_rules(&conditions, &programs, plan, seed);
    }
    for (skew_name, skew) in [("none", 0.0), ("some", 0.2), ("heavy", 0.5)] {
        conditions.lock().expect("lock is not poisoned").skew = skew;
        let mut variants = [variant("single", None, 0), variant("two-phase", plan(), 0)];
        // Before each segment a successor of backend 1 starts, and discovery reports it.
        let start_successor = || {
            let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a date");
            let mut endpoint = stand_ins::endpoint(1, backends[1], "active");
            endpoint["startedAtMs"] = json!(now.as_millis() as u64);
            discovery.publish(&endpoint);
            conditions.lock().expect("lock is not poisoned").warming_up = Some((1, Instant::now()));
        };
        run_variants(&conditions, &programs, &mut variants, (8.0, seed), start_successor);
        print("successor warming up", skew_name, &variants);
        seed += 1_000_000;
    }
    conditions.lock().expect("lock is not poisoned").warming_up = None;
    if std::env::args().nth(1).as_deref() == Some("cold") {
        return;
    }
    for (skew_name, skew) in [("none", 0.0), ("some", 0.2), ("heavy", 0.5)] {
        for (load, rate, slow, hangs) in scenarios {
            {
                let mut conditions = conditions.lock().expect("lock is not poisoned");
                (conditions.skew, conditions.slow, conditions.hangs) = (skew, slow, hangs);
            }
            let mut variants = [variant("single", None, 0), variant("two-phase", plan(), 0)];
            run_variants(&conditions, &programs, &mut variants, (rate, seed), || {});
            print(load, skew_name, &variants);
            seed += 1_000_000;
        }
    }
    compare_rules(&conditions, &programs, plan, seed);
}

/// Compares the learned rule for the time of the first phase with two simpler rules.
fn compare_rules(
    conditions: &Arc<Mutex<Conditions>>,
    programs: &[Program],
    plan: impl Fn() -> Option<Value>,
    mut seed: u64,
) {
    println!("\nrules for the time of the first phase, heavy skew:\n");
    println!("| load | skew | variant | in time | backend ms per query | p50 ms | p99 ms | queries |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (load, slow, hangs, silent_block) in [
        ("one backend slow, one hanging", Some((2, 6)), Some(1), None),
        ("scouts of one block unanswered", None, None, Some(5)),
    ] {
        {
            let mut conditions = conditions.lock().expect("lock is not poisoned");
            (conditions.skew, conditions.slow, conditions.hangs, conditions.silent_block) =
                (0.5, slow, hangs, silent_block);
        }
        let mut variants =
            [variant("learned", plan(), 0), variant("half", plan(), 1), variant("a fifth", plan(), 2)];
        run_variants(conditions, programs, &mut variants, (8.0, seed), || {});
        print(load, "heavy", &variants);
        seed += 1_000_000;
    }
}
