//! Backend servers that state that they are leaving.

use cherrystream_core::admission::{Admission, Arrival, Decision, Options};
use cherrystream_core::backpressure::{
    InstanceKey, KnownSignals, RateLimit, SignalReport, SignalTracker,
};
use cherrystream_core::choose::{self, Distance, ServerId, ServerTable};
use cherrystream_core::units::Timestamp;
use cherrystream_schema::messages::ServerState;
use cherrystream_schema::settings::ChoicePolicy;
use std::sync::Arc;
use std::time::Duration;

const GRACE: Duration = Duration::from_secs(2);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn id(name: &str) -> ServerId {
    ServerId {
        name: name.into(),
        host: name.into(),
        slots: 4,
        distance: Distance::SameDomain,
        out: false,
        crossing_cost: Duration::ZERO,
        born_ms: 0,
        registered: true,
    }
}

fn table(names: &[&str]) -> ServerTable {
    let mut table = ServerTable::new(choose::policy(ChoicePolicy::LowestLoad));
    table.set_servers(names.iter().map(|name| id(name)).collect());
    table
}

fn leave(table: &mut ServerTable, name: &str, now: Timestamp) {
    table.server(name).unwrap().set_leaving(now, now);
}

fn is_admitted(admission: &mut Admission, now: Timestamp) -> bool {
    let arrival = Arrival {
        nested: false,
        weight: 1,
        deadline: now + Duration::from_secs(1),
        selective: false,
        good_until: None,
        typical_time: None,
    };
    matches!(admission.arrive(now, arrival).0, Decision::Run(_))
}

/// Guards against a health check or heartbeat that says live opening a server that leaves.
#[test]
fn a_live_state_does_not_open_a_server_that_leaves() {
    let opts = Options { slots: 100, ..Options::default() };
    let mut admission = Admission::new(opts);
    admission.on_leaving(at(1_000), GRACE);
    assert!(is_admitted(&mut admission, at(2_999)));
    admission.set_state(at(3_000), ServerState::Live);
    admission.on_leaving(at(3_000), GRACE);
    assert!(!is_admitted(&mut admission, at(3_000)));
    assert_eq!(admission.report(at(3_000), 1).state, ServerState::Draining);
}

/// Guards against a late word opening a server whose drain was reported before.
#[test]
fn a_server_that_drains_is_not_opened_by_its_own_word() {
    let mut admission = Admission::new(Options::default());
    admission.set_state(at(1_000), ServerState::Draining);
    admission.on_leaving(at(1_100), GRACE);
    assert!(!is_admitted(&mut admission, at(1_101)));
}

/// Guards against sending to a server that leaves while another accepts requests.
#[test]
fn servers_that_leave_are_used_only_where_no_other_is_left() {
    let mut table = table(&["a", "b"]);
    let closed = |table: &ServerTable, millis, excluded: &[Arc<str>]| {
        let mut names = table.closed_by_leaving(at(millis), GRACE, excluded);
        names.sort_unstable();
        names.iter().map(|name| name.to_string()).collect::<Vec<_>>()
    };
    assert!(closed(&table, 0, &[]).is_empty());
    leave(&mut table, "a", at(1_000));
    assert_eq!(closed(&table, 1_001, &[]), ["a"]);
    assert!(closed(&table, 1_001, &["b".into()]).is_empty(), "b is in another region");
    leave(&mut table, "b", at(2_000));
    assert!(closed(&table, 2_001, &[]).is_empty());
    assert_eq!(closed(&table, 3_000, &[]), ["a"]);
    assert_eq!(closed(&table, 4_000, &[]), ["a", "b"]);
}

/// Guards against a new run under the same identifier inheriting the leaving of the old one.
#[test]
fn a_new_run_starts_clean() {
    let mut table = table(&["a", "b"]);
    leave(&mut table, "a", at(1_000));
    table.set_servers(vec![ServerId { born_ms: 7, ..id("a") }, id("b")]);
    assert!(table.closed_by_leaving(at(1_001), GRACE, &[]).is_empty());
}

/// Guards against a restarted server that does not register itself staying out of use for good.
#[test]
fn a_server_that_does_not_register_itself_is_tried_again() {
    let mut table = table(&["b"]);
    table.set_servers(vec![ServerId { registered: false, ..id("a") }, id("b")]);
    leave(&mut table, "a", at(1_000));
    assert_eq!(table.closed_by_leaving(at(60_999), GRACE, &[]).len(), 1);
    assert!(table.closed_by_leaving(at(61_000), GRACE, &[]).is_empty());
    let mut tracker = SignalTracker::default();
    tracker.on_hint(at(1_000), None, true);
    assert!(!tracker.may_be_replaced(at(60_999)));
    assert!(tracker.may_be_replaced(at(61_000)));
}

/// Guards against an outbound forgetting what it has passed on, or keeping it for another run.
#[test]
fn what_was_passed_on_is_brought_along_for_the_same_run_only() {
    let key = |born_ms| InstanceKey { service: "s".into(), name: "a".into(), born_ms };
    let mut known = KnownSignals::default();
    let limit = Some(RateLimit::from_milli(4_000));
    let report =
        SignalReport { instance: key(1), limit, leaving: false, token_wait: Duration::ZERO };
    known.on_report(at(1_000), &report);
    known.on_report(at(1_100), &SignalReport { leaving: true, ..report });
    assert_eq!(known.hint(at(1_100), &key(2), true), None);
    known.on_no_signals(at(1_050), &key(1));
    let limit_now = known.hint(at(1_100), &key(1), true).unwrap().limit;
    assert_eq!(limit_now, limit, "the answer is older than the limit");
    known.on_no_signals(at(1_200), &key(1));
    assert_eq!(known.hint(at(61_100), &key(1), false), None);
    let hint = known.hint(at(61_100), &key(1), true).unwrap();
    assert_eq!((hint.limit, hint.leaving), (None, true));
    known.retain_listed(at(2_000), |_| false);
    assert!(!known.is_empty());
    known.retain_listed(at(62_000), |_| false);
    assert!(known.is_empty());
}
