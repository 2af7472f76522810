//! The RPC interface of a control replica, its client, and the check of the shared key.

use crate::activity::{Activity, Observed};
use crate::body::BoxError;
use crate::errors::{self, Result};
use crate::key::{self, Secret};
use crate::tcp;
use cherrystream_schema::messages;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::client::Error as ClientError;
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::server::{HttpBody, HttpRequest, HttpResponse};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::ws_client::{PingConfig, WsClient, WsClientBuilder};
use messages::{
    Change, ChunkReply, ChunkRequest, ClaimReply, ClaimRequest, DaemonStatus, HostTally, Intent,
    IntentReply, JoinReply, JoinRequest, OperatorAnswer, OperatorCall, Piece, PieceReply,
    RaftMessage, ReleaseRequest, Revision, RouteOrderReply, SyncReply, SyncRequest,
};
use std::future::Future;
use std::ops::Deref;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tower::{Layer, Service};

/// Maximum size of a message in bytes. Admits a snapshot of the whole control state.
pub const MESSAGE_BYTES: u32 = 512 << 20;
/// Maximum number of concurrent calls per client.
const MAX_CONCURRENT_CALLS: usize = 4_096;
/// Error code of a call to a replica that is not the leader.
const NOT_LEADER: i32 = -32_001;
/// Error code of a call to a control group without a quorum.
const UNAVAILABLE: i32 = -32_002;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval of WebSocket pings. Their replies show that both directions of a connection work.
const PING_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest time without a complete message after which a connection is closed. Far longer than the
/// transfer of a message, since an incomplete one does not count.
const MIN_INACTIVITY_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval of pings on a connection that its client does not watch.
const IDLE_PING_INTERVAL: Duration = Duration::from_secs(10);

/// RPC methods of a control replica.
#[rpc(client, server, namespace = "cherrystream", namespace_separator = ".")]
pub trait ControlRpc {
    /// Delivers messages of the replicated log.
    #[method(name = "raft")]
    async fn raft(&self, messages: Vec<RaftMessage>) -> RpcResult<()>;

    /// Handles the heartbeat of a daemon. Returns an update as soon as there is one, or when the
    /// wait ends.
    #[method(name = "sync")]
    async fn sync(&self, req: SyncRequest) -> RpcResult<SyncReply>;

    /// Records that an attempt of an unrepeatable request is about to be sent.
    #[method(name = "claim")]
    async fn claim(&self, req: ClaimRequest) -> RpcResult<ClaimReply>;

    /// Releases a key whose attempt was proven not to have been executed.
    #[method(name = "release")]
    async fn release(&self, req: ReleaseRequest) -> RpcResult<()>;

    /// Handles an operator call that another replica has authenticated.
    #[method(name = "operator")]
    async fn operator(&self, call: OperatorCall) -> RpcResult<OperatorAnswer>;

    /// Returns a log index that covers every change accepted before the call.
    #[method(name = "read_index")]
    async fn read_index(&self) -> RpcResult<u64>;

    /// Returns the base of a command that is received now.
    #[method(name = "command_base")]
    async fn command_base(&self) -> RpcResult<Revision>;

    /// Returns the daemons that send heartbeats to this replica.
    #[method(name = "reach")]
    async fn reach(&self) -> RpcResult<Vec<DaemonStatus>>;

    /// Handles the request of a replica for a member slot of the group.
    #[method(name = "join")]
    async fn join(&self, req: JoinRequest) -> RpcResult<JoinReply>;

    /// Replaces the route table by a packed one.
    #[method(name = "replace_routes")]
    async fn replace_routes(&self, number: u64, packed: String) -> RpcResult<RouteOrderReply>;

    /// Applies a packed patch to the route table, if the current table is its base.
    #[method(name = "patch_routes")]
    async fn patch_routes(
        &self,
        base: u64,
        number: u64,
        packed: String,
    ) -> RpcResult<RouteOrderReply>;

    /// Commits changes of the shared state that do not originate from an operator.
    #[method(name = "share")]
    async fn share(&self, changes: Vec<Change>) -> RpcResult<()>;

    /// Commits an intent, unless its items were commanded after the base revision.
    #[method(name = "apply_intent")]
    async fn apply_intent(&self, intent: Intent, base: Revision) -> RpcResult<IntentReply>;

    /// Delivers request counts of daemons during a roll-out.
    #[method(name = "tally")]
    async fn tally(&self, words: Vec<HostTally>) -> RpcResult<()>;

    /// Delivers a piece of a long message of the replicated log.
    #[method(name = "piece")]
    async fn piece(&self, piece: Piece) -> RpcResult<PieceReply>;

    /// Returns a chunk of an update that was offered to a daemon.
    #[method(name = "chunk")]
    async fn chunk(&self, req: ChunkRequest) -> RpcResult<ChunkReply>;
}

/// Returns the error of a replica that is not the leader, with the leader's RPC address if known.
pub fn not_leader(leader: Option<&str>) -> ErrorObjectOwned {
    let text = "this replica is not the leader; call the leader";
    ErrorObjectOwned::owned(NOT_LEADER, text, leader)
}

/// Returns the error of a control group without a quorum.
pub fn unavailable(what: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(UNAVAILABLE, what, None::<()>)
}

/// Returns the leader's RPC address from an error, if it contains one.
pub fn leader_in(e: &ClientError) -> Option<String> {
    let ClientError::Call(object) = e else { return None };
    if object.code() != NOT_LEADER {
        return None;
    }
    serde_json::from_str(object.data()?.get()).ok()
}

/// Returns whether an error is a response of the replica, not a failure of the connection.
pub fn is_answer(e: &ClientError) -> bool {
    matches!(e, ClientError::Call(_))
}

/// A client of a control replica and the activity of its connection.
#[derive(Debug)]
pub struct Client {
    client: WsClient,
    activity: Arc<Activity>,
}

impl Client {
    /// Returns the activity of the connection.
    pub fn activity(&self) -> &Arc<Activity> {
        &self.activity
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        // The library's task that sends does not end while it waits for room in the send buffer.
        self.activity.abort();
    }
}

impl Deref for Client {
    type Target = WsClient;

    fn deref(&self) -> &WsClient {
        &self.client
    }
}

/// Settings of a connection to a control replica.
#[derive(Clone, Copy)]
pub struct ConnectOptions<'a> {
    /// Key shared by the processes of the system.
    pub key: Option<&'a Secret>,
    /// Time after which a call fails.
    pub call_timeout: Duration,
    /// Interval of WebSocket pings; `None` for pings that only show the server that its client is
    /// there.
    pub ping_interval: Option<Duration>,
}

/// Connects to a control replica. Calls on the connection fail after `timeout`.
///
/// # Errors
///
/// Fails if the replica is unreachable or rejects the key.
pub async fn connect(address: &str, key: Option<&Secret>, timeout: Duration) -> Result<Client> {
    let ping_interval = Some(PING_INTERVAL);
    connect_with(address, ConnectOptions { key, call_timeout: timeout, ping_interval }).await
}

/// Connects to a control replica.
///
/// # Errors
///
/// Fails if the replica is unreachable or rejects the key.
pub async fn connect_with(address: &str, opts: ConnectOptions<'_>) -> Result<Client> {
    let activity = Activity::new();
    let builder = client_builder(opts);
    let connecting = async {
        let stream = tcp::connect(address).await.map_err(|e| errors::connect(address, e))?;
        let stream = Observed::new(stream, activity.clone());
        let client = builder.build_with_stream(format!("ws://{address}"), stream).await;
        client.map_err(|e| errors::connect(address, e))
    };
    match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(client) => Ok(Client { client: client?, activity }),
        Err(_) => Err(errors::connect(address, "the connection timed out")),
    }
}

fn client_builder(opts: ConnectOptions<'_>) -> WsClientBuilder {
    let mut headers = HeaderMap::new();
    if let Some(value) = opts.key.and_then(|k| HeaderValue::from_str(&k.bearer()).ok()) {
        headers.insert(header::AUTHORIZATION, value);
    }
    let builder = WsClientBuilder::new()
        .max_request_size(MESSAGE_BYTES)
        .max_response_size(MESSAGE_BYTES)
        .max_concurrent_requests(MAX_CONCURRENT_CALLS)
        .request_timeout(opts.call_timeout)
        .connection_timeout(CONNECT_TIMEOUT)
        .set_headers(headers);
    let ping_interval = opts.ping_interval.unwrap_or(IDLE_PING_INTERVAL);
    // Pings and their replies wait behind a message that is being transferred.
    let inactivity_timeout = MIN_INACTIVITY_TIMEOUT.max(opts.call_timeout);
    let pings = PingConfig::new().ping_interval(ping_interval).inactive_limit(inactivity_timeout);
    builder.enable_ws_ping(pings)
}

/// Middleware that rejects requests without the shared key.
#[derive(Clone)]
pub struct KeyLayer {
    key: Option<Secret>,
    on_refusal: std::sync::Arc<dyn Fn() + Send + Sync>,
}

impl KeyLayer {
    /// Creates the layer. Without a key, every request passes.
    pub fn new(key: Option<Secret>, on_refusal: impl Fn() + Send + Sync + 'static) -> KeyLayer {
        KeyLayer { key, on_refusal: std::sync::Arc::new(on_refusal) }
    }
}

impl<S> Layer<S> for KeyLayer {
    type Service = KeyService<S>;

    fn layer(&self, inner: S) -> KeyService<S> {
        KeyService { layer: self.clone(), inner }
    }
}

/// The service created by [`KeyLayer`].
#[derive(Clone)]
pub struct KeyService<S> {
    layer: KeyLayer,
    inner: S,
}

impl<S> Service<HttpRequest> for KeyService<S>
where
    S: Service<HttpRequest, Response = HttpResponse, Error = BoxError>,
    S::Future: Send + 'static,
{
    type Response = HttpResponse;
    type Error = BoxError;
    type Future = Pin<Box<dyn Future<Output = std::result::Result<HttpResponse, BoxError>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<std::result::Result<(), BoxError>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, req: Request<HttpBody>) -> Self::Future {
        if key::admits(self.layer.key.as_ref(), req.headers()) {
            return Box::pin(self.inner.call(req));
        }
        (self.layer.on_refusal)();
        let mut res = Response::new(HttpBody::from("the shared key is missing or wrong"));
        *res.status_mut() = StatusCode::UNAUTHORIZED;
        Box::pin(async move { Ok(res) })
    }
}
