//! The phases of the process, from its start over graceful shutdown to its exit.
//!
//! After SIGTERM the platform's proxy goes on sending connections for a moment, so the server still accepts them
//! while it drains: until they have stopped coming, within bounds. Then it stops accepting, finishes what it has,
//! and exits. A request that is taken after SIGTERM is answered before the platform may kill the process
//! ([`Lifecycle::answer_deadline`]); one taken before keeps the deadline that it had.

use mallowgauge_router::Micros;

/// Where the process is between start and exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Reading its configuration and opening its sockets.
    Starting,
    /// Taking queries.
    Serving,
    /// Shutdown was requested: still accepts connections, and asks the platform's proxy to send clients elsewhere.
    Draining,
    /// Accepts no connections; answers what it has taken.
    Finishing,
    /// Nothing is left to do.
    Stopped,
}

/// The shortest time of draining, in microseconds: the platform's proxy goes on sending connections for up to 0.4 s.
const SHORTEST_DRAIN: Micros = 650_000;
/// The longest time of draining, in microseconds, for a proxy that never stops sending connections.
const LONGEST_DRAIN: Micros = 2_000_000;
/// Microseconds without a new connection after which none is expected any more.
const QUIET_PERIOD: Micros = 300_000;
/// The platform kills the process no sooner than the longest deadline, of which no more than
/// `LONGEST_DEADLINE_COUNTED` counts, and `KILL_GRACE` more after it requested the shutdown, in microseconds.
const LONGEST_DEADLINE_COUNTED: Micros = 3_000_000;
const KILL_GRACE: Micros = 700_000;
/// The last answers are written so many microseconds before that.
const KILL_MARGIN: Micros = 100_000;

/// The phase of the process, and when it moves on. All times are microseconds of Unix time.
#[derive(Debug)]
pub struct Lifecycle {
    phase: Phase,
    shutdown_requested_at: Micros,
    last_connection_at: Micros,
    /// The longest deadline of a query, as far as the platform counts it, in microseconds.
    longest_deadline: Micros,
}

impl Lifecycle {
    /// The lifecycle of a process whose queries have this long at most, in microseconds.
    #[must_use]
    pub fn new(longest_deadline: Micros) -> Self {
        Self {
            phase: Phase::Starting,
            shutdown_requested_at: 0,
            last_connection_at: 0,
            longest_deadline: longest_deadline.min(LONGEST_DEADLINE_COUNTED),
        }
    }

    /// The present phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    fn enter(&mut self, phase: Phase) {
        tracing::info!("phase {:?} -> {phase:?}", self.phase);
        self.phase = phase;
    }

    /// All that a query needs is there; from `Starting` to `Serving`.
    pub fn start_serving(&mut self) {
        if self.phase == Phase::Starting {
            self.enter(Phase::Serving);
        }
    }

    /// A client's connection was accepted.
    pub fn connection_accepted(&mut self, now: Micros) {
        self.last_connection_at = now;
    }

    /// The platform requests the shutdown; only the first request counts.
    pub fn request_shutdown(&mut self, now: Micros) {
        if matches!(self.phase, Phase::Starting | Phase::Serving) {
            self.shutdown_requested_at = now;
            self.enter(Phase::Draining);
        }
    }

    /// From `Draining` to `Finishing`, once its time has come; `true` if it has just happened.
    pub fn handle_timeout(&mut self, now: Micros) -> bool {
        let drained = self.poll_timeout().is_some_and(|at| at <= now);
        if drained {
            self.enter(Phase::Finishing);
        }
        drained
    }

    /// From `Finishing` to `Stopped`, unless something that was taken still lacks its complete answer.
    pub fn stop_unless_busy(&mut self, busy: bool) {
        if self.phase == Phase::Finishing && !busy {
            self.enter(Phase::Stopped);
        }
    }

    /// When all queries have to be answered, once shutdown was requested; `None` before that.
    #[must_use]
    pub fn answer_deadline(&self) -> Option<Micros> {
        let shutting_down = !matches!(self.phase, Phase::Starting | Phase::Serving);
        let kill_at = self.shutdown_requested_at + self.longest_deadline + KILL_GRACE;
        shutting_down.then_some(kill_at - KILL_MARGIN)
    }

    /// When the phase changes by the clock: draining ends after a quiet period, within its bounds.
    #[must_use]
    pub fn poll_timeout(&self) -> Option<Micros> {
        if self.phase != Phase::Draining {
            return None;
        }
        let earliest = self.shutdown_requested_at + SHORTEST_DRAIN;
        // A query that comes last has half of its time left before the platform kills the process.
        let longest = LONGEST_DRAIN.min(SHORTEST_DRAIN + self.longest_deadline / 2);
        let latest = self.shutdown_requested_at + longest;
        Some((self.last_connection_at + QUIET_PERIOD).max(earliest).min(latest))
    }
}
