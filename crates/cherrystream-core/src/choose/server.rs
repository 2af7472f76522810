//! State that an outbound keeps for one backend server.

use super::refusals::Refusals;
use crate::backpressure::UNREGISTERED_LEAVING_TTL;
use crate::slowness;
use crate::units::Timestamp;
use cherrystream_schema::messages::{Report, ServerState};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time constant of the exponential decay of a load report.
const REPORT_DECAY: Duration = Duration::from_millis(200);
/// Half-life of the weight of an error.
const ERROR_HALF_LIFE: Duration = Duration::from_secs(1);
/// Weight of a new sample in the moving averages of latency and errors.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Error weight from which a backend server is considered unhealthy: that of two recent errors.
const UNHEALTHY_ERROR_WEIGHT: f64 = 0.15;
/// Added latency factor of a backend server that returns only errors.
const ERROR_PENALTY: f64 = 20.0;
/// Latency factor of a stalled backend server.
const STALL_PENALTY: f64 = 8.0;
/// Multiple of the average latency at which a request in flight indicates a stall.
const STALL_FACTOR: f64 = 5.0;
/// Smallest age of a request in flight that indicates a stall.
const MIN_STALL_AGE: Duration = Duration::from_millis(15);
/// Smallest age of a request in flight that indicates a stall by the reported latency alone, which
/// does not include the way to the host and the transfer of the body.
const MIN_PATH_STALL_AGE: Duration = Duration::from_millis(500);
/// Validity of a load report that a backend server accepts no work.
const CLOSED_TTL: Duration = Duration::from_secs(2);
/// Backoff after a refusal because the backend server or its host accepts no work.
const CLOSED_BACKOFF: Duration = Duration::from_millis(500);
/// Longest time for which a backend server is passed over for its rate limit, as that may end.
const MAX_TOKEN_WAIT: Duration = Duration::from_secs(1);
/// Slowness factor from which a backend server is considered slow.
const SLOW_FACTOR: f64 = 1.3;

/// Network distance between this daemon and a backend server.
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
    /// Returns the assumed network round-trip time.
    pub const fn cost(self) -> Duration {
        match self {
            Distance::SameHost => Duration::ZERO,
            Distance::SameDomain => Duration::from_micros(100),
            Distance::SameRegion => Duration::from_micros(1_500),
            Distance::OtherRegion => Duration::from_micros(30_000),
        }
    }
}

/// Identity of a backend server, from the configuration and its registration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerId {
    /// Name of the backend server.
    pub name: Arc<str>,
    /// Name of its host.
    pub host: Arc<str>,
    /// Configured number of slots.
    pub slots: u32,
    /// Network distance from this daemon.
    pub distance: Distance,
    /// Whether its host is taken out of service or leaving.
    pub out: bool,
    /// Assumed cost of a request to another failure domain, in addition to the round trip.
    pub crossing_cost: Duration,
    /// Unix time in milliseconds at which its instance started; 0 if not reported. A new instance
    /// starts with empty state.
    pub born_ms: u64,
    /// Whether its instance registers itself. A new run of one that does not looks like the old one.
    pub registered: bool,
}

impl ServerId {
    pub(super) fn is_same_instance(&self, other: &ServerId) -> bool {
        self.name == other.name && self.host == other.host && self.born_ms == other.born_ms
    }
}

/// Observed state of a backend server.
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
    backoff_until: Timestamp,
    refusals: Refusals,
    /// When a stated rate limit lets the next request through.
    token_at: Timestamp,
    /// Since when the backend server is known to be leaving.
    leaving_since: Option<Timestamp>,
    next_call: u64,
}

/// Identifier of a call in flight to a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallId(u64);

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
            backoff_until: Timestamp::default(),
            refusals: Refusals::default(),
            token_at: Timestamp::default(),
            leaving_since: None,
            next_call: 0,
        }
    }

    /// Records that a call is sent.
    pub fn on_sent(&mut self, now: Timestamp) -> CallId {
        self.next_call += 1;
        self.started_since_report += 1;
        self.in_flight.insert(self.next_call, now);
        CallId(self.next_call)
    }

    /// Records the end of a call, whatever its result.
    pub fn on_ended(&mut self, sent: CallId) {
        self.in_flight.remove(&sent.0);
    }

    /// Records that the caller of a request in flight has left. If it waited far longer than usual,
    /// this counts as a failure: callers that leave early would otherwise hide a stall.
    pub fn on_abandoned(&mut self, now: Timestamp, sent: CallId) {
        let sent_at = self.in_flight.remove(&sent.0);
        if sent_at.is_some_and(|sent_at| self.is_stall(now.since(sent_at))) {
            self.on_error(now);
        }
    }

    /// Records the latency of a successful answer.
    pub fn on_answer(&mut self, took: Duration) {
        let mean = self.latency.as_secs_f64();
        let mean = mean + SAMPLE_WEIGHT * (took.as_secs_f64() - mean);
        self.latency = Duration::from_secs_f64(mean);
    }

    /// Records a failed or broken answer. Its latency is not recorded.
    pub fn on_error(&mut self, now: Timestamp) {
        self.errors = self.error_weight(now) * (1.0 - SAMPLE_WEIGHT) + SAMPLE_WEIGHT;
        self.errors_at = now;
    }

    /// Records that the backend server or its host currently accepts no work.
    pub fn on_closed(&mut self, now: Timestamp) {
        self.backoff_until = now + CLOSED_BACKOFF;
    }

    /// Records that its inbound refused a request for lack of a free slot, and how long this may
    /// last.
    pub fn on_busy(&mut self, now: Timestamp, kind: &str, lasts: Duration) {
        self.refusals.on_busy(now, kind, lasts);
    }

    /// Records that its inbound refused a request for the length of its queue, and how long this
    /// may last.
    pub fn on_full(&mut self, now: Timestamp, kind: &str, lasts: Duration) {
        self.refusals.on_full(now, kind, lasts);
    }

    /// Records the time until a rate limit that the backend server states lets a request through.
    pub fn on_token_wait(&mut self, now: Timestamp, wait: Duration) {
        self.token_at = self.token_at.max(now + wait.min(MAX_TOKEN_WAIT));
    }

    /// Records since when the backend server is known to be leaving.
    pub fn set_leaving(&mut self, now: Timestamp, since: Timestamp) {
        self.leaving_since = Some(self.leaving_since(now).unwrap_or(since));
    }

    /// Returns since when the backend server is known to be leaving. If its instance does not
    /// register itself, it is tried again after a time, as another run may have replaced it.
    pub fn leaving_since(&self, now: Timestamp) -> Option<Timestamp> {
        let may_be_replaced = |since: &Timestamp| {
            !self.id.registered && now.since(*since) >= UNREGISTERED_LEAVING_TTL
        };
        self.leaving_since.filter(|since| !may_be_replaced(since))
    }

    /// Returns the identity of the backend server.
    pub fn id(&self) -> &ServerId {
        &self.id
    }

    /// Returns how long a request is expected to be refused for the rate limit.
    pub fn limited_for(&self, now: Timestamp) -> Duration {
        self.token_at.since(now)
    }

    /// Returns whether a request is expected to be refused for lack of a free slot, or for the rate
    /// limit.
    pub fn is_busy(&self, now: Timestamp, kind: &str) -> bool {
        !self.busy_for(now, kind).is_zero()
    }

    /// Returns how long a request is expected to be refused for lack of a free slot, or for the rate
    /// limit.
    pub fn busy_for(&self, now: Timestamp, kind: &str) -> Duration {
        self.refusals.busy_for(now, kind).max(self.limited_for(now))
    }

    /// Returns how long a request is expected to be refused for the length of the queue.
    pub fn full_for(&self, now: Timestamp, kind: &str) -> Duration {
        self.refusals.full_for(now, kind)
    }

    /// Records a load report, unless a later one of the same incarnation was received.
    pub fn on_report(&mut self, now: Timestamp, report: Report) {
        let stale = self.report.as_ref().is_some_and(|old| {
            old.incarnation == report.incarnation && old.sequence > report.sequence
        });
        if !stale {
            let has_free_slots = report.queued == 0 && report.in_flight < report.slots;
            if has_free_slots && report.slowness <= slowness::NORMAL {
                self.refusals.on_free_slots();
            }
            self.report = Some(report);
            self.report_at = now;
            self.started_since_report = 0;
        }
    }

    /// Returns the incarnation of its inbound from the last load report.
    pub fn incarnation(&self) -> Option<u64> {
        self.report.as_ref().map(|r| r.incarnation)
    }

    /// Returns whether the backend server is expected to accept work.
    pub fn accepts_work(&self, now: Timestamp) -> bool {
        let reported_closed = self.report.as_ref().is_some_and(|r| r.state != ServerState::Live);
        // The report expires, because no message announces that the server accepts work again.
        let recent = now.since(self.report_at) < CLOSED_TTL;
        now >= self.backoff_until && !(reported_closed && recent)
    }

    /// Returns whether a queued request is expected to start within a time, on a backend server
    /// that is healthy and not slow.
    pub fn can_serve_within(&self, now: Timestamp, kind: &str, within: Duration) -> bool {
        let full = !self.refusals.full_for(now, kind).is_zero();
        let is_normal = self.slowness(now) < SLOW_FACTOR && self.is_healthy(now);
        !full && is_normal && self.busy_for(now, kind) <= within
    }

    /// Returns whether the backend server is in the failure domain of this daemon.
    pub fn is_near(&self) -> bool {
        self.id.distance <= Distance::SameDomain
    }

    /// Returns whether there are few recent errors and no stalled request.
    pub fn is_healthy(&self, now: Timestamp) -> bool {
        self.error_weight(now) < UNHEALTHY_ERROR_WEIGHT && !self.is_stalled(now)
    }

    /// Returns the number of calls of this outbound in flight to the backend server.
    pub fn own_in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the expected latency in seconds, with penalties; for comparison only.
    pub fn expected_latency(&self, now: Timestamp) -> f64 {
        let slots = f64::from(self.slots().max(1));
        let load = (self.load(now) + 1.0) / slots;
        // Above the number of slots, requests are queued. Below it, load slows a shared host.
        let queueing = 1.0 + load * load + 2.0 * (load - 1.0).max(0.0);
        let errors = 1.0 + ERROR_PENALTY * self.error_weight(now);
        let stall = if self.is_stalled(now) { STALL_PENALTY } else { 1.0 };
        let crosses = self.id.distance >= Distance::SameRegion;
        let crossing = if crosses { self.id.crossing_cost } else { Duration::ZERO };
        let network = (self.id.distance.cost() + crossing).as_secs_f64();
        let slowness = self.slowness(now);
        (network + self.latency_estimate().as_secs_f64() * queueing * slowness) * errors * stall
    }

    fn slots(&self) -> u32 {
        self.report.as_ref().map_or(self.id.slots, |r| r.slots)
    }

    /// Returns the estimated number of requests: the decayed load report plus calls sent since.
    fn load(&self, now: Timestamp) -> f64 {
        let own = self.in_flight.len() as f64;
        let Some(report) = &self.report else { return own };
        let age = now.since(self.report_at).as_secs_f64();
        let decay = (-age / REPORT_DECAY.as_secs_f64()).exp();
        let reported = f64::from(report.in_flight + report.queued);
        let others = (reported - own).max(0.0) * decay;
        own.max(others + f64::from(self.started_since_report)).max(others + own * decay)
    }

    /// Returns the slowness factor of the last report, which decays towards 1.
    fn slowness(&self, now: Timestamp) -> f64 {
        let Some(report) = &self.report else { return 1.0 };
        let age = now.since(self.report_at).as_secs_f64();
        let decay = (-age / REPORT_DECAY.as_secs_f64()).exp();
        let reported = f64::from(report.slowness) / f64::from(slowness::NORMAL);
        1.0 + (reported - 1.0) * decay
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
        self.in_flight.values().next().is_some_and(|oldest| self.is_stall(now.since(*oldest)))
    }

    /// Returns whether a request without an answer indicates a stall at an age. The observed latency
    /// grows with a slow path to the host, so the reported one counts too: a backend server that
    /// few requests reach reports that it is fast.
    fn is_stall(&self, age: Duration) -> bool {
        let is_beyond = |latency: Duration| age > latency.mul_f64(STALL_FACTOR);
        let is_path_stalled =
            self.report.is_some() && age > MIN_PATH_STALL_AGE && is_beyond(self.latency_estimate());
        is_path_stalled || age > MIN_STALL_AGE && is_beyond(self.latency)
    }
}
