//! Requests whose key is taken away, or moves, while they wait: what other daemons see of them, and what their callers are told.

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
/// A path whose requests may be repeated, one whose requests may not, and one that needs no key.
const SAFE: &str = "/safe/";
const ONCE: &str = "/once/";
const KEYLESS: &str = "/keyless/";

/// What a peer was asked.
#[derive(Clone, Debug, PartialEq)]
struct Asked {
    op: Op,
    workspace: Option<String>,
}

/// A daemon beside backend servers. It holds its first answer back until the test lets it go.
struct Peer {
    /// Whether the first answer is a refusal that leads to another attempt.
    refuses_first: bool,
    go: Semaphore,
    asked: Mutex<Vec<Asked>>,
}

impl Peer {
    async fn answer(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let (parts, incoming) = req.into_parts();
        let told = format!("{:?}", parts.headers);
        assert!(!told.contains(KEY) && !parts.headers.contains_key("authorization"), "{told}");
        // Daemons also ask each other what has ended backend servers; nothing is known of that here.
        if Op::read(&parts.headers) == Some(Op::Suspects) {
            return Response::new(body::empty());
        }
        let op = Op::read(&parts.headers).expect("a daemon names what it asks");
        let (aim, head) = hop::read_call(&parts.headers).expect("a call has a head");
        let workspace = aim.workspace.map(str::to_string);
        let is_first = {
            let mut asked = self.asked.lock();
            asked.push(Asked { op, workspace });
            asked.len() == 1
        };
        drop(body::read_start(body::incoming(incoming), 1 << 20).await);
        if is_first {
            self.go.acquire().await.unwrap().forget();
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

    fn asked(&self) -> Vec<Asked> {
        self.asked.lock().clone()
    }
}

/// A daemon whose only backend servers are beside a peer.
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
        let peer = Arc::new(Peer { refuses_first, go: Semaphore::new(0), asked: Mutex::default() });
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
            reread: Arc::new(|| None),
            metrics: Default::default(),
            ready: Arc::new(AtomicBool::new(false)),
        };
        let daemon = Daemon::start(&all, all.daemon.as_ref().unwrap(), cx).await.unwrap();
        let site = Site { peer, daemon, callers, revision: AtomicU64::new(0), state };
        site.hold("studio").await;
        site
    }

    /// Has a workspace hold the key, and nobody when it is named so; waits until the daemon goes by that.
    async fn hold(&self, workspace: &str) {
        let mut state = self.state.clone();
        let keys = if workspace == "nobody" { vec![] } else { vec![workspaces::digest(KEY)] };
        let held = Workspace { key_digests: keys, ..Workspace::default() };
        state.config.workspaces.insert(workspace.into(), held);
        let index = self.revision.fetch_add(1, Ordering::SeqCst) + 1;
        let revision = Revision { term: 1, index };
        let update = Update { revision, changes: Vec::new(), full: Some(state) };
        assert!(self.daemon.held().apply(update));
        // The daemon goes by it once a request without a route and with the key is told so.
        for _ in 0..1_000 {
            let wanted = if workspace == "nobody" { 401 } else { 404 };
            if self.ask("/none/", Some(KEY)).await == wanted
                && self.ask("/none/", None).await == 401
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("revision {index} is not in force after 5 s");
    }

    async fn ask(&self, path: &str, key: Option<&str>) -> u16 {
        ask(&Pool::new(&self.callers, Default::default()), path, key).await
    }

    /// Sends a request and waits until the peer has it.
    async fn begin(
        &self,
        path: &'static str,
        key: Option<&'static str>,
    ) -> tokio::task::JoinHandle<u16> {
        let pool = Pool::new(&self.callers, Default::default());
        let asking = tokio::spawn(async move { ask(&pool, path, key).await });
        for _ in 0..1_000 {
            if !self.peer.asked().is_empty() {
                return asking;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("the peer was not asked within 5 s");
    }

    fn let_go(&self) {
        self.peer.go.add_permits(1);
    }
}

async fn ask(pool: &Pool, path: &str, key: Option<&str>) -> u16 {
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

fn call_of(workspace: &str) -> Asked {
    Asked { op: Op::Call, workspace: Some(workspace.into()) }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_is_revoked_binds_the_next_request_of_a_kept_connection() {
    let site = Site::start(false).await;
    site.let_go();
    let pool = Pool::new(&site.callers, Default::default());
    assert_eq!(ask(&pool, SAFE, Some(KEY)).await, 200);
    assert_eq!(ask(&pool, SAFE, Some("another")).await, 401);
    assert_eq!(ask(&pool, SAFE, None).await, 401);
    site.hold("nobody").await;
    assert_eq!(ask(&pool, SAFE, Some(KEY)).await, 401);
    site.hold("studio").await;
    assert_eq!(ask(&pool, SAFE, Some(KEY)).await, 200);
    assert_eq!(site.peer.asked(), [call_of("studio"), call_of("studio")]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_not_sent_again_under_a_key_that_was_revoked_meanwhile() {
    let site = Site::start(true).await;
    let asking = site.begin(SAFE, Some(KEY)).await;
    site.hold("nobody").await;
    site.let_go();
    assert_eq!(asking.await.unwrap(), 401);
    assert_eq!(site.peer.asked(), [call_of("studio")]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_key_has_moved_is_sent_again_under_the_new_workspace() {
    let site = Site::start(true).await;
    let asking = site.begin(SAFE, Some(KEY)).await;
    site.hold("guild").await;
    site.let_go();
    assert_eq!(asking.await.unwrap(), 200);
    assert_eq!(site.peer.asked(), [call_of("studio"), call_of("guild")]);
}

/// The slot was waited for; nothing of the request has been sent yet.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_waits_for_its_slot_is_not_sent_once_its_key_is_revoked() {
    let site = Site::start(false).await;
    let asking = site.begin(ONCE, Some(KEY)).await;
    // It is given up as silent after a while, and asked again: each question is for a slot only.
    site.hold("nobody").await;
    site.let_go();
    assert_eq!(asking.await.unwrap(), 401);
    let asked = site.peer.asked();
    assert!(asked.iter().all(|asked| asked.op == Op::Reserve), "{asked:?}");
}

/// The first attempt was sent in time, so its answer counts; a second one would begin under a revoked key.
#[tokio::test(flavor = "multi_thread")]
async fn no_second_attempt_joins_under_a_key_that_was_revoked_meanwhile() {
    let site = Site::start(false).await;
    let asking = site.begin(SAFE, Some(KEY)).await;
    site.hold("nobody").await;
    // Far longer than a first attempt is waited for.
    tokio::time::sleep(Duration::from_millis(6_000)).await;
    site.let_go();
    assert_eq!(asking.await.unwrap(), 200);
    assert_eq!(site.peer.asked(), [call_of("studio")]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_attempt_carries_the_workspace_too() {
    let site = Site::start(false).await;
    let asking = site.begin(SAFE, Some(KEY)).await;
    assert_eq!(asking.await.unwrap(), 200, "the second attempt is answered at once");
    assert_eq!(site.peer.asked(), [call_of("studio"), call_of("studio")]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_needs_no_key_goes_on_without_a_workspace_when_its_key_is_revoked() {
    let site = Site::start(true).await;
    let asking = site.begin(KEYLESS, Some(KEY)).await;
    site.hold("nobody").await;
    site.let_go();
    assert_eq!(asking.await.unwrap(), 200);
    let without = Asked { op: Op::Call, workspace: None };
    assert_eq!(site.peer.asked(), [call_of("studio"), without.clone()]);
    assert_eq!(site.ask(KEYLESS, None).await, 200, "a forged name does not go on");
    assert_eq!(site.peer.asked().last(), Some(&without));
}
