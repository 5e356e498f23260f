//! Recovery of an acceptor after a restart: the transfer of other acceptors' records, and the rule for when
//! they are sufficient to give promises again.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::ballot::{acceptors_for, QueryId};
use super::record::Record;
use crate::{Incarnation, Micros, PeerId};

/// A page of one acceptor's records for another one that restarted. The encoding depends on the order of the
/// fields.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StateTransfer {
    /// The sender.
    pub from: PeerId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The receiver's incarnation that requested the page; any other one ignores it.
    pub to: Incarnation,
    /// The sender's epoch.
    pub epoch: u64,
    /// The sender remembers every promise that it ever gave.
    pub remembers_all: bool,
    /// Records of queries whose acceptors include both sender and receiver.
    pub records: Vec<TransferredRecord>,
    /// The page starts after this query; `None` on the first page.
    pub after: Option<QueryId>,
    /// The next page starts after this query; `None` on the last page.
    pub next: Option<QueryId>,
}

/// One record of a [`StateTransfer`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TransferredRecord {
    /// The query.
    pub id: QueryId,
    /// The sender's record of it.
    pub record: Record,
    /// A lower bound on the time since its outcome was chosen, in microseconds; 0 if none is.
    pub chosen_for: Micros,
}

/// A peer whose records are still needed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingTransfer {
    /// The peer.
    pub peer: PeerId,
    /// The last query on the pages received so far.
    pub after: Option<QueryId>,
}

/// How much a peer remembered when its last page was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum PeerMemory {
    /// It had restarted itself, and may have forgotten promises.
    Partial,
    /// It remembered every promise that it ever gave.
    Complete,
}

/// The progress of the transfer from one peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct TransferProgress {
    /// The peer's incarnation that sent the pages.
    incarnation: Incarnation,
    /// The last query on the pages received so far.
    after: Option<QueryId>,
    /// The peer remembered everything at each page so far. A peer that recovers between two pages may have
    /// omitted records from an earlier one.
    remembers_all: bool,
}

/// The recovery of this acceptor since its start: whether it has received enough records to give promises.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Recovery {
    me: PeerId,
    peer_count: usize,
    group_size: usize,
    started_at: Micros,
    /// Peers whose last page was received in this incarnation.
    transferred: BTreeMap<PeerId, PeerMemory>,
    /// Peers from which some pages were received, but not the last one.
    in_progress: BTreeMap<PeerId, TransferProgress>,
}

impl Recovery {
    /// Creates the state just after a start, without any records.
    pub(super) fn new(now: Micros, me: PeerId, peer_count: usize, group_size: usize) -> Self {
        Self {
            me,
            peer_count,
            group_size,
            started_at: now,
            transferred: BTreeMap::new(),
            in_progress: BTreeMap::new(),
        }
    }

    /// Returns the time since this acceptor started, in microseconds.
    pub(super) fn uptime(&self, now: Micros) -> Micros {
        now.saturating_sub(self.started_at)
    }

    /// Whether no query that was submitted before this start can be submitted again. A query may be submitted
    /// at the end of its lifetime, and its client may wait for as long again.
    fn is_wait_over(&self, now: Micros, query_lifetime: Micros) -> bool {
        self.uptime(now) >= 2 * query_lifetime
    }

    /// Whether this acceptor remembers all that it ever promised for one query. Each majority that it may
    /// have been part of in an earlier incarnation includes at least one of any `group_size / 2 + 1` other
    /// acceptors. So it needs the records of that many of the query's acceptors, and either these remember
    /// everything themselves or the query can no longer be submitted again.
    pub(super) fn remembers(&self, now: Micros, query_lifetime: Micros, id: &str) -> bool {
        let wait_over = self.is_wait_over(now, query_lifetime);
        if self.group_size == 1 {
            // There is no other acceptor to get records from.
            return wait_over;
        }
        let others =
            acceptors_for(id, self.peer_count, self.group_size).into_iter().filter(|peer| *peer != self.me);
        let informed = |peer: &PeerId| {
            self.transferred.get(peer).is_some_and(|memory| *memory == PeerMemory::Complete || wait_over)
        };
        others.filter(informed).count() > self.group_size / 2
    }

    /// Whether this acceptor remembers all that it ever promised, for every query.
    pub(super) fn remembers_every_query(&self, now: Micros, query_lifetime: Micros) -> bool {
        let wait_over = self.is_wait_over(now, query_lifetime);
        if self.group_size == 1 {
            return wait_over;
        }
        let informed = |memory: &&PeerMemory| **memory == PeerMemory::Complete || wait_over;
        let transferred = self.transferred.values().filter(informed).count();
        // In the worst case, all peers whose records are missing are acceptors of the same query. That query
        // has to be remembered, too.
        let tolerated_missing = self.group_size - 1 - (self.group_size / 2 + 1);
        transferred + 1 + tolerated_missing >= self.peer_count
    }

    /// Returns the peers whose records are still needed: those whose last page was not received, or that did
    /// not remember everything when it was.
    pub(super) fn pending(&self) -> Vec<PendingTransfer> {
        let peers = (0..self.peer_count).filter_map(|index| u16::try_from(index).ok()).map(PeerId);
        let is_needed = |peer: &PeerId| {
            *peer != self.me && self.transferred.get(peer).is_none_or(|memory| *memory == PeerMemory::Partial)
        };
        let pending = |peer: PeerId| PendingTransfer {
            peer,
            after: self.in_progress.get(&peer).and_then(|progress| progress.after.clone()),
        };
        peers.filter(is_needed).map(pending).collect()
    }

    /// Handles a page, and returns the query after which the next one starts. A duplicate or late page
    /// changes nothing.
    pub(super) fn page_received(&mut self, page: &StateTransfer) -> Option<QueryId> {
        let start = TransferProgress { incarnation: page.incarnation, after: None, remembers_all: true };
        let progress = self.in_progress.entry(page.from).or_insert_with(|| start.clone());
        if progress.incarnation != page.incarnation {
            *progress = start;
        }
        if progress.after != page.after {
            return None;
        }
        progress.remembers_all &= page.remembers_all;
        if page.next.is_some() {
            progress.after.clone_from(&page.next);
            return page.next.clone();
        }
        let memory = if progress.remembers_all { PeerMemory::Complete } else { PeerMemory::Partial };
        self.in_progress.remove(&page.from);
        let known = self.transferred.entry(page.from).or_insert(memory);
        *known = (*known).max(memory);
        None
    }
}
