//! The handshake: the hello that each side sends first on a connection, and its verification.

use crate::membership::{MemberState, MemberUpdate, SuspicionEvidence};
use crate::{Incarnation, PeerId};

/// Major version of the messages between peers. Another major version is rejected.
pub const MAJOR: u32 = 1;
/// Minor version of the messages between peers. A higher one only adds data that an older build may ignore.
pub const MINOR: u32 = 0;

/// The first message of each side on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hello {
    /// Major version of the sender's messages.
    pub major: u32,
    /// Minor version of the sender's messages.
    pub minor: u32,
    /// The sender's name in the list of peers.
    pub name: String,
    /// Version of the sender's list of peers.
    pub list_version: u64,
    /// Digest of the names in the sender's list.
    pub list_digest: u64,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sender's refutation number in that incarnation.
    pub refutation: u32,
    /// The sender is shutting down.
    pub shutting_down: bool,
    /// Key of the sender's highest update about the receiver, if it has one.
    pub known: Option<(Incarnation, u32, MemberState)>,
}

/// Why a hello is rejected. The texts are logged and sent to the other side.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HandshakeError {
    /// The sender's messages are of another major version.
    #[error("its messages are of version {0}, not {MAJOR}")]
    UnsupportedVersion(u32),
    /// The sender's name is not in the list.
    #[error("{0:.40?} is not in the list of peers")]
    UnknownPeer(String),
    /// The sender uses this process's name.
    #[error("it has this gatherer's own name")]
    OwnName,
    /// The sender is not the peer that was dialed.
    #[error("it calls itself {0:.40?}")]
    WrongPeer(String),
    /// The sender's list is of another version.
    #[error("its list of peers is of version {0}")]
    ListVersion(u64),
    /// The sender's list has the same version, but different names.
    #[error("its list of peers has the same version and other names")]
    ListNames,
    /// A later incarnation of the sender is known.
    #[error("a later life of it is known, {0}")]
    Superseded(Incarnation),
}

impl HandshakeError {
    /// Whether an early retry can succeed: a process that learns of its earlier incarnation raises its own
    /// above it.
    #[must_use]
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Superseded(_))
    }
}

/// The fixed list of peers, and this process's index in it.
#[derive(Clone, Debug)]
pub struct PeerList {
    names: Vec<String>,
    me: PeerId,
    version: u64,
    digest: u64,
}

impl PeerList {
    /// Creates a list from the peers' names in order, this process's index, and the list's version.
    #[must_use]
    pub fn new(names: Vec<String>, me: PeerId, version: u64) -> Self {
        let bytes = names.iter().flat_map(|name| name.bytes().chain([0]));
        let digest = crate::digest(bytes);
        Self { names, me, version, digest }
    }

    /// Returns a peer's name.
    #[must_use]
    pub fn name(&self, peer: PeerId) -> &str {
        self.names.get(usize::from(peer.0)).map_or("?", String::as_str)
    }

    /// Returns this process's id.
    #[must_use]
    pub fn me(&self) -> PeerId {
        self.me
    }

    /// Returns the number of peers in the list, including this process.
    #[must_use]
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether the list has no peers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Returns all peers of the list, including this process.
    pub fn peers(&self) -> impl Iterator<Item = PeerId> {
        (0..self.names.len()).filter_map(|index| u16::try_from(index).ok()).map(PeerId)
    }

    /// Returns this side's hello; `known` is the highest update about the receiver, if the receiver is
    /// identified and has one.
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
            shutting_down: own.state == MemberState::Left,
            known: known.map(|update| update.key()),
        }
    }

    /// Checks a hello against the list and returns its sender; `dialed` is the peer that this side dialed, if
    /// any.
    ///
    /// # Errors
    /// The hello does not match the list, the versions or the dialed peer.
    pub fn verify(&self, hello: &Hello, dialed: Option<PeerId>) -> Result<PeerId, HandshakeError> {
        // The other fields of a hello are only defined within a major version.
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

    /// Returns the updates that a peer's hello contains: about the peer itself, and about this process.
    #[must_use]
    pub fn hello_updates(&self, peer: PeerId, hello: &Hello) -> (MemberUpdate, Option<MemberUpdate>) {
        let state = if hello.shutting_down { MemberState::Left } else { MemberState::Alive };
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

/// Checks that no later incarnation of the sender of this hello is known.
///
/// # Errors
/// A later incarnation is known.
pub fn verify_incarnation(hello: &Hello, known: Option<MemberUpdate>) -> Result<(), HandshakeError> {
    match known {
        Some(known) if known.incarnation > hello.incarnation => {
            Err(HandshakeError::Superseded(known.incarnation))
        }
        _ => Ok(()),
    }
}
