//! Choice of the control replica that a daemon connects to.
//!
//! A replica of the daemon's failure domain is preferred: every change is sent to every daemon, and
//! traffic between failure domains is expensive.

use crate::units::Timestamp;
use cherrystream_schema::messages::ReplicaAddress;
use std::collections::BTreeMap;
use std::time::Duration;

/// Shortest backoff after a failed call to a replica, about the time of a restart.
const MIN_BACKOFF: Duration = Duration::from_millis(500);
/// Backoff as a multiple of the duration of the failed call. A daemon spends at most a sixth of its
/// time on calls to one unresponsive replica.
const BACKOFF_PER_CALL: u32 = 5;

/// Control replicas known to a daemon, and the order in which it tries them.
#[derive(Debug)]
pub struct ReplicaChoice {
    failure_domain: String,
    replicas: Vec<ReplicaAddress>,
    /// Unreachable replicas, with the end of their backoff.
    unreachable: BTreeMap<String, Timestamp>,
    turn: usize,
}

impl ReplicaChoice {
    /// Creates a choice among addresses of replicas in unknown failure domains. `turn` selects the
    /// first one, which distributes daemons over the replicas.
    pub fn new(failure_domain: &str, addresses: Vec<String>, turn: u64) -> ReplicaChoice {
        let unknown = |address| ReplicaAddress { address, failure_domain: None };
        let replicas: Vec<_> = addresses.into_iter().map(unknown).collect();
        let turn = (turn % replicas.len().max(1) as u64) as usize;
        ReplicaChoice {
            failure_domain: failure_domain.into(),
            replicas,
            unreachable: BTreeMap::new(),
            turn,
        }
    }

    /// Returns the replica to try next: one in this failure domain, else any in turn. Replicas in
    /// backoff come last.
    pub fn next(&self, now: Timestamp) -> Option<&str> {
        let available = |replica: &&ReplicaAddress| !self.is_in_backoff(now, &replica.address);
        let near = self.replicas.iter().filter(|replica| self.is_near(replica)).filter(available);
        let available = self.replicas.iter().filter(available);
        let in_turn = |replicas: Vec<&ReplicaAddress>| {
            let count = replicas.len().max(1);
            replicas.get(self.turn % count).map(|replica| self.position(&replica.address))
        };
        let position = in_turn(near.collect())
            .or_else(|| in_turn(available.collect()))
            .or_else(|| in_turn(self.replicas.iter().collect()))?;
        self.replicas.get(position?).map(|replica| replica.address.as_str())
    }

    fn position(&self, address: &str) -> Option<usize> {
        self.replicas.iter().position(|replica| replica.address == address)
    }

    /// Replaces the replicas by the list that one of them returned, if it is not empty. A failure
    /// domain that the list lacks is kept.
    pub fn update(&mut self, replicas: &[ReplicaAddress]) {
        if replicas.is_empty() {
            return;
        }
        let known = std::mem::take(&mut self.replicas);
        let domain_of = |address: &str| {
            let known = known.iter().find(|replica| replica.address == address);
            known.and_then(|replica| replica.failure_domain.clone())
        };
        let merge = |new: &ReplicaAddress| {
            let failure_domain = new.failure_domain.clone().or_else(|| domain_of(&new.address));
            ReplicaAddress { address: new.address.clone(), failure_domain }
        };
        self.replicas = replicas.iter().map(merge).collect();
        let replicas = &self.replicas;
        self.unreachable.retain(|address, _| replicas.iter().any(|r| r.address == *address));
    }

    /// Adds addresses from the settings, in case all known replicas are gone.
    pub fn add(&mut self, addresses: impl Iterator<Item = String>) {
        for address in addresses {
            if self.position(&address).is_none() {
                self.replicas.push(ReplicaAddress { address, failure_domain: None });
            }
        }
    }

    /// Records the failure domain that a replica reports for itself.
    pub fn set_failure_domain(&mut self, address: &str, failure_domain: &str) {
        if let Some(replica) = self.replicas.iter_mut().find(|r| r.address == address) {
            replica.failure_domain = Some(failure_domain.into());
        }
    }

    /// Records a failed call to a replica, which took `took`.
    pub fn on_failure(&mut self, now: Timestamp, address: &str, took: Duration) {
        let backoff = MIN_BACKOFF.max(took * BACKOFF_PER_CALL);
        self.unreachable.insert(address.into(), now + backoff);
        self.turn = self.turn.wrapping_add(1);
    }

    /// Records that a replica serves this daemon.
    pub fn on_success(&mut self, address: &str) {
        self.unreachable.remove(address);
    }

    /// Returns whether a replica of this failure domain should be tried in place of the one at
    /// `address`, which is in another.
    pub fn has_nearer(&self, now: Timestamp, address: &str) -> bool {
        let serves_near = |r: &ReplicaAddress| r.address == address && self.is_near(r);
        let is_available =
            |r: &ReplicaAddress| self.is_near(r) && !self.is_in_backoff(now, &r.address);
        !self.replicas.iter().any(serves_near) && self.replicas.iter().any(is_available)
    }

    /// Returns whether a replica is known to be in this failure domain.
    pub fn is_address_near(&self, address: &str) -> bool {
        self.replicas.iter().any(|r| r.address == address && self.is_near(r))
    }

    /// Returns the number of known replicas.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Returns whether no replica is known.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Returns the checksum of the known replicas.
    pub fn checksum(&self) -> u32 {
        checksum(&self.replicas)
    }

    fn is_near(&self, replica: &ReplicaAddress) -> bool {
        replica.failure_domain.as_deref() == Some(self.failure_domain.as_str())
    }

    fn is_in_backoff(&self, now: Timestamp, address: &str) -> bool {
        self.unreachable.get(address).is_some_and(|until| now < *until)
    }
}

/// Returns the checksum of a list of replicas, with which a daemon shows that it has the list.
pub fn checksum(replicas: &[ReplicaAddress]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    for ReplicaAddress { address, failure_domain } in replicas {
        hasher.update(address.as_bytes());
        hasher.update(b"\n");
        hasher.update(failure_domain.as_deref().unwrap_or_default().as_bytes());
        hasher.update(b"\n");
    }
    hasher.finalize()
}
