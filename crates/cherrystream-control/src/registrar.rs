//! Registers daemons and instances with the leader, and confirms reads, in batches.

use crate::call_batcher::CallBatcher;
use crate::handle::{Handle, NoResult};
use crate::metrics::Metrics;
use crate::operators::Operators;
use crate::peers::{CallError, ReplicaConnection};
use cherrystream_net::rpc::{self, Client, ControlRpcClient};
use cherrystream_schema::messages::{Change, Command};
use jsonrpsee::types::ErrorObjectOwned;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a leader, about the length of an election. A refused daemon reconnects at once,
/// so a shorter wait would load the replicas during the election. 300 daemons that reconnect delay
/// it.
const LEADER_TIMEOUT: Duration = Duration::from_millis(400);

/// Batches registrations and reads.
#[derive(Clone)]
pub struct Registrar {
    registrations: CallBatcher<Vec<Change>, Result<(), ErrorObjectOwned>>,
    reads: CallBatcher<(), Result<(), NoResult>>,
}

impl Registrar {
    /// Starts the tasks that send the batches.
    pub fn start(operators: &Operators, metrics: Metrics) -> Registrar {
        let leader = LeaderClient {
            handle: operators.handle.clone(),
            connections: operators.connections.clone(),
            metrics,
        };
        let registrations = CallBatcher::start(move |changes: Vec<Vec<Change>>| {
            let leader = leader.clone();
            async move { leader.share(changes.concat()).await }
        });
        let operators = operators.clone();
        let reads = CallBatcher::start(move |_| {
            let operators = operators.clone();
            async move { operators.confirm_read().await }
        });
        Registrar { registrations, reads }
    }

    /// Records changes, and returns once they are committed.
    ///
    /// # Errors
    ///
    /// Fails when there is no leader, or when the outcome is unknown.
    pub async fn register(&self, changes: Vec<Change>) -> Result<(), ErrorObjectOwned> {
        let registered = self.registrations.call(changes).await;
        registered.unwrap_or_else(|| {
            Err(rpc::unavailable("this replica has stopped; send the call to another one"))
        })
    }

    /// Waits until this replica has applied every change accepted before the call.
    ///
    /// # Errors
    ///
    /// Fails when no quorum confirms the read.
    pub async fn confirm_read(&self) -> Result<(), NoResult> {
        self.reads.call(()).await.unwrap_or(Err(NoResult::Unknown))
    }
}

/// Sends changes to the leader, which may be this replica.
#[derive(Clone)]
struct LeaderClient {
    handle: Handle,
    connections: Arc<BTreeMap<u64, Arc<ReplicaConnection>>>,
    metrics: Metrics,
}

impl LeaderClient {
    /// Commits changes through the leader. Fails at once when the leader changes.
    async fn share(&self, changes: Vec<Change>) -> Result<(), ErrorObjectOwned> {
        let leader = self.known_leader().await;
        let mut status = self.handle.status.clone();
        tokio::select! {
            shared = self.share_now(changes) => shared,
            _ = status.wait_for(|now| now.leader != leader) => {
                self.metrics.refuse("no-quorum");
                Err(rpc::unavailable("the leader has changed; send the same call again"))
            }
        }
    }

    async fn known_leader(&self) -> Option<u64> {
        let mut status = self.handle.status.clone();
        let known = status.wait_for(|status| status.leader.is_some());
        match tokio::time::timeout(LEADER_TIMEOUT, known).await {
            Ok(Ok(status)) => status.leader,
            _ => None,
        }
    }

    async fn share_now(&self, changes: Vec<Change>) -> Result<(), ErrorObjectOwned> {
        match self.handle.propose(Command::ShareAll { changes: changes.clone() }).await {
            Ok(_) => Ok(()),
            Err(NoResult::NotLeader { leader: Some(leader) }) => {
                let connection = self.connections.get(&leader).ok_or_else(|| self.not_leader())?;
                // Each change puts a value, so it may be applied twice.
                let share = |client: Arc<Client>| {
                    let changes = changes.clone();
                    async move { client.share(changes).await }
                };
                connection.call(share).await.map_err(|e| match e {
                    CallError::Unreachable { .. } => self.not_leader(),
                    CallError::Failed { source } => rpc::unavailable(&source.to_string()),
                })
            }
            Err(NoResult::NotLeader { leader: None }) => Err(self.not_leader()),
            Err(e @ NoResult::Unknown) => {
                self.metrics.refuse("no-quorum");
                Err(rpc::unavailable(&e.to_string()))
            }
        }
    }

    fn not_leader(&self) -> ErrorObjectOwned {
        self.metrics.refuse("not-leader");
        rpc::not_leader(None)
    }
}
