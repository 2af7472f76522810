//! Metrics of calls to other daemons that end after a long wait without a complete response.

use cherrystream_core::log_budget::LogBudget;
use cherrystream_core::units::Timestamp;
use parking_lot::Mutex;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use std::sync::Arc;

/// Label with the step that a call waited for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StepLabel {
    /// The step, such as `head`.
    pub step: &'static str,
}

/// Calls that ended after a long wait, and the budget of their log lines.
#[derive(Clone, Debug, Default)]
pub struct PeerWaits {
    ended: Family<StepLabel, Counter>,
    budget: Arc<Mutex<LogBudget>>,
}

impl PeerWaits {
    /// Counts a call by the step that it waited for. Returns the number of log lines dropped since
    /// the last one, or `None` if this call is not logged either.
    pub fn on_ended(&self, now: Timestamp, step: &'static str) -> Option<u64> {
        self.ended.get_or_create(&StepLabel { step }).inc();
        self.budget.lock().take(now, true)
    }

    /// Registers the metrics.
    pub fn register(&self, r: &mut Registry) {
        let ended = self.ended.clone();
        r.register("peer_waits", "Calls to daemons without a response for over a second", ended);
    }
}
