//! The RPC interface of this replica: for daemons, and for the other replicas.

use crate::daemon_registry::DaemonRegistry;
use crate::distribution::{Distribution, Lacking};
use crate::errors::{Error, Result};
use crate::handle::{Event, Handle, NoResult};
use crate::incoming_transfers::IncomingTransfers;
use crate::metrics::Metrics;
use crate::operators::Operators;
use crate::peers::Line;
use crate::registrar::Registrar;
use crate::rollouts::Rollouts;
use cherrystream_core::instances;
use cherrystream_core::ledger;
use cherrystream_core::raft::JoinDecision;
use cherrystream_core::replica_choice;
use cherrystream_core::state::Applied;
use cherrystream_core::units::Revision;
use cherrystream_net::clock;
use cherrystream_net::key::Secret;
use cherrystream_net::rpc::{self, ControlRpcClient, ControlRpcServer, KeyLayer, MESSAGE_BYTES};
use cherrystream_schema::messages;
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use messages::{
    Change, ChunkReply, ChunkRequest, ClaimReply, ClaimRequest, Command, DaemonStatus, HostRecord,
    HostTally, Instance, JoinReply, JoinRequest, OperatorAnswer, OperatorCall, Piece, PieceReply,
    RaftMessage, ReleaseRequest, RouteOrderReply, SyncReply, SyncRequest,
};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Connections that one replica takes: every daemon may come when the other replicas are gone.
const CONNECTIONS: u32 = 4_096;
/// Longest wait for a change that one heartbeat may ask for.
const WAIT_AT_MOST: Duration = Duration::from_secs(10);
/// Time between looks at whether a daemon may have now what another one is fetching: a fifth of a heartbeat's wait.
const LOOK_AGAIN: Duration = Duration::from_millis(80);
/// Longest wait until a registration that is committed is applied here: far less than whoever reported it waits.
const WAIT_FOR_REGISTRATION: Duration = Duration::from_millis(300);
/// When a claim refused for want of room is worth sending again.
const FULL_RETRY_MS: u64 = 5_000;

/// Limits of the ledger.
#[derive(Clone, Copy, Debug)]
pub struct LedgerLimits {
    /// Milliseconds for which a key is kept.
    pub window_ms: u64,
    /// Keys kept at most.
    pub keys_at_most: u64,
}

/// The RPC interface.
#[derive(Clone)]
pub struct RpcServer {
    /// The replicated log.
    pub handle: Handle,
    /// Revision that daemons may be told of.
    pub released: watch::Receiver<Revision>,
    /// Lines to the other replicas.
    pub lines: Arc<BTreeMap<u64, Arc<Line>>>,
    /// Daemons heard.
    pub reach: Arc<DaemonRegistry>,
    /// Updates for daemons.
    pub distribution: Arc<Distribution>,
    /// Operators' calls.
    pub operators: Operators,
    /// Registrations of daemons and instances.
    pub registrar: Registrar,
    /// Roll-outs that are under way.
    pub rollouts: Rollouts,
    /// Long messages on their way here.
    pub arrivals: IncomingTransfers,
    /// Limits of the ledger.
    pub limits: LedgerLimits,
    /// Failure domain of this host, where replicas come and go.
    pub failure_domain: Option<String>,
    /// Metrics.
    pub metrics: Metrics,
}

/// Serves the RPC interface of control at an address.
///
/// # Errors
///
/// Fails when the address cannot be used.
pub async fn serve(
    server: impl ControlRpcServer,
    address: &str,
    key: Option<Secret>,
    metrics: Metrics,
) -> Result<ServerHandle> {
    let layer = KeyLayer::new(key, move || metrics.refuse("wrong-key"));
    let cfg = ServerConfig::builder()
        .max_request_body_size(MESSAGE_BYTES)
        .max_response_body_size(MESSAGE_BYTES)
        .max_connections(CONNECTIONS)
        .build();
    let failed = |source| Error::Rpc { address: address.into(), source };
    let listener = Server::builder()
        .set_config(cfg)
        .set_http_middleware(tower::ServiceBuilder::new().layer(layer))
        .build(address)
        .await
        .map_err(failed)?;
    Ok(listener.start(server.into_rpc()))
}

impl RpcServer {
    /// Starts to serve.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be listened on.
    pub async fn serve(self, address: &str, key: Option<Secret>) -> Result<ServerHandle> {
        let metrics = self.metrics.clone();
        serve(self, address, key, metrics).await
    }

    fn not_leader(&self, leader: Option<u64>) -> ErrorObjectOwned {
        let address = leader.and_then(|id| self.lines.get(&id)).map(|line| line.address());
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

    /// Records a daemon whose registration is new or has changed, and the instance beside it; returns whether the
    /// instance is news.
    async fn register(&self, req: &SyncRequest) -> Result<bool, ErrorObjectOwned> {
        let record = &req.record;
        let mut changes = Vec::new();
        if self.handle.state.read().shared().hosts.get(&record.host) != Some(record) {
            changes.push(Change::PutHost { record: record.clone() });
        }
        let news = req.instance.as_ref().filter(|i| !self.is_registered(&record.host, i));
        changes.extend(news.map(|instance| {
            let host = record.host.clone();
            Change::PutInstance { host, instance: instance.clone() }
        }));
        if !changes.is_empty() {
            self.registrar.register(changes).await?;
        }
        let Some(instance) = news else { return Ok(false) };
        // Another replica may have applied it, and this one not yet.
        let mut standing = self.handle.standing.clone();
        let applied = standing.wait_for(|_| self.is_registered(&record.host, instance));
        let _ = tokio::time::timeout(WAIT_FOR_REGISTRATION, applied).await;
        Ok(true)
    }

    fn is_registered(&self, host: &str, instance: &Instance) -> bool {
        let state = self.handle.state.read();
        instances::register(state.shared().instances.get(host), instance).is_none()
    }

    /// Returns the answer to a heartbeat with what the daemon lacks.
    fn sync_reply(&self, req: &SyncRequest, lacking: Lacking) -> SyncReply {
        let (update, offer) = match lacking {
            Lacking::Nothing | Lacking::Later => (None, None),
            Lacking::Short(update) => (Some(*update), None),
            Lacking::Long(offer) => (None, Some(offer)),
        };
        let state = self.handle.state.read();
        let age = self.handle.state_word().age();
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

    /// Waits until there is something that a daemon may have now, or the wait is over.
    async fn lacking(&self, req: &SyncRequest, until: Instant) -> Lacking {
        // One that asks for all that is accepted gets what is not told to others yet, too.
        if !req.confirmed && *self.released.borrow() <= req.held {
            return Lacking::Nothing;
        }
        loop {
            let now = self.handle.clock.now();
            let state = &self.handle.state;
            let lacking = self.distribution.lacking(now, state, req, &self.reach);
            let waits = match lacking {
                Lacking::Later => true,
                // Something newer is there, but not for this daemon now.
                Lacking::Nothing => *self.released.borrow() > req.held,
                Lacking::Short(_) | Lacking::Long(_) => false,
            };
            if !waits || Instant::now() + LOOK_AGAIN > until {
                return lacking;
            }
            tokio::time::sleep(LOOK_AGAIN).await;
        }
    }

    /// Lets a replica in. That a place is lost is said only with a quorum's word, for a replica gives
    /// its data up on it: a leader that was deposed without knowing could be wrong.
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

    /// Refuses a claim that the ledger must not take, before it goes to the log.
    fn check_claim(&self, req: &ClaimRequest, now_ms: u64) -> Option<ClaimReply> {
        let oldest = now_ms.saturating_sub(self.limits.window_ms);
        if ledger::key_time_ms(&req.key).is_some_and(|made| made < oldest) {
            self.metrics.refuse("key-too-old");
            return Some(ClaimReply::TooOld);
        }
        let state = self.handle.state.read();
        let full = state.ledger().len() as u64 >= self.limits.keys_at_most;
        if full && !state.ledger().holds(&req.service, &req.key) {
            self.metrics.refuse("ledger-full");
            return Some(ClaimReply::Full { retry_after_ms: FULL_RETRY_MS });
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
            self.rollouts.hear(HostTally { host, incarnation, tally });
        }
        let wait = if req.looks_in { 0 } else { req.wait_ms };
        let wait = Duration::from_millis(wait).min(WAIT_AT_MOST);
        let mut until = Instant::now() + wait;
        match self.register(&req).await {
            Ok(false) => {}
            // Whoever reported the instance waits for the word that it is registered.
            Ok(true) => until = Instant::now(),
            Err(e) => {
                log::debug!("control: host {} is not registered yet: {e}", req.record.host);
                return Err(e);
            }
        }
        if req.confirmed {
            let confirmed = self.registrar.confirm_read().await;
            confirmed.map_err(|e| self.no_result(e))?;
            until = Instant::now();
        } else {
            let known = req.fetching.as_ref().map_or(req.held, |f| f.id.to.max(req.held));
            self.wait_for_change(known, until).await;
        }
        let lacking = self.lacking(&req, until).await;
        Ok(self.sync_reply(&req, lacking))
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
            Ok(_) => Err(rpc::unavailable("the claim had no result; send it again")),
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

    async fn reach(&self) -> RpcResult<Vec<DaemonStatus>> {
        let newest = self.handle.state.read().revision();
        Ok(self.reach.statuses(self.handle.clock.now(), newest))
    }

    async fn join(&self, req: JoinRequest) -> RpcResult<JoinReply> {
        let decision = match self.admit_by_quorum(&req).await {
            Ok(decision) => decision,
            Err(NoResult::NotLeader { leader: Some(leader) }) => {
                let line = self.lines.get(&leader).ok_or_else(|| self.not_leader(None))?;
                let client = line.client().await.ok_or_else(|| self.not_leader(None))?;
                return client.join(req).await.map_err(|e| rpc::unavailable(&e.to_string()));
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
        self.operators.order_routes_here(order).await.map_err(|e| self.no_result(e))
    }

    async fn patch_routes(
        &self,
        base: u64,
        number: u64,
        packed: String,
    ) -> RpcResult<RouteOrderReply> {
        let order = Command::PatchRoutes { base, number, packed };
        self.operators.order_routes_here(order).await.map_err(|e| self.no_result(e))
    }

    async fn share(&self, changes: Vec<Change>) -> RpcResult<()> {
        let shared = self.handle.propose(Command::ShareAll { changes }).await;
        shared.map(|_| ()).map_err(|e| self.no_result(e))
    }

    async fn tally(&self, words: Vec<HostTally>) -> RpcResult<()> {
        self.rollouts.take(&self.handle, &words);
        Ok(())
    }

    async fn piece(&self, piece: Piece) -> RpcResult<PieceReply> {
        if !self.lines.contains_key(&piece.from) {
            self.metrics.refuse("unknown-replica");
            return Err(rpc::unavailable("this replica knows no such sender"));
        }
        let from = piece.from;
        match self.arrivals.receive(self.handle.clock.now(), piece).await {
            Ok(held) => Ok(PieceReply { held }),
            Err(e) => {
                log::debug!("control: a piece of replica {from} is refused: {e}");
                self.metrics.refuse("bad-piece");
                Ok(PieceReply { held: 0 })
            }
        }
    }

    async fn chunk(&self, req: ChunkRequest) -> RpcResult<ChunkReply> {
        Ok(self.distribution.chunk(self.handle.clock.now(), &req))
    }
}
