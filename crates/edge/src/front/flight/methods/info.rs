//! `GetFlightInfo`, `GetSchema` and `ListFlights`: what can be asked, and with which columns it is answered.

use bytes::Bytes;
use mallowgauge_core::{Core, QueryResponse};
use mallowgauge_flight::answer::{self, Stream};
use mallowgauge_flight::grpc::Status;
use mallowgauge_flight::proto::{FlightDescriptor, FlightEndpoint, FlightInfo, PATH};
use mallowgauge_router::{ClassId, Micros};
use serde_json::{json, Value};

use crate::front::flight::auth::Identity;
use crate::front::flight::command::Command;
use crate::front::flight::service::FlightService;
use crate::front::flight::status::invalid_argument;

/// Most flights that are listed.
pub const MAX_LISTED_QUERIES: usize = 1000;

/// The columns of an answer as `FlightInfo` carries them.
pub fn schema_of_values(values: &[(mallowgauge_router::ShardId, mallowgauge_core::Value)]) -> Option<Bytes> {
    Stream::columns(values).ok().and_then(|schema| answer::schema_message(&schema).ok())
}

impl FlightService {
    /// The schema of a class's answers, as far as it is known.
    pub fn schema(&self, class: ClassId) -> Option<Bytes> {
        let learned = self.known_schemas.get(class.0).and_then(Option::as_ref);
        learned.cloned().or_else(|| if self.custom_columns { None } else { self.text_schema.clone() })
    }

    /// An answer has shown what a class's columns are.
    pub fn learn_schema(&mut self, class: ClassId, answer: &QueryResponse) {
        let QueryResponse::Completed { values, .. } = answer else { return };
        let Some(slot) = self.known_schemas.get_mut(class.0) else { return };
        // The schema as it lies was seen before in nearly every case.
        let first = values.iter().find_map(|(_, value)| match value {
            mallowgauge_core::Value::Table(table) => Some(&table.schema),
            mallowgauge_core::Value::Text(_) => None,
        });
        let same = match (&self.seen_headers.get(class.0), first) {
            (Some(Some(seen)), Some(header)) => seen == header,
            (_, None) => slot.is_some() && self.seen_headers.get(class.0).is_some_and(Option::is_none),
            _ => false,
        };
        if same || values.is_empty() {
            return;
        }
        *slot = schema_of_values(values);
        if let Some(seen) = self.seen_headers.get_mut(class.0) {
            *seen = first.cloned();
        }
    }

    pub fn flight_info(
        &mut self,
        now: Micros,
        descriptor: FlightDescriptor,
        command: &Command,
        identity: &Identity,
        core: &Core,
    ) -> Result<FlightInfo, Status> {
        // What cannot be asked is told now and not when the ticket is used.
        let commands = command.split(core)?;
        commands.iter().try_for_each(|command| command.request(Some(1), None, core).map(|_| ()))?;
        let endpoint =
            commands.iter().map(|command| self.issue_endpoint(now, command, &identity.user, now, false));
        let endpoint: Vec<FlightEndpoint> = endpoint.collect();
        Ok(FlightInfo {
            schema: self.schema(command.class).unwrap_or_default(),
            flight_descriptor: Some(descriptor),
            ordered: endpoint.len() > 1,
            endpoint,
            total_records: -1,
            total_bytes: -1,
            app_metadata: json!({"id": command.id}).to_string().into(),
        })
    }

    /// The classes that can be asked, and the caller's flights.
    pub fn list_flights(
        &self,
        expression: &[u8],
        identity: &Identity,
        core: &Core,
    ) -> Result<Vec<FlightInfo>, Status> {
        let criteria: Value = match expression {
            b"" => json!({}),
            text => {
                serde_json::from_slice(text).map_err(|_| invalid_argument("the criteria are not JSON"))?
            }
        };
        let fields = criteria.as_object().ok_or_else(|| invalid_argument("the criteria are no object"))?;
        if fields.keys().any(|key| key != "kind" && key != "state") {
            return Err(invalid_argument("criteria are kind and state"));
        }
        let matches_filter = |name: &str, value: &str| fields.get(name).is_none_or(|wish| wish == value);
        let mut all = Vec::new();
        for (index, name) in core.classes().enumerate() {
            if matches_filter("kind", name) && matches_filter("state", "class") {
                let class = ClassId(index);
                let told = json!({"kind": name, "state": "class", "harmless": core.is_idempotent(class),
                                  "deadline_ms": core.deadline(class) / 1000});
                let descriptor =
                    FlightDescriptor { r#type: PATH, cmd: Bytes::new(), path: vec![name.to_owned()] };
                all.push(FlightInfo {
                    schema: self.schema(class).unwrap_or_default(),
                    flight_descriptor: Some(descriptor),
                    total_records: -1,
                    total_bytes: -1,
                    app_metadata: told.to_string().into(),
                    ..FlightInfo::default()
                });
            }
        }
        for (key, state) in self.polled_queries.list(&identity.user).take(MAX_LISTED_QUERIES) {
            if matches_filter("state", state) && !fields.contains_key("kind") {
                let path = vec!["flights".to_owned(), key.id.to_string()];
                let descriptor = FlightDescriptor { r#type: PATH, cmd: Bytes::new(), path };
                all.push(FlightInfo {
                    flight_descriptor: Some(descriptor),
                    total_records: -1,
                    total_bytes: -1,
                    app_metadata: json!({"id": *key.id, "state": state}).to_string().into(),
                    ..FlightInfo::default()
                });
            }
        }
        Ok(all)
    }
}
