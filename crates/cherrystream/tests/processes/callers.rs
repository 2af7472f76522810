//! A caller's session as a golden file: answered, not run, unknown and invalid requests.

use super::path;
use super::support::client::{self, Answer, Ask};
use super::support::wait;
use cherrystream_net::pool::Pool;
use serde_json::json;
use std::fmt::Write;

/// Size of a body that exceeds the socket buffers, in bytes.
const LONG_BODY: usize = 100_000;
/// Requests with a long body that are refused.
const REFUSED_BODIES: u32 = 300;
/// Headers of an answer in the golden file. Times differ between runs and are left out.
const SHOWN_HEADERS: [&str; 3] =
    ["cherrystream-outcome", "cherrystream-reason", "cherrystream-replayed"];

fn describe(session: &mut String, title: &str, answer: &Answer) {
    let _ = writeln!(session, "{title}\n    {}", answer.status);
    for name in SHOWN_HEADERS {
        if let Some(value) = answer.headers.get(name) {
            let _ = writeln!(session, "    {name}: {}", value.to_str().unwrap());
        }
    }
    let has_retry_time = answer.headers.contains_key("retry-after")
        && answer.headers.contains_key("cherrystream-retry-after-ms");
    if has_retry_time {
        let _ = writeln!(session, "    (with a time to retry)");
    }
    if answer.outcome() != "answered" {
        let _ = writeln!(session, "    {}", String::from_utf8_lossy(&answer.body));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_callers_session() {
    let pair = path::pair(1).await;
    let out = json!({"intent": "take-out-host", "host": "host-a"});
    pair.site.accept(out).await;
    pair.site.in_force(&[&pair.a, &pair.b]).await;
    let mut s = String::new();
    let read = Ask::get("/work").service("quotes");
    let order = Ask::post("/orders", "pay 20").service("quotes").key("order-1");
    let call = async |s: &mut String, title: &str, ask: &Ask| {
        describe(s, title, &pair.a.call(ask).await.unwrap());
    };
    call(&mut s, "a read", &read).await;
    call(&mut s, "an order", &order).await;
    call(&mut s, "the order is resent", &order).await;
    let other = Ask::post("/orders", "pay 30").service("quotes").key("order-1");
    call(&mut s, "another order under its key", &other).await;
    call(&mut s, "an order without a key", &Ask::post("/orders", "x").service("quotes")).await;
    call(&mut s, "a service that is not there", &Ask::get("/work").service("none")).await;
    call(&mut s, "two services at once", &read.clone().service("none")).await;
    let soon = read.clone().with("cherrystream-deadline-ms", "soon");
    call(&mut s, "a deadline that is no number", &soon).await;
    client::set_faults(&pair.server_b.address, json!({"break_share": 1.0})).await;
    let broken = Ask::post("/orders", "pay 40").service("quotes").key("order-2");
    call(&mut s, "an order whose answer breaks off", &broken).await;
    client::set_faults(&pair.server_b.address, json!({})).await;
    call(&mut s, "it is resent", &broken).await;
    client::set_faults(&pair.server_b.address, json!({"state": "draining"})).await;
    wait::until("the backend server drains", || async {
        (pair.a.call(&read).await?.reason() == "draining").then_some(())
    })
    .await;
    call(&mut s, "a read while all drain", &read).await;
    let waits = Ask::post("/orders", "pay 50").service("quotes").key("order-3");
    call(&mut s, "an order while all drain", &waits).await;
    assert!(!pair.server_b.runs().contains(&"order-3".to_string()));
    insta::assert_snapshot!(s);
}

/// When a request is refused by its head, the rest of its long body is still being received.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_after_a_refused_long_body_is_answered_on_the_same_connection() {
    let pair = path::pair(1).await;
    let pool = Pool::new(&pair.a.caller, Default::default());
    let long = Ask::post("/work", vec![b'x'; LONG_BODY]).service("none");
    let short = Ask::get("/work").service("none");
    let mut unanswered = 0;
    for _ in 0..REFUSED_BODIES {
        for ask in [&long, &short] {
            unanswered += u32::from(client::send_on(&pool, ask).await.is_none());
        }
    }
    assert_eq!(unanswered, 0, "of {} requests", 2 * REFUSED_BODIES);
}
