//! Pool of HTTP/1.1 connections to one address. A connection returns to the pool only after a
//! complete exchange, and carries no request identifier twice.

use crate::activity::{Activity, Observed};
use crate::body::{self, Body, Ending, Watched};
use crate::clock::Clock;
use crate::framing;
use crate::late_answers::{Exchanges, Filtered};
use crate::overhead::{Limited, Overhead};
use cherrystream_core::silent_connections::{Evidence, FreshAnswer};
use cherrystream_core::units::Timestamp;
use http::{HeaderMap, HeaderName, Method, Request, Response};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use prometheus_client::metrics::counter::Counter;
use std::io::ErrorKind;
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Header in which a server announces how long it keeps an idle connection.
const KEEP_ALIVE_HEADER: HeaderName = HeaderName::from_static("keep-alive");
/// Maximum number of idle connections.
const MAX_IDLE: usize = 64;
/// Idle time after which a connection is closed, since the peer may be about to close it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Attempts to send a request when connections turn out to be closed.
const MAX_SEND_ATTEMPTS: u32 = 3;

/// Reason why a request has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoAnswer {
    /// No byte of the request was sent.
    NotSent,
    /// The request was sent at least in part.
    Broke,
    /// The request was sent, and its response is malformed; see [`framing::MalformedHead`].
    Malformed,
}

/// Result of opening a connection without sending anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// The connection was refused: no process listens on the address.
    Refused,
    /// The connection was closed immediately.
    Closed,
    /// The connection stayed open, or the result is inconclusive.
    Kept,
}

/// Connect timeout of a probe. A connection that is not refused promptly is inconclusive.
const PROBE_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a probe waits for the connection to be closed. A proxy of a server that is down
/// closes it within milliseconds.
const PROBE_CLOSE_TIMEOUT: Duration = Duration::from_millis(20);

/// Share of the time that a server announces to keep idle connections in which they are used. Closer
/// to its end, a request may cross the server's close.
const KEEP_ALIVE_SHARE: f64 = 0.75;

struct Idle {
    sender: SendRequest<Body>,
    exchanges: Arc<Mutex<Exchanges>>,
    overhead: Arc<Overhead>,
    activity: Arc<Activity>,
    since: Timestamp,
    /// Idle time after which it is closed.
    timeout: Duration,
}

/// What health requests have shown of the connections.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    /// Time before which connections went silent.
    distrusted_before: Timestamp,
    /// The last answer on a connection that was opened for it.
    fresh: Option<FreshAnswer>,
}

/// Connections to one address.
pub struct Pool {
    address: String,
    /// Header that carries the identifier of a request in its response.
    id: Option<HeaderName>,
    idle: Arc<Mutex<Vec<Idle>>>,
    /// Activities of its open connections.
    open: Mutex<Vec<Weak<Activity>>>,
    known: watch::Sender<Known>,
    connects: Counter,
    clock: Clock,
}

impl Pool {
    /// Creates an empty pool. `connects` counts the connections that it opens.
    pub fn new(address: &str, connects: Counter) -> Pool {
        Pool {
            address: address.into(),
            id: None,
            idle: Arc::default(),
            open: Mutex::default(),
            known: watch::Sender::default(),
            connects,
            clock: Clock::default(),
        }
    }

    /// Sets the header that carries the identifier of a request in its response. Enables discarding
    /// late responses to earlier requests of a connection.
    pub fn with_id(self, id: HeaderName) -> Pool {
        Pool { id: Some(id), ..self }
    }

    /// Sets the clock by which the idle time of connections is measured.
    pub fn with_clock(self, clock: Clock) -> Pool {
        Pool { clock, ..self }
    }

    /// Returns an empty pool for the same address, on the same clock.
    pub fn for_same_address(&self) -> Pool {
        let pool = Pool::new(&self.address, self.connects.clone()).with_clock(self.clock);
        Pool { id: self.id.clone(), ..pool }
    }

    /// Returns the address that the connections lead to.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Returns an idle connection, or opens one.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened.
    pub async fn connection(&self) -> Result<Connection, NoAnswer> {
        match self.idle_connection() {
            Some(connection) => Ok(connection),
            None => self.connect().await,
        }
    }

    /// Returns an idle connection on which no request with an identifier was sent, or opens one.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened.
    pub async fn connection_for(&self, id: &str) -> Result<Connection, NoAnswer> {
        let is_usable = |idle: &Idle| !idle.exchanges.lock().has_sent(id.as_bytes());
        match self.take_idle(is_usable) {
            Some(idle) => Ok(self.reuse(idle)),
            None => self.connect().await,
        }
    }

    /// Returns an idle connection, if there is one.
    pub fn idle_connection(&self) -> Option<Connection> {
        self.take_idle(|_| true).map(|idle| self.reuse(idle))
    }

    /// Returns an idle connection that was opened before a time, if there is one.
    pub fn idle_connection_opened_before(&self, time: Timestamp) -> Option<Connection> {
        let is_usable = |idle: &Idle| idle.activity.opened() < time;
        self.take_idle(is_usable).map(|idle| self.reuse(idle))
    }

    fn reuse(&self, idle: Idle) -> Connection {
        let Idle { sender, exchanges, overhead, activity, .. } = idle;
        let (idle, clock) = (self.idle.clone(), self.clock);
        Connection { sender, exchanges, overhead, activity, idle, clock, is_reused: true }
    }

    /// Returns the current time on the clock of the pool.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Closes the idle connections that were last used before a time, because connections have gone
    /// silent since, while new ones work.
    pub fn distrust(&self, before: Timestamp) {
        self.idle.lock().retain(|idle| idle.since >= before);
        self.known.send_if_modified(|known| {
            let is_later = before > known.distrusted_before;
            known.distrusted_before = before.max(known.distrusted_before);
            is_later
        });
    }

    /// Records an answer on a connection that was opened for it.
    pub fn on_fresh_answer(&self, fresh: FreshAnswer) {
        self.known.send_modify(|known| known.fresh = Some(fresh));
    }

    /// Returns what is known for a connection that owes a response since a time.
    pub fn evidence(&self, owing_since: Timestamp) -> Evidence {
        let Known { distrusted_before, fresh } = *self.known.borrow();
        let open = self.open.lock();
        let mut activities = open.iter().filter_map(Weak::upgrade);
        let has_older_answered = activities.any(|activity| {
            activity.opened() < owing_since && activity.traffic().last_received() > owing_since
        });
        Evidence { distrusted_before, fresh, has_older_answered }
    }

    /// Returns a future that completes once more is known of the connections.
    pub fn more_known(&self) -> impl Future<Output = ()> + use<> {
        let mut known = self.known.subscribe();
        async move {
            // The pool, and with it all requests, may have been replaced.
            if known.changed().await.is_err() {
                std::future::pending().await
            }
        }
    }

    /// Opens a connection without sending anything, and returns what happens to it.
    pub async fn probe(&self) -> Probe {
        let connecting = TcpStream::connect(&self.address);
        let mut stream = match tokio::time::timeout(PROBE_CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => return Probe::Refused,
            // A timeout or another error does not show that the server is down.
            Ok(Err(_)) | Err(_) => return Probe::Kept,
        };
        match tokio::time::timeout(PROBE_CLOSE_TIMEOUT, stream.read_u8()).await {
            Ok(Err(_)) => Probe::Closed,
            Ok(Ok(_)) | Err(_) => Probe::Kept,
        }
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened.
    pub async fn connect(&self) -> Result<Connection, NoAnswer> {
        let stream = TcpStream::connect(&self.address).await.map_err(|_| NoAnswer::NotSent)?;
        let _ = stream.set_nodelay(true);
        let exchanges = Exchanges::new(self.id.clone());
        let activity = Activity::on_clock(self.clock);
        let stream = Observed::new(stream, activity.clone());
        let overhead = Arc::<Overhead>::default();
        let stream = Limited::new(Filtered::new(stream, exchanges.clone()), overhead.clone());
        let io = TokioIo::new(stream);
        let (sender, connection) = http1::handshake(io).await.map_err(|_| NoAnswer::NotSent)?;
        tokio::spawn(connection);
        self.connects.inc();
        let mut open = self.open.lock();
        open.retain(|activity| activity.strong_count() > 0);
        open.push(Arc::downgrade(&activity));
        drop(open);
        let (idle, clock) = (self.idle.clone(), self.clock);
        Ok(Connection { sender, exchanges, overhead, activity, idle, clock, is_reused: false })
    }

    /// Sends a request on a connection.
    ///
    /// # Errors
    ///
    /// Fails if there is no response. The error states whether any byte of the request was sent.
    pub async fn send(
        &self,
        mut connection: Connection,
        mut req: Request<Body>,
    ) -> Result<Response<Body>, NoAnswer> {
        let method = req.method().clone();
        if !connection.exchanges.lock().may_send(&req) {
            connection = self.connect().await?;
        }
        for _ in 0..MAX_SEND_ATTEMPTS {
            connection.exchanges.lock().begin(&req);
            connection.overhead.reset();
            match connection.sender.try_send_request(req).await {
                Ok(res) => return self.check(&method, res).map(|res| connection.watch(res)),
                Err(mut e) => match e.take_message() {
                    // The connection was closed before the request was sent.
                    Some(unsent) => req = unsent,
                    None => return Err(NoAnswer::Broke),
                },
            }
            connection = self.connect().await?;
        }
        Err(NoAnswer::NotSent)
    }

    /// Checks the head of a response.
    fn check<B>(&self, method: &Method, mut res: Response<B>) -> Result<Response<B>, NoAnswer> {
        let status = res.status();
        match framing::normalize(method, status, res.headers_mut()) {
            Ok(()) => Ok(res),
            Err(e) => {
                log::debug!("pool: malformed response from {}: {e}", self.address);
                Err(NoAnswer::Malformed)
            }
        }
    }

    /// Takes a usable connection out of the pool, after closing expired ones.
    fn take_idle(&self, is_usable: impl Fn(&Idle) -> bool) -> Option<Idle> {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        idle.retain(|i| !i.sender.is_closed() && now.since(i.since) < i.timeout);
        let ready = idle.iter().rposition(|i| i.sender.is_ready() && is_usable(i))?;
        Some(idle.remove(ready))
    }
}

/// A connection for one exchange.
pub struct Connection {
    sender: SendRequest<Body>,
    exchanges: Arc<Mutex<Exchanges>>,
    overhead: Arc<Overhead>,
    activity: Arc<Activity>,
    idle: Arc<Mutex<Vec<Idle>>>,
    clock: Clock,
    is_reused: bool,
}

impl Connection {
    /// Returns whether the connection was used before.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Returns the activity of the connection.
    pub fn activity(&self) -> &Arc<Activity> {
        &self.activity
    }

    /// Returns the connection to the pool once the response body is read to its end.
    fn watch(self, res: Response<hyper::body::Incoming>) -> Response<Body> {
        let (parts, incoming) = res.into_parts();
        let Connection { sender, exchanges, overhead, activity, idle, clock, .. } = self;
        let timeout = idle_timeout(&parts.headers);
        let body = overhead.clone().watch(body::incoming(incoming));
        let body = Watched::watch(body, move |ending| {
            let is_reusable = ending == Ending::Whole && !exchanges.lock().is_exhausted();
            let mut idle = idle.lock();
            if is_reusable && idle.len() < MAX_IDLE {
                let since = clock.now();
                idle.push(Idle { sender, exchanges, overhead, activity, since, timeout });
            }
        });
        Response::from_parts(parts, body)
    }
}

/// Returns how long a connection may be idle, by the `Keep-Alive` header of its last response.
fn idle_timeout(headers: &HeaderMap) -> Duration {
    let announced = headers.get(KEEP_ALIVE_HEADER).and_then(|value| {
        let parameters = value.to_str().ok()?.split(',');
        let mut timeout =
            parameters.filter_map(|parameter| parameter.trim().strip_prefix("timeout="));
        timeout.next()?.parse().ok().map(Duration::from_secs)
    });
    announced.map_or(IDLE_TIMEOUT, |time| time.mul_f64(KEEP_ALIVE_SHARE).min(IDLE_TIMEOUT))
}
