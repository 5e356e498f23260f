//! Commands: a query as Flight's clients write it, the platform's body with what stands in its headers
//! beside it. Rows of a table are commands too.

use bytes::Bytes;
use mallowgauge_core::{Core, QueryRequest};
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_flight::proto::{FlightDescriptor, COMMAND};
use mallowgauge_flight::seal::fingerprint;
use mallowgauge_router::{ClassId, Micros};
use serde_json::{json, Map, Value};

use crate::front::query::{self, QueryMetadata};

/// Most endpoints that a query is split over.
const MOST_ENDPOINTS: usize = 16;

/// A command that makes sense.
#[derive(Clone, Debug)]
pub struct Command {
    fields: Map<String, Value>,
    /// The client's id for the query.
    pub id: String,
    /// Its class.
    pub class: ClassId,
}

fn bad(words: &'static str) -> Status {
    Status::new(Code::InvalidArgument, words)
}

impl Command {
    /// Reads a descriptor's command; a client that names no id is given `fresh`.
    pub fn of(descriptor: &FlightDescriptor, core: &Core, fresh: &str) -> Result<Self, Status> {
        if descriptor.r#type != COMMAND {
            return Err(bad("the descriptor holds no command"));
        }
        Self::read(&descriptor.cmd, core, fresh)
    }

    /// Reads a command's text.
    pub fn read(text: &[u8], core: &Core, fresh: &str) -> Result<Self, Status> {
        let value = serde_json::from_slice(text).map_err(|_| bad("the command is not JSON"))?;
        Self::from_value(value, core, fresh)
    }

    /// Takes a command that was read.
    pub fn from_value(value: Value, core: &Core, fresh: &str) -> Result<Self, Status> {
        let Value::Object(mut fields) = value else { return Err(bad("the command is no object")) };
        fields.entry("id").or_insert_with(|| json!(fresh));
        let id = fields.get("id").and_then(Value::as_str).filter(|id| query::is_valid_id(id));
        let id = id.ok_or_else(|| bad("id is missing or odd"))?.to_owned();
        let class = fields.get("kind").and_then(Value::as_str).and_then(|name| core.class_id(name));
        let class = class.ok_or_else(|| bad("the class is unknown"))?;
        if let Some(Value::Array(ranges)) = fields.get_mut("ranges") {
            // Shards alone have equal shares.
            let share = 1.0 / ranges.len().max(1) as f64;
            for range in ranges.iter_mut().filter(|range| range.is_u64()) {
                *range = json!({"range": range.as_u64(), "portion": share});
            }
        }
        Ok(Self { fields, id, class })
    }

    /// The command's text, with its id.
    pub fn text(&self) -> Bytes {
        Value::Object(self.fields.clone()).to_string().into()
    }

    /// A hash of what is asked, whoever asks and for however long.
    pub fn fingerprint(&self) -> u64 {
        let mut fields = self.fields.clone();
        for beside in ["id", "retry", "deadline_ms", "tag", "endpoints"] {
            fields.remove(beside);
        }
        fingerprint(Value::Object(fields).to_string().as_bytes())
    }

    /// The query, of a client that waits for so long; one that states no time waits for as long as the
    /// session or the class allows.
    pub fn ask(
        &self,
        left: Option<Micros>,
        usual: Option<Micros>,
        core: &Core,
    ) -> Result<QueryRequest, Status> {
        let own = match self.fields.get("deadline_ms") {
            None | Some(Value::Null) => None,
            Some(value) => {
                let ms = value.as_u64().filter(|&ms| ms > 0).ok_or_else(|| bad("deadline_ms is odd"))?;
                Some(ms.saturating_mul(1000))
            }
        };
        let wait = own.into_iter().chain(left).min().or(usual);
        let expires_in = wait.unwrap_or_else(|| core.deadline(self.class));
        let retry = self.fields.get("retry").and_then(Value::as_bool).unwrap_or(false);
        let metadata = QueryMetadata { id: self.id.as_str().into(), class: self.class, expires_in, retry };
        query::parse(metadata, &Value::Object(self.fields.clone()))
            .map_err(|error| Status::new(Code::InvalidArgument, error.to_string()))
    }

    /// The command split over the endpoints that it wants: each asks for some of the parts, with their
    /// shares of these. Only a query that may be repeated freely is split: its endpoints are queries of
    /// their own, and a client may come for one of them twice.
    pub fn split(&self, core: &Core) -> Result<Vec<Command>, Status> {
        let wanted = match self.fields.get("endpoints") {
            None | Some(Value::Null) => 1,
            Some(value) => value.as_u64().unwrap_or(0) as usize,
        };
        if wanted == 0 || wanted > MOST_ENDPOINTS {
            return Err(bad("endpoints is not a whole number from 1 to 16"));
        }
        let ranges = self.fields.get("ranges").and_then(Value::as_array).map_or(&[][..], Vec::as_slice);
        let wanted = wanted.min(ranges.len()).max(1);
        if wanted == 1 {
            return Ok(vec![self.clone()]);
        }
        if !core.is_idempotent(self.class) {
            return Err(bad("a query with an effect is not split over endpoints"));
        }
        let size = ranges.len().div_ceil(wanted);
        let portion = |range: &Value| range.get("portion").and_then(Value::as_f64).unwrap_or(0.0);
        let mut all = Vec::new();
        for (index, some) in ranges.chunks(size).enumerate() {
            let sum: f64 = some.iter().map(portion).sum();
            let mut some = some.to_vec();
            for range in &mut some {
                range["portion"] = json!(portion(range) / sum);
            }
            let id = format!("{}.{index}", self.id);
            if !query::is_valid_id(&id) {
                return Err(bad("the id is too long to be split"));
            }
            let mut fields = self.fields.clone();
            fields.remove("endpoints");
            fields.insert("id".to_owned(), json!(id));
            fields.insert("ranges".to_owned(), Value::Array(some));
            all.push(Command { fields, id, class: self.class });
        }
        Ok(all)
    }
}
