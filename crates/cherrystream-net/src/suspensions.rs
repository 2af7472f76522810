//! Watches for suspensions of this process.

use crate::clock::Clock;
use cherrystream_core::suspension::{CHECK_INTERVAL, SuspensionDetector};
use cherrystream_core::units::Timestamp;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Suspensions of this process.
#[derive(Clone, Debug)]
pub struct Suspensions {
    clock: Clock,
    detector: Arc<Mutex<SuspensionDetector>>,
    /// The checking task, aborted when the last clone is dropped.
    _task: Arc<JoinSet<()>>,
}

impl Suspensions {
    /// Starts to watch.
    pub fn watch() -> Suspensions {
        let clock = Clock::default();
        let detector = Arc::new(Mutex::new(SuspensionDetector::new(clock.now())));
        let mut task = JoinSet::new();
        task.spawn(check_regularly(clock, detector.clone()));
        Suspensions { clock, detector, _task: Arc::new(task) }
    }

    /// Records that something was read from a connection.
    pub fn receive(&self) -> Receipt {
        Receipt { suspensions: self.clone(), read_at: self.clock.now() }
    }
}

async fn check_regularly(clock: Clock, detector: Arc<Mutex<SuspensionDetector>>) {
    loop {
        detector.lock().check(clock.now());
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Receipt of something that was read from a connection.
#[derive(Clone, Debug)]
pub struct Receipt {
    suspensions: Suspensions,
    read_at: Timestamp,
}

impl Receipt {
    /// Returns whether it may be far older than its receipt, or this process was suspended since.
    pub fn may_be_old(&self) -> bool {
        let now = self.suspensions.clock.now();
        self.suspensions.detector.lock().affects(now, self.read_at)
    }

    /// Returns the time since the receipt.
    pub fn age(&self) -> Duration {
        self.suspensions.clock.now().since(self.read_at)
    }
}
