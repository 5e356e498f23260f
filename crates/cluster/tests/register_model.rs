//! The register under every order of events: what is sent may be lost and swapped, processes may stop for any
//! time between any two steps, and acceptors start again with nothing. The very code of the program runs in it;
//! the model only carries messages.
//!
//! Small fleets are searched whole by stateright; larger ones, with doubled messages as well, by random walks from
//! a seed. `REGISTER_WALKS` sets how many (in thousands); CI takes fewer.

use std::collections::BTreeSet;
use std::sync::Arc;

use mallowgauge_cluster::register::{
    Acceptor, AcceptorLimits, AcceptorReply, AttemptRef, Ballot, OpenedAt, Proposer, ProposerPhase,
    ProposerRequest, QueryId, StateTransfer,
};
use mallowgauge_cluster::{Incarnation, PeerId};
use stateright::{Checker, Model, Property};

const BOUNDS: AcceptorLimits = AcceptorLimits { records: 100, bytes: 1 << 20, query_lifetime: 1_000_000 };
const KEEPERS: usize = 3;

/// What is wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Planted {
    Nothing,
    /// An attempt is sent though its intent is with nobody.
    SkipTheIntent,
    /// An acceptor that starts again gives its word at once.
    ForgetAPromise,
    /// What was granted once is not asked for again, and a fence is not looked at: one acceptor's word is enough.
    SendAfterTheFence,
    /// An answer is told when it is written, not when it is recorded.
    AnswerBeforeTheRecord,
    /// One promise is enough to take over.
    AdoptWithoutAMajority,
    /// Acceptors take what counts on incarnations that are over.
    CountOnThePast,
}

#[derive(Clone, Copy, Debug)]
struct Fleet {
    rivals: usize,
    crashes: u8,
    /// What was delivered may come again.
    doubling: bool,
    /// The owner opens the id first and has something to send only later.
    lazy: bool,
    planted: Planted,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Packet {
    ProposerRequest(usize, usize, ProposerRequest),
    AcceptorReply(usize, usize, AcceptorReply),
    Meet(usize, usize, Incarnation),
    StateTransfer(usize, StateTransfer),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    acceptors: Vec<Acceptor>,
    proposers: Vec<Option<Proposer>>,
    /// What is never delivered is lost.
    wire: BTreeSet<Packet>,
    intent_versions: Vec<Option<AttemptRef>>,
    sent: Vec<bool>,
    told: BTreeSet<Arc<[u8]>>,
    crashes: u8,
    /// The owner has something to send.
    ready: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    /// A client asks, or somebody takes over.
    Start(usize),
    Deliver(Box<Packet>),
    /// The attempt leaves for the host: any time after the permit was given.
    Send(usize),
    /// The owner has something to send.
    Ready,
    /// An acceptor starts again with nothing.
    Crash(usize),
}

fn incarnation(number: u64) -> Incarnation {
    Incarnation { number, nonce: 0 }
}

fn id() -> QueryId {
    "q".into()
}

fn acceptors() -> Vec<PeerId> {
    (0..KEEPERS as u16).map(PeerId).collect()
}

/// An acceptor that has heard from the others that there is nothing to hear.
fn founder(at: usize, number: u64) -> Acceptor {
    let mut acceptor = Acceptor::new(0, PeerId(at as u16), incarnation(number), KEEPERS, KEEPERS, BOUNDS);
    for from in acceptors().into_iter().filter(|from| usize::from(from.0) != at) {
        acceptor.receive_transfer(
            0,
            StateTransfer {
                from,
                incarnation: incarnation(1),
                to: incarnation(number),
                epoch: 0,
                remembers_all: true,
                records: Vec::new(),
                after: None,
                next: None,
            },
        );
    }
    acceptor
}

/// When all were in their first life.
fn opened_at() -> OpenedAt {
    let incarnations = acceptors().into_iter().map(|peer| (peer, incarnation(1))).collect();
    OpenedAt { incarnations, epochs: acceptors().into_iter().map(|peer| (peer, 0)).collect() }
}

impl Fleet {
    fn ballot(at: usize) -> Ballot {
        Ballot {
            round: at as u32,
            proposer: PeerId(10 + at as u16),
            incarnation: incarnation(1),
            sequence: 1,
        }
    }

    /// What an actor does of itself, and what it then wants to tell acceptors.
    fn drive(&self, world: &mut World, at: usize, said: &[Option<ProposerRequest>]) {
        let Some(proposer) = &mut world.proposers[at] else { return };
        if proposer.phase() == ProposerPhase::Active {
            let waits = self.lazy && at == 0 && !world.ready;
            if waits {
                // Its opening goes out as it is.
            } else if world.intent_versions[at].is_none() && proposer.inherited_outcome().is_none() {
                world.intent_versions[at] = proposer.propose_intent(0, 0);
            }
            // Whoever sent it knows how it ended; whoever may not send it says that it may have run.
            if world.sent[at] {
                proposer.propose_outcome(format!("ran, says {at}").into_bytes().into());
            } else if world.intent_versions[at].is_none() && !waits {
                proposer.propose_outcome(b"may have run"[..].into());
            }
        }
        let early = self.planted == Planted::AnswerBeforeTheRecord && world.sent[at];
        let told = if early {
            Some(format!("ran, says {at}").into_bytes().into())
        } else {
            proposer.chosen_outcome().cloned()
        };
        world.told.extend(told);
        for acceptor in proposer.pending_acceptors() {
            // What was said before would only be said again: a lost message and a late one are the same here.
            let request = proposer
                .request_for(acceptor)
                .filter(|request| said.iter().flatten().all(|known| known != request));
            let Some(mut request) = request else { continue };
            if self.planted == Planted::CountOnThePast {
                if let ProposerRequest::Accept { incarnations, .. } = &mut request {
                    incarnations.clear();
                }
                if let ProposerRequest::Open { incarnations, .. } = &mut request {
                    incarnations.retain(|peer, _| *peer == acceptor);
                }
            }
            world.wire.insert(Packet::ProposerRequest(at, usize::from(acceptor.0), request));
        }
    }

    /// What an actor has said to acceptors so far.
    fn said(world: &World, at: usize) -> Vec<Option<ProposerRequest>> {
        let request = |peer| world.proposers[at].as_ref().and_then(|proposer| proposer.request_for(peer));
        acceptors().into_iter().map(request).collect()
    }

    fn deliver(&self, world: &mut World, packet: Packet) -> Option<()> {
        match packet {
            Packet::ProposerRequest(from, to, request) => {
                let reply = world.acceptors[to].handle_request(0, request);
                world.wire.extend(reply.map(|reply| Packet::AcceptorReply(to, from, reply)));
            }
            Packet::AcceptorReply(from, to, reply) => {
                let said = Self::said(world, to);
                world.proposers[to].as_mut()?.handle_reply(PeerId(from as u16), reply);
                self.drive(world, to, &said);
            }
            Packet::Meet(from, to, incarnation) => {
                let transfer = world.acceptors[to].serve_transfer(0, PeerId(from as u16), incarnation, None);
                world.wire.insert(Packet::StateTransfer(from, transfer));
            }
            Packet::StateTransfer(to, transfer) => drop(world.acceptors[to].receive_transfer(0, transfer)),
        }
        Some(())
    }

    fn may_send(&self, world: &World, at: usize) -> bool {
        let (Some(proposer), Some(intent)) = (&world.proposers[at], world.intent_versions[at]) else {
            return false;
        };
        !world.sent[at]
            && match self.planted {
                Planted::SkipTheIntent => true,
                Planted::SendAfterTheFence => {
                    proposer.phase() != ProposerPhase::Preparing
                        && world.acceptors.iter().any(|acceptor| {
                            acceptor.record(&id()).is_some_and(|record| record.intents.contains(&intent))
                        })
                }
                _ => proposer.is_permitted(intent),
            }
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let proposers = 1 + self.rivals;
        vec![World {
            acceptors: (0..KEEPERS).map(|at| founder(at, 1)).collect(),
            proposers: vec![None; proposers],
            wire: BTreeSet::new(),
            intent_versions: vec![None; proposers],
            sent: vec![false; proposers],
            told: BTreeSet::new(),
            crashes: self.crashes,
            ready: false,
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Act>) {
        for at in 0..world.proposers.len() {
            // Nobody takes over what was never asked.
            if world.proposers[at].is_none() && (at == 0 || world.proposers[0].is_some()) {
                actions.push(Act::Start(at));
            }
            if self.may_send(world, at) {
                actions.push(Act::Send(at));
            }
        }
        actions.extend(world.wire.iter().cloned().map(Box::new).map(Act::Deliver));
        if self.lazy && !world.ready && world.proposers[0].is_some() {
            actions.push(Act::Ready);
        }
        if world.crashes > 0 {
            actions.extend((0..KEEPERS).map(Act::Crash));
        }
    }

    fn next_state(&self, before: &World, act: Act) -> Option<World> {
        let mut world = before.clone();
        if let (Act::Deliver(packet), false) = (&act, self.doubling) {
            world.wire.remove(&**packet);
        }
        match act {
            Act::Start(at) => {
                let proposer = if at == 0 {
                    Proposer::open(id(), Self::ballot(0), acceptors(), opened_at(), b"what"[..].into())
                } else {
                    let mut proposer = Proposer::prepare(id(), Self::ballot(at), acceptors(), opened_at());
                    if self.planted == Planted::AdoptWithoutAMajority {
                        // Two acceptors are made up that promise and hold nothing.
                        for from in [PeerId(0), PeerId(1)] {
                            let (id, ballot) = (id(), Self::ballot(at));
                            proposer.handle_reply(
                                from,
                                AcceptorReply::Promised {
                                    id,
                                    ballot,
                                    incarnation: incarnation(1),
                                    record: None,
                                },
                            );
                        }
                        // What is written needs no promise either, then.
                        for acceptor in &mut world.acceptors[..2] {
                            acceptor.handle_request(
                                0,
                                ProposerRequest::Prepare {
                                    id: id(),
                                    ballot: Self::ballot(at),
                                    opened_at: opened_at(),
                                },
                            );
                        }
                    }
                    proposer
                };
                world.proposers[at] = Some(proposer);
                self.drive(&mut world, at, &[]);
            }
            Act::Send(at) => {
                let said = Self::said(&world, at);
                world.sent[at] = true;
                self.drive(&mut world, at, &said);
            }
            Act::Deliver(packet) => self.deliver(&mut world, *packet)?,
            Act::Ready => {
                let said = Self::said(&world, 0);
                world.ready = true;
                self.drive(&mut world, 0, &said);
            }
            Act::Crash(at) => {
                world.crashes -= 1;
                let number = world.acceptors[at].incarnation().number + 1;
                world.acceptors[at] = match self.planted {
                    Planted::ForgetAPromise => founder(at, 1),
                    _ => Acceptor::new(0, PeerId(at as u16), incarnation(number), KEEPERS, KEEPERS, BOUNDS),
                };
                for to in (0..KEEPERS).filter(|to| *to != at) {
                    world.wire.insert(Packet::Meet(at, to, incarnation(number)));
                }
            }
        }
        (world != *before).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("an effect is sent once", |_, world: &World| {
                world.sent.iter().filter(|sent| **sent).count() <= 1
            }),
            Property::always("one outcome is told", |_, world: &World| world.told.len() <= 1),
            Property::always("what was sent is never told as not sent by others", |_, world: &World| {
                // Whoever is told that it ran is told by who ran it.
                world.told.iter().all(|told| match told.strip_prefix(b"ran, says ") {
                    Some(by) => by.first().is_some_and(|by| world.sent[usize::from(by - b'0')]),
                    None => true,
                })
            }),
            Property::sometimes("the owner's outcome is told", |_, world: &World| {
                world.told.contains(&b"ran, says 0"[..])
            }),
            Property::sometimes("a rival's outcome is told", |_, world: &World| {
                world.told.contains(&b"ran, says 1"[..])
            }),
        ]
    }
}

const RULES: [&str; 3] =
    ["an effect is sent once", "one outcome is told", "what was sent is never told as not sent by others"];

fn words(fleet: &Fleet) -> String {
    format!("{} rivals, {} crashes, {:?}", fleet.rivals, fleet.crashes, fleet.planted)
}

/// All states that a fleet can come to.
fn whole(rivals: usize, crashes: u8) {
    let fleet = Fleet { rivals, crashes, doubling: false, lazy: false, planted: Planted::Nothing };
    let threads = std::thread::available_parallelism().map_or(2, std::num::NonZero::get);
    let checker = fleet.checker().threads(threads).spawn_bfs().join();
    println!(
        "{}: {} states, {} unique, depth {}",
        words(&fleet),
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    for rule in RULES {
        let path = checker.discovery(rule).map(|path| path.into_actions());
        assert!(path.is_none(), "{rule}: {path:#?}");
    }
    assert!(checker.discovery("the owner's outcome is told").is_some(), "nothing happens in it");
    assert!(rivals == 0 || checker.discovery("a rival's outcome is told").is_some(), "nobody takes over");
}

/// Random walks; the first rule that one breaks, with the steps that led there.
fn walk(fleet: Fleet, walks: u64) -> Option<(&'static str, Vec<Act>)> {
    let properties = fleet.properties();
    let (mut steps, mut told) = (0_u64, 0_u64);
    for seed in 0..walks {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut world = fleet.init_states().remove(0);
        let mut taken = Vec::new();
        for _ in 0..80 {
            let mut actions = Vec::new();
            fleet.actions(&world, &mut actions);
            if actions.is_empty() {
                break;
            }
            let act = actions.swap_remove(rng.usize(0..actions.len()));
            let Some(next) = fleet.next_state(&world, act.clone()) else { continue };
            world = next;
            steps += 1;
            taken.push(act);
            for property in properties.iter().filter(|property| RULES.contains(&property.name)) {
                if !(property.condition)(&fleet, &world) {
                    return Some((property.name, taken));
                }
            }
        }
        told += u64::from(!world.told.is_empty());
    }
    println!("{}: {walks} walks, {steps} steps, an outcome told in {told}", words(&fleet));
    assert!(told > 0, "nothing happens in them");
    None
}

fn walks(usual: u64) -> u64 {
    std::env::var("REGISTER_WALKS").ok().and_then(|n| n.parse::<u64>().ok()).map_or(usual, |n| n * 1000)
}

#[test]
fn an_owner_alone() {
    whole(0, 0);
}

#[test]
fn a_keeper_that_forgets() {
    whole(0, 1);
}

#[test]
#[ignore = "takes minutes: make test-register"]
fn one_rival() {
    whole(1, 0);
}

#[test]
fn random_walks_break_no_rule() {
    for (rivals, crashes) in [(1, 0), (2, 0), (1, 1), (2, 1), (2, 2)] {
        for doubling in [false, true] {
            let fleet = Fleet { rivals, crashes, doubling, lazy: crashes > 0, planted: Planted::Nothing };
            let broken = walk(fleet, walks(600));
            assert!(broken.is_none(), "{fleet:?}: {broken:#?}");
        }
    }
}

// A model that finds nothing wrong proves nothing: each fault is found, and by the rule that it breaks.
#[test]
fn each_planted_fault_is_found() {
    for (planted, crashes) in [
        (Planted::SkipTheIntent, 0),
        (Planted::SendAfterTheFence, 0),
        (Planted::AnswerBeforeTheRecord, 0),
        (Planted::AdoptWithoutAMajority, 0),
        (Planted::ForgetAPromise, 1),
    ] {
        let fleet = Fleet { rivals: 1, crashes, doubling: false, lazy: false, planted };
        let broken = walk(fleet, 100_000);
        let (rule, steps) = broken.unwrap_or_else(|| panic!("{planted:?} was not found"));
        println!("{planted:?}: {rule}, after {} steps", steps.len());
    }
}

/// All acceptors take the owner's opening; then acceptor 0 alone takes its intent, and starts again. It hears from the
/// others, which know of no intent yet; then acceptor 1 gets it, late. A rival takes over by 0 and 2. How many send.
fn late_intent(planted: Planted) -> usize {
    let fleet = Fleet { rivals: 1, crashes: 1, doubling: false, lazy: true, planted };
    let mut world = fleet.init_states().remove(0);
    let mut step = |pick: &dyn Fn(&Act) -> bool| {
        let mut actions = Vec::new();
        fleet.actions(&world, &mut actions);
        let act = actions.into_iter().find(|act| pick(act));
        let next = act.and_then(|act| fleet.next_state(&world, act));
        if let Some(next) = next {
            world = next;
        }
        world.sent.iter().filter(|sent| **sent).count()
    };
    let request = |from: usize, to: usize| move |act: &Act| matches!(act, Act::Deliver(p) if matches!(**p, Packet::ProposerRequest(f, t, _) if (f, t) == (from, to)));
    let reply = |from: usize, to: usize| move |act: &Act| matches!(act, Act::Deliver(p) if matches!(**p, Packet::AcceptorReply(f, t, _) if (f, t) == (from, to)));
    step(&|act| *act == Act::Start(0));
    for acceptor in 0..KEEPERS {
        step(&request(0, acceptor));
        step(&reply(acceptor, 0));
    }
    step(&|act| *act == Act::Ready);
    step(&request(0, 0));
    step(&reply(0, 0));
    step(&|act| *act == Act::Crash(0));
    for _ in 0..4 {
        step(
            &|act| matches!(act, Act::Deliver(p) if matches!(**p, Packet::Meet(..) | Packet::StateTransfer(..))),
        );
    }
    step(&request(0, 1));
    step(&reply(1, 0));
    step(&|act| *act == Act::Send(0));
    step(&|act| *act == Act::Start(1));
    for _ in 0..3 {
        for acceptor in [0, 2] {
            step(&request(1, acceptor));
            step(&reply(acceptor, 1));
        }
    }
    step(&|act| *act == Act::Send(1))
}

// Guards the fence by incarnations: a word that was given and forgotten is counted by nobody.
#[test]
fn a_word_of_an_earlier_life_is_not_counted_with_one_given_after_it() {
    assert_eq!(late_intent(Planted::CountOnThePast), 2, "the fault that the fence is against");
    assert_eq!(late_intent(Planted::Nothing), 1);
}
