//! Mapping of the names on the simulator's wire to the router's ids, for one instance.

use std::collections::BTreeMap;

use mallowgauge_router::{BackendId, ClassId, Endpoint, Settings};
use mallowgauge_settings::{find_zone, Site};
use serde_json::Value;

use crate::error::WireError;
use crate::message::ListedEndpoint;

/// Names and ids of classes, backends and zones.
pub struct Directory {
    classes: BTreeMap<String, ClassId>,
    /// Number of answers that a query of each class gets: one per step.
    answers: Vec<u32>,
    backend_ids: BTreeMap<String, BackendId>,
    backend_names: Vec<String>,
    zones: Vec<String>,
}

impl Directory {
    /// Reads the settings of an instance, and the names of its classes and zones.
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

    /// Returns the id of the class with this name.
    pub fn class(&self, name: &str) -> Result<ClassId, WireError> {
        self.classes.get(name).copied().ok_or_else(|| WireError::UnknownClass(name.to_owned()))
    }

    /// Returns the number of answers that a query of a class gets.
    pub fn answers(&self, class: ClassId) -> u32 {
        self.answers[class.0]
    }

    /// Returns the id of the backend with this name, and assigns one to a new name.
    pub fn backend_id(&mut self, name: &str) -> BackendId {
        if let Some(&id) = self.backend_ids.get(name) {
            return id;
        }
        let id = BackendId(u32::try_from(self.backend_names.len()).unwrap_or(u32::MAX));
        self.backend_ids.insert(name.to_owned(), id);
        self.backend_names.push(name.to_owned());
        id
    }

    /// Returns the name of a backend.
    pub fn backend_name(&self, id: BackendId) -> &str {
        &self.backend_names[id.0 as usize]
    }

    /// Converts an entry of an endpoint list to one with ids.
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
