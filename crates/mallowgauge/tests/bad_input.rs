//! Hostile and broken peers of the real program: what they send costs them their own connection and nobody else
//! anything.

use std::time::Duration;

use mallowgauge_testkit::manual_peers::{
    accept, accept_within, endpoint_list, frame, query, Connection, TestBed,
};
use serde_json::{json, Value};

/// The next connection to any of the hosts.
fn called(rig: &TestBed) -> Connection {
    let next = |host| accept_within(host, Duration::from_millis(10));
    let mut tries = (0..500).flat_map(|_| &rig.backends);
    tries.find_map(next).expect("the program connects")
}

/// A host that answers everything well.
fn serve(mut host: Connection) {
    std::thread::spawn(move || {
        while let Some((letter, text)) = host.frame() {
            match (letter, text.split_once(' ')) {
                (b'm', Some((part, _))) => host.send(frame(b'q', &format!("{part} good 0 -\nvalue"))),
                (b'o', _) => host.send(frame(b'o', "good")),
                _ => {}
            }
        }
    });
}

fn health(rig: &TestBed) -> Option<u16> {
    let mut client = rig.client();
    client.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    client.response().map(|(status, _)| status)
}

// Guards against what one host can do to the whole program: the answer to a probe whose length promises one byte more
// than its word has was taken for whole, with a byte that had not come, and the program ended there.
#[test]
fn what_a_host_says_wrongly_costs_only_its_connection() {
    let odd = [
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
    for odd in odd {
        let rig = TestBed::start(3, |_| {});
        let mut client = rig.client();
        client.send(query("q", "search", 4000, &[0]));
        let mut host = called(&rig);
        assert_eq!(host.next_parts().pop().map(|part| part.id).as_deref(), Some("q.0"));
        host.send(&odd);
        host.reset();
        // The part is asked of another, or of the same host again; it may be looked after by probes meanwhile.
        let answer = std::thread::spawn(move || client.response());
        while !answer.is_finished() {
            let next = |host| accept_within(host, Duration::from_millis(5));
            rig.backends.iter().filter_map(next).for_each(serve);
        }
        let (status, body) = answer.join().expect("a client").expect("an answer");
        let body: Value = serde_json::from_str(&body).expect("JSON");
        assert_eq!((status, &body["answers"][0]["blob"]), (200, &json!("value")), "{odd:?}");
        assert_eq!(health(&rig), Some(200), "{odd:?}");
        let log = rig.program.log.lock().expect("a sound lock");
        assert!(log.iter().all(|line| line != "words"), "a host wrote a line of the log: {log:#?}");
    }
}

/// The next call for a list, on this connection or on a new one.
fn asked(rig: &TestBed, mut discovery: Option<Connection>) -> Connection {
    loop {
        let mut wire = discovery.take().unwrap_or_else(|| accept(&rig.discovery));
        if wire.try_read_head().is_some() {
            return wire;
        }
    }
}

#[test]
fn a_list_is_taken_in_every_form_and_after_every_broken_one() {
    let rig = TestBed::start(2, |_| {});
    let mut generation = 1;
    // A list that adds one host, whose name shows in the log.
    let mut next = |form: &str| {
        generation += 1;
        let mut added = rig.endpoint(0, "active");
        added["instanceId"] = json!(format!("new-{form}"));
        let instances = [rig.endpoint(0, "active"), rig.endpoint(1, "active"), added];
        endpoint_list(generation, true, &instances)
    };
    let head = "HTTP/1.1 200 OK\r\n";
    let sized = |body: &str| format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    let chunks = |body: &str| -> String {
        let each = body.bytes().map(|byte| format!("1\r\n{}\r\n", byte as char)).collect::<String>();
        format!("{head}Transfer-Encoding: chunked\r\n\r\n{each}0\r\n\r\n")
    };
    let known = |form: &str| rig.wait_for_log(&format!("backend new-{form} has index"));

    let mut wire = asked(&rig, None);
    for byte in sized(&next("bytes")).bytes() {
        wire.send([byte]);
    }
    known("bytes");

    wire = asked(&rig, Some(wire));
    let value: Value = serde_json::from_str(&next("indented")).expect("JSON");
    wire.send(sized(&format!("\n\n  {value:#}\n")));
    known("indented");

    wire = asked(&rig, Some(wire));
    wire.send(chunks(&next("chunked")));
    known("chunked");

    // No length: the end of the connection is the end of the list.
    wire = asked(&rig, Some(wire));
    wire.send(format!("{head}\r\n{}", next("open")));
    drop(wire);
    known("open");

    // What is no list, or does not become one, fails the call; the next one is as good as ever.
    let endless = format!("{head}Transfer-Encoding: chunked\r\n\r\n200000\r\n{}", " ".repeat(1 << 20));
    let cut = format!("{head}\r\n{}", &next("cut")[..90]);
    let cases = [
        ("empty", sized(""), true),
        ("nothing", sized("{}"), true),
        (
            "spoilt",
            sized("{\"generation\":9,\"reset\":true,\"instances\":[{\"instanceId\":\"a\nb\"}]}"),
            true,
        ),
        ("cut", cut, false),
        ("garbled", "\r\n\0HTTP".to_owned(), true),
        ("endless", endless, true),
    ];
    let mut wire = None;
    for (form, bytes, waits) in cases {
        let mut broken = asked(&rig, wire.take());
        // The chunk's length alone is too much: the connection may close while its megabyte is written.
        let cut_off = if form == "endless" {
            broken.send_until_closed(&bytes)
        } else {
            broken.send(&bytes);
            false
        };
        if waits {
            assert!(cut_off || broken.is_closed_by_peer(), "{form}");
        }
        drop(broken);
        let mut sound = asked(&rig, None);
        sound.send(sized(&next(form)));
        known(form);
        wire = Some(sound);
    }
    assert_eq!(health(&rig), Some(200));
}
