//! The instance beside this daemon: takes its reports, and has them registered.

use crate::doors::Doors;
use cherrystream_core::instances::{InstanceReport, InstanceTracker, ReportOutcome};
use cherrystream_core::units::Revision;
use cherrystream_net::body::{self, Body, Start};
use cherrystream_net::interface::{
    CallInterface, Fault, ReportAnswer, ReportError, ReportErrorKind, Reported,
};
use cherrystream_schema::messages::{Instance, InstanceRecord, VersionTally};
use http::{Request, Response};
use hyper::body::Incoming;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Largest report.
const REPORT_BYTES: usize = 64 * 1024;
/// Longest wait for a registration, or for the word of what was registered before: whoever reports would otherwise give
/// up first, and come back only after a second or two.
const REGISTRATION_WAIT: Duration = Duration::from_millis(850);

/// Keeps what is known of the instance.
pub struct Instances {
    tracker: Mutex<InstanceTracker>,
    /// Revision of the last word of control. Taken with no other lock.
    confirmed_at: Mutex<Revision>,
    doors: Arc<Doors>,
    interface: Arc<dyn CallInterface>,
    /// Counts changes of what is known or wanted.
    changes: watch::Sender<u64>,
}

impl Instances {
    /// Creates a daemon that knows of no instance.
    pub fn new(doors: Arc<Doors>, interface: Arc<dyn CallInterface>) -> Instances {
        let (tracker, confirmed_at) = (Mutex::default(), Mutex::default());
        Instances { tracker, confirmed_at, doors, interface, changes: watch::Sender::new(0) }
    }

    /// Takes what control has confirmed to be registered at a revision; returns whether that is news here. It comes
    /// beside the state, which may take longer.
    pub fn on_confirmed(&self, record: Option<&InstanceRecord>, at: Revision) -> bool {
        {
            let mut confirmed_at = self.confirmed_at.lock();
            // Another replica may lag.
            if at < *confirmed_at {
                return false;
            }
            *confirmed_at = at;
        }
        let news = self.tracker.lock().on_registered(record);
        if news {
            self.put_in_force();
        }
        news
    }

    /// Returns the instance as it is to be registered.
    pub fn current(&self) -> Option<Instance> {
        self.tracker.lock().current().cloned()
    }

    /// Returns what became of requests at the instance, while a roll-out of its service is under way.
    pub fn tally(&self) -> Option<VersionTally> {
        self.doors.instance().and_then(|door| door.tally())
    }

    /// Watches changes of the instance.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Answers a report.
    pub async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        let answer = self.take(req).await;
        self.interface.write_report_answer(&answer)
    }

    async fn take(&self, req: Request<Incoming>) -> ReportAnswer {
        let (head, incoming) = req.into_parts();
        let Ok(Start::Whole(bytes)) =
            body::read_start(body::incoming(incoming), REPORT_BYTES).await
        else {
            let fault = Fault {
                what: "the report broke off or is too large".into(),
                remedy: "send it again, whole".into(),
            };
            return self.turn_away(ReportError { kind: ReportErrorKind::Unreadable, fault });
        };
        let read = self.interface.read_report(&head, &bytes);
        match read {
            Ok(reported) => self.report(reported).await,
            Err(bad) => self.turn_away(bad),
        }
    }

    /// Checks that a report names a service of the configuration: another one would take the place of the instance that
    /// is registered here.
    fn check_service(&self, report: &InstanceReport) -> Result<(), ReportError> {
        let unknown = match report {
            InstanceReport::Running(run) => {
                Some(&run.service).filter(|name| !self.doors.knows(name))
            }
            InstanceReport::Stopping { .. } => None,
        };
        let Some(service) = unknown else { return Ok(()) };
        let fault = Fault {
            what: format!("no configuration that is known here names the service {service:?}"),
            remedy: "correct its name, or report again once a configuration names it".into(),
        };
        Err(ReportError { kind: ReportErrorKind::UnknownService, fault })
    }

    fn turn_away(&self, bad: ReportError) -> ReportAnswer {
        self.doors.on_bad_report(&bad);
        ReportAnswer::Bad(bad.fault)
    }

    /// Takes what the instance says of itself, and returns once it is registered or cannot be in time. A report that
    /// comes before the word of control waits for it: after a loss of power all backend servers report while their
    /// daemons still look for a leader.
    pub async fn report(&self, reported: impl Into<Reported>) -> ReportAnswer {
        let reported = reported.into();
        if let Err(bad) = self.check_service(&reported.report) {
            return self.turn_away(bad);
        }
        let mut changes = self.changes.subscribe();
        let in_time = async {
            // The sender lives as long as this does, so the wait cannot fail.
            let _ = changes.wait_for(|_| self.tracker.lock().is_confirmed()).await;
            self.keep(reported).await
        };
        tokio::time::timeout(REGISTRATION_WAIT, in_time).await.unwrap_or(ReportAnswer::NotNow)
    }

    async fn keep(&self, reported: Reported) -> ReportAnswer {
        let Reported { report, cold_for } = reported;
        let warmth = match &report {
            InstanceReport::Running(run) => cold_for.map(|cold_for| (run.clone(), cold_for)),
            InstanceReport::Stopping { .. } => None,
        };
        let before = self.current();
        let outcome = self.tracker.lock().on_report(report);
        // The door closes before anybody is told that the instance leaves.
        match before == self.current() {
            true => self.open_door(),
            false => self.put_in_force(),
        }
        if let Some((run, cold_for)) = warmth {
            self.tell_warmth(&run, cold_for);
        }
        match outcome {
            ReportOutcome::Acknowledge => ReportAnswer::Taken,
            ReportOutcome::NotReady => ReportAnswer::NotNow,
            ReportOutcome::AwaitRegistration => self.await_registration().await,
        }
    }

    fn tell_warmth(&self, run: &Instance, cold_for: Duration) {
        // A late word of an earlier run says nothing of the one that runs now.
        if self.current().is_none_or(|now| now.id != run.id || now.born_ms != run.born_ms) {
            return;
        }
        if let Some(door) = self.doors.get(&run.service, &run.id) {
            door.on_reported_warmth(run.sequence, cold_for);
        }
    }

    async fn await_registration(&self) -> ReportAnswer {
        let mut changes = self.changes.subscribe();
        match changes.wait_for(|_| self.tracker.lock().is_registered()).await {
            Ok(_) => ReportAnswer::Taken,
            Err(_) => ReportAnswer::NotNow,
        }
    }

    fn open_door(&self) {
        let (current, is_new) = {
            let tracker = self.tracker.lock();
            let current = tracker.current().cloned();
            let is_new = current.as_ref().is_some_and(|run| tracker.is_new(run));
            (current, is_new)
        };
        self.doors.set_instance(current.as_ref(), is_new);
    }

    fn put_in_force(&self) {
        self.open_door();
        self.changes.send_modify(|count| *count += 1);
    }
}
