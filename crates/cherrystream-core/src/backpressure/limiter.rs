//! Enforces the rate limit that a backend server states.

use super::signals::RateLimit;
use crate::token_bucket::{Size, TokenBucket};
use crate::units::Timestamp;
use std::time::Duration;

/// Time over which unused requests of the limit are saved.
const BURST: Duration = Duration::from_secs(1);
/// Rate at which requests are sent though the limit is lower. Only an answer to a request shows
/// that a limit has ended.
const MIN_PER_SECOND: f64 = 0.5;
/// Longest time by which a promise is later than the next token.
const MAX_PROMISE_DELAY: Duration = Duration::from_secs(1);
/// Tolerance of comparisons, as times are whole microseconds.
const TOLERANCE: f64 = 1e-5;

/// Limits the requests to one backend server to the rate that it states.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    limit: Option<RateLimit>,
    bucket: TokenBucket,
    /// When the last refused request was promised a token.
    promised_at: Timestamp,
}

impl RateLimiter {
    /// Sets or ends the limit. A limit starts without tokens: the server has just received what
    /// other limits allowed.
    pub fn set_limit(&mut self, now: Timestamp, limit: Option<RateLimit>) {
        let previous = std::mem::replace(&mut self.limit, limit);
        let Some(limit) = limit else { return };
        let Some(previous) = previous else {
            self.bucket = TokenBucket::new(now, 0.0);
            self.promised_at = now;
            return;
        };
        let (old, new) = (size(previous), size(limit));
        self.bucket.refill(now, old);
        let excess = self.bucket.level() * (1.0 - new.depth / old.depth);
        self.bucket.charge(excess.max(0.0));
        // Promises at a lower rate would delay callers.
        self.promised_at = now;
    }

    /// Returns whether a limit is in force.
    pub fn is_limited(&self) -> bool {
        self.limit.is_some()
    }

    /// Records that a request is sent.
    pub fn on_sent(&mut self, now: Timestamp) {
        let Some(limit) = self.limit else { return };
        self.bucket.refill(now, size(limit));
        self.bucket.charge(1.0);
    }

    /// Records a health probe. It takes a token that is left, and never one that is not yet due:
    /// probes must not keep requests from a server.
    pub fn on_probe_sent(&mut self, now: Timestamp) {
        let Some(limit) = self.limit else { return };
        self.bucket.refill(now, size(limit));
        self.bucket.charge(self.bucket.level().clamp(0.0, 1.0));
    }

    /// Returns whether one more request may be sent; `unsent` ones were admitted and are not sent
    /// yet.
    pub fn allows(&mut self, now: Timestamp, unsent: usize) -> bool {
        let Some(limit) = self.limit else { return true };
        self.bucket.refill(now, size(limit));
        self.bucket.level() + TOLERANCE >= unsent as f64 + 1.0
    }

    /// Returns the time until a request may be sent that `ahead` others precede, or `None` without
    /// a limit.
    pub fn wait(&mut self, now: Timestamp, ahead: usize) -> Option<Duration> {
        let size = size(self.limit?);
        self.bucket.refill(now, size);
        Some(self.bucket.time_until(ahead as f64 + 1.0 - TOLERANCE, size))
    }

    /// Returns the time after which a refused request may be sent, after those that were refused
    /// before it, so that they return at the rate of the limit.
    pub fn promise(&mut self, now: Timestamp, ahead: usize) -> Option<Duration> {
        let interval = Duration::from_secs_f64(1.0 / size(self.limit?).per_second);
        let due = now + self.wait(now, ahead)?;
        let after_others = (self.promised_at + interval).min(due + MAX_PROMISE_DELAY);
        self.promised_at = due.max(after_others);
        Some(self.promised_at.since(now))
    }
}

fn size(limit: RateLimit) -> Size {
    let per_second = limit.per_second().max(MIN_PER_SECOND);
    let depth = (per_second * BURST.as_secs_f64()).max(1.0);
    Size { per_second, depth }
}
