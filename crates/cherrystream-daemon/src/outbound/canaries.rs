//! Routes a share of the requests to the canary of a roll-out.

use super::request::Call;
use super::{Outbound, ServiceBalancer};
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

/// Smallest number of canary backend servers used, if there are as many. With a single one, a fault
/// of that server would be indistinguishable from a fault of the version.
const MIN_CANARY_SERVERS: usize = 2;

/// Backend servers of a canary.
pub(crate) struct Canary {
    pub(super) table: ServerTable,
    /// Share of the requests that are offered to the canary.
    exposure: f64,
}

/// Backend servers selected for a canary, with its share of the requests.
pub(super) struct CanaryServers {
    ids: Vec<ServerId>,
    exposure: f64,
}

impl ServiceBalancer {
    /// Sets or removes the canary. State of backend servers that stay is kept.
    pub(super) fn set_canary(&mut self, policy: ChoicePolicy, servers: Option<CanaryServers>) {
        let Some(CanaryServers { ids, exposure }) = servers else {
            self.canary = None;
            return;
        };
        let table = || ServerTable::new(choose::policy(policy));
        let canary = self.canary.get_or_insert_with(|| Canary { table: table(), exposure });
        canary.exposure = exposure;
        canary.table.set_servers(ids);
    }
}

impl Outbound {
    /// Removes from the lists the backend servers that a roll-out closes or uses as canary; returns
    /// the canaries by service.
    pub(super) fn split_versions(
        &self,
        shared: &Shared,
        lists: &mut BTreeMap<Arc<str>, Vec<ServerId>>,
    ) -> BTreeMap<Arc<str>, CanaryServers> {
        let mut canaries = BTreeMap::new();
        for (service, rollout) in &shared.config.rollouts {
            let Some(ids) = lists.get_mut(service.as_str()) else { continue };
            if let Some(servers) = split_service(shared, service, rollout, ids) {
                canaries.insert(service.as_str().into(), servers);
            }
        }
        canaries
    }

    /// Returns whether a request is offered to the canary first, at random by its share.
    pub(super) fn draws_canary(&self, call: &Call) -> bool {
        let Some(balancer) = self.balancer(&call.service).filter(|_| !call.alone) else {
            return false;
        };
        let mut balancer = balancer.lock();
        let ServiceBalancer { canary, rng, .. } = &mut *balancer;
        canary.as_ref().is_some_and(|canary| rng.random::<f64>() < canary.exposure)
    }

    /// Chooses a canary backend server for a request drawn for it. The request is offered once; if
    /// it is refused there, the other versions serve it.
    pub(super) fn choose_canary(&self, call: &mut Call, now: Timestamp) -> Option<ServerId> {
        if !std::mem::take(&mut call.try_canary) {
            return None;
        }
        let balancer = self.balancer(&call.service)?;
        let mut balancer = balancer.lock();
        let ServiceBalancer { canary, rng, .. } = &mut *balancer;
        let table = &mut canary.as_mut()?.table;
        let mut excluded = self.excluded_servers(call, table);
        excluded.extend(call.tried.iter().cloned());
        table.choose_free(now, rng, &excluded, &call.class.kind)
    }
}

/// Splits the backend servers of a service by version.
fn split_service(
    shared: &Shared,
    service: &str,
    rollout: &Rollout,
    ids: &mut Vec<ServerId>,
) -> Option<CanaryServers> {
    // Without a live instance of the new version, the old version stays in use.
    let has_live_instance =
        rollout::live_instances(shared, service).any(|i| i.version == rollout.version);
    let mut servers = Vec::new();
    let mut exposure = 0.0;
    ids.retain(|id| {
        let version = version_of(shared, id);
        match rollout::exposure(Some(rollout), version) {
            Exposure::Unrestricted => true,
            Exposure::Closed => {
                !has_live_instance && !rollout::is_held_back(Some(rollout), version)
            }
            Exposure::Canary { exposure_milli } => {
                exposure = f64::from(exposure_milli) / 1_000.0;
                servers.push(id.clone());
                false
            }
        }
    });
    if servers.is_empty() {
        return None;
    }
    // Uses as many as the share needs, so that the canary runs under normal load.
    let count = (exposure * ids.len() as f64).ceil() as usize;
    servers.sort_by_cached_key(hash_rank);
    servers.truncate(count.max(MIN_CANARY_SERVERS));
    Some(CanaryServers { ids: servers, exposure })
}

fn version_of<'a>(shared: &'a Shared, id: &ServerId) -> &'a str {
    let instance = shared.instances.get(&*id.host).map(|record| &record.instance);
    instance.filter(|instance| *instance.id == *id.name).map_or("", |instance| &instance.version)
}

/// Returns the sort key by which canary backend servers are selected, the same at all daemons.
fn hash_rank(id: &ServerId) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(id.name.as_bytes());
    hasher.finish()
}
