//! Roll-outs of a version: completed, rolled back despite a killed leader, persisted over a power
//! loss.

use super::support::client::{self, Ask};
use super::support::site::{Daemon, DaemonOptions, Server, Site};
use super::support::wait;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;

const SERVICE: &str = "quotes";
/// Number of backend servers of each version.
const SERVERS_PER_VERSION: usize = 3;
const WITHIN_MS: u64 = 8_000;
/// Interval between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// Most requests that a canary may receive: a share of all requests, and a number beyond that.
const MAX_EXPOSURE: (f64, f64) = (0.1, 50.0);

struct Fleet {
    site: Site,
    daemons: Vec<Daemon>,
    servers: Vec<Server>,
}

impl Fleet {
    /// Starts backend servers of two versions, each beside its daemon, and sends their reports.
    async fn start() -> Fleet {
        let site = Site::with_control(3).await;
        site.put_service(SERVICE).await;
        let (mut daemons, mut servers) = (Vec::new(), Vec::new());
        for i in 0..2 * SERVERS_PER_VERSION {
            let host = format!("host-{i}");
            let port = 7400 + i as u16 * 10 + 3;
            let lines = vec![format!("instance_address: {}", site.address(port))];
            let opts = DaemonOptions { lines, ..DaemonOptions::default() };
            daemons.push(site.start_daemon_with(&host, "a", i as u16, &opts));
            servers.push(site.start_server(&format!("server-{i}"), &["--work-us", "4000"]));
        }
        let fleet = Fleet { site, daemons, servers };
        for i in 0..2 * SERVERS_PER_VERSION {
            fleet.report(i).await;
        }
        fleet.daemons[0].serves(SERVICE).await;
        fleet
    }

    fn version(i: usize) -> &'static str {
        if i < SERVERS_PER_VERSION { "v1" } else { "v2" }
    }

    async fn report(&self, i: usize) {
        let instance = json!({
            "id": format!("server-{i}"), "service": SERVICE, "address": self.servers[i].address,
            "slots": 12, "state": "live", "sequence": 1, "version": Fleet::version(i),
        });
        let address = self.site.address(7400 + i as u16 * 10 + 3);
        let path = format!("/v1/instances/server-{i}");
        let ask = Ask { method: "PUT", ..Ask::post(&path, instance.to_string()) };
        wait::until("the report is accepted", || async {
            let answer = client::send(&address, &ask).await?;
            (answer.status == 200).then_some(())
        })
        .await;
    }

    async fn roll_out(&self, version: &str) {
        let intent = json!({
            "intent": "start-rollout", "service": SERVICE, "version": version,
            "within_ms": WITHIN_MS
        });
        self.site.accept(intent).await;
    }

    async fn rollout(&self) -> Option<Value> {
        let answer = client::send(&self.site.any_api(), &Ask::get("/v1/config")).await?;
        let known = answer.json()["config"]["rollouts"][SERVICE].clone();
        (answer.status == 200 && known.is_object()).then_some(known)
    }

    async fn wait_for_stage(&self, stage: &str) -> Value {
        wait::until(&format!("the roll-out is {stage}"), || async {
            self.rollout().await.filter(|known| known["stage"] == stage)
        })
        .await
    }

    /// Returns the number of requests that servers of a version have run.
    async fn runs(&self, version: &str) -> u64 {
        let mut runs = 0;
        for (i, server) in self.servers.iter().enumerate() {
            if Fleet::version(i) == version {
                runs += client::counts(&server.address).await.runs;
            }
        }
        runs
    }
}

/// Callers that send requests continuously until they are stopped or dropped.
struct Callers {
    _tasks: JoinSet<()>,
    answered: Arc<AtomicU64>,
    failed: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
}

impl Callers {
    fn start(fleet: &Fleet) -> Callers {
        let (answered, failed) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
        let stopped = Arc::<AtomicBool>::default();
        let mut tasks = JoinSet::new();
        for daemon in &fleet.daemons {
            let (address, stopped) = (daemon.caller.clone(), stopped.clone());
            let (answered, failed) = (answered.clone(), failed.clone());
            tasks.spawn(async move {
                let ask = Ask::get("/quotes/1").service(SERVICE);
                while !stopped.load(Ordering::Relaxed) {
                    let answer = client::send(&address, &ask).await;
                    let good = answer.is_some_and(|answer| answer.status == 200);
                    let count = if good { &answered } else { &failed };
                    count.fetch_add(1, Ordering::Relaxed);
                    tokio::time::sleep(REQUEST_INTERVAL).await;
                }
            });
        }
        Callers { _tasks: tasks, answered, failed, stopped }
    }

    fn all(&self) -> u64 {
        self.answered.load(Ordering::Relaxed) + self.failed.load(Ordering::Relaxed)
    }
}

#[tokio::test]
async fn a_good_version_receives_all_requests_without_a_failure() {
    let fleet = Fleet::start().await;
    let callers = Callers::start(&fleet);
    fleet.roll_out("v2").await;
    // A roll-out of another version is refused meanwhile, with a remedy.
    let api = fleet.site.any_api();
    let other = json!({
        "intent": "start-rollout", "service": SERVICE, "version": "v3", "within_ms": WITHIN_MS
    });
    let refused = fleet.site.intend(&api, &other).await.expect("control answers");
    assert_eq!(refused.status, 409);
    assert!(refused.json()["remedy"].as_str().is_some_and(|r| r.contains("rollout stop")));
    let ended = fleet.wait_for_stage("completed").await;
    assert_eq!(ended["old"], json!(["v1"]));
    // From here on the old backend servers may be removed.
    let before = fleet.runs("v1").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(fleet.runs("v1").await, before, "old backend servers still receive requests");
    callers.stopped.store(true, Ordering::Relaxed);
    assert_eq!(callers.failed.load(Ordering::Relaxed), 0, "of {}", callers.all());
}

#[tokio::test]
async fn a_bad_version_is_rolled_back_despite_a_killed_leader_and_a_power_loss() {
    let mut fleet = Fleet::start().await;
    for server in &fleet.servers[SERVERS_PER_VERSION..] {
        client::set_faults(&server.address, json!({"fail_share": 0.5})).await;
    }
    let callers = Callers::start(&fleet);
    let before = (callers.all(), fleet.runs("v2").await);
    fleet.roll_out("v2").await;
    wait::until("the canary receives requests", || async {
        (fleet.runs("v2").await > before.1).then_some(())
    })
    .await;
    let leader = fleet.site.leader().await;
    fleet.site.kill_control(leader);
    let ended = fleet.wait_for_stage("rolled-back").await;
    assert!(ended["reason"].as_str().is_some_and(|reason| reason.contains("failed")), "{ended}");
    let (share, slack) = MAX_EXPOSURE;
    let (all, tried) = (callers.all() - before.0, fleet.runs("v2").await - before.1);
    assert!(tried as f64 <= share * all as f64 + slack, "{tried} of {all}");
    // All control processes are killed; the decision is on disk.
    for replica in (1..=3).filter(|replica| *replica != leader) {
        fleet.site.kill_control(replica);
    }
    (1..=3).for_each(|replica| fleet.site.start_control(replica));
    fleet.wait_for_stage("rolled-back").await;
    let after = fleet.runs("v2").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(fleet.runs("v2").await, after, "a version that was rolled back receives requests");
    callers.stopped.store(true, Ordering::Relaxed);
}
