//! Detection of backend server crashes and of the requests that were in flight.

use super::{crash, ms, sent};
use cherrystream_core::suspects::{CrashDetector, CrashId};

const CRASH: CrashId = CrashId(9);

#[test]
fn a_confirmed_crash_includes_all_requests_in_flight() {
    let mut detector = CrashDetector::default();
    assert_eq!(detector.on_connection_broken(ms(10), ms(0), sent(1, false)), None);
    assert_eq!(detector.on_connection_broken(ms(11), ms(0), sent(2, false)), None);
    let confirmed = detector.on_crash(ms(12), CRASH);
    assert_eq!(confirmed, Some(crash(9, &[sent(1, false), sent(2, false)])));
    // A broken connection noticed after the confirmation belongs to the same crash.
    assert_eq!(
        detector.on_connection_broken(ms(60), ms(8), sent(3, false)),
        Some(crash(9, &[sent(3, false)]))
    );
}

#[test]
fn a_broken_connection_without_a_crash_is_no_evidence() {
    let mut detector = CrashDetector::default();
    detector.on_connection_broken(ms(10), ms(0), sent(1, false));
    // The server responds to a later request, so the connection was reset.
    detector.on_answer(ms(20));
    assert!(!detector.has_unexplained(ms(30)));
    assert_eq!(detector.on_crash(ms(40), CRASH), None);
}

#[test]
fn a_response_to_an_earlier_request_is_no_evidence() {
    let mut detector = CrashDetector::default();
    detector.on_connection_broken(ms(10), ms(0), sent(1, false));
    // Sent before the connection broke; the response may have been read only after the crash.
    detector.on_answer(ms(5));
    assert_eq!(detector.on_crash(ms(12), CRASH), Some(crash(9, &[sent(1, false)])));
    // The crash is still known: further broken connections belong to it and are not counted twice.
    detector.on_answer(ms(6));
    assert_eq!(
        detector.on_connection_broken(ms(13), ms(0), sent(1, false)),
        Some(crash(9, &[sent(1, false)]))
    );
    assert_eq!(detector.on_crash(ms(14), CrashId(10)), None);
}

#[test]
fn a_broken_connection_is_not_explained_by_a_much_later_crash() {
    let mut detector = CrashDetector::default();
    detector.on_connection_broken(ms(10), ms(0), sent(1, false));
    assert!(detector.has_unexplained(ms(5_000)));
    assert!(!detector.has_unexplained(ms(5_010)));
    assert_eq!(detector.on_crash(ms(5_010), CRASH), None);
}

#[test]
fn a_request_whose_caller_disconnected_is_a_suspect_for_a_second() {
    let mut detector = CrashDetector::default();
    detector.on_caller_disconnected(ms(10), ms(0), sent(1, false));
    assert_eq!(detector.on_crash(ms(1_009), CRASH), Some(crash(9, &[sent(1, false)])));
    let mut detector = CrashDetector::default();
    detector.on_caller_disconnected(ms(10), ms(0), sent(1, false));
    assert_eq!(detector.on_crash(ms(1_010), CRASH), None);
}

#[test]
fn a_planned_stop_is_no_evidence() {
    let mut detector = CrashDetector::default();
    detector.on_connection_broken(ms(10), ms(0), sent(1, false));
    detector.on_planned_stop();
    assert_eq!(detector.on_crash(ms(11), CRASH), None);
}

#[test]
fn crashes_separated_by_a_response_are_distinct() {
    let mut detector = CrashDetector::default();
    detector.on_connection_broken(ms(10), ms(0), sent(1, false));
    detector.on_crash(ms(11), CRASH);
    detector.on_answer(ms(500));
    detector.on_connection_broken(ms(600), ms(570), sent(1, false));
    assert_eq!(detector.on_crash(ms(601), CrashId(10)), Some(crash(10, &[sent(1, false)])));
}

/// An overloaded server resets excess connections while it works on other requests.
#[test]
fn a_server_with_an_earlier_request_in_flight_has_not_crashed() {
    let mut detector = CrashDetector::default();
    let earlier = detector.begin(ms(5));
    let reset = detector.begin(ms(8));
    detector.finish(reset);
    detector.on_connection_broken(ms(10), ms(0), sent(1, false));
    let later = detector.begin(ms(11));
    assert!(detector.has_survivor());
    detector.finish(earlier);
    // A request sent afterwards is no evidence yet.
    assert!(!detector.has_survivor());
    detector.finish(later);
}

#[test]
fn one_request_at_a_time_runs_in_isolation() {
    let mut detector = CrashDetector::default();
    assert!(detector.begin_isolated());
    assert!(!detector.begin_isolated());
    detector.end_isolated();
    assert!(detector.begin_isolated());
}

#[test]
fn one_probe_runs_at_a_time() {
    let mut detector = CrashDetector::default();
    assert!(!detector.begin_probe(ms(9)));
    detector.on_connection_broken(ms(10), ms(0), sent(1, false));
    assert!(detector.begin_probe(ms(10)));
    assert!(!detector.begin_probe(ms(11)));
    detector.end_probe();
    assert!(detector.begin_probe(ms(12)));
}

/// The request that crashes the server is the first one after each restart, with no others.
#[test]
fn a_crash_right_after_a_restart_is_a_second_one() {
    let mut detector = CrashDetector::default();
    detector.on_connection_broken(ms(30), ms(0), sent(1, false));
    assert!(detector.on_crash(ms(31), CRASH).is_some());
    // It restarts after two seconds and sends no response.
    assert_eq!(detector.on_connection_broken(ms(2_130), ms(2_100), sent(1, true)), None);
    assert_eq!(detector.on_crash(ms(2_131), CrashId(10)), Some(crash(10, &[sent(1, true)])));
    // The same if it restarts within a second.
    assert_eq!(detector.on_connection_broken(ms(2_630), ms(2_600), sent(1, true)), None);
    assert_eq!(detector.on_crash(ms(2_631), CrashId(11)), Some(crash(11, &[sent(1, true)])));
}

/// A proxy in front of a server that is down accepts connections and closes them.
#[test]
fn requests_to_a_server_that_is_down_belong_to_the_previous_crash() {
    let mut detector = CrashDetector::default();
    detector.on_connection_broken(ms(30), ms(0), sent(1, false));
    assert!(detector.on_crash(ms(31), CRASH).is_some());
    assert_eq!(
        detector.on_connection_broken(ms(102), ms(100), sent(2, true)),
        Some(crash(9, &[sent(2, true)]))
    );
    detector.on_connection_broken(ms(2_102), ms(2_100), sent(3, true));
    assert_eq!(detector.on_crash(ms(2_200), CrashId(10)), Some(crash(9, &[sent(3, true)])));
}
