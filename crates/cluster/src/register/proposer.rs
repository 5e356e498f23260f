//! One process that acts for one query, or wants to take it over: its ballot, its proposal and the replies to
//! it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::ballot::{AttemptRef, Ballot, Incarnations, OpenedAt, QueryId};
use super::messages::{AcceptorReply, ProposerRequest};
use super::record::{Proposal, Record, RecordedOutcome};
use crate::fault_injection::{self, Bug};
use crate::{Incarnation, PeerId};

/// How far a proposer has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProposerPhase {
    /// It waits for a majority of promises and may do nothing yet.
    Preparing,
    /// It acts for the query: it opened it, or a majority has promised its ballot.
    Active,
    /// Another ballot was promised: it does nothing new, for good.
    Fenced,
}

/// One process that acts for one query.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    id: QueryId,
    ballot: Ballot,
    acceptors: Vec<PeerId>,
    phase: ProposerPhase,
    /// The request: its client's, or the one of the first promise that had it.
    payload: Arc<[u8]>,
    /// It opened the query for a client of its own; otherwise it takes it over.
    is_opener: bool,
    /// When the query was opened; never changes, whoever takes it over.
    opened_at: OpenedAt,
    /// Acceptors that promised this ballot, with their incarnations; only replies of these count. For an
    /// opener, the incarnations that the acceptors are believed to be in.
    promised_by: Incarnations,
    /// Intents of earlier ballots that may have been executed.
    inherited_intents: BTreeSet<AttemptRef>,
    /// The outcome of the highest earlier ballot; it may have been told to a client.
    inherited_outcome: Option<RecordedOutcome>,
    proposal: Proposal,
    /// Goes up with each change of the proposal that somebody waits for.
    version: u32,
    /// The version in which each intent was first proposed.
    intent_versions: BTreeMap<AttemptRef, u32>,
    /// The version in which the outcome was first proposed.
    outcome_version: Option<u32>,
    /// An outcome that waits until a majority has accepted the opening.
    pending_outcome: Option<Arc<[u8]>>,
    /// The latest version that each acceptor has accepted.
    accepted_versions: BTreeMap<PeerId, u32>,
    /// Acceptors that abstained last; they may accept later.
    abstained: BTreeSet<PeerId>,
}

impl Proposer {
    /// Opens a query for a client, counting on the incarnations that its acceptors are believed to be in. It
    /// is active from the start, as far as acceptors accept its opening.
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

    /// Takes a query over: it may do nothing before a majority has promised `ballot`.
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

    /// How far it has come.
    #[must_use]
    pub fn phase(&self) -> ProposerPhase {
        self.phase
    }

    /// Its ballot.
    #[must_use]
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// When the query was opened.
    #[must_use]
    pub fn opened_at(&self) -> &OpenedAt {
        &self.opened_at
    }

    /// The version of its proposal: goes up with each change that somebody waits for.
    #[must_use]
    pub fn version(&self) -> u32 {
        self.version
    }

    /// The request; empty if no acceptor that promised has it.
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

    /// An outcome of an earlier ballot, which has to be proposed in the place of any other.
    #[must_use]
    pub fn inherited_outcome(&self) -> Option<&Arc<[u8]>> {
        self.inherited_outcome.as_ref().map(|recorded| &recorded.outcome)
    }

    /// The acceptors that have not promised, or not accepted the present version; requests to them may be
    /// sent again.
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

    /// The request that an acceptor is to get now.
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
            // An acceptor accepts nothing under a ballot that it has not promised.
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

    /// Proposes the intent to send an attempt; it may be sent once [`Proposer::is_permitted`] says so. `None`
    /// if it never may be: an attempt of the same part under an earlier ballot may have been executed, the
    /// query has an outcome, or this process does not act for it.
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

    /// Notes that an attempt was never executed. Nobody waits for that: it goes along with the next version.
    pub fn mark_not_executed(&mut self, intent: AttemptRef) {
        if self.phase == ProposerPhase::Active && self.proposal.intents.contains(&intent) {
            self.proposal.not_executed.insert(intent);
        }
    }

    /// Notes attempts of this process's own earlier ballots that were never sent.
    pub fn inherit_not_executed(&mut self, unsent: impl IntoIterator<Item = AttemptRef>) {
        self.proposal.not_executed.extend(unsent);
    }

    /// The last requests of a fenced proposer, to the acceptors that accepted its proposal: it does nothing
    /// more, and `unsent`, the attempts that were proposed and never permitted, were not executed.
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

    /// Proposes how the query ended. An outcome of an earlier ballot is proposed in its place, since it may
    /// have been told to a client.
    ///
    /// An opener proposes no outcome before a majority has accepted its opening: several processes may open
    /// one id at once without a prepare phase, a majority accepts the opening of one of them at most, and so
    /// no two outcomes of round 0 can ever stand beside each other.
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

    /// The outcome, once a majority has accepted it and it may be told.
    #[must_use]
    pub fn chosen_outcome(&self) -> Option<&Arc<[u8]>> {
        self.outcome_version.filter(|version| self.is_accepted_by_majority(*version))?;
        self.proposal.outcome.as_ref()
    }

    fn is_accepted_by_majority(&self, version: u32) -> bool {
        let has = |peer: &&PeerId| self.accepted_versions.get(peer).is_some_and(|held| *held >= version);
        let count = self.acceptors.iter().filter(has).count();
        self.phase == ProposerPhase::Active && self.is_majority(count)
    }

    fn is_majority(&self, count: usize) -> bool {
        2 * count > self.acceptors.len()
    }

    /// Whether so many acceptors abstained that there is no majority for now.
    #[must_use]
    pub fn lacks_quorum(&self) -> bool {
        !self.is_majority(self.acceptors.len() - self.abstained.len())
    }

    /// Whether an acceptor is known to have accepted any version.
    #[must_use]
    pub fn is_accepted_anywhere(&self) -> bool {
        !self.accepted_versions.is_empty()
    }

    /// Whether this acceptor is known to have accepted any version.
    #[must_use]
    pub fn has_accepted(&self, acceptor: PeerId) -> bool {
        self.accepted_versions.contains_key(&acceptor)
    }

    /// An acceptor's reply has come. Gives back that acceptor's record if it rejected the ballot: this
    /// proposer is fenced from then on.
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
        // Only in the incarnation that was counted on: another one may have forgotten.
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
        // A second promise by a later incarnation counts for nothing: the proposal counts on the first one.
        if self.promised_by.contains_key(&from) {
            return;
        }
        self.promised_by.insert(from, incarnation);
        self.abstained.remove(&from);
        if self.phase != ProposerPhase::Preparing {
            // The first majority's records count: what only a later one has was never permitted and never
            // told, and an outcome that is found after an attempt was sent would be untrue.
            return;
        }
        if let Some(record) = record {
            self.inherit(record);
        }
        let majority = self.is_majority(self.promised_by.len())
            || fault_injection::is_injected(Bug::AdoptWithoutAMajority);
        if majority {
            self.phase = ProposerPhase::Active;
            self.proposal.intents.extend(&self.inherited_intents);
            self.version += 1;
        }
    }

    /// Takes over what an acceptor that promised knows of earlier ballots.
    fn inherit(&mut self, record: Record) {
        if self.payload.is_empty() {
            self.payload = record.payload;
        }
        let earlier = record.intents.iter().filter(|intent| intent.ballot != self.ballot);
        self.inherited_intents.extend(earlier);
        // A fact that one acceptor knows counts for all.
        self.proposal.not_executed.extend(&record.not_executed);
        let not_executed = &self.proposal.not_executed;
        self.inherited_intents.retain(|intent| !not_executed.contains(intent));
        self.inherited_outcome = self.inherited_outcome.take().max(record.outcome);
    }
}
