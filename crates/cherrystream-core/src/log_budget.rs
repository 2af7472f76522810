//! Rate limits for log lines about requests, separate for failures and successes.

use crate::token_bucket::{Size, TokenBucket};
use crate::units::Timestamp;

/// Log lines per second about failed requests.
const FAILURES_PER_SECOND: f64 = 40.0;
/// Log lines per second about answered requests.
const ANSWERS_PER_SECOND: f64 = 2.0;
/// Capacity of a bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 2.0;

/// Token bucket of one kind of line.
#[derive(Debug)]
struct Bucket {
    size: Size,
    tokens: TokenBucket,
}

impl Bucket {
    fn new(per_second: f64) -> Bucket {
        let depth = per_second * BURST_SECONDS;
        let tokens = TokenBucket::new(Timestamp::default(), depth);
        Bucket { size: Size { per_second, depth }, tokens }
    }

    fn try_take(&mut self, now: Timestamp) -> bool {
        self.tokens.refill(now, self.size);
        self.tokens.try_take()
    }
}

/// Decides which log lines about requests are written.
#[derive(Debug)]
pub struct LogBudget {
    failures: Bucket,
    answers: Bucket,
    dropped: u64,
}

impl Default for LogBudget {
    fn default() -> Self {
        LogBudget {
            failures: Bucket::new(FAILURES_PER_SECOND),
            answers: Bucket::new(ANSWERS_PER_SECOND),
            dropped: 0,
        }
    }
}

impl LogBudget {
    /// Returns the number of lines about failures dropped since the last line, or `None` if this
    /// line is dropped too.
    pub fn take(&mut self, now: Timestamp, failed: bool) -> Option<u64> {
        let bucket = if failed { &mut self.failures } else { &mut self.answers };
        if bucket.try_take(now) {
            return Some(std::mem::take(&mut self.dropped));
        }
        self.dropped += u64::from(failed);
        None
    }
}
