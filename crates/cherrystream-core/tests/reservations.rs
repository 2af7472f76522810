//! Slots that are kept for requests that follow.

use cherrystream_core::reservations::{KEPT_FOR, Reservation, Reservations};
use cherrystream_core::units::Timestamp;
use std::time::Duration;

const NOW: Timestamp = Timestamp::from_millis(1_000);

#[test]
fn a_slot_is_handed_out_once() {
    let mut reservations = Reservations::default();
    reservations.keep(NOW, Reservation(7), "slot");
    assert_eq!(reservations.take(NOW, Reservation(8)), None, "another request's name");
    assert_eq!(reservations.take(NOW, Reservation(7)), Some("slot"));
    assert_eq!(reservations.take(NOW, Reservation(7)), None);
}

#[test]
fn a_slot_that_nobody_comes_for_is_free_again() {
    let mut reservations = Reservations::default();
    reservations.keep(NOW, Reservation(1), "early");
    reservations.keep(NOW + Duration::from_millis(1), Reservation(2), "late");
    assert!(reservations.expire(NOW + (KEPT_FOR - Duration::from_millis(1))).is_empty());
    assert_eq!(reservations.expire(NOW + KEPT_FOR), ["early"]);
    assert_eq!(reservations.len(), 1);
}

#[test]
fn a_request_that_comes_too_late_has_no_slot() {
    let mut reservations = Reservations::default();
    reservations.keep(NOW, Reservation(1), "slot");
    assert_eq!(reservations.take(NOW + KEPT_FOR, Reservation(1)), None);
    assert!(reservations.is_empty());
}
