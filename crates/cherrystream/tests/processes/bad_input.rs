//! Invalid input at each port is rejected with a reason and affects nothing else.

use super::path;
use super::support::client::Ask;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends raw bytes and returns what is received until the connection closes or 5 s pass.
async fn raw(address: &str, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(std::time::Duration::from_secs(5), reading).await;
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn garbage_on_every_port_affects_no_other_request() {
    let pair = path::pair(1).await;
    let garbage: Vec<u8> = (0..4096_u32).map(|i| (i * 131 % 251) as u8).collect();
    let ports = [pair.a.caller.clone(), pair.a.peer.clone(), pair.site.rpc(1), pair.site.api(1)];
    for port in &ports {
        raw(port, &garbage).await;
        raw(port, b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").await;
    }
    let answer = pair.a.call(&Ask::get("/work").service("quotes")).await.unwrap();
    assert_eq!(answer.outcome(), "answered");
    assert!(pair.site.status().await.unwrap().needs_attention.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn ambiguous_body_lengths_are_rejected() {
    let pair = path::pair(1).await;
    let smuggled = [
        "POST /w HTTP/1.1\r\nhost: quotes\r\ncontent-length: 4\r\ncontent-length: 30\r\n\r\nabcd",
        "POST /w HTTP/1.1\r\nhost: quotes\r\ncontent-length: 4\r\ncontent-length: 4, 5\r\n\r\nabcd",
        "POST /w HTTP/1.1\r\nhost: quotes\r\ntransfer-encoding: gzip\r\n\r\nabcd",
    ];
    for request in smuggled {
        let answer = raw(&pair.a.caller, request.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{request:?} got {answer:?}");
    }
    let runs = [pair.server_a.runs(), pair.server_b.runs()].concat();
    assert!(!runs.contains(&"/w".to_string()), "{runs:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_is_too_large_is_rejected() {
    let pair = path::pair(1).await;
    let head = format!("GET / HTTP/1.1\r\nhost: quotes\r\nx: {}\r\n\r\n", "y".repeat(200_000));
    let answer = raw(&pair.a.caller, head.as_bytes()).await;
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 431"), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_rejected_with_a_reason() {
    let pair = path::pair(1).await;
    let cases = [
        (Ask::get("/x").service("nothing"), 404, "no-such-service"),
        (
            Ask::get("/x").service("quotes").with("cherrystream-deadline-ms", "soon"),
            400,
            "bad-request",
        ),
        (Ask::post("/orders", "x").service("quotes").key(""), 400, "bad-request"),
        (Ask::post("/orders", "x").service("quotes").key(&"k".repeat(256)), 400, "bad-request"),
        (
            Ask::post("/orders", vec![0; 1 << 21]).service("quotes").key("large"),
            413,
            "body-too-large",
        ),
        (
            Ask::post("/orders", "x").service("quotes").key("01890a5d-ac96-774b-bcce-b302099a8057"),
            400,
            "key-too-old",
        ),
    ];
    for (ask, status, reason) in cases {
        let answer = pair.a.call(&ask).await.unwrap();
        assert_eq!((answer.status.as_u16(), answer.reason()), (status, reason), "{ask:?}");
        assert_eq!(answer.outcome(), "not-run");
        let counter = format!("cherrystream_refusals_total{{reason=\"{reason}\"}}");
        assert!(pair.a.metric(&counter).await >= 1.0, "{counter}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_cannot_set_internal_headers() {
    let pair = path::pair(1).await;
    let ask = Ask::get("/work")
        .service("quotes")
        .with("cherrystream-op", "fetch")
        .with("cherrystream-claim", "{}")
        .with("cherrystream-server", "quotes-z");
    let answer = pair.a.call(&ask).await.unwrap();
    assert_eq!(answer.outcome(), "answered");
    assert_eq!(answer.work().path, "/work");
}
