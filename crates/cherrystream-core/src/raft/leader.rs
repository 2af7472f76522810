//! Leader: proposals, replication, commits, linearizable reads and leadership transfer.

use super::joining::Learner;
use super::placement::PendingJoins;
use super::progress::{MAX_ENTRIES_IN_FLIGHT, Progress, RESEND_TIMEOUT, end_of_message};
use super::{NotLeader, Position, Raft, ReadyRead, Role};
use crate::units::Timestamp;
use cherrystream_schema::messages::{Command, Entry, RaftBody, RaftMessage, Snapshot};
use std::collections::BTreeMap;

/// State of a leader.
#[derive(Debug, Default)]
pub(super) struct LeaderState {
    pub(super) progress: BTreeMap<u64, Progress>,
    /// Replicas that are catching up, by the number that they run under.
    pub(super) learners: BTreeMap<u64, Learner>,
    /// Replicas without a member slot that asked for one.
    pub(super) pending_joins: PendingJoins,
    round: u64,
    heartbeat_due: Timestamp,
    reads: Vec<PendingRead>,
    transfer_until: Option<Timestamp>,
    /// Index of an uncommitted disk replacement.
    pub(super) pending_replacement: Option<u64>,
}

#[derive(Debug)]
struct PendingRead {
    ticket: u64,
    round: u64,
}

/// Origin of an acknowledgement.
pub(super) struct Ack {
    pub(super) from: u64,
    pub(super) disk: String,
    pub(super) round: u64,
}

/// Replication state of a replica as recorded by the leader.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaView {
    /// Number of the replica.
    pub id: u64,
    /// Last index known to be on its disk.
    pub match_index: u64,
    /// Whether its acknowledgements count.
    pub votes: bool,
    /// Time of its last message.
    pub last_seen: Timestamp,
    /// First index that was not sent to it yet.
    pub next: u64,
    /// Last heartbeat round that it acknowledged.
    pub acked_round: u64,
}

impl Raft {
    pub(super) fn become_leader(&mut self, now: Timestamp) {
        let next = self.log.last().index + 1;
        let fresh = |id| (id, Progress { next, last_seen: now, ..Progress::default() });
        let progress = self.others().into_iter().map(fresh).collect();
        self.role = Role::Leader(LeaderState { progress, ..LeaderState::default() });
        self.append_command(Command::Noop { by: self.opts.id });
        self.broadcast(now);
    }

    pub(super) fn append_command(&mut self, command: Command) -> Position {
        let position = Position { term: self.hard.term, index: self.log.last().index + 1 };
        self.push_entry(Entry { term: position.term, index: position.index, command });
        position
    }

    /// Proposes a command. The entry is sent with the next call of [`Raft::flush`].
    ///
    /// # Errors
    ///
    /// Fails if this replica is not the leader, or is transferring its leadership.
    pub fn propose(&mut self, command: Command) -> Result<Position, NotLeader> {
        let leader = self.leader();
        match &self.role {
            Role::Leader(state) if state.transfer_until.is_none() => {
                Ok(self.append_command(command))
            }
            _ => Err(NotLeader { leader }),
        }
    }

    /// Sends proposed entries to the other replicas.
    pub fn flush(&mut self, now: Timestamp) {
        if self.is_leader() {
            for id in self.others() {
                self.replicate(now, id, false);
            }
        }
    }

    /// Requests a linearizable read: [`super::Ready::reads`] contains it once a quorum has
    /// confirmed that this replica is still the leader.
    ///
    /// # Errors
    ///
    /// Fails if this replica is not the leader.
    pub fn read(&mut self, now: Timestamp, ticket: u64) -> Result<(), NotLeader> {
        let leader = self.leader();
        let Role::Leader(state) = &mut self.role else {
            return Err(NotLeader { leader });
        };
        let round = state.round + 1;
        // Reads that arrive together share one round of heartbeats.
        let first = state.reads.last().is_none_or(|r| r.round < round);
        state.reads.push(PendingRead { ticket, round });
        if first {
            state.heartbeat_due = now;
        }
        Ok(())
    }

    /// Sends the heartbeat that pending reads wait for, if one is due.
    pub fn flush_reads(&mut self, now: Timestamp) {
        if matches!(&self.role, Role::Leader(l) if now >= l.heartbeat_due) {
            self.broadcast(now);
        }
    }

    /// Transfers the leadership to a replica that is in contact and whose log is complete.
    pub fn transfer_leadership(&mut self, now: Timestamp) {
        let until = now + self.opts.election;
        if let Role::Leader(state) = &mut self.role {
            state.transfer_until = Some(until);
            self.continue_transfer(now);
        }
    }

    fn continue_transfer(&mut self, now: Timestamp) {
        let last = self.log.last().index;
        let Role::Leader(state) = &self.role else { return };
        if state.transfer_until.is_none() {
            return;
        }
        // Each reply continues the transfer, so a replica that replies late is not passed over.
        let in_contact = |p: &Progress| now.since(p.last_seen) < self.opts.heartbeat * 2;
        let ready = state
            .progress
            .iter()
            .find(|(id, p)| p.match_index == last && in_contact(p) && self.is_voting(**id, p));
        if let Some((id, _)) = ready {
            let id = *id;
            self.send_after_save(id, RaftBody::TimeoutNow);
        }
    }

    /// Returns the replication state of the other replicas; empty if this replica is not the
    /// leader.
    pub fn replica_views(&self) -> Vec<ReplicaView> {
        let Role::Leader(state) = &self.role else { return Vec::new() };
        let view = |(id, p): (&u64, &Progress)| ReplicaView {
            id: *id,
            match_index: p.match_index,
            votes: self.is_voting(*id, p),
            last_seen: p.last_seen,
            next: p.next,
            acked_round: p.acked_round,
        };
        state.progress.iter().map(view).collect()
    }

    /// Returns the last heartbeat round; 0 if this replica is not the leader.
    pub fn round(&self) -> u64 {
        match &self.role {
            Role::Leader(state) => state.round,
            _ => 0,
        }
    }

    pub(super) fn tick_leader(&mut self, now: Timestamp) {
        let Role::Leader(state) = &mut self.role else { return };
        if state.transfer_until.is_some_and(|until| now >= until) {
            state.transfer_until = None;
        }
        let due = now >= state.heartbeat_due;
        // Without quorum contact another leader may have been elected, so this one steps down.
        if !self.has_quorum_contact(now) {
            self.become_follower(now, self.hard.term, None);
            return;
        }
        if due {
            self.broadcast(now);
        }
    }

    /// Returns the number of voting members that this leader is in contact with, itself included; 0
    /// if this replica is not the leader. One that has not replied yet counts for the first period.
    pub fn voters_in_contact(&self, now: Timestamp) -> usize {
        let Role::Leader(state) = &self.role else { return 0 };
        let is_recent = |p: &Progress| now.since(p.last_seen) < self.opts.election * 2;
        let in_contact = |(id, p): &(&u64, &Progress)| {
            is_recent(p) && (p.disk.is_none() || self.is_voting(**id, p))
        };
        state.progress.iter().filter(in_contact).count() + usize::from(self.is_voter())
    }

    fn has_quorum_contact(&self, now: Timestamp) -> bool {
        self.voters_in_contact(now) >= self.quorum()
    }

    pub(super) fn is_voting(&self, id: u64, progress: &Progress) -> bool {
        progress.disk.as_deref().is_some_and(|disk| self.is_member(id, disk))
    }

    fn broadcast(&mut self, now: Timestamp) {
        let heartbeat = self.opts.heartbeat;
        if let Role::Leader(state) = &mut self.role {
            state.round += 1;
            state.heartbeat_due = now + heartbeat;
        }
        for id in self.others() {
            self.replicate(now, id, true);
        }
        self.confirm_reads();
    }

    /// Sends the entries that a replica lacks, or a heartbeat.
    fn replicate(&mut self, now: Timestamp, id: u64, heartbeat: bool) {
        let last = self.log.last().index;
        let base = self.log.base().index;
        let commit = self.commit;
        let snapshot_deadline = now + self.opts.election * 4;
        // Where addresses are fixed, no replica asks for a member slot.
        let awaits_learner = self.is_vacant(id) && self.tracks_addresses();
        let Role::Leader(state) = &mut self.role else { return };
        let round = state.round;
        // The vacant slot has no learner to replicate to.
        if awaits_learner && !state.learners.contains_key(&id) {
            return;
        }
        let Some(progress) = state.progress.get_mut(&id) else { return };
        if progress.next <= base {
            // No snapshot is made for a replica that is unreachable.
            let is_reachable = now.since(progress.last_seen) < self.opts.election * 2;
            if is_reachable && progress.snapshot_deadline.is_none_or(|until| now >= until) {
                progress.snapshot_deadline = Some(snapshot_deadline);
                self.ready.need_snapshot.push(id);
            }
            if heartbeat {
                self.heartbeat_at_base(id, round);
            }
            return;
        }
        if progress.has_stalled(now) {
            // Entries that the log no longer holds are sent in another snapshot once the last one
            // has timed out.
            progress.next = progress.match_index + 1;
            progress.last_progress = now;
            if progress.next <= base {
                return;
            }
        }
        let limit = (progress.match_index + MAX_ENTRIES_IN_FLIGHT).min(last);
        let first = progress.next;
        let end = end_of_message(&self.log, first, limit);
        if first > end && !heartbeat {
            return;
        }
        progress.next = first.max(end + 1);
        // A heartbeat ahead of what the replica holds would be rejected, and all entries in flight
        // sent again.
        let ahead = first > end && progress.match_known;
        let prev_index = if ahead { progress.match_index.max(base) } else { first - 1 };
        let body = RaftBody::Append {
            prev_index,
            prev_term: self.log.term_at(prev_index).unwrap_or_default(),
            entries: self.log.range(first, end),
            commit,
            round,
        };
        self.send_now(id, body);
    }

    /// Sends a heartbeat to a replica that waits for a snapshot. Keeps it from starting an election
    /// while the snapshot is in flight, and its replies count towards the leader's quorum.
    fn heartbeat_at_base(&mut self, id: u64, round: u64) {
        let Position { term, index } = self.log.base();
        let commit = self.commit;
        let body = RaftBody::Append {
            prev_index: index,
            prev_term: term,
            entries: Vec::new(),
            commit,
            round,
        };
        self.send_now(id, body);
    }

    /// Sends a snapshot to a replica that [`super::Ready::need_snapshot`] named.
    pub fn send_snapshot(&mut self, to: u64, snapshot: Snapshot) {
        let Role::Leader(state) = &mut self.role else { return };
        let round = state.round;
        if let Some(progress) = state.progress.get_mut(&to) {
            progress.next = snapshot.index + 1;
        }
        self.send_now(to, RaftBody::Install { snapshot, round });
    }

    /// Records that a voting member runs though it asks for votes.
    pub(super) fn record_vote_request(&mut self, now: Timestamp, msg: &RaftMessage) {
        if !matches!(msg.body, RaftBody::Vote { .. }) || !self.is_member(msg.from, &msg.disk) {
            return;
        }
        if let Role::Leader(state) = &mut self.role
            && let Some(progress) = state.progress.get_mut(&msg.from)
        {
            progress.last_vote_request = now;
        }
    }

    pub(super) fn step_append_reply(
        &mut self,
        now: Timestamp,
        ack: Ack,
        success: bool,
        match_index: u64,
    ) {
        let last = self.log.last().index;
        let Role::Leader(state) = &mut self.role else { return };
        let Some(progress) = state.progress.get_mut(&ack.from) else { return };
        // A new disk holds nothing of what the previous one acknowledged.
        if progress.disk.as_ref() != Some(&ack.disk) {
            *progress =
                Progress { disk: Some(ack.disk.clone()), next: last + 1, ..Progress::default() };
        }
        progress.last_seen = now;
        if let Some(learner) = state.learners.get_mut(&ack.from) {
            learner.on_ack(now, &ack.disk);
        }
        progress.acked_round = progress.acked_round.max(ack.round);
        if success {
            if match_index > progress.match_index {
                progress.last_progress = now;
            }
            progress.match_known = true;
            progress.match_index = progress.match_index.max(match_index);
            progress.next = progress.next.max(progress.match_index + 1);
            progress.snapshot_deadline = None;
        } else if progress.match_known && now.since(progress.last_progress) < RESEND_TIMEOUT {
            // Entries sent since then are still in flight.
            return;
        } else {
            progress.match_known = true;
            progress.last_progress = now;
            progress.next = (match_index + 1).min(progress.next).max(progress.match_index + 1);
        }
        if success {
            self.commit_by_quorum();
            self.replace_disk_if_caught_up(now, &ack);
            self.continue_transfer(now);
        }
        self.confirm_reads();
        self.replicate(now, ack.from, false);
    }

    pub(super) fn leader_saved(&mut self, _now: Timestamp) {
        if self.is_leader() {
            self.commit_by_quorum();
        }
    }

    fn commit_by_quorum(&mut self) {
        let Role::Leader(state) = &self.role else { return };
        let voting = state.progress.iter().filter(|(id, p)| self.is_voting(**id, p));
        let mut matches: Vec<u64> = voting.map(|(_, p)| p.match_index).collect();
        if self.is_voter() {
            matches.push(self.log.saved());
        }
        matches.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&to) = matches.get(self.quorum() - 1) else { return };
        // Only a committed entry of the current term ensures that no other leader overwrites it.
        if to > self.commit && self.log.term_at(to) == Some(self.hard.term) {
            self.advance_commit(to);
            self.after_commit();
        }
    }

    fn after_commit(&mut self) {
        let commit = self.commit;
        if let Role::Leader(state) = &mut self.role
            && state.pending_replacement.is_some_and(|index| index <= commit)
        {
            state.pending_replacement = None;
            // Sends a heartbeat at once, so that the other replicas learn that the new disk votes.
            state.heartbeat_due = Timestamp::default();
        }
    }

    pub(super) fn has_committed_in_term(&self) -> bool {
        self.log.term_at(self.commit) == Some(self.hard.term)
    }

    fn confirm_reads(&mut self) {
        if !self.has_committed_in_term() {
            return;
        }
        let (index, quorum, own) = (self.commit, self.quorum(), usize::from(self.is_voter()));
        let Role::Leader(state) = &self.role else { return };
        let voting = state.progress.iter().filter(|(id, p)| self.is_voting(**id, p));
        let mut rounds: Vec<u64> = voting.map(|(_, p)| p.acked_round).collect();
        if own == 1 {
            rounds.push(state.round);
        }
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&confirmed) = rounds.get(quorum - 1) else { return };
        let Role::Leader(state) = &mut self.role else { return };
        let done = state.reads.partition_point(|r| r.round <= confirmed);
        let ready = state.reads.drain(..done).map(|r| ReadyRead { ticket: r.ticket, index });
        self.ready.reads.extend(ready);
    }
}
