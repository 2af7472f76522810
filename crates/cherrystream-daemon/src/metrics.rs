//! Metrics of the daemon role.

mod backpressure;
mod peer_waits;
mod quotas;

pub use backpressure::BackpressureMetrics;
pub use peer_waits::PeerWaits;
pub use quotas::QuotaMetrics;

use cherrystream_core::reasons::Reason;
use cherrystream_net::connection_metrics::ConnectionFamilies;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicI64;

/// Upper bound of the first bucket of times, in seconds.
const FIRST_BUCKET: f64 = 0.000_25;
/// Ratio of the bounds of two consecutive buckets.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of buckets.
const BUCKETS: u16 = 16;

/// Labels of an answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// Requested service.
    pub service: String,
    /// Kind of request.
    pub kind: String,
    /// Outcome that was returned.
    pub outcome: &'static str,
}

/// Label that names a reason.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// The reason.
    pub reason: &'static str,
}

/// Label that names a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServerLabel {
    /// Name of the backend server.
    pub server: String,
}

/// Label of the status of a suspect request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct SuspectLabel {
    /// The status.
    pub standing: &'static str,
}

/// Metrics of the daemon role.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Answers to callers.
    pub calls: Family<CallLabels, Counter>,
    /// Time until the answer to a caller, in seconds.
    pub call_seconds: Histogram,
    /// Answers to callers that did not come from a backend server, by reason.
    pub refusals: Family<ReasonLabel, Counter>,
    /// Refusals at the inbound, by reason.
    pub inbound_refusals: Family<ReasonLabel, Counter>,
    /// Retries, by the reason of the failure before.
    pub retries: Family<ReasonLabel, Counter>,
    /// Retries denied by the budget or the allowance, by the reason of the failure before.
    pub retries_denied: Family<ReasonLabel, Counter>,
    /// Hedged requests: second attempts sent while the first one is in flight.
    pub hedges: Counter,
    /// Hedged requests denied by the budget.
    pub hedges_denied: Counter,
    /// Requests to health and load endpoints.
    pub measuring: Family<ServerLabel, Counter>,
    /// Requests sent to a backend server.
    pub dispatched: Family<ServerLabel, Counter>,
    /// Connections made to backend servers.
    pub connects: Counter,
    /// Connections made to other daemons.
    pub peer_connects: Counter,
    /// Silent connections to other daemons that were replaced.
    pub peer_replaced: Counter,
    /// Requests sent to other daemons.
    pub peer_calls: Counter,
    /// Calls to other daemons that ended after a long wait.
    pub peer_waits: PeerWaits,
    /// Index of the revision in force.
    pub revision_index: Gauge,
    /// Term of the revision in force.
    pub revision_term: Gauge,
    /// 1 while the configuration in force comes from a peer and control has not confirmed it.
    pub unconfirmed: Gauge,
    /// Applied changes of the configuration, by source.
    pub updates: Family<ReasonLabel, Counter>,
    /// Heartbeats without an answer of control.
    pub control_errors: Counter,
    /// Heartbeat calls to control, by result.
    pub sync_calls: Family<ReasonLabel, Counter>,
    /// Long updates and their chunks, by result.
    pub downloads: Family<ReasonLabel, Counter>,
    /// Bytes of long updates, by source.
    pub download_bytes: Family<ReasonLabel, Counter>,
    /// Answers of replicas with an older state than this daemon.
    pub lagging_answers: Counter,
    /// Recorded attempts of unrepeatable requests.
    pub attempts_known: Gauge<i64, AtomicI64>,
    /// Reservations of slots that expired unused.
    pub reservations_expired: Counter,
    /// Requests refused to leave the last slot to other workspaces.
    pub made_way: Family<ServerLabel, Counter>,
    /// Adaptive concurrency limit of a backend server, once it has changed.
    pub room: Family<ServerLabel, Gauge>,
    /// Changes of the adaptive concurrency limit, by cause.
    pub room_changes: Family<ReasonLabel, Counter>,
    /// Peer requests without the valid shared key.
    pub wrong_keys: Counter,
    /// Metrics of quotas.
    pub quotas: QuotaMetrics,
    /// Metrics of what backend servers state about themselves.
    pub backpressure: BackpressureMetrics,
    /// Rejected reports of instances, by kind of fault.
    pub bad_reports: Family<ReasonLabel, Counter>,
    /// Crashes of backend servers of this host with requests in flight.
    pub ends_at_work: Counter,
    /// Connections to control, besides that of the heartbeats.
    pub connections: ConnectionFamilies,
    /// Suspect requests, by status.
    pub suspects: Family<SuspectLabel, Gauge>,
    /// Suspect requests that were cleared by an answer in isolation at this host.
    pub suspects_cleared: Counter,
    /// Messages on suspect requests to other daemons, by result.
    pub suspect_messages: Family<ReasonLabel, Counter>,
}

impl Default for Metrics {
    fn default() -> Self {
        let buckets = exponential_buckets(FIRST_BUCKET, BUCKET_FACTOR, BUCKETS);
        Metrics {
            calls: Family::default(),
            call_seconds: Histogram::new(buckets),
            refusals: Family::default(),
            inbound_refusals: Family::default(),
            retries: Family::default(),
            retries_denied: Family::default(),
            hedges: Counter::default(),
            hedges_denied: Counter::default(),
            measuring: Family::default(),
            dispatched: Family::default(),
            connects: Counter::default(),
            peer_connects: Counter::default(),
            peer_replaced: Counter::default(),
            peer_calls: Counter::default(),
            peer_waits: PeerWaits::default(),
            revision_index: Gauge::default(),
            revision_term: Gauge::default(),
            unconfirmed: Gauge::default(),
            updates: Family::default(),
            control_errors: Counter::default(),
            sync_calls: Family::default(),
            downloads: Family::default(),
            download_bytes: Family::default(),
            lagging_answers: Counter::default(),
            attempts_known: Gauge::default(),
            reservations_expired: Counter::default(),
            made_way: Family::default(),
            room: Family::default(),
            room_changes: Family::default(),
            wrong_keys: Counter::default(),
            quotas: QuotaMetrics::default(),
            backpressure: BackpressureMetrics::default(),
            bad_reports: Family::default(),
            ends_at_work: Counter::default(),
            connections: ConnectionFamilies::default(),
            suspects: Family::default(),
            suspects_cleared: Counter::default(),
            suspect_messages: Family::default(),
        }
    }
}

impl Metrics {
    /// Registers the metrics; initializes the families by reason with zero.
    pub fn register(&self, registry: &mut Registry) {
        for reason in Reason::ALL {
            for family in [&self.refusals, &self.inbound_refusals, &self.retries] {
                let _ = family.get_or_create(&label(*reason));
            }
        }
        let r = registry.sub_registry_with_prefix("cherrystream");
        self.connections.register(r.sub_registry_with_prefix("control"));
        r.register("calls", "Answers to callers", self.calls.clone());
        r.register("call_seconds", "Time of answers to callers", self.call_seconds.clone());
        r.register("refusals", "Answers that were no backend server's", self.refusals.clone());
        r.register("inbound_refusals", "Refusals at the inbound", self.inbound_refusals.clone());
        r.register("retries", "Further attempts", self.retries.clone());
        r.register("retries_denied", "Retries not permitted", self.retries_denied.clone());
        r.register("hedges", "Second attempts beside the first", self.hedges.clone());
        r.register("hedges_denied", "Hedges not permitted", self.hedges_denied.clone());
        r.register("measuring", "Requests to health and load endpoints", self.measuring.clone());
        r.register("dispatched", "Requests passed to a backend server", self.dispatched.clone());
        r.register("connects", "Connections made to backend servers", self.connects.clone());
        r.register("peer_connects", "Connections made to daemons", self.peer_connects.clone());
        let replaced = self.peer_replaced.clone();
        r.register("peer_replaced", "Silent connections to daemons that were replaced", replaced);
        r.register("peer_calls", "Requests passed to other daemons", self.peer_calls.clone());
        self.peer_waits.register(r);
        r.register("revision_index", "Index of the revision held", self.revision_index.clone());
        r.register("revision_term", "Term of the revision held", self.revision_term.clone());
        r.register("unconfirmed", "1 while held from a peer only", self.unconfirmed.clone());
        r.register("updates", "Changes of configuration taken", self.updates.clone());
        r.register("control_errors", "Heartbeats not answered", self.control_errors.clone());
        r.register("sync_calls", "Heartbeat calls by their end", self.sync_calls.clone());
        r.register("downloads", "Long updates by what became of them", self.downloads.clone());
        r.register("download_bytes", "Bytes of long updates", self.download_bytes.clone());
        let lagging = self.lagging_answers.clone();
        r.register("lagging_answers", "Answers of replicas that knew less", lagging);
        r.register("attempts_known", "Attempts remembered", self.attempts_known.clone());
        let expired = self.reservations_expired.clone();
        r.register("reservations_expired", "Slots kept for a call in vain", expired);
        let made_way = self.made_way.clone();
        r.register("made_way", "Offers turned down to keep a slot for other workspaces", made_way);
        r.register("room", "Requests that a server is given at once, learned", self.room.clone());
        let changes = self.room_changes.clone();
        r.register("room_changes", "Changes of that by cause", changes);
        r.register("wrong_keys", "Peer requests without the key", self.wrong_keys.clone());
        self.quotas.register(r);
        self.backpressure.register(r);
        let bad = self.bad_reports.clone();
        r.register("bad_reports", "Reports of instances that were not taken", bad);
        let ends = self.ends_at_work.clone();
        r.register("ends_at_work", "Ends of backend servers while requests were at work", ends);
        let suspects = self.suspects.clone();
        r.register("suspects", "Requests known for ends of backend servers", suspects);
        let cleared = self.suspects_cleared.clone();
        r.register("suspects_cleared", "Requests that ran alone and were answered here", cleared);
        let messages = self.suspect_messages.clone();
        r.register("suspect_messages", "Messages on such requests by their end", messages);
    }

    /// Counts a message on suspect requests, and whether it was answered.
    pub fn on_suspect_message(&self, answered: bool) {
        let reason = if answered { "answered" } else { "no-answer" };
        self.suspect_messages.get_or_create(&ReasonLabel { reason }).inc();
    }
}

/// Returns the label of a reason.
pub fn label(reason: Reason) -> ReasonLabel {
    ReasonLabel { reason: reason.as_str() }
}
