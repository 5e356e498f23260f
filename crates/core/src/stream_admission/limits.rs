//! The limits of Flight's connections, calls and memory, sized from the memory and descriptors available, so
//! that their sum can be checked against these.

use std::ops::RangeInclusive;

/// Flow-control window of a client's connection in bytes: what it may send ahead of what was read, on all its
/// streams together.
pub const CONNECTION_WINDOW: u32 = 512 * 1024;
/// Longest message of a client, in bytes: an HTTP request has up to 64 KiB, and a batch of
/// queries in columns may be larger.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// Send buffer of one call in bytes, for the smallest and the largest memory.
const SEND_BUFFER_BYTES: RangeInclusive<usize> = 16 * 1024..=128 * 1024;
/// Divisor of the memory that gives the size of one send buffer.
const SEND_BUFFERS_IN_MEMORY: usize = 4096;
/// Open streams per connection.
const MAX_STREAMS: u32 = 16;
/// Header bytes of a call.
const MAX_HEADER_BYTES: u32 = 16 * 1024;
/// TLS buffers of one connection, in bytes.
const TLS_BYTES: usize = 64 * 1024;
/// Bytes of a polled query besides the values of its outcome.
const POLLED_QUERY_BYTES: usize = 1024;
/// Number of polled queries kept, for the smallest and the largest memory.
const POLLED_QUERIES: RangeInclusive<usize> = 16..=65_536;
/// Bytes of a session.
const SESSION_BYTES: usize = 1024;
/// Number of sessions, for the smallest and the largest memory.
const SESSIONS: RangeInclusive<usize> = 4..=4096;
/// Initial window of a backend's stream in bytes, for the smallest and the largest memory.
const BACKEND_WINDOW_BYTES: RangeInclusive<usize> = 4 * 1024..=1024 * 1024;
/// Minimum bytes for the tables of one query.
const MIN_TABLES_PER_QUERY_BYTES: usize = 64 * 1024;
/// Open queries per stream of queries.
const MAX_QUERIES_PER_STREAM: usize = 64;
/// Password checks per second.
const MAX_HANDSHAKES_PER_SECOND: u32 = 50;

/// The limits of the Flight frontend and of the Flight connections to backends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamLimits {
    /// Client connections.
    pub connections: usize,
    /// Open streams per connection.
    pub streams: u32,
    /// Open calls on all connections.
    pub calls: usize,
    /// Bytes of a client's message, after decompression.
    pub message_bytes: usize,
    /// Header bytes of a call.
    pub header_bytes: u32,
    /// Bytes of a call's response that may be buffered in the connection, beyond those reserved as a table.
    pub send_buffer: usize,
    /// Bytes that one client connection may buffer: headers, a message for each stream, outgoing data, and
    /// TLS.
    pub connection_bytes: usize,
    /// Bytes of tables of all queries.
    pub table_bytes: usize,
    /// Bytes of tables of one query.
    pub table_bytes_per_query: usize,
    /// Bytes of text that the tables of one query may become for a client over HTTP.
    pub text_bytes_per_query: usize,
    /// Initial window of a backend's stream, in bytes.
    pub backend_window: u32,
    /// Polled queries that are kept.
    pub polled_queries: usize,
    /// Bytes of their retained outcomes.
    pub outcome_bytes: usize,
    /// Sessions that are kept.
    pub sessions: usize,
    /// Bytes of dictionaries and of queries that were not started, of all streams of queries.
    pub batch_bytes: usize,
    /// Open queries per stream of queries.
    pub queries_per_stream: usize,
    /// Password checks per second.
    pub handshakes_per_second: u32,
}

impl StreamLimits {
    /// Derives the limits from `memory` bytes and a number of descriptors, with up to `streams` parts in
    /// flight to backends.
    ///
    /// Half of the memory goes to tables, a quarter to connections, an eighth to the initial windows of
    /// backends' streams, and an eighth to retained outcomes and sessions. A thirty-second more is for streams of queries.
    #[must_use]
    pub fn of(memory: usize, descriptors: usize, streams: usize) -> Self {
        let send_buffer = clamp(memory / SEND_BUFFERS_IN_MEMORY, SEND_BUFFER_BYTES);
        let connection = connection_bytes(send_buffer);
        let connections = (descriptors / 8).min(memory / 4 / connection).max(1);
        let tables = memory / 2;
        let retained = memory / 8;
        let tables_per_query = (tables / 2).max(MIN_TABLES_PER_QUERY_BYTES);
        Self {
            connections,
            streams: MAX_STREAMS,
            calls: connections * MAX_STREAMS as usize,
            message_bytes: MAX_MESSAGE_BYTES,
            header_bytes: MAX_HEADER_BYTES,
            send_buffer,
            connection_bytes: connection,
            table_bytes: tables,
            table_bytes_per_query: tables_per_query,
            text_bytes_per_query: tables_per_query,
            backend_window: clamp(memory / 8 / streams.max(1), BACKEND_WINDOW_BYTES) as u32,
            polled_queries: clamp(retained / 2 / POLLED_QUERY_BYTES, POLLED_QUERIES),
            outcome_bytes: retained / 2,
            sessions: clamp(retained / 16 / SESSION_BYTES, SESSIONS),
            batch_bytes: memory / 32,
            queries_per_stream: MAX_QUERIES_PER_STREAM,
            handshakes_per_second: MAX_HANDSHAKES_PER_SECOND,
        }
    }

    /// Returns the worst-case memory use in bytes with `streams` streams to backends open.
    #[must_use]
    pub fn worst_case_bytes(&self, streams: usize) -> usize {
        self.connections * self.connection_bytes
            + self.table_bytes
            + streams * self.backend_window as usize
            + self.outcome_bytes
            + self.polled_queries * POLLED_QUERY_BYTES
            + self.sessions * SESSION_BYTES
            + self.batch_bytes
    }
}

/// Returns the bytes that one connection may buffer: incoming and outgoing data, and TLS.
fn connection_bytes(send_buffer: usize) -> usize {
    CONNECTION_WINDOW as usize + MAX_STREAMS as usize * send_buffer + TLS_BYTES
}

fn clamp(value: usize, range: RangeInclusive<usize>) -> usize {
    value.clamp(*range.start(), *range.end())
}
