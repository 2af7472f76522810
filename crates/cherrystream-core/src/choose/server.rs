//! What an outbound knows of one backend server.

use super::refusals::Refusals;
use crate::slowness;
use crate::units::Timestamp;
use cherrystream_schema::messages::{Report, ServerState};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time after which a report has lost most of its worth.
const REPORT_WORTH: Duration = Duration::from_millis(200);
/// Time after which half of an error's weight is gone.
const ERROR_HALF_LIFE: Duration = Duration::from_secs(1);
/// Share of a new sample in the average time of an answer.
const LATENCY_SHARE: f64 = 0.1;
/// Weight of recent errors from which a backend server does not count as sound: that of two errors.
const SOUND_ERRORS: f64 = 0.15;
/// How much an all-errors backend server is made to look slower.
const ERROR_PENALTY: f64 = 20.0;
/// How much a stalled backend server is made to look slower.
const STALL_PENALTY: f64 = 8.0;
/// A request this many times older than usual is the sign of a stall.
const STALL_FACTOR: f64 = 5.0;
/// A request younger than this is never the sign of a stall.
const STALL_AT_LEAST: Duration = Duration::from_millis(15);
/// Time for which a report that a backend server takes no work is believed.
const CLOSED_WORTH: Duration = Duration::from_secs(2);
/// Time for which a backend server that refused for good reason is left alone.
const LEFT_ALONE: Duration = Duration::from_millis(500);

/// Slowness below which a backend server works about as usual, as a factor.
const AS_USUAL_BELOW: f64 = 1.3;

/// How far away a backend server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// On the host of this daemon.
    SameHost,
    /// In the failure domain of this daemon.
    SameDomain,
    /// In the region of this daemon.
    SameRegion,
    /// In another region.
    OtherRegion,
}

impl Distance {
    /// Returns what the way there and back is taken to cost.
    pub const fn cost(self) -> Duration {
        match self {
            Distance::SameHost => Duration::ZERO,
            Distance::SameDomain => Duration::from_micros(100),
            Distance::SameRegion => Duration::from_micros(1_500),
            Distance::OtherRegion => Duration::from_micros(30_000),
        }
    }
}

/// A backend server by the accepted configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerId {
    /// Its name.
    pub name: Arc<str>,
    /// Its host.
    pub host: Arc<str>,
    /// Its slots.
    pub slots: u32,
    /// How far away it is.
    pub distance: Distance,
    /// Whether its host is out or leaving.
    pub out: bool,
    /// What sending work to another failure domain is taken to cost beyond the way.
    pub crossing_cost: Duration,
    /// Start of its run, where it tells: of a later run nothing is known.
    pub born_ms: u64,
}

impl ServerId {
    pub(super) fn is_same_run(&self, other: &ServerId) -> bool {
        self.name == other.name && self.host == other.host && self.born_ms == other.born_ms
    }
}

/// What is known of a backend server.
#[derive(Debug)]
pub struct Server {
    pub(super) id: ServerId,
    report: Option<Report>,
    report_at: Timestamp,
    started_since_report: u32,
    in_flight: BTreeMap<u64, Timestamp>,
    latency: Duration,
    errors: f64,
    errors_at: Timestamp,
    left_alone_until: Timestamp,
    refusals: Refusals,
    next_call: u64,
}

/// A call on its way to a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sent(u64);

impl Server {
    pub(super) fn new(id: ServerId) -> Server {
        Server {
            id,
            report: None,
            report_at: Timestamp::default(),
            started_since_report: 0,
            in_flight: BTreeMap::new(),
            latency: Duration::from_millis(2),
            errors: 0.0,
            errors_at: Timestamp::default(),
            left_alone_until: Timestamp::default(),
            refusals: Refusals::default(),
            next_call: 0,
        }
    }

    /// Notes that a call is sent there.
    pub fn on_sent(&mut self, now: Timestamp) -> Sent {
        self.next_call += 1;
        self.started_since_report += 1;
        self.in_flight.insert(self.next_call, now);
        Sent(self.next_call)
    }

    /// Notes that a call has ended, however it ended.
    pub fn on_ended(&mut self, sent: Sent) {
        self.in_flight.remove(&sent.0);
    }

    /// Notes the time of a good answer.
    pub fn on_answer(&mut self, took: Duration) {
        let mean = self.latency.as_secs_f64();
        let mean = mean + LATENCY_SHARE * (took.as_secs_f64() - mean);
        self.latency = Duration::from_secs_f64(mean);
    }

    /// Notes a failed or broken answer. Its time is not taken as a sign of speed.
    pub fn on_error(&mut self, now: Timestamp) {
        self.errors = self.error_weight(now) * (1.0 - LATENCY_SHARE) + LATENCY_SHARE;
        self.errors_at = now;
    }

    /// Notes that the backend server or its host takes no work for now.
    pub fn on_closed(&mut self, now: Timestamp) {
        self.left_alone_until = now + LEFT_ALONE;
    }

    /// Notes that its inbound turned a request down for being busy, and for how long that may last.
    pub fn on_busy(&mut self, now: Timestamp, kind: &str, lasts: Duration) {
        self.refusals.on_busy(now, kind, lasts);
    }

    /// Notes that its inbound refused a request that could not wait for its turn, and for how long that
    /// may last.
    pub fn on_full(&mut self, now: Timestamp, kind: &str, lasts: Duration) {
        self.refusals.on_full(now, kind, lasts);
    }

    /// Returns whether an offer there would only be turned down.
    pub fn is_taken_for_busy(&self, now: Timestamp, kind: &str) -> bool {
        !self.refusals.busy_for(now, kind).is_zero()
    }

    /// Returns how long an offer there would only be turned down.
    pub fn is_taken_for_busy_for(&self, now: Timestamp, kind: &str) -> Duration {
        self.refusals.busy_for(now, kind)
    }

    /// Returns how long a request would only be refused there.
    pub fn is_taken_for_full_for(&self, now: Timestamp, kind: &str) -> Duration {
        self.refusals.full_for(now, kind)
    }

    /// Takes a report, unless a later one of the same incarnation is known.
    pub fn on_report(&mut self, now: Timestamp, report: Report) {
        let stale = self.report.as_ref().is_some_and(|old| {
            old.incarnation == report.incarnation && old.sequence > report.sequence
        });
        if !stale {
            let has_room = report.queued == 0 && report.in_flight < report.slots;
            if has_room && report.slowness <= slowness::NORMAL {
                self.refusals.on_room();
            }
            self.report = Some(report);
            self.report_at = now;
            self.started_since_report = 0;
        }
    }

    /// Returns the incarnation of its inbound, if known.
    pub fn incarnation(&self) -> Option<u64> {
        self.report.as_ref().map(|r| r.incarnation)
    }

    /// Returns whether it is worth sending work there.
    pub fn takes_work(&self, now: Timestamp) -> bool {
        let said_closed = self.report.as_ref().is_some_and(|r| r.state != ServerState::Live);
        // Its word is asked for anew from time to time: nobody tells that it is back.
        let lately = now.since(self.report_at) < CLOSED_WORTH;
        now >= self.left_alone_until && !(said_closed && lately)
    }

    /// Returns whether a request that waits there has its turn within a time, and is then served as
    /// usual.
    pub fn has_room_within(&self, now: Timestamp, kind: &str, within: Duration) -> bool {
        let full = !self.refusals.full_for(now, kind).is_zero();
        let as_usual = self.slowness(now) < AS_USUAL_BELOW && self.is_sound(now);
        !full && as_usual && self.refusals.busy_for(now, kind) <= within
    }

    /// Returns whether it is in the failure domain of this daemon.
    pub fn is_near(&self) -> bool {
        self.id.distance <= Distance::SameDomain
    }

    /// Returns whether it has answered lately without errors or a stall.
    pub fn is_sound(&self, now: Timestamp) -> bool {
        self.error_weight(now) < SOUND_ERRORS && !self.is_stalled(now)
    }

    /// Returns the number of this outbound's calls in flight there.
    pub fn own_in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the expected time of an answer in seconds, for comparison only.
    pub fn expected(&self, now: Timestamp) -> f64 {
        let slots = f64::from(self.slots().max(1));
        let load = (self.load(now) + 1.0) / slots;
        // Waiting begins where the slots end; below, load still slows a shared host.
        let crowding = 1.0 + load * load + 2.0 * (load - 1.0).max(0.0);
        let errors = 1.0 + ERROR_PENALTY * self.error_weight(now);
        let stall = if self.is_stalled(now) { STALL_PENALTY } else { 1.0 };
        let crosses = self.id.distance >= Distance::SameRegion;
        let crossing = if crosses { self.id.crossing_cost } else { Duration::ZERO };
        let way = (self.id.distance.cost() + crossing).as_secs_f64();
        let pace = self.slowness(now);
        (way + self.latency_estimate().as_secs_f64() * crowding * pace) * errors * stall
    }

    fn slots(&self) -> u32 {
        self.report.as_ref().map_or(self.id.slots, |r| r.slots)
    }

    /// Load there: the report as far as it is fresh, and what was sent since.
    fn load(&self, now: Timestamp) -> f64 {
        let own = self.in_flight.len() as f64;
        let Some(report) = &self.report else { return own };
        let age = now.since(self.report_at).as_secs_f64();
        let worth = (-age / REPORT_WORTH.as_secs_f64()).exp();
        let reported = f64::from(report.in_flight + report.queued);
        let others = (reported - own).max(0.0) * worth;
        own.max(others + f64::from(self.started_since_report)).max(others + own * worth)
    }

    /// Slowness by the last report, as a factor: its worth fades as that of the load does.
    fn slowness(&self, now: Timestamp) -> f64 {
        let Some(report) = &self.report else { return 1.0 };
        let age = now.since(self.report_at).as_secs_f64();
        let worth = (-age / REPORT_WORTH.as_secs_f64()).exp();
        let told = f64::from(report.slowness) / f64::from(slowness::NORMAL);
        1.0 + (told - 1.0) * worth
    }

    fn latency_estimate(&self) -> Duration {
        match &self.report {
            Some(report) => Duration::from_micros(report.latency_us.max(100)),
            None => self.latency,
        }
    }

    fn error_weight(&self, now: Timestamp) -> f64 {
        let halves = now.since(self.errors_at).as_secs_f64() / ERROR_HALF_LIFE.as_secs_f64();
        self.errors * 0.5_f64.powf(halves)
    }

    fn is_stalled(&self, now: Timestamp) -> bool {
        let Some(oldest) = self.in_flight.values().next() else { return false };
        let age = now.since(*oldest);
        age > STALL_AT_LEAST && age > self.latency.mul_f64(STALL_FACTOR)
    }
}
