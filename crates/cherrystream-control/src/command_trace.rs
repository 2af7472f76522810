//! Logs and counts each command of an operator at its end, also when its caller has left.

use crate::metrics::{CommandLabel, Metrics};
use cherrystream_core::log_budget::LogBudget;
use cherrystream_core::units::{DisplayRevision, Revision, Timestamp};
use cherrystream_net::clock::Clock;
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;

/// Logged in place of a value that is not known.
const NONE: &str = "none";

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is in force.
    Committed,
    /// A newer command was accepted first.
    Superseded,
    /// It may have been sent long before it was read.
    Stale,
    /// It is invalid in the current state.
    Refused,
    /// It may be in force or not.
    Unknown,
    /// Its caller left before it ended.
    Abandoned,
}

impl Outcome {
    fn as_str(self) -> &'static str {
        match self {
            Outcome::Committed => "committed",
            Outcome::Superseded => "superseded",
            Outcome::Stale => "stale",
            Outcome::Refused => "refused",
            Outcome::Unknown => "unknown",
            Outcome::Abandoned => "abandoned",
        }
    }
}

/// Records the commands that a replica receives.
#[derive(Clone, Debug, Default)]
pub struct CommandTraces {
    metrics: Metrics,
    clock: Clock,
    budget: Arc<Mutex<LogBudget>>,
}

impl CommandTraces {
    /// Creates a record of commands without entries.
    pub fn new(metrics: Metrics) -> CommandTraces {
        CommandTraces { metrics, ..CommandTraces::default() }
    }

    /// Starts the trace of a command.
    pub fn start(&self, what: String, from: Option<SocketAddr>) -> CommandTrace {
        CommandTrace {
            traces: self.clone(),
            what,
            from,
            received: self.clock.now(),
            base: None,
            committed: None,
            outcome: Outcome::Abandoned,
        }
    }

    fn record(&self, trace: &CommandTrace) {
        let outcome = trace.outcome.as_str();
        self.metrics.commands.get_or_create(&CommandLabel { outcome }).inc();
        let now = self.clock.now();
        let Some(dropped) = self.budget.lock().take(now, true) else { return };
        log::info!(
            "orders: command={:?} outcome={outcome} from={} waited_ms={} base={} revision={} \
             dropped_lines={dropped}",
            trace.what,
            trace.from.map_or_else(|| NONE.into(), |from| from.to_string()),
            now.since(trace.received).as_millis(),
            show(trace.base),
            show(trace.committed),
        );
    }
}

/// Trace of one command. Records the command when it is dropped.
pub struct CommandTrace {
    traces: CommandTraces,
    what: String,
    from: Option<SocketAddr>,
    received: Timestamp,
    base: Option<Revision>,
    committed: Option<Revision>,
    outcome: Outcome,
}

impl CommandTrace {
    /// Records the base with which the command is proposed.
    pub fn set_base(&mut self, base: Revision) {
        self.base = Some(base);
    }

    /// Records the revision at which the command was committed, and its end.
    pub fn commit(mut self, revision: Revision) {
        self.committed = Some(revision);
        self.outcome = Outcome::Committed;
    }

    /// Records the end of a command that is not known to be committed.
    pub fn finish(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for CommandTrace {
    fn drop(&mut self) {
        self.traces.record(self);
    }
}

fn show(revision: Option<Revision>) -> String {
    revision.map_or_else(|| NONE.into(), |revision| DisplayRevision(revision).to_string())
}
