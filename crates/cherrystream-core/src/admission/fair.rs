//! Fair queueing of workspaces among requests of the same rank.
//!
//! A flow is charged for the work that is admitted for it. Its usage is the sum of the charges,
//! decayed over time and divided by its share. The flow with the lowest usage goes first, as in the
//! fair share scheduler of Kay and Lauder (1988). One backend server gets few requests of a
//! workspace at a time, so recent usage says more than the queue does. The decay also bounds
//! starvation: a flow that is not served soon goes first.

use super::Ticket;
use crate::units::Timestamp;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Time in which usage decays to 1/e: longer than the gaps between requests of a small workspace,
/// shorter than the time that callers keep retrying.
const DECAY_TIME: Duration = Duration::from_secs(2);
/// Largest number of accounts, as each request scans all of them.
const MAX_ACCOUNTS: usize = 256;
/// Time after its last request for which a workspace counts as active.
const ACTIVE_FOR: Duration = Duration::from_secs(4);
/// Multiple of its fair share from which a workspace is over its share; random variation stays
/// below it.
const OVER_SHARE_FACTOR: f64 = 2.0;
/// Resolution in which usage is compared.
const USAGE_UNITS_PER_SECOND: f64 = 1_000_000.0;

/// A flow of the fair queue: a workspace that competes with others for a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Flow {
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Weight relative to other workspaces, in thousandths of a request per second; `None` stands
    /// for the mean.
    pub share: Option<f64>,
}

/// Usage in proportion to the share; the flow with the lower usage goes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Usage(u64);

/// Returns the fraction of a charge that is left after `passed`.
fn remaining_fraction(passed: Duration) -> f64 {
    (-passed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
}

#[derive(Clone, Copy, Debug)]
struct Account {
    /// Decayed seconds of work.
    charged: f64,
    share: Option<f64>,
    updated_at: Timestamp,
    last_request_at: Timestamp,
}

impl Account {
    fn charged(&self, now: Timestamp) -> f64 {
        self.charged * remaining_fraction(now.since(self.updated_at))
    }

    fn charge(&mut self, now: Timestamp, seconds: f64) {
        self.charged = (self.charged(now) + seconds).max(0.0);
        self.updated_at = now;
    }
}

/// Charge of a queued request.
#[derive(Clone, Debug)]
struct Charge {
    workspace: Arc<str>,
    seconds: f64,
    charged_at: Timestamp,
}

/// Usage by workspace at one backend server.
#[derive(Debug, Default)]
pub struct FairShare {
    accounts: HashMap<Arc<str>, Account>,
    /// Charges of queued requests.
    waiting: HashMap<Ticket, Charge>,
}

impl FairShare {
    /// Records a request of a flow and returns the usage of the flow.
    pub fn on_request(&mut self, now: Timestamp, flow: &Flow) -> Usage {
        self.evict_for(now, &flow.workspace);
        let new =
            Account { charged: 0.0, share: flow.share, updated_at: now, last_request_at: now };
        let account = self.accounts.entry(flow.workspace.clone()).or_insert(new);
        account.share = flow.share;
        account.last_request_at = now;
        let (charged, share) = (account.charged(now), account.share);
        let mean = self.mean_share(now);
        Usage((charged * USAGE_UNITS_PER_SECOND * mean / share.unwrap_or(mean)) as u64)
    }

    /// Returns whether a flow has recently used more than its share, while others are active.
    pub fn is_over_share(&self, now: Timestamp, flow: &Flow) -> bool {
        let Some(account) = self.accounts.get(&flow.workspace) else { return false };
        let mean = self.mean_share(now);
        let (mut charged, mut shares, mut others) = (0.0, 0.0, 0);
        for other in self.active(now) {
            charged += other.charged(now);
            shares += other.share.unwrap_or(mean);
            others += 1;
        }
        let fair_part = charged * account.share.unwrap_or(mean) / shares;
        others > 1 && account.charged(now) > OVER_SHARE_FACTOR * fair_part
    }

    /// Charges a flow for a request that is admitted or queued.
    pub fn on_admitted(&mut self, now: Timestamp, ticket: Ticket, flow: &Flow, work: Duration) {
        let seconds = work.as_secs_f64();
        if let Some(account) = self.accounts.get_mut(&flow.workspace) {
            account.charge(now, seconds);
        }
        let workspace = flow.workspace.clone();
        self.waiting.insert(ticket, Charge { workspace, seconds, charged_at: now });
    }

    /// Records that a request is sent to the backend server.
    pub fn on_started(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }

    /// Refunds the charge of a queued request that is not served.
    pub fn on_unserved(&mut self, now: Timestamp, ticket: Ticket) {
        let Some(charge) = self.waiting.remove(&ticket) else { return };
        // The refund decays like the charge, so that usage doesn't become negative.
        let refund = charge.seconds * remaining_fraction(now.since(charge.charged_at));
        if let Some(account) = self.accounts.get_mut(&charge.workspace) {
            account.charge(now, -refund);
        }
    }

    /// Makes space for the account of a workspace. If all others are active, the account with the
    /// least usage is discarded, as it differs least from a new one.
    fn evict_for(&mut self, now: Timestamp, workspace: &Arc<str>) {
        if self.accounts.len() < MAX_ACCOUNTS || self.accounts.contains_key(workspace) {
            return;
        }
        self.accounts.retain(|_, account| now.since(account.last_request_at) < ACTIVE_FOR);
        if self.accounts.len() < MAX_ACCOUNTS {
            return;
        }
        let charged = |account: &Account| account.charged(now);
        let least = self.accounts.iter().min_by(|a, b| charged(a.1).total_cmp(&charged(b.1)));
        if let Some(name) = least.map(|(name, _)| name.clone()) {
            self.accounts.remove(&name);
        }
    }

    fn active(&self, now: Timestamp) -> impl Iterator<Item = &Account> {
        self.accounts
            .values()
            .filter(move |account| now.since(account.last_request_at) < ACTIVE_FOR)
    }

    /// Returns the mean share of active workspaces that have one; it also stands for those without.
    fn mean_share(&self, now: Timestamp) -> f64 {
        let shares = self.active(now).filter_map(|account| account.share);
        let (sum, count) = shares.fold((0.0, 0), |(sum, count), share| (sum + share, count + 1));
        if count == 0 || sum <= 0.0 { 1.0 } else { sum / f64::from(count) }
    }
}
