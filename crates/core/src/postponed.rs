//! Queries that wait because another client keeps the backends or the open queries to itself.
//!
//! A client may have many queries open at once, on the streams of one Flight connection. While it is alone it may use all
//! there is. Where a query of another client would be rejected beside it, that query is postponed instead: it is submitted
//! again every [`RETRY_INTERVAL`], and meanwhile the dominant client starts none. After two fifths of its time it is
//! rejected for good, so that it costs less than a late rejection.
//!
//! Clients over HTTP have one query each, so none of them is dominant and nothing is postponed beside them.

use std::collections::{BTreeMap, VecDeque};

use mallowgauge_router::Micros;

use crate::client_memory::ClientMemoryUse;
use crate::query::{QueryRequest, ResponseHandle};

/// Time between two submissions of a postponed query, in microseconds.
const RETRY_INTERVAL: Micros = 20_000;
/// Maximum number of postponed queries.
const MAX_POSTPONED: usize = 64;
/// A client is dominant if it has several open queries, and one in this many of all.
const DOMINANT_SHARE_DIVISOR: usize = 4;

/// A client, for the sharing of limits between clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientId {
    /// An HTTP connection.
    Http(u64),
    /// A Flight connection.
    Flight(u64),
    /// A query taken over from another instance.
    TakenOver(u64),
}

impl From<ResponseHandle> for ClientId {
    /// The client of a handle that stands for a client of its own.
    fn from(handle: ResponseHandle) -> Self {
        match handle {
            ResponseHandle::Http(id) => Self::Http(id),
            ResponseHandle::Flight(id) => Self::Flight(id),
            ResponseHandle::TakenOver(id) => Self::TakenOver(id),
        }
    }
}

/// Returns until when a query with this much time may be postponed.
pub(crate) fn postponable_until(now: Micros, expires_in: Micros) -> Micros {
    now.saturating_add(expires_in / 5 * 2)
}

/// The number of open queries of each client.
#[derive(Debug, Default)]
pub(crate) struct ClientShares {
    queries: BTreeMap<ClientId, usize>,
    all: usize,
}

impl ClientShares {
    pub(crate) fn opened(&mut self, client: ClientId) {
        *self.queries.entry(client).or_default() += 1;
        self.all += 1;
    }

    pub(crate) fn closed(&mut self, client: ClientId) {
        let Some(queries) = self.queries.get_mut(&client) else { return };
        *queries -= 1;
        self.all -= 1;
        if *queries == 0 {
            self.queries.remove(&client);
        }
    }

    /// Returns whether a client has so many open queries that others are postponed beside it.
    pub(crate) fn is_dominant(&self, client: ClientId) -> bool {
        let queries = self.queries.get(&client).copied().unwrap_or(0);
        queries >= 2 && queries * DOMINANT_SHARE_DIVISOR >= self.all
    }

    /// Returns whether a client other than this one is dominant.
    pub(crate) fn is_another_dominant(&self, client: ClientId) -> bool {
        // At most as many clients as the divisor are dominant, and most clients have one query.
        self.queries
            .iter()
            .any(|(other, queries)| *queries >= 2 && *other != client && self.is_dominant(*other))
    }
}

/// A query that waits to be submitted again.
#[derive(Debug)]
pub(crate) struct Postponed {
    pub(crate) client: ClientId,
    pub(crate) response_handle: ResponseHandle,
    pub(crate) request: QueryRequest,
    /// When the client stops waiting.
    pub(crate) deadline: Micros,
    pub(crate) postponable_until: Micros,
    pub(crate) memory: ClientMemoryUse,
    pub(crate) submit_at: Micros,
}

/// The postponed queries, in the order in which they are submitted again.
#[derive(Debug, Default)]
pub(crate) struct PostponedQueries(VecDeque<Postponed>);

impl PostponedQueries {
    pub(crate) fn is_full(&self) -> bool {
        self.0.len() >= MAX_POSTPONED
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the number of queries and parts.
    pub(crate) fn work(&self) -> usize {
        self.0.iter().map(|query| 1 + query.request.parts.len()).sum()
    }

    pub(crate) fn push(&mut self, now: Micros, mut query: Postponed) {
        query.submit_at = now + RETRY_INTERVAL;
        self.0.push_back(query);
    }

    pub(crate) fn poll_timeout(&self) -> Option<Micros> {
        self.0.front().map(|query| query.submit_at)
    }

    /// Removes and returns the next query that is due.
    pub(crate) fn pop_due(&mut self, now: Micros) -> Option<Postponed> {
        if self.poll_timeout()? > now {
            return None;
        }
        self.0.pop_front()
    }

    /// Removes the query of a client that has disconnected. Returns whether there was one.
    pub(crate) fn remove(&mut self, handle: ResponseHandle) -> bool {
        let before = self.0.len();
        self.0.retain(|query| query.response_handle != handle);
        self.0.len() < before
    }

    pub(crate) fn has_id(&self, id: &str) -> bool {
        self.0.iter().any(|query| &*query.request.id == id)
    }

    /// Returns whether a query of another client waits.
    pub(crate) fn has_other_than(&self, client: ClientId) -> bool {
        self.0.iter().any(|query| query.client != client)
    }
}
