//! A stand-in backend server: it works, drains, starts cold, sheds load, lies and breaks.

use crate::counters::{Counters, Counts, Flight};
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

/// Largest body of a fault switch.
const FAULTS_BYTES: usize = 64 * 1024;
/// Size of the pieces of a streamed answer.
const PIECE: usize = 16 * 1024;
/// Time for which a request runs that ends the process.
const ENDS_AFTER: Duration = Duration::from_millis(30);
/// Exit code of a process that a request has ended.
pub const ENDED: i32 = 70;
/// Header with the identifier of the call.
const CALL: &str = "cherrystream-call";
/// Header of a request that fails before it would end the process.
const FAILS: &str = "standin-fails";
/// Header with the time that remains.
const DEADLINE_MS: &str = "cherrystream-deadline-ms";

/// Settings of a stand-in backend server.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name, told in each answer.
    pub name: String,
    /// Requests that it works on at once; more wait.
    pub slots: usize,
    /// Mean time of the work on a request.
    pub work: Duration,
    /// Time by which the load endpoint lags.
    pub load_lag: Duration,
    /// Time added for the way between failure domains, there and back.
    pub distance: Duration,
    /// Seed of the random times.
    pub seed: u64,
    /// Beginning of the paths of requests that end the process.
    pub ends_on: Option<String>,
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

/// Answer to work.
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
    /// Number of the run at this backend server.
    pub run: u64,
    /// Headers of the request, where its query asks for them with `tell_head=1`.
    #[serde(default)]
    pub head: Vec<(String, String)>,
}

impl WorkAnswer {
    /// Returns a header of the request, where it was told.
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

    /// Switches faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.stalled_until.lock() = Instant::now() + Duration::from_millis(faults.stall_ms);
        *self.faults.lock() = faults;
    }

    /// Returns what was counted.
    pub fn counts(&self) -> Counts {
        self.counters.counts()
    }

    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/health") => self.health(),
            (&Method::GET, "/load") => self.load(),
            (&Method::GET, "/standin/counts") => json(StatusCode::OK, &self.counts()),
            (&Method::POST, "/standin/faults") => self.switch(req).await,
            _ => self.work(req).await,
        }
    }

    fn health(&self) -> Response<Body> {
        self.counters.note_measured();
        let state = self.faults.lock().state.unwrap_or(ServerState::Live);
        json(StatusCode::OK, &HealthAnswer { state })
    }

    /// The load endpoint lags, and can be made to lie.
    fn load(&self) -> Response<Body> {
        self.counters.note_measured();
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

    async fn switch(&self, req: Request<Incoming>) -> Response<Body> {
        let read = body::read_start(body::incoming(req.into_body()), FAULTS_BYTES).await;
        let Ok(Start::Whole(bytes)) = read else {
            return json(StatusCode::BAD_REQUEST, &"the faults cannot be read");
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
        let mut flight = Flight::start(&self.counters);
        let Ok(_slot) = self.slots.acquire().await else {
            return json(StatusCode::SERVICE_UNAVAILABLE, &"closed");
        };
        let call = req.headers().get(CALL).cloned();
        let mut res = self.run(req, &faults).await;
        flight.end();
        if let Some(call) = call.filter(|_| !faults.wrong_call) {
            res.headers_mut().insert(CALL, call);
        } else if faults.wrong_call {
            res.headers_mut().insert(CALL, header::HeaderValue::from_static("another-call"));
        }
        res
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
            if !parts.headers.contains_key(FAILS) {
                self.end().await;
            }
            return json(StatusCode::INTERNAL_SERVER_ERROR, &"failed before it ended the process");
        }
        if self.happens(faults.fail_share) {
            return json(StatusCode::INTERNAL_SERVER_ERROR, &"failed fast");
        }
        let Ok((bytes, hash)) = drain(incoming).await else {
            return json(StatusCode::BAD_REQUEST, &"the body broke off");
        };
        if !self.spend_time(&parts.headers, &parts.uri, faults).await {
            return json(StatusCode::GATEWAY_TIMEOUT, &"the deadline has passed");
        }
        self.counters.finished.fetch_add(1, Ordering::Relaxed);
        if let Some(size) = number_in(&parts.uri, "answer_bytes") {
            return streamed(size as usize, self.happens(faults.break_share));
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
        if self.happens(faults.drop_share) || self.happens(faults.break_share) {
            return broken(&answer);
        }
        json(StatusCode::OK, &answer)
    }

    /// Returns whether a request is one that ends the process.
    fn ends_on(&self, path: &str) -> bool {
        self.opts.ends_on.as_ref().is_some_and(|prefix| path.starts_with(prefix))
    }

    async fn end(&self) {
        tokio::time::sleep(ENDS_AFTER).await;
        std::process::exit(ENDED);
    }

    /// Works for a random time; returns whether the deadline held.
    async fn spend_time(&self, headers: &HeaderMap, uri: &http::Uri, faults: &Faults) -> bool {
        let work = match number_in(uri, "work_ms") {
            Some(ms) => Duration::from_millis(ms),
            None => self.random_time(),
        };
        let slow = Duration::from_millis(faults.slow_ms);
        let end = Instant::now() + self.opts.distance + work + slow;
        let deadline = headers
            .get(DEADLINE_MS)
            .and_then(|v| v.to_str().ok()?.parse().ok())
            .map(|ms| Instant::now() + Duration::from_millis(ms));
        // The runtime's timer counts whole milliseconds: no work must not become one of them.
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

    /// Times are spread exponentially around their mean.
    fn random_time(&self) -> Duration {
        let u: f64 = self.rng.lock().random_range(f64::EPSILON..1.0);
        self.opts.work.mul_f64(-u.ln())
    }

    fn happens(&self, share: f64) -> bool {
        share > 0.0 && self.rng.lock().random::<f64>() < share
    }
}

async fn drain(incoming: Incoming) -> Result<(u64, u64), BoxError> {
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

/// Returns the hash that a stand-in tells of a body.
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

/// Returns an answer that announces more than it gives.
fn broken(answer: &WorkAnswer) -> Response<Body> {
    let bytes = serde_json::to_vec(answer).unwrap_or_default();
    let half = Bytes::copy_from_slice(&bytes[..bytes.len() / 2]);
    let mut res =
        Response::new(pieces(vec![Ok(Frame::data(half)), Err("broken on purpose".into())]));
    res.headers_mut().insert(header::CONTENT_LENGTH, bytes.len().into());
    res
}

fn streamed(size: usize, breaks: bool) -> Response<Body> {
    let (tx, mut rx) = mpsc::channel::<Result<Frame<Bytes>, BoxError>>(4);
    tokio::spawn(async move {
        let mut left = size;
        while left > 0 {
            let piece = Bytes::from(vec![b'x'; left.min(PIECE)]);
            left -= piece.len();
            if breaks && left < size / 2 {
                let _ = tx.send(Err("broken on purpose".into())).await;
                return;
            }
            if tx.send(Ok(Frame::data(piece))).await.is_err() {
                return;
            }
        }
    });
    let stream = stream::poll_fn(move |cx| rx.poll_recv(cx));
    let mut res = Response::new(BodyExt::boxed(StreamBody::new(stream)));
    res.headers_mut().insert(header::CONTENT_LENGTH, size.into());
    res
}

fn pieces(pieces: Vec<Result<Frame<Bytes>, BoxError>>) -> Body {
    let mut pieces = pieces.into_iter();
    BodyExt::boxed(StreamBody::new(stream::poll_fn(move |_| std::task::Poll::Ready(pieces.next()))))
}
