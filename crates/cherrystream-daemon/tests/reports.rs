//! Reports of the instance beside a daemon that come before the daemon knows what was registered.

use cherrystream_core::instances::InstanceReport;
use cherrystream_core::shared;
use cherrystream_core::units::Revision;
use cherrystream_daemon::current_config::CurrentConfig;
use cherrystream_daemon::doors::{DoorOptions, Doors};
use cherrystream_daemon::instances::Instances;
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
    instances_at(&doors(Metrics::default()))
}

fn instances_at(doors: &Arc<Doors>) -> Arc<Instances> {
    Arc::new(Instances::new(doors.clone(), Arc::new(OwnInterface)))
}

fn doors(metrics: Metrics) -> Arc<Doors> {
    let header = OwnInterface.id_header();
    let opts = DoorOptions {
        queue_per_slot: 1.0,
        slot_share: 0.8,
        room: RoomKind::Fixed,
        cold_over: 1.0,
        cold_slack: 1.0,
    };
    Arc::new(Doors::new("own".into(), opts, Clock::default(), header, metrics))
}

/// Load: all hosts are back after a loss of power. A report that is turned away comes again only after the backend
/// server's own pause, and no request is served beside it until then.
#[tokio::test]
async fn a_report_that_comes_before_the_word_of_control_is_taken_with_it() {
    let instances = instances();
    let reporting = instances.clone();
    let report =
        tokio::spawn(async move { reporting.report(InstanceReport::Running(instance())).await });
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert!(!report.is_finished(), "it is turned away");
    instances.on_confirmed(None, Revision { term: 1, index: 1 });
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(instances.current(), Some(instance()), "it is to be registered");
    let record = InstanceRecord {
        instance: instance(),
        retired: Vec::new(),
        retired_born_ms: BTreeMap::new(),
    };
    instances.on_confirmed(Some(&record), Revision { term: 1, index: 2 });
    assert_eq!(report.await.unwrap(), ReportAnswer::Taken);
}

#[tokio::test]
async fn a_report_is_turned_away_in_time_where_control_stays_away() {
    let instances = instances();
    let report = instances.report(InstanceReport::Running(instance()));
    let answered = tokio::time::timeout(Duration::from_millis(950), report).await;
    assert_eq!(answered.expect("whoever reports has given up"), ReportAnswer::NotNow);
}

/// A report of another writer: the instance that is registered holds, and it is counted each time.
#[tokio::test]
async fn a_report_for_a_service_that_is_not_configured_replaces_no_instance() {
    let metrics = Metrics::default();
    let doors = doors(metrics.clone());
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
    let held =
        CurrentConfig { revision, shared: Arc::new(shared::empty()), routes: Some(table.into()) };
    doors.set(&held);
    let instances = instances_at(&doors);
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
