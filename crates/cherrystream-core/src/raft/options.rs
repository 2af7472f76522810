//! Configuration of a replica.

use std::collections::BTreeMap;
use std::time::Duration;

/// Configuration of a replica.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of this replica.
    pub id: u64,
    /// Identifier of its disk.
    pub disk: String,
    /// Numbers of all replicas, including this one.
    pub replicas: Vec<u64>,
    /// Initial addresses of the replicas; empty where they are fixed and not recorded in the log.
    pub addresses: BTreeMap<u64, String>,
    /// Failure domain of this host; empty where it does not affect the placement.
    pub failure_domain: String,
    /// Whether this replica may bootstrap a new group when all disks are blank.
    pub may_bootstrap: bool,
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// Minimum time without a leader before an election; the maximum is twice as long.
    pub election: Duration,
    /// As `election`, for the first election after a start. May be shorter, because no leader is
    /// disturbed.
    pub first_election: Duration,
    /// Seed of the random election timeouts.
    pub seed: u64,
    /// Start of this process, Unix time in milliseconds.
    pub started_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            id: 1,
            disk: String::new(),
            replicas: vec![1],
            addresses: BTreeMap::new(),
            failure_domain: String::new(),
            may_bootstrap: true,
            heartbeat: Duration::from_millis(100),
            election: Duration::from_millis(1_000),
            first_election: Duration::from_millis(1_000),
            seed: 0,
            started_ms: 0,
        }
    }
}
