//! State of one backend, as seen by this router.

use std::collections::BTreeMap;

use crate::events::EndpointState;
use crate::ids::{Micros, ZoneId};
use crate::latency::RecentLatency;
use crate::outlier::BackendHealth;
use crate::query::CallId;
use crate::slow_start::{Candidate, RecentWork};

/// State of one backend. Each rule defines the type of its part of the state in its module.
#[derive(Debug, Default)]
pub(crate) struct Backend {
    pub(crate) ring_position: u32,
    pub(crate) zone: Option<ZoneId>,
    pub(crate) state: EndpointState,
    /// Time of its last start; `None` if that was long ago.
    pub(crate) started_at: Option<Micros>,
    /// This router's calls in flight, oldest first.
    pub(crate) calls: BTreeMap<CallId, Call>,
    pub(crate) latency: RecentLatency,
    pub(crate) health: BackendHealth,
    pub(crate) recent_work: RecentWork,
}

/// A call in flight.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) sent_at: Micros,
    pub(crate) parts_in_flight: u32,
}

impl Backend {
    pub(crate) fn parts_in_flight(&self) -> u32 {
        self.calls.values().map(|call| call.parts_in_flight).sum()
    }

    /// Adds a part that is sent with this call.
    pub(crate) fn add_part(&mut self, call: CallId, now: Micros) {
        let call = self.calls.entry(call).or_insert(Call { sent_at: now, parts_in_flight: 0 });
        call.parts_in_flight += 1;
    }

    /// Removes a part of a call; the call ends with its last part.
    pub(crate) fn remove_part(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.parts_in_flight -= 1;
        if call.parts_in_flight == 0 {
            self.calls.remove(&id);
        }
    }

    /// Returns the expected latency of a part sent now, in microseconds: the recent latency plus the age of
    /// the oldest call in flight.
    pub(crate) fn expected_wait(&self, now: Micros, fade_time: f64) -> f64 {
        let oldest = self.calls.values().next().map_or(0, |call| now - call.sent_at);
        self.latency.faded(now, fade_time) + oldest as f64
    }

    /// Returns the data that slow start needs.
    pub(crate) fn as_candidate(&self) -> Candidate<'_> {
        Candidate { started_at: self.started_at, recent_work: &self.recent_work }
    }
}
