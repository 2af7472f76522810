//! Elections: pre-votes, votes and the leader's rest.

use super::{Position, Raft, Role};
use crate::units::{Timestamp, micros};
use cherrystream_schema::messages::{RaftBody, RaftMessage};
use rand::Rng;
use std::collections::BTreeSet;
use std::time::Duration;

impl Raft {
    pub(super) fn reset_election(&mut self, now: Timestamp) {
        // Until the first leader after a start is heard, nobody is disturbed by early tries: the others
        // may have come a little later, and missed the last one.
        let early = self.opts.first_election * 2;
        let within = match self.heard_leader {
            None => early.min(self.opts.election),
            Some(_) => self.opts.election,
        };
        self.expect_leader(now, within);
    }

    pub(super) fn reset_first_election(&mut self, now: Timestamp) {
        self.expect_leader(now, self.opts.first_election);
    }

    fn expect_leader(&mut self, now: Timestamp, within: Duration) {
        let base = micros(within);
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
        self.reset_election(now);
    }

    /// Asks for pre-votes, or for votes.
    pub(super) fn start_election(&mut self, now: Timestamp, pre: bool, transfer: bool) {
        self.reset_election(now);
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
                own_disk_counts: self.own_disk_counts(),
                voter_disk: self.counted_disk(id),
                commit_index: committed.index,
                commit_term: committed.term,
            };
            let mut msg = self.message(id, body);
            // A pre-vote asks about the next term without entering it.
            msg.term += u64::from(pre);
            self.ready.after.push(msg);
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

    /// Returns whether this replica may vote, and the candidate's disk counts.
    fn trusts(&self, msg: &RaftMessage) -> bool {
        let RaftBody::Vote { voter_disk, own_disk_counts, .. } = &msg.body else { return false };
        let believed = *own_disk_counts && self.believes(msg.from, &msg.disk);
        let candidate = believed || self.is_member(msg.from, &msg.disk);
        // A founder that missed everything so far knows no members; it has promised nothing. Where
        // places are vacated first, a log that is new enough is all that a candidate needs.
        let any = self.members.is_none() || !self.is_group_of_three();
        self.may_vote(voter_disk) && (candidate || any)
    }

    /// A replica votes when its log names its disk. It also believes a candidate that counts it:
    /// the two replicas that hold the entry that names it hold all that came before.
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

    /// What another replica knows to be committed is committed here too, if the logs match there.
    /// A replica that restarted learns in this way which disks count before it votes.
    pub(super) fn learn_commit(&mut self, msg: &RaftMessage) {
        let (RaftBody::Vote { commit_index, commit_term, .. }
        | RaftBody::VoteReply { commit_index, commit_term, .. }) = msg.body
        else {
            return;
        };
        if commit_index > self.commit && self.log.term_at(commit_index) == Some(commit_term) {
            self.advance_commit(commit_index);
        }
    }

    fn up_to_date(&self, last: Position) -> bool {
        last >= self.log.last()
    }

    fn heard_leader_lately(&self, now: Timestamp) -> bool {
        self.is_leader() || self.heard_leader.is_some_and(|at| now.since(at) < self.opts.election)
    }

    /// A replica that hears its leader does not let a vote for a higher term disturb it, unless
    /// the leader itself asked for the election.
    pub(super) fn would_disturb(&self, now: Timestamp, msg: &RaftMessage) -> bool {
        matches!(msg.body, RaftBody::Vote { pre: false, transfer: false, .. })
            && self.heard_leader_lately(now)
    }

    /// Takes a pre-vote or its reply; returns whether it was one.
    pub(super) fn step_pre_vote(&mut self, now: Timestamp, msg: &RaftMessage) -> bool {
        match msg.body {
            RaftBody::Vote { pre: true, .. } => {
                let last = last_of(&msg.body);
                let granted = msg.term > self.hard.term
                    && self.trusts(msg)
                    && self.up_to_date(last)
                    && !self.heard_leader_lately(now);
                let mut reply = self.message(msg.from, self.vote_reply(true, granted));
                if granted {
                    reply.term = msg.term;
                }
                self.ready.after.push(reply);
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
        let free = self.hard.voted_for.is_none_or(|id| id == msg.from);
        let granted = free && self.trusts(msg) && self.up_to_date(last_of(&msg.body));
        if granted {
            self.hard.voted_for = Some(msg.from);
            self.hard_dirty = true;
            self.reset_election(now);
        }
        let reply = self.vote_reply(false, granted);
        self.send_after(msg.from, reply);
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

    /// Tells a leader or candidate of an old term about the present one.
    pub(super) fn refuse_stale(&mut self, msg: &RaftMessage) {
        let body = match msg.body {
            RaftBody::Append { round, .. } | RaftBody::Install { round, .. } => {
                RaftBody::AppendReply { success: false, match_index: 0, round }
            }
            RaftBody::Vote { .. } => self.vote_reply(false, false),
            _ => return,
        };
        self.send_after(msg.from, body);
    }
}

/// Returns the position of a candidate's last entry.
fn last_of(body: &RaftBody) -> Position {
    match *body {
        RaftBody::Vote { last_index, last_term, .. } => {
            Position { term: last_term, index: last_index }
        }
        _ => Position { term: 0, index: 0 },
    }
}
