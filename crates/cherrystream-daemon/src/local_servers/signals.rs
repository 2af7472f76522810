//! Records what the backend servers of this host state about themselves, for operators.

use super::LocalServers;
use crate::local_server::LocalServer;
use cherrystream_core::backpressure::{RateLimit, SignalChange, SignalHint, Signals};
use cherrystream_core::units::Timestamp;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Shortest time between log lines about changes of the limit of one backend server.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(1);

impl LocalServers {
    /// Handles the signals in the answer of a backend server to a request that was sent at
    /// `sent_at`.
    pub fn on_signals(&self, server: &Arc<LocalServer>, sent_at: Timestamp, signals: &Signals) {
        for change in server.on_signals(sent_at, signals) {
            self.record_signal_change(server, &change);
        }
    }

    /// Handles the signals in an answer of the health endpoint that names the instance it comes from.
    pub fn on_health_signals(
        &self,
        server: &Arc<LocalServer>,
        sent_at: Timestamp,
        signals: &Signals,
    ) {
        for change in server.on_health_signals(sent_at, signals) {
            self.record_signal_change(server, &change);
        }
    }

    /// Updates the metrics of backend servers that have restarted under their name.
    pub fn record_forgotten_signals(&self) {
        for server in self.listed().into_iter().filter(|s| s.take_forgotten_signals()) {
            self.metrics.backpressure.on_replaced(&server.id.name);
        }
    }

    /// Returns a receiver that is notified when a backend server states that it is leaving.
    pub fn subscribe_leaving(&self) -> watch::Receiver<u64> {
        self.leaving.subscribe()
    }

    /// Handles what the sender of a request knows of a backend server. A hint on an earlier instance
    /// is ignored.
    pub fn on_hint(&self, server: &Arc<LocalServer>, hint: Option<&SignalHint>) {
        let Some(hint) = hint.filter(|hint| hint.instance == server.instance_key()) else { return };
        for change in server.on_signal_hint(hint) {
            self.record_signal_change(server, &change);
        }
    }

    fn record_signal_change(&self, server: &LocalServer, change: &SignalChange) {
        let name = &*server.id.name;
        if !self.is_current(server) {
            return;
        }
        self.metrics.backpressure.on_change(name, change);
        match change {
            SignalChange::Limit { from: Some(from), to: Some(to) } => {
                if server.may_log_limit(MIN_LOG_INTERVAL) {
                    log::info!("limit of {name}: {to}, previously {from}");
                }
            }
            SignalChange::Limit { from, to } => {
                log::info!("limit of {name}: {}, previously {}", describe(*to), describe(*from))
            }
            SignalChange::Leaving => {
                log::info!("{name} states that it is leaving");
                self.leaving.send_modify(|count| *count += 1);
            }
            SignalChange::UnreadableLimit => log::warn!(
                "{name} states a limit that cannot be read, which is ignored; it must send one \
                 decimal number of requests per second"
            ),
            SignalChange::UnreadableLeaving => log::warn!(
                "{name} states an unreadable value on whether it is leaving, which is ignored; it \
                 must send 1 or nothing"
            ),
        }
    }
}

fn describe(limit: Option<RateLimit>) -> String {
    limit.map_or("none".into(), |limit| limit.to_string())
}
