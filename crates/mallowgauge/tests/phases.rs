//! Queries in two phases, over HTTP with hosts on frames and over Flight with hosts on Flight: the same
//! answers, and the hard cases.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use mallowgauge_flight::grpc::frame;
use mallowgauge_flight::proto::{FlightData, FlightDescriptor, FlightInfo};
use mallowgauge_testkit::columns::{text_reply, AttemptCounts, Script, ScriptedReply};
use mallowgauge_testkit::raw_http2::RawHttp2Client;
use mallowgauge_testkit::{config, stand_ins, Deployment, Program, BACKENDS};
use prost::Message;
use serde_json::{json, Value};

/// Rows of a block: the higher its number, the better the rows, but for block 2, which has none.
fn rows(shard: u32) -> Vec<Value> {
    if shard == 2 {
        return Vec::new();
    }
    (0..3)
        .map(|i| json!({"score": f64::from(shard * 10) - f64::from(i), "id": format!("r{shard}-{i}")}))
        .collect()
}

fn sketch(shard: u32) -> String {
    json!({"bound": f64::from(shard * 10), "count": rows(shard).len()}).to_string()
}

/// What a host says of a part: how it went and with what; `None` for silence.
type Says = Arc<dyn Fn(u32, bool, u32) -> Option<(String, String)> + Send + Sync>;

fn honest() -> Says {
    Arc::new(|shard, scout, _| {
        let rows = Value::from(rows(shard)).to_string();
        Some(("good".to_owned(), if scout { sketch(shard) } else { rows }))
    })
}

/// What was asked: scouts and blocks, by query and shard.
type Seen = Arc<Mutex<BTreeMap<(String, u32, bool), u32>>>;

/// A program with hosts on one of the wires.
struct World {
    program: Program,
    seen: Seen,
    flight: bool,
    _roster: stand_ins::DiscoveryStandIn,
}

impl World {
    fn start(flight: bool, says: &Says, phases: Value, change: impl Fn(&mut Value)) -> Self {
        let seen = Seen::default();
        let told = |seen: &Seen, query: &str, shard: u32, scout: bool| {
            let mut seen = seen.lock().expect("a sound lock");
            let count = seen.entry((query.to_owned(), shard, scout)).or_default();
            *count += 1;
            *count - 1
        };
        let hosts: Vec<SocketAddr> = (0..BACKENDS)
            .map(|i| {
                let (says, seen) = (Arc::clone(says), Arc::clone(&seen));
                if flight {
                    let script: Script = Arc::new(move |_, ticket, _| {
                        let shard = ticket["range"].as_u64().expect("a shard") as u32;
                        let scout = ticket["predicate"].as_str().expect("text").starts_with("scout:");
                        let before = told(&seen, ticket["query"].as_str().expect("text"), shard, scout);
                        says(shard, scout, before)
                            .map_or(ScriptedReply::Hang, |(end, value)| text_reply(shard, &end, &value))
                    });
                    mallowgauge_testkit::columns::scripted_backend(i, script, AttemptCounts::default(), None)
                } else {
                    let script: stand_ins::FrameScript = Arc::new(move |_, query, shard, carried| {
                        let scout = carried.starts_with("scout:");
                        let before = told(&seen, query, shard, scout);
                        says(shard, scout, before)
                    });
                    stand_ins::scripted_frame_backend(i, script, AttemptCounts::default())
                }
            })
            .collect();
        let roster = stand_ins::DiscoveryStandIn::start();
        let offers = if flight { json!("all") } else { json!([]) };
        let operator = json!({"flight": {"listen": "127.0.0.1:0", "hosts": offers}, "phases": phases});
        let mut file = config(&hosts, roster.addr);
        file["settings"]["Limits"]["MaxOpen"] = json!(100);
        change(&mut file);
        Self { program: Program::start(&file, &operator, 1024), seen, flight, _roster: roster }
    }

    /// A client of this program.
    fn client(&self) -> Client {
        Client { http: self.program.http, flight_at: self.program.flight, flight: self.flight }
    }

    fn ask(&self, kind: &str, id: &str, shards: &[u32], plan: &Value, ms: u64) -> Value {
        self.client().ask(kind, id, shards, plan, ms)
    }

    /// How often scouts and blocks were asked for a query.
    fn asked(&self, id: &str) -> (u32, u32) {
        let seen = self.seen.lock().expect("a sound lock");
        let count =
            |scout: bool| seen.iter().filter(|((q, _, s), _)| q == id && *s == scout).map(|(_, n)| n).sum();
        (count(true), count(false))
    }
}

/// A client on one of the wires.
#[derive(Clone, Copy)]
struct Client {
    http: SocketAddr,
    flight_at: SocketAddr,
    flight: bool,
}

impl Client {
    /// Asks, and tells the answer in the same words on both wires.
    fn ask(&self, kind: &str, id: &str, shards: &[u32], plan: &Value, ms: u64) -> Value {
        let share = 1.0 / shards.len() as f64;
        let ranges: Vec<Value> = shards.iter().map(|s| json!({"range": s, "portion": share})).collect();
        let mut body = json!({"ranges": ranges, "predicate": "c41e77d0", "plan": plan});
        if !self.flight {
            let query = mallowgauge_testkit::Query {
                id: id.to_owned(),
                kind: kind.to_owned(),
                deadline_ms: ms,
                body,
            };
            let socket = TcpStream::connect(self.http).expect("a connection");
            let (status, _, body) =
                stand_ins::exchange(&socket, &stand_ins::http_request(&query)).expect("an answer");
            let mut body: Value = serde_json::from_str(&body).expect("JSON");
            if status != 200 {
                return json!({"status": match status { 503 => "refused", 502 => "failed", 504 => "time up", 400 => "invalid", _ => "odd" }});
            }
            if let Some(rows) = body["rows"].as_array_mut() {
                rows.iter_mut().for_each(|row| *row = row["row"]["id"].take());
            }
            return body;
        }
        body["id"] = json!(id);
        body["kind"] = json!(kind);
        let mut raw = RawHttp2Client::connect(self.flight_at);
        let descriptor = FlightDescriptor::command(body.to_string().into());
        let reply = raw.call("GetFlightInfo", &[], &frame(&descriptor));
        let told = |status: Option<u32>| json!({"status": match status { Some(8 | 14) => "refused", Some(13) => "failed", Some(4) => "time up", Some(3) => "invalid", _ => "odd" }});
        if reply.status() != Some(0) {
            return told(reply.status());
        }
        let info = FlightInfo::decode(reply.messages[0].as_slice()).expect("a FlightInfo");
        let ticket = frame(info.endpoint[0].ticket.as_ref().expect("a ticket"));
        let reply = raw.call("DoGet", &[("grpc-timeout", &format!("{ms}m"))], &ticket);
        if reply.status() != Some(0) {
            return told(reply.status());
        }
        let messages: Vec<FlightData> =
            reply.messages.iter().map(|m| FlightData::decode(m.as_slice()).expect("FlightData")).collect();
        let last = &messages.last().expect("a message").app_metadata;
        let mut marks: Value = serde_json::from_slice(last).expect("JSON");
        let table: Vec<mallowgauge_core::Message> = messages[1..]
            .iter()
            .map(|m| mallowgauge_core::Message { header: m.data_header.clone(), body: m.data_body.clone() })
            .collect();
        let text = mallowgauge_flight::rows::to_json(&messages[0].data_header, &table).expect("rows");
        let rows: Vec<Value> = serde_json::from_str(&text).expect("JSON");
        marks["rows"] = rows.into_iter().map(|mut row| row["id"].take()).collect();
        marks
    }
}

/// Plays the same on both wires, which have to tell the same.
fn both(says: &Says, phases: &Value, play: impl Fn(&World) -> Vec<Value>) -> Vec<Value> {
    let [http, flight] =
        [false, true].map(|flight| play(&World::start(flight, says, phases.clone(), |_| {})));
    assert_eq!(http, flight, "the wires differ");
    http
}

const SHARDS: [u32; 10] = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9];

#[test]
fn only_promising_blocks_are_asked_and_the_answer_says_what_it_is() {
    let told = both(&honest(), &json!({"sketches": 0}), |world| {
        let best = world.ask("search", "best", &SHARDS, &json!({"choose": {"best": 3}, "top": 4}), 3000);
        let exact = world.ask("search", "exact", &SHARDS, &json!({"top": 4, "wave": 2}), 3000);
        let all = world.ask("search", "all", &SHARDS, &json!({"choose": "all", "top": 1}), 3000);
        let share =
            world.ask("search", "share", &SHARDS, &json!({"choose": {"share": 0.8}, "top": 99}), 3000);
        let asked = ["best", "exact", "all", "share"].map(|id| json!(world.asked(id)));
        [vec![best, exact, all, share], asked.to_vec()].concat()
    });
    let marks = |total: bool, exact: bool, rows: &[&str], asked: &[u32]| {
        let pruned: Vec<u32> = SHARDS.into_iter().filter(|s| !asked.contains(s)).collect();
        json!({"total": total, "exact": exact, "rows": rows, "asked": asked, "pruned": pruned, "skipped": [], "failed": []})
    };
    let top = ["r9-0", "r9-1", "r9-2", "r8-0"];
    // The best three: the fourth row is 80, and the block behind is bounded by 60.
    assert_eq!(told[0], marks(false, true, &top, &[7, 8, 9]));
    // Waves of two: after the first the fourth row is 80, and all others are bounded by 70 or less.
    assert_eq!(told[1], marks(false, true, &top, &[8, 9]));
    // All: but the block that says it is empty is not asked, so it is not whole.
    assert_eq!(told[2], marks(false, true, &["r9-0"], &[0, 1, 3, 4, 5, 6, 7, 8, 9]));
    assert_eq!((&told[3]["exact"], &told[3]["asked"]), (&json!(false), &json!([8, 9])));
    assert_eq!(told[4..], [json!([10, 3]), json!([10, 2]), json!([10, 9]), json!([10, 2])]);
}

#[test]
fn a_whole_answer_says_whole_and_without_the_section_plans_are_refused() {
    for flight in [false, true] {
        let world = World::start(flight, &honest(), json!({}), |_| {});
        let told = world.ask("search", "q", &[3, 4], &json!({"choose": "all"}), 3000);
        assert_eq!((&told["total"], &told["exact"]), (&json!(true), &json!(true)));
        for odd in [
            json!({"choose": "some"}),
            json!({"top": 0}),
            json!({"wave": "x"}),
            json!({"colour": 1}),
            json!({"choose": {"best": 0}}),
            json!(7),
        ] {
            assert_eq!(world.ask("search", "odd", &[3, 4], &odd, 3000)["status"], "invalid", "{odd}");
        }
        let off = World::start(flight, &honest(), Value::Null, |_| {});
        assert_eq!(off.ask("search", "q", &[3, 4], &json!({}), 3000)["status"], "invalid");
    }
}

#[test]
fn scouts_that_fail_lie_or_hang_leave_an_answer_that_says_so() {
    // All scouts but that of block 7 fail; blocks that nothing bounds are asked first, or left out.
    let failing: Says = Arc::new(|shard, scout, before| match (scout, shard) {
        (true, 7) | (false, _) => honest()(shard, scout, before),
        _ => Some(("bad".to_owned(), String::new())),
    });
    let told = both(&failing, &json!({"sketches": 0}), |world| {
        let ask = world.ask("search", "ask", &[3, 5, 7], &json!({"top": 1, "wave": 9}), 3000);
        let skip = world.ask("search", "skip", &[3, 5, 7], &json!({"top": 1, "silent": "skip"}), 3000);
        vec![ask, skip]
    });
    assert_eq!((&told[0]["exact"], &told[0]["asked"]), (&json!(true), &json!([3, 5, 7])));
    assert_eq!(
        (&told[1]["exact"], &told[1]["asked"], &told[1]["skipped"]),
        (&json!(false), &json!([7]), &json!([3, 5]))
    );
    // Bounds that are no numbers, or a million of them, are no sketches.
    for odd in [r#"{"bound": "much"}"#.to_owned(), "x".repeat(60_000), "[]".to_owned()] {
        let odd: Says = Arc::new(move |shard, scout, before| match scout {
            true if shard == 9 => Some(("good".to_owned(), odd.clone())),
            _ => honest()(shard, scout, before),
        });
        let told = both(&odd, &json!({"sketches": 0}), |world| {
            vec![world.ask("search", "q", &[1, 9], &json!({"top": 1, "wave": 1}), 3000)]
        });
        assert_eq!((&told[0]["rows"], &told[0]["exact"]), (&json!(["r9-0"]), &json!(true)));
    }
    // A block with a better row than its bound takes the proof away: everything is asked.
    let liar: Says = Arc::new(|shard, scout, before| match (scout, shard) {
        (true, 9) => Some(("good".to_owned(), json!({"bound": 85.0}).to_string())),
        _ => honest()(shard, scout, before),
    });
    let told = both(&liar, &json!({"sketches": 0}), |world| {
        vec![world.ask("search", "q", &[1, 3, 9], &json!({"top": 1, "wave": 1}), 3000)]
    });
    assert_eq!((&told[0]["asked"], &told[0]["total"]), (&json!([1, 3, 9]), &json!(true)));
    // Scouts that hang are given up at their budget.
    let hanging: Says = Arc::new(|shard, scout, before| match (scout, shard) {
        (true, 3 | 5) => None,
        _ => honest()(shard, scout, before),
    });
    let told = both(&hanging, &json!({"sketches": 0}), |world| {
        vec![world.ask("search", "q", &[3, 5, 7], &json!({"top": 1, "wave": 9}), 3000)]
    });
    assert_eq!((&told[0]["total"], &told[0]["rows"]), (&json!(true), &json!(["r7-0"])));
}

#[test]
fn a_first_phase_without_time_is_left_out() {
    // Nothing is left for scouts: the blocks are asked at once, and the answer comes in time.
    let told = both(&honest(), &json!({"sketches": 0}), |world| {
        let short = json!({"choose": {"best": 2}, "top": 1});
        let told = world.ask("search", "q", &[7, 8, 9], &short, 420);
        vec![told, json!(world.asked("q"))]
    });
    assert_eq!((&told[0]["exact"], &told[1]), (&json!(false), &json!([0, 2])));
}

#[test]
fn a_hold_takes_the_best_block_and_the_next_only_if_it_never_ran() {
    let plan = json!({"choose": {"best": 2}, "top": 1});
    // The best block turns holds away on every host; the next one takes it.
    let full: Says = Arc::new(|shard, scout, before| match (scout, shard) {
        (false, 9) => Some(("later".to_owned(), String::new())),
        (false, _) => Some(("good".to_owned(), "held".to_owned())),
        _ => honest()(shard, scout, before),
    });
    let told = both(&full, &json!({"sketches": 0}), |world| {
        vec![world.ask("place-hold", "h", &[7, 8, 9], &plan, 3000)]
    });
    assert_eq!(told[0]["held"], json!({"range": 8, "blob": "held"}));
    assert_eq!(
        (&told[0]["total"], &told[0]["exact"], &told[0]["failed"]),
        (&json!(false), &json!(false), &json!([9]))
    );
    // It may have run at the best block: it is not tried at another.
    let bad: Says = Arc::new(|shard, scout, before| match (scout, shard) {
        (false, 9) => Some(("bad".to_owned(), String::new())),
        _ => honest()(shard, scout, before),
    });
    let told = both(&bad, &json!({"sketches": 0}), |world| {
        let told = world.ask("place-hold", "h", &[7, 8, 9], &plan, 3000);
        vec![told, json!(world.asked("h"))]
    });
    assert_eq!(told, [json!({"status": "failed"}), json!([3, 1])]);
}

#[test]
fn what_scouts_said_is_kept_and_thrown_away_with_their_hosts() {
    for flight in [false, true] {
        let world = World::start(flight, &honest(), json!({"sketch_ms": 600_000}), |_| {});
        let plan = json!({"top": 1, "wave": 1});
        let first = world.ask("search", "one", &[7, 8, 9], &plan, 3000);
        let second = world.ask("search", "two", &[7, 8, 9], &plan, 3000);
        assert_eq!((world.asked("one"), world.asked("two")), ((3, 1), (0, 1)));
        assert_eq!(first["rows"], second["rows"]);
        // A hint from before is no proof.
        assert_eq!((&first["exact"], &second["exact"]), (&json!(true), &json!(false)));
        // A host drains: every block has three holders, and all are in doubt.
        let addr = "127.0.0.1:1".parse().expect("an address");
        world._roster.publish(&stand_ins::endpoint(2, addr, "leaving"));
        world.ask("search", "three", &[7, 8, 9], &plan, 3000);
        assert_eq!(world.asked("three"), (3, 1));
    }
}

#[test]
fn a_client_that_leaves_between_the_phases_ends_them() {
    let fetched = Arc::new(AtomicU32::new(0));
    let count = Arc::clone(&fetched);
    let slow: Says = Arc::new(move |shard, scout, before| match scout {
        true => honest()(shard, scout, before),
        false => {
            count.fetch_add(1, Ordering::Relaxed);
            None
        }
    });
    let world = World::start(true, &slow, json!({"sketches": 0}), |_| {});
    let mut raw = RawHttp2Client::connect(world.program.flight);
    let body =
        json!({"kind": "search", "id": "gone", "ranges": SHARDS, "predicate": "x", "plan": {"wave": 2}});
    let descriptor = FlightDescriptor::command(body.to_string().into());
    let reply = raw.call("GetFlightInfo", &[], &frame(&descriptor));
    let info = FlightInfo::decode(reply.messages[0].as_slice()).expect("a FlightInfo");
    raw.start_call("DoGet", &[], &frame(info.endpoint[0].ticket.as_ref().expect("a ticket")));
    while fetched.load(Ordering::Relaxed) < 2 {
        std::thread::sleep(Duration::from_millis(5));
    }
    drop(raw);
    std::thread::sleep(Duration::from_millis(300));
    // The first wave was asked, and nothing behind it.
    assert!(world.asked("gone").1 <= 4, "{:?}", world.asked("gone"));
    let told = world.ask("search", "after", &[1], &json!({"choose": "all", "wave": 1}), 300);
    assert_eq!(told["status"], "refused", "hosts that hang give no rows, and the program goes on");
}

#[test]
fn a_host_that_drains_between_the_phases_gets_nothing_of_the_second() {
    let told = Arc::new(Mutex::new(Vec::new()));
    let seen = Arc::clone(&told);
    let script: Script = Arc::new(move |host, ticket, _| {
        let shard = ticket["range"].as_u64().expect("a shard") as u32;
        let scout = ticket["predicate"].as_str().expect("text").starts_with("scout:");
        seen.lock().expect("a sound lock").push((host, scout));
        let value = if scout { sketch(shard) } else { Value::from(rows(shard)).to_string() };
        let wait = Duration::from_millis(if scout { 150 } else { 0 });
        ScriptedReply::Delay(wait, Box::new(text_reply(shard, "good", &value)))
    });
    let cluster = Deployment::start_two_phase(script, json!({"sketches": 0}));
    let flight = cluster.program.flight;
    let asks = std::thread::spawn(move || {
        let mut raw = RawHttp2Client::connect(flight);
        let body = json!({"kind": "search", "id": "q", "ranges": SHARDS, "predicate": "x", "plan": {"choose": "all", "wave": 10}});
        let reply =
            raw.call("GetFlightInfo", &[], &frame(&FlightDescriptor::command(body.to_string().into())));
        let info = FlightInfo::decode(reply.messages[0].as_slice()).expect("a FlightInfo");
        raw.call(
            "DoGet",
            &[("grpc-timeout", "3S")],
            &frame(info.endpoint[0].ticket.as_ref().expect("a ticket")),
        )
        .status()
    });
    while told.lock().expect("a sound lock").len() < 10 {
        std::thread::sleep(Duration::from_millis(5));
    }
    cluster.discovery.publish(&stand_ins::endpoint(1, cluster.backends[1], "leaving"));
    assert_eq!(asks.join().expect("a client"), Some(0));
    let told = told.lock().expect("a sound lock");
    assert!(told.iter().any(|(host, scout)| *host == 1 && *scout), "{told:?}");
    assert!(!told.iter().any(|(host, scout)| *host == 1 && !*scout), "{told:?}");
}

#[test]
fn a_hold_asked_again_while_its_second_phase_runs_is_one_hold() {
    let slow: Says = Arc::new(|shard, scout, before| match scout {
        true => honest()(shard, scout, before),
        false => {
            std::thread::sleep(Duration::from_millis(200));
            Some(("good".to_owned(), "held".to_owned()))
        }
    });
    let world = World::start(true, &slow, json!({"sketches": 0}), |_| {});
    let plan = json!({"choose": {"best": 2}, "top": 1});
    let told: Vec<Value> = std::thread::scope(|scope| {
        let (client, plan) = (world.client(), plan.clone());
        let ask = move || client.ask("place-hold", "h", &[7, 8, 9], &plan, 3000);
        let first = scope.spawn(ask.clone());
        while world.asked("h").1 == 0 {
            std::thread::sleep(Duration::from_millis(5));
        }
        // Two more ask under the same id, one while it runs and one behind it.
        let second = scope.spawn(ask.clone());
        let both = vec![first.join().expect("a client"), second.join().expect("a client")];
        [both, vec![ask()]].concat()
    });
    assert_eq!(told[0]["held"], json!({"range": 9, "blob": "held"}));
    assert!(told.iter().all(|one| *one == told[0]), "{told:?}");
    assert_eq!(world.asked("h"), (3, 1));
}

#[test]
fn a_cancelled_search_asks_no_further_wave() {
    let slow: Says = Arc::new(|shard, scout, before| match scout {
        true => honest()(shard, scout, before),
        false => None,
    });
    let world = World::start(true, &slow, json!({"sketches": 0}), |_| {});
    let mut raw = RawHttp2Client::connect(world.program.flight);
    let body = json!({"tag": "t", "kind": "search", "id": "c", "ranges": SHARDS, "predicate": "x", "plan": {"wave": 1}});
    let say = |value: &Value| {
        frame(&FlightData { app_metadata: value.to_string().into(), ..FlightData::default() })
    };
    let stream = raw.open_stream("DoExchange", &[], false);
    raw.send_data(stream, &say(&body), false);
    while world.asked("c").1 == 0 {
        std::thread::sleep(Duration::from_millis(5));
    }
    raw.send_data(stream, &say(&json!({"cancel": "t"})), true);
    let reply = raw.read_reply(stream, true);
    let said = FlightData::decode(reply.messages[0].as_slice()).expect("FlightData").app_metadata;
    let said: Value = serde_json::from_slice(&said).expect("JSON");
    assert_eq!((&said["status"], reply.messages.len()), (&json!("cancelled"), 1));
    // One block, and perhaps a second copy of it.
    assert!(world.asked("c").1 <= 2, "{:?}", world.asked("c"));
}
