//! The limits of Flight's connections, calls and memory, sized from the memory and descriptors that the
//! program is told of, so that they can be added up against these.

use std::ops::RangeInclusive;

/// What a client may send ahead of what was read, in bytes: the flow-control window of its connection, which
/// all messages on its streams share.
pub const CONNECTION_WINDOW: u32 = 512 * 1024;
/// Longest message of a client, in bytes: a request of the platform's is up to 64 KiB, a batch of queries in
/// columns may be more.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// Bytes that may be on their way out for one call, for the least and the most memory.
const SEND_BUFFER_BYTES: RangeInclusive<usize> = 16 * 1024..=128 * 1024;
/// The send buffer's fraction of the memory.
const SEND_BUFFERS_IN_MEMORY: usize = 4096;
/// Streams of one connection.
const MAX_STREAMS: u32 = 16;
/// Bytes of header lines of a call.
const MAX_HEADER_BYTES: u32 = 16 * 1024;
/// Bytes that TLS may hold for one connection.
const TLS_BYTES: usize = 64 * 1024;
/// Bytes of a retained outcome beside its values.
const POLLED_QUERY_BYTES: usize = 1024;
/// Polled queries that are known, for the least and the most memory.
const POLLED_QUERIES: RangeInclusive<usize> = 16..=65_536;
/// Bytes of a session.
const SESSION_BYTES: usize = 1024;
/// Sessions, for the least and the most memory.
const SESSIONS: RangeInclusive<usize> = 4..=4096;
/// The initial window of a backend's stream in bytes, for the least and the most memory.
const BACKEND_WINDOW_BYTES: RangeInclusive<usize> = 4 * 1024..=1024 * 1024;
/// Least bytes for the tables of one query.
const MIN_TABLES_PER_QUERY_BYTES: usize = 64 * 1024;
/// Queries that one stream of queries may have open.
const MAX_QUERIES_PER_STREAM: usize = 64;
/// Passwords that are checked in a second.
const MAX_HANDSHAKES_PER_SECOND: u32 = 50;

/// The limits of the Flight frontend and of Flight towards backends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamLimits {
    /// Connections of clients.
    pub connections: usize,
    /// Streams of one connection that are open at a time.
    pub streams: u32,
    /// Calls of all connections.
    pub calls: usize,
    /// Bytes of a message of a client, after decompression.
    pub message_bytes: usize,
    /// Bytes of header lines of a call.
    pub header_bytes: u32,
    /// Bytes of a call's response that may be in the connection, beyond what is held as a table.
    pub send_buffer: usize,
    /// Bytes that one connection of a client may hold: headers, a message for each stream, what is on its way
    /// out, and TLS.
    pub connection_bytes: usize,
    /// Bytes of tables, for all queries.
    pub table_bytes: usize,
    /// Bytes of tables, for one query.
    pub table_bytes_per_query: usize,
    /// The initial window of a backend's stream, in bytes.
    pub backend_window: u32,
    /// Polled queries that are known.
    pub polled_queries: usize,
    /// Bytes of their retained outcomes.
    pub outcome_bytes: usize,
    /// Sessions with options of their own.
    pub sessions: usize,
    /// Queries that one stream of queries may have open.
    pub queries_per_stream: usize,
    /// Passwords that are checked in a second.
    pub handshakes_per_second: u32,
}

impl StreamLimits {
    /// The limits for so many bytes of memory and so many descriptors, where backends may have `streams` parts
    /// in flight.
    ///
    /// Half of the memory goes to tables, a quarter to connections, an eighth to the initial windows of
    /// backends' streams and an eighth to what is retained.
    #[must_use]
    pub fn of(memory: usize, descriptors: usize, streams: usize) -> Self {
        let send_buffer = clamp(memory / SEND_BUFFERS_IN_MEMORY, SEND_BUFFER_BYTES);
        let connection = connection_bytes(send_buffer);
        let connections = (descriptors / 8).min(memory / 4 / connection).max(1);
        let tables = memory / 2;
        let retained = memory / 8;
        Self {
            connections,
            streams: MAX_STREAMS,
            calls: connections * MAX_STREAMS as usize,
            message_bytes: MAX_MESSAGE_BYTES,
            header_bytes: MAX_HEADER_BYTES,
            send_buffer,
            connection_bytes: connection,
            table_bytes: tables,
            table_bytes_per_query: (tables / 2).max(MIN_TABLES_PER_QUERY_BYTES),
            backend_window: clamp(memory / 8 / streams.max(1), BACKEND_WINDOW_BYTES) as u32,
            polled_queries: clamp(retained / 2 / POLLED_QUERY_BYTES, POLLED_QUERIES),
            outcome_bytes: retained / 2,
            sessions: clamp(retained / 16 / SESSION_BYTES, SESSIONS),
            queries_per_stream: MAX_QUERIES_PER_STREAM,
            handshakes_per_second: MAX_HANDSHAKES_PER_SECOND,
        }
    }

    /// What all of it adds up to at worst, in bytes, with so many streams of backends open.
    #[must_use]
    pub fn worst_case_bytes(&self, streams: usize) -> usize {
        self.connections * self.connection_bytes
            + self.table_bytes
            + streams * self.backend_window as usize
            + self.outcome_bytes
            + self.polled_queries * POLLED_QUERY_BYTES
            + self.sessions * SESSION_BYTES
    }
}

/// Bytes that one connection may hold: what comes in, what goes out, and TLS.
fn connection_bytes(send_buffer: usize) -> usize {
    CONNECTION_WINDOW as usize + MAX_STREAMS as usize * send_buffer + TLS_BYTES
}

fn clamp(value: usize, range: RangeInclusive<usize>) -> usize {
    value.clamp(*range.start(), *range.end())
}
