//! Reading and tracking of the signals of a backend server.

use cherrystream_core::backpressure::{RateLimit, SignalChange, SignalTracker, Signals, Stated};
use cherrystream_core::units::Timestamp;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn limit(per_second: u64) -> RateLimit {
    RateLimit::from_milli(per_second * 1_000)
}

fn states(per_second: u64) -> Signals {
    Signals { rate_limit: Stated::Value(limit(per_second)), ..Signals::default() }
}

fn leaves() -> Signals {
    Signals { leaving: Stated::Value(true), ..Signals::default() }
}

/// Guards against a value that no server means being enforced, or a valid one being ignored.
#[test]
fn only_plain_decimal_numbers_are_rates() {
    for (text, milli) in [("4", 4_000), ("0", 0), ("0.25", 250), (" 8.8 ", 8_800), (".5", 500)] {
        assert_eq!(RateLimit::parse(text), Some(RateLimit::from_milli(milli)), "{text:?}");
    }
    let long = "9".repeat(400);
    for text in ["", ".", "nan", "inf", "-1", "+4", "1e300", "4,5", "4 5", "four", "0x4", &long] {
        assert_eq!(RateLimit::parse(text), None, "{text:?}");
    }
}

/// Guards against one of two contradicting headers being enforced.
#[test]
fn a_header_that_is_stated_twice_is_unreadable() {
    let read =
        |texts: &[Option<&'static str>]| Stated::read(texts.iter().copied(), RateLimit::parse);
    assert_eq!(read(&[]), Stated::Absent);
    assert_eq!(read(&[Some("4")]), Stated::Value(limit(4)));
    assert_eq!(read(&[Some("4"), Some("8")]), Stated::Unreadable);
    assert_eq!(read(&[None]), Stated::Unreadable);
}

/// Guards against an answer that was written before a limit, and is read after it, ending it.
#[test]
fn a_limit_is_loosened_only_by_a_later_request() {
    let mut tracker = SignalTracker::default();
    tracker.on_answer(at(100), at(10), &states(4));
    for earlier in [Signals::default(), states(9)] {
        assert_eq!(tracker.on_answer(at(110), at(20), &earlier), vec![]);
    }
    assert_eq!(tracker.limit(), Some(limit(4)));
    tracker.on_answer(at(120), at(30), &states(2));
    assert_eq!(tracker.limit(), Some(limit(2)), "a lower limit applies at once");
    tracker.on_answer(at(200), at(130), &states(9));
    assert_eq!(tracker.limit(), Some(limit(9)));
    let ended = tracker.on_answer(at(300), at(210), &Signals::default());
    assert_eq!(ended, vec![SignalChange::Limit { from: Some(limit(9)), to: None }]);
}

/// Guards against a typing error of a server lifting its limit, or filling the log.
#[test]
fn an_unreadable_limit_leaves_the_last_one_and_is_reported_once() {
    let mut tracker = SignalTracker::default();
    tracker.on_answer(at(100), at(10), &states(4));
    let unreadable = Signals { rate_limit: Stated::Unreadable, leaving: Stated::Unreadable };
    let first = tracker.on_answer(at(200), at(150), &unreadable);
    assert_eq!(first, vec![SignalChange::UnreadableLimit, SignalChange::UnreadableLeaving]);
    assert_eq!(tracker.on_answer(at(300), at(250), &unreadable), vec![]);
    assert_eq!((tracker.limit(), tracker.is_leaving()), (Some(limit(4)), false));
}

/// Guards against a server that leaves being used again after an answer that omits it.
#[test]
fn leaving_is_never_taken_back() {
    let mut tracker = SignalTracker::default();
    assert_eq!(tracker.on_answer(at(100), at(10), &leaves()), vec![SignalChange::Leaving]);
    let returns = Signals { leaving: Stated::Value(false), ..Signals::default() };
    assert_eq!(tracker.on_answer(at(200), at(150), &returns), vec![]);
    assert!(tracker.is_leaving());
}

/// Guards against a health endpoint without the headers ending what requests were told.
#[test]
fn a_health_answer_can_state_a_limit_but_not_end_one() {
    let mut tracker = SignalTracker::default();
    tracker.on_health_answer(at(100), at(10), &states(4));
    assert_eq!(tracker.limit(), Some(limit(4)));
    tracker.on_health_answer(at(200), at(150), &Signals::default());
    assert_eq!(tracker.limit(), Some(limit(4)));
}

/// Guards against a restarted process forgetting a limit, and against an old one outliving it.
#[test]
fn a_hint_applies_until_the_server_has_answered() {
    let mut tracker = SignalTracker::default();
    tracker.on_hint(at(100), Some(limit(4)), false);
    tracker.on_hint(at(110), Some(limit(9)), false);
    assert_eq!(tracker.limit(), Some(limit(4)), "the lowest hint applies");
    tracker.on_answer(at(200), at(150), &Signals::default());
    tracker.on_hint(at(210), Some(limit(4)), true);
    assert_eq!((tracker.limit(), tracker.is_leaving()), (None, true));
}
