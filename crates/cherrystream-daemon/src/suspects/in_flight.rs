//! Requests in flight at a backend server, and the check whether it has crashed.

use super::SuspectTracker;
use crate::local_server::LocalServer;
use cherrystream_core::suspects::crashes::Ticket;
use cherrystream_core::suspects::{CrashId, Identity, SentRequest};
use cherrystream_core::units::Timestamp;
use cherrystream_net::pool::Probe;
use std::sync::Arc;
use std::time::Duration;

/// Delays before the connection probes of a server. A process that exits closes its connections and
/// its listener within milliseconds; the last probe is for a host that is short of processor time.
const PROBE_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(10), Duration::from_millis(100)];
/// Interval of the checks whether another instance has replaced the server.
const SUCCESSOR_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Permit for the one request that may run in isolation at a server; released on drop.
pub struct IsolationPermit {
    server: Arc<LocalServer>,
}

impl IsolationPermit {
    /// Acquires the permit, if it is free.
    pub fn try_acquire(server: &Arc<LocalServer>) -> Option<IsolationPermit> {
        let is_free = server.crash_detector().begin_isolated();
        is_free.then(|| IsolationPermit { server: server.clone() })
    }
}

impl Drop for IsolationPermit {
    fn drop(&mut self) {
        self.server.crash_detector().end_isolated();
    }
}

/// A request in flight. Dropping it without an outcome records that its caller disconnected.
pub struct InFlightRequest {
    tracker: Arc<SuspectTracker>,
    server: Arc<LocalServer>,
    sent: SentRequest,
    sent_at: Timestamp,
    ticket: Ticket,
    is_settled: bool,
    _permit: Option<IsolationPermit>,
}

impl InFlightRequest {
    /// Records that a request is sent to the backend server.
    pub fn begin(
        tracker: &Arc<SuspectTracker>,
        server: &Arc<LocalServer>,
        identity: Identity,
        permit: Option<IsolationPermit>,
    ) -> InFlightRequest {
        let sent_at = tracker.deps.clock.now();
        InFlightRequest {
            tracker: tracker.clone(),
            server: server.clone(),
            sent: SentRequest { identity, isolated: permit.is_some() },
            sent_at,
            ticket: server.crash_detector().begin(sent_at),
            is_settled: false,
            _permit: permit,
        }
    }

    /// Records a complete response. A failed one does not clear the request: it may have failed
    /// before the point at which it would crash the server, as when a nested call fails.
    pub fn answered(mut self, failed: bool) {
        self.is_settled = true;
        self.server.crash_detector().on_answer(self.sent_at);
        if !failed {
            self.tracker.on_answer(&self.server, self.sent.identity.request);
        }
    }

    /// Records that the server did not run the request; the server or its successor is alive.
    pub fn not_run(mut self) {
        self.is_settled = true;
        self.server.crash_detector().on_answer(self.sent_at);
    }

    /// Discards the request: it was not sent, or the response belongs to another request.
    pub fn discard(mut self) {
        self.is_settled = true;
    }

    /// Records that the connection of the request broke.
    pub fn connection_broken(mut self) {
        self.is_settled = true;
        let now = self.tracker.deps.clock.now();
        self.server.crash_detector().finish(self.ticket);
        let crash = self.server.crash_detector().on_connection_broken(now, self.sent_at, self.sent);
        match crash {
            Some(crash) if !self.tracker.is_planned(&self.server) => {
                self.tracker.on_crash(&self.server, &crash);
            }
            Some(_) => {}
            None => self.tracker.check_for_crash(&self.server),
        }
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.server.crash_detector().finish(self.ticket);
        if !self.is_settled {
            let now = self.tracker.deps.clock.now();
            self.server.crash_detector().on_caller_disconnected(now, self.sent_at, self.sent);
        }
    }
}

impl SuspectTracker {
    /// Checks in the background whether a backend server has crashed, if connections to it have
    /// broken and no check is running.
    pub fn check_for_crash(self: &Arc<Self>, server: &Arc<LocalServer>) {
        if server.crash_detector().begin_probe(self.deps.clock.now()) {
            let (tracker, server) = (self.clone(), server.clone());
            tokio::spawn(async move {
                if tracker.has_crashed(&server).await {
                    tracker.on_crash_detected(&server);
                }
                server.crash_detector().end_probe();
            });
        }
    }

    async fn has_crashed(&self, server: &Arc<LocalServer>) -> bool {
        let mut any_kept = false;
        for delay in PROBE_DELAYS {
            tokio::time::sleep(delay).await;
            if !server.crash_detector().has_unexplained(self.deps.clock.now()) {
                return false;
            }
            let probe = server.backend.probe().await;
            any_kept |= probe == Probe::Kept;
            if probe == Probe::Refused && !server.crash_detector().has_survivor() {
                return true;
            }
        }
        // A proxy in front of the server accepts connections while it is down, and closes them.
        if !any_kept && !server.crash_detector().has_survivor() {
            return true;
        }
        while server.crash_detector().has_unexplained(self.deps.clock.now()) {
            if self.is_replaced(server) {
                return true;
            }
            tokio::time::sleep(SUCCESSOR_CHECK_INTERVAL).await;
        }
        false
    }

    /// Returns whether another instance has replaced a backend server that reported itself.
    fn is_replaced(&self, server: &Arc<LocalServer>) -> bool {
        let listed =
            self.deps.local_servers.listed().iter().any(|known| Arc::ptr_eq(known, server));
        let instance = self.deps.local_servers.instance();
        !listed && instance.is_some_and(|now| !Arc::ptr_eq(&now, server))
    }

    fn on_crash_detected(self: &Arc<Self>, server: &Arc<LocalServer>) {
        let now = self.deps.clock.now();
        if self.is_planned(server) {
            server.crash_detector().on_planned_stop();
            return;
        }
        let crash = server.crash_detector().on_crash(now, CrashId(rand::random()));
        if let Some(crash) = crash {
            self.on_crash(server, &crash);
        }
    }
}
