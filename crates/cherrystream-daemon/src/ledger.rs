//! Client of the ledger: has the leader of control record claims.

use cherrystream_core::keep_alive::Options;
use cherrystream_net::connection_metrics::ConnectionMetrics;
use cherrystream_net::key::Secret;
use cherrystream_net::managed_client::{ManagedClient, ManagedClientOptions};
use cherrystream_net::rpc::{self, Client, ControlRpcClient};
use cherrystream_schema::messages::{ClaimReply, ClaimRequest, ReleaseRequest};
use jsonrpsee::core::client::Error as ClientError;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Longest time for one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before another replica is called.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Attempts to record a release; a lost release costs a resend one more query.
const MAX_RELEASE_ATTEMPTS: u32 = 3;
/// Detection of silent connections. Leaves most of the longest wait for the ledger for a claim on
/// the new connection.
const KEEP_ALIVE: Options = Options {
    ping_interval: Duration::from_millis(400),
    timeout: Duration::from_millis(700),
    max_extension: Duration::from_secs(1),
    retry_interval: Duration::from_millis(500),
};

/// No leader with a quorum was reached in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unavailable;

/// A client of the ledger.
pub struct LedgerClient {
    addresses: Vec<String>,
    opts: ManagedClientOptions,
    /// Never locked together with another lock.
    clients: Mutex<HashMap<String, Arc<ManagedClient>>>,
    leader: Mutex<String>,
}

impl LedgerClient {
    /// Creates a client of the replicas at these addresses.
    pub fn new(
        addresses: &[String],
        key: Option<Secret>,
        metrics: ConnectionMetrics,
    ) -> LedgerClient {
        let leader = Mutex::new(addresses.first().cloned().unwrap_or_default());
        let opts = ManagedClientOptions {
            key,
            call_timeout: CALL_TIMEOUT,
            keep_alive: Some(KEEP_ALIVE),
            metrics,
        };
        LedgerClient { addresses: addresses.to_vec(), opts, clients: Mutex::default(), leader }
    }

    /// Records a claim.
    ///
    /// # Errors
    ///
    /// Fails if no leader records it within `timeout`. The claim may still be recorded; the request
    /// was not sent, which a resend with the same key can prove.
    pub async fn claim(
        &self,
        req: &ClaimRequest,
        timeout: Duration,
    ) -> Result<ClaimReply, Unavailable> {
        let until = Instant::now() + timeout;
        let mut index = 0;
        while Instant::now() < until {
            let address = self.leader.lock().clone();
            let left = until - Instant::now();
            let reply = self.call(&address, async |client| client.claim(req.clone()).await);
            match tokio::time::timeout(left, reply).await {
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(Some(leader))) => *self.leader.lock() = leader,
                Ok(Err(None)) => self.next_address(&mut index).await,
                Err(_) => break,
            }
        }
        Err(Unavailable)
    }

    /// Releases a key whose attempt is proved not to have run.
    pub async fn release(&self, req: ReleaseRequest) {
        let mut index = 0;
        for _ in 0..MAX_RELEASE_ATTEMPTS {
            let address = self.leader.lock().clone();
            match self.call(&address, async |client| client.release(req.clone()).await).await {
                Ok(()) => return,
                Err(Some(leader)) => *self.leader.lock() = leader,
                Err(None) => self.next_address(&mut index).await,
            }
        }
    }

    async fn next_address(&self, index: &mut usize) {
        *index += 1;
        if let Some(address) = self.addresses.get(*index % self.addresses.len().max(1)) {
            *self.leader.lock() = address.clone();
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }

    /// Calls one replica; an error holds the address of the leader if the replica returned it.
    async fn call<T>(
        &self,
        address: &str,
        f: impl AsyncFnOnce(Arc<Client>) -> Result<T, ClientError>,
    ) -> Result<T, Option<String>> {
        // Kept until the call ends, so that a silence during the call is detected.
        let managed = self.client(address);
        let client = managed.client().await.ok_or(None)?;
        match f(client).await {
            Ok(reply) => {
                self.close_others(address);
                Ok(reply)
            }
            Err(e) => {
                log::debug!("ledger: {address}: {e}");
                Err(rpc::leader_in(&e).filter(|leader| leader != address))
            }
        }
    }

    fn client(&self, address: &str) -> Arc<ManagedClient> {
        let mut clients = self.clients.lock();
        let open = || {
            let (_, address) = watch::channel(address.to_string());
            Arc::new(ManagedClient::new(address, self.opts.clone()))
        };
        clients.entry(address.into()).or_insert_with(open).clone()
    }

    /// Closes the connections to replicas other than the leader, once the calls on them have ended.
    /// Every open connection costs pings.
    fn close_others(&self, leader: &str) {
        let mut clients = self.clients.lock();
        if clients.len() > 1 {
            clients.retain(|address, _| address == leader);
        }
    }
}
