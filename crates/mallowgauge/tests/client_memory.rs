//! Hundreds of HTTP clients that each cost as much as they can. A limit has to hold before its memory is spent, and a
//! client with a small query gets its answer beside them.

use std::time::{Duration, Instant};

use mallowgauge_testkit::manual_peers::{answer_all_parts, query, query_with_text, Connection, TestBed};
use serde_json::json;

/// The memory that the program may use, in MB: the least on the platform.
const MEMORY_MB: u64 = 32;
/// HTTP clients, nearly as many as that allows.
const CLIENTS: usize = 200;
/// Length of a query's text: its body is below the 64 KiB that a body may have.
const TEXT_BYTES: usize = 65_400;
/// How much a client sends behind its query.
const AHEAD_BYTES: usize = 79_000;
/// Size of a value that still fits into a frame.
const VALUE_BYTES: usize = 60_000;

/// Starts the program with backends that answer each part with this value after this time.
fn start(work: Duration, value: String) -> TestBed {
    let test_bed = TestBed::start_without_flight(3, |file| {
        file["limits"]["memory_mb"] = json!(MEMORY_MB);
        file["settings"]["Limits"]["MaxOpen"] = json!(2_000);
    });
    test_bed.backends.iter().for_each(|backend| answer_all_parts(backend, work, value.clone()));
    test_bed
}

/// Checks that the program has stayed within its memory, and that it answers a small query meanwhile.
fn assert_unharmed(test_bed: &TestBed) {
    let (status, body) = ask_usual_query(test_bed);
    assert_eq!(status, 200, "{body}");
    assert_within_memory(test_bed);
}

fn ask_usual_query(test_bed: &TestBed) -> (u16, String) {
    let mut client = test_bed.client();
    client.send(query("usual", "search", 3_000, &[0]));
    client.response().expect("an answer")
}

fn assert_within_memory(test_bed: &TestBed) {
    let peak_kb = test_bed.program.peak_memory_kb();
    assert!(peak_kb < MEMORY_MB * 1024, "{peak_kb} KB");
}

fn unique_query(number: usize, text: &str, shards: &[u32]) -> String {
    query_with_text(&format!("crowd-{number}"), "search", 3_000, shards, text)
}

// Guards against clients that end the program by its memory limit: each sends a valid query of the largest size, and right
// behind it the beginning of its next ones.
#[test]
fn crowd_of_large_queries_stays_within_the_memory() {
    let test_bed = start(Duration::from_secs(2), "x".to_owned());
    let text = "x".repeat(TEXT_BYTES);
    let ahead = &unique_query(CLIENTS, &text, &[0]).repeat(2)[..AHEAD_BYTES];
    let mut crowd: Vec<Connection> = (0..CLIENTS).map(|_| test_bed.client()).collect();
    for (number, client) in crowd.iter_mut().enumerate() {
        client.send(unique_query(number, &text, &[0]));
    }
    for piece in ahead.as_bytes().chunks(2_000) {
        for client in &mut crowd {
            client.send_until_closed(piece);
        }
    }
    let mut answered = 0;
    for client in &mut crowd {
        let (status, _) = client.response().expect("each query has a final answer");
        assert!([200, 413, 503].contains(&status), "{status}");
        answered += usize::from(status == 200);
    }
    assert!(answered > 0);
    let (status, body) = ask_usual_query(&test_bed);
    assert!([200, 503].contains(&status), "{status} {body}");
    assert_within_memory(&test_bed);
}

// Guards against clients that stop half way through a large request, write slowly, or send heads of many short fields.
#[test]
fn crowd_of_unfinished_requests_stays_within_the_memory() {
    let test_bed = start(Duration::ZERO, "x".to_owned());
    let fields: String = (0..58).map(|field| format!("a{field}: {field}\r\n")).collect();
    let text = "x".repeat(TEXT_BYTES);
    let request = unique_query(0, &text, &[0]).replace("Req-Id", &format!("{fields}Req-Id"));
    let mut crowd: Vec<Connection> = (0..CLIENTS).map(|_| test_bed.client()).collect();
    let stops_at = request.len() - 900;
    for client in &mut crowd {
        client.send(&request[..stops_at]);
    }
    for piece in request.as_bytes()[stops_at..].chunks(100).take(8) {
        for client in &mut crowd {
            client.send_until_closed(piece);
        }
        assert_unharmed(&test_bed);
    }
    // None of them has sent its whole request in its time; some are closed for the usual clients.
    for (status, _) in crowd.iter_mut().filter_map(Connection::response) {
        assert!([408, 503].contains(&status), "{status}");
    }
}

// Guards against large values of many open queries, and against clients that do not read them.
#[test]
fn crowd_of_unread_responses_stays_within_the_memory() {
    let test_bed = start(Duration::ZERO, "x".repeat(VALUE_BYTES));
    let shards: Vec<u32> = (0..10).collect();
    let mut crowd = Vec::new();
    for number in 0..CLIENTS {
        let mut client = Connection::connect_with_small_buffer(test_bed.program.http);
        client.send(unique_query(number, "c41e77d0", &shards));
        crowd.push(client);
    }
    let deadline = Instant::now() + Duration::from_secs(4);
    while Instant::now() < deadline {
        assert_within_memory(&test_bed);
        std::thread::sleep(Duration::from_millis(50));
    }
    crowd.clear();
    // The memory is available again once the program has seen that they left.
    let deadline = Instant::now() + Duration::from_secs(4);
    while ask_usual_query(&test_bed).0 != 200 {
        assert!(Instant::now() < deadline, "still refused");
    }
    assert_within_memory(&test_bed);
}
