//! Scenarios played against the core alone, on a simulated clock, so that nothing waits in real time. `expect`
//! takes no arguments here and returns all actions since the previous `expect`, each with its time in milliseconds.

use std::collections::BTreeMap;

use mallowgauge_core::{
    Action, AttemptId, Core, CoreLimits, Failure, PartRequest, QueryRequest, QueryResponse, ResponseHandle,
};
use mallowgauge_router::{BackendId, Endpoint, EndpointState, EndpointUpdate, Outcome, ShardId};
use mallowgauge_settings::Site;

use super::{settings, transcript, BACKENDS};

/// Time at which a scenario begins, in microseconds.
const START: u64 = 1_000_000;

struct CoreScenario {
    core: Core,
    now: u64,
    clients: BTreeMap<ResponseHandle, String>,
    /// The last attempt of each shard.
    attempts: BTreeMap<u32, AttemptId>,
    /// What happened since the previous `expect`.
    transcript: Vec<String>,
}

/// Describes a response in the form that transcripts use.
fn describe(response: &QueryResponse) -> String {
    match response {
        QueryResponse::Completed { complete, values } => {
            let values = values.iter().map(|(shard, value)| format!(" {}={value}", shard.0));
            format!("{}{}", if *complete { "whole" } else { "partial" }, values.collect::<String>())
        }
        QueryResponse::Ranked(ranked) => format!("{ranked:?}"),
        QueryResponse::Rejected { not_executed, .. } => {
            format!("refused{}", if *not_executed { ", untouched" } else { "" })
        }
        QueryResponse::Failed(Failure::Invalid(error)) => format!("Invalid({:?})", error.message()),
        QueryResponse::Failed(failure) => format!("{failure:?}"),
    }
}

impl CoreScenario {
    /// Runs the core up to this time and records its actions.
    fn run(&mut self, until: u64) {
        while let Some(due) = self.core.poll_timeout().filter(|&due| due <= until) {
            self.now = self.now.max(due);
            for action in self.core.run_batch(self.now) {
                let text = match action {
                    Action::SendBatch(backend, sends) => {
                        self.attempts.extend(sends.iter().map(|send| (send.shard.0, send.attempt)));
                        let shards: Vec<u32> = sends.iter().map(|send| send.shard.0).collect();
                        format!("call host {} {shards:?}", backend.0)
                    }
                    Action::Respond(client, response) => {
                        format!("{}: {}", self.clients[&client], describe(&response))
                    }
                    Action::CancelAttempt(backend, _) => format!("abandon host {}", backend.0),
                    other => format!("{other:?}"),
                };
                self.record(&text);
            }
        }
        self.now = until;
    }

    /// Adds a line with the current time to the transcript.
    fn record(&mut self, text: &str) {
        self.transcript.push(format!("{} ms {text}", (self.now - START) / 1000));
    }

    fn step(&mut self, line: &str) -> Option<String> {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            ["send", "part", shard, outcome, ..] => {
                let (outcome, value) = match outcome {
                    "good" => (Outcome::Succeeded, Some(words[4].into())),
                    "bad" => (Outcome::BackendError, None),
                    "later" => (Outcome::Rejected, None),
                    _ => panic!("unknown outcome: {line}"),
                };
                let attempt = self.attempts[&shard.parse().expect("a shard")];
                self.core.attempt_completed(self.now, attempt, outcome, value);
            }
            ["send", name, kind, ms, ..] => {
                let client = ResponseHandle::Http(self.clients.len() as u64);
                self.clients.insert(client, name.to_owned());
                let shards = words[4..].iter().map(|s| ShardId(s.parse().expect("a shard")));
                let weight = 1.0 / shards.len() as f64;
                let request = QueryRequest {
                    id: name.into(),
                    class: self.core.class_id(kind).expect("a class"),
                    expires_in: ms.parse::<u64>().expect("a number") * 1000,
                    retry: false,
                    work_hint: None,
                    body: b"text".as_slice().into(),
                    parts: shards.map(|shard| PartRequest { shard, weight }).collect(),
                    plan: None,
                };
                if let Err(response) = self.core.submit(self.now, client, request) {
                    self.record(&format!("{name}: {}", describe(&response)));
                }
            }
            ["close", name] => {
                let client =
                    self.clients.iter().find(|(_, known)| *known == name).expect("a client of this name").0;
                self.core.client_disconnected(*client);
            }
            ["wait", ms] => self.run(self.now + ms.parse::<u64>().expect("a number") * 1000),
            ["expect"] => return Some(std::mem::take(&mut self.transcript).join("\n")),
            _ => panic!("unknown step: {line}"),
        }
        None
    }
}

/// Plays a scenario against the core and returns its transcript.
pub fn play_in_core(scenario: &str) -> String {
    let site = Site::read(&settings()).expect("valid site settings");
    let core = Core::new(0, site.settings, site.classes, CoreLimits { max_open: 20, shards: 10 })
        .expect("valid settings");
    let (clients, attempts, transcript_lines) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
    let mut player = CoreScenario { core, now: START, clients, attempts, transcript: transcript_lines };
    let endpoint = |i: usize| Endpoint {
        backend: BackendId(i as u32),
        ring_position: i as u32,
        state: EndpointState::Ready,
        started_at: None,
        zone: None,
    };
    player.core.endpoint_update(EndpointUpdate::CachedSnapshot((0..BACKENDS).map(endpoint).collect()));
    player.run(START);
    transcript(scenario, |line| player.step(line))
}
