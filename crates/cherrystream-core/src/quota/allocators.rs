//! The home of a workspace: lends its part of the quota to daemons that ask.

use super::bucket::{Bucket, Loan, Size};
use super::workspace_leases::LEASE_LIFE;
use super::{LeaseAnswer, LeaseRequest, Members, Tolerance};
use crate::units::Timestamp;
use crate::workspaces::Quota;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Part of the room beyond a quota by which buckets are deeper than the burst: what lies unused elsewhere is no reason
/// to refuse a request below the quota.
const EXTRA_DEPTH_SHARE: f64 = 0.5;
/// Part of the room that a home begins with which does not know what its forerunner lent.
const INITIAL_SHARE: f64 = 0.15;
/// Part of what buckets hold beyond the burst that may be lost by asking the nearest home first.
const LOST_SHARE: f64 = 0.4;
/// Shortest time for which a daemon is sent away: callers far beyond a quota would cost a batch each.
const AWAY_AT_LEAST: Duration = Duration::from_millis(100);
/// Part of what buckets hold beyond the burst that may be lent for requests that are only expected.
const AHEAD_SHARE: f64 = 0.2;
/// Depth of a home's bucket at least: below, a home could not lend a whole credit beside another.
const DEPTH_AT_LEAST: f64 = 2.0;
/// Time beyond a lease's life after which its home takes it as used: clocks run unequally.
const MARGIN: Duration = Duration::from_millis(100);
/// Time after which a bucket that nobody asked is forgotten, if it is full by then.
const IDLE: Duration = Duration::from_secs(60);

/// The homes on one host.
pub(super) struct Homes {
    tolerance: Tolerance,
    quotas: HashMap<Arc<str>, Quota>,
    buckets: HashMap<Arc<str>, (Bucket, Timestamp)>,
    /// When the daemons that share the quotas were last others than now.
    since: Timestamp,
    swept: Timestamp,
}

/// Returns how many homes a workspace has.
pub(super) fn count(members: &Members, tolerance: &Tolerance, quota: Quota) -> usize {
    let depth = quota.burst + EXTRA_DEPTH_SHARE * tolerance.room(quota);
    let worth = (depth / DEPTH_AT_LEAST) as usize;
    worth.clamp(1, members.domains().max(1))
}

/// Returns the size of a home's bucket.
pub(super) fn size(members: &Members, tolerance: &Tolerance, quota: Quota) -> Size {
    let homes = count(members, tolerance, quota) as f64;
    let depth = (quota.burst + EXTRA_DEPTH_SHARE * tolerance.room(quota)) / homes;
    Size { per_second: quota.per_second / homes, depth: depth.max(1.0) }
}

/// Returns how much the nearest home may lack while it is still asked first. What the others cannot add to their full
/// buckets meanwhile is lost, and must be less than what buckets hold beyond the burst.
pub(super) fn lacks_at_most(members: &Members, tolerance: &Tolerance, quota: Quota) -> f64 {
    let homes = count(members, tolerance, quota) as f64;
    EXTRA_DEPTH_SHARE * tolerance.room(quota) / homes * LOST_SHARE
}

/// Returns how many credits may be lent for requests that are only expected.
fn ahead_at_most(members: &Members, tolerance: &Tolerance, quota: Quota) -> f64 {
    let homes = count(members, tolerance, quota) as f64;
    EXTRA_DEPTH_SHARE * tolerance.room(quota) / homes * AHEAD_SHARE
}

impl Homes {
    pub(super) fn new(tolerance: Tolerance) -> Homes {
        let (quotas, buckets) = (HashMap::new(), HashMap::new());
        let start = Timestamp::default();
        Homes { tolerance, quotas, buckets, since: start, swept: start }
    }

    pub(super) fn set_quotas(&mut self, quotas: HashMap<Arc<str>, Quota>) {
        self.quotas = quotas;
    }

    /// Takes note that the daemons are others now.
    pub(super) fn on_members(&mut self, now: Timestamp, members: &Members) {
        self.since = now;
        let (quotas, tolerance) = (&self.quotas, &self.tolerance);
        self.buckets.retain(|workspace, _| {
            let quota = quotas.get(workspace);
            quota.is_none_or(|quota| is_home(members, tolerance, workspace, *quota))
        });
    }

    /// Answers a line.
    pub(super) fn answer(
        &mut self,
        now: Timestamp,
        members: &Members,
        line: &LeaseRequest,
    ) -> LeaseAnswer {
        let held = self.quotas.get(&line.workspace).copied();
        let quota = held.unwrap_or_else(|| line.quota.into());
        if !is_home(members, &self.tolerance, &line.workspace, quota) {
            return LeaseAnswer::NotHome;
        }
        let size = size(members, &self.tolerance, quota);
        let ahead_at_most = ahead_at_most(members, &self.tolerance, quota);
        let lacks_at_most = lacks_at_most(members, &self.tolerance, quota);
        let bucket = self.bucket(now, size, &line.workspace, quota);
        bucket.refill(now, size);
        bucket.take_back(line.back, size);
        let lacking = bucket.lacking(size);
        if !line.knows && f64::from(lacking) > lacks_at_most {
            // Others may be full. A daemon that does not know how much is lent out here weighs that first.
            return LeaseAnswer::Granted { credits: 0, lacking };
        }
        let whole = bucket.level().max(0.0) as u32;
        let needed = line.requests.min(whole);
        let may_ahead = (ahead_at_most - bucket.lent()).max(0.0) as u32;
        let ahead = line.ahead.min(whole - needed).min(may_ahead);
        bucket.charge(needed.into());
        if ahead > 0 {
            let end = now + LEASE_LIFE + MARGIN;
            bucket.lend(Loan { end, tokens: ahead.into() });
        }
        let credits = needed + ahead;
        if credits > 0 || line.requests == 0 {
            return LeaseAnswer::Granted { credits, lacking: bucket.lacking(size) };
        }
        let away = bucket.time_until(1.0, size).max(AWAY_AT_LEAST);
        LeaseAnswer::OverForMs(u32::try_from(away.as_millis()).unwrap_or(u32::MAX))
    }

    fn bucket(
        &mut self,
        now: Timestamp,
        size: Size,
        workspace: &Arc<str>,
        quota: Quota,
    ) -> &mut Bucket {
        // Homes that went before may have lent all there was when this one began.
        let parts = quota.per_second / size.per_second;
        let at_start = INITIAL_SHARE * self.tolerance.room(quota) / parts;
        let level = at_start + size.per_second * now.since(self.since).as_secs_f64();
        let entry = self.buckets.entry(workspace.clone());
        let kept = entry.or_insert_with(|| (Bucket::new(now, level, size), now));
        kept.1 = now;
        &mut kept.0
    }

    /// Forgets buckets that are as good as new.
    pub(super) fn sweep(&mut self, now: Timestamp) {
        if now.since(self.swept) < IDLE {
            return;
        }
        self.swept = now;
        let (quotas, tolerance) = (&self.quotas, &self.tolerance);
        let at_least = IDLE.max(tolerance.window);
        self.buckets.retain(|workspace, (_, asked)| {
            let idle = now.since(*asked);
            let Some(quota) = quotas.get(workspace) else { return idle < at_least };
            // One that is made anew may be full at once, so this one must be full as well.
            let refilled = quota.per_second * idle.as_secs_f64();
            idle < at_least || refilled < quota.burst + tolerance.room(*quota)
        });
    }
}

fn is_home(members: &Members, tolerance: &Tolerance, workspace: &str, quota: Quota) -> bool {
    let homes = members.homes(workspace, count(members, tolerance, quota));
    homes.contains(&members.own.host)
}
