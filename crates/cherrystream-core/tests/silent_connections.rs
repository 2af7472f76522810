//! Decisions on pooled connections that owe a response.

use cherrystream_core::silent_connections::{Evidence, FreshAnswer, Owing, is_silent};
use cherrystream_core::units::Timestamp;
use std::time::Duration;

const PATIENCE: Duration = Duration::from_millis(500);

fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

fn owing() -> Owing {
    Owing { since: at(1_000), last_received: at(900), patience: PATIENCE, is_usual_known: true }
}

fn fresh(asked: u64) -> Option<FreshAnswer> {
    Some(FreshAnswer { asked_at: at(asked), answered_at: at(asked + 10) })
}

/// Guards against giving up a response that is not late, whatever is known of other connections.
#[test]
fn a_response_that_is_not_overdue_is_awaited() {
    let evidence =
        Evidence { distrusted_before: at(1_400), fresh: fresh(1_400), ..Evidence::default() };
    assert!(!is_silent(at(1_499), owing(), &evidence));
    assert!(is_silent(at(1_500), owing(), &evidence));
}

/// Guards against giving up a connection that received a byte after the silence was found.
#[test]
fn a_connection_that_received_a_byte_since_is_kept() {
    let evidence = Evidence { distrusted_before: at(900), ..Evidence::default() };
    assert!(!is_silent(at(9_000), owing(), &evidence));
}

/// Guards against a request that is sent on a dead connection while the silence is being found, and
/// waits for ever.
#[test]
fn a_request_sent_during_the_comparison_is_lost_too() {
    let evidence = Evidence { distrusted_before: at(950), ..Evidence::default() };
    assert!(!is_silent(at(1_499), owing(), &evidence));
    assert!(is_silent(at(1_500), owing(), &evidence));
}

/// Guards against waiting for ever where no idle connection can be compared, and against taking the
/// answers of a server that has just resumed for a silence.
#[test]
fn without_an_older_connection_a_new_one_decides_after_twice_the_patience() {
    let evidence = |asked| Evidence { fresh: fresh(asked), ..Evidence::default() };
    assert!(!is_silent(at(9_000), owing(), &evidence(1_999)));
    assert!(!is_silent(at(2_209), owing(), &evidence(2_000)));
    assert!(is_silent(at(2_210), owing(), &evidence(2_000)));
}

/// Guards against sending requests again that are slow, while their server answers others.
#[test]
fn a_slow_response_is_awaited_while_older_connections_answer_or_its_usual_time_is_unknown() {
    let evidence =
        Evidence { fresh: fresh(3_000), has_older_answered: true, ..Evidence::default() };
    assert!(!is_silent(at(9_000), owing(), &evidence));
    let evidence = Evidence { has_older_answered: false, ..evidence };
    assert!(!is_silent(at(9_000), Owing { is_usual_known: false, ..owing() }, &evidence));
    assert!(is_silent(at(9_000), owing(), &evidence));
}
