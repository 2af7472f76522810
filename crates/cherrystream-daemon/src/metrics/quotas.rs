//! Metrics of quotas. Only the busiest workspaces have a label of their own, which bounds the
//! number of time series.

use cherrystream_core::quota::{LeaseAnswer, LeaseBatch, LeaseReply};
use parking_lot::Mutex;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Largest number of workspaces with a label of their own.
const MAX_NAMED: usize = 20;
/// Interval at which the busiest workspaces are selected.
const SELECT_INTERVAL: Duration = Duration::from_secs(60);
/// Label of all other workspaces.
const OTHERS: &str = "(others)";
/// Upper bound of the first bucket of ages, in seconds.
const FIRST_BUCKET: f64 = 0.001;
/// Ratio of the bounds of two consecutive buckets.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of buckets.
const BUCKETS: u16 = 14;

/// Label that names a workspace.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct WorkspaceLabel {
    /// Name of the workspace, or the common label of all others.
    pub workspace: String,
}

/// Label of the result of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndLabel {
    /// The result.
    pub end: &'static str,
}

/// Metrics of quotas.
#[derive(Clone, Debug)]
pub struct QuotaMetrics {
    used: Family<WorkspaceLabel, Counter>,
    refused: Family<WorkspaceLabel, Counter>,
    given_back: Family<WorkspaceLabel, Counter>,
    granted: Family<WorkspaceLabel, Counter>,
    alone: Counter,
    answer_age: Histogram,
    batches: Family<EndLabel, Counter>,
    busiest: Arc<Mutex<Busiest>>,
}

impl Default for QuotaMetrics {
    fn default() -> Self {
        let buckets = exponential_buckets(FIRST_BUCKET, BUCKET_FACTOR, BUCKETS);
        QuotaMetrics {
            used: Family::default(),
            refused: Family::default(),
            given_back: Family::default(),
            granted: Family::default(),
            alone: Counter::default(),
            answer_age: Histogram::new(buckets),
            batches: Family::default(),
            busiest: Arc::default(),
        }
    }
}

impl QuotaMetrics {
    /// Registers the metrics.
    pub fn register(&self, r: &mut Registry) {
        r.register("quota_used", "Requests run within quotas", self.used.clone());
        r.register("quota_refused", "Requests refused over quotas", self.refused.clone());
        r.register("quota_given_back", "Charges taken back", self.given_back.clone());
        r.register("quota_granted", "Credits granted to daemons", self.granted.clone());
        r.register("quota_alone", "Requests run while no home was in reach", self.alone.clone());
        let age = self.answer_age.clone();
        r.register("quota_answer_age_seconds", "Age of the word a refusal rests on", age);
        r.register("quota_batches", "Letters to homes by their end", self.batches.clone());
    }

    /// Records a request within its quota; `alone` means that no quota allocator was reachable.
    pub fn on_used(&self, workspace: &Arc<str>, alone: bool) {
        let label = self.label(workspace, 1);
        self.used.get_or_create(&label).inc();
        self.alone.inc_by(u64::from(alone));
    }

    /// Records a refused request, with the age of the answer that the refusal is based on.
    pub fn on_refused(&self, workspace: &Arc<str>, answer_age: Duration) {
        let label = self.label(workspace, 1);
        self.refused.get_or_create(&label).inc();
        self.answer_age.observe(answer_age.as_secs_f64());
    }

    /// Records a charge that was returned.
    pub fn on_given_back(&self, workspace: &Arc<str>) {
        let label = self.label(workspace, 0);
        self.given_back.get_or_create(&label).inc();
    }

    /// Records the leases granted to another daemon.
    pub fn on_answer(&self, batch: &LeaseBatch, reply: &LeaseReply) {
        for (line, answer) in batch.lines.iter().zip(&reply.answers) {
            let LeaseAnswer::Granted { credits, .. } = answer else { continue };
            let label = self.label(&line.workspace, u64::from(*credits));
            self.granted.get_or_create(&label).inc_by(u64::from(*credits));
        }
    }

    /// Records the result of a batch to a quota allocator.
    pub fn on_batch(&self, is_answered: bool) {
        let end = if is_answered { "answered" } else { "no-answer" };
        self.batches.get_or_create(&EndLabel { end }).inc();
    }

    fn label(&self, workspace: &Arc<str>, weight: u64) -> WorkspaceLabel {
        let mut busiest = self.busiest.lock();
        let removed = busiest.record(workspace, weight);
        let is_named = busiest.named.contains(workspace);
        drop(busiest);
        for name in removed {
            let label = WorkspaceLabel { workspace: name.to_string() };
            for family in [&self.used, &self.refused, &self.given_back, &self.granted] {
                family.remove(&label);
            }
        }
        let name = if is_named { workspace } else { OTHERS };
        WorkspaceLabel { workspace: name.into() }
    }
}

/// The busiest workspaces.
#[derive(Debug)]
struct Busiest {
    seen: HashMap<Arc<str>, u64>,
    named: HashSet<Arc<str>>,
    selected_at: Instant,
}

impl Default for Busiest {
    fn default() -> Self {
        Busiest { seen: HashMap::new(), named: HashSet::new(), selected_at: Instant::now() }
    }
}

impl Busiest {
    /// Records requests; returns the workspaces that lose their label.
    fn record(&mut self, workspace: &Arc<str>, weight: u64) -> Vec<Arc<str>> {
        *self.seen.entry(workspace.clone()).or_default() += weight;
        if self.named.len() < MAX_NAMED {
            self.named.insert(workspace.clone());
        }
        if self.selected_at.elapsed() < SELECT_INTERVAL {
            return Vec::new();
        }
        self.selected_at = Instant::now();
        let mut all: Vec<_> = self.seen.drain().collect();
        all.sort_by_key(|(_, count)| Reverse(*count));
        let selected = all.into_iter().take(MAX_NAMED).map(|(name, _)| name).collect();
        let previous = std::mem::replace(&mut self.named, selected);
        previous.difference(&self.named).cloned().collect()
    }
}
