//! Checks the interface descriptions, the documented log lines and tests, and the example configuration against the
//! program, and the program's behaviour when it runs out of file descriptors.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::net::TcpStream;
use std::path::Path;
use std::rc::Rc;
use std::sync::mpsc::channel;

use insta::assert_snapshot;
use mallowgauge_core::{AttemptId, AttemptRequest};
use mallowgauge_edge::upstream::frames;
use mallowgauge_router::{PartId, ShardId};
use mallowgauge_testkit::{
    config, play_with_descriptors, spawn, stand_ins, BackendReply, Event, Program, Protocol, Query, BACKENDS,
};
use regex::Regex;
use serde_json::{json, Value};

/// Reads a file of the repository.
fn read_text(path: &str) -> String {
    std::fs::read_to_string(Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../..")).join(path))
        .expect("a file")
}

/// Reads a JSON file of the repository.
fn read_json(path: &str) -> Value {
    serde_json::from_str(&read_text(path)).expect("JSON")
}

#[test]
fn http_frontend_matches_its_openapi_description() {
    let api = read_json("api/openapi.json");
    let (sender, events) = channel();
    let backends: Vec<_> =
        (0..BACKENDS).map(|i| stand_ins::frame_backend(i, sender.clone(), false)).collect();
    let discovery = stand_ins::DiscoveryStandIn::start();
    let operator = json!({"flight": {"listen": "127.0.0.1:0"}});
    let program = Program::start(&config(&backends, discovery.addr), &operator, 1024);
    // Shard 0 answers, shard 1 fails, and the others do not answer.
    std::thread::spawn(move || {
        for event in events {
            match event {
                Event::Part(_, 0, reply) => reply(BackendReply::Outcome("good".into(), "x \"y\"".into())),
                Event::Part(_, 1, reply) => reply(BackendReply::Outcome("bad".into(), String::new())),
                _ => {}
            }
        }
    });
    let validate = |schema: &Value, value: &Value| {
        let schema = json!({"allOf": [schema], "components": api["components"]});
        jsonschema::validate(&schema, value).unwrap_or_else(|e| panic!("{value}: {e}"));
    };
    let mut seen: BTreeSet<(String, String, u16)> = BTreeSet::new();
    let mut exchange = |path: &str, method: &str, request: &str| {
        let socket = TcpStream::connect(program.http).expect("a connection");
        let (status, _, body) = stand_ins::exchange(&socket, request).expect("a response");
        let described = &api["paths"][path][method]["responses"][status.to_string()];
        assert!(described.is_object(), "{method} {path} returned {status}, which is not described");
        let schema = &described["content"]["application/json"]["schema"];
        if schema.is_object() {
            validate(schema, &serde_json::from_str(&body).expect("JSON"));
        }
        seen.insert((path.to_owned(), method.to_owned(), status));
    };
    let query = |id: u32, kind: &str, ms: u64, shards: &[u32]| {
        let share = 1.0 / shards.len() as f64;
        let ranges: Vec<Value> = shards.iter().map(|s| json!({"range": s, "portion": share})).collect();
        let body = json!({"ranges": ranges, "predicate": "c41e77d0"});
        validate(&json!({"$ref": "#/components/schemas/Query"}), &body);
        Query { id: id.to_string(), kind: kind.to_owned(), deadline_ms: ms, body }
    };
    exchange("/healthz", "get", "GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n");
    exchange("/api", "post", &stand_ins::http_request(&query(1, "search", 3000, &[0])));
    exchange("/api", "post", &stand_ins::http_request(&query(2, "browse", 3000, &[0])));
    exchange("/api", "post", &stand_ins::http_request(&query(3, "place-hold", 3000, &[1])));
    exchange("/api", "post", &stand_ins::http_request(&query(4, "place-hold", 300, &[2])));
    exchange("/api", "post", "POST /api HTTP/1.1\r\nContent-Length: 65537\r\n\r\n");
    exchange("/api", "post", &format!("POST /api HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(17_000)));
    // Two open queries count nine each, the query and its eight parts, so a third exceeds the limit. Their answers are
    // not read.
    let unanswered = [2, 3, 4, 5, 6, 7, 8, 9];
    let open =
        [5, 6].map(|id| stand_ins::send_query(program.http, query(id, "search", 60_000, &unanswered), drop));
    exchange("/api", "post", &stand_ins::http_request(&query(7, "search", 3000, &unanswered)));
    open.into_iter().for_each(|close| close());
    let described: BTreeSet<(String, String, u16)> = api["paths"]
        .as_object()
        .expect("paths")
        .iter()
        .flat_map(|(path, methods)| methods.as_object().expect("methods").iter().map(move |m| (path, m)))
        .flat_map(|(path, (method, operation))| {
            let statuses = operation["responses"].as_object().expect("responses").keys();
            statuses.map(move |s| (path.clone(), method.clone(), s.parse().expect("a status")))
        })
        .collect();
    // These two need a timeout of 2 s and a shutdown; the scenario tests cover them.
    let not_seen: Vec<_> =
        described.difference(&seen).map(|(path, _, status)| (path.as_str(), *status)).collect();
    assert_eq!(not_seen, [("/api", 408), ("/healthz", 503)]);
}

#[test]
fn backend_frames_match_their_asyncapi_description() {
    let api = read_json("api/asyncapi.json");
    let messages = &api["components"]["messages"];
    let validate_frame = |name: &str, bytes: &[u8]| {
        let message = &messages[name];
        let payload = std::str::from_utf8(&bytes[5..]).expect("text");
        assert_eq!(u32::from_be_bytes(bytes[..4].try_into().expect("a length")) as usize, bytes.len() - 4);
        assert_eq!(message["x-letter"], std::str::from_utf8(&bytes[4..5]).expect("a letter"), "{name}");
        jsonschema::validate(&message["payload"], &json!(payload)).unwrap_or_else(|e| panic!("{name}: {e}"));
    };
    let attempt = |shard: u32| AttemptRequest {
        table_query: mallowgauge_core::table_memory::TableQueryId(1),
        attempt: AttemptId { part: PartId(shard.into()), number: 0 },
        request_id: Rc::from("9b1f03aa5c7e2d41"),
        shard: ShardId(shard),
        deadline: 1_240_000,
        start_by: 1_240_000,
        body: b"c41e77d0".as_slice().into(),
    };
    validate_frame("call", &frames::call(1_000_000, &[attempt(3)]));
    validate_frame("call", &frames::call(1_000_000, &[attempt(3), attempt(4)]));
    validate_frame("giveUp", &frames::cancel(&frames::part_name(&attempt(3))));
    validate_frame("probe", &frames::health_check());
    let mut parsed = Vec::new();
    for name in ["end", "probed", "useless"] {
        for example in messages[name]["examples"].as_array().expect("examples") {
            let payload = example["payload"].as_str().expect("text");
            let letter = messages[name]["x-letter"].as_str().expect("a letter");
            let length = u32::try_from(payload.len() + 1).expect("a length").to_be_bytes();
            let bytes = [&length[..], letter.as_bytes(), payload.as_bytes()].concat();
            validate_frame(name, &bytes);
            parsed.push(format!(
                "{:?}",
                frames::read(&bytes).expect("a valid frame").expect("a complete frame").0
            ));
        }
    }
    assert_snapshot!(parsed.join("\n"), @r#"
    PartEnded { part: "9b1f03aa5c7e2d41.3", outcome: Succeeded, value: "5be2a07c19f04d63" }
    PartEnded { part: "9b1f03aa5c7e2d41.3", outcome: BackendError, value: "" }
    PartEnded { part: "9b1f03aa5c7e2d41.3", outcome: Rejected, value: "" }
    HealthChecked(true)
    HealthChecked(false)
    FrameRejected("too long")
    "#);
}

// Guards the on-call page: it lists exactly the info, warning and error lines that the program writes.
#[test]
fn on_call_page_lists_exactly_the_logged_lines() {
    let macros =
        Regex::new(r#"tracing::(info|warn|error)!\(\s*(?:query = \w+,\s*)?"([^"]*)""#).expect("a pattern");
    let holes = Regex::new(r"\{[^}]*\}").expect("a pattern");
    let mut written = BTreeSet::new();
    // Crates of the server; lines that only tests and tools write are not on the page.
    let parts = ["mallowgauge", "edge", "core", "net", "settings", "flight"];
    let folder = |part: &&str| Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(part).join("src");
    let mut folders: Vec<_> = parts.iter().map(folder).collect();
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).expect("a folder") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            let source = std::fs::read_to_string(path).expect("a source");
            for found in macros.captures_iter(&source) {
                written.insert((found[1].to_uppercase(), holes.replace_all(&found[2], "…").into_owned()));
            }
        }
    }
    let row = Regex::new(r"(?m)^\| (INFO|WARN|ERROR) \| `([^`]*)` \|").expect("a pattern");
    let page = read_text("docs/on-call.md");
    let listed: BTreeSet<_> =
        row.captures_iter(&page).map(|found| (found[1].to_owned(), found[2].to_owned())).collect();
    assert_eq!(listed, written);
}

// Guards the Flight conformance catalogue: every test that it names exists.
#[test]
fn flight_conformance_catalogue_names_existing_tests() {
    let name = Regex::new(r"\| `([a-z0-9_]+)`[^|`]*(?:`gatherer.rs` )?\| kept").expect("a pattern");
    let sources = ["flight.rs", "flight_hard.rs", "flight_issuer.rs", "flight_memory.rs", "gatherer.rs"]
        .map(|f| read_text(&format!("crates/mallowgauge/tests/{f}")));
    let page = read_text("docs/flight-conformance.md");
    let named: BTreeSet<&str> =
        name.captures_iter(&page).map(|found| found.get(1).expect("a name").as_str()).collect();
    assert!(named.len() > 20, "{named:?}");
    for test in named {
        assert!(sources.iter().any(|source| source.contains(&format!("fn {test}("))), "{test}");
    }
    assert_eq!(page.matches("| kept").count(), name.captures_iter(&page).count(), "a row that names no test");
}

// Guards the error report at startup: an invalid configuration ends the program with one line.
#[test]
fn invalid_configuration_is_reported_in_one_line() {
    let unused_addr = "127.0.0.1:1".parse().expect("an address");
    let valid_config = config(&[unused_addr; BACKENDS], unused_addr);
    let mut reports = Vec::new();
    let mut start = |path: &str, value: Value, operator: Value| {
        let mut config = valid_config.clone();
        if let Some(target) = config.pointer_mut(path) {
            *target = value;
        }
        let output = spawn(&config, &operator, 1024).0.wait_with_output().expect("an exit");
        let log = String::from_utf8(output.stdout).expect("text");
        let lines: Vec<&str> = log.lines().collect();
        assert_eq!(lines.len(), 1, "{log}");
        let reason = lines[0].split_once("fatal error: ").expect("the reason").1;
        let reason = reason.split_once(".json: ").map_or(reason, |(_, reason)| reason);
        reports.push(format!("{:?} {reason}", output.status.code()));
    };
    let without_flight = json!({"flight": {}});
    start("/settings", json!(3), without_flight.clone());
    start("/settings/TickUs", json!("soon"), without_flight.clone());
    start("/settings/Limits/MaxOpen", json!(0), without_flight.clone());
    start("/settings/FamilyInfo/ClassFloor", json!([1, 1, 2]), without_flight.clone());
    start("/listen", json!("nowhere"), without_flight.clone());
    start("/seed", json!("xyz"), without_flight.clone());
    start("/known/instances/0/lifecycle", json!("asleep"), without_flight.clone());
    start("/limits/sockets", json!(4), without_flight);
    start("", valid_config.clone(), json!({"flight": {"hosts": 3}}));
    start("", valid_config.clone(), json!({"flight": {"listen": "here"}}));
    assert_snapshot!(reports.join("\n"), @r#"
    Some(1) settings is not an object
    Some(1) settings.TickUs is not a whole number
    Some(1) settings.Limits.MaxOpen is zero or far too large
    Some(1) setting classes[2].floor lies outside 0 to 1
    Some(1) listen nowhere is not an address with a port
    Some(1) seed is not hex digits
    Some(1) known: s-0: lifecycle is none of active, leaving, left
    Some(1) limits.sockets is below 32
    Some(1) flight.hosts is neither a list of ids nor "all"
    Some(1) flight.listen here is not an address with a port
    "#);
}

// Guards the section `fleet` of the configuration: an invalid value ends the program with one line that names the key.
#[test]
fn invalid_fleet_section_is_reported_in_one_line() {
    let unused_addr = "127.0.0.1:1".parse().expect("an address");
    let valid_config = config(&[unused_addr; BACKENDS], unused_addr);
    let mut reports = Vec::new();
    let mut start = |path: &str, value: Value| {
        let mut fleet = json!({"fleet": read_json("deploy/fleet.json")["fleet"]});
        match path.rsplit_once('/') {
            Some((parent, key)) if fleet.pointer(parent).is_some_and(Value::is_object) => {
                fleet.pointer_mut(parent).expect("an object")[key] = value;
            }
            _ => *fleet.pointer_mut(path).expect("an existing key") = value,
        }
        let output = spawn(&valid_config, &fleet, 1024).0.wait_with_output().expect("an exit");
        let log = String::from_utf8(output.stdout).expect("text");
        assert_eq!(log.lines().count(), 1, "{log}");
        let reason = log.trim().split_once("fatal error: ").expect("the reason").1;
        let reason = reason.split_once(".json: ").expect("the file").1;
        reports.push(format!("{:?} {reason}", output.status.code()));
    };
    let same_address = json!({"name": "n9", "address": "127.0.0.1:7401"});
    let public_address = json!({"name": "n9", "address": "192.0.2.1:7401"});
    start("/fleet/name", json!("n9"));
    start("/fleet/nmae", json!("n1"));
    start("/fleet/peers/version", json!(0));
    start("/fleet/peers/list", json!([]));
    start("/fleet/peers/list/2", same_address);
    start("/fleet/peers/list/2", json!({"name": "n1", "address": "127.0.0.1:7409"}));
    start("/fleet/peers/list/2", json!({"name": "n3"}));
    start("/fleet/peers/list/2", public_address);
    start("/fleet/group", json!(2));
    start("/fleet/group", json!(5));
    start("/fleet/pace", json!({"probe_ms": 1}));
    start("/fleet/bounds", json!({"queue_kb": 1}));
    start("/fleet/listen", json!("nowhere"));
    start("/fleet/handover", json!({"life_ms": 1}));
    assert_snapshot!(reports.join("\n"), @r#"
    Some(1) fleet.name is "n9", not in the list
    Some(1) fleet.nmae is not known; there is name, listen, peers, group, anywhere, pace, bounds, handover
    Some(1) fleet.peers.version is not a whole number from 1 to 4294967295
    Some(1) fleet.peers.list holds 0, not 1 to 512 peers
    Some(1) fleet.peers.list.address of entry 2 is 127.0.0.1:7401, which an entry before it has
    Some(1) fleet.peers.list.name of entry 2 is "n1", which an entry before it has
    Some(1) fleet.peers.list.address of entry 2 is missing
    Some(1) fleet.peers.list.address of entry 2 is 192.0.2.1:7401, neither loopback nor private; links are neither signed nor encrypted, "anywhere": true allows it all the same
    Some(1) fleet.group is 2, not an odd number
    Some(1) fleet.group is 5, larger than the list of 3
    Some(1) fleet.pace.probe_ms is not a whole number from 10 to 60000
    Some(1) fleet.bounds.queue_kb is not a whole number from 16 to 1000000
    Some(1) fleet.listen nowhere is not an address with a port
    Some(1) fleet.handover.life_ms is not a whole number from 1000 to 600000
    "#);
}

// Guards the example of the section `fleet` and the JSON log: every line names the instance that wrote it.
#[test]
fn fleet_example_starts_and_its_log_lines_name_the_instance() {
    let unused_addr = "127.0.0.1:1".parse().expect("an address");
    let example = read_json("deploy/fleet.json");
    let (mut child, _) = spawn(&config(&[unused_addr; BACKENDS], unused_addr), &example, 1024);
    let lines = BufReader::new(child.stdout.take().expect("a pipe")).lines();
    let mut messages = Vec::new();
    for line in lines {
        let line: Value = serde_json::from_str(&line.expect("text")).expect("JSON");
        assert_eq!(line["span"]["gatherer"], "n1", "{line}");
        assert!(line["span"]["life"].as_str().is_some_and(|life| life.len() == 8), "{line}");
        messages.push(line["message"].as_str().expect("text").to_owned());
        if messages.last().is_some_and(|message| message.contains("Starting -> Serving")) {
            break;
        }
    }
    child.kill().expect("a process");
    child.wait().expect("an exit");
    assert!(
        messages.iter().any(|message| message.contains("as n1 of 3 in peer list version 1")),
        "{messages:#?}"
    );
}

// Guards the event loop against running out of file descriptors: it neither exits nor spins, and recovers.
#[test]
fn event_loop_recovers_from_running_out_of_descriptors() {
    assert_snapshot!(play_with_descriptors(Protocol::Http, 1024, 40, "
        send crowd 60
        expect log accepting client connections is paused
        close crowd
        send a search 3000 0
        expect part 0
        send part 0 good x
        expect a
    "), @r"
    log accepting client connections is paused
    part 0
    a: whole 0=x
    ");
}

// Guards returning clients against a flood of idle connections, and the connection limits, which follow the configured
// ones: a kept connection stays open, and file descriptors do not run out.
#[test]
fn flood_of_idle_connections_evicts_only_its_own_connections() {
    assert_snapshot!(play_with_descriptors(Protocol::Http, 64, 64, r"
        send raw GET /nothing HTTP/1.1\r\n\r\n
        expect raw
        send crowd 120
        wait 300
        send more GET /nothing HTTP/1.1\r\n\r\n
        expect raw
        send a search 3000 0
        expect part 0
        send part 0 good x
        expect a
        expect no log Too many open files
    "), @r"
    raw 404
    raw 404
    part 0
    a: whole 0=x
    ");
}

// Guards the platform's access to the program: clients that send one request and stay connected hold no more than their
// share of the connections.
#[test]
fn idle_client_connections_are_limited() {
    assert_snapshot!(play_with_descriptors(Protocol::Http, 64, 64, "
        send asked 30
        expect staying
    "), @r"
    staying 8
    ");
}

// Guards against losing a request that arrives just before its connection is evicted for another: the connection is
// read once more before it is closed, and the request is answered.
#[test]
fn request_already_received_is_answered_before_its_connection_is_evicted() {
    assert_snapshot!(play_with_descriptors(Protocol::Http, 64, 64, r"
        send raw GET /nothing HTTP/1.1\r\n\r\n
        expect raw
        send asked 7
        send stop
        send crowd 1
        send more GET /nothing HTTP/1.1\r\n\r\n
        send cont
        expect raw
    "), @r"
    raw 404
    raw 404
    ");
}
