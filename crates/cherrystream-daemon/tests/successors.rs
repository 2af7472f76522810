//! Calls for an instance that another one of its service has replaced.

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

/// Starts a daemon with a configuration and an instance, `i-2` of `orders`.
async fn daemon() -> Daemon {
    let daemon = daemon_without_config().await;
    let update = Update {
        revision: Revision { term: 1, index: 1 },
        changes: Vec::new(),
        full: Some(shared::empty()),
    };
    assert!(daemon.current_config().apply(update));
    daemon.inbound().local_servers.apply_config(&daemon.current_config().get());
    daemon
}

async fn daemon_without_config() -> Daemon {
    let text = "host: own\nfailure_domain: a\nclosed_network: true\ndaemon:\n  caller_address: \
                127.0.0.1:0\n  peer_address: 127.0.0.1:0\n  control: [127.0.0.1:1]\n";
    let all = settings::read(text).unwrap();
    let cx = Context {
        phases: Phases::default(),
        key: None,
        interface: Arc::new(OwnInterface),
        read_seeds: Arc::new(|| None),
        metrics: Default::default(),
        ready: Arc::new(AtomicBool::new(false)),
    };
    let daemon = Daemon::start(&all, all.daemon.as_ref().unwrap(), cx).await.unwrap();
    daemon.inbound().local_servers.set_instance(Some(&instance(ServerState::Live)), true);
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

/// Returns a call for `i-1`, the previous instance.
fn call(service: &str) -> InboundCall {
    InboundCall {
        service: service.into(),
        server: "i-1".into(),
        kind: "r-1".into(),
        workspace: None,
        caller: None,
        weight: 1,
        deadline: Deadline::new(Clock::default().now(), None, WAIT),
        max_wait: WAIT,
        selective: false,
        good_for: None,
        reservation: None,
        identity: Identity { request: Fingerprint(1), caller: CallerFingerprint(1) },
        alone: false,
        is_resendable: false,
        call: "call-1".into(),
        claimed: None,
        hint: None,
        req: Request::new(body::empty()),
    }
}

/// After a power failure of all hosts, their recovered state names only previous instances.
#[tokio::test]
async fn the_running_instance_serves_a_call_for_a_previous_one() {
    let daemon = daemon().await;
    let reserved = daemon.inbound().reserve(call("orders")).await;
    assert!(reserved.result.is_ok(), "{:?}", reserved.result.err().map(|refused| refused.reason));
}

#[tokio::test]
async fn an_instance_of_another_service_does_not_serve_a_call_for_a_previous_one() {
    let daemon = daemon().await;
    let refused = daemon.inbound().reserve(call("quotes")).await.result.err().unwrap();
    assert_eq!(refused.reason, Reason::NotHere);
}

#[tokio::test]
async fn a_draining_instance_does_not_serve_a_call_for_a_previous_one() {
    let daemon = daemon().await;
    daemon.inbound().local_servers.set_instance(Some(&instance(ServerState::Draining)), true);
    let refused = daemon.inbound().reserve(call("orders")).await.result.err().unwrap();
    assert_eq!(refused.reason, Reason::Draining);
}

/// A claim in the ledger is bound to one backend server: another one must not serve the call.
#[tokio::test]
async fn a_claimed_call_is_served_by_its_own_backend_server_only() {
    let daemon = daemon().await;
    let key = RequestKey { service: "orders".into(), key: "key-1".into() };
    let claimed = Claimed { claim: 1, index: 1, incarnation: daemon.inbound().incarnation };
    let call = InboundCall { claimed: Some((key, claimed)), ..call("orders") };
    let refused = daemon.inbound().call(call).await.result.err().unwrap();
    assert_eq!(refused.reason, Reason::NotHere);
}

/// Without a configuration the rate limit of a cold backend server is unknown; it must not be
/// overloaded in the meantime.
#[tokio::test]
async fn a_host_without_a_configuration_refuses_calls() {
    let daemon = daemon_without_config().await;
    let refused = daemon.inbound().reserve(call("orders")).await.result.err().unwrap();
    assert_eq!(refused.reason, Reason::BusyNow);
    let refused = daemon.inbound().call(call("orders")).await.result.err().unwrap();
    assert_eq!(refused.reason, Reason::BusyNow);
}

/// Guards against counting requests in flight at the previous instance against a restarted one.
#[tokio::test]
async fn a_restart_under_the_same_identifier_starts_with_new_admission() {
    let daemon = daemon().await;
    let local_servers = &daemon.inbound().local_servers;
    let mut instance = Instance { slots: 1, id: "i-3".into(), ..instance(ServerState::Live) };
    local_servers.set_instance(Some(&instance), true);
    let previous = local_servers.instance().unwrap();
    assert!(daemon.inbound().reserve(call("orders")).await.result.is_ok());
    let inbound = daemon.inbound().clone();
    let queued = tokio::spawn(async move { inbound.reserve(call("orders")).await.result.err() });
    while previous.report(1).queued == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    instance = Instance { born_ms: 7, ..instance };
    local_servers.set_instance(Some(&instance), true);
    let current = local_servers.instance().unwrap();
    assert!(!Arc::ptr_eq(&current, &previous));
    assert_eq!((current.report(1).in_flight, previous.report(1).in_flight), (0, 1));
    let refused = queued.await.unwrap().unwrap();
    assert_eq!(refused.reason, Reason::BackendServerDown, "a queued request may be sent elsewhere");
    assert!(daemon.inbound().reserve(call("orders")).await.result.is_ok());
    local_servers.set_instance(Some(&Instance { sequence: 2, ..instance }), true);
    assert!(
        Arc::ptr_eq(&current, &local_servers.instance().unwrap()),
        "a further report of the same instance replaces nothing"
    );
}
