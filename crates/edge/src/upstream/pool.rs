//! The pool: connections to each host, opened as needed and kept while they are of use.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use crate::token::SocketKind;
use crate::upstream::flight_connection::{FlightLink, Terms};
use crate::upstream::frames::{self, Said};
use crate::upstream::{drop_late, Report, SLOWEST_FRAME};
use mallowgauge_core::connection_limits::{
    choose, connection_to_evict, largest_connection, Choice, ConnectionCapacity, ConnectionLimits,
    ConnectionView,
};
use mallowgauge_core::{AttemptId, AttemptRequest};
use mallowgauge_net::{Handle, ReadEnd, Stream};
use mallowgauge_router::*;
use mallowgauge_settings::hosts::Host;
use mallowgauge_settings::{Flight, Links};

/// A connection is closed after this share of the time after which hosts close it.
const IDLE_SHARE: f64 = 0.8;

/// What discovery tells of a host, as far as it matters to connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Place {
    addr: SocketAddr,
    flight: bool,
    cell: u32,
    /// It takes new parts.
    ready: bool,
    started: Option<Micros>,
}

impl Place {
    /// Whether a part that was sent to the host when it stood there may still begin.
    fn still(&self, before: &Place) -> bool {
        self.ready && (self.addr, self.cell) == (before.addr, before.cell)
    }
}

/// Connections to the hosts.
pub struct Pool {
    links: Links,
    flight: Flight,
    hosts: BTreeMap<BackendId, Place>,
    connections: BTreeMap<u64, Connection>,
    /// The connections of each host: with hundreds of hosts, a look at all for each call costs more than
    /// the call.
    held: BTreeMap<BackendId, Vec<u64>>,
    /// When each connection has to be looked at, for the same reason.
    due: BTreeSet<(Micros, u64)>,
    /// What the buffers of all connections hold.
    bytes: usize,
    next: u64,
    shares: ConnectionLimits,
    reports: Vec<Report>,
    terms: Terms,
}

/// A connection on either wire.
#[allow(clippy::large_enum_variant)] // There are dozens of these, not thousands
pub enum Link {
    /// The platform's frames.
    Frames(FrameLink),
    /// Arrow Flight.
    Flight(FlightLink),
}

struct Connection {
    server: BackendId,
    addr: SocketAddr,
    /// When its dial began.
    opened: Micros,
    link: Link,
    /// What stands of it in the pool's `due` and `bytes`.
    due: Option<Micros>,
    bytes: usize,
}

impl Link {
    fn load(&self, now: Micros) -> usize {
        match self {
            Link::Frames(link) => link.load(now),
            Link::Flight(link) => link.load(),
        }
    }

    fn call(&mut self, now: Micros, sends: Vec<AttemptRequest>, reports: &mut Vec<Report>) -> bool {
        match self {
            Link::Frames(link) => link.call(now, sends, reports),
            Link::Flight(link) => link.call(now, sends, reports),
        }
    }

    fn usable(&self, sends: &[AttemptRequest]) -> bool {
        match self {
            Link::Frames(link) => link.usable(sends),
            Link::Flight(link) => link.usable(),
        }
    }

    /// Since when something has been out with nothing heard.
    fn silent_since(&self) -> Option<Micros> {
        match self {
            Link::Frames(link) => link.silent_since(),
            Link::Flight(link) => link.silent_since(),
        }
    }

    fn used(&self) -> Micros {
        match self {
            Link::Frames(link) => link.used,
            Link::Flight(link) => link.used(),
        }
    }

    fn due(&self, idle: Micros) -> Option<Micros> {
        match self {
            Link::Frames(link) => link.due(idle),
            Link::Flight(link) => link.due(idle),
        }
    }

    /// Nothing is out or on its way.
    fn rests(&self) -> bool {
        match self {
            Link::Frames(link) => link.rests(),
            Link::Flight(link) => link.rests(),
        }
    }

    /// It is not up yet, and would have nothing to carry.
    fn dials_in_vain(&self) -> bool {
        match self {
            Link::Frames(link) => link.dials_in_vain(),
            Link::Flight(link) => link.dials_in_vain(),
        }
    }

    /// Takes back those of the parts that wait here of which no byte is written.
    fn take_back(&mut self, which: impl Fn(&AttemptRequest) -> bool, reports: &mut Vec<Report>) {
        match self {
            Link::Frames(link) => link.take_back(which, reports),
            Link::Flight(link) => link.take_back(which, reports),
        }
    }

    /// What its buffers hold; of a Flight connection that has a budget of its own, nothing here.
    fn bytes(&self) -> usize {
        match self {
            Link::Frames(link) => link.bytes(),
            Link::Flight(_) => 0,
        }
    }

    fn end(&mut self, reports: &mut Vec<Report>) {
        match self {
            Link::Frames(link) => link.end(reports),
            Link::Flight(link) => link.end(reports),
        }
    }
}

impl Pool {
    /// A pool of as many connections as its share allows.
    #[must_use]
    pub fn new(links: Links, flight: Flight, shares: ConnectionLimits, terms: Terms) -> Self {
        Self {
            links,
            flight,
            hosts: BTreeMap::new(),
            connections: BTreeMap::new(),
            held: BTreeMap::new(),
            due: BTreeSet::new(),
            bytes: 0,
            next: 1,
            shares,
            reports: Vec::new(),
            terms,
        }
    }

    /// What discovery tells of a host. Where it drains or has moved, what was not begun there has to go
    /// elsewhere, however late a dial comes up or a socket has room; where it is a new process, nobody may be
    /// left to close the connections to the one before.
    pub fn update(&mut self, server: BackendId, host: &Host) {
        let Some(addr) = host.addr else { return };
        let flight = self.flight.every_host || self.flight.hosts.contains(&host.name);
        let (cell, ready, started) = (host.cell, host.phase == EndpointState::Ready, host.started);
        let place = Place { addr, flight, cell, ready, started };
        let Some(before) = self.hosts.insert(server, place) else { return };
        if !place.still(&before) {
            self.take_back(server);
        }
        if place.started != before.started {
            for id in self.held_by(server) {
                let old = |c: &Connection| place.started.is_some_and(|at| c.opened < at);
                if self.connections.get(&id).is_some_and(|c| c.link.rests() && old(c)) {
                    self.remove(id);
                }
            }
        }
    }

    /// What was sent to a host and not begun never ran, and is decided about anew.
    fn take_back(&mut self, server: BackendId) {
        for id in self.held_by(server) {
            self.with(id, |c, reports| {
                c.link.take_back(|_| true, reports);
                !c.link.dials_in_vain()
            });
        }
    }

    /// A host is gone: what is out there is waited for, and nothing else is kept of it.
    pub fn forget(&mut self, now: Micros, server: BackendId) {
        self.hosts.remove(&server);
        self.take_back(server);
        for id in self.held_by(server) {
            if self.connections.get(&id).is_some_and(|c| c.link.load(now) == 0) {
                self.remove(id);
            }
        }
    }

    fn held_by(&self, server: BackendId) -> Vec<u64> {
        self.held.get(&server).cloned().unwrap_or_default()
    }

    fn remove(&mut self, id: u64) {
        let Some(gone) = self.connections.remove(&id) else { return };
        self.bytes -= gone.bytes;
        gone.due.into_iter().for_each(|at| _ = self.due.remove(&(at, id)));
        if let Some(held) = self.held.get_mut(&gone.server) {
            held.retain(|other| *other != id);
            if held.is_empty() {
                self.held.remove(&gone.server);
            }
        }
    }

    /// What has been reported since the last look.
    pub fn reports(&mut self) -> Vec<Report> {
        std::mem::take(&mut self.reports)
    }

    /// Sends one turn's parts to a host, in as few calls as they fit in.
    pub fn call(&mut self, now: Micros, handle: &Handle, server: BackendId, mut sends: Vec<AttemptRequest>) {
        while !sends.is_empty() {
            let rest = sends.split_off(sends.len().min(self.links.parts_a_call));
            // Leave to send may have come after the news that the host drains.
            let ready = self.hosts.get(&server).is_some_and(|place| place.ready);
            match ready.then(|| self.connection(now, handle, server, &sends)).flatten() {
                Some(id) => self.with(id, |c, reports| c.link.call(now, sends, reports)),
                None => {
                    // The want is here: it says nothing of the host.
                    let never = |send: AttemptRequest| Report::Ended(send.attempt, Outcome::NotSent, None);
                    self.reports.extend(sends.into_iter().map(never));
                }
            }
            sends = rest;
        }
    }

    fn with(&mut self, id: u64, act: impl FnOnce(&mut Connection, &mut Vec<Report>) -> bool) {
        let idle = self.idle();
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let alive = act(connection, &mut self.reports);
        let (due, bytes) = (connection.link.due(idle), connection.link.bytes());
        if due != connection.due {
            connection.due.into_iter().for_each(|at| _ = self.due.remove(&(at, id)));
            due.into_iter().for_each(|at| _ = self.due.insert((at, id)));
            connection.due = due;
        }
        self.bytes = self.bytes + bytes - connection.bytes;
        connection.bytes = bytes;
        if !alive {
            self.end(id);
        }
        while self.bytes > self.shares.backend_bytes {
            let Some(id) = largest_connection(self.connections.iter().map(|(&id, c)| (id, c.bytes))) else {
                return;
            };
            let server = self.connections.get(&id).map_or(0, |c| c.server.0);
            tracing::warn!("host {server}: no room for what it sends");
            self.end(id);
        }
    }

    fn end(&mut self, id: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.link.end(&mut self.reports);
        }
        self.remove(id);
    }

    /// A connection with room for these, as `core::links` chooses it, or else a new one. What it has to say
    /// is read first: one that the host has closed must not be written to.
    fn connection(
        &mut self,
        now: Micros,
        handle: &Handle,
        server: BackendId,
        sends: &[AttemptRequest],
    ) -> Option<u64> {
        let place = self.hosts.get(&server)?;
        let (addr, flight, links) = (place.addr, place.flight, self.links);
        let started = place.started.filter(|&at| at <= now).unwrap_or(0);
        let fits = |c: &Connection, load: usize| {
            c.addr == addr
                && c.opened >= started
                && (load == 0 || load + sends.len() <= links.streams)
                && c.link.usable(sends)
        };
        let (instead, idle) = loop {
            let held = self.held.get(&server).map(Vec::as_slice).unwrap_or_default();
            let view = |&id: &u64| {
                let c = self.connections.get(&id)?;
                let load = c.link.load(now);
                let silent = c.link.silent_since().is_some_and(|at| at + links.silent <= now);
                Some(ConnectionView { id, fits: fits(c, load), silent, load, used: c.link.used() })
            };
            let views: Vec<ConnectionView> = held.iter().filter_map(view).collect();
            let most = self.shares.backends;
            let room = if self.connections.len() < most {
                ConnectionCapacity::Available
            } else {
                ConnectionCapacity::Exhausted
            };
            let id = match choose(&views, most, self.hosts.len(), room) {
                Choice::Use(id) => id,
                Choice::Open(instead) if room == ConnectionCapacity::Exhausted => {
                    let resting = self.connections.iter().filter(|(_, c)| c.link.rests());
                    match (connection_to_evict(resting.map(|(&id, c)| (id, c.link.used()))), instead) {
                        (None, Some(id)) => id,
                        (other, _) => break (instead, other),
                    }
                }
                Choice::Open(instead) => break (instead, None),
                Choice::Unavailable => return None,
            };
            self.ready(now, id);
            if self.connections.get(&id).is_some_and(|c| fits(c, c.link.load(now))) {
                return Some(id);
            }
        };
        if let Some(id) = idle {
            self.remove(id);
        }
        if self.connections.len() >= self.shares.backends {
            tracing::warn!("host {}: no connection to spare", server.0);
            return None;
        }
        self.open(now, handle, server, addr, flight).or(instead)
    }

    fn open(
        &mut self,
        now: Micros,
        handle: &Handle,
        server: BackendId,
        addr: SocketAddr,
        flight: bool,
    ) -> Option<u64> {
        let (id, until) = (self.next, now + self.links.dial);
        self.next += 1;
        match Stream::dial(handle, addr, SocketKind::Backend.token(id)) {
            Ok(stream) => {
                tracing::debug!("host {}: dialling {addr}", server.0);
                let link = if flight {
                    Link::Flight(FlightLink::new(server, stream, now, until, addr, self.terms.clone()))
                } else {
                    Link::Frames(FrameLink::new(server, stream, now, until))
                };
                self.connections
                    .insert(id, Connection { server, addr, opened: now, link, due: None, bytes: 0 });
                self.held.entry(server).or_default().push(id);
                self.with(id, |_, _| true);
                Some(id)
            }
            Err(e) => {
                tracing::warn!("host {}: no connection: {e}", server.0);
                None
            }
        }
    }

    /// Nobody waits for an attempt any more.
    pub fn abandon(&mut self, now: Micros, server: BackendId, attempt: AttemptId) {
        let silent = self.links.silent;
        for id in self.held_by(server) {
            self.with(id, |c, reports| match &mut c.link {
                Link::Frames(link) => link.abandon(now, silent, attempt, reports),
                Link::Flight(link) => link.abandon(now, attempt, reports),
            });
        }
    }

    /// An attempt is not to begin any more, if it has not.
    pub fn withdraw(&mut self, server: BackendId, attempt: AttemptId) {
        for id in self.held_by(server) {
            self.with(id, |c, reports| {
                c.link.take_back(|send| send.attempt == attempt, reports);
                true
            });
        }
    }

    /// Probes a host.
    pub fn probe(&mut self, now: Micros, handle: &Handle, server: BackendId) {
        let until = now + self.links.dial;
        match self.connection(now, handle, server, &[]) {
            Some(id) => self.with(id, |c, reports| match &mut c.link {
                Link::Frames(link) => link.probe(now, until, reports),
                Link::Flight(link) => link.probe(now, until, reports),
            }),
            None => self.reports.push(Report::Probed(server, false)),
        }
    }

    /// A connection's socket is ready.
    pub fn ready(&mut self, now: Micros, id: u64) {
        self.with(id, |c, reports| match &mut c.link {
            Link::Frames(link) => link.ready(now, reports),
            Link::Flight(link) => link.ready(now, reports),
        });
    }

    fn idle(&self) -> Micros {
        (self.links.idle as f64 * IDLE_SHARE) as Micros
    }

    /// Lets hosts go on for which the budget has room again, and says which query has to give way where
    /// nothing else would bring the others on.
    pub fn replenish(&mut self, now: Micros) {
        if !self.terms.budget.has_waiting_streams() {
            return;
        }
        for (stream, bytes) in self.terms.budget.take_grants() {
            let ids: Vec<u64> = self.connections.keys().copied().collect();
            for id in ids {
                let mut found = false;
                self.with(id, |c, reports| {
                    let Link::Flight(link) = &mut c.link else { return true };
                    let alive = link.grant(now, stream, bytes, reports);
                    found = alive.is_some();
                    alive.unwrap_or(true)
                });
                if found {
                    break;
                }
            }
        }
        let victim = self.terms.budget.query_to_evict();
        self.reports.extend(victim.map(|call| Report::Overrun(call, None)));
    }

    /// Other TLS settings for connections from now on.
    pub fn secure(&mut self, tls: Option<crate::tls::Connector>) {
        self.terms.tls = tls;
    }

    /// When a connection has to be looked at.
    #[must_use]
    pub fn due(&self) -> Option<Micros> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Gives up dials and probes that take too long, and closes connections that stood idle.
    pub fn expire(&mut self, now: Micros) {
        let idle = self.idle();
        let due = self.due.iter().take_while(|(at, _)| *at <= now);
        for id in due.map(|&(_, id)| id).collect::<Vec<_>>() {
            self.with(id, |c, reports| match &mut c.link {
                Link::Frames(link) => link.expire(now, idle, reports),
                Link::Flight(link) => link.expire(now, idle, reports),
            });
        }
    }
}

#[derive(Debug)]
enum Frame {
    Call(Vec<AttemptRequest>),
    GiveUp(String),
    Probe,
}

/// A part that was written and not answered.
#[derive(Debug)]
struct Out {
    attempt: AttemptId,
    sent: Micros,
    /// The host may keep its place until then.
    until: Micros,
    given_up: bool,
}

/// A connection that carries frames.
pub struct FrameLink {
    server: BackendId,
    stream: Stream,
    dialling: Option<Micros>,
    /// Frames of which no byte is written; they can be taken back.
    queue: VecDeque<Frame>,
    /// The frame of which some bytes are written, with those left of it.
    writing: Option<(Frame, Vec<u8>)>,
    out: BTreeMap<String, Out>,
    probes: VecDeque<Micros>,
    late_probes: u32,
    /// The parts whose answers came last: a second copy of one is passed over.
    done: VecDeque<String>,
    /// How many copies were passed over since the last answer that was due.
    copies: usize,
    input: Vec<u8>,
    /// Since when a frame has come in part.
    partial: Option<Micros>,
    heard: Micros,
    /// The last time that something went either way.
    used: Micros,
}

impl FrameLink {
    fn new(server: BackendId, stream: Stream, now: Micros, until: Micros) -> Self {
        Self {
            server,
            stream,
            dialling: Some(until),
            queue: VecDeque::new(),
            writing: None,
            out: BTreeMap::new(),
            probes: VecDeque::new(),
            late_probes: 0,
            done: VecDeque::new(),
            copies: 0,
            input: Vec::new(),
            partial: None,
            heard: now,
            used: now,
        }
    }

    fn unwritten<'a>(&'a self) -> impl Iterator<Item = &'a AttemptRequest> {
        let writing = self.writing.iter().map(|(frame, _)| frame);
        let sends = |frame: &'a Frame| if let Frame::Call(sends) = frame { sends.as_slice() } else { &[] };
        writing.chain(&self.queue).flat_map(sends)
    }

    fn load(&self, now: Micros) -> usize {
        self.unwritten().count() + self.out.values().filter(|o| !o.given_up || o.until > now).count()
    }

    fn rests(&self) -> bool {
        let waiting = self.out.values().any(|out| !out.given_up);
        let writes = self.writing.is_some() || !self.queue.is_empty();
        !waiting && !writes && self.probes.is_empty() && self.input.is_empty()
    }

    fn dials_in_vain(&self) -> bool {
        self.dialling.is_some() && self.queue.is_empty()
    }

    fn take_back(&mut self, which: impl Fn(&AttemptRequest) -> bool, reports: &mut Vec<Report>) {
        for frame in &mut self.queue {
            let Frame::Call(sends) = frame else { continue };
            let taken = sends.extract_if(.., |send| which(send));
            reports.extend(taken.map(|send| Report::Ended(send.attempt, Outcome::NotSent, None)));
        }
        self.queue.retain(|frame| !matches!(frame, Frame::Call(sends) if sends.is_empty()));
    }

    fn bytes(&self) -> usize {
        self.input.len() + self.writing.as_ref().map_or(0, |(_, bytes)| bytes.len())
    }

    fn silent_since(&self) -> Option<Micros> {
        self.out.values().filter(|out| !out.given_up).map(|out| out.sent.max(self.heard)).min()
    }

    /// Whether new parts may go out on this connection: it is not in the middle of a frame, and no part of
    /// the same name went out on it, whose late answer, or a second copy of it, would be taken for the new
    /// one's.
    fn usable(&self, sends: &[AttemptRequest]) -> bool {
        let known = |name: &String| self.out.contains_key(name) || self.done.contains(name);
        self.partial.is_none()
            && !sends.iter().any(|send| known(&frames::part_name(send)))
            && !self
                .unwritten()
                .any(|held| sends.iter().any(|s| s.query == held.query && s.shard == held.shard))
    }

    fn call(&mut self, now: Micros, sends: Vec<AttemptRequest>, reports: &mut Vec<Report>) -> bool {
        self.used = now;
        self.queue.push_back(Frame::Call(sends));
        self.ready(now, reports)
    }

    /// Nobody waits for an attempt any more. Where nothing else is out and nothing has been heard since,
    /// the connection may be dead, and goes with it; `false` then.
    fn abandon(
        &mut self,
        now: Micros,
        silent: Micros,
        attempt: AttemptId,
        reports: &mut Vec<Report>,
    ) -> bool {
        self.take_back(|send| send.attempt == attempt, reports);
        let was_silent = self.silent_since().is_some_and(|at| at + silent <= now);
        if let Some(name) = self.half_written(attempt) {
            // Unless somebody waits for something else here, the frame never becomes whole, and what the
            // system holds of others before it is not worth sending either.
            self.queue.push_back(Frame::GiveUp(name));
            let nobody = self.writing.iter().all(|(frame, _)| self.is_given_up(frame))
                && self.queue.iter().all(|frame| !matches!(frame, Frame::Call(_)))
                && self.out.values().all(|out| out.given_up);
            if nobody {
                self.stream.abort();
            }
            return !nobody;
        }
        let Some((name, out)) = self.out.iter_mut().find(|(_, o)| o.attempt == attempt) else { return true };
        out.given_up = true;
        let name = name.clone();
        if was_silent && self.silent_since().is_none() && self.unwritten().next().is_none() {
            return false;
        }
        self.queue.push_back(Frame::GiveUp(name));
        self.used = now;
        self.write(now, reports)
    }

    /// The name of a part whose frame is written in part.
    fn half_written(&self, attempt: AttemptId) -> Option<String> {
        let (Frame::Call(sends), _) = self.writing.as_ref()? else { return None };
        sends.iter().find(|send| send.attempt == attempt).map(frames::part_name)
    }

    /// Nobody waits for any part of this frame any more; the word to the host waits behind it.
    fn is_given_up(&self, frame: &Frame) -> bool {
        let Frame::Call(sends) = frame else { return false };
        let given_up = |send: &AttemptRequest| {
            let name = frames::part_name(send);
            self.queue.iter().any(|frame| matches!(frame, Frame::GiveUp(other) if *other == name))
        };
        sends.iter().all(given_up)
    }

    fn probe(&mut self, now: Micros, until: Micros, reports: &mut Vec<Report>) -> bool {
        self.used = now;
        self.queue.push_back(Frame::Probe);
        self.probes.push_back(until);
        self.write(now, reports)
    }

    /// Writes what the socket takes; `false` when the connection is over.
    fn write(&mut self, now: Micros, reports: &mut Vec<Report>) -> bool {
        if self.dialling.is_some() {
            match self.stream.connected() {
                None => return true,
                Some(false) => return false,
                Some(true) => (self.dialling, self.heard) = (None, now),
            }
        }
        loop {
            let fresh = self.writing.is_none();
            if fresh {
                let Some(mut frame) = self.queue.pop_front() else { return true };
                let bytes = match &mut frame {
                    Frame::Call(sends) => {
                        drop_late(now, sends, reports);
                        if sends.is_empty() {
                            continue;
                        }
                        frames::call(now, sends)
                    }
                    Frame::GiveUp(part) => frames::give_up(part),
                    Frame::Probe => frames::probe(),
                };
                self.writing = Some((frame, bytes));
            }
            let Some((frame, bytes)) = &mut self.writing else { return true };
            let Ok(done) = self.stream.write(bytes) else { return false };
            if fresh && done == 0 {
                // Not begun: until it is, it can be taken back, and its time runs on.
                self.queue.extend(self.writing.take().map(|(frame, _)| frame));
                self.queue.rotate_right(1);
                return true;
            }
            bytes.drain(..done);
            if !bytes.is_empty() {
                return true;
            }
            if let Frame::Call(sends) = frame {
                for send in sends.drain(..) {
                    let (attempt, until, name) = (send.attempt, send.deadline, frames::part_name(&send));
                    let gives_up = |frame: &Frame| matches!(frame, Frame::GiveUp(other) if *other == name);
                    let given_up = self.queue.iter().any(gives_up);
                    self.out.insert(name, Out { attempt, sent: now, until, given_up });
                }
            }
            self.writing = None;
        }
    }

    /// Goes on as far as the socket lets it; `false` when the connection is over.
    fn ready(&mut self, now: Micros, reports: &mut Vec<Report>) -> bool {
        if !self.write(now, reports) {
            // What came before the break still counts; a part written whole may have run.
            self.stream.read(&mut self.input, frames::LONGEST + 4);
            let taken = self.take(now, reports);
            return taken.is_ok_and(|()| false);
        }
        if self.dialling.is_some() {
            return true;
        }
        loop {
            let held = self.input.len();
            let end = self.stream.read(&mut self.input, frames::LONGEST + 4);
            if self.input.len() > held {
                (self.heard, self.used) = (now, now);
            }
            if let Err(why) = self.take(now, reports) {
                return self.spoil(why);
            }
            match end {
                ReadEnd::Blocked => return true,
                ReadEnd::Closed | ReadEnd::Broken => return false,
                ReadEnd::Full => {}
            }
        }
    }

    /// What came is no answer, and what comes after it cannot be told; always `false`. With nothing out
    /// here it stood behind a good answer, takes nothing from that and is no fault of the host's.
    fn spoil(&self, why: &str) -> bool {
        if self.out.values().any(|out| !out.given_up) {
            tracing::warn!("host {}: {why}", self.server.0);
        }
        false
    }

    fn is_done(&mut self, name: String) {
        self.done.push_back(name);
        self.done.drain(..self.done.len().saturating_sub(DONE));
    }

    /// Takes the whole frames that have come.
    fn take(&mut self, now: Micros, reports: &mut Vec<Report>) -> Result<(), &'static str> {
        while let Some((said, used)) = frames::read(&self.input)? {
            self.input.drain(..used);
            self.partial = None;
            match said {
                Said::End(name, outcome, value) => {
                    let Some(out) = self.out.remove(&name) else {
                        // A second copy, or the answer of a part given up long ago.
                        // One that goes on and on would keep the loop from everything else.
                        self.copies += 1;
                        if self.copies <= DONE && self.done.contains(&name) {
                            continue;
                        }
                        return Err("an answer to no part that was sent here");
                    };
                    self.copies = 0;
                    self.is_done(name);
                    if !out.given_up {
                        let value = (outcome == Outcome::Succeeded).then(|| value.into());
                        reports.push(Report::Ended(out.attempt, outcome, value));
                    }
                }
                // Answers to probes come in order: first those that are no longer waited for. Guards
                // against a busy host's late answer costing the parts that are out here.
                Said::Probe(_) if self.late_probes > 0 => self.late_probes -= 1,
                Said::Probe(passed) => {
                    self.probes.pop_front().ok_or("an answer to no probe")?;
                    reports.push(Report::Probed(self.server, passed));
                }
                Said::Useless(words) => {
                    tracing::warn!("host {} could not use a frame: {words}", self.server.0);
                    return Err("the host gives this connection up");
                }
            }
        }
        let old = |out: &Out| out.given_up && now >= out.until + GIVEN_UP_FOR;
        let old: Vec<String> =
            self.out.iter().filter(|(_, out)| old(out)).map(|(name, _)| name.clone()).collect();
        for name in old {
            self.out.remove(&name);
            self.is_done(name);
        }
        // Bytes that no answer is due for would swallow the next one.
        let due = !self.out.is_empty() || !self.probes.is_empty() || self.late_probes > 0;
        if !self.input.is_empty() && !due {
            return Err("more than belongs to an answer");
        }
        self.partial = (!self.input.is_empty()).then(|| self.partial.unwrap_or(now));
        if self.input.is_empty() {
            // Idle connections, of which there may be hundreds, hold no buffers.
            self.input = Vec::new();
        }
        Ok(())
    }

    fn due(&self, idle: Micros) -> Option<Micros> {
        if let Some(until) = self.dialling {
            return Some(until);
        }
        let waiting = self.out.values().any(|out| !out.given_up);
        let rest = (!waiting && self.queue.is_empty()).then_some(self.used + idle);
        let partial = self.partial.map(|since| since + SLOWEST_FRAME);
        self.probes.front().copied().into_iter().chain(rest).chain(partial).min()
    }

    fn expire(&mut self, now: Micros, idle: Micros, reports: &mut Vec<Report>) -> bool {
        if self.dialling.is_some() {
            tracing::info!("host {}: no connection in time", self.server.0);
            return false;
        }
        if self.partial.is_some_and(|since| since + SLOWEST_FRAME <= now) {
            return self.spoil("a frame that does not become whole");
        }
        if self.probes.front().is_some_and(|&until| until <= now) {
            // A connection with nothing else on it may be dead, and goes with its probe.
            if self.out.values().all(|out| out.given_up) {
                return false;
            }
            self.probes.pop_front();
            self.late_probes += 1;
            reports.push(Report::Probed(self.server, false));
        }
        let waiting = self.out.values().any(|out| !out.given_up);
        waiting || self.used + idle > now
    }

    /// The connection is over: what was not written whole has never run, the rest may have.
    fn end(&mut self, reports: &mut Vec<Report>) {
        let never: Vec<AttemptId> = self.unwritten().map(|send| send.attempt).collect();
        reports.extend(never.into_iter().map(|id| Report::Ended(id, Outcome::ConnectFailed, None)));
        let cut = std::mem::take(&mut self.out).into_values().filter(|out| !out.given_up);
        reports.extend(cut.map(|out| Report::Ended(out.attempt, Outcome::ConnectionLost, None)));
        reports.extend(self.probes.drain(..).map(|_| Report::Probed(self.server, false)));
    }
}

/// How long after its time a part given up is still remembered, for its late answer.
const GIVEN_UP_FOR: Micros = 1_000_000;
/// How many of the last answered parts a connection remembers.
const DONE: usize = 64;
