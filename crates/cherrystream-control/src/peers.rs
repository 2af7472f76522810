//! Connections to the other replicas, and the tasks that send them messages of the replicated log.

use crate::handle::COMMIT_TIMEOUT;
use crate::metrics::Metrics;
use crate::queue::Queue;
use cherrystream_core::transfer::{self, PieceSize, Sending};
use cherrystream_net::key::Secret;
use cherrystream_net::managed_client::{
    ConnectionMetrics, KEEP_ALIVE, ManagedClient, ManagedClientOptions,
};
use cherrystream_net::rpc::{self, Client, ControlRpcClient};
use cherrystream_schema::messages::{PieceReply, RaftMessage};
use jsonrpsee::core::client::Error as ClientError;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
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
            tasks.spawn(send_long(own, connection.for_transfers(), queue.clone()));
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
        let Some(client) = connection.any_client().await else {
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
            close_unless_answer(&client, &e);
        }
    }
}

/// Closes the connection of a call that failed without an answer.
fn close_unless_answer(client: &Client, e: &ClientError) {
    if !rpc::is_answer(e) {
        client.activity().abort();
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
            close_unless_answer(&client, &e);
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
    address: Arc<watch::Sender<String>>,
    opts: ManagedClientOptions,
    client: ManagedClient,
}

impl ReplicaConnection {
    /// Creates a connection that is opened by the first call.
    pub fn new(address: &str, key: Option<Secret>) -> ReplicaConnection {
        let opts = ManagedClientOptions {
            key,
            call_timeout: CALL_TIMEOUT,
            ping_interval: rpc::PING_INTERVAL,
            keep_alive: Some(KEEP_ALIVE),
            metrics: ConnectionMetrics::default(),
        };
        ReplicaConnection::with(Arc::new(watch::Sender::new(address.into())), opts)
    }

    fn with(address: Arc<watch::Sender<String>>, opts: ManagedClientOptions) -> ReplicaConnection {
        let client = ManagedClient::new(address.subscribe(), opts.clone());
        ReplicaConnection { address, opts, client }
    }

    /// Creates a separate connection to the same replica. Both follow changes of its address.
    pub fn sibling(&self) -> ReplicaConnection {
        ReplicaConnection::with(self.address.clone(), self.opts.clone())
    }

    /// Creates a connection like [`ReplicaConnection::sibling`] whose timeout covers the transfer
    /// of `bytes` and the commit on the leader.
    pub fn for_bytes(&self, bytes: usize) -> ReplicaConnection {
        let opts = ManagedClientOptions {
            call_timeout: timeout_for(bytes),
            keep_alive: None,
            ..self.opts.clone()
        };
        ReplicaConnection::with(self.address.clone(), opts)
    }

    /// Creates a connection for long messages. Nothing is received while a piece is sent, so the
    /// timeout of its call detects a silent connection.
    fn for_transfers(&self) -> ReplicaConnection {
        let opts = ManagedClientOptions { keep_alive: None, ..self.opts.clone() };
        ReplicaConnection::with(self.address.clone(), opts)
    }

    /// Returns the RPC address of the replica.
    pub fn address(&self) -> String {
        self.address.borrow().clone()
    }

    /// Records the current address of the replica. Returns whether it changed.
    pub fn set_address(&self, address: &str) -> bool {
        self.address.send_if_modified(|current| {
            let changed = *current != address;
            if changed {
                *current = address.into();
            }
            changed
        })
    }

    /// Returns a client to call, or `None` if the replica is unreachable.
    pub async fn client(&self) -> Option<Arc<Client>> {
        self.client.client().await
    }

    /// Like [`ReplicaConnection::client`], but returns a silent connection too. For messages that
    /// may be lost.
    pub async fn any_client(&self) -> Option<Arc<Client>> {
        self.client.any_client().await
    }

    /// Returns the age of the open connection.
    pub fn age(&self) -> Option<Duration> {
        self.client.age()
    }
}
