//! Slots that are reserved for requests before they arrive.
//!
//! A request with a long body reserves a slot first, so that its body is sent only to the backend
//! server that accepts it. An unused reservation expires after a short time.

use crate::units::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Validity of a reservation, a few round trips.
pub const RESERVATION_TTL: Duration = Duration::from_millis(250);

/// Random identifier of a reservation, so that a late request cannot take the slot of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Reservation(pub u64);

/// A reserved slot with the time at which the reservation expires.
#[derive(Debug)]
struct Reserved<T> {
    slot: T,
    expires: Timestamp,
}

/// Reserved slots of one inbound.
#[derive(Debug)]
pub struct Reservations<T> {
    reserved: BTreeMap<Reservation, Reserved<T>>,
}

impl<T> Default for Reservations<T> {
    fn default() -> Self {
        Reservations { reserved: BTreeMap::new() }
    }
}

impl<T> Reservations<T> {
    /// Reserves a slot for a request that will arrive.
    pub fn reserve(&mut self, now: Timestamp, name: Reservation, slot: T) {
        self.reserved.insert(name, Reserved { slot, expires: now + RESERVATION_TTL });
    }

    /// Removes and returns the slot of a request, unless its reservation has expired.
    pub fn take(&mut self, now: Timestamp, name: Reservation) -> Option<T> {
        let reserved = self.reserved.remove(&name)?;
        (now < reserved.expires).then_some(reserved.slot)
    }

    /// Removes and returns the slots whose reservations have expired.
    pub fn expire(&mut self, now: Timestamp) -> Vec<T> {
        let expired = self.reserved.extract_if(.., |_, reserved| reserved.expires <= now);
        expired.map(|(_, reserved)| reserved.slot).collect()
    }

    /// Returns the number of reserved slots.
    pub fn len(&self) -> usize {
        self.reserved.len()
    }

    /// Returns whether no slot is reserved.
    pub fn is_empty(&self) -> bool {
        self.reserved.is_empty()
    }
}
