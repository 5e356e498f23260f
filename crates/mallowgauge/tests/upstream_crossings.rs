//! Events on connections to hosts that cross: what is told, withdrawn, answered or cut in the very moment in
//! which something is on its way. Each order is forced by what hosts, discovery and clients send and wait for.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mallowgauge_testkit::manual_peers::{
    accept, addr, frame, limit_receive_buffer, query, Connection, Part, StalledListener, TestBed,
};
use serde_json::{json, Value};

/// Beyond a second, after which a SYN is sent again.
const DIAL: u64 = 2_500_000;

/// Dials may take long, and of the hosts in the saved list only the first is active.
fn first_alone(file: &mut Value) {
    file["settings"]["Limits"]["DialTimeoutUs"] = json!(DIAL);
    let hosts = file["known"]["instances"].as_array_mut().expect("hosts");
    hosts.iter_mut().skip(1).for_each(|host| host["lifecycle"] = json!("leaving"));
}

fn class(file: &mut Value, name: &str) -> usize {
    let classes = file["settings"]["Classes"].as_array().expect("classes");
    classes.iter().position(|class| class["Name"] == name).expect("a class")
}

/// Discovery's first call, which waits for news.
fn watch(rig: &TestBed) -> Connection {
    let mut watch = accept(&rig.discovery);
    assert!(watch.head().contains("index="));
    watch
}

/// A client's question, on its way.
fn ask(rig: &TestBed, id: &str, kind: &str, ms: u64, shards: &[u32]) -> Connection {
    let mut client = rig.client();
    client.send(query(id, kind, ms, shards));
    client
}

fn status(client: &mut Connection) -> u16 {
    client.response().expect("an answer").0
}

/// The program has looked at its clients since this was called.
fn turn(rig: &TestBed) {
    let mut client = rig.client();
    client.send("GET /healthz HTTP/1.1\r\n\r\n");
    assert_eq!(status(&mut client), 200);
}

fn only(mut parts: Vec<Part>) -> Part {
    assert_eq!(parts.len(), 1, "{parts:?}");
    parts.remove(0)
}

/// Serves a part that comes next on this connection.
fn serve(host: &mut Connection) {
    let part = only(host.next_parts());
    host.answer_part(&part, "good", "x");
}

// ---- a dial that comes up late ----

// Guards the time that a host is told: what is left when the frame is written, and not what was left in the
// turn that queued it behind a dial.
#[test]
fn a_call_that_waited_for_its_dial_tells_what_is_left() {
    let rig = TestBed::start(1, first_alone);
    let held = StalledListener::stall(&rig.backends[0]);
    let _client = ask(&rig, "1", "search", 3_000, &[0]);
    held.wait_for_attempts(1);
    let since = Instant::now();
    std::thread::sleep(Duration::from_millis(500));
    let waited = since.elapsed().as_millis() as u64;
    let part = only(held.release().next_parts());
    assert!(part.timeout_ms <= 3_000 - waited, "{part:?} after {waited} ms");
}

// The same for `grpc-timeout`.
#[test]
fn a_stream_that_waited_for_its_dial_tells_what_is_left() {
    let rig = TestBed::start_with_flight(1, first_alone);
    let held = StalledListener::stall(&rig.backends[0]);
    let _client = ask(&rig, "1", "search", 3_000, &[0]);
    held.wait_for_attempts(1);
    let since = Instant::now();
    std::thread::sleep(Duration::from_millis(500));
    let waited = since.elapsed().as_micros() as u64;
    let lines = held.release().read_first_stream_headers();
    let told = lines.iter().find(|(name, _)| name == "grpc-timeout").expect("a time").1.clone();
    let told: u64 = told.strip_suffix('u').and_then(|us| us.parse().ok()).expect("microseconds");
    assert!(told <= 3_000_000 - waited, "{told} us after {waited} us");
}

/// A hold waits for the first host's dial; then discovery tells this of the hosts. The hold has to go to the
/// second at once, and nothing is left that could come up at the first.
fn a_hold_moves(mut news: impl FnMut(&TestBed) -> (bool, Vec<Value>), told: &str, start: fn(&mut Value)) {
    let rig = TestBed::start(2, start);
    let held = StalledListener::stall(&rig.backends[0]);
    let mut discovery = watch(&rig);
    let mut client = ask(&rig, "1", "place-hold", 3_500, &[0]);
    held.wait_for_attempts(1);
    let (whole, hosts) = news(&rig);
    discovery.send_endpoint_list(2, whole, &hosts);
    rig.wait_for_log(told);
    serve(&mut accept(&rig.backends[1]));
    assert_eq!(status(&mut client), 200);
    held.wait_for_attempts(0);
}

// Guards a host that drains against what waited for its dial: that goes elsewhere, effect or not, since it
// has never run.
#[test]
fn nothing_that_waited_for_a_dial_goes_to_a_host_that_drains() {
    let news = |rig: &TestBed| (false, vec![rig.endpoint(0, "leaving"), rig.endpoint(1, "active")]);
    a_hold_moves(news, "backend s-0 is Draining", first_alone);
}

#[test]
fn nothing_that_waited_for_a_dial_goes_to_a_host_that_has_left() {
    let news = |rig: &TestBed| (false, vec![rig.endpoint(0, "left"), started(rig.endpoint(1, "active"), 1)]);
    a_hold_moves(news, "backend s-1 is Ready", first_alone);
}

// What a whole list does not name is gone.
#[test]
fn nothing_that_waited_for_a_dial_goes_to_a_host_that_the_list_lacks() {
    let news = |rig: &TestBed| (true, vec![started(rig.endpoint(1, "active"), 1)]);
    a_hold_moves(news, "backend s-1 is Ready", first_alone);
}

// Guards the shards of another host that has got the address: parts go where their host is now.
#[test]
fn nothing_that_waited_for_a_dial_goes_to_the_address_that_a_host_had() {
    let news = |rig: &TestBed| {
        let mut moved = started(rig.endpoint(0, "active"), 1);
        moved["hostPort"] = json!(addr(&rig.backends[1]).to_string());
        (false, vec![moved])
    };
    a_hold_moves(news, "backend s-0 is Ready", |file| {
        first_alone(file);
        file["known"]["instances"].as_array_mut().expect("hosts").truncate(1);
    });
}

fn started(mut host: Value, at: u64) -> Value {
    host["startedAtMs"] = json!(at);
    host
}

/// A client asks and leaves while the dial hangs; nothing may be written once that comes up.
fn a_client_leaves_a_dial(cancel: bool) {
    let rig = TestBed::start(1, |file| {
        first_alone(file);
        file["settings"]["Limits"]["Cancel"] = json!(cancel);
    });
    let held = StalledListener::stall(&rig.backends[0]);
    let client = ask(&rig, "1", "place-hold", 3_500, &[0, 1]);
    held.wait_for_attempts(1);
    drop(client);
    turn(&rig);
    assert!(held.release().is_closed_by_peer(), "nobody waits for anything here");
}

// Guards hosts against work that nobody waits for, and holds against an effect that nobody hears of.
#[test]
fn nothing_is_written_for_a_client_that_left_while_its_dial_hung() {
    a_client_leaves_a_dial(true);
}

// Where hosts are not told what is given up, a part that was not written is withdrawn all the same.
#[test]
fn nothing_is_written_for_a_client_that_left_where_attempts_are_not_called_off() {
    a_client_leaves_a_dial(false);
}

// Guards the window in which a repeat is dropped: one that waited for its dial beyond it is not written.
#[test]
fn a_repeat_that_waited_beyond_its_window_is_not_written() {
    let rig = TestBed::start(2, |file| {
        first_alone(file);
        let hold = class(file, "place-hold");
        file["settings"]["Classes"][hold]["Semantics"] = json!("guarded");
        file["settings"]["Classes"][hold]["WindowUs"] = json!(600_000);
    });
    let held = StalledListener::stall(&rig.backends[1]);
    let mut discovery = watch(&rig);
    let mut client = ask(&rig, "1", "place-hold", 3_500, &[0]);
    let mut first = accept(&rig.backends[0]);
    only(first.next_parts());
    discovery.send_endpoint_list(2, false, &[started(rig.endpoint(1, "active"), 1)]);
    rig.wait_for_log("backend s-1 is Ready");
    first.reset();
    held.wait_for_attempts(1);
    std::thread::sleep(Duration::from_millis(600));
    assert!(held.release().is_closed_by_peer(), "the window is over");
    assert!([429, 503].contains(&status(&mut client)), "it may be tried again");
}

// Guards the window against an attempt that is written after its copy: both could have an effect.
#[test]
fn an_attempt_that_waits_for_its_dial_is_taken_back_for_its_copy() {
    let rig = TestBed::start(2, |file| {
        first_alone(file);
        let hold = class(file, "place-hold");
        file["settings"]["Classes"][hold]["Semantics"] = json!("guarded");
        file["settings"]["Limits"]["Probing"] = json!(false);
        // Longer than what makes the hold overdue.
        file["settings"]["Limits"]["ConnIdleUs"] = json!(2_000_000);
    });
    let held = StalledListener::stall(&rig.backends[0]);
    let mut discovery = watch(&rig);
    let _client = ask(&rig, "1", "place-hold", 3_500, &[0]);
    held.wait_for_attempts(1);
    discovery.send_endpoint_list(2, false, &[started(rig.endpoint(1, "active"), 1)]);
    rig.wait_for_log("backend s-1 is Ready");
    // Beside answers that came since it was sent, it is overdue.
    let mut other = ask(&rig, "2", "search", 3_000, &[0]);
    let mut second = accept(&rig.backends[1]);
    serve(&mut second);
    assert_eq!(status(&mut other), 200);
    for id in ["3", "4"] {
        other.send(query(id, "search", 3_000, &[0]));
        serve(&mut second);
        assert_eq!(status(&mut other), 200);
    }
    assert_eq!(only(second.next_parts()).id, "1.0");
    assert!(held.release().is_closed_by_peer(), "its copy runs in its place");
}

// A dial that has nothing to carry any more gives way where no other place is left.
#[test]
fn a_dial_that_nobody_waits_for_gives_its_place_to_a_call() {
    // Ten places for connections to hosts, at which all dials but those to the last hang.
    let rig = TestBed::start(12, |file| {
        file["settings"]["Limits"]["DialTimeoutUs"] = json!(DIAL);
        file["limits"]["sockets"] = json!(32);
        file["settings"]["FamilyInfo"]["Places"] = json!(12);
        file["settings"]["FamilyInfo"]["Shards"] = json!(12);
        file["settings"]["FamilyInfo"]["Width"] = json!(1);
    });
    let held: Vec<StalledListener<'_>> = rig.backends[..10].iter().map(StalledListener::stall).collect();
    for (shard, host) in held.iter().enumerate() {
        let client = ask(&rig, &format!("{shard}"), "search", 3_500, &[shard as u32]);
        host.wait_for_attempts(1);
        drop(client);
    }
    turn(&rig);
    let mut client = ask(&rig, "11", "search", 3_500, &[11]);
    serve(&mut accept(&rig.backends[11]));
    assert_eq!(status(&mut client), 200);
}

// ---- a connection that ends ----

// Guards a hold against a kept connection that was reset before it: nothing was written there.
#[test]
fn a_reset_before_the_frame_costs_nothing() {
    let rig = TestBed::start(1, first_alone);
    let mut client = ask(&rig, "1", "place-hold", 3_000, &[0]);
    let mut host = accept(&rig.backends[0]);
    serve(&mut host);
    assert_eq!(status(&mut client), 200);
    host.reset();
    client.send(query("2", "place-hold", 3_000, &[0]));
    serve(&mut accept(&rig.backends[0]));
    assert_eq!(status(&mut client), 200);
}

/// A hold and a search are on their way when this happens to their connection: the hold fails and is not sent
/// again, the search is.
fn after_the_frame(happens: fn(Connection, &Part)) {
    let rig = TestBed::start(1, first_alone);
    let mut client = ask(&rig, "1", "place-hold", 3_000, &[0]);
    let mut host = accept(&rig.backends[0]);
    let part = only(host.next_parts());
    happens(host, &part);
    assert!(![200, 429, 503].contains(&status(&mut client)), "it may have run");
    client.send(query("2", "search", 3_000, &[0]));
    let mut host = accept(&rig.backends[0]);
    // The hold would have come first.
    let part = only(host.next_parts());
    assert_eq!(part.id, "2.0");
    happens(host, &part);
    let mut host = accept(&rig.backends[0]);
    assert_eq!(only(host.next_parts()).id, "2.0");
    host.answer_part(&part, "good", "x");
    assert_eq!(status(&mut client), 200);
}

#[test]
fn a_reset_after_the_frame_leaves_it_open_whether_it_ran() {
    after_the_frame(|host, _| host.reset());
}

// Half an answer is none, however good it looks, and whether the end behind it is clean or a reset.
#[test]
fn half_a_line_at_the_close_is_no_answer() {
    after_the_frame(|mut host, part| {
        let answer = frame(b'q', &format!("{} good 0 -\nx", part.id));
        host.send(&answer[..answer.len() - 4]);
    });
}

#[test]
fn an_answer_short_of_its_last_byte_is_no_answer() {
    after_the_frame(|mut host, part| {
        let answer = frame(b'q', &format!("{} good 0 -\nxy", part.id));
        host.send(&answer[..answer.len() - 1]);
    });
}

// Guards what has come in whole against the end behind it.
#[test]
fn a_whole_answer_counts_though_the_connection_ends_behind_it() {
    let rig = TestBed::start(1, first_alone);
    let mut client = ask(&rig, "1", "place-hold", 3_000, &[0]);
    let mut host = accept(&rig.backends[0]);
    serve(&mut host);
    drop(host);
    assert_eq!(status(&mut client), 200);
}

// Guards what is out on a connection against an answer for what was given up there.
#[test]
fn an_answer_for_a_part_given_up_takes_nothing_from_the_next() {
    let rig = TestBed::start(1, first_alone);
    let client = ask(&rig, "1", "search", 3_000, &[0]);
    let mut host = accept(&rig.backends[0]);
    let late = only(host.next_parts());
    drop(client);
    assert_eq!(host.frame(), Some((b'n', late.id.clone())));
    let mut client = ask(&rig, "2", "place-hold", 3_000, &[0]);
    // While the place of the first may still be taken, the next gets a connection of its own.
    let mut other = accept(&rig.backends[0]);
    host.answer_part(&late, "good", "late");
    serve(&mut other);
    assert_eq!(client.response().expect("an answer").1.matches("late").count(), 0);
    assert!(host.is_closed_by_peer(), "by its rest, and not before");
}

// Guards the loop against a host that never ends its answers: a second copy is passed over, but not for ever.
#[test]
fn answers_without_end_end_their_connection() {
    let rig = TestBed::start(1, |file| {
        first_alone(file);
        file["settings"]["Limits"]["ConnIdleUs"] = json!(60_000_000);
    });
    let mut client = ask(&rig, "1", "search", 3_000, &[0]);
    let mut host = accept(&rig.backends[0]);
    let part = only(host.next_parts());
    host.answer_part(&part, "good", "x");
    assert_eq!(status(&mut client), 200);
    client.send(query("2", "search", 3_000, &[0]));
    assert_eq!(only(host.next_parts()).id, "2.0");
    let copy = frame(b'q', &format!("{} good 0 util=0.5\nx", part.id));
    host.send(copy.repeat(1_000));
    assert!(host.is_closed_by_peer(), "more answers than were asked for");
    serve(&mut accept(&rig.backends[0]));
    assert_eq!(status(&mut client), 200);
}

// ---- a host that comes back ----

// Guards a hold against a connection to a process that is no more: nobody has closed it where the machine
// vanished, and the first word on it would be met by a reset.
#[test]
fn a_kept_connection_to_a_process_before_the_last_start_is_closed() {
    let rig = TestBed::start(1, |file| {
        first_alone(file);
        file["settings"]["Limits"]["ConnIdleUs"] = json!(60_000_000);
        // What has just started is not cold here.
        file["settings"]["Safety"]["FallUs"] = json!(1);
        file["settings"]["Safety"]["WarmWithinUs"] = json!(1);
    });
    let mut discovery = watch(&rig);
    let mut client = ask(&rig, "1", "place-hold", 3_000, &[0]);
    let mut host = accept(&rig.backends[0]);
    serve(&mut host);
    assert_eq!(status(&mut client), 200);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis() as u64;
    discovery.send_endpoint_list(2, false, &[started(rig.endpoint(0, "active"), now + 1)]);
    rig.wait_for_log("backend s-0 is Ready");
    client.send(query("2", "place-hold", 3_000, &[0]));
    serve(&mut accept(&rig.backends[0]));
    assert_eq!(status(&mut client), 200);
    assert!(host.is_closed_by_peer(), "nothing more is due to the process before");
}

// ---- room on a connection ----

// Guards against a frame that comes whole after all who waited for it have left: it is cut, and nothing
// behind it is written.
#[test]
fn a_frame_half_written_for_clients_that_left_is_not_completed() {
    // Twelve places for connections to twelve hosts, of which one is active: there is one connection to it.
    let rig = TestBed::start(12, |file| {
        first_alone(file);
        file["settings"]["Limits"]["MaxOpen"] = json!(1000);
        file["settings"]["Limits"]["MaxStreams"] = json!(1000);
        file["limits"]["sockets"] = json!(64);
    });
    limit_receive_buffer(&rig.backends[0]);
    // Ten parts of 60,000 bytes each: more than a socket holds for a host that does not read.
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
        let mut client = rig.client();
        client.send(large(id));
        clients.push(client);
    }
    let mut host = accept(&rig.backends[0]);
    turn(&rig);
    drop(clients);
    turn(&rig);
    let mut whole = 0;
    while let Some((letter, _)) = host.frame() {
        whole += usize::from(letter == b'm');
    }
    assert!(whole < 8, "the last frames are not written");
}
