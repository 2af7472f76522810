//! Validation and preview of operator intents about roll-outs.

use super::{Relation, StartRequest, has_service, is_in_progress, live_instances};
use crate::errors::{self, Result};
use cherrystream_schema::messages::{Intent, Shared};

/// Longest name of a version, in bytes.
const MAX_VERSION_BYTES: usize = 255;
/// Shortest time of a roll-out. Allows daemons to receive several steps.
const MIN_WITHIN_MS: u64 = 5_000;
/// Longest time of a roll-out: one day.
const MAX_WITHIN_MS: u64 = 86_400_000;

/// Checks an intent about roll-outs.
///
/// # Errors
///
/// Fails if it names something missing or an invalid value, or if another roll-out of the service
/// is in progress.
pub fn check(shared: &Shared, intent: &Intent) -> Result<()> {
    match intent {
        Intent::StartRollout { service, version, within_ms, at_ms } => {
            let at_ms = *at_ms;
            check_start(shared, &StartRequest { service, version, within_ms: *within_ms, at_ms })
        }
        Intent::StopRollout { service } => match shared.config.rollouts.get(service) {
            Some(rollout) if is_in_progress(rollout) => Ok(()),
            _ => errors::missing(
                "roll-out in progress of service",
                service,
                format!("see how the last one ended with `rollout read {service}`"),
            ),
        },
        _ => Ok(()),
    }
}

fn check_start(shared: &Shared, request: &StartRequest<'_>) -> Result<()> {
    if !has_service(shared, request.service) {
        return errors::missing("service", request.service, "list the services with `config`");
    }
    if request.version.is_empty() || request.version.len() > MAX_VERSION_BYTES {
        let remedy =
            format!("use 1 to {MAX_VERSION_BYTES} bytes, as the backend servers report it");
        return errors::bad_value("version", request.version, remedy);
    }
    if !(MIN_WITHIN_MS..=MAX_WITHIN_MS).contains(&request.within_ms) {
        let remedy = "use 5 seconds to a day, so that enough responses can be compared";
        return errors::bad_value("within_ms", request.within_ms, remedy);
    }
    match request.relation(shared) {
        Relation::Unrelated | Relation::Repeated => Ok(()),
        Relation::Conflicting => {
            let known = &shared.config.rollouts[request.service].version;
            let service = request.service;
            let remedy =
                format!("wait until it is decided, or stop it with `rollout stop {service}` first");
            errors::busy("roll-out of version", known, remedy)
        }
    }
}

/// Describes the effects of an intent, one sentence each.
pub(crate) fn steps(shared: &Shared, intent: &Intent) -> Vec<String> {
    let Intent::StartRollout { service, version, within_ms, .. } = intent else {
        return vec![crate::plan::describe(intent)];
    };
    let new = live_instances(shared, service).filter(|i| i.version == *version).count();
    let old = live_instances(shared, service).count() - new;
    let seconds = within_ms / 1_000;
    vec![
        format!(
            "send version '{version}' of '{service}' 2 in 100 requests, then 5 ({new} of its backend servers run, beside {old})"
        ),
        "compare its responses with those of the old versions, by kind of request, and roll it back if it is worse".into(),
        format!("otherwise send it all requests, and report within {seconds} s that the old backend servers may stop"),
    ]
}

/// Returns warnings about an intent for the operator.
pub(crate) fn warnings(shared: &Shared, intent: &Intent) -> Vec<String> {
    match intent {
        Intent::StartRollout { service, version, .. }
            if !live_instances(shared, service).any(|i| i.version == *version) =>
        {
            vec![format!(
                "no backend server of version '{version}' has reported yet: start them, or the roll-out is rolled back at its deadline"
            )]
        }
        _ => Vec::new(),
    }
}
