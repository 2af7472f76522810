//! Compares the answers that callers received with the backend servers' records of runs.

use crate::callers::{CallRecord, End};
use crate::cluster::{Cluster, Interruption};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// Requests that take longer may have reached their deadline.
const MAX_TIME_BEFORE_DEADLINE: Duration = Duration::from_millis(2_500);

/// Returns the violated guarantees of requests.
pub fn violations(cluster: &Cluster, records: &[CallRecord]) -> Vec<String> {
    let mut runs = HashMap::<String, u32>::new();
    for run in cluster.servers.iter().flat_map(|server| server.runs()) {
        *runs.entry(run).or_default() += 1;
    }
    records
        .iter()
        .filter_map(|record| {
            let ran = runs.get(&record.name).copied().unwrap_or(0);
            let what = record.answer_violation().or_else(|| violation(cluster, record, ran))?;
            Some(format!("{} ({:?}, daemon {}): {what}", record.name, record.kind, record.daemon))
        })
        .collect()
}

/// Returns the names of all requests that ran on a backend server.
pub fn all_runs(cluster: &Cluster) -> HashSet<String> {
    cluster.servers.iter().flat_map(|server| server.runs()).collect()
}

fn violation(cluster: &Cluster, record: &CallRecord, ran: u32) -> Option<String> {
    if !record.kind.is_repeatable() && ran > 1 {
        return Some(format!("ran {ran} times"));
    }
    match record.outcome() {
        "answered" if ran == 0 => Some("was answered, but never ran".into()),
        "not-run" if ran > 0 && !record.kind.is_repeatable() => {
            Some(format!("was reported as not run, but ran: {:?}", record.end))
        }
        "unknown" if ran > 0 && is_lost_by_stop(cluster, record) => {
            Some(format!("ran, but its answer was lost in a planned stop: {:?}", record.end))
        }
        "connection lost" if ran > 0 && !overlaps_any(&cluster.kills, record) => {
            Some("lost its connection to a daemon that was not killed".into())
        }
        "timeout" if !overlaps_any(&cluster.pauses, record) => Some("had no answer in time".into()),
        "answered" | "not-run" | "unknown" | "not sent" | "connection lost" | "timeout" => None,
        other => Some(format!("has the unexpected outcome '{other}': {:?}", record.end)),
    }
}

/// Returns whether only a planned stop can explain the loss of a backend server's answer.
fn is_lost_by_stop(cluster: &Cluster, record: &CallRecord) -> bool {
    let was_stopped = cluster.stops.iter().any(|stop| {
        stop.from <= record.ended_at && stop.until.is_none_or(|until| until >= record.sent_at)
    });
    let in_time = record.ended_at - record.sent_at < MAX_TIME_BEFORE_DEADLINE;
    was_stopped && in_time && !cluster.is_disrupted(record.sent_at, record.ended_at)
}

/// Describes the requests without an answer whose daemon was not killed. If one of them ran, a
/// guarantee is violated.
pub fn unanswered(cluster: &Cluster, records: &[CallRecord]) -> Vec<String> {
    let unanswered = records
        .iter()
        .filter(|t| t.outcome() == "connection lost" && !overlaps_any(&cluster.kills, t));
    unanswered.map(|record| describe(cluster, record)).collect()
}

fn describe(cluster: &Cluster, record: &CallRecord) -> String {
    let stop =
        cluster.stops.iter().rfind(|s| s.daemon == record.daemon && s.from <= record.ended_at);
    let ended = stop.map(|stop| record.ended_at - stop.from);
    format!(
        "{} ({:?}, daemon {}): no answer after {:?}, {ended:?} after the last SIGTERM; in a stop: {}",
        record.name,
        record.kind,
        record.daemon,
        record.ended_at - record.sent_at,
        overlaps_any(&cluster.stops, record),
    )
}

/// Returns whether the daemon was interrupted while it handled the request.
fn overlaps_any(times: &[Interruption], record: &CallRecord) -> bool {
    times.iter().any(|kills| {
        let overlaps =
            kills.from <= record.ended_at && kills.until.is_none_or(|u| u >= record.sent_at);
        kills.daemon == record.daemon && overlaps
    })
}

/// Counts the requests by outcome.
pub fn outcomes(records: &[CallRecord]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for record in records {
        let failed = matches!(&record.end, End::Answer(a) if a.outcome() == "answered" && !a.status.is_success());
        let name = if failed { "answered with an error" } else { record.outcome() };
        *counts.entry(name.to_string()).or_default() += 1;
    }
    counts
}
