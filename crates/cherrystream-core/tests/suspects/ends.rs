//! What counts as an end of a backend server, and who was at work.

use super::{ended, ms, sent};
use cherrystream_core::suspects::{EndId, Ends};

const END: EndId = EndId(9);

#[test]
fn a_proved_end_names_all_that_were_at_work() {
    let mut ends = Ends::default();
    assert_eq!(ends.on_broke(ms(10), ms(0), sent(1, false)), None);
    assert_eq!(ends.on_broke(ms(11), ms(0), sent(2, false)), None);
    let proved = ends.on_ended(ms(12), END);
    assert_eq!(proved, Some(ended(9, &[sent(1, false), sent(2, false)])));
    // One whose broken connection is noticed after the proof belongs to the same end.
    assert_eq!(ends.on_broke(ms(60), ms(8), sent(3, false)), Some(ended(9, &[sent(3, false)])));
}

#[test]
fn a_broken_connection_without_a_proof_blames_nobody() {
    let mut ends = Ends::default();
    ends.on_broke(ms(10), ms(0), sent(1, false));
    // The server answers what was sent later: the connection was reset.
    ends.on_answer(ms(20));
    assert!(!ends.wants_proof(ms(30)));
    assert_eq!(ends.on_ended(ms(40), END), None);
}

#[test]
fn an_answer_to_an_earlier_request_acquits_nobody() {
    let mut ends = Ends::default();
    ends.on_broke(ms(10), ms(0), sent(1, false));
    // It was sent before the connection broke, and may have been read only after the end.
    ends.on_answer(ms(5));
    assert_eq!(ends.on_ended(ms(12), END), Some(ended(9, &[sent(1, false)])));
    // Nor is the end forgotten: what breaks now broke with it, and does not count twice.
    ends.on_answer(ms(6));
    assert_eq!(ends.on_broke(ms(13), ms(0), sent(1, false)), Some(ended(9, &[sent(1, false)])));
    assert_eq!(ends.on_ended(ms(14), EndId(10)), None);
}

#[test]
fn a_broken_connection_is_not_explained_by_an_end_much_later() {
    let mut ends = Ends::default();
    ends.on_broke(ms(10), ms(0), sent(1, false));
    assert!(ends.wants_proof(ms(5_000)));
    assert!(!ends.wants_proof(ms(5_010)));
    assert_eq!(ends.on_ended(ms(5_010), END), None);
}

#[test]
fn a_request_whose_caller_left_is_a_suspect_for_a_second() {
    let mut ends = Ends::default();
    ends.on_left(ms(10), ms(0), sent(1, false));
    assert_eq!(ends.on_ended(ms(1_009), END), Some(ended(9, &[sent(1, false)])));
    let mut ends = Ends::default();
    ends.on_left(ms(10), ms(0), sent(1, false));
    assert_eq!(ends.on_ended(ms(1_010), END), None);
}

#[test]
fn a_planned_end_is_nobodys_fault() {
    let mut ends = Ends::default();
    ends.on_broke(ms(10), ms(0), sent(1, false));
    ends.on_planned_end();
    assert_eq!(ends.on_ended(ms(11), END), None);
}

#[test]
fn two_ends_of_one_server_are_two_once_it_has_answered_between() {
    let mut ends = Ends::default();
    ends.on_broke(ms(10), ms(0), sent(1, false));
    ends.on_ended(ms(11), END);
    ends.on_answer(ms(500));
    ends.on_broke(ms(600), ms(570), sent(1, false));
    assert_eq!(ends.on_ended(ms(601), EndId(10)), Some(ended(10, &[sent(1, false)])));
}

/// Load: a server is full and resets the connections that are too many, while it works on others.
#[test]
fn a_server_that_still_works_on_what_was_sent_before_has_not_ended() {
    let mut ends = Ends::default();
    let earlier = ends.begin(ms(5));
    let reset = ends.begin(ms(8));
    ends.leave(reset);
    ends.on_broke(ms(10), ms(0), sent(1, false));
    let later = ends.begin(ms(11));
    assert!(ends.has_survivor());
    ends.leave(earlier);
    // One that was sent afterwards shows nothing yet.
    assert!(!ends.has_survivor());
    ends.leave(later);
}

#[test]
fn one_request_runs_alone_at_a_door_at_a_time() {
    let mut ends = Ends::default();
    assert!(ends.begin_alone());
    assert!(!ends.begin_alone());
    ends.end_alone();
    assert!(ends.begin_alone());
}

#[test]
fn one_looks_for_the_proof_at_a_time() {
    let mut ends = Ends::default();
    assert!(!ends.begin_look(ms(9)));
    ends.on_broke(ms(10), ms(0), sent(1, false));
    assert!(ends.begin_look(ms(10)));
    assert!(!ends.begin_look(ms(11)));
    ends.end_look();
    assert!(ends.begin_look(ms(12)));
}

/// Load: the request that ends the server is the first that it gets when it is back, and there are no others.
#[test]
fn a_server_that_is_back_and_ends_at_once_has_ended_twice() {
    let mut ends = Ends::default();
    ends.on_broke(ms(30), ms(0), sent(1, false));
    assert!(ends.on_ended(ms(31), END).is_some());
    // It is back after two seconds, and answers nothing.
    assert_eq!(ends.on_broke(ms(2_130), ms(2_100), sent(1, true)), None);
    assert_eq!(ends.on_ended(ms(2_131), EndId(10)), Some(ended(10, &[sent(1, true)])));
    // Also where it is back within a second.
    assert_eq!(ends.on_broke(ms(2_630), ms(2_600), sent(1, true)), None);
    assert_eq!(ends.on_ended(ms(2_631), EndId(11)), Some(ended(11, &[sent(1, true)])));
}

/// Load: something takes connections for a server that is down, and closes them.
#[test]
fn what_is_sent_to_a_server_that_is_down_belongs_to_the_end_before() {
    let mut ends = Ends::default();
    ends.on_broke(ms(30), ms(0), sent(1, false));
    assert!(ends.on_ended(ms(31), END).is_some());
    assert_eq!(ends.on_broke(ms(102), ms(100), sent(2, true)), Some(ended(9, &[sent(2, true)])));
    ends.on_broke(ms(2_102), ms(2_100), sent(3, true));
    assert_eq!(ends.on_ended(ms(2_200), EndId(10)), Some(ended(9, &[sent(3, true)])));
}
