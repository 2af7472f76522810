//! Sends changes and commands to the leader, which may be this replica.

use crate::handle::{Handle, NoResult};
use crate::metrics::Metrics;
use crate::peers::{CallError, ReplicaConnection};
use cherrystream_core::errors::Error;
use cherrystream_core::state::{Applied, IntentOutcome};
use cherrystream_core::units::Revision;
use cherrystream_net::rpc::{self, Client, ControlRpcClient};
use cherrystream_schema::messages::{Change, Command, Intent, IntentReply};
use jsonrpsee::core::client::Error as ClientError;
use jsonrpsee::types::ErrorObjectOwned;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a leader, about the length of an election. A refused daemon reconnects at once,
/// so a shorter wait would load the replicas during the election. 300 daemons that reconnect delay
/// it.
const LEADER_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends changes and commands to the leader.
#[derive(Clone)]
pub struct LeaderClient {
    /// Handle to the replicated log.
    pub handle: Handle,
    /// Connections to the other replicas.
    pub connections: Arc<BTreeMap<u64, Arc<ReplicaConnection>>>,
    /// Metrics of the control role.
    pub metrics: Metrics,
}

impl LeaderClient {
    /// Commits changes. Fails at once when the leader changes.
    ///
    /// # Errors
    ///
    /// Fails when there is no leader, or when the outcome is unknown.
    pub async fn share(&self, changes: Vec<Change>) -> Result<(), ErrorObjectOwned> {
        let command = Command::ShareAll { changes: changes.clone() };
        // Each change puts a value that only its reporter changes, so it may be applied twice.
        let call = |client: Arc<Client>| {
            let changes = changes.clone();
            async move { client.share(changes).await }
        };
        self.commit(command, |_| Some(()), call).await
    }

    /// Commits an intent, unless its items were commanded after `base`. Fails at once when the
    /// leader changes.
    ///
    /// # Errors
    ///
    /// Fails when there is no leader, or when the outcome is unknown.
    pub async fn apply_intent(
        &self,
        intent: &Intent,
        base: Revision,
    ) -> Result<IntentReply, ErrorObjectOwned> {
        let command = Command::ApplyIntent { intent: intent.clone(), base };
        // The base makes the intent idempotent.
        let call = |client: Arc<Client>| {
            let intent = intent.clone();
            async move { client.apply_intent(intent, base).await }
        };
        self.commit(command, intent_reply, call).await
    }

    /// Returns the base of a command that is received now, after a round trip to the leader, or to
    /// a quorum if this replica leads.
    ///
    /// The connection of a caller that has left ends during the round trip. So a newer command of
    /// a caller that is still there is applied after the base. An older base than necessary does no
    /// harm: the command may be superseded by one that was applied before it was received.
    ///
    /// # Errors
    ///
    /// Fails when there is no leader, or when it does not answer.
    pub async fn command_base(&self) -> Result<Revision, NoResult> {
        let leader = self.known_leader().await;
        if leader == Some(self.handle.replica) {
            let base = self.handle.state.read().command_base();
            self.handle.read().await?;
            return Ok(base);
        }
        let unreachable = NoResult::NotLeader { leader };
        let connection = leader.and_then(|leader| self.connections.get(&leader));
        let call = |client: Arc<Client>| async move { client.command_base().await };
        connection.ok_or(unreachable)?.call(call).await.map_err(|_| unreachable)
    }

    /// Commits a command on this replica if it leads, or else calls the leader.
    async fn commit<T, F>(
        &self,
        command: Command,
        reply: fn(Applied) -> Option<T>,
        call: impl FnMut(Arc<Client>) -> F,
    ) -> Result<T, ErrorObjectOwned>
    where
        F: Future<Output = Result<T, ClientError>>,
    {
        let leader = self.known_leader().await;
        let mut status = self.handle.status.clone();
        tokio::select! {
            committed = self.commit_now(command, reply, call) => committed,
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

    async fn commit_now<T, F>(
        &self,
        command: Command,
        reply: fn(Applied) -> Option<T>,
        call: impl FnMut(Arc<Client>) -> F,
    ) -> Result<T, ErrorObjectOwned>
    where
        F: Future<Output = Result<T, ClientError>>,
    {
        match self.handle.propose(command).await {
            Ok(applied) => reply(applied).ok_or_else(|| self.unknown()),
            Err(NoResult::NotLeader { leader: Some(leader) }) => {
                let connection = self.connections.get(&leader).ok_or_else(|| self.not_leader())?;
                connection.call(call).await.map_err(|e| match e {
                    CallError::Unreachable { .. } => self.not_leader(),
                    CallError::Failed { source } => rpc::unavailable(&source.to_string()),
                })
            }
            Err(NoResult::NotLeader { leader: None }) => Err(self.not_leader()),
            Err(NoResult::Unknown) => Err(self.unknown()),
        }
    }

    fn not_leader(&self) -> ErrorObjectOwned {
        self.metrics.refuse("not-leader");
        rpc::not_leader(None)
    }

    fn unknown(&self) -> ErrorObjectOwned {
        self.metrics.refuse("no-quorum");
        rpc::unavailable(&NoResult::Unknown.to_string())
    }
}

/// Returns the reply to an intent that was applied; `None` for other entries.
pub(crate) fn intent_reply(applied: Applied) -> Option<IntentReply> {
    let Applied::Intended(outcome) = applied else { return None };
    Some(match outcome {
        IntentOutcome::InForce(revision) => IntentReply::Committed { revision },
        IntentOutcome::Superseded => IntentReply::Superseded,
        IntentOutcome::Refused(e) => IntentReply::Refused {
            busy: matches!(e, Error::Busy { .. }),
            error: e.to_string(),
            remedy: e.remedy(),
        },
    })
}
