//! Reads and writes single lines of the wire.

use std::collections::BTreeMap;
use std::fmt::Write;

use mallowgauge_router::{
    Action, BackendId, ClassId, Endpoint, EndpointState, EndpointUpdate, Event, Micros, Outcome, PartArrival,
    PartId, QueryArrival, QueryId, Settings, ShardId,
};
use mallowgauge_settings::{small, zone, Site};
use serde_json::Value;

/// Bit of `Marks` that says that a client repeats.
const RETRY_BIT: u64 = 2;

/// The values of one message, by position after its name.
pub struct Fields<'a> {
    pub name: &'a str,
    values: &'a [Value],
}

impl<'a> Fields<'a> {
    pub fn new(value: &'a Value) -> Result<Self, String> {
        let all = value.as_array().ok_or("not an array")?;
        let name = all.first().and_then(Value::as_str).ok_or("no message name")?;
        Ok(Self { name, values: &all[1..] })
    }

    pub fn get(&self, at: usize, what: &str) -> Result<&'a Value, String> {
        self.values.get(at).ok_or_else(|| format!("{}: {what} is missing", self.name))
    }

    pub fn int(&self, at: usize, what: &str) -> Result<u64, String> {
        self.get(at, what)?.as_u64().ok_or_else(|| format!("{}: {what} is not a whole number", self.name))
    }

    pub fn number(&self, at: usize, what: &str) -> Result<f64, String> {
        self.get(at, what)?.as_f64().ok_or_else(|| format!("{}: {what} is not a number", self.name))
    }

    pub fn text(&self, at: usize, what: &str) -> Result<&'a str, String> {
        self.get(at, what)?.as_str().ok_or_else(|| format!("{}: {what} is not a text", self.name))
    }
}

/// Names that one instance has been told, with the ids its router knows them by.
pub struct Names {
    classes: BTreeMap<String, usize>,
    /// Final and first-step answers that a query of each class is given.
    answers: Vec<u32>,
    ids: BTreeMap<String, BackendId>,
    servers: Vec<String>,
    zones: Vec<String>,
}

impl Names {
    pub fn answers(&self, class: ClassId) -> u32 {
        self.answers[class.0]
    }

    pub fn server(&mut self, name: &str) -> BackendId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let id = BackendId(u32::try_from(self.servers.len()).unwrap_or(u32::MAX));
        self.ids.insert(name.to_owned(), id);
        self.servers.push(name.to_owned());
        id
    }
}

/// One entry of a numbered list, not yet any instance's.
pub struct Entry {
    name: String,
    zone: Option<String>,
    cell: u32,
    phase: EndpointState,
    started: Option<Micros>,
}

pub fn entries(records: &Value) -> Result<Vec<Entry>, String> {
    let records = records.as_array().ok_or("Register: Records is not an array")?;
    records
        .iter()
        .map(|record| {
            let record = record.as_array().ok_or("Register: an entry is not an array")?;
            let at = |i: usize| record.get(i).unwrap_or(&Value::Null);
            let phase = match at(4).as_str() {
                Some("ready") => EndpointState::Ready,
                Some("draining") => EndpointState::Draining,
                Some("gone") => EndpointState::Removed,
                _ => return Err("Register: EndpointState is none of ready, draining, gone".to_owned()),
            };
            let cell = match (at(3), phase) {
                (Value::Null, EndpointState::Removed) => 0,
                (cell, _) => small(cell).ok_or("Register: SlotNo is not a small whole number")?,
            };
            let started = match at(6) {
                Value::Null => None,
                value => Some(value.as_u64().ok_or("Register: LastStartUs is not a whole number")?),
            };
            Ok(Entry {
                name: at(0).as_str().ok_or("Register: Node is not a text")?.to_owned(),
                zone: at(1).as_str().map(str::to_owned),
                cell,
                phase,
                started: started.filter(|&t| t > 0),
            })
        })
        .collect()
}

pub fn list_news(
    f: &Fields,
    lists: &BTreeMap<u64, Vec<Entry>>,
    names: &mut Names,
) -> Result<EndpointUpdate, String> {
    let mode = f.text(1, "Mode")?;
    if mode == "Error" {
        return Ok(EndpointUpdate::Failed);
    }
    let slot = f.int(3, "Slot")?;
    let list = lists.get(&slot).ok_or_else(|| format!("Sync: no list {slot}"))?;
    let entries = list
        .iter()
        .map(|e| Endpoint {
            backend: names.server(&e.name),
            ring_position: e.cell,
            state: e.phase,
            started_at: e.started,
            zone: e.zone.as_ref().and_then(|name| zone(&names.zones, name)),
        })
        .collect();
    match mode {
        "Partial" => Ok(EndpointUpdate::Delta(entries)),
        "Complete" => Ok(EndpointUpdate::Snapshot(entries)),
        "Persisted" => Ok(EndpointUpdate::CachedSnapshot(entries)),
        _ => Err(format!("Sync: Mode {mode} is unknown")),
    }
}

/// Reads a request id; only the canonical form is taken, so that it goes back untouched.
pub fn id(text: &str) -> Result<u128, String> {
    let hex: String = text.split('-').collect();
    let id = u128::from_str_radix(&hex, 16).map_err(|_| format!("Job {text} is not a request id"))?;
    if id_text(id) == text {
        Ok(id)
    } else {
        Err(format!("Job {text} is not a request id in its canonical form"))
    }
}

fn id_text(id: u128) -> String {
    let hex = format!("{id:032x}");
    format!("{}-{}-{}-{}-{}", &hex[..8], &hex[8..12], &hex[12..16], &hex[16..20], &hex[20..])
}

pub fn arrival(f: &Fields, names: &Names) -> Result<QueryArrival, String> {
    let class = f.text(2, "Cls")?;
    let class = names.classes.get(class).ok_or_else(|| format!("Incoming: class {class} is unknown"))?;
    f.number(9, "SizeOrWeight")?;
    Ok(QueryArrival {
        query: QueryId(id(f.text(1, "Job")?)?),
        class: ClassId(*class),
        expires_in: f.int(5, "ExpiresInUs").or_else(|_| expired(f))?,
        work_hint: f.get(6, "HintUs").ok().and_then(Value::as_u64),
        retry: f.int(10, "Marks")? & RETRY_BIT != 0,
        planned: false,
    })
}

/// A negative time left is legal and means that the query is already over.
fn expired(f: &Fields) -> Result<u64, String> {
    f.number(5, "ExpiresInUs").map(|_| 0)
}

pub fn part(f: &Fields, query: QueryId) -> Result<PartArrival, String> {
    let shard = small(f.get(8, "Slab")?).ok_or("Incoming: Slab is not a whole number")?;
    Ok(PartArrival {
        query,
        part: PartId(id(f.text(1, "Job")?)?),
        shard: ShardId(shard),
        weight: f.number(9, "SizeOrWeight")?,
        idempotent: false,
    })
}

pub fn outcome(f: &Fields) -> Result<Event, String> {
    let outcome = match f.text(4, "Rc")? {
        "pass" => Outcome::Succeeded,
        "fault" => Outcome::BackendError,
        "no_room" => Outcome::Rejected,
        "too_slow" => Outcome::TimedOut,
        "no_route" => Outcome::ConnectFailed,
        "cut" => Outcome::ConnectionLost,
        "undone" => Outcome::Cancelled,
        "stale_send" => Outcome::NotSent,
        other => return Err(format!("Outcome: Rc {other} is unknown")),
    };
    Ok(Event::AttemptCompleted {
        part: PartId(id(f.text(1, "Job")?)?),
        attempt: small(f.get(2, "Copy")?).ok_or("Outcome: Copy is not a whole number")?,
        outcome,
        took: f.int(5, "LatencyUs")?,
    })
}

/// The settings of an instance, and the names that go with them.
pub fn settings(env: &Value) -> Result<(Settings, Names), String> {
    let site = Site::read(env).map_err(|e| format!("Begin: Env{e}"))?;
    let answers = site.settings.classes.iter().map(|c| if c.second_step_parts > 0 { 2 } else { 1 }).collect();
    let classes = site.classes.into_iter().enumerate().map(|(i, name)| (name, i)).collect();
    let names = Names { classes, answers, ids: BTreeMap::new(), servers: Vec::new(), zones: site.zones };
    Ok((site.settings, names))
}

pub fn write(out: &mut String, router: u64, action: &Action, names: &Names) {
    let node = |id: &BackendId| Value::from(names.servers[id.0 as usize].as_str());
    let done = match action {
        Action::Send { part, backend: server, timeout, .. } => {
            writeln!(out, "[\"SubmitTo\",{router},\"{}\",{timeout},{}]", id_text(part.0), node(server))
        }
        Action::Cancel { part, attempt } => {
            writeln!(out, "[\"StopAttempt\",{router},\"{}\",{attempt}]", id_text(part.0))
        }
        Action::Respond { query, complete: whole } => {
            writeln!(out, "[\"GatherUp\",{router},\"{}\",{whole}]", id_text(query.0))
        }
        Action::Reject { query, retry_after } => {
            writeln!(out, "[\"Decline\",{router},\"{}\",{retry_after}]", id_text(query.0))
        }
        Action::Fail { query } => writeln!(out, "[\"Fail\",{router},\"{}\"]", id_text(query.0)),
        // Only of planned queries, which this wire does not have.
        Action::PartFailed { .. } => Ok(()),
        Action::SetTimer(after) => writeln!(out, "[\"Sleep\",{router},{after},\"wake\"]"),
        Action::WatchEndpoints => writeln!(out, "[\"Subscribe\",{router},true]"),
        Action::HealthCheck(server) => writeln!(out, "[\"Test\",{router},{}]", node(server)),
        Action::BackendEjected(server) => {
            writeln!(out, "[\"Record\",{router},\"server {} suspect\"]", server.0)
        }
        Action::BackendRecovered(server) => {
            writeln!(out, "[\"Record\",{router},\"server {} sound again\"]", server.0)
        }
    };
    debug_assert!(done.is_ok(), "writing to a string cannot fail");
}
