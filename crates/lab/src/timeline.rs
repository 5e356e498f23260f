//! Derives the cluster's state from the instances' logs: which peers each instance is linked to, and the membership
//! state it has for each.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::Value;

use crate::plan::PeerState;

/// A log line of an instance.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// Timestamp of the line, in UTC, as the instance wrote it.
    pub time: String,
    /// Name of the instance.
    pub process: String,
    /// Incarnation of the instance.
    pub life: String,
    /// Log level.
    pub level: String,
    /// Message, or the whole line if it is not JSON.
    pub message: String,
    /// Id of the query that the line concerns.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub query: Option<String>,
}

/// A change of a peer's membership state, as logged by an observer.
#[derive(Clone, Debug)]
pub struct ObservedState {
    /// Index of the line in [`Timeline::entries`].
    pub entry_index: usize,
    /// Unix time in microseconds.
    pub time: u64,
    /// Instance that logged the change.
    pub observer: String,
    /// Peer whose state changed.
    pub peer: String,
    /// New state of the peer.
    pub state: PeerState,
}

/// All log lines so far and the state derived from them.
#[derive(Debug, Default)]
pub struct Timeline {
    /// Lines in order of arrival.
    pub entries: Vec<Entry>,
    /// Changes of membership states, in order of arrival.
    pub observed_states: Vec<ObservedState>,
    peer_states: BTreeMap<(String, String), PeerState>,
    links: BTreeMap<(String, String), bool>,
}

/// Parses a timestamp such as `2026-12-01T22:40:54.123456Z` into microseconds of Unix time.
#[must_use]
pub fn parse_timestamp(time: &str) -> Option<u64> {
    let number = |range: std::ops::Range<usize>| time.get(range)?.parse::<u64>().ok();
    let (year, month, day) = (number(0..4)?, number(5..7)?, number(8..10)?);
    let (hour, minute, second) = (number(11..13)?, number(14..16)?, number(17..19)?);
    let fraction = time.get(20..)?.trim_end_matches('Z');
    let fraction = format!("{fraction:0<6}").get(..6)?.parse::<u64>().ok()?;
    // Days since 1970. Years start in March here, so that the leap day is the last day of a year.
    let (y, m) = if month > 2 { (year, month - 3) } else { (year - 1, month + 9) };
    let days = y * 365 + y / 4 - y / 100 + y / 400 + (m * 153 + 2) / 5 + day - 1 - 719_468;
    Some((((days * 24 + hour) * 60 + minute) * 60 + second) * 1_000_000 + fraction)
}

impl Timeline {
    /// Removes the state derived from an instance's log, as the instance starts anew.
    pub fn forget(&mut self, instance: &str) {
        self.peer_states.retain(|(observer, _), _| observer != instance);
        self.links.retain(|(observer, peer), _| observer != instance && peer != instance);
    }

    /// Adds a line and updates the derived state.
    pub fn add_line(&mut self, instance: &str, text: &str) {
        let fields: Value = serde_json::from_str(text).unwrap_or_default();
        let field = |key: &str| fields.get(key).and_then(Value::as_str).map(str::to_owned);
        let life = fields.pointer("/span/life").and_then(Value::as_str).unwrap_or_default().to_owned();
        let entry = Entry {
            time: field("timestamp").unwrap_or_default(),
            process: instance.to_owned(),
            life,
            level: field("level").unwrap_or_default(),
            message: field("message").unwrap_or_else(|| text.to_owned()),
            query: field("query"),
        };
        self.update_state(&entry);
        self.entries.push(entry);
    }

    fn update_state(&mut self, entry: &Entry) {
        let observer = || entry.process.clone();
        if let Some(rest) = entry.message.strip_prefix("connection to peer ") {
            let peer = rest.split(' ').next().unwrap_or_default();
            self.links.insert((observer(), peer.to_owned()), false);
        }
        let Some(rest) = entry.message.strip_prefix("peer ") else { return };
        let Some((peer, rest)) = rest.split_once(' ') else { return };
        if rest.starts_with("connected, ") {
            self.links.insert((observer(), peer.to_owned()), true);
        }
        let Some(rest) = rest.strip_prefix("is ") else { return };
        let states = [PeerState::Alive, PeerState::Doubted, PeerState::Gone, PeerState::Left];
        let state = states.into_iter().find(|state| rest.starts_with(&format!("{},", state.log_name())));
        if let Some(state) = state {
            self.peer_states.insert((observer(), peer.to_owned()), state);
            self.observed_states.push(ObservedState {
                entry_index: self.entries.len(),
                time: parse_timestamp(&entry.time).unwrap_or_default(),
                observer: observer(),
                peer: peer.to_owned(),
                state,
            });
        }
    }

    /// Returns the membership state that the observer last logged for the peer.
    #[must_use]
    pub fn peer_state(&self, observer: &str, peer: &str) -> Option<PeerState> {
        self.peer_states.get(&(observer.to_owned(), peer.to_owned())).copied()
    }

    /// Whether the observer's log says that it is linked to the peer.
    #[must_use]
    pub fn is_linked(&self, observer: &str, peer: &str) -> bool {
        self.links.get(&(observer.to_owned(), peer.to_owned())).copied().unwrap_or(false)
    }

    /// Returns an instance's lines that contain a text, from an index in [`Timeline::entries`] on.
    pub fn lines_containing<'a>(
        &'a self,
        since: usize,
        instance: &'a str,
        text: &'a str,
    ) -> impl Iterator<Item = &'a Entry> {
        let since = since.min(self.entries.len());
        self.entries[since..].iter().filter(move |e| e.process == instance && e.message.contains(text))
    }

    /// Returns all lines in order of their timestamps.
    #[must_use]
    pub fn sorted_by_time(&self) -> Vec<&Entry> {
        let mut all: Vec<&Entry> = self.entries.iter().collect();
        all.sort_by(|a, b| a.time.cmp(&b.time));
        all
    }
}
