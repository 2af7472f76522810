//! The instance that reports itself to this daemon, and its registration.

use crate::local_servers::LocalServers;
use cherrystream_core::instances::{InstanceReport, InstanceTracker, ReportOutcome};
use cherrystream_core::units::Revision;
use cherrystream_net::body::{self, Body, Start};
use cherrystream_net::interface::{
    CallInterface, Fault, ReportAnswer, ReportError, ReportErrorKind, Reported,
};
use cherrystream_schema::messages::{Instance, InstanceRecord, ServerState, VersionTally};
use http::{Request, Response};
use hyper::body::Incoming;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Largest body of a report.
const MAX_REPORT_BYTES: usize = 64 * 1024;
/// Longest wait for a registration, or for the registered state; shorter than the time after which
/// instances give up a report. They would come back only after a second or two.
const MAX_REGISTRATION_WAIT: Duration = Duration::from_millis(850);

/// Tracks the instance that reports itself to this daemon.
pub struct Instances {
    tracker: Mutex<InstanceTracker>,
    /// Revision at which control last confirmed the registered state. Never locked together with
    /// another lock.
    confirmed_at: Mutex<Revision>,
    local_servers: Arc<LocalServers>,
    interface: Arc<dyn CallInterface>,
    /// Number of changes of the registered or wanted state.
    changes: watch::Sender<u64>,
}

impl Instances {
    /// Creates a tracker without an instance.
    pub fn new(local_servers: Arc<LocalServers>, interface: Arc<dyn CallInterface>) -> Instances {
        let (tracker, confirmed_at) = (Mutex::default(), Mutex::default());
        Instances {
            tracker,
            confirmed_at,
            local_servers,
            interface,
            changes: watch::Sender::new(0),
        }
    }

    /// Handles the record that control has confirmed as registered at a revision; returns whether
    /// it changes the tracked state. It may arrive before the state of the same revision.
    pub fn on_confirmed(&self, record: Option<&InstanceRecord>, at: Revision) -> bool {
        {
            let mut confirmed_at = self.confirmed_at.lock();
            // Another replica may lag behind.
            if at < *confirmed_at {
                return false;
            }
            *confirmed_at = at;
        }
        let changed = self.tracker.lock().on_registered(record);
        if changed {
            self.publish();
        }
        changed
    }

    /// Returns the instance as it is to be registered.
    pub fn current(&self) -> Option<Instance> {
        self.tracker.lock().current().cloned()
    }

    /// Returns the counts of answers of the instance, while a roll-out of its service is in
    /// progress.
    pub fn version_counts(&self) -> Option<VersionTally> {
        self.local_servers.instance().and_then(|server| server.version_counts())
    }

    /// Returns a receiver that is notified of changes of the instance.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Handles the HTTP request of a report.
    pub async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        let answer = self.read(req).await;
        self.interface.write_report_answer(&answer)
    }

    async fn read(&self, req: Request<Incoming>) -> ReportAnswer {
        let (head, incoming) = req.into_parts();
        let Ok(Start::Whole(bytes)) = body::read_request(incoming, MAX_REPORT_BYTES).await else {
            let fault = Fault {
                what: "the body of the report is incomplete or too large".into(),
                remedy: "send the whole report again, at most 64 KiB long".into(),
            };
            return self.reject(ReportError { kind: ReportErrorKind::Unreadable, fault });
        };
        let read = self.interface.read_report(&head, &bytes);
        match read {
            Ok(reported) => self.report(reported).await,
            Err(bad) => self.reject(bad),
        }
    }

    /// Checks that the configuration holds the service of a report: any other would replace the
    /// registered instance.
    fn check_service(&self, report: &InstanceReport) -> Result<(), ReportError> {
        let unknown = match report {
            InstanceReport::Running(instance) => {
                Some(&instance.service).filter(|name| !self.local_servers.may_exist(name))
            }
            InstanceReport::Stopping { .. } => None,
        };
        let Some(service) = unknown else { return Ok(()) };
        let fault = Fault {
            what: format!("the service {service:?} is not in the configuration of this daemon"),
            remedy:
                "correct the name of the service, or add it to the configuration and report again"
                    .into(),
        };
        Err(ReportError { kind: ReportErrorKind::UnknownService, fault })
    }

    fn reject(&self, bad: ReportError) -> ReportAnswer {
        self.local_servers.on_bad_report(&bad);
        ReportAnswer::Bad(bad.fault)
    }

    /// Handles a report of the instance; returns once the instance is registered, or the longest
    /// wait has passed. A report that arrives before control has confirmed the registered state
    /// waits for that. After a power loss, all instances report while their daemons still look for
    /// a leader.
    pub async fn report(&self, reported: impl Into<Reported>) -> ReportAnswer {
        let reported = reported.into();
        if let Err(bad) = self.check_service(&reported.report) {
            return self.reject(bad);
        }
        let mut changes = self.changes.subscribe();
        let in_time = async {
            // `self` owns the sender, so the wait can't fail.
            let _ = changes.wait_for(|_| self.tracker.lock().is_confirmed()).await;
            self.apply(reported).await
        };
        tokio::time::timeout(MAX_REGISTRATION_WAIT, in_time).await.unwrap_or(ReportAnswer::NotNow)
    }

    async fn apply(&self, reported: Reported) -> ReportAnswer {
        let Reported { report, cold_for } = reported;
        let warmth = match &report {
            InstanceReport::Running(instance) => {
                cold_for.map(|cold_for| (instance.clone(), cold_for))
            }
            InstanceReport::Stopping { .. } => None,
        };
        let before = self.current();
        let outcome = self.tracker.lock().on_report(report);
        // Admission closes before the change is published.
        match before == self.current() {
            true => self.update_server(),
            false => self.publish(),
        }
        if let Some((instance, cold_for)) = warmth {
            self.record_warmth(&instance, cold_for);
        }
        match outcome {
            ReportOutcome::Acknowledge => ReportAnswer::Taken,
            ReportOutcome::NotReady => ReportAnswer::NotNow,
            ReportOutcome::AwaitRegistration => self.await_registration().await,
            ReportOutcome::StartedEarlier(running) => self.reject(started_earlier(&running)),
        }
    }

    fn record_warmth(&self, instance: &Instance, cold_for: Duration) {
        // A late report of a previous instance doesn't apply to the current one.
        if self
            .current()
            .is_none_or(|current| current.id != instance.id || current.born_ms != instance.born_ms)
        {
            return;
        }
        if let Some(server) = self.local_servers.get(&instance.service, &instance.id) {
            server.on_reported_warmth(instance.sequence, cold_for);
        }
    }

    async fn await_registration(&self) -> ReportAnswer {
        let mut changes = self.changes.subscribe();
        match changes.wait_for(|_| self.tracker.lock().is_registered()).await {
            Ok(_) => ReportAnswer::Taken,
            Err(_) => ReportAnswer::NotNow,
        }
    }

    /// Registers the instance as draining when it states in its answers that it is leaving, whatever
    /// its reports say. Runs for as long as the process.
    pub async fn follow_leaving(self: Arc<Self>) {
        let mut leaving = self.local_servers.subscribe_leaving();
        while leaving.changed().await.is_ok() {
            self.register_leaving();
        }
    }

    fn register_leaving(&self) {
        let Some(server) = self.local_servers.instance().filter(|server| server.is_leaving())
        else {
            return;
        };
        let Some(instance) = self.current().filter(|instance| server.is_run_of(instance)) else {
            return;
        };
        let draining = Instance { state: ServerState::Draining, ..instance };
        self.tracker.lock().on_report(InstanceReport::Running(draining));
        self.publish();
    }

    fn update_server(&self) {
        let (current, is_new) = {
            let tracker = self.tracker.lock();
            let current = tracker.current().cloned();
            let is_new = current.as_ref().is_some_and(|instance| tracker.is_new(instance));
            (current, is_new)
        };
        self.local_servers.set_instance(current.as_ref(), is_new);
    }

    fn publish(&self) {
        self.update_server();
        self.changes.send_modify(|count| *count += 1);
    }
}

/// Returns the error for a report of an instance that must not replace the running one.
fn started_earlier(running: &str) -> ReportError {
    let fault = Fault {
        what: format!("the running instance {running:?} has started later than the reported one"),
        remedy: "if the reported instance runs, correct the clock of its host and restart it"
            .into(),
    };
    ReportError { kind: ReportErrorKind::StartedEarlier, fault }
}
