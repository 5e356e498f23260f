//! The bounded queue of outbound messages of one peer connection, and the batching of messages about queries.
//!
//! When the queue is full, messages of the lowest priority are dropped first, the oldest of them before newer
//! ones. Probes and gossip are generated again anyway; for a reply the receiver waits; and messages of the
//! register must not be lost while anything else can be dropped.

use std::collections::VecDeque;

use crate::Micros;

/// The priority of a message, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Membership updates: also piggybacked on other messages and repeated in full views.
    Gossip,
    /// A ping, or a request for one: repeated soon.
    Probe,
    /// An ack or a ping's result: the receiver waits for it, and suspects a failure if it does not arrive.
    Reply,
    /// A message of the register or of takeover: resent, but only after a backoff.
    Takeover,
    /// A hello, or the reason for closing the connection.
    Handshake,
}

#[derive(Debug)]
struct QueuedMessage {
    priority: Priority,
    bytes: Vec<u8>,
}

/// The messages to be sent on one connection.
#[derive(Debug)]
pub struct OutboundQueue {
    messages: VecDeque<QueuedMessage>,
    bytes: usize,
    max_bytes: usize,
    /// Bytes of the first message that have been sent; a partly sent message cannot be dropped.
    sent_of_first: usize,
    dropped: u64,
}

impl OutboundQueue {
    /// Creates a queue of at most `max_bytes`.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self { messages: VecDeque::new(), bytes: 0, max_bytes, sent_of_first: 0, dropped: 0 }
    }

    /// Adds a message. Returns the number of messages dropped for it, possibly including itself.
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

    /// Drops the oldest message of the lowest priority, except one that is partly sent. Returns `false` if
    /// there is none.
    fn drop_one(&mut self) -> bool {
        let being_sent = usize::from(self.sent_of_first > 0);
        let droppable = self.messages.iter().enumerate().skip(being_sent);
        let lowest = droppable.min_by_key(|(_, message)| message.priority).map(|(index, _)| index);
        let Some(message) = lowest.and_then(|index| self.messages.remove(index)) else { return false };
        self.bytes -= message.bytes.len();
        true
    }

    /// Returns the unsent bytes, message by message.
    pub fn unsent(&self) -> impl Iterator<Item = &[u8]> {
        let sent = std::iter::once(self.sent_of_first).chain(std::iter::repeat(0));
        self.messages.iter().zip(sent).map(|(message, sent)| &message.bytes[sent..])
    }

    /// Removes `bytes` bytes of [`OutboundQueue::unsent`] that were sent.
    pub fn written(&mut self, bytes: usize) {
        self.sent_of_first += bytes;
        while self.messages.front().is_some_and(|message| self.sent_of_first >= message.bytes.len()) {
            let length = self.messages.pop_front().map_or(0, |message| message.bytes.len());
            self.bytes -= length;
            self.sent_of_first -= length;
        }
    }

    /// Returns the size of the queue in bytes, including the sent bytes of a partly sent message.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of messages dropped so far.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

/// How long a message that the receiver does not wait for is delayed to be batched with others, in
/// microseconds.
const LINGER: Micros = 50_000;

/// Messages about queries to one peer that are sent as one frame: those of one event-loop iteration, together
/// with earlier ones that the receiver does not wait for. A separate frame for each would cost both sides a
/// system call and a wake-up.
#[derive(Debug)]
pub struct MessageBatch {
    bytes: Vec<u8>,
    max_bytes: usize,
    /// When the batch has to be sent; `None` if it is empty.
    deadline: Option<Micros>,
}

impl MessageBatch {
    /// Creates a batch of at most `max_bytes`, unless a single message is longer.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self { bytes: Vec::new(), max_bytes, deadline: None }
    }

    /// Adds a message. If the batch would become too long, returns its earlier messages, which have to be
    /// sent first.
    pub fn add(&mut self, now: Micros, message: &[u8], is_awaited: bool) -> Option<Vec<u8>> {
        let is_full = !self.bytes.is_empty() && self.bytes.len() + message.len() > self.max_bytes;
        let full_batch = is_full.then(|| std::mem::take(&mut self.bytes));
        if full_batch.is_some() {
            self.deadline = None;
        }
        self.bytes.extend(message);
        let deadline = if is_awaited { now } else { now + LINGER };
        self.deadline = Some(self.deadline.map_or(deadline, |known| known.min(deadline)));
        full_batch
    }

    /// Takes the batch if it has to be sent now.
    pub fn take_due(&mut self, now: Micros) -> Option<Vec<u8>> {
        self.deadline.filter(|deadline| *deadline <= now)?;
        self.deadline = None;
        Some(std::mem::take(&mut self.bytes))
    }

    /// Returns when the batch has to be sent.
    #[must_use]
    pub fn poll_timeout(&self) -> Option<Micros> {
        self.deadline
    }
}
