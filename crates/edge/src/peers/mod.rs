//! Links to the other gatherers of the list: sockets and bytes. Who may be linked, who dials when, what waits
//! and who is held to be there is decided in `mallowgauge_cluster`.
//!
//! A peer can cost queries nothing that matters: what it sends is read at a bounded rate and in bounded pieces,
//! what waits for it is bounded, and one that is silent in the middle of a message, never reads or says what
//! makes no sense loses its link and nothing else.

pub mod wire;

use std::collections::{BTreeMap, BTreeSet};
use std::io::IoSlice;
use std::net::{IpAddr, SocketAddr, TcpStream};

use mallowgauge_cluster::flow::{Bundle, Intake, Queue};
use mallowgauge_cluster::links::{latest, Dials, Hello, Refusal, Register, Room};
use mallowgauge_cluster::members::{Claim, Members, Note, Order, State};
use mallowgauge_cluster::register::AcceptorLimits;
use mallowgauge_cluster::takeover::{
    Action as TakeoverAction, Message as TakeoverMessage, TakeoverConfig, TakeoverManager,
};
use mallowgauge_cluster::{Incarnation, PeerId};
use mallowgauge_net::{Handle, Listener, ReadEnd, Stream};
use mallowgauge_router::Micros;
use mallowgauge_settings::Fleet;

use crate::token::SocketKind;
use wire::Said;

/// A connection has to show who is there within this time, and a dial to come up.
const GREETING: Micros = 1_000_000;
/// A message has to become whole within this time.
const HALF: Micros = 1_000_000;
/// What waits for a peer has to move within this time.
const STALL: Micros = 2_000_000;
/// A connection that was said goodbye to is kept for so long, so that the words can be read.
const PARTING: Micros = 200_000;

/// Bytes of notes that go as one message.
const BUNDLE: usize = 4096;
/// Messages that are written in one call.
const PIECES: usize = 64;

/// Bytes that the system may hold for a peer that does not read them.
const IN_SOCKET: usize = 32 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The dial is under way.
    Dialing,
    /// The other side's hello is waited for.
    Greeting,
    /// A link.
    Up(PeerId),
    /// Goodbye was said; what comes is passed over.
    Parting,
}

struct Link {
    stream: Stream,
    phase: Phase,
    /// Which life of the peer is at the other end.
    life: Incarnation,
    /// Whom this side dialed.
    dialed: Option<PeerId>,
    input: Vec<u8>,
    /// Notes that go together.
    bundle: Bundle,
    queue: Queue,
    intake: Intake,
    /// When the present phase began.
    since: Micros,
    /// Since when a message that has begun is not whole.
    half: Option<Micros>,
    /// Since when nothing that waits has moved.
    stuck: Option<Micros>,
    /// More is to be read, but not before then.
    again: Option<Micros>,
}

impl Link {
    fn due(&self) -> Option<Micros> {
        let phase = match self.phase {
            Phase::Dialing | Phase::Greeting => Some(self.since + GREETING),
            Phase::Up(_) => None,
            Phase::Parting => Some(self.since + PARTING),
        };
        let half = self.half.map(|at| at + HALF);
        let stuck = self.stuck.map(|at| at + STALL);
        [phase, half, stuck, self.again, self.bundle.due()].into_iter().flatten().min()
    }

    /// Writes what the socket takes.
    fn flush(&mut self, now: Micros) -> Result<(), String> {
        loop {
            let pieces: Vec<IoSlice> = self.queue.pieces().take(PIECES).map(IoSlice::new).collect();
            if pieces.is_empty() {
                break;
            }
            let length: usize = pieces.iter().map(|piece| piece.len()).sum();
            let done = self.stream.write_vectored(&pieces).map_err(|e| e.to_string())?;
            self.queue.wrote(done);
            if done > 0 {
                self.stuck = None;
            }
            if done < length {
                self.stuck.get_or_insert(now);
                return Ok(());
            }
        }
        self.stuck = None;
        Ok(())
    }
}

/// How a link ended.
enum End {
    /// The connection broke, was refused, or came to nothing: a sign of trouble over there.
    Broken(String),
    /// One of the sides does not take the other for what it says it is.
    Refused(String, bool),
    /// A later connection to the same peer took its place, or the same peer was told goodbye.
    Replaced,
}

/// The links of this process and its view of the fleet.
pub struct Peers {
    register: Register,
    addresses: Vec<SocketAddr>,
    members: Members,
    /// What is done for ids, where queries are taken over.
    takeover: Option<TakeoverManager>,
    /// What the manager wants of the rest of the program.
    takeover_actions: Vec<TakeoverAction>,
    dials: Dials,
    room: Room,
    listener: Option<Listener>,
    links: BTreeMap<u64, Link>,
    /// The link to each member.
    of: Vec<Option<u64>>,
    next: u64,
    /// Accepting rests until then: there was no descriptor.
    resting: Option<Micros>,
    /// What was said last of a member that is not taken, so that it is said once.
    said: BTreeMap<String, String>,
    /// Links with something to be written in this turn.
    unsaid: BTreeSet<u64>,
    /// Messages that had to go for want of room, so far.
    dropped: u64,
    next_timeout: Option<Micros>,
}

/// How long accepting rests when no more descriptors are to be had.
const REST: Micros = 20_000;
/// Bytes that a record is reckoned to hold, with what was asked and answered.
const A_RECORD: usize = 2048;
/// Bytes that each half of a message about a record leaves for all but what was asked and how it ended.
const A_RECORDS_REST: usize = 1024;
/// Names that a line was written about, at most.
const SAID: usize = 64;

impl Peers {
    /// Opens the listener; nothing is dialed before [`Peers::handle_timeout`].
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn start(
        now: Micros,
        handle: &Handle,
        (fleet, room): (&Fleet, Room),
        life: u64,
        seed: u64,
    ) -> Result<Self, String> {
        let me = PeerId(u16::try_from(fleet.me).map_err(|e| e.to_string())?);
        let names = fleet.peers.iter().map(|peer| peer.name.clone()).collect();
        let register = Register::new(names, me, fleet.version);
        let token = SocketKind::PeerListener.token(0);
        let listener = Listener::bind(handle, fleet.listen, token);
        let listener = listener.map_err(|e| format!("{}: {e}", fleet.listen))?;
        let addr = listener.addr().map_err(|e| e.to_string())?;
        tracing::info!(
            "peers are taken on {addr}, as {} of {} in list {}, life {:08x}",
            register.name(me),
            fleet.peers.len(),
            fleet.version,
            life >> 32
        );
        let mut peers = Self {
            members: Members::new(now, me, fleet.peers.len(), life, fleet.pace, seed),
            dials: Dials::new(now, &register, seed ^ life),
            takeover: fleet.handover.map(|life| {
                let limits = AcceptorLimits {
                    records: room.records,
                    bytes: room.records * A_RECORD,
                    query_lifetime: life,
                };
                TakeoverManager::new(TakeoverConfig {
                    me,
                    peer_count: fleet.peers.len(),
                    group_size: fleet.group,
                    limits,
                })
            }),
            takeover_actions: Vec::new(),
            register,
            addresses: fleet.peers.iter().map(|peer| peer.address).collect(),
            room,
            listener: Some(listener),
            links: BTreeMap::new(),
            of: vec![None; fleet.peers.len()],
            next: 1,
            resting: None,
            said: BTreeMap::new(),
            unsaid: BTreeSet::new(),
            dropped: 0,
            next_timeout: None,
        };
        peers.flush(now);
        Ok(peers)
    }

    /// When something is to be done without any socket's call.
    #[must_use]
    pub fn poll_timeout(&self) -> Option<Micros> {
        self.next_timeout
    }

    /// Does all whose time has come.
    pub fn handle_timeout(&mut self, now: Micros, handle: &Handle) {
        if self.next_timeout.is_none_or(|due| due > now) {
            return;
        }
        if self.resting.is_some_and(|until| until <= now) {
            self.resting = None;
            self.take_all(now, handle);
        }
        let late = self.links.iter().filter(|(_, link)| link.due().is_some_and(|due| due <= now));
        for id in late.map(|(&id, _)| id).collect::<Vec<_>>() {
            self.unsaid.insert(id);
            // What came while this process was late is read before anybody is blamed for it.
            self.work(now, id);
            self.late(now, id);
        }
        self.members.tick(now);
        self.takeover.iter_mut().for_each(|manager| manager.handle_timeout(now));
        for peer in self.dials.take(now) {
            self.dial(now, handle, peer);
        }
        self.settle(now);
    }

    /// A peer's socket is ready.
    pub fn ready(&mut self, now: Micros, id: u64) {
        self.work(now, id);
        self.settle(now);
    }

    /// Peers wait to be accepted.
    pub fn accept(&mut self, now: Micros, handle: &Handle) {
        self.take_all(now, handle);
        self.settle(now);
    }

    /// This process ends: all hear it, and nobody is linked any more.
    pub fn announce_leave(&mut self, now: Micros) {
        self.members.leave();
        self.settle(now);
    }

    /// The most bytes that a record may hold of what was asked, and as many again of how it ended: two keepers
    /// tell each other both in one message.
    #[must_use]
    pub fn largest_record(&self) -> usize {
        self.room.message / 2 - A_RECORDS_REST
    }

    /// What the manager wants of the rest of the program since the last call.
    pub fn take_takeover_actions(&mut self) -> Vec<TakeoverAction> {
        std::mem::take(&mut self.takeover_actions)
    }

    /// Something happens to a query; what comes of it is sent at once.
    pub fn with_takeover_manager<T>(
        &mut self,
        now: Micros,
        call: impl FnOnce(&mut TakeoverManager) -> T,
    ) -> Option<T> {
        let done = call(self.takeover.as_mut()?);
        self.settle(now);
        Some(done)
    }

    /// Carries out what the members want, and finds out when there is more to do.
    fn settle(&mut self, now: Micros) {
        // Sending can end a link, and that can be worth a message: each round ends one link at the least.
        loop {
            let orders = self.members.orders();
            let takeover_actions =
                self.takeover.as_mut().map(TakeoverManager::take_actions).unwrap_or_default();
            if orders.is_empty() && takeover_actions.is_empty() {
                break;
            }
            orders.into_iter().for_each(|order| self.order(now, order));
            for action in takeover_actions {
                match action {
                    TakeoverAction::Send { to, message: note } => {
                        let id = self.link(to);
                        id.into_iter().for_each(|id| self.bundle(now, id, &note));
                    }
                    action => self.takeover_actions.push(action),
                }
            }
        }
    }

    /// Writes what a turn has left to be sent, and finds out when there is more to do.
    pub fn flush(&mut self, now: Micros) {
        for id in std::mem::take(&mut self.unsaid) {
            let Some(link) = self.links.get_mut(&id) else { continue };
            if let Some(notes) = link.bundle.take(now) {
                self.say(id, &Said::Notes(notes));
            }
            let Some(link) = self.links.get_mut(&id) else { continue };
            if link.phase != Phase::Dialing {
                if let Err(e) = link.flush(now) {
                    self.end(now, id, End::Broken(e));
                }
            }
        }
        // The end of a link can be worth a message to others: that one goes in the next turn, which is at once.
        self.settle(now);
        let again = (!self.unsaid.is_empty()).then_some(now);
        let links = self.links.values().filter_map(Link::due);
        let manager = self.takeover.as_ref().and_then(TakeoverManager::poll_timeout);
        let rest = [self.members.due(), self.dials.due(), self.resting, manager, again];
        self.next_timeout = links.chain(rest.into_iter().flatten()).min();
    }

    /// A note goes to a peer, with others of this turn.
    fn bundle(&mut self, now: Micros, id: u64, note: &TakeoverMessage) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let before = link.bundle.add(now, &wire::note(note), note.is_awaited());
        self.unsaid.insert(id);
        before.into_iter().for_each(|notes| self.say(id, &Said::Notes(notes)));
    }

    /// The link to a member, if there is one.
    fn link(&self, peer: PeerId) -> Option<u64> {
        self.of.get(usize::from(peer.0)).copied().flatten()
    }

    fn order(&mut self, now: Micros, order: Order) {
        match order {
            Order::Send(to, message) => {
                let id = self.link(to);
                id.into_iter().for_each(|id| self.say(id, &Said::Message(message.clone())));
            }
            Order::Relink(peer) => {
                if let Some(id) = self.link(peer) {
                    self.end(now, id, End::Broken("it answers nothing".to_owned()));
                }
            }
            Order::Note(note) => self.note(now, note),
        }
    }

    fn note(&mut self, now: Micros, note: Note) {
        match note {
            Note::Held(Claim { about, incarnation, state, by, .. }) => {
                let (name, by) = (self.register.name(about), self.register.name(by));
                let state = match state {
                    State::Alive => "alive",
                    State::Doubted => "doubted",
                    State::Gone => "gone",
                    State::Left => "left",
                };
                tracing::info!("peer {name} is {state}, life {incarnation}, says {by}");
                // What an earlier life still sends counts for nothing.
                let id = self.link(about);
                let old = |id: &u64| self.links.get(id).is_some_and(|link| link.life < incarnation);
                if let Some(id) = id.filter(old) {
                    self.part(now, id, "a later life of it is known");
                }
                // Who has said that it ends goes on until it has ended what it took: it is away once its link is.
                let away = state != "alive" && !(state == "left" && self.link(about).is_some());
                self.takeover
                    .iter_mut()
                    .for_each(|manager| manager.peer_availability_changed(now, about, away));
                if state == "alive" {
                    self.dials.hint(now, about);
                }
            }
            Note::Refuted(round) => {
                tracing::warn!("this gatherer was doubted and says that it is there, for time {round}");
            }
            Note::Usurped(held) => {
                let name = self.register.name(self.register.me());
                tracing::error!("another gatherer is {name}, life {held}; this one stands aside");
                // Nobody takes this process for a member now, and it takes part in nothing.
                let life = self.members.incarnation();
                self.takeover.iter_mut().for_each(|manager| manager.incarnation_changed(now, life));
                let up: Vec<u64> = self.of.iter().copied().flatten().collect();
                for id in up {
                    self.part(now, id, "it stands aside");
                }
            }
            Note::Renewed(incarnation) => {
                tracing::info!("an earlier life of this gatherer was known; it goes on as {incarnation}");
                self.takeover.iter_mut().for_each(|manager| manager.incarnation_changed(now, incarnation));
            }
        }
    }

    fn add(&mut self, now: Micros, stream: Stream, phase: Phase, dialed: Option<PeerId>) -> u64 {
        let id = self.next;
        self.next += 1;
        stream.hold_back(IN_SOCKET);
        let (queue, intake) = (Queue::new(self.room.queue), Intake::new(now, self.room.a_second));
        let (input, half, stuck, again) = (Vec::new(), None, None, None);
        let life = Incarnation::default();
        let bundle = Bundle::new(BUNDLE.min(self.room.message - wire::AROUND));
        let link = Link {
            stream,
            phase,
            life,
            dialed,
            input,
            bundle,
            queue,
            intake,
            since: now,
            half,
            stuck,
            again,
        };
        self.links.insert(id, link);
        id
    }

    fn dial(&mut self, now: Micros, handle: &Handle, peer: PeerId) {
        let addr = self.addresses[usize::from(peer.0)];
        let token = SocketKind::Peer.token(self.next);
        match Stream::dial(handle, addr, token) {
            Ok(stream) => {
                let id = self.add(now, stream, Phase::Dialing, Some(peer));
                self.work(now, id);
            }
            Err(e) => {
                self.dials.ended(now, peer);
                self.tell_once(peer, format!("no connection here: {e}"));
            }
        }
    }

    fn take_all(&mut self, now: Micros, handle: &Handle) {
        if self.resting.is_some() {
            return;
        }
        loop {
            match self.listener.as_ref().map(Listener::accept) {
                Some(Ok(Some(socket))) => self.take(now, handle, socket),
                Some(Err(e)) => {
                    self.resting = Some(now + REST);
                    tracing::warn!("peers wait: {e}");
                    return;
                }
                _ => return,
            }
        }
    }

    fn take(&mut self, now: Micros, handle: &Handle, socket: TcpStream) {
        let ip: Option<IpAddr> = socket.peer_addr().ok().map(|addr| addr.ip());
        if !self.addresses.iter().any(|known| Some(known.ip()) == ip) {
            let ip = ip.map_or_else(|| "nowhere".to_owned(), |ip| ip.to_string());
            return self.tell_of(&ip, "its address is in no entry of the list".to_owned());
        }
        // A crowd that says nothing pushes out its own.
        let strangers = self.links.iter().filter(|(_, link)| !matches!(link.phase, Phase::Up(_)));
        let taken = strangers.filter(|(_, link)| link.dialed.is_none());
        let oldest = taken.clone().min_by_key(|(_, link)| link.since).map(|(&id, _)| id);
        if taken.count() >= self.room.strangers {
            oldest.into_iter().for_each(|id| drop(self.links.remove(&id)));
        }
        match Stream::accepted(handle, socket, SocketKind::Peer.token(self.next)) {
            Ok(stream) => {
                let id = self.add(now, stream, Phase::Greeting, None);
                self.work(now, id);
            }
            Err(e) => tracing::warn!("peer not taken: {e}"),
        }
    }

    /// Reads what has come and writes what waits.
    fn work(&mut self, now: Micros, id: u64) {
        let Some(link) = self.links.get_mut(&id) else { return };
        if link.phase == Phase::Dialing {
            match link.stream.connected() {
                None => return,
                Some(false) => return self.end(now, id, End::Broken("nobody is there".to_owned())),
                Some(true) => {}
            }
            (link.phase, link.since) = (Phase::Greeting, now);
            self.greet(id);
        }
        let Some(link) = self.links.get_mut(&id) else { return };
        if let Err(e) = link.flush(now) {
            return self.end(now, id, End::Broken(e));
        }
        self.read(now, id);
    }

    /// Takes the messages that have come, as many as a turn and their rate allow.
    fn read(&mut self, now: Micros, id: u64) {
        let mut turns = self.room.a_turn;
        loop {
            let most = self.room.message;
            let Some(link) = self.links.get_mut(&id) else { return };
            if link.again.is_some_and(|at| at > now) {
                return;
            }
            link.again = None;
            let end = link.stream.read(&mut link.input, wire::HEAD + most);
            let mut at = 0;
            let mut said = Vec::new();
            let spoilt = loop {
                match wire::read(&link.input[at..], most) {
                    Ok(Some((one, length))) => {
                        if turns == 0 {
                            link.again = Some(now);
                            break None;
                        }
                        if !link.intake.take(now) {
                            link.again = Some(link.intake.again());
                            break None;
                        }
                        turns -= 1;
                        at += length;
                        said.push(one);
                    }
                    Ok(None) => break None,
                    Err(why) => break Some(why),
                }
            };
            link.input.drain(..at);
            if link.input.is_empty() || at > 0 {
                link.half = None;
            }
            if !link.input.is_empty() && link.again.is_none() {
                link.half.get_or_insert(now);
            }
            let held = link.again.is_some();
            for one in said {
                self.heard(now, id, one);
            }
            if !self.links.contains_key(&id) {
                return;
            }
            if let Some(why) = spoilt {
                return self.end(now, id, End::Refused(why, false));
            }
            match end {
                _ if held => return,
                ReadEnd::Blocked => return,
                ReadEnd::Full => {}
                ReadEnd::Closed | ReadEnd::Broken => {
                    return self.end(now, id, End::Broken("it closed".to_owned()));
                }
            }
        }
    }

    fn heard(&mut self, now: Micros, id: u64, said: Said) {
        let Some(link) = self.links.get(&id) else { return };
        match (link.phase, said) {
            (Phase::Greeting, Said::Hello(hello)) => self.hello(now, id, &hello),
            (Phase::Greeting | Phase::Up(_), Said::Goodbye(words)) => {
                let words: String = words.chars().filter(|c| !c.is_control()).take(100).collect();
                self.end(now, id, End::Refused(format!("it says: {words}"), true));
            }
            (Phase::Up(peer), Said::Message(message)) => self.members.heard(now, peer, message),
            (Phase::Up(peer), Said::Notes(notes)) => {
                let notes = wire::notes(&notes);
                if let Some(link) = self.links.get_mut(&id) {
                    link.intake.owe(notes.len().saturating_sub(1) as u64);
                }
                if let Some(manager) = &mut self.takeover {
                    notes.into_iter().for_each(|note| manager.handle_message(now, peer, note));
                }
            }
            // Of a later version: passed by.
            (Phase::Up(_), Said::Unknown) | (Phase::Parting | Phase::Dialing, _) => {}
            (Phase::Greeting, _) | (Phase::Up(_), Said::Hello(_)) => {
                self.end(now, id, End::Refused("a message out of turn".to_owned(), false));
            }
        }
    }

    fn greet(&mut self, id: u64) {
        let to = self.links.get(&id).and_then(|link| link.dialed);
        let known = to.and_then(|peer| self.members.claim(peer));
        let hello = self.register.hello(&self.members.own(), known);
        self.say(id, &Said::Hello(hello));
    }

    fn hello(&mut self, now: Micros, id: u64, hello: &Hello) {
        let Some(dialed) = self.links.get(&id).map(|link| link.dialed) else { return };
        let peer = match self.register.judge(hello, dialed) {
            Ok(peer) => peer,
            Err(refusal) => return self.refuse(now, id, hello, &refusal),
        };
        let (own, known) = self.register.claims(peer, hello);
        // What it knows of an earlier life of this process comes first: this side's hello has to go above it.
        known.into_iter().for_each(|claim| self.members.learn(now, claim));
        let held = self.members.claim(peer);
        if dialed.is_none() {
            let hello = self.register.hello(&self.members.own(), held);
            self.say(id, &Said::Hello(hello));
        }
        if self.members.aside() {
            return self.part(now, id, "it stands aside");
        }
        if let Err(refusal) = latest(hello, held) {
            return self.refuse(now, id, hello, &refusal);
        }
        let Some(link) = self.links.get_mut(&id) else { return };
        (link.phase, link.since, link.life) = (Phase::Up(peer), now, hello.incarnation);
        let before = self.of[usize::from(peer.0)].replace(id);
        before.into_iter().for_each(|before| self.end(now, before, End::Replaced));
        self.dials.up(peer);
        self.said.remove(self.register.name(peer));
        tracing::info!("peer {} is linked, life {}", self.register.name(peer), hello.incarnation);
        self.members.linked(now, own);
        let life = self.members.incarnation();
        self.takeover.iter_mut().for_each(|manager| manager.peer_connected(now, peer, own.incarnation, life));
    }

    /// Says why, and lets the other side read it.
    fn refuse(&mut self, now: Micros, id: u64, hello: &Hello, refusal: &Refusal) {
        let name: String = hello.name.chars().filter(|c| !c.is_control()).take(40).collect();
        self.tell_of(&name, refusal.to_string());
        let dialed = self.links.get(&id).and_then(|link| link.dialed);
        if dialed.is_none() && matches!(refusal, Refusal::Version(_) | Refusal::List(_) | Refusal::Names) {
            // The other side judges for itself, and its operator reads of it there, too.
            let hello = self.register.hello(&self.members.own(), None);
            self.say(id, &Said::Hello(hello));
        }
        self.part(now, id, &refusal.to_string());
        if let (Some(peer), false) = (dialed, refusal.passes()) {
            self.dials.refused(now, peer);
        }
    }

    fn part(&mut self, now: Micros, id: u64, words: &str) {
        self.say(id, &Said::Goodbye(words.to_owned()));
        self.detach(now, id, false);
        if let Some(link) = self.links.get_mut(&id) {
            (link.phase, link.since) = (Phase::Parting, now);
        }
    }

    fn say(&mut self, id: u64, said: &Said) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let message = wire::write(said);
        if message.len() > wire::HEAD + self.room.message {
            // The other side would end the link over it, and again over the next one.
            return tracing::error!("peers: a message of {} bytes is not sent", message.len());
        }
        self.unsaid.insert(id);
        let dropped = link.queue.push(wire::worth(said), message);
        if dropped > 0 {
            let before = self.dropped;
            self.dropped += dropped;
            // Once for each doubling: the count is in the line.
            if before.checked_ilog2() != self.dropped.checked_ilog2() {
                tracing::warn!("peers: {} messages had to go for want of room so far", self.dropped);
            }
        }
    }

    /// What the clock says of a link.
    fn late(&mut self, now: Micros, id: u64) {
        let Some(link) = self.links.get(&id) else { return };
        let over = |since: Option<Micros>, after: Micros| since.is_some_and(|at| at + after <= now);
        let why = match link.phase {
            Phase::Parting if over(Some(link.since), PARTING) => return drop(self.links.remove(&id)),
            Phase::Dialing if over(Some(link.since), GREETING) => "no connection in time",
            Phase::Greeting if over(Some(link.since), GREETING) => "no hello in time",
            _ if over(link.half, HALF) => "a message that does not become whole",
            _ if over(link.stuck, STALL) => "it does not read",
            _ => return,
        };
        self.end(now, id, End::Broken(why.to_owned()));
    }

    /// Takes the link away from its member, if it has it.
    fn detach(&mut self, now: Micros, id: u64, broken: bool) -> Option<PeerId> {
        let link = self.links.get(&id)?;
        let peer = match link.phase {
            Phase::Up(peer) => Some(peer),
            _ => link.dialed,
        }?;
        let held = &mut self.of[usize::from(peer.0)];
        if held.is_some_and(|held| held != id) {
            return Some(peer);
        }
        *held = None;
        self.dials.ended(now, peer);
        self.members.unlinked(now, peer, broken);
        if self.members.claim(peer).is_some_and(|claim| claim.state == State::Left) {
            self.takeover.iter_mut().for_each(|manager| manager.peer_availability_changed(now, peer, true));
        }
        Some(peer)
    }

    fn end(&mut self, now: Micros, id: u64, end: End) {
        let Some(link) = self.links.get(&id) else { return };
        if matches!(end, End::Replaced) || link.phase == Phase::Parting {
            self.links.remove(&id);
            return;
        }
        let broken = matches!(end, End::Broken(_));
        if broken {
            // Closed the usual way, the connection would wait in the system until a peer that never reads has read
            // what was sent before; and one that does not know of its end is to hear of it at once.
            link.stream.abort();
        }
        let was_up = self.links.get(&id).is_some_and(|link| matches!(link.phase, Phase::Up(_)));
        let peer = self.detach(now, id, broken);
        self.links.remove(&id);
        match (end, peer) {
            (End::Broken(why), Some(peer)) if was_up => {
                tracing::info!("link to peer {} ended: {why}", self.register.name(peer));
            }
            (End::Refused(why, goodbye), Some(peer)) => {
                if goodbye {
                    // What was heard of an earlier life has been gone above by now: no reason to wait long.
                    self.tell_once(peer, why);
                } else {
                    self.dials.refused(now, peer);
                    tracing::info!("link to peer {} ended: {why}", self.register.name(peer));
                }
            }
            (End::Refused(why, _), None) => self.tell_of("of no name", why),
            _ => {}
        }
    }

    fn tell_once(&mut self, peer: PeerId, why: String) {
        let name = self.register.name(peer).to_owned();
        self.tell_of(&name, why);
    }

    /// Writes a line about a peer that is not taken, once for each reason.
    fn tell_of(&mut self, name: &str, why: String) {
        if self.said.get(name) == Some(&why) {
            return;
        }
        tracing::warn!("peer {name} is not linked: {why}");
        if self.said.len() >= SAID {
            self.said.pop_first();
        }
        self.said.insert(name.to_owned(), why);
    }
}
