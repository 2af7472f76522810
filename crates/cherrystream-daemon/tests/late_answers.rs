//! Responses to callers when a backend server answers an earlier request a second time.

use cherrystream_core::settings;
use cherrystream_core::shared;
use cherrystream_core::units::Revision;
use cherrystream_daemon::own_interface::OwnInterface;
use cherrystream_daemon::role::{Context, Daemon};
use cherrystream_net::body::{self, Body, Start};
use cherrystream_net::pool::Pool;
use cherrystream_net::serve::{self, Phases};
use cherrystream_schema::messages::{BackendServer, HostRecord, Service, Update};
use http::Request;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};

/// Time for which the backend server works on the next request.
const WORK: Duration = Duration::from_millis(200);

/// Encodes a response of a backend server.
type Encode = fn(id: &str, text: &str) -> Vec<u8>;

/// A backend server that answers each request, and repeats the previous answer when the next
/// request arrives.
struct RepeatingServer {
    encode: Encode,
    /// Set if a connection is closed while its request is in flight.
    closed_early: Arc<AtomicBool>,
}

impl RepeatingServer {
    async fn serve(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let (encode, closed_early) = (self.encode, self.closed_early.clone());
            tokio::spawn(async move { connection(stream, encode, &closed_early).await });
        }
    }
}

async fn connection(stream: TcpStream, encode: Encode, closed_early: &AtomicBool) {
    let (read, mut to) = stream.into_split();
    let mut from = BufReader::new(read);
    let mut earlier: Option<String> = None;
    while let Some(id) = read_id(&mut from).await {
        if let Some(earlier) = earlier.replace(id.clone()) {
            let late = encode(&earlier, "late");
            let (head, rest) = late.split_at(late.len() / 2);
            to.write_all(head).await.unwrap();
            tokio::time::sleep(WORK / 2).await;
            to.write_all(rest).await.unwrap();
        }
        // The connection closes if its caller cancels the request.
        let closed = tokio::time::timeout(WORK, from.fill_buf()).await;
        closed_early.fetch_or(closed.is_ok(), Ordering::SeqCst);
        let _ = to.write_all(&encode(&id, "own")).await;
    }
}

/// Reads the head of a request without a body; returns its identifier, empty if it has none.
async fn read_id(from: &mut BufReader<OwnedReadHalf>) -> Option<String> {
    let mut id = String::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        match line.trim().split_once(": ") {
            Some(("cherrystream-call", value)) => id = value.into(),
            None if line.trim().is_empty() => return Some(id),
            _ => {}
        }
    }
}

fn with_length(id: &str, text: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nCherrystream-Call: {id}\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    )
    .into_bytes()
}

fn without_body(id: &str, text: &str) -> Vec<u8> {
    match text {
        "late" => format!("HTTP/1.1 204 No Content\r\ncherrystream-call:{id}\r\n\r\n").into_bytes(),
        _ => with_length(id, text),
    }
}

/// Starts a daemon without retries beside a backend server; returns the daemon and its address for
/// callers.
async fn start(encode: Encode, closed_early: Arc<AtomicBool>) -> (Daemon, String) {
    let listener = serve::listen("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(RepeatingServer { encode, closed_early }.serve(listener));
    let reserved = serve::listen("127.0.0.1:0").await.unwrap();
    let callers = reserved.local_addr().unwrap().to_string();
    drop(reserved);
    let text = format!(
        "host: own\nfailure_domain: a\nclosed_network: true\ndaemon:\n  caller_address: {callers}\n  \
         peer_address: 127.0.0.1:0\n  control: [127.0.0.1:1]\n  retry_share: 0.0\n"
    );
    let all = settings::read(&text).unwrap();
    let cx = Context {
        phases: Phases::default(),
        key: None,
        interface: Arc::new(OwnInterface),
        read_seeds: Arc::new(|| None),
        metrics: Default::default(),
        ready: Arc::new(AtomicBool::new(false)),
    };
    let daemon = Daemon::start(&all, all.daemon.as_ref().unwrap(), cx).await.unwrap();
    let mut state = shared::empty();
    let server = BackendServer { host: "own".into(), address, slots: 4 };
    let service = Service {
        backend_servers: [("quotes-1".to_string(), server)].into(),
        kinds: Default::default(),
        measuring_per_second: 0,
    };
    state.config.services.insert("quotes".into(), service);
    let host = HostRecord {
        host: "own".into(),
        failure_domain: "a".into(),
        region: "r".into(),
        peer_address: "127.0.0.1:1".into(),
        incarnation: 1,
        leaving: false,
    };
    state.hosts.insert("own".into(), host);
    daemon.current_config().apply(Update {
        revision: Revision { term: 1, index: 1 },
        changes: Vec::new(),
        full: Some(state),
    });
    (daemon, callers)
}

async fn send_request(callers: &str) -> (u16, String) {
    let req = Request::get("/x").header("host", "h").header("cherrystream-service", "quotes");
    let req: Request<Body> = req.body(body::empty()).unwrap();
    let pool = Pool::new(callers, Default::default());
    let connection = pool.connection().await.expect("no connection");
    let (parts, body) = pool.send(connection, req).await.expect("no answer").into_parts();
    let Ok(Start::Whole(bytes)) = body::read_start(body, 1 << 16).await else {
        panic!("the response body is incomplete");
    };
    (parts.status.as_u16(), String::from_utf8_lossy(&bytes).into_owned())
}

/// Sends three requests on one connection to the backend server. The last two coincide with a late
/// answer.
async fn answers(encode: Encode) -> Vec<(u16, String)> {
    let closed_early = Arc::new(AtomicBool::new(false));
    let (_daemon, callers) = start(encode, closed_early.clone()).await;
    let mut first = send_request(&callers).await;
    for _ in 0..1_000 {
        // The service is unknown until the state is in effect.
        if first.0 != 404 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
        first = send_request(&callers).await;
    }
    let answers = vec![first, send_request(&callers).await, send_request(&callers).await];
    assert!(!closed_early.load(Ordering::SeqCst), "closed in flight: {answers:?}");
    answers
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_answer_to_an_earlier_request_does_not_fail_the_next_one() {
    let answers = answers(with_length).await;
    assert!(answers.iter().all(|answer| *answer == (200, "own".into())), "{answers:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_answer_without_a_body_does_not_fail_the_next_request() {
    let answers = answers(without_body).await;
    assert!(answers.iter().all(|answer| *answer == (200, "own".into())), "{answers:?}");
}
