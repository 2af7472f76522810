//! Open connections that go silent for good, without a reset, while new ones work.

use super::orders;
use super::support::client::{self, Ask};
use super::support::relay::{Mode, Relay, Silenced};
use super::support::site::Site;
use super::support::wait;
use serde_json::json;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Longest time until every replica answers again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a replica is no longer asked.
const GIVE_UP: Duration = Duration::from_secs(8);
/// A link of 85 KB a second.
const THIN: Mode = Mode::Rate(85_000);
/// Size of a large intent in bytes, below the largest that is accepted.
const INTENT_BYTES: usize = 250_000;
/// Silences of all connections in one run.
const ROUNDS: usize = 3;
/// Longest time until a call is refused whose leader is known to be unreachable.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest time until a status with an unreachable replica is answered.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);
/// Port of the metrics of replica 0; those of the others follow.
const METRICS_PORT: u16 = 7500;
/// Time without calls in which working connections are watched.
const QUIET_TIME: Duration = Duration::from_secs(5);
/// Most connections that are replaced in that time. A busy machine may delay an answer.
const MAX_REPLACED: u64 = 2;
/// Pause between two calls of one operator.
const CALL_PAUSE: Duration = Duration::from_millis(20);
/// Times after which operators give up a call.
const PATIENCES: [Duration; 3] =
    [Duration::from_millis(300), Duration::from_secs(1), Duration::from_secs(5)];

/// Three control replicas, each of which reaches the others by relays.
struct Group {
    site: Site,
    relays: BTreeMap<(u64, u64), Relay>,
}

impl Group {
    async fn start() -> Group {
        let mut site = Site::new(3);
        let mut relays = BTreeMap::new();
        for from in 1..=3 {
            for to in (1..=3).filter(|to| *to != from) {
                let port = 7600 + (from * 10 + to) as u16;
                let relay = Relay::start(&site.address(port), &site.rpc(to)).await;
                site.control_lines.push(((from, to), relay.address.clone()));
                relays.insert((from, to), relay);
            }
        }
        for replica in 1..=3 {
            // The table of routes is replaced and read by the calls of this interface.
            let metrics = site.address(METRICS_PORT + replica as u16);
            site.control_top_lines =
                vec!["interface: platform".into(), format!("metrics_address: {metrics}")];
            site.start_control(replica);
        }
        // Every replica has open connections before they go silent.
        for replica in 1..=3 {
            for ask in [Ask::get("/v1/config"), replace(replica), read_table()] {
                wait::until("the replica answers", || async {
                    let answer = client::send(&site.api(replica), &ask).await?;
                    (answer.status == 200).then_some(())
                })
                .await;
            }
        }
        Group { site, relays }
    }

    fn silence(&self, silenced: Silenced, affects: impl Fn(u64, u64) -> bool) {
        let affected = self.relays.iter().filter(|((from, to), _)| affects(*from, *to));
        affected.for_each(|(_, relay)| relay.silence(silenced));
    }
}

impl Group {
    /// Returns the metrics page of a replica.
    async fn metrics(&self, replica: u64) -> String {
        let address = self.site.address(METRICS_PORT + replica as u16);
        wait::until("the replica returns its metrics", || async {
            let answer = client::send(&address, &Ask::get("/metrics")).await?;
            Some(String::from_utf8(answer.body.to_vec()).unwrap())
        })
        .await
    }

    /// Returns how many silent connections a replica has replaced.
    async fn replaced(&self, replica: u64, traffic: &str) -> u64 {
        let name = "cherrystream_control_replica_connections_replaced_total";
        let name = format!("{name}{{traffic=\"{traffic}\"}} ");
        let page = self.metrics(replica).await;
        let value = page.lines().find_map(|line| line.strip_prefix(&name));
        value.map_or(0, |value| value.parse().unwrap())
    }

    /// Returns how many silent connections all replicas have replaced.
    async fn all_replaced(&self) -> u64 {
        let mut all = 0;
        for replica in 1..=3 {
            for traffic in ["log", "call"] {
                all += self.replaced(replica, traffic).await;
            }
        }
        all
    }

    /// Returns the log of a replica.
    fn log(&self, replica: u64) -> String {
        let log = self.site.folder.path().join(format!("control-{replica}.log"));
        std::fs::read_to_string(log).unwrap()
    }
}

/// Calls a replica again and again, and returns the time until its first successful answer.
async fn first_answer(
    api: String,
    patience: Duration,
    ask: impl Fn(u32) -> Ask,
) -> Option<Duration> {
    let start = Instant::now();
    for n in 0.. {
        if start.elapsed() > GIVE_UP {
            break;
        }
        let answer = tokio::time::timeout(patience, client::send(&api, &ask(n))).await;
        if answer.ok().flatten().is_some_and(|answer| answer.status.is_success()) {
            return Some(start.elapsed());
        }
        tokio::time::sleep(CALL_PAUSE).await;
    }
    None
}

fn read_table() -> Ask {
    Ask::post(orders::READ, "")
}

/// Returns the call that replaces the table of routes.
fn replace(number: u64) -> Ask {
    let route = orders::RouteLine {
        name: format!("route-{number}"),
        host: "silence.example".into(),
        path_prefix: "/".into(),
        repeatable: true,
        timeout_s: 5,
        attempts: 2,
    };
    Ask::post(orders::REPLACE, orders::table(number, "quotes", std::iter::once(route)))
}

fn intent(replica: u64, n: u32) -> Ask {
    let name = format!("added-{replica}-{n}");
    let intent = json!({"intent": "put-service", "service": name, "measuring_per_second": 5});
    Ask::post("/v1/intents", intent.to_string())
}

/// Silences connections of a group; returns what did not succeed in time.
async fn violations(
    silenced: Silenced,
    patience: Duration,
    affects: impl Fn(u64, u64, u64) -> bool,
) -> Vec<String> {
    let group = Group::start().await;
    let leader = group.site.leader().await;
    group.silence(silenced, |from, to| affects(leader, from, to));
    let mut late = Vec::new();
    let mut calls = tokio::task::JoinSet::new();
    for replica in 1..=3 {
        let api = group.site.api(replica);
        let read = first_answer(api.clone(), patience, |_| Ask::get("/v1/config"));
        let change = first_answer(api.clone(), patience, move |n| intent(replica, n));
        let read_table = first_answer(api.clone(), patience, |_| read_table());
        let replace =
            first_answer(api, patience, move |n| replace(10 * u64::from(n + 1) + replica));
        calls.spawn(async move { (replica, "read", read.await) });
        calls.spawn(async move { (replica, "intent", change.await) });
        calls.spawn(async move { (replica, "read of the table", read_table.await) });
        calls.spawn(async move { (replica, "replacement of the table", replace.await) });
    }
    for (replica, call, took) in calls.join_all().await {
        if took.is_none_or(|took| took > RECOVERY_TIMEOUT) {
            late.push(format!(
                "{call} at replica {replica} (leader {leader}, {silenced:?}, {patience:?}): {took:?}"
            ));
        }
    }
    late
}

async fn check(affects: impl Fn(u64, u64, u64) -> bool + Copy) {
    let mut late = Vec::new();
    for patience in PATIENCES {
        let (both, there, back) = tokio::join!(
            violations(Silenced::Both, patience, affects),
            violations(Silenced::There, patience, affects),
            violations(Silenced::Back, patience, affects),
        );
        late.extend([both, there, back].concat());
    }
    assert!(late.is_empty(), "not within {RECOVERY_TIMEOUT:?}:\n{}", late.join("\n"));
}

/// Guards against followers that send calls on a silent connection to the leader for good.
#[tokio::test(flavor = "multi_thread")]
async fn followers_answer_after_their_connections_to_the_leader_go_silent() {
    check(|leader, from, to| from != leader && to == leader).await;
}

/// Guards against replicas that stay unreachable for each other after an election.
#[tokio::test(flavor = "multi_thread")]
async fn replicas_answer_after_all_connections_between_them_go_silent() {
    check(|_, _, _| true).await;
}

/// Sends one read and one intent to every replica; returns those that fail.
async fn failures(group: &Group) -> Vec<String> {
    let mut calls = tokio::task::JoinSet::new();
    for replica in 1..=3 {
        for (call, ask) in [("read", Ask::get("/v1/config")), ("intent", intent(replica, 0))] {
            let api = group.site.api(replica);
            calls.spawn(async move {
                let start = Instant::now();
                let answer = tokio::time::timeout(GIVE_UP, client::send(&api, &ask)).await;
                let status = answer.ok().flatten().map(|answer| answer.status);
                (format!("{call} at replica {replica}"), status, start.elapsed())
            });
        }
    }
    let answers = calls.join_all().await.into_iter();
    let failed = answers.filter(|(_, status, took)| {
        !status.is_some_and(|status| status.is_success()) || *took > RECOVERY_TIMEOUT
    });
    failed.map(|(call, status, took)| format!("{call}: {status:?} after {took:?}")).collect()
}

/// Guards against calls that fail because their connection is replaced.
#[tokio::test(flavor = "multi_thread")]
async fn calls_that_are_sent_on_silent_connections_succeed() {
    for silenced in [Silenced::Both, Silenced::There, Silenced::Back] {
        let group = Group::start().await;
        let leader = group.site.leader().await;
        group.silence(silenced, |from, to| from != leader && to == leader);
        assert_eq!(failures(&group).await, Vec::<String>::new(), "{silenced:?}");
    }
}

async fn term(group: &Group) -> u64 {
    wait::until("the status is known", || async {
        group.site.status().await.map(|status| status.term)
    })
    .await
}

/// Silences all connections between replicas again and again; returns the number of elections.
async fn elections(silenced: Silenced) -> u64 {
    let group = Group::start().await;
    let before = term(&group).await;
    for _ in 0..ROUNDS {
        group.silence(silenced, |_, _| true);
        tokio::time::sleep(RECOVERY_TIMEOUT).await;
    }
    term(&group).await - before
}

/// Guards against a leader that loses its quorum before its connections are replaced.
#[tokio::test(flavor = "multi_thread")]
async fn silence_between_replicas_causes_no_election() {
    let elections = tokio::join!(
        elections(Silenced::Both),
        elections(Silenced::There),
        elections(Silenced::Back),
    );
    assert_eq!(elections, (0, 0, 0), "elections after silence in both, there, back");
}

/// Guards against a replica that answers nothing and delays every status by the timeout of its
/// query.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_without_answers_does_not_delay_every_status() {
    let group = Group::start().await;
    let leader = group.site.leader().await;
    let api = group.site.api(leader);
    let dark = (1..=3).find(|replica| *replica != leader).unwrap();
    let relays = group.relays.iter().filter(|((from, to), _)| *from == dark || *to == dark);
    relays.for_each(|(_, relay)| relay.set(Mode::Hold));
    tokio::time::sleep(RECOVERY_TIMEOUT).await;
    for _ in 0..5 {
        let start = Instant::now();
        let answer = client::send(&api, &Ask::get("/v1/status")).await.unwrap();
        assert_eq!(answer.status, 200);
        assert!(start.elapsed() < STATUS_TIMEOUT, "{:?}", start.elapsed());
    }
}

/// Guards against large operator calls that time out on their way to the leader.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_intent_reaches_the_leader_over_a_thin_link() {
    let group = Group::start().await;
    let leader = group.site.leader().await;
    let follower = (1..=3).find(|replica| *replica != leader).unwrap();
    group.relays[&(follower, leader)].set(THIN);
    let intent = json!({"intent": "put-service", "service": "added", "measuring_per_second": 5});
    let padded = format!("{intent}{}", " ".repeat(INTENT_BYTES));
    let ask = Ask::post("/v1/intents", padded);
    let answer = client::send(&group.site.api(follower), &ask).await.unwrap();
    assert_eq!(answer.status, 201, "{answer:?}");
    let short = Ask::get("/v1/config");
    assert_eq!(client::send(&group.site.api(follower), &short).await.unwrap().status, 200);
}

/// Guards against callers that wait for a leader that is known to be unreachable.
#[tokio::test(flavor = "multi_thread")]
async fn calls_fail_at_once_while_the_leader_is_known_to_be_unreachable() {
    let group = Group::start().await;
    let leader = group.site.leader().await;
    let follower = (1..=3).find(|replica| *replica != leader).unwrap();
    // The leader still reaches the follower, which therefore keeps following it.
    let relay = &group.relays[&(follower, leader)];
    relay.set(Mode::Hold);
    tokio::time::sleep(RECOVERY_TIMEOUT).await;
    for ask in [Ask::get("/v1/config"), intent(follower, 0)] {
        let start = Instant::now();
        let answer = client::send(&group.site.api(follower), &ask).await.unwrap();
        assert_eq!(answer.status, 503);
        assert!(start.elapsed() < REFUSAL_TIMEOUT, "{:?}", start.elapsed());
    }
    relay.set(Mode::Pass);
    let api = group.site.api(follower);
    let patience = PATIENCES[0];
    let took = first_answer(api, patience, |_| Ask::get("/v1/config")).await;
    assert!(took.is_some_and(|took| took < RECOVERY_TIMEOUT), "{took:?}");
}

/// Guards against working connections that are replaced again and again.
#[tokio::test(flavor = "multi_thread")]
async fn working_connections_are_not_replaced() {
    let group = Group::start().await;
    tokio::time::sleep(QUIET_TIME).await;
    let replaced = group.all_replaced().await;
    assert!(replaced <= MAX_REPLACED, "{replaced} connections were replaced");
}

/// Guards against silent connections that operators cannot see in the metrics and the log.
#[tokio::test(flavor = "multi_thread")]
async fn replaced_connections_are_counted_and_logged() {
    let group = Group::start().await;
    let leader = group.site.leader().await;
    let follower = (1..=3).find(|replica| *replica != leader).unwrap();
    let peer = &group.relays[&(follower, leader)].address;
    for traffic in ["log", "call"] {
        let before = group.replaced(follower, traffic).await;
        let line = format!("silent connection replaced: traffic={traffic} peer={peer} age=");
        let lines_before = group.log(follower).matches(&line).count();
        group.silence(Silenced::Both, |from, to| from == follower && to == leader);
        let what = format!("the replaced connection for {traffic} is counted and logged");
        wait::until(&what, || async {
            // Calls open the connection for calls.
            client::send(&group.site.api(follower), &Ask::get("/v1/config")).await?;
            let counted = group.replaced(follower, traffic).await > before;
            let logged = group.log(follower).matches(&line).count() > lines_before;
            (counted && logged).then_some(())
        })
        .await;
    }
}
