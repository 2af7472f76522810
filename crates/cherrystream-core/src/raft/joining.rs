//! Places for replicas that the group does not know: on a new disk, or on a new host.
//!
//! The places of the group stay as it was founded; a newcomer takes a vacant one, or that of a
//! replica that is gone. It catches up first, and its disk counts from the entry on that names it
//! (see `disks`), so that letting it in promises nothing yet.

use super::asking::QuorumWord;
use super::disks::VACANT;
use super::progress::Progress;
use super::{Raft, Role};
use crate::units::Timestamp;
use cherrystream_schema::messages::ReplicaAddress;
use std::collections::BTreeMap;
use std::time::Duration;

/// Silence after which a replica's number may be given to a newcomer. A restart is shorter.
const REPLACED_AFTER: Duration = Duration::from_millis(1_500);
/// As `REPLACED_AFTER`, for a newcomer that stands by: it comes in nobody's place, so a host that was
/// lost for a while keeps its own.
const STANDBY_AFTER: Duration = Duration::from_secs(10);
/// Silence after which a newcomer that was let in is given up.
const CANDIDATE_LIFE: Duration = Duration::from_secs(3);

/// A replica that asks for a place.
#[derive(Clone, Copy, Debug)]
pub struct Newcomer<'a> {
    /// Its address.
    pub address: &'a str,
    /// Identifier of its disk.
    pub disk: &'a str,
    /// Failure domain of its host; empty where places do not go by it.
    pub failure_domain: &'a str,
    /// Whether it stands by; else it comes in the place of another.
    pub stands_by: bool,
    /// Number that it runs under already. It can use no other one with the data that it holds.
    pub runs_as: Option<u64>,
}

/// What a leader says to a replica that asks for a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may run under this number.
    Granted(u64),
    /// No place is free for it now; it may ask again.
    NotNow,
    /// The log names another disk for the place that it runs under, and the leader hears that one.
    Lost,
}

/// A newcomer that was let in to catch up.
#[derive(Debug)]
pub(super) struct Candidate {
    address: String,
    disk: String,
    failure_domain: String,
    heard: Timestamp,
}

impl Candidate {
    /// Notes an acknowledgement.
    pub(super) fn on_ack(&mut self, now: Timestamp, disk: &str) {
        if self.disk == disk {
            self.heard = now;
        }
    }

    /// Returns whether the newcomer has this disk.
    pub(super) fn has_disk(&self, disk: &str) -> bool {
        self.disk == disk
    }

    /// Returns the address of the newcomer.
    pub(super) fn address(&self) -> &str {
        &self.address
    }

    /// Returns the failure domain of the newcomer, where it is known.
    pub(super) fn failure_domain(&self) -> Option<&str> {
        Some(self.failure_domain.as_str()).filter(|domain| !domain.is_empty())
    }

    pub(super) fn is_alive(&self, now: Timestamp) -> bool {
        now.since(self.heard) < CANDIDATE_LIFE
    }
}

impl Raft {
    /// Lets a newcomer in to catch up, if a place is free for it. Only a leader does so.
    pub fn admit(&mut self, now: Timestamp, newcomer: Newcomer<'_>) -> Admission {
        if !self.is_leader() {
            return Admission::NotNow;
        }
        if newcomer.disk == self.opts.disk {
            // Its own question came round to it by another replica.
            return Admission::Granted(self.opts.id);
        }
        if self.own_address() == Some(newcomer.address) {
            return Admission::NotNow;
        }
        self.note_asker(now, newcomer);
        let id = match newcomer.runs_as {
            Some(id) if self.lost_place(id, newcomer.disk) => return Admission::Lost,
            Some(id) => Some(id).filter(|id| self.may_take(now, *id, newcomer)),
            None => self.place_for(now, newcomer),
        };
        let (Some(id), Role::Leader(leading)) = (id, &mut self.role) else {
            return Admission::NotNow;
        };
        let Newcomer { address, disk, failure_domain, .. } = newcomer;
        let candidate = Candidate {
            address: address.into(),
            disk: disk.into(),
            failure_domain: failure_domain.into(),
            heard: now,
        };
        leading.candidates.insert(id, candidate);
        Admission::Granted(id)
    }

    fn own_address(&self) -> Option<&str> {
        let first = || self.opts.addresses.get(&self.opts.id).map(String::as_str);
        self.logged_address(self.opts.id).or_else(first)
    }

    /// Returns whether a committed entry names another disk for a place, and that disk is there: it
    /// is this leader's own, or was the last one heard under that number.
    fn lost_place(&self, id: u64, disk: &str) -> bool {
        let Role::Leader(leading) = &self.role else { return false };
        let committed = self.members.as_ref().and_then(|m| m.disks.get(&id.to_string()));
        let Some(counted) = committed.filter(|d| *d != VACANT && *d != disk) else { return false };
        if id == self.opts.id {
            return *counted == self.opts.disk;
        }
        leading.progress.get(&id).is_some_and(|p| p.disk.as_ref() == Some(counted))
    }

    /// Returns whether a replica may run under the number that it asks for.
    fn may_take(&self, now: Timestamp, id: u64, newcomer: Newcomer<'_>) -> bool {
        let exists = self.others().contains(&id);
        let free = || self.is_open(now, id) || self.is_silent(now, id, newcomer.stands_by);
        exists && (self.is_known(id, newcomer.disk) || free())
    }

    fn place_for(&self, now: Timestamp, newcomer: Newcomer<'_>) -> Option<u64> {
        let Newcomer { address, disk, stands_by, .. } = newcomer;
        let others = self.others();
        let find = |wanted: &dyn Fn(u64) -> bool| others.iter().copied().find(|id| wanted(*id));
        // A newcomer that asks again gets the same number.
        let known = || find(&|id| self.is_known(id, disk));
        let same_host = || find(&|id| self.logged_address(id) == Some(address));
        let suits = |id: u64| self.suits(now, id, newcomer);
        let open = || find(&|id| self.is_open(now, id) && suits(id));
        let silent = || find(&|id| self.is_silent(now, id, stands_by) && suits(id));
        known().or_else(same_host).or_else(open).or_else(silent)
    }

    /// Returns the failure domain of a replica, as far as it is known.
    pub fn failure_domain_of(&self, now: Timestamp, id: u64) -> Option<&str> {
        if let Role::Leader(leading) = &self.role
            && let Some(candidate) = leading.candidates.get(&id).filter(|c| c.is_alive(now))
        {
            return candidate.failure_domain();
        }
        self.logged_failure_domain(id)
    }

    /// Returns the failure domain of this replica, where places go by it.
    pub(super) fn own_failure_domain(&self) -> Option<String> {
        Some(self.opts.failure_domain.clone()).filter(|domain| !domain.is_empty())
    }

    /// Returns whether a disk counts for a place, or was let in to catch up for it.
    fn is_known(&self, id: u64, disk: &str) -> bool {
        let Role::Leader(leading) = &self.role else { return false };
        let candidate = leading.candidates.get(&id);
        self.is_member(id, disk) || candidate.is_some_and(|c| c.disk == disk)
    }

    /// Returns whether a newcomer is catching up for a place.
    pub(super) fn is_taken(&self, now: Timestamp, id: u64) -> bool {
        let Role::Leader(leading) = &self.role else { return false };
        leading.candidates.get(&id).is_some_and(|c| c.is_alive(now))
    }

    /// Returns whether a place is vacant, and nobody is catching up for it.
    fn is_open(&self, now: Timestamp, id: u64) -> bool {
        self.is_vacant(id) && !self.is_taken(now, id)
    }

    /// Returns whether the holder of a place has been silent for so long that another may have it.
    fn is_silent(&self, now: Timestamp, id: u64, stands_by: bool) -> bool {
        let Role::Leader(leading) = &self.role else { return false };
        let replaced_after = if stands_by { STANDBY_AFTER } else { REPLACED_AFTER };
        let heard = leading.progress.get(&id).map(|p| p.heard);
        !self.is_taken(now, id) && heard.is_some_and(|at| now.since(at) >= replaced_after)
    }

    /// Returns where all replicas are; nothing where their addresses are fixed. The address of a vacant place may be
    /// empty.
    pub fn addresses(&self, now: Timestamp) -> BTreeMap<u64, ReplicaAddress> {
        let replica = |id: &u64| {
            let address = self.address_of(now, *id)?;
            let failure_domain = self.failure_domain_of(now, *id).map(str::to_string);
            Some((*id, ReplicaAddress { address, failure_domain }))
        };
        self.opts.replicas.iter().filter_map(replica).collect()
    }

    /// Returns the address of a replica as far as it is not fixed: that of a newcomer which is
    /// catching up under its number, else the one in the log, else the one it began with.
    pub fn address_of(&self, now: Timestamp, id: u64) -> Option<String> {
        if let Role::Leader(leading) = &self.role
            && let Some(candidate) = leading.candidates.get(&id).filter(|c| c.is_alive(now))
        {
            return Some(candidate.address.clone());
        }
        let logged = self.logged_address(id).map(str::to_string);
        logged.or_else(|| self.opts.addresses.get(&id).cloned())
    }

    /// Returns how old the word of a leader with a quorum is here.
    pub fn quorum_word(&self, now: Timestamp) -> QuorumWord {
        match &self.role {
            Role::Leader(_) => QuorumWord::Heard { age: self.quorum_heard(now) },
            _ => match self.heard_leader {
                Some(at) => QuorumWord::Heard { age: now.since(at) },
                None => QuorumWord::NotYet,
            },
        }
    }

    /// Returns the time since a quorum was last heard, this replica included.
    fn quorum_heard(&self, now: Timestamp) -> Duration {
        let Role::Leader(leading) = &self.role else { return Duration::MAX };
        let needed = self.quorum() - usize::from(self.is_voter());
        // One that has not spoken yet was heard, so to say, when this replica was elected.
        let counted = |(id, p): &(&u64, &Progress)| p.disk.is_none() || self.counts(**id, p);
        let counted = leading.progress.iter().filter(counted);
        let mut ages: Vec<Duration> = counted.map(|(_, p)| now.since(p.heard)).collect();
        ages.sort_unstable();
        match needed.checked_sub(1) {
            None => Duration::ZERO,
            Some(last) => ages.get(last).copied().unwrap_or(Duration::MAX),
        }
    }
}
