//! Descriptors of the real program after a flood: clients leave in every state that a request passes through, hosts
//! hang, and once that is over as many descriptors are open as before.

use std::time::{Duration, Instant};

use mallowgauge_testkit::manual_peers::{accept, accept_within, frame, query, Connection, TestBed};

/// What does not come within this time never comes.
const PATIENCE: Duration = Duration::from_secs(20);

/// How many descriptors the program holds.
fn descriptors(rig: &TestBed) -> usize {
    let folder = format!("/proc/{}/fd", rig.program.child.id());
    std::fs::read_dir(folder).expect("the program runs").count()
}

/// Waits until the program holds so many.
fn wait_for_descriptors(rig: &TestBed, wanted: usize, when: &str) {
    let until = Instant::now() + PATIENCE;
    while descriptors(rig) != wanted {
        assert!(Instant::now() < until, "{when}: {} descriptors, not {wanted}", descriptors(rig));
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Where a client is when it leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Leaves {
    Silent,
    InTheHead,
    InTheBody,
    Asked,
    Answered,
}

const ALL: [Leaves; 5] =
    [Leaves::Silent, Leaves::InTheHead, Leaves::InTheBody, Leaves::Asked, Leaves::Answered];

/// A client that goes as far as it should and stays until it is dropped.
fn client(rig: &TestBed, id: &str, leaves: Leaves) -> Connection {
    let mut wire = rig.client();
    let request = query(id, ["search", "place-hold", "sales-report"][id.len() % 3], 400, &[0, 1, 2]);
    let body = request.find("\r\n\r\n").expect("a head") + 4;
    match leaves {
        Leaves::Silent => {}
        Leaves::InTheHead => wire.send(&request[..body / 2]),
        Leaves::InTheBody => wire.send(&request[..body + 10]),
        Leaves::Asked | Leaves::Answered => wire.send(&request),
    }
    wire
}

#[test]
fn descriptors_come_back_to_their_base_after_a_flood() {
    let rig = TestBed::start(2, |_| {});
    let mut discovery = accept(&rig.discovery);
    discovery.head();
    discovery.send_endpoint_list(2, true, &rig.endpoints("active"));
    // The next call on the same connection shows that the list was read.
    discovery.head();
    let base = descriptors(&rig);
    let mut most = 0;
    for wave in 0..4 {
        let mut clients = Vec::new();
        for number in 0..40 {
            let leaves = ALL[(number + wave) % ALL.len()];
            let id = format!("w{wave}n{number}{}", "x".repeat(number % 7));
            clients.push((leaves, client(&rig, &id, leaves)));
        }
        // Hosts take all connections and say nothing: what is out there times out.
        for (leaves, client) in &mut clients {
            if *leaves == Leaves::Answered {
                let (status, body) = client.response().expect("a final answer");
                assert!([502, 503, 504].contains(&status), "{status} {body}");
            }
        }
        most = most.max(descriptors(&rig));
        drop(clients);
        wait_for_descriptors(&rig, base, &format!("after wave {wave}"));
    }
    assert!(most > base + 20, "the flood came: {most} descriptors, {base} before");
    // It goes on as before: with hosts that answer, a query is served.
    let mut client = rig.client();
    client.send(query("after", "search", 4000, &[0]));
    // Connections of the flood wait in the hosts' backlog, closed by the program.
    let mut wires: Vec<Connection> = Vec::new();
    let until = Instant::now() + PATIENCE;
    let mut served = false;
    while !served {
        assert!(Instant::now() < until, "no part of the query came");
        for host in &rig.backends {
            wires.extend(accept_within(host, Duration::from_millis(5)));
        }
        wires.retain_mut(|wire| {
            wire.0.set_nonblocking(true).expect("a socket");
            let mut head = [0; 5];
            let open = !matches!(wire.0.peek(&mut head), Ok(0));
            let whole = wire.0.peek(&mut head).is_ok_and(|n| n == 5);
            wire.0.set_nonblocking(false).expect("a socket");
            if open && whole {
                match wire.frame() {
                    Some((b'o', _)) => wire.send(frame(b'o', "good")),
                    Some((b'm', text)) if text.starts_with("after.0 ") => {
                        let answer = "after.0 good 0 util=0.5\nx";
                        wire.send(frame(b'q', answer));
                        served = true;
                    }
                    _ => {}
                }
            }
            open
        });
    }
    assert_eq!(client.response().map(|(status, _)| status), Some(200));
    drop(client);
    // The kept connection to the host rests, and is closed before the host would close it.
    wait_for_descriptors(&rig, base, "at the end");
}
