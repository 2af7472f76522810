//! Connections whose client has vanished without closing them, and connections that are idle.
//!
//! The clock of the timeouts stands still, and the tests advance it.

use cherrystream_net::body;
use cherrystream_net::serve::{self, Phases};
use cherrystream_net::tcp;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper_util::rt::{TokioExecutor, TokioIo};
use nix::sys::socket::{self, sockopt};
use std::sync::mpsc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Time after which an idle HTTP/1 connection or an incomplete request is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time until a half-open HTTP/2 connection is closed.
const H2_TIMEOUT: Duration = Duration::from_secs(90);
/// Tolerance of both.
const TOLERANCE: Duration = Duration::from_secs(2);
/// Time after which a connection that is still open stays open.
const LONG: Duration = Duration::from_secs(600);
/// Step in which the clock is advanced.
const STEP: Duration = Duration::from_secs(1);
/// Pause after each step in which bytes are exchanged.
const SETTLE_TIME: Duration = Duration::from_millis(1);
/// Connection preface of HTTP/2 with an empty SETTINGS frame.
const H2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";

/// Keeps the clock from advancing by itself while it exists.
struct StoppedClock {
    _end: mpsc::Sender<()>,
}

impl StoppedClock {
    /// Stops the clock. Paused clocks advance by themselves while the runtime is idle, even if
    /// bytes are on the way, but not while a blocking task runs.
    fn new() -> StoppedClock {
        let (end, ended) = mpsc::channel();
        tokio::task::spawn_blocking(move || ended.recv());
        StoppedClock { _end: end }
    }

    /// Advances the clock by one step.
    async fn step(&self) {
        tokio::time::advance(STEP).await;
        tokio::task::spawn_blocking(|| std::thread::sleep(SETTLE_TIME)).await.unwrap();
    }
}

/// Answers once it has read the body of a request.
async fn answer(req: Request<Incoming>) -> Response<body::Body> {
    let read = body::read_request(req.into_body(), 1_024).await;
    let mut res = Response::new(body::empty());
    *res.status_mut() = if read.is_ok() { StatusCode::OK } else { StatusCode::BAD_REQUEST };
    res
}

async fn serve() -> String {
    let listener = serve::listen("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(serve::serve(listener, Phases::default(), answer));
    address
}

/// Sends bytes, and returns how long the server keeps the connection after the last of them.
/// Discards what it sends.
async fn kept_for(clock: &StoppedClock, address: &str, sent: &[u8]) -> Duration {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(sent).await.unwrap();
    let start = Instant::now();
    let end = tokio::spawn(async move { stream.read_to_end(&mut Vec::new()).await });
    while !end.is_finished() {
        assert!(start.elapsed() < LONG, "kept: {:?}", String::from_utf8_lossy(sent));
        clock.step().await;
    }
    start.elapsed()
}

/// Guards against descriptors of vanished clients that are kept for good, and against idle
/// connections that are closed before the time that is stated to callers.
#[tokio::test(start_paused = true)]
async fn half_open_http1_connections_are_closed_after_30_s() {
    let clock = StoppedClock::new();
    let address = serve().await;
    let head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n";
    let unfinished_body = [&head[..], b"\r\nab"].concat();
    let whole = [&head[..], b"\r\nabcde"].concat();
    for sent in [b"", &head[..], &unfinished_body, &whole] {
        let kept = kept_for(&clock, &address, sent).await;
        let text = String::from_utf8_lossy(sent);
        assert!(kept + TOLERANCE >= IDLE_TIMEOUT, "{text:?} is closed after {kept:?}");
        // An unfinished body is answered, and the connection is closed after the answer.
        assert!(kept <= IDLE_TIMEOUT + TOLERANCE, "{text:?} is kept for {kept:?}");
    }
}

/// Guards against peers' connections that are kept for good when pings get no reply.
#[tokio::test(start_paused = true)]
async fn a_half_open_http2_connection_is_closed_after_90_s() {
    let clock = StoppedClock::new();
    let kept = kept_for(&clock, &serve().await, H2_PREFACE).await;
    assert!(kept <= H2_TIMEOUT + TOLERANCE, "{kept:?}");
    assert!(kept + TOLERANCE >= H2_TIMEOUT, "{kept:?}");
}

/// Guards against closing connections between daemons that are live and carry no request.
#[tokio::test(start_paused = true)]
async fn an_idle_http2_connection_stays_open() {
    let clock = StoppedClock::new();
    let stream = TcpStream::connect(serve().await).await.unwrap();
    let builder = hyper::client::conn::http2::Builder::new(TokioExecutor::new());
    let (mut sender, connection) =
        builder.handshake::<_, body::Body>(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    for _ in 0..2 {
        let req = Request::post("http://a/").body(body::full("ab")).unwrap();
        assert_eq!(sender.send_request(req).await.unwrap().status(), StatusCode::OK);
        let start = Instant::now();
        while start.elapsed() < LONG {
            clock.step().await;
            assert!(!sender.is_closed(), "closed after {:?}", start.elapsed());
        }
    }
}

/// Guards against accepted connections on which the system does not detect a vanished client.
#[tokio::test]
async fn accepted_connections_have_timeouts_of_the_system() {
    let listener = tcp::listen("127.0.0.1:0").await.unwrap();
    let _client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let user_timeout = socket::getsockopt(&stream, sockopt::TcpUserTimeout).unwrap();
    assert_eq!(user_timeout, tcp::ACCEPTED_USER_TIMEOUT.as_millis() as u32);
    assert!(socket::getsockopt(&stream, sockopt::KeepAlive).unwrap());
    let idle = socket::getsockopt(&stream, sockopt::TcpKeepIdle).unwrap();
    assert_eq!(idle, tcp::PROBE_IDLE.as_secs() as u32);
}
