//! Follower: entries and snapshots received from the leader.

use super::{Position, Raft, Role};
use crate::units::Timestamp;
use cherrystream_schema::messages::{Entry, RaftBody, Snapshot};

impl Raft {
    fn on_leader_message(&mut self, now: Timestamp, from: u64) {
        self.leader_last_seen = Some(now);
        self.role = Role::Follower { leader: Some(from) };
        self.reset_election_timer(now);
    }

    pub(super) fn step_append(
        &mut self,
        now: Timestamp,
        from: u64,
        prev: Position,
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) {
        self.on_leader_message(now, from);
        self.known_commit = self.known_commit.max(commit);
        let reply = match self.append_after(prev, entries) {
            Ok(match_index) => {
                self.advance_commit(commit.min(match_index));
                RaftBody::AppendReply { success: true, match_index, round }
            }
            Err(match_hint) => {
                RaftBody::AppendReply { success: false, match_index: match_hint, round }
            }
        };
        self.send_after_save(from, reply);
    }

    /// Appends entries after `prev`. Returns the last index that now matches the leader's log, or a
    /// hint for the index after which the leader should retry.
    fn append_after(&mut self, prev: Position, mut entries: Vec<Entry>) -> Result<u64, u64> {
        let base = self.log.base();
        let last = prev.index + entries.len() as u64;
        if prev.index < base.index {
            // Everything up to the base is committed and therefore matches.
            entries.retain(|e| e.index > base.index);
        } else if self.log.term_at(prev.index) != Some(prev.term) {
            return Err(self.match_hint(prev.index));
        }
        for entry in entries {
            if self.log.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index <= self.log.last().index {
                assert!(entry.index > self.commit, "a committed entry must never be replaced");
                self.truncate_log(entry.index);
            }
            self.push_entry(entry);
        }
        Ok(last.max(base.index))
    }

    fn match_hint(&self, prev_index: u64) -> u64 {
        let last = self.log.last().index;
        if prev_index > last {
            return last;
        }
        self.log.first_of_term(prev_index).saturating_sub(1).max(self.commit.min(prev_index - 1))
    }

    pub(super) fn step_install(
        &mut self,
        now: Timestamp,
        from: u64,
        snapshot: Snapshot,
        round: u64,
    ) {
        self.on_leader_message(now, from);
        if self.log.term_at(snapshot.index) == Some(snapshot.term) {
            // The log matches up to the snapshot. Entries after it stay, because they may have been
            // acknowledged.
            self.advance_commit(snapshot.index);
        } else if snapshot.index > self.commit {
            self.log.reset(Position { term: snapshot.term, index: snapshot.index });
            self.pending_disks.clear();
            self.members = Some(snapshot.members.clone());
            self.commit = snapshot.index;
            self.delivered = snapshot.index;
            self.ready.installed = Some(snapshot);
        }
        let match_index = self.commit;
        self.send_after_save(from, RaftBody::AppendReply { success: true, match_index, round });
    }
}
