//! Messages between daemons about suspect requests.

use super::identity::{CallerFingerprint, Fingerprint};
use serde::{Deserialize, Serialize};

/// Random identifier of a crash of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashId(pub u64);

/// A crash of a backend server while a request was in flight there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Identifier of the crash.
    pub id: CrashId,
    /// Milliseconds between the crash and the writing of this record. Ages are sent, since the
    /// clocks of hosts differ.
    pub age_ms: u64,
    /// Whether the request ran in isolation.
    pub alone: bool,
}

/// The crashes recorded for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Caller of the request.
    pub caller: CallerFingerprint,
    /// Incremented whenever the request is cleared; a record of an earlier generation is ignored.
    pub generation: u32,
    /// Whether it is sent to all daemons, or only to those with a backend server of the service.
    pub wide: bool,
    /// Milliseconds between the last change and the writing of this record.
    pub age_ms: u64,
    /// Crashes since the request was last cleared.
    pub ends: Vec<CrashRecord>,
}

/// The daemons to which a change is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Audience {
    /// Daemons with a backend server of the service.
    Service,
    /// All daemons.
    All,
}

/// A message between two daemons.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Records that the sender announces.
    pub records: Vec<Record>,
    /// Digest of all records of the sender that are sent to all daemons. A receiver with another
    /// digest responds with its own records.
    pub digest: Option<u64>,
}

/// Status of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
    /// No crash is recorded since it was last cleared.
    Clear,
    /// A backend server crashed while it was in flight, possibly by coincidence.
    Watched,
    /// It runs in isolation.
    #[serde(rename = "Alone")]
    Isolated,
    /// It is quarantined.
    #[serde(rename = "HeldBack")]
    Quarantined,
}

impl Status {
    /// Returns the value used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Status::Clear => "clear",
            Status::Watched => "watched",
            Status::Isolated => "runs-alone",
            Status::Quarantined => "held-back",
        }
    }
}
