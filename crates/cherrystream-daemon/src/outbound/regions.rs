//! Regions in which a request may be served.

use super::Outbound;
use super::request::Call;
use cherrystream_core::choose::{ServerId, ServerTable};
use cherrystream_schema::messages::Shared;
use std::collections::BTreeSet;
use std::sync::Arc;

/// The regions in which a request may be served; all of them where nothing is stated.
#[derive(Clone, Debug, Default)]
pub(super) struct Regions(Option<Arc<BTreeSet<String>>>);

impl Regions {
    /// Returns those that the route and the workspace of a request both allow. One that states none allows all.
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

    fn bar(&self, shared: &Shared, server: &ServerId) -> bool {
        let Some(allowed) = &self.0 else { return false };
        // Of a host that is not registered the region is not known, so it may be a wrong one.
        let host = shared.hosts.get(&*server.host);
        host.is_none_or(|host| !allowed.contains(&host.region))
    }
}

impl Outbound {
    /// Returns the backend servers of a table at which a request may not be served.
    pub(super) fn barred(&self, call: &Call, table: &ServerTable) -> Vec<Arc<str>> {
        if call.regions.0.is_none() {
            return Vec::new();
        }
        let shared = self.held.get().shared;
        let barred = table.ids().filter(|server| call.regions.bar(&shared, server));
        barred.map(|server| server.name.clone()).collect()
    }
}
