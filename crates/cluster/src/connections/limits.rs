//! The limits of connections to peers, derived from the sockets and the memory of the process.

/// Greatest number of connections with an incomplete handshake.
const MAX_UNIDENTIFIED: usize = 8;
/// Divisor of the process's sockets that gives the number for peers.
const SOCKET_DIVISOR: usize = 4;
/// Divisor of the process's memory that gives the bytes for connections to peers; records get the same number.
const MEMORY_DIVISOR: usize = 16;
/// Estimated bytes of memory of a query's record.
const RECORD_BYTES: usize = 2048;
/// Lower bound of the message size limit, in bytes: 64 updates of up to 64 bytes have to fit.
const MIN_MESSAGE_BYTES: usize = 8192;
/// Upper bound of the message size limit, in bytes.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// Messages read from one connection in one event-loop iteration.
const MESSAGES_PER_ITERATION: usize = 256;
/// Default limit on messages read from one connection per second.
const MESSAGES_PER_SECOND: u64 = 20_000;

/// The limits of connections to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerConnectionLimits {
    /// Connections with an incomplete handshake.
    pub unidentified: usize,
    /// Sockets needed for connections to peers, unidentified connections and the listener.
    pub sockets_needed: usize,
    /// Message size, in bytes.
    pub message_bytes: usize,
    /// Outbound queue of one connection, in bytes.
    pub queue_bytes: usize,
    /// Records stored as an acceptor.
    pub records: usize,
    /// Messages read from one connection in one event-loop iteration.
    pub messages_per_iteration: usize,
    /// Messages read from one connection per second.
    pub messages_per_second: u64,
}

/// Why the process's limits are too low for its peers. The texts are shown to the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LimitsError {
    /// Too few sockets.
    #[error("{peers} peers want limits.sockets of at least {wanted}, a quarter for them")]
    Sockets {
        /// Peers in the list.
        peers: usize,
        /// The least sufficient value of `limits.sockets`.
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
    /// Derives the limits for a number of peers from the process's limits on sockets and memory (in bytes). A
    /// connection uses up to the size of its queue and of two messages.
    ///
    /// # Errors
    /// The process's limits are too low for that many peers.
    pub fn of(peers: usize, sockets: usize, memory: usize) -> Result<Self, LimitsError> {
        let unidentified = MAX_UNIDENTIFIED.min(peers.max(2));
        let sockets_needed = peers.saturating_sub(1) + unidentified + 1;
        if sockets_needed > sockets / SOCKET_DIVISOR {
            return Err(LimitsError::Sockets { peers, wanted: sockets_needed * SOCKET_DIVISOR });
        }
        let connection_bytes = memory / MEMORY_DIVISOR / (peers + unidentified);
        let message_bytes = (connection_bytes / 4).min(MAX_MESSAGE_BYTES);
        if message_bytes < MIN_MESSAGE_BYTES {
            return Err(LimitsError::Memory { peers });
        }
        Ok(Self {
            unidentified,
            sockets_needed,
            message_bytes,
            queue_bytes: connection_bytes / 2,
            records: memory / MEMORY_DIVISOR / RECORD_BYTES,
            messages_per_iteration: MESSAGES_PER_ITERATION,
            messages_per_second: MESSAGES_PER_SECOND,
        })
    }
}
