//! Detects requests that crash backend servers, and shares the records with other daemons.
//!
//! The daemon beside a backend server detects its crash and tracks the requests in flight
//! ([`in_flight`]). Records of all local servers are merged here and sent to other daemons
//! ([`dissemination`]). The rules for treating a request are in [`cherrystream_core::suspects`].

mod dissemination;
mod in_flight;

pub use dissemination::read_bytes;
pub use in_flight::{InFlightRequest, IsolationPermit};

use crate::current_config::CurrentConfigCell;
use crate::local_server::LocalServer;
use crate::local_servers::LocalServers;
use crate::metrics::{Metrics, SuspectLabel};
use crate::peer::Peers;
use cherrystream_core::log_budget::LogBudget;
use cherrystream_core::suspects::{
    Audience, Crash, Fingerprint, Record, Status, Suspects, Treatment,
};
use cherrystream_core::units::Timestamp;
use cherrystream_net::clock::Clock;
use cherrystream_net::key::Secret;
use cherrystream_net::serve::{Phase, Phases};
use cherrystream_schema::messages::SuspectList;
use parking_lot::Mutex;
use std::sync::Arc;

/// Records of requests that crash backend servers. The lock of the table is never held together
/// with another lock.
pub struct SuspectTracker {
    table: Mutex<Suspects>,
    log: Mutex<LogBudget>,
    deps: Dependencies,
}

/// Dependencies of [`SuspectTracker`].
pub struct Dependencies {
    /// Name of this host.
    pub host: Arc<str>,
    /// Backend servers of this host.
    pub local_servers: Arc<LocalServers>,
    /// The current shared state.
    pub current_config: Arc<CurrentConfigCell>,
    /// Connections to other daemons.
    pub peers: Arc<Peers>,
    /// Key shared by the processes of the system.
    pub key: Option<Secret>,
    /// Phase of the process.
    pub phases: Phases,
    /// Clock of the process.
    pub clock: Clock,
    /// Metrics of the daemon.
    pub metrics: Metrics,
}

impl SuspectTracker {
    /// Creates a tracker without records.
    pub fn new(deps: Dependencies) -> SuspectTracker {
        SuspectTracker { table: Mutex::default(), log: Mutex::default(), deps }
    }

    /// Returns how a request is treated.
    pub fn treatment(&self, request: Fingerprint) -> Treatment {
        self.table.lock().treatment(self.deps.clock.now(), request)
    }

    /// Returns the requests that were in flight when backend servers crashed.
    pub fn list(&self) -> SuspectList {
        SuspectList { suspects: self.table.lock().list(self.deps.clock.now()) }
    }

    /// Clears a request on behalf of an operator; returns whether there was a record of it.
    pub fn clear(self: &Arc<Self>, request: Fingerprint) -> bool {
        let now = self.deps.clock.now();
        let changes = self.table.lock().clear(now, request);
        let Some((_, record)) = changes else { return false };
        log::info!("suspect: mark={request} standing=clear by=operator");
        // The service of the request is unknown here.
        self.clone().disseminate(None, vec![(Audience::All, record)]);
        true
    }

    /// Records the complete response to a request at a backend server.
    fn on_answer(self: &Arc<Self>, server: &LocalServer, request: Fingerprint) {
        let now = self.deps.clock.now();
        let mut table = self.table.lock();
        let previous = table.treatment(now, request);
        let changes = table.on_answer(now, request);
        drop(table);
        let Some((audience, record)) = changes else { return };
        if previous != Treatment::Watched {
            self.deps.metrics.suspects_cleared.inc();
            log::info!("suspect: mark={request} standing=clear by=answer");
        }
        self.clone().disseminate(Some(server.id.service.clone()), vec![(audience, record)]);
    }

    /// Records the crash of a backend server.
    fn on_crash(self: &Arc<Self>, server: &LocalServer, crash: &Crash) {
        self.deps.metrics.ends_at_work.inc();
        let now = self.deps.clock.now();
        let changes = self.table.lock().on_crash(now, crash);
        for (_, record) in &changes {
            self.log_crash(now, server, crash, record);
        }
        self.clone().disseminate(Some(server.id.service.clone()), changes);
    }

    fn log_crash(&self, now: Timestamp, server: &LocalServer, crash: &Crash, record: &Record) {
        let Some(dropped) = self.log.lock().take(now, true) else { return };
        let Record { request, caller, ends, .. } = record;
        let status = self.status(now, *request);
        log::info!(
            "suspect: mark={request} caller={:016x} server={} end={:016x} at_work={} ends={} ends_alone={} standing={} \
             lines_dropped={dropped}",
            caller.0,
            server.id.name,
            crash.id.0,
            crash.in_flight.len(),
            ends.len(),
            ends.iter().filter(|end| end.alone).count(),
            status.as_str(),
        );
    }

    fn status(&self, now: Timestamp, request: Fingerprint) -> Status {
        match self.table.lock().treatment(now, request) {
            Treatment::Clear => Status::Clear,
            Treatment::Watched => Status::Watched,
            Treatment::Isolated => Status::Isolated,
            Treatment::Quarantined(_) => Status::Quarantined,
        }
    }

    /// Returns whether the stop of a backend server is planned: it is draining, or its host is.
    fn is_planned(&self, server: &LocalServer) -> bool {
        server.is_draining() || self.deps.phases.now() >= Phase::Draining
    }

    fn update_metrics(&self) {
        let table = self.table.lock();
        for status in [Status::Watched, Status::Isolated, Status::Quarantined] {
            let label = SuspectLabel { standing: status.as_str() };
            let count = table.count(status) as i64;
            self.deps.metrics.suspects.get_or_create(&label).set(count);
        }
    }
}
