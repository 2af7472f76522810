//! Whether a backend server is warm or cold: just started or with empty caches. A cold one serves
//! only few requests for a while and crashes under more.
//!
//! After a power loss all backend servers return cold, and callers send as much as before. Without
//! a rate limit they crash, return cold and crash again.

use crate::units::Timestamp;
use std::time::Duration;

/// Validity of a report: reports arrive every one or two seconds, and may be a second late. After a
/// longer freeze of this process the backend server is treated as cold.
const REPORT_TTL: Duration = Duration::from_millis(2_500);
/// Age of the last report at which the health endpoint is probed: a backend server may become cold
/// without a restart. This bounds the time in which it is wrongly treated as warm. It amounts to
/// two probes a second.
const PROBE_AFTER: Duration = Duration::from_millis(500);
/// Interval of probes while none is answered.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Last reported warmth.
#[derive(Clone, Copy, Debug, Default)]
pub struct Warmth {
    cold_until: Timestamp,
    last_seen: Option<Timestamp>,
    probed_at: Option<Timestamp>,
    sequence: u64,
}

impl Warmth {
    /// Records the warmth in a health response, which is always current.
    pub fn on_health_response(&mut self, now: Timestamp, cold_for: Duration) {
        self.cold_until = now + cold_for;
        self.last_seen = Some(now);
    }

    /// Records the warmth in a load report. It may be delayed by seconds and reordered: an older
    /// one is discarded, and none shortens a known cold period.
    pub fn on_report(&mut self, now: Timestamp, sequence: u64, cold_for: Duration) {
        if sequence < self.sequence {
            return;
        }
        self.sequence = sequence;
        self.cold_until = self.cold_until.max(now + cold_for);
        self.last_seen = Some(now);
    }

    /// Discards the reports: the backend server may have become cold since.
    pub fn invalidate(&mut self) {
        self.last_seen = None;
        self.probed_at = None;
    }

    /// Returns whether the backend server is cold; without a valid report it is treated as cold.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        let is_known = self.last_seen.is_some_and(|at| now.since(at) < REPORT_TTL);
        !is_known || now < self.cold_until
    }

    /// Returns the remaining time of the known cold period.
    pub fn cold_for(&self, now: Timestamp) -> Duration {
        self.cold_until.since(now)
    }

    /// Returns whether a probe of the health endpoint is due, and records it as sent if so.
    pub fn start_probe(&mut self, now: Timestamp) -> bool {
        let is_fresh = self.last_seen.is_some_and(|at| now.since(at) < PROBE_AFTER);
        let is_probed = self.probed_at.is_some_and(|at| now.since(at) < PROBE_INTERVAL);
        if is_fresh || is_probed {
            return false;
        }
        self.probed_at = Some(now);
        true
    }
}
