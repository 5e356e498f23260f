//! Scenarios for the core alone on a simulated clock, and tests of the parsers, the lifecycle and the backend
//! registry.

use bytes::Bytes;
use insta::assert_snapshot;
use mallowgauge_edge::backend_registry::BackendRegistry;
use mallowgauge_edge::front::http1;
use mallowgauge_edge::lifecycle::Lifecycle;
use mallowgauge_edge::upstream::frames;
use mallowgauge_flight::answer::{Stream, StreamOptions};
use mallowgauge_flight::grpc::Deframer;
use mallowgauge_flight::proto::FlightData;
use mallowgauge_flight::{ipc, rows};
use mallowgauge_router::ShardId;
use mallowgauge_settings::endpoint_list::parse;
use mallowgauge_testkit::core_scenario::play_in_core;
use prost::Message;
use serde_json::{json, Value};

// Guards the number of calls: all attempts that a batch sends to one backend share a call, also across queries.
#[test]
fn attempts_of_a_batch_share_a_call() {
    assert_snapshot!(play_in_core("
        wait 10
        send a search 3000 0 1 2 3
        send b search 3000 4 5
        wait 5
        expect
    "), @r"
    0 ms WatchEndpoints
    10 ms call host 0 [0, 4]
    10 ms call host 1 [1]
    10 ms call host 2 [2, 3, 5]
    ");
}

// Guards against a batch for each event: the next batch starts one tick after the last.
#[test]
fn events_wait_for_the_next_batch() {
    assert_snapshot!(play_in_core("
        wait 10
        send a search 3000 0
        wait 1
        send b search 3000 1
        wait 1
        send c search 3000 2
        wait 10
        expect
    "), @r"
    0 ms WatchEndpoints
    10 ms call host 0 [0]
    15 ms call host 1 [1, 2]
    ");
}

#[test]
fn answer_is_sent_in_the_batch_after_the_last_part() {
    assert_snapshot!(play_in_core("
        send a place-hold 3000 0 1
        wait 100
        send part 0 good x
        wait 100
        send part 1 good y
        wait 100
        expect
    "), @r"
    0 ms WatchEndpoints
    5 ms call host 0 [0]
    5 ms call host 1 [1]
    200 ms a: whole 0=x 1=y
    ");
}

// Guards against a delayed failure: a non-idempotent query that cannot be retried is answered in the batch in which
// its part fails.
#[test]
fn non_idempotent_query_fails_at_once_and_cancels_its_other_parts() {
    assert_snapshot!(play_in_core("
        send a place-hold 3000 0 1
        wait 100
        send part 0 bad
        wait 3000
        expect
    "), @r"
    0 ms WatchEndpoints
    5 ms call host 0 [0]
    5 ms call host 1 [1]
    100 ms a: PartsFailed
    100 ms abandon host 1
    2600 ms HealthCheck(BackendId(0))
    ");
}

#[test]
fn deadline_exceeded_is_answered_before_the_deadline() {
    assert_snapshot!(play_in_core("
        send a place-hold 400 0
        wait 1000
        expect
    "), @r"
    0 ms WatchEndpoints
    5 ms call host 0 [0]
    390 ms a: DeadlineExceeded
    390 ms abandon host 0
    ");
}

#[test]
fn query_of_a_disconnected_client_gets_no_answer() {
    assert_snapshot!(play_in_core("
        send a search 3000 0
        wait 100
        close a
        wait 100
        send b search 3000 0
        wait 100
        send part 0 good x
        wait 100
        expect
    "), @r"
    0 ms WatchEndpoints
    5 ms call host 0 [0]
    100 ms abandon host 0
    200 ms call host 2 [0]
    300 ms b: whole 0=x
    ");
}

// Guards the limit on open work: queries and parts are both counted, and a query that ends releases its share.
#[test]
fn open_queries_and_parts_are_limited() {
    assert_snapshot!(play_in_core("
        send a search 3000 0 1 2 3 4 5 6 7 8
        send b search 3000 0 1 2 3 4 5 6 7 8
        send c search 3000 0
        wait 100
        close a
        send d search 3000 0 1 2 3 4 5 6 7 8
        wait 100
        expect
    "), @r"
    0 ms WatchEndpoints
    0 ms c: refused, untouched
    5 ms call host 0 [0, 4, 5, 0, 1, 2, 5, 6, 8]
    5 ms call host 1 [1, 8, 4, 7]
    5 ms call host 2 [2, 3, 6, 7, 3]
    100 ms call host 0 [3, 6, 7, 8]
    100 ms call host 1 [0]
    100 ms call host 2 [1, 2, 4, 5]
    100 ms abandon host 0
    100 ms abandon host 1
    100 ms abandon host 2
    100 ms abandon host 2
    100 ms abandon host 0
    100 ms abandon host 0
    100 ms abandon host 2
    100 ms abandon host 2
    100 ms abandon host 1
    ");
}

// A query's id is part of its attempts' names on the backend connections, so two open queries must not share one.
#[test]
fn id_of_an_open_query_is_rejected() {
    assert_snapshot!(play_in_core("
        send a search 3000 0
        send a search 3000 0
        wait 100
        expect
    "), @r#"
    0 ms WatchEndpoints
    0 ms a: Invalid("a query of this id is open")
    5 ms call host 0 [0]
    "#);
}

#[test]
fn expired_deadline_is_answered_at_once() {
    assert_snapshot!(play_in_core("
        send a search 0 0
        expect
    "), @r"
    0 ms WatchEndpoints
    0 ms a: DeadlineExceeded
    ");
}

// Guards the limit on open queries: a client that asks for a very long timeout occupies a slot no longer than its
// class allows.
#[test]
fn query_ends_by_the_deadline_of_its_class() {
    assert_snapshot!(play_in_core("
        send a place-hold 3600000 0
        wait 10000
        expect
    "), @r"
    0 ms WatchEndpoints
    5 ms call host 0 [0]
    3990 ms a: DeadlineExceeded
    3990 ms abandon host 0
    ");
}

// Guards the start times that slow start depends on: discovery sends Unix milliseconds, the core uses microseconds, and
// 0 means unknown.
#[test]
fn endpoint_list_is_parsed() {
    let list = serde_json::json!({"generation": 41, "reset": true, "instances": [
        {"instanceId": "s-a", "hostPort": "127.0.0.1:7070", "zone": "a", "cell": 3, "lifecycle": "active",
         "startedAtMs": 1_700_000_000_123_u64},
        {"instanceId": "s-b", "hostPort": "127.0.0.1:7071", "cell": 4, "lifecycle": "leaving",
         "startedAtMs": 0},
        {"instanceId": "s-c", "lifecycle": "left"}]});
    let list = mallowgauge_settings::endpoint_list::parse(&list).expect("a valid endpoint list");
    let backends = list
        .backends
        .iter()
        .map(|b| format!("{} {} {:?} {:?}", b.id, b.ring_position, b.state, b.started_at));
    assert_snapshot!(backends.collect::<Vec<_>>().join("\n"), @r"
    s-a 3 Ready Some(1700000000123000)
    s-b 4 Draining None
    s-c 0 Removed None
    ");
}

/// Limits of the tables in the tests, with room for any valid sample.
const COLLECTOR_LIMITS: ipc::CollectorLimits =
    ipc::CollectorLimits { decoded_bytes: 1 << 20, shard_column_bytes: 1 << 20 };

// Guards the process against hostile input: no mutated bytes make a parser panic or loop forever.
#[test]
fn mutated_input_is_parsed_or_rejected() {
    let values = [(ShardId(3), "5be2a07c19f04d63".into())];
    let mut stream = Stream::new(&values, StreamOptions::default()).expect("an encodable table");
    let message = || stream.next_message().expect("an encodable message").map(|pieces| pieces.concat());
    let table = std::iter::from_fn(message).collect::<Vec<_>>().concat();
    let samples: [&[u8]; 5] = [
        b"POST /api HTTP/1.1\r\nReq-Id: 1\r\nContent-Length: 4\r\n\r\n{}{}",
        b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\n{}\r\n0\r\nA: b\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}\n",
        b"\x00\x00\x00\x15q1.3 good 0 -\n5be2a07c",
        &table,
    ];
    let mut rng = fastrand::Rng::with_seed(11);
    let mut accepted = [0; 4];
    for _ in 0..20_000 {
        let mut bytes = samples[rng.usize(..samples.len())].to_vec();
        for _ in 0..rng.usize(..4) {
            let at = rng.usize(..bytes.len());
            match rng.u8(..3) {
                0 => bytes[at] = rng.u8(..),
                1 => bytes.truncate(at.max(1)),
                _ => bytes.insert(at, rng.u8(..)),
            }
        }
        let mut input = bytes.clone();
        if let Ok(Some((_, mut body))) = http1::read_request(&mut input) {
            accepted[0] += u32::from(matches!(body.take(&mut input), Ok(Some(_))));
        }
        accepted[1] += u32::from(matches!(http1::read_response(&bytes, true), Ok(Some(_))));
        accepted[2] += u32::from(matches!(frames::read(&bytes), Ok(Some(_))));
        let (mut messages, mut reader) = (Deframer::new(1 << 16), ipc::Collector::new(COLLECTOR_LIMITS));
        messages.push(&bytes);
        while let Ok(Some(message)) = messages.next_message() {
            let Ok(data) = FlightData::decode(Bytes::from(message.to_vec())) else { break };
            accepted[3] += 1;
            if reader.push(data).is_err() {
                break;
            }
        }
        // A table that passes the checks is forwarded, and its receiver decodes it.
        if let Some(table) = reader.finish() {
            for message in &table.messages {
                ipc::with_shard_column(message, ShardId(3)).expect("a checked batch stays valid");
            }
            drop(rows::decode_batches(&table.schema, &table.messages));
        }
    }
    // Enough samples of each kind stay valid for the parsers to get past the first lines.
    assert!(accepted.iter().all(|&count| count > 1_000), "{accepted:?}");
}

// Guards requests that are read just before the exit: the phases never pass from draining to stopped without checking
// whether a request is unanswered.
#[test]
fn server_stops_only_once_all_requests_are_answered() {
    let mut lifecycle = Lifecycle::new(3_000_000);
    let mut seen = vec![format!("{:?}", lifecycle.phase())];
    let mut see = |lifecycle: &Lifecycle| seen.push(format!("{:?}", lifecycle.phase()));
    lifecycle.start_serving();
    see(&lifecycle);
    lifecycle.stop_unless_busy(false);
    see(&lifecycle);
    lifecycle.request_shutdown(1_000_000);
    see(&lifecycle);
    lifecycle.connection_accepted(1_500_000);
    assert!(!lifecycle.handle_timeout(1_700_000), "connections are still being accepted");
    assert!(lifecycle.handle_timeout(1_800_000));
    see(&lifecycle);
    lifecycle.stop_unless_busy(true);
    see(&lifecycle);
    lifecycle.stop_unless_busy(false);
    see(&lifecycle);
    assert_snapshot!(seen.join(", "), @r"
    Starting, Serving, Serving, Draining, Finishing, Finishing, Stopped
    ");
}

// Guards the times of the shutdown, with short and long deadlines: the platform kills the process no sooner than the
// longest deadline, of which at most 3 s count, plus 0.7 s.
#[test]
fn last_answer_precedes_the_earliest_kill() {
    let (requested_at, second) = (10_000_000, 1_000_000);
    let end = |longest| {
        let mut lifecycle = Lifecycle::new(longest);
        lifecycle.start_serving();
        assert_eq!(lifecycle.answer_deadline(), None);
        lifecycle.request_shutdown(requested_at);
        // A second signal changes nothing, and clients never stop connecting.
        lifecycle.request_shutdown(requested_at + second);
        lifecycle.connection_accepted(requested_at + 10 * second);
        (
            lifecycle.poll_timeout().map(|at| at - requested_at),
            lifecycle.answer_deadline().map(|at| at - requested_at),
        )
    };
    assert_eq!(end(300_000), (Some(800_000), Some(900_000)));
    assert_eq!(end(3_000_000), (Some(2_000_000), Some(3_600_000)));
    assert_eq!(end(60_000_000), (Some(2_000_000), Some(3_600_000)));
}

// Guards against malformed frames from backends: each is rejected as soon as the fault is visible, before the rest of
// the frame arrives. An unreadable load report does not invalidate a good value.
#[test]
fn malformed_frames_are_rejected() {
    let with_length = |length: u32, rest: &[u8]| [&length.to_be_bytes()[..], b"q", rest].concat();
    let complete = |rest: &[u8]| with_length(rest.len() as u32 + 1, rest);
    let samples = [
        complete(b"1.3 good 7 util=0.61\nvalue"),
        complete(b"1.3 good 7 \xff = \nvalue"),
        complete(b"1.3 good 7 -\nv\xfflue"),
        complete(b"1.3 good -\nvalue"),
        complete(b"1.3 good much -\nvalue"),
        complete(b"1.3 fine 7 -\nvalue"),
        with_length(900, b"1.3 fine 7 -\nva"),
        with_length(900, b"1.3 good 7 -\nva"),
        with_length(9_000, &[b'x'; 2_000]),
        with_length(3_000_000_000, b"1.3 good 7 -\nva"),
        b"\0\0\0\x06ogood!".to_vec(),
    ];
    let read = |bytes: &Vec<u8>| match frames::read(bytes) {
        Ok(found) => format!("{:?}", found.map(|(message, _)| message)),
        Err(error) => error.to_string(),
    };
    assert_snapshot!(samples.iter().map(read).collect::<Vec<_>>().join("\n"), @r#"
    Some(PartEnded { part: "1.3", outcome: Succeeded, value: "value" })
    Some(PartEnded { part: "1.3", outcome: Succeeded, value: "value" })
    value is not valid UTF-8
    response header line is malformed
    response header line is malformed
    response has an unknown outcome
    response has an unknown outcome
    None
    response header line is unterminated or too long
    frame length is zero or exceeds the limit
    health check response has an unknown status
    "#);
}

// Guards against memory growth over long runs: the name of a backend that was removed, or that a snapshot lacks, is
// deleted, and its id is not reused.
#[test]
fn removed_backends_are_deregistered() {
    let mut registry = BackendRegistry::default();
    let mut seen = Vec::new();
    let mut apply = |reset: bool, listed: &[(&str, &str)]| {
        let instance = |(name, state): &(&str, &str)| json!({"instanceId": name, "hostPort": "127.0.0.1:1", "cell": 0, "lifecycle": state});
        let instances: Vec<Value> = listed.iter().map(instance).collect();
        let list = parse(&json!({"generation": 1, "reset": reset, "instances": instances}))
            .expect("a valid endpoint list");
        let update = registry.apply(&list);
        let listed: Vec<String> =
            update.listed.iter().map(|(id, backend)| format!("{}={}", backend.id, id.0)).collect();
        let removed: Vec<u32> = update.removed.iter().map(|id| id.0).collect();
        seen.push(format!("{} removed {removed:?}", listed.join(" ")));
    };
    apply(true, &[("a", "active"), ("b", "active"), ("c", "active")]);
    apply(false, &[("a", "left"), ("d", "active")]);
    apply(false, &[("a", "left"), ("a", "active")]);
    apply(true, &[("b", "leaving"), ("a", "active")]);
    assert_snapshot!(seen.join("\n"), @r"
    a=0 b=1 c=2 removed []
    a=0 d=3 removed [0]
    a=4 removed []
    b=1 a=4 removed [2, 3]
    ");
}
