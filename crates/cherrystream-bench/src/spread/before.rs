//! Distribution of the whole update as plain JSON in one call. A call that times out is retried at
//! the next replica.
//!
//! The answers in flight share a replica's link evenly. Daemons don't fetch updates from peers.

use super::{Outcome, Site, TIME_LIMIT, network};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Time that a heartbeat waits for a change; the change comes at a random moment of it.
const HEARTBEAT_WAIT: Duration = Duration::from_millis(400);
/// Time step of the emulation.
const STEP: Duration = Duration::from_millis(1);
/// Seed of the times that heartbeats have waited.
const SEED: u64 = 1;

/// A daemon's current attempt to receive the update.
struct Attempt {
    replica: usize,
    started: f64,
    received: f64,
    applied: bool,
}

/// Emulates an answer of `bytes` bytes to every host.
pub fn emulate(site: &Site, bytes: usize) -> Outcome {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut first_attempt = |host| Attempt {
        replica: site.replica(host),
        started: -rng.random_range(0.0..HEARTBEAT_WAIT.as_secs_f64()),
        received: 0.0,
        applied: false,
    };
    let mut attempts: Vec<Attempt> = (0..site.hosts).map(&mut first_attempt).collect();
    let mut outcome = Outcome::default();
    let (mut now, step) = (0.0, STEP.as_secs_f64());
    while now < TIME_LIMIT.as_secs_f64() && outcome.applied_s.len() < site.hosts {
        let active = active(site, &attempts, now);
        for (host, attempt) in attempts.iter_mut().enumerate() {
            if attempt.applied || attempt.started > now {
                continue;
            }
            let share = network::REPLICA_BYTES_PER_SECOND / active[attempt.replica].max(1) as f64;
            let sent = (site.rate(host).min(share) * step).min(bytes as f64 - attempt.received);
            attempt.received += sent;
            outcome.replica_bytes += sent;
            let crosses_domains = attempt.replica != site.domain(host);
            outcome.cross_domain_bytes += if crosses_domains { sent } else { 0.0 };
            let latency = network::latency(crosses_domains).as_secs_f64();
            if attempt.received >= bytes as f64 {
                attempt.applied = true;
                outcome.applied_s.push(now + step + latency);
            } else if now + latency - attempt.started >= CALL_TIMEOUT.as_secs_f64() {
                outcome.timeouts += 1;
                attempt.replica = (attempt.replica + 1) % site.replicas;
                attempt.started = now + RETRY_PAUSE.as_secs_f64();
                attempt.received = 0.0;
            }
        }
        now += step;
    }
    outcome
}

/// Returns the number of answers that each replica is sending.
fn active(site: &Site, attempts: &[Attempt], now: f64) -> Vec<usize> {
    let mut active = vec![0; site.replicas];
    for attempt in attempts.iter().filter(|t| !t.applied && t.started <= now) {
        active[attempt.replica] += 1;
    }
    active
}
