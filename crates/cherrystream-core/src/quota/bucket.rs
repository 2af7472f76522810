//! A token bucket that accounts for the tokens granted in advance.

pub(super) use crate::token_bucket::Size;

use crate::token_bucket::TokenBucket;
use crate::units::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Tokens granted ahead of the requests that use them.
#[derive(Clone, Copy, Debug)]
pub(super) struct GrantedLease {
    /// Time from which all tokens of the lease are considered used.
    pub(super) expires_at: Timestamp,
    /// Tokens that have not been returned.
    pub(super) tokens: f64,
}

/// Token bucket. Granted tokens keep their place in it until their lease expires.
///
/// While tokens that a previous allocator granted may still count, the level is limited. Meanwhile
/// a second level is kept that would hold if there were none, and it replaces the first one
/// afterwards.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    tokens: TokenBucket,
    limited: Option<Limited>,
    leased: f64,
    leases: VecDeque<GrantedLease>,
}

/// Level of a bucket until a time.
#[derive(Clone, Debug)]
struct Limited {
    tokens: TokenBucket,
    until: Timestamp,
}

impl Bucket {
    /// Creates a full bucket.
    pub(super) fn new(now: Timestamp, size: Size) -> Bucket {
        let tokens = TokenBucket::new(now, size.depth);
        Bucket { tokens, limited: None, leased: 0.0, leases: VecDeque::new() }
    }

    /// Creates a bucket that holds at most `level` tokens, and until a time no more than it earns.
    pub(super) fn limited(now: Timestamp, level: f64, until: Timestamp, size: Size) -> Bucket {
        let tokens = TokenBucket::new(now, level.min(size.depth));
        Bucket { limited: Some(Limited { tokens, until }), ..Bucket::new(now, size) }
    }

    /// Adds the tokens due since the last call and removes expired leases.
    pub(super) fn refill(&mut self, now: Timestamp, size: Size) {
        while let Some(lease) = self.leases.pop_front_if(|lease| lease.expires_at <= now) {
            self.leased -= lease.tokens;
        }
        if self.leases.is_empty() {
            self.leased = 0.0;
        }
        self.limited.take_if(|limited| limited.until <= now);
        let size = self.unleased(size);
        self.levels().for_each(|tokens| tokens.refill(now, size));
    }

    fn levels(&mut self) -> impl Iterator<Item = &mut TokenBucket> {
        let limited = self.limited.as_mut().map(|limited| &mut limited.tokens);
        [&mut self.tokens].into_iter().chain(limited)
    }

    fn current(&self) -> &TokenBucket {
        self.limited.as_ref().map_or(&self.tokens, |limited| &limited.tokens)
    }

    /// Returns the tokens available; negative after an overdraft.
    pub(super) fn level(&self) -> f64 {
        self.current().level()
    }

    /// Returns the tokens missing from a full bucket, rounded up.
    pub(super) fn deficit(&self, size: Size) -> u32 {
        (size.depth - self.leased - self.level()).max(0.0).ceil() as u32
    }

    /// Returns the tokens granted in leases that have not expired.
    pub(super) fn leased(&self) -> f64 {
        self.leased
    }

    /// Grants tokens in advance.
    pub(super) fn grant(&mut self, lease: GrantedLease) {
        self.charge(lease.tokens);
        self.leased += lease.tokens;
        self.leases.push_back(lease);
    }

    /// Consumes tokens; the level may become negative.
    pub(super) fn charge(&mut self, tokens: f64) {
        self.levels().for_each(|level| level.charge(tokens));
    }

    /// Returns unused tokens to the bucket and deducts them from the oldest leases.
    pub(super) fn give_back(&mut self, tokens: u32, size: Size) {
        let mut remaining = f64::from(tokens);
        for lease in &mut self.leases {
            let returned = lease.tokens.min(remaining);
            lease.tokens -= returned;
            remaining -= returned;
            self.leased -= returned;
        }
        let size = self.unleased(size);
        self.levels().for_each(|level| level.give_back(f64::from(tokens), size));
    }

    /// Returns the time until `tokens` are available, at most a minute.
    pub(super) fn time_until(&self, now: Timestamp, tokens: f64, size: Size) -> Duration {
        let unlimited = self.tokens.time_until(tokens, size);
        match &self.limited {
            Some(limited) => {
                let until_unlimited = limited.until.since(now).max(unlimited);
                limited.tokens.time_until(tokens, size).min(until_unlimited)
            }
            None => unlimited,
        }
    }

    /// Returns the size without the tokens that are granted in advance.
    fn unleased(&self, size: Size) -> Size {
        Size { depth: (size.depth - self.leased).max(0.0), ..size }
    }
}
