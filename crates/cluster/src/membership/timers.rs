//! The timers of membership: the next probe, ack timeouts and suspicion timeouts.

use super::member::Identity;
use super::messages::{MemberState, MemberUpdate, ProbeResult};
use super::view::Membership;
use crate::{Micros, PeerId};

/// Timers that fire later than this indicate a fault of this process itself, in microseconds.
const LATE_TIMER: Micros = 50_000;

impl Membership {
    /// Returns when [`Membership::handle_timeout`] is due next.
    #[must_use]
    pub fn poll_timeout(&self) -> Option<Micros> {
        let probes = self.probes.values().map(|probe| probe.deadline);
        let relayed = self.relayed_probes.values().map(|relayed| relayed.deadline);
        let suspicions = self.members.iter().filter_map(|member| self.suspicion_deadline(member));
        let is_probing = !self.shutting_down && self.identity != Identity::Superseded;
        let next_probe = is_probing.then_some(self.next_probe);
        probes.chain(relayed).chain(suspicions).chain(next_probe).min()
    }

    /// Handles all timers that are due.
    pub fn handle_timeout(&mut self, now: Micros) {
        let Some(due) = self.poll_timeout().filter(|&due| due <= now) else { return };
        let late = now - due;
        if late > LATE_TIMER {
            return self.handle_late_timers(now, late);
        }
        self.end_overdue_relayed_probes(now);
        self.escalate_overdue_probes(now);
        self.end_overdue_suspicions(now);
        if self.next_probe <= now {
            self.next_probe = now + self.timing.probe_interval;
            if let Some(target) = self.next_probe_target() {
                self.start_probe(now, target);
            }
        }
    }

    fn end_overdue_relayed_probes(&mut self, now: Micros) {
        let overdue = self.relayed_probes.iter().filter(|(_, relayed)| relayed.deadline <= now);
        let overdue: Vec<u64> = overdue.map(|(&seq, _)| seq).collect();
        for seq in overdue {
            self.end_relayed_probe(seq, ProbeResult::NoResponse);
        }
    }

    /// Turns direct probes without an ack into indirect ones, and indirect ones into suspicions.
    fn escalate_overdue_probes(&mut self, now: Micros) {
        let overdue = self.probes.iter().filter(|(_, probe)| probe.deadline <= now);
        let overdue: Vec<(u64, bool, PeerId)> =
            overdue.map(|(&seq, probe)| (seq, probe.is_direct, probe.target)).collect();
        for (seq, is_direct, target) in overdue {
            if is_direct {
                self.ping_unanswered(target);
                self.send_ping_reqs(now, seq);
            } else {
                self.probe_failed(now, seq);
            }
        }
    }

    fn end_overdue_suspicions(&mut self, now: Micros) {
        for peer in self.peers() {
            let deadline = self.suspicion_deadline(&self.members[usize::from(peer.0)]);
            let is_overdue = deadline.is_some_and(|deadline| deadline <= now);
            if let (true, Some(suspicion)) = (is_overdue, self.member_update(peer)) {
                let dead = MemberUpdate { state: MemberState::Dead, source: self.me, ..suspicion };
                self.apply_update(now, dead);
            }
        }
    }

    /// Handles timers that fired late, for example after a pause of this process. Messages that did not
    /// arrive meanwhile are no evidence against other members: open probes restart, suspicions are extended
    /// by the delay, and the local health multiplier goes up.
    fn handle_late_timers(&mut self, now: Micros, late: Micros) {
        self.raise_local_health_multiplier();
        let deadline = now + self.ack_timeout();
        self.probes.values_mut().for_each(|probe| probe.deadline = deadline);
        self.relayed_probes.values_mut().for_each(|relayed| relayed.deadline = deadline);
        for member in &mut self.members {
            if member.is(MemberState::Suspect) {
                member.suspected_at += late;
            }
        }
        self.next_probe = now + self.timing.probe_interval;
    }
}
