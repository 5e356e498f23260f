//! Commands: queries of Flight clients, as JSON with the fields of the HTTP frontend's body and headers. Each row of a
//! table on a batch stream is a command, too.

use bytes::Bytes;
use mallowgauge_core::{Core, QueryRequest};
use mallowgauge_flight::grpc::Status;
use mallowgauge_flight::proto::{FlightDescriptor, DESCRIPTOR_COMMAND};
use mallowgauge_flight::seal::fingerprint;
use mallowgauge_router::{ClassId, Micros};
use serde_json::{json, Map, Value};

use super::origin::Origin;
use super::status::invalid_argument;
use crate::front::query::{self, QueryError, QueryMetadata};

/// The default id of commands that are parsed but not submitted.
pub const UNUSED_ID: &str = "x";
/// Maximum number of endpoints that a query is split into.
const MAX_ENDPOINTS: usize = 16;
/// The field of a poll descriptor's command that holds the origin of the query.
const ORIGIN_FIELD: &str = "poll_origin";

/// A valid command.
#[derive(Clone, Debug)]
pub struct Command {
    fields: Map<String, Value>,
    /// The client's id for the query.
    pub id: String,
    /// The class of the query.
    pub class: ClassId,
    /// The origin of the query if the command comes from a poll descriptor.
    pub origin: Option<Origin>,
}

impl Command {
    /// Parses a descriptor's command. `default_id` is used if the client sets no id.
    ///
    /// # Errors
    /// `INVALID_ARGUMENT` if there is no valid command.
    pub fn from_descriptor(
        descriptor: &FlightDescriptor,
        core: &Core,
        default_id: &str,
    ) -> Result<Self, Status> {
        if descriptor.r#type != DESCRIPTOR_COMMAND {
            return Err(invalid_argument("the descriptor holds no command"));
        }
        Self::from_json(&descriptor.cmd, core, default_id)
    }

    /// Parses a command's text.
    ///
    /// # Errors
    /// As [`Command::from_descriptor`].
    pub fn from_json(text: &[u8], core: &Core, default_id: &str) -> Result<Self, Status> {
        let value = serde_json::from_slice(text).map_err(|_| invalid_argument("the command is not JSON"))?;
        Self::from_value(value, core, default_id)
    }

    /// Parses a command from a JSON value.
    ///
    /// # Errors
    /// As [`Command::from_descriptor`].
    pub fn from_value(value: Value, core: &Core, default_id: &str) -> Result<Self, Status> {
        let Value::Object(mut fields) = value else {
            return Err(invalid_argument("the command is no object"));
        };
        fields.entry("id").or_insert_with(|| json!(default_id));
        let id = fields.get("id").and_then(Value::as_str).filter(|id| query::is_valid_id(id));
        let id = id.ok_or_else(|| invalid_argument("id is missing or odd"))?.to_owned();
        let class = fields.get("kind").and_then(Value::as_str).and_then(|name| core.class_id(name));
        let class = class.ok_or_else(|| invalid_argument("the class is unknown"))?;
        if let Some(Value::Array(ranges)) = fields.get_mut("ranges") {
            // Shards that are listed as plain numbers get equal portions.
            let portion = 1.0 / ranges.len().max(1) as f64;
            for range in ranges.iter_mut().filter(|range| range.is_u64()) {
                *range = json!({"range": range.as_u64(), "portion": portion});
            }
        }
        let origin = fields.remove(ORIGIN_FIELD).as_ref().map(Origin::from_json).transpose()?;
        Ok(Self { fields, id, class, origin })
    }

    /// Returns the command's text, including its id and without its origin.
    pub fn text(&self) -> Bytes {
        Value::Object(self.fields.clone()).to_string().into()
    }

    /// Returns the descriptor with which a client polls the query, once it was submitted.
    pub fn poll_descriptor(&self, origin: Origin) -> FlightDescriptor {
        let mut fields = self.fields.clone();
        fields.insert(ORIGIN_FIELD.to_owned(), origin.to_json());
        FlightDescriptor::command(Value::Object(fields).to_string().into())
    }

    /// Returns a hash of the query without its id, retry mark, deadline, tag and endpoints.
    pub fn fingerprint(&self) -> u64 {
        let mut fields = self.fields.clone();
        for excluded in ["id", "retry", "deadline_ms", "tag", "endpoints"] {
            fields.remove(excluded);
        }
        fingerprint(Value::Object(fields).to_string().as_bytes())
    }

    /// Returns the query. Its deadline is the earlier of the command's and the call's, which is `remaining`; without
    /// either it is the session's, which is `default`, or else the deadline of its class. All in microseconds from
    /// now.
    ///
    /// # Errors
    /// The command is not a valid query.
    pub fn request(
        &self,
        remaining: Option<Micros>,
        default: Option<Micros>,
        core: &Core,
    ) -> Result<QueryRequest, Status> {
        let command_timeout = match self.fields.get("deadline_ms") {
            None | Some(Value::Null) => None,
            Some(value) => {
                let ms = value
                    .as_u64()
                    .filter(|&ms| ms > 0)
                    .ok_or_else(|| invalid_argument("deadline_ms is odd"))?;
                Some(ms.saturating_mul(1000))
            }
        };
        let timeout = command_timeout.into_iter().chain(remaining).min().or(default);
        let expires_in = timeout.unwrap_or_else(|| core.deadline(self.class));
        let retry = self.fields.get("retry").and_then(Value::as_bool).unwrap_or(false);
        let metadata = QueryMetadata { id: self.id.as_str().into(), class: self.class, expires_in, retry };
        query::parse(metadata, &Value::Object(self.fields.clone()))
            .map_err(|error| invalid_argument(error.to_string()))
    }

    /// Splits the command into as many endpoints as it requests. Each queries some of the parts, with weights scaled
    /// to a sum of 1. Only an idempotent query can be split: each endpoint is a separate query, and a client may use
    /// an endpoint twice.
    ///
    /// # Errors
    /// The number of endpoints is out of range, the query is not idempotent, its id is too long, or one of its ranges is
    /// no object.
    pub fn split(&self, core: &Core) -> Result<Vec<Command>, Status> {
        let endpoints = match self.fields.get("endpoints") {
            None | Some(Value::Null) => 1,
            Some(value) => value.as_u64().unwrap_or(0) as usize,
        };
        if endpoints == 0 || endpoints > MAX_ENDPOINTS {
            return Err(invalid_argument("endpoints is not a whole number from 1 to 16"));
        }
        let ranges = self.fields.get("ranges").and_then(Value::as_array).map_or(&[][..], Vec::as_slice);
        let endpoints = endpoints.min(ranges.len()).max(1);
        if endpoints == 1 {
            return Ok(vec![self.clone()]);
        }
        if !core.is_idempotent(self.class) {
            return Err(invalid_argument("a query with an effect is not split over endpoints"));
        }
        let size = ranges.len().div_ceil(endpoints);
        let portion = |range: &Value| range.get("portion").and_then(Value::as_f64).unwrap_or(0.0);
        let mut commands = Vec::new();
        for (index, chunk) in ranges.chunks(size).enumerate() {
            let sum: f64 = chunk.iter().map(portion).sum();
            let scaled = chunk.iter().map(|range| with_portion(range, portion(range) / sum));
            let scaled = scaled.collect::<Result<_, QueryError>>();
            let scaled = scaled.map_err(|error| invalid_argument(error.to_string()))?;
            let id = format!("{}.{index}", self.id);
            if !query::is_valid_id(&id) {
                return Err(invalid_argument("the id is too long to be split"));
            }
            let mut fields = self.fields.clone();
            fields.remove("endpoints");
            fields.insert("id".to_owned(), json!(id));
            fields.insert("ranges".to_owned(), Value::Array(scaled));
            commands.push(Command { fields, id, class: self.class, origin: self.origin });
        }
        Ok(commands)
    }
}

/// Returns a range with this weight in place of its own.
fn with_portion(range: &Value, portion: f64) -> Result<Value, QueryError> {
    let mut fields = range.as_object().cloned().ok_or(QueryError::MissingRangeNumber)?;
    fields.insert("portion".to_owned(), json!(portion));
    Ok(Value::Object(fields))
}
