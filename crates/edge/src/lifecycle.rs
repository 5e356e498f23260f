//! The phases of the program, from start to exit.

use mallowgauge_router::Micros;

/// Where the program is between start and exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Reading its configuration and opening its sockets.
    Starting,
    /// Taking queries.
    Serving,
    /// Told to end: still takes what comes, but asks the platform's front to send clients elsewhere.
    Draining,
    /// Takes no new connections; finishes what it has.
    Finishing,
    /// Nothing is left to do.
    Stopped,
}

/// How long after being told to end the program still takes connections, at the least: the platform's
/// front goes on sending them for up to 0.4 s.
const DRAIN_LEAST: Micros = 650_000;
/// No new connection for so long means that none is to come.
const QUIET: Micros = 300_000;
/// A front that never stops sending does not keep the program for longer than this.
const DRAIN_MOST: Micros = 2_000_000;

/// The program's phase, and when it moves on.
#[derive(Debug)]
pub struct Lifecycle {
    phase: Phase,
    told: Micros,
    accepted: Micros,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Self { phase: Phase::Starting, told: 0, accepted: 0 }
    }
}

impl Lifecycle {
    /// The present phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    fn enter(&mut self, phase: Phase) {
        tracing::info!("phase {:?} -> {phase:?}", self.phase);
        self.phase = phase;
    }

    /// All sockets are open.
    pub fn ready(&mut self) {
        if self.phase == Phase::Starting {
            self.enter(Phase::Serving);
        }
    }

    /// A connection was accepted.
    pub fn accepted(&mut self, now: Micros) {
        self.accepted = now;
    }

    /// The program is told to end.
    pub fn terminate(&mut self, now: Micros) {
        if matches!(self.phase, Phase::Starting | Phase::Serving) {
            self.told = now;
            self.enter(Phase::Draining);
        }
    }

    /// Enters the phase `Finishing` where it is time; `true` if it does so now.
    pub fn quiet(&mut self, now: Micros) -> bool {
        let quiet = self.due().is_some_and(|due| due <= now);
        if quiet {
            self.enter(Phase::Finishing);
        }
        quiet
    }

    /// Ends the phase `Finishing` once nothing that was taken lacks a whole answer.
    pub fn finish(&mut self, busy: bool) {
        if self.phase == Phase::Finishing && !busy {
            self.enter(Phase::Stopped);
        }
    }

    /// When the phase changes by the clock.
    #[must_use]
    pub fn due(&self) -> Option<Micros> {
        let quiet = (self.told + DRAIN_LEAST).max(self.accepted + QUIET).min(self.told + DRAIN_MOST);
        (self.phase == Phase::Draining).then_some(quiet)
    }
}
