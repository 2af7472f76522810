//! Decides when a connection that has gone silent is replaced.
//!
//! An open connection may stop to carry bytes, in one direction or both, without a reset. Its owner
//! sends pings, and a connection on which written bytes stay unanswered is replaced once a new one
//! is open. A peer that is merely slow or suspended does not complete a new connection either, so
//! its connection is kept. For connections that are observed only during calls, see
//! [`crate::demand_keep_alive`].

use crate::units::Timestamp;
use std::time::Duration;

/// Lowest throughput in bytes per second that is allowed for: pings wait behind bytes that were
/// written before them.
pub const MIN_THROUGHPUT: f64 = 50_000.0;

/// Settings of a [`KeepAlive`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time between two pings. On a connection that carries nothing else, the timeout begins with
    /// the next ping.
    pub ping_interval: Duration,
    /// Time after which a connection with unanswered bytes is silent. Must cover a ping and its
    /// answer if calls may take longer than this.
    pub timeout: Duration,
    /// Maximum time by which written bytes extend the timeout.
    pub max_extension: Duration,
    /// Time between two attempts to replace a silent connection.
    pub retry_interval: Duration,
}

/// Traffic on a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    last_received: Timestamp,
    /// Since when written bytes are unanswered.
    unanswered_since: Option<Timestamp>,
    /// Transfer time, at the lowest throughput, of the bytes that an answer may wait for.
    transfer: Duration,
    /// When the bytes written so far are transferred at the lowest throughput.
    transferred_at: Timestamp,
    /// Whether bytes wait because the connection does not accept them.
    is_blocked: bool,
}

impl Traffic {
    /// Creates the traffic of a connection that is opened at `now`.
    pub fn new(now: Timestamp) -> Traffic {
        Traffic { last_received: now, transferred_at: now, ..Traffic::default() }
    }

    /// Returns when the last byte was received, or the connection was opened.
    pub fn last_received(&self) -> Timestamp {
        self.last_received
    }

    /// Records that bytes were received. They may answer all that was written.
    pub fn on_received(&mut self, now: Timestamp) {
        self.last_received = now;
        self.transfer = self.transferred_at.since(now);
        self.unanswered_since = self.is_blocked.then_some(now);
    }

    /// Records that bytes were written.
    pub fn on_written(&mut self, now: Timestamp, bytes: usize) {
        let transfer = Duration::from_secs_f64(bytes as f64 / MIN_THROUGHPUT);
        self.transferred_at = self.transferred_at.max(now) + transfer;
        self.is_blocked = false;
        self.transfer = match self.unanswered_since {
            Some(_) => self.transfer + transfer,
            None => self.transferred_at.since(now),
        };
        self.unanswered_since.get_or_insert(now);
    }

    /// Records that the connection does not accept bytes.
    pub fn on_blocked(&mut self, now: Timestamp) {
        self.is_blocked = true;
        self.unanswered_since.get_or_insert(now);
    }
}

/// What the owner of a connection does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Checks again at this time.
    Check(Timestamp),
    /// Opens a connection in place of this one.
    Replace,
}

/// State of the detection for one connection.
#[derive(Clone, Copy, Debug)]
pub struct KeepAlive {
    opts: Options,
    /// When the next check is due.
    due: Timestamp,
    /// Last check that came too late: this process was suspended and may not have read what had
    /// arrived.
    resumed_at: Option<Timestamp>,
    /// Last failed attempt to replace the connection.
    last_attempt: Option<Timestamp>,
}

impl KeepAlive {
    /// Creates the state of a connection that was opened at `now`.
    pub fn new(now: Timestamp, opts: Options) -> KeepAlive {
        KeepAlive { opts, due: now, resumed_at: None, last_attempt: None }
    }

    /// Returns what to do at `now`.
    pub fn check(&mut self, now: Timestamp, traffic: &Traffic) -> Action {
        self.note_suspension(now, traffic);
        let replace_at = self.silent_at(traffic).map(|silent_at| {
            let retry_at = self.last_attempt.map(|at| at + self.opts.retry_interval);
            retry_at.map_or(silent_at, |retry_at| retry_at.max(silent_at))
        });
        // Bytes written from now on are not overdue any earlier.
        let replace_at = replace_at.unwrap_or(now + self.opts.timeout);
        self.due = replace_at.max(now);
        if now < replace_at { Action::Check(replace_at) } else { Action::Replace }
    }

    /// Returns whether the connection is silent.
    pub fn is_silent(&self, now: Timestamp, traffic: &Traffic) -> bool {
        self.silent_at(traffic).is_some_and(|at| now >= at)
    }

    /// Returns whether the peer is unreachable: the connection is silent, and a new one could not
    /// be opened since.
    pub fn is_unreachable(&self, now: Timestamp, traffic: &Traffic) -> bool {
        self.is_silent(now, traffic)
            && self.last_attempt.is_some_and(|at| at >= traffic.last_received)
    }

    /// Records that no connection could be opened in place of this one.
    pub fn on_attempt_failed(&mut self, now: Timestamp) {
        self.last_attempt = Some(now);
        self.due = now;
    }

    /// Returns when the connection is silent unless a byte arrives before.
    fn silent_at(&self, traffic: &Traffic) -> Option<Timestamp> {
        let since = traffic.unanswered_since?;
        let since = since + traffic.transfer.min(self.opts.max_extension);
        let since = self.resumed_at.map_or(since, |resumed_at| resumed_at.max(since));
        Some(since + self.opts.timeout)
    }

    /// Starts the timeout again after a suspension of this process. Only once until a byte arrives,
    /// so that an overloaded process, whose checks are always late, detects silence too.
    fn note_suspension(&mut self, now: Timestamp, traffic: &Traffic) {
        let is_late = now.since(self.due) > self.opts.timeout / 2;
        if is_late && self.resumed_at.is_none_or(|at| traffic.last_received > at) {
            self.resumed_at = Some(now);
        }
    }
}
