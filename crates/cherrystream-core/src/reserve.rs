//! Reservation of slots for nested calls.
//!
//! A request that waits for a nested call holds a slot elsewhere, and its work is wasted if the
//! call fails. So other requests leave as many slots free as nested calls have recently needed.

use crate::units::Timestamp;
use std::time::Duration;

/// Time constant of the averaged demand.
const AVERAGING_TIME: Duration = Duration::from_millis(800);
/// Largest share of the slots that is reserved.
const MAX_SHARE: f64 = 0.5;
/// Standard deviations of the demand reserved beyond its mean; the demand is treated as Poisson
/// distributed.
const STANDARD_DEVIATIONS: f64 = 0.5;
/// Mean demand below which no slot is reserved.
const MIN_MEAN_DEMAND: f64 = 0.15;

/// Demand of nested calls for slots.
#[derive(Debug, Default)]
pub struct Reserve {
    /// Nested calls that have a slot or wait for one.
    demand: u32,
    mean: f64,
    updated_at: Timestamp,
}

impl Reserve {
    /// Records the arrival of a nested call.
    pub fn on_arrival(&mut self, now: Timestamp) {
        self.update(now);
        self.demand += 1;
    }

    /// Records that a nested call ended, or was refused while it waited.
    pub fn on_end(&mut self, now: Timestamp) {
        self.update(now);
        self.demand = self.demand.saturating_sub(1);
    }

    /// Returns the number of the `slots` in use that other requests leave free now. The `running`
    /// nested calls already have theirs.
    pub fn reserved(&mut self, now: Timestamp, slots: u32, running: u32) -> u32 {
        self.update(now);
        if self.mean < MIN_MEAN_DEMAND {
            return 0;
        }
        let max_reserved = (f64::from(slots) * MAX_SHARE) as u32;
        let needed = (self.mean + STANDARD_DEVIATIONS * self.mean.sqrt()).round() as u32;
        needed.min(max_reserved).saturating_sub(running)
    }

    fn update(&mut self, now: Timestamp) {
        let passed = now.since(self.updated_at).as_secs_f64() / AVERAGING_TIME.as_secs_f64();
        let decay = (-passed).exp();
        self.mean = self.mean * decay + f64::from(self.demand) * (1.0 - decay);
        self.updated_at = now;
    }
}
