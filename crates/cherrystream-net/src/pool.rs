//! Kept HTTP/1.1 connections to one address: a connection goes back to the pool only after a
//! whole exchange.

use crate::body::{self, Body, Ending, Watched};
use crate::clock::Clock;
use crate::late_answers::{Exchanges, Filtered};
use cherrystream_core::units::Timestamp;
use http::{HeaderName, Request, Response};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use prometheus_client::metrics::counter::Counter;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Kept connections at most.
const IDLE_AT_MOST: usize = 64;
/// A connection unused for longer is closed: the other side may be about to close it.
const IDLE_TIME: Duration = Duration::from_secs(4);
/// Tries to put a request on a connection that turns out to be closed.
const SEND_TRIES: u32 = 3;

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoAnswer {
    /// No byte of the request left this process.
    NotSent,
    /// The request, or part of it, left this process.
    Broke,
}

/// What becomes of a connection on which nothing is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// Nobody listens there.
    Refused,
    /// It was closed at once.
    Closed,
    /// It was kept, or nothing is known of it.
    Kept,
}

/// Longest wait for a connection that is only asked for: one that is not refused at once shows nothing.
const PROBE_CONNECTS_WITHIN: Duration = Duration::from_millis(250);
/// Time for which a connection is watched that is only asked for: whoever passes connections on for a server that is down closes them
/// within milliseconds.
const PROBE_KEPT_FOR: Duration = Duration::from_millis(20);

struct Idle {
    sender: SendRequest<Body>,
    exchanges: Arc<Mutex<Exchanges>>,
    since: Timestamp,
}

/// Connections to one address.
pub struct Pool {
    address: String,
    /// Header by which an answer names its request.
    id: Option<HeaderName>,
    idle: Arc<Mutex<Vec<Idle>>>,
    connects: Counter,
    clock: Clock,
}

impl Pool {
    /// Creates an empty pool; `connects` counts the connections that it makes.
    pub fn new(address: &str, connects: Counter) -> Pool {
        let (idle, clock) = (Arc::default(), Clock::default());
        Pool { address: address.into(), id: None, idle, connects, clock }
    }

    /// Names the header of requests and answers by which an answer names its request: late answers to
    /// earlier requests of a connection are left out then.
    pub fn with_id(self, id: HeaderName) -> Pool {
        Pool { id: Some(id), ..self }
    }

    /// Takes the ages of kept connections from a clock.
    pub fn with_clock(self, clock: Clock) -> Pool {
        Pool { clock, ..self }
    }

    /// Returns the address.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Returns a connection that can take a request.
    ///
    /// # Errors
    ///
    /// Fails when the address takes no connection.
    pub async fn connection(&self) -> Result<Connection, NoAnswer> {
        if let Some(Idle { sender, exchanges, .. }) = self.kept() {
            return Ok(Connection {
                sender,
                exchanges,
                idle: self.idle.clone(),
                clock: self.clock,
            });
        }
        self.connect().await
    }

    /// Asks for a connection and sends nothing on it; returns what becomes of it.
    pub async fn probe(&self) -> Probe {
        let connecting = TcpStream::connect(&self.address);
        let mut stream = match tokio::time::timeout(PROBE_CONNECTS_WITHIN, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => return Probe::Refused,
            // A host that says nothing shows nothing.
            Ok(Err(_)) | Err(_) => return Probe::Kept,
        };
        match tokio::time::timeout(PROBE_KEPT_FOR, stream.read_u8()).await {
            Ok(Err(_)) => Probe::Closed,
            Ok(Ok(_)) | Err(_) => Probe::Kept,
        }
    }

    async fn connect(&self) -> Result<Connection, NoAnswer> {
        let stream = TcpStream::connect(&self.address).await.map_err(|_| NoAnswer::NotSent)?;
        let _ = stream.set_nodelay(true);
        let exchanges = Exchanges::new(self.id.clone());
        let io = TokioIo::new(Filtered::new(stream, exchanges.clone()));
        let (sender, connection) = http1::handshake(io).await.map_err(|_| NoAnswer::NotSent)?;
        tokio::spawn(connection);
        self.connects.inc();
        Ok(Connection { sender, exchanges, idle: self.idle.clone(), clock: self.clock })
    }

    /// Sends a request on a connection.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes, and tells whether any byte of the request was sent.
    pub async fn send(
        &self,
        mut connection: Connection,
        mut req: Request<Body>,
    ) -> Result<Response<Body>, NoAnswer> {
        for _ in 0..SEND_TRIES {
            connection.exchanges.lock().begin(&req);
            match connection.sender.try_send_request(req).await {
                Ok(res) => return Ok(connection.watch(res)),
                Err(mut e) => match e.take_message() {
                    // The connection was closed before the request was put on it.
                    Some(unsent) => req = unsent,
                    None => return Err(NoAnswer::Broke),
                },
            }
            connection = self.connect().await?;
        }
        Err(NoAnswer::NotSent)
    }

    fn kept(&self) -> Option<Idle> {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        idle.retain(|i| !i.sender.is_closed() && now.since(i.since) < IDLE_TIME);
        let ready = idle.iter().rposition(|i| i.sender.is_ready())?;
        Some(idle.remove(ready))
    }
}

/// A connection on which one exchange is made.
pub struct Connection {
    sender: SendRequest<Body>,
    exchanges: Arc<Mutex<Exchanges>>,
    idle: Arc<Mutex<Vec<Idle>>>,
    clock: Clock,
}

impl Connection {
    /// Keeps the connection once the answer was read to its end.
    fn watch(self, res: Response<hyper::body::Incoming>) -> Response<Body> {
        let (parts, incoming) = res.into_parts();
        let Connection { sender, exchanges, idle, clock } = self;
        let body = Watched::watch(body::incoming(incoming), move |ending| {
            let mut idle = idle.lock();
            if ending == Ending::Whole && idle.len() < IDLE_AT_MOST {
                idle.push(Idle { sender, exchanges, since: clock.now() });
            }
        });
        Response::from_parts(parts, body)
    }
}
