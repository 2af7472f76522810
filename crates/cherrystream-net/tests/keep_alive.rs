//! Idle connections of servers that announce how long they keep them.

use cherrystream_net::body::{self, Start};
use cherrystream_net::pool::Pool;
use prometheus_client::metrics::counter::Counter;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Answers every request on every connection with the given header line.
async fn serve(header: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let mut buf = [0; 4096];
                while stream.read(&mut buf).await.is_ok_and(|bytes| bytes > 0) {
                    let answer = format!("HTTP/1.1 200 OK\r\n{header}content-length: 0\r\n\r\n");
                    stream.write_all(answer.as_bytes()).await.unwrap();
                }
            });
        }
    });
    address
}

/// Sends two requests with a pause; returns the number of connections opened.
async fn connections(header: &'static str, pause: Duration) -> u64 {
    let connects = Counter::default();
    let pool = Pool::new(&serve(header).await, connects.clone());
    for pause in [pause, Duration::ZERO] {
        let req = http::Request::get("/").header("host", "a").body(body::empty()).unwrap();
        let connection = pool.connection().await.unwrap();
        let res = pool.send(connection, req).await.unwrap();
        assert!(matches!(body::read_start(res.into_body(), 16).await, Ok(Start::Whole(_))));
        tokio::time::sleep(pause).await;
    }
    connects.get()
}

/// Guards against sending on a connection that its server is about to close, which could leave it
/// unknown whether the request ran.
#[tokio::test]
async fn a_connection_is_not_used_after_the_time_that_its_server_announces() {
    let pause = Duration::from_millis(800);
    assert_eq!(connections("keep-alive: timeout=1, max=100\r\n", pause).await, 2);
    assert_eq!(connections("keep-alive: timeout=60\r\n", pause).await, 1);
    assert_eq!(connections("keep-alive: timeout=soon\r\n", pause).await, 1);
    assert_eq!(connections("", pause).await, 1);
}
