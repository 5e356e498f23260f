//! The proposer: one process that acts for one query or tries to take it over, with its ballot, its proposal
//! and the replies of the acceptors.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::ballot::{AttemptRef, Ballot, Incarnations, OpenedAt, QueryId};
use super::messages::{AcceptorReply, ProposerRequest};
use super::record::{Proposal, Record, RecordedOutcome};
use crate::fault_injection::{self, Bug};
use crate::{Incarnation, PeerId};

/// The phase of a proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProposerPhase {
    /// It waits for a majority of promises, and may propose nothing yet.
    Preparing,
    /// It acts for the query: it opened the query, or a majority has promised its ballot.
    Active,
    /// Another ballot was promised: it never proposes anything again.
    Fenced,
}

/// One process as the proposer of one query.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    id: QueryId,
    ballot: Ballot,
    acceptors: Vec<PeerId>,
    phase: ProposerPhase,
    /// The client's request: the opener's own, or the one from the first promise that had it.
    payload: Arc<[u8]>,
    /// It opened the query for a client of this process; otherwise it takes the query over.
    is_opener: bool,
    /// When the query was opened; a takeover does not change it.
    opened_at: OpenedAt,
    /// Acceptors that promised this ballot, with their incarnations; only their replies are counted. For an
    /// opener, the last known incarnations of the acceptors.
    promised_by: Incarnations,
    /// Intents of earlier ballots that may have been executed.
    inherited_intents: BTreeSet<AttemptRef>,
    /// The outcome of the highest earlier ballot; it may have been reported to a client.
    inherited_outcome: Option<RecordedOutcome>,
    proposal: Proposal,
    /// Incremented with each change of the proposal that has to be accepted before this process can continue.
    version: u32,
    /// The version in which each intent was first proposed.
    intent_versions: BTreeMap<AttemptRef, u32>,
    /// The version in which the outcome was first proposed.
    outcome_version: Option<u32>,
    /// An outcome that waits until a majority has accepted the opening.
    pending_outcome: Option<Arc<[u8]>>,
    /// The latest version that each acceptor has accepted.
    accepted_versions: BTreeMap<PeerId, u32>,
    /// Acceptors whose last reply was to abstain; they may accept later.
    abstained: BTreeSet<PeerId>,
}

impl Proposer {
    /// Creates the proposer that opens a query for a client, relying on the last known incarnations of the
    /// acceptors. It is active from the start, without a prepare phase.
    #[must_use]
    pub fn open(
        id: QueryId,
        ballot: Ballot,
        acceptors: Vec<PeerId>,
        opened_at: OpenedAt,
        payload: Arc<[u8]>,
    ) -> Self {
        Self {
            phase: ProposerPhase::Active,
            is_opener: true,
            promised_by: opened_at.incarnations.clone(),
            opened_at,
            ..Self::new(id, ballot, acceptors, payload)
        }
    }

    /// Creates a proposer that takes a query over. It is active once a majority has promised `ballot`.
    #[must_use]
    pub fn prepare(id: QueryId, ballot: Ballot, acceptors: Vec<PeerId>, opened_at: OpenedAt) -> Self {
        Self { opened_at, ..Self::new(id, ballot, acceptors, Arc::from([])) }
    }

    fn new(id: QueryId, ballot: Ballot, acceptors: Vec<PeerId>, payload: Arc<[u8]>) -> Self {
        Self {
            id,
            ballot,
            acceptors,
            phase: ProposerPhase::Preparing,
            payload,
            is_opener: false,
            opened_at: OpenedAt::default(),
            promised_by: Incarnations::new(),
            inherited_intents: BTreeSet::new(),
            inherited_outcome: None,
            proposal: Proposal::default(),
            version: 0,
            intent_versions: BTreeMap::new(),
            outcome_version: None,
            pending_outcome: None,
            accepted_versions: BTreeMap::new(),
            abstained: BTreeSet::new(),
        }
    }

    /// Returns its phase.
    #[must_use]
    pub fn phase(&self) -> ProposerPhase {
        self.phase
    }

    /// Returns its ballot.
    #[must_use]
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Returns when the query was opened.
    #[must_use]
    pub fn opened_at(&self) -> &OpenedAt {
        &self.opened_at
    }

    /// Returns the version of its proposal.
    #[must_use]
    pub fn version(&self) -> u32 {
        self.version
    }

    /// Returns the client's request; empty if no acceptor that promised has it.
    #[must_use]
    pub fn payload(&self) -> &Arc<[u8]> {
        &self.payload
    }

    /// Whether an attempt of this part under an earlier ballot may have been executed.
    #[must_use]
    pub fn may_have_executed(&self, part: u32) -> bool {
        self.inherited_intents.iter().any(|intent| intent.part == part)
    }

    /// Whether any attempt under an earlier ballot may have been executed.
    #[must_use]
    pub fn any_may_have_executed(&self) -> bool {
        !self.inherited_intents.is_empty()
    }

    /// Returns the outcome of an earlier ballot, which has to be proposed instead of any other.
    #[must_use]
    pub fn inherited_outcome(&self) -> Option<&Arc<[u8]>> {
        self.inherited_outcome.as_ref().map(|recorded| &recorded.outcome)
    }

    /// Returns the acceptors that have not promised, or not accepted the current version.
    #[must_use]
    pub fn pending_acceptors(&self) -> Vec<PeerId> {
        let is_pending = |acceptor: &&PeerId| match self.phase {
            ProposerPhase::Preparing => !self.promised_by.contains_key(acceptor),
            ProposerPhase::Active => {
                self.accepted_versions.get(acceptor).is_none_or(|version| *version < self.version)
            }
            ProposerPhase::Fenced => false,
        };
        self.acceptors.iter().filter(is_pending).copied().collect()
    }

    /// Returns the request to send to an acceptor now.
    #[must_use]
    pub fn request_for(&self, acceptor: PeerId) -> Option<ProposerRequest> {
        match self.phase {
            ProposerPhase::Fenced => None,
            ProposerPhase::Preparing => Some(self.prepare_request()),
            ProposerPhase::Active if self.is_opener => Some(ProposerRequest::Open {
                id: Arc::clone(&self.id),
                ballot: self.ballot,
                incarnations: self.promised_by.clone(),
                epochs: self.opened_at.epochs.clone(),
                payload: Arc::clone(&self.payload),
                proposal: self.proposal.clone(),
                version: self.version,
            }),
            // An acceptor accepts no proposal under a ballot that it has not promised.
            ProposerPhase::Active if !self.promised_by.contains_key(&acceptor) => {
                Some(self.prepare_request())
            }
            ProposerPhase::Active => Some(ProposerRequest::Accept {
                id: Arc::clone(&self.id),
                ballot: self.ballot,
                incarnations: self.promised_by.clone(),
                proposal: self.proposal.clone(),
                version: self.version,
            }),
        }
    }

    fn prepare_request(&self) -> ProposerRequest {
        let (id, opened_at) = (Arc::clone(&self.id), self.opened_at.clone());
        ProposerRequest::Prepare { id, ballot: self.ballot, opened_at }
    }

    /// Proposes the intent to send an attempt, which may be sent once [`Proposer::is_permitted`] is true.
    /// Returns `None` if it must never be sent: an attempt of the same part under an earlier ballot may have
    /// been executed, the query has an outcome, or this process does not act for it.
    pub fn propose_intent(&mut self, part: u32, attempt: u32) -> Option<AttemptRef> {
        let has_ended = self.outcome_version.is_some() || self.inherited_outcome.is_some();
        if self.phase != ProposerPhase::Active || has_ended || self.may_have_executed(part) {
            return None;
        }
        let intent = AttemptRef { part, attempt, ballot: self.ballot };
        if self.proposal.intents.insert(intent) {
            self.version += 1;
            self.intent_versions.insert(intent, self.version);
        }
        Some(intent)
    }

    /// Marks an attempt as not executed. This creates no new version: it is sent with the next one.
    pub fn mark_not_executed(&mut self, intent: AttemptRef) {
        if self.phase == ProposerPhase::Active && self.proposal.intents.contains(&intent) {
            self.proposal.not_executed.insert(intent);
        }
    }

    /// Marks attempts under this process's own earlier ballots that were never sent as not executed.
    pub fn inherit_not_executed(&mut self, unsent: impl IntoIterator<Item = AttemptRef>) {
        self.proposal.not_executed.extend(unsent);
    }

    /// Returns the last requests of a fenced proposer: it gives its ballot up, and `unsent`, the attempts
    /// that were proposed and never permitted, were not executed.
    pub fn relinquish(
        &mut self,
        unsent: impl IntoIterator<Item = AttemptRef>,
    ) -> Vec<(PeerId, ProposerRequest)> {
        self.proposal.not_executed.extend(unsent);
        self.proposal.relinquished = true;
        let request = |acceptor: &PeerId| {
            let request = ProposerRequest::Accept {
                id: Arc::clone(&self.id),
                ballot: self.ballot,
                incarnations: Incarnations::new(),
                proposal: self.proposal.clone(),
                version: self.version + 1,
            };
            (*acceptor, request)
        };
        self.acceptors.iter().map(request).collect()
    }

    /// Proposes an outcome. An outcome of an earlier ballot is proposed instead, since it may have been
    /// reported to a client.
    ///
    /// An opener proposes no outcome before a majority has accepted its `Open` request. Several processes may
    /// open one id at once without a prepare phase, but a majority accepts at most one of them, so there are
    /// never two outcomes of round 0.
    pub fn propose_outcome(&mut self, outcome: Arc<[u8]>) {
        if self.phase != ProposerPhase::Active || self.outcome_version.is_some() {
            return;
        }
        if self.is_opener && !self.is_majority(self.accepted_versions.len()) {
            self.pending_outcome = Some(outcome);
            return;
        }
        let outcome = self.inherited_outcome.take().map_or(outcome, |inherited| inherited.outcome);
        self.proposal.outcome = Some(outcome);
        self.version += 1;
        self.outcome_version = Some(self.version);
    }

    /// Whether an attempt may be sent: a majority has accepted its intent.
    #[must_use]
    pub fn is_permitted(&self, intent: AttemptRef) -> bool {
        self.intent_versions.get(&intent).is_some_and(|version| self.is_accepted_by_majority(*version))
    }

    /// Returns the outcome once a majority has accepted it, so that it may be reported.
    #[must_use]
    pub fn chosen_outcome(&self) -> Option<&Arc<[u8]>> {
        self.outcome_version.filter(|version| self.is_accepted_by_majority(*version))?;
        self.proposal.outcome.as_ref()
    }

    fn is_accepted_by_majority(&self, version: u32) -> bool {
        let has =
            |peer: &&PeerId| self.accepted_versions.get(peer).is_some_and(|accepted| *accepted >= version);
        let count = self.acceptors.iter().filter(has).count();
        self.phase == ProposerPhase::Active && self.is_majority(count)
    }

    fn is_majority(&self, count: usize) -> bool {
        2 * count > self.acceptors.len()
    }

    /// Whether too many acceptors abstained for a majority at present.
    #[must_use]
    pub fn lacks_quorum(&self) -> bool {
        !self.is_majority(self.acceptors.len() - self.abstained.len())
    }

    /// Whether any acceptor is known to have accepted a version.
    #[must_use]
    pub fn is_accepted_anywhere(&self) -> bool {
        !self.accepted_versions.is_empty()
    }

    /// Whether this acceptor is known to have accepted a version.
    #[must_use]
    pub fn has_accepted(&self, acceptor: PeerId) -> bool {
        self.accepted_versions.contains_key(&acceptor)
    }

    /// Handles an acceptor's reply. If the acceptor rejected the ballot, this proposer is fenced from then
    /// on, and the acceptor's record is returned.
    pub fn handle_reply(&mut self, from: PeerId, reply: AcceptorReply) -> Option<Record> {
        if !self.acceptors.contains(&from) || self.phase == ProposerPhase::Fenced {
            return None;
        }
        match reply {
            AcceptorReply::Accepted { ballot, version, incarnation, .. } if ballot == self.ballot => {
                self.accepted(from, incarnation, version);
                None
            }
            AcceptorReply::Promised { ballot, incarnation, record, .. }
                if ballot == self.ballot && !self.is_opener =>
            {
                self.promised(from, incarnation, record);
                None
            }
            AcceptorReply::Rejected { rejected, record, .. } if rejected == self.ballot => {
                self.phase = ProposerPhase::Fenced;
                Some(record)
            }
            AcceptorReply::Abstained { ballot, .. } if ballot == self.ballot => {
                self.abstained.insert(from);
                None
            }
            _ => None,
        }
    }

    fn accepted(&mut self, from: PeerId, incarnation: Incarnation, version: u32) {
        // Only the incarnation that the proposal relies on counts: another one may have forgotten its
        // promise.
        if self.promised_by.get(&from) != Some(&incarnation) {
            return;
        }
        let accepted = self.accepted_versions.entry(from).or_insert(0);
        *accepted = (*accepted).max(version);
        self.abstained.remove(&from);
        if let Some(outcome) = self.pending_outcome.take() {
            self.propose_outcome(outcome);
        }
    }

    fn promised(&mut self, from: PeerId, incarnation: Incarnation, record: Option<Record>) {
        // A second promise, by a later incarnation, is ignored: the proposal relies on the first one.
        if self.promised_by.contains_key(&from) {
            return;
        }
        self.promised_by.insert(from, incarnation);
        self.abstained.remove(&from);
        if self.phase != ProposerPhase::Preparing {
            // Only the records of the first majority are inherited: an intent or outcome that only a later
            // record has was never permitted or reported, and adopting an outcome after an attempt was sent
            // would report a wrong one.
            return;
        }
        if let Some(record) = record {
            self.inherit(record);
        }
        let majority = self.is_majority(self.promised_by.len())
            || fault_injection::is_injected(Bug::TakeOverWithoutMajority);
        if majority {
            self.phase = ProposerPhase::Active;
            self.proposal.intents.extend(&self.inherited_intents);
            self.version += 1;
        }
    }

    /// Inherits the state under earlier ballots from the record in a promise.
    fn inherit(&mut self, record: Record) {
        if self.payload.is_empty() {
            self.payload = record.payload;
        }
        let earlier = record.intents.iter().filter(|intent| intent.ballot != self.ballot);
        self.inherited_intents.extend(earlier);
        // One acceptor's knowledge that an attempt was not executed is sufficient.
        self.proposal.not_executed.extend(&record.not_executed);
        let not_executed = &self.proposal.not_executed;
        self.inherited_intents.retain(|intent| !not_executed.contains(intent));
        self.inherited_outcome = self.inherited_outcome.take().max(record.outcome);
    }
}
