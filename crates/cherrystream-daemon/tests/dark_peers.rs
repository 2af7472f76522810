//! Peers that are dark: packets to them are lost, and no connection to them is refused or made.

use cherrystream_daemon::metrics::Metrics;
use cherrystream_daemon::peer::{NoAnswer, Peers};
use cherrystream_net::body;
use http::Request;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinSet;

/// Requests that go to the peer at once.
const REQUESTS: usize = 8;
/// Longest time that all of them may take together: one connection is tried for 250 ms.
const AT_MOST: Duration = Duration::from_millis(750);

/// An address that answers no opening packet: its queue of new connections is full.
struct Dark {
    address: String,
    _listener: TcpListener,
    _queued: Vec<TcpStream>,
}

async fn dark() -> Dark {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let mut queued = Vec::new();
    let wait = Duration::from_millis(100);
    while let Ok(stream) = tokio::time::timeout(wait, TcpStream::connect(&address)).await {
        queued.push(stream.unwrap());
    }
    Dark { address, _listener: listener, _queued: queued }
}

/// Load: several requests for one host that has just lost power. One after the other, each waited for a connection of its
/// own: 2 s in all.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_wait_for_one_connection_fail_together() {
    let dark = Arc::new(dark().await);
    let peers = Arc::new(Peers::new(Metrics::default()));
    let started = Instant::now();
    let mut sending = JoinSet::new();
    for _ in 0..REQUESTS {
        let (peers, dark) = (peers.clone(), dark.clone());
        sending.spawn(async move {
            let req =
                Request::get(format!("http://{}/", dark.address)).body(body::empty()).unwrap();
            peers.send(&dark.address, req).await.map(|_| ())
        });
    }
    for sent in sending.join_all().await {
        assert_eq!(sent, Err(NoAnswer::NotSent));
    }
    let took = started.elapsed();
    assert!(took < AT_MOST, "the last one failed after {took:?}");
}
