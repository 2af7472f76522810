//! The daemons that this replica hears, and what they hold.

use cherrystream_core::units::{DisplayRevision, Revision, Timestamp};
use cherrystream_schema::messages::{DaemonStatus, HostRecord, SyncRequest};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::time::Duration;

/// Silence after which a daemon counts as unreachable.
pub const SILENCE: Duration = Duration::from_secs(10);

/// Silence beyond two waits of its heartbeats after which a daemon is not named as one to fetch from.
const HOLDER_SILENCE: Duration = Duration::from_millis(200);

#[derive(Clone, Debug)]
struct Heard {
    record: HostRecord,
    held: Revision,
    /// Time that its heartbeats wait for a change.
    wait: Duration,
    at: Timestamp,
}

/// The daemons heard.
#[derive(Debug, Default)]
pub struct Reach {
    heard: Mutex<BTreeMap<String, Heard>>,
}

impl Reach {
    /// Notes a heartbeat.
    pub fn hear(&self, now: Timestamp, req: &SyncRequest) {
        let wait = Duration::from_millis(req.wait_ms);
        let heard = Heard { record: req.record.clone(), held: req.held, wait, at: now };
        self.heard.lock().insert(req.record.host.clone(), heard);
    }

    /// Returns whether the daemon of a host runs and holds a revision.
    pub fn is_there(&self, now: Timestamp, host: &str, revision: Revision) -> bool {
        let heard = self.heard.lock();
        heard.get(host).is_some_and(|heard| {
            let silence = heard.wait + heard.wait + HOLDER_SILENCE;
            heard.held >= revision && !heard.record.leaving && now.since(heard.at) < silence
        })
    }

    /// Returns the peer address of the daemon of a host.
    pub fn peer_address(&self, host: &str) -> Option<String> {
        self.heard.lock().get(host).map(|heard| heard.record.peer_address.clone())
    }

    /// Returns the daemons heard, compared with the newest revision.
    pub fn statuses(&self, now: Timestamp, newest: Revision) -> Vec<DaemonStatus> {
        self.heard.lock().values().map(|heard| status(now, newest, heard)).collect()
    }
}

fn status(now: Timestamp, newest: Revision, heard: &Heard) -> DaemonStatus {
    let silence = now.since(heard.at);
    let state = if silence > SILENCE {
        "unreachable"
    } else if heard.record.leaving {
        "leaving"
    } else if heard.held < newest {
        "behind"
    } else {
        "live"
    };
    DaemonStatus {
        host: heard.record.host.clone(),
        failure_domain: heard.record.failure_domain.clone(),
        revision: DisplayRevision(heard.held).to_string(),
        state: state.into(),
        heard_ms_ago: silence.as_millis() as u64,
    }
}

/// Joins what several replicas hear: the latest word on each daemon counts.
pub fn join(all: Vec<DaemonStatus>) -> BTreeMap<String, DaemonStatus> {
    let mut joined = BTreeMap::<String, DaemonStatus>::new();
    for status in all {
        match joined.get(&status.host) {
            Some(known) if known.heard_ms_ago <= status.heard_ms_ago => {}
            _ => {
                joined.insert(status.host.clone(), status);
            }
        }
    }
    joined
}
