//! Malformed input from backends and discovery. Runs the real program; malformed input may only cost its
//! sender the connection, and must not affect others.

use std::time::Duration;

use mallowgauge_testkit::manual_peers::{
    accept, accept_within, endpoint_list, frame, query, Connection, TestBed,
};
use serde_json::{json, Value};

/// The next connection to any of the backends.
fn accept_from_any_backend(test_bed: &TestBed) -> Connection {
    let next = |listener| accept_within(listener, Duration::from_millis(10));
    let mut rounds = (0..500).flat_map(|_| &test_bed.backends);
    rounds.find_map(next).expect("the program connects")
}

/// Answers every part and every health check on this connection.
fn answer_all(mut backend: Connection) {
    std::thread::spawn(move || {
        while let Some((letter, text)) = backend.frame() {
            match (letter, text.split_once(' ')) {
                (b'm', Some((part, _))) => backend.send(frame(b'q', &format!("{part} good 0 -\nvalue"))),
                (b'o', _) => backend.send(frame(b'o', "good")),
                _ => {}
            }
        }
    });
}

fn health_status(test_bed: &TestBed) -> Option<u16> {
    let mut client = test_bed.client();
    client.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    client.response().map(|(status, _)| status)
}

// Guards against a crash of the program by one backend: the response to a health check whose length was one
// byte longer than its text was treated as complete, a byte that had not arrived was read, and the program
// ended.
#[test]
fn malformed_backend_input_only_closes_its_connection() {
    let inputs = [
        b"\0\0\0\x06ogood".to_vec(),
        b"\0\0\0\0".to_vec(),
        b"\xff\xff\xff\xffq".to_vec(),
        b"\0\0\0\x05ogooX".to_vec(),
        b"\0\0\x10\0r".to_vec(),
        frame(b'q', "other.0 good 1 -\nvalue"),
        frame(b'q', "no line that ends"),
        frame(b'z', "q"),
        frame(b'r', "some\nwords\r\n"),
        vec![0xff; 5000],
    ];
    for malformed in inputs {
        let test_bed = TestBed::start(3, |_| {});
        let mut client = test_bed.client();
        client.send(query("q", "search", 4000, &[0]));
        let mut backend = accept_from_any_backend(&test_bed);
        assert_eq!(backend.next_parts().pop().map(|part| part.id).as_deref(), Some("q.0"));
        backend.send(&malformed);
        backend.reset();
        // The part is retried at another or the same backend. Meanwhile there may be health checks.
        let answer = std::thread::spawn(move || client.response());
        while !answer.is_finished() {
            let next = |listener| accept_within(listener, Duration::from_millis(5));
            test_bed.backends.iter().filter_map(next).for_each(answer_all);
        }
        let (status, body) = answer.join().expect("a client").expect("an answer");
        let body: Value = serde_json::from_str(&body).expect("JSON");
        assert_eq!((status, &body["answers"][0]["blob"]), (200, &json!("value")), "{malformed:?}");
        assert_eq!(health_status(&test_bed), Some(200), "{malformed:?}");
        let log = test_bed.program.log.lock().expect("the log");
        assert!(log.iter().all(|line| line != "words"), "a backend wrote a line of the log: {log:#?}");
    }
}

/// Accepts the next request for a list, on this connection or on a new one.
fn accept_list_request(test_bed: &TestBed, mut discovery: Option<Connection>) -> Connection {
    loop {
        let mut connection = discovery.take().unwrap_or_else(|| accept(&test_bed.discovery));
        if connection.try_read_head().is_some() {
            return connection;
        }
    }
}

#[test]
fn lists_are_read_in_every_encoding_and_after_malformed_ones() {
    let test_bed = TestBed::start(2, |_| {});
    let mut generation = 1;
    // A list that adds one backend, whose name appears in the log.
    let mut next = |form: &str| {
        generation += 1;
        let mut added = test_bed.endpoint(0, "active");
        added["instanceId"] = json!(format!("new-{form}"));
        let instances = [test_bed.endpoint(0, "active"), test_bed.endpoint(1, "active"), added];
        endpoint_list(generation, true, &instances)
    };
    let head = "HTTP/1.1 200 OK\r\n";
    let sized = |body: &str| format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    let chunks = |body: &str| -> String {
        let each = body.bytes().map(|byte| format!("1\r\n{}\r\n", byte as char)).collect::<String>();
        format!("{head}Transfer-Encoding: chunked\r\n\r\n{each}0\r\n\r\n")
    };
    let wait_until_listed = |form: &str| test_bed.wait_for_log(&format!("backend new-{form} has index"));

    let mut connection = accept_list_request(&test_bed, None);
    for byte in sized(&next("bytes")).bytes() {
        connection.send([byte]);
    }
    wait_until_listed("bytes");

    connection = accept_list_request(&test_bed, Some(connection));
    let value: Value = serde_json::from_str(&next("indented")).expect("JSON");
    connection.send(sized(&format!("\n\n  {value:#}\n")));
    wait_until_listed("indented");

    connection = accept_list_request(&test_bed, Some(connection));
    connection.send(chunks(&next("chunked")));
    wait_until_listed("chunked");

    // Without a length, the end of the connection is the end of the list.
    connection = accept_list_request(&test_bed, Some(connection));
    connection.send(format!("{head}\r\n{}", next("open")));
    drop(connection);
    wait_until_listed("open");

    // A malformed or incomplete list fails its request; the next list is applied as usual.
    let endless = format!("{head}Transfer-Encoding: chunked\r\n\r\n200000\r\n{}", " ".repeat(1 << 20));
    let truncated = format!("{head}\r\n{}", &next("cut")[..90]);
    let cases = [
        ("empty", sized(""), true),
        ("nothing", sized("{}"), true),
        (
            "spoilt",
            sized("{\"generation\":9,\"reset\":true,\"instances\":[{\"instanceId\":\"a\nb\"}]}"),
            true,
        ),
        ("cut", truncated, false),
        ("garbled", "\r\n\0HTTP".to_owned(), true),
        ("endless", endless, true),
    ];
    let mut connection = None;
    for (form, bytes, expects_close) in cases {
        let mut broken = accept_list_request(&test_bed, connection.take());
        // The chunk's length alone exceeds the limit: the connection may close while its megabyte is written.
        let closed_while_writing = if form == "endless" {
            broken.send_until_closed(&bytes)
        } else {
            broken.send(&bytes);
            false
        };
        if expects_close {
            assert!(closed_while_writing || broken.is_closed_by_peer(), "{form}");
        }
        drop(broken);
        let mut valid = accept_list_request(&test_bed, None);
        valid.send(sized(&next(form)));
        wait_until_listed(form);
        connection = Some(valid);
    }
    assert_eq!(health_status(&test_bed), Some(200));
}
