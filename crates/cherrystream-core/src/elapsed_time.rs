//! Estimates the time since a caller first sent a request that it now retries.
//!
//! A refused caller retries with its remaining deadline. Most requests of a kind start with the
//! same few deadlines, which form peaks in a histogram; a lower value is a retry. Without peaks no
//! time is assumed.

use crate::units::Timestamp;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Width of a histogram bucket, the time that callers may take to write a request.
const BUCKET_MS: u64 = 16;
/// Largest number of buckets of a kind.
const MAX_BUCKETS: usize = 16;
/// Share of the requests of a kind from which a bucket is a peak.
const MIN_PEAK_SHARE: f64 = 0.15;
/// Requests of a kind from which its histogram is used.
const MIN_REQUESTS: f64 = 12.0;
/// Half-life of the counts, as traffic and settings of callers change.
const HALF_LIFE: Duration = Duration::from_secs(8);
/// Largest number of kinds.
const MAX_KINDS: usize = 256;

/// Histogram of remaining deadlines of one kind.
#[derive(Debug, Default)]
struct Histogram {
    total: f64,
    buckets: HashMap<u64, f64>,
}

/// Histograms of remaining deadlines by kind of request.
#[derive(Debug, Default)]
pub struct ElapsedTimeEstimator {
    by_kind: HashMap<Arc<str>, Histogram>,
    halved_at: Timestamp,
}

impl ElapsedTimeEstimator {
    /// Records a request with the remaining deadline `remaining`; returns the estimated time since the
    /// caller first sent it, or zero.
    pub fn on_request(&mut self, now: Timestamp, kind: &Arc<str>, remaining: Duration) -> Duration {
        self.decay(now);
        let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        if !self.by_kind.contains_key(kind) && self.by_kind.len() >= MAX_KINDS {
            return Duration::ZERO;
        }
        let histogram = self.by_kind.entry(kind.clone()).or_default();
        histogram.add(remaining_ms / BUCKET_MS);
        Duration::from_millis(histogram.elapsed_ms(remaining_ms))
    }

    fn decay(&mut self, now: Timestamp) {
        if now.since(self.halved_at) < HALF_LIFE {
            return;
        }
        self.halved_at = now;
        self.by_kind.values_mut().for_each(Histogram::halve);
        self.by_kind.retain(|_, histogram| histogram.total >= 1.0);
    }
}

impl Histogram {
    fn add(&mut self, bucket: u64) {
        self.total += 1.0;
        if let Some(count) = self.buckets.get_mut(&bucket) {
            *count += 1.0;
            return;
        }
        if self.buckets.len() >= MAX_BUCKETS {
            // The least frequent bucket is evicted.
            let rarest =
                self.buckets.iter().min_by(|a, b| a.1.total_cmp(b.1)).map(|(bucket, _)| *bucket);
            rarest.and_then(|bucket| self.buckets.remove(&bucket));
        }
        self.buckets.insert(bucket, 1.0);
    }

    /// Returns the distance to the lowest peak that is at least `remaining_ms`.
    fn elapsed_ms(&self, remaining_ms: u64) -> u64 {
        if self.total < MIN_REQUESTS {
            return 0;
        }
        let is_peak = |count: f64| count >= MIN_PEAK_SHARE * self.total;
        let bucket = remaining_ms / BUCKET_MS;
        let above =
            self.buckets.iter().filter(|(other, count)| **other >= bucket && is_peak(**count));
        let first = above.map(|(other, _)| *other).min();
        first.filter(|first| *first > bucket).map_or(0, |first| first * BUCKET_MS - remaining_ms)
    }

    fn halve(&mut self) {
        self.total /= 2.0;
        self.buckets.values_mut().for_each(|count| *count /= 2.0);
        self.buckets.retain(|_, count| *count >= 0.5);
    }
}
