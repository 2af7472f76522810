//! State of one connection to a peer, shared by its calls and its monitor.

use super::traffic::Traffic;
use crate::metrics::PeerWaits;
use cherrystream_core::units::Timestamp;
use cherrystream_net::activity::Activity;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// Shortest wait of a call without a complete response that is recorded.
const LONG_WAIT: Duration = Duration::from_secs(1);

/// A connection to a peer.
pub(super) struct Channel {
    address: String,
    pub(super) traffic: Traffic,
    waits: PeerWaits,
    pub(super) activity: Arc<Activity>,
    /// Number of calls without a complete response.
    calls: AtomicUsize,
    called: Notify,
    replaced: watch::Sender<bool>,
}

impl Channel {
    pub(super) fn new(
        address: String,
        traffic: Traffic,
        waits: PeerWaits,
        activity: Arc<Activity>,
    ) -> Arc<Channel> {
        let (calls, called) = (AtomicUsize::new(0), Notify::new());
        let replaced = watch::Sender::new(false);
        Arc::new(Channel { address, traffic, waits, activity, calls, called, replaced })
    }

    /// Counts a call until the guard is dropped.
    pub(super) fn begin_call(self: &Arc<Self>) -> CallGuard {
        if self.calls.fetch_add(1, Ordering::Relaxed) == 0 {
            self.called.notify_one();
        }
        let began_at = self.activity.now();
        CallGuard { channel: self.clone(), began_at, step: Step::Head }
    }

    /// Records a call that ended after a long wait.
    fn record_wait(&self, waited: Duration, step: Step) {
        let Some(dropped) = self.waits.on_ended(self.activity.now(), step.as_str()) else { return };
        let progress = self.activity.progress();
        log::info!(
            "peer: call without a response: step={} peer={} traffic={} waited_ms={} connection_age={:?} \
             silent_for={:?} calls={} unanswered_bytes={} lines_dropped={dropped}",
            step.as_str(),
            self.address,
            self.traffic.as_str(),
            waited.as_millis(),
            self.activity.age(),
            self.activity.silence(),
            self.calls.load(Ordering::Relaxed),
            progress.written_since,
        );
    }

    pub(super) fn has_calls(&self) -> bool {
        self.calls.load(Ordering::Relaxed) > 0
    }

    /// Waits until a call begins while there is no other.
    pub(super) async fn called(&self) {
        self.called.notified().await;
    }

    /// Records that new calls use another connection, because this one is silent.
    pub(super) fn set_replaced(&self) {
        self.replaced.send_replace(true);
    }

    /// Returns a future that completes once the connection was silent and has been replaced.
    pub(super) fn replaced(&self) -> impl Future<Output = ()> + Send + Sync + use<> {
        let mut replaced = self.replaced.subscribe();
        async move {
            if replaced.wait_for(|replaced| *replaced).await.is_err() {
                // A connection that has ended cannot be replaced any more.
                std::future::pending().await
            }
        }
    }
}

/// What a call waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Head,
    Body,
    Complete,
}

impl Step {
    fn as_str(self) -> &'static str {
        match self {
            Step::Head => "head",
            Step::Body => "body",
            Step::Complete => "complete",
        }
    }
}

/// A call without a complete response.
pub(super) struct CallGuard {
    channel: Arc<Channel>,
    began_at: Timestamp,
    step: Step,
}

impl CallGuard {
    /// Records that the head of the response was received.
    pub(super) fn on_head(&mut self) {
        self.step = Step::Body;
    }

    /// Records that the call has ended with a response or an error.
    pub(super) fn on_complete(&mut self) {
        self.step = Step::Complete;
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let waited = self.channel.activity.now().since(self.began_at);
        if self.step != Step::Complete && waited >= LONG_WAIT {
            self.channel.record_wait(waited, self.step);
        }
        self.channel.calls.fetch_sub(1, Ordering::Relaxed);
    }
}
