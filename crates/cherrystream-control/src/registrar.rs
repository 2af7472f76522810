//! Registers daemons and instances with the leader, and confirms reads, for many at a time.

use crate::handle::{Handle, NoResult};
use crate::metrics::Metrics;
use crate::operators::Operators;
use crate::peers::ReplicaConnection;
use crate::together::Together;
use cherrystream_net::rpc::{self, ControlRpcClient};
use cherrystream_schema::messages::{Change, Command};
use jsonrpsee::types::ErrorObjectOwned;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a leader to register a daemon with: an election. A daemon that is refused comes again at once, on a
/// connection of its own; 300 of them kept replicas busy that had an election to hold.
const WAIT_FOR_LEADER: Duration = Duration::from_millis(400);

/// Registers daemons and instances.
#[derive(Clone)]
pub struct Registrar {
    registrations: Together<Vec<Change>, Result<(), ErrorObjectOwned>>,
    reads: Together<(), Result<(), NoResult>>,
}

impl Registrar {
    /// Starts one.
    pub fn start(operators: &Operators, metrics: Metrics) -> Registrar {
        let leading = Leading {
            handle: operators.handle.clone(),
            lines: operators.connections.clone(),
            metrics,
        };
        let registrations = Together::start(move |changes: Vec<Vec<Change>>| {
            let leading = leading.clone();
            async move { leading.share(changes.concat()).await }
        });
        let operators = operators.clone();
        let reads = Together::start(move |_| {
            let operators = operators.clone();
            async move { operators.confirm_read().await }
        });
        Registrar { registrations, reads }
    }

    /// Records changes, and returns once they are committed.
    ///
    /// # Errors
    ///
    /// Fails when there is no leader, or when the outcome is not known.
    pub async fn register(&self, changes: Vec<Change>) -> Result<(), ErrorObjectOwned> {
        let registered = self.registrations.call(changes).await;
        registered.unwrap_or_else(|| Err(rpc::unavailable("this replica has stopped")))
    }

    /// Waits until this replica has applied every change accepted before the call.
    ///
    /// # Errors
    ///
    /// Fails when no quorum confirms that.
    pub async fn confirm_read(&self) -> Result<(), NoResult> {
        self.reads.call(()).await.unwrap_or(Err(NoResult::Unknown))
    }
}

/// The way to the leader, which may be this replica.
#[derive(Clone)]
struct Leading {
    handle: Handle,
    lines: Arc<BTreeMap<u64, Arc<ReplicaConnection>>>,
    metrics: Metrics,
}

impl Leading {
    /// Has the leader record changes. One that is no longer the leader is not waited for.
    async fn share(&self, changes: Vec<Change>) -> Result<(), ErrorObjectOwned> {
        let leader = self.known_leader().await;
        let mut standing = self.handle.standing.clone();
        tokio::select! {
            shared = self.share_now(changes) => shared,
            _ = standing.wait_for(|now| now.leader != leader) => {
                self.metrics.refuse("no-quorum");
                Err(rpc::unavailable("the leader has changed; send the same call again"))
            }
        }
    }

    async fn known_leader(&self) -> Option<u64> {
        let mut standing = self.handle.standing.clone();
        let known = standing.wait_for(|standing| standing.leader.is_some());
        match tokio::time::timeout(WAIT_FOR_LEADER, known).await {
            Ok(Ok(standing)) => standing.leader,
            _ => None,
        }
    }

    async fn share_now(&self, changes: Vec<Change>) -> Result<(), ErrorObjectOwned> {
        match self.handle.propose(Command::ShareAll { changes: changes.clone() }).await {
            Ok(_) => Ok(()),
            Err(NoResult::NotLeader { leader: Some(leader) }) => {
                let line = self.lines.get(&leader).ok_or_else(|| self.not_leader())?;
                let client = line.client().await.ok_or_else(|| self.not_leader())?;
                client.share(changes).await.map_err(|e| rpc::unavailable(&e.to_string()))
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
