//! The outcomes reported to callers are correct while daemons, backend servers and links fail,
//! compared with the stand-ins' records of runs.

use super::path::{self, Pair};
use super::support::client::{self, Answer, Ask};
use super::support::relay::{Mode, Relay};
use super::support::site::Site;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

/// Most rounds of faults.
const MAX_ROUNDS: usize = 60;
/// Concurrent callers.
const CALLERS: usize = 12;

/// Answers that callers received, by the name of each request; `None` without a complete answer.
type Answers = HashMap<String, Option<Answer>>;

/// Numbers of outcomes so far, and whether callers stop.
#[derive(Default)]
struct Progress {
    answered: AtomicU32,
    not_run: AtomicU32,
    stop: AtomicBool,
}

impl Progress {
    fn record(&self, answer: Option<&Answer>) {
        match answer.map_or("", Answer::outcome) {
            "answered" => self.answered.fetch_add(1, Ordering::Relaxed),
            "not-run" => self.not_run.fetch_add(1, Ordering::Relaxed),
            _ => 0,
        };
    }

    /// Returns whether enough requests were answered, and at least `not_run` were refused as not
    /// run.
    fn is_enough(&self, not_run: u32) -> bool {
        self.answered.load(Ordering::Relaxed) > 100
            && self.not_run.load(Ordering::Relaxed) >= not_run
    }
}

/// Sends requests that are not repeatable, each with a unique name, until stopped.
async fn load(addresses: Vec<String>, progress: Arc<Progress>) -> Answers {
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..CALLERS {
        let address = addresses[caller % addresses.len()].clone();
        let progress = progress.clone();
        callers.spawn(async move {
            let mut answers = Answers::new();
            for n in 0.. {
                if progress.stop.load(Ordering::Relaxed) {
                    break;
                }
                let name = format!("/t/{caller}/{n}");
                // Every other request is of a kind that is declared as not repeatable, and has a
                // key.
                let ask = match n % 2 {
                    0 => Ask::post(&name, "x").service("quotes"),
                    _ => Ask::post("/orders", "x").service("quotes").key(&name),
                };
                let answer = client::send(&address, &ask).await;
                progress.record(answer.as_ref());
                answers.insert(name, answer);
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            answers
        });
    }
    let mut all = Answers::new();
    while let Some(answers) = callers.join_next().await {
        all.extend(answers.unwrap());
    }
    all
}

/// Compares the answers with the records of runs; returns the number of requests by result.
fn compare(answers: &Answers, records: &[Vec<String>]) -> HashMap<&'static str, u32> {
    let mut runs = HashMap::<&str, u32>::new();
    records.iter().flatten().for_each(|run| *runs.entry(run).or_default() += 1);
    let mut counts = HashMap::new();
    for (name, answer) in answers {
        let ran = runs.get(name.as_str()).copied().unwrap_or(0);
        assert!(ran <= 1, "{name} ran {ran} times");
        let outcome = answer.as_ref().map_or("", Answer::outcome);
        let kind = match outcome {
            "answered" => {
                assert_eq!(ran, 1, "{name} was answered without a run");
                "answered"
            }
            "not-run" => {
                assert_eq!(ran, 0, "{name} was reported as not run, and ran: {answer:?}");
                "not-run"
            }
            "unknown" if ran == 0 => "unknown, not run",
            "unknown" => "unknown, run",
            _ => "no answer",
        };
        *counts.entry(kind).or_default() += 1;
    }
    counts
}

fn records(pair: &Pair) -> Vec<Vec<String>> {
    vec![pair.server_a.runs(), pair.server_b.runs()]
}

#[tokio::test(flavor = "multi_thread")]
async fn outcomes_are_correct_while_backend_servers_and_daemons_are_killed() {
    let mut pair = path::pair_with(1, &["--work-us", "3000"]).await;
    let progress = Arc::new(Progress::default());
    let loading =
        tokio::spawn(load(vec![pair.a.caller.clone(), pair.b.caller.clone()], progress.clone()));
    // Faults continue until a request was refused as not run.
    let mut round = 0;
    while round < 3 || !progress.is_enough(1) {
        assert!(round < MAX_ROUNDS, "no request was refused as not run");
        round += 1;
        tokio::time::sleep(Duration::from_millis(250)).await;
        pair.server_b.process.kill();
        tokio::time::sleep(Duration::from_millis(100)).await;
        pair.server_b.restart();
        tokio::time::sleep(Duration::from_millis(250)).await;
        let daemon = if round % 2 == 0 { &mut pair.a } else { &mut pair.b };
        daemon.process.kill();
        tokio::time::sleep(Duration::from_millis(100)).await;
        daemon.restart();
        daemon.serves("quotes").await;
    }
    progress.stop.store(true, Ordering::Relaxed);
    let answers = loading.await.unwrap();
    let counts = compare(&answers, &records(&pair));
    println!("{counts:?}");
    assert!(counts["answered"] > 100 && counts["not-run"] > 0, "{counts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn outcomes_are_correct_while_the_link_to_a_backend_server_is_cut_and_held() {
    let site = Site::with_control(1).await;
    let a = site.start_daemon("host-a", "a", 1);
    let b = site.start_daemon("host-b", "b", 2);
    let server_a = site.start_server("quotes-a", &["--work-us", "3000"]);
    let mut server_b = site.start_server("quotes-b", &["--work-us", "3000"]);
    let relay = Relay::start(&site.address(7697), &server_b.address).await;
    site.put_service("quotes").await;
    site.put_server("quotes", "quotes-a", "host-a", &server_a).await;
    let direct = std::mem::replace(&mut server_b.address, relay.address.clone());
    site.put_server("quotes", "quotes-b", "host-b", &server_b).await;
    server_b.address = direct;
    site.put_once("quotes").await;
    site.in_force(&[&a, &b]).await;
    let progress = Arc::new(Progress::default());
    let loading = tokio::spawn(load(vec![a.caller.clone(), b.caller.clone()], progress.clone()));
    let modes = [Mode::Cut, Mode::Hold, Mode::HoldBack, Mode::Cut];
    let mut round = 0;
    while round < modes.len() || !progress.is_enough(0) {
        assert!(round < MAX_ROUNDS, "too few requests were answered");
        let mode = modes[round % modes.len()];
        round += 1;
        tokio::time::sleep(Duration::from_millis(300)).await;
        relay.set(mode);
        tokio::time::sleep(Duration::from_millis(300)).await;
        relay.set(Mode::Pass);
    }
    progress.stop.store(true, Ordering::Relaxed);
    let answers = loading.await.unwrap();
    let counts = compare(&answers, &[server_a.runs(), server_b.runs()]);
    println!("{counts:?}");
    assert!(counts["answered"] > 100, "{counts:?}");
}
