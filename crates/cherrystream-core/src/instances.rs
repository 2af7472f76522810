//! Registration of instances: runs of the backend server beside a daemon, as they report
//! themselves.
//!
//! An instance that has reported that it leaves never gets new requests again, whichever process
//! received the report and however late an earlier report arrives. A change of state is therefore
//! acknowledged only once it is in the replicated log, and [`register`] never reverts a state.
//!
//! An instance that restarts under the same identifier reports a later start time and shares no
//! state with the earlier one. One with another identifier replaces a running instance only if it
//! started later, since a report may arrive long after its sender has crashed and a successor has
//! registered. Start times are compared only with each other, never with a local clock.

use cherrystream_schema::messages::{Instance, InstanceRecord, ServerState};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Number of former instances of a host that are kept.
const MAX_RETIRED: usize = 16;

/// A report of an instance about itself.
#[derive(Clone, Debug, PartialEq)]
pub enum InstanceReport {
    /// It is running.
    Running(Instance),
    /// It is stopping and accepts no new requests.
    Stopping {
        /// Identifier of the instance.
        id: String,
        /// Start time of the stopping instance in milliseconds; `None` means the current one.
        born_ms: Option<u64>,
    },
}

/// Outcome of a report.
#[derive(Clone, Debug, PartialEq)]
pub enum ReportOutcome {
    /// Acknowledged; nothing changes.
    Acknowledge,
    /// Acknowledged once [`InstanceTracker::is_registered`] returns true.
    AwaitRegistration,
    /// Not acknowledged, since the registered instance is not yet known.
    NotReady,
    /// Rejected, since the running instance with this identifier has started later.
    StartedEarlier(String),
}

/// Returns the position of a state in the life cycle of an instance.
fn progress(state: ServerState) -> u8 {
    match state {
        ServerState::Starting => 0,
        ServerState::Live => 1,
        ServerState::Draining => 2,
        ServerState::Down => 3,
    }
}

/// Returns the record after a report of an instance, or `None` if the report changes nothing.
pub fn register(known: Option<&InstanceRecord>, report: &Instance) -> Option<InstanceRecord> {
    let Some(known) = known else {
        return Some(InstanceRecord {
            instance: report.clone(),
            retired: Vec::new(),
            retired_born_ms: BTreeMap::new(),
        });
    };
    if known.retired.contains(&report.id) {
        let stopped = known.retired_born_ms.get(&report.id).copied().unwrap_or_default();
        let is_restart = report.born_ms > stopped && may_replace(&known.instance, report);
        return is_restart.then(|| replace(known, report));
    }
    if known.instance.id != report.id {
        return may_replace(&known.instance, report).then(|| replace(known, report));
    }
    match report.born_ms.cmp(&known.instance.born_ms) {
        // A late report of an earlier instance.
        Ordering::Less => None,
        // A later instance starts with its own state and sequence.
        Ordering::Greater => Some(InstanceRecord { instance: report.clone(), ..known.clone() }),
        Ordering::Equal => update(known, report),
    }
}

/// Returns whether an instance with another identifier takes the place of the known one: that has
/// stopped, or it started earlier. If neither reports a start time, the later report counts. One
/// without a start time does not replace one that reports it.
fn may_replace(known: &Instance, report: &Instance) -> bool {
    let starts = (known.born_ms, report.born_ms);
    known.state == ServerState::Down || report.born_ms > known.born_ms || starts == (0, 0)
}

/// Returns the record after a further report of the registered instance.
fn update(known: &InstanceRecord, report: &Instance) -> Option<InstanceRecord> {
    // A later state takes precedence over the sequence, as an instance never reverts a state.
    let (reported, registered) = (progress(report.state), progress(known.instance.state));
    let older = reported == registered && report.sequence < known.instance.sequence;
    if reported < registered || older || *report == known.instance || has_moved(known, report) {
        return None;
    }
    Some(InstanceRecord { instance: report.clone(), ..known.clone() })
}

/// Returns whether a report names another service or address for the same start of an instance,
/// which does not change while the instance runs.
fn has_moved(known: &InstanceRecord, report: &Instance) -> bool {
    let is_same =
        known.instance.service == report.service && known.instance.address == report.address;
    report.born_ms > 0 && !is_same
}

/// Replaces the registered instance by one with another identifier.
fn replace(known: &InstanceRecord, report: &Instance) -> InstanceRecord {
    let stopped = &known.instance;
    let mut retired = known.retired.clone();
    let mut retired_born_ms = known.retired_born_ms.clone();
    retired.retain(|id| *id != report.id);
    retired.push(stopped.id.clone());
    let excess = retired.len().saturating_sub(MAX_RETIRED);
    retired.drain(..excess);
    if stopped.born_ms > 0 {
        retired_born_ms.insert(stopped.id.clone(), stopped.born_ms);
    }
    retired_born_ms.retain(|id, _| retired.contains(id));
    InstanceRecord { instance: report.clone(), retired, retired_born_ms }
}

/// Identifies one start of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
struct InstanceKey {
    id: String,
    born_ms: u64,
}

impl InstanceKey {
    fn of(instance: &Instance) -> InstanceKey {
        InstanceKey { id: instance.id.clone(), born_ms: instance.born_ms }
    }

    /// Returns whether this is the same instance as `other`, or a later start of it.
    fn is_same_or_later(&self, other: &Instance) -> bool {
        self.id == other.id && self.born_ms >= other.born_ms
    }
}

/// Tracks the instance beside a daemon and its registration.
#[derive(Debug, Default)]
pub struct InstanceTracker {
    /// Whether control has confirmed what is registered for this host.
    confirmed: bool,
    /// Instance that was already registered when this process started.
    initial: Option<InstanceKey>,
    registered: Option<InstanceRecord>,
    /// Reported instance that is not yet registered.
    pending: Option<Instance>,
    /// Instances that stopped before they were registered.
    stopped: Vec<InstanceKey>,
}

impl InstanceTracker {
    /// Records what is registered for this host according to a confirmed answer of control; returns
    /// whether that changes anything here.
    pub fn on_registered(&mut self, record: Option<&InstanceRecord>) -> bool {
        let known = self.confirmed && self.registered.as_ref() == record;
        if !self.confirmed {
            self.initial = record.map(|record| InstanceKey::of(&record.instance));
        }
        self.confirmed = true;
        self.registered = record.cloned();
        let settled =
            self.pending.as_ref().is_some_and(|pending| register(record, pending).is_none());
        if settled {
            self.pending = None;
        }
        settled || !known
    }

    /// Handles a report of an instance.
    pub fn on_report(&mut self, report: InstanceReport) -> ReportOutcome {
        if !self.confirmed {
            return ReportOutcome::NotReady;
        }
        match report {
            InstanceReport::Running(instance) => self.on_running(instance),
            InstanceReport::Stopping { id, born_ms } => self.on_stopping(id, born_ms),
        }
    }

    fn on_running(&mut self, mut instance: Instance) -> ReportOutcome {
        if self.stopped.iter().any(|key| key.is_same_or_later(&instance)) {
            return ReportOutcome::Acknowledge;
        }
        if let Some(running) = self.successor_of(&instance) {
            return ReportOutcome::StartedEarlier(running.id.clone());
        }
        // The last report takes precedence, even if it is not yet registered.
        if let Some(pending) = self.pending.as_ref().filter(|pending| pending.id == instance.id) {
            match instance.born_ms.cmp(&pending.born_ms) {
                Ordering::Less => return ReportOutcome::Acknowledge,
                Ordering::Equal if progress(instance.state) <= progress(pending.state) => {
                    return ReportOutcome::AwaitRegistration;
                }
                _ => {}
            }
        }
        if let Some(known) = self.registered.as_ref().map(|r| &r.instance)
            && InstanceKey::of(known) == InstanceKey::of(&instance)
            && known.state == instance.state
            && known.service == instance.service
            && known.address == instance.address
            && known.slots == instance.slots
            && known.version == instance.version
        {
            // Only the sequence differs, which need not be registered.
            instance.sequence = known.sequence;
        }
        match register(self.registered.as_ref(), &instance) {
            None => ReportOutcome::Acknowledge,
            Some(_) => {
                self.pending = Some(instance);
                ReportOutcome::AwaitRegistration
            }
        }
    }

    /// Returns the known instance with another identifier that a report must not replace. A retired
    /// instance may still send reports, which are acknowledged.
    fn successor_of(&self, report: &Instance) -> Option<&Instance> {
        let is_retired = self.registered.as_ref().is_some_and(|r| r.retired.contains(&report.id));
        let other = self.current().filter(|known| known.id != report.id && !is_retired);
        other.filter(|known| !may_replace(known, report))
    }

    fn on_stopping(&mut self, id: String, born_ms: Option<u64>) -> ReportOutcome {
        let pending = self.pending.as_ref().filter(|pending| pending.id == id);
        let registered = self.registered.as_ref().map(|r| &r.instance).filter(|i| i.id == id);
        let known = pending.or(registered);
        if known.is_some_and(|instance| born_ms.is_some_and(|born| born < instance.born_ms)) {
            // A late report of an earlier instance.
            return ReportOutcome::Acknowledge;
        }
        let Some(instance) = known else {
            self.record_stopped(InstanceKey { id, born_ms: born_ms.unwrap_or_default() });
            return ReportOutcome::Acknowledge;
        };
        // A later instance stopped before its first report, so the known one has stopped as well.
        let born_ms = born_ms.unwrap_or(instance.born_ms);
        if instance.state == ServerState::Down && born_ms <= instance.born_ms {
            return match pending {
                Some(_) => ReportOutcome::AwaitRegistration,
                None => ReportOutcome::Acknowledge,
            };
        }
        self.pending = Some(Instance { state: ServerState::Down, born_ms, ..instance.clone() });
        ReportOutcome::AwaitRegistration
    }

    fn record_stopped(&mut self, key: InstanceKey) {
        self.stopped.push(key);
        let excess = self.stopped.len().saturating_sub(MAX_RETIRED);
        self.stopped.drain(..excess);
    }

    /// Returns whether control has confirmed what is registered for this host.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Returns whether the first report of an instance was received by this process, so no other
    /// process has sent it requests.
    pub fn is_new(&self, instance: &Instance) -> bool {
        self.confirmed && self.initial != Some(InstanceKey::of(instance))
    }

    /// Returns whether every accepted report is registered.
    pub fn is_registered(&self) -> bool {
        self.pending.is_none()
    }

    /// Returns the instance that is to be registered.
    pub fn pending(&self) -> Option<&Instance> {
        self.pending.as_ref()
    }

    /// Returns the instance beside this daemon according to its last report.
    pub fn current(&self) -> Option<&Instance> {
        self.pending.as_ref().or(self.registered.as_ref().map(|r| &r.instance))
    }
}
