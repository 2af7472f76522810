//! Connections to the other replicas, and the tasks that send them messages of the replicated log.

use crate::handle::COMMIT_TIMEOUT;
use crate::metrics::Metrics;
use crate::queue::Queue;
use cherrystream_core::keep_alive::{self, MIN_THROUGHPUT};
use cherrystream_core::transfer::{self, PieceSize, Sending};
use cherrystream_net::connection_metrics::ConnectionFamilies;
use cherrystream_net::key::Secret;
use cherrystream_net::managed_client::{CALL_KEEP_ALIVE, ManagedClient, ManagedClientOptions};
use cherrystream_net::rpc::{self, Client, ControlRpcClient};
use cherrystream_schema::messages::{PieceReply, RaftMessage};
use jsonrpsee::core::client::Error as ClientError;
use snafu::Snafu;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::{self, JoinSet};

/// Timeout of a call with short messages or with one piece of a long message. The size of such a
/// call is bounded.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Largest payload in bytes of a call on a connection that short calls share. At the lowest
/// throughput, its transfer takes a third of `CALL_TIMEOUT`.
const MAX_SHARED_CALL_BYTES: usize = 25_000;
/// Label of connections that carry short messages of the replicated log.
const LOG_TRAFFIC: &str = "log";
/// Label of connections that carry heartbeats while entries are sent.
const HEARTBEAT_TRAFFIC: &str = "heartbeat";
/// Label of connections that carry long messages of the replicated log.
const TRANSFER_TRAFFIC: &str = "transfer";
/// Label of connections that carry calls.
const CALL_TRAFFIC: &str = "call";
/// Label of connections that carry one large call each.
const LARGE_CALL_TRAFFIC: &str = "large-call";
/// Delay before the next attempt to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Detection of silent connections for messages of the log. They are answered at once, so the
/// timeout needs no pings. The next heartbeat and the timeout end before a leader misses its quorum
/// (700 ms at least).
const LOG_KEEP_ALIVE: keep_alive::Options = keep_alive::Options {
    ping_interval: Duration::from_millis(1_000),
    timeout: Duration::from_millis(400),
    max_extension: Duration::from_millis(300),
    ..CALL_KEEP_ALIVE
};
/// Detection of silent connections for long messages. A piece is answered at once, after its
/// transfer; between two messages there is nothing to detect.
const TRANSFER_KEEP_ALIVE: keep_alive::Options = keep_alive::Options {
    ping_interval: Duration::from_secs(10),
    timeout: Duration::from_millis(400),
    ..CALL_KEEP_ALIVE
};

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
            tasks.spawn(send_short(connection.for_log(), queue.clone()));
            tasks.spawn(send_heartbeats(connection.for_heartbeats(), queue.clone()));
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

    /// Returns a description of what is queued for a replica and in flight, for logs.
    pub fn describe(&self, to: u64) -> String {
        self.queues.get(&to).map(|queue| queue.describe()).unwrap_or_default()
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

async fn send_short(connection: ReplicaConnection, queue: Arc<Queue>) {
    loop {
        let messages = queue.next_short().await;
        let Some(client) = connection.client_even_if_silent().await else {
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

/// Sends heartbeats that would wait for entries, on a separate connection. The entries of one call
/// take a third of a second on a slow link, and longer when they are sent again after a silence.
async fn send_heartbeats(connection: ReplicaConnection, queue: Arc<Queue>) {
    loop {
        let heartbeat = queue.next_overtaking_heartbeat().await;
        let Some(client) = connection.client_even_if_silent().await else {
            tokio::time::sleep(RECONNECT_DELAY).await;
            continue;
        };
        if let Err(e) = client.raft(vec![heartbeat]).await {
            log::debug!(
                "control: sending a heartbeat to replica at {} failed: {e}",
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

/// Error of a call to a replica.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The replica is unreachable; it has not received the call.
    #[snafu(display("the replica at {address} is unreachable"))]
    Unreachable {
        /// RPC address of the replica.
        address: String,
    },
    /// The call failed.
    #[snafu(transparent)]
    Failed {
        /// Why it failed.
        source: ClientError,
    },
}

/// A connection to a replica that is kept open between calls.
pub struct ReplicaConnection {
    address: Arc<watch::Sender<String>>,
    families: ConnectionFamilies,
    opts: ManagedClientOptions,
    client: ManagedClient,
}

impl ReplicaConnection {
    /// Creates a connection for calls. The first call opens it.
    pub fn new(address: &str, key: Option<Secret>, metrics: &Metrics) -> ReplicaConnection {
        let address = Arc::new(watch::Sender::new(address.into()));
        let families = metrics.connections.clone();
        let opts = ManagedClientOptions {
            key,
            call_timeout: CALL_TIMEOUT,
            keep_alive: Some(CALL_KEEP_ALIVE),
            metrics: families.metrics(CALL_TRAFFIC),
        };
        let client = ManagedClient::new(address.subscribe(), opts.clone());
        ReplicaConnection { address, families, opts, client }
    }

    fn with(&self, traffic: &'static str, opts: ManagedClientOptions) -> ReplicaConnection {
        let opts = ManagedClientOptions { metrics: self.families.metrics(traffic), ..opts };
        let client = ManagedClient::new(self.address.subscribe(), opts.clone());
        let (address, families) = (self.address.clone(), self.families.clone());
        ReplicaConnection { address, families, opts, client }
    }

    /// Creates a separate connection for calls to the same replica. Both follow changes of its
    /// address.
    pub fn sibling(&self) -> ReplicaConnection {
        self.with(CALL_TRAFFIC, self.opts.clone())
    }

    /// Creates a connection like [`ReplicaConnection::sibling`] whose timeouts cover the transfer
    /// of `bytes` and the commit on the leader.
    pub fn for_bytes(&self, bytes: usize) -> ReplicaConnection {
        let transfer = Duration::from_secs_f64(bytes as f64 / MIN_THROUGHPUT);
        let max_extension = CALL_KEEP_ALIVE.max_extension.max(transfer);
        let opts = ManagedClientOptions {
            call_timeout: COMMIT_TIMEOUT + transfer,
            keep_alive: Some(keep_alive::Options { max_extension, ..CALL_KEEP_ALIVE }),
            ..self.opts.clone()
        };
        self.with(LARGE_CALL_TRAFFIC, opts)
    }

    /// Creates a connection for messages of the log.
    fn for_log(&self) -> ReplicaConnection {
        let opts = ManagedClientOptions { keep_alive: Some(LOG_KEEP_ALIVE), ..self.opts.clone() };
        self.with(LOG_TRAFFIC, opts)
    }

    /// Creates a connection for heartbeats.
    fn for_heartbeats(&self) -> ReplicaConnection {
        let opts = ManagedClientOptions { keep_alive: Some(LOG_KEEP_ALIVE), ..self.opts.clone() };
        self.with(HEARTBEAT_TRAFFIC, opts)
    }

    /// Creates a connection for long messages.
    fn for_transfers(&self) -> ReplicaConnection {
        let opts =
            ManagedClientOptions { keep_alive: Some(TRANSFER_KEEP_ALIVE), ..self.opts.clone() };
        self.with(TRANSFER_TRAFFIC, opts)
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

    /// Calls the replica. Sends a call whose connection is replaced again on the new one, so it must
    /// be idempotent.
    ///
    /// # Errors
    ///
    /// Fails if the replica is unreachable or does not answer, or with its error.
    pub async fn call<T, F>(&self, mut call: impl FnMut(Arc<Client>) -> F) -> Result<T, CallError>
    where
        F: Future<Output = Result<T, ClientError>>,
    {
        let unreachable = || CallError::Unreachable { address: self.address() };
        let client = self.client().await.ok_or_else(unreachable)?;
        let e = match call(client.clone()).await {
            Err(e) if !rpc::is_answer(&e) => e,
            answer => return Ok(answer?),
        };
        match self.client().await {
            Some(replacement) if !Arc::ptr_eq(&client, &replacement) => {
                Ok(call(replacement).await?)
            }
            _ => Err(e.into()),
        }
    }

    /// Like [`ReplicaConnection::call`], for calls with a payload of `bytes`. A large one uses a
    /// connection of its own, so that short calls do not wait for it.
    ///
    /// # Errors
    ///
    /// Fails if the replica is unreachable or does not answer, or with its error.
    pub async fn call_with_bytes<T, F>(
        &self,
        bytes: usize,
        call: impl FnMut(Arc<Client>) -> F,
    ) -> Result<T, CallError>
    where
        F: Future<Output = Result<T, ClientError>>,
    {
        match bytes {
            0..=MAX_SHARED_CALL_BYTES => self.call(call).await,
            _ => self.for_bytes(bytes).call(call).await,
        }
    }

    /// Returns a client to call, or `None` if the replica is unreachable.
    pub async fn client(&self) -> Option<Arc<Client>> {
        self.client.client().await
    }

    /// Like [`ReplicaConnection::client`], but returns a silent connection too. For messages that
    /// may be lost.
    pub async fn client_even_if_silent(&self) -> Option<Arc<Client>> {
        self.client.client_even_if_silent().await
    }
}
