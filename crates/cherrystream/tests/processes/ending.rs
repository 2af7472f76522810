//! Requests that crash the backend servers that process them.
//!
//! Guards against one such request, sent repeatedly to several daemons, crashing backend server
//! after backend server and so making other callers' requests fail.

use super::support::client::{Answer, Ask};
use super::support::process;
use super::support::site::{Daemon, DaemonOptions, Server, Site};
use super::support::wait;
use parking_lot::Mutex;
use serde_json::json;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

const HOSTS: u16 = 5;
/// Time after which a crashed backend server is restarted.
const RESTART_DELAY: Duration = Duration::from_secs(2);
/// Time within which every daemon holds back a request that has crashed three backend servers.
const DISSEMINATION_TIME: Duration = Duration::from_secs(3);
/// Crashes that a request may still cause after that time.
const MAX_LATE_CRASHES: usize = 3;
/// Least share of other callers' requests answered while one request crashes backend servers.
const MIN_OTHERS_SERVED: f64 = 0.9;
/// Least share of requests answered while backend servers crash independently of requests.
const MIN_HARMLESS_SERVED: f64 = 0.98;

/// Supervises a backend server: restarts it after a crash, and records the crash.
struct Supervisor {
    kill: Arc<AtomicBool>,
    /// Whether no request crashes the server after its next start.
    is_fixed: Arc<AtomicBool>,
    task: JoinHandle<()>,
}

type CrashTimes = Arc<Mutex<Vec<Instant>>>;

fn supervise(mut server: Server, crashes: CrashTimes) -> Supervisor {
    let (kill, is_fixed) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let (killed, fixed) = (kill.clone(), is_fixed.clone());
    let task = tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(10)).await;
            if killed.swap(false, Ordering::Relaxed) {
                server.process.kill_if_running();
            }
            if server.process.is_running() {
                continue;
            }
            crashes.lock().push(Instant::now());
            tokio::time::sleep(RESTART_DELAY).await;
            if fixed.load(Ordering::Relaxed) {
                server.forget_option("--ends-on");
            }
            server.restart();
        }
    });
    Supervisor { kill, is_fixed, task }
}

impl Drop for Supervisor {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Five hosts with one backend server each, which certain requests crash.
struct Rig {
    // Dropped first, as it would restart servers after the removal of their folder.
    servers: Vec<Supervisor>,
    site: Site,
    daemons: Arc<Vec<Daemon>>,
    crashes: CrashTimes,
}

async fn rig() -> Rig {
    rig_of(1).await
}

/// Starts hosts whose callers belong to several services in turn.
async fn rig_of(services: u16) -> Rig {
    let site = Site::with_control(1).await;
    let (mut daemons, mut servers) = (Vec::new(), Vec::new());
    let crashes = CrashTimes::default();
    site.put_service("quotes").await;
    for path in ["/work", "/deadly"] {
        site.accept(json!({
            "intent": "put-kind", "service": "quotes", "kind": path.trim_start_matches('/'), "method": "POST",
            "path_prefix": path, "repeatable": true, "weight": 1, "deadline_ms": 2000
        }))
        .await;
    }
    for number in 1..=HOSTS {
        let host = format!("host-{number}");
        let service = format!("service: caller-{}", number % services);
        let opts = DaemonOptions { lines: vec![service], ..DaemonOptions::default() };
        let domain = format!("d{}", number % 3);
        daemons.push(site.start_daemon_with(&host, &domain, number, &opts));
        let name = format!("quotes-{number}");
        let server = site.start_server(&name, &["--ends-on", "/deadly"]);
        site.put_server("quotes", &name, &host, &server).await;
        servers.push(supervise(server, crashes.clone()));
    }
    site.in_force(&daemons.iter().collect::<Vec<_>>()).await;
    for daemon in &daemons {
        daemon.serves("quotes").await;
    }
    Rig { site, daemons: Arc::new(daemons), servers, crashes }
}

impl Rig {
    /// Sends requests to the daemons in turn, at a rate and for a time; returns the share that was
    /// answered.
    async fn send(&self, per_second: u32, time: Duration, ask: impl Fn(u32) -> Ask) -> f64 {
        let mut sent = Vec::new();
        let mut interval = tokio::time::interval(Duration::from_secs(1) / per_second);
        for n in 0..(time.as_secs_f64() * f64::from(per_second)) as u32 {
            interval.tick().await;
            let (daemons, ask) = (self.daemons.clone(), ask(n).service("quotes"));
            // Spreads the requests such that two concurrent loads do not always use the same
            // daemon.
            let at = (n * 7 / 3) as usize % daemons.len();
            sent.push(tokio::spawn(async move {
                let answer = daemons[at].call(&ask).await;
                answer.is_some_and(|answer| answer.outcome() == "answered")
            }));
        }
        let (mut answered, all) = (0, sent.len());
        for task in sent {
            answered += usize::from(task.await.unwrap());
        }
        answered as f64 / all as f64
    }

    async fn others(&self, time: Duration) -> f64 {
        self.send(40, time, |n| Ask::get(&format!("/work/{n}?work_ms=20"))).await
    }

    /// Checks the number of late crashes and the share of other callers' requests that were
    /// answered.
    fn check(&self, others: f64) {
        let (late, all) = (self.late_crashes(), self.crashes.lock().len());
        println!("{all} crashed, {late} of them late; others served: {others:.3}");
        assert!(late <= MAX_LATE_CRASHES, "{late} of {all} backend servers crashed late");
        assert!(
            others > MIN_OTHERS_SERVED,
            "{others:.3} of the other callers' requests were answered"
        );
    }

    /// Fixes the service: restarts each backend server as one that no request crashes.
    fn fix(&self) {
        for server in &self.servers {
            server.is_fixed.store(true, Ordering::Relaxed);
            server.kill.store(true, Ordering::Relaxed);
        }
    }

    /// Returns the number of crashes later than `DISSEMINATION_TIME` after the third.
    fn late_crashes(&self) -> usize {
        let crashes = self.crashes.lock();
        let Some(third) = crashes.get(2) else { return 0 };
        crashes.iter().filter(|at| **at > *third + DISSEMINATION_TIME).count()
    }
}

/// Sends a request that crashes backend servers four times a second, beside other callers' requests.
async fn run_scenario(deadly: Ask) {
    run_scenario_on(&rig().await, deadly).await;
}

async fn run_scenario_on(rig: &Rig, deadly: Ask) {
    let time = Duration::from_secs(15);
    let (_, others) = tokio::join!(rig.send(4, time, |_| deadly.clone()), rig.others(time));
    rig.check(others);
}

#[tokio::test(flavor = "multi_thread")]
async fn others_are_served_while_one_request_crashes_servers_get() {
    run_scenario(Ask::get("/deadly/1")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn others_are_served_while_one_request_crashes_servers_post() {
    run_scenario(Ask::post("/deadly/1", "a body of 20 bytes..")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn others_are_served_while_one_request_crashes_servers_reserved() {
    run_scenario(Ask::post("/deadly/1", vec![b'x'; 20 * 1024])).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn others_are_served_while_one_request_crashes_servers_streamed() {
    run_scenario(Ask::post("/deadly/1", vec![b'x'; 100 * 1024])).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_harmless_request_is_served_while_backend_servers_crash_independently() {
    let rig = rig().await;
    let time = Duration::from_secs(15);
    let kills = async {
        for n in 0..15 {
            tokio::time::sleep(Duration::from_secs(1)).await;
            rig.servers[n * 2 % rig.servers.len()].kill.store(true, Ordering::Relaxed);
        }
    };
    let harmless = rig.send(20, time, |_| Ask::get("/work/same?work_ms=20"));
    let (harmless, others, ()) = tokio::join!(harmless, rig.others(time), kills);
    println!(
        "{} crashed; served: harmless {harmless:.3}, others {others:.3}",
        rig.crashes.lock().len()
    );
    assert!(
        harmless > MIN_HARMLESS_SERVED && others > MIN_HARMLESS_SERVED,
        "{harmless:.3}, {others:.3}"
    );
}

/// Runs the command `suspects` against a daemon and returns its output.
fn run_suspects(daemon: &Daemon, args: &[&str]) -> String {
    let mut command = Command::new(process::cherrystream());
    let output =
        command.arg("suspects").args(args).args(["--daemon", &daemon.peer]).output().unwrap();
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap()
}

/// Sends a request repeatedly until it is held back.
async fn send_until_held_back(rig: &Rig, deadly: &Ask) -> Answer {
    wait::until("the request is held back", || async {
        let answer = rig.daemons[0].call(deadly).await?;
        (answer.reason() == "held-back").then_some(answer)
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_held_back_request_is_refused_by_all_daemons_until_it_is_lifted() {
    let rig = rig().await;
    let deadly = Ask::post("/deadly/1", "a body").service("quotes");
    let started = Instant::now();
    send_until_held_back(&rig, &deadly).await;
    let crashes = rig.crashes.lock().len();
    assert!((3..=4).contains(&crashes), "{crashes} backend servers crashed");
    tokio::time::sleep(DISSEMINATION_TIME.saturating_sub(started.elapsed())).await;
    // Each daemon refuses it locally with a time to retry, and serves other requests of that
    // caller.
    for daemon in rig.daemons.iter() {
        let sent = daemon.metric("cherrystream_peer_calls_total").await;
        let answer = daemon.call(&deadly).await.unwrap();
        assert_eq!((answer.status.as_u16(), answer.outcome()), (503, "not-run"));
        assert_eq!(answer.reason(), "held-back");
        let retry_after_ms: u64 = answer.header("cherrystream-retry-after-ms").parse().unwrap();
        assert!((20_000..=60_000).contains(&retry_after_ms), "{retry_after_ms}");
        assert_eq!(daemon.metric("cherrystream_peer_calls_total").await, sent);
        let other = Ask::post("/work/1", "a body").service("quotes");
        assert_eq!(daemon.call(&other).await.unwrap().outcome(), "answered");
        assert_eq!(daemon.metric("cherrystream_suspects{standing=\"held-back\"}").await, 1.0);
    }
    let list = run_suspects(&rig.daemons[1], &["list"]);
    assert!(list.contains("held-back; backend servers ended: 3") || crashes > 3, "{list}");
    let mark = list.split(' ').next().unwrap();
    // The service is fixed, and its servers restart.
    rig.fix();
    assert_eq!(rig.daemons[3].call(&deadly).await.unwrap().reason(), "held-back");
    run_suspects(&rig.daemons[2], &["lift", mark]);
    for daemon in rig.daemons.iter() {
        wait::until("the request is served again", || async {
            let answer = daemon.call(&deadly).await?;
            (answer.outcome() == "answered").then_some(())
        })
        .await;
    }
    assert_eq!(rig.crashes.lock().len(), crashes + usize::from(HOSTS));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_held_back_request_is_served_again_after_the_service_is_fixed() {
    let rig = rig().await;
    let deadly = Ask::get("/deadly/1").service("quotes");
    send_until_held_back(&rig, &deadly).await;
    let held = Instant::now();
    rig.fix();
    wait::until("the request is served again", || async {
        let answer = rig.daemons[4].call(&deadly).await?;
        (answer.outcome() == "answered").then_some(())
    })
    .await;
    assert!(held.elapsed() < Duration::from_secs(35), "after {:?}", held.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_daemon_fetches_the_held_back_requests_from_its_peers() {
    let mut rig = rig().await;
    let deadly = Ask::get("/deadly/1").service("quotes");
    send_until_held_back(&rig, &deadly).await;
    tokio::time::sleep(DISSEMINATION_TIME).await;
    let crashes = rig.crashes.lock().len();
    // All daemons but one lose their state.
    let daemons = Arc::get_mut(&mut rig.daemons).unwrap();
    for daemon in &mut daemons[..4] {
        daemon.process.kill();
    }
    for daemon in &mut daemons[..4] {
        daemon.restart();
        daemon.serves("quotes").await;
    }
    tokio::time::sleep(DISSEMINATION_TIME).await;
    for daemon in rig.daemons.iter() {
        assert_eq!(daemon.call(&deadly).await.unwrap().reason(), "held-back");
    }
    assert_eq!(rig.crashes.lock().len(), crashes);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_has_the_same_mark_in_the_list_and_in_logs() {
    let rig = rig().await;
    let deadly = Ask::get("/deadly/1").service("quotes");
    send_until_held_back(&rig, &deadly).await;
    let list = run_suspects(&rig.daemons[0], &["list"]);
    let mark = list.split(' ').next().unwrap();
    let log = std::fs::read_to_string(rig.site.folder.path().join("host-1.log")).unwrap();
    assert!(log.contains(&format!(" mark={mark} ")) && !log.contains("/deadly"));
}

/// Guards against a fingerprint that depends on the service of the host where the request enters.
#[tokio::test(flavor = "multi_thread")]
async fn a_suspect_request_is_recognized_from_every_host() {
    run_scenario_on(&rig_of(3).await, Ask::get("/deadly/1")).await;
}

/// Guards against an error response of the request, which ends before the crash, clearing its
/// record.
#[tokio::test(flavor = "multi_thread")]
async fn a_suspect_request_is_not_cleared_by_an_error_response() {
    let rig = rig().await;
    let time = Duration::from_secs(15);
    let deadly = rig.send(8, time, |n| {
        let ask = Ask::get("/deadly/1");
        if n % 2 == 0 { ask.with("standin-fails", 1) } else { ask }
    });
    let (_, others) = tokio::join!(deadly, rig.others(time));
    rig.check(others);
}
