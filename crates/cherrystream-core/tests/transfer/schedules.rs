//! A leader and a follower over a thin link that loses calls and breaks: whatever is proposed arrives,
//! and the leader stays.

use cherrystream_core::raft::{self, Options, Raft};
use cherrystream_core::transfer::Outbox;
use cherrystream_core::units::Timestamp;
use cherrystream_schema::messages::{Command, RaftMessage};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Random schedules.
const SEEDS: u64 = 150;
/// Time that passes at once.
const STEP: Duration = Duration::from_millis(10);
/// Bytes of a transfer that pass in one step: 340 KB a second.
const BYTES_IN_STEP: usize = 3_400;
/// Steps in which entries are proposed.
const BUSY_STEPS: u32 = 1_000;
/// Steps until everything has arrived.
const STEPS: u32 = 6_000;
/// Longest table in bytes.
const TABLE_BYTES: usize = 300_000;

/// A call or transfer on its way.
struct OnWay<T> {
    what: T,
    until: Timestamp,
}

/// One way of the link.
#[derive(Default)]
struct Way {
    outbox: Outbox,
    call: Option<OnWay<Vec<RaftMessage>>>,
    transfer: Option<OnWay<RaftMessage>>,
}

impl Way {
    /// Lets a step pass; returns what arrives.
    fn pass(&mut self, now: Timestamp, rng: &mut SmallRng, arrived: &mut Vec<RaftMessage>) {
        if let Some(call) = self.call.take_if(|call| now >= call.until) {
            let answered = rng.random_bool(0.98);
            self.outbox.finish_short(answered);
            if answered {
                arrived.extend(call.what);
            }
        }
        if self.call.is_none() {
            let what = self.outbox.take_short();
            let until = now + Duration::from_millis(rng.random_range(1..80));
            self.call = (!what.is_empty()).then_some(OnWay { what, until });
        }
        self.pass_transfer(now, rng, arrived);
    }

    fn pass_transfer(
        &mut self,
        now: Timestamp,
        rng: &mut SmallRng,
        arrived: &mut Vec<RaftMessage>,
    ) {
        if self.outbox.is_abandoned() {
            self.transfer = None;
            self.outbox.finish_long(now, false);
        }
        if let Some(transfer) = &mut self.transfer {
            if rng.random_bool(0.01) {
                // It goes on where it stood once the link is back.
                transfer.until = transfer.until + Duration::from_millis(300);
            }
        } else if let Some(what) = self.outbox.take_long() {
            let steps = raft::message_bytes(&what) / BYTES_IN_STEP + 1;
            self.transfer = Some(OnWay { what, until: now + STEP * steps as u32 });
        }
        if let Some(mut transfer) = self.transfer.take_if(|transfer| now >= transfer.until) {
            transfer.what.term = self.outbox.term();
            arrived.push(transfer.what);
            self.outbox.finish_long(now, true);
        }
    }
}

struct Pair {
    replicas: [Raft; 2],
    /// Ways from each replica to the other.
    ways: [Way; 2],
    now: Timestamp,
    rng: SmallRng,
}

impl Pair {
    fn new(seed: u64) -> Pair {
        let replica = |id: u64| {
            let opts = Options {
                id,
                disk: format!("disk-{id}"),
                replicas: vec![1, 2],
                seed: seed * 2 + id,
                ..Options::default()
            };
            Raft::new(opts, raft::Restored::default(), Timestamp::default())
        };
        Pair {
            replicas: [replica(1), replica(2)],
            ways: Default::default(),
            now: Timestamp::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for i in 0..2 {
            let raft = &mut self.replicas[i];
            raft.tick(self.now);
            raft.flush(self.now);
            raft.flush_reads(self.now);
            loop {
                let ready = raft.take_ready();
                if ready.is_empty() {
                    break;
                }
                for msg in ready.immediate_messages.into_iter().chain(ready.messages_after_save) {
                    self.ways[i].outbox.push(self.now, msg);
                }
                raft.saved(self.now);
            }
        }
        for i in 0..2 {
            let mut arrived = Vec::new();
            self.ways[i].pass(self.now, &mut self.rng, &mut arrived);
            for msg in arrived {
                self.replicas[1 - i].step(self.now, msg);
            }
        }
    }

    fn leader(&self) -> Option<usize> {
        self.replicas.iter().position(Raft::is_leader)
    }

    fn propose(&mut self, leader: usize) {
        let small = self.rng.random_range(0..40);
        for _ in 0..small {
            self.replicas[leader].propose(Command::Noop { by: 1 }).unwrap();
        }
        if self.rng.random_bool(0.01) {
            let packed = "x".repeat(self.rng.random_range(1..TABLE_BYTES));
            self.replicas[leader].propose(Command::ReplaceRoutes { packed, number: 1 }).unwrap();
        }
    }
}

fn run(seed: u64) {
    let mut pair = Pair::new(seed);
    while pair.leader().is_none() {
        pair.step();
        assert!(pair.now < Timestamp::from_millis(60_000), "seed {seed}: nobody leads");
    }
    let leader = pair.leader().unwrap();
    let term = pair.replicas[leader].term();
    for step in 0..STEPS {
        if step < BUSY_STEPS && pair.rng.random_bool(0.1) {
            pair.propose(leader);
        }
        pair.step();
        assert_eq!(pair.leader(), Some(leader), "seed {seed}, step {step}");
    }
    assert_eq!(pair.replicas[leader].term(), term, "seed {seed}");
    let last = pair.replicas[leader].log().last();
    assert_eq!(pair.replicas[leader].commit(), last.index, "seed {seed}");
    assert_eq!(pair.replicas[1 - leader].log().last(), last, "seed {seed}");
}

#[test]
fn whatever_is_proposed_arrives_and_the_leader_stays() {
    for seed in 0..SEEDS {
        run(seed);
    }
}
