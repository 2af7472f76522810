//! Daemons that send heartbeats to this replica, and the revisions that they hold.

use cherrystream_core::units::{DisplayRevision, Revision, Timestamp};
use cherrystream_schema::messages::{DaemonStatus, HostRecord, SyncRequest};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time without a heartbeat after which a daemon is unreachable.
pub const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time without a heartbeat, in addition to two heartbeat waits, after which a daemon is no longer
/// offered as a source to fetch from.
const HOLDER_GRACE: Duration = Duration::from_millis(200);

/// The last heartbeat of a daemon.
#[derive(Clone, Debug)]
struct Heartbeat {
    record: HostRecord,
    held: Revision,
    /// Time that a heartbeat of the daemon waits for a change.
    wait: Duration,
    at: Timestamp,
}

/// The last heartbeat of each daemon, by host.
#[derive(Debug, Default)]
pub struct DaemonRegistry {
    last_heartbeats: Mutex<BTreeMap<String, Heartbeat>>,
}

impl DaemonRegistry {
    /// Records a heartbeat.
    pub fn record_heartbeat(&self, now: Timestamp, req: &SyncRequest) {
        let wait = Duration::from_millis(req.wait_ms);
        let heartbeat = Heartbeat { record: req.record.clone(), held: req.held, wait, at: now };
        self.last_heartbeats.lock().insert(req.record.host.clone(), heartbeat);
    }

    /// Returns whether the daemon of a host is reachable and holds at least a revision.
    pub fn is_available(&self, now: Timestamp, host: &str, revision: Revision) -> bool {
        let heartbeats = self.last_heartbeats.lock();
        heartbeats.get(host).is_some_and(|heartbeat| {
            let silence = heartbeat.wait + heartbeat.wait + HOLDER_GRACE;
            heartbeat.held >= revision
                && !heartbeat.record.leaving
                && now.since(heartbeat.at) < silence
        })
    }

    /// Returns the peer address of the daemon of a host.
    pub fn peer_address(&self, host: &str) -> Option<String> {
        self.last_heartbeats.lock().get(host).map(|last| last.record.peer_address.clone())
    }

    /// Returns the status of each daemon, compared with the newest revision.
    pub fn statuses(&self, now: Timestamp, newest: Revision) -> Vec<DaemonStatus> {
        self.last_heartbeats.lock().values().map(|last| status(now, newest, last)).collect()
    }
}

fn status(now: Timestamp, newest: Revision, last: &Heartbeat) -> DaemonStatus {
    let silence = now.since(last.at);
    let state = if silence > UNREACHABLE_TIMEOUT {
        "unreachable"
    } else if last.record.leaving {
        "leaving"
    } else if last.held < newest {
        "behind"
    } else {
        "live"
    };
    DaemonStatus {
        host: last.record.host.clone(),
        failure_domain: last.record.failure_domain.clone(),
        revision: DisplayRevision(last.held).to_string(),
        state: state.into(),
        heard_ms_ago: silence.as_millis() as u64,
    }
}

/// Merges the statuses from several replicas. The most recent status of each daemon wins.
pub fn merge_statuses(all: Vec<DaemonStatus>) -> BTreeMap<String, DaemonStatus> {
    let mut merged = BTreeMap::<String, DaemonStatus>::new();
    for status in all {
        match merged.get(&status.host) {
            Some(known) if known.heard_ms_ago <= status.heard_ms_ago => {}
            _ => {
                merged.insert(status.host.clone(), status);
            }
        }
    }
    merged
}
