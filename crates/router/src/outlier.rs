//! Outlier detection: which backends are ejected, and how they recover.
//!
//! Each backend has a failure score from 0 to 1 that every health signal moves: errors, lost and failed
//! connections, rejections, timeouts and overdue attempts towards 1, answers towards 0. Above a threshold the
//! backend is ejected: other replicas are preferred, as long as there are any. After a wait that doubles with
//! each unsuccessful recovery attempt, an ejected backend is sent one part (after a health check, where
//! health checks are allowed), and the answer to it counts for more than an ordinary one.

use crate::events::Outcome;
use crate::ids::Micros;
use crate::settings::Settings;
use crate::traffic::MAX_FADE_TIME_US;

/// Failure score above which a backend is ejected.
const EJECTION_THRESHOLD: f64 = 0.5;
/// Failure score below which earlier failed recovery attempts are forgotten.
const RECOVERED_THRESHOLD: f64 = 0.1;
/// Number of grades of the failure score. Ejected backends in the same grade rank equally.
const SCORE_GRADES: f64 = 8.0;
/// Weight of an error or a failed connection, which are almost certainly the fault of the backend.
const STRONG_FAILURE_WEIGHT: f64 = 0.6;
/// Weight of a timeout, a rejection by a full queue or a lost connection, which can also occur by chance.
const WEAK_FAILURE_WEIGHT: f64 = 0.35;
/// Weight of the answer to a recovery attempt.
const RECOVERY_SUCCESS_WEIGHT: f64 = 0.35;
/// Weight of any other answer. One failure in eight attempts outweighs the answers to the others.
const SUCCESS_WEIGHT: f64 = 0.05;
/// Minimum initial wait before a recovery attempt, as a fraction of the shortest latency objective.
const RECOVERY_WAIT_OBJECTIVE_FRACTION: f64 = 0.5;
/// Minimum initial wait before a recovery attempt, as a fraction of the time in which this router sends
/// something to every backend once. The longer of the two waits applies.
const RECOVERY_WAIT_COVERAGE_FRACTION: f64 = 0.5;
/// Maximum number of times that the wait before a recovery attempt doubles.
const MAX_RECOVERY_DOUBLINGS: u32 = 3;
/// Shortest latency objective that is assumed if there is no class, in microseconds.
const DEFAULT_OBJECTIVE_US: Micros = 1_000_000;

/// What an ended or overdue attempt indicates about its backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// The backend is almost certainly at fault.
    StrongFailure,
    /// The backend may be at fault, or the failure may be chance.
    WeakFailure,
    /// The backend answered.
    Success,
    /// The backend answered an attempt that was sent after its ejection.
    RecoverySuccess,
}

impl HealthSignal {
    /// Returns the signal of an ended attempt, if any. An attempt that was overdue has already counted
    /// against its backend. `is_recovery` is set if it was sent after the backend's ejection.
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

    /// Returns the signal of an overdue attempt: a strong failure if the backend has not responded since the
    /// attempt was sent.
    pub fn of_overdue(is_unresponsive: bool) -> Self {
        if is_unresponsive {
            Self::StrongFailure
        } else {
            Self::WeakFailure
        }
    }

    fn is_failure(self) -> bool {
        matches!(self, Self::StrongFailure | Self::WeakFailure)
    }

    /// Returns how far the signal moves the score, from 0 (not at all) to 1 (all the way).
    fn weight(self) -> f64 {
        match self {
            Self::StrongFailure => STRONG_FAILURE_WEIGHT,
            Self::WeakFailure => WEAK_FAILURE_WEIGHT,
            Self::Success => SUCCESS_WEIGHT,
            Self::RecoverySuccess => RECOVERY_SUCCESS_WEIGHT,
        }
    }
}

/// A change of a backend's state that a signal caused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// The backend was ejected.
    Ejected,
    /// The backend recovered.
    Recovered,
}

/// Health of one backend, as seen by this router.
#[derive(Clone, Debug, Default)]
pub struct BackendHealth {
    failure_score: f64,
    ejected_at: Micros,
    last_failure_at: Micros,
    /// Whether an ejected backend may be sent one part as a recovery attempt.
    recovery_allowed: bool,
    /// Number of times that the wait for a recovery attempt has doubled.
    recovery_doublings: u32,
}

impl BackendHealth {
    /// Returns whether the backend is ejected.
    pub fn is_ejected(&self) -> bool {
        self.failure_score > EJECTION_THRESHOLD
    }

    /// Returns the backend's penalty in replica selection: 0 if it is healthy or its recovery attempt is
    /// allowed, otherwise a grade that grows with the failure score. Among ejected backends the one that
    /// fails least is preferred; the fewest parts in flight alone would prefer the one that fails fastest.
    pub fn selection_penalty(&self) -> u32 {
        if self.is_ejected() && !self.recovery_allowed {
            (self.failure_score * SCORE_GRADES) as u32
        } else {
            0
        }
    }

    /// Returns whether an attempt sent at `sent_at` counts as a recovery attempt.
    pub fn is_recovery(&self, sent_at: Micros) -> bool {
        self.is_ejected() && sent_at > self.ejected_at
    }

    /// Uses up the allowed recovery attempt, if any. Returns whether the part that is sent now is one.
    pub fn start_recovery_attempt(&mut self) -> bool {
        std::mem::take(&mut self.recovery_allowed) && self.is_ejected()
    }

    /// Resets the health after a restart of the backend: its earlier process's failures no longer count.
    pub fn reset(&mut self) {
        self.failure_score = 0.0;
        self.recovery_doublings = 0;
    }
}

/// Ejects backends and lets them recover. The state of each backend is its [`BackendHealth`].
#[derive(Debug)]
pub struct OutlierDetector {
    shortest_objective: Micros,
    health_checks: bool,
}

impl OutlierDetector {
    /// Creates a detector from the classes' shortest latency objective and whether health checks are allowed.
    pub fn new(settings: &Settings) -> Self {
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        let shortest_objective = objectives.min().unwrap_or(DEFAULT_OBJECTIVE_US);
        Self { shortest_objective, health_checks: settings.limits.health_checks }
    }

    /// Applies a signal to a backend's failure score. At most one failure per batch counts: a lost connection
    /// ends many attempts at once, but is one failure.
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

    /// Returns the wait before the next recovery attempt, in microseconds. `coverage_time` is the time in
    /// which this router sends something to every backend once: with hundreds of routers, one recovery
    /// attempt from each would add up to the whole traffic of a healthy backend.
    pub fn recovery_wait(&self, health: &BackendHealth, coverage_time: f64) -> Micros {
        let by_objective = self.shortest_objective as f64 * RECOVERY_WAIT_OBJECTIVE_FRACTION;
        let by_coverage = (RECOVERY_WAIT_COVERAGE_FRACTION * coverage_time).min(MAX_FADE_TIME_US);
        (by_objective.max(by_coverage) as Micros) << health.recovery_doublings
    }

    /// Handles the end of the wait: allows a recovery attempt, unless a health check has to pass first.
    /// Returns whether to send that health check.
    pub fn recovery_due(&self, health: &mut BackendHealth) -> bool {
        health.recovery_allowed = !self.health_checks;
        self.health_checks
    }

    /// Handles the result of a health check, which counts for an ejected backend only. Returns whether the
    /// wait for the next recovery attempt starts again.
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
