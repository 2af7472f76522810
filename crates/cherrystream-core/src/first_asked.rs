//! How long ago a caller first asked for what it asks again now.
//!
//! A caller that was refused comes back with the time that is left of its patience. Most requests of a
//! kind begin with the same patience, so those values stand out; what lies below one of them was asked
//! before. Where callers begin with values of all sorts, nothing stands out and nothing is assumed.

use crate::units::Timestamp;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Width of the groups in which values are counted: the time that callers may take to write a request.
const GROUP_MS: u64 = 16;
/// Groups that are counted for a kind.
const GROUPS_AT_MOST: usize = 16;
/// Share of the requests of a kind from which a group stands out: in the worst rush that was seen (half of
/// the requests came again) first requests were 0.55, and no other group of this width was over 0.05.
const STANDS_OUT_FROM: f64 = 0.15;
/// Requests of a kind from which its groups tell something.
const ENOUGH: f64 = 12.0;
/// Time after which half of what was seen is forgotten: traffic and settings of callers change.
const HALF_LIFE: Duration = Duration::from_secs(8);
/// Kinds that are remembered at most.
const KINDS_AT_MOST: usize = 256;

/// Counts by group for one kind.
#[derive(Debug, Default)]
struct Counts {
    total: f64,
    by_group: HashMap<u64, f64>,
}

/// What an outbound knows of the patience of its callers.
#[derive(Debug, Default)]
pub struct FirstAsked {
    by_kind: HashMap<Arc<str>, Counts>,
    halved_at: Timestamp,
}

impl FirstAsked {
    /// Notes a request whose caller still waits for `left`; returns how long ago it first asked, as far
    /// as that can be told.
    pub fn on_request(&mut self, now: Timestamp, kind: &Arc<str>, left: Duration) -> Duration {
        self.forget(now);
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        if !self.by_kind.contains_key(kind) && self.by_kind.len() >= KINDS_AT_MOST {
            return Duration::ZERO;
        }
        let counts = self.by_kind.entry(kind.clone()).or_default();
        counts.add(left_ms / GROUP_MS);
        Duration::from_millis(counts.elapsed_ms(left_ms))
    }

    fn forget(&mut self, now: Timestamp) {
        if now.since(self.halved_at) < HALF_LIFE {
            return;
        }
        self.halved_at = now;
        self.by_kind.values_mut().for_each(Counts::halve);
        self.by_kind.retain(|_, counts| counts.total >= 1.0);
    }
}

impl Counts {
    fn add(&mut self, group: u64) {
        self.total += 1.0;
        if let Some(count) = self.by_group.get_mut(&group) {
            *count += 1.0;
            return;
        }
        if self.by_group.len() >= GROUPS_AT_MOST {
            // The rarest makes room, so that frequent ones stay.
            let rarest = self.by_group.iter().min_by(|a, b| a.1.total_cmp(b.1)).map(|(g, _)| *g);
            rarest.and_then(|group| self.by_group.remove(&group));
        }
        self.by_group.insert(group, 1.0);
    }

    /// Returns the time from the lowest value that stands out, and is no lower, down to this one.
    fn elapsed_ms(&self, left_ms: u64) -> u64 {
        if self.total < ENOUGH {
            return 0;
        }
        let stands_out = |count: f64| count >= STANDS_OUT_FROM * self.total;
        let group = left_ms / GROUP_MS;
        let above = self.by_group.iter().filter(|(g, count)| **g >= group && stands_out(**count));
        let first = above.map(|(g, _)| *g).min();
        first.filter(|first| *first > group).map_or(0, |first| first * GROUP_MS - left_ms)
    }

    fn halve(&mut self) {
        self.total /= 2.0;
        self.by_group.values_mut().for_each(|count| *count /= 2.0);
        self.by_group.retain(|_, count| *count >= 0.5);
    }
}
