//! Updates the lists of backend servers from the current configuration.

use super::{MAX_SAVED_HEDGES, Outbound, ServiceBalancer};
use crate::current_config::CurrentConfig;
use cherrystream_core::choose::{self, Distance, ServerId, ServerTable};
use cherrystream_core::retry::RetryBudget;
use cherrystream_core::routes::RouteIndex;
use cherrystream_core::shared;
use cherrystream_schema::messages::{Instance, ServerState, Shared};
use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;
use std::sync::Arc;

impl Outbound {
    /// Applies a configuration.
    pub fn apply_config(&self, current: &CurrentConfig) {
        self.set_routes(current);
        let shared = &current.shared;
        self.quotas.apply_config(shared, self.routes());
        let mut lists = self.listed_servers(shared);
        self.add_instances(current, &mut lists);
        let mut canaries = self.split_versions(shared, &mut lists);
        let max_saved = self.retries.extra / shared.hosts.len().max(1) as f64;
        let mut balancers = self.balancers.write();
        balancers.retain(|service, _| lists.contains_key(service));
        for (service, ids) in lists {
            let balancer = balancers.entry(service.clone()).or_insert_with(|| {
                let table = ServerTable::new(choose::policy(self.policy));
                let rng = SmallRng::seed_from_u64(rand::random());
                let budget = RetryBudget::new(self.retries.share);
                let hedges = RetryBudget::new(self.retries.hedge_share);
                Arc::new(Mutex::new(ServiceBalancer { table, canary: None, rng, budget, hedges }))
            });
            let mut balancer = balancer.lock();
            balancer.table.set_servers(ids);
            balancer.set_canary(self.policy, canaries.remove(&service));
            balancer.budget.bound(max_saved.max(1.0));
            balancer.hedges.bound(MAX_SAVED_HEDGES);
        }
        drop(balancers);
        self.apply_known_signals(current);
        self.peers.retain(|address| shared.hosts.values().any(|h| h.peer_address == address));
    }

    /// Builds the index of routes and workspaces. It is rebuilt only when these change, as tables
    /// may be long.
    fn set_routes(&self, current: &CurrentConfig) {
        let (table, config) = (current.routes.as_deref(), &current.shared.config);
        let number = table.map_or(0, |table| table.number);
        if !self.routes.read().is_of(number, config) {
            *self.routes.write() = Arc::new(RouteIndex::new(table, config));
        }
    }

    /// Returns the backend servers listed in the configuration, by service.
    fn listed_servers(&self, shared: &Shared) -> BTreeMap<Arc<str>, Vec<ServerId>> {
        let mut lists = BTreeMap::new();
        for (service, entry) in &shared.config.services {
            let id = |(name, server): (&String, &cherrystream_schema::messages::BackendServer)| {
                ServerId {
                    name: name.as_str().into(),
                    host: server.host.as_str().into(),
                    slots: server.slots,
                    distance: self.distance(shared, &server.host),
                    out: shared::is_out(shared, &server.host),
                    crossing_cost: self.crossing_cost,
                    born_ms: 0,
                    registered: false,
                }
            };
            let ids = entry.backend_servers.iter().map(id).collect();
            lists.insert(service.as_str().into(), ids);
        }
        lists
    }

    /// Adds the registered instances, and the services named in routes.
    fn add_instances(
        &self,
        current: &CurrentConfig,
        lists: &mut BTreeMap<Arc<str>, Vec<ServerId>>,
    ) {
        let shared = &current.shared;
        for service in current.routes.iter().flat_map(|table| table.services.keys()) {
            lists.entry(service.as_str().into()).or_default();
        }
        self.add_instances_in_state(shared, ServerState::Live, lists);
        let mut leaving = BTreeMap::new();
        self.add_instances_in_state(shared, ServerState::Draining, &mut leaving);
        // Servers that are leaving are of use only to a service that has no other.
        for (service, ids) in leaving {
            let list = lists.entry(service).or_default();
            if list.is_empty() {
                *list = ids;
            }
        }
    }

    fn add_instances_in_state(
        &self,
        shared: &Shared,
        state: ServerState,
        lists: &mut BTreeMap<Arc<str>, Vec<ServerId>>,
    ) {
        let in_state = |i: &&Instance| i.state == state;
        for (host, record) in &shared.instances {
            let Some(instance) = Some(&record.instance).filter(in_state) else { continue };
            let id = ServerId {
                name: instance.id.as_str().into(),
                host: host.as_str().into(),
                slots: instance.slots,
                distance: self.distance(shared, host),
                out: shared::is_out(shared, host),
                crossing_cost: self.crossing_cost,
                born_ms: instance.born_ms,
                registered: true,
            };
            lists.entry(instance.service.as_str().into()).or_default().push(id);
        }
    }

    fn distance(&self, shared: &Shared, host: &str) -> Distance {
        if host == &*self.host {
            return Distance::SameHost;
        }
        match shared.hosts.get(host) {
            Some(h) if h.failure_domain == self.record.failure_domain => Distance::SameDomain,
            Some(h) if h.region != self.record.region => Distance::OtherRegion,
            _ => Distance::SameRegion,
        }
    }
}
