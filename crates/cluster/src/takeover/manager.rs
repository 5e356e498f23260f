//! The takeover manager of one process: its state, and the handling of peers and their messages.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::actions::{Action, RequestState};
use super::candidates::Candidates;
use super::messages::Message;
use super::query_state::{PendingPermit, QueryTable};
use crate::register::{
    acceptors_for, Acceptor, AcceptorLimits, AcceptorReply, AcceptorUsage, Ballot, Epochs, Incarnations,
    ProposerRequest, QueryId, StateTransfer,
};
use crate::{Incarnation, Micros, PeerId};

/// The configuration of a takeover manager.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakeoverConfig {
    /// This process.
    pub me: PeerId,
    /// Number of peers in the list, including this process.
    pub peer_count: usize,
    /// Number of acceptors of a query.
    pub group_size: usize,
    /// Limits of this process as an acceptor.
    pub limits: AcceptorLimits,
}

/// What a takeover manager currently stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakeoverUsage {
    /// Queries that this process proposes for or awaits the outcome of.
    pub queries: usize,
    /// Records that it stores as an acceptor.
    pub acceptor: AcceptorUsage,
}

/// One process's role in all non-idempotent queries, as their acceptor and as their proposer.
#[derive(Debug)]
pub struct TakeoverManager {
    pub(super) config: TakeoverConfig,
    /// `None` before the first peer is connected: until then this process's own incarnation is not final.
    pub(super) acceptor: Option<Acceptor>,
    /// The last known incarnations of peers that have been connected, and of this process.
    pub(super) incarnations: Incarnations,
    /// The last epochs that they announced in these incarnations.
    pub(super) epochs: Epochs,
    /// Peers that membership considers unavailable: advice.
    pub(super) unavailable: BTreeSet<PeerId>,
    pub(super) queries: QueryTable,
    pub(super) candidates: Candidates,
    /// Number of ballots created in this incarnation.
    pub(super) ballot_sequence: u64,
    pub(super) last_scan: Micros,
    pub(super) actions: Vec<Action>,
}

impl TakeoverManager {
    /// Creates a manager that knows no peer. No acceptor can be reached before a first peer is connected.
    #[must_use]
    pub fn new(config: TakeoverConfig) -> Self {
        Self {
            config,
            acceptor: None,
            incarnations: Incarnations::new(),
            epochs: Epochs::new(),
            unavailable: BTreeSet::new(),
            queries: QueryTable::default(),
            candidates: Candidates::default(),
            ballot_sequence: 0,
            last_scan: 0,
            actions: Vec::new(),
        }
    }

    /// Returns the actions since the last call, in the order to execute them.
    pub fn take_actions(&mut self) -> Vec<Action> {
        self.queries.update_timers();
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of queries and what is stored as an acceptor.
    #[must_use]
    pub fn usage(&self) -> TakeoverUsage {
        let acceptor = self.acceptor.as_ref().map(Acceptor::usage).unwrap_or_default();
        TakeoverUsage { queries: self.queries.len(), acceptor }
    }

    /// Returns the state of a query at this instance.
    #[must_use]
    pub fn request_state(&self, id: &str) -> RequestState {
        match self.queries.get(id) {
            None => RequestState::Unknown,
            Some(query) if query.is_running && query.proposer.is_some() && query.end.is_none() => {
                RequestState::Running
            }
            Some(_) => RequestState::AwaitingOutcome,
        }
    }

    /// Returns a new ballot, which no proposer has ever used.
    pub(super) fn next_ballot(&mut self, round: u32) -> Ballot {
        self.ballot_sequence += 1;
        Ballot {
            round,
            proposer: self.config.me,
            incarnation: self.incarnation(),
            sequence: self.ballot_sequence,
        }
    }

    pub(super) fn incarnation(&self) -> Incarnation {
        self.acceptor.as_ref().map(Acceptor::incarnation).unwrap_or_default()
    }

    pub(super) fn acceptors_for(&self, id: &str) -> Vec<PeerId> {
        acceptors_for(id, self.config.peer_count, self.config.group_size)
    }

    /// Sends a message to a peer, or handles it at once if it is addressed to this process.
    pub(super) fn send(&mut self, now: Micros, to: PeerId, message: Message) {
        if to == self.config.me {
            self.handle_message(now, to, message);
        } else {
            self.actions.push(Action::Send { to, message: Box::new(message) });
        }
    }

    /// Sends a request to each acceptor of a query.
    pub(super) fn send_to_acceptors(
        &mut self,
        now: Micros,
        id: &QueryId,
        request: impl Fn() -> ProposerRequest,
    ) {
        for to in self.acceptors_for(id) {
            self.send(now, to, Message::Request(request()));
        }
    }

    pub(super) fn decide_permit(&mut self, id: &QueryId, permit: PendingPermit, granted: bool) {
        let (part, attempt) = (permit.intent.part, permit.intent.attempt);
        self.actions.push(Action::PermitDecided { id: Arc::clone(id), part, attempt, granted });
    }

    pub(super) fn deny_permits(&mut self, id: &QueryId, permits: Vec<PendingPermit>) {
        for permit in permits {
            self.decide_permit(id, permit, false);
        }
    }

    fn start_acceptor(&mut self, now: Micros, own: Incarnation) {
        let TakeoverConfig { me, peer_count, group_size, limits } = self.config;
        self.acceptor = Some(Acceptor::new(now, me, own, peer_count, group_size, limits));
        self.incarnations.insert(me, own);
        self.epochs.insert(me, 0);
    }

    /// Handles a new connection to a peer; `own` is this process's incarnation in the handshake.
    pub fn peer_connected(&mut self, now: Micros, peer: PeerId, incarnation: Incarnation, own: Incarnation) {
        if self.acceptor.is_none() {
            self.start_acceptor(now, own);
        }
        let before = self.incarnations.insert(peer, incarnation);
        if before != Some(incarnation) {
            // The epoch is unknown until the peer announces it.
            self.epochs.remove(&peer);
        }
        self.unavailable.remove(&peer);
        self.request_transfer(peer, before != Some(incarnation));
        if before.is_some_and(|before| before != incarnation) {
            self.schedule_takeovers_from(now, peer);
        }
    }

    /// Requests a peer's records if they are needed. A peer that restarted gets the request in any case,
    /// since it no longer knows this process's incarnation.
    fn request_transfer(&mut self, peer: PeerId, restarted: bool) {
        let pending = self.acceptor.as_ref().map(Acceptor::pending_transfers).unwrap_or_default();
        let pending = pending.into_iter().find(|pending| pending.peer == peer);
        if pending.is_none() && !restarted {
            return;
        }
        let after = pending.and_then(|pending| pending.after);
        let message = Message::TransferRequest { incarnation: self.incarnation(), after };
        self.actions.push(Action::Send { to: peer, message: Box::new(message) });
    }

    /// Continues under another incarnation of this process. Permits of the former one are no longer valid.
    pub fn incarnation_changed(&mut self, now: Micros, own: Incarnation) {
        self.start_acceptor(now, own);
        self.candidates = Candidates::default();
        for (id, query) in self.queries.take_all() {
            let not_executed = query.is_certainly_not_executed();
            self.deny_permits(&id, query.pending_permits);
            self.actions.push(Action::OutcomeUnknown { id, not_executed });
        }
    }

    /// Handles a change of a peer's availability in membership; a suspect, dead or left peer is unavailable.
    /// This is advice.
    pub fn peer_availability_changed(&mut self, now: Micros, peer: PeerId, unavailable: bool) {
        let changed =
            if unavailable { self.unavailable.insert(peer) } else { self.unavailable.remove(&peer) };
        if changed && unavailable {
            self.schedule_takeovers_from(now, peer);
        }
    }

    /// Handles a message from a peer, or from this process itself.
    pub fn handle_message(&mut self, now: Micros, from: PeerId, message: Message) {
        match message {
            Message::Request(request) => self.handle_request(now, from, request),
            Message::Reply(reply) => self.handle_reply(now, from, reply),
            Message::TransferRequest { incarnation, after } => {
                let Some(acceptor) = &mut self.acceptor else { return };
                let transfer = acceptor.serve_transfer(now, from, incarnation, after);
                self.send(now, from, Message::StateTransfer(transfer));
            }
            Message::StateTransfer(transfer) => self.handle_transfer(now, from, transfer),
            Message::Epoch { incarnation, epoch } => self.learn_epoch(from, incarnation, epoch),
        }
    }

    /// Handles a proposer's request to this process as an acceptor.
    fn handle_request(&mut self, now: Micros, from: PeerId, request: ProposerRequest) {
        let id = Arc::clone(request.id());
        let is_read = matches!(request, ProposerRequest::ReadRecord { .. });
        let Some(acceptor) = &mut self.acceptor else { return };
        let reply = acceptor.handle_request(now, request);
        let is_relinquished = match acceptor.record(&id) {
            Some(record) if !record.chosen => {
                if is_read && from != self.config.me {
                    self.candidates.subscribe(&id, from);
                }
                self.candidates.watch(now, &id);
                record.relinquished
            }
            _ => {
                self.notify_subscribers(&id, from);
                self.candidates.unwatch(&id);
                false
            }
        };
        if is_relinquished && !is_read && !self.candidates.is_scheduled(&id) {
            self.schedule_takeover(now, &id);
        }
        if let Some(reply) = reply {
            self.send(now, from, Message::Reply(reply));
        }
    }

    /// Sends the record of an ended query to its subscribers, except the one that reported the outcome.
    fn notify_subscribers(&mut self, id: &QueryId, except: PeerId) {
        let subscribers = self.candidates.take_subscribers(id);
        let record = self.acceptor.as_ref().and_then(|acceptor| acceptor.record(id));
        let Some(record) = record else { return };
        for to in subscribers.into_iter().filter(|to| *to != except) {
            let (id, record) = (Arc::clone(id), Some(record.clone()));
            let reply = AcceptorReply::RecordRead { id, record, possibly_forgotten: false };
            self.actions.push(Action::Send { to, message: Box::new(Message::Reply(reply)) });
        }
    }

    /// Handles a page of another acceptor's records.
    fn handle_transfer(&mut self, now: Micros, from: PeerId, transfer: StateTransfer) {
        self.learn_epoch(transfer.from, transfer.incarnation, transfer.epoch);
        let Some(acceptor) = &mut self.acceptor else { return };
        let incarnation = acceptor.incarnation();
        let next = acceptor.receive_transfer(now, transfer);
        for (id, _) in acceptor.open_records() {
            self.candidates.watch(now, id);
        }
        if next.is_some() {
            self.send(now, from, Message::TransferRequest { incarnation, after: next });
        }
    }

    fn learn_epoch(&mut self, peer: PeerId, incarnation: Incarnation, epoch: u64) {
        if self.incarnations.get(&peer) == Some(&incarnation) {
            let known = self.epochs.entry(peer).or_insert(epoch);
            *known = (*known).max(epoch);
        }
    }
}
