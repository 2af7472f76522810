//! Counters of a stand-in backend server.

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Counts of a stand-in backend server since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests started.
    pub runs: u64,
    /// Requests finished.
    pub finished: u64,
    /// Requests cancelled by their caller.
    pub cancelled: u64,
    /// Requests to the health and load endpoints.
    pub measured: u64,
    /// Most such requests within any second.
    pub measured_peak: u64,
    /// Requests refused because all slots were taken.
    pub shed: u64,
    /// Most requests in flight.
    pub in_flight_peak: u64,
}

/// Live counters of a stand-in backend server.
#[derive(Default)]
pub(crate) struct Counters {
    pub(crate) runs: AtomicU64,
    pub(crate) finished: AtomicU64,
    pub(crate) cancelled: AtomicU64,
    measured: Mutex<Vec<Instant>>,
    pub(crate) shed: AtomicU64,
    pub(crate) in_flight: AtomicU64,
    pub(crate) in_flight_peak: AtomicU64,
}

impl Counters {
    /// Records a request to the health or load endpoint.
    pub(crate) fn record_measured(&self) {
        self.measured.lock().push(Instant::now());
    }

    /// Returns the current counts.
    pub(crate) fn counts(&self) -> Counts {
        let measured = self.measured.lock();
        Counts {
            runs: self.runs.load(Ordering::Relaxed),
            finished: self.finished.load(Ordering::Relaxed),
            cancelled: self.cancelled.load(Ordering::Relaxed),
            measured: measured.len() as u64,
            measured_peak: peak_in_a_second(&measured),
            shed: self.shed.load(Ordering::Relaxed),
            in_flight_peak: self.in_flight_peak.load(Ordering::Relaxed),
        }
    }
}

/// Guard of a request in flight. Dropping it before [`InFlight::finish`] counts as a cancellation.
pub(crate) struct InFlight<'a> {
    counters: &'a Counters,
    is_finished: bool,
}

impl InFlight<'_> {
    pub(crate) fn start(counters: &Counters) -> InFlight<'_> {
        let now = counters.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        counters.in_flight_peak.fetch_max(now, Ordering::Relaxed);
        InFlight { counters, is_finished: false }
    }

    /// Records that the request was answered.
    pub(crate) fn finish(&mut self) {
        self.is_finished = true;
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.counters.in_flight.fetch_sub(1, Ordering::Relaxed);
        if !self.is_finished {
            self.counters.cancelled.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn peak_in_a_second(at: &[Instant]) -> u64 {
    let second = Duration::from_secs(1);
    let within = |i: usize| at[i..].iter().take_while(|t| t.duration_since(at[i]) < second).count();
    (0..at.len()).map(within).max().unwrap_or(0) as u64
}
