//! Backend servers that send bytes without end that are no answer, or break off their answers.

use super::support::client::Ask;
use super::support::site::{Daemon, Site};
use super::support::wait;
use serde_json::json;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const SERVICE: &str = "quotes";
/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Longest time beyond the deadline until a request has ended.
const END_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time until another request is served after one with an odd answer.
const SERVED_TIMEOUT: Duration = Duration::from_secs(6);
/// More than the daemon reads before it passes an answer on.
const LONG: usize = 128 * 1024;
/// Bytes that a server writes at once.
const PIECE: usize = 16 * 1024;
/// Bytes that a server with a steady rate writes at once, and the time between two writes.
const FLOW_PIECE: usize = 1_024;
const FLOW_INTERVAL: Duration = Duration::from_millis(5);

/// What a server sends after the beginning of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rest {
    Close,
    Silence,
    /// These bytes again and again, as fast as possible, until the connection is closed.
    Endless(&'static str),
    /// The same at a rate that callers can follow.
    Flow(&'static str),
}

/// An answer of a server.
#[derive(Clone, Debug)]
struct Odd {
    begin: Vec<u8>,
    rest: Rest,
}

fn odd(begin: &str, rest: Rest) -> Odd {
    Odd { begin: begin.into(), rest }
}

/// Returns an answer whose body has begun with more than a daemon buffers.
fn long(head: &str, chunked: bool, rest: Rest) -> Odd {
    let mut begin = format!("HTTP/1.1 200 OK\r\n{head}\r\n").into_bytes();
    if chunked {
        begin.extend(format!("{LONG:x}\r\n").bytes());
    }
    begin.extend(vec![b'x'; LONG]);
    if chunked {
        begin.extend(b"\r\n");
    }
    Odd { begin, rest }
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Returns answers that end too early.
fn cut() -> Vec<Odd> {
    let mut all: Vec<Odd> = [
        "",
        "HTTP/1.1",
        "HTTP/1.1 200 OK",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nContent-Length: 0",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r",
        "HTTP/1.0 200 OK\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
    ]
    .map(|begin| odd(begin, Rest::Close))
    .into();
    all.push(long("Content-Length: 200000\r\n", false, Rest::Close));
    all.push(long("Transfer-Encoding: chunked\r\n", true, Rest::Close));
    all
}

/// Returns bytes without end that hold no content of an answer.
fn without_content() -> Vec<Odd> {
    let after_chunk = "2\r\nab\r\n";
    vec![
        odd("HTTP/1.1 200 OK\r\n", Rest::Endless("X: y\r\n")),
        odd("HTTP/1.1 200 OK\r\nX: ", Rest::Endless("y")),
        odd("", Rest::Endless("garbage ")),
        odd("", Rest::Endless("\r\n")),
        odd("", Rest::Endless("HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n")),
        odd(CHUNKED, Rest::Endless("0")),
        odd(&format!("{CHUNKED}{after_chunk}"), Rest::Endless("0")),
        odd(&format!("{CHUNKED}2;"), Rest::Endless("x")),
        odd(&format!("{CHUNKED}{after_chunk}0\r\n"), Rest::Endless("X: y\r\n")),
        long("Transfer-Encoding: chunked\r\n", true, Rest::Endless("0")),
    ]
}

/// Returns answers whose content has no end, or does not come.
fn without_end() -> Vec<Odd> {
    vec![
        odd(CHUNKED, Rest::Flow("2\r\nab\r\n")),
        odd("HTTP/1.1 200 OK\r\n\r\n", Rest::Endless("x")),
        odd("HTTP/1.1 200 OK\r\n\r\n", Rest::Flow("x")),
        odd("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", Rest::Endless("x")),
        long("Content-Length: 200000\r\n", false, Rest::Silence),
        long("Transfer-Encoding: chunked\r\n", true, Rest::Silence),
    ]
}

/// Returns short answers whose server falls silent.
fn silent() -> Vec<Odd> {
    vec![
        odd("HTTP/1.1 200 OK\r\nContent-", Rest::Silence),
        odd("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab", Rest::Silence),
    ]
}

/// A server that answers health checks well and everything else with an odd answer.
struct Server {
    address: String,
    answer: watch::Sender<Option<Odd>>,
    /// Number of odd answers whose connection is open.
    open: Arc<watch::Sender<usize>>,
}

impl Server {
    async fn start(listen: &str) -> Server {
        let listener = TcpListener::bind(listen).await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let answer = watch::Sender::new(None);
        let open = Arc::new(watch::Sender::new(0));
        let (rx, counter) = (answer.subscribe(), open.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, rx.clone(), counter.clone()));
            }
        });
        Server { address, answer, open }
    }
}

async fn serve(
    stream: TcpStream,
    answer: watch::Receiver<Option<Odd>>,
    open: Arc<watch::Sender<usize>>,
) {
    let mut stream = BufReader::new(stream);
    loop {
        let Some(target) = read_request(&mut stream).await else { return };
        let odd = answer.borrow().clone().filter(|_| target.contains("/odd"));
        let Some(odd) = odd else {
            let whole = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            if stream.write_all(whole).await.is_err() {
                return;
            }
            continue;
        };
        open.send_modify(|n| *n += 1);
        let _ = send_odd(&mut stream, &odd).await;
        open.send_modify(|n| *n -= 1);
        return;
    }
}

/// Reads a request with its body; returns its first line.
async fn read_request(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut first = String::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        if line == "\r\n" {
            break;
        }
        if first.is_empty() {
            first = line;
        }
    }
    stream.read_exact(&mut vec![0; length]).await.ok()?;
    Some(first)
}

async fn send_odd(stream: &mut BufReader<TcpStream>, odd: &Odd) -> std::io::Result<()> {
    stream.write_all(&odd.begin).await?;
    match odd.rest {
        Rest::Close => Ok(()),
        // Ends when the daemon closes.
        Rest::Silence => stream.read_u8().await.map(|_| ()),
        Rest::Endless(bytes) => repeat(stream, bytes, PIECE, Duration::ZERO).await,
        Rest::Flow(bytes) => repeat(stream, bytes, FLOW_PIECE, FLOW_INTERVAL).await,
    }
}

/// Sends bytes again and again until the connection is closed.
async fn repeat(
    stream: &mut BufReader<TcpStream>,
    bytes: &str,
    piece: usize,
    interval: Duration,
) -> std::io::Result<()> {
    let piece = bytes.repeat(piece / bytes.len());
    loop {
        stream.write_all(piece.as_bytes()).await?;
        tokio::time::sleep(interval).await;
    }
}

/// A daemon beside the server, and another one.
struct Fleet {
    _site: Site,
    near: Daemon,
    far: Daemon,
    server: Server,
}

impl Fleet {
    async fn start() -> Fleet {
        let site = Site::with_control(1).await;
        let near = site.start_daemon("host-a", "a", 1);
        let far = site.start_daemon("host-b", "b", 2);
        let server = Server::start(&site.address(0)).await;
        site.put_service(SERVICE).await;
        site.accept(json!({
            "intent": "put-backend-server", "service": SERVICE, "name": "odd", "host": "host-a",
            "address": server.address, "slots": 12
        }))
        .await;
        site.accept(json!({
            "intent": "put-kind", "service": SERVICE, "kind": "order", "method": "POST",
            "path_prefix": "/odd", "repeatable": false, "weight": 5, "deadline_ms": 8_000
        }))
        .await;
        site.in_force(&[&near, &far]).await;
        near.serves(SERVICE).await;
        far.serves(SERVICE).await;
        Fleet { _site: site, near, far, server }
    }

    /// Returns how requests with an odd answer fail to end as they should, by daemon and request.
    async fn check(&self, odd: &Odd) -> Vec<String> {
        self.server.answer.send_replace(Some(odd.clone()));
        let mut wrong = Vec::new();
        for (daemon, place) in [(&self.near, "near"), (&self.far, "far")] {
            for method in ["GET", "POST"] {
                if let Some(what) = self.check_one(daemon, method).await {
                    let begin = String::from_utf8_lossy(&odd.begin[..odd.begin.len().min(80)]);
                    wrong.push(format!("{place} {method} {begin:?} {:?}: {what}", odd.rest));
                }
            }
        }
        wrong
    }

    async fn check_one(&self, daemon: &Daemon, method: &'static str) -> Option<String> {
        if !is_served(daemon).await {
            return Some("other requests are not served".into());
        }
        let start = Instant::now();
        let mut ask = Ask { method, ..Ask::get("/odd") }
            .service(SERVICE)
            .with("cherrystream-deadline-ms", DEADLINE.as_millis());
        if method == "POST" {
            ask = ask.key(&format!("{:032x}", rand::random::<u128>()));
        }
        let limit = DEADLINE + END_TIMEOUT;
        let Ok(answer) = tokio::time::timeout(limit * 2, daemon.call(&ask)).await else {
            return Some("no end".into());
        };
        let took = start.elapsed();
        if took > limit {
            return Some(format!("ended after {took:?}"));
        }
        if let Some(answer) = answer {
            if answer.status.is_success() {
                return Some(format!("{} with {} bytes", answer.status, answer.body.len()));
            }
            if answer.outcome() == "not-run" {
                return Some(format!("said not to have run: {}", answer.reason()));
            }
        }
        let mut open = self.server.open.subscribe();
        let closed = tokio::time::timeout(limit, open.wait_for(|n| *n == 0)).await;
        closed.is_err().then(|| "the daemon goes on reading".into())
    }
}

/// Returns whether an ordinary request is served soon. A server that fails is avoided for a while.
async fn is_served(daemon: &Daemon) -> bool {
    let serving = wait::until("an ordinary request is served", || async {
        let answer = daemon.call(&Ask::get("/even").service(SERVICE)).await?;
        (answer.status == 200).then_some(())
    });
    tokio::time::timeout(SERVED_TIMEOUT, serving).await.is_ok()
}

async fn assert_ends(answers: Vec<Odd>) {
    let fleet = Fleet::start().await;
    let mut wrong = Vec::new();
    for odd in &answers {
        wrong.extend(fleet.check(odd).await);
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against answers that break off and are passed on as whole.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_cut_is_never_passed_on_as_whole() {
    assert_ends(cut()).await;
}

/// Guards against daemons that are kept busy, and requests that hang past their deadline.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_that_are_no_answer_end_the_request() {
    assert_ends(without_content()).await;
}

/// Guards against long answers that hang past the deadline once they have begun.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_end_ends_at_the_deadline() {
    assert_ends(without_end()).await;
}

/// Guards against a slot and a connection that an unrepeatable request holds for good.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_server_falls_silent_in_its_answer_frees_its_slot() {
    assert_ends(silent()).await;
}
