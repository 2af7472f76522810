//! One line for each decision on a request, within a budget.

use cherrystream_core::log_budget::LogBudget;
use cherrystream_core::reasons::Reason;
use cherrystream_core::suspects::identity::Fingerprint;
use cherrystream_core::units::{DisplayRevision, Revision, Timestamp};
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;

/// What became of a request, with what decided it.
#[derive(Clone, Debug, Default)]
pub struct RequestSummary {
    /// Identifier of the request.
    pub id: String,
    /// Route that took it, or kind of request.
    pub kind: String,
    /// Service that it was for.
    pub service: String,
    /// Workspace that it belongs to, where there are workspaces.
    pub workspace: Option<Arc<str>>,
    /// Mark of the key that it bore, if it was refused for that and bore one.
    pub key: Option<String>,
    /// Stands for the request whenever it comes again, as far as it was read.
    pub mark: Option<Fingerprint>,
    /// Backend servers that turned it down for being busy.
    pub busy: Vec<Arc<str>>,
    /// Backend servers that it was sent to.
    pub tried: Vec<Arc<str>>,
    /// Attempts that failed.
    pub attempts: u32,
    /// Backend servers that it reached.
    pub arrivals: u32,
}

/// Writes the lines.
#[derive(Debug, Default)]
pub struct RequestLog {
    budget: Mutex<LogBudget>,
}

impl RequestLog {
    /// Writes the line of a request that has its final answer; `refused_for` says why it is no backend
    /// server's.
    pub fn finish(
        &self,
        now: Timestamp,
        request: &RequestSummary,
        refused_for: Option<Reason>,
        took: Duration,
        held: Revision,
    ) {
        let failed = refused_for.is_some();
        let Some(dropped) = self.budget.lock().take(now, failed) else { return };
        let outcome = refused_for.map_or("answered", |reason| reason.outcome().as_str());
        let reason = refused_for.map_or("none", Reason::as_str);
        let RequestSummary { id, kind, service, workspace, key, .. } = request;
        let RequestSummary { mark, busy, tried, attempts, arrivals, .. } = request;
        let workspace = workspace.as_deref().unwrap_or("none");
        let key = match refused_for {
            Some(Reason::UnknownKey) => format!(" key={}", key.as_deref().unwrap_or("none")),
            _ => String::new(),
        };
        let mark = mark.map_or_else(|| "none".to_string(), |mark| mark.to_string());
        log::info!(
            "request: id={id} mark={mark} kind={kind} service={service} workspace={workspace}{key} outcome={outcome} reason={reason} \
             took_ms={} attempts={attempts} arrivals={arrivals} busy={} tried={} revision={} \
             lines_dropped={dropped}",
            took.as_millis(),
            busy.join(","),
            tried.join(","),
            DisplayRevision(held),
        );
    }
}
