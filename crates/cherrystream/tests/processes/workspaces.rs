//! Workspaces: from the command line to the headers at backend servers, without disclosure of keys.

use super::path::{self, Pair};
use super::support::client::{self, Answer, Ask};
use super::support::wait;
use cherrystream_core::workspaces;
use cherrystream_net::pool::Pool;
use serde_json::{Value, json};
use std::fs;
use std::process::Command;

/// A key that an operator provides in a file.
const KEY: &str = "brought-key-0123456789abcdef";
/// A key that no workspace holds.
const UNKNOWN: &str = "unknown-key-0123456789abcdef";

/// Runs the command line; returns its exit code and output.
fn run(api: &str, args: &[&str]) -> (i32, String) {
    let program = env!("CARGO_BIN_EXE_cherrystream");
    let output = Command::new(program).args(args).args(["--api", api]).output().unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let printed = format!("{}{}", text(&output.stdout), text(&output.stderr));
    (output.status.code().unwrap(), printed)
}

/// Submits an intent on the command line and confirms its plan; returns the plan.
fn accept(api: &str, args: &[&str]) -> Value {
    let (code, printed) = run(api, &[args, &["--json"]].concat());
    assert_eq!(code, 0, "{printed}");
    let planned: Value = serde_json::from_str(&printed).unwrap();
    let (code, printed) = run(api, &["confirm", planned["plan"].as_str().unwrap()]);
    assert_eq!(code, 0, "{printed}");
    planned
}

fn ask(key: Option<&str>) -> Ask {
    let ask = Ask::get("/work?tell_head=1").service("quotes");
    let ask = ask.with("cherrystream-workspace", "forged");
    match key {
        Some(key) => ask.with("authorization", format!("Bearer {key}")),
        None => ask,
    }
}

fn workspace_of(answer: &Answer) -> Option<String> {
    assert_eq!(answer.outcome(), "answered", "{:?}", answer.body);
    answer.work().header("cherrystream-workspace").map(str::to_string)
}

/// Checks that no key is contained in a log or in the metrics of a process.
async fn assert_not_disclosed(pair: &Pair, keys: &[&str]) {
    let mut texts = Vec::new();
    for file in fs::read_dir(pair.site.folder.path()).unwrap() {
        let path = file.unwrap().path();
        if path.extension().is_some_and(|extension| extension == "log") {
            texts.push((path.display().to_string(), fs::read_to_string(&path).unwrap()));
        }
    }
    for daemon in [&pair.a, &pair.b] {
        let page = client::send(&daemon.metrics, &Ask::get("/metrics")).await.unwrap();
        texts.push((daemon.metrics.clone(), String::from_utf8(page.body.to_vec()).unwrap()));
    }
    assert!(texts.len() >= 5, "control, two daemons and their metrics at least");
    for (place, text) in &texts {
        for key in keys {
            // Nor the beginning of a key.
            assert!(!text.contains(&key[..12]), "a key is in {place}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_workspace_from_the_command_line_to_the_backend_server() {
    let pair = path::pair(1).await;
    let api = pair.site.any_api();
    let file = pair.site.folder.path().join("brought.key");
    fs::write(&file, format!("{KEY}\n")).unwrap();
    let file = file.to_str().unwrap();
    // Without workspaces the Authorization header is the application's, and is forwarded.
    let own = pair.a.call(&ask(Some(UNKNOWN))).await.unwrap();
    assert_eq!(own.work().header("authorization"), Some(&*format!("Bearer {UNKNOWN}")));
    assert_eq!(workspace_of(&own), None, "a forged workspace is not forwarded");

    accept(&api, &["workspace", "put", "studio", "--rate", "5000", "--burst", "100"]);
    accept(&api, &["workspace", "add-key", "studio", "--key-file", file]);
    let made = accept(&api, &["workspace", "add-key", "studio"]);
    let made = made["key"].as_str().unwrap().to_string();
    accept(&api, &["workspace", "need-keys", "yes"]);
    pair.site.in_force(&[&pair.a, &pair.b]).await;

    for daemon in [&pair.a, &pair.b] {
        for key in [KEY, &made] {
            // Often enough to reach the backend servers of both hosts.
            for _ in 0..8 {
                let answer = daemon.call(&ask(Some(key))).await.unwrap();
                assert_eq!(workspace_of(&answer).as_deref(), Some("studio"));
                let head = format!("{:?}", answer.work().head);
                assert!(!head.contains(key) && !head.contains("forged"), "{head}");
                assert_eq!(answer.work().header("authorization"), None);
            }
        }
        for refused in
            [ask(Some(UNKNOWN)), ask(None), ask(None).with("authorization", "Basic Og==")]
        {
            let answer = daemon.call(&refused).await.unwrap();
            assert_eq!((answer.status.as_u16(), answer.outcome()), (401, "not-run"));
            assert_eq!(answer.reason(), "unknown-key");
            assert!(answer.json()["remedy"].as_str().unwrap().contains("Bearer"));
        }
        let twice = ask(Some(KEY)).with("authorization", format!("Bearer {UNKNOWN}"));
        assert_eq!(
            daemon.call(&twice).await.unwrap().status,
            401,
            "a request with two keys has no valid key"
        );
        let nowhere = Ask::get("/work").service("nowhere");
        assert_eq!(daemon.call(&nowhere).await.unwrap().status, 401, "before 404");
    }
    assert!(pair.a.metric("cherrystream_refusals_total{reason=\"unknown-key\"}").await >= 4.0);

    // The revocation of a key applies to connections that are already open.
    let pool = Pool::new(&pair.a.caller, Default::default());
    let kept = client::send_on(&pool, &ask(Some(KEY))).await.unwrap();
    assert_eq!(workspace_of(&kept).as_deref(), Some("studio"));
    let digest = workspaces::digest(KEY);
    accept(&api, &["workspace", "revoke-key", "studio", "--digest", &digest]);
    pair.site.in_force(&[&pair.a, &pair.b]).await;
    for _ in 0..4 {
        assert_eq!(client::send_on(&pool, &ask(Some(KEY))).await.unwrap().status, 401);
        assert_eq!(pair.b.call(&ask(Some(KEY))).await.unwrap().status, 401);
    }
    // The key moves to another workspace.
    accept(&api, &["workspace", "put", "guild"]);
    accept(&api, &["workspace", "add-key", "guild", "--key-file", file]);
    pair.site.in_force(&[&pair.a, &pair.b]).await;
    let moved = client::send_on(&pool, &ask(Some(KEY))).await.unwrap();
    assert_eq!(workspace_of(&moved).as_deref(), Some("guild"));
    // Without workspaces every request is refused.
    accept(&api, &["workspace", "delete", "guild"]);
    accept(&api, &["workspace", "delete", "studio"]);
    pair.site.in_force(&[&pair.a, &pair.b]).await;
    for key in [Some(KEY), Some(&*made), None] {
        assert_eq!(pair.a.call(&ask(key)).await.unwrap().status, 401);
    }
    accept(&api, &["workspace", "need-keys", "no"]);
    pair.site.in_force(&[&pair.a, &pair.b]).await;
    assert_eq!(workspace_of(&pair.a.call(&ask(None)).await.unwrap()), None);
    assert_not_disclosed(&pair, &[KEY, &made, UNKNOWN]).await;
    // The log identifies a refused key by its digest.
    let log = fs::read_to_string(pair.site.folder.path().join("host-a.log")).unwrap();
    let refused = |key: &str| format!(" key={key} outcome=not-run reason=unknown-key");
    assert!(log.contains(&refused(&workspaces::digest(UNKNOWN)[..12])));
    assert!(log.contains(&refused("none")));
    assert!(
        !log.contains(" key=none outcome=answered"),
        "key is logged only for refusals because of a key"
    );
}

/// A daemon that has started without a configuration must not reject keys as unknown.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_without_configuration_rejects_no_key() {
    let mut pair = path::pair(1).await;
    let digest = workspaces::digest(KEY);
    pair.site.accept(json!({"intent": "put-workspace", "workspace": "studio"})).await;
    let add = json!({"intent": "add-key", "workspace": "studio", "key_digest": digest});
    pair.site.accept(add).await;
    pair.site.accept(json!({"intent": "need-keys", "needed": true})).await;
    pair.site.in_force(&[&pair.a, &pair.b]).await;
    assert_eq!(pair.a.call(&ask(None)).await.unwrap().status, 401);
    pair.site.kill_control(1);
    pair.a.process.kill();
    pair.a.restart();
    let with_key = ask(Some(KEY));
    let first = wait::until("the daemon answers", || pair.a.call(&with_key)).await;
    assert_eq!((first.status.as_u16(), first.reason()), (404, "no-such-service"));
    let without = pair.a.call(&ask(None)).await.unwrap();
    assert_eq!(without.status, 404, "without a configuration no key is needed");
    pair.site.start_control(1);
    wait::until("the key is accepted again", || async {
        let answer = pair.a.call(&ask(Some(KEY))).await?;
        assert_ne!(answer.status, 401);
        (answer.outcome() == "answered").then_some(())
    })
    .await;
    assert_eq!(pair.a.call(&ask(None)).await.unwrap().status, 401);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_command_line_manages_workspaces_and_reports_errors() {
    let pair = path::pair(1).await;
    let api = pair.site.any_api();
    let short = pair.site.folder.path().join("short.key");
    fs::write(&short, "too-short").unwrap();
    let short = short.to_str().unwrap();
    let wrong: [(&[&str], i32, &str); 9] = [
        (&["workspace", "put"], 2, "NAME is missing"),
        (
            &["workspace", "change", "studio"],
            2,
            "put, delete, add-key, revoke-key, need-keys or list",
        ),
        (&["workspace", "put", "studio", "--rate", "-1"], 2, "out of range"),
        (&["workspace", "put", "Studio"], 1, "lower-case letters"),
        (&["workspace", "put", "studio", "--burst", "5"], 1, "set a rate too"),
        (
            &["workspace", "add-key", "studio", "--key-file", short],
            2,
            "20 to 255 visible characters",
        ),
        (&["workspace", "add-key", "studio"], 1, "create it with `workspace put studio`"),
        (&["workspace", "revoke-key", "studio"], 2, "--key-file FILE, or --digest DIGEST"),
        (&["workspace", "need-keys", "yes"], 1, "add a key first"),
    ];
    for (args, code, words) in wrong {
        let (status, printed) = run(&api, args);
        assert_eq!(status, code, "{args:?}: {printed}");
        assert!(printed.contains(words), "{args:?}: {printed}");
        assert!(!printed.contains("too-short"), "{printed}");
    }
    accept(
        &api,
        &["workspace", "put", "studio", "--rate", "87.5", "--burst", "9", "--priority", "1"],
    );
    let made = accept(&api, &["workspace", "add-key", "studio"]);
    let key = made["key"].as_str().unwrap();
    assert!(!made["steps"].to_string().contains(key), "a key is not stored in the plan");
    let digest = workspaces::digest(key);
    for command in [&["workspace", "list"][..], &["config"][..]] {
        let (code, printed) = run(&api, command);
        assert_eq!(code, 0, "{printed}");
        let line = "workspace studio: priority 1, 87.5 requests a second over all hosts and 9 more at once";
        assert!(printed.contains(line) && printed.contains(&digest), "{printed}");
        assert!(printed.contains("a request needs no key") && !printed.contains(key), "{printed}");
    }
    let (_, printed) = run(&api, &["workspace", "revoke-key", "studio", "--digest", &digest]);
    assert!(printed.contains("warning: leaves workspace 'studio' without a key"), "{printed}");
    let api_call = json!({"intent": "add-key", "workspace": "studio", "key_digest": KEY});
    let refused = pair.site.intend(&api, &api_call).await.unwrap();
    assert_eq!(refused.status, 400);
    assert!(!String::from_utf8_lossy(&refused.body).contains(KEY));
}
