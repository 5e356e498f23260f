//! What an acceptor stores of one query, and how a proposal, an outcome or another acceptor's record is
//! merged into it.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::ballot::{AttemptRef, Ballot, OpenedAt};

/// Leading bytes of a payload that tell two different requests under one id apart.
const PAYLOAD_DIGEST_BYTES: usize = 8;
/// Bytes of memory that a record is counted with beside its payload, outcome and attempts.
const RECORD_OVERHEAD_BYTES: usize = 256;
/// Bytes of memory that an attempt in a record is counted with.
const ATTEMPT_BYTES: usize = 16;

/// An acceptor's record of one query. Stored and sent by the order of its fields.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The highest ballot that was promised; proposals under any other are rejected.
    pub promised: Ballot,
    /// The request, as a process that takes over needs it to run it; its first bytes are a digest of it. Cut
    /// down to that digest once an outcome is chosen.
    pub payload: Arc<[u8]>,
    /// Attempts that may have been sent.
    pub intents: BTreeSet<AttemptRef>,
    /// Those of the intents that are known never to have been executed.
    pub not_executed: BTreeSet<AttemptRef>,
    /// The outcome that was accepted last.
    pub outcome: Option<RecordedOutcome>,
    /// The outcome is known to be accepted by a majority; it never changes from then on.
    pub chosen: bool,
    /// The proposer of the promised ballot has said that it does nothing more under it.
    pub relinquished: bool,
    /// When the query was opened.
    pub opened_at: OpenedAt,
}

/// An outcome, and the ballot under which it was accepted. The one of the higher ballot counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordedOutcome {
    /// The ballot under which it was accepted.
    pub ballot: Ballot,
    /// The outcome's bytes; opaque to the register.
    pub outcome: Arc<[u8]>,
}

/// What a proposer has written so far. Each request carries all of it, so that a lost, repeated or late copy
/// is harmless. Sent by the order of its fields.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Proposal {
    /// Attempts that are about to be sent.
    pub intents: BTreeSet<AttemptRef>,
    /// Attempts that were never executed.
    pub not_executed: BTreeSet<AttemptRef>,
    /// How the query ended.
    pub outcome: Option<Arc<[u8]>>,
    /// The proposer does nothing more under its ballot.
    pub relinquished: bool,
}

impl Record {
    /// The record of a query of which nothing has been accepted.
    pub(super) fn new(promised: Ballot, payload: Arc<[u8]>, opened_at: OpenedAt) -> Self {
        Self {
            promised,
            payload,
            intents: BTreeSet::new(),
            not_executed: BTreeSet::new(),
            outcome: None,
            chosen: false,
            relinquished: false,
            opened_at,
        }
    }

    /// Accepts a proposal under `ballot`. A chosen outcome stays.
    pub(super) fn accept(&mut self, ballot: Ballot, proposal: &Proposal) {
        self.intents.extend(&proposal.intents);
        self.not_executed.extend(&proposal.not_executed);
        self.relinquished |= proposal.relinquished;
        if let (Some(outcome), false) = (&proposal.outcome, self.chosen) {
            self.outcome = Some(RecordedOutcome { ballot, outcome: Arc::clone(outcome) });
        }
    }

    /// Takes over another acceptor's record of the same query: facts add up, the highest promise counts.
    pub(super) fn merge(&mut self, theirs: Record) {
        if theirs.promised > self.promised {
            (self.promised, self.relinquished) = (theirs.promised, theirs.relinquished);
        }
        self.intents.extend(&theirs.intents);
        self.not_executed.extend(&theirs.not_executed);
        if self.chosen {
            return;
        }
        // A chosen outcome counts, whatever else was accepted anywhere.
        self.outcome = if theirs.chosen { theirs.outcome } else { self.outcome.take().max(theirs.outcome) };
        self.chosen = theirs.chosen;
    }

    /// Notes that `outcome` was accepted by a majority. The query is not run again, so only the payload's
    /// digest stays.
    pub(super) fn choose(&mut self, outcome: Arc<[u8]>) {
        self.outcome = Some(RecordedOutcome { ballot: self.promised, outcome });
        self.chosen = true;
        if let Some(digest) = self.payload.get(..PAYLOAD_DIGEST_BYTES) {
            self.payload = digest.into();
        }
    }

    /// Bytes of memory that the record is counted with.
    pub(super) fn memory_bytes(&self) -> usize {
        let outcome = self.outcome.as_ref().map_or(0, |recorded| recorded.outcome.len());
        let attempts = self.intents.len() + self.not_executed.len();
        RECORD_OVERHEAD_BYTES + self.payload.len() + outcome + ATTEMPT_BYTES * attempts
    }
}

/// The bytes of a payload that tell two different requests under one id apart.
pub(crate) fn payload_digest(payload: &[u8]) -> &[u8] {
    &payload[..payload.len().min(PAYLOAD_DIGEST_BYTES)]
}
