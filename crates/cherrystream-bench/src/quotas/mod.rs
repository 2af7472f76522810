//! Emulates daemons that share the quotas of many workspaces. Runs their decision code over a
//! simulated network that delays and loses messages.

mod tally;

use argh::FromArgs;
use cherrystream_core::quota::{
    Decision, LeaseBatch, LeaseReply, LeaseRequest, Leases, Member, Members, Policy, Tolerance, Try,
};
use cherrystream_core::units::Timestamp;
use cherrystream_core::workspaces::Quota;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tally::Tally;

const STEP_US: u64 = 2_000;
const SECOND_US: u64 = 1_000_000;
/// Timeout of the answer to a batch.
const ANSWER_TIMEOUT_US: u64 = 150_000;
const FAILURE_DOMAINS: usize = 3;
/// Network delay within a failure domain, and between two.
const DELAY_US: [u64; 2] = [1_000, 6_000];
/// Probability that a message is lost.
const LOSS_PROBABILITY: f64 = 0.001;
/// Overhead of a batch and its answer in bytes: frames, compressed headers, TCP and IP.
const FRAME_BYTES: u64 = 260;
/// Factor by which the busiest workspace's load grows after a third of the run.
const HOT_FACTOR: f64 = 7.0;
/// Ratio of a workspace's quota to its base load.
const QUOTA_PER_LOAD: f64 = 1.6;
const START_OFFSET_S: u64 = 10;

/// Emulate daemons that share quotas, under both policies.
#[derive(FromArgs)]
#[argh(subcommand, name = "quotas")]
pub struct Args {
    /// numbers of daemons
    #[argh(option)]
    size: Vec<usize>,
    /// workspaces
    #[argh(option, default = "10_000")]
    workspaces: usize,
    /// requests per second at each daemon
    #[argh(option, default = "5.0")]
    per_daemon: f64,
    /// seconds of load
    #[argh(option, default = "20")]
    seconds: u64,
    /// seed
    #[argh(option, default = "1")]
    seed: u64,
}

/// Runs the emulation.
pub fn run(args: &Args) {
    let sizes = if args.size.is_empty() { vec![52, 300, 790] } else { args.size.clone() };
    println!(
        "policy  daemons  event    ran  refused  needless  overshoot  batches/s  bytes/s  crossing"
    );
    for size in sizes {
        for event in [Event::None, Event::Cut, Event::HomeFrozen, Event::PowerLost] {
            for is_leases in [true, false] {
                let mut emulation = Emulation::new(args, size, is_leases);
                emulation.run(args, event);
                emulation.print(args, event);
            }
        }
    }
}

/// A fault injected halfway through the run. The names are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    None,
    /// One failure domain is partitioned from the others for a quarter of the run.
    Cut,
    /// A tenth of the hosts freezes for a quarter of the run.
    HomeFrozen,
    /// All daemons restart with empty state.
    PowerLost,
}

/// The load of one workspace, and the requests that ran.
struct WorkspaceLoad {
    name: Arc<str>,
    quota: Quota,
    per_second: f64,
    /// Credits in a reference token bucket that sees the requests of all daemons.
    level: f64,
    at: u64,
    /// Requests that the reference bucket admitted.
    expected: usize,
    ran: Vec<u64>,
}

impl WorkspaceLoad {
    fn arrive(&mut self, now: u64) {
        let added = self.quota.per_second * (now - self.at) as f64 / SECOND_US as f64;
        self.level = (self.level + added).min(self.quota.burst.max(1.0));
        self.at = now;
        if self.level >= 1.0 {
            self.level -= 1.0;
            self.expected += 1;
        }
    }
}

struct Daemon {
    policy: Box<dyn Policy>,
    frozen_until: u64,
    started: u64,
    waiting: Vec<usize>,
}

/// A message in transit, or the timeout of one.
enum Delivery {
    Request {
        from: usize,
        to: usize,
        sent: u64,
        number: u64,
        batch: LeaseBatch,
    },
    Answer {
        to: usize,
        allocator: usize,
        sent: u64,
        number: u64,
        batch: LeaseBatch,
        reply: Option<LeaseReply>,
    },
}

struct Emulation {
    is_leases: bool,
    now: u64,
    daemons: Vec<Daemon>,
    loads: Vec<WorkspaceLoad>,
    partitioned: Option<usize>,
    deliveries: BTreeMap<u64, Vec<Delivery>>,
    unanswered: HashSet<u64>,
    batches: u64,
    bytes: u64,
    cross_domain_bytes: u64,
    refused: u64,
    rng: SmallRng,
    quotas: HashMap<Arc<str>, Quota>,
}

fn tolerance() -> Tolerance {
    Tolerance { window: Duration::from_secs(5), over: 0.1, slack: 20.0 }
}

fn loads(args: &Args, size: usize) -> Vec<WorkspaceLoad> {
    let total = args.per_daemon * size as f64;
    let weight = |n: usize| 1.0 / (n as f64 + 1.0).powf(1.2);
    let sum: f64 = (0..args.workspaces).map(weight).sum();
    let load = |n| {
        let per_second = total * weight(n) / sum;
        let rate = per_second * QUOTA_PER_LOAD;
        let quota = Quota { per_second: rate, burst: rate.max(2.0).ceil() };
        let name = format!("workspace-{n}").into();
        WorkspaceLoad {
            name,
            quota,
            per_second,
            level: quota.burst,
            at: 0,
            expected: 0,
            ran: Vec::new(),
        }
    };
    (0..args.workspaces).map(load).collect()
}

impl Emulation {
    fn new(args: &Args, size: usize, is_leases: bool) -> Emulation {
        let loads = loads(args, size);
        let quotas = loads.iter().map(|load| (load.name.clone(), load.quota)).collect();
        let mut emulation = Emulation {
            is_leases,
            now: 0,
            daemons: Vec::new(),
            loads,
            partitioned: None,
            deliveries: BTreeMap::new(),
            unanswered: HashSet::new(),
            batches: 0,
            bytes: 0,
            cross_domain_bytes: 0,
            refused: 0,
            rng: SmallRng::seed_from_u64(args.seed),
            quotas,
        };
        emulation.start_all(size);
        emulation
    }

    fn start_all(&mut self, size: usize) {
        let all: Vec<Member> = (0..size).map(member).collect();
        self.daemons = (0..size).map(|n| self.daemon(n, &all)).collect();
    }

    fn daemon(&self, n: usize, all: &[Member]) -> Daemon {
        let members = Members::new(all[n].clone(), all.iter().cloned());
        let mut policy: Box<dyn Policy> = match self.is_leases {
            true => Box::new(Leases::new(tolerance(), members)),
            false => Box::new(Tally::new(tolerance(), members)),
        };
        policy.set_quotas(self.quotas.clone());
        Daemon { policy, frozen_until: 0, started: self.now, waiting: Vec::new() }
    }

    fn run(&mut self, args: &Args, event: Event) {
        self.now = START_OFFSET_S * SECOND_US;
        let end = self.now + args.seconds * SECOND_US;
        let (hot, start_of_fault) = (self.now + (end - self.now) / 3, (self.now + end) / 2);
        let end_of_fault = start_of_fault + (end - self.now) / 4;
        let total = args.per_daemon * self.daemons.len() as f64;
        let mut chances: Vec<f64> = Vec::new();
        for load in &self.loads {
            chances.push(chances.last().copied().unwrap_or(0.0) + load.per_second);
        }
        let (mut expected, mut expected_hot) = (0.0, 0.0);
        while self.now < end {
            self.now += STEP_US;
            if self.now == start_of_fault {
                self.inject(event, end_of_fault);
            }
            if self.now == end_of_fault {
                self.partitioned = None;
            }
            let part = STEP_US as f64 / SECOND_US as f64;
            expected += total * part * self.rng.random_range(0.0..2.0);
            while expected >= 1.0 {
                expected -= 1.0;
                let at = self.rng.random_range(0.0..total);
                let workspace = chances.partition_point(|sum| *sum < at);
                self.arrive(workspace.min(self.loads.len() - 1));
            }
            expected_hot += if self.now > hot {
                self.loads[0].per_second * (HOT_FACTOR - 1.0) * part
            } else {
                0.0
            };
            while expected_hot >= 1.0 {
                expected_hot -= 1.0;
                self.arrive(0);
            }
            self.step();
        }
    }

    fn inject(&mut self, event: Event, until: u64) {
        match event {
            Event::None => {}
            Event::Cut => self.partitioned = Some(0),
            Event::HomeFrozen => {
                self.daemons.iter_mut().step_by(10).for_each(|daemon| daemon.frozen_until = until);
            }
            Event::PowerLost => {
                self.unanswered.clear();
                self.start_all(self.daemons.len());
            }
        }
    }

    /// Sends a request to a random host; requests to frozen hosts are dropped.
    fn arrive(&mut self, workspace: usize) {
        let n = self.rng.random_range(0..self.daemons.len());
        if self.daemons[n].frozen_until <= self.now {
            self.loads[workspace].arrive(self.now);
            self.decide(n, workspace, Try::First);
        }
    }

    fn decide(&mut self, n: usize, workspace: usize, attempt: Try) {
        let load = &mut self.loads[workspace];
        let daemon = &mut self.daemons[n];
        let now = Timestamp(self.now - daemon.started);
        match daemon.policy.admit(now, &load.name, load.quota, attempt) {
            Decision::Run(_) => {
                load.ran.push(self.now);
            }
            Decision::Wait => daemon.waiting.push(workspace),
            Decision::Refuse(_) => self.refused += 1,
        }
    }

    fn step(&mut self) {
        let now = self.now;
        let due = self.deliveries.remove(&now).unwrap_or_default();
        due.into_iter().for_each(|delivery| self.deliver(delivery));
        for n in 0..self.daemons.len() {
            let has_waiting = !self.daemons[n].waiting.is_empty();
            if self.daemons[n].frozen_until > now
                || !(has_waiting || now.is_multiple_of(50 * STEP_US))
            {
                continue;
            }
            let at = Timestamp(now - self.daemons[n].started);
            for (allocator, batch) in self.daemons[n].policy.outgoing(at) {
                self.send(n, host(&allocator), batch);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, batch: LeaseBatch) {
        self.batches += 1;
        let bytes = FRAME_BYTES + batch.lines.iter().map(line_bytes).sum::<u64>();
        let is_cross_domain = from % FAILURE_DOMAINS != to % FAILURE_DOMAINS;
        self.bytes += bytes;
        self.cross_domain_bytes += if is_cross_domain { bytes } else { 0 };
        let (sent, number) = (self.now, self.batches);
        self.unanswered.insert(number);
        let copy = batch.clone();
        let late =
            Delivery::Answer { to: from, allocator: to, sent, number, batch: copy, reply: None };
        self.schedule(ANSWER_TIMEOUT_US, late);
        if !self.is_lost(from, to) {
            self.schedule(
                DELAY_US[usize::from(is_cross_domain)],
                Delivery::Request { from, to, sent, number, batch },
            );
        }
    }

    fn is_lost(&mut self, a: usize, b: usize) -> bool {
        let is_cut = self.partitioned.is_some_and(|domain| {
            (a % FAILURE_DOMAINS == domain) != (b % FAILURE_DOMAINS == domain)
        });
        is_cut || self.rng.random_bool(LOSS_PROBABILITY)
    }

    fn schedule(&mut self, delay: u64, delivery: Delivery) {
        let at = (self.now + delay).next_multiple_of(STEP_US);
        self.deliveries.entry(at).or_default().push(delivery);
    }

    fn deliver(&mut self, delivery: Delivery) {
        let to = match &delivery {
            Delivery::Request { to, .. } | Delivery::Answer { to, .. } => *to,
        };
        let wakes_at = self.daemons[to].frozen_until;
        if wakes_at > self.now {
            return self.schedule(wakes_at - self.now, delivery);
        }
        let started = self.daemons[to].started;
        let now = Timestamp(self.now - started);
        match delivery {
            Delivery::Request { from, to, sent, number, batch } => {
                let reply = Some(self.daemons[to].policy.answer(now, &batch));
                if !self.is_lost(from, to) {
                    let delay =
                        DELAY_US[usize::from(from % FAILURE_DOMAINS != to % FAILURE_DOMAINS)];
                    self.schedule(
                        delay,
                        Delivery::Answer { to: from, allocator: to, sent, number, batch, reply },
                    );
                }
            }
            Delivery::Answer { to, allocator, sent, number, batch, reply } => {
                if !self.unanswered.remove(&number) {
                    return;
                }
                let sent = Timestamp(sent.saturating_sub(started));
                let policy = &mut self.daemons[to].policy;
                policy.on_reply(now, sent, &member(allocator).host, &batch, reply.as_ref());
                for workspace in std::mem::take(&mut self.daemons[to].waiting) {
                    self.decide(to, workspace, Try::Again);
                }
            }
        }
    }

    fn print(&self, args: &Args, event: Event) {
        let per_daemon = (args.seconds * self.daemons.len() as u64) as f64;
        let overshoot = self.loads.iter().map(overshoot).fold(0.0, f64::max);
        let needless: usize =
            self.loads.iter().map(|load| load.expected.saturating_sub(load.ran.len())).sum();
        let ran: usize = self.loads.iter().map(|load| load.ran.len()).sum();
        println!(
            "{:6}  {:7}  {event:10?}  {ran}  {}  {}  {overshoot:.2}  {:.2}  {:.0}  {:.0}",
            if self.is_leases { "leases" } else { "tally" },
            self.daemons.len(),
            self.refused,
            needless,
            self.batches as f64 / per_daemon,
            self.bytes as f64 / per_daemon,
            self.cross_domain_bytes as f64 / per_daemon,
        );
    }
}

/// Returns the largest excess over the quota within a window, as a share of the allowed excess.
fn overshoot(load: &WorkspaceLoad) -> f64 {
    let window = tolerance().window;
    let ends =
        |n: usize| load.ran.partition_point(|at| *at < load.ran[n] + window.as_micros() as u64);
    let most = (0..load.ran.len()).map(|n| ends(n) - n).max().unwrap_or(0) as f64;
    let quota = load.quota.per_second * window.as_secs_f64() + load.quota.burst;
    (most - quota) / tolerance().max_excess(load.quota)
}

fn member(n: usize) -> Member {
    let domain = format!("domain-{}", n % FAILURE_DOMAINS).into();
    Member { host: format!("host-{n}").into(), domain }
}

fn host(name: &str) -> usize {
    name.strip_prefix("host-").and_then(|n| n.parse().ok()).unwrap_or_default()
}

/// Returns the size in bytes of a line and its answer.
fn line_bytes(line: &LeaseRequest) -> u64 {
    let numbers = [line.quota.milli_per_s, line.quota.burst_milli, 1, 1, 1, 1, 1, 1];
    let bytes = |n: &u64| u64::from((64 - n.leading_zeros()).div_ceil(7));
    line.workspace.len() as u64 + 1 + numbers.iter().map(bytes).sum::<u64>()
}
