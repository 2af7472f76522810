//! Tally, the policy that was weighed and not taken: each daemon runs requests at once and tells their count to one home, which says when the sum is too high.

use cherrystream_core::quota::{
    Charge, Decision, LeaseAnswer, LeaseBatch, LeaseReply, LeaseRequest, Members, OverQuota,
    Policy, Tolerance, Try,
};
use cherrystream_core::units::Timestamp;
use cherrystream_core::workspaces::Quota;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Time between two batches to a home: what is sent beyond a quota meanwhile is paid back later.
const TELL_EVERY: Duration = Duration::from_millis(100);
/// Shortest time for which a daemon is sent away.
const AWAY_AT_LEAST: Duration = Duration::from_millis(100);
/// Seconds of a whole quota that one daemon may send before it has an answer.
const UNTOLD_SECONDS: f64 = 0.25;
/// Part of the room beyond a quota by which the bucket is deeper than the burst.
const EXTRA_DEPTH_SHARE: f64 = 0.3;

/// A token bucket that may owe.
struct Bucket {
    level: f64,
    at: Timestamp,
}

#[derive(Default)]
struct Told {
    quota: Option<Quota>,
    untold: u32,
    on_the_way: u32,
    back: u32,
    /// Until when none may run, and when that was told.
    over: Option<(Timestamp, Timestamp)>,
}

/// The policy.
pub struct Tally {
    tolerance: Tolerance,
    members: Members,
    quotas: HashMap<Arc<str>, Quota>,
    buckets: HashMap<Arc<str>, Bucket>,
    told: HashMap<Arc<str>, Told>,
    tell_at: Timestamp,
}

impl Tally {
    /// Creates the policy of one daemon.
    pub fn new(tolerance: Tolerance, members: Members) -> Tally {
        let (quotas, buckets, told) = Default::default();
        Tally { tolerance, members, quotas, buckets, told, tell_at: Timestamp::default() }
    }

    fn count(&mut self, now: Timestamp, line: &LeaseRequest) -> LeaseAnswer {
        let held = self.quotas.get(&line.workspace).copied();
        let quota = held.unwrap_or_else(|| line.quota.into());
        let depth = quota.burst + EXTRA_DEPTH_SHARE * self.tolerance.max_excess(quota);
        let fresh = || Bucket { level: quota.burst, at: now };
        let bucket = self.buckets.entry(line.workspace.clone()).or_insert_with(fresh);
        let added = quota.per_second * now.since(bucket.at).as_secs_f64();
        bucket.level = (bucket.level + added + f64::from(line.unused)).min(depth);
        bucket.level -= f64::from(line.requests);
        bucket.at = now;
        if bucket.level > 0.0 {
            return LeaseAnswer::Granted { credits: line.requests, deficit: 0 };
        }
        let lacking = (1.0 - bucket.level) / quota.per_second;
        let away = Duration::from_secs_f64(lacking).max(AWAY_AT_LEAST);
        LeaseAnswer::RetryAfterMs(u32::try_from(away.as_millis()).unwrap_or(u32::MAX))
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
        _turn: Try,
    ) -> Decision {
        let told = self.told.entry(workspace.clone()).or_default();
        told.quota = Some(quota);
        let over = |retry_after, answer_age, out_of_reach| {
            Decision::Refuse(OverQuota { retry_after, answer_age, out_of_reach })
        };
        if let Some((until, at)) = told.over.filter(|(until, _)| *until > now) {
            return over(until.since(now), now.since(at), false);
        }
        let room = quota.per_second * UNTOLD_SECONDS + self.tolerance.slack;
        let room = 1 + (room / self.members.count().max(1) as f64) as u32;
        if told.untold + told.on_the_way >= room {
            return over(TELL_EVERY, Duration::ZERO, true);
        }
        told.untold += 1;
        Decision::Run(Charge { workspace: workspace.clone(), allocator: None })
    }

    fn give_back(&mut self, _now: Timestamp, charge: &Charge) {
        if let Some(told) = self.told.get_mut(&charge.workspace) {
            told.back += 1;
        }
    }

    fn outgoing(&mut self, now: Timestamp) -> Vec<(Arc<str>, LeaseBatch)> {
        if now < self.tell_at {
            return Vec::new();
        }
        self.tell_at = now + TELL_EVERY;
        let mut batches: BTreeMap<Arc<str>, LeaseBatch> = BTreeMap::new();
        let mut at_home = LeaseBatch::default();
        for (workspace, told) in &mut self.told {
            let nothing = told.untold == 0 && told.back == 0;
            if nothing || told.on_the_way > 0 {
                continue;
            }
            let Some(home) = self.members.sole_allocator(workspace) else { continue };
            let Some(quota) = told.quota else { continue };
            let (workspace, quota) = (workspace.clone(), quota.into());
            let (requests, unused) =
                (std::mem::take(&mut told.untold), std::mem::take(&mut told.back));
            told.on_the_way = requests;
            let line = LeaseRequest {
                workspace,
                quota,
                requests,
                prefetch: 0,
                deficit_considered: true,
                unused,
            };
            let is_own = home == self.members.own.host;
            let batch = if is_own { &mut at_home } else { batches.entry(home).or_default() };
            batch.lines.push(line);
        }
        let reply = self.answer(now, &at_home);
        let own = self.members.own.host.clone();
        self.on_reply(now, now, &own, &at_home, Some(&reply));
        batches.into_iter().collect()
    }

    fn answer(&mut self, now: Timestamp, batch: &LeaseBatch) -> LeaseReply {
        LeaseReply { answers: batch.lines.iter().map(|line| self.count(now, line)).collect() }
    }

    fn on_reply(
        &mut self,
        now: Timestamp,
        _sent: Timestamp,
        _home: &Arc<str>,
        batch: &LeaseBatch,
        reply: Option<&LeaseReply>,
    ) {
        for (n, line) in batch.lines.iter().enumerate() {
            let Some(told) = self.told.get_mut(&line.workspace) else { continue };
            told.on_the_way = 0;
            match reply.and_then(|reply| reply.answers.get(n)) {
                Some(LeaseAnswer::RetryAfterMs(ms)) => {
                    told.over = Some((now + Duration::from_millis((*ms).into()), now));
                }
                Some(LeaseAnswer::Granted { .. }) => told.over = None,
                // Counted once too often rather than never.
                Some(LeaseAnswer::NotAllocator) | None => told.untold += line.requests,
            }
        }
    }
}
