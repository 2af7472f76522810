//! Order and skipping of committed entries that are not yet applied.

mod support;

use cherrystream_control::backlog::Backlog;
use cherrystream_core::routes;
use cherrystream_core::state::ControlState;
use cherrystream_core::units::Revision;
use cherrystream_schema::messages::{Change, Command, Entry, HostRecord};

fn tables(first: u64, numbers: &[u64]) -> Vec<Entry> {
    let entry = |(i, number): (usize, &u64)| {
        let order = support::order(*number, 1);
        let command =
            Command::ReplaceRoutes { packed: routes::pack(&order), number: order.table.number };
        Entry { term: 1, index: first + i as u64, command }
    };
    numbers.iter().enumerate().map(entry).collect()
}

fn host(index: u64) -> Entry {
    let record = HostRecord {
        host: format!("h{index}"),
        failure_domain: "a".into(),
        region: "r".into(),
        peer_address: String::new(),
        incarnation: 0,
        leaving: false,
    };
    Entry { term: 1, index, command: Command::Share { change: Change::PutHost { record } } }
}

fn apply_all(state: &mut ControlState, entries: Vec<Entry>) -> usize {
    let mut backlog = Backlog::default();
    backlog.extend(entries);
    let mut applied = 0;
    backlog.apply(state, || false, |_, _| applied += 1);
    applied
}

fn one_by_one(entries: Vec<Entry>) -> ControlState {
    let mut state = ControlState::default();
    for entry in entries {
        apply_all(&mut state, vec![entry]);
    }
    state
}

/// Guards against a slice that makes no progress or loses entries.
#[test]
fn a_slice_applies_at_least_one_entry_and_keeps_the_rest() {
    let mut backlog = Backlog::default();
    backlog.extend((1..=5).map(host).collect());
    let mut state = ControlState::default();
    let mut seen = Vec::new();
    backlog.apply(&mut state, || true, |position, _| seen.push(position.index));
    assert_eq!(seen, [1]);
    assert!(!backlog.is_empty());
    backlog.apply(&mut state, || false, |position, _| seen.push(position.index));
    assert_eq!(seen, [1, 2, 3, 4, 5]);
    assert!(backlog.is_empty());
}

/// Guards against a state that depends on which tables were skipped.
#[test]
fn skipped_tables_leave_the_same_state() {
    let mut entries = tables(1, &[1, 2, 3, 9, 4, 5, 6, 7, 8, 20, 19, 10]);
    entries.push(host(13));
    let mut state = ControlState::default();
    assert_eq!(apply_all(&mut state, entries.clone()), 13);
    let expected = one_by_one(entries);
    assert_eq!(state.shared(), expected.shared());
    assert_eq!(state.route_source(), Some("source 20"));
    assert_eq!(state.revision(), expected.revision());
}

/// Guards against a daemon that keeps the routes of a skipped table.
#[test]
fn a_daemon_with_a_skipped_table_gets_the_whole_state() {
    let mut state = ControlState::default();
    apply_all(&mut state, tables(1, &(1..=12).collect::<Vec<_>>()));
    for held in 1..12 {
        let update = state.update_since(Revision { term: 1, index: held });
        assert_eq!(update.full.as_ref(), Some(state.shared()), "revision {held}");
    }
    let update = state.update_since(Revision { term: 1, index: 12 });
    assert!(update.full.is_none() && update.changes.is_empty());
}

/// Guards against a full update where a few changes suffice.
#[test]
fn a_few_tables_are_sent_as_separate_changes() {
    let mut state = ControlState::default();
    apply_all(&mut state, tables(1, &[1, 2, 3]));
    let update = state.update_since(Revision { term: 1, index: 1 });
    assert!(update.full.is_none());
    assert_eq!(update.changes.len(), 2);
}

/// Guards against stale reads: once a skipped table is reported as applied, a read must return it
/// or a later one.
#[test]
fn nothing_is_reported_before_the_superseding_table_is_applied() {
    let mut backlog = Backlog::default();
    let mut entries = tables(1, &(1..=9).collect::<Vec<_>>());
    entries.push(host(10));
    entries.extend(tables(11, &[20, 19]));
    backlog.extend(entries);
    let mut state = ControlState::default();
    let mut last = 0;
    while !backlog.is_empty() {
        let mut seen = Vec::new();
        backlog.apply(&mut state, || true, |position, _| seen.push(position.index));
        for index in seen {
            assert_eq!(index, last + 1, "each entry is reported once, in log order");
            last = index;
            assert!(
                state.route_number() >= index.min(9),
                "{index} is reported at table {}",
                state.route_number()
            );
        }
    }
    assert_eq!(last, 12);
}
