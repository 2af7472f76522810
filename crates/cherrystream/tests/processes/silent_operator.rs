//! The command line, whose connection to the API of control goes silent during a call.

use super::support::process;
use super::support::relay::{Mode, Relay, Silenced};
use super::support::site::Site;
use serde_json::json;
use std::process::Output;
use std::time::{Duration, Instant};
use tokio::process::Command;

/// Time within which the command line has sent its call.
const SEND_TIME: Duration = Duration::from_millis(500);
/// Longest time until a command has ended.
const END_TIMEOUT: Duration = Duration::from_secs(16);

/// Runs a command, silences its connection before control receives the call, and returns the
/// output.
async fn run_on_silent_connection(relay: &Relay, silenced: Silenced, args: &[&str]) -> Output {
    relay.set(match silenced {
        // Control receives the call, and its answer is lost.
        Silenced::Back => Mode::HoldBack,
        Silenced::Both | Silenced::There => Mode::Hold,
    });
    let start = Instant::now();
    let mut command = Command::new(process::cherrystream());
    command.args(args).args(["--api", &relay.address]).kill_on_drop(true);
    let ended = tokio::spawn(async move { command.output().await.unwrap() });
    tokio::time::sleep(SEND_TIME).await;
    relay.silence(silenced);
    relay.set(Mode::Pass);
    let output = tokio::time::timeout(END_TIMEOUT, ended).await.expect("the command does not end");
    println!("{silenced:?}: {args:?} ended after {:?}", start.elapsed());
    output.unwrap()
}

async fn control() -> (Site, Relay) {
    let site = Site::with_control(1).await;
    let relay = Relay::start(&site.address(7_900), &site.api(1)).await;
    (site, relay)
}

/// Guards against reads that fail on a silent connection although a new one would work.
#[tokio::test(flavor = "multi_thread")]
async fn a_read_of_the_command_line_succeeds_on_another_connection() {
    let (_site, relay) = control().await;
    for silenced in [Silenced::Both, Silenced::There, Silenced::Back] {
        let output = run_on_silent_connection(&relay, silenced, &["status"]).await;
        assert!(output.status.success(), "{silenced:?}: {output:?}");
    }
}

/// Guards against confirmations whose outcome stays unknown although a plan may be confirmed again.
#[tokio::test(flavor = "multi_thread")]
async fn a_confirmation_of_the_command_line_succeeds_on_another_connection() {
    let (site, relay) = control().await;
    for silenced in [Silenced::Both, Silenced::There, Silenced::Back] {
        let name = format!("quotes-{silenced:?}").to_lowercase();
        let intent = json!({"intent": "put-service", "service": name, "measuring_per_second": 5});
        let planned = site.intend(&site.api(1), &intent).await.unwrap();
        let plan = planned.json()["plan"].as_str().unwrap().to_string();
        let output = run_on_silent_connection(&relay, silenced, &["confirm", &plan]).await;
        assert!(output.status.success(), "{silenced:?}: {output:?}");
    }
}

/// Guards against a command that hangs, or ends without saying what to do. Its intent is not sent
/// twice, as that would lead to a second plan.
#[tokio::test(flavor = "multi_thread")]
async fn an_intent_of_the_command_line_ends_with_an_error_and_its_remedy() {
    let (_site, relay) = control().await;
    let args = ["service", "put", "quotes"];
    let output = run_on_silent_connection(&relay, Silenced::Both, &args).await;
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success(), "{output:?}");
    assert!(error.contains("no answer from the control API"), "{error}");
    assert!(error.contains("check --api and that it runs"), "{error}");
}
