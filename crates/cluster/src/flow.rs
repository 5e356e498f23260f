//! Decides what of a peer's link is let through: what waits to be sent and what gives way when that is too
//! much, and how fast what comes is read.
//!
//! A link holds a bounded number of bytes. When more is to be sent, what is worth least goes first, the oldest
//! of it before the newer: questions and hearsay are made anew by themselves, an answer is waited for, and what
//! one side promised the other must not be lost while anything else could go. What went is counted.

use std::collections::VecDeque;

use crate::Micros;

/// What a message is worth to whoever waits for it, least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Hearsay: told again by the way, and in whole views.
    Gossip,
    /// A question: asked again in a moment.
    Probe,
    /// An answer: somebody waits for it, and draws conclusions where none comes.
    Reply,
    /// What is written, promised or told of a query: it is sent again, later.
    Takeover,
    /// What opens or ends a link.
    Handshake,
}

/// What waits to be sent on one link.
#[derive(Debug)]
pub struct OutboundQueue {
    waiting: VecDeque<(Priority, Vec<u8>)>,
    bytes: usize,
    most: usize,
    /// How much of the first message is on its way already; it can no longer go.
    begun: usize,
    dropped: u64,
}

impl OutboundQueue {
    /// One that holds so many bytes at most.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self { waiting: VecDeque::new(), bytes: 0, most, begun: 0, dropped: 0 }
    }

    /// Adds a message, and says how many had to go for it, itself included.
    pub fn push(&mut self, worth: Priority, message: Vec<u8>) -> u64 {
        self.bytes += message.len();
        self.waiting.push_back((worth, message));
        let mut gone = 0;
        while self.bytes > self.most {
            let fixed = usize::from(self.begun > 0);
            let least = self.waiting.iter().enumerate().skip(fixed).min_by_key(|(_, (worth, _))| *worth);
            let Some(at) = least.map(|(at, _)| at) else { break };
            let Some((_, message)) = self.waiting.remove(at) else { break };
            self.bytes -= message.len();
            gone += 1;
        }
        self.dropped += gone;
        gone
    }

    /// What is to be written next, message by message.
    pub fn unsent(&self) -> impl Iterator<Item = &[u8]> {
        let begun = std::iter::once(self.begun).chain(std::iter::repeat(0));
        self.waiting.iter().zip(begun).map(|((_, message), begun)| &message[begun..])
    }

    /// So much of [`Queue::pieces`] was written.
    pub fn written(&mut self, bytes: usize) {
        self.begun += bytes;
        while self.waiting.front().is_some_and(|(_, message)| self.begun >= message.len()) {
            let length = self.waiting.pop_front().map_or(0, |(_, message)| message.len());
            self.bytes -= length;
            self.begun -= length;
        }
    }

    /// Bytes that wait.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Messages that went for want of room, in all.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

/// Notes for one peer that go as one message: all of a turn, and before them those that nobody waits for. A message
/// of its own for each costs both sides a call and a wake-up, and that is most of what a note costs.
#[derive(Debug)]
pub struct MessageBatch {
    events: Vec<u8>,
    most: usize,
    /// When it has to go.
    due: Option<Micros>,
}

/// A note that nobody waits for may wait so long for others. (At 20 ms most of them went alone, each with a wake-up
/// of its own, at 20 holds a second.)
const LINGER: Micros = 50_000;

impl MessageBatch {
    /// One of so many bytes at most, unless a single note is longer.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self { events: Vec::new(), most, due: None }
    }

    /// Adds a note; gives back what has to go before it, where both would be too long.
    pub fn add(&mut self, now: Micros, event: &[u8], waited_for: bool) -> Option<Vec<u8>> {
        let full = !self.events.is_empty() && self.events.len() + event.len() > self.most;
        let before = full.then(|| std::mem::take(&mut self.events));
        if before.is_some() {
            self.due = None;
        }
        self.events.extend(event);
        let due = if waited_for { now } else { now + LINGER };
        self.due = Some(self.due.map_or(due, |known| known.min(due)));
        before
    }

    /// What has to go now.
    pub fn take_due(&mut self, now: Micros) -> Option<Vec<u8>> {
        self.due.filter(|due| *due <= now)?;
        self.due = None;
        Some(std::mem::take(&mut self.events))
    }

    /// When something has to go.
    #[must_use]
    pub fn poll_timeout(&self) -> Option<Micros> {
        self.due
    }
}

fn in_millionths(messages: u64) -> i64 {
    i64::try_from(messages.saturating_mul(1_000_000)).unwrap_or(i64::MAX)
}

/// How fast a peer's messages are taken: what comes faster waits in its own socket.
#[derive(Debug)]
pub struct InboundRateLimit {
    /// Messages that may come in a second, and how many at once.
    rate: u64,
    /// In millionths of a message; what one message was in truth may have been more than was saved.
    saved: i64,
    at: Micros,
}

impl InboundRateLimit {
    /// So many messages a second, and as many at once.
    #[must_use]
    pub fn new(now: Micros, rate: u64) -> Self {
        Self { rate, saved: in_millionths(rate), at: now }
    }

    /// Takes a message, unless it comes too fast.
    pub fn admit(&mut self, now: Micros) -> bool {
        let passed = now.saturating_sub(self.at);
        self.at = now;
        let gained = i64::try_from(passed.saturating_mul(self.rate)).unwrap_or(i64::MAX);
        self.saved = self.saved.saturating_add(gained).min(in_millionths(self.rate));
        let taken = self.saved >= 1_000_000;
        if taken {
            self.saved -= 1_000_000;
        }
        taken
    }

    /// A message that was taken held so many more.
    pub fn charge(&mut self, more: u64) {
        self.saved = self.saved.saturating_sub(in_millionths(more));
    }

    /// When there is room for a good many again.
    #[must_use]
    pub fn retry_at(&self) -> Micros {
        self.at + 20_000
    }
}
