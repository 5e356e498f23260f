//! The same steps against the core alone, on a clock of their own, so that nothing waits. `expect`, here
//! without words, gives all effects since the last one, each with its time in milliseconds.

use std::collections::BTreeMap;

use mallowgauge_core::{
    Action, AttemptId, Core, CoreLimits, Failure, PartRequest, QueryRequest, QueryResponse, ResponseHandle,
};
use mallowgauge_router::{BackendId, Endpoint, EndpointState, EndpointUpdate, Outcome, ShardId};
use mallowgauge_settings::Site;

use super::{settings, transcript, BACKENDS};

const START: u64 = 1_000_000;

struct CoreScenario {
    core: Core,
    now: u64,
    clients: BTreeMap<ResponseHandle, String>,
    out: BTreeMap<u32, AttemptId>,
    seen: Vec<String>,
}

fn told(answer: &QueryResponse) -> String {
    match answer {
        QueryResponse::Completed { complete: whole, values } => {
            let values = values.iter().map(|(shard, value)| format!(" {}={value}", shard.0));
            format!("{}{}", if *whole { "whole" } else { "partial" }, values.collect::<String>())
        }
        QueryResponse::Ranked(ranked) => format!("{ranked:?}"),
        QueryResponse::Rejected { not_executed: untouched, .. } => {
            format!("refused{}", if *untouched { ", untouched" } else { "" })
        }
        QueryResponse::Failed(Failure::Invalid(error)) => format!("Invalid({:?})", error.message()),
        QueryResponse::Failed(failure) => format!("{failure:?}"),
    }
}

impl CoreScenario {
    fn run(&mut self, until: u64) {
        while let Some(due) = self.core.poll_timeout().filter(|&due| due <= until) {
            self.now = self.now.max(due);
            for effect in self.core.run_batch(self.now) {
                let text = match effect {
                    Action::SendBatch(host, sends) => {
                        self.out.extend(sends.iter().map(|send| (send.shard.0, send.attempt)));
                        let shards: Vec<u32> = sends.iter().map(|send| send.shard.0).collect();
                        format!("call host {} {shards:?}", host.0)
                    }
                    Action::Respond(asker, answer) => format!("{}: {}", self.clients[&asker], told(&answer)),
                    Action::CancelAttempt(host, _) => format!("abandon host {}", host.0),
                    other => format!("{other:?}"),
                };
                self.see(&text);
            }
        }
        self.now = until;
    }

    fn see(&mut self, text: &str) {
        self.seen.push(format!("{} ms {text}", (self.now - START) / 1000));
    }

    fn step(&mut self, line: &str) -> Option<String> {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            ["send", "part", shard, end, ..] => {
                let (outcome, value) = match end {
                    "good" => (Outcome::Succeeded, Some(words[4].into())),
                    "bad" => (Outcome::BackendError, None),
                    "later" => (Outcome::Rejected, None),
                    _ => panic!("no such end: {line}"),
                };
                let attempt = self.out[&shard.parse().expect("a shard")];
                self.core.attempt_completed(self.now, attempt, outcome, value);
            }
            ["send", name, kind, ms, ..] => {
                let asker = ResponseHandle::Http(self.clients.len() as u64);
                self.clients.insert(asker, name.to_owned());
                let shards = words[4..].iter().map(|s| ShardId(s.parse().expect("a shard")));
                let weight = 1.0 / shards.len() as f64;
                let ask = QueryRequest {
                    id: name.into(),
                    class: self.core.class_id(kind).expect("a class"),
                    expires_in: ms.parse::<u64>().expect("a number") * 1000,
                    retry: false,
                    work_hint: None,
                    body: b"text".as_slice().into(),
                    parts: shards.map(|shard| PartRequest { shard, weight }).collect(),
                    plan: None,
                };
                if let Err(answer) = self.core.submit(self.now, asker, ask) {
                    self.see(&format!("{name}: {}", told(&answer)));
                }
            }
            ["close", name] => {
                let asker = self.clients.iter().find(|(_, held)| *held == name).expect("a client").0;
                self.core.client_disconnected(*asker);
            }
            ["wait", ms] => self.run(self.now + ms.parse::<u64>().expect("a number") * 1000),
            ["expect"] => return Some(std::mem::take(&mut self.seen).join("\n")),
            _ => panic!("no such step: {line}"),
        }
        None
    }
}

/// Plays a scenario against the core.
pub fn play_in_core(scenario: &str) -> String {
    let site = Site::read(&settings()).expect("settings");
    let core = Core::new(0, site.settings, site.classes, CoreLimits { max_open: 20, shards: 10 })
        .expect("sound settings");
    let (clients, out, seen) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
    let mut scenario_player = CoreScenario { core, now: START, clients, out, seen };
    let entry = |i: usize| {
        let (server, cell) = (BackendId(i as u32), i as u32);
        Endpoint {
            backend: server,
            ring_position: cell,
            state: EndpointState::Ready,
            started_at: None,
            zone: None,
        }
    };
    scenario_player.core.endpoint_update(EndpointUpdate::CachedSnapshot((0..BACKENDS).map(entry).collect()));
    scenario_player.run(START);
    transcript(scenario, |line| scenario_player.step(line))
}
