//! Recent refusals of an inbound, used to predict its next ones.
//!
//! Refusals are recorded for each kind of request: nested calls have reserved slots, and requests
//! of higher weight are queued first, so a refusal of one kind predicts nothing for another.

use crate::units::Timestamp;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Longest validity of a refusal for lack of a free slot.
const MAX_BUSY_TTL: Duration = Duration::from_millis(250);
/// Longest validity of a refusal for the length of the queue.
const MAX_FULL_TTL: Duration = Duration::from_millis(100);
/// Number of kinds from which on expired entries are removed.
const MAX_KINDS: usize = 64;

/// Expiry of the refusals of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Expiry {
    busy_until: Timestamp,
    full_until: Timestamp,
}

/// Unexpired refusals by kind of request.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    by_kind: HashMap<Arc<str>, Expiry>,
}

impl Refusals {
    /// Records a refusal because no slot was free, with the time that this may last.
    pub(super) fn on_busy(&mut self, now: Timestamp, kind: &str, lasts: Duration) {
        self.expiry(now, kind).busy_until = now + lasts.min(MAX_BUSY_TTL);
    }

    /// Records a refusal because the queue was too long, with the time that this may last.
    pub(super) fn on_full(&mut self, now: Timestamp, kind: &str, lasts: Duration) {
        self.expiry(now, kind).full_until = now + lasts.min(MAX_FULL_TTL);
    }

    /// Discards all refusals after a load report with free slots and an empty queue.
    pub(super) fn on_free_slots(&mut self) {
        self.by_kind.clear();
    }

    /// Returns how long requests are expected to be refused for lack of a free slot.
    pub(super) fn busy_for(&self, now: Timestamp, kind: &str) -> Duration {
        self.by_kind.get(kind).map_or(Duration::ZERO, |expiry| expiry.busy_until.since(now))
    }

    /// Returns how long requests are expected to be refused for the length of the queue.
    pub(super) fn full_for(&self, now: Timestamp, kind: &str) -> Duration {
        self.by_kind.get(kind).map_or(Duration::ZERO, |expiry| expiry.full_until.since(now))
    }

    fn expiry(&mut self, now: Timestamp, kind: &str) -> &mut Expiry {
        if self.by_kind.len() >= MAX_KINDS {
            self.by_kind.retain(|_, e| now < e.busy_until.max(e.full_until));
        }
        self.by_kind.entry(kind.into()).or_default()
    }
}
