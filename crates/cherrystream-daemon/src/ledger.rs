//! Client of the ledger: has the leader of control record claims.

use cherrystream_net::key::Secret;
use cherrystream_net::rpc::{self, Client, ControlRpcClient};
use cherrystream_schema::messages::{ClaimReply, ClaimRequest, ReleaseRequest};
use jsonrpsee::core::client::Error as ClientError;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::Instant;

/// Longest time for one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before another replica is called.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Attempts to record a release; a lost release costs a resend one more query.
const MAX_RELEASE_ATTEMPTS: u32 = 3;

/// No leader with a quorum was reached in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unavailable;

/// A client of the ledger.
pub struct LedgerClient {
    addresses: Vec<String>,
    key: Option<Secret>,
    clients: Mutex<HashMap<String, Arc<Client>>>,
    leader: parking_lot::Mutex<String>,
}

impl LedgerClient {
    /// Creates a client of the replicas at these addresses.
    pub fn new(addresses: &[String], key: Option<Secret>) -> LedgerClient {
        let leader = parking_lot::Mutex::new(addresses.first().cloned().unwrap_or_default());
        LedgerClient { addresses: addresses.to_vec(), key, clients: Mutex::default(), leader }
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
        let client = self.client(address).await.ok_or(None)?;
        match f(client).await {
            Ok(reply) => Ok(reply),
            Err(e) => {
                if !rpc::is_answer(&e) {
                    self.clients.lock().await.remove(address);
                }
                log::debug!("ledger: {address}: {e}");
                Err(rpc::leader_in(&e).filter(|leader| leader != address))
            }
        }
    }

    async fn client(&self, address: &str) -> Option<Arc<Client>> {
        let mut clients = self.clients.lock().await;
        if let Some(client) = clients.get(address).filter(|c| c.is_connected()) {
            return Some(client.clone());
        }
        let client = rpc::connect(address, self.key.as_ref(), CALL_TIMEOUT).await.ok()?;
        let client = Arc::new(client);
        clients.insert(address.into(), client.clone());
        Some(client)
    }
}
