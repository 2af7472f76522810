//! An operator that repeatedly replaces the whole route table by a large one.

use crate::orders::{self, RouteLine};
use crate::support::client::{self, Answer, Ask};
use parking_lot::Mutex;
use rand::Rng;
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Number of routes of a table, without its marker routes.
const ROUTE_COUNT: std::ops::Range<usize> = 200..4_000;
/// Number of routes of the last table of a run.
const LAST_ROUTE_COUNT: usize = 4_200;
/// Probability that every route of a table differs from the previous table.
const RENEWAL_PROBABILITY: f64 = 0.7;
/// Pause between two tables in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 100..900;
/// Pause before a command without an answer is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(60);
/// Timeout of a request to control.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which the last table must be accepted, after all faults have ended.
const LAST_TABLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Path prefix of requests that may run at most once.
pub const ONCE_PATH: &str = "/u/";

/// Returns the host name of the marker route that table `number` and all later ones contain. A
/// daemon that routes it has applied that table or a later one.
pub fn marker_host(number: u64) -> String {
    format!("table-{number}.soak")
}

/// A table that control accepted.
#[derive(Clone, Copy, Debug)]
pub struct Accepted {
    pub number: u64,
    pub at: Instant,
}

/// The tables that control accepted in a run.
#[derive(Default)]
pub struct AcceptedTables {
    accepted: Mutex<Vec<Accepted>>,
}

impl AcceptedTables {
    /// Returns the table accepted last.
    pub fn newest(&self) -> Option<Accepted> {
        self.accepted.lock().last().copied()
    }

    /// Returns the first accepted table with a higher number.
    pub fn first_after(&self, number: u64) -> Option<Accepted> {
        self.accepted.lock().iter().find(|accepted| accepted.number > number).copied()
    }

    fn record_accepted(&self, number: u64) {
        self.accepted.lock().push(Accepted { number, at: Instant::now() });
    }
}

/// Observations of a table operator.
#[derive(Debug, Default)]
pub struct Report {
    /// Number of accepted tables.
    pub accepted: usize,
    /// Violated guarantees of control.
    pub violations: Vec<String>,
}

/// Replaces the route table of one site.
pub struct Operator {
    pub apis: Vec<String>,
    pub accepted_tables: Arc<AcceptedTables>,
    rng: SmallRng,
    number: u64,
    /// Number of the last table in which all routes were new.
    renewed: u64,
}

impl Operator {
    pub fn new(apis: Vec<String>, rng: SmallRng) -> Operator {
        Operator { apis, accepted_tables: Arc::default(), rng, number: 0, renewed: 0 }
    }

    /// Replaces tables and reads them back until `stop` is set.
    pub async fn operate(mut self, stop: Arc<AtomicBool>) -> (Operator, Report) {
        let mut report = Report::default();
        while !stop.load(Ordering::Relaxed) {
            let routes = self.rng.random_range(ROUTE_COUNT);
            let renew = self.rng.random_bool(RENEWAL_PROBABILITY);
            if self.replace(routes, renew, &stop).await {
                report.accepted += 1;
            }
            report.violations.extend(self.read_back().await);
            let pause = self.rng.random_range(PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        (self, report)
    }

    /// Replaces the table by the last one of a run; returns whether control accepted it.
    pub async fn replace_last(&mut self) -> bool {
        let stop = AtomicBool::new(false);
        let replacing = self.replace(LAST_ROUTE_COUNT, true, &stop);
        tokio::time::timeout(LAST_TABLE_TIMEOUT, replacing).await.unwrap_or(false)
    }

    /// Replaces the table by one with `routes` routes; returns whether control accepted it before
    /// the stop.
    pub async fn replace(&mut self, routes: usize, renew: bool, stop: &AtomicBool) -> bool {
        self.number += 1;
        if renew {
            self.renewed = self.number;
        }
        let text = table(self.number, routes, self.renewed);
        let ask = Ask::post(orders::REPLACE, text);
        // An answer may be lost, so the same command is sent again to any replica.
        loop {
            let answer = self.ask_control(&ask).await;
            if answer.is_some_and(|answer| answer.status == 200) {
                self.accepted_tables.record_accepted(self.number);
                return true;
            }
            if stop.load(Ordering::Relaxed) {
                return false;
            }
            tokio::time::sleep(RESEND_PAUSE).await;
        }
    }

    /// Reads the table back from a replica; returns a violation if it is older than the accepted
    /// one.
    async fn read_back(&mut self) -> Option<String> {
        let before = self.accepted_tables.newest()?;
        let answer = self.ask_control(&Ask::post(orders::READ, "")).await?;
        if answer.status != 200 {
            return None;
        }
        let number = orders::number(&answer.json()).unwrap_or(0);
        (number < before.number).then(|| {
            format!("table {number} is read back, although {} was accepted before", before.number)
        })
    }

    async fn ask_control(&mut self, ask: &Ask) -> Option<Answer> {
        let api = &self.apis[self.rng.random_range(0..self.apis.len())];
        tokio::time::timeout(ANSWER_TIMEOUT, client::send(api, ask)).await.ok()?
    }
}

/// Returns a table with the marker routes up to its number.
fn table(number: u64, routes: usize, renewed: u64) -> String {
    let markers = (1..=number).flat_map(|n| {
        let safe = route(format!("mark-{n}"), marker_host(n), "/".into(), true);
        let once = route(format!("mark-{n}-once"), marker_host(n), ONCE_PATH.into(), false);
        [safe, once]
    });
    let others = (0..routes).map(|i| {
        let host = format!("h{}.soak", i % 50);
        route(format!("route-{i}"), host, format!("/t{renewed}/{i}/"), true)
    });
    orders::table(number, "quotes", markers.chain(others))
}

fn route(name: String, host: String, path_prefix: String, repeatable: bool) -> RouteLine {
    RouteLine { name, host, path_prefix, repeatable, timeout_s: 3, attempts: 3 }
}
