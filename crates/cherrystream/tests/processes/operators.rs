//! Operators: plans, confirmations, races, retries, and the effect on running daemons.

use super::orders;
use super::path;
use super::support::client::{self, Ask};
use super::support::relay::{Mode, Relay};
use super::support::site::Site;
use super::support::wait;
use cherrystream_core::workspaces;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

#[tokio::test(flavor = "multi_thread")]
async fn a_confirmed_plan_reaches_running_daemons_and_an_unconfirmed_one_does_not() {
    let pair = path::pair(1).await;
    let api = pair.site.any_api();
    let intent = json!({"intent": "take-out-host", "host": "host-b"});
    let planned = pair.site.intend(&api, &intent).await.unwrap();
    assert_eq!(planned.status, 201);
    let plan = planned.json()["plan"].as_str().unwrap().to_string();
    assert_eq!(planned.json()["warnings"][0], "leaves 1 of 2 backend servers of quotes");
    // Without confirmation the backend server on host-b still receives requests.
    wait::until("host-b answers", || async {
        let answer = pair.b.call(&Ask::get("/work").service("quotes")).await?;
        (answer.work().server == "quotes-b").then_some(())
    })
    .await;
    assert_eq!(pair.site.confirm(&api, &plan).await.unwrap().status, 200);
    pair.site.in_force(&[&pair.a, &pair.b]).await;
    let before = client::counts(&pair.server_b.address).await.runs;
    for _ in 0..10 {
        let answer = pair.b.call(&Ask::get("/work").service("quotes")).await.unwrap();
        assert_eq!(answer.work().server, "quotes-a");
    }
    assert_eq!(client::counts(&pair.server_b.address).await.runs, before);
}

/// Guards against a change that is overwritten by an operator who has not seen it, and against a
/// refusal because of a change that has nothing to do with the plan.
#[tokio::test(flavor = "multi_thread")]
async fn of_two_racing_operators_one_is_refused_with_the_change() {
    let site = Site::with_control(3).await;
    let (first, second) = (site.api(1), site.api(2));
    let put = |service: &str, rate: u64| {
        json!({
            "intent": "put-service", "service": service, "measuring_per_second": rate
        })
    };
    let a = planned(&site, &first, &put("quotes", 5)).await;
    let b = planned(&site, &second, &put("quotes", 6)).await;
    let unrelated = planned(&site, &second, &put("payouts", 5)).await;
    let (a, b, unrelated) = tokio::join!(
        site.confirm(&first, &a),
        site.confirm(&second, &b),
        site.confirm(&first, &unrelated)
    );
    let (a, b) = (a.unwrap(), b.unwrap());
    let (won, lost) = if a.status == 200 { (a, b) } else { (b, a) };
    assert_eq!((won.status.as_u16(), lost.status.as_u16()), (200, 409));
    let reply = lost.json();
    assert!(reply["error"].as_str().unwrap().contains("put service 'quotes'"), "{reply}");
    assert!(reply["remedy"].as_str().unwrap().contains("again"), "{reply}");
    assert_eq!(unrelated.unwrap().status, 200);
}

/// Submits an intent; returns the identifier of its plan.
async fn planned(site: &Site, api: &str, intent: &Value) -> String {
    let answer = site.intend(api, intent).await.unwrap();
    assert_eq!(answer.status, 201, "{intent}: {:?}", answer.body);
    answer.json()["plan"].as_str().unwrap().to_string()
}

/// Time from a plan to its confirmation.
const READING_TIMES: [Duration; 3] =
    [Duration::from_millis(20), Duration::from_millis(200), Duration::from_millis(500)];
/// Pause of each of the other operators between two changes.
const OTHERS_PAUSE: Duration = Duration::from_millis(60);
const OTHER_OPERATORS: usize = 4;

/// Guards against plans that are never accepted while others change unrelated items.
#[tokio::test(flavor = "multi_thread")]
async fn a_plan_is_accepted_at_its_first_confirmation_while_others_change_unrelated_items() {
    let site = Arc::new(Site::with_control(1).await);
    let stop = Arc::new(AtomicBool::new(false));
    let mut others = JoinSet::new();
    for other in 0..OTHER_OPERATORS {
        others.spawn(put_and_delete_workspaces(site.clone(), other, stop.clone()));
    }
    site.accept(json!({"intent": "put-workspace", "workspace": "mine"})).await;
    let started = Instant::now();
    let api = site.api(1);
    let mut refused = Vec::new();
    for (n, reading_time) in READING_TIMES.into_iter().cycle().take(15).enumerate() {
        let key_digest = workspaces::digest(&format!("key-{n}"));
        let add = json!({"intent": "add-key", "workspace": "mine", "key_digest": key_digest});
        let plan = planned(&site, &api, &add).await;
        tokio::time::sleep(reading_time).await;
        let answer = site.confirm(&api, &plan).await.unwrap();
        if answer.status != 200 {
            refused.push((reading_time, answer.json()));
        }
    }
    stop.store(true, Ordering::Relaxed);
    let changes: usize = others.join_all().await.into_iter().sum();
    println!("{changes} changes by others within {:?}", started.elapsed());
    assert!(refused.is_empty(), "{refused:#?}");
    assert!(changes > 100, "only {changes} changes by others");
}

/// Creates and deletes a workspace until `stop` is set; returns the number of accepted changes.
async fn put_and_delete_workspaces(site: Arc<Site>, n: usize, stop: Arc<AtomicBool>) -> usize {
    let (api, workspace) = (site.api(1), format!("other-{n}"));
    let mut accepted = 0;
    while !stop.load(Ordering::Relaxed) {
        for intent in ["put-workspace", "delete-workspace"] {
            let intent = json!({"intent": intent, "workspace": workspace});
            if let Some(planned) = site.intend(&api, &intent).await.filter(|a| a.status == 201) {
                let plan = planned.json()["plan"].as_str().unwrap().to_string();
                let confirmed = site.confirm(&api, &plan).await;
                accepted += usize::from(confirmed.is_some_and(|answer| answer.status == 200));
            }
            tokio::time::sleep(OTHERS_PAUSE).await;
        }
    }
    accepted
}

/// Rate of the links between control replicas, in bytes per second.
const SLOW_LINK: u64 = 170_000;
/// Number of routes of a table that occupies a slow link for seconds.
const LARGE_TABLE: usize = 4_000;
/// Time after which a client gives up waiting for an answer.
const PATIENCE: Duration = Duration::from_millis(300);

/// Guards against an answer that there is nothing to change, while a change whose confirmation got
/// no answer is still being replicated and takes effect later.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_to_change_holds_after_changes_that_are_still_being_replicated() {
    let mut site = Site::new(3);
    site.control_top_lines.push("interface: platform".into());
    let mut relays = Vec::new();
    for (from, to) in [(1, 2), (1, 3), (2, 1), (2, 3), (3, 1), (3, 2)] {
        let relay = Relay::start(&site.address(0), &site.rpc(to)).await;
        relay.set(Mode::Rate(SLOW_LINK));
        site.control_lines.push(((from, to), relay.address.clone()));
        relays.push(relay);
    }
    (1..=3).for_each(|replica| site.start_control(replica));
    let leader = site.leader().await;
    site.accept(json!({"intent": "put-workspace", "workspace": "mine"})).await;
    let api = site.api(leader);
    let key = json!({"workspace": "mine", "key_digest": workspaces::digest("key")});
    let with_intent = |name: &str| {
        let mut intent = key.clone();
        intent["intent"] = name.into();
        intent
    };
    let plan = planned(&site, &api, &with_intent("add-key")).await;
    let route = |n| orders::RouteLine {
        name: format!("route-{n}"),
        host: format!("host-{n}.test"),
        path_prefix: format!("/{n}/"),
        repeatable: true,
        timeout_s: 3,
        attempts: 3,
    };
    let table = orders::table(1, "quotes", (0..LARGE_TABLE).map(route));
    let replace = Ask::post(orders::REPLACE, table);
    let replacing = client::send(&api, &replace);
    let changing = async {
        tokio::time::sleep(PATIENCE).await;
        let _ = tokio::time::timeout(PATIENCE, site.confirm(&api, &plan)).await;
        site.intend(&api, &with_intent("revoke-key")).await
    };
    let (_, revoked) = tokio::join!(replacing, changing);
    let status = revoked.map_or(0, |answer| answer.status.as_u16());
    let config: Value = wait::until("the added key is read", || async {
        let config = client::send(&api, &Ask::get("/v1/config")).await?;
        (config.status == 200).then(|| config.json())
    })
    .await;
    let held = config["config"]["workspaces"]["mine"]["key_digests"].as_array().unwrap().len();
    assert_ne!((status, held), (404, 1), "no such key was held, and now it is: {config}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_intent_and_confirmation_receive_the_same_reply_after_a_leader_change() {
    let mut site = Site::with_control(3).await;
    let leader = site.leader().await;
    let intent = json!({"intent": "put-service", "service": "quotes", "measuring_per_second": 5});
    let ask = Ask::post("/v1/intents", intent.to_string()).key("op-1");
    let first = client::send(&site.api(leader), &ask).await.unwrap();
    let plan = first.json()["plan"].as_str().unwrap().to_string();
    let confirmed = site.confirm(&site.api(leader), &plan).await.unwrap();
    assert_eq!(confirmed.status, 200);
    site.kill_control(leader);
    site.leader().await;
    let again = client::send(&site.any_api(), &ask).await.unwrap();
    assert_eq!(again.json()["plan"], first.json()["plan"]);
    assert_eq!(again.json()["state"], "accepted");
    let confirmed_again = site.confirm(&site.any_api(), &plan).await.unwrap();
    assert_eq!(confirmed_again.body, confirmed.body);
}

/// Time for which control has no quorum.
const WITHOUT_QUORUM: Duration = Duration::from_secs(3);

/// Guards against an operator who is left without the outcome of a confirmation while control
/// elects a leader.
#[tokio::test(flavor = "multi_thread")]
async fn the_command_line_repeats_a_confirmation_until_its_outcome_is_known() {
    let mut site = Site::with_control(3).await;
    let leader = site.leader().await;
    let api = site.api(leader);
    let intent = json!({"intent": "put-workspace", "workspace": "mine"});
    let plan = planned(&site, &api, &intent).await;
    let followers: Vec<u64> = (1..=3).filter(|replica| *replica != leader).collect();
    followers.iter().for_each(|replica| site.control(*replica).try_signal(Signal::SIGSTOP));
    let confirming = tokio::task::spawn_blocking({
        let api = api.clone();
        move || run_cli(&api, &["confirm", &plan])
    });
    tokio::time::sleep(WITHOUT_QUORUM).await;
    followers.iter().for_each(|replica| site.control(*replica).try_signal(Signal::SIGCONT));
    let printed = confirming.await.unwrap();
    assert!(printed.contains("exit code 0"), "{printed}");
}

/// Runs the command line against a site; returns its output and exit code.
fn run_cli(api: &str, args: &[&str]) -> String {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_cherrystream"))
        .args(args)
        .args(["--api", api])
        .output()
        .unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let code = output.status.code().unwrap();
    format!("{}{}exit code {code}\n\n", text(&output.stdout), text(&output.stderr))
}

/// Replaces plan identifiers, addresses and times, which differ between runs.
fn masked(text: &str, plan: &str, server: &str) -> String {
    let hide = |word: &str| {
        let is_time = word.starts_with("20") && word.contains('T');
        if is_time {
            "TIME".to_string()
        } else {
            word.replace(plan, "PLAN").replace(server, "SERVER")
        }
    };
    let line = |l: &str| l.split(' ').map(hide).collect::<Vec<_>>().join(" ");
    text.lines().map(line).collect::<Vec<_>>().join("\n") + "\n"
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operators_session_on_the_command_line() {
    let site = Site::with_control(1).await;
    let api = site.api(1);
    let server = site.start_server("quotes-a", &[]);
    let mut session = String::new();
    let intents: [&[&str]; 4] = [
        &["service", "put", "quotes"],
        &["kind", "put", "quotes", "order", "--method", "POST", "--path-prefix", "/orders"],
        &[
            "backend",
            "put",
            "quotes",
            "quotes-a",
            "--host",
            "host-a",
            "--address",
            &server.address,
            "--slots",
            "12",
        ],
        &["host", "take-out", "host-a"],
    ];
    for intent in intents {
        let planned = run_cli(&api, intent);
        let plan = planned.split(' ').nth(1).unwrap().to_string();
        let shown = masked(&planned, &plan, &server.address);
        let confirmed = masked(&run_cli(&api, &["confirm", &plan]), &plan, &server.address);
        let command = intent.join(" ").replace(&server.address, "SERVER");
        session +=
            &format!("$ cherrystream {command}\n{shown}$ cherrystream confirm PLAN\n{confirmed}");
    }
    let config = masked(&run_cli(&api, &["config"]), "no plan", &server.address);
    session += &format!("$ cherrystream config\n{config}");
    session += &format!("$ cherrystream status\n{}", run_cli(&api, &["status"]));
    session +=
        &format!("$ cherrystream confirm nothing\n{}", run_cli(&api, &["confirm", "nothing"]));
    insta::assert_snapshot!(session);
}

/// All control processes are killed right after the confirmation; the evacuation must persist.
#[tokio::test(flavor = "multi_thread")]
async fn an_evacuation_survives_the_loss_of_all_control_processes() {
    let mut pair = path::pair(3).await;
    let api = pair.site.any_api();
    let planned = run_cli(&api, &["evacuate", "start", "b"]);
    assert!(planned.contains("failure domain 'b'"), "{planned}");
    assert!(planned.contains("leaves 1 of 2 backend servers of quotes"), "{planned}");
    let plan = planned.split(' ').nth(1).unwrap().to_string();
    assert!(run_cli(&api, &["confirm", &plan]).contains("is accepted"));
    for replica in 1..=3 {
        pair.site.kill_control(replica);
    }
    for replica in 1..=3 {
        pair.site.start_control(replica);
    }
    pair.site.leader().await;
    pair.site.in_force(&[&pair.a, &pair.b]).await;
    let listed = run_cli(&pair.site.any_api(), &["evacuate", "list"]);
    assert!(listed.starts_with("failure domains evacuated: b\n"), "{listed}");
    let before = client::counts(&pair.server_b.address).await.runs;
    for _ in 0..10 {
        let answer = pair.b.call(&Ask::get("/work").service("quotes")).await.unwrap();
        assert_eq!(answer.work().server, "quotes-a");
    }
    assert_eq!(client::counts(&pair.server_b.address).await.runs, before);
    pair.site.accept(json!({"intent": "end-evacuation", "failure_domain": "b"})).await;
    wait::until("host-b answers", || async {
        let answer = pair.b.call(&Ask::get("/work").service("quotes")).await?;
        (answer.work().server == "quotes-b").then_some(())
    })
    .await;
}
