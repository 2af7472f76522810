//! What a door keeps for the roll-out of its service: counts of answers, and its own stop.

use super::permit::{Ending, Work};
use cherrystream_core::rollout::counts::{Answer, Counts};
use cherrystream_core::rollout::guard::CircuitBreaker;
use cherrystream_core::units::Timestamp;
use cherrystream_schema::messages::KindTally;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time that stands for an answer that did not come until the deadline: longer than any.
const OVERDUE: Duration = Duration::MAX;

/// The roll-out under way at a door.
#[derive(Debug, Default)]
pub(super) struct TrialRecord {
    /// Unix milliseconds of its order; `None` while none is under way, and nothing is counted.
    started_at_ms: Option<u64>,
    counts: Counts,
    guard: CircuitBreaker,
}

impl TrialRecord {
    /// Follows the roll-out of the service: counts begin with its order.
    pub(super) fn follow(&mut self, started_at_ms: Option<u64>) {
        if self.started_at_ms != started_at_ms {
            *self = TrialRecord { started_at_ms, ..TrialRecord::default() };
        }
    }

    /// Counts work that has ended; `took` is its time at the usual pace of the host.
    pub(super) fn count(&mut self, now: Timestamp, work: &Work, ending: Ending, took: Duration) {
        if self.started_at_ms.is_none() {
            return;
        }
        let (failed, took) = match ending {
            // A break may be the end of a host or a link: it tells nothing of the version.
            Ending::Open => return,
            Ending::Answered { failed } => (failed, took),
            Ending::Overdue => (false, OVERDUE),
        };
        let took = Some(took).filter(|_| !work.is_cold);
        self.counts.on_answer(&work.kind, Answer { failed, took });
        self.guard.on_answer(now, failed);
    }

    /// Returns whether the door has stopped by itself.
    pub(super) fn is_stopped(&self, now: Timestamp) -> bool {
        self.guard.is_open(now)
    }

    /// Returns the time of the order and the counts since; `None` while no roll-out is under way.
    pub(super) fn counted(&self) -> Option<(u64, BTreeMap<String, KindTally>)> {
        Some((self.started_at_ms?, self.counts.by_kind()))
    }
}
