//! Reservations of slots.

use cherrystream_core::reservations::{RESERVATION_TTL, Reservation, Reservations};
use cherrystream_core::units::Timestamp;
use std::time::Duration;

const NOW: Timestamp = Timestamp::from_millis(1_000);

#[test]
fn a_reserved_slot_is_taken_once() {
    let mut reservations = Reservations::default();
    reservations.reserve(NOW, Reservation(7), "slot");
    assert_eq!(reservations.take(NOW, Reservation(8)), None, "another reservation");
    assert_eq!(reservations.take(NOW, Reservation(7)), Some("slot"));
    assert_eq!(reservations.take(NOW, Reservation(7)), None);
}

#[test]
fn an_unused_reservation_expires() {
    let mut reservations = Reservations::default();
    reservations.reserve(NOW, Reservation(1), "early");
    reservations.reserve(NOW + Duration::from_millis(1), Reservation(2), "late");
    assert!(reservations.expire(NOW + (RESERVATION_TTL - Duration::from_millis(1))).is_empty());
    assert_eq!(reservations.expire(NOW + RESERVATION_TTL), ["early"]);
    assert_eq!(reservations.len(), 1);
}

#[test]
fn an_expired_reservation_yields_no_slot() {
    let mut reservations = Reservations::default();
    reservations.reserve(NOW, Reservation(1), "slot");
    assert_eq!(reservations.take(NOW + RESERVATION_TTL, Reservation(1)), None);
    assert!(reservations.is_empty());
}
