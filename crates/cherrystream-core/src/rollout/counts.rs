//! Counts of the responses of a backend server, for the evaluation of a canary.

use cherrystream_schema::messages::KindTally;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Number of buckets of the histogram of service times, two for each doubling from 1 ms.
pub const BUCKETS: usize = 32;
/// Largest number of request kinds counted. Kinds are named by requests, so the counts sent to
/// control need a bound.
const MAX_KINDS: usize = 16;

/// Returns the bucket of a service time.
pub fn bucket(time: Duration) -> usize {
    let ms = time.as_secs_f64() * 1_000.0;
    let bucket = (ms.max(1.0).log2() * 2.0).floor() as usize;
    bucket.min(BUCKETS - 1)
}

/// Returns the end of a bucket.
pub fn upper_bound(bucket: usize) -> Duration {
    Duration::from_secs_f64(2_f64.powf((bucket + 1) as f64 / 2.0) / 1_000.0)
}

/// Responses of one backend server since its roll-out was first seen.
#[derive(Debug, Default)]
pub struct Counts {
    kinds: BTreeMap<Arc<str>, KindCounts>,
}

#[derive(Debug, Default)]
struct KindCounts {
    answered: u64,
    failed: u64,
    times: [u64; BUCKETS],
}

/// A response, or a missing one at the deadline.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// Whether it reports a failure of the backend server.
    pub failed: bool,
    /// Service time, corrected for the slowness of the host. `None` for a cold backend server,
    /// which is slow with any version.
    pub took: Option<Duration>,
}

impl Counts {
    /// Counts a response.
    pub fn on_answer(&mut self, kind: &Arc<str>, answer: Answer) {
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(kind) {
            return;
        }
        let counts = self.kinds.entry(kind.clone()).or_default();
        counts.answered += 1;
        counts.failed += u64::from(answer.failed);
        if let Some(took) = answer.took {
            counts.times[bucket(took)] += 1;
        }
    }

    /// Returns the counts by kind of request.
    pub fn by_kind(&self) -> BTreeMap<String, KindTally> {
        self.kinds.iter().map(|(kind, counts)| (kind.to_string(), counts.tally())).collect()
    }
}

impl KindCounts {
    fn tally(&self) -> KindTally {
        let counted = self.times.iter().enumerate().filter(|(_, count)| **count > 0);
        let times = counted.map(|(bucket, count)| (bucket.to_string(), *count)).collect();
        KindTally { answered: self.answered, failed: self.failed, times }
    }
}

/// Difference between two reports of the counts of one backend server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CountsDelta {
    /// Number of responses.
    pub answered: u64,
    /// Number of responses that report a failure.
    pub failed: u64,
    /// Number of responses by bucket of their service time.
    pub times: [u64; BUCKETS],
}

impl CountsDelta {
    /// Returns the difference between a report and an earlier one of the same backend server.
    pub fn since(tally: &KindTally, earlier: Option<&KindTally>) -> CountsDelta {
        let nothing = KindTally { answered: 0, failed: 0, times: BTreeMap::new() };
        let earlier = earlier.unwrap_or(&nothing);
        let mut times = [0; BUCKETS];
        for (bucket, count) in &tally.times {
            let slot = bucket.parse().ok().and_then(|bucket: usize| times.get_mut(bucket));
            if let Some(slot) = slot {
                *slot =
                    count.saturating_sub(earlier.times.get(bucket).copied().unwrap_or_default());
            }
        }
        CountsDelta {
            answered: tally.answered.saturating_sub(earlier.answered),
            failed: tally.failed.saturating_sub(earlier.failed),
            times,
        }
    }
}
