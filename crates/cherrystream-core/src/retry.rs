//! Retries: a budget for each service at each outbound, and an allowance carried by each call.

use crate::reasons::{Outcome, Reason};
use rand::Rng;
use std::time::Duration;

/// Largest number of unused retries that a budget accumulates.
const MAX_BALANCE: f64 = 20.0;
/// Shortest delay after which callers are asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Largest number of attempts of one call at one outbound, including the first.
pub const MAX_ATTEMPTS: u32 = 4;
/// Retries that a call may cause in total, over all layers, if it carries no allowance.
pub const ALLOWANCE: u32 = 1;

/// Token bucket that limits retries to a share of calls.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    balance: f64,
    max_balance: f64,
}

impl RetryBudget {
    /// Creates a full budget that gains `share` retries with each call.
    pub fn new(share: f64) -> RetryBudget {
        let balance = MAX_BALANCE.min(share * 1_000.0);
        RetryBudget { share, balance, max_balance: MAX_BALANCE }
    }

    /// Adds the share of one call.
    pub fn on_call(&mut self) {
        self.balance = (self.balance + self.share).min(self.max_balance);
    }

    /// Sets the largest balance, which is the part of this outbound in that of all outbounds.
    pub fn bound(&mut self, max_balance: f64) {
        self.max_balance = max_balance.min(MAX_BALANCE);
        self.balance = self.balance.min(self.max_balance);
    }

    /// Spends one retry, if the balance allows it.
    pub fn try_spend(&mut self) -> bool {
        let can = self.balance >= 1.0;
        if can {
            self.balance -= 1.0;
        }
        can
    }
}

/// Retries that a call may still cause at this outbound and the layers below it.
///
/// A layer that retries subtracts the retry from the allowance that it forwards, so that retries
/// of several layers do not multiply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    left: u32,
    /// Whether it was used after a silence. Further silences are then retried too, at this layer
    /// only: connections to several hosts may go silent together.
    is_used_for_silence: bool,
}

impl Allowance {
    /// Creates an allowance from the value that a call carries, if any.
    pub fn new(carried: Option<u32>) -> Allowance {
        let left = carried.unwrap_or(ALLOWANCE).min(ALLOWANCE);
        Allowance { left, is_used_for_silence: false }
    }

    /// Spends one retry, if any is left.
    pub fn take(&mut self) -> bool {
        let can = self.left > 0;
        self.left -= u32::from(can);
        can
    }

    /// Spends one retry after a silence, unless one was spent so before. Returns whether the call
    /// may be retried.
    pub fn take_for_silence(&mut self) -> bool {
        self.is_used_for_silence = self.is_used_for_silence || self.take();
        self.is_used_for_silence
    }

    /// Returns whether the call may be retried after a silence.
    pub const fn covers_silence(self) -> bool {
        self.left > 0 || self.is_used_for_silence
    }

    /// Returns the number of retries left, which is forwarded with the call.
    pub const fn left(self) -> u32 {
        self.left
    }
}

/// Returns the delay after which a caller should retry: `base` plus a jitter of up to `base`, so
/// that callers refused at the same time do not retry at the same time.
pub fn retry_after(base: Duration, rng: &mut impl Rng) -> Duration {
    let base = base.max(MIN_RETRY_AFTER);
    base + base.mul_f64(rng.random::<f64>())
}

/// State of a call after a failed attempt, from which a retry is decided.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Reason for the failure.
    pub reason: Reason,
    /// Number of attempts made so far.
    pub attempts: u32,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the body can be sent again.
    pub replayable: bool,
    /// Number of backend servers that the request has reached.
    pub arrivals: u32,
    /// Largest number of backend servers that the request may reach.
    pub max_arrivals: u32,
    /// Number of retries granted so far that reach another backend server. One that was refused
    /// before has not been used.
    pub granted: u32,
}

/// Returns whether to make another attempt, and spends it from the budget and the allowance.
///
/// A request that was proved not run may be retried on another backend server whatever its kind.
/// One that may have run is retried only if it is repeatable and its allowance is not used up. The
/// budget limits requests that reach backend servers more than once, so retries after refusals by
/// an inbound do not count, nor does a retry in place of one that was granted and then refused.
pub fn decide(failed: FailedAttempt, budget: &mut RetryBudget, allowance: &mut Allowance) -> bool {
    let exhausted = failed.arrivals >= failed.max_arrivals;
    if !failed.replayable || failed.attempts >= MAX_ATTEMPTS || exhausted {
        return false;
    }
    match failed.reason.outcome() {
        Outcome::Answered => false,
        Outcome::NotRun => {
            let is_granted = failed.granted >= failed.arrivals;
            failed.reason.try_elsewhere() && (is_granted || budget.try_spend())
        }
        Outcome::Unknown => {
            let may = failed.repeatable && failed.reason != Reason::DeadlinePassed;
            match is_connection_silent(failed.reason) {
                true => may && allowance.take_for_silence(),
                false => may && allowance.left() > 0 && budget.try_spend() && allowance.take(),
            }
        }
    }
}

/// Returns whether a connection was lost although its other end serves requests. All requests on it
/// fail at once, more than the budget covers, and say nothing about the load.
pub const fn is_connection_silent(reason: Reason) -> bool {
    matches!(reason, Reason::PeerSilent | Reason::BackendServerSilent)
}

/// Returns whether the second of two failed attempts determines the outcome of the request. A
/// request was not run only if neither attempt was.
pub fn second_decides(first: Reason, second: Reason) -> bool {
    first.outcome() == Outcome::NotRun && second.outcome() != Outcome::NotRun
}
