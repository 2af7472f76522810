//! State shared with every daemon: the accepted configuration, registered hosts and instances, and
//! the route table.

use crate::instances;
use crate::rollout;
use cherrystream_schema::messages;
use messages::{Change, Config, HostRecord, Instance, Intent, RouteTable, Shared};

/// Returns the initial state.
pub fn empty() -> Shared {
    Shared {
        config: Config::default(),
        hosts: Default::default(),
        leaving: Vec::new(),
        routes: None,
        instances: Default::default(),
    }
}

/// Applies an accepted change. A change to something that no longer exists has no effect.
pub fn apply(shared: &mut Shared, change: &Change) {
    match change {
        Change::Operator { intent } => apply_operator_intent(shared, intent),
        Change::StepRollout { .. } => rollout::step(shared, change),
        Change::PutHost { record } => put_host(shared, record),
        Change::RemoveHost { host } => remove_host(shared, host),
        Change::PutInstance { host, instance } => put_instance(shared, host, instance),
        Change::PatchRoutes { .. } => patch_routes(&mut shared.routes, change),
        Change::HostLeaving { host, leaving: true } => insert_sorted(&mut shared.leaving, host),
        Change::HostLeaving { host, leaving: false } => shared.leaving.retain(|h| h != host),
    }
}

fn apply_operator_intent(shared: &mut Shared, intent: &Intent) {
    match intent {
        Intent::StartRollout { service, version, within_ms, at_ms } => {
            let (within_ms, at_ms) = (*within_ms, *at_ms);
            rollout::start(shared, &rollout::StartRequest { service, version, within_ms, at_ms });
        }
        Intent::StopRollout { service } => rollout::stop(shared, service),
        _ => apply_config_intent(&mut shared.config, intent),
    }
}

/// Registers a host, and removes other hosts that registered the same peer address. A process that
/// leaves does not come back, so a registration that says otherwise is older.
fn put_host(shared: &mut Shared, record: &HostRecord) {
    let is_older = |known: &HostRecord| {
        known.incarnation == record.incarnation && known.leaving && !record.leaving
    };
    if shared.hosts.get(&record.host).is_some_and(is_older) {
        return;
    }
    let is_replaced =
        |h: &HostRecord| h.host != record.host && h.peer_address == record.peer_address;
    let stale: Vec<String> =
        shared.hosts.values().filter(|h| is_replaced(h)).map(|h| h.host.clone()).collect();
    for host in stale {
        remove_host(shared, &host);
    }
    shared.hosts.insert(record.host.clone(), record.clone());
}

fn remove_host(shared: &mut Shared, host: &str) {
    shared.hosts.remove(host);
    shared.instances.remove(host);
}

fn put_instance(shared: &mut Shared, host: &str, instance: &Instance) {
    let existing = shared.instances.get(host);
    if let Some(record) = instances::register(existing, instance) {
        let is_new = existing.is_none_or(|existing| {
            existing.instance.id != instance.id || existing.instance.born_ms != instance.born_ms
        });
        if is_new {
            rollout::on_new_instance(shared, instance);
        }
        shared.instances.insert(host.into(), record);
    }
}

/// Applies a change of the route table; ignores other changes.
pub fn patch_routes(routes: &mut Option<RouteTable>, change: &Change) {
    let Change::PatchRoutes {
        number,
        put,
        removed,
        services,
        limits,
        workspaces,
        workspaces_removed,
        needs_key,
    } = change
    else {
        return;
    };
    let table = routes.get_or_insert_with(|| RouteTable {
        number: 0,
        routes: Default::default(),
        services: Default::default(),
        limits: limits.clone(),
        workspaces: Default::default(),
        needs_key: false,
    });
    table.number = *number;
    table.services = services.clone();
    table.limits = limits.clone();
    table.needs_key = *needs_key;
    for name in removed {
        table.routes.remove(name);
    }
    table.routes.extend(put.iter().map(|(name, route)| (name.clone(), route.clone())));
    for name in workspaces_removed {
        table.workspaces.remove(name);
    }
    table.workspaces.extend(workspaces.iter().map(|(name, w)| (name.clone(), w.clone())));
}

fn apply_config_intent(config: &mut Config, intent: &Intent) {
    match intent {
        Intent::PutService { service, measuring_per_second } => {
            put_service(config, service, *measuring_per_second);
        }
        Intent::PutKind { service, kind, .. } => {
            if let (Some(entry), Some(value)) = (config.services.get_mut(service), kind_of(intent))
            {
                entry.kinds.insert(kind.clone(), value);
            }
        }
        Intent::PutBackendServer { service, name, host, address, slots } => {
            let value = messages::BackendServer {
                host: host.clone(),
                address: address.clone(),
                slots: *slots,
            };
            if let Some(entry) = config.services.get_mut(service) {
                entry.backend_servers.insert(name.clone(), value);
            }
        }
        Intent::TakeOutHost { host } => insert_sorted(&mut config.hosts_out, host),
        Intent::ReturnHost { host } => config.hosts_out.retain(|h| h != host),
        Intent::Evacuate { failure_domain } => {
            insert_sorted(&mut config.failure_domains_out, failure_domain);
        }
        Intent::EndEvacuation { failure_domain } => {
            config.failure_domains_out.retain(|domain| domain != failure_domain);
        }
        Intent::DeleteService { service } => {
            config.services.remove(service);
        }
        Intent::DeleteKind { service, kind } => {
            if let Some(entry) = config.services.get_mut(service) {
                entry.kinds.remove(kind);
            }
        }
        Intent::DeleteBackendServer { service, name } => {
            if let Some(entry) = config.services.get_mut(service) {
                entry.backend_servers.remove(name);
            }
        }
        Intent::PutWorkspace { workspace, priority, rate_milli_per_s, burst_milli } => {
            let entry = config.workspaces.entry(workspace.clone()).or_default();
            entry.priority = *priority;
            entry.rate_milli_per_s = *rate_milli_per_s;
            entry.burst_milli = *burst_milli;
        }
        Intent::DeleteWorkspace { workspace } => {
            config.workspaces.remove(workspace);
        }
        Intent::AddKey { workspace, key_digest } => {
            if let Some(entry) = config.workspaces.get_mut(workspace) {
                insert_sorted(&mut entry.key_digests, key_digest);
            }
        }
        Intent::RevokeKey { workspace, key_digest } => {
            if let Some(entry) = config.workspaces.get_mut(workspace) {
                entry.key_digests.retain(|digest| digest != key_digest);
            }
        }
        Intent::NeedKeys { needed } => config.needs_key = *needed,
        // Handled by `apply_operator_intent`: they need more than the configuration.
        Intent::StartRollout { .. } | Intent::StopRollout { .. } => {}
    }
}

fn put_service(config: &mut Config, name: &str, measuring_per_second: u32) {
    match config.services.get_mut(name) {
        Some(entry) => entry.measuring_per_second = measuring_per_second,
        None => {
            let entry = messages::Service {
                measuring_per_second,
                kinds: Default::default(),
                backend_servers: Default::default(),
            };
            config.services.insert(name.into(), entry);
        }
    }
}

fn insert_sorted(names: &mut Vec<String>, name: &str) {
    if let Err(i) = names.binary_search_by(|n| n.as_str().cmp(name)) {
        names.insert(i, name.into());
    }
}

/// Returns the kind that a `put-kind` intent describes.
pub fn kind_of(intent: &Intent) -> Option<messages::Kind> {
    let Intent::PutKind { method, path_prefix, repeatable, weight, deadline_ms, .. } = intent
    else {
        return None;
    };
    Some(messages::Kind {
        method: method.clone(),
        path_prefix: path_prefix.clone(),
        repeatable: *repeatable,
        weight: *weight,
        deadline_ms: *deadline_ms,
    })
}

/// Returns whether a host gets no new work: it was taken out by operators or the platform, its
/// failure domain is evacuated, or its daemon is shutting down.
pub fn is_out(shared: &Shared, host: &str) -> bool {
    shared.config.hosts_out.iter().chain(&shared.leaving).any(|h| h == host)
        || shared.hosts.get(host).is_some_and(|record| record.leaving)
        || is_evacuated(shared, host)
}

/// Returns whether the failure domain of a host is evacuated.
pub fn is_evacuated(shared: &Shared, host: &str) -> bool {
    let domain = shared.hosts.get(host).map(|record| &record.failure_domain);
    domain.is_some_and(|domain| shared.config.failure_domains_out.contains(domain))
}
