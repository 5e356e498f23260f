//! How soon a change is told, on every path that a call to discovery can fail on. Sockets are real, time is not:
//! the connection and the core are given the time, so that a silence of seconds takes none.

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

/// A change counts as told this long after discovery had it, on whatever path.
const TOLD: Micros = 6_000_000;
/// Left of that for the answer to the call that gets through: discovery ends one that has waited 2 s for its turn,
/// and in the worst case the watch before it has used up most of the time.
const ANSWER: Micros = 1_000_000;
const TURN: Micros = 5_000;

#[derive(Default)]
struct Ready(usize);

impl EventHandler for Ready {
    fn ready(&mut self, _: Token) {
        self.0 += 1;
    }
}

/// Discovery's connection and the core that says when to ask, in a time of their own.
struct World {
    events: EventLoop<'static, Ready>,
    handle: Handle,
    ready: Ready,
    discovery: Discovery,
    core: Core,
    now: Micros,
    lists: usize,
    failures: Vec<Micros>,
    /// What holds the ports that may still be dialled: one that is free would be given to the listener of another test,
    /// which would then be dialled in its place.
    ports: Vec<Box<dyn Any>>,
}

impl World {
    fn new(seed: u64, at: &TcpListener) -> Self {
        let events = EventLoop::try_new().expect("an event loop");
        let handle = Handle::new(events.handle());
        let Site { settings, classes, .. } = Site::read(&settings()).expect("settings");
        let bounds = CoreLimits { max_open: 20, shards: 10 };
        let mut core = Core::new(seed, settings, classes, bounds).expect("a core");
        core.endpoint_update(EndpointUpdate::CachedSnapshot(Vec::new()));
        let discovery = Discovery::new(addr(at), 1, false);
        let (ready, now) = (Ready::default(), 1_000_000);
        Self {
            events,
            handle,
            ready,
            discovery,
            core,
            now,
            lists: 0,
            failures: Vec::new(),
            ports: Vec::new(),
        }
    }

    fn keep(&mut self, port: impl Any) {
        self.ports.push(Box::new(port));
    }

    fn take(&mut self, events: impl IntoIterator<Item = DiscoveryEvent>) {
        for event in events {
            match event {
                DiscoveryEvent::Endpoints(_) => {
                    self.lists += 1;
                    self.core.endpoint_update(EndpointUpdate::Snapshot(Vec::new()));
                }
                DiscoveryEvent::Failed(_) => {
                    self.failures.push(self.now);
                    self.core.endpoint_update(EndpointUpdate::Failed);
                }
            }
        }
    }

    /// Does all that is due, without letting time pass.
    fn settle(&mut self) {
        let events = self.discovery.handle_timeout(self.now);
        self.take(events);
        for action in self.core.run_batch(self.now) {
            if action == Action::WatchEndpoints {
                let events = self.discovery.watch(self.now, &self.handle);
                self.take(events);
            }
        }
    }

    /// Moves on to the next time at which something is due.
    fn step(&mut self) {
        let due = [self.discovery.poll_timeout(), self.core.poll_timeout()].into_iter().flatten().min();
        self.now = self.now.max(due.expect("something is always due: a call or the next one"));
        self.settle();
    }

    /// Waits, in no time of the world's, until the socket has been ready and read.
    fn socket(&mut self) {
        let before = self.ready.0;
        while self.ready.0 == before {
            self.events.dispatch(Some(Duration::from_secs(20)), &mut self.ready).expect("an event loop");
            assert!(self.ready.0 > before, "nothing came");
        }
        let events = self.discovery.handle_ready(self.now, &self.handle);
        self.take(events);
    }

    /// Lets time pass until a call fails, and says when.
    fn fails(&mut self) -> Micros {
        let before = self.failures.len();
        while self.failures.len() == before {
            self.step();
        }
        self.now
    }

    /// Lets time pass until a call is under way, or was refused at once.
    fn calls(&mut self) -> Micros {
        let before = self.failures.len();
        while self.discovery.poll_timeout().is_none() && self.failures.len() == before {
            self.step();
        }
        self.now
    }

    /// The connection is up, and the call stands at its other end.
    fn arrives(&mut self, at: &TcpListener) -> (Connection, String) {
        self.calls();
        let mut wire = accept(at);
        self.socket();
        let head = wire.head();
        (wire, head)
    }

    /// A watch that has been answered once, and the next one after it under way.
    fn watched(seed: u64) -> (Self, Connection, TcpListener) {
        let at = listener();
        let mut world = Self::new(seed, &at);
        let (mut wire, _) = world.arrives(&at);
        wire.send_endpoint_list(2, true, &[]);
        world.socket();
        assert!(wire.head().starts_with("GET /v1/servers?index=2&wait="));
        assert_eq!(world.lists, 1);
        (world, wire, at)
    }
}

/// A port that refuses connections; the one that was accepted on it holds it.
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

/// The longest time, over many seeds, from `from` until the next call is under way.
fn worst(path: impl Fn(u64) -> (World, Micros)) -> Micros {
    let gap = |seed| {
        let (mut world, from) = path(seed);
        world.calls() - from
    };
    (0..40).map(gap).max().expect("some seeds")
}

fn in_time(what: &str, gap: Micros) {
    assert!(gap + TURN + ANSWER <= TOLD, "{what}: the next call only after {gap} us");
}

// The fault behind requests to hosts that had been announced as leaving on calm+brink: a watch waited 10 s, and
// 1.8 s more before it was given up.
#[test]
fn a_silent_watch_is_given_up_and_the_next_call_answered_in_time() {
    in_time(
        "a silent watch",
        worst(|seed| {
            let (mut world, _wire, at) = World::watched(seed);
            let from = world.now;
            world.fails();
            world.keep(at);
            (world, from)
        }),
    );
}

#[test]
fn half_an_answer_is_given_up_in_time() {
    in_time(
        "half an answer",
        worst(|seed| {
            let (mut world, mut wire, at) = World::watched(seed);
            let from = world.now;
            wire.send("HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\n{\"generation\":3,");
            world.socket();
            world.fails();
            world.keep(at);
            (world, from)
        }),
    );
}

#[test]
fn a_silent_call_for_the_whole_list_is_given_up_in_time() {
    in_time(
        "a silent fetch",
        worst(|seed| {
            let (mut world, _wire, at) = World::watched(seed);
            let other = listener();
            let events = world.discovery.relocate(world.now, &world.handle, addr(&other));
            world.take(events);
            let (wire, head) = world.arrives(&other);
            assert!(head.starts_with("GET /v1/servers HTTP"), "{head}");
            let from = world.now;
            world.fails();
            drop(wire);
            world.keep(at);
            world.keep(other);
            (world, from)
        }),
    );
}

#[test]
fn a_refused_call_is_made_again_in_time() {
    in_time(
        "503",
        worst(|seed| {
            let (mut world, mut wire, at) = World::watched(seed);
            // Discovery ends a call that has waited 2 s for its turn.
            let from = world.now;
            world.now += 2_000_000;
            wire.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            world.socket();
            world.keep(at);
            (world, from)
        }),
    );
}

#[test]
fn a_reset_watch_is_opened_anew_in_time() {
    in_time(
        "a reset",
        worst(|seed| {
            let (mut world, wire, at) = World::watched(seed);
            let from = world.now;
            wire.reset();
            world.socket();
            assert_eq!(world.failures.len(), 1);
            world.keep(at);
            (world, from)
        }),
    );
}

// However long discovery was away, and however it was: what it has at its return is asked for in time. The longest
// silence of a call and the longest back-off come one after the other.
#[test]
fn after_any_number_of_failures_the_next_call_comes_in_time() {
    in_time(
        "refused dials",
        worst(|seed| {
            let gone = listener();
            let mut world = World::new(seed, &gone);
            world.keep(ClosedPort::of(gone));
            for _ in 0..12 {
                world.refused();
            }
            let from = world.now;
            (world, from)
        }),
    );
    in_time(
        "dials that nobody answers",
        worst(|seed| {
            let silent = listener();
            let held = StalledListener::stall(&silent);
            let mut world = World::new(seed, &silent);
            let mut from = 0;
            for _ in 0..12 {
                from = world.calls();
                world.fails();
            }
            drop(held);
            world.keep(silent);
            (world, from)
        }),
    );
    in_time(
        "calls that nobody answers",
        worst(|seed| {
            let silent = listener();
            let mut world = World::new(seed, &silent);
            let mut from = 0;
            for _ in 0..12 {
                let _wire = world.arrives(&silent);
                from = world.now;
                world.fails();
            }
            world.keep(silent);
            (world, from)
        }),
    );
}

impl World {
    /// The next dial is refused, which ends the call at once.
    fn refused(&mut self) {
        let before = self.failures.len();
        self.calls();
        if self.failures.len() == before {
            self.socket();
        }
        assert_eq!((self.failures.len(), self.discovery.poll_timeout()), (before + 1, None));
    }
}

// After SIGHUP a change counts 4 s later: a dial to an address that says nothing is given up and made again.
#[test]
fn a_moved_discovery_that_is_silent_at_first_is_asked_again_within_4_s() {
    let gap = worst(|seed| {
        let (mut world, _wire, at) = World::watched(seed);
        let silent = listener();
        let held = StalledListener::stall(&silent);
        let events = world.discovery.relocate(world.now, &world.handle, addr(&silent));
        world.take(events);
        let from = world.now;
        world.fails();
        drop(held);
        world.keep(at);
        world.keep(silent);
        (world, from)
    });
    assert!(gap + TURN + ANSWER <= 4_000_000, "the next call only after {gap} us");
}

// What all this costs, with nothing to tell and with discovery away: calls of one gatherer in a minute.
#[test]
fn calls_stay_few() {
    let (mut world, mut wire, at) = World::watched(7);
    let (from, mut calls) = (world.now, 0);
    while world.now < from + 60_000_000 {
        world.now += 2_200_000;
        wire.send_endpoint_list(2, false, &[]);
        world.socket();
        wire.head();
        calls += 1;
    }
    assert_eq!(calls, 28, "watches with nothing to tell");
    drop(wire);
    world.keep(ClosedPort::of(at));
    world.socket();
    let (from, before) = (world.now, world.failures.len());
    while world.now < from + 60_000_000 {
        world.refused();
    }
    let refused = world.failures.len() - before;
    assert!((25..=40).contains(&refused), "{refused} dials to an address that refuses");
}
