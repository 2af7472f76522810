//! Open-loop load generator: latencies count from send times that are fixed in advance.

use crate::profile::{LoadKind, Profile};
use crate::report::{KindCounts, Report};
use cherrystream_net::body::{self, Start};
use cherrystream_net::pool::Pool;
use http::{Request, Response, header};
use parking_lot::Mutex;
use prometheus_client::metrics::counter::Counter;
use rand::distr::weighted::WeightedIndex;
use rand::prelude::Distribution;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 30;
/// Resolution of the runtime's timer, with a margin for its delay.
const TIMER_RESOLUTION: Duration = Duration::from_millis(2);
/// Time limit of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Options of a load.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses that requests are sent to in round-robin order.
    pub targets: Vec<String>,
    /// Requests a second.
    pub rate: f64,
    /// Time for which requests are sent.
    pub duration: Duration,
    /// Round-trip time between caller and target, added to each latency.
    pub distance: Duration,
    /// Whether the load is sent directly to a backend server.
    pub direct: bool,
    /// Seed of the random send times and kinds.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            targets: Vec::new(),
            rate: 100.0,
            duration: Duration::from_secs(5),
            distance: Duration::ZERO,
            direct: false,
            seed: 1,
        }
    }
}

/// Generates a load and returns its report.
pub async fn run(opts: &Options, profile: &Profile) -> Report {
    let counts_by_kind = Arc::new(Mutex::new(BTreeMap::<String, KindCounts>::new()));
    let pools: Vec<Arc<Pool>> =
        opts.targets.iter().map(|t| Arc::new(Pool::new(t, Counter::default()))).collect();
    let mut rng = SmallRng::seed_from_u64(opts.seed);
    let shares = profile.kinds.iter().map(|k| k.share);
    let Ok(shares) = WeightedIndex::new(shares) else {
        return Report::new(&BTreeMap::new(), 1.0);
    };
    let start = Instant::now();
    let mut at = Duration::ZERO;
    let mut sending = tokio::task::JoinSet::new();
    let mut turn = 0;
    while at < opts.duration {
        // Intervals between independent callers are exponentially distributed.
        let u: f64 = rng.random_range(f64::EPSILON..1.0);
        at += Duration::from_secs_f64(-u.ln() / opts.rate);
        let kind = profile.kinds[shares.sample(&mut rng)].clone();
        // Keys are unique, even over runs with the same seed.
        let key = format!("{:032x}", rand::rng().random::<u128>());
        let intended = start + at;
        wait_until(intended).await;
        turn += 1;
        let pool = pools[turn % pools.len()].clone();
        let (counts_by_kind, opts) = (counts_by_kind.clone(), opts.clone());
        sending.spawn(async move {
            let sent = send(&pool, &opts, &kind, &key).await;
            let took = intended.elapsed() + opts.distance;
            record(&mut counts_by_kind.lock(), &kind, sent, took);
        });
    }
    while sending.join_next().await.is_some() {}
    Report::new(&counts_by_kind.lock(), opts.duration.as_secs_f64())
}

/// Waits until an exact time. Since the runtime's timer has a resolution of milliseconds, the last
/// step polls the clock.
async fn wait_until(at: Instant) {
    if let Some(early) = at.checked_sub(TIMER_RESOLUTION)
        && early > Instant::now()
    {
        tokio::time::sleep_until(early).await;
    }
    while Instant::now() < at {
        tokio::task::yield_now().await;
    }
}

/// Outcome of one request, with the reason of a refusal.
struct Sent {
    outcome: String,
    reason: Option<String>,
}

fn record(
    counts_by_kind: &mut BTreeMap<String, KindCounts>,
    kind: &LoadKind,
    sent: Sent,
    took: Duration,
) {
    let name = format!("{}/{}", kind.service, kind.kind);
    let counts = counts_by_kind.entry(name).or_insert_with(|| KindCounts::new(kind.weight));
    counts.sent += 1;
    if sent.outcome == "answered" {
        counts.times.saturating_record(took.as_micros() as u64);
    }
    *counts.outcomes.entry(sent.outcome).or_default() += 1;
    if let Some(reason) = sent.reason {
        *counts.reasons.entry(reason).or_default() += 1;
    }
}

async fn send(pool: &Pool, opts: &Options, kind: &LoadKind, key: &str) -> Sent {
    let exchange = async {
        let req = request(kind, key, pool.address()).ok()?;
        let connection = pool.connection().await.ok()?;
        let res = pool.send(connection, req).await.ok()?;
        let (parts, body) = res.into_parts();
        match body::read_start(body, MAX_ANSWER_BYTES).await {
            Ok(Start::Whole(_)) => Some(Response::from_parts(parts, ())),
            _ => None,
        }
    };
    match tokio::time::timeout(REQUEST_TIMEOUT, exchange).await {
        Ok(Some(res)) => read(&res, opts.direct),
        _ => Sent { outcome: "broken".into(), reason: None },
    }
}

fn request(
    kind: &LoadKind,
    key: &str,
    address: &str,
) -> http::Result<Request<cherrystream_net::body::Body>> {
    let mut req = Request::builder()
        .method(kind.method.as_str())
        .uri(&kind.path)
        .header(header::HOST, address)
        .header("cherrystream-service", &kind.service);
    if kind.once {
        req = req.header("idempotency-key", key);
    }
    if let Some(ms) = kind.deadline_ms {
        req = req.header("cherrystream-deadline-ms", ms);
    }
    req.body(body::full(vec![b'x'; kind.body_bytes]))
}

fn read(res: &Response<()>, direct: bool) -> Sent {
    let text =
        |name: &str| res.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_string);
    let outcome = match text("cherrystream-outcome") {
        Some(outcome) if outcome != "answered" => outcome,
        Some(_) if res.status().is_success() => "answered".into(),
        None if direct && res.status().is_success() => "answered".into(),
        _ => "error".into(),
    };
    Sent { outcome, reason: text("cherrystream-reason") }
}
