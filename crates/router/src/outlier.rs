//! Which backends are outliers, and how an ejected one comes back.
//!
//! Each backend has a failure score from 0 to 1 that every health signal moves: errors, broken and failed
//! connections, rejections, time-outs and overdue attempts towards 1, answers towards 0. Above a threshold the
//! backend is ejected: others are preferred, as long as there are any. After a wait that doubles with each
//! unsuccessful try, an ejected backend is tried with one part (after a health check, where health checks are
//! allowed), and the answer to it counts for more than an ordinary one.

use crate::events::Outcome;
use crate::ids::Micros;
use crate::settings::Settings;
use crate::traffic::MAX_FADE_TIME_US;

/// A backend with a higher failure score is ejected.
const EJECTION_THRESHOLD: f64 = 0.5;
/// Below this score, earlier recovery attempts that failed are forgotten.
const RECOVERED_THRESHOLD: f64 = 0.1;
/// Ejected backends whose scores fall into the same of so many grades count as alike.
const SCORE_GRADES: f64 = 8.0;
/// How far a signal moves the score: one that leaves little doubt, an error or a failed connection ...
const STRONG_FAILURE_WEIGHT: f64 = 0.6;
/// ... one that chance also gives, a time-out, a full queue or a broken connection ...
const WEAK_FAILURE_WEIGHT: f64 = 0.35;
/// ... the answer to a recovery attempt ...
const RECOVERY_SUCCESS_WEIGHT: f64 = 0.35;
/// ... and any other answer. One failure in eight attempts outweighs the answers to the others.
const SUCCESS_WEIGHT: f64 = 0.05;
/// The first wait before a recovery attempt: this fraction of the shortest latency objective ...
const RECOVERY_WAIT_OBJECTIVE_FRACTION: f64 = 0.5;
/// ... or of the time in which this router comes by every backend once, whichever is longer.
const RECOVERY_WAIT_COVERAGE_FRACTION: f64 = 0.5;
/// How often that wait doubles.
const MAX_RECOVERY_DOUBLINGS: u32 = 3;
/// Stands in for the shortest latency objective where there is no class, in microseconds.
const DEFAULT_OBJECTIVE_US: Micros = 1_000_000;

/// What an ended or overdue attempt says of its backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// Almost certainly at fault.
    StrongFailure,
    /// Perhaps at fault, perhaps unlucky.
    WeakFailure,
    /// Answered.
    Success,
    /// Answered what was sent after its ejection.
    RecoverySuccess,
}

impl HealthSignal {
    /// What the end of an attempt says of its backend, if anything. An attempt that was overdue has counted
    /// against its backend already. `is_recovery`: it was sent after the backend's ejection.
    pub fn of(outcome: Outcome, was_overdue: bool, is_recovery: bool) -> Option<Self> {
        match outcome {
            Outcome::BackendError | Outcome::ConnectFailed => Some(Self::StrongFailure),
            Outcome::ConnectionLost | Outcome::Rejected => Some(Self::WeakFailure),
            Outcome::Succeeded | Outcome::TimedOut if was_overdue => None,
            Outcome::TimedOut => Some(Self::WeakFailure),
            Outcome::Succeeded if is_recovery => Some(Self::RecoverySuccess),
            Outcome::Succeeded => Some(Self::Success),
            Outcome::Cancelled | Outcome::NotSent => None,
        }
    }

    /// What an overdue attempt says of its backend: a strong failure if nothing was heard from it since.
    pub fn of_overdue(is_silent: bool) -> Self {
        if is_silent {
            Self::StrongFailure
        } else {
            Self::WeakFailure
        }
    }

    fn is_failure(self) -> bool {
        matches!(self, Self::StrongFailure | Self::WeakFailure)
    }

    /// How far it moves the score, from 0 (not at all) to 1 (all the way).
    fn weight(self) -> f64 {
        match self {
            Self::StrongFailure => STRONG_FAILURE_WEIGHT,
            Self::WeakFailure => WEAK_FAILURE_WEIGHT,
            Self::Success => SUCCESS_WEIGHT,
            Self::RecoverySuccess => RECOVERY_SUCCESS_WEIGHT,
        }
    }
}

/// A change that a signal brought about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// The backend is an outlier from now on.
    Ejected,
    /// The backend is no outlier any more.
    Recovered,
}

/// The health of one backend, as this router sees it.
#[derive(Clone, Debug, Default)]
pub struct BackendHealth {
    failure_score: f64,
    ejected_at: Micros,
    last_failure_at: Micros,
    /// Whether an ejected backend may be sent one part as a recovery attempt.
    recovery_allowed: bool,
    /// How often the wait for a recovery attempt has doubled.
    recovery_doublings: u32,
}

impl BackendHealth {
    /// Whether the backend is an outlier.
    pub fn is_ejected(&self) -> bool {
        self.failure_score > EJECTION_THRESHOLD
    }

    /// How much other backends are preferred: 0 for one in good health or whose recovery attempt is due, else
    /// higher the higher the failure score. Among ejected backends the one that fails least comes first; the
    /// fewest parts in flight alone would prefer the one that fails fastest.
    pub fn avoidance(&self) -> u32 {
        if self.is_ejected() && !self.recovery_allowed {
            (self.failure_score * SCORE_GRADES) as u32
        } else {
            0
        }
    }

    /// Whether an answer to an attempt that was sent then is a recovery attempt's.
    pub fn is_recovery(&self, sent_at: Micros) -> bool {
        self.is_ejected() && sent_at > self.ejected_at
    }

    /// Uses up the recovery attempt that is allowed, if any; whether the part now sent is one.
    pub fn start_recovery_attempt(&mut self) -> bool {
        std::mem::take(&mut self.recovery_allowed) && self.is_ejected()
    }

    /// Forgets what was held against an earlier process of the backend.
    pub fn reset(&mut self) {
        self.failure_score = 0.0;
        self.recovery_doublings = 0;
    }
}

/// The rule that ejects backends and lets them recover; each backend's state is its [`BackendHealth`].
#[derive(Debug)]
pub struct OutlierDetector {
    shortest_objective: Micros,
    health_checks: bool,
}

impl OutlierDetector {
    /// Takes the classes' shortest latency objective, and whether health checks are allowed.
    pub fn new(settings: &Settings) -> Self {
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        let shortest_objective = objectives.min().unwrap_or(DEFAULT_OBJECTIVE_US);
        Self { shortest_objective, health_checks: settings.limits.health_checks }
    }

    /// Moves a backend's failure score by a signal. One batch counts one failure at most: a connection that
    /// breaks ends many attempts, but it broke once.
    pub fn record(
        &self,
        health: &mut BackendHealth,
        now: Micros,
        signal: HealthSignal,
    ) -> Option<HealthChange> {
        if signal.is_failure() && std::mem::replace(&mut health.last_failure_at, now) == now {
            return None;
        }
        let was_ejected = health.is_ejected();
        let target = if signal.is_failure() { 1.0 } else { 0.0 };
        health.failure_score += signal.weight() * (target - health.failure_score);
        if health.failure_score < RECOVERED_THRESHOLD {
            health.recovery_doublings = 0;
        }
        match (was_ejected, health.is_ejected()) {
            (false, true) => {
                (health.recovery_allowed, health.ejected_at) = (false, now);
                Some(HealthChange::Ejected)
            }
            (true, false) => Some(HealthChange::Recovered),
            _ => None,
        }
    }

    /// How long to wait before the next recovery attempt, in microseconds. `coverage_time` is how long this
    /// router needs to send something to every backend once: with hundreds of routers, one recovery attempt
    /// of each would be all the traffic that a healthy backend gets.
    pub fn recovery_wait(&self, health: &BackendHealth, coverage_time: f64) -> Micros {
        let by_objective = self.shortest_objective as f64 * RECOVERY_WAIT_OBJECTIVE_FRACTION;
        let by_coverage = (RECOVERY_WAIT_COVERAGE_FRACTION * coverage_time).min(MAX_FADE_TIME_US);
        (by_objective.max(by_coverage) as Micros) << health.recovery_doublings
    }

    /// The wait is over: a recovery attempt is allowed, after a health check where these are allowed. Whether
    /// to send that check.
    pub fn recovery_due(&self, health: &mut BackendHealth) -> bool {
        health.recovery_allowed = !self.health_checks;
        self.health_checks
    }

    /// A health check came back; it says something of an ejected backend only. Whether the wait for the next
    /// recovery attempt begins anew.
    pub fn health_check_completed(&self, health: &mut BackendHealth, passed: bool) -> bool {
        if !health.is_ejected() {
            return false;
        }
        health.recovery_allowed = passed;
        !passed
    }

    /// Doubles the wait, up to a limit, after a failed health check or once a recovery attempt was sent.
    pub fn back_off(&self, health: &mut BackendHealth) {
        health.recovery_doublings = (health.recovery_doublings + 1).min(MAX_RECOVERY_DOUBLINGS);
    }
}
