//! Races on connections to backends: endpoint changes, cancellations, responses and connection failures while
//! an attempt is queued or in flight. Runs the real program; the test plays its backends, discovery and
//! clients, and forces each order of events by what these send and wait for.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mallowgauge_testkit::manual_peers::{
    accept, addr, frame, limit_receive_buffer, query, Connection, Part, StalledListener, TestBed,
};
use serde_json::{json, Value};

/// Interval of the core's batches in a test that waits for one.
const BATCH_INTERVAL: Duration = Duration::from_millis(5);
/// Longer than a second, after which the kernel sends a SYN again.
const CONNECT_TIMEOUT_US: u64 = 2_500_000;

/// Allows slow connects, and leaves only the first backend of the cached snapshot active.
fn with_one_active_backend(file: &mut Value) {
    file["settings"]["Limits"]["DialTimeoutUs"] = json!(CONNECT_TIMEOUT_US);
    let instances = file["known"]["instances"].as_array_mut().expect("instances");
    instances.iter_mut().skip(1).for_each(|instance| instance["lifecycle"] = json!("leaving"));
}

fn class_index(file: &mut Value, name: &str) -> usize {
    let classes = file["settings"]["Classes"].as_array().expect("classes");
    classes.iter().position(|class| class["Name"] == name).expect("a class")
}

/// Accepts the first request to discovery, which waits for a change.
fn accept_watch(test_bed: &TestBed) -> Connection {
    let mut watch = accept(&test_bed.discovery);
    assert!(watch.head().contains("index="));
    watch
}

/// Submits a query. Returns the client's connection.
fn submit(test_bed: &TestBed, id: &str, kind: &str, ms: u64, shards: &[u32]) -> Connection {
    let mut client = test_bed.client();
    client.send(query(id, kind, ms, shards));
    client
}

fn response_status(client: &mut Connection) -> u16 {
    client.response().expect("a response").0
}

/// Returns once the program has read from its clients since the call.
fn wait_for_client_read(test_bed: &TestBed) {
    let mut client = test_bed.client();
    client.send("GET /healthz HTTP/1.1\r\n\r\n");
    assert_eq!(response_status(&mut client), 200);
}

fn only_part(mut parts: Vec<Part>) -> Part {
    assert_eq!(parts.len(), 1, "{parts:?}");
    parts.remove(0)
}

/// Answers the next part on this connection.
fn answer_next_part(backend: &mut Connection) {
    let part = only_part(backend.next_parts());
    backend.answer_part(&part, "good", "x");
}

// ---- slow connects ----

// Guards against an outdated timeout: a frame carries the time left when it is written, not the time left in
// the event-loop iteration that queued it for a connection.
#[test]
fn frame_sent_after_a_slow_connect_carries_the_time_left() {
    let test_bed = TestBed::start(1, with_one_active_backend);
    let stalled = StalledListener::stall(&test_bed.backends[0]);
    let _client = submit(&test_bed, "1", "search", 3_000, &[0]);
    stalled.wait_for_attempts(1);
    let started_at = Instant::now();
    std::thread::sleep(Duration::from_millis(500));
    let waited_ms = started_at.elapsed().as_millis() as u64;
    let part = only_part(stalled.release().next_parts());
    assert!(part.timeout_ms <= 3_000 - waited_ms, "{part:?} after {waited_ms} ms");
}

// The same for the `grpc-timeout` header.
#[test]
fn stream_opened_after_a_slow_connect_carries_the_time_left() {
    let test_bed = TestBed::start_with_flight(1, with_one_active_backend);
    let stalled = StalledListener::stall(&test_bed.backends[0]);
    let _client = submit(&test_bed, "1", "search", 3_000, &[0]);
    stalled.wait_for_attempts(1);
    let started_at = Instant::now();
    std::thread::sleep(Duration::from_millis(500));
    let waited_us = started_at.elapsed().as_micros() as u64;
    let lines = stalled.release().read_first_stream_headers();
    let sent_timeout =
        lines.iter().find(|(name, _)| name == "grpc-timeout").expect("a grpc-timeout header").1.clone();
    let sent_timeout: u64 =
        sent_timeout.strip_suffix('u').and_then(|us| us.parse().ok()).expect("microseconds");
    assert!(sent_timeout <= 3_000_000 - waited_us, "{sent_timeout} us after {waited_us} us");
}

/// Queues a non-idempotent query for a connection to the first backend, then sends an endpoint list. The
/// query has to be sent to the second backend at once, and no connect to the first may be left.
fn assert_queued_attempt_moves(
    mut next_list: impl FnMut(&TestBed) -> (bool, Vec<Value>),
    expected_log: &str,
    configure: fn(&mut Value),
) {
    let test_bed = TestBed::start(2, configure);
    let stalled = StalledListener::stall(&test_bed.backends[0]);
    let mut discovery = accept_watch(&test_bed);
    let mut client = submit(&test_bed, "1", "place-hold", 3_500, &[0]);
    stalled.wait_for_attempts(1);
    let (snapshot, instances) = next_list(&test_bed);
    discovery.send_endpoint_list(2, snapshot, &instances);
    test_bed.wait_for_log(expected_log);
    answer_next_part(&mut accept(&test_bed.backends[1]));
    assert_eq!(response_status(&mut client), 200);
    stalled.wait_for_attempts(0);
}

// Guards against sending queued attempts to a draining backend. They go to another replica, also those of
// non-idempotent queries, since they were not executed.
#[test]
fn queued_attempt_moves_from_a_draining_backend() {
    let next_list =
        |test_bed: &TestBed| (false, vec![test_bed.endpoint(0, "leaving"), test_bed.endpoint(1, "active")]);
    assert_queued_attempt_moves(next_list, "backend s-0 is Draining", with_one_active_backend);
}

#[test]
fn queued_attempt_moves_from_a_removed_backend() {
    let next_list = |test_bed: &TestBed| {
        (false, vec![test_bed.endpoint(0, "left"), with_start_time(test_bed.endpoint(1, "active"), 1)])
    };
    assert_queued_attempt_moves(next_list, "backend s-1 is Ready", with_one_active_backend);
}

// A snapshot removes the backends that it does not list.
#[test]
fn queued_attempt_moves_from_a_backend_missing_in_a_snapshot() {
    let next_list = |test_bed: &TestBed| (true, vec![with_start_time(test_bed.endpoint(1, "active"), 1)]);
    assert_queued_attempt_moves(next_list, "backend s-1 is Ready", with_one_active_backend);
}

// Guards against sending parts to an address that another backend, with other shards, may have by now:
// attempts go to the present address of their backend.
#[test]
fn queued_attempt_moves_to_the_new_address_of_its_backend() {
    let next_list = |test_bed: &TestBed| {
        let mut moved = with_start_time(test_bed.endpoint(0, "active"), 1);
        moved["hostPort"] = json!(addr(&test_bed.backends[1]).to_string());
        (false, vec![moved])
    };
    assert_queued_attempt_moves(next_list, "backend s-0 is Ready", |file| {
        with_one_active_backend(file);
        file["known"]["instances"].as_array_mut().expect("instances").truncate(1);
    });
}

fn with_start_time(mut instance: Value, start_ms: u64) -> Value {
    instance["startedAtMs"] = json!(start_ms);
    instance
}

/// Disconnects a client while the connect for its query is pending. Nothing may be written once the connect
/// succeeds.
fn assert_nothing_is_sent_after_disconnect(cancel: bool) {
    let test_bed = TestBed::start(1, |file| {
        with_one_active_backend(file);
        file["settings"]["Limits"]["Cancel"] = json!(cancel);
    });
    let stalled = StalledListener::stall(&test_bed.backends[0]);
    let client = submit(&test_bed, "1", "place-hold", 3_500, &[0, 1]);
    stalled.wait_for_attempts(1);
    drop(client);
    wait_for_client_read(&test_bed);
    assert!(stalled.release().is_closed_by_peer(), "the only client has disconnected");
}

// Guards against useless work on backends, and against executing a non-idempotent query whose client would
// not learn of it.
#[test]
fn nothing_is_written_for_a_client_that_disconnected_during_a_connect() {
    assert_nothing_is_sent_after_disconnect(true);
}

// Cancellation of attempts at backends is disabled here; a part that is not written yet is revoked
// nevertheless.
#[test]
fn nothing_is_written_for_a_disconnected_client_where_cancellation_is_disabled() {
    assert_nothing_is_sent_after_disconnect(false);
}

// Guards the window in which backends deduplicate a query that is idempotent under a key: a retry that was
// queued beyond it is not written.
#[test]
fn retry_queued_beyond_its_window_is_not_written() {
    let test_bed = TestBed::start(2, |file| {
        with_one_active_backend(file);
        let class = class_index(file, "place-hold");
        file["settings"]["Classes"][class]["Semantics"] = json!("guarded");
        file["settings"]["Classes"][class]["WindowUs"] = json!(600_000);
    });
    let stalled = StalledListener::stall(&test_bed.backends[1]);
    let mut discovery = accept_watch(&test_bed);
    let mut client = submit(&test_bed, "1", "place-hold", 3_500, &[0]);
    let mut first = accept(&test_bed.backends[0]);
    only_part(first.next_parts());
    discovery.send_endpoint_list(2, false, &[with_start_time(test_bed.endpoint(1, "active"), 1)]);
    test_bed.wait_for_log("backend s-1 is Ready");
    first.reset();
    stalled.wait_for_attempts(1);
    std::thread::sleep(Duration::from_millis(600));
    assert!(stalled.release().is_closed_by_peer(), "the deduplication window is over");
    assert!([429, 503].contains(&response_status(&mut client)), "the client may retry");
}

// Guards the deduplication window: an attempt written after its hedge could be executed in addition to it.
#[test]
fn queued_attempt_is_revoked_before_its_hedge_is_sent() {
    let test_bed = TestBed::start(2, |file| {
        with_one_active_backend(file);
        let class = class_index(file, "place-hold");
        file["settings"]["Classes"][class]["Semantics"] = json!("guarded");
        file["settings"]["Limits"]["Probing"] = json!(false);
        // Longer than the time after which the query is hedged.
        file["settings"]["Limits"]["ConnIdleUs"] = json!(2_000_000);
    });
    let stalled = StalledListener::stall(&test_bed.backends[0]);
    let mut discovery = accept_watch(&test_bed);
    let _client = submit(&test_bed, "1", "place-hold", 3_500, &[0]);
    stalled.wait_for_attempts(1);
    discovery.send_endpoint_list(2, false, &[with_start_time(test_bed.endpoint(1, "active"), 1)]);
    test_bed.wait_for_log("backend s-1 is Ready");
    // Responses to later queries make the queued attempt overdue.
    let mut other = submit(&test_bed, "2", "search", 3_000, &[0]);
    let mut second = accept(&test_bed.backends[1]);
    answer_next_part(&mut second);
    assert_eq!(response_status(&mut other), 200);
    for id in ["3", "4"] {
        other.send(query(id, "search", 3_000, &[0]));
        answer_next_part(&mut second);
        assert_eq!(response_status(&mut other), 200);
    }
    assert_eq!(only_part(second.next_parts()).id, "1.0");
    assert!(stalled.release().is_closed_by_peer(), "its hedge replaces it");
}

// A pending connect that no attempt waits for any more is dropped when the connection limit is reached.
#[test]
fn unused_connect_is_dropped_for_a_waiting_attempt() {
    // At most ten connections to backends; the connects to the first ten backends stay pending.
    let test_bed = TestBed::start(12, |file| {
        file["settings"]["Limits"]["DialTimeoutUs"] = json!(CONNECT_TIMEOUT_US);
        file["limits"]["sockets"] = json!(32);
        file["settings"]["FamilyInfo"]["Places"] = json!(12);
        file["settings"]["FamilyInfo"]["Shards"] = json!(12);
        file["settings"]["FamilyInfo"]["Width"] = json!(1);
    });
    let stalled: Vec<StalledListener<'_>> =
        test_bed.backends[..10].iter().map(StalledListener::stall).collect();
    for (shard, backend) in stalled.iter().enumerate() {
        let client = submit(&test_bed, &format!("{shard}"), "search", 3_500, &[shard as u32]);
        backend.wait_for_attempts(1);
        drop(client);
    }
    wait_for_client_read(&test_bed);
    let mut client = submit(&test_bed, "11", "search", 3_500, &[11]);
    answer_next_part(&mut accept(&test_bed.backends[11]));
    assert_eq!(response_status(&mut client), 200);
}

// ---- connections that end ----

// Guards against failing a non-idempotent query because its idle connection was reset before the query was
// written.
#[test]
fn reset_before_the_frame_is_written_is_harmless() {
    let test_bed = TestBed::start(1, with_one_active_backend);
    let mut client = submit(&test_bed, "1", "place-hold", 3_000, &[0]);
    let mut backend = accept(&test_bed.backends[0]);
    answer_next_part(&mut backend);
    assert_eq!(response_status(&mut client), 200);
    // The reset has to arrive before the query: a busy machine can deliver it late, after the frame was written.
    test_bed.pause();
    backend.reset();
    client.send(query("2", "place-hold", 3_000, &[0]));
    test_bed.resume();
    answer_next_part(&mut accept(&test_bed.backends[0]));
    assert_eq!(response_status(&mut client), 200);
}

/// Lets the connection fail with a non-idempotent and then with an idempotent query in flight: the first
/// fails and is not retried, the second is retried.
fn assert_possibly_executed_after(fail: fn(Connection, &Part)) {
    let test_bed = TestBed::start(1, with_one_active_backend);
    let mut client = submit(&test_bed, "1", "place-hold", 3_000, &[0]);
    let mut backend = accept(&test_bed.backends[0]);
    let part = only_part(backend.next_parts());
    fail(backend, &part);
    assert!(![200, 429, 503].contains(&response_status(&mut client)), "possibly executed");
    client.send(query("2", "search", 3_000, &[0]));
    let mut backend = accept(&test_bed.backends[0]);
    // A retry of the non-idempotent query would come first.
    let part = only_part(backend.next_parts());
    assert_eq!(part.id, "2.0");
    fail(backend, &part);
    let mut backend = accept(&test_bed.backends[0]);
    assert_eq!(only_part(backend.next_parts()).id, "2.0");
    backend.answer_part(&part, "good", "x");
    assert_eq!(response_status(&mut client), 200);
}

#[test]
fn reset_after_the_frame_is_written_means_possibly_executed() {
    assert_possibly_executed_after(|backend, _| backend.reset());
}

// A truncated response is not accepted, however complete its text seems, and whether the connection ends by a
// close or a reset.
#[test]
fn response_cut_within_its_header_line_is_not_accepted() {
    assert_possibly_executed_after(|mut backend, part| {
        let response = frame(b'q', &format!("{} good 0 -\nx", part.id));
        backend.send(&response[..response.len() - 4]);
    });
}

#[test]
fn response_cut_before_its_last_byte_is_not_accepted() {
    assert_possibly_executed_after(|mut backend, part| {
        let response = frame(b'q', &format!("{} good 0 -\nxy", part.id));
        backend.send(&response[..response.len() - 1]);
    });
}

// Guards against dropping a complete response because the connection ends after it.
#[test]
fn complete_response_counts_if_the_connection_ends_after_it() {
    let test_bed = TestBed::start(1, with_one_active_backend);
    let mut client = submit(&test_bed, "1", "place-hold", 3_000, &[0]);
    let mut backend = accept(&test_bed.backends[0]);
    answer_next_part(&mut backend);
    drop(backend);
    assert_eq!(response_status(&mut client), 200);
}

// Guards against matching a late response to a cancelled part with another part on the same connection.
#[test]
fn late_response_to_a_cancelled_part_does_not_affect_the_next_part() {
    let test_bed = TestBed::start(1, with_one_active_backend);
    let client = submit(&test_bed, "1", "search", 3_000, &[0]);
    let mut backend = accept(&test_bed.backends[0]);
    let late = only_part(backend.next_parts());
    drop(client);
    assert_eq!(backend.frame(), Some((b'n', late.id.clone())));
    let mut client = submit(&test_bed, "2", "place-hold", 3_000, &[0]);
    // While the response to the first part may still come, the next part uses another connection.
    let mut other = accept(&test_bed.backends[0]);
    backend.answer_part(&late, "good", "late");
    answer_next_part(&mut other);
    assert_eq!(client.response().expect("a response").1.matches("late").count(), 0);
    assert!(backend.is_closed_by_peer(), "closed after the idle time, not before");
}

// Guards the event loop against a backend that sends responses without end: a duplicate response is ignored,
// but not an unlimited number of them.
#[test]
fn connection_with_endless_responses_is_closed() {
    let test_bed = TestBed::start(1, |file| {
        with_one_active_backend(file);
        file["settings"]["Limits"]["ConnIdleUs"] = json!(60_000_000);
    });
    let mut client = submit(&test_bed, "1", "search", 3_000, &[0]);
    let mut backend = accept(&test_bed.backends[0]);
    let part = only_part(backend.next_parts());
    backend.answer_part(&part, "good", "x");
    assert_eq!(response_status(&mut client), 200);
    client.send(query("2", "search", 3_000, &[0]));
    assert_eq!(only_part(backend.next_parts()).id, "2.0");
    let duplicate = frame(b'q', &format!("{} good 0 util=0.5\nx", part.id));
    backend.send(duplicate.repeat(1_000));
    assert!(backend.is_closed_by_peer(), "more responses than requests");
    answer_next_part(&mut accept(&test_bed.backends[0]));
    assert_eq!(response_status(&mut client), 200);
}

// ---- restarted backends ----

// Guards against sending a non-idempotent query on a connection to a former process of the backend: after a
// crash of its machine nobody has closed the connection, and the first bytes on it would be answered by a
// reset.
#[test]
fn idle_connection_to_a_restarted_backend_is_closed() {
    let test_bed = TestBed::start(1, |file| {
        with_one_active_backend(file);
        file["settings"]["Limits"]["ConnIdleUs"] = json!(60_000_000);
        // Ends slow start at once.
        file["settings"]["Safety"]["FallUs"] = json!(1);
        file["settings"]["Safety"]["WarmWithinUs"] = json!(1);
    });
    let mut discovery = accept_watch(&test_bed);
    let mut client = submit(&test_bed, "1", "place-hold", 3_000, &[0]);
    let mut backend = accept(&test_bed.backends[0]);
    answer_next_part(&mut backend);
    assert_eq!(response_status(&mut client), 200);
    let unix_ms = || SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis() as u64;
    let start_ms = unix_ms() + 1;
    discovery.send_endpoint_list(2, false, &[with_start_time(test_bed.endpoint(0, "active"), start_ms)]);
    test_bed.wait_for_log("backend s-0 is Ready");
    // A backend whose start is still ahead is warming up, and the query would be rejected.
    while unix_ms() <= start_ms + 1 {
        std::thread::sleep(Duration::from_millis(1));
    }
    client.send(query("2", "place-hold", 3_000, &[0]));
    answer_next_part(&mut accept(&test_bed.backends[0]));
    assert_eq!(response_status(&mut client), 200);
    assert!(backend.is_closed_by_peer(), "the connection to the former process is closed");
}

// ---- send buffers ----

// Guards against completing a partly written frame after all clients that waited for it have disconnected: it
// stays incomplete, and nothing is written after it.
#[test]
fn partly_written_frame_of_disconnected_clients_is_not_completed() {
    // At most twelve connections to twelve backends, of which one is active: it gets one connection.
    let test_bed = TestBed::start(12, |file| {
        with_one_active_backend(file);
        file["settings"]["TickUs"] = json!(BATCH_INTERVAL.as_micros() as u64);
        file["settings"]["Limits"]["MaxOpen"] = json!(1000);
        file["settings"]["Limits"]["MaxStreams"] = json!(1000);
        file["limits"]["sockets"] = json!(64);
    });
    limit_receive_buffer(&test_bed.backends[0]);
    // Ten parts of 60,000 bytes each: more than the socket buffers hold while the backend does not read.
    let large = |id: usize| {
        let text = "x".repeat(60_000);
        let ranges: Vec<Value> = (0..10).map(|s| json!({"range": s, "portion": 0.1})).collect();
        let body = json!({"ranges": ranges, "predicate": text}).to_string();
        format!(
            "POST /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Kind: search\r\n\
             Req-Deadline-Ms: 3500\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let mut clients: Vec<Connection> = Vec::new();
    for id in 0..8 {
        let mut client = test_bed.client();
        client.send(large(id));
        clients.push(client);
    }
    let mut backend = accept(&test_bed.backends[0]);
    wait_for_client_read(&test_bed);
    // Every disconnect has to arrive before the backend reads, which lets the program write the rest.
    test_bed.pause();
    drop(clients);
    test_bed.resume();
    wait_for_client_read(&test_bed);
    // They take effect in the core's next batch. Of two further iterations the first or the second runs it.
    std::thread::sleep(4 * BATCH_INTERVAL);
    wait_for_client_read(&test_bed);
    wait_for_client_read(&test_bed);
    // Parts of several queries share a frame, so that bytes are counted, not frames.
    let mut received_bytes = 0;
    while let Some((letter, content)) = backend.frame() {
        received_bytes += if letter == b'm' { content.len() } else { 0 };
    }
    assert!(received_bytes < 8 * 10 * 60_000, "all parts are written: {received_bytes} bytes");
}

// ---- responses whose length is too short ----

/// Answers the parts of a query for these shards. The response to the last one has a length that is `missing` bytes
/// too short, or that to the first one if another `follows` it. Returns the status and the body that the client
/// receives; every later attempt of a search is answered.
fn response_after_short_length(kind: &str, shards: &[u32], follows: bool, missing: usize) -> (u16, String) {
    let test_bed = TestBed::start(1, |_| {});
    let mut client = submit(&test_bed, "1", kind, 3_000, shards);
    let mut first = accept(&test_bed.backends[0]);
    let mut parts = first.next_parts();
    assert_eq!(parts.len(), shards.len(), "{parts:?}");
    let cut = if follows { parts.remove(0) } else { parts.pop().expect("a part") };
    if !follows {
        parts.iter().for_each(|part| first.answer_part(part, "good", "1840277719"));
    }
    let mut spoilt = frame(b'q', &format!("{} good 0 util=0.5\n1840277719", cut.id));
    let length = u32::from_be_bytes([spoilt[0], spoilt[1], spoilt[2], spoilt[3]]) - missing as u32;
    spoilt[..4].copy_from_slice(&length.to_be_bytes());
    first.send(spoilt);
    assert!(first.is_closed_by_peer(), "the connection is of no further use");
    if kind == "search" {
        let mut unanswered = if follows { shards.len() } else { 1 };
        let mut second = accept(&test_bed.backends[0]);
        while unanswered > 0 {
            for part in second.next_parts() {
                second.answer_part(&part, "good", "1840277719");
                unanswered -= 1;
            }
        }
    }
    client.response().expect("a response")
}

// Guards against serving a value that its response's length cuts short: the bytes behind it are no frame, and another
// part waits for one, or they are text as the value is.
#[test]
fn value_cut_by_a_short_length_is_not_served() {
    for (follows, missing) in [(true, 1), (true, 3), (true, 6), (false, 1), (false, 6)] {
        let place = format!("{missing} bytes missing, another part follows: {follows}");
        let (status, body) = response_after_short_length("search", &[0, 1], follows, missing);
        assert_eq!((status, body.matches("1840277719").count()), (200, 2), "{place}: {body}");
        let (status, body) = response_after_short_length("place-hold", &[0, 1], follows, missing);
        assert_eq!(status, 502, "{place}: {body}");
    }
}

// Guards against rejecting a good response for what follows it where nothing else is awaited, which may be noise.
#[test]
fn response_with_noise_behind_it_counts_if_nothing_else_is_awaited() {
    for noise in [&b"\xff\xff noise"[..], b"\0", b"\x1b[2J", b"\0\0\0\0"] {
        let test_bed = TestBed::start(1, |_| {});
        let mut client = submit(&test_bed, "1", "place-hold", 3_000, &[0]);
        let mut backend = accept(&test_bed.backends[0]);
        let part = only_part(backend.next_parts());
        let response = frame(b'q', &format!("{} good 0 util=0.5\n1840277719", part.id));
        backend.send([&response[..], noise].concat());
        let (status, body) = client.response().expect("a response");
        assert!(status == 200 && body.contains("1840277719"), "{noise:?}: {status} {body}");
    }
}
