//! The part of the configuration that an intent changes, to tell which changes of other operators
//! affect a plan.

use cherrystream_schema::messages::Intent;

/// Path of a configured item; an item contains those whose paths continue its own.
type Path<'a> = Vec<&'a str>;

/// Returns whether one of two intents changes something that the other one changes, creates or
/// removes.
pub(crate) fn overlap(a: &Intent, b: &Intent) -> bool {
    let paths = scope(b);
    scope(a).iter().any(|a| paths.iter().any(|b| a.starts_with(b) || b.starts_with(a)))
}

/// Returns the items that an intent changes.
fn scope(intent: &Intent) -> Vec<Path<'_>> {
    match intent {
        Intent::PutService { service, .. } => vec![vec!["service", service, "settings"]],
        Intent::DeleteService { service } => vec![vec!["service", service]],
        Intent::PutKind { service, kind, .. } | Intent::DeleteKind { service, kind } => {
            vec![vec!["service", service, "kind", kind]]
        }
        Intent::PutBackendServer { service, name, .. }
        | Intent::DeleteBackendServer { service, name } => {
            vec![vec!["service", service, "backend server", name]]
        }
        Intent::StartRollout { service, .. } | Intent::StopRollout { service } => {
            vec![vec!["service", service, "roll-out"]]
        }
        Intent::TakeOutHost { host } | Intent::ReturnHost { host } => vec![vec!["host", host]],
        Intent::Evacuate { failure_domain } | Intent::EndEvacuation { failure_domain } => {
            vec![vec!["failure domain", failure_domain]]
        }
        Intent::PutWorkspace { workspace, .. } => vec![vec!["workspace", workspace, "settings"]],
        Intent::DeleteWorkspace { workspace } => vec![vec!["workspace", workspace]],
        // A key belongs to one workspace at most.
        Intent::AddKey { workspace, key_digest } | Intent::RevokeKey { workspace, key_digest } => {
            vec![vec!["workspace", workspace, "key", key_digest], vec!["key", key_digest]]
        }
        Intent::NeedKeys { .. } => vec![vec!["key requirement"]],
    }
}
