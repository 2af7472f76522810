//! The doors of this host's backend servers.

use crate::current_config::CurrentConfig;
use crate::door::{Door, ServerName};
use crate::metrics::{self, Metrics, ReasonLabel, ServerLabel};
use cherrystream_core::admission;
use cherrystream_core::cold_rate_limit::ColdLimits;
use cherrystream_core::concurrency_limit::{self, Change, ConcurrencyLimit};
use cherrystream_core::health::Check;
use cherrystream_core::rollout;
use cherrystream_net::clock::Clock;
use cherrystream_net::interface::{BadReport, Fault, Misreport};
use cherrystream_net::pool::Pool;
use cherrystream_schema::messages::{BackendServer, Instance, ServerState};
use cherrystream_schema::settings::RoomKind;
use http::HeaderName;
use parking_lot::{Mutex, RwLock};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Time over which a backend server that starts gets its full slots.
const RAMP: Duration = Duration::from_secs(2);

/// Thousandths of a request.
const MILLI: f64 = 1_000.0;

/// How much the backend servers of this host are given.
#[derive(Clone, Copy, Debug)]
pub struct DoorOptions {
    /// Requests that may wait for each slot.
    pub queue_per_slot: f64,
    /// Share of the slots that is used.
    pub slot_share: f64,
    /// Whether it stays at that share, or is learned from answers.
    pub room: RoomKind,
    /// How many times its own figure a cold backend server may get in a second.
    pub cold_over: f64,
    /// Requests beyond that which it may get in any one second.
    pub cold_slack: f64,
}

/// The doors by service and name.
pub struct Doors {
    host: Arc<str>,
    opts: DoorOptions,
    clock: Clock,
    /// Header by which an answer names its request.
    id_header: HeaderName,
    metrics: Metrics,
    /// What cold backend servers take, by service, once a configuration is in force. Taken last.
    cold: RwLock<Option<BTreeMap<String, ColdLimits>>>,
    doors: RwLock<BTreeMap<ServerName, Arc<Door>>>,
    /// Services that the configuration names, once there is a route table. Taken with no other lock.
    services: RwLock<Option<BTreeSet<String>>>,
    /// Ways in which reports were bad. Taken with no other lock.
    bad_reports: Mutex<BTreeSet<Misreport>>,
    /// Door to the instance that reports itself to this daemon.
    instance: RwLock<Option<Beside>>,
}

/// The door to a run of the instance beside this daemon.
struct Beside {
    door: Arc<Door>,
    born_ms: u64,
}

impl Beside {
    fn is_for(&self, word: &Instance) -> bool {
        let id = &self.door.id;
        let same_name = *id.service == *word.service && *id.name == *word.id;
        let same_place = self.door.backend.address() == word.address;
        let same_run = self.born_ms == word.born_ms && *self.door.version == *word.version;
        same_name && same_place && same_run
    }
}

impl Doors {
    /// Creates a host without doors.
    pub fn new(
        host: Arc<str>,
        opts: DoorOptions,
        clock: Clock,
        id_header: HeaderName,
        metrics: Metrics,
    ) -> Doors {
        Doors {
            host,
            opts,
            clock,
            id_header,
            metrics,
            cold: RwLock::default(),
            doors: RwLock::default(),
            services: RwLock::default(),
            bad_reports: Mutex::default(),
            instance: RwLock::default(),
        }
    }

    /// Returns a door.
    pub fn get(&self, service: &str, name: &str) -> Option<Arc<Door>> {
        let name = ServerName::new(service, name);
        if let Some(beside) = self.instance.read().as_ref().filter(|b| b.door.id == name) {
            return Some(beside.door.clone());
        }
        self.doors.read().get(&name).cloned()
    }

    /// Returns the door to the instance that reports itself, if it is of a service.
    pub fn instance_of(&self, service: &str) -> Option<Arc<Door>> {
        let instance = self.instance.read();
        let beside = instance.as_ref().filter(|b| *b.door.id.service == *service);
        beside.map(|beside| beside.door.clone())
    }

    /// Returns the doors to backend servers that operators have listed; these are measured.
    pub fn listed(&self) -> Vec<Arc<Door>> {
        self.doors.read().values().cloned().collect()
    }

    /// Returns the door to the instance that reports itself.
    pub fn instance(&self) -> Option<Arc<Door>> {
        self.instance.read().as_ref().map(|beside| beside.door.clone())
    }

    /// Takes the instance's latest word, and whether this process was the first to hear of it. The door of an earlier one
    /// lets those inside finish. A run that started again under the same identifier gets a door of its own: admission,
    /// kept slots, warmth, usual times and connections all begin with it, and what waits at the earlier door goes elsewhere.
    pub fn set_instance(&self, instance: Option<&Instance>, is_new: bool) {
        let Some(word) = instance else { return };
        let mut slot = self.instance.write();
        let known = slot.as_ref().filter(|beside| beside.is_for(word));
        let door = match known {
            Some(beside) => beside.door.clone(),
            None => {
                let earlier = slot.as_ref().map(|beside| &*beside.door);
                self.open_beside(word, is_new, earlier)
            }
        };
        let earlier = slot.replace(Beside { door: door.clone(), born_ms: word.born_ms });
        drop(slot);
        if let Some(earlier) = earlier.filter(|b| b.door.id == door.id && !b.is_for(word)) {
            earlier.door.on_check(Check::Reported(ServerState::Down));
        }
        door.on_check(Check::Reported(word.state));
    }

    fn open_beside(&self, word: &Instance, is_new: bool, earlier: Option<&Door>) -> Arc<Door> {
        let name = ServerName::new(&word.service, &word.id);
        let opts = self.options(&word.service, word.slots);
        let door = Door::new(name, self.pool(&word.address), opts, 0, self.clock);
        let door = door.with_version(&word.version);
        self.learn_room(&door, opts, earlier);
        if is_new {
            door.on_new();
        }
        Arc::new(door)
    }

    /// Takes the accepted configuration. A door that goes lets those inside finish.
    pub fn set(&self, held: &CurrentConfig) {
        self.set_cold(held);
        self.set_services(held);
        self.follow_rollouts(held);
        let shared = &held.shared;
        let mut doors = self.doors.write();
        let mut old = std::mem::take(&mut *doors);
        for (service, entry) in &shared.config.services {
            let here = entry.backend_servers.iter().filter(|(_, s)| *s.host == *self.host);
            for (name, server) in here {
                let key = ServerName::new(service, name);
                let door = match old.remove(&key).filter(|d| d.backend.address() == server.address)
                {
                    Some(door) => {
                        door.set_options(
                            self.options(service, server.slots),
                            entry.measuring_per_second,
                        );
                        door
                    }
                    None => Arc::new(self.open(&key, server, entry.measuring_per_second)),
                };
                doors.insert(key, door);
            }
        }
    }

    /// Has the door to the instance follow the roll-out of its service.
    fn follow_rollouts(&self, held: &CurrentConfig) {
        let Some(door) = self.instance() else { return };
        let known = held.shared.config.rollouts.get(&*door.id.service);
        let under_way = known.filter(|rollout| rollout::is_in_progress(rollout));
        door.follow_rollout(under_way.map(|rollout| rollout.started_at_ms));
    }

    /// Takes what cold backend servers take.
    fn set_cold(&self, held: &CurrentConfig) {
        let stated = held.routes.iter().flat_map(|table| &table.services);
        let limits = stated.filter_map(|(name, service)| {
            let per_second = f64::from(service.cold_milli_per_s?) / MILLI;
            let limits = ColdLimits::new(per_second, self.opts.cold_over, self.opts.cold_slack);
            Some((name.clone(), limits))
        });
        *self.cold.write() = Some(limits.collect());
        if let Some(door) = self.instance() {
            door.set_cold(self.cold_limits(&door.id.service));
        }
    }

    /// Forgets what was heard of the warmth of this host's backend server.
    pub fn doubt_warmth(&self) {
        if let Some(door) = self.instance() {
            door.doubt_warmth();
        }
    }

    fn cold_limits(&self, service: &str) -> Option<ColdLimits> {
        self.cold.read().as_ref()?.get(service).copied()
    }

    /// Returns whether the configuration names a service, or is not known yet.
    pub fn knows(&self, service: &str) -> bool {
        self.services.read().as_ref().is_none_or(|services| services.contains(service))
    }

    /// Takes the names of the services.
    fn set_services(&self, held: &CurrentConfig) {
        let Some(table) = &held.routes else { return };
        let listed = held.shared.config.services.keys();
        *self.services.write() = Some(table.services.keys().chain(listed).cloned().collect());
    }

    /// Notes a report that is not taken: counted, and logged the first time that one is bad in this way.
    pub fn on_bad_report(&self, bad: &BadReport) {
        let kind = bad.kind;
        let label = metrics::ReasonLabel { reason: kind.as_str() };
        self.metrics.bad_reports.get_or_create(&label).inc();
        if self.bad_reports.lock().insert(kind) {
            let Fault { what, remedy } = &bad.fault;
            log::warn!("daemon: report not taken: {}: {what}; {remedy}", kind.as_str());
        }
    }

    /// Returns whether a configuration is in force here.
    pub fn is_configured(&self) -> bool {
        self.cold.read().is_some()
    }

    fn open(&self, name: &ServerName, server: &BackendServer, measuring_per_second: u32) -> Door {
        let backend = self.pool(&server.address);
        let opts = self.options(&name.service, server.slots);
        let door = Door::new(name.clone(), backend, opts, measuring_per_second, self.clock);
        self.learn_room(&door, opts, None);
        door
    }

    /// Lets a new door learn its room, from what is known of the predecessor in the same service.
    fn learn_room(&self, door: &Door, opts: admission::Options, predecessor: Option<&Door>) {
        let learns = match self.opts.room {
            RoomKind::Fixed => false,
            RoomKind::Learned => true,
            RoomKind::LearnedIfRounded => {
                concurrency_limit::loses_by_rounding(opts.slots, opts.share)
            }
        };
        if !learns {
            return;
        }
        let known = predecessor.filter(|old| old.id.service == door.id.service);
        let room = known
            .and_then(Door::room)
            .unwrap_or_else(|| ConcurrencyLimit::new(opts.slots, opts.share));
        door.learn_room(room.with_slots(opts.slots, opts.share));
    }

    /// Counts and logs what the doors have learned of their room.
    pub fn tell_room(&self) {
        for door in self.listed().into_iter().chain(self.instance()) {
            for change in door.take_room_changes() {
                self.tell_change(&door, change);
            }
        }
    }

    fn tell_change(&self, door: &Door, change: Change) {
        let cause = change.cause.as_str();
        let server = door.id.name.to_string();
        log::info!(
            "room of {server}: {} requests at once in place of {}, {cause}",
            change.to,
            change.from
        );
        self.metrics.room_changes.get_or_create(&ReasonLabel { reason: cause }).inc();
        self.metrics.room.get_or_create(&ServerLabel { server }).set(i64::from(change.to));
    }

    fn pool(&self, address: &str) -> Pool {
        Pool::new(address, self.metrics.connects.clone()).with_id(self.id_header.clone())
    }

    fn options(&self, service: &str, slots: u32) -> admission::Options {
        let queue = (f64::from(slots) * self.opts.queue_per_slot).ceil() as u32;
        let cold = self.cold_limits(service);
        admission::Options { slots, queue, ramp: RAMP, share: self.opts.slot_share, cold }
    }
}
