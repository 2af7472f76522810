//! A standby: a control replica without a member slot. It returns the addresses of members.
//!
//! A joining host reaches the members through a standby when all its seeds are standbys.

use cherrystream_core::units::Revision;
use cherrystream_net::rpc::{self, ControlRpcServer};
use cherrystream_schema::messages::{
    Change, ChunkReply, ChunkRequest, ClaimReply, ClaimRequest, DaemonStatus, HostTally, Intent,
    IntentReply, JoinReply, JoinRequest, OperatorAnswer, OperatorCall, Piece, PieceReply,
    RaftMessage, ReleaseRequest, ReplicaAddress, RouteOrderReply, SyncReply, SyncRequest,
};
use jsonrpsee::core::{RpcResult, async_trait};
use parking_lot::RwLock;
use std::sync::Arc;

/// Error message of a standby for calls that need a member.
const NOT_A_MEMBER: &str =
    "this replica is a standby without a member slot; send the call to a member of the group";

/// Addresses that a standby has learned.
#[derive(Clone, Debug)]
pub struct Standby {
    known: Arc<RwLock<Vec<String>>>,
}

impl Standby {
    /// Creates a standby whose initial addresses are the seeds.
    pub fn new(seeds: Vec<String>) -> Standby {
        Standby { known: Arc::new(RwLock::new(seeds)) }
    }

    /// Records addresses of members, because the seeds may be down or removed.
    pub fn learn(&self, addresses: impl Iterator<Item = String>) {
        let mut known = self.known.write();
        for address in addresses {
            if !address.is_empty() && !known.contains(&address) {
                known.push(address);
            }
        }
    }

    /// Returns all recorded addresses.
    pub fn known(&self) -> Vec<String> {
        self.known.read().clone()
    }

    /// Returns the address for an attempt, in round-robin order.
    pub fn address(&self, attempt: usize) -> String {
        let known = self.known.read();
        known.get(attempt % known.len().max(1)).cloned().unwrap_or_default()
    }

    fn sync_reply(&self) -> SyncReply {
        SyncReply {
            newest: Revision::default(),
            update: None,
            offer: None,
            instance: None,
            // A standby has no quorum contact, so daemons switch to the replicas listed here.
            state_age_ms: u64::MAX,
            control: self.known().into_iter().map(without_domain).collect(),
            failure_domain: None,
        }
    }
}

/// Returns a replica with an unknown failure domain.
fn without_domain(address: String) -> ReplicaAddress {
    ReplicaAddress { address, failure_domain: None }
}

#[async_trait]
impl ControlRpcServer for Standby {
    async fn raft(&self, _messages: Vec<RaftMessage>) -> RpcResult<()> {
        Err(rpc::unavailable(NOT_A_MEMBER))
    }

    async fn sync(&self, _req: SyncRequest) -> RpcResult<SyncReply> {
        Ok(self.sync_reply())
    }

    async fn claim(&self, _req: ClaimRequest) -> RpcResult<ClaimReply> {
        Err(rpc::unavailable(NOT_A_MEMBER))
    }

    async fn release(&self, _req: ReleaseRequest) -> RpcResult<()> {
        Err(rpc::unavailable(NOT_A_MEMBER))
    }

    async fn operator(&self, _call: OperatorCall) -> RpcResult<OperatorAnswer> {
        Err(rpc::unavailable(NOT_A_MEMBER))
    }

    async fn read_index(&self) -> RpcResult<u64> {
        Err(rpc::unavailable(NOT_A_MEMBER))
    }

    async fn command_base(&self) -> RpcResult<Revision> {
        Err(rpc::unavailable(NOT_A_MEMBER))
    }

    async fn reach(&self) -> RpcResult<Vec<DaemonStatus>> {
        Ok(Vec::new())
    }

    /// Grants no member slot, but returns the recorded addresses.
    async fn join(&self, _req: JoinRequest) -> RpcResult<JoinReply> {
        let known = self.known().into_iter().enumerate();
        let addresses = known.map(|(i, address)| (i.to_string(), address)).collect();
        Ok(JoinReply { replica: None, place_lost: false, addresses })
    }

    async fn replace_routes(&self, _number: u64, _packed: String) -> RpcResult<RouteOrderReply> {
        Err(rpc::unavailable(NOT_A_MEMBER))
    }

    async fn patch_routes(
        &self,
        _base: u64,
        _number: u64,
        _packed: String,
    ) -> RpcResult<RouteOrderReply> {
        Err(rpc::unavailable(NOT_A_MEMBER))
    }

    async fn share(&self, _changes: Vec<Change>) -> RpcResult<()> {
        Err(rpc::unavailable(NOT_A_MEMBER))
    }

    async fn apply_intent(&self, _intent: Intent, _base: Revision) -> RpcResult<IntentReply> {
        Err(rpc::unavailable(NOT_A_MEMBER))
    }

    async fn tally(&self, _counts: Vec<HostTally>) -> RpcResult<()> {
        Err(rpc::unavailable(NOT_A_MEMBER))
    }

    async fn piece(&self, _piece: Piece) -> RpcResult<PieceReply> {
        Err(rpc::unavailable(NOT_A_MEMBER))
    }

    async fn chunk(&self, _req: ChunkRequest) -> RpcResult<ChunkReply> {
        Err(rpc::unavailable(NOT_A_MEMBER))
    }
}
