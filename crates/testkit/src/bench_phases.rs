//! `make bench-phases`: single-phase against two-phase searches on the same stand-in hosts, by the same arrivals,
//! in turns; and the rule for the scouts' time against two simpler ones. Hosts work two parts at a time, each
//! for as long as its part costs; a part that was reset while it waited is not worked on.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use mallowgauge_flight::grpc::{frame, status_of, Deframer, SERVICE};
use mallowgauge_flight::proto::{FlightDescriptor, FlightInfo};
use mallowgauge_testkit::columns::{queueing_backend, text_reply, PartWork};
use mallowgauge_testkit::{config, stand_ins, Program};
use prost::Message;
use serde_json::{json, Value};

const BACKENDS: usize = 4;
const BLOCKS: u32 = 12;
/// What a scout and a block cost a host.
const SCOUT_MS: u64 = 2;
const BLOCK_MS: u64 = 30;
/// A segment of one side, and how many each side has.
const SEGMENT: Duration = Duration::from_secs(3);
const SEGMENTS: usize = 3;
const AIM: Duration = Duration::from_millis(1500);

/// A number from 0 to 1 that follows from these.
fn chance(seed: u64, salt: u64) -> f64 {
    let mut x = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ salt.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^= x >> 31;
    x = x.wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^= x >> 29;
    (x >> 11) as f64 / (1_u64 << 53) as f64
}

/// How goods lie over blocks: a block's best score for a predicate.
fn best(skew: f64, predicate: u64, block: u32) -> f64 {
    let mut order: Vec<u32> = (0..BLOCKS).collect();
    order.sort_by(|a, b| chance(predicate, u64::from(*a)).total_cmp(&chance(predicate, u64::from(*b))));
    let rank = order.iter().position(|b| *b == block).unwrap_or(0);
    // Without skew all blocks are alike; with it each holds a share of the one before it.
    100.0 * (1.0 - skew).powi(rank as i32) * (0.98 + 0.02 * chance(predicate, 100 + u64::from(block)))
}

fn rows(skew: f64, predicate: u64, block: u32) -> String {
    let top = best(skew, predicate, block);
    let row = |i: u32| json!({"score": top * 0.99_f64.powi(i as i32), "id": format!("{block}-{i}")});
    Value::from((0..10).map(row).collect::<Vec<_>>()).to_string()
}

/// A day: its name, queries a second, a host that is slower by a factor, one that hangs.
type Day = (&'static str, f64, Option<(usize, u64)>, Option<usize>);

/// The state of the world that hosts ask: skew, which host is slow and how, and the work that was asked.
#[derive(Default)]
struct World {
    skew: f64,
    slow: Option<(usize, u64)>,
    hangs: Option<usize>,
    /// A host that has just started: a sixth of its capacity at first, all of it after so long.
    cold: Option<(usize, Instant)>,
    /// A block whose scouts nobody answers.
    mute: Option<u32>,
    asked_ms: u64,
}

/// How long a host takes to be warm.
const WARM: Duration = Duration::from_secs(3);

struct Side {
    name: &'static str,
    plan: Option<Value>,
    program: usize,
    inside: usize,
    count: usize,
    work: u64,
    times: Histogram<u64>,
}

fn start(hosts: &[SocketAddr], rule: Value) -> (Program, stand_ins::DiscoveryStandIn) {
    let roster = stand_ins::DiscoveryStandIn::start();
    let mut file = config(hosts, roster.addr);
    let family = &mut file["settings"]["FamilyInfo"];
    family["Places"] = json!(BACKENDS);
    family["Shards"] = json!(BLOCKS);
    family["OverheadUs"] = json!(0);
    file["settings"]["Limits"]["MaxOpen"] = json!(2000);
    let operator = json!({"flight": {"listen": "127.0.0.1:0", "hosts": "all"},
                          "phases": {"rule": rule, "sketches": 0}});
    (Program::start(&file, &operator, 1024), roster)
}

async fn call(
    sender: &mut h2::client::SendRequest<Bytes>,
    method: &str,
    message: Vec<u8>,
) -> Option<(Bytes, u32)> {
    let request = Request::post(format!("http://bench{SERVICE}{method}"))
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
    while let Some(Ok(piece)) = body.data().await {
        let _ = body.flow_control().release_capacity(piece.len());
        frames.push(&piece);
        while let Ok(Some(message)) = frames.take() {
            first = if first.is_empty() { message } else { first };
        }
    }
    let trailers = body.trailers().await.ok().flatten().unwrap_or(head);
    Some((first, status_of(&trailers)?))
}

/// One query; whether it was answered.
async fn ask(addr: SocketAddr, number: u64, plan: Option<Value>) -> Option<bool> {
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

/// Plays the sides in turns, each segment with the same arrivals.
fn play(
    world: &Arc<Mutex<World>>,
    programs: &[Program],
    sides: &mut [Side],
    (rate, seed): (f64, u64),
    starts: impl Fn(),
) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("build a runtime");
    for segment in 0..SEGMENTS as u64 {
        for side in sides.iter_mut() {
            starts();
            let before = world.lock().expect("lock is not poisoned").asked_ms;
            let addr = programs[side.program].flight;
            let ends = Rc::new(RefCell::new(Vec::new()));
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, async {
                let began = Instant::now();
                let (mut at, mut number, mut tasks) = (0.0, 0_u64, Vec::new());
                while at < SEGMENT.as_secs_f64() {
                    // Open loop: arrivals wait for nobody.
                    tokio::time::sleep_until((began + Duration::from_secs_f64(at)).into()).await;
                    let (ends, plan, id) =
                        (Rc::clone(&ends), side.plan.clone(), seed + segment * 10_000 + number);
                    let due = began + Duration::from_secs_f64(at);
                    tasks.push(tokio::task::spawn_local(async move {
                        let good = tokio::time::timeout(Duration::from_secs(5), ask(addr, id, plan)).await;
                        ends.borrow_mut().push((good.ok().flatten() == Some(true), due.elapsed()));
                    }));
                    number += 1;
                    at += -chance(seed + segment, 7_000 + number).max(1e-9).ln() / rate;
                }
                for task in tasks {
                    task.await.expect("a task");
                }
            });
            side.work += world.lock().expect("lock is not poisoned").asked_ms - before;
            for (good, took) in ends.borrow().iter() {
                side.count += 1;
                side.inside += usize::from(*good && *took <= AIM);
                side.times.saturating_record(took.as_millis() as u64);
            }
        }
    }
}

fn side(name: &'static str, plan: Option<Value>, program: usize) -> Side {
    let times = Histogram::new(3).expect("a histogram");
    Side { name, plan, program, inside: 0, count: 0, work: 0, times }
}

fn print(day: &str, skew: &str, sides: &[Side]) {
    for side in sides {
        println!(
            "| {day} | {skew} | {} | {:.3} | {:.0} | {} | {} | {} |",
            side.name,
            side.inside as f64 / side.count as f64,
            side.work as f64 / side.count as f64,
            side.times.value_at_quantile(0.5),
            side.times.value_at_quantile(0.99),
            side.count
        );
    }
}

fn main() {
    let world = Arc::new(Mutex::new(World::default()));
    let hosts: Vec<SocketAddr> = (0..BACKENDS)
        .map(|i| {
            let world = Arc::clone(&world);
            let work = move |ticket: &Value| {
                let block = ticket["range"].as_u64().expect("a block") as u32;
                let said = ticket["predicate"].as_str().expect("text");
                let scout = said.strip_prefix("scout:");
                let predicate: u64 = scout.unwrap_or(said).parse().expect("a number");
                let mut world = world.lock().expect("lock is not poisoned");
                let cost = if scout.is_some() { SCOUT_MS } else { BLOCK_MS };
                let times = world.slow.filter(|(host, _)| *host == i).map_or(1.0, |(_, times)| times as f64);
                let cold = world.cold.filter(|(host, _)| *host == i).map_or(1.0, |(_, since)| {
                    let warmth = (since.elapsed().as_secs_f64() / WARM.as_secs_f64()).min(1.0);
                    1.0 / (0.16 + 0.84 * warmth)
                });
                world.asked_ms += cost;
                let answer = match scout {
                    Some(_) => json!({"bound": best(world.skew, predicate, block), "count": 10}).to_string(),
                    None => rows(world.skew, predicate, block),
                };
                let hangs = world.hangs == Some(i) || (scout.is_some() && world.mute == Some(block));
                PartWork {
                    cost: Duration::from_secs_f64(cost as f64 / 1000.0 * times * cold),
                    never_answers: hangs,
                    reply: text_reply(block, "good", &answer),
                }
            };
            queueing_backend(2, Arc::new(work))
        })
        .collect();
    let (one, first) = start(&hosts, json!("learned"));
    let (half, _second) = start(&hosts, json!("half"));
    let (fixed, _third) = start(&hosts, json!({"share": 0.2}));
    let programs = [one, half, fixed];
    let plan = || Some(json!({"top": 10, "wave": 2}));
    println!("{BACKENDS} hosts, two parts at a time; {BLOCKS} blocks; a scout costs {SCOUT_MS} ms, a block {BLOCK_MS} ms");
    println!(
        "service: share answered within {} ms; in turns of {} s, {SEGMENTS} each\n",
        AIM.as_millis(),
        SEGMENT.as_secs()
    );
    println!("| day | skew | side | service | host ms a query | p50 ms | p99 ms | queries |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let days: [Day; 4] = [
        ("calm", 8.0, None, None),
        ("slow host", 8.0, Some((1, 6)), None),
        ("hang", 8.0, None, Some(1)),
        ("overload", 32.0, None, None),
    ];
    let mut seed = 1_000_000;
    if std::env::args().nth(1).as_deref() == Some("rules") {
        return rules(&world, &programs, plan, seed);
    }
    for (skew_name, skew) in [("none", 0.0), ("some", 0.2), ("heavy", 0.5)] {
        world.lock().expect("lock is not poisoned").skew = skew;
        let mut sides = [side("single", None, 0), side("two-phase", plan(), 0)];
        // At the begin of each segment a successor of host 1 starts, and discovery tells so.
        let starts = || {
            let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a date");
            let mut instance = stand_ins::endpoint(1, hosts[1], "active");
            instance["startedAtMs"] = json!(now.as_millis() as u64);
            first.publish(&instance);
            world.lock().expect("lock is not poisoned").cold = Some((1, Instant::now()));
        };
        play(&world, &programs, &mut sides, (8.0, seed), starts);
        print("cold successor", skew_name, &sides);
        seed += 1_000_000;
    }
    world.lock().expect("lock is not poisoned").cold = None;
    if std::env::args().nth(1).as_deref() == Some("cold") {
        return;
    }
    for (skew_name, skew) in [("none", 0.0), ("some", 0.2), ("heavy", 0.5)] {
        for (day, rate, slow, hangs) in days {
            {
                let mut world = world.lock().expect("lock is not poisoned");
                (world.skew, world.slow, world.hangs) = (skew, slow, hangs);
            }
            let mut sides = [side("single", None, 0), side("two-phase", plan(), 0)];
            play(&world, &programs, &mut sides, (rate, seed), || {});
            print(day, skew_name, &sides);
            seed += 1_000_000;
        }
    }
    rules(&world, &programs, plan, seed);
}

/// The rule for the scouts' time beside two simpler ones.
fn rules(world: &Arc<Mutex<World>>, programs: &[Program], plan: impl Fn() -> Option<Value>, mut seed: u64) {
    println!("\nthe rule for the scouts' time, heavy skew:\n");
    println!("| day | skew | side | service | host ms a query | p50 ms | p99 ms | queries |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (day, slow, hangs, mute) in [
        ("one host slow, one hangs", Some((2, 6)), Some(1), None),
        ("one block's scouts silent", None, None, Some(5)),
    ] {
        {
            let mut world = world.lock().expect("lock is not poisoned");
            (world.skew, world.slow, world.hangs, world.mute) = (0.5, slow, hangs, mute);
        }
        let mut sides = [side("learned", plan(), 0), side("half", plan(), 1), side("a fifth", plan(), 2)];
        play(world, programs, &mut sides, (8.0, seed), || {});
        print(day, "heavy", &sides);
        seed += 1_000_000;
    }
}
