//! Report of a load.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Highest latency in the histogram, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Significant digits of latencies in the histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counts and latencies of the requests of one kind.
#[derive(Debug)]
pub struct KindCounts {
    /// Latencies of answered requests in microseconds, from the intended send time.
    pub times: Histogram<u64>,
    /// Requests sent.
    pub sent: u64,
    /// Requests by outcome: answered, answered with an error, not-run, unknown, broken.
    pub outcomes: BTreeMap<String, u64>,
    /// Requests by reason of refusal.
    pub reasons: BTreeMap<String, u64>,
    /// Value of an answer in the weighted share of served requests.
    pub weight: f64,
}

impl KindCounts {
    /// Creates empty counts.
    pub fn new(weight: f64) -> KindCounts {
        let times = Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        KindCounts {
            times: times.expect("the bounds are constants that fit"),
            sent: 0,
            outcomes: BTreeMap::new(),
            reasons: BTreeMap::new(),
            weight,
        }
    }

    /// Adds the counts of other requests.
    pub fn add(&mut self, other: &KindCounts) {
        // Both histograms have the same bounds.
        let _ = self.times.add(&other.times);
        self.sent += other.sent;
        for (outcome, n) in &other.outcomes {
            *self.outcomes.entry(outcome.clone()).or_default() += n;
        }
        for (reason, n) in &other.reasons {
            *self.reasons.entry(reason.clone()).or_default() += n;
        }
    }

    fn answered(&self) -> u64 {
        self.outcomes.get("answered").copied().unwrap_or_default()
    }
}

/// One line of a report.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    /// Service and kind, or `all`.
    pub name: String,
    /// Requests sent.
    pub sent: u64,
    /// Requests answered successfully.
    pub answered: u64,
    /// Requests by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Requests by reason of refusal.
    pub reasons: BTreeMap<String, u64>,
    /// Median latency, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency, in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile of the latency, in microseconds.
    pub p999_us: u64,
    /// Highest latency, in microseconds.
    pub max_us: u64,
}

/// Report of a load.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// One line for each kind, then one for all kinds.
    pub lines: Vec<Line>,
    /// Value of the answered requests as a share of the value of all requests.
    pub weighted_served: f64,
    /// Requests sent per second.
    pub sent_per_second: f64,
}

impl Report {
    /// Creates a report of a load that lasted this many seconds.
    pub fn new(counts_by_kind: &BTreeMap<String, KindCounts>, seconds: f64) -> Report {
        let mut lines: Vec<Line> = counts_by_kind.iter().map(|(name, t)| line(name, t)).collect();
        let mut all = KindCounts::new(1.0);
        counts_by_kind.values().for_each(|t| all.add(t));
        lines.push(line("all", &all));
        let value = |f: fn(&KindCounts) -> u64| -> f64 {
            counts_by_kind.values().map(|t| t.weight * f(t) as f64).sum()
        };
        let weighted_served =
            value(KindCounts::answered) / value(|t| t.sent).max(f64::MIN_POSITIVE);
        Report { lines, weighted_served, sent_per_second: all.sent as f64 / seconds }
    }

    /// Formats the report as a table.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let _ = writeln!(
            text,
            "{:<22} {:>8} {:>9} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9}",
            "kind",
            "sent",
            "answered",
            "error",
            "not-run",
            "unknown",
            "p50 ms",
            "p99 ms",
            "p99.9 ms"
        );
        for l in &self.lines {
            let n = |outcome: &str| l.outcomes.get(outcome).copied().unwrap_or_default();
            let _ = writeln!(
                text,
                "{:<22} {:>8} {:>9} {:>8} {:>8} {:>8} {:>9.3} {:>9.3} {:>9.3}",
                l.name,
                l.sent,
                l.answered,
                n("error"),
                n("not-run"),
                n("unknown") + n("broken"),
                milliseconds(l.p50_us),
                milliseconds(l.p99_us),
                milliseconds(l.p999_us)
            );
        }
        let _ = writeln!(
            text,
            "weighted served {:.4}, {:.0} requests/s",
            self.weighted_served, self.sent_per_second
        );
        for l in self.lines.iter().filter(|l| l.name == "all") {
            for (reason, n) in &l.reasons {
                let _ = writeln!(text, "refused {reason}: {n}");
            }
        }
        text
    }
}

fn line(name: &str, t: &KindCounts) -> Line {
    Line {
        name: name.into(),
        sent: t.sent,
        answered: t.answered(),
        outcomes: t.outcomes.clone(),
        reasons: t.reasons.clone(),
        p50_us: t.times.value_at_quantile(0.5),
        p99_us: t.times.value_at_quantile(0.99),
        p999_us: t.times.value_at_quantile(0.999),
        max_us: t.times.max(),
    }
}

fn milliseconds(us: u64) -> f64 {
    us as f64 / 1_000.0
}
