//! Membership: which disks vote.
//!
//! A group has a fixed number of member slots, and a quorum is a majority of the slots. Each slot
//! is vacant or names its voting disk. In general an entry that changes a slot takes effect as soon
//! as it is in the log, and one entry vacates a slot before another one names its next disk. The
//! leader appends such an entry only when the previous one is committed. Each change therefore adds
//! or removes one voter, and any two quorums that may decide at the same time share a replica, as
//! in the single-server membership changes of Raft.
//!
//! A group of three replaces a disk by a single entry, so that two replicas suffice for it.
//!
//! A replacement is committed by a majority without the replaced replica. In a group of three that
//! majority consists of the leader that proposed the entry and the replica that holds it. The
//! latter may treat the new disk as voting before it learns of the commit; otherwise losing the
//! leader at that moment would leave two healthy replicas that reject each other's votes. The
//! leader that proposed the entry waits for the commit, because another leader may have been
//! elected meanwhile, or until its log shows that the third replica held the entry when it became
//! leader later. A new disk whose log shows this states it in its vote requests.

use super::Raft;
use cherrystream_schema::messages::{Command, Entry};

/// Size of the groups in which holding an entry proves that a majority holds it.
const GROUP_OF_THREE: usize = 3;
/// Disk of a vacant member slot.
pub(super) const VACANT: &str = "";

/// A disk replacement that is not known to be committed.
#[derive(Debug)]
pub(super) struct PendingDisk {
    pub(super) index: u64,
    replica: u64,
    disk: String,
    /// Address of the replica on the new disk, where addresses are not fixed.
    address: Option<String>,
    /// Failure domain of the replica on the new disk, if known.
    failure_domain: Option<String>,
    by: u64,
    /// Index of a later no-op entry with which the third replica began its term as leader.
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
            return disk != VACANT && self.voting_disk(id) == disk;
        }
        let members = self.members.as_ref();
        let committed = members.and_then(|m| m.disks.get(&id.to_string()));
        committed.is_some_and(|d| d == disk) || self.holds_replacement(id, disk)
    }

    /// Returns whether two other replicas are known to hold the entry that names this replica's
    /// disk.
    pub(super) fn own_disk_is_voting(&self) -> bool {
        let (id, disk) = (self.opts.id, &self.opts.disk);
        let shown =
            |p: &PendingDisk| p.third_led_at.is_some() && p.replica == id && p.disk == *disk;
        let committed = self.members.as_ref().and_then(|m| m.disks.get(&id.to_string()));
        committed == Some(disk) || self.pending_disks.iter().any(shown)
    }

    /// Returns whether to accept a candidate's claim that its disk is a voting disk. The log here
    /// must hold the entry that names the disk, because a replaced disk must never vote again.
    pub(super) fn accepts_claim(&self, id: u64, disk: &str) -> bool {
        let named = |p: &PendingDisk| p.replica == id && p.disk == disk;
        self.is_group_of_three() && self.pending_disks.iter().any(named)
    }

    /// Returns whether disks are replaced by the rules for groups of three.
    pub(super) fn is_group_of_three(&self) -> bool {
        self.opts.replicas.len() == GROUP_OF_THREE
    }

    /// Returns whether a member slot names no disk.
    pub(super) fn is_vacant(&self, id: u64) -> bool {
        self.members.is_some() && self.voting_disk(id) == VACANT
    }

    /// Returns the newest voting disk of a member slot, [`VACANT`] if there is none.
    pub(super) fn voting_disk(&self, id: u64) -> String {
        let pending =
            self.pending_disks.iter().rev().find(|p| p.replica == id && self.is_effective(p));
        if let Some(pending) = pending {
            return pending.disk.clone();
        }
        let members = self.members.as_ref();
        members.and_then(|m| m.disks.get(&id.to_string())).cloned().unwrap_or_default()
    }

    /// Returns the newest address that the log records for a replica.
    pub(super) fn logged_address(&self, id: u64) -> Option<&str> {
        let pending = self.pending_disks.iter().rev().find(|p| p.replica == id);
        let pending = pending.and_then(|p| p.address.as_deref());
        let members = self.members.as_ref();
        let committed = || members.and_then(|m| m.addresses.get(&id.to_string()));
        pending.or_else(|| committed().map(String::as_str))
    }

    /// Returns the newest failure domain that the log records for a replica.
    pub(super) fn logged_failure_domain(&self, id: u64) -> Option<&str> {
        let pending = self.pending_disks.iter().rev().find(|p| p.replica == id);
        let pending = pending.and_then(|p| p.failure_domain.as_deref());
        let members = self.members.as_ref();
        let committed = || members.and_then(|m| m.failure_domains.get(&id.to_string()));
        pending.or_else(|| committed().map(String::as_str))
    }

    fn holds_replacement(&self, id: u64, disk: &str) -> bool {
        let named = |p: &&PendingDisk| p.replica == id && p.disk == disk;
        self.pending_disks.iter().filter(named).any(|p| self.is_effective(p))
    }

    /// Returns whether a replacement is in effect. In a group of three, two replicas hold the entry
    /// as soon as one holds it that did not propose it.
    fn is_effective(&self, pending: &PendingDisk) -> bool {
        let two_hold_it = pending.by != self.opts.id || pending.third_led_at.is_some();
        two_hold_it || !self.is_group_of_three()
    }

    pub(super) fn push_entry(&mut self, entry: Entry) {
        self.record_disk_changes(&entry);
        self.log.push(entry);
    }

    fn record_disk_changes(&mut self, entry: &Entry) {
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

    pub(super) fn restore_pending_disks(&mut self) {
        for entry in self.log.range(self.commit + 1, self.log.last().index) {
            self.record_disk_changes(&entry);
        }
    }
}
