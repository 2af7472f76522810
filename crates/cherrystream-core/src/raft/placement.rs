//! Distribution of the member slots over failure domains.
//!
//! The loss of a failure domain should cost as few votes as possible, and daemons in a failure
//! domain without a replica receive every change from a remote one. A slot therefore goes to a
//! replica of the failure domain that holds the fewest.

use super::joining::JoiningReplica;
use super::{Raft, Role};
use crate::units::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a standby replica in a failure domain that already holds a slot leaves the next
/// one to other failure domains. Covers several request intervals of hosts that start together.
const DOMAIN_PREFERENCE_DELAY: Duration = Duration::from_millis(1_000);
/// Silence after which a replica no longer counts as asking. Covers several request intervals.
const REQUEST_EXPIRY: Duration = Duration::from_millis(3_000);

/// A replica that asks for a member slot.
#[derive(Debug)]
struct PendingJoin {
    failure_domain: String,
    /// Slot under whose number it already runs.
    runs_as: Option<u64>,
    stands_by: bool,
    first_request: Timestamp,
    last_request: Timestamp,
}

/// Replicas that ask for a member slot, by their disks.
#[derive(Debug, Default)]
pub(super) struct PendingJoins {
    by_disk: BTreeMap<String, PendingJoin>,
}

impl PendingJoins {
    fn record(&mut self, now: Timestamp, joining: JoiningReplica<'_>) {
        self.by_disk.retain(|_, join| now.since(join.last_request) < REQUEST_EXPIRY);
        let fresh = || PendingJoin {
            failure_domain: joining.failure_domain.into(),
            runs_as: joining.runs_as,
            stands_by: joining.stands_by,
            first_request: now,
            last_request: now,
        };
        let join = self.by_disk.entry(joining.disk.into()).or_insert_with(fresh);
        join.last_request = now;
    }

    /// Returns the other replicas that ask.
    fn others(&self, now: Timestamp, disk: &str) -> impl Iterator<Item = &PendingJoin> {
        let others = self.by_disk.iter().filter(move |(other, join)| {
            other.as_str() != disk && now.since(join.last_request) < REQUEST_EXPIRY
        });
        others.map(|(_, join)| join)
    }

    /// Returns the time since the first request of a replica.
    fn waited(&self, now: Timestamp, disk: &str) -> Duration {
        self.by_disk.get(disk).map_or(Duration::ZERO, |join| now.since(join.first_request))
    }

    /// Returns the failure domains of the other replicas that ask and do not run under a number.
    fn other_domains(&self, now: Timestamp, disk: &str) -> impl Iterator<Item = &str> {
        let without_slot = self.others(now, disk).filter(|join| join.runs_as.is_none());
        without_slot.map(|join| join.failure_domain.as_str())
    }

    /// Returns whether another replica, admitted by an earlier leader, asks for a slot again. A
    /// standby replica does not count, since it has to wait longer than one that replaces a lost
    /// replica.
    fn is_requested_again(&self, now: Timestamp, slot: u64, disk: &str) -> bool {
        self.others(now, disk).any(|join| join.runs_as == Some(slot) && !join.stands_by)
    }
}

impl Raft {
    /// Records the request of a replica whose disk does not vote.
    pub(super) fn record_pending_join(&mut self, now: Timestamp, joining: JoiningReplica<'_>) {
        if let Role::Leader(state) = &mut self.role {
            state.pending_joins.record(now, joining);
        }
    }

    /// Returns whether a slot may go to a joining replica now: no replica that already runs under
    /// its number asks for it, no failure domain that asks holds fewer slots, and others had time to
    /// ask. A replica that replaces a lost one does not wait,
    /// because the group lacks a replica until then, and standby replicas wait longer for that slot
    /// anyway.
    pub(super) fn is_suitable(
        &self,
        now: Timestamp,
        slot: u64,
        joining: JoiningReplica<'_>,
    ) -> bool {
        let Role::Leader(state) = &self.role else { return false };
        if state.pending_joins.is_requested_again(now, slot, joining.disk) {
            return false;
        }
        let held = self.slots_by_domain(now, slot);
        let count = |domain: &str| held.get(domain).copied().unwrap_or(0);
        let own = count(joining.failure_domain);
        if own == 0 || joining.failure_domain.is_empty() || !joining.stands_by {
            return true;
        }
        let waited = state.pending_joins.waited(now, joining.disk) >= DOMAIN_PREFERENCE_DELAY;
        let mut others = state.pending_joins.other_domains(now, joining.disk);
        waited && !others.any(|domain| count(domain) < own)
    }

    /// Counts the slots of each failure domain that are filled or have a learner, except one slot.
    fn slots_by_domain(&self, now: Timestamp, without: u64) -> BTreeMap<&str, usize> {
        let mut held = BTreeMap::new();
        let is_filled =
            |id: &u64| *id != without && (!self.is_vacant(*id) || self.has_learner(now, *id));
        for id in self.opts.replicas.iter().copied().filter(is_filled) {
            if let Some(domain) = self.failure_domain_of(now, id) {
                *held.entry(domain).or_default() += 1;
            }
        }
        held
    }
}
