//! Decides whether what was seen in a trial keeps the rules. Free of I/O: a history in, breaches out.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

/// How a query ended, as its client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientResult {
    /// A whole response, with its status.
    Answer(u16),
    /// The connection broke, or what came is no whole response.
    Broken(String),
}

/// A query that a client asked.
#[derive(Clone, Debug)]
pub struct RecordedQuery {
    pub id: String,
    /// Its effect must happen once at most.
    pub non_idempotent: bool,
    pub instance: String,
    pub at: u64,
    /// How long the client waits.
    pub timeout: u64,
    /// Each response that came, in order; there has to be one.
    pub results: Vec<(u64, ClientResult)>,
    /// What the first one said.
    pub response_body: String,
}

/// A part that a host was sent.
#[derive(Clone, Debug)]
pub struct ReceivedPart {
    pub at: u64,
    pub instance: String,
    pub backend: usize,
    pub id: String,
    pub shard: u32,
}

/// What was seen of a process's use of memory and descriptors.
#[derive(Clone, Debug)]
pub struct Sample {
    pub instance: String,
    pub memory: u64,
    pub descriptors: u64,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub queries: Vec<RecordedQuery>,
    pub received_parts: Vec<ReceivedPart>,
    /// A process was told that a host drains: (when, process, host).
    pub drains: Vec<(u64, String, usize)>,
    /// A host started cold: (when, host).
    pub cold_starts: Vec<(u64, usize)>,
    /// A process was killed, or told to end: (when, process).
    pub instance_ends: Vec<(u64, String)>,
    /// A process was halted from when to when.
    pub pauses: Vec<(u64, u64, String)>,
    pub samples: Vec<Sample>,
    /// A process ended though nobody ended it, or not as it should.
    pub crashes: Vec<String>,
    /// Lines of processes' logs that must not be written.
    pub forbidden_log_lines: Vec<String>,
}

/// What is allowed.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// An answer may come so much after its time, on a busy machine.
    pub slack: u64,
    /// Nothing new goes to a host so long after its drain was told.
    pub drain: u64,
    /// Parts that a cold host may be sent in any second, by all together.
    pub cold: usize,
    /// How long a host counts as cold.
    pub warm: u64,
    /// Bytes of memory.
    pub memory: u64,
    pub descriptors: u64,
}

/// What came of one rule.
#[derive(Clone, Debug, Serialize)]
pub struct Finding {
    pub rule: &'static str,
    /// How many things were held against it.
    pub looked_at: usize,
    pub broken: Vec<String>,
}

/// Holds a history against all rules.
pub fn check(history: &History, limits: &Limits) -> Vec<Finding> {
    vec![
        answers(history, limits),
        effects(history),
        outcomes(history),
        refusals(history),
        drains(history, limits),
        colds(history, limits),
        bounds(history, limits),
        Finding { rule: "no crash", looked_at: history.instance_ends.len(), broken: history.crashes.clone() },
        Finding {
            rule: "no cry",
            looked_at: history.queries.len(),
            broken: history.forbidden_log_lines.clone(),
        },
    ]
}

/// Queries whose gatherer was killed before it answered: until another takes them over, they are lost.
pub fn lost_queries(history: &History) -> usize {
    history.queries.iter().filter(|asked| is_lost(history, asked)).count()
}

fn is_lost(history: &History, asked: &RecordedQuery) -> bool {
    let broken = matches!(asked.results[..], [] | [(_, ClientResult::Broken(_))]);
    let until = asked.results.first().map_or(u64::MAX, |(at, _)| *at);
    let killed = |(at, process): &(u64, String)| *process == asked.instance && *at <= until;
    broken && history.instance_ends.iter().any(|end| killed(end) && end.0 + 1_000_000 >= asked.at)
}

fn answers(history: &History, limits: &Limits) -> Finding {
    let judge = |asked: &RecordedQuery| {
        if is_lost(history, asked) {
            return None;
        }
        // A halted process answers once it goes on.
        let halted: u64 = history
            .pauses
            .iter()
            .filter(|(from, to, process)| {
                *process == asked.instance && *to >= asked.at && *from <= asked.at + asked.timeout
            })
            .map(|(from, to, _)| to - from)
            .sum();
        let until = asked.at + asked.timeout + limits.slack + halted;
        match &asked.results[..] {
            [(at, ClientResult::Answer(200 | 429 | 502 | 503 | 504))] if *at <= until => None,
            [(at, ClientResult::Answer(status @ (200 | 429 | 502 | 503 | 504)))] => Some(format!(
                "{} was answered {status} by {}, {} us late",
                asked.id,
                asked.instance,
                at - until
            )),
            [(_, end)] => Some(format!("{} of {} ended with {end:?}", asked.id, asked.instance)),
            [] => Some(format!("{} of {} was never answered", asked.id, asked.instance)),
            more => Some(format!("{} was answered {} times", asked.id, more.len())),
        }
    };
    let broken = history.queries.iter().filter_map(judge).collect();
    Finding { rule: "one answer in time", looked_at: history.queries.len(), broken }
}

fn effects(history: &History) -> Finding {
    let effects: BTreeSet<&str> =
        history.queries.iter().filter(|a| a.non_idempotent).map(|a| &*a.id).collect();
    let mut runs: BTreeMap<(&str, u32), Vec<&ReceivedPart>> = BTreeMap::new();
    for run in history.received_parts.iter().filter(|run| effects.contains(&*run.id)) {
        runs.entry((&run.id, run.shard)).or_default().push(run);
    }
    let twice = runs.iter().filter(|(_, runs)| runs.len() > 1).map(|((id, shard), runs)| {
        let by: Vec<String> = runs.iter().map(|run| format!("{} at {}", run.instance, run.at)).collect();
        format!("part {shard} of {id} ran {} times: {}", runs.len(), by.join(", "))
    });
    Finding { rule: "an effect once", looked_at: effects.len(), broken: twice.collect() }
}

/// Everybody who asks for an id is told the same: refusals and unknown ends are none.
fn outcomes(history: &History) -> Finding {
    let mut told: BTreeMap<&str, BTreeSet<(u16, &str)>> = BTreeMap::new();
    for asked in history.queries.iter().filter(|asked| asked.non_idempotent) {
        if let [(_, ClientResult::Answer(status @ (200 | 502)))] = asked.results[..] {
            told.entry(&asked.id).or_default().insert((status, &asked.response_body));
        }
    }
    let two = told.iter().filter(|(_, told)| told.len() > 1);
    let broken = two.map(|(id, told)| format!("{id} was told {told:?}")).collect();
    Finding { rule: "one outcome", looked_at: told.len(), broken }
}

/// Who was told that a hold was refused may ask for it under another id: nothing of it ran, or ever runs, unless
/// somebody asked for this one again later.
fn refusals(history: &History) -> Finding {
    let refused = |asked: &&RecordedQuery| {
        asked.non_idempotent && matches!(asked.results[..], [(_, ClientResult::Answer(503))])
    };
    let mut runs: BTreeMap<&str, Vec<&ReceivedPart>> = BTreeMap::new();
    for run in &history.received_parts {
        runs.entry(&run.id).or_default().push(run);
    }
    let mut last: BTreeMap<&str, u64> = BTreeMap::new();
    for asked in &history.queries {
        let latest = last.entry(&asked.id).or_default();
        *latest = (*latest).max(asked.at);
    }
    let refused: Vec<&RecordedQuery> = history.queries.iter().filter(refused).collect();
    let ran = refused.iter().filter(|asked| last.get(&*asked.id) == Some(&asked.at)).filter_map(|asked| {
        let run = runs.get(&*asked.id)?.first()?;
        Some(format!("{} was told by {} that nothing ran; {} ran it", asked.id, asked.instance, run.instance))
    });
    Finding { rule: "what is refused never ran", looked_at: refused.len(), broken: ran.collect() }
}

/// How many holds were asked, by id.
pub fn non_idempotent_queries(history: &History) -> usize {
    history
        .queries
        .iter()
        .filter(|asked| asked.non_idempotent)
        .map(|asked| &*asked.id)
        .collect::<BTreeSet<_>>()
        .len()
}

/// What became of holds whose first gatherer was lost before it answered.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct TakeoverCounts {
    /// RecordedQuery again elsewhere.
    pub again: usize,
    /// Told how they ended.
    pub known: usize,
    /// Of these, served.
    pub served: usize,
    /// Of these, told that nothing ran.
    pub refused: usize,
}

pub fn takeovers(history: &History) -> TakeoverCounts {
    let lost: BTreeSet<&str> =
        history.queries.iter().filter(|a| a.non_idempotent && is_lost(history, a)).map(|a| &*a.id).collect();
    let mut ends: BTreeMap<&str, BTreeSet<u16>> = BTreeMap::new();
    for asked in history.queries.iter().filter(|a| lost.contains(&*a.id) && !is_lost(history, a)) {
        let told = ends.entry(&asked.id).or_default();
        if let [(_, ClientResult::Answer(status))] = asked.results[..] {
            told.insert(status);
        }
    }
    let with = |statuses: &[u16]| {
        ends.values().filter(|told| statuses.iter().any(|status| told.contains(status))).count()
    };
    TakeoverCounts {
        again: ends.len(),
        known: with(&[200, 502, 503]),
        served: with(&[200]),
        refused: with(&[503]),
    }
}

/// How long after the end of a hold's first gatherer another one's first frame for it reached a host, for holds that
/// the first one never sent.
pub fn takeover_times(history: &History) -> Vec<u64> {
    let mut runs: BTreeMap<&str, &ReceivedPart> = BTreeMap::new();
    for run in &history.received_parts {
        let first = runs.entry(&run.id).or_insert(run);
        if run.at < first.at {
            *first = run;
        }
    }
    let mut seen = BTreeSet::new();
    let lost =
        history.queries.iter().filter(|a| a.non_idempotent && seen.insert(&*a.id) && is_lost(history, a));
    let times = lost.filter_map(|asked| {
        let ends = history.instance_ends.iter().filter(|(at, by)| *by == asked.instance && *at >= asked.at);
        let end = ends.map(|(at, _)| *at).min()?;
        let run = runs.get(&*asked.id)?;
        (run.instance != asked.instance).then(|| run.at.saturating_sub(end))
    });
    times.collect()
}

fn drains(history: &History, limits: &Limits) -> Finding {
    let late = history.drains.iter().filter_map(|(told, process, host)| {
        let until = told + limits.drain;
        let late = |run: &&ReceivedPart| run.instance == *process && run.backend == *host && run.at > until;
        let late: Vec<&ReceivedPart> = history.received_parts.iter().filter(late).collect();
        let first = late.first()?;
        let after = first.at - told;
        Some(format!(
            "{process} sent {} parts to host {host}, the first {after} us after it was told to drain",
            late.len()
        ))
    });
    Finding { rule: "drains kept", looked_at: history.drains.len(), broken: late.collect() }
}

fn colds(history: &History, limits: &Limits) -> Finding {
    let pushed = history.cold_starts.iter().filter_map(|(at, host)| {
        let cold = at..&(at + limits.warm);
        let runs =
            history.received_parts.iter().filter(|run| run.backend == *host && cold.contains(&&run.at));
        let mut runs: Vec<u64> = runs.map(|run| run.at).collect();
        runs.sort_unstable();
        let window = |(first, at): (usize, &u64)| {
            runs[first..].iter().take_while(|later| **later < at + 1_000_000).count()
        };
        let most = runs.iter().enumerate().map(window).max().unwrap_or(0);
        (most > limits.cold)
            .then(|| format!("cold host {host} was sent {most} parts in a second, {} at most", limits.cold))
    });
    Finding { rule: "cold hosts spared", looked_at: history.cold_starts.len(), broken: pushed.collect() }
}

fn bounds(history: &History, limits: &Limits) -> Finding {
    let mut broken = BTreeSet::new();
    for Sample { instance: process, memory, descriptors } in &history.samples {
        if *memory > limits.memory {
            broken.insert(format!("{process} held more than {} bytes", limits.memory));
        }
        if *descriptors > limits.descriptors {
            broken.insert(format!("{process} held more than {} descriptors", limits.descriptors));
        }
    }
    let broken = broken.into_iter().collect();
    Finding { rule: "memory and descriptors", looked_at: history.samples.len(), broken }
}
