//! What this outbound knows of the rate limits of backend servers, and of those that leave.

use super::Outbound;
use super::request::Call;
use cherrystream_core::backpressure::{InstanceKey, SignalHint, SignalReport};
use cherrystream_core::choose::ServerId;
use cherrystream_core::units::Timestamp;
use std::sync::Arc;

impl Outbound {
    /// Handles the signals sent with an answer or a refusal.
    pub(super) fn on_signals(
        &self,
        call: &Call,
        server: &ServerId,
        signals: Option<&SignalReport>,
    ) {
        let Some(report) = signals else { return };
        self.signals.lock().on_report(self.clock.now(), report);
        // If another instance has replaced the chosen one, the choice learns of it by the
        // configuration.
        if report.instance == instance_key(&call.service, server) {
            self.with_server(call, server, |s, now| s.on_token_wait(now, report.token_wait));
        }
    }

    /// Handles an answer of a backend server that came without signals.
    pub(super) fn on_no_signals(&self, call: &Call, server: &ServerId, sent_at: Timestamp) {
        let mut signals = self.signals.lock();
        if !signals.is_empty() {
            signals.on_no_signals(sent_at, &instance_key(&call.service, server));
        }
    }

    /// Returns what is known of a backend server, to be sent along with a request.
    pub(super) fn signal_hint(&self, call: &Call, server: &ServerId) -> Option<SignalHint> {
        let signals = self.signals.lock();
        if signals.is_empty() {
            return None;
        }
        signals.hint(&instance_key(&call.service, server))
    }
}

/// Returns the identity of an instance of a service.
pub(super) fn instance_key(service: &Arc<str>, server: &ServerId) -> InstanceKey {
    InstanceKey { service: service.clone(), name: server.name.clone(), born_ms: server.born_ms }
}
