//! The numbers by which the router knows backends, for as long as they are listed.

use std::collections::{BTreeMap, BTreeSet};

use mallowgauge_router::{BackendId, EndpointState};
use mallowgauge_settings::endpoint_list::{EndpointList, ListedBackend};

/// The names of the listed backends with their numbers. A number is never given out twice.
#[derive(Debug, Default)]
pub struct BackendRegistry {
    ids: BTreeMap<String, BackendId>,
    next_id: u32,
}

/// What an endpoint list means for the registry.
#[derive(Debug, PartialEq)]
pub struct RegistryUpdate<'a> {
    /// The backends that the list names, in its order; not those that were removed before they were known.
    pub named: Vec<(BackendId, &'a ListedBackend)>,
    /// Numbers that are forgotten: of backends that have been removed, and of those that a snapshot lacks.
    pub removed: Vec<BackendId>,
}

impl BackendRegistry {
    /// Gives numbers to the backends that are new in a list, and forgets those that it ends.
    pub fn apply<'a>(&mut self, list: &'a EndpointList) -> RegistryUpdate<'a> {
        let named: Vec<_> = list.backends.iter().filter_map(|host| Some((self.id_of(host)?, host))).collect();
        let mut removed: BTreeSet<BackendId> = named
            .iter()
            .filter(|(_, host)| host.state == EndpointState::Removed)
            .map(|(id, _)| *id)
            .collect();
        if list.is_snapshot {
            let listed: BTreeSet<BackendId> = named.iter().map(|(id, _)| *id).collect();
            removed.extend(self.ids.values().filter(|id| !listed.contains(id)));
        }
        self.ids.retain(|_, id| !removed.contains(id));
        RegistryUpdate { named, removed: removed.into_iter().collect() }
    }

    /// The number of a backend, a new one where it has none; `None` for a removed one that was not known.
    fn id_of(&mut self, host: &ListedBackend) -> Option<BackendId> {
        if let Some(&id) = self.ids.get(&host.id) {
            return Some(id);
        }
        if host.state == EndpointState::Removed {
            return None;
        }
        let id = BackendId(self.next_id);
        self.next_id += 1;
        tracing::info!("host {} is number {}", host.id, id.0);
        self.ids.insert(host.id.clone(), id);
        Some(id)
    }
}
