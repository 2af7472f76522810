//! Access control: operators authenticate by token, processes by their shared key.

use super::support::client::{self, Ask};
use super::support::site::{DaemonOptions, Site};
use super::support::wait;
use serde_json::json;
use std::fs;

const TOKEN: &str = "operator-token-of-anna-0123456789";
const KEY: &str = "shared-key-of-all-processes-0123";

#[tokio::test(flavor = "multi_thread")]
async fn the_control_api_refuses_calls_without_a_valid_token() {
    let mut site = Site::new(1);
    let file = site.folder.path().join("anna.token");
    fs::write(&file, TOKEN).unwrap();
    let line = format!("operators: [{{name: anna, token_file: {}}}]", file.display());
    site.start_control_with(1, &[&line]);
    let intent = json!({"intent": "put-service", "service": "quotes", "measuring_per_second": 5});
    let ask = Ask::post("/v1/intents", intent.to_string());
    let with = |token: &str| ask.clone().with("authorization", format!("Bearer {token}"));
    let allowed = wait::until("control answers", || async {
        let answer = client::send(&site.api(1), &with(TOKEN)).await?;
        (answer.status != 503).then_some(answer)
    })
    .await;
    assert_eq!(allowed.status, 201);
    let plan = allowed.json()["plan"].as_str().unwrap().to_string();
    let confirm = Ask::post(&format!("/v1/plans/{plan}/confirm"), "");
    for refused in [ask.clone(), with("wrong"), with(&TOKEN[1..]), with(""), confirm] {
        let answer = client::send(&site.api(1), &refused).await.unwrap();
        assert_eq!(answer.status, 401);
        assert!(answer.json()["remedy"].as_str().unwrap().contains("Bearer"));
    }
    let status = Ask::get("/v1/config").with("authorization", format!("Bearer {TOKEN}"));
    let config = client::send(&site.api(1), &status).await.unwrap().json();
    assert_eq!(config["config"].get("services"), None);
    let log = fs::read_to_string(site.folder.path().join("control-1.log")).unwrap();
    assert!(!log.contains(TOKEN), "the token is in the log");
}

#[tokio::test(flavor = "multi_thread")]
async fn processes_refuse_connections_without_the_shared_key() {
    let mut site = Site::new(1);
    let file = site.folder.path().join("key");
    fs::write(&file, KEY).unwrap();
    // `key_file` is a setting of the process, so it is put at the beginning of the file.
    site.top_lines.push(format!("key_file: {}", file.display()));
    site.start_control(1);
    site.leader().await;
    let a = site.start_daemon("host-a", "a", 1);
    let server = site.start_server("quotes-a", &[]);
    site.put_service("quotes").await;
    site.put_server("quotes", "quotes-a", "host-a", &server).await;
    a.serves("quotes").await;
    // A daemon with another key is refused.
    let wrong = site.folder.path().join("wrong");
    fs::write(&wrong, "another-key-of-some-process-0000").unwrap();
    site.top_lines = vec![format!("key_file: {}", wrong.display())];
    let b = site.start_daemon_with("host-b", "b", 2, &DaemonOptions::default());
    wait::until("the wrong key is counted", || async {
        (b.metric("cherrystream_control_errors_total").await >= 2.0).then_some(())
    })
    .await;
    assert!(site.status().await.unwrap().daemons.iter().all(|d| d.host != "host-b"));
    let fetch = Ask::get("/").with("cherrystream-op", "fetch");
    for refused in [fetch.clone(), fetch.with("cherrystream-key", "guess")] {
        let answer = client::send(&a.peer, &refused).await.unwrap();
        assert_eq!(answer.status, 401);
    }
    assert_eq!(a.metric("cherrystream_wrong_keys_total").await, 2.0);
    for log in ["host-a.log", "host-b.log", "control-1.log"] {
        let text = fs::read_to_string(site.folder.path().join(log)).unwrap();
        assert!(!text.contains(KEY), "the key is in {log}");
    }
}
