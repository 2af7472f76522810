//! Registers daemons and instances with the leader, and confirms reads, in batches.

use crate::call_batcher::CallBatcher;
use crate::handle::NoResult;
use crate::operators::Operators;
use cherrystream_net::rpc;
use cherrystream_schema::messages::Change;
use jsonrpsee::types::ErrorObjectOwned;

/// Batches registrations and reads.
#[derive(Clone)]
pub struct Registrar {
    registrations: CallBatcher<Vec<Change>, Result<(), ErrorObjectOwned>>,
    reads: CallBatcher<(), Result<(), NoResult>>,
}

impl Registrar {
    /// Starts the tasks that send the batches.
    pub fn start(operators: &Operators) -> Registrar {
        let leader = operators.leader.clone();
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
