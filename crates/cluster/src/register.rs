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
pub type Id = Arc<str>;

/// Under which something is done for an id. Nobody else has the same: it names its holder and which life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// 0 for who was asked by the client; each that takes over goes above what it heard of.
    pub round: u32,
    /// Whose it is.
    pub by: PeerId,
    /// In which life.
    pub life: Incarnation,
    /// Which of the ballots that this life of it has made: one that asks for the same id again, after it had
    /// done with it, must not be taken for who it was.
    pub turn: u64,
}

/// An attempt of a part. It names its ballot: two that act one after the other may both count an attempt 0, and
/// what is said of one must not be taken for the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Mark {
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
    pub asked: Arc<[u8]>,
    /// Attempts that may have been sent.
    pub intents: BTreeSet<Mark>,
    /// Those of them that are known never to have run.
    pub voids: BTreeSet<Mark>,
    /// How it ended, under which ballot that was written.
    pub outcome: Option<(Ballot, Arc<[u8]>)>,
    /// The outcome is known to be with a majority.
    pub settled: bool,
    /// Who has the promise does nothing under it any more, and said so.
    pub left: bool,
    /// When it was opened, in keepers' lives and epochs.
    pub opened: Opened,
}

impl Record {
    /// Nothing was written yet.
    fn new(promised: Ballot, asked: Arc<[u8]>, opened: Opened) -> Self {
        let (intents, voids, outcome) = (BTreeSet::new(), BTreeSet::new(), None);
        Self { promised, asked, intents, voids, outcome, settled: false, left: false, opened }
    }
}

/// Lives of keepers that a word counts on.
pub type Lives = BTreeMap<PeerId, Incarnation>;

/// Epochs of keepers.
pub type Epochs = BTreeMap<PeerId, u64>;

/// When an id was opened, as far as its keepers can tell: in which lives and epochs of theirs. One of them that
/// holds nothing of the id, and is in another life or a later epoch, may have forgotten it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Opened {
    /// Their lives.
    pub lives: Lives,
    /// Their epochs.
    pub epochs: Epochs,
}

/// What is written, all of it each time, so that a copy or an old one does no harm.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Written {
    /// Attempts that may be sent.
    pub intents: BTreeSet<Mark>,
    /// Attempts that never ran.
    pub voids: BTreeSet<Mark>,
    /// How it ended.
    pub outcome: Option<Arc<[u8]>>,
    /// Nothing more is done under this ballot.
    pub left: bool,
}

/// From who acts for an id to a keeper.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Order {
    /// A new id, under a ballot of round 0; with what is written first.
    Open {
        /// The id.
        id: Id,
        /// The ballot.
        ballot: Ballot,
        /// The lives that it counts on.
        lives: Lives,
        /// Each keeper's epoch, as it was known when the id was asked.
        epochs: Epochs,
        /// What was asked.
        asked: Arc<[u8]>,
        /// What is written with it.
        written: Written,
        /// Which version of it.
        version: u32,
    },
    /// More is written under a ballot.
    Write {
        /// The id.
        id: Id,
        /// The ballot.
        ballot: Ballot,
        /// The lives that it counts on.
        lives: Lives,
        /// All of it.
        written: Written,
        /// Which version of it.
        version: u32,
    },
    /// Somebody takes over.
    Take {
        /// The id.
        id: Id,
        /// The ballot.
        ballot: Ballot,
        /// When the id was opened.
        opened: Opened,
    },
    /// The outcome is with a majority: it may be told to whoever asks, and the record is only kept for that.
    Settled {
        /// The id.
        id: Id,
        /// The outcome.
        outcome: Arc<[u8]>,
    },
    /// What is known of an id?
    Ask {
        /// The id.
        id: Id,
    },
}

impl Order {
    /// The id that it is about.
    #[must_use]
    pub fn id(&self) -> &Id {
        match self {
            Self::Open { id, .. }
            | Self::Write { id, .. }
            | Self::Take { id, .. }
            | Self::Settled { id, .. }
            | Self::Ask { id } => id,
        }
    }
}

/// A keeper's word.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Word {
    /// Taken: this version is held under this ballot.
    Done {
        /// The id.
        id: Id,
        /// The ballot.
        ballot: Ballot,
        /// The version.
        version: u32,
        /// The keeper's life.
        life: Incarnation,
    },
    /// The ballot is promised, and nothing under a lower one is taken any more.
    Promised {
        /// The id.
        id: Id,
        /// The ballot.
        ballot: Ballot,
        /// The keeper's life.
        life: Incarnation,
        /// What it holds.
        record: Option<Record>,
    },
    /// Not taken: another ballot is promised here, or the id is known.
    Held {
        /// The id.
        id: Id,
        /// The ballot that was refused.
        refused: Ballot,
        /// What is held.
        record: Record,
    },
    /// No word: this keeper may have forgotten what it knew of the id, counts on nothing that is over, or has no
    /// room for another id.
    Abstains {
        /// The id.
        id: Id,
        /// The ballot that it is about.
        ballot: Ballot,
        /// Why.
        why: Abstains,
        /// The keeper's life now.
        life: Incarnation,
    },
    /// What is known.
    Known {
        /// The id.
        id: Id,
        /// What is held; `None` where nothing is, or where it may have been forgotten.
        record: Option<Record>,
        /// It may have been forgotten.
        forgetful: bool,
    },
}

/// Why a keeper gives no word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Abstains {
    /// It has started again, and has not heard from enough others.
    Forgetful,
    /// What it was told counts on a life, its own or another's, that is over.
    Outlived,
    /// Nothing of the id is here: it was never opened here, or was ended and forgotten.
    Unknown,
    /// All places are taken by ids that have not ended.
    Full,
}

/// What one keeper tells another that has started.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Meeting {
    /// Whose word it is.
    pub from: PeerId,
    /// In which life.
    pub life: Incarnation,
    /// The life of the one that it is for; another one passes it by.
    pub to: Incarnation,
    /// In which epoch.
    pub epoch: u64,
    /// It remembers all that it ever promised.
    pub whole: bool,
    /// What it holds of ids that the other keeps as well: a page of it, with how long ago each was settled at the
    /// least.
    pub records: Vec<(Id, Record, Micros)>,
    /// The page is of ids after this one.
    pub after: Option<Id>,
    /// There is more, after this id.
    pub next: Option<Id>,
}

/// How far one keeper's pages have come.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Paging {
    /// In which life of the other.
    life: Incarnation,
    /// The last id that was on a page.
    after: Option<Id>,
    /// It was whole at each page.
    whole: bool,
}

/// Bytes of records on a page, or one record: a keeper may hold more than any link takes at once.
const PAGE: usize = 4096;

/// The keepers of an id, in the order in which they look after it: by the highest hash of id and name, so that
/// every process finds the same ones, whatever it believes of who is there.
#[must_use]
pub fn keepers(id: &str, peers: usize, group: usize) -> Vec<PeerId> {
    let hash = |peer: u16| {
        let bytes = id.bytes().chain([0]).chain(peer.to_be_bytes());
        let hash = crate::digest(bytes);
        // The last bytes reach the high bits only by this.
        let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
        mixed ^ (mixed >> 33)
    };
    let mut all: Vec<(u64, PeerId)> =
        (0..peers).filter_map(|at| u16::try_from(at).ok()).map(|at| (hash(at), PeerId(at))).collect();
    all.sort_unstable_by(|a, b| b.cmp(a));
    all.into_iter().take(group).map(|(_, peer)| peer).collect()
}

/// What a keeper may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Records.
    pub records: usize,
    /// Bytes of what was asked and of outcomes.
    pub bytes: usize,
    /// For how long an id may be asked again, at the most.
    pub life: Micros,
}

/// When an id was settled, as far as a keeper can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Settled {
    /// In which of its epochs it heard so.
    epoch: u64,
    /// When that was.
    heard: Micros,
    /// How long ago it had been then, at the least.
    age: Micros,
}

/// One process as a keeper of ids.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Keeper {
    me: PeerId,
    life: Incarnation,
    peers: usize,
    group: usize,
    bounds: Bounds,
    started: Micros,
    records: BTreeMap<Id, Record>,
    bytes: usize,
    /// Settled ids.
    settled: BTreeMap<Id, Settled>,
    /// The latest lives that others have told.
    lives: Lives,
    /// From whom it was heard in this life what they hold, and whether they were whole.
    met: BTreeMap<PeerId, bool>,
    /// Whose pages are on their way.
    paging: BTreeMap<PeerId, Paging>,
    /// Counts the times at which something may have been forgotten. What ended in an epoch is kept for the two
    /// after it, and an opening that knew of an epoch before the last one is refused: so one that is taken was
    /// asked, at the earliest, in the epoch after the one that followed the end of what was forgotten, which is
    /// later than that may be asked again. However late an opening comes, an id that was forgotten is not taken
    /// for a new one. A clock chooses when an epoch ends, and a process that was paused ends one, not several.
    epoch: u64,
    /// When this one began.
    since: Micros,
}

impl Keeper {
    /// A keeper that has just started, in a life that it has told nobody yet.
    #[must_use]
    pub fn new(
        now: Micros,
        me: PeerId,
        life: Incarnation,
        peers: usize,
        group: usize,
        bounds: Bounds,
    ) -> Self {
        Self {
            me,
            life,
            peers,
            group,
            bounds,
            started: now,
            records: BTreeMap::new(),
            bytes: 0,
            settled: BTreeMap::new(),
            lives: Lives::new(),
            met: BTreeMap::new(),
            paging: BTreeMap::new(),
            epoch: 0,
            since: now,
        }
    }

    /// Its life.
    #[must_use]
    pub fn life(&self) -> Incarnation {
        self.life
    }

    /// What it holds of an id.
    #[must_use]
    pub fn record(&self, id: &str) -> Option<&Record> {
        self.records.get(id)
    }

    /// Ids that have not ended, with what is held of them.
    pub fn open(&self) -> impl Iterator<Item = (&Id, &Record)> {
        self.records.iter().filter(|(_, record)| !record.settled)
    }

    /// How many records it holds, and how many bytes are in them.
    #[must_use]
    pub fn holds(&self) -> (usize, usize) {
        (self.records.len(), self.bytes)
    }

    /// Whether no id that was asked before its start can be asked any more. One may be asked again at the end of
    /// its life, and be waited for as long again.
    fn is_old(&self, now: Micros) -> bool {
        now.saturating_sub(self.started) >= 2 * self.bounds.life
    }

    /// Whether it remembers all that it ever promised about an id. Each majority that it may have been part of
    /// in an earlier life has, beside itself, one of any `group / 2 + 1` others: it has to have met so many of
    /// the id's keepers, and they have to be whole themselves, or too much time has to have passed for the id
    /// to be asked again.
    fn remembers(&self, now: Micros, id: &str) -> bool {
        let others = keepers(id, self.peers, self.group).into_iter().filter(|peer| *peer != self.me);
        let old = self.is_old(now);
        if self.group == 1 {
            // There is nobody to hear it from.
            return old;
        }
        let met = others.filter(|peer| self.met.get(peer).is_some_and(|whole| *whole || old)).count();
        met > self.group / 2
    }

    /// Whether it is whole as far as those who start after it are concerned: it remembers for every id.
    #[must_use]
    pub fn is_whole(&self, now: Micros) -> bool {
        let old = self.is_old(now);
        if self.group == 1 {
            return old;
        }
        let met = self.met.values().filter(|whole| **whole || old).count();
        // At the worst all whom it has not met are keepers of one id; it has to remember that id as well.
        let spared = self.group - 1 - (self.group / 2 + 1);
        met + 1 + spared >= self.peers
    }

    /// Those of whom it still has to hear what they hold, and after which id; they may be whole by the time that
    /// they are asked again.
    #[must_use]
    pub fn unmet(&self) -> Vec<(PeerId, Option<Id>)> {
        let all = (0..self.peers).filter_map(|at| u16::try_from(at).ok()).map(PeerId);
        let unmet = all.filter(|peer| *peer != self.me && !self.met.get(peer).copied().unwrap_or(false));
        unmet.map(|peer| (peer, self.paging.get(&peer).and_then(|paging| paging.after.clone()))).collect()
    }

    /// What this keeper tells another which says that it is in that life: first that life is taken for its
    /// present one, so that nothing that counts on an earlier one is taken here any more. That is why what is
    /// held may go over in pages: what changes here between two of them does not count on what was forgotten.
    pub fn meet(&mut self, now: Micros, peer: PeerId, life: Incarnation, after: Option<Id>) -> Meeting {
        let known = self.lives.entry(peer).or_insert(life);
        *known = (*known).max(life);
        let to = *known;
        let (epoch, whole) = (self.epoch, self.is_whole(now));
        let (mut records, mut bytes, mut next) = (Vec::new(), 0, None);
        if !whole {
            // Only what a whole one tells makes the other whole, which asks again until then. (Told all the same, each
            // that had started asked each other for all of its records four times a second, and a fleet in which one
            // after the other starts did nothing else.)
            return Meeting { from: self.me, life: self.life, to, epoch, whole, records, after, next };
        }
        let from = after.as_ref().map_or(Bound::Unbounded, |id| Bound::Excluded(Arc::clone(id)));
        let shared = |id: &str| keepers(id, self.peers, self.group).contains(&peer);
        for (id, record) in self.records.range((from, Bound::Unbounded)).filter(|(id, _)| shared(id)) {
            bytes += id.len() + size(record);
            if bytes > PAGE && !records.is_empty() {
                next = records.last().map(|(id, ..): &(Id, Record, Micros)| Arc::clone(id));
                break;
            }
            let age =
                self.settled.get(id).map_or(0, |settled| settled.age + now.saturating_sub(settled.heard));
            records.push((Arc::clone(id), record.clone(), age));
        }
        Meeting { from: self.me, life: self.life, to, epoch, whole, records, after, next }
    }

    /// What another holds has come; gives back after which id there is more to ask for.
    pub fn met(&mut self, now: Micros, meeting: Meeting) -> Option<Id> {
        if meeting.to != self.life {
            return None;
        }
        for (id, theirs, age) in meeting.records {
            self.learn(now, id, theirs, age);
        }
        let fresh = Paging { life: meeting.life, after: None, whole: true };
        let paging = self.paging.entry(meeting.from).or_insert_with(|| fresh.clone());
        if paging.life != meeting.life {
            *paging = fresh;
        }
        if paging.after != meeting.after {
            // A page that came twice, or late.
            return None;
        }
        // One that became whole between two pages has learned what may belong on an earlier one.
        paging.whole &= meeting.whole;
        if meeting.next.is_some() {
            paging.after = meeting.next;
            return paging.after.clone();
        }
        let heard = paging.whole;
        self.paging.remove(&meeting.from);
        let whole = self.met.entry(meeting.from).or_insert(false);
        *whole |= heard;
        None
    }

    /// Adds what another held to what is held here. Facts add up; of promises the highest counts.
    ///
    /// What was settled its whole life before this keeper's start is left out: an opening that could be taken here
    /// names this life of the keeper, so it was asked after its start, which is later than the id may be asked. (Or
    /// keepers that start one after the other would tell each other of all that ever ended, for good.)
    fn learn(&mut self, now: Micros, id: Id, theirs: Record, age: Micros) {
        let settled = theirs.settled;
        let here = self.records.contains_key(&id);
        if !here && settled && age >= self.bounds.life + now.saturating_sub(self.started) {
            return;
        }
        match self.records.get_mut(&id) {
            None => {
                self.bytes += size(&theirs);
                self.records.insert(Arc::clone(&id), theirs);
            }
            Some(ours) => {
                let before = size(ours);
                if theirs.promised > ours.promised {
                    (ours.promised, ours.left) = (theirs.promised, theirs.left);
                }
                ours.intents.extend(&theirs.intents);
                ours.voids.extend(&theirs.voids);
                if !ours.settled {
                    // What is settled counts, whatever else was written anywhere.
                    ours.outcome =
                        if settled { theirs.outcome } else { ours.outcome.take().max(theirs.outcome) };
                    ours.settled = settled;
                }
                self.bytes = self.bytes - before + size(ours);
            }
        }
        if settled {
            self.settled.entry(id).or_insert(Settled { epoch: self.epoch, heard: now, age });
        }
    }

    /// An order comes; the word on it goes back.
    pub fn order(&mut self, now: Micros, order: Order) -> Option<Word> {
        match order {
            Order::Open { id, ballot, lives, epochs, asked, written, version } => {
                if let Some(why) = self.outlived(&lives) {
                    return Some(self.abstain(id, ballot, why));
                }
                // Also where it was told of this very ballot by another keeper: that is no word of its own.
                if !self.remembers(now, &id) {
                    return Some(self.abstain(id, ballot, Abstains::Forgetful));
                }
                if let Some(record) = self.records.get(&id) {
                    let forgets = planted::is(Bug::ForgetAPromise);
                    if (record.promised != ballot && !forgets) || record.settled {
                        return Some(Word::Held { id, refused: ballot, record: record.clone() });
                    }
                    return Some(self.write(id, ballot, &written, version));
                }
                // What was asked before something was forgotten here, and comes on a slow way, may be among that.
                let opened = Opened { lives, epochs };
                if self.may_have_forgotten(&opened) {
                    return Some(self.abstain(id, ballot, Abstains::Unknown));
                }
                if !self.has_room(asked.len()) {
                    return Some(self.abstain(id, ballot, Abstains::Full));
                }
                let record = Record::new(ballot, asked, opened);
                self.bytes += size(&record);
                self.records.insert(Arc::clone(&id), record);
                Some(self.write(id, ballot, &written, version))
            }
            Order::Write { id, ballot, lives, written, version } => {
                if let Some(why) = self.outlived(&lives) {
                    return Some(self.abstain(id, ballot, why));
                }
                if !self.remembers(now, &id) {
                    return Some(self.abstain(id, ballot, Abstains::Forgetful));
                }
                match self.records.get(&id) {
                    None => Some(self.abstain(id, ballot, Abstains::Unknown)),
                    Some(record) if record.promised != ballot && !planted::is(Bug::ForgetAPromise) => {
                        Some(Word::Held { id, refused: ballot, record: record.clone() })
                    }
                    Some(_) => Some(self.write(id, ballot, &written, version)),
                }
            }
            Order::Take { id, ballot, opened } => {
                if !self.remembers(now, &id) {
                    return Some(self.abstain(id, ballot, Abstains::Forgetful));
                }
                let (life, forgot) = (self.life, self.may_have_forgotten(&opened));
                match self.records.get_mut(&id) {
                    Some(record) if record.promised > ballot => {
                        let record = record.clone();
                        Some(Word::Held { id, refused: ballot, record })
                    }
                    Some(record) => {
                        record.left &= record.promised == ballot;
                        record.promised = ballot;
                        let record = Some(record.clone());
                        Some(Word::Promised { id, ballot, life, record })
                    }
                    // To promise that nothing was written here, it has to know that.
                    None if forgot => Some(self.abstain(id, ballot, Abstains::Unknown)),
                    None => {
                        if !self.has_room(0) {
                            return Some(self.abstain(id, ballot, Abstains::Full));
                        }
                        // Nothing was written here, and nothing will be under a lower ballot.
                        let promised = Record::new(ballot, Arc::from([]), opened);
                        self.bytes += size(&promised);
                        self.records.insert(Arc::clone(&id), promised);
                        Some(Word::Promised { id, ballot, life, record: None })
                    }
                }
            }
            Order::Settled { id, outcome } => {
                if let Some(record) = self.records.get_mut(&id).filter(|record| !record.settled) {
                    let before = size(record);
                    record.outcome = Some((record.promised, outcome));
                    record.settled = true;
                    if let Some(head) = record.asked.get(..HEAD) {
                        // Nobody runs it any more; only another body is still told from it.
                        record.asked = head.into();
                    }
                    self.bytes = self.bytes - before + size(record);
                    self.settled.entry(id).or_insert(Settled { epoch: self.epoch, heard: now, age: 0 });
                }
                None
            }
            Order::Ask { id } => {
                let record = self.records.get(&id).cloned();
                let forgetful = record.is_none() && !self.remembers(now, &id);
                Some(Word::Known { id, record, forgetful })
            }
        }
    }

    fn abstain(&self, id: Id, ballot: Ballot, why: Abstains) -> Word {
        Word::Abstains { id, ballot, why, life: self.life }
    }

    /// Whether a word counts on a life that is known here to be over.
    fn outlived(&self, lives: &Lives) -> Option<Abstains> {
        let over = lives.iter().any(|(peer, life)| {
            let now = if *peer == self.me { Some(&self.life) } else { self.lives.get(peer) };
            now.is_some_and(|now| now != life && (*peer == self.me || now > life))
        });
        over.then_some(Abstains::Outlived)
    }

    /// Takes what is written under the ballot that is promised.
    fn write(&mut self, id: Id, ballot: Ballot, written: &Written, version: u32) -> Word {
        if let Some(record) = self.records.get_mut(&id) {
            let before = size(record);
            record.intents.extend(&written.intents);
            record.voids.extend(&written.voids);
            record.left |= written.left;
            if let (Some(outcome), false) = (&written.outcome, record.settled) {
                record.outcome = Some((ballot, Arc::clone(outcome)));
            }
            self.bytes = self.bytes - before + size(record);
        }
        Word::Done { id, ballot, version, life: self.life }
    }

    /// Whether an id that was opened then, and of which nothing is here, may have been here.
    fn may_have_forgotten(&self, opened: &Opened) -> bool {
        let epoch = opened.epochs.get(&self.me);
        opened.lives.get(&self.me) != Some(&self.life) || epoch.is_none_or(|epoch| epoch + 1 < self.epoch)
    }

    /// Whether another id fits. What has not ended is never forgotten, and what ended is kept for as long as it
    /// may be asked for again.
    fn has_room(&self, bytes: usize) -> bool {
        self.records.len() < self.bounds.records && self.bytes + bytes <= self.bounds.bytes
    }

    /// Ends an epoch if it has lasted for the longest life of an id, and forgets what ended three epochs ago.
    /// `true` if the others are to be told of the new one.
    pub fn tidy(&mut self, now: Micros) -> bool {
        if now.saturating_sub(self.since) < self.bounds.life {
            return false;
        }
        (self.epoch, self.since) = (self.epoch + 1, now);
        let old = |(_, settled): &(&Id, &Settled)| settled.epoch + 3 <= self.epoch;
        let old: Vec<Id> = self.settled.iter().filter(old).map(|(id, _)| Arc::clone(id)).collect();
        for id in old {
            self.settled.remove(&id);
            self.forget(&id);
        }
        true
    }

    /// The present epoch.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    fn forget(&mut self, id: &Id) {
        let Some(record) = self.records.remove(id) else { return };
        self.bytes -= size(&record);
    }
}

/// The first bytes of what was asked tell one body from another.
pub(crate) const HEAD: usize = 8;
/// What a record counts for in memory beside its bytes.
const A_RECORD: usize = 256;

fn size(record: &Record) -> usize {
    let outcome = record.outcome.as_ref().map_or(0, |(_, outcome)| outcome.len());
    A_RECORD + record.asked.len() + outcome + 16 * (record.intents.len() + record.voids.len())
}

/// How far a claim to act for an id has come.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Standing {
    /// A majority of promises is waited for.
    Asking,
    /// It acts.
    Acting,
    /// Another has a higher ballot: it does nothing new, for good.
    Fenced,
}

/// One process that acts for one id, or wants to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Actor {
    id: Id,
    ballot: Ballot,
    keepers: Vec<PeerId>,
    standing: Standing,
    /// What was asked: one's own, or what a keeper held.
    asked: Arc<[u8]>,
    /// It opened the id, or it takes over.
    opens: bool,
    /// When the id was opened; that never changes, however long it takes.
    opened: Opened,
    /// Keepers that promised this ballot, and in which life: only these count.
    lives: Lives,
    /// Attempts of earlier ballots that may have run.
    inherited: BTreeSet<Mark>,
    /// An outcome of an earlier ballot that may have been told.
    found: Option<(Ballot, Arc<[u8]>)>,
    written: Written,
    version: u32,
    /// The version with which each attempt was written, and the outcome.
    marks: BTreeMap<Mark, u32>,
    outcome_at: Option<u32>,
    /// An outcome that waits for the opening to be taken.
    pending: Option<Arc<[u8]>>,
    /// The latest version that each keeper has.
    acks: BTreeMap<PeerId, u32>,
    /// Keepers that gave no word; they may later.
    abstained: BTreeSet<PeerId>,
}

impl Actor {
    /// Who was asked by a client, with the lives that its keepers are believed to be in. It acts from the
    /// start, as far as keepers take its opening.
    #[must_use]
    pub fn open(id: Id, ballot: Ballot, keepers: Vec<PeerId>, opened: Opened, asked: Arc<[u8]>) -> Self {
        let mut actor = Self::new(id, ballot, keepers, asked);
        (actor.standing, actor.opens) = (Standing::Acting, true);
        (actor.lives, actor.opened) = (opened.lives.clone(), opened);
        actor
    }

    /// Who takes over: it may do nothing before a majority has promised.
    #[must_use]
    pub fn take(id: Id, ballot: Ballot, keepers: Vec<PeerId>, opened: Opened) -> Self {
        Self { opened, ..Self::new(id, ballot, keepers, Arc::from([])) }
    }

    /// When the id was opened.
    #[must_use]
    pub fn opened(&self) -> &Opened {
        &self.opened
    }

    fn new(id: Id, ballot: Ballot, keepers: Vec<PeerId>, asked: Arc<[u8]>) -> Self {
        Self {
            id,
            ballot,
            keepers,
            standing: Standing::Asking,
            asked,
            opens: false,
            opened: Opened::default(),
            lives: Lives::new(),
            inherited: BTreeSet::new(),
            found: None,
            written: Written::default(),
            version: 0,
            marks: BTreeMap::new(),
            outcome_at: None,
            pending: None,
            acks: BTreeMap::new(),
            abstained: BTreeSet::new(),
        }
    }

    /// How far it has come.
    #[must_use]
    pub fn standing(&self) -> &Standing {
        &self.standing
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
    pub fn asked(&self) -> &Arc<[u8]> {
        &self.asked
    }

    /// Whether an attempt of a part of an earlier ballot may have run.
    #[must_use]
    pub fn may_have_run(&self, part: u32) -> bool {
        self.inherited.iter().any(|mark| mark.part == part)
    }

    /// Whether any attempt of an earlier ballot may have run.
    #[must_use]
    pub fn any_may_have_run(&self) -> bool {
        !self.inherited.is_empty()
    }

    /// The keepers that have not promised, or taken all that is written; orders to them may be sent again.
    #[must_use]
    pub fn missing(&self) -> Vec<PeerId> {
        let lacks = |peer: &&PeerId| match self.standing {
            Standing::Asking => !self.lives.contains_key(peer),
            Standing::Acting => self.acks.get(peer).is_none_or(|version| *version < self.version),
            Standing::Fenced => false,
        };
        self.keepers.iter().filter(lacks).copied().collect()
    }

    /// What a keeper is to be told now.
    #[must_use]
    pub fn order(&self, keeper: PeerId) -> Option<Order> {
        let (id, ballot, version) = (Arc::clone(&self.id), self.ballot, self.version);
        let (lives, written, opened) = (self.lives.clone(), self.written.clone(), self.opened.clone());
        match (&self.standing, self.opens) {
            (Standing::Fenced, _) => None,
            (Standing::Asking, _) => Some(Order::Take { id, ballot, opened }),
            (Standing::Acting, true) => {
                let (asked, epochs) = (Arc::clone(&self.asked), self.opened.epochs.clone());
                Some(Order::Open { id, ballot, lives, epochs, asked, written, version })
            }
            // One that has not promised is asked to first: what it holds has to be known.
            (Standing::Acting, false) if !self.lives.contains_key(&keeper) => {
                Some(Order::Take { id, ballot, opened })
            }
            (Standing::Acting, false) => Some(Order::Write { id, ballot, lives, written, version }),
        }
    }

    /// Writes that an attempt is about to be sent. It may be once [`Actor::granted`] says so. `None` where it
    /// may never be: an attempt of an earlier ballot at the same part may have run, the query has ended, or
    /// this process does not act for it.
    pub fn intend(&mut self, part: u32, attempt: u32) -> Option<Mark> {
        let over = self.outcome_at.is_some() || self.found.is_some();
        if self.standing != Standing::Acting || over || self.may_have_run(part) {
            return None;
        }
        let mark = Mark { part, attempt, ballot: self.ballot };
        if self.written.intents.insert(mark) {
            self.version += 1;
            self.marks.insert(mark, self.version);
        }
        Some(mark)
    }

    /// Writes that an attempt never ran.
    pub fn void(&mut self, mark: Mark) {
        if self.standing == Standing::Acting && self.written.intents.contains(&mark) {
            // A fact that nobody waits for: it goes along with what is written next.
            self.written.voids.insert(mark);
        }
    }

    /// Attempts of this process's own earlier ballots that were never sent.
    pub fn know_void(&mut self, marks: impl IntoIterator<Item = Mark>) {
        self.written.voids.extend(marks);
    }

    /// What a fenced actor has to say to the keepers that took what it wrote: it does nothing more, and what
    /// never had leave never ran. `unsent` are attempts that were written and not sent.
    pub fn leave(&mut self, unsent: impl IntoIterator<Item = Mark>) -> Vec<(PeerId, Order)> {
        self.written.voids.extend(unsent);
        self.written.left = true;
        let order = |keeper: &PeerId| {
            let (id, ballot, version) = (Arc::clone(&self.id), self.ballot, self.version + 1);
            let (lives, written) = (Lives::new(), self.written.clone());
            (*keeper, Order::Write { id, ballot, lives, written, version })
        };
        self.keepers.iter().map(order).collect()
    }

    /// Writes how it ended. Where an earlier ballot's outcome was found, that one is written instead: it may
    /// have been told.
    ///
    /// Whoever opened the id writes no outcome before a majority took the opening: several may open one id at
    /// once without asking first, a majority takes the opening of one of them at the most, and so no two
    /// outcomes of the lowest round can stand beside each other.
    pub fn settle(&mut self, outcome: Arc<[u8]>) {
        if self.standing != Standing::Acting || self.outcome_at.is_some() {
            return;
        }
        if self.opens && 2 * self.acks.len() <= self.keepers.len() {
            self.pending = Some(outcome);
        } else {
            let outcome = self.found.take().map_or(outcome, |(_, found)| found);
            self.written.outcome = Some(outcome);
            self.version += 1;
            self.outcome_at = Some(self.version);
        }
    }

    /// An outcome of an earlier ballot that has to be settled in the place of any other.
    #[must_use]
    pub fn found(&self) -> Option<&Arc<[u8]>> {
        self.found.as_ref().map(|(_, outcome)| outcome)
    }

    fn with_majority(&self, version: u32) -> bool {
        let has = |peer: &&PeerId| self.acks.get(peer).is_some_and(|held| *held >= version);
        let count = self.keepers.iter().filter(has).count();
        self.standing == Standing::Acting && 2 * count > self.keepers.len()
    }

    /// Whether an attempt may be sent.
    #[must_use]
    pub fn granted(&self, mark: Mark) -> bool {
        self.marks.get(&mark).is_some_and(|version| self.with_majority(*version))
    }

    /// The outcome, once it may be told.
    #[must_use]
    pub fn settled(&self) -> Option<&Arc<[u8]>> {
        self.outcome_at.filter(|version| self.with_majority(*version))?;
        self.written.outcome.as_ref()
    }

    /// Whether so many keepers gave no word that there may be no majority for now.
    #[must_use]
    pub fn is_stuck(&self) -> bool {
        2 * (self.keepers.len() - self.abstained.len()) <= self.keepers.len()
    }

    /// Whether a keeper is known to hold what was written.
    #[must_use]
    pub fn is_held(&self) -> bool {
        !self.acks.is_empty()
    }

    /// Whether this keeper is known to hold something of what was written.
    #[must_use]
    pub fn has_taken(&self, keeper: PeerId) -> bool {
        self.acks.contains_key(&keeper)
    }

    /// A keeper's word has come. What it says of others' doing is given back for who has to wait for that.
    pub fn word(&mut self, from: PeerId, word: Word) -> Option<Record> {
        if !self.keepers.contains(&from) || self.standing == Standing::Fenced {
            return None;
        }
        match word {
            Word::Done { ballot, version, life, .. } if ballot == self.ballot => {
                // Only a keeper in the life that was counted on: another life may have forgotten.
                if self.lives.get(&from) == Some(&life) {
                    let held = self.acks.entry(from).or_insert(0);
                    *held = (*held).max(version);
                    self.abstained.remove(&from);
                    if let Some(outcome) = self.pending.take() {
                        self.settle(outcome);
                    }
                }
                None
            }
            Word::Promised { ballot, life, record, .. } if ballot == self.ballot && !self.opens => {
                self.promised(from, life, record);
                None
            }
            Word::Held { refused, record, .. } if refused == self.ballot => {
                self.standing = Standing::Fenced;
                Some(record)
            }
            Word::Abstains { ballot, .. } if ballot == self.ballot => {
                self.abstained.insert(from);
                None
            }
            _ => None,
        }
    }

    fn promised(&mut self, from: PeerId, life: Incarnation, record: Option<Record>) {
        // A second promise by a later life counts for nothing: what was written counts on the first one.
        if self.lives.contains_key(&from) {
            return;
        }
        self.lives.insert(from, life);
        self.abstained.remove(&from);
        // Once a majority has promised, that is what counts: what only a later one holds never had leave and was
        // never told, and an outcome found after an attempt was sent would say what is not so.
        if let Some(record) = record.filter(|_| self.standing == Standing::Asking) {
            if self.asked.is_empty() {
                self.asked = record.asked;
            }
            let earlier = record.intents.iter().filter(|mark| mark.ballot != self.ballot);
            self.inherited.extend(earlier);
            self.written.voids.extend(&record.voids);
            // A fact that one keeper knows counts for all.
            let void = &self.written.voids;
            self.inherited.retain(|mark| !void.contains(mark));
            self.found = self.found.take().max(record.outcome);
        }
        let majority = 2 * self.lives.len() > self.keepers.len() || planted::is(Bug::AdoptWithoutAMajority);
        if majority && self.standing == Standing::Asking {
            self.standing = Standing::Acting;
            self.written.intents.extend(&self.inherited);
            self.version += 1;
        }
    }
}
