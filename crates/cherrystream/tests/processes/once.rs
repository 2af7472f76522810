//! Requests that may not be repeated run at most once despite failures.

use super::path::{self, Pair};
use super::support::client::{self, Ask};
use super::support::wait;
use std::collections::HashMap;

fn order(key: &str) -> Ask {
    Ask::post("/orders", format!("pay {key}")).service("quotes").key(key)
}

/// Returns how often each key ran, according to the records of the stand-ins.
fn runs(pair: &Pair) -> HashMap<String, u32> {
    let mut runs = HashMap::new();
    for run in pair.server_a.runs().into_iter().chain(pair.server_b.runs()) {
        *runs.entry(run).or_default() += 1;
    }
    runs
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_retries_through_both_daemons_run_once() {
    let pair = path::pair(1).await;
    let mut calls = tokio::task::JoinSet::new();
    for i in 0..120 {
        let address = if i % 2 == 0 { pair.a.caller.clone() } else { pair.b.caller.clone() };
        calls.spawn(async move {
            let key = format!("key-{}", i / 6);
            client::send(&address, &order(&key)).await.unwrap()
        });
    }
    while let Some(answer) = calls.join_next().await {
        let answer = answer.unwrap();
        let outcome = (answer.status.as_u16(), answer.reason().to_string());
        assert!(outcome.0 == 200 || outcome == (409, "still-running".into()), "{outcome:?}");
    }
    let runs = runs(&pair);
    for i in 0..20 {
        assert_eq!(runs.get(&format!("key-{i}")), Some(&1), "key-{i}");
        // A later retry through either daemon receives the recorded answer.
        for daemon in [&pair.a, &pair.b] {
            let answer = daemon.call(&order(&format!("key-{i}"))).await.unwrap();
            assert_eq!((answer.status.as_u16(), answer.outcome()), (200, "answered"));
            assert_eq!(answer.header("cherrystream-replayed"), "true");
        }
    }
    assert_eq!(self::runs(&pair), runs);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reused_key_and_a_missing_key_are_rejected() {
    let pair = path::pair(1).await;
    assert_eq!(pair.a.call(&order("k")).await.unwrap().status, 200);
    let other = Ask::post("/orders", "pay more").service("quotes").key("k");
    let answer = pair.b.call(&other).await.unwrap();
    assert_eq!((answer.status.as_u16(), answer.reason()), (422, "key-reused"));
    let none = Ask::post("/orders", "pay").service("quotes");
    let answer = pair.b.call(&none).await.unwrap();
    assert_eq!((answer.status.as_u16(), answer.reason()), (400, "key-missing"));
    assert_eq!(runs(&pair).get("k"), Some(&1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_not_run_again_after_its_inbound_was_killed() {
    let mut pair = path::pair(1).await;
    // All orders go to host-b, from host-a.
    let out = serde_json::json!({"intent": "take-out-host", "host": "host-a"});
    pair.site.accept(out).await;
    pair.site.in_force(&[&pair.a, &pair.b]).await;
    let caller = pair.a.caller.clone();
    let long = tokio::spawn(async move {
        let ask = Ask::post("/orders?work_ms=3000", "pay").service("quotes").key("cut");
        client::send(&caller, &ask).await.unwrap()
    });
    wait::until("the order runs", || async {
        pair.server_b.runs().contains(&"cut".into()).then_some(())
    })
    .await;
    pair.b.process.kill();
    let answer = long.await.unwrap();
    assert_eq!(answer.outcome(), "unknown", "{answer:?}");
    pair.b.restart();
    pair.b.serves("quotes").await;
    let ask = Ask::post("/orders?work_ms=3000", "pay").service("quotes").key("cut");
    for daemon in [&pair.a, &pair.b] {
        let again = wait::until("the daemon reaches the restarted inbound", || async {
            let again = daemon.call(&ask).await?;
            (again.status != 503).then_some(again)
        })
        .await;
        assert_eq!((again.status.as_u16(), again.reason()), (409, "unknown"));
    }
    assert_eq!(runs(&pair).get("cut"), Some(&1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retry_receives_the_answer_after_its_outbound_was_killed() {
    let mut pair = path::pair(1).await;
    let out = serde_json::json!({"intent": "take-out-host", "host": "host-a"});
    pair.site.accept(out).await;
    pair.site.in_force(&[&pair.a, &pair.b]).await;
    let caller = pair.a.caller.clone();
    let ask = Ask::post("/orders?work_ms=1500", "pay").service("quotes").key("left");
    let long = tokio::spawn({
        let ask = ask.clone();
        async move { client::send(&caller, &ask).await }
    });
    wait::until("the order runs", || async {
        pair.server_b.runs().contains(&"left".into()).then_some(())
    })
    .await;
    pair.a.process.kill();
    assert!(long.await.unwrap().is_none());
    let answer = wait::until("the order is answered", || async {
        let answer = pair.b.call(&ask).await?;
        if answer.status == 409 {
            assert_eq!(answer.reason(), "still-running");
            return None;
        }
        Some(answer)
    })
    .await;
    assert_eq!((answer.status.as_u16(), answer.header("cherrystream-replayed")), (200, "true"));
    assert_eq!(runs(&pair).get("left"), Some(&1));
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_ledger_quorum_requests_are_refused_as_not_run() {
    let mut pair = path::pair(3).await;
    let leader = pair.site.leader().await;
    for replica in (1..=3).filter(|r| *r != leader) {
        pair.site.kill_control(replica);
    }
    let answer = pair.a.call(&order("no-quorum")).await.unwrap();
    assert_eq!((answer.status.as_u16(), answer.reason()), (503, "ledger-unavailable"));
    assert_eq!(answer.outcome(), "not-run");
    assert!(!answer.header("retry-after").is_empty());
    assert_eq!(runs(&pair).get("no-quorum"), None);
    // Requests that may be repeated are still served.
    let read = pair.a.call(&Ask::get("/work").service("quotes")).await.unwrap();
    assert_eq!(read.outcome(), "answered");
    for replica in (1..=3).filter(|r| *r != leader) {
        pair.site.start_control(replica);
    }
    let answer = wait::until("the order is answered", || async {
        let answer = pair.a.call(&order("no-quorum")).await?;
        (answer.status == 200).then_some(answer)
    })
    .await;
    assert_eq!(answer.outcome(), "answered");
    assert_eq!(runs(&pair).get("no-quorum"), Some(&1));
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_run_once_while_the_ledger_leader_is_killed() {
    let mut pair = path::pair(3).await;
    let mut calls = tokio::task::JoinSet::new();
    for i in 0..24 {
        let address = if i % 2 == 0 { pair.a.caller.clone() } else { pair.b.caller.clone() };
        calls.spawn(async move {
            let mut answers = Vec::new();
            for n in 0..10 {
                let key = format!("o-{i}-{n}");
                let answer = wait::until("the order is answered", || async {
                    let answer = client::send(&address, &order(&key)).await?;
                    (answer.status == 200).then_some(answer)
                })
                .await;
                answers.push(answer.work().key.unwrap());
            }
            answers
        });
    }
    let leader = pair.site.leader().await;
    pair.site.kill_control(leader);
    pair.site.leader().await;
    let mut keys = Vec::new();
    while let Some(answers) = calls.join_next().await {
        keys.extend(answers.unwrap());
    }
    assert_eq!(keys.len(), 240);
    let runs = runs(&pair);
    for key in keys {
        assert_eq!(runs.get(&key), Some(&1), "{key}");
    }
}
