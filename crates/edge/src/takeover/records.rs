//! The encoding of requests and responses in records. postcard encodes fields in their declared order, so that order
//! never changes (`tests/stored_requests.rs` checks the bytes).

use std::sync::Arc;

use mallowgauge_cluster::takeover::QueryEnd;
use mallowgauge_core::{PartRequest, QueryRequest, QueryResponse, Value};
use mallowgauge_router::{ClassId, Micros, ShardId};
use serde::{Deserialize, Serialize};

/// Length in bytes of the digest at the start of a stored request.
const DIGEST_BYTES: usize = 8;
/// A query with less time left than this is not run by the instance that takes it over, in microseconds.
const MIN_TIME_LEFT: Micros = 20_000;

/// A request with all that another instance needs to run it.
#[derive(Serialize, Deserialize)]
struct StoredRequest {
    class: u32,
    /// Microseconds until the client's deadline at the time of writing.
    time_left: u64,
    body: Vec<u8>,
    /// The shard and weight of each part.
    parts: Vec<(u32, f64)>,
}

/// A response, complete or partial.
#[derive(Serialize, Deserialize)]
struct StoredResponse {
    complete: bool,
    /// The shard and text of each value.
    values: Vec<(u32, String)>,
}

fn stored_parts(request: &QueryRequest) -> Vec<(u32, f64)> {
    request.parts.iter().map(|part| (part.shard.0, part.weight)).collect()
}

/// A digest that distinguishes different requests with the same id.
#[must_use]
pub fn request_digest(request: &QueryRequest) -> [u8; DIGEST_BYTES] {
    let content = (request.class.0 as u32, &*request.body, stored_parts(request));
    let bytes = postcard::to_stdvec(&content).unwrap_or_default();
    mallowgauge_cluster::digest(bytes).to_be_bytes()
}

/// Encodes a request: its digest, followed by the request. A two-phase query is stored as its digest alone, because
/// another instance cannot plan its phases again; it only determines whether an attempt may have been executed.
#[must_use]
pub fn encode_request(request: &QueryRequest, time_left: Micros) -> Arc<[u8]> {
    let stored = StoredRequest {
        class: request.class.0 as u32,
        time_left,
        body: request.body.to_vec(),
        parts: stored_parts(request),
    };
    let stored = if request.plan.is_some() { None } else { postcard::to_stdvec(&stored).ok() };
    [&request_digest(request)[..], &stored.unwrap_or_default()].concat().into()
}

/// Decodes a request that was stored `age` microseconds ago, with the time left until its client's deadline; `None`
/// if too little time is left, or if only the digest is stored.
#[must_use]
pub fn decode_request(id: &str, payload: &[u8], age: Micros) -> Option<QueryRequest> {
    let stored: StoredRequest = postcard::from_bytes(payload.get(DIGEST_BYTES..)?).ok()?;
    let time_left = stored.time_left.checked_sub(age).filter(|left| *left > MIN_TIME_LEFT)?;
    let parts = stored.parts.iter().map(|&(shard, weight)| PartRequest { shard: ShardId(shard), weight });
    Some(QueryRequest {
        id: id.into(),
        class: ClassId(stored.class as usize),
        expires_in: time_left,
        retry: true,
        work_hint: None,
        body: stored.body.into(),
        parts: parts.collect(),
        plan: None,
    })
}

/// The outcome to record for a query with this response. A response with a table, or longer than `max_bytes`, is not
/// stored: later requests for the query are answered with "possibly executed".
#[must_use]
pub fn query_end(response: &QueryResponse, possibly_executed: bool, max_bytes: usize) -> QueryEnd {
    match response {
        QueryResponse::Completed { complete, values } => encode_response(*complete, values)
            .filter(|bytes| bytes.len() <= max_bytes)
            .map_or(QueryEnd::PossiblyExecuted, |bytes| QueryEnd::Answered(bytes.into())),
        _ if possibly_executed => QueryEnd::PossiblyExecuted,
        _ => QueryEnd::NotExecuted,
    }
}

fn encode_response(complete: bool, values: &[(ShardId, Value)]) -> Option<Vec<u8>> {
    let text = |(shard, value): &(ShardId, Value)| match value {
        Value::Text(text) => Some((shard.0, text.to_string())),
        Value::Table(_) => None,
    };
    let values = values.iter().map(text).collect::<Option<Vec<_>>>()?;
    postcard::to_stdvec(&StoredResponse { complete, values }).ok()
}

/// Decodes a stored response; `None` if this version does not know its format.
#[must_use]
pub fn decode_response(bytes: &[u8]) -> Option<QueryResponse> {
    let StoredResponse { complete, values } = postcard::from_bytes(bytes).ok()?;
    let values = values.into_iter().map(|(shard, text)| (ShardId(shard), text.into()));
    Some(QueryResponse::Completed { complete, values: values.collect() })
}
