//! Control hosts whose member slot is reassigned while they are unreachable.

use super::support::client::{self, Ask};
use super::support::process::{self, Process};
use super::support::site::Site;
use super::support::wait;
use nix::sys::signal::Signal;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;
use std::{env, fs};

/// Logged by a host that has lost its member slot.
const SLOT_LOST: &str = "it requests a new slot when it starts again";
/// Time for which a host that has lost its member slot is watched.
const WATCH_TIME: Duration = Duration::from_secs(3);

/// Time that a replacement has until it votes.
const VOTE_TIMEOUT: Duration = Duration::from_secs(7);
/// Longest time from the loss of a host until its replacement starts, in milliseconds.
const MAX_REPLACEMENT_DELAY_MS: u64 = 2_500;
/// Signals with which hosts are lost: without a word, with closed connections, and by plan.
const LOSSES: [Signal; 3] = [Signal::SIGSTOP, Signal::SIGKILL, Signal::SIGTERM];
/// Seeds of the drawn replacements, unless `REPLACEMENT_SEEDS` is set.
const DEFAULT_SEEDS: u64 = 1;
/// Silence of a lost host until its replacement starts.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(2);

/// Control hosts that find their group by the seeds 1 to 3.
struct Hosts {
    site: Site,
    /// Ports of the replicas, the same on all hosts. Tests share the addresses of hosts.
    rpc_port: u16,
    api_port: u16,
}

impl Hosts {
    fn new(rpc_port: u16) -> Hosts {
        Hosts { site: Site::new(0), rpc_port, api_port: rpc_port + 1 }
    }

    fn start(&self, host: u8, found: bool) -> Process {
        let api = |host| self.site.side_address(host, self.api_port);
        let seeds: Vec<String> = (1..=3).map(|seed| format!("'{}'", api(seed))).collect();
        let folder = self.site.folder.path();
        let text = format!(
            "host: core-{host}\nfailure_domain: z{host}\nclosed_network: true\ncontrol:\n  \
             rpc_address: {}\n  api_address: {}\n  data_folder: {}/data-{host}\n  found: {found}\n  \
             losses_borne: 1\n  seeds: {{addresses: [{}], rpc_port: {}}}\n",
            self.site.side_address(host, self.rpc_port),
            api(host),
            folder.display(),
            seeds.join(", "),
            self.rpc_port
        );
        let file = folder.join(format!("core-{host}.yaml"));
        fs::write(&file, text).unwrap();
        let args = ["run", "--settings", file.to_str().unwrap()];
        Process::start(&process::cherrystream(), &args, &folder.join(format!("core-{host}.log")))
    }

    /// Starts the hosts that bootstrap the group, and waits until they are members.
    async fn bootstrap(&self) -> Vec<Process> {
        let hosts = (1..=3).map(|host| self.start(host, true)).collect();
        for host in 1..=3 {
            self.wait_until_member(host).await;
        }
        hosts
    }

    /// Waits until the control API of a host returns the configuration, as only a member's does.
    async fn wait_until_member(&self, host: u8) {
        let api = self.site.side_address(host, self.api_port);
        wait::until(&format!("host {host} serves"), || async {
            let answer = client::send(&api, &Ask::get("/v1/config")).await?;
            answer.status.is_success().then_some(())
        })
        .await;
    }

    async fn wait_until_slot_lost(&self, host: u8) {
        wait::until(&format!("host {host} requests another member slot"), || async {
            self.read_log(host).contains(SLOT_LOST).then_some(())
        })
        .await;
    }

    /// Returns the bootstrap host that became leader.
    fn leader(&self) -> u8 {
        (1..=3).find(|host| self.read_log(*host).contains("became leader")).expect("no leader")
    }

    fn read_log(&self, host: u8) -> String {
        fs::read_to_string(self.site.folder.path().join(format!("core-{host}.log"))).unwrap()
    }
}

/// A host is lost, a joining replica takes its member slot, the host returns with its old disk, and
/// the new member is lost. The process of the returned host must keep running and become a member
/// again.
#[tokio::test]
async fn a_host_whose_member_slot_was_reassigned_joins_again_without_a_restart() {
    let hosts = Hosts::new(7721);
    let mut first = hosts.bootstrap().await;
    first[2].kill();
    let mut replacement = hosts.start(4, false);
    hosts.wait_until_member(4).await;
    let mut returned = hosts.start(3, false);
    hosts.wait_until_slot_lost(3).await;
    replacement.kill();
    hosts.wait_until_member(3).await;
    assert!(returned.is_running(), "the process ended");
}

/// Guards against a host that bootstrapped the group and, after the loss of its member slot, starts
/// as a member of a new group again and again in place of standing by.
#[tokio::test]
async fn a_bootstrap_host_stands_by_after_it_has_lost_its_member_slot() {
    let hosts = Hosts::new(7723);
    let first = hosts.bootstrap().await;
    first[2].signal(Signal::SIGSTOP);
    let _replacement = hosts.start(4, false);
    hosts.wait_until_member(4).await;
    first[2].signal(Signal::SIGCONT);
    hosts.wait_until_slot_lost(3).await;
    tokio::time::sleep(WATCH_TIME).await;
    let log = hosts.read_log(3);
    assert_eq!(log.matches(SLOT_LOST).count(), 1, "{log}");
    assert!(log.contains("no member slot yet"), "{log}");
}

/// Guards against a replacement that is told again and again that its slot is lost to the host that
/// it replaces, so that the next loss ends the quorum.
#[tokio::test]
async fn the_group_has_a_quorum_when_another_host_is_lost_after_a_replacement() {
    let hosts = Hosts::new(7725);
    let mut first = hosts.bootstrap().await;
    let leader = hosts.leader();
    let mut followers = (1..=3).rev().filter(|host| *host != leader);
    let [gone, next] = [followers.next().unwrap(), followers.next().unwrap()];
    // Connections to a suspended host hang, as those to a host without power.
    first[usize::from(gone) - 1].signal(Signal::SIGSTOP);
    tokio::time::sleep(REPLACEMENT_DELAY).await;
    let _replacement = hosts.start(4, false);
    tokio::time::sleep(VOTE_TIMEOUT).await;
    first[usize::from(next) - 1].kill();
    hosts.wait_until_member(4).await;
    assert!(!hosts.read_log(4).contains(SLOT_LOST));
}

/// Replaces two hosts in turn, each lost in a drawn way, and loses a third one.
async fn replace_two_hosts(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let hosts = Hosts::new(7727);
    let mut members: BTreeMap<u8, Process> = (1..).zip(hosts.bootstrap().await).collect();
    let mut lost = Vec::new();
    for replacement in [4, 5] {
        let gone = *members.keys().collect::<Vec<_>>().choose(&mut rng).copied().unwrap();
        let loss = *LOSSES.choose(&mut rng).unwrap();
        let delay = Duration::from_millis(rng.random_range(0..=MAX_REPLACEMENT_DELAY_MS));
        println!("seed {seed}: host {gone} gets {loss}, host {replacement} starts after {delay:?}");
        let process = members.remove(&gone).unwrap();
        process.signal(loss);
        lost.push(process);
        tokio::time::sleep(delay).await;
        members.insert(replacement, hosts.start(replacement, false));
        tokio::time::sleep(VOTE_TIMEOUT).await;
        for host in members.keys() {
            hosts.wait_until_member(*host).await;
        }
    }
    let gone = *members.keys().collect::<Vec<_>>().choose(&mut rng).copied().unwrap();
    println!("seed {seed}: host {gone} is lost");
    members.remove(&gone).unwrap().kill();
    for host in members.keys() {
        hosts.wait_until_member(*host).await;
    }
}

/// Guards against replacements that have no vote by the time of the next loss, whichever host is
/// lost and in whatever way. `REPLACEMENT_SEEDS=N` runs N seeds.
#[tokio::test]
async fn the_group_has_a_quorum_after_each_of_several_replacements() {
    let seeds = env::var("REPLACEMENT_SEEDS").ok().and_then(|n| n.parse().ok());
    for seed in 0..seeds.unwrap_or(DEFAULT_SEEDS) {
        replace_two_hosts(seed).await;
    }
}
