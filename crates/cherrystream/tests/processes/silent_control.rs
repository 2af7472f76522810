//! Connections of a daemon to control that go silent for good, without a reset, while new ones work.

use super::support::client::{self, Ask};
use super::support::relay::{Relay, Silenced};
use super::support::site::{Daemon, DaemonOptions, Server, Site};
use super::support::wait;
use nix::sys::signal::Signal;
use serde_json::json;
use std::collections::HashMap;
use std::ops::Range;
use std::time::{Duration, Instant};

const SERVICE: &str = "quotes";
const REPLICAS: u64 = 3;
/// Longest time until everything works again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a test no longer waits.
const GIVE_UP: Duration = Duration::from_secs(12);
/// Pause between two polls or calls.
const PAUSE: Duration = Duration::from_millis(20);
/// Time between two reports of an instance that starts again and again.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Times after which callers give up an order.
const PATIENCES: [Duration; 2] = [Duration::from_millis(300), Duration::from_secs(5)];
/// Callers that place orders.
const CALLERS: u64 = 8;
/// Time after which an instance repeats a report that was not acknowledged.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// Three control replicas, and a daemon that reaches them by relays.
struct Fleet {
    site: Site,
    leader: u64,
    relays: Vec<Relay>,
    daemon: Daemon,
    server: Server,
}

impl Fleet {
    /// Starts a fleet whose daemon lists the leader first.
    async fn start() -> Fleet {
        Fleet::start_with(0..REPLICAS).await
    }

    /// Starts a fleet whose daemon lists these replicas, counted from the leader.
    async fn start_with(from_leader: Range<u64>) -> Fleet {
        let site = Site::with_control(REPLICAS).await;
        let leader = site.leader().await;
        let mut relays = Vec::new();
        for n in from_leader {
            let replica = (leader - 1 + n) % REPLICAS + 1;
            let listen = site.address(7_700 + replica as u16);
            relays.push(Relay::start(&listen, &site.rpc(replica)).await);
        }
        let control: Vec<&str> = relays.iter().map(|relay| relay.address.as_str()).collect();
        let opts = DaemonOptions {
            lines: vec![format!("instance_address: {}", site.address(7_800))],
            control: Some(control.join(", ")),
        };
        let daemon = site.start_daemon_with("host-a", "a", 1, &opts);
        let server = site.start_server("server-a", &[]);
        site.put_service(SERVICE).await;
        site.put_once(SERVICE).await;
        let fleet = Fleet { site, leader, relays, daemon, server };
        wait::until("the report is acknowledged", || async {
            (fleet.report(1).await == Some(200)).then_some(())
        })
        .await;
        fleet.daemon.serves(SERVICE).await;
        fleet.site.in_force(&[&fleet.daemon]).await;
        fleet
    }

    fn silence(&self, silenced: Silenced) {
        self.relays.iter().for_each(|relay| relay.silence(silenced));
    }

    /// Reports that the instance has started for the `n`th time; returns the status of the answer.
    async fn report(&self, n: u64) -> Option<u16> {
        report(&self.site.address(7_800), &self.server.address, n).await
    }

    async fn revision(&self) -> u64 {
        self.daemon.metric("cherrystream_revision_index").await as u64
    }

    /// Returns how often the daemon has left a replica.
    async fn left(&self) -> f64 {
        let silent = "cherrystream_sync_calls_total{reason=\"silent\"}";
        let lost = self.daemon.metric("cherrystream_control_errors_total").await;
        lost + self.daemon.metric(silent).await
    }

    /// Accepts a change at the leader, as another replica may be suspended; returns the revision.
    async fn accept(&self, name: &str) -> String {
        let api = self.site.api(self.leader);
        let intent = json!({"intent": "put-service", "service": name, "measuring_per_second": 5});
        let planned = self.site.intend(&api, &intent).await.unwrap();
        assert_eq!(planned.status, 201, "{:?}", planned.body);
        let plan = planned.json()["plan"].as_str().unwrap().to_string();
        let confirmed = self.site.confirm(&api, &plan).await.unwrap();
        assert_eq!(confirmed.status, 200, "{:?}", confirmed.body);
        confirmed.json()["revision"].as_str().unwrap().to_string()
    }

    /// Accepts a change, and returns the time until it is in force at the daemon.
    async fn change(&self, name: &str) -> Option<Duration> {
        let revision = self.accept(name).await;
        let start = Instant::now();
        let index: u64 = revision.rsplit(['.', '-']).next().unwrap().parse().unwrap();
        while start.elapsed() < GIVE_UP {
            if self.revision().await >= index {
                return Some(start.elapsed());
            }
            tokio::time::sleep(PAUSE).await;
        }
        None
    }

    /// Accepts two changes, and returns those that were late. A heartbeat that control received
    /// before the silence can still deliver the first one.
    async fn late_changes(&self, silenced: Silenced) -> Vec<String> {
        let mut late = Vec::new();
        for name in ["first", "second"] {
            let took = self.change(name).await;
            println!("{silenced:?}: the {name} change is in force after {took:?}");
            if took.is_none_or(|took| took > RECOVERY_TIMEOUT) {
                late.push(format!("{silenced:?}: the {name} change took {took:?}"));
            }
        }
        late
    }
}

/// Reports that the instance has started for the `n`th time.
async fn report(address: &str, server: &str, n: u64) -> Option<u16> {
    let instance = json!({
        "id": "server-a", "service": SERVICE, "address": server, "slots": 12, "state": "live",
        "sequence": 1, "born_ms": n, "version": "v1",
    });
    let ask = Ask { method: "PUT", ..Ask::post("/v1/instances/server-a", instance.to_string()) };
    Some(client::send(address, &ask).await?.status.as_u16())
}

const SILENCES: [Silenced; 3] = [Silenced::Both, Silenced::There, Silenced::Back];

/// Guards against a daemon that waits for the timeout of its heartbeat call.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_reaches_a_daemon_whose_connection_to_control_went_silent() {
    let mut late = Vec::new();
    for silenced in SILENCES {
        let fleet = Fleet::start().await;
        fleet.silence(silenced);
        late.extend(fleet.late_changes(silenced).await);
    }
    assert!(late.is_empty(), "not within {RECOVERY_TIMEOUT:?}:\n{}", late.join("\n"));
}

/// Guards against a daemon that never notices the silence, because it abandons each heartbeat call
/// for a local change before the call times out.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_reaches_a_daemon_that_abandons_its_heartbeats_on_a_silent_connection() {
    let mut late = Vec::new();
    for silenced in SILENCES {
        let fleet = Fleet::start().await;
        let (address, server) = (fleet.site.address(7_800), fleet.server.address.clone());
        let reports = tokio::spawn(async move {
            for n in 2.. {
                // The report waits for its registration; the next one is sent meanwhile.
                let (address, server) = (address.clone(), server.clone());
                tokio::spawn(async move { report(&address, &server, n).await });
                tokio::time::sleep(REPORT_INTERVAL).await;
            }
        });
        tokio::time::sleep(REPORT_INTERVAL).await;
        fleet.silence(silenced);
        late.extend(fleet.late_changes(silenced).await);
        reports.abort();
    }
    assert!(late.is_empty(), "not within {RECOVERY_TIMEOUT:?}:\n{}", late.join("\n"));
}

/// Guards against instances that are not registered until the timeout of a heartbeat call.
#[tokio::test(flavor = "multi_thread")]
async fn a_report_is_acknowledged_at_once_or_when_it_is_repeated_after_a_silence() {
    let mut late = Vec::new();
    for silenced in SILENCES {
        let fleet = Fleet::start().await;
        fleet.silence(silenced);
        let first = fleet.report(2).await;
        if first != Some(200) {
            tokio::time::sleep(REPORT_RETRY_DELAY).await;
        }
        let second = fleet.report(2).await;
        println!("{silenced:?}: answers to the report {first:?} and {second:?}");
        if second != Some(200) {
            late.push(format!("{silenced:?}: {first:?}, {second:?}"));
        }
    }
    assert!(late.is_empty(), "not acknowledged:\n{}", late.join("\n"));
}

/// Guards against a daemon without configuration behind followers whose connections to the leader
/// are silent.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_starts_after_a_silence_between_replicas_gets_its_configuration() {
    let mut late = Vec::new();
    for silenced in SILENCES {
        let (site, relays) = linked_control().await;
        site.put_service(SERVICE).await;
        let leader = site.leader().await;
        relays.iter().filter(|(to, _)| *to == leader).for_each(|(_, r)| r.silence(silenced));
        let followers = (1..=REPLICAS).filter(|r| *r != leader).map(|r| site.rpc(r));
        let control = Some(followers.collect::<Vec<_>>().join(", "));
        let opts = DaemonOptions { control, ..DaemonOptions::default() };
        let start = Instant::now();
        let daemon = site.start_daemon_with("host-a", "a", 1, &opts);
        while daemon.metric("cherrystream_revision_index").await == 0.0 && start.elapsed() < GIVE_UP
        {
            tokio::time::sleep(PAUSE).await;
        }
        let took = start.elapsed();
        println!("{silenced:?}: the daemon has its configuration after {took:?}");
        if took > RECOVERY_TIMEOUT {
            late.push(format!("{silenced:?}: {took:?}"));
        }
    }
    assert!(late.is_empty(), "not within {RECOVERY_TIMEOUT:?}:\n{}", late.join("\n"));
}

/// Starts replicas that reach each other by relays, and returns the relays with the replica that
/// each leads to. Every connection is open.
async fn linked_control() -> (Site, Vec<(u64, Relay)>) {
    let mut site = Site::new(REPLICAS);
    let mut relays = Vec::new();
    for from in 1..=REPLICAS {
        for to in (1..=REPLICAS).filter(|to| *to != from) {
            let listen = site.address(7_600 + (from * 10 + to) as u16);
            let relay = Relay::start(&listen, &site.rpc(to)).await;
            site.control_lines.push(((from, to), relay.address.clone()));
            relays.push((to, relay));
        }
    }
    (1..=REPLICAS).for_each(|replica| site.start_control(replica));
    for replica in 1..=REPLICAS {
        wait::until("the replica answers", || async {
            let answer = client::send(&site.api(replica), &Ask::get("/v1/config")).await?;
            (answer.status == 200).then_some(())
        })
        .await;
    }
    (site, relays)
}

/// Guards against claims that are sent on a silent connection again and again because their callers
/// leave before the error is seen, and against orders that run twice.
#[tokio::test(flavor = "multi_thread")]
async fn orders_succeed_again_after_a_silence_and_run_once() {
    let mut late = Vec::new();
    for (silenced, patience) in SILENCES.iter().flat_map(|s| PATIENCES.map(|p| (*s, p))) {
        let fleet = Fleet::start().await;
        let before = first_order(&fleet.daemon.caller, patience, 0).await;
        assert_eq!(before.failure, None, "an order failed before the silence");
        fleet.silence(silenced);
        let mut callers = tokio::task::JoinSet::new();
        for caller in 1..=CALLERS {
            let address = fleet.daemon.caller.clone();
            callers.spawn(async move { first_order(&address, patience, caller).await });
        }
        let placed = callers.join_all().await;
        println!("{silenced:?}, {patience:?}: {:?}", placed.iter().map(|p| p.took).max());
        let is_late = |p: &&Placed| p.took.is_none_or(|took| took > RECOVERY_TIMEOUT);
        late.extend(placed.iter().filter(is_late).map(|p| format!("{silenced:?}: {p:?}")));
        let mut runs = HashMap::<String, u32>::new();
        fleet.server.runs().into_iter().for_each(|key| *runs.entry(key).or_default() += 1);
        assert!(runs.values().all(|count| *count == 1), "{silenced:?}: {runs:?}");
    }
    assert!(late.is_empty(), "not within {RECOVERY_TIMEOUT:?}:\n{}", late.join("\n"));
}

/// The first order of a caller that succeeded.
#[derive(Debug)]
struct Placed {
    /// Time until then, if any did.
    took: Option<Duration>,
    /// The last failure before.
    failure: Option<String>,
}

/// Places orders until one succeeds. Each key is sent twice before the next one is used, as a caller
/// does that does not know whether its order ran.
async fn first_order(address: &str, patience: Duration, caller: u64) -> Placed {
    let start = Instant::now();
    let mut failure = None;
    for n in 0.. {
        if start.elapsed() > GIVE_UP {
            break;
        }
        let key = format!("key-{caller}-{}", n / 2);
        let ask = Ask::post("/orders", format!("pay {key}")).service(SERVICE).key(&key);
        match tokio::time::timeout(patience, client::send(address, &ask)).await {
            Ok(Some(answer)) if answer.status == 200 => {
                return Placed { took: Some(start.elapsed()), failure };
            }
            Ok(answer) => failure = answer.map(|a| format!("{} {}", a.status, a.reason())),
            Err(_) => failure = Some("no answer".into()),
        }
        tokio::time::sleep(PAUSE).await;
    }
    Placed { took: None, failure }
}

/// Guards against a daemon that leaves replicas again and again while one is suspended: it leaves
/// each at most once for a suspension, and changes still reach it.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_leaves_a_suspended_replica_at_most_once() {
    const SUSPENSIONS_S: [u64; 3] = [1, 2, 4];
    let mut fleet = Fleet::start_with(1..REPLICAS).await;
    let followers: Vec<u64> = (1..=REPLICAS).filter(|r| *r != fleet.leader).collect();
    let before = fleet.left().await;
    for (seconds, follower) in
        SUSPENSIONS_S.iter().flat_map(|s| followers.iter().map(move |f| (s, f)))
    {
        fleet.site.control(*follower).signal(Signal::SIGSTOP);
        tokio::time::sleep(Duration::from_secs(*seconds)).await;
        let took = fleet.change(&format!("change-{seconds}-{follower}")).await;
        fleet.site.control(*follower).signal(Signal::SIGCONT);
        println!("replica {follower} suspended for {seconds} s: in force after {took:?}");
        assert!(took.is_some_and(|took| took <= RECOVERY_TIMEOUT), "{took:?}");
    }
    let left = fleet.left().await - before;
    println!("replicas left: {left}");
    let suspensions = SUSPENSIONS_S.len() * followers.len();
    assert!(left <= suspensions as f64, "the daemon left replicas {left} times");
}

/// Guards against a daemon that takes its own suspension for a silence of control.
#[tokio::test(flavor = "multi_thread")]
async fn a_suspended_daemon_keeps_its_connection() {
    let fleet = Fleet::start().await;
    let before = fleet.left().await;
    for seconds in [1, 2, 4] {
        fleet.daemon.process.signal(Signal::SIGSTOP);
        tokio::time::sleep(Duration::from_secs(seconds)).await;
        fleet.daemon.process.signal(Signal::SIGCONT);
        let took = fleet.change(&format!("change-{seconds}")).await;
        assert!(took.is_some_and(|took| took <= RECOVERY_TIMEOUT), "{took:?}");
    }
    let left = fleet.left().await - before;
    assert_eq!(left, 0.0, "the daemon left replicas");
}
