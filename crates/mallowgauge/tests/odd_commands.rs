//! Queries whose JSON has another shape than a query's, over Flight and over HTTP. The process must not end.

use std::sync::Arc;

use mallowgauge_flight::grpc::frame;
use mallowgauge_flight::proto::{Action, FlightData, FlightDescriptor, Ticket};
use mallowgauge_testkit::columns::{listings, Script, ScriptedReply, TableEncoding};
use mallowgauge_testkit::manual_peers::{query, Connection};
use mallowgauge_testkit::raw_http2::RawHttp2Client;
use mallowgauge_testkit::Deployment;
use serde_json::{json, Value};

/// gRPC's status `INVALID_ARGUMENT`.
const INVALID_ARGUMENT: u32 = 3;
/// A window for the replies, in bytes.
const REPLY_WINDOW: u32 = 1 << 20;

fn start() -> Deployment {
    let script: Script = Arc::new(|_, ticket, _| {
        let shard = ticket["range"].as_u64().expect("a shard") as u32;
        ScriptedReply::Table(vec![listings(shard, 2)], TableEncoding::default())
    });
    Deployment::start(script, json!({}), |_| {})
}

/// A query that is split over two endpoints.
fn command() -> Value {
    json!({"kind": "search", "id": "odd", "ranges": [0, 1], "predicate": "c41e77d0", "endpoints": 2})
}

/// A value of each kind that JSON has, and numbers that are no shard.
fn odd_values() -> Vec<Value> {
    let deep = (0..100).fold(json!(0), |inner, _| json!([inner]));
    vec![
        json!(null),
        json!(true),
        json!("a"),
        json!(""),
        json!(-1),
        json!(0.5),
        json!(u64::MAX),
        json!(1e308),
        json!([]),
        json!(["a"]),
        json!({}),
        json!({"range": "a", "portion": "b"}),
        json!({"range": -1, "portion": -1e308}),
        json!({"range": 0, "portion": 0.0}),
        deep,
    ]
}

/// Commands in which one field, one range or one field of a range is replaced by an odd value.
fn odd_commands() -> Vec<Value> {
    let mut commands = odd_values();
    let fields = [
        "kind",
        "id",
        "ranges",
        "predicate",
        "endpoints",
        "deadline_ms",
        "retry",
        "tag",
        "plan",
        "poll_origin",
    ];
    for value in odd_values() {
        for field in fields {
            let mut odd = command();
            odd[field] = value.clone();
            commands.push(odd);
        }
        for ranges in [json!([0, value]), json!([value, value]), json!([{"range": 0, "portion": value}, 1])] {
            let mut odd = command();
            odd["ranges"] = ranges;
            commands.push(odd);
        }
    }
    commands
}

fn assert_is_serving(deployment: &Deployment) {
    let mut client = Connection::connect(deployment.program.http);
    client.send(query("next", "search", 3000, &[0]));
    assert_eq!(client.response().expect("an answer").0, 200);
}

// Guards against a client that ends the program with one command: ranges that are no objects, split over two endpoints.
#[test]
fn ranges_that_are_no_objects_are_not_split_over_endpoints() {
    let deployment = start();
    for value in [json!("a"), json!(-1), json!(0.5), json!(true), json!([])] {
        let mut odd = command();
        odd["ranges"] = json!([value, value]);
        let mut raw = RawHttp2Client::connect(deployment.program.flight);
        let descriptor = FlightDescriptor::command(odd.to_string().into());
        let reply = raw.call("GetFlightInfo", &[], &frame(&descriptor));
        assert_eq!(reply.status(), Some(INVALID_ARGUMENT), "{odd}: {reply:?}");
        assert_eq!(reply.header("grpc-message"), Some("a range has no number"), "{odd}");
    }
    assert_is_serving(&deployment);
}

// Guards against an end of the program by JSON of any other shape, wherever a client can send JSON.
#[test]
fn json_of_another_shape_is_answered_on_every_method() {
    let deployment = start();
    let socket = std::net::TcpStream::connect(deployment.program.flight).expect("connect");
    socket.set_nodelay(true).expect("set TCP_NODELAY");
    let mut raw = RawHttp2Client::from_socket(socket, REPLY_WINDOW);
    for odd in odd_commands() {
        let text = odd.to_string();
        let descriptor = FlightDescriptor::command(text.clone().into());
        let batch = FlightData { app_metadata: text.clone().into(), ..FlightData::default() };
        let defaults = FlightData {
            flight_descriptor: Some(descriptor.clone()),
            app_metadata: b"{}".as_slice().into(),
            ..FlightData::default()
        };
        let action = Action { r#type: "CancelFlightInfo".to_owned(), body: text.clone().into() };
        let calls = [
            ("GetFlightInfo", frame(&descriptor)),
            ("GetSchema", frame(&descriptor)),
            ("PollFlightInfo", frame(&descriptor)),
            ("ListFlights", frame(&Ticket { ticket: text.clone().into() })),
            ("DoGet", frame(&Ticket { ticket: text.clone().into() })),
            ("DoPut", frame(&batch)),
            ("DoExchange", frame(&batch)),
            ("DoExchange", frame(&defaults)),
            ("DoAction", frame(&action)),
        ];
        for (method, message) in calls {
            let stream = raw.open_stream(method, &[("grpc-timeout", "3S")], false);
            assert!(raw.send_data(stream, &message, true), "{method}: {text}");
            let reply = raw.read_reply(stream, true);
            assert!(reply.status().is_some(), "{method}: {text}: {reply:?}");
        }
        let mut client = Connection::connect(deployment.program.http);
        let head = "POST /api HTTP/1.1\r\nReq-Id: odd\r\nReq-Kind: search\r\nReq-Deadline-Ms: 3000\r\n";
        client.send(format!("{head}Content-Length: {}\r\n\r\n{text}", text.len()));
        assert!(client.response().is_some(), "HTTP: {text}");
    }
    assert_is_serving(&deployment);
}
