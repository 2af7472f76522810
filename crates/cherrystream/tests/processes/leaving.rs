//! Hosts that leave: graceful stops cut off no request, and leaving hosts receive no new requests.

use super::path;
use super::support::client::{self, Ask};
use super::support::relay::{Mode, Relay};
use super::support::site::{Daemon, DaemonOptions, Site};
use nix::sys::signal::Signal;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_stop_of_a_host_cuts_off_no_request() {
    let mut pair = path::pair(1).await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = tokio::task::JoinSet::new();
    for i in 0..16 {
        // Callers of host-a stay; those of host-b change to host-a on `connection: close`.
        let (address, other) = match i % 2 {
            0 => (pair.a.caller.clone(), pair.a.caller.clone()),
            _ => (pair.b.caller.clone(), pair.a.caller.clone()),
        };
        let stop = stop.clone();
        callers.spawn(async move {
            let mut pool = cherrystream_net::pool::Pool::new(&address, Default::default());
            let mut answered = 0;
            while !stop.load(Ordering::Relaxed) {
                let ask = Ask::get("/work?work_ms=20").service("quotes");
                let answer = client::send_on(&pool, &ask).await.expect("a request was cut off");
                let closes = answer.header("connection") == "close";
                assert_eq!(answer.outcome(), "answered", "{answer:?}");
                answered += 1;
                if closes {
                    pool = cherrystream_net::pool::Pool::new(&other, Default::default());
                }
            }
            answered
        });
    }
    // A long request is in flight on host-b when it stops.
    let caller_b = pair.b.caller.clone();
    let long = tokio::spawn(async move {
        let ask = Ask::get("/work?work_ms=2500").service("quotes");
        client::send(&caller_b, &ask).await.expect("the long request was cut off")
    });
    super::support::wait::until("the long request runs", || async {
        (client::counts(&pair.server_b.address).await.runs > 20).then_some(())
    })
    .await;
    let probe = async |path: &str| client::send(&pair.b.metrics, &Ask::get(path)).await;
    assert_eq!(probe("/readyz").await.unwrap().status, 200);
    assert_eq!(probe("/healthz").await.unwrap().status, 200);
    pair.b.process.signal(Signal::SIGTERM);
    // From the beginning of the stop, the readiness endpoint reports that the host is not ready.
    super::support::wait::until("the host is not ready", || async {
        probe("/readyz").await.is_none_or(|answer| answer.status == 503).then_some(())
    })
    .await;
    let status = pair.b.process.ended().await;
    assert!(status.success(), "{status}");
    assert_eq!(long.await.unwrap().outcome(), "answered");
    stop.store(true, Ordering::Relaxed);
    while let Some(answered) = callers.join_next().await {
        assert!(answered.unwrap() > 0);
    }
}

/// Returns the runs at both backend servers of a pair.
async fn runs(pair: &path::Pair) -> u64 {
    let a = client::counts(&pair.server_a.address).await.runs;
    a + client::counts(&pair.server_b.address).await.runs
}

/// A supervisor may repeat SIGTERM, which must not cut the stop short.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_sigterm_cuts_off_no_request() {
    let mut pair = path::pair(1).await;
    let before = runs(&pair).await;
    let caller = pair.b.caller.clone();
    let long = tokio::spawn(async move {
        let ask = Ask::get("/work?work_ms=1500").service("quotes");
        client::send(&caller, &ask).await.expect("the long request was cut off")
    });
    super::support::wait::until("the long request runs", || async {
        (runs(&pair).await > before).then_some(())
    })
    .await;
    pair.b.process.signal(Signal::SIGTERM);
    super::support::wait::until("the host leaves", || async {
        let ready = client::send(&pair.b.metrics, &Ask::get("/readyz")).await;
        ready.is_none_or(|answer| answer.status == 503).then_some(())
    })
    .await;
    pair.b.process.signal(Signal::SIGTERM);
    let status = pair.b.process.ended().await;
    assert!(status.success(), "{status}");
    assert_eq!(long.await.unwrap().outcome(), "answered");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_backend_server_receives_no_new_requests() {
    let pair = path::pair(1).await;
    let drain = serde_json::json!({"state": "draining"});
    client::set_faults(&pair.server_b.address, drain).await;
    let announced = std::time::Instant::now();
    super::support::wait::until("the inbound refuses requests", || async {
        (pair.b.metric("cherrystream_inbound_refusals_total{reason=\"draining\"}").await > 0.0 || {
            // Several at once: a single request may go to the other server while that one is
            // faster.
            let ask = Ask::get("/work").service("quotes");
            let _ = tokio::join!(pair.b.call(&ask), pair.b.call(&ask), pair.b.call(&ask));
            false
        })
        .then_some(())
    })
    .await;
    assert!(announced.elapsed() < std::time::Duration::from_secs(3), "{:?}", announced.elapsed());
    let before = client::counts(&pair.server_b.address).await.runs;
    for _ in 0..20 {
        let answer = pair.b.call(&Ask::get("/work").service("quotes")).await.unwrap();
        assert_eq!(answer.work().server, "quotes-a");
    }
    assert_eq!(client::counts(&pair.server_b.address).await.runs, before);
}

/// Sends calls through a daemon until `other` answers each of `clean` calls in a row; returns when
/// the last call went to the leaving backend server.
async fn last_call_to(daemon: &Daemon, leaving: &str, clean: u32) -> Instant {
    let mut last = Instant::now();
    let mut in_a_row = 0;
    let started = Instant::now();
    while in_a_row < clean {
        assert!(started.elapsed() < Duration::from_secs(40), "requests still go to {leaving}");
        let answer = daemon.call(&Ask::get("/work?work_ms=1").service("quotes")).await.unwrap();
        if answer.work().server == leaving {
            last = Instant::now();
            in_a_row = 0;
        } else {
            in_a_row += 1;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    last
}

#[tokio::test(flavor = "multi_thread")]
async fn taking_out_a_host_stops_new_requests_within_three_seconds_also_from_a_partitioned_daemon()
{
    let site = Site::with_control(1).await;
    let relay = Relay::start(&site.address(7698), &site.rpc(1)).await;
    // host-a is partitioned from control and receives the change only from host-b.
    let opts = DaemonOptions { control: Some(relay.address.clone()), ..DaemonOptions::default() };
    let a = site.start_daemon_with("host-a", "a", 1, &opts);
    let b = site.start_daemon("host-b", "b", 2);
    let server_a = site.start_server("quotes-a", &[]);
    let server_b = site.start_server("quotes-b", &[]);
    site.put_service("quotes").await;
    site.put_server("quotes", "quotes-a", "host-a", &server_a).await;
    site.put_server("quotes", "quotes-b", "host-b", &server_b).await;
    site.in_force(&[&a, &b]).await;
    relay.set(Mode::Hold);
    site.accept(serde_json::json!({"intent": "take-out-host", "host": "host-b"})).await;
    let announced = Instant::now();
    let (from_a, from_b) =
        tokio::join!(last_call_to(&a, "quotes-b", 300), last_call_to(&b, "quotes-b", 300));
    for last in [from_a, from_b] {
        let took = last.saturating_duration_since(announced);
        assert!(
            took < Duration::from_secs(3),
            "the last request arrived {took:?} after the change"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_host_in_the_platform_list_receives_no_new_requests_within_three_seconds() {
    let mut site = Site::new(1);
    let (_platform, platform) = site.start_platform();
    site.start_control_with(1, &[&format!("platform_list: http://{platform}/hosts")]);
    site.leader().await;
    let a = site.start_daemon("host-a", "a", 1);
    let b = site.start_daemon("host-b", "b", 2);
    let server_a = site.start_server("quotes-a", &[]);
    let server_b = site.start_server("quotes-b", &[]);
    site.put_service("quotes").await;
    site.put_server("quotes", "quotes-a", "host-a", &server_a).await;
    site.put_server("quotes", "quotes-b", "host-b", &server_b).await;
    site.in_force(&[&a, &b]).await;
    let list = serde_json::json!({"hosts": [
        {"host": "host-a", "state": "live"}, {"host": "host-b", "state": "leaving"}
    ]});
    let back = serde_json::json!({"hosts": [{"host": "host-b", "state": "live"}]});
    let pool = cherrystream_net::pool::Pool::new(&platform, Default::default());
    let put = Ask { method: "PUT", ..Ask::post("/hosts", list.to_string()) };
    assert_eq!(client::send_on(&pool, &put).await.unwrap().status, 200);
    let announced = Instant::now();
    let (from_a, from_b) =
        tokio::join!(last_call_to(&a, "quotes-b", 300), last_call_to(&b, "quotes-b", 300));
    for last in [from_a, from_b] {
        let took = last.saturating_duration_since(announced);
        assert!(
            took < Duration::from_secs(3),
            "the last request arrived {took:?} after the change"
        );
    }
    // A host that is live in the list again receives requests again.
    let put = Ask { method: "PUT", ..Ask::post("/hosts", back.to_string()) };
    assert_eq!(client::send_on(&pool, &put).await.unwrap().status, 200);
    super::support::wait::until("host-b serves again", || async {
        let answer = b.call(&Ask::get("/work").service("quotes")).await?;
        (answer.work().server == "quotes-b").then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reload_of_the_settings_cuts_off_no_request() {
    let pair = path::pair(1).await;
    let caller = pair.b.caller.clone();
    let before = client::counts(&pair.server_b.address).await.runs;
    let long = tokio::spawn(async move {
        let ask = Ask::get("/work?work_ms=1500").service("quotes");
        client::send(&caller, &ask).await.expect("the long request was cut off")
    });
    super::support::wait::until("the long request runs", || async {
        let runs = client::counts(&pair.server_b.address).await.runs
            + client::counts(&pair.server_a.address).await.runs;
        (runs > before).then_some(())
    })
    .await;
    pair.b.process.signal(Signal::SIGHUP);
    assert_eq!(long.await.unwrap().status, 200);
    let after = client::send(&pair.b.caller, &Ask::get("/work?work_ms=1").service("quotes")).await;
    assert_eq!(after.expect("the process ended").status, 200);
}

/// Concurrent requests, more than the slots and the queue of the backend server hold.
const OVERLOAD: usize = 40;

/// Stops a host while requests run and wait at its backend server for longer than the stop takes.
/// Returns how many were answered as unknown and as not run.
///
/// Callers send to the same host or, with `from_other_host`, to another one.
async fn outcomes_of_a_stop_that_is_too_short(from_other_host: bool) -> (u64, u64) {
    let site = Site::with_control(1).await;
    let lines = vec!["stop_last_answers_ms: 1000".to_string()];
    let opts = DaemonOptions { lines, ..DaemonOptions::default() };
    let mut a = site.start_daemon_with("host-a", "a", 1, &opts);
    let b = site.start_daemon("host-b", "b", 2);
    let server = site.start_server("quotes-a", &[]);
    site.put_service("quotes").await;
    site.put_server("quotes", "quotes-a", "host-a", &server).await;
    site.in_force(&[&a, &b]).await;
    b.serves("quotes").await;
    let before = client::counts(&server.address).await.runs;
    let mut callers = tokio::task::JoinSet::new();
    for _ in 0..OVERLOAD {
        let address = if from_other_host { b.caller.clone() } else { a.caller.clone() };
        callers.spawn(async move {
            let ask = Ask::get("/work?work_ms=60000").service("quotes");
            let ask = ask.with("cherrystream-deadline-ms", 60_000);
            client::send(&address, &ask).await.expect("a request was left without an answer")
        });
    }
    let runs = super::support::wait::until("all slots are taken", || async {
        let runs = client::counts(&server.address).await.runs - before;
        (runs == 12).then_some(runs)
    })
    .await;
    a.process.signal(Signal::SIGTERM);
    let (mut unknown, mut not_run) = (0, 0);
    while let Some(answer) = callers.join_next().await {
        let answer = answer.unwrap();
        match answer.outcome() {
            "unknown" => unknown += 1,
            "not-run" => not_run += 1,
            other => panic!("{other}"),
        }
    }
    let status = a.process.ended().await;
    assert!(status.success(), "{status}");
    assert_eq!(
        client::counts(&server.address).await.runs - before,
        runs,
        "a request was started during the stop"
    );
    (unknown, not_run)
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_left_at_the_end_of_a_stop_are_answered_correctly() {
    assert_eq!(outcomes_of_a_stop_that_is_too_short(false).await, (12, OVERLOAD as u64 - 12));
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_left_at_the_end_of_a_stop_are_answered_correctly_on_another_host() {
    assert_eq!(outcomes_of_a_stop_that_is_too_short(true).await, (12, OVERLOAD as u64 - 12));
}
