//! Time limits by which an outbound decides about a request.

use crate::units::Timestamp;
use std::time::Duration;

/// Divisor of the target latency that gives the longest time in a queue: a request refused after it
/// can still be answered in time elsewhere.
const QUEUE_WAIT_DIVISOR: u32 = 5;
/// Body length at which the crossing cost between failure domains counts once.
const CROSSING_BYTES: f64 = 16.0 * 1024.0;
/// Shortest worthwhile stay in the own failure domain: most slow periods of backend servers last
/// longer than a shorter one.
const MIN_NEARBY_TIME: Duration = Duration::from_millis(200);
/// Largest share of the remaining target latency that a request stays in its own failure domain;
/// the rest is left to be in time elsewhere.
const MAX_NEARBY_SHARE: f64 = 0.5;
/// Share of the target latency after which a hedged attempt may start.
const HEDGE_AFTER_SHARE: f64 = 0.55;

/// Wait of a request that has no time left to wait; too short for a queued request to start.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Returns the time until which a request may wait for admission. A request without time to wait
/// still gets a free slot; if there is none, it is refused as for a full queue and may go to
/// another backend server.
pub fn waits_until(now: Timestamp, deadline: Timestamp, wait: Duration) -> Timestamp {
    deadline.min(now + wait.max(MIN_WAIT))
}

/// Properties of a request from which its time limits follow.
#[derive(Clone, Copy, Debug)]
pub struct Given {
    /// Arrival time.
    pub now: Timestamp,
    /// Target latency.
    pub target: Duration,
    /// Time since the caller first sent it.
    pub asked_before: Duration,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Length of the body.
    pub body_bytes: usize,
    /// Cost of leaving the own failure domain, as waiting time.
    pub crossing_cost: Duration,
}

/// Time limits of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTimes {
    /// Time until which an answer is useful.
    pub good_until: Timestamp,
    /// Time until which it may wait for a slot.
    pub patience: Timestamp,
    /// Time until which it stays in its own failure domain, if its body is long.
    pub nearby_until: Option<Timestamp>,
    /// Delay after which a hedged attempt may start.
    pub hedge_after: Option<Duration>,
}

impl CallTimes {
    /// Derives the time limits.
    pub fn new(given: Given) -> CallTimes {
        let Given { now, target, asked_before, repeatable, body_bytes, crossing_cost } = given;
        let useful_for = target.saturating_sub(asked_before);
        let max_nearby = crossing_cost.mul_f64(body_bytes as f64 / CROSSING_BYTES);
        let nearby = (max_nearby >= MIN_NEARBY_TIME)
            .then(|| max_nearby.min(useful_for.mul_f64(MAX_NEARBY_SHARE)));
        CallTimes {
            good_until: now + useful_for,
            patience: now + target / QUEUE_WAIT_DIVISOR,
            nearby_until: nearby.map(|time| now + time),
            hedge_after: repeatable.then(|| target.mul_f64(HEDGE_AFTER_SHARE)),
        }
    }

    /// Returns whether the request stays in its own failure domain at time `now`.
    pub fn stays_nearby(&self, now: Timestamp) -> bool {
        self.nearby_until.is_some_and(|until| now < until)
    }
}
