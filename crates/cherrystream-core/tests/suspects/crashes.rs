//! Detection of backend server crashes and of the requests that were in flight.

use super::{ended, ms, sent};
use cherrystream_core::suspects::{EndId, Ends};

const CRASH: EndId = EndId(9);

#[test]
fn a_confirmed_crash_includes_all_requests_in_flight() {
    let mut ends = Ends::default();
    assert_eq!(ends.on_broke(ms(10), ms(0), sent(1, false)), None);
    assert_eq!(ends.on_broke(ms(11), ms(0), sent(2, false)), None);
    let confirmed = ends.on_ended(ms(12), CRASH);
    assert_eq!(confirmed, Some(ended(9, &[sent(1, false), sent(2, false)])));
    // A broken connection noticed after the confirmation belongs to the same crash.
    assert_eq!(ends.on_broke(ms(60), ms(8), sent(3, false)), Some(ended(9, &[sent(3, false)])));
}

#[test]
fn a_broken_connection_without_a_crash_is_no_evidence() {
    let mut ends = Ends::default();
    ends.on_broke(ms(10), ms(0), sent(1, false));
    // The server responds to a later request, so the connection was reset.
    ends.on_answer(ms(20));
    assert!(!ends.wants_proof(ms(30)));
    assert_eq!(ends.on_ended(ms(40), CRASH), None);
}

#[test]
fn a_response_to_an_earlier_request_is_no_evidence() {
    let mut ends = Ends::default();
    ends.on_broke(ms(10), ms(0), sent(1, false));
    // Sent before the connection broke; the response may have been read only after the crash.
    ends.on_answer(ms(5));
    assert_eq!(ends.on_ended(ms(12), CRASH), Some(ended(9, &[sent(1, false)])));
    // The crash is still known: further broken connections belong to it and are not counted twice.
    ends.on_answer(ms(6));
    assert_eq!(ends.on_broke(ms(13), ms(0), sent(1, false)), Some(ended(9, &[sent(1, false)])));
    assert_eq!(ends.on_ended(ms(14), EndId(10)), None);
}

#[test]
fn a_broken_connection_is_not_explained_by_a_much_later_crash() {
    let mut ends = Ends::default();
    ends.on_broke(ms(10), ms(0), sent(1, false));
    assert!(ends.wants_proof(ms(5_000)));
    assert!(!ends.wants_proof(ms(5_010)));
    assert_eq!(ends.on_ended(ms(5_010), CRASH), None);
}

#[test]
fn a_request_whose_caller_disconnected_is_a_suspect_for_a_second() {
    let mut ends = Ends::default();
    ends.on_left(ms(10), ms(0), sent(1, false));
    assert_eq!(ends.on_ended(ms(1_009), CRASH), Some(ended(9, &[sent(1, false)])));
    let mut ends = Ends::default();
    ends.on_left(ms(10), ms(0), sent(1, false));
    assert_eq!(ends.on_ended(ms(1_010), CRASH), None);
}

#[test]
fn a_planned_stop_is_no_evidence() {
    let mut ends = Ends::default();
    ends.on_broke(ms(10), ms(0), sent(1, false));
    ends.on_planned_end();
    assert_eq!(ends.on_ended(ms(11), CRASH), None);
}

#[test]
fn crashes_separated_by_a_response_are_distinct() {
    let mut ends = Ends::default();
    ends.on_broke(ms(10), ms(0), sent(1, false));
    ends.on_ended(ms(11), CRASH);
    ends.on_answer(ms(500));
    ends.on_broke(ms(600), ms(570), sent(1, false));
    assert_eq!(ends.on_ended(ms(601), EndId(10)), Some(ended(10, &[sent(1, false)])));
}

/// An overloaded server resets excess connections while it works on other requests.
#[test]
fn a_server_with_an_earlier_request_in_flight_has_not_crashed() {
    let mut ends = Ends::default();
    let earlier = ends.begin(ms(5));
    let reset = ends.begin(ms(8));
    ends.leave(reset);
    ends.on_broke(ms(10), ms(0), sent(1, false));
    let later = ends.begin(ms(11));
    assert!(ends.has_survivor());
    ends.leave(earlier);
    // A request sent afterwards is no evidence yet.
    assert!(!ends.has_survivor());
    ends.leave(later);
}

#[test]
fn one_request_at_a_time_runs_in_isolation() {
    let mut ends = Ends::default();
    assert!(ends.begin_alone());
    assert!(!ends.begin_alone());
    ends.end_alone();
    assert!(ends.begin_alone());
}

#[test]
fn one_probe_runs_at_a_time() {
    let mut ends = Ends::default();
    assert!(!ends.begin_look(ms(9)));
    ends.on_broke(ms(10), ms(0), sent(1, false));
    assert!(ends.begin_look(ms(10)));
    assert!(!ends.begin_look(ms(11)));
    ends.end_look();
    assert!(ends.begin_look(ms(12)));
}

/// The request that crashes the server is the first one after each restart, with no others.
#[test]
fn a_crash_right_after_a_restart_is_a_second_one() {
    let mut ends = Ends::default();
    ends.on_broke(ms(30), ms(0), sent(1, false));
    assert!(ends.on_ended(ms(31), CRASH).is_some());
    // It restarts after two seconds and sends no response.
    assert_eq!(ends.on_broke(ms(2_130), ms(2_100), sent(1, true)), None);
    assert_eq!(ends.on_ended(ms(2_131), EndId(10)), Some(ended(10, &[sent(1, true)])));
    // The same if it restarts within a second.
    assert_eq!(ends.on_broke(ms(2_630), ms(2_600), sent(1, true)), None);
    assert_eq!(ends.on_ended(ms(2_631), EndId(11)), Some(ended(11, &[sent(1, true)])));
}

/// A proxy in front of a server that is down accepts connections and closes them.
#[test]
fn requests_to_a_server_that_is_down_belong_to_the_previous_crash() {
    let mut ends = Ends::default();
    ends.on_broke(ms(30), ms(0), sent(1, false));
    assert!(ends.on_ended(ms(31), CRASH).is_some());
    assert_eq!(ends.on_broke(ms(102), ms(100), sent(2, true)), Some(ended(9, &[sent(2, true)])));
    ends.on_broke(ms(2_102), ms(2_100), sent(3, true));
    assert_eq!(ends.on_ended(ms(2_200), EndId(10)), Some(ended(9, &[sent(3, true)])));
}
