//! Observes which route tables daemons have applied, by the requests that they route.

use crate::support::client::{self, Ask};
use crate::tables::{self, Accepted, AcceptedTables};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Pause between two probes.
const PAUSE: Duration = Duration::from_millis(50);
/// Timeout of a request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Deadline of a probe request in milliseconds.
const DEADLINE_MS: u64 = 3_000;
/// Reason of a refusal because no route and no service matches the request.
const REASON_NO_ROUTE: &str = "no-such-service";
/// Time within which every change must be applied by all daemons (`docs/DEVELOPERS.md`).
pub const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(18);

/// A daemon to observe.
#[derive(Clone)]
pub struct WatchedDaemon {
    pub daemon: usize,
    pub address: String,
    /// Number of restarts of its process.
    pub restarts: Arc<AtomicU64>,
    /// Key of a workspace, if requests need one.
    pub key: Option<&'static str>,
}

/// Observations of one daemon.
#[derive(Debug, Default)]
pub struct Report {
    /// Longest time for which a process lagged behind an accepted table.
    pub longest: Duration,
    /// Violated guarantees.
    pub violations: Vec<String>,
}

impl WatchedDaemon {
    /// Observes a daemon until `stop` is set.
    pub async fn watch(
        self,
        accepted_tables: Arc<AcceptedTables>,
        stop: Arc<AtomicBool>,
    ) -> Report {
        let mut report = Report::default();
        let mut observed = ObservedTable { restarts: 0, since: Instant::now(), number: 0 };
        while !stop.load(Ordering::Relaxed) {
            self.probe(&accepted_tables, &mut observed, &mut report).await;
            tokio::time::sleep(PAUSE).await;
        }
        report
    }

    async fn probe(
        &self,
        accepted_tables: &AcceptedTables,
        observed: &mut ObservedTable,
        report: &mut Report,
    ) {
        let restarts = self.restarts.load(Ordering::SeqCst);
        if observed.restarts != restarts {
            *observed = ObservedTable { restarts, since: Instant::now(), number: 0 };
        }
        if observed.number > 0
            && self.has_table(observed.number).await == Some(false)
            && self.is_same_process(restarts)
        {
            let what =
                format!("daemon {} went back to a table before {}", self.daemon, observed.number);
            report.violations.push(what);
            observed.number = 0;
        }
        let Some(lacking) = accepted_tables.first_after(observed.number) else { return };
        let Some(Accepted { number, .. }) = accepted_tables.newest() else { return };
        let has_newest = self.has_table(number).await;
        if !self.is_same_process(restarts) {
            return;
        }
        let since = lacking.at.max(observed.since);
        report.longest = report.longest.max(since.elapsed());
        if has_newest == Some(true) {
            observed.number = number;
        }
    }

    fn is_same_process(&self, restarts: u64) -> bool {
        self.restarts.load(Ordering::SeqCst) == restarts
    }

    /// Returns whether the daemon has applied a table or a later one; `None` if the answer doesn't
    /// show it.
    async fn has_table(&self, number: u64) -> Option<bool> {
        let ask = Ask::get("/look")
            .with("host", tables::marker_host(number))
            .with("cherrystream-deadline-ms", DEADLINE_MS)
            .with_key(self.key);
        let sending = client::send(&self.address, &ask);
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, sending).await.ok()??;
        match answer.outcome() {
            "answered" => Some(true),
            "not-run" => Some(answer.reason() != REASON_NO_ROUTE),
            _ => None,
        }
    }

    /// Waits until the daemon has applied a table; returns the time since its acceptance, or a
    /// violation.
    pub async fn wait_until_applied(&self, accepted: Accepted) -> Result<Duration, String> {
        while accepted.at.elapsed() < MAX_PROPAGATION_TIME {
            if self.has_table(accepted.number).await == Some(true) {
                return Ok(accepted.at.elapsed());
            }
            tokio::time::sleep(PAUSE).await;
        }
        Err(format!(
            "daemon {}: table {} is not applied {MAX_PROPAGATION_TIME:?} after its acceptance",
            self.daemon, accepted.number
        ))
    }
}

/// The newest table that a process was observed to have.
struct ObservedTable {
    restarts: u64,
    /// When this process was first observed.
    since: Instant,
    number: u64,
}

/// Waits until all daemons have applied a table; returns the longest time since its acceptance, or
/// the violations.
pub async fn wait_until_applied(
    watched: &[WatchedDaemon],
    accepted: Accepted,
) -> Result<Duration, Vec<String>> {
    let mut waiting = tokio::task::JoinSet::new();
    for one in watched {
        let one = one.clone();
        waiting.spawn(async move { one.wait_until_applied(accepted).await });
    }
    let results = waiting.join_all().await;
    let violations: Vec<String> = results.iter().filter_map(|r| r.clone().err()).collect();
    match violations.is_empty() {
        true => Ok(results.into_iter().flatten().max().unwrap_or_default()),
        false => Err(violations),
    }
}
