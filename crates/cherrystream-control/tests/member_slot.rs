//! Permission to bootstrap the group, across restarts.

use cherrystream_control::bootstrap_marker;
use cherrystream_control::folder::DiskFolder;
use cherrystream_control::member_slot::{self, FindContext, MemberSlot, RoleStart};
use cherrystream_control::metrics::Metrics;
use cherrystream_control::store::Store;
use cherrystream_core::settings;
use cherrystream_schema::settings::ControlSettings;
use std::path::Path;

/// Returns the settings of the first of three seeds.
fn settings(folder: &Path, found: bool) -> ControlSettings {
    let text = format!(
        "host: core-1\nfailure_domain: z\nclosed_network: true\ncontrol:\n  rpc_address: \
         10.0.0.1:7620\n  api_address: 10.0.0.1:8306\n  data_folder: {}\n  found: {found}\n  \
         seeds: {{addresses: ['10.0.0.1:8306', '10.0.0.2:8306', '10.0.0.3:8306'], rpc_port: \
         7620}}\n",
        folder.display()
    );
    settings::read(&text).unwrap().control.unwrap()
}

/// Finds the member slot of the first of three seeds.
async fn find(folder: &Path, found: bool) -> MemberSlot {
    let metrics = Metrics::default();
    let cx =
        FindContext { start: RoleStart::First, failure_domain: "z", key: None, metrics: &metrics };
    let disk = DiskFolder::try_new(folder).unwrap();
    member_slot::find(&settings(folder, found), &disk, &cx).await.unwrap()
}

/// Guards against a group that is never bootstrapped because a replica stopped too early: the
/// settings allow the bootstrap only at the first start.
#[tokio::test]
async fn a_replica_that_stops_before_the_bootstrap_may_still_bootstrap() {
    let folder = tempfile::tempdir().unwrap();
    let first = find(folder.path(), true).await;
    assert!(first.may_bootstrap);
    let disk = DiskFolder::try_new(folder.path()).unwrap();
    let (mut store, _) = Store::open(disk, 1, &first.identity.disk).unwrap();
    let again = find(folder.path(), false).await;
    assert!(again.may_bootstrap);
    assert_eq!(again.identity, first.identity);
    store.set_aside().unwrap();
    let disk = DiskFolder::try_new(folder.path()).unwrap();
    assert!(
        !bootstrap_marker::exists(&disk).unwrap(),
        "a replica that lost its member slot must not bootstrap"
    );
}

/// Guards against a second group bootstrapped by a replica that joined the first one.
#[tokio::test]
async fn a_replica_that_joined_may_not_bootstrap() {
    let folder = tempfile::tempdir().unwrap();
    let disk = DiskFolder::try_new(folder.path()).unwrap();
    Store::open(disk, 1, "joined").unwrap();
    assert!(!find(folder.path(), false).await.may_bootstrap);
}

/// Guards against a replacement that waits 10 s as a standby replica when the leader that admitted it
/// is lost: it asks the next leader as it asked the first.
#[tokio::test]
async fn a_replacement_asks_for_its_slot_again_as_a_replacement() {
    for found in [false, true] {
        let folder = tempfile::tempdir().unwrap();
        let disk = DiskFolder::try_new(folder.path()).unwrap();
        Store::open(disk, 3, "joined").unwrap();
        let request =
            find(folder.path(), found).await.join_request(&settings(folder.path(), found));
        assert_eq!(request.stands_by, found);
        assert_eq!((request.runs_as, request.disk.as_str()), (Some(3), "joined"));
    }
}
