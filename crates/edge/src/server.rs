//! The server: a single-threaded event loop and the components that it drives.
//!
//! One thread owns all state. An iteration of the loop ([`Server::run`]) handles the timers that are due, passes the
//! events of backend connections to the core, and performs the core's actions. Between iterations the loop waits for
//! a socket, a signal or the next timer.

mod accept;
mod dispatch;
mod endpoints;
mod reload;
mod resources;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use calloop::signals::{Signal, Signals};
use calloop::EventLoop;
use mallowgauge_core::client_memory::ClientMemory;
use mallowgauge_core::table_memory::{TableMemory, TableMemoryLimits};
use mallowgauge_core::Core;
use mallowgauge_net::{Clock, Handle};
use mallowgauge_router::{Discovery as EndpointDelivery, Micros, SettingsError};
use mallowgauge_settings::endpoint_list::parse;
use mallowgauge_settings::error::{ConfigError, EndpointListError, OneLine};
use mallowgauge_settings::Config;

use crate::backend_registry::BackendRegistry;
use crate::discovery::Discovery;
use crate::front::{flight, http};
use crate::lifecycle::{Lifecycle, Phase};
use crate::peers::{self, Peers};
use crate::takeover::TakeoverAdapter;
use crate::tls::{Connector, TlsError};
use crate::upstream::flight_connection::FlightOptions;
use crate::upstream::ConnectionPool;
use accept::{Frontend, Listeners};
use endpoints::CachedSnapshot;
use resources::ResourceLimits;

/// An error that prevents the server from starting or stops it. Each message is one line.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// The configuration cannot be read.
    #[error(transparent)]
    Configuration(OneLine<ConfigError>),
    /// The cached endpoint list cannot be read.
    #[error("known: {0}")]
    CachedSnapshot(OneLine<EndpointListError>),
    /// The router does not accept its settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Listening on an address failed.
    #[error("{addr}: {source}")]
    Listen {
        /// The configured address.
        addr: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The address of a listener is not available.
    #[error(transparent)]
    ListenerAddress(#[from] io::Error),
    /// The certificates or keys for Flight cannot be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// Connections to other instances cannot be set up.
    #[error(transparent)]
    Peers(#[from] peers::StartError),
    /// The event loop failed.
    #[error(transparent)]
    EventLoop(#[from] calloop::Error),
    /// The signal handlers cannot be installed.
    #[error("error inserting event source: {0}")]
    Signals(#[source] calloop::Error),
}

/// Reads the configuration, at startup and again on SIGHUP.
type LoadConfig = Box<dyn Fn() -> Result<Config, OneLine<ConfigError>>>;

/// All state of the process.
pub struct Server {
    clock: Clock,
    handle: Handle,
    load_config: LoadConfig,
    lifecycle: Lifecycle,
    core: Core,
    listeners: Listeners,
    http: http::HttpFrontend,
    flight: flight::FlightFrontend,
    pool: ConnectionPool,
    discovery: Discovery,
    backends: BackendRegistry,
    /// The endpoint list from startup, until it or a list from discovery is applied.
    cached_snapshot: Option<CachedSnapshot>,
    /// Bytes of text that the tables of one query may become.
    text_bytes_per_query: usize,
    /// Zone names by zone index.
    zones: Vec<String>,
    /// Connections to the other instances; `None` if no peers are configured.
    peers: Option<Peers>,
    takeover: TakeoverAdapter,
}

impl Server {
    /// Runs a server until it has shut down. `load_config` reads its configuration; `incarnation` is unique to this
    /// start of the instance.
    ///
    /// # Errors
    /// The server cannot start, or its event loop fails.
    pub fn run(
        load_config: impl Fn() -> Result<Config, OneLine<ConfigError>> + 'static,
        incarnation: u64,
    ) -> Result<(), ServerError> {
        let mut events = EventLoop::<Server>::try_new()?;
        let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP])?;
        let handle = events.handle();
        let inserted = handle.insert_source(signals, |event, _, server| match event.signal() {
            Signal::SIGHUP => server.reload(),
            _ => server.request_shutdown(),
        });
        inserted.map_err(|e| ServerError::Signals(e.error))?;
        let mut server = Self::start(Box::new(load_config), Handle::new(handle), incarnation)?;
        while server.run_iteration() != Phase::Stopped {
            let wait = server.poll_timeout().map(|at| at.saturating_sub(server.clock.now()));
            events.dispatch(wait.map(Duration::from_micros), &mut server)?;
        }
        Ok(())
    }

    /// Reads the configuration and opens the sockets. No client is accepted before the first iteration.
    fn start(load_config: LoadConfig, handle: Handle, incarnation: u64) -> Result<Self, ServerError> {
        let config = load_config().map_err(ServerError::Configuration)?;
        let cached = parse(&config.cached_endpoints).map_err(ServerError::CachedSnapshot)?;
        let limits = ResourceLimits::from_config(&config, cached.backends.len());
        let clock = Clock::start();
        let zones = config.site.zones.clone();
        let classes = config.site.classes.len();
        let longest_deadline = config.site.settings.classes.iter().map(|class| class.deadline).max();
        let client_memory = ClientMemory::new(limits.connections.client_bytes);
        let (mut core, pushed) = build_core(&config)?;
        core.limit_client_memory(client_memory.clone());
        let listeners = Listeners::bind(&handle, config.listen, config.flight.listen)?;
        let flight_options = FlightOptions {
            table_memory: TableMemory::new(TableMemoryLimits {
                total: limits.flight.table_bytes,
                per_query: limits.flight.table_bytes_per_query,
            }),
            initial_window: limits.flight.backend_window,
            max_table_bytes: limits.flight.table_bytes_per_query,
            max_streams: config.connections.max_attempts_in_flight,
            tls: config.flight.backend_tls.as_ref().map(Connector::new).transpose()?,
        };
        let peers = start_peers(&config, clock.now(), &handle, incarnation)?;
        let setup = flight::Setup { limits: limits.flight, settings: &config.flight, classes };
        let mut server = Self {
            clock,
            handle,
            load_config,
            lifecycle: Lifecycle::new(longest_deadline.unwrap_or_default()),
            core,
            listeners,
            http: http::HttpFrontend::new(
                limits.connections.clients,
                limits.flight.text_bytes_per_query,
                client_memory,
            ),
            flight: flight::FlightFrontend::new(&setup)?,
            pool: ConnectionPool::new(
                config.connections,
                config.flight.clone(),
                limits.connections,
                flight_options,
            ),
            discovery: Discovery::new(config.discovery, cached.generation, pushed),
            backends: BackendRegistry::default(),
            cached_snapshot: None,
            text_bytes_per_query: limits.flight.text_bytes_per_query,
            zones,
            peers,
            takeover: TakeoverAdapter::default(),
        };
        server.log_addresses(&config.name)?;
        server.start_with_cached(cached, pushed);
        Ok(server)
    }

    fn log_addresses(&self, name: &str) -> Result<(), ServerError> {
        if let Some(addr) = self.listeners.address(Frontend::Http)? {
            tracing::info!("{name} listens on {addr}");
        }
        if let Some(addr) = self.listeners.address(Frontend::Flight)? {
            tracing::info!("Flight listens on {addr}");
        }
        Ok(())
    }

    /// The time of the next timer of any component.
    fn poll_timeout(&self) -> Option<Micros> {
        let timers = [
            self.core.poll_timeout(),
            self.pool.poll_timeout(),
            self.discovery.poll_timeout(),
            self.http.poll_timeout(),
            self.flight.poll_timeout(),
            self.lifecycle.poll_timeout(),
            self.peers.as_ref().and_then(Peers::poll_timeout),
            self.cached_snapshot_timeout(),
            self.listeners.poll_timeout(),
        ];
        timers.into_iter().flatten().min()
    }

    /// Runs one iteration of the event loop. The core's batches depend on this order.
    fn run_iteration(&mut self) -> Phase {
        let now = self.clock.now();
        self.handle_timeouts(now);
        self.handle_upstream_events(now);
        for action in self.core.run_batch(now) {
            self.perform_action(now, action);
        }
        self.handle_upstream_events(now);
        self.perform_takeover_actions(now);
        self.advance_shutdown(now);
        if let Some(peers) = &mut self.peers {
            peers.flush(now);
        }
        self.lifecycle.phase()
    }

    fn handle_timeouts(&mut self, now: Micros) {
        self.pool.handle_timeout(now);
        self.pool.grant_table_memory(now);
        self.http.handle_timeout(now, &mut self.core);
        self.flight.handle_timeout(now, &mut self.core);
        let event = self.discovery.handle_timeout(now);
        self.handle_discovery_events(event);
        self.use_unconfirmed_snapshot(now);
        self.resume_accepting(now);
        if let Some(peers) = &mut self.peers {
            peers.handle_timeout(now, &self.handle);
        }
    }

    /// Starts draining, on SIGTERM or SIGINT. Queries accepted from now on are answered before the platform kills the
    /// process; open queries keep their deadlines.
    fn request_shutdown(&mut self) {
        let now = self.clock.now();
        self.lifecycle.request_shutdown(now);
        self.core.set_answer_deadline(self.lifecycle.answer_deadline());
        self.http.set_phase(self.lifecycle.phase());
        self.flight.drain(now, &mut self.core);
        if let Some(peers) = &mut self.peers {
            peers.announce_shutdown(now);
        }
    }

    /// Advances the graceful shutdown: from draining to finishing, and to stopped once every query is answered.
    fn advance_shutdown(&mut self, now: Micros) {
        if self.lifecycle.handle_timeout(now) {
            self.http.set_phase(self.lifecycle.phase());
            self.flight.finish(now, &mut self.core);
        }
        if self.lifecycle.phase() != Phase::Finishing {
            return;
        }
        // Reads pending requests before checking for open ones: a request found here has been accepted and must be
        // answered.
        self.http.handle_timeout(now, &mut self.core);
        self.stop_accepting();
        let open = self.core.open_queries() > 0 || self.listeners.is_open();
        self.lifecycle.stop_unless_busy(open || self.http.is_busy() || self.flight.is_busy());
    }
}

/// Builds the core; the flag says whether discovery pushes changes. The discovery protocol only answers requests:
/// pushed changes also arrive on a watch, so the router is always configured to watch.
fn build_core(config: &Config) -> Result<(Core, bool), ServerError> {
    let mut settings = config.site.settings.clone();
    let pushed = std::mem::replace(&mut settings.discovery, EndpointDelivery::Poll) == EndpointDelivery::Push;
    let mut core = Core::new(config.seed, settings, config.site.classes.clone(), config.core_limits)?;
    if let Some(phases) = config.two_phase {
        core.enable_two_phase(phases);
    }
    if config.peers.as_ref().is_some_and(|(settings, _)| settings.request_lifetime.is_some()) {
        core.require_permits();
    }
    Ok((core, pushed))
}

/// Starts listening for the other instances if any are configured.
fn start_peers(
    config: &Config,
    now: Micros,
    handle: &Handle,
    incarnation: u64,
) -> Result<Option<Peers>, ServerError> {
    let Some((settings, limits)) = &config.peers else { return Ok(None) };
    let peers = Peers::start(now, handle, (settings, *limits), incarnation, config.seed)?;
    Ok(Some(peers))
}
