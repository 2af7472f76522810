//! Clock for timestamps of events and decisions.

use cherrystream_core::units::Timestamp;
use nix::time::{self, ClockId};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::error::Elapsed;

/// A monotonic clock that starts at its creation and advances while the host is suspended.
///
/// [`std::time::Instant`] and timers stop during a suspension. Leases, granted quotas, drain states
/// and retry times would outlive their validity on such a clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    read: fn() -> Duration,
    start: Duration,
}

impl Default for Clock {
    fn default() -> Self {
        Clock::reading(since_boot)
    }
}

impl Clock {
    /// Creates a clock that reads the time from `read`.
    pub fn reading(read: fn() -> Duration) -> Clock {
        Clock { read, start: read() }
    }

    /// Returns the time since the creation of the clock.
    pub fn now(&self) -> Timestamp {
        Timestamp((self.read)().saturating_sub(self.start).as_micros() as u64)
    }

    /// Runs a future until a point in time. Unlike a duration, that does not move when other work
    /// comes first.
    ///
    /// # Errors
    ///
    /// Fails if the future has not completed by then.
    pub async fn timeout_at<F: Future>(&self, at: Timestamp, f: F) -> Result<F::Output, Elapsed> {
        tokio::time::timeout(at.since(self.now()), f).await
    }
}

/// Returns the time since the host was booted, including suspensions.
///
/// # Panics
///
/// Panics if the system does not provide `CLOCK_BOOTTIME`.
fn since_boot() -> Duration {
    let time = time::clock_gettime(ClockId::CLOCK_BOOTTIME);
    time.expect("the system provides CLOCK_BOOTTIME").into()
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Formats a Unix time in milliseconds as RFC 3339 in UTC, with a resolution of one second.
pub fn rfc3339(unix_ms: u64) -> String {
    let time = UNIX_EPOCH + Duration::from_millis(unix_ms);
    humantime::format_rfc3339_seconds(time).to_string()
}
