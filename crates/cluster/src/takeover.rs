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
    keepers, Abstains, Actor, Ballot, Bounds, Epochs, Id, Keeper, Lives, Mark, Meeting, Opened, Order,
    Record, Standing, Word, HEAD,
};
use crate::{Incarnation, Micros, PeerId};

/// Between processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Note {
    /// To a keeper.
    Order(Order),
    /// From a keeper.
    Word(Word),
    /// A keeper that has started says in which life it is, and asks for what is held after this id.
    Meet(Incarnation, Option<Id>),
    /// What another holds of ids that both keep.
    Meeting(Meeting),
    /// A keeper's epoch, in this life of it.
    Epoch(Incarnation, u64),
}

impl Note {
    /// Whether somebody gets on with what he does only once it has come. That an id is settled, or an epoch is over,
    /// lets others forget, and what asks for it meanwhile is told all the same.
    #[must_use]
    pub fn is_waited_for(&self) -> bool {
        !matches!(self, Self::Order(Order::Settled { .. }) | Self::Epoch(..))
    }
}

/// How an id ended, the same for whoever asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// With this answer.
    Said(Arc<[u8]>),
    /// Its gatherer was lost while a part of it may have run.
    MayHaveRun,
    /// No part of it ran.
    NeverRan,
}

impl Ended {
    /// As records hold it.
    #[must_use]
    pub fn write(&self) -> Arc<[u8]> {
        match self {
            Self::Said(words) => [&[0], &words[..]].concat().into(),
            Self::MayHaveRun => [1].into(),
            Self::NeverRan => [2].into(),
        }
    }

    /// As a record holds it. What cannot be read may have run.
    #[must_use]
    pub fn read(bytes: &[u8]) -> Self {
        match bytes.split_first() {
            Some((0, words)) => Self::Said(words.into()),
            Some((2, [])) => Self::NeverRan,
            _ => Self::MayHaveRun,
        }
    }
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wish {
    /// To be sent to a peer.
    Tell(PeerId, Box<Note>),
    /// An attempt has leave to be sent, or never will have.
    Leave {
        /// The id.
        id: Id,
        /// The part.
        part: u32,
        /// The attempt.
        attempt: u32,
        /// Whether it may be sent.
        given: bool,
    },
    /// How an id ended: to be told to whoever waits for it here.
    Ended(Id, Ended),
    /// Another process acts for this id: nothing more is done for it here, and how it ends is told once known.
    Elsewhere(Id),
    /// The same id was asked with another body.
    Another(Id),
    /// To be run here, for nothing of it can have run: what was asked, and so long ago.
    Adopt(Id, Arc<[u8]>, Micros),
    /// No majority of its keepers is within reach, and the time that this may take is over.
    Unsure {
        /// The id.
        id: Id,
        /// Nothing of it ran, and nothing will: it may be told that it was refused.
        untouched: bool,
    },
}

/// What a client here asked under an id.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The id.
    pub id: &'a Id,
    /// What was asked, by which another could run it; begins with eight bytes that tell one body from another.
    pub asked: &'a Arc<[u8]>,
    /// When nobody waits for the id any more.
    pub until: Micros,
    /// Its client said that this is its first try, so that nobody else can have been asked.
    pub first: bool,
}

/// What is being done for an id at a desk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stands {
    /// Nothing.
    Unknown,
    /// It is run by this process: for a client of its own, or taken over.
    Runs,
    /// It is being taken over, or its end is waited for; nothing may be run for it.
    Awaited,
}

/// What a desk follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Setup {
    /// This process's place in the list.
    pub me: PeerId,
    /// How many are in the list.
    pub peers: usize,
    /// How many keepers an id has.
    pub group: usize,
    /// What it holds as a keeper; `life` is how long an id may be asked again.
    pub bounds: Bounds,
}

/// What no word came on is said again after this wait, and then after twice as long each time: where keepers are
/// away or full for long, hundreds of ids must not fill all links with what nobody can answer.
const AGAIN: Micros = 30_000;
/// How often that wait doubles.
const DOUBLINGS: u32 = 4;
/// Leave for a first attempt that a majority has not given by then is not waited for.
const LEAVE: Micros = 200_000;
/// Each keeper tries so much later than the one before it.
const STEP: Micros = 60_000;
/// How long it is until a keeper is asked again what it holds, while an id is waited for; then twice as long, up to
/// 64 times: who was asked tells the end when it comes, and what is asked again is for words that were lost. (At
/// 20 ms each time, a hundred clients that asked again took all that links carry.)
const POLL: Micros = 20_000;
const POLL_DOUBLINGS: u32 = 6;
/// Keepers that have started ask again whom they have not heard whole, and old records are looked for.
const ROUND: Micros = 250_000;
/// Ids that are being taken over at a time; the others wait, the oldest first.
const BURST: usize = 32;

/// What this process does for one id.
#[derive(Debug)]
struct Work {
    actor: Option<Actor>,
    asked: Arc<[u8]>,
    /// Somebody here waits for how it ends.
    here: bool,
    /// What was asked was handed out to be run, or is being run for a client here.
    runs: bool,
    /// A client here asked it for the first time.
    first: bool,
    /// An attempt had leave under this process's ballots.
    sent: bool,
    /// An attempt was written and taken back: whoever takes over may run it.
    voided: bool,
    /// Attempts that wait for leave, since when.
    wants: Vec<(u32, u32, Mark, Micros)>,
    ended: Option<Ended>,
    until: Micros,
    /// It is refused here, and whether a majority takes that has to be known by then.
    soon: Option<Micros>,
    again: Micros,
    /// The version that keepers were told last.
    said: u32,
    /// How often in a row it was told for want of words.
    tries: u32,
}

impl Work {
    /// One that nobody here waits for, and of which nothing was done yet.
    fn new(now: Micros, actor: Actor, asked: Arc<[u8]>, until: Micros) -> Self {
        Self {
            actor: Some(actor),
            asked,
            here: false,
            runs: false,
            first: false,
            sent: false,
            voided: false,
            wants: Vec::new(),
            ended: None,
            until,
            soon: None,
            again: now,
            said: 0,
            tries: 0,
        }
    }

    /// When there is no more use in it. What another acts for is waited for as long as its client has time.
    fn end(&self) -> Micros {
        let soon = self.soon.filter(|_| self.actor.is_some());
        soon.map_or(self.until, |soon| soon.min(self.until))
    }

    /// When it is to be looked at next.
    fn due(&self) -> Micros {
        let leave = self.wants.iter().map(|(.., since)| since + LEAVE);
        leave.chain([self.again, self.end()]).min().unwrap_or(self.again)
    }

    /// Whether its client may be told that nothing ran, though no majority was told so: nobody else was asked
    /// before, nothing was sent, and whatever was written of it is not taken back anywhere, so that who takes
    /// over finds either nothing to run, or what may have run.
    fn is_untouched(&self) -> bool {
        self.first && !self.sent && !self.voided && self.actor.is_some()
    }
}

/// All that is done for ids here. Whatever is looked at for a change is put on the agenda anew before the next look
/// at that: hundreds of ids wait while keepers are away, and a look at all of them with each message that comes
/// makes a busy process slower the more of them wait, until it does nothing else.
#[derive(Debug, Default)]
struct Works {
    all: BTreeMap<Id, Work>,
    agenda: Agenda,
    touched: BTreeSet<Id>,
}

impl Works {
    fn get(&self, id: &str) -> Option<&Work> {
        self.all.get(id)
    }

    fn get_mut(&mut self, id: &Id) -> Option<&mut Work> {
        let work = self.all.get_mut(id)?;
        self.touched.insert(Arc::clone(id));
        Some(work)
    }

    fn insert(&mut self, id: &Id, work: Work) {
        self.all.insert(Arc::clone(id), work);
        self.touched.insert(Arc::clone(id));
    }

    fn remove(&mut self, id: &Id) {
        self.all.remove(id);
        self.agenda.remove(id);
        self.touched.remove(id);
    }

    /// Puts on the agenda what was changed.
    fn plan(&mut self) {
        for id in std::mem::take(&mut self.touched) {
            self.agenda.set(&id, self.all.get(&id).map(Work::due));
        }
    }

    fn due(&self) -> Option<Micros> {
        let touched = self.touched.iter().filter_map(|id| Some(self.all.get(id)?.due()));
        touched.chain(self.agenda.first()).min()
    }

    /// Those whose time has come; each has to be looked at for a change.
    fn take(&mut self, now: Micros) -> Vec<Id> {
        self.plan();
        self.agenda.take(now)
    }

    /// Whether so many are being run that were taken over.
    fn is_full(&self, most: usize) -> bool {
        let taken = self.all.values().filter(|work| work.runs && !work.here);
        taken.take(most).count() == most
    }
}

/// One process's part in all ids.
#[derive(Debug)]
pub struct Desk {
    setup: Setup,
    keeper: Option<Keeper>,
    /// The present lives of those that have been linked.
    lives: Lives,
    /// And their epochs.
    epochs: Epochs,
    away: BTreeSet<PeerId>,
    works: Works,
    /// Ids that this keeper may take over, with when they came to it.
    watched: BTreeMap<Id, Micros>,
    /// When it tries for them.
    tries: Agenda,
    /// Peers that wait for the end of an id that is kept here: they hear of it at once, and need not ask often.
    curious: BTreeMap<Id, BTreeSet<PeerId>>,
    /// Ids that nobody acts for as far as these keepers know.
    asking: BTreeMap<Id, BTreeSet<PeerId>>,
    turn: u64,
    round: Micros,
    wishes: Vec<Wish>,
}

impl Desk {
    /// A desk that knows nobody; until a first link there are no keepers within reach.
    #[must_use]
    pub fn new(setup: Setup) -> Self {
        Self {
            setup,
            keeper: None,
            lives: Lives::new(),
            epochs: Epochs::new(),
            away: BTreeSet::new(),
            works: Works::default(),
            watched: BTreeMap::new(),
            tries: Agenda::default(),
            curious: BTreeMap::new(),
            asking: BTreeMap::new(),
            turn: 0,
            round: 0,
            wishes: Vec::new(),
        }
    }

    /// What is to be done since the last call.
    pub fn wishes(&mut self) -> Vec<Wish> {
        self.works.plan();
        std::mem::take(&mut self.wishes)
    }

    /// Ids that something is done for here, and records kept with their bytes.
    #[must_use]
    pub fn load(&self) -> (usize, usize, usize) {
        let (records, bytes) = self.keeper.as_ref().map_or((0, 0), Keeper::holds);
        (self.works.all.len(), records, bytes)
    }

    /// What is being done for an id here.
    #[must_use]
    pub fn stands(&self, id: &str) -> Stands {
        match self.works.get(id) {
            None => Stands::Unknown,
            Some(work) if work.runs && work.actor.is_some() && work.ended.is_none() => Stands::Runs,
            Some(_) => Stands::Awaited,
        }
    }

    /// A ballot that nobody ever had.
    fn ballot(&mut self, round: u32) -> Ballot {
        self.turn += 1;
        Ballot { round, by: self.setup.me, life: self.life(), turn: self.turn }
    }

    fn life(&self) -> Incarnation {
        self.keeper.as_ref().map(Keeper::life).unwrap_or_default()
    }

    /// A link is up: to whom, in which life, and in which life this process is itself.
    pub fn linked(&mut self, now: Micros, peer: PeerId, life: Incarnation, own: Incarnation) {
        if self.keeper.is_none() {
            let Setup { me, peers, group, bounds } = self.setup;
            self.keeper = Some(Keeper::new(now, me, own, peers, group, bounds));
            self.lives.insert(me, own);
            self.epochs.insert(me, 0);
        }
        let before = self.lives.insert(peer, life);
        if before != Some(life) {
            // Known again once it says so.
            self.epochs.remove(&peer);
        }
        self.away.remove(&peer);
        let unmet = self.keeper.as_ref().map(Keeper::unmet).unwrap_or_default();
        let unmet = unmet.into_iter().find(|(unmet, _)| *unmet == peer);
        if unmet.is_some() || before != Some(life) {
            // Also one that was met: in a new life it knows no longer in which one this process is.
            let after = unmet.and_then(|(_, after)| after);
            self.wishes.push(Wish::Tell(peer, Box::new(Note::Meet(self.life(), after))));
        }
        if before.is_some_and(|before| before != life) {
            self.look(now, peer);
        }
    }

    /// This process goes on under another life of its name: what it was allowed, it no longer is.
    pub fn reborn(&mut self, now: Micros, own: Incarnation) {
        let Setup { me, peers, group, bounds } = self.setup;
        self.keeper = Some(Keeper::new(now, me, own, peers, group, bounds));
        self.lives.insert(me, own);
        self.epochs.insert(me, 0);
        self.watched.clear();
        self.tries = Agenda::default();
        self.curious.clear();
        self.asking.clear();
        for (id, work) in std::mem::take(&mut self.works).all {
            let untouched = work.is_untouched();
            self.deny(&id, work.wants);
            self.wishes.push(Wish::Unsure { id, untouched });
        }
    }

    /// Whether a peer is held to be away: advice.
    pub fn held(&mut self, now: Micros, peer: PeerId, away: bool) {
        let news = if away { self.away.insert(peer) } else { self.away.remove(&peer) };
        if news && away {
            self.look(now, peer);
        }
    }

    /// Looks for ids that a peer acted for, in a life that is over or while it is away.
    fn look(&mut self, now: Micros, peer: PeerId) {
        let Some(keeper) = &self.keeper else { return };
        let its = keeper.open().filter(|(_, record)| record.promised.by == peer);
        let due: Vec<Id> =
            its.filter(|(_, record)| self.is_away(record)).map(|(id, _)| Arc::clone(id)).collect();
        for id in due {
            let at = now + self.rank(&id) * STEP;
            self.tries.set(&id, Some(at));
            self.watched.entry(id).or_insert(now);
        }
    }

    fn is_away(&self, record: &Record) -> bool {
        let Ballot { by, life, .. } = record.promised;
        let other = self.lives.get(&by).is_some_and(|now| *now != life);
        other || (by != self.setup.me && self.away.contains(&by))
    }

    /// How many keepers of an id that are held to be there come before this one.
    fn rank(&self, id: &str) -> Micros {
        let all = keepers(id, self.setup.peers, self.setup.group);
        let before = all.iter().take_while(|peer| **peer != self.setup.me);
        before.filter(|peer| !self.away.contains(peer)).count() as Micros
    }

    fn tell(&mut self, now: Micros, to: PeerId, note: Note) {
        if to == self.setup.me {
            self.note(now, to, note);
        } else {
            self.wishes.push(Wish::Tell(to, Box::new(note)));
        }
    }

    /// A peer, or this process itself, says something.
    pub fn note(&mut self, now: Micros, from: PeerId, note: Note) {
        match note {
            Note::Order(order) => {
                let id = Arc::clone(order.id());
                let asked = matches!(order, Order::Ask { .. });
                let Some(keeper) = &mut self.keeper else { return };
                let word = keeper.order(now, order);
                let left = match keeper.record(&id) {
                    Some(record) if !record.settled => {
                        if asked && from != self.setup.me {
                            self.curious.entry(Arc::clone(&id)).or_default().insert(from);
                        }
                        self.watched.entry(Arc::clone(&id)).or_insert(now);
                        record.left
                    }
                    record => {
                        let ended = record.cloned();
                        let curious = self.curious.remove(&id).filter(|_| ended.is_some());
                        let (curious, forgetful) = (curious.into_iter().flatten(), false);
                        for to in curious.filter(|to| *to != from) {
                            let known = Word::Known { id: Arc::clone(&id), record: ended.clone(), forgetful };
                            self.wishes.push(Wish::Tell(to, Box::new(Note::Word(known))));
                        }
                        self.unwatch(&id);
                        false
                    }
                };
                if left && !asked {
                    let at = self.tries.at(&id).unwrap_or(now + self.rank(&id) * STEP);
                    self.tries.set(&id, Some(at));
                }
                word.into_iter().for_each(|word| self.tell(now, from, Note::Word(word)));
            }
            Note::Word(word) => self.word(now, from, word),
            Note::Meet(life, after) => {
                let Some(keeper) = &mut self.keeper else { return };
                let meeting = keeper.meet(now, from, life, after);
                self.tell(now, from, Note::Meeting(meeting));
            }
            Note::Epoch(life, epoch) => self.epoch(from, life, epoch),
            Note::Meeting(meeting) => {
                self.epoch(meeting.from, meeting.life, meeting.epoch);
                let Some(keeper) = &mut self.keeper else { return };
                let (life, next) = (keeper.life(), keeper.met(now, meeting));
                for (id, _) in keeper.open() {
                    self.watched.entry(Arc::clone(id)).or_insert(now);
                }
                next.into_iter().for_each(|next| self.tell(now, from, Note::Meet(life, Some(next))));
            }
        }
    }

    fn epoch(&mut self, peer: PeerId, life: Incarnation, epoch: u64) {
        if self.lives.get(&peer) == Some(&life) {
            let known = self.epochs.entry(peer).or_insert(epoch);
            *known = (*known).max(epoch);
        }
    }

    fn word(&mut self, now: Micros, from: PeerId, word: Word) {
        let id = match &word {
            Word::Done { id, .. }
            | Word::Promised { id, .. }
            | Word::Held { id, .. }
            | Word::Abstains { id, .. }
            | Word::Known { id, .. } => Arc::clone(id),
        };
        if let Word::Known { record, .. } = word {
            return self.known(now, from, &id, record);
        }
        let Some(work) = self.works.get_mut(&id) else { return };
        let outlived = matches!(word, Word::Abstains { why: Abstains::Outlived, .. });
        let Some(actor) = &mut work.actor else { return };
        if let Some(record) = actor.word(from, word) {
            let wants = std::mem::take(&mut work.wants);
            let leaving = actor.leave(wants.iter().map(|(.., mark, _)| *mark));
            work.actor = None;
            (work.again, work.tries) = (now + POLL, 0);
            let (here, asked) = (work.here, Arc::clone(&work.asked));
            if planted::is(Bug::SendAfterTheFence) {
                for &(part, attempt, ..) in &wants {
                    self.wishes.push(Wish::Leave { id: Arc::clone(&id), part, attempt, given: true });
                }
            }
            self.deny(&id, wants);
            for (to, order) in leaving {
                self.tell(now, to, Note::Order(order));
            }
            if !here {
                // Whoever fenced it ends it.
                self.works.remove(&id);
            } else if !asked.is_empty() && !record.asked.is_empty() && head(&asked) != head(&record.asked) {
                self.works.remove(&id);
                self.wishes.push(Wish::Another(id));
            } else {
                self.wishes.push(Wish::Elsewhere(Arc::clone(&id)));
                self.elsewhere(now, &id, &record);
            }
            return;
        }
        let stuck = actor.is_stuck();
        if outlived && stuck {
            return self.again(now, &id);
        }
        // Told twice, most keepers gave no word each time: it is given up, and its client hears so at once.
        if stuck && work.tries > 0 && !work.wants.is_empty() {
            return self.give_up(now, &id);
        }
        self.advance(now, &id);
    }

    /// No leave is waited for any more.
    fn give_up(&mut self, now: Micros, id: &Id) {
        let Some(work) = self.works.get_mut(id) else { return };
        // The intents stay written where they were: whoever takes over takes them for what may have run.
        let wants = std::mem::take(&mut work.wants);
        let untouched = work.is_untouched();
        let unheld = work.actor.as_ref().is_some_and(|actor| !actor.is_held());
        // It is recorded all the same once a majority can be reached. Of what no keeper took there is nothing to
        // record; hundreds of such ids, told again and again while all keepers have just started, took five times
        // the work of those that are served, and a busy machine did nothing else.
        work.ended.get_or_insert(if work.sent { Ended::MayHaveRun } else { Ended::NeverRan });
        if untouched && unheld {
            self.works.remove(id);
        }
        self.deny(id, wants);
        self.wishes.push(Wish::Unsure { id: Arc::clone(id), untouched });
        self.advance(now, id);
    }

    /// What another keeper holds of an id that is waited for here, or that nobody seems to act for.
    fn known(&mut self, now: Micros, from: PeerId, id: &Id, record: Option<Record>) {
        let waits = self.works.get(id).is_some_and(|work| work.actor.is_none());
        if let (true, Some(record)) = (waits, &record) {
            self.elsewhere(now, id, record);
        }
        let free = record.is_none_or(|record| record.left || self.is_away(&record));
        let Some(asking) = self.asking.get_mut(id) else { return };
        if free {
            asking.insert(from);
            if 2 * asking.len() > self.setup.group {
                self.asking.remove(id);
                self.take(now, id);
            }
        } else {
            // One that has a majority, perhaps. It is looked at again in a while.
            self.asking.remove(id);
            if self.watched.contains_key(id) {
                self.tries.set(id, Some(now + 2 * STEP));
            }
        }
    }

    /// A keeper that was counted on has started again: the ballot is of no more use, and a higher one is asked for.
    fn again(&mut self, now: Micros, id: &Id) {
        let held = self.works.get(id).and_then(|work| work.actor.as_ref());
        let Some((held, opened)) = held.map(|actor| (actor.ballot(), actor.opened().clone())) else { return };
        let ballot = self.ballot(held.round + 1);
        let Some(work) = self.works.get_mut(id) else { return };
        let keepers = keepers(id, self.setup.peers, self.setup.group);
        let mut actor = Actor::take(Arc::clone(id), ballot, keepers, opened);
        let wants = std::mem::take(&mut work.wants);
        // What waited for leave was not sent, and is not: the attempts that come in its place may run.
        actor.know_void(wants.iter().map(|(.., mark, _)| *mark));
        work.voided |= !wants.is_empty();
        work.actor = Some(actor);
        self.deny(id, wants);
        self.say(now, id);
    }

    /// What another's record says of an id that is waited for here.
    fn elsewhere(&mut self, now: Micros, id: &Id, record: &Record) {
        if let (true, Some((_, outcome))) = (record.settled, &record.outcome) {
            self.works.remove(id);
            self.wishes.push(Wish::Ended(Arc::clone(id), Ended::read(outcome)));
            // Whatever else is held of it, here or where this process opened it in vain, is over with that.
            for to in keepers(id, self.setup.peers, self.setup.group) {
                let order = Order::Settled { id: Arc::clone(id), outcome: Arc::clone(outcome) };
                self.tell(now, to, Note::Order(order));
            }
        }
    }

    fn deny(&mut self, id: &Id, wants: Vec<(u32, u32, Mark, Micros)>) {
        for (part, attempt, ..) in wants {
            self.wishes.push(Wish::Leave { id: Arc::clone(id), part, attempt, given: false });
        }
    }

    /// Says to keepers what they have not taken yet.
    fn say(&mut self, now: Micros, id: &Id) {
        let Some(work) = self.works.get_mut(id) else { return };
        work.again = now + (AGAIN << work.tries.min(DOUBLINGS));
        let Some(actor) = &work.actor else { return };
        work.tries = if work.said == actor.version() { work.tries + 1 } else { 0 };
        work.said = actor.version();
        let mut missing = actor.missing();
        if work.tries == 0 && *actor.standing() == Standing::Acting {
            // A majority is enough, and is asked alone at first: another word would only cost both sides. Which one,
            // advice may say; whoever gave no word by the next time is asked beside all others.
            let (me, away) = (self.setup.me, &self.away);
            missing.sort_by_key(|peer| (away.contains(peer), !actor.has_taken(*peer), *peer != me));
            missing.truncate(self.setup.group / 2 + 1);
        }
        let orders: Vec<(PeerId, Order)> =
            missing.into_iter().filter_map(|to| Some((to, actor.order(to)?))).collect();
        for (to, order) in orders {
            self.tell(now, to, Note::Order(order));
        }
    }

    /// Opens an id for a client here, unless something is done for it already.
    fn open(&mut self, now: Micros, Request { id, asked, until, first }: Request) {
        if self.works.get(id).is_some() {
            return;
        }
        let ballot = self.ballot(0);
        let keepers = keepers(id, self.setup.peers, self.setup.group);
        let lives = keepers.iter().filter_map(|peer| Some((*peer, *self.lives.get(peer)?))).collect();
        let opened = Opened { lives, epochs: self.epochs.clone() };
        let actor = Actor::open(Arc::clone(id), ballot, keepers, opened, Arc::clone(asked));
        let work = Work::new(now, actor, Arc::clone(asked), until);
        let work = Work { here: true, runs: true, first, ..work };
        self.works.insert(id, work);
    }

    /// An attempt wants leave.
    pub fn want(&mut self, now: Micros, request: Request, part: u32, attempt: u32) {
        self.open(now, request);
        let id = request.id;
        let Some(work) = self.works.get_mut(id) else { return };
        // Leave that came after an end was written would make that end untrue.
        let actor = work.actor.as_mut().filter(|_| work.ended.is_none());
        let mark = actor.and_then(|actor| actor.intend(part, attempt));
        match mark {
            Some(mark) => {
                work.wants.push((part, attempt, mark, now));
                self.say(now, id);
                self.advance(now, id);
            }
            None => self.wishes.push(Wish::Leave { id: Arc::clone(id), part, attempt, given: false }),
        }
    }

    /// What was asked again is refused here, and nothing was sent for it. Its client may be told that nothing ran
    /// only once nobody else can run it: that it never ran is written as its outcome, or the one that another
    /// came to is told in its place. Without a majority nothing is known, and that is said soon.
    pub fn refuse(&mut self, now: Micros, request: Request) {
        self.open(now, request);
        let Some(work) = self.works.get_mut(request.id) else { return };
        work.soon.get_or_insert(now + LEAVE);
        work.ended.get_or_insert(Ended::NeverRan);
        self.say(now, request.id);
        self.advance(now, request.id);
    }

    /// Somebody here asks for an id that something is done for here already, and waits as well; `false` if
    /// nothing is.
    pub fn wait(&mut self, id: &str, until: Micros) -> bool {
        let Some(work) = self.works.get_mut(&Arc::from(id)) else { return false };
        (work.here, work.until) = (true, work.until.max(until));
        true
    }

    /// An attempt that had leave never ran, or will not be sent.
    pub fn void(&mut self, id: &str, part: u32, attempt: u32) {
        let Some(work) = self.works.get_mut(&Arc::from(id)) else { return };
        work.voided = true;
        work.wants.retain(|(p, a, ..)| (*p, *a) != (part, attempt));
        if let Some(actor) = &mut work.actor {
            let ballot = actor.ballot();
            actor.void(Mark { part, attempt, ballot });
        }
    }

    /// The id has ended here: it is told once that is recorded, as [`Wish::Ended`].
    pub fn finish(&mut self, now: Micros, id: &Id, ended: Ended) {
        let Some(work) = self.works.get_mut(id) else { return };
        work.wants.clear();
        if planted::is(Bug::AnswerBeforeTheRecord) && work.here {
            self.wishes.push(Wish::Ended(Arc::clone(id), ended.clone()));
        }
        work.ended = Some(ended);
        self.advance(now, id);
    }

    /// Does what the words that came allow.
    fn advance(&mut self, now: Micros, id: &Id) {
        let came = self.watched.get(id).map_or(now, |came| *came);
        let wanted = |work: &Work| !work.runs && work.actor.as_ref().is_some_and(|a| !a.asked().is_empty());
        let full = self.works.get(id).is_some_and(wanted) && self.works.is_full(BURST);
        let Some(work) = self.works.get_mut(id) else { return };
        let Some(actor) = &mut work.actor else { return };
        if *actor.standing() != Standing::Acting {
            return;
        }
        let mut given = Vec::new();
        work.wants.retain(|(part, attempt, mark, _)| {
            let granted = actor.granted(*mark) || planted::is(Bug::SkipTheIntent);
            if granted {
                given.push((*part, *attempt));
            }
            !granted
        });
        work.sent |= !given.is_empty();
        if let Some(ended) = &work.ended {
            // That nothing of it ran here says nothing of others who had leave before this ballot.
            let elsewhere = *ended == Ended::NeverRan && actor.any_may_have_run();
            actor.settle(if elsewhere { Ended::MayHaveRun.write() } else { ended.write() });
        } else if actor.found().is_some() || (!work.runs && actor.any_may_have_run()) {
            actor.settle(Ended::MayHaveRun.write());
        } else if !work.runs && actor.asked().is_empty() {
            actor.settle(Ended::NeverRan.write());
        } else if !work.runs && !full {
            work.runs = true;
            work.asked = Arc::clone(actor.asked());
            let age = now.saturating_sub(came);
            self.wishes.push(Wish::Adopt(Arc::clone(id), Arc::clone(&work.asked), age));
        }
        let settled = actor.settled().cloned();
        let more = actor.version() != work.said;
        for (part, attempt) in given {
            self.wishes.push(Wish::Leave { id: Arc::clone(id), part, attempt, given: true });
        }
        match settled {
            Some(outcome) => {
                let here = work.here;
                self.works.remove(id);
                if here {
                    self.wishes.push(Wish::Ended(Arc::clone(id), Ended::read(&outcome)));
                }
                for to in keepers(id, self.setup.peers, self.setup.group) {
                    let order = Order::Settled { id: Arc::clone(id), outcome: Arc::clone(&outcome) };
                    self.tell(now, to, Note::Order(order));
                }
            }
            None if more => self.say(now, id),
            None => {}
        }
    }

    /// Takes over an id, if it is still as it was.
    fn take(&mut self, now: Micros, id: &Id) {
        let record = self.keeper.as_ref().and_then(|keeper| keeper.record(id));
        let Some(record) = record.filter(|record| !record.settled) else {
            self.unwatch(id);
            return;
        };
        if self.works.get(id).is_some_and(|work| work.actor.is_some()) {
            return;
        }
        let (round, asked) = (record.promised.round + 1, Arc::clone(&record.asked));
        let opened = record.opened.clone();
        let ballot = self.ballot(round);
        let actor =
            Actor::take(Arc::clone(id), ballot, keepers(id, self.setup.peers, self.setup.group), opened);
        let here = self.works.get(id).is_some_and(|work| work.here);
        let work = Work { here, ..Work::new(now, actor, asked, now + self.setup.bounds.life) };
        self.works.insert(id, work);
        self.say(now, id);
    }

    /// An id has ended, or is not held here any more.
    fn unwatch(&mut self, id: &Id) {
        self.watched.remove(id);
        self.tries.remove(id);
        self.curious.remove(id);
    }

    /// When something is to be done without a message.
    #[must_use]
    pub fn due(&self) -> Option<Micros> {
        // Before a first link there is no keeper to look after; who asks all the same waits, and is told in time.
        let round = self.keeper.as_ref().map(|_| self.round + ROUND);
        [self.works.due(), self.tries.first(), round].into_iter().flatten().min()
    }

    /// Does all whose time has come.
    pub fn tick(&mut self, now: Micros) {
        if self.due().is_none_or(|due| due > now) {
            return;
        }
        for id in self.tries.take(now) {
            let record = self.keeper.as_ref().and_then(|keeper| keeper.record(&id));
            if record.is_some_and(|record| record.left && !record.settled) {
                // Who left lost to another, who may have a majority and be at work: the others are asked first.
                self.asking.insert(Arc::clone(&id), BTreeSet::new());
                // Words that are lost are asked for again.
                self.tries.set(&id, Some(now + 2 * STEP));
                for to in keepers(&id, self.setup.peers, self.setup.group) {
                    self.tell(now, to, Note::Order(Order::Ask { id: Arc::clone(&id) }));
                }
            } else {
                self.take(now, &id);
            }
        }
        for id in self.works.take(now) {
            self.work_late(now, &id);
        }
        if self.round + ROUND <= now {
            self.round = now;
            self.look_round(now);
        }
    }

    fn work_late(&mut self, now: Micros, id: &Id) {
        let Some(work) = self.works.get_mut(id) else { return };
        if work.end() <= now {
            let wants = std::mem::take(&mut work.wants);
            let (here, untouched) = (work.here, work.is_untouched());
            self.works.remove(id);
            self.deny(id, wants);
            if here {
                self.wishes.push(Wish::Unsure { id: Arc::clone(id), untouched });
            }
            return;
        }
        if work.wants.iter().any(|(.., since)| since + LEAVE <= now) {
            self.give_up(now, id);
        }
        let Some(work) = self.works.get_mut(id) else { return };
        if work.again > now {
            return;
        }
        if work.actor.is_some() {
            self.say(now, id);
            return self.advance(now, id);
        }
        work.again = now + (POLL << work.tries.min(POLL_DOUBLINGS));
        work.tries += 1;
        for to in keepers(id, self.setup.peers, self.setup.group) {
            self.tell(now, to, Note::Order(Order::Ask { id: Arc::clone(id) }));
        }
    }

    /// What is looked at now and then: whom this keeper has to hear, ids that nobody ends.
    fn look_round(&mut self, now: Micros) {
        if self.keeper.as_mut().is_some_and(|keeper| keeper.tidy(now)) {
            let (life, epoch) = (self.life(), self.keeper.as_ref().map_or(0, Keeper::epoch));
            self.epochs.insert(self.setup.me, epoch);
            let others: Vec<PeerId> = self.lives.keys().copied().filter(|p| *p != self.setup.me).collect();
            self.wishes
                .extend(others.into_iter().map(|to| Wish::Tell(to, Box::new(Note::Epoch(life, epoch)))));
        }
        let Some(keeper) = &self.keeper else { return };
        let (life, unmet) = (keeper.life(), keeper.unmet());
        let records: BTreeMap<Id, bool> =
            keeper.open().map(|(id, record)| (Arc::clone(id), record.left || self.is_away(record))).collect();
        for (to, after) in unmet {
            self.wishes.push(Wish::Tell(to, Box::new(Note::Meet(life, after))));
        }
        let over = self.watched.keys().filter(|id| !records.contains_key(*id));
        for id in over.cloned().collect::<Vec<Id>>() {
            self.unwatch(&id);
        }
        self.asking.retain(|id, _| records.contains_key(id));
        for (id, away) in records {
            let rank = self.rank(&id);
            let life = self.setup.bounds.life;
            let came = *self.watched.entry(Arc::clone(&id)).or_insert(now);
            // One whose owner is there and does not end it may be cut off from its keepers.
            let old = now.saturating_sub(came) >= life;
            if self.tries.at(&id).is_none() && (away || old) {
                self.tries.set(&id, Some(now + rank * STEP));
            }
        }
    }
}

/// What tells one body from another.
fn head(asked: &[u8]) -> &[u8] {
    &asked[..asked.len().min(HEAD)]
}
