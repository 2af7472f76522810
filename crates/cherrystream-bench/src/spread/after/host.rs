//! A daemon's heartbeat and its downloads, after `daemon::sync`.

use super::{Served, WAIT};
use cherrystream_core::distribution::{ChunkOutcome, Download, EncodedUpdate};
use cherrystream_core::transfer::PieceSize;
use cherrystream_core::units::{Revision, Timestamp};
use cherrystream_net::chunks;
use cherrystream_schema::messages::{
    ChunkRequest, Fetching, HostRecord, Offer, StateId, SyncReply, SyncRequest,
};
use std::time::Duration;

/// Pause after a call that failed, as in the daemon.
pub const PAUSE_AFTER_CALL: Duration = Duration::from_millis(150);
/// Pause after a chunk that did not come from control, as in the daemon.
const PAUSE: Duration = Duration::from_millis(100);

/// The update that is being fetched.
struct Job {
    download: Download,
    peers: Vec<String>,
    by_control: bool,
}

/// The chunk that a daemon waits for.
struct Asked {
    at: Timestamp,
    id: StateId,
    offset: u64,
    peer: Option<String>,
}

/// A host with its daemon.
pub struct Host {
    /// The replica that it keeps to.
    pub replica: usize,
    /// What it holds.
    pub held: Revision,
    /// Number of the heartbeat that is open.
    pub call: u64,
    /// Number of the chunk that it waits for.
    pub ask: u64,
    /// Whether it waits for a chunk, or rests after one.
    pub busy: bool,
    record: HostRecord,
    within: Duration,
    job: Option<Job>,
    piece_size: PieceSize,
    asked: Option<Asked>,
    fetched: Option<EncodedUpdate>,
}

impl Host {
    /// Creates a host that keeps to a replica.
    pub fn new(record: HostRecord, replica: usize, held: Revision, within: Duration) -> Host {
        Host {
            replica,
            held,
            call: 0,
            ask: 0,
            busy: false,
            record,
            within,
            job: None,
            piece_size: PieceSize::default(),
            asked: None,
            fetched: None,
        }
    }

    /// Gives the open heartbeat up, and returns the number of the next one.
    pub fn abandon_call(&mut self) -> u64 {
        self.call += 1;
        self.call
    }

    /// Begins a heartbeat while nothing is being fetched.
    pub fn heartbeat(&mut self) -> (u64, Box<SyncRequest>) {
        self.heartbeat_at(Timestamp::default())
    }

    /// Begins a heartbeat.
    pub fn heartbeat_at(&mut self, now: Timestamp) -> (u64, Box<SyncRequest>) {
        let downloads = self.job.iter().map(|job| &job.download);
        let fetching = downloads.filter(|d| !d.is_stalled(now)).map(fetching).next();
        let req = SyncRequest {
            record: self.record.clone(),
            held: self.held,
            confirmed: false,
            wait_ms: WAIT.as_millis() as u64,
            instance: None,
            fetching,
            looks_in: false,
            control_known: 0,
            tally: None,
        };
        (self.abandon_call(), Box::new(req))
    }

    /// Takes the answer to a heartbeat, and returns whether it put an update in force.
    pub fn take_reply(&mut self, now: Timestamp, reply: SyncReply) -> bool {
        if let Some(update) = reply.update {
            let newer = update.revision > self.held;
            self.held = self.held.max(update.revision);
            return newer;
        }
        reply.offer.is_some_and(|offer| self.begin(now, offer))
    }

    fn begin(&mut self, now: Timestamp, offer: Offer) -> bool {
        match self.job.as_mut().filter(|job| job.download.id() == offer.id) {
            Some(same) => {
                same.peers = offer.peers;
                same.by_control = true;
            }
            None => {
                let Some(download) = Download::new(now, offer.id, self.within) else {
                    return false;
                };
                self.job = Some(Job { download, peers: offer.peers, by_control: true });
            }
        }
        let first = offer.first.as_ref();
        let data = first.and_then(|chunk| Some((chunk.offset, chunks::decode(chunk)?)));
        data.is_some_and(|(offset, data)| self.take(now, offer.id, offset, &data))
    }

    /// Returns the next chunk to ask for, with the peer to ask or control.
    pub fn next_ask(&mut self, now: Timestamp) -> Option<(u64, Box<ChunkRequest>, Option<String>)> {
        self.busy = false;
        let held = self.held;
        self.job.take_if(|job| job.download.id().to <= held);
        let job = self.job.as_ref()?;
        let peer = job.peers.first().cloned();
        let req = ChunkRequest {
            id: job.download.id(),
            offset: job.download.received(),
            bytes: self.piece_size.bytes() as u64,
            host: self.record.host.clone(),
            failure_domain: self.record.failure_domain.clone(),
        };
        self.busy = true;
        self.asked = Some(Asked { at: now, id: req.id, offset: req.offset, peer: peer.clone() });
        self.ask += 1;
        Some((self.ask, Box::new(req), peer))
    }

    /// Takes the chunk that was asked for; returns how long to leave the link to requests, and whether the update
    /// is in force.
    pub fn take_chunk(&mut self, now: Timestamp, data: &[u8]) -> (Duration, bool) {
        self.ask += 1;
        let Some(asked) = self.asked.take() else { return (Duration::ZERO, false) };
        let took = now.since(asked.at);
        self.piece_size.on_reply(took);
        let whole = self.take(now, asked.id, asked.offset, data);
        let job = self.job.as_ref();
        let rest = job.map_or(Duration::ZERO, |job| job.download.rest(now, data.len(), took));
        (rest, whole)
    }

    /// Notes that the chunk that was asked for does not come, and returns how long to pause.
    pub fn on_no_chunk(&mut self) -> Duration {
        self.ask += 1;
        self.piece_size.on_failure();
        let Some(asked) = self.asked.take().and_then(|asked| asked.peer) else { return PAUSE };
        if let Some(job) = &mut self.job {
            job.peers.retain(|peer| *peer != asked);
        }
        Duration::ZERO
    }

    /// Serves a peer, where it has fetched the same update.
    pub fn serve(&self, req: &ChunkRequest) -> Served {
        let held = self.fetched.as_ref().filter(|fetched| fetched.id() == req.id);
        let chunk = held.and_then(|held| held.chunk(req.offset, chunks::wanted(req.bytes)));
        let data = chunk.map(<[u8]>::to_vec);
        Served { text: data.as_ref().map_or(0, Vec::len), data }
    }

    fn take(&mut self, now: Timestamp, id: StateId, offset: u64, data: &[u8]) -> bool {
        let Some(job) = self.job.as_mut().filter(|job| job.download.id() == id) else {
            return false;
        };
        match job.download.take(now, offset, data) {
            Ok(ChunkOutcome::Partial | ChunkOutcome::Ignored) => false,
            Ok(ChunkOutcome::Whole(encoded)) => {
                self.job = None;
                self.fetched = Some(encoded);
                self.held = id.to;
                true
            }
            Err(_) => {
                self.job = None;
                false
            }
        }
    }
}

fn fetching(download: &Download) -> Fetching {
    Fetching { id: download.id(), received: download.received(), by_control: true }
}
