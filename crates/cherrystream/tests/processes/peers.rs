//! Connections between daemons: a shared connection survives the cancellation of some requests.

use super::support::client::{self, Ask};
use super::support::relay::{Mode, Relay};
use super::support::site::{Daemon, DaemonOptions, Server, Site};
use super::support::wait;
use std::time::Duration;

/// Time after which a caller disconnects, with its request in flight.
const CALLER_TIMEOUT: Duration = Duration::from_millis(100);
/// Requests of each caller in sequence; each is cancelled before the next one is sent.
const REQUESTS_PER_CALLER: usize = 8;
/// Service time of the request that must not be cut off.
const LONG_MS: u64 = 3_000;

/// A host for callers and a host with the only backend server, with a relay between them.
struct Pair {
    a: Daemon,
    _b: Daemon,
    server: Server,
    relay: Relay,
    _site: Site,
}

async fn pair() -> Pair {
    let site = Site::with_control(1).await;
    let relay = Relay::start(&site.address(7698), &site.address(7421)).await;
    // Without retries, so that a caller notices when its request is cut off.
    let lines = vec!["retry_share: 0.0".to_string()];
    let opts = DaemonOptions { lines, ..DaemonOptions::default() };
    let a = site.start_daemon_with("host-a", "a", 1, &opts);
    let lines = vec![format!("advertised_peer_address: {}", relay.address)];
    let opts = DaemonOptions { lines, ..DaemonOptions::default() };
    let b = site.start_daemon_with("host-b", "b", 2, &opts);
    let server = site.start_server("quotes-b", &[]);
    site.put_service("quotes").await;
    site.put_server("quotes", "quotes-b", "host-b", &server).await;
    site.in_force(&[&a, &b]).await;
    a.serves("quotes").await;
    Pair { a, _b: b, server, relay, _site: site }
}

/// Sends requests of concurrent callers, which disconnect before an answer and send the next
/// request.
async fn send_and_disconnect(address: &str, callers: usize) {
    let mut sending = tokio::task::JoinSet::new();
    for _ in 0..callers {
        let address = address.to_string();
        sending.spawn(async move {
            let ask = Ask::get("/work?work_ms=1").service("quotes");
            for _ in 0..REQUESTS_PER_CALLER {
                let _ = tokio::time::timeout(CALLER_TIMEOUT, client::send(&address, &ask)).await;
            }
        });
    }
    while sending.join_next().await.is_some() {}
}

/// Lets callers disconnect while the relay is in a mode. Another request that runs meanwhile must
/// be answered.
async fn check_request_survives_disconnects(mode: Mode, callers: usize) {
    let pair = pair().await;
    let before = client::counts(&pair.server.address).await.runs;
    let caller = pair.a.caller.clone();
    let long = tokio::spawn(async move {
        let ask = Ask::get(&format!("/work?work_ms={LONG_MS}")).service("quotes");
        client::send(&caller, &ask).await.expect("the long request was cut off")
    });
    wait::until("the long request runs", || async {
        (client::counts(&pair.server.address).await.runs > before).then_some(())
    })
    .await;
    pair.relay.set(mode);
    send_and_disconnect(&pair.a.caller, callers).await;
    pair.relay.set(Mode::Pass);
    let answer = long.await.unwrap();
    assert_eq!((answer.outcome(), answer.reason()), ("answered", ""));
}

/// Requests that a link delayed arrive together with their cancellation.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_arrive_with_their_cancellation_abort_no_other_request() {
    check_request_survives_disconnects(Mode::Hold, 30).await;
}

/// Answers arrive after their callers have disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn answers_after_a_cancellation_abort_no_other_request() {
    check_request_survives_disconnects(Mode::HoldBack, 200).await;
}
