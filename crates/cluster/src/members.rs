//! Decides who of the fixed list is held to be there: advice, which may be wrong at any time.
//!
//! The scheme is SWIM's with Lifeguard's slower doubt, over links that exist anyway. Each member asks one other
//! in turn whether it is there, and where no answer comes, asks it through others. Who is reached by nobody is
//! *doubted*, which everybody hears, the doubted one too: it refutes by a higher round. A doubt that stands is
//! *gone* after a while, sooner the more members came to it by themselves. Evidence is graded: a broken link is
//! a sign to look at once and to ask others at once, never a proof.
//!
//! What is known of a member is a [`Claim`]. Claims about one member are totally ordered by (incarnation, round,
//! state) and the highest one counts, so that all who have heard the same claims, in whatever order and however
//! often, hold the same view. Only the member itself raises its incarnation or round.
//!
//! A process that was paused does not know it. One that finds its own timers late takes this for its own
//! trouble: it begins its open questions anew and is slower to doubt (`strain`).

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::{Incarnation, Micros, PeerId};

/// How a member is held to be. Of two states of the same incarnation and round, the later one here counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// It was heard, by somebody.
    Alive,
    /// Somebody could not reach it, nor could others for that one.
    Doubted,
    /// It did not refute a doubt. It may still be paused or cut off, and come back.
    Gone,
    /// It said that it ends.
    Left,
}

/// What a doubt rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Grade {
    /// No answer came.
    Silence,
    /// The link broke, or nobody takes connections at its address.
    Broken,
}

/// What is said of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    /// The member.
    pub about: PeerId,
    /// Which of its lives.
    pub incarnation: Incarnation,
    /// How often it has refuted in that life.
    pub round: u32,
    /// How it is held to be.
    pub state: State,
    /// Who came to this by itself, where it is a doubt.
    pub by: PeerId,
    /// What that doubt rests on.
    pub grade: Grade,
}

impl Claim {
    /// By which claims about one member are ordered; the highest counts.
    #[must_use]
    pub fn key(&self) -> (Incarnation, u32, State) {
        (self.incarnation, self.round, self.state)
    }
}

/// What members say to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// "Are you there?" `view` is the sender's whole view in one number: who holds another sends its own.
    Ping {
        /// Which question this is.
        seq: u64,
        /// The sender's view, see [`Members::view`].
        view: u64,
        /// News, as room allows.
        claims: Vec<Claim>,
    },
    /// "I am."
    Ack {
        /// The question.
        seq: u64,
        /// News.
        claims: Vec<Claim>,
    },
    /// "Ask that one for me."
    AskFor {
        /// The asker's question.
        seq: u64,
        /// Whom to ask.
        target: PeerId,
    },
    /// What asking for another came to.
    Word {
        /// The asker's question.
        seq: u64,
        /// Who was asked.
        target: PeerId,
        /// What came of it.
        word: Reached,
    },
    /// News that does not wait, or a whole view.
    Tell {
        /// The claims.
        claims: Vec<Claim>,
    },
}

/// What asking for another came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reached {
    /// It answered.
    Yes,
    /// It did not answer.
    No,
    /// There is no link to it; it broke.
    Broken,
}

/// What is worth a line in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// A member is held to be in another state, or another life.
    Held(Claim),
    /// This process was doubted or held to be gone, and has said that it is there.
    Refuted(u32),
    /// A later process lives under this one's name: this one stands aside.
    Usurped(Incarnation),
    /// The later process has gone, and this one is under its name again; or it goes above an earlier life.
    Renewed(Incarnation),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// To be sent, if there is a link.
    Send(PeerId, Message),
    /// The link has answered nothing for long while the member is there: a new one is worth trying.
    Relink(PeerId),
    /// To be logged.
    Note(Note),
}

/// The pace of questions and doubts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// One question is begun each so often.
    pub probe: Micros,
    /// An answer is waited for so long, and as long again through others.
    pub answer: Micros,
    /// A doubt that nobody shares stands for so long before its member is gone.
    pub doubt: Micros,
}

impl Default for Pace {
    fn default() -> Self {
        Self { probe: 200_000, answer: 100_000, doubt: 1_500_000 }
    }
}

/// Others that are asked to ask.
const HELPERS: usize = 3;
/// Claims that go along with a question or an answer.
const ALONG: usize = 6;
/// Claims in one message of a whole view.
const A_TELL: usize = 64;
/// News is told at once to so many, and by the way to the others.
const FANOUT: usize = 8;
/// Where most others came to a doubt over broken links, the doubted one has so long to refute.
const SETTLE: Micros = 40_000;
/// Timers that are later than this are a sign of trouble of one's own.
const LATE: Micros = 50_000;
/// Strain grows up to so much; every wait is so many times longer, and one.
const MOST_STRAIN: u32 = 8;
/// Questions on a link in a row without an answer, after which a new link is tried.
const DEAF: u32 = 4;
/// A whole view goes to one member no more often than this.
const VIEW_EACH: Micros = 500_000;
/// Open questions for others, for each member of the list.
const FAVOURS: usize = 4;

/// News kept, for each member of the list; the oldest goes first, and whole views make up for it.
const NEWS: usize = 4;

/// How this process stands to its own name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Name {
    /// Nobody has taken it as a member yet: it goes above every earlier life that it hears of.
    Fresh,
    /// It has been a member.
    Held,
    /// A later process is alive under the name.
    Aside,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    /// The highest claim; `None` for who was never heard of.
    claim: Option<(Incarnation, u32, State)>,
    linked: bool,
    /// The last link broke, and none has come up since.
    broken: bool,
    /// Who doubts it by themselves, in this incarnation and round.
    doubters: BTreeMap<PeerId, Grade>,
    doubted: Micros,
    /// Questions on the link in a row without an answer.
    deaf: u32,
    /// When it was last sent a whole view, or what is said of it.
    told: Option<Micros>,
}

impl Entry {
    fn state(&self) -> Option<State> {
        self.claim.map(|(_, _, state)| state)
    }

    fn is(&self, state: State) -> bool {
        self.state() == Some(state)
    }
}

/// A question of this process's own.
#[derive(Clone, Debug)]
struct Probe {
    target: PeerId,
    /// It was sent to the target itself, and others have not been asked yet.
    direct: bool,
    until: Micros,
    helpers: BTreeSet<PeerId>,
}

/// A question asked for another.
#[derive(Clone, Copy, Debug)]
struct Favour {
    asker: PeerId,
    seq: u64,
    target: PeerId,
    until: Micros,
}

/// A process's view of the fleet.
#[derive(Debug)]
pub struct Members {
    me: PeerId,
    incarnation: Incarnation,
    round: u32,
    name: Name,
    leaving: bool,
    pace: Pace,
    entries: Vec<Entry>,
    turn: Vec<PeerId>,
    next_probe: Micros,
    seq: u64,
    probes: BTreeMap<u64, Probe>,
    favours: BTreeMap<u64, Favour>,
    /// News, with how often it is still to be told by the way.
    news: VecDeque<(Claim, u32)>,
    strain: u32,
    rng: fastrand::Rng,
    orders: Vec<Order>,
}

impl Members {
    /// The view of a process that has just started: it knows nobody.
    #[must_use]
    pub fn new(now: Micros, me: PeerId, peers: usize, nonce: u64, pace: Pace, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed ^ nonce);
        Self {
            me,
            incarnation: Incarnation { number: 1, nonce },
            round: 0,
            name: Name::Fresh,
            leaving: false,
            pace,
            entries: vec![Entry::default(); peers],
            turn: Vec::new(),
            next_probe: now + rng.u64(0..=pace.probe),
            seq: rng.u64(0..1 << 32),
            probes: BTreeMap::new(),
            favours: BTreeMap::new(),
            news: VecDeque::new(),
            strain: 0,
            rng,
            orders: Vec::new(),
        }
    }

    /// This process's present life.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// How a member is held to be; `None` for who was never heard of.
    #[must_use]
    pub fn state(&self, peer: PeerId) -> Option<State> {
        if peer == self.me {
            return Some(if self.leaving { State::Left } else { State::Alive });
        }
        self.entries.get(usize::from(peer.0)).and_then(Entry::state)
    }

    /// How far this process takes troubles for its own: 0 when all is well.
    #[must_use]
    pub fn strain(&self) -> u32 {
        self.strain
    }

    /// A later process is alive under this one's name.
    #[must_use]
    pub fn aside(&self) -> bool {
        self.name == Name::Aside
    }

    /// What this process says of itself.
    #[must_use]
    pub fn own(&self) -> Claim {
        let state = if self.leaving { State::Left } else { State::Alive };
        let (incarnation, round) = (self.incarnation, self.round);
        Claim { about: self.me, incarnation, round, state, by: self.me, grade: Grade::Silence }
    }

    /// What counts of a member.
    #[must_use]
    pub fn claim(&self, peer: PeerId) -> Option<Claim> {
        if peer == self.me {
            return Some(self.own());
        }
        let entry = self.entries.get(usize::from(peer.0))?;
        let (incarnation, round, state) = entry.claim?;
        let doubt = entry.doubters.iter().next_back();
        let (by, grade) = doubt.map_or((self.me, Grade::Silence), |(&by, &grade)| (by, grade));
        Some(Claim { about: peer, incarnation, round, state, by, grade })
    }

    /// The whole view in one number, the same in all who hold the same.
    #[must_use]
    pub fn view(&self) -> u64 {
        self.peers().filter_map(|peer| self.claim(peer)).fold(0, |sum, claim| {
            let words = [
                u64::from(claim.about.0),
                claim.incarnation.number,
                claim.incarnation.nonce,
                u64::from(claim.round),
                claim.state as u64,
            ];
            // FNV-1a over words; the sum of it does not depend on the order.
            let hash = words.iter().fold(0xcbf2_9ce4_8422_2325_u64, |hash, word| {
                (hash ^ word).wrapping_mul(0x0100_0000_01b3).rotate_left(29)
            });
            sum.wrapping_add(hash)
        })
    }

    fn peers(&self) -> impl Iterator<Item = PeerId> {
        (0..self.entries.len()).filter_map(|at| u16::try_from(at).ok()).map(PeerId)
    }

    fn entry(&mut self, peer: PeerId) -> Option<&mut Entry> {
        (peer != self.me).then_some(())?;
        self.entries.get_mut(usize::from(peer.0))
    }

    fn patience(&self) -> Micros {
        self.pace.answer * Micros::from(1 + self.strain)
    }

    fn send(&mut self, to: PeerId, message: Message) {
        self.orders.push(Order::Send(to, message));
    }

    /// What has to be done since the last call.
    pub fn orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// A link is up. Its hello has been heard, so the member is there.
    pub fn linked(&mut self, now: Micros, hello: Claim) {
        if self.name == Name::Fresh {
            self.name = Name::Held;
        }
        let me = self.me;
        if let Some(entry) = self.entry(hello.about) {
            (entry.linked, entry.broken, entry.deaf) = (true, false, 0);
            // A doubt of one's own that rested on the broken link is over; others' begin to count anew.
            entry.doubters.remove(&me);
            entry.doubted = now;
        }
        self.learn(now, hello);
        self.answer_doubt(now, hello.about);
        if self.round > 0 {
            // What this side refuted after its hello was written.
            let claims = vec![self.own()];
            self.send(hello.about, Message::Tell { claims });
        }
    }

    /// A link ended, or could not be had: a sign, and a reason to ask others at once. `broken` where it was
    /// more than this side's own closing.
    pub fn unlinked(&mut self, now: Micros, peer: PeerId, broken: bool) {
        let Some(entry) = self.entry(peer) else { return };
        let news = entry.linked || !entry.broken;
        entry.linked = false;
        entry.broken |= broken;
        let asked = matches!(entry.state(), Some(State::Alive | State::Doubted));
        // Whoever waits for a word about it can have it now.
        let over: Vec<u64> = self.favours.iter().filter(|(_, f)| f.target == peer).map(|(&s, _)| s).collect();
        for seq in over {
            self.repay(seq, Reached::Broken);
        }
        if asked && broken && news {
            self.probes.retain(|_, probe| probe.target != peer);
            self.probe(now, peer);
            self.confirm(now, peer);
        }
    }

    /// A member said something on its link, in the life that its hello named.
    pub fn heard(&mut self, now: Micros, from: PeerId, message: Message) {
        if self.entry(from).is_none() {
            return;
        }
        match message {
            Message::Ping { seq, view, claims } => {
                self.learn_all(now, &claims);
                let claims = self.along();
                self.send(from, Message::Ack { seq, claims });
                if view != self.view() {
                    self.tell_view(now, from);
                }
            }
            Message::Ack { seq, claims } => {
                self.learn_all(now, &claims);
                if self.probes.get(&seq).is_some_and(|probe| probe.target == from) {
                    self.reached(seq);
                } else if self.favours.get(&seq).is_some_and(|favour| favour.target == from) {
                    self.repay(seq, Reached::Yes);
                }
                if let Some(entry) = self.entry(from) {
                    entry.deaf = 0;
                }
            }
            Message::AskFor { seq, target } => self.ask_for(now, from, seq, target),
            Message::Word { seq, target, word } => {
                let known = self.probes.get_mut(&seq).filter(|probe| probe.target == target);
                let Some(probe) = known else { return };
                if word == Reached::Yes {
                    return self.reached(seq);
                }
                if probe.helpers.remove(&from) && probe.helpers.is_empty() && !probe.direct {
                    // Nobody is left who could still reach it.
                    self.unreached(now, seq);
                }
            }
            Message::Tell { claims } => {
                let outdated =
                    |c: &Claim| c.about == self.me && c.state > State::Alive && c.key() < self.own().key();
                let outdated = claims.iter().any(outdated);
                self.learn_all(now, &claims);
                if outdated {
                    // The refutation has not come that far.
                    let claims = vec![self.own()];
                    self.send(from, Message::Tell { claims });
                }
            }
        }
        self.answer_doubt(now, from);
    }

    /// One that is doubted here is heard: it has to know, so that it can refute.
    fn answer_doubt(&mut self, now: Micros, peer: PeerId) {
        let pause = self.pace.answer;
        let Some(entry) = self.entry(peer) else { return };
        let doubted = matches!(entry.state(), Some(State::Doubted | State::Gone));
        if !doubted || !entry.linked || entry.told.is_some_and(|at| now.saturating_sub(at) < pause) {
            return;
        }
        entry.told = Some(now);
        let claims = self.claim(peer).into_iter().collect();
        self.send(peer, Message::Tell { claims });
    }

    fn tell_view(&mut self, now: Micros, to: PeerId) {
        let Some(entry) = self.entry(to) else { return };
        if entry.told.is_some_and(|at| now.saturating_sub(at) < VIEW_EACH) {
            return;
        }
        entry.told = Some(now);
        let claims: Vec<Claim> = self.peers().filter_map(|peer| self.claim(peer)).collect();
        for some in claims.chunks(A_TELL) {
            self.send(to, Message::Tell { claims: some.to_vec() });
        }
    }

    fn ask_for(&mut self, now: Micros, asker: PeerId, seq: u64, target: PeerId) {
        let (room, until) = (self.favours.len() < FAVOURS * self.entries.len(), now + self.patience());
        let Some(entry) = self.entry(target) else { return };
        let word = match entry {
            Entry { linked: true, .. } if room => {
                self.seq += 1;
                let (own, view) = (self.seq, self.view());
                self.favours.insert(own, Favour { asker, seq, target, until });
                let claims = self.along();
                return self.send(target, Message::Ping { seq: own, view, claims });
            }
            Entry { broken: true, .. } => Reached::Broken,
            _ => Reached::No,
        };
        self.send(asker, Message::Word { seq, target, word });
    }

    fn repay(&mut self, seq: u64, word: Reached) {
        let Some(Favour { asker, seq, target, .. }) = self.favours.remove(&seq) else { return };
        self.send(asker, Message::Word { seq, target, word });
    }

    /// A question was answered.
    fn reached(&mut self, seq: u64) {
        if self.probes.remove(&seq).is_some() {
            self.strain = self.strain.saturating_sub(1);
        }
    }

    /// Begins a question to a member, through others where there is no link.
    fn probe(&mut self, now: Micros, target: PeerId) {
        self.seq += 1;
        let (seq, until) = (self.seq, now + self.patience());
        let linked = self.entry(target).is_some_and(|entry| entry.linked);
        self.probes.insert(seq, Probe { target, direct: linked, until, helpers: BTreeSet::new() });
        if linked {
            let (view, claims) = (self.view(), self.along());
            self.send(target, Message::Ping { seq, view, claims });
        } else {
            self.ask_others(now, seq);
        }
    }

    fn ask_others(&mut self, now: Micros, seq: u64) {
        let Some(target) = self.probes.get(&seq).map(|probe| probe.target) else { return };
        let able = |peer: &PeerId| {
            let entry = &self.entries[usize::from(peer.0)];
            *peer != target && entry.linked && entry.is(State::Alive)
        };
        let mut helpers: Vec<PeerId> = self.peers().filter(able).collect();
        self.rng.shuffle(&mut helpers);
        helpers.truncate(HELPERS);
        for &helper in &helpers {
            self.send(helper, Message::AskFor { seq, target });
        }
        let until = now + 2 * self.patience();
        let Some(probe) = self.probes.get_mut(&seq) else { return };
        (probe.direct, probe.until) = (false, until);
        probe.helpers = helpers.into_iter().collect();
        if probe.helpers.is_empty() {
            self.unreached(now, seq);
        }
    }

    /// Neither this process nor others for it have reached the member.
    fn unreached(&mut self, now: Micros, seq: u64) {
        let Some(probe) = self.probes.remove(&seq) else { return };
        if !probe.helpers.is_empty() {
            // Helpers owed a word, be it a "no": that they did not give it may be this process's own trouble.
            self.strain = (self.strain + 1).min(MOST_STRAIN);
        }
        self.doubt(now, probe.target);
    }

    fn doubt(&mut self, now: Micros, peer: PeerId) {
        let by = self.me;
        let Some(entry) = self.entry(peer) else { return };
        let grade = if entry.broken { Grade::Broken } else { Grade::Silence };
        let Some((incarnation, round, state)) = entry.claim else { return };
        if state > State::Doubted || entry.doubters.get(&by).is_some_and(|&held| held >= grade) {
            return;
        }
        let claim = Claim { about: peer, incarnation, round, state: State::Doubted, by, grade };
        self.learn(now, claim);
    }

    /// Adds one's own broken link to a doubt that others have raised.
    fn confirm(&mut self, now: Micros, peer: PeerId) {
        let confirms = |entry: &mut Entry| entry.broken && !entry.linked && entry.is(State::Doubted);
        if self.entry(peer).is_some_and(confirms) {
            self.doubt(now, peer);
        }
    }

    fn learn_all(&mut self, now: Micros, claims: &[Claim]) {
        claims.iter().for_each(|claim| self.learn(now, *claim));
    }

    /// Takes a claim in, where it is higher than what is known, or says more of a doubt.
    pub fn learn(&mut self, now: Micros, claim: Claim) {
        if claim.about == self.me {
            return self.told_of_itself(now, claim);
        }
        let Some(entry) = self.entries.get_mut(usize::from(claim.about.0)) else { return };
        let was = entry.claim;
        if was.is_some_and(|was| was > claim.key()) {
            return;
        }
        let is_doubt = claim.state == State::Doubted;
        let same = was == Some(claim.key());
        if same && !is_doubt {
            return;
        }
        if !same {
            entry.claim = Some(claim.key());
            entry.doubters.clear();
            entry.doubted = now;
        }
        if is_doubt {
            let held = entry.doubters.get(&claim.by).copied();
            if held.is_some_and(|held| held >= claim.grade) {
                return;
            }
            entry.doubters.insert(claim.by, claim.grade);
        }
        let linked = entry.linked;
        if !same {
            self.orders.push(Order::Note(Note::Held(claim)));
        }
        self.spread(claim);
        if linked && matches!(claim.state, State::Doubted | State::Gone) {
            // The one that it is about hears it from whoever still reaches it.
            self.send(claim.about, Message::Tell { claims: vec![claim] });
        }
        self.confirm(now, claim.about);
    }

    /// Somebody says something of this process.
    fn told_of_itself(&mut self, now: Micros, claim: Claim) {
        if claim.incarnation == self.incarnation {
            let wrong = claim.key() > self.own().key();
            if wrong && claim.state != State::Left {
                self.round = claim.round.saturating_add(1);
                self.strain = (self.strain + 1).min(MOST_STRAIN);
                self.orders.push(Order::Note(Note::Refuted(self.round)));
                self.spread(self.own());
            }
            return;
        }
        // Before it is a member the number always grows, whichever nonce is the higher one: a later life can be
        // told by its number alone.
        let earlier = self.name == Name::Fresh && claim.incarnation.number >= self.incarnation.number;
        if claim.incarnation < self.incarnation && !earlier {
            return;
        }
        // Another process has this name, in a life that counts as later than this one.
        let over = matches!(claim.state, State::Gone | State::Left);
        if self.name == Name::Fresh || over {
            self.incarnation.number = claim.incarnation.number.saturating_add(1);
            self.round = 0;
            if self.name == Name::Aside {
                self.name = Name::Held;
            }
            self.orders.push(Order::Note(Note::Renewed(self.incarnation)));
            if self.name == Name::Held {
                self.spread(self.own());
            }
        } else if self.name == Name::Held {
            self.name = Name::Aside;
            self.probes.clear();
            self.favours.clear();
            self.next_probe = now + self.pace.probe;
            self.orders.push(Order::Note(Note::Usurped(claim.incarnation)));
        }
    }

    /// Tells news at once to some and keeps it to be told by the way.
    fn spread(&mut self, claim: Claim) {
        if self.name == Name::Aside {
            return;
        }
        let mut to: Vec<PeerId> = self.peers().filter(|peer| *peer != claim.about).collect();
        to.retain(|peer| self.entries[usize::from(peer.0)].linked);
        // Retold as often as is needed for all to hear it with few losses: three times the logarithm.
        let times = 3 * (usize::BITS - self.entries.len().leading_zeros());
        if to.len() > FANOUT {
            self.rng.shuffle(&mut to);
            to.truncate(FANOUT);
        }
        // Who is told at once of a doubt that came by hearsay has mostly heard it too: only first-hand news
        // goes to all at once.
        let own = claim.about == self.me || (claim.by == self.me && claim.state >= State::Doubted);
        if own {
            for peer in to {
                self.send(peer, Message::Tell { claims: vec![claim] });
            }
        }
        // What is lower than this is no news any more; of a doubt each member's own is kept.
        self.news.retain(|(known, _)| {
            known.about != claim.about || (known.key() == claim.key() && known.by != claim.by)
        });
        if self.news.len() >= NEWS * self.entries.len() {
            self.news.pop_front();
        }
        self.news.push_back((claim, times));
    }

    /// The news that goes along with a message.
    fn along(&mut self) -> Vec<Claim> {
        let mut claims = Vec::new();
        for _ in 0..ALONG.min(self.news.len()) {
            let Some((claim, times)) = self.news.pop_front() else { break };
            claims.push(claim);
            if times > 1 {
                self.news.push_back((claim, times - 1));
            }
        }
        claims
    }

    /// When a doubt becomes a loss: later under strain, sooner the more came to it by themselves, and soon
    /// where links broke at most of those who are there.
    fn gone_at(&self, entry: &Entry) -> Option<Micros> {
        if !entry.is(State::Doubted) {
            return None;
        }
        let able = 1 + self.entries.iter().filter(|e| e.is(State::Alive)).count();
        let broken = entry.doubters.values().filter(|&&grade| grade == Grade::Broken).count();
        let patient = Micros::from(1 + self.strain);
        if 2 * broken > able {
            return Some(entry.doubted + SETTLE * patient);
        }
        let longest = self.pace.doubt * patient;
        let shortest = longest / 3;
        let others = entry.doubters.len().saturating_sub(1).min(2);
        // Lifeguard's curve, log(c + 1) / log(k + 1) for k = 2, in thousandths.
        let share = [0, 631, 1000][others];
        Some(entry.doubted + longest - (longest - shortest) * share / 1000)
    }

    /// When something is to be done without a message.
    #[must_use]
    pub fn due(&self) -> Option<Micros> {
        let probes = self.probes.values().map(|probe| probe.until);
        let favours = self.favours.values().map(|favour| favour.until);
        let losses = self.entries.iter().filter_map(|entry| self.gone_at(entry));
        let next = (!self.leaving && self.name != Name::Aside).then_some(self.next_probe);
        probes.chain(favours).chain(losses).chain(next).min()
    }

    /// Does all whose time has come.
    pub fn tick(&mut self, now: Micros) {
        let Some(due) = self.due().filter(|&due| due <= now) else { return };
        let late = now - due;
        if late > LATE {
            return self.forgive(now, late);
        }
        let over = |until: Micros| until <= now;
        let favours: Vec<u64> =
            self.favours.iter().filter(|(_, f)| over(f.until)).map(|(&seq, _)| seq).collect();
        for seq in favours {
            self.repay(seq, Reached::No);
        }
        let late: Vec<(u64, bool, PeerId)> = self
            .probes
            .iter()
            .filter(|(_, p)| over(p.until))
            .map(|(&seq, p)| (seq, p.direct, p.target))
            .collect();
        for (seq, direct, target) in late {
            if direct {
                self.unanswered(target);
                self.ask_others(now, seq);
            } else {
                self.unreached(now, seq);
            }
        }
        for peer in self.peers() {
            let gone = self.gone_at(&self.entries[usize::from(peer.0)]).is_some_and(over);
            if let (true, Some(claim)) = (gone, self.claim(peer)) {
                self.learn(now, Claim { state: State::Gone, by: self.me, ..claim });
            }
        }
        if self.next_probe <= now {
            self.next_probe = now + self.pace.probe;
            if let Some(target) = self.next_target() {
                self.probe(now, target);
            }
        }
    }

    /// This process was not at its timers in time. What it did not hear meanwhile says nothing of others: open
    /// questions begin anew, doubts stand as much longer, and strain grows.
    fn forgive(&mut self, now: Micros, late: Micros) {
        self.strain = (self.strain + 1).min(MOST_STRAIN);
        let until = now + self.patience();
        self.probes.values_mut().for_each(|probe| probe.until = until);
        self.favours.values_mut().for_each(|favour| favour.until = until);
        for entry in &mut self.entries {
            if entry.is(State::Doubted) {
                entry.doubted += late;
            }
        }
        self.next_probe = now + self.pace.probe;
    }

    fn unanswered(&mut self, peer: PeerId) {
        let Some(entry) = self.entry(peer) else { return };
        entry.deaf += 1;
        if entry.deaf % DEAF == 0 {
            self.orders.push(Order::Relink(peer));
        }
    }

    /// The next one in turn: everybody once, in a new order each time, as far as there is a way to it.
    fn next_target(&mut self) -> Option<PeerId> {
        for _ in 0..=self.entries.len() {
            if self.turn.is_empty() {
                self.turn = self.peers().filter(|peer| *peer != self.me).collect();
                let rng = &mut self.rng;
                rng.shuffle(&mut self.turn);
            }
            let peer = self.turn.pop()?;
            let entry = &self.entries[usize::from(peer.0)];
            let asked = self.probes.values().any(|probe| probe.target == peer);
            let able = entry.linked || matches!(entry.state(), Some(State::Alive | State::Doubted));
            if able && !asked && !entry.is(State::Left) {
                return Some(peer);
            }
        }
        None
    }

    /// This process ends: all who are linked hear it at once.
    pub fn leave(&mut self) {
        if !self.leaving {
            self.leaving = true;
            let own = self.own();
            let linked: Vec<PeerId> =
                self.peers().filter(|peer| self.entries[usize::from(peer.0)].linked).collect();
            for peer in linked {
                self.send(peer, Message::Tell { claims: vec![own] });
            }
            self.probes.clear();
        }
    }
}
