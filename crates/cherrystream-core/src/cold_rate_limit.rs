//! Rate limit of a cold backend server: at most a fixed number of requests in any second.
//!
//! Sent requests are counted in a sliding window, and a burst up to the limit is allowed. A process
//! that has just started cannot count what its predecessor sent, so it sends nothing to a cold
//! backend server until a whole window has passed, unless the instance is known to be new.

use crate::units::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Length of the sliding window: a second, and how much closer together two requests may arrive
/// than they were sent.
const WINDOW: Duration = Duration::from_millis(1_050);
/// Requests of the limit that are left unused, for those that arrive closer together.
const SPARE_REQUESTS: f64 = 1.0;

/// Limits of a cold backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdLimits {
    /// Largest number of requests in a window.
    max_per_window: usize,
}

impl ColdLimits {
    /// Derives the limits from the settings: `per_second` is the rate that the server processes,
    /// `over` how many times that rate it may get in a second, `slack` how many requests in
    /// addition.
    pub fn new(per_second: f64, over: f64, slack: f64) -> ColdLimits {
        let max_per_window = per_second * over + slack - SPARE_REQUESTS;
        // With a limit of zero, requests would wait forever.
        ColdLimits { max_per_window: (max_per_window as usize).max(1) }
    }
}

/// Counts requests sent to a backend server. It counts while the server is warm as well, as that
/// may become cold at any time.
#[derive(Debug, Default)]
pub struct ColdRateLimit {
    sent: VecDeque<Timestamp>,
    /// Whether the instance is new: no earlier process sent requests to it.
    is_new: bool,
}

impl ColdRateLimit {
    /// Records that the instance is new.
    pub fn on_new(&mut self) {
        self.is_new = true;
    }

    /// Records that a request is sent.
    pub fn on_sent(&mut self, now: Timestamp) {
        self.expire(now);
        self.sent.push_back(now);
    }

    /// Returns whether one more request may be sent; `unsent` ones were admitted and are not sent
    /// yet.
    pub fn allows(&mut self, now: Timestamp, limits: &ColdLimits, unsent: usize) -> bool {
        self.wait(now, limits, unsent).is_zero()
    }

    /// Returns the time until a request may be sent that `ahead` others precede.
    pub fn wait(&mut self, now: Timestamp, limits: &ColdLimits, ahead: usize) -> Duration {
        self.expire(now);
        let until_known = self.until_window_known(now);
        if !until_known.is_zero() {
            return until_known;
        }
        let excess = (self.sent.len() + ahead + 1).saturating_sub(limits.max_per_window);
        let Some(index) = excess.checked_sub(1) else { return Duration::ZERO };
        // Requests leave the window in order, and those that replace them leave one window later.
        let rounds = (index / limits.max_per_window) as u32;
        let leaves = self.sent.get(index % limits.max_per_window).copied().unwrap_or(now);
        (leaves + WINDOW * (rounds + 1)).since(now)
    }

    /// Returns the time until the window covers only this process, whose clock starts at zero.
    fn until_window_known(&self, now: Timestamp) -> Duration {
        let age = now.since(Timestamp::default());
        if self.is_new { Duration::ZERO } else { WINDOW.saturating_sub(age) }
    }

    fn expire(&mut self, now: Timestamp) {
        while self.sent.front().is_some_and(|at| now.since(*at) > WINDOW) {
            self.sent.pop_front();
        }
    }
}
