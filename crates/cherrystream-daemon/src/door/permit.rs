//! A slot behind a door.

use super::Door;
use cherrystream_core::admission::Ticket;
use cherrystream_core::units::Timestamp;
use std::sync::Arc;

/// A slot of the backend server; dropping it frees the slot.
pub struct Permit {
    door: Arc<Door>,
    ticket: Ticket,
    work: Option<Work>,
    answered: bool,
}

/// Work that a backend server has been given.
pub(super) struct Work {
    pub(super) kind: Arc<str>,
    pub(super) since: Timestamp,
    /// Slowness of the backend server at the beginning.
    pub(super) slowness: u32,
    /// Whether it was cold then.
    pub(super) is_cold: bool,
}

impl Permit {
    pub(super) fn new(door: Arc<Door>, ticket: Ticket) -> Permit {
        Permit { door, ticket, work: None, answered: false }
    }

    /// Returns whether this is a slot behind a door.
    pub fn is_for(&self, door: &Arc<Door>) -> bool {
        Arc::ptr_eq(&self.door, door)
    }

    pub(super) fn begin(mut self, kind: Arc<str>) -> Permit {
        let since = self.door.clock.now();
        let inner = self.door.inner.lock();
        let slowness = inner.admission.slowness(since);
        let is_cold = inner.admission.is_cold(since);
        drop(inner);
        self.work = Some(Work { kind, since, slowness, is_cold });
        self
    }

    /// Notes that the request leaves for the backend server.
    pub fn sent(&self) {
        self.door.on_sent(self.ticket);
    }

    /// Notes that the backend server answered in full.
    pub fn answered(mut self) {
        self.answered = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let (ticket, answered) = (self.ticket, self.answered);
        let door = self.door.clone();
        let work = self.work.take().filter(|_| answered);
        door.with(|inner, now| {
            if let Some(work) = work {
                inner.learn(now, ticket, &work);
            }
            ((), inner.admission.finish(now, ticket, answered))
        });
    }
}
