//! Hosts routers on the simulator's wire: translation only, no decisions.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

use mallowgauge_router::{Action, Event, Micros, QueryId, Router};
use serde_json::Value;
use wire::{Entry, Fields, Names};

/// One router and what is needed to speak for it; nothing here is shared between instances.
struct Instance {
    router: Router,
    names: Names,
    /// The wire's group numbers of queries, each with the answers that it may still be given.
    groups: BTreeMap<u64, (QueryId, u32)>,
    pending: Vec<Event>,
    touched: bool,
}

#[derive(Default)]
struct Host {
    now: Micros,
    in_batch: bool,
    lists: BTreeMap<u64, Vec<Entry>>,
    instances: BTreeMap<u64, Instance>,
}

impl Host {
    /// Takes one line; a finished batch yields its reply.
    fn line(&mut self, text: &str) -> Result<Option<String>, String> {
        let value: Value = serde_json::from_str(text).map_err(|e| format!("not valid JSON: {e}"))?;
        let fields = Fields::new(&value)?;
        if fields.name == "Turn" {
            if self.in_batch {
                return Err("Turn: the batch before it has no Commit".to_owned());
            }
            let now = fields.int(0, "the clock")?;
            if now < self.now {
                return Err("Turn: the clock runs backwards".to_owned());
            }
            (self.now, self.in_batch) = (now, true);
            return Ok(None);
        }
        if !self.in_batch {
            return Err(format!("{}: outside a batch", fields.name));
        }
        match fields.name {
            "Commit" => {
                self.in_batch = false;
                return Ok(Some(self.reply()));
            }
            "Register" => {
                let slot = fields.int(0, "Slot")?;
                self.lists.insert(slot, wire::entries(fields.get(1, "Records")?)?);
            }
            "Begin" => {
                let env = fields.get(2, "Env")?;
                let (settings, names) = wire::settings(env)?;
                let router = Router::new(fields.int(1, "Nonce64")?, settings)
                    .map_err(|e| format!("Begin: Env: {e}"))?;
                let instance =
                    Instance { router, names, groups: BTreeMap::new(), pending: Vec::new(), touched: true };
                self.instances.insert(fields.int(0, "Router")?, instance);
            }
            "PowerOff" => {
                let number = fields.int(0, "Router")?;
                if self.instances.remove(&number).is_none() {
                    return Err(format!("PowerOff: no instance {number}"));
                }
            }
            name => {
                let number = fields.int(0, "Router")?;
                let instance =
                    self.instances.get_mut(&number).ok_or_else(|| format!("{name}: no instance {number}"))?;
                instance.touched = true;
                instance.event(&fields, &self.lists)?;
            }
        }
        Ok(None)
    }

    fn reply(&mut self) -> String {
        let mut reply = String::new();
        let mut actions = Vec::new();
        for (&number, instance) in &mut self.instances {
            if !std::mem::take(&mut instance.touched) {
                continue;
            }
            let events = std::mem::take(&mut instance.pending);
            instance.router.handle(self.now, events, &mut actions);
            for action in actions.drain(..) {
                instance.forget(&action);
                wire::write(&mut reply, number, &action, &instance.names);
            }
        }
        reply.push_str("[\"Eor\"]\n");
        reply
    }
}

impl Instance {
    /// Drops the group number of a query that the action ends.
    fn forget(&mut self, action: &Action) {
        match action {
            Action::Respond { query, .. } => {
                if let Some((_, answers)) = self.groups.values_mut().find(|(held, _)| held == query) {
                    *answers -= 1;
                }
                self.groups.retain(|_, (_, answers)| *answers > 0);
            }
            Action::Reject { query, .. } | Action::Fail { query } => self.forget_query(*query),
            _ => {}
        }
    }

    fn forget_query(&mut self, query: QueryId) {
        self.groups.retain(|_, (held, _)| *held != query);
    }

    fn event(&mut self, f: &Fields, lists: &BTreeMap<u64, Vec<Entry>>) -> Result<(), String> {
        match f.name {
            "Sync" => {
                let news = wire::list_news(f, lists, &mut self.names)?;
                self.pending.push(Event::EndpointUpdate(news));
            }
            "Incoming" => {
                let group = f.int(7, "GroupNo")?;
                if f.number(8, "Slab")? < 0.0 {
                    let arrival = wire::arrival(f, &self.names)?;
                    self.groups.insert(group, (arrival.query, self.names.answers(arrival.class)));
                    self.pending.push(Event::QueryArrived(arrival));
                } else if let Some(&(query, _)) = self.groups.get(&group) {
                    self.pending.push(Event::PartArrived(wire::part(f, query)?));
                } else {
                    // A part must be well formed even if its query is no longer held.
                    wire::part(f, QueryId(0))?;
                }
            }
            "Ring" => {
                f.text(1, "Name")?;
                self.pending.push(Event::TimerExpired);
            }
            "Left" => {
                let query = QueryId(wire::id(f.text(1, "Job")?)?);
                self.forget_query(query);
                self.pending.push(Event::ClientDisconnected(query));
            }
            "Outcome" => self.pending.push(wire::outcome(f)?),
            "StatusBack" => {
                let server = self.names.server(f.text(1, "Node")?);
                let passed = f.text(2, "Rc")? == "pass";
                self.pending.push(Event::HealthCheckCompleted { backend: server, passed });
            }
            // Other events carry nothing that a router acts on.
            _ => {}
        }
        Ok(())
    }
}

fn run() -> Result<(), String> {
    let mut host = Host::default();
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let mut line = String::new();
    let mut number = 0_u64;
    loop {
        line.clear();
        number += 1;
        let read = input.read_line(&mut line).map_err(|e| format!("line {number}: {e}"))?;
        if read == 0 {
            break;
        }
        if line.trim().is_empty() {
            continue;
        }
        let reply = host.line(line.trim_end()).map_err(|e| format!("line {number}: {e}"))?;
        if let Some(reply) = reply {
            output.write_all(reply.as_bytes()).and_then(|()| output.flush()).map_err(|e| e.to_string())?;
        }
    }
    if host.in_batch {
        return Err(format!("line {number}: input ends inside a batch"));
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("mallowgauge-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}
