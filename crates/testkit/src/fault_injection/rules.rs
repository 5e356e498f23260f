//! Checks the recorded history of a trial against the rules. Does no I/O.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

/// What a client received for a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientResult {
    /// A complete response with this status.
    Answer(u16),
    /// The connection broke, or the response is incomplete.
    Broken(String),
}

/// A query that a client sent. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct RecordedQuery {
    pub id: String,
    /// Each of its parts may be executed at most once.
    pub non_idempotent: bool,
    /// The instance that it was sent to.
    pub instance: String,
    /// When it was sent.
    pub at: u64,
    /// How long the client waits.
    pub timeout: u64,
    /// Each response with its time, in order. There must be exactly one.
    pub results: Vec<(u64, ClientResult)>,
    /// The body of the first response.
    pub response_body: String,
}

/// A part that a backend received.
#[derive(Clone, Debug)]
pub struct ReceivedPart {
    pub at: u64,
    pub instance: String,
    pub backend: usize,
    pub id: String,
    pub shard: u32,
}

/// A sample of the memory and descriptors that an instance uses.
#[derive(Clone, Debug)]
pub struct Sample {
    pub instance: String,
    /// Bytes.
    pub memory: u64,
    pub descriptors: u64,
}

/// Everything that was recorded in a trial. Times are in microseconds.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub queries: Vec<RecordedQuery>,
    pub received_parts: Vec<ReceivedPart>,
    /// Discovery reported to an instance that a backend drains: time, instance, backend.
    pub drains: Vec<(u64, String, usize)>,
    /// A backend started and warms up: time, backend.
    pub cold_starts: Vec<(u64, usize)>,
    /// An instance was killed or shut down: time, instance.
    pub instance_ends: Vec<(u64, String)>,
    /// An instance was stopped (SIGSTOP): start, end, instance.
    pub pauses: Vec<(u64, u64, String)>,
    pub samples: Vec<Sample>,
    /// Exits of instances that no step caused, or with an unexpected status.
    pub crashes: Vec<String>,
    /// Lines of the instances' logs that must not occur.
    pub forbidden_log_lines: Vec<String>,
}

/// Limits of the rules. Times are in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How late a response may come, as allowance for a busy machine.
    pub slack: u64,
    /// Time after the report of a drain from which a backend must not receive parts.
    pub drain: u64,
    /// Parts that all instances together may send to a warming-up backend in any second.
    pub cold: usize,
    /// How long a backend counts as warming up.
    pub warm: u64,
    /// Bytes of memory that an instance may use.
    pub memory: u64,
    pub descriptors: u64,
}

/// The result of one rule.
#[derive(Clone, Debug, Serialize)]
pub struct Finding {
    pub rule: &'static str,
    /// How many items were checked.
    pub looked_at: usize,
    /// A description of each violation.
    pub broken: Vec<String>,
}

/// Checks a history against all rules.
pub fn check(history: &History, limits: &Limits) -> Vec<Finding> {
    vec![
        responses(history, limits),
        executions(history),
        outcomes(history),
        rejections(history),
        drains(history, limits),
        warm_ups(history, limits),
        resources(history, limits),
        Finding { rule: "no crash", looked_at: history.instance_ends.len(), broken: history.crashes.clone() },
        Finding {
            rule: "no forbidden log lines",
            looked_at: history.queries.len(),
            broken: history.forbidden_log_lines.clone(),
        },
    ]
}

/// Counts the queries whose instance was killed before it responded. They are lost unless another instance takes
/// them over.
pub fn lost_queries(history: &History) -> usize {
    history.queries.iter().filter(|query| is_lost(history, query)).count()
}

/// Returns whether the instance was killed before it responded, or up to a second before the query was sent to it.
fn is_lost(history: &History, query: &RecordedQuery) -> bool {
    let unanswered = matches!(query.results[..], [] | [(_, ClientResult::Broken(_))]);
    let answered_at = query.results.first().map_or(u64::MAX, |(at, _)| *at);
    let killed = |(at, instance): &(u64, String)| *instance == query.instance && *at <= answered_at;
    unanswered && history.instance_ends.iter().any(|end| killed(end) && end.0 + 1_000_000 >= query.at)
}

/// Every query gets exactly one response, with an allowed status and in time.
fn responses(history: &History, limits: &Limits) -> Finding {
    let violation = |query: &RecordedQuery| {
        if is_lost(history, query) {
            return None;
        }
        // A stopped instance responds after it continues.
        let paused: u64 = history
            .pauses
            .iter()
            .filter(|(from, to, instance)| {
                *instance == query.instance && *to >= query.at && *from <= query.at + query.timeout
            })
            .map(|(from, to, _)| to - from)
            .sum();
        let deadline = query.at + query.timeout + limits.slack + paused;
        match &query.results[..] {
            [(at, ClientResult::Answer(200 | 429 | 502 | 503 | 504))] if *at <= deadline => None,
            [(at, ClientResult::Answer(status @ (200 | 429 | 502 | 503 | 504)))] => Some(format!(
                "{} got status {status} from {}, {} us late",
                query.id,
                query.instance,
                at - deadline
            )),
            [(_, result)] => Some(format!("{} sent to {} ended with {result:?}", query.id, query.instance)),
            [] => Some(format!("{} sent to {} got no response", query.id, query.instance)),
            more => Some(format!("{} got {} responses", query.id, more.len())),
        }
    };
    let broken = history.queries.iter().filter_map(violation).collect();
    Finding { rule: "one answer in time", looked_at: history.queries.len(), broken }
}

/// No part of a non-idempotent query is executed twice.
fn executions(history: &History) -> Finding {
    let queries: BTreeSet<&str> =
        history.queries.iter().filter(|a| a.non_idempotent).map(|a| &*a.id).collect();
    let mut executions: BTreeMap<(&str, u32), Vec<&ReceivedPart>> = BTreeMap::new();
    for part in history.received_parts.iter().filter(|part| queries.contains(&*part.id)) {
        executions.entry((&part.id, part.shard)).or_default().push(part);
    }
    let repeated = executions.iter().filter(|(_, parts)| parts.len() > 1).map(|((id, shard), parts)| {
        let by: Vec<String> = parts.iter().map(|part| format!("{} at {}", part.instance, part.at)).collect();
        format!("part {shard} of {id} was executed {} times: {}", parts.len(), by.join(", "))
    });
    Finding { rule: "at most one execution", looked_at: queries.len(), broken: repeated.collect() }
}

/// Every request for an id gets the same outcome. Rejections and unknown outcomes do not count.
fn outcomes(history: &History) -> Finding {
    let mut outcomes: BTreeMap<&str, BTreeSet<(u16, &str)>> = BTreeMap::new();
    for query in history.queries.iter().filter(|query| query.non_idempotent) {
        if let [(_, ClientResult::Answer(status @ (200 | 502)))] = query.results[..] {
            outcomes.entry(&query.id).or_default().insert((status, &query.response_body));
        }
    }
    let differing = outcomes.iter().filter(|(_, outcomes)| outcomes.len() > 1);
    let broken = differing.map(|(id, outcomes)| format!("{id} has the outcomes {outcomes:?}")).collect();
    Finding { rule: "one outcome", looked_at: outcomes.len(), broken }
}

/// A rejected non-idempotent query is never executed, neither before nor after the rejection, unless the same id is
/// sent again later. The client relies on this when it sends the query under another id.
fn rejections(history: &History) -> Finding {
    let is_rejected = |query: &&RecordedQuery| {
        query.non_idempotent && matches!(query.results[..], [(_, ClientResult::Answer(503))])
    };
    let mut parts: BTreeMap<&str, Vec<&ReceivedPart>> = BTreeMap::new();
    for part in &history.received_parts {
        parts.entry(&part.id).or_default().push(part);
    }
    let mut last_sent: BTreeMap<&str, u64> = BTreeMap::new();
    for query in &history.queries {
        let latest = last_sent.entry(&query.id).or_default();
        *latest = (*latest).max(query.at);
    }
    let rejected: Vec<&RecordedQuery> = history.queries.iter().filter(is_rejected).collect();
    let executed =
        rejected.iter().filter(|query| last_sent.get(&*query.id) == Some(&query.at)).filter_map(|query| {
            let part = parts.get(&*query.id)?.first()?;
            Some(format!(
                "{} was rejected by {} as not executed; {} executed it",
                query.id, query.instance, part.instance
            ))
        });
    Finding { rule: "rejected not executed", looked_at: rejected.len(), broken: executed.collect() }
}

/// Counts the non-idempotent queries that were sent, by id.
pub fn non_idempotent_queries(history: &History) -> usize {
    history
        .queries
        .iter()
        .filter(|query| query.non_idempotent)
        .map(|query| &*query.id)
        .collect::<BTreeSet<_>>()
        .len()
}

/// Counts non-idempotent queries whose first instance was lost before it responded.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct TakeoverCounts {
    /// Sent again to another instance.
    pub again: usize,
    /// Of these, answered with a definite outcome.
    pub known: usize,
    /// Of those, executed and answered.
    pub served: usize,
    /// Of those, rejected as not executed.
    pub refused: usize,
}

/// Counts what happened to the non-idempotent queries that were lost with their instance.
pub fn takeovers(history: &History) -> TakeoverCounts {
    let lost: BTreeSet<&str> =
        history.queries.iter().filter(|a| a.non_idempotent && is_lost(history, a)).map(|a| &*a.id).collect();
    let mut statuses_by_id: BTreeMap<&str, BTreeSet<u16>> = BTreeMap::new();
    for query in history.queries.iter().filter(|a| lost.contains(&*a.id) && !is_lost(history, a)) {
        let statuses = statuses_by_id.entry(&query.id).or_default();
        if let [(_, ClientResult::Answer(status))] = query.results[..] {
            statuses.insert(status);
        }
    }
    let count_with = |statuses: &[u16]| {
        let has_any = |seen: &&BTreeSet<u16>| statuses.iter().any(|status| seen.contains(status));
        statuses_by_id.values().filter(has_any).count()
    };
    TakeoverCounts {
        again: statuses_by_id.len(),
        known: count_with(&[200, 502, 503]),
        served: count_with(&[200]),
        refused: count_with(&[503]),
    }
}

/// Returns the times from the end of a query's first instance to the first part that another instance sent to a
/// backend for it, in microseconds, for non-idempotent queries of which the first instance sent nothing.
pub fn takeover_times(history: &History) -> Vec<u64> {
    let mut first_parts: BTreeMap<&str, &ReceivedPart> = BTreeMap::new();
    for part in &history.received_parts {
        let first = first_parts.entry(&part.id).or_insert(part);
        if part.at < first.at {
            *first = part;
        }
    }
    let mut seen = BTreeSet::new();
    let lost =
        history.queries.iter().filter(|a| a.non_idempotent && seen.insert(&*a.id) && is_lost(history, a));
    let times = lost.filter_map(|query| {
        let instance_ends =
            history.instance_ends.iter().filter(|(at, by)| *by == query.instance && *at >= query.at);
        let end = instance_ends.map(|(at, _)| *at).min()?;
        let part = first_parts.get(&*query.id)?;
        (part.instance != query.instance).then(|| part.at.saturating_sub(end))
    });
    times.collect()
}

/// A draining backend receives no parts from an instance that has known of the drain for `limits.drain`.
fn drains(history: &History, limits: &Limits) -> Finding {
    let late = history.drains.iter().filter_map(|(reported, instance, backend)| {
        let until = reported + limits.drain;
        let late = |part: &&ReceivedPart| part.instance == *instance && part.backend == *backend && part.at > until;
        let late: Vec<&ReceivedPart> = history.received_parts.iter().filter(late).collect();
        let first = late.first()?;
        let after = first.at - reported;
        Some(format!(
            "{instance} sent {} parts to backend {backend}, the first {after} us after discovery reported that it drains",
            late.len()
        ))
    });
    Finding { rule: "drains respected", looked_at: history.drains.len(), broken: late.collect() }
}

/// A warming-up backend receives a limited number of parts in any second.
fn warm_ups(history: &History, limits: &Limits) -> Finding {
    let overloaded = history.cold_starts.iter().filter_map(|(at, backend)| {
        let warm_up = at..&(at + limits.warm);
        let parts = history.received_parts.iter();
        let parts = parts.filter(|part| part.backend == *backend && warm_up.contains(&&part.at));
        let mut times: Vec<u64> = parts.map(|part| part.at).collect();
        times.sort_unstable();
        let window = |(first, at): (usize, &u64)| {
            times[first..].iter().take_while(|later| **later < at + 1_000_000).count()
        };
        let most = times.iter().enumerate().map(window).max().unwrap_or(0);
        (most > limits.cold).then(|| {
            format!("warming-up backend {backend} received {most} parts in a second, limit {}", limits.cold)
        })
    });
    Finding {
        rule: "warm-up limits respected",
        looked_at: history.cold_starts.len(),
        broken: overloaded.collect(),
    }
}

/// No instance exceeds its limits of memory and descriptors.
fn resources(history: &History, limits: &Limits) -> Finding {
    let mut broken = BTreeSet::new();
    for Sample { instance, memory, descriptors } in &history.samples {
        if *memory > limits.memory {
            broken.insert(format!("{instance} used more than {} bytes", limits.memory));
        }
        if *descriptors > limits.descriptors {
            broken.insert(format!("{instance} used more than {} descriptors", limits.descriptors));
        }
    }
    let broken = broken.into_iter().collect();
    Finding { rule: "memory and descriptors", looked_at: history.samples.len(), broken }
}
