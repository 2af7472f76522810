//! A daemon's heartbeats and downloads, modelled on `daemon::sync`.

use super::{HEARTBEAT_WAIT, ServedChunk};
use cherrystream_core::distribution::{ChunkOutcome, Download, EncodedUpdate};
use cherrystream_core::transfer::PieceSize;
use cherrystream_core::units::{Revision, Timestamp};
use cherrystream_net::chunks;
use cherrystream_schema::messages::{
    ChunkRequest, Fetching, HostRecord, Offer, StateId, SyncReply, SyncRequest,
};
use std::time::Duration;

/// Pause after a failed call, as in the daemon.
pub const PAUSE_AFTER_CALL: Duration = Duration::from_millis(150);
/// Pause after a failed chunk request to control, as in the daemon.
const PAUSE_AFTER_FETCH: Duration = Duration::from_millis(100);

/// An update being fetched.
struct UpdateFetch {
    download: Download,
    peers: Vec<String>,
    by_control: bool,
}

/// The chunk request in flight.
struct OpenFetch {
    at: Timestamp,
    id: StateId,
    offset: u64,
    peer: Option<String>,
}

/// A host with its daemon.
pub struct Host {
    /// Replica that the daemon uses.
    pub replica: usize,
    /// Revision that the daemon has applied.
    pub held: Revision,
    /// Number of the open heartbeat.
    pub call: u64,
    /// Number of the chunk request in flight.
    pub fetch: u64,
    /// Whether it waits for a chunk or pauses after one.
    pub busy: bool,
    record: HostRecord,
    within: Duration,
    update_fetch: Option<UpdateFetch>,
    piece_size: PieceSize,
    open_fetch: Option<OpenFetch>,
    fetched: Option<EncodedUpdate>,
}

impl Host {
    /// Creates a host whose daemon uses the given replica.
    pub fn new(record: HostRecord, replica: usize, held: Revision, within: Duration) -> Host {
        Host {
            replica,
            held,
            call: 0,
            fetch: 0,
            busy: false,
            record,
            within,
            update_fetch: None,
            piece_size: PieceSize::default(),
            open_fetch: None,
            fetched: None,
        }
    }

    /// Abandons the open heartbeat, and returns the number of the next one.
    pub fn abandon_call(&mut self) -> u64 {
        self.call += 1;
        self.call
    }

    /// Starts a heartbeat while no update is being fetched.
    pub fn heartbeat(&mut self) -> (u64, Box<SyncRequest>) {
        self.heartbeat_at(Timestamp::default())
    }

    /// Starts a heartbeat.
    pub fn heartbeat_at(&mut self, now: Timestamp) -> (u64, Box<SyncRequest>) {
        let downloads = self.update_fetch.iter().map(|update_fetch| &update_fetch.download);
        let fetching = downloads.filter(|d| !d.is_stalled(now)).map(fetching).next();
        let req = SyncRequest {
            record: self.record.clone(),
            held: self.held,
            confirmed: false,
            wait_ms: HEARTBEAT_WAIT.as_millis() as u64,
            instance: None,
            fetching,
            looks_in: false,
            control_known: 0,
            tally: None,
        };
        (self.abandon_call(), Box::new(req))
    }

    /// Handles the answer to a heartbeat, and returns whether an update was applied.
    pub fn take_reply(&mut self, now: Timestamp, reply: SyncReply) -> bool {
        if let Some(update) = reply.update {
            let newer = update.revision > self.held;
            self.held = self.held.max(update.revision);
            return newer;
        }
        reply.offer.is_some_and(|offer| self.begin(now, offer))
    }

    fn begin(&mut self, now: Timestamp, offer: Offer) -> bool {
        match self
            .update_fetch
            .as_mut()
            .filter(|update_fetch| update_fetch.download.id() == offer.id)
        {
            Some(same) => {
                same.peers = offer.peers;
                same.by_control = true;
            }
            None => {
                let Some(download) = Download::new(now, offer.id, self.within) else {
                    return false;
                };
                self.update_fetch =
                    Some(UpdateFetch { download, peers: offer.peers, by_control: true });
            }
        }
        let first = offer.first.as_ref();
        let data = first.and_then(|chunk| Some((chunk.offset, chunks::decode(chunk)?)));
        data.is_some_and(|(offset, data)| self.accept_chunk(now, offer.id, offset, &data))
    }

    /// Returns the number and content of the next chunk request, and the peer to send it to; the
    /// peer is `None` for control.
    pub fn next_fetch(
        &mut self,
        now: Timestamp,
    ) -> Option<(u64, Box<ChunkRequest>, Option<String>)> {
        self.busy = false;
        let held = self.held;
        self.update_fetch.take_if(|update_fetch| update_fetch.download.id().to <= held);
        let update_fetch = self.update_fetch.as_ref()?;
        let peer = update_fetch.peers.first().cloned();
        let req = ChunkRequest {
            id: update_fetch.download.id(),
            offset: update_fetch.download.received(),
            bytes: self.piece_size.bytes() as u64,
            host: self.record.host.clone(),
            failure_domain: self.record.failure_domain.clone(),
        };
        self.busy = true;
        self.open_fetch =
            Some(OpenFetch { at: now, id: req.id, offset: req.offset, peer: peer.clone() });
        self.fetch += 1;
        Some((self.fetch, Box::new(req), peer))
    }

    /// Handles the requested chunk. Returns how long to leave the link to requests, and whether the
    /// update was applied.
    pub fn take_chunk(&mut self, now: Timestamp, data: &[u8]) -> (Duration, bool) {
        self.fetch += 1;
        let Some(open_fetch) = self.open_fetch.take() else { return (Duration::ZERO, false) };
        let took = now.since(open_fetch.at);
        self.piece_size.on_reply(took);
        let whole = self.accept_chunk(now, open_fetch.id, open_fetch.offset, data);
        let update_fetch = self.update_fetch.as_ref();
        let rest = update_fetch.map_or(Duration::ZERO, |update_fetch| {
            update_fetch.download.rest(now, data.len(), took)
        });
        (rest, whole)
    }

    /// Records that the chunk request failed, and returns how long to pause.
    pub fn on_fetch_failure(&mut self) -> Duration {
        self.fetch += 1;
        self.piece_size.on_failure();
        let Some(peer) = self.open_fetch.take().and_then(|open_fetch| open_fetch.peer) else {
            return PAUSE_AFTER_FETCH;
        };
        if let Some(update_fetch) = &mut self.update_fetch {
            update_fetch.peers.retain(|other| *other != peer);
        }
        Duration::ZERO
    }

    /// Serves a chunk to a peer, if this host has fetched the same update.
    pub fn serve(&self, req: &ChunkRequest) -> ServedChunk {
        let held = self.fetched.as_ref().filter(|fetched| fetched.id() == req.id);
        let chunk = held.and_then(|held| held.chunk(req.offset, chunks::wanted(req.bytes)));
        let data = chunk.map(<[u8]>::to_vec);
        ServedChunk { text: data.as_ref().map_or(0, Vec::len), data }
    }

    fn accept_chunk(&mut self, now: Timestamp, id: StateId, offset: u64, data: &[u8]) -> bool {
        let Some(update_fetch) =
            self.update_fetch.as_mut().filter(|update_fetch| update_fetch.download.id() == id)
        else {
            return false;
        };
        match update_fetch.download.take(now, offset, data) {
            Ok(ChunkOutcome::Partial | ChunkOutcome::Ignored) => false,
            Ok(ChunkOutcome::Whole(encoded)) => {
                self.update_fetch = None;
                self.fetched = Some(encoded);
                self.held = id.to;
                true
            }
            Err(_) => {
                self.update_fetch = None;
                false
            }
        }
    }
}

fn fetching(download: &Download) -> Fetching {
    Fetching { id: download.id(), received: download.received(), by_control: true }
}
