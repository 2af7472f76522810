//! Leases: a workspace has a home in each failure domain, which holds a part of its quota and lends it out.
//!
//! No sum over daemons is needed for the bound: the parts add up to the quota, and each home counts what it has lent.
//! A daemon asks the home of its own failure domain first, and the others only for what that one lacks.

use super::allocators::{self, Homes};
use super::workspace_leases::{Backoff, Deficit, Lent};
use super::{
    Charge, LeaseAnswer, LeaseBatch, LeaseRequest, Members, Policy, Reply, Tolerance, Try, Verdict,
};
use crate::units::Timestamp;
use crate::workspaces::Quota;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// Time for which a home that gave no answer is not asked: a request would wait for it each time.
const SILENT_FOR: Duration = Duration::from_secs(1);
/// Time between two questions for nothing but credits in advance: what was not lent just now is hardly lent at once.
const AHEAD_EVERY: Duration = Duration::from_millis(250);
/// Time for which a daemon that is no home is not asked: it may hold another revision.
const NOT_HOME_FOR: Duration = Duration::from_millis(100);
/// Questions to the home on this host for one request: the first may only tell what it lacks.
const OWN_ASKS: u32 = 2;
/// Part of the room beyond a quota that daemons may use which reach no home.
const ISOLATED_SHARE: f64 = 0.05;
/// Time after which a workspace is forgotten that nobody asked for.
const IDLE: Duration = Duration::from_secs(60);

/// The policy.
pub struct Leases {
    tolerance: Tolerance,
    members: Members,
    homes: Homes,
    lent: HashMap<Arc<str>, Lent>,
    /// Workspaces with leases, or with something to tell.
    active: HashSet<Arc<str>>,
    /// Homes that gave no answer, until when they are not asked.
    silent: HashMap<Arc<str>, Timestamp>,
    swept: Timestamp,
}

impl Leases {
    /// Creates the policy of one daemon.
    pub fn new(tolerance: Tolerance, members: Members) -> Leases {
        Leases {
            tolerance,
            members,
            homes: Homes::new(tolerance),
            lent: HashMap::new(),
            active: HashSet::new(),
            silent: HashMap::new(),
            swept: Timestamp::default(),
        }
    }

    fn prepare(&mut self, now: Timestamp, workspace: &Arc<str>, quota: Quota) -> &mut Lent {
        let lent = self.lent.entry(workspace.clone()).or_default();
        lent.seen = now;
        lent.quota = Some(quota.into());
        if lent.homes.is_empty() {
            let count = allocators::count(&self.members, &self.tolerance, quota);
            lent.homes = self.members.homes(workspace, count);
            lent.lacked.clear();
            let size = allocators::size(&self.members, &self.tolerance, quota);
            lent.home_per_second = size.per_second;
            lent.lacks_at_most = allocators::lacks_at_most(&self.members, &self.tolerance, quota);
            let places = (ISOLATED_SHARE * self.tolerance.room(quota)) as usize;
            lent.has_place = self.members.has_place(workspace, places);
        }
        for home in &lent.homes {
            let Some(until) = self.silent.get(home).filter(|until| **until > now) else { continue };
            let known = lent.said.get(home).is_some_and(|said| said.until >= *until);
            if !known {
                lent.said.insert(home.clone(), Backoff { until: *until, at: now, away: true });
            }
        }
        lent
    }

    /// Asks the home on this host, which takes no batch.
    fn ask_own(&mut self, now: Timestamp, workspace: &Arc<str>, requests: u32) {
        let own = self.members.own.host.clone();
        let Some(lent) = self.lent.get_mut(workspace) else { return };
        let ahead = lent.demand.in_a_life(now);
        let Some(line) = lent.line(now, workspace, &own) else { return };
        let word = self.homes.answer(now, &self.members, &LeaseRequest { requests, ahead, ..line });
        take_word(lent, now, now, &own, word);
    }

    /// Runs a request on the word of no home: a few daemons may, once in a window each.
    fn alone(&mut self, now: Timestamp, workspace: &Arc<str>) -> Option<Verdict> {
        let window = self.tolerance.window;
        let lent = self.lent.get_mut(workspace)?;
        let spent = lent.ran_alone.is_some_and(|at| now.since(at) <= window);
        if !lent.has_place || spent || !lent.is_out_of_reach(now) {
            return None;
        }
        lent.ran_alone = Some(now);
        Some(Verdict::Run(Charge { workspace: workspace.clone(), home: None }))
    }

    fn next_line(
        &mut self,
        now: Timestamp,
        workspace: &Arc<str>,
    ) -> Option<(Arc<str>, LeaseRequest)> {
        let own = self.members.own.host.clone();
        let lent = self.lent.get_mut(workspace)?;
        lent.lapse(now);
        if lent.asking {
            return None;
        }
        let ahead = lent.demand.in_a_life(now).saturating_sub(lent.credits());
        let wants_ahead = ahead > lent.credits() && lent.ahead_from <= now;
        let wants = lent.waiting > 0 || wants_ahead;
        let home = lent.next_home(now).filter(|_| wants)?.clone();
        if home == own {
            lent.ahead_from = now + AHEAD_EVERY;
            let waiting = std::mem::take(&mut lent.waiting);
            self.ask_own(now, workspace, waiting);
            return None;
        }
        let line = lent.line(now, workspace, &home)?;
        lent.asking = true;
        lent.ahead_from = now + AHEAD_EVERY;
        let requests = lent.waiting;
        Some((home, LeaseRequest { requests, ahead, ..line }))
    }

    /// Returns what is given back to homes that are asked for nothing.
    fn lines_back(
        &mut self,
        now: Timestamp,
        workspace: &Arc<str>,
    ) -> Vec<(Arc<str>, LeaseRequest)> {
        let own = &self.members.own.host;
        let Some(lent) = self.lent.get_mut(workspace) else { return Vec::new() };
        let mut lines = Vec::new();
        let homes: Vec<Arc<str>> = lent.back.keys().cloned().collect();
        for home in homes {
            let Some(line) = lent.line(now, workspace, &home) else { continue };
            if home == *own {
                self.homes.answer(now, &self.members, &line);
            } else {
                lines.push((home, line));
            }
        }
        lines
    }

    fn sweep(&mut self, now: Timestamp) {
        self.homes.sweep(now);
        if now.since(self.swept) < IDLE {
            return;
        }
        self.swept = now;
        self.lent.retain(|_, lent| !lent.is_idle() || now.since(lent.seen) < IDLE);
        self.silent.retain(|_, until| *until > now);
    }
}

impl Policy for Leases {
    fn set_members(&mut self, now: Timestamp, members: &Members) {
        if self.members == *members {
            return;
        }
        self.members = members.clone();
        self.homes.on_members(now, members);
        for lent in self.lent.values_mut() {
            lent.homes.clear();
            lent.said.clear();
        }
    }

    fn set_quotas(&mut self, quotas: HashMap<Arc<str>, Quota>) {
        // Another quota may have another number of homes, and what was said of the old one may hold no longer.
        for lent in self.lent.values_mut() {
            lent.homes.clear();
            lent.said.clear();
        }
        self.homes.set_quotas(quotas);
    }

    fn admit(&mut self, now: Timestamp, workspace: &Arc<str>, quota: Quota, turn: Try) -> Verdict {
        let own = self.members.own.host.clone();
        self.active.insert(workspace.clone());
        let lent = self.prepare(now, workspace, quota);
        if turn == Try::First {
            lent.demand.note(now);
        }
        lent.lapse(now);
        for _ in 0..OWN_ASKS {
            let Some(lent) = self.lent.get(workspace) else { break };
            if lent.credits() == 0 && lent.next_home(now) == Some(&own) {
                self.ask_own(now, workspace, 1);
            }
        }
        let Some(lent) = self.lent.get_mut(workspace) else { return Verdict::Wait };
        if let Some(home) = lent.take(now) {
            return Verdict::Run(Charge { workspace: workspace.clone(), home: Some(home) });
        }
        if lent.asking || lent.next_home(now).is_some() {
            lent.waiting += 1;
            return Verdict::Wait;
        }
        let over = lent.over(now);
        self.alone(now, workspace).unwrap_or(Verdict::Over(over))
    }

    fn give_back(&mut self, _now: Timestamp, charge: &Charge) {
        let Some(home) = &charge.home else { return };
        let Some(lent) = self.lent.get_mut(&charge.workspace) else { return };
        *lent.back.entry(home.clone()).or_default() += 1;
        self.active.insert(charge.workspace.clone());
    }

    fn outgoing(&mut self, now: Timestamp) -> Vec<(Arc<str>, LeaseBatch)> {
        let mut batches: BTreeMap<Arc<str>, LeaseBatch> = BTreeMap::new();
        let mut active: Vec<Arc<str>> = self.active.iter().cloned().collect();
        active.sort();
        for workspace in active {
            let asked = self.next_line(now, &workspace);
            let given = self.lines_back(now, &workspace);
            for (home, line) in asked.into_iter().chain(given) {
                batches.entry(home).or_default().lines.push(line);
            }
            if self.lent.get(&workspace).is_none_or(Lent::is_idle) {
                self.active.remove(&workspace);
            }
        }
        self.sweep(now);
        batches.into_iter().collect()
    }

    fn answer(&mut self, now: Timestamp, batch: &LeaseBatch) -> Reply {
        let (homes, members) = (&mut self.homes, &self.members);
        let words = batch.lines.iter().map(|line| homes.answer(now, members, line)).collect();
        Reply { words }
    }

    fn replied(
        &mut self,
        now: Timestamp,
        sent: Timestamp,
        home: &Arc<str>,
        batch: &LeaseBatch,
        reply: Option<&Reply>,
    ) {
        if reply.is_none() {
            self.silent.insert(home.clone(), now + SILENT_FOR);
        }
        for (n, line) in batch.lines.iter().enumerate() {
            if line.requests == 0 && line.ahead == 0 {
                continue;
            }
            let Some(lent) = self.lent.get_mut(&line.workspace) else { continue };
            lent.asking = false;
            lent.waiting = 0;
            match reply.and_then(|reply| reply.words.get(n)) {
                Some(word) => take_word(lent, now, sent, home, *word),
                None => {
                    let said = Backoff { until: now + SILENT_FOR, at: now, away: true };
                    lent.said.insert(home.clone(), said);
                }
            }
        }
    }
}

fn take_word(lent: &mut Lent, now: Timestamp, sent: Timestamp, home: &Arc<str>, word: LeaseAnswer) {
    let said = match word {
        LeaseAnswer::Granted { credits, lacking } => {
            lent.said.remove(home);
            lent.lacked.insert(home.clone(), Deficit { credits: lacking, at: now });
            if credits > 0 {
                lent.put(home, credits, sent);
            }
            return;
        }
        LeaseAnswer::OverForMs(ms) => {
            let until = now + Duration::from_millis(ms.into());
            Backoff { until, at: now, away: false }
        }
        LeaseAnswer::NotHome => Backoff { until: now + NOT_HOME_FOR, at: now, away: true },
    };
    lent.said.insert(home.clone(), said);
}
