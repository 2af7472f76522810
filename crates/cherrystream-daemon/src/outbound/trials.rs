//! The share of requests that a version under trial is offered.

use super::request::Call;
use super::{Choosing, Outbound};
use cherrystream_core::choose::{self, ServerId, ServerTable};
use cherrystream_core::rollout::{self, Exposure};
use cherrystream_core::units::Timestamp;
use cherrystream_schema::messages::{Rollout, Shared};
use cherrystream_schema::settings::ChoicePolicy;
use rand::Rng;
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::sync::Arc;

/// Backend servers that are tried at least, where there are as many: with one alone, its own trouble would look like that
/// of the version.
const TRIED_AT_LEAST: usize = 2;

/// The backend servers of a version under trial.
pub(crate) struct Trial {
    pub(super) table: ServerTable,
    /// Share of the requests that it is offered.
    exposure: f64,
}

/// Backend servers that are to be tried, and how much.
pub(super) struct UnderTrial {
    ids: Vec<ServerId>,
    exposure: f64,
}

impl Choosing {
    /// Takes the version under trial; what is known of its backend servers is kept.
    pub(super) fn set_trial(&mut self, policy: ChoicePolicy, tried: Option<UnderTrial>) {
        let Some(UnderTrial { ids, exposure }) = tried else {
            self.trial = None;
            return;
        };
        let table = || ServerTable::new(choose::policy(policy));
        let trial = self.trial.get_or_insert_with(|| Trial { table: table(), exposure });
        trial.exposure = exposure;
        trial.table.set_servers(ids);
    }
}

impl Outbound {
    /// Takes the backend servers out of the lists that a roll-out closes or tries; returns those that it tries.
    pub(super) fn part_versions(
        &self,
        shared: &Shared,
        lists: &mut BTreeMap<Arc<str>, Vec<ServerId>>,
    ) -> BTreeMap<Arc<str>, UnderTrial> {
        let mut trials = BTreeMap::new();
        for (service, rollout) in &shared.config.rollouts {
            let Some(ids) = lists.get_mut(service.as_str()) else { continue };
            if let Some(tried) = part_list(shared, service, rollout, ids) {
                trials.insert(service.as_str().into(), tried);
            }
        }
        trials
    }

    /// Decides whether a request is offered to the version under trial first.
    pub(super) fn draws_trial(&self, call: &Call) -> bool {
        let Some(table) = self.table(&call.service).filter(|_| !call.alone) else { return false };
        let mut choosing = table.lock();
        let Choosing { trial, rng, .. } = &mut *choosing;
        trial.as_ref().is_some_and(|trial| rng.random::<f64>() < trial.exposure)
    }

    /// Chooses a backend server of the version under trial, for a request that was drawn for it. It is offered once: the
    /// old ones serve it when it is turned down there.
    pub(super) fn choose_on_trial(&self, call: &mut Call, now: Timestamp) -> Option<ServerId> {
        if !std::mem::take(&mut call.on_trial) {
            return None;
        }
        let table = self.table(&call.service)?;
        let mut choosing = table.lock();
        let Choosing { trial, rng, .. } = &mut *choosing;
        let table = &mut trial.as_mut()?.table;
        let mut avoided = self.barred(call, table);
        avoided.extend(call.tried.iter().cloned());
        table.choose_free(now, rng, &avoided, &call.class.kind)
    }
}

/// Parts the backend servers of a service by their versions.
fn part_list(
    shared: &Shared,
    service: &str,
    rollout: &Rollout,
    ids: &mut Vec<ServerId>,
) -> Option<UnderTrial> {
    // Where no backend server of the version is left, the old ones are better than none.
    let is_there = rollout::live_instances(shared, service).any(|i| i.version == rollout.version);
    let mut tried = Vec::new();
    let mut exposure = 0.0;
    ids.retain(|id| {
        let version = version_of(shared, id);
        match rollout::exposure(Some(rollout), version) {
            Exposure::Unrestricted => true,
            Exposure::Closed => !is_there && !rollout::is_held_back(Some(rollout), version),
            Exposure::Canary { exposure_milli } => {
                exposure = f64::from(exposure_milli) / 1_000.0;
                tried.push(id.clone());
                false
            }
        }
    });
    if tried.is_empty() {
        return None;
    }
    // As many as bear their share of the load: a version that is bad under load shows it then.
    let bear = (exposure * ids.len() as f64).ceil() as usize;
    tried.sort_by_cached_key(rank);
    tried.truncate(bear.max(TRIED_AT_LEAST));
    Some(UnderTrial { ids: tried, exposure })
}

fn version_of<'a>(shared: &'a Shared, id: &ServerId) -> &'a str {
    let known = shared.instances.get(&*id.host).map(|record| &record.instance);
    known.filter(|instance| *instance.id == *id.name).map_or("", |instance| &instance.version)
}

/// The order in which backend servers are tried: the same at all daemons.
fn rank(id: &ServerId) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(id.name.as_bytes());
    hasher.finish()
}
