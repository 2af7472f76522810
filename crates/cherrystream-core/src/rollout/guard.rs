//! Local limits of an inbound for a canary, independent of the leader of control.

use crate::units::Timestamp;
use std::time::Duration;

/// Failures in a row that open the circuit breaker. A good version reaches it by chance once in
/// millions of responses.
const MAX_FAILURES: u32 = 5;
/// Successful responses that offset one failure.
const SUCCESSES_PER_FAILURE: u32 = 3;
/// Time for which the circuit breaker stays open. Covers the time in which control decides.
const OPEN_TIME: Duration = Duration::from_secs(2);

/// Circuit breaker of a canary backend server. Opens when most responses fail, also while control
/// has no leader. Control sees the responses of all backend servers, but half a second later.
#[derive(Clone, Copy, Debug, Default)]
pub struct CircuitBreaker {
    /// Failures not yet offset, in units of one successful response.
    debt: u32,
    open_until: Option<Timestamp>,
}

impl CircuitBreaker {
    /// Records a response.
    pub fn on_answer(&mut self, now: Timestamp, failed: bool) {
        self.debt = match failed {
            true => self.debt + SUCCESSES_PER_FAILURE,
            false => self.debt.saturating_sub(1),
        };
        if self.debt >= MAX_FAILURES * SUCCESSES_PER_FAILURE {
            self.open_until = Some(now + OPEN_TIME);
            // Keeps part of the debt, so that two further failures open the breaker again.
            self.debt -= 2 * SUCCESSES_PER_FAILURE;
        }
    }

    /// Returns whether requests are refused.
    pub fn is_open(&self, now: Timestamp) -> bool {
        self.open_until.is_some_and(|until| now < until)
    }
}

/// Lease granted by control that allows a canary to get requests. Without it, a regression of the
/// canary could go undetected, so the inbound refuses requests to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct CanaryLease(Option<Timestamp>);

impl CanaryLease {
    /// Extends the lease until a time.
    pub fn extend(&mut self, until: Timestamp) {
        self.0 = self.0.max(Some(until));
    }

    /// Returns whether the lease is valid.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        self.0.is_some_and(|until| now < until)
    }
}
