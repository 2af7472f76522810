//! A standby finds the members after a restart, even if none of its seeds is a member.

use cherrystream_control::contacts;
use cherrystream_control::folder::{DiskFolder, Folder};
use cherrystream_control::role::{Context, Control};
use cherrystream_core::settings;
use cherrystream_net::rpc::{self, ControlRpcClient};
use cherrystream_net::serve::Phases;
use cherrystream_schema::messages::JoinRequest;
use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Longest wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the prefix of loopback addresses that only this process uses, so that its ports are
/// free.
fn base() -> String {
    format!("127.{}.{}", 200, 1 + std::process::id() % 250)
}

/// Starts a replica whose settings name `seeds`. The task ends once it has a member slot.
fn start(n: u8, seeds: &[u8], folder: &Path, found: bool) -> JoinHandle<Control> {
    let folder = folder.display();
    let base = base();
    let seeds: Vec<String> = seeds.iter().map(|s| format!("'{base}.{s}:8306'")).collect();
    let text = format!(
        "host: core-{n}\nfailure_domain: z\nclosed_network: true\ncontrol:\n  rpc_address: \
         {base}.{n}:7620\n  api_address: {base}.{n}:8306\n  data_folder: {folder}\n  found: \
         {found}\n  seeds: {{addresses: [{}], rpc_port: 7620}}\n",
        seeds.join(", ")
    );
    let all = settings::read(&text).unwrap();
    let cx = Context {
        phases: Phases::default(),
        key: None,
        failure_domain: all.failure_domain.clone(),
        orders: None,
        metrics: Default::default(),
        on_failure: Box::new(|what| panic!("{what}")),
    };
    tokio::spawn(async move { Control::start(all.control.as_ref().unwrap(), cx).await.unwrap() })
}

/// Waits until a replica returns all of `members` to a joining replica.
async fn wait_until_known(n: u8, members: &BTreeSet<String>) {
    let address = format!("{}.{n}:7620", base());
    let request = JoinRequest {
        address: format!("{}.99:7620", base()),
        disk: "a-blank-disk".into(),
        failure_domain: "z".into(),
        stands_by: true,
        runs_as: None,
    };
    let asking = async {
        loop {
            if let Ok(client) = rpc::connect(&address, None, Duration::from_secs(1)).await
                && let Ok(reply) = client.join(request.clone()).await
                && reply.addresses.values().cloned().collect::<BTreeSet<_>>().is_superset(members)
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let known = tokio::time::timeout(TIMEOUT, asking).await;
    assert!(known.is_ok(), "replica {n} does not return {members:?}");
}

/// Guards against a standby that cannot find the members after a power failure, because all its
/// seeds are standbys or down.
#[tokio::test(flavor = "multi_thread")]
async fn a_standby_keeps_learned_addresses_after_a_restart() {
    let folder = tempfile::tempdir().unwrap();
    let path = |n: u8| folder.path().join(n.to_string());
    let mut members = Vec::new();
    for n in 1..=3 {
        members.push(start(n, &[1, 2, 3], &path(n), true).await.unwrap());
    }
    let addresses: BTreeSet<String> = (1..=3).map(|n| format!("{}.{n}:7620", base())).collect();
    let standby = start(4, &[1, 2, 3], &path(4), true);
    wait_until_known(4, &addresses).await;
    // The addresses are stored shortly after they are learned.
    let disk = DiskFolder::try_new(path(4)).unwrap();
    let stored = async {
        while contacts::read(&disk).len() < 3 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, stored).await.expect("the addresses are not stored");
    standby.abort();
    let _ = standby.await;
    // Restarts it with the same disk, at another address because the old one may still be in use.
    // Its settings name only replicas that do not run.
    let _restarted = start(5, &[5, 6, 7], &path(4), false);
    wait_until_known(5, &addresses).await;
}

/// Guards against partly written contacts after an interrupted write.
#[test]
fn contacts_are_replaced_atomically() {
    let folder = tempfile::tempdir().unwrap();
    let mut folder = DiskFolder::try_new(folder.path()).unwrap();
    assert!(contacts::read(&folder).is_empty());
    contacts::write(&mut folder, &["a:1".into(), "b:1".into()]).unwrap();
    // Simulates an interrupted write.
    folder.append("contacts.json.new", b"[\"c").unwrap();
    contacts::write(&mut folder, &["d:1".into()]).unwrap();
    assert_eq!(contacts::read(&folder), ["d:1"]);
    folder.append("contacts.json", b"torn").unwrap();
    assert!(contacts::read(&folder).is_empty(), "an unreadable file is treated as empty");
}
