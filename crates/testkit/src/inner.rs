//! The same steps against the core alone, on a clock of their own, so that nothing waits. `expect`, here
//! without words, gives all effects since the last one, each with its time in milliseconds.

use std::collections::BTreeMap;

use mallowgauge_core::{Answer, Ask, AskPart, Asker, AttemptId, Bounds, Core, Effect};
use mallowgauge_router::{ListNews, Outcome, Phase, ServerEntry, ServerId, ShardId};
use mallowgauge_settings::Site;

use super::{settings, transcript, HOSTS};

const START: u64 = 1_000_000;

struct Inner {
    core: Core,
    now: u64,
    clients: BTreeMap<Asker, String>,
    out: BTreeMap<u32, AttemptId>,
    seen: Vec<String>,
}

fn told(answer: &Answer) -> String {
    match answer {
        Answer::Served { whole, values } => {
            let values = values.iter().map(|(shard, value)| format!(" {}={value}", shard.0));
            format!("{}{}", if *whole { "whole" } else { "partial" }, values.collect::<String>())
        }
        Answer::Ranked(ranked) => format!("{ranked:?}"),
        Answer::Refused { untouched, .. } => {
            format!("refused{}", if *untouched { ", untouched" } else { "" })
        }
        Answer::Failed(failure) => format!("{failure:?}"),
    }
}

impl Inner {
    fn run(&mut self, until: u64) {
        while let Some(due) = self.core.due().filter(|&due| due <= until) {
            self.now = self.now.max(due);
            for effect in self.core.turn(self.now) {
                let text = match effect {
                    Effect::Call(host, sends) => {
                        self.out.extend(sends.iter().map(|send| (send.shard.0, send.attempt)));
                        let shards: Vec<u32> = sends.iter().map(|send| send.shard.0).collect();
                        format!("call host {} {shards:?}", host.0)
                    }
                    Effect::Reply(asker, answer) => format!("{}: {}", self.clients[&asker], told(&answer)),
                    Effect::Abandon(host, _) => format!("abandon host {}", host.0),
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
                    "good" => (Outcome::Served, Some(words[4].into())),
                    "bad" => (Outcome::Fault, None),
                    "later" => (Outcome::NoRoom, None),
                    _ => panic!("no such end: {line}"),
                };
                let attempt = self.out[&shard.parse().expect("a shard")];
                self.core.outcome(self.now, attempt, outcome, value);
            }
            ["send", name, kind, ms, ..] => {
                let asker = Asker::Http(self.clients.len() as u64);
                self.clients.insert(asker, name.to_owned());
                let shards = words[4..].iter().map(|s| ShardId(s.parse().expect("a shard")));
                let weight = 1.0 / shards.len() as f64;
                let ask = Ask {
                    id: name.into(),
                    class: self.core.class(kind).expect("a class"),
                    expires_in: ms.parse::<u64>().expect("a number") * 1000,
                    retry: false,
                    work_hint: None,
                    text: b"text".as_slice().into(),
                    parts: shards.map(|shard| AskPart { shard, weight }).collect(),
                    plan: None,
                };
                if let Err(answer) = self.core.ask(self.now, asker, ask) {
                    self.see(&format!("{name}: {}", told(&answer)));
                }
            }
            ["close", name] => {
                let asker = self.clients.iter().find(|(_, held)| *held == name).expect("a client").0;
                self.core.gone(*asker);
            }
            ["wait", ms] => self.run(self.now + ms.parse::<u64>().expect("a number") * 1000),
            ["expect"] => return Some(std::mem::take(&mut self.seen).join("\n")),
            _ => panic!("no such step: {line}"),
        }
        None
    }
}

/// Plays a scenario against the core.
pub fn inside(scenario: &str) -> String {
    let site = Site::read(&settings()).expect("settings");
    let core = Core::new(0, site.settings, site.classes, Bounds { max_open: 20, shards: 10 })
        .expect("sound settings");
    let (clients, out, seen) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
    let mut inner = Inner { core, now: START, clients, out, seen };
    let entry = |i: usize| {
        let (server, cell) = (ServerId(i as u32), i as u32);
        ServerEntry { server, cell, phase: Phase::Ready, started: None, zone: None }
    };
    inner.core.list(ListNews::Saved((0..HOSTS).map(entry).collect()));
    inner.run(START);
    transcript(scenario, |line| inner.step(line))
}
