//! Connections to the other replicas, and the tasks that send them messages of the replicated log.

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

/// Timeout of a call with short messages or with one piece of a long message. The size of such a
/// call is bounded.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Lowest throughput in bytes per second that the timeout of a large call allows for. A seventh of
/// the thinnest links to allow for (340 KB a second), which carry other traffic too.
const MIN_THROUGHPUT: f64 = 50_000.0;
/// Delay before the next attempt to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Sends messages to the other replicas.
#[derive(Clone, Default)]
pub struct Peers {
    own: u64,
    queues: BTreeMap<u64, Arc<Queue>>,
    connections: BTreeMap<u64, Arc<ReplicaConnection>>,
    metrics: Metrics,
    /// Sending tasks, aborted when the last clone is dropped.
    _tasks: Arc<JoinSet<()>>,
}

impl Peers {
    /// Starts the tasks that send from replica `own` to each of the others.
    pub fn start(
        own: u64,
        others: &BTreeMap<u64, Arc<ReplicaConnection>>,
        metrics: Metrics,
    ) -> Peers {
        let mut queues = BTreeMap::new();
        let mut tasks = JoinSet::new();
        for (id, connection) in others {
            let queue = Arc::new(Queue::new(metrics.clone()));
            tasks.spawn(send_short(connection.clone(), queue.clone()));
            tasks.spawn(send_long(own, connection.sibling(), queue.clone()));
            queues.insert(*id, queue);
        }
        Peers { own, queues, connections: others.clone(), metrics, _tasks: Arc::new(tasks) }
    }

    /// Records the current address of a replica.
    pub fn set_address(&self, id: u64, address: &str) {
        if self.connections.get(&id).is_some_and(|connection| connection.set_address(address)) {
            log::info!("control: replica {id} is at {address}");
        }
    }

    /// Queues messages. Drops those that exceed the capacity of a queue.
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

    /// Returns the index of the snapshot that is being sent to a replica.
    pub fn snapshot_index(&self, to: u64) -> Option<u64> {
        self.queues.get(&to)?.snapshot_index()
    }

    /// Returns the lowest index of the snapshots that are being sent.
    pub fn lowest_snapshot_index(&self) -> Option<u64> {
        self.queues.values().filter_map(|queue| queue.snapshot_index()).min()
    }

    /// Records the leader. Drops queued long messages unless this replica leads: only the leader
    /// sends them.
    pub fn note_leader(&self, leader: Option<u64>) {
        if leader.is_some_and(|leader| leader != self.own) {
            self.queues.values().for_each(|queue| queue.drop_long());
        }
    }
}

async fn send_short(connection: Arc<ReplicaConnection>, queue: Arc<Queue>) {
    loop {
        let messages = queue.next_short().await;
        let Some(client) = connection.client().await else {
            // Queued messages are stale by the time the replica is reachable again.
            queue.finish_short(false);
            queue.drop_short();
            tokio::time::sleep(RECONNECT_DELAY).await;
            continue;
        };
        let sent = client.raft(messages).await;
        queue.finish_short(sent.is_ok());
        if let Err(e) = sent {
            log::debug!(
                "control: sending messages to replica at {} failed: {e}",
                connection.address()
            );
            connection.drop_client().await;
        }
    }
}

/// Sends long messages in pieces, on a separate connection so that short messages never wait for
/// them.
async fn send_long(own: u64, connection: ReplicaConnection, queue: Arc<Queue>) {
    let mut piece_size = PieceSize::default();
    loop {
        let msg = queue.next_long().await;
        let content = match task::spawn_blocking(move || transfer::pack(&msg)).await {
            Ok(content) => content,
            Err(e) => {
                log::error!(
                    "control: a message for replica at {} cannot be packed: {e}",
                    connection.address()
                );
                queue.finish_long(false);
                continue;
            }
        };
        let mut sending = Sending::new(own, rand::random(), content, queue.clock().now());
        let start = Instant::now();
        let delivered = send_pieces(&connection, &queue, &mut sending, &mut piece_size).await;
        let (bytes, address) = (sending.total(), connection.address());
        if delivered {
            log::debug!("control: sent {bytes} bytes to {address} in {:?}", start.elapsed());
        }
        queue.finish_long(delivered);
    }
}

/// Sends the pieces of a transfer. Returns whether all were delivered.
async fn send_pieces(
    connection: &ReplicaConnection,
    queue: &Queue,
    sending: &mut Sending,
    piece_size: &mut PieceSize,
) -> bool {
    while !sending.is_done() {
        let Some(term) = queue.wants_long(sending.share_left()) else {
            log::debug!("control: a transfer to {} is obsolete", connection.address());
            return false;
        };
        let sent = Instant::now();
        match send_piece(connection, sending, piece_size.bytes(), term).await {
            Some(reply) => {
                piece_size.on_reply(sent.elapsed());
                sending.on_reply(queue.clock().now(), reply.held);
            }
            None => {
                piece_size.on_failure();
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
        }
        if !sending.is_done() && sending.is_stalled(queue.clock().now()) {
            log::warn!(
                "control: a transfer of {} bytes to {} made no progress for {:?} and is aborted",
                sending.total(),
                connection.address(),
                transfer::STALL_TIMEOUT
            );
            return false;
        }
    }
    true
}

async fn send_piece(
    connection: &ReplicaConnection,
    sending: &Sending,
    bytes: usize,
    term: u64,
) -> Option<PieceReply> {
    let client = connection.client().await?;
    match client.piece(sending.piece(bytes, term)).await {
        Ok(reply) => Some(reply),
        Err(e) => {
            log::debug!(
                "control: sending a piece to replica at {} failed: {e}",
                connection.address()
            );
            if !rpc::is_answer(&e) {
                connection.drop_client().await;
            }
            None
        }
    }
}

/// Returns the timeout of a call with a payload of `bytes`.
fn timeout_for(bytes: usize) -> Duration {
    match bytes {
        0 => CALL_TIMEOUT,
        _ => COMMIT_TIMEOUT + Duration::from_secs_f64(bytes as f64 / MIN_THROUGHPUT),
    }
}

/// A connection to a replica that is kept open between calls.
pub struct ReplicaConnection {
    address: Arc<RwLock<String>>,
    key: Option<Secret>,
    timeout: Duration,
    /// The open connection and the address that it leads to.
    client: Mutex<Option<(String, Arc<WsClient>)>>,
    /// When the open connection was opened.
    opened_at: RwLock<Option<Instant>>,
}

impl ReplicaConnection {
    /// Creates a connection that is opened by the first call.
    pub fn new(address: &str, key: Option<Secret>) -> ReplicaConnection {
        ReplicaConnection {
            address: Arc::new(RwLock::new(address.into())),
            key,
            timeout: CALL_TIMEOUT,
            client: Mutex::new(None),
            opened_at: RwLock::new(None),
        }
    }

    /// Creates a separate connection to the same replica. Both follow changes of its address.
    pub fn sibling(&self) -> ReplicaConnection {
        self.for_bytes(0)
    }

    /// Creates a connection like [`ReplicaConnection::sibling`] whose timeout covers the transfer
    /// of `bytes` and the commit on the leader.
    pub fn for_bytes(&self, bytes: usize) -> ReplicaConnection {
        ReplicaConnection {
            address: self.address.clone(),
            key: self.key.clone(),
            timeout: timeout_for(bytes),
            client: Mutex::new(None),
            opened_at: RwLock::new(None),
        }
    }

    /// Returns the RPC address of the replica.
    pub fn address(&self) -> String {
        self.address.read().clone()
    }

    /// Records the current address of the replica. Returns whether it changed.
    pub fn set_address(&self, address: &str) -> bool {
        let mut current = self.address.write();
        let changed = *current != address;
        if changed {
            *current = address.into();
        }
        changed
    }

    /// Returns the client. Connects first if there is no open connection to the current address.
    pub async fn client(&self) -> Option<Arc<WsClient>> {
        let address = self.address();
        let mut slot = self.client.lock().await;
        let open = slot.as_ref().filter(|(at, c)| *at == address && c.is_connected());
        if let Some((_, client)) = open {
            return Some(client.clone());
        }
        match rpc::connect(&address, self.key.as_ref(), self.timeout).await {
            Ok(client) => {
                let client = Arc::new(client);
                *slot = Some((address, client.clone()));
                *self.opened_at.write() = Some(Instant::now());
                Some(client)
            }
            Err(e) => {
                log::debug!("control: {e}");
                None
            }
        }
    }

    /// Returns the age of the open connection.
    pub fn age(&self) -> Option<Duration> {
        self.opened_at.read().map(|at| at.elapsed())
    }

    /// Closes the connection. The next call opens a new one.
    pub async fn drop_client(&self) {
        *self.client.lock().await = None;
        *self.opened_at.write() = None;
    }
}
