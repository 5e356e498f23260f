//! Three gatherers that take over each other's holds, with a host, or one of them, in the test's hands: what becomes
//! of a hold that is out while its gatherer is told to end, and of a peer that breaks off in its first words.

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use mallowgauge_edge::peers::wire::{decode, encode, Frame};
use mallowgauge_testkit::manual_peers::{accept, accept_within, addr, listener, query, Connection};
use mallowgauge_testkit::{config, Program};
use serde_json::{json, Value};

const PATIENCE: Duration = Duration::from_secs(30);

/// Three gatherers of one list, over one host; clients of holds wait for 2 s at most.
fn fleet(host: &TcpListener, discovery: &TcpListener) -> Vec<Program> {
    part_of_fleet(host, discovery, 3).0
}

/// The first so many of them, and where the first listens for peers and the others would.
fn part_of_fleet(
    host: &TcpListener,
    discovery: &TcpListener,
    running: usize,
) -> (Vec<Program>, SocketAddr, Vec<TcpListener>) {
    let mut ports: Vec<TcpListener> = (0..3).map(|_| listener()).collect();
    let name = |at: usize| format!("g{at}");
    let peer =
        |(at, port): (usize, &TcpListener)| json!({"name": name(at), "address": addr(port).to_string()});
    let list: Vec<Value> = ports.iter().enumerate().map(peer).collect();
    let listens: Vec<String> = ports.iter().map(|port| addr(port).to_string()).collect();
    let first = addr(&ports[0]);
    let others = ports.split_off(running);
    drop(ports);
    let start = |(at, listen): (usize, &String)| {
        let mut file = config(&[addr(host)], addr(discovery));
        for class in file["settings"]["Classes"].as_array_mut().expect("classes") {
            class["DeadlineUs"] = json!(2_000_000);
        }
        let fleet = json!({"name": name(at), "listen": listen, "group": 3, "handover": {"life_ms": 2_100},
                           "peers": {"version": 1, "list": list}});
        let operator = json!({"flight": {"listen": "127.0.0.1:0", "hosts": []}, "fleet": fleet});
        Program::start(&file, &operator, 1024)
    };
    (listens.iter().enumerate().take(running).map(start).collect(), first, others)
}

fn logged(program: &Program, text: &str) -> bool {
    program.log.lock().expect("a sound lock").iter().any(|line| line.contains(text))
}

fn wait_for_log(program: &Program, text: &str) {
    let until = Instant::now() + PATIENCE;
    while !logged(program, text) {
        assert!(Instant::now() < until, "no line {text}: {:#?}", program.log.lock());
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Asks for holds at the first gatherer until one is let through: its number, its client, and where it reached the
/// host. All have just started, and holds are refused until no id from before can be asked.
fn hold(programs: &[Program], host: &TcpListener) -> (u32, Connection, Connection) {
    for other in ["g1", "g2"] {
        wait_for_log(&programs[0], &format!("peer {other} is linked"));
    }
    let until = Instant::now() + PATIENCE;
    let tries = (0..).find_map(|number| {
        assert!(Instant::now() < until, "no hold was let through");
        let mut client = Connection::connect(programs[0].http);
        client.send(query(&format!("hold-{number}"), "place-hold", 2_000, &[0]));
        accept_within(host, Duration::from_millis(500)).map(|wire| (number, client, wire))
    });
    tries.expect("a hold")
}

// Found by reading: others held a gatherer that had said that it ends to be away at once, took over what it was
// still waiting for, and its clients were told that a part may have run, whatever the host said.
#[test]
fn a_hold_that_is_out_when_its_gatherer_is_told_to_end_ends_as_its_host_says() {
    let (host, discovery) = (listener(), listener());
    let programs = fleet(&host, &discovery);
    let (_, mut client, mut on_host) = hold(&programs, &host);
    let parts = on_host.next_parts();
    programs[0].signal(libc::SIGTERM);
    for other in &programs[1..] {
        wait_for_log(other, "peer g0 is left");
    }
    // A second signal changes nothing.
    programs[0].signal(libc::SIGTERM);
    // Whoever would take it over has the time for that: two steps of 30 ms and a round.
    std::thread::sleep(Duration::from_millis(300));
    on_host.answer_part(&parts[0], "good", "held");
    let (status, body) = client.response().expect("a final answer");
    assert_eq!(status, 200, "{body}");
}

// One that ends with a hold still out is taken over all the same, once its links end: long before the life of the
// id is over, after which anybody would look for it.
#[test]
fn a_hold_whose_gatherer_was_told_to_end_and_is_lost_is_taken_over() {
    let (host, discovery) = (listener(), listener());
    let mut programs = fleet(&host, &discovery);
    let (number, _client, mut on_host) = hold(&programs, &host);
    on_host.next_parts();
    programs[0].signal(libc::SIGTERM);
    for other in &programs[1..] {
        wait_for_log(other, "peer g0 is left");
    }
    programs[0].child.kill().expect("a process");
    programs[0].child.wait().expect("its end");
    let mut again = Connection::connect(programs[1].http);
    let ask = query(&format!("hold-{number}"), "place-hold", 1_500, &[0]);
    again.send(ask.replace("Req-Kind", "Req-Retry: 1\r\nReq-Kind"));
    let (status, body) = again.response().expect("a final answer");
    assert_eq!(status, 502, "{body}");
}

// The third gatherer is the test: its hello is cut at each byte, by an end and by a reset.
#[test]
fn a_hello_that_is_cut_at_any_byte_is_no_sign_against_anybody() {
    let (host, discovery) = (listener(), listener());
    let (programs, first, others) = part_of_fleet(&host, &discovery, 2);
    wait_for_log(&programs[0], "peer g1 is linked");
    // What the first says to the third, which it dials, tells how a hello of this list reads.
    let mut dialed = accept(&others[0]);
    let mut said = Vec::new();
    let hello = loop {
        let mut byte = [0];
        dialed.0.read_exact(&mut byte).expect("a hello");
        said.push(byte[0]);
        if let Some((Frame::Hello(hello), _)) = decode(&said, 64 * 1024).expect("a message") {
            break hello;
        }
    };
    drop(dialed);
    let mut own = hello.clone();
    (own.name, own.known, own.incarnation.nonce) = ("g2".to_owned(), None, hello.incarnation.nonce + 1);
    let bytes = encode(&Frame::Hello(own));
    for cut in 0..bytes.len() {
        let mut ended = Connection::connect(first);
        ended.send(&bytes[..cut]);
        drop(ended);
        let mut reset = Connection::connect(first);
        reset.send(&bytes[..cut]);
        reset.reset();
    }
    assert!(!logged(&programs[0], "peer g2 is linked"));
    let mut whole = Connection::connect(first);
    whole.send(&bytes);
    wait_for_log(&programs[0], "peer g2 is linked");
    for program in &programs {
        for sign in
            ["peer g0 is doubted", "peer g1 is doubted", "link to peer g0 ended", "link to peer g1 ended"]
        {
            assert!(!logged(program, sign), "{sign}");
        }
    }
}
