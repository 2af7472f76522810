//! Fetches long updates in chunks, from peers nearby or from control.

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
use cherrystream_net::rpc::ControlRpcClient;
use cherrystream_schema::messages::{ChunkRequest, Fetching, HostRecord, Offer, StateId};
use http::{Request, StatusCode};
use jsonrpsee::ws_client::WsClient;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};

/// Longest time for one chunk from a peer. No chunk grows with the state, so this is a time without progress: twice
/// what a chunk is made to take at most.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause after a chunk that did not come from control.
const PAUSE: Duration = Duration::from_millis(100);

/// Where an update is fetched from.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Source {
    Control,
    Peer(String),
}

/// Why no chunk came.
enum NoChunk {
    /// The source does not hold the update.
    Gone,
    /// The source did not answer.
    Failed,
}

/// The update that is being fetched.
struct Job {
    download: Download,
    /// Peers that are asked first.
    peers: Vec<String>,
    /// Peers that failed; they are not asked again.
    failed: Vec<String>,
    /// Whether control offered it.
    by_control: bool,
    started: Instant,
}

impl Job {
    /// Returns whether a newer update would be there later than this one.
    fn ends_before(&self, now: Timestamp, newer: &StateId) -> bool {
        !self.download.is_stalled(now) && self.download.left() < newer.bytes
    }

    fn source(&self) -> Option<Source> {
        let peer = self.peers.first().cloned().map(Source::Peer);
        peer.or(self.by_control.then_some(Source::Control))
    }
}

/// What the downloads of a daemon use.
pub struct Tools {
    /// Shared state held.
    pub held: Arc<CurrentConfigCell>,
    /// Encoded updates that other daemons may fetch here.
    pub library: Arc<Mutex<UpdateCache>>,
    /// Connections to peers.
    pub peers: Arc<Peers>,
    /// Registration of this host.
    pub record: HostRecord,
    /// Key of the system's own processes.
    pub key: Option<Secret>,
    /// Time within which a change is to be in force.
    pub within: Duration,
    /// The clock.
    pub clock: Clock,
    /// Metrics.
    pub metrics: Metrics,
}

/// The downloads of a daemon, one at a time.
pub struct Downloads {
    tools: Tools,
    job: Mutex<Option<Job>>,
    /// The replica that this daemon keeps to.
    control: watch::Sender<Option<Arc<WsClient>>>,
    begun: Notify,
    /// Counts downloads that ended, put in force or not.
    ended: watch::Sender<u64>,
}

impl Downloads {
    /// Creates downloads of which none is under way.
    pub fn new(tools: Tools) -> Downloads {
        Downloads {
            tools,
            job: Mutex::default(),
            control: watch::Sender::new(None),
            begun: Notify::new(),
            ended: watch::Sender::new(0),
        }
    }

    /// Notes the replica that this daemon keeps to now.
    pub fn set_control(&self, client: Option<Arc<WsClient>>) {
        self.control.send_replace(client);
    }

    /// Watches how many downloads ended: there may be something else to ask for.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.ended.subscribe()
    }

    /// Returns what is being fetched, unless it makes no progress.
    pub fn status(&self) -> Option<Fetching> {
        let now = self.tools.clock.now();
        let job = self.job.lock();
        let job = job.as_ref().filter(|job| !job.download.is_stalled(now))?;
        let (id, received) = (job.download.id(), job.download.received());
        Some(Fetching { id, received, by_control: job.by_control })
    }

    /// Returns whether a revision or a later one is being fetched.
    pub fn leads_to(&self, revision: Revision) -> bool {
        self.status().is_some_and(|fetching| fetching.id.to >= revision)
    }

    /// Begins to fetch an update that control offers, in place of any other.
    pub fn begin(&self, offer: Offer) {
        self.start(offer, true);
    }

    /// Begins to fetch the state that a peer holds.
    pub fn begin_from(&self, peer: &str, offer: Offer) {
        self.start(Offer { peers: vec![peer.into()], ..offer }, false);
    }

    fn start(&self, offer: Offer, by_control: bool) {
        let now = self.tools.clock.now();
        let mut job = self.job.lock();
        match job.as_mut() {
            // What has come of it counts.
            Some(same) if same.download.id() == offer.id => {
                same.download.renew(now);
                same.by_control |= by_control;
                let failed = &same.failed;
                same.peers = offer.peers.into_iter().filter(|p| !failed.contains(p)).collect();
            }
            Some(other) if !by_control && other.ends_before(now, &offer.id) => return,
            other => {
                let Some(download) = Download::new(now, offer.id, self.tools.within) else {
                    log::error!("sync: an update of {} bytes is too long", offer.id.bytes);
                    return;
                };
                if other.is_some() {
                    self.count("replaced");
                }
                let (started, failed) = (Instant::now(), Vec::new());
                *job = Some(Job { download, peers: offer.peers, failed, by_control, started });
            }
        }
        drop(job);
        if let Some(chunk) = offer.first
            && let Some(data) = chunks::decode(&chunk)
        {
            self.take(offer.id, chunk.offset, &data);
        }
        self.begun.notify_one();
    }

    /// Fetches whatever is to be fetched, for as long as the process runs.
    pub async fn run(self: Arc<Self>) {
        let mut piece_size = PieceSize::default();
        loop {
            let Some((req, source)) = self.next(&piece_size) else {
                self.begun.notified().await;
                continue;
            };
            let asked = Instant::now();
            match self.chunk(&req, &source).await {
                Ok(data) => {
                    let took = asked.elapsed();
                    piece_size.on_reply(took);
                    self.count_bytes(&source, data.len());
                    self.take(req.id, req.offset, &data);
                    tokio::time::sleep(self.rest(data.len(), took)).await;
                }
                Err(what) => {
                    piece_size.on_failure();
                    self.on_no_chunk(&req.id, &source, what);
                    if source == Source::Control {
                        tokio::time::sleep(PAUSE).await;
                    }
                }
            }
        }
    }

    /// Returns the next chunk to ask for, and whom.
    fn next(&self, piece_size: &PieceSize) -> Option<(ChunkRequest, Source)> {
        let mut job = self.job.lock();
        let held = self.tools.held.revision();
        // What is held may have come another way meanwhile.
        if job.as_ref().is_some_and(|job| job.download.id().to <= held) {
            *job = None;
        }
        let job = job.as_ref()?;
        let req = ChunkRequest {
            id: job.download.id(),
            offset: job.download.received(),
            bytes: piece_size.bytes() as u64,
            host: self.tools.record.host.clone(),
            failure_domain: self.tools.record.failure_domain.clone(),
        };
        Some((req, job.source()?))
    }

    async fn chunk(&self, req: &ChunkRequest, source: &Source) -> Result<Vec<u8>, NoChunk> {
        match source {
            Source::Control => self.chunk_of_control(req).await,
            Source::Peer(address) => {
                let asking = self.chunk_of_peer(req, address);
                tokio::time::timeout(CHUNK_TIMEOUT, asking).await.unwrap_or(Err(NoChunk::Failed))
            }
        }
    }

    async fn chunk_of_control(&self, req: &ChunkRequest) -> Result<Vec<u8>, NoChunk> {
        let client = self.control.borrow().clone().ok_or(NoChunk::Failed)?;
        match client.chunk(req.clone()).await {
            Ok(reply) => reply.chunk.as_ref().and_then(chunks::decode).ok_or(NoChunk::Gone),
            Err(e) => {
                log::debug!("sync: control gave no chunk at {}: {e}", req.offset);
                Err(NoChunk::Failed)
            }
        }
    }

    async fn chunk_of_peer(&self, req: &ChunkRequest, address: &str) -> Result<Vec<u8>, NoChunk> {
        let mut ask =
            request(address, Op::Chunk, self.tools.key.as_ref()).ok_or(NoChunk::Failed)?;
        headers::set_json(ask.headers_mut(), headers::CHUNK, req);
        let res = self.tools.peers.send(address, ask).await.map_err(|_| NoChunk::Failed)?;
        if res.status() != StatusCode::OK {
            return Err(NoChunk::Gone);
        }
        match body::read_start(res.into_body(), chunks::MAX_CHUNK_BYTES).await {
            Ok(Start::Whole(bytes)) => Ok(bytes.to_vec()),
            _ => Err(NoChunk::Failed),
        }
    }

    /// A peer that fails is asked no more; control is asked again, unless it does not hold the update any more.
    fn on_no_chunk(&self, id: &StateId, source: &Source, what: NoChunk) {
        self.count(match what {
            NoChunk::Gone => "gone",
            NoChunk::Failed => "failed",
        });
        let mut current = self.job.lock();
        let Some(job) = current.as_mut().filter(|job| job.download.id() == *id) else { return };
        match (source, what) {
            (Source::Peer(address), _) => {
                job.peers.retain(|peer| peer != address);
                job.failed.push(address.clone());
            }
            (Source::Control, NoChunk::Gone) => job.by_control = false,
            (Source::Control, NoChunk::Failed) => {}
        }
        if job.source().is_none() {
            log::debug!("sync: nobody holds {} any more", DisplayRevision(id.to));
            *current = None;
            drop(current);
            self.note_end();
        }
    }

    /// Takes a chunk of an update; the last one puts the update in force.
    fn take(&self, id: StateId, offset: u64, data: &[u8]) {
        let now = self.tools.clock.now();
        let mut current = self.job.lock();
        let Some(job) = current.as_mut().filter(|job| job.download.id() == id) else { return };
        let (taken, started) = (job.download.take(now, offset, data), job.started);
        match taken {
            Ok(ChunkOutcome::Partial | ChunkOutcome::Ignored) => {}
            Ok(ChunkOutcome::Whole(encoded)) => {
                *current = None;
                drop(current);
                self.put_in_force(encoded, started.elapsed());
            }
            Err(e) => {
                *current = None;
                drop(current);
                self.count("damaged");
                log::error!("sync: {} is fetched anew: {e}", DisplayRevision(id.to));
                self.note_end();
            }
        }
    }

    fn put_in_force(&self, encoded: EncodedUpdate, took: Duration) {
        let StateId { from, to, bytes, .. } = encoded.id();
        let update = match encoded.decode() {
            Ok(update) => update,
            Err(e) => {
                self.count("damaged");
                log::error!("sync: {} cannot be read: {e}", DisplayRevision(to));
                return;
            }
        };
        self.tools.library.lock().add(encoded);
        self.count("whole");
        let (from, shown) = (DisplayRevision(from), DisplayRevision(to));
        log::info!("sync: fetched {shown} since {from}: {bytes} bytes in {took:?}");
        self.tools.held.apply(update);
        self.note_end();
    }

    fn note_end(&self) {
        self.ended.send_modify(|count| *count += 1);
    }

    /// Returns how long to leave the link to requests after a chunk. Where nothing is held, none can be served.
    fn rest(&self, bytes: usize, took: Duration) -> Duration {
        if self.tools.held.revision() == Revision::default() {
            return Duration::ZERO;
        }
        let now = self.tools.clock.now();
        let job = self.job.lock();
        job.as_ref().map_or(Duration::ZERO, |job| job.download.rest(now, bytes, took))
    }

    fn count(&self, end: &'static str) {
        self.tools.metrics.downloads.get_or_create(&ReasonLabel { reason: end }).inc();
    }

    fn count_bytes(&self, source: &Source, bytes: usize) {
        let reason = match source {
            Source::Control => "control",
            Source::Peer(_) => "peer",
        };
        let label = ReasonLabel { reason };
        self.tools.metrics.download_bytes.get_or_create(&label).inc_by(bytes as u64);
    }
}

/// Returns a question to a peer.
pub fn request(address: &str, op: Op, key: Option<&Secret>) -> Option<Request<body::Body>> {
    let mut req = Request::get(format!("http://{address}/")).body(body::empty()).ok()?;
    headers::set_static(req.headers_mut(), headers::OP, op.as_str());
    if let Some(key) = key {
        headers::set(req.headers_mut(), headers::KEY, key.expose());
    }
    Some(req)
}
