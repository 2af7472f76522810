//! Roll-outs: requests of a service are shifted step by step to backend servers of a canary
//! version, and back if it is worse than the old versions.
//!
//! The request of the operator and each step are in the replicated log. The leader of control
//! decides the steps from counts of the daemons beside the backend servers ([`controller`],
//! [`evaluation`]). Outbounds send the canary the share of requests that the step allows. Inbounds
//! refuse the rest, and stop admitting requests to the canary when control is silent or most
//! responses fail ([`guard`]).

pub mod controller;
pub mod counts;
pub mod evaluation;
mod forecast;
pub mod guard;
pub mod plan;

use crate::shared;
use cherrystream_schema::messages::{Change, Instance, Rollout, RolloutStage, ServerState, Shared};
use std::collections::BTreeSet;

/// Time after its deadline within which a repeated request for a rolled-back roll-out is treated as
/// a retry of a lost acknowledgement. Covers the clock differences between hosts.
const RETRY_WINDOW_MS: u64 = 10_000;

/// The requests that a roll-out allows for a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exposure {
    /// Not restricted.
    Unrestricted,
    /// Canary: limited to the current exposure.
    Canary {
        /// Thousandths of the requests of the service.
        exposure_milli: u32,
    },
    /// No new requests.
    Closed,
}

/// Returns the requests that a roll-out allows for a version.
pub fn exposure(rollout: Option<&Rollout>, version: &str) -> Exposure {
    let Some(rollout) = rollout else { return Exposure::Unrestricted };
    if version == rollout.version {
        return match rollout.stage {
            RolloutStage::Trying => Exposure::Canary { exposure_milli: rollout.exposure_milli },
            RolloutStage::Moving | RolloutStage::Completed => Exposure::Unrestricted,
            RolloutStage::RolledBack => Exposure::Closed,
        };
    }
    let replaced = matches!(rollout.stage, RolloutStage::Moving | RolloutStage::Completed);
    match contains(&rollout.held_back, version) || replaced && contains(&rollout.old, version) {
        true => Exposure::Closed,
        false => Exposure::Unrestricted,
    }
}

/// Returns whether every request to a version is refused, because it was rolled back.
pub fn is_held_back(rollout: Option<&Rollout>, version: &str) -> bool {
    let Some(rollout) = rollout else { return false };
    let rolled_back = rollout.stage == RolloutStage::RolledBack && version == rollout.version;
    rolled_back || contains(&rollout.held_back, version)
}

/// Returns whether a roll-out is neither completed nor rolled back.
pub fn is_in_progress(rollout: &Rollout) -> bool {
    matches!(rollout.stage, RolloutStage::Trying | RolloutStage::Moving)
}

/// Returns whether the last roll-out of a service is neither completed nor rolled back.
pub fn is_in_progress_for(shared: &Shared, service: &str) -> bool {
    shared.config.rollouts.get(service).is_some_and(is_in_progress)
}

fn contains(sorted: &[String], version: &str) -> bool {
    sorted.binary_search_by(|known| known.as_str().cmp(version)).is_ok()
}

/// A request of an operator to start a roll-out.
#[derive(Clone, Copy, Debug)]
pub struct StartRequest<'a> {
    /// Service that is rolled out.
    pub service: &'a str,
    /// Canary version.
    pub version: &'a str,
    /// Milliseconds until the deadline, by which it is completed or rolled back.
    pub within_ms: u64,
    /// Unix milliseconds of the request.
    pub at_ms: u64,
}

/// Relation of a request to the last roll-out of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relation {
    /// No conflict: the request starts a roll-out.
    Unrelated,
    /// The request repeats the one that started it.
    Repeated,
    /// Another roll-out is in progress.
    Conflicting,
}

impl StartRequest<'_> {
    /// Returns how the request relates to the last roll-out of the service.
    pub fn relation(&self, shared: &Shared) -> Relation {
        let Some(known) = shared.config.rollouts.get(self.service) else {
            return Relation::Unrelated;
        };
        let same = known.version == self.version && known.within_ms == self.within_ms;
        let late = known.started_at_ms + known.within_ms + RETRY_WINDOW_MS;
        match known.stage {
            RolloutStage::Trying | RolloutStage::Moving if !same => Relation::Conflicting,
            RolloutStage::Trying | RolloutStage::Moving => Relation::Repeated,
            RolloutStage::Completed if known.version == self.version => Relation::Repeated,
            RolloutStage::RolledBack if same && self.at_ms < late => Relation::Repeated,
            RolloutStage::Completed | RolloutStage::RolledBack => Relation::Unrelated,
        }
    }
}

/// Starts a roll-out. A repeated or conflicting request changes nothing.
pub(crate) fn start(shared: &mut Shared, request: &StartRequest<'_>) {
    if request.relation(shared) != Relation::Unrelated {
        return;
    }
    let earlier = shared.config.rollouts.get(request.service);
    let mut held_back: BTreeSet<String> = earlier.map(versions_held_back_after).unwrap_or_default();
    held_back.remove(request.version);
    let others = |i: &&Instance| i.version != request.version && !held_back.contains(&i.version);
    let old: BTreeSet<String> =
        live_instances(shared, request.service).filter(others).map(|i| i.version.clone()).collect();
    let rollout = Rollout {
        version: request.version.into(),
        old: old.into_iter().filter(|version| !version.is_empty()).collect(),
        held_back: held_back.into_iter().collect(),
        within_ms: request.within_ms,
        started_at_ms: request.at_ms,
        stage: RolloutStage::Trying,
        exposure_milli: 0,
        reason: String::new(),
    };
    shared.config.rollouts.insert(request.service.into(), rollout);
}

/// Returns the versions that get no requests after a roll-out.
fn versions_held_back_after(rollout: &Rollout) -> BTreeSet<String> {
    let mut held_back: BTreeSet<String> = rollout.held_back.iter().cloned().collect();
    if rollout.stage != RolloutStage::Completed {
        held_back.insert(rollout.version.clone());
    }
    held_back
}

/// Rolls back a roll-out that is in progress.
pub(crate) fn stop(shared: &mut Shared, service: &str) {
    if let Some(rollout) = shared.config.rollouts.get_mut(service).filter(|r| is_in_progress(r)) {
        rollout.stage = RolloutStage::RolledBack;
        rollout.exposure_milli = 0;
        rollout.reason = "stopped by an operator".into();
    }
}

/// Applies a step. A step of another roll-out, or after the end of this one, changes nothing.
pub(crate) fn step(shared: &mut Shared, change: &Change) {
    let Change::StepRollout { service, version, started_at_ms, stage, exposure_milli, reason } =
        change
    else {
        return;
    };
    let meant = |r: &&mut Rollout| r.version == *version && r.started_at_ms == *started_at_ms;
    let known = shared.config.rollouts.get_mut(service).filter(meant);
    let Some(rollout) = known.filter(|rollout| is_in_progress(rollout)) else { return };
    // Old backend servers stop once the roll-out is completed, so it cannot be reverted. Nor does a
    // step lead from moving back to trying.
    if rollout.stage == RolloutStage::Moving && *stage == RolloutStage::Trying {
        return;
    }
    rollout.stage = *stage;
    rollout.exposure_milli = *exposure_milli;
    rollout.reason = reason.clone();
}

/// Handles a new instance: a replaced version that is started again gets requests again.
pub(crate) fn on_new_instance(shared: &mut Shared, instance: &Instance) {
    let completed = |r: &&mut Rollout| r.stage == RolloutStage::Completed;
    if let Some(rollout) = shared.config.rollouts.get_mut(&instance.service).filter(completed) {
        rollout.old.retain(|version| *version != instance.version);
    }
}

/// Returns the live instances of a service, without those on hosts taken out of service.
pub fn live_instances<'a>(
    shared: &'a Shared,
    service: &'a str,
) -> impl Iterator<Item = &'a Instance> {
    let is_live = move |i: &Instance| i.state == ServerState::Live && i.service == service;
    let here = shared.instances.iter().filter(move |(_, record)| is_live(&record.instance));
    here.filter(|(host, _)| !shared::is_out(shared, host)).map(|(_, record)| &record.instance)
}

/// Returns whether a service is configured.
pub fn has_service(shared: &Shared, service: &str) -> bool {
    let routed = shared.routes.as_ref().is_some_and(|table| table.services.contains_key(service));
    routed || shared.config.services.contains_key(service)
}
