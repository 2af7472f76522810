//! Stand-in backend server with configurable service times and faults.

use crate::counters::{Counters, Counts, InFlight};
use crate::faults::Faults;
use crate::record::Record;
use bytes::Bytes;
use cherrystream_net::body::{self, Body, BoxError, Start};
use cherrystream_net::serve::{self, Phases};
use cherrystream_schema::messages::ServerState;
use futures_util::stream;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::Instant;

/// Largest body of a request that sets faults, in bytes.
const MAX_FAULTS_BYTES: usize = 64 * 1024;
/// Chunk size of a streamed answer, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;
/// Time from the start of a request that crashes the process to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(30);
/// Exit code of a process that a request has crashed.
pub const ENDED: i32 = 70;
/// Header with the identifier of a call.
const CALL_HEADER: &str = "cherrystream-call";
/// Header of a request that fails instead of crashing the process.
const FAILS_HEADER: &str = "standin-fails";
/// Header with the requests per second that the server accepts.
const LIMIT_HEADER: &str = "cherrystream-server-limit";
/// Header of a server that is leaving.
const LEAVING_HEADER: &str = "cherrystream-server-leaving";
/// Header with the remaining time of a request, in milliseconds.
const DEADLINE_MS_HEADER: &str = "cherrystream-deadline-ms";

/// Settings of a stand-in backend server.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the server, returned in each answer.
    pub name: String,
    /// Requests processed concurrently; further ones wait.
    pub slots: usize,
    /// Mean service time of a request.
    pub work: Duration,
    /// Delay with which the load endpoint reports a change.
    pub load_lag: Duration,
    /// Round-trip time between failure domains, added to each request.
    pub distance: Duration,
    /// Seed of the random service times.
    pub seed: u64,
    /// Path prefix of requests that crash the process.
    pub ends_on: Option<String>,
    /// Rate limit that answers state, as text, unless the faults set one.
    pub limit: Option<String>,
    /// Whether answers state that the server is leaving.
    pub leaving: bool,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            name: "backend".into(),
            slots: 12,
            work: Duration::from_millis(2),
            load_lag: Duration::from_millis(100),
            distance: Duration::ZERO,
            seed: 1,
            ends_on: None,
            limit: None,
            leaving: false,
        }
    }
}

/// A stand-in backend server.
pub struct Backend {
    opts: Options,
    faults: Mutex<Faults>,
    stalled_until: Mutex<Instant>,
    slots: Semaphore,
    rng: Mutex<SmallRng>,
    record: Option<Record>,
    counters: Counters,
    load: Mutex<Vec<(Instant, u64)>>,
}

#[derive(Serialize)]
struct HealthAnswer {
    state: ServerState,
}

#[derive(Serialize)]
struct LoadAnswer {
    in_flight: u64,
    slots: usize,
}

/// Answer to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkAnswer {
    /// Name of the backend server.
    pub server: String,
    /// Method of the request.
    pub method: String,
    /// Path of the request.
    pub path: String,
    /// Idempotency key of the request.
    pub key: Option<String>,
    /// Bytes of the request's body.
    pub bytes: u64,
    /// Hash of the request's body.
    pub hash: u64,
    /// Number of the request, counted by this backend server.
    pub run: u64,
    /// Headers of the request, if its query contains `tell_head=1`.
    #[serde(default)]
    pub head: Vec<(String, String)>,
}

impl WorkAnswer {
    /// Returns a header of the request, if the answer contains it.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }
}

impl Backend {
    /// Creates a stand-in backend server.
    pub fn new(opts: Options, record: Option<Record>) -> Arc<Backend> {
        Arc::new(Backend {
            faults: Mutex::default(),
            stalled_until: Mutex::new(Instant::now()),
            slots: Semaphore::new(opts.slots),
            rng: Mutex::new(SmallRng::seed_from_u64(opts.seed)),
            record,
            counters: Counters::default(),
            load: Mutex::default(),
            opts,
        })
    }

    /// Serves on a listener for as long as the process runs.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, phases: Phases) {
        serve::serve(listener, phases, move |req| {
            let backend = self.clone();
            async move { backend.answer(req).await }
        })
        .await;
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.stalled_until.lock() = Instant::now() + Duration::from_millis(faults.stall_ms);
        *self.faults.lock() = faults;
    }

    /// Returns the current counts.
    pub fn counts(&self) -> Counts {
        self.counters.counts()
    }

    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/health") => self.health(),
            (&Method::GET, "/load") => self.load(),
            (&Method::GET, "/standin/counts") => json(StatusCode::OK, &self.counts()),
            (&Method::POST, "/standin/faults") => self.update_faults(req).await,
            _ => self.work(req).await,
        }
    }

    fn health(&self) -> Response<Body> {
        self.counters.record_measured();
        let state = self.faults.lock().state.unwrap_or(ServerState::Live);
        json(StatusCode::OK, &HealthAnswer { state })
    }

    /// Reports the load with a delay, or the load that the faults claim.
    fn load(&self) -> Response<Body> {
        self.counters.record_measured();
        let now = Instant::now();
        let mut past = self.load.lock();
        past.push((now, self.counters.in_flight.load(Ordering::Relaxed)));
        let lag = self.opts.load_lag;
        past.retain(|(at, _)| now.duration_since(*at) <= lag * 2);
        let lagged = past.iter().rfind(|(at, _)| now.duration_since(*at) >= lag);
        let truth = lagged.or(past.first()).map_or(0, |(_, load)| *load);
        let claimed = self.faults.lock().claimed_in_flight.map(u64::from);
        let answer = LoadAnswer { in_flight: claimed.unwrap_or(truth), slots: self.opts.slots };
        json(StatusCode::OK, &answer)
    }

    async fn update_faults(&self, req: Request<Incoming>) -> Response<Body> {
        let read = body::read_start(body::incoming(req.into_body()), MAX_FAULTS_BYTES).await;
        let Ok(Start::Whole(bytes)) = read else {
            return json(StatusCode::BAD_REQUEST, &"the body is too large or broke off");
        };
        match serde_json::from_slice::<Faults>(&bytes) {
            Ok(faults) => {
                self.set_faults(faults.clone());
                json(StatusCode::OK, &faults)
            }
            Err(e) => json(StatusCode::BAD_REQUEST, &e.to_string()),
        }
    }

    async fn work(&self, req: Request<Incoming>) -> Response<Body> {
        let faults = self.faults.lock().clone();
        if faults.shed && self.slots.available_permits() == 0 {
            self.counters.shed.fetch_add(1, Ordering::Relaxed);
            return json(StatusCode::SERVICE_UNAVAILABLE, &"all slots are taken");
        }
        let mut in_flight = InFlight::start(&self.counters);
        let Ok(_slot) = self.slots.acquire().await else {
            return json(StatusCode::SERVICE_UNAVAILABLE, &"closed");
        };
        let call = req.headers().get(CALL_HEADER).cloned();
        let mut res = self.run(req, &faults).await;
        in_flight.finish();
        self.state_signals(&mut res);
        if let Some(call) = call.filter(|_| !faults.wrong_call) {
            res.headers_mut().insert(CALL_HEADER, call);
        } else if faults.wrong_call {
            res.headers_mut().insert(CALL_HEADER, header::HeaderValue::from_static("another-call"));
        }
        res
    }

    /// Adds the headers by which a server states its rate limit and that it is leaving.
    fn state_signals(&self, res: &mut Response<Body>) {
        let faults = self.faults.lock();
        let limit = faults.limit.as_ref().or(self.opts.limit.as_ref());
        let limit = limit.and_then(|limit| header::HeaderValue::from_str(limit).ok());
        if let Some(limit) = limit {
            res.headers_mut().insert(LIMIT_HEADER, limit);
        }
        if faults.leaving || self.opts.leaving {
            res.headers_mut().insert(LEAVING_HEADER, header::HeaderValue::from_static("1"));
        }
    }

    async fn run(&self, req: Request<Incoming>, faults: &Faults) -> Response<Body> {
        let (parts, incoming) = req.into_parts();
        let key = parts.headers.get("idempotency-key").and_then(|k| k.to_str().ok());
        let run = self.counters.runs.fetch_add(1, Ordering::Relaxed) + 1;
        let name = key.unwrap_or(parts.uri.path());
        if let Some(Err(e)) = self.record.as_ref().map(|r| r.write(name)) {
            return json(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string());
        }
        if self.ends_on(parts.uri.path()) {
            if !parts.headers.contains_key(FAILS_HEADER) {
                self.crash().await;
            }
            return json(
                StatusCode::INTERNAL_SERVER_ERROR,
                &"failed before it crashed the process",
            );
        }
        if self.occurs(faults.fail_share) {
            return json(StatusCode::INTERNAL_SERVER_ERROR, &"failed fast");
        }
        let Ok((bytes, hash)) = read_body(incoming).await else {
            return json(StatusCode::BAD_REQUEST, &"the body broke off");
        };
        if !self.spend_time(&parts.headers, &parts.uri, faults).await {
            return json(StatusCode::GATEWAY_TIMEOUT, &"the deadline has passed");
        }
        self.counters.finished.fetch_add(1, Ordering::Relaxed);
        if let Some(size) = number_in(&parts.uri, "answer_bytes") {
            return streamed(size as usize, self.occurs(faults.break_share));
        }
        let answer = WorkAnswer {
            server: self.opts.name.clone(),
            method: parts.method.to_string(),
            path: parts.uri.path().into(),
            key: key.map(str::to_string),
            bytes,
            hash,
            run,
            head: match number_in(&parts.uri, "tell_head") {
                Some(_) => head_of(&parts.headers),
                None => Vec::new(),
            },
        };
        if self.occurs(faults.drop_share) || self.occurs(faults.break_share) {
            return broken(&answer);
        }
        json(StatusCode::OK, &answer)
    }

    /// Returns whether requests with this path crash the process.
    fn ends_on(&self, path: &str) -> bool {
        self.opts.ends_on.as_ref().is_some_and(|prefix| path.starts_with(prefix))
    }

    async fn crash(&self) {
        tokio::time::sleep(CRASH_DELAY).await;
        std::process::exit(ENDED);
    }

    /// Waits for the service time; returns whether the deadline was met.
    async fn spend_time(&self, headers: &HeaderMap, uri: &http::Uri, faults: &Faults) -> bool {
        let work = match number_in(uri, "work_ms") {
            Some(ms) => Duration::from_millis(ms),
            None => self.random_time(),
        };
        let slow = Duration::from_millis(faults.slow_ms);
        let end = Instant::now() + self.opts.distance + work + slow;
        let deadline = headers
            .get(DEADLINE_MS_HEADER)
            .and_then(|v| v.to_str().ok()?.parse().ok())
            .map(|ms| Instant::now() + Duration::from_millis(ms));
        // The runtime's timer rounds up to milliseconds, so a service time of zero must not sleep.
        if end > Instant::now() {
            tokio::time::sleep_until(deadline.map_or(end, |d| end.min(d))).await;
        }
        loop {
            let stalled_until = *self.stalled_until.lock();
            if stalled_until <= Instant::now() {
                break;
            }
            tokio::time::sleep_until(stalled_until).await;
        }
        deadline.is_none_or(|d| Instant::now() < d)
    }

    /// Returns a service time from an exponential distribution.
    fn random_time(&self) -> Duration {
        let u: f64 = self.rng.lock().random_range(f64::EPSILON..1.0);
        self.opts.work.mul_f64(-u.ln())
    }

    fn occurs(&self, share: f64) -> bool {
        share > 0.0 && self.rng.lock().random::<f64>() < share
    }
}

async fn read_body(incoming: Incoming) -> Result<(u64, u64), BoxError> {
    let mut body = body::incoming(incoming);
    let (mut bytes, mut hasher) = (0, DefaultHasher::new());
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            bytes += data.len() as u64;
            data.iter().for_each(|b| b.hash(&mut hasher));
        }
    }
    Ok((bytes, hasher.finish()))
}

/// Returns the hash that a stand-in reports for a body.
pub fn hash_of(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    bytes.iter().for_each(|b| b.hash(&mut hasher));
    hasher.finish()
}

fn head_of(headers: &HeaderMap) -> Vec<(String, String)> {
    let text = |value: &header::HeaderValue| String::from_utf8_lossy(value.as_bytes()).into_owned();
    headers.iter().map(|(name, value)| (name.to_string(), text(value))).collect()
}

fn number_in(uri: &http::Uri, name: &str) -> Option<u64> {
    let pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name)?.1.parse().ok()
}

fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let mut res = Response::new(body::full(serde_json::to_vec(value).unwrap_or_default()));
    *res.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    res.headers_mut().insert(header::CONTENT_TYPE, json);
    res
}

/// Returns an answer whose body breaks off before its announced length.
fn broken(answer: &WorkAnswer) -> Response<Body> {
    let bytes = serde_json::to_vec(answer).unwrap_or_default();
    let half = Bytes::copy_from_slice(&bytes[..bytes.len() / 2]);
    let mut res =
        Response::new(chunks(vec![Ok(Frame::data(half)), Err("broken on purpose".into())]));
    res.headers_mut().insert(header::CONTENT_LENGTH, bytes.len().into());
    res
}

fn streamed(size: usize, breaks: bool) -> Response<Body> {
    let (tx, mut rx) = mpsc::channel::<Result<Frame<Bytes>, BoxError>>(4);
    tokio::spawn(async move {
        let mut left = size;
        while left > 0 {
            let chunk = Bytes::from(vec![b'x'; left.min(CHUNK_BYTES)]);
            left -= chunk.len();
            if breaks && left < size / 2 {
                let _ = tx.send(Err("broken on purpose".into())).await;
                return;
            }
            if tx.send(Ok(Frame::data(chunk))).await.is_err() {
                return;
            }
        }
    });
    let stream = stream::poll_fn(move |cx| rx.poll_recv(cx));
    let mut res = Response::new(BodyExt::boxed(StreamBody::new(stream)));
    res.headers_mut().insert(header::CONTENT_LENGTH, size.into());
    res
}

fn chunks(chunks: Vec<Result<Frame<Bytes>, BoxError>>) -> Body {
    let mut chunks = chunks.into_iter();
    BodyExt::boxed(StreamBody::new(stream::poll_fn(move |_| std::task::Poll::Ready(chunks.next()))))
}
