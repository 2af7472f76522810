//! Batching of changes before they are sent to daemons.
//!
//! A change is sent at once after a quiet period. Otherwise changes are collected for a short time
//! and sent together, which saves messages when many daemons register at the same time.

use crate::units::Timestamp;
use std::time::Duration;

/// Shortest time between two batches.
const MIN_INTERVAL: Duration = Duration::from_millis(200);

/// Schedule of the batches of changes.
#[derive(Debug, Default)]
pub struct BatchSchedule {
    /// Time of the last batch.
    last: Option<Timestamp>,
}

impl BatchSchedule {
    /// Returns when to send a change that is accepted now.
    pub fn due(&self, now: Timestamp) -> Timestamp {
        let earliest = self.last.map_or(now, |last| last + MIN_INTERVAL);
        earliest.max(now)
    }

    /// Records that a batch is sent now.
    pub fn on_sent(&mut self, now: Timestamp) {
        self.last = Some(now);
    }
}
