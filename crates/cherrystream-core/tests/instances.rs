//! Instances: one that has reported that it leaves never gets new requests again.

use arbtest::arbtest;
use cherrystream_core::instances::{self, InstanceReport, InstanceTracker, ReportOutcome};
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
    InstanceReport::Running(instance(id, state, sequence))
}

/// Registers the pending instance of a tracker in the log and confirms it.
fn settle(tracker: &mut InstanceTracker, log: &mut Option<InstanceRecord>) {
    if let Some(report) = tracker.pending().cloned()
        && let Some(record) = instances::register(log.as_ref(), &report)
    {
        *log = Some(record);
    }
    tracker.on_registered(log.as_ref());
}

#[test]
fn no_report_is_acknowledged_before_control_confirms_the_registration() {
    let mut tracker = InstanceTracker::default();
    assert_eq!(tracker.on_report(runs("a", ServerState::Live, 1)), ReportOutcome::NotReady);
    assert_eq!(tracker.current(), None);
    tracker.on_registered(None);
    assert_eq!(
        tracker.on_report(runs("a", ServerState::Live, 2)),
        ReportOutcome::AwaitRegistration
    );
}

#[test]
fn a_restarted_daemon_does_not_revive_a_leaving_instance() {
    let mut log = None;
    let mut tracker = InstanceTracker::default();
    tracker.on_registered(None);
    tracker.on_report(runs("a", ServerState::Live, 1));
    settle(&mut tracker, &mut log);
    tracker.on_report(runs("a", ServerState::Draining, 2));
    settle(&mut tracker, &mut log);
    let mut restarted = InstanceTracker::default();
    restarted.on_registered(log.as_ref());
    assert_eq!(restarted.on_report(runs("a", ServerState::Live, 1)), ReportOutcome::Acknowledge);
    assert_eq!(restarted.on_report(runs("a", ServerState::Live, 9)), ReportOutcome::Acknowledge);
    assert_eq!(restarted.current().unwrap().state, ServerState::Draining);
}

#[test]
fn a_late_report_does_not_revive_a_stopped_instance() {
    let mut log = None;
    let mut tracker = InstanceTracker::default();
    tracker.on_registered(None);
    tracker.on_report(runs("a", ServerState::Live, 1));
    settle(&mut tracker, &mut log);
    let ends = InstanceReport::Stopping { id: "a".into(), born_ms: None };
    assert_eq!(tracker.on_report(ends.clone()), ReportOutcome::AwaitRegistration);
    assert_eq!(tracker.current().unwrap().state, ServerState::Down);
    settle(&mut tracker, &mut log);
    assert_eq!(tracker.on_report(ends), ReportOutcome::Acknowledge);
    tracker.on_report(runs("b", ServerState::Live, 1));
    settle(&mut tracker, &mut log);
    assert_eq!(tracker.on_report(runs("a", ServerState::Live, 8)), ReportOutcome::Acknowledge);
    assert_eq!(tracker.current().unwrap().id, "b");
}

#[test]
fn a_late_report_does_not_register_an_unknown_stopped_instance() {
    let mut tracker = InstanceTracker::default();
    tracker.on_registered(None);
    let ends = InstanceReport::Stopping { id: "a".into(), born_ms: None };
    assert_eq!(tracker.on_report(ends), ReportOutcome::Acknowledge);
    assert_eq!(tracker.on_report(runs("a", ServerState::Live, 1)), ReportOutcome::Acknowledge);
    assert_eq!(tracker.current(), None);
}

fn born(id: &str, state: ServerState, sequence: u64, born_ms: u64) -> Instance {
    Instance { born_ms, ..instance(id, state, sequence) }
}

fn settled(reports: &[Instance]) -> (InstanceTracker, Option<InstanceRecord>) {
    let mut tracker = InstanceTracker::default();
    tracker.on_registered(None);
    let mut log = None;
    for report in reports {
        tracker.on_report(InstanceReport::Running(report.clone()));
        settle(&mut tracker, &mut log);
    }
    (tracker, log)
}

#[test]
fn a_restart_under_the_same_identifier_replaces_the_earlier_instance() {
    let ended = born("a", ServerState::Down, 9, 100);
    let again = born("a", ServerState::Live, 1, 101);
    let (mut tracker, mut log) = settled(&[ended, again.clone()]);
    assert_eq!(log.as_ref().map(|record| &record.instance), Some(&again));
    // Late reports of the earlier instance change nothing, whatever their sequence.
    let late = InstanceReport::Running(born("a", ServerState::Draining, 99, 100));
    assert_eq!(tracker.on_report(late), ReportOutcome::Acknowledge);
    let ends = InstanceReport::Stopping { id: "a".into(), born_ms: Some(100) };
    assert_eq!(tracker.on_report(ends), ReportOutcome::Acknowledge);
    settle(&mut tracker, &mut log);
    assert_eq!(tracker.current(), Some(&again));
}

#[test]
fn a_late_report_does_not_replace_a_pending_restart() {
    let (mut tracker, _) = settled(&[born("a", ServerState::Live, 9, 100)]);
    let again = born("a", ServerState::Live, 1, 101);
    assert_eq!(
        tracker.on_report(InstanceReport::Running(again.clone())),
        ReportOutcome::AwaitRegistration
    );
    let late = InstanceReport::Running(born("a", ServerState::Draining, 99, 100));
    assert_eq!(tracker.on_report(late), ReportOutcome::Acknowledge);
    assert_eq!(tracker.pending(), Some(&again));
}

#[test]
fn a_retired_identifier_is_registered_again_only_after_a_restart() {
    let first = born("a", ServerState::Live, 9, 100);
    let (_, log) = settled(&[first.clone(), born("b", ServerState::Live, 1, 200)]);
    let record = log.unwrap();
    assert_eq!(instances::register(Some(&record), &first), None);
    let unborn = instance("a", ServerState::Live, 10);
    assert_eq!(instances::register(Some(&record), &unborn), None);
    let before_successor = born("a", ServerState::Live, 1, 150);
    assert_eq!(instances::register(Some(&record), &before_successor), None);
    let again = born("a", ServerState::Live, 1, 250);
    let after = instances::register(Some(&record), &again).unwrap();
    assert_eq!((after.instance, after.retired), (again, vec!["b".to_string()]));
    assert_eq!(after.retired_born_ms.get("b"), Some(&200));
}

/// Guards against the late report of a crashed instance that was never registered: it took the place
/// of its successor for good.
#[test]
fn a_report_of_an_earlier_start_does_not_replace_a_running_instance() {
    let running = born("b", ServerState::Live, 3, 200);
    for (earlier, what) in [(100, "earlier"), (200, "same"), (0, "unknown")] {
        let late = born("a", ServerState::Live, 1, earlier);
        let (mut tracker, log) = settled(std::slice::from_ref(&running));
        assert_eq!(instances::register(log.as_ref(), &late), None, "{what} start");
        let outcome = tracker.on_report(InstanceReport::Running(late.clone()));
        assert_eq!(outcome, ReportOutcome::StartedEarlier("b".into()), "{what} start");
        assert_eq!(tracker.current(), Some(&running), "{what} start");
        // The successor's registration may be in progress.
        let mut tracker = InstanceTracker::default();
        tracker.on_registered(None);
        tracker.on_report(InstanceReport::Running(running.clone()));
        tracker.on_report(InstanceReport::Running(late));
        assert_eq!(tracker.pending(), Some(&running), "{what} start");
    }
    let later = born("c", ServerState::Live, 1, 201);
    let (tracker, _) = settled(&[running.clone(), later.clone()]);
    assert_eq!(tracker.current(), Some(&later));
    // Clocks may have been set back between two starts.
    let (tracker, _) = settled(&[
        running,
        born("b", ServerState::Down, 4, 200),
        born("d", ServerState::Live, 1, 9),
    ]);
    assert_eq!(tracker.current().map(|current| &*current.id), Some("d"));
}

/// Guards against a report of another writer under the identifier of the running instance.
#[test]
fn the_same_start_keeps_its_service_and_address() {
    let running = born("b", ServerState::Live, 3, 200);
    let (tracker, mut log) = settled(std::slice::from_ref(&running));
    drop(tracker);
    for other in [
        Instance { address: "10.0.0.9:1".into(), ..born("b", ServerState::Live, 4, 200) },
        Instance { service: "orders".into(), ..born("b", ServerState::Draining, 4, 200) },
    ] {
        let mut tracker = InstanceTracker::default();
        tracker.on_registered(log.as_ref());
        tracker.on_report(InstanceReport::Running(other));
        settle(&mut tracker, &mut log);
        assert_eq!(tracker.current(), Some(&running));
    }
}

/// No order of reports, restarts of the daemon and lagging registrations replaces a running instance
/// by one that started earlier.
#[test]
fn a_running_instance_started_last_on_random_schedules() {
    arbtest(|u| {
        let mut log: Option<InstanceRecord> = None;
        let mut tracker = InstanceTracker::default();
        tracker.on_registered(None);
        for _ in 0..u.int_in_range(1..=60)? {
            let before = tracker.current().cloned();
            match u.int_in_range(0..=5)? {
                0 => settle(&mut tracker, &mut log),
                1 => {
                    settle(&mut tracker, &mut log);
                    tracker = InstanceTracker::default();
                    tracker.on_registered(log.as_ref());
                }
                _ => {
                    let id = *u.choose(&["a", "b", "c"])?;
                    let sequence = u.int_in_range(0..=9)?;
                    let report = born(id, ServerState::Live, sequence, u.int_in_range(0..=6)?);
                    tracker.on_report(InstanceReport::Running(report));
                }
            }
            let now = tracker.current().cloned();
            if let (Some(before), Some(now)) = (before, now) {
                assert!(now.born_ms >= before.born_ms, "{now:?} has replaced {before:?}");
            }
        }
        Ok(())
    });
}

#[test]
fn a_restarted_instance_is_new_to_a_restarted_daemon() {
    let (_, log) = settled(&[born("a", ServerState::Live, 9, 100)]);
    let mut restarted = InstanceTracker::default();
    restarted.on_registered(log.as_ref());
    assert!(!restarted.is_new(&born("a", ServerState::Live, 10, 100)));
    assert!(restarted.is_new(&born("a", ServerState::Live, 1, 101)));
}

/// No order of reports, daemon restarts and lost registrations restores an earlier instance.
#[test]
fn only_the_latest_start_of_an_identifier_stays_registered() {
    arbtest(|u| {
        let mut log: Option<InstanceRecord> = None;
        let mut tracker = InstanceTracker::default();
        tracker.on_registered(None);
        let mut latest = 0;
        for _ in 0..u.int_in_range(1..=60)? {
            let born_ms = u.int_in_range(1..=6)?;
            let state = *u.choose(&[ServerState::Live, ServerState::Draining])?;
            let report = match u.int_in_range(0..=5)? {
                0 => InstanceReport::Stopping { id: "a".into(), born_ms: Some(born_ms) },
                1 => {
                    tracker = InstanceTracker::default();
                    tracker.on_registered(log.as_ref());
                    continue;
                }
                _ => InstanceReport::Running(born("a", state, u.int_in_range(0..=9)?, born_ms)),
            };
            let outcome = tracker.on_report(report);
            if outcome == ReportOutcome::AwaitRegistration {
                settle(&mut tracker, &mut log);
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
        let mut tracker = InstanceTracker::default();
        let mut left = Vec::<String>::new();
        tracker.on_registered(None);
        for _ in 0..u.int_in_range(1..=60)? {
            let id = *u.choose(&["a", "b", "c"])?;
            let state = *u.choose(&[ServerState::Live, ServerState::Draining])?;
            let report = match u.int_in_range(0..=5)? {
                0 => InstanceReport::Stopping { id: id.into(), born_ms: None },
                1 => {
                    settle(&mut tracker, &mut log);
                    continue;
                }
                2 => {
                    tracker = InstanceTracker::default();
                    tracker.on_registered(log.as_ref());
                    continue;
                }
                _ => runs(id, state, u.int_in_range(0..=9)?),
            };
            let leaves =
                !matches!(&report, InstanceReport::Running(i) if i.state == ServerState::Live);
            let outcome = tracker.on_report(report);
            if outcome == ReportOutcome::AwaitRegistration {
                settle(&mut tracker, &mut log);
            }
            let registered = log.as_ref().is_some_and(|record| record.instance.id == id);
            if leaves && outcome != ReportOutcome::NotReady && registered {
                left.push(id.into());
            }
            if let Some(current) = tracker.current() {
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
    let mut tracker = InstanceTracker::default();
    tracker.on_registered(None);
    let born = |born_ms| Instance { born_ms, ..instance("a", ServerState::Live, 1) };
    tracker.on_report(InstanceReport::Running(born(100)));
    settle(&mut tracker, &mut log);
    let ends = InstanceReport::Stopping { id: "a".into(), born_ms: Some(200) };
    assert_eq!(tracker.on_report(ends), ReportOutcome::AwaitRegistration);
    settle(&mut tracker, &mut log);
    assert_eq!(tracker.current().unwrap().state, ServerState::Down);
    tracker.on_report(InstanceReport::Running(born(200)));
    settle(&mut tracker, &mut log);
    assert_eq!(
        tracker.current().unwrap().state,
        ServerState::Down,
        "a stopped instance stays stopped"
    );
    tracker.on_report(InstanceReport::Running(born(300)));
    settle(&mut tracker, &mut log);
    assert_eq!(tracker.current().unwrap().state, ServerState::Live);
}
