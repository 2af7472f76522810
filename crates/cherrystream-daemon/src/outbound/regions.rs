//! Regions in which a request may be served.

use super::Outbound;
use super::request::Call;
use cherrystream_core::choose::{ServerId, ServerTable};
use cherrystream_schema::messages::Shared;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Regions in which a request may be served; `None` allows all.
#[derive(Clone, Debug, Default)]
pub(super) struct Regions(Option<Arc<BTreeSet<String>>>);

impl Regions {
    /// Returns the regions allowed by both the route and the workspace. An empty list allows all.
    pub(super) fn allowed(route: &[String], workspace: &[String]) -> Regions {
        let allowed: BTreeSet<String> = match (route, workspace) {
            ([], []) => return Regions(None),
            (only, []) | ([], only) => only.iter().cloned().collect(),
            (route, workspace) => {
                route.iter().filter(|region| workspace.contains(region)).cloned().collect()
            }
        };
        Regions(Some(Arc::new(allowed)))
    }

    fn disallows(&self, shared: &Shared, server: &ServerId) -> bool {
        let Some(allowed) = &self.0 else { return false };
        // The region of an unregistered host is unknown, so it is not allowed.
        let host = shared.hosts.get(&*server.host);
        host.is_none_or(|host| !allowed.contains(&host.region))
    }
}

impl Outbound {
    /// Returns the backend servers that are outside the allowed regions of a request.
    pub(super) fn disallowed_servers(&self, call: &Call, table: &ServerTable) -> Vec<Arc<str>> {
        if call.regions.0.is_none() {
            return Vec::new();
        }
        let shared = self.current_config.get().shared;
        let disallowed = table.ids().filter(|server| call.regions.disallows(&shared, server));
        disallowed.map(|server| server.name.clone()).collect()
    }
}
