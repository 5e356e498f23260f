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
pub enum MemberState {
    /// It was heard, by somebody.
    Alive,
    /// Somebody could not reach it, nor could others for that one.
    Suspect,
    /// It did not refute a doubt. It may still be paused or cut off, and come back.
    Dead,
    /// It said that it ends.
    Left,
}

/// What a doubt rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SuspicionEvidence {
    /// No answer came.
    NoResponse,
    /// The link broke, or nobody takes connections at its address.
    ConnectionLost,
}

/// What is said of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MemberUpdate {
    /// The member.
    pub member: PeerId,
    /// Which of its lives.
    pub incarnation: Incarnation,
    /// How often it has refuted in that life.
    pub refutation: u32,
    /// How it is held to be.
    pub state: MemberState,
    /// Who came to this by itself, where it is a doubt.
    pub source: PeerId,
    /// What that doubt rests on.
    pub evidence: SuspicionEvidence,
}

impl MemberUpdate {
    /// By which claims about one member are ordered; the highest counts.
    #[must_use]
    pub fn key(&self) -> (Incarnation, u32, MemberState) {
        (self.incarnation, self.refutation, self.state)
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
        updates: Vec<MemberUpdate>,
    },
    /// "I am."
    Ack {
        /// The question.
        seq: u64,
        /// News.
        updates: Vec<MemberUpdate>,
    },
    /// "Ask that one for me."
    PingReq {
        /// The asker's question.
        seq: u64,
        /// Whom to ask.
        target: PeerId,
    },
    /// What asking for another came to.
    PingReqResult {
        /// The asker's question.
        seq: u64,
        /// Who was asked.
        target: PeerId,
        /// What came of it.
        result: ProbeResult,
    },
    /// News that does not wait, or a whole view.
    Gossip {
        /// The claims.
        updates: Vec<MemberUpdate>,
    },
}

/// What asking for another came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// It answered.
    Acked,
    /// It did not answer.
    NoResponse,
    /// There is no link to it; it broke.
    ConnectionLost,
}

/// What is worth a line in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member is held to be in another state, or another life.
    MemberChanged(MemberUpdate),
    /// This process was doubted or held to be gone, and has said that it is there.
    Refuted(u32),
    /// A later process lives under this one's name: this one stands aside.
    Superseded(Incarnation),
    /// The later process has gone, and this one is under its name again; or it goes above an earlier life.
    IncarnationRaised(Incarnation),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// To be sent, if there is a link.
    Send(PeerId, Message),
    /// The link has answered nothing for long while the member is there: a new one is worth trying.
    Reconnect(PeerId),
    /// To be logged.
    Notify(Event),
}

/// The pace of questions and doubts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeTiming {
    /// One question is begun each so often.
    pub probe_interval: Micros,
    /// An answer is waited for so long, and as long again through others.
    pub ack_timeout: Micros,
    /// A doubt that nobody shares stands for so long before its member is gone.
    pub suspicion_timeout: Micros,
}

impl Default for ProbeTiming {
    fn default() -> Self {
        Self { probe_interval: 200_000, ack_timeout: 100_000, suspicion_timeout: 1_500_000 }
    }
}

/// Others that are asked to ask.
const PING_REQ_RELAYS: usize = 3;
/// Claims that go along with a question or an answer.
const PIGGYBACKED_UPDATES: usize = 6;
/// Claims in one message of a whole view.
const UPDATES_PER_MESSAGE: usize = 64;
/// News is told at once to so many, and by the way to the others.
const GOSSIP_FANOUT: usize = 8;
/// Where most others came to a doubt over broken links, the doubted one has so long to refute.
const CONFIRMED_SUSPICION_TIMEOUT: Micros = 40_000;
/// Timers that are later than this are a sign of trouble of one's own.
const LATE_TIMER: Micros = 50_000;
/// Strain grows up to so much; every wait is so many times longer, and one.
const MAX_LOCAL_HEALTH_MULTIPLIER: u32 = 8;
/// Questions on a link in a row without an answer, after which a new link is tried.
const UNANSWERED_PINGS_BEFORE_RECONNECT: u32 = 4;
/// A whole view goes to one member no more often than this.
const VIEW_INTERVAL: Micros = 500_000;
/// Open questions for others, for each member of the list.
const RELAYED_PROBES_PER_MEMBER: usize = 4;

/// News kept, for each member of the list; the oldest goes first, and whole views make up for it.
const GOSSIP_QUEUE_PER_MEMBER: usize = 4;

/// How this process stands to its own name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Identity {
    /// Nobody has taken it as a member yet: it goes above every earlier life that it hears of.
    Unconfirmed,
    /// It has been a member.
    Confirmed,
    /// A later process is alive under the name.
    Superseded,
}

#[derive(Clone, Debug, Default)]
struct Member {
    /// The highest claim; `None` for who was never heard of.
    update: Option<(Incarnation, u32, MemberState)>,
    connected: bool,
    /// The last link broke, and none has come up since.
    connection_lost: bool,
    /// Who doubts it by themselves, in this incarnation and round.
    suspectors: BTreeMap<PeerId, SuspicionEvidence>,
    suspected_at: Micros,
    /// Questions on the link in a row without an answer.
    unanswered_pings: u32,
    /// When it was last sent a whole view, or what is said of it.
    last_told: Option<Micros>,
}

impl Member {
    fn state(&self) -> Option<MemberState> {
        self.update.map(|(_, _, state)| state)
    }

    fn is(&self, state: MemberState) -> bool {
        self.state() == Some(state)
    }
}

/// A question of this process's own.
#[derive(Clone, Debug)]
struct Probe {
    target: PeerId,
    /// It was sent to the target itself, and others have not been asked yet.
    is_direct: bool,
    deadline: Micros,
    relays: BTreeSet<PeerId>,
}

/// A question asked for another.
#[derive(Clone, Copy, Debug)]
struct RelayedProbe {
    requester: PeerId,
    seq: u64,
    target: PeerId,
    deadline: Micros,
}

/// A process's view of the fleet.
#[derive(Debug)]
pub struct Membership {
    me: PeerId,
    incarnation: Incarnation,
    refutation: u32,
    name: Identity,
    leaving: bool,
    pace: ProbeTiming,
    members: Vec<Member>,
    probe_order: Vec<PeerId>,
    next_probe: Micros,
    seq: u64,
    probes: BTreeMap<u64, Probe>,
    relayed_probes: BTreeMap<u64, RelayedProbe>,
    /// News, with how often it is still to be told by the way.
    gossip_queue: VecDeque<(MemberUpdate, u32)>,
    local_health_multiplier: u32,
    rng: fastrand::Rng,
    actions: Vec<Action>,
}

impl Membership {
    /// The view of a process that has just started: it knows nobody.
    #[must_use]
    pub fn new(now: Micros, me: PeerId, peers: usize, nonce: u64, pace: ProbeTiming, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed ^ nonce);
        Self {
            me,
            incarnation: Incarnation { number: 1, nonce },
            refutation: 0,
            name: Identity::Unconfirmed,
            leaving: false,
            pace,
            members: vec![Member::default(); peers],
            probe_order: Vec::new(),
            next_probe: now + rng.u64(0..=pace.probe_interval),
            seq: rng.u64(0..1 << 32),
            probes: BTreeMap::new(),
            relayed_probes: BTreeMap::new(),
            gossip_queue: VecDeque::new(),
            local_health_multiplier: 0,
            rng,
            actions: Vec::new(),
        }
    }

    /// This process's present life.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// How a member is held to be; `None` for who was never heard of.
    #[must_use]
    pub fn state(&self, peer: PeerId) -> Option<MemberState> {
        if peer == self.me {
            return Some(if self.leaving { MemberState::Left } else { MemberState::Alive });
        }
        self.members.get(usize::from(peer.0)).and_then(Member::state)
    }

    /// How far this process takes troubles for its own: 0 when all is well.
    #[must_use]
    pub fn local_health_multiplier(&self) -> u32 {
        self.local_health_multiplier
    }

    /// A later process is alive under this one's name.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.name == Identity::Superseded
    }

    /// What this process says of itself.
    #[must_use]
    pub fn own_update(&self) -> MemberUpdate {
        let state = if self.leaving { MemberState::Left } else { MemberState::Alive };
        let (incarnation, refutation) = (self.incarnation, self.refutation);
        MemberUpdate {
            member: self.me,
            incarnation,
            refutation,
            state,
            source: self.me,
            evidence: SuspicionEvidence::NoResponse,
        }
    }

    /// What counts of a member.
    #[must_use]
    pub fn member_update(&self, peer: PeerId) -> Option<MemberUpdate> {
        if peer == self.me {
            return Some(self.own_update());
        }
        let member = self.members.get(usize::from(peer.0))?;
        let (incarnation, refutation, state) = member.update?;
        let doubt = member.suspectors.iter().next_back();
        let (source, evidence) =
            doubt.map_or((self.me, SuspicionEvidence::NoResponse), |(&source, &evidence)| (source, evidence));
        Some(MemberUpdate { member: peer, incarnation, refutation, state, source, evidence })
    }

    /// The whole view in one number, the same in all who hold the same.
    #[must_use]
    pub fn view_digest(&self) -> u64 {
        self.peers().filter_map(|peer| self.member_update(peer)).fold(0, |sum, update| {
            let words = [
                u64::from(update.member.0),
                update.incarnation.number,
                update.incarnation.nonce,
                u64::from(update.refutation),
                update.state as u64,
            ];
            // FNV-1a over words; the sum of it does not depend on the order.
            let hash = words.iter().fold(0xcbf2_9ce4_8422_2325_u64, |hash, result| {
                (hash ^ result).wrapping_mul(0x0100_0000_01b3).rotate_left(29)
            });
            sum.wrapping_add(hash)
        })
    }

    fn peers(&self) -> impl Iterator<Item = PeerId> {
        (0..self.members.len()).filter_map(|at| u16::try_from(at).ok()).map(PeerId)
    }

    fn member(&mut self, peer: PeerId) -> Option<&mut Member> {
        (peer != self.me).then_some(())?;
        self.members.get_mut(usize::from(peer.0))
    }

    fn ack_timeout(&self) -> Micros {
        self.pace.ack_timeout * Micros::from(1 + self.local_health_multiplier)
    }

    fn send(&mut self, to: PeerId, message: Message) {
        self.actions.push(Action::Send(to, message));
    }

    /// What has to be done since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// A link is up. Its hello has been heard, so the member is there.
    pub fn peer_connected(&mut self, now: Micros, hello: MemberUpdate) {
        if self.name == Identity::Unconfirmed {
            self.name = Identity::Confirmed;
        }
        let me = self.me;
        if let Some(member) = self.member(hello.member) {
            (member.connected, member.connection_lost, member.unanswered_pings) = (true, false, 0);
            // A doubt of one's own that rested on the broken link is over; others' begin to count anew.
            member.suspectors.remove(&me);
            member.suspected_at = now;
        }
        self.apply_update(now, hello);
        self.tell_suspect(now, hello.member);
        if self.refutation > 0 {
            // What this side refuted after its hello was written.
            let updates = vec![self.own_update()];
            self.send(hello.member, Message::Gossip { updates });
        }
    }

    /// A link ended, or could not be had: a sign, and a reason to ask others at once. `broken` where it was
    /// more than this side's own closing.
    pub fn peer_disconnected(&mut self, now: Micros, peer: PeerId, broken: bool) {
        let Some(member) = self.member(peer) else { return };
        let gossip_queue = member.connected || !member.connection_lost;
        member.connected = false;
        member.connection_lost |= broken;
        let asked = matches!(member.state(), Some(MemberState::Alive | MemberState::Suspect));
        // Whoever waits for a word about it can have it now.
        let over: Vec<u64> =
            self.relayed_probes.iter().filter(|(_, f)| f.target == peer).map(|(&s, _)| s).collect();
        for seq in over {
            self.reply_to_requester(seq, ProbeResult::ConnectionLost);
        }
        if asked && broken && gossip_queue {
            self.probes.retain(|_, probe| probe.target != peer);
            self.probe(now, peer);
            self.confirm_suspicion(now, peer);
        }
    }

    /// A member said something on its link, in the life that its hello named.
    pub fn handle_message(&mut self, now: Micros, from: PeerId, message: Message) {
        if self.member(from).is_none() {
            return;
        }
        match message {
            Message::Ping { seq, view, updates } => {
                self.apply_updates(now, &updates);
                let updates = self.piggyback_updates();
                self.send(from, Message::Ack { seq, updates });
                if view != self.view_digest() {
                    self.send_view(now, from);
                }
            }
            Message::Ack { seq, updates } => {
                self.apply_updates(now, &updates);
                if self.probes.get(&seq).is_some_and(|probe| probe.target == from) {
                    self.probe_acked(seq);
                } else if self.relayed_probes.get(&seq).is_some_and(|favour| favour.target == from) {
                    self.reply_to_requester(seq, ProbeResult::Acked);
                }
                if let Some(member) = self.member(from) {
                    member.unanswered_pings = 0;
                }
            }
            Message::PingReq { seq, target } => self.handle_ping_req(now, from, seq, target),
            Message::PingReqResult { seq, target, result } => {
                let known = self.probes.get_mut(&seq).filter(|probe| probe.target == target);
                let Some(probe) = known else { return };
                if result == ProbeResult::Acked {
                    return self.probe_acked(seq);
                }
                if probe.relays.remove(&from) && probe.relays.is_empty() && !probe.is_direct {
                    // Nobody is left who could still reach it.
                    self.probe_failed(now, seq);
                }
            }
            Message::Gossip { updates } => {
                let outdated = |c: &MemberUpdate| {
                    c.member == self.me && c.state > MemberState::Alive && c.key() < self.own_update().key()
                };
                let outdated = updates.iter().any(outdated);
                self.apply_updates(now, &updates);
                if outdated {
                    // The refutation has not come that far.
                    let updates = vec![self.own_update()];
                    self.send(from, Message::Gossip { updates });
                }
            }
        }
        self.tell_suspect(now, from);
    }

    /// One that is doubted here is heard: it has to know, so that it can refute.
    fn tell_suspect(&mut self, now: Micros, peer: PeerId) {
        let pause = self.pace.ack_timeout;
        let Some(member) = self.member(peer) else { return };
        let suspected_at = matches!(member.state(), Some(MemberState::Suspect | MemberState::Dead));
        if !suspected_at
            || !member.connected
            || member.last_told.is_some_and(|at| now.saturating_sub(at) < pause)
        {
            return;
        }
        member.last_told = Some(now);
        let updates = self.member_update(peer).into_iter().collect();
        self.send(peer, Message::Gossip { updates });
    }

    fn send_view(&mut self, now: Micros, to: PeerId) {
        let Some(member) = self.member(to) else { return };
        if member.last_told.is_some_and(|at| now.saturating_sub(at) < VIEW_INTERVAL) {
            return;
        }
        member.last_told = Some(now);
        let updates: Vec<MemberUpdate> = self.peers().filter_map(|peer| self.member_update(peer)).collect();
        for some in updates.chunks(UPDATES_PER_MESSAGE) {
            self.send(to, Message::Gossip { updates: some.to_vec() });
        }
    }

    fn handle_ping_req(&mut self, now: Micros, requester: PeerId, seq: u64, target: PeerId) {
        let (room, deadline) = (
            self.relayed_probes.len() < RELAYED_PROBES_PER_MEMBER * self.members.len(),
            now + self.ack_timeout(),
        );
        let Some(member) = self.member(target) else { return };
        let result = match member {
            Member { connected: true, .. } if room => {
                self.seq += 1;
                let (own, view) = (self.seq, self.view_digest());
                self.relayed_probes.insert(own, RelayedProbe { requester, seq, target, deadline });
                let updates = self.piggyback_updates();
                return self.send(target, Message::Ping { seq: own, view, updates });
            }
            Member { connection_lost: true, .. } => ProbeResult::ConnectionLost,
            _ => ProbeResult::NoResponse,
        };
        self.send(requester, Message::PingReqResult { seq, target, result });
    }

    fn reply_to_requester(&mut self, seq: u64, result: ProbeResult) {
        let Some(RelayedProbe { requester, seq, target, .. }) = self.relayed_probes.remove(&seq) else {
            return;
        };
        self.send(requester, Message::PingReqResult { seq, target, result });
    }

    /// A question was answered.
    fn probe_acked(&mut self, seq: u64) {
        if self.probes.remove(&seq).is_some() {
            self.local_health_multiplier = self.local_health_multiplier.saturating_sub(1);
        }
    }

    /// Begins a question to a member, through others where there is no link.
    fn probe(&mut self, now: Micros, target: PeerId) {
        self.seq += 1;
        let (seq, deadline) = (self.seq, now + self.ack_timeout());
        let connected = self.member(target).is_some_and(|member| member.connected);
        self.probes.insert(seq, Probe { target, is_direct: connected, deadline, relays: BTreeSet::new() });
        if connected {
            let (view, updates) = (self.view_digest(), self.piggyback_updates());
            self.send(target, Message::Ping { seq, view, updates });
        } else {
            self.send_ping_reqs(now, seq);
        }
    }

    fn send_ping_reqs(&mut self, now: Micros, seq: u64) {
        let Some(target) = self.probes.get(&seq).map(|probe| probe.target) else { return };
        let able = |peer: &PeerId| {
            let member = &self.members[usize::from(peer.0)];
            *peer != target && member.connected && member.is(MemberState::Alive)
        };
        let mut relays: Vec<PeerId> = self.peers().filter(able).collect();
        self.rng.shuffle(&mut relays);
        relays.truncate(PING_REQ_RELAYS);
        for &helper in &relays {
            self.send(helper, Message::PingReq { seq, target });
        }
        let deadline = now + 2 * self.ack_timeout();
        let Some(probe) = self.probes.get_mut(&seq) else { return };
        (probe.is_direct, probe.deadline) = (false, deadline);
        probe.relays = relays.into_iter().collect();
        if probe.relays.is_empty() {
            self.probe_failed(now, seq);
        }
    }

    /// Neither this process nor others for it have reached the member.
    fn probe_failed(&mut self, now: Micros, seq: u64) {
        let Some(probe) = self.probes.remove(&seq) else { return };
        if !probe.relays.is_empty() {
            // Helpers owed a word, be it a "no": that they did not give it may be this process's own trouble.
            self.local_health_multiplier =
                (self.local_health_multiplier + 1).min(MAX_LOCAL_HEALTH_MULTIPLIER);
        }
        self.suspect(now, probe.target);
    }

    fn suspect(&mut self, now: Micros, peer: PeerId) {
        let source = self.me;
        let Some(member) = self.member(peer) else { return };
        let evidence = if member.connection_lost {
            SuspicionEvidence::ConnectionLost
        } else {
            SuspicionEvidence::NoResponse
        };
        let Some((incarnation, refutation, state)) = member.update else { return };
        if state > MemberState::Suspect
            || member.suspectors.get(&source).is_some_and(|&held| held >= evidence)
        {
            return;
        }
        let update = MemberUpdate {
            member: peer,
            incarnation,
            refutation,
            state: MemberState::Suspect,
            source,
            evidence,
        };
        self.apply_update(now, update);
    }

    /// Adds one's own broken link to a doubt that others have raised.
    fn confirm_suspicion(&mut self, now: Micros, peer: PeerId) {
        let confirms = |member: &mut Member| {
            member.connection_lost && !member.connected && member.is(MemberState::Suspect)
        };
        if self.member(peer).is_some_and(confirms) {
            self.suspect(now, peer);
        }
    }

    fn apply_updates(&mut self, now: Micros, updates: &[MemberUpdate]) {
        updates.iter().for_each(|update| self.apply_update(now, *update));
    }

    /// Takes a claim in, where it is higher than what is known, or says more of a doubt.
    pub fn apply_update(&mut self, now: Micros, update: MemberUpdate) {
        if update.member == self.me {
            return self.apply_update_about_self(now, update);
        }
        let Some(member) = self.members.get_mut(usize::from(update.member.0)) else { return };
        let was = member.update;
        if was.is_some_and(|was| was > update.key()) {
            return;
        }
        let is_doubt = update.state == MemberState::Suspect;
        let same = was == Some(update.key());
        if same && !is_doubt {
            return;
        }
        if !same {
            member.update = Some(update.key());
            member.suspectors.clear();
            member.suspected_at = now;
        }
        if is_doubt {
            let held = member.suspectors.get(&update.source).copied();
            if held.is_some_and(|held| held >= update.evidence) {
                return;
            }
            member.suspectors.insert(update.source, update.evidence);
        }
        let connected = member.connected;
        if !same {
            self.actions.push(Action::Notify(Event::MemberChanged(update)));
        }
        self.disseminate(update);
        if connected && matches!(update.state, MemberState::Suspect | MemberState::Dead) {
            // The one that it is about hears it from whoever still reaches it.
            self.send(update.member, Message::Gossip { updates: vec![update] });
        }
        self.confirm_suspicion(now, update.member);
    }

    /// Somebody says something of this process.
    fn apply_update_about_self(&mut self, now: Micros, update: MemberUpdate) {
        if update.incarnation == self.incarnation {
            let wrong = update.key() > self.own_update().key();
            if wrong && update.state != MemberState::Left {
                self.refutation = update.refutation.saturating_add(1);
                self.local_health_multiplier =
                    (self.local_health_multiplier + 1).min(MAX_LOCAL_HEALTH_MULTIPLIER);
                self.actions.push(Action::Notify(Event::Refuted(self.refutation)));
                self.disseminate(self.own_update());
            }
            return;
        }
        // Before it is a member the number always grows, whichever nonce is the higher one: a later life can be
        // told by its number alone.
        let earlier =
            self.name == Identity::Unconfirmed && update.incarnation.number >= self.incarnation.number;
        if update.incarnation < self.incarnation && !earlier {
            return;
        }
        // Another process has this name, in a life that counts as later than this one.
        let over = matches!(update.state, MemberState::Dead | MemberState::Left);
        if self.name == Identity::Unconfirmed || over {
            self.incarnation.number = update.incarnation.number.saturating_add(1);
            self.refutation = 0;
            if self.name == Identity::Superseded {
                self.name = Identity::Confirmed;
            }
            self.actions.push(Action::Notify(Event::IncarnationRaised(self.incarnation)));
            if self.name == Identity::Confirmed {
                self.disseminate(self.own_update());
            }
        } else if self.name == Identity::Confirmed {
            self.name = Identity::Superseded;
            self.probes.clear();
            self.relayed_probes.clear();
            self.next_probe = now + self.pace.probe_interval;
            self.actions.push(Action::Notify(Event::Superseded(update.incarnation)));
        }
    }

    /// Tells news at once to some and keeps it to be told by the way.
    fn disseminate(&mut self, update: MemberUpdate) {
        if self.name == Identity::Superseded {
            return;
        }
        let mut to: Vec<PeerId> = self.peers().filter(|peer| *peer != update.member).collect();
        to.retain(|peer| self.members[usize::from(peer.0)].connected);
        // Retold as often as is needed for all to hear it with few losses: three times the logarithm.
        let times = 3 * (usize::BITS - self.members.len().leading_zeros());
        if to.len() > GOSSIP_FANOUT {
            self.rng.shuffle(&mut to);
            to.truncate(GOSSIP_FANOUT);
        }
        // Who is told at once of a doubt that came by hearsay has mostly heard it too: only first-hand news
        // goes to all at once.
        let own =
            update.member == self.me || (update.source == self.me && update.state >= MemberState::Suspect);
        if own {
            for peer in to {
                self.send(peer, Message::Gossip { updates: vec![update] });
            }
        }
        // What is lower than this is no news any more; of a doubt each member's own is kept.
        self.gossip_queue.retain(|(known, _)| {
            known.member != update.member || (known.key() == update.key() && known.source != update.source)
        });
        if self.gossip_queue.len() >= GOSSIP_QUEUE_PER_MEMBER * self.members.len() {
            self.gossip_queue.pop_front();
        }
        self.gossip_queue.push_back((update, times));
    }

    /// The news that goes along with a message.
    fn piggyback_updates(&mut self) -> Vec<MemberUpdate> {
        let mut updates = Vec::new();
        for _ in 0..PIGGYBACKED_UPDATES.min(self.gossip_queue.len()) {
            let Some((update, times)) = self.gossip_queue.pop_front() else { break };
            updates.push(update);
            if times > 1 {
                self.gossip_queue.push_back((update, times - 1));
            }
        }
        updates
    }

    /// When a doubt becomes a loss: later under strain, sooner the more came to it by themselves, and soon
    /// where links broke at most of those who are there.
    fn suspicion_deadline(&self, member: &Member) -> Option<Micros> {
        if !member.is(MemberState::Suspect) {
            return None;
        }
        let able = 1 + self.members.iter().filter(|e| e.is(MemberState::Alive)).count();
        let broken = member
            .suspectors
            .values()
            .filter(|&&evidence| evidence == SuspicionEvidence::ConnectionLost)
            .count();
        let patient = Micros::from(1 + self.local_health_multiplier);
        if 2 * broken > able {
            return Some(member.suspected_at + CONFIRMED_SUSPICION_TIMEOUT * patient);
        }
        let longest = self.pace.suspicion_timeout * patient;
        let shortest = longest / 3;
        let others = member.suspectors.len().saturating_sub(1).min(2);
        // Lifeguard's curve, log(c + 1) / log(k + 1) for k = 2, in thousandths.
        let share = [0, 631, 1000][others];
        Some(member.suspected_at + longest - (longest - shortest) * share / 1000)
    }

    /// When something is to be done without a message.
    #[must_use]
    pub fn poll_timeout(&self) -> Option<Micros> {
        let probes = self.probes.values().map(|probe| probe.deadline);
        let relayed_probes = self.relayed_probes.values().map(|favour| favour.deadline);
        let losses = self.members.iter().filter_map(|member| self.suspicion_deadline(member));
        let next = (!self.leaving && self.name != Identity::Superseded).then_some(self.next_probe);
        probes.chain(relayed_probes).chain(losses).chain(next).min()
    }

    /// Does all whose time has come.
    pub fn handle_timeout(&mut self, now: Micros) {
        let Some(due) = self.poll_timeout().filter(|&due| due <= now) else { return };
        let late = now - due;
        if late > LATE_TIMER {
            return self.handle_late_timers(now, late);
        }
        let over = |deadline: Micros| deadline <= now;
        let relayed_probes: Vec<u64> =
            self.relayed_probes.iter().filter(|(_, f)| over(f.deadline)).map(|(&seq, _)| seq).collect();
        for seq in relayed_probes {
            self.reply_to_requester(seq, ProbeResult::NoResponse);
        }
        let late: Vec<(u64, bool, PeerId)> = self
            .probes
            .iter()
            .filter(|(_, p)| over(p.deadline))
            .map(|(&seq, p)| (seq, p.is_direct, p.target))
            .collect();
        for (seq, is_direct, target) in late {
            if is_direct {
                self.ping_unanswered(target);
                self.send_ping_reqs(now, seq);
            } else {
                self.probe_failed(now, seq);
            }
        }
        for peer in self.peers() {
            let gone = self.suspicion_deadline(&self.members[usize::from(peer.0)]).is_some_and(over);
            if let (true, Some(update)) = (gone, self.member_update(peer)) {
                self.apply_update(now, MemberUpdate { state: MemberState::Dead, source: self.me, ..update });
            }
        }
        if self.next_probe <= now {
            self.next_probe = now + self.pace.probe_interval;
            if let Some(target) = self.next_probe_target() {
                self.probe(now, target);
            }
        }
    }

    /// This process was not at its timers in time. What it did not hear meanwhile says nothing of others: open
    /// questions begin anew, doubts stand as much longer, and strain grows.
    fn handle_late_timers(&mut self, now: Micros, late: Micros) {
        self.local_health_multiplier = (self.local_health_multiplier + 1).min(MAX_LOCAL_HEALTH_MULTIPLIER);
        let deadline = now + self.ack_timeout();
        self.probes.values_mut().for_each(|probe| probe.deadline = deadline);
        self.relayed_probes.values_mut().for_each(|favour| favour.deadline = deadline);
        for member in &mut self.members {
            if member.is(MemberState::Suspect) {
                member.suspected_at += late;
            }
        }
        self.next_probe = now + self.pace.probe_interval;
    }

    fn ping_unanswered(&mut self, peer: PeerId) {
        let Some(member) = self.member(peer) else { return };
        member.unanswered_pings += 1;
        if member.unanswered_pings % UNANSWERED_PINGS_BEFORE_RECONNECT == 0 {
            self.actions.push(Action::Reconnect(peer));
        }
    }

    /// The next one in turn: everybody once, in a new order each time, as far as there is a way to it.
    fn next_probe_target(&mut self) -> Option<PeerId> {
        for _ in 0..=self.members.len() {
            if self.probe_order.is_empty() {
                self.probe_order = self.peers().filter(|peer| *peer != self.me).collect();
                let rng = &mut self.rng;
                rng.shuffle(&mut self.probe_order);
            }
            let peer = self.probe_order.pop()?;
            let member = &self.members[usize::from(peer.0)];
            let asked = self.probes.values().any(|probe| probe.target == peer);
            let able =
                member.connected || matches!(member.state(), Some(MemberState::Alive | MemberState::Suspect));
            if able && !asked && !member.is(MemberState::Left) {
                return Some(peer);
            }
        }
        None
    }

    /// This process ends: all who are linked hear it at once.
    pub fn announce_leave(&mut self) {
        if !self.leaving {
            self.leaving = true;
            let own = self.own_update();
            let connected: Vec<PeerId> =
                self.peers().filter(|peer| self.members[usize::from(peer.0)].connected).collect();
            for peer in connected {
                self.send(peer, Message::Gossip { updates: vec![own] });
            }
            self.probes.clear();
        }
    }
}
