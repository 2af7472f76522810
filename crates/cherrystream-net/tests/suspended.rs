//! Guards against idle connections that outlive a suspension of the host: the peer has closed them,
//! while a clock that stops during the suspension does not show their age.

use cherrystream_core::units::Timestamp;
use cherrystream_net::body::{self, Start};
use cherrystream_net::clock::Clock;
use cherrystream_net::pool::Pool;
use cherrystream_net::serve::{self, Phases};
use http::{Request, Response};
use prometheus_client::metrics::counter::Counter;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

static NOW_MS: AtomicU64 = AtomicU64::new(1_000);

fn now() -> Duration {
    Duration::from_millis(NOW_MS.load(Ordering::Relaxed))
}

/// Guards against a clock that does not start near zero or does not advance.
#[test]
fn a_clock_counts_from_its_creation_and_never_goes_back() {
    let clock = Clock::default();
    let first = clock.now();
    assert!(first < Timestamp::from_millis(10_000));
    std::thread::sleep(Duration::from_millis(20));
    let later = clock.now().since(first);
    assert!(later >= Duration::from_millis(20), "{later:?}");
}

/// Guards against reusing an idle connection whose age includes a suspension.
#[tokio::test]
async fn an_idle_connection_is_not_reused_after_a_suspension() {
    let listener = serve::listen("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(serve::serve(listener, Phases::default(), |_| async {
        Response::new(body::full("an answer"))
    }));
    let connects = Counter::default();
    let pool = Pool::new(&address, connects.clone()).with_clock(Clock::reading(now));
    for (suspended_ms, connected) in [(0, 1), (100, 1), (10_000, 2)] {
        NOW_MS.fetch_add(suspended_ms, Ordering::Relaxed);
        let req = Request::get("/").header("host", &address).body(body::empty()).unwrap();
        let connection = pool.connection().await.unwrap();
        let res = pool.send(connection, req).await.unwrap();
        assert!(matches!(body::read_start(res.into_body(), 100).await, Ok(Start::Whole(_))));
        assert_eq!(connects.get(), connected);
    }
}
