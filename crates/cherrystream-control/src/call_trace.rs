//! Logs and counts calls through the leader that fail, with the step at which they failed.

use crate::metrics::{FailedCallLabel, Metrics};
use cherrystream_core::log_budget::LogBudget;
use cherrystream_net::clock::Clock;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Logged in place of a value that is not known.
const NONE: &str = "none";

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Confirmation that this replica has applied every earlier change.
    Read,
    /// Operator call that the leader handles.
    Operator,
}

impl CallKind {
    fn as_str(self) -> &'static str {
        match self {
            CallKind::Read => "read",
            CallKind::Operator => "operator",
        }
    }
}

/// Step of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The log of this replica handles the call.
    OwnLog,
    /// A leader has to be known.
    Leader,
    /// A connection to the leader is needed.
    Connect,
    /// The leader has to answer.
    Answer,
    /// This replica has to apply what the leader has committed.
    Apply,
}

impl Step {
    fn as_str(self) -> &'static str {
        match self {
            Step::OwnLog => "own-log",
            Step::Leader => "leader",
            Step::Connect => "connect",
            Step::Answer => "answer",
            Step::Apply => "apply",
        }
    }
}

/// Records the failed calls of a replica.
#[derive(Clone, Debug, Default)]
pub struct CallTraces {
    metrics: Metrics,
    clock: Clock,
    budget: Arc<Mutex<LogBudget>>,
}

impl CallTraces {
    /// Creates a record of calls without entries.
    pub fn new(metrics: Metrics) -> CallTraces {
        CallTraces { metrics, ..CallTraces::default() }
    }

    /// Starts the trace of a call.
    pub fn start(&self, kind: CallKind) -> CallTrace<'_> {
        CallTrace {
            traces: self,
            kind,
            step: Step::OwnLog,
            leader: None,
            connection_age: None,
            started: Instant::now(),
            end: End::Cancelled,
        }
    }

    fn record(&self, trace: &CallTrace) {
        let (call, step, end) = (trace.kind.as_str(), trace.step.as_str(), trace.end.as_str());
        self.metrics.failed_calls.get_or_create(&FailedCallLabel { call, step, end }).inc();
        let Some(dropped) = self.budget.lock().take(self.clock.now(), true) else { return };
        log::info!(
            "control: call={call} end={end} step={step} leader={} connection_age={} took={:?} \
             dropped_lines={dropped}",
            trace.leader.map_or_else(|| NONE.into(), |leader| leader.to_string()),
            trace.connection_age.map_or_else(|| NONE.into(), |age| format!("{age:?}")),
            trace.started.elapsed()
        );
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Succeeded,
    Failed,
    /// Its caller has left.
    Cancelled,
}

impl End {
    fn as_str(self) -> &'static str {
        match self {
            End::Succeeded => "succeeded",
            End::Failed => "failed",
            End::Cancelled => "cancelled",
        }
    }
}

/// Trace of one call. Records the call when it is dropped, unless the call has succeeded.
pub struct CallTrace<'a> {
    traces: &'a CallTraces,
    kind: CallKind,
    step: Step,
    leader: Option<u64>,
    connection_age: Option<Duration>,
    started: Instant,
    end: End,
}

impl CallTrace<'_> {
    /// Records that the call has reached a step.
    pub fn reach(&mut self, step: Step) {
        self.step = step;
    }

    /// Records the leader that handles the call.
    pub fn set_leader(&mut self, leader: u64) {
        self.leader = Some(leader);
    }

    /// Records the age of the connection to the leader.
    pub fn set_connection_age(&mut self, age: Option<Duration>) {
        self.connection_age = age;
    }

    /// Records whether the call succeeded.
    pub fn finish(mut self, succeeded: bool) {
        self.end = if succeeded { End::Succeeded } else { End::Failed };
    }
}

impl Drop for CallTrace<'_> {
    fn drop(&mut self) {
        if self.end != End::Succeeded {
            self.traces.record(self);
        }
    }
}
