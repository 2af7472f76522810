//! Commands of operators that control receives or carries out late, when newer ones are acknowledged.
//!
//! `LATE_COMMANDS` is the number of commands of each test, 4 by default.

use super::orders;
use super::support::client::{self, Answer, Ask};
use super::support::relay::{Mode, Relay};
use super::support::site::Site;
use super::support::wait;
use cherrystream_core::workspaces;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const REPLICAS: u64 = 3;
/// Time after which an operator sends a command to another replica.
const PATIENCE: Duration = Duration::from_secs(1);
/// Time between the acknowledgement of the newer command and the end of the disturbance.
const DISTURBANCE_TAIL: Duration = Duration::from_millis(300);
/// Time after a disturbance in which the newer command must stay in force.
const OBSERVATION_TIME: Duration = Duration::from_secs(2);
/// Pause between two reads.
const READ_INTERVAL: Duration = Duration::from_millis(50);
/// Commands of a test in CI.
const CI_COMMANDS: u64 = 4;

/// What keeps a replica from carrying out a command in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disturbance {
    /// The replica that receives the command is suspended.
    Suspended,
    /// The bytes between the operator and the replica are held.
    Held,
    /// The bytes from the replica to the other ones are held.
    HeldBetweenReplicas,
}

/// The replica that receives the old command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Receiver {
    Leader,
    Follower,
}

/// What the operator does with the connection of the old command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Caller {
    Closes,
    Stays,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    disturbance: Disturbance,
    receiver: Receiver,
    caller: Caller,
}

/// When the connection of the old command is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Connection {
    BeforeDisturbance,
    DuringDisturbance,
}

/// Three replicas, the API of each behind a relay, and the lines between them behind relays.
struct Group {
    site: Site,
    apis: Vec<Relay>,
    lines: Vec<((u64, u64), Relay)>,
}

impl Group {
    async fn start() -> Group {
        let mut site = Site::new(REPLICAS);
        site.control_top_lines.push("interface: platform".into());
        let mut lines = Vec::new();
        for (from, to) in [(1, 2), (1, 3), (2, 1), (2, 3), (3, 1), (3, 2)] {
            let relay = Relay::start(&site.address(0), &site.rpc(to)).await;
            site.control_lines.push(((from, to), relay.address.clone()));
            lines.push(((from, to), relay));
        }
        (1..=REPLICAS).for_each(|replica| site.start_control(replica));
        let mut apis = Vec::new();
        for replica in 1..=REPLICAS {
            let listen = site.address(7_900 + replica as u16);
            apis.push(Relay::start(&listen, &site.api(replica)).await);
        }
        site.leader().await;
        Group { site, apis, lines }
    }

    fn api(&self, replica: u64) -> &Relay {
        &self.apis[replica as usize - 1]
    }

    fn begin(&mut self, disturbance: Disturbance, replica: u64) {
        match disturbance {
            Disturbance::Suspended => self.site.control(replica).suspend(),
            Disturbance::Held => self.api(replica).set(Mode::Hold),
            Disturbance::HeldBetweenReplicas => self.set_lines_from(replica, Mode::Hold),
        }
    }

    fn end(&mut self, disturbance: Disturbance, replica: u64) {
        match disturbance {
            Disturbance::Suspended => self.site.control(replica).signal(Signal::SIGCONT),
            Disturbance::Held => self.api(replica).set(Mode::Pass),
            Disturbance::HeldBetweenReplicas => self.set_lines_from(replica, Mode::Pass),
        }
    }

    fn set_lines_from(&self, replica: u64, mode: Mode) {
        let from = self.lines.iter().filter(|((from, _), _)| *from == replica);
        from.for_each(|(_, relay)| relay.set(mode));
    }

    /// Returns the leader and the other replicas.
    async fn leader_and_followers(&self) -> (u64, Vec<u64>) {
        let leader = self.site.leader().await;
        (leader, (1..=REPLICAS).filter(|replica| *replica != leader).collect())
    }

    /// Sends a call to replicas in turn until one gives a clear answer.
    async fn send_until_answered(&self, replicas: &[u64], ask: &Ask) -> Answer {
        let start = Instant::now();
        for replica in replicas.iter().cycle() {
            let answer = client::send(&self.api(*replica).address, ask);
            if let Ok(Some(answer)) = tokio::time::timeout(PATIENCE, answer).await
                && !answer.status.is_server_error()
            {
                return answer;
            }
            assert!(start.elapsed() < wait::TIMEOUT, "no clear answer to {ask:?}");
            tokio::time::sleep(READ_INTERVAL).await;
        }
        unreachable!("there are replicas")
    }

    async fn command(&self, replicas: &[u64], path: &str) {
        let answer = self.send_until_answered(replicas, &Ask::post(path, "")).await;
        assert_eq!(answer.status, 200, "{path}: {:?}", answer.body);
    }

    /// Returns the configuration, as one of the replicas reads it.
    async fn config(&self, replicas: &[u64]) -> Value {
        let answer = self.send_until_answered(replicas, &Ask::get("/v1/config")).await;
        assert_eq!(answer.status, 200, "{:?}", answer.body);
        answer.json()["config"].clone()
    }

    /// Returns whether a condition on the configuration holds while late commands may arrive.
    async fn stays(&self, condition: impl Fn(&Value) -> bool) -> bool {
        let all: Vec<u64> = (1..=REPLICAS).collect();
        let start = Instant::now();
        while start.elapsed() < OBSERVATION_TIME {
            if !condition(&self.config(&all).await) {
                return false;
            }
            tokio::time::sleep(READ_INTERVAL).await;
        }
        for replica in all {
            if !condition(&self.config(&[replica]).await) {
                return false;
            }
        }
        true
    }

    /// Sends the old command while its receiver is disturbed, carries out `newer` at the other
    /// replicas, and ends the disturbance.
    async fn send_late(
        &mut self,
        case: Case,
        connection: Connection,
        old: &str,
        newer: impl AsyncFnOnce(&Group, &[u64]),
    ) {
        let (leader, followers) = self.leader_and_followers().await;
        let receiver = match case.receiver {
            Receiver::Leader => leader,
            Receiver::Follower => followers[0],
        };
        let others: Vec<u64> = (1..=REPLICAS).filter(|replica| *replica != receiver).collect();
        // The kernel accepts connections for a suspended process.
        let connect = TcpStream::connect(self.api(receiver).address.clone());
        let mut stream = match connection {
            Connection::BeforeDisturbance => {
                let stream = connect.await.unwrap();
                // The relay connects to the replica.
                tokio::time::sleep(READ_INTERVAL).await;
                self.begin(case.disturbance, receiver);
                stream
            }
            Connection::DuringDisturbance => {
                self.begin(case.disturbance, receiver);
                connect.await.unwrap()
            }
        };
        let head = format!("POST {old} HTTP/1.1\r\nhost: control\r\ncontent-length: 0\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        tokio::time::sleep(PATIENCE).await;
        let kept = (case.caller == Caller::Stays).then_some(stream);
        newer(self, &others).await;
        tokio::time::sleep(DISTURBANCE_TAIL).await;
        self.end(case.disturbance, receiver);
        tokio::time::sleep(DISTURBANCE_TAIL).await;
        drop(kept);
    }
}

fn commands() -> u64 {
    std::env::var("LATE_COMMANDS").ok().and_then(|n| n.parse().ok()).unwrap_or(CI_COMMANDS)
}

fn connection(n: u64) -> Connection {
    match n / 2 % 2 {
        0 => Connection::DuringDisturbance,
        _ => Connection::BeforeDisturbance,
    }
}

fn is_evacuated(config: &Value, failure_domain: &str) -> bool {
    let out = config["failure_domains_out"].as_array();
    out.is_some_and(|out| out.iter().any(|domain| domain == failure_domain))
}

/// Asserts that an acknowledged evacuation, or its acknowledged end, is not undone by an older
/// command that is carried out late.
async fn assert_newer_command_holds(disturbance: Disturbance, receiver: Receiver, caller: Caller) {
    let case = Case { disturbance, receiver, caller };
    let mut group = Group::start().await;
    let mut undone = Vec::new();
    for n in 0..commands() {
        let domain = format!("d-{n}");
        let (start, end) = (orders::evacuate(&domain), orders::end_evacuation(&domain));
        let all: Vec<u64> = (1..=REPLICAS).collect();
        let connection = connection(n);
        // Half of the commands are starts that arrive after an acknowledged end.
        let starts_late = n % 2 == 1;
        let (old, newest) = if starts_late { (&start, &end) } else { (&end, &start) };
        group.command(&all, newest).await;
        let newer = async |group: &Group, others: &[u64]| {
            group.command(others, old).await;
            let reversed: Vec<u64> = others.iter().rev().copied().collect();
            group.command(&reversed, newest).await;
        };
        group.send_late(case, connection, old, newer).await;
        if !group.stays(|config| is_evacuated(config, &domain) != starts_late).await {
            undone.push(n);
        }
    }
    println!("{case:?}: {} of {} newer commands undone: {undone:?}", undone.len(), commands());
    assert!(undone.is_empty(), "{case:?}: newer commands undone: {undone:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_command_in_the_socket_of_a_suspended_follower_undoes_no_newer_one() {
    assert_newer_command_holds(Disturbance::Suspended, Receiver::Follower, Caller::Closes).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_command_of_a_waiting_caller_in_the_socket_of_a_suspended_follower_undoes_no_newer_one() {
    assert_newer_command_holds(Disturbance::Suspended, Receiver::Follower, Caller::Stays).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_command_in_the_socket_of_a_suspended_leader_undoes_no_newer_one() {
    assert_newer_command_holds(Disturbance::Suspended, Receiver::Leader, Caller::Closes).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_command_of_a_waiting_caller_in_the_socket_of_a_suspended_leader_undoes_no_newer_one() {
    assert_newer_command_holds(Disturbance::Suspended, Receiver::Leader, Caller::Stays).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_command_that_is_held_on_the_way_to_a_follower_undoes_no_newer_one() {
    assert_newer_command_holds(Disturbance::Held, Receiver::Follower, Caller::Closes).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_command_that_is_held_on_the_way_to_the_leader_undoes_no_newer_one() {
    assert_newer_command_holds(Disturbance::Held, Receiver::Leader, Caller::Closes).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_command_that_is_held_between_replicas_undoes_no_newer_one() {
    let disturbance = Disturbance::HeldBetweenReplicas;
    assert_newer_command_holds(disturbance, Receiver::Follower, Caller::Closes).await;
}

/// Guards against a key that is in force although its operator was told that it does not exist.
#[tokio::test(flavor = "multi_thread")]
async fn a_confirmation_that_is_read_late_adds_no_key_that_was_revoked() {
    let case = Case {
        disturbance: Disturbance::Suspended,
        receiver: Receiver::Follower,
        caller: Caller::Closes,
    };
    let mut group = Group::start().await;
    group.site.accept(json!({"intent": "put-workspace", "workspace": "mine"})).await;
    let mut added = Vec::new();
    for n in 0..commands() {
        let key_digest = workspaces::digest(&format!("key-{n}"));
        let intent = |name: &str| {
            json!({"intent": name, "workspace": "mine", "key_digest": key_digest}).to_string()
        };
        let all: Vec<u64> = (1..=REPLICAS).collect();
        let add = Ask::post("/v1/intents", intent("add-key"));
        let planned = group.send_until_answered(&all, &add).await;
        assert_eq!(planned.status, 201, "{:?}", planned.body);
        let plan = planned.json()["plan"].as_str().unwrap().to_string();
        let revoke = Ask::post("/v1/intents", intent("revoke-key"));
        let newer = async |group: &Group, others: &[u64]| {
            let revoked = group.send_until_answered(others, &revoke).await;
            assert_eq!(revoked.status, 404, "{:?}", revoked.body);
        };
        let confirm = format!("/v1/plans/{plan}/confirm");
        group.send_late(case, connection(n), &confirm, newer).await;
        let holds = |config: &Value| {
            let digests = config["workspaces"]["mine"]["key_digests"].as_array();
            digests.is_some_and(|digests| digests.iter().any(|digest| *digest == key_digest))
        };
        if !group.stays(|config| !holds(config)).await {
            added.push(n);
        }
    }
    println!("{} of {} revoked keys were added: {added:?}", added.len(), commands());
    assert!(added.is_empty(), "revoked keys were added: {added:?}");
}
