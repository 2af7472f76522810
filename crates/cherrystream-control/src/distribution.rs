//! Updates of the shared state for daemons: short updates are sent inline, long ones are offered
//! for fetching.

use crate::daemon_registry::DaemonRegistry;
use cherrystream_core::distribution::{
    EncodedUpdate, FetchScheduler, FetchSource, MAX_INLINE_WEIGHT, Requester, UpdateCache,
};
use cherrystream_core::state::{ControlState, UpdateKind};
use cherrystream_core::units::{DisplayRevision, Revision, Timestamp};
use cherrystream_net::chunks;
use cherrystream_schema::messages::{
    Chunk, ChunkReply, ChunkRequest, Fetching, Offer, StateId, SyncRequest, Update,
};
use parking_lot::{Mutex, RwLock};

/// Capacity of the cache of encoded updates: some twenty whole states of the size to design for.
const CACHE_BYTES: u64 = 4 << 20;
/// Size of the chunk that is sent with an offer.
const FIRST_CHUNK_BYTES: usize = 4 * 1024;

/// Update that a daemon receives in response to its heartbeat.
#[derive(Debug)]
pub enum PendingUpdate {
    /// The daemon is up to date, or is already fetching the update.
    Nothing,
    /// A short update, sent inline.
    Short(Box<Update>),
    /// An offer of a long update to fetch.
    Long(Offer),
    /// The daemon must wait while another one nearby fetches the update.
    Later,
}

/// Caches encoded updates and schedules which daemons fetch them from this replica.
pub struct Distribution {
    failure_domain: String,
    cache: Mutex<UpdateCache>,
    scheduler: Mutex<FetchScheduler>,
}

impl Distribution {
    /// Creates the distribution of a replica in `failure_domain`.
    pub fn new(failure_domain: &str) -> Distribution {
        Distribution {
            failure_domain: failure_domain.into(),
            cache: Mutex::new(UpdateCache::new(CACHE_BYTES)),
            scheduler: Mutex::default(),
        }
    }

    /// Returns the update for a daemon.
    pub fn pending_update(
        &self,
        now: Timestamp,
        state: &RwLock<ControlState>,
        req: &SyncRequest,
        reach: &DaemonRegistry,
    ) -> PendingUpdate {
        let requester = self.requester(&req.record.host, &req.record.failure_domain);
        let kind = state.read().update_kind_since(req.held);
        match kind {
            UpdateKind::Nothing => {
                self.scheduler.lock().on_done(requester);
                return PendingUpdate::Nothing;
            }
            UpdateKind::Changes { weight } if weight <= MAX_INLINE_WEIGHT => {
                self.scheduler.lock().on_done(requester);
                return PendingUpdate::Short(Box::new(state.read().update_since(req.held)));
            }
            UpdateKind::Changes { .. } | UpdateKind::Whole { .. } => {}
        }
        if req.looks_in && !requester.near {
            return PendingUpdate::Nothing;
        }
        if let Some(fetching) = &req.fetching {
            self.scheduler.lock().on_fetching(now, requester, fetching.id);
            if self.should_continue(state, fetching) {
                return PendingUpdate::Nothing;
            }
        }
        let encoded = self.encoded(state, req.held, kind);
        let id = encoded.id();
        if req.fetching.as_ref().is_some_and(|f| self.is_available(f) && !supersedes(&id, f)) {
            return PendingUpdate::Nothing;
        }
        let is_there = |host: &str| reach.is_available(now, host, id.to);
        match self.scheduler.lock().source(now, requester, id, is_there) {
            FetchSource::Replica => {
                let first = encoded.chunk(0, FIRST_CHUNK_BYTES).map(|data| chunks::encode(0, data));
                PendingUpdate::Long(Offer { id, first, peers: Vec::new() })
            }
            FetchSource::Peers(hosts) => {
                let peers = hosts.iter().filter_map(|host| reach.peer_address(host)).collect();
                PendingUpdate::Long(Offer { id, first: None, peers })
            }
            FetchSource::Later => PendingUpdate::Later,
        }
    }

    /// Returns whether a daemon should continue its fetch: the update is still available, and
    /// little has changed since. Never holds the lock of the state together with that of the cache:
    /// `encoded` locks the cache first.
    fn should_continue(&self, state: &RwLock<ControlState>, fetching: &Fetching) -> bool {
        self.is_available(fetching) && is_light(state.read().update_kind_since(fetching.id.to))
    }

    /// Returns whether the update that a daemon is fetching is still available, here or from a
    /// peer.
    fn is_available(&self, fetching: &Fetching) -> bool {
        !fetching.by_control || self.cache.lock().holds(&fetching.id)
    }

    /// Returns the encoded update for a daemon. Locks the cache while encoding, so that each update
    /// is encoded once.
    fn encoded(
        &self,
        state: &RwLock<ControlState>,
        held: Revision,
        kind: UpdateKind,
    ) -> EncodedUpdate {
        let mut cache = self.cache.lock();
        let from = match kind {
            UpdateKind::Whole { .. } => Revision::default(),
            UpdateKind::Nothing | UpdateKind::Changes { .. } => held,
        };
        // Reuses a cached update that is nearly current: the changes since then are short.
        let cached = cache.furthest(from).filter(|cached| {
            cached.id().to > held && is_light(state.read().update_kind_since(cached.id().to))
        });
        if let Some(cached) = cached {
            return cached.clone();
        }
        let update = state.read().update_since(held);
        let encoded = EncodedUpdate::new(held, &update);
        let StateId { from, to, bytes, .. } = encoded.id();
        log::info!(
            "control: encoded {} to {} in {bytes} bytes",
            DisplayRevision(from),
            DisplayRevision(to)
        );
        cache.add(encoded.clone());
        encoded
    }

    /// Returns the chunk that a daemon requests, if the update is still cached.
    pub fn chunk(&self, now: Timestamp, req: &ChunkRequest) -> ChunkReply {
        let mut cache = self.cache.lock();
        let update = cache.get(&req.id);
        let data = update.and_then(|update| update.chunk(req.offset, chunks::wanted(req.bytes)));
        let chunk: Option<Chunk> = data.map(|data| chunks::encode(req.offset, data));
        let sent = req.offset + data.map_or(0, |data| data.len() as u64);
        let requester = self.requester(&req.host, &req.failure_domain);
        let rest = req.id.bytes.saturating_sub(sent);
        self.scheduler.lock().on_chunk(now, requester, req.id, rest);
        ChunkReply { chunk }
    }

    fn requester<'a>(&self, host: &'a str, failure_domain: &'a str) -> Requester<'a> {
        Requester { host, failure_domain, near: failure_domain == self.failure_domain }
    }
}

fn is_light(kind: UpdateKind) -> bool {
    match kind {
        UpdateKind::Nothing => true,
        UpdateKind::Changes { weight } => weight <= MAX_INLINE_WEIGHT,
        UpdateKind::Whole { .. } => false,
    }
}

/// Returns whether a newer update is at most as long as the rest of the one being fetched.
fn supersedes(newer: &StateId, fetching: &Fetching) -> bool {
    let left = fetching.id.bytes.saturating_sub(fetching.received);
    newer.to > fetching.id.to && newer.bytes <= left
}
