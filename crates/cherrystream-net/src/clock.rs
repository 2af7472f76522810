//! The clock that decisions take as an input.

use cherrystream_core::units::Timestamp;
use nix::time::{self, ClockId};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A clock that counts from its creation, never goes back, and goes on while the host is suspended.
///
/// What is believed by its age (leases, parts of quotas, words on drains and refusals, when to come back) would be too young by the
/// time of a suspension otherwise: the steady clock of the system stands still meanwhile. Timers do so too, and fire late.
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
    /// Creates a clock that reads the time with a function.
    pub fn reading(read: fn() -> Duration) -> Clock {
        Clock { read, start: read() }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Timestamp {
        Timestamp((self.read)().saturating_sub(self.start).as_micros() as u64)
    }
}

/// Returns the time since the host was booted, suspensions included.
///
/// # Panics
///
/// Panics where the system has no such clock: no decision could be made.
fn since_boot() -> Duration {
    let time = time::clock_gettime(ClockId::CLOCK_BOOTTIME);
    time.expect("the system tells the time since it was booted").into()
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Writes a Unix time in milliseconds as RFC 3339 in UTC, to the second.
pub fn rfc3339(unix_ms: u64) -> String {
    let time = UNIX_EPOCH + Duration::from_millis(unix_ms);
    humantime::format_rfc3339_seconds(time).to_string()
}
