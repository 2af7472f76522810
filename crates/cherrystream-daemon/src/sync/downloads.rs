//! Downloads long updates in chunks, from peers or from control.

use crate::current_config::CurrentConfigCell;
use crate::headers::{self, Op};
use crate::metrics::{Metrics, ReasonLabel};
use crate::peer::Peers;
use cherrystream_core::distribution::{ChunkOutcome, Download, EncodedUpdate, UpdateCache};
use cherrystream_core::transfer::PieceSize;
use cherrystream_core::units::{DisplayRevision, Revision, Timestamp};
use cherrystream_net::body::{self, Start};
use cherrystream_net::chunks;
use cherrystream_net::clock::Clock;
use cherrystream_net::key::Secret;
use cherrystream_net::rpc::{Client, ControlRpcClient};
use cherrystream_schema::messages::{ChunkRequest, Fetching, HostRecord, Offer, StateId};
use http::{Request, StatusCode};
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};

/// Timeout of one chunk from a peer. No chunk grows with the state, so this bounds the time
/// without progress: twice the time that the size of a chunk is chosen for.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause after control failed to send a chunk.
const CONTROL_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Source of a chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Source {
    Control,
    Peer(String),
}

/// Why a chunk was not received.
enum ChunkError {
    /// The source does not have the update.
    NotFound,
    /// The source did not reply.
    Failed,
}

/// The download in progress.
struct Job {
    download: Download,
    /// Peers to try before control.
    peers: Vec<String>,
    /// Peers that failed; they are not tried again.
    failed: Vec<String>,
    /// Whether control offered the update.
    by_control: bool,
    started: Instant,
}

impl Job {
    /// Returns whether this download completes before one of a newer update would.
    fn completes_before(&self, now: Timestamp, newer: &StateId) -> bool {
        !self.download.is_stalled(now) && self.download.left() < newer.bytes
    }

    fn source(&self) -> Option<Source> {
        let peer = self.peers.first().cloned().map(Source::Peer);
        peer.or(self.by_control.then_some(Source::Control))
    }
}

/// Dependencies of [`Downloads`].
pub struct Dependencies {
    /// The current shared state.
    pub current_config: Arc<CurrentConfigCell>,
    /// Cache of encoded updates that other daemons can fetch.
    pub update_cache: Arc<Mutex<UpdateCache>>,
    /// Connections to peers.
    pub peers: Arc<Peers>,
    /// Registration of this host.
    pub record: HostRecord,
    /// Key shared by the processes of the system.
    pub key: Option<Secret>,
    /// Time within which a change should take effect.
    pub within: Duration,
    /// Clock of the process.
    pub clock: Clock,
    /// Metrics of the daemon.
    pub metrics: Metrics,
}

/// Downloads updates, one at a time.
pub struct Downloads {
    deps: Dependencies,
    job: Mutex<Option<Job>>,
    /// Connection to the replica that this daemon follows.
    control: watch::Sender<Option<Arc<Client>>>,
    job_started: Notify,
    /// Number of ended downloads, successful or not.
    ended: watch::Sender<u64>,
}

impl Downloads {
    /// Creates a downloader without a download in progress.
    pub fn new(deps: Dependencies) -> Downloads {
        Downloads {
            deps,
            job: Mutex::default(),
            control: watch::Sender::new(None),
            job_started: Notify::new(),
            ended: watch::Sender::new(0),
        }
    }

    /// Sets the connection to the replica that this daemon follows.
    pub fn set_control(&self, client: Option<Arc<Client>>) {
        self.control.send_replace(client);
    }

    /// Subscribes to the number of ended downloads.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.ended.subscribe()
    }

    /// Returns the download in progress, unless it has stalled.
    pub fn status(&self) -> Option<Fetching> {
        let now = self.deps.clock.now();
        let job = self.job.lock();
        let job = job.as_ref().filter(|job| !job.download.is_stalled(now))?;
        let (id, received) = (job.download.id(), job.download.received());
        Some(Fetching { id, received, by_control: job.by_control })
    }

    /// Returns whether a download of this revision or a later one is in progress.
    pub fn is_fetching(&self, revision: Revision) -> bool {
        self.status().is_some_and(|fetching| fetching.id.to >= revision)
    }

    /// Starts the download of an update that control offers, replacing any other.
    pub fn begin(&self, offer: Offer) {
        self.start(offer, true);
    }

    /// Starts the download of the state that a peer offers.
    pub fn begin_from(&self, peer: &str, offer: Offer) {
        self.start(Offer { peers: vec![peer.into()], ..offer }, false);
    }

    fn start(&self, offer: Offer, by_control: bool) {
        let now = self.deps.clock.now();
        let mut job = self.job.lock();
        match job.as_mut() {
            // Keeps the bytes received so far.
            Some(same) if same.download.id() == offer.id => {
                same.download.renew(now);
                same.by_control |= by_control;
                let failed = &same.failed;
                same.peers = offer.peers.into_iter().filter(|p| !failed.contains(p)).collect();
            }
            Some(other) if !by_control && other.completes_before(now, &offer.id) => return,
            other => {
                let Some(download) = Download::new(now, offer.id, self.deps.within) else {
                    log::error!("sync: an update of {} bytes is too large", offer.id.bytes);
                    return;
                };
                if other.is_some() {
                    self.count_download("replaced");
                }
                let (started, failed) = (Instant::now(), Vec::new());
                *job = Some(Job { download, peers: offer.peers, failed, by_control, started });
            }
        }
        drop(job);
        if let Some(chunk) = offer.first
            && let Some(data) = chunks::decode(&chunk)
        {
            self.on_chunk(offer.id, chunk.offset, &data);
        }
        self.job_started.notify_one();
    }

    /// Fetches chunks of the current download for the lifetime of the process.
    pub async fn run(self: Arc<Self>) {
        let mut piece_size = PieceSize::default();
        loop {
            let Some((req, source)) = self.next(&piece_size) else {
                self.job_started.notified().await;
                continue;
            };
            let requested_at = Instant::now();
            match self.chunk(&req, &source).await {
                Ok(data) => {
                    let took = requested_at.elapsed();
                    piece_size.on_reply(took);
                    self.count_bytes(&source, data.len());
                    self.on_chunk(req.id, req.offset, &data);
                    tokio::time::sleep(self.pause(data.len(), took)).await;
                }
                Err(error) => {
                    piece_size.on_failure();
                    self.on_chunk_error(&req.id, &source, error);
                    if source == Source::Control {
                        tokio::time::sleep(CONTROL_RETRY_PAUSE).await;
                    }
                }
            }
        }
    }

    /// Returns the next chunk to request, and its source.
    fn next(&self, piece_size: &PieceSize) -> Option<(ChunkRequest, Source)> {
        let mut job = self.job.lock();
        let held = self.deps.current_config.revision();
        // The current state may have overtaken the download.
        if job.as_ref().is_some_and(|job| job.download.id().to <= held) {
            *job = None;
        }
        let job = job.as_ref()?;
        let req = ChunkRequest {
            id: job.download.id(),
            offset: job.download.received(),
            bytes: piece_size.bytes() as u64,
            host: self.deps.record.host.clone(),
            failure_domain: self.deps.record.failure_domain.clone(),
        };
        Some((req, job.source()?))
    }

    async fn chunk(&self, req: &ChunkRequest, source: &Source) -> Result<Vec<u8>, ChunkError> {
        match source {
            Source::Control => self.chunk_from_control(req).await,
            Source::Peer(address) => {
                let fetch = self.chunk_from_peer(req, address);
                tokio::time::timeout(CHUNK_TIMEOUT, fetch).await.unwrap_or(Err(ChunkError::Failed))
            }
        }
    }

    async fn chunk_from_control(&self, req: &ChunkRequest) -> Result<Vec<u8>, ChunkError> {
        let client = self.control.borrow().clone().ok_or(ChunkError::Failed)?;
        match client.chunk(req.clone()).await {
            Ok(reply) => reply.chunk.as_ref().and_then(chunks::decode).ok_or(ChunkError::NotFound),
            Err(e) => {
                log::debug!("sync: control sent no chunk at offset {}: {e}", req.offset);
                Err(ChunkError::Failed)
            }
        }
    }

    async fn chunk_from_peer(
        &self,
        req: &ChunkRequest,
        address: &str,
    ) -> Result<Vec<u8>, ChunkError> {
        let mut chunk_req =
            request(address, Op::Chunk, self.deps.key.as_ref()).ok_or(ChunkError::Failed)?;
        headers::set_json(chunk_req.headers_mut(), headers::CHUNK, req);
        let res = self
            .deps
            .peers
            .send_for_long_response(address, chunk_req)
            .await
            .map_err(|_| ChunkError::Failed)?;
        if res.status() != StatusCode::OK {
            return Err(ChunkError::NotFound);
        }
        match body::read_start(res.into_body(), chunks::MAX_CHUNK_BYTES).await {
            Ok(Start::Whole(bytes)) => Ok(bytes.to_vec()),
            _ => Err(ChunkError::Failed),
        }
    }

    /// Handles a missing chunk. Drops the peer that failed; keeps trying control as long as it
    /// has the update.
    fn on_chunk_error(&self, id: &StateId, source: &Source, error: ChunkError) {
        self.count_download(match error {
            ChunkError::NotFound => "gone",
            ChunkError::Failed => "failed",
        });
        let mut current = self.job.lock();
        let Some(job) = current.as_mut().filter(|job| job.download.id() == *id) else { return };
        match (source, error) {
            (Source::Peer(address), _) => {
                job.peers.retain(|peer| peer != address);
                job.failed.push(address.clone());
            }
            (Source::Control, ChunkError::NotFound) => job.by_control = false,
            (Source::Control, ChunkError::Failed) => {}
        }
        if job.source().is_none() {
            log::debug!("sync: no source has {} any more", DisplayRevision(id.to));
            *current = None;
            drop(current);
            self.notify_ended();
        }
    }

    /// Handles a received chunk; the last one applies the update.
    fn on_chunk(&self, id: StateId, offset: u64, data: &[u8]) {
        let now = self.deps.clock.now();
        let mut current = self.job.lock();
        let Some(job) = current.as_mut().filter(|job| job.download.id() == id) else { return };
        let (outcome, started) = (job.download.take(now, offset, data), job.started);
        match outcome {
            Ok(ChunkOutcome::Partial | ChunkOutcome::Ignored) => {}
            Ok(ChunkOutcome::Whole(encoded)) => {
                *current = None;
                drop(current);
                self.apply(encoded, started.elapsed());
            }
            Err(e) => {
                *current = None;
                drop(current);
                self.count_download("damaged");
                log::error!("sync: restarting the download of {}: {e}", DisplayRevision(id.to));
                self.notify_ended();
            }
        }
    }

    fn apply(&self, encoded: EncodedUpdate, took: Duration) {
        let StateId { from, to, bytes, .. } = encoded.id();
        let update = match encoded.decode() {
            Ok(update) => update,
            Err(e) => {
                self.count_download("damaged");
                log::error!("sync: the update to {} cannot be read: {e}", DisplayRevision(to));
                return;
            }
        };
        self.deps.update_cache.lock().add(encoded);
        self.count_download("whole");
        let (from, shown) = (DisplayRevision(from), DisplayRevision(to));
        log::info!("sync: fetched {shown} since {from}: {bytes} bytes in {took:?}");
        self.deps.current_config.apply(update);
        self.notify_ended();
    }

    fn notify_ended(&self) {
        self.ended.send_modify(|count| *count += 1);
    }

    /// Returns how long to pause after a chunk, to leave bandwidth for requests. A daemon without
    /// a configuration serves none and does not pause.
    fn pause(&self, bytes: usize, took: Duration) -> Duration {
        if self.deps.current_config.revision() == Revision::default() {
            return Duration::ZERO;
        }
        let now = self.deps.clock.now();
        let job = self.job.lock();
        job.as_ref().map_or(Duration::ZERO, |job| job.download.rest(now, bytes, took))
    }

    fn count_download(&self, end: &'static str) {
        self.deps.metrics.downloads.get_or_create(&ReasonLabel { reason: end }).inc();
    }

    fn count_bytes(&self, source: &Source, bytes: usize) {
        let reason = match source {
            Source::Control => "control",
            Source::Peer(_) => "peer",
        };
        let label = ReasonLabel { reason };
        self.deps.metrics.download_bytes.get_or_create(&label).inc_by(bytes as u64);
    }
}

/// Builds a request without a body to a peer.
pub fn request(address: &str, op: Op, key: Option<&Secret>) -> Option<Request<body::Body>> {
    let mut req = Request::get(format!("http://{address}/")).body(body::empty()).ok()?;
    headers::set_static(req.headers_mut(), headers::OP, op.as_str());
    if let Some(key) = key {
        headers::set(req.headers_mut(), headers::KEY, key.expose());
    }
    Some(req)
}
