//! Pooled connections that are distrusted because connections to their address went silent.

use cherrystream_core::units::Timestamp;
use cherrystream_net::body::{self, Start};
use cherrystream_net::pool::{Connection, Pool};
use http::Response;
use prometheus_client::metrics::counter::Counter;
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

fn is_distrusted(pool: &Pool, owing_since: Timestamp) -> bool {
    owing_since < pool.evidence(owing_since).distrusted_before
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
    assert!(!is_distrusted(&pool, sent_at));
    let (more_known, known_at) = (pool.more_known(), pool.now());
    pool.distrust(known_at);
    assert!(tokio::time::timeout(Duration::from_millis(20), more_known).await.is_ok());
    assert!(is_distrusted(&pool, sent_at));
    assert!(!is_distrusted(&pool, known_at));
    // An earlier time does not restore trust.
    pool.distrust(sent_at);
    assert!(is_distrusted(&pool, sent_at));
}

/// Guards against taking a slow response for a lost one while connections of its age answer, and
/// against excusing it by the answers of younger ones.
#[tokio::test]
async fn only_an_answer_on_an_older_connection_excuses_a_late_response() {
    let pool = pool().await;
    let old = pool.connect().await.unwrap();
    let owing_since = pool.now();
    let new = pool.connect().await.unwrap();
    use_once(&pool, new).await;
    assert!(!pool.evidence(owing_since).has_older_answered);
    use_once(&pool, old).await;
    assert!(pool.evidence(owing_since).has_older_answered);
}
