//! Size estimates of updates without encoding them.

use cherrystream_schema::messages::{Change, RouteTable, Shared};

/// Largest number of items in an update that is sent inline instead of being fetched in chunks.
/// About 7 KB of JSON, at 280 bytes per route, host or instance: a fifth of a second on a link of
/// 0.3 Mbit/s.
pub const MAX_INLINE_WEIGHT: usize = 24;

/// Returns the number of items in changes: routes, hosts, instances and similar.
pub fn changes_weight<'a>(changes: impl Iterator<Item = &'a Change>) -> usize {
    changes.map(change_weight).sum()
}

fn change_weight(change: &Change) -> usize {
    match change {
        Change::PatchRoutes { put, removed, services, workspaces, workspaces_removed, .. } => {
            // The name of a removed route or workspace is about a tenth of its size.
            let removed_names = removed.len() + workspaces_removed.len();
            put.len() + removed_names / 10 + services.len() + workspaces.len()
        }
        Change::Operator { .. }
        | Change::PutHost { .. }
        | Change::PutInstance { .. }
        | Change::RemoveHost { .. }
        | Change::HostLeaving { .. }
        | Change::StepRollout { .. } => 1,
    }
}

/// Returns the number of items in a whole state.
pub fn state_weight(shared: &Shared) -> usize {
    let services = shared.config.services.values();
    let configured: usize = services.map(|s| 1 + s.kinds.len() + s.backend_servers.len()).sum();
    let in_table = |t: &RouteTable| t.routes.len() + t.services.len() + t.workspaces.len();
    let routed = shared.routes.as_ref().map_or(0, in_table);
    configured
        + shared.config.workspaces.len()
        + shared.config.rollouts.len()
        + routed
        + shared.hosts.len()
        + shared.instances.len()
        + shared.leaving.len()
}
