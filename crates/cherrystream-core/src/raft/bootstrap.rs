//! Founding: the first entry, written only when every configured disk is blank.

use super::Raft;
use crate::units::Timestamp;
use cherrystream_schema::messages;
use messages::{Command, Entry, Members, RaftBody, RaftMessage};
use std::collections::BTreeMap;

/// Term of the founding entry.
const FOUNDING_TERM: u64 = 1;

/// What a blank replica has learnt of the others.
#[derive(Debug, Default)]
pub(super) struct Founding {
    next_hello: Timestamp,
    /// Number of the last hello.
    sequence: u64,
    /// Answers to earlier hellos may tell of a founding that was given up since.
    trusted_from: u64,
    /// Disks of the replicas that answered that they are blank.
    blank: BTreeMap<u64, String>,
    /// Failure domains of the replicas that answered, as far as they tell.
    failure_domains: BTreeMap<u64, String>,
    /// Newest process of each other replica that this one answered as blank. It adopts a founding
    /// only from that one: an earlier one may have lost its disk since.
    answered: BTreeMap<u64, u64>,
}

impl Raft {
    /// Returns the other replicas that found the group: where addresses are not fixed, those that
    /// have one from the start. The other places are vacant at first.
    fn other_founders(&self) -> Vec<u64> {
        let has_address = |id: &u64| self.opts.addresses.get(id).is_some_and(|a| !a.is_empty());
        let fixed = self.opts.addresses.is_empty();
        self.others().into_iter().filter(|id| fixed || has_address(id)).collect()
    }

    /// Asks the others who is there, and founds the group when all are blank.
    pub(super) fn tick_founding(&mut self, now: Timestamp) {
        if now < self.founding.next_hello {
            return;
        }
        self.founding.next_hello = now + self.opts.heartbeat;
        self.founding.sequence += 1;
        let sequence = self.founding.sequence;
        let process = self.opts.started_ms;
        for id in self.other_founders() {
            self.send_before(id, RaftBody::Hello { process, sequence, blank: true });
        }
        self.found_if_all_blank(now);
    }

    /// Takes a message of the founding; returns whether it was one.
    pub(super) fn step_founding(&mut self, now: Timestamp, msg: &RaftMessage) -> bool {
        match &msg.body {
            RaftBody::Hello { process, sequence, .. } => {
                if !self.note_answer(msg.from, *process) {
                    return true;
                }
                let reply = RaftBody::HelloReply {
                    process: *process,
                    sequence: *sequence,
                    blank: self.is_blank(),
                    members: self.founding_members(),
                    failure_domain: self.own_failure_domain(),
                };
                self.send_before(msg.from, reply);
            }
            RaftBody::HelloReply { process, sequence, blank, members, failure_domain } => {
                if let Some(failure_domain) = failure_domain {
                    self.founding.failure_domains.insert(msg.from, failure_domain.clone());
                }
                if self.is_blank() && self.opts.started_ms == *process {
                    let trusted = *sequence >= self.founding.trusted_from;
                    let members = members.as_ref().filter(|_| trusted);
                    self.step_hello_reply(now, msg, *blank, members);
                }
            }
            RaftBody::Found { process, members } => {
                if self.founding.answered.get(&msg.from) == Some(process) {
                    self.adopt(now, members);
                }
            }
            _ => return false,
        }
        true
    }

    /// A blank replica that answers a new process no longer takes what was said before. Returns
    /// whether the process is not older than one that was answered.
    fn note_answer(&mut self, from: u64, process: u64) -> bool {
        if !self.is_blank() {
            return true;
        }
        let answered = self.founding.answered.get(&from).copied();
        if answered.is_none_or(|newest| process > newest) {
            self.founding.answered.insert(from, process);
            self.founding.trusted_from = self.founding.sequence + 1;
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
            self.founding.blank.insert(msg.from, msg.disk.clone());
        } else {
            self.founding.blank.remove(&msg.from);
        }
        match members {
            // The group was founded with this disk, but the word of it was lost.
            Some(members) => self.adopt(now, members),
            None => self.found_if_all_blank(now),
        }
    }

    fn founding_members(&self) -> Option<Members> {
        match self.log.get(1).map(|e| &e.command) {
            Some(Command::Found { members }) => Some(members.clone()),
            _ => None,
        }
    }

    /// Only the replica with the lowest number founds, so that two cannot do it at once.
    fn found_if_all_blank(&mut self, now: Timestamp) {
        let lowest = self.opts.replicas.iter().min() == Some(&self.opts.id) && self.opts.may_found;
        let others = self.other_founders();
        let all = others.iter().all(|id| self.founding.blank.contains_key(id));
        if !lowest || !all {
            return;
        }
        let mut disks = self.founding.blank.clone();
        disks.retain(|id, _| others.contains(id));
        disks.insert(self.opts.id, self.opts.disk.clone());
        let disks = disks.into_iter().map(|(id, disk)| (id.to_string(), disk)).collect();
        let addresses = self.opts.addresses.iter();
        let addresses = addresses.map(|(id, address)| (id.to_string(), address.clone())).collect();
        let failure_domains = self.founding_domains();
        let members = Members { disks, addresses, failure_domains };
        let process = self.opts.started_ms;
        self.adopt(now, &members);
        for id in others {
            self.send_after(id, RaftBody::Found { process, members: members.clone() });
        }
    }

    fn founding_domains(&self) -> BTreeMap<String, String> {
        let mut failure_domains = self.founding.failure_domains.clone();
        failure_domains.extend(self.own_failure_domain().map(|own| (self.opts.id, own)));
        failure_domains.into_iter().map(|(id, domain)| (id.to_string(), domain)).collect()
    }

    /// Writes the founding entry on a blank disk that it names.
    fn adopt(&mut self, now: Timestamp, members: &Members) {
        let named = members.disks.get(&self.opts.id.to_string()) == Some(&self.opts.disk);
        if !self.is_blank() || !named {
            return;
        }
        self.hard.term = self.hard.term.max(FOUNDING_TERM);
        self.hard_dirty = true;
        let command = Command::Found { members: members.clone() };
        self.log.push(Entry { term: FOUNDING_TERM, index: 1, command });
        self.advance_commit(1);
        if self.opts.replicas.len() > 1 {
            self.reset_election(now);
        }
    }
}
