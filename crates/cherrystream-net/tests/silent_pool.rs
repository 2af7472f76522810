//! Pooled connections that are distrusted because connections to their address went silent.

use cherrystream_net::body::{self, Start};
use cherrystream_net::pool::{Connection, Pool};
use http::Response;
use prometheus_client::metrics::counter::Counter;
use std::future::Future;
use std::time::Duration;

async fn pool() -> Pool {
    let listener = cherrystream_net::serve::listen("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(cherrystream_net::serve::serve(listener, Default::default(), |_| async {
        Response::new(body::empty())
    }));
    Pool::new(&address, Counter::default())
}

async fn use_once(pool: &Pool, connection: Connection) {
    let req = http::Request::get("/").header("host", "a").body(body::empty()).unwrap();
    let res = pool.send(connection, req).await.unwrap();
    assert!(matches!(body::read_start(res.into_body(), 16).await, Ok(Start::Whole(_))));
    // The connection is ready for the next request once its task has run.
    tokio::time::sleep(Duration::from_millis(20)).await;
}

async fn is_ready(future: impl Future<Output = ()>) -> bool {
    tokio::time::timeout(Duration::from_millis(20), future).await.is_ok()
}

/// Guards against requests on idle connections that died with one that was found out.
#[tokio::test]
async fn idle_connections_used_before_the_silence_are_closed_and_others_kept() {
    let pool = pool().await;
    let (old, new) = (pool.connect().await.unwrap(), pool.connect().await.unwrap());
    use_once(&pool, old).await;
    let silent_at = pool.now();
    use_once(&pool, new).await;
    pool.distrust(silent_at);
    assert!(pool.idle_connection().is_some_and(|connection| connection.is_reused()));
    assert!(pool.idle_connection().is_none());
    assert!(!pool.connection().await.unwrap().is_reused());
}

/// Guards against requests that wait on a distrusted connection, and against sending those again
/// that were sent after it.
#[tokio::test]
async fn only_requests_sent_before_the_silence_was_found_out_are_lost() {
    let pool = pool().await;
    let sent_at = pool.now();
    assert!(!is_ready(pool.distrusted(sent_at)).await);
    let known_at = pool.now();
    pool.distrust(known_at);
    assert!(is_ready(pool.distrusted(sent_at)).await);
    assert!(!is_ready(pool.distrusted(known_at)).await);
    // An earlier time does not restore trust.
    pool.distrust(sent_at);
    assert!(is_ready(pool.distrusted(sent_at)).await);
}
