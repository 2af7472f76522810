//! Forecast of the requests to a canary until the deadline of its roll-out, and the division of the
//! limit on them between the trial and the move of all requests.

use std::time::Duration;

/// Time for a step to be committed.
pub(super) const COMMIT_TIME: Duration = Duration::from_millis(200);
/// Interval of the decisions.
pub(super) const DECISION_INTERVAL: Duration = Duration::from_millis(100);
/// Time from the first bad responses to the last request: service time, report, decision and step.
const REACTION_TIME: Duration = Duration::from_millis(800);
/// Responses of the canary that are obtained by a higher exposure, if the limit allows it.
const MIN_CANARY_ANSWERS: f64 = 30.0;
/// Responses of the canary required before a move that may exceed the limit.
const MIN_MOVE_ANSWERS: f64 = 10.0;
/// Largest exposure used to obtain these responses.
const MAX_EVIDENCE_EXPOSURE: f64 = 0.5;
/// Share of the limit that is used. The rest is for variations of the traffic.
const USED_LIMIT_SHARE: f64 = 0.9;
/// Variation of the traffic that an early move allows for, in standard deviations.
const VARIATION: f64 = 2.0;
/// Share of the time in which the exposure stays small even if responses are lacking.
const FIRST_SHARE: f64 = 0.15;
/// Exposure in that time.
const FIRST_EXPOSURE: f64 = 0.02;
/// Exposure afterwards.
const TRIAL_EXPOSURE: f64 = 0.05;

/// Traffic of a service under a roll-out, and what is expected until the deadline.
#[derive(Clone, Copy, Debug)]
pub(super) struct Forecast {
    /// Time until the deadline.
    pub(super) left: Duration,
    /// Time from the decision to move to the acknowledgement of the completion.
    pub(super) time_to_complete: Duration,
    /// Requests to all versions per second.
    pub(super) per_second: f64,
    /// Responses of the canary.
    pub(super) answered: f64,
    /// Requests sent to the canary, including those not reported yet.
    pub(super) sent: f64,
    /// Requests that the canary may get until the deadline.
    pub(super) limit: f64,
}

impl Forecast {
    /// Returns whether the canary stays within the limit if all requests are moved now.
    pub(super) fn is_move_affordable(&self) -> bool {
        let moved = self.moved_within(self.left);
        self.sent + moved + VARIATION * moved.sqrt() <= self.usable_limit()
    }

    /// Returns whether there are enough responses for a move that may exceed the limit.
    pub(super) fn has_evidence(&self) -> bool {
        self.answered >= MIN_MOVE_ANSWERS
    }

    /// Returns the share of requests sent to the canary while it is evaluated, after a share
    /// `elapsed` of the time.
    pub(super) fn exposure(&self, elapsed: f64) -> f64 {
        if self.sent >= self.limit_of_trial() {
            return 0.0;
        }
        if elapsed < FIRST_SHARE {
            return FIRST_EXPOSURE;
        }
        let remaining = self.left.saturating_sub(self.time_to_complete);
        let missing = (MIN_CANARY_ANSWERS - self.answered).max(0.0);
        let for_evidence = missing / self.within(remaining).max(1.0);
        TRIAL_EXPOSURE.max(for_evidence.min(MAX_EVIDENCE_EXPOSURE))
    }

    /// Returns the requests that the canary may get before the move. Reserves what a move sends
    /// until the deadline; if that leaves too little evidence, what it sends until a regression is
    /// found and rolled back.
    fn limit_of_trial(&self) -> f64 {
        let reserved = self.moved_within(self.time_to_complete + DECISION_INTERVAL);
        match self.usable_limit() - reserved {
            rest if rest >= MIN_MOVE_ANSWERS => rest,
            _ => self.usable_limit() - self.within(REACTION_TIME),
        }
    }

    fn usable_limit(&self) -> f64 {
        USED_LIMIT_SHARE * self.limit
    }

    /// Returns the requests to the canary within a time that begins with the decision to move.
    fn moved_within(&self, time: Duration) -> f64 {
        self.within(time.saturating_sub(COMMIT_TIME))
    }

    /// Returns the requests to all versions within a time.
    fn within(&self, time: Duration) -> f64 {
        self.per_second * time.as_secs_f64()
    }
}
