//! Checks, steps and warnings of intents that change workspaces.

use crate::errors::{self, Result};
use crate::workspaces;
use cherrystream_schema::messages::{Intent, Shared, Workspace};

/// Highest rate or burst, in thousandths of a request; well within the exact integers of `f64`.
const MAX_RATE_MILLI: u64 = 1_000_000_000_000;
/// Maximum number of keys per workspace. Enough for each caller of a large workspace to have its
/// own key and the next one.
const MAX_KEYS: usize = 1_000;
/// Replaces a value that may be a key in error messages.
const NOT_SHOWN: &str = "(not shown)";

/// Checks an intent that changes workspaces.
///
/// # Errors
///
/// Fails if the intent names something missing or has an invalid value. The error contains no key.
pub(crate) fn check(shared: &Shared, intent: &Intent) -> Result<()> {
    let config = &shared.config;
    match intent {
        Intent::PutWorkspace { workspace, rate_milli_per_s, burst_milli, .. } => {
            check_not_in_table(shared, workspace)?;
            check_rate("rate_milli_per_s", *rate_milli_per_s)?;
            check_rate("burst_milli", *burst_milli)?;
            check_burst(*rate_milli_per_s, *burst_milli)
        }
        Intent::DeleteWorkspace { workspace } => find(shared, workspace).map(|_| ()),
        Intent::AddKey { workspace, key_digest } => {
            check_digest(key_digest)?;
            check_not_in_table(shared, workspace)?;
            check_key_count(workspace, find(shared, workspace)?)?;
            check_unused(shared, workspace, key_digest)
        }
        Intent::RevokeKey { workspace, key_digest } => {
            check_digest(key_digest)?;
            if find(shared, workspace)?.key_digests.contains(key_digest) {
                return Ok(());
            }
            let remedy = "list the digests of its keys with `workspace list`";
            errors::missing("key of workspace", workspace, remedy)
        }
        Intent::NeedKeys { needed: true }
            if !workspaces::has_key(shared.routes.as_ref(), config) =>
        {
            let remedy = "add a key first: no workspace has one, so every request would be refused";
            errors::bad_value("needed", true, remedy)
        }
        _ => Ok(()),
    }
}

fn find<'a>(shared: &'a Shared, name: &str) -> Result<&'a Workspace> {
    match shared.config.workspaces.get(name) {
        Some(workspace) => Ok(workspace),
        None => {
            check_not_in_table(shared, name)?;
            errors::missing("workspace", name, format!("create it with `workspace put {name}`"))
        }
    }
}

/// Rejects a workspace of the route table, which changes only with that table.
fn check_not_in_table(shared: &Shared, name: &str) -> Result<()> {
    match shared.routes.as_ref().is_some_and(|table| table.workspaces.contains_key(name)) {
        true => errors::bad_value(
            "workspace",
            name,
            "it belongs to the route table: change it there, or use another name",
        ),
        false => Ok(()),
    }
}

fn check_rate(field: &'static str, milli: u64) -> Result<()> {
    if milli <= MAX_RATE_MILLI {
        return Ok(());
    }
    errors::bad_value(field, milli, format!("use 0 to {MAX_RATE_MILLI}"))
}

fn check_burst(rate_milli_per_s: u64, burst_milli: u64) -> Result<()> {
    if rate_milli_per_s > 0 || burst_milli == 0 {
        return Ok(());
    }
    errors::bad_value("burst_milli", burst_milli, "set a rate too: without one there is no limit")
}

/// Rejects a key sent in place of its digest: the replicated log would store it.
fn check_digest(text: &str) -> Result<()> {
    if workspaces::is_digest(text) {
        return Ok(());
    }
    let remedy = "send the SHA-256 of the key as base64 without padding, never the key itself; \
                  the command line computes it";
    errors::bad_value("key_digest", NOT_SHOWN, remedy)
}

fn check_key_count(name: &str, workspace: &Workspace) -> Result<()> {
    if workspace.key_digests.len() < MAX_KEYS {
        return Ok(());
    }
    errors::bad_value("workspace", name, format!("it has {MAX_KEYS} keys: revoke one first"))
}

/// Rejects a key that belongs to another workspace.
fn check_unused(shared: &Shared, name: &str, digest: &String) -> Result<()> {
    let in_config = shared.config.workspaces.iter();
    let in_table = shared.routes.iter().flat_map(|table| &table.workspaces);
    let holds =
        |(other, w): &(&String, &Workspace)| *other != name && w.key_digests.contains(digest);
    match in_config.chain(in_table).find(holds) {
        Some((other, _)) => errors::bad_value(
            "key_digest",
            NOT_SHOWN,
            format!(
                "workspace '{other}' holds the key: revoke it there first, or create another key"
            ),
        ),
        None => Ok(()),
    }
}

/// Describes the effect of an intent that changes workspaces.
pub(crate) fn step(shared: &Shared, intent: &Intent) -> String {
    match intent {
        Intent::PutWorkspace { workspace, priority, rate_milli_per_s, burst_milli } => {
            let exists = shared.config.workspaces.contains_key(workspace);
            let verb = if exists { "change" } else { "create" };
            let limits = workspaces::describe_limits(*priority, *rate_milli_per_s, *burst_milli);
            format!("{verb} workspace '{workspace}': {limits}")
        }
        Intent::AddKey { workspace, key_digest } => {
            format!(
                "accept requests with the key of digest {key_digest} for workspace '{workspace}'"
            )
        }
        Intent::RevokeKey { workspace, key_digest } => format!(
            "refuse requests with the key of digest {key_digest} of workspace '{workspace}'"
        ),
        Intent::NeedKeys { needed: true } => "refuse requests without a key of a workspace".into(),
        _ => "accept requests without a key of a workspace".into(),
    }
}

/// Returns warnings about side effects of an intent.
pub(crate) fn warnings(before: &Shared, after: &Shared, intent: &Intent) -> Vec<String> {
    let mut warnings = Vec::new();
    match intent {
        Intent::PutWorkspace { workspace, .. } => {
            let old = before.config.workspaces.get(workspace);
            let new = after.config.workspaces.get(workspace);
            warnings.extend(old.zip(new).and_then(|(old, new)| lowered(workspace, old, new)));
        }
        Intent::DeleteWorkspace { workspace } => {
            let keys = before.config.workspaces.get(workspace).map_or(0, |w| w.key_digests.len());
            if keys > 0 {
                warnings.push(format!(
                    "deletes its keys ({keys}): requests that use them will be refused"
                ));
            }
        }
        Intent::RevokeKey { workspace, .. } => {
            let left = after.config.workspaces.get(workspace).map_or(0, |w| w.key_digests.len());
            if left == 0 {
                warnings.push(format!("leaves workspace '{workspace}' without a key"));
            }
        }
        Intent::NeedKeys { needed: true } => {
            warnings.push("callers that send no key will be refused immediately".into());
        }
        Intent::NeedKeys { needed: false } => {
            warnings.push("every caller that can reach a daemon may send requests".into());
        }
        _ => {}
    }
    let has_key = |shared: &Shared| workspaces::has_key(shared.routes.as_ref(), &shared.config);
    if after.config.needs_key && has_key(before) && !has_key(after) {
        warnings.push("no workspace will have a key: every request will be refused".into());
    }
    warnings
}

fn lowered(name: &str, old: &Workspace, new: &Workspace) -> Option<String> {
    let limit = |w: &Workspace| match w.rate_milli_per_s {
        0 => (u64::MAX, u64::MAX),
        rate => (rate, w.burst_milli),
    };
    let (old_limit, new_limit) = (limit(old), limit(new));
    (new_limit.0 < old_limit.0 || new_limit.1 < old_limit.1).then(|| {
        let limits =
            workspaces::describe_limits(old.priority, old.rate_milli_per_s, old.burst_milli);
        format!("lowers the quota of workspace '{name}'; it was: {limits}")
    })
}
