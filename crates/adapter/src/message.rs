//! Parses the simulator's messages. Each is a JSON array: a name, followed by fields by position.

use mallowgauge_router::{EndpointState, Event, Micros, PartArrival, PartId, QueryArrival, QueryId, ShardId};
use mallowgauge_settings::parse_u32;
use serde_json::Value;

use crate::directory::Directory;
use crate::error::WireError;
use crate::names::{self, endpoint, fields, Field};
use crate::request_id;

/// A message from the simulator.
pub struct Message<'a> {
    /// Its name.
    pub name: &'a str,
    values: &'a [Value],
}

impl<'a> Message<'a> {
    /// Creates a message from a parsed line.
    pub fn new(value: &'a Value) -> Result<Self, WireError> {
        let Some(all) = value.as_array() else { return Err(WireError::NotAnArray) };
        let Some(name) = all.first().and_then(Value::as_str) else { return Err(WireError::NoMessageName) };
        Ok(Self { name, values: &all[1..] })
    }

    /// Returns the value of a field.
    pub fn get(&self, field: Field) -> Result<&'a Value, WireError> {
        self.values.get(field.position).ok_or_else(|| {
            let (message, field) = (self.name.to_owned(), field.name);
            WireError::MissingField { message, field }
        })
    }

    /// Returns the value of a field that is a non-negative whole number.
    pub fn int(&self, field: Field) -> Result<u64, WireError> {
        self.get(field)?.as_u64().ok_or_else(|| self.invalid(field, "a whole number"))
    }

    /// Returns the value of a field that is any number.
    pub fn number(&self, field: Field) -> Result<f64, WireError> {
        self.get(field)?.as_f64().ok_or_else(|| self.invalid(field, "a number"))
    }

    /// Returns the value of a field that is a string.
    pub fn text(&self, field: Field) -> Result<&'a str, WireError> {
        self.get(field)?.as_str().ok_or_else(|| self.invalid(field, "a text"))
    }

    /// Returns the value of a field that is a whole number below 2^32.
    fn small_int(&self, field: Field) -> Result<u32, WireError> {
        parse_u32(self.get(field)?).ok_or_else(|| self.invalid(field, "a whole number"))
    }

    /// Returns the id of the query or part that the message refers to.
    pub fn id(&self) -> Result<u128, WireError> {
        request_id::parse(self.text(fields::ID)?)
    }

    fn invalid(&self, field: Field, expected: &'static str) -> WireError {
        WireError::InvalidField { message: self.name.to_owned(), field: field.name, expected }
    }

    /// Parses the arrival of a query.
    pub fn query_arrival(&self, directory: &Directory) -> Result<QueryArrival, WireError> {
        let class = directory.class(self.text(fields::CLASS)?)?;
        self.number(fields::SIZE_OR_WEIGHT)?;
        Ok(QueryArrival {
            query: QueryId(self.id()?),
            class,
            expires_in: self.expires_in()?,
            work_hint: self.get(fields::WORK_HINT).ok().and_then(Value::as_u64),
            retry: self.int(fields::ARRIVAL_FLAGS)? & names::RETRY_FLAG != 0,
            planned: false,
        })
    }

    /// Returns the time left to a query. A negative value is valid: the query has already expired.
    fn expires_in(&self) -> Result<Micros, WireError> {
        self.int(fields::EXPIRES_IN).or_else(|_| self.number(fields::EXPIRES_IN).map(|_| 0))
    }

    /// Parses the arrival of a part of a query.
    pub fn part_arrival(&self, query: QueryId) -> Result<PartArrival, WireError> {
        let shard = ShardId(self.small_int(fields::SHARD)?);
        let part = PartId(self.id()?);
        Ok(PartArrival {
            query,
            part,
            shard,
            weight: self.number(fields::SIZE_OR_WEIGHT)?,
            idempotent: false,
        })
    }

    /// Parses the end of an attempt.
    pub fn attempt_completed(&self) -> Result<Event, WireError> {
        let name = self.text(fields::ATTEMPT_OUTCOME)?;
        let outcome = names::outcome(name).ok_or_else(|| WireError::UnknownOutcome(name.to_owned()))?;
        Ok(Event::AttemptCompleted {
            part: PartId(self.id()?),
            attempt: self.small_int(fields::ATTEMPT)?,
            outcome,
            latency: self.int(fields::LATENCY)?,
        })
    }

    /// Parses the entries of an endpoint list.
    pub fn endpoint_list(&self) -> Result<Vec<ListedEndpoint>, WireError> {
        let entries = self.get(fields::LIST_ENTRIES)?.as_array();
        let entries = entries.ok_or_else(|| self.invalid(fields::LIST_ENTRIES, "an array"))?;
        entries.iter().map(|entry| self.endpoint(entry)).collect()
    }

    fn endpoint(&self, entry: &Value) -> Result<ListedEndpoint, WireError> {
        let invalid = |field: &'static str, expected: &'static str| WireError::InvalidField {
            message: self.name.to_owned(),
            field,
            expected,
        };
        let entry = entry.as_array().ok_or_else(|| invalid("an entry", "an array"))?;
        let get = |field: Field| entry.get(field.position).unwrap_or(&Value::Null);
        let state = get(endpoint::STATE).as_str().and_then(names::endpoint_state);
        let state = state.ok_or(WireError::UnknownEndpointState)?;
        let ring_position = match (get(endpoint::RING_POSITION), state) {
            (Value::Null, EndpointState::Removed) => 0,
            (position, _) => parse_u32(position)
                .ok_or_else(|| invalid(endpoint::RING_POSITION.name, "a small whole number"))?,
        };
        let started_at = match get(endpoint::STARTED_AT) {
            Value::Null => None,
            at => Some(at.as_u64().ok_or_else(|| invalid(endpoint::STARTED_AT.name, "a whole number"))?),
        };
        let backend = get(endpoint::BACKEND).as_str();
        Ok(ListedEndpoint {
            backend: backend.ok_or_else(|| invalid(endpoint::BACKEND.name, "a text"))?.to_owned(),
            zone: get(endpoint::ZONE).as_str().map(str::to_owned),
            ring_position,
            state,
            started_at: started_at.filter(|&at| at > 0),
        })
    }
}

/// One entry of an endpoint list, with names instead of ids.
pub struct ListedEndpoint {
    /// The backend's name.
    pub backend: String,
    /// The zone's name.
    pub zone: Option<String>,
    /// Its ring position.
    pub ring_position: u32,
    /// Its state.
    pub state: EndpointState,
    /// Time of its last start, in microseconds; `None` if that was long ago.
    pub started_at: Option<Micros>,
}
