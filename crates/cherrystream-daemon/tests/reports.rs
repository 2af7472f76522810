//! Reports of the instance beside a daemon, before and after control confirmed what is registered.

use cherrystream_core::instances::InstanceReport;
use cherrystream_core::shared;
use cherrystream_core::units::Revision;
use cherrystream_daemon::current_config::CurrentConfig;
use cherrystream_daemon::instances::Instances;
use cherrystream_daemon::local_servers::{LocalServerOptions, LocalServers};
use cherrystream_daemon::metrics::{Metrics, ReasonLabel};
use cherrystream_daemon::own_interface::OwnInterface;
use cherrystream_net::clock::Clock;
use cherrystream_net::interface::{CallInterface, ReportAnswer};
use cherrystream_schema::messages::{
    Instance, InstanceRecord, RequestLimits, RouteTable, RoutedService, ServerState,
};
use cherrystream_schema::settings::RoomKind;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

fn instance() -> Instance {
    Instance {
        id: "i-2".into(),
        service: "orders".into(),
        address: "127.0.0.1:1".into(),
        slots: 4,
        state: ServerState::Live,
        sequence: 1,
        born_ms: 0,
        version: String::new(),
    }
}

fn instances() -> Arc<Instances> {
    instances_at(&local_servers(Metrics::default()))
}

fn instances_at(local_servers: &Arc<LocalServers>) -> Arc<Instances> {
    Arc::new(Instances::new(local_servers.clone(), Arc::new(OwnInterface)))
}

fn local_servers(metrics: Metrics) -> Arc<LocalServers> {
    let header = OwnInterface.id_header();
    let opts = LocalServerOptions {
        queue_per_slot: 1.0,
        slot_share: 0.8,
        concurrency_limit: RoomKind::Fixed,
        cold_over: 1.0,
        cold_slack: 1.0,
        leaving_grace: std::time::Duration::ZERO,
    };
    Arc::new(LocalServers::new("own".into(), opts, Clock::default(), header, metrics))
}

/// A refused report is repeated only after the pause of the backend server, which serves no request
/// until then.
#[tokio::test]
async fn a_report_waits_until_control_confirms_the_registered_state() {
    let instances = instances();
    let reporting = instances.clone();
    let report =
        tokio::spawn(async move { reporting.report(InstanceReport::Running(instance())).await });
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert!(!report.is_finished(), "the report is refused");
    instances.on_confirmed(None, Revision { term: 1, index: 1 });
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(instances.current(), Some(instance()), "the instance has to be registered");
    let record = InstanceRecord {
        instance: instance(),
        retired: Vec::new(),
        retired_born_ms: BTreeMap::new(),
    };
    instances.on_confirmed(Some(&record), Revision { term: 1, index: 2 });
    assert_eq!(report.await.unwrap(), ReportAnswer::Taken);
}

#[tokio::test]
async fn a_report_is_refused_in_time_if_control_is_unreachable() {
    let instances = instances();
    let report = instances.report(InstanceReport::Running(instance()));
    let answered = tokio::time::timeout(Duration::from_millis(950), report).await;
    assert_eq!(answered.expect("the reporting instance has given up"), ReportAnswer::NotNow);
}

/// A report from a wrong source must not replace the registered instance; each one is counted.
#[tokio::test]
async fn a_report_for_a_service_that_is_not_configured_replaces_no_instance() {
    let metrics = Metrics::default();
    let local_servers = local_servers(metrics.clone());
    let routed =
        RoutedService { health_path: "/".into(), connections_at_most: 1, cold_milli_per_s: None };
    let limits =
        RequestLimits { head_bytes: 1, body_bytes: 1, head_timeout_us: 1, idle_timeout_us: 1 };
    let table = RouteTable {
        number: 1,
        routes: BTreeMap::new(),
        services: [("orders".to_string(), routed)].into(),
        limits,
        needs_key: false,
        workspaces: BTreeMap::new(),
    };
    let revision = Revision { term: 1, index: 1 };
    let config =
        CurrentConfig { revision, shared: Arc::new(shared::empty()), routes: Some(table.into()) };
    local_servers.apply_config(&config);
    let instances = instances_at(&local_servers);
    let record = InstanceRecord {
        instance: instance(),
        retired: Vec::new(),
        retired_born_ms: BTreeMap::new(),
    };
    instances.on_confirmed(Some(&record), revision);
    for i in 1..=2 {
        let stray = Instance { id: "i-9".into(), service: "quote".into(), ..instance() };
        let answer = instances.report(InstanceReport::Running(stray)).await;
        assert!(matches!(answer, ReportAnswer::Bad(_)), "{answer:?}");
        let label = ReasonLabel { reason: "unknown-service" };
        assert_eq!(metrics.bad_reports.get_or_create(&label).get(), i);
    }
    assert_eq!(instances.current(), Some(instance()));
}
