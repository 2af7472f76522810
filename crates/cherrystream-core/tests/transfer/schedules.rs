//! Random schedules of a leader and a follower over a slow link that loses calls and stalls.

use cherrystream_core::raft::{self, Options, Raft};
use cherrystream_core::transfer::Outbox;
use cherrystream_core::units::Timestamp;
use cherrystream_schema::messages::{Command, RaftMessage};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Number of random schedules.
const SEEDS: u64 = 150;
/// Time of one step.
const STEP: Duration = Duration::from_millis(10);
/// Bytes of a transfer that the link carries in one step.
const BYTES_PER_STEP: usize = 3_400;
/// Number of steps in which entries are proposed.
const BUSY_STEPS: u32 = 1_000;
/// Number of steps after which all entries must have arrived.
const STEPS: u32 = 6_000;
/// Largest size of a table in bytes.
const MAX_TABLE_BYTES: usize = 300_000;

/// A call or transfer in flight.
struct InFlight<T> {
    content: T,
    until: Timestamp,
}

/// One direction of the link.
#[derive(Default)]
struct Direction {
    outbox: Outbox,
    call: Option<InFlight<Vec<RaftMessage>>>,
    transfer: Option<InFlight<RaftMessage>>,
}

impl Direction {
    /// Simulates one step, and appends the messages that arrive.
    fn step(&mut self, now: Timestamp, rng: &mut SmallRng, arrived: &mut Vec<RaftMessage>) {
        if let Some(call) = self.call.take_if(|call| now >= call.until) {
            let answered = rng.random_bool(0.98);
            self.outbox.finish_short(answered);
            if answered {
                arrived.extend(call.content);
            }
        }
        if self.call.is_none() {
            let content = self.outbox.take_short();
            let until = now + Duration::from_millis(rng.random_range(1..80));
            self.call = (!content.is_empty()).then_some(InFlight { content, until });
        }
        self.step_transfer(now, rng, arrived);
    }

    fn step_transfer(
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
                // The transfer resumes when the link is back.
                transfer.until = transfer.until + Duration::from_millis(300);
            }
        } else if let Some(content) = self.outbox.take_long() {
            let steps = raft::message_bytes(&content) / BYTES_PER_STEP + 1;
            self.transfer = Some(InFlight { content, until: now + STEP * steps as u32 });
        }
        if let Some(mut transfer) = self.transfer.take_if(|transfer| now >= transfer.until) {
            transfer.content.term = self.outbox.term();
            arrived.push(transfer.content);
            self.outbox.finish_long(now, true);
        }
    }
}

struct Pair {
    replicas: [Raft; 2],
    /// Directions of the link, by sending replica.
    directions: [Direction; 2],
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
            directions: Default::default(),
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
                    self.directions[i].outbox.push(self.now, msg);
                }
                raft.saved(self.now);
            }
        }
        for i in 0..2 {
            let mut arrived = Vec::new();
            self.directions[i].step(self.now, &mut self.rng, &mut arrived);
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
            let packed = "x".repeat(self.rng.random_range(1..MAX_TABLE_BYTES));
            self.replicas[leader].propose(Command::ReplaceRoutes { packed, number: 1 }).unwrap();
        }
    }
}

fn run(seed: u64) {
    let mut pair = Pair::new(seed);
    while pair.leader().is_none() {
        pair.step();
        assert!(pair.now < Timestamp::from_millis(60_000), "seed {seed}: no leader");
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
fn all_proposed_entries_arrive_and_the_leader_stays() {
    for seed in 0..SEEDS {
        run(seed);
    }
}
