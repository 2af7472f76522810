//! Requests, settings and decisions of admission control.

use crate::cold_rate_limit::ColdLimits;
use crate::reasons::Reason;
use crate::units::Timestamp;
use std::time::Duration;

/// Identifies a request at admission control.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Settings of admission control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Requests that the backend server serves concurrently.
    pub slots: u32,
    /// Capacity of the queue.
    pub queue: u32,
    /// Duration of the slow start, over which a starting backend server gets its full slots.
    pub ramp: Duration,
    /// Share of the slots that is used: some backend servers slow down when nearly full.
    pub share: f64,
    /// Limits while the backend server is cold; `None` where cold starts don't matter.
    pub cold: Option<ColdLimits>,
}

impl Default for Options {
    fn default() -> Self {
        Options { slots: 1, queue: 1, ramp: Duration::ZERO, share: 1.0, cold: None }
    }
}

/// Priority of a request, compared field by field in their order; the greater goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether it is a nested call, whose parent is wasted without it.
    pub nested: bool,
    /// Whether its answer can still be in time.
    pub in_time: bool,
    /// Weight in load shedding; the lowest is shed first.
    pub weight: u32,
}

/// A request to be admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Whether it is a nested call.
    pub nested: bool,
    /// Weight in load shedding; the lowest is shed first.
    pub weight: u32,
    /// Time until which the request may wait.
    pub deadline: Timestamp,
    /// Whether the request can go to other backend servers: it is admitted only if it is served
    /// well here.
    pub selective: bool,
    /// Time until which an answer is useful, if it has a limit.
    pub good_until: Option<Timestamp>,
    /// Typical service time of such a request, if there are enough samples.
    pub typical_time: Option<Duration>,
}

impl Arrival {
    /// Returns the rank at time `now`. A request without `good_until` is treated as one that can be
    /// in time.
    pub fn rank(&self, now: Timestamp) -> Rank {
        let typical_time = self.typical_time.unwrap_or_default();
        let in_time = self.good_until.is_none_or(|until| now + typical_time < until);
        Rank { nested: self.nested, in_time, weight: self.weight }
    }
}

/// Decision on a new request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// The request is sent to the backend server now.
    Run(Ticket),
    /// The request is queued; an [`Action`] follows.
    Wait(Ticket),
    /// The request is not run.
    Refuse(Refusal),
}

/// Refusal of a request that is not run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: Reason,
    /// Time after which a retry may succeed.
    pub retry_after: Duration,
}

impl Refusal {
    /// Returns the refusal of a request that leaves the last slot to other workspaces. Its retry
    /// delay is zero: other requests of the kind may be admitted at once.
    pub fn yielded_slot() -> Refusal {
        Refusal { reason: Reason::BusyNow, retry_after: Duration::ZERO }
    }

    /// Returns whether a free slot was left to other workspaces.
    pub fn yields_slot(&self) -> bool {
        *self == Refusal::yielded_slot()
    }
}

/// Outcome of a queued request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// The request is sent to the backend server now.
    Start(Ticket),
    /// The request is not run.
    Refuse(Ticket, Refusal),
}
