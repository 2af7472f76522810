//! Calls between replicas over a link with low bandwidth.

// Shared with the process tests, which use more of it.
#[allow(dead_code)]
#[path = "../../cherrystream/tests/processes/support/relay.rs"]
mod relay;

use cherrystream_control::metrics::Metrics;
use cherrystream_control::peers::ReplicaConnection;
use cherrystream_control::rpc_server;
use cherrystream_control::standby::Standby;
use cherrystream_net::rpc::{self, ControlRpcClient};
use relay::{Mode, Relay};
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

/// Bandwidth of the link in bytes per second.
const LINK_BANDWIDTH: u64 = 340_000;
/// Size of a large call in bytes.
const LARGE_CALL_BYTES: usize = 1_000_000;

/// Bandwidth of the thinnest link in bytes per second.
const THIN_BANDWIDTH: u64 = 85_000;
/// Size of a call that takes 45 s to send over that link.
const LONG_CALL_BYTES: usize = 3_825_000;

/// Starts a standby replica behind the link and returns a connection to it.
async fn connect() -> (ReplicaConnection, Relay) {
    let free = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = free.local_addr().unwrap().to_string();
    drop(free);
    let standby = Standby::new(Vec::new());
    let server = rpc_server::serve(standby, &address, None, Metrics::default()).await.unwrap();
    tokio::spawn(server.stopped());
    let relay = Relay::start("127.0.0.1:0", &address).await;
    relay.set(Mode::Rate(LINK_BANDWIDTH));
    (ReplicaConnection::new(&relay.address, None, &Metrics::default()), relay)
}

/// Guards against a timeout that does not grow with the size of the call.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_call_does_not_time_out_over_a_slow_link() {
    let (connection, _relay) = connect().await;
    let client = connection.for_bytes(LARGE_CALL_BYTES).client().await.unwrap();
    let e = client.replace_routes(1, "x".repeat(LARGE_CALL_BYTES)).await.unwrap_err();
    assert!(rpc::is_answer(&e), "{e}");
}

/// Guards against short calls that wait behind a large one.
#[tokio::test(flavor = "multi_thread")]
async fn short_calls_do_not_wait_behind_a_large_call() {
    let (connection, _relay) = connect().await;
    let connection = Arc::new(connection);
    let large = connection.clone();
    let large_call = tokio::spawn(async move {
        let client = large.for_bytes(LARGE_CALL_BYTES).client().await.unwrap();
        client.replace_routes(1, "x".repeat(LARGE_CALL_BYTES)).await
    });
    tokio::time::sleep(Duration::from_millis(200)).await;
    for _ in 0..5 {
        let e = connection.client().await.unwrap().read_index().await.unwrap_err();
        assert!(rpc::is_answer(&e), "{e}");
    }
    assert!(!large_call.is_finished(), "the large call ended before the short ones");
    assert!(rpc::is_answer(&large_call.await.unwrap().unwrap_err()));
}

/// Guards against closing a connection as inactive while a large call is on its way.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_takes_long_to_send_is_not_taken_for_inactivity() {
    let (connection, relay) = connect().await;
    relay.set(Mode::Rate(THIN_BANDWIDTH));
    let client = connection.for_bytes(LONG_CALL_BYTES).client().await.unwrap();
    let e = client.replace_routes(1, "x".repeat(LONG_CALL_BYTES)).await.unwrap_err();
    assert!(rpc::is_answer(&e), "{e}");
}
