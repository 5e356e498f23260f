//! Membership in a simulated cluster: a network with latency, blocked links, killed and paused processes, in
//! simulated time.

use std::collections::{BTreeMap, BTreeSet};

use mallowgauge_cluster::membership::{
    Action, Event, MemberState, MemberUpdate, Membership, Message, ProbeTiming, SuspicionEvidence,
};
use mallowgauge_cluster::{Incarnation, PeerId};
use proptest::prelude::*;

const MS: u64 = 1000;
/// Time from sending a message to its delivery.
const LATENCY: u64 = MS;

/// A simulated cluster. All members are connected at the start.
struct Cluster {
    now: u64,
    members: Vec<Membership>,
    /// Messages (from, to, message) by delivery time and sequence number; those to killed processes are lost.
    in_flight: BTreeMap<(u64, u64), (usize, usize, Message)>,
    sent_messages: u64,
    /// Directed links (from, to) on which messages are lost.
    blocked: BTreeSet<(usize, usize)>,
    killed: BTreeSet<usize>,
    paused: BTreeSet<usize>,
    /// All events, with the time and the index of the process.
    events: Vec<(u64, usize, Event)>,
}

fn peer(index: usize) -> PeerId {
    PeerId(index as u16)
}

impl Cluster {
    fn new(count: usize) -> Self {
        let new = |index: usize| {
            Membership::new(0, peer(index), count, index as u64 + 1, ProbeTiming::default(), 7)
        };
        let members = (0..count).map(new).collect();
        let mut cluster = Self {
            now: 0,
            members,
            in_flight: BTreeMap::new(),
            sent_messages: 0,
            blocked: BTreeSet::new(),
            killed: BTreeSet::new(),
            paused: BTreeSet::new(),
            events: Vec::new(),
        };
        for (a, b) in (0..count).flat_map(|a| (0..count).map(move |b| (a, b))).filter(|(a, b)| a != b) {
            cluster.connect(a, b);
        }
        cluster.run(3000);
        cluster.events.clear();
        cluster
    }

    /// Completes a handshake on the side of `a`.
    fn connect(&mut self, a: usize, b: usize) {
        let hello = self.members[b].own_update();
        if let Some(known) = self.members[b].member_update(peer(a)) {
            self.members[a].apply_update(self.now, known);
        }
        self.members[a].peer_connected(self.now, hello);
    }

    /// Puts the messages of a member into flight, and records its events.
    fn execute_actions(&mut self, from: usize) {
        for action in self.members[from].take_actions() {
            match action {
                Action::Send(to, message) => {
                    self.sent_messages += 1;
                    let to = usize::from(to.0);
                    if !self.blocked.contains(&(from, to)) {
                        self.in_flight.insert((self.now + LATENCY, self.sent_messages), (from, to, message));
                    }
                }
                Action::Notify(event) => self.events.push((self.now, from, event)),
                Action::Reconnect(_) => {}
            }
        }
    }

    /// Runs the simulation for `ms` milliseconds.
    fn run(&mut self, ms: u64) {
        let end = self.now + ms * MS;
        loop {
            (0..self.members.len()).for_each(|index| self.execute_actions(index));
            let is_running = |index: &usize| !self.killed.contains(index) && !self.paused.contains(index);
            let running = (0..self.members.len()).filter(is_running);
            let next_timeout = running.filter_map(|index| self.members[index].poll_timeout()).min();
            let next_delivery = self.in_flight.keys().next().map(|(time, _)| *time);
            let next = next_timeout.into_iter().chain(next_delivery).min().unwrap_or(end).max(self.now);
            if next >= end {
                self.now = end;
                return;
            }
            self.now = next;
            if let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= next) {
                let (from, to, message) = entry.remove();
                if self.killed.contains(&to) {
                    continue;
                }
                if self.paused.contains(&to) {
                    // The message stays in the socket's buffer.
                    self.sent_messages += 1;
                    self.in_flight.insert((next + 20 * MS, self.sent_messages), (from, to, message));
                    continue;
                }
                self.members[to].handle_message(next, peer(from), message);
                continue;
            }
            for index in (0..self.members.len()).filter(|index| !self.killed.contains(index)) {
                if !self.paused.contains(&index) {
                    self.members[index].handle_timeout(next);
                }
            }
        }
    }

    /// Kills a process; its connections break at once.
    fn kill(&mut self, killed: usize) {
        self.killed.insert(killed);
        self.in_flight.retain(|_, (_, to, _)| *to != killed);
        for index in (0..self.members.len()).filter(|index| *index != killed) {
            self.members[index].peer_disconnected(self.now, peer(killed), true);
        }
    }

    /// Returns the states of all members in one member's view: unknown, alive, suspect, dead, left.
    fn view(&self, index: usize) -> String {
        let state = |other: usize| match self.members[index].state(peer(other)) {
            None => '?',
            Some(MemberState::Alive) => 'a',
            Some(MemberState::Suspect) => 's',
            Some(MemberState::Dead) => 'd',
            Some(MemberState::Left) => 'l',
        };
        (0..self.members.len()).map(state).collect()
    }

    /// Counts the events in which a member changed to a state.
    fn count_changes(&self, member: usize, state: MemberState) -> usize {
        self.events.iter().filter(|(_, _, event)| is_change(event, member, state)).count()
    }
}

/// Whether an event reports that a member changed to a state.
fn is_change(event: &Event, member: usize, state: MemberState) -> bool {
    matches!(event, Event::MemberChanged(update) if update.member == peer(member) && update.state == state)
}

#[test]
fn no_member_is_suspected_in_a_healthy_cluster() {
    let mut cluster = Cluster::new(9);
    let before = cluster.sent_messages;
    cluster.run(60_000);
    assert_eq!(cluster.events, []);
    // One ping and one ack per member and probe interval, and nothing else.
    let rate = (cluster.sent_messages - before) as f64 / 9.0 / 60.0;
    assert!((9.0..=10.5).contains(&rate), "{rate} messages per second and member");
    let views: BTreeSet<u64> = cluster.members.iter().map(Membership::view_digest).collect();
    assert_eq!(views.len(), 1);
}

#[test]
fn a_death_that_breaks_all_connections_is_detected_within_100_ms() {
    for count in [3, 5, 9] {
        let mut cluster = Cluster::new(count);
        cluster.kill(1);
        cluster.run(100);
        for index in (0..count).filter(|index| *index != 1) {
            assert_eq!(cluster.view(index).find('d'), Some(1), "{count}: {}", cluster.view(index));
        }
    }
}

#[test]
fn a_paused_process_is_declared_dead_after_the_suspicion_timeout() {
    let mut cluster = Cluster::new(5);
    cluster.paused.insert(2);
    cluster.run(5000);
    let first = |state: MemberState| {
        let event = cluster.events.iter().find(|(_, _, event)| is_change(event, 2, state));
        event.expect("an event with this state").0
    };
    let (suspected_at, dead_at) = (first(MemberState::Suspect), first(MemberState::Dead));
    assert!(dead_at - suspected_at >= 450 * MS, "without lost connections the suspicion timeout is long");
    for index in [0, 1, 3, 4] {
        assert_eq!(cluster.view(index), "aadaa");
    }
}

#[test]
fn a_paused_process_refutes_its_death_when_it_resumes() {
    let mut cluster = Cluster::new(5);
    cluster.paused.insert(2);
    cluster.run(5000);
    assert_eq!(cluster.count_changes(2, MemberState::Dead), 4);
    cluster.paused.clear();
    cluster.run(500);
    for index in 0..5 {
        assert_eq!(cluster.view(index), "aaaaa", "view of {index}");
    }
    assert!(cluster.events.iter().any(|(_, index, event)| *index == 2 && matches!(event, Event::Refuted(_))));
    // Its late timers did not make it suspect the other members.
    for other in [0, 1, 3, 4] {
        assert_eq!(cluster.count_changes(other, MemberState::Suspect), 0);
    }
}

#[test]
fn indirect_probes_bridge_one_way_and_two_way_partitions() {
    for blocked in [vec![(0, 1)], vec![(0, 1), (1, 0)]] {
        let mut cluster = Cluster::new(3);
        cluster.blocked.extend(blocked);
        cluster.run(20_000);
        let suspicions = [0, 1].map(|member| cluster.count_changes(member, MemberState::Suspect));
        assert_eq!(suspicions, [0, 0]);
        assert_eq!((cluster.view(0), cluster.view(1)), ("aaa".to_owned(), "aaa".to_owned()));
    }
}

#[test]
fn a_single_flapping_connection_raises_no_suspicion() {
    let mut cluster = Cluster::new(4);
    for _ in 0..50 {
        cluster.members[0].peer_disconnected(cluster.now, peer(1), true);
        cluster.members[1].peer_disconnected(cluster.now, peer(0), true);
        cluster.run(200);
        cluster.connect(0, 1);
        cluster.connect(1, 0);
        cluster.run(200);
    }
    assert_eq!(cluster.events, []);
}

#[test]
fn both_sides_of_a_partition_declare_each_other_dead_and_recover() {
    let mut cluster = Cluster::new(7);
    for (a, b) in (0..3).flat_map(|a| (3..7).map(move |b| (a, b))) {
        cluster.blocked.extend([(a, b), (b, a)]);
    }
    cluster.run(15_000);
    assert_eq!((cluster.view(0), cluster.view(6)), ("aaadddd".to_owned(), "dddaaaa".to_owned()));
    cluster.blocked.clear();
    cluster.run(5000);
    for index in 0..7 {
        assert_eq!(cluster.view(index), "aaaaaaa", "view of {index}");
    }
}

#[test]
fn a_member_that_announced_its_shutdown_stays_left() {
    let mut cluster = Cluster::new(3);
    cluster.members[1].announce_shutdown();
    cluster.run(10);
    cluster.kill(1);
    cluster.run(10_000);
    assert_eq!((cluster.view(0), cluster.view(2)), ("ala".to_owned(), "ala".to_owned()));
}

/// Starts a new process under a name that its peers know, and returns its incarnation.
fn restart(cluster: &mut Cluster, index: usize, nonce: u64) -> Incarnation {
    let count = cluster.members.len();
    cluster.members[index] =
        Membership::new(cluster.now, peer(index), count, nonce, ProbeTiming::default(), 7);
    cluster.killed.remove(&index);
    let others = (0..count).filter(|other| *other != index && !cluster.killed.contains(other));
    for other in others.collect::<Vec<_>>() {
        cluster.connect(index, other);
        cluster.connect(other, index);
    }
    cluster.members[index].incarnation()
}

#[test]
fn a_restarted_process_raises_its_incarnation_above_the_earlier_one() {
    let mut cluster = Cluster::new(3);
    cluster.kill(1);
    cluster.run(5);
    // The new nonce is lower than the old one. The number alone has to decide.
    let incarnation = restart(&mut cluster, 1, 0);
    assert_eq!(incarnation.number, 2);
    cluster.run(500);
    for index in 0..3 {
        assert_eq!(cluster.view(index), "aaa");
        let update = cluster.members[index].member_update(peer(1));
        assert_eq!(update.map(|update| update.incarnation), Some(incarnation));
    }
    // A late update about the earlier incarnation changes nothing.
    let late = MemberUpdate {
        member: peer(1),
        incarnation: Incarnation { number: 1, nonce: 2 },
        refutation: 9,
        state: MemberState::Dead,
        source: peer(2),
        evidence: SuspicionEvidence::ConnectionLost,
    };
    let now = cluster.now;
    cluster.members[0].apply_update(now, late);
    assert_eq!(cluster.view(0), "aaa");
}

#[test]
fn a_later_process_with_the_same_name_supersedes_the_earlier_one() {
    let mut cluster = Cluster::new(3);
    let later = Incarnation { number: 2, nonce: 77 };
    let mut update = cluster.members[1].own_update();
    (update.incarnation, update.source) = (later, peer(0));
    let now = cluster.now;
    cluster.members[1].apply_update(now, update);
    assert!(cluster.members[1].is_superseded());
    assert_eq!(
        cluster.members[1].incarnation().number,
        1,
        "it does not raise its incarnation above a live one"
    );
    // Once the later process is dead, this one continues under a higher incarnation.
    update.state = MemberState::Dead;
    cluster.members[1].apply_update(now, update);
    assert!(!cluster.members[1].is_superseded());
    assert_eq!(cluster.members[1].incarnation().number, 3);
}

#[test]
fn time_running_backwards_raises_no_suspicion() {
    let mut cluster = Cluster::new(3);
    for index in 0..3 {
        let next = (index + 1) % 3;
        cluster.members[index].handle_timeout(0);
        cluster.members[index].handle_message(1, peer(next), Message::Gossip { updates: Vec::new() });
        cluster.members[index].peer_disconnected(2, peer(next), false);
        cluster.connect(index, next);
    }
    cluster.run(10_000);
    assert_eq!(cluster.events, []);
}

#[test]
fn messages_from_and_about_unknown_peers_are_ignored() {
    let mut members = Membership::new(0, peer(0), 3, 1, ProbeTiming::default(), 7);
    let updates = vec![MemberUpdate { member: peer(900), ..members.own_update() }];
    members.handle_message(1, peer(900), Message::Gossip { updates: updates.clone() });
    members.handle_message(1, peer(1), Message::Gossip { updates });
    members.handle_message(1, peer(1), Message::Ack { seq: 5, updates: Vec::new() });
    members.handle_message(1, peer(1), Message::PingReq { seq: 5, target: peer(900) });
    assert_eq!(members.take_actions(), []);
}

#[test]
fn relayed_probes_are_bounded() {
    let mut cluster = Cluster::new(3);
    for seq in 0..1000 {
        cluster.members[0].handle_message(cluster.now, peer(1), Message::PingReq { seq, target: peer(2) });
    }
    let actions = cluster.members[0].take_actions();
    let is_ping =
        |action: &&Action| matches!(action, Action::Send(to, Message::Ping { .. }) if *to == peer(2));
    assert_eq!(actions.iter().filter(is_ping).count(), 12);
    let is_result = |action: &&Action| matches!(action, Action::Send(to, Message::PingReqResult { .. }) if *to == peer(1));
    assert_eq!(actions.iter().filter(is_result).count(), 988, "requests above the limit fail at once");
}

/// Returns a member that is connected to two peers, and the updates from their hellos.
fn connected_to_two_peers() -> (Membership, [MemberUpdate; 2]) {
    let mut members = Membership::new(0, peer(0), 3, 1, ProbeTiming::default(), 7);
    let hello = |index: usize| Membership::new(0, peer(index), 3, 5, ProbeTiming::default(), 7).own_update();
    let hellos = [hello(1), hello(2)];
    hellos.iter().for_each(|hello| members.peer_connected(0, *hello));
    members.take_actions();
    (members, hellos)
}

fn suspicion(hello: MemberUpdate, source: usize, evidence: SuspicionEvidence) -> MemberUpdate {
    MemberUpdate { state: MemberState::Suspect, source: peer(source), evidence, ..hello }
}

#[test]
fn a_pause_of_this_process_extends_the_suspicions_of_others() {
    let (mut members, [one, _]) = connected_to_two_peers();
    members.apply_update(10, suspicion(one, 2, SuspicionEvidence::NoResponse));
    // It was paused for a minute and received nothing.
    members.handle_timeout(60_000 * MS);
    assert_eq!(members.state(peer(1)), Some(MemberState::Suspect));
    assert_eq!(members.local_health_multiplier(), 1);
    let due = members.poll_timeout().expect("a timer");
    assert!(due > 60_000 * MS, "all timeouts restart");
}

#[test]
fn a_reconnected_member_is_informed_of_its_suspicion_and_stays_suspect() {
    let (mut members, [one, _]) = connected_to_two_peers();
    members.peer_disconnected(10, peer(1), true);
    members.apply_update(20, suspicion(one, 2, SuspicionEvidence::ConnectionLost));
    members.take_actions();
    members.peer_connected(30 * MS, one);
    let is_suspicion =
        |update: &MemberUpdate| update.member == peer(1) && update.state == MemberState::Suspect;
    let informs = |action: &Action| {
        matches!(action, Action::Send(to, Message::Gossip { updates })
            if *to == peer(1) && updates.iter().any(is_suspicion))
    };
    assert!(members.take_actions().iter().any(informs));
    // Both peers lost their connections to it. Without the new connection it would be dead by now.
    members.handle_timeout(60 * MS);
    assert_eq!(members.state(peer(1)), Some(MemberState::Suspect));
}

#[test]
fn a_member_that_left_is_not_probed() {
    let (mut members, [one, _]) = connected_to_two_peers();
    members.apply_update(10, MemberUpdate { state: MemberState::Left, ..one });
    let mut now = 0;
    for _ in 0..50 {
        now = members.poll_timeout().expect("a timer").max(now);
        members.handle_timeout(now);
        let is_ping =
            |action: &Action| matches!(action, Action::Send(to, Message::Ping { .. }) if *to == peer(1));
        assert!(!members.take_actions().iter().any(is_ping));
    }
}

fn updates() -> impl Strategy<Value = Vec<MemberUpdate>> {
    let state = prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Dead),
        Just(MemberState::Left)
    ];
    let evidence = prop_oneof![Just(SuspicionEvidence::NoResponse), Just(SuspicionEvidence::ConnectionLost)];
    let update = (1_u16..4, 1_u64..3, 0_u64..2, 0_u32..3, state, 1_u16..4, evidence).prop_map(
        |(member, number, nonce, refutation, state, source, evidence)| MemberUpdate {
            member: PeerId(member),
            incarnation: Incarnation { number, nonce },
            refutation,
            state,
            source: PeerId(source),
            evidence,
        },
    );
    prop::collection::vec(update, 0..24)
}

proptest! {
    // Two members that received the same updates, in any order and any number of times, have the same view.
    #[test]
    fn the_same_updates_in_any_order_give_the_same_view(all in updates(), seed in any::<u64>()) {
        let mut shuffled = [all.clone(), all.clone()].concat();
        fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
        let new = || Membership::new(0, PeerId(0), 4, 1, ProbeTiming::default(), 7);
        let (mut a, mut b) = (new(), new());
        all.iter().for_each(|update| a.apply_update(5, *update));
        shuffled.iter().for_each(|update| b.apply_update(5, *update));
        prop_assert_eq!(a.view_digest(), b.view_digest());
        for index in 1..4 {
            prop_assert_eq!(a.member_update(PeerId(index)), b.member_update(PeerId(index)));
        }
    }
}
