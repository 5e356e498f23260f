//! Maps the names of listed backends to the ids that the router uses.

use std::collections::{BTreeMap, BTreeSet};

use mallowgauge_router::{BackendId, EndpointState};
use mallowgauge_settings::endpoint_list::{EndpointList, ListedBackend};

/// The ids of the listed backends, by name. An id is never reused.
#[derive(Debug, Default)]
pub struct BackendRegistry {
    ids: BTreeMap<String, BackendId>,
    next_id: u32,
}

/// The changes that an endpoint list makes to the registry.
#[derive(Debug, PartialEq)]
pub struct RegistryUpdate<'a> {
    /// The backends in the list, in its order, except removed ones that were not registered.
    pub listed: Vec<(BackendId, &'a ListedBackend)>,
    /// Ids that were deleted: of backends listed as removed, and of those that a snapshot lacks.
    pub removed: Vec<BackendId>,
}

impl BackendRegistry {
    /// Assigns ids to the new backends in a list, and deletes the ids of removed ones.
    pub fn apply<'a>(&mut self, list: &'a EndpointList) -> RegistryUpdate<'a> {
        let listed: Vec<_> =
            list.backends.iter().filter_map(|backend| Some((self.id_of(backend)?, backend))).collect();
        let mut removed: BTreeSet<BackendId> = listed
            .iter()
            .filter(|(_, backend)| backend.state == EndpointState::Removed)
            .map(|(id, _)| *id)
            .collect();
        if list.is_snapshot {
            let listed_ids: BTreeSet<BackendId> = listed.iter().map(|(id, _)| *id).collect();
            removed.extend(self.ids.values().filter(|id| !listed_ids.contains(id)));
        }
        self.ids.retain(|_, id| !removed.contains(id));
        RegistryUpdate { listed, removed: removed.into_iter().collect() }
    }

    /// Returns the id of a backend, assigning one if needed; `None` for a removed backend that was not registered.
    fn id_of(&mut self, backend: &ListedBackend) -> Option<BackendId> {
        if let Some(&id) = self.ids.get(&backend.id) {
            return Some(id);
        }
        if backend.state == EndpointState::Removed {
            return None;
        }
        let id = BackendId(self.next_id);
        self.next_id += 1;
        tracing::info!("backend {} has index {}", backend.id, id.0);
        self.ids.insert(backend.id.clone(), id);
        Some(id)
    }
}
