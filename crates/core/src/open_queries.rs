//! The table of open queries and their parts.
//!
//! A query is found by its id, by its client's id, by the clients that wait for its response and by its
//! parts. Several clients may wait for one query that requires permits, because it must not be executed
//! again. The clients after the first are the query's coalesced waiters.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use mallowgauge_router::{Micros, PartId, QueryId, ShardId};

use crate::client_memory::ClientMemoryUse;
use crate::postponed::{ClientId, ClientShares, Postponed};
use crate::query::{PartRequest, QueryRequest, ResponseHandle};
use crate::two_phase::Plan;
use crate::value::Value;

/// The purpose of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PartKind {
    /// Executes the query's body.
    Query,
    /// Scouts a block of a two-phase query, without an effect.
    Scout,
}

/// A part that was passed to the router.
#[derive(Debug)]
pub(crate) struct PartState {
    pub(crate) part: PartId,
    /// Position of its part in the request.
    pub(crate) request_index: usize,
    pub(crate) kind: PartKind,
    pub(crate) value: Option<Value>,
    /// Whether its value is no longer needed. Only two-phase queries close parts before they end.
    pub(crate) closed: bool,
    /// Number of attempts that may have been executed.
    pub(crate) possibly_executed_attempts: u32,
}

impl PartState {
    fn new(part: PartId, request_index: usize, kind: PartKind) -> Self {
        Self { part, request_index, kind, value: None, closed: false, possibly_executed_attempts: 0 }
    }
}

/// A query without a final response.
#[derive(Debug)]
pub(crate) struct OpenQuery {
    pub(crate) client: ClientId,
    pub(crate) response_handle: ResponseHandle,
    /// Clients that sent the query again under the same id; only if the query requires permits.
    pub(crate) coalesced_waiters: Vec<ResponseHandle>,
    pub(crate) request: QueryRequest,
    /// When the client stops waiting.
    pub(crate) deadline: Micros,
    /// Until when it may be postponed for another client's sake.
    pub(crate) postponable_until: Micros,
    pub(crate) parts: Vec<PartState>,
    /// Number of attempts of all parts that may have been executed.
    pub(crate) possibly_executed_attempts: u32,
    pub(crate) plan: Option<Box<Plan>>,
    /// The memory of the request and of the texts received.
    pub(crate) memory: ClientMemoryUse,
}

impl OpenQuery {
    /// Creates a query of which nothing was sent.
    pub(crate) fn new(submitted: Postponed) -> Self {
        let Postponed { client, response_handle, request, deadline, postponable_until, memory, .. } =
            submitted;
        Self {
            client,
            response_handle,
            coalesced_waiters: Vec::new(),
            request,
            deadline,
            postponable_until,
            parts: Vec::new(),
            possibly_executed_attempts: 0,
            plan: None,
            memory,
        }
    }

    /// Returns the received values.
    pub(crate) fn values(&self) -> impl Iterator<Item = &Value> {
        self.parts.iter().filter_map(|part| part.value.as_ref())
    }

    /// Takes the received values, each with its shard.
    pub(crate) fn take_values(&mut self) -> Vec<(ShardId, Value)> {
        let requested = &self.request.parts;
        let received = |part: &mut PartState| Some((requested[part.request_index].shard, part.value.take()?));
        self.parts.iter_mut().filter_map(received).collect()
    }

    /// Returns whether it is proved that no part was executed.
    pub(crate) fn not_executed(&self) -> bool {
        self.possibly_executed_attempts == 0
    }

    /// Returns all clients that wait for the response.
    pub(crate) fn into_response_handles(self) -> Vec<ResponseHandle> {
        all_handles(self.response_handle, self.coalesced_waiters)
    }

    /// Counts an attempt that was sent; `index` is the position of its part in `parts`.
    pub(crate) fn attempt_sent(&mut self, index: usize) {
        self.possibly_executed_attempts += 1;
        self.parts[index].possibly_executed_attempts += 1;
    }

    /// Discounts an attempt that is proved not executed. Its part may have been closed in the meantime.
    pub(crate) fn attempt_not_executed(&mut self, index: Option<usize>) {
        self.possibly_executed_attempts -= 1;
        if let Some(part) = index.and_then(|index| self.parts.get_mut(index)) {
            part.possibly_executed_attempts -= 1;
        }
    }

    /// Stores the value of a part unless it already has one.
    pub(crate) fn store_value(&mut self, index: Option<usize>, value: Option<Value>) {
        if let Some(part) = index.and_then(|index| self.parts.get_mut(index)) {
            if part.value.is_none() {
                part.value = value;
            }
        }
    }
}

/// Returns the query's first client, then the coalesced waiters in the order in which they joined.
pub(crate) fn all_handles(first: ResponseHandle, others: Vec<ResponseHandle>) -> Vec<ResponseHandle> {
    let mut handles = others;
    handles.insert(0, first);
    handles
}

/// The location of a part in the table.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PartLocation {
    pub(crate) query: QueryId,
    /// Position in the query's `parts`.
    pub(crate) index: usize,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueryDeadline {
    at: Micros,
    query: QueryId,
}

/// The open queries and their indices.
#[derive(Debug, Default)]
pub(crate) struct OpenQueries {
    queries: BTreeMap<QueryId, OpenQuery>,
    by_request_id: BTreeMap<Rc<str>, QueryId>,
    /// Excludes clients that have disconnected.
    by_response_handle: BTreeMap<ResponseHandle, QueryId>,
    by_part: BTreeMap<PartId, PartLocation>,
    /// Number of parts that are not closed.
    open_parts: usize,
    /// The two-phase queries.
    planned: BTreeSet<QueryId>,
    deadlines: BTreeSet<QueryDeadline>,
    shares: ClientShares,
}

/// Number of entries of each kind in [`OpenQueries`].
pub(crate) struct OpenQueryCounts {
    pub(crate) queries: usize,
    pub(crate) request_ids: usize,
    pub(crate) response_handles: usize,
    pub(crate) parts: usize,
    pub(crate) open_parts: usize,
    pub(crate) planned: usize,
    pub(crate) deadlines: usize,
}

impl OpenQueries {
    /// Returns the number of open queries.
    pub(crate) fn len(&self) -> usize {
        self.queries.len()
    }

    /// Returns the number of open queries and parts, to which the limit on open work applies.
    pub(crate) fn open_work(&self) -> usize {
        self.queries.len() + self.open_parts
    }

    /// Returns the query with this id.
    pub(crate) fn get(&self, query: QueryId) -> Option<&OpenQuery> {
        self.queries.get(&query)
    }

    /// Returns the query with this id, mutably.
    pub(crate) fn get_mut(&mut self, query: QueryId) -> Option<&mut OpenQuery> {
        self.queries.get_mut(&query)
    }

    /// Returns the id of the open query with this client's id.
    pub(crate) fn find(&self, request_id: &str) -> Option<QueryId> {
        self.by_request_id.get(request_id).copied()
    }

    /// Returns the query that a connected client waits for.
    pub(crate) fn waited_for_by(&self, handle: ResponseHandle) -> Option<&OpenQuery> {
        self.queries.get(self.by_response_handle.get(&handle)?)
    }

    /// Returns whether this client is connected and waits.
    pub(crate) fn is_waiting(&self, handle: ResponseHandle) -> bool {
        self.by_response_handle.contains_key(&handle)
    }

    /// Removes a client that has disconnected. Returns the query that it waited for.
    pub(crate) fn remove_waiter(&mut self, handle: ResponseHandle) -> Option<QueryId> {
        self.by_response_handle.remove(&handle)
    }

    /// Returns the location of a part.
    pub(crate) fn locate(&self, part: PartId) -> Option<PartLocation> {
        self.by_part.get(&part).copied()
    }

    /// Adds a query.
    pub(crate) fn insert(&mut self, query: QueryId, open: OpenQuery) {
        self.deadlines.insert(QueryDeadline { at: open.deadline, query });
        self.by_request_id.insert(Rc::clone(&open.request.id), query);
        self.by_response_handle.insert(open.response_handle, query);
        self.shares.opened(open.client);
        self.queries.insert(query, open);
    }

    /// Returns the number of open queries of each client.
    pub(crate) fn shares(&self) -> &ClientShares {
        &self.shares
    }

    /// Adds a coalesced waiter to an open query.
    pub(crate) fn add_waiter(&mut self, query: QueryId, handle: ResponseHandle) {
        if let Some(open) = self.queries.get_mut(&query) {
            open.coalesced_waiters.push(handle);
            self.by_response_handle.insert(handle, query);
        }
    }

    /// Adds a part for each of these parts of the request; `part_id` assigns their ids.
    pub(crate) fn insert_parts(
        &mut self,
        query: QueryId,
        request_indices: impl Iterator<Item = usize>,
        kind: PartKind,
        mut part_id: impl FnMut(&PartRequest) -> PartId,
    ) {
        let Some(open) = self.queries.get_mut(&query) else { return };
        for request_index in request_indices {
            let part = part_id(&open.request.parts[request_index]);
            self.by_part.insert(part, PartLocation { query, index: open.parts.len() });
            open.parts.push(PartState::new(part, request_index, kind));
            self.open_parts += 1;
        }
    }

    /// Counts a part as closed because it has its value or has finally failed. It no longer counts against
    /// the limit on open work, but can be located until its query ends.
    pub(crate) fn part_closed(&mut self) {
        self.open_parts -= 1;
    }

    /// Closes the open parts of this kind for these blocks, and returns them.
    pub(crate) fn cancel_parts(&mut self, query: QueryId, blocks: &[usize], kind: PartKind) -> Vec<PartId> {
        let Some(open) = self.queries.get_mut(&query) else { return Vec::new() };
        let mut cancelled = Vec::new();
        for part in &mut open.parts {
            if part.closed || part.kind != kind || !blocks.contains(&part.request_index) {
                continue;
            }
            part.closed = true;
            self.open_parts -= 1;
            self.by_part.remove(&part.part);
            cancelled.push(part.part);
        }
        cancelled
    }

    /// Marks a query as having a plan.
    pub(crate) fn set_planned(&mut self, query: QueryId) {
        self.planned.insert(query);
    }

    /// Returns whether a query has a plan.
    pub(crate) fn is_planned(&self, query: QueryId) -> bool {
        self.planned.contains(&query)
    }

    /// Returns the open plans, each with its query.
    pub(crate) fn plans(&self) -> impl Iterator<Item = (QueryId, &Plan)> {
        self.planned.iter().filter_map(|&query| Some((query, self.queries.get(&query)?.plan.as_deref()?)))
    }

    /// Closes a query.
    pub(crate) fn remove(&mut self, query: QueryId) -> Option<OpenQuery> {
        let open = self.queries.remove(&query)?;
        self.shares.closed(open.client);
        self.by_request_id.remove(&open.request.id);
        self.by_response_handle.remove(&open.response_handle);
        for waiter in &open.coalesced_waiters {
            self.by_response_handle.remove(waiter);
        }
        self.deadlines.remove(&QueryDeadline { at: open.deadline, query });
        self.planned.remove(&query);
        for part in &open.parts {
            self.open_parts -= usize::from(!part.closed);
            self.by_part.remove(&part.part);
        }
        Some(open)
    }

    /// Returns the earliest deadline of a query.
    pub(crate) fn poll_timeout(&self) -> Option<Micros> {
        self.deadlines.first().map(|deadline| deadline.at)
    }

    /// Returns the next query whose deadline has passed by `now`. It stays open, but is not returned again.
    pub(crate) fn pop_expired(&mut self, now: Micros) -> Option<QueryId> {
        if self.poll_timeout()? > now {
            return None;
        }
        self.deadlines.pop_first().map(|deadline| deadline.query)
    }

    /// Returns the number of entries of each kind.
    pub(crate) fn counts(&self) -> OpenQueryCounts {
        OpenQueryCounts {
            queries: self.queries.len(),
            request_ids: self.by_request_id.len(),
            response_handles: self.by_response_handle.len(),
            parts: self.by_part.len(),
            open_parts: self.open_parts,
            planned: self.planned.len(),
            deadlines: self.deadlines.len(),
        }
    }
}
