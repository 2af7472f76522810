//! Persistent HTTP/2 connections to the daemons of other hosts.

use crate::metrics::Metrics;
use cherrystream_net::body::{self, Body};
use cherrystream_net::serve::{CONNECTION_WINDOW, STREAM_WINDOW};
use http::{Request, Response};
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use parking_lot::RwLock;
use std::collections::HashMap;
use std::error::Error;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Mutex;

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval of HTTP/2 pings on a connection with open streams.
const PING_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout of the reply to a ping.
const PING_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a peer returned no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoAnswer {
    /// The peer has not started to process the request and never will.
    NotSent,
    /// The connection broke; the peer may have processed the request.
    Broke,
}

/// Connections to peers by address.
pub struct Peers {
    metrics: Metrics,
    by_address: RwLock<HashMap<String, Arc<Peer>>>,
}

impl Peers {
    /// Creates an empty set of connections.
    pub fn new(metrics: Metrics) -> Peers {
        Peers { metrics, by_address: RwLock::default() }
    }

    /// Sends a request to the daemon at an address.
    ///
    /// # Errors
    ///
    /// Fails when no response arrives; the error says whether the peer may have processed the
    /// request.
    pub async fn send(
        &self,
        address: &str,
        req: Request<Body>,
    ) -> Result<Response<Body>, NoAnswer> {
        let connection = self.connect(address).await.ok_or(NoAnswer::NotSent)?;
        connection.send(req).await
    }

    /// Returns a connection to the daemon at an address, without sending a request. Returns `None`
    /// when the daemon is unreachable.
    pub async fn connect(&self, address: &str) -> Option<PeerConnection> {
        let peer = self.peer(address);
        let sender = peer.sender(&self.metrics).await?;
        Some(PeerConnection { peer, sender })
    }

    /// Closes the connections to addresses that are no longer in use.
    pub fn retain(&self, used: impl Fn(&str) -> bool) {
        self.by_address.write().retain(|address, _| used(address));
    }

    fn peer(&self, address: &str) -> Arc<Peer> {
        if let Some(peer) = self.by_address.read().get(address) {
            return peer.clone();
        }
        let mut map = self.by_address.write();
        map.entry(address.into()).or_insert_with(|| Arc::new(Peer::new(address))).clone()
    }
}

/// A connection to a peer.
pub struct PeerConnection {
    peer: Arc<Peer>,
    sender: SendRequest<Body>,
}

impl PeerConnection {
    /// Sends a request.
    ///
    /// # Errors
    ///
    /// Fails when no response arrives; the error says whether the peer may have processed the
    /// request.
    pub async fn send(mut self, req: Request<Body>) -> Result<Response<Body>, NoAnswer> {
        match self.sender.try_send_request(req).await {
            Ok(res) => Ok(res.map(body::incoming)),
            Err(mut e) => {
                let unsent = e.take_message().is_some();
                let e = e.into_error();
                self.peer.discard_if_closed().await;
                Err(if unsent || is_unprocessed(&e) { NoAnswer::NotSent } else { NoAnswer::Broke })
            }
        }
    }
}

/// Returns whether the peer reported that it did not process the stream.
fn is_unprocessed(e: &hyper::Error) -> bool {
    let mut source = e.source();
    while let Some(inner) = source {
        if let Some(h2) = inner.downcast_ref::<h2::Error>() {
            return h2.reason() == Some(h2::Reason::REFUSED_STREAM)
                || (h2.is_go_away() && h2.is_remote());
        }
        source = inner.source();
    }
    false
}

struct Peer {
    address: String,
    sender: RwLock<Option<SendRequest<Body>>>,
    /// Locked while a caller connects; contains the time of the last failure.
    connecting: Mutex<Option<Instant>>,
}

impl Peer {
    fn new(address: &str) -> Peer {
        let (sender, connecting) = (RwLock::new(None), Mutex::new(None));
        Peer { address: address.into(), sender, connecting }
    }

    fn open_sender(&self) -> Option<SendRequest<Body>> {
        self.sender.read().as_ref().filter(|s| !s.is_closed()).cloned()
    }

    async fn sender(&self, metrics: &Metrics) -> Option<SendRequest<Body>> {
        if let Some(sender) = self.open_sender() {
            return Some(sender);
        }
        // One caller connects; the others wait for it and share its result. Connecting in turn,
        // they would wait for an unreachable host until their deadlines.
        let requested_at = Instant::now();
        let mut last_failure = self.connecting.lock().await;
        if let Some(sender) = self.open_sender() {
            return Some(sender);
        }
        if last_failure.is_some_and(|at| at >= requested_at) {
            return None;
        }
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect(&self.address)).await;
        let Some(sender) = connected.ok().flatten() else {
            *last_failure = Some(Instant::now());
            return None;
        };
        metrics.peer_connects.inc();
        *self.sender.write() = Some(sender.clone());
        Some(sender)
    }

    async fn discard_if_closed(&self) {
        let mut sender = self.sender.write();
        if sender.as_ref().is_some_and(SendRequest::is_closed) {
            *sender = None;
        }
    }
}

async fn connect(address: &str) -> Option<SendRequest<Body>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        // Late responses to cancelled requests must not close the connection.
        .max_local_error_reset_streams(None)
        .handshake(TokioIo::new(stream))
        .await
        .ok()?;
    tokio::spawn(connection);
    Some(sender)
}
