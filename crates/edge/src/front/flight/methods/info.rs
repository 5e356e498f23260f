//! `GetFlightInfo`, `GetSchema` and `ListFlights`: the available queries, and the schemas of their responses.

use bytes::Bytes;
use mallowgauge_core::{Core, QueryResponse, Value as QueryValue};
use mallowgauge_flight::answer::{self, Stream};
use mallowgauge_flight::grpc::{Code, Status};
use mallowgauge_flight::proto::{
    Criteria, FlightDescriptor, FlightEndpoint, FlightInfo, SchemaResult, DESCRIPTOR_PATH,
};
use mallowgauge_router::{ClassId, Micros, ShardId};
use serde_json::{json, Map, Value};

use super::{decode, decode_descriptor};
use crate::front::flight::auth::Identity;
use crate::front::flight::call::Call;
use crate::front::flight::command::{Command, UNUSED_ID};
use crate::front::flight::service::FlightService;
use crate::front::flight::status::invalid_argument;

/// Maximum number of shared queries in one list.
const MAX_LISTED_QUERIES: usize = 1000;

/// `total_records` and `total_bytes` if they are unknown.
pub const UNKNOWN_TOTAL: i64 = -1;

/// Returns the schema of a response's values, in the encoding of `FlightInfo`.
pub fn schema_of_values(values: &[(ShardId, QueryValue)]) -> Option<Bytes> {
    Stream::schema(values).ok().and_then(|schema| answer::schema_message(&schema).ok())
}

impl Call {
    /// `GetFlightInfo`: sends the endpoints and the schema of a query.
    ///
    /// # Errors
    /// The query is invalid, or may have been executed by another process: it is rejected here, and not only when its
    /// ticket is used.
    pub fn get_flight_info(
        &mut self,
        now: Micros,
        message: &Bytes,
        service: &mut FlightService,
        core: &Core,
    ) -> Result<(), Status> {
        let descriptor = decode_descriptor(message)?;
        let command = Command::from_descriptor(&descriptor, core, &service.generate_query_id())?;
        let info = service.flight_info(now, descriptor, &command, &self.head.identity, core)?;
        self.reply(now, &info);
        Ok(())
    }

    /// `GetSchema`: sends the schema of the responses to a query or to a class of queries.
    ///
    /// # Errors
    /// The class does not exist, or no backend has responded to a query of it yet.
    pub fn get_schema(
        &mut self,
        now: Micros,
        message: &Bytes,
        service: &FlightService,
        core: &Core,
    ) -> Result<(), Status> {
        let descriptor = decode_descriptor(message)?;
        let class = match descriptor.r#type {
            DESCRIPTOR_PATH => descriptor.path.first().and_then(|name| core.class_id(name)),
            _ => Some(Command::from_descriptor(&descriptor, core, UNUSED_ID)?.class),
        };
        let class = class.ok_or_else(|| invalid_argument("the class is unknown"))?;
        let schema = service.schema(class).ok_or_else(|| {
            Status::new(Code::NotFound, "no host has shown its columns yet").with_reason("SCHEMA_UNKNOWN")
        })?;
        self.reply(now, &SchemaResult { schema });
        Ok(())
    }

    /// `ListFlights`: sends the query classes, and the caller's shared queries.
    ///
    /// # Errors
    /// The criteria are malformed.
    pub fn list_flights(
        &mut self,
        now: Micros,
        message: &Bytes,
        service: &FlightService,
        core: &Core,
    ) -> Result<(), Status> {
        let criteria: Criteria = decode(message, "these are no criteria")?;
        for info in service.matching_flights(&criteria.expression, &self.head.identity, core)? {
            self.queue_message(now, &info);
        }
        self.finish_ok();
        Ok(())
    }
}

impl FlightService {
    /// Returns the schema of a class's responses; `None` if it is unknown.
    pub fn schema(&self, class: ClassId) -> Option<Bytes> {
        let learned = self.known_schemas.get(class.0).and_then(Option::as_ref);
        learned.cloned().or_else(|| if self.custom_columns { None } else { self.text_schema.clone() })
    }

    /// Updates the schema of a class from a response to one of its queries.
    pub fn learn_schema(&mut self, class: ClassId, response: &QueryResponse) {
        let QueryResponse::Completed { values, .. } = response else { return };
        let Some(known) = self.known_schemas.get_mut(class.0) else { return };
        // Comparing encoded schemas avoids decoding: nearly every response has the same schema as the previous one.
        let first = values.iter().find_map(|(_, value)| match value {
            QueryValue::Table(table) => Some(&table.schema),
            QueryValue::Text(_) => None,
        });
        let same = match (&self.source_schemas.get(class.0), first) {
            (Some(Some(seen)), Some(header)) => seen == header,
            (_, None) => known.is_some() && self.source_schemas.get(class.0).is_some_and(Option::is_none),
            _ => false,
        };
        if same || values.is_empty() {
            return;
        }
        *known = schema_of_values(values);
        if let Some(seen) = self.source_schemas.get_mut(class.0) {
            *seen = first.cloned();
        }
    }

    fn flight_info(
        &mut self,
        now: Micros,
        descriptor: FlightDescriptor,
        command: &Command,
        identity: &Identity,
        core: &Core,
    ) -> Result<FlightInfo, Status> {
        self.check_issuer(command, command.origin, core)?;
        let commands = command.split(core)?;
        let created_at = command.origin.map_or(now, |origin| origin.created_at);
        commands.iter().try_for_each(|command| command.request(Some(1), None, core).map(|_| ()))?;
        let endpoint: Vec<FlightEndpoint> = commands
            .iter()
            .map(|command| self.issue_endpoint(now, command, &identity.user, created_at, false))
            .collect();
        Ok(FlightInfo {
            schema: self.schema(command.class).unwrap_or_default(),
            flight_descriptor: Some(descriptor),
            ordered: endpoint.len() > 1,
            endpoint,
            total_records: UNKNOWN_TOTAL,
            total_bytes: UNKNOWN_TOTAL,
            app_metadata: json!({"id": command.id}).to_string().into(),
        })
    }

    /// Returns the query classes and the caller's shared queries that match the criteria.
    fn matching_flights(
        &self,
        expression: &[u8],
        identity: &Identity,
        core: &Core,
    ) -> Result<Vec<FlightInfo>, Status> {
        let criteria = ListCriteria::parse(expression)?;
        let mut flights = Vec::new();
        for (index, name) in core.classes().enumerate() {
            if criteria.matches("kind", name) && criteria.matches("state", "class") {
                flights.push(self.class_info(ClassId(index), name, core));
            }
        }
        for (key, state) in self.polled_queries.list(&identity.user).take(MAX_LISTED_QUERIES) {
            if criteria.matches("state", state) && !criteria.has("kind") {
                flights.push(shared_query_info(&key.id, state));
            }
        }
        Ok(flights)
    }

    fn class_info(&self, class: ClassId, name: &str, core: &Core) -> FlightInfo {
        let metadata = json!({"kind": name, "state": "class", "harmless": core.is_idempotent(class),
                              "deadline_ms": core.deadline(class) / 1000});
        FlightInfo {
            schema: self.schema(class).unwrap_or_default(),
            ..listed_info(vec![name.to_owned()], &metadata)
        }
    }
}

fn shared_query_info(id: &str, state: &str) -> FlightInfo {
    listed_info(vec!["flights".to_owned(), id.to_owned()], &json!({"id": id, "state": state}))
}

fn listed_info(path: Vec<String>, metadata: &Value) -> FlightInfo {
    FlightInfo {
        flight_descriptor: Some(FlightDescriptor { r#type: DESCRIPTOR_PATH, cmd: Bytes::new(), path }),
        total_records: UNKNOWN_TOTAL,
        total_bytes: UNKNOWN_TOTAL,
        app_metadata: metadata.to_string().into(),
        ..FlightInfo::default()
    }
}

/// A filter for flights: a JSON object with `kind` and `state`, both optional.
struct ListCriteria(Map<String, Value>);

impl ListCriteria {
    fn parse(expression: &[u8]) -> Result<Self, Status> {
        if expression.is_empty() {
            return Ok(Self(Map::new()));
        }
        let criteria: Value =
            serde_json::from_slice(expression).map_err(|_| invalid_argument("the criteria are not JSON"))?;
        let Value::Object(fields) = criteria else {
            return Err(invalid_argument("the criteria are no object"));
        };
        if fields.keys().any(|key| key != "kind" && key != "state") {
            return Err(invalid_argument("criteria are kind and state"));
        }
        Ok(Self(fields))
    }

    fn has(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }

    fn matches(&self, name: &str, value: &str) -> bool {
        self.0.get(name).is_none_or(|wanted| wanted == value)
    }
}
