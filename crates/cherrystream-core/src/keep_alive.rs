//! Decides when a connection that has gone silent is replaced.
//!
//! An open connection may stop to carry bytes, in one direction or both, without a reset. Its owner
//! sends pings, and a connection on which nothing arrives is replaced once a new one is open. A
//! peer that is merely slow or suspended does not complete a new connection either, so its
//! connection is kept.

use crate::units::Timestamp;
use std::time::Duration;

/// Settings of a [`KeepAlive`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time without a received byte after which a connection is silent. Covers at least two pings.
    pub timeout: Duration,
    /// Lowest throughput in bytes per second that is allowed for: pings wait behind bytes that
    /// were written before them.
    pub min_throughput: f64,
    /// Maximum time by which written bytes extend the timeout.
    pub max_extension: Duration,
    /// Time between two attempts to replace a silent connection.
    pub retry_interval: Duration,
}

/// Traffic on a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// When the last byte was received, or the connection was opened.
    pub last_received: Timestamp,
    /// Bytes written since then.
    pub written_since: u64,
}

/// State of the detection for one connection.
#[derive(Clone, Copy, Debug)]
pub struct KeepAlive {
    opts: Options,
    /// Last failed attempt to replace the connection.
    last_attempt: Option<Timestamp>,
}

impl KeepAlive {
    /// Creates the state of a connection that was just opened.
    pub fn new(opts: Options) -> KeepAlive {
        KeepAlive { opts, last_attempt: None }
    }

    /// Returns when the connection is silent unless a byte arrives before.
    pub fn silent_at(&self, traffic: Traffic) -> Timestamp {
        let extension = traffic.written_since as f64 / self.opts.min_throughput;
        let extension = extension.min(self.opts.max_extension.as_secs_f64());
        traffic.last_received + self.opts.timeout + Duration::from_secs_f64(extension)
    }

    /// Returns whether the connection is silent.
    pub fn is_silent(&self, now: Timestamp, traffic: Traffic) -> bool {
        now >= self.silent_at(traffic)
    }

    /// Returns when the next attempt to replace the connection is due, unless a byte arrives
    /// before.
    pub fn replace_at(&self, traffic: Traffic) -> Timestamp {
        let silent_at = self.silent_at(traffic);
        self.last_attempt.map_or(silent_at, |at| silent_at.max(at + self.opts.retry_interval))
    }

    /// Returns whether to attempt to open a connection in place of this one.
    pub fn should_replace(&self, now: Timestamp, traffic: Traffic) -> bool {
        now >= self.replace_at(traffic)
    }

    /// Returns whether the peer is unreachable: the connection is silent, and a new one could not
    /// be opened since.
    pub fn is_unreachable(&self, now: Timestamp, traffic: Traffic) -> bool {
        self.is_silent(now, traffic)
            && self.last_attempt.is_some_and(|at| at >= traffic.last_received)
    }

    /// Records that no connection could be opened in place of this one.
    pub fn on_attempt_failed(&mut self, now: Timestamp) {
        self.last_attempt = Some(now);
    }
}
