//! What one daemon holds and knows of one workspace.

use super::{LeaseRequest, Over, QuotaMilli};
use crate::units::Timestamp;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Time for which credits that were granted are good: long enough for a daemon that sees a few requests a second of a
/// workspace to use them, short enough that few lie where nobody asks.
pub(super) const LEASE_LIFE: Duration = Duration::from_millis(500);
/// Time over which requests are counted to tell how many come.
const DEMAND_OVER: Duration = Duration::from_secs(1);

/// Time for which a daemon relies on what a home said that it lacks: others may have taken a burst since.
const KNOWN_FOR: Duration = Duration::from_millis(250);

/// Requests seen of late.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    began: Timestamp,
    count: u32,
    per_second: f64,
}

impl Demand {
    pub(super) fn note(&mut self, now: Timestamp) {
        let over = now.since(self.began);
        if over >= DEMAND_OVER {
            self.per_second = f64::from(self.count) / over.as_secs_f64();
            (self.began, self.count) = (now, 0);
        }
        self.count += 1;
    }

    /// Returns the requests that come within the life of a lease.
    pub(super) fn in_a_life(&self, now: Timestamp) -> u32 {
        let over = now.since(self.began);
        let seen = f64::from(self.count);
        // Where no request has come for long, none is expected.
        let per_second = match over >= DEMAND_OVER {
            true => seen / over.as_secs_f64(),
            false => self.per_second.max(seen),
        };
        (per_second * LEASE_LIFE.as_secs_f64()) as u32
    }
}

/// What a home said last.
#[derive(Clone, Copy, Debug)]
pub(super) struct Backoff {
    pub(super) until: Timestamp,
    pub(super) at: Timestamp,
    /// Whether it said nothing, or that it is no home.
    pub(super) away: bool,
}

/// What a home lacked when it was last asked.
#[derive(Clone, Copy, Debug)]
pub(super) struct Deficit {
    pub(super) credits: u32,
    pub(super) at: Timestamp,
}

struct Lease {
    home: Arc<str>,
    credits: u32,
    end: Timestamp,
}

/// What one daemon holds and knows of one workspace.
#[derive(Default)]
pub(super) struct Lent {
    /// Its quota by the last request.
    pub(super) quota: Option<QuotaMilli>,
    pub(super) homes: Vec<Arc<str>>,
    /// What the homes lacked.
    pub(super) lacked: HashMap<Arc<str>, Deficit>,
    /// Credits a second that a home gets.
    pub(super) home_per_second: f64,
    /// What the nearest home may lack while it is asked first.
    pub(super) lacks_at_most: f64,
    /// Whether this daemon may run a request where no home can be reached.
    pub(super) has_place: bool,
    pub(super) demand: Demand,
    /// Time from which credits may be asked for in advance again.
    pub(super) ahead_from: Timestamp,
    /// Requests that wait for an answer.
    pub(super) waiting: u32,
    /// Whether an answer is awaited.
    pub(super) asking: bool,
    pub(super) said: HashMap<Arc<str>, Backoff>,
    /// Credits to give back.
    pub(super) back: HashMap<Arc<str>, u32>,
    /// When a request was last run on the word of no home.
    pub(super) ran_alone: Option<Timestamp>,
    pub(super) seen: Timestamp,
    leases: Vec<Lease>,
}

impl Lent {
    /// Returns a line to a home, with what is given back to it.
    pub(super) fn line(
        &mut self,
        now: Timestamp,
        workspace: &Arc<str>,
        home: &Arc<str>,
    ) -> Option<LeaseRequest> {
        let back = self.back.remove(home).unwrap_or_default();
        Some(LeaseRequest {
            workspace: workspace.clone(),
            quota: self.quota?,
            requests: 0,
            ahead: 0,
            knows: self.homes.len() < 2 || self.knows(now, home),
            back,
        })
    }

    /// Returns the credits held.
    pub(super) fn credits(&self) -> u32 {
        self.leases.iter().map(|lease| lease.credits).sum()
    }

    /// Takes a credit; returns the home that granted it.
    pub(super) fn take(&mut self, now: Timestamp) -> Option<Arc<str>> {
        self.lapse(now);
        let lease = self.leases.first_mut()?;
        lease.credits -= 1;
        let home = lease.home.clone();
        self.leases.retain(|lease| lease.credits > 0);
        Some(home)
    }

    /// Notes a lease that was asked for at `sent`.
    pub(super) fn put(&mut self, home: &Arc<str>, credits: u32, sent: Timestamp) {
        let end = sent + LEASE_LIFE;
        self.leases.push(Lease { home: home.clone(), credits, end });
    }

    /// Ends the leases whose time is over.
    pub(super) fn lapse(&mut self, now: Timestamp) {
        for lease in self.leases.extract_if(.., |lease| lease.end <= now) {
            *self.back.entry(lease.home).or_default() += lease.credits;
        }
    }

    /// Returns the next home to ask: the nearest, or the one that holds most when that has lent out much.
    pub(super) fn next_home(&self, now: Timestamp) -> Option<&Arc<str>> {
        let may_grant = |home: &&Arc<str>| self.said.get(*home).is_none_or(|s| s.until <= now);
        let nearest = self.homes.first().filter(may_grant);
        let is_full = |home: &&Arc<str>| self.lacks(now, home) <= self.lacks_at_most;
        nearest.filter(is_full).or_else(|| {
            let able = self.homes.iter().filter(may_grant);
            able.min_by(|a, b| self.lacks(now, a).total_cmp(&self.lacks(now, b)))
        })
    }

    /// Returns whether the home said of late what it lacks.
    fn knows(&self, now: Timestamp, home: &str) -> bool {
        self.lacked.get(home).is_some_and(|lacked| now.since(lacked.at) <= KNOWN_FOR)
    }

    /// Returns what a home is thought to lack.
    fn lacks(&self, now: Timestamp, home: &str) -> f64 {
        let Some(lacked) = self.lacked.get(home) else { return 0.0 };
        let since = now.since(lacked.at).as_secs_f64();
        (f64::from(lacked.credits) - since * self.home_per_second).max(0.0)
    }

    /// Returns whether some home is out of reach.
    pub(super) fn is_out_of_reach(&self, now: Timestamp) -> bool {
        self.homes.is_empty() || self.said.values().any(|said| said.away && said.until > now)
    }

    /// Returns why a request is over the quota.
    pub(super) fn over(&self, now: Timestamp) -> Over {
        // One that said nothing promises no credit.
        let said = self.said.values().filter(|said| said.until > now);
        let first = said.min_by_key(|said| (said.away, said.until));
        Over {
            retry_after: first.map_or(LEASE_LIFE, |said| said.until.since(now)),
            answer_age: first.map_or(Duration::ZERO, |said| now.since(said.at)),
            out_of_reach: self.is_out_of_reach(now),
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.leases.is_empty() && self.back.is_empty() && self.waiting == 0 && !self.asking
    }
}
