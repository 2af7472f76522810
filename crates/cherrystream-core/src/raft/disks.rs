//! Which disks count.
//!
//! A group has a fixed number of places, and a quorum is a majority of the places. Each place is
//! vacant or names the disk that counts there. In general an entry that changes a place counts from
//! the moment on that it is in the log, and a place that names a disk is vacated by one entry before
//! another one names the next disk. The leader appends such an entry only when the one before is
//! committed. So each change adds or removes one voter, and any two quorums that may decide at the
//! same time share a replica, as in the single-server changes of Raft.
//!
//! A group of three replaces a disk by one entry, so that two replicas can do it at once.
//!
//! A replacement is committed by a majority without the replaced replica. In a group of three
//! that majority is the two others: the leader that proposed the entry, and the one that holds
//! it. So the one that holds it may count the new disk before it hears of the commitment. Without
//! that, losing the leader in just this moment would leave two good replicas that do not trust
//! each other. The leader that proposed the entry must wait for the commitment, for it may have
//! been replaced without knowing; or until its log shows that the third replica, when it led
//! later, held the entry too. A new disk whose log shows that tells it with its votes.

use super::Raft;
use cherrystream_schema::messages::{Command, Entry};

/// Size of the groups in which an entry that is held shows the majority's consent.
const GROUP_OF_THREE: usize = 3;
/// Stands for the disk of a vacant place.
pub(super) const VACANT: &str = "";

/// A disk replacement that is not known to be committed.
#[derive(Debug)]
pub(super) struct PendingDisk {
    pub(super) index: u64,
    replica: u64,
    disk: String,
    /// Address of the replica on the new disk, where addresses are not fixed.
    address: Option<String>,
    /// Failure domain of the replica on the new disk, where it is known.
    failure_domain: Option<String>,
    by: u64,
    /// Index of a later entry by which the third replica opened its term as the leader.
    third_led_at: Option<u64>,
}

impl PendingDisk {
    fn of(entry: &Entry) -> Option<PendingDisk> {
        let Command::ReplaceDisk { replica, disk, by, address, failure_domain } = &entry.command
        else {
            return None;
        };
        Some(PendingDisk {
            index: entry.index,
            replica: *replica,
            disk: disk.clone(),
            address: address.clone(),
            failure_domain: failure_domain.clone(),
            by: *by,
            third_led_at: None,
        })
    }
}

impl Raft {
    /// Returns whether votes and acknowledgements of a replica with this disk count.
    pub(super) fn is_member(&self, id: u64, disk: &str) -> bool {
        if !self.is_group_of_three() {
            return disk != VACANT && self.counted_disk(id) == disk;
        }
        let members = self.members.as_ref();
        let committed = members.and_then(|m| m.disks.get(&id.to_string()));
        committed.is_some_and(|d| d == disk) || self.holds_replacement(id, disk)
    }

    /// Returns whether this replica knows that two others hold the entry that names its disk.
    pub(super) fn own_disk_counts(&self) -> bool {
        let (id, disk) = (self.opts.id, &self.opts.disk);
        let shown =
            |p: &PendingDisk| p.third_led_at.is_some() && p.replica == id && p.disk == *disk;
        let committed = self.members.as_ref().and_then(|m| m.disks.get(&id.to_string()));
        committed == Some(disk) || self.pending_disks.iter().any(shown)
    }

    /// Returns whether a replica that knows that its disk counts is believed: only if the log here
    /// holds the entry that names the disk, for a disk that was replaced must not come back.
    pub(super) fn believes(&self, id: u64, disk: &str) -> bool {
        let named = |p: &PendingDisk| p.replica == id && p.disk == disk;
        self.is_group_of_three() && self.pending_disks.iter().any(named)
    }

    /// Returns whether disks are replaced by the rules for groups of three.
    pub(super) fn is_group_of_three(&self) -> bool {
        self.opts.replicas.len() == GROUP_OF_THREE
    }

    /// Returns whether a place names no disk.
    pub(super) fn is_vacant(&self, id: u64) -> bool {
        self.members.is_some() && self.counted_disk(id) == VACANT
    }

    /// Returns the disk that counts for a replica: the newest one; [`VACANT`] for a vacant place.
    pub(super) fn counted_disk(&self, id: u64) -> String {
        let pending =
            self.pending_disks.iter().rev().find(|p| p.replica == id && self.counts_now(p));
        if let Some(pending) = pending {
            return pending.disk.clone();
        }
        let members = self.members.as_ref();
        members.and_then(|m| m.disks.get(&id.to_string())).cloned().unwrap_or_default()
    }

    /// Returns the address that the log names for a replica, the newest one first.
    pub(super) fn logged_address(&self, id: u64) -> Option<&str> {
        let pending = self.pending_disks.iter().rev().find(|p| p.replica == id);
        let pending = pending.and_then(|p| p.address.as_deref());
        let members = self.members.as_ref();
        let committed = || members.and_then(|m| m.addresses.get(&id.to_string()));
        pending.or_else(|| committed().map(String::as_str))
    }

    /// Returns the failure domain that the log names for a replica, the newest one first.
    pub(super) fn logged_failure_domain(&self, id: u64) -> Option<&str> {
        let pending = self.pending_disks.iter().rev().find(|p| p.replica == id);
        let pending = pending.and_then(|p| p.failure_domain.as_deref());
        let members = self.members.as_ref();
        let committed = || members.and_then(|m| m.failure_domains.get(&id.to_string()));
        pending.or_else(|| committed().map(String::as_str))
    }

    fn holds_replacement(&self, id: u64, disk: &str) -> bool {
        let named = |p: &&PendingDisk| p.replica == id && p.disk == disk;
        self.pending_disks.iter().filter(named).any(|p| self.counts_now(p))
    }

    /// In a group of three, two replicas hold the entry if one holds it that did not propose it.
    fn counts_now(&self, pending: &PendingDisk) -> bool {
        let two_hold_it = pending.by != self.opts.id || pending.third_led_at.is_some();
        two_hold_it || !self.is_group_of_three()
    }

    pub(super) fn push_entry(&mut self, entry: Entry) {
        self.note_disks(&entry);
        self.log.push(entry);
    }

    fn note_disks(&mut self, entry: &Entry) {
        self.pending_disks.extend(PendingDisk::of(entry));
        let Command::Noop { by } = entry.command else { return };
        for pending in self.pending_disks.iter_mut().filter(|p| by != p.by && by != p.replica) {
            pending.third_led_at.get_or_insert(entry.index);
        }
    }

    pub(super) fn truncate_log(&mut self, from: u64) {
        self.pending_disks.retain(|pending| pending.index < from);
        for pending in &mut self.pending_disks {
            pending.third_led_at = pending.third_led_at.filter(|index| *index < from);
        }
        self.log.truncate(from);
    }

    pub(super) fn find_pending_disks(&mut self) {
        for entry in self.log.range(self.commit + 1, self.log.last().index) {
            self.note_disks(&entry);
        }
    }
}
