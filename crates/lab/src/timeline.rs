//! Decides what the processes' logs say of the fleet: lines in, views out.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::Value;

use crate::plan::Held;

/// A line of a process's log.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// When it was written, as the process says: Unix time in text.
    pub time: String,
    /// Who wrote it.
    pub process: String,
    /// Which life of it.
    pub life: String,
    /// How grave it is.
    pub level: String,
    /// Its words.
    pub message: String,
    /// The query that it is about, where it names one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub query: Option<String>,
}

/// What somebody's log said of a member.
#[derive(Clone, Debug)]
pub struct Sighting {
    /// Which line of all it was.
    pub at: usize,
    /// When, in microseconds of Unix time.
    pub time: u64,
    /// Who says it.
    pub by: String,
    /// Of whom.
    pub of: String,
    /// What.
    pub held: Held,
}

/// All lines so far, and what they amount to.
#[derive(Debug, Default)]
pub struct Timeline {
    /// The lines, as they came.
    pub entries: Vec<Entry>,
    /// Each change of what somebody holds of another.
    pub sightings: Vec<Sighting>,
    held: BTreeMap<(String, String), Held>,
    linked: BTreeMap<(String, String), bool>,
}

/// Microseconds of Unix time of `2026-12-01T22:40:54.123456Z`.
#[must_use]
pub fn micros(time: &str) -> Option<u64> {
    let number = |range: std::ops::Range<usize>| time.get(range)?.parse::<u64>().ok();
    let (year, month, day) = (number(0..4)?, number(5..7)?, number(8..10)?);
    let (hour, minute, second) = (number(11..13)?, number(14..16)?, number(17..19)?);
    let fraction = time.get(20..)?.trim_end_matches('Z');
    let fraction = format!("{fraction:0<6}").get(..6)?.parse::<u64>().ok()?;
    // Days since 1970, counted in years that begin in March.
    let (y, m) = if month > 2 { (year, month - 3) } else { (year - 1, month + 9) };
    let days = y * 365 + y / 4 - y / 100 + y / 400 + (m * 153 + 2) / 5 + day - 1 - 719_468;
    Some((((days * 24 + hour) * 60 + minute) * 60 + second) * 1_000_000 + fraction)
}

impl Timeline {
    /// A process started, or ended: what it held of others is over.
    pub fn forget(&mut self, process: &str) {
        self.held.retain(|(by, _), _| by != process);
        self.linked.retain(|(by, of), _| by != process && of != process);
    }

    /// Takes a line in.
    pub fn line(&mut self, process: &str, text: &str) {
        let fields: Value = serde_json::from_str(text).unwrap_or_default();
        let field = |key: &str| fields.get(key).and_then(Value::as_str).map(str::to_owned);
        let life = fields.pointer("/span/life").and_then(Value::as_str).unwrap_or_default().to_owned();
        let entry = Entry {
            time: field("timestamp").unwrap_or_default(),
            process: process.to_owned(),
            life,
            level: field("level").unwrap_or_default(),
            message: field("message").unwrap_or_else(|| text.to_owned()),
            query: field("query"),
        };
        self.read(&entry);
        self.entries.push(entry);
    }

    fn read(&mut self, entry: &Entry) {
        let by = || entry.process.clone();
        if let Some(rest) = entry.message.strip_prefix("connection to peer ") {
            let of = rest.split(' ').next().unwrap_or_default();
            self.linked.insert((by(), of.to_owned()), false);
        }
        let Some(rest) = entry.message.strip_prefix("peer ") else { return };
        let Some((of, rest)) = rest.split_once(' ') else { return };
        if rest.starts_with("connected, ") {
            self.linked.insert((by(), of.to_owned()), true);
        }
        let Some(rest) = rest.strip_prefix("is ") else { return };
        let all = [Held::Alive, Held::Doubted, Held::Gone, Held::Left];
        let held = all.into_iter().find(|held| rest.starts_with(&format!("{},", held.word())));
        if let Some(held) = held {
            self.held.insert((by(), of.to_owned()), held);
            let (at, time) = (self.entries.len(), micros(&entry.time).unwrap_or_default());
            self.sightings.push(Sighting { at, time, by: by(), of: of.to_owned(), held });
        }
    }

    /// What one holds of another now.
    #[must_use]
    pub fn held(&self, by: &str, of: &str) -> Option<Held> {
        self.held.get(&(by.to_owned(), of.to_owned())).copied()
    }

    /// Whether one says that it is linked to the other.
    #[must_use]
    pub fn linked(&self, by: &str, of: &str) -> bool {
        self.linked.get(&(by.to_owned(), of.to_owned())).copied().unwrap_or(false)
    }

    /// Lines since the mark that hold such a text.
    pub fn lines<'a>(&'a self, since: usize, by: &'a str, text: &'a str) -> impl Iterator<Item = &'a Entry> {
        let since = since.min(self.entries.len());
        self.entries[since..].iter().filter(move |e| e.process == by && e.message.contains(text))
    }

    /// All lines by the time at which they were written.
    #[must_use]
    pub fn merged(&self) -> Vec<&Entry> {
        let mut all: Vec<&Entry> = self.entries.iter().collect();
        all.sort_by(|a, b| a.time.cmp(&b.time));
        all
    }
}
