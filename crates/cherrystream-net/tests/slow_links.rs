//! Connections on slow links.

#[allow(dead_code)]
#[path = "../../cherrystream/tests/processes/support/relay.rs"]
mod relay;

use cherrystream_net::tcp;
use relay::{Mode, Relay};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Throughput of the link in bytes per second.
const RATE: u64 = 85_000;
/// Bytes sent; they take 10 s.
const BYTES: usize = 850_000;

/// Guards against closing a connection while bytes are under way, because they wait for the
/// receiver for longer than a timeout of the system.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_stays_open_while_a_slow_link_forwards_its_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay = Relay::start("127.0.0.1:0", &listener.local_addr().unwrap().to_string()).await;
    relay.set(Mode::Rate(RATE));
    let mut stream = tcp::connect(&relay.address).await.unwrap();
    let (mut far, _) = listener.accept().await.unwrap();
    let sent = tokio::spawn(async move {
        stream.write_all(&vec![b'x'; BYTES]).await?;
        stream.shutdown().await?;
        // The stream stays open until the receiver has closed it.
        stream.read(&mut [0]).await
    });
    let mut received = Vec::new();
    let ended = far.read_to_end(&mut received).await;
    drop(far);
    assert!(ended.is_ok(), "{ended:?}");
    assert_eq!(received.len(), BYTES);
    assert!(sent.await.unwrap().is_ok());
}
