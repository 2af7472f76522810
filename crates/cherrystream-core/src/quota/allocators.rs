//! Quota allocators: each grants leases of credits from its share of a workspace's quota.

use super::bucket::{Bucket, GrantedLease, Size};
use super::workspace_leases::LEASE_VALIDITY;
use super::{LeaseAnswer, LeaseRequest, Members, Tolerance};
use crate::units::Timestamp;
use crate::workspaces::Quota;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Share of the tolerance by which buckets are deeper than the burst. Credits that lie unused at
/// other daemons then don't cause refusals below the quota.
const EXTRA_DEPTH_SHARE: f64 = 0.5;
/// Share of the tolerance in the initial level of a bucket: a previous allocator may have granted
/// the rest within the last window.
const INITIAL_LEVEL_SHARE: f64 = 0.15;
/// Share of the depth beyond the burst that may be lost by asking the nearest allocator first.
const MAX_LOSS_SHARE: f64 = 0.4;
/// Shortest time after which a daemon may ask again; limits the batches caused by callers far
/// beyond a quota.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Share of the depth beyond the burst that may be granted for expected requests.
const PREFETCH_SHARE: f64 = 0.2;
/// Smallest depth of an allocator's bucket, in credits: with less, two whole credits could not be
/// granted at a time.
const MIN_DEPTH: f64 = 2.0;
/// Time beyond the validity of a lease after which its allocator considers it used: clocks run at
/// different rates.
const CLOCK_MARGIN: Duration = Duration::from_millis(100);
/// Time after which no credit of a previous allocator is used any more.
const MAX_LATE_USE: Duration = LEASE_VALIDITY.saturating_add(CLOCK_MARGIN);
/// Time after which an unused bucket is dropped if it is full by then.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The allocators on one host, one bucket per workspace.
pub(super) struct Allocators {
    tolerance: Tolerance,
    quotas: HashMap<Arc<str>, Quota>,
    /// Buckets with the time of their last use.
    buckets: HashMap<Arc<str>, (Bucket, Timestamp)>,
    /// Time of the last change of the members.
    members_since: Timestamp,
    last_sweep: Timestamp,
}

/// Returns the number of allocators of a workspace, at most one per failure domain.
pub(super) fn count(members: &Members, tolerance: &Tolerance, quota: Quota) -> usize {
    let depth = quota.burst + EXTRA_DEPTH_SHARE * tolerance.max_excess(quota);
    let max_count = (depth / MIN_DEPTH) as usize;
    max_count.clamp(1, members.domains().max(1))
}

/// Returns the size of each allocator's bucket.
pub(super) fn size(members: &Members, tolerance: &Tolerance, quota: Quota) -> Size {
    let allocators = count(members, tolerance, quota) as f64;
    let depth = (quota.burst + EXTRA_DEPTH_SHARE * tolerance.max_excess(quota)) / allocators;
    Size { per_second: quota.per_second / allocators, depth: depth.max(1.0) }
}

/// Returns the deficit up to which the nearest allocator is asked first. Meanwhile the full buckets
/// of the others discard refills; this loss must stay below the depth beyond the burst.
pub(super) fn max_deficit(members: &Members, tolerance: &Tolerance, quota: Quota) -> f64 {
    let allocators = count(members, tolerance, quota) as f64;
    EXTRA_DEPTH_SHARE * tolerance.max_excess(quota) / allocators * MAX_LOSS_SHARE
}

/// Returns the number of credits that may be granted for expected requests.
fn max_prefetch(members: &Members, tolerance: &Tolerance, quota: Quota) -> f64 {
    let allocators = count(members, tolerance, quota) as f64;
    EXTRA_DEPTH_SHARE * tolerance.max_excess(quota) / allocators * PREFETCH_SHARE
}

impl Allocators {
    pub(super) fn new(tolerance: Tolerance) -> Allocators {
        let (quotas, buckets) = (HashMap::new(), HashMap::new());
        let start = Timestamp::default();
        Allocators { tolerance, quotas, buckets, members_since: start, last_sweep: start }
    }

    pub(super) fn set_quotas(&mut self, quotas: HashMap<Arc<str>, Quota>) {
        self.quotas = quotas;
    }

    /// Handles a change of the members: drops the buckets that other hosts are responsible for.
    pub(super) fn on_members(&mut self, now: Timestamp, members: &Members) {
        self.members_since = now;
        let (quotas, tolerance) = (&self.quotas, &self.tolerance);
        self.buckets.retain(|workspace, _| {
            let quota = quotas.get(workspace);
            quota.is_none_or(|quota| is_allocator(members, tolerance, workspace, *quota))
        });
    }

    /// Answers one line of a batch.
    pub(super) fn answer(
        &mut self,
        now: Timestamp,
        members: &Members,
        line: &LeaseRequest,
    ) -> LeaseAnswer {
        let configured = self.quotas.get(&line.workspace).copied();
        let quota = configured.unwrap_or_else(|| line.quota.into());
        if !is_allocator(members, &self.tolerance, &line.workspace, quota) {
            return LeaseAnswer::NotAllocator;
        }
        let size = size(members, &self.tolerance, quota);
        let max_prefetch = max_prefetch(members, &self.tolerance, quota);
        let max_deficit = max_deficit(members, &self.tolerance, quota);
        let bucket = self.bucket(now, size, &line.workspace, quota);
        bucket.refill(now, size);
        bucket.give_back(line.unused, size);
        let deficit = bucket.deficit(size);
        if !line.deficit_considered && f64::from(deficit) > max_deficit {
            // Other buckets may be full: the daemon compares the deficits before it asks again.
            return LeaseAnswer::Granted { credits: 0, deficit };
        }
        let available = bucket.level().max(0.0) as u32;
        let needed = line.requests.min(available);
        let prefetch_left = (max_prefetch - bucket.leased()).max(0.0) as u32;
        let prefetched = line.prefetch.min(available - needed).min(prefetch_left);
        bucket.charge(needed.into());
        if prefetched > 0 {
            let expires_at = now + LEASE_VALIDITY + CLOCK_MARGIN;
            bucket.grant(GrantedLease { expires_at, tokens: prefetched.into() });
        }
        let credits = needed + prefetched;
        if credits > 0 || line.requests == 0 {
            return LeaseAnswer::Granted { credits, deficit: bucket.deficit(size) };
        }
        let retry_after = bucket.time_until(now, 1.0, size).max(MIN_RETRY_AFTER);
        LeaseAnswer::RetryAfterMs(u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX))
    }

    fn bucket(
        &mut self,
        now: Timestamp,
        size: Size,
        workspace: &Arc<str>,
        quota: Quota,
    ) -> &mut Bucket {
        let allocators = quota.per_second / size.per_second;
        let initial = INITIAL_LEVEL_SHARE * self.tolerance.max_excess(quota) / allocators;
        let level = initial + size.per_second * now.since(self.members_since).as_secs_f64();
        let until = self.members_since + self.tolerance.window + MAX_LATE_USE;
        let entry = self.buckets.entry(workspace.clone());
        let used = entry.or_insert_with(|| {
            let bucket = match now < until {
                // A previous allocator may have granted all credits just before.
                true => Bucket::limited(now, level, until, size),
                false => Bucket::new(now, size),
            };
            (bucket, now)
        });
        used.1 = now;
        &mut used.0
    }

    /// Drops idle buckets that have the state of a new one.
    pub(super) fn sweep(&mut self, now: Timestamp) {
        if now.since(self.last_sweep) < IDLE_TIMEOUT {
            return;
        }
        self.last_sweep = now;
        let (quotas, tolerance) = (&self.quotas, &self.tolerance);
        let min_idle = IDLE_TIMEOUT.max(tolerance.window);
        self.buckets.retain(|workspace, (_, used_at)| {
            let idle = now.since(*used_at);
            let Some(quota) = quotas.get(workspace) else { return idle < min_idle };
            // A new bucket may be full at once, so a dropped one must be full too.
            let refilled = quota.per_second * idle.as_secs_f64();
            idle < min_idle || refilled < quota.burst + tolerance.max_excess(*quota)
        });
    }
}

fn is_allocator(members: &Members, tolerance: &Tolerance, workspace: &str, quota: Quota) -> bool {
    let allocators = members.allocators(workspace, count(members, tolerance, quota));
    allocators.contains(&members.own.host)
}
