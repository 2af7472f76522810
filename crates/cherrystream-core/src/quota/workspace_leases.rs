//! Leases of one workspace at one daemon, and the last answers of its allocators.

use super::{LeaseRequest, OverQuota, QuotaMilli};
use crate::units::Timestamp;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Validity of granted credits: long enough for a daemon with a few requests per second to use
/// them, short enough that few lie unused.
pub(super) const LEASE_VALIDITY: Duration = Duration::from_millis(500);
/// Window over which the request rate is measured.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Validity of a reported deficit: other daemons may have taken a burst since.
const DEFICIT_VALIDITY: Duration = Duration::from_millis(250);

/// Recent request rate of a workspace.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    window_start: Timestamp,
    count: u32,
    per_second: f64,
}

impl Demand {
    /// Counts a request.
    pub(super) fn record(&mut self, now: Timestamp) {
        let elapsed = now.since(self.window_start);
        if elapsed >= DEMAND_WINDOW {
            self.per_second = f64::from(self.count) / elapsed.as_secs_f64();
            (self.window_start, self.count) = (now, 0);
        }
        self.count += 1;
    }

    /// Returns the number of requests expected within the validity of a lease.
    pub(super) fn within_lease(&self, now: Timestamp) -> u32 {
        let elapsed = now.since(self.window_start);
        let seen = f64::from(self.count);
        // Without requests for a whole window, the previous rate is outdated.
        let per_second = match elapsed >= DEMAND_WINDOW {
            true => seen / elapsed.as_secs_f64(),
            false => self.per_second.max(seen),
        };
        (per_second * LEASE_VALIDITY.as_secs_f64()) as u32
    }
}

/// Time for which an allocator is not asked.
#[derive(Clone, Copy, Debug)]
pub(super) struct Backoff {
    pub(super) until: Timestamp,
    /// Time of the answer, or of the timeout.
    pub(super) received_at: Timestamp,
    /// Whether it did not answer, or is not an allocator of the workspace.
    pub(super) unavailable: bool,
}

/// Credits missing from a full bucket, as last reported by an allocator.
#[derive(Clone, Copy, Debug)]
pub(super) struct Deficit {
    pub(super) credits: u32,
    pub(super) received_at: Timestamp,
}

struct Lease {
    allocator: Arc<str>,
    credits: u32,
    expires_at: Timestamp,
}

/// Leases of one workspace at one daemon, and the state of its allocators.
#[derive(Default)]
pub(super) struct WorkspaceLeases {
    /// Quota at the last request.
    pub(super) quota: Option<QuotaMilli>,
    /// Allocators of the workspace, nearest first; cleared when they have to be determined again.
    pub(super) allocators: Vec<Arc<str>>,
    pub(super) deficits: HashMap<Arc<str>, Deficit>,
    /// Refill rate of each allocator, in credits per second.
    pub(super) allocator_per_second: f64,
    /// Deficit up to which the nearest allocator is asked first.
    pub(super) max_deficit: f64,
    /// Whether this daemon may run requests while allocators are unreachable.
    pub(super) may_run_isolated: bool,
    pub(super) demand: Demand,
    /// Earliest time of the next request for nothing but expected demand.
    pub(super) prefetch_from: Timestamp,
    /// Requests waiting for credits.
    pub(super) waiting: u32,
    /// Whether a batch with a request for credits is in flight.
    pub(super) in_flight: bool,
    pub(super) backoffs: HashMap<Arc<str>, Backoff>,
    /// Unused credits to return, by allocator.
    pub(super) unused: HashMap<Arc<str>, u32>,
    /// Time of the last request that ran without a lease.
    pub(super) ran_isolated_at: Option<Timestamp>,
    pub(super) last_request: Timestamp,
    leases: Vec<Lease>,
}

impl WorkspaceLeases {
    /// Returns a line for an allocator, with the unused credits to return to it.
    pub(super) fn line(
        &mut self,
        now: Timestamp,
        workspace: &Arc<str>,
        allocator: &Arc<str>,
    ) -> Option<LeaseRequest> {
        let unused = self.unused.remove(allocator).unwrap_or_default();
        Some(LeaseRequest {
            workspace: workspace.clone(),
            quota: self.quota?,
            requests: 0,
            prefetch: 0,
            deficit_considered: self.allocators.len() < 2 || self.is_deficit_known(now, allocator),
            unused,
        })
    }

    /// Returns the number of credits held.
    pub(super) fn credits(&self) -> u32 {
        self.leases.iter().map(|lease| lease.credits).sum()
    }

    /// Takes a credit; returns the allocator that granted it.
    pub(super) fn take(&mut self, now: Timestamp) -> Option<Arc<str>> {
        self.expire(now);
        let lease = self.leases.first_mut()?;
        lease.credits -= 1;
        let allocator = lease.allocator.clone();
        self.leases.retain(|lease| lease.credits > 0);
        Some(allocator)
    }

    /// Adds a lease that was requested at `sent`.
    pub(super) fn add(&mut self, allocator: &Arc<str>, credits: u32, sent: Timestamp) {
        let expires_at = sent + LEASE_VALIDITY;
        self.leases.push(Lease { allocator: allocator.clone(), credits, expires_at });
    }

    /// Removes expired leases and records their unused credits.
    pub(super) fn expire(&mut self, now: Timestamp) {
        for lease in self.leases.extract_if(.., |lease| lease.expires_at <= now) {
            *self.unused.entry(lease.allocator).or_default() += lease.credits;
        }
    }

    /// Returns the next allocator to ask: the nearest, or the one with the lowest deficit if that
    /// of the nearest is too high.
    pub(super) fn next_allocator(&self, now: Timestamp) -> Option<&Arc<str>> {
        let may_grant =
            |allocator: &&Arc<str>| self.backoffs.get(*allocator).is_none_or(|b| b.until <= now);
        let nearest = self.allocators.first().filter(may_grant);
        let is_within_max =
            |allocator: &&Arc<str>| self.deficit(now, allocator) <= self.max_deficit;
        nearest.filter(is_within_max).or_else(|| {
            let available = self.allocators.iter().filter(may_grant);
            available.min_by(|a, b| self.deficit(now, a).total_cmp(&self.deficit(now, b)))
        })
    }

    /// Returns whether the allocator reported its deficit recently.
    fn is_deficit_known(&self, now: Timestamp, allocator: &str) -> bool {
        self.deficits.get(allocator).is_some_and(|d| now.since(d.received_at) <= DEFICIT_VALIDITY)
    }

    /// Estimates the deficit of an allocator, in credits.
    fn deficit(&self, now: Timestamp, allocator: &str) -> f64 {
        let Some(reported) = self.deficits.get(allocator) else { return 0.0 };
        let age = now.since(reported.received_at).as_secs_f64();
        (f64::from(reported.credits) - age * self.allocator_per_second).max(0.0)
    }

    /// Returns whether some allocator is unavailable.
    pub(super) fn is_out_of_reach(&self, now: Timestamp) -> bool {
        self.allocators.is_empty() || self.backoffs.values().any(|b| b.unavailable && b.until > now)
    }

    /// Describes a refusal.
    pub(super) fn over(&self, now: Timestamp) -> OverQuota {
        // Prefers allocators that answered: the others promise no credit.
        let backoffs = self.backoffs.values().filter(|b| b.until > now);
        let first = backoffs.min_by_key(|b| (b.unavailable, b.until));
        OverQuota {
            retry_after: first.map_or(LEASE_VALIDITY, |b| b.until.since(now)),
            answer_age: first.map_or(Duration::ZERO, |b| now.since(b.received_at)),
            out_of_reach: self.is_out_of_reach(now),
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.leases.is_empty() && self.unused.is_empty() && self.waiting == 0 && !self.in_flight
    }
}
