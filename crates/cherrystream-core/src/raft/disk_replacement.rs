//! Replacement of a voting disk by the leader; see `disks` for the rules.

use super::disks::VACANT;
use super::leader::Ack;
use super::progress::Progress;
use super::{Raft, Role};
use crate::units::Timestamp;
use cherrystream_schema::messages::Command;

/// Committed entries that a learner may still lack when its disk becomes a voting disk.
const CATCH_UP_SLACK: u64 = 8;

impl Raft {
    /// Makes the disk of a replica a voting disk once it holds every committed entry. The replica's
    /// own acknowledgements do not count towards this entry, only from its commit on.
    pub(super) fn replace_disk_if_caught_up(&mut self, now: Timestamp, ack: &Ack) {
        if self.is_member(ack.from, &ack.disk) || !self.has_committed_in_term() {
            return;
        }
        let commit = self.commit;
        let Role::Leader(state) = &self.role else { return };
        // Under steady load the last few entries are always in flight. In a group of three the disk
        // must hold all of them, because it may vote before the entry is known to be committed.
        let slack = if self.is_group_of_three() { 0 } else { CATCH_UP_SLACK };
        let held = |p: &Progress| p.match_index + slack >= commit;
        let caught_up = state.progress.get(&ack.from).is_some_and(held);
        if !caught_up || state.pending_replacement.is_some() {
            return;
        }
        let by = self.opts.id;
        let vacate = !self.is_group_of_three() && !self.is_vacant(ack.from);
        let learner = state.learners.get(&ack.from).filter(|l| l.has_disk(&ack.disk));
        let address = learner.map(|l| l.address().to_string());
        let failure_domain = learner.and_then(|l| l.failure_domain()).map(str::to_string);
        let replica = ack.from;
        // Other replicas need its address to reach it.
        if address.is_none() && !vacate && self.tracks_addresses() {
            return;
        }
        if vacate && !self.has_quorum_without(now, replica) {
            return;
        }
        let command = match vacate {
            // Names the new disk on the first acknowledgement after this entry is committed.
            true => {
                let disk = VACANT.into();
                Command::ReplaceDisk { replica, disk, by, address: None, failure_domain: None }
            }
            false => {
                let disk = ack.disk.clone();
                Command::ReplaceDisk { replica, disk, by, address, failure_domain }
            }
        };
        let position = self.append_command(command);
        if let Role::Leader(state) = &mut self.role {
            state.pending_replacement = Some(position.index);
        }
    }

    /// Returns whether a reachable quorum remains when a member slot is vacated: it has to commit
    /// the entry that fills the slot again.
    fn has_quorum_without(&self, now: Timestamp, id: u64) -> bool {
        let Role::Leader(state) = &self.role else { return false };
        let is_recent = |p: &Progress| now.since(p.last_seen) < self.opts.election;
        let others = state
            .progress
            .iter()
            .filter(|(other, p)| **other != id && self.is_voting(**other, p) && is_recent(p));
        others.count() + usize::from(self.is_voter()) >= self.quorum()
    }

    /// Returns whether the log records the address of each replica.
    pub(super) fn tracks_addresses(&self) -> bool {
        !self.opts.addresses.is_empty() && !self.is_group_of_three()
    }
}
