//! Decides, for all ids of a process at once, who takes over what and when, and what of it may be done here.
//!
//! The register says what is allowed; this says who tries. A keeper tries for an id once it holds the one that
//! acts for it to be away, each keeper later than the one before it in the id's own order, so that mostly one
//! does. Two that try at once cost a round, never a second run. All waits in here choose when to ask again, when
//! to try and when to tell a client that nothing can be known; none of them allows anything.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::agenda::Agenda;
use crate::planted::{self, Bug};
use crate::register::{
    acceptors_for, payload_digest, AbstainReason, Acceptor, AcceptorLimits, AcceptorReply, AcceptorUsage,
    AttemptRef, Ballot, Epochs, Incarnations, OpenedAt, PendingTransfer, Proposer, ProposerPhase,
    ProposerRequest, QueryId, Record, RecordedOutcome, StateTransfer,
};
use crate::{Incarnation, Micros, PeerId};

/// Between processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// To a keeper.
    Request(ProposerRequest),
    /// From a keeper.
    Reply(AcceptorReply),
    /// A keeper that has started says in which life it is, and asks for what is held after this id.
    TransferRequest(Incarnation, Option<QueryId>),
    /// What another holds of ids that both keep.
    StateTransfer(StateTransfer),
    /// A keeper's epoch, in this life of it.
    Epoch(Incarnation, u64),
}

impl Message {
    /// Whether somebody gets on with what he does only once it has come. That an id is settled, or an epoch is over,
    /// lets others forget, and what asks for it meanwhile is told all the same.
    #[must_use]
    pub fn is_awaited(&self) -> bool {
        !matches!(self, Self::Request(ProposerRequest::Chosen { .. }) | Self::Epoch(..))
    }
}

/// How an id ended, the same for whoever asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryEnd {
    /// With this answer.
    Answered(Arc<[u8]>),
    /// Its gatherer was lost while a part of it may have run.
    PossiblyExecuted,
    /// No part of it ran.
    NotExecuted,
}

impl QueryEnd {
    /// As records hold it.
    #[must_use]
    pub fn to_bytes(&self) -> Arc<[u8]> {
        match self {
            Self::Answered(words) => [&[0], &words[..]].concat().into(),
            Self::PossiblyExecuted => [1].into(),
            Self::NotExecuted => [2].into(),
        }
    }

    /// As a record holds it. What cannot be read may have run.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Self {
        match bytes.split_first() {
            Some((0, words)) => Self::Answered(words.into()),
            Some((2, [])) => Self::NotExecuted,
            _ => Self::PossiblyExecuted,
        }
    }
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// To be sent to a peer.
    Send(PeerId, Box<Message>),
    /// An attempt has leave to be sent, or never will have.
    PermitDecided {
        /// The id.
        id: QueryId,
        /// The part.
        part: u32,
        /// The attempt.
        attempt: u32,
        /// Whether it may be sent.
        granted: bool,
    },
    /// How an id ended: to be told to whoever waits for it here.
    QueryEnded(QueryId, QueryEnd),
    /// Another process acts for this id: nothing more is done for it here, and how it ends is told once known.
    OwnedByPeer(QueryId),
    /// The same id was asked with another body.
    RequestIdConflict(QueryId),
    /// To be run here, for nothing of it can have run: what was asked, and so long ago.
    TakeOver(QueryId, Arc<[u8]>, Micros),
    /// No majority of its keepers is within reach, and the time that this may take is over.
    OutcomeUnknown {
        /// The id.
        id: QueryId,
        /// Nothing of it ran, and nothing will: it may be told that it was refused.
        not_executed: bool,
    },
}

/// What a client here asked under an id.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest<'a> {
    /// The id.
    pub id: &'a QueryId,
    /// What was asked, by which another could run it; begins with eight bytes that tell one body from another.
    pub payload: &'a Arc<[u8]>,
    /// When nobody waits for the id any more.
    pub deadline: Micros,
    /// Its client said that this is its first try, so that nobody else can have been asked.
    pub is_first_attempt: bool,
}

/// What is being done for an id at a desk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// Nothing.
    Unknown,
    /// It is run by this process: for a client of its own, or taken over.
    Running,
    /// It is being taken over, or its end is waited for; nothing may be run for it.
    AwaitingOutcome,
}

/// What a desk follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakeoverConfig {
    /// This process's place in the list.
    pub me: PeerId,
    /// How many are in the list.
    pub peer_count: usize,
    /// How many keepers an id has.
    pub group_size: usize,
    /// What it holds as a keeper; `life` is how long an id may be asked again.
    pub limits: AcceptorLimits,
}

/// What no word came on is said again after this wait, and then after twice as long each time: where keepers are
/// away or full for long, hundreds of ids must not fill all links with what nobody can answer.
const RESEND_INTERVAL: Micros = 30_000;
/// How often that wait doubles.
const RESEND_DOUBLINGS: u32 = 4;
/// Leave for a first attempt that a majority has not given by then is not waited for.
const PERMIT_TIMEOUT: Micros = 200_000;
/// Each keeper tries so much later than the one before it.
const TAKEOVER_STAGGER: Micros = 60_000;
/// How long it is until a keeper is asked again what it holds, while an id is waited for; then twice as long, up to
/// 64 times: who was asked tells the end when it comes, and what is asked again is for words that were lost. (At
/// 20 ms each time, a hundred clients that asked again took all that links carry.)
const OUTCOME_POLL_INTERVAL: Micros = 20_000;
const OUTCOME_POLL_DOUBLINGS: u32 = 6;
/// Keepers that have started ask again whom they have not heard whole, and old records are looked for.
const SCAN_INTERVAL: Micros = 250_000;
/// Ids that are being taken over at a time; the others wait, the oldest first.
const CONCURRENT_TAKEOVERS: usize = 32;

/// What this process does for one id.
#[derive(Debug)]
struct QueryState {
    proposer: Option<Proposer>,
    payload: Arc<[u8]>,
    /// Somebody here waits for how it ends.
    has_local_clients: bool,
    /// What was asked was handed out to be run, or is being run for a client here.
    is_running: bool,
    /// A client here asked it for the first time.
    is_first_attempt: bool,
    /// An attempt had leave under this process's ballots.
    any_permitted: bool,
    /// An attempt was written and taken back: whoever takes over may run it.
    any_revoked: bool,
    /// Attempts that wait for leave, since when.
    pending_permits: Vec<(u32, u32, AttemptRef, Micros)>,
    end: Option<QueryEnd>,
    deadline: Micros,
    /// It is refused here, and whether a majority takes that has to be known by then.
    reject_deadline: Option<Micros>,
    resend_at: Micros,
    /// The version that keepers were told last.
    sent_version: u32,
    /// How often in a row it was told for want of words.
    resends: u32,
}

impl QueryState {
    /// One that nobody here waits for, and of which nothing was done yet.
    fn new(now: Micros, proposer: Proposer, payload: Arc<[u8]>, deadline: Micros) -> Self {
        Self {
            proposer: Some(proposer),
            payload,
            has_local_clients: false,
            is_running: false,
            is_first_attempt: false,
            any_permitted: false,
            any_revoked: false,
            pending_permits: Vec::new(),
            end: None,
            deadline,
            reject_deadline: None,
            resend_at: now,
            sent_version: 0,
            resends: 0,
        }
    }

    /// When there is no more use in it. What another acts for is waited for as long as its client has time.
    fn deadline(&self) -> Micros {
        let reject_deadline = self.reject_deadline.filter(|_| self.proposer.is_some());
        reject_deadline.map_or(self.deadline, |reject_deadline| reject_deadline.min(self.deadline))
    }

    /// When it is to be looked at next.
    fn next_timeout(&self) -> Micros {
        let relinquish = self.pending_permits.iter().map(|(.., since)| since + PERMIT_TIMEOUT);
        relinquish.chain([self.resend_at, self.deadline()]).min().unwrap_or(self.resend_at)
    }

    /// Whether its client may be told that nothing ran, though no majority was told so: nobody else was asked
    /// before, nothing was sent, and whatever was written of it is not taken back anywhere, so that who takes
    /// over finds either nothing to run, or what may have run.
    fn certainly_not_executed(&self) -> bool {
        self.is_first_attempt && !self.any_permitted && !self.any_revoked && self.proposer.is_some()
    }
}

/// All that is done for ids here. Whatever is looked at for a change is put on the agenda anew before the next look
/// at that: hundreds of ids wait while keepers are away, and a look at all of them with each message that comes
/// makes a busy process slower the more of them wait, until it does nothing else.
#[derive(Debug, Default)]
struct QueryTable {
    all: BTreeMap<QueryId, QueryState>,
    agenda: Agenda,
    touched: BTreeSet<QueryId>,
}

impl QueryTable {
    fn get(&self, id: &str) -> Option<&QueryState> {
        self.all.get(id)
    }

    fn get_mut(&mut self, id: &QueryId) -> Option<&mut QueryState> {
        let query = self.all.get_mut(id)?;
        self.touched.insert(Arc::clone(id));
        Some(query)
    }

    fn insert(&mut self, id: &QueryId, query: QueryState) {
        self.all.insert(Arc::clone(id), query);
        self.touched.insert(Arc::clone(id));
    }

    fn remove(&mut self, id: &QueryId) {
        self.all.remove(id);
        self.agenda.remove(id);
        self.touched.remove(id);
    }

    /// Puts on the agenda what was changed.
    fn plan(&mut self) {
        for id in std::mem::take(&mut self.touched) {
            self.agenda.set(&id, self.all.get(&id).map(QueryState::next_timeout));
        }
    }

    fn poll_timeout(&self) -> Option<Micros> {
        let touched = self.touched.iter().filter_map(|id| Some(self.all.get(id)?.next_timeout()));
        touched.chain(self.agenda.first()).min()
    }

    /// Those whose time has come; each has to be looked at for a change.
    fn take(&mut self, now: Micros) -> Vec<QueryId> {
        self.plan();
        self.agenda.take(now)
    }

    /// Whether so many are being run that were taken over.
    fn is_full(&self, most: usize) -> bool {
        let taken = self.all.values().filter(|query| query.is_running && !query.has_local_clients);
        taken.take(most).count() == most
    }
}

/// One process's part in all ids.
#[derive(Debug)]
pub struct TakeoverManager {
    config: TakeoverConfig,
    acceptor: Option<Acceptor>,
    /// The present lives of those that have been linked.
    incarnations: Incarnations,
    /// And their epochs.
    epochs: Epochs,
    unavailable: BTreeSet<PeerId>,
    queries: QueryTable,
    /// Ids that this keeper may take over, with when they came to it.
    watched: BTreeMap<QueryId, Micros>,
    /// When it tries for them.
    takeover_timers: Agenda,
    /// Peers that wait for the end of an id that is kept here: they hear of it at once, and need not ask often.
    subscribers: BTreeMap<QueryId, BTreeSet<PeerId>>,
    /// Ids that nobody acts for as far as these keepers know.
    release_votes: BTreeMap<QueryId, BTreeSet<PeerId>>,
    sequence: u64,
    last_scan: Micros,
    actions: Vec<Action>,
}

impl TakeoverManager {
    /// A desk that knows nobody; until a first link there are no keepers within reach.
    #[must_use]
    pub fn new(config: TakeoverConfig) -> Self {
        Self {
            config,
            acceptor: None,
            incarnations: Incarnations::new(),
            epochs: Epochs::new(),
            unavailable: BTreeSet::new(),
            queries: QueryTable::default(),
            watched: BTreeMap::new(),
            takeover_timers: Agenda::default(),
            subscribers: BTreeMap::new(),
            release_votes: BTreeMap::new(),
            sequence: 0,
            last_scan: 0,
            actions: Vec::new(),
        }
    }

    /// What is to be done since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        self.queries.plan();
        std::mem::take(&mut self.actions)
    }

    /// Ids that something is done for here, and records kept with their bytes.
    #[must_use]
    pub fn usage(&self) -> (usize, usize, usize) {
        let AcceptorUsage { records, bytes } =
            self.acceptor.as_ref().map(Acceptor::usage).unwrap_or_default();
        (self.queries.all.len(), records, bytes)
    }

    /// What is being done for an id here.
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

    /// A ballot that nobody ever had.
    fn next_ballot(&mut self, round: u32) -> Ballot {
        self.sequence += 1;
        Ballot { round, proposer: self.config.me, incarnation: self.incarnation(), sequence: self.sequence }
    }

    fn incarnation(&self) -> Incarnation {
        self.acceptor.as_ref().map(Acceptor::incarnation).unwrap_or_default()
    }

    /// A link is up: to whom, in which life, and in which life this process is itself.
    pub fn peer_connected(&mut self, now: Micros, peer: PeerId, incarnation: Incarnation, own: Incarnation) {
        if self.acceptor.is_none() {
            let TakeoverConfig { me, peer_count, group_size, limits } = self.config;
            self.acceptor = Some(Acceptor::new(now, me, own, peer_count, group_size, limits));
            self.incarnations.insert(me, own);
            self.epochs.insert(me, 0);
        }
        let before = self.incarnations.insert(peer, incarnation);
        if before != Some(incarnation) {
            // Known again once it says so.
            self.epochs.remove(&peer);
        }
        self.unavailable.remove(&peer);
        let pending = self.acceptor.as_ref().map(Acceptor::pending_transfers).unwrap_or_default();
        let pending = pending.into_iter().find(|pending| pending.peer == peer);
        if pending.is_some() || before != Some(incarnation) {
            // Also one that was met: in a new life it knows no longer in which one this process is.
            let after = pending.and_then(|pending| pending.after);
            self.actions
                .push(Action::Send(peer, Box::new(Message::TransferRequest(self.incarnation(), after))));
        }
        if before.is_some_and(|before| before != incarnation) {
            self.schedule_takeovers_from(now, peer);
        }
    }

    /// This process goes on under another life of its name: what it was allowed, it no longer is.
    pub fn incarnation_changed(&mut self, now: Micros, own: Incarnation) {
        let TakeoverConfig { me, peer_count, group_size, limits } = self.config;
        self.acceptor = Some(Acceptor::new(now, me, own, peer_count, group_size, limits));
        self.incarnations.insert(me, own);
        self.epochs.insert(me, 0);
        self.watched.clear();
        self.takeover_timers = Agenda::default();
        self.subscribers.clear();
        self.release_votes.clear();
        for (id, query) in std::mem::take(&mut self.queries).all {
            let not_executed = query.certainly_not_executed();
            self.deny_permits(&id, query.pending_permits);
            self.actions.push(Action::OutcomeUnknown { id, not_executed });
        }
    }

    /// Whether a peer is held to be away: advice.
    pub fn peer_availability_changed(&mut self, now: Micros, peer: PeerId, unavailable: bool) {
        let news = if unavailable { self.unavailable.insert(peer) } else { self.unavailable.remove(&peer) };
        if news && unavailable {
            self.schedule_takeovers_from(now, peer);
        }
    }

    /// Looks for ids that a peer acted for, in a life that is over or while it is away.
    fn schedule_takeovers_from(&mut self, now: Micros, peer: PeerId) {
        let Some(acceptor) = &self.acceptor else { return };
        let its = acceptor.open_records().filter(|(_, record)| record.promised.proposer == peer);
        let due: Vec<QueryId> = its
            .filter(|(_, record)| self.is_owner_unavailable(record))
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for id in due {
            let at = now + self.takeover_rank(&id) * TAKEOVER_STAGGER;
            self.takeover_timers.set(&id, Some(at));
            self.watched.entry(id).or_insert(now);
        }
    }

    fn is_owner_unavailable(&self, record: &Record) -> bool {
        let Ballot { proposer: by, incarnation, .. } = record.promised;
        let other = self.incarnations.get(&by).is_some_and(|now| *now != incarnation);
        other || (by != self.config.me && self.unavailable.contains(&by))
    }

    /// How many keepers of an id that are held to be there come before this one.
    fn takeover_rank(&self, id: &str) -> Micros {
        let all = acceptors_for(id, self.config.peer_count, self.config.group_size);
        let before = all.iter().take_while(|peer| **peer != self.config.me);
        before.filter(|peer| !self.unavailable.contains(peer)).count() as Micros
    }

    fn send(&mut self, now: Micros, to: PeerId, message: Message) {
        if to == self.config.me {
            self.handle_message(now, to, message);
        } else {
            self.actions.push(Action::Send(to, Box::new(message)));
        }
    }

    /// A peer, or this process itself, says something.
    pub fn handle_message(&mut self, now: Micros, from: PeerId, message: Message) {
        match message {
            Message::Request(request) => {
                let id = Arc::clone(request.id());
                let payload = matches!(request, ProposerRequest::ReadRecord { .. });
                let Some(acceptor) = &mut self.acceptor else { return };
                let reply = acceptor.handle_request(now, request);
                let left = match acceptor.record(&id) {
                    Some(record) if !record.chosen => {
                        if payload && from != self.config.me {
                            self.subscribers.entry(Arc::clone(&id)).or_default().insert(from);
                        }
                        self.watched.entry(Arc::clone(&id)).or_insert(now);
                        record.relinquished
                    }
                    record => {
                        let ended = record.cloned();
                        let subscribers = self.subscribers.remove(&id).filter(|_| ended.is_some());
                        let (subscribers, possibly_forgotten) = (subscribers.into_iter().flatten(), false);
                        for to in subscribers.filter(|to| *to != from) {
                            let known = AcceptorReply::RecordRead {
                                id: Arc::clone(&id),
                                record: ended.clone(),
                                possibly_forgotten,
                            };
                            self.actions.push(Action::Send(to, Box::new(Message::Reply(known))));
                        }
                        self.unwatch(&id);
                        false
                    }
                };
                if left && !payload {
                    let at = self
                        .takeover_timers
                        .at(&id)
                        .unwrap_or(now + self.takeover_rank(&id) * TAKEOVER_STAGGER);
                    self.takeover_timers.set(&id, Some(at));
                }
                reply.into_iter().for_each(|reply| self.send(now, from, Message::Reply(reply)));
            }
            Message::Reply(reply) => self.handle_reply(now, from, reply),
            Message::TransferRequest(incarnation, after) => {
                let Some(acceptor) = &mut self.acceptor else { return };
                let transfer = acceptor.serve_transfer(now, from, incarnation, after);
                self.send(now, from, Message::StateTransfer(transfer));
            }
            Message::Epoch(incarnation, epoch) => self.learn_epoch(from, incarnation, epoch),
            Message::StateTransfer(transfer) => {
                self.learn_epoch(transfer.from, transfer.incarnation, transfer.epoch);
                let Some(acceptor) = &mut self.acceptor else { return };
                let (incarnation, next) = (acceptor.incarnation(), acceptor.receive_transfer(now, transfer));
                for (id, _) in acceptor.open_records() {
                    self.watched.entry(Arc::clone(id)).or_insert(now);
                }
                next.into_iter()
                    .for_each(|next| self.send(now, from, Message::TransferRequest(incarnation, Some(next))));
            }
        }
    }

    fn learn_epoch(&mut self, peer: PeerId, incarnation: Incarnation, epoch: u64) {
        if self.incarnations.get(&peer) == Some(&incarnation) {
            let known = self.epochs.entry(peer).or_insert(epoch);
            *known = (*known).max(epoch);
        }
    }

    fn handle_reply(&mut self, now: Micros, from: PeerId, reply: AcceptorReply) {
        let id = match &reply {
            AcceptorReply::Accepted { id, .. }
            | AcceptorReply::Promised { id, .. }
            | AcceptorReply::Rejected { id, .. }
            | AcceptorReply::Abstained { id, .. }
            | AcceptorReply::RecordRead { id, .. } => Arc::clone(id),
        };
        if let AcceptorReply::RecordRead { record, .. } = reply {
            return self.handle_record_read(now, from, &id, record);
        }
        let Some(query) = self.queries.get_mut(&id) else { return };
        let stale_incarnation =
            matches!(reply, AcceptorReply::Abstained { reason: AbstainReason::StaleIncarnation, .. });
        let Some(proposer) = &mut query.proposer else { return };
        if let Some(record) = proposer.handle_reply(from, reply) {
            let wants = std::mem::take(&mut query.pending_permits);
            let leaving = proposer.relinquish(wants.iter().map(|(.., intent, _)| *intent));
            query.proposer = None;
            (query.resend_at, query.resends) = (now + OUTCOME_POLL_INTERVAL, 0);
            let (here, payload) = (query.has_local_clients, Arc::clone(&query.payload));
            if planted::is(Bug::SendAfterTheFence) {
                for &(part, attempt, ..) in &wants {
                    self.actions.push(Action::PermitDecided {
                        id: Arc::clone(&id),
                        part,
                        attempt,
                        granted: true,
                    });
                }
            }
            self.deny_permits(&id, wants);
            for (to, request) in leaving {
                self.send(now, to, Message::Request(request));
            }
            if !here {
                // Whoever fenced it ends it.
                self.queries.remove(&id);
            } else if !payload.is_empty()
                && !record.payload.is_empty()
                && payload_digest(&payload) != payload_digest(&record.payload)
            {
                self.queries.remove(&id);
                self.actions.push(Action::RequestIdConflict(id));
            } else {
                self.actions.push(Action::OwnedByPeer(Arc::clone(&id)));
                self.learn_outcome(now, &id, &record);
            }
            return;
        }
        let stuck = proposer.lacks_quorum();
        if stale_incarnation && stuck {
            return self.retry_with_higher_ballot(now, &id);
        }
        // Told twice, most keepers gave no word each time: it is given up, and its client hears so at once.
        if stuck && query.resends > 0 && !query.pending_permits.is_empty() {
            return self.abandon_permits(now, &id);
        }
        self.advance(now, &id);
    }

    /// No leave is waited for any more.
    fn abandon_permits(&mut self, now: Micros, id: &QueryId) {
        let Some(query) = self.queries.get_mut(id) else { return };
        // The intents stay written where they were: whoever takes over takes them for what may have run.
        let wants = std::mem::take(&mut query.pending_permits);
        let not_executed = query.certainly_not_executed();
        let unheld = query.proposer.as_ref().is_some_and(|proposer| !proposer.is_accepted_anywhere());
        // It is recorded all the same once a majority can be reached. Of what no keeper took there is nothing to
        // record; hundreds of such ids, told again and again while all keepers have just started, took five times
        // the work of those that are served, and a busy machine did nothing else.
        query.end.get_or_insert(if query.any_permitted {
            QueryEnd::PossiblyExecuted
        } else {
            QueryEnd::NotExecuted
        });
        if not_executed && unheld {
            self.queries.remove(id);
        }
        self.deny_permits(id, wants);
        self.actions.push(Action::OutcomeUnknown { id: Arc::clone(id), not_executed });
        self.advance(now, id);
    }

    /// What another keeper holds of an id that is waited for here, or that nobody seems to act for.
    fn handle_record_read(&mut self, now: Micros, from: PeerId, id: &QueryId, record: Option<Record>) {
        let waits = self.queries.get(id).is_some_and(|query| query.proposer.is_none());
        if let (true, Some(record)) = (waits, &record) {
            self.learn_outcome(now, id, record);
        }
        let free = record.is_none_or(|record| record.relinquished || self.is_owner_unavailable(&record));
        let Some(release_votes) = self.release_votes.get_mut(id) else { return };
        if free {
            release_votes.insert(from);
            if 2 * release_votes.len() > self.config.group_size {
                self.release_votes.remove(id);
                self.take_over(now, id);
            }
        } else {
            // One that has a majority, perhaps. It is looked at again in a while.
            self.release_votes.remove(id);
            if self.watched.contains_key(id) {
                self.takeover_timers.set(id, Some(now + 2 * TAKEOVER_STAGGER));
            }
        }
    }

    /// A keeper that was counted on has started again: the ballot is of no more use, and a higher one is asked for.
    fn retry_with_higher_ballot(&mut self, now: Micros, id: &QueryId) {
        let held = self.queries.get(id).and_then(|query| query.proposer.as_ref());
        let Some((held, opened_at)) = held.map(|proposer| (proposer.ballot(), proposer.opened_at().clone()))
        else {
            return;
        };
        let ballot = self.next_ballot(held.round + 1);
        let Some(query) = self.queries.get_mut(id) else { return };
        let acceptors = acceptors_for(id, self.config.peer_count, self.config.group_size);
        let mut proposer = Proposer::prepare(Arc::clone(id), ballot, acceptors, opened_at);
        let wants = std::mem::take(&mut query.pending_permits);
        // What waited for leave was not sent, and is not: the attempts that come in its place may run.
        proposer.inherit_not_executed(wants.iter().map(|(.., intent, _)| *intent));
        query.any_revoked |= !wants.is_empty();
        query.proposer = Some(proposer);
        self.deny_permits(id, wants);
        self.send_requests(now, id);
    }

    /// What another's record says of an id that is waited for here.
    fn learn_outcome(&mut self, now: Micros, id: &QueryId, record: &Record) {
        if let (true, Some(RecordedOutcome { outcome, .. })) = (record.chosen, &record.outcome) {
            self.queries.remove(id);
            self.actions.push(Action::QueryEnded(Arc::clone(id), QueryEnd::from_bytes(outcome)));
            // Whatever else is held of it, here or where this process opened it in vain, is over with that.
            for to in acceptors_for(id, self.config.peer_count, self.config.group_size) {
                let request = ProposerRequest::Chosen { id: Arc::clone(id), outcome: Arc::clone(outcome) };
                self.send(now, to, Message::Request(request));
            }
        }
    }

    fn deny_permits(&mut self, id: &QueryId, wants: Vec<(u32, u32, AttemptRef, Micros)>) {
        for (part, attempt, ..) in wants {
            self.actions.push(Action::PermitDecided { id: Arc::clone(id), part, attempt, granted: false });
        }
    }

    /// Says to keepers what they have not taken yet.
    fn send_requests(&mut self, now: Micros, id: &QueryId) {
        let Some(query) = self.queries.get_mut(id) else { return };
        query.resend_at = now + (RESEND_INTERVAL << query.resends.min(RESEND_DOUBLINGS));
        let Some(proposer) = &query.proposer else { return };
        query.resends = if query.sent_version == proposer.version() { query.resends + 1 } else { 0 };
        query.sent_version = proposer.version();
        let mut pending_acceptors = proposer.pending_acceptors();
        if query.resends == 0 && proposer.phase() == ProposerPhase::Active {
            // A majority is enough, and is asked alone at first: another word would only cost both sides. Which one,
            // advice may say; whoever gave no word by the next time is asked beside all others.
            let (me, unavailable) = (self.config.me, &self.unavailable);
            pending_acceptors
                .sort_by_key(|peer| (unavailable.contains(peer), !proposer.has_accepted(*peer), *peer != me));
            pending_acceptors.truncate(self.config.group_size / 2 + 1);
        }
        let orders: Vec<(PeerId, ProposerRequest)> =
            pending_acceptors.into_iter().filter_map(|to| Some((to, proposer.request_for(to)?))).collect();
        for (to, request) in orders {
            self.send(now, to, Message::Request(request));
        }
    }

    /// Opens an id for a client here, unless something is done for it already.
    fn open(
        &mut self,
        now: Micros,
        ClientRequest { id, payload, deadline: until, is_first_attempt: first }: ClientRequest,
    ) {
        if self.queries.get(id).is_some() {
            return;
        }
        let ballot = self.next_ballot(0);
        let acceptors = acceptors_for(id, self.config.peer_count, self.config.group_size);
        let incarnations =
            acceptors.iter().filter_map(|peer| Some((*peer, *self.incarnations.get(peer)?))).collect();
        let opened_at = OpenedAt { incarnations, epochs: self.epochs.clone() };
        let proposer = Proposer::open(Arc::clone(id), ballot, acceptors, opened_at, Arc::clone(payload));
        let query = QueryState::new(now, proposer, Arc::clone(payload), until);
        let query =
            QueryState { has_local_clients: true, is_running: true, is_first_attempt: first, ..query };
        self.queries.insert(id, query);
    }

    /// An attempt wants leave.
    pub fn request_permit(&mut self, now: Micros, request: ClientRequest, part: u32, attempt: u32) {
        self.open(now, request);
        let id = request.id;
        let Some(query) = self.queries.get_mut(id) else { return };
        // Leave that came after an end was written would make that end untrue.
        let proposer = query.proposer.as_mut().filter(|_| query.end.is_none());
        let intent = proposer.and_then(|proposer| proposer.propose_intent(part, attempt));
        match intent {
            Some(intent) => {
                query.pending_permits.push((part, attempt, intent, now));
                self.send_requests(now, id);
                self.advance(now, id);
            }
            None => {
                self.actions.push(Action::PermitDecided { id: Arc::clone(id), part, attempt, granted: false })
            }
        }
    }

    /// What was asked again is refused here, and nothing was sent for it. Its client may be told that nothing ran
    /// only once nobody else can run it: that it never ran is written as its outcome, or the one that another
    /// came to is told in its place. Without a majority nothing is known, and that is said soon.
    pub fn reject(&mut self, now: Micros, request: ClientRequest) {
        self.open(now, request);
        let Some(query) = self.queries.get_mut(request.id) else { return };
        query.reject_deadline.get_or_insert(now + PERMIT_TIMEOUT);
        query.end.get_or_insert(QueryEnd::NotExecuted);
        self.send_requests(now, request.id);
        self.advance(now, request.id);
    }

    /// Somebody here asks for an id that something is done for here already, and waits as well; `false` if
    /// nothing is.
    pub fn await_outcome(&mut self, id: &str, deadline: Micros) -> bool {
        let Some(query) = self.queries.get_mut(&Arc::from(id)) else { return false };
        (query.has_local_clients, query.deadline) = (true, query.deadline.max(deadline));
        true
    }

    /// An attempt that had leave never ran, or will not be sent.
    pub fn mark_not_executed(&mut self, id: &str, part: u32, attempt: u32) {
        let Some(query) = self.queries.get_mut(&Arc::from(id)) else { return };
        query.any_revoked = true;
        query.pending_permits.retain(|(p, a, ..)| (*p, *a) != (part, attempt));
        if let Some(proposer) = &mut query.proposer {
            let ballot = proposer.ballot();
            proposer.mark_not_executed(AttemptRef { part, attempt, ballot });
        }
    }

    /// The id has ended here: it is told once that is recorded, as [`Wish::Ended`].
    pub fn query_ended(&mut self, now: Micros, id: &QueryId, ended: QueryEnd) {
        let Some(query) = self.queries.get_mut(id) else { return };
        query.pending_permits.clear();
        if planted::is(Bug::AnswerBeforeTheRecord) && query.has_local_clients {
            self.actions.push(Action::QueryEnded(Arc::clone(id), ended.clone()));
        }
        query.end = Some(ended);
        self.advance(now, id);
    }

    /// Does what the words that came allow.
    fn advance(&mut self, now: Micros, id: &QueryId) {
        let came = self.watched.get(id).map_or(now, |came| *came);
        let wanted = |query: &QueryState| {
            !query.is_running && query.proposer.as_ref().is_some_and(|a| !a.payload().is_empty())
        };
        let full = self.queries.get(id).is_some_and(wanted) && self.queries.is_full(CONCURRENT_TAKEOVERS);
        let Some(query) = self.queries.get_mut(id) else { return };
        let Some(proposer) = &mut query.proposer else { return };
        if proposer.phase() != ProposerPhase::Active {
            return;
        }
        let mut given = Vec::new();
        query.pending_permits.retain(|(part, attempt, intent, _)| {
            let granted = proposer.is_permitted(*intent) || planted::is(Bug::SkipTheIntent);
            if granted {
                given.push((*part, *attempt));
            }
            !granted
        });
        query.any_permitted |= !given.is_empty();
        if let Some(ended) = &query.end {
            // That nothing of it ran here says nothing of others who had leave before this ballot.
            let elsewhere = *ended == QueryEnd::NotExecuted && proposer.any_may_have_executed();
            proposer.propose_outcome(if elsewhere {
                QueryEnd::PossiblyExecuted.to_bytes()
            } else {
                ended.to_bytes()
            });
        } else if proposer.inherited_outcome().is_some()
            || (!query.is_running && proposer.any_may_have_executed())
        {
            proposer.propose_outcome(QueryEnd::PossiblyExecuted.to_bytes());
        } else if !query.is_running && proposer.payload().is_empty() {
            proposer.propose_outcome(QueryEnd::NotExecuted.to_bytes());
        } else if !query.is_running && !full {
            query.is_running = true;
            query.payload = Arc::clone(proposer.payload());
            let age = now.saturating_sub(came);
            self.actions.push(Action::TakeOver(Arc::clone(id), Arc::clone(&query.payload), age));
        }
        let chosen = proposer.chosen_outcome().cloned();
        let more = proposer.version() != query.sent_version;
        for (part, attempt) in given {
            self.actions.push(Action::PermitDecided { id: Arc::clone(id), part, attempt, granted: true });
        }
        match chosen {
            Some(outcome) => {
                let here = query.has_local_clients;
                self.queries.remove(id);
                if here {
                    self.actions.push(Action::QueryEnded(Arc::clone(id), QueryEnd::from_bytes(&outcome)));
                }
                for to in acceptors_for(id, self.config.peer_count, self.config.group_size) {
                    let request =
                        ProposerRequest::Chosen { id: Arc::clone(id), outcome: Arc::clone(&outcome) };
                    self.send(now, to, Message::Request(request));
                }
            }
            None if more => self.send_requests(now, id),
            None => {}
        }
    }

    /// Takes over an id, if it is still as it was.
    fn take_over(&mut self, now: Micros, id: &QueryId) {
        let record = self.acceptor.as_ref().and_then(|acceptor| acceptor.record(id));
        let Some(record) = record.filter(|record| !record.chosen) else {
            self.unwatch(id);
            return;
        };
        if self.queries.get(id).is_some_and(|query| query.proposer.is_some()) {
            return;
        }
        let (round, payload) = (record.promised.round + 1, Arc::clone(&record.payload));
        let opened_at = record.opened_at.clone();
        let ballot = self.next_ballot(round);
        let proposer = Proposer::prepare(
            Arc::clone(id),
            ballot,
            acceptors_for(id, self.config.peer_count, self.config.group_size),
            opened_at,
        );
        let here = self.queries.get(id).is_some_and(|query| query.has_local_clients);
        let query = QueryState {
            has_local_clients: here,
            ..QueryState::new(now, proposer, payload, now + self.config.limits.query_lifetime)
        };
        self.queries.insert(id, query);
        self.send_requests(now, id);
    }

    /// An id has ended, or is not held here any more.
    fn unwatch(&mut self, id: &QueryId) {
        self.watched.remove(id);
        self.takeover_timers.remove(id);
        self.subscribers.remove(id);
    }

    /// When something is to be done without a message.
    #[must_use]
    pub fn poll_timeout(&self) -> Option<Micros> {
        // Before a first link there is no keeper to look after; who asks all the same waits, and is told in time.
        let round = self.acceptor.as_ref().map(|_| self.last_scan + SCAN_INTERVAL);
        [self.queries.poll_timeout(), self.takeover_timers.first(), round].into_iter().flatten().min()
    }

    /// Does all whose time has come.
    pub fn handle_timeout(&mut self, now: Micros) {
        if self.poll_timeout().is_none_or(|due| due > now) {
            return;
        }
        for id in self.takeover_timers.take(now) {
            let record = self.acceptor.as_ref().and_then(|acceptor| acceptor.record(&id));
            if record.is_some_and(|record| record.relinquished && !record.chosen) {
                // Who left lost to another, who may have a majority and be at work: the others are asked first.
                self.release_votes.insert(Arc::clone(&id), BTreeSet::new());
                // Words that are lost are asked for again.
                self.takeover_timers.set(&id, Some(now + 2 * TAKEOVER_STAGGER));
                for to in acceptors_for(&id, self.config.peer_count, self.config.group_size) {
                    self.send(now, to, Message::Request(ProposerRequest::ReadRecord { id: Arc::clone(&id) }));
                }
            } else {
                self.take_over(now, &id);
            }
        }
        for id in self.queries.take(now) {
            self.query_timeout(now, &id);
        }
        if self.last_scan + SCAN_INTERVAL <= now {
            self.last_scan = now;
            self.scan(now);
        }
    }

    fn query_timeout(&mut self, now: Micros, id: &QueryId) {
        let Some(query) = self.queries.get_mut(id) else { return };
        if query.deadline() <= now {
            let wants = std::mem::take(&mut query.pending_permits);
            let (here, not_executed) = (query.has_local_clients, query.certainly_not_executed());
            self.queries.remove(id);
            self.deny_permits(id, wants);
            if here {
                self.actions.push(Action::OutcomeUnknown { id: Arc::clone(id), not_executed });
            }
            return;
        }
        if query.pending_permits.iter().any(|(.., since)| since + PERMIT_TIMEOUT <= now) {
            self.abandon_permits(now, id);
        }
        let Some(query) = self.queries.get_mut(id) else { return };
        if query.resend_at > now {
            return;
        }
        if query.proposer.is_some() {
            self.send_requests(now, id);
            return self.advance(now, id);
        }
        query.resend_at = now + (OUTCOME_POLL_INTERVAL << query.resends.min(OUTCOME_POLL_DOUBLINGS));
        query.resends += 1;
        for to in acceptors_for(id, self.config.peer_count, self.config.group_size) {
            self.send(now, to, Message::Request(ProposerRequest::ReadRecord { id: Arc::clone(id) }));
        }
    }

    /// What is looked at now and then: whom this keeper has to hear, ids that nobody ends.
    fn scan(&mut self, now: Micros) {
        if self.acceptor.as_mut().is_some_and(|acceptor| acceptor.end_epoch(now)) {
            let (incarnation, epoch) =
                (self.incarnation(), self.acceptor.as_ref().map_or(0, Acceptor::epoch));
            self.epochs.insert(self.config.me, epoch);
            let others: Vec<PeerId> =
                self.incarnations.keys().copied().filter(|p| *p != self.config.me).collect();
            self.actions.extend(
                others.into_iter().map(|to| Action::Send(to, Box::new(Message::Epoch(incarnation, epoch)))),
            );
        }
        let Some(acceptor) = &self.acceptor else { return };
        let (incarnation, missing_transfers) = (acceptor.incarnation(), acceptor.pending_transfers());
        let records: BTreeMap<QueryId, bool> = acceptor
            .open_records()
            .map(|(id, record)| (Arc::clone(id), record.relinquished || self.is_owner_unavailable(record)))
            .collect();
        for PendingTransfer { peer: to, after } in missing_transfers {
            self.actions.push(Action::Send(to, Box::new(Message::TransferRequest(incarnation, after))));
        }
        let over = self.watched.keys().filter(|id| !records.contains_key(*id));
        for id in over.cloned().collect::<Vec<QueryId>>() {
            self.unwatch(&id);
        }
        self.release_votes.retain(|id, _| records.contains_key(id));
        for (id, unavailable) in records {
            let takeover_rank = self.takeover_rank(&id);
            let incarnation = self.config.limits.query_lifetime;
            let came = *self.watched.entry(Arc::clone(&id)).or_insert(now);
            // One whose owner is there and does not end it may be cut off from its keepers.
            let old = now.saturating_sub(came) >= incarnation;
            if self.takeover_timers.at(&id).is_none() && (unavailable || old) {
                self.takeover_timers.set(&id, Some(now + takeover_rank * TAKEOVER_STAGGER));
            }
        }
    }
}
