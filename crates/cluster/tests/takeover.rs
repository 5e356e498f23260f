//! Whole processes' takeover managers on a network of their own in simulated time: owners die, are halted and
//! come back, messages are lost, doubled and late, and clients ask again elsewhere. Executions are counted at
//! the host. `TAKEOVER_SEEDS` sets how many random histories are played.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use mallowgauge_cluster::register::{AcceptorLimits, ProposerRequest, QueryId};
use mallowgauge_cluster::takeover::{
    Action, ClientRequest, Message, QueryEnd, TakeoverConfig, TakeoverManager,
};
use mallowgauge_cluster::{Incarnation, PeerId};

const MS: u64 = 1000;
const LIFE: u64 = 4_000 * MS;

#[derive(Clone, Debug)]
enum Event {
    Message(usize, usize, Box<Message>),
    /// The frame with an attempt reaches the host; the answer goes back.
    Run(usize, QueryId),
    /// The host's answer, for the incarnation that sent it.
    Answer(usize, u64, QueryId),
    /// A client asks for an id at a process, and waits until then.
    Ask(usize, QueryId, u64),
}

struct Process {
    manager: TakeoverManager,
    incarnation: u64,
    dead: bool,
    paused_until: u64,
    /// Attempts so far of each id, in this incarnation.
    tries: BTreeMap<QueryId, u32>,
}

struct World {
    now: u64,
    rng: fastrand::Rng,
    all: Vec<Process>,
    /// By time and number.
    events: BTreeMap<(u64, u64), Event>,
    number: u64,
    loss: f64,
    twice: f64,
    cut: BTreeSet<(usize, usize)>,
    runs: BTreeMap<QueryId, u32>,
    told: BTreeMap<QueryId, BTreeSet<Arc<[u8]>>>,
    unsure: u32,
    /// How often an acceptor was asked what it holds.
    questions: u32,
    /// How often an acceptor elsewhere was told to write something.
    writes: u32,
    /// Records that acceptors told others which had started.
    paged: usize,
    /// Who was told of an end, and when.
    heard: Vec<(u64, usize)>,
    /// Asks of each id that came to a process.
    asks: BTreeMap<QueryId, u32>,
    /// Shares of attempts that the core gives up while they wait for leave, and of re-asks that find no room.
    given_up: f64,
    full: f64,
    /// Ids of which somebody was told that nothing ran.
    rejected: BTreeSet<QueryId>,
}

fn incarnation(number: u64) -> Incarnation {
    Incarnation { number, nonce: 0 }
}

fn payload() -> Arc<[u8]> {
    b"the body"[..].into()
}

impl World {
    fn new(count: usize, seed: u64) -> Self {
        let mut world = Self::started_at(count, seed);
        // All started at once: nothing is promised before no id from before can be asked.
        world.run(2 * LIFE + 600 * MS);
        world
    }

    /// All have just started.
    fn started_at(count: usize, seed: u64) -> Self {
        let mut world = Self {
            now: 0,
            rng: fastrand::Rng::with_seed(seed),
            all: Vec::new(),
            events: BTreeMap::new(),
            number: 0,
            loss: 0.0,
            twice: 0.0,
            cut: BTreeSet::new(),
            runs: BTreeMap::new(),
            told: BTreeMap::new(),
            unsure: 0,
            questions: 0,
            writes: 0,
            paged: 0,
            heard: Vec::new(),
            asks: BTreeMap::new(),
            given_up: 0.0,
            full: 0.0,
            rejected: BTreeSet::new(),
        };
        for at in 0..count {
            world.all.push(Process {
                manager: Self::manager(at, count),
                incarnation: 1,
                dead: false,
                paused_until: 0,
                tries: BTreeMap::new(),
            });
        }
        (0..count).for_each(|at| world.link(at));
        world
    }

    fn manager(at: usize, peer_count: usize) -> TakeoverManager {
        let limits = AcceptorLimits { records: 10_000, bytes: 16 << 20, query_lifetime: LIFE };
        TakeoverManager::new(TakeoverConfig { me: PeerId(at as u16), peer_count, group_size: 3, limits })
    }

    /// Links one with all that are there.
    fn link(&mut self, at: usize) {
        for other in (0..self.all.len()).filter(|other| *other != at) {
            if self.all[other].dead {
                continue;
            }
            let (a, b) = (incarnation(self.all[at].incarnation), incarnation(self.all[other].incarnation));
            let now = self.now;
            self.all[at].manager.peer_connected(now, PeerId(other as u16), b, a);
            self.all[other].manager.peer_connected(now, PeerId(at as u16), a, b);
            self.carry(other);
        }
        self.carry(at);
    }

    fn put(&mut self, after: u64, event: Event) {
        self.number += 1;
        self.events.insert((self.now + after, self.number), event);
    }

    fn ask(&mut self, after: u64, at: usize, id: &QueryId) {
        let until = self.now + LIFE / 2 + after;
        self.put(after, Event::Ask(at, Arc::clone(id), until));
    }

    fn carry(&mut self, at: usize) {
        for action in self.all[at].manager.take_actions() {
            match action {
                Action::Send { to, message } => {
                    self.questions +=
                        u32::from(matches!(*message, Message::Request(ProposerRequest::ReadRecord { .. })));
                    let write = matches!(
                        *message,
                        Message::Request(ProposerRequest::Open { .. } | ProposerRequest::Accept { .. })
                    );
                    self.writes += u32::from(write);
                    if let Message::StateTransfer(transfer) = &*message {
                        self.paged += transfer.records.len();
                    }
                    let to = usize::from(to.0);
                    let copies = 1 + usize::from(self.rng.f64() < self.twice);
                    for _ in 0..copies {
                        if !self.cut.contains(&(at, to)) && self.rng.f64() >= self.loss {
                            let after = self.rng.u64(200..3000);
                            self.put(after, Event::Message(at, to, message.clone()));
                        }
                    }
                }
                Action::PermitDecided { id, granted: true, .. } => {
                    let after = self.rng.u64(0..5 * MS);
                    self.put(after, Event::Run(at, id));
                }
                Action::PermitDecided { .. }
                | Action::OwnedByPeer { .. }
                | Action::RequestIdConflict { .. } => {}
                Action::QueryEnded { id, end: ended } => {
                    self.heard.push((self.now, at));
                    self.told.entry(id).or_default().insert(ended.to_bytes());
                }
                Action::TakeOver { id, age, .. } if age > LIFE => {
                    let now = self.now;
                    self.all[at].manager.query_ended(now, &id, QueryEnd::NotExecuted);
                    self.carry(at);
                }
                Action::TakeOver { id, .. } => self.request_permit(at, &id),
                Action::OutcomeUnknown { id, not_executed } => {
                    self.unsure += 1;
                    if not_executed {
                        self.rejected.insert(id);
                    }
                }
            }
        }
    }

    fn request_permit(&mut self, at: usize, id: &QueryId) {
        let (now, first) = (self.now, self.asks.get(id) == Some(&1));
        let (payload, given_up) = (payload(), self.rng.f64() < self.given_up);
        let process = &mut self.all[at];
        let tries = process.tries.entry(Arc::clone(id)).or_insert(0);
        *tries += 1;
        let request = ClientRequest { id, payload: &payload, deadline: now + LIFE, is_first_attempt: first };
        process.manager.request_permit(now, request, 0, *tries);
        if given_up {
            // The core waits for this attempt no longer, and asks for another.
            process.manager.mark_not_executed(id, 0, *tries);
            *tries += 1;
            process.manager.request_permit(now, request, 0, *tries);
        }
        self.carry(at);
    }

    /// What was asked again is refused at the door.
    fn reject(&mut self, at: usize, id: &QueryId) {
        let (now, payload) = (self.now, payload());
        let request = ClientRequest { id, payload: &payload, deadline: now + LIFE, is_first_attempt: false };
        self.all[at].manager.reject(now, request);
        self.carry(at);
    }

    fn run(&mut self, time: u64) {
        let end = self.now + time;
        loop {
            let awake = |p: &&Process| !p.dead;
            let due = self
                .all
                .iter()
                .filter(awake)
                .filter_map(|p| Some(p.manager.poll_timeout()?.max(p.paused_until)))
                .min();
            let next = self.events.keys().next().map(|(at, _)| *at);
            let at = due.into_iter().chain(next).min().unwrap_or(end).max(self.now);
            if at >= end {
                self.now = end;
                return;
            }
            self.now = at;
            while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= at) {
                let event = entry.remove();
                self.event(event);
            }
            for at in 0..self.all.len() {
                if !self.all[at].dead && self.all[at].paused_until <= self.now {
                    let now = self.now;
                    self.all[at].manager.handle_timeout(now);
                    self.carry(at);
                }
            }
        }
    }

    fn event(&mut self, event: Event) {
        let at = match &event {
            Event::Message(_, at, _) | Event::Run(at, ..) | Event::Answer(at, ..) | Event::Ask(at, ..) => *at,
        };
        if self.all[at].dead {
            return;
        }
        let until = self.all[at].paused_until;
        if until > self.now {
            // It does what it was about to do, once it goes on.
            return self.put(until - self.now, event);
        }
        let now = self.now;
        match event {
            Event::Message(from, _, message) => {
                self.all[at].manager.handle_message(now, PeerId(from as u16), *message)
            }
            Event::Run(_, id) => {
                *self.runs.entry(Arc::clone(&id)).or_insert(0) += 1;
                let (incarnation, after) = (self.all[at].incarnation, self.rng.u64(MS..30 * MS));
                self.put(after, Event::Answer(at, incarnation, id));
            }
            Event::Answer(_, incarnation, id) if self.all[at].incarnation == incarnation => {
                let said = QueryEnd::Answered(format!("held for {id}").into_bytes().into());
                self.all[at].manager.query_ended(now, &id, said);
            }
            Event::Answer(..) => {}
            // Nobody waits for it any more: an id is asked again within its life, or not at all.
            Event::Ask(_, _, until) if until < now => {}
            Event::Ask(_, id, _) if self.all[at].manager.await_outcome(&id, now + LIFE) => {}
            Event::Ask(_, id, _) => {
                let asks = self.asks.entry(Arc::clone(&id)).or_insert(0);
                *asks += 1;
                if *asks > 1 && self.rng.f64() < self.full {
                    self.reject(at, &id);
                } else {
                    self.request_permit(at, &id);
                }
            }
        }
        self.carry(at);
    }

    fn kill(&mut self, at: usize) {
        self.all[at].dead = true;
        for other in (0..self.all.len()).filter(|other| *other != at) {
            let now = self.now;
            self.all[other].manager.peer_availability_changed(now, PeerId(at as u16), true);
            self.carry(other);
        }
    }

    fn restart(&mut self, at: usize) {
        let count = self.all.len();
        let process = &mut self.all[at];
        (process.dead, process.incarnation, process.paused_until) = (false, process.incarnation + 1, 0);
        process.manager = Self::manager(at, count);
        process.tries.clear();
        self.link(at);
    }

    fn check(&self) {
        for (id, runs) in &self.runs {
            assert!(*runs <= 1, "{id} ran {runs} times; told {:?}", self.told.get(id));
        }
        for (id, told) in &self.told {
            assert!(told.len() <= 1, "{id} was told {told:?}");
            let never = told.first().is_some_and(|told| QueryEnd::from_bytes(told) == QueryEnd::NotExecuted);
            assert!(
                !never || !self.runs.contains_key(id),
                "{id} ran, and somebody was told that it never did"
            );
        }
        for id in self.rejected.iter().filter(|id| self.asks.get(*id) == Some(&1)) {
            assert!(
                !self.runs.contains_key(id),
                "{id} ran, and its only client was told that it was refused"
            );
        }
    }
}

#[test]
fn a_hold_runs_and_is_told_to_all_who_ask_for_it() {
    let mut world = World::new(5, 1);
    let id: QueryId = "q1".into();
    world.ask(0, 0, &id);
    world.run(100 * MS);
    (1..5).for_each(|at| world.ask(0, at, &id));
    world.run(200 * MS);
    assert_eq!(world.runs[&id], 1);
    assert_eq!(world.told[&id].len(), 1);
    assert_eq!(world.unsure, 0);
}

#[test]
fn a_re_ask_at_three_at_once_runs_once() {
    for seed in 0..200 {
        let mut world = World::new(5, seed);
        let id: QueryId = format!("q{seed}").into();
        (0..3).for_each(|at| world.ask(0, at, &id));
        world.run(2_000 * MS);
        world.check();
        assert_eq!(world.told.get(&id).map(BTreeSet::len), Some(1), "seed {seed}");
    }
}

#[test]
fn what_is_asked_of_one_that_dies_ends_all_the_same() {
    let (mut served, mut known) = (0, 0);
    for seed in 0..200 {
        let mut world = World::new(5, seed);
        let id: QueryId = format!("q{seed}").into();
        world.ask(0, 0, &id);
        let after = world.rng.u64(0..40 * MS);
        world.run(after);
        world.kill(0);
        world.ask(0, 1, &id);
        world.run(3_000 * MS);
        world.check();
        let told = world.told.get(&id).and_then(|told| told.first()).map(|told| QueryEnd::from_bytes(told));
        known += usize::from(told.is_some());
        served += usize::from(matches!(told, Some(QueryEnd::Answered(_))));
    }
    assert_eq!(known, 200, "everybody who asks again is told how it ended");
    assert!(
        (40..200).contains(&served),
        "{served}: some ran here, of some it is only known that they may have"
    );
}

#[test]
fn nothing_breaks_it() {
    let mut told = 0;
    let seeds = std::env::var("TAKEOVER_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(150);
    for seed in 0..seeds {
        let mut world = World::new(5, seed);
        (world.loss, world.twice) = (world.rng.f64() * 0.3, world.rng.f64() * 0.3);
        (world.given_up, world.full) = (world.rng.f64() * 0.3, world.rng.f64() * 0.5);
        let (mut payload, mut firsts) = (0, BTreeMap::new());
        for _ in 0..30 {
            let at = world.rng.usize(0..5);
            match world.rng.u32(0..9) {
                0 if !world.all[at].dead => world.kill(at),
                0 | 1 if world.all[at].dead => world.restart(at),
                2 => world.all[at].paused_until = world.now + world.rng.u64(0..6_000 * MS),
                3 => {
                    let other = world.rng.usize(0..5);
                    world.cut.extend([(at, other), (other, at)]);
                }
                4 => world.cut.clear(),
                _ => {
                    let id: QueryId = format!("{seed}-{}", payload / 2).into();
                    let first = *firsts.entry(payload / 2).or_insert(world.now);
                    payload += 1;
                    if world.now > first + LIFE / 2 {
                        continue;
                    }
                    for _ in 0..world.rng.u32(1..4) {
                        let (at, after) = (world.rng.usize(0..5), world.rng.u64(0..400 * MS));
                        world.ask(after, at, &id);
                    }
                }
            }
            let time = world.rng.u64(0..300 * MS);
            world.run(time);
        }
        world.cut.clear();
        world.run(2 * LIFE);
        world.check();
        told += world.told.len();
    }
    assert!(told > 500, "{told}");
}

#[test]
fn what_was_refused_untouched_is_never_run() {
    let mut rejected = 0;
    for seed in 0..400 {
        let mut world = World::new(5, seed);
        world.given_up = 0.5;
        // The owner reaches one or two of the others, and dies some time after it gave up.
        let heard = world.rng.usize(1..3);
        world.cut.extend((heard + 1..5).flat_map(|other| [(0, other), (other, 0)]));
        let id: QueryId = format!("q{seed}").into();
        world.ask(0, 0, &id);
        let after = world.rng.u64(150 * MS..400 * MS);
        world.run(after);
        world.kill(0);
        world.run(3_000 * MS);
        world.check();
        rejected += usize::from(world.rejected.contains(&id));
    }
    assert!(rejected > 20, "{rejected}");
}

#[test]
fn a_re_ask_that_finds_no_room_is_told_what_became_of_the_first() {
    let (mut served, mut never) = (0, 0);
    for seed in 0..200 {
        let mut world = World::new(5, seed);
        world.full = 1.0;
        let id: QueryId = format!("q{seed}").into();
        world.ask(0, 0, &id);
        let after = world.rng.u64(0..40 * MS);
        world.run(after);
        if seed % 2 == 0 {
            world.kill(0);
        }
        world.ask(0, 1, &id);
        world.run(3_000 * MS);
        world.check();
        let told = world.told.get(&id).and_then(|told| told.first()).map(|told| QueryEnd::from_bytes(told));
        served += usize::from(matches!(told, Some(QueryEnd::Answered(_))));
        never += usize::from(told == Some(QueryEnd::NotExecuted));
        assert!(told.is_some(), "seed {seed}");
    }
    assert!(served > 100 && never > 0, "{served} {never}");
}

#[test]
fn who_waits_for_an_end_does_not_fill_the_links_with_questions() {
    let mut world = World::new(5, 3);
    let id: QueryId = "slow".into();
    world.ask(0, 0, &id);
    world.run(10 * MS);
    // Halted, and nobody has noticed.
    world.all[0].paused_until = world.now + 1_500 * MS;
    (1..5).for_each(|at| world.ask(0, at, &id));
    world.run(1_000 * MS);
    assert!((20..140).contains(&world.questions), "{} questions in a second", world.questions);
    world.run(3_000 * MS);
    world.check();
    assert_eq!(world.told.get(&id).map(BTreeSet::len), Some(1));
}

#[test]
fn a_re_ask_that_is_refused_without_a_majority_is_told_soon_that_nothing_is_known() {
    let mut world = World::new(5, 9);
    world.full = 1.0;
    let id: QueryId = "again".into();
    world.cut.extend((1..5).flat_map(|other| [(0, other), (other, 0)]));
    world.asks.insert(Arc::clone(&id), 1);
    world.ask(0, 0, &id);
    world.run(190 * MS);
    assert_eq!((world.unsure, world.told.len()), (0, 0));
    world.run(20 * MS);
    assert_eq!((world.unsure, world.told.len()), (1, 0));
    assert!(world.rejected.is_empty(), "that nothing ran is not known");
}

#[test]
fn a_hold_that_no_keeper_takes_is_given_up_after_two_tellings_and_told_no_more() {
    let mut world = World::started_at(5, 4);
    world.run(50 * MS);
    for number in 0..20 {
        world.ask(0, 0, &format!("early-{number}").into());
    }
    world.run(80 * MS);
    assert_eq!((world.unsure, world.rejected.len()), (20, 20), "nobody is kept waiting for what cannot be");
    world.run(3_000 * MS);
    assert!(world.writes <= 20 * (2 + 3), "{} messages for 20 holds", world.writes);
    world.check();
    assert!(world.runs.is_empty());
}

#[test]
fn a_hold_asks_a_majority_of_its_keepers_and_no_more() {
    let mut world = World::new(5, 6);
    for number in 0..40 {
        world.ask(number * 50 * MS, 0, &format!("quiet-{number}").into());
    }
    world.run(3_000 * MS);
    world.check();
    assert_eq!(world.told.len(), 40);
    // Two acceptors each at most, once for the intent and once for the end; one where this process is an
    // acceptor itself.
    assert!(world.writes <= 40 * 4, "{} messages for 40 holds", world.writes);
}

#[test]
fn who_waits_for_an_end_elsewhere_hears_of_it_when_it_comes() {
    for seed in 0..20 {
        let mut world = World::new(5, seed);
        let id: QueryId = format!("slow-{seed}").into();
        world.ask(0, 0, &id);
        world.run(3 * MS);
        world.all[0].paused_until = world.now + 900 * MS;
        (1..5).for_each(|at| world.ask(100 * MS, at, &id));
        world.run(3_000 * MS);
        world.check();
        let times: Vec<u64> = world.heard.iter().map(|(at, _)| *at).collect();
        let (first, last) = (times.iter().min(), times.iter().max());
        let apart = last.zip(first).map(|(last, first)| last - first);
        assert_eq!(world.heard.iter().map(|(_, who)| who).collect::<BTreeSet<_>>().len(), 5, "seed {seed}");
        assert!(apart.is_some_and(|apart| apart < 40 * MS), "seed {seed}: {apart:?} us apart");
    }
}

#[test]
fn keepers_that_started_together_do_not_tell_each_other_over_and_over_what_they_hold() {
    let mut world = World::new(5, 7);
    for number in 0..200 {
        world.ask(number * 5 * MS, number as usize % 5, &format!("kept-{number}").into());
    }
    world.run(1_500 * MS);
    assert_eq!(world.told.len(), 200);
    // Three of five: nobody becomes whole before twice the longest life, and all ask for it until then.
    (0..3).for_each(|at| world.kill(at));
    (0..3).for_each(|at| world.restart(at));
    world.paged = 0;
    world.run(3_000 * MS);
    // The two that are whole tell each of the three once.
    assert!(world.paged > 0 && world.paged <= 200 * 2 * 3, "{} records for 200 ids", world.paged);
}

// Found by reading: a takeover manager had nothing to do and no time for it before its first link, so that
// who was asked before was never told anything, however long it waited.
#[test]
fn a_hold_asked_before_the_first_link_is_given_up_as_one_that_no_keeper_takes() {
    let mut manager = World::manager(0, 5);
    let (id, payload): (QueryId, _) = ("alone".into(), payload());
    let (mut now, mut actions) = (0, Vec::new());
    manager.request_permit(
        now,
        ClientRequest { id: &id, payload: &payload, deadline: LIFE, is_first_attempt: true },
        0,
        0,
    );
    while let Some(due) = manager.poll_timeout().filter(|due| *due <= LIFE + 2_000 * MS) {
        now = due.max(now + 1);
        manager.handle_timeout(now);
        actions.extend(
            manager
                .take_actions()
                .into_iter()
                .filter(|action| !matches!(action, Action::Send { .. }))
                .map(|action| (now, action)),
        );
    }
    let denied = Action::PermitDecided { id: Arc::clone(&id), part: 0, attempt: 0, granted: false };
    let told = Action::OutcomeUnknown { id: Arc::clone(&id), not_executed: true };
    let at = |what: &Action| actions.iter().find(|(_, action)| action == what).map(|(at, _)| *at);
    assert!(at(&denied).is_some_and(|at| at <= 210 * MS), "{actions:?}");
    assert!(at(&told).is_some_and(|at| at <= 210 * MS), "{actions:?}");
    assert_eq!(manager.usage().queries, 0, "nothing is kept of it");
}
