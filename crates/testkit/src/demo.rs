//! `make demo`: the program with stand-in hosts and stand-in discovery on loopback. It asks one query over
//! HTTP and one over Flight, and prints what each side saw.

use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::Duration;

use mallowgauge_testkit::{columns, Deployment};
use mallowgauge_testkit::{config, flight, stand_ins, BackendReply, Event, Program, Query, BACKENDS};
use serde_json::json;

/// Answers every part until the client's answer has come.
fn settle(events: &Receiver<Event>) -> String {
    loop {
        match events.recv_timeout(Duration::from_secs(20)).expect("the program answers") {
            Event::Part(host, shard, reply) => {
                println!("  host s-{host} has got the part for shard {shard} and answers it");
                reply(BackendReply::Outcome("good".to_owned(), format!("listing-{shard}")));
            }
            Event::Response(_, text) => return text,
            _ => {}
        }
    }
}

/// Hosts with tables of listings, and a program of the caller's that is told where to ask: `ADDR` in its words
/// stands for the address.
fn run(words: &[String]) {
    let script: columns::Script = Arc::new(|_, ticket, _| {
        let shard = ticket["range"].as_u64().unwrap_or_default() as u32;
        columns::ScriptedReply::Table(vec![columns::listings(shard, 100)], columns::TableEncoding::default())
    });
    let cluster = Deployment::start(script, json!({}), |_| {});
    let addr = cluster.program.flight.to_string();
    println!("Flight on {addr}; {BACKENDS} stand-in hosts answer with tables of listings");
    let words: Vec<String> = words.iter().map(|word| word.replace("ADDR", &addr)).collect();
    let status = std::process::Command::new(&words[0]).args(&words[1..]).status().expect("a program");
    assert!(status.success(), "{words:?}: {status}");
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    if !words.is_empty() {
        return run(&words);
    }
    let (sender, events) = channel();
    let frames: Vec<_> =
        (0..BACKENDS - 1).map(|i| stand_ins::frame_backend(i, sender.clone(), false)).collect();
    // The last host offers Flight, the others speak the platform's frames.
    let last = flight::backend(BACKENDS - 1, sender.clone(), std::sync::Arc::default());
    let hosts: Vec<_> = frames.into_iter().chain([last]).collect();
    let roster = stand_ins::DiscoveryStandIn::start();
    let operator = json!({"flight": {"listen": "127.0.0.1:0", "hosts": [format!("s-{}", BACKENDS - 1)]}});
    let program = Program::start(&config(&hosts, roster.addr), &operator, 1024);
    println!(
        "the program is process {}: HTTP on {}, Flight on {}",
        program.child.id(),
        program.http,
        program.flight
    );
    println!("stand-ins: discovery on {}, hosts on {hosts:?}", roster.addr);

    let query = |id: &str| Query {
        id: id.to_owned(),
        kind: "search".to_owned(),
        deadline_ms: 3000,
        body: json!({"ranges": [{"range": 0, "portion": 0.25}, {"range": 1, "portion": 0.25},
                                {"range": 2, "portion": 0.25}, {"range": 3, "portion": 0.25}],
                     "predicate": "c41e77d0"}),
    };
    let answer = |sender: &Sender<Event>| {
        let sender = sender.clone();
        move |text| drop(sender.send(Event::Response("client".to_owned(), text)))
    };
    println!("\na search of four parts over HTTP:\n  {}", query("demo-http").body);
    let _client = stand_ins::send_query(program.http, query("demo-http"), answer(&sender));
    println!("  answer: {}", settle(&events));
    println!("\nthe same over Arrow Flight, GetFlightInfo and DoGet:");
    let _client = flight::send_query(program.flight, query("demo-flight"), answer(&sender));
    println!("  answer: {}", settle(&events));

    program.signal(libc::SIGTERM);
    println!("\nlast lines of the program's log:");
    std::thread::sleep(Duration::from_millis(1500));
    let log = program.log.lock().expect("a sound lock");
    log.iter().rev().take(4).rev().for_each(|line| println!("  {line}"));
}
