//! What a leader does: proposals, replication, commitment, reads, handing over, new disks.

use super::joining::Candidate;
use super::placement::Askers;
use super::progress::{ENTRIES_ON_WAY, Progress, RESEND_AFTER, end_of_message};
use super::{NotLeader, Position, Raft, ReadyRead, Role};
use crate::units::Timestamp;
use cherrystream_schema::messages::{Command, Entry, RaftBody, Snapshot};
use std::collections::BTreeMap;

/// State of a leader.
#[derive(Debug, Default)]
pub(super) struct Leading {
    pub(super) progress: BTreeMap<u64, Progress>,
    /// Replicas that were let in to catch up, by the number that they run under.
    pub(super) candidates: BTreeMap<u64, Candidate>,
    /// Replicas without a place that asked for one.
    pub(super) askers: Askers,
    round: u64,
    heartbeat_due: Timestamp,
    reads: Vec<PendingRead>,
    transfer_until: Option<Timestamp>,
    /// Index of an uncommitted disk replacement.
    pub(super) replacing: Option<u64>,
}

#[derive(Debug)]
struct PendingRead {
    ticket: u64,
    round: u64,
}

/// Who acknowledged what.
pub(super) struct Ack {
    pub(super) from: u64,
    pub(super) disk: String,
    pub(super) round: u64,
}

/// A replica as the leader sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaView {
    /// Number of the replica.
    pub id: u64,
    /// Last index known to be on its disk.
    pub match_index: u64,
    /// Whether its acknowledgements count.
    pub votes: bool,
    /// When it was last heard.
    pub heard: Timestamp,
}

impl Raft {
    pub(super) fn become_leader(&mut self, now: Timestamp) {
        let next = self.log.last().index + 1;
        let fresh = |id| (id, Progress { next, heard: now, ..Progress::default() });
        let progress = self.others().into_iter().map(fresh).collect();
        self.role = Role::Leader(Leading { progress, ..Leading::default() });
        self.append_own(Command::Noop { by: self.opts.id });
        self.broadcast(now);
    }

    pub(super) fn append_own(&mut self, command: Command) -> Position {
        let position = Position { term: self.hard.term, index: self.log.last().index + 1 };
        self.push_entry(Entry { term: position.term, index: position.index, command });
        position
    }

    /// Proposes a command. The entry is sent with the next call of [`Raft::flush`].
    ///
    /// # Errors
    ///
    /// Fails on a replica that does not lead, or is handing its leadership over.
    pub fn propose(&mut self, command: Command) -> Result<Position, NotLeader> {
        let leader = self.leader();
        match &self.role {
            Role::Leader(leading) if leading.transfer_until.is_none() => {
                Ok(self.append_own(command))
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

    /// Asks for a confirmed read: [`super::Ready::reads`] names it once a quorum has shown that
    /// this replica still leads.
    ///
    /// # Errors
    ///
    /// Fails on a replica that does not lead.
    pub fn read(&mut self, now: Timestamp, ticket: u64) -> Result<(), NotLeader> {
        let leader = self.leader();
        let Role::Leader(leading) = &mut self.role else {
            return Err(NotLeader { leader });
        };
        let round = leading.round + 1;
        // Reads that come together share one round of heartbeats.
        let first = leading.reads.last().is_none_or(|r| r.round < round);
        leading.reads.push(PendingRead { ticket, round });
        if first {
            leading.heartbeat_due = now;
        }
        Ok(())
    }

    /// Sends the heartbeat that pending reads wait for, if one is due.
    pub fn flush_reads(&mut self, now: Timestamp) {
        if matches!(&self.role, Role::Leader(l) if now >= l.heartbeat_due) {
            self.broadcast(now);
        }
    }

    /// Hands the leadership to the replica that is furthest on.
    pub fn transfer(&mut self, now: Timestamp) {
        let until = now + self.opts.election;
        if let Role::Leader(leading) = &mut self.role {
            leading.transfer_until = Some(until);
            self.continue_transfer();
        }
    }

    fn continue_transfer(&mut self) {
        let last = self.log.last().index;
        let Role::Leader(leading) = &self.role else { return };
        if leading.transfer_until.is_none() {
            return;
        }
        let ready = leading.progress.iter().find(|(id, p)| {
            p.match_index == last && p.disk.as_deref().is_some_and(|d| self.is_member(**id, d))
        });
        if let Some((id, _)) = ready {
            let id = *id;
            self.send_after(id, RaftBody::TimeoutNow);
        }
    }

    /// Returns what the leader knows of the other replicas.
    pub fn replica_views(&self) -> Vec<ReplicaView> {
        let Role::Leader(leading) = &self.role else { return Vec::new() };
        let view = |(id, p): (&u64, &Progress)| ReplicaView {
            id: *id,
            match_index: p.match_index,
            votes: self.counts(*id, p),
            heard: p.heard,
        };
        leading.progress.iter().map(view).collect()
    }

    pub(super) fn tick_leader(&mut self, now: Timestamp) {
        let Role::Leader(leading) = &mut self.role else { return };
        if leading.transfer_until.is_some_and(|until| now >= until) {
            leading.transfer_until = None;
        }
        let due = now >= leading.heartbeat_due;
        // A leader that hears no quorum may have been replaced: it stops leading.
        if !self.hears_quorum(now) {
            self.become_follower(now, self.hard.term, None);
            return;
        }
        if due {
            self.broadcast(now);
        }
    }

    fn hears_quorum(&self, now: Timestamp) -> bool {
        let Role::Leader(leading) = &self.role else { return false };
        let lately = |p: &Progress| now.since(p.heard) < self.opts.election * 2;
        // A replica that has not spoken yet has the benefit of the doubt for the first while.
        let heard =
            |(id, p): (&u64, &Progress)| lately(p) && (p.disk.is_none() || self.counts(*id, p));
        let others = leading.progress.iter().filter(|(id, p)| heard((id, p))).count();
        others + usize::from(self.is_voter()) >= self.quorum()
    }

    pub(super) fn counts(&self, id: u64, progress: &Progress) -> bool {
        progress.disk.as_deref().is_some_and(|disk| self.is_member(id, disk))
    }

    fn broadcast(&mut self, now: Timestamp) {
        let heartbeat = self.opts.heartbeat;
        if let Role::Leader(leading) = &mut self.role {
            leading.round += 1;
            leading.heartbeat_due = now + heartbeat;
        }
        for id in self.others() {
            self.replicate(now, id, true);
        }
        self.finish_reads();
    }

    /// Sends what a replica lacks, or a heartbeat.
    fn replicate(&mut self, now: Timestamp, id: u64, heartbeat: bool) {
        let last = self.log.last().index;
        let base = self.log.base().index;
        let commit = self.commit;
        let installing_until = now + self.opts.election * 4;
        // Where addresses are fixed, nobody asks for a place.
        let waits_for_newcomer = self.is_vacant(id) && self.needs_addresses();
        let Role::Leader(leading) = &mut self.role else { return };
        let round = leading.round;
        // Nobody is there who could take anything.
        if waits_for_newcomer && !leading.candidates.contains_key(&id) {
            return;
        }
        let Some(progress) = leading.progress.get_mut(&id) else { return };
        if progress.next <= base {
            // A state that nobody is there to take is not written down.
            let is_there = now.since(progress.heard) < self.opts.election * 2;
            if is_there && progress.installing_until.is_none_or(|until| now >= until) {
                progress.installing_until = Some(installing_until);
                self.ready.need_snapshot.push(id);
            }
            if heartbeat {
                self.heartbeat_at_base(id, round);
            }
            return;
        }
        if progress.is_stuck(now) {
            // What the log no longer holds comes with another snapshot, when the last one is given up.
            progress.next = progress.match_index + 1;
            progress.progressed = now;
            if progress.next <= base {
                return;
            }
        }
        let room = (progress.match_index + ENTRIES_ON_WAY).min(last);
        let first = progress.next;
        let end = end_of_message(&self.log, first, room);
        if first > end && !heartbeat {
            return;
        }
        progress.next = first.max(end + 1);
        // A heartbeat that runs ahead of what the replica holds would be rejected, and everything
        // on its way sent once more.
        let ahead = first > end && progress.known;
        let prev_index = if ahead { progress.match_index.max(base) } else { first - 1 };
        let body = RaftBody::Append {
            prev_index,
            prev_term: self.log.term_at(prev_index).unwrap_or_default(),
            entries: self.log.range(first, end),
            commit,
            round,
        };
        self.send_before(id, body);
    }

    /// Sends a heartbeat to a replica that waits for a snapshot, which may be on its way for long: it
    /// must not take the leader for dead, and its word counts for the leader's quorum.
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
        self.send_before(id, body);
    }

    /// Sends a snapshot to a replica that [`super::Ready::need_snapshot`] named.
    pub fn send_snapshot(&mut self, to: u64, snapshot: Snapshot) {
        let Role::Leader(leading) = &mut self.role else { return };
        let round = leading.round;
        if let Some(progress) = leading.progress.get_mut(&to) {
            progress.next = snapshot.index + 1;
        }
        self.send_before(to, RaftBody::Install { snapshot, round });
    }

    pub(super) fn step_append_reply(
        &mut self,
        now: Timestamp,
        ack: Ack,
        success: bool,
        match_index: u64,
    ) {
        let last = self.log.last().index;
        let Role::Leader(leading) = &mut self.role else { return };
        let Some(progress) = leading.progress.get_mut(&ack.from) else { return };
        // Another disk knows nothing of what the former one acknowledged.
        if progress.disk.as_ref() != Some(&ack.disk) {
            *progress =
                Progress { disk: Some(ack.disk.clone()), next: last + 1, ..Progress::default() };
        }
        progress.heard = now;
        if let Some(candidate) = leading.candidates.get_mut(&ack.from) {
            candidate.on_ack(now, &ack.disk);
        }
        progress.acked_round = progress.acked_round.max(ack.round);
        if success {
            if match_index > progress.match_index {
                progress.progressed = now;
            }
            progress.known = true;
            progress.match_index = progress.match_index.max(match_index);
            progress.next = progress.next.max(progress.match_index + 1);
            progress.installing_until = None;
        } else if progress.known && now.since(progress.progressed) < RESEND_AFTER {
            // Entries that answer this are on their way.
            return;
        } else {
            progress.known = true;
            progress.progressed = now;
            progress.next = (match_index + 1).min(progress.next).max(progress.match_index + 1);
        }
        if success {
            self.commit_by_quorum();
            self.replace_disk_if_caught_up(now, &ack);
            self.continue_transfer();
        }
        self.finish_reads();
        self.replicate(now, ack.from, false);
    }

    pub(super) fn leader_saved(&mut self, _now: Timestamp) {
        if self.is_leader() {
            self.commit_by_quorum();
        }
    }

    fn commit_by_quorum(&mut self) {
        let Role::Leader(leading) = &self.role else { return };
        let counted = leading.progress.iter().filter(|(id, p)| self.counts(**id, p));
        let mut matches: Vec<u64> = counted.map(|(_, p)| p.match_index).collect();
        if self.is_voter() {
            matches.push(self.log.saved());
        }
        matches.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&to) = matches.get(self.quorum() - 1) else { return };
        // Only an entry of the present term proves that no other leader can undo it.
        if to > self.commit && self.log.term_at(to) == Some(self.hard.term) {
            self.advance_commit(to);
            self.after_commit();
        }
    }

    fn after_commit(&mut self) {
        let commit = self.commit;
        if let Role::Leader(leading) = &mut self.role
            && leading.replacing.is_some_and(|index| index <= commit)
        {
            leading.replacing = None;
            // The others learn at once that the new disk votes.
            leading.heartbeat_due = Timestamp::default();
        }
    }

    pub(super) fn commit_is_of_this_term(&self) -> bool {
        self.log.term_at(self.commit) == Some(self.hard.term)
    }

    fn finish_reads(&mut self) {
        if !self.commit_is_of_this_term() {
            return;
        }
        let (index, quorum, own) = (self.commit, self.quorum(), usize::from(self.is_voter()));
        let Role::Leader(leading) = &self.role else { return };
        let counted = leading.progress.iter().filter(|(id, p)| self.counts(**id, p));
        let mut rounds: Vec<u64> = counted.map(|(_, p)| p.acked_round).collect();
        if own == 1 {
            rounds.push(leading.round);
        }
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&confirmed) = rounds.get(quorum - 1) else { return };
        let Role::Leader(leading) = &mut self.role else { return };
        let done = leading.reads.partition_point(|r| r.round <= confirmed);
        let ready = leading.reads.drain(..done).map(|r| ReadyRead { ticket: r.ticket, index });
        self.ready.reads.extend(ready);
    }
}
