//! Requests whose key is revoked, or moved to another workspace, while they wait: what is sent to
//! other daemons, and what the caller receives.

use cherrystream_core::reasons::Reason;
use cherrystream_core::reservations::Reservation;
use cherrystream_core::settings;
use cherrystream_core::shared;
use cherrystream_core::units::Revision;
use cherrystream_core::workspaces;
use cherrystream_daemon::headers::Op;
use cherrystream_daemon::hop;
use cherrystream_daemon::own_interface::OwnInterface;
use cherrystream_daemon::refusal::Refused;
use cherrystream_daemon::role::{Context, Daemon};
use cherrystream_net::body::{self, Body, Start};
use cherrystream_net::pool::Pool;
use cherrystream_net::serve::{self, Phases};
use cherrystream_schema::messages;
use http::{Request, Response};
use hyper::body::Incoming;
use messages::{
    HostRecord, Instance, InstanceRecord, RequestLimits, Route, RouteTable, RouteTarget,
};
use messages::{RoutedService, ServerState, Shared, Update, Workspace};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Semaphore;

const KEY: &str = "key-of-a-studio-0123456789";
/// Path of requests that may be repeated.
const SAFE: &str = "/safe/";
/// Path of requests that may not be repeated.
const ONCE: &str = "/once/";
/// Path of requests that need no key.
const KEYLESS: &str = "/keyless/";

/// A request that the peer received.
#[derive(Clone, Debug, PartialEq)]
struct Received {
    op: Op,
    workspace: Option<String>,
}

/// Another daemon with backend servers. It delays its first answer until the test releases it.
struct Peer {
    /// Whether the first answer is a refusal that the daemon retries.
    refuses_first: bool,
    release: Semaphore,
    received: Mutex<Vec<Received>>,
}

impl Peer {
    async fn answer(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let (parts, incoming) = req.into_parts();
        let text = format!("{:?}", parts.headers);
        assert!(!text.contains(KEY) && !parts.headers.contains_key("authorization"), "{text}");
        // Daemons also exchange suspect requests; this peer has none.
        if Op::read(&parts.headers) == Some(Op::Suspects) {
            return Response::new(body::empty());
        }
        let op = Op::read(&parts.headers).expect("a request of a daemon has an operation");
        let (aim, head) = hop::read_call(&parts.headers).expect("a call has a head");
        let workspace = aim.workspace.map(str::to_string);
        let is_first = {
            let mut received = self.received.lock();
            received.push(Received { op, workspace });
            received.len() == 1
        };
        drop(body::read_start(body::incoming(incoming), 1 << 20).await);
        if is_first {
            self.release.acquire().await.unwrap().forget();
        }
        let refused = Refused::new(Reason::BusyNow);
        match op {
            _ if is_first && self.refuses_first && op == Op::Call => {
                hop::write_answer(head.call, Err(refused), None)
            }
            Op::Reserve => hop::write_reservation(head.call, Ok(Reservation(42)), None),
            _ => hop::write_answer(head.call, Ok(Response::new(body::full("done"))), None),
        }
    }

    fn received(&self) -> Vec<Received> {
        self.received.lock().clone()
    }
}

/// A daemon whose only backend servers run at a peer.
struct Site {
    peer: Arc<Peer>,
    daemon: Daemon,
    callers: String,
    revision: AtomicU64,
    state: Shared,
}

fn route(path: &str) -> Route {
    Route {
        host: "a.example".into(),
        path_prefix: path.into(),
        repeatable: path != ONCE,
        timeout_us: 20_000_000,
        target_us: 8_000_000,
        priority: 1,
        attempts_at_most: 2,
        targets: vec![RouteTarget { service: "orders".into(), weight: 1 }],
        keyless: path == KEYLESS,
        allowed_regions: Vec::new(),
    }
}

fn state(peer_address: &str) -> Shared {
    let mut state = shared::empty();
    for (host, id) in [("peer-1", "i-1"), ("peer-2", "i-2")] {
        let record = HostRecord {
            host: host.into(),
            failure_domain: "a".into(),
            region: "r".into(),
            peer_address: peer_address.into(),
            incarnation: 1,
            leaving: false,
        };
        state.hosts.insert(host.into(), record);
        let instance = Instance {
            id: id.into(),
            service: "orders".into(),
            address: "127.0.0.1:1".into(),
            slots: 4,
            state: ServerState::Live,
            sequence: 1,
            born_ms: 0,
            version: String::new(),
        };
        state.instances.insert(
            host.into(),
            InstanceRecord { instance, retired: Vec::new(), retired_born_ms: BTreeMap::new() },
        );
    }
    let routed =
        RoutedService { health_path: "/".into(), connections_at_most: 100, cold_milli_per_s: None };
    state.routes = Some(RouteTable {
        number: 1,
        routes: [SAFE, ONCE, KEYLESS].map(|path| (path.to_string(), route(path))).into(),
        services: [("orders".to_string(), routed)].into(),
        limits: RequestLimits {
            head_bytes: 16_384,
            body_bytes: 1 << 20,
            head_timeout_us: 3_000_000,
            idle_timeout_us: 15_000_000,
        },
        workspaces: Default::default(),
        needs_key: true,
    });
    state
}

impl Site {
    async fn start(refuses_first: bool) -> Site {
        let listener = serve::listen("127.0.0.1:0").await.unwrap();
        let state = state(&listener.local_addr().unwrap().to_string());
        let peer = Arc::new(Peer {
            refuses_first,
            release: Semaphore::new(0),
            received: Mutex::default(),
        });
        let handler = peer.clone();
        let answer = move |req| handler.clone().answer(req);
        tokio::spawn(serve::serve(listener, Phases::default(), answer));
        let reserved = serve::listen("127.0.0.1:0").await.unwrap();
        let callers = reserved.local_addr().unwrap().to_string();
        drop(reserved);
        let text = format!(
            "host: own\nfailure_domain: a\nclosed_network: true\ndaemon:\n  caller_address: {callers}\n  \
             peer_address: 127.0.0.1:0\n  control: [127.0.0.1:1]\n  hedge_share: 1.0\n"
        );
        let all = settings::read(&text).unwrap();
        let cx = Context {
            phases: Phases::default(),
            key: None,
            interface: Arc::new(OwnInterface),
            read_seeds: Arc::new(|| None),
            metrics: Default::default(),
            ready: Arc::new(AtomicBool::new(false)),
        };
        let daemon = Daemon::start(&all, all.daemon.as_ref().unwrap(), cx).await.unwrap();
        let site = Site { peer, daemon, callers, revision: AtomicU64::new(0), state };
        site.assign_key("studio").await;
        site
    }

    /// Assigns the key to a workspace, or to none for the name `nobody`; waits until the daemon
    /// applies that.
    async fn assign_key(&self, workspace: &str) {
        let mut state = self.state.clone();
        let keys = if workspace == "nobody" { vec![] } else { vec![workspaces::digest(KEY)] };
        let record = Workspace { key_digests: keys, ..Workspace::default() };
        state.config.workspaces.insert(workspace.into(), record);
        let index = self.revision.fetch_add(1, Ordering::SeqCst) + 1;
        let revision = Revision { term: 1, index };
        let update = Update { revision, changes: Vec::new(), full: Some(state) };
        assert!(self.daemon.current_config().apply(update));
        // Applied once a request to a path without a route gets the status that the key leads to.
        for _ in 0..1_000 {
            let wanted = if workspace == "nobody" { 401 } else { 404 };
            if self.send("/none/", Some(KEY)).await == wanted
                && self.send("/none/", None).await == 401
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("revision {index} is not in force after 5 s");
    }

    async fn send(&self, path: &str, key: Option<&str>) -> u16 {
        send(&Pool::new(&self.callers, Default::default()), path, key).await
    }

    /// Sends a request and waits until the peer has it.
    async fn begin(
        &self,
        path: &'static str,
        key: Option<&'static str>,
    ) -> tokio::task::JoinHandle<u16> {
        let pool = Pool::new(&self.callers, Default::default());
        let sending = tokio::spawn(async move { send(&pool, path, key).await });
        for _ in 0..1_000 {
            if !self.peer.received().is_empty() {
                return sending;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("the peer received no request within 5 s");
    }

    fn release_answer(&self) {
        self.peer.release.add_permits(1);
    }
}

async fn send(pool: &Pool, path: &str, key: Option<&str>) -> u16 {
    let method = if path == ONCE { "POST" } else { "GET" };
    let mut req = Request::builder().method(method).uri(path).header("host", "a.example");
    req = req.header("cherrystream-workspace", "forged");
    if path == "/none/" {
        req = req.header("cherrystream-service", "nowhere");
    }
    if let Some(key) = key {
        req = req.header("authorization", format!("Bearer {key}"));
    }
    let connection = pool.connection().await.expect("no connection");
    let res = pool.send(connection, req.body(body::empty()).unwrap()).await.expect("no answer");
    let status = res.status().as_u16();
    let read = body::read_start(res.into_body(), 1 << 20).await;
    assert!(matches!(read, Ok(Start::Whole(_))), "the answer broke off");
    status
}

fn call_of(workspace: &str) -> Received {
    Received { op: Op::Call, workspace: Some(workspace.into()) }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_revoked_key_is_rejected_on_a_connection_that_stays_open() {
    let site = Site::start(false).await;
    site.release_answer();
    let pool = Pool::new(&site.callers, Default::default());
    assert_eq!(send(&pool, SAFE, Some(KEY)).await, 200);
    assert_eq!(send(&pool, SAFE, Some("another")).await, 401);
    assert_eq!(send(&pool, SAFE, None).await, 401);
    site.assign_key("nobody").await;
    assert_eq!(send(&pool, SAFE, Some(KEY)).await, 401);
    site.assign_key("studio").await;
    assert_eq!(send(&pool, SAFE, Some(KEY)).await, 200);
    assert_eq!(site.peer.received(), [call_of("studio"), call_of("studio")]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_not_retried_under_a_key_that_was_revoked_meanwhile() {
    let site = Site::start(true).await;
    let sending = site.begin(SAFE, Some(KEY)).await;
    site.assign_key("nobody").await;
    site.release_answer();
    assert_eq!(sending.await.unwrap(), 401);
    assert_eq!(site.peer.received(), [call_of("studio")]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_key_has_moved_is_retried_under_the_new_workspace() {
    let site = Site::start(true).await;
    let sending = site.begin(SAFE, Some(KEY)).await;
    site.assign_key("guild").await;
    site.release_answer();
    assert_eq!(sending.await.unwrap(), 200);
    assert_eq!(site.peer.received(), [call_of("studio"), call_of("guild")]);
}

/// The request waits for a reservation; nothing of it has been sent to the peer yet.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_waits_for_its_slot_is_not_sent_once_its_key_is_revoked() {
    let site = Site::start(false).await;
    let sending = site.begin(ONCE, Some(KEY)).await;
    // The reservation times out and is retried: no attempt may send the request itself.
    site.assign_key("nobody").await;
    site.release_answer();
    assert_eq!(sending.await.unwrap(), 401);
    let received = site.peer.received();
    assert!(received.iter().all(|req| req.op == Op::Reserve), "{received:?}");
}

/// The first attempt was sent under a valid key, so its answer is returned; a second one would be
/// sent under a revoked key.
#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_hedged_under_a_key_that_was_revoked_meanwhile() {
    let site = Site::start(false).await;
    let sending = site.begin(SAFE, Some(KEY)).await;
    site.assign_key("nobody").await;
    // Far longer than the delay of a second attempt.
    tokio::time::sleep(Duration::from_millis(6_000)).await;
    site.release_answer();
    assert_eq!(sending.await.unwrap(), 200);
    assert_eq!(site.peer.received(), [call_of("studio")]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hedged_request_carries_the_workspace() {
    let site = Site::start(false).await;
    let sending = site.begin(SAFE, Some(KEY)).await;
    assert_eq!(sending.await.unwrap(), 200, "the second attempt is answered at once");
    assert_eq!(site.peer.received(), [call_of("studio"), call_of("studio")]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_needs_no_key_is_retried_without_a_workspace_when_its_key_is_revoked() {
    let site = Site::start(true).await;
    let sending = site.begin(KEYLESS, Some(KEY)).await;
    site.assign_key("nobody").await;
    site.release_answer();
    assert_eq!(sending.await.unwrap(), 200);
    let without = Received { op: Op::Call, workspace: None };
    assert_eq!(site.peer.received(), [call_of("studio"), without.clone()]);
    assert_eq!(site.send(KEYLESS, None).await, 200, "a forged workspace is not forwarded");
    assert_eq!(site.peer.received().last(), Some(&without));
}
