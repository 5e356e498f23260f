//! What connections to peers may hold, from the sockets and the memory that the process may.

/// Connections whose handshake is not complete, at the most.
const MAX_UNIDENTIFIED: usize = 8;
/// One part in so many of the process's sockets is for peers.
const SOCKET_SHARE: usize = 4;
/// One part in so many of the process's memory is for connections to peers, and as much for records.
const MEMORY_SHARE: usize = 16;
/// Bytes that a record of a query is reckoned with.
const RECORD_BYTES: usize = 2048;
/// The least bound on a message, in bytes: 64 updates of up to 64 bytes have to fit.
const MIN_MESSAGE_BYTES: usize = 8192;
/// The greatest bound on a message, in bytes.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// Messages that are taken from one connection in one iteration of the event loop.
const MESSAGES_PER_ITERATION: usize = 256;
/// Messages that are taken from one connection in a second, unless the settings say otherwise.
const MESSAGES_PER_SECOND: u64 = 20_000;

/// What connections to peers may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerConnectionLimits {
    /// Connections whose handshake is not complete.
    pub unidentified: usize,
    /// Sockets for all of it: connections to peers, unidentified ones and the listener.
    pub sockets_needed: usize,
    /// The longest message, in bytes.
    pub message_bytes: usize,
    /// Bytes that wait to be sent on one connection.
    pub queue_bytes: usize,
    /// Records of queries that are kept as an acceptor.
    pub records: usize,
    /// Messages taken from one connection in one iteration of the event loop.
    pub messages_per_iteration: usize,
    /// Messages taken from one connection in a second.
    pub messages_per_second: u64,
}

/// Why the process's own limits are too low for its peers. The texts go to the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LimitsError {
    /// Too few sockets.
    #[error("{peers} peers want limits.sockets of at least {wanted}, a quarter for them")]
    Sockets {
        /// Peers in the list.
        peers: usize,
        /// The least number of sockets.
        wanted: usize,
    },
    /// Too little memory.
    #[error("{peers} peers want more of limits.memory_mb")]
    Memory {
        /// Peers in the list.
        peers: usize,
    },
}

impl PeerConnectionLimits {
    /// The limits for a list of so many peers in a process that may hold so many sockets and bytes of memory.
    /// A connection holds its queue and two of the longest messages.
    ///
    /// # Errors
    /// The process may hold too little.
    pub fn of(peers: usize, sockets: usize, memory: usize) -> Result<Self, LimitsError> {
        let unidentified = MAX_UNIDENTIFIED.min(peers.max(2));
        let sockets_needed = peers.saturating_sub(1) + unidentified + 1;
        if sockets_needed > sockets / SOCKET_SHARE {
            return Err(LimitsError::Sockets { peers, wanted: sockets_needed * SOCKET_SHARE });
        }
        let connection_bytes = memory / MEMORY_SHARE / (peers + unidentified);
        let message_bytes = (connection_bytes / 4).min(MAX_MESSAGE_BYTES);
        if message_bytes < MIN_MESSAGE_BYTES {
            return Err(LimitsError::Memory { peers });
        }
        Ok(Self {
            unidentified,
            sockets_needed,
            message_bytes,
            queue_bytes: connection_bytes / 2,
            records: memory / MEMORY_SHARE / RECORD_BYTES,
            messages_per_iteration: MESSAGES_PER_ITERATION,
            messages_per_second: MESSAGES_PER_SECOND,
        })
    }
}
