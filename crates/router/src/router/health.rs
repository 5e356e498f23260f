//! Handlers for outlier detection: health signals, ejection and recovery.

use super::Router;
use crate::events::{Action, EndpointState};
use crate::ids::BackendId;
use crate::outlier::{HealthChange, HealthSignal};
use crate::timers::Timer;

impl Router {
    pub(super) fn record_health_signal(&mut self, id: BackendId, signal: HealthSignal) {
        let Some(backend) = self.endpoints.get_mut(id) else { return };
        match self.outliers.record(&mut backend.health, self.now, signal) {
            None => {}
            Some(HealthChange::Ejected) => {
                self.schedule_recovery_attempt(id);
                self.actions.push(Action::BackendEjected(id));
            }
            Some(HealthChange::Recovered) => self.actions.push(Action::BackendRecovered(id)),
        }
    }

    /// Handles the end of the wait for a recovery attempt of a backend.
    pub(super) fn recovery_due(&mut self, id: BackendId) {
        let Some(backend) = self.endpoints.get_mut(id) else { return };
        if !backend.health.is_ejected() || backend.state == EndpointState::Removed {
            return;
        }
        if self.outliers.recovery_due(&mut backend.health) {
            self.actions.push(Action::HealthCheck(id));
        }
    }

    pub(super) fn health_check_completed(&mut self, id: BackendId, passed: bool) {
        let Some(backend) = self.endpoints.get_mut(id) else { return };
        if self.outliers.health_check_completed(&mut backend.health, passed) {
            self.back_off_recovery(id);
        }
    }

    /// Increases the wait for the next recovery attempt, after one has failed or was sent and may fail.
    pub(super) fn back_off_recovery(&mut self, id: BackendId) {
        let Some(backend) = self.endpoints.get_mut(id) else { return };
        self.outliers.back_off(&mut backend.health);
        self.schedule_recovery_attempt(id);
    }

    fn schedule_recovery_attempt(&mut self, id: BackendId) {
        let coverage_time = self.coverage_time();
        let Some(backend) = self.endpoints.get(id) else { return };
        let wait = self.outliers.recovery_wait(&backend.health, coverage_time);
        self.timers.set(self.now + wait, Timer::RecoveryAttempt(id));
    }
}
