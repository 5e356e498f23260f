//! What a socket of the event loop is for, as the kind of the token that it is registered under.

use mallowgauge_net::Token;

/// The part of the server that looks after a socket.
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
    /// All kinds, each at its own number.
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

    /// What the socket of a token is for.
    pub(crate) fn of(token: Token) -> Option<Self> {
        Self::ALL.get(usize::from(token.kind)).copied()
    }
}
