//! Request deadlines. They are sent as the remaining time, which each hop reduces.
//!
//! Within a process a deadline is a point in time: a remaining time that is read before other work
//! would extend the request by the duration of that work.

use crate::units::Timestamp;
use std::time::Duration;

/// A deadline on the clock of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(Timestamp);

impl Deadline {
    /// Returns the earlier of the deadline of the caller and that of the kind of request.
    pub fn new(now: Timestamp, caller: Option<Duration>, kind: Duration) -> Self {
        Deadline(now + caller.map_or(kind, |d| d.min(kind)))
    }

    /// Returns the remaining time, or `None` when the deadline has passed.
    pub fn remaining(self, now: Timestamp) -> Option<Duration> {
        let left = self.0.since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns the deadline as a point in time.
    pub const fn at(self) -> Timestamp {
        self.0
    }
}
