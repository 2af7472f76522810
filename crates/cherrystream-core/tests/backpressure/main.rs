//! What a backend server states about itself: a rate limit, and that it is leaving.

mod leaving;
mod limiter;
mod signals;
