//! Why connections between peers end. The messages are logged.

use std::io;
use std::net::SocketAddr;

use super::wire::FrameError;

/// Why the connections to peers cannot be set up. The messages are shown to the operator.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// This instance's index in the peer list exceeds the range of peer ids.
    #[error("{0}")]
    OwnIndex(#[from] std::num::TryFromIntError),
    /// The listener cannot be bound.
    #[error("{address}: {error}")]
    Bind {
        /// The listener's address.
        address: SocketAddr,
        /// The operating system's error.
        error: io::Error,
    },
    /// The listener's address is not available.
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
    /// The connection failed, or was never established: evidence that the peer may be down.
    Lost(LostReason),
    /// One side rejected the other.
    Rejected(RejectReason),
    /// A later connection to the same peer replaced it.
    Replaced,
}

/// Why a connection was lost.
#[derive(Debug, thiserror::Error)]
pub(super) enum LostReason {
    #[error("{0}")]
    Write(#[from] io::Error),
    #[error("connection failed")]
    ConnectFailed,
    #[error("connection closed")]
    Closed,
    #[error("connect timed out")]
    ConnectTimeout,
    #[error("no hello received in time")]
    HelloTimeout,
    #[error("incomplete message timed out")]
    PartialFrameTimeout,
    #[error("write timed out")]
    WriteTimeout,
    #[error("no response to probes")]
    Unresponsive,
}

/// Why one side rejected the other.
#[derive(Debug, thiserror::Error)]
pub(super) enum RejectReason {
    /// The other side sent a goodbye with this reason.
    #[error("rejected by the peer: {0}")]
    Goodbye(String),
    #[error("{0}")]
    MalformedFrame(#[from] FrameError),
    /// A hello after the handshake, or another frame before it.
    #[error("unexpected message")]
    UnexpectedFrame,
}
