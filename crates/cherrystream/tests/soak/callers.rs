//! Callers on persistent connections, and records of the answers that they received.

use crate::support::client::{Answer, Ask};
use crate::tables;
use crate::watchers::WatchedDaemon;
use bytes::Bytes;
use cherrystream_net::body::{self, Start};
use cherrystream_net::pool::{NoAnswer, Pool};
use cherrystream_standin::backend;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Longest pauses between two requests in milliseconds, one for each caller of a daemon in turn.
/// The longest exceeds the grace period in which a stopping process closes idle connections.
const MAX_PAUSES_MS: [u64; 4] = [4, 4, 50, 700];
/// Deadline of a request in milliseconds.
const DEADLINE_MS: u64 = 3_000;
/// Timeout of a request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(12);
/// Number of the table that is applied before the callers start.
const FIRST_TABLE: u64 = 1;
/// Maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// Sizes of bodies in bytes: short ones are sent with an offer, long ones after a slot is reserved,
/// and the longest are not buffered.
const BODY_BYTES: [usize; 4] = [2, 700, 5_000, 100_000];

/// How often a request may run, and how it is routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run repeatedly.
    Repeatable,
    /// Runs at most once, because of its method.
    Once,
    /// Runs at most once for its key.
    Keyed,
    /// May run repeatedly; matches a route.
    Routed,
    /// Runs at most once; matches a route.
    RoutedOnce,
}

const KINDS: [Kind; 5] =
    [Kind::Repeatable, Kind::Once, Kind::Keyed, Kind::Routed, Kind::RoutedOnce];

impl Kind {
    /// Returns whether a request may be run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Kind::Repeatable | Kind::Routed)
    }
}

/// How a request ended.
#[derive(Clone, Debug)]
pub enum End {
    Answer(Answer),
    /// No connection could be opened, or the request was not sent.
    NotSent,
    /// The connection closed before the answer was complete.
    ConnectionLost,
    /// The answer is malformed.
    Malformed,
    /// No answer arrived in time.
    Timeout,
}

impl End {
    /// Returns whether a backend server answered.
    fn is_by_server(&self) -> bool {
        matches!(self, End::Answer(answer) if answer.outcome() == "answered")
    }
}

/// A request and its result.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Name in the backend servers' records of runs.
    pub name: String,
    pub kind: Kind,
    pub daemon: usize,
    /// The body, kept only if a backend server answered, to save memory.
    pub body: Option<Bytes>,
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub end: End,
}

/// Sends requests to one daemon until `stop` is set.
pub async fn call(watched: WatchedDaemon, seed: u64, stop: Arc<AtomicBool>) -> Vec<CallRecord> {
    let WatchedDaemon { daemon, address, key, .. } = watched;
    let mut rng = SmallRng::seed_from_u64(seed);
    let pause_ms = MAX_PAUSES_MS[seed as usize % MAX_PAUSES_MS.len()];
    let pool = Pool::new(&address, Default::default());
    let mut records = Vec::new();
    for n in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let kind = KINDS[rng.random_range(0..KINDS.len())];
        let length = BODY_BYTES[rng.random_range(0..BODY_BYTES.len())];
        let path = if kind == Kind::RoutedOnce { tables::ONCE_PATH } else { "/s/" };
        let name = format!("{path}{seed:x}/{n}");
        let padding = " ".repeat(length.saturating_sub(name.len()));
        let body = Bytes::from(name.clone() + &padding);
        let (ask, body) = ask(kind, &name, body);
        let ask = ask.with_key(key);
        let sent_at = Instant::now();
        let end = match tokio::time::timeout(ANSWER_TIMEOUT, send(&pool, &ask)).await {
            Ok(end) => end,
            Err(_) => End::Timeout,
        };
        let ended_at = Instant::now();
        let body = end.is_by_server().then_some(body);
        records.push(CallRecord { name, kind, daemon, body, sent_at, ended_at, end });
        let pause = rng.random_range(0..=pause_ms);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    records
}

fn ask(kind: Kind, name: &str, body: Bytes) -> (Ask, Bytes) {
    let (ask, body) = match kind {
        Kind::Repeatable => (Ask::get(name), Bytes::new()),
        Kind::Once => (Ask::post(name, body.clone()), body),
        Kind::Keyed => (Ask::post("/orders", body.clone()).key(name), body),
        Kind::Routed => (Ask::get(name), Bytes::new()),
        Kind::RoutedOnce => (Ask::post(name, body.clone()), body),
    };
    let ask = match kind {
        Kind::Routed | Kind::RoutedOnce => ask.with("host", tables::marker_host(FIRST_TABLE)),
        Kind::Repeatable | Kind::Once | Kind::Keyed => ask.service("quotes"),
    };
    (ask.with("cherrystream-deadline-ms", DEADLINE_MS), body)
}

async fn send(pool: &Pool, ask: &Ask) -> End {
    let Ok(connection) = pool.connection().await else { return End::NotSent };
    let mut req = http::Request::builder().method(ask.method).uri(&ask.path);
    if !ask.names_host() {
        req = req.header("host", pool.address());
    }
    for (name, value) in &ask.headers {
        req = req.header(*name, value);
    }
    let req = req.body(body::full(ask.body.clone())).expect("the request is well formed");
    let res = match pool.send(connection, req).await {
        Ok(res) => res,
        Err(NoAnswer::NotSent) => return End::NotSent,
        Err(NoAnswer::Broke) => return End::ConnectionLost,
        Err(NoAnswer::Malformed) => return End::Malformed,
    };
    let (parts, body) = res.into_parts();
    match body::read_start(body, MAX_ANSWER_BYTES).await {
        Ok(Start::Whole(body)) => {
            End::Answer(Answer { status: parts.status, headers: parts.headers, body })
        }
        _ => End::ConnectionLost,
    }
}

impl CallRecord {
    /// Returns the outcome that the answer states, or how the request ended without an answer.
    pub fn outcome(&self) -> &str {
        match &self.end {
            End::Answer(answer) => answer.outcome(),
            End::NotSent => "not sent",
            End::ConnectionLost => "connection lost",
            End::Malformed => "malformed",
            End::Timeout => "timeout",
        }
    }

    /// Returns a violation by the answer itself, if there is one.
    pub fn answer_violation(&self) -> Option<String> {
        let answer = match &self.end {
            End::Answer(answer) => answer,
            End::Malformed => return Some("a malformed answer".into()),
            End::NotSent | End::ConnectionLost | End::Timeout => return None,
        };
        if !self.end.is_by_server() || !answer.status.is_success() {
            return None;
        }
        let Ok(work) = serde_json::from_slice::<backend::WorkAnswer>(&answer.body) else {
            return Some("a successful answer with an incomplete body".into());
        };
        let named = match self.kind {
            Kind::Keyed => work.key.as_deref() == Some(&self.name),
            _ => work.path == self.name,
        };
        if !named {
            return Some(format!("the answer belongs to another request: {work:?}"));
        }
        let body = self.body.as_ref()?;
        let whole = work.bytes == body.len() as u64;
        let same = work.hash == backend::hash_of(body);
        (!whole || !same).then(|| format!("the backend server received another body: {work:?}"))
    }
}
