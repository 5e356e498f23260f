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
pub enum Worth {
    /// Hearsay: told again by the way, and in whole views.
    Hearsay,
    /// A question: asked again in a moment.
    Question,
    /// An answer: somebody waits for it, and draws conclusions where none comes.
    Answer,
    /// What is written, promised or told of a query: it is sent again, later.
    Promise,
    /// What opens or ends a link.
    Bond,
}

/// What waits to be sent on one link.
#[derive(Debug)]
pub struct Queue {
    waiting: VecDeque<(Worth, Vec<u8>)>,
    bytes: usize,
    most: usize,
    /// How much of the first message is on its way already; it can no longer go.
    begun: usize,
    dropped: u64,
}

impl Queue {
    /// One that holds so many bytes at most.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self { waiting: VecDeque::new(), bytes: 0, most, begun: 0, dropped: 0 }
    }

    /// Adds a message, and says how many had to go for it, itself included.
    pub fn push(&mut self, worth: Worth, message: Vec<u8>) -> u64 {
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

    /// What is to be written next.
    #[must_use]
    pub fn next(&self) -> Option<&[u8]> {
        self.waiting.front().map(|(_, message)| &message[self.begun..])
    }

    /// So much of [`Queue::next`] was written.
    pub fn wrote(&mut self, bytes: usize) {
        self.begun += bytes;
        let whole = self.waiting.front().is_some_and(|(_, message)| self.begun >= message.len());
        if whole {
            let length = self.waiting.pop_front().map_or(0, |(_, message)| message.len());
            self.bytes -= length;
            self.begun = 0;
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

/// How fast a peer's messages are taken: what comes faster waits in its own socket.
#[derive(Debug)]
pub struct Intake {
    /// Messages that may come in a second, and how many at once.
    rate: u64,
    /// In millionths of a message.
    saved: u64,
    at: Micros,
}

impl Intake {
    /// So many messages a second, and as many at once.
    #[must_use]
    pub fn new(now: Micros, rate: u64) -> Self {
        Self { rate, saved: rate * 1_000_000, at: now }
    }

    /// Takes a message, unless it comes too fast.
    pub fn take(&mut self, now: Micros) -> bool {
        let passed = now.saturating_sub(self.at);
        self.at = now;
        let gained = passed.saturating_mul(self.rate);
        self.saved = self.saved.saturating_add(gained).min(self.rate * 1_000_000);
        let taken = self.saved >= 1_000_000;
        if taken {
            self.saved -= 1_000_000;
        }
        taken
    }

    /// When there is room for a good many again.
    #[must_use]
    pub fn again(&self) -> Micros {
        self.at + 20_000
    }
}
