//! The takeover managers of several processes in a simulated network with simulated time. Owners are killed,
//! paused and restarted; messages are lost, duplicated and delayed; and clients submit queries again at other
//! processes. Executions are counted at the backend. `TAKEOVER_SEEDS` sets the number of random runs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use mallowgauge_cluster::register::{AcceptorLimits, ProposerRequest, QueryId};
use mallowgauge_cluster::takeover::{
    Action, ClientRequest, Message, QueryEnd, TakeoverConfig, TakeoverManager,
};
use mallowgauge_cluster::{Incarnation, PeerId};

const MS: u64 = 1000;
const QUERY_LIFETIME: u64 = 4_000 * MS;

/// An event of the simulation, with the index of the process.
#[derive(Clone, Debug)]
enum Event {
    /// A message from one process to another is delivered.
    Message(usize, usize, Box<Message>),
    /// A backend receives an attempt and executes it.
    Execute(usize, QueryId),
    /// The backend's response arrives, for the incarnation that sent the attempt.
    Respond(usize, u64, QueryId),
    /// A client submits a query, and waits until this time.
    Submit(usize, QueryId, u64),
}

struct Process {
    manager: TakeoverManager,
    incarnation: u64,
    killed: bool,
    paused_until: u64,
    /// Number of attempts of each query in this incarnation.
    attempts: BTreeMap<QueryId, u32>,
}

struct Cluster {
    now: u64,
    rng: fastrand::Rng,
    processes: Vec<Process>,
    /// By time and sequence number.
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    /// Fraction of messages that are lost.
    loss_rate: f64,
    /// Fraction of messages that are sent twice.
    duplication_rate: f64,
    /// Directed links (from, to) on which messages are lost.
    blocked: BTreeSet<(usize, usize)>,
    /// Executions of each query at the backend.
    executions: BTreeMap<QueryId, u32>,
    /// All outcomes of each query that were reported to clients.
    outcomes: BTreeMap<QueryId, BTreeSet<Arc<[u8]>>>,
    unknown_outcomes: u32,
    /// `ReadRecord` requests to other processes.
    record_reads: u32,
    /// `Open` and `Accept` requests to other processes.
    remote_proposals: u32,
    /// Records in state transfers.
    transferred_records: usize,
    /// When, and by which process, outcomes were reported.
    reports: Vec<(u64, usize)>,
    /// Submissions of each query that reached a process.
    submissions: BTreeMap<QueryId, u32>,
    /// Fraction of attempts that are revoked while they wait for their permit.
    revocation_rate: f64,
    /// Fraction of repeated submissions that are rejected.
    rejection_rate: f64,
    /// Queries that were reported as not executed to a client.
    reported_not_executed: BTreeSet<QueryId>,
}

fn incarnation(number: u64) -> Incarnation {
    Incarnation { number, nonce: 0 }
}

fn payload() -> Arc<[u8]> {
    b"the body"[..].into()
}

impl Cluster {
    /// Creates a cluster whose acceptors have recovered.
    fn new(count: usize, seed: u64) -> Self {
        let mut cluster = Self::just_started(count, seed);
        // All processes start at once, so they abstain until no query from before can be submitted again.
        cluster.run(2 * QUERY_LIFETIME + 600 * MS);
        cluster
    }

    /// Creates a cluster whose processes have just started.
    fn just_started(count: usize, seed: u64) -> Self {
        let mut cluster = Self {
            now: 0,
            rng: fastrand::Rng::with_seed(seed),
            processes: Vec::new(),
            events: BTreeMap::new(),
            event_count: 0,
            loss_rate: 0.0,
            duplication_rate: 0.0,
            blocked: BTreeSet::new(),
            executions: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            unknown_outcomes: 0,
            record_reads: 0,
            remote_proposals: 0,
            transferred_records: 0,
            reports: Vec::new(),
            submissions: BTreeMap::new(),
            revocation_rate: 0.0,
            rejection_rate: 0.0,
            reported_not_executed: BTreeSet::new(),
        };
        for index in 0..count {
            cluster.processes.push(Process {
                manager: Self::manager(index, count),
                incarnation: 1,
                killed: false,
                paused_until: 0,
                attempts: BTreeMap::new(),
            });
        }
        (0..count).for_each(|index| cluster.connect(index));
        cluster
    }

    fn manager(index: usize, peer_count: usize) -> TakeoverManager {
        let limits = AcceptorLimits { records: 10_000, bytes: 16 << 20, query_lifetime: QUERY_LIFETIME };
        TakeoverManager::new(TakeoverConfig { me: PeerId(index as u16), peer_count, group_size: 3, limits })
    }

    /// Connects a process with all others that are running.
    fn connect(&mut self, index: usize) {
        for other in (0..self.processes.len()).filter(|other| *other != index) {
            if self.processes[other].killed {
                continue;
            }
            let own = incarnation(self.processes[index].incarnation);
            let others = incarnation(self.processes[other].incarnation);
            let now = self.now;
            self.processes[index].manager.peer_connected(now, PeerId(other as u16), others, own);
            self.processes[other].manager.peer_connected(now, PeerId(index as u16), own, others);
            self.execute_actions(other);
        }
        self.execute_actions(index);
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.event_count += 1;
        self.events.insert((self.now + after, self.event_count), event);
    }

    /// Schedules the submission of a query at a process.
    fn submit(&mut self, after: u64, index: usize, id: &QueryId) {
        let until = self.now + QUERY_LIFETIME / 2 + after;
        self.schedule(after, Event::Submit(index, Arc::clone(id), until));
    }

    /// Executes the actions of a process's manager.
    fn execute_actions(&mut self, index: usize) {
        for action in self.processes[index].manager.take_actions() {
            match action {
                Action::Send { to, message } => {
                    let is_read = matches!(*message, Message::Request(ProposerRequest::ReadRecord { .. }));
                    self.record_reads += u32::from(is_read);
                    let is_proposal = matches!(
                        *message,
                        Message::Request(ProposerRequest::Open { .. } | ProposerRequest::Accept { .. })
                    );
                    self.remote_proposals += u32::from(is_proposal);
                    if let Message::StateTransfer(transfer) = &*message {
                        self.transferred_records += transfer.records.len();
                    }
                    let to = usize::from(to.0);
                    let copies = 1 + usize::from(self.rng.f64() < self.duplication_rate);
                    for _ in 0..copies {
                        if !self.blocked.contains(&(index, to)) && self.rng.f64() >= self.loss_rate {
                            let after = self.rng.u64(200..3000);
                            self.schedule(after, Event::Message(index, to, message.clone()));
                        }
                    }
                }
                Action::PermitDecided { id, granted: true, .. } => {
                    let after = self.rng.u64(0..5 * MS);
                    self.schedule(after, Event::Execute(index, id));
                }
                Action::PermitDecided { .. }
                | Action::OwnedByPeer { .. }
                | Action::RequestIdConflict { .. } => {}
                Action::QueryEnded { id, end } => {
                    self.reports.push((self.now, index));
                    self.outcomes.entry(id).or_default().insert(end.to_bytes());
                }
                Action::TakeOver { id, age, .. } if age > QUERY_LIFETIME => {
                    let now = self.now;
                    self.processes[index].manager.query_ended(now, &id, QueryEnd::NotExecuted);
                    self.execute_actions(index);
                }
                Action::TakeOver { id, .. } => self.request_permit(index, &id),
                Action::OutcomeUnknown { id, not_executed } => {
                    self.unknown_outcomes += 1;
                    if not_executed {
                        self.reported_not_executed.insert(id);
                    }
                }
            }
        }
    }

    fn request_permit(&mut self, index: usize, id: &QueryId) {
        let (now, is_first_attempt) = (self.now, self.submissions.get(id) == Some(&1));
        let (payload, is_revoked) = (payload(), self.rng.f64() < self.revocation_rate);
        let process = &mut self.processes[index];
        let attempts = process.attempts.entry(Arc::clone(id)).or_insert(0);
        *attempts += 1;
        let request =
            ClientRequest { id, payload: &payload, deadline: now + QUERY_LIFETIME, is_first_attempt };
        process.manager.request_permit(now, request, 0, *attempts);
        if is_revoked {
            // The attempt is revoked before it is sent, and another one is requested.
            process.manager.mark_not_executed(id, 0, *attempts);
            *attempts += 1;
            process.manager.request_permit(now, request, 0, *attempts);
        }
        self.execute_actions(index);
    }

    /// Rejects a repeated submission.
    fn reject(&mut self, index: usize, id: &QueryId) {
        let (now, payload) = (self.now, payload());
        let request =
            ClientRequest { id, payload: &payload, deadline: now + QUERY_LIFETIME, is_first_attempt: false };
        self.processes[index].manager.reject(now, request);
        self.execute_actions(index);
    }

    fn run(&mut self, time: u64) {
        let end = self.now + time;
        loop {
            let alive = self.processes.iter().filter(|process| !process.killed);
            let next_timeout = alive
                .filter_map(|process| Some(process.manager.poll_timeout()?.max(process.paused_until)))
                .min();
            let next_event = self.events.keys().next().map(|(time, _)| *time);
            let next = next_timeout.into_iter().chain(next_event).min().unwrap_or(end).max(self.now);
            if next >= end {
                self.now = end;
                return;
            }
            self.now = next;
            while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= next) {
                let event = entry.remove();
                self.handle_event(event);
            }
            for index in 0..self.processes.len() {
                if !self.processes[index].killed && self.processes[index].paused_until <= self.now {
                    let now = self.now;
                    self.processes[index].manager.handle_timeout(now);
                    self.execute_actions(index);
                }
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        let index = match &event {
            Event::Message(_, index, _)
            | Event::Execute(index, ..)
            | Event::Respond(index, ..)
            | Event::Submit(index, ..) => *index,
        };
        if self.processes[index].killed {
            return;
        }
        let until = self.processes[index].paused_until;
        if until > self.now {
            // A paused process handles the event when it resumes.
            return self.schedule(until - self.now, event);
        }
        let now = self.now;
        match event {
            Event::Message(from, _, message) => {
                self.processes[index].manager.handle_message(now, PeerId(from as u16), *message)
            }
            Event::Execute(_, id) => {
                *self.executions.entry(Arc::clone(&id)).or_insert(0) += 1;
                let (incarnation, after) = (self.processes[index].incarnation, self.rng.u64(MS..30 * MS));
                self.schedule(after, Event::Respond(index, incarnation, id));
            }
            Event::Respond(_, incarnation, id) if self.processes[index].incarnation == incarnation => {
                let end = QueryEnd::Answered(format!("response to {id}").into_bytes().into());
                self.processes[index].manager.query_ended(now, &id, end);
            }
            Event::Respond(..) => {}
            // The client has stopped waiting: a query is submitted again within its lifetime, or not at all.
            Event::Submit(_, _, until) if until < now => {}
            Event::Submit(_, id, _)
                if self.processes[index].manager.await_outcome(&id, now + QUERY_LIFETIME) => {}
            Event::Submit(_, id, _) => {
                let submissions = self.submissions.entry(Arc::clone(&id)).or_insert(0);
                *submissions += 1;
                if *submissions > 1 && self.rng.f64() < self.rejection_rate {
                    self.reject(index, &id);
                } else {
                    self.request_permit(index, &id);
                }
            }
        }
        self.execute_actions(index);
    }

    /// Kills a process; membership reports that to all others at once.
    fn kill(&mut self, index: usize) {
        self.processes[index].killed = true;
        for other in (0..self.processes.len()).filter(|other| *other != index) {
            let now = self.now;
            self.processes[other].manager.peer_availability_changed(now, PeerId(index as u16), true);
            self.execute_actions(other);
        }
    }

    /// Restarts a process without its state.
    fn restart(&mut self, index: usize) {
        let count = self.processes.len();
        let process = &mut self.processes[index];
        (process.killed, process.incarnation, process.paused_until) = (false, process.incarnation + 1, 0);
        process.manager = Self::manager(index, count);
        process.attempts.clear();
        self.connect(index);
    }

    /// Asserts that each query was executed at most once, that all its clients got the same outcome, and that
    /// no query that was executed was reported as not executed.
    fn check(&self) {
        for (id, executions) in &self.executions {
            assert!(
                *executions <= 1,
                "{id} was executed {executions} times; outcomes {:?}",
                self.outcomes.get(id)
            );
        }
        for (id, outcomes) in &self.outcomes {
            assert!(outcomes.len() <= 1, "{id} has several outcomes: {outcomes:?}");
            let outcome = outcomes.first().map(|outcome| QueryEnd::from_bytes(outcome));
            assert!(
                outcome != Some(QueryEnd::NotExecuted) || !self.executions.contains_key(id),
                "{id} was executed, but its outcome is that it was not"
            );
        }
        for id in self.reported_not_executed.iter().filter(|id| self.submissions.get(*id) == Some(&1)) {
            assert!(
                !self.executions.contains_key(id),
                "{id} was executed, but reported to its only client as not executed"
            );
        }
    }

    /// Returns the outcome of a query, if one was reported.
    fn outcome(&self, id: &QueryId) -> Option<QueryEnd> {
        self.outcomes.get(id)?.first().map(|outcome| QueryEnd::from_bytes(outcome))
    }
}

#[test]
fn a_query_runs_once_and_all_its_clients_get_the_outcome() {
    let mut cluster = Cluster::new(5, 1);
    let id: QueryId = "q1".into();
    cluster.submit(0, 0, &id);
    cluster.run(100 * MS);
    (1..5).for_each(|index| cluster.submit(0, index, &id));
    cluster.run(200 * MS);
    assert_eq!(cluster.executions[&id], 1);
    assert_eq!(cluster.outcomes[&id].len(), 1);
    assert_eq!(cluster.unknown_outcomes, 0);
}

#[test]
fn a_query_submitted_at_three_processes_at_once_runs_once() {
    for seed in 0..200 {
        let mut cluster = Cluster::new(5, seed);
        let id: QueryId = format!("q{seed}").into();
        (0..3).for_each(|index| cluster.submit(0, index, &id));
        cluster.run(2_000 * MS);
        cluster.check();
        assert_eq!(cluster.outcomes.get(&id).map(BTreeSet::len), Some(1), "seed {seed}");
    }
}

#[test]
fn a_query_whose_instance_dies_still_gets_an_outcome() {
    let (mut answered, mut ended) = (0, 0);
    for seed in 0..200 {
        let mut cluster = Cluster::new(5, seed);
        let id: QueryId = format!("q{seed}").into();
        cluster.submit(0, 0, &id);
        let after = cluster.rng.u64(0..40 * MS);
        cluster.run(after);
        cluster.kill(0);
        cluster.submit(0, 1, &id);
        cluster.run(3_000 * MS);
        cluster.check();
        let outcome = cluster.outcome(&id);
        ended += usize::from(outcome.is_some());
        answered += usize::from(matches!(outcome, Some(QueryEnd::Answered(_))));
    }
    assert_eq!(ended, 200, "each repeated submission gets an outcome");
    assert!(
        (40..200).contains(&answered),
        "{answered} answered: some queries run after the takeover, others were possibly executed before"
    );
}

#[test]
fn random_faults_break_no_guarantee() {
    let mut queries_with_outcome = 0;
    let seeds = std::env::var("TAKEOVER_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(150);
    for seed in 0..seeds {
        let mut cluster = Cluster::new(5, seed);
        (cluster.loss_rate, cluster.duplication_rate) = (cluster.rng.f64() * 0.3, cluster.rng.f64() * 0.3);
        (cluster.revocation_rate, cluster.rejection_rate) =
            (cluster.rng.f64() * 0.3, cluster.rng.f64() * 0.5);
        let (mut submissions, mut first_submitted_at) = (0, BTreeMap::new());
        for _ in 0..30 {
            let index = cluster.rng.usize(0..5);
            match cluster.rng.u32(0..9) {
                0 if !cluster.processes[index].killed => cluster.kill(index),
                0 | 1 if cluster.processes[index].killed => cluster.restart(index),
                2 => cluster.processes[index].paused_until = cluster.now + cluster.rng.u64(0..6_000 * MS),
                3 => {
                    let other = cluster.rng.usize(0..5);
                    cluster.blocked.extend([(index, other), (other, index)]);
                }
                4 => cluster.blocked.clear(),
                _ => {
                    let id: QueryId = format!("{seed}-{}", submissions / 2).into();
                    let first = *first_submitted_at.entry(submissions / 2).or_insert(cluster.now);
                    submissions += 1;
                    if cluster.now > first + QUERY_LIFETIME / 2 {
                        continue;
                    }
                    for _ in 0..cluster.rng.u32(1..4) {
                        let (index, after) = (cluster.rng.usize(0..5), cluster.rng.u64(0..400 * MS));
                        cluster.submit(after, index, &id);
                    }
                }
            }
            let time = cluster.rng.u64(0..300 * MS);
            cluster.run(time);
        }
        cluster.blocked.clear();
        cluster.run(2 * QUERY_LIFETIME);
        cluster.check();
        queries_with_outcome += cluster.outcomes.len();
    }
    assert!(queries_with_outcome > 500, "{queries_with_outcome}");
}

#[test]
fn a_query_reported_as_not_executed_is_never_run() {
    let mut reported_not_executed = 0;
    for seed in 0..400 {
        let mut cluster = Cluster::new(5, seed);
        cluster.revocation_rate = 0.5;
        // The owner reaches only one or two others, and is killed around the time at which it gives up.
        let reachable = cluster.rng.usize(1..3);
        cluster.blocked.extend((reachable + 1..5).flat_map(|other| [(0, other), (other, 0)]));
        let id: QueryId = format!("q{seed}").into();
        cluster.submit(0, 0, &id);
        let after = cluster.rng.u64(150 * MS..400 * MS);
        cluster.run(after);
        cluster.kill(0);
        cluster.run(3_000 * MS);
        cluster.check();
        reported_not_executed += usize::from(cluster.reported_not_executed.contains(&id));
    }
    assert!(reported_not_executed > 20, "{reported_not_executed}");
}

#[test]
fn a_rejected_repetition_gets_the_outcome_of_the_first_submission() {
    let (mut answered, mut not_executed) = (0, 0);
    for seed in 0..200 {
        let mut cluster = Cluster::new(5, seed);
        cluster.rejection_rate = 1.0;
        let id: QueryId = format!("q{seed}").into();
        cluster.submit(0, 0, &id);
        let after = cluster.rng.u64(0..40 * MS);
        cluster.run(after);
        if seed % 2 == 0 {
            cluster.kill(0);
        }
        cluster.submit(0, 1, &id);
        cluster.run(3_000 * MS);
        cluster.check();
        let outcome = cluster.outcome(&id);
        answered += usize::from(matches!(outcome, Some(QueryEnd::Answered(_))));
        not_executed += usize::from(outcome == Some(QueryEnd::NotExecuted));
        assert!(outcome.is_some(), "seed {seed}");
    }
    assert!(answered > 100 && not_executed > 0, "{answered} answered, {not_executed} not executed");
}

#[test]
fn waiting_for_an_outcome_does_not_flood_the_acceptors() {
    let mut cluster = Cluster::new(5, 3);
    let id: QueryId = "slow".into();
    cluster.submit(0, 0, &id);
    cluster.run(10 * MS);
    // The owner is paused, and membership has not detected that yet.
    cluster.processes[0].paused_until = cluster.now + 1_500 * MS;
    (1..5).for_each(|index| cluster.submit(0, index, &id));
    cluster.run(1_000 * MS);
    assert!((20..140).contains(&cluster.record_reads), "{} record reads in a second", cluster.record_reads);
    cluster.run(3_000 * MS);
    cluster.check();
    assert_eq!(cluster.outcomes.get(&id).map(BTreeSet::len), Some(1));
}

#[test]
fn a_rejected_repetition_without_a_majority_soon_gets_an_unknown_outcome() {
    let mut cluster = Cluster::new(5, 9);
    cluster.rejection_rate = 1.0;
    let id: QueryId = "again".into();
    cluster.blocked.extend((1..5).flat_map(|other| [(0, other), (other, 0)]));
    cluster.submissions.insert(Arc::clone(&id), 1);
    cluster.submit(0, 0, &id);
    cluster.run(190 * MS);
    assert_eq!((cluster.unknown_outcomes, cluster.outcomes.len()), (0, 0));
    cluster.run(20 * MS);
    assert_eq!((cluster.unknown_outcomes, cluster.outcomes.len()), (1, 0));
    assert!(cluster.reported_not_executed.is_empty(), "an earlier submission may have been executed");
}

#[test]
fn a_query_that_no_acceptor_accepts_is_abandoned_after_one_resend() {
    let mut cluster = Cluster::just_started(5, 4);
    cluster.run(50 * MS);
    for number in 0..20 {
        cluster.submit(0, 0, &format!("early-{number}").into());
    }
    cluster.run(80 * MS);
    let counts = (cluster.unknown_outcomes, cluster.reported_not_executed.len());
    assert_eq!(counts, (20, 20), "clients do not wait for an outcome that cannot be recorded");
    cluster.run(3_000 * MS);
    assert!(
        cluster.remote_proposals <= 20 * (2 + 3),
        "{} proposals for 20 queries",
        cluster.remote_proposals
    );
    cluster.check();
    assert!(cluster.executions.is_empty());
}

#[test]
fn a_query_sends_its_proposals_to_a_majority_only() {
    let mut cluster = Cluster::new(5, 6);
    for number in 0..40 {
        cluster.submit(number * 50 * MS, 0, &format!("quiet-{number}").into());
    }
    cluster.run(3_000 * MS);
    cluster.check();
    assert_eq!(cluster.outcomes.len(), 40);
    // At most two other acceptors for each of the intent and the outcome; one if this process is an acceptor
    // itself.
    assert!(cluster.remote_proposals <= 40 * 4, "{} proposals for 40 queries", cluster.remote_proposals);
}

#[test]
fn an_outcome_is_reported_at_all_waiting_processes_at_once() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(5, seed);
        let id: QueryId = format!("slow-{seed}").into();
        cluster.submit(0, 0, &id);
        cluster.run(3 * MS);
        cluster.processes[0].paused_until = cluster.now + 900 * MS;
        (1..5).for_each(|index| cluster.submit(100 * MS, index, &id));
        cluster.run(3_000 * MS);
        cluster.check();
        let times: Vec<u64> = cluster.reports.iter().map(|(time, _)| *time).collect();
        let (first, last) = (times.iter().min(), times.iter().max());
        let spread = last.zip(first).map(|(last, first)| last - first);
        let reporters: BTreeSet<usize> = cluster.reports.iter().map(|(_, index)| *index).collect();
        assert_eq!(reporters.len(), 5, "seed {seed}");
        assert!(spread.is_some_and(|spread| spread < 40 * MS), "seed {seed}: {spread:?} us apart");
    }
}

#[test]
fn recovering_acceptors_do_not_transfer_the_same_records_repeatedly() {
    let mut cluster = Cluster::new(5, 7);
    for number in 0..200 {
        cluster.submit(number * 5 * MS, number as usize % 5, &format!("kept-{number}").into());
    }
    cluster.run(1_500 * MS);
    assert_eq!(cluster.outcomes.len(), 200);
    // With three of five restarted, none recovers before twice the query lifetime, and all keep requesting
    // records until then.
    (0..3).for_each(|index| cluster.kill(index));
    (0..3).for_each(|index| cluster.restart(index));
    cluster.transferred_records = 0;
    cluster.run(3_000 * MS);
    // Each of the two that did not restart sends its records to each of the three once.
    let transferred = cluster.transferred_records;
    assert!(transferred > 0 && transferred <= 200 * 2 * 3, "{transferred} records for 200 queries");
}

// Guards against a takeover manager without timers before its first connection: the client of a query that
// was submitted before then never got a response.
#[test]
fn a_query_submitted_before_the_first_connection_is_abandoned() {
    let mut manager = Cluster::manager(0, 5);
    let (id, payload): (QueryId, _) = ("alone".into(), payload());
    let (mut now, mut actions) = (0, Vec::new());
    manager.request_permit(
        now,
        ClientRequest { id: &id, payload: &payload, deadline: QUERY_LIFETIME, is_first_attempt: true },
        0,
        0,
    );
    while let Some(due) = manager.poll_timeout().filter(|due| *due <= QUERY_LIFETIME + 2_000 * MS) {
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
    let unknown = Action::OutcomeUnknown { id: Arc::clone(&id), not_executed: true };
    let time_of =
        |expected: &Action| actions.iter().find(|(_, action)| action == expected).map(|(time, _)| *time);
    assert!(time_of(&denied).is_some_and(|time| time <= 210 * MS), "{actions:?}");
    assert!(time_of(&unknown).is_some_and(|time| time <= 210 * MS), "{actions:?}");
    assert_eq!(manager.usage().queries, 0, "the query's state is removed");
}
