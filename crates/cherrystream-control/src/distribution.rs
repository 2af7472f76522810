//! What a daemon lacks of the shared state: short updates at once, long ones as an offer to fetch them.

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

/// Encoded updates kept: some twenty whole states of the size to design for.
const LIBRARY_BYTES: u64 = 4 << 20;
/// Bytes of the chunk that comes with an offer.
const FIRST_CHUNK: usize = 4 * 1024;

/// What a daemon gets in answer to its heartbeat.
#[derive(Debug)]
pub enum Lacking {
    /// It lacks nothing, or is fetching what it lacks.
    Nothing,
    /// Few changes.
    Short(Box<Update>),
    /// An update to fetch.
    Long(Offer),
    /// An update that another daemon nearby is fetching.
    Later,
}

/// The encoded updates of this replica, and who fetches them.
pub struct Distribution {
    failure_domain: String,
    library: Mutex<UpdateCache>,
    scheduler: Mutex<FetchScheduler>,
}

impl Distribution {
    /// Creates the distribution of a replica in a failure domain.
    pub fn new(failure_domain: &str) -> Distribution {
        Distribution {
            failure_domain: failure_domain.into(),
            library: Mutex::new(UpdateCache::new(LIBRARY_BYTES)),
            scheduler: Mutex::default(),
        }
    }

    /// Returns what a daemon lacks.
    pub fn lacking(
        &self,
        now: Timestamp,
        state: &RwLock<ControlState>,
        req: &SyncRequest,
        reach: &DaemonRegistry,
    ) -> Lacking {
        let requester = self.requester(&req.record.host, &req.record.failure_domain);
        let step = state.read().update_kind_since(req.held);
        match step {
            UpdateKind::Nothing => {
                self.scheduler.lock().on_done(requester);
                return Lacking::Nothing;
            }
            UpdateKind::Changes { weight } if weight <= MAX_INLINE_WEIGHT => {
                self.scheduler.lock().on_done(requester);
                return Lacking::Short(Box::new(state.read().update_since(req.held)));
            }
            UpdateKind::Changes { .. } | UpdateKind::Whole { .. } => {}
        }
        if req.looks_in && !requester.near {
            return Lacking::Nothing;
        }
        if let Some(fetching) = &req.fetching {
            self.scheduler.lock().on_fetching(now, requester, fetching.id);
            if self.goes_on(state, fetching) {
                return Lacking::Nothing;
            }
        }
        let encoded = self.encoded(state, req.held, step);
        let id = encoded.id();
        if req.fetching.as_ref().is_some_and(|f| self.has(f) && !overtakes(&id, f)) {
            return Lacking::Nothing;
        }
        let is_there = |host: &str| reach.is_available(now, host, id.to);
        match self.scheduler.lock().source(now, requester, id, is_there) {
            FetchSource::Replica => {
                let first = encoded.chunk(0, FIRST_CHUNK).map(|data| chunks::encode(0, data));
                Lacking::Long(Offer { id, first, peers: Vec::new() })
            }
            FetchSource::Peers(hosts) => {
                let peers = hosts.iter().filter_map(|host| reach.peer_address(host)).collect();
                Lacking::Long(Offer { id, first: None, peers })
            }
            FetchSource::Later => Lacking::Later,
        }
    }

    /// Returns whether a daemon need not be told of anything newer than what it is fetching. The state is not locked
    /// while the library is asked for: encoding takes the two the other way round.
    fn goes_on(&self, state: &RwLock<ControlState>, fetching: &Fetching) -> bool {
        self.has(fetching) && is_light(state.read().update_kind_since(fetching.id.to))
    }

    /// Returns whether what a daemon is fetching can still be had: here, or from the peer that offered it.
    fn has(&self, fetching: &Fetching) -> bool {
        !fetching.by_control || self.library.lock().holds(&fetching.id)
    }

    /// Returns the encoded update for a daemon. It is encoded once: the library is locked meanwhile.
    fn encoded(
        &self,
        state: &RwLock<ControlState>,
        held: Revision,
        step: UpdateKind,
    ) -> EncodedUpdate {
        let mut library = self.library.lock();
        let from = match step {
            UpdateKind::Whole { .. } => Revision::default(),
            UpdateKind::Nothing | UpdateKind::Changes { .. } => held,
        };
        // One that leads nearly as far will do: what came since follows as a few changes.
        let known = library.furthest(from).filter(|known| {
            known.id().to > held && is_light(state.read().update_kind_since(known.id().to))
        });
        if let Some(known) = known {
            return known.clone();
        }
        let update = state.read().update_since(held);
        let encoded = EncodedUpdate::new(held, &update);
        let StateId { from, to, bytes, .. } = encoded.id();
        log::info!(
            "control: encoded {} to {} in {bytes} bytes",
            DisplayRevision(from),
            DisplayRevision(to)
        );
        library.add(encoded.clone());
        encoded
    }

    /// Returns the chunk that a daemon asks for, as far as the update is still kept here.
    pub fn chunk(&self, now: Timestamp, req: &ChunkRequest) -> ChunkReply {
        let mut library = self.library.lock();
        let held = library.get(&req.id);
        let data = held.and_then(|held| held.chunk(req.offset, chunks::wanted(req.bytes)));
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

fn is_light(step: UpdateKind) -> bool {
    match step {
        UpdateKind::Nothing => true,
        UpdateKind::Changes { weight } => weight <= MAX_INLINE_WEIGHT,
        UpdateKind::Whole { .. } => false,
    }
}

/// Returns whether a newer update is there before the one that is on its way.
fn overtakes(newer: &StateId, fetching: &Fetching) -> bool {
    let left = fetching.id.bytes.saturating_sub(fetching.received);
    newer.to > fetching.id.to && newer.bytes <= left
}
