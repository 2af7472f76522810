//! What the refusals of an inbound tell of its next answers.
//!
//! An inbound judges kinds of requests differently: calls by running requests have slots of their own,
//! and heavier requests wait in front. So what one kind was refused tells nothing of another.

use crate::units::Timestamp;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Longest time for which an inbound is believed that it has no free slot.
const BUSY_BELIEVED: Duration = Duration::from_millis(250);
/// Longest time for which an inbound is believed that its queue is too long.
const FULL_BELIEVED: Duration = Duration::from_millis(100);
/// Kinds that are remembered at most, unless more were refused just now.
const KINDS: usize = 64;

/// Until when the refusals of one kind are believed.
#[derive(Clone, Copy, Debug, Default)]
struct Believed {
    busy_until: Timestamp,
    full_until: Timestamp,
}

/// Refusals by kind of request.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    by_kind: HashMap<Arc<str>, Believed>,
}

impl Refusals {
    /// Notes that a request was turned down because no slot was free, and for how long that may last.
    pub(super) fn on_busy(&mut self, now: Timestamp, kind: &str, lasts: Duration) {
        self.believed(now, kind).busy_until = now + lasts.min(BUSY_BELIEVED);
    }

    /// Notes that a request could not wait long enough for its turn, and for how long that may last.
    pub(super) fn on_full(&mut self, now: Timestamp, kind: &str, lasts: Duration) {
        self.believed(now, kind).full_until = now + lasts.min(FULL_BELIEVED);
    }

    /// Notes a report of free slots and an empty queue.
    pub(super) fn on_room(&mut self) {
        self.by_kind.clear();
    }

    /// Returns how long an offer would only be turned down.
    pub(super) fn busy_for(&self, now: Timestamp, kind: &str) -> Duration {
        self.by_kind.get(kind).map_or(Duration::ZERO, |believed| believed.busy_until.since(now))
    }

    /// Returns how long a request would only be refused.
    pub(super) fn full_for(&self, now: Timestamp, kind: &str) -> Duration {
        self.by_kind.get(kind).map_or(Duration::ZERO, |believed| believed.full_until.since(now))
    }

    fn believed(&mut self, now: Timestamp, kind: &str) -> &mut Believed {
        if self.by_kind.len() >= KINDS {
            self.by_kind.retain(|_, b| now < b.busy_until.max(b.full_until));
        }
        self.by_kind.entry(kind.into()).or_default()
    }
}
