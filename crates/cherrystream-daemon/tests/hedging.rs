//! Responses to requests with a hedged attempt, when one of the attempts fails or the state changes
//! meanwhile.

use cherrystream_core::reasons::Reason;
use cherrystream_core::settings;
use cherrystream_core::shared;
use cherrystream_core::units::Revision;
use cherrystream_daemon::headers::Op;
use cherrystream_daemon::hop;
use cherrystream_daemon::own_interface::OwnInterface;
use cherrystream_daemon::refusal::Refused;
use cherrystream_daemon::role::{Context, Daemon};
use cherrystream_net::body::{self, Body, Start};
use cherrystream_net::pool::Pool;
use cherrystream_net::serve::{self, Phase, Phases};
use cherrystream_schema::messages;
use http::{Request, Response};
use hyper::body::Incoming;
use messages::{
    HostRecord, Instance, InstanceRecord, RequestLimits, Route, RouteTable, RouteTarget,
};
use messages::{RoutedService, ServerState, Shared, Update};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use tokio::sync::watch;

/// Target latency of the route. A hedged attempt starts after a share of it.
const TARGET: Duration = Duration::from_millis(200);
/// Time for a stop phase or a failure to take effect.
const SETTLE_TIME: Duration = Duration::from_millis(100);

/// Result of an attempt once it may finish.
type AttemptEnd = Result<&'static str, Reason>;

/// The daemons of both backend servers. The first attempt received by either is number 0, and all
/// later ones are number 1; each finishes when its number is allowed to.
struct Attempts {
    ends: [AttemptEnd; 2],
    started: watch::Sender<usize>,
    finish: watch::Sender<[bool; 2]>,
    cancelled: watch::Sender<usize>,
}

/// Counts an attempt as cancelled if it is dropped before it finishes.
struct RunningAttempt<'a> {
    attempts: &'a Attempts,
    ended: bool,
}

impl Drop for RunningAttempt<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.attempts.cancelled.send_modify(|n| *n += 1);
        }
    }
}

impl Attempts {
    fn new(ends: [AttemptEnd; 2]) -> Arc<Attempts> {
        let (started, finish) = (watch::Sender::new(0), watch::Sender::new([false; 2]));
        Arc::new(Attempts { ends, started, finish, cancelled: watch::Sender::new(0) })
    }

    async fn answer(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        // Peers also exchange suspects; there are none here.
        if Op::read(req.headers()) == Some(Op::Suspects) {
            return Response::new(body::empty());
        }
        assert_eq!(Op::read(req.headers()), Some(Op::Call));
        let (_, head) = hop::read_call(req.headers()).expect("a call without its metadata");
        let mut number = 0;
        self.started.send_modify(|n| {
            number = (*n).min(1);
            *n += 1;
        });
        let end = self.ends[number];
        let mut running = RunningAttempt { attempts: &self, ended: false };
        let mut finish = self.finish.subscribe();
        let _ = finish.wait_for(|finish| finish[number]).await;
        running.ended = true;
        let result = end.map(|text| Response::new(body::full(text))).map_err(Refused::new);
        hop::write_answer(head.call, result, None)
    }

    async fn wait_started(&self, number: usize) {
        let _ = self.started.subscribe().wait_for(|started| *started == number).await;
    }

    fn finish(&self, number: usize) {
        self.finish.send_modify(|finish| finish[number] = true);
    }

    fn cancelled(&self) -> usize {
        *self.cancelled.borrow()
    }
}

/// Starts a peer on a free port; returns its address.
async fn start_peer(attempts: &Arc<Attempts>) -> String {
    let listener = serve::listen("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let attempts = attempts.clone();
    tokio::spawn(serve::serve(listener, Phases::default(), move |req| {
        attempts.clone().answer(req)
    }));
    address
}

/// Returns a state with an instance of a service beside each of two peers.
fn state(peers: [&str; 2]) -> Shared {
    let mut state = shared::empty();
    for (name, address) in ["peer-1", "peer-2"].into_iter().zip(peers) {
        let host = HostRecord {
            host: name.into(),
            failure_domain: "a".into(),
            region: "r".into(),
            peer_address: address.into(),
            incarnation: 1,
            leaving: false,
        };
        state.hosts.insert(name.into(), host);
        let instance = Instance {
            id: format!("i-{name}"),
            service: "quotes".into(),
            address: "127.0.0.1:1".into(),
            slots: 4,
            state: ServerState::Live,
            sequence: 1,
            born_ms: 0,
            version: String::new(),
        };
        state.instances.insert(
            name.into(),
            InstanceRecord { instance, retired: Vec::new(), retired_born_ms: BTreeMap::new() },
        );
    }
    let route = Route {
        host: "a.example".into(),
        path_prefix: "/".into(),
        repeatable: true,
        timeout_us: 20_000_000,
        target_us: TARGET.as_micros() as u64,
        priority: 1,
        attempts_at_most: 2,
        targets: vec![RouteTarget { service: "quotes".into(), weight: 1 }],
        keyless: false,
        allowed_regions: Vec::new(),
    };
    let routed =
        RoutedService { health_path: "/".into(), connections_at_most: 100, cold_milli_per_s: None };
    state.routes = Some(RouteTable {
        number: 1,
        routes: [("r-1".to_string(), route)].into(),
        services: [("quotes".to_string(), routed)].into(),
        limits: RequestLimits {
            head_bytes: 16_384,
            body_bytes: 1 << 20,
            head_timeout_us: 3_000_000,
            idle_timeout_us: 15_000_000,
        },
        workspaces: Default::default(),
        needs_key: false,
    });
    state
}

/// A daemon with hedged attempts and without retries.
struct Caller {
    daemon: Daemon,
    phases: Phases,
    address: String,
}

impl Caller {
    async fn start(state: Shared) -> Caller {
        let reserved = serve::listen("127.0.0.1:0").await.unwrap();
        let address = reserved.local_addr().unwrap().to_string();
        drop(reserved);
        let text = format!(
            "host: own\nfailure_domain: a\nclosed_network: true\ndaemon:\n  caller_address: \
             {address}\n  peer_address: 127.0.0.1:0\n  control: [127.0.0.1:1]\n  \
             retry_share: 0.0\n  retry_extra: 0.0\n  hedge_share: 1.0\n"
        );
        let all = settings::read(&text).unwrap();
        let phases = Phases::default();
        let cx = Context {
            phases: phases.clone(),
            key: None,
            interface: Arc::new(OwnInterface),
            read_seeds: Arc::new(|| None),
            metrics: Default::default(),
            ready: Arc::new(AtomicBool::new(false)),
        };
        let daemon = Daemon::start(&all, all.daemon.as_ref().unwrap(), cx).await.unwrap();
        let caller = Caller { daemon, phases, address };
        caller.apply(1, state);
        caller
    }

    fn apply(&self, index: u64, state: Shared) {
        self.daemon.current_config().apply(Update {
            revision: Revision { term: 1, index },
            changes: Vec::new(),
            full: Some(state),
        });
    }

    async fn send_request_once(&self) -> (u16, String) {
        let req = Request::get("/x").header("host", "a.example").body(body::empty()).unwrap();
        let pool = Pool::new(&self.address, Default::default());
        let connection = pool.connection().await.expect("no connection");
        let (parts, body) = pool.send(connection, req).await.expect("no answer").into_parts();
        let Ok(Start::Whole(bytes)) = body::read_start(body, 1 << 16).await else {
            panic!("the response body is incomplete");
        };
        (parts.status.as_u16(), String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Sends the request until the state is in effect; until then the service is unknown.
    async fn send_request(&self) -> (u16, String) {
        for _ in 0..1_000 {
            let answer = self.send_request_once().await;
            if answer.0 != 404 {
                return answer;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("the state is not in effect after 5 s");
    }

    /// Waits until a state without services is in effect.
    async fn wait_until_removed(&self) {
        while self.send_request_once().await.0 != 404 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Sends a request with two attempts that run when its host begins to stop, and finishes them in
/// the given order. Returns the answer, and how many attempts were cancelled.
async fn answer_during_stop(ends: [AttemptEnd; 2], order: [usize; 2]) -> ((u16, String), usize) {
    let attempts = Attempts::new(ends);
    let peers = [start_peer(&attempts).await, start_peer(&attempts).await];
    let caller = Caller::start(state([&peers[0], &peers[1]])).await;
    let phases = caller.phases.clone();
    let ending = async {
        attempts.wait_started(2).await;
        phases.enter(Phase::Leaving);
        attempts.finish(order[0]);
        tokio::time::sleep(SETTLE_TIME).await;
        let cancelled = attempts.cancelled();
        attempts.finish(order[1]);
        cancelled
    };
    let ended = tokio::join!(caller.send_request(), ending);
    assert_eq!(*attempts.started.borrow(), 2, "expected exactly two attempts");
    ended
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hedged_attempt_continues_when_the_first_one_fails() {
    let ends = [Err(Reason::BackendServerBroke), Ok("done")];
    let ((status, text), cancelled) = answer_during_stop(ends, [0, 1]).await;
    assert_eq!((status, text.as_str(), cancelled), (200, "done", 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_first_attempt_continues_when_the_hedged_one_fails() {
    let ends = [Ok("done"), Err(Reason::BackendServerBroke)];
    let ((status, text), cancelled) = answer_during_stop(ends, [1, 0]).await;
    assert_eq!((status, text.as_str(), cancelled), (200, "done", 0));
}

/// Guards against reporting "not run" because of one attempt although the other may have run.
#[tokio::test(flavor = "multi_thread")]
async fn not_run_is_not_reported_if_either_attempt_may_have_run() {
    let (refused, broke) = (Err(Reason::DeadlineBeforeStart), Err(Reason::BackendServerBroke));
    for (ends, order) in [([refused, broke], [0, 1]), ([refused, broke], [1, 0])] {
        let ((status, text), _) = answer_during_stop(ends, order).await;
        assert_eq!(status, 502, "{text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn not_run_is_reported_if_neither_attempt_ran() {
    let ends = [Err(Reason::DeadlineBeforeStart), Err(Reason::DeadlineBeforeStart)];
    let ((status, text), _) = answer_during_stop(ends, [0, 1]).await;
    assert_eq!(status, 503, "{text}");
}

/// Guards against cancelling a request whose route, service, instance and host are removed from the
/// state.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_completes_after_its_route_service_and_host_are_removed() {
    let attempts = Attempts::new([Ok("done"), Err(Reason::DeadlineBeforeStart)]);
    let peer = start_peer(&attempts).await;
    let mut initial = state([&peer, &peer]);
    initial.instances.remove("peer-2");
    let caller = Caller::start(initial).await;
    let removing = async {
        attempts.wait_started(1).await;
        attempts.finish(1);
        caller.apply(2, shared::empty());
        caller.wait_until_removed().await;
        // Connections to removed hosts are closed when the state changes.
        tokio::time::sleep(SETTLE_TIME).await;
        attempts.finish(0);
    };
    let ((status, text), ()) = tokio::join!(caller.send_request(), removing);
    assert_eq!((status, text.as_str(), attempts.cancelled()), (200, "done", 0));
}
