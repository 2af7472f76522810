//! Metrics of the rate limits that backend servers state, and of those that leave.

use super::{ReasonLabel, ServerLabel};
use cherrystream_core::backpressure::SignalChange;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;

/// Metrics of the signals of the backend servers of this host.
#[derive(Clone, Debug, Default)]
pub struct BackpressureMetrics {
    /// Rate limit that a backend server states, in requests per second; absent while it states none.
    pub limit: Family<ServerLabel, Gauge<f64, AtomicU64>>,
    /// 1 for a backend server that states that it is leaving.
    pub leaving: Family<ServerLabel, Gauge>,
    /// Changes of the signals, by kind.
    pub changes: Family<ReasonLabel, Counter>,
}

impl BackpressureMetrics {
    /// Records a change of the signals of a backend server.
    pub fn on_change(&self, server: &str, change: &SignalChange) {
        let label = ServerLabel { server: server.into() };
        match change {
            SignalChange::Limit { to: Some(limit), .. } => {
                self.limit.get_or_create(&label).set(limit.per_second());
            }
            SignalChange::Limit { to: None, .. } => drop(self.limit.remove(&label)),
            SignalChange::Leaving => drop(self.leaving.get_or_create(&label).set(1)),
            SignalChange::UnreadableLimit | SignalChange::UnreadableLeaving => {}
        }
        self.changes.get_or_create(&ReasonLabel { reason: kind(change) }).inc();
    }

    /// Removes the gauges of a backend server that has been replaced.
    pub fn on_replaced(&self, server: &str) {
        let label = ServerLabel { server: server.into() };
        self.limit.remove(&label);
        self.leaving.remove(&label);
    }

    /// Registers the metrics.
    pub fn register(&self, r: &mut Registry) {
        let limit = self.limit.clone();
        r.register("server_limit", "Requests a second that a server states as its limit", limit);
        let leaving = self.leaving.clone();
        r.register("server_leaving", "1 for a server that states that it is leaving", leaving);
        let changes = self.changes.clone();
        r.register("server_signal_changes", "Changes of what servers state, by kind", changes);
    }
}

fn kind(change: &SignalChange) -> &'static str {
    match change {
        SignalChange::Limit { from: None, .. } => "limit-stated",
        SignalChange::Limit { to: None, .. } => "limit-ended",
        SignalChange::Limit { .. } => "limit-changed",
        SignalChange::Leaving => "leaving",
        SignalChange::UnreadableLimit => "unreadable-limit",
        SignalChange::UnreadableLeaving => "unreadable-leaving",
    }
}
