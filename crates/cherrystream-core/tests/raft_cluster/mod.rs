//! Simulated replicas with their disks and the messages between them; [`Cluster::check`] checks the
//! safety invariants.

mod invariants;
mod membership;

use cherrystream_core::raft::{Options, Raft, Restored};
use cherrystream_core::units::Timestamp;
use cherrystream_schema::messages::{
    Command, Entry, HardState, HostRecord, Members, RaftBody, RaftMessage, Snapshot,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use std::collections::BTreeMap;
use std::time::Duration;

/// Heartbeat interval, election timeout and first election timeout of a group formed from seeds.
const SEEDED_TIMEOUTS: [Duration; 3] =
    [Duration::from_millis(200), Duration::from_millis(700), Duration::from_millis(80)];
/// The log is compacted only beyond this index.
const MIN_COMPACTED_INDEX: u64 = 4;

/// Durable state of a replica.
#[derive(Clone, Default)]
pub struct Disk {
    pub id: String,
    pub hard: Option<HardState>,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<Entry>,
}

impl Disk {
    pub fn write(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            self.entries.retain(|e| e.index < entry.index);
            self.entries.push(entry);
        }
    }
}

pub struct Replica {
    /// Number that it runs under. A replaced host may come back beside its successor.
    pub number: u64,
    /// Whether another host replaced it.
    pub replaced: bool,
    /// Whether it has no member slot and therefore does not run.
    pub without_slot: bool,
    pub raft: Option<Raft>,
    /// Addresses of the group that it was told when it was granted a slot.
    pub granted_addresses: BTreeMap<u64, String>,
    pub disk: Disk,
    /// Applied entries by index.
    pub applied: BTreeMap<u64, String>,
}

pub struct Committed {
    pub name: String,
    pub term: u64,
}

pub struct Cluster {
    pub replicas: Vec<Replica>,
    pub in_flight: Vec<RaftMessage>,
    pub now: Timestamp,
    pub proposals: u64,
    pub starts: u64,
    pub disks: u64,
    /// Entries that some replica has applied, with that replica's term.
    pub committed: BTreeMap<u64, Committed>,
    pub leaders: BTreeMap<u64, u64>,
    pub wiped_disks: usize,
    pub reads: BTreeMap<u64, u64>,
    pub next_read: u64,
    /// Number of replicas that bootstrap the group; the other slots start vacant.
    pub bootstrap_replicas: usize,
    pub slots: usize,
    /// Whether the group is formed from seeds: addresses are recorded, and timeouts are shorter.
    pub seeded: bool,
    rng: SmallRng,
}

/// Returns whether a message belongs to the bootstrap.
fn is_bootstrap(msg: &RaftMessage) -> bool {
    matches!(
        msg.body,
        RaftBody::Hello { .. } | RaftBody::HelloReply { .. } | RaftBody::Found { .. }
    )
}

/// Returns the address of a host.
pub fn address(i: usize) -> String {
    format!("10.0.0.{}:7000", i + 1)
}

fn no_members() -> Members {
    Members { disks: BTreeMap::new(), addresses: BTreeMap::new(), failure_domains: BTreeMap::new() }
}

/// Returns the failure domain of a host.
pub fn failure_domain(i: usize) -> String {
    format!("domain-{}", i % 4)
}

fn name(entry: &Entry) -> String {
    format!("{}:{}", entry.term, serde_json::to_string(&entry.command).unwrap())
}

impl Cluster {
    /// Creates a group of three.
    pub fn new() -> Cluster {
        Cluster::of(3, 3)
    }

    /// Creates a group that only some replicas bootstrap.
    pub fn of(slots: usize, bootstrap_replicas: usize) -> Cluster {
        let mut cluster = Cluster::empty(slots, bootstrap_replicas);
        for number in 1..=slots as u64 {
            cluster.add(number);
        }
        for i in 0..slots {
            cluster.start(i);
        }
        cluster
    }

    /// Creates stopped hosts; those beyond the bootstrap replicas have no slot.
    pub fn of_hosts(slots: usize, bootstrap_replicas: usize, hosts: usize) -> Cluster {
        let mut cluster = Cluster::empty(slots, bootstrap_replicas);
        for i in 0..hosts {
            cluster.add(if i < bootstrap_replicas { i as u64 + 1 } else { 0 });
            cluster.replicas[i].without_slot = i >= bootstrap_replicas;
        }
        cluster
    }

    fn empty(slots: usize, bootstrap_replicas: usize) -> Cluster {
        Cluster {
            replicas: Vec::new(),
            in_flight: Vec::new(),
            now: Timestamp::default(),
            proposals: 0,
            starts: 0,
            disks: 0,
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            wiped_disks: 0,
            reads: BTreeMap::new(),
            next_read: 0,
            bootstrap_replicas,
            slots,
            seeded: false,
            rng: SmallRng::seed_from_u64(1),
        }
    }

    /// Adds a stopped host without a slot, and returns its index.
    pub fn add_host(&mut self) -> usize {
        self.add(0);
        let i = self.replicas.len() - 1;
        self.replicas[i].without_slot = true;
        i
    }

    fn add(&mut self, number: u64) {
        let disk = self.new_disk();
        self.replicas.push(Replica {
            number,
            replaced: false,
            without_slot: false,
            raft: None,
            granted_addresses: BTreeMap::new(),
            disk,
            applied: BTreeMap::new(),
        });
    }

    fn options(&self, i: usize, disk: &str) -> Options {
        let slots = self.slots;
        let id = self.replicas[i].number;
        // Where every replica takes part in the bootstrap, the addresses may be fixed.
        let address = |i: usize| match i < self.bootstrap_replicas {
            true => address(i),
            false => String::new(),
        };
        let granted = &self.replicas[i].granted_addresses;
        let addresses = match self.seeded || self.bootstrap_replicas < slots {
            true if !granted.is_empty() => granted.clone(),
            true => (0..slots).map(|i| (i as u64 + 1, address(i))).collect(),
            false => BTreeMap::new(),
        };
        let timeouts = match self.seeded {
            true => SEEDED_TIMEOUTS,
            false => {
                let defaults = Options::default();
                [defaults.heartbeat, defaults.election, defaults.first_election]
            }
        };
        let [heartbeat, election, first_election] = timeouts;
        Options {
            id,
            disk: disk.into(),
            replicas: (1..=slots as u64).collect(),
            addresses,
            may_bootstrap: i < self.bootstrap_replicas,
            failure_domain: failure_domain(i),
            seed: self.starts * 31 + id,
            started_ms: self.starts,
            heartbeat,
            election,
            first_election,
        }
    }

    pub fn new_disk(&mut self) -> Disk {
        self.disks += 1;
        Disk { id: format!("disk-{}", self.disks), ..Disk::default() }
    }

    pub fn start(&mut self, i: usize) {
        if self.replicas[i].without_slot {
            return;
        }
        // Connections end with a process, so messages in flight to the previous one are lost. The
        // log tolerates such messages, but the bootstrap does not.
        let number = self.replicas[i].number;
        self.in_flight.retain(|msg| msg.to != number || !is_bootstrap(msg));
        self.starts += 1;
        let opts = self.options(i, &self.replicas[i].disk.id.clone());
        let replica = &mut self.replicas[i];
        let disk = &replica.disk;
        let restored = Restored {
            hard: disk.hard.clone(),
            snapshot: disk.snapshot.clone(),
            entries: disk.entries.clone(),
        };
        replica.applied = match &disk.snapshot {
            Some(s) => serde_json::from_str(&s.state).unwrap(),
            None => BTreeMap::new(),
        };
        replica.raft = Some(Raft::new(opts, restored, self.now));
    }

    /// Performs the actions that a replica requests. `crash_after` stops it midway, as a crash of
    /// the host does.
    pub fn process_ready(&mut self, i: usize, crash_after: Option<u8>) {
        loop {
            let Some(raft) = &mut self.replicas[i].raft else { return };
            let ready = raft.take_ready();
            if ready.is_empty() {
                return;
            }
            self.in_flight.extend(ready.immediate_messages);
            if crash_after == Some(0) {
                self.replicas[i].raft = None;
                return;
            }
            let replica = &mut self.replicas[i];
            if let Some(snapshot) = ready.installed {
                replica.applied = serde_json::from_str(&snapshot.state).unwrap();
                replica.disk.snapshot = Some(snapshot);
                replica.disk.entries.clear();
            }
            replica.disk.write(ready.entries);
            if let Some(hard) = ready.hard {
                replica.disk.hard = Some(hard);
            }
            if crash_after == Some(1) {
                replica.raft = None;
                return;
            }
            self.in_flight.extend(ready.messages_after_save);
            for entry in ready.committed {
                self.apply(i, &entry);
            }
            for read in ready.reads {
                let asked_at = self.reads[&read.ticket];
                assert!(read.index >= asked_at, "a read missed a committed entry");
            }
            let snapshot = self.snapshot(i);
            let now = self.now;
            let Some(raft) = &mut self.replicas[i].raft else { return };
            for id in ready.need_snapshot {
                raft.send_snapshot(id, snapshot.clone());
            }
            raft.saved(now);
        }
    }

    pub fn apply(&mut self, i: usize, entry: &Entry) {
        let name = name(entry);
        // A bootstrap entry that no other replica received before it was lost is written again;
        // nothing was accepted in between. Two bootstraps at the same time fail the assertion
        // below.
        if entry.index == 1 && self.committed.len() == 1 {
            self.committed.clear();
        }
        let term = self.replicas[i].raft.as_ref().map_or(0, Raft::term);
        let committed = || Committed { name: name.clone(), term };
        let first = self.committed.entry(entry.index).or_insert_with(committed);
        assert_eq!(first.name, name, "two replicas applied different entries at {}", entry.index);
        self.replicas[i].applied.insert(entry.index, name);
    }

    pub fn snapshot(&self, i: usize) -> Snapshot {
        let replica = &self.replicas[i];
        let index = replica.applied.keys().next_back().copied().unwrap_or(0);
        let term = replica
            .applied
            .get(&index)
            .map_or(0, |n| n.split(':').next().unwrap_or("0").parse().unwrap_or(0));
        let members = replica.raft.as_ref().and_then(|r| r.members().cloned());
        Snapshot {
            term,
            index,
            members: members.unwrap_or_else(no_members),
            state: serde_json::to_string(&replica.applied).unwrap(),
        }
    }

    pub fn compact(&mut self, i: usize) {
        let snapshot = self.snapshot(i);
        let replica = &mut self.replicas[i];
        let Some(raft) = &mut replica.raft else { return };
        // A log is long before it is compacted, so its bootstrap entry has reached the others by
        // then.
        if snapshot.index <= raft.log().base().index.max(MIN_COMPACTED_INDEX) {
            return;
        }
        replica.disk.entries.retain(|e| e.index > snapshot.index);
        raft.compact(snapshot.index);
        replica.disk.snapshot = Some(snapshot);
    }

    /// Advances the time by 50 ms and delivers all messages.
    pub fn run_fault_free(&mut self) {
        self.tick_all(50_000);
        for _ in 0..4 {
            for msg in std::mem::take(&mut self.in_flight) {
                self.in_flight.push(msg);
                let last = self.in_flight.len() - 1;
                self.deliver(last, false);
            }
        }
        self.check();
    }

    pub fn propose(&mut self, i: usize) {
        self.proposals += 1;
        let host = format!("p{}", self.proposals);
        let record = HostRecord {
            host,
            failure_domain: "a".into(),
            region: "r".into(),
            peer_address: String::new(),
            incarnation: 0,
            leaving: false,
        };
        let change = cherrystream_schema::messages::Change::PutHost { record };
        let now = self.now;
        if let Some(raft) = &mut self.replicas[i].raft
            && raft.propose(Command::Share { change }).is_ok()
        {
            raft.flush(now);
        }
    }

    pub fn read(&mut self, i: usize) {
        self.next_read += 1;
        let newest = self.committed.keys().next_back().copied().unwrap_or(0);
        let now = self.now;
        if let Some(raft) = &mut self.replicas[i].raft
            && raft.read(now, self.next_read).is_ok()
        {
            self.reads.insert(self.next_read, newest);
            raft.flush_reads(now);
        }
    }

    pub fn deliver(&mut self, at: usize, keep: bool) {
        let msg = if keep { self.in_flight[at].clone() } else { self.in_flight.swap_remove(at) };
        // Where two replicas run under one number, either may receive the message.
        let reached: Vec<usize> = (0..self.replicas.len())
            .filter(|i| self.replicas[*i].number == msg.to && self.replicas[*i].raft.is_some())
            .collect();
        let Some(&i) = reached.choose(&mut self.rng) else { return };
        let now = self.now;
        if let Some(raft) = &mut self.replicas[i].raft {
            raft.step(now, msg);
        }
        self.process_ready(i, None);
    }

    pub fn tick_all(&mut self, micros: u64) {
        self.now = Timestamp(self.now.0 + micros);
        for i in 0..self.replicas.len() {
            let now = self.now;
            if let Some(raft) = &mut self.replicas[i].raft {
                raft.tick(now);
            }
            self.process_ready(i, None);
        }
    }
}
