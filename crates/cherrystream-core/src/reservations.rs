//! Slots that were granted ahead of the requests that will use them.
//!
//! A request with a long body asks for a slot first, so that its body travels only to the backend
//! server that takes it. A slot that nobody comes for is free again after a short time.

use crate::units::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a slot is kept for the request that asked for it: several round trips.
pub const KEPT_FOR: Duration = Duration::from_millis(250);

/// Names a reserved slot. It is a random number, so that a late request finds no other's slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Reservation(pub u64);

/// A slot with the time until which it is kept.
#[derive(Debug)]
struct Kept<T> {
    slot: T,
    until: Timestamp,
}

/// The reserved slots of one inbound.
#[derive(Debug)]
pub struct Reservations<T> {
    kept: BTreeMap<Reservation, Kept<T>>,
}

impl<T> Default for Reservations<T> {
    fn default() -> Self {
        Reservations { kept: BTreeMap::new() }
    }
}

impl<T> Reservations<T> {
    /// Keeps a slot for a request that is on its way.
    pub fn keep(&mut self, now: Timestamp, name: Reservation, slot: T) {
        self.kept.insert(name, Kept { slot, until: now + KEPT_FOR });
    }

    /// Hands a slot to its request, unless it came too late. A slot is handed out once.
    pub fn take(&mut self, now: Timestamp, name: Reservation) -> Option<T> {
        let kept = self.kept.remove(&name)?;
        (now < kept.until).then_some(kept.slot)
    }

    /// Takes out the slots that nobody came for.
    pub fn expire(&mut self, now: Timestamp) -> Vec<T> {
        let late = self.kept.extract_if(.., |_, kept| kept.until <= now);
        late.map(|(_, kept)| kept.slot).collect()
    }

    /// Returns the number of slots that are kept.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Returns whether no slot is kept.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }
}
