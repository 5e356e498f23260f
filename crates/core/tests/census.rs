//! What is kept for queries, parts and hosts comes back to its base once a flood is over, on whatever path each
//! entry ended: the real core with its router, random histories from seeds, time as an argument.
//! `CENSUS_SEEDS` sets how many histories of each kind are played (thirty here).

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use mallowgauge_core::phases::{Choose, Rule, Silent, SketchBounds, Spec};
use mallowgauge_core::*;
use mallowgauge_router::{
    Budget, Class, ClassId, Discovery, Effect as Semantics, Layout, Limits, ListNews, Micros, Outcome, Phase,
    RuleFigures, ServerEntry, ServerId, Settings, ShardId,
};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const TICK: Micros = 5 * MS;
const CELLS: u32 = 6;
const DEADLINE: Micros = 4 * SECOND;

/// What is different between the histories.
#[derive(Clone, Copy, Debug)]
struct Kind {
    cancel: bool,
    copies: bool,
    /// Attempts with an effect wait for leave, and their answers for a record.
    guarded: bool,
    budget: bool,
    discovery: Discovery,
}

fn settings(kind: Kind) -> Settings {
    let class = |effect, floor| Class {
        aim: SECOND,
        aim_stretch: 0.0,
        deadline: DEADLINE,
        late_worth: if floor < 1.0 { 0.0 } else { 0.1 },
        effect,
        floor,
        need: 1.0,
        partial_worth: 0.9,
        second_step: 0,
    };
    let budget = Budget { free: 5.0, share: 0.3, window: 5 * SECOND };
    Settings {
        routers: 3,
        tick: TICK,
        classes: vec![
            class(Semantics::Safe, 1.0),
            class(Semantics::Safe, 0.5),
            class(Semantics::Unsafe, 1.0),
            class(Semantics::Keyed(SECOND), 1.0),
        ],
        layout: Layout { cells: CELLS, reach: 2, parts_per_call: 4, call_work: 6 * MS },
        limits: Limits {
            cancel: kind.cancel,
            probes: true,
            second_copies: kind.copies,
            max_attempts: 3,
            max_retry_after: SECOND,
        },
        rules: RuleFigures {
            cold_from: 0.2,
            warm_within: 3 * SECOND,
            tip_multiple: 3.0,
            fall_window: SECOND,
            budget: kind.budget.then_some(budget),
            ask_within: 0,
        },
        discovery: kind.discovery,
        zone: None,
        crossing_costs: false,
    }
}

/// What comes back to the core, and when.
enum Due {
    End(AttemptId, Outcome, Option<Value>),
    Probed(ServerId),
    List,
    /// Whether an attempt may be sent is decided elsewhere, and so is when its query's end is on record.
    Leave(Send),
    Leaves(Asker),
}

struct World {
    core: Core,
    rng: fastrand::Rng,
    now: Micros,
    due: BTreeMap<(Micros, u64), Due>,
    number: u64,
    /// What discovery holds: each server with its phase and start.
    servers: BTreeMap<u32, (Phase, Option<Micros>)>,
    /// Who waits for an answer, and who left.
    waiting: BTreeSet<Asker>,
    left: BTreeSet<Asker>,
    asked: u64,
    answered: u64,
    /// Hosts do as they should.
    calm: bool,
}

impl World {
    fn new(kind: Kind, seed: u64) -> Self {
        let names = ["search", "report", "hold", "keyed"].map(str::to_owned).to_vec();
        let bounds = Bounds { max_open: 400, shards: CELLS * 2 };
        let mut core = Core::new(seed, settings(kind), names, bounds).expect("sound settings");
        core.set_phases(PhasesSetup {
            rule: Rule::Learned,
            sketches: SketchBounds { entries: 50, age: SECOND },
        });
        if kind.guarded {
            core.guard();
        }
        let (due, servers, waiting, left) = Default::default();
        let rng = fastrand::Rng::with_seed(seed);
        let (number, asked, answered, calm) = (0, 0, 0, true);
        let mut world =
            Self { core, rng, now: 100 * SECOND, due, number, servers, waiting, left, asked, answered, calm };
        (0..CELLS).for_each(|id| _ = world.servers.insert(id, (Phase::Ready, None)));
        world.list(true);
        world.run(SECOND, 0.0);
        world
    }

    fn put(&mut self, after: Micros, due: Due) {
        self.number += 1;
        self.due.insert((self.now + after, self.number), due);
    }

    /// Discovery tells what it holds, whole or in part; what is gone it tells once.
    fn list(&mut self, whole: bool) {
        let entry = |(&id, &(phase, started)): (&u32, &(Phase, Option<Micros>))| ServerEntry {
            server: ServerId(id),
            cell: id % CELLS,
            phase,
            started,
            zone: None,
        };
        let entries: Vec<ServerEntry> = self.servers.iter().map(entry).collect();
        self.servers.retain(|_, (phase, _)| *phase != Phase::Gone);
        let gone = |entry: &ServerEntry| entry.phase == Phase::Gone;
        self.core.list(if whole {
            ListNews::Full(entries.into_iter().filter(|entry| !gone(entry)).collect())
        } else {
            ListNews::Changes(entries)
        });
    }

    /// Something happens to the hosts.
    fn change(&mut self) {
        let fresh = self.servers.keys().max().map_or(0, |id| id + 1);
        let ids: Vec<u32> = self.servers.keys().copied().collect();
        let Some(&id) = ids.get(self.rng.usize(0..ids.len().max(1))) else { return };
        let now = self.now;
        match self.rng.u32(0..6) {
            0 => _ = self.servers.insert(id, (Phase::Draining, None)),
            1 => _ = self.servers.insert(id, (Phase::Gone, None)),
            2 => _ = self.servers.insert(id, (Phase::Ready, Some(now))),
            3 => {
                // One is replaced by another of its cell.
                self.servers.insert(id, (Phase::Gone, None));
                self.servers
                    .insert(fresh + (CELLS + id % CELLS - fresh % CELLS) % CELLS, (Phase::Ready, Some(now)));
            }
            4 => return self.core.list(ListNews::Failed),
            _ => {}
        }
        let whole = self.rng.bool();
        self.list(whole);
    }

    fn ask(&mut self) {
        self.asked += 1;
        let asker = Asker::Http(self.asked);
        let class = self.rng.usize(0..4);
        let first = self.rng.u32(0..CELLS * 2);
        let count = self.rng.u32(1..=8);
        let parts = (0..count)
            .map(|i| AskPart { shard: ShardId((first + i) % (CELLS * 2)), weight: 1.0 / f64::from(count) });
        let chooses = [Choose::Best(2), Choose::Threshold, Choose::Share(0.6), Choose::All];
        let spec = Spec {
            choose: chooses[self.rng.usize(0..4)],
            top: 3,
            wave: self.rng.usize(1..4),
            silent: if self.rng.bool() { Silent::Ask } else { Silent::Skip },
        };
        let planned = self.rng.u32(0..3) == 0;
        // Some ids come again: asked again, or by chance.
        let id = if self.rng.u32(0..10) == 0 { self.asked / 2 } else { self.asked };
        let ask = Ask {
            id: format!("query-{id}").into(),
            class: ClassId(class),
            expires_in: self.rng.u64(0..DEADLINE * 2),
            retry: self.rng.u32(0..5) == 0,
            work_hint: None,
            text: Rc::from(&b"what"[..]),
            parts: parts.collect(),
            plan: planned.then(|| PlanAsk { spec, scout: Rc::from(&b"scout"[..]) }),
        };
        if self.core.ask(self.now, asker, ask).is_ok() {
            assert!(self.waiting.insert(asker));
            if self.rng.u32(0..3) == 0 {
                let after = self.rng.u64(0..2 * SECOND);
                self.put(after, Due::Leaves(asker));
            }
        } else {
            self.answered += 1;
        }
    }

    /// What becomes of an attempt that was sent.
    fn sent(&mut self, send: &Send) {
        let scout = &*send.text == b"scout";
        let value = match (scout, self.rng.u32(0..10)) {
            (_, 0) if !self.calm => "odd",
            (true, _) => r#"{"bound":3.0,"count":2}"#,
            (false, _) => r#"[{"score":2.0,"id":"a"},{"score":1.0,"id":"b"}]"#,
        };
        let value = Some(value.into());
        let soon = self.rng.u64(MS..60 * MS);
        let (outcome, after) = match if self.calm { 99 } else { self.rng.u32(0..30) } {
            0 | 1 => (Outcome::Fault, soon),
            2 | 3 => (Outcome::NoRoom, soon),
            4 => (Outcome::Cut, soon),
            5 => (Outcome::NoRoute, soon),
            6 => (Outcome::NeverSent, 0),
            // It never ends, and its time is up one day; or its answer comes late.
            7 => return,
            8 | 9 => (Outcome::Served, soon * 60),
            _ => (Outcome::Served, soon),
        };
        let value = value.filter(|_| outcome == Outcome::Served);
        self.put(after, Due::End(send.attempt, outcome, value));
    }

    fn effect(&mut self, effect: Effect) {
        match effect {
            Effect::Call(_, sends) => sends.iter().for_each(|send| self.sent(send)),
            // What is called off may still be answered, late.
            Effect::Abandon(..) => {}
            // Half of them had not begun.
            Effect::Withdraw(_, id) => {
                if self.rng.bool() {
                    self.put(0, Due::End(id, Outcome::NeverSent, None));
                }
            }
            Effect::Reply(asker, _) => self.reply(asker),
            Effect::Leave(_, send) => {
                let after = self.rng.u64(0..30 * MS);
                self.put(after, Due::Leave(send));
            }
            Effect::Record(recorded) => recorded.askers.into_iter().for_each(|asker| self.reply(asker)),
            Effect::Watch | Effect::Fetch => {
                let after = self.rng.u64(MS..300 * MS);
                self.put(after, Due::List);
            }
            Effect::Probe(server) => self.put(10 * MS, Due::Probed(server)),
        }
    }

    fn reply(&mut self, asker: Asker) {
        // Of a query with an effect also who left is told; nobody is told twice.
        assert!(self.waiting.remove(&asker) || self.left.remove(&asker), "{asker:?} is told twice");
        self.answered += 1;
    }

    /// Plays so long, with so many queries a turn.
    fn run(&mut self, time: Micros, rate: f64) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= self.now) {
                match entry.remove() {
                    Due::End(id, outcome, value) => self.core.outcome(self.now, id, outcome, value),
                    Due::Probed(server) => {
                        let passed = self.calm || self.rng.bool();
                        self.core.probed(server, passed);
                    }
                    Due::List => self.list(true),
                    Due::Leave(send) if !self.core.is_out(send.attempt) => {}
                    Due::Leave(send) if !self.calm && self.rng.u32(0..5) == 0 => {
                        self.core.outcome(self.now, send.attempt, Outcome::NeverSent, None);
                    }
                    Due::Leave(send) => self.sent(&send),
                    Due::Leaves(asker) => {
                        if self.waiting.remove(&asker) {
                            self.left.insert(asker);
                            self.core.gone(asker);
                        }
                    }
                }
            }
            let mut left = rate;
            while self.rng.f64() < left {
                self.ask();
                left -= 1.0;
            }
            if !self.calm && self.rng.u32(0..60) == 0 {
                self.change();
            }
            for effect in self.core.turn(self.now) {
                self.effect(effect);
            }
        }
    }

    /// All hosts are sound and listed, and all that the flood left has had its time.
    fn settle(&mut self) {
        self.calm = true;
        self.servers = (0..CELLS).map(|id| (id, (Phase::Ready, None))).collect();
        self.list(true);
        self.run(DEADLINE + 6 * SECOND, 0.0);
        // As the watch does each ten seconds at the latest.
        self.core.list(ListNews::Changes(Vec::new()));
        self.run(SECOND, 0.0);
    }
}

fn kinds() -> Vec<Kind> {
    let mut kinds = Vec::new();
    for bits in 0..8_u32 {
        let [cancel, copies, guarded] = [1, 2, 4].map(|bit| bits & bit > 0);
        let discovery = if bits % 3 == 0 { Discovery::Push } else { Discovery::Ask };
        kinds.push(Kind { cancel, copies, guarded, budget: bits % 2 == 0, discovery });
    }
    kinds
}

#[test]
fn all_that_is_kept_comes_back_to_its_base_after_a_flood() {
    let seeds = std::env::var("CENSUS_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(30);
    let mut most: BTreeMap<&str, usize> = BTreeMap::new();
    for kind in kinds() {
        for seed in 0..seeds {
            let mut world = World::new(kind, seed);
            // The last answers by which overdue parts are told are bounded, and kept.
            let kept = |mut census: BTreeMap<&'static str, usize>| {
                assert!(census.remove("answers").is_some_and(|kept| kept <= 33));
                census
            };
            let base = kept(world.core.census());
            world.calm = false;
            for _ in 0..4 {
                world.run(700 * MS, 0.8);
                for (name, count) in world.core.census() {
                    let seen = most.entry(name).or_default();
                    *seen = (*seen).max(count);
                }
            }
            world.settle();
            assert_eq!(kept(world.core.census()), base, "{kind:?} seed {seed}");
            assert!(world.waiting.is_empty(), "{kind:?} seed {seed}: never answered {:?}", world.waiting);
        }
    }
    // The flood filled each of them, or the count of it says nothing; what is ready goes out in its turn.
    let empty: Vec<_> = most.iter().filter(|(_, most)| **most == 0).map(|(name, _)| *name).collect();
    assert!(
        empty.iter().all(|name| ["events", "ready"].contains(name)),
        "never filled: {empty:?} of {most:?}"
    );
}
