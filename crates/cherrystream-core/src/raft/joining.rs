//! Member slots for replicas that join on a new disk or a new host.
//!
//! The number of member slots is fixed at bootstrap. A joining replica fills a vacant slot, or that
//! of a lost replica. It catches up as a learner first, and votes only once an entry names its disk
//! (see `disks`), so admitting it does not change any quorum.

use super::disks::VACANT;
use super::progress::Progress;
use super::rejoin::QuorumContact;
use super::{Raft, Role};
use crate::units::Timestamp;
use cherrystream_schema::messages::ReplicaAddress;
use std::collections::BTreeMap;
use std::time::Duration;

/// Silence after which another replica may fill a member slot. Longer than a restart.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Silence after which a standby replica may fill a member slot. Longer than `REPLACEMENT_TIMEOUT`,
/// so that a host that was unreachable for a while keeps its slot.
const STANDBY_TIMEOUT: Duration = Duration::from_secs(10);
/// Silence after which a learner is dropped.
const LEARNER_TIMEOUT: Duration = Duration::from_secs(3);

/// A replica that asks for a member slot.
#[derive(Clone, Copy, Debug)]
pub struct JoiningReplica<'a> {
    /// Address of the replica.
    pub address: &'a str,
    /// Identifier of its disk.
    pub disk: &'a str,
    /// Failure domain of its host; empty where it does not affect the placement.
    pub failure_domain: &'a str,
    /// Whether it is a standby replica; otherwise it replaces a lost one.
    pub stands_by: bool,
    /// Number that it already runs under. Its data cannot be used under another one.
    pub runs_as: Option<u64>,
}

/// A leader's answer to a replica that asks for a member slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JoinDecision {
    /// The replica may run under this number.
    Granted(u64),
    /// No slot is free for it at present; it may retry.
    Deferred,
    /// The log names another disk for its slot, and the leader is in contact with that disk.
    SlotLost,
}

/// A member slot as recorded by the leader, for logs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SlotView {
    /// Number of the slot.
    pub id: u64,
    /// Newest voting disk; empty if the slot is vacant.
    pub voting_disk: String,
    /// Disk of the last acknowledgement under this number.
    pub last_acked_disk: Option<String>,
    /// Time since the last message under this number.
    pub silence: Duration,
    /// Disk of the learner that was last admitted.
    pub learner_disk: Option<String>,
    /// Time since the learner was admitted or last acknowledged a message.
    pub learner_silence: Option<Duration>,
}

/// A replica that was admitted to catch up.
#[derive(Debug)]
pub(super) struct Learner {
    address: String,
    disk: String,
    failure_domain: String,
    last_seen: Timestamp,
}

impl Learner {
    /// Records an acknowledgement from a disk.
    pub(super) fn on_ack(&mut self, now: Timestamp, disk: &str) {
        if self.disk == disk {
            self.last_seen = now;
        }
    }

    /// Returns whether the learner has this disk.
    pub(super) fn has_disk(&self, disk: &str) -> bool {
        self.disk == disk
    }

    /// Returns the address of the learner.
    pub(super) fn address(&self) -> &str {
        &self.address
    }

    /// Returns the failure domain of the learner, if known.
    pub(super) fn failure_domain(&self) -> Option<&str> {
        Some(self.failure_domain.as_str()).filter(|domain| !domain.is_empty())
    }

    pub(super) fn is_alive(&self, now: Timestamp) -> bool {
        now.since(self.last_seen) < LEARNER_TIMEOUT
    }
}

impl Raft {
    /// Admits a joining replica as a learner if a member slot is free for it. Only a leader admits.
    pub fn admit(&mut self, now: Timestamp, joining: JoiningReplica<'_>) -> JoinDecision {
        if !self.is_leader() {
            return JoinDecision::Deferred;
        }
        if joining.disk == self.opts.disk {
            // The leader's own request was forwarded back to it.
            return JoinDecision::Granted(self.opts.id);
        }
        if self.own_address() == Some(joining.address) {
            return JoinDecision::Deferred;
        }
        self.record_pending_join(now, joining);
        let id = match joining.runs_as {
            Some(id) if self.has_lost_slot(now, id, joining.disk) => {
                return JoinDecision::SlotLost;
            }
            Some(id) => Some(id).filter(|id| self.may_use_slot(now, *id, joining)),
            None => self.find_slot(now, joining),
        };
        let (Some(id), Role::Leader(state)) = (id, &mut self.role) else {
            return JoinDecision::Deferred;
        };
        let JoiningReplica { address, disk, failure_domain, .. } = joining;
        let learner = Learner {
            address: address.into(),
            disk: disk.into(),
            failure_domain: failure_domain.into(),
            last_seen: now,
        };
        state.learners.insert(id, learner);
        JoinDecision::Granted(id)
    }

    /// Returns the member slots of the other replicas; empty if this replica is not the leader.
    pub fn slot_views(&self, now: Timestamp) -> Vec<SlotView> {
        let Role::Leader(state) = &self.role else { return Vec::new() };
        let view = |(id, progress): (&u64, &Progress)| {
            let learner = state.learners.get(id);
            SlotView {
                id: *id,
                voting_disk: self.voting_disk(*id),
                last_acked_disk: progress.disk.clone(),
                silence: progress.silence(now),
                learner_disk: learner.map(|l| l.disk.clone()),
                learner_silence: learner.map(|l| now.since(l.last_seen)),
            }
        };
        state.progress.iter().map(view).collect()
    }

    fn own_address(&self) -> Option<&str> {
        let initial = || self.opts.addresses.get(&self.opts.id).map(String::as_str);
        self.logged_address(self.opts.id).or_else(initial)
    }

    /// Returns whether a committed entry names another disk for a slot, and that disk is in use: it
    /// is this leader's own disk, or one that the leader is in contact with. The learner that was
    /// admitted for a slot has not lost it to the holder that it replaces.
    fn has_lost_slot(&self, now: Timestamp, id: u64, disk: &str) -> bool {
        let Role::Leader(state) = &self.role else { return false };
        let committed = self.members.as_ref().and_then(|m| m.disks.get(&id.to_string()));
        let Some(voting) = committed.filter(|d| *d != VACANT && *d != disk) else { return false };
        if id == self.opts.id {
            return *voting == self.opts.disk;
        }
        if self.is_learner(now, id, disk) {
            return false;
        }
        let in_contact = |p: &Progress| now.since(p.last_seen) < REPLACEMENT_TIMEOUT;
        state.progress.get(&id).is_some_and(|p| p.disk.as_ref() == Some(voting) && in_contact(p))
    }

    /// Returns whether a disk is that of the learner that is catching up for a slot.
    fn is_learner(&self, now: Timestamp, id: u64, disk: &str) -> bool {
        let Role::Leader(state) = &self.role else { return false };
        state.learners.get(&id).is_some_and(|l| l.is_alive(now) && l.has_disk(disk))
    }

    /// Returns whether a replica may run under the number that it asks for.
    fn may_use_slot(&self, now: Timestamp, id: u64, joining: JoiningReplica<'_>) -> bool {
        let exists = self.others().contains(&id);
        let free = || self.is_free(now, id, joining) || self.is_replaceable(now, id, joining);
        exists && (self.is_assigned(now, id, joining.disk) || free())
    }

    fn find_slot(&self, now: Timestamp, joining: JoiningReplica<'_>) -> Option<u64> {
        let JoiningReplica { address, disk, .. } = joining;
        let others = self.others();
        let find = |wanted: &dyn Fn(u64) -> bool| others.iter().copied().find(|id| wanted(*id));
        // Repeated requests of a replica get the same number.
        let assigned = || find(&|id| self.is_assigned(now, id, disk));
        let same_host = || find(&|id| self.logged_address(id) == Some(address));
        let is_free = |id: u64| self.is_free(now, id, joining);
        let is_replaceable = |id: u64| self.is_replaceable(now, id, joining);
        let admitted_before = |id: u64| self.learner_at(now, id).is_some_and(|at| at == address);
        let same_learner =
            || find(&|id| admitted_before(id) && (is_free(id) || is_replaceable(id)));
        let suits = |id: u64| self.is_suitable(now, id, joining);
        let vacant = || find(&|id| is_free(id) && suits(id));
        let replaceable = || find(&|id| is_replaceable(id) && suits(id));
        let known = assigned().or_else(same_host).or_else(same_learner);
        known.or_else(vacant).or_else(replaceable)
    }

    /// Returns the failure domain of a replica, if known.
    pub fn failure_domain_of(&self, now: Timestamp, id: u64) -> Option<&str> {
        if let Role::Leader(state) = &self.role
            && let Some(learner) = state.learners.get(&id).filter(|l| l.is_alive(now))
        {
            return learner.failure_domain();
        }
        self.logged_failure_domain(id)
    }

    /// Returns the failure domain of this replica, if configured.
    pub(super) fn own_failure_domain(&self) -> Option<String> {
        Some(self.opts.failure_domain.clone()).filter(|domain| !domain.is_empty())
    }

    /// Returns whether a disk is the voting disk of a slot, or that of its learner.
    fn is_assigned(&self, now: Timestamp, id: u64, disk: &str) -> bool {
        self.is_member(id, disk) || self.is_learner(now, id, disk)
    }

    /// Returns whether a learner is catching up for a slot.
    pub(super) fn has_learner(&self, now: Timestamp, id: u64) -> bool {
        self.learner_at(now, id).is_some()
    }

    /// Returns the address of the learner that is catching up for a slot. Once its disk votes, it is
    /// a member like any other.
    fn learner_at(&self, now: Timestamp, id: u64) -> Option<&str> {
        let Role::Leader(state) = &self.role else { return None };
        let catches_up = |l: &&Learner| l.is_alive(now) && !self.is_member(id, &l.disk);
        state.learners.get(&id).filter(catches_up).map(|l| l.address.as_str())
    }

    /// Returns whether a learner at another address is catching up for a slot. One at the address of
    /// a joining replica has started again with another disk.
    fn has_other_learner(&self, now: Timestamp, id: u64, joining: JoiningReplica<'_>) -> bool {
        self.learner_at(now, id).is_some_and(|address| address != joining.address)
    }

    /// Returns whether a slot is vacant and has no other learner.
    fn is_free(&self, now: Timestamp, id: u64, joining: JoiningReplica<'_>) -> bool {
        self.is_vacant(id) && !self.has_other_learner(now, id, joining)
    }

    /// Returns whether the holder of a slot has been silent for so long that a joining replica may
    /// have it.
    fn is_replaceable(&self, now: Timestamp, id: u64, joining: JoiningReplica<'_>) -> bool {
        let Role::Leader(state) = &self.role else { return false };
        let timeout = if joining.stands_by { STANDBY_TIMEOUT } else { REPLACEMENT_TIMEOUT };
        let is_silent = |p: &Progress| p.silence(now) >= timeout;
        !self.has_other_learner(now, id, joining) && state.progress.get(&id).is_some_and(is_silent)
    }

    /// Returns the addresses and failure domains of all replicas; empty where addresses are fixed.
    /// The address of a vacant slot may be empty.
    pub fn addresses(&self, now: Timestamp) -> BTreeMap<u64, ReplicaAddress> {
        let replica = |id: &u64| {
            let address = self.address_of(now, *id)?;
            let failure_domain = self.failure_domain_of(now, *id).map(str::to_string);
            Some((*id, ReplicaAddress { address, failure_domain }))
        };
        self.opts.replicas.iter().filter_map(replica).collect()
    }

    /// Returns the address of a replica, unless it is fixed: that of its learner, else the one in
    /// the log, else the configured one.
    pub fn address_of(&self, now: Timestamp, id: u64) -> Option<String> {
        if let Role::Leader(state) = &self.role
            && let Some(learner) = state.learners.get(&id).filter(|l| l.is_alive(now))
        {
            return Some(learner.address.clone());
        }
        let logged = self.logged_address(id).map(str::to_string);
        logged.or_else(|| self.opts.addresses.get(&id).cloned())
    }

    /// Returns the last contact with a leader that has a quorum.
    pub fn quorum_contact(&self, now: Timestamp) -> QuorumContact {
        match &self.role {
            Role::Leader(_) => QuorumContact::Heard { age: self.time_since_quorum(now) },
            _ => match self.leader_last_seen {
                Some(at) => QuorumContact::Heard { age: now.since(at) },
                None => QuorumContact::NotYet,
            },
        }
    }

    /// Returns the time since this leader was last in contact with a quorum, itself included.
    fn time_since_quorum(&self, now: Timestamp) -> Duration {
        let Role::Leader(state) = &self.role else { return Duration::MAX };
        let needed = self.quorum() - usize::from(self.is_voter());
        // A replica that has not replied yet counts as seen when this replica was elected.
        let voting = |(id, p): &(&u64, &Progress)| p.disk.is_none() || self.is_voting(**id, p);
        let voting = state.progress.iter().filter(voting);
        let mut ages: Vec<Duration> = voting.map(|(_, p)| now.since(p.last_seen)).collect();
        ages.sort_unstable();
        match needed.checked_sub(1) {
            None => Duration::ZERO,
            Some(last) => ages.get(last).copied().unwrap_or(Duration::MAX),
        }
    }
}
