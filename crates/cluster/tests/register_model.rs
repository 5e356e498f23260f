//! Model checking of the register: messages may be lost and reordered, processes may pause for any time
//! between any two steps, and acceptors may restart without their state. The model runs the program's own
//! acceptors and proposers and only delivers their messages.
//!
//! Small models are checked exhaustively with stateright; larger ones, also with duplicated messages, by
//! random walks from fixed seeds. `REGISTER_WALKS` sets the number of walks, in thousands; CI runs fewer.

use std::collections::BTreeSet;
use std::sync::Arc;

use mallowgauge_cluster::register::{
    Acceptor, AcceptorLimits, AcceptorReply, AttemptRef, Ballot, OpenedAt, Proposer, ProposerPhase,
    ProposerRequest, QueryId, StateTransfer,
};
use mallowgauge_cluster::{Incarnation, PeerId};
use stateright::{Checker, Model, Property};

const LIMITS: AcceptorLimits = AcceptorLimits { records: 100, bytes: 1 << 20, query_lifetime: 1_000_000 };
const ACCEPTOR_COUNT: usize = 3;

/// A fault that is injected into the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedFault {
    None,
    /// An attempt is sent although no acceptor has accepted its intent.
    SendWithoutIntent,
    /// A restarted acceptor gives promises at once, without recovery.
    ForgetPromise,
    /// An attempt is sent once a single acceptor has its intent, even by a fenced proposer.
    SendAfterFencing,
    /// A response is reported before a majority has accepted it.
    RespondBeforeRecord,
    /// A takeover proceeds after a single promise.
    TakeOverWithoutMajority,
    /// Acceptors accept proposals that rely on incarnations that have ended.
    AcceptEndedIncarnations,
}

#[derive(Clone, Copy, Debug)]
struct RegisterModel {
    /// Number of proposers that try to take the query over.
    competitors: usize,
    /// Number of acceptor restarts.
    restarts: u8,
    /// A delivered message may be delivered again.
    duplication: bool,
    /// The owner opens the query first, and proposes its intent only later.
    delayed_attempt: bool,
    fault: InjectedFault,
}

/// A message in flight, with the index of its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Packet {
    ProposerRequest(usize, usize, ProposerRequest),
    AcceptorReply(usize, usize, AcceptorReply),
    TransferRequest(usize, usize, Incarnation),
    /// Names the receiver only; the message names the sender.
    StateTransfer(usize, StateTransfer),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SystemState {
    acceptors: Vec<Acceptor>,
    /// The owner at index 0, then the competitors.
    proposers: Vec<Option<Proposer>>,
    /// A message that is never delivered counts as lost.
    in_flight: BTreeSet<Packet>,
    /// The intent of each proposer.
    intents: Vec<Option<AttemptRef>>,
    /// Whether each proposer has sent its attempt.
    sent: Vec<bool>,
    reported_outcomes: BTreeSet<Arc<[u8]>>,
    /// Restarts that may still happen.
    restarts: u8,
    /// The owner may propose its intent.
    attempt_ready: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// A client submits the query, or a competitor starts a takeover.
    Start(usize),
    Deliver(Box<Packet>),
    /// A proposer sends its attempt, at any time after the permit was granted.
    Send(usize),
    /// The owner may propose its intent.
    AttemptReady,
    /// An acceptor restarts without its state.
    Restart(usize),
}

fn incarnation(number: u64) -> Incarnation {
    Incarnation { number, nonce: 0 }
}

fn id() -> QueryId {
    "q".into()
}

fn acceptors() -> Vec<PeerId> {
    (0..ACCEPTOR_COUNT as u16).map(PeerId).collect()
}

/// Returns an acceptor that has received empty state transfers from all others.
fn recovered_acceptor(index: usize, number: u64) -> Acceptor {
    let mut acceptor = restarted_acceptor(index, number);
    for from in acceptors().into_iter().filter(|from| usize::from(from.0) != index) {
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

/// Returns an acceptor that has restarted and received no state transfers yet.
fn restarted_acceptor(index: usize, number: u64) -> Acceptor {
    Acceptor::new(0, PeerId(index as u16), incarnation(number), ACCEPTOR_COUNT, ACCEPTOR_COUNT, LIMITS)
}

/// The outcome that a proposer proposes after it has sent the attempt.
fn response_of(proposer: usize) -> Arc<[u8]> {
    format!("response of {proposer}").into_bytes().into()
}

/// A query that was opened while all acceptors were in their first incarnation.
fn opened_at() -> OpenedAt {
    let incarnations = acceptors().into_iter().map(|peer| (peer, incarnation(1))).collect();
    OpenedAt { incarnations, epochs: acceptors().into_iter().map(|peer| (peer, 0)).collect() }
}

impl RegisterModel {
    fn ballot(index: usize) -> Ballot {
        Ballot {
            round: index as u32,
            proposer: PeerId(10 + index as u16),
            incarnation: incarnation(1),
            sequence: 1,
        }
    }

    /// Takes the next steps of a proposer, and sends the requests that differ from `earlier`.
    fn advance(&self, state: &mut SystemState, index: usize, earlier: &[Option<ProposerRequest>]) {
        let Some(proposer) = &mut state.proposers[index] else { return };
        if proposer.phase() == ProposerPhase::Active {
            let waits = self.delayed_attempt && index == 0 && !state.attempt_ready;
            if waits {
                // The opening request is sent without an intent.
            } else if state.intents[index].is_none() && proposer.inherited_outcome().is_none() {
                state.intents[index] = proposer.propose_intent(0, 0);
            }
            // A proposer that sent the attempt proposes its response; one that must not send it proposes that
            // the attempt was possibly executed.
            if state.sent[index] {
                proposer.propose_outcome(response_of(index));
            } else if state.intents[index].is_none() && !waits {
                proposer.propose_outcome(b"possibly executed"[..].into());
            }
        }
        let responds_early = self.fault == InjectedFault::RespondBeforeRecord && state.sent[index];
        let reported =
            if responds_early { Some(response_of(index)) } else { proposer.chosen_outcome().cloned() };
        state.reported_outcomes.extend(reported);
        for acceptor in proposer.pending_acceptors() {
            // An unchanged request is not sent again: the earlier one stays in flight until it is delivered.
            let request = proposer
                .request_for(acceptor)
                .filter(|request| earlier.iter().flatten().all(|known| known != request));
            let Some(mut request) = request else { continue };
            if self.fault == InjectedFault::AcceptEndedIncarnations {
                // Leaves out the incarnations by which acceptors would reject the request.
                if let ProposerRequest::Accept { incarnations, .. } = &mut request {
                    incarnations.clear();
                }
                if let ProposerRequest::Open { incarnations, .. } = &mut request {
                    incarnations.retain(|peer, _| *peer == acceptor);
                }
            }
            state.in_flight.insert(Packet::ProposerRequest(index, usize::from(acceptor.0), request));
        }
    }

    /// Returns the current request of a proposer to each acceptor.
    fn current_requests(state: &SystemState, index: usize) -> Vec<Option<ProposerRequest>> {
        let request = |peer| state.proposers[index].as_ref().and_then(|proposer| proposer.request_for(peer));
        acceptors().into_iter().map(request).collect()
    }

    fn deliver(&self, state: &mut SystemState, packet: Packet) -> Option<()> {
        match packet {
            Packet::ProposerRequest(from, to, request) => {
                let reply = state.acceptors[to].handle_request(0, request);
                state.in_flight.extend(reply.map(|reply| Packet::AcceptorReply(to, from, reply)));
            }
            Packet::AcceptorReply(from, to, reply) => {
                let earlier = Self::current_requests(state, to);
                state.proposers[to].as_mut()?.handle_reply(PeerId(from as u16), reply);
                self.advance(state, to, &earlier);
            }
            Packet::TransferRequest(from, to, incarnation) => {
                let transfer = state.acceptors[to].serve_transfer(0, PeerId(from as u16), incarnation, None);
                state.in_flight.insert(Packet::StateTransfer(from, transfer));
            }
            Packet::StateTransfer(to, transfer) => drop(state.acceptors[to].receive_transfer(0, transfer)),
        }
        Some(())
    }

    /// Whether a proposer may send its attempt.
    fn may_send(&self, state: &SystemState, index: usize) -> bool {
        let (Some(proposer), Some(intent)) = (&state.proposers[index], state.intents[index]) else {
            return false;
        };
        !state.sent[index]
            && match self.fault {
                InjectedFault::SendWithoutIntent => true,
                InjectedFault::SendAfterFencing => {
                    proposer.phase() != ProposerPhase::Preparing
                        && state.acceptors.iter().any(|acceptor| {
                            acceptor.record(&id()).is_some_and(|record| record.intents.contains(&intent))
                        })
                }
                _ => proposer.is_permitted(intent),
            }
    }
}

impl Model for RegisterModel {
    type State = SystemState;
    type Action = Step;

    fn init_states(&self) -> Vec<SystemState> {
        let proposers = 1 + self.competitors;
        vec![SystemState {
            acceptors: (0..ACCEPTOR_COUNT).map(|index| recovered_acceptor(index, 1)).collect(),
            proposers: vec![None; proposers],
            in_flight: BTreeSet::new(),
            intents: vec![None; proposers],
            sent: vec![false; proposers],
            reported_outcomes: BTreeSet::new(),
            restarts: self.restarts,
            attempt_ready: false,
        }]
    }

    fn actions(&self, state: &SystemState, actions: &mut Vec<Step>) {
        for index in 0..state.proposers.len() {
            // A query is not taken over before it is submitted.
            if state.proposers[index].is_none() && (index == 0 || state.proposers[0].is_some()) {
                actions.push(Step::Start(index));
            }
            if self.may_send(state, index) {
                actions.push(Step::Send(index));
            }
        }
        actions.extend(state.in_flight.iter().cloned().map(Box::new).map(Step::Deliver));
        if self.delayed_attempt && !state.attempt_ready && state.proposers[0].is_some() {
            actions.push(Step::AttemptReady);
        }
        if state.restarts > 0 {
            actions.extend((0..ACCEPTOR_COUNT).map(Step::Restart));
        }
    }

    fn next_state(&self, before: &SystemState, step: Step) -> Option<SystemState> {
        let mut state = before.clone();
        if let (Step::Deliver(packet), false) = (&step, self.duplication) {
            state.in_flight.remove(&**packet);
        }
        match step {
            Step::Start(index) => {
                let proposer = if index == 0 {
                    Proposer::open(id(), Self::ballot(0), acceptors(), opened_at(), b"request"[..].into())
                } else {
                    let mut proposer = Proposer::prepare(id(), Self::ballot(index), acceptors(), opened_at());
                    if self.fault == InjectedFault::TakeOverWithoutMajority {
                        // The proposer gets forged promises without records from two acceptors.
                        for from in [PeerId(0), PeerId(1)] {
                            let (id, ballot) = (id(), Self::ballot(index));
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
                        // The acceptors promise the ballot, so that they accept its proposals.
                        for acceptor in &mut state.acceptors[..2] {
                            acceptor.handle_request(
                                0,
                                ProposerRequest::Prepare {
                                    id: id(),
                                    ballot: Self::ballot(index),
                                    opened_at: opened_at(),
                                },
                            );
                        }
                    }
                    proposer
                };
                state.proposers[index] = Some(proposer);
                self.advance(&mut state, index, &[]);
            }
            Step::Send(index) => {
                let earlier = Self::current_requests(&state, index);
                state.sent[index] = true;
                self.advance(&mut state, index, &earlier);
            }
            Step::Deliver(packet) => self.deliver(&mut state, *packet)?,
            Step::AttemptReady => {
                let earlier = Self::current_requests(&state, 0);
                state.attempt_ready = true;
                self.advance(&mut state, 0, &earlier);
            }
            Step::Restart(index) => {
                state.restarts -= 1;
                let number = state.acceptors[index].incarnation().number + 1;
                state.acceptors[index] = match self.fault {
                    InjectedFault::ForgetPromise => recovered_acceptor(index, 1),
                    _ => restarted_acceptor(index, number),
                };
                for to in (0..ACCEPTOR_COUNT).filter(|to| *to != index) {
                    state.in_flight.insert(Packet::TransferRequest(index, to, incarnation(number)));
                }
            }
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONE_ATTEMPT, |_, state: &SystemState| {
                state.sent.iter().filter(|sent| **sent).count() <= 1
            }),
            Property::always(ONE_OUTCOME, |_, state: &SystemState| state.reported_outcomes.len() <= 1),
            Property::always(RESPONSE_OF_SENDER, |_, state: &SystemState| {
                state.reported_outcomes.iter().all(|outcome| match outcome.strip_prefix(b"response of ") {
                    Some(proposer) => {
                        proposer.first().is_some_and(|digit| state.sent[usize::from(digit - b'0')])
                    }
                    None => true,
                })
            }),
            Property::sometimes(OWNER_RESPONDS, |_, state: &SystemState| {
                state.reported_outcomes.contains(&response_of(0))
            }),
            Property::sometimes(COMPETITOR_RESPONDS, |_, state: &SystemState| {
                state.reported_outcomes.contains(&response_of(1))
            }),
        ]
    }
}

const ONE_ATTEMPT: &str = "at most one attempt is sent";
const ONE_OUTCOME: &str = "at most one outcome is reported";
const RESPONSE_OF_SENDER: &str = "a reported response is of a proposer that sent the attempt";
const OWNER_RESPONDS: &str = "the owner's response is reported";
const COMPETITOR_RESPONDS: &str = "a competitor's response is reported";

const SAFETY_PROPERTIES: [&str; 3] = [ONE_ATTEMPT, ONE_OUTCOME, RESPONSE_OF_SENDER];

fn describe(model: &RegisterModel) -> String {
    format!("{} competitors, {} restarts, {:?}", model.competitors, model.restarts, model.fault)
}

/// Checks the safety properties in all reachable states of a model.
fn check_all_states(competitors: usize, restarts: u8) {
    let model = RegisterModel {
        competitors,
        restarts,
        duplication: false,
        delayed_attempt: false,
        fault: InjectedFault::None,
    };
    let threads = std::thread::available_parallelism().map_or(2, std::num::NonZero::get);
    let checker = model.checker().threads(threads).spawn_bfs().join();
    println!(
        "{}: {} states, {} unique, depth {}",
        describe(&model),
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    for property in SAFETY_PROPERTIES {
        let path = checker.discovery(property).map(|path| path.into_actions());
        assert!(path.is_none(), "{property}: {path:#?}");
    }
    assert!(checker.discovery(OWNER_RESPONDS).is_some(), "the owner never responds");
    let takes_over = checker.discovery(COMPETITOR_RESPONDS).is_some();
    assert!(competitors == 0 || takes_over, "no competitor ever takes over");
}

/// Takes random walks through a model. Returns the first violated safety property, with the steps that led to
/// the violation.
fn random_walk(model: RegisterModel, walks: u64) -> Option<(&'static str, Vec<Step>)> {
    let properties = model.properties();
    let (mut step_count, mut walks_with_outcome) = (0_u64, 0_u64);
    for seed in 0..walks {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut state = model.init_states().remove(0);
        let mut taken = Vec::new();
        for _ in 0..80 {
            let mut actions = Vec::new();
            model.actions(&state, &mut actions);
            if actions.is_empty() {
                break;
            }
            let step = actions.swap_remove(rng.usize(0..actions.len()));
            let Some(next) = model.next_state(&state, step.clone()) else { continue };
            state = next;
            step_count += 1;
            taken.push(step);
            for property in properties.iter().filter(|property| SAFETY_PROPERTIES.contains(&property.name)) {
                if !(property.condition)(&model, &state) {
                    return Some((property.name, taken));
                }
            }
        }
        walks_with_outcome += u64::from(!state.reported_outcomes.is_empty());
    }
    println!(
        "{}: {walks} walks, {step_count} steps, an outcome reported in {walks_with_outcome}",
        describe(&model)
    );
    assert!(walks_with_outcome > 0, "no walk reports an outcome");
    None
}

/// Returns the number of walks: `default`, unless `REGISTER_WALKS` is set.
fn walks(default: u64) -> u64 {
    let thousands = std::env::var("REGISTER_WALKS").ok().and_then(|text| text.parse::<u64>().ok());
    thousands.map_or(default, |thousands| thousands * 1000)
}

#[test]
fn an_owner_without_competitors_is_safe() {
    check_all_states(0, 0);
}

#[test]
fn an_acceptor_restart_is_safe() {
    check_all_states(0, 1);
}

#[test]
#[ignore = "takes minutes: make test-register"]
fn one_competitor_is_safe() {
    check_all_states(1, 0);
}

#[test]
fn random_walks_violate_no_safety_property() {
    for (competitors, restarts) in [(1, 0), (2, 0), (1, 1), (2, 1), (2, 2)] {
        for duplication in [false, true] {
            let model = RegisterModel {
                competitors,
                restarts,
                duplication,
                delayed_attempt: restarts > 0,
                fault: InjectedFault::None,
            };
            let violation = random_walk(model, walks(600));
            assert!(violation.is_none(), "{model:?}: {violation:#?}");
        }
    }
}

// Guards against a model that is too weak to find anything: each injected fault has to violate a property.
#[test]
fn each_injected_fault_is_found() {
    for (fault, restarts) in [
        (InjectedFault::SendWithoutIntent, 0),
        (InjectedFault::SendAfterFencing, 0),
        (InjectedFault::RespondBeforeRecord, 0),
        (InjectedFault::TakeOverWithoutMajority, 0),
        (InjectedFault::ForgetPromise, 1),
    ] {
        let model =
            RegisterModel { competitors: 1, restarts, duplication: false, delayed_attempt: false, fault };
        let violation = random_walk(model, 100_000);
        let (property, steps) = violation.unwrap_or_else(|| panic!("{fault:?} was not found"));
        println!("{fault:?}: violates \"{property}\" after {} steps", steps.len());
    }
}

/// All acceptors accept the owner's opening request. Then acceptor 0 alone accepts its intent, restarts, and
/// gets the records of the others, which have no intent yet. Then acceptor 1 gets the intent, late. A
/// competitor takes over with the promises of 0 and 2. Returns the number of proposers that send the attempt.
fn count_senders_with_late_intent(fault: InjectedFault) -> usize {
    let model =
        RegisterModel { competitors: 1, restarts: 1, duplication: false, delayed_attempt: true, fault };
    let mut state = model.init_states().remove(0);
    let mut take_step = |is_wanted: &dyn Fn(&Step) -> bool| {
        let mut actions = Vec::new();
        model.actions(&state, &mut actions);
        let step = actions.into_iter().find(|step| is_wanted(step));
        let next = step.and_then(|step| model.next_state(&state, step));
        if let Some(next) = next {
            state = next;
        }
        state.sent.iter().filter(|sent| **sent).count()
    };
    let request = |from: usize, to: usize| {
        move |step: &Step| {
            matches!(step, Step::Deliver(packet)
                if matches!(**packet, Packet::ProposerRequest(f, t, _) if (f, t) == (from, to)))
        }
    };
    let reply = |from: usize, to: usize| {
        move |step: &Step| {
            matches!(step, Step::Deliver(packet)
                if matches!(**packet, Packet::AcceptorReply(f, t, _) if (f, t) == (from, to)))
        }
    };
    let state_transfer = |step: &Step| {
        matches!(step, Step::Deliver(packet)
            if matches!(**packet, Packet::TransferRequest(..) | Packet::StateTransfer(..)))
    };
    take_step(&|step| *step == Step::Start(0));
    for acceptor in 0..ACCEPTOR_COUNT {
        take_step(&request(0, acceptor));
        take_step(&reply(acceptor, 0));
    }
    take_step(&|step| *step == Step::AttemptReady);
    take_step(&request(0, 0));
    take_step(&reply(0, 0));
    take_step(&|step| *step == Step::Restart(0));
    for _ in 0..4 {
        take_step(&state_transfer);
    }
    take_step(&request(0, 1));
    take_step(&reply(1, 0));
    take_step(&|step| *step == Step::Send(0));
    take_step(&|step| *step == Step::Start(1));
    for _ in 0..3 {
        for acceptor in [0, 2] {
            take_step(&request(1, acceptor));
            take_step(&reply(acceptor, 1));
        }
    }
    take_step(&|step| *step == Step::Send(1))
}

// Guards the fencing by incarnations: a majority must not include an acceptance that a restarted acceptor has
// forgotten. Without the fencing two proposers send the attempt.
#[test]
fn an_acceptance_of_an_earlier_incarnation_is_not_counted() {
    let without_fencing = InjectedFault::AcceptEndedIncarnations;
    assert_eq!(count_senders_with_late_intent(without_fencing), 2, "the fault that the fencing prevents");
    assert_eq!(count_senders_with_late_intent(InjectedFault::None), 1);
}
