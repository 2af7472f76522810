//! Member slots: join requests, and hosts that lose their disks or are replaced.

use super::{Cluster, Replica, address, failure_domain};
use cherrystream_core::raft::{JoinDecision, JoiningReplica, Raft};

impl Cluster {
    /// Sends the join requests of replicas whose disks do not vote. A replica that lost its slot
    /// asks for another one with a blank disk.
    pub fn request_slots(&mut self) {
        if self.bootstrap_replicas == self.slots {
            return;
        }
        let does_not_vote = |r: &Replica| r.raft.as_ref().is_some_and(|raft| !raft.is_voter());
        for i in 0..self.replicas.len() {
            if does_not_vote(&self.replicas[i])
                && self.request_slot(i, Some(self.replicas[i].number)) == JoinDecision::SlotLost
            {
                self.replicas[i].raft = None;
                self.replicas[i].without_slot = true;
                self.replicas[i].disk = self.new_disk();
            }
            if self.replicas[i].without_slot
                && let JoinDecision::Granted(number) = self.request_slot(i, None)
            {
                self.replicas[i].without_slot = false;
                self.replicas[i].number = number;
                self.start(i);
            }
        }
    }

    /// Asks each leader for a slot, and returns the first answer other than `Deferred`.
    fn request_slot(&mut self, i: usize, runs_as: Option<u64>) -> JoinDecision {
        let now = self.now;
        let disk = self.replicas[i].disk.id.clone();
        let address = address(i);
        let joining = JoiningReplica {
            address: &address,
            disk: &disk,
            failure_domain: &failure_domain(i),
            stands_by: false,
            runs_as,
        };
        let rafts = self.replicas.iter_mut().filter_map(|r| r.raft.as_mut());
        let mut replies = rafts.map(|raft| raft.admit(now, joining));
        replies.find(|reply| *reply != JoinDecision::Deferred).unwrap_or(JoinDecision::Deferred)
    }

    /// Replaces a lost host by another one with a blank disk.
    pub fn replace_host(&mut self, i: usize) {
        if self.replicas[i].replaced || !self.tolerates_lost_disk() {
            return;
        }
        self.replicas[i].replaced = true;
        self.replicas[i].raft = None;
        self.add(self.replicas[i].number);
        self.start(self.replicas.len() - 1);
    }

    /// Restarts a host with a blank disk.
    pub fn wipe_disk(&mut self, i: usize) {
        if self.replicas[i].replaced || !self.tolerates_lost_disk() {
            return;
        }
        self.wiped_disks += 1;
        self.replicas[i].disk = self.new_disk();
        self.start(i);
    }

    fn tolerates_lost_disk(&self) -> bool {
        // The group tolerates losses as long as a majority of the slots keeps its disks.
        let kept = |raft: &Raft| {
            let disks = raft.members().map(|m| m.disks.clone()).unwrap_or_default();
            let counts =
                |r: &&Replica| !r.replaced && disks.get(&r.number.to_string()) == Some(&r.disk.id);
            self.replicas.iter().filter(counts).count()
        };
        let running = self.replicas.iter().filter_map(|r| r.raft.as_ref());
        let most = running.map(kept).max().unwrap_or(0);
        if self.slots == 3 {
            return most == self.slots;
        }
        // Nothing is accepted, and no loss tolerated, before a majority holds the bootstrap entry.
        let bootstrapped =
            |r: &&Replica| r.raft.as_ref().is_some_and(|raft| raft.members().is_some());
        let bootstrapped = self.replicas.iter().filter(bootstrapped).count();
        bootstrapped > self.slots / 2 && most >= self.slots / 2 + 2
    }
}
