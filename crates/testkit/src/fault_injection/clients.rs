//! Clients over HTTP: one connection a query, and all that comes back on it.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::rules::{ClientResult, RecordedQuery};
use super::Recorder;
use crate::{stand_ins, Query};

/// What is asked, one after the other.
pub fn query(id: String, number: u64, wait: u64) -> (Query, bool) {
    let (kind, shards): (_, Vec<u64>) = match number % 10 {
        0..=5 => ("search", (0..3).map(|at| (number + at) % 10).collect()),
        6..=8 => ("place-hold", vec![number % 10]),
        _ => ("sales-report", (0..10).collect()),
    };
    let share = 1.0 / shards.len() as f64;
    let ranges: Vec<_> = shards.iter().map(|shard| json!({"range": shard, "portion": share})).collect();
    let body = json!({"ranges": ranges, "predicate": "c41e77d0"});
    (Query { id, kind: kind.to_owned(), deadline_ms: wait / 1000, body }, kind == "place-hold")
}

/// Asks one query and writes down what came of it.
///
/// The status, if a whole response came.
pub async fn send_query(
    addr: SocketAddr,
    process: String,
    query: Query,
    effect: bool,
    notes: Recorder,
) -> Option<u16> {
    send_query_marked(addr, process, query, (effect, false), notes).await
}

/// The same, marked as a further try if it is one.
pub async fn send_query_marked(
    addr: SocketAddr,
    process: String,
    query: Query,
    (effect, again): (bool, bool),
    notes: Recorder,
) -> Option<u16> {
    let (at, wait) = (notes.now(), query.deadline_ms * 1000);
    let asked = RecordedQuery {
        id: query.id.clone(),
        non_idempotent: effect,
        instance: process,
        at,
        timeout: wait,
        results: Vec::new(),
        response_body: String::new(),
    };
    let place = {
        let mut history = notes.history();
        history.queries.push(asked);
        history.queries.len() - 1
    };
    // Far beyond any verdict: an answer that comes then is late by the rules.
    let patience = Duration::from_micros(wait) + Duration::from_secs(30);
    let exchange = exchange(addr, &query, again);
    let (ends, said) = tokio::time::timeout(patience, exchange).await.unwrap_or_default();
    let now = notes.now();
    let status = match ends[..] {
        [ClientResult::Answer(status)] => Some(status),
        _ => None,
    };
    let asked = &mut notes.history().queries[place];
    (asked.results, asked.response_body) = (ends.into_iter().map(|end| (now, end)).collect(), said);
    status
}

async fn exchange(addr: SocketAddr, query: &Query, again: bool) -> (Vec<ClientResult>, String) {
    let mut text = Vec::new();
    let read = async {
        let mut socket = TcpStream::connect(addr).await?;
        let mark = if again { "Req-Retry: 1\r\nContent-Length" } else { "Content-Length" };
        let request = stand_ins::http_request(query).replacen("Content-Length", mark, 1);
        socket.write_all(request.as_bytes()).await?;
        socket.read_to_end(&mut text).await
    };
    let broken = read.await.err();
    let mut ends = parse_responses(&text);
    if let (true, Some(e)) = (ends.is_empty(), broken) {
        ends.push(ClientResult::Broken(e.to_string()));
    }
    let text = String::from_utf8_lossy(&text);
    let said = text.split_once("\r\n\r\n").map_or(String::new(), |(_, body)| body.to_owned());
    (ends, said)
}

/// The whole responses in what a connection gave, and what is left over.
pub fn parse_responses(bytes: &[u8]) -> Vec<ClientResult> {
    let mut rest = String::from_utf8_lossy(bytes).into_owned();
    let mut ends = Vec::new();
    while !rest.is_empty() {
        let whole = rest.split_once("\r\n\r\n").and_then(|(head, body)| {
            let status = head.split(' ').nth(1)?.parse().ok()?;
            let field = |line: &str| line.to_ascii_lowercase().strip_prefix("content-length: ")?.parse().ok();
            let length: usize = head.lines().find_map(field)?;
            Some((status, body.get(length..)?.to_owned()))
        });
        let Some((status, after)) = whole else {
            ends.push(ClientResult::Broken(format!("{} bytes that are no whole response", rest.len())));
            break;
        };
        ends.push(ClientResult::Answer(status));
        rest = after;
    }
    ends
}
