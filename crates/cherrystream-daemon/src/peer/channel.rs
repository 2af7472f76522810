//! State of one connection to a peer, shared by its calls and its monitor.

use cherrystream_net::activity::Activity;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::{Notify, watch};

/// A connection to a peer.
pub(super) struct Channel {
    pub(super) activity: Arc<Activity>,
    /// Number of calls without a complete response.
    calls: AtomicUsize,
    called: Notify,
    replaced: watch::Sender<bool>,
}

impl Channel {
    pub(super) fn new(activity: Arc<Activity>) -> Arc<Channel> {
        let (calls, called) = (AtomicUsize::new(0), Notify::new());
        Arc::new(Channel { activity, calls, called, replaced: watch::Sender::new(false) })
    }

    /// Counts a call until the guard is dropped.
    pub(super) fn begin_call(self: &Arc<Self>) -> CallGuard {
        if self.calls.fetch_add(1, Ordering::Relaxed) == 0 {
            self.called.notify_one();
        }
        CallGuard { channel: self.clone() }
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

/// A call without a complete response.
pub(super) struct CallGuard {
    channel: Arc<Channel>,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.channel.calls.fetch_sub(1, Ordering::Relaxed);
    }
}
