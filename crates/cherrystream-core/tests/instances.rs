//! Instances: one that has reported that it leaves never gets new requests again.

use arbtest::arbtest;
use cherrystream_core::instances::{self, InstanceReport, Keeper, Verdict};
use cherrystream_schema::messages::{Instance, InstanceRecord, ServerState};

fn instance(id: &str, state: ServerState, sequence: u64) -> Instance {
    Instance {
        id: id.into(),
        service: "quotes".into(),
        address: "10.0.0.1:8080".into(),
        slots: 6,
        state,
        sequence,
        born_ms: 0,
        version: String::new(),
    }
}

fn runs(id: &str, state: ServerState, sequence: u64) -> InstanceReport {
    InstanceReport::Runs(instance(id, state, sequence))
}

/// Registers the pending instance of a keeper in the log and confirms it.
fn settle(keeper: &mut Keeper, log: &mut Option<InstanceRecord>) {
    if let Some(report) = keeper.wanted().cloned()
        && let Some(record) = instances::register(log.as_ref(), &report)
    {
        *log = Some(record);
    }
    keeper.on_registered(log.as_ref());
}

#[test]
fn no_report_is_acknowledged_before_control_confirms_the_registration() {
    let mut keeper = Keeper::default();
    assert_eq!(keeper.on_report(runs("a", ServerState::Live, 1)), Verdict::NotYet);
    assert_eq!(keeper.current(), None);
    keeper.on_registered(None);
    assert_eq!(keeper.on_report(runs("a", ServerState::Live, 2)), Verdict::AwaitRegistration);
}

#[test]
fn a_restarted_daemon_does_not_revive_a_leaving_instance() {
    let mut log = None;
    let mut keeper = Keeper::default();
    keeper.on_registered(None);
    keeper.on_report(runs("a", ServerState::Live, 1));
    settle(&mut keeper, &mut log);
    keeper.on_report(runs("a", ServerState::Draining, 2));
    settle(&mut keeper, &mut log);
    let mut restarted = Keeper::default();
    restarted.on_registered(log.as_ref());
    assert_eq!(restarted.on_report(runs("a", ServerState::Live, 1)), Verdict::Acknowledge);
    assert_eq!(restarted.on_report(runs("a", ServerState::Live, 9)), Verdict::Acknowledge);
    assert_eq!(restarted.current().unwrap().state, ServerState::Draining);
}

#[test]
fn a_late_report_does_not_revive_a_stopped_instance() {
    let mut log = None;
    let mut keeper = Keeper::default();
    keeper.on_registered(None);
    keeper.on_report(runs("a", ServerState::Live, 1));
    settle(&mut keeper, &mut log);
    let ends = InstanceReport::Ends { id: "a".into(), born_ms: None };
    assert_eq!(keeper.on_report(ends.clone()), Verdict::AwaitRegistration);
    assert_eq!(keeper.current().unwrap().state, ServerState::Down);
    settle(&mut keeper, &mut log);
    assert_eq!(keeper.on_report(ends), Verdict::Acknowledge);
    keeper.on_report(runs("b", ServerState::Live, 1));
    settle(&mut keeper, &mut log);
    assert_eq!(keeper.on_report(runs("a", ServerState::Live, 8)), Verdict::Acknowledge);
    assert_eq!(keeper.current().unwrap().id, "b");
}

#[test]
fn a_late_report_does_not_register_an_unknown_stopped_instance() {
    let mut keeper = Keeper::default();
    keeper.on_registered(None);
    let ends = InstanceReport::Ends { id: "a".into(), born_ms: None };
    assert_eq!(keeper.on_report(ends), Verdict::Acknowledge);
    assert_eq!(keeper.on_report(runs("a", ServerState::Live, 1)), Verdict::Acknowledge);
    assert_eq!(keeper.current(), None);
}

fn born(id: &str, state: ServerState, sequence: u64, born_ms: u64) -> Instance {
    Instance { born_ms, ..instance(id, state, sequence) }
}

fn settled(reports: &[Instance]) -> (Keeper, Option<InstanceRecord>) {
    let mut keeper = Keeper::default();
    keeper.on_registered(None);
    let mut log = None;
    for report in reports {
        keeper.on_report(InstanceReport::Runs(report.clone()));
        settle(&mut keeper, &mut log);
    }
    (keeper, log)
}

#[test]
fn a_restart_under_the_same_identifier_replaces_the_earlier_instance() {
    let ended = born("a", ServerState::Down, 9, 100);
    let again = born("a", ServerState::Live, 1, 101);
    let (mut keeper, mut log) = settled(&[ended, again.clone()]);
    assert_eq!(log.as_ref().map(|record| &record.instance), Some(&again));
    // Late reports of the earlier instance change nothing, whatever their sequence.
    let late = InstanceReport::Runs(born("a", ServerState::Draining, 99, 100));
    assert_eq!(keeper.on_report(late), Verdict::Acknowledge);
    let ends = InstanceReport::Ends { id: "a".into(), born_ms: Some(100) };
    assert_eq!(keeper.on_report(ends), Verdict::Acknowledge);
    settle(&mut keeper, &mut log);
    assert_eq!(keeper.current(), Some(&again));
}

#[test]
fn a_late_report_does_not_replace_a_pending_restart() {
    let (mut keeper, _) = settled(&[born("a", ServerState::Live, 9, 100)]);
    let again = born("a", ServerState::Live, 1, 101);
    assert_eq!(keeper.on_report(InstanceReport::Runs(again.clone())), Verdict::AwaitRegistration);
    let late = InstanceReport::Runs(born("a", ServerState::Draining, 99, 100));
    assert_eq!(keeper.on_report(late), Verdict::Acknowledge);
    assert_eq!(keeper.wanted(), Some(&again));
}

#[test]
fn a_retired_identifier_is_registered_again_only_after_a_restart() {
    let first = born("a", ServerState::Live, 9, 100);
    let (_, log) = settled(&[first.clone(), born("b", ServerState::Live, 1, 200)]);
    let record = log.unwrap();
    assert_eq!(instances::register(Some(&record), &first), None);
    let unborn = instance("a", ServerState::Live, 10);
    assert_eq!(instances::register(Some(&record), &unborn), None);
    let again = born("a", ServerState::Live, 1, 150);
    let after = instances::register(Some(&record), &again).unwrap();
    assert_eq!((after.instance, after.retired), (again, vec!["b".to_string()]));
    assert_eq!(after.retired_born_ms.get("b"), Some(&200));
}

#[test]
fn a_restarted_instance_is_new_to_a_restarted_daemon() {
    let (_, log) = settled(&[born("a", ServerState::Live, 9, 100)]);
    let mut restarted = Keeper::default();
    restarted.on_registered(log.as_ref());
    assert!(!restarted.is_new(&born("a", ServerState::Live, 10, 100)));
    assert!(restarted.is_new(&born("a", ServerState::Live, 1, 101)));
}

/// No order of reports, daemon restarts and lost registrations restores an earlier instance.
#[test]
fn only_the_latest_start_of_an_identifier_stays_registered() {
    arbtest(|u| {
        let mut log: Option<InstanceRecord> = None;
        let mut keeper = Keeper::default();
        keeper.on_registered(None);
        let mut latest = 0;
        for _ in 0..u.int_in_range(1..=60)? {
            let born_ms = u.int_in_range(1..=6)?;
            let state = *u.choose(&[ServerState::Live, ServerState::Draining])?;
            let report = match u.int_in_range(0..=5)? {
                0 => InstanceReport::Ends { id: "a".into(), born_ms: Some(born_ms) },
                1 => {
                    keeper = Keeper::default();
                    keeper.on_registered(log.as_ref());
                    continue;
                }
                _ => InstanceReport::Runs(born("a", state, u.int_in_range(0..=9)?, born_ms)),
            };
            let verdict = keeper.on_report(report);
            if verdict == Verdict::AwaitRegistration {
                settle(&mut keeper, &mut log);
            }
            let held = log.as_ref().map_or(0, |record| record.instance.born_ms);
            assert!(held >= latest, "start {held} is registered after start {latest}");
            latest = held;
        }
        Ok(())
    });
}

/// Acknowledged reports hold despite reordering, restarts of the daemon and a lagging log.
#[test]
fn acknowledged_reports_hold_on_random_schedules() {
    arbtest(|u| {
        let mut log: Option<InstanceRecord> = None;
        let mut keeper = Keeper::default();
        let mut left = Vec::<String>::new();
        keeper.on_registered(None);
        for _ in 0..u.int_in_range(1..=60)? {
            let id = *u.choose(&["a", "b", "c"])?;
            let state = *u.choose(&[ServerState::Live, ServerState::Draining])?;
            let report = match u.int_in_range(0..=5)? {
                0 => InstanceReport::Ends { id: id.into(), born_ms: None },
                1 => {
                    settle(&mut keeper, &mut log);
                    continue;
                }
                2 => {
                    keeper = Keeper::default();
                    keeper.on_registered(log.as_ref());
                    continue;
                }
                _ => runs(id, state, u.int_in_range(0..=9)?),
            };
            let leaves =
                !matches!(&report, InstanceReport::Runs(i) if i.state == ServerState::Live);
            let verdict = keeper.on_report(report);
            if verdict == Verdict::AwaitRegistration {
                settle(&mut keeper, &mut log);
            }
            let registered = log.as_ref().is_some_and(|record| record.instance.id == id);
            if leaves && verdict != Verdict::NotYet && registered {
                left.push(id.into());
            }
            if let Some(current) = keeper.current() {
                let back = current.state == ServerState::Live && left.contains(&current.id);
                assert!(!back, "{current:?} is live again after it left");
            }
        }
        Ok(())
    });
}

/// An instance stops before its first report. The previous one has stopped as well, since both
/// are the same server.
#[test]
fn the_stop_of_a_later_start_stops_the_known_instance() {
    let mut log = None;
    let mut keeper = Keeper::default();
    keeper.on_registered(None);
    let born = |born_ms| Instance { born_ms, ..instance("a", ServerState::Live, 1) };
    keeper.on_report(InstanceReport::Runs(born(100)));
    settle(&mut keeper, &mut log);
    let ends = InstanceReport::Ends { id: "a".into(), born_ms: Some(200) };
    assert_eq!(keeper.on_report(ends), Verdict::AwaitRegistration);
    settle(&mut keeper, &mut log);
    assert_eq!(keeper.current().unwrap().state, ServerState::Down);
    keeper.on_report(InstanceReport::Runs(born(200)));
    settle(&mut keeper, &mut log);
    assert_eq!(
        keeper.current().unwrap().state,
        ServerState::Down,
        "a stopped instance stays stopped"
    );
    keeper.on_report(InstanceReport::Runs(born(300)));
    settle(&mut keeper, &mut log);
    assert_eq!(keeper.current().unwrap().state, ServerState::Live);
}
