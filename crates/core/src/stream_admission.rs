//! Who is let in at a front of long streams: connections, calls, streams, handshakes, and the bytes of each.
//!
//! All bounds stand in one table, [`Limits`], sized from the memory and descriptors that the program is
//! told of, so that they can be added up against it. [`Admission`] counts against the table and says what a
//! client is told that finds no room: never nothing, and always when to come back.

use std::collections::VecDeque;

use mallowgauge_router::Micros;

/// The table of bounds of the Flight front and of Flight towards hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Connections of clients.
    pub connections: usize,
    /// Streams of one connection that are open at a time.
    pub streams: u32,
    /// Calls of all connections.
    pub calls: usize,
    /// Bytes of a message of a client; what it may inflate to counts.
    pub message: usize,
    /// Bytes of header lines of a call.
    pub head: u32,
    /// Bytes that a call's answer may have in the connection, beyond what is held as a table.
    pub send_buffer: usize,
    /// Bytes that one connection of a client is reckoned to hold: heads, a message for each stream, what is
    /// on its way out, and TLS.
    pub connection: usize,
    /// Bytes of tables, for all queries and for one.
    pub tables: usize,
    /// Bytes of the tables of one query.
    pub tables_a_call: usize,
    /// First window of a host's stream.
    pub window: u32,
    /// PolledQueries whose outcomes are remembered, and their bytes.
    pub flights: usize,
    /// Bytes of remembered outcomes.
    pub outcomes: usize,
    /// Sessions with options of their own.
    pub sessions: usize,
    /// Queries that one long stream may have open.
    pub batch: usize,
    /// Handshakes that are checked in a second.
    pub handshakes: u32,
}

/// What the connection's window lets a client send ahead of what is used up; all messages that are coming in
/// on its streams share it.
pub const CONNECTION_WINDOW: u32 = 512 * 1024;
/// Longest message of a client: a body of the platform's is 64 KiB, a batch of queries in columns may be more.
const MESSAGE: usize = 256 * 1024;
/// On its way out for one call: small where memory is, and large enough for large frames where it is not.
const SEND_BUFFERS: std::ops::RangeInclusive<usize> = 16 * 1024..=128 * 1024;
const STREAMS: u32 = 16;
/// Bytes reckoned for one connection: what comes in, what goes out, and TLS.
fn connection_bytes(send_buffer: usize) -> usize {
    CONNECTION_WINDOW as usize + STREAMS as usize * send_buffer + 64 * 1024
}
const HEAD: u32 = 16 * 1024;
/// Bytes reckoned for one remembered outcome beside its values.
const FLIGHT: usize = 1024;

impl Limits {
    /// The table for a front that has so much memory and so many descriptors, towards hosts that may have
    /// `streams` parts out.
    ///
    /// Of the memory half goes to tables, a quarter to connections, an eighth to first windows of hosts'
    /// streams and an eighth to what is remembered.
    #[must_use]
    pub fn of(memory: usize, descriptors: usize, streams: usize) -> Self {
        let send_buffer = (memory / 4096).clamp(*SEND_BUFFERS.start(), *SEND_BUFFERS.end());
        let connection = connection_bytes(send_buffer);
        let connections = (descriptors / 8).min(memory / 4 / connection).max(1);
        let tables = memory / 2;
        let remembered = memory / 8;
        let window = (memory / 8 / streams.max(1)).clamp(4 * 1024, 1024 * 1024) as u32;
        Self {
            connections,
            streams: STREAMS,
            calls: connections * STREAMS as usize,
            message: MESSAGE,
            head: HEAD,
            send_buffer,
            connection,
            tables,
            tables_a_call: (tables / 2).max(64 * 1024),
            window,
            flights: (remembered / 2 / FLIGHT).clamp(16, 65_536),
            outcomes: remembered / 2,
            sessions: (remembered / 16 / 1024).clamp(4, 4096),
            batch: 64,
            handshakes: 50,
        }
    }

    /// What all of it adds up to at worst, with so many streams of hosts open.
    #[must_use]
    pub fn worst(&self, streams: usize) -> usize {
        self.connections * self.connection
            + self.tables
            + streams * self.window as usize
            + self.outcomes
            + self.flights * FLIGHT
            + self.sessions * 1024
    }
}

/// Why a call or connection is not let in, with when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full {
    /// What there is no room for.
    pub what: &'static str,
    /// When to come back.
    pub retry_after: Micros,
}

/// Counts what is in.
#[derive(Debug)]
pub struct Admission {
    limits: Limits,
    connections: usize,
    calls: usize,
    /// When the handshakes of the last second were checked.
    handshakes: VecDeque<Micros>,
    refused: u64,
}

/// A client that finds no room comes back after so long.
const RETRY: Micros = 250_000;
const SECOND: Micros = 1_000_000;

impl Admission {
    /// Nobody is in.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self { limits, connections: 0, calls: 0, handshakes: VecDeque::new(), refused: 0 }
    }

    /// The table.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Whether another connection fits.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.connections < self.limits.connections
    }

    /// A connection is taken.
    pub fn connected(&mut self) {
        self.connections += 1;
    }

    /// A connection is over.
    pub fn disconnected(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// A call has come.
    ///
    /// # Errors
    /// There is no room for it.
    pub fn call(&mut self) -> Result<(), Full> {
        if self.calls >= self.limits.calls {
            self.refused += 1;
            return Err(Full { what: "too many calls are open", retry_after: RETRY });
        }
        self.calls += 1;
        Ok(())
    }

    /// A call is over.
    pub fn call_over(&mut self) {
        self.calls = self.calls.saturating_sub(1);
    }

    /// A password is to be checked, which costs time of the one thread that all have: only so many a second.
    ///
    /// # Errors
    /// Too many were checked of late.
    pub fn handshake(&mut self, now: Micros) -> Result<(), Full> {
        while self.handshakes.front().is_some_and(|&at| at + SECOND <= now) {
            self.handshakes.pop_front();
        }
        if self.handshakes.len() >= self.limits.handshakes as usize {
            self.refused += 1;
            let oldest = self.handshakes.front().copied().unwrap_or(now);
            let retry_after = (oldest + SECOND).saturating_sub(now).max(1);
            return Err(Full { what: "too many handshakes", retry_after });
        }
        self.handshakes.push_back(now);
        Ok(())
    }

    /// Connections and calls that are in, and how many were turned away.
    #[must_use]
    pub fn counts(&self) -> (usize, usize, u64) {
        (self.connections, self.calls, self.refused)
    }
}

/// How a client that takes its answer is judged: one that takes nothing for too long is cut off, and so is
/// one that takes so little that its answer would hold memory for ever.
#[derive(Clone, Copy, Debug)]
pub struct Reader {
    began: Micros,
    moved: Micros,
    taken: u64,
}

/// A client that takes nothing for so long is cut off.
pub const STALL: Micros = 10_000_000;
/// After so long a client has to have taken at least this many bytes for each second.
const GRACE: Micros = 30_000_000;
const LEAST_A_SECOND: u64 = 4 * 1024;

impl Reader {
    /// An answer has begun.
    #[must_use]
    pub fn new(now: Micros) -> Self {
        Self { began: now, moved: now, taken: 0 }
    }

    /// The client took so much.
    pub fn took(&mut self, now: Micros, bytes: usize) {
        if bytes > 0 {
            self.moved = now;
            self.taken += bytes as u64;
        }
    }

    /// Something new is to be taken after a rest.
    pub fn rested(&mut self, now: Micros) {
        *self = Self::new(now);
    }

    /// When it is cut off unless it takes more.
    #[must_use]
    pub fn deadline(&self) -> Micros {
        let earned = self.taken / LEAST_A_SECOND * SECOND;
        (self.moved + STALL).min(self.began + GRACE.max(earned.saturating_add(STALL)))
    }
}
