//! Decides the steps of roll-outs: the exposure of the canary, and when it is completed or rolled
//! back.
//!
//! Every replica runs the controller, so that a new leader knows how long a roll-out has been in
//! progress; only the steps of the leader are committed. A new leader receives all counts within
//! one heartbeat interval.

use super::counts::CountsDelta;
use super::evaluation::Evaluator;
use super::forecast::{COMMIT_TIME, DECISION_INTERVAL, Forecast};
use super::{is_in_progress, live_instances};
use crate::units::Timestamp;
use cherrystream_schema::messages::{
    Change, HostTally, KindTally, Rollout, RolloutStage, Shared, VersionTally,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Share of the allowed time after which a canary without regression may get all requests.
const MOVE_AT_SHARE: f64 = 0.75;
/// Time in which a committed step is received by the daemons: a heartbeat interval, in case that a
/// subscription is interrupted, and the way.
const DELIVERY_TIME: Duration = Duration::from_millis(500);
/// Time assumed for the longest requests in flight while no response has been reported.
const DEFAULT_LONGEST_TIME: Duration = Duration::from_millis(800);
/// Longest time for which the completion waits for requests at the old backend servers.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(3);
/// Time for the completion to be read before the deadline.
const ACK_TIME: Duration = Duration::from_millis(100);
/// Interval at which daemons report their counts.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Slots of the canary, as a share of those of the old versions, that suffice for all requests.
const MIN_SLOT_SHARE: f64 = 0.5;
/// Smallest relative change of the exposure that is committed as a step.
const MIN_RELATIVE_STEP: f64 = 0.2;

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
    /// Drain time at the decision to move. Later responses must not delay the completion beyond the
    /// deadline.
    planned_drain_time: Option<Duration>,
    moved: Option<Move>,
    evaluator: Evaluator,
    hosts: BTreeMap<String, HostReport>,
    /// Responses of the canary since the start.
    canary: u64,
    /// Responses of the old versions since the start.
    old: u64,
}

/// The move of all requests to the canary.
#[derive(Clone, Copy, Debug)]
struct Move {
    at: Timestamp,
    drain_time: Duration,
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
            planned_drain_time: None,
            moved: None,
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
        let forecast = self.forecast(now, rollout, limits);
        let reason = format!("no regression in {} of {} responses", self.canary, self.total());
        let is_late = forecast.left < forecast.time_to_complete;
        match self.evaluator.suspicion() {
            Some(finding) if is_late && slots.are_sufficient() => {
                let what =
                    format!("{finding}: possibly by chance, but it had no time to show that");
                return Step::roll_back(what);
            }
            None if slots.are_sufficient() && self.may_move(now, rollout, &forecast) => {
                self.planned_drain_time = Some(self.drain_time_within(forecast.left));
                return Some(Step { stage: RolloutStage::Moving, exposure_milli: 1_000, reason });
            }
            _ => {}
        }
        if forecast.left.is_zero() {
            return Step::roll_back(self.why_not_moved(slots));
        }
        let target = match slots.canary {
            0 => 0.0,
            _ => forecast.exposure(self.elapsed(now, rollout)),
        };
        let current = exposure_of(rollout);
        let is_toggled = (target == 0.0) != (current == 0.0);
        let is_step =
            is_toggled || (target - current).abs() > MIN_RELATIVE_STEP * current.max(target);
        let reason = format!("{} of {} responses", self.canary, self.total());
        let exposure_milli = (target * 1_000.0).ceil() as u32;
        is_step.then_some(Step { stage: RolloutStage::Trying, exposure_milli, reason })
    }

    fn why_not_moved(&self, slots: Slots) -> String {
        let Slots { canary, old } = slots;
        if slots.are_sufficient() {
            return format!("only {} of {} responses by the deadline", self.canary, self.total());
        }
        format!("its backend servers had {canary} slots at the deadline, the old ones {old}")
    }

    /// Returns whether the canary may get all requests. That is as soon as the requests until the
    /// deadline stay within the limit, so that even an undetected regression does; at the latest
    /// when the drain of the old backend servers has to begin.
    fn may_move(&self, now: Timestamp, rollout: &Rollout, forecast: &Forecast) -> bool {
        let is_last_moment = forecast.left < forecast.time_to_complete + DECISION_INTERVAL;
        let has_been_tried = self.elapsed(now, rollout) >= MOVE_AT_SHARE;
        let may_move = forecast.is_move_affordable() || is_last_moment && forecast.has_evidence();
        has_been_tried && may_move
    }

    /// Returns the time from the move to the acknowledgement of the completion.
    fn time_to_complete(&self) -> Duration {
        COMMIT_TIME + self.drain_time() + COMMIT_TIME + ACK_TIME
    }

    /// Returns the time from the move until the requests at the old backend servers have finished.
    fn drain_time(&self) -> Duration {
        let longest = self.evaluator.longest_baseline_time().unwrap_or(DEFAULT_LONGEST_TIME);
        (DELIVERY_TIME + longest).min(MAX_DRAIN_TIME)
    }

    /// Returns the drain time, shortened for a completion by the deadline if the move is late.
    fn drain_time_within(&self, left: Duration) -> Duration {
        let rest = left.saturating_sub(self.time_to_complete() - self.drain_time());
        self.drain_time().min(rest.max(DELIVERY_TIME))
    }

    fn forecast(&self, now: Timestamp, rollout: &Rollout, limits: Limits) -> Forecast {
        let elapsed = self.elapsed_time(now);
        let left = Duration::from_millis(rollout.within_ms).saturating_sub(elapsed);
        let per_second = self.total() as f64 / elapsed.max(REPORT_INTERVAL).as_secs_f64();
        let canaries = self.hosts.values().filter(|host| host.is_canary);
        let in_flight: u32 = canaries.map(|host| host.in_flight).sum();
        let unreported = per_second * exposure_of(rollout) * REPORT_INTERVAL.as_secs_f64();
        let expected = self.total() as f64 + per_second * left.as_secs_f64();
        Forecast {
            left,
            time_to_complete: self.time_to_complete(),
            per_second,
            answered: self.canary as f64,
            sent: self.canary as f64 + f64::from(in_flight) + unreported,
            limit: limits.share * expected + limits.slack,
        }
    }

    fn complete(&mut self, now: Timestamp, rollout: &Rollout, slots: Slots) -> Option<Step> {
        let drain_time = self.planned_drain_time.unwrap_or_else(|| self.drain_time());
        let moved = *self.moved.get_or_insert(Move { at: now, drain_time });
        if slots.canary == 0 {
            return Step::roll_back("none of its backend servers is live".into());
        }
        let moved_for = now.since(moved.at);
        let mut old = self.hosts.values().filter(|host| !host.is_canary);
        let is_drained = old.all(|host| host.in_flight == 0 && host.received_at > moved.at);
        let within = Duration::from_millis(rollout.within_ms);
        let is_due = self.elapsed_time(now) + COMMIT_TIME + ACK_TIME >= within;
        if moved_for < moved.drain_time || !(is_drained || is_due) {
            return None;
        }
        if let Some(finding) = self.evaluator.suspicion() {
            let what =
                || Step::roll_back(format!("{finding}: possibly by chance, at the deadline"));
            return if is_due { what() } else { None };
        }
        let reason = format!("no regression in {} of {} responses", self.canary, self.total());
        Some(Step { stage: RolloutStage::Completed, exposure_milli: 1_000, reason })
    }

    /// Returns the responses of all versions since the start.
    fn total(&self) -> u64 {
        self.canary + self.old
    }

    fn elapsed_time(&self, now: Timestamp) -> Duration {
        self.elapsed_before + now.since(self.seen_at)
    }

    /// Returns the elapsed share of the allowed time.
    fn elapsed(&self, now: Timestamp, rollout: &Rollout) -> f64 {
        let within = Duration::from_millis(rollout.within_ms.max(1));
        self.elapsed_time(now).as_secs_f64() / within.as_secs_f64()
    }
}

/// Returns the share of requests that the last step sends to the canary.
fn exposure_of(rollout: &Rollout) -> f64 {
    f64::from(rollout.exposure_milli) / 1_000.0
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
