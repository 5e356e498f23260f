//! HTTP clients: one connection per query, and everything that is received on it.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::rules::{ClientResult, RecordedQuery};
use super::Recorder;
use crate::{stand_ins, Query};

/// Returns the `number`th query of the load, with a timeout in microseconds, and whether it is non-idempotent.
pub fn query(id: String, number: u64, timeout: u64) -> (Query, bool) {
    let (kind, shards): (_, Vec<u64>) = match number % 10 {
        0..=5 => ("search", (0..3).map(|offset| (number + offset) % 10).collect()),
        6..=8 => ("place-hold", vec![number % 10]),
        _ => ("sales-report", (0..10).collect()),
    };
    let share = 1.0 / shards.len() as f64;
    let ranges: Vec<_> = shards.iter().map(|shard| json!({"range": shard, "portion": share})).collect();
    let body = json!({"ranges": ranges, "predicate": "c41e77d0"});
    (Query { id, kind: kind.to_owned(), deadline_ms: timeout / 1000, body }, kind == "place-hold")
}

/// Sends a query and records its result. Returns the status if exactly one complete response came.
pub async fn send_query(
    addr: SocketAddr,
    instance: String,
    query: Query,
    non_idempotent: bool,
    recorder: Recorder,
) -> Option<u16> {
    send_query_marked(addr, instance, query, (non_idempotent, false), recorder).await
}

/// As [`send_query`]; the pair says whether the query is non-idempotent and whether it is marked as a retry.
pub async fn send_query_marked(
    addr: SocketAddr,
    instance: String,
    query: Query,
    (non_idempotent, retry): (bool, bool),
    recorder: Recorder,
) -> Option<u16> {
    let (at, timeout) = (recorder.now(), query.deadline_ms * 1000);
    let sent = RecordedQuery {
        id: query.id.clone(),
        non_idempotent,
        instance,
        at,
        timeout,
        results: Vec::new(),
        response_body: String::new(),
    };
    let index = {
        let mut history = recorder.history();
        history.queries.push(sent);
        history.queries.len() - 1
    };
    // Far beyond the limits of the rules: a response that comes after this is late in any case.
    let read_timeout = Duration::from_micros(timeout) + Duration::from_secs(30);
    let exchange = exchange(addr, &query, retry);
    let (results, response_body) = tokio::time::timeout(read_timeout, exchange).await.unwrap_or_default();
    let now = recorder.now();
    let status = match results[..] {
        [ClientResult::Answer(status)] => Some(status),
        _ => None,
    };
    let sent = &mut recorder.history().queries[index];
    (sent.results, sent.response_body) =
        (results.into_iter().map(|result| (now, result)).collect(), response_body);
    status
}

/// Sends a query and reads to the end of the connection: the results, and the body of the first response.
async fn exchange(addr: SocketAddr, query: &Query, retry: bool) -> (Vec<ClientResult>, String) {
    let mut text = Vec::new();
    let read = async {
        let mut socket = TcpStream::connect(addr).await?;
        let mark = if retry { "Req-Retry: 1\r\nContent-Length" } else { "Content-Length" };
        let request = stand_ins::http_request(query).replacen("Content-Length", mark, 1);
        socket.write_all(request.as_bytes()).await?;
        socket.read_to_end(&mut text).await
    };
    let error = read.await.err();
    let mut results = parse_responses(&text);
    if let (true, Some(e)) = (results.is_empty(), error) {
        results.push(ClientResult::Broken(e.to_string()));
    }
    let text = String::from_utf8_lossy(&text);
    let response_body = text.split_once("\r\n\r\n").map_or(String::new(), |(_, body)| body.to_owned());
    (results, response_body)
}

/// Parses the complete responses in the bytes of a connection; a remainder gives a [`ClientResult::Broken`].
pub fn parse_responses(bytes: &[u8]) -> Vec<ClientResult> {
    let mut rest = String::from_utf8_lossy(bytes).into_owned();
    let mut results = Vec::new();
    while !rest.is_empty() {
        let response = rest.split_once("\r\n\r\n").and_then(|(head, body)| {
            let status = head.split(' ').nth(1)?.parse().ok()?;
            let field = |line: &str| line.to_ascii_lowercase().strip_prefix("content-length: ")?.parse().ok();
            let length: usize = head.lines().find_map(field)?;
            Some((status, body.get(length..)?.to_owned()))
        });
        let Some((status, after)) = response else {
            results.push(ClientResult::Broken(format!("{} bytes of an incomplete response", rest.len())));
            break;
        };
        results.push(ClientResult::Answer(status));
        rest = after;
    }
    results
}
