//! The backend servers of this host.

mod signals;

use crate::current_config::CurrentConfig;
use crate::local_server::{LocalServer, ServerName};
use crate::metrics::{self, Metrics, ReasonLabel, ServerLabel};
use cherrystream_core::admission;
use cherrystream_core::cold_rate_limit::ColdLimits;
use cherrystream_core::concurrency_limit::{self, Change, ConcurrencyLimit};
use cherrystream_core::health::Check;
use cherrystream_core::rollout;
use cherrystream_net::clock::Clock;
use cherrystream_net::interface::{Fault, ReportError, ReportErrorKind};
use cherrystream_net::pool::Pool;
use cherrystream_schema::messages::{BackendServer, Instance, ServerState};
use cherrystream_schema::settings::RoomKind;
use http::HeaderName;
use parking_lot::{Mutex, RwLock};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Time of the slow start of a backend server.
const SLOW_START: Duration = Duration::from_secs(2);

/// Thousandths of a request in one request.
const MILLI: f64 = 1_000.0;

/// Limits of the backend servers of this host.
#[derive(Clone, Copy, Debug)]
pub struct LocalServerOptions {
    /// Requests that may be queued per slot.
    pub queue_per_slot: f64,
    /// Share of the slots that is used, initially if the concurrency limit is adaptive.
    pub slot_share: f64,
    /// Whether the concurrency limit is that share, or adapts to service times.
    pub concurrency_limit: RoomKind,
    /// Factor on the stated rate limit of a cold backend server.
    pub cold_over: f64,
    /// Requests above that limit that are allowed within any second.
    pub cold_slack: f64,
    /// Time for which a backend server that is leaving serves requests that no other one accepts.
    pub leaving_grace: Duration,
}

/// The backend servers of this host by service and name.
pub struct LocalServers {
    host: Arc<str>,
    opts: LocalServerOptions,
    clock: Clock,
    /// Header of an answer that holds the identifier of its request.
    id_header: HeaderName,
    metrics: Metrics,
    /// Rate limits of cold backend servers by service, once a configuration is in force. Locked
    /// last.
    cold_limits: RwLock<Option<BTreeMap<String, ColdLimits>>>,
    servers: RwLock<BTreeMap<ServerName, Arc<LocalServer>>>,
    /// Services of the configuration, once there is a route table. Never locked together with
    /// another lock.
    services: RwLock<Option<BTreeSet<String>>>,
    /// Kinds of bad reports that were logged. Never locked together with another lock.
    logged_misreports: Mutex<BTreeSet<ReportErrorKind>>,
    /// The instance that reports itself to this daemon.
    instance: RwLock<Option<CurrentInstance>>,
    /// Number of backend servers that have stated that they are leaving.
    leaving: watch::Sender<u64>,
}

/// The running instance that reports itself to this daemon.
struct CurrentInstance {
    server: Arc<LocalServer>,
    born_ms: u64,
}

impl CurrentInstance {
    fn matches(&self, report: &Instance) -> bool {
        let id = &self.server.id;
        let same_name = *id.service == *report.service && *id.name == *report.id;
        let same_address = self.server.backend.address() == report.address;
        let same_start = self.born_ms == report.born_ms && *self.server.version == *report.version;
        same_name && same_address && same_start
    }
}

impl LocalServers {
    /// Creates a host without backend servers.
    pub fn new(
        host: Arc<str>,
        opts: LocalServerOptions,
        clock: Clock,
        id_header: HeaderName,
        metrics: Metrics,
    ) -> LocalServers {
        LocalServers {
            host,
            opts,
            clock,
            id_header,
            metrics,
            cold_limits: RwLock::default(),
            servers: RwLock::default(),
            services: RwLock::default(),
            logged_misreports: Mutex::default(),
            instance: RwLock::default(),
            leaving: watch::Sender::new(0),
        }
    }

    /// Returns the backend server of a service with a name.
    pub fn get(&self, service: &str, name: &str) -> Option<Arc<LocalServer>> {
        let name = ServerName::new(service, name);
        if let Some(current) = self.instance.read().as_ref().filter(|c| c.server.id == name) {
            return Some(current.server.clone());
        }
        self.servers.read().get(&name).cloned()
    }

    /// Returns whether a backend server has not been removed or replaced.
    fn is_current(&self, server: &LocalServer) -> bool {
        self.get(&server.id.service, &server.id.name).is_some_and(|s| std::ptr::eq(&*s, server))
    }

    /// Returns the instance that reports itself to this daemon, if it belongs to a service.
    pub fn instance_of(&self, service: &str) -> Option<Arc<LocalServer>> {
        let instance = self.instance.read();
        let current = instance.as_ref().filter(|c| *c.server.id.service == *service);
        current.map(|current| current.server.clone())
    }

    /// Returns the backend servers that the configuration lists; these are health-checked.
    pub fn listed(&self) -> Vec<Arc<LocalServer>> {
        self.servers.read().values().cloned().collect()
    }

    /// Returns the instance that reports itself to this daemon.
    pub fn instance(&self) -> Option<Arc<LocalServer>> {
        self.instance.read().as_ref().map(|current| current.server.clone())
    }

    /// Handles the latest report of the instance; `is_new` states whether it received no request
    /// before this process knew it. Requests in flight at a previous instance finish. An instance
    /// that restarted under the same identifier gets new admission control, reservations, warmth,
    /// service times and connections; requests queued at the previous one are refused, so that
    /// they may be sent elsewhere.
    pub fn set_instance(&self, instance: Option<&Instance>, is_new: bool) {
        let Some(report) = instance else { return };
        let mut slot = self.instance.write();
        let known = slot.as_ref().filter(|current| current.matches(report));
        let server = match known {
            Some(current) => current.server.clone(),
            None => {
                let previous = slot.as_ref().map(|current| &*current.server);
                self.create_for_instance(report, is_new, previous)
            }
        };
        let previous =
            slot.replace(CurrentInstance { server: server.clone(), born_ms: report.born_ms });
        drop(slot);
        if let Some(previous) = previous.as_ref().filter(|p| !p.matches(report)) {
            self.metrics.backpressure.on_replaced(&previous.server.id.name);
        }
        if let Some(previous) = previous.filter(|p| p.server.id == server.id && !p.matches(report))
        {
            previous.server.on_check(Check::Reported(ServerState::Down));
        }
        server.on_check(Check::Reported(report.state));
    }

    fn create_for_instance(
        &self,
        report: &Instance,
        is_new: bool,
        previous: Option<&LocalServer>,
    ) -> Arc<LocalServer> {
        let name = ServerName::new(&report.service, &report.id);
        let opts = self.options(&report.service, report.slots);
        let server = LocalServer::new(name, self.pool(&report.address), opts, 0, self.clock);
        let server = server.with_instance(report).with_leaving_grace(self.opts.leaving_grace);
        self.init_concurrency_limit(&server, opts, previous);
        if is_new {
            server.on_new_instance();
        }
        Arc::new(server)
    }

    /// Applies the accepted configuration. Requests in flight at a removed backend server finish.
    pub fn apply_config(&self, config: &CurrentConfig) {
        self.set_cold_limits(config);
        self.set_services(config);
        self.set_rollout(config);
        let shared = &config.shared;
        let mut servers = self.servers.write();
        let mut old = std::mem::take(&mut *servers);
        for (service, entry) in &shared.config.services {
            let here = entry.backend_servers.iter().filter(|(_, s)| *s.host == *self.host);
            for (name, backend_server) in here {
                let key = ServerName::new(service, name);
                let server = match old
                    .remove(&key)
                    .filter(|d| d.backend.address() == backend_server.address)
                {
                    Some(server) => {
                        server.set_options(
                            self.options(service, backend_server.slots),
                            entry.measuring_per_second,
                        );
                        server
                    }
                    None => Arc::new(self.create(&key, backend_server, entry.measuring_per_second)),
                };
                servers.insert(key, server);
            }
        }
    }

    /// Sets the roll-out in progress of the service of the instance.
    fn set_rollout(&self, config: &CurrentConfig) {
        let Some(server) = self.instance() else { return };
        let rollout = config.shared.config.rollouts.get(&*server.id.service);
        let in_progress = rollout.filter(|rollout| rollout::is_in_progress(rollout));
        server.set_rollout(in_progress.map(|rollout| rollout.started_at_ms));
    }

    /// Applies the rate limits of cold backend servers.
    fn set_cold_limits(&self, config: &CurrentConfig) {
        let stated = config.routes.iter().flat_map(|table| &table.services);
        let limits = stated.filter_map(|(name, service)| {
            let per_second = f64::from(service.cold_milli_per_s?) / MILLI;
            let limits = ColdLimits::new(per_second, self.opts.cold_over, self.opts.cold_slack);
            Some((name.clone(), limits))
        });
        *self.cold_limits.write() = Some(limits.collect());
        if let Some(server) = self.instance() {
            server.set_cold(self.cold_limits(&server.id.service));
        }
    }

    /// Discards the reported warmth of the instance.
    pub fn invalidate_warmth(&self) {
        if let Some(server) = self.instance() {
            server.invalidate_warmth();
        }
    }

    fn cold_limits(&self, service: &str) -> Option<ColdLimits> {
        self.cold_limits.read().as_ref()?.get(service).copied()
    }

    /// Returns whether the configuration holds a service, or no configuration was received yet.
    pub fn may_exist(&self, service: &str) -> bool {
        self.services.read().as_ref().is_none_or(|services| services.contains(service))
    }

    /// Stores the names of the services of the configuration.
    fn set_services(&self, config: &CurrentConfig) {
        let Some(table) = &config.routes else { return };
        let listed = config.shared.config.services.keys();
        *self.services.write() = Some(table.services.keys().chain(listed).cloned().collect());
    }

    /// Counts a rejected report, and logs the first one of each kind.
    pub fn on_bad_report(&self, bad: &ReportError) {
        let kind = bad.kind;
        let label = metrics::ReasonLabel { reason: kind.as_str() };
        self.metrics.bad_reports.get_or_create(&label).inc();
        if self.logged_misreports.lock().insert(kind) {
            let Fault { what, remedy } = &bad.fault;
            log::warn!("daemon: report rejected: {}: {what}; {remedy}", kind.as_str());
        }
    }

    /// Returns whether a configuration is in force on this host.
    pub fn is_configured(&self) -> bool {
        self.cold_limits.read().is_some()
    }

    fn create(
        &self,
        name: &ServerName,
        backend_server: &BackendServer,
        probes_per_second: u32,
    ) -> LocalServer {
        let backend = self.pool(&backend_server.address);
        let opts = self.options(&name.service, backend_server.slots);
        let server = LocalServer::new(name.clone(), backend, opts, probes_per_second, self.clock);
        self.init_concurrency_limit(&server, opts, None);
        server.with_leaving_grace(self.opts.leaving_grace)
    }

    /// Gives a new backend server an adaptive concurrency limit, if the settings ask for one. It
    /// starts from the limit of the previous instance of the same service.
    fn init_concurrency_limit(
        &self,
        server: &LocalServer,
        opts: admission::Options,
        previous: Option<&LocalServer>,
    ) {
        let is_adaptive = match self.opts.concurrency_limit {
            RoomKind::Fixed => false,
            RoomKind::Learned => true,
            RoomKind::LearnedIfRounded => {
                concurrency_limit::loses_by_rounding(opts.slots, opts.share)
            }
        };
        if !is_adaptive {
            return;
        }
        let previous = previous.filter(|old| old.id.service == server.id.service);
        let limit = previous
            .and_then(LocalServer::concurrency_limit)
            .unwrap_or_else(|| ConcurrencyLimit::new(opts.slots, opts.share));
        server.set_concurrency_limit(limit.with_slots(opts.slots, opts.share));
    }

    /// Counts and logs the changes of the adaptive concurrency limits.
    pub fn record_limit_changes(&self) {
        for server in self.listed().into_iter().chain(self.instance()) {
            for change in server.take_limit_changes() {
                self.record_limit_change(&server, change);
            }
        }
    }

    fn record_limit_change(&self, server: &LocalServer, change: Change) {
        let cause = change.cause.as_str();
        let name = server.id.name.to_string();
        log::info!(
            "room of {name}: concurrency limit {}, previously {}: {cause}",
            change.to,
            change.from
        );
        self.metrics.room_changes.get_or_create(&ReasonLabel { reason: cause }).inc();
        self.metrics.room.get_or_create(&ServerLabel { server: name }).set(i64::from(change.to));
    }

    fn pool(&self, address: &str) -> Pool {
        Pool::new(address, self.metrics.connects.clone()).with_id(self.id_header.clone())
    }

    fn options(&self, service: &str, slots: u32) -> admission::Options {
        let queue = (f64::from(slots) * self.opts.queue_per_slot).ceil() as u32;
        let cold = self.cold_limits(service);
        admission::Options { slots, queue, ramp: SLOW_START, share: self.opts.slot_share, cold }
    }
}
