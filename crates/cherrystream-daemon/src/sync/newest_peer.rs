//! NewestPeer revisions that peers report in their responses.

use cherrystream_core::units::Revision;
use parking_lot::Mutex;
use tokio::sync::Notify;

/// A peer that reported a newer revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRevision {
    /// Address of the peer.
    pub address: String,
    /// Revision that it has.
    pub revision: Revision,
    /// Whether it is in the failure domain of this host.
    pub near: bool,
}

impl PeerRevision {
    /// Orders by revision, then prefers peers nearby.
    fn rank(&self) -> (Revision, bool) {
        (self.revision, self.near)
    }
}

/// The peer that reported the newest revision.
#[derive(Default)]
pub struct NewestPeer {
    seen: Mutex<Option<PeerRevision>>,
    notify: Notify,
}

impl NewestPeer {
    /// Records that a peer has a newer revision than this daemon.
    pub fn record(&self, peer: PeerRevision) {
        let mut seen = self.seen.lock();
        if seen.as_ref().is_none_or(|known| known.rank() < peer.rank()) {
            *seen = Some(peer);
            self.notify.notify_one();
        }
    }

    /// Waits until a peer is recorded.
    pub async fn wait(&self) {
        while self.seen.lock().is_none() {
            self.notify.notified().await;
        }
    }

    /// Returns the best recorded peer and removes it.
    pub fn take(&self) -> Option<PeerRevision> {
        self.seen.lock().take()
    }
}
