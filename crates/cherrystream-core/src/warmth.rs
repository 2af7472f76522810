//! Whether a backend server is cold: it has just started, or lost what it had at hand, takes few requests for a
//! while, and falls over when it gets many more.
//!
//! Load it answers: all backend servers come back together, and the same callers ask as before. Served at the pace
//! of warm ones they fall over, come back cold and fall again; nothing ends that but a pace kept at the door.

use crate::units::Timestamp;
use std::time::Duration;

/// Time for which a word on the warmth is believed: reports come every second or two, and one may be a second late.
/// A process that wakes after a longer freeze has heard nothing lately and goes back to the pace of a cold one.
const BELIEVED: Duration = Duration::from_millis(2_500);
/// Age of a word at which the health endpoint is asked: a backend server may become cold without a new run. That is two
/// questions a second of the sixty that a server bears, and bounds the time in which it is taken for warm.
const ASKED_AGAIN_AFTER: Duration = Duration::from_millis(500);
/// Time between two questions while none is answered.
const ASKED_EVERY: Duration = Duration::from_millis(100);

/// What is known of the warmth.
#[derive(Clone, Copy, Debug, Default)]
pub struct Warmth {
    cold_until: Timestamp,
    heard: Option<Timestamp>,
    asked: Option<Timestamp>,
    sequence: u64,
}

impl Warmth {
    /// Takes the word of a health answer, which is as fresh as can be.
    pub fn on_answer(&mut self, now: Timestamp, cold_for: Duration) {
        self.cold_until = now + cold_for;
        self.heard = Some(now);
    }

    /// Takes the word of a report. It may have been on its way for seconds, and by another way than the one before:
    /// one that is overtaken says nothing, and none ends a cold time that is known.
    pub fn on_report(&mut self, now: Timestamp, sequence: u64, cold_for: Duration) {
        if sequence < self.sequence {
            return;
        }
        self.sequence = sequence;
        self.cold_until = self.cold_until.max(now + cold_for);
        self.heard = Some(now);
    }

    /// Forgets what was heard: the backend server may have become cold since.
    pub fn doubt(&mut self) {
        self.heard = None;
        self.asked = None;
    }

    /// Returns whether it counts as cold; one of which nothing was heard lately does.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        let is_known = self.heard.is_some_and(|at| now.since(at) < BELIEVED);
        !is_known || now < self.cold_until
    }

    /// Returns how much longer it is known to be cold.
    pub fn cold_for(&self, now: Timestamp) -> Duration {
        self.cold_until.since(now)
    }

    /// Returns whether its health endpoint should be asked now, and takes it that it is.
    pub fn asks(&mut self, now: Timestamp) -> bool {
        let is_fresh = self.heard.is_some_and(|at| now.since(at) < ASKED_AGAIN_AFTER);
        let is_asked = self.asked.is_some_and(|at| now.since(at) < ASKED_EVERY);
        if is_fresh || is_asked {
            return false;
        }
        self.asked = Some(now);
        true
    }
}
