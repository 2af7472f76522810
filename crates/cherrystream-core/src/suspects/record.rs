//! What daemons tell each other of requests that end backend servers.

use super::identity::{CallerMark, Fingerprint};
use serde::{Deserialize, Serialize};

/// Names one end of a backend server: a random number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndId(pub u64);

/// An end of a backend server while a request was at work there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenEnd {
    /// The end.
    pub id: EndId,
    /// Milliseconds since then, when this was written. Ages travel and no times: clocks of hosts differ.
    pub age_ms: u64,
    /// Whether the request ran alone.
    pub alone: bool,
}

/// What is known of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request.
    pub request: Fingerprint,
    /// Its caller.
    pub caller: CallerMark,
    /// Raised whenever the request is cleared: a word of an earlier one says nothing.
    pub generation: u32,
    /// Whether all daemons are told of it, or only those with a backend server of the service.
    pub wide: bool,
    /// Milliseconds since the last change, when this was written.
    pub age_ms: u64,
    /// Ends since it was last cleared.
    pub ends: Vec<SeenEnd>,
}

/// Which daemons are told of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reach {
    /// Those with a backend server of the service.
    Service,
    /// All.
    All,
}

/// A message between two daemons.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// What the sender tells.
    pub records: Vec<Record>,
    /// Stands for all that the sender knows of requests that all daemons are told of. One who knows something else answers with
    /// that.
    pub digest: Option<u64>,
}

/// What follows from what is known of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// It was cleared.
    Clear,
    /// A backend server ended while it was at work: coincidence, as far as is known.
    Watched,
    /// It runs alone.
    Alone,
    /// It is held back.
    HeldBack,
}

impl Standing {
    /// Returns the standing as it stands in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Standing::Clear => "clear",
            Standing::Watched => "watched",
            Standing::Alone => "runs-alone",
            Standing::HeldBack => "held-back",
        }
    }
}
