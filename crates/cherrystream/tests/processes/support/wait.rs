//! Polls conditions: returns as soon as one holds, and panics when it does not hold in time.

use std::future::Future;
use std::time::{Duration, Instant};

/// Time limit for a condition, with a margin for busy machines.
pub const TIMEOUT: Duration = Duration::from_secs(40);
/// Interval between polls.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until `poll` returns a value.
pub async fn until<T, F: Future<Output = Option<T>>>(what: &str, mut poll: impl FnMut() -> F) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = poll().await {
            return value;
        }
        assert!(start.elapsed() < TIMEOUT, "not within {TIMEOUT:?}: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
