//! Sends messages of the replicated log to the other replicas, and calls them.

use crate::handle::COMMIT_TIMEOUT;
use crate::metrics::Metrics;
use crate::queue::Queue;
use cherrystream_core::transfer::{self, PieceSize, Sending};
use cherrystream_net::key::Secret;
use cherrystream_net::rpc::{self, ControlRpcClient};
use cherrystream_schema::messages::{PieceReply, RaftMessage};
use jsonrpsee::ws_client::WsClient;
use parking_lot::RwLock;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Mutex;
use tokio::task::{self, JoinSet};

/// Longest time for one call: short messages, or one piece of a long one. No call here grows with the
/// state, so this is a time without progress.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Bytes a second that a link carries at least for a call with a large order, beside all else: a seventh of
/// the 340 KB a second of the thinnest links that were seen.
const LEAST_RATE: f64 = 50_000.0;
/// Time between attempts to connect.
const RECONNECT: Duration = Duration::from_millis(200);

/// Senders to the other replicas.
#[derive(Clone, Default)]
pub struct Peers {
    own: u64,
    queues: BTreeMap<u64, Arc<Queue>>,
    lines: BTreeMap<u64, Arc<Line>>,
    metrics: Metrics,
    /// Tasks that send; they end with this value.
    _sending: Arc<JoinSet<()>>,
}

impl Peers {
    /// Starts sending tasks of a replica for each of the others.
    pub fn start(own: u64, others: &BTreeMap<u64, Arc<Line>>, metrics: Metrics) -> Peers {
        let mut queues = BTreeMap::new();
        let mut sending = JoinSet::new();
        for (id, line) in others {
            let queue = Arc::new(Queue::new(metrics.clone()));
            sending.spawn(send_short(line.clone(), queue.clone()));
            sending.spawn(send_long(own, line.sibling(), queue.clone()));
            queues.insert(*id, queue);
        }
        Peers { own, queues, lines: others.clone(), metrics, _sending: Arc::new(sending) }
    }

    /// Notes where a replica is now.
    pub fn set_address(&self, id: u64, address: &str) {
        if self.lines.get(&id).is_some_and(|line| line.set_address(address)) {
            log::info!("control: replica {id} is at {address}");
        }
    }

    /// Queues messages; those that find no room are dropped.
    pub fn send(&self, messages: Vec<RaftMessage>) {
        for msg in messages {
            match self.queues.get(&msg.to) {
                Some(queue) => queue.push(msg),
                None => {
                    self.metrics.dropped_messages.inc();
                }
            }
        }
    }

    /// Returns the index of a snapshot on its way to a replica.
    pub fn snapshot_index(&self, to: u64) -> Option<u64> {
        self.queues.get(&to)?.snapshot_index()
    }

    /// Returns the lowest index of the snapshots on their way.
    pub fn lowest_snapshot_index(&self) -> Option<u64> {
        self.queues.values().filter_map(|queue| queue.snapshot_index()).min()
    }

    /// Notes who leads: long messages are the leader's.
    pub fn note_leader(&self, leader: Option<u64>) {
        if leader.is_some_and(|leader| leader != self.own) {
            self.queues.values().for_each(|queue| queue.drop_long());
        }
    }
}

async fn send_short(line: Arc<Line>, queue: Arc<Queue>) {
    loop {
        let messages = queue.next_short().await;
        let Some(client) = line.client().await else {
            // What waits is stale by the time the replica is back.
            queue.finish_short(false);
            queue.drop_short();
            tokio::time::sleep(RECONNECT).await;
            continue;
        };
        let sent = client.raft(messages).await;
        queue.finish_short(sent.is_ok());
        if let Err(e) = sent {
            log::debug!("control: replica at {} did not take messages: {e}", line.address());
            line.drop_client().await;
        }
    }
}

/// Sends long messages in pieces, on a connection of their own: what is short never waits for them.
async fn send_long(own: u64, line: Line, queue: Arc<Queue>) {
    let mut piece_size = PieceSize::default();
    loop {
        let msg = queue.next_long().await;
        let content = match task::spawn_blocking(move || transfer::pack(&msg)).await {
            Ok(content) => content,
            Err(e) => {
                log::error!(
                    "control: a message for replica at {} cannot be packed: {e}",
                    line.address()
                );
                queue.finish_long(false);
                continue;
            }
        };
        let mut sending = Sending::new(own, rand::random(), content, queue.clock().now());
        let start = Instant::now();
        let arrived = send_pieces(&line, &queue, &mut sending, &mut piece_size).await;
        let (bytes, address) = (sending.total(), line.address());
        if arrived {
            log::debug!("control: {bytes} bytes reached {address} in {:?}", start.elapsed());
        }
        queue.finish_long(arrived);
    }
}

/// Sends the pieces of a transfer; returns whether all arrived.
async fn send_pieces(
    line: &Line,
    queue: &Queue,
    sending: &mut Sending,
    piece_size: &mut PieceSize,
) -> bool {
    while !sending.is_done() {
        let Some(term) = queue.wants_long(sending.share_left()) else {
            log::debug!("control: a transfer to {} is of no use any more", line.address());
            return false;
        };
        let sent = Instant::now();
        match send_piece(line, sending, piece_size.bytes(), term).await {
            Some(reply) => {
                piece_size.on_reply(sent.elapsed());
                sending.on_reply(queue.clock().now(), reply.held);
            }
            None => {
                piece_size.on_failure();
                tokio::time::sleep(RECONNECT).await;
            }
        }
        if !sending.is_done() && sending.is_stalled(queue.clock().now()) {
            log::warn!(
                "control: a transfer of {} bytes to {} made no progress for {:?} and is given up",
                sending.total(),
                line.address(),
                transfer::STALL_TIMEOUT
            );
            return false;
        }
    }
    true
}

async fn send_piece(line: &Line, sending: &Sending, bytes: usize, term: u64) -> Option<PieceReply> {
    let client = line.client().await?;
    match client.piece(sending.piece(bytes, term)).await {
        Ok(reply) => Some(reply),
        Err(e) => {
            log::debug!("control: replica at {} did not take a piece: {e}", line.address());
            if !rpc::is_answer(&e) {
                line.drop_client().await;
            }
            None
        }
    }
}

/// Returns the longest time for a call with so many bytes.
fn timeout_for(bytes: usize) -> Duration {
    match bytes {
        0 => CALL_TIMEOUT,
        _ => COMMIT_TIMEOUT + Duration::from_secs_f64(bytes as f64 / LEAST_RATE),
    }
}

/// A kept connection to a replica.
pub struct Line {
    address: Arc<RwLock<String>>,
    key: Option<Secret>,
    timeout: Duration,
    /// The connection, with the address that it was made to.
    client: Mutex<Option<(String, Arc<WsClient>)>>,
}

impl Line {
    /// Creates a line that connects when first used.
    pub fn new(address: &str, key: Option<Secret>) -> Line {
        Line {
            address: Arc::new(RwLock::new(address.into())),
            key,
            timeout: CALL_TIMEOUT,
            client: Mutex::new(None),
        }
    }

    /// Creates a line of its own to the same replica, wherever that moves.
    pub fn sibling(&self) -> Line {
        self.for_bytes(0)
    }

    /// Creates a line as [`Line::sibling`] for one call with so many bytes, which may last as long as
    /// these take, and until the leader knows the outcome.
    pub fn for_bytes(&self, bytes: usize) -> Line {
        Line {
            address: self.address.clone(),
            key: self.key.clone(),
            timeout: timeout_for(bytes),
            client: Mutex::new(None),
        }
    }

    /// Returns the RPC address of the replica.
    pub fn address(&self) -> String {
        self.address.read().clone()
    }

    /// Notes where the replica is now; returns whether that is news.
    pub fn set_address(&self, address: &str) -> bool {
        let mut now = self.address.write();
        let moved = *now != address;
        if moved {
            *now = address.into();
        }
        moved
    }

    /// Returns the client, connecting first where needed.
    pub async fn client(&self) -> Option<Arc<WsClient>> {
        let address = self.address();
        let mut slot = self.client.lock().await;
        let kept = slot.as_ref().filter(|(at, c)| *at == address && c.is_connected());
        if let Some((_, client)) = kept {
            return Some(client.clone());
        }
        match rpc::connect(&address, self.key.as_ref(), self.timeout).await {
            Ok(client) => {
                let client = Arc::new(client);
                *slot = Some((address, client.clone()));
                Some(client)
            }
            Err(e) => {
                log::debug!("control: {e}");
                None
            }
        }
    }

    /// Drops the connection, so that the next call makes a new one.
    pub async fn drop_client(&self) {
        *self.client.lock().await = None;
    }
}
