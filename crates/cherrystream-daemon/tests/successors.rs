//! Calls for an instance that another one of its service has followed.

use cherrystream_core::attempts::{Claimed, RequestKey};
use cherrystream_core::deadline::Deadline;
use cherrystream_core::reasons::Reason;
use cherrystream_core::settings;
use cherrystream_core::shared;
use cherrystream_core::suspects::{CallerFingerprint, Fingerprint, Identity};
use cherrystream_core::units::Revision;
use cherrystream_daemon::inbound::InboundCall;
use cherrystream_daemon::own_interface::OwnInterface;
use cherrystream_daemon::role::{Context, Daemon};
use cherrystream_net::body;
use cherrystream_net::clock::Clock;
use cherrystream_net::serve::Phases;
use cherrystream_schema::messages::{Instance, ServerState, Update};
use http::Request;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

const WAIT: Duration = Duration::from_millis(500);

/// Starts a daemon beside an instance, `i-2` of `orders`, that holds a state.
async fn daemon() -> Daemon {
    let daemon = daemon_without_state().await;
    let update = Update {
        revision: Revision { term: 1, index: 1 },
        changes: Vec::new(),
        full: Some(shared::empty()),
    };
    assert!(daemon.held().apply(update));
    daemon.inbound().doors.set(&daemon.held().get());
    daemon
}

async fn daemon_without_state() -> Daemon {
    let text = "host: own\nfailure_domain: a\nclosed_network: true\ndaemon:\n  caller_address: \
                127.0.0.1:0\n  peer_address: 127.0.0.1:0\n  control: [127.0.0.1:1]\n";
    let all = settings::read(text).unwrap();
    let cx = Context {
        phases: Phases::default(),
        key: None,
        interface: Arc::new(OwnInterface),
        reread: Arc::new(|| None),
        metrics: Default::default(),
        ready: Arc::new(AtomicBool::new(false)),
    };
    let daemon = Daemon::start(&all, all.daemon.as_ref().unwrap(), cx).await.unwrap();
    daemon.inbound().doors.set_instance(Some(&instance(ServerState::Live)), true);
    daemon
}

fn instance(state: ServerState) -> Instance {
    Instance {
        id: "i-2".into(),
        service: "orders".into(),
        address: "127.0.0.1:1".into(),
        slots: 4,
        state,
        sequence: 1,
        born_ms: 0,
        version: String::new(),
    }
}

/// A call for `i-1`, which ran beside the daemon before.
fn call(service: &str) -> InboundCall {
    InboundCall {
        service: service.into(),
        server: "i-1".into(),
        kind: "r-1".into(),
        workspace: None,
        caller: None,
        weight: 1,
        deadline: Deadline::new(Clock::default().now(), None, WAIT),
        wait_at_most: WAIT,
        selective: false,
        good_for: None,
        reservation: None,
        identity: Identity { request: Fingerprint(1), caller: CallerFingerprint(1) },
        alone: false,
        call: "call-1".into(),
        claimed: None,
        req: Request::new(body::empty()),
    }
}

/// Load: all hosts are back after a loss of power and hold the state of before, in which every instance is an earlier
/// one.
#[tokio::test]
async fn the_instance_that_runs_now_serves_a_call_for_an_earlier_one() {
    let daemon = daemon().await;
    let reserved = daemon.inbound().reserve(call("orders")).await;
    assert!(reserved.result.is_ok(), "{:?}", reserved.result.err().map(|refused| refused.reason));
}

#[tokio::test]
async fn an_instance_of_another_service_serves_no_such_call() {
    let daemon = daemon().await;
    let refused = daemon.inbound().reserve(call("quotes")).await.result.err().unwrap();
    assert_eq!(refused.reason, Reason::NotHere);
}

#[tokio::test]
async fn an_instance_that_leaves_serves_no_such_call() {
    let daemon = daemon().await;
    daemon.inbound().doors.set_instance(Some(&instance(ServerState::Draining)), true);
    let refused = daemon.inbound().reserve(call("orders")).await.result.err().unwrap();
    assert_eq!(refused.reason, Reason::Draining);
}

/// The ledger holds which backend server an attempt is for.
#[tokio::test]
async fn a_claimed_call_goes_to_its_own_backend_server_only() {
    let daemon = daemon().await;
    let key = RequestKey { service: "orders".into(), key: "key-1".into() };
    let claimed = Claimed { claim: 1, index: 1, incarnation: daemon.inbound().incarnation };
    let call = InboundCall { claimed: Some((key, claimed)), ..call("orders") };
    let refused = daemon.inbound().call(call).await.result.err().unwrap();
    assert_eq!(refused.reason, Reason::NotHere);
}

/// Load: all hosts are back after a loss of power, and the state comes later to one than to others. It does not know yet
/// what its cold backend server takes; served without a bound, that got 40 requests in a second and fell over.
#[tokio::test]
async fn a_host_that_holds_no_state_yet_takes_no_call() {
    let daemon = daemon_without_state().await;
    let refused = daemon.inbound().reserve(call("orders")).await.result.err().unwrap();
    assert_eq!(refused.reason, Reason::BusyNow);
    let refused = daemon.inbound().call(call("orders")).await.result.err().unwrap();
    assert_eq!(refused.reason, Reason::BusyNow);
}

/// The backend server started again: it holds none of the requests that the door to its earlier run counts.
#[tokio::test]
async fn a_run_under_the_same_identifier_gets_a_door_of_its_own() {
    let daemon = daemon().await;
    let doors = &daemon.inbound().doors;
    let mut run = Instance { slots: 1, id: "i-3".into(), ..instance(ServerState::Live) };
    doors.set_instance(Some(&run), true);
    let earlier = doors.instance().unwrap();
    assert!(daemon.inbound().reserve(call("orders")).await.result.is_ok());
    let inbound = daemon.inbound().clone();
    let waits = tokio::spawn(async move { inbound.reserve(call("orders")).await.result.err() });
    while earlier.report(1).queued == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    run = Instance { born_ms: 7, ..run };
    doors.set_instance(Some(&run), true);
    let now = doors.instance().unwrap();
    assert!(!Arc::ptr_eq(&now, &earlier));
    assert_eq!((now.report(1).in_flight, earlier.report(1).in_flight), (0, 1));
    let refused = waits.await.unwrap().unwrap();
    assert_eq!(refused.reason, Reason::BackendServerDown, "what waited may go elsewhere");
    assert!(daemon.inbound().reserve(call("orders")).await.result.is_ok());
    doors.set_instance(Some(&Instance { sequence: 2, ..run }), true);
    assert!(Arc::ptr_eq(&now, &doors.instance().unwrap()), "a further word of the same run");
}
