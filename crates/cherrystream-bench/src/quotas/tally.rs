//! The tally policy, compared with leases. Each daemon admits requests at once and reports their
//! count to the workspace's allocator, which answers with a retry delay once the sum is too high.

use cherrystream_core::quota::{
    Charge, Decision, LeaseAnswer, LeaseBatch, LeaseReply, LeaseRequest, Members, OverQuota,
    Policy, Tolerance, Try,
};
use cherrystream_core::units::Timestamp;
use cherrystream_core::workspaces::Quota;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Interval between two batches to an allocator. Requests admitted beyond the quota in between are
/// deducted later.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest retry delay that an allocator returns.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Seconds of the whole quota that all daemons together may admit without an answer.
const UNREPORTED_QUOTA_SECONDS: f64 = 0.25;
/// Share of the allowed excess by which the bucket's capacity exceeds the burst.
const EXTRA_CAPACITY_SHARE: f64 = 0.3;

/// A token bucket whose level may be negative.
struct Bucket {
    level: f64,
    at: Timestamp,
}

/// Counts of one workspace at this daemon.
#[derive(Default)]
struct Counts {
    quota: Option<Quota>,
    unreported: u32,
    in_flight: u32,
    unused_credits: u32,
    /// End of the retry delay, and when the allocator's answer arrived.
    over: Option<(Timestamp, Timestamp)>,
}

/// The tally policy of one daemon.
pub struct Tally {
    tolerance: Tolerance,
    members: Members,
    quotas: HashMap<Arc<str>, Quota>,
    buckets: HashMap<Arc<str>, Bucket>,
    counts: HashMap<Arc<str>, Counts>,
    next_report_at: Timestamp,
}

impl Tally {
    /// Creates the policy of one daemon.
    pub fn new(tolerance: Tolerance, members: Members) -> Tally {
        let (quotas, buckets, counts) = Default::default();
        Tally { tolerance, members, quotas, buckets, counts, next_report_at: Timestamp::default() }
    }

    fn count(&mut self, now: Timestamp, line: &LeaseRequest) -> LeaseAnswer {
        let configured = self.quotas.get(&line.workspace).copied();
        let quota = configured.unwrap_or_else(|| line.quota.into());
        let capacity = quota.burst + EXTRA_CAPACITY_SHARE * self.tolerance.max_excess(quota);
        let fresh = || Bucket { level: quota.burst, at: now };
        let bucket = self.buckets.entry(line.workspace.clone()).or_insert_with(fresh);
        let added = quota.per_second * now.since(bucket.at).as_secs_f64();
        bucket.level = (bucket.level + added + f64::from(line.unused)).min(capacity);
        bucket.level -= f64::from(line.requests);
        bucket.at = now;
        if bucket.level > 0.0 {
            return LeaseAnswer::Granted { credits: line.requests, deficit: 0 };
        }
        let lacking_seconds = (1.0 - bucket.level) / quota.per_second;
        let retry_after = Duration::from_secs_f64(lacking_seconds).max(MIN_RETRY_AFTER);
        LeaseAnswer::RetryAfterMs(u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX))
    }
}

impl Policy for Tally {
    fn set_members(&mut self, _now: Timestamp, members: &Members) {
        self.members = members.clone();
    }

    fn set_quotas(&mut self, quotas: HashMap<Arc<str>, Quota>) {
        self.quotas = quotas;
    }

    fn admit(
        &mut self,
        now: Timestamp,
        workspace: &Arc<str>,
        quota: Quota,
        _attempt: Try,
    ) -> Decision {
        let counts = self.counts.entry(workspace.clone()).or_default();
        counts.quota = Some(quota);
        let over = |retry_after, answer_age, out_of_reach| {
            Decision::Refuse(OverQuota { retry_after, answer_age, out_of_reach })
        };
        if let Some((until, at)) = counts.over.filter(|(until, _)| *until > now) {
            return over(until.since(now), now.since(at), false);
        }
        let limit = quota.per_second * UNREPORTED_QUOTA_SECONDS + self.tolerance.slack;
        let limit = 1 + (limit / self.members.count().max(1) as f64) as u32;
        if counts.unreported + counts.in_flight >= limit {
            return over(REPORT_INTERVAL, Duration::ZERO, true);
        }
        counts.unreported += 1;
        Decision::Run(Charge { workspace: workspace.clone(), allocator: None })
    }

    fn give_back(&mut self, _now: Timestamp, charge: &Charge) {
        if let Some(counts) = self.counts.get_mut(&charge.workspace) {
            counts.unused_credits += 1;
        }
    }

    fn outgoing(&mut self, now: Timestamp) -> Vec<(Arc<str>, LeaseBatch)> {
        if now < self.next_report_at {
            return Vec::new();
        }
        self.next_report_at = now + REPORT_INTERVAL;
        let mut batches: BTreeMap<Arc<str>, LeaseBatch> = BTreeMap::new();
        let mut own_batch = LeaseBatch::default();
        for (workspace, counts) in &mut self.counts {
            let nothing = counts.unreported == 0 && counts.unused_credits == 0;
            if nothing || counts.in_flight > 0 {
                continue;
            }
            let Some(allocator) = self.members.sole_allocator(workspace) else { continue };
            let Some(quota) = counts.quota else { continue };
            let (workspace, quota) = (workspace.clone(), quota.into());
            let (requests, unused) = (
                std::mem::take(&mut counts.unreported),
                std::mem::take(&mut counts.unused_credits),
            );
            counts.in_flight = requests;
            let line = LeaseRequest {
                workspace,
                quota,
                requests,
                prefetch: 0,
                deficit_considered: true,
                unused,
            };
            let is_own = allocator == self.members.own.host;
            let batch = if is_own { &mut own_batch } else { batches.entry(allocator).or_default() };
            batch.lines.push(line);
        }
        let reply = self.answer(now, &own_batch);
        let own = self.members.own.host.clone();
        self.on_reply(now, now, &own, &own_batch, Some(&reply));
        batches.into_iter().collect()
    }

    fn answer(&mut self, now: Timestamp, batch: &LeaseBatch) -> LeaseReply {
        LeaseReply { answers: batch.lines.iter().map(|line| self.count(now, line)).collect() }
    }

    fn on_reply(
        &mut self,
        now: Timestamp,
        _sent: Timestamp,
        _allocator: &Arc<str>,
        batch: &LeaseBatch,
        reply: Option<&LeaseReply>,
    ) {
        for (n, line) in batch.lines.iter().enumerate() {
            let Some(counts) = self.counts.get_mut(&line.workspace) else { continue };
            counts.in_flight = 0;
            match reply.and_then(|reply| reply.answers.get(n)) {
                Some(LeaseAnswer::RetryAfterMs(ms)) => {
                    counts.over = Some((now + Duration::from_millis((*ms).into()), now));
                }
                Some(LeaseAnswer::Granted { .. }) => counts.over = None,
                // Counts the requests again: counting them twice is safer than never.
                Some(LeaseAnswer::NotAllocator) | None => counts.unreported += line.requests,
            }
        }
    }
}
