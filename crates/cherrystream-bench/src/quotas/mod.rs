//! Emulates daemons that share the quotas of many workspaces: their decision code, over a network that delays and loses.

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
/// Longest wait for an answer to a batch.
const ANSWER_US: u64 = 150_000;
const DOMAINS: usize = 3;
/// Delay within a failure domain, and between two.
const DELAY_US: [u64; 2] = [1_000, 6_000];
/// Share of batches that are lost.
const LOST: f64 = 0.001;
/// Bytes of a batch and its answer beside their lines: frames, compressed heads, TCP and IP.
const FRAME_BYTES: u64 = 260;
/// Times its usual load that the busiest workspace sends from the first third on.
const HOT: f64 = 7.0;
/// Quota of a workspace as a multiple of its usual load.
const QUOTA_SHARE: f64 = 1.6;
const START_S: u64 = 10;

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
    /// requests a second at each daemon
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
                let mut world = World::new(args, size, is_leases);
                world.play(args, event);
                world.print(args, event);
            }
        }
    }
}

/// What befalls the daemons halfway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    None,
    /// A failure domain is cut off from the others, for a quarter of the time.
    Cut,
    /// A tenth of the hosts freezes for as long.
    HomeFrozen,
    /// All start again.
    PowerLost,
}

struct Load {
    name: Arc<str>,
    quota: Quota,
    per_second: f64,
    /// What a token bucket at one place would hold, which all requests went through.
    level: f64,
    at: u64,
    /// Requests that it would have let run.
    owed: usize,
    ran: Vec<u64>,
}

impl Load {
    fn arrive(&mut self, now: u64) {
        let added = self.quota.per_second * (now - self.at) as f64 / SECOND_US as f64;
        self.level = (self.level + added).min(self.quota.burst.max(1.0));
        self.at = now;
        if self.level >= 1.0 {
            self.level -= 1.0;
            self.owed += 1;
        }
    }
}

struct Daemon {
    policy: Box<dyn Policy>,
    frozen_until: u64,
    began: u64,
    waiting: Vec<usize>,
}

enum Post {
    Asked {
        from: usize,
        to: usize,
        sent: u64,
        number: u64,
        batch: LeaseBatch,
    },
    Answered {
        to: usize,
        home: usize,
        sent: u64,
        number: u64,
        batch: LeaseBatch,
        reply: Option<LeaseReply>,
    },
}

struct World {
    is_leases: bool,
    now: u64,
    daemons: Vec<Daemon>,
    loads: Vec<Load>,
    cut: Option<usize>,
    post: BTreeMap<u64, Vec<Post>>,
    open: HashSet<u64>,
    batches: u64,
    bytes: u64,
    crossing: u64,
    refused: u64,
    rng: SmallRng,
    quotas: HashMap<Arc<str>, Quota>,
}

fn tolerance() -> Tolerance {
    Tolerance { window: Duration::from_secs(5), over: 0.1, slack: 20.0 }
}

fn loads(args: &Args, size: usize) -> Vec<Load> {
    let total = args.per_daemon * size as f64;
    let weight = |n: usize| 1.0 / (n as f64 + 1.0).powf(1.2);
    let sum: f64 = (0..args.workspaces).map(weight).sum();
    let load = |n| {
        let per_second = total * weight(n) / sum;
        let rate = per_second * QUOTA_SHARE;
        let quota = Quota { per_second: rate, burst: rate.max(2.0).ceil() };
        let name = format!("workspace-{n}").into();
        Load { name, quota, per_second, level: quota.burst, at: 0, owed: 0, ran: Vec::new() }
    };
    (0..args.workspaces).map(load).collect()
}

impl World {
    fn new(args: &Args, size: usize, is_leases: bool) -> World {
        let loads = loads(args, size);
        let quotas = loads.iter().map(|load| (load.name.clone(), load.quota)).collect();
        let mut world = World {
            is_leases,
            now: 0,
            daemons: Vec::new(),
            loads,
            cut: None,
            post: BTreeMap::new(),
            open: HashSet::new(),
            batches: 0,
            bytes: 0,
            crossing: 0,
            refused: 0,
            rng: SmallRng::seed_from_u64(args.seed),
            quotas,
        };
        world.start_all(size);
        world
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
        Daemon { policy, frozen_until: 0, began: self.now, waiting: Vec::new() }
    }

    fn play(&mut self, args: &Args, event: Event) {
        self.now = START_S * SECOND_US;
        let end = self.now + args.seconds * SECOND_US;
        let (hot, half) = (self.now + (end - self.now) / 3, (self.now + end) / 2);
        let over = half + (end - self.now) / 4;
        let total = args.per_daemon * self.daemons.len() as f64;
        let mut chances: Vec<f64> = Vec::new();
        for load in &self.loads {
            chances.push(chances.last().copied().unwrap_or(0.0) + load.per_second);
        }
        let (mut owed, mut owed_hot) = (0.0, 0.0);
        while self.now < end {
            self.now += STEP_US;
            if self.now == half {
                self.befall(event, over);
            }
            if self.now == over {
                self.cut = None;
            }
            let part = STEP_US as f64 / SECOND_US as f64;
            owed += total * part * self.rng.random_range(0.0..2.0);
            while owed >= 1.0 {
                owed -= 1.0;
                let at = self.rng.random_range(0.0..total);
                let workspace = chances.partition_point(|sum| *sum < at);
                self.arrive(workspace.min(self.loads.len() - 1));
            }
            owed_hot +=
                if self.now > hot { self.loads[0].per_second * (HOT - 1.0) * part } else { 0.0 };
            while owed_hot >= 1.0 {
                owed_hot -= 1.0;
                self.arrive(0);
            }
            self.step();
        }
    }

    fn befall(&mut self, event: Event, until: u64) {
        match event {
            Event::None => {}
            Event::Cut => self.cut = Some(0),
            Event::HomeFrozen => {
                self.daemons.iter_mut().step_by(10).for_each(|daemon| daemon.frozen_until = until);
            }
            Event::PowerLost => {
                self.open.clear();
                self.start_all(self.daemons.len());
            }
        }
    }

    /// A request comes at a host that is awake: callers go elsewhere otherwise.
    fn arrive(&mut self, workspace: usize) {
        let n = self.rng.random_range(0..self.daemons.len());
        if self.daemons[n].frozen_until <= self.now {
            self.loads[workspace].arrive(self.now);
            self.decide(n, workspace, Try::First);
        }
    }

    fn decide(&mut self, n: usize, workspace: usize, turn: Try) {
        let load = &mut self.loads[workspace];
        let daemon = &mut self.daemons[n];
        let now = Timestamp(self.now - daemon.began);
        match daemon.policy.admit(now, &load.name, load.quota, turn) {
            Decision::Run(_) => {
                load.ran.push(self.now);
            }
            Decision::Wait => daemon.waiting.push(workspace),
            Decision::Refuse(_) => self.refused += 1,
        }
    }

    fn step(&mut self) {
        let now = self.now;
        let due = self.post.remove(&now).unwrap_or_default();
        due.into_iter().for_each(|post| self.deliver(post));
        for n in 0..self.daemons.len() {
            let has_asked = !self.daemons[n].waiting.is_empty();
            if self.daemons[n].frozen_until > now
                || !(has_asked || now.is_multiple_of(50 * STEP_US))
            {
                continue;
            }
            let at = Timestamp(now - self.daemons[n].began);
            for (home, batch) in self.daemons[n].policy.outgoing(at) {
                self.send(n, host(&home), batch);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, batch: LeaseBatch) {
        self.batches += 1;
        let bytes = FRAME_BYTES + batch.lines.iter().map(line_bytes).sum::<u64>();
        let crosses = from % DOMAINS != to % DOMAINS;
        self.bytes += bytes;
        self.crossing += if crosses { bytes } else { 0 };
        let (sent, number) = (self.now, self.batches);
        self.open.insert(number);
        let copy = batch.clone();
        let late = Post::Answered { to: from, home: to, sent, number, batch: copy, reply: None };
        self.put(ANSWER_US, late);
        if !self.is_lost(from, to) {
            self.put(DELAY_US[usize::from(crosses)], Post::Asked { from, to, sent, number, batch });
        }
    }

    fn is_lost(&mut self, a: usize, b: usize) -> bool {
        let cut = self.cut.is_some_and(|domain| (a % DOMAINS == domain) != (b % DOMAINS == domain));
        cut || self.rng.random_bool(LOST)
    }

    fn put(&mut self, delay: u64, post: Post) {
        let at = (self.now + delay).next_multiple_of(STEP_US);
        self.post.entry(at).or_default().push(post);
    }

    fn deliver(&mut self, post: Post) {
        let to = match &post {
            Post::Asked { to, .. } | Post::Answered { to, .. } => *to,
        };
        let wakes = self.daemons[to].frozen_until;
        if wakes > self.now {
            return self.put(wakes - self.now, post);
        }
        let began = self.daemons[to].began;
        let now = Timestamp(self.now - began);
        match post {
            Post::Asked { from, to, sent, number, batch } => {
                let reply = Some(self.daemons[to].policy.answer(now, &batch));
                if !self.is_lost(from, to) {
                    let delay = DELAY_US[usize::from(from % DOMAINS != to % DOMAINS)];
                    self.put(
                        delay,
                        Post::Answered { to: from, home: to, sent, number, batch, reply },
                    );
                }
            }
            Post::Answered { to, home, sent, number, batch, reply } => {
                if !self.open.remove(&number) {
                    return;
                }
                let sent = Timestamp(sent.saturating_sub(began));
                let policy = &mut self.daemons[to].policy;
                policy.on_reply(now, sent, &member(home).host, &batch, reply.as_ref());
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
            self.loads.iter().map(|load| load.owed.saturating_sub(load.ran.len())).sum();
        let ran: usize = self.loads.iter().map(|load| load.ran.len()).sum();
        println!(
            "{:6}  {:7}  {event:10?}  {ran}  {}  {}  {overshoot:.2}  {:.2}  {:.0}  {:.0}",
            if self.is_leases { "leases" } else { "tally" },
            self.daemons.len(),
            self.refused,
            needless,
            self.batches as f64 / per_daemon,
            self.bytes as f64 / per_daemon,
            self.crossing as f64 / per_daemon,
        );
    }
}

/// Returns the most that ran within a window beyond the quota, as a share of the room that is allowed.
fn overshoot(load: &Load) -> f64 {
    let window = tolerance().window;
    let ends =
        |n: usize| load.ran.partition_point(|at| *at < load.ran[n] + window.as_micros() as u64);
    let most = (0..load.ran.len()).map(|n| ends(n) - n).max().unwrap_or(0) as f64;
    let quota = load.quota.per_second * window.as_secs_f64() + load.quota.burst;
    (most - quota) / tolerance().max_excess(load.quota)
}

fn member(n: usize) -> Member {
    let domain = format!("domain-{}", n % DOMAINS).into();
    Member { host: format!("host-{n}").into(), domain }
}

fn host(name: &str) -> usize {
    name.strip_prefix("host-").and_then(|n| n.parse().ok()).unwrap_or_default()
}

/// Returns the bytes of a line with the word that answers it.
fn line_bytes(line: &LeaseRequest) -> u64 {
    let numbers = [line.quota.milli_per_s, line.quota.burst_milli, 1, 1, 1, 1, 1, 1];
    let bytes = |n: &u64| u64::from((64 - n.leading_zeros()).div_ceil(7));
    line.workspace.len() as u64 + 1 + numbers.iter().map(bytes).sum::<u64>()
}
