//! Simulated hosts that find their group by seeds, and connections to their addresses.

use crate::raft_cluster::{Cluster, address, failure_domain};
use cherrystream_core::raft::rejoin::{self, JoinTimer, PlaceView};
use cherrystream_core::raft::{JoinDecision, JoiningReplica, Raft};
use cherrystream_core::units::Timestamp;
use cherrystream_schema::messages::RaftMessage;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of replicas that bootstrap a group.
const BOOTSTRAP_REPLICAS: usize = 3;
/// Time of one step; a message takes one step.
const STEP: Duration = Duration::from_millis(10);
/// Longest time until the leader's connection to an admitted replica is open, in milliseconds.
const MAX_LEARNER_CONNECT_MS: u64 = 2_000;
/// As above, for connections between members. One that is cut off for longer counts as lost.
const MAX_MEMBER_CONNECT_MS: u64 = 1_000;
/// Longest time from a grant until the replica runs, in milliseconds.
const MAX_RESTART_MS: u64 = 300;
/// Time that a request to an unreachable address takes.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between two requests of a host without a slot, and between two checks of one with a slot.
const JOIN_INTERVAL: Duration = Duration::from_millis(250);
const JOIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Age of the quorum contact with which a leader may report a slot as lost.
const READ_CONFIRMATION_AGE: Duration = Duration::from_millis(400);
/// One in this many replies to join requests is lost.
const LOST_REPLIES: u32 = 10;

#[derive(Clone, Copy, PartialEq)]
enum Power {
    Running,
    Suspended,
    Lost,
}

struct Host {
    power: Power,
    /// Whether it asks for a slot as a standby replica.
    stands_by: bool,
    /// Addresses that it asks for a slot, in round-robin order.
    known: Vec<String>,
    requests: usize,
    next_request: Timestamp,
    timer: JoinTimer,
    started: Timestamp,
    /// Time at which it runs under the number that it was granted.
    runs_at: Option<Timestamp>,
}

/// Connection of a host to the replica with a number.
#[derive(Default)]
struct Link {
    address: String,
    open_at: Timestamp,
}

struct Sent {
    address: String,
    msg: RaftMessage,
}

/// Hosts with their processes.
pub struct Hosts {
    cluster: Cluster,
    hosts: Vec<Host>,
    links: BTreeMap<(usize, u64), Link>,
    sent: Vec<Sent>,
    rng: SmallRng,
}

impl Hosts {
    /// Starts the hosts of a new group; those beyond the bootstrap replicas stand by.
    pub fn new(slots: usize, seed: u64) -> Hosts {
        let mut cluster = Cluster::of_hosts(slots, BOOTSTRAP_REPLICAS, slots);
        cluster.seeded = true;
        let (hosts, links, sent) = (Vec::new(), BTreeMap::new(), Vec::new());
        let mut group = Hosts { cluster, hosts, links, sent, rng: SmallRng::seed_from_u64(seed) };
        for i in 0..slots {
            let known = (0..BOOTSTRAP_REPLICAS).map(address).collect();
            group.hosts.push(Host::new(group.cluster.now, known, true));
            group.cluster.start(i);
        }
        group
    }

    pub fn slots(&self) -> usize {
        self.cluster.slots
    }

    /// Returns the time since a host was started.
    pub fn age(&self, i: usize) -> Duration {
        self.cluster.now.since(self.hosts[i].started)
    }

    /// Returns whether a running host votes.
    pub fn votes(&self, i: usize) -> bool {
        self.raft(i).is_some_and(Raft::is_voter)
    }

    /// Returns the running hosts that vote.
    pub fn voters(&self) -> Vec<usize> {
        (0..self.hosts.len()).filter(|i| self.votes(*i)).collect()
    }

    /// Returns whether the log of the leader names a running voter for each slot.
    pub fn all_slots_vote(&self) -> bool {
        let Some(leader) = self.leader() else { return false };
        let Some(members) = self.raft(leader).and_then(Raft::members) else { return false };
        let is_running = |disk: &String| {
            self.voters().into_iter().any(|i| self.cluster.replicas[i].disk.id == *disk)
        };
        members.disks.len() == self.slots() && members.disks.values().all(is_running)
    }

    /// Returns the three addresses that a replacement is given, that of the lost host among them.
    pub fn seeds(&self, gone: usize, position: usize) -> Vec<String> {
        let voters = self.voters().into_iter().filter(|i| *i != gone);
        let mut seeds: Vec<String> = voters.take(2).map(address).collect();
        seeds.insert(position.min(seeds.len()), address(gone));
        seeds
    }

    /// Starts a host with a blank disk at an address of its own.
    pub fn start_replacement(&mut self, seeds: Vec<String>) -> usize {
        let i = self.cluster.add_host();
        self.hosts.push(Host::new(self.cluster.now, seeds, false));
        i
    }

    /// Starts a host again with a blank disk, as if it had stopped before it stored its identity.
    pub fn start_blank(&mut self, i: usize) {
        let (now, known) = (self.cluster.now, self.hosts[i].known.clone());
        self.hosts[i] = Host::new(now, known, self.hosts[i].stands_by);
        self.cluster.replicas[i].raft = None;
        self.cluster.replicas[i].without_slot = true;
        self.cluster.replicas[i].disk = self.cluster.new_disk();
    }

    /// Takes a host away for good.
    pub fn lose(&mut self, i: usize) {
        self.hosts[i].power = Power::Lost;
        self.cluster.replicas[i].raft = None;
    }

    pub fn suspend(&mut self, i: usize) {
        self.hosts[i].power = Power::Suspended;
    }

    pub fn resume(&mut self, i: usize) {
        self.hosts[i].power = Power::Running;
    }

    pub fn transfer_leadership(&mut self) {
        let now = self.cluster.now;
        if let Some(leader) = self.leader()
            && let Some(raft) = &mut self.cluster.replicas[leader].raft
        {
            raft.transfer_leadership(now);
        }
    }

    pub fn run(&mut self, time: Duration) {
        self.run_until(time, |_| false);
    }

    /// Runs until a condition holds; returns `None` if it does not within the time.
    pub fn run_until(&mut self, time: Duration, holds: impl Fn(&Hosts) -> bool) -> Option<()> {
        let until = self.cluster.now + time;
        loop {
            if holds(self) {
                return Some(());
            }
            if self.cluster.now >= until {
                return None;
            }
            self.step();
        }
    }

    /// Returns whether a proposed entry is committed in time.
    pub fn commits_within(&mut self, time: Duration) -> bool {
        let before = self.cluster.committed.len();
        let until = self.cluster.now + time;
        while self.cluster.now < until {
            self.run(time / 10);
            if let Some(leader) = self.leader() {
                self.cluster.propose(leader);
            }
        }
        // The first entries may be no-ops of new leaders.
        self.cluster.committed.len() > before + 2
    }

    /// Returns the running leader of the highest term.
    fn leader(&self) -> Option<usize> {
        let leads = |i: &usize| self.raft(*i).is_some_and(Raft::is_leader);
        let term = |i: &usize| self.raft(*i).map(Raft::term);
        (0..self.hosts.len()).filter(leads).max_by_key(term)
    }

    fn raft(&self, i: usize) -> Option<&Raft> {
        let running = self.hosts[i].power == Power::Running;
        self.cluster.replicas[i].raft.as_ref().filter(|_| running)
    }

    fn step(&mut self) {
        let now = self.cluster.now + STEP;
        self.cluster.now = now;
        for Sent { address, msg } in std::mem::take(&mut self.sent) {
            self.deliver(&address, msg);
        }
        for i in 0..self.hosts.len() {
            if self.hosts[i].power != Power::Running {
                continue;
            }
            if let Some(raft) = &mut self.cluster.replicas[i].raft {
                raft.tick(now);
                raft.flush(now);
            }
            self.process_ready(i);
            for to in 1..=self.cluster.slots as u64 {
                self.follow_address(i, to);
            }
            self.request_slot(i);
        }
        self.cluster.check();
    }

    fn process_ready(&mut self, i: usize) {
        self.cluster.process_ready(i, None);
        for msg in std::mem::take(&mut self.cluster.in_flight) {
            self.send(i, msg);
        }
    }

    fn send(&mut self, from: usize, msg: RaftMessage) {
        self.follow_address(from, msg.to);
        let now = self.cluster.now;
        if let Some(link) = self.links.get(&(from, msg.to)).filter(|link| link.open_at <= now) {
            self.sent.push(Sent { address: link.address.clone(), msg });
        }
    }

    /// Moves the connection of a host to the current address of a replica. Messages are lost until
    /// it is open, as while an attempt to connect to the previous address has to time out.
    fn follow_address(&mut self, from: usize, to: u64) {
        let now = self.cluster.now;
        let Some(raft) = self.raft(from) else { return };
        let Some(address) = raft.address_of(now, to) else { return };
        let slowest_ms = match raft.is_leader() {
            true => MAX_LEARNER_CONNECT_MS,
            false => MAX_MEMBER_CONNECT_MS,
        };
        let link = self.links.entry((from, to)).or_default();
        if link.address != address {
            let is_first = link.address.is_empty();
            let delay = if is_first { 0 } else { self.rng.random_range(0..=slowest_ms) };
            *link = Link { address, open_at: now + Duration::from_millis(delay) };
        }
    }

    fn deliver(&mut self, address: &str, msg: RaftMessage) {
        let now = self.cluster.now;
        let Some(i) = self.running_at(address) else { return };
        if let Some(raft) = &mut self.cluster.replicas[i].raft {
            raft.step(now, msg);
        }
        self.process_ready(i);
    }

    fn running_at(&self, wanted: &str) -> Option<usize> {
        let is_running = |i: &usize| self.hosts[*i].power == Power::Running;
        (0..self.hosts.len()).filter(is_running).find(|i| address(*i) == wanted)
    }

    /// Starts a host that was granted a slot, or sends a join request that is due.
    fn request_slot(&mut self, i: usize) {
        let now = self.cluster.now;
        if self.hosts[i].runs_at.is_some_and(|at| now >= at) {
            self.hosts[i].runs_at = None;
            self.hosts[i].timer = JoinTimer::new(now);
            self.hosts[i].next_request = now + JOIN_CHECK_INTERVAL;
            self.links.retain(|(from, _), _| *from != i);
            self.cluster.replicas[i].without_slot = false;
            self.cluster.start(i);
        }
        if self.hosts[i].runs_at.is_some() || now < self.hosts[i].next_request {
            return;
        }
        self.hosts[i].next_request = now + JOIN_CHECK_INTERVAL;
        match self.view(i) {
            Some(view) if !self.hosts[i].timer.is_due(now, view) => {}
            Some(_) => {
                let addresses = self.raft(i).map(|raft| raft.addresses(now)).unwrap_or_default();
                let known = addresses.into_values().map(|replica| replica.address);
                self.ask(i, known.filter(|address| !address.is_empty()).collect());
            }
            None => {
                self.hosts[i].next_request = now + JOIN_INTERVAL;
                self.ask(i, self.hosts[i].known.clone());
            }
        }
    }

    fn view(&self, i: usize) -> Option<PlaceView> {
        let raft = self.raft(i)?;
        let word = raft.quorum_contact(self.cluster.now);
        Some(PlaceView { leads: raft.is_leader(), votes: raft.is_voter(), word })
    }

    /// Sends a join request to the next of some addresses.
    fn ask(&mut self, i: usize, addresses: Vec<String>) {
        let host = &mut self.hosts[i];
        host.requests += 1;
        let Some(asked) = addresses.get(host.requests % addresses.len().max(1)) else { return };
        if *asked == address(i) {
            return;
        }
        let Some(to) = self.running_at(asked) else {
            self.hosts[i].next_request = self.cluster.now + CONNECT_TIMEOUT;
            return;
        };
        let (decision, group) = self.decide(i, to);
        if self.rng.random_ratio(1, LOST_REPLIES) {
            return;
        }
        let blank = self.cluster.replicas[i].without_slot;
        match decision {
            JoinDecision::Granted(number) if blank => {
                let restart = Duration::from_millis(self.rng.random_range(0..=MAX_RESTART_MS));
                self.cluster.replicas[i].number = number;
                self.cluster.replicas[i].granted_addresses = group;
                self.hosts[i].runs_at = Some(self.cluster.now + restart);
            }
            JoinDecision::SlotLost if self.view(i).is_some_and(rejoin::may_discard_data) => {
                self.cluster.replicas[i].raft = None;
                self.cluster.replicas[i].without_slot = true;
                self.cluster.replicas[i].disk = self.cluster.new_disk();
                self.hosts[i].known.extend(addresses);
            }
            _ => {}
        }
    }

    /// Returns the decision of the leader that the asked host is or forwards to, and the addresses
    /// of the group.
    fn decide(&mut self, from: usize, to: usize) -> (JoinDecision, BTreeMap<u64, String>) {
        let now = self.cluster.now;
        let leader = match self.raft(to) {
            Some(raft) if raft.is_leader() => Some(to),
            Some(raft) => {
                let at = raft.leader().and_then(|leader| raft.address_of(now, leader));
                at.and_then(|address| self.running_at(&address))
            }
            None => None,
        };
        let (address, failure_domain) = (address(from), failure_domain(from));
        let replica = &self.cluster.replicas[from];
        let (disk, runs_as) = (replica.disk.id.clone(), replica.raft.as_ref().map(Raft::id));
        let joining = JoiningReplica {
            address: &address,
            disk: &disk,
            failure_domain: &failure_domain,
            stands_by: self.hosts[from].stands_by,
            runs_as,
        };
        let raft = leader.and_then(|leader| self.cluster.replicas[leader].raft.as_mut());
        let Some(raft) = raft else { return (JoinDecision::Deferred, BTreeMap::new()) };
        let decision = raft.admit(now, joining);
        let group = raft.addresses(now).into_iter().map(|(id, at)| (id, at.address)).collect();
        let confirmed = raft.quorum_contact(now).age().is_some_and(|a| a < READ_CONFIRMATION_AGE);
        match decision {
            JoinDecision::SlotLost if !confirmed => (JoinDecision::Deferred, group),
            decision => (decision, group),
        }
    }
}

impl Host {
    fn new(now: Timestamp, known: Vec<String>, stands_by: bool) -> Host {
        Host {
            power: Power::Running,
            stands_by,
            known,
            requests: 0,
            next_request: now,
            timer: JoinTimer::new(now),
            started: now,
            runs_at: None,
        }
    }
}
