//! What is believed by its age while the host was suspended.
//!
//! A host that was suspended for seconds wakes with a steady clock that did not count them. What it believed by age was too young by
//! that time: here a kept connection, which the other side had long closed.

use cherrystream_core::units::Timestamp;
use cherrystream_net::body::{self, Start};
use cherrystream_net::clock::Clock;
use cherrystream_net::pool::Pool;
use cherrystream_net::serve::{self, Phases};
use http::{Request, Response};
use prometheus_client::metrics::counter::Counter;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

static HAND: AtomicU64 = AtomicU64::new(1_000);

fn hand() -> Duration {
    Duration::from_millis(HAND.load(Ordering::Relaxed))
}

#[test]
fn a_clock_counts_from_its_creation_and_never_goes_back() {
    let clock = Clock::default();
    let first = clock.now();
    assert!(first < Timestamp::from_millis(10_000));
    std::thread::sleep(Duration::from_millis(20));
    let later = clock.now().since(first);
    assert!(later >= Duration::from_millis(20), "{later:?}");
}

#[tokio::test]
async fn a_connection_that_was_kept_over_a_suspension_is_not_used() {
    let listener = serve::listen("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(serve::serve(listener, Phases::default(), |_| async {
        Response::new(body::full("an answer"))
    }));
    let connects = Counter::default();
    let pool = Pool::new(&address, connects.clone()).with_clock(Clock::reading(hand));
    for (suspended_ms, connected) in [(0, 1), (100, 1), (10_000, 2)] {
        HAND.fetch_add(suspended_ms, Ordering::Relaxed);
        let req = Request::get("/").header("host", &address).body(body::empty()).unwrap();
        let connection = pool.connection().await.unwrap();
        let res = pool.send(connection, req).await.unwrap();
        assert!(matches!(body::read_start(res.into_body(), 100).await, Ok(Start::Whole(_))));
        assert_eq!(connects.get(), connected);
    }
}
