//! Elections: pre-votes, votes and election timers.

use super::{Position, Raft, Role};
use crate::units::{Timestamp, micros};
use cherrystream_schema::messages::{RaftBody, RaftMessage};
use rand::Rng;
use std::collections::BTreeSet;
use std::time::Duration;

impl Raft {
    pub(super) fn reset_election_timer(&mut self, now: Timestamp) {
        // Early elections disturb no leader until the first one since the start has been seen, and
        // other replicas may have started later and missed the last attempt.
        let first_timeout = self.opts.first_election * 2;
        let timeout = match self.leader_last_seen {
            None => first_timeout.min(self.opts.election),
            Some(_) => self.opts.election,
        };
        self.set_election_timer(now, timeout);
    }

    pub(super) fn reset_first_election_timer(&mut self, now: Timestamp) {
        self.set_election_timer(now, self.opts.first_election);
    }

    fn set_election_timer(&mut self, now: Timestamp, timeout: Duration) {
        let base = micros(timeout);
        let wait = self.rng.random_range(base..base * 2);
        self.election_due = now + Duration::from_micros(wait);
    }

    pub(super) fn become_follower(&mut self, now: Timestamp, term: u64, leader: Option<u64>) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.voted_for = None;
            self.hard_dirty = true;
        }
        self.role = Role::Follower { leader };
        self.reset_election_timer(now);
    }

    /// Requests pre-votes or votes from the other replicas.
    pub(super) fn start_election(&mut self, now: Timestamp, pre: bool, transfer: bool) {
        self.reset_election_timer(now);
        if !pre {
            self.hard.term += 1;
            self.hard.voted_for = Some(self.opts.id);
            self.hard_dirty = true;
        }
        self.role = Role::Candidate { pre, votes: BTreeSet::from([self.opts.id]) };
        let (last, committed) = (self.log.last(), self.committed());
        for id in self.others() {
            let body = RaftBody::Vote {
                pre,
                last_index: last.index,
                last_term: last.term,
                transfer,
                own_disk_counts: self.own_disk_is_voting(),
                voter_disk: self.voting_disk(id),
                commit_index: committed.index,
                commit_term: committed.term,
            };
            let mut msg = self.message(id, body);
            // A pre-vote asks about the next term without entering it.
            msg.term += u64::from(pre);
            self.ready.messages_after_save.push(msg);
        }
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: Timestamp) {
        let Role::Candidate { pre, votes } = &self.role else { return };
        if votes.len() < self.quorum() {
            return;
        }
        if *pre {
            self.start_election(now, false, false);
        } else {
            self.become_leader(now);
        }
    }

    /// Returns whether this replica may vote, and the candidate's disk is accepted as a voting
    /// disk.
    fn accepts_candidate(&self, msg: &RaftMessage) -> bool {
        let RaftBody::Vote { voter_disk, own_disk_counts, .. } = &msg.body else { return false };
        let claim_accepted = *own_disk_counts && self.accepts_claim(msg.from, &msg.disk);
        let is_voting = claim_accepted || self.is_member(msg.from, &msg.disk);
        // A replica without members has acknowledged nothing, so it may vote for any candidate.
        // Where slots are vacated before they are filled, an up-to-date log is sufficient.
        let accepts_any = self.members.is_none() || !self.is_group_of_three();
        self.may_vote(voter_disk) && (is_voting || accepts_any)
    }

    /// Returns whether this replica may vote: its own log names its disk, or the candidate's log
    /// does. In the latter case, the two replicas that hold the entry hold everything before it.
    fn may_vote(&self, voter_disk: &str) -> bool {
        self.is_voter() || voter_disk == self.opts.disk
    }

    fn vote_reply(&self, pre: bool, granted: bool) -> RaftBody {
        let committed = self.committed();
        RaftBody::VoteReply {
            pre,
            granted,
            commit_index: committed.index,
            commit_term: committed.term,
        }
    }

    fn committed(&self) -> Position {
        let term = self.log.term_at(self.commit).unwrap_or_default();
        Position { term, index: self.commit }
    }

    /// Advances the commit index to that of another replica if the logs match there. A restarted
    /// replica learns in this way which disks vote before it votes itself.
    pub(super) fn update_commit_from(&mut self, msg: &RaftMessage) {
        let (RaftBody::Vote { commit_index, commit_term, .. }
        | RaftBody::VoteReply { commit_index, commit_term, .. }) = msg.body
        else {
            return;
        };
        if commit_index > self.commit && self.log.term_at(commit_index) == Some(commit_term) {
            self.advance_commit(commit_index);
        }
    }

    fn is_up_to_date(&self, last: Position) -> bool {
        last >= self.log.last()
    }

    fn has_recent_leader(&self, now: Timestamp) -> bool {
        self.is_leader()
            || self.leader_last_seen.is_some_and(|at| now.since(at) < self.opts.election)
    }

    /// Returns whether a vote request would disrupt a working leader. Requests for a higher term
    /// are ignored while the leader is in contact, unless the leader itself asked for the election.
    pub(super) fn is_disruptive(&self, now: Timestamp, msg: &RaftMessage) -> bool {
        matches!(msg.body, RaftBody::Vote { pre: false, transfer: false, .. })
            && self.has_recent_leader(now)
    }

    /// Handles a pre-vote or its reply; returns whether the message was one.
    pub(super) fn step_pre_vote(&mut self, now: Timestamp, msg: &RaftMessage) -> bool {
        match msg.body {
            RaftBody::Vote { pre: true, .. } => {
                let last = last_position(&msg.body);
                let granted = msg.term > self.hard.term
                    && self.accepts_candidate(msg)
                    && self.is_up_to_date(last)
                    && !self.has_recent_leader(now);
                let mut reply = self.message(msg.from, self.vote_reply(true, granted));
                if granted {
                    reply.term = msg.term;
                }
                self.ready.messages_after_save.push(reply);
            }
            RaftBody::VoteReply { pre: true, granted, .. } => {
                self.step_pre_vote_reply(now, msg, granted);
            }
            _ => return false,
        }
        true
    }

    fn step_pre_vote_reply(&mut self, now: Timestamp, msg: &RaftMessage, granted: bool) {
        if !granted {
            if msg.term > self.hard.term {
                self.become_follower(now, msg.term, None);
            }
            return;
        }
        if msg.term != self.hard.term + 1 || !self.is_member(msg.from, &msg.disk) {
            return;
        }
        if let Role::Candidate { pre: true, votes } = &mut self.role {
            votes.insert(msg.from);
            self.count_votes(now);
        }
    }

    pub(super) fn step_vote(&mut self, now: Timestamp, msg: &RaftMessage) {
        let can_vote = self.hard.voted_for.is_none_or(|id| id == msg.from);
        let granted =
            can_vote && self.accepts_candidate(msg) && self.is_up_to_date(last_position(&msg.body));
        if granted {
            self.hard.voted_for = Some(msg.from);
            self.hard_dirty = true;
            self.reset_election_timer(now);
        }
        let reply = self.vote_reply(false, granted);
        self.send_after_save(msg.from, reply);
    }

    pub(super) fn step_vote_reply(&mut self, now: Timestamp, from: u64, disk: &str, granted: bool) {
        if !granted || !self.is_member(from, disk) {
            return;
        }
        if let Role::Candidate { pre: false, votes } = &mut self.role {
            votes.insert(from);
            self.count_votes(now);
        }
    }

    /// Replies to a leader or candidate of an old term with the current term.
    pub(super) fn reject_stale(&mut self, msg: &RaftMessage) {
        let body = match msg.body {
            RaftBody::Append { round, .. } | RaftBody::Install { round, .. } => {
                RaftBody::AppendReply { success: false, match_index: 0, round }
            }
            RaftBody::Vote { .. } => self.vote_reply(false, false),
            _ => return,
        };
        self.send_after_save(msg.from, body);
    }
}

/// Returns the position of a candidate's last entry.
fn last_position(body: &RaftBody) -> Position {
    match *body {
        RaftBody::Vote { last_index, last_term, .. } => {
            Position { term: last_term, index: last_index }
        }
        _ => Position { term: 0, index: 0 },
    }
}
