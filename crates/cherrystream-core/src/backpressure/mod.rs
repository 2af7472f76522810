//! Backpressure: what a backend server states about itself in its answers, a rate limit and that it
//! is leaving.

mod known;
mod limiter;
mod signals;
mod tracker;

pub use known::{InstanceKey, KnownSignals, SignalHint, SignalReport};
pub use limiter::RateLimiter;
pub use signals::{RateLimit, Signals, Stated};
pub use tracker::{SignalChange, SignalTracker};
