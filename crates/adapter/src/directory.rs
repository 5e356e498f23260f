//! The names that one instance has been told, with the ids that its router knows them by.

use std::collections::BTreeMap;

use mallowgauge_router::{BackendId, ClassId, Endpoint, Settings};
use mallowgauge_settings::{find_zone, Site};
use serde_json::Value;

use crate::error::WireError;
use crate::message::ListedEndpoint;

/// Names and ids of classes, backends and zones.
pub struct Directory {
    classes: BTreeMap<String, ClassId>,
    /// First-step and final answers that a query of each class is given.
    answers: Vec<u32>,
    backend_ids: BTreeMap<String, BackendId>,
    backend_names: Vec<String>,
    zones: Vec<String>,
}

impl Directory {
    /// Reads the settings of an instance, and the names that go with them.
    pub fn read(env: &Value) -> Result<(Settings, Self), WireError> {
        let site = Site::read(env).map_err(|e| WireError::UnreadableSettings(e.to_string()))?;
        let classes = site.classes.into_iter().enumerate().map(|(i, name)| (name, ClassId(i))).collect();
        let has_second_step = site.settings.classes.iter().map(|class| class.second_step_parts > 0);
        let directory = Self {
            classes,
            answers: has_second_step.map(|second| if second { 2 } else { 1 }).collect(),
            backend_ids: BTreeMap::new(),
            backend_names: Vec::new(),
            zones: site.zones,
        };
        Ok((site.settings, directory))
    }

    /// The class of that name.
    pub fn class(&self, name: &str) -> Result<ClassId, WireError> {
        self.classes.get(name).copied().ok_or_else(|| WireError::UnknownClass(name.to_owned()))
    }

    /// How many answers a query of a class is given.
    pub fn answers(&self, class: ClassId) -> u32 {
        self.answers[class.0]
    }

    /// The id of the backend of that name, a new one for a new name.
    pub fn backend_id(&mut self, name: &str) -> BackendId {
        if let Some(&id) = self.backend_ids.get(name) {
            return id;
        }
        let id = BackendId(u32::try_from(self.backend_names.len()).unwrap_or(u32::MAX));
        self.backend_ids.insert(name.to_owned(), id);
        self.backend_names.push(name.to_owned());
        id
    }

    /// The name of a backend.
    pub fn backend_name(&self, id: BackendId) -> &str {
        &self.backend_names[id.0 as usize]
    }

    /// An entry of an endpoint list, by ids.
    pub fn endpoint(&mut self, listed: &ListedEndpoint) -> Endpoint {
        Endpoint {
            backend: self.backend_id(&listed.backend),
            ring_position: listed.ring_position,
            state: listed.state,
            started_at: listed.started_at,
            zone: listed.zone.as_ref().and_then(|name| find_zone(&self.zones, name)),
        }
    }
}
