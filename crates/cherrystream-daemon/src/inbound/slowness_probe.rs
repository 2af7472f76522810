//! Refreshes the reported slowness of a backend server before a request is admitted.

use super::Inbound;
use crate::health_checks;
use crate::local_server::LocalServer;
use cherrystream_core::admission::Arrival;
use std::sync::Arc;
use std::time::Duration;

/// Longest time that a request waits for the reported slowness.
const MAX_WAIT: Duration = Duration::from_millis(15);

impl Inbound {
    /// Probes the slowness of a backend server and waits for it, if the admission of a request
    /// depends on it. Answers report the slowness too, but at a few requests per second the last
    /// report is mostly too old.
    pub(super) async fn refresh_slowness(
        self: &Arc<Self>,
        server: &Arc<LocalServer>,
        arrival: &Arrival,
        kind: &str,
    ) {
        if !server.needs_slowness_first(arrival, kind) {
            return;
        }
        // A late response is still read: it reports the slowness, and its connection is kept.
        let probe = tokio::spawn(health_checks::probe_health(server.clone(), self.clone()));
        if tokio::time::timeout(MAX_WAIT, probe).await.is_err() {
            // The request is decided on without it, and the next ones don't wait.
            server.on_slowness_timeout();
        }
    }
}
