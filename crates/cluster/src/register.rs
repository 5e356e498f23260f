//! Decides what may be done for one query, by whom, and how it ended: a small replicated register for each id.
//!
//! # The invariant
//!
//! *Of all processes that ever act for an id, a part with an effect gets leave under two ballots only if the
//! second one was told of the first; and of the outcomes that are told for an id, all are the same.*
//!
//! No clock, no time-out and no view of who is alive takes part in it: these choose when to ask and whom, and
//! when to stop waiting.
//!
//! # How it holds
//!
//! An id has an odd number of *keepers*, found by hashing the id over the fixed list ([`keepers`]). Whoever acts
//! for an id does so under a *ballot* that nobody else has. A keeper takes what is written under a ballot only
//! if that very ballot is the one that it promised last. A part may be sent once its intent is with a majority;
//! an outcome may be told once it is with a majority. Whoever takes over has a higher ballot promised by a
//! majority first, and is told by each of these what it holds: two majorities share a keeper, and that one
//! either took the intent before it promised, and says so, or promised before, and takes it no more. That
//! promise is the fence, and it holds however long the former owner was paused.
//!
//! A keeper that starts again has forgotten what it promised. It *abstains* until it has told the other keepers
//! of an id which life it is in now and has had from them what they hold ([`Keeper::met`]). What is written
//! names the lives of the keepers that it counts on, and a keeper takes nothing that counts on a life which it
//! knows to be over. So a majority never counts a word that was forgotten.
//!
//! Where nobody is left who remembers (all started at once), keepers abstain for twice the longest life of an id.
//! That is the one wait in here, and it guards the memory of ids asked *again* (a client that comes later than
//! that broke its side), not effects of those asked before: these are fenced by lives.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::planted::{self, Bug};
use crate::{Incarnation, Micros, PeerId};

/// The client's name of a query.
pub type QueryId = Arc<str>;

/// Under which something is done for an id. Nobody else has the same: it names its holder and which life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// 0 for who was asked by the client; each that takes over goes above what it heard of.
    pub round: u32,
    /// Whose it is.
    pub proposer: PeerId,
    /// In which life.
    pub incarnation: Incarnation,
    /// Which of the ballots that this life of it has made: one that asks for the same id again, after it had
    /// done with it, must not be taken for who it was.
    pub sequence: u64,
}

/// An attempt of a part. It names its ballot: two that act one after the other may both count an attempt 0, and
/// what is said of one must not be taken for the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptRef {
    /// The part.
    pub part: u32,
    /// Which attempt at it, under this ballot.
    pub attempt: u32,
    /// Under which it was to be sent.
    pub ballot: Ballot,
}

/// What a query's keepers hold of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The ballot that was promised last; only what comes under it is taken.
    pub promised: Ballot,
    /// What was asked, as whoever takes over needs it.
    pub payload: Arc<[u8]>,
    /// Attempts that may have been sent.
    pub intents: BTreeSet<AttemptRef>,
    /// Those of them that are known never to have run.
    pub not_executed: BTreeSet<AttemptRef>,
    /// How it ended, under which ballot that was written.
    pub outcome: Option<(Ballot, Arc<[u8]>)>,
    /// The outcome is known to be with a majority.
    pub chosen: bool,
    /// Who has the promise does nothing under it any more, and said so.
    pub relinquished: bool,
    /// When it was opened, in keepers' lives and epochs.
    pub opened_at: OpenedAt,
}

impl Record {
    /// Nothing was written yet.
    fn new(promised: Ballot, payload: Arc<[u8]>, opened_at: OpenedAt) -> Self {
        let (intents, not_executed, outcome) = (BTreeSet::new(), BTreeSet::new(), None);
        Self {
            promised,
            payload,
            intents,
            not_executed,
            outcome,
            chosen: false,
            relinquished: false,
            opened_at,
        }
    }
}

/// Lives of keepers that a word counts on.
pub type Incarnations = BTreeMap<PeerId, Incarnation>;

/// Epochs of keepers.
pub type Epochs = BTreeMap<PeerId, u64>;

/// When an id was opened, as far as its keepers can tell: in which lives and epochs of theirs. One of them that
/// holds nothing of the id, and is in another life or a later epoch, may have forgotten it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OpenedAt {
    /// Their lives.
    pub incarnations: Incarnations,
    /// Their epochs.
    pub epochs: Epochs,
}

/// What is written, all of it each time, so that a copy or an old one does no harm.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Proposal {
    /// Attempts that may be sent.
    pub intents: BTreeSet<AttemptRef>,
    /// Attempts that never ran.
    pub not_executed: BTreeSet<AttemptRef>,
    /// How it ended.
    pub outcome: Option<Arc<[u8]>>,
    /// Nothing more is done under this ballot.
    pub relinquished: bool,
}

/// From who acts for an id to a keeper.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ProposerRequest {
    /// A new id, under a ballot of round 0; with what is written first.
    Open {
        /// The id.
        id: QueryId,
        /// The ballot.
        ballot: Ballot,
        /// The lives that it counts on.
        incarnations: Incarnations,
        /// Each keeper's epoch, as it was known when the id was asked.
        epochs: Epochs,
        /// What was asked.
        payload: Arc<[u8]>,
        /// What is written with it.
        proposal: Proposal,
        /// Which version of it.
        version: u32,
    },
    /// More is written under a ballot.
    Accept {
        /// The id.
        id: QueryId,
        /// The ballot.
        ballot: Ballot,
        /// The lives that it counts on.
        incarnations: Incarnations,
        /// All of it.
        proposal: Proposal,
        /// Which version of it.
        version: u32,
    },
    /// Somebody takes over.
    Prepare {
        /// The id.
        id: QueryId,
        /// The ballot.
        ballot: Ballot,
        /// When the id was opened.
        opened_at: OpenedAt,
    },
    /// The outcome is with a majority: it may be told to whoever asks, and the record is only kept for that.
    Chosen {
        /// The id.
        id: QueryId,
        /// The outcome.
        outcome: Arc<[u8]>,
    },
    /// What is known of an id?
    ReadRecord {
        /// The id.
        id: QueryId,
    },
}

impl ProposerRequest {
    /// The id that it is about.
    #[must_use]
    pub fn id(&self) -> &QueryId {
        match self {
            Self::Open { id, .. }
            | Self::Accept { id, .. }
            | Self::Prepare { id, .. }
            | Self::Chosen { id, .. }
            | Self::ReadRecord { id } => id,
        }
    }
}

/// A keeper's word.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AcceptorReply {
    /// Taken: this version is held under this ballot.
    Accepted {
        /// The id.
        id: QueryId,
        /// The ballot.
        ballot: Ballot,
        /// The version.
        version: u32,
        /// The keeper's life.
        incarnation: Incarnation,
    },
    /// The ballot is promised, and nothing under a lower one is taken any more.
    Promised {
        /// The id.
        id: QueryId,
        /// The ballot.
        ballot: Ballot,
        /// The keeper's life.
        incarnation: Incarnation,
        /// What it holds.
        record: Option<Record>,
    },
    /// Not taken: another ballot is promised here, or the id is known.
    Rejected {
        /// The id.
        id: QueryId,
        /// The ballot that was refused.
        rejected: Ballot,
        /// What is held.
        record: Record,
    },
    /// No word: this keeper may have forgotten what it knew of the id, counts on nothing that is over, or has no
    /// room for another id.
    Abstained {
        /// The id.
        id: QueryId,
        /// The ballot that it is about.
        ballot: Ballot,
        /// Why.
        reason: AbstainReason,
        /// The keeper's life now.
        incarnation: Incarnation,
    },
    /// What is known.
    RecordRead {
        /// The id.
        id: QueryId,
        /// What is held; `None` where nothing is, or where it may have been forgotten.
        record: Option<Record>,
        /// It may have been forgotten.
        possibly_forgotten: bool,
    },
}

/// Why a keeper gives no word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AbstainReason {
    /// It has started again, and has not heard from enough others.
    Recovering,
    /// What it was told counts on a life, its own or another's, that is over.
    StaleIncarnation,
    /// Nothing of the id is here: it was never opened here, or was ended and forgotten.
    UnknownQuery,
    /// All places are taken by ids that have not ended.
    CapacityExhausted,
}

/// What one keeper tells another that has started.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StateTransfer {
    /// Whose word it is.
    pub from: PeerId,
    /// In which life.
    pub incarnation: Incarnation,
    /// The life of the one that it is for; another one passes it by.
    pub to: Incarnation,
    /// In which epoch.
    pub epoch: u64,
    /// It remembers all that it ever promised.
    pub remembers_all: bool,
    /// What it holds of ids that the other keeps as well: a page of it, with how long ago each was settled at the
    /// least.
    pub records: Vec<(QueryId, Record, Micros)>,
    /// The page is of ids after this one.
    pub after: Option<QueryId>,
    /// There is more, after this id.
    pub next: Option<QueryId>,
}

/// How far one keeper's pages have come.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct TransferProgress {
    /// In which life of the other.
    incarnation: Incarnation,
    /// The last id that was on a page.
    after: Option<QueryId>,
    /// It was whole at each page.
    remembers_all: bool,
}

/// Bytes of records on a page, or one record: a keeper may hold more than any link takes at once.
const TRANSFER_PAGE_BYTES: usize = 4096;

/// The keepers of an id, in the order in which they look after it: by the highest hash of id and name, so that
/// every process finds the same ones, whatever it believes of who is there.
#[must_use]
pub fn acceptors_for(id: &str, peer_count: usize, group_size: usize) -> Vec<PeerId> {
    let hash = |peer: u16| {
        let bytes = id.bytes().chain([0]).chain(peer.to_be_bytes());
        let hash = crate::digest(bytes);
        // The last bytes reach the high bits only by this.
        let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
        mixed ^ (mixed >> 33)
    };
    let mut all: Vec<(u64, PeerId)> =
        (0..peer_count).filter_map(|at| u16::try_from(at).ok()).map(|at| (hash(at), PeerId(at))).collect();
    all.sort_unstable_by(|a, b| b.cmp(a));
    all.into_iter().take(group_size).map(|(_, peer)| peer).collect()
}

/// What a keeper may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AcceptorLimits {
    /// Records.
    pub records: usize,
    /// Bytes of what was asked and of outcomes.
    pub bytes: usize,
    /// For how long an id may be asked again, at the most.
    pub query_lifetime: Micros,
}

/// When an id was settled, as far as a keeper can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ChosenAt {
    /// In which of its epochs it heard so.
    epoch: u64,
    /// When that was.
    heard: Micros,
    /// How long ago it had been then, at the least.
    age: Micros,
}

/// One process as a keeper of ids.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    me: PeerId,
    incarnation: Incarnation,
    peer_count: usize,
    group_size: usize,
    limits: AcceptorLimits,
    started_at: Micros,
    records: BTreeMap<QueryId, Record>,
    bytes: usize,
    /// Settled ids.
    chosen: BTreeMap<QueryId, ChosenAt>,
    /// The latest lives that others have told.
    incarnations: Incarnations,
    /// From whom it was heard in this life what they hold, and whether they were whole.
    transferred: BTreeMap<PeerId, bool>,
    /// Whose pages are on their way.
    transfer_progress: BTreeMap<PeerId, TransferProgress>,
    /// Counts the times at which something may have been forgotten. What ended in an epoch is kept for the two
    /// after it, and an opening that knew of an epoch before the last one is refused: so one that is taken was
    /// asked, at the earliest, in the epoch after the one that followed the end of what was forgotten, which is
    /// later than that may be asked again. However late an opening comes, an id that was forgotten is not taken
    /// for a new one. A clock chooses when an epoch ends, and a process that was paused ends one, not several.
    epoch: u64,
    /// When this one began.
    since: Micros,
}

impl Acceptor {
    /// A keeper that has just started, in a life that it has told nobody yet.
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
            started_at: now,
            records: BTreeMap::new(),
            bytes: 0,
            chosen: BTreeMap::new(),
            incarnations: Incarnations::new(),
            transferred: BTreeMap::new(),
            transfer_progress: BTreeMap::new(),
            epoch: 0,
            since: now,
        }
    }

    /// Its life.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// What it holds of an id.
    #[must_use]
    pub fn record(&self, id: &str) -> Option<&Record> {
        self.records.get(id)
    }

    /// Ids that have not ended, with what is held of them.
    pub fn open_records(&self) -> impl Iterator<Item = (&QueryId, &Record)> {
        self.records.iter().filter(|(_, record)| !record.chosen)
    }

    /// How many records it holds, and how many bytes are in them.
    #[must_use]
    pub fn usage(&self) -> (usize, usize) {
        (self.records.len(), self.bytes)
    }

    /// Whether no id that was asked before its start can be asked any more. One may be asked again at the end of
    /// its life, and be waited for as long again.
    fn recovery_wait_over(&self, now: Micros) -> bool {
        now.saturating_sub(self.started_at) >= 2 * self.limits.query_lifetime
    }

    /// Whether it remembers all that it ever promised about an id. Each majority that it may have been part of
    /// in an earlier life has, beside itself, one of any `group / 2 + 1` others: it has to have met so many of
    /// the id's keepers, and they have to be whole themselves, or too much time has to have passed for the id
    /// to be asked again.
    fn remembers(&self, now: Micros, id: &str) -> bool {
        let others =
            acceptors_for(id, self.peer_count, self.group_size).into_iter().filter(|peer| *peer != self.me);
        let old = self.recovery_wait_over(now);
        if self.group_size == 1 {
            // There is nobody to hear it from.
            return old;
        }
        let met = others
            .filter(|peer| self.transferred.get(peer).is_some_and(|remembers_all| *remembers_all || old))
            .count();
        met > self.group_size / 2
    }

    /// Whether it is whole as far as those who start after it are concerned: it remembers for every id.
    #[must_use]
    pub fn remembers_every_query(&self, now: Micros) -> bool {
        let old = self.recovery_wait_over(now);
        if self.group_size == 1 {
            return old;
        }
        let met = self.transferred.values().filter(|remembers_all| **remembers_all || old).count();
        // At the worst all whom it has not met are keepers of one id; it has to remember that id as well.
        let spared = self.group_size - 1 - (self.group_size / 2 + 1);
        met + 1 + spared >= self.peer_count
    }

    /// Those of whom it still has to hear what they hold, and after which id; they may be whole by the time that
    /// they are asked again.
    #[must_use]
    pub fn missing_transfers(&self) -> Vec<(PeerId, Option<QueryId>)> {
        let all = (0..self.peer_count).filter_map(|at| u16::try_from(at).ok()).map(PeerId);
        let missing_transfers =
            all.filter(|peer| *peer != self.me && !self.transferred.get(peer).copied().unwrap_or(false));
        missing_transfers
            .map(|peer| {
                (
                    peer,
                    self.transfer_progress
                        .get(&peer)
                        .and_then(|transfer_progress| transfer_progress.after.clone()),
                )
            })
            .collect()
    }

    /// What this keeper tells another which says that it is in that life: first that life is taken for its
    /// present one, so that nothing that counts on an earlier one is taken here any more. That is why what is
    /// held may go over in pages: what changes here between two of them does not count on what was forgotten.
    pub fn serve_transfer(
        &mut self,
        now: Micros,
        peer: PeerId,
        incarnation: Incarnation,
        after: Option<QueryId>,
    ) -> StateTransfer {
        let known = self.incarnations.entry(peer).or_insert(incarnation);
        *known = (*known).max(incarnation);
        let to = *known;
        let (epoch, remembers_all) = (self.epoch, self.remembers_every_query(now));
        let (mut records, mut bytes, mut next) = (Vec::new(), 0, None);
        if !remembers_all {
            // Only what a whole one tells makes the other whole, which asks again until then. (Told all the same, each
            // that had started asked each other for all of its records four times a second, and a fleet in which one
            // after the other starts did nothing else.)
            return StateTransfer {
                from: self.me,
                incarnation: self.incarnation,
                to,
                epoch,
                remembers_all,
                records,
                after,
                next,
            };
        }
        let from = after.as_ref().map_or(Bound::Unbounded, |id| Bound::Excluded(Arc::clone(id)));
        let shared = |id: &str| acceptors_for(id, self.peer_count, self.group_size).contains(&peer);
        for (id, record) in self.records.range((from, Bound::Unbounded)).filter(|(id, _)| shared(id)) {
            bytes += id.len() + record_size(record);
            if bytes > TRANSFER_PAGE_BYTES && !records.is_empty() {
                next = records.last().map(|(id, ..): &(QueryId, Record, Micros)| Arc::clone(id));
                break;
            }
            let age = self.chosen.get(id).map_or(0, |chosen| chosen.age + now.saturating_sub(chosen.heard));
            records.push((Arc::clone(id), record.clone(), age));
        }
        StateTransfer {
            from: self.me,
            incarnation: self.incarnation,
            to,
            epoch,
            remembers_all,
            records,
            after,
            next,
        }
    }

    /// What another holds has come; gives back after which id there is more to ask for.
    pub fn receive_transfer(&mut self, now: Micros, meeting: StateTransfer) -> Option<QueryId> {
        if meeting.to != self.incarnation {
            return None;
        }
        for (id, theirs, age) in meeting.records {
            self.merge_record(now, id, theirs, age);
        }
        let fresh = TransferProgress { incarnation: meeting.incarnation, after: None, remembers_all: true };
        let transfer_progress = self.transfer_progress.entry(meeting.from).or_insert_with(|| fresh.clone());
        if transfer_progress.incarnation != meeting.incarnation {
            *transfer_progress = fresh;
        }
        if transfer_progress.after != meeting.after {
            // A page that came twice, or late.
            return None;
        }
        // One that became whole between two pages has learned what may belong on an earlier one.
        transfer_progress.remembers_all &= meeting.remembers_all;
        if meeting.next.is_some() {
            transfer_progress.after = meeting.next;
            return transfer_progress.after.clone();
        }
        let heard = transfer_progress.remembers_all;
        self.transfer_progress.remove(&meeting.from);
        let remembers_all = self.transferred.entry(meeting.from).or_insert(false);
        *remembers_all |= heard;
        None
    }

    /// Adds what another held to what is held here. Facts add up; of promises the highest counts.
    ///
    /// What was settled its whole life before this keeper's start is left out: an opening that could be taken here
    /// names this life of the keeper, so it was asked after its start, which is later than the id may be asked. (Or
    /// keepers that start one after the other would tell each other of all that ever ended, for good.)
    fn merge_record(&mut self, now: Micros, id: QueryId, theirs: Record, age: Micros) {
        let chosen = theirs.chosen;
        let here = self.records.contains_key(&id);
        if !here && chosen && age >= self.limits.query_lifetime + now.saturating_sub(self.started_at) {
            return;
        }
        match self.records.get_mut(&id) {
            None => {
                self.bytes += record_size(&theirs);
                self.records.insert(Arc::clone(&id), theirs);
            }
            Some(ours) => {
                let before = record_size(ours);
                if theirs.promised > ours.promised {
                    (ours.promised, ours.relinquished) = (theirs.promised, theirs.relinquished);
                }
                ours.intents.extend(&theirs.intents);
                ours.not_executed.extend(&theirs.not_executed);
                if !ours.chosen {
                    // What is settled counts, whatever else was written anywhere.
                    ours.outcome =
                        if chosen { theirs.outcome } else { ours.outcome.take().max(theirs.outcome) };
                    ours.chosen = chosen;
                }
                self.bytes = self.bytes - before + record_size(ours);
            }
        }
        if chosen {
            self.chosen.entry(id).or_insert(ChosenAt { epoch: self.epoch, heard: now, age });
        }
    }

    /// An order comes; the word on it goes back.
    pub fn handle_request(&mut self, now: Micros, request: ProposerRequest) -> Option<AcceptorReply> {
        match request {
            ProposerRequest::Open { id, ballot, incarnations, epochs, payload, proposal, version } => {
                if let Some(reason) = self.stale_incarnation(&incarnations) {
                    return Some(self.abstain(id, ballot, reason));
                }
                // Also where it was told of this very ballot by another keeper: that is no word of its own.
                if !self.remembers(now, &id) {
                    return Some(self.abstain(id, ballot, AbstainReason::Recovering));
                }
                if let Some(record) = self.records.get(&id) {
                    let forgets = planted::is(Bug::ForgetAPromise);
                    if (record.promised != ballot && !forgets) || record.chosen {
                        return Some(AcceptorReply::Rejected {
                            id,
                            rejected: ballot,
                            record: record.clone(),
                        });
                    }
                    return Some(self.write(id, ballot, &proposal, version));
                }
                // What was asked before something was forgotten here, and comes on a slow way, may be among that.
                let opened_at = OpenedAt { incarnations, epochs };
                if self.may_have_forgotten(&opened_at) {
                    return Some(self.abstain(id, ballot, AbstainReason::UnknownQuery));
                }
                if !self.has_capacity(payload.len()) {
                    return Some(self.abstain(id, ballot, AbstainReason::CapacityExhausted));
                }
                let record = Record::new(ballot, payload, opened_at);
                self.bytes += record_size(&record);
                self.records.insert(Arc::clone(&id), record);
                Some(self.write(id, ballot, &proposal, version))
            }
            ProposerRequest::Accept { id, ballot, incarnations, proposal, version } => {
                if let Some(reason) = self.stale_incarnation(&incarnations) {
                    return Some(self.abstain(id, ballot, reason));
                }
                if !self.remembers(now, &id) {
                    return Some(self.abstain(id, ballot, AbstainReason::Recovering));
                }
                match self.records.get(&id) {
                    None => Some(self.abstain(id, ballot, AbstainReason::UnknownQuery)),
                    Some(record) if record.promised != ballot && !planted::is(Bug::ForgetAPromise) => {
                        Some(AcceptorReply::Rejected { id, rejected: ballot, record: record.clone() })
                    }
                    Some(_) => Some(self.write(id, ballot, &proposal, version)),
                }
            }
            ProposerRequest::Prepare { id, ballot, opened_at } => {
                if !self.remembers(now, &id) {
                    return Some(self.abstain(id, ballot, AbstainReason::Recovering));
                }
                let (incarnation, forgot) = (self.incarnation, self.may_have_forgotten(&opened_at));
                match self.records.get_mut(&id) {
                    Some(record) if record.promised > ballot => {
                        let record = record.clone();
                        Some(AcceptorReply::Rejected { id, rejected: ballot, record })
                    }
                    Some(record) => {
                        record.relinquished &= record.promised == ballot;
                        record.promised = ballot;
                        let record = Some(record.clone());
                        Some(AcceptorReply::Promised { id, ballot, incarnation, record })
                    }
                    // To promise that nothing was written here, it has to know that.
                    None if forgot => Some(self.abstain(id, ballot, AbstainReason::UnknownQuery)),
                    None => {
                        if !self.has_capacity(0) {
                            return Some(self.abstain(id, ballot, AbstainReason::CapacityExhausted));
                        }
                        // Nothing was written here, and nothing will be under a lower ballot.
                        let promised = Record::new(ballot, Arc::from([]), opened_at);
                        self.bytes += record_size(&promised);
                        self.records.insert(Arc::clone(&id), promised);
                        Some(AcceptorReply::Promised { id, ballot, incarnation, record: None })
                    }
                }
            }
            ProposerRequest::Chosen { id, outcome } => {
                if let Some(record) = self.records.get_mut(&id).filter(|record| !record.chosen) {
                    let before = record_size(record);
                    record.outcome = Some((record.promised, outcome));
                    record.chosen = true;
                    if let Some(head) = record.payload.get(..REQUEST_DIGEST_BYTES) {
                        // Nobody runs it any more; only another body is still told from it.
                        record.payload = head.into();
                    }
                    self.bytes = self.bytes - before + record_size(record);
                    self.chosen.entry(id).or_insert(ChosenAt { epoch: self.epoch, heard: now, age: 0 });
                }
                None
            }
            ProposerRequest::ReadRecord { id } => {
                let record = self.records.get(&id).cloned();
                let possibly_forgotten = record.is_none() && !self.remembers(now, &id);
                Some(AcceptorReply::RecordRead { id, record, possibly_forgotten })
            }
        }
    }

    fn abstain(&self, id: QueryId, ballot: Ballot, reason: AbstainReason) -> AcceptorReply {
        AcceptorReply::Abstained { id, ballot, reason, incarnation: self.incarnation }
    }

    /// Whether a word counts on a life that is known here to be over.
    fn stale_incarnation(&self, incarnations: &Incarnations) -> Option<AbstainReason> {
        let over = incarnations.iter().any(|(peer, incarnation)| {
            let now = if *peer == self.me { Some(&self.incarnation) } else { self.incarnations.get(peer) };
            now.is_some_and(|now| now != incarnation && (*peer == self.me || now > incarnation))
        });
        over.then_some(AbstainReason::StaleIncarnation)
    }

    /// Takes what is written under the ballot that is promised.
    fn write(&mut self, id: QueryId, ballot: Ballot, proposal: &Proposal, version: u32) -> AcceptorReply {
        if let Some(record) = self.records.get_mut(&id) {
            let before = record_size(record);
            record.intents.extend(&proposal.intents);
            record.not_executed.extend(&proposal.not_executed);
            record.relinquished |= proposal.relinquished;
            if let (Some(outcome), false) = (&proposal.outcome, record.chosen) {
                record.outcome = Some((ballot, Arc::clone(outcome)));
            }
            self.bytes = self.bytes - before + record_size(record);
        }
        AcceptorReply::Accepted { id, ballot, version, incarnation: self.incarnation }
    }

    /// Whether an id that was opened then, and of which nothing is here, may have been here.
    fn may_have_forgotten(&self, opened_at: &OpenedAt) -> bool {
        let epoch = opened_at.epochs.get(&self.me);
        opened_at.incarnations.get(&self.me) != Some(&self.incarnation)
            || epoch.is_none_or(|epoch| epoch + 1 < self.epoch)
    }

    /// Whether another id fits. What has not ended is never forgotten, and what ended is kept for as long as it
    /// may be asked for again.
    fn has_capacity(&self, bytes: usize) -> bool {
        self.records.len() < self.limits.records && self.bytes + bytes <= self.limits.bytes
    }

    /// Ends an epoch if it has lasted for the longest life of an id, and forgets what ended three epochs ago.
    /// `true` if the others are to be told of the new one.
    pub fn end_epoch(&mut self, now: Micros) -> bool {
        if now.saturating_sub(self.since) < self.limits.query_lifetime {
            return false;
        }
        (self.epoch, self.since) = (self.epoch + 1, now);
        let old = |(_, chosen): &(&QueryId, &ChosenAt)| chosen.epoch + 3 <= self.epoch;
        let old: Vec<QueryId> = self.chosen.iter().filter(old).map(|(id, _)| Arc::clone(id)).collect();
        for id in old {
            self.chosen.remove(&id);
            self.forget(&id);
        }
        true
    }

    /// The present epoch.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    fn forget(&mut self, id: &QueryId) {
        let Some(record) = self.records.remove(id) else { return };
        self.bytes -= record_size(&record);
    }
}

/// The first bytes of what was asked tell one body from another.
pub(crate) const REQUEST_DIGEST_BYTES: usize = 8;
/// What a record counts for in memory beside its bytes.
const RECORD_OVERHEAD_BYTES: usize = 256;

fn record_size(record: &Record) -> usize {
    let outcome = record.outcome.as_ref().map_or(0, |(_, outcome)| outcome.len());
    RECORD_OVERHEAD_BYTES
        + record.payload.len()
        + outcome
        + 16 * (record.intents.len() + record.not_executed.len())
}

/// How far a claim to act for an id has come.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ProposerPhase {
    /// A majority of promises is waited for.
    Preparing,
    /// It acts.
    Active,
    /// Another has a higher ballot: it does nothing new, for good.
    Fenced,
}

/// One process that acts for one id, or wants to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    id: QueryId,
    ballot: Ballot,
    acceptors: Vec<PeerId>,
    phase: ProposerPhase,
    /// What was asked: one's own, or what a keeper held.
    payload: Arc<[u8]>,
    /// It opened the id, or it takes over.
    is_opener: bool,
    /// When the id was opened; that never changes, however long it takes.
    opened_at: OpenedAt,
    /// Keepers that promised this ballot, and in which life: only these count.
    incarnations: Incarnations,
    /// Attempts of earlier ballots that may have run.
    inherited_intents: BTreeSet<AttemptRef>,
    /// An outcome of an earlier ballot that may have been told.
    found_outcome: Option<(Ballot, Arc<[u8]>)>,
    proposal: Proposal,
    version: u32,
    /// The version with which each attempt was written, and the outcome.
    intent_versions: BTreeMap<AttemptRef, u32>,
    outcome_version: Option<u32>,
    /// An outcome that waits for the opening to be taken.
    pending_outcome: Option<Arc<[u8]>>,
    /// The latest version that each keeper has.
    accepted_versions: BTreeMap<PeerId, u32>,
    /// Keepers that gave no word; they may later.
    abstained: BTreeSet<PeerId>,
}

impl Proposer {
    /// Who was asked by a client, with the lives that its keepers are believed to be in. It acts from the
    /// start, as far as keepers take its opening.
    #[must_use]
    pub fn open(
        id: QueryId,
        ballot: Ballot,
        acceptors: Vec<PeerId>,
        opened_at: OpenedAt,
        payload: Arc<[u8]>,
    ) -> Self {
        let mut proposer = Self::new(id, ballot, acceptors, payload);
        (proposer.phase, proposer.is_opener) = (ProposerPhase::Active, true);
        (proposer.incarnations, proposer.opened_at) = (opened_at.incarnations.clone(), opened_at);
        proposer
    }

    /// Who takes over: it may do nothing before a majority has promised.
    #[must_use]
    pub fn prepare(id: QueryId, ballot: Ballot, acceptors: Vec<PeerId>, opened_at: OpenedAt) -> Self {
        Self { opened_at, ..Self::new(id, ballot, acceptors, Arc::from([])) }
    }

    /// When the id was opened.
    #[must_use]
    pub fn opened_at(&self) -> &OpenedAt {
        &self.opened_at
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
            incarnations: Incarnations::new(),
            inherited_intents: BTreeSet::new(),
            found_outcome: None,
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
    pub fn phase(&self) -> &ProposerPhase {
        &self.phase
    }

    /// Its ballot.
    #[must_use]
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Goes up with each thing written.
    #[must_use]
    pub fn version(&self) -> u32 {
        self.version
    }

    /// What was asked; empty where no keeper that promised holds it.
    #[must_use]
    pub fn payload(&self) -> &Arc<[u8]> {
        &self.payload
    }

    /// Whether an attempt of a part of an earlier ballot may have run.
    #[must_use]
    pub fn may_have_executed(&self, part: u32) -> bool {
        self.inherited_intents.iter().any(|intent| intent.part == part)
    }

    /// Whether any attempt of an earlier ballot may have run.
    #[must_use]
    pub fn any_may_have_executed(&self) -> bool {
        !self.inherited_intents.is_empty()
    }

    /// The keepers that have not promised, or taken all that is written; orders to them may be sent again.
    #[must_use]
    pub fn pending_acceptors(&self) -> Vec<PeerId> {
        let lacks = |peer: &&PeerId| match self.phase {
            ProposerPhase::Preparing => !self.incarnations.contains_key(peer),
            ProposerPhase::Active => {
                self.accepted_versions.get(peer).is_none_or(|version| *version < self.version)
            }
            ProposerPhase::Fenced => false,
        };
        self.acceptors.iter().filter(lacks).copied().collect()
    }

    /// What a keeper is to be told now.
    #[must_use]
    pub fn request_for(&self, acceptor: PeerId) -> Option<ProposerRequest> {
        let (id, ballot, version) = (Arc::clone(&self.id), self.ballot, self.version);
        let (incarnations, proposal, opened_at) =
            (self.incarnations.clone(), self.proposal.clone(), self.opened_at.clone());
        match (&self.phase, self.is_opener) {
            (ProposerPhase::Fenced, _) => None,
            (ProposerPhase::Preparing, _) => Some(ProposerRequest::Prepare { id, ballot, opened_at }),
            (ProposerPhase::Active, true) => {
                let (payload, epochs) = (Arc::clone(&self.payload), self.opened_at.epochs.clone());
                Some(ProposerRequest::Open { id, ballot, incarnations, epochs, payload, proposal, version })
            }
            // One that has not promised is asked to first: what it holds has to be known.
            (ProposerPhase::Active, false) if !self.incarnations.contains_key(&acceptor) => {
                Some(ProposerRequest::Prepare { id, ballot, opened_at })
            }
            (ProposerPhase::Active, false) => {
                Some(ProposerRequest::Accept { id, ballot, incarnations, proposal, version })
            }
        }
    }

    /// Writes that an attempt is about to be sent. It may be once [`Actor::granted`] says so. `None` where it
    /// may never be: an attempt of an earlier ballot at the same part may have run, the query has ended, or
    /// this process does not act for it.
    pub fn write_intent(&mut self, part: u32, attempt: u32) -> Option<AttemptRef> {
        let over = self.outcome_version.is_some() || self.found_outcome.is_some();
        if self.phase != ProposerPhase::Active || over || self.may_have_executed(part) {
            return None;
        }
        let intent = AttemptRef { part, attempt, ballot: self.ballot };
        if self.proposal.intents.insert(intent) {
            self.version += 1;
            self.intent_versions.insert(intent, self.version);
        }
        Some(intent)
    }

    /// Writes that an attempt never ran.
    pub fn mark_not_executed(&mut self, intent: AttemptRef) {
        if self.phase == ProposerPhase::Active && self.proposal.intents.contains(&intent) {
            // A fact that nobody waits for: it goes along with what is written next.
            self.proposal.not_executed.insert(intent);
        }
    }

    /// Attempts of this process's own earlier ballots that were never sent.
    pub fn inherit_not_executed(&mut self, intent_versions: impl IntoIterator<Item = AttemptRef>) {
        self.proposal.not_executed.extend(intent_versions);
    }

    /// What a fenced actor has to say to the keepers that took what it wrote: it does nothing more, and what
    /// never had leave never ran. `unsent` are attempts that were written and not sent.
    pub fn relinquish(
        &mut self,
        unsent: impl IntoIterator<Item = AttemptRef>,
    ) -> Vec<(PeerId, ProposerRequest)> {
        self.proposal.not_executed.extend(unsent);
        self.proposal.relinquished = true;
        let request = |acceptor: &PeerId| {
            let (id, ballot, version) = (Arc::clone(&self.id), self.ballot, self.version + 1);
            let (incarnations, proposal) = (Incarnations::new(), self.proposal.clone());
            (*acceptor, ProposerRequest::Accept { id, ballot, incarnations, proposal, version })
        };
        self.acceptors.iter().map(request).collect()
    }

    /// Writes how it ended. Where an earlier ballot's outcome was found, that one is written instead: it may
    /// have been told.
    ///
    /// Whoever opened the id writes no outcome before a majority took the opening: several may open one id at
    /// once without asking first, a majority takes the opening of one of them at the most, and so no two
    /// outcomes of the lowest round can stand beside each other.
    pub fn propose_outcome(&mut self, outcome: Arc<[u8]>) {
        if self.phase != ProposerPhase::Active || self.outcome_version.is_some() {
            return;
        }
        if self.is_opener && 2 * self.accepted_versions.len() <= self.acceptors.len() {
            self.pending_outcome = Some(outcome);
        } else {
            let outcome = self.found_outcome.take().map_or(outcome, |(_, found)| found);
            self.proposal.outcome = Some(outcome);
            self.version += 1;
            self.outcome_version = Some(self.version);
        }
    }

    /// An outcome of an earlier ballot that has to be settled in the place of any other.
    #[must_use]
    pub fn found_outcome(&self) -> Option<&Arc<[u8]>> {
        self.found_outcome.as_ref().map(|(_, outcome)| outcome)
    }

    fn has_majority(&self, version: u32) -> bool {
        let has = |peer: &&PeerId| self.accepted_versions.get(peer).is_some_and(|held| *held >= version);
        let count = self.acceptors.iter().filter(has).count();
        self.phase == ProposerPhase::Active && 2 * count > self.acceptors.len()
    }

    /// Whether an attempt may be sent.
    #[must_use]
    pub fn is_permitted(&self, intent: AttemptRef) -> bool {
        self.intent_versions.get(&intent).is_some_and(|version| self.has_majority(*version))
    }

    /// The outcome, once it may be told.
    #[must_use]
    pub fn chosen_outcome(&self) -> Option<&Arc<[u8]>> {
        self.outcome_version.filter(|version| self.has_majority(*version))?;
        self.proposal.outcome.as_ref()
    }

    /// Whether so many keepers gave no word that there may be no majority for now.
    #[must_use]
    pub fn lacks_quorum(&self) -> bool {
        2 * (self.acceptors.len() - self.abstained.len()) <= self.acceptors.len()
    }

    /// Whether a keeper is known to hold what was written.
    #[must_use]
    pub fn is_accepted_anywhere(&self) -> bool {
        !self.accepted_versions.is_empty()
    }

    /// Whether this keeper is known to hold something of what was written.
    #[must_use]
    pub fn has_accepted(&self, acceptor: PeerId) -> bool {
        self.accepted_versions.contains_key(&acceptor)
    }

    /// A keeper's word has come. What it says of others' doing is given back for who has to wait for that.
    pub fn handle_reply(&mut self, from: PeerId, reply: AcceptorReply) -> Option<Record> {
        if !self.acceptors.contains(&from) || self.phase == ProposerPhase::Fenced {
            return None;
        }
        match reply {
            AcceptorReply::Accepted { ballot, version, incarnation, .. } if ballot == self.ballot => {
                // Only a keeper in the life that was counted on: another life may have forgotten.
                if self.incarnations.get(&from) == Some(&incarnation) {
                    let held = self.accepted_versions.entry(from).or_insert(0);
                    *held = (*held).max(version);
                    self.abstained.remove(&from);
                    if let Some(outcome) = self.pending_outcome.take() {
                        self.propose_outcome(outcome);
                    }
                }
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

    fn promised(&mut self, from: PeerId, incarnation: Incarnation, record: Option<Record>) {
        // A second promise by a later life counts for nothing: what was written counts on the first one.
        if self.incarnations.contains_key(&from) {
            return;
        }
        self.incarnations.insert(from, incarnation);
        self.abstained.remove(&from);
        // Once a majority has promised, that is what counts: what only a later one holds never had leave and was
        // never told, and an outcome found after an attempt was sent would say what is not so.
        if let Some(record) = record.filter(|_| self.phase == ProposerPhase::Preparing) {
            if self.payload.is_empty() {
                self.payload = record.payload;
            }
            let earlier = record.intents.iter().filter(|intent| intent.ballot != self.ballot);
            self.inherited_intents.extend(earlier);
            self.proposal.not_executed.extend(&record.not_executed);
            // A fact that one keeper knows counts for all.
            let mark_not_executed = &self.proposal.not_executed;
            self.inherited_intents.retain(|intent| !mark_not_executed.contains(intent));
            self.found_outcome = self.found_outcome.take().max(record.outcome);
        }
        let majority =
            2 * self.incarnations.len() > self.acceptors.len() || planted::is(Bug::AdoptWithoutAMajority);
        if majority && self.phase == ProposerPhase::Preparing {
            self.phase = ProposerPhase::Active;
            self.proposal.intents.extend(&self.inherited_intents);
            self.version += 1;
        }
    }
}
