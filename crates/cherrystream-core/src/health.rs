//! Rate limit of probes of a backend server, and its state derived from health checks.

use crate::units::Timestamp;
use cherrystream_schema::messages::ServerState;
use std::collections::VecDeque;
use std::time::Duration;

/// Sliding window of the budget.
const WINDOW: Duration = Duration::from_secs(1);
/// Consecutive failed checks after which a backend server is down.
const FAILURES_TO_DOWN: u32 = 2;

/// Allows at most a fixed number of probes in any second.
#[derive(Debug)]
pub struct ProbeBudget {
    per_second: u32,
    sent: VecDeque<Timestamp>,
}

impl ProbeBudget {
    /// Creates a budget of `per_second` probes.
    pub fn new(per_second: u32) -> ProbeBudget {
        ProbeBudget { per_second, sent: VecDeque::new() }
    }

    /// Replaces the number of probes per second.
    pub fn set(&mut self, per_second: u32) {
        self.per_second = per_second;
    }

    /// Takes one probe from the budget; returns whether there was one.
    pub fn try_spend(&mut self, now: Timestamp) -> bool {
        while self.sent.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            self.sent.pop_front();
        }
        let can = self.sent.len() < self.per_second as usize;
        if can {
            self.sent.push_back(now);
        }
        can
    }

    /// Returns the interval that distributes probes evenly over a second.
    pub fn interval(&self) -> Duration {
        WINDOW / self.per_second.max(1)
    }
}

/// Result of one health check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Check {
    /// The backend server reported its state.
    Reported(ServerState),
    /// The check timed out, or its response was invalid.
    Failed,
}

/// State of a backend server derived from its health checks.
#[derive(Debug)]
pub struct Health {
    state: ServerState,
    failures: u32,
}

impl Default for Health {
    fn default() -> Self {
        Health { state: ServerState::Live, failures: 0 }
    }
}

impl Health {
    /// Records the result of a check and returns the state.
    pub fn on_check(&mut self, check: Check) -> ServerState {
        match check {
            Check::Reported(state) => {
                self.failures = 0;
                self.state = state;
            }
            Check::Failed => {
                self.failures += 1;
                if self.failures >= FAILURES_TO_DOWN {
                    self.state = ServerState::Down;
                }
            }
        }
        self.state
    }
}
