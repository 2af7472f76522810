//! Simulation of daemons that share quotas, on a network with delays, losses and partitions.

use cherrystream_core::quota::{
    Decision, LeaseBatch, LeaseReply, Member, Members, Policy, Tolerance, Try,
};
use cherrystream_core::units::Timestamp;
use cherrystream_core::workspaces::Quota;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Simulated time per step, in microseconds.
pub const STEP_US: u64 = 5_000;
/// Time limit for the reply to a batch, in microseconds.
const REPLY_TIMEOUT_US: u64 = 150_000;
/// Interval at which a daemon decides again on waiting requests, in microseconds.
const RETRY_INTERVAL_US: u64 = 100_000;
pub const DOMAINS: usize = 3;

pub type Make = fn(Tolerance, Members) -> Box<dyn Policy>;

/// Refusal of a request; times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    pub at: u64,
    pub retry_at: u64,
    pub out_of_reach: bool,
}

struct Daemon {
    policy: Box<dyn Policy>,
    frozen_until: u64,
    /// Microseconds by which its clock is behind the simulated time.
    clock_lag: u64,
    clock_paused_until: u64,
    /// Requests to decide on.
    undecided: VecDeque<Try>,
    waiting: usize,
    partitioned_until: u64,
}

enum Message {
    Request {
        from: usize,
        to: usize,
        sent: Timestamp,
        number: u64,
        batch: LeaseBatch,
    },
    Reply {
        from: usize,
        to: usize,
        sent: Timestamp,
        number: u64,
        batch: LeaseBatch,
        reply: LeaseReply,
    },
    TimedOut {
        to: usize,
        allocator: usize,
        sent: Timestamp,
        number: u64,
        batch: LeaseBatch,
    },
}

pub struct World {
    pub now: u64,
    pub quota: Quota,
    pub tolerance: Tolerance,
    pub ran: Vec<u64>,
    pub refused: Vec<Refusal>,
    pub batches: u64,
    pub delay_us: u64,
    daemons: Vec<Daemon>,
    /// Messages in flight with their time of arrival.
    messages: Vec<(u64, Message)>,
    /// Numbers of batches without a reply.
    pending: Vec<u64>,
    next_number: u64,
    make: Make,
}

pub fn tolerance() -> Tolerance {
    Tolerance { window: Duration::from_secs(5), over: 0.1, slack: 20.0 }
}

fn name(n: usize) -> Arc<str> {
    format!("host-{n}").into()
}

fn workspace() -> Arc<str> {
    "acme".into()
}

impl World {
    pub fn new(count: usize, quota: Quota, make: Make) -> World {
        let mut world = World {
            now: 0,
            quota,
            tolerance: tolerance(),
            ran: Vec::new(),
            refused: Vec::new(),
            batches: 0,
            delay_us: 1_000,
            daemons: Vec::new(),
            messages: Vec::new(),
            pending: Vec::new(),
            next_number: 0,
            make,
        };
        world.daemons = (0..count).map(|n| world.daemon(n, count)).collect();
        world
    }

    fn daemon(&self, n: usize, count: usize) -> Daemon {
        let member = |n| Member { host: name(n), domain: format!("domain-{}", n % DOMAINS).into() };
        let members = Members::new(member(n), (0..count).map(member));
        let mut policy = (self.make)(self.tolerance, members);
        policy.set_quotas([(workspace(), self.quota)].into());
        let (undecided, clock_lag) = (VecDeque::new(), self.now);
        Daemon {
            policy,
            frozen_until: 0,
            clock_lag,
            clock_paused_until: 0,
            undecided,
            waiting: 0,
            partitioned_until: 0,
        }
    }

    pub fn count(&self) -> usize {
        self.daemons.len()
    }

    /// Returns the number of requests without a decision.
    pub fn undecided(&self) -> usize {
        self.daemons.iter().map(|daemon| daemon.undecided.len() + daemon.waiting).sum()
    }

    pub fn request(&mut self, n: usize) {
        self.daemons[n].undecided.push_back(Try::First);
    }

    pub fn freeze(&mut self, n: usize, for_us: u64) {
        self.daemons[n].frozen_until = self.now + for_us;
    }

    pub fn pause_clock(&mut self, n: usize, for_us: u64) {
        self.daemons[n].clock_paused_until = self.now + for_us;
    }

    /// Partitions a daemon from all others.
    pub fn partition(&mut self, n: usize, for_us: u64) {
        self.daemons[n].partitioned_until = self.now + for_us;
    }

    /// Restarts a daemon without its state.
    pub fn restart(&mut self, n: usize) {
        self.daemons[n] = self.daemon(n, self.count());
    }

    pub fn set_quota(&mut self, n: usize, quota: Quota) {
        self.daemons[n].policy.set_quotas([(workspace(), quota)].into());
    }

    pub fn step(&mut self) {
        self.now += STEP_US;
        for daemon in &mut self.daemons {
            if daemon.clock_paused_until > self.now {
                daemon.clock_lag += STEP_US;
            }
        }
        let now = self.now;
        let due = self.messages.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>();
        for (_, message) in due {
            self.deliver(message);
        }
        for n in 0..self.count() {
            if now.is_multiple_of(RETRY_INTERVAL_US) && self.is_awake(n) {
                self.retry_waiting(n);
            }
            self.decide(n);
        }
    }

    fn clock(&self, n: usize) -> Timestamp {
        Timestamp(self.now - self.daemons[n].clock_lag)
    }

    fn is_awake(&self, n: usize) -> bool {
        self.daemons[n].frozen_until <= self.now
    }

    fn is_connected(&self, a: usize, b: usize) -> bool {
        self.daemons[a].partitioned_until <= self.now
            && self.daemons[b].partitioned_until <= self.now
    }

    fn deliver(&mut self, message: Message) {
        let to = match &message {
            Message::Request { to, .. }
            | Message::Reply { to, .. }
            | Message::TimedOut { to, .. } => *to,
        };
        if !self.is_awake(to) {
            let awake = self.daemons[to].frozen_until;
            return self.messages.push((awake, message));
        }
        let now = self.clock(to);
        match message {
            Message::Request { from, to, sent, number, batch } => {
                let reply = self.daemons[to].policy.answer(now, &batch);
                if self.is_connected(from, to) {
                    let message = Message::Reply { from: to, to: from, sent, number, batch, reply };
                    self.messages.push((self.now + self.delay_us, message));
                }
            }
            Message::Reply { from, to, sent, number, batch, reply } => {
                if self.complete(number) {
                    let policy = &mut self.daemons[to].policy;
                    policy.on_reply(now, sent, &name(from), &batch, Some(&reply));
                    self.retry_waiting(to);
                }
            }
            Message::TimedOut { to, allocator, sent, number, batch } => {
                if self.complete(number) {
                    let policy = &mut self.daemons[to].policy;
                    policy.on_reply(now, sent, &name(allocator), &batch, None);
                    self.retry_waiting(to);
                }
            }
        }
    }

    /// Returns whether a batch was still without a reply.
    fn complete(&mut self, number: u64) -> bool {
        let before = self.pending.len();
        self.pending.retain(|pending| *pending != number);
        self.pending.len() < before
    }

    fn retry_waiting(&mut self, n: usize) {
        let daemon = &mut self.daemons[n];
        for _ in 0..std::mem::take(&mut daemon.waiting) {
            daemon.undecided.push_front(Try::Again);
        }
    }

    fn decide(&mut self, n: usize) {
        if !self.is_awake(n) {
            return;
        }
        let now = self.clock(n);
        let daemon = &mut self.daemons[n];
        while let Some(turn) = daemon.undecided.pop_front() {
            match daemon.policy.admit(now, &workspace(), self.quota, turn) {
                Decision::Run(_) => self.ran.push(self.now),
                Decision::Wait => daemon.waiting += 1,
                Decision::Refuse(over) => self.refused.push(Refusal {
                    at: self.now,
                    retry_at: self.now + over.retry_after.as_micros() as u64,
                    out_of_reach: over.out_of_reach,
                }),
            }
        }
        for (allocator, batch) in daemon.policy.outgoing(now) {
            self.batches += 1;
            let to = allocator.strip_prefix("host-").unwrap().parse().unwrap();
            self.next_number += 1;
            let number = self.next_number;
            self.pending.push(number);
            let copy = batch.clone();
            let timed_out =
                Message::TimedOut { to: n, allocator: to, sent: now, number, batch: copy };
            self.messages.push((self.now + REPLY_TIMEOUT_US, timed_out));
            if self.is_connected(n, to) {
                let request = Message::Request { from: n, to, sent: now, number, batch };
                self.messages.push((self.now + self.delay_us, request));
            }
        }
    }

    /// Returns the highest number of requests that ran within a window.
    pub fn most_in_a_window(&self) -> usize {
        let window = self.tolerance.window.as_micros() as u64;
        let within = |n: usize| {
            let end = self.ran[n] + window;
            self.ran.partition_point(|at| *at < end) - n
        };
        (0..self.ran.len()).map(within).max().unwrap_or(0)
    }

    /// Returns the number of requests allowed within a window.
    pub fn allowed(&self) -> f64 {
        let window = self.tolerance.window.as_secs_f64();
        self.quota.per_second * window + self.quota.burst + self.tolerance.max_excess(self.quota)
    }
}
