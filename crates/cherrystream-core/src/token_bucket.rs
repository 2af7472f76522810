//! Token bucket.

use crate::units::Timestamp;
use std::time::Duration;

/// Longest wait that is reported.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Refill rate and depth of a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    /// Tokens added per second.
    pub per_second: f64,
    /// Largest number of tokens.
    pub depth: f64,
}

/// A token bucket. The level is negative after an overdraft.
#[derive(Clone, Debug, Default)]
pub struct TokenBucket {
    level: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// Creates a bucket that holds `level` tokens.
    pub fn new(now: Timestamp, level: f64) -> TokenBucket {
        TokenBucket { level, refilled_at: now }
    }

    /// Adds the tokens due since the last call, up to the depth.
    pub fn refill(&mut self, now: Timestamp, size: Size) {
        let earned = size.per_second * now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.level = (self.level + earned).min(size.depth);
    }

    /// Returns the tokens available.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Takes tokens, whether or not they are available.
    pub fn charge(&mut self, tokens: f64) {
        self.level -= tokens;
    }

    /// Returns tokens that were not used, up to the depth.
    pub fn give_back(&mut self, tokens: f64, size: Size) {
        self.level = (self.level + tokens).min(size.depth);
    }

    /// Takes a token if one is available.
    pub fn try_take(&mut self) -> bool {
        let can = self.level >= 1.0;
        if can {
            self.charge(1.0);
        }
        can
    }

    /// Returns the time until `tokens` are available, at most a minute.
    pub fn time_until(&self, tokens: f64, size: Size) -> Duration {
        let missing = (tokens - self.level).max(0.0);
        let seconds = missing / size.per_second.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(seconds).map_or(MAX_WAIT, |time| time.min(MAX_WAIT))
    }
}
