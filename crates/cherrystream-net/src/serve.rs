//! Listeners for HTTP/1.1 and HTTP/2 on one port, with graceful shutdown.

use crate::body::Body;
use crate::clock::Clock;
use crate::errors::{Error, Result};
use crate::fair::Fair;
use crate::tcp;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use parking_lot::Mutex;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// Maximum size of a request head in bytes.
const MAX_HEAD_BYTES: u32 = 64 * 1024;
/// Size of the HTTP/1 read buffer in bytes; limits the request head.
const H1_BUFFER_BYTES: usize = 64 * 1024;
/// Timeout for receiving an HTTP/1 request head, and for the next one on an idle connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Time without a received frame after which an HTTP/2 connection is pinged.
const PING_IDLE: Duration = Duration::from_secs(30);
/// Time without a reply to a ping after which an HTTP/2 connection is closed. A reply waits behind
/// the bytes that were sent before it: [`CONNECTION_WINDOW`] takes 50 s at 85 KB/s.
const PING_TIMEOUT: Duration = Duration::from_secs(60);
/// Flow control window of an HTTP/2 stream in bytes.
pub const STREAM_WINDOW: u32 = 256 * 1024;
/// Flow control window of an HTTP/2 connection in bytes.
pub const CONNECTION_WINDOW: u32 = 4 * 1024 * 1024;
/// Maximum number of concurrent streams per HTTP/2 connection.
const MAX_STREAMS: u32 = 10_000;

/// Address of the client of a connection, an extension of its requests.
#[derive(Clone, Copy, Debug)]
pub struct ClientAddress(pub SocketAddr);

/// Time since the last response on a connection, or since it was accepted, an extension of its
/// requests. A request that is not pipelined was sent after that.
#[derive(Clone, Copy, Debug)]
pub struct IdleTime(pub Duration);

/// Phases of the life cycle of a process, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The process serves requests.
    Serving,
    /// The process reports that it is not ready, and still accepts requests while callers move
    /// away.
    Leaving,
    /// Local backend servers accept no new requests; open connections are still served.
    Draining,
    /// Connections are closed after their last response.
    Closing,
    /// The time for shutting down is nearly over: pending requests are answered with an error.
    Ending,
}

/// Publishes the phase of the process.
#[derive(Clone, Debug)]
pub struct Phases {
    tx: Arc<watch::Sender<Phase>>,
}

impl Default for Phases {
    fn default() -> Self {
        Phases { tx: Arc::new(watch::Sender::new(Phase::Serving)) }
    }
}

impl Phases {
    /// Enters a phase. Has no effect if a later one was entered before.
    pub fn enter(&self, phase: Phase) {
        self.tx.send_if_modified(|now| {
            let later = phase > *now;
            if later {
                *now = phase;
            }
            later
        });
    }

    /// Returns the current phase.
    pub fn now(&self) -> Phase {
        *self.tx.borrow()
    }

    /// Waits until `phase` or a later one is entered.
    pub async fn reached(&self, phase: Phase) {
        // The wait cannot fail, since this value owns the sender.
        let _ = self.tx.subscribe().wait_for(|now| *now >= phase).await;
    }
}

/// Listens on an address.
///
/// # Errors
///
/// Fails if the address is in use or does not belong to this host.
pub async fn listen(address: &str) -> Result<TcpListener> {
    tcp::listen(address).await.map_err(|source| Error::Listen { address: address.into(), source })
}

/// Serves a listener until all connections have ended in the closing phase.
pub async fn serve<H, F>(listener: TcpListener, phases: Phases, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    accept(listener, phases, builder(), handler).await;
}

/// Serves a listener for other daemons, like [`serve`].
///
/// One connection carries the requests of many callers and must not be closed because many of them
/// cancel at once: requests that a slow link delays arrive together with their cancellation.
pub async fn serve_peers<H, F>(listener: TcpListener, phases: Phases, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let mut builder = builder();
    builder
        .http2()
        .max_pending_accept_reset_streams(MAX_STREAMS as usize)
        .max_local_error_reset_streams(None);
    accept(listener, phases, builder, handler).await;
}

type Builder = auto::Builder<TokioExecutor>;

async fn accept<H, F>(listener: TcpListener, phases: Phases, builder: Builder, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let (open_tx, mut open_rx) = mpsc::channel::<()>(1);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = phases.reached(Phase::Closing) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let open = open_tx.clone();
                let connection =
                    serve_connection(stream, phases.clone(), builder.clone(), handler.clone());
                tokio::spawn(async move {
                    connection.await;
                    drop(open);
                });
            }
            Err(e) => {
                log::warn!("listener: cannot accept a connection: {e}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
    drop(listener);
    drop(open_tx);
    // Returns when the last connection has ended and dropped its sender.
    let _ = open_rx.recv().await;
}

async fn serve_connection<H, F>(stream: TcpStream, phases: Phases, builder: Builder, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let clock = Clock::default();
    let accepted = clock.now();
    let _ = stream.set_nodelay(true);
    if !wait_for_first_byte(&stream, &phases).await {
        return;
    }
    let client = stream.peer_addr().ok().map(ClientAddress);
    let last_used = Arc::new(Mutex::new(accepted));
    let service = hyper::service::service_fn(move |mut req: Request<Incoming>| {
        let idle = clock.now().since(*last_used.lock());
        req.extensions_mut().insert(IdleTime(idle));
        if let Some(client) = client {
            req.extensions_mut().insert(client);
        }
        let (answer, last_used) = (handler(req), last_used.clone());
        async move {
            let answer = answer.await;
            *last_used.lock() = clock.now();
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = builder.serve_connection(TokioIo::new(Fair::new(stream)), service);
    tokio::pin!(connection);
    tokio::select! {
        result = connection.as_mut() => return log_end(result),
        () = phases.reached(Phase::Closing) => connection.as_mut().graceful_shutdown(),
    }
    log_end(connection.await);
}

/// Returns whether a byte arrives in time. The builder has no timeout until it knows the protocol.
async fn wait_for_first_byte(stream: &TcpStream, phases: &Phases) -> bool {
    let mut byte = [0];
    tokio::select! {
        biased;
        peeked = tokio::time::timeout(HEAD_TIMEOUT, stream.peek(&mut byte)) => {
            matches!(peeked, Ok(Ok(_)))
        }
        () = phases.reached(Phase::Closing) => false,
    }
}

fn builder() -> Builder {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(H1_BUFFER_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_IDLE)
        .keep_alive_timeout(PING_TIMEOUT)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEAD_BYTES);
    builder
}

fn log_end(result: std::result::Result<(), Box<dyn std::error::Error + Send + Sync>>) {
    if let Err(e) = result {
        log::debug!("listener: connection ended early: {e}");
    }
}
