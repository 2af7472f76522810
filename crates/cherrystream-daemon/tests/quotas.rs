//! Quotas shared by daemons that exchange leases over sockets.

use cherrystream_core::reasons::Reason;
use cherrystream_core::routes::RouteIndex;
use cherrystream_core::settings;
use cherrystream_core::shared;
use cherrystream_core::units::Revision;
use cherrystream_core::workspaces::{NamedWorkspace, Quota};
use cherrystream_daemon::current_config::CurrentConfigCell;
use cherrystream_daemon::metrics::Metrics;
use cherrystream_daemon::peer::Peers;
use cherrystream_daemon::quotas::{self, Dependencies, Quotas};
use cherrystream_daemon::role::{Context, Daemon};
use cherrystream_net::clock::Clock;
use cherrystream_net::serve::Phases;
use cherrystream_schema::messages::{HostRecord, RequestLimits, RouteTable, Update, Workspace};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

const HOSTS: usize = 6;

fn record(n: usize, peer_address: &str) -> HostRecord {
    HostRecord {
        host: format!("host-{n}"),
        failure_domain: format!("domain-{}", n % 3),
        region: "r".into(),
        peer_address: peer_address.into(),
        incarnation: n as u64,
        leaving: false,
    }
}

/// Returns a workspace without a burst: only the tolerance admits requests at once.
fn acme() -> NamedWorkspace {
    let quota = Some(Quota { per_second: 2.0, burst: 0.0 });
    NamedWorkspace { name: "acme".into(), priority: None, quota, allowed_regions: Vec::new() }
}

fn table() -> RouteTable {
    let workspace = Workspace {
        key_digests: Vec::new(),
        rate_milli_per_s: 2_000,
        burst_milli: 0,
        allowed_regions: Vec::new(),
        priority: None,
    };
    RouteTable {
        number: 1,
        routes: Default::default(),
        services: Default::default(),
        limits: RequestLimits {
            head_bytes: 16_384,
            body_bytes: 1 << 20,
            head_timeout_us: 3_000_000,
            idle_timeout_us: 15_000_000,
        },
        workspaces: [("acme".to_string(), workspace)].into(),
        needs_key: true,
    }
}

/// Starts a daemon that replies to batches at a peer address.
async fn daemon(n: usize, address: &str) -> Daemon {
    let text = format!(
        "host: host-{n}\nfailure_domain: domain-{}\nclosed_network: true\ndaemon:\n  caller_address: \
         127.0.0.1:0\n  peer_address: {address}\n  control: [127.0.0.1:1]\n",
        n % 3
    );
    let all = settings::read(&text).unwrap();
    let cx = Context {
        phases: Phases::default(),
        key: None,
        interface: Arc::new(cherrystream_daemon::own_interface::OwnInterface),
        read_seeds: Arc::new(|| None),
        metrics: Metrics::default(),
        ready: Arc::new(AtomicBool::new(false)),
    };
    Daemon::start(&all, all.daemon.as_ref().unwrap(), cx).await.unwrap()
}

/// Returns loopback addresses that are unique to one test, so that their ports are free.
fn own_addresses() -> Vec<String> {
    static TESTS: AtomicU32 = AtomicU32::new(1);
    let n = TESTS.fetch_add(1, Ordering::Relaxed);
    let base = format!("127.{}.{}", 220 + n, 1 + std::process::id() % 250);
    (0..HOSTS).map(|host| format!("{base}.{}:7611", host + 1)).collect()
}

fn update(addresses: &[String]) -> Update {
    let mut state = shared::empty();
    for (n, address) in addresses.iter().enumerate() {
        state.hosts.insert(format!("host-{n}"), record(n, address));
    }
    state.routes = Some(table());
    let revision = Revision { term: 1, index: 1 };
    Update { revision, changes: Vec::new(), full: Some(state) }
}

/// Creates the quotas of a further host, with the same shared state as the daemons.
fn local_quotas(addresses: &[String]) -> (Arc<Quotas>, Metrics) {
    let metrics = Metrics::default();
    let held = Arc::new(CurrentConfigCell::default());
    assert!(held.apply(update(addresses)));
    let deps = Dependencies {
        current_config: held.clone(),
        peers: Arc::new(Peers::new(metrics.clone())),
        key: None,
        clock: Clock::default(),
        metrics: metrics.clone(),
    };
    let text = "host: own\nfailure_domain: a\nclosed_network: true\ndaemon:\n  caller_address: \
                127.0.0.1:0\n  peer_address: 127.0.0.1:0\n  control: [127.0.0.1:1]\n";
    let settings = settings::read(text).unwrap().daemon.unwrap();
    let n = addresses.len() - 1;
    let own = record(n, &addresses[n]);
    let quotas = Arc::new(Quotas::new(&own, quotas::tolerance(&settings), deps));
    let now = held.get();
    let routes = RouteIndex::new(now.routes.as_deref(), &now.shared.config);
    quotas.apply_config(&now.shared, Arc::new(routes));
    tokio::spawn(quotas.clone().run());
    (quotas, metrics)
}

async fn start() -> (Vec<Daemon>, Vec<String>) {
    let addresses = own_addresses();
    let mut daemons = Vec::new();
    for (n, address) in addresses.iter().enumerate().take(HOSTS - 1) {
        let daemon = daemon(n, address).await;
        assert!(daemon.current_config().apply(update(&addresses)));
        daemons.push(daemon);
    }
    // Waits until each daemon has applied the state.
    tokio::time::sleep(Duration::from_millis(100)).await;
    (daemons, addresses)
}

/// Guards against requests beyond the quota being admitted, and against a retry time at which the
/// workspace is refused again.
#[tokio::test]
async fn requests_beyond_the_quota_are_refused_until_the_retry_time() {
    let (_daemons, addresses) = start().await;
    let (quotas, _) = local_quotas(&addresses);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut ran = 0;
    let mut refused = None;
    for _ in 0..60 {
        match quotas.admit(&acme(), Some("request-1")).await {
            Ok(charge) => ran += u32::from(charge.is_some()),
            Err(why) => refused = Some(why),
        }
    }
    // 2 per second in a window of 5 s, with a tolerance of a tenth of that and 20 requests.
    assert!((1..=31).contains(&ran), "{ran} ran");
    let refused = refused.expect("no request was refused, though some exceed the quota");
    assert_eq!(refused.reason, Reason::OverQuota);
    assert!(refused.retry_after <= Duration::from_secs(2), "{refused:?}");
    tokio::time::sleep(refused.retry_after).await;
    assert!(quotas.admit(&acme(), None).await.is_ok());
}

/// Guards against refusals below the quota at a daemon whose quota allocators are all remote.
#[tokio::test]
async fn a_workspace_below_its_quota_is_not_refused() {
    let (_daemons, addresses) = start().await;
    let (quotas, _) = local_quotas(&addresses);
    tokio::time::sleep(Duration::from_secs(1)).await;
    for _ in 0..4 {
        assert!(quotas.admit(&acme(), None).await.is_ok());
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

/// Guards against charges of requests that were not run using up the quota.
#[tokio::test]
async fn charges_of_requests_that_did_not_run_are_refunded() {
    let (_daemons, addresses) = start().await;
    let (quotas, _) = local_quotas(&addresses);
    tokio::time::sleep(Duration::from_secs(2)).await;
    for _ in 0..60 {
        let charge = quotas.admit(&acme(), None).await.unwrap().expect("the workspace has a quota");
        quotas.give_back(&charge);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against long waits and unlimited admission when all quota allocators are unreachable.
#[tokio::test]
async fn a_daemon_without_reachable_allocators_decides_soon_and_runs_few() {
    let addresses = own_addresses();
    let (quotas, _) = local_quotas(&addresses);
    let (mut ran, acme) = (0, acme());
    for _ in 0..40 {
        let answered = tokio::time::timeout(Duration::from_secs(1), quotas.admit(&acme, None));
        ran += u32::from(
            answered.await.expect("a caller waited for unreachable quota allocators").is_ok(),
        );
    }
    assert!(ran <= 31, "{ran} ran");
}
