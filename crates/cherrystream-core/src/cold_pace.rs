//! How many requests a cold backend server is given: never more than its bound in any second.
//!
//! A door counts what it sent, and gives the server as much as it may have as soon as requests come. Against an even pace
//! that was worth 0.02 of a day with a loss of power (median of six pairs of plays; -0.003 to +0.065). A process that has just
//! started cannot count what the one before it sent, so it sends nothing to a cold backend server until its count is
//! whole, unless that server is known to have got nothing before. That gives 0.012 of it back, and keeps the bound.

use crate::units::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Length of the window in which sends are counted: a second, and what two sends may come closer together on
/// the way than they left.
const WINDOW: Duration = Duration::from_millis(1_050);
/// Requests of the bound that are left unused, for what comes closer together on the way.
const SPARE: f64 = 1.0;

/// What a cold backend server takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdLimits {
    /// Requests that it is given in any one second at most.
    at_most: usize,
}

impl ColdLimits {
    /// Works the limits out of operators' figures: `per_second` is what it works off, `over` how many times that it may get
    /// in a second, and `slack` how many requests beyond that.
    pub fn new(per_second: f64, over: f64, slack: f64) -> ColdLimits {
        let at_most = per_second * over + slack - SPARE;
        // One that takes nothing would be waited for without an end.
        ColdLimits { at_most: (at_most as usize).max(1) }
    }
}

/// Counts what a backend server is sent. It counts while the server is warm as well, for it may become cold at any
/// time.
#[derive(Debug, Default)]
pub struct ColdPace {
    sent: VecDeque<Timestamp>,
    /// Whether the backend server got nothing before this process knew it.
    is_new: bool,
}

impl ColdPace {
    /// Notes that the backend server got nothing before this process knew it.
    pub fn on_new(&mut self) {
        self.is_new = true;
    }

    /// Notes a send.
    pub fn on_sent(&mut self, now: Timestamp) {
        self.forget(now);
        self.sent.push_back(now);
    }

    /// Returns whether one more request may go; `under_way` were let in and are not sent yet.
    pub fn has_room(&mut self, now: Timestamp, limits: &ColdLimits, under_way: usize) -> bool {
        self.wait(now, limits, under_way).is_zero()
    }

    /// Returns the time until a request has its turn that `ahead` others go before.
    pub fn wait(&mut self, now: Timestamp, limits: &ColdLimits, ahead: usize) -> Duration {
        self.forget(now);
        let whole = self.until_whole(now);
        if !whole.is_zero() {
            return whole;
        }
        let missing = (self.sent.len() + ahead + 1).saturating_sub(limits.at_most);
        let Some(behind) = missing.checked_sub(1) else { return Duration::ZERO };
        // What is sent leaves the window in its order, and whatever takes its place leaves it a window later.
        let rounds = (behind / limits.at_most) as u32;
        let leaves = self.sent.get(behind % limits.at_most).copied().unwrap_or(now);
        (leaves + WINDOW * (rounds + 1)).since(now)
    }

    /// Returns the time until all that was sent in the window is counted. The clock begins with the process.
    fn until_whole(&self, now: Timestamp) -> Duration {
        let age = now.since(Timestamp::default());
        if self.is_new { Duration::ZERO } else { WINDOW.saturating_sub(age) }
    }

    fn forget(&mut self, now: Timestamp) {
        while self.sent.front().is_some_and(|at| now.since(*at) > WINDOW) {
            self.sent.pop_front();
        }
    }
}
