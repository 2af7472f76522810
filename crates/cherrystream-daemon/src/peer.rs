//! Kept HTTP/2 connections to the daemons of other hosts.

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

/// Longest time for a connection to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time between signs of life on a connection with calls on it.
const PING_INTERVAL: Duration = Duration::from_secs(2);
/// Longest wait for the answer to a sign of life.
const PING_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a peer gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoAnswer {
    /// The peer did not begin to work on the request and never will.
    NotSent,
    /// The request may have reached the peer.
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
    /// Fails when no answer comes, and tells whether the peer may work on the request.
    pub async fn send(
        &self,
        address: &str,
        req: Request<Body>,
    ) -> Result<Response<Body>, NoAnswer> {
        let line = self.line(address).await.ok_or(NoAnswer::NotSent)?;
        line.send(req).await
    }

    /// Returns a connection to the daemon at an address; nothing is sent of any request until it is used.
    pub async fn line(&self, address: &str) -> Option<Line> {
        let peer = self.peer(address);
        let sender = peer.sender(&self.metrics).await?;
        Some(Line { peer, sender })
    }

    /// Drops the connections to addresses that are no longer in use.
    pub fn keep_only(&self, used: impl Fn(&str) -> bool) {
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
pub struct Line {
    peer: Arc<Peer>,
    sender: SendRequest<Body>,
}

impl Line {
    /// Sends a request.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes, and tells whether the peer may work on the request.
    pub async fn send(mut self, req: Request<Body>) -> Result<Response<Body>, NoAnswer> {
        match self.sender.try_send_request(req).await {
            Ok(res) => Ok(res.map(body::incoming)),
            Err(mut e) => {
                let unsent = e.take_message().is_some();
                let e = e.into_error();
                self.peer.forget_if_closed().await;
                Err(if unsent || never_begun(&e) { NoAnswer::NotSent } else { NoAnswer::Broke })
            }
        }
    }
}

/// Returns whether the peer said that it did not begin to work on the stream.
fn never_begun(e: &hyper::Error) -> bool {
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
    /// Taken by the caller that connects; holds when the last one failed.
    connecting: Mutex<Option<Instant>>,
}

impl Peer {
    fn new(address: &str) -> Peer {
        let (sender, connecting) = (RwLock::new(None), Mutex::new(None));
        Peer { address: address.into(), sender, connecting }
    }

    fn kept(&self) -> Option<SendRequest<Body>> {
        self.sender.read().as_ref().filter(|s| !s.is_closed()).cloned()
    }

    async fn sender(&self, metrics: &Metrics) -> Option<SendRequest<Body>> {
        if let Some(sender) = self.kept() {
            return Some(sender);
        }
        // One caller connects, the others wait for it, and fail with it: one after the other, they would wait for a host
        // that is dark until their deadlines.
        let asked = Instant::now();
        let mut failed = self.connecting.lock().await;
        if let Some(sender) = self.kept() {
            return Some(sender);
        }
        if failed.is_some_and(|at| at >= asked) {
            return None;
        }
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect(&self.address)).await;
        let Some(sender) = connected.ok().flatten() else {
            *failed = Some(Instant::now());
            return None;
        };
        metrics.peer_connects.inc();
        *self.sender.write() = Some(sender.clone());
        Some(sender)
    }

    async fn forget_if_closed(&self) {
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
        // Answers to callers that have left may come late, in any number: they end no other request.
        .max_local_error_reset_streams(None)
        .handshake(TokioIo::new(stream))
        .await
        .ok()?;
    tokio::spawn(connection);
    Some(sender)
}
