//! The view of the fleet, on a network of its own in simulated time.

use std::collections::{BTreeMap, BTreeSet};

use mallowgauge_cluster::membership::{
    Action, Event, MemberState, MemberUpdate, Membership, Message, ProbeTiming, SuspicionEvidence,
};
use mallowgauge_cluster::{Incarnation, PeerId};
use proptest::prelude::*;

const MS: u64 = 1000;
const DELAY: u64 = MS;

/// A fleet whose links are up from the start; what is sent takes 1 ms.
struct Fleet {
    now: u64,
    members: Vec<Membership>,
    /// (at, number, from, to, message); a message to a process that is not there breaks the link.
    wire: BTreeMap<(u64, u64), (usize, usize, Message)>,
    sent: u64,
    cut: BTreeSet<(usize, usize)>,
    dead: BTreeSet<usize>,
    paused: BTreeSet<usize>,
    events: Vec<(u64, usize, Event)>,
}

fn peer(at: usize) -> PeerId {
    PeerId(at as u16)
}

impl Fleet {
    fn new(count: usize) -> Self {
        let new = |at: usize| Membership::new(0, peer(at), count, at as u64 + 1, ProbeTiming::default(), 7);
        let members = (0..count).map(new).collect();
        let (cut, dead, paused) = Default::default();
        let mut fleet =
            Self { now: 0, members, wire: BTreeMap::new(), sent: 0, cut, dead, paused, events: Vec::new() };
        for (a, b) in (0..count).flat_map(|a| (0..count).map(move |b| (a, b))).filter(|(a, b)| a != b) {
            fleet.link(a, b);
        }
        fleet.run(3000);
        fleet.events.clear();
        fleet
    }

    fn link(&mut self, a: usize, b: usize) {
        let hello = self.members[b].own_update();
        if let Some(known) = self.members[b].member_update(peer(a)) {
            self.members[a].apply_update(self.now, known);
        }
        self.members[a].peer_connected(self.now, hello);
    }

    fn carry(&mut self, from: usize) {
        for action in self.members[from].take_actions() {
            match action {
                Action::Send(to, message) => {
                    self.sent += 1;
                    let to = usize::from(to.0);
                    if !self.cut.contains(&(from, to)) {
                        self.wire.insert((self.now + DELAY, self.sent), (from, to, message));
                    }
                }
                Action::Notify(event) => self.events.push((self.now, from, event)),
                Action::Reconnect(_) => {}
            }
        }
    }

    /// Lets so many milliseconds pass.
    fn run(&mut self, ms: u64) {
        let end = self.now + ms * MS;
        loop {
            (0..self.members.len()).for_each(|at| self.carry(at));
            let awake = |at: &usize| !self.dead.contains(at) && !self.paused.contains(at);
            let due =
                (0..self.members.len()).filter(awake).filter_map(|at| self.members[at].poll_timeout()).min();
            let arrives = self.wire.keys().next().map(|(at, _)| *at);
            let next = due.into_iter().chain(arrives).min().unwrap_or(end).max(self.now);
            if next >= end {
                self.now = end;
                return;
            }
            self.now = next;
            if let Some(member) = self.wire.first_entry().filter(|member| member.key().0 <= next) {
                let (from, to, message) = member.remove();
                if self.dead.contains(&to) {
                    continue;
                }
                if self.paused.contains(&to) {
                    // It stays in the socket.
                    self.sent += 1;
                    self.wire.insert((next + 20 * MS, self.sent), (from, to, message));
                    continue;
                }
                self.members[to].handle_message(next, peer(from), message);
                continue;
            }
            for at in (0..self.members.len()).filter(|at| !self.dead.contains(at)) {
                if !self.paused.contains(&at) {
                    self.members[at].handle_timeout(next);
                }
            }
        }
    }

    fn kill(&mut self, dead: usize) {
        self.dead.insert(dead);
        self.wire.retain(|_, (_, to, _)| *to != dead);
        for at in (0..self.members.len()).filter(|at| *at != dead) {
            self.members[at].peer_disconnected(self.now, peer(dead), true);
        }
    }

    /// What a member holds of the others.
    fn view(&self, at: usize) -> String {
        let state = |other: usize| match self.members[at].state(peer(other)) {
            None => '?',
            Some(MemberState::Alive) => 'a',
            Some(MemberState::Suspect) => 'd',
            Some(MemberState::Dead) => 'g',
            Some(MemberState::Left) => 'l',
        };
        (0..self.members.len()).map(state).collect()
    }

    fn ever(&self, of: usize, state: MemberState) -> usize {
        let is = |event: &Event| matches!(event, Event::MemberChanged(c) if c.member == peer(of) && c.state == state);
        self.events.iter().filter(|(_, _, event)| is(event)).count()
    }
}

#[test]
fn nobody_is_doubted_while_nothing_happens() {
    let mut fleet = Fleet::new(9);
    let before = fleet.sent;
    fleet.run(60_000);
    assert_eq!(fleet.events, []);
    // A question and an answer for each member and interval, and nothing else.
    let each = (fleet.sent - before) as f64 / 9.0 / 60.0;
    assert!((9.0..=10.5).contains(&each), "{each} messages a second");
    let views: BTreeSet<u64> = fleet.members.iter().map(Membership::view_digest).collect();
    assert_eq!(views.len(), 1);
}

#[test]
fn a_death_with_broken_links_is_known_to_all_within_100_ms() {
    for count in [3, 5, 9] {
        let mut fleet = Fleet::new(count);
        fleet.kill(1);
        fleet.run(100);
        for at in (0..count).filter(|at| *at != 1) {
            assert_eq!(fleet.view(at).find('g'), Some(1), "{count}: {}", fleet.view(at));
        }
    }
}

#[test]
fn silence_takes_longer_and_is_known_to_all() {
    let mut fleet = Fleet::new(5);
    fleet.paused.insert(2);
    fleet.run(5000);
    let first = |state: MemberState| {
        let is = |event: &Event| matches!(event, Event::MemberChanged(c) if c.member == peer(2) && c.state == state);
        fleet.events.iter().find(|(_, _, event)| is(event)).expect("such a note").0
    };
    let (suspected_at, gone) = (first(MemberState::Suspect), first(MemberState::Dead));
    assert!(gone - suspected_at >= 450 * MS, "a doubt that only silence speaks for stands for a while");
    for at in [0, 1, 3, 4] {
        assert_eq!(fleet.view(at), "aagaa");
    }
}

#[test]
fn a_paused_process_learns_that_it_was_doubted_and_refutes() {
    let mut fleet = Fleet::new(5);
    fleet.paused.insert(2);
    fleet.run(5000);
    assert_eq!(fleet.ever(2, MemberState::Dead), 4);
    fleet.paused.clear();
    fleet.run(500);
    for at in 0..5 {
        assert_eq!(fleet.view(at), "aaaaa", "seen by {at}");
    }
    assert!(fleet.events.iter().any(|(_, at, event)| *at == 2 && matches!(event, Event::Refuted(_))));
    // It was late itself, and held nobody else for it.
    for other in [0, 1, 3, 4] {
        assert_eq!(fleet.ever(other, MemberState::Suspect), 0);
    }
}

#[test]
fn one_way_and_two_way_cuts_are_bridged_by_others() {
    for cut in [vec![(0, 1)], vec![(0, 1), (1, 0)]] {
        let mut fleet = Fleet::new(3);
        fleet.cut.extend(cut);
        fleet.run(20_000);
        assert_eq!((fleet.ever(0, MemberState::Suspect), fleet.ever(1, MemberState::Suspect)), (0, 0));
        assert_eq!((fleet.view(0), fleet.view(1)), ("aaa".to_owned(), "aaa".to_owned()));
    }
}

#[test]
fn a_link_that_flaps_alone_raises_no_doubt() {
    let mut fleet = Fleet::new(4);
    for _ in 0..50 {
        fleet.members[0].peer_disconnected(fleet.now, peer(1), true);
        fleet.members[1].peer_disconnected(fleet.now, peer(0), true);
        fleet.run(200);
        fleet.link(0, 1);
        fleet.link(1, 0);
        fleet.run(200);
    }
    assert_eq!(fleet.events, []);
}

#[test]
fn three_of_seven_cut_off_hold_the_others_gone_and_come_back() {
    let mut fleet = Fleet::new(7);
    for (a, b) in (0..3).flat_map(|a| (3..7).map(move |b| (a, b))) {
        fleet.cut.extend([(a, b), (b, a)]);
    }
    fleet.run(15_000);
    assert_eq!((fleet.view(0), fleet.view(6)), ("aaagggg".to_owned(), "gggaaaa".to_owned()));
    fleet.cut.clear();
    fleet.run(5000);
    for at in 0..7 {
        assert_eq!(fleet.view(at), "aaaaaaa", "seen by {at}");
    }
}

#[test]
fn who_says_that_it_ends_is_not_probed_and_not_doubted() {
    let mut fleet = Fleet::new(3);
    fleet.members[1].announce_leave();
    fleet.run(10);
    fleet.kill(1);
    fleet.run(10_000);
    assert_eq!((fleet.view(0), fleet.view(2)), ("ala".to_owned(), "ala".to_owned()));
}

/// A process that starts anew under the name of `at`, which its peers knew.
fn reborn(fleet: &mut Fleet, at: usize, nonce: u64) -> Incarnation {
    let count = fleet.members.len();
    fleet.members[at] = Membership::new(fleet.now, peer(at), count, nonce, ProbeTiming::default(), 7);
    fleet.dead.remove(&at);
    let others = (0..count).filter(|other| *other != at && !fleet.dead.contains(other));
    for other in others.collect::<Vec<_>>() {
        fleet.link(at, other);
        fleet.link(other, at);
    }
    fleet.members[at].incarnation()
}

#[test]
fn a_process_that_is_back_at_once_goes_above_its_earlier_life() {
    let mut fleet = Fleet::new(3);
    fleet.kill(1);
    fleet.run(5);
    // Its nonce is lower than before: that must not matter.
    let life = reborn(&mut fleet, 1, 0);
    assert_eq!(life.number, 2);
    fleet.run(500);
    for at in 0..3 {
        assert_eq!(fleet.view(at), "aaa");
        assert_eq!(fleet.members[at].member_update(peer(1)).map(|c| c.incarnation), Some(life));
    }
    // A claim of the old life that comes late changes nothing.
    let old = Incarnation { number: 1, nonce: 2 };
    let late = MemberUpdate {
        member: peer(1),
        incarnation: old,
        refutation: 9,
        state: MemberState::Dead,
        source: peer(2),
        evidence: SuspicionEvidence::ConnectionLost,
    };
    let now = fleet.now;
    fleet.members[0].apply_update(now, late);
    assert_eq!(fleet.view(0), "aaa");
}

#[test]
fn of_two_processes_with_one_name_the_later_one_has_it_and_the_other_stands_aside() {
    let mut fleet = Fleet::new(3);
    let later = Incarnation { number: 2, nonce: 77 };
    let mut update = fleet.members[1].own_update();
    (update.incarnation, update.source) = (later, peer(0));
    let now = fleet.now;
    fleet.members[1].apply_update(now, update);
    assert!(fleet.members[1].is_superseded());
    assert_eq!(fleet.members[1].incarnation().number, 1, "it does not climb over a living one");
    // Once the later one is known to have gone, it has its name again.
    update.state = MemberState::Dead;
    fleet.members[1].apply_update(now, update);
    assert!(!fleet.members[1].is_superseded());
    assert_eq!(fleet.members[1].incarnation().number, 3);
}

#[test]
fn a_clock_set_back_makes_nobody_doubted() {
    let mut fleet = Fleet::new(3);
    for at in 0..3 {
        fleet.members[at].handle_timeout(0);
        fleet.members[at].handle_message(1, peer((at + 1) % 3), Message::Gossip { updates: Vec::new() });
        fleet.members[at].peer_disconnected(2, peer((at + 1) % 3), false);
        fleet.link(at, (at + 1) % 3);
    }
    fleet.run(10_000);
    assert_eq!(fleet.events, []);
}

#[test]
fn what_comes_of_nobody_is_passed_by() {
    let mut members = Membership::new(0, peer(0), 3, 1, ProbeTiming::default(), 7);
    let updates = vec![MemberUpdate { member: peer(900), ..members.own_update() }];
    members.handle_message(1, peer(900), Message::Gossip { updates: updates.clone() });
    members.handle_message(1, peer(1), Message::Gossip { updates });
    members.handle_message(1, peer(1), Message::Ack { seq: 5, updates: Vec::new() });
    members.handle_message(1, peer(1), Message::PingReq { seq: 5, target: peer(900) });
    let sent = members.take_actions();
    assert_eq!(sent, []);
}

#[test]
fn questions_for_others_are_bounded() {
    let mut fleet = Fleet::new(3);
    for seq in 0..1000 {
        fleet.members[0].handle_message(fleet.now, peer(1), Message::PingReq { seq, target: peer(2) });
    }
    let actions = fleet.members[0].take_actions();
    let asked = |o: &&Action| matches!(o, Action::Send(to, Message::Ping { .. }) if *to == peer(2));
    assert_eq!(actions.iter().filter(asked).count(), 12);
    let last_told =
        |o: &&Action| matches!(o, Action::Send(to, Message::PingReqResult { .. }) if *to == peer(1));
    assert_eq!(actions.iter().filter(last_told).count(), 988, "who is not asked for is told so");
}

/// A process that is linked to two others, 1 and 2.
fn of_three() -> (Membership, [MemberUpdate; 2]) {
    let mut members = Membership::new(0, peer(0), 3, 1, ProbeTiming::default(), 7);
    let hello = |at: usize| Membership::new(0, peer(at), 3, 5, ProbeTiming::default(), 7).own_update();
    let hellos = [hello(1), hello(2)];
    hellos.iter().for_each(|hello| members.peer_connected(0, *hello));
    members.take_actions();
    (members, hellos)
}

fn doubt(of: MemberUpdate, source: usize, evidence: SuspicionEvidence) -> MemberUpdate {
    MemberUpdate { state: MemberState::Suspect, source: peer(source), evidence, ..of }
}

#[test]
fn who_was_late_itself_holds_no_doubt_against_others_for_that_time() {
    let (mut members, [one, _]) = of_three();
    members.apply_update(10, doubt(one, 2, SuspicionEvidence::NoResponse));
    // It was halted for a minute; nobody could tell it anything.
    members.handle_timeout(60_000 * MS);
    assert_eq!(members.state(peer(1)), Some(MemberState::Suspect));
    assert_eq!(members.local_health_multiplier(), 1);
    let due = members.poll_timeout().expect("something");
    assert!(due > 60_000 * MS, "its waits begin anew");
}

#[test]
fn who_is_linked_again_is_told_of_the_doubt_and_not_lost_by_it() {
    let (mut members, [one, _]) = of_three();
    members.peer_disconnected(10, peer(1), true);
    members.apply_update(20, doubt(one, 2, SuspicionEvidence::ConnectionLost));
    members.take_actions();
    members.peer_connected(30 * MS, one);
    let last_told = |o: &Action| {
        matches!(o, Action::Send(to, Message::Gossip { updates })
        if *to == peer(1) && updates.iter().any(|c| c.member == peer(1) && c.state == MemberState::Suspect))
    };
    assert!(members.take_actions().iter().any(last_told));
    // Both had seen its links break: without the new one it would be gone by now.
    members.handle_timeout(60 * MS);
    assert_eq!(members.state(peer(1)), Some(MemberState::Suspect));
}

#[test]
fn who_has_left_is_asked_nothing() {
    let (mut members, [one, _]) = of_three();
    members.apply_update(10, MemberUpdate { state: MemberState::Left, ..one });
    let mut now = 0;
    for _ in 0..50 {
        now = members.poll_timeout().expect("a question").max(now);
        members.handle_timeout(now);
        let asked = |o: &Action| matches!(o, Action::Send(to, Message::Ping { .. }) if *to == peer(1));
        assert!(!members.take_actions().iter().any(asked));
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
    // Whoever has heard the same claims holds the same view, whatever their order and however often.
    #[test]
    fn the_same_claims_in_any_order_give_the_same_view(all in updates(), seed in any::<u64>()) {
        let mut shuffled = [all.clone(), all.clone()].concat();
        fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
        let new = || Membership::new(0, PeerId(0), 4, 1, ProbeTiming::default(), 7);
        let (mut a, mut b) = (new(), new());
        all.iter().for_each(|update| a.apply_update(5, *update));
        shuffled.iter().for_each(|update| b.apply_update(5, *update));
        prop_assert_eq!(a.view_digest(), b.view_digest());
        for at in 1..4 {
            prop_assert_eq!(a.member_update(PeerId(at)), b.member_update(PeerId(at)));
        }
    }
}
