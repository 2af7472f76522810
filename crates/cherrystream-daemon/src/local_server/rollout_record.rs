//! Counts of answers and a circuit breaker for the roll-out of a service.

use super::permit::{Ending, Work};
use cherrystream_core::rollout::counts::{Answer, Counts};
use cherrystream_core::rollout::guard::CircuitBreaker;
use cherrystream_core::units::Timestamp;
use cherrystream_schema::messages::KindTally;
use std::collections::BTreeMap;
use std::time::Duration;

/// Service time recorded for a request without an answer before its deadline.
const TIMED_OUT: Duration = Duration::MAX;

/// State of the roll-out in progress at one backend server.
#[derive(Debug, Default)]
pub(super) struct RolloutRecord {
    /// Start in Unix milliseconds; `None` while no roll-out is in progress and nothing is counted.
    started_at_ms: Option<u64>,
    counts: Counts,
    breaker: CircuitBreaker,
}

impl RolloutRecord {
    /// Sets the roll-out in progress; another one resets the counts.
    pub(super) fn set(&mut self, started_at_ms: Option<u64>) {
        if self.started_at_ms != started_at_ms {
            *self = RolloutRecord { started_at_ms, ..RolloutRecord::default() };
        }
    }

    /// Counts finished work; `took` is its service time at normal slowness.
    pub(super) fn count(&mut self, now: Timestamp, work: &Work, ending: Ending, took: Duration) {
        if self.started_at_ms.is_none() {
            return;
        }
        let (failed, took) = match ending {
            // A broken connection may be a failure of the host or the network, not of the version.
            Ending::Incomplete => return,
            Ending::Answered { failed } => (failed, took),
            Ending::TimedOut => (false, TIMED_OUT),
        };
        let took = Some(took).filter(|_| !work.is_cold);
        self.counts.on_answer(&work.kind, Answer { failed, took });
        self.breaker.on_answer(now, failed);
    }

    /// Returns whether the circuit breaker is open.
    pub(super) fn is_circuit_open(&self, now: Timestamp) -> bool {
        self.breaker.is_open(now)
    }

    /// Returns the start in Unix milliseconds and the counts since; `None` while no roll-out is in
    /// progress.
    pub(super) fn counts(&self) -> Option<(u64, BTreeMap<String, KindTally>)> {
        Some((self.started_at_ms?, self.counts.by_kind()))
    }
}
