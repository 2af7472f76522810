//! Member slot of a replica in the group: fixed by settings, assigned at bootstrap, or requested.

use crate::bootstrap_marker;
use crate::contacts;
use crate::errors::Result;
use crate::folder::Folder;
use crate::metrics::Metrics;
use crate::peers::ReplicaConnection;
use crate::rpc_server;
use crate::standby::Standby;
use crate::stored_identity::{self, Identity};
use cherrystream_core::raft;
use cherrystream_net::clock;
use cherrystream_net::key::Secret;
use cherrystream_net::rpc::{self, ControlRpcClient};
use cherrystream_net::seeds;
use cherrystream_schema::messages::{JoinReply, JoinRequest};
use cherrystream_schema::settings::ControlSettings;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::task;

/// Time between the first requests for a member slot.
const JOIN_INTERVAL: Duration = Duration::from_millis(250);
/// Time between later requests. Each request opens a connection, mostly to another failure domain.
/// Five standbys that ask four times a second send 40 KB a second, by the sizes of the messages.
const LATE_JOIN_INTERVAL: Duration = Duration::from_millis(1_000);
/// Number of requests before the interval grows. Covers the bootstrap of a group.
const EARLY_JOIN_ATTEMPTS: usize = 12;
/// Longest wait for the response to a request.
const JOIN_TIMEOUT: Duration = Duration::from_millis(900);
/// Shortest time without a leader before an election, for groups formed from seeds.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(700);
/// As `ELECTION_TIMEOUT`, after a start: several round trips and syncs within a region. A pre-vote
/// keeps a replica that starts alone from disrupting the group.
const FIRST_ELECTION_TIMEOUT: Duration = Duration::from_millis(80);
/// Time between heartbeats in such groups. Limits the traffic between failure domains.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// A member slot in the group.
#[derive(Clone, Debug)]
pub struct MemberSlot {
    /// Number and disk of this replica.
    pub identity: Identity,
    /// RPC addresses by number, this replica included.
    pub addresses: BTreeMap<u64, String>,
    /// Whether the addresses are fixed by the settings.
    pub fixed: bool,
    /// Failure domain of this host.
    pub failure_domain: String,
    /// Whether this replica may bootstrap the group.
    pub may_bootstrap: bool,
}

impl MemberSlot {
    /// Returns the options of the replicated log.
    pub fn raft_options(&self) -> raft::Options {
        let addresses = if self.fixed { BTreeMap::new() } else { self.addresses.clone() };
        let defaults = raft::Options::default();
        raft::Options {
            id: self.identity.replica,
            disk: self.identity.disk.clone(),
            replicas: self.addresses.keys().copied().collect(),
            addresses,
            failure_domain: if self.fixed { String::new() } else { self.failure_domain.clone() },
            may_bootstrap: self.may_bootstrap,
            election: if self.fixed { defaults.election } else { ELECTION_TIMEOUT },
            first_election: if self.fixed {
                defaults.first_election
            } else {
                FIRST_ELECTION_TIMEOUT
            },
            heartbeat: if self.fixed { defaults.heartbeat } else { HEARTBEAT_INTERVAL },
            seed: rand::random(),
            started_ms: clock::unix_ms(),
        }
    }

    /// Returns the request with which this replica asks for its slot again. It stands by only if its
    /// first request did, so that a new leader does not let it wait longer than the previous one.
    pub fn join_request(&self, settings: &ControlSettings) -> JoinRequest {
        JoinRequest {
            address: settings.rpc_address.clone(),
            disk: self.identity.disk.clone(),
            failure_domain: self.failure_domain.clone(),
            stands_by: settings.found,
            runs_as: Some(self.identity.replica),
        }
    }

    /// Returns the connections to the other replicas.
    pub fn connections(
        &self,
        key: Option<&Secret>,
        metrics: &Metrics,
    ) -> BTreeMap<u64, Arc<ReplicaConnection>> {
        let others = self.addresses.iter().filter(|(id, _)| **id != self.identity.replica);
        let connect = |address: &String| ReplicaConnection::new(address, key.cloned(), metrics);
        others.map(|(id, address)| (*id, Arc::new(connect(address)))).collect()
    }
}

/// Reason for which the control role starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleStart {
    /// The process has started.
    First,
    /// The member slot was assigned to another host. The group exists, so it is not bootstrapped
    /// again, whatever the settings allowed at the start of the process.
    AfterSlotLoss,
}

/// Context for finding a member slot, besides the settings.
pub struct FindContext<'a> {
    /// Reason for which the role starts.
    pub start: RoleStart,
    /// Failure domain of this host.
    pub failure_domain: &'a str,
    /// Key shared by the processes of the system.
    pub key: Option<&'a Secret>,
    /// Metrics.
    pub metrics: &'a Metrics,
}

/// Finds the member slot of this replica. Requests one from the seeds if needed.
///
/// # Errors
///
/// Fails when the data folder cannot be read, or the RPC address cannot be used.
pub async fn find(
    settings: &ControlSettings,
    folder: &impl Folder,
    cx: &FindContext<'_>,
) -> Result<MemberSlot> {
    let new_disk = uuid::Uuid::new_v4().to_string();
    let failure_domain = cx.failure_domain.to_string();
    let Some(seeds) = &settings.seeds else {
        let addresses = settings.replicas.iter().map(|r| (r.replica, r.rpc_address.clone()));
        let identity = Identity { replica: settings.replica, disk: new_disk };
        return Ok(MemberSlot {
            identity,
            addresses: addresses.collect(),
            fixed: true,
            failure_domain,
            may_bootstrap: true,
        });
    };
    let seeds = seeds::rpc_addresses(seeds);
    let slots = initial_slots(&seeds, settings.losses_borne);
    if let Some(stored) = stored_identity::read(folder)? {
        let mut addresses = stored.addresses;
        if addresses.is_empty() {
            addresses = slots;
        }
        // A replica that stopped before the bootstrap completed continues it.
        let may_bootstrap = settings.found || bootstrap_marker::exists(folder)?;
        let identity = stored.identity;
        return Ok(MemberSlot { identity, addresses, fixed: false, failure_domain, may_bootstrap });
    }
    let own = seeds.iter().position(|address| *address == settings.rpc_address);
    let bootstraps = settings.found && cx.start == RoleStart::First;
    if let Some(position) = own.filter(|_| bootstraps) {
        bootstrap_marker::write(&mut folder.fork())?;
        let identity = Identity { replica: position as u64 + 1, disk: new_disk };
        let addresses = slots;
        return Ok(MemberSlot {
            identity,
            addresses,
            fixed: false,
            failure_domain,
            may_bootstrap: true,
        });
    }
    let request = JoinRequest {
        address: settings.rpc_address.clone(),
        disk: new_disk.clone(),
        failure_domain: failure_domain.clone(),
        stands_by: settings.found,
        runs_as: None,
    };
    log::info!("control: no member slot yet; requesting one from {}", seeds.join(", "));
    let standby = Standby::new(seeds);
    standby.learn(contacts::read(folder).into_iter().filter(|a| *a != settings.rpc_address));
    let server = standby.clone();
    let key = cx.key.cloned();
    let rpc = rpc_server::serve(server, &settings.rpc_address, key, cx.metrics.clone());
    let rpc = rpc.await?;
    let joiner = Joiner { standby: &standby, request: &request, key: cx.key };
    let (replica, addresses) = joiner.join(folder).await;
    let _ = rpc.stop();
    rpc.stopped().await;
    log::info!("control: joins the group as replica {replica}");
    let identity = Identity { replica, disk: new_disk };
    Ok(MemberSlot { identity, addresses, fixed: false, failure_domain, may_bootstrap: false })
}

/// Returns the member slots of a group that the seeds bootstrap. Slots without a seed are vacant.
fn initial_slots(seeds: &[String], losses_borne: u32) -> BTreeMap<u64, String> {
    // The seeds alone must form a majority of the slots.
    let max_slots = (2 * seeds.len()).saturating_sub(1).max(1);
    let wanted = 2 * losses_borne.max(1) as usize + 1;
    let vacant = std::iter::repeat(String::new());
    let filled = seeds.iter().cloned().chain(vacant);
    (1..).zip(filled).take(wanted.min(max_slots).max(seeds.len())).collect()
}

/// A joining replica that requests a member slot.
struct Joiner<'a> {
    standby: &'a Standby,
    request: &'a JoinRequest,
    key: Option<&'a Secret>,
}

impl Joiner<'_> {
    /// Sends requests to the known replicas in round-robin order until one grants a member slot.
    /// Returns the replica number and the addresses of all replicas.
    async fn join(&self, folder: &impl Folder) -> (u64, BTreeMap<u64, String>) {
        let mut stored = contacts::read(folder);
        let mut attempt = 0;
        loop {
            let address = self.standby.address(attempt);
            attempt += 1;
            if let Some(reply) = request(&address, self.request, self.key).await {
                if let Some(replica) = reply.replica {
                    return (replica, by_number(&reply.addresses));
                }
                let others = reply.addresses.into_values();
                self.standby.learn(others.filter(|a| *a != self.request.address));
                self.store_contacts(folder, &mut stored).await;
            }
            let pause =
                if attempt < EARLY_JOIN_ATTEMPTS { JOIN_INTERVAL } else { LATE_JOIN_INTERVAL };
            tokio::time::sleep(pause).await;
        }
    }

    /// Stores the known addresses on disk, seeds included, because the settings may name other
    /// seeds after a restart.
    async fn store_contacts(&self, folder: &impl Folder, stored: &mut Vec<String>) {
        let known = self.standby.known();
        if known == *stored {
            return;
        }
        let (mut folder, addresses) = (folder.fork(), known.clone());
        let written = task::spawn_blocking(move || contacts::write(&mut folder, &addresses)).await;
        match written {
            Ok(Err(e)) => log::warn!("control: cannot store the addresses of the members: {e}"),
            _ => *stored = known,
        }
    }
}

/// Requests a member slot from one replica. Returns `None` without a response.
pub async fn request(
    address: &str,
    request: &JoinRequest,
    key: Option<&Secret>,
) -> Option<JoinReply> {
    if address == request.address {
        return None;
    }
    let client = rpc::connect(address, key, JOIN_TIMEOUT).await.ok()?;
    client.join(request.clone()).await.ok()
}

/// Parses the replica numbers of addresses in a message. Skips invalid numbers.
pub fn by_number(addresses: &BTreeMap<String, String>) -> BTreeMap<u64, String> {
    let numbered = |(id, address): (&String, &String)| Some((id.parse().ok()?, address.clone()));
    addresses.iter().filter_map(numbered).collect()
}
