//! A token bucket that accounts for the tokens granted in advance.

use crate::units::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Longest time after which a caller may retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Refill rate and depth of a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Size {
    /// Tokens added per second.
    pub(super) per_second: f64,
    /// Maximum number of tokens, including those granted in leases that have not expired.
    pub(super) depth: f64,
}

/// Tokens granted ahead of the requests that use them.
#[derive(Clone, Copy, Debug)]
pub(super) struct GrantedLease {
    /// Time from which all tokens of the lease are considered used.
    pub(super) expires_at: Timestamp,
    /// Tokens that have not been returned.
    pub(super) tokens: f64,
}

/// Token bucket. Granted tokens keep their place in it until their lease expires.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    level: f64,
    refilled_at: Timestamp,
    leased: f64,
    leases: VecDeque<GrantedLease>,
}

impl Bucket {
    /// Creates a bucket that holds `level` tokens, at most its depth.
    pub(super) fn new(now: Timestamp, level: f64, size: Size) -> Bucket {
        Bucket {
            level: level.min(size.depth),
            refilled_at: now,
            leased: 0.0,
            leases: VecDeque::new(),
        }
    }

    /// Adds the tokens due since the last call and removes expired leases.
    pub(super) fn refill(&mut self, now: Timestamp, size: Size) {
        self.level += size.per_second * now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        while let Some(lease) = self.leases.pop_front_if(|lease| lease.expires_at <= now) {
            self.leased -= lease.tokens;
        }
        if self.leases.is_empty() {
            self.leased = 0.0;
        }
        self.level = self.level.min((size.depth - self.leased).max(0.0));
    }

    /// Returns the tokens available; negative after an overdraft.
    pub(super) fn level(&self) -> f64 {
        self.level
    }

    /// Returns the tokens missing from a full bucket, rounded up.
    pub(super) fn deficit(&self, size: Size) -> u32 {
        (size.depth - self.leased - self.level).max(0.0).ceil() as u32
    }

    /// Returns the tokens granted in leases that have not expired.
    pub(super) fn leased(&self) -> f64 {
        self.leased
    }

    /// Grants tokens in advance.
    pub(super) fn grant(&mut self, lease: GrantedLease) {
        self.level -= lease.tokens;
        self.leased += lease.tokens;
        self.leases.push_back(lease);
    }

    /// Consumes tokens; the level may become negative.
    pub(super) fn charge(&mut self, tokens: f64) {
        self.level -= tokens;
    }

    /// Returns unused tokens to the bucket and deducts them from the oldest leases.
    pub(super) fn give_back(&mut self, tokens: u32, size: Size) {
        let mut remaining = f64::from(tokens);
        self.level += remaining;
        for lease in &mut self.leases {
            let returned = lease.tokens.min(remaining);
            lease.tokens -= returned;
            remaining -= returned;
            self.leased -= returned;
        }
        self.level = self.level.min((size.depth - self.leased).max(0.0));
    }

    /// Returns the time until `tokens` are available, at most `MAX_RETRY_AFTER`.
    pub(super) fn time_until(&self, tokens: f64, size: Size) -> Duration {
        let missing = (tokens - self.level).max(0.0);
        let seconds = missing / size.per_second.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(seconds)
            .map_or(MAX_RETRY_AFTER, |time| time.min(MAX_RETRY_AFTER))
    }
}
