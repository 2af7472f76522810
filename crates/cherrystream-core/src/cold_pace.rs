//! How many requests a cold backend server is given: evenly spaced, and never more than its bound in any second.

use crate::units::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Length of the window in which sends are counted: a second, and what two sends may come closer together on
/// the way than they left.
const WINDOW: Duration = Duration::from_millis(1_050);

/// Pace that waits are reckoned with at least, in requests a second.
const PACE_AT_LEAST: f64 = 0.01;

/// What a cold backend server takes, as operators state it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimits {
    /// Requests that it works off in a second.
    pub per_second: f64,
    /// Requests that it is given in a second, evenly spaced.
    pub paced_per_second: f64,
    /// Requests that it is given in any one second at most, however they come.
    pub at_most: usize,
    /// Requests that may be given at once.
    pub burst: f64,
}

/// Requests of the slack that are left unused, for what comes closer together on the way.
const SPARE: f64 = 1.0;

impl ColdLimits {
    /// Works the limits out: `over` is the part of `per_second` that may be given in a second, and `slack` how many
    /// requests beyond that.
    pub fn new(per_second: f64, over: f64, slack: f64) -> ColdLimits {
        let bound = (per_second * over + slack - SPARE).max(1.0);
        ColdLimits {
            per_second,
            paced_per_second: per_second * over,
            at_most: bound as usize,
            burst: (slack / 2.0).max(1.0),
        }
    }
}

/// Counts what a backend server is sent. It counts while the server is warm as well, for it may become cold at any
/// time.
#[derive(Debug, Default)]
pub struct ColdPace {
    sent: VecDeque<Timestamp>,
    saved: f64,
    saved_at: Timestamp,
}

impl ColdPace {
    /// Notes a send.
    pub fn on_sent(&mut self, now: Timestamp) {
        self.forget(now);
        self.sent.push_back(now);
    }

    /// Notes that a request is let in.
    pub fn on_let_in(&mut self) {
        self.saved = (self.saved - 1.0).max(0.0);
    }

    /// Returns whether one more request may go; `under_way` were let in and are not sent yet.
    pub fn has_room(&mut self, now: Timestamp, limits: &ColdLimits, under_way: usize) -> bool {
        self.forget(now);
        self.save(now, limits);
        self.saved >= 1.0 && self.sent.len() + under_way < limits.at_most
    }

    /// Returns the time until a request has its turn that `ahead` others go before.
    pub fn wait(&mut self, now: Timestamp, limits: &ColdLimits, ahead: usize) -> Duration {
        self.save(now, limits);
        let missing = ((ahead + 1) as f64 - self.saved).max(0.0);
        Duration::from_secs_f64(missing / limits.paced_per_second.max(PACE_AT_LEAST))
    }

    fn save(&mut self, now: Timestamp, limits: &ColdLimits) {
        let passed = now.since(self.saved_at).as_secs_f64();
        self.saved = (self.saved + passed * limits.paced_per_second).min(limits.burst);
        self.saved_at = now;
    }

    fn forget(&mut self, now: Timestamp) {
        while self.sent.front().is_some_and(|at| now.since(*at) > WINDOW) {
            self.sent.pop_front();
        }
    }
}
