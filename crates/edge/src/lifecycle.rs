//! The phases of the process, from startup through graceful shutdown to exit.
//!
//! After SIGTERM the platform's proxy keeps sending connections for a moment, so the server still accepts them while
//! it drains: until no more arrive, within a shortest and a longest time. Then it stops accepting, finishes the
//! requests that it has, and exits. A request accepted after SIGTERM is answered before the platform may kill the
//! process ([`Lifecycle::answer_deadline`]); one accepted before keeps its deadline.

use mallowgauge_router::Micros;

/// Where the process is between start and exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Reading its configuration and opening its sockets.
    Starting,
    /// Accepting queries.
    Serving,
    /// Shutdown was requested: still accepts connections, and reports not ready so that the platform's proxy sends
    /// clients elsewhere.
    Draining,
    /// Accepts no connections; answers the requests accepted so far.
    Finishing,
    /// All requests are answered; the process exits.
    Stopped,
}

/// Shortest duration of draining, in microseconds: the platform's proxy keeps sending connections for up to 0.4 s.
const SHORTEST_DRAIN: Micros = 650_000;
/// Longest duration of draining, in microseconds, for a proxy that never stops sending connections.
const LONGEST_DRAIN: Micros = 2_000_000;
/// Microseconds without a new connection after which draining ends.
const QUIET_PERIOD: Micros = 300_000;
/// The platform kills the process no sooner than the longest deadline plus `KILL_GRACE` after it requested the
/// shutdown. It counts at most `LONGEST_DEADLINE_COUNTED` of the deadline. Both in microseconds.
const LONGEST_DEADLINE_COUNTED: Micros = 3_000_000;
const KILL_GRACE: Micros = 700_000;
/// The last answers are written this long before the earliest possible kill, in microseconds.
const KILL_MARGIN: Micros = 100_000;

/// The phase of the process and the times of its transitions. All times are Unix time in microseconds.
#[derive(Debug)]
pub struct Lifecycle {
    phase: Phase,
    shutdown_requested_at: Micros,
    last_connection_at: Micros,
    /// The longest deadline of a query, capped as the platform does, in microseconds.
    longest_deadline: Micros,
}

impl Lifecycle {
    /// Creates the lifecycle of a process. `longest_deadline` is the longest deadline of a query in microseconds.
    #[must_use]
    pub fn new(longest_deadline: Micros) -> Self {
        Self {
            phase: Phase::Starting,
            shutdown_requested_at: 0,
            last_connection_at: 0,
            longest_deadline: longest_deadline.min(LONGEST_DEADLINE_COUNTED),
        }
    }

    /// The current phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    fn enter(&mut self, phase: Phase) {
        tracing::info!("phase {:?} -> {phase:?}", self.phase);
        self.phase = phase;
    }

    /// Moves from `Starting` to `Serving`, once queries can be served.
    pub fn start_serving(&mut self) {
        if self.phase == Phase::Starting {
            self.enter(Phase::Serving);
        }
    }

    /// Records that a client connection was accepted.
    pub fn connection_accepted(&mut self, now: Micros) {
        self.last_connection_at = now;
    }

    /// Starts draining at the platform's request. Only the first request counts.
    pub fn request_shutdown(&mut self, now: Micros) {
        if matches!(self.phase, Phase::Starting | Phase::Serving) {
            self.shutdown_requested_at = now;
            self.enter(Phase::Draining);
        }
    }

    /// Moves from `Draining` to `Finishing` when draining is over. Returns `true` if it has just done so.
    pub fn handle_timeout(&mut self, now: Micros) -> bool {
        let drained = self.poll_timeout().is_some_and(|at| at <= now);
        if drained {
            self.enter(Phase::Finishing);
        }
        drained
    }

    /// Moves from `Finishing` to `Stopped`, unless an accepted request has not been answered completely.
    pub fn stop_unless_busy(&mut self, busy: bool) {
        if self.phase == Phase::Finishing && !busy {
            self.enter(Phase::Stopped);
        }
    }

    /// The time by which all queries have to be answered once shutdown was requested; `None` before that.
    #[must_use]
    pub fn answer_deadline(&self) -> Option<Micros> {
        let shutting_down = !matches!(self.phase, Phase::Starting | Phase::Serving);
        let kill_at = self.shutdown_requested_at + self.longest_deadline + KILL_GRACE;
        shutting_down.then_some(kill_at - KILL_MARGIN)
    }

    /// The time of the next transition: draining ends after a quiet period, within its shortest and longest duration.
    #[must_use]
    pub fn poll_timeout(&self) -> Option<Micros> {
        if self.phase != Phase::Draining {
            return None;
        }
        let earliest = self.shutdown_requested_at + SHORTEST_DRAIN;
        // A query that arrives last has half of its time left before the platform kills the process.
        let longest = LONGEST_DRAIN.min(SHORTEST_DRAIN + self.longest_deadline / 2);
        let latest = self.shutdown_requested_at + longest;
        Some((self.last_connection_at + QUIET_PERIOD).max(earliest).min(latest))
    }
}
