//! Decides who may be linked, who dials whom and when, and what links may hold.
//!
//! One connection a pair: the member earlier in the list dials, the later one waits, so that two never open two.
//! What a hello has to show is checked here, and the answer is either a member or a [`Refusal`] in words.
//! Waits between dials double up to a second and are drawn by the seed, so that a fleet that starts at once
//! does not dial at once.

use crate::membership::{MemberState, MemberUpdate, SuspicionEvidence};
use crate::{Incarnation, Micros, PeerId};

/// Version of the messages. Another major one is refused; a higher minor one only adds what may be passed by.
pub const MAJOR: u32 = 1;
/// See [`MAJOR`].
pub const MINOR: u32 = 0;

/// What each side says first on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hello {
    /// Version of its messages.
    pub major: u32,
    /// Version of its messages.
    pub minor: u32,
    /// Its name in the list.
    pub name: String,
    /// Version of its list.
    pub list_version: u64,
    /// The names of its list in one number.
    pub list_digest: u64,
    /// Its present life.
    pub incarnation: Incarnation,
    /// How often it has refuted in that life.
    pub refutation: u32,
    /// It has said that it ends.
    pub leaving: bool,
    /// What it holds of the one that it talks to.
    pub known: Option<(Incarnation, u32, MemberState)>,
}

/// Why a hello was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HandshakeError {
    /// Its messages are of another major version.
    UnsupportedVersion(u32),
    /// Its name is not in the list.
    UnknownPeer(String),
    /// It has the name of this process.
    OwnName,
    /// Another one was dialed.
    WrongPeer(String),
    /// Its list is of another version.
    ListVersion(u64),
    /// Its list has the same version and other names.
    ListNames,
    /// A later process is known under its name.
    Superseded(Incarnation),
}

impl HandshakeError {
    /// Whether trying soon can help: a process that heard of its earlier life goes above it.
    #[must_use]
    pub fn is_transient(&self) -> bool {
        matches!(self, HandshakeError::Superseded(_))
    }
}

impl std::fmt::Display for HandshakeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            HandshakeError::UnsupportedVersion(major) => {
                write!(f, "its messages are of version {major}, not {MAJOR}")
            }
            HandshakeError::UnknownPeer(name) => write!(f, "{name:.40?} is not in the list of peers"),
            HandshakeError::OwnName => write!(f, "it has this gatherer's own name"),
            HandshakeError::WrongPeer(name) => write!(f, "it calls itself {name:.40?}"),
            HandshakeError::ListVersion(theirs) => write!(f, "its list of peers is of version {theirs}"),
            HandshakeError::ListNames => write!(f, "its list of peers has the same version and other names"),
            HandshakeError::Superseded(held) => write!(f, "a later life of it is known, {held}"),
        }
    }
}

/// The fixed list, as hellos are checked against it.
#[derive(Clone, Debug)]
pub struct PeerList {
    names: Vec<String>,
    me: PeerId,
    version: u64,
    digest: u64,
}

impl PeerList {
    /// The list, in its order, and this process's place in it.
    #[must_use]
    pub fn new(names: Vec<String>, me: PeerId, version: u64) -> Self {
        let bytes = names.iter().flat_map(|name| name.bytes().chain([0]));
        let digest = crate::digest(bytes);
        Self { names, me, version, digest }
    }

    /// A member's name.
    #[must_use]
    pub fn name(&self, peer: PeerId) -> &str {
        self.names.get(usize::from(peer.0)).map_or("?", String::as_str)
    }

    /// This process's place.
    #[must_use]
    pub fn me(&self) -> PeerId {
        self.me
    }

    /// The members.
    pub fn peers(&self) -> impl Iterator<Item = PeerId> {
        (0..self.names.len()).filter_map(|at| u16::try_from(at).ok()).map(PeerId)
    }

    /// This side's hello to a member, or to one not known yet.
    #[must_use]
    pub fn hello(&self, own: &MemberUpdate, known: Option<MemberUpdate>) -> Hello {
        Hello {
            major: MAJOR,
            minor: MINOR,
            name: self.name(self.me).to_owned(),
            list_version: self.version,
            list_digest: self.digest,
            incarnation: own.incarnation,
            refutation: own.refutation,
            leaving: own.state == MemberState::Left,
            known: known.map(|update| update.key()),
        }
    }

    /// Whose hello it is, as far as the list says.
    ///
    /// # Errors
    /// Why it is not taken.
    pub fn verify(&self, hello: &Hello, dialed: Option<PeerId>) -> Result<PeerId, HandshakeError> {
        // Nothing else of another major version can be relied on.
        if hello.major != MAJOR {
            return Err(HandshakeError::UnsupportedVersion(hello.major));
        }
        let peer = self.peers().find(|peer| self.name(*peer) == hello.name);
        let peer = peer.ok_or_else(|| HandshakeError::UnknownPeer(hello.name.clone()))?;
        if peer == self.me {
            return Err(HandshakeError::OwnName);
        }
        if dialed.is_some_and(|dialed| dialed != peer) {
            return Err(HandshakeError::WrongPeer(hello.name.clone()));
        }
        if hello.list_version != self.version {
            return Err(HandshakeError::ListVersion(hello.list_version));
        }
        if hello.list_digest != self.digest {
            return Err(HandshakeError::ListNames);
        }
        Ok(peer)
    }

    /// What a hello says of its sender, and of this process, as claims.
    #[must_use]
    pub fn hello_updates(&self, peer: PeerId, hello: &Hello) -> (MemberUpdate, Option<MemberUpdate>) {
        let state = if hello.leaving { MemberState::Left } else { MemberState::Alive };
        let update = |member, (incarnation, refutation, state)| MemberUpdate {
            member,
            incarnation,
            refutation,
            state,
            source: peer,
            evidence: SuspicionEvidence::NoResponse,
        };
        let own = update(peer, (hello.incarnation, hello.refutation, state));
        (own, hello.known.map(|known| update(self.me, known)))
    }
}

/// Whether the process that says this hello is the latest that is known under its name.
///
/// # Errors
/// A later one is known.
pub fn verify_incarnation(hello: &Hello, known: Option<MemberUpdate>) -> Result<(), HandshakeError> {
    match known {
        Some(known) if known.incarnation > hello.incarnation => {
            Err(HandshakeError::Superseded(known.incarnation))
        }
        _ => Ok(()),
    }
}

/// A first dial comes at once or so much later, for each member of the list: a fleet that starts at once is
/// spread over this.
const SPREAD: Micros = 10_000;
/// The first wait after a link that was up has ended.
const FIRST: Micros = 10_000;
/// The longest wait between dials.
const LONGEST: Micros = 1_000_000;
/// After a refusal that only an operator can mend.
const REFUSED: Micros = 5_000_000;

#[derive(Clone, Copy, Debug)]
struct Dial {
    next: Micros,
    wait: Micros,
    /// A connection is open or being opened.
    busy: bool,
}

/// When this process dials whom.
#[derive(Debug)]
pub struct DialScheduler {
    /// For each member that this process dials.
    dials: Vec<(PeerId, Dial)>,
    rng: fastrand::Rng,
}

impl DialScheduler {
    /// The members behind `me` in the list are dialed, for the first time spread by the seed.
    #[must_use]
    pub fn new(now: Micros, peer_list: &PeerList, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let disseminate = SPREAD * peer_list.names.len() as Micros;
        let me = peer_list.me;
        let dials = peer_list.peers().filter(|peer| *peer > me);
        let dials = dials.map(|peer| {
            let next = now + rng.u64(0..=disseminate);
            (peer, Dial { next, wait: FIRST, busy: false })
        });
        let dials = dials.collect();
        Self { dials, rng }
    }

    fn of(&mut self, peer: PeerId) -> Option<&mut Dial> {
        self.dials.iter_mut().find(|(known, _)| *known == peer).map(|(_, dial)| dial)
    }

    /// Whether this process dials that member.
    #[must_use]
    pub fn dials(&self, peer: PeerId) -> bool {
        self.dials.iter().any(|(known, _)| *known == peer)
    }

    /// Those whose time has come; each counts as being dialed from now on.
    pub fn take_due(&mut self, now: Micros) -> Vec<PeerId> {
        let due = self.dials.iter_mut().filter(|(_, dial)| !dial.busy && dial.next <= now);
        due.map(|(peer, dial)| {
            dial.busy = true;
            *peer
        })
        .collect()
    }

    /// The link is up.
    pub fn connected(&mut self, peer: PeerId) {
        if let Some(dial) = self.of(peer) {
            (dial.busy, dial.wait) = (true, FIRST);
        }
    }

    /// The connection ended, or never came up.
    pub fn disconnected(&mut self, now: Micros, peer: PeerId) {
        let draw = self.rng.f64();
        let Some(dial) = self.of(peer) else { return };
        // Half of the wait at least, so that a fast loop cannot come about, and the rest by the seed.
        dial.next = now + dial.wait / 2 + (dial.wait as f64 / 2.0 * draw) as Micros;
        dial.wait = (dial.wait * 2).min(LONGEST);
        dial.busy = false;
    }

    /// The other side, or this one, does not take the other for what it says it is.
    pub fn rejected(&mut self, now: Micros, peer: PeerId) {
        self.disconnected(now, peer);
        let draw = self.rng.u64(0..=REFUSED / 2);
        if let Some(dial) = self.of(peer) {
            dial.next = now + REFUSED / 2 + draw;
        }
    }

    /// There is a sign that the member is back: it is dialed at once, if it is not being dialed.
    pub fn dial_now(&mut self, now: Micros, peer: PeerId) {
        if let Some(dial) = self.of(peer) {
            (dial.next, dial.wait) = (dial.next.min(now), FIRST);
        }
    }

    /// When the next dial is due.
    #[must_use]
    pub fn poll_timeout(&self) -> Option<Micros> {
        self.dials.iter().filter(|(_, dial)| !dial.busy).map(|(_, dial)| dial.next).min()
    }
}

/// What links may hold, from what the process may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerConnectionLimits {
    /// Connections that have not shown who they are.
    pub unidentified: usize,
    /// Descriptors for all of it: links, strangers, the listener.
    pub sockets_needed: usize,
    /// The longest message, in bytes.
    pub message_bytes: usize,
    /// Bytes that wait to be sent on one link.
    pub queue_bytes: usize,
    /// Records of queries that are kept for others.
    pub records: usize,
    /// Messages taken from one link in a turn.
    pub messages_per_iteration: usize,
    /// Messages taken from one link in a second.
    pub messages_per_second: u64,
}

/// Connections that have not shown who they are, beside those that the list allows for.
const UNIDENTIFIED: usize = 8;

impl PeerConnectionLimits {
    /// All links together hold a sixteenth of the memory: each its queue and two of the longest messages. Records of
    /// queries, 2 KB each, hold another.
    ///
    /// # Errors
    /// How many descriptors are wanted where there are too few, or that memory is short.
    pub fn of(peers: usize, sockets: usize, memory: usize) -> Result<Self, String> {
        let unidentified = UNIDENTIFIED.min(peers.max(2));
        let sockets_needed = peers.saturating_sub(1) + unidentified + 1;
        if sockets_needed > sockets / 4 {
            let wanted = sockets_needed * 4;
            return Err(format!(
                "{peers} peers want limits.sockets of at least {wanted}, a quarter for them"
            ));
        }
        let a_link = memory / 16 / (peers + unidentified);
        // 64 claims of up to 64 bytes have to fit.
        let message = (a_link / 4).min(256 * 1024);
        if message < 8192 {
            return Err(format!("{peers} peers want more of limits.memory_mb"));
        }
        Ok(Self {
            unidentified,
            sockets_needed,
            message_bytes: message,
            queue_bytes: a_link / 2,
            records: memory / 16 / 2048,
            messages_per_iteration: 256,
            messages_per_second: 20_000,
        })
    }
}
