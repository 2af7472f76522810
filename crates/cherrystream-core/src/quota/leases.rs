//! Enforces quotas by leases: each workspace has up to one allocator per failure domain, which
//! grants leases of credits from its share of the quota.
//!
//! The bound needs no counts summed over daemons: the shares add up to the quota, and each
//! allocator accounts for its own grants. A daemon asks the allocator of its own failure domain
//! first, and another one while the deficit of the first is high.

use super::allocators::{self, Allocators};
use super::workspace_leases::{Backoff, Deficit, WorkspaceLeases};
use super::{
    Charge, Decision, LeaseAnswer, LeaseBatch, LeaseReply, LeaseRequest, Members, Policy,
    Tolerance, Try,
};
use crate::units::Timestamp;
use crate::workspaces::Quota;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// Backoff after an allocator did not answer; keeps requests from waiting for it each time.
const UNREACHABLE_BACKOFF: Duration = Duration::from_secs(1);
/// Shortest interval between requests that only prefetch credits: an allocator that refused them
/// is unlikely to grant them at once.
const PREFETCH_INTERVAL: Duration = Duration::from_millis(250);
/// Backoff after a daemon answered that it is not an allocator of the workspace: its revision may
/// differ.
const NOT_ALLOCATOR_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum calls to the allocator on this host for one request: the first may only return the
/// deficit.
const MAX_LOCAL_CALLS: u32 = 2;
/// Share of the tolerance for daemons that cannot reach an allocator.
const ISOLATED_SHARE: f64 = 0.05;
/// Time after which the state of a workspace without requests is dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// [`Policy`] that admits requests against leases of credits.
pub struct Leases {
    tolerance: Tolerance,
    members: Members,
    allocators: Allocators,
    workspaces: HashMap<Arc<str>, WorkspaceLeases>,
    /// Workspaces with leases, waiting requests or credits to return.
    active: HashSet<Arc<str>>,
    /// Allocators that did not answer, with the end of their backoff.
    unreachable: HashMap<Arc<str>, Timestamp>,
    last_sweep: Timestamp,
}

impl Leases {
    /// Creates the policy of one daemon.
    pub fn new(tolerance: Tolerance, members: Members) -> Leases {
        Leases {
            tolerance,
            members,
            allocators: Allocators::new(tolerance),
            workspaces: HashMap::new(),
            active: HashSet::new(),
            unreachable: HashMap::new(),
            last_sweep: Timestamp::default(),
        }
    }

    /// Updates the state of a workspace before a request is admitted.
    fn prepare(
        &mut self,
        now: Timestamp,
        workspace: &Arc<str>,
        quota: Quota,
    ) -> &mut WorkspaceLeases {
        let leases = self.workspaces.entry(workspace.clone()).or_default();
        leases.last_request = now;
        leases.quota = Some(quota.into());
        if leases.allocators.is_empty() {
            let count = allocators::count(&self.members, &self.tolerance, quota);
            leases.allocators = self.members.allocators(workspace, count);
            leases.deficits.clear();
            let size = allocators::size(&self.members, &self.tolerance, quota);
            leases.allocator_per_second = size.per_second;
            leases.max_deficit = allocators::max_deficit(&self.members, &self.tolerance, quota);
            let max_rank = (ISOLATED_SHARE * self.tolerance.max_excess(quota)) as usize;
            leases.may_run_isolated = self.members.is_ranked_within(workspace, max_rank);
        }
        for allocator in &leases.allocators {
            let Some(until) = self.unreachable.get(allocator).filter(|until| **until > now) else {
                continue;
            };
            let covered = leases.backoffs.get(allocator).is_some_and(|b| b.until >= *until);
            if !covered {
                leases.backoffs.insert(
                    allocator.clone(),
                    Backoff { until: *until, received_at: now, unavailable: true },
                );
            }
        }
        leases
    }

    /// Calls the allocator on this host directly, without a batch.
    fn ask_local(&mut self, now: Timestamp, workspace: &Arc<str>, requests: u32) {
        let local = self.members.own.host.clone();
        let Some(leases) = self.workspaces.get_mut(workspace) else { return };
        let prefetch = leases.demand.within_lease(now);
        let Some(line) = leases.line(now, workspace, &local) else { return };
        let answer = self.allocators.answer(
            now,
            &self.members,
            &LeaseRequest { requests, prefetch, ..line },
        );
        record_answer(leases, now, now, &local, answer);
    }

    /// Admits a request without a lease while an allocator is unavailable: few daemons may, once
    /// per window each.
    fn run_isolated(&mut self, now: Timestamp, workspace: &Arc<str>) -> Option<Decision> {
        let window = self.tolerance.window;
        let leases = self.workspaces.get_mut(workspace)?;
        let ran = leases.ran_isolated_at.is_some_and(|at| now.since(at) <= window);
        if !leases.may_run_isolated || ran || !leases.is_out_of_reach(now) {
            return None;
        }
        leases.ran_isolated_at = Some(now);
        Some(Decision::Run(Charge { workspace: workspace.clone(), allocator: None }))
    }

    /// Returns the line that requests credits for a workspace, if one is due.
    fn next_line(
        &mut self,
        now: Timestamp,
        workspace: &Arc<str>,
    ) -> Option<(Arc<str>, LeaseRequest)> {
        let local = self.members.own.host.clone();
        let leases = self.workspaces.get_mut(workspace)?;
        leases.expire(now);
        if leases.in_flight {
            return None;
        }
        let prefetch = leases.demand.within_lease(now).saturating_sub(leases.credits());
        let wants_prefetch = prefetch > leases.credits() && leases.prefetch_from <= now;
        let due = leases.waiting > 0 || wants_prefetch;
        let allocator = leases.next_allocator(now).filter(|_| due)?.clone();
        if allocator == local {
            leases.prefetch_from = now + PREFETCH_INTERVAL;
            let waiting = std::mem::take(&mut leases.waiting);
            self.ask_local(now, workspace, waiting);
            return None;
        }
        let line = leases.line(now, workspace, &allocator)?;
        leases.in_flight = true;
        leases.prefetch_from = now + PREFETCH_INTERVAL;
        let requests = leases.waiting;
        Some((allocator, LeaseRequest { requests, prefetch, ..line }))
    }

    /// Returns the lines that only return unused credits.
    fn returning_lines(
        &mut self,
        now: Timestamp,
        workspace: &Arc<str>,
    ) -> Vec<(Arc<str>, LeaseRequest)> {
        let local = &self.members.own.host;
        let Some(leases) = self.workspaces.get_mut(workspace) else { return Vec::new() };
        let mut lines = Vec::new();
        let allocators: Vec<Arc<str>> = leases.unused.keys().cloned().collect();
        for allocator in allocators {
            let Some(line) = leases.line(now, workspace, &allocator) else { continue };
            if allocator == *local {
                self.allocators.answer(now, &self.members, &line);
            } else {
                lines.push((allocator, line));
            }
        }
        lines
    }

    fn sweep(&mut self, now: Timestamp) {
        self.allocators.sweep(now);
        if now.since(self.last_sweep) < IDLE_TIMEOUT {
            return;
        }
        self.last_sweep = now;
        self.workspaces
            .retain(|_, leases| !leases.is_idle() || now.since(leases.last_request) < IDLE_TIMEOUT);
        self.unreachable.retain(|_, until| *until > now);
    }
}

impl Policy for Leases {
    fn set_members(&mut self, now: Timestamp, members: &Members) {
        if self.members == *members {
            return;
        }
        self.members = members.clone();
        self.allocators.on_members(now, members);
        for leases in self.workspaces.values_mut() {
            leases.allocators.clear();
            leases.backoffs.clear();
        }
    }

    fn set_quotas(&mut self, quotas: HashMap<Arc<str>, Quota>) {
        // The number of allocators may change, and backoffs may be due to the old quota.
        for leases in self.workspaces.values_mut() {
            leases.allocators.clear();
            leases.backoffs.clear();
        }
        self.allocators.set_quotas(quotas);
    }

    fn admit(&mut self, now: Timestamp, workspace: &Arc<str>, quota: Quota, turn: Try) -> Decision {
        let local = self.members.own.host.clone();
        self.active.insert(workspace.clone());
        let leases = self.prepare(now, workspace, quota);
        if turn == Try::First {
            leases.demand.record(now);
        }
        leases.expire(now);
        for _ in 0..MAX_LOCAL_CALLS {
            let Some(leases) = self.workspaces.get(workspace) else { break };
            if leases.credits() == 0 && leases.next_allocator(now) == Some(&local) {
                self.ask_local(now, workspace, 1);
            }
        }
        let Some(leases) = self.workspaces.get_mut(workspace) else { return Decision::Wait };
        if let Some(allocator) = leases.take(now) {
            return Decision::Run(Charge {
                workspace: workspace.clone(),
                allocator: Some(allocator),
            });
        }
        if leases.in_flight || leases.next_allocator(now).is_some() {
            leases.waiting += 1;
            return Decision::Wait;
        }
        let over = leases.over(now);
        self.run_isolated(now, workspace).unwrap_or(Decision::Refuse(over))
    }

    fn give_back(&mut self, _now: Timestamp, charge: &Charge) {
        let Some(allocator) = &charge.allocator else { return };
        let Some(leases) = self.workspaces.get_mut(&charge.workspace) else { return };
        *leases.unused.entry(allocator.clone()).or_default() += 1;
        self.active.insert(charge.workspace.clone());
    }

    fn outgoing(&mut self, now: Timestamp) -> Vec<(Arc<str>, LeaseBatch)> {
        let mut batches: BTreeMap<Arc<str>, LeaseBatch> = BTreeMap::new();
        let mut active: Vec<Arc<str>> = self.active.iter().cloned().collect();
        active.sort();
        for workspace in active {
            let requesting = self.next_line(now, &workspace);
            let returning = self.returning_lines(now, &workspace);
            for (allocator, line) in requesting.into_iter().chain(returning) {
                batches.entry(allocator).or_default().lines.push(line);
            }
            if self.workspaces.get(&workspace).is_none_or(WorkspaceLeases::is_idle) {
                self.active.remove(&workspace);
            }
        }
        self.sweep(now);
        batches.into_iter().collect()
    }

    fn answer(&mut self, now: Timestamp, batch: &LeaseBatch) -> LeaseReply {
        let (allocators, members) = (&mut self.allocators, &self.members);
        let answers =
            batch.lines.iter().map(|line| allocators.answer(now, members, line)).collect();
        LeaseReply { answers }
    }

    fn on_reply(
        &mut self,
        now: Timestamp,
        sent: Timestamp,
        allocator: &Arc<str>,
        batch: &LeaseBatch,
        reply: Option<&LeaseReply>,
    ) {
        if reply.is_none() {
            self.unreachable.insert(allocator.clone(), now + UNREACHABLE_BACKOFF);
        }
        for (n, line) in batch.lines.iter().enumerate() {
            if line.requests == 0 && line.prefetch == 0 {
                continue;
            }
            let Some(leases) = self.workspaces.get_mut(&line.workspace) else { continue };
            leases.in_flight = false;
            leases.waiting = 0;
            match reply.and_then(|reply| reply.answers.get(n)) {
                Some(answer) => record_answer(leases, now, sent, allocator, *answer),
                None => {
                    let backoff = Backoff {
                        until: now + UNREACHABLE_BACKOFF,
                        received_at: now,
                        unavailable: true,
                    };
                    leases.backoffs.insert(allocator.clone(), backoff);
                }
            }
        }
    }
}

/// Records the answer to a line of a batch that was sent at `sent`.
fn record_answer(
    leases: &mut WorkspaceLeases,
    now: Timestamp,
    sent: Timestamp,
    allocator: &Arc<str>,
    answer: LeaseAnswer,
) {
    let backoff = match answer {
        LeaseAnswer::Granted { credits, deficit } => {
            leases.backoffs.remove(allocator);
            leases
                .deficits
                .insert(allocator.clone(), Deficit { credits: deficit, received_at: now });
            if credits > 0 {
                leases.add(allocator, credits, sent);
            }
            return;
        }
        LeaseAnswer::RetryAfterMs(ms) => {
            let until = now + Duration::from_millis(ms.into());
            Backoff { until, received_at: now, unavailable: false }
        }
        LeaseAnswer::NotAllocator => {
            Backoff { until: now + NOT_ALLOCATOR_BACKOFF, received_at: now, unavailable: true }
        }
    };
    leases.backoffs.insert(allocator.clone(), backoff);
}
