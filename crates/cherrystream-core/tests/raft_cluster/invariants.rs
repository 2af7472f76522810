//! Safety invariants of the group.

use super::{Cluster, Committed, name};
use cherrystream_core::raft::Raft;
use cherrystream_schema::messages::{Command, Entry, Members};
use std::collections::BTreeMap;

impl Cluster {
    /// Checks all invariants.
    pub fn check(&mut self) {
        for replica in &self.replicas {
            let Some(raft) = &replica.raft else { continue };
            if raft.is_leader() {
                let new = !self.leaders.contains_key(&raft.term());
                let first = *self.leaders.entry(raft.term()).or_insert(raft.id());
                assert_eq!(first, raft.id(), "two leaders in term {}", raft.term());
                if new {
                    check_complete(raft, &self.committed);
                }
            }
            // The log of a voter, or the snapshot before it, names its disk.
            if raft.is_voter() {
                assert!(
                    is_named(raft, &replica.disk.id),
                    "a voter whose log does not name its disk"
                );
            }
        }
        self.check_matching();
    }

    /// Checks that two logs with an entry of the same index and term agree up to it.
    pub fn check_matching(&self) {
        let running: Vec<&Raft> = self.replicas.iter().filter_map(|r| r.raft.as_ref()).collect();
        let pairs = (0..running.len()).flat_map(|a| (0..a).map(move |b| (a, b)));
        for (a, b) in pairs {
            let (a, b) = (running[a], running[b]);
            let top = a.log().last().index.min(b.log().last().index);
            let mut agreed = false;
            for index in (1..=top).rev() {
                let (Some(x), Some(y)) = (a.log().get(index), b.log().get(index)) else { break };
                agreed = agreed || x.term == y.term;
                assert!(!agreed || x == y, "logs differ at {index} below a matching entry");
            }
        }
    }
}

fn is_named(raft: &Raft, disk: &str) -> bool {
    let named = |members: &Members| members.disks.values().any(|d| d == disk);
    let entries = raft.log().range(raft.log().base().index + 1, raft.log().last().index);
    let names = |e: &Entry| match &e.command {
        Command::ReplaceDisk { disk: new, .. } => new == disk,
        Command::Found { members } => named(members),
        _ => false,
    };
    raft.members().is_some_and(named) || entries.iter().any(names)
}

/// Checks that a leader lacks no entry that was committed in its term or an earlier one.
fn check_complete(raft: &Raft, committed: &BTreeMap<u64, Committed>) {
    for (index, entry) in committed.iter().filter(|(_, c)| c.term <= raft.term()) {
        match raft.log().get(*index) {
            Some(held) => {
                assert_eq!(name(held), entry.name, "the entry {index} of the leader differs")
            }
            None => assert!(*index <= raft.log().base().index, "the leader lacks entry {index}"),
        }
    }
}
