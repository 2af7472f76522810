//! Tracks the signals of one backend server.
//!
//! Answers may be read in another order than they were written. A limit is therefore raised or ended
//! only by the answer to a request that was sent after the limit was last stated; it is lowered by
//! any answer. That a backend server is leaving is never taken back.

use super::UNREGISTERED_LEAVING_TTL;
use super::signals::{RateLimit, Signals, Stated};
use crate::units::Timestamp;

/// A change of the signals of a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SignalChange {
    /// It states another rate limit; `None` means none.
    Limit {
        /// Previous limit.
        from: Option<RateLimit>,
        /// New limit.
        to: Option<RateLimit>,
    },
    /// It is leaving.
    Leaving,
    /// It states a limit that cannot be read; reported once.
    UnreadableLimit,
    /// Whether it is leaving cannot be read; reported once.
    UnreadableLeaving,
}

/// Signals of one backend server.
#[derive(Clone, Debug, Default)]
pub struct SignalTracker {
    limit: Option<RateLimit>,
    /// When an answer last stated the limit.
    limit_stated_at: Timestamp,
    leaving: bool,
    /// When it was last stated that the backend server is leaving.
    leaving_stated_at: Timestamp,
    /// Whether the backend server has answered a request of this process.
    has_answered: bool,
    reported_unreadable_limit: bool,
    reported_unreadable_leaving: bool,
}

impl SignalTracker {
    /// Handles the signals in the answer to a request that was sent at `sent_at`.
    pub fn on_answer(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        signals: &Signals,
    ) -> Vec<SignalChange> {
        self.has_answered = true;
        let ended = match signals.rate_limit {
            Stated::Absent => self.on_limit(now, sent_at, None),
            _ => None,
        };
        ended.into_iter().chain(self.on_health_answer(now, sent_at, signals)).collect()
    }

    /// Handles the signals in an answer of the health endpoint, whose absence means nothing: the
    /// endpoint need not state what answers to requests do.
    pub fn on_health_answer(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        signals: &Signals,
    ) -> Vec<SignalChange> {
        let limit = match signals.rate_limit {
            Stated::Absent => None,
            Stated::Value(limit) => self.on_limit(now, sent_at, Some(limit)),
            Stated::Unreadable => {
                once(&mut self.reported_unreadable_limit).then_some(SignalChange::UnreadableLimit)
            }
        };
        let leaving = match signals.leaving {
            Stated::Absent | Stated::Value(false) => None,
            Stated::Value(true) => self.on_leaving(now),
            Stated::Unreadable => once(&mut self.reported_unreadable_leaving)
                .then_some(SignalChange::UnreadableLeaving),
        };
        limit.into_iter().chain(leaving).collect()
    }

    /// Handles what another daemon knows from earlier answers. Its limit applies until the backend
    /// server has answered this process.
    pub fn on_hint(
        &mut self,
        now: Timestamp,
        limit: Option<RateLimit>,
        leaving: bool,
    ) -> Vec<SignalChange> {
        let limit = limit.filter(|_| !self.has_answered);
        let limit = limit.and_then(|limit| self.lower_limit(now, limit));
        let leaving = if leaving { self.on_leaving(now) } else { None };
        limit.into_iter().chain(leaving).collect()
    }

    /// Returns the rate limit in force.
    pub fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    /// Returns whether the backend server last stated so long ago that it is leaving that another
    /// run may have replaced it, unless it registers itself.
    pub fn may_be_replaced(&self, now: Timestamp) -> bool {
        self.leaving && now.since(self.leaving_stated_at) >= UNREGISTERED_LEAVING_TTL
    }

    /// Returns whether the backend server is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    fn on_limit(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        stated: Option<RateLimit>,
    ) -> Option<SignalChange> {
        let raises = match (self.limit, stated) {
            (Some(current), Some(stated)) => stated > current,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if raises && sent_at <= self.limit_stated_at {
            return None;
        }
        self.set_limit(now, stated)
    }

    fn lower_limit(&mut self, now: Timestamp, limit: RateLimit) -> Option<SignalChange> {
        let is_lower = self.limit.is_none_or(|current| limit < current);
        is_lower.then(|| self.set_limit(now, Some(limit))).flatten()
    }

    fn set_limit(&mut self, now: Timestamp, to: Option<RateLimit>) -> Option<SignalChange> {
        if to.is_some() {
            self.limit_stated_at = now;
        }
        let from = std::mem::replace(&mut self.limit, to);
        (from != to).then_some(SignalChange::Limit { from, to })
    }

    fn on_leaving(&mut self, now: Timestamp) -> Option<SignalChange> {
        self.leaving_stated_at = now;
        once(&mut self.leaving).then_some(SignalChange::Leaving)
    }
}

/// Sets a flag; returns whether it was not set before.
fn once(flag: &mut bool) -> bool {
    !std::mem::replace(flag, true)
}
