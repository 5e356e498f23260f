//! The memory that clients may use together: what their connections buffer, and what their open queries hold.
//!
//! Every holder has an uncounted allowance, so that a small request needs nothing of the budget and never waits for
//! another client's large one. The allowances are bounded by the limits on connections and on open queries. What is
//! beyond is reserved before it is read or kept:
//!
//! | use | reserved while this much of the budget is reserved |
//! | --- | --- |
//! | input ahead of a response, which is read only to notice that its client has left | up to a half |
//! | input of a request | up to three quarters |
//! | open queries and responses | up to the whole |
//!
//! So requests cannot take the memory that open queries need to end, and end they do by their deadlines. Input without
//! memory stays unread. A client that is alone may use each share in full.

use crate::memory_budget::{MemoryBudget, MemoryExhausted, Reservation};

/// Bytes of one client connection that are not counted: a small request, its response, and unused capacity of buffers.
const CONNECTION_ALLOWANCE_BYTES: usize = 8 * 1024;
/// Bytes of one open query that are not counted.
const QUERY_ALLOWANCE_BYTES: usize = 1024;

/// What input is read for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InputUse {
    /// A request that is being received.
    Request,
    /// Whatever a client sends while it waits for its response.
    ReadAhead,
}

/// The budget. Clones share it.
#[derive(Clone, Debug)]
pub struct ClientMemory {
    budget: MemoryBudget,
}

impl ClientMemory {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { budget: MemoryBudget::new(limit) }
    }

    /// Returns the account of a new connection.
    #[must_use]
    pub fn connection(&self) -> ClientMemoryUse {
        ClientMemoryUse {
            allowance: CONNECTION_ALLOWANCE_BYTES,
            used: 0,
            reservation: self.budget.reservation(),
        }
    }

    /// Returns the account of a new query.
    #[must_use]
    pub fn query(&self) -> ClientMemoryUse {
        ClientMemoryUse { allowance: QUERY_ALLOWANCE_BYTES, used: 0, reservation: self.budget.reservation() }
    }

    /// Returns how many bytes input for `input_use` may reserve now.
    fn available_for(&self, input_use: InputUse) -> usize {
        let limit = self.budget.limit();
        let share = match input_use {
            InputUse::Request => limit - limit / 4,
            InputUse::ReadAhead => limit / 2,
        };
        share.saturating_sub(self.budget.reserved())
    }

    /// Returns whether a connection that waits for memory may read more of its request.
    #[must_use]
    pub fn may_read_requests(&self) -> bool {
        self.available_for(InputUse::Request) > 0
    }

    /// Returns how many bytes of input a connection may read.
    #[must_use]
    pub fn readable(&self, connection: &ClientMemoryUse, input_use: InputUse) -> usize {
        let uncounted = connection.allowance.saturating_sub(connection.used);
        uncounted.saturating_add(self.available_for(input_use))
    }
}

/// A budget without a limit.
impl Default for ClientMemory {
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

/// What one connection or query uses. It is released when it is dropped.
#[derive(Debug)]
pub struct ClientMemoryUse {
    allowance: usize,
    used: usize,
    reservation: Reservation,
}

impl ClientMemoryUse {
    /// Changes what is used to `bytes` bytes.
    ///
    /// # Errors
    /// The budget is exhausted; nothing has changed.
    pub fn resize(&mut self, bytes: usize) -> Result<(), MemoryExhausted> {
        self.reservation.resize(bytes.saturating_sub(self.allowance))?;
        self.used = bytes;
        Ok(())
    }

    /// Adds `bytes` bytes to what is used.
    ///
    /// # Errors
    /// As [`ClientMemoryUse::resize`].
    pub fn grow(&mut self, bytes: usize) -> Result<(), MemoryExhausted> {
        self.resize(self.used.saturating_add(bytes))
    }
}
