//! How soon the next request to discovery follows a failed one, for every way in which a request can fail. Sockets are
//! real and time is simulated: the discovery client and the core get the time as an argument, so timeouts of seconds
//! take no real time.

use std::any::Any;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use calloop::EventLoop;
use mallowgauge_core::{Action, Core, CoreLimits};
use mallowgauge_edge::discovery::{Discovery, DiscoveryEvent};
use mallowgauge_net::{EventHandler, Handle, Token};
use mallowgauge_router::{EndpointUpdate, Micros};
use mallowgauge_settings::Site;
use mallowgauge_testkit::manual_peers::{accept, addr, listener, Connection, StalledListener};
use mallowgauge_testkit::settings;

/// A change counts as notified this long after discovery had it, in microseconds.
const NOTIFIED_AFTER: Micros = 6_000_000;
/// The share of that for the response to the request that succeeds, in microseconds. Discovery ends a request that was
/// queued for 2 s, and in the worst case the watch before it has used most of the time.
const RESPONSE_TIME: Micros = 1_000_000;
/// The interval of event-loop iterations, in microseconds.
const TICK: Micros = 5_000;

/// Counts socket events.
#[derive(Default)]
struct ReadyEvents(usize);

impl EventHandler for ReadyEvents {
    fn ready(&mut self, _: Token) {
        self.0 += 1;
    }
}

/// The discovery client and the core, which schedules its requests, in simulated time.
struct Simulation {
    events: EventLoop<'static, ReadyEvents>,
    handle: Handle,
    ready: ReadyEvents,
    discovery: Discovery,
    core: Core,
    now: Micros,
    received_lists: usize,
    failures: Vec<Micros>,
    /// Keeps ports in use that may still be dialed. A free port could be assigned to the listener of another test, which
    /// would then be dialed instead.
    held_ports: Vec<Box<dyn Any>>,
}

impl Simulation {
    fn new(seed: u64, listener: &TcpListener) -> Self {
        let events = EventLoop::try_new().expect("an event loop");
        let handle = Handle::new(events.handle());
        let Site { settings, classes, .. } = Site::read(&settings()).expect("settings");
        let limits = CoreLimits { max_open: 20, shards: 10 };
        let mut core = Core::new(seed, settings, classes, limits).expect("a core");
        core.endpoint_update(EndpointUpdate::CachedSnapshot(Vec::new()));
        let discovery = Discovery::new(addr(listener), 1, false);
        let (ready, now) = (ReadyEvents::default(), 1_000_000);
        Self {
            events,
            handle,
            ready,
            discovery,
            core,
            now,
            received_lists: 0,
            failures: Vec::new(),
            held_ports: Vec::new(),
        }
    }

    fn hold_port(&mut self, port: impl Any) {
        self.held_ports.push(Box::new(port));
    }

    fn handle_events(&mut self, events: impl IntoIterator<Item = DiscoveryEvent>) {
        for event in events {
            match event {
                DiscoveryEvent::Endpoints(_) => {
                    self.received_lists += 1;
                    self.core.endpoint_update(EndpointUpdate::Snapshot(Vec::new()));
                }
                DiscoveryEvent::Failed(_) => {
                    self.failures.push(self.now);
                    self.core.endpoint_update(EndpointUpdate::Failed);
                }
            }
        }
    }

    /// Handles all timers that are due, without advancing the time.
    fn handle_due(&mut self) {
        let events = self.discovery.handle_timeout(self.now);
        self.handle_events(events);
        for action in self.core.run_batch(self.now) {
            if action == Action::WatchEndpoints {
                let events = self.discovery.watch(self.now, &self.handle);
                self.handle_events(events);
            }
        }
    }

    /// Advances the time to the next timer and handles it.
    fn advance(&mut self) {
        let due = [self.discovery.poll_timeout(), self.core.poll_timeout()].into_iter().flatten().min();
        self.now = self.now.max(due.expect("there is always a timer: of a request or of the next one"));
        self.handle_due();
    }

    /// Waits until the socket is ready and handles it. Simulated time does not advance.
    fn handle_socket(&mut self) {
        let before = self.ready.0;
        while self.ready.0 == before {
            self.events.dispatch(Some(Duration::from_secs(20)), &mut self.ready).expect("an event loop");
            assert!(self.ready.0 > before, "no socket event");
        }
        let events = self.discovery.handle_ready(self.now, &self.handle);
        self.handle_events(events);
    }

    /// Advances the time until a request fails. Returns the time of the failure.
    fn run_until_failure(&mut self) -> Micros {
        let before = self.failures.len();
        while self.failures.len() == before {
            self.advance();
        }
        self.now
    }

    /// Advances the time until a request is in flight, or failed at once. Returns the time.
    fn run_until_request(&mut self) -> Micros {
        let before = self.failures.len();
        while self.discovery.poll_timeout().is_none() && self.failures.len() == before {
            self.advance();
        }
        self.now
    }

    /// Accepts the connection for the next request. Returns it with the head of the request.
    fn accept_request(&mut self, listener: &TcpListener) -> (Connection, String) {
        self.run_until_request();
        let mut wire = accept(listener);
        self.handle_socket();
        let head = wire.head();
        (wire, head)
    }

    /// A simulation with one answered watch, and the next watch in flight.
    fn with_watch(seed: u64) -> (Self, Connection, TcpListener) {
        let listener = listener();
        let mut simulation = Self::new(seed, &listener);
        let (mut wire, _) = simulation.accept_request(&listener);
        wire.send_endpoint_list(2, true, &[]);
        simulation.handle_socket();
        assert!(wire.head().starts_with("GET /v1/servers?index=2&wait="));
        assert_eq!(simulation.received_lists, 1);
        (simulation, wire, listener)
    }
}

/// A port that refuses connections. An established connection keeps the port in use.
struct ClosedPort {
    _client: TcpStream,
    _accepted: TcpStream,
}

impl ClosedPort {
    fn of(listener: TcpListener) -> Self {
        let client = TcpStream::connect(addr(&listener)).expect("a connection");
        let (accepted, _) = listener.accept().expect("a connection");
        Self { _client: client, _accepted: accepted }
    }
}

/// The longest time, over many seeds, from the time that `path` returns until the next request is in flight.
fn longest_gap(path: impl Fn(u64) -> (Simulation, Micros)) -> Micros {
    let gap = |seed| {
        let (mut simulation, from) = path(seed);
        simulation.run_until_request() - from
    };
    (0..40).map(gap).max().expect("some seeds")
}

fn assert_in_time(what: &str, gap: Micros) {
    assert!(gap + TICK + RESPONSE_TIME <= NOTIFIED_AFTER, "{what}: the next request only after {gap} us");
}

// Guards against sending queries to backends that were announced as draining, as seen in the scenario calm+brink: a watch
// waited 10 s, and timed out only 1.8 s after that.
#[test]
fn silent_watch_times_out_and_next_request_is_answered_in_time() {
    assert_in_time(
        "a silent watch",
        longest_gap(|seed| {
            let (mut simulation, _wire, port) = Simulation::with_watch(seed);
            let from = simulation.now;
            simulation.run_until_failure();
            simulation.hold_port(port);
            (simulation, from)
        }),
    );
}

#[test]
fn incomplete_response_times_out_in_time() {
    assert_in_time(
        "an incomplete response",
        longest_gap(|seed| {
            let (mut simulation, mut wire, port) = Simulation::with_watch(seed);
            let from = simulation.now;
            wire.send("HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\n{\"generation\":3,");
            simulation.handle_socket();
            simulation.run_until_failure();
            simulation.hold_port(port);
            (simulation, from)
        }),
    );
}

#[test]
fn silent_snapshot_request_times_out_in_time() {
    assert_in_time(
        "a silent snapshot request",
        longest_gap(|seed| {
            let (mut simulation, _wire, port) = Simulation::with_watch(seed);
            let other = listener();
            let events = simulation.discovery.relocate(simulation.now, &simulation.handle, addr(&other));
            simulation.handle_events(events);
            let (wire, head) = simulation.accept_request(&other);
            assert!(head.starts_with("GET /v1/servers HTTP"), "{head}");
            let from = simulation.now;
            simulation.run_until_failure();
            drop(wire);
            simulation.hold_port(port);
            simulation.hold_port(other);
            (simulation, from)
        }),
    );
}

#[test]
fn request_answered_with_503_is_retried_in_time() {
    assert_in_time(
        "503",
        longest_gap(|seed| {
            let (mut simulation, mut wire, port) = Simulation::with_watch(seed);
            // Discovery ends a request that was queued for 2 s.
            let from = simulation.now;
            simulation.now += 2_000_000;
            wire.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            simulation.handle_socket();
            simulation.hold_port(port);
            (simulation, from)
        }),
    );
}

#[test]
fn reset_watch_is_reopened_in_time() {
    assert_in_time(
        "a reset",
        longest_gap(|seed| {
            let (mut simulation, wire, port) = Simulation::with_watch(seed);
            let from = simulation.now;
            wire.reset();
            simulation.handle_socket();
            assert_eq!(simulation.failures.len(), 1);
            simulation.hold_port(port);
            (simulation, from)
        }),
    );
}

// After an outage of discovery of any length and kind, the next request is sent in time, even if the longest timeout and
// the longest backoff follow each other.
#[test]
fn next_request_is_in_time_after_any_number_of_failures() {
    assert_in_time(
        "refused connections",
        longest_gap(|seed| {
            let closed = listener();
            let mut simulation = Simulation::new(seed, &closed);
            simulation.hold_port(ClosedPort::of(closed));
            for _ in 0..12 {
                simulation.run_until_refused();
            }
            let from = simulation.now;
            (simulation, from)
        }),
    );
    assert_in_time(
        "unanswered connection attempts",
        longest_gap(|seed| {
            let silent = listener();
            let held = StalledListener::stall(&silent);
            let mut simulation = Simulation::new(seed, &silent);
            let mut from = 0;
            for _ in 0..12 {
                from = simulation.run_until_request();
                simulation.run_until_failure();
            }
            drop(held);
            simulation.hold_port(silent);
            (simulation, from)
        }),
    );
    assert_in_time(
        "unanswered requests",
        longest_gap(|seed| {
            let silent = listener();
            let mut simulation = Simulation::new(seed, &silent);
            let mut from = 0;
            for _ in 0..12 {
                let _wire = simulation.accept_request(&silent);
                from = simulation.now;
                simulation.run_until_failure();
            }
            simulation.hold_port(silent);
            (simulation, from)
        }),
    );
}

impl Simulation {
    /// Runs until the next connection attempt is refused, which fails the request at once.
    fn run_until_refused(&mut self) {
        let before = self.failures.len();
        self.run_until_request();
        if self.failures.len() == before {
            self.handle_socket();
        }
        assert_eq!((self.failures.len(), self.discovery.poll_timeout()), (before + 1, None));
    }
}

// After SIGHUP a change counts as notified 4 s later: a connection attempt to a silent address times out and is retried.
#[test]
fn relocated_discovery_that_is_silent_at_first_is_retried_within_4_s() {
    let gap = longest_gap(|seed| {
        let (mut simulation, _wire, port) = Simulation::with_watch(seed);
        let silent = listener();
        let held = StalledListener::stall(&silent);
        let events = simulation.discovery.relocate(simulation.now, &simulation.handle, addr(&silent));
        simulation.handle_events(events);
        let from = simulation.now;
        simulation.run_until_failure();
        drop(held);
        simulation.hold_port(port);
        simulation.hold_port(silent);
        (simulation, from)
    });
    assert!(gap + TICK + RESPONSE_TIME <= 4_000_000, "the next request only after {gap} us");
}

// The number of requests of one instance in a minute, without changes and with discovery unreachable.
#[test]
fn request_rate_is_bounded() {
    let (mut simulation, mut wire, port) = Simulation::with_watch(7);
    let (from, mut requests) = (simulation.now, 0);
    while simulation.now < from + 60_000_000 {
        simulation.now += 2_200_000;
        wire.send_endpoint_list(2, false, &[]);
        simulation.handle_socket();
        wire.head();
        requests += 1;
    }
    assert_eq!(requests, 28, "watches without changes");
    drop(wire);
    simulation.hold_port(ClosedPort::of(port));
    simulation.handle_socket();
    let (from, before) = (simulation.now, simulation.failures.len());
    while simulation.now < from + 60_000_000 {
        simulation.run_until_refused();
    }
    let refused = simulation.failures.len() - before;
    assert!((25..=40).contains(&refused), "{refused} connection attempts to an address that refuses");
}
