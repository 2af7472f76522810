//! Rate-limited log of finished requests, one line each.

use cherrystream_core::log_budget::LogBudget;
use cherrystream_core::reasons::Reason;
use cherrystream_core::suspects::identity::Fingerprint;
use cherrystream_core::units::{DisplayRevision, Revision, Timestamp};
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;

/// Shortest wait of an attempt that is logged if its caller leaves.
const LONG_WAIT: Duration = Duration::from_millis(200);

/// Summary of a finished request.
#[derive(Clone, Debug, Default)]
pub struct RequestSummary {
    /// Identifier of the request.
    pub id: String,
    /// Name of the matched route, or the kind of the request.
    pub kind: String,
    /// Requested service.
    pub service: String,
    /// Workspace of the request, if any.
    pub workspace: Option<Arc<str>>,
    /// Fingerprint of its key, if it was refused for an unknown key.
    pub key: Option<String>,
    /// Fingerprint of the request, if it was read far enough.
    pub fingerprint: Option<Fingerprint>,
    /// Backend servers that refused it as busy.
    pub busy: Vec<Arc<str>>,
    /// Backend servers that it was sent to.
    pub tried: Vec<Arc<str>>,
    /// Number of failed attempts.
    pub attempts: u32,
    /// Number of backend servers that it reached.
    pub arrivals: u32,
}

/// Logs finished requests.
#[derive(Debug, Default)]
pub struct RequestLog {
    budget: Mutex<LogBudget>,
}

impl RequestLog {
    /// Logs an attempt whose caller left before its result, if it waited for long.
    pub fn cancelled(&self, now: Timestamp, service: &str, server: &str, waited: Duration) {
        if waited < LONG_WAIT {
            return;
        }
        let Some(dropped) = self.budget.lock().take(now, true) else { return };
        log::info!(
            "request: attempt cancelled: service={service} server={server} waited_ms={} \
             lines_dropped={dropped}",
            waited.as_millis(),
        );
    }

    /// Logs a finished request. `refused_for` is the reason of a refusal, or `None` if a backend
    /// server answered.
    pub fn finish(
        &self,
        now: Timestamp,
        request: &RequestSummary,
        refused_for: Option<Reason>,
        took: Duration,
        current: Revision,
    ) {
        let failed = refused_for.is_some();
        let Some(dropped) = self.budget.lock().take(now, failed) else { return };
        let outcome = refused_for.map_or("answered", |reason| reason.outcome().as_str());
        let reason = refused_for.map_or("none", Reason::as_str);
        let RequestSummary { id, kind, service, workspace, key, .. } = request;
        let RequestSummary { fingerprint, busy, tried, attempts, arrivals, .. } = request;
        let workspace = workspace.as_deref().unwrap_or("none");
        let key = match refused_for {
            Some(Reason::UnknownKey) => format!(" key={}", key.as_deref().unwrap_or("none")),
            _ => String::new(),
        };
        let mark =
            fingerprint.map_or_else(|| "none".to_string(), |fingerprint| fingerprint.to_string());
        log::info!(
            "request: id={id} mark={mark} kind={kind} service={service} workspace={workspace}{key} \
             outcome={outcome} reason={reason} \
             took_ms={} attempts={attempts} arrivals={arrivals} busy={} tried={} revision={} \
             lines_dropped={dropped}",
            took.as_millis(),
            busy.join(","),
            tried.join(","),
            DisplayRevision(current),
        );
    }
}
