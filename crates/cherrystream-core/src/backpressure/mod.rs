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

use std::time::Duration;

/// Time for which a backend server that does not register itself is considered leaving: another run,
/// which looks the same, may have replaced it.
pub const UNREGISTERED_LEAVING_TTL: Duration = Duration::from_secs(60);
