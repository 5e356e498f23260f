//! `make demo`: the program with stand-in backends and stand-in discovery on loopback. Sends one query over HTTP
//! and one over Arrow Flight, and prints what each side received.

use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::Duration;

use mallowgauge_testkit::{columns, Deployment};
use mallowgauge_testkit::{config, flight, stand_ins, BackendReply, Event, Program, Query, BACKENDS};
use serde_json::json;

/// Answers every part until the client has its response, and returns that.
fn answer_parts(events: &Receiver<Event>) -> String {
    loop {
        match events.recv_timeout(Duration::from_secs(20)).expect("the program responds") {
            Event::Part(backend, shard, reply) => {
                println!("  backend s-{backend} received the part for shard {shard} and answers it");
                reply(BackendReply::Outcome("good".to_owned(), format!("listing-{shard}")));
            }
            Event::Response(_, text) => return text,
            _ => {}
        }
    }
}

/// Runs a command against the program, whose backends answer with tables of listings. `ADDR` in the arguments is
/// replaced by the program's Flight address.
fn run_command(command: &[String]) {
    let script: columns::Script = Arc::new(|_, ticket, _| {
        let shard = ticket["range"].as_u64().unwrap_or_default() as u32;
        columns::ScriptedReply::Table(vec![columns::listings(shard, 100)], columns::TableEncoding::default())
    });
    let cluster = Deployment::start(script, json!({}), |_| {});
    let addr = cluster.program.flight.to_string();
    println!("Flight on {addr}; {BACKENDS} stand-in backends answer with tables of listings");
    let command: Vec<String> = command.iter().map(|word| word.replace("ADDR", &addr)).collect();
    let status =
        std::process::Command::new(&command[0]).args(&command[1..]).status().expect("run the command");
    assert!(status.success(), "{command:?}: {status}");
}

fn main() {
    let command: Vec<String> = std::env::args().skip(1).collect();
    if !command.is_empty() {
        return run_command(&command);
    }
    let (sender, events) = channel();
    let frame_backends: Vec<_> =
        (0..BACKENDS - 1).map(|i| stand_ins::frame_backend(i, sender.clone(), false)).collect();
    // The last backend speaks Flight, the others speak the platform's frames.
    let flight_backend = flight::backend(BACKENDS - 1, sender.clone(), std::sync::Arc::default());
    let backends: Vec<_> = frame_backends.into_iter().chain([flight_backend]).collect();
    let discovery = stand_ins::DiscoveryStandIn::start();
    let operator = json!({"flight": {"listen": "127.0.0.1:0", "hosts": [format!("s-{}", BACKENDS - 1)]}});
    let program = Program::start(&config(&backends, discovery.addr), &operator, 1024);
    println!(
        "the program is process {}: HTTP on {}, Flight on {}",
        program.child.id(),
        program.http,
        program.flight
    );
    println!("stand-ins: discovery on {}, backends on {backends:?}", discovery.addr);

    let query = |id: &str| Query {
        id: id.to_owned(),
        kind: "search".to_owned(),
        deadline_ms: 3000,
        body: json!({"ranges": [{"range": 0, "portion": 0.25}, {"range": 1, "portion": 0.25},
                                {"range": 2, "portion": 0.25}, {"range": 3, "portion": 0.25}],
                     "predicate": "c41e77d0"}),
    };
    let on_response = |sender: &Sender<Event>| {
        let sender = sender.clone();
        move |text| drop(sender.send(Event::Response("client".to_owned(), text)))
    };
    println!("\na query of four parts over HTTP:\n  {}", query("demo-http").body);
    let _client = stand_ins::send_query(program.http, query("demo-http"), on_response(&sender));
    println!("  response: {}", answer_parts(&events));
    println!("\nthe same query over Arrow Flight, with GetFlightInfo and DoGet:");
    let _client = flight::send_query(program.flight, query("demo-flight"), on_response(&sender));
    println!("  response: {}", answer_parts(&events));

    program.signal(libc::SIGTERM);
    println!("\nlast lines of the program's log:");
    std::thread::sleep(Duration::from_millis(1500));
    let log = program.log.lock().expect("lock is not poisoned");
    log.iter().rev().take(4).rev().for_each(|line| println!("  {line}"));
}
