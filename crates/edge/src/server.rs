//! The server: everything that the event loop calls back into, and the loop itself.

use std::time::Duration;

use calloop::signals::{Event, Signal, Signals};
use calloop::EventLoop;

use crate::discovery::{Discovery, News, Roster};
use crate::front::{flight, http};
use crate::lifecycle::{Lifecycle, Phase};
use crate::peers::Peers;
use crate::takeover::{TakeoverAdapter, Task};
use crate::tls::Connector;
use crate::token;
use crate::upstream::flight::Terms;
use crate::upstream::{Pool, Report};
use mallowgauge_core::connection_limits::{ConnectionLimits, ConnectionResources};
use mallowgauge_core::stream_admission::Limits;
use mallowgauge_core::table_memory::{self, TableMemory};
use mallowgauge_core::{Action, AttemptId, Core, ResponseHandle, Value};
use mallowgauge_flight::{rows, schema};
use mallowgauge_net::{Clock, Handle, Listener, Owner, Token};
use mallowgauge_router::{Discovery as HostLists, Endpoint, EndpointState, EndpointUpdate, Micros, Outcome};
use mallowgauge_settings::hosts::{parse, List};
use mallowgauge_settings::zone;
use mallowgauge_settings::Config;

/// The most that the buffers of one Flight connection to a host are reckoned to hold beside its budget's.
const HOST_BYTES: usize = 128 * 1024;

/// How many connections of each kind there may be, from the limits on descriptors and memory: all their
/// buffers together, full, stay within seven eighths of the memory.
struct Room {
    shares: ConnectionLimits,
    flight: Limits,
}

impl Room {
    /// Where Flight is set up, it has half of the memory, and the others share the rest.
    fn of(config: &Config, hosts: usize) -> Self {
        // Links to other gatherers come first: they have a bounded part of both.
        let (peers, of_memory) = config.fleet.as_ref().map_or((0, 0), |(fleet, room)| {
            let part = if fleet.handover.is_some() { 8 } else { 16 };
            (room.sockets_needed, config.memory / part)
        });
        let (sockets, flight) = (config.links.sockets - peers, &config.flight);
        let all = config.memory - of_memory;
        let offered = flight.listen.is_some() || flight.every_host || !flight.hosts.is_empty();
        let memory = if offered { all / 2 } else { all };
        let mut shares = ConnectionLimits::of(ConnectionResources {
            descriptors: sockets,
            memory,
            backends: hosts,
            bytes_per_client: http::LARGEST,
        });
        if offered {
            shares.backends = shares.backends.min(memory / 4 / HOST_BYTES).max(1);
        }
        let streams = (shares.backends * config.links.streams).min(config.bounds.max_open);
        let limits = Limits::of(all / 2, if offered { sockets } else { 0 }, streams);
        if flight.listen.is_some() {
            shares.clients = shares.clients.saturating_sub(limits.connections).max(1);
        }
        Self { shares, flight: limits }
    }
}

/// How long a saved list waits to be held against discovery's where lists are pushed. Ready within 10 s is asked
/// for, also with discovery down.
const SAVED_WAITS: Micros = 3_000_000;

/// How long accepting backs off when no more descriptors are to be had.
const ACCEPT_BACK_OFF: Micros = 20_000;

/// The program's parts.
pub struct Server {
    clock: Clock,
    handle: Handle,
    lifecycle: Lifecycle,
    core: Core,
    http: http::Front,
    flight: flight::Front,
    flight_listener: Option<Listener>,
    pool: Pool,
    discovery: Discovery,
    /// The other gatherers, where the operator's file names any.
    peers: Option<Peers>,
    takeover: TakeoverAdapter,
    roster: Roster,
    /// The list that this server started with, while it is not in use yet, and until when it waits.
    saved: Option<(Micros, List)>,
    zones: Vec<String>,
    listener: Option<Listener>,
    /// Accepting backs off until then.
    backing_off: Option<Micros>,
    load: Load,
}

/// Reads the configuration, at the start and again on SIGHUP.
type Load = Box<dyn Fn() -> Result<Config, String>>;

impl Server {
    /// Opens the sockets; nothing is taken before [`Server::run`].
    ///
    /// # Errors
    /// One line that says what is wrong.
    fn start(load: Load, handle: Handle, life: u64) -> Result<Self, String> {
        let config = load()?;
        let known = parse(&config.known).map_err(|e| format!("known: {e}"))?;
        let room = Room::of(&config, known.hosts.len());
        let clock = Clock::start();
        let zones = config.site.zones.clone();
        let classes = config.site.classes.len();
        let mut settings = config.site.settings;
        let longest = settings.classes.iter().map(|class| class.deadline).max();
        // On this wire nothing comes unasked: pushed lists come on a watch too, which has to be opened. What has
        // been pushed so far counts as told from the first moment, so the saved list waits for that.
        let pushed = std::mem::replace(&mut settings.discovery, HostLists::Poll) == HostLists::Push;
        let mut core = Core::new(config.seed, settings, config.site.classes, config.bounds)
            .map_err(|e| e.to_string())?;
        config.phases.iter().for_each(|phases| core.enable_two_phase(*phases));
        if config.fleet.as_ref().is_some_and(|(fleet, _)| fleet.handover.is_some()) {
            core.require_permits();
        }
        let listener = Listener::bind(&handle, config.listen, Token { kind: token::HTTP_LISTENER, id: 0 })
            .map_err(|e| format!("{}: {e}", config.listen))?;
        let token = Token { kind: token::FLIGHT_LISTENER, id: 0 };
        let bind = |addr| Listener::bind(&handle, addr, token).map_err(|e| format!("{addr}: {e}"));
        let flight_listener = config.flight.listen.map(bind).transpose()?;
        let limits = room.flight;
        let bounds =
            table_memory::TableMemoryLimits { total: limits.tables, per_query: limits.tables_a_call };
        let terms = Terms {
            budget: TableMemory::new(bounds),
            window: limits.window,
            most: limits.tables_a_call,
            streams: config.links.streams,
            tls: config.flight.host_tls.as_ref().map(Connector::new).transpose()?,
        };
        let setup = flight::Setup { limits, settings: &config.flight, classes };
        let peers = config.fleet.as_ref();
        let peers =
            peers.map(|(fleet, room)| Peers::start(clock.now(), &handle, (fleet, *room), life, config.seed));
        let peers = peers.transpose()?;
        let mut server = Self {
            clock,
            lifecycle: Lifecycle::new(longest.unwrap_or_default()),
            core,
            http: http::Front::new(room.shares.clients),
            flight: flight::Front::new(&setup)?,
            flight_listener,
            pool: Pool::new(config.links, config.flight.clone(), room.shares, terms),
            discovery: Discovery::new(config.discovery, known.generation, pushed),
            peers,
            takeover: TakeoverAdapter::default(),
            roster: Roster::default(),
            saved: None,
            zones,
            listener: Some(listener),
            backing_off: None,
            handle,
            load,
        };
        tracing::info!("{} listens on {}", config.name, server.address(&server.listener)?);
        if server.flight_listener.is_some() {
            tracing::info!("Flight listens on {}", server.address(&server.flight_listener)?);
        }
        if pushed {
            let now = server.clock.now();
            server.saved = Some((now + SAVED_WAITS, known));
            let news = server.discovery.watch(now, &server.handle);
            news.into_iter().for_each(|news| server.news(news));
        } else {
            server.list(known, true);
            server.serve();
        }
        Ok(server)
    }

    fn address(&self, listener: &Option<Listener>) -> Result<String, String> {
        let addr = listener.as_ref().ok_or("no listener")?.addr();
        addr.map(|addr| addr.to_string()).map_err(|e| e.to_string())
    }

    /// Runs a server until it is told to end; `load` reads its configuration, and `life` is a number that no
    /// other start has.
    ///
    /// # Errors
    /// One line that says what is wrong.
    pub fn run(load: impl Fn() -> Result<Config, String> + 'static, life: u64) -> Result<(), String> {
        let mut events = EventLoop::<Server>::try_new().map_err(|e| e.to_string())?;
        let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]);
        let signals = signals.map_err(|e| e.to_string())?;
        let told = |signal: Event, _: &mut (), server: &mut Server| match signal.signal() {
            Signal::SIGHUP => server.reload(),
            _ => server.terminate(),
        };
        events.handle().insert_source(signals, told).map_err(|e| e.to_string())?;
        let mut server = Self::start(Box::new(load), Handle::new(events.handle()), life)?;
        while server.step() != Phase::Stopped {
            let wait = server.due().map(|at| at.saturating_sub(server.clock.now()));
            events.dispatch(wait.map(Duration::from_micros), &mut server).map_err(|e| e.to_string())?;
        }
        Ok(())
    }

    /// When something is to be done without any socket's call.
    fn due(&self) -> Option<Micros> {
        let all = [
            self.core.poll_timeout(),
            self.pool.due(),
            self.discovery.due(),
            self.http.due(),
            self.flight.due(),
            self.lifecycle.due(),
            self.peers.as_ref().and_then(Peers::poll_timeout),
            self.saved.as_ref().map(|(until, _)| *until),
            self.backing_off,
        ];
        all.into_iter().flatten().min()
    }

    /// Does all whose time has come.
    fn step(&mut self) -> Phase {
        let now = self.clock.now();
        self.pool.expire(now);
        self.pool.replenish(now);
        self.http.expire(now, &mut self.core);
        self.flight.expire(now, &mut self.core);
        if let Some(news) = self.discovery.expire(now) {
            self.news(news);
        }
        if self.saved.as_ref().is_some_and(|(until, _)| *until <= now) {
            tracing::warn!("the saved list of hosts is used unchecked: discovery did not answer in time");
            self.use_saved();
        }
        if self.backing_off.is_some_and(|until| until <= now) {
            self.backing_off = None;
            self.http_accept();
            self.flight_accept();
        }
        if let Some(peers) = &mut self.peers {
            peers.handle_timeout(now, &self.handle);
        }
        self.collect(now);
        for effect in self.core.run_batch(now) {
            self.effect(now, effect);
        }
        self.collect(now);
        self.wishes(now);
        if self.lifecycle.quiet(now) {
            self.http.enter(self.lifecycle.phase());
            self.flight.finish(now, &mut self.core);
        }
        if self.lifecycle.phase() == Phase::Finishing {
            // The last look for requests comes before the question whether any is left: one found here
            // has been taken and must be answered.
            self.http.expire(now, &mut self.core);
            self.stop_accepting();
            let open = self.core.open_queries() > 0 || self.listener.is_some();
            self.lifecycle.finish(open || self.http.busy() || self.flight.busy());
        }
        if let Some(peers) = &mut self.peers {
            peers.flush(now);
        }
        self.lifecycle.phase()
    }

    /// Carries out what the fleet wants done for queries with an effect.
    fn wishes(&mut self, now: Micros) {
        loop {
            let Some(peers) = &mut self.peers else { return };
            let wishes = peers.take_takeover_actions();
            if wishes.is_empty() {
                return;
            }
            for wish in wishes {
                let Some(peers) = &mut self.peers else { return };
                let tasks = self.takeover.handle_action(now, wish, &mut self.core, peers);
                tasks.into_iter().for_each(|task| self.task(now, task));
            }
        }
    }

    fn task(&mut self, now: Micros, task: Task) {
        match task {
            Task::Send(server, send) => self.pool.call(now, &self.handle, server, vec![send]),
            Task::Reply(asker, answer) => self.effect(now, Action::Respond(asker, answer)),
        }
    }

    /// Hands the core what host connections have reported.
    fn collect(&mut self, now: Micros) {
        for report in self.pool.reports() {
            match report {
                Report::Ended(id, Outcome::Succeeded, Some(value)) => self.served(now, id, value),
                Report::Ended(id, outcome, value) => {
                    let never_ran = [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent];
                    if let (true, Some(peers)) = (never_ran.contains(&outcome), &mut self.peers) {
                        self.takeover.attempt_not_executed(now, id, &self.core, peers);
                    }
                    self.core.attempt_completed(now, id, outcome, value);
                }
                // A second copy that finds no room is no loss while the first is out.
                Report::Overrun(_, Some(id)) if self.core.has_other_attempt(id) => {
                    self.core.attempt_completed(now, id, Outcome::Cancelled, None);
                }
                Report::Overrun(call, id) => {
                    self.core.memory_limit_exceeded(call);
                    id.into_iter()
                        .for_each(|id| self.core.attempt_completed(now, id, Outcome::Cancelled, None));
                }
                Report::Probed(server, passed) => self.core.health_check_completed(server, passed),
            }
        }
    }

    /// A part was served. Its value counts if it agrees with those of the query that are in.
    fn served(&mut self, now: Micros, id: AttemptId, value: Value) {
        if let (true, Value::Table(table)) = (self.core.is_planned(id), &value) {
            // Queries in two phases rank rows, whatever form these came in.
            return match rows::json(&table.schema, &table.messages) {
                Ok(text) => self.core.attempt_completed(now, id, Outcome::Succeeded, Some(text.into())),
                Err(_) => self.core.attempt_completed(now, id, Outcome::ConnectionLost, None),
            };
        }
        match schema::fits(self.core.received_value(id), &value) {
            Ok(()) => self.core.attempt_completed(now, id, Outcome::Succeeded, Some(value)),
            Err(clash) => {
                tracing::warn!("a table does not fit its answer: {clash}");
                self.core.attempt_completed(now, id, Outcome::ConnectionLost, None);
            }
        }
    }

    fn effect(&mut self, now: Micros, effect: Action) {
        match effect {
            Action::SendBatch(server, sends) => self.pool.call(now, &self.handle, server, sends),
            Action::CancelAttempt(server, attempt) => {
                let peers = self.peers.as_mut();
                if !peers.is_some_and(|peers| self.takeover.cancel_unsent(now, attempt, peers)) {
                    self.pool.abandon(now, server, attempt);
                }
            }
            Action::RevokeUnsent(server, attempt) => {
                let peers = self.peers.as_mut();
                if peers.is_some_and(|peers| self.takeover.cancel_unsent(now, attempt, peers)) {
                    self.core.attempt_completed(now, attempt, Outcome::NotSent, None);
                } else {
                    self.pool.withdraw(server, attempt);
                }
            }
            Action::RequestPermit(server, send) => {
                let Some(peers) = &mut self.peers else { return };
                let tasks = self.takeover.request_permit(now, server, send, &mut self.core, peers);
                tasks.into_iter().for_each(|task| self.task(now, task));
            }
            Action::ReplicateOutcome(recorded) => {
                let Some(peers) = &mut self.peers else { return };
                let tasks = self.takeover.replicate_outcome(now, *recorded, peers);
                tasks.into_iter().for_each(|task| self.task(now, task));
            }
            Action::Respond(ResponseHandle::TakenOver(_), _) => {}
            Action::HealthCheck(server) => self.pool.probe(now, &self.handle, server),
            Action::Respond(ResponseHandle::Http(id), answer) => {
                self.http.answer(now, id, &answer, &mut self.core)
            }
            Action::Respond(ResponseHandle::Flight(id), answer) => {
                self.flight.answer(now, id, answer, &mut self.core);
            }
            Action::WatchEndpoints => {
                let news = self.discovery.watch(now, &self.handle);
                news.into_iter().for_each(|news| self.news(news));
            }
            Action::FetchEndpoints => {
                let news = self.discovery.fetch(now, &self.handle);
                news.into_iter().for_each(|news| self.news(news));
            }
        }
    }

    fn news(&mut self, news: News) {
        match news {
            News::List(list) => {
                self.use_saved();
                self.list(list, false);
            }
            News::Failed => self.core.endpoint_update(EndpointUpdate::Failed),
        }
    }

    /// The list that this server started with counts from now on, if it did not before.
    fn use_saved(&mut self) {
        if let Some((_, list)) = self.saved.take() {
            self.list(list, true);
            self.serve();
        }
    }

    /// All is there that a query needs.
    fn serve(&mut self) {
        self.lifecycle.ready();
        self.http.enter(self.lifecycle.phase());
    }

    /// A list of hosts, `saved` if it is the one this server started with.
    fn list(&mut self, list: List, saved: bool) {
        let now = self.clock.now();
        let mut entries = Vec::new();
        let (hosts, gone) = self.roster.take(&list);
        for (server, host) in hosts {
            self.pool.update(server, host);
            if host.phase != EndpointState::Ready || host.started.is_some() {
                tracing::info!("host {} is {:?}, started {:?}", host.name, host.phase, host.started);
            }
            let zone = host.zone.as_ref().and_then(|name| zone(&self.zones, name));
            let (cell, phase, started) = (host.cell, host.phase, host.started);
            entries.push(Endpoint {
                backend: server,
                ring_position: cell,
                state: phase,
                started_at: started,
                zone,
            });
        }
        gone.into_iter().for_each(|server| self.pool.forget(now, server));
        self.core.endpoint_update(match (saved, list.reset) {
            (true, _) => EndpointUpdate::CachedSnapshot(entries),
            (false, true) => EndpointUpdate::Snapshot(entries),
            (false, false) => EndpointUpdate::Delta(entries),
        });
    }

    /// Reads the configuration again: discovery moves, Flight's certificates and users are replaced; all else
    /// in it counts from the next start. What is open and what is known of hosts stays.
    fn reload(&mut self) {
        match (self.load)() {
            Ok(config) => {
                let connector = config.flight.host_tls.as_ref().map(Connector::new).transpose();
                let secured = connector.and_then(|tls| self.flight.reload(&config.flight).map(|()| tls));
                match secured {
                    Ok(tls) => self.pool.secure(tls),
                    Err(e) => return tracing::warn!("configuration kept as it was: {e}"),
                }
                tracing::info!("configuration read again, discovery at {}", config.discovery);
                let news = self.discovery.relocate(self.clock.now(), &self.handle, config.discovery);
                news.into_iter().for_each(|news| self.news(news));
            }
            Err(e) => tracing::warn!("configuration kept as it was: {e}"),
        }
    }

    fn terminate(&mut self) {
        let now = self.clock.now();
        self.lifecycle.terminate(now);
        self.core.set_answer_deadline(self.lifecycle.last_answer());
        self.http.enter(self.lifecycle.phase());
        self.flight.drain(now, &mut self.core);
        if let Some(peers) = &mut self.peers {
            peers.announce_leave(now);
        }
    }

    /// Closes the listeners once nobody waits to be accepted: closing one resets who does.
    fn stop_accepting(&mut self) {
        if self.listener.is_some() {
            self.http_accept();
            self.flight_accept();
            if self.backing_off.is_none() {
                (self.listener, self.flight_listener) = (None, None);
            }
        }
    }

    /// Clients wait to be accepted.
    fn http_accept(&mut self) {
        while self.http.has_room(self.clock.now(), &mut self.core)
            || self.back_off("no room for another connection")
        {
            let Some(socket) = self.accept(|g| &g.listener) else { return };
            self.http.accept(self.clock.now(), &self.handle, socket);
        }
    }

    /// Flight clients wait to be accepted.
    fn flight_accept(&mut self) {
        if self.flight_listener.is_none() {
            return;
        }
        while self.flight.has_room() || self.back_off("no room for another Flight connection") {
            let Some(socket) = self.accept(|g| &g.flight_listener) else { return };
            self.flight.accept(self.clock.now(), &self.handle, socket);
        }
    }

    /// The next connection, unless accepting backs off.
    fn accept(&mut self, listener: impl Fn(&Self) -> &Option<Listener>) -> Option<std::net::TcpStream> {
        if self.backing_off.is_some() {
            return None;
        }
        match listener(self).as_ref()?.accept() {
            Ok(socket) => {
                socket.iter().for_each(|_| self.lifecycle.accepted(self.clock.now()));
                socket
            }
            Err(e) => {
                self.back_off(&e.to_string());
                None
            }
        }
    }

    /// Leaves clients in the backlog for a while; always `false`.
    fn back_off(&mut self, why: &str) -> bool {
        if self.backing_off.is_none() {
            tracing::warn!("clients wait: {why}");
            self.backing_off = Some(self.clock.now() + ACCEPT_BACK_OFF);
        }
        false
    }
}

impl Owner for Server {
    fn ready(&mut self, Token { kind, id }: Token) {
        let now = self.clock.now();
        match kind {
            token::HTTP_LISTENER => self.http_accept(),
            token::FLIGHT_LISTENER => self.flight_accept(),
            token::HTTP => self.http.ready(now, id, &mut self.core),
            token::FLIGHT => self.flight.ready(now, id, &mut self.core),
            token::HOST => self.pool.ready(now, id),
            token::PEER_LISTENER => {
                self.peers.iter_mut().for_each(|peers| peers.accept(now, &self.handle));
            }
            token::PEER => self.peers.iter_mut().for_each(|peers| peers.ready(now, id)),
            _ => {
                for news in self.discovery.ready(now, &self.handle) {
                    self.news(news);
                }
            }
        }
    }
}
