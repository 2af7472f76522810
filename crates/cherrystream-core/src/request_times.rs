//! Time limits by which an outbound decides about a request.

use crate::units::Timestamp;
use std::time::Duration;

/// Divisor of the target latency that gives the longest time in a queue: a request refused after it
/// can still be answered in time elsewhere.
const QUEUE_WAIT_DIVISOR: u32 = 5;
/// Body length at which leaving the own failure domain costs one `crossing_cost`.
const CROSSING_BYTES: f64 = 16.0 * 1024.0;
/// Shortest worthwhile stay in the own failure domain: most slow periods of backend servers last
/// longer than a shorter one.
const MIN_OWN_DOMAIN_TIME: Duration = Duration::from_millis(200);
/// Largest share of the remaining target latency that a request stays in its own failure domain;
/// the rest is left to be in time elsewhere.
const MAX_OWN_DOMAIN_SHARE: f64 = 0.5;
/// Share of the target latency after which a hedged attempt may start.
const HEDGE_AFTER_SHARE: f64 = 0.55;

/// Wait of a request that has no time left to wait; too short for a queued request to start.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Returns the time until which a request may wait for admission. A request without time to wait
/// still gets a free slot; if there is none, it is refused as for a full queue and may go to
/// another backend server.
pub fn wait_deadline(now: Timestamp, deadline: Timestamp, wait: Duration) -> Timestamp {
    deadline.min(now + wait.max(MIN_WAIT))
}

/// Properties of a request from which its time limits follow.
#[derive(Clone, Copy, Debug)]
pub struct TimeInputs {
    /// Arrival time.
    pub now: Timestamp,
    /// Target latency.
    pub target: Duration,
    /// Time since the caller first sent it.
    pub elapsed: Duration,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Length of the body.
    pub body_bytes: usize,
    /// Cost of leaving the own failure domain, as waiting time.
    pub crossing_cost: Duration,
}

/// Time limits of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTimes {
    /// Time until which an answer is useful.
    pub good_until: Timestamp,
    /// Time until which it may wait for a slot.
    pub queue_until: Timestamp,
    /// Time until which it stays in its own failure domain, if its body is long.
    pub own_domain_until: Option<Timestamp>,
    /// Delay after which a hedged attempt may start.
    pub hedge_after: Option<Duration>,
}

impl RequestTimes {
    /// Derives the time limits.
    pub fn new(inputs: TimeInputs) -> RequestTimes {
        let TimeInputs { now, target, elapsed, repeatable, body_bytes, crossing_cost } = inputs;
        let useful_for = target.saturating_sub(elapsed);
        let max_own_domain = crossing_cost.mul_f64(body_bytes as f64 / CROSSING_BYTES);
        let own_domain = (max_own_domain >= MIN_OWN_DOMAIN_TIME)
            .then(|| max_own_domain.min(useful_for.mul_f64(MAX_OWN_DOMAIN_SHARE)));
        RequestTimes {
            good_until: now + useful_for,
            queue_until: now + target / QUEUE_WAIT_DIVISOR,
            own_domain_until: own_domain.map(|time| now + time),
            hedge_after: repeatable.then(|| target.mul_f64(HEDGE_AFTER_SHARE)),
        }
    }

    /// Returns whether the request stays in its own failure domain at time `now`.
    pub fn stays_in_own_domain(&self, now: Timestamp) -> bool {
        self.own_domain_until.is_some_and(|until| now < until)
    }
}
