//! Places: who asks for one, and hosts that lose their disks or are replaced.

use super::{Replica, World, address, failure_domain};
use cherrystream_core::raft::{Admission, Newcomer, Raft};

impl World {
    /// Those whose disks do not count ask the leaders for their places; one that lost its place asks
    /// for another one, with a blank disk.
    pub fn ask_for_places(&mut self) {
        if self.founders == self.places {
            return;
        }
        let does_not_vote = |r: &Replica| r.raft.as_ref().is_some_and(|raft| !raft.is_voter());
        for i in 0..self.replicas.len() {
            if does_not_vote(&self.replicas[i])
                && self.ask(i, Some(self.replicas[i].number)) == Admission::Lost
            {
                self.replicas[i].raft = None;
                self.replicas[i].placeless = true;
                self.replicas[i].disk = self.new_disk();
            }
            if self.replicas[i].placeless
                && let Admission::Granted(number) = self.ask(i, None)
            {
                self.replicas[i].placeless = false;
                self.replicas[i].number = number;
                self.start(i);
            }
        }
    }

    /// Asks one leader after the other for a place, and returns the first word that is not "not now".
    fn ask(&mut self, i: usize, runs_as: Option<u64>) -> Admission {
        let now = self.now;
        let disk = self.replicas[i].disk.id.clone();
        let address = address(i);
        let newcomer = Newcomer {
            address: &address,
            disk: &disk,
            failure_domain: &failure_domain(i),
            stands_by: false,
            runs_as,
        };
        let rafts = self.replicas.iter_mut().filter_map(|r| r.raft.as_mut());
        let mut answers = rafts.map(|raft| raft.admit(now, newcomer));
        answers.find(|answer| *answer != Admission::NotNow).unwrap_or(Admission::NotNow)
    }

    /// A host is lost, and another one comes in its place on a blank disk.
    pub fn replace(&mut self, i: usize) {
        if self.replicas[i].replaced || !self.bears_a_lost_disk() {
            return;
        }
        self.replicas[i].replaced = true;
        self.replicas[i].raft = None;
        self.add(self.replicas[i].number);
        self.start(self.replicas.len() - 1);
    }

    /// A host is repaired with a blank disk, right after the last repair was committed.
    pub fn blank(&mut self, i: usize) {
        if self.replicas[i].replaced || !self.bears_a_lost_disk() {
            return;
        }
        self.blanked += 1;
        self.replicas[i].disk = self.new_disk();
        self.start(i);
    }

    fn bears_a_lost_disk(&self) -> bool {
        // A majority of the places must have kept its disk: that is what the group bears.
        let kept = |raft: &Raft| {
            let disks = raft.members().map(|m| m.disks.clone()).unwrap_or_default();
            let counts =
                |r: &&Replica| !r.replaced && disks.get(&r.number.to_string()) == Some(&r.disk.id);
            self.replicas.iter().filter(counts).count()
        };
        let running = self.replicas.iter().filter_map(|r| r.raft.as_ref());
        let most = running.map(kept).max().unwrap_or(0);
        if self.places == 3 {
            return most == self.places;
        }
        // Before a majority knows of the founding, nothing was accepted and nothing is borne.
        let founded = |r: &&Replica| r.raft.as_ref().is_some_and(|raft| raft.members().is_some());
        let founded = self.replicas.iter().filter(founded).count();
        founded > self.places / 2 && most >= self.places / 2 + 2
    }
}
