//! Accepted configuration survives killed leaders, partitions, lost disks, corrupt log files, and
//! daemons that restart while control is unreachable.

use super::path;
use super::support::client::{self, Ask};
use super::support::relay::{Mode, Relay};
use super::support::site::{DaemonOptions, Site};
use super::support::wait;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use std::fs;
use std::path::PathBuf;

fn service(name: &str) -> Value {
    json!({"intent": "put-service", "service": name, "measuring_per_second": 5})
}

async fn services(site: &Site) -> Vec<String> {
    let config = wait::until("control answers", || async {
        let answer = client::send(&site.any_api(), &Ask::get("/v1/config")).await?;
        (answer.status == 200).then_some(answer.json())
    })
    .await;
    config["config"]["services"].as_object().unwrap().keys().cloned().collect()
}

fn log_file(site: &Site, replica: u64) -> PathBuf {
    let files = fs::read_dir(site.data_folder(replica)).unwrap();
    files.map(|f| f.unwrap().path()).find(|p| p.to_string_lossy().contains("log-")).unwrap()
}

/// Waits until every replica is a voter.
async fn all_replicas_vote(site: &Site) {
    wait::until("all replicas vote", || async {
        let status = site.status().await?;
        status.needs_attention.is_empty().then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_changes_survive_a_killed_leader() {
    let mut site = Site::with_control(3).await;
    let mut accepted = Vec::new();
    for round in 0..3 {
        for n in 0..5 {
            let name = format!("s-{round}-{n}");
            site.accept(service(&name)).await;
            accepted.push(name);
        }
        let leader = site.leader().await;
        site.kill_control(leader);
        assert_eq!(services(&site).await, accepted);
        site.start_control(leader);
        all_replicas_vote(&site).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_partitioned_leader_accepts_nothing_and_reverts_nothing() {
    let mut site = Site::new(3);
    let mut relays = Vec::new();
    for from in 1..=3_u64 {
        for to in (1..=3_u64).filter(|to| *to != from) {
            let port = 7600 + (from * 10 + to) as u16;
            let relay = Relay::start(&site.address(port), &site.rpc(to)).await;
            site.control_lines.push(((from, to), relay.address.clone()));
            relays.push(((from, to), relay));
        }
    }
    for replica in 1..=3 {
        site.start_control(replica);
    }
    let old = site.leader().await;
    site.accept(service("before")).await;
    let planned = site.intend(&site.api(old), &service("lost-side")).await.unwrap();
    let plan = planned.json()["plan"].as_str().unwrap().to_string();
    let overlapping =
        json!({"intent": "put-service", "service": "kept-side", "measuring_per_second": 7});
    let planned = site.intend(&site.api(old), &overlapping).await.unwrap();
    let overlapping = planned.json()["plan"].as_str().unwrap().to_string();
    for ((from, to), relay) in &relays {
        if *from == old || *to == old {
            relay.set(Mode::Hold);
        }
    }
    // On the side of the old leader the plan is not reported as accepted.
    let old_api = site.api(old);
    let on_lost_side = site.confirm(&old_api, &plan);
    let other = (1..=3).find(|r| *r != old).unwrap();
    let (lost, ()) = tokio::join!(on_lost_side, async {
        // The majority accepts the same number of changes.
        wait::until("the majority accepts", || async {
            let planned = site.intend(&site.api(other), &service("kept-side")).await?;
            let plan = planned.json()["plan"].as_str()?.to_string();
            let confirmed = site.confirm(&site.api(other), &plan).await?;
            (confirmed.status == 200).then_some(())
        })
        .await;
    });
    assert_eq!(lost.unwrap().status, 503);
    for (_, relay) in &relays {
        relay.set(Mode::Pass);
    }
    all_replicas_vote(&site).await;
    let kept = services(&site).await;
    assert!(kept.contains(&"before".to_string()) && kept.contains(&"kept-side".to_string()));
    // The old leader now returns the same configuration as the others.
    let here = wait::until("the old leader answers", || async {
        let answer = client::send(&site.api(old), &Ask::get("/v1/config")).await?;
        (answer.status == 200).then_some(answer.json())
    })
    .await;
    let here: Vec<&String> = here["config"]["services"].as_object().unwrap().keys().collect();
    assert_eq!(here, kept.iter().collect::<Vec<_>>());
    // The plan confirmed during the partition affects no item that the majority changed: it is
    // accepted now or was before, and reverts nothing. One that does is refused.
    let again = site.confirm(&site.api(old), &plan).await.unwrap();
    assert_eq!(again.status, 200);
    let mut expected = [kept, vec!["lost-side".to_string()]].concat();
    expected.sort();
    expected.dedup();
    assert_eq!(services(&site).await, expected);
    let refused = site.confirm(&site.api(old), &overlapping).await.unwrap();
    assert_eq!(refused.status, 409);
    assert_eq!(services(&site).await, expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_that_resumes_after_a_freeze_serves_no_stale_configuration() {
    let mut site = Site::with_control(3).await;
    site.accept(service("first")).await;
    let old = site.leader().await;
    site.control(old).signal(Signal::SIGSTOP);
    let other = (1..=3).find(|r| *r != old).unwrap();
    wait::until("the others accept", || async {
        let planned = site.intend(&site.api(other), &service("second")).await?;
        let plan = planned.json()["plan"].as_str()?.to_string();
        (site.confirm(&site.api(other), &plan).await?.status == 200).then_some(())
    })
    .await;
    site.control(old).signal(Signal::SIGCONT);
    // Any successful answer has the new configuration.
    for _ in 0..20 {
        let answer = client::send(&site.api(old), &Ask::get("/v1/config")).await.unwrap();
        if answer.status == 200 {
            assert!(answer.json()["config"]["services"].get("second").is_some());
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_repaired_with_a_blank_disk_joins_before_a_second_one_is_lost() {
    let mut site = Site::with_control(3).await;
    site.accept(service("kept")).await;
    let leader = site.leader().await;
    let repaired = (1..=3).find(|r| *r != leader).unwrap();
    site.kill_control(repaired);
    site.accept(service("while-away")).await;
    fs::remove_dir_all(site.data_folder(repaired)).unwrap();
    wait::until("the loss is noticed", || async {
        let status = site.status().await?;
        (!status.needs_attention.is_empty()).then_some(())
    })
    .await;
    site.start_control(repaired);
    all_replicas_vote(&site).await;
    // Right after the repair, the leader's host is lost with its disk.
    site.kill_control(leader);
    fs::remove_dir_all(site.data_folder(leader)).unwrap();
    assert_eq!(services(&site).await, ["kept", "while-away"]);
    site.accept(service("after")).await;
    site.start_control(leader);
    all_replicas_vote(&site).await;
    assert_eq!(services(&site).await, ["after", "kept", "while-away"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn two_blank_replicas_do_not_bootstrap_a_second_group() {
    let mut site = Site::with_control(3).await;
    site.accept(service("kept")).await;
    all_replicas_vote(&site).await;
    for replica in [1, 2] {
        site.kill_control(replica);
        fs::remove_dir_all(site.data_folder(replica)).unwrap();
        site.start_control(replica);
    }
    // The replica with state has no quorum, and the blank ones must not form one without it.
    let status = wait::until("a blank replica answers", || async {
        let planned = site.intend(&site.api(1), &service("forgot")).await?;
        Some(planned.status.as_u16())
    })
    .await;
    assert_eq!(status, 503);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_torn_write_at_the_end_of_the_log_loses_no_accepted_change() {
    let mut site = Site::with_control(1).await;
    for n in 0..300 {
        site.accept(service(&format!("s-{n}"))).await;
    }
    let revision = site.status().await.unwrap().revision;
    site.kill_control(1);
    // Appends a record that breaks off, as a torn write leaves it.
    let path = log_file(&site, 1);
    let mut bytes = fs::read(&path).unwrap();
    let torn = bytes[bytes.len() - 200..bytes.len() - 90].to_vec();
    let header = [100_u32.to_le_bytes().to_vec(), torn].concat();
    let check = crc32fast::hash(&100_u32.to_le_bytes()).to_le_bytes();
    bytes.extend(&header[..4]);
    bytes.extend(check);
    bytes.extend(&header[8..60]);
    fs::write(&path, bytes).unwrap();
    site.start_control(1);
    assert_eq!(services(&site).await.len(), 300);
    assert_eq!(site.status().await.unwrap().revision, revision);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_corrupt_log_stops_the_replica_and_stays_unchanged() {
    let mut site = Site::with_control(3).await;
    for n in 0..20 {
        site.accept(service(&format!("s-{n}"))).await;
    }
    let leader = site.leader().await;
    site.kill_control(leader);
    let path = log_file(&site, leader);
    let mut bytes = fs::read(&path).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x10;
    fs::write(&path, &bytes).unwrap();
    site.start_control(leader);
    let status = site.control(leader).ended().await;
    assert_eq!(status.code(), Some(1));
    site.controls[leader as usize - 1] = None;
    let log = site.folder.path().join(format!("control-{leader}.log"));
    let messages = fs::read_to_string(log).unwrap();
    assert!(messages.contains("cannot be read at byte"), "{messages}");
    assert!(messages.contains("Move the folder away"), "{messages}");
    assert_eq!(fs::read(&path).unwrap(), bytes);
    assert_eq!(services(&site).await.len(), 20);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_restarts_without_control_fetches_the_newest_configuration_from_a_peer() {
    let mut pair = path::pair(1).await;
    let lines = vec![format!("peers: [{}]", pair.a.peer)];
    let c = pair.site.start_daemon_with(
        "host-c",
        "c",
        3,
        &DaemonOptions { lines, ..DaemonOptions::default() },
    );
    let mut c = c;
    c.serves("quotes").await;
    pair.site.in_force(&[&pair.a, &c]).await;
    pair.site.kill_control(1);
    c.process.kill();
    c.restart();
    c.serves("quotes").await;
    assert_eq!(c.metric("cherrystream_unconfirmed").await, 1.0);
    assert_eq!(
        c.metric("cherrystream_revision_index").await,
        pair.a.metric("cherrystream_revision_index").await
    );
    pair.site.start_control(1);
    wait::until("the configuration is confirmed", || async {
        (c.metric("cherrystream_unconfirmed").await == 0.0).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_partitioned_from_control_receives_a_change_from_a_peer() {
    let site = Site::with_control(1).await;
    let relay = Relay::start(&site.address(7699), &site.rpc(1)).await;
    let a = site.start_daemon("host-a", "a", 1);
    let opts = DaemonOptions { control: Some(relay.address.clone()), ..DaemonOptions::default() };
    let b = site.start_daemon_with("host-b", "b", 2, &opts);
    let server = site.start_server("quotes-a", &[]);
    site.put_service("quotes").await;
    site.put_server("quotes", "quotes-a", "host-a", &server).await;
    site.in_force(&[&a, &b]).await;
    b.serves("quotes").await;
    relay.set(Mode::Hold);
    site.accept(service("new")).await;
    site.in_force(&[&a]).await;
    let held = a.metric("cherrystream_revision_index").await;
    // Answers of calls from b to a announce the newer revision.
    wait::until("the change is in force at the partitioned daemon", || async {
        b.call(&Ask::get("/work").service("quotes")).await?;
        (b.metric("cherrystream_revision_index").await >= held).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_stop_transfers_the_leadership() {
    let mut site = Site::with_control(3).await;
    all_replicas_vote(&site).await;
    let leader = site.leader().await;
    site.control(leader).signal(Signal::SIGTERM);
    let status = site.control(leader).ended().await;
    assert!(status.success(), "{status}");
    site.controls[leader as usize - 1] = None;
    site.accept(service("after")).await;
    assert_eq!(services(&site).await, ["after"]);
}
