//! Plans for operators: the steps and the warnings of an intent before it is confirmed.

use crate::errors::{self, Error, Result};
use crate::rollout;
use crate::shared;
use crate::workspace_plan;
use cherrystream_schema::messages;
use messages::{BackendServer, Config, Intent, Service, Shared};
use std::net::SocketAddr;

/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 63;
/// Maximum number of slots of a backend server.
const MAX_SLOTS: u32 = 100_000;

/// Steps and warnings of a plan.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outline {
    /// Changes that the intent makes, one sentence each.
    pub steps: Vec<String>,
    /// Side effects to consider before the confirmation, one sentence each.
    pub warnings: Vec<String>,
}

/// Determines what an intent would change.
///
/// # Errors
///
/// Fails if the intent names something missing, has an invalid value or would change nothing.
pub fn outline(shared: &Shared, intent: &Intent) -> Result<Outline> {
    check(shared, intent)?;
    let mut after = shared.clone();
    let change = messages::Change::Operator { intent: intent.clone() };
    shared::apply(&mut after, &change);
    if after == *shared {
        let (what, name) = subject(intent);
        return Err(Error::NoChange { what, name: name.into() });
    }
    Ok(Outline { steps: steps(shared, intent), warnings: warnings(shared, &after, intent) })
}

/// Returns the intent with `at_ms` as its start time; the confirmation may be later than the plan.
pub fn with_start_time(intent: &Intent, at_ms: u64) -> Intent {
    match intent {
        Intent::StartRollout { service, version, within_ms, .. } => Intent::StartRollout {
            service: service.clone(),
            version: version.clone(),
            within_ms: *within_ms,
            at_ms,
        },
        _ => intent.clone(),
    }
}

/// Describes an intent in a few words.
pub fn describe(intent: &Intent) -> String {
    let verb = match intent {
        Intent::TakeOutHost { .. } => "take out",
        Intent::ReturnHost { .. } => "return",
        Intent::Evacuate { .. } => "evacuate",
        Intent::EndEvacuation { .. } => "end the evacuation of",
        Intent::DeleteService { .. }
        | Intent::DeleteKind { .. }
        | Intent::DeleteWorkspace { .. }
        | Intent::DeleteBackendServer { .. } => "delete",
        Intent::AddKey { .. } => "add a key to",
        Intent::RevokeKey { .. } => "revoke a key of",
        Intent::StartRollout { .. } => "roll out",
        Intent::StopRollout { .. } => "stop the roll-out of",
        Intent::NeedKeys { .. } => "change",
        _ => "put",
    };
    let (what, name) = subject(intent);
    format!("{verb} {what} '{name}'")
}

fn subject(intent: &Intent) -> (&'static str, &str) {
    match intent {
        Intent::PutService { service, .. }
        | Intent::DeleteService { service }
        | Intent::StopRollout { service } => ("service", service),
        Intent::StartRollout { version, .. } => ("version", version),
        Intent::PutKind { kind, .. } | Intent::DeleteKind { kind, .. } => ("kind", kind),
        Intent::PutBackendServer { name, .. } | Intent::DeleteBackendServer { name, .. } => {
            ("backend server", name)
        }
        Intent::TakeOutHost { host } | Intent::ReturnHost { host } => ("host", host),
        Intent::Evacuate { failure_domain } | Intent::EndEvacuation { failure_domain } => {
            ("failure domain", failure_domain)
        }
        Intent::PutWorkspace { workspace, .. }
        | Intent::DeleteWorkspace { workspace }
        | Intent::AddKey { workspace, .. }
        | Intent::RevokeKey { workspace, .. } => ("workspace", workspace),
        Intent::NeedKeys { .. } => ("key requirement", "of all callers"),
    }
}

fn check(shared: &Shared, intent: &Intent) -> Result<()> {
    let config = &shared.config;
    match intent {
        Intent::PutService { service, .. } => check_name("service", service),
        Intent::PutKind { service, kind, method, path_prefix, deadline_ms, .. } => {
            find_service(config, service)?;
            check_name("kind", kind)?;
            check_method(method)?;
            check_prefix(path_prefix)?;
            check_deadline(*deadline_ms)
        }
        Intent::PutBackendServer { service, name, host, address, slots } => {
            find_service(config, service)?;
            check_name("name", name)?;
            check_name("host", host)?;
            check_address(address)?;
            check_slots(*slots)
        }
        Intent::TakeOutHost { host } => find_host(shared, host),
        Intent::ReturnHost { host } => {
            if config.hosts_out.contains(host) {
                return Ok(());
            }
            errors::missing("host taken out", host, "list those taken out with `config`")
        }
        Intent::Evacuate { failure_domain } => find_failure_domain(shared, failure_domain),
        Intent::EndEvacuation { failure_domain } => {
            if config.failure_domains_out.contains(failure_domain) {
                return Ok(());
            }
            let remedy = "list those that are evacuated with `evacuate list`";
            errors::missing("evacuated failure domain", failure_domain, remedy)
        }
        Intent::DeleteService { service } => find_service(config, service).map(|_| ()),
        Intent::DeleteKind { service, kind } => {
            if find_service(config, service)?.kinds.contains_key(kind) {
                return Ok(());
            }
            errors::missing("kind", kind, "list the kinds with `config`")
        }
        Intent::DeleteBackendServer { service, name } => {
            if find_service(config, service)?.backend_servers.contains_key(name) {
                return Ok(());
            }
            errors::missing("backend server", name, "list the backend servers with `config`")
        }
        Intent::PutWorkspace { workspace, .. } => {
            check_name("workspace", workspace)?;
            workspace_plan::check(shared, intent)
        }
        Intent::StartRollout { .. } | Intent::StopRollout { .. } => {
            rollout::plan::check(shared, intent)
        }
        Intent::DeleteWorkspace { .. }
        | Intent::AddKey { .. }
        | Intent::RevokeKey { .. }
        | Intent::NeedKeys { .. } => workspace_plan::check(shared, intent),
    }
}

fn find_service<'a>(config: &'a Config, name: &str) -> Result<&'a Service> {
    match config.services.get(name) {
        Some(service) => Ok(service),
        None => errors::missing("service", name, format!("create it with `service put {name}`")),
    }
}

fn find_host(shared: &Shared, host: &str) -> Result<()> {
    let servers = shared.config.services.values().flat_map(|s| s.backend_servers.values());
    if shared.hosts.contains_key(host) || servers.into_iter().any(|s| s.host == host) {
        return Ok(());
    }
    errors::missing("host", host, "list the hosts with `status`")
}

fn find_failure_domain(shared: &Shared, name: &str) -> Result<()> {
    if shared.hosts.values().any(|record| record.failure_domain == name) {
        return Ok(());
    }
    errors::missing(
        "failure domain",
        name,
        "list the hosts and their failure domains with `status`",
    )
}

fn check_name(field: &'static str, name: &str) -> Result<()> {
    let fits = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(fits) {
        return Ok(());
    }
    errors::bad_value(
        field,
        name,
        format!("use 1 to {MAX_NAME_BYTES} lower-case letters, digits and hyphens"),
    )
}

fn check_method(method: &str) -> Result<()> {
    if !method.is_empty() && method.chars().all(|c| c.is_ascii_uppercase()) {
        return Ok(());
    }
    errors::bad_value("method", method, "use an HTTP method in capitals, such as POST")
}

fn check_prefix(prefix: &str) -> Result<()> {
    if prefix.starts_with('/') {
        return Ok(());
    }
    errors::bad_value("path_prefix", prefix, "start it with '/'")
}

fn check_deadline(deadline_ms: u64) -> Result<()> {
    if (1..=3_600_000).contains(&deadline_ms) {
        return Ok(());
    }
    errors::bad_value("deadline_ms", deadline_ms, "use 1 to 3600000 milliseconds")
}

fn check_address(address: &str) -> Result<()> {
    match address.parse::<SocketAddr>() {
        Ok(a) if a.port() != 0 => Ok(()),
        _ => errors::bad_value("address", address, "use IP:PORT, such as 127.0.0.1:9001"),
    }
}

fn check_slots(slots: u32) -> Result<()> {
    if (1..=MAX_SLOTS).contains(&slots) {
        return Ok(());
    }
    errors::bad_value("slots", slots, format!("use 1 to {MAX_SLOTS}"))
}

fn steps(shared: &Shared, intent: &Intent) -> Vec<String> {
    match intent {
        Intent::PutService { service, measuring_per_second } => {
            let verb = verb(shared.config.services.contains_key(service));
            vec![format!(
                "{verb} service '{service}', measured {measuring_per_second} times a second at most"
            )]
        }
        Intent::PutKind { service, kind, .. } => vec![kind_step(shared, service, kind, intent)],
        Intent::PutBackendServer { service, name, host, address, slots } => {
            let old = shared.config.services.get(service);
            let verb = verb(old.is_some_and(|s| s.backend_servers.contains_key(name)));
            vec![format!(
                "{verb} backend server '{name}' of '{service}' at {address} on host '{host}' \
                 with {slots} slots"
            )]
        }
        Intent::TakeOutHost { host } => take_out_steps(shared, host),
        Intent::ReturnHost { host } => vec![format!("send work to host '{host}' again")],
        Intent::Evacuate { failure_domain } => evacuation_steps(shared, failure_domain),
        Intent::EndEvacuation { failure_domain } => {
            vec![format!("send work to the hosts of failure domain '{failure_domain}' again")]
        }
        Intent::PutWorkspace { .. }
        | Intent::AddKey { .. }
        | Intent::RevokeKey { .. }
        | Intent::NeedKeys { .. } => vec![workspace_plan::step(shared, intent)],
        Intent::StartRollout { .. } => rollout::plan::steps(shared, intent),
        _ => vec![describe(intent)],
    }
}

fn verb(exists: bool) -> &'static str {
    if exists { "change" } else { "create" }
}

fn kind_step(shared: &Shared, service: &str, kind: &str, intent: &Intent) -> String {
    let old = shared.config.services.get(service);
    let verb = verb(old.is_some_and(|s| s.kinds.contains_key(kind)));
    let Some(value) = shared::kind_of(intent) else {
        return describe(intent);
    };
    let repeat = if value.repeatable { "may be repeated" } else { "runs at most once" };
    format!(
        "{verb} kind '{kind}' of '{service}': {} {} {repeat}, weight {}, {} ms at most",
        value.method, value.path_prefix, value.weight, value.deadline_ms
    )
}

fn take_out_steps(shared: &Shared, host: &str) -> Vec<String> {
    let mut steps = vec![format!("send no new work to host '{host}'")];
    for (service, entry) in &shared.config.services {
        for (name, _) in entry.backend_servers.iter().filter(|(_, s)| s.host == host) {
            steps.push(format!("let backend server '{name}' of '{service}' finish what it runs"));
        }
    }
    steps
}

fn evacuation_steps(shared: &Shared, failure_domain: &str) -> Vec<String> {
    let is_in_domain = |record: &&messages::HostRecord| record.failure_domain == failure_domain;
    let hosts = shared.hosts.values().filter(is_in_domain).count();
    vec![
        format!("send no new work to the {hosts} hosts of failure domain '{failure_domain}'"),
        "let their backend servers finish what they run".into(),
    ]
}

fn warnings(before: &Shared, after: &Shared, intent: &Intent) -> Vec<String> {
    let mut warnings = Vec::new();
    for (name, entry) in &before.config.services {
        let total = entry.backend_servers.len();
        let had = usable(before, entry);
        let left = after.config.services.get(name).map_or(0, |entry| usable(after, entry));
        if left < had {
            warnings.push(format!("leaves {left} of {total} backend servers of {name}"));
        }
    }
    if let Intent::PutBackendServer { host, .. } = intent
        && !before.hosts.contains_key(host)
    {
        warnings.push(format!("no daemon has registered for host '{host}' yet"));
    }
    if let Intent::PutKind { service, kind, repeatable: true, .. } = intent
        && ran_at_most_once(before, service, kind)
    {
        warnings.push(format!("requests of kind '{kind}' may run more than once from now on"));
    }
    warnings.extend(rollout::plan::warnings(before, intent));
    warnings.extend(workspace_plan::warnings(before, after, intent));
    warnings
}

fn usable(shared: &Shared, service: &Service) -> usize {
    let usable = |s: &&BackendServer| !shared::is_out(shared, &s.host);
    service.backend_servers.values().filter(usable).count()
}

fn ran_at_most_once(shared: &Shared, service: &str, kind: &str) -> bool {
    let service = shared.config.services.get(service);
    service.and_then(|s| s.kinds.get(kind)).is_some_and(|k| !k.repeatable)
}
