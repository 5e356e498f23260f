//! Reads the sockets of HTTP clients within the memory that clients may use together.

use mallowgauge_core::client_memory::{ClientMemory, ClientMemoryUse, InputUse};
use mallowgauge_net::{ReadEnd, Stream};

/// Maximum bytes of one read.
const MAX_READ_BYTES: usize = 16 * 1024;

/// The memory of all clients, and the buffer that their sockets are read into: a connection keeps no more than the
/// bytes that it has received.
pub(super) struct InputReader {
    memory: ClientMemory,
    buffer: Vec<u8>,
}

impl InputReader {
    pub(super) fn new(memory: ClientMemory) -> Self {
        Self { memory, buffer: Vec::with_capacity(MAX_READ_BYTES) }
    }

    /// Returns the account of a new connection.
    pub(super) fn account(&self) -> ClientMemoryUse {
        self.memory.connection()
    }

    /// Returns whether a connection that waits for memory may read more of its request.
    pub(super) fn may_read_requests(&self) -> bool {
        self.memory.may_read_requests()
    }

    /// Reads once, until `input` holds `limit` bytes at most. Returns `None` if there is no memory for it.
    pub(super) fn read(
        &mut self,
        stream: &Stream,
        input: &mut Vec<u8>,
        limit: usize,
        input_use: InputUse,
        account: &ClientMemoryUse,
    ) -> Option<ReadEnd> {
        let room = limit.saturating_sub(input.len());
        if room == 0 {
            return Some(ReadEnd::Full);
        }
        let readable = room.min(MAX_READ_BYTES).min(self.memory.readable(account, input_use));
        if readable == 0 {
            return None;
        }
        self.buffer.clear();
        let end = stream.read(&mut self.buffer, readable);
        input.reserve_exact(self.buffer.len());
        input.extend_from_slice(&self.buffer);
        Some(end)
    }
}
