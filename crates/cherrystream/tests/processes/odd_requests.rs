//! Callers that send bytes without end that are no request, or bodies of an ambiguous length.

use super::path;
use super::support::client::Ask;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time for which the bytes are sent.
const FLOOD_TIME: Duration = Duration::from_secs(3);
/// Longest time until another request is answered meanwhile.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Callers that send at once.
const CALLERS: usize = 4;
/// Bytes that a caller writes at once.
const PIECE: usize = 16 * 1024;

async fn flood(address: String, head: &'static str, bytes: &'static str) {
    let mut stream = TcpStream::connect(&address).await.unwrap();
    let piece = bytes.repeat(PIECE / bytes.len());
    if stream.write_all(head.as_bytes()).await.is_ok() {
        while stream.write_all(piece.as_bytes()).await.is_ok() {}
    }
}

/// Guards against a daemon that serves nobody else while callers never end a chunk size.
#[tokio::test(flavor = "multi_thread")]
async fn other_requests_are_served_while_callers_send_bytes_without_end() {
    let pair = path::pair(1).await;
    let chunked =
        "POST /work HTTP/1.1\r\nhost: quotes.internal\r\ntransfer-encoding: chunked\r\n\r\n";
    for (head, bytes) in [(chunked, "0"), (chunked, "2\r\nab\r\n"), ("", "\r\n"), ("", "garbage")] {
        let mut floods = tokio::task::JoinSet::new();
        for _ in 0..CALLERS {
            floods.spawn(flood(pair.a.caller.clone(), head, bytes));
        }
        let start = Instant::now();
        let mut longest = Duration::ZERO;
        while start.elapsed() < FLOOD_TIME {
            let sent = Instant::now();
            let ask = Ask::get("/work").service("quotes");
            let answered = tokio::time::timeout(FLOOD_TIME * 2, pair.a.call(&ask)).await;
            assert!(answered.is_ok(), "{bytes:?}: no answer");
            longest = longest.max(sent.elapsed());
        }
        println!("{bytes:?}: longest {longest:?}");
        assert!(longest < ANSWER_TIMEOUT, "{bytes:?}: an answer took {longest:?}");
        floods.abort_all();
        while floods.join_next().await.is_some() {}
    }
}

/// Sends bytes on a connection of their own; returns all that is answered until it is closed.
async fn answer_to(address: &str, bytes: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    assert!(tokio::time::timeout(FLOOD_TIME, reading).await.is_ok(), "the connection stays open");
    String::from_utf8(answer).unwrap()
}

/// Guards against a body that reaches the backend server encoded, without the name of its coding.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_with_an_unknown_coding_is_refused() {
    let pair = path::pair(1).await;
    for coding in ["gzip, chunked", "chunked, chunked", "gzip\r\ntransfer-encoding: chunked"] {
        let req = format!(
            "POST /work HTTP/1.1\r\nhost: quotes.internal\r\ncherrystream-service: quotes\r\n\
             connection: close\r\ntransfer-encoding: {coding}\r\n\r\n4\r\nabcd\r\n0\r\n\r\n"
        );
        let answer = answer_to(&pair.a.caller, &req).await;
        assert!(answer.starts_with("HTTP/1.1 400 "), "{coding}: {answer}");
    }
}

/// Guards against two readers of a connection that disagree about the end of a request.
#[tokio::test(flavor = "multi_thread")]
async fn a_length_beside_chunks_does_not_hide_a_second_request() {
    let pair = path::pair(1).await;
    for lengths in [
        "content-length: 4\r\ntransfer-encoding: chunked",
        "transfer-encoding: chunked\r\ncontent-length: 4",
    ] {
        let head = "POST /work HTTP/1.1\r\nhost: quotes.internal\r\ncherrystream-service: quotes";
        let req = format!("{head}\r\n{lengths}\r\n\r\n4\r\nabcd\r\n0\r\n\r\n{head}\r\n\r\n");
        let answer = answer_to(&pair.a.caller, &req).await;
        assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{lengths}: {answer}");
    }
}
