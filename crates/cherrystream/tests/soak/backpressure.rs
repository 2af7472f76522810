//! Backend servers that state a rate limit or their leaving throughout a run.
//!
//! A request counts if the daemon where it began has passed the statement on before, and has not been
//! interrupted since.

use crate::callers::{CallRecord, End};
use crate::cluster::Cluster;
use crate::plan::Size;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// One in this many runs has such servers.
const RUN_EVERY: u64 = 3;
/// Smallest number of daemons; the other servers must be able to serve alone.
const MIN_DAEMONS: usize = 3;
/// Server that states a limit.
const LIMITED: usize = 0;
/// Server that states its leaving.
const LEAVING: usize = 1;
/// Limit in requests per second, as text and as a number.
const LIMIT: (&str, usize) = ("2", 2);
/// Length of the window in which requests to a limited server are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Most requests in a window: one and a half times the limit, and five.
const MAX_IN_WINDOW: usize = LIMIT.1 * 4 * 3 / 2 + 5;
/// Time after which a daemon observes a limit that it has passed on.
const LIMIT_DELAY: Duration = Duration::from_millis(500);
/// Time after which a daemon sends nothing to a server whose leaving it has passed on.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// Returns whether servers of a run state a limit and their leaving.
pub fn is_in(seed: u64, size: Size) -> bool {
    seed.is_multiple_of(RUN_EVERY) && size.daemons >= MIN_DAEMONS
}

/// Returns the options of a server in such a run.
pub fn server_options(server: usize) -> &'static [&'static str] {
    match server {
        LIMITED => &["--limit", LIMIT.0],
        LEAVING => &["--leaving"],
        _ => &[],
    }
}

/// Returns the violated guarantees.
pub fn violations(cluster: &Cluster, records: &[CallRecord]) -> Vec<String> {
    let limited = Statement::new(cluster, records, LIMITED, "cherrystream-server-limit");
    let leaving = Statement::new(cluster, records, LEAVING, "cherrystream-server-leaving");
    let most = most_in_window(limited.requests_after(LIMIT_DELAY));
    let late = leaving.requests_after(DRAIN_TIME).len();
    println!("at a server with a limit of {}: at most {most} in 4 s", LIMIT.0);
    let mut violations = Vec::new();
    if most > MAX_IN_WINDOW {
        violations.push(format!("a server that stated {} got {most} requests in 4 s", LIMIT.0));
    }
    if late > 0 {
        violations.push(format!("a server that stated its leaving got {late} late requests"));
    }
    violations
}

/// What a server states, and who has passed it on.
struct Statement<'a> {
    cluster: &'a Cluster,
    records: &'a [CallRecord],
    /// Runs at the server by the name of the request.
    runs: HashMap<String, usize>,
    /// Times at which each daemon passed the statement on.
    passed_on: HashMap<usize, Vec<Instant>>,
}

impl Statement<'_> {
    fn new<'a>(
        cluster: &'a Cluster,
        records: &'a [CallRecord],
        server: usize,
        header: &str,
    ) -> Statement<'a> {
        let mut runs = HashMap::new();
        for run in cluster.servers[server].runs() {
            *runs.entry(run).or_default() += 1;
        }
        let mut passed_on = HashMap::<usize, Vec<Instant>>::new();
        for record in records {
            if let End::Answer(answer) = &record.end
                && !answer.header(header).is_empty()
            {
                passed_on.entry(record.daemon).or_default().push(record.ended_at);
            }
        }
        Statement { cluster, records, runs, passed_on }
    }

    /// Returns the times of the requests to the server that were sent later than `delay` after
    /// their daemon had passed the statement on.
    fn requests_after(&self, delay: Duration) -> Vec<Instant> {
        let counted = self.records.iter().filter(|record| self.is_bound(record, delay));
        let mut times = Vec::new();
        for record in counted {
            let runs = self.runs.get(&record.name).copied().unwrap_or_default();
            times.extend(std::iter::repeat_n(record.sent_at, runs));
        }
        times.sort_unstable();
        times
    }

    fn is_bound(&self, record: &CallRecord, delay: Duration) -> bool {
        let passed_on = self.passed_on.get(&record.daemon).into_iter().flatten();
        let mut before = passed_on.filter(|at| **at + delay <= record.sent_at);
        before.any(|at| !self.is_interrupted(record.daemon, *at, record.ended_at))
    }

    fn is_interrupted(&self, daemon: usize, from: Instant, until: Instant) -> bool {
        let cluster = self.cluster;
        let mut all = cluster.kills.iter().chain(&cluster.stops).chain(&cluster.pauses);
        all.any(|interruption| {
            let has_ended = interruption.until.is_some_and(|end| end < from);
            interruption.daemon == daemon && interruption.from <= until && !has_ended
        })
    }
}

fn most_in_window(times: Vec<Instant>) -> usize {
    let in_window = |(first, start): (usize, &Instant)| {
        times[first..].iter().take_while(|at| **at <= *start + WINDOW).count()
    };
    times.iter().enumerate().map(in_window).max().unwrap_or_default()
}
