//! Detects that a process was suspended, from checks that come too late.
//!
//! Bytes that arrive during a suspension wait in the sockets of the process. What it reads after it
//! was resumed may be old, and its sender may no longer want it.

use crate::units::Timestamp;
use std::time::Duration;

/// Time between two checks from which on the process is considered to have been suspended.
const MAX_CHECK_GAP: Duration = Duration::from_millis(500);
/// Time after a suspension within which everything that arrived during it is read.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Time between two checks.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Detects suspensions of a process that calls [`SuspensionDetector::check`] regularly.
#[derive(Clone, Copy, Debug)]
pub struct SuspensionDetector {
    last_check: Timestamp,
    resumed_at: Option<Timestamp>,
}

impl SuspensionDetector {
    /// Creates the detector of a process that runs at `now`.
    pub fn new(now: Timestamp) -> SuspensionDetector {
        SuspensionDetector { last_check: now, resumed_at: None }
    }

    /// Records that the process runs.
    pub fn check(&mut self, now: Timestamp) {
        if self.is_late(now) {
            self.resumed_at = Some(now);
        }
        self.last_check = self.last_check.max(now);
    }

    /// Returns whether what was read at `read_at` may have arrived before a suspension, or the
    /// process was suspended after it read it.
    pub fn affects(&self, now: Timestamp, read_at: Timestamp) -> bool {
        // The first thing that runs after a suspension may come before the check.
        self.is_late(now) || self.resumed_at.is_some_and(|at| read_at < at + SETTLE_TIME)
    }

    fn is_late(&self, now: Timestamp) -> bool {
        now.since(self.last_check) > MAX_CHECK_GAP
    }
}
