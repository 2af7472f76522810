//! Spreads the places of the group over failure domains.
//!
//! The loss of a failure domain must take as few votes as possible, and the daemons of one without a replica get
//! every change from afar. So a place goes to a replica of the failure domain that holds the fewest. Five places were
//! seen to lie in four of five failure domains where whoever asked first got the next one.

use super::joining::Newcomer;
use super::{Raft, Role};
use crate::units::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a replica that stands by in a failure domain which holds a place leaves the next one to those of other
/// failure domains. Hosts that start together do so within 0.3 s and ask four times a second.
const PATIENCE: Duration = Duration::from_millis(1_000);
/// Silence after which a replica no longer counts as asking: three questions of one that has asked for long.
const SILENCE: Duration = Duration::from_millis(3_000);

/// A replica without a place.
#[derive(Debug)]
struct Asker {
    failure_domain: String,
    first: Timestamp,
    last: Timestamp,
}

/// Replicas without a place that asked for one, by their disks.
#[derive(Debug, Default)]
pub(super) struct Askers {
    by_disk: BTreeMap<String, Asker>,
}

impl Askers {
    fn hear(&mut self, now: Timestamp, newcomer: Newcomer<'_>) {
        self.by_disk.retain(|_, asker| now.since(asker.last) < SILENCE);
        let fresh =
            || Asker { failure_domain: newcomer.failure_domain.into(), first: now, last: now };
        let asker = self.by_disk.entry(newcomer.disk.into()).or_insert_with(fresh);
        asker.last = now;
    }

    /// Returns for how long a replica has been asking.
    fn waited(&self, now: Timestamp, disk: &str) -> Duration {
        self.by_disk.get(disk).map_or(Duration::ZERO, |asker| now.since(asker.first))
    }

    /// Returns the failure domains of the others that ask.
    fn other_domains(&self, now: Timestamp, disk: &str) -> impl Iterator<Item = &str> {
        let others = self.by_disk.iter().filter(move |(other, asker)| {
            other.as_str() != disk && now.since(asker.last) < SILENCE
        });
        others.map(|(_, asker)| asker.failure_domain.as_str())
    }
}

impl Raft {
    /// Notes that a replica without a place asks for one.
    pub(super) fn note_asker(&mut self, now: Timestamp, newcomer: Newcomer<'_>) {
        if newcomer.runs_as.is_none()
            && let Role::Leader(leading) = &mut self.role
        {
            leading.askers.hear(now, newcomer);
        }
    }

    /// Returns whether a place may go to a newcomer now: no failure domain that asks holds fewer, and others had time
    /// to ask. One that comes in the place of another waits for nobody, for its group lacks a replica until then, and those
    /// that stand by are kept from that place for longer.
    pub(super) fn suits(&self, now: Timestamp, place: u64, newcomer: Newcomer<'_>) -> bool {
        let Role::Leader(leading) = &self.role else { return false };
        let held = self.places_by_domain(now, place);
        let count = |domain: &str| held.get(domain).copied().unwrap_or(0);
        let own = count(newcomer.failure_domain);
        if own == 0 || newcomer.failure_domain.is_empty() || !newcomer.stands_by {
            return true;
        }
        let waited = leading.askers.waited(now, newcomer.disk) >= PATIENCE;
        let mut others = leading.askers.other_domains(now, newcomer.disk);
        waited && !others.any(|domain| count(domain) < own)
    }

    /// Counts the places of each failure domain that are filled or promised, but for one.
    fn places_by_domain(&self, now: Timestamp, without: u64) -> BTreeMap<&str, usize> {
        let mut held = BTreeMap::new();
        let taken = |id: &u64| *id != without && (!self.is_vacant(*id) || self.is_taken(now, *id));
        for id in self.opts.replicas.iter().copied().filter(taken) {
            if let Some(domain) = self.failure_domain_of(now, id) {
                *held.entry(domain).or_default() += 1;
            }
        }
        held
    }
}
