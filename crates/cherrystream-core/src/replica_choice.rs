//! Which control replica a daemon keeps to: one of its own failure domain wherever there is one.
//!
//! Bytes between failure domains are dear, and each change goes to each daemon. At 300 daemons those that kept to a
//! replica of another failure domain made more than half of what crossed on a quiet day.

use crate::units::Timestamp;
use cherrystream_schema::messages::ReplicaAddress;
use std::collections::BTreeMap;
use std::time::Duration;

/// Shortest time for which a replica that was lost is left alone while there are others: a restart.
const LEFT_ALONE: Duration = Duration::from_millis(500);
/// Time for which it is left alone for each unit of time that the failed call took: a daemon is without control at most a
/// sixth of the time on account of one replica that stays silent.
const LEFT_ALONE_FOR_TRY: u32 = 5;

/// The control replicas that a daemon knows, and the order in which it tries them.
#[derive(Debug)]
pub struct ReplicaChoice {
    failure_domain: String,
    replicas: Vec<ReplicaAddress>,
    /// Replicas that were lost, with the time until which they are left alone.
    lost: BTreeMap<String, Timestamp>,
    turn: usize,
}

impl ReplicaChoice {
    /// Creates the choice of a daemon that knows addresses only. Daemons spread over the replicas by `turn`.
    pub fn new(failure_domain: &str, addresses: Vec<String>, turn: u64) -> ReplicaChoice {
        let unknown = |address| ReplicaAddress { address, failure_domain: None };
        let replicas: Vec<_> = addresses.into_iter().map(unknown).collect();
        let turn = (turn % replicas.len().max(1) as u64) as usize;
        ReplicaChoice {
            failure_domain: failure_domain.into(),
            replicas,
            lost: BTreeMap::new(),
            turn,
        }
    }

    /// Returns the replica to try now: one nearby, else any in turn; those lost lately come last.
    pub fn next(&self, now: Timestamp) -> Option<&str> {
        let sound = |replica: &&ReplicaAddress| !self.was_lost_lately(now, &replica.address);
        let near = self.replicas.iter().filter(|replica| self.is_near(replica)).filter(sound);
        let sound = self.replicas.iter().filter(sound);
        let in_turn = |replicas: Vec<&ReplicaAddress>| {
            let count = replicas.len().max(1);
            replicas.get(self.turn % count).map(|replica| self.position(&replica.address))
        };
        let position = in_turn(near.collect())
            .or_else(|| in_turn(sound.collect()))
            .or_else(|| in_turn(self.replicas.iter().collect()))?;
        self.replicas.get(position?).map(|replica| replica.address.as_str())
    }

    fn position(&self, address: &str) -> Option<usize> {
        self.replicas.iter().position(|replica| replica.address == address)
    }

    /// Takes the replicas that one of them tells of, in place of those known before.
    pub fn learn(&mut self, replicas: &[ReplicaAddress]) {
        if replicas.is_empty() {
            return;
        }
        let known = std::mem::take(&mut self.replicas);
        let domain_of = |address: &str| {
            let known = known.iter().find(|replica| replica.address == address);
            known.and_then(|replica| replica.failure_domain.clone())
        };
        let merge = |told: &ReplicaAddress| {
            let failure_domain = told.failure_domain.clone().or_else(|| domain_of(&told.address));
            ReplicaAddress { address: told.address.clone(), failure_domain }
        };
        self.replicas = replicas.iter().map(merge).collect();
        let replicas = &self.replicas;
        self.lost.retain(|address, _| replicas.iter().any(|r| r.address == *address));
    }

    /// Adds addresses that the settings name: the replicas known so far may all be gone.
    pub fn add(&mut self, addresses: impl Iterator<Item = String>) {
        for address in addresses {
            if self.position(&address).is_none() {
                self.replicas.push(ReplicaAddress { address, failure_domain: None });
            }
        }
    }

    /// Notes the failure domain that a replica tells of itself.
    pub fn on_domain(&mut self, address: &str, failure_domain: &str) {
        if let Some(replica) = self.replicas.iter_mut().find(|r| r.address == address) {
            replica.failure_domain = Some(failure_domain.into());
        }
    }

    /// Notes that a replica does not answer, or cannot; the call that showed it took `took`.
    pub fn on_lost(&mut self, now: Timestamp, address: &str, took: Duration) {
        let left_alone = LEFT_ALONE.max(took * LEFT_ALONE_FOR_TRY);
        self.lost.insert(address.into(), now + left_alone);
        self.turn = self.turn.wrapping_add(1);
    }

    /// Notes that a replica serves this daemon.
    pub fn on_served(&mut self, address: &str) {
        self.lost.remove(address);
    }

    /// Returns whether another replica is to be tried in place of one that serves: the one does not lie nearby, and
    /// the other does.
    pub fn is_nearer_known(&self, now: Timestamp, address: &str) -> bool {
        let serves_near = |r: &ReplicaAddress| r.address == address && self.is_near(r);
        let is_open =
            |r: &ReplicaAddress| self.is_near(r) && !self.was_lost_lately(now, &r.address);
        !self.replicas.iter().any(serves_near) && self.replicas.iter().any(is_open)
    }

    /// Returns whether a replica is known to lie in this failure domain.
    pub fn is_known_near(&self, address: &str) -> bool {
        self.replicas.iter().any(|r| r.address == address && self.is_near(r))
    }

    /// Returns how many replicas are known.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Returns whether no replica is known.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Returns the checksum of the replicas that are known.
    pub fn checksum(&self) -> u32 {
        checksum(&self.replicas)
    }

    fn is_near(&self, replica: &ReplicaAddress) -> bool {
        replica.failure_domain.as_deref() == Some(self.failure_domain.as_str())
    }

    fn was_lost_lately(&self, now: Timestamp, address: &str) -> bool {
        self.lost.get(address).is_some_and(|until| now < *until)
    }
}

/// Returns the checksum of replicas: a daemon that knows of them need not be told again.
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
