//! The kinds of sockets in the event loop, encoded in the tokens that they are registered under.

use mallowgauge_net::Token;

/// The purpose of a socket, which determines the component that handles it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SocketKind {
    Discovery,
    HttpListener,
    FlightListener,
    HttpClient,
    FlightClient,
    Backend,
    PeerListener,
    Peer,
}

impl SocketKind {
    /// All kinds, indexed by their discriminants.
    const ALL: [Self; 8] = [
        Self::Discovery,
        Self::HttpListener,
        Self::FlightListener,
        Self::HttpClient,
        Self::FlightClient,
        Self::Backend,
        Self::PeerListener,
        Self::Peer,
    ];

    /// The token of the socket with number `id` among those of this kind.
    pub(crate) fn token(self, id: u64) -> Token {
        Token { kind: self as u8, id }
    }

    /// The kind of a token's socket; `None` if the token's kind is unknown.
    pub(crate) fn of(token: Token) -> Option<Self> {
        Self::ALL.get(usize::from(token.kind)).copied()
    }
}
