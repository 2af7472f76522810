//! What this outbound knows of the rate limits of backend servers, and of those that leave.

use super::Outbound;
use super::request::Call;
use crate::current_config::CurrentConfig;
use cherrystream_core::backpressure::{InstanceKey, SignalHint, SignalReport};
use cherrystream_core::choose::{ServerId, ServerTable};
use cherrystream_core::units::Timestamp;
use cherrystream_schema::messages::{Instance, ServerState};
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
            self.with_server(call, server, |s, now| {
                s.on_token_wait(now, report.token_wait);
                if report.leaving {
                    s.set_leaving(now, now);
                }
            });
        }
    }

    /// Returns the backend servers that a request must not be sent to: those outside its regions, and
    /// those that are leaving.
    pub(super) fn excluded_servers(&self, call: &Call, table: &ServerTable) -> Vec<Arc<str>> {
        let mut excluded = self.disallowed_servers(call, table);
        self.add_leaving_servers(table, &mut excluded);
        excluded
    }

    /// Adds the backend servers that must not be used because they are leaving.
    pub(super) fn add_leaving_servers(&self, table: &ServerTable, excluded: &mut Vec<Arc<str>>) {
        let now = self.clock.now();
        let leaving = table.closed_by_leaving(now, self.leaving_grace, excluded);
        excluded.extend(leaving);
    }

    /// Marks the backend servers that are known to be leaving, after the lists have changed.
    pub(super) fn apply_known_signals(&self, current: &CurrentConfig) {
        let now = self.clock.now();
        let mut signals = self.signals.lock();
        for (service, instance) in leaving_instances(current) {
            let (service, name) = (service.into(), instance.id.as_str().into());
            let key = InstanceKey { service, name, born_ms: instance.born_ms };
            signals.on_listed_leaving(now, key);
        }
        let instances = &current.shared.instances;
        signals.retain_listed(now, |key| {
            let is_run = |i: &Instance| *i.id == *key.name && i.born_ms == key.born_ms;
            instances.values().any(|record| is_run(&record.instance))
        });
        let leaving: Vec<_> = signals.leaving().map(|(key, at)| (key.clone(), at)).collect();
        drop(signals);
        for (key, since) in leaving {
            let Some(balancer) = self.balancer(&key.service) else { continue };
            let mut balancer = balancer.lock();
            let server = balancer.server(&key.name);
            if let Some(server) = server.filter(|server| server.id().born_ms == key.born_ms) {
                server.set_leaving(now, since);
            }
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
        let instance = instance_key(&call.service, server);
        signals.hint(self.clock.now(), &instance, server.registered)
    }
}

/// Returns the registered instances that are draining, with their services.
pub(super) fn leaving_instances(
    current: &CurrentConfig,
) -> impl Iterator<Item = (&str, &Instance)> {
    let records = current.shared.instances.values();
    let instances = records.map(|record| &record.instance);
    let leaving = instances.filter(|instance| instance.state == ServerState::Draining);
    leaving.map(|instance| (instance.service.as_str(), instance))
}

/// Returns the identity of an instance of a service.
pub(super) fn instance_key(service: &Arc<str>, server: &ServerId) -> InstanceKey {
    InstanceKey { service: service.clone(), name: server.name.clone(), born_ms: server.born_ms }
}
