//! Requests at work at a backend server, and the search for the proof that it has ended.

use super::SuspectWatch;
use crate::local_server::LocalServer;
use cherrystream_core::suspects::crashes::Ticket;
use cherrystream_core::suspects::{CrashId, Identity, SentRequest};
use cherrystream_core::units::Timestamp;
use cherrystream_net::pool::Probe;
use std::sync::Arc;
use std::time::Duration;

/// Times between the looks whether the server takes a connection. A process that ends closes all its connections, and its listener
/// with them, within milliseconds; the last look is for a host that is short of processor time.
const LOOKS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(10), Duration::from_millis(100)];
/// Time between looks for another run of the server.
const RUN_EVERY: Duration = Duration::from_millis(100);

/// The place of the one request that may run alone at a door; dropping it frees it.
pub struct AlonePlace {
    door: Arc<LocalServer>,
}

impl AlonePlace {
    /// Takes the place, if it is free.
    pub fn take(door: &Arc<LocalServer>) -> Option<AlonePlace> {
        let is_free = door.crash_detector().begin_isolated();
        is_free.then(|| AlonePlace { door: door.clone() })
    }
}

impl Drop for AlonePlace {
    fn drop(&mut self) {
        self.door.crash_detector().end_isolated();
    }
}

/// A request at work, from its first byte. Dropped without a word, it counts as one whose caller has left.
pub struct AtWork {
    watch: Arc<SuspectWatch>,
    door: Arc<LocalServer>,
    sent: SentRequest,
    sent_at: Timestamp,
    ticket: Ticket,
    is_settled: bool,
    _place: Option<AlonePlace>,
}

impl AtWork {
    /// Notes that a request leaves for the backend server.
    pub fn begin(
        watch: &Arc<SuspectWatch>,
        door: &Arc<LocalServer>,
        identity: Identity,
        place: Option<AlonePlace>,
    ) -> AtWork {
        let sent_at = watch.tools.clock.now();
        AtWork {
            watch: watch.clone(),
            door: door.clone(),
            sent: SentRequest { identity, isolated: place.is_some() },
            sent_at,
            ticket: door.crash_detector().begin(sent_at),
            is_settled: false,
            _place: place,
        }
    }

    /// Notes that it was answered in full. A run that failed clears nothing: it may have ended before the server would have, as
    /// when a call that it needs fails. When it did, 13 servers ended under one such request in place of 3.
    pub fn answered(mut self, failed: bool) {
        self.is_settled = true;
        self.door.crash_detector().on_answer(self.sent_at);
        if !failed {
            self.watch.on_answer(&self.door, self.sent.identity.request);
        }
    }

    /// Notes that the server did not run it; so it is there, or another run of it is.
    pub fn not_run(mut self) {
        self.is_settled = true;
        self.door.crash_detector().on_answer(self.sent_at);
    }

    /// Notes that nothing of it was sent, or that what came was no answer to it.
    pub fn proves_nothing(mut self) {
        self.is_settled = true;
    }

    /// Notes that its connection broke.
    pub fn broke(mut self) {
        self.is_settled = true;
        let now = self.watch.tools.clock.now();
        self.door.crash_detector().finish(self.ticket);
        let ended = self.door.crash_detector().on_connection_broken(now, self.sent_at, self.sent);
        match ended {
            Some(ended) if !self.watch.is_planned(&self.door) => {
                self.watch.on_end(&self.door, &ended);
            }
            Some(_) => {}
            None => self.watch.look(&self.door),
        }
    }
}

impl Drop for AtWork {
    fn drop(&mut self) {
        self.door.crash_detector().finish(self.ticket);
        if !self.is_settled {
            let now = self.watch.tools.clock.now();
            self.door.crash_detector().on_caller_disconnected(now, self.sent_at, self.sent);
        }
    }
}

impl SuspectWatch {
    /// Looks for the proof that a door's backend server has ended, if connections have broken there and nobody looks yet.
    pub fn look(self: &Arc<Self>, door: &Arc<LocalServer>) {
        if door.crash_detector().begin_probe(self.tools.clock.now()) {
            let (watch, door) = (self.clone(), door.clone());
            tokio::spawn(async move {
                if watch.finds_proof(&door).await {
                    watch.on_proof(&door);
                }
                door.crash_detector().end_probe();
            });
        }
    }

    async fn finds_proof(&self, door: &Arc<LocalServer>) -> bool {
        let mut is_kept = false;
        for wait in LOOKS {
            tokio::time::sleep(wait).await;
            if !door.crash_detector().has_unexplained(self.tools.clock.now()) {
                return false;
            }
            let fate = door.backend.probe().await;
            is_kept |= fate == Probe::Kept;
            if fate == Probe::Refused && !door.crash_detector().has_survivor() {
                return true;
            }
        }
        // Whoever passes connections on for the server takes them while it is down, and closes them.
        if !is_kept && !door.crash_detector().has_survivor() {
            return true;
        }
        while door.crash_detector().has_unexplained(self.tools.clock.now()) {
            if self.is_followed(door) {
                return true;
            }
            tokio::time::sleep(RUN_EVERY).await;
        }
        false
    }

    /// Returns whether another run has taken the place of a backend server that reported itself.
    fn is_followed(&self, door: &Arc<LocalServer>) -> bool {
        let listed = self.tools.doors.listed().iter().any(|known| Arc::ptr_eq(known, door));
        let instance = self.tools.doors.instance();
        !listed && instance.is_some_and(|now| !Arc::ptr_eq(&now, door))
    }

    fn on_proof(self: &Arc<Self>, door: &Arc<LocalServer>) {
        let now = self.tools.clock.now();
        if self.is_planned(door) {
            door.crash_detector().on_planned_stop();
            return;
        }
        let ended = door.crash_detector().on_crash(now, CrashId(rand::random()));
        if let Some(ended) = ended {
            self.on_end(door, &ended);
        }
    }
}
