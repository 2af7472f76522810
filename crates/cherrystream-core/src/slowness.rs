//! Slowness of a backend server: its current service time relative to normal, as it reports it.

use crate::units::Timestamp;
use std::time::Duration;

/// Slowness of a backend server at its normal speed, in hundredths of the normal service time.
pub const NORMAL: u32 = 100;
/// Slowness above which a backend server is slow for requests without a typical service time.
const SLOW_ABOVE: u32 = 2 * NORMAL;
/// Validity of a report.
const REPORT_TTL: Duration = Duration::from_millis(250);
/// Age of a report that caused a refusal at which a new one is requested.
const PROBE_AFTER: Duration = Duration::from_millis(60);
/// Age at which a report is too old to decide on a request that can wait for a new one: servers
/// change their speed within a few hundred milliseconds.
const STALE_AFTER: Duration = Duration::from_millis(50);
/// Assumed peak slowness before the first report, in hundredths: a backend server that reports
/// slowness shares its host with others.
const INITIAL_PEAK: u32 = 4 * NORMAL;
/// Time for which the peak slowness is kept.
const PEAK_TTL: Duration = Duration::from_secs(10);
/// Time after an unanswered probe in which no request waits for another.
const PROBE_BACKOFF: Duration = Duration::from_secs(1);

/// Last reported and recent peak slowness.
#[derive(Clone, Copy, Debug)]
pub struct Slowness {
    slowness: u32,
    reported_at: Option<Timestamp>,
    /// Whether the last report caused a refusal.
    caused_refusal: bool,
    /// Peak of recent reports, and its time.
    peak: u32,
    peak_at: Timestamp,
    no_probe_until: Timestamp,
}

impl Default for Slowness {
    fn default() -> Self {
        Slowness {
            slowness: NORMAL,
            reported_at: None,
            caused_refusal: false,
            peak: INITIAL_PEAK,
            peak_at: Timestamp::default(),
            no_probe_until: Timestamp::default(),
        }
    }
}

impl Slowness {
    /// Records a report of the backend server.
    pub fn on_report(&mut self, now: Timestamp, slowness: u32) {
        self.slowness = slowness;
        self.record_peak(now, slowness);
        self.reported_at = Some(now);
        self.caused_refusal = false;
    }

    fn record_peak(&mut self, now: Timestamp, slowness: u32) {
        let is_expired = now.since(self.peak_at) >= PEAK_TTL && self.reported_at.is_some();
        if is_expired || slowness >= self.peak {
            self.peak = slowness;
            self.peak_at = now;
        } else if self.reported_at.is_none() {
            self.peak_at = now;
        }
    }

    /// Records that a probe was not answered while a request waited for it.
    pub fn on_probe_timeout(&mut self, now: Timestamp) {
        self.no_probe_until = now + PROBE_BACKOFF;
    }

    /// Returns whether a request should wait for a new report: the last one is old, and a slowness
    /// like the recent peak would refuse the request. A backend server that never reports is not
    /// probed, nor is one whose speed is stable.
    pub fn needs_report_first(
        &self,
        now: Timestamp,
        typical_time: Option<Duration>,
        within: Option<Duration>,
    ) -> bool {
        let is_old = self.reported_at.is_some_and(|at| now.since(at) >= STALE_AFTER);
        is_old && now >= self.no_probe_until && is_too_slow(self.peak, typical_time, within)
    }

    /// Records that the last report caused a refusal.
    pub fn on_refused(&mut self) {
        self.caused_refusal = true;
    }

    /// Returns the reported slowness while it is valid, the normal one otherwise.
    pub fn current(&self, now: Timestamp) -> u32 {
        let fresh = self.reported_at.is_some_and(|at| now.since(at) < REPORT_TTL);
        if fresh { self.slowness } else { NORMAL }
    }

    /// Returns whether the backend server is too slow for a request with the typical service time
    /// `typical_time` to finish `within` a time. If either is unknown, only the slowness decides.
    pub fn is_too_slow(
        &self,
        now: Timestamp,
        typical_time: Option<Duration>,
        within: Option<Duration>,
    ) -> bool {
        is_too_slow(self.current(now), typical_time, within)
    }

    /// Returns whether a probe for a new report is due.
    pub fn needs_probe(&self, now: Timestamp) -> bool {
        self.caused_refusal && self.reported_at.is_some_and(|at| now.since(at) >= PROBE_AFTER)
    }
}

fn is_too_slow(slowness: u32, typical_time: Option<Duration>, within: Option<Duration>) -> bool {
    match (typical_time, within) {
        _ if slowness <= NORMAL => false,
        (Some(typical_time), Some(within)) => typical_time * slowness / NORMAL > within,
        _ => slowness > SLOW_ABOVE,
    }
}
