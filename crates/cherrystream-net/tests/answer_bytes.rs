//! Random answers of a faulty server: each is received whole or fails, and no part of one is received
//! in the place of another.

use arbtest::arbitrary::{self, Unstructured};
use arbtest::arbtest;
use cherrystream_net::body::{self, Body, Start};
use cherrystream_net::pool::Pool;
use http::{HeaderName, Request};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime;

const ID: HeaderName = HeaderName::from_static("request-id");
/// Longest wait for an answer. A server that sends too little closes its connection.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest answer, in bytes.
const MAX_BYTES: usize = 4 * 1024;
/// Time for which random answers are tried, in milliseconds.
const BUDGET_MS: u64 = 3_000;

/// How an answer is sent.
#[derive(Clone, Debug)]
struct Sent {
    /// Lines of the head, without the one with the identifier.
    head: Vec<String>,
    status: &'static str,
    chunk: Option<usize>,
    /// Number of bytes after which the connection is closed, if the answer is cut.
    cut_at: Option<usize>,
    /// Bytes sent together with the next answer on the connection.
    late: Late,
}

/// What follows an answer.
#[derive(Clone, Debug)]
enum Late {
    Nothing,
    Copy,
    Bytes(&'static str),
}

/// Returns the only body of a request that may be received.
fn whole(id: &str) -> String {
    format!("the answer to {id}, {}", id.repeat(9))
}

fn sent(u: &mut Unstructured<'_>, id: &str) -> arbitrary::Result<Sent> {
    let length = whole(id).len();
    let other = u.int_in_range(0..=2 * length)?;
    let chunk = u.arbitrary::<bool>()?.then_some(u.int_in_range(1..=length)?);
    let framing = match chunk {
        Some(_) => "transfer-encoding: chunked".into(),
        None => format!("content-length: {length}"),
    };
    let more = match u.int_in_range(0..=9)? {
        0 => Some(format!("content-length: {other}")),
        1 => Some("transfer-encoding: chunked".into()),
        2 => Some("transfer-encoding: gzip".into()),
        3 => Some(format!("content-length: {length}, {other}")),
        4 => Some("connection: content-length, transfer-encoding".into()),
        _ => None,
    };
    let mut head: Vec<String> = [framing].into_iter().chain(more).collect();
    if u.arbitrary()? {
        head.reverse();
    }
    let statuses = ["200 OK", "200 OK", "200 OK", "000 Odd", "101 Odd", "600 Odd", "999 Odd"];
    let late = match u.int_in_range(0..=5)? {
        0 => Late::Copy,
        1 => Late::Bytes("garbage"),
        2 => Late::Bytes("\r\n\r\n"),
        3 => Late::Bytes("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno"),
        _ => Late::Nothing,
    };
    let cut_at = u.ratio(1, 6)?.then_some(u.int_in_range(0..=2 * length)?);
    Ok(Sent { head, status: u.choose(&statuses)?, chunk, cut_at, late })
}

impl Sent {
    fn encode(&self, id: &str) -> Vec<u8> {
        let lines = self.head.join("\r\n");
        let mut bytes = format!("HTTP/1.1 {}\r\nrequest-id: {id}\r\n{lines}\r\n\r\n", self.status);
        let body = whole(id);
        match self.chunk {
            None => bytes.push_str(&body),
            Some(size) => {
                for chunk in body.as_bytes().chunks(size) {
                    let text = std::str::from_utf8(chunk).unwrap();
                    bytes.push_str(&format!("{:x}\r\n{text}\r\n", chunk.len()));
                }
                bytes.push_str("0\r\n\r\n");
            }
        }
        bytes.into_bytes()
    }
}

async fn read_id(stream: &mut BufReader<TcpStream>) -> Option<usize> {
    let mut id = None;
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        if let Some(value) = line.strip_prefix("request-id: ") {
            id = value.trim().strip_prefix('r')?.parse().ok();
        }
        if line == "\r\n" {
            return id;
        }
    }
}

async fn serve(stream: TcpStream, answers: &[Sent]) -> Option<()> {
    let mut stream = BufReader::new(stream);
    let mut late = Vec::new();
    while let Some(n) = read_id(&mut stream).await {
        let (sent, id) = (&answers[n], format!("r{n}"));
        let own = sent.encode(&id);
        if let Some(cut_at) = sent.cut_at {
            late.extend(&own[..cut_at.min(own.len())]);
            return stream.write_all(&late).await.ok();
        }
        late.extend(&own);
        stream.write_all(&late).await.ok()?;
        late = match sent.late {
            Late::Nothing => Vec::new(),
            Late::Copy => own,
            Late::Bytes(bytes) => bytes.into(),
        };
        // A body that ends with the connection, or one that is shorter than stated.
        if sent.head.len() > 1 {
            return None;
        }
    }
    Some(())
}

/// Sends a request; returns the body of its answer, if that is whole and carries the identifier.
async fn receive(pool: &Pool, id: &str) -> Option<(u16, String)> {
    let req: Request<Body> =
        Request::get("/").header("host", "h").header(ID, id).body(body::empty()).unwrap();
    let connection = pool.connection_for(id).await.ok()?;
    let res = pool.send(connection, req).await.ok()?;
    let (parts, body) = res.into_parts();
    if parts.headers.get(ID).is_none_or(|echoed| echoed != id) {
        return None;
    }
    match body::read_start(body, MAX_BYTES).await {
        Ok(Start::Whole(bytes)) => {
            Some((parts.status.as_u16(), String::from_utf8(bytes.to_vec()).unwrap()))
        }
        _ => None,
    }
}

async fn check(answers: Vec<Sent>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let pool = Pool::new(&listener.local_addr().unwrap().to_string(), Default::default());
    let pool = pool.with_id(ID);
    let served = Arc::new(answers.clone());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let served = served.clone();
            tokio::spawn(async move { serve(stream, &served).await });
        }
    });
    for n in 0..answers.len() {
        let id = format!("r{n}");
        let received = tokio::time::timeout(ANSWER_TIMEOUT, receive(&pool, &id)).await;
        let Ok(received) = received else { panic!("no end of {n}: {answers:#?}") };
        if let Some((status, body)) = received {
            assert_eq!((status, body), (200, whole(&id)), "answer {n} of {answers:#?}");
        }
    }
}

/// Guards against answers that are received in part, or in the place of others.
#[test]
fn an_answer_is_received_whole_or_not_at_all() {
    arbtest(|u| {
        let count = u.int_in_range(1..=4)?;
        let answers = (0..count).map(|n| sent(u, &format!("r{n}"))).collect::<Result<_, _>>()?;
        runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap()
            .block_on(check(answers));
        Ok(())
    })
    .budget_ms(BUDGET_MS);
}
