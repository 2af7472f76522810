//! Backpressure: what a backend server states about itself in its answers, a rate limit and that it
//! is leaving.

mod signals;
mod tracker;

pub use signals::{RateLimit, Signals, Stated};
pub use tracker::{SignalChange, SignalTracker};
