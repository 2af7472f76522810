//! Reservations that a daemon makes at a peer for long bodies and non-repeatable requests.

use cherrystream_core::reasons::Reason;
use cherrystream_core::reservations::Reservation;
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
use cherrystream_net::serve::{self, Phases};
use cherrystream_schema::messages;
use http::{Request, Response};
use hyper::body::Incoming;
use messages::{
    HostRecord, Instance, InstanceRecord, RequestLimits, Route, RouteTable, RouteTarget,
};
use messages::{RoutedService, ServerState, Shared, Update};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

const SLOT: Reservation = Reservation(42);
/// Time until a slot is free.
const SLOT_WAIT: Duration = Duration::from_millis(1_200);
/// Longest time beyond the timeout of a route until its request has an answer.
const MAX_LATENESS: Duration = Duration::from_millis(500);
const LONG_BODY: &str = "thirty-two bytes of a long body.";

/// A call received by the peer, with the length of its body.
#[derive(Clone, Debug, PartialEq)]
struct ReceivedCall {
    op: Op,
    reservation: Option<Reservation>,
    body_bytes: usize,
}

/// Behavior of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behavior {
    Grants,
    /// Grants, but answers the first reservation long after its timeout.
    GrantsLate,
    /// Answers reservations after [`SLOT_WAIT`], and calls never, as a host that stalls then.
    GrantsThenStalls,
    Refuses,
    /// Accepts calls and never answers, as a stalled host does.
    Unresponsive,
}

/// A peer that records the calls it receives.
struct Peer {
    behavior: Behavior,
    received: Mutex<Vec<ReceivedCall>>,
}

impl Peer {
    async fn answer(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let (parts, incoming) = req.into_parts();
        // Peers also exchange suspects; there are none here.
        if Op::read(&parts.headers) == Some(Op::Suspects) {
            return Response::new(body::empty());
        }
        let op = Op::read(&parts.headers).expect("a call without an operation");
        let (_, head) = hop::read_call(&parts.headers).expect("a call without its metadata");
        let Ok(Start::Whole(bytes)) = body::read_start(body::incoming(incoming), 1 << 20).await
        else {
            panic!("the body is incomplete");
        };
        let call = ReceivedCall { op, reservation: head.reservation, body_bytes: bytes.len() };
        let is_first = {
            let mut all = self.received.lock();
            all.push(call);
            all.len() == 1
        };
        if is_first && self.behavior == Behavior::GrantsLate {
            tokio::time::sleep(Duration::from_millis(900)).await;
        }
        let refused = Refused::new(Reason::BusyNow);
        let grants = matches!(self.behavior, Behavior::Grants | Behavior::GrantsLate);
        if self.behavior == Behavior::GrantsThenStalls {
            if op != Op::Reserve {
                std::future::pending::<()>().await;
            }
            tokio::time::sleep(SLOT_WAIT).await;
            return hop::write_reservation(head.call, Ok(SLOT), None);
        }
        match op {
            _ if self.behavior == Behavior::Unresponsive => std::future::pending().await,
            Op::Reserve if grants => hop::write_reservation(head.call, Ok(SLOT), None),
            Op::Reserve => hop::write_reservation(head.call, Err(refused), None),
            _ if grants => {
                hop::write_answer(head.call, Ok(Response::new(body::full("done"))), None)
            }
            _ => hop::write_answer(head.call, Err(refused), None),
        }
    }
}

/// Starts a peer on a free port; returns the peer and its address.
async fn start_peer(behavior: Behavior) -> (Arc<Peer>, String) {
    let listener = serve::listen("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let peer = Arc::new(Peer { behavior, received: Mutex::default() });
    let handler = peer.clone();
    tokio::spawn(serve::serve(listener, Phases::default(), move |req| handler.clone().answer(req)));
    (peer, address)
}

/// Returns a state in which the only instance of a service is beside the peer.
fn state(peer_address: &str) -> Shared {
    state_with(peer_address, false)
}

/// As [`state`], with a repeatable or non-repeatable route.
fn state_with(peer_address: &str, repeatable: bool) -> Shared {
    let mut state = shared::empty();
    let host = |name: &str, address: &str| HostRecord {
        host: name.into(),
        failure_domain: "a".into(),
        region: "r".into(),
        peer_address: address.into(),
        incarnation: 1,
        leaving: false,
    };
    state.hosts.insert("peer".into(), host("peer", peer_address));
    let instance = Instance {
        id: "i-1".into(),
        service: "orders".into(),
        address: "127.0.0.1:1".into(),
        slots: 4,
        state: ServerState::Live,
        sequence: 1,
        born_ms: 0,
        version: String::new(),
    };
    state.instances.insert(
        "peer".into(),
        InstanceRecord { instance, retired: Vec::new(), retired_born_ms: BTreeMap::new() },
    );
    let route = Route {
        host: "a.example".into(),
        path_prefix: "/".into(),
        repeatable,
        timeout_us: 2_000_000,
        target_us: 1_000_000,
        priority: 1,
        attempts_at_most: 2,
        targets: vec![RouteTarget { service: "orders".into(), weight: 1 }],
        keyless: false,
        allowed_regions: Vec::new(),
    };
    let routed =
        RoutedService { health_path: "/".into(), connections_at_most: 100, cold_milli_per_s: None };
    state.routes = Some(RouteTable {
        number: 1,
        routes: [("r-1".to_string(), route)].into(),
        services: [("orders".to_string(), routed)].into(),
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

/// Starts a daemon with a state; returns the daemon and its address for callers.
async fn start_daemon(state: Shared) -> (Daemon, String) {
    let reserved = serve::listen("127.0.0.1:0").await.unwrap();
    let callers = reserved.local_addr().unwrap().to_string();
    drop(reserved);
    let text = format!(
        "host: own\nfailure_domain: a\nclosed_network: true\ndaemon:\n  caller_address: {callers}\n  \
         peer_address: 127.0.0.1:0\n  control: [127.0.0.1:1]\n"
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
    (daemon, callers)
}

async fn send_request(callers: &str, text: String) -> u16 {
    let req = Request::post("/x").header("host", "a.example").body(body::full(text)).unwrap();
    let pool = Pool::new(callers, Default::default());
    let connection = pool.connection().await.expect("no connection");
    pool.send(connection, req).await.expect("no answer").status().as_u16()
}

/// Sends the request until the state is in effect; until then the service is unknown.
async fn send_until_in_effect(callers: &str, text: &str) -> u16 {
    for _ in 0..1_000 {
        let status = send_request(callers, text.into()).await;
        if status != 404 {
            return status;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the state is not in effect after 5 s");
}

/// Checks that the request was sent once, with its slot, after at least one reservation and nothing
/// else.
fn assert_reserved_first(peer: &Peer, body_bytes: usize) {
    let calls = peer.received.lock().clone();
    let (last, before) = calls.split_last().expect("no call was received");
    let reserve = ReceivedCall { op: Op::Reserve, reservation: None, body_bytes: 0 };
    assert_eq!(*last, ReceivedCall { op: Op::Call, reservation: Some(SLOT), body_bytes });
    assert!(!before.is_empty() && before.iter().all(|a| *a == reserve), "{calls:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_body_is_not_sent_with_a_refused_offer() {
    let (peer, address) = start_peer(Behavior::Refuses).await;
    let (_daemon, callers) = start_daemon(state(&address)).await;
    assert_eq!(send_until_in_effect(&callers, &LONG_BODY.repeat(128)).await, 503);
    let calls = peer.received.lock().clone();
    assert!(calls.iter().all(|a| a.op == Op::Reserve && a.body_bytes == 0), "{calls:?}");
    assert!(!calls.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_body_is_sent_once_to_its_reserved_slot() {
    let (peer, address) = start_peer(Behavior::Grants).await;
    let (_daemon, callers) = start_daemon(state(&address)).await;
    assert_eq!(send_until_in_effect(&callers, &LONG_BODY.repeat(128)).await, 200);
    assert_reserved_first(&peer, 32 * 128);
}

/// Guards against consuming a streamed body, which can be sent only once, by a refused offer.
#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_body_is_sent_after_a_reservation() {
    let (peer, address) = start_peer(Behavior::Grants).await;
    let (_daemon, callers) = start_daemon(state(&address)).await;
    let repeats = 4 * 1_024;
    assert_eq!(send_until_in_effect(&callers, &LONG_BODY.repeat(repeats)).await, 200);
    let ops: Vec<Op> = peer.received.lock().iter().map(|call| call.op).collect();
    assert_eq!(ops, [Op::Reserve, Op::Call]);
    assert_eq!(peer.received.lock()[1].body_bytes, 32 * repeats);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_short_body_of_a_repeatable_request_is_sent_with_the_offer() {
    let (peer, address) = start_peer(Behavior::Grants).await;
    let (_daemon, callers) = start_daemon(state_with(&address, true)).await;
    assert_eq!(send_until_in_effect(&callers, LONG_BODY).await, 200);
    let call = ReceivedCall { op: Op::Call, reservation: None, body_bytes: 32 };
    assert_eq!(*peer.received.lock(), [call]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_non_repeatable_request_of_any_length_reserves_a_slot() {
    let (peer, address) = start_peer(Behavior::Grants).await;
    let (_daemon, callers) = start_daemon(state(&address)).await;
    assert_eq!(send_until_in_effect(&callers, LONG_BODY).await, 200);
    assert_reserved_first(&peer, 32);
}

/// A reservation that times out is repeated; the request is still sent only once.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_grant_is_requested_again_and_the_request_sent_once() {
    let (peer, address) = start_peer(Behavior::GrantsLate).await;
    let (_daemon, callers) = start_daemon(state(&address)).await;
    assert_eq!(send_until_in_effect(&callers, LONG_BODY).await, 200);
    assert_reserved_first(&peer, 32);
    assert!(peer.received.lock().len() > 2, "the reservation was not repeated");
}

/// Guards against an unknown outcome from a stalled host: the caller learns that the request has
/// not run, well before the route's deadline of 2 s.
#[tokio::test(flavor = "multi_thread")]
async fn a_non_repeatable_request_has_not_run_if_the_peer_is_unresponsive() {
    let (peer, address) = start_peer(Behavior::Unresponsive).await;
    let (_daemon, callers) = start_daemon(state(&address)).await;
    let started = std::time::Instant::now();
    assert_eq!(send_until_in_effect(&callers, LONG_BODY).await, 503);
    let took = started.elapsed();
    assert!(took < Duration::from_millis(1_500), "answered after {took:?}");
    let calls = peer.received.lock().clone();
    assert!(calls.iter().all(|a| a.op == Op::Reserve), "{calls:?}");
}

/// Guards against a request that is held past its deadline by the time that it waited for a slot.
#[tokio::test(flavor = "multi_thread")]
async fn the_wait_for_a_slot_does_not_extend_the_deadline() {
    let (peer, address) = start_peer(Behavior::GrantsThenStalls).await;
    let mut state = state(&address);
    let route = state.routes.as_mut().and_then(|table| table.routes.get_mut("r-1")).unwrap();
    // A fifth of the target latency is the longest wait for a slot.
    route.target_us = 10_000_000;
    let timeout = Duration::from_micros(route.timeout_us);
    let (_daemon, callers) = start_daemon(state).await;
    assert_eq!(send_until_in_effect(&callers, "").await, 504);
    assert_reserved_first(&peer, 0);
    let started = Instant::now();
    assert_eq!(send_request(&callers, String::new()).await, 504);
    let took = started.elapsed();
    assert!(took < timeout + MAX_LATENESS, "answered after {took:?}");
}
