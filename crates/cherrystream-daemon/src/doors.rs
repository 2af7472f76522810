//! The doors of this host's backend servers.

use crate::door::{Door, ServerName};
use crate::metrics::Metrics;
use cherrystream_core::admission;
use cherrystream_core::measuring::Check;
use cherrystream_net::clock::Clock;
use cherrystream_net::pool::Pool;
use cherrystream_schema::messages::{BackendServer, Instance, Shared};
use http::HeaderName;
use parking_lot::RwLock;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time over which a backend server that starts gets its full slots.
const RAMP: Duration = Duration::from_secs(2);

/// The doors by service and name.
pub struct Doors {
    host: Arc<str>,
    queue_per_slot: f64,
    slot_share: f64,
    clock: Clock,
    /// Header by which an answer names its request.
    id_header: HeaderName,
    metrics: Metrics,
    doors: RwLock<BTreeMap<ServerName, Arc<Door>>>,
    /// Door to the instance that reports itself to this daemon.
    instance: RwLock<Option<Arc<Door>>>,
}

impl Doors {
    /// Creates a host without doors.
    pub fn new(
        host: Arc<str>,
        queue_per_slot: f64,
        slot_share: f64,
        clock: Clock,
        id_header: HeaderName,
        metrics: Metrics,
    ) -> Doors {
        Doors {
            host,
            queue_per_slot,
            slot_share,
            clock,
            id_header,
            metrics,
            doors: RwLock::default(),
            instance: RwLock::default(),
        }
    }

    /// Returns a door.
    pub fn get(&self, service: &str, name: &str) -> Option<Arc<Door>> {
        let name = ServerName::new(service, name);
        if let Some(door) = self.instance.read().as_ref().filter(|door| door.id == name) {
            return Some(door.clone());
        }
        self.doors.read().get(&name).cloned()
    }

    /// Returns the door to the instance that reports itself, if it is of a service.
    pub fn instance_of(&self, service: &str) -> Option<Arc<Door>> {
        let instance = self.instance.read();
        instance.as_ref().filter(|door| *door.id.service == *service).cloned()
    }

    /// Returns the doors to backend servers that operators have listed; these are measured.
    pub fn listed(&self) -> Vec<Arc<Door>> {
        self.doors.read().values().cloned().collect()
    }

    /// Returns the door to the instance that reports itself.
    pub fn instance(&self) -> Option<Arc<Door>> {
        self.instance.read().clone()
    }

    /// Takes the instance's latest word. The door of an earlier one lets those inside finish.
    pub fn set_instance(&self, instance: Option<&Instance>) {
        let Some(word) = instance else { return };
        let name = ServerName::new(&word.service, &word.id);
        let mut slot = self.instance.write();
        let known = slot.as_ref().filter(|d| d.id == name && d.backend.address() == word.address);
        let door = match known {
            Some(door) => door.clone(),
            None => {
                let backend = self.pool(&word.address);
                let opts = self.options(word.slots);
                Arc::new(Door::new(name, backend, opts, 0, self.clock))
            }
        };
        *slot = Some(door.clone());
        drop(slot);
        door.on_check(Check::Said(word.state));
    }

    /// Takes the accepted configuration. A door that goes lets those inside finish.
    pub fn set(&self, shared: &Shared) {
        let mut doors = self.doors.write();
        let mut old = std::mem::take(&mut *doors);
        for (service, entry) in &shared.config.services {
            let here = entry.backend_servers.iter().filter(|(_, s)| *s.host == *self.host);
            for (name, server) in here {
                let key = ServerName::new(service, name);
                let door = match old.remove(&key).filter(|d| d.backend.address() == server.address)
                {
                    Some(door) => {
                        door.set_options(self.options(server.slots), entry.measuring_per_second);
                        door
                    }
                    None => Arc::new(self.open(&key, server, entry.measuring_per_second)),
                };
                doors.insert(key, door);
            }
        }
    }

    fn open(&self, name: &ServerName, server: &BackendServer, measuring_per_second: u32) -> Door {
        let backend = self.pool(&server.address);
        let opts = self.options(server.slots);
        Door::new(name.clone(), backend, opts, measuring_per_second, self.clock)
    }

    fn pool(&self, address: &str) -> Pool {
        Pool::new(address, self.metrics.connects.clone()).with_id(self.id_header.clone())
    }

    fn options(&self, slots: u32) -> admission::Options {
        let queue = (f64::from(slots) * self.queue_per_slot).ceil() as u32;
        admission::Options { slots, queue, ramp: RAMP, share: self.slot_share }
    }
}
