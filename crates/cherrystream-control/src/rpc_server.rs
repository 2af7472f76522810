//! RPC server of a control replica, called by daemons and by the other replicas.

use crate::daemon_registry::DaemonRegistry;
use crate::distribution::{Distribution, PendingUpdate};
use crate::errors::{Error, Result};
use crate::handle::{Event, Handle, NoResult};
use crate::incoming_transfers::IncomingTransfers;
use crate::leader_client;
use crate::metrics::Metrics;
use crate::operators::Operators;
use crate::peers::{CallError, ReplicaConnection};
use crate::registrar::Registrar;
use crate::rollouts::Rollouts;
use crate::rpc_listener;
use cherrystream_core::instances;
use cherrystream_core::ledger;
use cherrystream_core::raft::JoinDecision;
use cherrystream_core::replica_choice;
use cherrystream_core::state::Applied;
use cherrystream_core::units::Revision;
use cherrystream_net::clock;
use cherrystream_net::key::Secret;
use cherrystream_net::rpc::{
    self, Client, ControlRpcClient, ControlRpcServer, KeyLayer, MESSAGE_BYTES,
};
use cherrystream_net::tcp;
use cherrystream_schema::messages;
use http::Request;
use hyper::body::Incoming;
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::{self, HttpBody, Methods, Server, ServerConfig, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use messages::{
    Change, ChunkReply, ChunkRequest, ClaimReply, ClaimRequest, Command, DaemonStatus, HostRecord,
    HostTally, Instance, Intent, IntentReply, JoinReply, JoinRequest, OperatorAnswer, OperatorCall,
    Piece, PieceReply, RaftMessage, ReleaseRequest, RouteOrderReply, SyncReply, SyncRequest,
};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task;
use tower::ServiceExt;

/// Maximum number of connections: all daemons connect to one replica when the others are
/// unreachable.
const MAX_CONNECTIONS: u32 = 4_096;
/// Longest wait for a change that a heartbeat may request.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// Time between two checks for whether a daemon may fetch an update that another daemon is
/// fetching.
const RECHECK_INTERVAL: Duration = Duration::from_millis(80);
/// Longest wait until a committed registration is applied on this replica. Far shorter than the
/// wait of whoever reported it.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(300);
/// Retry delay for a claim that is refused because the ledger is full.
const LEDGER_FULL_RETRY_MS: u64 = 5_000;

/// Limits of the ledger of idempotency keys.
#[derive(Clone, Copy, Debug)]
pub struct LedgerLimits {
    /// Time for which a key is kept, in milliseconds.
    pub window_ms: u64,
    /// Maximum number of keys.
    pub max_keys: u64,
}

/// Handles RPC calls of daemons and replicas.
#[derive(Clone)]
pub struct RpcServer {
    /// Handle to the replicated log.
    pub handle: Handle,
    /// Newest revision that is announced to daemons.
    pub released: watch::Receiver<Revision>,
    /// Connections to the other replicas.
    pub connections: Arc<BTreeMap<u64, Arc<ReplicaConnection>>>,
    /// Daemons that send heartbeats to this replica.
    pub reach: Arc<DaemonRegistry>,
    /// Selects and encodes updates for daemons.
    pub distribution: Arc<Distribution>,
    /// Handles operator calls.
    pub operators: Operators,
    /// Commits registrations of daemons and instances.
    pub registrar: Registrar,
    /// Roll-outs in progress.
    pub rollouts: Rollouts,
    /// Long messages that are being received in pieces.
    pub arrivals: IncomingTransfers,
    /// Limits of the ledger of idempotency keys.
    pub limits: LedgerLimits,
    /// Failure domain of this host; `None` if the set of replicas is fixed.
    pub failure_domain: Option<String>,
    /// Metrics of the control role.
    pub metrics: Metrics,
}

/// Serves the RPC methods of control on an address.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub async fn serve(
    methods: impl ControlRpcServer,
    address: &str,
    key: Option<Secret>,
    metrics: Metrics,
) -> Result<ServerHandle> {
    let layer = KeyLayer::new(key, move || metrics.refuse("wrong-key"));
    let cfg = ServerConfig::builder()
        .max_request_body_size(MESSAGE_BYTES)
        .max_response_body_size(MESSAGE_BYTES)
        .max_connections(MAX_CONNECTIONS)
        .build();
    let failed = |source| Error::Rpc { address: address.into(), source };
    let listener = tcp::listen(address).await.map_err(failed)?;
    let service = Server::builder()
        .set_config(cfg)
        .set_http_middleware(tower::ServiceBuilder::new().layer(layer))
        .to_service_builder();
    let methods = Methods::from(methods.into_rpc());
    let (stop, handle) = server::stop_channel();
    let accepting = rpc_listener::run(listener, stop, move |stream, stop| {
        let service = service.clone().build(methods.clone(), stop.clone());
        let service = service.map_request(|req: Request<Incoming>| req.map(HttpBody::new));
        server::serve_with_graceful_shutdown(stream, service, stop.shutdown())
    });
    task::spawn(accepting);
    Ok(handle)
}

impl RpcServer {
    /// Starts to serve on an address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub async fn serve(self, address: &str, key: Option<Secret>) -> Result<ServerHandle> {
        let metrics = self.metrics.clone();
        serve(self, address, key, metrics).await
    }

    fn not_leader(&self, leader: Option<u64>) -> ErrorObjectOwned {
        let address =
            leader.and_then(|id| self.connections.get(&id)).map(|connection| connection.address());
        self.metrics.refuse("not-leader");
        rpc::not_leader(address.as_deref())
    }

    fn no_result(&self, e: NoResult) -> ErrorObjectOwned {
        match e {
            NoResult::NotLeader { leader } => self.not_leader(leader),
            NoResult::Unknown => {
                self.metrics.refuse("no-quorum");
                rpc::unavailable(&e.to_string())
            }
        }
    }

    /// Commits the registration of a daemon and of its backend server instance, where they are new
    /// or have changed. Returns whether the instance was registered.
    async fn register(&self, req: &SyncRequest) -> Result<bool, ErrorObjectOwned> {
        let record = &req.record;
        let mut changes = Vec::new();
        if self.handle.state.read().shared().hosts.get(&record.host) != Some(record) {
            changes.push(Change::PutHost { record: record.clone() });
        }
        let unregistered = req.instance.as_ref().filter(|i| !self.is_registered(&record.host, i));
        changes.extend(unregistered.map(|instance| {
            let host = record.host.clone();
            Change::PutInstance { host, instance: instance.clone() }
        }));
        if !changes.is_empty() {
            self.registrar.register(changes).await?;
        }
        let Some(instance) = unregistered else { return Ok(false) };
        // The leader has applied the registration; this replica may lag behind.
        let mut status = self.handle.status.clone();
        let applied = status.wait_for(|_| self.is_registered(&record.host, instance));
        let _ = tokio::time::timeout(REGISTRATION_TIMEOUT, applied).await;
        Ok(true)
    }

    fn is_registered(&self, host: &str, instance: &Instance) -> bool {
        let state = self.handle.state.read();
        instances::register(state.shared().instances.get(host), instance).is_none()
    }

    /// Returns the reply to a heartbeat.
    fn sync_reply(&self, req: &SyncRequest, pending: PendingUpdate) -> SyncReply {
        let (update, offer) = match pending {
            PendingUpdate::Nothing | PendingUpdate::Later => (None, None),
            PendingUpdate::Short(update) => (Some(*update), None),
            PendingUpdate::Long(offer) => (None, Some(offer)),
        };
        let state = self.handle.state.read();
        let age = self.handle.state_contact().age();
        let mut control = self.handle.known_replicas();
        if replica_choice::checksum(&control) == req.control_known {
            control.clear();
        }
        SyncReply {
            newest: state.revision(),
            update,
            offer,
            instance: state.shared().instances.get(&req.record.host).cloned(),
            state_age_ms: age.map_or(u64::MAX, |a| a.as_millis().try_into().unwrap_or(u64::MAX)),
            control,
            failure_domain: self.failure_domain.clone(),
        }
    }

    /// Waits until there is an update that the daemon may receive, or until the deadline.
    async fn pending_update(&self, req: &SyncRequest, until: Instant) -> PendingUpdate {
        // A confirmed read also returns changes that are committed and not announced yet.
        if !req.confirmed && *self.released.borrow() <= req.held {
            return PendingUpdate::Nothing;
        }
        loop {
            let now = self.handle.clock.now();
            let state = &self.handle.state;
            let pending = self.distribution.pending_update(now, state, req, &self.reach);
            let waits = match pending {
                PendingUpdate::Later => true,
                // There is a newer revision, and this daemon may not fetch it yet.
                PendingUpdate::Nothing => *self.released.borrow() > req.held,
                PendingUpdate::Short(_) | PendingUpdate::Long(_) => false,
            };
            if !waits || Instant::now() + RECHECK_INTERVAL > until {
                return pending;
            }
            tokio::time::sleep(RECHECK_INTERVAL).await;
        }
    }

    /// Decides on a join request. Confirms a lost slot with a quorum, since the replica discards
    /// its data in response: the decision of a deposed leader could be wrong.
    async fn admit_by_quorum(&self, req: &JoinRequest) -> Result<JoinDecision, NoResult> {
        let decision = self.handle.admit(req.clone()).await?;
        if decision != JoinDecision::SlotLost {
            return Ok(decision);
        }
        self.handle.read().await?;
        self.handle.admit(req.clone()).await
    }

    async fn wait_for_change(&self, held: Revision, until: Instant) {
        let mut released = self.released.clone();
        let changed = released.wait_for(|revision| *revision > held);
        let _ = tokio::time::timeout_at(until.into(), changed).await;
    }

    /// Returns the refusal of a claim whose key is too old or for which the ledger has no free
    /// capacity.
    fn check_claim(&self, req: &ClaimRequest, now_ms: u64) -> Option<ClaimReply> {
        let oldest = now_ms.saturating_sub(self.limits.window_ms);
        if ledger::key_time_ms(&req.key).is_some_and(|made| made < oldest) {
            self.metrics.refuse("key-too-old");
            return Some(ClaimReply::TooOld);
        }
        let state = self.handle.state.read();
        let full = state.ledger().len() as u64 >= self.limits.max_keys;
        if full && !state.ledger().holds(&req.service, &req.key) {
            self.metrics.refuse("ledger-full");
            return Some(ClaimReply::Full { retry_after_ms: LEDGER_FULL_RETRY_MS });
        }
        None
    }
}

#[async_trait]
impl ControlRpcServer for RpcServer {
    async fn raft(&self, messages: Vec<RaftMessage>) -> RpcResult<()> {
        self.arrivals.discard_stalled(self.handle.clock.now());
        let sent = self.handle.events.send(Event::Messages(messages));
        sent.map_err(|_| rpc::unavailable("this replica has stopped"))
    }

    async fn sync(&self, req: SyncRequest) -> RpcResult<SyncReply> {
        self.metrics.heartbeats.inc();
        self.reach.record_heartbeat(self.handle.clock.now(), &req);
        if let Some(tally) = req.tally.clone() {
            let HostRecord { host, incarnation, .. } = req.record.clone();
            self.rollouts.record_counts(HostTally { host, incarnation, tally });
        }
        let wait = if req.looks_in { 0 } else { req.wait_ms };
        let wait = Duration::from_millis(wait).min(MAX_WAIT);
        let mut until = Instant::now() + wait;
        match self.register(&req).await {
            Ok(false) => {}
            // The daemon waits for the confirmation of the registration: replies at once.
            Ok(true) => until = Instant::now(),
            Err(e) => {
                log::debug!("control: registration of host {} failed: {e}", req.record.host);
                return Err(e);
            }
        }
        if req.confirmed {
            let confirmed = self.registrar.confirm_read().await;
            confirmed.map_err(|e| self.no_result(e))?;
            until = Instant::now();
        } else {
            let pending = req.fetching.as_ref().map_or(req.held, |f| f.id.to.max(req.held));
            self.wait_for_change(pending, until).await;
        }
        let pending = self.pending_update(&req, until).await;
        Ok(self.sync_reply(&req, pending))
    }

    async fn claim(&self, req: ClaimRequest) -> RpcResult<ClaimReply> {
        let at_ms = clock::unix_ms();
        if let Some(refusal) = self.check_claim(&req, at_ms) {
            return Ok(refusal);
        }
        let expire_before_ms = at_ms.saturating_sub(self.limits.window_ms);
        let command = Command::Claim { request: req, at_ms, expire_before_ms };
        match self.handle.propose(command).await {
            Ok(Applied::Claimed(reply)) => {
                if matches!(reply, ClaimReply::Granted { .. }) {
                    self.metrics.claims_granted.inc();
                }
                Ok(reply)
            }
            Ok(_) => Err(rpc::unavailable("the outcome of the claim is unknown; send it again")),
            Err(e) => Err(self.no_result(e)),
        }
    }

    async fn release(&self, req: ReleaseRequest) -> RpcResult<()> {
        let released = self.handle.propose(Command::Release { request: req }).await;
        released.map(|_| ()).map_err(|e| self.no_result(e))
    }

    async fn operator(&self, call: OperatorCall) -> RpcResult<OperatorAnswer> {
        Ok(self.operators.answer_here(&call).await)
    }

    async fn read_index(&self) -> RpcResult<u64> {
        self.handle.read().await.map_err(|e| self.no_result(e))
    }

    async fn command_base(&self) -> RpcResult<Revision> {
        Ok(self.handle.state.read().command_base())
    }

    async fn reach(&self) -> RpcResult<Vec<DaemonStatus>> {
        let newest = self.handle.state.read().revision();
        Ok(self.reach.statuses(self.handle.clock.now(), newest))
    }

    async fn join(&self, req: JoinRequest) -> RpcResult<JoinReply> {
        let decision = match self.admit_by_quorum(&req).await {
            Ok(decision) => decision,
            Err(NoResult::NotLeader { leader: Some(leader) }) => {
                let connection =
                    self.connections.get(&leader).ok_or_else(|| self.not_leader(None))?;
                let join = |client: Arc<Client>| {
                    let req = req.clone();
                    async move { client.join(req).await }
                };
                return connection.call(join).await.map_err(|e| match e {
                    CallError::Unreachable { .. } => self.not_leader(None),
                    CallError::Failed { source } => rpc::unavailable(&source.to_string()),
                });
            }
            Err(e) => return Err(self.no_result(e)),
        };
        let addresses = self.handle.addresses.read();
        let addresses = addresses.iter().map(|(id, at)| (id.to_string(), at.address.clone()));
        let replica = match decision {
            JoinDecision::Granted(replica) => Some(replica),
            JoinDecision::Deferred | JoinDecision::SlotLost => None,
        };
        let place_lost = decision == JoinDecision::SlotLost;
        Ok(JoinReply { replica, place_lost, addresses: addresses.collect() })
    }

    async fn replace_routes(&self, number: u64, packed: String) -> RpcResult<RouteOrderReply> {
        let order = Command::ReplaceRoutes { packed, number };
        self.operators.submit_routes_here(order).await.map_err(|e| self.no_result(e))
    }

    async fn patch_routes(
        &self,
        base: u64,
        number: u64,
        packed: String,
    ) -> RpcResult<RouteOrderReply> {
        let order = Command::PatchRoutes { base, number, packed };
        self.operators.submit_routes_here(order).await.map_err(|e| self.no_result(e))
    }

    async fn share(&self, changes: Vec<Change>) -> RpcResult<()> {
        let shared = self.handle.propose(Command::ShareAll { changes }).await;
        shared.map(|_| ()).map_err(|e| self.no_result(e))
    }

    async fn apply_intent(&self, intent: Intent, base: Revision) -> RpcResult<IntentReply> {
        let applied = self.handle.propose(Command::ApplyIntent { intent, base }).await;
        let reply = leader_client::intent_reply(applied.map_err(|e| self.no_result(e))?);
        reply.ok_or_else(|| self.no_result(NoResult::Unknown))
    }

    async fn tally(&self, tallies: Vec<HostTally>) -> RpcResult<()> {
        self.rollouts.on_counts(&self.handle, &tallies);
        Ok(())
    }

    async fn piece(&self, piece: Piece) -> RpcResult<PieceReply> {
        if !self.connections.contains_key(&piece.from) {
            self.metrics.refuse("unknown-replica");
            return Err(rpc::unavailable("the sender is not a replica of this group"));
        }
        let from = piece.from;
        match self.arrivals.receive(self.handle.clock.now(), piece).await {
            Ok(held) => Ok(PieceReply { held }),
            Err(e) => {
                log::debug!("control: a piece from replica {from} is rejected: {e}");
                self.metrics.refuse("bad-piece");
                Ok(PieceReply { held: 0 })
            }
        }
    }

    async fn chunk(&self, req: ChunkRequest) -> RpcResult<ChunkReply> {
        Ok(self.distribution.chunk(self.handle.clock.now(), &req))
    }
}
