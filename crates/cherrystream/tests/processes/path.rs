//! The path of a request: one or two hops, long bodies, slow readers and faults.

use super::support::client::{self, Ask};
use super::support::site::{Daemon, DaemonOptions, Server, Site};
use super::support::wait;
use bytes::Bytes;
use cherrystream_standin::backend;
use serde_json::json;

/// Control, and two daemons with a stand-in backend server each.
pub struct Pair {
    pub site: Site,
    pub a: Daemon,
    pub b: Daemon,
    pub server_a: Server,
    pub server_b: Server,
}

/// Starts a pair whose service `quotes` has a backend server on each host.
pub async fn pair(replicas: u64) -> Pair {
    pair_with(replicas, &[]).await
}

pub async fn pair_with(replicas: u64, server_args: &[&str]) -> Pair {
    let site = Site::with_control(replicas).await;
    let a = site.start_daemon("host-a", "a", 1);
    let b = site.start_daemon("host-b", "b", 2);
    let server_a = site.start_server("quotes-a", server_args);
    let server_b = site.start_server("quotes-b", server_args);
    site.put_service("quotes").await;
    site.put_server("quotes", "quotes-a", "host-a", &server_a).await;
    site.put_server("quotes", "quotes-b", "host-b", &server_b).await;
    site.put_once("quotes").await;
    site.in_force(&[&a, &b]).await;
    a.serves("quotes").await;
    b.serves("quotes").await;
    Pair { site, a, b, server_a, server_b }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_served_over_one_hop_and_over_two() {
    let pair = pair(1).await;
    // Only the backend server on host-b is left: two hops from host-a, one from host-b.
    pair.site.accept(json!({"intent": "take-out-host", "host": "host-a"})).await;
    pair.site.in_force(&[&pair.a, &pair.b]).await;
    for daemon in [&pair.a, &pair.b] {
        let ask = Ask::post("/work?x=1", "hello").service("quotes").with("x-mine", "kept");
        let answer = daemon.call(&ask).await.unwrap();
        assert_eq!((answer.status.as_u16(), answer.outcome()), (200, "answered"));
        let work = answer.work();
        assert_eq!((work.server.as_str(), work.path.as_str()), ("quotes-b", "/work"));
        assert_eq!((work.bytes, work.hash), (5, backend::hash_of(b"hello")));
    }
    assert!(pair.a.metric("cherrystream_peer_connects_total").await >= 1.0);
    // Daemons also connect to exchange state, so the calls themselves are counted.
    assert!(pair.a.metric("cherrystream_peer_calls_total").await >= 1.0);
    assert_eq!(pair.b.metric("cherrystream_peer_calls_total").await, 0.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_service_is_read_from_the_host_name() {
    let pair = pair(1).await;
    let ask = Ask::get("/work");
    let pool = cherrystream_net::pool::Pool::new(&pair.a.caller, Default::default());
    let connection = pool.connection().await.unwrap();
    let req = http::Request::get(&ask.path).header("host", "quotes.internal:80");
    let res = pool.send(connection, req.body(cherrystream_net::body::empty()).unwrap()).await;
    assert_eq!(res.unwrap().headers()["cherrystream-outcome"], "answered");
}

#[tokio::test(flavor = "multi_thread")]
async fn long_bodies_are_streamed_without_buffering() {
    const SIZE: usize = 64 << 20;
    let pair = pair(1).await;
    pair.site.accept(json!({"intent": "take-out-host", "host": "host-a"})).await;
    pair.site.in_force(&[&pair.a, &pair.b]).await;
    let up = Bytes::from(vec![7_u8; SIZE]);
    let ask = Ask::post(&format!("/work?answer_bytes={SIZE}"), up.clone()).service("quotes");
    let answer = pair.a.call(&ask).await.unwrap();
    assert_eq!((answer.status.as_u16(), answer.outcome()), (200, "answered"));
    assert_eq!(answer.body.len(), SIZE);
    let counted = pair.a.call(&Ask::post("/work", up).service("quotes")).await.unwrap().work();
    assert_eq!(counted.bytes, SIZE as u64);
    for daemon in [&pair.a, &pair.b] {
        let peak = daemon.process.peak_memory();
        assert!(peak < SIZE as u64, "{} held {peak} bytes", daemon.host);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_callers_receive_their_own_complete_answers() {
    let pair = pair(1).await;
    let mut calls = tokio::task::JoinSet::new();
    for i in 0..400_usize {
        let address = if i % 2 == 0 { pair.a.caller.clone() } else { pair.b.caller.clone() };
        calls.spawn(async move {
            let body = Bytes::from(format!("{i:>width$}", width = 10 + i * 37));
            let ask = Ask::post(&format!("/own/{i}"), body.clone()).service("quotes");
            // Every seventh caller disconnects before its answer.
            if i % 7 == 0 {
                let left = client::send(&address, &ask);
                let _ = tokio::time::timeout(std::time::Duration::from_millis(1), left).await;
                return;
            }
            let answer = client::send(&address, &ask).await.unwrap();
            if answer.outcome() != "answered" {
                assert_eq!((answer.status.as_u16(), answer.outcome()), (503, "not-run"));
                return;
            }
            let work = answer.work();
            assert_eq!(work.path, format!("/own/{i}"));
            assert_eq!((work.bytes, work.hash), (body.len() as u64, backend::hash_of(&body)));
        });
    }
    while let Some(done) = calls.join_next().await {
        done.unwrap();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_answer_is_never_reported_as_complete() {
    let pair = pair(1).await;
    for server in [&pair.server_a, &pair.server_b] {
        client::set_faults(&server.address, json!({"break_share": 1.0})).await;
    }
    // A short answer is still buffered, so the caller receives an error response.
    let short = pair.a.call(&Ask::post("/work", "x").service("quotes")).await.unwrap();
    assert_eq!((short.status.as_u16(), short.outcome()), (502, "unknown"));
    assert_eq!(short.reason(), "backend-server-broke");
    // A long one has already been forwarded in part, so the transfer is aborted.
    let long = Ask::get("/work?answer_bytes=3000000").service("quotes");
    assert!(pair.a.call(&long).await.is_none(), "a truncated answer was reported as complete");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_to_another_call_is_not_forwarded() {
    let pair = pair(1).await;
    for server in [&pair.server_a, &pair.server_b] {
        client::set_faults(&server.address, json!({"wrong_call": true})).await;
    }
    let answer = pair.a.call(&Ask::post("/work", "x").service("quotes")).await.unwrap();
    assert_eq!((answer.outcome(), answer.reason()), ("unknown", "wrong-call"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_disconnects_cancels_its_request() {
    let pair = pair(1).await;
    let ask =
        Ask::get("/work?work_ms=60000").service("quotes").with("cherrystream-deadline-ms", 60000);
    let left = pair.a.call(&ask);
    let _ = tokio::time::timeout(std::time::Duration::from_millis(300), left).await;
    wait::until("the request is cancelled", || async {
        let a = client::counts(&pair.server_a.address).await;
        let b = client::counts(&pair.server_b.address).await;
        (a.cancelled + b.cancelled == 1).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_passed_deadline_gets_its_answer_at_once() {
    let pair = pair(1).await;
    let ask =
        Ask::get("/work?work_ms=60000").service("quotes").with("cherrystream-deadline-ms", 200);
    let started = std::time::Instant::now();
    let answer = pair.a.call(&ask).await.unwrap();
    assert!(started.elapsed() < std::time::Duration::from_secs(5));
    // The stand-in observes the deadline header, so its own answer may arrive first.
    let at_server = (answer.status.as_u16(), answer.outcome()) == (504, "answered");
    let at_balancer = (answer.status.as_u16(), answer.reason()) == (504, "deadline-passed");
    assert!(at_server || at_balancer, "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn measuring_stays_within_its_budget_at_full_load() {
    let pair = pair(1).await;
    let until = std::time::Instant::now() + std::time::Duration::from_secs(4);
    let mut callers = tokio::task::JoinSet::new();
    for i in 0..64 {
        let address = if i % 2 == 0 { pair.a.caller.clone() } else { pair.b.caller.clone() };
        callers.spawn(async move {
            while std::time::Instant::now() < until {
                let _ = client::send(&address, &Ask::get("/work").service("quotes")).await;
            }
        });
    }
    while callers.join_next().await.is_some() {}
    for server in [&pair.server_a, &pair.server_b] {
        let counts = client::counts(&server.address).await;
        assert!(counts.runs > 100, "no load: {counts:?}");
        assert!((1..=5).contains(&counts.measured_peak), "{counts:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_reader_does_not_keep_its_slot() {
    let site = Site::with_control(1).await;
    let lines = vec!["stall_limit_ms: 400".to_string()];
    let a = site.start_daemon_with("host-a", "a", 1, &DaemonOptions { lines, control: None });
    let server = site.start_server("quotes-a", &[]);
    site.put_service("quotes").await;
    site.put_server("quotes", "quotes-a", "host-a", &server).await;
    a.serves("quotes").await;
    // All twelve slots are taken by callers that request long answers and read nothing.
    let mut stalled = Vec::new();
    for _ in 0..12 {
        let mut stream = tokio::net::TcpStream::connect(&a.caller).await.unwrap();
        let ask = "GET /work?answer_bytes=200000000 HTTP/1.1\r\nhost: quotes\r\n\r\n";
        tokio::io::AsyncWriteExt::write_all(&mut stream, ask.as_bytes()).await.unwrap();
        stalled.push(stream);
    }
    wait::until("the slots are taken", || async {
        (client::counts(&server.address).await.runs >= 12).then_some(())
    })
    .await;
    let ask = Ask::get("/work").service("quotes");
    wait::until("another caller is answered", || async {
        (a.call(&ask).await?.outcome() == "answered").then_some(())
    })
    .await;
}
