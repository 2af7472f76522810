//! Requests of a route with allowed regions are served only there, whatever fails and however well
//! others would serve them.

use cherrystream_core::reasons::Reason;
use cherrystream_core::settings;
use cherrystream_core::shared;
use cherrystream_core::units::Revision;
use cherrystream_daemon::headers::Op;
use cherrystream_daemon::hop;
use cherrystream_daemon::own_interface::OwnInterface;
use cherrystream_daemon::refusal::Refused;
use cherrystream_daemon::role::{Context, Daemon};
use cherrystream_net::body;
use cherrystream_net::pool::Pool;
use cherrystream_net::serve::{self, Phases};
use cherrystream_schema::messages;
use http::{Request, Response};
use messages::{
    HostRecord, Instance, InstanceRecord, RequestLimits, Route, RouteTable, RouteTarget,
    RoutedService, ServerState, Shared, Update,
};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// A daemon of a region, beside a backend server.
struct Peer {
    name: &'static str,
    region: &'static str,
    /// Reason of its refusals; `None` if it answers.
    refusal: Option<Reason>,
    calls: Arc<AtomicUsize>,
}

impl Peer {
    fn new(name: &'static str, region: &'static str, refusal: Option<Reason>) -> Peer {
        Peer { name, region, refusal, calls: Arc::default() }
    }

    async fn start(&self) -> String {
        let listener = serve::listen("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let (refusal, calls) = (self.refusal, self.calls.clone());
        tokio::spawn(serve::serve(listener, Phases::default(), move |req| {
            let calls = calls.clone();
            async move {
                // Peers also exchange suspects; there are none here.
                if Op::read(req.headers()) == Some(Op::Suspects) {
                    return Response::new(body::empty());
                }
                calls.fetch_add(1, Ordering::SeqCst);
                let (_, head) = hop::read_call(req.headers()).expect("a call without its metadata");
                let result = match refusal {
                    Some(reason) => Err(Refused::new(reason)),
                    None => Ok(Response::new(body::full("served"))),
                };
                hop::write_answer(head.call, result, None)
            }
        }));
        address
    }

    fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }
}

fn add_peer(state: &mut Shared, peer: &Peer, address: &str) {
    let host = HostRecord {
        host: peer.name.into(),
        failure_domain: peer.name.into(),
        region: peer.region.into(),
        peer_address: address.into(),
        incarnation: 1,
        leaving: false,
    };
    state.hosts.insert(peer.name.into(), host);
    let instance = Instance {
        id: format!("i-{}", peer.name),
        service: "quotes".into(),
        address: "127.0.0.1:1".into(),
        slots: 4,
        state: ServerState::Live,
        sequence: 1,
        born_ms: 0,
        version: String::new(),
    };
    let record = InstanceRecord { instance, retired: Vec::new(), retired_born_ms: BTreeMap::new() };
    state.instances.insert(peer.name.into(), record);
}

fn table(allowed_regions: &[&str]) -> RouteTable {
    let route = Route {
        host: "a.example".into(),
        path_prefix: "/".into(),
        repeatable: true,
        timeout_us: 5_000_000,
        target_us: 1_000_000,
        priority: 1,
        attempts_at_most: 4,
        targets: vec![RouteTarget { service: "quotes".into(), weight: 1 }],
        keyless: false,
        allowed_regions: allowed_regions.iter().map(|region| region.to_string()).collect(),
    };
    let routed =
        RoutedService { health_path: "/".into(), connections_at_most: 100, cold_milli_per_s: None };
    let limits = RequestLimits {
        head_bytes: 16_384,
        body_bytes: 1 << 20,
        head_timeout_us: 3_000_000,
        idle_timeout_us: 15_000_000,
    };
    RouteTable {
        number: 1,
        routes: [("r-1".to_string(), route)].into(),
        services: [("quotes".to_string(), routed)].into(),
        limits,
        workspaces: Default::default(),
        needs_key: false,
    }
}

/// Starts a daemon of region `r1` with the peers and a route with these regions; returns the daemon
/// and a connection pool to it.
async fn start_caller(peers: &[Peer], allowed_regions: &[&str]) -> (Daemon, Pool) {
    let mut state = shared::empty();
    for peer in peers {
        let address = peer.start().await;
        add_peer(&mut state, peer, &address);
    }
    state.routes = Some(table(allowed_regions));
    let reserved = serve::listen("127.0.0.1:0").await.unwrap();
    let address = reserved.local_addr().unwrap().to_string();
    drop(reserved);
    let text = format!(
        "host: own\nfailure_domain: a\nregion: r1\nclosed_network: true\ndaemon:\n  caller_address: \
         {address}\n  peer_address: 127.0.0.1:0\n  control: [127.0.0.1:1]\n  retry_share: 1.0\n  \
         retry_extra: 1000.0\n"
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
    daemon.current_config().apply(Update {
        revision: Revision { term: 1, index: 1 },
        changes: Vec::new(),
        full: Some(state),
    });
    (daemon, Pool::new(&address, Default::default()))
}

/// Sends a request once the state is in effect; returns the status and the reason.
async fn send_request(pool: &Pool) -> (u16, String) {
    for _ in 0..1_000 {
        let req = Request::get("/x").header("host", "a.example").body(body::empty()).unwrap();
        let connection = pool.connection().await.expect("no connection");
        let res = pool.send(connection, req).await.expect("no answer");
        let reason = res.headers().get("cherrystream-reason");
        let reason = reason.map(|value| value.to_str().unwrap().to_string()).unwrap_or_default();
        if res.status() != 404 {
            return (res.status().as_u16(), reason);
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the state is not in effect after 5 s");
}

#[tokio::test]
async fn a_request_is_served_only_in_the_regions_of_its_route() {
    let peers = [Peer::new("near", "r1", None), Peer::new("far", "r2", None)];
    let (_daemon, pool) = start_caller(&peers, &["r2"]).await;
    for _ in 0..20 {
        assert_eq!(send_request(&pool).await.0, 200);
    }
    assert_eq!((peers[0].calls(), peers[1].calls()), (0, 20));
}

#[tokio::test]
async fn neither_retries_nor_busy_servers_lead_out_of_the_regions() {
    for reason in [Reason::BusyNow, Reason::QueueFull, Reason::BackendServerDown] {
        let peers = [Peer::new("near", "r1", None), Peer::new("far", "r2", Some(reason))];
        let (_daemon, pool) = start_caller(&peers, &["r2"]).await;
        for _ in 0..5 {
            assert_eq!(send_request(&pool).await.0, 503, "{reason}");
        }
        assert_eq!(peers[0].calls(), 0, "{reason}");
        assert!(peers[1].calls() > 0);
    }
}

#[tokio::test]
async fn without_a_backend_server_in_an_allowed_region_it_is_refused_at_once() {
    let peers = [Peer::new("near", "r1", None)];
    let (_daemon, pool) = start_caller(&peers, &["r2"]).await;
    assert_eq!(send_request(&pool).await, (503, "region-not-allowed".into()));
    assert_eq!(peers[0].calls(), 0);
}

#[tokio::test]
async fn a_route_without_regions_is_served_anywhere() {
    let peers = [Peer::new("far", "r2", None)];
    let (_daemon, pool) = start_caller(&peers, &[]).await;
    assert_eq!(send_request(&pool).await.0, 200);
}
