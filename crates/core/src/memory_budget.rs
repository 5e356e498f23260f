//! A budget of memory that several holders share, each with a reservation.
//!
//! One budget is for batch streams: the dictionaries of all streams, and the text of their queries that were read and not
//! started.
//!
//! Invariant: the sum of all reservations never exceeds the limit. A reservation is released when it is dropped.

use std::cell::Cell;
use std::rc::Rc;

/// The budget is exhausted by all holders together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryExhausted;

/// The budget. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    limit: usize,
    reserved: Rc<Cell<usize>>,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes with nothing reserved.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { limit, reserved: Rc::default() }
    }

    /// Returns a reservation of no bytes.
    #[must_use]
    pub fn reservation(&self) -> Reservation {
        Reservation { memory: self.clone(), bytes: 0 }
    }

    /// Returns the limit of all reservations together, in bytes.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the bytes that are reserved.
    #[must_use]
    pub fn reserved(&self) -> usize {
        self.reserved.get()
    }
}

/// What one holder has reserved.
#[derive(Debug)]
pub struct Reservation {
    memory: MemoryBudget,
    bytes: usize,
}

impl Reservation {
    /// Returns the limit of all reservations together.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.memory.limit
    }

    /// Returns the most that this reservation can be resized to.
    #[must_use]
    pub fn available(&self) -> usize {
        self.memory.limit - self.memory.reserved.get() + self.bytes
    }

    /// Changes the reservation to `bytes` bytes.
    ///
    /// # Errors
    /// There are not as many bytes available; the reservation is unchanged.
    pub fn resize(&mut self, bytes: usize) -> Result<(), MemoryExhausted> {
        if bytes > self.available() {
            return Err(MemoryExhausted);
        }
        self.memory.reserved.set(self.memory.reserved.get() - self.bytes + bytes);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.reserved.set(self.memory.reserved.get() - self.bytes);
    }
}
