//! Persistent HTTP/2 connections to the daemons of other hosts.

mod channel;
mod monitor;
mod response_body;
mod traffic;

pub use traffic::Traffic;

use crate::headers;
use crate::metrics::Metrics;
use channel::Channel;
use cherrystream_net::activity::{Activity, Observed};
use cherrystream_net::body::Body;
use cherrystream_net::key::Secret;
use cherrystream_net::serve::{CONNECTION_WINDOW, STREAM_WINDOW};
use cherrystream_net::tcp;
use http::{HeaderMap, Request, Response};
use http_body_util::BodyExt;
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use monitor::Monitor;
use parking_lot::RwLock;
use response_body::{Replaced, ResponseBody};
use std::collections::HashMap;
use std::error::Error;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Mutex;
use tokio::task::JoinHandle;

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval of HTTP/2 pings on a connection with open streams that receives nothing.
const PING_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of the reply to a ping. Far longer than the time that a reply waits behind the bytes of
/// responses; the monitor closes silent connections before.
const PING_TIMEOUT: Duration = Duration::from_secs(60);

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
    key: Option<Secret>,
    by_address: RwLock<HashMap<String, Lanes>>,
}

/// The connections to one peer.
#[derive(Clone)]
struct Lanes {
    short: Arc<Peer>,
    long: Arc<Peer>,
}

impl Lanes {
    fn carrying(&self, traffic: Traffic) -> &Arc<Peer> {
        match traffic {
            Traffic::Short => &self.short,
            Traffic::Long => &self.long,
        }
    }
}

impl Peers {
    /// Creates an empty set of connections.
    pub fn new(metrics: Metrics) -> Peers {
        Peers { metrics, key: None, by_address: RwLock::default() }
    }

    /// Sets the key shared by the processes of the system, which probes of connections carry.
    pub fn with_key(self, key: Option<Secret>) -> Peers {
        Peers { key, ..self }
    }

    /// Sends a repeatable request to the daemon at an address.
    ///
    /// # Errors
    ///
    /// Fails when no response arrives, or once the connection is silent and has been replaced; the
    /// error says whether the peer may have processed the request.
    pub async fn send(
        &self,
        address: &str,
        req: Request<Body>,
    ) -> Result<Response<Body>, NoAnswer> {
        self.send_with(address, Traffic::of(&req), req).await
    }

    /// Like [`Peers::send`], for a request whose response is long.
    ///
    /// # Errors
    ///
    /// The same.
    pub async fn send_for_long_response(
        &self,
        address: &str,
        req: Request<Body>,
    ) -> Result<Response<Body>, NoAnswer> {
        self.send_with(address, Traffic::Long, req).await
    }

    async fn send_with(
        &self,
        address: &str,
        traffic: Traffic,
        req: Request<Body>,
    ) -> Result<Response<Body>, NoAnswer> {
        let connection = self.connect(address, traffic).await.ok_or(NoAnswer::NotSent)?;
        let replaced = Box::pin(connection.replaced());
        tokio::select! {
            biased;
            res = connection.send_until(req, Some(replaced)) => res,
            () = connection.replaced() => Err(NoAnswer::Broke),
        }
    }

    /// Returns a connection to the daemon at an address for some traffic, without sending a request.
    /// Returns `None` when the daemon is unreachable.
    pub async fn connect(&self, address: &str, traffic: Traffic) -> Option<PeerConnection> {
        let peer = self.peer(address, traffic);
        let (sender, channel) = peer.connection().await?;
        Some(PeerConnection { peer, sender, channel })
    }

    /// Closes the connections to addresses that are no longer in use.
    pub fn retain(&self, used: impl Fn(&str) -> bool) {
        self.by_address.write().retain(|address, _| used(address));
    }

    fn peer(&self, address: &str, traffic: Traffic) -> Arc<Peer> {
        if let Some(lanes) = self.by_address.read().get(address) {
            return lanes.carrying(traffic).clone();
        }
        let new = |traffic| Arc::new(self.new_peer(address, traffic));
        let mut map = self.by_address.write();
        let lanes = map
            .entry(address.into())
            .or_insert_with(|| Lanes { short: new(Traffic::Short), long: new(Traffic::Long) });
        lanes.carrying(traffic).clone()
    }

    fn new_peer(&self, address: &str, traffic: Traffic) -> Peer {
        Peer {
            address: address.into(),
            traffic,
            key: self.key.clone(),
            metrics: self.metrics.clone(),
            open: RwLock::new(None),
            connecting: Mutex::new(None),
        }
    }
}

/// A connection to a peer.
pub struct PeerConnection {
    peer: Arc<Peer>,
    sender: SendRequest<Body>,
    channel: Arc<Channel>,
}

impl PeerConnection {
    /// Returns a future that completes once the connection was silent and has been replaced. A
    /// response may still arrive on it.
    pub fn replaced(&self) -> impl Future<Output = ()> + Send + Sync + use<> {
        self.channel.replaced()
    }

    /// Sends a request.
    ///
    /// # Errors
    ///
    /// Fails when no response arrives; the error says whether the peer may have processed the
    /// request.
    pub async fn send(self, req: Request<Body>) -> Result<Response<Body>, NoAnswer> {
        self.send_until(req, None).await
    }

    /// Sends a request; the body of the response fails once the connection has been replaced.
    async fn send_until(
        &self,
        req: Request<Body>,
        replaced: Option<Replaced>,
    ) -> Result<Response<Body>, NoAnswer> {
        let mut guard = self.channel.begin_call();
        match self.sender.clone().try_send_request(req).await {
            Ok(res) => Ok(res.map(|incoming| ResponseBody::new(incoming, replaced, guard).boxed())),
            Err(mut e) => {
                guard.on_complete();
                let unsent = e.take_message().is_some();
                let e = e.into_error();
                self.peer.discard_if_closed();
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

/// The connection to a peer for some traffic.
struct Peer {
    address: String,
    traffic: Traffic,
    key: Option<Secret>,
    metrics: Metrics,
    open: RwLock<Option<(SendRequest<Body>, Arc<Channel>)>>,
    /// Locked while a caller connects; contains the time of the last failure.
    connecting: Mutex<Option<Instant>>,
}

impl Peer {
    fn open_connection(&self) -> Option<(SendRequest<Body>, Arc<Channel>)> {
        self.open.read().as_ref().filter(|(sender, _)| !sender.is_closed()).cloned()
    }

    /// Returns the sender of a connection, if new calls use it.
    fn sender_of(&self, channel: &Arc<Channel>) -> Option<SendRequest<Body>> {
        let (sender, open) = self.open_connection()?;
        Arc::ptr_eq(&open, channel).then_some(sender)
    }

    async fn connection(self: &Arc<Self>) -> Option<(SendRequest<Body>, Arc<Channel>)> {
        if let Some(open) = self.open_connection() {
            return Some(open);
        }
        // A task, so that a caller that leaves does not discard the result.
        let peer = self.clone();
        tokio::spawn(async move { peer.open_for_callers().await }).await.ok()?
    }

    async fn open_for_callers(self: &Arc<Self>) -> Option<(SendRequest<Body>, Arc<Channel>)> {
        // One caller connects; the others wait for it and share its result. Connecting in turn,
        // they would wait for an unreachable host until their deadlines.
        let requested_at = Instant::now();
        let mut last_failure = self.connecting.lock().await;
        if let Some(open) = self.open_connection() {
            return Some(open);
        }
        if last_failure.is_some_and(|at| at >= requested_at) {
            return None;
        }
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, self.connect()).await;
        let Some(opened) = connected.ok().flatten() else {
            *last_failure = Some(Instant::now());
            return None;
        };
        self.install(None, opened);
        self.open_connection()
    }

    /// Uses a connection for new calls; one that replaces `silent`, only if new calls still use
    /// that. Returns whether it is used.
    fn install(self: &Arc<Self>, silent: Option<&Arc<Channel>>, opened: Opened) -> bool {
        let Opened { sender, channel, connection } = opened;
        let mut open = self.open.write();
        let used = open.as_ref().map(|(_, used)| used);
        if silent.is_some_and(|silent| !used.is_some_and(|used| Arc::ptr_eq(used, silent))) {
            return false;
        }
        *open = Some((sender, channel.clone()));
        self.metrics.peer_connects.inc();
        let monitor = Monitor { peer: Arc::downgrade(self), channel, connection };
        tokio::spawn(monitor.run());
        true
    }

    async fn connect(&self) -> Option<Opened> {
        let activity = Activity::new();
        let stream = Observed::new(tcp::connect(&self.address).await.ok()?, activity.clone());
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
        let connection = tokio::spawn(async move {
            let _ = connection.await;
        });
        let waits = self.metrics.peer_waits.clone();
        let channel = Channel::new(self.address.clone(), self.traffic, waits, activity);
        Some(Opened { sender, channel, connection })
    }

    fn write_key(&self, map: &mut HeaderMap) {
        if let Some(key) = &self.key {
            headers::set(map, headers::KEY, key.expose());
        }
    }

    /// Stops to use a connection for new calls.
    fn discard(&self, channel: &Arc<Channel>) {
        let mut open = self.open.write();
        if open.as_ref().is_some_and(|(_, used)| Arc::ptr_eq(used, channel)) {
            *open = None;
        }
    }

    fn discard_if_closed(&self) {
        let mut open = self.open.write();
        if open.as_ref().is_some_and(|(sender, _)| sender.is_closed()) {
            *open = None;
        }
    }
}

/// A connection that was just opened.
struct Opened {
    sender: SendRequest<Body>,
    channel: Arc<Channel>,
    connection: JoinHandle<()>,
}
