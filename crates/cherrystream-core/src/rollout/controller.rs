//! Decides the steps of roll-outs: the exposure of the canary, and when it is completed or rolled
//! back.
//!
//! Every replica runs the controller, so that a new leader knows how long a roll-out has been in
//! progress; only the steps of the leader are committed. A new leader receives all counts within
//! one heartbeat interval.

use super::counts::CountsDelta;
use super::evaluation::Evaluator;
use super::{is_in_progress, live_instances};
use crate::units::Timestamp;
use cherrystream_schema::messages::{
    Change, HostTally, KindTally, Rollout, RolloutStage, Shared, VersionTally,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Share of the allowed time after which a canary without regression gets all requests. The rest of
/// the time serves to drain the old backend servers.
const MOVE_AT_SHARE: f64 = 0.75;
/// Share of the allowed time by which the roll-out is completed, in time for its acknowledgement.
const COMPLETE_BY_SHARE: f64 = 0.92;
/// Shortest time between the move and the completion. The old backend servers stop at completion,
/// after the requests sent before the last daemon received the step have finished.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(1_500);
/// Slots of the canary, as a share of those of the old versions, that suffice for all requests.
const MIN_SLOT_SHARE: f64 = 0.5;
/// Responses of the canary required before it gets all requests.
const MIN_CANARY_ANSWERS: f64 = 30.0;
/// Largest exposure used to obtain these responses.
const MAX_EVIDENCE_EXPOSURE: f64 = 0.5;
/// Share of the allowed requests that is used. The rest is for requests not yet reported.
const USED_LIMIT_SHARE: f64 = 0.7;
/// Smallest relative change of the exposure that is committed as a step.
const MIN_RELATIVE_STEP: f64 = 0.2;

/// Exposure by the elapsed share of the allowed time.
const SCHEDULE: [(f64, f64); 2] = [(0.0, 0.02), (0.15, 0.05)];

/// Bounds on the requests sent to a canary.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Share of the requests of the service since the start of the roll-out.
    pub share: f64,
    /// Number of requests allowed in addition.
    pub slack: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { share: 0.1, slack: 50.0 }
    }
}

/// The current time on both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// Monotonic clock of this process.
    pub now: Timestamp,
    /// Unix milliseconds, used when this process first sees a roll-out.
    pub unix_ms: u64,
}

/// Controls the roll-outs in progress.
#[derive(Debug, Default)]
pub struct Controller {
    limits: Limits,
    active: BTreeMap<String, ActiveRollout>,
}

#[derive(Debug)]
struct ActiveRollout {
    version: String,
    started_at_ms: u64,
    /// Time that had elapsed at `seen_at`.
    elapsed_before: Duration,
    seen_at: Timestamp,
    moved_at: Option<Timestamp>,
    evaluator: Evaluator,
    hosts: BTreeMap<String, HostReport>,
    /// Responses of the canary since the start.
    canary: u64,
    /// Responses of the old versions since the start.
    old: u64,
}

/// The last report of a daemon.
#[derive(Debug)]
struct HostReport {
    incarnation: u64,
    instance: String,
    received_at: Timestamp,
    is_canary: bool,
    in_flight: u32,
    kinds: BTreeMap<String, KindTally>,
}

impl Controller {
    /// Creates a controller without roll-outs.
    pub fn new(limits: Limits) -> Controller {
        Controller { limits, active: BTreeMap::new() }
    }

    /// Handles the counts of a daemon. They are cumulative, so repeated reports count once.
    pub fn on_tally(&mut self, now: Timestamp, report: &HostTally) {
        let tally = &report.tally;
        let known = self.active.get_mut(&tally.service);
        if let Some(active) = known.filter(|known| known.started_at_ms == tally.started_at_ms) {
            active.on_tally(now, report);
        }
    }

    /// Follows the roll-outs of the shared state; returns the steps that are due.
    pub fn decide(&mut self, at: Moment, shared: &Shared) -> Vec<Change> {
        let known = &shared.config.rollouts;
        let is_current = |service: &String, active: &mut ActiveRollout| {
            known.get(service).is_some_and(|r| is_in_progress(r) && active.is_of(r))
        };
        self.active.retain(is_current);
        let due = |(service, rollout): (&String, &Rollout)| {
            let begin = || ActiveRollout::new(at, rollout);
            let active = self.active.entry(service.clone()).or_insert_with(begin);
            let slots = Slots::of(shared, service, rollout);
            let step = active.decide(at.now, rollout, slots, self.limits)?;
            Some(step.change(service, rollout))
        };
        known.iter().filter(|(_, rollout)| is_in_progress(rollout)).filter_map(due).collect()
    }
}

struct Step {
    stage: RolloutStage,
    exposure_milli: u32,
    reason: String,
}

impl Step {
    fn change(self, service: &str, rollout: &Rollout) -> Change {
        Change::StepRollout {
            service: service.into(),
            version: rollout.version.clone(),
            started_at_ms: rollout.started_at_ms,
            stage: self.stage,
            exposure_milli: self.exposure_milli,
            reason: self.reason,
        }
    }

    fn roll_back(reason: String) -> Option<Step> {
        Some(Step { stage: RolloutStage::RolledBack, exposure_milli: 0, reason })
    }
}

/// Slots of live backend servers of the canary and the old versions.
#[derive(Clone, Copy, Debug, Default)]
struct Slots {
    canary: u32,
    old: u32,
}

impl Slots {
    fn of(shared: &Shared, service: &str, rollout: &Rollout) -> Slots {
        let mut slots = Slots::default();
        for instance in live_instances(shared, service) {
            match instance.version == rollout.version {
                true => slots.canary += instance.slots,
                false => slots.old += instance.slots,
            }
        }
        slots
    }

    fn are_sufficient(self) -> bool {
        self.canary > 0 && f64::from(self.canary) >= MIN_SLOT_SHARE * f64::from(self.old)
    }
}

impl ActiveRollout {
    fn new(at: Moment, rollout: &Rollout) -> ActiveRollout {
        let elapsed_ms = at.unix_ms.saturating_sub(rollout.started_at_ms).min(rollout.within_ms);
        ActiveRollout {
            version: rollout.version.clone(),
            started_at_ms: rollout.started_at_ms,
            elapsed_before: Duration::from_millis(elapsed_ms),
            seen_at: at.now,
            moved_at: None,
            evaluator: Evaluator::default(),
            hosts: BTreeMap::new(),
            canary: 0,
            old: 0,
        }
    }

    fn is_of(&self, rollout: &Rollout) -> bool {
        self.version == rollout.version && self.started_at_ms == rollout.started_at_ms
    }

    fn on_tally(&mut self, now: Timestamp, report: &HostTally) {
        let HostTally { host, incarnation, tally } = report;
        let known = self.hosts.get(host);
        let same = known.filter(|h| h.incarnation == *incarnation && h.instance == tally.run);
        let is_canary = tally.version == self.version;
        let deltas: Vec<(String, CountsDelta)> = tally
            .kinds
            .iter()
            .map(|(kind, now)| {
                let before = same.and_then(|host| host.kinds.get(kind));
                (kind.clone(), CountsDelta::since(now, before))
            })
            .collect();
        self.evaluator.decay(now);
        deltas.iter().for_each(|(kind, delta)| self.count(&tally.run, is_canary, kind, delta));
        self.hosts.insert(host.clone(), HostReport::new(now, *incarnation, is_canary, tally));
    }

    fn count(&mut self, instance: &str, is_canary: bool, kind: &str, delta: &CountsDelta) {
        match is_canary {
            true => {
                self.canary += delta.answered;
                self.evaluator.on_canary(instance, kind, delta);
            }
            false => {
                self.old += delta.answered;
                self.evaluator.on_baseline(kind, delta);
            }
        }
    }

    fn decide(
        &mut self,
        now: Timestamp,
        rollout: &Rollout,
        slots: Slots,
        limits: Limits,
    ) -> Option<Step> {
        self.evaluator.decay(now);
        if let Some(finding) = self.evaluator.finding() {
            return Step::roll_back(finding.to_string());
        }
        match rollout.stage {
            RolloutStage::Trying => self.advance_canary(now, rollout, slots, limits),
            _ => self.complete(now, rollout, slots),
        }
    }

    fn advance_canary(
        &mut self,
        now: Timestamp,
        rollout: &Rollout,
        slots: Slots,
        limits: Limits,
    ) -> Option<Step> {
        let elapsed = self.elapsed(now, rollout);
        if elapsed >= MOVE_AT_SHARE && slots.are_sufficient() {
            let reason =
                format!("no regression in {} of {} responses", self.canary, self.canary + self.old);
            return Some(Step { stage: RolloutStage::Moving, exposure_milli: 1_000, reason });
        }
        if elapsed >= 1.0 {
            let (canary, old) = (slots.canary, slots.old);
            let what = format!(
                "its backend servers had {canary} slots at the deadline, the old ones {old}"
            );
            return Step::roll_back(what);
        }
        let target = match slots.canary {
            0 => 0.0,
            _ => self.exposure(now, rollout, limits),
        };
        let current = f64::from(rollout.exposure_milli) / 1_000.0;
        let is_toggled = (target == 0.0) != (current == 0.0);
        let is_step =
            is_toggled || (target - current).abs() > MIN_RELATIVE_STEP * current.max(target);
        let reason = format!("{} of {} responses", self.canary, self.canary + self.old);
        let exposure_milli = (target * 1_000.0).ceil() as u32;
        is_step.then_some(Step { stage: RolloutStage::Trying, exposure_milli, reason })
    }

    /// Returns the share of requests sent to the canary while it is evaluated.
    fn exposure(&self, now: Timestamp, rollout: &Rollout, limits: Limits) -> f64 {
        let elapsed = self.elapsed(now, rollout);
        let all = (self.canary + self.old) as f64;
        let allowed = limits.share * all + limits.slack;
        if self.canary as f64 >= USED_LIMIT_SHARE * allowed {
            return 0.0;
        }
        let due = SCHEDULE.iter().rev().find(|(from, _)| elapsed >= *from);
        let due = due.map_or(0.0, |(_, exposure)| *exposure);
        let remaining = (MOVE_AT_SHARE - elapsed).max(0.0) / elapsed.max(0.01);
        let expected = all * remaining;
        let missing = (MIN_CANARY_ANSWERS - self.canary as f64).max(0.0);
        let for_evidence = (missing / expected.max(1.0)).min(MAX_EVIDENCE_EXPOSURE);
        // The first exposure stays small even if responses are lacking.
        let is_past_first = elapsed >= SCHEDULE[1].0;
        if is_past_first { due.max(for_evidence) } else { due }
    }

    fn complete(&mut self, now: Timestamp, rollout: &Rollout, slots: Slots) -> Option<Step> {
        let moved_at = *self.moved_at.get_or_insert(now);
        if slots.canary == 0 {
            return Step::roll_back("none of its backend servers is live".into());
        }
        let moved_for = now.since(moved_at);
        let old = self.hosts.values().filter(|host| !host.is_canary);
        let is_idle = |host: &HostReport| host.in_flight == 0 && host.received_at > moved_at;
        let is_drained = moved_for >= MIN_DRAIN_TIME && old.clone().all(is_idle);
        let is_due = self.elapsed(now, rollout) >= COMPLETE_BY_SHARE && moved_for >= MIN_DRAIN_TIME;
        let reason =
            format!("no regression in {} of {} responses", self.canary, self.canary + self.old);
        let step = Step { stage: RolloutStage::Completed, exposure_milli: 1_000, reason };
        (is_drained || is_due).then_some(step)
    }

    /// Returns the elapsed share of the allowed time.
    fn elapsed(&self, now: Timestamp, rollout: &Rollout) -> f64 {
        let elapsed = self.elapsed_before + now.since(self.seen_at);
        elapsed.as_secs_f64() / Duration::from_millis(rollout.within_ms.max(1)).as_secs_f64()
    }
}

impl HostReport {
    fn new(now: Timestamp, incarnation: u64, is_canary: bool, tally: &VersionTally) -> HostReport {
        HostReport {
            incarnation,
            instance: tally.run.clone(),
            received_at: now,
            is_canary,
            in_flight: tally.at_work,
            kinds: tally.kinds.clone(),
        }
    }
}
