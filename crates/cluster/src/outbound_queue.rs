//! What waits to be sent on one peer's connection, and which message is dropped when that is too much.
//!
//! A connection holds a bounded number of bytes. When more is to be sent, the messages of the lowest priority
//! are dropped first, the oldest of these before the newer: probes and gossip are made anew by themselves, a
//! reply is awaited, and what the register sends must not be lost while anything else could be dropped.

use std::collections::VecDeque;

use crate::Micros;

/// How much a message is worth to the receiver, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Membership updates: piggybacked on other messages and repeated in whole views.
    Gossip,
    /// A ping, or a request for one: repeated in a moment.
    Probe,
    /// An ack or a ping's result: the receiver waits for it, and draws conclusions where none comes.
    Reply,
    /// A message of the register or of takeover: sent again, later.
    Takeover,
    /// A hello or a goodbye.
    Handshake,
}

#[derive(Debug)]
struct QueuedMessage {
    priority: Priority,
    bytes: Vec<u8>,
}

/// The messages that wait to be sent on one connection.
#[derive(Debug)]
pub struct OutboundQueue {
    messages: VecDeque<QueuedMessage>,
    bytes: usize,
    max_bytes: usize,
    /// Bytes of the first message that are sent already; such a message can no longer be dropped.
    sent_of_first: usize,
    dropped: u64,
}

impl OutboundQueue {
    /// A queue of at most `max_bytes`.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self { messages: VecDeque::new(), bytes: 0, max_bytes, sent_of_first: 0, dropped: 0 }
    }

    /// Adds a message; gives back how many were dropped for it, itself included.
    pub fn push(&mut self, priority: Priority, message: Vec<u8>) -> u64 {
        self.bytes += message.len();
        self.messages.push_back(QueuedMessage { priority, bytes: message });
        let mut dropped = 0;
        while self.bytes > self.max_bytes && self.drop_one() {
            dropped += 1;
        }
        self.dropped += dropped;
        dropped
    }

    /// Drops the oldest message of the lowest priority that is not being sent.
    fn drop_one(&mut self) -> bool {
        let being_sent = usize::from(self.sent_of_first > 0);
        let droppable = self.messages.iter().enumerate().skip(being_sent);
        let lowest = droppable.min_by_key(|(_, message)| message.priority).map(|(index, _)| index);
        let Some(message) = lowest.and_then(|index| self.messages.remove(index)) else { return false };
        self.bytes -= message.bytes.len();
        true
    }

    /// The bytes that are to be sent next, message by message.
    pub fn unsent(&self) -> impl Iterator<Item = &[u8]> {
        let sent = std::iter::once(self.sent_of_first).chain(std::iter::repeat(0));
        self.messages.iter().zip(sent).map(|(message, sent)| &message.bytes[sent..])
    }

    /// So many bytes of [`OutboundQueue::unsent`] were sent.
    pub fn written(&mut self, bytes: usize) {
        self.sent_of_first += bytes;
        while self.messages.front().is_some_and(|message| self.sent_of_first >= message.bytes.len()) {
            let length = self.messages.pop_front().map_or(0, |message| message.bytes.len());
            self.bytes -= length;
            self.sent_of_first -= length;
        }
    }

    /// Bytes that wait.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Messages that were dropped so far.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

/// A message that the receiver does not wait for is held back for so long, in microseconds, to go with
/// others.
const LINGER: Micros = 50_000;

/// Messages about queries for one peer that go as one frame: all of one iteration of the event loop, together
/// with those that nobody waits for. A frame of its own for each would cost both sides a system call and a
/// wake-up.
#[derive(Debug)]
pub struct MessageBatch {
    bytes: Vec<u8>,
    max_bytes: usize,
    /// When the batch has to be sent.
    deadline: Option<Micros>,
}

impl MessageBatch {
    /// A batch of at most `max_bytes`, unless a single message is longer.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self { bytes: Vec::new(), max_bytes, deadline: None }
    }

    /// Adds a message; gives back a batch that has to be sent before it, if both together would be too long.
    pub fn add(&mut self, now: Micros, message: &[u8], is_awaited: bool) -> Option<Vec<u8>> {
        let is_full = !self.bytes.is_empty() && self.bytes.len() + message.len() > self.max_bytes;
        let before = is_full.then(|| std::mem::take(&mut self.bytes));
        if before.is_some() {
            self.deadline = None;
        }
        self.bytes.extend(message);
        let deadline = if is_awaited { now } else { now + LINGER };
        self.deadline = Some(self.deadline.map_or(deadline, |known| known.min(deadline)));
        before
    }

    /// The batch, if it has to be sent now.
    pub fn take_due(&mut self, now: Micros) -> Option<Vec<u8>> {
        self.deadline.filter(|deadline| *deadline <= now)?;
        self.deadline = None;
        Some(std::mem::take(&mut self.bytes))
    }

    /// When the batch has to be sent.
    #[must_use]
    pub fn poll_timeout(&self) -> Option<Micros> {
        self.deadline
    }
}
