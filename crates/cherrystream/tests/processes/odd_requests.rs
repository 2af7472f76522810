//! Callers that send bytes without end that are no request.

use super::path;
use super::support::client::Ask;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
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
