//! Routes requests to the health check or to the core, and renders final responses as HTTP.

use mallowgauge_core::{self as core, Core, Failure, QueryRequest, QueryResponse, ResponseHandle};
use mallowgauge_flight::json_size::MeasureError;
use mallowgauge_flight::rows::JsonError;
use mallowgauge_router::{Micros, ShardId};
use serde_json::{json, Value};

use crate::front::http1::RequestHead;
use crate::front::query::{self, QueryError, QueryMetadata};
use crate::lifecycle::Phase;

/// Path of the health check: the platform's proxy polls it to learn whether this instance accepts queries.
pub(super) const HEALTH_PATH: &str = "/healthz";
/// Path that queries are posted to.
pub(super) const QUERY_PATH: &str = "/api";
/// Bytes of text made from tables in a response that is known at submission: a rejection or an invalid query.
const NO_TABLE_TEXT: usize = 0;

/// An HTTP response before it is encoded.
pub(super) struct Reply {
    pub(super) status: u16,
    pub(super) headers: Vec<(&'static str, String)>,
    pub(super) body: String,
}

impl Reply {
    fn new(status: u16, body: impl Into<String>) -> Self {
        Self { status, headers: Vec::new(), body: body.into() }
    }

    fn error(status: u16, message: &str) -> Self {
        Self::new(status, error_body(message))
    }
}

/// Returns the body of an error response.
pub(super) fn error_body(message: &str) -> String {
    json!({ "error": message }).to_string()
}

/// Why a query is invalid. Clients see the text.
#[derive(Debug, thiserror::Error)]
enum RequestError {
    #[error("Req-Id is missing or odd")]
    InvalidId,
    #[error("the class is unknown")]
    UnknownClass,
    #[error("Req-Deadline-Ms is missing or odd")]
    InvalidDeadline,
    #[error("the body is not JSON")]
    BodyNotJson,
    #[error(transparent)]
    Query(#[from] QueryError),
}

/// Submits the query of a request to the core. An `Err` is an immediate response.
pub(super) fn route(
    now: Micros,
    connection: u64,
    head: &RequestHead,
    body: &[u8],
    core: &mut Core,
    phase: Phase,
) -> Result<(), Reply> {
    match head.path.as_str() {
        HEALTH_PATH => {
            require_method(head, "GET")?;
            Err(health(phase))
        }
        QUERY_PATH => {
            require_method(head, "POST")?;
            let request = read_query(head, body, core);
            let request = request.map_err(|error| Reply::error(400, &error.to_string()))?;
            core.submit(now, ResponseHandle::Http(connection), request)
                .map_err(|response| render(&response, NO_TABLE_TEXT))
        }
        _ => Err(Reply::error(404, "there is nothing here")),
    }
}

fn require_method(head: &RequestHead, method: &'static str) -> Result<(), Reply> {
    if head.method == method {
        return Ok(());
    }
    Err(Reply { headers: vec![("Allow", method.into())], ..Reply::error(405, "method") })
}

fn health(phase: Phase) -> Reply {
    match phase {
        Phase::Starting => Reply::new(503, "starting\n"),
        Phase::Serving => Reply::new(200, "ok\n"),
        Phase::Draining | Phase::Finishing | Phase::Stopped => Reply::new(503, "draining\n"),
    }
}

fn read_query(head: &RequestHead, body: &[u8], core: &Core) -> Result<QueryRequest, RequestError> {
    let id = head.header("req-id").filter(|id| query::is_valid_id(id)).ok_or(RequestError::InvalidId)?;
    let class =
        head.header("req-kind").and_then(|name| core.class_id(name)).ok_or(RequestError::UnknownClass)?;
    let digits = head.header("req-deadline-ms").filter(|ms| ms.bytes().all(|byte| byte.is_ascii_digit()));
    let milliseconds = digits.and_then(|ms| ms.parse::<u32>().ok()).ok_or(RequestError::InvalidDeadline)?;
    let expires_in = Micros::from(milliseconds) * 1000;
    let retry = head.header("req-retry") == Some("1");
    let body: Value = serde_json::from_slice(body).map_err(|_| RequestError::BodyNotJson)?;
    let metadata = QueryMetadata { id: id.into(), class, expires_in, retry };
    Ok(query::parse(metadata, &body)?)
}

/// Renders a final response as HTTP, with at most `max_text` bytes of text made from tables.
pub(super) fn render(response: &QueryResponse, max_text: usize) -> Reply {
    match response {
        QueryResponse::Completed { complete, values } => render_values(*complete, values, max_text),
        QueryResponse::Ranked(ranked) => Reply::new(200, query::write_ranked(ranked).to_string()),
        QueryResponse::Rejected { retry_after, .. } => {
            let seconds = *retry_after as f64 / 1e6;
            let retry_after = (*retry_after > 0).then(|| ("Retry-After", format!("{seconds:.3}")));
            Reply { headers: retry_after.into_iter().collect(), ..Reply::error(503, "refused") }
        }
        QueryResponse::Failed(Failure::Invalid(reason)) => Reply::error(400, reason.message()),
        QueryResponse::Failed(Failure::PartsFailed) => Reply::error(502, "parts could not be had"),
        QueryResponse::Failed(Failure::MemoryExhausted) => no_room(),
        QueryResponse::Failed(Failure::DeadlineExceeded) => Reply::error(504, "time ran out"),
    }
}

fn render_values(complete: bool, values: &[(ShardId, core::Value)], max_text: usize) -> Reply {
    let error = match query::write_values(complete, values, max_text) {
        Ok(body) => return Reply::new(200, body),
        Err(error) => error,
    };
    tracing::warn!("response could not be encoded: {error}");
    match error {
        JsonError::Measure(MeasureError::TooLong) => no_room(),
        _ => Reply::error(500, "the answer could not be written"),
    }
}

/// The response in place of one for which there is no memory.
pub(super) fn no_room() -> Reply {
    Reply::error(502, "the tables found no room")
}
