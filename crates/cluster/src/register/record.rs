//! The record that an acceptor stores of one query, and how proposals, outcomes and other acceptors' records
//! are merged into it.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::ballot::{AttemptRef, Ballot, OpenedAt};

/// Length of the digest at the start of a payload, which distinguishes different requests under one id.
const PAYLOAD_DIGEST_BYTES: usize = 8;
/// Estimated bytes of memory of a record without its payload, outcome and attempts.
const RECORD_OVERHEAD_BYTES: usize = 256;
/// Estimated bytes of memory of an attempt in a record.
const ATTEMPT_BYTES: usize = 16;

/// An acceptor's record of one query. The encoding depends on the order of the fields.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The highest promised ballot; proposals under any other are rejected.
    pub promised: Ballot,
    /// The client's request, as a process that takes over needs it, preceded by a digest. Truncated to the
    /// digest once an outcome is chosen.
    pub payload: Arc<[u8]>,
    /// Attempts that may have been sent.
    pub intents: BTreeSet<AttemptRef>,
    /// The intents that are known not to have been executed.
    pub not_executed: BTreeSet<AttemptRef>,
    /// The last accepted outcome.
    pub outcome: Option<RecordedOutcome>,
    /// A majority is known to have accepted the outcome; it never changes from then on.
    pub chosen: bool,
    /// The proposer of the promised ballot has given that ballot up.
    pub relinquished: bool,
    /// When the query was opened.
    pub opened_at: OpenedAt,
}

/// An outcome, and the ballot under which it was accepted. The one with the higher ballot takes precedence.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordedOutcome {
    /// The ballot under which it was accepted.
    pub ballot: Ballot,
    /// The outcome's bytes; opaque to the register.
    pub outcome: Arc<[u8]>,
}

/// The cumulative proposal of a proposer. Each request carries all of it, so that lost, duplicated and late
/// requests are harmless. The encoding depends on the order of the fields.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Proposal {
    /// Attempts that are about to be sent.
    pub intents: BTreeSet<AttemptRef>,
    /// Attempts that are known not to have been executed.
    pub not_executed: BTreeSet<AttemptRef>,
    /// How the query ended.
    pub outcome: Option<Arc<[u8]>>,
    /// The proposer has given its ballot up.
    pub relinquished: bool,
}

impl Record {
    /// Creates the record of a query for which nothing has been accepted.
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

    /// Accepts a proposal under `ballot`. A chosen outcome is not replaced.
    pub(super) fn accept(&mut self, ballot: Ballot, proposal: &Proposal) {
        self.intents.extend(&proposal.intents);
        self.not_executed.extend(&proposal.not_executed);
        self.relinquished |= proposal.relinquished;
        if let (Some(outcome), false) = (&proposal.outcome, self.chosen) {
            self.outcome = Some(RecordedOutcome { ballot, outcome: Arc::clone(outcome) });
        }
    }

    /// Merges another acceptor's record of the same query: intents accumulate, and the highest promise wins.
    pub(super) fn merge(&mut self, theirs: Record) {
        if theirs.promised > self.promised {
            (self.promised, self.relinquished) = (theirs.promised, theirs.relinquished);
        }
        self.intents.extend(&theirs.intents);
        self.not_executed.extend(&theirs.not_executed);
        if self.chosen {
            return;
        }
        // A chosen outcome takes precedence over any other that was accepted.
        self.outcome = if theirs.chosen { theirs.outcome } else { self.outcome.take().max(theirs.outcome) };
        self.chosen = theirs.chosen;
    }

    /// Records that a majority has accepted `outcome`. The query will not be run again, so only the digest of
    /// the payload is kept.
    pub(super) fn choose(&mut self, outcome: Arc<[u8]>) {
        self.outcome = Some(RecordedOutcome { ballot: self.promised, outcome });
        self.chosen = true;
        if let Some(digest) = self.payload.get(..PAYLOAD_DIGEST_BYTES) {
            self.payload = digest.into();
        }
    }

    /// Returns the estimated memory of the record, in bytes.
    pub(super) fn memory_bytes(&self) -> usize {
        let outcome = self.outcome.as_ref().map_or(0, |recorded| recorded.outcome.len());
        let attempts = self.intents.len() + self.not_executed.len();
        RECORD_OVERHEAD_BYTES + self.payload.len() + outcome + ATTEMPT_BYTES * attempts
    }
}

/// Returns the digest at the start of a payload, which distinguishes different requests under one id.
pub(crate) fn payload_digest(payload: &[u8]) -> &[u8] {
    &payload[..payload.len().min(PAYLOAD_DIGEST_BYTES)]
}
