//! Connections between daemons that go silent for good, without a reset, while new ones work.

#[allow(dead_code)]
#[path = "../../cherrystream/tests/processes/support/relay.rs"]
mod relay;

use bytes::Bytes;
use cherrystream_daemon::metrics::Metrics;
use cherrystream_daemon::peer::{NoAnswer, Peers, Traffic};
use cherrystream_net::body::{self, Body, Start};
use cherrystream_net::serve::{self, Phases};
use http::{Request, Response};
use hyper::body::Incoming;
use relay::{Mode, Relay, Silenced};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Longest time until calls are answered again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time for which a call waits on a connection that was replaced.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(6);
/// Time after which a peer is no longer called.
const GIVE_UP: Duration = Duration::from_secs(8);
/// Throughput of a slow link in bytes per second.
const SLOW_LINK: u64 = 85_000;
/// Length of a long body in bytes.
const LONG_BODY: usize = 400_000;
/// Length in bytes of the shortest body that counts as long, and a little more.
const LONGER_BODY: usize = 17_000;
/// Number of long bodies that are sent at once.
const LONG_BODIES: usize = 4;
/// Longest time of a short request on a slow link.
const SHORT_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Calls in flight when a connection goes silent: more than a retry budget covers.
const CALLS_IN_FLIGHT: usize = 100;

/// A peer behind a relay.
struct Pair {
    relay: Relay,
    peers: Arc<Peers>,
    metrics: Metrics,
}

/// Answers with the body of the request, after the milliseconds in its path.
async fn echo(req: Request<Incoming>) -> Response<Body> {
    let millis = req.uri().path().trim_start_matches('/').parse().unwrap_or(0);
    tokio::time::sleep(Duration::from_millis(millis)).await;
    let Ok(Start::Whole(bytes)) = body::read_start(body::incoming(req.into_body()), 1 << 24).await
    else {
        return Response::new(body::empty());
    };
    Response::new(body::full(bytes))
}

impl Pair {
    async fn start() -> Pair {
        let listener = serve::listen("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        tokio::spawn(serve::serve_peers(listener, Phases::default(), echo));
        let relay = Relay::start("127.0.0.1:0", &address).await;
        let metrics = Metrics::default();
        let pair = Pair { relay, peers: Arc::new(Peers::new(metrics.clone())), metrics };
        pair.call(0, 0).await.unwrap();
        pair
    }

    fn request(&self, millis: u64, bytes: usize) -> Request<Body> {
        let uri = format!("http://{}/{millis}", self.relay.address);
        Request::post(uri).body(body::full(Bytes::from(vec![b'x'; bytes]))).unwrap()
    }

    /// Sends a repeatable request that takes a time and has a body of some length.
    async fn call(&self, millis: u64, bytes: usize) -> Result<(), NoAnswer> {
        let res = self.peers.send(&self.relay.address, self.request(millis, bytes)).await?;
        match body::read_start(res.into_body(), 1 << 24).await {
            Ok(Start::Whole(read)) if read.len() == bytes => Ok(()),
            _ => Err(NoAnswer::Broke),
        }
    }

    fn connects(&self) -> u64 {
        self.metrics.peer_connects.get()
    }
}

/// Returns the time until the first answer to callers that each wait for `patience`.
async fn first_answer(pair: &Pair, patience: Duration) -> Option<Duration> {
    first_answer_to(pair, patience, 0).await
}

/// Like [`first_answer`], for requests with a body of some length.
async fn first_answer_to(pair: &Pair, patience: Duration, bytes: usize) -> Option<Duration> {
    let start = Instant::now();
    while start.elapsed() < GIVE_UP {
        if let Ok(Ok(())) = tokio::time::timeout(patience, pair.call(0, bytes)).await {
            return Some(start.elapsed());
        }
    }
    None
}

/// Guards against a dead connection that is kept because every caller leaves before an error.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_connection_is_replaced_at_any_patience_of_the_callers() {
    let mut cases = JoinSet::new();
    for millis in [50, 300, 1_000, 5_000] {
        for silenced in [Silenced::Both, Silenced::There, Silenced::Back] {
            cases.spawn(async move {
                let pair = Pair::start().await;
                pair.relay.silence(silenced);
                let took = first_answer(&pair, Duration::from_millis(millis)).await;
                (millis, silenced, took)
            });
        }
    }
    let ends = cases.join_all().await;
    println!("{ends:?}");
    let is_late = |took: Option<Duration>| took.is_none_or(|took| took > RECOVERY_TIMEOUT);
    let late: Vec<_> = ends.iter().filter(|(.., took)| is_late(*took)).collect();
    assert!(late.is_empty(), "not answered within {RECOVERY_TIMEOUT:?}: {late:?}");
}

/// Guards against calls that wait for an answer on a dead connection until their deadlines.
#[tokio::test(flavor = "multi_thread")]
async fn repeatable_calls_in_flight_fail_once_their_connection_is_replaced() {
    let pair = Arc::new(Pair::start().await);
    let start = Instant::now();
    let mut calls = JoinSet::new();
    for _ in 0..CALLS_IN_FLIGHT {
        let pair = pair.clone();
        calls.spawn(async move { pair.call(5_000, 0).await });
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    pair.relay.silence(Silenced::Both);
    let ends = calls.join_all().await;
    assert!(ends.iter().all(|end| *end == Err(NoAnswer::Broke)));
    assert!(start.elapsed() < RECOVERY_TIMEOUT, "{:?}", start.elapsed());
    assert_eq!(pair.call(0, 0).await, Ok(()));
}

/// Guards against reporting an unrepeatable call as lost while its answer may still arrive, and
/// against waiting for it for ever.
#[tokio::test(flavor = "multi_thread")]
async fn unrepeatable_calls_wait_on_a_replaced_connection_until_it_is_closed() {
    let pair = Pair::start().await;
    let connection = pair.peers.connect(&pair.relay.address, Traffic::Short).await.unwrap();
    let req = pair.request(0, 0);
    pair.relay.silence(Silenced::Back);
    let start = Instant::now();
    let call = tokio::spawn(async move { connection.send(req).await.map(|_| ()) });
    assert!(first_answer(&pair, Duration::from_secs(1)).await < Some(RECOVERY_TIMEOUT));
    assert!(!call.is_finished(), "the call failed after {:?}", start.elapsed());
    assert_eq!(call.await.unwrap(), Err(NoAnswer::Broke));
    assert!(start.elapsed() < CLOSE_TIMEOUT, "{:?}", start.elapsed());
}

/// Guards against replacing the connection of a suspended peer, which accepts new connections
/// without serving them.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_to_a_suspended_peer_is_kept() {
    let pair = Arc::new(Pair::start().await);
    pair.relay.set(Mode::Hold);
    let calls: Vec<_> = (0..3)
        .map(|_| {
            let pair = pair.clone();
            tokio::spawn(async move { pair.call(0, 0).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_secs(3)).await;
    pair.relay.set(Mode::Pass);
    for call in calls {
        assert_eq!(call.await.unwrap(), Ok(()));
    }
    assert_eq!(pair.connects(), 1);
}

/// Guards against replacing a connection because its peer takes long to answer, also if the callers
/// do not wait for it.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_with_slow_calls_is_kept() {
    let pair = Arc::new(Pair::start().await);
    let long = tokio::spawn({
        let pair = pair.clone();
        async move { pair.call(4_000, 0).await }
    });
    for _ in 0..20 {
        let left = tokio::time::timeout(Duration::from_millis(50), pair.call(2_000, 0)).await;
        assert!(left.is_err());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(long.await.unwrap(), Ok(()));
    let left = tokio::time::timeout(Duration::from_millis(50), pair.call(2_000, 0)).await;
    assert!(left.is_err());
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(pair.connects(), 1);
}

/// Guards against taking a slow link for a silent one while long bodies are sent or received.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_with_long_bodies_on_a_slow_link_is_kept() {
    let pair = Arc::new(Pair::start().await);
    pair.relay.set(Mode::Rate(SLOW_LINK));
    let mut calls = JoinSet::new();
    for bytes in [LONG_BODY, LONG_BODY, 100, 100] {
        let pair = pair.clone();
        calls.spawn(async move { pair.call(0, bytes).await });
    }
    for end in calls.join_all().await {
        assert_eq!(end, Ok(()));
    }
    // One for short requests and one for long bodies.
    assert_eq!(pair.connects(), 2);
    assert_eq!(pair.metrics.peer_replaced.get(), 0);
}

/// Guards against short requests that wait for seconds behind long bodies on a slow link.
#[tokio::test(flavor = "multi_thread")]
async fn a_short_request_does_not_wait_behind_long_bodies() {
    let pair = Arc::new(Pair::start().await);
    pair.relay.set(Mode::Rate(SLOW_LINK));
    let mut long = JoinSet::new();
    for _ in 0..LONG_BODIES {
        let pair = pair.clone();
        long.spawn(async move { pair.call(0, LONG_BODY).await });
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    for _ in 0..5 {
        let start = Instant::now();
        assert_eq!(pair.call(0, 100).await, Ok(()));
        assert!(start.elapsed() < SHORT_REQUEST_TIMEOUT, "{:?}", start.elapsed());
    }
}

/// Guards against waiting for a dead connection for long because bytes were under way on it.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_that_goes_silent_while_a_long_body_is_sent_is_replaced_in_time() {
    for silenced in [Silenced::Both, Silenced::There, Silenced::Back] {
        let pair = Arc::new(Pair::start().await);
        pair.relay.set(Mode::Rate(SLOW_LINK));
        let long = tokio::spawn({
            let pair = pair.clone();
            async move { pair.call(0, LONG_BODY).await }
        });
        tokio::time::sleep(Duration::from_millis(700)).await;
        pair.relay.silence(silenced);
        let patience = [Duration::from_millis(300), Duration::from_secs(1)];
        let (short, long_again) = tokio::join!(
            first_answer(&pair, patience[0]),
            first_answer_to(&pair, patience[1], LONGER_BODY),
        );
        println!("{silenced:?}: {short:?}, {long_again:?}");
        for took in [short, long_again] {
            assert!(took.is_some_and(|took| took < RECOVERY_TIMEOUT), "{silenced:?}: {took:?}");
        }
        long.abort();
    }
}
