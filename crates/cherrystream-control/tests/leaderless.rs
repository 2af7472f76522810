//! Heartbeats of daemons to a replica of a group without a leader.

use cherrystream_control::role::{Context, Control};
use cherrystream_core::settings;
use cherrystream_core::units::Revision;
use cherrystream_net::rpc::{self, ControlRpcClient};
use cherrystream_net::serve::Phases;
use cherrystream_schema::messages::{HostRecord, SyncRequest};
use std::path::Path;
use std::time::{Duration, Instant};

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

fn base() -> String {
    format!("127.90.{}", 1 + std::process::id() % 250)
}

async fn start(n: u8, folder: &Path) -> Control {
    let base = base();
    let text = format!(
        "host: core-{n}\nfailure_domain: z{n}\nclosed_network: true\ncontrol:\n  rpc_address: \
         {base}.{n}:7620\n  api_address: {base}.{n}:8306\n  data_folder: {}/{n}\n  found: true\n  \
         seeds: {{addresses: ['{base}.1:8306', '{base}.2:8306', '{base}.3:8306'], rpc_port: 7620}}\n",
        folder.display()
    );
    let all = settings::read(&text).unwrap();
    let cx = Context {
        phases: Phases::default(),
        key: None,
        failure_domain: all.failure_domain.clone(),
        orders: None,
        metrics: Default::default(),
        on_failure: Box::new(|e| panic!("{e}")),
    };
    Control::start(all.control.as_ref().unwrap(), cx).await.unwrap()
}

fn heartbeat() -> SyncRequest {
    let record = HostRecord {
        host: "h1".into(),
        failure_domain: "z1".into(),
        region: "r".into(),
        peer_address: "127.0.0.1:1".into(),
        incarnation: 1,
        leaving: false,
    };
    SyncRequest {
        record,
        held: Revision::default(),
        confirmed: true,
        wait_ms: 0,
        instance: None,
        fetching: None,
        looks_in: true,
        control_known: 0,
        tally: None,
    }
}

/// Guards against a busy loop of refusals: a daemon retries 40 ms after each refusal, and the group is
/// bootstrapped 0.5 s after its first replica starts.
#[tokio::test(flavor = "multi_thread")]
async fn heartbeats_are_rarely_refused_while_there_is_no_leader() {
    let folder = tempfile::tempdir().unwrap();
    let _first = start(1, folder.path()).await;
    let started = Instant::now();
    let daemon = tokio::spawn(async {
        let client = rpc::connect(&format!("{}.1:7620", base()), None, CALL_TIMEOUT).await.unwrap();
        let mut refused = 0;
        while client.sync(heartbeat()).await.is_err() {
            refused += 1;
            tokio::time::sleep(Duration::from_millis(40)).await;
        }
        refused
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    let _others = (start(2, folder.path()).await, start(3, folder.path()).await);
    let refused = daemon.await.unwrap();
    let took = started.elapsed();
    let max_refusals = 1 + took.as_millis() / 400;
    assert!(refused <= max_refusals, "refused {refused} times in {took:?}");
}
