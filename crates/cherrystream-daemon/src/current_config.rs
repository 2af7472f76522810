//! The current configuration: the newest revision of the shared state held by this daemon. The
//! revision never decreases.

use cherrystream_core::rollout::guard::CanaryLease;
use cherrystream_core::shared;
use cherrystream_core::units::{Revision, Timestamp};
use cherrystream_schema::messages::{Change, RouteTable, Shared, Update};
use parking_lot::{Mutex, RwLock};
use std::sync::Arc;
use tokio::sync::watch;

/// A snapshot of the shared state.
#[derive(Clone, Debug)]
pub struct CurrentConfig {
    /// Revision of the snapshot; zero before the first update.
    pub revision: Revision,
    /// The state without its route table.
    pub shared: Arc<Shared>,
    /// The route table. Snapshots share it, as it may be long and rarely changes.
    pub routes: Option<Arc<RouteTable>>,
}

impl CurrentConfig {
    /// Returns the complete state, route table included.
    pub fn to_shared(&self) -> Shared {
        Shared { routes: self.routes.as_deref().cloned(), ..(*self.shared).clone() }
    }

    /// Replaces the state by a complete one.
    fn replace(&mut self, mut state: Shared) {
        self.routes = state.routes.take().map(Arc::new);
        self.shared = Arc::new(state);
    }

    fn apply_change(&mut self, change: &Change) {
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

/// Holds the current snapshot of the shared state.
#[derive(Debug)]
pub struct CurrentConfigCell {
    current: RwLock<CurrentConfig>,
    tx: watch::Sender<Revision>,
    /// Lease of control for canaries. Locked while no other lock is held.
    canary_lease: Mutex<CanaryLease>,
}

impl Default for CurrentConfigCell {
    fn default() -> Self {
        let revision = Revision::default();
        let initial = CurrentConfig { revision, shared: Arc::new(shared::empty()), routes: None };
        CurrentConfigCell {
            current: RwLock::new(initial),
            tx: watch::Sender::new(revision),
            canary_lease: Mutex::default(),
        }
    }
}

impl CurrentConfigCell {
    /// Returns the current snapshot.
    pub fn get(&self) -> CurrentConfig {
        self.current.read().clone()
    }

    /// Returns the current revision.
    pub fn revision(&self) -> Revision {
        self.current.read().revision
    }

    /// Subscribes to changes of the revision.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.tx.subscribe()
    }

    /// Extends the lease by which control confirms that this state is recent enough for canaries.
    pub fn extend_canary_lease(&self, until: Timestamp) {
        self.canary_lease.lock().extend(until);
    }

    /// Returns whether control's lease for canaries is valid.
    pub fn has_canary_lease(&self, now: Timestamp) -> bool {
        self.canary_lease.lock().is_valid(now)
    }

    /// Applies an update; returns whether it was newer than the current revision.
    pub fn apply(&self, update: Update) -> bool {
        let mut current = self.current.write();
        if update.revision <= current.revision {
            return false;
        }
        match update.full {
            Some(state) => current.replace(state),
            None => {
                let base = current.revision;
                let newer = update.changes.iter().filter(|c| c.revision > base);
                newer.for_each(|numbered| current.apply_change(&numbered.change));
            }
        }
        current.revision = update.revision;
        let revision = current.revision;
        drop(current);
        self.tx.send_replace(revision);
        true
    }
}
