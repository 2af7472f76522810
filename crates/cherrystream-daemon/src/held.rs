//! The shared state that this daemon holds. It never goes back to an earlier revision.

use cherrystream_core::rollout::guard::CanaryLease;
use cherrystream_core::shared;
use cherrystream_core::units::{Revision, Timestamp};
use cherrystream_schema::messages::{Change, RouteTable, Shared, Update};
use parking_lot::{Mutex, RwLock};
use std::sync::Arc;
use tokio::sync::watch;

/// A revision of the shared state.
#[derive(Clone, Debug)]
pub struct Held {
    /// Its revision; zero before the first.
    pub revision: Revision,
    /// The state but for its route table.
    pub shared: Arc<Shared>,
    /// The route table. It may be long, and most revisions leave it as it is, so it is shared by them.
    pub routes: Option<Arc<RouteTable>>,
}

impl Held {
    /// Returns the whole state.
    pub fn whole(&self) -> Shared {
        Shared { routes: self.routes.as_deref().cloned(), ..(*self.shared).clone() }
    }

    /// Takes a whole state in place of the one held.
    fn replace(&mut self, mut whole: Shared) {
        self.routes = whole.routes.take().map(Arc::new);
        self.shared = Arc::new(whole);
    }

    fn apply(&mut self, change: &Change) {
        match change {
            Change::PatchRoutes { .. } => {
                let mut table = self.routes.take().map(Arc::unwrap_or_clone);
                shared::patch_routes(&mut table, change);
                self.routes = table.map(Arc::new);
            }
            _ => shared::apply(Arc::make_mut(&mut self.shared), change),
        }
    }
}

/// The revision held now.
#[derive(Debug)]
pub struct HeldCell {
    now: RwLock<Held>,
    tx: watch::Sender<Revision>,
    /// Until when the word of control holds. Taken with no other lock.
    word: Mutex<CanaryLease>,
}

impl Default for HeldCell {
    fn default() -> Self {
        let revision = Revision::default();
        let held = Held { revision, shared: Arc::new(shared::empty()), routes: None };
        HeldCell {
            now: RwLock::new(held),
            tx: watch::Sender::new(revision),
            word: Mutex::default(),
        }
    }
}

impl HeldCell {
    /// Returns the revision held now with its state.
    pub fn get(&self) -> Held {
        self.now.read().clone()
    }

    /// Returns the revision held now.
    pub fn revision(&self) -> Revision {
        self.now.read().revision
    }

    /// Watches the revision held.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.tx.subscribe()
    }

    /// Takes a word of control that what is held here is the newest, as far as that matters for a trial, until a time.
    pub fn hear_word(&self, until: Timestamp) {
        self.word.lock().extend(until);
    }

    /// Returns whether control vouches for what is held.
    pub fn is_vouched_for(&self, now: Timestamp) -> bool {
        self.word.lock().is_valid(now)
    }

    /// Takes an update; returns whether it was newer than what was held.
    pub fn take(&self, update: Update) -> bool {
        let mut now = self.now.write();
        if update.revision <= now.revision {
            return false;
        }
        match update.full {
            Some(whole) => now.replace(whole),
            None => {
                let held = now.revision;
                let newer = update.changes.iter().filter(|c| c.revision > held);
                newer.for_each(|numbered| now.apply(&numbered.change));
            }
        }
        now.revision = update.revision;
        let revision = now.revision;
        drop(now);
        self.tx.send_replace(revision);
        true
    }
}
