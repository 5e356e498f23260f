//! Descriptors of the real program after many clients: clients disconnect in every state of a request and
//! backends do not answer. Afterwards as many descriptors are open as before.

use std::time::{Duration, Instant};

use mallowgauge_testkit::manual_peers::{accept, accept_within, frame, query, Connection, TestBed};

const TIMEOUT: Duration = Duration::from_secs(20);

/// The number of descriptors that the program has open.
fn descriptors(test_bed: &TestBed) -> usize {
    let folder = format!("/proc/{}/fd", test_bed.program.child.id());
    std::fs::read_dir(folder).expect("the program runs").count()
}

/// Waits until the program has exactly this many descriptors open.
fn wait_for_descriptors(test_bed: &TestBed, wanted: usize, when: &str) {
    let deadline = Instant::now() + TIMEOUT;
    while descriptors(test_bed) != wanted {
        assert!(Instant::now() < deadline, "{when}: {} descriptors, not {wanted}", descriptors(test_bed));
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The state of a client's request when the client disconnects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RequestState {
    NotStarted,
    PartialHead,
    PartialBody,
    Submitted,
    Answered,
}

const ALL_STATES: [RequestState; 5] = [
    RequestState::NotStarted,
    RequestState::PartialHead,
    RequestState::PartialBody,
    RequestState::Submitted,
    RequestState::Answered,
];

/// Connects a client, and sends its request as far as the given state needs. Its answer is left to the
/// caller.
fn start_client(test_bed: &TestBed, id: &str, state: RequestState) -> Connection {
    let mut connection = test_bed.client();
    let request = query(id, ["search", "place-hold", "sales-report"][id.len() % 3], 400, &[0, 1, 2]);
    let body = request.find("\r\n\r\n").expect("a head") + 4;
    match state {
        RequestState::NotStarted => {}
        RequestState::PartialHead => connection.send(&request[..body / 2]),
        RequestState::PartialBody => connection.send(&request[..body + 10]),
        RequestState::Submitted | RequestState::Answered => connection.send(&request),
    }
    connection
}

#[test]
fn descriptors_return_to_their_base_after_many_disconnects() {
    let test_bed = TestBed::start(2, |_| {});
    let mut discovery = accept(&test_bed.discovery);
    discovery.head();
    discovery.send_endpoint_list(2, true, &test_bed.endpoints("active"));
    // The next request on the same connection shows that the list was read.
    discovery.head();
    let base = descriptors(&test_bed);
    let mut most = 0;
    for wave in 0..4 {
        let mut clients = Vec::new();
        for number in 0..40 {
            let state = ALL_STATES[(number + wave) % ALL_STATES.len()];
            let id = format!("w{wave}n{number}{}", "x".repeat(number % 7));
            clients.push((state, start_client(&test_bed, &id, state)));
        }
        // The backends accept all connections and send nothing: the parts in flight time out.
        for (state, client) in &mut clients {
            if *state == RequestState::Answered {
                let (status, body) = client.response().expect("a final answer");
                assert!([502, 503, 504].contains(&status), "{status} {body}");
            }
        }
        most = most.max(descriptors(&test_bed));
        drop(clients);
        wait_for_descriptors(&test_bed, base, &format!("after wave {wave}"));
    }
    assert!(most > base + 20, "the clients need descriptors: {most}, {base} before");
    // Once backends answer, a query is served as before.
    let mut client = test_bed.client();
    client.send(query("after", "search", 4000, &[0]));
    // Earlier connections are still in the backends' backlog, closed by the program.
    let mut connections: Vec<Connection> = Vec::new();
    let deadline = Instant::now() + TIMEOUT;
    let mut served = false;
    while !served {
        assert!(Instant::now() < deadline, "no part of the query arrived");
        for backend in &test_bed.backends {
            connections.extend(accept_within(backend, Duration::from_millis(5)));
        }
        connections.retain_mut(|connection| {
            connection.0.set_nonblocking(true).expect("a socket");
            let mut head = [0; 5];
            let is_open = !matches!(connection.0.peek(&mut head), Ok(0));
            let has_frame_header = connection.0.peek(&mut head).is_ok_and(|n| n == 5);
            connection.0.set_nonblocking(false).expect("a socket");
            if is_open && has_frame_header {
                match connection.frame() {
                    Some((b'o', _)) => connection.send(frame(b'o', "good")),
                    Some((b'm', text)) if text.starts_with("after.0 ") => {
                        let answer = "after.0 good 0 util=0.5\nx";
                        connection.send(frame(b'q', answer));
                        served = true;
                    }
                    _ => {}
                }
            }
            is_open
        });
    }
    assert_eq!(client.response().map(|(status, _)| status), Some(200));
    drop(client);
    // The idle connection to the backend is closed before the backend would close it.
    wait_for_descriptors(&test_bed, base, "at the end");
}
