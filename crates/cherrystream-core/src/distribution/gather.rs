//! When daemons are told of changes: at once after a quiet time, else those that come together together.
//!
//! Load: 300 daemons that register within 1.5 s, each twice. Told one by one, each registration is a message to each
//! daemon; gathered, they go out encoded once, at a tenth of the bytes.

use crate::units::Timestamp;
use std::time::Duration;

/// Shortest time between two moments at which daemons are told: a thirteenth of the 2.5 s within which a change is to
/// be in force where that is shortest.
const GATHER: Duration = Duration::from_millis(200);

/// The last moment at which daemons were told.
#[derive(Debug, Default)]
pub struct Gather {
    last: Option<Timestamp>,
}

impl Gather {
    /// Returns when daemons are told of a change that is there now.
    pub fn due(&self, now: Timestamp) -> Timestamp {
        let earliest = self.last.map_or(now, |last| last + GATHER);
        earliest.max(now)
    }

    /// Notes that they are told now.
    pub fn on_told(&mut self, now: Timestamp) {
        self.last = Some(now);
    }
}
