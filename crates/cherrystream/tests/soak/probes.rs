//! Impatient and patient callers and operators that call again and again, and records of their
//! calls.

use crate::cluster::Cluster;
use crate::operators;
use crate::plan::{Link, Size};
use crate::support::client::{self, Ask};
use crate::support::wait;
use crate::watchers::{MAX_PROPAGATION_TIME, WatchedDaemon};
use cherrystream_net::pool::Pool;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Pause between two calls.
const PAUSE: Duration = Duration::from_millis(250);
/// Times after which probes on open connections give up a call. The first leaves before a dead
/// connection can be detected.
const IMPATIENT: [Duration; 2] = [Duration::from_millis(300), Duration::from_secs(1)];
/// Time after which probes that open a connection for each call give up a call.
const PATIENT: Duration = Duration::from_secs(5);

/// What a probe calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// Reads the configuration back from a control replica.
    Read(u64),
    /// Submits an intent to a control replica.
    Intent(u64),
    /// Sends a request that may be repeated to a daemon.
    Request(usize),
}

/// Calls one process again and again.
#[derive(Clone, Debug)]
pub struct Probe {
    pub target: Target,
    /// Link whose open connection is used; `None` if each call opens a connection.
    pub link: Option<Link>,
    pub patience: Duration,
    address: String,
    key: Option<&'static str>,
}

/// A call and its result.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub succeeded: bool,
}

/// The calls of one probe, in their order.
pub struct Report {
    pub probe: Probe,
    pub calls: Vec<Call>,
    pub ended_at: Instant,
}

/// Returns the probes of all control replicas and daemons.
pub fn all(cluster: &Cluster, size: Size, watched: &[WatchedDaemon]) -> Vec<Probe> {
    let replicas = 1..=size.controls;
    let targets = replicas.flat_map(|replica| [Target::Read(replica), Target::Intent(replica)]);
    let of_control = targets.flat_map(|target| probes_of_control(cluster, target));
    of_control.chain(watched.iter().map(|watched| probe_of_daemon(cluster, watched))).collect()
}

fn probes_of_control(cluster: &Cluster, target: Target) -> Vec<Probe> {
    let (Target::Read(replica) | Target::Intent(replica)) = target else { return Vec::new() };
    let link = Link::Operator(replica);
    let probe = |link, patience, address| Probe { target, link, patience, address, key: None };
    let mut probes = vec![probe(None, PATIENT, cluster.site.api(replica))];
    for patience in IMPATIENT {
        probes.push(probe(Some(link), patience, cluster.relayed(link).into()));
    }
    probes
}

fn probe_of_daemon(cluster: &Cluster, watched: &WatchedDaemon) -> Probe {
    let link = Link::Caller(watched.daemon);
    Probe {
        target: Target::Request(watched.daemon),
        link: Some(link),
        patience: IMPATIENT[watched.daemon % IMPATIENT.len()],
        address: cluster.relayed(link).into(),
        key: watched.key,
    }
}

impl Probe {
    /// Calls until `stop` is set.
    pub async fn run(self, stop: Arc<AtomicBool>) -> Report {
        let mut calls = Vec::new();
        let mut pool = self.pool();
        for n in 0.. {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let sent_at = Instant::now();
            let ask = self.ask(n);
            let answer = tokio::time::timeout(self.patience, client::send_on(&pool, &ask)).await;
            let succeeded = answer.ok().flatten().is_some_and(|a| a.status.is_success());
            calls.push(Call { sent_at, ended_at: Instant::now(), succeeded });
            if !succeeded || self.link.is_none() {
                pool = self.pool();
            }
            tokio::time::sleep(PAUSE).await;
        }
        Report { probe: self, calls, ended_at: Instant::now() }
    }

    fn pool(&self) -> Pool {
        Pool::new(&self.address, Default::default())
    }

    fn ask(&self, n: u32) -> Ask {
        match self.target {
            Target::Read(_) => Ask::get("/v1/config"),
            Target::Intent(replica) => {
                let service = format!("probed-{replica}-{n}");
                let intent =
                    json!({"intent": "put-service", "service": service, "measuring_per_second": 5});
                Ask::post("/v1/intents", intent.to_string())
            }
            Target::Request(daemon) => Ask::get(&format!("/p/{daemon}/{n}"))
                .service("quotes")
                .with("cherrystream-deadline-ms", self.patience.as_millis())
                .with_key(self.key),
        }
    }
}

/// Waits until each control replica answers, and each probe has called again; returns the
/// violations.
pub async fn wait_until_answered(cluster: &Cluster, size: Size) -> Vec<String> {
    let until = Instant::now() + MAX_PROPAGATION_TIME;
    let mut violations = Vec::new();
    for replica in 1..=size.controls {
        let api = cluster.site.api(replica);
        let answering =
            wait::until("the replica answers", || async { operators::missing(&api, &[]).await });
        if tokio::time::timeout_at(until.into(), answering).await.is_err() {
            violations.push(format!("control {replica} gives no answer after all faults"));
        }
    }
    tokio::time::sleep(PAUSE * 2).await;
    violations
}
