//! Rate limits for log lines about requests, separate for failures and successes.

use crate::units::Timestamp;

/// Log lines per second about failed requests.
const FAILURES_PER_SECOND: f64 = 40.0;
/// Log lines per second about answered requests.
const ANSWERS_PER_SECOND: f64 = 2.0;
/// Capacity of a bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 2.0;

/// Token bucket.
#[derive(Debug)]
struct TokenBucket {
    per_second: f64,
    tokens: f64,
    refilled: Timestamp,
}

impl TokenBucket {
    fn new(per_second: f64) -> TokenBucket {
        TokenBucket {
            per_second,
            tokens: per_second * BURST_SECONDS,
            refilled: Timestamp::default(),
        }
    }

    fn try_take(&mut self, now: Timestamp) -> bool {
        let earned = now.since(self.refilled).as_secs_f64() * self.per_second;
        self.refilled = now;
        self.tokens = (self.tokens + earned).min(self.per_second * BURST_SECONDS);
        let can = self.tokens >= 1.0;
        if can {
            self.tokens -= 1.0;
        }
        can
    }
}

/// Decides which log lines about requests are written.
#[derive(Debug)]
pub struct LogBudget {
    failures: TokenBucket,
    answers: TokenBucket,
    dropped: u64,
}

impl Default for LogBudget {
    fn default() -> Self {
        LogBudget {
            failures: TokenBucket::new(FAILURES_PER_SECOND),
            answers: TokenBucket::new(ANSWERS_PER_SECOND),
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
