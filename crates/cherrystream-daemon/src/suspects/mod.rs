//! Requests that end backend servers: finds out which, tells other daemons, and decides on requests by what is known.
//!
//! The door of a backend server is the only place that sees at once that it has ended and what was at work ([`at_work`]); what all
//! doors saw is joined here, and told on ([`telling`]). Decisions and their reasons: [`cherrystream_core::suspects`].

mod at_work;
mod telling;

pub use at_work::{AlonePlace, AtWork};
pub use telling::read_bytes;

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

/// What this daemon knows of requests that end backend servers. Its table is locked with no other lock.
pub struct SuspectWatch {
    table: Mutex<Suspects>,
    log: Mutex<LogBudget>,
    tools: Tools,
}

/// What the watch needs.
pub struct Tools {
    /// This host.
    pub host: Arc<str>,
    /// Backend servers of this host.
    pub doors: Arc<LocalServers>,
    /// Shared state held.
    pub held: Arc<CurrentConfigCell>,
    /// Connections to other daemons.
    pub peers: Arc<Peers>,
    /// Key of the system's own processes.
    pub key: Option<Secret>,
    /// Phase of the process.
    pub phases: Phases,
    /// The clock.
    pub clock: Clock,
    /// Metrics.
    pub metrics: Metrics,
}

impl SuspectWatch {
    /// Creates a watch that knows nothing.
    pub fn new(tools: Tools) -> SuspectWatch {
        SuspectWatch { table: Mutex::default(), log: Mutex::default(), tools }
    }

    /// Returns what is done with a request.
    pub fn judge(&self, request: Fingerprint) -> Treatment {
        self.table.lock().treatment(self.tools.clock.now(), request)
    }

    /// Returns the requests under which backend servers ended.
    pub fn list(&self) -> SuspectList {
        SuspectList { suspects: self.table.lock().list(self.tools.clock.now()) }
    }

    /// Clears a request, as an operator wants it; returns whether it was known.
    pub fn lift(self: &Arc<Self>, request: Fingerprint) -> bool {
        let now = self.tools.clock.now();
        let news = self.table.lock().clear(now, request);
        let Some((_, record)) = news else { return false };
        log::info!("suspect: mark={request} standing=clear by=operator");
        // The operator may have asked a daemon of another service.
        self.clone().tell(None, vec![(Audience::All, record)]);
        true
    }

    /// Takes a whole answer of a request that was at work at a door.
    fn on_answer(self: &Arc<Self>, door: &LocalServer, request: Fingerprint) {
        let now = self.tools.clock.now();
        let mut table = self.table.lock();
        let was = table.treatment(now, request);
        let news = table.on_answer(now, request);
        drop(table);
        let Some((audience, record)) = news else { return };
        if was != Treatment::Watched {
            self.tools.metrics.suspects_cleared.inc();
            log::info!("suspect: mark={request} standing=clear by=answer");
        }
        self.clone().tell(Some(door.id.service.clone()), vec![(audience, record)]);
    }

    /// Takes a proved end of a door's backend server.
    fn on_end(self: &Arc<Self>, door: &LocalServer, ended: &Crash) {
        self.tools.metrics.ends_at_work.inc();
        let now = self.tools.clock.now();
        let news = self.table.lock().on_crash(now, ended);
        for (_, record) in &news {
            self.log_end(now, door, ended, record);
        }
        self.clone().tell(Some(door.id.service.clone()), news);
    }

    fn log_end(&self, now: Timestamp, door: &LocalServer, ended: &Crash, record: &Record) {
        let Some(dropped) = self.log.lock().take(now, true) else { return };
        let Record { request, caller, ends, .. } = record;
        let standing = self.standing(now, *request);
        log::info!(
            "suspect: mark={request} caller={:016x} server={} end={:016x} at_work={} ends={} ends_alone={} standing={} \
             lines_dropped={dropped}",
            caller.0,
            door.id.name,
            ended.id.0,
            ended.in_flight.len(),
            ends.len(),
            ends.iter().filter(|end| end.alone).count(),
            standing.as_str(),
        );
    }

    fn standing(&self, now: Timestamp, request: Fingerprint) -> Status {
        match self.table.lock().treatment(now, request) {
            Treatment::Clear => Status::Clear,
            Treatment::Watched => Status::Watched,
            Treatment::Isolated => Status::Isolated,
            Treatment::Quarantined(_) => Status::Quarantined,
        }
    }

    /// Returns whether the end of a door's backend server is planned: its own word, or that of its host.
    fn is_planned(&self, door: &LocalServer) -> bool {
        door.is_draining() || self.tools.phases.now() >= Phase::Draining
    }

    fn show(&self) {
        let table = self.table.lock();
        for standing in [Status::Watched, Status::Isolated, Status::Quarantined] {
            let label = SuspectLabel { standing: standing.as_str() };
            let count = table.count(standing) as i64;
            self.tools.metrics.suspects.get_or_create(&label).set(count);
        }
    }
}
