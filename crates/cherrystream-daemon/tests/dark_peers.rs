//! Unreachable peers: connection attempts to them are neither accepted nor refused.

use cherrystream_daemon::metrics::Metrics;
use cherrystream_daemon::peer::{NoAnswer, Peers};
use cherrystream_net::body;
use http::Request;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinSet;

/// Number of concurrent requests to the peer.
const REQUESTS: usize = 8;
/// Longest time until all requests have failed: a connection attempt times out after 250 ms.
const MAX_TOTAL_TIME: Duration = Duration::from_millis(750);

/// A listener that does not reply to connection attempts, as its backlog is full.
struct UnreachablePeer {
    address: String,
    _listener: TcpListener,
    _queued: Vec<TcpStream>,
}

async fn unreachable() -> UnreachablePeer {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let mut queued = Vec::new();
    let wait = Duration::from_millis(100);
    while let Ok(stream) = tokio::time::timeout(wait, TcpStream::connect(&address)).await {
        queued.push(stream.unwrap());
    }
    UnreachablePeer { address, _listener: listener, _queued: queued }
}

/// Guards against concurrent requests to an unreachable host connecting in turn, so that each waits
/// for the timeouts of those before it.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_wait_for_one_connection_fail_together() {
    let unreachable = Arc::new(unreachable().await);
    let peers = Arc::new(Peers::new(Metrics::default()));
    let started = Instant::now();
    let mut sending = JoinSet::new();
    for _ in 0..REQUESTS {
        let (peers, unreachable) = (peers.clone(), unreachable.clone());
        sending.spawn(async move {
            let req = Request::get(format!("http://{}/", unreachable.address))
                .body(body::empty())
                .unwrap();
            peers.send(&unreachable.address, req).await.map(|_| ())
        });
    }
    for sent in sending.join_all().await {
        assert_eq!(sent, Err(NoAnswer::NotSent));
    }
    let took = started.elapsed();
    assert!(took < MAX_TOTAL_TIME, "the last request failed after {took:?}");
}
