//! Replicated log of the control replicas: Raft with pre-vote, quorum check, leadership transfer,
//! snapshots and disk identifiers.
//!
//! Each data folder has a random disk identifier. A replica votes, and its acknowledgements count,
//! only if an entry of the log names its disk (see `disks`). A host that was repaired with a blank
//! disk therefore never helps to elect a leader that lacks a committed entry.

mod bootstrap;
mod disk_replacement;
mod disks;
mod election;
mod follower;
mod joining;
mod leader;
mod log;
mod options;
mod placement;
mod progress;
mod ready;
pub mod rejoin;

pub use joining::{JoinDecision, JoiningReplica, SlotView};
pub use leader::ReplicaView;
pub use log::Log;
pub use options::Options;
pub use progress::message_bytes;
pub use ready::{NotLeader, Position, Ready, ReadyRead, Restored};

use crate::units::Timestamp;
use cherrystream_schema::messages;
use leader::LeaderState;
use messages::{Command, HardState, Members, RaftBody, RaftMessage};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::BTreeSet;

/// Role of a replica within a term.
#[derive(Debug)]
enum Role {
    Follower { leader: Option<u64> },
    Candidate { pre: bool, votes: BTreeSet<u64> },
    Leader(LeaderState),
}

/// One replica of the group.
#[derive(Debug)]
pub struct Raft {
    opts: Options,
    rng: SmallRng,
    hard: HardState,
    log: Log,
    /// Committed membership; `None` until the group is bootstrapped.
    members: Option<Members>,
    /// Disk replacements in the log that are not known to be committed.
    pending_disks: Vec<disks::PendingDisk>,
    commit: u64,
    /// Highest commit index received from a leader; the log here may not reach that far.
    known_commit: u64,
    delivered: u64,
    role: Role,
    election_due: Timestamp,
    leader_last_seen: Option<Timestamp>,
    bootstrap: bootstrap::Bootstrap,
    hard_dirty: bool,
    ready: Ready,
}

impl Raft {
    /// Creates a replica from the state restored from its disk.
    pub fn new(opts: Options, restored: Restored, now: Timestamp) -> Raft {
        let rng = SmallRng::seed_from_u64(opts.seed);
        let (base, members) = match &restored.snapshot {
            Some(s) => (Position { term: s.term, index: s.index }, Some(s.members.clone())),
            None => (Position { term: 0, index: 0 }, None),
        };
        let mut raft = Raft {
            rng,
            hard: initial_hard_state(&restored),
            log: Log::new(base, restored.entries),
            members,
            pending_disks: Vec::new(),
            commit: base.index,
            known_commit: base.index,
            delivered: base.index,
            role: Role::Follower { leader: None },
            election_due: now,
            leader_last_seen: None,
            bootstrap: bootstrap::Bootstrap::default(),
            hard_dirty: false,
            ready: Ready::default(),
            opts,
        };
        raft.commit_bootstrap_entry();
        raft.advance_commit(raft.hard.commit.min(raft.log.last().index));
        raft.restore_pending_disks();
        // A single replica elects itself at once.
        if raft.opts.replicas.len() > 1 {
            raft.reset_first_election_timer(now);
        }
        raft
    }

    /// Commits the bootstrap entry, which every replica that took part in the bootstrap holds.
    fn commit_bootstrap_entry(&mut self) {
        let first = self.log.get(1).map(|e| &e.command);
        if self.commit == 0 && matches!(first, Some(Command::Found { .. })) {
            self.advance_commit(1);
        }
    }

    /// Advances the timers of the replica to `now`.
    pub fn tick(&mut self, now: Timestamp) {
        if self.is_blank() {
            self.tick_bootstrap(now);
        } else if matches!(self.role, Role::Leader(_)) {
            self.tick_leader(now);
        } else if now >= self.election_due && self.is_voter() {
            self.start_election(now, true, false);
        }
    }

    /// Handles a message from another replica.
    pub fn step(&mut self, now: Timestamp, msg: RaftMessage) {
        if msg.to != self.opts.id || !self.opts.replicas.contains(&msg.from) {
            return;
        }
        self.update_commit_from(&msg);
        self.record_vote_request(now, &msg);
        if self.step_bootstrap(now, &msg) || self.step_pre_vote(now, &msg) {
            return;
        }
        if msg.term > self.hard.term {
            if self.is_disruptive(now, &msg) {
                return;
            }
            self.become_follower(now, msg.term, None);
        }
        if msg.term < self.hard.term {
            self.reject_stale(&msg);
            return;
        }
        self.step_current(now, msg);
    }

    fn step_current(&mut self, now: Timestamp, msg: RaftMessage) {
        match msg.body {
            RaftBody::Vote { .. } => self.step_vote(now, &msg),
            RaftBody::VoteReply { granted, .. } => {
                self.step_vote_reply(now, msg.from, &msg.disk, granted);
            }
            RaftBody::Append { prev_index, prev_term, entries, commit, round } => {
                let prev = Position { term: prev_term, index: prev_index };
                self.step_append(now, msg.from, prev, entries, commit, round);
            }
            RaftBody::Install { snapshot, round } => {
                self.step_install(now, msg.from, snapshot, round);
            }
            RaftBody::AppendReply { success, match_index, round } => {
                let ack = leader::Ack { from: msg.from, disk: msg.disk, round };
                self.step_append_reply(now, ack, success, match_index);
            }
            RaftBody::TimeoutNow => {
                if self.is_voter() {
                    self.start_election(now, false, true);
                }
            }
            RaftBody::Hello { .. } | RaftBody::HelloReply { .. } | RaftBody::Found { .. } => {}
        }
    }

    /// Returns the actions that are due, and clears them.
    pub fn take_ready(&mut self) -> Ready {
        let mut ready = std::mem::take(&mut self.ready);
        if std::mem::take(&mut self.hard_dirty) {
            ready.hard = Some(self.hard.clone());
        }
        ready.entries = self.log.take_unsaved();
        ready.committed = self.log.range(self.delivered + 1, self.commit);
        self.delivered = self.commit;
        ready
    }

    /// Records that everything returned by [`Raft::take_ready`] is durable.
    pub fn saved(&mut self, now: Timestamp) {
        self.log.mark_saved();
        self.leader_saved(now);
    }

    /// Removes entries that a durable snapshot covers.
    pub fn compact(&mut self, index: u64) {
        if index <= self.delivered {
            self.log.compact(index);
        }
    }

    /// Returns the number of this replica.
    pub fn id(&self) -> u64 {
        self.opts.id
    }

    /// Returns the number of the leader, if known.
    pub fn leader(&self) -> Option<u64> {
        match &self.role {
            Role::Leader(_) => Some(self.opts.id),
            Role::Follower { leader } => *leader,
            Role::Candidate { .. } => None,
        }
    }

    /// Returns whether this replica is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// Returns the commit index.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Returns the highest known commit index; the log here may not reach that far.
    pub fn known_commit(&self) -> u64 {
        self.known_commit.max(self.commit)
    }

    /// Returns the log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the committed membership.
    pub fn members(&self) -> Option<&Members> {
        self.members.as_ref()
    }

    /// Returns whether this replica may vote.
    pub fn is_voter(&self) -> bool {
        self.is_member(self.opts.id, &self.opts.disk)
    }

    /// Returns whether this replica has neither entries nor a snapshot.
    pub fn is_blank(&self) -> bool {
        self.log.last().index == 0
    }

    /// Returns the number of member slots.
    pub fn slots(&self) -> usize {
        self.opts.replicas.len()
    }

    /// Returns the number of voting members that a decision needs.
    pub fn quorum(&self) -> usize {
        self.opts.replicas.len() / 2 + 1
    }

    fn others(&self) -> Vec<u64> {
        self.opts.replicas.iter().copied().filter(|id| *id != self.opts.id).collect()
    }

    fn message(&self, to: u64, body: RaftBody) -> RaftMessage {
        RaftMessage {
            from: self.opts.id,
            to,
            disk: self.opts.disk.clone(),
            term: self.hard.term,
            body,
        }
    }

    fn send_after_save(&mut self, to: u64, body: RaftBody) {
        let msg = self.message(to, body);
        self.ready.messages_after_save.push(msg);
    }

    fn send_now(&mut self, to: u64, body: RaftBody) {
        let msg = self.message(to, body);
        self.ready.immediate_messages.push(msg);
    }

    fn advance_commit(&mut self, to: u64) {
        for entry in self.log.range(self.commit + 1, to) {
            match entry.command {
                Command::Found { members } => self.members = Some(members),
                Command::ReplaceDisk { replica, disk, address, failure_domain, .. } => {
                    if let Some(members) = &mut self.members {
                        let replica = replica.to_string();
                        members.disks.insert(replica.clone(), disk);
                        if let Some(address) = address {
                            members.addresses.insert(replica.clone(), address);
                        }
                        if let Some(failure_domain) = failure_domain {
                            members.failure_domains.insert(replica, failure_domain);
                        }
                    }
                    // Saves the commit index, so that the voting disks are known after a restart.
                    self.hard.commit = self.hard.commit.max(entry.index);
                    self.hard_dirty = true;
                }
                _ => {}
            }
        }
        self.commit = self.commit.max(to);
        self.pending_disks.retain(|pending| pending.index > self.commit);
    }
}

/// Returns the initial hard state. A torn write may have left entries of a later term without the
/// hard state; no message of that term was sent.
fn initial_hard_state(restored: &Restored) -> HardState {
    let hard = restored.hard.clone().unwrap_or(HardState { term: 0, voted_for: None, commit: 0 });
    let last = restored.entries.last().map_or(0, |e| e.term);
    if last > hard.term {
        return HardState { term: last, voted_for: None, ..hard };
    }
    hard
}
