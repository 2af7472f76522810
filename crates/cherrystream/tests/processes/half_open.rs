//! Connections whose client is gone while their server was never told.

use super::support::client::{self, Ask};
use super::support::process::Process;
use super::support::relay::{Relay, Silenced};
use super::support::site::Site;
use cherrystream_net::rpc::{self, ConnectOptions};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// Connections of each kind.
const CONNECTIONS: usize = 50;
/// Longest time until the descriptors of half-open connections are released: 90 s, with a margin.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(100);
/// As `RELEASE_TIMEOUT`, while replies wait to be sent: 120 s, with a margin.
const STUCK_RELEASE_TIMEOUT: Duration = Duration::from_secs(135);
/// Descriptors by which a process may differ between two counts.
const TOLERANCE: usize = 3;
/// Interval between two counts.
const COUNT_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Connection preface of HTTP/2 with an empty SETTINGS frame.
const H2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
/// A WebSocket handshake.
const WS_HANDSHAKE: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\n\
    upgrade: websocket\r\nsec-websocket-version: 13\r\n\
    sec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
/// A masked WebSocket text frame that is no call, so that it is answered with an error.
const WS_FRAME: &[u8] = b"\x81\x81\0\0\0\0x";
/// Receive buffer of a client that does not read, in bytes.
const SMALL_BUFFER: u32 = 4 * 1024;
/// Time without progress after which the buffers of a connection are taken to be full.
const STUCK_TIME: Duration = Duration::from_secs(1);

/// Opens a connection, sends bytes and waits for some bytes of the answer.
async fn open(address: &str, sent: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(sent).await.unwrap();
    assert!(stream.read(&mut [0; 1_024]).await.unwrap() > 0);
    stream
}

/// Waits until the processes have at most this many descriptors. Returns the time that it took.
async fn wait_for_release(processes: [(&Process, usize); 2], timeout: Duration) -> Duration {
    let start = Instant::now();
    loop {
        let counts = processes.map(|(process, before)| (process.descriptors(), before));
        if counts.iter().all(|(now, before)| *now <= before + TOLERANCE) {
            return start.elapsed();
        }
        assert!(start.elapsed() < timeout, "descriptors (now, before): {counts:?}");
        tokio::time::sleep(COUNT_INTERVAL).await;
    }
}

/// Guards against half-open connections of callers, peers, operators and replicas that keep
/// descriptors until none is left, and against closing a live connection without calls.
#[tokio::test(flavor = "multi_thread")]
async fn descriptors_of_half_open_connections_are_released() {
    let mut site = Site::with_control(1).await;
    let daemon = site.start_daemon("host-a", "a", 1);
    site.in_force(&[&daemon]).await;
    let callers = Relay::start(&site.address(7695), &daemon.caller).await;
    let peers = Relay::start(&site.address(7696), &daemon.peer).await;
    let operators = Relay::start(&site.address(7697), &site.api(1)).await;
    let replicas = Relay::start(&site.address(7698), &site.rpc(1)).await;
    let opts = ConnectOptions { key: None, call_timeout: CALL_TIMEOUT, ping_interval: None };
    let live = rpc::connect_with(&site.rpc(1), opts).await.unwrap();
    let before = [daemon.process.descriptors(), site.control(1).descriptors()];
    let head = b"GET /v1/status HTTP/1.1\r\nhost: a\r\n\r\n";
    let (mut streams, mut clients) = (Vec::new(), Vec::new());
    for _ in 0..CONNECTIONS {
        streams.push(open(&callers.address, head).await);
        streams.push(open(&peers.address, H2_PREFACE).await);
        streams.push(open(&operators.address, head).await);
        clients.push(rpc::connect(&replicas.address, None, CALL_TIMEOUT).await.unwrap());
    }
    let open = [daemon.process.descriptors(), site.control(1).descriptors()];
    for (before, open) in before.iter().zip(open) {
        assert!(open + TOLERANCE >= before + 2 * CONNECTIONS, "{open} descriptors");
    }
    for relay in [&callers, &peers, &operators, &replicas] {
        relay.silence(Silenced::Both);
    }
    drop((streams, clients));
    let processes = [(&daemon.process, before[0]), (&*site.control(1), before[1])];
    let took = wait_for_release(processes, RELEASE_TIMEOUT).await;
    assert!(live.is_connected(), "a live connection was closed");
    println!("{open:?} descriptors are back to {before:?} after {took:?}");
    let answer = client::send(&site.api(1), &Ask::get("/v1/status")).await.unwrap();
    assert_eq!(answer.status, 200);
}

/// Sends frames until the replies that are not read have filled all buffers.
async fn open_and_stop_reading(address: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SMALL_BUFFER).unwrap();
    let mut stream = socket.connect(address.parse().unwrap()).await.unwrap();
    stream.write_all(WS_HANDSHAKE).await.unwrap();
    assert!(stream.read(&mut [0; 1_024]).await.unwrap() > 0);
    let frames = WS_FRAME.repeat(10_000);
    while tokio::time::timeout(STUCK_TIME, stream.write_all(&frames)).await.is_ok() {}
    stream
}

/// Guards against connections to a control replica that are kept for good because a reply cannot
/// be sent.
#[tokio::test(flavor = "multi_thread")]
async fn descriptors_of_clients_that_never_read_are_released() {
    let mut site = Site::with_control(1).await;
    let daemon = site.start_daemon("host-a", "a", 1);
    site.in_force(&[&daemon]).await;
    let before = [daemon.process.descriptors(), site.control(1).descriptors()];
    let mut streams = Vec::new();
    for _ in 0..2 * TOLERANCE {
        streams.push(open_and_stop_reading(&site.rpc(1)).await);
    }
    let processes = [(&daemon.process, before[0]), (&*site.control(1), before[1])];
    let took = wait_for_release(processes, STUCK_RELEASE_TIMEOUT).await;
    println!("the descriptors of clients that do not read are released after {took:?}");
}
