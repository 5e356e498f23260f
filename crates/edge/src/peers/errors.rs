//! Why connections between peers end. The texts go into logs, and rejections to the other side as well.

use std::io;
use std::net::SocketAddr;

use super::wire::FrameError;

/// Peers cannot be started. The texts go to the operator.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// This process's place in the list of peers is beyond the greatest one.
    #[error("{0}")]
    Place(#[from] std::num::TryFromIntError),
    /// The listener cannot be bound.
    #[error("{address}: {error}")]
    Bind {
        /// The listener's address.
        address: SocketAddr,
        /// The system's error.
        error: io::Error,
    },
    /// The listener has no address.
    #[error("{0}")]
    Address(io::Error),
}

impl From<StartError> for String {
    fn from(error: StartError) -> Self {
        error.to_string()
    }
}

/// How a connection ended.
#[derive(Debug)]
pub(super) enum Disconnect {
    /// It broke, or never came up: evidence that the peer may be lost.
    Lost(LostReason),
    /// One side does not take the other for a peer.
    Rejected(RejectReason),
    /// A later connection to the same peer took its place.
    Replaced,
}

/// Why a connection counts as lost.
#[derive(Debug, thiserror::Error)]
pub(super) enum LostReason {
    #[error("{0}")]
    Write(#[from] io::Error),
    #[error("nobody is there")]
    ConnectFailed,
    #[error("it closed")]
    Closed,
    #[error("no connection in time")]
    ConnectTimeout,
    #[error("no hello in time")]
    HelloTimeout,
    #[error("a message that does not become whole")]
    PartialFrameTimeout,
    #[error("it does not read")]
    WriteTimeout,
    #[error("it answers nothing")]
    Unresponsive,
}

/// Why one side rejects the other.
#[derive(Debug, thiserror::Error)]
pub(super) enum RejectReason {
    /// The other side said goodbye, with this reason.
    #[error("it says: {0}")]
    Goodbye(String),
    #[error("{0}")]
    MalformedFrame(#[from] FrameError),
    /// A hello after the handshake, or another frame before it.
    #[error("a message out of turn")]
    UnexpectedFrame,
}
