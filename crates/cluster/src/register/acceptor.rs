//! The acceptor: promises ballots, accepts and rejects proposals, and removes the records of ended queries.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

use super::ballot::{acceptors_for, Ballot, Incarnations, OpenedAt, QueryId};
use super::messages::{AbstainReason, AcceptorReply, ProposerRequest};
use super::record::{Proposal, Record};
use super::recovery::{PendingTransfer, Recovery, StateTransfer, TransferredRecord};
use crate::fault_injection::{self, Bug};
use crate::{Incarnation, Micros, PeerId};

/// Limit on the bytes of records on one page of a state transfer, unless a single record is longer. All
/// records of an acceptor do not fit into a connection's queue at once.
const TRANSFER_PAGE_BYTES: usize = 4096;
/// Epochs for which the record of a query with a chosen outcome is kept; see [`Acceptor::end_epoch`].
const EPOCHS_KEPT: u64 = 3;

/// The limits on what an acceptor stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AcceptorLimits {
    /// Greatest number of records.
    pub records: usize,
    /// Greatest memory of all records, in bytes.
    pub bytes: usize,
    /// How long a client may submit a query again under the same id, in microseconds.
    pub query_lifetime: Micros,
}

/// What an acceptor currently stores.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AcceptorUsage {
    /// Number of records.
    pub records: usize,
    /// Memory of all records, in bytes.
    pub bytes: usize,
}

/// When this acceptor learned that an outcome was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ChosenAt {
    /// The acceptor's epoch at that time.
    epoch: u64,
    /// The time.
    learned_at: Micros,
    /// A lower bound on how long ago the outcome had been chosen by then.
    age_when_learned: Micros,
}

/// The records of an acceptor, and their memory.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct RecordTable {
    records: BTreeMap<QueryId, Record>,
    bytes: usize,
}

impl RecordTable {
    fn insert(&mut self, id: QueryId, record: Record) {
        self.bytes += record.memory_bytes();
        self.records.insert(id, record);
    }

    fn remove(&mut self, id: &QueryId) {
        let Some(record) = self.records.remove(id) else { return };
        self.bytes -= record.memory_bytes();
    }

    /// Changes a record; `false` if there is none.
    fn update(&mut self, id: &QueryId, change: impl FnOnce(&mut Record)) -> bool {
        let Some(record) = self.records.get_mut(id) else { return false };
        let before = record.memory_bytes();
        change(record);
        self.bytes = self.bytes - before + record.memory_bytes();
        true
    }
}

/// One process as an acceptor. Its state is lost in a restart; `recovery.rs` describes how it is restored.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    me: PeerId,
    incarnation: Incarnation,
    peer_count: usize,
    group_size: usize,
    limits: AcceptorLimits,
    table: RecordTable,
    /// Queries whose outcome is chosen.
    chosen: BTreeMap<QueryId, ChosenAt>,
    /// The latest incarnations that other acceptors have announced.
    known_incarnations: Incarnations,
    recovery: Recovery,
    epoch: u64,
    epoch_started_at: Micros,
}

impl Acceptor {
    /// Creates an acceptor that has just started, in an incarnation that no peer knows yet.
    #[must_use]
    pub fn new(
        now: Micros,
        me: PeerId,
        incarnation: Incarnation,
        peer_count: usize,
        group_size: usize,
        limits: AcceptorLimits,
    ) -> Self {
        Self {
            me,
            incarnation,
            peer_count,
            group_size,
            limits,
            table: RecordTable::default(),
            chosen: BTreeMap::new(),
            known_incarnations: Incarnations::new(),
            recovery: Recovery::new(now, me, peer_count, group_size),
            epoch: 0,
            epoch_started_at: now,
        }
    }

    /// Returns this acceptor's incarnation.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the record of a query.
    #[must_use]
    pub fn record(&self, id: &str) -> Option<&Record> {
        self.table.records.get(id)
    }

    /// Returns the queries without a chosen outcome, with their records.
    pub fn open_records(&self) -> impl Iterator<Item = (&QueryId, &Record)> {
        self.table.records.iter().filter(|(_, record)| !record.chosen)
    }

    /// Returns the number of records and their memory.
    #[must_use]
    pub fn usage(&self) -> AcceptorUsage {
        AcceptorUsage { records: self.table.records.len(), bytes: self.table.bytes }
    }

    /// Whether it remembers every promise that it ever gave, for every query, so that a state transfer from
    /// it is complete.
    #[must_use]
    pub fn remembers_every_query(&self, now: Micros) -> bool {
        self.recovery.remembers_every_query(now, self.limits.query_lifetime)
    }

    /// Returns the peers whose records it still needs.
    #[must_use]
    pub fn pending_transfers(&self) -> Vec<PendingTransfer> {
        self.recovery.pending()
    }

    /// Returns the page of records after `after` for a peer that has restarted as `incarnation`.
    ///
    /// From here on that is the peer's known incarnation, and no proposal that relies on an earlier one is
    /// accepted. This is why the records may be sent in several pages: a change between two pages does not
    /// rely on anything that the peer has forgotten.
    pub fn serve_transfer(
        &mut self,
        now: Micros,
        peer: PeerId,
        incarnation: Incarnation,
        after: Option<QueryId>,
    ) -> StateTransfer {
        let known = self.known_incarnations.entry(peer).or_insert(incarnation);
        *known = (*known).max(incarnation);
        let to = *known;
        let remembers_all = self.remembers_every_query(now);
        // Only an acceptor that remembers everything can end the peer's recovery; the peer repeats its
        // request until then.
        let (records, next) =
            if remembers_all { self.transfer_page(now, peer, after.as_ref()) } else { (Vec::new(), None) };
        StateTransfer {
            from: self.me,
            incarnation: self.incarnation,
            to,
            epoch: self.epoch,
            remembers_all,
            records,
            after,
            next,
        }
    }

    /// Returns the records on the page after `after`, and the query after which the next page starts.
    fn transfer_page(
        &self,
        now: Micros,
        peer: PeerId,
        after: Option<&QueryId>,
    ) -> (Vec<TransferredRecord>, Option<QueryId>) {
        let start = after.map_or(Bound::Unbounded, |id| Bound::Excluded(Arc::clone(id)));
        let shared = |id: &str| acceptors_for(id, self.peer_count, self.group_size).contains(&peer);
        let (mut page, mut bytes): (Vec<TransferredRecord>, usize) = (Vec::new(), 0);
        for (id, record) in self.table.records.range((start, Bound::Unbounded)).filter(|(id, _)| shared(id)) {
            bytes += id.len() + record.memory_bytes();
            if bytes > TRANSFER_PAGE_BYTES && !page.is_empty() {
                let last = page.last().map(|last| Arc::clone(&last.id));
                return (page, last);
            }
            let chosen_for = self
                .chosen
                .get(id)
                .map_or(0, |chosen| chosen.age_when_learned + now.saturating_sub(chosen.learned_at));
            page.push(TransferredRecord { id: Arc::clone(id), record: record.clone(), chosen_for });
        }
        (page, None)
    }

    /// Handles a page of another acceptor's records. Returns the query after which to request the next page.
    pub fn receive_transfer(&mut self, now: Micros, mut page: StateTransfer) -> Option<QueryId> {
        if page.to != self.incarnation {
            return None;
        }
        for TransferredRecord { id, record, chosen_for } in std::mem::take(&mut page.records) {
            self.merge_record(now, id, record, chosen_for);
        }
        self.recovery.page_received(&page)
    }

    /// Merges another acceptor's record.
    ///
    /// A query whose outcome was chosen at least one query lifetime before this acceptor's start is skipped.
    /// An `Open` request that could be accepted here names this incarnation, so it was submitted after the
    /// start, when the query's lifetime was over. Without this rule, acceptors that restart one after the
    /// other would pass the records of ended queries on forever.
    fn merge_record(&mut self, now: Micros, id: QueryId, theirs: Record, chosen_for: Micros) {
        let chosen = theirs.chosen;
        let is_expired = chosen_for >= self.limits.query_lifetime + self.recovery.uptime(now);
        match self.record(&id) {
            None if chosen && is_expired => return,
            None => self.table.insert(Arc::clone(&id), theirs),
            Some(_) => {
                self.table.update(&id, |ours| ours.merge(theirs));
            }
        }
        if chosen {
            self.learn_chosen(now, id, chosen_for);
        }
    }

    fn learn_chosen(&mut self, now: Micros, id: QueryId, age: Micros) {
        let at = ChosenAt { epoch: self.epoch, learned_at: now, age_when_learned: age };
        self.chosen.entry(id).or_insert(at);
    }

    /// Handles a proposer's request and returns the reply, if it has one.
    pub fn handle_request(&mut self, now: Micros, request: ProposerRequest) -> Option<AcceptorReply> {
        match request {
            ProposerRequest::Open { id, ballot, incarnations, epochs, payload, proposal, version } => {
                let opened_at = OpenedAt { incarnations, epochs };
                Some(self.open(now, id, ballot, opened_at, payload, &proposal, version))
            }
            ProposerRequest::Accept { id, ballot, incarnations, proposal, version } => {
                Some(self.accept(now, id, ballot, &incarnations, &proposal, version))
            }
            ProposerRequest::Prepare { id, ballot, opened_at } => {
                Some(self.prepare(now, id, ballot, opened_at))
            }
            ProposerRequest::Chosen { id, outcome } => {
                self.choose(now, id, outcome);
                None
            }
            ProposerRequest::ReadRecord { id } => {
                let record = self.record(&id).cloned();
                let possibly_forgotten = record.is_none() && !self.remembers(now, &id);
                Some(AcceptorReply::RecordRead { id, record, possibly_forgotten })
            }
        }
    }

    /// Opens a query for the process that a client submitted it to. It is accepted unless another ballot was
    /// promised, an outcome is chosen, or the query may be an old one whose record was removed here.
    #[allow(clippy::too_many_arguments)] // the fields of one request
    fn open(
        &mut self,
        now: Micros,
        id: QueryId,
        ballot: Ballot,
        opened_at: OpenedAt,
        payload: Arc<[u8]>,
        proposal: &Proposal,
        version: u32,
    ) -> AcceptorReply {
        // Checked even if a state transfer brought a record with this ballot: this acceptor itself has not
        // promised it.
        if let Some(reason) = self.must_abstain(now, &id, &opened_at.incarnations) {
            return self.abstain(id, ballot, reason);
        }
        if let Some(record) = self.record(&id) {
            let ignores_promise = fault_injection::is_injected(Bug::ForgetPromise);
            if (record.promised != ballot && !ignores_promise) || record.chosen {
                return AcceptorReply::Rejected { id, rejected: ballot, record: record.clone() };
            }
            return self.accept_proposal(id, ballot, proposal, version);
        }
        // A late request may be about a query that has ended and whose record was removed since it was
        // submitted.
        if self.may_have_forgotten(&opened_at) {
            return self.abstain(id, ballot, AbstainReason::UnknownQuery);
        }
        if !self.has_capacity(payload.len()) {
            return self.abstain(id, ballot, AbstainReason::CapacityExhausted);
        }
        self.table.insert(Arc::clone(&id), Record::new(ballot, payload, opened_at));
        self.accept_proposal(id, ballot, proposal, version)
    }

    /// Accepts a proposal if its ballot is the promised one.
    fn accept(
        &mut self,
        now: Micros,
        id: QueryId,
        ballot: Ballot,
        incarnations: &Incarnations,
        proposal: &Proposal,
        version: u32,
    ) -> AcceptorReply {
        if let Some(reason) = self.must_abstain(now, &id, incarnations) {
            return self.abstain(id, ballot, reason);
        }
        match self.record(&id) {
            None => self.abstain(id, ballot, AbstainReason::UnknownQuery),
            Some(record)
                if record.promised != ballot && !fault_injection::is_injected(Bug::ForgetPromise) =>
            {
                AcceptorReply::Rejected { id, rejected: ballot, record: record.clone() }
            }
            Some(_) => self.accept_proposal(id, ballot, proposal, version),
        }
    }

    /// Promises a ballot if no higher one is promised.
    fn prepare(&mut self, now: Micros, id: QueryId, ballot: Ballot, opened_at: OpenedAt) -> AcceptorReply {
        if !self.remembers(now, &id) {
            return self.abstain(id, ballot, AbstainReason::Recovering);
        }
        let incarnation = self.incarnation;
        if let Some(record) = self.table.records.get_mut(&id) {
            if record.promised > ballot {
                return AcceptorReply::Rejected { id, rejected: ballot, record: record.clone() };
            }
            record.relinquished &= record.promised == ballot;
            record.promised = ballot;
            let record = Some(record.clone());
            return AcceptorReply::Promised { id, ballot, incarnation, record };
        }
        // A promise without a record states that nothing was accepted here, so that has to be certain.
        if self.may_have_forgotten(&opened_at) {
            return self.abstain(id, ballot, AbstainReason::UnknownQuery);
        }
        if !self.has_capacity(0) {
            return self.abstain(id, ballot, AbstainReason::CapacityExhausted);
        }
        self.table.insert(Arc::clone(&id), Record::new(ballot, Arc::from([]), opened_at));
        AcceptorReply::Promised { id, ballot, incarnation, record: None }
    }

    /// Records an outcome that a majority has accepted.
    fn choose(&mut self, now: Micros, id: QueryId, outcome: Arc<[u8]>) {
        if self.record(&id).is_none_or(|record| record.chosen) {
            return;
        }
        self.table.update(&id, |record| record.choose(outcome));
        self.learn_chosen(now, id, 0);
    }

    fn remembers(&self, now: Micros, id: &str) -> bool {
        self.recovery.remembers(now, self.limits.query_lifetime, id)
    }

    /// Returns why a proposal that relies on these incarnations must not be accepted for the query, if so.
    fn must_abstain(&self, now: Micros, id: &str, incarnations: &Incarnations) -> Option<AbstainReason> {
        if self.relies_on_ended_incarnation(incarnations) {
            return Some(AbstainReason::StaleIncarnation);
        }
        (!self.remembers(now, id)).then_some(AbstainReason::Recovering)
    }

    fn abstain(&self, id: QueryId, ballot: Ballot, reason: AbstainReason) -> AcceptorReply {
        AcceptorReply::Abstained { id, ballot, reason, incarnation: self.incarnation }
    }

    /// Whether one of these incarnations is known to have ended.
    fn relies_on_ended_incarnation(&self, incarnations: &Incarnations) -> bool {
        incarnations.iter().any(|(peer, relied_on)| {
            if *peer == self.me {
                return *relied_on != self.incarnation;
            }
            self.known_incarnations.get(peer).is_some_and(|current| current > relied_on)
        })
    }

    /// Accepts a proposal under the promised ballot.
    fn accept_proposal(
        &mut self,
        id: QueryId,
        ballot: Ballot,
        proposal: &Proposal,
        version: u32,
    ) -> AcceptorReply {
        self.table.update(&id, |record| record.accept(ballot, proposal));
        AcceptorReply::Accepted { id, ballot, version, incarnation: self.incarnation }
    }

    /// Whether a query that was opened then, and has no record, may have had one here.
    fn may_have_forgotten(&self, opened_at: &OpenedAt) -> bool {
        let epoch = opened_at.epochs.get(&self.me);
        opened_at.incarnations.get(&self.me) != Some(&self.incarnation)
            || epoch.is_none_or(|epoch| epoch + 1 < self.epoch)
    }

    /// Whether another record fits. A record without a chosen outcome is never removed, and one with a chosen
    /// outcome is kept for as long as the query may be submitted again.
    fn has_capacity(&self, payload_bytes: usize) -> bool {
        self.table.records.len() < self.limits.records
            && self.table.bytes + payload_bytes <= self.limits.bytes
    }

    /// Ends an epoch that has lasted for the longest lifetime of a query, and removes the records of queries
    /// whose outcome was chosen three epochs ago. Returns `true` if a new epoch began; the other acceptors
    /// have to be informed of it.
    ///
    /// Epochs count the times at which records may have been removed. An `Open` request that names an epoch
    /// before the previous one is not accepted. So the earliest submission that is accepted lies in the
    /// second epoch after the one in which a removed query's outcome was chosen; by then that query may no
    /// longer be submitted again. However late an `Open` request arrives, a removed query is never mistaken
    /// for a new one. The clock only decides when an epoch ends, and a process that was paused ends one
    /// epoch, not several.
    pub fn end_epoch(&mut self, now: Micros) -> bool {
        if now.saturating_sub(self.epoch_started_at) < self.limits.query_lifetime {
            return false;
        }
        (self.epoch, self.epoch_started_at) = (self.epoch + 1, now);
        let expired = |(_, chosen): &(&QueryId, &ChosenAt)| chosen.epoch + EPOCHS_KEPT <= self.epoch;
        let expired: Vec<QueryId> =
            self.chosen.iter().filter(expired).map(|(id, _)| Arc::clone(id)).collect();
        for id in expired {
            self.chosen.remove(&id);
            self.table.remove(&id);
        }
        true
    }

    /// Returns the current epoch.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }
}
