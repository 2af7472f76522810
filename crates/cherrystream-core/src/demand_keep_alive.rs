//! Keep-alive of a connection that is observed only while calls need it. For connections with
//! continuous pings, see [`crate::keep_alive`].
//!
//! The observation starts with a call and lasts until the connection has shown that it works, so
//! that calls that are cancelled before their answer do not end it. An idle connection costs
//! nothing.

use crate::keep_alive;
use crate::units::Timestamp;
use std::time::Duration;

/// Settings of a [`DemandKeepAlive`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time without a received byte after which a connection is silent.
    pub timeout: Duration,
    /// Maximum time by which written bytes extend the timeout.
    pub max_extension: Duration,
    /// Time between two attempts to replace a silent connection.
    pub retry_interval: Duration,
    /// Time without a received byte after which a probe is sent.
    pub probe_after: Duration,
    /// Time for which a silent connection stays open for the calls that wait on it.
    pub close_after: Duration,
    /// Delay of a step from which on the process is considered to have been suspended.
    pub max_delay: Duration,
}

/// Progress of the traffic on a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// When the last byte was received, or the connection was opened.
    pub last_received: Timestamp,
    /// Bytes written since then that the peer may not have received.
    pub written_since: u64,
}

/// Next step of the owner of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing is awaited: wait for the next call.
    Idle,
    /// Call again at this time.
    Wait(Timestamp),
    /// Send a probe that the peer answers at once.
    Probe,
    /// Open a connection in place of this one.
    Replace,
    /// Close the connection.
    Close,
}

/// State of the detection for one connection.
#[derive(Clone, Debug)]
pub struct DemandKeepAlive {
    opts: Options,
    /// Last failed attempt to replace the connection.
    last_attempt: Option<Timestamp>,
    /// When the connection was first needed without having received a byte since.
    waiting_since: Option<Timestamp>,
    /// Time from which silence is measured.
    base: Timestamp,
    /// Bytes written between `base` and the probe.
    written_before_probe: Option<u64>,
    is_replaced: bool,
    /// Last step that came too late.
    resumed_at: Option<Timestamp>,
    next_step_at: Option<Timestamp>,
}

impl DemandKeepAlive {
    /// Creates the state of a connection that was just opened.
    pub fn new(opts: Options) -> DemandKeepAlive {
        DemandKeepAlive {
            opts,
            last_attempt: None,
            waiting_since: None,
            base: Timestamp::default(),
            written_before_probe: None,
            is_replaced: false,
            resumed_at: None,
            next_step_at: None,
        }
    }

    /// Returns the next step; `has_calls` states whether calls wait on the connection.
    pub fn next(&mut self, now: Timestamp, traffic: Progress, has_calls: bool) -> Step {
        let step = self.step(now, traffic, has_calls);
        self.next_step_at = match step {
            Step::Wait(at) => Some(at),
            // Opening a connection takes time, and an idle one has no next step.
            Step::Idle | Step::Replace | Step::Close => None,
            Step::Probe => Some(now),
        };
        step
    }

    /// Records that no connection could be opened in place of this one.
    pub fn on_attempt_failed(&mut self, now: Timestamp) {
        self.last_attempt = Some(now);
    }

    /// Records that new calls use another connection.
    pub fn on_replaced(&mut self) {
        self.is_replaced = true;
    }

    fn step(&mut self, now: Timestamp, traffic: Progress, has_calls: bool) -> Step {
        let has_answered = self.waiting_since.is_some_and(|since| traffic.last_received > since);
        if has_answered || self.waiting_since.is_none() {
            if !has_calls {
                self.waiting_since = None;
                return Step::Idle;
            }
            // A call that began with the last byte waits for the next one. The time in which no
            // call waited does not count.
            self.waiting_since = Some(if has_answered { traffic.last_received } else { now });
        }
        // Bytes that arrived during a suspension of this process are read only now.
        let was_suspended = self.next_step_at.is_some_and(|at| now > at + self.opts.max_delay);
        // Only once until a byte arrives, so that an overloaded process detects silence too.
        if was_suspended && self.resumed_at.is_none_or(|at| traffic.last_received > at) {
            self.resumed_at = Some(now);
            self.waiting_since = Some(now);
        }
        let waiting_since = *self.waiting_since.get_or_insert(now);
        self.set_base(traffic.last_received.max(waiting_since));
        let probe_at = self.base + self.opts.probe_after;
        if now >= probe_at && self.written_before_probe.is_none() {
            self.written_before_probe = Some(traffic.written_since);
            return Step::Probe;
        }
        let written_since = self.written_before_probe.unwrap_or(traffic.written_since);
        let silent_at = self.silent_at(written_since);
        let close_at = silent_at + self.opts.close_after;
        if now >= close_at {
            return Step::Close;
        }
        let mut next = close_at;
        if !self.is_replaced {
            let retry_at = self.last_attempt.map(|at| at + self.opts.retry_interval);
            let replace_at = retry_at.map_or(silent_at, |at| at.max(silent_at));
            if now >= replace_at {
                return Step::Replace;
            }
            next = next.min(replace_at);
        }
        if self.written_before_probe.is_none() {
            next = next.min(probe_at);
        }
        Step::Wait(next)
    }

    /// Returns when the connection is silent unless a byte arrives before.
    fn silent_at(&self, written: u64) -> Timestamp {
        let transfer = Duration::from_secs_f64(written as f64 / keep_alive::MIN_THROUGHPUT);
        self.base + self.opts.timeout + transfer.min(self.opts.max_extension)
    }

    fn set_base(&mut self, base: Timestamp) {
        if base != self.base {
            self.base = base;
            self.written_before_probe = None;
        }
    }
}
