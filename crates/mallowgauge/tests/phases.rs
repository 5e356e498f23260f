//! Two-phase queries, over HTTP with backends on the frame protocol and over Flight with backends on Flight. Both give
//! the same answers, also in failure cases.

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

/// Returns the rows of a block. Rows of higher-numbered blocks have better scores; block 2 has no rows.
fn rows(shard: u32) -> Vec<Value> {
    if shard == 2 {
        return Vec::new();
    }
    (0..3)
        .map(|i| json!({"score": f64::from(shard * 10) - f64::from(i), "id": format!("r{shard}-{i}")}))
        .collect()
}

/// Returns the sketch that a scout reports for a block.
fn sketch(shard: u32) -> String {
    json!({"bound": f64::from(shard * 10), "count": rows(shard).len()}).to_string()
}

/// Chooses a backend's outcome and value for a part from its shard, whether it is a scout, and the number of earlier
/// attempts; `None` for no answer.
type AnswerRule = Arc<dyn Fn(u32, bool, u32) -> Option<(String, String)> + Send + Sync>;

/// Answers scouts with correct sketches and fetches with rows.
fn correct_answers() -> AnswerRule {
    Arc::new(|shard, scout, _| {
        let rows = Value::from(rows(shard)).to_string();
        Some(("good".to_owned(), if scout { sketch(shard) } else { rows }))
    })
}

/// Number of attempts by query, shard, and whether they are scouts.
type AttemptCountsByKind = Arc<Mutex<BTreeMap<(String, u32, bool), u32>>>;

/// The program with backends on one of the two protocols.
struct TestSystem {
    program: Program,
    attempts: AttemptCountsByKind,
    flight: bool,
    discovery: stand_ins::DiscoveryStandIn,
}

impl TestSystem {
    fn start(flight: bool, answer_rule: &AnswerRule, phases: Value, change: impl Fn(&mut Value)) -> Self {
        let attempts = AttemptCountsByKind::default();
        let count_attempt = |attempts: &AttemptCountsByKind, query: &str, shard: u32, scout: bool| {
            let mut attempts = attempts.lock().expect("an unpoisoned lock");
            let count = attempts.entry((query.to_owned(), shard, scout)).or_default();
            *count += 1;
            *count - 1
        };
        let backends: Vec<SocketAddr> = (0..BACKENDS)
            .map(|i| {
                let (answer_rule, attempts) = (Arc::clone(answer_rule), Arc::clone(&attempts));
                if flight {
                    let script: Script = Arc::new(move |_, ticket, _| {
                        let shard = ticket["range"].as_u64().expect("a shard") as u32;
                        let scout = ticket["predicate"].as_str().expect("text").starts_with("scout:");
                        let earlier =
                            count_attempt(&attempts, ticket["query"].as_str().expect("text"), shard, scout);
                        answer_rule(shard, scout, earlier).map_or(ScriptedReply::Hang, |(outcome, value)| {
                            text_reply(shard, &outcome, &value)
                        })
                    });
                    mallowgauge_testkit::columns::scripted_backend(i, script, AttemptCounts::default(), None)
                } else {
                    let script: stand_ins::FrameScript = Arc::new(move |_, query, shard, predicate| {
                        let scout = predicate.starts_with("scout:");
                        let earlier = count_attempt(&attempts, query, shard, scout);
                        answer_rule(shard, scout, earlier)
                    });
                    stand_ins::scripted_frame_backend(i, script, AttemptCounts::default())
                }
            })
            .collect();
        let discovery = stand_ins::DiscoveryStandIn::start();
        let flight_backends = if flight { json!("all") } else { json!([]) };
        let operator =
            json!({"flight": {"listen": "127.0.0.1:0", "hosts": flight_backends}, "phases": phases});
        let mut file = config(&backends, discovery.addr);
        file["settings"]["Limits"]["MaxOpen"] = json!(100);
        change(&mut file);
        Self { program: Program::start(&file, &operator, 1024), attempts, flight, discovery }
    }

    /// Returns a client for the frontend under test.
    fn client(&self) -> Client {
        Client { http: self.program.http, flight_addr: self.program.flight, flight: self.flight }
    }

    fn run_query(&self, kind: &str, id: &str, shards: &[u32], plan: &Value, ms: u64) -> Value {
        self.client().run_query(kind, id, shards, plan, ms)
    }

    /// Returns the number of scouts and of fetches sent for a query.
    fn scouts_and_fetches(&self, id: &str) -> (u32, u32) {
        let attempts = self.attempts.lock().expect("an unpoisoned lock");
        let count = |scout: bool| {
            attempts.iter().filter(|((q, _, s), _)| q == id && *s == scout).map(|(_, n)| n).sum()
        };
        (count(true), count(false))
    }
}

/// A client of the HTTP or of the Flight frontend.
#[derive(Clone, Copy)]
struct Client {
    http: SocketAddr,
    flight_addr: SocketAddr,
    flight: bool,
}

impl Client {
    /// Sends a query and returns its answer, in the same form for both frontends.
    fn run_query(&self, kind: &str, id: &str, shards: &[u32], plan: &Value, ms: u64) -> Value {
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
        let mut raw = RawHttp2Client::connect(self.flight_addr);
        let descriptor = FlightDescriptor::command(body.to_string().into());
        let reply = raw.call("GetFlightInfo", &[], &frame(&descriptor));
        let failure = |status: Option<u32>| json!({"status": match status { Some(8 | 14) => "refused", Some(13) => "failed", Some(4) => "time up", Some(3) => "invalid", _ => "odd" }});
        if reply.status() != Some(0) {
            return failure(reply.status());
        }
        let info = FlightInfo::decode(reply.messages[0].as_slice()).expect("a FlightInfo");
        let ticket = frame(info.endpoint[0].ticket.as_ref().expect("a ticket"));
        let reply = raw.call("DoGet", &[("grpc-timeout", &format!("{ms}m"))], &ticket);
        if reply.status() != Some(0) {
            return failure(reply.status());
        }
        let messages: Vec<FlightData> =
            reply.messages.iter().map(|m| FlightData::decode(m.as_slice()).expect("FlightData")).collect();
        let last = &messages.last().expect("a message").app_metadata;
        let mut answer: Value = serde_json::from_slice(last).expect("JSON");
        let table: Vec<mallowgauge_core::Message> = messages[1..]
            .iter()
            .map(|m| mallowgauge_core::Message { header: m.data_header.clone(), body: m.data_body.clone() })
            .collect();
        let text =
            mallowgauge_flight::rows::to_json(&messages[0].data_header, &table, 1 << 20).expect("rows");
        let rows: Vec<Value> = serde_json::from_str(&text).expect("JSON");
        answer["rows"] = rows.into_iter().map(|mut row| row["id"].take()).collect();
        answer
    }
}

/// Runs the same queries over HTTP and over Flight, checks that the answers are equal, and returns them.
fn run_on_both(
    answer_rule: &AnswerRule,
    phases: &Value,
    queries: impl Fn(&TestSystem) -> Vec<Value>,
) -> Vec<Value> {
    let [http, flight] =
        [false, true].map(|flight| queries(&TestSystem::start(flight, answer_rule, phases.clone(), |_| {})));
    assert_eq!(http, flight, "the answers over HTTP and over Flight differ");
    http
}

const SHARDS: [u32; 10] = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9];

#[test]
fn only_promising_blocks_are_fetched_and_the_answer_lists_them() {
    let answers = run_on_both(&correct_answers(), &json!({"sketches": 0}), |system| {
        let best =
            system.run_query("search", "best", &SHARDS, &json!({"choose": {"best": 3}, "top": 4}), 3000);
        let exact = system.run_query("search", "exact", &SHARDS, &json!({"top": 4, "wave": 2}), 3000);
        let all = system.run_query("search", "all", &SHARDS, &json!({"choose": "all", "top": 1}), 3000);
        let share =
            system.run_query("search", "share", &SHARDS, &json!({"choose": {"share": 0.8}, "top": 99}), 3000);
        let counts = ["best", "exact", "all", "share"].map(|id| json!(system.scouts_and_fetches(id)));
        [vec![best, exact, all, share], counts.to_vec()].concat()
    });
    let answer = |total: bool, exact: bool, rows: &[&str], asked: &[u32]| {
        let pruned: Vec<u32> = SHARDS.into_iter().filter(|s| !asked.contains(s)).collect();
        json!({"total": total, "exact": exact, "rows": rows, "asked": asked, "pruned": pruned, "skipped": [], "failed": []})
    };
    let top = ["r9-0", "r9-1", "r9-2", "r8-0"];
    // The best three blocks: the fourth row has score 80, and the next block's bound is 60.
    assert_eq!(answers[0], answer(false, true, &top, &[7, 8, 9]));
    // Waves of two: after the first one the fourth row has score 80, and all other bounds are 70 or less.
    assert_eq!(answers[1], answer(false, true, &top, &[8, 9]));
    // All blocks: the block whose sketch says that it is empty is not fetched, so the answer is not complete.
    assert_eq!(answers[2], answer(false, true, &["r9-0"], &[0, 1, 3, 4, 5, 6, 7, 8, 9]));
    assert_eq!((&answers[3]["exact"], &answers[3]["asked"]), (&json!(false), &json!([8, 9])));
    assert_eq!(answers[4..], [json!([10, 3]), json!([10, 2]), json!([10, 9]), json!([10, 2])]);
}

#[test]
fn complete_answer_is_marked_and_plans_are_rejected_without_their_section() {
    for flight in [false, true] {
        let system = TestSystem::start(flight, &correct_answers(), json!({}), |_| {});
        let answer = system.run_query("search", "q", &[3, 4], &json!({"choose": "all"}), 3000);
        assert_eq!((&answer["total"], &answer["exact"]), (&json!(true), &json!(true)));
        for invalid_plan in [
            json!({"choose": "some"}),
            json!({"top": 0}),
            json!({"wave": "x"}),
            json!({"colour": 1}),
            json!({"choose": {"best": 0}}),
            json!(7),
        ] {
            assert_eq!(
                system.run_query("search", "odd", &[3, 4], &invalid_plan, 3000)["status"],
                "invalid",
                "{invalid_plan}"
            );
        }
        let disabled = TestSystem::start(flight, &correct_answers(), Value::Null, |_| {});
        assert_eq!(disabled.run_query("search", "q", &[3, 4], &json!({}), 3000)["status"], "invalid");
    }
}

#[test]
fn failed_wrong_or_unanswered_scouts_are_reflected_in_the_answer() {
    // All scouts but that of block 7 fail. Blocks without a bound are fetched first, or skipped.
    let failing: AnswerRule = Arc::new(|shard, scout, earlier| match (scout, shard) {
        (true, 7) | (false, _) => correct_answers()(shard, scout, earlier),
        _ => Some(("bad".to_owned(), String::new())),
    });
    let answers = run_on_both(&failing, &json!({"sketches": 0}), |system| {
        let fetch = system.run_query("search", "ask", &[3, 5, 7], &json!({"top": 1, "wave": 9}), 3000);
        let skip = system.run_query("search", "skip", &[3, 5, 7], &json!({"top": 1, "silent": "skip"}), 3000);
        vec![fetch, skip]
    });
    assert_eq!((&answers[0]["exact"], &answers[0]["asked"]), (&json!(true), &json!([3, 5, 7])));
    assert_eq!(
        (&answers[1]["exact"], &answers[1]["asked"], &answers[1]["skipped"]),
        (&json!(false), &json!([7]), &json!([3, 5]))
    );
    // A bound that is not a number, an oversized text and a list are not sketches.
    for invalid_sketch in [r#"{"bound": "much"}"#.to_owned(), "x".repeat(60_000), "[]".to_owned()] {
        let invalid_sketch: AnswerRule = Arc::new(move |shard, scout, earlier| match scout {
            true if shard == 9 => Some(("good".to_owned(), invalid_sketch.clone())),
            _ => correct_answers()(shard, scout, earlier),
        });
        let answers = run_on_both(&invalid_sketch, &json!({"sketches": 0}), |system| {
            vec![system.run_query("search", "q", &[1, 9], &json!({"top": 1, "wave": 1}), 3000)]
        });
        assert_eq!((&answers[0]["rows"], &answers[0]["exact"]), (&json!(["r9-0"]), &json!(true)));
    }
    // A block with a row better than its bound shows that bounds prove nothing here: all blocks are fetched.
    let wrong_bound: AnswerRule = Arc::new(|shard, scout, earlier| match (scout, shard) {
        (true, 9) => Some(("good".to_owned(), json!({"bound": 85.0}).to_string())),
        _ => correct_answers()(shard, scout, earlier),
    });
    let answers = run_on_both(&wrong_bound, &json!({"sketches": 0}), |system| {
        vec![system.run_query("search", "q", &[1, 3, 9], &json!({"top": 1, "wave": 1}), 3000)]
    });
    assert_eq!((&answers[0]["asked"], &answers[0]["total"]), (&json!([1, 3, 9]), &json!(true)));
    // Scouts without an answer are abandoned when their time budget ends.
    let hanging: AnswerRule = Arc::new(|shard, scout, earlier| match (scout, shard) {
        (true, 3 | 5) => None,
        _ => correct_answers()(shard, scout, earlier),
    });
    let answers = run_on_both(&hanging, &json!({"sketches": 0}), |system| {
        vec![system.run_query("search", "q", &[3, 5, 7], &json!({"top": 1, "wave": 9}), 3000)]
    });
    assert_eq!((&answers[0]["total"], &answers[0]["rows"]), (&json!(true), &json!(["r7-0"])));
}

#[test]
fn first_phase_is_skipped_when_time_is_short() {
    // No time remains for scouts: the blocks are fetched at once, and the answer meets the deadline.
    let answers = run_on_both(&correct_answers(), &json!({"sketches": 0}), |system| {
        let plan = json!({"choose": {"best": 2}, "top": 1});
        let answer = system.run_query("search", "q", &[7, 8, 9], &plan, 420);
        vec![answer, json!(system.scouts_and_fetches("q"))]
    });
    assert_eq!((&answers[0]["exact"], &answers[1]), (&json!(false), &json!([0, 2])));
}

#[test]
fn non_idempotent_query_moves_to_the_next_block_only_if_not_executed() {
    let plan = json!({"choose": {"best": 2}, "top": 1});
    // Every replica of the best block rejects the query, so the next block executes it.
    let rejecting: AnswerRule = Arc::new(|shard, scout, earlier| match (scout, shard) {
        (false, 9) => Some(("later".to_owned(), String::new())),
        (false, _) => Some(("good".to_owned(), "held".to_owned())),
        _ => correct_answers()(shard, scout, earlier),
    });
    let answers = run_on_both(&rejecting, &json!({"sketches": 0}), |system| {
        vec![system.run_query("place-hold", "h", &[7, 8, 9], &plan, 3000)]
    });
    assert_eq!(answers[0]["held"], json!({"range": 8, "blob": "held"}));
    assert_eq!(
        (&answers[0]["total"], &answers[0]["exact"], &answers[0]["failed"]),
        (&json!(false), &json!(false), &json!([9]))
    );
    // The best block fails and has possibly executed the query, so no other block is tried.
    let failing: AnswerRule = Arc::new(|shard, scout, earlier| match (scout, shard) {
        (false, 9) => Some(("bad".to_owned(), String::new())),
        _ => correct_answers()(shard, scout, earlier),
    });
    let answers = run_on_both(&failing, &json!({"sketches": 0}), |system| {
        let answer = system.run_query("place-hold", "h", &[7, 8, 9], &plan, 3000);
        vec![answer, json!(system.scouts_and_fetches("h"))]
    });
    assert_eq!(answers, [json!({"status": "failed"}), json!([3, 1])]);
}

#[test]
fn sketches_are_cached_and_discarded_when_their_backends_drain() {
    for flight in [false, true] {
        let system = TestSystem::start(flight, &correct_answers(), json!({"sketch_ms": 600_000}), |_| {});
        let plan = json!({"top": 1, "wave": 1});
        let first = system.run_query("search", "one", &[7, 8, 9], &plan, 3000);
        let second = system.run_query("search", "two", &[7, 8, 9], &plan, 3000);
        assert_eq!((system.scouts_and_fetches("one"), system.scouts_and_fetches("two")), ((3, 1), (0, 1)));
        assert_eq!(first["rows"], second["rows"]);
        // A cached sketch only orders the fetches; it does not prove an answer exact.
        assert_eq!((&first["exact"], &second["exact"]), (&json!(true), &json!(false)));
        // A backend drains. It is a replica of every block, so all cached sketches are discarded.
        let addr = "127.0.0.1:1".parse().expect("an address");
        system.discovery.publish(&stand_ins::endpoint(2, addr, "leaving"));
        system.run_query("search", "three", &[7, 8, 9], &plan, 3000);
        assert_eq!(system.scouts_and_fetches("three"), (3, 1));
    }
}

#[test]
fn client_disconnect_between_the_phases_stops_the_query() {
    let fetches = Arc::new(AtomicU32::new(0));
    let count = Arc::clone(&fetches);
    let unanswered_fetches: AnswerRule = Arc::new(move |shard, scout, earlier| match scout {
        true => correct_answers()(shard, scout, earlier),
        false => {
            count.fetch_add(1, Ordering::Relaxed);
            None
        }
    });
    let system = TestSystem::start(true, &unanswered_fetches, json!({"sketches": 0}), |_| {});
    let mut raw = RawHttp2Client::connect(system.program.flight);
    let body =
        json!({"kind": "search", "id": "gone", "ranges": SHARDS, "predicate": "x", "plan": {"wave": 2}});
    let descriptor = FlightDescriptor::command(body.to_string().into());
    let reply = raw.call("GetFlightInfo", &[], &frame(&descriptor));
    let info = FlightInfo::decode(reply.messages[0].as_slice()).expect("a FlightInfo");
    raw.start_call("DoGet", &[], &frame(info.endpoint[0].ticket.as_ref().expect("a ticket")));
    while fetches.load(Ordering::Relaxed) < 2 {
        std::thread::sleep(Duration::from_millis(5));
    }
    drop(raw);
    std::thread::sleep(Duration::from_millis(300));
    // The first wave was fetched, and no other.
    assert!(system.scouts_and_fetches("gone").1 <= 4, "{:?}", system.scouts_and_fetches("gone"));
    let answer = system.run_query("search", "after", &[1], &json!({"choose": "all", "wave": 1}), 300);
    assert_eq!(answer["status"], "refused", "the program still answers, but backends that hang give no rows");
}

#[test]
fn backend_draining_between_the_phases_gets_no_fetches() {
    let attempts = Arc::new(Mutex::new(Vec::new()));
    let recorded = Arc::clone(&attempts);
    let script: Script = Arc::new(move |backend, ticket, _| {
        let shard = ticket["range"].as_u64().expect("a shard") as u32;
        let scout = ticket["predicate"].as_str().expect("text").starts_with("scout:");
        recorded.lock().expect("an unpoisoned lock").push((backend, scout));
        let value = if scout { sketch(shard) } else { Value::from(rows(shard)).to_string() };
        let delay = Duration::from_millis(if scout { 150 } else { 0 });
        ScriptedReply::Delay(delay, Box::new(text_reply(shard, "good", &value)))
    });
    let deployment = Deployment::start_two_phase(script, json!({"sketches": 0}));
    let flight = deployment.program.flight;
    let client = std::thread::spawn(move || {
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
    while attempts.lock().expect("an unpoisoned lock").len() < 10 {
        std::thread::sleep(Duration::from_millis(5));
    }
    deployment.discovery.publish(&stand_ins::endpoint(1, deployment.backends[1], "leaving"));
    assert_eq!(client.join().expect("a client"), Some(0));
    let attempts = attempts.lock().expect("an unpoisoned lock");
    assert!(attempts.iter().any(|(backend, scout)| *backend == 1 && *scout), "{attempts:?}");
    assert!(!attempts.iter().any(|(backend, scout)| *backend == 1 && !*scout), "{attempts:?}");
}

#[test]
fn non_idempotent_query_repeated_during_its_second_phase_executes_once() {
    let slow_fetches: AnswerRule = Arc::new(|shard, scout, earlier| match scout {
        true => correct_answers()(shard, scout, earlier),
        false => {
            std::thread::sleep(Duration::from_millis(200));
            Some(("good".to_owned(), "held".to_owned()))
        }
    });
    let system = TestSystem::start(true, &slow_fetches, json!({"sketches": 0}), |_| {});
    let plan = json!({"choose": {"best": 2}, "top": 1});
    let answers: Vec<Value> = std::thread::scope(|scope| {
        let (client, plan) = (system.client(), plan.clone());
        let run = move || client.run_query("place-hold", "h", &[7, 8, 9], &plan, 3000);
        let first = scope.spawn(run.clone());
        while system.scouts_and_fetches("h").1 == 0 {
            std::thread::sleep(Duration::from_millis(5));
        }
        // Two more clients send the same id, one while the query runs and one afterwards.
        let second = scope.spawn(run.clone());
        let concurrent = vec![first.join().expect("a client"), second.join().expect("a client")];
        [concurrent, vec![run()]].concat()
    });
    assert_eq!(answers[0]["held"], json!({"range": 9, "blob": "held"}));
    assert!(answers.iter().all(|answer| *answer == answers[0]), "{answers:?}");
    assert_eq!(system.scouts_and_fetches("h"), (3, 1));
}

#[test]
fn cancelled_query_fetches_no_further_wave() {
    let unanswered_fetches: AnswerRule = Arc::new(|shard, scout, earlier| match scout {
        true => correct_answers()(shard, scout, earlier),
        false => None,
    });
    let system = TestSystem::start(true, &unanswered_fetches, json!({"sketches": 0}), |_| {});
    let mut raw = RawHttp2Client::connect(system.program.flight);
    let body = json!({"tag": "t", "kind": "search", "id": "c", "ranges": SHARDS, "predicate": "x", "plan": {"wave": 1}});
    let metadata_frame = |value: &Value| {
        frame(&FlightData { app_metadata: value.to_string().into(), ..FlightData::default() })
    };
    let stream = raw.open_stream("DoExchange", &[], false);
    raw.send_data(stream, &metadata_frame(&body), false);
    while system.scouts_and_fetches("c").1 == 0 {
        std::thread::sleep(Duration::from_millis(5));
    }
    raw.send_data(stream, &metadata_frame(&json!({"cancel": "t"})), true);
    let reply = raw.read_reply(stream, true);
    let metadata = FlightData::decode(reply.messages[0].as_slice()).expect("FlightData").app_metadata;
    let metadata: Value = serde_json::from_slice(&metadata).expect("JSON");
    assert_eq!((&metadata["status"], reply.messages.len()), (&json!("cancelled"), 1));
    // One block, and possibly a hedge for it.
    assert!(system.scouts_and_fetches("c").1 <= 2, "{:?}", system.scouts_and_fetches("c"));
}
