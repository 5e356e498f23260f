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
/// The platform kills the program no sooner than the longest deadline, of which no more than this counts, and
/// `KILL_AFTER` more after telling it to end.
const LONGEST_COUNTED: Micros = 3_000_000;
const KILL_AFTER: Micros = 700_000;
/// The last answers are written so long before.
const KILL_MARGIN: Micros = 100_000;

/// The program's phase, and when it moves on.
#[derive(Debug)]
pub struct Lifecycle {
    phase: Phase,
    told: Micros,
    accepted: Micros,
    /// The longest deadline, as far as it counts.
    longest: Micros,
}

impl Lifecycle {
    /// The lifecycle of a program whose clients wait for so long at most.
    #[must_use]
    pub fn new(longest: Micros) -> Self {
        Self { phase: Phase::Starting, told: 0, accepted: 0, longest: longest.min(LONGEST_COUNTED) }
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

    /// When what is taken after the program was told to end has to be answered; `None` before that.
    #[must_use]
    pub fn last_answer(&self) -> Option<Micros> {
        let told = !matches!(self.phase, Phase::Starting | Phase::Serving);
        told.then_some(self.told + self.longest + KILL_AFTER - KILL_MARGIN)
    }

    /// When the phase changes by the clock.
    #[must_use]
    pub fn due(&self) -> Option<Micros> {
        // What is taken last has half of its time left before the platform kills the program.
        let most = DRAIN_MOST.min(DRAIN_LEAST + self.longest / 2);
        let quiet = (self.told + DRAIN_LEAST).max(self.accepted + QUIET).min(self.told + most);
        (self.phase == Phase::Draining).then_some(quiet)
    }
}
