//! Random schedules of bootstrap and joining: replicas start in any order, others are on standby,
//! and join requests are late, duplicated, lost and forwarded. `RAFT_SEEDS=N` runs N schedules.

use super::raft_cluster::{Cluster, address, failure_domain};
use arbtest::arbitrary::{Result as ArbResult, Unstructured};
use cherrystream_core::raft::rejoin::{self, JoinTimer, PlaceView};
use cherrystream_core::raft::{JoinDecision, JoiningReplica, Raft};
use cherrystream_core::units::Timestamp;

/// Steps of one schedule.
const STEPS: usize = 700;
/// Member slots, and the replicas that bootstrap the group.
const SLOTS: usize = 5;
const BOOTSTRAP_REPLICAS: usize = 3;
/// Maximum number of fault-free rounds of 50 ms until the group is bootstrapped and its slots are
/// filled.
const MAX_SETTLE_ROUNDS: usize = 800;
/// Maximum number of times a join request is forwarded.
const MAX_FORWARDS: u8 = 3;

/// A join request in flight.
#[derive(Clone)]
struct Request {
    from: usize,
    to: usize,
    /// Process that sent the request; replies to earlier processes are ignored.
    process: u64,
    disk: String,
    runs_as: Option<u64>,
    forwards: u8,
}

#[derive(Clone, Copy)]
struct Reply {
    to: usize,
    process: u64,
    decision: JoinDecision,
}

struct Hosts {
    cluster: Cluster,
    /// Request schedule of each process, with the number of the process.
    timers: Vec<(JoinTimer, u64)>,
    requests: Vec<Request>,
    replies: Vec<Reply>,
    processes: u64,
    /// Requests sent so far.
    requests_sent: usize,
}

impl Hosts {
    fn new(hosts: usize) -> Hosts {
        let cluster = Cluster::of_hosts(SLOTS, BOOTSTRAP_REPLICAS, hosts);
        let timers = (0..hosts).map(|_| (JoinTimer::new(Timestamp::default()), 0)).collect();
        let (requests, replies) = (Vec::new(), Vec::new());
        Hosts { cluster, timers, requests, replies, processes: 0, requests_sent: 0 }
    }

    fn start(&mut self, i: usize) {
        self.processes += 1;
        self.timers[i] = (JoinTimer::new(self.cluster.now), self.processes);
        self.cluster.start(i);
    }

    fn view(&self, i: usize) -> Option<PlaceView> {
        let raft = self.cluster.replicas[i].raft.as_ref()?;
        let (leads, votes) = (raft.is_leader(), raft.is_voter());
        Some(PlaceView { leads, votes, word: raft.quorum_contact(self.cluster.now) })
    }

    /// Advances the timers of a process.
    fn tick(&mut self, i: usize, to: usize) {
        let now = self.cluster.now;
        if let Some(raft) = &mut self.cluster.replicas[i].raft {
            raft.tick(now);
        }
        self.cluster.process_ready(i, None);
        let view = self.view(i);
        let without_slot = self.cluster.replicas[i].without_slot;
        let due = view.is_some_and(|view| self.timers[i].0.is_due(now, view));
        if due || without_slot {
            let runs_as = (!without_slot).then_some(self.cluster.replicas[i].number);
            let disk = self.cluster.replicas[i].disk.id.clone();
            let process = self.timers[i].1;
            self.requests_sent += 1;
            self.requests.push(Request { from: i, to, process, disk, runs_as, forwards: 0 });
        }
    }

    /// Delivers a request to a process, which replies if it is the leader and forwards it
    /// otherwise.
    fn handle_request(&mut self, request: Request) {
        let now = self.cluster.now;
        let leader = {
            let Some(raft) = &mut self.cluster.replicas[request.to].raft else { return };
            let address = address(request.from);
            if raft.is_leader() {
                let joining = JoiningReplica {
                    address: &address,
                    disk: &request.disk,
                    failure_domain: &failure_domain(request.from),
                    stands_by: true,
                    runs_as: request.runs_as,
                };
                let decision = raft.admit(now, joining);
                let Request { from: to, process, .. } = request;
                self.replies.push(Reply { to, process, decision });
                return;
            }
            raft.leader()
        };
        let runs_as = |number: u64| self.cluster.replicas.iter().position(|r| r.number == number);
        let Some(to) = leader.and_then(runs_as) else { return };
        if request.forwards < MAX_FORWARDS {
            self.requests.push(Request { to, forwards: request.forwards + 1, ..request });
        }
    }

    fn handle_reply(&mut self, reply: Reply) {
        let i = reply.to;
        if self.timers[i].1 != reply.process {
            return;
        }
        let without_slot = self.cluster.replicas[i].without_slot;
        match reply.decision {
            JoinDecision::Granted(number) if without_slot => {
                self.cluster.replicas[i].number = number;
                self.cluster.replicas[i].without_slot = false;
                self.start(i);
            }
            JoinDecision::SlotLost if self.view(i).is_some_and(rejoin::may_discard_data) => {
                self.discard_log(i)
            }
            _ => {}
        }
    }

    /// Discards the log of a process, which then asks for another slot.
    fn discard_log(&mut self, i: usize) {
        let replica = &self.cluster.replicas[i];
        let (number, disk) = (replica.number.to_string(), &replica.disk.id);
        assert!(!replica.raft.as_ref().is_some_and(Raft::is_leader), "a leader discards its log");
        let rafts = self.cluster.replicas.iter().filter_map(|r| r.raft.as_ref());
        let newest = rafts.max_by_key(|raft| raft.commit()).and_then(Raft::members);
        let voting = newest.and_then(|members| members.disks.get(&number));
        assert_ne!(voting, Some(disk), "replica {number} discards a voting disk");
        self.cluster.replicas[i].raft = None;
        self.cluster.replicas[i].without_slot = true;
        self.cluster.replicas[i].disk = self.cluster.new_disk();
        self.processes += 1;
        self.timers[i].1 = self.processes;
    }

    fn step(&mut self, u: &mut Unstructured) -> ArbResult<()> {
        let i = u.choose_index(self.cluster.replicas.len())?;
        let lost = u.ratio(1, 16)?;
        let keep = u.ratio(1, 12)?;
        match u.int_in_range(0..=99)? {
            0..=44 if !self.cluster.in_flight.is_empty() => {
                let at = u.choose_index(self.cluster.in_flight.len())?;
                match lost {
                    true => drop(self.cluster.in_flight.swap_remove(at)),
                    false => self.cluster.deliver(at, keep),
                }
            }
            45..=59 if !self.requests.is_empty() => {
                let at = u.choose_index(self.requests.len())?;
                let request = match keep {
                    true => self.requests[at].clone(),
                    false => self.requests.swap_remove(at),
                };
                if !lost {
                    self.handle_request(request);
                }
            }
            60..=71 if !self.replies.is_empty() => {
                let at = u.choose_index(self.replies.len())?;
                let reply = if keep { self.replies[at] } else { self.replies.swap_remove(at) };
                self.handle_reply(reply);
            }
            72..=75 => {
                // The process stops; its disk stays.
                self.cluster.replicas[i].raft = None;
            }
            76..=83 if self.cluster.replicas[i].raft.is_none() => self.start(i),
            84..=86 => {
                self.cluster.propose(i);
                self.cluster.process_ready(i, None);
            }
            _ => {
                let passed = u.int_in_range(1_000..=400_000)?;
                self.cluster.now = Timestamp(self.cluster.now.0 + passed);
                for i in 0..self.cluster.replicas.len() {
                    // Hosts do not advance at the same speed.
                    if u.ratio(3, 4)? {
                        let to = u.choose_index(self.cluster.replicas.len())?;
                        self.tick(i, to);
                    }
                }
            }
        }
        self.drop_old_messages();
        self.cluster.check();
        Ok(())
    }

    /// Drops the oldest messages.
    fn drop_old_messages(&mut self) {
        let keep = |len: usize| len.saturating_sub(100);
        self.cluster.in_flight.drain(..keep(self.cluster.in_flight.len()));
        self.requests.drain(..keep(self.requests.len()));
        self.replies.drain(..keep(self.replies.len()));
    }

    fn fault_free_round(&mut self) {
        let hosts = self.cluster.replicas.len();
        for i in 0..hosts {
            if self.cluster.replicas[i].raft.is_none() {
                self.start(i);
            }
        }
        self.cluster.run_fault_free();
        for i in 0..hosts {
            // Asks another host each time, as a process does.
            self.tick(i, (i + self.requests_sent) % hosts);
        }
        while let Some(request) = self.requests.pop() {
            self.handle_request(request);
        }
        while let Some(reply) = self.replies.pop() {
            self.handle_reply(reply);
        }
    }

    fn is_settled(&self) -> bool {
        let rafts = self.cluster.replicas.iter().filter_map(|r| r.raft.as_ref());
        let leaders = rafts.clone().filter(|raft| raft.is_leader()).count();
        let voters = rafts.filter(|raft| raft.is_voter()).count();
        leaders == 1 && voters == SLOTS.min(self.cluster.replicas.len())
    }

    fn settle(&mut self) {
        let settles = (0..MAX_SETTLE_ROUNDS).any(|_| {
            self.fault_free_round();
            self.is_settled()
        });
        assert!(settles, "the group is not bootstrapped, or its slots are not filled");
        let before = self.cluster.committed.len();
        for _ in 0..80 {
            self.fault_free_round();
            for i in 0..self.cluster.replicas.len() {
                self.cluster.propose(i);
                self.cluster.process_ready(i, None);
            }
        }
        assert!(self.cluster.committed.len() > before, "the group accepts no entries");
    }
}

#[test]
fn a_group_bootstraps_and_fills_its_slots_in_any_order_of_starts() {
    for seed in 0..super::seeds() {
        arbtest::arbtest(|u| {
            let mut hosts = Hosts::new(u.int_in_range(BOOTSTRAP_REPLICAS..=SLOTS + 4)?);
            for _ in 0..STEPS {
                if u.is_empty() {
                    break;
                }
                hosts.step(u)?;
            }
            hosts.settle();
            Ok(())
        })
        .seed((u64::from(seed) << 32) | 0x4000)
        .size_min(0x2000)
        .size_max(0x4000)
        .run();
    }
}
