//! Bootstrap of a group: the first entry is written only when every configured disk is blank.

use super::Raft;
use crate::units::Timestamp;
use cherrystream_schema::messages;
use messages::{Command, Entry, Members, RaftBody, RaftMessage};
use std::collections::BTreeMap;

/// Term of the bootstrap entry.
const BOOTSTRAP_TERM: u64 = 1;

/// State that a blank replica has collected about the others.
#[derive(Debug, Default)]
pub(super) struct Bootstrap {
    next_hello: Timestamp,
    /// Sequence number of the last hello.
    sequence: u64,
    /// First hello whose replies are trusted. Replies to earlier ones may report a bootstrap that
    /// has been abandoned since.
    trusted_from: u64,
    /// Disks of the replicas that replied that they are blank.
    blank: BTreeMap<u64, String>,
    /// Failure domains that the other replicas reported.
    failure_domains: BTreeMap<u64, String>,
    /// Newest process of each other replica that this one answered while blank. A bootstrap entry
    /// is accepted only from that process: an earlier one may have lost its disk since.
    answered: BTreeMap<u64, u64>,
}

impl Raft {
    /// Returns the other replicas that take part in the bootstrap: all of them where addresses are
    /// fixed, else those with an initial address. The other member slots start vacant.
    fn other_bootstrap_replicas(&self) -> Vec<u64> {
        let has_address = |id: &u64| self.opts.addresses.get(id).is_some_and(|a| !a.is_empty());
        let fixed = self.opts.addresses.is_empty();
        self.others().into_iter().filter(|id| fixed || has_address(id)).collect()
    }

    /// Sends hellos to the other replicas, and bootstraps the group when all are blank.
    pub(super) fn tick_bootstrap(&mut self, now: Timestamp) {
        if now < self.bootstrap.next_hello {
            return;
        }
        self.bootstrap.next_hello = now + self.opts.heartbeat;
        self.bootstrap.sequence += 1;
        let sequence = self.bootstrap.sequence;
        let process = self.opts.started_ms;
        for id in self.other_bootstrap_replicas() {
            self.send_now(id, RaftBody::Hello { process, sequence, blank: true });
        }
        self.bootstrap_if_all_blank(now);
    }

    /// Handles a bootstrap message; returns whether it was one.
    pub(super) fn step_bootstrap(&mut self, now: Timestamp, msg: &RaftMessage) -> bool {
        match &msg.body {
            RaftBody::Hello { process, sequence, .. } => {
                if !self.record_hello(msg.from, *process) {
                    return true;
                }
                let reply = RaftBody::HelloReply {
                    process: *process,
                    sequence: *sequence,
                    blank: self.is_blank(),
                    members: self.bootstrap_members(),
                    failure_domain: self.own_failure_domain(),
                };
                self.send_now(msg.from, reply);
            }
            RaftBody::HelloReply { process, sequence, blank, members, failure_domain } => {
                if let Some(failure_domain) = failure_domain {
                    self.bootstrap.failure_domains.insert(msg.from, failure_domain.clone());
                }
                if self.is_blank() && self.opts.started_ms == *process {
                    let trusted = *sequence >= self.bootstrap.trusted_from;
                    let members = members.as_ref().filter(|_| trusted);
                    self.step_hello_reply(now, msg, *blank, members);
                }
            }
            RaftBody::Found { process, members } => {
                if self.bootstrap.answered.get(&msg.from) == Some(process) {
                    self.append_bootstrap_entry(now, members);
                }
            }
            _ => return false,
        }
        true
    }

    /// Records the process that a hello came from. A blank replica distrusts replies to its earlier
    /// hellos once it answers a new process. Returns whether the process is at least as new as the
    /// ones answered before.
    fn record_hello(&mut self, from: u64, process: u64) -> bool {
        if !self.is_blank() {
            return true;
        }
        let answered = self.bootstrap.answered.get(&from).copied();
        if answered.is_none_or(|newest| process > newest) {
            self.bootstrap.answered.insert(from, process);
            self.bootstrap.trusted_from = self.bootstrap.sequence + 1;
        }
        answered.is_none_or(|newest| process >= newest)
    }

    fn step_hello_reply(
        &mut self,
        now: Timestamp,
        msg: &RaftMessage,
        blank: bool,
        members: Option<&Members>,
    ) {
        if blank {
            self.bootstrap.blank.insert(msg.from, msg.disk.clone());
        } else {
            self.bootstrap.blank.remove(&msg.from);
        }
        match members {
            // The group was bootstrapped with this disk, but the message was lost.
            Some(members) => self.append_bootstrap_entry(now, members),
            None => self.bootstrap_if_all_blank(now),
        }
    }

    fn bootstrap_members(&self) -> Option<Members> {
        match self.log.get(1).map(|e| &e.command) {
            Some(Command::Found { members }) => Some(members.clone()),
            _ => None,
        }
    }

    /// Writes and sends the bootstrap entry once every disk is blank. Only the replica with the
    /// lowest number does so, so that two groups cannot be created at once.
    fn bootstrap_if_all_blank(&mut self, now: Timestamp) {
        let lowest =
            self.opts.replicas.iter().min() == Some(&self.opts.id) && self.opts.may_bootstrap;
        let others = self.other_bootstrap_replicas();
        let all = others.iter().all(|id| self.bootstrap.blank.contains_key(id));
        if !lowest || !all {
            return;
        }
        let mut disks = self.bootstrap.blank.clone();
        disks.retain(|id, _| others.contains(id));
        disks.insert(self.opts.id, self.opts.disk.clone());
        let disks = disks.into_iter().map(|(id, disk)| (id.to_string(), disk)).collect();
        let addresses = self.opts.addresses.iter();
        let addresses = addresses.map(|(id, address)| (id.to_string(), address.clone())).collect();
        let failure_domains = self.bootstrap_domains();
        let members = Members { disks, addresses, failure_domains };
        let process = self.opts.started_ms;
        self.append_bootstrap_entry(now, &members);
        for id in others {
            self.send_after_save(id, RaftBody::Found { process, members: members.clone() });
        }
    }

    fn bootstrap_domains(&self) -> BTreeMap<String, String> {
        let mut failure_domains = self.bootstrap.failure_domains.clone();
        failure_domains.extend(self.own_failure_domain().map(|own| (self.opts.id, own)));
        failure_domains.into_iter().map(|(id, domain)| (id.to_string(), domain)).collect()
    }

    /// Appends the bootstrap entry if this replica's disk is blank and named by it.
    fn append_bootstrap_entry(&mut self, now: Timestamp, members: &Members) {
        let named = members.disks.get(&self.opts.id.to_string()) == Some(&self.opts.disk);
        if !self.is_blank() || !named {
            return;
        }
        self.hard.term = self.hard.term.max(BOOTSTRAP_TERM);
        self.hard_dirty = true;
        let command = Command::Found { members: members.clone() };
        self.log.push(Entry { term: BOOTSTRAP_TERM, index: 1, command });
        self.advance_commit(1);
        if self.opts.replicas.len() > 1 {
            self.reset_election_timer(now);
        }
    }
}
