//! Metrics and log lines of managed connections.

use crate::activity::Activity;
use crate::clock::Clock;
use cherrystream_core::log_budget::LogBudget;
use parking_lot::Mutex;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use std::sync::Arc;

/// Label with the traffic that a connection carries.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TrafficLabel {
    /// Traffic, such as `log`.
    pub traffic: &'static str,
}

/// Metrics of the managed connections of a role, by the traffic that they carry.
#[derive(Clone, Debug, Default)]
pub struct ConnectionFamilies {
    opened: Family<TrafficLabel, Counter>,
    replaced: Family<TrafficLabel, Counter>,
    failed: Family<TrafficLabel, Counter>,
    log: Arc<SilenceLog>,
}

impl ConnectionFamilies {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("connections_opened", "Connections opened", self.opened.clone());
        registry.register(
            "connections_replaced",
            "Silent connections that were replaced",
            self.replaced.clone(),
        );
        registry.register("connects_failed", "Failed attempts to connect", self.failed.clone());
    }

    /// Returns the metrics of the connections that carry a kind of traffic.
    pub fn metrics(&self, traffic: &'static str) -> ConnectionMetrics {
        let label = TrafficLabel { traffic };
        ConnectionMetrics {
            traffic,
            opened: self.opened.get_or_create(&label).clone(),
            replaced: self.replaced.get_or_create(&label).clone(),
            failed: self.failed.get_or_create(&label).clone(),
            log: self.log.clone(),
        }
    }
}

/// Metrics of managed connections that carry one kind of traffic.
#[derive(Clone, Debug, Default)]
pub struct ConnectionMetrics {
    /// Traffic that the connections carry.
    pub traffic: &'static str,
    /// Connections opened.
    pub opened: Counter,
    /// Silent connections that were replaced.
    pub replaced: Counter,
    /// Attempts to connect that failed.
    pub failed: Counter,
    log: Arc<SilenceLog>,
}

impl ConnectionMetrics {
    /// Logs what happens to a silent connection, unless too many lines were logged.
    pub fn log_silence(&self, address: &str, activity: &Activity, action: &str) {
        self.log.write(self.traffic, address, activity, action);
    }
}

/// Logs what happens to silent connections, with a limited number of lines.
#[derive(Debug, Default)]
struct SilenceLog {
    clock: Clock,
    budget: Mutex<LogBudget>,
}

impl SilenceLog {
    fn write(&self, traffic: &str, address: &str, activity: &Activity, action: &str) {
        let Some(dropped) = self.budget.lock().take(self.clock.now(), true) else { return };
        log::info!(
            "rpc: silent connection {action}: traffic={traffic} peer={address} age={:?} \
             silent_for={:?} dropped_lines={dropped}",
            activity.age(),
            activity.silence()
        );
    }
}
