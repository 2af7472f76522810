//! How a leader lets a newcomer's disk count: the rules are told in `disks`.

use super::disks::VACANT;
use super::leader::Ack;
use super::progress::Progress;
use super::{Raft, Role};
use crate::units::Timestamp;
use cherrystream_schema::messages::Command;

/// Committed entries that a newcomer may still lack when its disk is named.
const CATCH_UP_SLACK: u64 = 8;

impl Raft {
    /// Lets a replica vote with its new disk once it holds all that is committed. Its own
    /// acknowledgements do not count for this entry: they count from its commitment on.
    pub(super) fn replace_disk_if_caught_up(&mut self, now: Timestamp, ack: &Ack) {
        if self.is_member(ack.from, &ack.disk) || !self.commit_is_of_this_term() {
            return;
        }
        let commit = self.commit;
        let Role::Leader(leading) = &self.role else { return };
        // Under steady load the last few entries are always on their way. In a group of three the
        // disk must hold all: the replica votes before the entry is known to be committed.
        let slack = if self.is_group_of_three() { 0 } else { CATCH_UP_SLACK };
        let held = |p: &Progress| p.match_index + slack >= commit;
        let caught_up = leading.progress.get(&ack.from).is_some_and(held);
        if !caught_up || leading.replacing.is_some() {
            return;
        }
        let by = self.opts.id;
        let vacate = !self.is_group_of_three() && !self.is_vacant(ack.from);
        let candidate = leading.candidates.get(&ack.from).filter(|c| c.has_disk(&ack.disk));
        let address = candidate.map(|c| c.address().to_string());
        let failure_domain = candidate.and_then(|c| c.failure_domain()).map(str::to_string);
        let replica = ack.from;
        // Others must be able to find it.
        if address.is_none() && !vacate && self.needs_addresses() {
            return;
        }
        if vacate && !self.can_do_without(now, replica) {
            return;
        }
        let command = match vacate {
            // The next acknowledgement after the commitment names the new disk.
            true => {
                let disk = VACANT.into();
                Command::ReplaceDisk { replica, disk, by, address: None, failure_domain: None }
            }
            false => {
                let disk = ack.disk.clone();
                Command::ReplaceDisk { replica, disk, by, address, failure_domain }
            }
        };
        let position = self.append_own(command);
        if let Role::Leader(leading) = &mut self.role {
            leading.replacing = Some(position.index);
        }
    }

    /// Returns whether a quorum is left, and heard, when a place is vacated: the entry that fills the
    /// place again must be committed by it.
    fn can_do_without(&self, now: Timestamp, id: u64) -> bool {
        let Role::Leader(leading) = &self.role else { return false };
        let lately = |p: &Progress| now.since(p.heard) < self.opts.election;
        let others = leading
            .progress
            .iter()
            .filter(|(other, p)| **other != id && self.counts(**other, p) && lately(p));
        others.count() + usize::from(self.is_voter()) >= self.quorum()
    }

    /// Returns whether the log must tell where each replica is.
    pub(super) fn needs_addresses(&self) -> bool {
        !self.opts.addresses.is_empty() && !self.is_group_of_three()
    }
}
